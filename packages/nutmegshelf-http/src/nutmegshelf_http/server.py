"""Listen for requests and hand each one to a handler."""

import asyncio
import collections.abc
import dataclasses

import h11

from nutmegshelf_http import channel, stream


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound what a connection may take, and how many there are."""

    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 75.0
    check_interval_s: float = 0.5
    max_connections: int = 4096
    max_head_bytes: int = channel.MAX_HEAD_BYTES


class Exchange:
    """Carry one request and its answer."""

    def __init__(
        self,
        link: channel.Channel,
        request: h11.Request,
        closing: collections.abc.Callable[[], bool],
    ) -> None:
        self.connection = link
        self.request = request
        self.response_started = False
        self._closing = closing
        self._by_name: dict[bytes, bytes] | None = None

    @property
    def method(self) -> str:
        """Give the request's method."""
        return self.request.method.decode("ascii")

    @property
    def target(self) -> str:
        """Give the request's target as it was sent."""
        return self.request.target.decode("ascii")

    def get_header(self, name: bytes) -> bytes | None:
        """Give a request header's value by its lower-case name."""
        if self._by_name is None:
            # The first of several wins, as in the order that they came.
            raw = self.request.headers.raw_items()
            self._by_name = {name.lower(): value for name, value in reversed(raw)}
        return self._by_name.get(name)

    @property
    def has_body(self) -> bool:
        """Say whether the head announces a body."""
        if self.get_header(b"transfer-encoding") is not None:
            return True
        return self.get_header(b"content-length") not in (None, b"0")

    async def respond(self, status: int, headers: channel.Headers, body: bytes = b"") -> None:
        """Send a whole answer."""
        await self.start_response(
            status, [*headers, (b"content-length", str(len(body)).encode())], body
        )

    async def start_response(
        self, status: int, headers: channel.Headers, body: bytes | None = None
    ) -> None:
        """Send the answer's head, and its whole body where that is known."""
        self.response_started = True
        if self._closing() or self.connection.state.their_state is not h11.DONE:
            # The rest of the request won't be read, so the caller must not reuse the connection.
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=headers)
        if body is None:
            await self.connection.send(head)
        elif body and self.method != "HEAD":
            await self.connection.send(head, h11.Data(data=body), h11.EndOfMessage())
        else:
            await self.connection.send(head, h11.EndOfMessage())

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.connection.send(h11.Data(data=data))

    async def end(self) -> None:
        """Send the end of the body."""
        await self.connection.send(h11.EndOfMessage())


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]
ErrorResponder = collections.abc.Callable[[int, str], tuple[int, channel.Headers, bytes]]
ErrorCallback = collections.abc.Callable[[Exception], None]


def _head_bytes(request: h11.Request) -> int:
    lines = sum(len(name) + len(value) + 4 for name, value in request.headers.raw_items())
    return len(request.method) + len(request.target) + lines


def _plain_error(status: int, detail: str) -> tuple[int, channel.Headers, bytes]:
    return status, [(b"content-type", b"text/plain")], detail.encode()


def _ignore(error: Exception) -> None:
    pass


class Server:
    """Own a listening socket and the tasks of its connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        make_error: ErrorResponder = _plain_error,
        on_error: ErrorCallback = _ignore,
    ) -> None:
        self._handler = handler
        self._limits = limits or Limits()
        self._error_answer = make_error
        self._on_error = on_error
        self._links: dict[asyncio.Task[None], channel.Channel] = {}
        self._listener: asyncio.Server | None = None
        self._checks: asyncio.TimerHandle | None = None
        self._closing = False
        self.active_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def connection_count(self) -> int:
        """Count the open connections."""
        return len(self._links)

    def set_limits(self, limits: Limits) -> None:
        """Change the limits of what comes from now on."""
        self._limits = limits

    async def start(self, host: str, port: int) -> int:
        """Listen and give the port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: stream.Stream(self._connected), host, port, backlog=1024
        )
        self._check_reads()
        return int(self._listener.sockets[0].getsockname()[1])

    def disable_keep_alive(self) -> None:
        """Go on serving, but end each connection with its next answer."""
        self._closing = True

    def stop_listening(self) -> None:
        """Take no new connections; end each one after its running request."""
        self.disable_keep_alive()
        if self._listener is not None:
            self._listener.close()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def close(self) -> None:
        """End all connections at once and wait for their ends."""
        self.stop_listening()
        if self._checks is not None:
            self._checks.cancel()
        links = dict(self._links)
        for task in links:
            task.cancel()
        await asyncio.gather(*links, return_exceptions=True)
        for link in links.values():
            # A task that never began has not ended its connection.
            link.abort()
            await link.wait_closed()

    def _check_reads(self) -> None:
        # One timer for all connections costs less than one for each read.
        loop = asyncio.get_running_loop()
        for link in self._links.values():
            link.check_read_timeout(loop.time())
        self._checks = loop.call_later(self._limits.check_interval_s, self._check_reads)

    def _connected(self, carrier: stream.Stream) -> None:
        link = channel.Channel(h11.SERVER, carrier)
        task = asyncio.ensure_future(self._serve(link))
        self._links[task] = link
        task.add_done_callback(self._links.pop)

    async def _serve(self, link: channel.Channel) -> None:
        try:
            if len(self._links) > self._limits.max_connections:
                await self._answer_error(link, 503, "too many connections")
                return
            while await self._serve_one(link):
                link.start_next_cycle()
            await self._end(link)
        except stream.ReadTimeout as error:
            await self._answer_failure(link, 408, str(error))
        except (h11.RemoteProtocolError, OSError, TimeoutError):
            link.abort()
        except Exception as error:
            self._on_error(error)
            await self._answer_failure(link, 500, "internal error")
        except BaseException:
            link.abort()
            raise

    async def _end(self, link: channel.Channel) -> None:
        if link.state.their_state is h11.SEND_BODY or link.state.their_state is h11.ERROR:
            await link.drain_and_close()
        else:
            link.close()

    async def _serve_one(self, link: channel.Channel) -> bool:
        try:
            exchange = await self._read_head(link)
        except h11.RemoteProtocolError as error:
            await self._answer_error(link, error.error_status_hint, str(error))
            return False
        if exchange is None:
            return False
        self.active_requests += 1
        self._idle.clear()
        try:
            await self._handler(exchange)
        finally:
            self.active_requests -= 1
            if not self.active_requests:
                self._idle.set()
        return link.is_reusable() and not self._closing

    async def _read_head(self, link: channel.Channel) -> Exchange | None:
        # An idle connection may wait long for its next request, but a head that has begun
        # must come soon: a slow head would hold the connection for nothing.
        if not link.state.trailing_data[0]:
            link.set_read_timeout(self._limits.idle_timeout_s)
            try:
                first = await link.read()
            except stream.ReadTimeout:
                return None
            if not first:
                return None
            link.state.receive_data(first)
        link.set_read_deadline(self._limits.head_timeout_s)
        event = await link.receive()
        if not isinstance(event, h11.Request):
            return None
        if _head_bytes(event) > self._limits.max_head_bytes:
            raise h11.RemoteProtocolError("the head is too large", error_status_hint=431)
        link.set_read_timeout(self._limits.body_timeout_s)
        exchange = Exchange(link, event, lambda: self._closing)
        if not exchange.has_body:
            await link.receive()
        return exchange

    async def _answer_failure(self, link: channel.Channel, status: int, detail: str) -> None:
        try:
            await self._answer_error(link, status, detail)
        except (h11.ProtocolError, OSError):
            link.abort()

    async def _answer_error(self, link: channel.Channel, status: int, detail: str) -> None:
        if link.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            link.abort()
            return
        code, headers, body = self._error_answer(status, detail)
        head = h11.Response(
            status_code=code,
            headers=[
                *headers,
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ],
        )
        await link.send(head, h11.Data(data=body), h11.EndOfMessage())
        await link.drain_and_close()
