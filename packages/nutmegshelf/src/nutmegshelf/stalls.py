"""Detect tasks that stay in one phase for long, and record what each of them waits for."""

import collections
import collections.abc
import typing

from nutmegshelf import fitting, fleetview, notes, registry

# A task that should run and doesn't is recorded after this time, and again at this interval.
_STALL_S = 2.0
_CHECK_INTERVAL_S = 0.5

_AWAITED = {
    fleetview.Phase.WAITING: "a worker with room",
    fleetview.Phase.STARTING: "the outcome of its start",
    fleetview.Phase.UNCONFIRMED: "a look that tells whether its start was carried out",
    fleetview.Phase.STOPPING: "the end of its run",
    fleetview.Phase.RECOVERING: "the word of the workers that an earlier holder used",
}

Workers = collections.abc.Sequence[tuple[fleetview.Worker, fleetview.Unavailability | None]]


class StallDetector:
    """Tracks since when tasks are in their phases, and when that was last recorded."""

    def __init__(self, job_registry: registry.JobRegistry, decision_notes: notes.Notes) -> None:
        self._registry = job_registry
        self._notes = decision_notes
        self._checked_s = 0.0
        self._since_s: dict[_Wait, float] = {}
        self._recorded_s: dict[_Wait, float] = {}

    def is_due(self, now_s: float) -> bool:
        """Return whether the next check of the tasks is due."""
        return now_s - self._checked_s >= _CHECK_INTERVAL_S

    def report(self, workers: Workers, now_s: float) -> None:
        """Record one stalled task for each step and phase."""
        self._checked_s = now_s
        since_s, self._since_s = self._since_s, {}
        recorded_s, self._recorded_s = self._recorded_s, {}
        for record in self._registry.live.values():
            for task_set in (
                task_set for task_sets in record.occurrences.values() for task_set in task_sets
            ):
                for waits in _get_waits(task_set):
                    for wait in waits:
                        self._since_s[wait] = since_s.get(wait, now_s)
                    stalled = [
                        each for each in waits if self._get_duration_s(each, now_s) >= _STALL_S
                    ]
                    if not stalled:
                        continue
                    first = min(stalled, key=lambda wait: self._since_s[wait])
                    self._recorded_s[first] = recorded_s.get(first, self._since_s[first])
                    if now_s - self._recorded_s[first] >= _STALL_S:
                        self._recorded_s[first] = now_s
                        self._record(
                            first,
                            task_set,
                            len(stalled),
                            workers,
                            self._get_duration_s(first, now_s),
                        )

    def _get_duration_s(self, wait: "_Wait", now_s: float) -> float:
        return now_s - self._since_s[wait]

    def _record(
        self, wait: "_Wait", task_set: registry.TaskSet, alike: int, workers: Workers, for_s: float
    ) -> None:
        self._notes.note_task(
            "task has not moved on",
            wait.task,
            phase=wait.phase.value,
            for_s=round(for_s, 3),
            alike=alike,
            awaits=_AWAITED[wait.phase],
            worker=wait.task.incarnation.worker if wait.task.incarnation is not None else None,
            stops_sent=wait.task.stops_sent,
            cpu_millis=task_set.step.cpu_millis,
            memory_mb=task_set.step.memory_mb,
            crashes=len(wait.task.crashes.runs) if wait.task.crashes is not None else 0,
            workers=_count_constraints(task_set, workers),
        )


class _Wait(typing.NamedTuple):
    """The stay of one run of a task in one phase."""

    task: fleetview.Task
    run: int
    phase: fleetview.Phase


def _get_waits(task_set: registry.TaskSet) -> collections.abc.Iterable[list[_Wait]]:
    """Return the tasks of a step that should run and don't, by phase."""
    by_phase: dict[fleetview.Phase, list[_Wait]] = {}
    for task in task_set.tasks if task_set.is_open else ():
        if task.phase in _AWAITED:
            by_phase.setdefault(task.phase, []).append(_Wait(task, task.run, task.phase))
    return by_phase.values()


def _find_constraint(
    task_set: registry.TaskSet,
    worker: fleetview.Worker,
    run_counts: collections.Counter[fleetview.Incarnation],
) -> fitting.Constraint | None:
    facts = worker.facts
    max_per_worker = fitting.get_max_per_worker(task_set.step)
    return fitting.find_unmet_constraint(
        task_set.step, worker.free, facts.labels, run_counts[facts.incarnation], max_per_worker
    )


def _count_constraints(task_set: registry.TaskSet, workers: Workers) -> dict[str, int]:
    """Count the workers by the reason for which a task of a step can't start there."""
    run_counts = registry.count_runs_by_worker(task_set)
    counts: collections.Counter[str] = collections.Counter()
    for worker, unavailability in workers:
        constraint = unavailability or _find_constraint(task_set, worker, run_counts)
        counts[constraint.value if constraint is not None else "none"] += 1
    return dict(counts)
