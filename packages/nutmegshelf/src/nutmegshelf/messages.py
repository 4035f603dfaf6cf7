"""Type what entries say to one another; all go over the peers' sockets as tagged msgpack."""

import msgspec

from nutmegshelf import configuration, ids, members, targets


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Be the base of every peer message."""

    sender: ids.EntryId


class Hello(Message, frozen=True, kw_only=True):
    """Tell peers that an entry lives, and what it has in force."""

    row: members.EntryRow


class HeadAccepted(Message, frozen=True, kw_only=True):
    """Spread a newly accepted configuration head."""

    head: configuration.Head


class BadNews(Message, frozen=True, kw_only=True):
    """Spread what is known against minions: they leave or fail."""

    news: tuple[targets.News, ...]


class MinionsRecovered(Message, frozen=True, kw_only=True):
    """Tell peers that minions answered probes again, so that they probe too."""

    minions: tuple[ids.MinionId, ...]


Any = (
    Hello
    # One line a message keeps merges small.
    | HeadAccepted
    | BadNews
    | MinionsRecovered
)
