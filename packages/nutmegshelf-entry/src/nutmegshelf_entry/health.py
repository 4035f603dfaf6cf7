"""Keep the lists of minions and entries fresh, and tell both who this entry is."""

import asyncio
import collections.abc

from nutmegshelf import codecs, exceptions, ids, members, messages, platform

from nutmegshelf_entry import logs, peers, slots, table

_log = logs.part("membership")


class FleetWatch:
    """Read the platform's list of minions."""

    def __init__(self, source: table.Table, slot_owner: slots.Slots, poll_interval_s: float):
        self._source = source
        self._slots = slot_owner
        self._poll_interval_s = poll_interval_s
        self._revision = -1

    async def run(self) -> None:
        """Poll the list for ever."""
        while True:
            try:
                await self.refresh()
            except exceptions.TableError as error:
                _log.warning("Could not read the fleet list.", error=str(error))
            await asyncio.sleep(self._poll_interval_s)

    async def refresh(self) -> None:
        """Take the list if it is newer; raises TableUnavailable."""
        listed = await self._source.fleet(self._revision)
        if listed is not None and listed.revision > self._revision:
            self._revision = listed.revision
            self._slots.set_records(listed.minions)


class Heartbeat:
    """Write this entry's row and read the others'."""

    def __init__(
        self,
        rows: table.Rows,
        known: members.Members,
        sockets: peers.Peers,
        make_row: collections.abc.Callable[[int], members.EntryRow],
        interval_s: float,
    ) -> None:
        self._rows = rows
        self._members = known
        self._peers = sockets
        self._make_row = make_row
        self._interval_s = interval_s
        self._beat = 0

    async def run(self) -> None:
        """Beat for ever."""
        while True:
            try:
                await self.beat()
            except exceptions.TableError as error:
                _log.warning("Could not write the heartbeat.", error=str(error))
            await asyncio.sleep(self._interval_s)

    async def beat(self) -> None:
        """Tell peers, write the own row, read all rows; raises TableError."""
        self._beat += 1
        row = self._make_row(self._beat)
        self._peers.broadcast(
            messages.Hello(
                sender=row.entry,
                peer_address=row.peer_address,
                zone=row.zone,
                version=row.version,
                leaving=row.leaving,
            )
        )
        write = platform.Write(members.PREFIX + row.entry, codecs.pack(row))
        await self._rows.commit(platform.Transaction(writes=(write,)))
        rows = await self._rows.scan(members.PREFIX)
        loop = asyncio.get_running_loop()
        self._members.take_rows(
            [codecs.unpack(found.value, members.EntryRow) for found in rows], loop.time()
        )
        live = self._members.live(loop.time())
        self._peers.set_addresses({peer.peer_address for peer in live})

    async def leave(self, entry: ids.EntryId) -> None:
        """Take the own row away."""
        write = platform.Write(members.PREFIX + entry, None)
        await self._rows.commit(platform.Transaction(writes=(write,)))
