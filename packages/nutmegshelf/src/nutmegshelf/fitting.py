"""Choose the worker of a task, or the workers of a gang."""

import collections
import collections.abc
import enum
import math

from nutmegshelf import fleetview, jobs

# A task that found no worker for this long no longer waits for one that keeps its step apart.
_SPREAD_PATIENCE_S = 4.0


class Constraint(enum.Enum):
    """Say why a worker can't take a task."""

    CPU = "cpu"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    LABEL = "label"
    SPREAD = "spread"


class UnplaceableShapes:
    """Remember within one pass which shapes fit nowhere, so that their like are passed over."""

    def __init__(self) -> None:
        self._by_label: dict[str, list[tuple[int, int, int]]] = {}

    def add(self, step: jobs.Step) -> None:
        """Note that a task of a step fits nowhere."""
        self._by_label.setdefault(step.label, []).append(_shape(step))

    def covers(self, step: jobs.Step) -> bool:
        """Say whether a task at most as large as one of the step fitted nowhere."""
        cpu, memory, accelerators = _shape(step)
        return any(
            cpu >= low[0] and memory >= low[1] and accelerators >= low[2]
            for low in self._by_label.get(step.label, ())
        )


def _shape(step: jobs.Step) -> tuple[int, int, int]:
    return (0 if step.fills else step.cpu_millis, step.memory_mb, step.accelerators)


def find_unmet_constraint(
    step: jobs.Step, free: fleetview.Resources, labels: frozenset[str], count: int, most: int
) -> Constraint | None:
    """Say what keeps a task off a worker that runs some of its step, or give none.

    At most so many of a step run on one worker, where that is not 0.
    """
    if not step.fills and step.cpu_millis > free.cpu_millis:
        return Constraint.CPU
    if step.memory_mb > free.memory_mb:
        return Constraint.MEMORY
    if step.accelerators > free.accelerators:
        return Constraint.ACCELERATORS
    if step.label and step.label not in labels:
        return Constraint.LABEL
    return Constraint.SPREAD if most and count >= most else None


def choose_worker(
    step: jobs.Step,
    open_workers: collections.abc.Iterable[fleetview.Worker],
    here: collections.Counter[fleetview.Incarnation],
    *,
    most: int,
    is_shared: bool,
) -> fleetview.Worker | None:
    """Give the worker for one task of a step, at most so many of which run there, or none.

    Data nearby goes first. Tasks that last share few workers; others fill the fullest worker that
    has room. Both leave whole workers free for large tasks and for other pools.
    """
    chosen: fleetview.Worker | None = None
    chosen_rank: tuple[object, ...] = ()
    racks: collections.Counter[str] = collections.Counter()
    found = list(open_workers)
    if step.long_running:
        for worker in found:
            racks[worker.facts.rack] += here[worker.facts.incarnation]
    for worker in found:
        facts = worker.facts
        if (
            find_unmet_constraint(step, worker.free, facts.labels, here[facts.incarnation], most)
            is not None
        ):
            continue
        far = bool(step.data_rack) and worker.facts.rack != step.data_rack
        rank: tuple[object, ...]
        if step.long_running:
            rank = (
                far,
                worker.consecutive_failures,
                _crowding(worker, step) if is_shared else 0,
                not worker.tasks,
                -worker.long_running_count,
                racks[worker.facts.rack],
                worker.free.cpu_millis,
                worker.facts.incarnation,
            )
        else:
            rank = (
                far,
                worker.consecutive_failures,
                not worker.tasks,
                worker.free.cpu_millis,
                worker.facts.incarnation,
            )
        if chosen is None or rank < chosen_rank:
            chosen, chosen_rank = worker, rank
    return chosen


def has_capacity(step: jobs.Step, workers: collections.abc.Iterable[fleetview.Worker]) -> bool:
    """Say whether some worker has room for a task, though it may run too many of its step."""
    return any(
        find_unmet_constraint(step, one.free, one.facts.labels, 0, 0) is None for one in workers
    )


def compute_share(step: jobs.Step, facts: fleetview.WorkerFacts) -> float:
    """Give the part of a worker that a task takes, in the resource that it takes most of."""
    taken = fleetview.Resources(0, 0, 0)
    taken.add(step, 1)
    return fleetview.compute_dominant_share(taken, facts)


def get_max_per_worker(step: jobs.Step, waited_s: float = 0.0) -> int:
    """Give how many tasks of a step one worker may run, or 0 where that is not bounded.

    Half of a step that lasts, so that a loss leaves some, as long as other workers may come.
    """
    if not step.long_running or waited_s > _SPREAD_PATIENCE_S:
        return step.max_per_worker
    half = max(1, math.ceil(step.count / 2))
    return min(half, step.max_per_worker or half)


def _crowding(worker: fleetview.Worker, step: jobs.Step) -> int:
    # Filling tasks and serving tasks disturb one another, so they are kept apart where possible.
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
    """Give the workers for all tasks of a gang at once, or none where they don't all fit."""
    racks: dict[str, list[fleetview.Worker]] = {}
    for worker in open_workers:
        if not step.label or step.label in worker.facts.labels:
            racks.setdefault(worker.facts.rack, []).append(worker)
    near_first = sorted(racks, key=lambda rank: (rank != step.data_rack, rank))
    for rack in near_first:
        if (places := _pack(step, count, racks[rack])) is not None:
            return places
    if step.same_rack:
        return None
    return _pack(step, count, [worker for rack in near_first for worker in racks[rack]])


def _pack(
    step: jobs.Step, count: int, found: list[fleetview.Worker]
) -> list[fleetview.Worker] | None:
    places: list[fleetview.Worker] = []
    for worker in sorted(found, key=lambda worker: worker.free.cpu_millis):
        room = _room(step, worker)
        places += [worker] * min(room, count - len(places))
        if len(places) == count:
            return places
    return None


def _room(step: jobs.Step, worker: fleetview.Worker) -> int:
    rooms = [
        free // need
        for free, need in (
            (worker.free.cpu_millis, 0 if step.fills else step.cpu_millis),
            (worker.free.memory_mb, step.memory_mb),
            (worker.free.accelerators, step.accelerators),
        )
        if need > 0
    ]
    most = min(rooms, default=step.count)
    return max(0, min(most, step.max_per_worker or most))
