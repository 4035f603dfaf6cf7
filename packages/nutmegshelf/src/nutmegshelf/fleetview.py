"""Keep what is believed of workers: their shape, their room and what runs there."""

import collections
import dataclasses
import enum
import typing

from nutmegshelf import ids, jobs

# Workers' clocks may be this much slow, so their leases may last longer than was asked.
SLOW_CLOCK_FRACTION = 0.02
_LEASE_MARGIN_S = 0.1


class Life(typing.NamedTuple):
    """Name one life of a worker; the same id may start anew and then holds nothing."""

    worker: ids.WorkerId
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Hold what the fleet's list says of one life of a worker."""

    life: Life
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
    UNSURE = "unsure"
    STOPPING = "stopping"
    ADRIFT = "adrift"
    DONE = "done"


class Closure(enum.Enum):
    """Say why a worker gets no new tasks."""

    NOT_ASKED = "not asked yet"
    LEAVING = "drains or is not listed"
    CLEARED = "its host is asked for"
    SILENT = "does not answer"
    SHUNNED = "failed what it started"
    FULL = "refused a start for want of room"


PLACED = frozenset({Phase.STARTING, Phase.RUNNING, Phase.UNSURE, Phase.STOPPING})


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Hold what is believed of one task."""

    key: jobs.TaskKey
    step: jobs.Step
    phase: Phase = Phase.WAITING
    life: Life | None = None
    run: int = 0
    since_s: float = 0.0
    sent_s: float = 0.0
    saved: str = ""
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    percent: int = 0
    figure: float = 0.0
    pace_percent: int = 100
    stop_sent_s: float | None = None
    stops_sent: int = 0
    stop_acked_s: float | None = None
    # A start without an answer is not carried out after this time.
    may_start_until_s: float = 0.0
    # A look after that did not list the run.
    is_missing: bool = False
    # Another run of the same task, where its step is speculative.
    twin: "Task | None" = None
    # For how long it was to leave a host before it did.
    waited_to_leave_s: float = 0.0
    # The highest number that a run of the task was given.
    top_run: int = 0


class Listed(typing.NamedTuple):
    """Hold what a worker says of one task that runs there."""

    task: str
    run: int
    saved: str
    percent: int
    figure: float


class How(enum.Enum):
    """Say how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class End(typing.NamedTuple):
    """Hold the end of one run, numbered within a life of its worker."""

    number: int
    task: str
    run: int
    how: How
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold one answer of a worker to a look; the times are those of the call."""

    life: Life
    clock_ms: int
    sent_s: float
    received_s: float
    running: tuple[Listed, ...]
    ends: tuple[End, ...]


@dataclasses.dataclass(slots=True)
class Room:
    """Count what is free at a worker."""

    cpu_millis: int
    memory_mb: int
    accelerators: int

    def count(self, step: jobs.Step, sign: int) -> None:
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


def largest_share(taken: Room, facts: WorkerFacts) -> float:
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
    is_asked: bool = False
    tasks: dict[jobs.TaskKey, Task] = dataclasses.field(default_factory=dict)
    free: Room = dataclasses.field(init=False)
    leased_until_s: float = 0.0
    heard_s: float = 0.0
    unheard_since_s: float | None = None
    last_end: int = 0
    unstored_ends: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    strays: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    # Runs whose stop was sent and neither answered nor given up, with the time of its choice.
    stops_under_way: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    failures_in_row: int = 0
    failed_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    shunned_until_s: float = 0.0
    room_refused_s: float = -1.0
    clock_ahead_ms: float | None = None
    clock_read_s: float = 0.0
    idle_since_s: float = 0.0
    paced_s: float = 0.0
    drain_told_s: float | None = None

    def __post_init__(self) -> None:
        self.free = Room(self.facts.cpu_millis, self.facts.memory_mb, self.facts.accelerators)

    def occupy(self, task: Task) -> None:
        """Count a task's room."""
        if task.key in self.tasks:
            return
        self.tasks[task.key] = task
        self.free.count(task.step, -1)

    def vacate(self, task: Task, now_s: float) -> None:
        """Give a task's room back."""
        if self.tasks.pop(task.key, None) is not None:
            self.free.count(task.step, 1)
            if not self.tasks:
                self.idle_since_s = now_s

    @property
    def lasting(self) -> int:
        """Count the tasks here that last."""
        return sum(task.step.lasting for task in self.tasks.values())

    def room_beside_lasting(self) -> Room:
        """Give what is free once the tasks that end by themselves are gone."""
        room = Room(self.facts.cpu_millis, self.facts.memory_mb, self.facts.accelerators)
        for task in self.tasks.values():
            if task.step.lasting:
                room.count(task.step, -1)
        return room

    def fits(self, step: jobs.Step) -> bool:
        """Say whether a task of a step fits beside what runs here."""
        return self.free.fits(step)

    def could_fit(self, step: jobs.Step) -> bool:
        """Say whether a task of a step fits while nothing else runs here."""
        return (
            step.cpu_millis <= self.facts.cpu_millis
            and step.memory_mb <= self.facts.memory_mb
            and step.accelerators <= self.facts.accelerators
            and (not step.label or step.label in self.facts.labels)
        )

    def note_lease(self, sent_s: float, lease_s: float) -> float:
        """Note a lease that was asked for at a time; gives until when it may last."""
        until_s = sent_s + lease_s / (1 - SLOW_CLOCK_FRACTION) + _LEASE_MARGIN_S
        self.leased_until_s = max(self.leased_until_s, until_s)
        return until_s
