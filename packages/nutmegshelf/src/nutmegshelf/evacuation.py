"""Choose which tasks to evict from a host to evacuate, within the budgets of their steps.

A long-running task is evicted only if it has a place elsewhere. Without one it would use up its
step's budget, keep the other tasks of the step at the host, and wait for the closed host itself.
"""

import collections
import dataclasses

from nutmegshelf import estimates, fleetview, ids, registry, simulation, speculation

# A host stays closed for this long after the last request to evacuate it.
_CLOSURE_S = 4.0
# Short tasks get this time to end; then those that write checkpoints are evicted.
_CHECKPOINTING_WAIT_S = 2.5
# After this time the last long-running tasks are evicted without another place, as the host returns
# from its maintenance.
_PLACEMENT_WAIT_S = 4.0
# A task counts as available only by a report no older than this; a poll waits up to one second.
_MAX_REPORT_AGE_S = 1.3


@dataclasses.dataclass(slots=True)
class ClosedHosts:
    """The hosts of one service that get no new tasks, as they are being evacuated."""

    _closed_until_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    _closed_since_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    # The start time of the newest worker that a host had when it was closed.
    _born_ms: dict[ids.HostId, int] = dataclasses.field(default_factory=dict)

    def close(self, host: ids.HostId, now_s: float, born_ms: int = 0) -> None:
        """Close a host to new tasks, or prolong its closure."""
        if not self.is_closed(host, now_s):
            self._closed_since_s[host] = now_s
        self._closed_until_s[host] = now_s + _CLOSURE_S
        self._born_ms[host] = max(born_ms, self._born_ms.get(host, 0))

    def reopen(self, host: ids.HostId) -> None:
        """Open a host to new tasks before its closure runs out."""
        self._closed_until_s.pop(host, None)

    def reopen_if_restarted(self, incarnation: fleetview.Incarnation, host: ids.HostId) -> None:
        """Reopen a host whose worker restarted, as its maintenance or move is over."""
        if incarnation.born_ms > self._born_ms.get(host, 0):
            self.reopen(host)

    def is_closed(self, host: ids.HostId, now_s: float) -> bool:
        """Return whether a host is closed to new tasks."""
        return now_s < self._closed_until_s.get(host, 0.0)

    def choose_evacuated(
        self,
        worker: fleetview.Worker,
        workers: dict[fleetview.Incarnation, fleetview.Worker],
        job_registry: registry.JobRegistry,
        placements: simulation.PlacementSimulation,
        now_s: float,
    ) -> list[fleetview.Task]:
        """Return the tasks to evict now, within the disruption budgets of long-running steps."""
        waited_s = now_s - self._closed_since_s.get(worker.facts.host, now_s)
        evicted = _choose_with_placement(
            worker, workers, job_registry, placements, now_s, waited_s=waited_s
        )
        if not evicted and waited_s > _PLACEMENT_WAIT_S:
            evicted = _choose_remaining(worker, workers, job_registry, now_s)
        if waited_s > _CHECKPOINTING_WAIT_S:
            evicted += _get_checkpointing(worker)
        return evicted


def choose_drained(
    worker: fleetview.Worker,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    job_registry: registry.JobRegistry,
    placements: simulation.PlacementSimulation,
    task_estimates: estimates.Estimates,
    *,
    now_s: float,
) -> list[fleetview.Task]:
    """Return the tasks to evict from a draining worker now.

    Long-running tasks are evicted within the budget of their step. Tasks that write checkpoints are
    evicted if they would not end in the time that the worker has left at least.
    """
    notified_s = worker.drain_notified_s if worker.drain_notified_s is not None else now_s
    remaining_s = (worker.facts.left_ms or 0) / 1000 - (now_s - notified_s)
    evicted = _choose_with_placement(
        worker, workers, job_registry, placements, now_s, waited_s=now_s - notified_s
    )
    for task in _get_checkpointing(worker):
        queue = job_registry.records[task.key.job].job.queue.name
        expected_s = task_estimates.get_expected_s(queue, task.step.estimate_ms)
        if speculation.get_expected_remaining_s(task, worker, expected_s, now_s) > remaining_s:
            evicted.append(task)
    return evicted


def _get_checkpointing(worker: fleetview.Worker) -> list[fleetview.Task]:
    return [
        task
        for task in worker.tasks.values()
        if task.phase is fleetview.Phase.RUNNING
        and task.step.checkpointing
        and not task.step.long_running
    ]


def _choose_with_placement(
    worker: fleetview.Worker,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    job_registry: registry.JobRegistry,
    placements: simulation.PlacementSimulation,
    now_s: float,
    *,
    waited_s: float,
) -> list[fleetview.Task]:
    """Return the long-running tasks that may be evicted now and have a place elsewhere."""
    evicted: list[fleetview.Task] = []
    evicted_counts: collections.Counter[registry.TaskSet] = collections.Counter()
    for task in _get_long_running(worker, job_registry):
        task_set = job_registry.get_task_set(task)
        unavailable = evicted_counts[task_set] + count_unavailable(task_set, task, workers, now_s)
        if task.step.may_miss and unavailable >= task.step.may_miss:
            continue
        if placements.place(task, task_set, waited_s):
            task.eviction_wait_s = waited_s
            evicted.append(task)
            evicted_counts[task_set] += 1
    return evicted


def _choose_remaining(
    worker: fleetview.Worker,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    job_registry: registry.JobRegistry,
    now_s: float,
) -> list[fleetview.Task]:
    """Return all long-running tasks, or none if the budget keeps one of them at the worker."""
    evicted = _get_long_running(worker, job_registry)
    tasks_by_set: dict[registry.TaskSet, list[fleetview.Task]] = {}
    for task in evicted:
        tasks_by_set.setdefault(job_registry.get_task_set(task), []).append(task)
    for task_set, tasks in tasks_by_set.items():
        unavailable = count_unavailable(task_set, tasks[0], workers, now_s)
        if task_set.step.may_miss and unavailable + len(tasks) > task_set.step.may_miss:
            return []
    return evicted


def _get_long_running(
    worker: fleetview.Worker, job_registry: registry.JobRegistry
) -> list[fleetview.Task]:
    return [
        task
        for task in worker.tasks.values()
        if task.phase is fleetview.Phase.RUNNING
        and task.step.long_running
        and job_registry.records[task.key.job].is_live
    ]


def count_unavailable(
    task_set: registry.TaskSet,
    excluded: fleetview.Task,
    workers: dict[fleetview.Incarnation, fleetview.Worker],
    now_s: float,
) -> int:
    """Count the tasks of a step, except one, that are not confirmed as available."""
    return sum(
        task is not excluded
        and not _is_available(
            task, workers.get(task.incarnation) if task.incarnation else None, now_s
        )
        for task in task_set.tasks
    )


def _is_available(task: fleetview.Task, worker: fleetview.Worker | None, now_s: float) -> bool:
    return (
        worker is not None
        and worker.unresponsive_since_s is None
        and now_s - worker.heard_s <= _MAX_REPORT_AGE_S
        and task.phase is fleetview.Phase.RUNNING
        and task.percent >= 100
    )
