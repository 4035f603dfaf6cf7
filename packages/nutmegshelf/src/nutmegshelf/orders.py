"""Type what a worker answers to looks and orders."""

import enum
import typing

from nutmegshelf import fleetview, ids


class Refusal(enum.Enum):
    """Say why a worker turned a start away."""

    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    BAD = "bad"


class Looked(typing.NamedTuple):
    """Hold what a worker says of itself: its life, its clock, what runs and what ended."""

    born_ms: int
    clock_ms: int
    running: tuple[fleetview.Listed, ...]
    ends: tuple[fleetview.End, ...]


class Advised(typing.NamedTuple):
    """Hold the tickets of the workers that may run a step, and how long they are valid."""

    tickets: dict[ids.WorkerId, str]
    valid_s: float
