"""Record the decisions about pools, workers and tasks, with their reasons."""

import collections
import dataclasses
import enum

_MAX_DECISIONS = 1024


class Action(enum.Enum):
    """Kind of a decision; the list of kinds is closed."""

    TAKE_LEASE = "take-lease"
    LOSE_LEASE = "lose-lease"
    RELEASE_LEASE = "release-lease"
    DRAIN = "drain"
    REFUSE_DRAIN = "refuse-drain"
    RECALL = "recall"
    MOVE = "move"
    MAINTAIN = "maintain"
    MAINTENANCE_LATE = "maintenance-late"
    START = "start"
    PLACE = "place"
    PREEMPT = "preempt"
    PARK = "park"
    SET_APART = "set-apart"
    STOP = "stop"
    FORGET = "forget"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision about a pool, worker, task or job, with its reason."""

    name: str
    action: Action
    reason: str
    at_s: float


def create_log() -> collections.deque[Decision]:
    """Return an empty bounded log, which drops the oldest decisions."""
    return collections.deque(maxlen=_MAX_DECISIONS)
