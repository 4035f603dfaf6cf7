"""Type what the platform's services say: rows, transactions, the fleet list."""

import enum

import msgspec

from nutmegshelf import ids


class Row(msgspec.Struct, frozen=True):
    """Hold a row of the table; version 0 means that it does not exist."""

    key: str
    version: int
    value: bytes = b""


class Condition(msgspec.Struct, frozen=True):
    """Demand that a row still has a version; 0 demands that it does not exist."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Set a row, or delete it where the value is none."""

    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """Apply all writes together if all conditions hold."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


class CommitResult(msgspec.Struct, frozen=True):
    """Answer a transaction: the rows written, or those that broke a condition."""

    ok: bool
    rows: tuple[Row, ...] = ()


class HostState(enum.Enum):
    """Say whether the list takes a host for live."""

    LIVE = "live"
    LEAVING = "leaving"


class MinionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """List one minion: where it listens and where it stands."""

    minion: ids.MinionId
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    rack: ids.RackName
    worker: ids.WorkerId
    state: HostState = HostState.LIVE


class FleetList(msgspec.Struct, frozen=True, kw_only=True):
    """Give what changed on the platform's list after a revision, up to the page's own revision."""

    revision: int
    minions: tuple[MinionRecord, ...] = ()
    gone: tuple[ids.MinionId, ...] = ()
    more: bool = False
