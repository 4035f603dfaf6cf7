"""Limit how long a call waits by how long its like took, as TCP does (RFC 6298).

Load pattern: answers take milliseconds, and now and then one is lost. A fixed limit that suits slow
days makes each lost answer cost a second on all others.
"""

# Weights of the newest answer in the mean and in the deviation, and how many deviations a call may
# take beyond the mean: the values of RFC 6298, section 2.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4
# A limit that expired is doubled until a call is answered again.
_BACKOFF = 2.0


class AdaptiveTimeout:
    """Own the limit for calls of one kind, between two bounds."""

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._backoff = 1.0

    @property
    def timeout_s(self) -> float:
        """Give the limit for the next call; the upper bound until an answer came."""
        if self._mean_s is None:
            return self._most_s
        found_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(self._most_s, max(self._least_s, found_s) * self._backoff)

    def record_answer(self, took_s: float) -> None:
        """Take the time of a call that was answered."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = took_s, took_s / 2
        else:
            off_s = abs(self._mean_s - took_s)
            self._deviation_s += _DEVIATION_WEIGHT * (off_s - self._deviation_s)
            self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Note that a call was given up at the limit."""
        self._backoff *= _BACKOFF
