"""Serve callers: find the queue of a request and answer for the job that it names."""

import asyncio
import collections.abc
import time
import typing

import h11
from nutmegshelf import exceptions, ids, jobs, queues
from nutmegshelf_http import channel, server

from nutmegshelf_entry import job_metrics, job_router, logs, problems

# Kept back from the caller's patience, so that the final answer still arrives in time.
_ANSWER_RESERVE_S = 0.1
_LEAST_LIMIT_S = 0.05
# An entry that is behind mostly has the newest configuration after this time.
_BEHIND_RETRY_AFTER_S = 1.0

_log = logs.get_logger("front")


class Codec(typing.Protocol):
    """Read callers' requests and write answers in the form that the callers speak."""

    def get_timeout_s(self, exchange: server.Exchange) -> float | None:
        """Give how long the caller waits, where it says so."""

    def decode_job(
        self, body: bytes, job: ids.JobId, queue: queues.Queue, accepted_ms: int
    ) -> jobs.Job:
        """Read a submitted job; raises RequestError."""

    def encode_state(self, state: jobs.JobState) -> bytes:
        """Write a job's state."""

    def encode_pending(self, count: int) -> bytes:
        """Write a queue's count."""


class JobHandler:
    """Own the answers to callers."""

    def __init__(
        self,
        in_force: queues.ActiveQueues,
        codec: Codec,
        wire: job_router.JobRouter,
        metrics: job_metrics.JobMetrics,
    ) -> None:
        self.refusal: exceptions.ErrorKind | None = None
        self._in_force = in_force
        self._codec = codec
        self._desk = wire
        self._metrics = metrics

    async def handle(self, exchange: server.Exchange) -> None:
        """Give one request its final answer."""
        began_s = asyncio.get_running_loop().time()
        status, headers, body = 500, list[tuple[bytes, bytes]](), b""
        try:
            limit_s = self._limit_s(exchange)
            async with asyncio.timeout(limit_s):
                body = await self._serve(exchange)
            status, headers = 200, [(b"content-type", b"application/json")]
        except exceptions.RequestError as error:
            status, (headers, body) = error.response.status, problems.make_problem(error, None)
            self._note(exchange, error)
        except TimeoutError:
            # The job may still be stored after this, so nothing else can be said truthfully.
            late = exceptions.RequestError(exceptions.ErrorKind.JOB_UNSETTLED, "out of time")
            status, (headers, body) = late.response.status, problems.make_problem(late, None)
            self._note(exchange, late)
        took_s = asyncio.get_running_loop().time() - began_s
        self._metrics.count_request(exchange.method, status, took_s)
        try:
            await exchange.respond(status, headers, body)
        except (ConnectionError, h11.LocalProtocolError) as error:
            _log.info("A caller left before its answer.", target=exchange.target, why=repr(error))
            exchange.connection.abort()

    def _note(self, exchange: server.Exchange, error: exceptions.RequestError) -> None:
        self._metrics.count_refusal(error.kind.value)
        routes = self._in_force.routes
        _log.log(
            error.response.log_level,
            "A request got no success.",
            method=exchange.method,
            target=exchange.target,
            kind=error.kind.value,
            status=error.response.status,
            detail=error.detail,
            version=routes.declared.version if routes else None,
        )

    def _limit_s(self, exchange: server.Exchange) -> float | None:
        patience_s = self._codec.get_timeout_s(exchange)
        if patience_s is None:
            return None
        return max(_LEAST_LIMIT_S, patience_s - _ANSWER_RESERVE_S)

    async def _serve(self, exchange: server.Exchange) -> bytes:
        routes = self._in_force.routes
        if self.refusal is not None or routes is None:
            raise exceptions.RequestError(self.refusal or exceptions.ErrorKind.NOT_READY)
        host = (exchange.get_header(b"host") or b"").decode("latin-1")
        target = routes.find(host, exchange.target.partition("?")[0])
        if target is None:
            raise self._unknown_path()
        if exchange.method != "POST" and target.job and not jobs.is_job_id(target.job):
            raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_JOB)
        match exchange.method, bool(target.job):
            case "POST", True:
                return await self._submit(exchange, target, routes.declared.limits)
            case "GET", True:
                return self._codec.encode_state(
                    await self._desk.get_state(target.queue, target.job)
                )
            case "DELETE", True:
                await self._desk.cancel(target.queue, target.job)
                return self._codec.encode_state(jobs.JobState.CANCELLED)
            case "GET", False:
                return self._codec.encode_pending(await self._desk.count_pending(target.queue))
            case _:
                raise exceptions.RequestError(exceptions.ErrorKind.METHOD_NOT_SERVED)

    def _unknown_path(self) -> exceptions.RequestError:
        # A queue may have been added that this entry has not heard of.
        if self._in_force.is_stale(asyncio.get_running_loop().time()):
            return exceptions.RequestError(
                exceptions.ErrorKind.CONFIGURATION_STALE, retry_after_s=_BEHIND_RETRY_AFTER_S
            )
        return exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_QUEUE)

    async def _submit(
        self, exchange: server.Exchange, target: queues.RouteMatch, limits: queues.Limits
    ) -> bytes:
        try:
            body = await exchange.connection.read_body(limits.body_bytes)
        except ValueError as error:
            kind = exceptions.ErrorKind.BODY_TOO_LARGE
            raise exceptions.RequestError(kind, str(error)) from error
        now_ms = int(time.time() * 1000)
        if not jobs.is_job_id(target.job):
            detail = "a job's id has 1 to 64 letters, digits, - and _"
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, detail)
        job = self._codec.decode_job(body, target.job, target.queue, now_ms)
        if found := jobs.find_faults(job):
            raise exceptions.RequestError(exceptions.ErrorKind.BAD_REQUEST, "; ".join(found))
        await self._desk.submit(job)
        return self._codec.encode_state(jobs.JobState.QUEUED)


def make_ready_handler(
    is_ready: collections.abc.Callable[[], bool],
) -> collections.abc.Callable[[server.Exchange], collections.abc.Awaitable[None]]:
    """Make the handler that tells the balancer whether to send new connections."""

    async def handle(exchange: server.Exchange) -> None:
        headers: channel.Headers = [(b"content-type", b"text/plain")]
        ready = is_ready()
        await exchange.respond(200 if ready else 503, headers, b"ready" if ready else b"not ready")

    return handle
