"""Apply workers' reports of their running and ended runs."""

from nutmegshelf import (
    containment,
    estimates,
    fleetview,
    ids,
    jobs,
    latestarts,
    notes,
    orders,
    registry,
    releasedruns,
)

# Initial time of the last stop of an unknown run, so that it is stopped as soon as it is reported.
_NEVER_STOPPED_S = -1.0
# A start with no outcome by then counts as unanswered, as calls time out long before.
_OUTCOME_LIMIT_S = 5.0
# A worker that fails this many runs in a row, of two jobs or more, is quarantined for a while.
_QUARANTINE_FAILURES = 4
_QUARANTINE_S = 4.0


class ReportHandler:
    """Applies reports to the job registry and to the state of the workers."""

    def __init__(
        self,
        job_registry: registry.JobRegistry,
        task_estimates: estimates.Estimates,
        decision_notes: notes.Notes,
        late_starts: latestarts.LateStarts,
        released_runs: releasedruns.ReleasedRuns,
    ) -> None:
        self._registry = job_registry
        self._estimates = task_estimates
        self._notes = decision_notes
        self._late_starts = late_starts
        self._released_runs = released_runs
        self._containment = containment.ErrorContainment(job_registry, decision_notes)

    def apply(self, worker: fleetview.Worker, report: fleetview.WorkerReport) -> None:
        """Apply one report of a worker."""
        now_s = report.received_s
        worker.is_polled = True
        worker.heard_s, worker.unresponsive_since_s = now_s, None
        worker.is_absent = False
        unanswered_s = worker.unanswered_since_s
        if unanswered_s is not None and report.sent_s >= unanswered_s:
            worker.unanswered_since_s = None
        worker.is_report_complete = report.is_complete
        reported: set[tuple[str, int]] = set()
        for end in report.ends:
            reported.add((end.task, end.run))
            if end.number > worker.last_end:
                worker.last_end = end.number
                with self._containment.confine(_get_job(end.task), now_s, end.task):
                    self._apply_end(worker, end, now_s)
                worker.unpersisted_ends.append((end.number, self._registry.last_change))
        for run in report.running:
            reported.add((run.task, run.run))
            with self._containment.confine(_get_job(run.task), now_s, run.task):
                self._apply_run(worker, run, now_s)
        absent = [
            task for task in worker.tasks.values() if (task.key.name, task.run) not in reported
        ]
        if not report.is_complete:
            # These runs may have ended in any way, which a later report tells.
            for task in absent:
                is_known = task.phase in (fleetview.Phase.RUNNING, fleetview.Phase.STOPPING)
                task.is_end_unread = is_known and report.sent_s >= task.since_s
            return
        worker.unknown_runs = {
            key: sent_s for key, sent_s in worker.unknown_runs.items() if key in reported
        }
        for task in absent:
            with self._containment.confine(task.key.job, now_s, task.key.name):
                self._check_absent(worker, task, report)

    def _apply_run(
        self, worker: fleetview.Worker, reported: fleetview.ReportedRun, now_s: float
    ) -> None:
        key = jobs.parse_task_name(reported.task)
        record = self._registry.records.get(key.job) if key else None
        task = self._registry.find_task(record, key) if record and key else None
        if task is not None:
            task = _get_run(task, worker.facts.incarnation, reported.run)
        if record is None or task is None or not record.is_live:
            worker.unknown_runs.setdefault((reported.task, reported.run), _NEVER_STOPPED_S)
            if (
                task is not None
                and task.incarnation == worker.facts.incarnation
                and task.run == reported.run
            ):
                worker.unknown_runs.pop((reported.task, reported.run))
                task.percent = reported.percent
            return
        is_own = task.incarnation == worker.facts.incarnation and task.run == reported.run
        if not is_own:
            if task.phase in (fleetview.Phase.RECOVERING, fleetview.Phase.WAITING):
                self._registry.adopt(record, task, worker, reported.run, now_s)
                worker.unknown_runs.pop((reported.task, reported.run), None)
            else:
                worker.unknown_runs.setdefault((reported.task, reported.run), _NEVER_STOPPED_S)
                if not task.step.speculative:
                    self._released_runs.observe_run(worker, reported, now_s)
                return
        if task.phase is fleetview.Phase.STARTING or (
            task.phase is fleetview.Phase.UNCONFIRMED and task.stop_sent_s is None
        ):
            task.phase, task.since_s = fleetview.Phase.RUNNING, now_s
        task.is_confirmed = True
        task.percent, task.tail_latency_ms = reported.percent, reported.tail_latency_ms
        self._registry.save_checkpoint(record, task, reported.checkpoint)

    def _apply_end(self, worker: fleetview.Worker, end: fleetview.RunEnd, now_s: float) -> None:
        self._released_runs.observe_end(worker, end, now_s)
        key = jobs.parse_task_name(end.task)
        record = self._registry.records.get(key.job) if key else None
        task = self._registry.find_task(record, key) if record and key else None
        if record is None or task is None:
            return
        task = _get_run(task, worker.facts.incarnation, end.run)
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
                self._record_failure(worker, record, now_s)
                self._registry.record_failure(record, task, end.run, now_s)
            case _:
                pass
        if not record.is_live and record.ended_s == now_s:
            self._notes.note_job_ended(record.progress, now_s - record.accepted_s)
        self._registry.save_checkpoint(record, task, end.checkpoint)
        if is_own:
            if end.outcome is not fleetview.RunOutcome.DONE:
                self._notes.note_task("run ended", task, how=end.outcome.value)
            self._registry.release(record, task, worker, now_s)

    def _record_failure(
        self, worker: fleetview.Worker, record: registry.JobRecord, now_s: float
    ) -> None:
        worker.consecutive_failures += 1
        worker.failed_jobs.add(record.job.job)
        if worker.consecutive_failures >= _QUARANTINE_FAILURES and len(worker.failed_jobs) > 1:
            worker.quarantined_until_s = now_s + _QUARANTINE_S
            worker.consecutive_failures = 1
            self._notes.note(
                "worker shunned", worker=worker.facts.incarnation.worker, for_s=_QUARANTINE_S
            )

    def _check_absent(
        self, worker: fleetview.Worker, task: fleetview.Task, report: fleetview.WorkerReport
    ) -> None:
        # Only a poll that began after the last change of a run can prove that it is gone.
        match task.phase:
            case fleetview.Phase.STARTING:
                is_gone = False
                if report.sent_s >= task.sent_s + _OUTCOME_LIMIT_S:
                    task.phase, task.since_s = fleetview.Phase.UNCONFIRMED, report.received_s
                    task.may_start_until_s = report.received_s + orders.START_VALID_S
                    self._notes.note_task("start without an outcome", task)
            case fleetview.Phase.RUNNING | fleetview.Phase.DONE | fleetview.Phase.STOPPING:
                # A run that is being stopped was reported before, so it is gone like any other.
                is_gone = report.sent_s >= task.since_s
            case fleetview.Phase.UNCONFIRMED:
                is_gone = self._is_start_barred(task, report)
                task.is_missing = task.is_missing or report.sent_s >= task.since_s
            case _:
                is_gone = False
        if is_gone:
            self._registry.release(
                self._registry.records[task.key.job], task, worker, report.received_s
            )

    def _is_start_barred(self, task: fleetview.Task, report: fleetview.WorkerReport) -> bool:
        """Return whether a start without an answer that is not reported is never carried out."""
        if task.fencing_token < report.fencing_token:
            return True
        is_live = self._registry.records[task.key.job].is_live
        if is_live and self._late_starts.may_arrive(task, report.sent_s):
            return False
        is_stopped = task.stop_acked_s is not None and report.sent_s >= task.stop_acked_s
        is_expired = task.step.long_running and report.sent_s >= task.may_start_until_s
        return is_stopped or is_expired


def _get_job(name: str) -> ids.JobId | None:
    """Return the job of a reported task, or None if its name is not that of a task."""
    key = jobs.parse_task_name(name)
    return key.job if key is not None else None


def _get_run(task: fleetview.Task, incarnation: fleetview.Incarnation, run: int) -> fleetview.Task:
    """Return the run that a worker reports, if a task has a speculative second one."""
    duplicate = task.duplicate
    return (
        duplicate
        if duplicate is not None and (duplicate.incarnation, duplicate.run) == (incarnation, run)
        else task
    )
