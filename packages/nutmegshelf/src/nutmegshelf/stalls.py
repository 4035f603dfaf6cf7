"""Note the tasks that have not moved on for long, and on what each of them waits."""

import collections
import collections.abc

from nutmegshelf import fitting, fleetview, ledger, notes

# A task that is to run and does not is noted after this time, and again at the same pace.
_NOTED_AFTER_S = 2.0
# How often the tasks are gone through.
_LOOK_S = 0.5

_AWAITED = {
    fleetview.Phase.WAITING: "a worker with room",
    fleetview.Phase.STARTING: "the outcome of its start",
    fleetview.Phase.UNSURE: "a look that tells whether its start was carried out",
    fleetview.Phase.STOPPING: "the end of its run",
    fleetview.Phase.ADRIFT: "the word of the workers that an earlier holder used",
}

Workers = collections.abc.Sequence[tuple[fleetview.Worker, fleetview.Closure | None]]


class Stalls:
    """Own when the tasks of one service were last gone through."""

    def __init__(self, book: ledger.Ledger, written: notes.Notes) -> None:
        self._ledger = book
        self._notes = written
        self._looked_s = 0.0
        self._noted_s: dict[fleetview.Task, float] = {}

    def is_due(self, now_s: float) -> bool:
        """Say whether the tasks are to be gone through again."""
        return now_s - self._looked_s >= _LOOK_S

    def note(self, workers: Workers, now_s: float) -> None:
        """Note one task for each step and phase in which tasks have not moved on."""
        self._looked_s = now_s
        noted_s, self._noted_s = self._noted_s, {}
        for record in self._ledger.live.values():
            for part in (part for parts in record.occurrences.values() for part in parts):
                for for_s, tasks in _stalled(part, record, now_s):
                    first = tasks[0]
                    self._noted_s[first] = noted_s.get(first, now_s - _NOTED_AFTER_S)
                    if now_s - self._noted_s[first] >= _NOTED_AFTER_S:
                        self._noted_s[first] = now_s
                        self._notes.note_task(
                            "task has not moved on",
                            first,
                            phase=first.phase.value,
                            for_s=round(for_s, 3),
                            alike=len(tasks),
                            awaits=_AWAITED[first.phase],
                            worker=first.life.worker if first.life is not None else None,
                            stops_sent=first.stops_sent,
                            cpu_millis=part.step.cpu_millis,
                            memory_mb=part.step.memory_mb,
                            workers=_hindrances(part, workers),
                        )


def _stalled(
    part: ledger.Part, record: ledger.Record, now_s: float
) -> collections.abc.Iterator[tuple[float, list[fleetview.Task]]]:
    """Give the tasks of a step that have not moved on, by phase, and for how long the oldest."""
    if not part.is_open:
        return
    by_phase: dict[fleetview.Phase, list[fleetview.Task]] = {}
    for task in part.tasks:
        if task.phase in _AWAITED and now_s - _since_s(task, record) >= _NOTED_AFTER_S:
            by_phase.setdefault(task.phase, []).append(task)
    for tasks in by_phase.values():
        tasks.sort(key=lambda task: task.since_s)
        yield now_s - _since_s(tasks[0], record), tasks


def _since_s(task: fleetview.Task, record: ledger.Record) -> float:
    return max(task.since_s, record.accepted_s)


def _obstacle(
    part: ledger.Part, worker: fleetview.Worker, here: collections.Counter[fleetview.Life]
) -> fitting.Obstacle | None:
    facts = worker.facts
    most = fitting.most_per_worker(part.step)
    return fitting.obstacle(part.step, worker.free, facts.labels, here[facts.life], most)


def _hindrances(part: ledger.Part, workers: Workers) -> dict[str, int]:
    """Count the workers by what keeps a task of a step from them."""
    here = ledger.counts(part)
    found: collections.Counter[str] = collections.Counter()
    for worker, closure in workers:
        why = closure or _obstacle(part, worker, here)
        found[why.value if why is not None else "none"] += 1
    return dict(found)
