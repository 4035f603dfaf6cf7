"""Open client connections and send requests."""

import asyncio
import collections.abc
import dataclasses

import h11

from nutmegshelf_http import channel, stream

_MAX_RESPONSE_BYTES = 256 * 1024 * 1024
# The timeout of each chunk once the head has arrived; a connection that delays packets for longer
# is treated as broken.
_CHUNK_TIMEOUT_S = 0.6
# The least send rate of a slow connection that other requests share; a request's timeout grows by
# the time that its body takes at this rate.
_MIN_SEND_RATE_BYTES_S = 250_000


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response, with the event loop times of its request and of its head's arrival."""

    status: int
    headers: channel.Headers
    body: bytes
    sent_s: float = 0.0
    head_received_s: float = 0.0

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name must be in lower case."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class ResponseTooLarge(Exception):
    """A response is larger than the caller accepts; the rest of it is not read."""


@dataclasses.dataclass(slots=True)
class ResponseProgress:
    """The progress of one response; content_length is None if the head doesn't announce it."""

    on_progress: collections.abc.Callable[[], None] = lambda: None
    max_bytes: int = _MAX_RESPONSE_BYTES
    # Whether the request has a connection, so that the server may receive it.
    is_connected: bool = False
    head_received_s: float | None = None
    received_bytes: int = 0
    content_length: int | None = None

    def __str__(self) -> str:
        total = "unknown" if self.content_length is None else str(self.content_length)
        return f"{self.received_bytes} of {total} bytes received"

    def record_head(self, head: h11.Response) -> None:
        """Record the head's arrival and content length; raises ResponseTooLarge."""
        lengths = (value for name, value in head.headers if name == b"content-length")
        self.content_length = next(map(int, lengths), None)
        self.head_received_s = asyncio.get_running_loop().time()
        self._check_size(self.content_length or 0)
        self.on_progress()

    def record_chunk(self, chunk: bytes) -> None:
        """Count a chunk of the body; raises ResponseTooLarge."""
        self.received_bytes += len(chunk)
        self._check_size(self.received_bytes)
        self.on_progress()

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self.max_bytes:
            raise ResponseTooLarge(f"{size_bytes} bytes, {self.max_bytes} at most")


async def open_channel(host: str, port: int) -> channel.Channel:
    """Open a connection; raises OSError if the server is unreachable."""
    loop = asyncio.get_running_loop()
    _, byte_stream = await loop.create_connection(stream.Stream, host, port)
    return channel.Channel(h11.CLIENT, byte_stream)


async def receive_response_head(connection: channel.Channel) -> h11.Response:
    """Read the head of the final response, skipping informational (1xx) responses."""
    while True:
        event = await connection.receive()
        match event:
            case h11.Response():
                return event
            case h11.InformationalResponse():
                continue
            case _:
                raise h11.RemoteProtocolError("the connection ended before an answer")


class Client:
    """An HTTP client for one server that keeps idle connections open for reuse."""

    def __init__(self, host: str, port: int, headers: channel.Headers | None = None) -> None:
        self._host = host
        self._port = port
        self._headers = headers or []
        self._idle: list[channel.Channel] = []

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: collections.abc.Iterable[tuple[bytes, bytes]] = (),
        *,
        timeout_s: float | None = None,
        progress: ResponseProgress | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        Raises OSError, h11.ProtocolError, or ResponseTooLarge. With timeout_s, TimeoutError is
        raised if the head doesn't arrive within it or if a chunk after the head takes too long.
        The body as a whole has no timeout: its duration depends on its size, and a retry would
        not shorten it.
        """
        progress = progress if progress is not None else ResponseProgress()
        if timeout_s is None:
            return await self._request(method, target, body, headers, progress)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s + len(body) / _MIN_SEND_RATE_BYTES_S) as timeout:
            progress.on_progress = lambda: timeout.reschedule(loop.time() + _CHUNK_TIMEOUT_S)
            return await self._request(method, target, body, headers, progress)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: collections.abc.Iterable[tuple[bytes, bytes]],
        progress: ResponseProgress,
    ) -> Response:
        connection = await self._checkout()
        progress.is_connected = True
        sent_s = asyncio.get_running_loop().time()
        try:
            head = h11.Request(
                method=method,
                target=target,
                headers=[
                    (b"host", f"{self._host}:{self._port}".encode()),
                    (b"content-length", str(len(body)).encode()),
                    *self._headers,
                    *headers,
                ],
            )
            events: list[h11.Event] = [head]
            if body:
                events.append(h11.Data(data=body))
            await connection.send(*events, h11.EndOfMessage())
            response_head = await receive_response_head(connection)
            progress.record_head(response_head)
            data = await connection.read_body(_MAX_RESPONSE_BYTES, progress.record_chunk)
        except BaseException:
            connection.abort()
            raise
        if connection.is_reusable() and connection.is_idle():
            connection.start_next_cycle()
            self._idle.append(connection)
        else:
            connection.close()
        return Response(
            response_head.status_code,
            list(response_head.headers),
            data,
            sent_s,
            progress.head_received_s or 0.0,
        )

    async def _checkout(self) -> channel.Channel:
        while self._idle:
            connection = self._idle.pop()
            # Unread data would be taken for the response to the next request.
            if connection.is_idle():
                return connection
            connection.close()
        return await open_channel(self._host, self._port)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
