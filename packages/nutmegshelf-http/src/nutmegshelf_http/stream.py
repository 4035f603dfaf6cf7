"""Read and write the bytes of a connection with read timeouts and backpressure."""

import asyncio
import collections.abc

import h11

_READ_HIGH_WATER_BYTES = 256 * 1024


class ReadTimeout(h11.RemoteProtocolError):
    """The peer did not send data before the read deadline."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, error_status_hint=408)


class PeerClosed(asyncio.Event):
    """An event that is set when the peer closes, with an optional callback."""

    callback: collections.abc.Callable[[], None] | None = None

    def set(self) -> None:
        """Set the event; invoke the callback the first time only."""
        is_first = not self.is_set()
        super().set()
        if is_first and self.callback is not None:
            self.callback()


class Stream(asyncio.Protocol):
    """A connected transport that detects the peer's close even while no read is pending."""

    def __init__(
        self, on_connected: collections.abc.Callable[["Stream"], None] | None = None
    ) -> None:
        self.peer_closed = PeerClosed()
        self.transport: asyncio.Transport
        self._on_connected = on_connected
        self._loop = asyncio.get_running_loop()
        self._received = b""
        self._eof = False
        self._error: Exception | None = None
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._reader: asyncio.Future[None] | None = None
        self._read_deadline_s: float | None = None
        self._writers: list[asyncio.Future[None]] = []
        self._writing_paused = False
        self._reading_paused = False

    @property
    def has_unread_data(self) -> bool:
        """Return whether received bytes are buffered."""
        return bool(self._received)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and invoke the connection callback (asyncio.Protocol)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; pause reading when the buffer is full (asyncio.Protocol)."""
        self._received = self._received + data if self._received else data
        if len(self._received) >= _READ_HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record the end of the peer's data (asyncio.Protocol)."""
        self._eof = True
        self.peer_closed.set()
        self._wake_reader()
        # A plain transport stays open for writing; a TLS transport can't be half-closed.
        return self.transport.get_extra_info("sslcontext") is None

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection and wake all waiters (asyncio.Protocol)."""
        self._eof = True
        self._error = exc
        self.peer_closed.set()
        self._wake_reader()
        self._wake_writers()
        if not self._closed.done():
            self._closed.set_result(None)

    def pause_writing(self) -> None:
        """Make writers wait until the transport's buffer has drained (asyncio.Protocol)."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Wake the waiting writers (asyncio.Protocol)."""
        self._writing_paused = False
        self._wake_writers()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _wake_writers(self) -> None:
        writers, self._writers = self._writers, []
        for writer in writers:
            if not writer.done():
                writer.set_result(None)

    async def read(self, deadline_s: float | None = None) -> bytes:
        """Return the next bytes, empty at the end; raises ConnectionError or ReadTimeout."""
        if not self._received and not self._eof:
            self._reader = self._loop.create_future()
            self._read_deadline_s = deadline_s
            try:
                await self._reader
            finally:
                self._reader = None
                self._read_deadline_s = None
        data, self._received = self._received, b""
        if not data and self._error is not None:
            raise ConnectionResetError(str(self._error)) from self._error
        if self._reading_paused:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def check_read_timeout(self, now_s: float) -> None:
        """Fail a pending read with ReadTimeout if its deadline has passed."""
        is_late = self._read_deadline_s is not None and self._read_deadline_s <= now_s
        if is_late and self._reader is not None and not self._reader.done():
            self._reader.set_exception(ReadTimeout("the other end is too slow to send"))

    async def write(self, data: bytes) -> None:
        """Send bytes, waiting while the write buffer is full; raises ConnectionError."""
        self._check_writable()
        self.transport.write(data)
        while self._writing_paused and not self._closed.done():
            writer = self._loop.create_future()
            self._writers.append(writer)
            await writer
        self._check_writable()

    def _check_writable(self) -> None:
        if self._closed.done():
            raise ConnectionResetError("the connection is lost")

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await asyncio.shield(self._closed)
