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
    began_s: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Give a header's value by its lower-case name."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class AnswerTooLarge(Exception):
    """Report that an answer is larger than its reader wanted; the rest of it is not read."""


@dataclasses.dataclass(slots=True)
class Transfer:
    """Follow one answer while it comes; its size may not be announced."""

    on_progress: collections.abc.Callable[[], None] = lambda: None
    most_bytes: int = _MAX_ANSWER_BYTES
    began_s: float | None = None
    received_bytes: int = 0
    announced_bytes: int | None = None

    def __str__(self) -> str:
        total = "unknown" if self.announced_bytes is None else str(self.announced_bytes)
        return f"{self.received_bytes} of {total} bytes received"

    def begin(self, head: h11.Response) -> None:
        """Take the head of the answer."""
        sizes = (value for name, value in head.headers if name == b"content-length")
        self.announced_bytes = next(map(int, sizes), None)
        self.began_s = asyncio.get_running_loop().time()
        self._check_size(self.announced_bytes or 0)
        self.on_progress()

    def take(self, part: bytes) -> None:
        """Count a part of the body."""
        self.received_bytes += len(part)
        self._check_size(self.received_bytes)
        self.on_progress()

    def _check_size(self, size_bytes: int) -> None:
        if size_bytes > self.most_bytes:
            raise AnswerTooLarge(f"{size_bytes} bytes, {self.most_bytes} at most")


async def open_channel(host: str, port: int) -> channel.Channel:
    """Connect; raises OSError where the server can't be reached."""
    loop = asyncio.get_running_loop()
    _, carrier = await loop.create_connection(stream.Stream, host, port)
    return channel.Channel(h11.CLIENT, carrier)


async def receive_head(link: channel.Channel) -> h11.Response:
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
        limit_s: float | None = None,
        transfer: Transfer | None = None,
    ) -> Response:
        """Send a request and read its whole answer.

        Raises OSError, h11.ProtocolError, or AnswerTooLarge. The limit is for the answer to begin;
        past it, TimeoutError is raised when no more of it comes. How long the rest takes depends on
        its size, and asking again from the start would not make it shorter.
        """
        transfer = transfer if transfer is not None else Transfer()
        if limit_s is None:
            return await self._request(method, target, body, headers, transfer)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limit_s + len(body) / _LEAST_SENT_BYTES_S) as limited:
            transfer.on_progress = lambda: limited.reschedule(loop.time() + _PART_LIMIT_S)
            return await self._request(method, target, body, headers, transfer)

    async def _request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: collections.abc.Iterable[tuple[bytes, bytes]],
        transfer: Transfer,
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
            answer = await receive_head(link)
            transfer.begin(answer)
            data = await link.read_body(_MAX_ANSWER_BYTES, transfer.take)
        except BaseException:
            link.abort()
            raise
        if link.is_reusable():
            link.start_next()
            self._idle.append(link)
        else:
            link.close()
        return Response(answer.status_code, list(answer.headers), data, transfer.began_s or 0.0)

    async def _checkout(self) -> channel.Channel:
        while self._idle:
            link = self._idle.pop()
            if not link.gone.is_set():
                return link
            link.close()
        return await open_channel(self._host, self._port)

    def close(self) -> None:
        """End all idle connections."""
        for link in self._idle:
            link.abort()
        self._idle.clear()
