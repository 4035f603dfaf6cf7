"""Attribute the crashes of workers to the runs that were lost, and decide which task is given up.

A worker has crashed if its host runs a later one, unless it drained or its host was cleared for a
move or for maintenance. Silence proves nothing: the runs of a silent worker are kept and stored
until it answers again or turns out to have crashed, also after their lease has expired.
"""

import collections
import collections.abc
import dataclasses

from nutmegshelf import fleetview, ids, jobs

# A run that was seen running for this time did not crash its worker by its start.
TRIAL_S = 0.5
# The same for a long-running task that has crashed more than one worker.
_REPEATED_TRIAL_S = 5.0
# A long-running task that has run for this time is cleared of all crashes before.
_CLEARED_S = 30.0
# A task is given up after this many crashes, the given number of them of workers that ran nothing
# else, or after the limit in all.
_PROVING_CRASHES = 3
_PROVING_ALONE = 2
_MAX_CRASHES = 4
# This many crashes of workers of one service within the period make a storm.
_STORM_CRASHES = 4
_STORM_PERIOD_S = 10.0
# The runs of a worker that neither answers nor restarts are forgotten after this time.
_RETENTION_S = 120.0


LostRuns = list[tuple[jobs.TaskKey, jobs.UnresolvedRun]]


@dataclasses.dataclass(slots=True)
class _LostWorker:
    host: ids.HostId
    lost_s: float
    runs: LostRuns


def get_lost_runs(worker: fleetview.Worker) -> LostRuns:
    """Return the runs of a worker that would count if it crashed after its last report.

    A start just before explains a crash better than a long-running task that was at work.
    """
    tasks = [
        task
        for task in worker.tasks.values()
        if _may_have_run(task) and not is_cleared(task, worker)
    ]
    early = {task for task in tasks if get_seen_running_s(task, worker) < TRIAL_S}
    groups = {_get_group(task) for task in worker.tasks.values()}
    is_alone = len(groups) == 1 and not worker.unknown_runs
    return [
        (
            task.key,
            make_unresolved(worker.facts, task.run, is_alone=is_alone, is_early=task in early),
        )
        for task in tasks
        if task in early or not early or not task.step.long_running
    ]


def _may_have_run(task: fleetview.Task) -> bool:
    match task.phase:
        case fleetview.Phase.DONE:
            return False
        case fleetview.Phase.STARTING:
            return task.is_sent
        case _:
            return True


def make_unresolved(
    facts: fleetview.WorkerFacts, run: int, *, is_alone: bool, is_early: bool
) -> jobs.UnresolvedRun:
    """Return the record of a run at a worker that may crash or have crashed."""
    return jobs.UnresolvedRun(
        run=run,
        worker=facts.incarnation.worker,
        born_ms=facts.incarnation.born_ms,
        host=facts.host,
        is_alone=is_alone,
        is_early=is_early,
    )


def _get_group(task: fleetview.Task) -> jobs.TaskKey:
    # The tasks of a gang run only together.
    return task.key._replace(position=0) if task.step.gang else task.key


def get_seen_running_s(task: fleetview.Task, worker: fleetview.Worker) -> float:
    """Return for how long a run had been going on at the last report of its worker."""
    is_seen = task.phase in (fleetview.Phase.RUNNING, fleetview.Phase.STOPPING)
    return max(0.0, worker.heard_s - task.sent_s) if is_seen else 0.0


def is_cleared(task: fleetview.Task, worker: fleetview.Worker) -> bool:
    """Return whether a long-running task has run for so long that no crash counts for it."""
    return task.step.long_running and get_seen_running_s(task, worker) >= _CLEARED_S


def needs_trial(task: fleetview.Task) -> bool:
    """Return whether a task may start only where nothing else runs."""
    history = task.crashes
    if history is None:
        return False
    return history.is_suspect or (len(history.runs) > 1 and not task.step.long_running)


def is_trial_over(task: fleetview.Task, worker: fleetview.Worker) -> bool:
    """Return whether other tasks may start beside a suspected task.

    After a second crash it runs alone for longer, as it may crash its workers late: a short task
    until its end.
    """
    seen_s = get_seen_running_s(task, worker)
    if task.crashes is None or len(task.crashes.runs) < 2:
        return seen_s >= TRIAL_S
    return task.step.long_running and seen_s >= _REPEATED_TRIAL_S


def is_given_up(history: jobs.CrashHistory, *, is_storm: bool) -> bool:
    """Return whether a task with these crashes must not start again.

    While many workers crash, a crash proves less, and one more is needed.
    """
    count = len(history.runs) - is_storm
    is_proven = count >= _PROVING_CRASHES and len(history.alone) - is_storm >= _PROVING_ALONE
    return is_proven or count >= _MAX_CRASHES


class LostWorkers:
    """The workers that are silent, or whose runs were released as they were, with these runs."""

    def __init__(self) -> None:
        self._lost: dict[fleetview.Incarnation, _LostWorker] = {}
        # When the last crashes were found.
        self._crashes_s: collections.deque[float] = collections.deque(maxlen=_STORM_CRASHES)

    def has(self, incarnation: fleetview.Incarnation) -> bool:
        """Return whether the runs of a worker are kept."""
        return incarnation in self._lost

    def add(self, worker: fleetview.Worker, now_s: float) -> LostRuns:
        """Keep the runs of a worker that may have crashed, and return them."""
        runs = get_lost_runs(worker)
        if not runs or not worker.facts.host:
            return []
        self._lost[worker.facts.incarnation] = _LostWorker(worker.facts.host, now_s, runs)
        return runs

    def add_stored(self, key: jobs.TaskKey, run: jobs.UnresolvedRun, now_s: float) -> None:
        """Keep a run that an earlier holder stored as unresolved."""
        incarnation = fleetview.Incarnation(run.worker, run.born_ms)
        lost = self._lost.setdefault(incarnation, _LostWorker(run.host, now_s, []))
        lost.runs.append((key, run))

    def discard(self, incarnation: fleetview.Incarnation) -> LostRuns:
        """Drop and return the runs of a worker."""
        lost = self._lost.pop(incarnation, None)
        return lost.runs if lost is not None else []

    def get_at_host(self, host: ids.HostId) -> list[fleetview.Incarnation]:
        """Return the workers at a host whose runs are kept."""
        return [incarnation for incarnation, lost in self._lost.items() if lost.host == host]

    def get_expired(self, now_s: float) -> list[fleetview.Incarnation]:
        """Return the workers that have neither answered nor restarted for long."""
        return [
            incarnation
            for incarnation, lost in self._lost.items()
            if now_s - lost.lost_s > _RETENTION_S
        ]

    def take_crashed(
        self, newest_born_ms: collections.abc.Mapping[ids.HostId, int], now_s: float
    ) -> list[tuple[fleetview.Incarnation, LostRuns]]:
        """Remove and return the workers whose hosts run later ones, with their runs."""
        return [
            (incarnation, self.take_restarted(incarnation, now_s))
            for incarnation, lost in list(self._lost.items())
            if newest_born_ms.get(lost.host, -1) > incarnation.born_ms
        ]

    def take_restarted(self, incarnation: fleetview.Incarnation, now_s: float) -> LostRuns:
        """Remove and return the runs of a worker that turned out to have crashed."""
        runs = self.discard(incarnation)
        if runs:
            self._crashes_s.append(now_s)
        return runs

    def is_storm(self, now_s: float) -> bool:
        """Return whether many workers crashed lately."""
        is_full = len(self._crashes_s) == _STORM_CRASHES
        return is_full and now_s - self._crashes_s[0] <= _STORM_PERIOD_S
