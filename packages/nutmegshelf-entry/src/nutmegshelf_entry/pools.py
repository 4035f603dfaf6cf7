"""Hold leases of pools and run the steps of their workers."""

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

_SCAN_ROWS = 1000
_FORECAST_INTERVAL_S = 60.0
_TURN_S = 1800.0
_FORGET_AFTER_S = 3600.0
_LEASE_READ_FRACTION = 0.2
_RESCANS_A_FULL_READ = 10
_log = logs.get_logger("pools")

ListMinions = collections.abc.Callable[[], tuple[platform.MinionRecord, ...] | None]
OnDecision = collections.abc.Callable[[decisions.Decision], None]
PlanMoves = collections.abc.Callable[[drains.Snapshot, ids.PoolName], list[moves.WorkerMove]]


class Conflict(exceptions.NutmegshelfError):
    """Report that a row of a fenced transaction changed: the lease or what it was decided on."""


class PoolController:
    """Own this entry's pool leases; every pass starts from the rows, so it resumes anyone's work.

    A pass that meets an error ends there: the next one reads again what has come of it.
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
        self._view: drains.Snapshot | None = None
        self._rescanned_at_s = 0.0
        self._read_at_s = 0.0
        self._seen: dict[ids.PoolName, int] = {}
        self._lists: tuple[ids.Version, int] | None = None
        self._forecast_due_s: dict[ids.PoolName, float] = {}
        self._missing_since_s: dict[ids.WorkerId, float] = {}
        self._leases_read_s = -math.inf
        self._last_told: dict[str, tuple[decisions.Action, str]] = {}
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

    async def run(self) -> None:
        """Run passes for ever."""
        while True:
            try:
                await self.run_pass()
            except exceptions.TableError as error:
                self._view = None
                _log.warning("Ended a pass early.", error=str(error))
            await asyncio.sleep(self._interval_s)

    async def run_pass(self) -> None:
        """Take and renew leases, then run the held pools' steps; raises TableError."""
        accepted = self._active.current
        minions = self._list_minions()
        if accepted is None or minions is None:
            # Without the list of minions every drain would look harmless.
            return
        if minions != self._minions:
            self._minions = minions
            self._lists = None
        pools = sorted(accepted.declarations.pools)
        await self._keep_leases(pools)
        for pool in sorted(self._lease_set.held.keys() & set(pools)):
            try:
                await self._run_pool(accepted, pool)
            except Conflict as error:
                self._view = None
                self._leases_read_s = -math.inf
                _log.info("Left a pool.", pool=pool, error=str(error))

    async def release_all(self) -> None:
        """Give every lease back, for a graceful stop; raises TableError."""
        for pool in sorted(self._lease_set.held):
            await self._store.commit(self._lease_set.make_release(pool))

    async def _keep_leases(self, pools: list[ids.PoolName]) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._leases_read_s < _LEASE_READ_FRACTION * self._lease_set.duration_s:
            return
        found = await self.scan(leases.PREFIX)
        self._leases_read_s = now_s
        for pool in self._lease_set.observe(found, now_s):
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
                self._view = None
                self.record_decision(pool, decisions.Action.TAKE_LEASE, "it was free or had lapsed")

    async def _run_pool(self, accepted: configuration.Configuration, pool: ids.PoolName) -> None:
        view = await self._current_view(accepted)
        if self._lease_set.is_renewal_due(pool, asyncio.get_running_loop().time()):
            await self.commit(
                pool, view, leases.make_fenced_transaction(self._lease_set.held[pool])
            )
        await self._enrol(pool, view)
        for row in sorted(view.get_host_rows(pool), key=lambda row: row.worker):
            await self._run_step(pool, view, row)
        await self._task_placer.run_pass(pool, view, self._workers)
        await self._move(pool, view)
        await self._maintain(pool, view)

    async def _current_view(self, accepted: configuration.Configuration) -> drains.Snapshot:
        # Old rows do no harm, as every transaction is conditional on their versions; and whatever
        # takes a service's minions away writes its budget's row, so no grant can overlook it.
        now_s = asyncio.get_running_loop().time()
        if self._view is None or now_s - self._rescanned_at_s >= self._rescan_interval_s:
            self._task_placer.invalidate_rows()
            self._view = await self._rescan(accepted, now_s)
            self._rescanned_at_s = now_s
            self._lists = None
        await self._refresh_lists()
        lists = (accepted.head.version, self._workers_revision)
        if lists == self._lists:
            return self._view
        self._lists = lists
        self.change_count += 1
        self._view = dataclasses.replace(
            self._view,
            declared=accepted.declarations,
            budgets_by_service=self._budgets(accepted, self._view.budgets_by_service),
            minions=self._minions,
            failed_workers=frozenset(
                worker
                for worker, record in self._workers.items()
                if record.state is not workers.WorkerState.READY
            ),
        )
        return self._view

    async def _rescan(self, accepted: configuration.Configuration, now_s: float) -> drains.Snapshot:
        # Revisions are taken before the rows, so a change in between is read once more. A stale
        # read is not told apart, hence the full read now and then.
        revisions = self._lease_set.revisions()
        full_s = _RESCANS_A_FULL_READ * self._rescan_interval_s
        if self._view and revisions == self._seen and now_s - self._read_at_s < full_s:
            return self._view
        self._view = None
        view = await self._read(accepted)
        self._seen, self._read_at_s = revisions, now_s
        return view

    async def _read(self, accepted: configuration.Configuration) -> drains.Snapshot:
        # Budgets go first: what freed them is then surely seen in the workers' rows.
        found = await self.scan(budgets.PREFIX)
        sent = await self.scan(moves.PREFIX)
        rows = [hosts.decode(row) for row in await self.scan(hosts.PREFIX)]
        services = [ids.ServiceName(row.key.removeprefix(budgets.PREFIX)) for row in found]
        return drains.Snapshot(
            declared=accepted.declarations,
            budgets_by_service={
                service: budgets.decode(row, service)
                for service, row in zip(services, found, strict=True)
            },
            hosts_by_worker={host.row.worker: host for host in rows},
            minions=self._minions,
            move_rows_by_pool={
                ids.PoolName(row.key.removeprefix(moves.PREFIX)): row for row in sent
            },
        )

    @staticmethod
    def _budgets(
        accepted: configuration.Configuration, known: dict[ids.ServiceName, budgets.Budget]
    ) -> dict[ids.ServiceName, budgets.Budget]:
        return {
            service: known.get(service) or budgets.Budget(budgets.BudgetRow(service=service), 0)
            for service in accepted.declarations.services
        }

    async def _refresh_lists(self) -> None:
        listed = await self._worker_service.list_workers(self._workers_revision)
        if listed is not None and listed.revision > self._workers_revision:
            self._workers_revision = listed.revision
            self._workers = {record.worker: record for record in listed.workers}
            for worker in self._missing_since_s.keys() & self._workers.keys():
                del self._missing_since_s[worker]

    async def _enrol(self, pool: ids.PoolName, view: drains.Snapshot) -> None:
        new = [
            record
            for record in self._workers.values()
            if record.pool == pool and record.worker not in view.hosts_by_worker
        ]
        for record in new:
            row = hosts.enroll(record, self._wall_clock())
            absent = platform.Condition(hosts.key(record.worker), 0)
            await self.commit(
                pool,
                view,
                leases.make_fenced_transaction(
                    self._lease_set.held[pool], (absent,), (hosts.encode(row),)
                ),
            )

    async def _run_step(
        self, pool: ids.PoolName, view: drains.Snapshot, row: hosts.HostRow
    ) -> None:
        lease = self._lease_set.held[pool].lease
        record = self._workers.get(row.worker)
        gone = record is None or record.state is workers.WorkerState.GONE
        if gone and row.step is not hosts.HostStep.WITHDRAWN:
            await self._advance(pool, view, hosts.withdraw(row, lease))
            self.record_decision(
                row.worker, decisions.Action.WITHDRAWN, "the platform took it back"
            )
        elif record is None:
            await self._forget(pool, view, row.worker)
        elif not gone and row.step is hosts.HostStep.WITHDRAWN:
            await self._advance(pool, view, hosts.restart(row, lease))
            self.record_decision(row.worker, decisions.Action.START, "the platform lists it again")
        elif not gone and await self._order(row) is workers.Outcome.DONE:
            await self._finish_step(pool, view, row)

    async def _forget(
        self, pool: ids.PoolName, view: drains.Snapshot, worker: ids.WorkerId
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._missing_since_s.setdefault(worker, now_s) < _FORGET_AFTER_S:
            return
        await self.commit(pool, view, drains.remove(view, self._lease_set.held[pool], worker))
        del view.hosts_by_worker[worker], self._missing_since_s[worker]
        self.record_decision(worker, decisions.Action.FORGET, "the platform lists it no more")

    async def _order(self, row: hosts.HostRow) -> workers.Outcome | None:
        # The order of a row goes before any next row, also before a recall: whoever sends it
        # again late finds it done already, and it does nothing.
        order = hosts.order(row)
        return None if order is None else await self._worker_service.send_order(order)

    async def _finish_step(
        self, pool: ids.PoolName, view: drains.Snapshot, row: hosts.HostRow
    ) -> None:
        lease = self._lease_set.held[pool].lease
        draining = row.step is hosts.HostStep.DRAINING
        recall = draining and drains.should_cancel(view, row.worker)
        following = hosts.next_row(row, lease, recall, self._wall_clock())
        await self._advance(pool, view, following)
        if recall:
            self.record_decision(row.worker, decisions.Action.RECALL, "a budget no longer holds")
        elif following.pool != row.pool:
            self.record_decision(
                row.worker, decisions.Action.MOVE, f"from {row.pool} to {following.pool}"
            )

    async def _advance(
        self, pool: ids.PoolName, view: drains.Snapshot, following: hosts.HostRow
    ) -> None:
        transaction = drains.advance(view, self._lease_set.held[pool], following.worker, following)
        await self.commit(pool, view, transaction)

    async def _move(self, pool: ids.PoolName, view: drains.Snapshot) -> None:
        for transfer in self._plan_moves(view, pool) if self._plan_moves else []:
            await self.drain(
                pool, view, transfer.worker, hosts.Purpose.MOVE, to_pool=transfer.to_pool
            )

    async def _maintain(self, pool: ids.PoolName, view: drains.Snapshot) -> None:
        rows = view.get_host_rows(pool)
        for rule in view.declared.maintenance.values():
            if rule.pool != pool:
                continue
            self._forecast(pool, view, rule)
            for row in maintenance.select_due(rule, rows, self._wall_clock()):
                await self.drain(pool, view, row.worker, hosts.Purpose.MAINTENANCE)

    def _forecast(
        self, pool: ids.PoolName, view: drains.Snapshot, rule: declarations.Maintenance
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._forecast_due_s.get(pool, 0.0):
            return
        self._forecast_due_s[pool] = now_s + _FORECAST_INTERVAL_S
        found = maintenance.forecast(view, rule, _TURN_S, self._wall_clock())
        if not found.is_met:
            self.record_decision(pool, decisions.Action.MAINTENANCE_LATE, found.reason)

    async def drain(
        self,
        pool: ids.PoolName,
        view: drains.Snapshot,
        worker: ids.WorkerId,
        purpose: hosts.Purpose,
        *,
        to_pool: ids.PoolName | None = None,
    ) -> bool:
        """Ask the budgets for a drain and write it down; raises TableError or Conflict."""
        if worker in self._task_placer.guarded_workers.get(pool, ()):
            self.record_decision(worker, decisions.Action.REFUSE_DRAIN, "guarded work runs there")
            return False
        match drains.grant(view, self._lease_set.held[pool], worker, purpose, to_pool=to_pool):
            case drains.Refused() as refused:
                self.record_decision(worker, decisions.Action.REFUSE_DRAIN, str(refused))
                return False
            case drains.Granted() as granted:
                await self.commit(pool, view, granted.transaction)
                self.record_decision(worker, decisions.Action.DRAIN, purpose.value)
                return True

    async def commit(
        self, pool: ids.PoolName, view: drains.Snapshot, transaction: platform.Transaction
    ) -> tuple[platform.Row, ...]:
        """Commit a fenced transaction and give the rows written; raises TableError or Conflict."""
        before = self._lease_set.held[pool].lease.revision
        committed = await self._store.commit(transaction)
        own = next((row for row in committed.rows if row.key == leases.key(pool)), None)
        if not committed.ok:
            raise Conflict(f"{pool}: {', '.join(row.key for row in committed.rows)} changed")
        assert own is not None
        self._lease_set.observe_held(own, asyncio.get_running_loop().time())
        view.apply_rows(committed.rows)
        if self._seen.get(pool) == before:
            self._seen[pool] = self._lease_set.held[pool].lease.revision
        self.change_count += 1
        return committed.rows

    def get_pool_statuses(self) -> list[status.PoolStatus]:
        """Show the pools that this entry holds."""
        if self._view is None:
            return []
        return [
            status.describe_pool(self._view, held.lease)
            for _, held in sorted(self._lease_set.held.items())
        ]

    def get_held_lease(self, pool: ids.PoolName) -> leases.HeldLease:
        """Give the lease of a held pool."""
        return self._lease_set.held[pool]

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows of a prefix; raises TableUnavailable."""
        found: list[platform.Row] = []
        after = ""
        while True:
            rows = await self._store.scan(prefix, after, _SCAN_ROWS)
            found += rows
            if len(rows) < _SCAN_ROWS:
                return found
            after = rows[-1].key

    def record_decision(self, name: str, action: decisions.Action, reason: str) -> None:
        """Record a decision and log it."""
        # A refusal that only repeats itself each pass is told once.
        if self._last_told.get(name) == (action, reason):
            return
        self._last_told[name] = (action, reason)
        now_s = asyncio.get_running_loop().time()
        self._on_decision(decisions.Decision(name, action, reason, now_s))
        _log.info("Decided.", name=name, action=action.value, reason=reason)
