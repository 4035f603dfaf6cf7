"""Know what runs where for one service, and decide which runs start and which are stopped."""

import collections.abc

from nutmegshelf import (
    calls,
    estimates,
    evacuation,
    fleetview,
    ids,
    jobs,
    needs,
    notes,
    orders,
    pacing,
    policy,
    preemption,
    rebalancing,
    registry,
    reports,
    simulation,
    speculation,
    stalls,
    starts,
    stops,
    takeover,
    window,
)

# Workers that are open, or will be in a moment.
_ROOM_SOON = (None, fleetview.Unavailability.NOT_POLLED, fleetview.Unavailability.FULL)
# After a refusal for want of room a worker gets no starts until its next report.
_ROOM_PAUSE_S = 0.3


class Scheduler:
    """Own the workers and the ledger of one service for one epoch of its lease."""

    def __init__(
        self,
        epoch: int,
        *,
        lease_expiry_s: float,
        now_s: float,
        is_takeover: bool,
        router: window.StartRouter | None = None,
    ) -> None:
        self.registry = registry.JobRegistry(epoch)
        self.workers: dict[fleetview.Incarnation, fleetview.Worker] = {}
        self.notes = notes.Notes()
        self.closed_hosts = evacuation.ClosedHosts()
        self.estimates = estimates.Estimates()
        self.advice = policy.Advice()
        self._starter = starts.Starter(
            self.registry, self.advice, self.notes, router or window.StartRouter()
        )
        self._stopper = stops.Stopper(self.registry, self.notes)
        self._arrived_core_ms = 0.0
        self._takeover = takeover.Takeover(
            began_s=now_s, lease_expiry_s=lease_expiry_s, is_needed=is_takeover
        )
        self._report_handler = reports.ReportHandler(self.registry, self.estimates, self.notes)
        self._stall_detector = stalls.StallDetector(self.registry, self.notes)

    def record_arrival(self, job: jobs.Job) -> None:
        """Count the work of a new job."""
        ratio = self.estimates.get_ratio(job.queue.name)
        self._arrived_core_ms += ratio * sum(
            step.count * step.cpu_millis / 1000 * step.estimate_ms
            for step in job.steps
            if not step.fills
        )

    def evict_ended(self, before_s: float) -> list[registry.JobRecord]:
        """Forget the jobs that ended before a time; gives them, as their rows are to go."""
        gone = self.registry.evict_ended(before_s)
        for record in gone:
            self.advice.forget(record.job.job)
        return gone

    # --- workers

    def update_workers(
        self, listed: collections.abc.Iterable[fleetview.WorkerFacts], now_s: float
    ) -> list[fleetview.Worker]:
        """Take the fleet's list of this service; gives the workers that are new."""
        found = {facts.incarnation: facts for facts in listed}
        added: list[fleetview.Worker] = []
        for life, facts in found.items():
            if self._takeover.has_ended(life):
                continue
            worker = self.workers.get(life)
            if worker is None:
                worker = self.workers[life] = fleetview.Worker(facts, idle_since_s=now_s)
                # What an earlier holder leased there has lapsed by then.
                if now_s < self._takeover.leases_expire_s:
                    worker.leased_until_s = self._takeover.leases_expire_s
                added.append(worker)
                self.closed_hosts.reopen_if_restarted(life, facts.host)
            if facts.is_draining and (
                worker.drain_notified_s is None or worker.facts.left_ms != facts.left_ms
            ):
                worker.drain_notified_s = now_s
            worker.facts = facts
            worker.is_listed = True
            worker.is_closed = facts.is_draining
        # A host has one life of a worker at a time, so a later one says that this one has ended.
        newest: dict[ids.HostId, int] = {}
        for life, facts in found.items():
            newest[facts.host] = max(life.born_ms, newest.get(facts.host, 0))
        for life, worker in list(self.workers.items()):
            if life in found:
                continue
            worker.is_listed, worker.is_closed = False, True
            if newest.get(worker.facts.host, -1) > life.born_ms:
                self._lost(worker, now_s, "its worker started anew")
        return added

    def expect_incarnations(
        self, lives: collections.abc.Iterable[tuple[fleetview.Incarnation, ids.HostId]]
    ) -> None:
        """Note which lives an earlier holder used."""
        self._takeover.expect(lives)

    def get_unreported_incarnations(self) -> takeover.Incarnations:
        """Give the lives whose word is missing since a takeover."""
        return self._takeover.get_unreported(self.workers)

    def drop_ended(
        self,
        lives: takeover.Incarnations,
        views: collections.abc.Iterable[rebalancing.HostView],
        pool: ids.ServiceName,
        now_s: float,
    ) -> None:
        """Drop the lives that have ended, by a list of all hosts that is newer than they are."""
        for life in self._takeover.drop_ended(lives, views, pool):
            worker = self.workers.get(life)
            if worker is not None and not worker.is_polled:
                self._lost(worker, now_s, "its host left the pool or runs another worker")
        self._settle(now_s)

    def _lost(self, worker: fleetview.Worker, now_s: float, reason: str) -> None:
        for task in list(worker.tasks.values()):
            self.notes.note_task("task lost", task, reason=reason)
            self.registry.release(self.registry.records[task.key.job], task, worker, now_s)
        worker.is_polled = False
        self.workers.pop(worker.facts.incarnation, None)

    def record_restart(self, life: fleetview.Incarnation, born_ms: int, now_s: float) -> None:
        """Note that a worker answered in a later life than the one that is known."""
        worker = self.workers.get(life)
        if worker is not None and born_ms > life.born_ms:
            self._lost(worker, now_s, "its worker started anew")

    def tick(self, now_s: float, now_ms: int) -> None:
        """Take note of time: leases that lapsed, occurrences that are due."""
        for worker in list(self.workers.values()):
            if worker.leased_until_s and now_s > worker.leased_until_s:
                for task in list(worker.tasks.values()):
                    self.notes.note_task("lease lapsed", task)
                    self.registry.release(self.registry.records[task.key.job], task, worker, now_s)
                worker.is_polled, worker.leased_until_s = False, 0.0
                worker.unknown_runs.clear()
            if not worker.is_listed and self._is_empty(worker, now_s):
                del self.workers[worker.facts.incarnation]
        for record in self.registry.live.values():
            if record.job.occurrences:
                self.registry.open_due_occurrences(record, now_ms)
        self._settle(now_s)
        if self._stall_detector.is_due(now_s):
            found = self.workers.values()
            self._stall_detector.report([(one, self._closure(one, now_s)) for one in found], now_s)

    def _is_empty(self, worker: fleetview.Worker, now_s: float) -> bool:
        # All that was started there is known, unless an earlier holder's word is still missing.
        return not worker.tasks and (self.is_reconciled or now_s > worker.leased_until_s)

    def get_incarnations_in_use(
        self, now_s: float
    ) -> list[tuple[fleetview.Incarnation, ids.HostId]]:
        """Give the lives, with their hosts, that a later holder has to ask or to wait for."""
        return sorted(
            (life, worker.facts.host)
            for life, worker in self.workers.items()
            if worker.tasks
            or (worker.is_listed and not self.closed_hosts.is_closed(worker.facts.host, now_s))
        )

    def _settle(self, now_s: float) -> None:
        if self._takeover.reconcile(self.workers, now_s):
            for task in list(self.registry.recovering):
                self.registry.requeue_recovering(task)

    @property
    def is_reconciled(self) -> bool:
        """Say whether all that an earlier holder started is accounted for."""
        return self._takeover.is_reconciled

    # --- reports

    def apply_report(self, report: fleetview.WorkerReport) -> None:
        """Take a worker's word on what runs there and what ended."""
        worker = self.workers.get(report.incarnation)
        if worker is not None:
            self._report_handler.apply(worker, report)
            self._settle(report.received_s)

    def take_stored_end(self, life: fleetview.Incarnation) -> int | None:
        """Give the number up to which a worker's ends are stored, if there is news."""
        worker = self.workers.get(life)
        stored, found = self.registry.get_stored_change(), None
        while worker and worker.unpersisted_ends and worker.unpersisted_ends[0][1] <= stored:
            found = worker.unpersisted_ends.popleft()[0]
        return found

    # --- hosts that are asked for

    def evacuate_host(self, host: ids.HostId, now_s: float, *, only_idle: bool = False) -> bool:
        """Clear a host within the budgets of its tasks; says whether nothing runs there now."""
        workers = [one for one in self.workers.values() if one.facts.host == host]
        is_busy = any(worker.tasks or worker.unknown_runs for worker in workers)
        if only_idle and is_busy:
            return False
        if not self.is_reconciled and (
            is_busy or not self._takeover.is_host_reconciled(host, workers)
        ):
            return False
        born_ms = max((worker.facts.incarnation.born_ms for worker in workers), default=0)
        self.closed_hosts.close(host, now_s, born_ms)
        if not is_busy:
            return True
        found = self._places(now_s)
        waiting = list(found.unplaced)
        found.place_stopping(self.workers.values(), self.registry)
        for worker in workers:
            leaving = self.closed_hosts.choose_evacuated(
                worker, self.workers, self.registry, found, now_s
            )
            for task in leaving:
                self.notes.note_task("task leaves", task, host=host)
                self.request_stop(task)
            if not leaving and simulation.has_room_for_waiting(worker, waiting):
                self.notes.note("host stays open", host=host, waiting=len(waiting))
                self.closed_hosts.reopen(host)
        return not any(worker.tasks or worker.unknown_runs for worker in workers)

    def get_demand(self, now_s: float) -> calls.DemandReport:
        """Say what the service needs of hosts now."""
        live = self.registry.live.values()
        closed = [(one, self._closure(one, now_s)) for one in self.workers.values()]
        found = simulation.PlacementSimulation(
            [one for one, why in closed if why in _ROOM_SOON], self.advice
        )
        found.place_waiting(live, now_s)
        found.place_stopping(self.workers.values(), self.registry)
        for worker in self.workers.values():
            if (
                self.closed_hosts.is_closed(worker.facts.host, now_s)
                or worker.drain_notified_s is not None
            ):
                found.place_displaced(worker, self.registry)
        waiting = [(one, one.group_waiting_tasks()) for one in live]
        found.add_unplaceable(each for _, parts in waiting for each in parts)
        return needs.build_report(
            closed,
            waiting,
            needs.Workload(self.estimates, self._arrived_core_ms),
            found,
            now_s,
            is_throttled=self._starter.is_throttled,
        )

    def _places(self, now_s: float) -> simulation.PlacementSimulation:
        """Give the places of the open workers that no waiting task will take."""
        found = simulation.PlacementSimulation(self.get_open_workers(now_s), self.advice)
        found.place_waiting(self.registry.live.values(), now_s)
        return found

    # --- answers to orders

    def record_started(self, order: orders.StartRun, now_s: float) -> None:
        """Note that a worker took a start."""
        task = self._task_of(order)
        if task is not None and task.phase is fleetview.Phase.STARTING:
            task.phase, task.since_s = fleetview.Phase.RUNNING, now_s

    def record_refused(self, order: orders.StartRun, reason: str, now_s: float) -> None:
        """Note that a worker turned a start away; the run does not begin there."""
        worker, task = self.workers.get(order.incarnation), self._task_of(order)
        if worker is None or task is None:
            return
        if reason == "room":
            worker.start_refused_s = now_s
        if reason == "ticket":
            self.advice.discard_ticket(policy.format_step_name(order.key), order.incarnation)
        self.notes.note_task("start refused", task, reason=reason)
        self.registry.release(self.registry.records[order.key.job], task, worker, now_s)

    def record_unanswered(
        self, order: orders.StartRun, now_s: float, *, may_start_until_s: float, why: str
    ) -> bool:
        """Note that a start got no answer; says whether a look would tell if it was carried out."""
        task = self._task_of(order)
        is_unsure = task is not None and task.phase is fleetview.Phase.STARTING
        if task is not None and is_unsure:
            task.phase, task.since_s = fleetview.Phase.UNCONFIRMED, now_s
            task.may_start_until_s = may_start_until_s
            self.notes.note_task(
                "start unanswered",
                task,
                since_ordered_s=round(now_s - task.sent_s, 3),
                size_bytes=orders.get_size_bytes(order),
                why=why,
            )
        return is_unsure

    def record_stop_acknowledged(self, order: orders.StopRun, now_s: float) -> bool:
        """Note that a worker took a stop; says whether a look would free its task now."""
        worker, key = self.workers.get(order.incarnation), jobs.parse_task_name(order.task)
        if worker is not None:
            worker.pending_stops.pop((order.task, order.run), None)
        task = worker.tasks.get(key) if worker and key else None
        if task is not None and task.run == order.run:
            task.stop_acked_s = now_s
            if task.phase is fleetview.Phase.RUNNING:
                task.phase = fleetview.Phase.STOPPING
            return task.phase is fleetview.Phase.UNCONFIRMED
        return False

    def record_stop_unanswered(self, order: orders.StopRun) -> None:
        """Note that a stop got no answer, so that it may be sent again."""
        worker = self.workers.get(order.incarnation)
        if worker is not None:
            worker.pending_stops.pop((order.task, order.run), None)

    def record_not_sent(self, order: orders.Order, why: str, now_s: float) -> None:
        """Note that an order did not leave, and will not."""
        match order:
            case orders.StartRun():
                self.record_refused(order, why, now_s)
            case orders.StopRun():
                self.record_stop_unanswered(order)
            case orders.SetPace():
                self.notes.note("pace not sent", task=order.task, run=order.run, reason=why)

    def is_needed(self, order: orders.StartRun) -> bool:
        """Say whether a start that waited for its way is still to be sent."""
        task = self._task_of(order)
        return task is not None and task.phase is fleetview.Phase.STARTING

    def _task_of(self, order: orders.StartRun) -> fleetview.Task | None:
        worker = self.workers.get(order.incarnation)
        task = worker.tasks.get(order.key) if worker else None
        return task if task is not None and task.run == order.run else None

    # --- choices

    def choose_stops(self, now_s: float) -> list[orders.Order]:
        """Give the runs to stop now: of ended jobs, of lost orders, and those not known."""
        return self._stopper.choose(self.workers, now_s)

    def choose_paces(self, now_s: float) -> list[orders.Order]:
        """Give the paces to set now."""
        chosen: list[orders.Order] = []
        for worker in self.workers.values():
            for task, percent in pacing.choose_paces(worker, now_s).items():
                self.notes.note(
                    "pace set", task=task.key.name, percent=percent, was=task.pace_percent
                )
                task.pace_percent = percent
                worker.pace_set_s = now_s
                chosen.append(
                    orders.SetPace(worker.facts.incarnation, task.key.name, task.run, percent)
                )
        return chosen

    def request_stop(self, task: fleetview.Task) -> None:
        """Have a run stopped so that its task starts elsewhere."""
        if task.phase is fleetview.Phase.RUNNING:
            task.phase = fleetview.Phase.STOPPING

    def get_open_workers(self, now_s: float) -> list[fleetview.Worker]:
        """Give the workers that may get new tasks."""
        return [one for one in self.workers.values() if self._closure(one, now_s) is None]

    def _closure(self, worker: fleetview.Worker, now_s: float) -> fleetview.Unavailability | None:
        """Say why a worker gets no new tasks, or give none."""
        if not worker.is_polled:
            return fleetview.Unavailability.NOT_POLLED
        if worker.is_closed:
            return fleetview.Unavailability.DRAINING
        if self.closed_hosts.is_closed(worker.facts.host, now_s):
            return fleetview.Unavailability.RECLAIMED
        if worker.unresponsive_since_s is not None:
            return fleetview.Unavailability.UNRESPONSIVE
        if now_s < worker.quarantined_until_s:
            return fleetview.Unavailability.QUARANTINED
        return (
            fleetview.Unavailability.FULL
            if now_s < worker.start_refused_s + _ROOM_PAUSE_S
            else None
        )

    def choose_starts(self, now_s: float) -> list[orders.StartRun]:
        """Choose what starts now, the most urgent first."""
        found = self.get_open_workers(now_s)
        chosen = self._starter.choose(found, now_s)
        if self._starter.unplaced:
            self._preempt(found, now_s)
        unkept = self._starter.unreserved
        # What lasts may wait for long, and its room is kept.
        is_full = any(not record.job.is_long_running for record in self._starter.unplaced)
        if unkept and not is_full and not self._starter.is_throttled:
            for record, task in speculation.choose_tasks(
                self.registry.live.values(), self.workers, self.estimates, now_s
            ):
                order = self._starter.start_speculative_run(record, task, unkept, now_s)
                if order is not None:
                    chosen.append(order)
        return chosen

    def _preempt(self, found: list[fleetview.Worker], now_s: float) -> None:
        unkept = self._starter.unreserved
        lasting = [record for record in self._starter.unplaced if record.job.is_long_running]
        others = [record for record in self._starter.unplaced if not record.job.is_long_running]
        stopped: list[fleetview.Task] = []
        for workers, records in ((found, lasting), (unkept, others)):
            if records:
                choice = preemption.Preemption(workers, self.registry, self.estimates, now_s)
                stopped += choice.choose_victims(records)
        for task in stopped:
            self.notes.note_task("run preempted", task)
            self.request_stop(task)

    def evacuate_draining(self, now_s: float) -> None:
        """Have tasks leave workers that drain, where another worker has room for them."""
        if not self.is_reconciled:
            return
        draining = [
            worker
            for worker in self.workers.values()
            if worker.drain_notified_s is not None and worker.tasks
        ]
        if not draining:
            return
        found, able = self.get_open_workers(now_s), self._places(now_s)
        able.place_stopping(self.workers.values(), self.registry)
        for worker in draining:
            for task in evacuation.choose_drained(
                worker, self.workers, self.registry, able, self.estimates, now_s=now_s
            ):
                if any(one.fits(task.step) and one.fits_when_empty(task.step) for one in found):
                    self.notes.note_task(
                        "task leaves",
                        task,
                        host=worker.facts.host,
                        left_ms=worker.facts.left_ms,
                    )
                    self.request_stop(task)
