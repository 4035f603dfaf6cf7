"""Keep what one entry knows of the other entries."""

import dataclasses

import msgspec

from nutmegshelf import ids

PREFIX = "entries/"


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
                self.known[row.entry] = Member(row, now_s)
        listed = {row.entry for row in rows}
        for entry, member in list(self.known.items()):
            silent = now_s - member.heard_s > self.silence_limit_s
            if entry not in listed and silent:
                del self.known[entry]

    def heard(self, entry: ids.EntryId, now_s: float) -> None:
        """Note that an entry spoke."""
        if member := self.known.get(entry):
            member.heard_s = now_s

    def live(self, now_s: float) -> list[EntryRow]:
        """Give the other entries that were heard of lately."""
        return [
            member.row
            for member in self.known.values()
            if member.row.entry != self.own and now_s - member.heard_s <= self.silence_limit_s
        ]
