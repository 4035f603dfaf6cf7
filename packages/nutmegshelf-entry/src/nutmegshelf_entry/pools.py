"""Hold the leases of pools, and run drains, moves and maintenance of their workers."""

import asyncio
import collections.abc
import dataclasses
import math
import time

from nutmegshelf import (
    budgets,
    configuration,
    decisions,
    declarations,
    drains,
    exceptions,
    hosts,
    ids,
    leases,
    maintenance,
    members,
    moves,
    platform,
    status,
    workers,
)

from nutmegshelf_entry import logs, placements, table

_SCAN_PAGE_ROWS = 1000
_FORECAST_INTERVAL_S = 60.0
_MAINTENANCE_DURATION_S = 1800.0
_MISSING_WORKER_RETENTION_S = 3600.0
_LEASE_READ_INTERVAL_FRACTION = 0.2
_RESCANS_PER_FULL_READ = 10
_log = logs.get_logger("pools")

ListMinions = collections.abc.Callable[[], tuple[platform.MinionRecord, ...] | None]
OnDecision = collections.abc.Callable[[decisions.Decision], None]
PlanMoves = collections.abc.Callable[[drains.Snapshot, ids.PoolName], list[moves.WorkerMove]]


class Conflict(exceptions.NutmegshelfError):
    """A row of a fenced transaction changed: the lease, or one that the decision depends on."""


class PoolController:
    """The controller of the pools that this entry holds a lease of.

    Every pass starts from the stored rows, so it continues what any earlier holder began. An error
    ends the pass; the next one reads from the rows what took effect.
    """

    def __init__(
        self,
        *,
        store: table.Store,
        worker_service: table.WorkerService,
        list_minions: ListMinions,
        active_configuration: configuration.ActiveConfiguration,
        membership: members.Members,
        lease_set: leases.Leases,
        interval_s: float,
        on_decision: OnDecision,
        rescan_interval_s: float = 30.0,
        plan_moves: PlanMoves | None = None,
        wall_clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.change_count = 0
        self._on_decision = on_decision
        self._snapshot: drains.Snapshot | None = None
        self._rescanned_at_s = 0.0
        self._full_read_at_s = 0.0
        self._read_revisions: dict[ids.PoolName, int] = {}
        self._applied_revisions: tuple[ids.Version, int] | None = None
        self._forecast_due_s: dict[ids.PoolName, float] = {}
        self._missing_since_s: dict[ids.WorkerId, float] = {}
        self._leases_read_s = -math.inf
        self._last_decisions: dict[str, tuple[decisions.Action, str]] = {}
        self._store = store
        self._worker_service = worker_service
        self._list_minions = list_minions
        self._active = active_configuration
        self._members = membership
        self._lease_set = lease_set
        self._interval_s = interval_s
        self._plan_moves = plan_moves
        self._rescan_interval_s = rescan_interval_s
        self._wall_clock = wall_clock
        self._task_placer = placements.TaskPlacer(self, worker_service)
        self._workers: dict[ids.WorkerId, workers.WorkerRecord] = {}
        self._workers_revision = -1
        self._minions: tuple[platform.MinionRecord, ...] = ()
        self._unsettled_moves: dict[ids.PoolName, list[moves.PlannedMove]] = {}

    async def run(self) -> None:
        """Run a pass in every interval, until cancelled."""
        while True:
            try:
                await self.run_pass()
            except exceptions.TableError as error:
                self._snapshot = None
                _log.warning("A pass over the pools ended early.", error=str(error))
            await asyncio.sleep(self._interval_s)

    async def run_pass(self) -> None:
        """Take and renew leases, then run the held pools' steps; raises TableError."""
        accepted = self._active.current
        minions = self._list_minions()
        if accepted is None or minions is None:
            # Without the list of minions no drain would seem to violate a budget.
            return
        if minions != self._minions:
            self._minions = minions
            self._applied_revisions = None
        pools = sorted(accepted.declarations.pools)
        await self._update_leases(pools)
        for pool in sorted(self._lease_set.held.keys() & set(pools)):
            try:
                await self._run_pool(accepted, pool)
            except Conflict as error:
                self._snapshot = None
                self._leases_read_s = -math.inf
                _log.info("A pass over a pool ended on a conflict.", pool=pool, error=str(error))

    async def release_all(self) -> None:
        """Release every held lease, for a graceful shutdown; raises TableError."""
        for pool in sorted(self._lease_set.held):
            await self._store.commit(self._lease_set.make_release(pool))

    async def _update_leases(self, pools: list[ids.PoolName]) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._leases_read_s < _LEASE_READ_INTERVAL_FRACTION * self._lease_set.duration_s:
            return
        lease_rows = await self.scan(leases.PREFIX)
        self._leases_read_s = now_s
        for pool in self._lease_set.observe(lease_rows, now_s):
            self.record_decision(pool, decisions.Action.LOSE_LEASE, "another entry holds it")
        entries = [self._members.entry, *(row.entry for row in self._members.get_live(now_s))]
        for pool in self._lease_set.select_to_release(pools, entries, now_s):
            await self._store.commit(self._lease_set.make_release(pool))
            del self._lease_set.held[pool]
            self.record_decision(pool, decisions.Action.RELEASE_LEASE, "above the even share")
        for pool in self._lease_set.select_to_acquire(pools, entries, now_s):
            committed = await self._store.commit(self._lease_set.make_acquisition(pool))
            if committed.ok:
                self._lease_set.observe_held(committed.rows[0], now_s)
                self._snapshot = None
                self.record_decision(pool, decisions.Action.TAKE_LEASE, "it was free or had lapsed")

    async def _run_pool(self, accepted: configuration.Configuration, pool: ids.PoolName) -> None:
        snapshot = await self._refresh_snapshot(accepted)
        if self._lease_set.is_renewal_due(pool, asyncio.get_running_loop().time()):
            await self.commit(
                pool, snapshot, leases.make_fenced_transaction(self._lease_set.held[pool])
            )
        await self._enroll_workers(pool, snapshot)
        for row in sorted(snapshot.get_host_rows(pool), key=lambda row: row.worker):
            await self._run_host_step(pool, snapshot, row)
        await self._task_placer.run_pass(pool, snapshot, self._workers)
        await self._move_workers(pool, snapshot)
        await self._start_maintenance(pool, snapshot)

    async def _refresh_snapshot(self, accepted: configuration.Configuration) -> drains.Snapshot:
        # Outdated rows do no harm: every transaction is conditional on their versions, and whatever
        # makes minions of a service unavailable writes its budget's row, so no grant can miss it.
        now_s = asyncio.get_running_loop().time()
        if self._snapshot is None or now_s - self._rescanned_at_s >= self._rescan_interval_s:
            self._task_placer.invalidate_rows()
            self._snapshot = await self._rescan_rows(accepted, now_s)
            self._rescanned_at_s = now_s
            self._applied_revisions = None
        await self._refresh_workers()
        revisions = (accepted.head.version, self._workers_revision)
        if revisions == self._applied_revisions:
            return self._snapshot
        self._applied_revisions = revisions
        self.change_count += 1
        self._snapshot = dataclasses.replace(
            self._snapshot,
            declared=accepted.declarations,
            budgets_by_service=self._complete_budgets(accepted, self._snapshot.budgets_by_service),
            minions=self._minions,
            failed_workers=frozenset(
                worker
                for worker, record in self._workers.items()
                if record.state is not workers.WorkerState.READY
            ),
        )
        return self._snapshot

    async def _rescan_rows(
        self, accepted: configuration.Configuration, now_s: float
    ) -> drains.Snapshot:
        # Revisions are taken before the rows are read, so a change in between causes another read.
        # A stale read can't be detected, hence the periodic full read.
        revisions = self._lease_set.revisions()
        full_read_interval_s = _RESCANS_PER_FULL_READ * self._rescan_interval_s
        if (
            self._snapshot
            and revisions == self._read_revisions
            and now_s - self._full_read_at_s < full_read_interval_s
        ):
            return self._snapshot
        self._snapshot = None
        snapshot = await self._read_snapshot(accepted)
        self._read_revisions, self._full_read_at_s = revisions, now_s
        return snapshot

    async def _read_snapshot(self, accepted: configuration.Configuration) -> drains.Snapshot:
        # Budgets are read first, so the workers' rows show whatever freed a budget.
        budget_rows = await self.scan(budgets.PREFIX)
        move_rows = await self.scan(moves.PREFIX)
        host_rows = [hosts.decode(row) for row in await self.scan(hosts.PREFIX)]
        services = [ids.ServiceName(row.key.removeprefix(budgets.PREFIX)) for row in budget_rows]
        return drains.Snapshot(
            declared=accepted.declarations,
            budgets_by_service={
                service: budgets.decode(row, service)
                for service, row in zip(services, budget_rows, strict=True)
            },
            hosts_by_worker={host.row.worker: host for host in host_rows},
            minions=self._minions,
            move_rows_by_pool={
                ids.PoolName(row.key.removeprefix(moves.PREFIX)): row for row in move_rows
            },
        )

    @staticmethod
    def _complete_budgets(
        accepted: configuration.Configuration, stored: dict[ids.ServiceName, budgets.Budget]
    ) -> dict[ids.ServiceName, budgets.Budget]:
        return {
            service: stored.get(service) or budgets.Budget(budgets.BudgetRow(service=service), 0)
            for service in accepted.declarations.services
        }

    async def _refresh_workers(self) -> None:
        worker_list = await self._worker_service.list_workers(self._workers_revision)
        if worker_list is not None and worker_list.revision > self._workers_revision:
            self._workers_revision = worker_list.revision
            self._workers = {record.worker: record for record in worker_list.workers}
            for worker in self._missing_since_s.keys() & self._workers.keys():
                del self._missing_since_s[worker]

    async def _enroll_workers(self, pool: ids.PoolName, snapshot: drains.Snapshot) -> None:
        unknown = [
            record
            for record in self._workers.values()
            if record.pool == pool and record.worker not in snapshot.hosts_by_worker
        ]
        for record in unknown:
            row = hosts.enroll(record, self._wall_clock())
            absent = platform.Condition(hosts.key(record.worker), 0)
            await self.commit(
                pool,
                snapshot,
                leases.make_fenced_transaction(
                    self._lease_set.held[pool], (absent,), (hosts.encode(row),)
                ),
            )

    async def _run_host_step(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, row: hosts.HostRow
    ) -> None:
        lease = self._lease_set.held[pool].lease
        record = self._workers.get(row.worker)
        is_gone = record is None or record.state is workers.WorkerState.GONE
        if is_gone and row.step is not hosts.HostStep.WITHDRAWN:
            await self._advance(pool, snapshot, hosts.withdraw(row, lease))
            self.record_decision(
                row.worker, decisions.Action.WITHDRAWN, "the platform took it back"
            )
        elif record is None:
            await self._forget_worker(pool, snapshot, row.worker)
        elif not is_gone and row.step is hosts.HostStep.WITHDRAWN:
            await self._advance(pool, snapshot, hosts.restart(row, lease))
            self.record_decision(row.worker, decisions.Action.START, "the platform lists it again")
        elif not is_gone and await self._send_order(row) is workers.Outcome.DONE:
            await self._finish_step(pool, snapshot, row)

    async def _forget_worker(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, worker: ids.WorkerId
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._missing_since_s.setdefault(worker, now_s) < _MISSING_WORKER_RETENTION_S:
            return
        await self.commit(
            pool, snapshot, drains.remove(snapshot, self._lease_set.held[pool], worker)
        )
        del snapshot.hosts_by_worker[worker], self._missing_since_s[worker]
        self.record_decision(worker, decisions.Action.FORGET, "the platform lists it no more")

    async def _send_order(self, row: hosts.HostRow) -> workers.Outcome | None:
        # The order of a row is sent before the next row is written, also before a recall, so an
        # entry that repeats it late finds it done, and the repeated order has no effect.
        order = hosts.order(row)
        return None if order is None else await self._worker_service.send_order(order)

    async def _finish_step(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, row: hosts.HostRow
    ) -> None:
        lease = self._lease_set.held[pool].lease
        is_draining = row.step is hosts.HostStep.DRAINING
        is_recalled = is_draining and drains.should_cancel(snapshot, row.worker)
        next_row = hosts.next_row(row, lease, is_recalled, self._wall_clock())
        await self._advance(pool, snapshot, next_row)
        if is_recalled:
            self.record_decision(row.worker, decisions.Action.RECALL, "a budget no longer holds")
        elif next_row.pool != row.pool:
            self.record_decision(
                row.worker, decisions.Action.MOVE, f"from {row.pool} to {next_row.pool}"
            )

    async def _advance(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, next_row: hosts.HostRow
    ) -> None:
        transaction = drains.advance(
            snapshot, self._lease_set.held[pool], next_row.worker, next_row
        )
        await self.commit(pool, snapshot, transaction)

    async def _move_workers(self, pool: ids.PoolName, snapshot: drains.Snapshot) -> None:
        now_s, move_rows = asyncio.get_running_loop().time(), snapshot.move_rows_by_pool
        rows_by_worker = {row.worker: row for row in snapshot.get_host_rows(pool)}
        due = [
            moves.PlannedMove(move, moves.get_row(move_rows, move.to_pool).version, now_s)
            for move in (self._plan_moves(snapshot, pool) if self._plan_moves else [])
        ]
        receivers = {planned.move.to_pool for planned in due}
        due += [
            planned
            for planned in self._unsettled_moves.pop(pool, [])
            if planned.move.to_pool not in receivers
            and planned.is_due(
                rows_by_worker.get(planned.move.worker),
                moves.get_row(move_rows, planned.move.to_pool),
                now_s,
            )
        ]
        for index, planned in enumerate(due):
            worker, to_pool = planned.move.worker, planned.move.to_pool
            try:
                await self.drain(pool, snapshot, worker, hosts.Purpose.MOVE, to_pool=to_pool)
            except exceptions.TableError:
                # The next pass reads whether the transaction took effect.
                self._unsettled_moves[pool] = due[index:]
                raise

    async def _start_maintenance(self, pool: ids.PoolName, snapshot: drains.Snapshot) -> None:
        rows = snapshot.get_host_rows(pool)
        for rule in snapshot.declared.maintenance.values():
            if rule.pool != pool:
                continue
            self._forecast(pool, snapshot, rule)
            for row in maintenance.select_due(rule, rows, self._wall_clock()):
                await self.drain(pool, snapshot, row.worker, hosts.Purpose.MAINTENANCE)

    def _forecast(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, rule: declarations.Maintenance
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._forecast_due_s.get(pool, 0.0):
            return
        self._forecast_due_s[pool] = now_s + _FORECAST_INTERVAL_S
        forecast = maintenance.forecast(snapshot, rule, _MAINTENANCE_DURATION_S, self._wall_clock())
        if not forecast.is_met:
            self.record_decision(pool, decisions.Action.MAINTENANCE_LATE, forecast.reason)

    async def drain(
        self,
        pool: ids.PoolName,
        snapshot: drains.Snapshot,
        worker: ids.WorkerId,
        purpose: hosts.Purpose,
        *,
        to_pool: ids.PoolName | None = None,
    ) -> bool:
        """Begin a drain if the budgets grant it; raises TableError or Conflict."""
        if worker in self._task_placer.guarded_workers.get(pool, ()):
            self.record_decision(worker, decisions.Action.REFUSE_DRAIN, "guarded work runs there")
            return False
        match drains.grant(snapshot, self._lease_set.held[pool], worker, purpose, to_pool=to_pool):
            case drains.Refused() as refused:
                self.record_decision(worker, decisions.Action.REFUSE_DRAIN, str(refused))
                return False
            case drains.Granted() as granted:
                await self.commit(pool, snapshot, granted.transaction)
                self.record_decision(worker, decisions.Action.DRAIN, purpose.value)
                return True

    async def commit(
        self, pool: ids.PoolName, snapshot: drains.Snapshot, transaction: platform.Transaction
    ) -> tuple[platform.Row, ...]:
        """Commit a fenced transaction, return the written rows; raises TableError or Conflict."""
        revision = self._lease_set.held[pool].lease.revision
        committed = await self._store.commit(transaction)
        lease_row = next((row for row in committed.rows if row.key == leases.key(pool)), None)
        if not committed.ok:
            raise Conflict(f"{pool}: {', '.join(row.key for row in committed.rows)} changed")
        assert lease_row is not None
        self._lease_set.observe_held(lease_row, asyncio.get_running_loop().time())
        snapshot.apply_rows(committed.rows)
        if self._read_revisions.get(pool) == revision:
            self._read_revisions[pool] = self._lease_set.held[pool].lease.revision
        self.change_count += 1
        return committed.rows

    def get_pool_statuses(self) -> list[status.PoolStatus]:
        """Return the status of each held pool, or nothing before the first read."""
        if self._snapshot is None:
            return []
        return [
            status.describe_pool(self._snapshot, held.lease)
            for _, held in sorted(self._lease_set.held.items())
        ]

    def get_held_lease(self, pool: ids.PoolName) -> leases.HeldLease:
        """Return the lease of a held pool; raises KeyError if this entry does not hold it."""
        return self._lease_set.held[pool]

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows whose keys have a prefix, page by page; raises TableUnavailable."""
        rows: list[platform.Row] = []
        after = ""
        while True:
            page = await self._store.scan(prefix, after, _SCAN_PAGE_ROWS)
            rows += page
            if len(page) < _SCAN_PAGE_ROWS:
                return rows
            after = page[-1].key

    def record_decision(self, name: str, action: decisions.Action, reason: str) -> None:
        """Record a decision and log it."""
        # A refusal that repeats in each pass is recorded once.
        if self._last_decisions.get(name) == (action, reason):
            return
        self._last_decisions[name] = (action, reason)
        now_s = asyncio.get_running_loop().time()
        self._on_decision(decisions.Decision(name, action, reason, now_s))
        _log.info("Decided.", name=name, action=action.value, reason=reason)
