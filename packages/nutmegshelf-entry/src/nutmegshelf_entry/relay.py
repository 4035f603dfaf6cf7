"""Serve callers: validate a request, claim its key, wait for a slot, forward it and respond."""

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
_RESPONSE_TIMEOUT_S = 60.0
_RETRYABLE_FAILURES = frozenset(
    {
        exceptions.ErrorKind.MINION_REFUSED,
        exceptions.ErrorKind.MINION_CUT,
        exceptions.ErrorKind.MINION_BAD_ANSWER,
    }
)
_NO_BODY_STATUSES = frozenset({204, 304})
_log = logs.get_logger("relay")


class Relay:
    """A reverse proxy from callers to minions, with retries and idempotency keys."""

    def __init__(
        self,
        active_configuration: configuration.ActiveConfiguration,
        service_slots: slots.Slots,
        pool: connections.ConnectionPool,
        key_claimant: claimant.Claimant,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._active_configuration = active_configuration
        self._slots = service_slots
        self._pool = pool
        self._claimant = key_claimant
        self._telemetry = metrics
        self._budget = bodies.BufferBudget(bodies.MAX_BUFFERED_BYTES)
        self.refusal: exceptions.ErrorKind | None = exceptions.ErrorKind.NOT_READY
        self.is_stale = False
        self.check_freshness: collections.abc.Callable[[], None] = _do_nothing

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one exchange and send its final response."""
        request: requests.Request | None = None
        cancel_scope: cancellation.CancelScope | None = None
        try:
            if exchange.is_over_limit:
                kind = exceptions.ErrorKind.OVERLOADED
                raise exceptions.RequestError(kind, "too many connections")
            if self.refusal is not None:
                raise exceptions.RequestError(self.refusal)
            # After a suspension of the process, requests may arrive before overdue timers have run.
            self.check_freshness()
            if self.is_stale:
                raise exceptions.RequestError(exceptions.ErrorKind.CONFIGURATION_STALE)
            assert self._active_configuration.current is not None
            now_s = asyncio.get_running_loop().time()
            request = requests.parse(exchange, self._active_configuration.current, now_s)
            cancel_scope = cancellation.CancelScope(exchange, request.deadline_s)
            with self._telemetry.trace_request(exchange, request) as traceparent:
                await self._serve(exchange, request, cancel_scope, traceparent)
        except exceptions.RequestError as error:
            await self._respond_error(exchange, request, cancel_scope, error)
        except ConnectionError:
            exchange.connection.abort()
        except Exception as error:
            _log.exception(
                "Unexpected error while serving a request.", request=request.id if request else ""
            )
            kind = exceptions.ErrorKind.INTERNAL
            internal = exceptions.RequestError(kind, type(error).__name__)
            await self._respond_error(exchange, request, cancel_scope, internal)

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
                stored_answer = await serve(context)
        if stored_answer is not None:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                await _respond_stored(exchange, stored_answer)

    async def _serve_keyed(self, context: attempts.RequestContext) -> claims.StoredAnswer | None:
        request = context.request
        assert request.key is not None
        fingerprint = claims.make_fingerprint(request.method, request.target, context.body.buffered)
        cancel_scope = context.cancel_scope
        cancel_scope.timeout_kind = exceptions.ErrorKind.TABLE_UNAVAILABLE

        def on_conflict() -> None:
            # Another request with this key is running, so "not-run" would no longer be true.
            cancel_scope.timeout_kind = exceptions.ErrorKind.KEY_RUNNING

        claim = await self._claimant.claim(
            request.service_name, request.key, fingerprint, request.deadline_s, on_conflict
        )
        if isinstance(claim, claims.StoredAnswer):
            return claim
        try:
            stored_answer = await self._send(context)
        except BaseException:
            if cancel_scope.may_have_run:
                self._claimant.settle(claim, None)
            else:
                self._claimant.release(claim)
            raise
        self._claimant.settle(claim, stored_answer)
        return stored_answer

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
                stored_answer = await self._attempt(context, grant)
                served_s = loop.time() - started_s
                return stored_answer
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
                    _log.info("Retry budget exhausted.", request=request.id)
                    raise
                _log.info(
                    "Retrying a request after a failed attempt.",
                    request=request.id,
                    kind=error.kind.value,
                )
                avoid |= {minion}
            finally:
                failed_s = loop.time() - started_s if served_s is None else None
                self._slots.release(request.service_name, minion, served_s, failed_s)
        raise AssertionError("unreachable: the last attempt returns or raises")

    @telemetry.measured_hop(telemetry.MINION_HOP)
    async def _attempt(
        self, context: attempts.RequestContext, grant: dispatch.Grant
    ) -> claims.StoredAnswer | None:
        connection, _ = await self._pool.checkout(
            grant.minion, fresh=not context.request.idempotent
        )
        attempt = attempts.Attempt(context, grant.minion, connection)
        try:
            stored_answer = await attempt.run()
        except BaseException:
            connection.abort()
            raise
        self._pool.checkin(grant.minion.minion, connection)
        return stored_answer

    async def _respond_error(
        self,
        exchange: server.Exchange,
        request: requests.Request | None,
        cancel_scope: cancellation.CancelScope | None,
        error: exceptions.RequestError,
    ) -> None:
        response = error.response
        if cancel_scope is not None and cancel_scope.may_have_run:
            error.mark_sent()
        self._telemetry.count_error(request.service_name if request else "", error.kind)
        _log.log(
            response.log_level,
            "Returned an error response.",
            kind=error.kind.value,
            outcome=error.outcome.value,
            request=request.id if request else "",
            detail=error.detail,
        )
        if exchange.response_started:
            # Part of the response was sent already; only a reset marks it as incomplete.
            exchange.connection.reset()
            return
        headers, body = problems.make_problem(error, request.id if request else None)
        try:
            await exchange.respond(response.status, headers, body)
        except (ConnectionError, h11.LocalProtocolError):
            exchange.connection.abort()


def _may_retry(context: attempts.RequestContext, error: exceptions.RequestError) -> bool:
    if context.exchange.response_started or not context.body.is_replayable:
        return False
    if error.kind is exceptions.ErrorKind.MINION_REFUSED:
        return True
    return context.request.idempotent and error.kind in _RETRYABLE_FAILURES


async def _respond_stored(exchange: server.Exchange, stored_answer: claims.StoredAnswer) -> None:
    headers = list(stored_answer.headers)
    if stored_answer.status in _NO_BODY_STATUSES:
        await exchange.start_response(stored_answer.status, headers, b"")
    else:
        await exchange.respond(stored_answer.status, headers, stored_answer.body)


def _do_nothing() -> None:
    pass
