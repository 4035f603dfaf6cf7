"""The simulated worker service: workers, their tasks, and orders idempotent by operation id."""

import asyncio

import msgspec
from nutmegshelf import ids, workers

_FAILURE_DELAY_S = 0.5


class Workforce:
    """An in-memory worker service whose orders take fixed times."""

    def __init__(
        self, drain_s: float = 0.5, boot_s: float = 0.5, checkpoint_s: float = 3.0
    ) -> None:
        self.workers: dict[ids.WorkerId, workers.WorkerRecord] = {}
        self.tasks: dict[ids.TaskId, workers.StartTask] = {}
        self.applied_orders: list[workers.AnyOrder] = []
        self.revision = 0
        self.duplicate_starts: list[workers.StartTask] = []
        self.started_s: dict[ids.TaskId, float] = {}
        self.failing_workers: set[ids.WorkerId] = set()
        self.failing_jobs: set[ids.JobName] = set()
        self.run_durations_s: dict[ids.JobName, float] = {}
        self.usage_by_job: dict[ids.JobName, tuple[float, float]] = {}
        self._ended_usage: list[workers.TaskUsage] = []
        self._drain_s = drain_s
        self._boot_s = boot_s
        self._checkpoint_s = checkpoint_s
        self._pending_orders: dict[ids.OperationId, tuple[float, workers.AnyOrder]] = {}
        self._outcomes: dict[ids.OperationId, workers.Outcome] = {}

    def set_workers(self, records: list[workers.WorkerRecord]) -> None:
        """Replace the set of workers."""
        self.workers = {record.worker: record for record in records}
        self.revision += 1

    def withdraw(self, worker: ids.WorkerId) -> None:
        """Withdraw a worker without a drain; its tasks are lost."""
        self._set_state(worker, workers.WorkerState.GONE)
        lost_tasks = [task for task, order in self.tasks.items() if order.worker == worker]
        for task in lost_tasks:
            del self.tasks[task]

    def restore(self, worker: ids.WorkerId) -> None:
        """List a withdrawn worker again as drained; it needs a start order."""
        self._set_state(worker, workers.WorkerState.DRAINED)

    def list_workers(self, after_revision: int) -> workers.WorkerList | None:
        """Return the workers, or None if nothing changed after a revision."""
        self._complete_due_orders()
        if after_revision >= self.revision:
            return None
        return workers.WorkerList(revision=self.revision, workers=tuple(self.workers.values()))

    def get_usage(self) -> list[workers.TaskUsage]:
        """Return the resource use of the running tasks, and the tasks that ended."""
        self._complete_due_orders()
        self._end_tasks()
        return [*self._ended_usage, *map(self._make_usage, self.tasks.values())]

    def _make_usage(self, task: workers.StartTask) -> workers.TaskUsage:
        cores, memory_gb = self.usage_by_job.get(task.job, (1.0, 1.0))
        return workers.TaskUsage(
            task=task.task,
            job=task.job,
            worker=task.worker,
            cores=cores,
            memory_gb=memory_gb,
            started_by=task.operation,
        )

    def _end_tasks(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for task in list(self.tasks.values()):
            failed = task.worker in self.failing_workers or task.job in self.failing_jobs
            duration_s = _FAILURE_DELAY_S if failed else self.run_durations_s.get(task.job)
            if duration_s is not None and now_s - self.started_s[task.task] >= duration_s:
                del self.tasks[task.task]
                usage = msgspec.structs.replace(self._make_usage(task), ended=True, failed=failed)
                self._ended_usage.append(usage)

    def apply_order(self, order: workers.AnyOrder) -> workers.Outcome:
        """Apply an order once; return the present outcome of a repeated order."""
        self._complete_due_orders()
        if order.operation in self._outcomes:
            return self._outcomes[order.operation]
        if order.operation in self._pending_orders:
            return workers.Outcome.PENDING
        record = self.workers.get(order.worker)
        if record is None or record.state is workers.WorkerState.GONE:
            return workers.Outcome.REFUSED
        self.applied_orders.append(order)
        now_s = asyncio.get_running_loop().time()
        match order:
            case workers.Drain():
                self._set_state(order.worker, workers.WorkerState.DRAINING)
                self._pending_orders[order.operation] = (now_s + self._drain_s, order)
            case workers.Start():
                self._pending_orders[order.operation] = (now_s + self._boot_s, order)
            case workers.StartTask():
                if order.task in self.tasks:
                    self.duplicate_starts.append(order)
                self.tasks[order.task] = order
                self.started_s[order.task] = now_s
                self._outcomes[order.operation] = workers.Outcome.DONE
            case workers.CheckpointTask():
                self._pending_orders[order.operation] = (now_s + self._checkpoint_s, order)
            case workers.StopTask():
                self.tasks.pop(order.task, None)
                self._outcomes[order.operation] = workers.Outcome.DONE
        return self._outcomes.get(order.operation, workers.Outcome.PENDING)

    def _complete_due_orders(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for operation, (due_s, order) in list(self._pending_orders.items()):
            if due_s > now_s:
                continue
            del self._pending_orders[operation]
            self._outcomes[operation] = workers.Outcome.DONE
            record = self.workers.get(order.worker)
            if record is None or record.state is workers.WorkerState.GONE:
                continue
            match order:
                case workers.Start():
                    self.workers[order.worker] = msgspec.structs.replace(record, pool=order.pool)
                    self._set_state(order.worker, workers.WorkerState.READY)
                case workers.Drain():
                    self._set_state(order.worker, workers.WorkerState.DRAINED)
                case workers.CheckpointTask():
                    self.tasks.pop(order.task, None)

    def _set_state(self, worker: ids.WorkerId, state: workers.WorkerState) -> None:
        self.workers[worker] = msgspec.structs.replace(self.workers[worker], state=state)
        self.revision += 1
