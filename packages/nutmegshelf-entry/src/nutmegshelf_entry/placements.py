"""Place the tasks of held pools: settle their orders, learn, choose and start."""

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

_ORDERS_AT_ONCE = 16


class PoolContext(typing.Protocol):
    """Name what placing needs of the part that holds the leases."""

    change_count: int

    def get_held_lease(self, pool: ids.PoolName) -> leases.HeldLease:
        """Give the lease of a pool."""

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows of a prefix."""

    async def commit(
        self, pool: ids.PoolName, view: drains.Snapshot, transaction: platform.Transaction
    ) -> tuple[platform.Row, ...]:
        """Commit a fenced transaction and give the rows written."""

    def record_decision(self, name: str, action: decisions.Action, reason: str) -> None:
        """Record a decision."""


class TaskPlacer:
    """Own what was learned of jobs and workers; the tasks themselves live in rows."""

    def __init__(self, context: PoolContext, worker_service: table.WorkerService) -> None:
        self.guarded_workers: dict[ids.PoolName, frozenset[ids.WorkerId]] = {}
        self._known: dict[ids.TaskId, tasks.Task] | None = None
        self._quota_rows: dict[str, platform.Row] = {}
        self._in_pool: dict[ids.PoolName, set[ids.TaskId]] = collections.defaultdict(set)
        self._used: dict[ids.PoolName, dict[ids.TeamName, sizes.Size]] = {}
        self._placed_at: dict[ids.PoolName, int] = {}
        self._context = context
        self._worker_service = worker_service
        self._sizes = sizes.SizeEstimator()
        self._blame = failures.FailureTracker()
        self._judged: set[ids.OperationId | None] = set()

    async def run_pass(
        self,
        pool: ids.PoolName,
        view: drains.Snapshot,
        records: dict[ids.WorkerId, workers.WorkerRecord],
    ) -> None:
        """Run one pass over a pool; raises TableError or Conflict."""
        declared = view.declared
        known, quota_rows = await self._rows(declared)
        if not self._in_pool[pool] and not any(job.pool == pool for job in declared.jobs.values()):
            self.guarded_workers[pool] = frozenset()
            return
        await self._settle(pool, view, known)
        if self._placed_at.get(pool) == self._context.change_count:
            # Nothing changed since this pool was placed last, so the choices would be the same.
            return
        placer = self._placer(pool, view, records, known)
        choices = placer.choose()
        changed = self._rows_of(pool, declared, choices, known)
        await self._write(pool, view, changed, known, quota_rows)
        self._used[pool] = placement.sum_usage_by_team(
            declared, self._sizes, self._rows_in(pool, known)
        )
        self._note_guarded(pool, known)
        self._tell(choices)
        await self._send([row for row in changed if row.pool == pool])
        self._placed_at[pool] = self._context.change_count

    def invalidate_rows(self) -> None:
        """Read all rows again in the next pass, and place all pools again."""
        self._known = None
        self._placed_at.clear()

    async def _rows(
        self, declared: declarations.DeclarationSet
    ) -> tuple[dict[ids.TaskId, tasks.Task], dict[str, platform.Row]]:
        if self._known is None:
            # Quotas go first: a start elsewhere that is not seen below changes its quota's row.
            quota_rows = {row.key: row for row in await self._context.scan(quotas.PREFIX)}
            found = map(tasks.decode, await self._context.scan(tasks.PREFIX))
            self._known = {task.row.task: task for task in found}
            self._quota_rows = quota_rows
            self._in_pool.clear()
            for task in self._known.values():
                self._in_pool[task.row.pool].add(task.row.task)
            self._used = {
                pool: placement.sum_usage_by_team(
                    declared, self._sizes, self._rows_in(pool, self._known)
                )
                for pool in list(self._in_pool)
            }
        return self._known, self._quota_rows

    async def _settle(
        self, pool: ids.PoolName, view: drains.Snapshot, known: dict[ids.TaskId, tasks.Task]
    ) -> None:
        lease = self._context.get_held_lease(pool).lease
        changed: list[tasks.TaskRow] = []
        mine = self._rows_in(pool, known)
        reports = await self._worker_service.get_usage()
        self._learn(reports)
        ends = {report.started_by: report for report in reports if report.ended}
        for row in mine:
            report = ends.get(row.started_by)
            if report and (following := tasks.apply_usage(row, lease, report)) is not None:
                changed.append(following)
        for row, outcome in await self._send(mine):
            if (following := tasks.apply_outcome(row, lease, outcome)) is not None:
                changed.append(following)
        await self._write(pool, view, changed, known, {})

    def _learn(self, reports: list[workers.TaskUsage]) -> None:
        # A report comes again each time while the platform keeps it, and is judged once.
        self._judged &= {report.started_by for report in reports}
        for report in reports:
            if not report.ended:
                self._sizes.add_report(report)
            elif report.started_by not in self._judged:
                self._judged.add(report.started_by)
                judge = self._blame.record_failure if report.failed else self._blame.record_success
                judge(report.job, report.worker)

    def _placer(
        self,
        pool: ids.PoolName,
        view: drains.Snapshot,
        records: dict[ids.WorkerId, workers.WorkerRecord],
        known: dict[ids.TaskId, tasks.Task],
    ) -> placement.Placer:
        placer = placement.Placer(pool, view.declared, self._sizes, self._blame)
        for worker, host in view.hosts_by_worker.items():
            record = records.get(worker)
            gone = record is None or host.row.step is hosts.HostStep.WITHDRAWN
            if host.row.pool == pool and record is not None and not gone:
                ready = record.state is workers.WorkerState.READY
                placer.add_worker(record, ready and not hosts.is_out_of_service(host.row))
        for row in self._rows_in(pool, known):
            placer.add_task(row)
        for name, job in view.declared.jobs.items():
            # A task that still runs in another pool is not started here.
            for index in range(job.tasks if job.pool == pool else 0):
                task = known.get(tasks.task_id(name, index))
                if task is not None and task.row.pool != pool:
                    placer.add_task(task.row)
        for other, used in self._used.items():
            if other != pool:
                placer.add_usage(used)
        return placer

    def _rows_in(
        self, pool: ids.PoolName, known: dict[ids.TaskId, tasks.Task]
    ) -> list[tasks.TaskRow]:
        return [known[task].row for task in sorted(self._in_pool[pool])]

    def _rows_of(
        self,
        pool: ids.PoolName,
        declared: declarations.DeclarationSet,
        choices: list[placement.Choice],
        known: dict[ids.TaskId, tasks.Task],
    ) -> list[tasks.TaskRow]:
        lease = self._context.get_held_lease(pool).lease
        rows: list[tasks.TaskRow] = []
        for choice in choices:
            match choice:
                case placement.Start(task, worker):
                    row = known[task].row if task in known else _first_row(task, pool, declared)
                    rows.append(tasks.advance(row, lease, tasks.TaskState.STARTING, worker))
                case placement.Preempt(task, _):
                    state = tasks.TaskState.CHECKPOINTING
                    rows.append(tasks.advance(known[task].row, lease, state))
                case placement.Stop(task, _):
                    row = known[task].row
                    runs = tasks.may_be_running(row)
                    state = tasks.TaskState.STOPPING if runs else tasks.TaskState.DELETED
                    rows.append(tasks.advance(row, lease, state))
                case placement.Unschedulable():
                    pass
        return rows

    async def _write(
        self,
        pool: ids.PoolName,
        view: drains.Snapshot,
        changed: list[tasks.TaskRow],
        known: dict[ids.TaskId, tasks.Task],
        quota_rows: dict[str, platform.Row],
    ) -> None:
        if not changed:
            return
        conditions, writes = _quota_parts(view.declared, changed, quota_rows)
        for row in changed:
            version = known[row.task].version if row.task in known else 0
            conditions.append(platform.Condition(tasks.key(row.task), version))
            deleted = row.state is tasks.TaskState.DELETED
            writes.append(
                platform.Write(tasks.key(row.task), None) if deleted else tasks.encode(row)
            )
        transaction = leases.make_fenced_transaction(
            self._context.get_held_lease(pool),
            tuple(conditions),
            tuple(writes),
            bumps_revision=False,
        )
        written = await self._context.commit(pool, view, transaction)
        for row in changed:
            known.pop(row.task, None)
            self._in_pool[pool].discard(row.task)
        for found in written:
            if found.key.startswith(tasks.PREFIX):
                task = tasks.decode(found)
                known[task.row.task] = task
                self._in_pool[pool].add(task.row.task)
            elif found.key.startswith(quotas.PREFIX):
                self._quota_rows[found.key] = found

    async def _send(self, rows: list[tasks.TaskRow]) -> list[tuple[tasks.TaskRow, workers.Outcome]]:
        limit = asyncio.Semaphore(_ORDERS_AT_ONCE)

        async def send(
            row: tasks.TaskRow, order: workers.AnyOrder
        ) -> tuple[tasks.TaskRow, workers.Outcome]:
            async with limit:
                return row, await self._worker_service.send_order(order)

        orders = [(row, order) for row in rows if (order := tasks.order(row)) is not None]
        answers = await asyncio.gather(
            *(send(row, order) for row, order in orders), return_exceptions=True
        )
        for answer in answers:
            if isinstance(answer, BaseException):
                raise answer
        return [answer for answer in answers if not isinstance(answer, BaseException)]

    def _note_guarded(self, pool: ids.PoolName, known: dict[ids.TaskId, tasks.Task]) -> None:
        self.guarded_workers[pool] = frozenset(
            row.worker
            for row in self._rows_in(pool, known)
            if row.guarded and row.worker is not None and tasks.may_be_running(row)
        )

    def _tell(self, choices: list[placement.Choice]) -> None:
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


def _first_row(
    task: ids.TaskId, pool: ids.PoolName, declared: declarations.DeclarationSet
) -> tasks.TaskRow:
    job = ids.JobName(task.rpartition("/")[0])
    return tasks.TaskRow(task=task, job=job, pool=pool, guarded=declared.jobs[job].guarded)


def _quota_parts(
    declared: declarations.DeclarationSet,
    changed: list[tasks.TaskRow],
    quota_rows: dict[str, platform.Row],
) -> tuple[list[platform.Condition], list[platform.Write]]:
    starting = [row for row in changed if row.state is tasks.TaskState.STARTING]
    teams = sorted({declared.jobs[row.job].team for row in starting})
    parts = [
        quotas.prepare_start(
            quota_rows.get(quotas.key(team), platform.Row(quotas.key(team), 0)), team
        )
        for team in teams
    ]
    return [condition for condition, _ in parts], [write for _, write in parts]
