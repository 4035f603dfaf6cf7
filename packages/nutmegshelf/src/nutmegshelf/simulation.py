"""Simulate the placement of tasks on the open workers, to find those that need another host.

Load pattern: short tasks come and go, long-running tasks stay. So a worker's capacity is what it
has beside its long-running tasks: a task that fits there starts soon, and a task that fits nowhere
waits forever, however many cores are free in total.
"""

import collections
import collections.abc
import dataclasses
import math

from nutmegshelf import fitting, fleetview, jobs, policy, registry

# Further unplaced tasks are not counted, as their hosts arrive over several passes anyway.
_MAX_UNPLACED = 256
# Short tasks that run for less time than this share a host one after the other.
_SHARED_RUN_S = 0.3
# A step that the policy refused at this many workers requests no more hosts.
_MAX_REFUSED = 6

Workers = collections.abc.Iterable[fleetview.Worker]
Records = collections.abc.Iterable[registry.JobRecord]
Tasks = collections.abc.Iterable[fleetview.Task]
Ready = collections.abc.Iterable[tuple[registry.TaskSet, list[fleetview.Task]]]
Counts = collections.Counter[fleetview.Incarnation]


@dataclasses.dataclass(slots=True, eq=False)
class _SimulatedWorker:
    facts: fleetview.WorkerFacts
    # What is free beside the long-running tasks, and what is free now.
    capacity: fleetview.Resources
    free: fleetview.Resources
    placed: collections.Counter[registry.TaskSet] = dataclasses.field(
        default_factory=collections.Counter
    )

    def get_shortage(self, step: jobs.Step) -> float:
        """Return the share of the worker that has to come free before a task fits."""
        lacking = fleetview.Resources(0, step.memory_mb - self.free.memory_mb, 0)
        if not step.fills:
            lacking.cpu_millis = step.cpu_millis - self.free.cpu_millis
        return fleetview.compute_dominant_share(lacking, self.facts)

    def accepts(self, task_set: registry.TaskSet, runs: Counts, limit: int) -> bool:
        """Return whether a task fits beside the current and the simulated tasks."""
        incarnation, labels = self.facts.incarnation, self.facts.labels
        count = runs[incarnation] + self.placed[task_set]
        return (
            fitting.find_unmet_constraint(task_set.step, self.capacity, labels, count, limit)
            is None
        )

    def place_many(self, task_set: registry.TaskSet, count: int, runs: Counts, limit: int) -> int:
        """Place as many of some tasks here as fit; return their number."""
        placed = 0
        while placed < count and self.accepts(task_set, runs, limit):
            self.place(task_set)
            placed += 1
        return placed

    def place(self, task_set: registry.TaskSet) -> None:
        """Count a task as placed here."""
        self.capacity.add(task_set.step, -1)
        self.free.add(task_set.step, -1)
        self.placed[task_set] += 1


def has_room_for_waiting(worker: fleetview.Worker, waiting: list[registry.TaskSet]) -> bool:
    """Return whether a worker that can't be evacuated yet has room for a waiting task."""
    tasks = worker.tasks.values()
    if not tasks or any(task.phase is fleetview.Phase.STOPPING for task in tasks):
        return False
    capacity, labels = worker.get_room_beside_long_running(), worker.facts.labels
    return any(
        fitting.find_unmet_constraint(task_set.step, capacity, labels, 0, 0) is None
        for task_set in waiting
    )


class Reservations:
    """The open workers reserved for long-running tasks, which get no short tasks.

    The simulation starts only once a long-running task has found no worker.
    """

    def __init__(
        self, workers: list[fleetview.Worker], advice: policy.Advice, now_s: float
    ) -> None:
        self.unreserved = workers
        self._workers = workers
        self._advice = advice
        self._now_s = now_s
        self._simulation: PlacementSimulation | None = None

    def reserve(self, record: registry.JobRecord, task_set: registry.TaskSet, tasks: Tasks) -> None:
        """Reserve the workers at which long-running tasks fit soonest."""
        if self._simulation is None:
            self._simulation = PlacementSimulation(self._workers, self._advice)
        reserved = self._simulation.place_all(record, task_set, tasks, self._now_s)
        self.unreserved = [
            worker for worker in self.unreserved if worker.facts.incarnation not in reserved
        ]


class PlacementSimulation:
    """A simulated placement of tasks on workers; it starts no task."""

    def __init__(self, workers: Workers, advice: policy.Advice) -> None:
        self._advice = advice
        self._workers = [
            _SimulatedWorker(
                worker.facts,
                worker.get_room_beside_long_running(),
                dataclasses.replace(worker.free),
            )
            for worker in workers
        ]
        # The task set of each unplaced task, once per task.
        self.unplaced: list[registry.TaskSet] = []
        # Workers on which some task was placed.
        self.reserved: set[fleetview.Incarnation] = set()

    def place_waiting(self, records: Records, now_s: float) -> None:
        """Place the waiting long-running tasks."""
        for record in records:
            if not record.job.is_long_running or not record.ready:
                continue
            for task_set, tasks in record.group_ready_tasks():
                if task_set.step.long_running:
                    self.place_all(record, task_set, tasks, now_s)

    def place_stopping(self, workers: Workers, job_registry: registry.JobRegistry) -> None:
        """Place the long-running tasks that are being stopped."""
        for worker in workers:
            for task in worker.tasks.values():
                is_stopping = task.phase is fleetview.Phase.STOPPING and task.step.long_running
                if is_stopping and job_registry.records[task.key.job].is_live:
                    self.place(task, job_registry.get_task_set(task), math.inf)

    def place_displaced(self, worker: fleetview.Worker, job_registry: registry.JobRegistry) -> None:
        """Place the long-running tasks that have to leave a worker."""
        for task in worker.tasks.values():
            must_leave = task.phase is not fleetview.Phase.STOPPING and task.step.long_running
            if must_leave and job_registry.records[task.key.job].is_live:
                self.place(task, job_registry.get_task_set(task), 0.0)

    def place_all(
        self, record: registry.JobRecord, task_set: registry.TaskSet, tasks: Tasks, now_s: float
    ) -> set[fleetview.Incarnation]:
        """Place waiting tasks of a step; return the workers chosen for them."""
        waiting = sorted(tasks, key=lambda task: task.since_s)
        runs, chosen, worker = registry.count_runs_by_worker(task_set), set(), None
        for index, task in enumerate(waiting):
            limit = fitting.get_max_per_worker(
                task_set.step, registry.get_waiting_time_s(record, task, now_s)
            )
            if worker is None or not worker.accepts(task_set, runs, limit):
                worker = self._find(task_set, task.key, runs, limit)
            if worker is None:
                # The remaining tasks of the step have waited for less time, and fit no better.
                self.unplaced += [task_set] * (len(waiting) - index)
                break
            worker.place(task_set)
            chosen.add(worker.facts.incarnation)
        self.reserved |= chosen
        return chosen

    def place(self, task: fleetview.Task, task_set: registry.TaskSet, waited_s: float) -> bool:
        """Place a task; return False and count it as unplaced if it fits nowhere."""
        limit = fitting.get_max_per_worker(task_set.step, waited_s)
        worker = self._find(task_set, task.key, registry.count_runs_by_worker(task_set), limit)
        if worker is None:
            self.unplaced.append(task_set)
            return False
        worker.place(task_set)
        self.reserved.add(worker.facts.incarnation)
        return True

    def add_unplaceable(self, ready: Ready) -> None:
        """Count short tasks as unplaced if no worker will ever have room for them.

        The tasks of a gang run at the same time, so they need room beside one another.
        """
        for task_set, tasks in ready:
            if len(self.unplaced) >= _MAX_UNPLACED:
                return
            # New hosts may join any rack, so a gang that needs one rack requests none.
            is_waiting_gang = task_set.step.gang and len(tasks) == len(task_set.tasks)
            if is_waiting_gang and not task_set.step.same_rack:
                self.unplaced += [task_set] * self._count_missing(task_set, tasks[0].key)
            elif not task_set.step.long_running and not self._has_room(task_set, tasks[0].key):
                share = min(1.0, task_set.step.estimate_ms / 1000 / _SHARED_RUN_S)
                self.unplaced += [task_set] * math.ceil(share * len(tasks))

    def count_additional_hosts(self, facts: fleetview.WorkerFacts, labels: frozenset[str]) -> int:
        """Return how many new hosts the unplaced tasks fill, packing the largest tasks first.

        Steps that the policy refused at many workers are left out, as it may refuse new ones too.
        """
        capacity = fleetview.Resources(facts.cpu_millis, facts.memory_mb, facts.accelerators)
        new_workers: list[_SimulatedWorker] = []
        no_runs: Counts = collections.Counter()
        unplaced_counts = collections.Counter(self.unplaced)
        for task_set in sorted(
            unplaced_counts, key=lambda task_set: -fitting.compute_share(task_set.step, facts)
        ):
            never_fits = (
                fitting.find_unmet_constraint(task_set.step, capacity, labels, 0, 0) is not None
            )
            if never_fits or len(self._get_refused(task_set.tasks[0].key)) >= _MAX_REFUSED:
                continue
            limit, remaining = fitting.get_max_per_worker(task_set.step), unplaced_counts[task_set]
            for worker in new_workers:
                remaining -= worker.place_many(task_set, remaining, no_runs, limit)
            while remaining:
                new_workers.append(
                    _SimulatedWorker(
                        facts, dataclasses.replace(capacity), dataclasses.replace(capacity)
                    )
                )
                remaining -= new_workers[-1].place_many(task_set, remaining, no_runs, limit)
        return len(new_workers)

    def _find(
        self, task_set: registry.TaskSet, key: jobs.TaskKey, runs: Counts, limit: int
    ) -> _SimulatedWorker | None:
        """Return the worker on which a task fits soonest, or None."""
        accepting = [
            worker for worker in self._get_allowed(key) if worker.accepts(task_set, runs, limit)
        ]
        return min(accepting, key=lambda worker: worker.get_shortage(task_set.step), default=None)

    def _has_room(self, task_set: registry.TaskSet, key: jobs.TaskKey) -> bool:
        step, allowed = task_set.step, self._get_allowed(key)
        return any(
            fitting.find_unmet_constraint(step, worker.capacity, worker.facts.labels, 0, 0) is None
            for worker in allowed
        )

    def _count_missing(self, task_set: registry.TaskSet, key: jobs.TaskKey) -> int:
        """Return how many tasks of a gang have no room beside the others."""
        step, count = task_set.step, len(task_set.tasks)
        fitting_count = sum(
            fitting.count_fitting(step, worker.capacity)
            for worker in self._get_allowed(key)
            if not step.label or step.label in worker.facts.labels
        )
        return max(0, count - fitting_count)

    def _get_allowed(self, key: jobs.TaskKey) -> list[_SimulatedWorker]:
        refused = self._get_refused(key)
        if not refused:
            return self._workers
        return [worker for worker in self._workers if worker.facts.incarnation not in refused]

    def _get_refused(self, key: jobs.TaskKey) -> collections.abc.Collection[fleetview.Incarnation]:
        return self._advice.get_refused(policy.format_step_name(key))
