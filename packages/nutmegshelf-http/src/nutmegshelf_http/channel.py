"""Send and receive HTTP/1.1 events over one connection."""

import asyncio
import collections.abc
import contextlib
import socket
import struct

import h11

from nutmegshelf_http import stream

MAX_HEAD_BYTES = 32 * 1024
_MAX_DRAINED_BYTES = 1024 * 1024
_DRAIN_TIMEOUT_S = 1.0
# SO_LINGER with a time of 0: closing the socket sends RST in place of FIN.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Headers = list[tuple[bytes, bytes]]


class Channel:
    """An HTTP connection: a byte stream and its h11 state machine."""

    def __init__(
        self, role: type[h11.CLIENT] | type[h11.SERVER], byte_stream: stream.Stream
    ) -> None:
        self.state = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.peer_closed = byte_stream.peer_closed
        self.bytes_sent = 0
        # A server sets a timeout for each read, or one deadline for all reads together.
        self._read_timeout_s: float | None = None
        self._read_deadline_s: float | None = None
        self._stream = byte_stream
        self._time = asyncio.get_running_loop().time

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event; raises h11.RemoteProtocolError if the connection fails."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                assert not isinstance(event, type) or event is h11.PAUSED
                return event
            self.state.receive_data(await self.read())

    async def read(self) -> bytes:
        """Return the next bytes; raises h11.RemoteProtocolError if the connection fails."""
        deadline_s = self._read_deadline_s
        if deadline_s is None and self._read_timeout_s is not None:
            deadline_s = self._time() + self._read_timeout_s
        try:
            return await self._stream.read(deadline_s)
        except ConnectionError as error:
            raise h11.RemoteProtocolError(f"connection lost: {error}") from error

    def set_read_timeout(self, timeout_s: float) -> None:
        """Time out each later read that waits longer than this."""
        self._read_timeout_s = timeout_s
        self._read_deadline_s = None

    def set_read_deadline(self, timeout_s: float) -> None:
        """Time out all later reads together after this time."""
        self._read_deadline_s = self._time() + timeout_s

    def check_read_timeout(self, now_s: float) -> None:
        """Fail a pending read with ReadTimeout if its deadline has passed."""
        self._stream.check_read_timeout(now_s)

    async def send(self, *events: h11.Event) -> None:
        """Write events together, waiting while the write buffer is full."""
        data = b"".join(encoded for event in events if (encoded := self.state.send(event)))
        if not data:
            return
        self.bytes_sent += len(data)
        await self._stream.write(data)

    async def iterate_body(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks of the message body; raises h11.RemoteProtocolError if it is cut."""
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
        on_chunk: collections.abc.Callable[[bytes], None] = lambda chunk: None,
    ) -> bytes:
        """Read the whole body; raises ValueError if it is larger than max_bytes."""
        data = bytearray()
        async for chunk in self.iterate_body():
            on_chunk(chunk)
            data += chunk
            if len(data) > max_bytes:
                raise ValueError(f"the body is over {max_bytes} bytes")
        return bytes(data)

    def is_reusable(self) -> bool:
        """Return whether both messages are complete and the connection is open."""
        ours, theirs = self.state.our_state, self.state.their_state
        return ours is h11.DONE and theirs is h11.DONE and not self.peer_closed.is_set()

    def is_idle(self) -> bool:
        """Return whether the connection is open and no unsolicited data was received."""
        has_unread_data = bool(self.state.trailing_data[0]) or self._stream.has_unread_data
        return not has_unread_data and not self.peer_closed.is_set()

    def start_next_cycle(self) -> None:
        """Prepare for the next message on the same connection."""
        self.state.start_next_cycle()
        self.bytes_sent = 0

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing on this side."""
        return self._stream.transport.is_closing()

    async def drain_and_close(self) -> None:
        """Half-close, discard received data for a limited time, then close.

        Closing a socket with unread data sends a reset, which can destroy the response before the
        peer has read it.
        """
        remaining_bytes = _MAX_DRAINED_BYTES
        with contextlib.suppress(OSError, h11.RemoteProtocolError, TimeoutError):
            if self._stream.transport.can_write_eof():
                self._stream.transport.write_eof()
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                while remaining_bytes > 0 and (data := await self._stream.read()):
                    remaining_bytes -= len(data)
        self.close()

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        self._stream.transport.close()

    def reset(self) -> None:
        """Close the connection with RST, which the peer can't mistake for an orderly close."""
        raw_socket = self._stream.transport.get_extra_info("socket")
        if raw_socket is not None and raw_socket.fileno() >= 0:
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once and discard the buffered data."""
        self._stream.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self._stream.wait_closed()
