"""Store the state of each task in a row, and compute its transitions."""

import enum
import typing

import msgspec

from nutmegshelf import codecs, ids, leases, platform, workers

PREFIX = "tasks/"
PLATFORM_LEASE_S = 60.0


class TaskState(enum.Enum):
    """State of a task; it is stored before the matching order is sent."""

    PENDING = "pending"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDED = "ended"
    DELETED = "deleted"


class TaskRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored state of a task: its worker, and the operations of its current state and its start."""

    task: ids.TaskId
    job: ids.JobName
    pool: ids.PoolName
    state: TaskState = TaskState.PENDING
    worker: ids.WorkerId | None = None
    number: int = 0
    operation: ids.OperationId | None = None
    started_by: ids.OperationId | None = None
    guarded: bool = False


class Task(typing.NamedTuple):
    """Task row together with the version at which it was read, 0 if it is not stored yet."""

    row: TaskRow
    version: int

    @property
    def condition(self) -> platform.Condition:
        """Return a condition that fails if the row has changed since it was read."""
        return platform.Condition(key(self.row.task), self.version)


def key(task: ids.TaskId) -> str:
    """Return the table key of a task's row."""
    return PREFIX + task


def task_id(job: ids.JobName, index: int) -> ids.TaskId:
    """Return the id of a job's task with the given index."""
    return ids.TaskId(f"{job}/{index}")


def decode(row: platform.Row) -> Task:
    """Return the task stored in a table row."""
    return Task(codecs.unpack(row.value, TaskRow), row.version)


def encode(row: TaskRow) -> platform.Write:
    """Return the write that stores a task's row."""
    return platform.Write(key(row.task), codecs.pack(row))


def advance(
    row: TaskRow, lease: leases.LeaseRow, state: TaskState, worker: ids.WorkerId | None = None
) -> TaskRow:
    """Return a task's row in its next state, with an operation id if that state has an order."""
    number = row.number + 1
    operation = (
        leases.make_operation_id(lease, row.task, number) if state in _STATES_WITH_ORDER else None
    )
    return msgspec.structs.replace(
        row,
        state=state,
        number=number,
        pool=lease.pool,
        worker=worker if worker is not None else (row.worker if state in _PLACED_STATES else None),
        operation=operation,
        started_by=operation if state is TaskState.STARTING else row.started_by,
    )


def order(row: TaskRow) -> workers.AnyOrder | None:
    """Return the order of the current state, under the operation id in the row."""
    if row.operation is None or row.worker is None:
        return None
    match row.state:
        case TaskState.STARTING:
            return workers.StartTask(
                operation=row.operation,
                worker=row.worker,
                task=row.task,
                job=row.job,
                lease_s=PLATFORM_LEASE_S,
            )
        case TaskState.CHECKPOINTING:
            return workers.CheckpointTask(operation=row.operation, worker=row.worker, task=row.task)
        case TaskState.STOPPING:
            return workers.StopTask(operation=row.operation, worker=row.worker, task=row.task)
        case _:
            return None


def apply_outcome(row: TaskRow, lease: leases.LeaseRow, outcome: workers.Outcome) -> TaskRow | None:
    """Return the row that follows an order's outcome, or None while the outcome is pending."""
    if outcome is workers.Outcome.PENDING:
        return None
    match row.state:
        case TaskState.STARTING if outcome is workers.Outcome.DONE:
            return advance(row, lease, TaskState.RUNNING)
        case TaskState.STARTING | TaskState.CHECKPOINTING:
            # The platform refuses an order only if the worker is gone, so nothing runs there.
            return advance(row, lease, TaskState.PENDING)
        case TaskState.STOPPING:
            return advance(row, lease, TaskState.DELETED)
        case _:
            return None


def apply_usage(row: TaskRow, lease: leases.LeaseRow, usage: workers.TaskUsage) -> TaskRow | None:
    """Return the row that follows a task's reported end, or None for the report of another run."""
    if row.state is not TaskState.RUNNING or not usage.ended or usage.started_by != row.started_by:
        return None
    return advance(row, lease, TaskState.PENDING if usage.failed else TaskState.ENDED)


def may_be_running(row: TaskRow) -> bool:
    """Return whether the task runs at a worker or may do so."""
    return row.state in _PLACED_STATES


_PLACED_STATES = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.CHECKPOINTING, TaskState.STOPPING}
)
_STATES_WITH_ORDER = _PLACED_STATES - {TaskState.RUNNING}
