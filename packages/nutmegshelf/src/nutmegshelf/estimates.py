"""Learn the ratio of actual to estimated run times of each queue's tasks."""

import dataclasses

from nutmegshelf import ids

# Weight of the prior ratio of 1, in seconds of observed work.
_PRIOR_S = 10.0
_DECAY = 0.995


@dataclasses.dataclass(slots=True)
class _Sums:
    estimated_s: float = _PRIOR_S
    actual_s: float = _PRIOR_S


class Estimates:
    """The ratios of actual to estimated run time by queue."""

    def __init__(self) -> None:
        self._by_queue: dict[ids.QueueName, _Sums] = {}

    def record(self, queue: ids.QueueName, estimated_s: float, actual_s: float) -> None:
        """Add the estimated and the actual run time of a finished task."""
        sums = self._by_queue.setdefault(queue, _Sums())
        sums.estimated_s = sums.estimated_s * _DECAY + estimated_s
        sums.actual_s = sums.actual_s * _DECAY + actual_s

    def get_expected_s(self, queue: ids.QueueName, estimate_ms: int) -> float:
        """Return the expected run time of a task of a queue with an estimate."""
        return estimate_ms / 1000 * self.get_ratio(queue)

    def get_ratio(self, queue: ids.QueueName) -> float:
        """Return the factor by which estimates of a queue are corrected."""
        sums = self._by_queue.get(queue)
        return sums.actual_s / sums.estimated_s if sums else 1.0
