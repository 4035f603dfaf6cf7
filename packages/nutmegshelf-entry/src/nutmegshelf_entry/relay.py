"""Serve callers: check a request, claim its key, wait for a slot, send it, answer."""

import asyncio
import collections.abc
import contextlib

import h11
from nutmegshelf import claims, configuration, dispatch, exceptions, ids
from nutmegshelf_http import server

from nutmegshelf_entry import (
    attempts,
    bodies,
    cancellation,
    claimant,
    connections,
    logs,
    problems,
    requests,
    slots,
    telemetry,
)

_MAX_ATTEMPTS = 3
_ANSWER_TIMEOUT_S = 60.0
_MINION_FAILURES = frozenset(
    {
        exceptions.ErrorKind.MINION_REFUSED,
        exceptions.ErrorKind.MINION_CUT,
        exceptions.ErrorKind.MINION_BAD_ANSWER,
    }
)
_NO_BODY_STATUSES = frozenset({204, 304})
_log = logs.get_logger("relay")


class Relay:
    """Own the way of every request from its caller to its final answer."""

    def __init__(
        self,
        in_force: configuration.ActiveConfiguration,
        slot_owner: slots.Slots,
        pool: connections.ConnectionPool,
        keys: claimant.Claimant,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._in_force = in_force
        self._slots = slot_owner
        self._pool = pool
        self._claimant = keys
        self._telemetry = metrics
        self._budget = bodies.BufferBudget(bodies.MAX_BUFFERED_BYTES)
        self.refusal: exceptions.ErrorKind | None = exceptions.ErrorKind.NOT_READY
        self.is_stale = False
        self.check_freshness: collections.abc.Callable[[], None] = _nothing

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one exchange to its final answer."""
        request: requests.Request | None = None
        cancel_scope: cancellation.CancelScope | None = None
        try:
            if self.refusal is not None:
                raise exceptions.RequestError(self.refusal)
            # A process that was frozen must not serve before its own timers have run.
            self.check_freshness()
            if self.is_stale:
                raise exceptions.RequestError(exceptions.ErrorKind.CONFIGURATION_STALE)
            assert self._in_force.current is not None
            now_s = asyncio.get_running_loop().time()
            request = requests.parse(exchange, self._in_force.current, now_s)
            cancel_scope = cancellation.CancelScope(exchange, request.deadline_s)
            with self._telemetry.trace_request(exchange, request) as traceparent:
                await self._serve(exchange, request, cancel_scope, traceparent)
        except exceptions.RequestError as error:
            await self._answer_error(exchange, request, cancel_scope, error)
        except ConnectionError:
            exchange.connection.abort()
        except Exception as error:
            _log.exception("Failed to serve a request.", request=request.id if request else "")
            kind = exceptions.ErrorKind.INTERNAL
            internal = exceptions.RequestError(kind, type(error).__name__)
            await self._answer_error(exchange, request, cancel_scope, internal)

    async def _serve(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        cancel_scope: cancellation.CancelScope,
        traceparent: str,
    ) -> None:
        async with cancel_scope:
            with contextlib.closing(bodies.RequestBody(exchange, request, self._budget)) as body:
                await body.prefetch()
                context = attempts.RequestContext(
                    exchange, request, body, cancel_scope, traceparent
                )
                serve = self._serve_keyed if request.needs_claim else self._send
                kept = await serve(context)
        if kept is not None:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await _give(exchange, kept)

    async def _serve_keyed(self, context: attempts.RequestContext) -> claims.StoredAnswer | None:
        request = context.request
        assert request.key is not None
        wanted = claims.make_fingerprint(request.method, request.target, context.body.buffered)
        cancel_scope = context.cancel_scope
        cancel_scope.timeout_kind = exceptions.ErrorKind.TABLE_UNAVAILABLE

        def on_wait() -> None:
            # The request with this key runs elsewhere: from here on not-run would be false.
            cancel_scope.timeout_kind = exceptions.ErrorKind.KEY_RUNNING

        claimed = await self._claimant.claim(
            request.service_name, request.key, wanted, request.deadline_s, on_wait
        )
        if isinstance(claimed, claims.StoredAnswer):
            return claimed
        try:
            kept = await self._send(context)
        except BaseException:
            if cancel_scope.may_have_run:
                self._claimant.settle(claimed, None)
            else:
                self._claimant.release(claimed)
            raise
        self._claimant.settle(claimed, kept)
        return kept

    async def _send(self, context: attempts.RequestContext) -> claims.StoredAnswer | None:
        loop = asyncio.get_running_loop()
        request = context.request
        avoid: frozenset[ids.MinionId] = frozenset()
        for number in range(1, _MAX_ATTEMPTS + 1):
            ticket = dispatch.Ticket(
                request.id,
                request.rule.request_class,
                request.deadline_s,
                avoid,
                request.idempotent,
            )
            context.cancel_scope.timeout_kind = exceptions.ErrorKind.DEADLINE_TOO_SHORT
            grant = await self._slots.acquire(request.service_name, ticket)
            minion = grant.minion.minion
            started_s = loop.time()
            served_s: float | None = None
            try:
                kept = await self._attempt(context, grant)
                served_s = loop.time() - started_s
                return kept
            except asyncio.CancelledError:
                if loop.time() >= request.deadline_s:
                    timeout = exceptions.ErrorKind.MINION_TIMEOUT
                    self._slots.report_failure(request.service_name, minion, timeout)
                raise
            except exceptions.RequestError as error:
                self._slots.report_failure(request.service_name, minion, error.kind)
                if number == _MAX_ATTEMPTS or not _may_retry(context, error):
                    raise
                if not self._slots.try_withdraw_retry(request.service_name):
                    _log.info("No retry budget is left.", request=request.id)
                    raise
                _log.info("Retrying a request.", request=request.id, kind=error.kind.value)
                avoid |= {minion}
            finally:
                failed_s = loop.time() - started_s if served_s is None else None
                self._slots.release(request.service_name, minion, served_s, failed_s)
        raise AssertionError("the last attempt returns or raises")

    @telemetry.measured_hop(telemetry.MINION_HOP)
    async def _attempt(
        self, context: attempts.RequestContext, grant: dispatch.Grant
    ) -> claims.StoredAnswer | None:
        link, _ = await self._pool.checkout(grant.minion, fresh=not context.request.idempotent)
        attempt = attempts.Attempt(context, grant.minion, link)
        try:
            kept = await attempt.run()
        except BaseException:
            link.abort()
            raise
        self._pool.checkin(grant.minion.minion, link)
        return kept

    async def _answer_error(
        self,
        exchange: server.Exchange,
        request: requests.Request | None,
        cancel_scope: cancellation.CancelScope | None,
        error: exceptions.RequestError,
    ) -> None:
        answer = error.response
        if cancel_scope is not None and cancel_scope.may_have_run:
            error.mark_sent()
        self._telemetry.count_error(request.service_name if request else "", error.kind)
        _log.log(
            answer.log_level,
            "Gave an error answer.",
            kind=error.kind.value,
            outcome=error.outcome.value,
            request=request.id if request else "",
            detail=error.detail,
        )
        if exchange.response_started:
            # A part of the answer is out: only a broken connection tells the caller the truth.
            exchange.connection.reset()
            return
        headers, body = problems.make_problem(error, request.id if request else None)
        try:
            await exchange.respond(answer.status, headers, body)
        except (ConnectionError, h11.LocalProtocolError):
            exchange.connection.abort()


def _may_retry(context: attempts.RequestContext, error: exceptions.RequestError) -> bool:
    if context.exchange.response_started or not context.body.is_replayable:
        return False
    if error.kind is exceptions.ErrorKind.MINION_REFUSED:
        return True
    return context.request.idempotent and error.kind in _MINION_FAILURES


async def _give(exchange: server.Exchange, kept: claims.StoredAnswer) -> None:
    headers = list(kept.headers)
    if kept.status in _NO_BODY_STATUSES:
        await exchange.start_response(kept.status, headers, b"")
    else:
        await exchange.respond(kept.status, headers, kept.body)


def _nothing() -> None:
    pass
