"""Place the tasks of held pools: apply outcomes of orders, choose and send new orders."""

import asyncio
import collections
import typing

from nutmegshelf import (
    decisions,
    declarations,
    drains,
    failures,
    hosts,
    ids,
    leases,
    placement,
    platform,
    quotas,
    sizes,
    tasks,
    workers,
)

from nutmegshelf_entry import table

_MAX_CONCURRENT_ORDERS = 16


class PoolContext(typing.Protocol):
    """The part of the pool controller that task placement depends on."""

    change_count: int

    def get_held_lease(self, pool: ids.PoolName) -> leases.HeldLease:
        """Return the lease of a held pool."""

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows whose keys have a prefix."""

    async def commit(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, transaction: platform.Transaction
    ) -> tuple[platform.Row, ...]:
        """Commit a fenced transaction and return the written rows."""

    def record_decision(self, name: str, action: decisions.Action, reason: str) -> None:
        """Record a decision about a task or a job, and log it."""


class TaskPlacer:
    """Places tasks of pools, with estimates learned in memory; the tasks are stored in rows."""

    def __init__(self, context: PoolContext, worker_service: table.WorkerService) -> None:
        self.guarded_workers: dict[ids.PoolName, frozenset[ids.WorkerId]] = {}
        self._tasks: dict[ids.TaskId, tasks.Task] | None = None
        self._quota_rows: dict[str, platform.Row] = {}
        self._tasks_by_pool: dict[ids.PoolName, set[ids.TaskId]] = collections.defaultdict(set)
        self._usage_by_pool: dict[ids.PoolName, dict[ids.TeamName, sizes.Size]] = {}
        self._placed_at_change: dict[ids.PoolName, int] = {}
        self._context = context
        self._worker_service = worker_service
        self._sizes = sizes.SizeEstimator()
        self._failure_tracker = failures.FailureTracker()
        self._recorded_ends: set[ids.OperationId | None] = set()

    async def run_pass(
        self,
        pool: ids.PoolName,
        snapshot: drains.Snapshot,
        records: dict[ids.WorkerId, workers.WorkerRecord],
    ) -> None:
        """Run one placement pass over a pool; raises TableError or Conflict."""
        declared = snapshot.declared
        tasks_by_id, quota_rows = await self._read_rows(declared)
        if not self._tasks_by_pool[pool] and not any(
            job.pool == pool for job in declared.jobs.values()
        ):
            self.guarded_workers[pool] = frozenset()
            return
        await self._apply_outcomes(pool, snapshot, tasks_by_id)
        if self._placed_at_change.get(pool) == self._context.change_count:
            # Nothing changed since the last pass over this pool, so the choices would be the same.
            return
        placer = self._make_placer(pool, snapshot, records, tasks_by_id)
        choices = placer.choose()
        changed_rows = self._apply_choices(pool, declared, choices, tasks_by_id)
        await self._write_rows(pool, snapshot, changed_rows, tasks_by_id, quota_rows)
        self._usage_by_pool[pool] = placement.sum_usage_by_team(
            declared, self._sizes, self._get_rows(pool, tasks_by_id)
        )
        self._update_guarded_workers(pool, tasks_by_id)
        self._record_choices(choices)
        await self._send_orders([row for row in changed_rows if row.pool == pool])
        self._placed_at_change[pool] = self._context.change_count

    def invalidate_rows(self) -> None:
        """Have the next pass read all rows again and place every pool."""
        self._tasks = None
        self._placed_at_change.clear()

    async def _read_rows(
        self, declared: declarations.DeclarationSet
    ) -> tuple[dict[ids.TaskId, tasks.Task], dict[str, platform.Row]]:
        if self._tasks is None:
            # Quotas are read first: a concurrent start that the task rows don't show yet changes
            # its quota's row, so a transaction on the outdated quota fails.
            quota_rows = {row.key: row for row in await self._context.scan(quotas.PREFIX)}
            decoded = map(tasks.decode, await self._context.scan(tasks.PREFIX))
            self._tasks = {task.row.task: task for task in decoded}
            self._quota_rows = quota_rows
            self._tasks_by_pool.clear()
            for task in self._tasks.values():
                self._tasks_by_pool[task.row.pool].add(task.row.task)
            self._usage_by_pool = {
                pool: placement.sum_usage_by_team(
                    declared, self._sizes, self._get_rows(pool, self._tasks)
                )
                for pool in list(self._tasks_by_pool)
            }
        return self._tasks, self._quota_rows

    async def _apply_outcomes(
        self,
        pool: ids.PoolName,
        snapshot: drains.Snapshot,
        tasks_by_id: dict[ids.TaskId, tasks.Task],
    ) -> None:
        lease = self._context.get_held_lease(pool).lease
        changed_rows: list[tasks.TaskRow] = []
        pool_rows = self._get_rows(pool, tasks_by_id)
        reports = await self._worker_service.get_usage()
        self._record_reports(reports)
        ended_reports = {report.started_by: report for report in reports if report.ended}
        for row in pool_rows:
            report = ended_reports.get(row.started_by)
            if report and (next_row := tasks.apply_usage(row, lease, report)) is not None:
                changed_rows.append(next_row)
        for row, outcome in await self._send_orders(pool_rows):
            if (next_row := tasks.apply_outcome(row, lease, outcome)) is not None:
                changed_rows.append(next_row)
        await self._write_rows(pool, snapshot, changed_rows, tasks_by_id, {})

    def _record_reports(self, reports: list[workers.TaskUsage]) -> None:
        # The platform repeats a report while it retains it; each end is recorded once.
        self._recorded_ends &= {report.started_by for report in reports}
        for report in reports:
            if not report.ended:
                self._sizes.add_report(report)
            elif report.started_by not in self._recorded_ends:
                self._recorded_ends.add(report.started_by)
                record = (
                    self._failure_tracker.record_failure
                    if report.failed
                    else self._failure_tracker.record_success
                )
                record(report.job, report.worker)

    def _make_placer(
        self,
        pool: ids.PoolName,
        snapshot: drains.Snapshot,
        records: dict[ids.WorkerId, workers.WorkerRecord],
        tasks_by_id: dict[ids.TaskId, tasks.Task],
    ) -> placement.Placer:
        placer = placement.Placer(pool, snapshot.declared, self._sizes, self._failure_tracker)
        for worker, host in snapshot.hosts_by_worker.items():
            record = records.get(worker)
            is_gone = record is None or host.row.step is hosts.HostStep.WITHDRAWN
            if host.row.pool == pool and record is not None and not is_gone:
                is_ready = record.state is workers.WorkerState.READY
                placer.add_worker(record, is_ready and not hosts.is_out_of_service(host.row))
        for row in self._get_rows(pool, tasks_by_id):
            placer.add_task(row)
        for name, job in snapshot.declared.jobs.items():
            # The placer gets tasks that still run in another pool, so it does not start them here.
            for index in range(job.tasks if job.pool == pool else 0):
                task = tasks_by_id.get(tasks.task_id(name, index))
                if task is not None and task.row.pool != pool:
                    placer.add_task(task.row)
        for other_pool, usage in self._usage_by_pool.items():
            if other_pool != pool:
                placer.add_usage(usage)
        return placer

    def _get_rows(
        self, pool: ids.PoolName, tasks_by_id: dict[ids.TaskId, tasks.Task]
    ) -> list[tasks.TaskRow]:
        return [tasks_by_id[task].row for task in sorted(self._tasks_by_pool[pool])]

    def _apply_choices(
        self,
        pool: ids.PoolName,
        declared: declarations.DeclarationSet,
        choices: list[placement.Choice],
        tasks_by_id: dict[ids.TaskId, tasks.Task],
    ) -> list[tasks.TaskRow]:
        lease = self._context.get_held_lease(pool).lease
        rows: list[tasks.TaskRow] = []
        for choice in choices:
            match choice:
                case placement.Start(task, worker):
                    row = (
                        tasks_by_id[task].row
                        if task in tasks_by_id
                        else _make_first_row(task, pool, declared)
                    )
                    rows.append(tasks.advance(row, lease, tasks.TaskState.STARTING, worker))
                case placement.Preempt(task, _):
                    state = tasks.TaskState.CHECKPOINTING
                    rows.append(tasks.advance(tasks_by_id[task].row, lease, state))
                case placement.Stop(task, _):
                    row = tasks_by_id[task].row
                    may_be_running = tasks.may_be_running(row)
                    state = tasks.TaskState.STOPPING if may_be_running else tasks.TaskState.DELETED
                    rows.append(tasks.advance(row, lease, state))
                case placement.Unschedulable():
                    pass
        return rows

    async def _write_rows(
        self,
        pool: ids.PoolName,
        snapshot: drains.Snapshot,
        changed_rows: list[tasks.TaskRow],
        tasks_by_id: dict[ids.TaskId, tasks.Task],
        quota_rows: dict[str, platform.Row],
    ) -> None:
        if not changed_rows:
            return
        conditions, writes = _prepare_quota_writes(snapshot.declared, changed_rows, quota_rows)
        for row in changed_rows:
            version = tasks_by_id[row.task].version if row.task in tasks_by_id else 0
            conditions.append(platform.Condition(tasks.key(row.task), version))
            is_deleted = row.state is tasks.TaskState.DELETED
            writes.append(
                platform.Write(tasks.key(row.task), None) if is_deleted else tasks.encode(row)
            )
        transaction = leases.make_fenced_transaction(
            self._context.get_held_lease(pool),
            tuple(conditions),
            tuple(writes),
            bumps_revision=False,
        )
        written_rows = await self._context.commit(pool, snapshot, transaction)
        for row in changed_rows:
            tasks_by_id.pop(row.task, None)
            self._tasks_by_pool[pool].discard(row.task)
        for written_row in written_rows:
            if written_row.key.startswith(tasks.PREFIX):
                task = tasks.decode(written_row)
                tasks_by_id[task.row.task] = task
                self._tasks_by_pool[pool].add(task.row.task)
            elif written_row.key.startswith(quotas.PREFIX):
                self._quota_rows[written_row.key] = written_row

    async def _send_orders(
        self, rows: list[tasks.TaskRow]
    ) -> list[tuple[tasks.TaskRow, workers.Outcome]]:
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_ORDERS)

        async def send(
            row: tasks.TaskRow, order: workers.AnyOrder
        ) -> tuple[tasks.TaskRow, workers.Outcome]:
            async with semaphore:
                return row, await self._worker_service.send_order(order)

        orders = [(row, order) for row in rows if (order := tasks.order(row)) is not None]
        results = await asyncio.gather(
            *(send(row, order) for row, order in orders), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        return [result for result in results if not isinstance(result, BaseException)]

    def _update_guarded_workers(
        self, pool: ids.PoolName, tasks_by_id: dict[ids.TaskId, tasks.Task]
    ) -> None:
        self.guarded_workers[pool] = frozenset(
            row.worker
            for row in self._get_rows(pool, tasks_by_id)
            if row.guarded and row.worker is not None and tasks.may_be_running(row)
        )

    def _record_choices(self, choices: list[placement.Choice]) -> None:
        for choice in choices:
            match choice:
                case placement.Start(task, worker):
                    self._context.record_decision(task, decisions.Action.PLACE, f"at {worker}")
                case placement.Preempt(task, reason):
                    self._context.record_decision(task, decisions.Action.PREEMPT, reason)
                case placement.Stop(task, reason):
                    self._context.record_decision(task, decisions.Action.STOP, reason)
                case placement.Unschedulable(job, reason):
                    self._context.record_decision(job, decisions.Action.PARK, reason)


def _make_first_row(
    task: ids.TaskId, pool: ids.PoolName, declared: declarations.DeclarationSet
) -> tasks.TaskRow:
    job = ids.JobName(task.rpartition("/")[0])
    return tasks.TaskRow(task=task, job=job, pool=pool, guarded=declared.jobs[job].guarded)


def _prepare_quota_writes(
    declared: declarations.DeclarationSet,
    changed_rows: list[tasks.TaskRow],
    quota_rows: dict[str, platform.Row],
) -> tuple[list[platform.Condition], list[platform.Write]]:
    starting_rows = [row for row in changed_rows if row.state is tasks.TaskState.STARTING]
    teams = sorted({declared.jobs[row.job].team for row in starting_rows})
    prepared = [
        quotas.prepare_start(
            quota_rows.get(quotas.key(team), platform.Row(quotas.key(team), 0)), team
        )
        for team in teams
    ]
    return [condition for condition, _ in prepared], [write for _, write in prepared]
