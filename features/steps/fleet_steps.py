"""Run the pools' tasks of several entries against fake rows and workers on a paused clock."""

import asyncio
import random

import behave
from nutmegshelf import (
    codecs,
    configuration,
    declarations,
    exceptions,
    hosts,
    ids,
    leases,
    members,
    moves,
    platform,
    workers,
)
from nutmegshelf_entry import pools
from nutmegshelf_standins import clock, store, workforce

LEASE_S = 3.0
PAUSE_S = 3 * LEASE_S
OUTAGE_S = 12.0
FAULTS = ("pause before", "pause after", "lost answer", "outage", "doubled call")
OLD_S = -28 * 86_400.0


class Site:
    """Hold the rows, the workers and their entries, and check them after every effect."""

    def __init__(self, declared, records, fleet, plan=None):
        self.store = store.Store()
        self.workforce = workforce.Workforce()
        self.workforce.enlist(records)
        self.fleet = fleet
        self.plan = plan
        self.declared = declared
        self.entries = {}
        self.tasks = {}
        self.wrong = []
        self.outage_until_s = -1.0
        self.required = {}
        self.calls_until_done = 0

    def add(self, name, names, gate=None):
        known = members.Members(ids.EntryId(name), 10_000.0)
        rows = [
            members.EntryRow(
                entry=ids.EntryId(other), zone="z", peer_address="", operator_address="", beat=1
            )
            for other in names
        ]
        known.take_rows(rows, 0.0)
        head = configuration.Head(version=ids.Version(1), digest="", publish_id=ids.PublishId("p"))
        port = Port(self, name, gate)
        self.entries[name] = pools.Pools(
            rows=port,
            workforce=port,
            in_force=configuration.InForce(
                configuration.Accepted(head=head, declarations=self.declared)
            ),
            known=known,
            book=leases.Leases(ids.EntryId(name), f"{name}-first", LEASE_S),
            interval_s=1.0,
            plan=self.plan,
            wall_clock=lambda: asyncio.get_running_loop().time(),
        )

    def start(self):
        for name, entry in self.entries.items():
            self.tasks[name] = asyncio.create_task(entry.run())

    async def stop(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def rows(self):
        found = self.store.scan(hosts.PREFIX, "", 10_000)
        return {host.row.worker: host.row for host in map(hosts.read, found)}

    def leases(self):
        found = self.store.scan(leases.PREFIX, "", 10_000)
        return [codecs.unpack(row.value, leases.LeaseRow) for row in found]

    def commit(self, entry, transaction):
        """Apply a transaction, and note effects on workers by any but their lease's holder."""
        before = self.rows()
        holders = {lease.pool: lease.holder for lease in self.leases()}
        committed = self.store.commit(transaction)
        after = self.rows() if committed.ok else before
        for worker, row in after.items():
            old = before.get(worker)
            if old == row:
                continue
            if holders.get(old.pool if old else row.pool) != entry:
                self.wrong.append(("fence", entry, holders, row))
            if old and row.number != old.number + 1:
                self.wrong.append(("fence", "a step was lost or repeated", old, row))
        return committed

    def check(self, what):
        ready = dict.fromkeys(self.required, 0)
        for worker, row in self.rows().items():
            record = self.workforce.workers[worker]
            if row.step is not hosts.HostStep.SERVING:
                continue
            if record.state is not workers.WorkerState.READY or record.pool != row.pool:
                self.wrong.append(("pool", what, row, record))
        for record in self.workforce.workers.values():
            if record.state is workers.WorkerState.READY and record.pool in ready:
                ready[record.pool] += 1
        short = {pool: up for pool, up in ready.items() if up < self.required[pool]}
        if short:
            self.wrong.append(("budget", what, short))


class Gate:
    """Bring about one fault at one call, counted over an entry's calls."""

    def __init__(self, fault, at):
        self.fault = fault
        self.at = at
        self.calls = 0

    def next_fault(self):
        self.calls += 1
        return self.fault if self.calls - 1 == self.at else None


class RandomGate:
    """Bring about any fault but death at random calls."""

    def __init__(self, rng, share):
        self.rng = rng
        self.share = share
        self.calls = 0

    def next_fault(self):
        self.calls += 1
        return self.rng.choice(FAULTS) if self.rng.random() < self.share else None


class Port:
    """Be one entry's way to the table and the workers."""

    def __init__(self, site, name, gate):
        self.site = site
        self.name = name
        self.gate = gate

    async def read(self, key):
        return await self._call(lambda: self.site.store.read(key))

    async def scan(self, prefix, after="", limit=1000):
        return await self._call(lambda: self.site.store.scan(prefix, after, limit))

    async def commit(self, transaction):
        return await self._call(lambda: self.site.commit(self.name, transaction), changes=True)

    async def list_workers(self, after_revision=-1):
        return await self._call(lambda: self.site.workforce.listed(after_revision))

    async def fleet(self, after_revision=-1):
        return await self._call(
            lambda: None if after_revision >= self.site.fleet.revision else self.site.fleet
        )

    async def order(self, order):
        return await self._call(lambda: self.site.workforce.take(order), changes=True)

    async def _call(self, effect, changes=False):
        await asyncio.sleep(0.001)
        now_s = asyncio.get_running_loop().time()
        fault = self.gate.next_fault() if self.gate else None
        if fault == "outage":
            self.site.outage_until_s = now_s + OUTAGE_S
        if now_s < self.site.outage_until_s:
            raise exceptions.TableUnavailable("the platform is down")
        if fault == "pause before":
            await asyncio.sleep(PAUSE_S)
        answer = effect()
        if fault == "doubled call":
            effect()
        if changes:
            self.site.check((fault, self.gate and self.gate.calls))
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


def records_of(pool_names, workers_each, zones=4):
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


def fleet_of(records):
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


def plan_one_move(view, pool):
    row = view.host_of["a-w0"].row if "a-w0" in view.host_of else None
    if row and row.pool == pool == "a" and row.step is hosts.HostStep.SERVING:
        return [moves.Transfer("a-w0", "b")]
    return []


def build(names, gates):
    declared = declare(["a", "b"], 4, 0.5)
    rule = declarations.Maintenance(pool="b")
    declared = declarations.DeclarationSet(
        pools=declared.pools,
        services=declared.services,
        budgets=declared.budgets,
        maintenance={"b": rule},
    )
    records = records_of(["a", "b"], 4)
    site = Site(declared, records, fleet_of(records), plan_one_move)
    site.required = {"a": 2, "b": 2}
    # One worker of the second pool is old; all others are new.
    for record in records:
        row = hosts.enrolled(record, OLD_S if record.worker == "b-w1" else 0.0)
        site.store.commit(platform.Transaction(writes=(hosts.write(row),)))
    for name in names:
        site.add(name, names, gates.get(name))
    return site


async def run_one(fault, entry, at):
    names = ["entry-0", "entry-1"]
    gate = Gate(fault, at)
    site = build(names, {entry: gate})
    site.start()
    for _ in range(120):
        await asyncio.sleep(1.0)
        if is_done(site) and (gate.calls > at or at < 0):
            break
    site.calls_until_done = gate.calls
    # A paused holder wakes up after all is done.
    await asyncio.sleep(PAUSE_S + 2 * LEASE_S)
    site.check("end")
    done = is_done(site)
    await site.stop()
    return site, gate, done


def is_done(site):
    rows = site.rows()
    return (
        rows["a-w0"].pool == "b"
        and rows["b-w1"].maintained_at_s > 0
        and all(row.step is hosts.HostStep.SERVING for row in rows.values())
        and len(site.leases()) == 2
    )


@behave.given("two pools of 4 workers and two entries that move one worker and maintain another")
def prepare(context):
    context.runs = []


@behave.when('a "{fault}" is tried at each call of "{entry}"')
def sweep(context, fault, entry):
    site, gate, done = clock.run(run_one("none", entry, -1))
    assert done and not site.wrong, (done, site.wrong)
    assert site.calls_until_done > 20, gate.calls
    for at in range(site.calls_until_done):
        context.runs.append((at, *clock.run(run_one(fault, entry, at))))


async def run_random(rng, share):
    names = ["entry-0", "entry-1", "entry-2"]
    site = build(names, {name: RandomGate(rng, share) for name in names})
    site.start()
    for _ in range(900):
        await asyncio.sleep(1.0)
        if is_done(site):
            break
    done = is_done(site)
    await site.stop()
    return site, None, done


@behave.when("{count:d} runs meet a random fault at {percent:d} % of the calls of three entries")
def run_random_faults(context, count, percent):
    for number in range(count):
        found = clock.run(run_random(random.Random(context.rng.random()), percent / 100))
        context.runs.append((number, *found))


@behave.then("every run ended with the worker moved, the other maintained and all leases held")
def check_done(context):
    assert context.runs
    left = [(at, site.rows(), site.leases()) for at, site, _, done in context.runs if not done]
    assert not left, (len(left), left[0])


@behave.then("no worker served in a pool other than its row's at any step")
def check_pools(context):
    wrong = [(at, w) for at, site, _, _ in context.runs for w in site.wrong if w[0] == "pool"]
    assert not wrong, (len(wrong), wrong[0])


@behave.then("every step was taken once by the holder of the lease")
def check_fences(context):
    wrong = [(at, w) for at, site, _, _ in context.runs for w in site.wrong if w[0] == "fence"]
    assert not wrong, (len(wrong), wrong[0])


@behave.then("every budget held at every step")
def check_budgets(context):
    wrong = [(at, w) for at, site, _, _ in context.runs for w in site.wrong if w[0] == "budget"]
    assert not wrong, (len(wrong), wrong[0])


def lease_row(version, beat):
    lease = leases.LeaseRow(pool="a", holder="other", incarnation="x", epoch=1, beat=beat)
    return platform.Row(leases.key("a"), version, codecs.pack(lease))


@behave.given("an entry that saw a lease of {duration_s:g} s at second {at_s:g}")
def see_lease(context, duration_s, at_s):
    context.book = leases.Leases("own", "own-1", duration_s)
    context.book.observe([lease_row(1, 0)], at_s)


@behave.when("the lease's row changes at second {at_s:g}")
def change_lease(context, at_s):
    context.book.observe([lease_row(2, 1)], at_s)


@behave.then("it may not take it at second {at_s:g}")
def check_not_takeable(context, at_s):
    assert not context.book.to_take(["a"], ["own", "other"], at_s)


@behave.then("it may take it at second {at_s:g}")
def check_takeable(context, at_s):
    assert context.book.to_take(["a"], ["own", "other"], at_s) == ["a"]


@behave.given("{count:d} pools and {entries:d} entries that start together")
def many_pools(context, count, entries):
    names = [f"entry-{number}" for number in range(entries)]
    pool_names = [f"p{number}" for number in range(count)]
    context.site = Site(declare(pool_names, 0, 0.0), [], fleet_of([]))
    for name in names:
        context.site.add(name, names)


@behave.when("they run for {seconds:g} s")
def run_for(context, seconds):
    async def work():
        context.site.start()
        await asyncio.sleep(seconds)
        await context.site.stop()

    clock.run(work())


@behave.then("each pool has one holder and no entry holds more than {share:d}")
def check_share(context, share):
    held = [lease.holder for lease in context.site.leases()]
    assert len(held) == len(context.site.declared.pools) and None not in held
    assert max(held.count(name) for name in held) <= share, held
