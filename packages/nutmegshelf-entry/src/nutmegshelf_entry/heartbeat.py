"""Tell peers and the table that this entry lives, and read which others do."""

import asyncio
import collections.abc

from nutmegshelf import codecs, exceptions, ids, members, messages, platform

from nutmegshelf_entry import logs, peers, table

# Peers that hear one another each second need the table's word less often.
_QUIET_INTERVALS = 2
_log = logs.get_logger("membership")


class Heartbeat:
    """Write this entry's row and read the others'."""

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
        self._on_entries = on_reachable
        self._beat = 0
        self._dialed: set[str] = set()
        self._told: members.EntryRow | None = None
        self._quiet = 0

    async def run(self) -> None:
        """Beat for ever."""
        while True:
            try:
                if self._is_due():
                    await self.send()
            except exceptions.TableError as error:
                _log.warning("Could not write the heartbeat.", error=str(error))
            await asyncio.sleep(self._interval_s)

    async def send(self) -> None:
        """Tell peers, write the own row, read all rows; raises TableError."""
        self._beat += 1
        row = self._make_row(self._beat)
        self._told = row
        self._quiet = 0
        self._dial()
        self._peers.broadcast(messages.Hello(sender=row.entry, row=row))
        write = platform.Write(members.PREFIX + row.entry, codecs.pack(row))
        await self._store.commit(platform.Transaction(writes=(write,)))
        rows = await self._store.scan(members.PREFIX)
        loop = asyncio.get_running_loop()
        self._members.apply_rows(
            [codecs.unpack(found.value, members.EntryRow) for found in rows], loop.time()
        )
        if self._dial():
            self._peers.broadcast(messages.Hello(sender=row.entry, row=row))

    def _is_due(self) -> bool:
        """Say whether this beat must be told: peers' other messages also say that one lives."""
        now_s = asyncio.get_running_loop().time()
        is_new = self._dial()
        self._quiet += 1
        staying = self._members.get_active(now_s)
        is_heard = bool(staying) and len(self._members.get_reachable(now_s)) == len(staying)
        is_same = self._make_row(self._beat) == self._told
        return is_new or not (is_heard and is_same) or self._quiet >= _QUIET_INTERVALS

    def _dial(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        live = self._members.get_live(now_s)
        addresses = {peer.peer_address for peer in live}
        new = bool(addresses - self._dialed)
        self._dialed = addresses
        self._peers.set_addresses(addresses)
        self._on_entries([peer.entry for peer in self._members.get_reachable(now_s)], now_s)
        return new

    def handle_hello(self, row: members.EntryRow) -> bool:
        """Take a peer's own word, so that peers find one another with the table down."""
        new = self._members.apply_hello(row, asyncio.get_running_loop().time())
        if new:
            self._dial()
        return new

    async def deregister(self) -> None:
        """Take the own row away; raises TableError."""
        write = platform.Write(members.PREFIX + self._members.entry, None)
        await self._store.commit(platform.Transaction(writes=(write,)))
