"""Check what a service asks of hosts and callers under load."""

import asyncio

import behave
from nutmegshelf import bursts, calls, exceptions, jobs, rebalancing, scheduler, window

from features import jobsite
from features.steps import jobs_steps


class Foreseen(bursts.BurstForecaster):
    """Forecast a turn of one pool all the time."""

    def __init__(self, pool):
        super().__init__()
        self.pool = pool

    def forecast(self, now_s):
        return bursts.Forecast(now_s + 1.0, (self.pool,))


@behave.given('a planner for hosts of {cores:d} cores that forecasts a turn of pool "{pool}"')
def make_forecast(context, cores, pool):
    context.size = cores * 1000
    context.planner = rebalancing.Planner()
    known = context.planner.bursts = Foreseen(pool)
    for name in (pool, "b"):
        known.observe(name, 8.0, 8.0, 0.0)
        known.observe(name, 0.0, 0.0, 1.0)


@behave.given('all hosts idle in pool "{pool}"')
def idle_hosts(context, pool):
    context.views = [
        rebalancing.HostView(f"h{number}", pool, rebalancing.HostState.UP, "z", "r", context.size)
        for number in range(8)
    ]
    hosts = {view.host: calls.HostLoad(idle_s=2.0) for view in context.views}
    context.demands = {pool: demand(context, 0, hosts)}


def demand(context, waiting, hosts):
    return calls.DemandReport(
        cpu_running=0,
        cpu_waiting=waiting * context.size,
        cpu_long_running=0,
        waiting_ms=1000,
        arrived_core_ms=0,
        min_hosts=1,
        host_cpu_millis=context.size,
        hosts=hosts,
    )


@behave.when('work for {hosts:d} hosts waits in pool "{pool}"')
def wait_in(context, hosts, pool):
    context.demands[pool] = demand(context, hosts / rebalancing._HEADROOM, {})
    context.moves = context.planner.plan(context.views, context.demands, set(), "spare", 2.0)


@behave.then('{hosts:d} hosts move from pool "{source}" to pool "{target}"')
def check_moved(context, hosts, source, target):
    moved = [move for move in context.moves if (move.pool, move.target) == (source, target)]
    assert len(moved) == hosts, context.moves


@behave.given("a service with work for {hosts:d} hosts that waits, and workers of which {what}")
def make_waiting(context, hosts, what):
    facts = [
        jobsite.worker_facts(number, cpu_millis=16_000, memory_mb=64_000) for number in range(2)
    ]
    context.outflow = window.StartRouter(window.Window(250_000.0, 1.0))
    context.scheduler = scheduler.Scheduler(
        1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False, router=context.outflow
    )
    context.scheduler.update_workers(facts, 0.0)
    for worker in context.scheduler.workers.values():
        worker.is_polled = True
    book = context.scheduler.registry
    busy = jobs.Step(count=2, cpu_millis=16_000, memory_mb=100, estimate_ms=500)
    record = book.add(jobsite.job(1, (busy,)), None, 0.0, 0, may_run=False)
    workers = list(context.scheduler.workers.values())
    used = workers[:1] if what == "one idles" else workers
    for task, worker in zip(record.iterate_tasks(), used, strict=False):
        book.adopt(record, task, worker, 1, 0.0)
    record.ready.clear()
    waits = jobs.Step(count=hosts, cpu_millis=16_000, memory_mb=100, estimate_ms=500)
    book.add(jobsite.job(2, (waits,)), None, 0.0, 0, may_run=False)


@behave.when("its starts find no room on their way")
def hold_up(context):
    context.outflow.window.reserve_bytes(1_000_000, 1.0)
    assert not context.scheduler.choose_starts(1.0)


@behave.then("it asks for {hosts:d} more hosts")
def check_asked(context, hosts):
    found = context.scheduler.get_demand(1.0).cpu_waiting
    assert found == hosts * 16_000, found


@behave.when("the table falls silent for the service")
def silence_partition(context):
    for view in context.site.views.values():
        view.silent_partitions.add("a")


@behave.when("the table answers again")
def end_silence(context):
    for view in context.site.views.values():
        view.silent_partitions.clear()


@behave.when("after {seconds:g} s a job is handed in at every entry")
@jobs_steps.paused
async def submit_everywhere(context, seconds):
    await asyncio.sleep(seconds)
    context.refusals = []
    for number, name in enumerate(context.site.entries):
        began_s = jobs_steps.get_time_s()
        try:
            await jobs_steps.submit(context, 100 + number, jobs_steps.parse_steps("1"), name)
        except exceptions.RequestError as error:
            context.refusals.append((error.kind.value, jobs_steps.get_time_s() - began_s))


@behave.then('each is refused as "{kind}" within {seconds:g} s')
def check_refusals(context, kind, seconds):
    assert len(context.refusals) == len(context.site.entries), context.refusals
    assert all(
        found == kind and took_s <= seconds for found, took_s in context.refusals
    ), context.refusals


@behave.then("within {seconds:g} s a job that is handed in is done")
@jobs_steps.paused
async def check_served_again(context, seconds):
    until_s = jobs_steps.get_time_s() + seconds
    while True:
        try:
            made = await jobs_steps.submit(context, 200, jobs_steps.parse_steps("1"), "e0")
            break
        except exceptions.RequestError:
            assert jobs_steps.get_time_s() < until_s
            await asyncio.sleep(0.2)
    done = jobs_steps.has_state(context, made, "succeeded")
    await jobs_steps.wait_until(until_s - jobs_steps.get_time_s(), done, "states")
