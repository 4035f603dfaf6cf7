"""Orders to workers, and the workers' answers to polls and orders."""

import dataclasses
import enum
import typing

from nutmegshelf import fleetview, ids, jobs

# A worker refuses a start that reaches it later than this.
START_VALID_S = 2.5
# The same for long-running tasks, which are not stopped when their start gets no answer.
LONG_RUNNING_START_VALID_S = 1.5


class Refusal(enum.Enum):
    """The reason for which a worker refused a start."""

    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    BAD = "bad"


class PollResult(typing.NamedTuple):
    """A worker's answer to a poll: its start time, its clock, its running and its ended runs.

    It always lists all running ones, and is complete if it lists all unacknowledged ends.
    """

    born_ms: int
    clock_ms: int
    running: tuple[fleetview.ReportedRun, ...]
    ends: tuple[fleetview.RunEnd, ...]
    is_complete: bool


class StartAnswer(typing.NamedTuple):
    """A worker's answer to a start: its clock, and the reason if it refused."""

    clock_ms: int
    refusal: Refusal | None = None


class TicketGrant(typing.NamedTuple):
    """The tickets of the workers that may run a step, and their period of validity."""

    tickets: dict[ids.WorkerId, str]
    valid_s: float


class Outcome(enum.Enum):
    """The outcome of a start that another entry forwarded, with the refusals of the worker."""

    TAKEN = "taken"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    BAD = "bad"
    # The entry did not send it: its link is saturated, or it doesn't know the job or the worker.
    FULL = "full"
    UNKNOWN_SPEC = "unknown-spec"
    UNKNOWN_WORKER = "unknown-worker"
    # Certainly not executed by the worker.
    NOT_DONE = "not-done"
    # Sent without an answer, so the worker may have executed it.
    LOST = "lost"


class Route(typing.NamedTuple):
    """The entry that forwards a start, if any, and the bytes that it takes on the holder's link.

    The specification of the job is included if that entry doesn't have it yet. What the entry then
    sends to the worker has another size.
    """

    forwarder: ids.EntryId | None
    size_bytes: int
    includes_spec: bool = True
    forwarded_bytes: int = 0


_UNCOUNTED_ROUTE = Route(None, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """An order to start a run of a task at a worker."""

    incarnation: fleetview.Incarnation
    key: jobs.TaskKey
    run: int
    spec: str
    checkpoint: str
    ticket: str | None = None
    is_long_running: bool = False
    route: Route = _UNCOUNTED_ROUTE


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """An order to stop a run at a worker, which also bars starts of it that arrive later."""

    incarnation: fleetview.Incarnation
    task: str
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetPace:
    """An order to throttle a run to a share of its speed."""

    incarnation: fleetview.Incarnation
    task: str
    run: int
    percent: int


Order = StartRun | StopRun | SetPace

# Size of a call to a worker without the specification and the checkpoint.
CALL_BYTES = 350
# The same for one start within a call to another entry.
FORWARDED_START_BYTES = 120


def get_size_bytes(order: Order) -> int:
    """Return the approximate size of an order on the link."""
    match order:
        case StartRun():
            return CALL_BYTES + len(order.spec) + len(order.checkpoint)
        case _:
            return CALL_BYTES
