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


class ConfigurationBeat(Message, frozen=True, kw_only=True):
    """Tell a peer the version in force and how old its proof by the table is."""

    version: ids.Version
    sent_s: float
    echo_s: float | None = None
    table_age_s: float | None = None


class ConfigurationWanted(Message, frozen=True, kw_only=True):
    """Ask a peer for its whole set, as the objects can't be read."""

    version: ids.Version


class ConfigurationSet(Message, frozen=True, kw_only=True):
    """Give a peer the whole set in force."""

    head: configuration.Head
    data: bytes
    counted: tuple[ids.EntryId, ...] = ()


class BadNews(Message, frozen=True, kw_only=True):
    """Spread what is known against minions: they leave or fail."""

    news: tuple[targets.News, ...]


class MinionsRecovered(Message, frozen=True, kw_only=True):
    """Tell peers that minions answered probes again, so that they probe too."""

    minions: tuple[ids.MinionId, ...]


class SlotsWanted(Message, frozen=True, kw_only=True):
    """Ask a peer to lend unused slots of a service."""

    service: ids.ServiceName
    ask: int
    slots: int


class SlotsLent(Message, frozen=True, kw_only=True):
    """Lend slots for a fixed term to who asked for them."""

    service: ids.ServiceName
    ask: int
    parts: tuple[loans.Part, ...]


class SlotsReturned(Message, frozen=True, kw_only=True):
    """Give lent slots back before the term's end."""

    service: ids.ServiceName
    ask: int
    parts: tuple[loans.Part, ...]


class DemandReport(Message, frozen=True, kw_only=True):
    """Tell peers what an entry was asked over an interval, by service."""

    interval_s: float
    asked: dict[ids.ServiceName, int] = {}
    served: dict[ids.ServiceName, int] = {}
    busy_s: dict[ids.ServiceName, float] = {}
    failed: dict[ids.ServiceName, int] = {}
    failed_s: dict[ids.ServiceName, float] = {}


Any = (
    Hello
    # One line a message keeps merges small.
    | HeadAccepted
    | SlotsWanted
    | SlotsLent
    | SlotsReturned
    | ConfigurationBeat
    | ConfigurationWanted
    | ConfigurationSet
    | BadNews
    | MinionsRecovered
    | DemandReport
)
