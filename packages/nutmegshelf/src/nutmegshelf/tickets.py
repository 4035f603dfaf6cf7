"""Define a dispatcher's input, a request for a slot, and its decisions."""

import dataclasses

from nutmegshelf import declarations, exceptions, ids, platform


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Request for a slot at a minion."""

    request: ids.RequestId
    request_class: declarations.RequestClass
    deadline_s: float
    avoid: frozenset[ids.MinionId] = frozenset()
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Decision that a request gets a slot at a minion."""

    request: ids.RequestId
    minion: platform.MinionRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Decision that a request is refused before it has started."""

    request: ids.RequestId
    kind: exceptions.ErrorKind
    retry_after_s: float


Decision = Grant | Refusal
