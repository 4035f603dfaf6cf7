"""Hold one row a worker, and step it through drain, wait, change and start."""

import enum
import typing

import msgspec

from nutmegshelf import codecs, ids, leases, platform, workers

PREFIX = "hosts/"


class HostStep(enum.Enum):
    """Say how far a worker has come; a step is written before its order is sent."""

    SERVING = "serving"
    DRAINING = "draining"
    STARTING = "starting"
    WITHDRAWN = "withdrawn"


class Purpose(enum.Enum):
    """Say why a worker drains."""

    MOVE = "move"
    MAINTENANCE = "maintenance"


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the one pool of a worker, and the step that it is in."""

    worker: ids.WorkerId
    pool: ids.PoolName
    zone: ids.ZoneName
    rack: ids.RackName
    step: HostStep = HostStep.SERVING
    number: int = 0
    operation: ids.OperationId | None = None
    purpose: Purpose | None = None
    to_pool: ids.PoolName | None = None
    maintained_at_s: float = 0.0


class Host(typing.NamedTuple):
    """Pair a worker's row with the version that it was read at."""

    row: HostRow
    version: int

    @property
    def condition(self) -> platform.Condition:
        """Demand that the row did not change since it was read."""
        return platform.Condition(key(self.row.worker), self.version)


def key(worker: ids.WorkerId) -> str:
    """Name the row of a worker."""
    return PREFIX + worker


def decode(row: platform.Row) -> Host:
    """Decode a worker's row."""
    return Host(codecs.unpack(row.value, HostRow), row.version)


def encode(row: HostRow) -> platform.Write:
    """Encode a worker's row."""
    return platform.Write(key(row.worker), codecs.pack(row))


def enroll(record: workers.WorkerRecord, now_s: float) -> HostRow:
    """Make the first row of a worker that the platform lists."""
    return HostRow(
        worker=record.worker,
        pool=record.pool,
        zone=record.zone,
        rack=record.rack,
        maintained_at_s=now_s,
    )


def start_drain(
    row: HostRow, lease: leases.LeaseRow, purpose: Purpose, to_pool: ids.PoolName | None = None
) -> HostRow:
    """Write down that a serving worker is to drain."""
    return _step(row, lease, HostStep.DRAINING, purpose=purpose, to_pool=to_pool)


def next_row(row: HostRow, lease: leases.LeaseRow, recall: bool, now_s: float) -> HostRow:
    """Give the row that follows once the platform confirmed the order of the present one."""
    match row.step, row.purpose:
        case HostStep.DRAINING, _ if recall:
            # Without its purpose the row won't count as maintained once it serves again.
            return _step(msgspec.structs.replace(row, purpose=None), lease, HostStep.STARTING)
        case HostStep.DRAINING, Purpose.MOVE if row.to_pool is not None:
            return _step(row, lease, HostStep.STARTING, pool=row.to_pool)
        case HostStep.DRAINING, _:
            return _step(row, lease, HostStep.STARTING)
        case HostStep.STARTING, Purpose.MAINTENANCE:
            return _step(row, lease, HostStep.SERVING, maintained_at_s=now_s)
        case HostStep.STARTING, _:
            return _step(row, lease, HostStep.SERVING)
        case _:
            return row


def withdraw(row: HostRow, lease: leases.LeaseRow) -> HostRow:
    """Write down that the platform took a worker back."""
    return _step(row, lease, HostStep.WITHDRAWN)


def restart(row: HostRow, lease: leases.LeaseRow) -> HostRow:
    """Write down that a withdrawn worker is listed again and is to start."""
    return _step(row, lease, HostStep.STARTING)


def order(row: HostRow) -> workers.AnyOrder | None:
    """Give the order of the present step; the row names its operation, so a repeat is safe."""
    if row.operation is None:
        return None
    match row.step:
        case HostStep.DRAINING:
            return workers.Drain(operation=row.operation, worker=row.worker)
        case HostStep.STARTING:
            return workers.Start(operation=row.operation, worker=row.worker, pool=row.pool)
        case _:
            return None


def is_out_of_service(row: HostRow) -> bool:
    """Say whether a worker serves nothing by its row."""
    return row.step is not HostStep.SERVING


def is_out_by_order(row: HostRow) -> bool:
    """Say whether a worker serves nothing because it was ordered to drain, or to start again."""
    return row.step in (HostStep.DRAINING, HostStep.STARTING)


def _step(
    row: HostRow,
    lease: leases.LeaseRow,
    step: HostStep,
    *,
    pool: ids.PoolName | None = None,
    purpose: Purpose | None = None,
    to_pool: ids.PoolName | None = None,
    maintained_at_s: float | None = None,
) -> HostRow:
    number = row.number + 1
    has_order = step in (HostStep.DRAINING, HostStep.STARTING)
    keeps = step is HostStep.STARTING
    return msgspec.structs.replace(
        row,
        step=step,
        number=number,
        pool=pool or row.pool,
        operation=leases.make_operation_id(lease, row.worker, number) if has_order else None,
        purpose=purpose or (row.purpose if keeps else None),
        to_pool=to_pool,
        maintained_at_s=row.maintained_at_s if maintained_at_s is None else maintained_at_s,
    )
