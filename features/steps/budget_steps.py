"""Steps for drains of one service's workers and for zone withdrawals during maintenance."""

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
    context.minions = list(fleet.make_fleet_list(context.records).minions)
    context.budget = budgets.Budget(budgets.BudgetRow(service="a"), 0)
    context.down, context.suspects = set(), set()


@behave.given(
    "{failed:d} failed, {suspect:d} suspect, {draining:d} draining, "
    "{moved:d} moved away, {leaving:d} leaving"
)
def make_unavailable(context, failed, suspect, draining, moved, leaving):
    names = iter([record.worker for record in context.records][::-1])
    context.down = {next(names) for _ in range(failed)}
    context.suspects = {f"m-{next(names)}" for _ in range(suspect)}
    draining_workers = tuple(next(names) for _ in range(draining))
    context.budget = budgets.Budget(budgets.BudgetRow(service="a", draining=draining_workers), 0)
    for worker in [next(names) for _ in range(moved)]:
        row = msgspec.structs.replace(context.rows[worker].row, pool="b")
        context.rows[worker] = hosts.Host(row, 1)
    leaving_minions = {f"m-{next(names)}" for _ in range(leaving)}
    context.minions = [
        (
            msgspec.structs.replace(minion, state=platform.HostState.LEAVING)
            if minion.minion in leaving_minions
            else minion
        )
        for minion in context.minions
    ]


@behave.given("the minions of {count:d} racks of one zone failed")
def fail_racks(context, count):
    zone = [record for record in context.records if record.zone == "z0"]
    context.down = {record.worker for record in zone[-count:]}


@behave.given(
    "{count:d} workers of the next zone drain and are listed as not ready, "
    "and {more:d} more of it failed"
)
def drain_zone(context, count, more):
    zone = [record.worker for record in context.records if record.zone == "z1"]
    context.drained = zone[:count]
    for worker in context.drained:
        row = hosts.start_drain(
            context.rows[worker].row, make_held_lease().lease, hosts.Purpose.MAINTENANCE
        )
        context.rows[worker] = hosts.Host(row, 2)
    row = budgets.BudgetRow(service="a", draining=tuple(context.drained))
    context.budget = budgets.Budget(row, 1)
    # The platform lists a drained worker as not ready, just as one that failed.
    context.down |= set(zone[: count + more])


@behave.then("{available:d} are counted as available and the drains are {outcome}")
def check_drained(context, available, outcome):
    assert make_snapshot(context).get_budget_status("a").available == available, make_snapshot(
        context
    ).get_budget_status("a")
    for worker in context.drained:
        assert drains.should_cancel(make_snapshot(context), worker) == (
            outcome == "cancelled"
        ), worker


def make_snapshot(context):
    return drains.Snapshot(
        declared=context.declared,
        budgets_by_service={"a": context.budget},
        hosts_by_worker=dict(context.rows),
        minions=tuple(context.minions),
        suspects=frozenset(context.suspects),
        failed_workers=frozenset(context.down),
    )


def make_held_lease():
    lease = leases.LeaseRow(pool="a", holder="e", incarnation="i", epoch=1)
    return leases.HeldLease(lease, 0)


def request_drain(context, worker="a-w0"):
    return drains.grant(
        make_snapshot(context), make_held_lease(), worker, hosts.Purpose.MAINTENANCE
    )


@behave.then("a drain is {answer}")
def check_answer(context, answer):
    worker = next(r.worker for r in context.records if r.zone != "z0" or r.worker == "a-w0")
    result = request_drain(context, worker)
    assert isinstance(result, drains.Granted) == (answer == "granted"), str(result)


@behave.then("the whole zone is counted as unavailable")
def check_zone(context):
    in_zone = sum(record.zone == "z0" for record in context.records)
    status = make_snapshot(context).get_budget_status("a")
    assert status.available == len(context.records) - in_zone, status


@behave.when("two drains that were decided on the same rows are committed")
def commit_concurrently(context):
    rows = store.Store()
    first, second = request_drain(context, "a-w0"), request_drain(context, "a-w1")
    # The workers' rows exist. The conditions on the lease are dropped, so that only the budget's
    # row can conflict.
    for host in context.rows.values():
        rows.rows[hosts.key(host.row.worker)] = platform.Row(
            hosts.key(host.row.worker), 1, codecs.pack(host.row)
        )
    lease_key = leases.key("a")
    transactions = [
        msgspec.structs.replace(
            granted.transaction,
            conditions=tuple(c for c in granted.transaction.conditions if c.key != lease_key),
        )
        for granted in (first, second)
    ]
    context.committed = [rows.commit(transaction) for transaction in transactions]


@behave.then("one is committed and the other conflicts on the budget row")
def check_conflict(context):
    first, second = context.committed
    assert first.ok and not second.ok, context.committed
    assert [row.key for row in second.rows] == [budgets.key("a")], second


@behave.given(
    "a pool of {count:d} workers over {zones:d} zones with a budget of {need:g}, "
    "all due for maintenance"
)
def make_pool(context, count, zones, need):
    declared = fleet.declare(["a"], count, need, at_most_at_once=2)
    context.records = fleet.make_records(["a"], count, zones)
    context.site = fleet.Site(declared, context.records, fleet.make_fleet_list(context.records))
    context.order = list(range(count))
    context.rng.shuffle(context.order)
    for record, age in zip(context.records, context.order, strict=True):
        row = hosts.enroll(record, -(28 + 2 * age) * DAY_S)
        context.site.store.commit(platform.Transaction(writes=(hosts.encode(row),)))
    context.site.add("entry-0", ["entry-0"])


@behave.given("the workers of the zone that will be withdrawn are the {rank} maintained")
def order_zone(context, rank):
    zone = [n for n, record in enumerate(context.records) if record.zone == "z0"]
    others = [n for n in range(len(context.records)) if n not in zone]
    for n, age in zip(zone + others if rank == "last" else others + zone, range(99), strict=False):
        context.order[n] = age
        row = hosts.enroll(context.records[n], -(28 + 2 * age) * DAY_S)
        context.site.store.commit(platform.Transaction(writes=(hosts.encode(row),)))


@behave.when("the platform withdraws a zone at second {second:g} for {seconds:g} s")
def withdraw_zone(context, second, seconds):
    site = context.site

    async def work():
        site.start()
        await asyncio.sleep(second)
        withdrawn = [record for record in context.records if record.zone == "z0"]
        for record in withdrawn:
            site.workforce.withdraw(record.worker)
        context.withdrawn_s = asyncio.get_running_loop().time()
        await asyncio.sleep(seconds)
        for record in withdrawn:
            site.workforce.restore(record.worker)
        context.restored_s = asyncio.get_running_loop().time()
        for _ in range(120):
            await asyncio.sleep(1.0)
        await site.stop()

    clock.run(work())


@behave.then("no drain was granted while the budget with a rack lost did not hold")
def check_wave(context):
    # After the withdrawal 8 of 12 workers remain. The budget requires 6, and one more rack of one
    # worker may be lost, so one further worker may drain, but not two.
    site = context.site
    entry_decisions = site.decisions["entry-0"]
    noticed_s = context.withdrawn_s + 1.5
    granted = [grant for grant in site.grants if noticed_s < grant.at_s < context.restored_s]
    assert granted and min(grant.remaining for grant in granted) >= 7, granted
    # Up to two drains granted before the withdrawal may go on, as 6 workers still meet the budget.
    early = {grant.worker for grant in site.grants if grant.at_s <= noticed_s}
    for sample in site.samples:
        if noticed_s < sample.at_s < context.restored_s:
            least = min(7, 8 - len(sample.draining & (early - granted_by(granted, sample.at_s))))
            assert sample.up >= least, (least, sample, site.grants)
    assert any(d.action is decisions.Action.WITHDRAWN for d in entry_decisions), entry_decisions


def granted_by(granted, until_s):
    return {grant.worker for grant in granted if grant.at_s <= until_s}


@behave.then("all workers were maintained in the end, oldest first")
def check_maintained(context):
    rows = context.site.rows()
    assert all(row.step is hosts.HostStep.SERVING for row in rows.values()), rows
    assert all(row.maintained_at_s > 0 for row in rows.values()), rows
    entry_decisions = context.site.decisions["entry-0"]
    drained = [d.name for d in entry_decisions if d.action is decisions.Action.DRAIN]
    ages = dict(zip((r.worker for r in context.records), context.order, strict=True))
    # The order of the withdrawn zone's workers is not checked.
    others = [name for name in drained if not is_in_withdrawn_zone(context, name)]
    assert [ages[name] for name in others] == sorted(
        (ages[n] for n in others), reverse=True
    ), others


def is_in_withdrawn_zone(context, name):
    return next(record.zone for record in context.records if record.worker == name) == "z0"


@behave.given(
    "its workers were maintained {days:g} days ago, take {duration_h:g} h each "
    "and {at_once:d} may go at once"
)
def set_maintained(context, days, duration_h, at_once):
    rule = declarations.Maintenance(pool="a", every_days=28, at_most_at_once=at_once)
    context.forecast = maintenance.forecast(
        make_snapshot(context), rule, duration_h * 3600, days * DAY_S
    )


@behave.then('the forecast {verdict} the period and names "{reason}"')
def check_forecast(context, verdict, reason):
    assert context.forecast.is_met == (verdict == "meets"), context.forecast
    assert reason in context.forecast.reason, context.forecast


@behave.then("the drain is {outcome}")
def check_outcome(context, outcome):
    (worker,) = context.budget.row.draining
    row = hosts.start_drain(
        context.rows[worker].row, make_held_lease().lease, hosts.Purpose.MAINTENANCE
    )
    context.rows[worker] = hosts.Host(row, 2)
    is_cancelled = drains.should_cancel(make_snapshot(context), worker)
    following = hosts.next_row(row, make_held_lease().lease, is_cancelled, 7.0)
    assert is_cancelled == (outcome == "cancelled")
    serving = hosts.next_row(following, make_held_lease().lease, False, 9.0)
    # A cancelled drain doesn't count as maintenance.
    assert (serving.maintained_at_s == 9.0) == (not is_cancelled), serving


@behave.when(
    "the platform stops listing the first worker for {hours:g} h and then for {more:g} h more"
)
def unlist(context, hours, more):
    site = context.site

    async def work():
        site.start()
        await asyncio.sleep(5.0)
        site.workforce.set_workers([r for r in context.records if r.worker != "a-w0"])
        await asyncio.sleep(hours * 3600.0)
        context.row_while_missing = site.rows()["a-w0"]
        await asyncio.sleep(more * 3600.0)
        await site.stop()

    clock.run(work())


@behave.then("the first worker's row was kept as withdrawn at first")
def check_withdrawn(context):
    assert context.row_while_missing.step is hosts.HostStep.WITHDRAWN


@behave.then("the first worker's row is deleted and charged to no budget")
def check_deleted(context):
    assert "a-w0" not in context.site.rows() and len(context.site.rows()) == 11
    row = context.site.store.read(budgets.key("a"))
    assert "a-w0" not in codecs.unpack(row.value, budgets.BudgetRow).draining


@behave.given('workers "{days}" with days since maintenance and {ongoing} in maintenance')
def make_aged(context, days, ongoing):
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
        if worker == ongoing:
            row = hosts.start_drain(row, make_held_lease().lease, hosts.Purpose.MAINTENANCE)
        context.aged.append(row)


@behave.then('maintenance with 2 at once selects "{selected}"')
@behave.then('maintenance with 2 at once selects ""')
def check_selected(context, selected=""):
    rule = declarations.Maintenance(pool="a", at_most_at_once=2)
    due = maintenance.select_due(rule, context.aged, context.now_s)
    assert ",".join(row.worker for row in due) == selected, due
