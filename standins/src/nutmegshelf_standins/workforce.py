"""Keep workers and their tasks in memory, with orders that are idempotent by operation."""

import asyncio

import msgspec
from nutmegshelf import ids, workers

_FAILS_AFTER_S = 0.5


class Workforce:
    """Take orders as the platform's workers service would."""

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
        self._ends: list[workers.TaskUsage] = []
        self._drain_s = drain_s
        self._boot_s = boot_s
        self._checkpoint_s = checkpoint_s
        self._due: dict[ids.OperationId, tuple[float, workers.AnyOrder]] = {}
        self._finished: dict[ids.OperationId, workers.Outcome] = {}

    def set_workers(self, records: list[workers.WorkerRecord]) -> None:
        """Set the workers that exist."""
        self.workers = {record.worker: record for record in records}
        self.revision += 1

    def withdraw(self, worker: ids.WorkerId) -> None:
        """Take a worker back without asking."""
        self._set(worker, workers.WorkerState.GONE)
        lost = [task for task, order in self.tasks.items() if order.worker == worker]
        for task in lost:
            del self.tasks[task]

    def restore(self, worker: ids.WorkerId) -> None:
        """List a worker again that was taken back; it needs a start."""
        self._set(worker, workers.WorkerState.DRAINED)

    def list_workers(self, after_revision: int) -> workers.WorkerList | None:
        """List the workers if anything changed."""
        self._settle()
        if after_revision >= self.revision:
            return None
        return workers.WorkerList(revision=self.revision, workers=tuple(self.workers.values()))

    def get_usage(self) -> list[workers.TaskUsage]:
        """Report what the running tasks use, and those that ended."""
        self._settle()
        self._end_tasks()
        return [*self._ends, *map(self._report, self.tasks.values())]

    def _report(self, task: workers.StartTask) -> workers.TaskUsage:
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
            runs_s = _FAILS_AFTER_S if failed else self.run_durations_s.get(task.job)
            if runs_s is not None and now_s - self.started_s[task.task] >= runs_s:
                del self.tasks[task.task]
                report = msgspec.structs.replace(self._report(task), ended=True, failed=failed)
                self._ends.append(report)

    def apply_order(self, order: workers.AnyOrder) -> workers.Outcome:
        """Apply an order once; a repeat only asks how far it has come."""
        self._settle()
        if order.operation in self._finished:
            return self._finished[order.operation]
        if order.operation in self._due:
            return workers.Outcome.PENDING
        record = self.workers.get(order.worker)
        if record is None or record.state is workers.WorkerState.GONE:
            return workers.Outcome.REFUSED
        self.applied_orders.append(order)
        now_s = asyncio.get_running_loop().time()
        match order:
            case workers.Drain():
                self._set(order.worker, workers.WorkerState.DRAINING)
                self._due[order.operation] = (now_s + self._drain_s, order)
            case workers.Start():
                self._due[order.operation] = (now_s + self._boot_s, order)
            case workers.StartTask():
                if order.task in self.tasks:
                    self.duplicate_starts.append(order)
                self.tasks[order.task] = order
                self.started_s[order.task] = now_s
                self._finished[order.operation] = workers.Outcome.DONE
            case workers.CheckpointTask():
                self._due[order.operation] = (now_s + self._checkpoint_s, order)
            case workers.StopTask():
                self.tasks.pop(order.task, None)
                self._finished[order.operation] = workers.Outcome.DONE
        return self._finished.get(order.operation, workers.Outcome.PENDING)

    def _settle(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for operation, (due_s, order) in list(self._due.items()):
            if due_s > now_s:
                continue
            del self._due[operation]
            self._finished[operation] = workers.Outcome.DONE
            record = self.workers.get(order.worker)
            if record is None or record.state is workers.WorkerState.GONE:
                continue
            match order:
                case workers.Start():
                    self.workers[order.worker] = msgspec.structs.replace(record, pool=order.pool)
                    self._set(order.worker, workers.WorkerState.READY)
                case workers.Drain():
                    self._set(order.worker, workers.WorkerState.DRAINED)
                case workers.CheckpointTask():
                    self.tasks.pop(order.task, None)

    def _set(self, worker: ids.WorkerId, state: workers.WorkerState) -> None:
        self.workers[worker] = msgspec.structs.replace(self.workers[worker], state=state)
        self.revision += 1
