"""Choose which runs to stop now, and when to retry a stop that got no answer.

On a saturated link orders get no answer in time. Stopping runs that no poll has looked for, or
retrying stops while the first ones are still pending, would add load as the link gets slower.
"""

import collections.abc

from nutmegshelf import evacuation, fleetview, latestarts, notes, orders, registry

# A stop without an answer is retried after this time, times the number of stops sent up to a bound.
_STOP_RETRY_S = 0.15
_MAX_RETRY_FACTOR = 5
_UNKNOWN_RUN_RETRY_S = 0.4
# A pending stop with no outcome by then is retried, as calls time out long before.
_OUTCOME_LIMIT_S = 5.0
# A worker may execute a stop without an answer until this time after it was sent.
_MAX_EXECUTION_DELAY_S = 12.0

Workers = dict[fleetview.Incarnation, fleetview.Worker]


class Stopper:
    """Selects the runs of one service to stop."""

    def __init__(
        self,
        job_registry: registry.JobRegistry,
        decision_notes: notes.Notes,
        late_starts: latestarts.LateStarts,
    ) -> None:
        self._registry = job_registry
        self._notes = decision_notes
        self._late_starts = late_starts

    def choose(self, workers: Workers, now_s: float) -> list[orders.Order]:
        """Return the stops to send now, and mark them as pending."""
        self._keep_stranded(workers, now_s)
        chosen: list[orders.Order] = []
        for worker in workers.values():
            chosen += _stop_unknown_runs(worker, now_s)
            for task in worker.tasks.values():
                reason = self._get_stop_reason(task, now_s)
                if reason is not None and self._is_due(worker, task, workers, now_s):
                    chosen.append(self._stop(worker, task, reason, workers, now_s))
        return chosen

    def _get_stop_reason(self, task: fleetview.Task, now_s: float) -> str | None:
        record = self._registry.records[task.key.job]
        if not record.is_live or task.key.occurrence in record.progress.finished:
            return "its job ended"
        if task.phase is fleetview.Phase.DONE:
            return "another run ended as done"
        # A long-running task is waited for, as a stop could end it after it has become productive.
        is_unconfirmed = task.phase is fleetview.Phase.UNCONFIRMED and task.is_missing
        if is_unconfirmed and not task.step.long_running:
            may_arrive = self._late_starts.may_arrive(task, now_s)
            return None if may_arrive else "its start got no answer"
        if task.phase is fleetview.Phase.STOPPING:
            return "asked to leave"
        return None

    def _is_due(
        self, worker: fleetview.Worker, task: fleetview.Task, workers: Workers, now_s: float
    ) -> bool:
        is_pending = _is_pending(worker, (task.key.name, task.run), now_s)
        if is_pending or task.stop_acked_s is not None:
            return False
        if task.phase is fleetview.Phase.STOPPING and not self._may_stop(task, workers, now_s):
            return False
        retry_s = _STOP_RETRY_S * task.stops_sent
        return task.stop_sent_s is None or now_s - task.stop_sent_s >= retry_s

    def _keep_stranded(self, workers: Workers, now_s: float) -> None:
        """Let runs go on that would wait for one another's budget, each with a lost stop."""
        stranded = [
            task
            for worker in workers.values()
            for task in worker.tasks.values()
            if self._is_stranded(worker, task, workers, now_s)
        ]
        for task in stranded:
            self._notes.note_task("run stays", task, reason="its stop has no budget left")
            task.phase, task.stop_sent_s, task.stops_sent = fleetview.Phase.RUNNING, None, 0

    def _is_stranded(
        self, worker: fleetview.Worker, task: fleetview.Task, workers: Workers, now_s: float
    ) -> bool:
        """Return whether a run goes on and the budget no longer allows to repeat its lost stop."""
        return (
            task.phase is fleetview.Phase.STOPPING
            and task.stop_acked_s is None
            and not task.is_missing
            and not _is_pending(worker, (task.key.name, task.run), now_s)
            and (task.stop_sent_s is None or now_s - task.stop_sent_s > _MAX_EXECUTION_DELAY_S)
            and not self._may_stop(task, workers, now_s)
        )

    def _may_stop(self, task: fleetview.Task, workers: Workers, now_s: float) -> bool:
        """Return whether the disruption budget still allows stopping a run.

        A stop without an answer is retried, and other tasks of its step may be down by then.
        """
        task_set = self._get_live_task_set(task)
        if task_set is None or not task.step.long_running or not task.step.may_miss:
            return True
        return evacuation.count_unavailable(task_set, task, workers, now_s) < task.step.may_miss

    def _get_live_task_set(self, task: fleetview.Task) -> registry.TaskSet | None:
        record = self._registry.records[task.key.job]
        task_sets = record.occurrences.get(task.key.occurrence) if record.is_live else None
        return task_sets[task.key.step] if task_sets is not None else None

    def _stop(
        self,
        worker: fleetview.Worker,
        task: fleetview.Task,
        reason: str,
        workers: Workers,
        now_s: float,
    ) -> orders.StopRun:
        task.stop_sent_s = now_s
        task.stops_sent = min(task.stops_sent + 1, _MAX_RETRY_FACTOR)
        worker.pending_stops[task.key.name, task.run] = now_s
        if task.step.long_running:
            task_set = self._get_live_task_set(task)
            self._notes.note_task(
                "lasting run stopped",
                task,
                reason=reason,
                times=task.stops_sent,
                percent=task.percent,
                away=(
                    evacuation.count_unavailable(task_set, task, workers, now_s)
                    if task_set
                    else None
                ),
                may_miss=task.step.may_miss,
            )
        return orders.StopRun(worker.facts.incarnation, task.key.name, task.run, reason)


def _is_pending(worker: fleetview.Worker, run: tuple[str, int], now_s: float) -> bool:
    sent_s = worker.pending_stops.get(run)
    return sent_s is not None and now_s - sent_s < _OUTCOME_LIMIT_S


def _stop_unknown_runs(
    worker: fleetview.Worker, now_s: float
) -> collections.abc.Iterator[orders.StopRun]:
    """Yield stops of the runs that a worker reports and that belong to no task here."""
    for (name, run), sent_s in worker.unknown_runs.items():
        is_due = now_s - sent_s >= _UNKNOWN_RUN_RETRY_S
        if is_due and not _is_pending(worker, (name, run), now_s):
            worker.unknown_runs[name, run] = now_s
            worker.pending_stops[name, run] = now_s
            yield orders.StopRun(worker.facts.incarnation, name, run, "not wanted here")
