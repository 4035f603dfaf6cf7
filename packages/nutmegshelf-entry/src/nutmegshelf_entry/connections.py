"""Pool connections to minions and read the heads of their responses."""

import asyncio
import collections
import collections.abc
import dataclasses

import h11
from nutmegshelf import exceptions, ids, platform
from nutmegshelf_http import channel, client

_CONNECT_TIMEOUT_S = 1.0
_MAX_IDLE_S = 10.0


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    connection: channel.Channel
    idle_since_s: float


class ConnectionPool:
    """All connections to minions, limited per minion by the entry's seat."""

    def __init__(self) -> None:
        self.limits: dict[ids.ServiceName, int] = {}
        self._open: dict[ids.MinionId, set[channel.Channel]] = {}
        self._opening: collections.Counter[ids.MinionId] = collections.Counter()
        self.on_connect_error: collections.abc.Callable[[ids.MinionId, str], None] | None = None
        self.on_closed: collections.abc.Callable[[ids.MinionId], None] | None = None
        self._idle: dict[ids.MinionId, collections.deque[_IdleConnection]] = (
            collections.defaultdict(collections.deque)
        )

    async def checkout(
        self, record: platform.MinionRecord, *, fresh: bool
    ) -> tuple[channel.Channel, bool]:
        """Return a connection and whether it was reused; raises RequestError with not-run.

        An idle connection may be closed while a request is sent. A request that must not be sent
        twice takes a fresh one, so that a refused connection proves that it did not run.
        """
        now_s = asyncio.get_running_loop().time()
        idle_connections = self._idle[record.minion]
        while idle_connections:
            idle_connection = idle_connections.pop()
            is_stale = (
                now_s - idle_connection.idle_since_s > _MAX_IDLE_S
                or not idle_connection.connection.is_idle()
            )
            if not fresh and not is_stale:
                return idle_connection.connection, True
            idle_connection.connection.abort()
            if fresh:
                break
        self._check_limit(record)
        self._opening[record.minion] += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                connection = await client.open_channel(record.host, record.port)
            self._open.setdefault(record.minion, set()).add(connection)
            return connection, False
        except (OSError, TimeoutError) as error:
            if self.on_connect_error is not None:
                self.on_connect_error(record.minion, repr(error))
            raise exceptions.RequestError(
                exceptions.ErrorKind.MINION_REFUSED, f"{record.minion}: {error}"
            ) from error
        finally:
            self._opening[record.minion] -= 1

    def _check_limit(self, record: platform.MinionRecord) -> None:
        connections = {
            connection
            for connection in self._open.get(record.minion, ())
            if not connection.is_closing()
        }
        self._open[record.minion] = connections
        max_connections = self.limits.get(record.service)
        if (
            max_connections is not None
            and len(connections) + self._opening[record.minion] >= max_connections
        ):
            detail = f"{record.minion}: {max_connections} connections are open"
            raise exceptions.RequestError(exceptions.ErrorKind.OVERLOADED, detail)

    def abort(self) -> None:
        """Abort all connections, including those in use."""
        for connections in self._open.values():
            for connection in connections:
                connection.abort()
        self._open.clear()
        self._idle.clear()

    def checkin(self, minion: ids.MinionId, connection: channel.Channel) -> None:
        """Return a connection to the pool, or abort it if it can't be reused."""
        if connection.is_reusable() and connection.is_idle():
            connection.start_next_cycle()
            self._idle[minion].append(
                _IdleConnection(connection, asyncio.get_running_loop().time())
            )
        else:
            connection.abort()
            if self.on_closed is not None:
                self.on_closed(minion)

    def evict(self, minion: ids.MinionId) -> None:
        """Abort the idle connections to a minion."""
        for idle_connection in self._idle.pop(minion, ()):
            idle_connection.connection.abort()

    def close_idle(self) -> None:
        """Abort all idle connections."""
        for minion in list(self._idle):
            self.evict(minion)


async def receive_response_head(
    connection: channel.Channel, record: platform.MinionRecord, method: str
) -> h11.Response:
    """Read the head of a response; raises RequestError with unknown if it can't be read."""
    try:
        head = await client.receive_response_head(connection)
    except h11.RemoteProtocolError as error:
        kind = exceptions.ErrorKind.MINION_CUT
        raise exceptions.RequestError(kind, f"{record.minion}: {error}") from error
    if method != "HEAD" and not _has_framing(head):
        # A body delimited by the end of its connection can't be told from a truncated one.
        kind = exceptions.ErrorKind.MINION_BAD_ANSWER
        raise exceptions.RequestError(kind, f"{record.minion}: the answer has no length")
    return head


def _has_framing(head: h11.Response) -> bool:
    if head.status_code in (204, 304):
        return True
    header_names = {name.lower() for name, _ in head.headers.raw_items()}
    return b"content-length" in header_names or b"transfer-encoding" in header_names
