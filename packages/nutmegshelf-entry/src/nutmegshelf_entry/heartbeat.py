"""Heartbeats of this entry to its peers and the table, and the membership read from there."""

import asyncio
import collections.abc

from nutmegshelf import codecs, exceptions, ids, members, messages, platform

from nutmegshelf_entry import logs, peers, table

# While all peers hear one another and the row is unchanged, a heartbeat goes to the table only
# every so many intervals.
_IDLE_INTERVALS = 2
_log = logs.get_logger("membership")


class Heartbeat:
    """Periodic writer of this entry's row and reader of the rows of the other entries."""

    def __init__(
        self,
        store: table.Store,
        entries: members.Members,
        peer_sockets: peers.Peers,
        make_row: collections.abc.Callable[[int], members.EntryRow],
        interval_s: float,
        *,
        on_reachable: collections.abc.Callable[[list[ids.EntryId], float], None],
    ) -> None:
        self._store = store
        self._members = entries
        self._peers = peer_sockets
        self._make_row = make_row
        self._interval_s = interval_s
        self._on_reachable = on_reachable
        self._beat = 0
        self._dialed: set[str] = set()
        self._last_sent_row: members.EntryRow | None = None
        self._intervals_since_sent = 0

    async def run(self) -> None:
        """Send heartbeats when due until cancelled."""
        while True:
            try:
                if self._is_due():
                    await self.send()
            except exceptions.TableError as error:
                _log.warning("Could not write the heartbeat.", error=str(error))
            await asyncio.sleep(self._interval_s)

    async def send(self) -> None:
        """Notify peers, write the own row and read all rows; raises TableError."""
        self._beat += 1
        row = self._make_row(self._beat)
        self._last_sent_row = row
        self._intervals_since_sent = 0
        self._update_connections()
        self._peers.broadcast(messages.Hello(sender=row.entry, row=row))
        write = platform.Write(members.PREFIX + row.entry, codecs.pack(row))
        await self._store.commit(platform.Transaction(writes=(write,)))
        rows = await self._store.scan(members.PREFIX)
        loop = asyncio.get_running_loop()
        self._members.apply_rows(
            [codecs.unpack(stored.value, members.EntryRow) for stored in rows], loop.time()
        )
        if self._update_connections():
            self._peers.broadcast(messages.Hello(sender=row.entry, row=row))

    def _is_due(self) -> bool:
        """Check whether a heartbeat is needed; other messages to peers also prove liveness."""
        now_s = asyncio.get_running_loop().time()
        has_new_peers = self._update_connections()
        self._intervals_since_sent += 1
        active = self._members.get_active(now_s)
        are_all_reachable = bool(active) and len(self._members.get_reachable(now_s)) == len(active)
        is_unchanged = self._make_row(self._beat) == self._last_sent_row
        return (
            has_new_peers
            or not (are_all_reachable and is_unchanged)
            or self._intervals_since_sent >= _IDLE_INTERVALS
        )

    def _update_connections(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        live = self._members.get_live(now_s)
        addresses = {peer.peer_address for peer in live}
        has_new_peers = bool(addresses - self._dialed)
        self._dialed = addresses
        self._peers.set_addresses(addresses)
        self._on_reachable([peer.entry for peer in self._members.get_reachable(now_s)], now_s)
        return has_new_peers

    def handle_hello(self, row: members.EntryRow) -> bool:
        """Apply a peer's own row, so that entries find one another while the table is down."""
        is_new = self._members.apply_hello(row, asyncio.get_running_loop().time())
        if is_new:
            self._update_connections()
        return is_new

    async def deregister(self) -> None:
        """Delete the own row; raises TableError."""
        write = platform.Write(members.PREFIX + self._members.entry, None)
        await self._store.commit(platform.Transaction(writes=(write,)))
