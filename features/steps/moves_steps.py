"""Drive the policies for moves on a clock of their own, and race givers over rows."""

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
HOLDS_FACTOR = 3.5
MEAN_PER_S = 8 * WORKER_PER_S / HOLDS_FACTOR


@behave.given("pools a, b and a spare of 8 workers each at {user}'s costs")
def make_pools(context, user):
    move_cost, idle_cost = COSTS[user]
    terms = {
        name: moves.Terms(
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
    context.policy = moves.POLICIES["chosen"](terms)
    context.made = []


def drive(context, hours, factor_of):
    serving = dict.fromkeys(("a", "b", "spare"), 8)
    underway = []
    for step in range(int(hours * 3600 / STEP_S)):
        now_s = step * STEP_S
        for due_s, pool in [one for one in underway if one[0] <= now_s]:
            serving[pool] += 1
            underway.remove((due_s, pool))
        coming = [pool for _, pool in underway]
        state = {
            name: moves.PoolState(
                count,
                coming.count(name),
                demand.Sample(factor_of(name, now_s) * MEAN_PER_S * STEP_S, STEP_S),
            )
            for name, count in serving.items()
        }
        for shift in context.policy.decide(state, now_s):
            serving[shift.from_pool] -= shift.count
            underway.append((now_s + MOVE_S, shift.to_pool))
            context.made.append((now_s, shift))
            assert shift.reason


@behave.when(
    "pool a is asked {peak:g} times its mean for {burst:g} s in every {cycle:g} s over {hours:g} h"
)
def ask_bursts(context, peak, burst, cycle, hours):
    drive(
        context,
        hours,
        lambda name, now_s: peak if name == "a" and now_s % cycle < burst else 0.05,
    )


@behave.when("long bursts swap between a and b every {swap:g} s over {hours:g} h")
def ask_swapping(context, swap, hours):
    def factor(name, now_s):
        turn = "ab"[int(now_s / swap) % 2]
        return 5.0 if name == turn and now_s % 100 < 50 else 0.05

    drive(context, hours, factor)


@behave.then("the policy made {count} moves")
def check_moves(context, count):
    assert bool(context.made) == (count == "some"), context.made


@behave.then("no pool gave a worker and took one within {quiet:g} s")
def check_quiet(context, quiet):
    for at_s, shift in context.made:
        after = [other for other_s, other in context.made if at_s < other_s < at_s + quiet]
        assert all(other.to_pool != shift.from_pool for other in after), context.made
        assert all(other.from_pool != shift.to_pool for other in after), context.made


@behave.given("two givers that decided on the same rows to send a worker to one pool")
def make_givers(context):
    records = fleet.records_of(["a", "b"], 4)
    context.rows = store.Store()
    rows = {record.worker: hosts.enrolled(record, 0.0) for record in records}
    context.rows.commit(platform.Transaction(writes=tuple(map(hosts.write, rows.values()))))
    view = drains.View(
        declared=fleet.declare(["a", "b"], 4, 0.0),
        budget_of={n: budgets.Budget(budgets.BudgetRow(service=n), 0) for n in ("a", "b")},
        host_of={w: hosts.Host(row, 1) for w, row in rows.items()},
        minions=fleet.fleet_of(records).minions,
    )
    context.transactions = []
    for pool in ("a", "b"):
        lease = leases.LeaseRow(pool=pool, holder="e", incarnation="i", epoch=1)
        granted = drains.grant(
            view, leases.Held(lease, 0), f"{pool}-w0", hosts.Purpose.MOVE, to_pool="c"
        )
        context.transactions.append(granted.transaction)


@behave.when("both transactions are committed")
def commit_both(context):
    context.committed = [context.rows.commit(one) for one in context.transactions]


@behave.then("one worker goes and the other giver met the receiver's row")
def check_givers(context):
    first, second = context.committed
    assert first.ok and not second.ok
    assert [row.key for row in second.rows] == [moves.key("c")], second


@behave.given("three pools of 4 workers held by three entries, and pool c lacks one worker")
def make_three(context):
    records = fleet.records_of(["a", "b", "c"], 4)
    declared = fleet.declare(["a", "b", "c"], 4, 0.0)
    context.site = fleet.Site(declared, records, fleet.fleet_of(records), plan_for_c)
    for record in records:
        row = hosts.enrolled(record, 0.0)
        context.site.store.commit(platform.Transaction(writes=(hosts.write(row),)))


def plan_for_c(view, pool):
    rows = [host.row for host in view.host_of.values()]
    having = sum("c" in (row.pool, row.to_pool) for row in rows)
    mine = sorted(row.worker for row in rows if row.pool == pool and not hosts.is_away(row))
    return [moves.Transfer(mine[0], "c")] if pool != "c" and having < 5 and mine else []


@behave.when("the entries run with random faults at {percent:d} % of their calls")
def run_givers(context, percent):
    names = ["entry-0", "entry-1", "entry-2"]
    for name in names:
        gate = fleet.RandomGate(random.Random(context.rng.random()), percent / 100)
        context.site.add(name, names, gate)

    async def work():
        context.site.start()
        for _ in range(300):
            await asyncio.sleep(1.0)
            rows = context.site.rows().values()
            if sum(row.pool == "c" and not hosts.is_away(row) for row in rows) == 5:
                break
        await asyncio.sleep(20.0)
        await context.site.stop()

    clock.run(work())


@behave.then("pool c got exactly one worker and each worker is in one pool")
def check_three(context):
    rows = context.site.rows()
    assert sum(row.pool == "c" for row in rows.values()) == 5, rows
    assert len(rows) == 12 and not context.site.wrong, context.site.wrong[:1]


@behave.given("a policy that an extension registers")
def register_policy(context):
    @moves.register("extension")
    class Extension:
        def __init__(self, terms):
            self.terms = terms

        def decide(self, state, now_s):
            return []

    context.extension = Extension


@behave.then("it is made by its name as the built-in ones are")
def check_policy(context):
    assert isinstance(moves.POLICIES.pop("extension")({}), context.extension)
    assert {"chosen", "fixed_buffer", "threshold"} <= moves.POLICIES.keys()


class Sent(list):
    """Keep what a planner sends to its peers."""

    def broadcast(self, report):
        self.append(report)


@behave.given("an entry's slots whose service took {known_s:g} s a request until now")
def make_planner(context, known_s):
    context.known_s = known_s
    context.sent = Sent()


@behave.when(
    "{whole:d} requests are answered in {whole_s:g} s and {failed:d} fail after {failed_s:g} s"
)
def end_requests(context, whole, whole_s, failed, failed_s):
    service = overload_steps.SERVICE

    async def play():
        owner = overload_steps.make_slots(16, 8, [service], context.rng)
        context.planner = planner.Planner(ids.EntryId("e"), context.sent, owner)
        context.planner.take(
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
            one = overload_steps.make_ticket(f"r{number}", "normal", 60.0)
            grant = await owner.acquire(service, one)
            owner.release(service, grant.minion.minion, **end)
        await asyncio.sleep(planner.INTERVAL_S + 0.1)
        task.cancel()
        context.ended = whole, failed

    clock.run(play())


@behave.then("the entry reports them all, and a request is taken to keep a slot for {slot_s:g} s")
def check_slot_time(context, slot_s):
    (report,) = context.sent
    service = overload_steps.SERVICE
    whole, failed = context.ended
    assert report.requests[service] == whole + failed, report
    found = demand.slot_time_s(report, service, context.known_s)
    assert abs(found - slot_s) < 1e-9, (found, report)
    context.planner._sum_reports(0.0)
    learned_s = context.planner._service_time_s[service]
    expected_s = context.known_s + planner._TIME_WEIGHT * (slot_s - context.known_s)
    assert abs(learned_s - expected_s) < 1e-9, (learned_s, expected_s)
