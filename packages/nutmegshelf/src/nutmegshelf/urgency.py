"""Order the jobs that wait for workers.

Load pattern: in a burst more jobs arrive than the workers can finish in time. Ordered by due time
alone, jobs that have already waited too long go first and make the next ones late as well. So jobs
that can still end in time go first, the earliest due first, then those that end late but are of
use, and those past their use take the remaining capacity.
"""

import dataclasses
import enum
import functools

from nutmegshelf import estimates, registry

# A result that takes longer than this many times the objective is of no use to the caller.
_EXPIRED_FACTOR = 3.0


class Timeliness(enum.IntEnum):
    """Whether a job can still end in time, in the order in which jobs are served."""

    ON_TIME = 0
    AT_RISK = 1
    LATE = 2
    EXPIRED = 3


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


def compute(
    record: registry.JobRecord, run_estimates: estimates.Estimates, now_s: float
) -> Urgency:
    """Return a job's urgency at a time."""
    queue = record.job.queue
    objective_s = queue.stretch * record.critical_path_s + queue.target_latency_ms / 1000
    slack_s = record.accepted_s + objective_s - now_s
    timeliness = classify(record, run_estimates, now_s)
    return Urgency(not record.job.is_long_running, queue.priority, timeliness, slack_s)


def classify(
    record: registry.JobRecord, run_estimates: estimates.Estimates, now_s: float
) -> Timeliness:
    """Return whether a job that runs without further waiting ends in time.

    The objective grows with the real length of the critical path, so a job that takes longer than
    estimated may wait for longer. A job is at risk if it ends in time only should it take much
    longer than estimated, compared with other jobs of its queue.
    """
    queue = record.job.queue
    target_s, age_s = queue.target_latency_ms / 1000, now_s - record.accepted_s
    if age_s <= target_s:
        return Timeliness.ON_TIME
    path_s, ratios = record.critical_path_s, run_estimates.get_ratio_range(queue.name)
    low, high = ratios or (1.0, 1.0)
    remaining_s = 0.0
    if ratios is not None:
        # The walk over the remaining steps is spared where its result makes no difference.
        if age_s <= target_s + low * (queue.stretch - 1) * path_s:
            return Timeliness.ON_TIME
        if age_s > _EXPIRED_FACTOR * (target_s + high * queue.stretch * path_s):
            return Timeliness.EXPIRED
        remaining_s = record.get_remaining_path_s()
    spare_s = queue.stretch * path_s - remaining_s
    if age_s <= target_s + low * spare_s:
        return Timeliness.ON_TIME
    if age_s <= target_s + high * spare_s:
        return Timeliness.AT_RISK
    expires_s = _EXPIRED_FACTOR * target_s + high * (
        _EXPIRED_FACTOR * queue.stretch * path_s - remaining_s
    )
    return Timeliness.LATE if age_s <= expires_s else Timeliness.EXPIRED
