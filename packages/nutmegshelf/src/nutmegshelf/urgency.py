"""Order the jobs that wait for workers.

Load pattern: in a burst more jobs come than the workers can do in time. Jobs that are not late yet
go first, those that are due soonest before the others, and jobs that are late use what is left.
"""

import dataclasses
import enum
import functools

from nutmegshelf import registry

# A job that takes longer than this many times its objective is worth nothing to its caller.
_WORTHLESS_AT = 3.0


class Timeliness(enum.IntEnum):
    """Say whether a job can still be on time, in the order that jobs are served."""

    ON_TIME = 0
    LATE = 1
    EXPIRED = 2


@functools.total_ordering
@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """Hold what orders a job among others; the least goes first."""

    is_finite: bool
    priority: int
    timeliness: Timeliness
    slack_s: float

    def __lt__(self, other: "Urgency") -> bool:
        return self._key() < other._key()

    def _key(self) -> tuple[bool, int, Timeliness, float]:
        return self.is_finite, self.priority, self.timeliness, self.slack_s


def compute(record: registry.JobRecord, now_s: float) -> Urgency:
    """Give a job's urgency."""
    queue = record.job.queue
    objective_s = queue.stretch * record.critical_path_s + queue.target_latency_ms / 1000
    spare_s = record.accepted_s + objective_s - now_s
    if spare_s >= 0:
        hope = Timeliness.ON_TIME
    elif spare_s >= -(_WORTHLESS_AT - 1) * objective_s:
        hope = Timeliness.LATE
    else:
        hope = Timeliness.EXPIRED
    return Urgency(not record.job.is_long_running, queue.priority, hope, spare_s)
