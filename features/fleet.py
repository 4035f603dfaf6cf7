"""Fake table and workers for the pools of several entries, on a simulated clock."""

import asyncio
import typing

from nutmegshelf import (
    codecs,
    configuration,
    declarations,
    exceptions,
    hosts,
    ids,
    leases,
    members,
    platform,
    workers,
)
from nutmegshelf_entry import pools
from nutmegshelf_standins import store, workforce

LEASE_S = 3.0
PAUSE_S = 3 * LEASE_S
OUTAGE_S = 12.0
RESCAN_S = 3.0
FAULTS = ("pause before", "pause after", "lost answer", "outage", "doubled call")
OVERDUE_S = -28 * 86_400.0


class Sample(typing.NamedTuple):
    """Number of workers that are up at one time, and the workers that drain by their rows."""

    at_s: float
    up: int
    draining: frozenset


class Grant(typing.NamedTuple):
    """Drain, with the number of workers still up and serving when it was committed."""

    at_s: float
    worker: str
    remaining: int


class Site:
    """Fake table, workers and entries, with checks after every change."""

    def __init__(self, declared, records, fleet, plan=None):
        self.store = store.Store()
        self.workforce = workforce.Workforce()
        self.workforce.set_workers(records)
        self.fleet = fleet
        self.plan = plan
        self.declared = declared
        self.entries = {}
        self.tasks = {}
        self.decisions = {}
        self.violations = []
        self.host_reads = []
        self.samples = []
        self.grants = []
        self.outage_until_s = -1.0
        self.delay_s = 0.001
        self.required = {}
        self.calls_until_done = 0

    def add(self, name, names, injector=None):
        entry_members = members.Members(ids.EntryId(name), 10_000.0)
        rows = [
            members.EntryRow(
                entry=ids.EntryId(other), zone="z", peer_address="", operator_address="", beat=1
            )
            for other in names
        ]
        entry_members.apply_rows(rows, 0.0)
        head = configuration.Head(version=ids.Version(1), digest="", publish_id=ids.PublishId("p"))
        connection = EntryConnection(self, name, injector)
        self.entries[name] = pools.PoolController(
            store=connection,
            worker_service=connection,
            list_minions=lambda: self.fleet.minions,
            active_configuration=configuration.ActiveConfiguration(
                configuration.Configuration(head=head, declarations=self.declared)
            ),
            membership=entry_members,
            lease_set=leases.Leases(ids.EntryId(name), f"{name}-first", LEASE_S),
            interval_s=1.0,
            rescan_interval_s=RESCAN_S,
            plan_moves=self.plan,
            on_decision=self.decisions.setdefault(name, []).append,
            wall_clock=lambda: asyncio.get_running_loop().time(),
        )

    def start(self):
        for name, entry in self.entries.items():
            self.tasks[name] = asyncio.create_task(entry.run())

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        results = await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        crashes = [result for result in results if not isinstance(result, asyncio.CancelledError)]
        assert not crashes, crashes

    def rows(self):
        table_rows = self.store.scan(hosts.PREFIX, "", 10_000)
        return {host.row.worker: host.row for host in map(hosts.decode, table_rows)}

    def leases(self):
        table_rows = self.store.scan(leases.PREFIX, "", 10_000)
        return [codecs.unpack(row.value, leases.LeaseRow) for row in table_rows]

    def commit(self, entry, transaction):
        """Apply a transaction, and record changes to workers by any entry but the lease holder."""
        before = self.rows()
        holders = {lease.pool: lease.holder for lease in self.leases()}
        committed = self.store.commit(transaction)
        after = self.rows() if committed.ok else before
        for worker, row in after.items():
            previous = before.get(worker)
            if previous == row:
                continue
            if holders.get(previous.pool if previous else row.pool) != entry:
                self.violations.append(("fence", entry, holders, row))
            if previous and row.number != previous.number + 1:
                self.violations.append(("fence", "a step was lost or repeated", previous, row))
            if row.step is hosts.HostStep.DRAINING:
                self.grants.append(Grant(self._now_s(), worker, self._count_serving(after)))
        return committed

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def _count_serving(self, rows):
        # Counted from the fake workers, so that it includes changes not yet listed to the entries.
        return sum(
            record.state is workers.WorkerState.READY
            and rows[worker].step is hosts.HostStep.SERVING
            for worker, record in self.workforce.workers.items()
            if worker in rows
        )

    def check(self, trigger):
        ready = dict.fromkeys(self.required, 0)
        for worker, row in self.rows().items():
            record = self.workforce.workers.get(worker)
            if row.step is not hosts.HostStep.SERVING or record is None:
                continue
            if record.state is not workers.WorkerState.READY or record.pool != row.pool:
                self.violations.append(("pool", trigger, row, record))
        for record in self.workforce.workers.values():
            if record.state is workers.WorkerState.READY and record.pool in ready:
                ready[record.pool] += 1
        up = sum(
            record.state is workers.WorkerState.READY for record in self.workforce.workers.values()
        )
        drain_steps = (hosts.HostStep.DRAINING, hosts.HostStep.STARTING)
        draining = frozenset(
            worker for worker, row in self.rows().items() if row.step in drain_steps
        )
        self.samples.append(Sample(self._now_s(), up, draining))
        below_budget = {pool: up for pool, up in ready.items() if up < self.required[pool]}
        if below_budget:
            self.violations.append(("budget", trigger, below_budget))


class FaultInjector:
    """Injector of one fault at one call, counted over an entry's calls."""

    def __init__(self, fault, at):
        self.fault = fault
        self.at = at
        self.calls = 0

    def next_fault(self):
        self.calls += 1
        return self.fault if self.calls - 1 == self.at else None


class RandomFaultInjector:
    """Injector of random faults other than death at random calls."""

    def __init__(self, rng, share):
        self.rng = rng
        self.share = share
        self.calls = 0

    def next_fault(self):
        self.calls += 1
        return self.rng.choice(FAULTS) if self.rng.random() < self.share else None


class EntryConnection:
    """One entry's connection to the table and the workers, which injects faults."""

    def __init__(self, site, name, injector):
        self.site = site
        self.name = name
        self.injector = injector

    async def read(self, key):
        return await self._call(lambda: self.site.store.read(key))

    async def scan(self, prefix, after="", limit=1000):
        if prefix == hosts.PREFIX:
            self.site.host_reads.append(self.name)
        return await self._call(lambda: self.site.store.scan(prefix, after, limit))

    async def commit(self, transaction):
        return await self._call(lambda: self.site.commit(self.name, transaction), changes=True)

    async def list_workers(self, after_revision=-1):
        return await self._call(lambda: self.site.workforce.list_workers(after_revision))

    async def send_order(self, order):
        return await self._call(lambda: self.site.workforce.apply_order(order), changes=True)

    async def get_usage(self):
        return await self._call(self.site.workforce.get_usage)

    async def _call(self, operation, changes=False):
        await asyncio.sleep(self.site.delay_s)
        now_s = asyncio.get_running_loop().time()
        fault = self.injector.next_fault() if self.injector else None
        if fault == "outage":
            self.site.outage_until_s = now_s + OUTAGE_S
        if now_s < self.site.outage_until_s:
            raise exceptions.TableUnavailable("the platform is down")
        if fault == "pause before":
            await asyncio.sleep(PAUSE_S)
        answer = operation()
        if fault == "doubled call":
            operation()
        if changes:
            self.site.check((fault, self.injector and self.injector.calls))
        if fault == "pause after":
            await asyncio.sleep(PAUSE_S)
        if fault == "lost answer":
            raise exceptions.TableAnswerLost("the answer is lost")
        if fault == "death":
            raise asyncio.CancelledError
        return answer


def declare(pool_names, workers_each, fraction, **maintenance):
    return declarations.DeclarationSet(
        pools={
            name: declarations.Pool(
                wanted_workers=workers_each, worker_cores=64, worker_memory_gb=128
            )
            for name in pool_names
        },
        services={
            name: declarations.Service(pool=name, wanted_minions=workers_each)
            for name in pool_names
        },
        budgets={
            name: declarations.Budget(service=name, min_available_fraction=fraction)
            for name in pool_names
        },
        maintenance={
            name: declarations.Maintenance(pool=name, **maintenance)
            for name in pool_names
            if maintenance
        },
    )


def make_records(pool_names, workers_each, zones=4):
    return [
        workers.WorkerRecord(
            worker=f"{pool}-w{number}",
            zone=f"z{number % zones}",
            rack=f"z{number % zones}-r{number // zones}",
            pool=pool,
        )
        for pool in pool_names
        for number in range(workers_each)
    ]


def make_fleet_list(records):
    return platform.FleetList(
        revision=1,
        minions=tuple(
            platform.MinionRecord(
                minion=f"m-{record.worker}",
                service=record.pool,
                host="127.0.0.1",
                port=1,
                zone=record.zone,
                rack=record.rack,
                worker=record.worker,
            )
            for record in records
        ),
    )


def make_job(team="t", cores=1.0, memory_gb=1.0, kind="normal", **more):
    return declarations.Job(
        pool="a",
        team=team,
        cores=cores,
        memory_gb=memory_gb,
        request_class=declarations.RequestClass(kind),
        **more,
    )
