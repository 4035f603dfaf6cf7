"""Decide which tasks leave a host that is asked for, within the budgets of their steps.

A task that lasts leaves only for a place elsewhere. One that left without would count as away, hold
the other tasks of its step at the host, and wait for the very host that is closed.
"""

import collections
import dataclasses

from nutmegshelf import estimates, fleetview, ids, registry, simulation, speculation

# A host that nobody asks for again stays closed this long.
_CLOSED_S = 4.0
# Tasks that end by themselves are waited for this long; then those that save their state leave.
_PATIENCE_S = 2.5
# A host comes back from its upkeep, so after this time its last tasks leave without another place.
_PLACE_PATIENCE_S = 4.0
# Only so recent news counts as proof that a task is at work; a look waits up to a second.
_NEWS_AGE_S = 1.3


@dataclasses.dataclass(slots=True)
class ClosedHosts:
    """Own the set of closed hosts of one service."""

    _until_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    _since_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    # The newest life of a worker that a host had when it was closed.
    _born_ms: dict[ids.HostId, int] = dataclasses.field(default_factory=dict)

    def close(self, host: ids.HostId, now_s: float, born_ms: int = 0) -> None:
        """Give a host no new tasks from now on."""
        if not self.is_closed(host, now_s):
            self._since_s[host] = now_s
        self._until_s[host] = now_s + _CLOSED_S
        self._born_ms[host] = max(born_ms, self._born_ms.get(host, 0))

    def reopen(self, host: ids.HostId) -> None:
        """Give a host new tasks again."""
        self._until_s.pop(host, None)

    def reopen_if_restarted(self, life: fleetview.Incarnation, host: ids.HostId) -> None:
        """Give a host new tasks where a later life says that its upkeep or move is done."""
        if life.born_ms > self._born_ms.get(host, 0):
            self.reopen(host)

    def is_closed(self, host: ids.HostId, now_s: float) -> bool:
        """Say whether a host gets no new tasks."""
        return now_s < self._until_s.get(host, 0.0)

    def choose_evacuated(
        self,
        worker: fleetview.Worker,
        workers: dict[fleetview.Incarnation, fleetview.Worker],
        job_registry: registry.JobRegistry,
        found: simulation.PlacementSimulation,
        now_s: float,
    ) -> list[fleetview.Task]:
        """Give the tasks that leave now; a step that lasts gives them up one by one."""
        waited_s = now_s - self._since_s.get(worker.facts.host, now_s)
        leaving = _for_a_place(worker, workers, job_registry, found, now_s, waited_s=waited_s)
        if not leaving and waited_s > _PLACE_PATIENCE_S:
            leaving = _last_to_leave(worker, workers, job_registry, now_s)
        if waited_s > _PATIENCE_S:
            leaving += _saving(worker)
        return leaving


def choose_drained(
    worker: fleetview.Worker,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    job_registry: registry.JobRegistry,
    found: simulation.PlacementSimulation,
    learned: estimates.Estimates,
    *,
    now_s: float,
) -> list[fleetview.Task]:
    """Give the tasks that leave a worker that drains now.

    Tasks that last leave within the budget of their step. Those that save their state leave if
    they would not end in the time that the worker has left at least.
    """
    told_s = worker.drain_notified_s if worker.drain_notified_s is not None else now_s
    left_s = (worker.facts.left_ms or 0) / 1000 - (now_s - told_s)
    leaving = _for_a_place(worker, workers, job_registry, found, now_s, waited_s=now_s - told_s)
    for task in _saving(worker):
        queue = job_registry.records[task.key.job].job.queue.name
        expected_s = learned.get_expected_s(queue, task.step.estimate_ms)
        if speculation.get_expected_remaining_s(task, worker, expected_s, now_s) > left_s:
            leaving.append(task)
    return leaving


def _saving(worker: fleetview.Worker) -> list[fleetview.Task]:
    return [
        task
        for task in worker.tasks.values()
        if task.phase is fleetview.Phase.RUNNING
        and task.step.checkpointing
        and not task.step.long_running
    ]


def _for_a_place(
    worker: fleetview.Worker,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    job_registry: registry.JobRegistry,
    found: simulation.PlacementSimulation,
    now_s: float,
    *,
    waited_s: float,
) -> list[fleetview.Task]:
    """Give the tasks that last and may leave now, as each has a place elsewhere."""
    leaving: list[fleetview.Task] = []
    counted: collections.Counter[registry.TaskSet] = collections.Counter()
    for task in _lasting(worker, job_registry):
        part = job_registry.get_task_set(task)
        away = counted[part] + count_unavailable(part, task, workers, now_s)
        if task.step.may_miss and away >= task.step.may_miss:
            continue
        if found.place(task, part, waited_s):
            task.eviction_wait_s = waited_s
            leaving.append(task)
            counted[part] += 1
    return leaving


def _last_to_leave(
    worker: fleetview.Worker,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    job_registry: registry.JobRegistry,
    now_s: float,
) -> list[fleetview.Task]:
    """Give all tasks that last, or none where one of them would have to stay."""
    leaving = _lasting(worker, job_registry)
    by_part: dict[registry.TaskSet, list[fleetview.Task]] = {}
    for task in leaving:
        by_part.setdefault(job_registry.get_task_set(task), []).append(task)
    for part, tasks in by_part.items():
        away = count_unavailable(part, tasks[0], workers, now_s)
        if part.step.may_miss and away + len(tasks) > part.step.may_miss:
            return []
    return leaving


def _lasting(worker: fleetview.Worker, job_registry: registry.JobRegistry) -> list[fleetview.Task]:
    return [
        task
        for task in worker.tasks.values()
        if task.phase is fleetview.Phase.RUNNING
        and task.step.long_running
        and job_registry.records[task.key.job].is_live
    ]


def count_unavailable(
    part: registry.TaskSet,
    but: fleetview.Task,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    now_s: float,
) -> int:
    """Count the other tasks of a step that are not surely at work."""
    return sum(
        task is not but
        and not _is_at_work(
            task, workers.get(task.incarnation) if task.incarnation else None, now_s
        )
        for task in part.tasks
    )


def _is_at_work(task: fleetview.Task, worker: fleetview.Worker | None, now_s: float) -> bool:
    return (
        worker is not None
        and worker.unresponsive_since_s is None
        and now_s - worker.heard_s <= _NEWS_AGE_S
        and task.phase is fleetview.Phase.RUNNING
        and task.percent >= 100
    )
