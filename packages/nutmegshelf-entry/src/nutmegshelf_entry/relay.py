"""Carry one request from its caller to a minion and the whole answer back."""

import asyncio
import json
import math

import h11
from nutmegshelf import configuration, dispatch, exceptions, ids
from nutmegshelf_http import channel, server

from nutmegshelf_entry import logs, minions, requests, slots, telemetry

_AWAY_S = 2.0
_MAX_ATTEMPTS = 3
_log = logs.part("relay")


class Relay:
    """Serve callers: check, wait for a slot, send, relay."""

    def __init__(
        self,
        in_force: configuration.InForce,
        slot_owner: slots.Slots,
        pool: minions.MinionPool,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._in_force = in_force
        self._slots = slot_owner
        self._pool = pool
        self._telemetry = metrics
        self.refusing: exceptions.ErrorKind | None = exceptions.ErrorKind.NOT_READY
        self.is_stale = False

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one exchange to its final answer."""
        loop = asyncio.get_running_loop()
        request: requests.Request | None = None
        try:
            if self.refusing is not None:
                raise exceptions.RequestError(self.refusing)
            if self.is_stale:
                raise exceptions.RequestError(exceptions.ErrorKind.CONFIGURATION_STALE)
            assert self._in_force.accepted is not None
            request = requests.read(exchange, self._in_force.accepted, loop.time())
            with self._telemetry.request_span(exchange, request) as traceparent:
                await self._serve(exchange, request, traceparent)
        except exceptions.RequestError as error:
            await self._answer_error(exchange, request, error)

    async def _serve(
        self, exchange: server.Exchange, request: requests.Request, traceparent: str
    ) -> None:
        loop = asyncio.get_running_loop()
        avoid: frozenset[ids.MinionId] = frozenset()
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            ticket = dispatch.Ticket(
                request.id, request.rule.request_class, request.deadline_s, avoid
            )
            grant = await self._wait_for_slot(exchange, request, ticket)
            minion = grant.minion.minion
            started_s = loop.time()
            try:
                async with asyncio.timeout_at(request.deadline_s):
                    await self._attempt(exchange, request, grant, traceparent)
            except TimeoutError as error:
                raise exceptions.RequestError(
                    exceptions.ErrorKind.MINION_TIMEOUT, minion
                ) from error
            except exceptions.RequestError as error:
                self._slots.set_away(request.service_name, minion, _AWAY_S)
                if attempt == _MAX_ATTEMPTS or not self._may_repeat(exchange, request, error):
                    raise
                _log.info("Repeating a request.", request=request.id, kind=error.kind.value)
                avoid |= {minion}
            else:
                return
            finally:
                self._slots.release(request.service_name, minion, loop.time() - started_s)

    async def _wait_for_slot(
        self, exchange: server.Exchange, request: requests.Request, ticket: dispatch.Ticket
    ) -> dispatch.Grant:
        if exchange.link.gone.is_set():
            raise exceptions.RequestError(exceptions.ErrorKind.CALLER_GONE)
        return await self._slots.acquire(request.service_name, ticket)

    def _may_repeat(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        error: exceptions.RequestError,
    ) -> bool:
        if exchange.started or exchange.link.state.their_state is not h11.DONE:
            return error.kind is exceptions.ErrorKind.MINION_REFUSED
        proved_not_run = error.answer.outcome is exceptions.Outcome.NOT_RUN
        return proved_not_run or (request.idempotent and not request.has_body)

    async def _attempt(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        grant: dispatch.Grant,
        traceparent: str,
    ) -> None:
        link, _ = await self._pool.checkout(grant.minion, fresh=not request.idempotent)
        try:
            await self._send_and_relay(exchange, request, grant, link, traceparent)
        except BaseException:
            link.abort()
            raise
        self._pool.checkin(grant.minion.minion, link)

    async def _send_and_relay(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        grant: dispatch.Grant,
        link: channel.Channel,
        traceparent: str,
    ) -> None:
        head = self._minion_head(request, traceparent)
        if not request.has_body:
            try:
                await link.send(head, h11.EndOfMessage())
            except ConnectionError as error:
                raise _cut(grant, error) from error
            await self._relay_answer(exchange, grant, link)
            return
        upload = asyncio.ensure_future(self._upload(exchange, request, grant, link, head))
        answer = asyncio.ensure_future(self._relay_answer(exchange, grant, link))
        try:
            # An answer may come before the whole body was sent; a failed upload ends both.
            done, _ = await asyncio.wait({upload, answer}, return_when=asyncio.FIRST_EXCEPTION)
            for task in sorted(done, key=lambda task: task is answer):
                task.result()
        finally:
            for task in (upload, answer):
                task.cancel()
            await asyncio.gather(upload, answer, return_exceptions=True)

    async def _upload(
        self,
        exchange: server.Exchange,
        request: requests.Request,
        grant: dispatch.Grant,
        link: channel.Channel,
        head: h11.Request,
    ) -> None:
        sent_bytes = 0
        try:
            await link.send(head)
            async for part in self._caller_body(exchange):
                sent_bytes += len(part)
                if sent_bytes > request.rule.max_body_bytes:
                    raise exceptions.RequestError(exceptions.ErrorKind.BODY_TOO_LARGE)
                await link.send(h11.Data(data=part))
            await link.send(h11.EndOfMessage())
        except ConnectionError as error:
            raise _cut(grant, error) from error

    async def _caller_body(self, exchange: server.Exchange):  # type: ignore[no-untyped-def]
        if exchange.link.state.they_are_waiting_for_100_continue:
            await exchange.link.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            async for part in exchange.link.body():
                yield part
        except h11.RemoteProtocolError as error:
            raise exceptions.RequestError(exceptions.ErrorKind.CALLER_GONE, str(error)) from error

    async def _relay_answer(
        self, exchange: server.Exchange, grant: dispatch.Grant, link: channel.Channel
    ) -> None:
        head = await minions.receive_answer_head(link, grant.minion)
        headers = requests.forwardable(head.headers.raw_items())
        try:
            # Small answers go out in one write; larger ones stream part by part.
            body = link.body()
            first = await anext(body, None)
            second = await anext(body, None) if first is not None else None
            if second is None:
                await exchange.start(head.status_code, headers, first or b"")
                return
            await exchange.start(head.status_code, headers)
            await exchange.write(first or b"")
            await exchange.write(second)
            async for part in body:
                await exchange.write(part)
            await exchange.end()
        except h11.RemoteProtocolError as error:
            raise _cut(grant, error) from error

    def _minion_head(self, request: requests.Request, traceparent: str) -> h11.Request:
        left_s = request.deadline_s - asyncio.get_running_loop().time()
        headers = [
            *request.headers,
            (b"nutmegshelf-request", request.id.encode()),
            (b"request-timeout-ms", str(max(1, int(left_s * 1000))).encode()),
        ]
        if not any(name.lower() == b"host" for name, _ in request.headers):
            # Only HTTP/1.0 callers may leave it out.
            headers.append((b"host", request.service_name.encode()))
        if traceparent:
            headers.append((b"traceparent", traceparent.encode()))
        return h11.Request(method=request.method, target=request.target, headers=headers)

    async def _answer_error(
        self,
        exchange: server.Exchange,
        request: requests.Request | None,
        error: exceptions.RequestError,
    ) -> None:
        answer = error.answer
        self._telemetry.count_error(request.service_name if request else "", error.kind)
        _log.log(
            answer.log_level,
            "Gave an error answer.",
            kind=error.kind.value,
            outcome=answer.outcome.value,
            request=request.id if request else "",
            detail=error.detail,
        )
        if exchange.started:
            # A part of the answer is out: only a broken connection tells the caller the truth.
            exchange.link.abort()
            return
        headers, body = problem(error, request.id if request else None)
        try:
            await exchange.respond(answer.status, headers, body)
        except (ConnectionError, h11.LocalProtocolError):
            exchange.link.abort()


def problem(
    error: exceptions.RequestError, request: ids.RequestId | None
) -> tuple[channel.Headers, bytes]:
    """Make the headers and the problem body (RFC 9457) of an error answer."""
    answer = error.answer
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"nutmegshelf-outcome", answer.outcome.value.encode()),
        (b"nutmegshelf-error", error.kind.value.encode()),
    ]
    if request:
        headers.append((b"nutmegshelf-request", request.encode()))
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(math.ceil(error.retry_after_s)).encode()))
    fields = {
        "type": f"urn:nutmegshelf:error:{error.kind.value}",
        "title": answer.title,
        "status": answer.status,
        "detail": error.detail,
        "outcome": answer.outcome.value,
        "request": request,
    }
    return headers, json.dumps(fields).encode()


def bad_head(status: int, detail: str) -> tuple[int, channel.Headers, bytes]:
    """Answer a head that can't be read, in the form of every other error answer."""
    kinds = {
        431: exceptions.ErrorKind.HEAD_TOO_LARGE,
        408: exceptions.ErrorKind.HEAD_TIMEOUT,
        500: exceptions.ErrorKind.INTERNAL,
        503: exceptions.ErrorKind.OVERLOADED,
    }
    error = exceptions.RequestError(kinds.get(status, exceptions.ErrorKind.BAD_REQUEST), detail)
    headers, body = problem(error, None)
    return error.answer.status, headers, body


def _cut(grant: dispatch.Grant, error: Exception) -> exceptions.RequestError:
    return exceptions.RequestError(
        exceptions.ErrorKind.MINION_CUT, f"{grant.minion.minion}: {error}"
    )
