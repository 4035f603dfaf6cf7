"""Decide drains on rows and lists made for one service, and run waves over a pool."""

import asyncio

import behave
import msgspec
from nutmegshelf import (
    budgets,
    codecs,
    decisions,
    declarations,
    drains,
    hosts,
    leases,
    maintenance,
    platform,
    workers,
)
from nutmegshelf_standins import clock, store

from features import fleet

DAY_S = maintenance.DAY_S


@behave.given(
    "a service of {minions:d} minions over {racks:d} racks of {zones:d} zones that needs {need:g}"
)
def make_service(context, minions, racks, zones, need):
    context.declared = fleet.declare(["a"], minions, need)
    context.records = [
        workers.WorkerRecord(
            worker=f"a-w{number}",
            zone=f"z{number % racks % zones}",
            rack=f"r{number % racks}",
            pool="a",
        )
        for number in range(minions)
    ]
    context.rows = {r.worker: hosts.Host(hosts.enroll(r, 0.0), 1) for r in context.records}
    context.minions = list(fleet.fleet_of(context.records).minions)
    context.budget = budgets.Budget(budgets.BudgetRow(service="a"), 0)
    context.down, context.suspects = set(), set()


@behave.given(
    "{failed:d} failed, {suspect:d} suspect, {draining:d} draining, "
    "{moved:d} moved away, {leaving:d} leaving"
)
def take_away(context, failed, suspect, draining, moved, leaving):
    names = iter([record.worker for record in context.records][::-1])
    context.down = {next(names) for _ in range(failed)}
    context.suspects = {f"m-{next(names)}" for _ in range(suspect)}
    away = tuple(next(names) for _ in range(draining))
    context.budget = budgets.Budget(budgets.BudgetRow(service="a", draining=away), 0)
    for worker in [next(names) for _ in range(moved)]:
        row = msgspec.structs.replace(context.rows[worker].row, pool="b")
        context.rows[worker] = hosts.Host(row, 1)
    gone = {f"m-{next(names)}" for _ in range(leaving)}
    context.minions = [
        (
            msgspec.structs.replace(minion, state=platform.HostState.LEAVING)
            if minion.minion in gone
            else minion
        )
        for minion in context.minions
    ]


@behave.given("the minions of {count:d} racks of one zone failed")
def fail_racks(context, count):
    zone = [record for record in context.records if record.zone == "z0"]
    context.down = {record.worker for record in zone[-count:]}


@behave.given(
    "{count:d} workers of the next zone drain and are listed so, and {more:d} more of it failed"
)
def drain_zone(context, count, more):
    zone = [record.worker for record in context.records if record.zone == "z1"]
    context.drained = zone[:count]
    for worker in context.drained:
        row = hosts.start_drain(context.rows[worker].row, held().lease, hosts.Purpose.MAINTENANCE)
        context.rows[worker] = hosts.Host(row, 2)
    row = budgets.BudgetRow(service="a", draining=tuple(context.drained))
    context.budget = budgets.Budget(row, 1)
    # The platform lists a drained worker as not ready, just as one that failed.
    context.down |= set(zone[: count + more])


@behave.then("{available:d} are counted as available and the drains are {fate}")
def check_drained(context, available, fate):
    assert view_of(context).get_budget_status("a").available == available, view_of(
        context
    ).get_budget_status("a")
    for worker in context.drained:
        assert drains.should_cancel(view_of(context), worker) == (fate == "called back"), worker


def view_of(context):
    return drains.Snapshot(
        declared=context.declared,
        budgets_by_service={"a": context.budget},
        hosts_by_worker=dict(context.rows),
        minions=tuple(context.minions),
        suspects=frozenset(context.suspects),
        failed_workers=frozenset(context.down),
    )


def held():
    lease = leases.LeaseRow(pool="a", holder="e", incarnation="i", epoch=1)
    return leases.HeldLease(lease, 0)


def ask(context, worker="a-w0"):
    return drains.grant(view_of(context), held(), worker, hosts.Purpose.MAINTENANCE)


@behave.then("a drain is {answer}")
def check_answer(context, answer):
    worker = next(r.worker for r in context.records if r.zone != "z0" or r.worker == "a-w0")
    found = ask(context, worker)
    assert isinstance(found, drains.Granted) == (answer == "granted"), str(found)


@behave.then("the whole zone is counted as away")
def check_zone(context):
    in_zone = sum(record.zone == "z0" for record in context.records)
    found = view_of(context).get_budget_status("a")
    assert found.available == len(context.records) - in_zone, found


@behave.when("two drains that were decided on the same rows are committed")
def race(context):
    rows = store.Store()
    first, second = ask(context, "a-w0"), ask(context, "a-w1")
    # The hosts' rows exist; neither racer's lease row is in the way of the other's.
    for host in context.rows.values():
        rows.rows[hosts.key(host.row.worker)] = platform.Row(
            hosts.key(host.row.worker), 1, codecs.pack(host.row)
        )
    own = leases.key("a")
    stripped = [
        msgspec.structs.replace(
            granted.transaction,
            conditions=tuple(c for c in granted.transaction.conditions if c.key != own),
        )
        for granted in (first, second)
    ]
    context.committed = [rows.commit(transaction) for transaction in stripped]


@behave.then("one committed and the other met a changed budget row")
def check_race(context):
    first, second = context.committed
    assert first.ok and not second.ok, context.committed
    assert [row.key for row in second.rows] == [budgets.key("a")], second


@behave.given(
    "a pool of {count:d} workers over {zones:d} zones with a budget of {need:g}, "
    "all due for maintenance"
)
def make_pool(context, count, zones, need):
    declared = fleet.declare(["a"], count, need, at_most_at_once=2)
    context.records = fleet.records_of(["a"], count, zones)
    context.site = fleet.Site(declared, context.records, fleet.fleet_of(context.records))
    context.order = list(range(count))
    context.rng.shuffle(context.order)
    for record, age in zip(context.records, context.order, strict=True):
        row = hosts.enroll(record, -(28 + 2 * age) * DAY_S)
        context.site.store.commit(platform.Transaction(writes=(hosts.encode(row),)))
    context.site.add("entry-0", ["entry-0"])


@behave.given("the workers of the zone that will be taken back are the {rank} maintained")
def order_zone(context, rank):
    zone = [n for n, record in enumerate(context.records) if record.zone == "z0"]
    others = [n for n in range(len(context.records)) if n not in zone]
    for n, age in zip(zone + others if rank == "last" else others + zone, range(99), strict=False):
        context.order[n] = age
        row = hosts.enroll(context.records[n], -(28 + 2 * age) * DAY_S)
        context.site.store.commit(platform.Transaction(writes=(hosts.encode(row),)))


@behave.when("the platform takes a zone back at second {second:g} for {seconds:g} s")
def wave(context, second, seconds):
    site = context.site

    async def work():
        site.start()
        await asyncio.sleep(second)
        taken = [record for record in context.records if record.zone == "z0"]
        for record in taken:
            site.workforce.withdraw(record.worker)
        context.hit_s = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
        for record in taken:
            site.workforce.give_back(record.worker)
        context.back_s = asyncio.get_running_loop().time()
        for _ in range(120):
            await asyncio.sleep(1.0)
        await site.stop()

    clock.run(work())


@behave.then("no drain was granted while the budget with a rack lost did not hold")
def check_wave(context):
    # Of 12 workers 8 are left, which is 6 and a rack of one: one more may drain, but not two.
    site = context.site
    told = site.decisions["entry-0"]
    seen_s = context.hit_s + 1.5
    granted = [grant for grant in site.grants if seen_s < grant.at_s < context.back_s]
    assert granted and min(grant.left for grant in granted) >= 7, granted
    # Two that drain since before the wave are let go on, as the budget itself holds with 6 left.
    early = {grant.worker for grant in site.grants if grant.at_s <= seen_s}
    for sample in site.up:
        if seen_s < sample.at_s < context.back_s:
            least = min(7, 8 - len(sample.draining & (early - granted_by(granted, sample.at_s))))
            assert sample.up >= least, (least, sample, site.grants)
    assert any(d.action is decisions.Action.WITHDRAWN for d in told), told


def granted_by(granted, until_s):
    return {grant.worker for grant in granted if grant.at_s <= until_s}


@behave.then("all workers were maintained in the end, oldest first")
def check_maintained(context):
    rows = context.site.rows()
    assert all(row.step is hosts.HostStep.SERVING for row in rows.values()), rows
    assert all(row.maintained_at_s > 0 for row in rows.values()), rows
    told = context.site.decisions["entry-0"]
    drained = [d.name for d in told if d.action is decisions.Action.DRAIN]
    ages = dict(zip((r.worker for r in context.records), context.order, strict=True))
    calm = [name for name in drained if not ages_in_zone(context, name)]
    assert [ages[name] for name in calm] == sorted((ages[n] for n in calm), reverse=True), calm


def ages_in_zone(context, name):
    return next(record.zone for record in context.records if record.worker == name) == "z0"


@behave.given(
    "its workers were maintained {days:g} days ago with a turn of {turn_h:g} h "
    "and {at_once:d} at once"
)
def set_maintained(context, days, turn_h, at_once):
    rule = declarations.Maintenance(pool="a", every_days=28, at_most_at_once=at_once)
    context.forecast = maintenance.forecast(view_of(context), rule, turn_h * 3600, days * DAY_S)


@behave.then('the plan {verdict} and names "{reason}"')
def check_forecast(context, verdict, reason):
    assert context.forecast.is_met == (verdict == "meets"), context.forecast
    assert reason in context.forecast.reason, context.forecast


@behave.then("the drain is {fate}")
def check_fate(context, fate):
    (worker,) = context.budget.row.draining
    row = hosts.start_drain(context.rows[worker].row, held().lease, hosts.Purpose.MAINTENANCE)
    context.rows[worker] = hosts.Host(row, 2)
    recall = drains.should_cancel(view_of(context), worker)
    following = hosts.next_row(row, held().lease, recall, 7.0)
    assert recall == (fate == "called back")
    served = hosts.next_row(following, held().lease, False, 9.0)
    # A worker that was called back was not maintained.
    assert (served.maintained_at_s == 9.0) == (not recall), served


@behave.when("the platform lists the first worker no more for {hours:g} h and then for {more:g} h")
def unlist(context, hours, more):
    site = context.site

    async def work():
        site.start()
        await asyncio.sleep(5.0)
        site.workforce.enlist([r for r in context.records if r.worker != "a-w0"])
        await asyncio.sleep(hours * 3600.0)
        context.kept = site.rows()["a-w0"]
        await asyncio.sleep(more * 3600.0)
        await site.stop()

    clock.run(work())


@behave.then("the first worker's row was first kept as withdrawn")
def check_withdrawn(context):
    assert context.kept.step is hosts.HostStep.WITHDRAWN


@behave.then("the first worker's row and its debits are gone")
def check_forgotten(context):
    assert "a-w0" not in context.site.rows() and len(context.site.rows()) == 11
    row = context.site.store.read(budgets.key("a"))
    assert "a-w0" not in codecs.unpack(row.value, budgets.BudgetRow).draining


@behave.given('workers "{days}" with days since maintenance and {away} away for it')
def make_aged(context, days, away):
    context.now_s = 100 * DAY_S
    context.aged = []
    for text in days.split():
        worker, rack, age = text.split(":")
        row = hosts.HostRow(
            worker=worker,
            pool="a",
            zone=rack,
            rack=rack,
            maintained_at_s=context.now_s - int(age) * DAY_S,
        )
        if worker == away:
            row = hosts.start_drain(row, held().lease, hosts.Purpose.MAINTENANCE)
        context.aged.append(row)


@behave.then('maintenance with 2 at once takes "{chosen}"')
@behave.then('maintenance with 2 at once takes ""')
def check_taken(context, chosen=""):
    rule = declarations.Maintenance(pool="a", at_most_at_once=2)
    found = maintenance.select_due(rule, context.aged, context.now_s)
    assert ",".join(row.worker for row in found) == chosen, found
