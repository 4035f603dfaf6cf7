"""Estimate the monotonic clock of the table, which makes times comparable across processes."""


class TableClock:
    """An estimate of the table's clock.

    A response was made between the sending of its request and its arrival, so the estimate never
    runs ahead of a clock that is as fast as the local one, and of any other by a response at most.
    """

    def __init__(self) -> None:
        self._offset_ms: float | None = None

    def update(self, table_ms: float, sent_s: float, received_s: float) -> None:
        """Update the estimate from the table's time in a response and the local times around it."""
        offset_ms = table_ms - received_s * 1000
        if self._offset_ms is not None:
            offset_ms = max(offset_ms, self._offset_ms)
        # The table's clock may be slower than the local one, or may have started anew.
        self._offset_ms = min(offset_ms, table_ms - sent_s * 1000)

    def now_ms(self, now_s: float) -> float | None:
        """Return the estimated time of the table, or None before the first response."""
        return None if self._offset_ms is None else now_s * 1000 + self._offset_ms

    def to_local_s(self, table_ms: float) -> float | None:
        """Return the estimated local time at which the table's clock showed a time."""
        return None if self._offset_ms is None else (table_ms - self._offset_ms) / 1000
