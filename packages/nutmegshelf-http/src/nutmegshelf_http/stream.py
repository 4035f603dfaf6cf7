"""Read and write the bytes of one connection, with limits on waiting and on memory."""

import asyncio
import collections.abc

import h11

_HIGH_BYTES = 256 * 1024


class ReadTimeout(h11.RemoteProtocolError):
    """Report that the other end was too slow to send."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, error_status_hint=408)


class PeerClosed(asyncio.Event):
    """Note that the other end is gone and tell one callback."""

    callback: collections.abc.Callable[[], None] | None = None

    def set(self) -> None:
        """Note it and tell the callback, the first time only."""
        is_news = not self.is_set()
        super().set()
        if is_news and self.callback is not None:
            self.callback()


class Stream(asyncio.Protocol):
    """Own one transport; tell at once when the other end closes, also while nobody reads."""

    def __init__(
        self, on_connected: collections.abc.Callable[["Stream"], None] | None = None
    ) -> None:
        self.peer_closed = PeerClosed()
        self.transport: asyncio.Transport
        self._on_connected = on_connected
        self._loop = asyncio.get_running_loop()
        self._received = b""
        self._ended = False
        self._error: Exception | None = None
        self._lost: asyncio.Future[None] = self._loop.create_future()
        self._reader: asyncio.Future[None] | None = None
        self._read_before_s: float | None = None
        self._writers: list[asyncio.Future[None]] = []
        self._is_full = False
        self._reading_paused = False

    @property
    def has_unread_data(self) -> bool:
        """Say whether bytes came that nobody has read."""
        return bool(self._received)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio.Protocol)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep bytes for the reader (asyncio.Protocol)."""
        self._received = self._received + data if self._received else data
        if len(self._received) >= _HIGH_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note the end of the other side's bytes (asyncio.Protocol)."""
        self._ended = True
        self.peer_closed.set()
        self._wake_reader()
        # A plain transport stays open for writing; an encrypted one can't.
        return self.transport.get_extra_info("sslcontext") is None

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the loss of the connection (asyncio.Protocol)."""
        self._ended = True
        self._error = exc
        self.peer_closed.set()
        self._wake_reader()
        self._wake_writers()
        if not self._lost.done():
            self._lost.set_result(None)

    def pause_writing(self) -> None:
        """Note that the other end is slow to read (asyncio.Protocol)."""
        self._is_full = True

    def resume_writing(self) -> None:
        """Let writers go on (asyncio.Protocol)."""
        self._is_full = False
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
        """Give the next bytes, or none at the end; raises ConnectionError or ReadTimeout."""
        if not self._received and not self._ended:
            self._reader = self._loop.create_future()
            self._read_before_s = deadline_s
            try:
                await self._reader
            finally:
                self._reader = None
                self._read_before_s = None
        data, self._received = self._received, b""
        if not data and self._error is not None:
            raise ConnectionResetError(str(self._error)) from self._error
        if self._reading_paused:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def check_read_timeout(self, now_s: float) -> None:
        """End a read that waits beyond its limit with ReadTimeout."""
        late = self._read_before_s is not None and self._read_before_s <= now_s
        if late and self._reader is not None and not self._reader.done():
            self._reader.set_exception(ReadTimeout("the other end is too slow to send"))

    async def write(self, data: bytes) -> None:
        """Send bytes, waiting while the other end is slow; raises ConnectionError."""
        self._check_writable()
        self.transport.write(data)
        while self._is_full and not self._lost.done():
            writer = self._loop.create_future()
            self._writers.append(writer)
            await writer
        self._check_writable()

    def _check_writable(self) -> None:
        if self._lost.done():
            raise ConnectionResetError("the connection is lost")

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        await asyncio.shield(self._lost)
