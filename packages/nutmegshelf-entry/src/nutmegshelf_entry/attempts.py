"""Forward a request over one connection to a minion and relay its response."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import h11
from nutmegshelf import claims, exceptions, platform
from nutmegshelf_http import channel, server

from nutmegshelf_entry import bodies, cancellation, connections, requests, telemetry

MAX_STORED_ANSWER_BYTES = 1024 * 1024
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """A request in progress, with the exchange that it came from."""

    exchange: server.Exchange
    request: requests.Request
    body: bodies.RequestBody
    cancel_scope: cancellation.CancelScope
    traceparent: str


class Attempt:
    """One attempt of a request over one connection."""

    def __init__(
        self, context: RequestContext, record: platform.MinionRecord, connection: channel.Channel
    ) -> None:
        self._exchange = context.exchange
        self._request = context.request
        self._body = context.body
        self._cancel_scope = context.cancel_scope
        self._traceparent = context.traceparent
        self._record = record
        self._connection = connection

    async def run(self) -> claims.StoredAnswer | None:
        """Send the request and relay its response, or return the response that is to be stored."""
        if asyncio.get_running_loop().time() >= self._request.deadline_s:
            # If the process was suspended past the deadline, its timer may not have run yet.
            raise exceptions.RequestError(exceptions.ErrorKind.DEADLINE_TOO_SHORT)
        head = self._make_head()
        self._cancel_scope.mark_sent(survives_disconnect=not self._request.idempotent)
        if not self._body.is_complete or len(self._body.buffered) > bodies.PREFETCH_BYTES:
            return await self._stream(head)
        self._cancel_scope.timeout_kind = exceptions.ErrorKind.MINION_TIMEOUT
        events: list[h11.Event] = [head]
        if body := self._body.buffered:
            events.append(h11.Data(data=body))
        # A minion that closed the connection may have sent a response before.
        with contextlib.suppress(ConnectionError):
            await self._connection.send(*events, h11.EndOfMessage())
        return await self._receive_response()

    async def _stream(self, head: h11.Request) -> claims.StoredAnswer | None:
        upload_task = asyncio.ensure_future(self._upload(head))
        response_task = asyncio.ensure_future(self._receive_response())
        try:
            await asyncio.wait({upload_task, response_task}, return_when=asyncio.FIRST_COMPLETED)
            if not response_task.done():
                await upload_task
            # The response may be complete before the upload is; the rest of the body is dropped.
            return await response_task
        finally:
            for task in (upload_task, response_task):
                task.cancel()
            await asyncio.gather(upload_task, response_task, return_exceptions=True)

    async def _upload(self, head: h11.Request) -> None:
        await self._send(head)
        async for chunk in self._body.iterate_chunks():
            await self._send(h11.Data(data=chunk))
            if not self._body.is_complete:
                self._cancel_scope.timeout_kind = exceptions.ErrorKind.BODY_TIMEOUT
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        self._cancel_scope.timeout_kind = exceptions.ErrorKind.MINION_TIMEOUT
        # A minion that closed the connection may have sent a response, which takes precedence.
        with contextlib.suppress(ConnectionError):
            await self._connection.send(event)

    async def _receive_response(self) -> claims.StoredAnswer | None:
        head = await connections.receive_response_head(
            self._connection, self._record, self._request.method
        )
        try:
            if self._request.needs_claim:
                return await self._buffer_response(head)
            await self._relay(head)
            return None
        except h11.RemoteProtocolError as error:
            raise exceptions.RequestError(
                exceptions.ErrorKind.MINION_CUT, f"{self._record.minion}: {error}"
            ) from error

    async def _relay(self, head: h11.Response) -> None:
        headers = requests.strip_hop_headers(head.headers.raw_items())
        # A response of one chunk is written at once; larger ones are streamed.
        body = self._connection.iterate_body()
        first_chunk = await anext(body, None)
        second_chunk = await anext(body, None) if first_chunk is not None else None
        if second_chunk is None:
            await self._write_to_caller(
                self._exchange.start_response(head.status_code, headers, first_chunk or b"")
            )
            return
        await self._write_to_caller(self._exchange.start_response(head.status_code, headers))
        await self._write_to_caller(self._exchange.write(first_chunk or b""))
        await self._write_to_caller(self._exchange.write(second_chunk))
        async for chunk in body:
            await self._write_to_caller(self._exchange.write(chunk))
        await self._write_to_caller(self._exchange.end())

    async def _buffer_response(self, head: h11.Response) -> claims.StoredAnswer | None:
        # A response to be stored is read completely before it is sent, so that neither a slow nor
        # a disconnected caller prevents storing it.
        headers = requests.strip_hop_headers(head.headers.raw_items())
        body = self._connection.iterate_body()
        chunks: list[bytes] = []
        received_bytes = 0
        async for chunk in body:
            chunks.append(chunk)
            received_bytes += len(chunk)
            if received_bytes > MAX_STORED_ANSWER_BYTES:
                break
        else:
            stored_headers = [
                (name, value) for name, value in headers if name.lower() not in _FRAMING_HEADERS
            ]
            return claims.StoredAnswer(
                status=head.status_code, headers=tuple(stored_headers), body=b"".join(chunks)
            )
        await self._write_to_caller(self._exchange.start_response(head.status_code, headers))
        for chunk in chunks:
            await self._write_to_caller(self._exchange.write(chunk))
        async for chunk in body:
            await self._write_to_caller(self._exchange.write(chunk))
        await self._write_to_caller(self._exchange.end())
        return None

    async def _write_to_caller(self, write: collections.abc.Awaitable[None]) -> None:
        try:
            await write
        except ConnectionError as error:
            raise exceptions.RequestError(exceptions.ErrorKind.CALLER_GONE, str(error)) from error

    def _make_head(self) -> h11.Request:
        request = self._request
        remaining_s = request.deadline_s - asyncio.get_running_loop().time()
        headers = [
            *request.headers,
            (b"nutmegshelf-request", request.id.encode()),
            (b"request-timeout-ms", str(max(1, int(remaining_s * 1000))).encode()),
        ]
        if not any(name.lower() == b"host" for name, _ in request.headers):
            # HTTP/1.0 requests may lack a Host header.
            headers.append((b"host", request.service_name.encode()))
        if traceparent := telemetry.get_traceparent() or self._traceparent:
            headers.append((b"traceparent", traceparent.encode()))
        return h11.Request(method=request.method, target=request.target, headers=headers)
