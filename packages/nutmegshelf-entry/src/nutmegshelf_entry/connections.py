"""Keep connections to minions and carry one attempt of a request over one of them."""

import asyncio
import collections
import collections.abc
import dataclasses

import h11
from nutmegshelf import exceptions, ids, platform
from nutmegshelf_http import channel, client

_CONNECT_TIMEOUT_S = 1.0
_IDLE_LIMIT_S = 10.0


@dataclasses.dataclass(slots=True)
class _Idle:
    link: channel.Channel
    since_s: float


class ConnectionPool:
    """Own all connections to minions, at most the seat's limit to each one."""

    def __init__(self) -> None:
        self.limits: dict[ids.ServiceName, int] = {}
        self._open: dict[ids.MinionId, set[channel.Channel]] = {}
        self._opening: collections.Counter[ids.MinionId] = collections.Counter()
        self.on_connect_error: collections.abc.Callable[[ids.MinionId, str], None] | None = None
        self.on_closed: collections.abc.Callable[[ids.MinionId], None] | None = None
        self._idle: dict[ids.MinionId, collections.deque[_Idle]] = collections.defaultdict(
            collections.deque
        )

    async def checkout(
        self, record: platform.MinionRecord, *, fresh: bool
    ) -> tuple[channel.Channel, bool]:
        """Give a connection and whether it was used before; raises RequestError not-run.

        An idle connection may die under a request. A request that must not be sent twice
        asks for a fresh one, so that a refused connection proves that it did not run.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle[record.minion]
        while idle:
            kept = idle.pop()
            stale = now_s - kept.since_s > _IDLE_LIMIT_S or not kept.link.is_idle()
            if not fresh and not stale:
                return kept.link, True
            kept.link.abort()
            if fresh:
                break
        self._check_limit(record)
        self._opening[record.minion] += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                link = await client.open_channel(record.host, record.port)
            self._open.setdefault(record.minion, set()).add(link)
            return link, False
        except (OSError, TimeoutError) as error:
            if self.on_connect_error is not None:
                self.on_connect_error(record.minion, repr(error))
            raise exceptions.RequestError(
                exceptions.ErrorKind.MINION_REFUSED, f"{record.minion}: {error}"
            ) from error
        finally:
            self._opening[record.minion] -= 1

    def _check_limit(self, record: platform.MinionRecord) -> None:
        links = {link for link in self._open.get(record.minion, ()) if not link.is_closing()}
        self._open[record.minion] = links
        limit = self.limits.get(record.service)
        if limit is not None and len(links) + self._opening[record.minion] >= limit:
            detail = f"{record.minion}: {limit} connections are open"
            raise exceptions.RequestError(exceptions.ErrorKind.OVERLOADED, detail)

    def abort(self) -> None:
        """End every connection at once, also those in use."""
        for links in self._open.values():
            for link in links:
                link.abort()
        self._open.clear()
        self._idle.clear()

    def checkin(self, minion: ids.MinionId, link: channel.Channel) -> None:
        """Keep a connection for later, or end it where it can't be used again."""
        if link.is_reusable() and link.is_idle():
            link.start_next_cycle()
            self._idle[minion].append(_Idle(link, asyncio.get_running_loop().time()))
        else:
            link.abort()
            if self.on_closed is not None:
                self.on_closed(minion)

    def evict(self, minion: ids.MinionId) -> None:
        """End the idle connections of a minion that left."""
        for kept in self._idle.pop(minion, ()):
            kept.link.abort()

    def close_idle(self) -> None:
        """End all idle connections."""
        for minion in list(self._idle):
            self.evict(minion)


async def receive_response_head(
    link: channel.Channel, record: platform.MinionRecord, method: str
) -> h11.Response:
    """Read an answer's head; raises RequestError unknown where it can't be read."""
    try:
        head = await client.receive_response_head(link)
    except h11.RemoteProtocolError as error:
        kind = exceptions.ErrorKind.MINION_CUT
        raise exceptions.RequestError(kind, f"{record.minion}: {error}") from error
    if method != "HEAD" and not _has_known_end(head):
        # A body that ends with its connection can't be told from one that was cut short.
        kind = exceptions.ErrorKind.MINION_BAD_ANSWER
        raise exceptions.RequestError(kind, f"{record.minion}: the answer has no length")
    return head


def _has_known_end(head: h11.Response) -> bool:
    if head.status_code in (204, 304):
        return True
    names = {name.lower() for name, _ in head.headers.raw_items()}
    return b"content-length" in names or b"transfer-encoding" in names
