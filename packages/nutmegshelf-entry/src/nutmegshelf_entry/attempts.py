"""Carry one attempt of a request over one connection to a minion."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import h11
from nutmegshelf import claims, exceptions, platform
from nutmegshelf_http import channel, server

from nutmegshelf_entry import bodies, cancellation, connections, requests, telemetry

MAX_STORED_ANSWER_BYTES = 1024 * 1024
_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """Hold a request with its caller's side, while it is served."""

    exchange: server.Exchange
    request: requests.Request
    body: bodies.RequestBody
    cancel_scope: cancellation.CancelScope
    traceparent: str


class Attempt:
    """Own one connection for one request and its answer."""

    def __init__(
        self, context: RequestContext, record: platform.MinionRecord, link: channel.Channel
    ) -> None:
        self._exchange = context.exchange
        self._request = context.request
        self._body = context.body
        self._cancel_scope = context.cancel_scope
        self._traceparent = context.traceparent
        self._record = record
        self._link = link

    async def run(self) -> claims.StoredAnswer | None:
        """Send and relay; give the answer of a keyed request in place of relaying it."""
        if asyncio.get_running_loop().time() >= self._request.deadline_s:
            # The entry was paused past the deadline before its timer could run.
            raise exceptions.RequestError(exceptions.ErrorKind.DEADLINE_TOO_SHORT)
        head = self._head()
        self._cancel_scope.mark_sent(survives_disconnect=not self._request.idempotent)
        if not self._body.is_complete or len(self._body.buffered) > bodies.PREFETCH_BYTES:
            return await self._stream(head)
        self._cancel_scope.timeout_kind = exceptions.ErrorKind.MINION_TIMEOUT
        events: list[h11.Event] = [head]
        if whole := self._body.buffered:
            events.append(h11.Data(data=whole))
        # A minion that stopped reading may have answered before.
        with contextlib.suppress(ConnectionError):
            await self._link.send(*events, h11.EndOfMessage())
        return await self._take_answer()

    async def _stream(self, head: h11.Request) -> claims.StoredAnswer | None:
        upload = asyncio.ensure_future(self._upload(head))
        answer = asyncio.ensure_future(self._take_answer())
        try:
            await asyncio.wait({upload, answer}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                await upload
            # An answer may come whole before the upload ended; the rest is not sent then.
            return await answer
        finally:
            for task in (upload, answer):
                task.cancel()
            await asyncio.gather(upload, answer, return_exceptions=True)

    async def _upload(self, head: h11.Request) -> None:
        await self._send(head)
        async for part in self._body.iterate_chunks():
            await self._send(h11.Data(data=part))
            if not self._body.is_complete:
                self._cancel_scope.timeout_kind = exceptions.ErrorKind.BODY_TIMEOUT
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        self._cancel_scope.timeout_kind = exceptions.ErrorKind.MINION_TIMEOUT
        # A minion that stopped reading may have answered before: what it said decides.
        with contextlib.suppress(ConnectionError):
            await self._link.send(event)

    async def _take_answer(self) -> claims.StoredAnswer | None:
        head = await connections.receive_response_head(
            self._link, self._record, self._request.method
        )
        try:
            if self._request.needs_claim:
                return await self._keep(head)
            await self._relay(head)
            return None
        except h11.RemoteProtocolError as error:
            raise exceptions.RequestError(
                exceptions.ErrorKind.MINION_CUT, f"{self._record.minion}: {error}"
            ) from error

    async def _relay(self, head: h11.Response) -> None:
        headers = requests.strip_hop_headers(head.headers.raw_items())
        # Small answers go out in one write; larger ones stream part by part.
        body = self._link.iterate_body()
        first = await anext(body, None)
        second = await anext(body, None) if first is not None else None
        if second is None:
            await self._to_caller(
                self._exchange.start_response(head.status_code, headers, first or b"")
            )
            return
        await self._to_caller(self._exchange.start_response(head.status_code, headers))
        await self._to_caller(self._exchange.write(first or b""))
        await self._to_caller(self._exchange.write(second))
        async for part in body:
            await self._to_caller(self._exchange.write(part))
        await self._to_caller(self._exchange.end())

    async def _keep(self, head: h11.Response) -> claims.StoredAnswer | None:
        # A keyed answer is read whole before its caller gets it, so that neither a slow caller
        # nor one that went away keeps it from being stored.
        headers = requests.strip_hop_headers(head.headers.raw_items())
        body = self._link.iterate_body()
        parts: list[bytes] = []
        size_bytes = 0
        async for part in body:
            parts.append(part)
            size_bytes += len(part)
            if size_bytes > MAX_STORED_ANSWER_BYTES:
                break
        else:
            kept = [(name, value) for name, value in headers if name.lower() not in _LENGTH_HEADERS]
            return claims.StoredAnswer(
                status=head.status_code, headers=tuple(kept), body=b"".join(parts)
            )
        await self._to_caller(self._exchange.start_response(head.status_code, headers))
        for part in parts:
            await self._to_caller(self._exchange.write(part))
        async for part in body:
            await self._to_caller(self._exchange.write(part))
        await self._to_caller(self._exchange.end())
        return None

    async def _to_caller(self, writing: collections.abc.Awaitable[None]) -> None:
        try:
            await writing
        except ConnectionError as error:
            raise exceptions.RequestError(exceptions.ErrorKind.CALLER_GONE, str(error)) from error

    def _head(self) -> h11.Request:
        request = self._request
        left_s = request.deadline_s - asyncio.get_running_loop().time()
        headers = [
            *request.headers,
            (b"nutmegshelf-request", request.id.encode()),
            (b"request-timeout-ms", str(max(1, int(left_s * 1000))).encode()),
        ]
        if not any(name.lower() == b"host" for name, _ in request.headers):
            # Only HTTP/1.0 callers may leave it out.
            headers.append((b"host", request.service_name.encode()))
        if hop := telemetry.get_traceparent() or self._traceparent:
            headers.append((b"traceparent", hop.encode()))
        return h11.Request(method=request.method, target=request.target, headers=headers)
