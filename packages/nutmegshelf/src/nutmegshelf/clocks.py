"""Follow the table's steady clock, by which entries compare times across processes."""


class TableClock:
    """Own the estimate of the table's clock.

    An answer that took long tells a time that has passed, so the estimate is never ahead.
    """

    def __init__(self) -> None:
        self._ahead_ms: float | None = None

    def update(self, told_ms: float, received_s: float) -> None:
        """Take the clock that an answer told, and when it came by the own clock."""
        ahead_ms = told_ms - received_s * 1000
        if self._ahead_ms is None or ahead_ms > self._ahead_ms:
            self._ahead_ms = ahead_ms

    def now_ms(self, now_s: float) -> float | None:
        """Give the table's clock now, or none before the first answer."""
        return None if self._ahead_ms is None else now_s * 1000 + self._ahead_ms
