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

Minions = collections.abc.Callable[[], tuple[platform.MinionRecord, ...] | None]
Told = collections.abc.Callable[[decisions.Decision], None]
Plan = collections.abc.Callable[[drains.Snapshot, ids.PoolName], list[moves.WorkerMove]]


class Conflict(exceptions.NutmegshelfError):
    """Report that a row of a fenced transaction changed: the lease or what it was decided on."""


class Pools:
    """Own this entry's pool leases; every pass starts from the rows, so it resumes anyone's work.

    A pass that meets an error ends there: the next one reads again what has come of it.
    """

    def __init__(
        self,
        *,
        rows: table.Store,
        workforce: table.WorkerService,
        minions: Minions,
        in_force: configuration.ActiveConfiguration,
        known: members.Members,
        book: leases.Leases,
        interval_s: float,
        told: Told,
        rescan_interval_s: float = 30.0,
        plan: Plan | None = None,
        wall_clock: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.changes = 0
        self._told = told
        self._view: drains.Snapshot | None = None
        self._rescanned_at_s = 0.0
        self._read_at_s = 0.0
        self._seen: dict[ids.PoolName, int] = {}
        self._lists: tuple[ids.Version, int] | None = None
        self._forecast_due_s: dict[ids.PoolName, float] = {}
        self._missing_since_s: dict[ids.WorkerId, float] = {}
        self._leases_read_s = -math.inf
        self._last_told: dict[str, tuple[decisions.Action, str]] = {}
        self._rows = rows
        self._workforce = workforce
        self._read_minions = minions
        self._in_force = in_force
        self._members = known
        self._book = book
        self._interval_s = interval_s
        self._plan = plan
        self._rescan_interval_s = rescan_interval_s
        self._wall_clock = wall_clock
        self._placements = placements.Placements(self, workforce)
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
        accepted = self._in_force.current
        minions = self._read_minions()
        if accepted is None or minions is None:
            # Without the list of minions every drain would look harmless.
            return
        if minions != self._minions:
            self._minions = minions
            self._lists = None
        pools = sorted(accepted.declarations.pools)
        await self._keep_leases(pools)
        for pool in sorted(self._book.held.keys() & set(pools)):
            try:
                await self._run_pool(accepted, pool)
            except Conflict as error:
                self._view = None
                self._leases_read_s = -math.inf
                _log.info("Left a pool.", pool=pool, error=str(error))

    async def release_all(self) -> None:
        """Give every lease back, for a graceful stop; raises TableError."""
        for pool in sorted(self._book.held):
            await self._rows.commit(self._book.make_release(pool))

    async def _keep_leases(self, pools: list[ids.PoolName]) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._leases_read_s < _LEASE_READ_FRACTION * self._book.duration_s:
            return
        found = await self.scan(leases.PREFIX)
        self._leases_read_s = now_s
        for pool in self._book.observe(found, now_s):
            self.tell(pool, decisions.Action.LOSE_LEASE, "another entry holds it")
        entries = [self._members.entry, *(row.entry for row in self._members.get_live(now_s))]
        for pool in self._book.select_to_release(pools, entries, now_s):
            await self._rows.commit(self._book.make_release(pool))
            del self._book.held[pool]
            self.tell(pool, decisions.Action.RELEASE_LEASE, "above the even share")
        for pool in self._book.select_to_acquire(pools, entries, now_s):
            committed = await self._rows.commit(self._book.make_acquisition(pool))
            if committed.ok:
                self._book.observe_held(committed.rows[0], now_s)
                self._view = None
                self.tell(pool, decisions.Action.TAKE_LEASE, "it was free or had lapsed")

    async def _run_pool(self, accepted: configuration.Configuration, pool: ids.PoolName) -> None:
        view = await self._current_view(accepted)
        if self._book.is_renewal_due(pool, asyncio.get_running_loop().time()):
            await self.commit(pool, view, leases.make_fenced_transaction(self._book.held[pool]))
        await self._enrol(pool, view)
        for row in sorted(view.get_host_rows(pool), key=lambda row: row.worker):
            await self._run_step(pool, view, row)
        await self._placements.run(pool, view, self._workers)
        await self._move(pool, view)
        await self._maintain(pool, view)

    async def _current_view(self, accepted: configuration.Configuration) -> drains.Snapshot:
        # Old rows do no harm, as every transaction is conditional on their versions; and whatever
        # takes a service's minions away writes its budget's row, so no grant can overlook it.
        now_s = asyncio.get_running_loop().time()
        if self._view is None or now_s - self._rescanned_at_s >= self._rescan_interval_s:
            self._placements.forget_rows()
            self._view = await self._rescan(accepted, now_s)
            self._rescanned_at_s = now_s
            self._lists = None
        await self._refresh_lists()
        lists = (accepted.head.version, self._workers_revision)
        if lists == self._lists:
            return self._view
        self._lists = lists
        self.changes += 1
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
        revisions = self._book.revisions()
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
        listed = await self._workforce.list_workers(self._workers_revision)
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
                    self._book.held[pool], (absent,), (hosts.encode(row),)
                ),
            )

    async def _run_step(
        self, pool: ids.PoolName, view: drains.Snapshot, row: hosts.HostRow
    ) -> None:
        lease = self._book.held[pool].lease
        record = self._workers.get(row.worker)
        gone = record is None or record.state is workers.WorkerState.GONE
        if gone and row.step is not hosts.HostStep.WITHDRAWN:
            await self._advance(pool, view, hosts.withdraw(row, lease))
            self.tell(row.worker, decisions.Action.WITHDRAWN, "the platform took it back")
        elif record is None:
            await self._forget(pool, view, row.worker)
        elif not gone and row.step is hosts.HostStep.WITHDRAWN:
            await self._advance(pool, view, hosts.restart(row, lease))
            self.tell(row.worker, decisions.Action.START, "the platform lists it again")
        elif not gone and await self._order(row) is workers.Outcome.DONE:
            await self._finish_step(pool, view, row)

    async def _forget(
        self, pool: ids.PoolName, view: drains.Snapshot, worker: ids.WorkerId
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._missing_since_s.setdefault(worker, now_s) < _FORGET_AFTER_S:
            return
        await self.commit(pool, view, drains.remove(view, self._book.held[pool], worker))
        del view.hosts_by_worker[worker], self._missing_since_s[worker]
        self.tell(worker, decisions.Action.FORGET, "the platform lists it no more")

    async def _order(self, row: hosts.HostRow) -> workers.Outcome | None:
        # The order of a row goes before any next row, also before a recall: whoever sends it
        # again late finds it done already, and it does nothing.
        order = hosts.order(row)
        return None if order is None else await self._workforce.send_order(order)

    async def _finish_step(
        self, pool: ids.PoolName, view: drains.Snapshot, row: hosts.HostRow
    ) -> None:
        lease = self._book.held[pool].lease
        draining = row.step is hosts.HostStep.DRAINING
        recall = draining and drains.should_cancel(view, row.worker)
        following = hosts.next_row(row, lease, recall, self._wall_clock())
        await self._advance(pool, view, following)
        if recall:
            self.tell(row.worker, decisions.Action.RECALL, "a budget no longer holds")
        elif following.pool != row.pool:
            self.tell(row.worker, decisions.Action.MOVE, f"from {row.pool} to {following.pool}")

    async def _advance(
        self, pool: ids.PoolName, view: drains.Snapshot, following: hosts.HostRow
    ) -> None:
        transaction = drains.advance(view, self._book.held[pool], following.worker, following)
        await self.commit(pool, view, transaction)

    async def _move(self, pool: ids.PoolName, view: drains.Snapshot) -> None:
        for transfer in self._plan(view, pool) if self._plan else []:
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
            self.tell(pool, decisions.Action.MAINTENANCE_LATE, found.reason)

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
        if worker in self._placements.guarded_at.get(pool, ()):
            self.tell(worker, decisions.Action.REFUSE_DRAIN, "guarded work runs there")
            return False
        match drains.grant(view, self._book.held[pool], worker, purpose, to_pool=to_pool):
            case drains.Refused() as refused:
                self.tell(worker, decisions.Action.REFUSE_DRAIN, str(refused))
                return False
            case drains.Granted() as granted:
                await self.commit(pool, view, granted.transaction)
                self.tell(worker, decisions.Action.DRAIN, purpose.value)
                return True

    async def commit(
        self, pool: ids.PoolName, view: drains.Snapshot, transaction: platform.Transaction
    ) -> tuple[platform.Row, ...]:
        """Commit a fenced transaction and give the rows written; raises TableError or Conflict."""
        before = self._book.held[pool].lease.revision
        committed = await self._rows.commit(transaction)
        own = next((row for row in committed.rows if row.key == leases.key(pool)), None)
        if not committed.ok:
            raise Conflict(f"{pool}: {', '.join(row.key for row in committed.rows)} changed")
        assert own is not None
        self._book.observe_held(own, asyncio.get_running_loop().time())
        view.apply_rows(committed.rows)
        if self._seen.get(pool) == before:
            self._seen[pool] = self._book.held[pool].lease.revision
        self.changes += 1
        return committed.rows

    def standings(self) -> list[status.PoolStatus]:
        """Show the pools that this entry holds."""
        if self._view is None:
            return []
        return [
            status.describe_pool(self._view, held.lease)
            for _, held in sorted(self._book.held.items())
        ]

    def held(self, pool: ids.PoolName) -> leases.HeldLease:
        """Give the lease of a held pool."""
        return self._book.held[pool]

    async def scan(self, prefix: str) -> list[platform.Row]:
        """Read all rows of a prefix; raises TableUnavailable."""
        found: list[platform.Row] = []
        after = ""
        while True:
            rows = await self._rows.scan(prefix, after, _SCAN_ROWS)
            found += rows
            if len(rows) < _SCAN_ROWS:
                return found
            after = rows[-1].key

    def tell(self, name: str, action: decisions.Action, reason: str) -> None:
        """Record a decision and log it."""
        # A refusal that only repeats itself each pass is told once.
        if self._last_told.get(name) == (action, reason):
            return
        self._last_told[name] = (action, reason)
        now_s = asyncio.get_running_loop().time()
        self._told(decisions.Decision(name, action, reason, now_s))
        _log.info("Decided.", name=name, action=action.value, reason=reason)
