"""Fake the hosts of a test: streams, signals, pauses and kills, on the paused clock."""

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
_MOMENT_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """Describe bytes on their way from one host to another; none when a connection opens."""

    source: str
    target: str
    data: bytes | None


class DeliveryOutcome(typing.NamedTuple):
    """Say what becomes of a delivery."""

    is_delivered: bool = True
    resets_connection: bool = False


Interceptor = collections.abc.Callable[[Delivery], DeliveryOutcome]


class _Transport(asyncio.Transport):
    """Be one end of a stream between two hosts."""

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
        self.other: _Transport | None = None
        self._network = network
        self._inbox: collections.deque[bytes] = collections.deque()
        self._inbox_bytes = 0
        self._reading_paused = False
        self._writer_paused = False
        self._closing = False
        self._lost = False

    def get_extra_info(self, name: str, default: typing.Any = None) -> typing.Any:
        return default

    def is_closing(self) -> bool:
        return self._closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = typing.cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def is_reading(self) -> bool:
        return not self._reading_paused

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.other._inbox_bytes if self.other else 0

    def pause_reading(self) -> None:
        self._reading_paused = True

    def resume_reading(self) -> None:
        self._reading_paused = False
        self._network.call_soon(self, self._drain_inbox)

    def can_write_eof(self) -> bool:
        return False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._closing or self.other is None:
            return
        fate = self._network.resolve_delivery(Delivery(self.host, self.other.host, bytes(data)))
        if fate.is_delivered:
            self.other.take(bytes(data))
        if fate.resets_connection:
            self.reset()
            self.other.reset()

    def take(self, data: bytes) -> None:
        """Receive bytes from the other end."""
        self._inbox.append(data)
        self._inbox_bytes += len(data)
        if self._inbox_bytes > _HIGH_WATER_BYTES and self.other and not self.other._writer_paused:
            self.other._writer_paused = True
            self._network.call_soon(self.other, self.other.protocol.pause_writing)
        self._network.call_soon(self, self._drain_inbox)

    def _drain_inbox(self) -> None:
        while self._inbox and not self._reading_paused and not self._lost:
            data = self._inbox.popleft()
            self._inbox_bytes -= len(data)
            self.protocol.data_received(data)
        if self._inbox_bytes <= _HIGH_WATER_BYTES and self.other and self.other._writer_paused:
            self.other._writer_paused = False
            self._network.call_soon(self.other, self.other.protocol.resume_writing)

    def close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._network.call_soon(self, self._lose, None)
        if self.other is not None and self._network.can_reach(self.host, self.other.host):
            self._network.call_soon(self.other, self.other.end)

    def end(self) -> None:
        """Take the other end's orderly close after all its bytes."""
        if self._inbox:
            self._network.call_later(self, self.end)
            return
        if not self._lost:
            self.protocol.eof_received()
            self._closing = True
            self._lose(None)

    def abort(self) -> None:
        self.reset()
        if self.other is not None and self._network.can_reach(self.host, self.other.host):
            self._network.call_soon(self.other, self.other.reset)

    def reset(self) -> None:
        """Lose the connection at once."""
        self._closing = True
        self._inbox.clear()
        self._network.call_soon(self, self._lose, ConnectionResetError("reset"))

    def _lose(self, error: Exception | None) -> None:
        if not self._lost:
            self._lost = True
            self._network.transports.discard(self)
            self.protocol.connection_lost(error)


class _Listener:
    """Look like an asyncio server."""

    def __init__(self, network: "Network", port: int) -> None:
        self._network = network
        self.port = port

    @property
    def sockets(self) -> list["_Listener"]:
        """Give itself as the one socket."""
        return [self]

    def getsockname(self) -> tuple[str, int]:
        """Give the address."""
        return "127.0.0.1", self.port

    def close(self) -> None:
        """Stop listening."""
        self._network.listeners.pop(self.port, None)


class Network:
    """Own all streams between hosts and decide what becomes of each delivery."""

    def __init__(self, loop: "NetworkLoop") -> None:
        self.listeners: dict[
            int, tuple[str, collections.abc.Callable[[], asyncio.Protocol], contextvars.Context]
        ] = {}
        self.transports: set[_Transport] = set()
        self.interceptor: Interceptor | None = None
        self._cuts: set[frozenset[str]] = set()
        self._loop = loop
        self._next_port = _FIRST_PORT

    def call_soon(
        self, end: _Transport, call: collections.abc.Callable[..., object], *arguments: object
    ) -> None:
        """Run a call as the host of one end, in the next turn of the loop."""
        self._loop.call_soon(call, *arguments, context=end.context.copy())

    def call_later(self, end: _Transport, call: collections.abc.Callable[..., object]) -> None:
        """Run a call as the host of one end after a little of the paused clock's time."""
        self._loop.call_later(_MOMENT_S, call, context=end.context.copy())

    def can_reach(self, one: str, other: str) -> bool:
        """Say whether two hosts are not cut from each other."""
        return frozenset((one, other)) not in self._cuts

    def partition(self, one: str, other: str) -> None:
        """Let nothing pass between two hosts; neither end is told."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Let everything pass again."""
        self._cuts.clear()

    def kill(self, host: str) -> None:
        """End all listeners and streams of a host."""
        for port, (owner, _, _) in list(self.listeners.items()):
            if owner == host:
                del self.listeners[port]
        for link in list(self.transports):
            if link.host == host and link.other is not None:
                link.other.reset()
                link.reset()

    def resolve_delivery(self, delivery: Delivery) -> DeliveryOutcome:
        """Decide whether a delivery arrives."""
        if not self.can_reach(delivery.source, delivery.target):
            return DeliveryOutcome(is_delivered=False)
        return self.interceptor(delivery) if self.interceptor else DeliveryOutcome()

    def listen(
        self, factory: collections.abc.Callable[[], asyncio.Protocol], port: int
    ) -> _Listener:
        """Listen on a port as the host of the running context."""
        if not port:
            port = self._next_port = self._next_port + 1
        if port in self.listeners:
            raise OSError(f"port {port} is taken")
        self.listeners[port] = (CURRENT_HOST.get(), factory, contextvars.copy_context())
        return _Listener(self, port)

    async def connect(
        self, factory: collections.abc.Callable[[], asyncio.Protocol], port: int
    ) -> tuple[_Transport, asyncio.Protocol]:
        """Connect to a port; raises ConnectionRefusedError where nobody listens."""
        source = CURRENT_HOST.get()
        await asyncio.sleep(0)
        listener = self.listeners.get(port)
        target = listener[0] if listener else ""
        fate = self.resolve_delivery(Delivery(source, target, None))
        if not fate.is_delivered:
            await asyncio.Event().wait()
        # The tap may have killed the listening host.
        listener = self.listeners.get(port)
        if listener is None or fate.resets_connection:
            raise ConnectionRefusedError(f"nobody listens on port {port}")
        near = _Transport(self, source, factory(), contextvars.copy_context())
        far = _Transport(self, target, listener[1](), listener[2].copy())
        near.other, far.other = far, near
        self.transports |= {near, far}
        self.call_soon(far, far.protocol.connection_made, far)
        near.protocol.connection_made(near)
        return near, near.protocol


@dataclasses.dataclass(slots=True)
class _Call:
    """Hold a call, the context that it runs in, and the handle that may cancel it."""

    call: collections.abc.Callable[..., object]
    arguments: tuple[object, ...]
    context: contextvars.Context | None = None
    handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Run unless it was cancelled while its host was frozen."""
        if self.handle is None or not self.handle.cancelled():
            self.call(*self.arguments)


class NetworkLoop(clock.SimulatedTimeLoop):
    """Be a paused loop whose connections stay in memory and whose hosts can freeze."""

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(self)
        self._frozen: dict[str, list[_Call]] = {}
        self._host_signals: dict[tuple[str, int], _Call] = {}

    def pause(self, host: str) -> None:
        """Let nothing of a host run, as a stopped process."""
        self._frozen.setdefault(host, [])

    def resume(self, host: str) -> None:
        """Run on, late, from where the host stood."""
        for parked in self._frozen.pop(host, []):
            super().call_soon(parked.run, context=parked.context)

    def kill(self, host: str) -> None:
        """End a host at once: no code of it runs again, not even its cleanup."""
        self.pause(host)
        self.network.kill(host)

    def resume_all(self) -> None:
        """Let frozen hosts run what they had left, so that the loop can end."""
        for host in list(self._frozen):
            self.resume(host)

    def send_signal(self, host: str, number: int) -> None:
        """Run a host's signal handler."""
        handler = self._host_signals[host, number]
        self.call_soon(handler.run, context=handler.context)

    def add_signal_handler(
        self, sig: int, callback: collections.abc.Callable[..., object], *args: object
    ) -> None:
        """Keep a handler for the running host only."""
        parked = _Call(callback, args, contextvars.copy_context())
        self._host_signals[CURRENT_HOST.get(), int(sig)] = parked

    def call_soon(  # type: ignore[override]
        self,
        callback: collections.abc.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a call that is held while its host is frozen."""
        held = _Call(callback, args)
        held.handle = super().call_soon(self._run_or_park, held, context=context)
        return held.handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: collections.abc.Callable[..., object],
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timed call that is held while its host is frozen."""
        held = _Call(callback, args)
        timer = super().call_at(when, self._run_or_park, held, context=context)
        held.handle = timer
        return timer

    def _run_or_park(self, held: _Call) -> None:
        parked = self._frozen.get(CURRENT_HOST.get())
        if parked is None:
            held.call(*held.arguments)
        else:
            held.context = contextvars.copy_context()
            parked.append(held)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: collections.abc.Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> tuple[_Transport, asyncio.Protocol]:
        """Connect in memory."""
        return await self.network.connect(protocol_factory, port)

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: collections.abc.Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **_: object,
    ) -> _Listener:
        """Listen in memory."""
        return self.network.listen(protocol_factory, port)


@contextlib.contextmanager
def on_host(name: str) -> collections.abc.Iterator[None]:
    """Run what is started within as a host of this name."""
    token = CURRENT_HOST.set(name)
    try:
        yield
    finally:
        CURRENT_HOST.reset(token)
