"""Decide whether an entry may go on with the configuration that it has in force."""

import dataclasses
import enum

from nutmegshelf import ids

STALE_AFTER_S = 5.0
COUNTED_FOR_S = 60.0


class Standing(enum.Enum):
    """Say what the configuration in force rests on."""

    STARTING = "starting"
    BY_TABLE = "by-table"
    BY_PEERS = "by-peers"
    STALE = "stale"


@dataclasses.dataclass(slots=True)
class Confirmation:
    """Keep when the version in force was last proved current, in the own clock.

    A peer's word counts from the moment of the own message that it echoes, so that neither a
    paused process nor a late message can make old news look fresh.
    """

    own: ids.EntryId
    table_s: float | None = None
    heard_s: dict[ids.EntryId, float] = dataclasses.field(default_factory=dict)
    counted: frozenset[ids.EntryId] = frozenset()

    def by_table(self, read_started_s: float) -> None:
        """Note that the table named the version in force, as of the start of the read."""
        self.table_s = max(read_started_s, self.table_s or read_started_s)

    def by_peer(
        self,
        peer: ids.EntryId,
        is_same_version: bool,
        echo_s: float | None,
        table_age_s: float | None,
    ) -> None:
        """Note a peer that has nothing newer, and how old its own proof by the table is."""
        if echo_s is None:
            return
        self.heard_s[peer] = max(echo_s, self.heard_s.get(peer, echo_s))
        if is_same_version and table_age_s is not None:
            self.by_table(echo_s - table_age_s)

    def table_age_s(self, now_s: float) -> float | None:
        """Give the age of the last proof by the table."""
        return None if self.table_s is None else now_s - self.table_s

    def set_counted(self, listed: frozenset[ids.EntryId]) -> None:
        """Take which entries there are; frozen while the table can't be read."""
        self.counted = listed | {self.own}
        self.heard_s = {peer: at for peer, at in self.heard_s.items() if peer in self.counted}

    def standing(self, version: ids.Version, now_s: float) -> Standing:
        """Say whether the version in force may be served.

        In an outage of the whole table nothing can be accepted, so a majority of the entries
        that hear one another goes on; fewer may be cut off from where versions are accepted.
        """
        if version == ids.NO_VERSION:
            return Standing.STARTING
        if self.table_s is not None and now_s - self.table_s <= STALE_AFTER_S:
            return Standing.BY_TABLE
        hearing = {peer for peer, at in self.heard_s.items() if now_s - at <= STALE_AFTER_S}
        together = len((hearing | {self.own}) & (self.counted | {self.own}))
        if self.counted and len(self.counted) > 1 and together * 2 > len(self.counted):
            return Standing.BY_PEERS
        return Standing.STALE
