"""Keep what one entry knows of the other entries."""

import dataclasses

import msgspec

from nutmegshelf import ids

PREFIX = "entries/"
# Whoever takes over the probing of a peer too early only probes twice.
_SPOKE_PART = 0.5


class EntryRow(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an entry in the table; each heartbeat writes it again."""

    entry: ids.EntryId
    zone: ids.ZoneName
    peer_address: str
    operator_address: str
    version: ids.Version = ids.NO_VERSION
    leaving: bool = False
    beat: int = 0


@dataclasses.dataclass(slots=True)
class Member:
    """Keep the last news of one entry."""

    row: EntryRow
    last_heard_s: float
    last_message_s: float | None = None


@dataclasses.dataclass(slots=True)
class Members:
    """Decide which entries are live by the age of their last news."""

    entry: ids.EntryId
    silence_limit_s: float
    by_entry: dict[ids.EntryId, Member] = dataclasses.field(default_factory=dict)

    def apply_rows(self, rows: list[EntryRow], now_s: float) -> None:
        """Take the table's rows; only a changed beat is news."""
        for row in rows:
            member = self.by_entry.get(row.entry)
            if member is None or row.beat != member.row.beat:
                spoke_s = member.last_message_s if member else None
                self.by_entry[row.entry] = Member(row, now_s, spoke_s)
        listed = {row.entry for row in rows}
        for entry, member in list(self.by_entry.items()):
            if entry not in listed and not self._is_live(member, now_s):
                del self.by_entry[entry]

    def record_contact(self, entry: ids.EntryId, now_s: float) -> None:
        """Note that an entry spoke."""
        if member := self.by_entry.get(entry):
            member.last_heard_s = member.last_message_s = now_s

    def get_address(self, entry: ids.EntryId) -> str | None:
        """Give the peer address of an entry that is known."""
        member = self.by_entry.get(entry)
        return member.row.peer_address if member else None

    def apply_hello(self, row: EntryRow, now_s: float) -> bool:
        """Take what an entry says of itself, and say whether it was not live before."""
        member = self.by_entry.get(row.entry)
        new = member is None or not self._is_live(member, now_s)
        self.by_entry[row.entry] = Member(row, now_s, now_s)
        return new

    def _is_live(self, member: Member, now_s: float) -> bool:
        return now_s - member.last_heard_s <= self.silence_limit_s

    def get_live(self, now_s: float) -> list[EntryRow]:
        """Give the other entries that were heard of lately."""
        return [
            member.row
            for member in self.by_entry.values()
            if member.row.entry != self.entry and self._is_live(member, now_s)
        ]

    def get_active(self, now_s: float) -> list[EntryRow]:
        """Give the other entries that live and take new duties."""
        return [row for row in self.get_live(now_s) if not row.leaving]

    def get_reachable(self, now_s: float) -> list[EntryRow]:
        """Give those of them that spoke to us lately, whose findings we would hear."""
        return [row for row in self.get_active(now_s) if self._spoke(row.entry, now_s)]

    def _spoke(self, entry: ids.EntryId, now_s: float) -> bool:
        spoke_s = self.by_entry[entry].last_message_s
        return spoke_s is not None and now_s - spoke_s <= _SPOKE_PART * self.silence_limit_s
