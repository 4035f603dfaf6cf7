"""Record what was decided about the fleet, and why."""

import collections
import dataclasses
import enum

_KEPT = 1024


class Action(enum.Enum):
    """Close the list of what the fleet's decisions do."""

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
    """Say what was done to a pool, worker or job, and why."""

    name: str
    action: Action
    reason: str
    at_s: float


def create_log() -> collections.deque[Decision]:
    """Make a bounded list of the last decisions."""
    return collections.deque(maxlen=_KEPT)
