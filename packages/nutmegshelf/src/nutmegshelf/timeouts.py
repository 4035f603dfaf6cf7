"""Adapt the time-out of calls to their measured latency, as TCP does (RFC 6298).

Answers usually take milliseconds, and now and then one is lost. A fixed time-out long enough for
slow periods would make each lost answer cost a second at all other times.
"""

# The weights of a sample in the mean and the deviation, and the deviations that a call may take
# beyond the mean, are those of RFC 6298, section 2.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4
# The time-out is doubled each time it expires, until a call is answered again.
_BACKOFF = 2.0


class AdaptiveTimeout:
    """The time-out for calls of one kind, between two bounds."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._backoff = 1.0

    @property
    def timeout_s(self) -> float:
        """Return the time-out for the next call; the upper bound until an answer came."""
        if self._mean_s is None:
            return self._max_s
        estimate_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(self._max_s, max(self._min_s, estimate_s) * self._backoff)

    def record_answer(self, latency_s: float) -> None:
        """Record the latency of an answered call."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = latency_s, latency_s / 2
        else:
            error_s = abs(self._mean_s - latency_s)
            self._deviation_s += _DEVIATION_WEIGHT * (error_s - self._deviation_s)
            self._mean_s += _MEAN_WEIGHT * (latency_s - self._mean_s)
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Record that a call timed out."""
        self._backoff *= _BACKOFF
