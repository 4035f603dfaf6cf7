"""Define the lists and reports of the platform's worker service, and the orders to it."""

import enum

import msgspec

from nutmegshelf import ids


class WorkerState(enum.Enum):
    """State of a worker as the platform reports it."""

    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    GONE = "gone"


class WorkerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Location and capacity of a worker, and the pool that it was last started in."""

    worker: ids.WorkerId
    zone: ids.ZoneName
    rack: ids.RackName
    pool: ids.PoolName
    cores: float = 64.0
    memory_gb: float = 128.0
    accelerators: int = 0
    state: WorkerState = WorkerState.READY


class WorkerList(msgspec.Struct, frozen=True, kw_only=True):
    """List of workers from the platform, with a revision that grows with each change."""

    revision: int
    workers: tuple[WorkerRecord, ...] = ()


class Order(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all orders; an order repeated under the same operation id has no further effect."""

    operation: ids.OperationId
    worker: ids.WorkerId


class Drain(Order, frozen=True, kw_only=True):
    """Stop new work at a worker and let its work in progress finish."""


class Start(Order, frozen=True, kw_only=True):
    """Reboot a drained worker and return it to service in a pool."""

    pool: ids.PoolName


class StartTask(Order, frozen=True, kw_only=True):
    """Start a task at a worker under a lease of the platform."""

    task: ids.TaskId
    job: ids.JobName
    lease_s: float


class CheckpointTask(Order, frozen=True, kw_only=True):
    """Save a checkpoint of a task and stop it."""

    task: ids.TaskId


class StopTask(Order, frozen=True, kw_only=True):
    """Stop a task without a checkpoint."""

    task: ids.TaskId


AnyOrder = Drain | Start | StartTask | CheckpointTask | StopTask


class Outcome(enum.Enum):
    """Progress of an order."""

    PENDING = "pending"
    DONE = "done"
    REFUSED = "refused"


class TaskUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage and end of a task, which the platform reports with a delay."""

    task: ids.TaskId
    job: ids.JobName
    worker: ids.WorkerId
    cores: float
    memory_gb: float
    started_by: ids.OperationId | None = None
    ended: bool = False
    failed: bool = False
