"""Read a caller's body: its first part ahead of the send, the rest while it is sent."""

import collections.abc

import h11
from nutmegshelf import exceptions
from nutmegshelf_http import server, stream

from nutmegshelf_entry import requests

# So much fits into a connection's buffers, and most bodies are smaller.
PREFETCH_BYTES = 32 * 1024
MAX_KEYED_BODY_BYTES = 1024 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class BufferBudget:
    """Bound what all bodies that were read ahead take together."""

    def __init__(self, limit_bytes: int) -> None:
        self._left_bytes = limit_bytes

    def reserve(self, size_bytes: int) -> None:
        """Take a part; raises RequestError not-run where none is left."""
        if size_bytes > self._left_bytes:
            raise exceptions.RequestError(
                exceptions.ErrorKind.OVERLOADED, "too many bodies are being read"
            )
        self._left_bytes -= size_bytes

    def release(self, size_bytes: int) -> None:
        """Free what was taken."""
        self._left_bytes += size_bytes


class RequestBody:
    """Own what was read of one request's body."""

    def __init__(
        self, exchange: server.Exchange, request: requests.Request, budget: BufferBudget
    ) -> None:
        self._link = exchange.connection
        self._request = request
        self._budget = budget
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self.is_complete = not request.has_body
        self.is_replayable = True

    @property
    def buffered(self) -> bytes:
        """Give what was read ahead."""
        return b"".join(self._parts)

    async def prefetch(self) -> None:
        """Read ahead as much as the request needs before it may be sent; raises RequestError."""
        limit_bytes = MAX_KEYED_BODY_BYTES if self._request.needs_claim else PREFETCH_BYTES
        if self._request.needs_claim and (self._request.body_bytes or 0) > limit_bytes:
            raise _too_large(limit_bytes)
        while not self.is_complete and self._received_bytes < limit_bytes:
            if part := await self._receive():
                self._budget.reserve(len(part))
                self._parts.append(part)
        if self._request.needs_claim and self._received_bytes > limit_bytes:
            raise _too_large(limit_bytes)
        if self._request.needs_claim and not self.is_complete:
            await self._receive_end(limit_bytes)

    async def iterate_chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Give the whole body; what is read beyond the prefetch can't be given again."""
        for part in self._parts:
            yield part
        while not self.is_complete:
            self.is_replayable = False
            if part := await self._receive():
                yield part

    def close(self) -> None:
        """Drop what was read ahead."""
        self._budget.release(sum(len(part) for part in self._parts))
        self._parts.clear()

    async def _receive_end(self, limit_bytes: int) -> None:
        if await self._receive():
            raise _too_large(limit_bytes)

    async def _receive(self) -> bytes:
        if self._link.state.they_are_waiting_for_100_continue:
            await self._link.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            event = await self._link.receive()
        except stream.ReadTimeout as error:
            raise exceptions.RequestError(exceptions.ErrorKind.BODY_TIMEOUT) from error
        except h11.RemoteProtocolError as error:
            is_gone = self._link.peer_closed.is_set()
            kind = exceptions.ErrorKind.CALLER_GONE if is_gone else exceptions.ErrorKind.BAD_REQUEST
            raise exceptions.RequestError(kind, str(error)) from error
        match event:
            case h11.Data(data=data):
                self._received_bytes += len(data)
                if self._received_bytes > self._request.rule.max_body_bytes:
                    raise _too_large(self._request.rule.max_body_bytes)
                return bytes(data)
            case h11.EndOfMessage():
                self.is_complete = True
                return b""
            case _:
                raise exceptions.RequestError(exceptions.ErrorKind.CALLER_GONE)


def _too_large(limit_bytes: int) -> exceptions.RequestError:
    return exceptions.RequestError(
        exceptions.ErrorKind.BODY_TOO_LARGE, f"the limit is {limit_bytes} bytes"
    )
