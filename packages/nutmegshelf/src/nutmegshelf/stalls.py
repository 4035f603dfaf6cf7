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

Why = collections.abc.Callable[[fleetview.Worker, float], fleetview.Closure | None]


class Stalls:
    """Own when the tasks of one service were last gone through."""

    def __init__(self, book: ledger.Ledger, written: notes.Notes) -> None:
        self._ledger = book
        self._notes = written
        self._looked_s = 0.0
        self._noted_s: dict[fleetview.Task, float] = {}

    def note(
        self, workers: collections.abc.Iterable[fleetview.Worker], now_s: float, why: Why
    ) -> None:
        """Note one task for each step and phase in which tasks have not moved on."""
        if now_s - self._looked_s < _LOOK_S:
            return
        self._looked_s = now_s
        noted_s, self._noted_s = self._noted_s, {}
        found = list(workers)
        closed: dict[fleetview.Life, fleetview.Closure] = {}
        for worker in found:
            if (closure := why(worker, now_s)) is not None:
                closed[worker.facts.life] = closure
        for record in self._ledger.live.values():
            for parts in record.occurrences.values():
                for part in parts:
                    for tasks in _stalled(part, record, now_s):
                        first = tasks[0]
                        self._noted_s[first] = noted_s.get(first, now_s - _NOTED_AFTER_S)
                        if now_s - self._noted_s[first] >= _NOTED_AFTER_S:
                            self._noted_s[first] = now_s
                            self._write(part, tasks, record.accepted_s, found, closed, now_s)

    def _write(
        self,
        part: ledger.Part,
        tasks: list[fleetview.Task],
        accepted_s: float,
        workers: list[fleetview.Worker],
        closed: dict[fleetview.Life, fleetview.Closure],
        now_s: float,
    ) -> None:
        first = tasks[0]
        here = ledger.counts(part)
        obstacles: collections.Counter[str] = collections.Counter()
        for worker in workers:
            life = worker.facts.life
            hindrance = closed.get(life) or fitting.obstacle(part.step, worker, here[life])
            obstacles[hindrance.value if hindrance is not None else "none"] += 1
        self._notes.note_task(
            "task has not moved on",
            first,
            phase=first.phase.value,
            for_s=round(now_s - max(first.since_s, accepted_s), 3),
            alike=len(tasks),
            awaits=_AWAITED[first.phase],
            worker=first.life.worker if first.life is not None else None,
            stops_sent=first.stops_sent,
            cpu_millis=part.step.cpu_millis,
            memory_mb=part.step.memory_mb,
            workers=dict(obstacles),
        )


def _stalled(
    part: ledger.Part, record: ledger.Record, now_s: float
) -> collections.abc.Iterable[list[fleetview.Task]]:
    """Give the tasks of a step that have not moved on, by phase, the oldest first."""
    by_phase: dict[fleetview.Phase, list[fleetview.Task]] = {}
    if not part.is_open:
        return ()
    for task in part.tasks:
        since_s = max(task.since_s, record.accepted_s)
        if task.phase in _AWAITED and now_s - since_s >= _NOTED_AFTER_S:
            by_phase.setdefault(task.phase, []).append(task)
    for tasks in by_phase.values():
        tasks.sort(key=lambda task: task.since_s)
    return by_phase.values()
