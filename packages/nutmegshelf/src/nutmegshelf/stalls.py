"""Note the tasks that have not moved on for long, and on what each of them waits."""

import collections
import collections.abc
import typing

from nutmegshelf import fitting, fleetview, notes, registry

# A task that is to run and does not is noted after this time, and again at the same pace.
_NOTED_AFTER_S = 2.0
# How often the tasks are gone through.
_LOOK_S = 0.5

_AWAITED = {
    fleetview.Phase.WAITING: "a worker with room",
    fleetview.Phase.STARTING: "the outcome of its start",
    fleetview.Phase.UNCONFIRMED: "a look that tells whether its start was carried out",
    fleetview.Phase.STOPPING: "the end of its run",
    fleetview.Phase.RECOVERING: "the word of the workers that an earlier holder used",
}

Workers = collections.abc.Sequence[tuple[fleetview.Worker, fleetview.Unavailability | None]]


class StallDetector:
    """Own since when each task is in its phase, and when that was noted."""

    def __init__(self, job_registry: registry.JobRegistry, written: notes.Notes) -> None:
        self._registry = job_registry
        self._notes = written
        self._looked_s = 0.0
        self._since_s: dict[_Wait, float] = {}
        self._noted_s: dict[_Wait, float] = {}

    def is_due(self, now_s: float) -> bool:
        """Say whether the tasks are to be gone through again."""
        return now_s - self._looked_s >= _LOOK_S

    def report(self, workers: Workers, now_s: float) -> None:
        """Note one task for each step and phase in which tasks have not moved on."""
        self._looked_s = now_s
        since_s, self._since_s = self._since_s, {}
        noted_s, self._noted_s = self._noted_s, {}
        for record in self._registry.live.values():
            for part in (part for parts in record.occurrences.values() for part in parts):
                for waits in _waits(part):
                    for wait in waits:
                        self._since_s[wait] = since_s.get(wait, now_s)
                    late = [one for one in waits if self._for_s(one, now_s) >= _NOTED_AFTER_S]
                    if not late:
                        continue
                    first = min(late, key=lambda wait: self._since_s[wait])
                    self._noted_s[first] = noted_s.get(first, self._since_s[first])
                    if now_s - self._noted_s[first] >= _NOTED_AFTER_S:
                        self._noted_s[first] = now_s
                        self._write(first, part, len(late), workers, self._for_s(first, now_s))

    def _for_s(self, wait: "_Wait", now_s: float) -> float:
        return now_s - self._since_s[wait]

    def _write(
        self, wait: "_Wait", part: registry.TaskSet, alike: int, workers: Workers, for_s: float
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
            cpu_millis=part.step.cpu_millis,
            memory_mb=part.step.memory_mb,
            workers=_hindrances(part, workers),
        )


class _Wait(typing.NamedTuple):
    """Name one stay of a task in one phase."""

    task: fleetview.Task
    run: int
    phase: fleetview.Phase


def _waits(part: registry.TaskSet) -> collections.abc.Iterable[list[_Wait]]:
    """Give the tasks of a step that do not run and are to, by phase."""
    by_phase: dict[fleetview.Phase, list[_Wait]] = {}
    for task in part.tasks if part.is_open else ():
        if task.phase in _AWAITED:
            by_phase.setdefault(task.phase, []).append(_Wait(task, task.run, task.phase))
    return by_phase.values()


def _obstacle(
    part: registry.TaskSet,
    worker: fleetview.Worker,
    here: collections.Counter[fleetview.Incarnation],
) -> fitting.Constraint | None:
    facts = worker.facts
    most = fitting.get_max_per_worker(part.step)
    return fitting.find_unmet_constraint(
        part.step, worker.free, facts.labels, here[facts.incarnation], most
    )


def _hindrances(part: registry.TaskSet, workers: Workers) -> dict[str, int]:
    """Count the workers by what keeps a task of a step from them."""
    here = registry.count_runs_by_worker(part)
    found: collections.Counter[str] = collections.Counter()
    for worker, closure in workers:
        why = closure or _obstacle(part, worker, here)
        found[why.value if why is not None else "none"] += 1
    return dict(found)
