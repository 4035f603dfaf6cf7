"""Look up the entries of the cluster for the configurator."""

import asyncio

from nutmegshelf import confirmation, ids, members


class EntryDirectory:
    """The entries that this entry has heard from."""

    def __init__(self, membership: members.Members) -> None:
        self._members = membership

    def get_voters(self) -> frozenset[ids.EntryId]:
        """Return the entries heard from recently enough to count for confirmation."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(
            entry
            for entry, member in self._members.by_entry.items()
            if now_s - member.last_heard_s <= confirmation.VOTER_RETENTION_S
            and not member.row.leaving
        )

    def get_addresses(self) -> dict[ids.EntryId, str]:
        """Return the addresses of the live peers by entry."""
        now_s = asyncio.get_running_loop().time()
        return {row.entry: row.peer_address for row in self._members.get_live(now_s)}
