"""Decide whether an entry may go on with the configuration that it has in force."""

import dataclasses
import enum

from nutmegshelf import ids

STALE_AFTER_S = 5.0
VOTER_RETENTION_S = 60.0


class Status(enum.Enum):
    """Say what the configuration in force rests on."""

    STARTING = "starting"
    CONFIRMED_BY_TABLE = "by-table"
    CONFIRMED_BY_PEERS = "by-peers"
    STALE = "stale"


@dataclasses.dataclass(slots=True)
class Confirmation:
    """Keep when the version in force was last proved current, in the own clock.

    A peer's word counts from the moment of the own message that it echoes, so that neither a
    paused process nor a late message can make old news look fresh.
    """

    entry: ids.EntryId
    table_confirmed_s: float | None = None
    last_heard_s: dict[ids.EntryId, float] = dataclasses.field(default_factory=dict)
    voters: frozenset[ids.EntryId] = frozenset()

    def confirm_by_table(self, read_started_s: float) -> None:
        """Note that the table named the version in force, as of the start of the read."""
        self.table_confirmed_s = max(read_started_s, self.table_confirmed_s or read_started_s)

    def confirm_by_peer(
        self,
        peer: ids.EntryId,
        is_same_version: bool,
        echo_s: float | None,
        table_age_s: float | None,
    ) -> None:
        """Note a peer that has nothing newer, and how old its own proof by the table is."""
        if echo_s is None:
            return
        self.last_heard_s[peer] = max(echo_s, self.last_heard_s.get(peer, echo_s))
        if is_same_version and table_age_s is not None:
            self.confirm_by_table(echo_s - table_age_s)

    def get_table_age_s(self, now_s: float) -> float | None:
        """Give the age of the last proof by the table."""
        return None if self.table_confirmed_s is None else now_s - self.table_confirmed_s

    def set_voters(self, listed: frozenset[ids.EntryId]) -> None:
        """Take which entries there are; frozen while the table can't be read."""
        self.voters = listed | {self.entry}
        self.last_heard_s = {
            peer: at for peer, at in self.last_heard_s.items() if peer in self.voters
        }

    def get_status(self, version: ids.Version, now_s: float) -> Status:
        """Say whether the version in force may be served.

        In an outage of the whole table nothing can be accepted, so a majority of the entries
        that hear one another goes on; fewer may be cut off from where versions are accepted.
        """
        if version == ids.NO_VERSION:
            return Status.STARTING
        if self.table_confirmed_s is not None and now_s - self.table_confirmed_s <= STALE_AFTER_S:
            return Status.CONFIRMED_BY_TABLE
        hearing = {peer for peer, at in self.last_heard_s.items() if now_s - at <= STALE_AFTER_S}
        together = len((hearing | {self.entry}) & (self.voters | {self.entry}))
        if self.voters and len(self.voters) > 1 and together * 2 > len(self.voters):
            return Status.CONFIRMED_BY_PEERS
        return Status.STALE
