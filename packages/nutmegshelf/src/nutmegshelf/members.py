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
    heard_s: float
    spoke_s: float | None = None


@dataclasses.dataclass(slots=True)
class Members:
    """Decide which entries are live by the age of their last news."""

    own: ids.EntryId
    silence_limit_s: float
    known: dict[ids.EntryId, Member] = dataclasses.field(default_factory=dict)

    def take_rows(self, rows: list[EntryRow], now_s: float) -> None:
        """Take the table's rows; only a changed beat is news."""
        for row in rows:
            member = self.known.get(row.entry)
            if member is None or row.beat != member.row.beat:
                spoke_s = member.spoke_s if member else None
                self.known[row.entry] = Member(row, now_s, spoke_s)
        listed = {row.entry for row in rows}
        for entry, member in list(self.known.items()):
            if entry not in listed and not self._is_live(member, now_s):
                del self.known[entry]

    def heard(self, entry: ids.EntryId, now_s: float) -> None:
        """Note that an entry spoke."""
        if member := self.known.get(entry):
            member.heard_s = member.spoke_s = now_s

    def address_of(self, entry: ids.EntryId) -> str | None:
        """Give the peer address of an entry that is known."""
        member = self.known.get(entry)
        return member.row.peer_address if member else None

    def take_hello(self, row: EntryRow, now_s: float) -> bool:
        """Take what an entry says of itself, and say whether it was not live before."""
        member = self.known.get(row.entry)
        new = member is None or not self._is_live(member, now_s)
        self.known[row.entry] = Member(row, now_s, now_s)
        return new

    def _is_live(self, member: Member, now_s: float) -> bool:
        return now_s - member.heard_s <= self.silence_limit_s

    def live(self, now_s: float) -> list[EntryRow]:
        """Give the other entries that were heard of lately."""
        return [
            member.row
            for member in self.known.values()
            if member.row.entry != self.own and self._is_live(member, now_s)
        ]

    def staying(self, now_s: float) -> list[EntryRow]:
        """Give the other entries that live and take new duties."""
        return [row for row in self.live(now_s) if not row.leaving]

    def sharing(self, now_s: float) -> list[EntryRow]:
        """Give those of them that spoke to us lately, whose findings we would hear."""
        return [row for row in self.staying(now_s) if self._spoke(row.entry, now_s)]

    def _spoke(self, entry: ids.EntryId, now_s: float) -> bool:
        spoke_s = self.known[entry].spoke_s
        return spoke_s is not None and now_s - spoke_s <= _SPOKE_PART * self.silence_limit_s
