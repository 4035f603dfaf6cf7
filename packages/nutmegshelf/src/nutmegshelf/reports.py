"""Take workers' word on what runs with them and what ended."""

from nutmegshelf import estimates, fleetview, jobs, notes, orders, registry

# A run that nobody wants is stopped as soon as it is listed.
_AT_ONCE_S = -1.0
# The outcome of a start that was not told by then was lost; calls are given up long before.
_OUTCOME_LIMIT_S = 5.0
# A worker that fails this many runs in a row, of two jobs or more, gets no work for a while.
_SHUN_FAILURES = 4
_SHUN_S = 4.0


class ReportHandler:
    """Own how reports change the ledger and what is believed of workers."""

    def __init__(
        self,
        job_registry: registry.JobRegistry,
        learned: estimates.Estimates,
        written: notes.Notes,
    ) -> None:
        self._registry = job_registry
        self._estimates = learned
        self._notes = written

    def apply(self, worker: fleetview.Worker, report: fleetview.WorkerReport) -> None:
        """Take one report of a worker."""
        now_s = report.received_s
        worker.is_polled = True
        worker.heard_s, worker.unresponsive_since_s = now_s, None
        listed: set[tuple[str, int]] = set()
        for end in report.ends:
            listed.add((end.task, end.run))
            if end.number > worker.last_end:
                worker.last_end = end.number
                self._ended(worker, end, now_s)
                worker.unpersisted_ends.append((end.number, self._registry.last_change))
        for run in report.running:
            listed.add((run.task, run.run))
            self._runs(worker, run, now_s)
        worker.unknown_runs = {key: at for key, at in worker.unknown_runs.items() if key in listed}
        for task in list(worker.tasks.values()):
            if (task.key.name, task.run) not in listed:
                self._absent(worker, task, report)

    def _runs(self, worker: fleetview.Worker, listed: fleetview.ReportedRun, now_s: float) -> None:
        key = jobs.parse_task_name(listed.task)
        record = self._registry.records.get(key.job) if key else None
        task = record.get_task(key) if record and key else None
        if task is not None:
            task = _run_of(task, worker.facts.incarnation, listed.run)
        if record is None or task is None or not record.is_live:
            worker.unknown_runs.setdefault((listed.task, listed.run), _AT_ONCE_S)
            if (
                task is not None
                and task.incarnation == worker.facts.incarnation
                and task.run == listed.run
            ):
                worker.unknown_runs.pop((listed.task, listed.run))
                task.percent = listed.percent
            return
        is_own = task.incarnation == worker.facts.incarnation and task.run == listed.run
        if not is_own:
            if task.phase in (fleetview.Phase.RECOVERING, fleetview.Phase.WAITING):
                self._registry.adopt(record, task, worker, listed.run, now_s)
                worker.unknown_runs.pop((listed.task, listed.run), None)
            else:
                worker.unknown_runs.setdefault((listed.task, listed.run), _AT_ONCE_S)
                return
        if task.phase is fleetview.Phase.STARTING or (
            task.phase is fleetview.Phase.UNCONFIRMED and task.stop_sent_s is None
        ):
            task.phase, task.since_s = fleetview.Phase.RUNNING, now_s
        task.percent, task.tail_latency_ms = listed.percent, listed.tail_latency_ms
        self._registry.save_checkpoint(record, task, listed.checkpoint)

    def _ended(self, worker: fleetview.Worker, end: fleetview.RunEnd, now_s: float) -> None:
        key = jobs.parse_task_name(end.task)
        record = self._registry.records.get(key.job) if key else None
        task = record.get_task(key) if record and key else None
        if record is None or task is None:
            return
        task = _run_of(task, worker.facts.incarnation, end.run)
        is_own = task.incarnation == worker.facts.incarnation and task.run == end.run
        match end.outcome:
            case fleetview.RunOutcome.DONE if record.is_live and not task.step.long_running:
                worker.consecutive_failures = 0
                worker.failed_jobs.clear()
                if is_own and task.step.estimate_ms and not task.checkpoint:
                    took_s = now_s - task.sent_s
                    queue = record.job.queue.name
                    self._estimates.record(queue, task.step.estimate_ms / 1000, took_s)
                self._registry.finish_task(record, task, now_s)
            case fleetview.RunOutcome.FAILED:
                self._blame(worker, record, now_s)
                self._registry.record_failure(record, task, end.run, now_s)
            case _:
                pass
        if not record.is_live and record.ended_s == now_s:
            self._notes.note(
                "job ended",
                job=record.job.job,
                state=record.progress.state.value,
                reason=record.progress.reason,
                took_s=round(now_s - record.accepted_s, 3),
            )
        self._registry.save_checkpoint(record, task, end.checkpoint)
        if is_own:
            if end.outcome is not fleetview.RunOutcome.DONE:
                self._notes.note_task("run ended", task, how=end.outcome.value)
            self._registry.release(record, task, worker, now_s)

    def _blame(self, worker: fleetview.Worker, record: registry.JobRecord, now_s: float) -> None:
        worker.consecutive_failures += 1
        worker.failed_jobs.add(record.job.job)
        if worker.consecutive_failures >= _SHUN_FAILURES and len(worker.failed_jobs) > 1:
            worker.quarantined_until_s = now_s + _SHUN_S
            worker.consecutive_failures = 1
            self._notes.note(
                "worker shunned", worker=worker.facts.incarnation.worker, for_s=_SHUN_S
            )

    def _absent(
        self, worker: fleetview.Worker, task: fleetview.Task, report: fleetview.WorkerReport
    ) -> None:
        # Only a look that began after the last word on a run can say that it is gone.
        match task.phase:
            case fleetview.Phase.STARTING:
                is_gone = False
                if report.sent_s >= task.sent_s + _OUTCOME_LIMIT_S:
                    task.phase, task.since_s = fleetview.Phase.UNCONFIRMED, report.received_s
                    task.may_start_until_s = report.received_s + orders.START_VALID_S
                    self._notes.note_task("start without an outcome", task)
            case fleetview.Phase.RUNNING | fleetview.Phase.DONE | fleetview.Phase.STOPPING:
                # A run that is being stopped was listed before, so it is gone like any other.
                is_gone = report.sent_s >= task.since_s
            case fleetview.Phase.UNCONFIRMED:
                is_gone = task.stop_acked_s is not None and report.sent_s >= task.stop_acked_s
                is_late = task.step.long_running and report.sent_s >= task.may_start_until_s
                is_gone = is_gone or is_late
                task.is_missing = task.is_missing or report.sent_s >= task.since_s
            case _:
                is_gone = False
        if is_gone:
            self._registry.release(
                self._registry.records[task.key.job], task, worker, report.received_s
            )


def _run_of(task: fleetview.Task, life: fleetview.Incarnation, run: int) -> fleetview.Task:
    """Give the run that a worker means, where a task has two."""
    twin = task.duplicate
    return twin if twin is not None and (twin.incarnation, twin.run) == (life, run) else task
