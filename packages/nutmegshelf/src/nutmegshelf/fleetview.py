"""Keep what is believed of workers: their shape, their room and what runs there."""

import collections
import dataclasses
import enum
import typing

from nutmegshelf import ids, jobs

# Workers' clocks may be this much slow, so their leases may last longer than was asked.
SLOW_CLOCK_FRACTION = 0.02
_LEASE_MARGIN_S = 0.1


class Incarnation(typing.NamedTuple):
    """Name one life of a worker; the same id may start anew and then holds nothing."""

    worker: ids.WorkerId
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Hold what the fleet's list says of one life of a worker."""

    incarnation: Incarnation
    service: ids.ServiceName
    host: ids.HostId
    address: str
    zone: ids.ZoneName
    rack: ids.RackName
    labels: frozenset[str]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    is_draining: bool = False
    left_ms: int | None = None


class Phase(enum.Enum):
    """Say what is believed of one task."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "unsure"
    STOPPING = "stopping"
    RECOVERING = "adrift"
    DONE = "done"


class Unavailability(enum.Enum):
    """Say why a worker gets no new tasks."""

    NOT_POLLED = "not asked yet"
    DRAINING = "drains or is not listed"
    RECLAIMED = "its host is asked for"
    UNRESPONSIVE = "does not answer"
    QUARANTINED = "failed what it started"
    FULL = "refused a start for want of room"


PLACED_PHASES = frozenset({Phase.STARTING, Phase.RUNNING, Phase.UNCONFIRMED, Phase.STOPPING})


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Hold what is believed of one task."""

    key: jobs.TaskKey
    step: jobs.Step
    phase: Phase = Phase.WAITING
    incarnation: Incarnation | None = None
    run: int = 0
    since_s: float = 0.0
    sent_s: float = 0.0
    checkpoint: str = ""
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    percent: int = 0
    tail_latency_ms: float = 0.0
    pace_percent: int = 100
    stop_sent_s: float | None = None
    stops_sent: int = 0
    stop_acked_s: float | None = None
    # A start without an answer is not carried out after this time.
    may_start_until_s: float = 0.0
    # A look after that did not list the run.
    is_missing: bool = False
    # Another run of the same task, where its step is speculative.
    duplicate: "Task | None" = None
    # For how long it was to leave a host before it did.
    eviction_wait_s: float = 0.0
    # The highest number that a run of the task was given.
    highest_run: int = 0


class ReportedRun(typing.NamedTuple):
    """Hold what a worker says of one task that runs there."""

    task: str
    run: int
    checkpoint: str
    percent: int
    tail_latency_ms: float


class RunOutcome(enum.Enum):
    """Say how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunEnd(typing.NamedTuple):
    """Hold the end of one run, numbered within a life of its worker."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """Hold one answer of a worker to a look; the times are those of the call."""

    incarnation: Incarnation
    clock_ms: int
    sent_s: float
    received_s: float
    running: tuple[ReportedRun, ...]
    ends: tuple[RunEnd, ...]


@dataclasses.dataclass(slots=True)
class Resources:
    """Count what is free at a worker."""

    cpu_millis: int
    memory_mb: int
    accelerators: int

    def add(self, step: jobs.Step, sign: int) -> None:
        """Count a task's room as given back, or as taken."""
        if not step.fills:
            self.cpu_millis += sign * step.cpu_millis
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators

    def fits(self, step: jobs.Step) -> bool:
        """Say whether a task of a step fits."""
        return (
            (step.fills or step.cpu_millis <= self.cpu_millis)
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
        )


def compute_dominant_share(taken: Resources, facts: WorkerFacts) -> float:
    """Give the part of a worker that is taken, in the resource that is taken most."""
    pairs = (
        (taken.cpu_millis, facts.cpu_millis),
        (taken.memory_mb, facts.memory_mb),
        (taken.accelerators, facts.accelerators),
    )
    return max((used / size for used, size in pairs if size > 0), default=0.0)


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """Hold what is believed of one life of a worker."""

    facts: WorkerFacts
    is_listed: bool = True
    is_closed: bool = False
    is_polled: bool = False
    tasks: dict[jobs.TaskKey, Task] = dataclasses.field(default_factory=dict)
    free: Resources = dataclasses.field(init=False)
    leased_until_s: float = 0.0
    heard_s: float = 0.0
    unresponsive_since_s: float | None = None
    last_end: int = 0
    unpersisted_ends: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    unknown_runs: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    # Runs whose stop was sent and neither answered nor given up, with the time of its choice.
    pending_stops: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    consecutive_failures: int = 0
    failed_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    quarantined_until_s: float = 0.0
    start_refused_s: float = -1.0
    clock_offset_ms: float | None = None
    clock_read_s: float = 0.0
    idle_since_s: float = 0.0
    pace_set_s: float = 0.0
    drain_notified_s: float | None = None

    def __post_init__(self) -> None:
        self.free = Resources(self.facts.cpu_millis, self.facts.memory_mb, self.facts.accelerators)

    def add_task(self, task: Task) -> None:
        """Count a task's room."""
        if task.key in self.tasks:
            return
        self.tasks[task.key] = task
        self.free.add(task.step, -1)

    def remove_task(self, task: Task, now_s: float) -> None:
        """Give a task's room back."""
        if self.tasks.pop(task.key, None) is not None:
            self.free.add(task.step, 1)
            if not self.tasks:
                self.idle_since_s = now_s

    @property
    def long_running_count(self) -> int:
        """Count the tasks here that last."""
        return sum(task.step.long_running for task in self.tasks.values())

    def get_room_beside_long_running(self) -> Resources:
        """Give what is free once the tasks that end by themselves are gone."""
        room = Resources(self.facts.cpu_millis, self.facts.memory_mb, self.facts.accelerators)
        for task in self.tasks.values():
            if task.step.long_running:
                room.add(task.step, -1)
        return room

    def fits(self, step: jobs.Step) -> bool:
        """Say whether a task of a step fits beside what runs here."""
        return self.free.fits(step)

    def fits_when_empty(self, step: jobs.Step) -> bool:
        """Say whether a task of a step fits while nothing else runs here."""
        return (
            step.cpu_millis <= self.facts.cpu_millis
            and step.memory_mb <= self.facts.memory_mb
            and step.accelerators <= self.facts.accelerators
            and (not step.label or step.label in self.facts.labels)
        )

    def extend_lease(self, sent_s: float, lease_s: float) -> float:
        """Note a lease that was asked for at a time; gives until when it may last."""
        until_s = sent_s + lease_s / (1 - SLOW_CLOCK_FRACTION) + _LEASE_MARGIN_S
        self.leased_until_s = max(self.leased_until_s, until_s)
        return until_s
