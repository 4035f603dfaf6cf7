"""Order the jobs that wait for workers.

Load pattern: in a burst more jobs arrive than the workers can finish in time. Jobs that can still
be on time go first, the earliest due first, and late jobs use the remaining capacity.
"""

import dataclasses
import enum
import functools

from nutmegshelf import registry

# A result that takes longer than this many times the objective is of no use to the caller.
_EXPIRED_FACTOR = 3.0


class Timeliness(enum.IntEnum):
    """Whether a job can still be on time, in the order in which jobs are served."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


@functools.total_ordering
@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """The sort key of a waiting job; the least goes first."""

    is_finite: bool
    priority: int
    timeliness: Timeliness
    slack_s: float

    def __lt__(self, other: "Urgency") -> bool:
        return self._key() < other._key()

    def _key(self) -> tuple[bool, int, Timeliness, float]:
        return self.is_finite, self.priority, self.timeliness, self.slack_s


def compute(record: registry.JobRecord, now_s: float) -> Urgency:
    """Return a job's urgency at a time."""
    queue = record.job.queue
    objective_s = queue.stretch * record.critical_path_s + queue.target_latency_ms / 1000
    slack_s = record.accepted_s + objective_s - now_s
    if slack_s >= 0:
        timeliness = Timeliness.ON_TIME
    elif slack_s >= -(_EXPIRED_FACTOR - 1) * objective_s:
        timeliness = Timeliness.LATE
    else:
        timeliness = Timeliness.EXPIRED
    return Urgency(not record.job.is_long_running, queue.priority, timeliness, slack_s)
