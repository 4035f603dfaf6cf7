"""An in-memory network of hosts in simulated time, with pauses, kills, partitions and signals."""

import asyncio
import collections
import collections.abc
import contextlib
import contextvars
import dataclasses
import typing

from nutmegshelf_standins import clock

CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="outside")

_HIGH_WATER_BYTES = 64 * 1024
_FIRST_PORT = 20_000
_RECHECK_DELAY_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """Bytes sent from one host to another; data is None for the opening of a connection."""

    source: str
    target: str
    data: bytes | None


class DeliveryOutcome(typing.NamedTuple):
    """Whether a delivery reaches its target, and whether its connection is reset afterwards."""

    is_delivered: bool = True
    resets_connection: bool = False


Interceptor = collections.abc.Callable[[Delivery], DeliveryOutcome]


class _Transport(asyncio.Transport):
    """One end of a stream between two hosts."""

    def __init__(
        self,
        network: "Network",
        host: str,
        protocol: asyncio.Protocol,
        context: contextvars.Context,
    ) -> None:
        super().__init__()
        self.host = host
        self.protocol = protocol
        self.context = context
        self.peer: _Transport | None = None
        self._network = network
        self._received: collections.deque[bytes] = collections.deque()
        self._received_bytes = 0
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._is_closing = False
        self._is_lost = False

    def get_extra_info(self, name: str, default: typing.Any = None) -> typing.Any:
        return default

    def is_closing(self) -> bool:
        return self._is_closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = typing.cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def is_reading(self) -> bool:
        return not self._is_reading_paused

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.peer._received_bytes if self.peer else 0

    def pause_reading(self) -> None:
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        self._is_reading_paused = False
        self._network.call_soon(self, self._deliver_received)

    def can_write_eof(self) -> bool:
        return False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._is_closing or self.peer is None:
            return
        outcome = self._network.resolve_delivery(Delivery(self.host, self.peer.host, bytes(data)))
        if outcome.is_delivered:
            self.peer.receive(bytes(data))
        if outcome.resets_connection:
            self.reset()
            self.peer.reset()

    def receive(self, data: bytes) -> None:
        """Receive bytes from the peer."""
        self._received.append(data)
        self._received_bytes += len(data)
        if (
            self._received_bytes > _HIGH_WATER_BYTES
            and self.peer
            and not self.peer._is_writing_paused
        ):
            self.peer._is_writing_paused = True
            self._network.call_soon(self.peer, self.peer.protocol.pause_writing)
        self._network.call_soon(self, self._deliver_received)

    def _deliver_received(self) -> None:
        while self._received and not self._is_reading_paused and not self._is_lost:
            data = self._received.popleft()
            self._received_bytes -= len(data)
            self.protocol.data_received(data)
        if self._received_bytes <= _HIGH_WATER_BYTES and self.peer and self.peer._is_writing_paused:
            self.peer._is_writing_paused = False
            self._network.call_soon(self.peer, self.peer.protocol.resume_writing)

    def close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._network.call_soon(self, self._lose_connection, None)
        if self.peer is not None and self._network.can_reach(self.host, self.peer.host):
            self._network.call_soon(self.peer, self.peer.receive_close)

    def receive_close(self) -> None:
        """Handle the close of the peer after all its bytes are read."""
        if self._received:
            self._network.call_later(self, self.receive_close)
            return
        if not self._is_lost:
            self.protocol.eof_received()
            self._is_closing = True
            self._lose_connection(None)

    def abort(self) -> None:
        self.reset()
        if self.peer is not None and self._network.can_reach(self.host, self.peer.host):
            self._network.call_soon(self.peer, self.peer.reset)

    def reset(self) -> None:
        """Drop the connection at once, with ConnectionResetError."""
        self._is_closing = True
        self._received.clear()
        self._network.call_soon(self, self._lose_connection, ConnectionResetError("reset"))

    def _lose_connection(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._network.transports.discard(self)
            self.protocol.connection_lost(error)


class _Listener:
    """The part of asyncio.Server that servers in tests use."""

    def __init__(self, network: "Network", port: int) -> None:
        self._network = network
        self.port = port

    @property
    def sockets(self) -> list["_Listener"]:
        """Return this listener as its only socket."""
        return [self]

    def getsockname(self) -> tuple[str, int]:
        """Return the host and port, as a socket would."""
        return "127.0.0.1", self.port

    def close(self) -> None:
        """Stop listening; open connections remain."""
        self._network.listeners.pop(self.port, None)


class Network:
    """All listeners and streams between hosts, and the faults that apply to deliveries."""

    def __init__(self, loop: "NetworkLoop") -> None:
        self.listeners: dict[
            int, tuple[str, collections.abc.Callable[[], asyncio.Protocol], contextvars.Context]
        ] = {}
        self.transports: set[_Transport] = set()
        self.interceptor: Interceptor | None = None
        self._partitions: set[frozenset[str]] = set()
        self._loop = loop
        self._next_port = _FIRST_PORT

    def call_soon(
        self,
        transport: _Transport,
        callback: collections.abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Schedule a callback on the host of a transport, in the next iteration of the loop."""
        self._loop.call_soon(callback, *arguments, context=transport.context.copy())

    def call_later(
        self, transport: _Transport, callback: collections.abc.Callable[..., object]
    ) -> None:
        """Schedule a callback on the host of a transport after a short simulated time."""
        self._loop.call_later(_RECHECK_DELAY_S, callback, context=transport.context.copy())

    def can_reach(self, host: str, other_host: str) -> bool:
        """Return whether two hosts are not partitioned from each other."""
        return frozenset((host, other_host)) not in self._partitions

    def partition(self, host: str, other_host: str) -> None:
        """Drop everything between two hosts silently; connections stay open."""
        self._partitions.add(frozenset((host, other_host)))

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitions.clear()

    def kill(self, host: str) -> None:
        """Close all listeners of a host and reset all its streams."""
        for port, (owner, _, _) in list(self.listeners.items()):
            if owner == host:
                del self.listeners[port]
        for transport in list(self.transports):
            if transport.host == host and transport.peer is not None:
                transport.peer.reset()
                transport.reset()

    def resolve_delivery(self, delivery: Delivery) -> DeliveryOutcome:
        """Return the outcome of a delivery, from the partitions and the interceptor."""
        if not self.can_reach(delivery.source, delivery.target):
            return DeliveryOutcome(is_delivered=False)
        return self.interceptor(delivery) if self.interceptor else DeliveryOutcome()

    def listen(
        self, factory: collections.abc.Callable[[], asyncio.Protocol], port: int
    ) -> _Listener:
        """Listen on a port of the current host; port 0 chooses a free one."""
        if not port:
            port = self._next_port = self._next_port + 1
        if port in self.listeners:
            raise OSError(f"port {port} is already in use")
        self.listeners[port] = (CURRENT_HOST.get(), factory, contextvars.copy_context())
        return _Listener(self, port)

    async def connect(
        self, factory: collections.abc.Callable[[], asyncio.Protocol], port: int
    ) -> tuple[_Transport, asyncio.Protocol]:
        """Connect to a port, or raise ConnectionRefusedError if there is no listener."""
        source = CURRENT_HOST.get()
        await asyncio.sleep(0)
        listener = self.listeners.get(port)
        target = listener[0] if listener else ""
        outcome = self.resolve_delivery(Delivery(source, target, None))
        if not outcome.is_delivered:
            await asyncio.Event().wait()
        # The interceptor may have killed the listening host.
        listener = self.listeners.get(port)
        if listener is None or outcome.resets_connection:
            raise ConnectionRefusedError(f"connection refused: no listener on port {port}")
        client_end = _Transport(self, source, factory(), contextvars.copy_context())
        server_end = _Transport(self, target, listener[1](), listener[2].copy())
        client_end.peer, server_end.peer = server_end, client_end
        self.transports |= {client_end, server_end}
        self.call_soon(server_end, server_end.protocol.connection_made, server_end)
        client_end.protocol.connection_made(client_end)
        return client_end, client_end.protocol


@dataclasses.dataclass(slots=True)
class _ScheduledCall:
    """A scheduled callback, the context that it runs in, and the handle that may cancel it."""

    callback: collections.abc.Callable[..., object]
    arguments: tuple[object, ...]
    context: contextvars.Context | None = None
    handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Run the callback unless it was cancelled while its host was paused."""
        if self.handle is None or not self.handle.cancelled():
            self.callback(*self.arguments)


class NetworkLoop(clock.SimulatedTimeLoop):
    """An event loop in simulated time with in-memory connections and hosts that can be paused."""

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(self)
        self._held_calls: dict[str, list[_ScheduledCall]] = {}
        self._signal_handlers_by_host: dict[tuple[str, int], _ScheduledCall] = {}

    def pause(self, host: str) -> None:
        """Hold back all callbacks of a host, as SIGSTOP would."""
        self._held_calls.setdefault(host, [])

    def resume(self, host: str) -> None:
        """Run the callbacks that were held back, late, as SIGCONT would."""
        for held_call in self._held_calls.pop(host, []):
            super().call_soon(held_call.run, context=held_call.context)

    def kill(self, host: str) -> None:
        """Kill a host, as SIGKILL would: none of its code runs again, including cleanup."""
        self.pause(host)
        self.network.kill(host)

    def resume_all(self) -> None:
        """Resume all paused and killed hosts, so that their tasks end before the loop closes."""
        for host in list(self._held_calls):
            self.resume(host)

    def send_signal(self, host: str, number: int) -> None:
        """Run the handler that a host added for a signal."""
        handler = self._signal_handlers_by_host[host, number]
        self.call_soon(handler.run, context=handler.context)

    def add_signal_handler(
        self, sig: int, callback: collections.abc.Callable[..., object], *args: object
    ) -> None:
        """Add a signal handler of the current host only."""
        handler = _ScheduledCall(callback, args, contextvars.copy_context())
        self._signal_handlers_by_host[CURRENT_HOST.get(), int(sig)] = handler

    def call_soon(  # type: ignore[override]
        self,
        callback: collections.abc.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback that is held back while its host is paused."""
        scheduled = _ScheduledCall(callback, args)
        scheduled.handle = super().call_soon(self._run_or_hold, scheduled, context=context)
        return scheduled.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: collections.abc.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer whose callback is held back while its host is paused."""
        scheduled = _ScheduledCall(callback, args)
        timer = super().call_at(when, self._run_or_hold, scheduled, context=context)
        scheduled.handle = timer
        return timer

    def _run_or_hold(self, scheduled: _ScheduledCall) -> None:
        held_calls = self._held_calls.get(CURRENT_HOST.get())
        if held_calls is None:
            scheduled.callback(*scheduled.arguments)
        else:
            scheduled.context = contextvars.copy_context()
            held_calls.append(scheduled)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: collections.abc.Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> tuple[_Transport, asyncio.Protocol]:
        """Connect through the simulated network; the host name is ignored."""
        return await self.network.connect(protocol_factory, port)

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: collections.abc.Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> _Listener:
        """Listen on the simulated network, as the current host."""
        return self.network.listen(protocol_factory, port)


@contextlib.contextmanager
def on_host(name: str) -> collections.abc.Iterator[None]:
    """Run the body, and the tasks that it starts, as the host of a name."""
    token = CURRENT_HOST.set(name)
    try:
        yield
    finally:
        CURRENT_HOST.reset(token)
