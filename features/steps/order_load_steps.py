"""Check which hosts a service requests under load, and how it answers callers."""

import asyncio

import behave
from nutmegshelf import bursts, calls, exceptions, jobs, rebalancing, scheduler, window

from features import jobsite
from features.steps import jobs_steps


class ConstantForecast(bursts.BurstForecaster):
    """A forecaster that always predicts a burst of one pool."""

    def __init__(self, pool):
        super().__init__()
        self.pool = pool

    def forecast(self, now_s):
        return bursts.Forecast(now_s + 1.0, (self.pool,))


@behave.given('a planner for hosts of {cores:d} cores that forecasts a burst of pool "{pool}"')
def make_forecast(context, cores, pool):
    context.size = cores * 1000
    context.planner = rebalancing.Planner()
    forecaster = context.planner.bursts = ConstantForecast(pool)
    for name in (pool, "b"):
        forecaster.observe(name, 8.0, 8.0, 0.0)
        forecaster.observe(name, 0.0, 0.0, 1.0)


@behave.given('all hosts idle in pool "{pool}"')
def idle_hosts(context, pool):
    context.views = [
        rebalancing.HostView(f"h{number}", pool, rebalancing.HostState.UP, "z", "r", context.size)
        for number in range(8)
    ]
    hosts = {view.host: calls.HostLoad(idle_s=2.0) for view in context.views}
    context.demands = {pool: make_demand(context, 0, hosts)}


def make_demand(context, waiting, hosts):
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
def submit_waiting(context, hosts, pool):
    context.demands[pool] = make_demand(context, hosts / rebalancing._HEADROOM, {})
    context.moves = context.planner.plan(context.views, context.demands, set(), "spare", 2.0)


@behave.then('{hosts:d} hosts move from pool "{source}" to pool "{target}"')
def check_moved(context, hosts, source, target):
    moved = [move for move in context.moves if (move.pool, move.target) == (source, target)]
    assert len(moved) == hosts, context.moves


@behave.given("a service with waiting work for {hosts:d} hosts and workers of which {workload}")
def make_waiting(context, hosts, workload):
    facts = [
        jobsite.worker_facts(number, cpu_millis=16_000, memory_mb=64_000) for number in range(2)
    ]
    context.router = window.StartRouter(window.Window(250_000.0, 1.0))
    context.scheduler = scheduler.Scheduler(
        1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False, router=context.router
    )
    context.scheduler.update_workers(facts, 0.0)
    for worker in context.scheduler.workers.values():
        worker.is_polled = True
    job_registry = context.scheduler.registry
    busy = jobs.Step(count=2, cpu_millis=16_000, memory_mb=100, estimate_ms=500)
    record = job_registry.add(jobsite.job(1, (busy,)), None, 0.0, 0, may_run=False)
    workers = list(context.scheduler.workers.values())
    busy_workers = workers[:1] if workload == "one idles" else workers
    for task, worker in zip(record.iterate_tasks(), busy_workers, strict=False):
        job_registry.adopt(record, task, worker, 1, 0.0)
    record.ready.clear()
    waiting = jobs.Step(count=hosts, cpu_millis=16_000, memory_mb=100, estimate_ms=500)
    job_registry.add(jobsite.job(2, (waiting,)), None, 0.0, 0, may_run=False)


@behave.when("its starts wait for the send window")
def fill_window(context):
    context.router.window.reserve_bytes(1_000_000, 1.0)
    assert not context.scheduler.choose_starts(1.0)


@behave.then("it asks for {hosts:d} more hosts")
def check_requested_hosts(context, hosts):
    cpu_waiting_millis = context.scheduler.get_demand(1.0).cpu_waiting
    assert cpu_waiting_millis == hosts * 16_000, cpu_waiting_millis


@behave.when("the table stops answering for the service")
def stop_table(context):
    for view in context.site.views.values():
        view.silent_partitions.add("a")


@behave.when("the table answers again")
def restart_table(context):
    for view in context.site.views.values():
        view.silent_partitions.clear()


@behave.when("after {seconds:g} s a job is submitted at every entry")
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
        refused_kind == kind and took_s <= seconds for refused_kind, took_s in context.refusals
    ), context.refusals


@behave.then("within {seconds:g} s a job that is submitted is done")
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


@behave.when(
    "after {seconds:g} s callers with a time limit of {limit:g} s submit jobs and come back as told"
)
@jobs_steps.paused
async def submit_and_come_back(context, seconds, limit):
    await asyncio.sleep(seconds)
    queue = jobsite.queue(timeout_ms=int(limit * 1000))

    async def call(number, name):
        gives_up_s = jobs_steps.get_time_s() + limit
        while True:
            try:
                step = jobs_steps.parse_steps("1")
                await jobs_steps.submit(context, number, step, name, queue=queue)
                return "accepted"
            except exceptions.RequestError as error:
                if error.retry_after_s is None:
                    return f"refused for good: {error}"
                if jobs_steps.get_time_s() + error.retry_after_s >= gives_up_s:
                    return f"told to come back after {error.retry_after_s} s"
                await asyncio.sleep(error.retry_after_s)

    context.callers = [
        asyncio.ensure_future(call(number, name))
        for number, name in enumerate([*context.site.entries] * 3)
    ]
    await asyncio.sleep(0)


@behave.when("the table answers again after {seconds:g} s")
@jobs_steps.paused
async def restart_table_after(context, seconds):
    await asyncio.sleep(seconds)
    restart_table(context)


@behave.then("all their jobs are accepted within their time limit")
@jobs_steps.paused
async def check_accepted(context):
    answers = await asyncio.gather(*context.callers)
    assert set(answers) == {"accepted"}, answers
