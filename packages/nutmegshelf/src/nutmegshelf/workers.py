"""Type what the platform's workers service says, and the orders that it takes."""

import enum

import msgspec

from nutmegshelf import ids


class WorkerState(enum.Enum):
    """Say what the platform knows of a worker."""

    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    GONE = "gone"


class WorkerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """List one worker: where it stands, its shape and the pool that it was last started in."""

    worker: ids.WorkerId
    zone: ids.ZoneName
    rack: ids.RackName
    pool: ids.PoolName
    cores: float = 64.0
    memory_gb: float = 128.0
    accelerators: int = 0
    state: WorkerState = WorkerState.READY


class WorkerList(msgspec.Struct, frozen=True, kw_only=True):
    """Give the platform's list of workers, with a revision that grows with each change."""

    revision: int
    workers: tuple[WorkerRecord, ...] = ()


class Order(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Be the base of every order; a repeat with the same operation is the same effect."""

    operation: ids.OperationId
    worker: ids.WorkerId


class Drain(Order, frozen=True, kw_only=True):
    """Take no new work at a worker and let its work in progress run out."""


class Start(Order, frozen=True, kw_only=True):
    """Bring a drained worker back, freshly booted, in a pool."""

    pool: ids.PoolName


class StartTask(Order, frozen=True, kw_only=True):
    """Start a task of a job at a worker under a platform lease."""

    task: ids.TaskId
    job: ids.JobName
    lease_s: float


class CheckpointTask(Order, frozen=True, kw_only=True):
    """Save a task's state and stop it there."""

    task: ids.TaskId


class StopTask(Order, frozen=True, kw_only=True):
    """Stop a task without saving its state."""

    task: ids.TaskId


AnyOrder = Drain | Start | StartTask | CheckpointTask | StopTask


class Outcome(enum.Enum):
    """Say how far an order has come."""

    PENDING = "pending"
    DONE = "done"
    REFUSED = "refused"


class TaskUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Report what a task used; comes with a lag."""

    task: ids.TaskId
    job: ids.JobName
    worker: ids.WorkerId
    cores: float
    memory_gb: float
    started_by: ids.OperationId | None = None
    ended: bool = False
    failed: bool = False
