"""Type what entries say to one another; all go over the peers' sockets as tagged msgpack."""

import msgspec

from nutmegshelf import configuration, ids, loans, members, targets


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Be the base of every peer message."""

    sender: ids.EntryId


class Hello(Message, frozen=True, kw_only=True):
    """Tell peers that an entry lives, and what it has in force."""

    row: members.EntryRow


class HeadAccepted(Message, frozen=True, kw_only=True):
    """Spread a newly accepted configuration by its changes, or by its head alone."""

    head: configuration.Head
    revision: configuration.Revision | None = None


class ConfigurationHeartbeat(Message, frozen=True, kw_only=True, tag="ConfigurationBeat"):
    """Tell a peer the version in force and how old its proof by the table is."""

    version: ids.Version
    sent_s: float
    echo_s: float | None = None
    table_age_s: float | None = None


class ConfigurationRequest(Message, frozen=True, kw_only=True, tag="ConfigurationWanted"):
    """Ask a peer for its whole set, as the objects can't be read."""

    version: ids.Version


class ConfigurationSet(Message, frozen=True, kw_only=True):
    """Give a peer the whole set in force."""

    head: configuration.Head
    data: bytes
    voters: tuple[ids.EntryId, ...] = msgspec.field(default=(), name="counted")


class MinionsExcluded(Message, frozen=True, kw_only=True, tag="BadNews"):
    """Spread what is known against minions: they leave or fail."""

    exclusions: tuple[targets.Exclusion, ...] = msgspec.field(name="news")


class MinionsRecovered(Message, frozen=True, kw_only=True):
    """Tell peers that minions answered probes again, so that they probe too."""

    minions: tuple[ids.MinionId, ...]


class SlotsRequested(Message, frozen=True, kw_only=True, tag="SlotsWanted"):
    """Ask a peer to lend unused slots of a service."""

    service: ids.ServiceName
    loan_number: int = msgspec.field(name="ask")
    slots: int


class SlotsLent(Message, frozen=True, kw_only=True):
    """Lend slots for a fixed term to who asked for them."""

    service: ids.ServiceName
    loan_number: int = msgspec.field(name="ask")
    slot_counts: tuple[loans.SlotCount, ...] = msgspec.field(name="parts")


class SlotsReturned(Message, frozen=True, kw_only=True):
    """Give lent slots back before the term's end."""

    service: ids.ServiceName
    loan_number: int = msgspec.field(name="ask")
    slot_counts: tuple[loans.SlotCount, ...] = msgspec.field(name="parts")


class DemandReport(Message, frozen=True, kw_only=True):
    """Tell peers what an entry was asked over an interval, by service."""

    interval_s: float
    requests: dict[ids.ServiceName, int] = msgspec.field(default_factory=dict, name="asked")
    served: dict[ids.ServiceName, int] = {}
    busy_s: dict[ids.ServiceName, float] = {}
    failed: dict[ids.ServiceName, int] = {}
    failed_s: dict[ids.ServiceName, float] = {}


AnyMessage = (
    Hello
    # One line a message keeps merges small.
    | HeadAccepted
    | SlotsRequested
    | SlotsLent
    | SlotsReturned
    | ConfigurationHeartbeat
    | ConfigurationRequest
    | ConfigurationSet
    | MinionsExcluded
    | MinionsRecovered
    | DemandReport
)
