"""Carry HTTP/1.1 events over one stream connection."""

import asyncio
import collections.abc

import h11

MAX_HEAD_BYTES = 32 * 1024
_READ_BYTES = 64 * 1024

Headers = list[tuple[bytes, bytes]]


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Tell at once when the other end closes, also while nobody reads."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__(reader, self._keep_writer)
        self.reader = reader
        self.writer: asyncio.StreamWriter | None = None
        self.gone = asyncio.Event()
        self.on_connected: collections.abc.Callable[[WatchedProtocol], None] | None = None

    def _keep_writer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        if self.on_connected is not None:
            self.on_connected(self)

    def eof_received(self) -> bool | None:
        """Note the end of the other side's stream."""
        self.gone.set()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the loss of the connection."""
        self.gone.set()
        super().connection_lost(exc)


class Channel:
    """Own one connection: its streams and its h11 state."""

    def __init__(
        self,
        role: type[h11.CLIENT] | type[h11.SERVER],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gone: asyncio.Event,
    ) -> None:
        self.state = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.reader = reader
        self.gone = gone
        self.bytes_sent = 0
        self._writer = writer

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Give the next event; raises h11.RemoteProtocolError on a broken stream."""
        while True:
            event = self.state.next_event()
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            try:
                data = await self.reader.read(_READ_BYTES)
            except ConnectionError as error:
                raise h11.RemoteProtocolError(f"connection lost: {error}") from error
            self.state.receive_data(data)

    async def send(self, *events: h11.Event) -> None:
        """Write events in one go, waiting while the other end is slow to read."""
        data = b"".join(part for event in events if (part := self.state.send(event)))
        if not data:
            return
        self.bytes_sent += len(data)
        self._writer.write(data)
        await self._writer.drain()

    async def body(self) -> collections.abc.AsyncIterator[bytes]:
        """Give the parts of the message's body up to its whole end."""
        while self.state.their_state is not h11.DONE:
            event = await self.receive()
            match event:
                case h11.Data():
                    yield bytes(event.data)
                case h11.EndOfMessage():
                    return
                case _:
                    raise h11.RemoteProtocolError("the stream ended inside a body")

    async def read_body(self, limit_bytes: int) -> bytes:
        """Read a whole body; raises ValueError beyond the limit."""
        data = bytearray()
        async for part in self.body():
            data += part
            if len(data) > limit_bytes:
                raise ValueError(f"the body is over {limit_bytes} bytes")
        return bytes(data)

    def is_reusable(self) -> bool:
        """Say whether both sides have finished and the connection still stands."""
        ours, theirs = self.state.our_state, self.state.their_state
        return ours is h11.DONE and theirs is h11.DONE and not self.gone.is_set()

    def start_next(self) -> None:
        """Prepare for the next message on the same connection."""
        self.state.start_next_cycle()
        self.bytes_sent = 0

    def close(self) -> None:
        """End the connection after what was written is sent."""
        self._writer.close()

    def abort(self) -> None:
        """End the connection at once, so that the other end sees a break."""
        self._writer.transport.abort()
