"""Steps that simulate the policies for moves, and moves that are committed concurrently."""

import asyncio
import random

import behave
from nutmegshelf import (
    budgets,
    declarations,
    demand,
    drains,
    hosts,
    ids,
    leases,
    messages,
    moves,
    platform,
)
from nutmegshelf_entry import planner
from nutmegshelf_standins import clock, store

from features import fleet
from features.steps import overload_steps

COSTS = {"dorna": (40.0, 1.0), "costa_viva": (10.0, 4.0)}
STEP_S = 5.0
MOVE_S = 70.0
WORKER_PER_S = 160.0
CAPACITY_FACTOR = 3.5
MEAN_PER_S = 8 * WORKER_PER_S / CAPACITY_FACTOR


@behave.given("pools a, b and a spare of 8 workers each at {user}'s costs")
def make_pools(context, user):
    move_cost, idle_cost = COSTS[user]
    parameters = {
        name: moves.PoolParameters(
            declarations.Pool(
                wanted_workers=8,
                worker_cores=64,
                worker_memory_gb=128,
                spare=name == "spare",
                move_cost=move_cost,
                idle_worker_hour_cost=idle_cost,
            ),
            WORKER_PER_S,
            10.0,
        )
        for name in ("a", "b", "spare")
    }
    context.policy = moves.POLICIES["chosen"](parameters)
    context.made = []


def simulate(context, hours, factor_of):
    serving = dict.fromkeys(("a", "b", "spare"), 8)
    underway = []
    for step in range(int(hours * 3600 / STEP_S)):
        now_s = step * STEP_S
        for due_s, pool in [arrival for arrival in underway if arrival[0] <= now_s]:
            serving[pool] += 1
            underway.remove((due_s, pool))
        incoming = [pool for _, pool in underway]
        states = {
            name: moves.PoolState(
                count,
                incoming.count(name),
                demand.Sample(factor_of(name, now_s) * MEAN_PER_S * STEP_S, STEP_S),
            )
            for name, count in serving.items()
        }
        for move in context.policy.decide(states, now_s):
            serving[move.from_pool] -= move.count
            underway.append((now_s + MOVE_S, move.to_pool))
            context.made.append((now_s, move))
            assert move.reason


@behave.when(
    "pool a gets {peak:g} times its mean demand for {burst:g} s "
    "in every {cycle:g} s over {hours:g} h"
)
def simulate_bursts(context, peak, burst, cycle, hours):
    simulate(
        context,
        hours,
        lambda name, now_s: peak if name == "a" and now_s % cycle < burst else 0.05,
    )


@behave.when("long bursts alternate between a and b every {swap:g} s over {hours:g} h")
def simulate_alternating(context, swap, hours):
    def factor(name, now_s):
        busy = "ab"[int(now_s / swap) % 2]
        return 5.0 if name == busy and now_s % 100 < 50 else 0.05

    simulate(context, hours, factor)


@behave.then("the policy made {count} moves")
def check_moves(context, count):
    assert bool(context.made) == (count == "some"), context.made


@behave.then("no pool sent a worker and received one within {quiet:g} s")
def check_quiet(context, quiet):
    for at_s, move in context.made:
        later = [other for other_s, other in context.made if at_s < other_s < at_s + quiet]
        assert all(other.to_pool != move.from_pool for other in later), context.made
        assert all(other.from_pool != move.to_pool for other in later), context.made


@behave.given("two pools that decided on the same rows to send a worker to a third one")
def make_concurrent_moves(context):
    records = fleet.make_records(["a", "b"], 4)
    context.rows = store.Store()
    rows = {record.worker: hosts.enroll(record, 0.0) for record in records}
    context.rows.commit(platform.Transaction(writes=tuple(map(hosts.encode, rows.values()))))
    snapshot = drains.Snapshot(
        declared=fleet.declare(["a", "b"], 4, 0.0),
        budgets_by_service={n: budgets.Budget(budgets.BudgetRow(service=n), 0) for n in ("a", "b")},
        hosts_by_worker={w: hosts.Host(row, 1) for w, row in rows.items()},
        minions=fleet.make_fleet_list(records).minions,
    )
    context.transactions = []
    for pool in ("a", "b"):
        lease = leases.LeaseRow(pool=pool, holder="e", incarnation="i", epoch=1)
        granted = drains.grant(
            snapshot, leases.HeldLease(lease, 0), f"{pool}-w0", hosts.Purpose.MOVE, to_pool="c"
        )
        context.transactions.append(granted.transaction)


@behave.when("both transactions are committed")
def commit_both(context):
    context.committed = [context.rows.commit(transaction) for transaction in context.transactions]


@behave.then("one is committed and the other conflicts on the receiver's row")
def check_conflict(context):
    first, second = context.committed
    assert first.ok and not second.ok
    assert [row.key for row in second.rows] == [moves.key("c")], second


@behave.given("three pools of 4 workers held by three entries, and pool c lacks one worker")
def make_three(context):
    records = fleet.make_records(["a", "b", "c"], 4)
    declared = fleet.declare(["a", "b", "c"], 4, 0.0)
    context.site = fleet.Site(declared, records, fleet.make_fleet_list(records), plan_for_c)
    for record in records:
        row = hosts.enroll(record, 0.0)
        context.site.store.commit(platform.Transaction(writes=(hosts.encode(row),)))


def plan_for_c(snapshot, pool):
    rows = [host.row for host in snapshot.hosts_by_worker.values()]
    assigned_to_c = sum("c" in (row.pool, row.to_pool) for row in rows)
    serving = sorted(
        row.worker for row in rows if row.pool == pool and not hosts.is_out_of_service(row)
    )
    return (
        [moves.WorkerMove(serving[0], "c")] if pool != "c" and assigned_to_c < 5 and serving else []
    )


@behave.when("the entries run with random faults at {percent:d} % of their calls")
def run_entries(context, percent):
    names = ["entry-0", "entry-1", "entry-2"]
    for name in names:
        injector = fleet.RandomFaultInjector(random.Random(context.rng.random()), percent / 100)
        context.site.add(name, names, injector)

    async def work():
        context.site.start()
        for _ in range(300):
            await asyncio.sleep(1.0)
            rows = context.site.rows().values()
            if sum(row.pool == "c" and not hosts.is_out_of_service(row) for row in rows) == 5:
                break
        await asyncio.sleep(20.0)
        await context.site.stop()

    clock.run(work())


class OneFaultInjector:
    """Injector of a fault at the next call after it was set."""

    def __init__(self):
        self.fault = None
        self.calls = 0

    def next_fault(self):
        self.calls += 1
        fault, self.fault = self.fault, None
        return fault


@behave.given(
    "two pools of 4 workers held by an entry, and a move of one worker to pool c is planned once"
)
def make_two(context):
    records = fleet.make_records(["a", "c"], 4)
    declared = fleet.declare(["a", "c"], 4, 0.0)
    context.injector = OneFaultInjector()
    planned = [moves.WorkerMove(ids.WorkerId("a-w0"), "c")]

    def plan_once(snapshot, pool):
        if pool != "a" or not planned:
            return []
        context.injector.fault = context.fault
        return [planned.pop()]

    fleet_list = fleet.make_fleet_list(records)
    context.site = fleet.Site(declared, records, fleet_list, plan_once)
    for record in records:
        row = hosts.enroll(record, 0.0)
        context.site.store.commit(platform.Transaction(writes=(hosts.encode(row),)))


@behave.when('the fault "{fault}" occurs in the transaction of the move')
def run_with_fault(context, fault):
    context.fault = fault
    context.site.add("entry-0", ["entry-0"], context.injector)

    async def work():
        context.site.start()
        await asyncio.sleep(60.0)
        await context.site.stop()

    clock.run(work())


@behave.then("pool c got exactly one worker and each worker is in one pool")
def check_three(context):
    check_assigned(context, 12)


@behave.then("pool c got exactly one worker and each of {count:d} workers is in one pool")
def check_assigned(context, count):
    rows = context.site.rows()
    assert sum(row.pool == "c" for row in rows.values()) == 5, rows
    assert len(rows) == count and not context.site.violations, context.site.violations[:1]


@behave.given("a policy that an extension registers")
def register_policy(context):
    @moves.register("extension")
    class Extension:
        def __init__(self, terms):
            self.terms = terms

        def decide(self, state, now_s):
            return []

    context.extension = Extension


@behave.then("it is created by its name like the built-in ones")
def check_policy(context):
    assert isinstance(moves.POLICIES.pop("extension")({}), context.extension)
    assert {"chosen", "fixed_buffer", "threshold"} <= moves.POLICIES.keys()


class SentReports(list):
    """Reports that a planner sends to its peers."""

    def broadcast(self, report):
        self.append(report)


@behave.given("an entry with slots for a service that has taken {known_s:g} s a request")
def make_planner(context, known_s):
    context.known_s = known_s
    context.sent = SentReports()


@behave.when(
    "{whole:d} requests are answered in {whole_s:g} s and {failed:d} fail after {failed_s:g} s"
)
def end_requests(context, whole, whole_s, failed, failed_s):
    service = overload_steps.SERVICE

    async def play():
        owner = overload_steps.make_slots(16, 8, [service], context.rng)
        context.planner = planner.MovePlanner(ids.EntryId("e"), context.sent, owner)
        context.planner.record_report(
            messages.DemandReport(
                sender=ids.EntryId("old"),
                interval_s=5.0,
                served={service: 1},
                busy_s={service: context.known_s},
            )
        )
        context.planner._sum_reports(0.0)
        context.planner._reports.clear()
        task = asyncio.create_task(context.planner.run())
        ends = [{"service_time_s": whole_s}] * whole + [{"failed_s": failed_s}] * failed
        for number, end in enumerate(ends):
            ticket = overload_steps.make_ticket(f"r{number}", "normal", 60.0)
            grant = await owner.acquire(service, ticket)
            owner.release(service, grant.minion.minion, **end)
        await asyncio.sleep(planner.REPORT_INTERVAL_S + 0.1)
        task.cancel()
        context.ended = whole, failed

    clock.run(play())


@behave.then(
    "the entry reports them all and estimates that a request keeps a slot busy for {slot_s:g} s"
)
def check_slot_time(context, slot_s):
    (report,) = context.sent
    service = overload_steps.SERVICE
    whole, failed = context.ended
    assert report.requests[service] == whole + failed, report
    mean_s = demand.get_mean_slot_time_s(report, service, context.known_s)
    assert abs(mean_s - slot_s) < 1e-9, (mean_s, report)
    context.planner._sum_reports(0.0)
    learned_s = context.planner._service_time_s[service]
    expected_s = context.known_s + planner._SMOOTHING_FACTOR * (slot_s - context.known_s)
    assert abs(learned_s - expected_s) < 1e-9, (learned_s, expected_s)
