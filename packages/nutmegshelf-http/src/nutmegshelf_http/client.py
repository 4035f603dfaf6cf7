"""Open connections to servers and send whole requests."""

import asyncio
import collections.abc
import dataclasses

import h11

from nutmegshelf_http import channel, stream

_MAX_ANSWER_BYTES = 256 * 1024 * 1024
# Once an answer has begun, each further part of it may take this long; a link whose packets wait
# longer is taken as broken.
_PART_LIMIT_S = 0.6
# What a slow link, shared with other calls, carries at least: a request may take that much longer.
_LEAST_SENT_BYTES_S = 250_000


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Hold a whole answer, and when it began by the loop's clock."""

    status: int
    headers: channel.Headers
    body: bytes
    head_received_s: float = 0.0

    def get_header(self, name: bytes) -> bytes | None:
        """Give a header's value by its lower-case name."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class ResponseTooLarge(Exception):
    """Report that an answer is larger than its reader wanted; the rest of it is not read."""


@dataclasses.dataclass(slots=True)
class ResponseProgress:
    """Follow one answer while it comes; its size may not be announced."""

    on_progress: collections.abc.Callable[[], None] = lambda: None
    max_bytes: int = _MAX_ANSWER_BYTES
    head_received_s: float | None = None
    received_bytes: int = 0
    content_length: int | None = None

    def __str__(self) -> str:
        total = "unknown" if self.content_length is None else str(self.content_length)
        return f"{self.received_bytes} of {total} bytes received"

    def record_head(self, head: h11.Response) -> None:
        """Take the head of the answer."""
        sizes = (value for name, value in head.headers if name == b"content-length")
        self.content_length = next(map(int, sizes), None)
        self.head_received_s = asyncio.get_running_loop().time()
        self._check_size(self.content_length or 0)
        self.on_progress()

    def record_chunk(self, part: bytes) -> None:
        """Count a part of the body."""
        self.received_bytes += len(part)
        self._check_size(self.received_bytes)
        self.on_progress()

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self.max_bytes:
            raise ResponseTooLarge(f"{size_bytes} bytes, {self.max_bytes} at most")


async def open_channel(host: str, port: int) -> channel.Channel:
    """Connect; raises OSError where the server can't be reached."""
    loop = asyncio.get_running_loop()
    _, carrier = await loop.create_connection(stream.Stream, host, port)
    return channel.Channel(h11.CLIENT, carrier)


async def receive_response_head(link: channel.Channel) -> h11.Response:
    """Read the answer's head, passing over informational answers."""
    while True:
        event = await link.receive()
        match event:
            case h11.Response():
                return event
            case h11.InformationalResponse():
                continue
            case _:
                raise h11.RemoteProtocolError("the connection ended before an answer")


class Client:
    """Keep connections to one server and send whole requests over them."""

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
        """Send a request and read its whole answer.

        Raises OSError, h11.ProtocolError, or ResponseTooLarge. The time limit is for the head;
        past it, TimeoutError is raised when no more of it comes. How long the rest takes depends on
        its size, and asking again from the start would not make it shorter.
        """
        progress = progress if progress is not None else ResponseProgress()
        if timeout_s is None:
            return await self._request(method, target, body, headers, progress)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s + len(body) / _LEAST_SENT_BYTES_S) as limited:
            progress.on_progress = lambda: limited.reschedule(loop.time() + _PART_LIMIT_S)
            return await self._request(method, target, body, headers, progress)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: collections.abc.Iterable[tuple[bytes, bytes]],
        progress: ResponseProgress,
    ) -> Response:
        link = await self._checkout()
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
            parts: list[h11.Event] = [head]
            if body:
                parts.append(h11.Data(data=body))
            await link.send(*parts, h11.EndOfMessage())
            answer = await receive_response_head(link)
            progress.record_head(answer)
            data = await link.read_body(_MAX_ANSWER_BYTES, progress.record_chunk)
        except BaseException:
            link.abort()
            raise
        if link.is_reusable():
            link.start_next_cycle()
            self._idle.append(link)
        else:
            link.close()
        return Response(
            answer.status_code, list(answer.headers), data, progress.head_received_s or 0.0
        )

    async def _checkout(self) -> channel.Channel:
        while self._idle:
            link = self._idle.pop()
            if not link.peer_closed.is_set():
                return link
            link.close()
        return await open_channel(self._host, self._port)

    def close(self) -> None:
        """End all idle connections."""
        for link in self._idle:
            link.abort()
        self._idle.clear()
