"""Define the messages between entries, sent over the peer sockets as tagged msgpack."""

import msgspec

from nutmegshelf import configuration, ids, loans, members, targets


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The base class of peer messages."""

    sender: ids.EntryId


class Hello(Message, frozen=True, kw_only=True):
    """The row of the sender, which shows that it is alive."""

    row: members.EntryRow


class HeadAccepted(Message, frozen=True, kw_only=True):
    """A newly accepted configuration, as its changes or only its head."""

    head: configuration.Head
    revision: configuration.Revision | None = None


class ConfigurationHeartbeat(Message, frozen=True, kw_only=True, tag="ConfigurationBeat"):
    """The sender's active version, and how long ago the table confirmed it."""

    version: ids.Version
    sent_s: float
    echo_s: float | None = None
    table_age_s: float | None = None


class ConfigurationRequest(Message, frozen=True, kw_only=True, tag="ConfigurationWanted"):
    """Request the whole declaration set from a peer, as the stored object can't be read."""

    version: ids.Version


class ConfigurationSet(Message, frozen=True, kw_only=True):
    """The whole active declaration set."""

    head: configuration.Head
    data: bytes
    voters: tuple[ids.EntryId, ...] = msgspec.field(default=(), name="counted")


class MinionsExcluded(Message, frozen=True, kw_only=True, tag="BadNews"):
    """Minions that get no new work, as they leave or fail."""

    exclusions: tuple[targets.Exclusion, ...] = msgspec.field(name="news")


class MinionsRecovered(Message, frozen=True, kw_only=True):
    """Minions that answered the sender's probes again, so that peers probe them too."""

    minions: tuple[ids.MinionId, ...]


class SlotsRequested(Message, frozen=True, kw_only=True, tag="SlotsWanted"):
    """Request a loan of unused slots of a service."""

    service: ids.ServiceName
    loan_number: int = msgspec.field(name="ask")
    slots: int


class SlotsLent(Message, frozen=True, kw_only=True):
    """A loan of slots for a fixed term, to the entry that requested it."""

    service: ids.ServiceName
    loan_number: int = msgspec.field(name="ask")
    slot_counts: tuple[loans.SlotCount, ...] = msgspec.field(name="parts")


class SlotsReturned(Message, frozen=True, kw_only=True):
    """Borrowed slots that are returned before the end of the term."""

    service: ids.ServiceName
    loan_number: int = msgspec.field(name="ask")
    slot_counts: tuple[loans.SlotCount, ...] = msgspec.field(name="parts")


class DemandReport(Message, frozen=True, kw_only=True):
    """The requests and attempts at the sender over an interval, by service."""

    interval_s: float
    requests: dict[ids.ServiceName, int] = msgspec.field(default_factory=dict, name="asked")
    served: dict[ids.ServiceName, int] = {}
    busy_s: dict[ids.ServiceName, float] = {}
    failed: dict[ids.ServiceName, int] = {}
    failed_s: dict[ids.ServiceName, float] = {}


AnyMessage = (
    Hello
    # One message per line keeps merge conflicts small.
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
