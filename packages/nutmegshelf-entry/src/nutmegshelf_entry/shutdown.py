"""Stop an entry in steps that lose no request: not ready, then refusing, then drained."""

import asyncio
import collections.abc
import contextlib
import signal

from nutmegshelf import exceptions
from nutmegshelf_http import server

from nutmegshelf_entry import logs

_CANCEL_INTERVAL_S = 0.5
_log = logs.get_logger("shutdown")

Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Shutdown:
    """Own the signals of the process and the order of a graceful stop."""

    def __init__(self, grace_s: float, drain_timeout_s: float) -> None:
        self.is_stopping = False
        self._grace_s = grace_s
        self._drain_timeout_s = drain_timeout_s
        self._asked = asyncio.Event()
        self._hurried = asyncio.Event()

    def install_signal_handlers(self) -> None:
        """Take SIGTERM and SIGINT: the first asks for a stop, the second ends the grace."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ask)

    def _ask(self) -> None:
        if self._asked.is_set():
            self._hurried.set()
        self._asked.set()

    async def wait_requested(self) -> None:
        """Wait until the process is asked to stop."""
        await self._asked.wait()

    async def run(
        self,
        servers: collections.abc.Sequence[server.Server],
        refuse: collections.abc.Callable[[], None],
        tell: Action,
        hand_over: collections.abc.Sequence[Action],
    ) -> None:
        """Serve on while the balancer still sends, then refuse, then finish what runs."""
        self.is_stopping = True
        _log.info("Leaving.", in_progress=_in_progress(servers), grace_s=self._grace_s)
        for one in servers:
            one.disable_keep_alive()
        # Peers hear it at once; the table may take its time, and the stop doesn't wait for it.
        telling = asyncio.ensure_future(_try(tell))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._grace_s):
                await self._hurried.wait()
        refuse()
        for one in servers:
            one.stop_listening()
        _log.info("Draining.", in_progress=_in_progress(servers))
        try:
            async with asyncio.timeout(self._drain_timeout_s):
                for one in servers:
                    await one.wait_idle()
        except TimeoutError:
            _log.warning("Reached the drain's limit.", in_progress=_in_progress(servers))
        telling.cancel()
        for step in hand_over:
            await _try(step)


async def cancel_all(tasks: collections.abc.Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks until all have ended."""
    # A wait for a peer's message swallows a cancellation that comes with the message.
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_INTERVAL_S)


async def _try(step: Action) -> None:
    with contextlib.suppress(exceptions.TableError):
        await step()


def _in_progress(servers: collections.abc.Sequence[server.Server]) -> int:
    return sum(one.active_requests for one in servers)
