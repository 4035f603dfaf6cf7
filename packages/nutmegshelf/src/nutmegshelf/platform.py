"""Define the data types of the platform's services: rows, transactions and the fleet list."""

import enum

import msgspec

from nutmegshelf import ids


class Row(msgspec.Struct, frozen=True):
    """A row of the table; version 0 means that it does not exist."""

    key: str
    version: int
    value: bytes = b""


class Condition(msgspec.Struct, frozen=True):
    """A condition on the version of a row; version 0 requires that the row does not exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A write to a row; the value None deletes it."""

    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """A set of writes that are applied together if all conditions hold."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


class CommitResult(msgspec.Struct, frozen=True):
    """The result of a transaction: the rows written, or those that failed a condition."""

    ok: bool
    rows: tuple[Row, ...] = ()


class HostState(enum.Enum):
    """Whether a listed host serves or is about to leave."""

    LIVE = "live"
    LEAVING = "leaving"


class MinionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A minion of the fleet list, with its address and its location."""

    minion: ids.MinionId
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    rack: ids.RackName
    worker: ids.WorkerId
    state: HostState = HostState.LIVE


class FleetList(msgspec.Struct, frozen=True, kw_only=True):
    """One page of changes to the fleet list, up to the revision of the page."""

    revision: int
    minions: tuple[MinionRecord, ...] = ()
    gone: tuple[ids.MinionId, ...] = ()
    more: bool = False
