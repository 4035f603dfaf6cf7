"""Run coroutines with a paused clock that jumps to the next timer."""

import asyncio
import selectors
import typing

T = typing.TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """Advance the clock in place of waiting; for fakes only, as no socket is waited for."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Give what is ready now, or move the clock to the next timer."""
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now_s += timeout
        return ready


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Be an event loop whose time moves only when every task waits."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Give the paused clock's time."""
        return self._jumping.now_s


def run(main: typing.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine to its end on a paused clock."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        return runner.run(main)
