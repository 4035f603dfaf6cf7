"""Learn how far the estimates of each queue's jobs are off."""

import dataclasses

from nutmegshelf import ids

# The declared estimates count as much as this many seconds of observed work.
_PRIOR_S = 10.0
_FADING = 0.995


@dataclasses.dataclass(slots=True)
class _Sums:
    estimated_s: float = _PRIOR_S
    actual_s: float = _PRIOR_S


class Estimates:
    """Own the ratio of actual to estimated time by queue."""

    def __init__(self) -> None:
        self._by_queue: dict[ids.QueueName, _Sums] = {}

    def record(self, queue: ids.QueueName, estimated_s: float, actual_s: float) -> None:
        """Take the time that a finished task took."""
        sums = self._by_queue.setdefault(queue, _Sums())
        sums.estimated_s = sums.estimated_s * _FADING + estimated_s
        sums.actual_s = sums.actual_s * _FADING + actual_s

    def get_expected_s(self, queue: ids.QueueName, estimate_ms: int) -> float:
        """Give how long a task of a queue with an estimate is expected to take."""
        return estimate_ms / 1000 * self.get_ratio(queue)

    def get_ratio(self, queue: ids.QueueName) -> float:
        """Give by how much the estimates of a queue are to be multiplied."""
        sums = self._by_queue.get(queue)
        return sums.actual_s / sums.estimated_s if sums else 1.0
