"""Choose the worker of a task, or the workers of a gang."""

import collections
import collections.abc
import enum
import heapq
import math

from nutmegshelf import fleetview, jobs

# A task that has waited for this long no longer waits for a worker that keeps its step spread.
_MAX_SPREAD_WAIT_S = 4.0


class Constraint(enum.Enum):
    """A constraint that keeps a task off a worker."""

    CPU = "cpu"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    LABEL = "label"
    SPREAD = "spread"


class UnplaceableShapes:
    """The task shapes that fitted nowhere in one pass, so that similar tasks can be skipped."""

    def __init__(self) -> None:
        self._by_label: dict[str, list[tuple[int, int, int]]] = {}

    def add(self, step: jobs.Step) -> None:
        """Record that a task of a step fits nowhere."""
        self._by_label.setdefault(step.label, []).append(_shape(step))

    def covers(self, step: jobs.Step) -> bool:
        """Return whether a task no larger than one of the step fitted nowhere."""
        cpu, memory, accelerators = _shape(step)
        return any(
            cpu >= shape[0] and memory >= shape[1] and accelerators >= shape[2]
            for shape in self._by_label.get(step.label, ())
        )


def _shape(step: jobs.Step) -> tuple[int, int, int]:
    return (0 if step.fills else step.cpu_millis, step.memory_mb, step.accelerators)


def find_unmet_constraint(
    step: jobs.Step, free: fleetview.Resources, labels: frozenset[str], count: int, limit: int
) -> Constraint | None:
    """Return the constraint that keeps a task off a worker, or None.

    `count` tasks of its step run there already; `limit` bounds them, and is 0 for no bound.
    """
    if not step.fills and step.cpu_millis > free.cpu_millis:
        return Constraint.CPU
    if step.memory_mb > free.memory_mb:
        return Constraint.MEMORY
    if step.accelerators > free.accelerators:
        return Constraint.ACCELERATORS
    if step.label and step.label not in labels:
        return Constraint.LABEL
    return Constraint.SPREAD if limit and count >= limit else None


_ShortRank = tuple[bool, int, bool, int, fleetview.Incarnation]


class ShortTaskPlacer:
    """The choice of workers for the short tasks of one step, one task after the other.

    Workers near the data come first, then the fullest worker that has room, which leaves whole
    workers free for large tasks and for other pools. The rank of a worker changes only with the
    tasks that it gets, so the workers are ranked once for all tasks of a step.
    """

    def __init__(
        self,
        step: jobs.Step,
        workers: collections.abc.Iterable[fleetview.Worker],
        runs: collections.Counter[fleetview.Incarnation],
    ) -> None:
        self._step = step
        self._runs = runs
        self._ranked = [(self._rank(worker), worker) for worker in workers if self._accepts(worker)]
        heapq.heapify(self._ranked)

    def choose(self) -> fleetview.Worker | None:
        """Return the worker for the next task, or None; the task counts once it is added there."""
        while self._ranked:
            rank, worker = self._ranked[0]
            if not self._accepts(worker):
                heapq.heappop(self._ranked)
            elif (current := self._rank(worker)) != rank:
                heapq.heapreplace(self._ranked, (current, worker))
            else:
                return worker
        return None

    def _accepts(self, worker: fleetview.Worker) -> bool:
        count = self._runs[worker.facts.incarnation]
        limit = self._step.max_per_worker
        return (
            find_unmet_constraint(self._step, worker.free, worker.facts.labels, count, limit)
            is None
        )

    def _rank(self, worker: fleetview.Worker) -> _ShortRank:
        return (
            _is_far(worker, self._step),
            worker.consecutive_failures,
            not worker.tasks,
            worker.free.cpu_millis,
            worker.facts.incarnation,
        )


def _is_far(worker: fleetview.Worker, step: jobs.Step) -> bool:
    return bool(step.data_rack) and worker.facts.rack != step.data_rack


def choose_long_running_worker(
    step: jobs.Step,
    open_workers: collections.abc.Iterable[fleetview.Worker],
    runs: collections.Counter[fleetview.Incarnation],
    *,
    limit: int,
    is_shared: bool,
) -> fleetview.Worker | None:
    """Return the worker for one long-running task, or None; `limit` bounds its tasks per worker.

    Workers near the data come first. Long-running tasks share few workers, which leaves whole
    workers free for large tasks and for other pools.
    """
    chosen: fleetview.Worker | None = None
    chosen_rank: tuple[object, ...] = ()
    racks: collections.Counter[str] = collections.Counter()
    workers = list(open_workers)
    for worker in workers:
        racks[worker.facts.rack] += runs[worker.facts.incarnation]
    for worker in workers:
        facts = worker.facts
        if (
            find_unmet_constraint(step, worker.free, facts.labels, runs[facts.incarnation], limit)
            is not None
        ):
            continue
        rank = (
            _is_far(worker, step),
            worker.consecutive_failures,
            _count_conflicting(worker, step) if is_shared else 0,
            not worker.tasks,
            -worker.long_running_count,
            racks[worker.facts.rack],
            worker.free.cpu_millis,
            worker.facts.incarnation,
        )
        if chosen is None or rank < chosen_rank:
            chosen, chosen_rank = worker, rank
    return chosen


def has_capacity(step: jobs.Step, workers: collections.abc.Iterable[fleetview.Worker]) -> bool:
    """Return whether some worker has room for a task, regardless of the spread of its step."""
    return any(
        find_unmet_constraint(step, worker.free, worker.facts.labels, 0, 0) is None
        for worker in workers
    )


def compute_share(step: jobs.Step, facts: fleetview.WorkerFacts) -> float:
    """Return the share of a worker that a task takes of its dominant resource."""
    used = fleetview.Resources(0, 0, 0)
    used.add(step, 1)
    return fleetview.compute_dominant_share(used, facts)


def get_max_per_worker(step: jobs.Step, waited_s: float = 0.0) -> int:
    """Return how many tasks of a step one worker may run, or 0 for no bound.

    A long-running step has at most half of its tasks on one worker, so that the loss of a worker
    leaves the others, until a task has waited too long for another worker.
    """
    if not step.long_running or waited_s > _MAX_SPREAD_WAIT_S:
        return step.max_per_worker
    half = max(1, math.ceil(step.count / 2))
    return min(half, step.max_per_worker or half)


def _count_conflicting(worker: fleetview.Worker, step: jobs.Step) -> int:
    # Filling tasks and serving tasks slow one another down, so they are kept on different workers.
    if step.fills:
        return sum(task.step.target_ms > 0 for task in worker.tasks.values())
    if step.target_ms:
        return sum(task.step.fills for task in worker.tasks.values())
    return 0


def choose_gang_workers(
    step: jobs.Step,
    count: int,
    open_workers: collections.abc.Iterable[fleetview.Worker],
) -> list[fleetview.Worker] | None:
    """Return workers for all tasks of a gang, or None if they don't all fit."""
    racks: dict[str, list[fleetview.Worker]] = {}
    for worker in open_workers:
        if not step.label or step.label in worker.facts.labels:
            racks.setdefault(worker.facts.rack, []).append(worker)
    near_first = sorted(racks, key=lambda rack: (rack != step.data_rack, rack))
    for rack in near_first:
        if (chosen := _pack(step, count, racks[rack])) is not None:
            return chosen
    if step.same_rack:
        return None
    return _pack(step, count, [worker for rack in near_first for worker in racks[rack]])


def _pack(
    step: jobs.Step, count: int, workers: list[fleetview.Worker]
) -> list[fleetview.Worker] | None:
    chosen: list[fleetview.Worker] = []
    for worker in sorted(workers, key=lambda worker: worker.free.cpu_millis):
        fitting_count = count_fitting(step, worker.free)
        chosen += [worker] * min(fitting_count, count - len(chosen))
        if len(chosen) == count:
            return chosen
    return None


def count_fitting(step: jobs.Step, room: fleetview.Resources) -> int:
    """Return how many tasks of a step fit into some resources of one worker."""
    counts = [
        free // need
        for free, need in (
            (room.cpu_millis, 0 if step.fills else step.cpu_millis),
            (room.memory_mb, step.memory_mb),
            (room.accelerators, step.accelerators),
        )
        if need > 0
    ]
    limit = min(counts, default=step.count)
    return max(0, min(limit, step.max_per_worker or limit))
