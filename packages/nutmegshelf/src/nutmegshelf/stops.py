"""Choose which runs are stopped now, and when a stop without an answer is sent again.

Load pattern: where a link is full, orders get no answer in time. Stopping runs unseen, or sending
stops again while the first ones are under way, would ask the link for more the less it carries.
"""

import collections.abc

from nutmegshelf import evacuation, fleetview, notes, orders, registry

# A stop that was not answered is sent again after this time, later each time up to a bound.
_STOP_STEP_S = 0.15
_MOST_STOP_STEPS = 5
_STRAY_AGAIN_S = 0.4
# The outcome of a stop that was not told by then was lost; calls are given up long before.
_OUTCOME_LIMIT_S = 5.0

Workers = dict[fleetview.Incarnation, fleetview.Worker]


class Stopper:
    """Own the choice of stops for one service."""

    def __init__(self, job_registry: registry.JobRegistry, written: notes.Notes) -> None:
        self._registry = job_registry
        self._notes = written

    def choose(self, workers: Workers, now_s: float) -> list[orders.Order]:
        """Give the stops to send now."""
        chosen: list[orders.Order] = []
        for worker in workers.values():
            chosen += _stray_stops(worker, now_s)
            for task in worker.tasks.values():
                reason = self._why_stop(task)
                if reason is not None and self._is_due(worker, task, workers, now_s):
                    chosen.append(self._stop(worker, task, reason, workers, now_s))
        return chosen

    def _why_stop(self, task: fleetview.Task) -> str | None:
        record = self._registry.records[task.key.job]
        if not record.is_live or task.key.occurrence in record.progress.finished:
            return "its job ended"
        if task.phase is fleetview.Phase.DONE:
            return "another run ended as done"
        # One that lasts is waited for, as a stop could end it after it came to be at work.
        is_unsure = task.phase is fleetview.Phase.UNCONFIRMED and task.is_missing
        if is_unsure and not task.step.long_running:
            return "its start got no answer"
        if task.phase is fleetview.Phase.STOPPING:
            return "asked to leave"
        return None

    def _is_due(
        self, worker: fleetview.Worker, task: fleetview.Task, workers: Workers, now_s: float
    ) -> bool:
        is_sent = _is_under_way(worker, (task.key.name, task.run), now_s)
        if is_sent or task.stop_acked_s is not None:
            return False
        if task.phase is fleetview.Phase.STOPPING and not self._may_leave(task, workers, now_s):
            return False
        again_s = _STOP_STEP_S * task.stops_sent
        return task.stop_sent_s is None or now_s - task.stop_sent_s >= again_s

    def _may_leave(self, task: fleetview.Task, workers: Workers, now_s: float) -> bool:
        """Say whether a run that was asked to leave may still do so.

        A stop that got no answer is repeated, and others of its step may have gone meanwhile.
        """
        part = self._live_part(task)
        if part is None or not task.step.long_running or not task.step.may_miss:
            return True
        return evacuation.count_unavailable(part, task, workers, now_s) < task.step.may_miss

    def _live_part(self, task: fleetview.Task) -> registry.TaskSet | None:
        record = self._registry.records[task.key.job]
        parts = record.occurrences.get(task.key.occurrence) if record.is_live else None
        return parts[task.key.step] if parts is not None else None

    def _stop(
        self,
        worker: fleetview.Worker,
        task: fleetview.Task,
        reason: str,
        workers: Workers,
        now_s: float,
    ) -> orders.StopRun:
        task.stop_sent_s = now_s
        task.stops_sent = min(task.stops_sent + 1, _MOST_STOP_STEPS)
        worker.pending_stops[task.key.name, task.run] = now_s
        if task.step.long_running:
            part = self._live_part(task)
            self._notes.note_task(
                "lasting run stopped",
                task,
                reason=reason,
                times=task.stops_sent,
                percent=task.percent,
                away=evacuation.count_unavailable(part, task, workers, now_s) if part else None,
                may_miss=task.step.may_miss,
            )
        return orders.StopRun(worker.facts.incarnation, task.key.name, task.run, reason)


def _is_under_way(worker: fleetview.Worker, run: tuple[str, int], now_s: float) -> bool:
    chosen_s = worker.pending_stops.get(run)
    return chosen_s is not None and now_s - chosen_s < _OUTCOME_LIMIT_S


def _stray_stops(
    worker: fleetview.Worker, now_s: float
) -> collections.abc.Iterator[orders.StopRun]:
    """Stop the runs that a worker lists and nobody wants."""
    for (name, run), sent_s in worker.unknown_runs.items():
        is_due = now_s - sent_s >= _STRAY_AGAIN_S
        if is_due and not _is_under_way(worker, (name, run), now_s):
            worker.unknown_runs[name, run] = now_s
            worker.pending_stops[name, run] = now_s
            yield orders.StopRun(worker.facts.incarnation, name, run, "not wanted here")
