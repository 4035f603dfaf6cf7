"""Graceful shutdown without lost requests: not ready, then refusing, then drained."""

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
    """Signal handlers of the process and the sequence of a graceful shutdown."""

    def __init__(self, grace_s: float, drain_timeout_s: float) -> None:
        self.is_stopping = False
        self._grace_s = grace_s
        self._drain_timeout_s = drain_timeout_s
        self._requested = asyncio.Event()
        self._grace_ended = asyncio.Event()

    def install_signal_handlers(self) -> None:
        """Handle SIGTERM and SIGINT: the first requests a stop, the second ends the grace."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request)

    def _request(self) -> None:
        if self._requested.is_set():
            self._grace_ended.set()
        self._requested.set()

    async def wait_requested(self) -> None:
        """Wait until a signal requests the stop of the process."""
        await self._requested.wait()

    async def run(
        self,
        servers: collections.abc.Sequence[server.Server],
        refuse: collections.abc.Callable[[], None],
        announce: Action,
        release_steps: collections.abc.Sequence[Action],
    ) -> None:
        """Serve during the grace period, then refuse new requests and drain those in progress."""
        self.is_stopping = True
        _log.info("Leaving.", in_progress=_in_progress(servers), grace_s=self._grace_s)
        for listener in servers:
            listener.disable_keep_alive()
        # Peers are notified at once; the write to the table may be slow, and the shutdown does not
        # wait for it.
        announcement = asyncio.ensure_future(_run_ignoring_table_errors(announce))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._grace_s):
                await self._grace_ended.wait()
        refuse()
        for listener in servers:
            listener.stop_listening()
        _log.info("Draining.", in_progress=_in_progress(servers))
        try:
            async with asyncio.timeout(self._drain_timeout_s):
                for listener in servers:
                    await listener.wait_idle()
        except TimeoutError:
            _log.warning(
                "Drain timed out with requests in progress.", in_progress=_in_progress(servers)
            )
        announcement.cancel()
        for step in release_steps:
            await _run_ignoring_table_errors(step)


async def cancel_all(tasks: collections.abc.Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks repeatedly until all have ended."""
    # A wait for a peer's message swallows a cancellation that coincides with the message's arrival,
    # so a single cancel() may not be enough.
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_CANCEL_INTERVAL_S)


async def _run_ignoring_table_errors(action: Action) -> None:
    with contextlib.suppress(exceptions.TableError):
        await action()


def _in_progress(servers: collections.abc.Sequence[server.Server]) -> int:
    return sum(listener.active_requests for listener in servers)
