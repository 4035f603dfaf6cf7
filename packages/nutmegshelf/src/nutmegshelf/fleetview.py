"""Model the scheduler's view of workers: their resources, their tasks and their reports."""

import collections
import dataclasses
import enum
import typing

from nutmegshelf import ids, jobs

# A worker's clock may run slow by this fraction, so its lease may last longer than requested.
SLOW_CLOCK_FRACTION = 0.02
_LEASE_MARGIN_S = 0.1
# A clock is read in whole milliseconds, and loop times are taken a little before and after a call.
_CLOCK_TOLERANCE_MS = 20.0
# A worker that refused a start for lack of resources gets no starts for this time, in which it
# reports again.
_REFUSAL_PAUSE_S = 0.3


class Incarnation(typing.NamedTuple):
    """Identify one incarnation of a worker; after a restart the same id holds no tasks."""

    worker: ids.WorkerId
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """The fleet list's entry for one incarnation of a worker."""

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
    """The state of a task as far as the scheduler knows it."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "unsure"
    STOPPING = "stopping"
    RECOVERING = "adrift"
    DONE = "done"


class Unavailability(enum.Enum):
    """The reason that a worker gets no new tasks."""

    NOT_POLLED = "not asked yet"
    NOT_RECORDED = "not stored as used yet"
    DRAINING = "drains or is not listed"
    RECLAIMED = "its host is asked for"
    UNRESPONSIVE = "does not answer"
    UNANSWERED = "left a start without an answer"
    QUARANTINED = "failed what it started"
    FULL = "refused a start for want of room"
    UNKNOWN_RUNS = "runs what it has been told to stop"
    REPORT_INCOMPLETE = "has ends that are not read yet"
    HOST_TAKEN = "its host or id has another worker"


class LossCause(enum.Enum):
    """The reason that the runs of a worker were released before they reported an end."""

    RESTARTED = "another worker answers at its host or under its id"
    LEASE_EXPIRED = "its lease expired"
    HOST_LEFT = "its host left the pool or runs another worker"


class LeaseCall(enum.Enum):
    """The kinds of calls that ask a worker for a lease."""

    POLL = "poll"
    START = "start"


PLACED_PHASES = frozenset({Phase.STARTING, Phase.RUNNING, Phase.UNCONFIRMED, Phase.STOPPING})


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """A task of a job, with its current run if it has one."""

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
    # A worker does not carry out an unanswered start after this time.
    may_start_until_s: float = 0.0
    # Whether the start of the run has left for its worker, and the fencing token that it carries.
    is_sent: bool = False
    fencing_token: int = 0
    # Whether this incarnation of the worker has reported the run, or accepted its start.
    is_confirmed: bool = False
    # A worker report sent after the run began did not list it.
    is_missing: bool = False
    # The run has ended, but how is not among the ends that its worker has listed so far.
    is_end_unread: bool = False
    # Another run of the same task, where its step is speculative.
    duplicate: "Task | None" = None
    # How long the task waited for its eviction from the last host.
    eviction_wait_s: float = 0.0
    # The highest run number assigned to the task so far.
    highest_run: int = 0
    # The crashes of workers under the task, if any.
    crashes: jobs.CrashHistory | None = None
    # The task starts again only once this change of its job is stored.
    start_after_change: int = 0


class ReportedRun(typing.NamedTuple):
    """A run that a worker reports as running."""

    task: str
    run: int
    checkpoint: str
    percent: int
    tail_latency_ms: float


class RunOutcome(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunEnd(typing.NamedTuple):
    """The end of one run, numbered within an incarnation of its worker."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a status poll, with the times of the call."""

    incarnation: Incarnation
    clock_ms: int
    sent_s: float
    received_s: float
    running: tuple[ReportedRun, ...]
    ends: tuple[RunEnd, ...]
    # Whether no end was left out; the rest is listed once these ends are acknowledged.
    is_complete: bool = True
    # The token of the poll: a start with a lower one that is not listed is never carried out.
    fencing_token: int = 0


def get_max_duration_s(lease_s: float) -> float:
    """Return how long a lease of a duration by a worker's clock may last."""
    return lease_s / (1 - SLOW_CLOCK_FRACTION) + _LEASE_MARGIN_S


@dataclasses.dataclass(slots=True)
class Resources:
    """An amount of cores, memory and accelerators."""

    cpu_millis: int
    memory_mb: int
    accelerators: int

    def add(self, step: jobs.Step, sign: int) -> None:
        """Add the resources of a task, or subtract them for a sign of -1."""
        if not step.fills:
            self.cpu_millis += sign * step.cpu_millis
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators

    @property
    def is_overcommitted(self) -> bool:
        """Return whether less than nothing is free, as after a capacity has shrunk."""
        return min(self.cpu_millis, self.memory_mb, self.accelerators) < 0

    def fits(self, step: jobs.Step) -> bool:
        """Return whether a task of a step fits into these resources."""
        return (
            (step.fills or step.cpu_millis <= self.cpu_millis)
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
        )


def compute_dominant_share(used: Resources, facts: WorkerFacts) -> float:
    """Return the used share of a worker's most heavily used resource."""
    pairs = (
        (used.cpu_millis, facts.cpu_millis),
        (used.memory_mb, facts.memory_mb),
        (used.accelerators, facts.accelerators),
    )
    return max((amount / size for amount, size in pairs if size > 0), default=0.0)


class LeaseRequest(typing.NamedTuple):
    """A call that asked for a lease: when it was sent, and until when the lease was to last."""

    call: LeaseCall
    sent_s: float
    until_s: float


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a worker, with its tasks, free resources and lease."""

    facts: WorkerFacts
    # The token of all calls to the worker from now on.
    fencing_token: int = 0
    is_listed: bool = True
    is_closed: bool = False
    is_polled: bool = False
    # Whether the last report listed all ends that were not acknowledged.
    is_report_complete: bool = True
    tasks: dict[jobs.TaskKey, Task] = dataclasses.field(default_factory=dict)
    free: Resources = dataclasses.field(init=False)
    leased_until_s: float = 0.0
    # The last call that asked for a lease.
    lease_request: LeaseRequest | None = None
    # When the worker was first listed.
    added_s: float = 0.0
    heard_s: float = 0.0
    # When the last poll with an answer was sent.
    poll_sent_s: float = 0.0
    # When the worker first answered as the incarnation that its entry names. Its host and its
    # address are settled by that.
    identified_s: float | None = None
    # The address of an earlier entry, in case that the present one is false.
    other_address: str = ""
    unresponsive_since_s: float | None = None
    # Whether no worker under this id listens at the address, by the last poll without an answer.
    is_absent: bool = False
    # When a start last turned out to have no answer, until a later poll is answered.
    unanswered_since_s: float | None = None
    last_end: int = 0
    unpersisted_ends: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    unknown_runs: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    # Stops sent that are neither answered nor abandoned, with the time each was decided.
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
    # Whether the worker is reserved for the trial of a suspected task.
    is_in_trial: bool = False

    def __post_init__(self) -> None:
        self.free = Resources(self.facts.cpu_millis, self.facts.memory_mb, self.facts.accelerators)

    def update_facts(self, facts: WorkerFacts) -> bool:
        """Apply the list's newer entry; return whether the capacity has shrunk.

        What is free may become negative, as the tasks on the worker stay.
        """
        previous, self.facts = self.facts, facts
        if facts.address != previous.address:
            self.other_address = previous.address
        changes = (
            facts.cpu_millis - previous.cpu_millis,
            facts.memory_mb - previous.memory_mb,
            facts.accelerators - previous.accelerators,
        )
        self.free.cpu_millis += changes[0]
        self.free.memory_mb += changes[1]
        self.free.accelerators += changes[2]
        return min(changes) < 0

    def set_address(self, address: str) -> None:
        """Call the worker at another address."""
        if address != self.facts.address:
            self.other_address = self.facts.address
            self.facts = dataclasses.replace(self.facts, address=address)

    def is_contradicted_by(self, facts: WorkerFacts) -> bool:
        """Return whether an entry gives another place for a worker than its answers proved."""
        return self.identified_s is not None and (facts.host, facts.address) != (
            self.facts.host,
            self.facts.address,
        )

    def add_task(self, task: Task) -> None:
        """Add a task and allocate its resources."""
        if task.key in self.tasks:
            return
        self.tasks[task.key] = task
        self.free.add(task.step, -1)

    def remove_task(self, task: Task, now_s: float) -> None:
        """Remove a task and release its resources."""
        if self.tasks.pop(task.key, None) is not None:
            self.free.add(task.step, 1)
            if not self.tasks:
                self.idle_since_s = now_s

    @property
    def is_in_doubt(self) -> bool:
        """Return whether a call without an answer may have met a later incarnation."""
        return self.unresponsive_since_s is not None or self.unanswered_since_s is not None

    @property
    def is_accounted_for(self) -> bool:
        """Return whether the worker has reported all that runs or has ended there."""
        return self.is_polled and self.is_report_complete

    @property
    def is_occupied(self) -> bool:
        """Return whether something runs on the worker, or has ended there in a way yet unread."""
        return bool(self.tasks or self.unknown_runs) or not self.is_report_complete

    @property
    def long_running_count(self) -> int:
        """Return the number of long-running tasks on the worker."""
        return sum(task.step.long_running for task in self.tasks.values())

    def get_room_beside_long_running(self) -> Resources:
        """Return what is free once all tasks but the long-running ones have ended."""
        free = Resources(self.facts.cpu_millis, self.facts.memory_mb, self.facts.accelerators)
        for task in self.tasks.values():
            if task.step.long_running:
                free.add(task.step, -1)
        return free

    def fits(self, step: jobs.Step) -> bool:
        """Return whether a task of a step fits beside the current tasks."""
        return self.free.fits(step)

    def fits_when_empty(self, step: jobs.Step) -> bool:
        """Return whether a task of a step fits while no other task runs on the worker."""
        return (
            step.cpu_millis <= self.facts.cpu_millis
            and step.memory_mb <= self.facts.memory_mb
            and step.accelerators <= self.facts.accelerators
            and (not step.label or step.label in self.facts.labels)
        )

    def get_pause_reason(self, now_s: float) -> Unavailability | None:
        """Return why an open worker gets no new tasks for a while, or None."""
        if self.unresponsive_since_s is not None:
            return Unavailability.UNRESPONSIVE
        if self.unanswered_since_s is not None:
            return Unavailability.UNANSWERED
        if now_s < self.quarantined_until_s:
            return Unavailability.QUARANTINED
        if self.unknown_runs:
            # They take room until they have ended, and it is not known how much.
            return Unavailability.UNKNOWN_RUNS
        if not self.is_report_complete:
            # More starts would add to the ends that it has to keep.
            return Unavailability.REPORT_INCOMPLETE
        return Unavailability.FULL if now_s < self.start_refused_s + _REFUSAL_PAUSE_S else None

    def extend_lease(self, sent_s: float, lease_s: float, call: LeaseCall) -> float:
        """Record a lease requested at a time; return the latest time that it may last until."""
        until_s = sent_s + get_max_duration_s(lease_s)
        self.leased_until_s = max(self.leased_until_s, until_s)
        self.lease_request = LeaseRequest(call, sent_s, until_s)
        return until_s

    def inherit_lease_request(self, former: "Worker") -> None:
        """Record the calls to a former incarnation, which may extend the lease of this one."""
        request = former.lease_request
        if request is not None and (
            self.lease_request is None or self.lease_request.sent_s < request.sent_s
        ):
            self.lease_request = request

    def is_clock_plausible(self, clock_ms: int, sent_s: float) -> bool:
        """Return whether a clock in the answer to a call can be that of this incarnation.

        The clock of a later incarnation starts anew, so it is behind.
        """
        if self.clock_offset_ms is None:
            return True
        drift_ms = max(0.0, sent_s - self.clock_read_s) * 1000 * SLOW_CLOCK_FRACTION
        expected_ms = sent_s * 1000 + self.clock_offset_ms
        return clock_ms >= expected_ms - drift_ms - _CLOCK_TOLERANCE_MS
