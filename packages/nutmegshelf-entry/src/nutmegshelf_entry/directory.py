"""Tell the configurator which entries there are."""

import asyncio

from nutmegshelf import confirmation, ids, members


class EntryDirectory:
    """Read the list of entries for the configurator."""

    def __init__(self, known: members.Members) -> None:
        self._members = known

    def get_voters(self) -> frozenset[ids.EntryId]:
        """Give the entries that were heard of within the counting limit."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(
            entry
            for entry, member in self._members.by_entry.items()
            if now_s - member.last_heard_s <= confirmation.VOTER_RETENTION_S
            and not member.row.leaving
        )

    def get_addresses(self) -> dict[ids.EntryId, str]:
        """Give the live peers' addresses."""
        now_s = asyncio.get_running_loop().time()
        return {row.entry: row.peer_address for row in self._members.get_live(now_s)}
