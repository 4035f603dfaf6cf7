"""Learn the ratio of actual to estimated run times of each queue's tasks."""

import collections
import dataclasses
import statistics

from nutmegshelf import ids

# Weight of the prior ratio of 1, in seconds of observed work.
_PRIOR_S = 10.0
_DECAY = 0.995
# The most recent ratios kept by queue, and how many have to be known before any is assumed.
_MAX_RATIOS = 200
_MIN_RATIOS = 20
# Number of new ratios after which their range is computed again.
_REFRESH_INTERVAL = 20
# The lowest and the highest of this many equal parts of the ratios lie outside the usual range.
_QUANTILE_PARTS = 5


@dataclasses.dataclass(slots=True)
class _Sums:
    estimated_s: float = _PRIOR_S
    actual_s: float = _PRIOR_S
    ratios: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_RATIOS)
    )
    new_ratios: int = 0
    ratio_range: tuple[float, float] | None = None

    def refresh(self) -> None:
        if len(self.ratios) >= _MIN_RATIOS:
            quantiles = statistics.quantiles(self.ratios, n=_QUANTILE_PARTS)
            self.ratio_range = quantiles[0], quantiles[-1]
            self.new_ratios = 0


class Estimates:
    """The ratios of actual to estimated run time by queue."""

    def __init__(self) -> None:
        self._by_queue: dict[ids.QueueName, _Sums] = {}

    def record(self, queue: ids.QueueName, estimated_s: float, actual_s: float) -> None:
        """Add the estimated and the actual run time of a finished task."""
        sums = self._by_queue.setdefault(queue, _Sums())
        sums.estimated_s = sums.estimated_s * _DECAY + estimated_s
        sums.actual_s = sums.actual_s * _DECAY + actual_s
        sums.ratios.append(actual_s / estimated_s)
        sums.new_ratios += 1
        if sums.new_ratios >= _REFRESH_INTERVAL:
            sums.refresh()

    def get_expected_s(self, queue: ids.QueueName, estimate_ms: int) -> float:
        """Return the expected run time of a task of a queue with an estimate."""
        return estimate_ms / 1000 * self.get_ratio(queue)

    def get_ratio(self, queue: ids.QueueName) -> float:
        """Return the factor by which estimates of a queue are corrected."""
        sums = self._by_queue.get(queue)
        return sums.actual_s / sums.estimated_s if sums else 1.0

    def get_ratio_range(self, queue: ids.QueueName) -> tuple[float, float] | None:
        """Return the usual range of a queue's ratios, or None if too few tasks ended."""
        sums = self._by_queue.get(queue)
        return sums.ratio_range if sums else None
