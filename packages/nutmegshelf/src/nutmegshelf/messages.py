"""Type what entries say to one another; all go over the peers' sockets as tagged msgpack."""

import msgspec

from nutmegshelf import configuration, ids


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Be the base of every peer message."""

    sender: ids.EntryId


class Hello(Message, frozen=True, kw_only=True):
    """Tell peers that an entry lives, and what it has in force."""

    peer_address: str
    zone: ids.ZoneName
    version: ids.Version
    leaving: bool = False


class HeadAccepted(Message, frozen=True, kw_only=True):
    """Spread a newly accepted configuration head."""

    head: configuration.Head


class MinionLeaving(Message, frozen=True, kw_only=True):
    """Spread the news that a minion takes no new work."""

    minion: ids.MinionId
    reason: str


Any = (
    Hello
    # One line a message keeps merges small.
    | HeadAccepted
    | MinionLeaving
)
