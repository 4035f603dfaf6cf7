"""Listen for requests and hand each one to a handler."""

import asyncio
import collections.abc
import dataclasses

import h11

from nutmegshelf_http import channel


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound how long a connection may take for a request's head."""

    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Exchange:
    """Carry one request and its answer."""

    def __init__(
        self,
        link: channel.Channel,
        request: h11.Request,
        closing: collections.abc.Callable[[], bool],
    ) -> None:
        self.link = link
        self.request = request
        self.started = False
        self._closing = closing

    @property
    def method(self) -> str:
        """Give the request's method."""
        return self.request.method.decode("ascii")

    @property
    def target(self) -> str:
        """Give the request's target as it was sent."""
        return self.request.target.decode("ascii")

    def header(self, name: bytes) -> bytes | None:
        """Give a request header's value by its lower-case name."""
        return next((value for key, value in self.request.headers if key == name), None)

    async def respond(self, status: int, headers: channel.Headers, body: bytes = b"") -> None:
        """Send a whole answer."""
        await self.start(status, [*headers, (b"content-length", str(len(body)).encode())], body)

    async def start(
        self, status: int, headers: channel.Headers, whole: bytes | None = None
    ) -> None:
        """Send the answer's head, and its whole body where that is known."""
        self.started = True
        if self._closing() or self.link.state.their_state is not h11.DONE:
            # The rest of the request won't be read, so the caller must not reuse the connection.
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=headers)
        if whole is None:
            await self.link.send(head)
        elif whole and self.method != "HEAD":
            await self.link.send(head, h11.Data(data=whole), h11.EndOfMessage())
        else:
            await self.link.send(head, h11.EndOfMessage())

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.link.send(h11.Data(data=data))

    async def end(self) -> None:
        """Send the end of the body."""
        await self.link.send(h11.EndOfMessage())


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]
BadHead = collections.abc.Callable[[int, str], tuple[int, channel.Headers, bytes]]


def _has_body(request: h11.Request) -> bool:
    framing = dict(request.headers)
    return b"transfer-encoding" in framing or framing.get(b"content-length", b"0") != b"0"


def _plain_bad_head(status: int, detail: str) -> tuple[int, channel.Headers, bytes]:
    return status, [(b"content-type", b"text/plain")], detail.encode()


class Server:
    """Own a listening socket and the tasks of its connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        bad_head: BadHead = _plain_bad_head,
    ) -> None:
        self._handler = handler
        self._limits = limits or Limits()
        self._bad_head = bad_head
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None
        self._closing = False
        self.in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self, host: str, port: int) -> int:
        """Listen and give the port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._make_protocol, host, port, backlog=1024)
        return int(self._listener.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Take no new connections; end each one after its running request."""
        self._closing = True
        if self._listener is not None:
            self._listener.close()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def close(self) -> None:
        """End all connections at once."""
        self.stop_listening()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _make_protocol(self) -> channel.WatchedProtocol:
        protocol = channel.WatchedProtocol(asyncio.StreamReader())
        protocol.on_connected = self._connected
        return protocol

    def _connected(self, protocol: channel.WatchedProtocol) -> None:
        assert protocol.writer is not None
        link = channel.Channel(h11.SERVER, protocol.reader, protocol.writer, protocol.gone)
        task = asyncio.ensure_future(self._serve(link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: channel.Channel) -> None:
        try:
            while await self._serve_one(link):
                link.start_next()
            link.close()
        except (h11.ProtocolError, ConnectionError, TimeoutError):
            link.abort()
        except BaseException:
            link.abort()
            raise

    async def _serve_one(self, link: channel.Channel) -> bool:
        try:
            request = await self._read_head(link)
        except (h11.RemoteProtocolError, TimeoutError) as error:
            await self._answer_bad_head(link, error)
            return False
        if request is None:
            return False
        self.in_progress += 1
        self._idle.clear()
        try:
            await self._handler(Exchange(link, request, lambda: self._closing))
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
        return link.is_reusable() and not self._closing

    async def _read_head(self, link: channel.Channel) -> h11.Request | None:
        # An idle connection may wait long for its next request, but a head that has begun
        # must come soon: a slow head would hold the connection for nothing.
        if not link.state.trailing_data[0]:
            try:
                async with asyncio.timeout(self._limits.idle_timeout_s):
                    first = await link.reader.read(channel.MAX_HEAD_BYTES)
            except TimeoutError:
                return None
            if not first:
                return None
            link.state.receive_data(first)
        async with asyncio.timeout(self._limits.head_timeout_s):
            event = await link.receive()
        if not isinstance(event, h11.Request):
            return None
        if not _has_body(event):
            await link.receive()
        return event

    async def _answer_bad_head(self, link: channel.Channel, error: Exception) -> None:
        if link.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = getattr(error, "error_status_hint", 408)
        code, headers, body = self._bad_head(status, str(error) or "the head came too slowly")
        head = h11.Response(
            status_code=code,
            headers=[
                *headers,
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ],
        )
        await link.send(head, h11.Data(data=body), h11.EndOfMessage())
