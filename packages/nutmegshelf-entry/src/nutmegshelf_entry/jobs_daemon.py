"""Daemon of an entry that serves jobs: its listeners, signals and graceful shutdown."""

import asyncio
import collections.abc
import contextlib
import signal
import time

from nutmegshelf import calls, exceptions, queues
from nutmegshelf_http import channel, server

from nutmegshelf_entry import (
    fault_log,
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
    """Listeners and signal handlers of one entry that serves jobs."""

    def __init__(
        self, entry_settings: job_service.JobSettings, outside: job_service.Adapters
    ) -> None:
        self._settings = entry_settings
        self._rpc = rpc.PeerRpc(self._handle_call)
        self.service = job_service.JobService(entry_settings, outside, self._rpc)
        self._metrics = job_metrics.JobMetrics(self.service.timings)
        self._rpc.operator_handler = job_operator_api.JobOperatorApi(
            entry_settings.entry, self.service.active_queues, self.service.job_router
        ).handle
        self._front = job_handler.JobHandler(
            self.service.active_queues,
            outside.codec,
            self.service.job_router,
            self._metrics,
        )
        self._front.on_rejected = self.service.rejection_reporter.add
        self._caller_faults = fault_log.FaultLog("callers", outside.codec.get_request_id)
        self._callers = server.Server(
            self._front.handle,
            make_error=problems.make_job_fault_response,
            on_fault=self._caller_faults.write,
        )
        self.service.on_limits_changed = self._set_limits
        self._ready = server.Server(
            job_handler.make_ready_handler(self._is_ready),
            on_fault=fault_log.FaultLog("ready").write,
        )
        self._metrics_listener = server.Server(
            self._metrics.handle, on_fault=fault_log.FaultLog("metrics").write
        )
        self._metrics.faults = self._caller_faults.totals
        self._metrics.gauges = self.service.get_gauges
        self._metrics.events = self.service.count_events
        self._shutdown = shutdown.Shutdown(entry_settings.grace_s / 2, entry_settings.grace_s / 3)

    async def run(self) -> None:
        """Serve until SIGTERM, then release the leases and finish the requests in progress."""
        entry_settings = self._settings
        self._shutdown.install_signal_handlers()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.service.reload)
        await self.listen()
        _log.info(
            "Started.",
            entry=entry_settings.entry,
            zone=entry_settings.zone,
            incarnation=self.service.incarnation,
        )
        async with asyncio.TaskGroup() as group:
            task = group.create_task(self.service.run())
            await self._shutdown.wait_requested()
            self.service.is_leaving = True
            await self._shutdown.run(
                [self._callers, self._ready],
                self._refuse_requests,
                self.service.lease_manager.leave,
                [],
            )
            await shutdown.cancel_all([task])
        await self.close()
        _log.info("Stopped.", entry=entry_settings.entry)

    async def listen(self) -> None:
        """Start all listeners."""
        entry_settings = self._settings
        await self._rpc.start(entry_settings.peers.host, entry_settings.peers.port)
        await self._callers.start(entry_settings.callers.host, entry_settings.callers.port)
        await self._ready.start(entry_settings.ready.host, entry_settings.ready.port)
        if entry_settings.metrics is not None:
            await self._start_metrics(entry_settings.metrics)

    async def close(self) -> None:
        """Close all listeners and connections."""
        for listener in (self._callers, self._ready, self._metrics_listener):
            await listener.close()
        await self._rpc.close()

    async def _start_metrics(self, endpoint: job_service.Endpoint) -> None:
        try:
            await self._metrics_listener.start(endpoint.host, endpoint.port)
        except OSError as error:
            # An entry without metrics still serves callers.
            _log.error(
                "Could not start the metrics listener.", address=endpoint.address, why=str(error)
            )

    async def _handle_call(self, call: calls.AnyCall) -> calls.Reply:
        return await self.service.job_router.handle_call(call)

    def _set_limits(self, limits: queues.Limits) -> None:
        self._front.record_configuration()
        self._callers.set_limits(
            server.Limits(
                head_timeout_s=limits.head_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
                max_head_bytes=min(limits.head_bytes, channel.MAX_HEAD_BYTES),
            )
        )

    def _refuse_requests(self) -> None:
        self._front.refusal = exceptions.ErrorKind.SHUTTING_DOWN

    def _is_ready(self) -> bool:
        return not self._shutdown.is_stopping and self.service.active_queues.routes is not None


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes the time during which the host was suspended."""

    def time(self) -> float:
        """Return the boot-time clock, which continues while the host is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def serve(
    entry_settings: job_service.JobSettings,
    outside: collections.abc.Callable[[], job_service.Adapters],
) -> None:
    """Run one entry that serves jobs until it is stopped."""

    async def start() -> None:
        await JobDaemon(entry_settings, outside()).run()

    with (
        contextlib.suppress(KeyboardInterrupt),
        asyncio.Runner(loop_factory=BoottimeEventLoop) as runner,
    ):
        runner.run(start())
