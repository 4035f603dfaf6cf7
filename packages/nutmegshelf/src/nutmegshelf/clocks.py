"""Estimate the monotonic clock of the table, which makes times comparable across processes."""


class TableClock:
    """An estimate of the table's clock.

    The time in a response is in the past on arrival, so the estimate never runs ahead of the clock.
    """

    def __init__(self) -> None:
        self._offset_ms: float | None = None

    def update(self, table_ms: float, received_s: float) -> None:
        """Update the estimate from the table's time in a response and its local arrival time."""
        offset_ms = table_ms - received_s * 1000
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def now_ms(self, now_s: float) -> float | None:
        """Return the estimated time of the table, or None before the first response."""
        return None if self._offset_ms is None else now_s * 1000 + self._offset_ms
