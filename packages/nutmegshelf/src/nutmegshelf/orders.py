"""Type the orders to workers, and what workers answer to looks and orders."""

import dataclasses
import enum
import typing

from nutmegshelf import fleetview, ids, jobs

# A start that comes later than this is refused by the worker.
START_VALID_S = 2.5
# The same for tasks that last, which are not stopped when their start gets no answer.
LASTING_START_VALID_S = 1.5


class Refusal(enum.Enum):
    """Say why a worker turned a start away."""

    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    BAD = "bad"


class WorkerStatus(typing.NamedTuple):
    """Hold what a worker says of itself: its life, its clock, what runs and what ended."""

    born_ms: int
    clock_ms: int
    running: tuple[fleetview.ReportedRun, ...]
    ends: tuple[fleetview.RunEnd, ...]


class TicketGrant(typing.NamedTuple):
    """Hold the tickets of the workers that may run a step, and how long they are valid."""

    tickets: dict[ids.WorkerId, str]
    valid_s: float


class Outcome(enum.Enum):
    """Say what became of a start that another entry carried; refusals are those of the worker."""

    TAKEN = "taken"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    BAD = "bad"
    # The entry did not send it: its link is full, or it does not know the job or the worker.
    FULL = "full"
    UNKNOWN_SPEC = "unknown-spec"
    UNKNOWN_WORKER = "unknown-worker"
    # Surely not carried out by the worker.
    NOT_DONE = "not-done"
    # Without an answer, so that it may be carried out.
    LOST = "lost"


class Route(typing.NamedTuple):
    """Say which other entry carries a start, if any, and what it takes of the own link.

    That entry may have to be told the specification of the job, and sends more bytes onward.
    """

    forwarder: ids.EntryId | None
    size_bytes: int
    includes_spec: bool = True
    forwarded_bytes: int = 0


_UNCOUNTED = Route(None, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run of a task at a worker."""

    incarnation: fleetview.Incarnation
    key: jobs.TaskKey
    run: int
    spec: str
    checkpoint: str
    ticket: str | None = None
    is_long_running: bool = False
    route: Route = _UNCOUNTED


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run at a worker and bar any order to start it that is still under way."""

    incarnation: fleetview.Incarnation
    task: str
    run: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetPace:
    """Let a run work at a share of its speed."""

    incarnation: fleetview.Incarnation
    task: str
    run: int
    percent: int


Order = StartRun | StopRun | SetPace

# Head, names and numbers of a call to a worker.
CALL_BYTES = 350
# Names and numbers of a start within a call to another entry.
FORWARDED_START_BYTES = 120


def get_size_bytes(order: Order) -> int:
    """Give about how many bytes an order takes on the link."""
    match order:
        case StartRun():
            return CALL_BYTES + len(order.spec) + len(order.checkpoint)
        case _:
            return CALL_BYTES
