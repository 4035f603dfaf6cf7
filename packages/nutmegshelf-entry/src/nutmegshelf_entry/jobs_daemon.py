"""Serve the job service of one entry on its sockets, and stop it gracefully."""

import asyncio
import collections.abc
import contextlib
import signal
import time

from nutmegshelf import calls, exceptions, queues
from nutmegshelf_http import channel, server

from nutmegshelf_entry import (
    job_handler,
    job_metrics,
    job_operator_api,
    job_service,
    logs,
    problems,
    rpc,
    shutdown,
)

_log = logs.get_logger("daemon")


class JobDaemon:
    """Own the sockets and the signals of one entry that serves jobs."""

    def __init__(self, own: job_service.JobSettings, outside: job_service.Adapters) -> None:
        self._own = own
        self._rpc = rpc.PeerRpc(self._answer)
        self.service = job_service.JobService(own, outside, self._rpc)
        self._metrics = job_metrics.JobMetrics(self.service.timings)
        self._rpc.operator_handler = job_operator_api.JobOperatorApi(
            own.entry, self.service.active_queues, self.service.job_router
        ).handle
        self._front = job_handler.JobHandler(
            self.service.active_queues,
            outside.codec,
            self.service.job_router,
            self._metrics,
        )
        self._callers = server.Server(
            self._front.handle, make_error=problems.make_head_error, on_error=self._report
        )
        self.service.on_limits_changed = self._set_limits
        self._ready = server.Server(
            job_handler.make_ready_handler(self._is_ready), on_error=self._report
        )
        self._shown_metrics = server.Server(self._metrics.handle, on_error=self._report)
        self._metrics.gauges = self.service.get_gauges
        self._metrics.events = self.service.count_events
        self._shutdown = shutdown.Shutdown(own.grace_s / 2, own.grace_s / 3)

    async def run(self) -> None:
        """Serve until SIGTERM, then hand over and finish what is in progress."""
        own = self._own
        self._shutdown.install_signal_handlers()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.service.reload)
        await self.listen()
        _log.info("Started.", entry=own.entry, zone=own.zone, incarnation=self.service.incarnation)
        async with asyncio.TaskGroup() as group:
            task = group.create_task(self.service.run())
            await self._shutdown.wait_requested()
            self.service.is_leaving = True
            await self._shutdown.run(
                [self._callers, self._ready], self._refuse, self.service.lease_manager.leave, []
            )
            await shutdown.cancel_all([task])
        await self.close()
        _log.info("Stopped.", entry=own.entry)

    async def listen(self) -> None:
        """Open the sockets."""
        own = self._own
        await self._rpc.start(own.peers.host, own.peers.port)
        await self._callers.start(own.callers.host, own.callers.port)
        await self._ready.start(own.ready.host, own.ready.port)
        if own.metrics is not None:
            await self._show_metrics(own.metrics)

    async def close(self) -> None:
        """Close the sockets."""
        for one in (self._callers, self._ready, self._shown_metrics):
            await one.close()
        await self._rpc.close()

    async def _show_metrics(self, where: job_service.Endpoint) -> None:
        try:
            await self._shown_metrics.start(where.host, where.port)
        except OSError as error:
            # An entry serves on without its metrics.
            _log.error("Metrics can't be shown.", address=where.address, why=str(error))

    async def _answer(self, call: calls.AnyCall) -> calls.Reply:
        return await self.service.job_router.handle_call(call)

    def _set_limits(self, limits: queues.Limits) -> None:
        self._callers.set_limits(
            server.Limits(
                head_timeout_s=limits.head_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
                max_head_bytes=min(limits.head_bytes, channel.MAX_HEAD_BYTES),
            )
        )

    def _refuse(self) -> None:
        self._front.refusal = exceptions.ErrorKind.SHUTTING_DOWN

    def _is_ready(self) -> bool:
        return not self._shutdown.is_stopping and self.service.active_queues.routes is not None

    def _report(self, error: Exception) -> None:
        _log.error("A handler failed.", exc_info=error)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """Be an event loop whose clock also counts the time that the host was suspended."""

    def time(self) -> float:
        """Give the clock that goes on through a suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def serve(
    own: job_service.JobSettings,
    outside: collections.abc.Callable[[], job_service.Adapters],
) -> None:
    """Run one entry that serves jobs."""

    async def start() -> None:
        await JobDaemon(own, outside()).run()

    with (
        contextlib.suppress(KeyboardInterrupt),
        asyncio.Runner(loop_factory=BoottimeEventLoop) as runner,
    ):
        runner.run(start())
