"""Hold one row a task, and step it through start, checkpoint and stop."""

import enum
import typing

import msgspec

from nutmegshelf import codecs, ids, leases, platform, workers

PREFIX = "tasks/"
PLATFORM_LEASE_S = 60.0


class TaskState(enum.Enum):
    """Say how far a task has come; a state is written before its order is sent."""

    PENDING = "pending"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    ENDED = "ended"
    DELETED = "deleted"


class TaskRow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold where a task runs, or may run."""

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
    """Pair a task's row with the version that it was read at; 0 where there is none yet."""

    row: TaskRow
    version: int

    @property
    def condition(self) -> platform.Condition:
        """Demand that the row did not change since it was read."""
        return platform.Condition(key(self.row.task), self.version)


def key(task: ids.TaskId) -> str:
    """Name the row of a task."""
    return PREFIX + task


def task_id(job: ids.JobName, index: int) -> ids.TaskId:
    """Name one task of a job."""
    return ids.TaskId(f"{job}/{index}")


def decode(row: platform.Row) -> Task:
    """Decode a task's row."""
    return Task(codecs.unpack(row.value, TaskRow), row.version)


def encode(row: TaskRow) -> platform.Write:
    """Encode a task's row."""
    return platform.Write(key(row.task), codecs.pack(row))


def advance(
    row: TaskRow, lease: leases.LeaseRow, state: TaskState, worker: ids.WorkerId | None = None
) -> TaskRow:
    """Give a task's row in its next state, with an operation where the state has an order."""
    number = row.number + 1
    named = leases.make_operation_id(lease, row.task, number) if state in _ORDERED else None
    return msgspec.structs.replace(
        row,
        state=state,
        number=number,
        pool=lease.pool,
        worker=worker if worker is not None else (row.worker if state in _PLACED else None),
        operation=named,
        started_by=named if state is TaskState.STARTING else row.started_by,
    )


def order(row: TaskRow) -> workers.AnyOrder | None:
    """Give the order of the present state; the row names its operation."""
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
    """Give the row that follows the platform's word, or none while it has not settled."""
    if outcome is workers.Outcome.PENDING:
        return None
    match row.state:
        case TaskState.STARTING if outcome is workers.Outcome.DONE:
            return advance(row, lease, TaskState.RUNNING)
        case TaskState.STARTING | TaskState.CHECKPOINTING:
            # A refusal says that the worker is gone, and so that nothing runs there.
            return advance(row, lease, TaskState.PENDING)
        case TaskState.STOPPING:
            return advance(row, lease, TaskState.DELETED)
        case _:
            return None


def apply_usage(row: TaskRow, lease: leases.LeaseRow, usage: workers.TaskUsage) -> TaskRow | None:
    """Give the row that follows a report of the task's end, or none where it is of another run."""
    if row.state is not TaskState.RUNNING or not usage.ended or usage.started_by != row.started_by:
        return None
    return advance(row, lease, TaskState.PENDING if usage.failed else TaskState.ENDED)


def may_be_running(row: TaskRow) -> bool:
    """Say whether the task runs somewhere for all that is known."""
    return row.state in _PLACED


_PLACED = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.CHECKPOINTING, TaskState.STOPPING}
)
_ORDERED = _PLACED - {TaskState.RUNNING}
