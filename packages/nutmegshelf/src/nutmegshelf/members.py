"""Track which of the other entries are live."""

import dataclasses
import math

import msgspec

from nutmegshelf import ids

PREFIX = "entries/"
# Taking over a peer's probes too early only means that some are sent twice.
_CONTACT_FRACTION = 0.5


class EntryRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row of an entry in the table, rewritten by each heartbeat."""

    entry: ids.EntryId
    zone: ids.ZoneName
    peer_address: str
    operator_address: str
    version: ids.Version = ids.NO_VERSION
    leaving: bool = False
    beat: int = 0


@dataclasses.dataclass(slots=True)
class Member:
    """The last row of an entry, and when it was last heard of, by any way and directly."""

    row: EntryRow
    last_heard_s: float
    last_message_s: float | None = None


@dataclasses.dataclass(slots=True)
class Members:
    """The known entries; those heard of within the silence limit are live."""

    entry: ids.EntryId
    silence_limit_s: float
    by_entry: dict[ids.EntryId, Member] = dataclasses.field(default_factory=dict)
    applied_s: float = -math.inf

    def apply_rows(self, rows: list[EntryRow], now_s: float) -> None:
        """Apply the rows of the table; only a changed beat shows that an entry lives."""
        self.applied_s = now_s
        for row in rows:
            member = self.by_entry.get(row.entry)
            if member is None or row.beat != member.row.beat:
                message_s = member.last_message_s if member else None
                self.by_entry[row.entry] = Member(row, now_s, message_s)
        listed = {row.entry for row in rows}
        for entry, member in list(self.by_entry.items()):
            if entry not in listed and not self._is_live(member, now_s):
                del self.by_entry[entry]

    def record_contact(self, entry: ids.EntryId, now_s: float) -> None:
        """Record a message from an entry."""
        if member := self.by_entry.get(entry):
            member.last_heard_s = member.last_message_s = now_s

    def get_address(self, entry: ids.EntryId) -> str | None:
        """Return the peer address of an entry, or none where it is unknown."""
        member = self.by_entry.get(entry)
        return member.row.peer_address if member else None

    def apply_hello(self, row: EntryRow, now_s: float) -> bool:
        """Apply the row that an entry sent, and return whether it was not live before."""
        member = self.by_entry.get(row.entry)
        is_new = member is None or not self._is_live(member, now_s)
        self.by_entry[row.entry] = Member(row, now_s, now_s)
        return is_new

    def _is_live(self, member: Member, now_s: float) -> bool:
        return now_s - member.last_heard_s <= self.silence_limit_s

    def is_listed_as_running(self, entry: ids.EntryId) -> bool:
        """Return whether an entry has a row in which it is not leaving."""
        member = self.by_entry.get(entry)
        return member is not None and not member.row.leaving

    def list_addresses(self) -> list[str]:
        """Return the peer addresses of all other known entries, live or not."""
        rows = [member.row for member in self.by_entry.values()]
        return [row.peer_address for row in rows if row.entry != self.entry]

    def get_live(self, now_s: float) -> list[EntryRow]:
        """Return the other entries that were heard of within the silence limit."""
        return [
            member.row
            for member in self.by_entry.values()
            if member.row.entry != self.entry and self._is_live(member, now_s)
        ]

    def get_last_active(self) -> list[EntryRow]:
        """Return the other entries that were active when the table's rows were last read.

        None is left out because this entry stood still, or has not reached the table since.
        """
        return [row for row in self.get_live(self.applied_s) if not row.leaving]

    def get_active(self, now_s: float) -> list[EntryRow]:
        """Return the other live entries that are not shutting down."""
        return [row for row in self.get_live(now_s) if not row.leaving]

    def get_reachable(self, now_s: float) -> list[EntryRow]:
        """Return the active entries with recent messages, whose reports would arrive here."""
        return [row for row in self.get_active(now_s) if self._is_reachable(row.entry, now_s)]

    def _is_reachable(self, entry: ids.EntryId, now_s: float) -> bool:
        message_s = self.by_entry[entry].last_message_s
        return (
            message_s is not None and now_s - message_s <= _CONTACT_FRACTION * self.silence_limit_s
        )
