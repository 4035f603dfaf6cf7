"""Decide for one service which tasks start where, and which runs have to be stopped."""

import collections
import collections.abc
import dataclasses
import math

from nutmegshelf import (
    advising,
    calls,
    clearing,
    estimates,
    fitting,
    fleetview,
    ids,
    jobs,
    ledger,
    notes,
    sharing,
    urgency,
)

# A stop that was not answered is sent again after this time.
STOP_AGAIN_S = 0.4
# A worker that fails this many runs in a row, of two jobs or more, gets no work for a while.
_SHUN_FAILURES = 4
_SHUN_S = 4.0
# After a refusal for want of room a worker gets no starts until its next report.
_ROOM_PAUSE_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run of a task at a worker."""

    life: fleetview.Life
    key: jobs.TaskKey
    run: int
    spec: str
    saved: str
    queue: ids.QueueName
    ticket: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run at a worker and bar any order to start it that is still under way."""

    life: fleetview.Life
    task: str
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetPace:
    """Let a run work at a share of its speed."""

    life: fleetview.Life
    task: str
    run: int
    percent: int


Order = StartRun | StopRun | SetPace


class Scheduler:
    """Own the workers and the ledger of one service for one epoch of its lease."""

    def __init__(self, epoch: int, *, lapse_s: float, now_s: float, recovers: bool) -> None:
        self.ledger = ledger.Ledger(epoch)
        self.workers: dict[fleetview.Life, fleetview.Worker] = {}
        self.notes = notes.Notes()
        self.clearing = clearing.Clearing()
        self.estimates = estimates.Estimates()
        self.advice = advising.Advice()
        self._arrived_core_ms = 0.0
        self._lapse_s = lapse_s
        self._began_s = now_s
        self._recovers = recovers
        self._expected: dict[fleetview.Life, ids.HostId] = {}
        self._is_settled = not recovers

    def arrived(self, job: jobs.Job) -> None:
        """Count the work of a new job."""
        ratio = self.estimates.ratio(job.queue.name)
        self._arrived_core_ms += ratio * sum(
            step.count * step.cpu_millis / 1000 * step.estimate_ms
            for step in job.steps
            if not step.fills
        )

    # --- workers

    def list_workers(
        self, listed: collections.abc.Iterable[fleetview.WorkerFacts], now_s: float
    ) -> list[fleetview.Worker]:
        """Take the fleet's list of this service; gives the workers that are new."""
        found = {facts.life: facts for facts in listed}
        added: list[fleetview.Worker] = []
        for life, facts in found.items():
            worker = self.workers.get(life)
            if worker is None:
                worker = self.workers[life] = fleetview.Worker(facts, idle_since_s=now_s)
                if self._recovers:
                    # An earlier holder may have given it a lease until now.
                    worker.leased_until_s = self._began_s + self._lapse_s
                added.append(worker)
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

    def expect_lives(
        self, lives: collections.abc.Iterable[tuple[fleetview.Life, ids.HostId]]
    ) -> None:
        """Note which lives an earlier holder used; one that isn't listed may still run tasks."""
        self._expected = dict(lives)

    def _lost(self, worker: fleetview.Worker, now_s: float, reason: str) -> None:
        for task in list(worker.tasks.values()):
            self.notes.note("task lost", task=task.key.name, run=task.run, reason=reason)
            self.ledger.free(self.ledger.records[task.key.job], task, worker, now_s)
        worker.is_asked = False
        self.workers.pop(worker.facts.life, None)

    def reborn(self, life: fleetview.Life, born_ms: int, now_s: float) -> None:
        """Note that a worker answered in a later life than the one that is known."""
        worker = self.workers.get(life)
        if worker is not None and born_ms > life.born_ms:
            self._lost(worker, now_s, "its worker started anew")

    def tick(self, now_s: float, now_ms: int) -> None:
        """Take note of time: leases that lapsed, occurrences that are due."""
        for worker in list(self.workers.values()):
            if worker.leased_until_s and now_s > worker.leased_until_s:
                for task in list(worker.tasks.values()):
                    self.notes.note("lease lapsed", task=task.key.name, run=task.run)
                    self.ledger.free(self.ledger.records[task.key.job], task, worker, now_s)
                worker.is_asked = False
                worker.strays.clear()
            if not worker.is_listed and self._is_empty(worker, now_s):
                del self.workers[worker.facts.life]
        for record in self.ledger.records.values():
            if record.job.occurrences and record.is_live:
                self.ledger.open_due(record, now_ms)
        self._settle(now_s)

    def _is_empty(self, worker: fleetview.Worker, now_s: float) -> bool:
        # All that was started there is known, unless an earlier holder's word is still missing.
        return not worker.tasks and (self._is_settled or now_s > worker.leased_until_s)

    def lives_in_use(self, now_s: float) -> list[tuple[fleetview.Life, ids.HostId]]:
        """Give the lives, with their hosts, that a later holder has to ask or to wait for."""
        return sorted(
            (life, worker.facts.host)
            for life, worker in self.workers.items()
            if worker.tasks
            or (worker.is_listed and not self.clearing.is_closed(worker.facts.host, now_s))
        )

    def _settle(self, now_s: float) -> None:
        if self._is_settled:
            return
        lapsed_s = self._began_s + self._lapse_s
        if now_s <= lapsed_s:
            born = {worker.facts.host: life.born_ms for life, worker in self.workers.items()}
            for life, host in self._expected.items():
                # A later life at the same host says that this one has ended.
                if life not in self.workers and born.get(host, -1) <= life.born_ms:
                    return
            if not all(worker.is_asked for worker in self.workers.values()):
                return
        self._is_settled = True
        for task in list(self.ledger.adrift):
            self.ledger.settle(task)

    @property
    def is_settled(self) -> bool:
        """Say whether all that an earlier holder started is accounted for."""
        return self._is_settled

    # --- reports

    def reported(self, report: fleetview.Report) -> None:
        """Take a worker's word on what runs there and what ended."""
        worker = self.workers.get(report.life)
        if worker is None:
            return
        now_s = report.received_s
        worker.is_asked = True
        worker.heard_s, worker.unheard_since_s = now_s, None
        listed: set[tuple[str, int]] = set()
        for end in report.ends:
            listed.add((end.task, end.run))
            if end.number > worker.last_end:
                worker.last_end = end.number
                self._ended(worker, end, now_s)
                worker.unstored_ends.append((end.number, self.ledger.change))
        for run in report.running:
            listed.add((run.task, run.run))
            self._runs(worker, run, now_s)
        worker.strays = {key: at for key, at in worker.strays.items() if key in listed}
        for task in list(worker.tasks.values()):
            if (task.key.name, task.run) not in listed:
                self._absent(worker, task, report)
        self._settle(now_s)

    def _runs(self, worker: fleetview.Worker, listed: fleetview.Listed, now_s: float) -> None:
        key = jobs.parse_task(listed.task)
        record = self.ledger.records.get(key.job) if key else None
        task = record.task(key) if record and key else None
        if record is None or task is None or not record.is_live:
            worker.strays.setdefault((listed.task, listed.run), -STOP_AGAIN_S)
            if task is not None and task.life == worker.facts.life and task.run == listed.run:
                worker.strays.pop((listed.task, listed.run))
                task.percent = listed.percent
            return
        is_own = task.life == worker.facts.life and task.run == listed.run
        if not is_own:
            if task.phase in (fleetview.Phase.ADRIFT, fleetview.Phase.WAITING):
                self.ledger.adopt(record, task, worker, listed.run, now_s)
            else:
                worker.strays.setdefault((listed.task, listed.run), -STOP_AGAIN_S)
                return
        if task.phase is fleetview.Phase.STARTING or (
            task.phase is fleetview.Phase.UNSURE and task.stop_sent_s is None
        ):
            task.phase, task.since_s = fleetview.Phase.RUNNING, now_s
        task.percent, task.figure = listed.percent, listed.figure
        self.ledger.save(record, task, listed.saved)

    def _ended(self, worker: fleetview.Worker, end: fleetview.End, now_s: float) -> None:
        key = jobs.parse_task(end.task)
        record = self.ledger.records.get(key.job) if key else None
        task = record.task(key) if record and key else None
        if record is None or task is None:
            return
        is_own = task.life == worker.facts.life and task.run == end.run
        match end.how:
            case fleetview.How.DONE if record.is_live and not task.step.lasting:
                worker.failures_in_row = 0
                worker.failed_jobs.clear()
                if is_own and task.step.estimate_ms and not task.saved:
                    took_s = now_s - task.sent_s
                    queue = record.job.queue.name
                    self.estimates.note(queue, task.step.estimate_ms / 1000, took_s)
                self.ledger.finish(record, task, now_s)
            case fleetview.How.FAILED:
                self._blame(worker, record, now_s)
                self.ledger.fail(record, task, end.run, now_s)
            case _:
                pass
        if not record.is_live and record.ended_s == now_s:
            self.notes.note(
                "job ended",
                job=record.job.job,
                state=record.progress.state.value,
                reason=record.progress.reason,
                took_s=round(now_s - record.accepted_s, 3),
            )
        self.ledger.save(record, task, end.saved)
        if is_own:
            if end.how is not fleetview.How.DONE:
                self.notes.note("run ended", task=end.task, run=end.run, how=end.how.value)
            self.ledger.free(record, task, worker, now_s)

    def _blame(self, worker: fleetview.Worker, record: ledger.Record, now_s: float) -> None:
        worker.failures_in_row += 1
        worker.failed_jobs.add(record.job.job)
        if worker.failures_in_row >= _SHUN_FAILURES and len(worker.failed_jobs) > 1:
            worker.shunned_until_s = now_s + _SHUN_S
            worker.failures_in_row = 1
            self.notes.note("worker shunned", worker=worker.facts.life.worker, for_s=_SHUN_S)

    def _absent(
        self, worker: fleetview.Worker, task: fleetview.Task, report: fleetview.Report
    ) -> None:
        # Only a look that began after the last word on a run can say that it is gone.
        match task.phase:
            case fleetview.Phase.RUNNING | fleetview.Phase.DONE:
                is_gone = report.sent_s >= task.since_s
            case fleetview.Phase.UNSURE | fleetview.Phase.STOPPING:
                is_gone = task.stop_acked_s is not None and report.sent_s >= task.stop_acked_s
            case _:
                is_gone = False
        if is_gone:
            self.ledger.free(self.ledger.records[task.key.job], task, worker, report.received_s)

    def settled_end(self, life: fleetview.Life) -> int | None:
        """Give the number up to which a worker's ends are stored, if there is news."""
        worker = self.workers.get(life)
        stored, found = self.ledger.stored_change(), None
        while worker and worker.unstored_ends and worker.unstored_ends[0][1] <= stored:
            found = worker.unstored_ends.popleft()[0]
        return found

    # --- hosts that are asked for

    def give(self, host: ids.HostId, now_s: float, *, only_idle: bool = False) -> bool:
        """Clear a host within the budgets of its tasks; says whether nothing runs there now."""
        workers = [one for one in self.workers.values() if one.facts.host == host]
        is_busy = any(worker.tasks or worker.strays for worker in workers)
        if not self._is_settled or (only_idle and is_busy):
            return False
        self.clearing.close(host, now_s)
        for worker in workers:
            for task in self.clearing.to_leave(worker, self.workers, self.ledger, now_s):
                self.notes.note("task leaves", task=task.key.name, run=task.run, host=host)
                self.leave(task)
        return not any(worker.tasks or worker.strays for worker in workers)

    def demand(self, now_s: float) -> calls.DemandReport:
        """Say what the service needs of hosts now."""
        hosts: dict[ids.HostId, calls.HostLoad] = {}
        running, lasting = 0, 0
        for worker in self.workers.values():
            if not worker.is_listed:
                continue
            lasting += sum(
                task.step.cpu_millis
                for task in worker.tasks.values()
                if task.step.lasting and not task.step.fills
            )
            used = worker.facts.cpu_millis - worker.free_cpu_millis
            running += used
            is_idle = not worker.tasks and not worker.strays and worker.is_asked
            hosts[worker.facts.host] = calls.HostLoad(
                cpu_millis=used,
                lasting=sum(task.step.lasting for task in worker.tasks.values()),
                idle_s=max(0.0, now_s - worker.idle_since_s) if is_idle else None,
                is_useless=worker.is_closed
                or worker.unheard_since_s is not None
                or now_s < worker.shunned_until_s,
            )
        waiting, least, weighted_ms = 0, 0, 0.0
        for record in self.ledger.records.values():
            if not record.is_live:
                continue
            ratio = self.estimates.ratio(record.job.queue.name)
            for task in record.ready.values():
                if not task.step.fills:
                    waiting += task.step.cpu_millis
                    weighted_ms += task.step.cpu_millis * task.step.estimate_ms * ratio
            if record.job.lasts:
                homeless = bool(record.ready)
                least = max(least, *(_least_hosts(step) + homeless for step in record.job.steps))
        waiting_ms = weighted_ms / waiting if waiting else 0.0
        sizes = [worker.facts.cpu_millis for worker in self.workers.values()]
        return calls.DemandReport(
            cpu_running=running,
            cpu_waiting=waiting,
            cpu_lasting=lasting,
            waiting_ms=int(waiting_ms),
            arrived_core_ms=int(self._arrived_core_ms),
            least_hosts=least,
            host_cpu_millis=max(sizes, default=0),
            hosts=hosts,
        )

    # --- answers to orders

    def started(self, order: StartRun, now_s: float) -> None:
        """Note that a worker took a start."""
        task = self._task_of(order)
        if task is not None and task.phase is fleetview.Phase.STARTING:
            task.phase, task.since_s = fleetview.Phase.RUNNING, now_s

    def refused(self, order: StartRun, reason: str, now_s: float) -> None:
        """Note that a worker turned a start away; the run does not begin there."""
        worker, task = self.workers.get(order.life), self._task_of(order)
        if worker is None or task is None:
            return
        if reason == "room":
            worker.room_refused_s = now_s
        if reason == "ticket":
            self.advice.refused(advising.step_name(order.key), order.life)
        self.notes.note("start refused", task=order.key.name, run=order.run, reason=reason)
        self.ledger.free(self.ledger.records[order.key.job], task, worker, now_s)

    def unanswered(self, order: StartRun, now_s: float) -> None:
        """Note that a start got no answer, so that it may be carried out at any time."""
        task = self._task_of(order)
        if task is not None and task.phase is fleetview.Phase.STARTING:
            task.phase, task.since_s = fleetview.Phase.UNSURE, now_s
            self.notes.note("start unanswered", task=order.key.name, run=order.run)

    def stopped(self, order: StopRun, now_s: float) -> bool:
        """Note that a worker took a stop; says whether a look would free its task now."""
        worker, key = self.workers.get(order.life), jobs.parse_task(order.task)
        task = worker.tasks.get(key) if worker and key else None
        if task is not None and task.run == order.run:
            task.stop_acked_s = now_s
            if task.phase is fleetview.Phase.RUNNING:
                task.phase = fleetview.Phase.STOPPING
            return task.phase is fleetview.Phase.UNSURE
        return False

    def _task_of(self, order: StartRun) -> fleetview.Task | None:
        worker = self.workers.get(order.life)
        task = worker.tasks.get(order.key) if worker else None
        return task if task is not None and task.run == order.run else None

    # --- choices

    def stops(self, now_s: float) -> list[Order]:
        """Give the runs to stop now: of ended jobs, of lost orders, and those not known."""
        orders: list[Order] = []
        for worker in self.workers.values():
            life = worker.facts.life
            for (name, run), sent_s in worker.strays.items():
                if now_s - sent_s >= STOP_AGAIN_S:
                    worker.strays[name, run] = now_s
                    orders.append(StopRun(life, name, run, "not wanted here"))
            for task in worker.tasks.values():
                reason = self._why_stop(task)
                if reason is None or task.stop_acked_s is not None:
                    continue
                if task.stop_sent_s is None or now_s - task.stop_sent_s >= STOP_AGAIN_S:
                    task.stop_sent_s = now_s
                    orders.append(StopRun(life, task.key.name, task.run, reason))
        return orders

    def _why_stop(self, task: fleetview.Task) -> str | None:
        record = self.ledger.records[task.key.job]
        if not record.is_live or task.key.occurrence in record.progress.finished:
            return "its job ended"
        if task.phase is fleetview.Phase.DONE:
            return "another run ended as done"
        if task.phase is fleetview.Phase.UNSURE:
            return "its start got no answer"
        if task.phase is fleetview.Phase.STOPPING:
            return "asked to leave"
        return None

    def paces(self, now_s: float) -> list[Order]:
        """Give the paces to set now."""
        orders: list[Order] = []
        for worker in self.workers.values():
            for task, percent in sharing.choose(worker, now_s).items():
                self.notes.note(
                    "pace set", task=task.key.name, percent=percent, was=task.pace_percent
                )
                task.pace_percent = percent
                worker.paced_s = now_s
                orders.append(SetPace(worker.facts.life, task.key.name, task.run, percent))
        return orders

    def leave(self, task: fleetview.Task) -> None:
        """Have a run stopped so that its task starts elsewhere."""
        if task.phase is fleetview.Phase.RUNNING:
            task.phase = fleetview.Phase.STOPPING

    def open_workers(self, now_s: float) -> list[fleetview.Worker]:
        """Give the workers that may get new tasks."""
        return [
            worker
            for worker in self.workers.values()
            if worker.is_asked
            and not worker.is_closed
            and not self.clearing.is_closed(worker.facts.host, now_s)
            and worker.unheard_since_s is None
            and now_s >= worker.shunned_until_s
            and now_s >= worker.room_refused_s + _ROOM_PAUSE_S
        ]

    def starts(self, now_s: float) -> list[Order]:
        """Choose what starts now, the most urgent first."""
        ready = [record for record in self.ledger.records.values() if record.ready]
        if not ready:
            return []
        found = self.open_workers(now_s)
        if not found:
            return []
        orders: list[Order] = []
        blocked = fitting.Blocked()
        for record in sorted(ready, key=lambda record: urgency.of(record, now_s)):
            orders += self._start_job(record, found, blocked, now_s)
        self._ask_ahead(found, now_s)
        return orders

    def _ask_ahead(self, found: list[fleetview.Worker], now_s: float) -> None:
        """Ask for advice for steps that open next, while the steps before them run."""
        for record in self.ledger.records.values():
            if record.job.queue.advised is None or not record.is_live or record.ready:
                continue
            for number, parts in record.occurrences.items():
                for index, part in enumerate(parts):
                    if part.left and not part.is_open:
                        key = jobs.TaskKey(record.job.job, number, index, 0)
                        fitting_ones = [one for one in found if one.could_fit(part.step)]
                        self.advice.want(advising.step_name(key), fitting_ones, now_s)
                        break

    def _advised(
        self,
        record: ledger.Record,
        key: jobs.TaskKey,
        part: ledger.Part,
        found: list[fleetview.Worker],
        now_s: float,
    ) -> list[fleetview.Worker]:
        """Give the workers that may run a step; asks for advice where they are too few."""
        if record.job.queue.advised is None:
            return found
        step = advising.step_name(key)
        known = [one for one in found if self.advice.ticket(step, one.facts.life, now_s)]
        if sum(one.fits(part.step) for one in known) < min(part.left, len(found)):
            self.advice.want(step, [one for one in found if one.could_fit(part.step)], now_s)
        return known

    def _start_job(
        self,
        record: ledger.Record,
        found: list[fleetview.Worker],
        blocked: fitting.Blocked,
        now_s: float,
    ) -> list[Order]:
        orders: list[Order] = []
        by_part: dict[tuple[int, int], list[fleetview.Task]] = {}
        for task in record.ready.values():
            by_part.setdefault((task.key.occurrence, task.key.step), []).append(task)
        for (number, index), tasks in by_part.items():
            part = record.occurrences[number][index]
            allowed = self._advised(record, tasks[0].key, part, found, now_s)
            if part.step.gang:
                orders += self._start_gang(record, part, allowed, now_s)
                continue
            if blocked.covers(part.step):
                continue
            here: collections.Counter[fleetview.Life] = collections.Counter(
                task.life for task in part.tasks if task.life is not None
            )
            is_shared = part.step.fills or bool(part.step.target_ms)
            for task in tasks:
                worker = fitting.best(part.step, allowed, here, is_shared)
                if worker is None:
                    if not part.step.max_per_worker and allowed is found:
                        blocked.note(part.step)
                    break
                here[worker.facts.life] += 1
                orders.append(self._start(record, task, worker, self.ledger.next_run(task), now_s))
        return orders

    def _start_gang(
        self,
        record: ledger.Record,
        part: ledger.Part,
        found: list[fleetview.Worker],
        now_s: float,
    ) -> list[Order]:
        if any(task.phase is not fleetview.Phase.WAITING for task in part.tasks):
            return []
        places = fitting.gang(part.step, len(part.tasks), found)
        if places is None:
            return []
        run = max(self.ledger.next_run(task) for task in part.tasks)
        saved = max(task.saved for task in part.tasks)
        orders: list[Order] = []
        for task, worker in zip(part.tasks, places, strict=True):
            task.saved = saved
            orders.append(self._start(record, task, worker, run, now_s))
        return orders

    def _start(
        self,
        record: ledger.Record,
        task: fleetview.Task,
        worker: fleetview.Worker,
        run: int,
        now_s: float,
    ) -> StartRun:
        life = worker.facts.life
        waited_s = round(now_s - max(task.since_s, record.accepted_s), 3)
        self.notes.note(
            "run starts", task=task.key.name, run=run, worker=life.worker, waited_s=waited_s
        )
        self.ledger.place(record, task, worker, run, now_s)
        ticket = None
        if record.job.queue.advised is not None:
            ticket = self.advice.ticket(advising.step_name(task.key), life, now_s)
        return StartRun(
            life, task.key, run, record.job.spec, task.saved, record.job.queue.name, ticket
        )


def _least_hosts(step: jobs.Step) -> int:
    """Give over how many hosts a step that lasts has to be spread."""
    if not step.lasting:
        return 0
    return math.ceil(step.count / fitting.most_per_worker(step))
