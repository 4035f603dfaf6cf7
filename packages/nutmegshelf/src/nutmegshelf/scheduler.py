"""Schedule the tasks of one service: track what runs where, and choose what starts and stops."""

import collections.abc
import dataclasses

from nutmegshelf import (
    calls,
    containment,
    estimates,
    evacuation,
    fleetview,
    ids,
    jobs,
    latestarts,
    leaselimits,
    losses,
    needs,
    notes,
    orders,
    pacing,
    policy,
    preemption,
    rebalancing,
    registry,
    rejections,
    releasedruns,
    reports,
    simulation,
    speculation,
    stalls,
    starts,
    stops,
    succession,
    takeover,
    window,
)

# An epoch's fencing tokens are above those of all earlier epochs, and rise within the epoch.
_TOKENS_PER_EPOCH = 1 << 24
# Workers answer most starts within this time.
_USUAL_ANSWER_S = 0.1
# Workers that take new tasks now or are expected to within moments.
_SOON_OPEN = (
    None,
    fleetview.Unavailability.NOT_POLLED,
    fleetview.Unavailability.NOT_RECORDED,
    fleetview.Unavailability.FULL,
    fleetview.Unavailability.UNKNOWN_RUNS,
    fleetview.Unavailability.UNANSWERED,
    fleetview.Unavailability.REPORT_INCOMPLETE,
)


class Scheduler:
    """The workers and jobs of one service during one epoch of its lease."""

    def __init__(
        self,
        epoch: int,
        *,
        lease_expiry_s: float,
        now_s: float,
        is_takeover: bool,
        max_lease_s: float = leaselimits.MAX_LEASE_S,
        records_incarnations: bool = False,
        router: window.StartRouter | None = None,
    ) -> None:
        self.registry = registry.JobRegistry(epoch)
        self.workers: dict[fleetview.Incarnation, fleetview.Worker] = {}
        # The incarnations that a later holder will know of, if they have to be stored for it.
        self._recorded: set[fleetview.Incarnation] | None = set() if records_incarnations else None
        self.notes = notes.Notes()
        self.closed_hosts = evacuation.ClosedHosts()
        self.estimates = estimates.Estimates()
        self.advice = policy.Advice()
        self._fencing_token = epoch * _TOKENS_PER_EPOCH
        # The entries of this service's workers, which other programs may have written.
        self._listed: dict[fleetview.Incarnation, fleetview.WorkerFacts] = {}
        self._succession = succession.Succession()
        self._has_newly_identified = False
        self._starter = starts.Starter(
            self.registry,
            self.advice,
            self.notes,
            router or window.StartRouter(),
            self.estimates,
        )
        self._lease_limits = leaselimits.LeaseLimits(max_lease_s)
        self._late_starts = latestarts.LateStarts()
        self._stopper = stops.Stopper(self.registry, self.notes, self._late_starts)
        self._arrived_core_ms = 0.0
        self._takeover = takeover.Takeover(
            began_s=now_s, lease_expiry_s=lease_expiry_s, is_needed=is_takeover
        )
        self._containment = containment.ErrorContainment(self.registry, self.notes)
        released_runs = releasedruns.ReleasedRuns(self.notes)
        self._report_handler = reports.ReportHandler(
            self.registry, self.estimates, self.notes, self._late_starts, released_runs
        )
        self.losses = losses.LossTracker(
            self.registry, self.notes, self._lease_limits, released_runs
        )
        self.rejections = rejections.RejectionTracker(self.registry, self.notes)
        self._stall_detector = stalls.StallDetector(self.registry, self.notes)

    # --- jobs

    def load_job(
        self,
        job: jobs.Job,
        progress: jobs.Progress | None,
        accepted_s: float,
        now_s: float,
        now_ms: int,
    ) -> registry.JobRecord:
        """Add a job that was stored before this epoch, so that its tasks may have been started."""
        record = self.registry.add(
            job, progress, accepted_s, now_ms, may_run=not self.is_reconciled, now_s=now_s
        )
        if record.is_live:
            self.losses.expect_unresolved(record, now_s)
        return record

    def add_job(self, job: jobs.Job, accepted_s: float, now_s: float, now_ms: int) -> None:
        """Add a job that was stored in this epoch, in which only this holder starts its tasks."""
        if job.job in self.registry.records:
            return
        self.registry.add(job, None, accepted_s, now_ms, may_run=False, now_s=now_s)
        self.record_arrival(job)
        self.rejections.check_added(job.job)

    def record_arrival(self, job: jobs.Job) -> None:
        """Add the expected work of a new job to the amount that has arrived."""
        ratio = self.estimates.get_ratio(job.queue.name)
        self._arrived_core_ms += ratio * sum(
            step.count * step.cpu_millis / 1000 * step.estimate_ms
            for step in job.steps
            if not step.fills
        )

    def evict_ended(self, before_s: float) -> list[registry.JobRecord]:
        """Drop and return the jobs that ended before a time, so that their rows can be deleted."""
        evicted = self.registry.evict_ended(before_s)
        for record in evicted:
            self.advice.forget(record.job.job)
        return evicted

    # --- workers

    def update_workers(
        self, listed: collections.abc.Iterable[fleetview.WorkerFacts], now_s: float
    ) -> list[fleetview.Worker]:
        """Apply the fleet's list of this service's workers, and return those that are new."""
        self._listed = {facts.incarnation: self._takeover.correct_host(facts) for facts in listed}
        self._succession.forget_unlisted(self._listed)
        added: list[fleetview.Worker] = []
        for incarnation, facts in self._listed.items():
            if self._has_ended(incarnation):
                continue
            worker = self.workers.get(incarnation)
            if worker is None:
                if self._is_polled_as_other(facts):
                    continue
                worker = self._add_worker(facts, now_s)
                added.append(worker)
            self._apply_entry(worker, facts, now_s)
        claimed = {each.worker for each in self._listed if not self._has_ended(each)}
        for incarnation, worker in self.workers.items():
            # An entry under the same id may be false, and hides that of this incarnation.
            if incarnation not in self._listed and incarnation.worker not in claimed:
                worker.is_listed, worker.is_closed = False, True
        self._succession.update(self.workers)
        return added

    def _has_ended(self, incarnation: fleetview.Incarnation) -> bool:
        return self._takeover.has_ended(incarnation) or self._succession.has_ended(incarnation)

    def _is_polled_as_other(self, facts: fleetview.WorkerFacts) -> bool:
        """Return whether polls of another incarnation tell if the listed one has replaced it."""
        return any(
            incarnation.worker == facts.incarnation.worker and worker.facts.address == facts.address
            for incarnation, worker in self.workers.items()
        )

    def _apply_entry(
        self, worker: fleetview.Worker, facts: fleetview.WorkerFacts, now_s: float
    ) -> None:
        if worker.is_contradicted_by(facts):
            self.notes.note(
                "worker entry ignored",
                worker=facts.incarnation.worker,
                host=facts.host,
                address=facts.address,
                known_host=worker.facts.host,
                known_address=worker.facts.address,
            )
            return
        if facts.is_draining and (
            worker.drain_notified_s is None or worker.facts.left_ms != facts.left_ms
        ):
            worker.drain_notified_s = now_s
        self._update_capacity(worker, facts, now_s)
        worker.is_listed = True
        worker.is_closed = facts.is_draining

    def _add_worker(self, facts: fleetview.WorkerFacts, now_s: float) -> fleetview.Worker:
        worker = fleetview.Worker(
            facts, self._take_fencing_token(), added_s=now_s, idle_since_s=now_s
        )
        # Leases that an earlier holder granted there have expired by then.
        if now_s < self._takeover.leases_expire_s:
            worker.leased_until_s = self._takeover.leases_expire_s
        self.workers[facts.incarnation] = worker
        return worker

    def _take_fencing_token(self) -> int:
        self._fencing_token += 1
        return self._fencing_token

    def _update_capacity(
        self, worker: fleetview.Worker, facts: fleetview.WorkerFacts, now_s: float
    ) -> None:
        """Apply a worker's capacity, and take back unsent starts that it has no room for now."""
        if worker.facts == facts:
            return
        previous = worker.facts
        if not worker.update_facts(facts):
            return
        unsent = [
            task
            for task in worker.tasks.values()
            if task.phase is fleetview.Phase.STARTING and not task.is_sent
        ]
        while unsent and worker.free.is_overcommitted:
            task = unsent.pop()
            self.notes.note_task("start taken back", task, worker=facts.incarnation.worker)
            self.registry.release(self.registry.records[task.key.job], task, worker, now_s)
        self.notes.note(
            "worker shrank",
            worker=facts.incarnation.worker,
            cpu_millis=facts.cpu_millis,
            was_cpu_millis=previous.cpu_millis,
            memory_mb=facts.memory_mb,
            was_memory_mb=previous.memory_mb,
            tasks=len(worker.tasks),
            free_cpu_millis=worker.free.cpu_millis,
        )

    def expect_incarnations(
        self, incarnations: collections.abc.Iterable[tuple[fleetview.Incarnation, ids.HostId]]
    ) -> None:
        """Set the incarnations of workers that an earlier holder used."""
        self._takeover.expect(incarnations)

    def expect_no_runs(self) -> None:
        """Set that no earlier holder can have started anything."""
        self._takeover.expect_none()

    def expect_unknown_incarnations(self) -> None:
        """Wait for the leases of an earlier holder, as it is unknown which workers it used."""
        self._takeover.expect_unknown()

    def get_unreported_incarnations(self) -> takeover.Incarnations:
        """Return the incarnations that have not reported since a takeover."""
        return self._takeover.get_unreported(self.workers)

    def drop_ended(
        self,
        incarnations: takeover.Incarnations,
        views: collections.abc.Iterable[rebalancing.HostView],
        pool: ids.ServiceName,
        now_s: float,
    ) -> None:
        """Drop the incarnations that have ended according to a newer list of all hosts."""
        for incarnation in self._takeover.drop_ended(incarnations, views, pool):
            worker = self.workers.get(incarnation)
            if worker is not None and not worker.is_accounted_for:
                self._drop_worker(worker, now_s, fleetview.LossCause.HOST_LEFT)
        self._reconcile(now_s)

    def _drop_worker(
        self, worker: fleetview.Worker, now_s: float, cause: fleetview.LossCause
    ) -> None:
        self.losses.release(worker, now_s, cause)
        worker.is_polled = False
        self._remove_worker(worker.facts.incarnation)

    def _remove_worker(self, incarnation: fleetview.Incarnation) -> None:
        if self.workers.pop(incarnation, None) is not None:
            self._succession.update(self.workers)

    def record_restart(
        self, incarnation: fleetview.Incarnation, born_ms: int, now_s: float
    ) -> None:
        """Replace a worker whose poll was answered by another incarnation that has not ended."""
        worker = self.workers.get(incarnation)
        if worker is None:
            return
        other = fleetview.Incarnation(incarnation.worker, born_ms)
        if self._has_ended(other):
            return
        replacement = self.workers.get(other)
        if replacement is None:
            facts = self._listed.get(other)
            replacement = self._add_worker(
                facts or dataclasses.replace(worker.facts, incarnation=other), now_s
            )
            if facts is not None:
                self._apply_entry(replacement, facts, now_s)
            else:
                # It may be of another kind, so it gets no new tasks before it is listed.
                replacement.is_listed, replacement.is_closed = False, True
        self._drop_replaced(worker, replacement, now_s)

    def _drop_replaced(
        self, worker: fleetview.Worker, replacement: fleetview.Worker, now_s: float
    ) -> None:
        """Drop a worker that has ended, as the answers of another one prove.

        A later incarnation under the same id may have got a start that the former one did not
        confirm, or may get it yet. Such a run goes over to the later incarnation, whose first
        report, to a poll with a higher fencing token, tells whether it is there.
        """
        incarnation = worker.facts.incarnation
        self.notes.note(
            "worker replaced",
            worker=incarnation.worker,
            born_ms=incarnation.born_ms,
            host=worker.facts.host,
            by=replacement.facts.incarnation.worker,
            by_born_ms=replacement.facts.incarnation.born_ms,
            was_identified=worker.identified_s is not None,
            unheard_s=round(now_s - succession.get_last_contact_s(worker), 3),
            tasks=len(worker.tasks),
            unconfirmed=sum(
                each.is_sent and not each.is_confirmed for each in worker.tasks.values()
            ),
        )
        self._succession.record_ended(incarnation)
        self._takeover.record_ended(incarnation)
        was_claim = worker.identified_s is None and replacement.identified_s is not None
        if replacement.facts.incarnation.worker == incarnation.worker and not was_claim:
            self._late_starts.record_restart(now_s)
            replacement.fencing_token = self._take_fencing_token()
            for task in list(worker.tasks.values()):
                if not task.is_sent or task.is_confirmed:
                    continue
                self.notes.note_task(
                    "run may be at a later incarnation",
                    task,
                    worker=incarnation.worker,
                    born_ms=replacement.facts.incarnation.born_ms,
                    phase=task.phase.value,
                )
                self.registry.transfer(task, worker, replacement, now_s)
            replacement.inherit_lease_request(worker)
        self._drop_worker(worker, now_s, fleetview.LossCause.RESTARTED)
        self.losses.count_crash(incarnation, now_s)

    def _drop_rivals(self, incarnation: fleetview.Incarnation, now_s: float) -> None:
        """Drop the workers that are proven to have ended by what is known of one of them now."""
        for worker, replacement in self._succession.find_replaced(incarnation):
            self._drop_replaced(worker, replacement, now_s)

    def record_silence(self, incarnation: fleetview.Incarnation, now_s: float) -> bool:
        """Record that a call to a worker failed; return whether the worker answered before.

        The worker may have started again, so what was sent before is barred from the next call on.
        """
        worker = self.workers.get(incarnation)
        if worker is None or worker.unresponsive_since_s is not None:
            return False
        worker.unresponsive_since_s = now_s
        worker.fencing_token = self._take_fencing_token()
        self._drop_rivals(incarnation, now_s)
        return True

    def tick(self, now_s: float, now_ms: int) -> None:
        """Expire leases, open the occurrences that are due and look for stalled tasks."""
        for worker in list(self.workers.values()):
            if worker.unresponsive_since_s is not None:
                self.losses.store_silent(worker, now_s)
            if worker.leased_until_s and now_s > worker.leased_until_s:
                self.losses.release_expired(worker, now_s)
                worker.is_polled = False
                worker.leased_until_s = 0.0
                worker.is_report_complete = True
                worker.unknown_runs.clear()
            elif not (worker.leased_until_s or worker.is_polled):
                # Its lease is over, but it may have got starts that are still waited for.
                self.losses.release_expired(worker, now_s)
            if not worker.is_listed and self._is_empty(worker, now_s):
                self._remove_worker(worker.facts.incarnation)
        for job, record in list(self.registry.live.items()):
            if record.job.occurrences:
                with self._containment.confine(job, now_s, "its due occurrences"):
                    may_run = record.is_from_earlier_epoch and not self.is_reconciled
                    self.registry.open_due_occurrences(record, now_ms, may_run=may_run)
        self.losses.expire(now_s)
        self._reconcile(now_s)
        if self._stall_detector.is_due(now_s):
            workers = self.workers.values()
            self._stall_detector.report(
                [(each, self._get_unavailability(each, now_s)) for each in workers], now_s
            )

    def _is_empty(self, worker: fleetview.Worker, now_s: float) -> bool:
        # Before reconciliation an earlier holder may have started runs that are not yet reported.
        return (
            not worker.tasks
            and worker.is_report_complete
            and (self.is_reconciled or now_s > worker.leased_until_s)
        )

    def get_incarnations_in_use(
        self, now_s: float
    ) -> list[tuple[fleetview.Incarnation, ids.HostId]] | None:
        """Return the incarnations, with their hosts, that a later holder must poll or wait for.

        They are None while it is unknown which ones an earlier holder used.
        """
        in_use = {
            incarnation: worker.facts.host
            for incarnation, worker in self.workers.items()
            if worker.tasks
            or not worker.is_report_complete
            or (
                worker.is_listed
                and worker.identified_s is not None
                and not self.closed_hosts.is_closed(worker.facts.host, now_s)
            )
        }
        if not self.is_reconciled:
            expected = self._takeover.get_expected()
            if expected is None:
                return None
            in_use = {**expected, **in_use}
        return sorted(in_use.items())

    def take_newly_identified(self) -> bool:
        """Return whether workers have answered for the first time since the last call."""
        has_new, self._has_newly_identified = self._has_newly_identified, False
        return has_new

    def set_recorded(
        self, incarnations: collections.abc.Iterable[fleetview.Incarnation], *, is_stored: bool
    ) -> None:
        """Set the incarnations that a later holder will know of.

        Until they are known to be stored, the row may still hold the former ones.
        """
        if self._recorded is not None:
            self._recorded = set(incarnations) if is_stored else self._recorded & set(incarnations)

    def _is_recorded(self, incarnation: fleetview.Incarnation) -> bool:
        # A later holder waits for the leases of all workers if it can't know which were used.
        if self._recorded is None or (
            not self.is_reconciled and self._takeover.get_expected() is None
        ):
            return True
        return incarnation in self._recorded

    def _reconcile(self, now_s: float) -> None:
        self._takeover.update(self.workers, now_s)
        if self.is_reconciled:
            for task in list(self.registry.recovering):
                self.registry.requeue_recovering(task)

    @property
    def is_reconciled(self) -> bool:
        """Return whether every run that an earlier holder may have started is accounted for."""
        return self._takeover.is_reconciled

    # --- reports

    def apply_report(self, report: fleetview.WorkerReport) -> None:
        """Apply a worker's report of its running and ended runs."""
        worker = self.workers.get(report.incarnation)
        if worker is not None:
            if not worker.is_polled:
                # Until it answered, it may have carried out calls meant for a former incarnation.
                latest_end_s = self._lease_limits.get_latest_end_s(report.received_s)
                worker.leased_until_s = max(worker.leased_until_s, latest_end_s)
            self.losses.clear(report.incarnation)
            self._report_handler.apply(worker, report)
            worker.poll_sent_s = report.sent_s
            is_new = worker.identified_s is None and report.incarnation in self._listed
            if is_new:
                self._identify(worker, report.received_s)
            self._drop_rivals(report.incarnation, report.received_s)
            if is_new:
                self._count_earlier_crashes(worker, report.received_s)
            self._reconcile(report.received_s)

    def _identify(self, worker: fleetview.Worker, now_s: float) -> None:
        """Record that a worker answered as the incarnation that its entry names."""
        facts = worker.facts
        worker.identified_s = now_s
        self._has_newly_identified = True
        self._succession.update(self.workers)
        self.closed_hosts.reopen_if_restarted(facts.incarnation, facts.host)

    def _count_earlier_crashes(self, worker: fleetview.Worker, now_s: float) -> None:
        """Count the crashes of workers that were lost before one that answers at their host."""
        incarnation, host = worker.facts.incarnation, worker.facts.host
        if self._succession.is_rival(incarnation):
            self.notes.note("worker waits for another", worker=incarnation.worker, host=host)
        elif host:
            # A worker that is still known is judged by its own calls.
            self.losses.count_crashes(host, incarnation.born_ms, self.workers.keys(), now_s)

    def take_stored_end(self, incarnation: fleetview.Incarnation) -> int | None:
        """Return the number up to which a worker's run ends are stored, or None if unchanged."""
        worker = self.workers.get(incarnation)
        stored_change, number = self.registry.get_stored_change(), None
        while worker and worker.unpersisted_ends and worker.unpersisted_ends[0][1] <= stored_change:
            number = worker.unpersisted_ends.popleft()[0]
        return number

    # --- hosts to evacuate

    def evacuate_host(self, host: ids.HostId, now_s: float, *, only_idle: bool = False) -> bool:
        """Evacuate a host within its tasks' disruption budgets; return whether it is empty now."""
        workers = [each for each in self.workers.values() if each.facts.host == host]
        is_busy = any(worker.is_occupied for worker in workers)
        if only_idle and is_busy:
            return False
        if not self.is_reconciled and (
            is_busy or not self._takeover.is_host_reconciled(host, workers)
        ):
            return False
        identified = [worker for worker in workers if worker.identified_s is not None]
        born_ms = max((worker.facts.incarnation.born_ms for worker in identified), default=0)
        self.closed_hosts.close(host, now_s, born_ms)
        if not is_busy:
            self.losses.clear_host(host)
            return True
        placements = self._create_placements(now_s)
        waiting = list(placements.unplaced)
        placements.place_stopping(self.workers.values(), self.registry)
        for worker in workers:
            evicted = self.closed_hosts.choose_evacuated(
                worker, self.workers, self.registry, placements, now_s
            )
            for task in evicted:
                self.notes.note_task("task leaves", task, host=host)
                self.request_stop(task)
            if not evicted and simulation.has_room_for_waiting(worker, waiting):
                self.notes.note("host stays open", host=host, waiting=len(waiting))
                self.closed_hosts.reopen(host)
        return not any(worker.is_occupied for worker in workers)

    def get_demand(self, now_s: float) -> calls.DemandReport:
        """Return how many hosts the service needs now, and how loaded its present ones are."""
        records = self.registry.live.values()
        availability = [
            (each, self._get_unavailability(each, now_s)) for each in self.get_known_workers()
        ]
        placements = simulation.PlacementSimulation(
            [each for each, reason in availability if reason in _SOON_OPEN], self.advice
        )
        placements.place_waiting(records, now_s)
        placements.place_stopping(self.workers.values(), self.registry)
        for worker in self.workers.values():
            if (
                self.closed_hosts.is_closed(worker.facts.host, now_s)
                or worker.drain_notified_s is not None
            ):
                placements.place_displaced(worker, self.registry)
        waiting_tasks = [(each, each.group_waiting_tasks()) for each in records]
        placements.add_unplaceable(group for _, groups in waiting_tasks for group in groups)
        return needs.build_report(
            availability,
            waiting_tasks,
            needs.Workload(self.estimates, self._arrived_core_ms),
            placements,
            now_s,
            is_throttled=self._starter.is_throttled,
            waiting_trials=self._starter.waiting_trial_count,
        )

    def _create_placements(self, now_s: float) -> simulation.PlacementSimulation:
        """Return the room at the open workers that no waiting long-running task will take."""
        placements = simulation.PlacementSimulation(self.get_open_workers(now_s), self.advice)
        placements.place_waiting(self.registry.live.values(), now_s)
        return placements

    # --- answers to orders

    def record_sent(self, order: orders.StartRun) -> None:
        """Record that a start leaves for its worker, which may carry it out from now on."""
        task = self._get_task(order)
        worker = self.workers.get(order.incarnation)
        if task is not None and worker is not None:
            task.is_sent, task.fencing_token = True, worker.fencing_token

    def record_started(self, order: orders.StartRun, now_s: float) -> None:
        """Record that a worker accepted a start."""
        task = self._get_task(order)
        if task is None:
            return
        task.is_confirmed = True
        if task.phase is fleetview.Phase.STARTING:
            task.phase, task.since_s = fleetview.Phase.RUNNING, now_s

    def has_unanswered_starts(self, now_s: float) -> bool:
        """Return whether starts were sent that may be carried out, though no answer came."""
        return any(
            task.is_sent
            and not (task.is_confirmed or task.step.speculative)
            and now_s - task.sent_s > _USUAL_ANSWER_S
            for worker in self.workers.values()
            for task in worker.tasks.values()
        )

    def record_refused(self, order: orders.StartRun, reason: str, now_s: float) -> None:
        """Record that a start was refused, and release its task to start elsewhere."""
        worker, task = self.workers.get(order.incarnation), self._get_task(order)
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
        """Record a start without an answer; return whether a poll would tell if it was executed."""
        task = self._get_task(order)
        is_unsure = task is not None and task.phase is fleetview.Phase.STARTING
        if task is not None and is_unsure:
            task.phase, task.since_s = fleetview.Phase.UNCONFIRMED, now_s
            task.may_start_until_s = may_start_until_s
            self.workers[order.incarnation].unanswered_since_s = now_s
            self.notes.note_task(
                "start unanswered",
                task,
                since_ordered_s=round(now_s - task.sent_s, 3),
                size_bytes=orders.get_size_bytes(order),
                why=why,
            )
        return is_unsure

    def record_stop_acknowledged(self, order: orders.StopRun, now_s: float) -> bool:
        """Record an accepted stop; return whether a poll would release the task now."""
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
        """Record that a stop got no answer, so that it may be sent again."""
        worker = self.workers.get(order.incarnation)
        if worker is not None:
            worker.pending_stops.pop((order.task, order.run), None)

    def record_not_sent(self, order: orders.Order, why: str, now_s: float) -> None:
        """Record that an order was discarded before it was sent."""
        match order:
            case orders.StartRun():
                self.record_refused(order, why, now_s)
            case orders.StopRun():
                self.record_stop_unanswered(order)
            case orders.SetPace():
                self.notes.note("pace not sent", task=order.task, run=order.run, reason=why)

    def is_needed(self, order: orders.StartRun) -> bool:
        """Return whether a start that was waiting to be sent should still be sent."""
        task = self._get_task(order)
        return task is not None and task.phase is fleetview.Phase.STARTING

    def _get_task(self, order: orders.StartRun) -> fleetview.Task | None:
        worker = self.workers.get(order.incarnation)
        task = worker.tasks.get(order.key) if worker else None
        return task if task is not None and task.run == order.run else None

    # --- choices

    def choose_stops(self, now_s: float) -> list[orders.Order]:
        """Return the stops to send now, of runs of ended jobs, lost starts and unknown runs."""
        return self._stopper.choose(self.workers, now_s)

    def choose_paces(self, now_s: float) -> list[orders.Order]:
        """Return the changes of pace to send now."""
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
        """Mark a running task to be stopped, so that it starts elsewhere."""
        if task.phase is fleetview.Phase.RUNNING:
            task.phase = fleetview.Phase.STOPPING

    def get_open_workers(self, now_s: float) -> list[fleetview.Worker]:
        """Return the workers that may get new tasks."""
        return [
            worker
            for worker in self.workers.values()
            if self._get_unavailability(worker, now_s) is None
        ]

    def get_known_workers(self) -> list[fleetview.Worker]:
        """Return the workers without those that only claim the host or the id of another one."""
        return [
            worker
            for incarnation, worker in self.workers.items()
            if not self._succession.is_rival(incarnation)
        ]

    def count_unidentified(self) -> int:
        """Return the number of workers that have not answered yet."""
        return sum(each.identified_s is None for each in self.workers.values())

    def _get_unavailability(
        self, worker: fleetview.Worker, now_s: float
    ) -> fleetview.Unavailability | None:
        """Return why a worker gets no new tasks, or None if it may get some."""
        if self._succession.is_rival(worker.facts.incarnation):
            return fleetview.Unavailability.HOST_TAKEN
        if not worker.is_polled:
            is_silent = worker.unresponsive_since_s is not None
            return (
                fleetview.Unavailability.UNRESPONSIVE
                if is_silent
                else fleetview.Unavailability.NOT_POLLED
            )
        if not self._is_recorded(worker.facts.incarnation):
            return fleetview.Unavailability.NOT_RECORDED
        if worker.is_closed:
            return fleetview.Unavailability.DRAINING
        if self.closed_hosts.is_closed(worker.facts.host, now_s):
            return fleetview.Unavailability.RECLAIMED
        return worker.get_pause_reason(now_s)

    def choose_starts(self, now_s: float) -> list[orders.StartRun]:
        """Return the starts to send now, the most urgent first, and mark runs to preempt."""
        open_workers = self.get_open_workers(now_s)
        chosen = self._starter.choose(open_workers, now_s)
        if self._starter.unplaced:
            self._preempt(self._starter.usable, now_s)
        unreserved = self._starter.unreserved
        # Long-running tasks may wait for long in reserved room, so they don't count here.
        is_full = any(not record.job.is_long_running for record in self._starter.unplaced)
        if unreserved and not is_full and not self._starter.is_throttled:
            for record, task in speculation.choose_tasks(
                self.registry.live.values(), self.workers, self.estimates, now_s
            ):
                order = self._starter.start_speculative_run(record, task, unreserved, now_s)
                if order is not None:
                    chosen.append(order)
        return chosen

    def _preempt(self, open_workers: list[fleetview.Worker], now_s: float) -> None:
        unreserved = self._starter.unreserved
        long_running = [record for record in self._starter.unplaced if record.job.is_long_running]
        short = [record for record in self._starter.unplaced if not record.job.is_long_running]
        stopped: list[fleetview.Task] = []
        for workers, records in ((open_workers, long_running), (unreserved, short)):
            if records:
                chooser = preemption.Preemption(workers, self.registry, self.estimates, now_s)
                stopped += chooser.choose_victims(records)
        for task in stopped:
            self.notes.note_task("run preempted", task)
            self.request_stop(task)

    def evacuate_draining(self, now_s: float) -> None:
        """Mark tasks of draining workers to be stopped where another worker has room for them."""
        if not self.is_reconciled:
            return
        draining = [
            worker
            for worker in self.workers.values()
            if worker.drain_notified_s is not None and worker.tasks
        ]
        if not draining:
            return
        open_workers, placements = self.get_open_workers(now_s), self._create_placements(now_s)
        placements.place_stopping(self.workers.values(), self.registry)
        for worker in draining:
            for task in evacuation.choose_drained(
                worker, self.workers, self.registry, placements, self.estimates, now_s=now_s
            ):
                if any(
                    open_worker.fits(task.step) and open_worker.fits_when_empty(task.step)
                    for open_worker in open_workers
                ):
                    self.notes.note_task(
                        "task leaves",
                        task,
                        host=worker.facts.host,
                        left_ms=worker.facts.left_ms,
                    )
                    self.request_stop(task)
