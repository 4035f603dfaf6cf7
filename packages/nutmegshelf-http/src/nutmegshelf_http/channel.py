"""Carry HTTP/1.1 events over one stream connection."""

import asyncio
import collections.abc
import contextlib
import socket
import struct

import h11

from nutmegshelf_http import stream

MAX_HEAD_BYTES = 32 * 1024
_LINGER_BYTES = 1024 * 1024
_LINGER_S = 1.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Headers = list[tuple[bytes, bytes]]


class Channel:
    """Own one connection: its streams and its h11 state."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER], carrier: stream.Stream) -> None:
        self.state = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.peer_closed = carrier.peer_closed
        self.bytes_sent = 0
        # A server that watches over slow callers limits each read, or all reads together.
        self._read_timeout_s: float | None = None
        self._last_read_s: float | None = None
        self._stream = carrier
        self._time = asyncio.get_running_loop().time

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Give the next event; raises h11.RemoteProtocolError on a broken stream."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                assert not isinstance(event, type) or event is h11.PAUSED
                return event
            self.state.receive_data(await self.read())

    async def read(self) -> bytes:
        """Give the next bytes; raises h11.RemoteProtocolError where the connection breaks."""
        deadline_s = self._last_read_s
        if deadline_s is None and self._read_timeout_s is not None:
            deadline_s = self._time() + self._read_timeout_s
        try:
            return await self._stream.read(deadline_s)
        except ConnectionError as error:
            raise h11.RemoteProtocolError(f"connection lost: {error}") from error

    def set_read_timeout(self, timeout_s: float) -> None:
        """End each read that waits longer."""
        self._read_timeout_s = timeout_s
        self._last_read_s = None

    def set_read_deadline(self, timeout_s: float) -> None:
        """End reads that wait longer in all, however many they are."""
        self._last_read_s = self._time() + timeout_s

    def check_read_timeout(self, now_s: float) -> None:
        """End a read that waits beyond its limit with ReadTimeout."""
        self._stream.check_read_timeout(now_s)

    async def send(self, *events: h11.Event) -> None:
        """Write events in one go, waiting while the other end is slow to read."""
        data = b"".join(part for event in events if (part := self.state.send(event)))
        if not data:
            return
        self.bytes_sent += len(data)
        await self._stream.write(data)

    async def iterate_body(self) -> collections.abc.AsyncIterator[bytes]:
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

    async def read_body(
        self,
        max_bytes: int,
        on_chunk: collections.abc.Callable[[bytes], None] = lambda part: None,
    ) -> bytes:
        """Read a whole body; raises ValueError beyond the limit."""
        data = bytearray()
        async for part in self.iterate_body():
            on_chunk(part)
            data += part
            if len(data) > max_bytes:
                raise ValueError(f"the body is over {max_bytes} bytes")
        return bytes(data)

    def is_reusable(self) -> bool:
        """Say whether both sides have finished and the connection still stands."""
        ours, theirs = self.state.our_state, self.state.their_state
        return ours is h11.DONE and theirs is h11.DONE and not self.peer_closed.is_set()

    def is_idle(self) -> bool:
        """Say whether the connection stands and the other end has said nothing unasked."""
        has_bytes = bool(self.state.trailing_data[0]) or self._stream.has_unread_data
        return not has_bytes and not self.peer_closed.is_set()

    def start_next_cycle(self) -> None:
        """Prepare for the next message on the same connection."""
        self.state.start_next_cycle()
        self.bytes_sent = 0

    def is_closing(self) -> bool:
        """Say whether this side has ended the connection or lost it."""
        return self._stream.transport.is_closing()

    async def drain_and_close(self) -> None:
        """Close, but read on for a while, as unread bytes would destroy what was sent."""
        left_bytes = _LINGER_BYTES
        with contextlib.suppress(OSError, h11.RemoteProtocolError, TimeoutError):
            if self._stream.transport.can_write_eof():
                self._stream.transport.write_eof()
            async with asyncio.timeout(_LINGER_S):
                while left_bytes > 0 and (data := await self._stream.read()):
                    left_bytes -= len(data)
        self.close()

    def close(self) -> None:
        """End the connection after what was written is sent."""
        self._stream.transport.close()

    def reset(self) -> None:
        """End the connection so that the other end can't take it for an orderly end."""
        raw = self._stream.transport.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.abort()

    def abort(self) -> None:
        """End the connection at once, so that the other end sees a break."""
        self._stream.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        await self._stream.wait_closed()
