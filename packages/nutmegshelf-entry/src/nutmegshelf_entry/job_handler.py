"""Serve callers' requests for jobs: submission, state, cancellation and pending counts."""

import asyncio
import collections.abc
import time
import typing

import h11
from nutmegshelf import exceptions, ids, jobs, queues, rejections
from nutmegshelf_http import channel, server

from nutmegshelf_entry import job_metrics, job_router, logs, problems

# Subtracted from the caller's timeout so that the final response arrives in time.
_RESPONSE_RESERVE_S = 0.1
_MIN_TIMEOUT_S = 0.05
# A stale entry usually has the latest configuration after this time.
_STALE_RETRY_AFTER_S = 1.0
# An entry that has just started usually has its configuration after this time.
_MAX_CONFIGURATION_WAIT_S = 0.5

_log = logs.get_logger("front")


class Codec(typing.Protocol):
    """A translation between jobs and the format of callers' requests and responses."""

    def get_timeout_s(self, exchange: server.Exchange) -> float | None:
        """Return the timeout that the caller sent, if any."""

    def get_request_id(self, exchange: server.Exchange) -> str | None:
        """Return the id that the caller gave this request, if any."""

    def decode_job(
        self, body: bytes, job: ids.JobId, queue: queues.Queue, accepted_ms: int
    ) -> jobs.Job:
        """Decode a submitted job; raises RequestError."""

    def encode_state(self, state: jobs.JobState) -> bytes:
        """Encode the state of a job as a response body."""

    def encode_pending(self, count: int) -> bytes:
        """Encode the number of a queue's pending jobs as a response body."""


class JobHandler:
    """The handler of all callers' requests for jobs."""

    def __init__(
        self,
        active_queues: queues.ActiveQueues,
        codec: Codec,
        router: job_router.JobRouter,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        self.refusal: exceptions.ErrorKind | None = None
        self.on_rejected: collections.abc.Callable[[jobs.Job], None] = lambda job: None
        self._active_queues = active_queues
        self._codec = codec
        self._router = router
        self._metrics = metrics
        # Set once there is a configuration.
        self._configured = asyncio.Event()

    def record_configuration(self) -> None:
        """Serve the requests that wait for a configuration."""
        self._configured.set()

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one exchange and send its final response."""
        started_s = asyncio.get_running_loop().time()
        status, headers, body = 500, list[tuple[bytes, bytes]](), b""
        try:
            timeout_s = self._get_timeout_s(exchange)
            async with asyncio.timeout(timeout_s):
                body = await self._serve(exchange)
            status, headers = 200, [(b"content-type", b"application/json")]
        except exceptions.RequestError as error:
            answered = await self._qualify_refusal(exchange, error)
            status, (headers, body) = answered.response.status, problems.make_problem(
                answered, None
            )
            self._record_error(exchange, answered)
        except TimeoutError:
            # The job may still be stored later, so the outcome is unknown.
            unsettled = exceptions.RequestError(exceptions.ErrorKind.JOB_UNSETTLED, "out of time")
            status, (headers, body) = unsettled.response.status, problems.make_problem(
                unsettled, None
            )
            self._record_error(exchange, unsettled)
        duration_s = asyncio.get_running_loop().time() - started_s
        self._metrics.count_request(exchange.method, status, duration_s)
        try:
            await exchange.respond(status, headers, body)
        except (ConnectionError, h11.LocalProtocolError) as error:
            _log.info(
                "A caller disconnected before its response.",
                target=exchange.target,
                why=repr(error),
            )
            exchange.connection.abort()

    async def _qualify_refusal(
        self, exchange: server.Exchange, error: exceptions.RequestError
    ) -> exceptions.RequestError:
        if exchange.method != "POST":
            return error
        # Also where the path is unknown here: an earlier submission may have found its queue.
        job = exchange.target.partition("?")[0].rpartition("/")[2]
        return await self._router.qualify_refusal(ids.JobId(job), error)

    def _record_error(self, exchange: server.Exchange, error: exceptions.RequestError) -> None:
        self._metrics.count_refusal(error.kind.value)
        routes = self._active_queues.routes
        _log.log(
            error.response.log_level,
            "A request got no success.",
            method=exchange.method,
            target=exchange.target,
            request=self._codec.get_request_id(exchange),
            kind=error.kind.value,
            status=error.response.status,
            detail=error.detail,
            version=routes.declared.version if routes else None,
        )

    def _get_timeout_s(self, exchange: server.Exchange) -> float | None:
        caller_timeout_s = self._codec.get_timeout_s(exchange)
        if caller_timeout_s is None:
            return None
        return max(_MIN_TIMEOUT_S, caller_timeout_s - _RESPONSE_RESERVE_S)

    async def _serve(self, exchange: server.Exchange) -> bytes:
        if exchange.is_over_limit:
            raise exceptions.RequestError(exceptions.ErrorKind.OVERLOADED, "too many connections")
        is_configured = self._active_queues.routes is not None
        if exchange.method == "POST" and not is_configured and self.refusal is None:
            await self._wait_for_configuration()
        routes = self._active_queues.routes
        if self.refusal is not None or routes is None:
            raise exceptions.RequestError(self.refusal or exceptions.ErrorKind.NOT_READY)
        host = (exchange.get_header(b"host") or b"").decode("latin-1")
        route = routes.find(host, exchange.target.partition("?")[0])
        if route is None:
            raise self._make_unknown_path_error()
        if exchange.method != "POST" and route.job and not jobs.is_job_id(route.job):
            raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)
        match exchange.method, bool(route.job):
            case "POST", True:
                return await self._submit(exchange, route, routes.declared)
            case "GET", True:
                return self._codec.encode_state(
                    await self._router.get_state(route.queue, route.job)
                )
            case "DELETE", True:
                await self._router.cancel(route.queue, route.job)
                return self._codec.encode_state(jobs.JobState.CANCELLED)
            case "GET", False:
                return self._codec.encode_pending(await self._router.count_pending(route.queue))
            case _:
                raise exceptions.RequestError(exceptions.ErrorKind.METHOD_NOT_SERVED)

    async def _wait_for_configuration(self) -> None:
        try:
            async with asyncio.timeout(_MAX_CONFIGURATION_WAIT_S):
                await self._configured.wait()
        except TimeoutError as error:
            raise exceptions.RequestError(exceptions.ErrorKind.NOT_READY) from error

    def _make_unknown_path_error(self) -> exceptions.RequestError:
        # The queue may have been added in a configuration that this entry has not received yet.
        if self._active_queues.is_stale(asyncio.get_running_loop().time()):
            return exceptions.RequestError(
                exceptions.ErrorKind.CONFIGURATION_STALE, retry_after_s=_STALE_RETRY_AFTER_S
            )
        return exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_QUEUE)

    async def _submit(
        self, exchange: server.Exchange, route: queues.RouteMatch, declared: queues.QueueSet
    ) -> bytes:
        try:
            body = await exchange.connection.read_body(declared.limits.body_bytes)
        except ValueError as error:
            kind = exceptions.ErrorKind.BODY_TOO_LARGE
            raise exceptions.RequestError(kind, str(error)) from error
        now_ms = int(time.time() * 1000)
        if not jobs.is_job_id(route.job):
            detail = "a job's id has 1 to 64 letters, digits, - and _"
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, detail)
        job = self._codec.decode_job(body, route.job, route.queue, now_ms)
        if faults := jobs.find_faults(job):
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, "; ".join(faults))
        try:
            await self._router.submit(job, declared.version)
        except exceptions.RequestError as error:
            if rejections.is_rejection(error):
                self.on_rejected(job)
            raise
        return self._codec.encode_state(jobs.JobState.QUEUED)


def make_ready_handler(
    is_ready: collections.abc.Callable[[], bool],
) -> collections.abc.Callable[[server.Exchange], collections.abc.Awaitable[None]]:
    """Return a handler that tells load balancers whether to send new connections."""

    async def handle(exchange: server.Exchange) -> None:
        headers: channel.Headers = [(b"content-type", b"text/plain")]
        ready = is_ready()
        await exchange.respond(200 if ready else 503, headers, b"ready" if ready else b"not ready")

    return handle
