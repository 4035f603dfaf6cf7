"""An event loop in simulated time that skips to the next timer instead of waiting."""

import asyncio
import selectors
import typing

T = typing.TypeVar("T")


class _SimulatedTimeSelector(selectors.DefaultSelector):
    """A selector that advances the simulated time instead of waiting; never waits for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events that are ready, or advance the time to the next timer."""
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: every task is waiting and no timer is scheduled")
        self.now_s += timeout
        return ready


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while every task is waiting."""

    def __init__(self) -> None:
        self._simulated_selector = _SimulatedTimeSelector()
        super().__init__(self._simulated_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._simulated_selector.now_s

    def block(self, duration_s: float) -> None:
        """Advance the time within the present turn, as a callback does that takes long."""
        self._simulated_selector.now_s += duration_s


def run(main: typing.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine to completion in simulated time."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        return runner.run(main)
