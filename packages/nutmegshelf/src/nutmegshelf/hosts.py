"""Store the state of each worker in a row, and compute its transitions."""

import enum
import typing

import msgspec

from nutmegshelf import codecs, ids, leases, platform, workers

PREFIX = "hosts/"


class HostStep(enum.Enum):
    """State of a worker's row; it is stored before the matching order is sent."""

    SERVING = "serving"
    DRAINING = "draining"
    STARTING = "starting"
    WITHDRAWN = "withdrawn"


class Purpose(enum.Enum):
    """Reason for draining a worker."""

    MOVE = "move"
    MAINTENANCE = "maintenance"


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored state of a worker: its pool, its step and the operation of that step."""

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
    """Worker's row together with the version at which it was read."""

    row: HostRow
    version: int

    @property
    def condition(self) -> platform.Condition:
        """Return a condition that fails if the row has changed since it was read."""
        return platform.Condition(key(self.row.worker), self.version)


def key(worker: ids.WorkerId) -> str:
    """Return the table key of a worker's row."""
    return PREFIX + worker


def decode(row: platform.Row) -> Host:
    """Return the worker's state stored in a table row."""
    return Host(codecs.unpack(row.value, HostRow), row.version)


def encode(row: HostRow) -> platform.Write:
    """Return the write that stores a worker's state."""
    return platform.Write(key(row.worker), codecs.pack(row))


def enroll(record: workers.WorkerRecord, now_s: float) -> HostRow:
    """Return the initial row of a worker that the platform lists for the first time."""
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
    """Return the row of a serving worker that starts to drain."""
    return _step(row, lease, HostStep.DRAINING, purpose=purpose, to_pool=to_pool)


def next_row(row: HostRow, lease: leases.LeaseRow, is_cancelled: bool, now_s: float) -> HostRow:
    """Return the row that follows once the platform has confirmed the current row's order."""
    match row.step, row.purpose:
        case HostStep.DRAINING, _ if is_cancelled:
            # The purpose is cleared, so that the worker doesn't count as maintained afterwards.
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
    """Return the row of a worker that the platform has withdrawn."""
    return _step(row, lease, HostStep.WITHDRAWN)


def restart(row: HostRow, lease: leases.LeaseRow) -> HostRow:
    """Return the row that starts a withdrawn worker after the platform lists it again."""
    return _step(row, lease, HostStep.STARTING)


def order(row: HostRow) -> workers.AnyOrder | None:
    """Return the order of the current step; its operation id makes a repetition idempotent."""
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
    """Return whether a worker's row is in any step but serving."""
    return row.step is not HostStep.SERVING


def is_out_by_order(row: HostRow) -> bool:
    """Return whether a worker is out of service because it was ordered to drain or to start."""
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
    keeps_purpose = step is HostStep.STARTING
    return msgspec.structs.replace(
        row,
        step=step,
        number=number,
        pool=pool or row.pool,
        operation=leases.make_operation_id(lease, row.worker, number) if has_order else None,
        purpose=purpose or (row.purpose if keeps_purpose else None),
        to_pool=to_pool,
        maintained_at_s=row.maintained_at_s if maintained_at_s is None else maintained_at_s,
    )
