"""Decide whether an entry may keep serving with its active configuration."""

import dataclasses
import enum

from nutmegshelf import ids

STALE_AFTER_S = 5.0
VOTER_RETENTION_S = 60.0


class Status(enum.Enum):
    """Who confirmed that the active configuration is current."""

    STARTING = "starting"
    CONFIRMED_BY_TABLE = "by-table"
    CONFIRMED_BY_PEERS = "by-peers"
    STALE = "stale"


@dataclasses.dataclass(slots=True)
class Confirmation:
    """When the active version was last confirmed as current, in this entry's clock.

    A peer's confirmation counts from the time of the message of this entry that it echoes, so that
    neither a paused process nor a late message makes an old confirmation look recent.
    """

    entry: ids.EntryId
    table_confirmed_s: float | None = None
    last_heard_s: dict[ids.EntryId, float] = dataclasses.field(default_factory=dict)
    voters: frozenset[ids.EntryId] = frozenset()

    def confirm_by_table(self, read_started_s: float) -> None:
        """Record that the table had the active version, as of the start of the read."""
        self.table_confirmed_s = max(read_started_s, self.table_confirmed_s or read_started_s)

    def confirm_by_peer(
        self,
        peer: ids.EntryId,
        is_same_version: bool,
        echo_s: float | None,
        table_age_s: float | None,
    ) -> None:
        """Record a peer without a newer version, and the age of its confirmation by the table."""
        if echo_s is None:
            return
        self.last_heard_s[peer] = max(echo_s, self.last_heard_s.get(peer, echo_s))
        if is_same_version and table_age_s is not None:
            self.confirm_by_table(echo_s - table_age_s)

    def get_table_age_s(self, now_s: float) -> float | None:
        """Return the age of the last confirmation by the table."""
        return None if self.table_confirmed_s is None else now_s - self.table_confirmed_s

    def set_voters(self, entries: frozenset[ids.EntryId]) -> None:
        """Set the entries that count for a majority; kept while the table can't be read."""
        self.voters = entries | {self.entry}
        self.last_heard_s = {
            peer: heard_s for peer, heard_s in self.last_heard_s.items() if peer in self.voters
        }

    def get_status(self, version: ids.Version, now_s: float) -> Status:
        """Return by whom the active version is confirmed.

        While the table is down for all entries, no version can be accepted, so a majority of
        entries in contact with one another may go on. A minority may be cut off from entries that
        still reach the table and accept new versions.
        """
        if version == ids.NO_VERSION:
            return Status.STARTING
        if self.table_confirmed_s is not None and now_s - self.table_confirmed_s <= STALE_AFTER_S:
            return Status.CONFIRMED_BY_TABLE
        reachable = {
            peer for peer, heard_s in self.last_heard_s.items() if now_s - heard_s <= STALE_AFTER_S
        }
        reachable_count = len((reachable | {self.entry}) & (self.voters | {self.entry}))
        if self.voters and len(self.voters) > 1 and reachable_count * 2 > len(self.voters):
            return Status.CONFIRMED_BY_PEERS
        return Status.STALE
