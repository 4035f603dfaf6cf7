"""Accept connections and pass each request to a handler."""

import asyncio
import collections.abc
import dataclasses
import enum

import h11

from nutmegshelf_http import channel, stream


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Timeouts and sizes for each connection, and the number of connections.

    Connections beyond max_connections get one response each, which the handler can make without
    serving the request; those beyond max_excess_connections more are closed at once.
    """

    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 75.0
    check_interval_s: float = 0.5
    max_connections: int = 4096
    max_excess_connections: int = 256
    excess_head_timeout_s: float = 1.0
    max_head_bytes: int = channel.MAX_HEAD_BYTES


class Exchange:
    """One request and its response."""

    def __init__(
        self,
        connection: channel.Channel,
        request: h11.Request,
        is_closing: collections.abc.Callable[[], bool],
        is_over_limit: bool = False,
    ) -> None:
        self.connection = connection
        self.request = request
        # The connection is beyond the limit: the handler refuses the request, without its body.
        self.is_over_limit = is_over_limit
        self.response_started = False
        self._is_closing = is_closing
        self._headers_by_name: dict[bytes, bytes] | None = None

    @property
    def method(self) -> str:
        """Return the request method as text."""
        return self.request.method.decode("ascii")

    @property
    def target(self) -> str:
        """Return the request target as it was sent, without decoding."""
        return self.request.target.decode("ascii")

    def get_header(self, name: bytes) -> bytes | None:
        """Return the value of a request header; the name must be in lower case."""
        if self._headers_by_name is None:
            # Iterates in reverse order, so that the first of repeated headers wins.
            raw_headers = self.request.headers.raw_items()
            self._headers_by_name = {name.lower(): value for name, value in reversed(raw_headers)}
        return self._headers_by_name.get(name)

    @property
    def has_body(self) -> bool:
        """Return whether the request head announces a body."""
        if self.get_header(b"transfer-encoding") is not None:
            return True
        return self.get_header(b"content-length") not in (None, b"0")

    async def respond(self, status: int, headers: channel.Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        await self.start_response(
            status, [*headers, (b"content-length", str(len(body)).encode())], body
        )

    async def start_response(
        self, status: int, headers: channel.Headers, body: bytes | None = None
    ) -> None:
        """Send the response head, together with the whole body if it is given."""
        self.response_started = True
        if (
            self._is_closing()
            or self.is_over_limit
            or self.connection.state.their_state is not h11.DONE
        ):
            # The rest of the request is not read, so that the client can't reuse the connection.
            headers = [*headers, (b"connection", b"close")]
        head = h11.Response(status_code=status, headers=headers)
        if body is None:
            await self.connection.send(head)
        elif body and self.method != "HEAD":
            await self.connection.send(head, h11.Data(data=body), h11.EndOfMessage())
        else:
            await self.connection.send(head, h11.EndOfMessage())

    async def write(self, data: bytes) -> None:
        """Send a chunk of the response body."""
        await self.connection.send(h11.Data(data=data))

    async def end(self) -> None:
        """Finish the response body."""
        await self.connection.send(h11.EndOfMessage())


class FaultKind(enum.Enum):
    """Why a server ended a connection or request by itself."""

    # The connection is closed without a response.
    TOO_MANY_CONNECTIONS = "too-many-connections"
    BAD_HEAD = "bad-head"
    SLOW_HEAD = "slow-head"
    SLOW_BODY = "slow-body"
    # The connection failed within a request; it is closed without a response of the server.
    BROKEN_REQUEST = "broken-request"
    HANDLER_FAILED = "handler-failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A connection or request that the server ended in place of the handler.

    The status is None where the server sent no response, the exchange where no head was read.
    """

    kind: FaultKind
    status: int | None
    detail: str
    exchange: Exchange | None = None
    error: Exception | None = None


Handler = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]
ErrorResponder = collections.abc.Callable[[Fault], tuple[int, channel.Headers, bytes]]
FaultCallback = collections.abc.Callable[[Fault], None]


def _count_head_bytes(request: h11.Request) -> int:
    header_bytes = sum(len(name) + len(value) + 4 for name, value in request.headers.raw_items())
    return len(request.method) + len(request.target) + header_bytes


_TOO_MANY_CONNECTIONS = Fault(FaultKind.TOO_MANY_CONNECTIONS, None, "closed without a response")


def _plain_error(fault: Fault) -> tuple[int, channel.Headers, bytes]:
    return fault.status or 500, [(b"content-type", b"text/plain")], fault.detail.encode()


def _ignore_fault(fault: Fault) -> None:
    pass


class Server:
    """An HTTP server: a listening socket and one task for each connection."""

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        make_error: ErrorResponder = _plain_error,
        on_fault: FaultCallback = _ignore_fault,
    ) -> None:
        self._handler = handler
        self._limits = limits or Limits()
        self._make_error = make_error
        self._on_fault = on_fault
        self._connections: dict[asyncio.Task[None], channel.Channel] = {}
        self._listener: asyncio.Server | None = None
        self._read_check_timer: asyncio.TimerHandle | None = None
        self._closing = False
        self.active_requests = 0
        self._idle_event = asyncio.Event()
        self._idle_event.set()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def set_limits(self, limits: Limits) -> None:
        """Set the limits that later requests and connections use."""
        self._limits = limits

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the bound port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: stream.Stream(self._handle_connection), host, port, backlog=1024
        )
        self._check_read_timeouts()
        return int(self._listener.sockets[0].getsockname()[1])

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response, but keep accepting connections."""
        self._closing = True

    def stop_listening(self) -> None:
        """Stop accepting connections; close each open one after its current request."""
        self.disable_keep_alive()
        if self._listener is not None:
            self._listener.close()

    async def wait_idle(self) -> None:
        """Wait until no request is being handled."""
        await self._idle_event.wait()

    async def close(self) -> None:
        """Close all connections at once and wait until they are closed."""
        self.stop_listening()
        if self._read_check_timer is not None:
            self._read_check_timer.cancel()
        connections = dict(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
        for connection in connections.values():
            # A task that is cancelled before it starts doesn't close its connection.
            connection.abort()
            await connection.wait_closed()

    def _check_read_timeouts(self) -> None:
        # One timer for all connections is cheaper than a timer for each read.
        loop = asyncio.get_running_loop()
        for connection in self._connections.values():
            connection.check_read_timeout(loop.time())
        self._read_check_timer = loop.call_later(
            self._limits.check_interval_s, self._check_read_timeouts
        )

    def _handle_connection(self, byte_stream: stream.Stream) -> None:
        excess = len(self._connections) - self._limits.max_connections
        if excess >= self._limits.max_excess_connections:
            # Without a response, as what it asks for is not known.
            byte_stream.transport.abort()
            self._on_fault(_TOO_MANY_CONNECTIONS)
            return
        connection = channel.Channel(h11.SERVER, byte_stream)
        task = asyncio.ensure_future(self._serve(connection, is_over_limit=excess >= 0))
        self._connections[task] = connection
        task.add_done_callback(self._connections.pop)

    async def _serve(self, connection: channel.Channel, is_over_limit: bool) -> None:
        exchange: Exchange | None = None
        try:
            while exchange := await self._read_head(connection, is_over_limit):
                if not await self._handle(exchange):
                    break
                connection.start_next_cycle()
                exchange = None
            if exchange is None and is_over_limit:
                self._on_fault(_TOO_MANY_CONNECTIONS)
            await self._finish_connection(connection)
        except stream.ReadTimeout as error:
            kind = FaultKind.SLOW_BODY if exchange else FaultKind.SLOW_HEAD
            await self._end_with_error(connection, Fault(kind, 408, str(error), exchange))
        except (h11.RemoteProtocolError, OSError, TimeoutError) as error:
            if exchange is None and isinstance(error, h11.RemoteProtocolError):
                status = error.error_status_hint
                fault = Fault(FaultKind.BAD_HEAD, status, str(error))
                await self._end_with_error(connection, fault)
                return
            self._on_fault(Fault(FaultKind.BROKEN_REQUEST, None, repr(error), exchange))
            connection.abort()
        except Exception as error:
            fault = Fault(FaultKind.HANDLER_FAILED, 500, "internal error", exchange, error)
            await self._end_with_error(connection, fault)
        except BaseException:
            connection.abort()
            raise

    async def _finish_connection(self, connection: channel.Channel) -> None:
        if (
            connection.state.their_state is h11.SEND_BODY
            or connection.state.their_state is h11.ERROR
        ):
            await connection.drain_and_close()
        else:
            connection.close()

    async def _handle(self, exchange: Exchange) -> bool:
        """Have a request handled; return whether another one may follow on its connection."""
        self.active_requests += 1
        self._idle_event.clear()
        try:
            await self._handler(exchange)
        finally:
            self.active_requests -= 1
            if not self.active_requests:
                self._idle_event.set()
        may_continue = not self._closing and not exchange.is_over_limit
        return may_continue and exchange.connection.is_reusable()

    async def _read_head(self, connection: channel.Channel, is_over_limit: bool) -> Exchange | None:
        limits = self._limits
        idle_timeout_s, head_timeout_s = limits.idle_timeout_s, limits.head_timeout_s
        if is_over_limit:
            idle_timeout_s = min(idle_timeout_s, limits.excess_head_timeout_s)
            head_timeout_s = min(head_timeout_s, limits.excess_head_timeout_s)
        # An idle connection may wait long for its next request, but a head that has started has
        # its own, shorter deadline: a client that sends it slowly would occupy a connection.
        if not connection.state.trailing_data[0]:
            connection.set_read_timeout(idle_timeout_s)
            try:
                data = await connection.read()
            except h11.RemoteProtocolError:
                # It timed out or was closed without a request.
                return None
            if not data:
                return None
            connection.state.receive_data(data)
        connection.set_read_deadline(head_timeout_s)
        event = await connection.receive()
        if not isinstance(event, h11.Request):
            return None
        if _count_head_bytes(event) > limits.max_head_bytes:
            raise h11.RemoteProtocolError("the head is too large", error_status_hint=431)
        connection.set_read_timeout(limits.body_timeout_s)
        exchange = Exchange(connection, event, lambda: self._closing, is_over_limit)
        if not exchange.has_body:
            await connection.receive()
        return exchange

    async def _end_with_error(self, connection: channel.Channel, fault: Fault) -> None:
        """Report a fault and respond with its status, unless a response was begun already."""
        if connection.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._on_fault(dataclasses.replace(fault, status=None))
            connection.abort()
            return
        code, headers, body = self._make_error(fault)
        self._on_fault(dataclasses.replace(fault, status=code))
        head = h11.Response(
            status_code=code,
            headers=[
                *headers,
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ],
        )
        try:
            await connection.send(head, h11.Data(data=body), h11.EndOfMessage())
            await connection.drain_and_close()
        except (h11.ProtocolError, OSError):
            connection.abort()
