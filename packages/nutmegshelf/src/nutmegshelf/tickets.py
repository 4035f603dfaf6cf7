"""Type what is asked of a dispatcher and what it decides."""

import dataclasses

from nutmegshelf import declarations, exceptions, ids, platform


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for a slot."""

    request: ids.RequestId
    request_class: declarations.RequestClass
    deadline_s: float
    avoid: frozenset[ids.MinionId] = frozenset()
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Give a request a slot at a minion."""

    request: ids.RequestId
    minion: platform.MinionRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request that did not start."""

    request: ids.RequestId
    kind: exceptions.ErrorKind
    retry_after_s: float


Decision = Grant | Refusal
