"""Read request bodies: a prefix before the request is sent, the rest while it is sent."""

import collections.abc

import h11
from nutmegshelf import exceptions
from nutmegshelf_http import server, stream

from nutmegshelf_entry import requests

# Fits into the buffers of a connection, and most bodies are smaller.
PREFETCH_BYTES = 32 * 1024
MAX_KEYED_BODY_BYTES = 1024 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class BufferBudget:
    """A limit on the total size of all buffered request bodies."""

    def __init__(self, limit_bytes: int) -> None:
        self._remaining_bytes = limit_bytes

    def reserve(self, size_bytes: int) -> None:
        """Reserve buffer space; raises RequestError with the outcome not-run if it is exhausted."""
        if size_bytes > self._remaining_bytes:
            raise exceptions.RequestError(
                exceptions.ErrorKind.OVERLOADED, "too many bodies are being read"
            )
        self._remaining_bytes -= size_bytes

    def release(self, size_bytes: int) -> None:
        """Release reserved buffer space."""
        self._remaining_bytes += size_bytes


class RequestBody:
    """The body of one request, which is buffered up to a limit."""

    def __init__(
        self, exchange: server.Exchange, request: requests.Request, budget: BufferBudget
    ) -> None:
        self._connection = exchange.connection
        self._request = request
        self._budget = budget
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self.is_complete = not request.has_body
        self.is_replayable = True

    @property
    def buffered(self) -> bytes:
        """Return the buffered prefix of the body."""
        return b"".join(self._chunks)

    async def prefetch(self) -> None:
        """Buffer what must be read before the request may be sent; raises RequestError."""
        limit_bytes = MAX_KEYED_BODY_BYTES if self._request.needs_claim else PREFETCH_BYTES
        if self._request.needs_claim and (self._request.body_bytes or 0) > limit_bytes:
            raise _make_too_large_error(limit_bytes)
        while not self.is_complete and self._received_bytes < limit_bytes:
            if chunk := await self._receive():
                self._budget.reserve(len(chunk))
                self._chunks.append(chunk)
        if self._request.needs_claim and self._received_bytes > limit_bytes:
            raise _make_too_large_error(limit_bytes)
        if self._request.needs_claim and not self.is_complete:
            await self._expect_end(limit_bytes)

    async def iterate_chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the whole body; once read past the buffered prefix, it can't be replayed."""
        for chunk in self._chunks:
            yield chunk
        while not self.is_complete:
            self.is_replayable = False
            if chunk := await self._receive():
                yield chunk

    def close(self) -> None:
        """Discard the buffered prefix and release its space."""
        self._budget.release(sum(len(chunk) for chunk in self._chunks))
        self._chunks.clear()

    async def _expect_end(self, limit_bytes: int) -> None:
        if await self._receive():
            raise _make_too_large_error(limit_bytes)

    async def _receive(self) -> bytes:
        if self._connection.state.they_are_waiting_for_100_continue:
            await self._connection.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            event = await self._connection.receive()
        except stream.ReadTimeout as error:
            raise exceptions.RequestError(exceptions.ErrorKind.BODY_TIMEOUT) from error
        except h11.RemoteProtocolError as error:
            is_disconnected = self._connection.peer_closed.is_set()
            kind = (
                exceptions.ErrorKind.CALLER_GONE
                if is_disconnected
                else exceptions.ErrorKind.BAD_REQUEST
            )
            raise exceptions.RequestError(kind, str(error)) from error
        match event:
            case h11.Data(data=data):
                self._received_bytes += len(data)
                if self._received_bytes > self._request.rule.max_body_bytes:
                    raise _make_too_large_error(self._request.rule.max_body_bytes)
                return bytes(data)
            case h11.EndOfMessage():
                self.is_complete = True
                return b""
            case _:
                raise exceptions.RequestError(exceptions.ErrorKind.CALLER_GONE)


def _make_too_large_error(limit_bytes: int) -> exceptions.RequestError:
    return exceptions.RequestError(
        exceptions.ErrorKind.BODY_TOO_LARGE, f"the limit is {limit_bytes} bytes"
    )
