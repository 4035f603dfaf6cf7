"""Check that long-running tasks run as soon as some worker has room for them."""

import asyncio
import dataclasses
import functools

import behave
from nutmegshelf import fleetview, jobs, orders, window
from nutmegshelf_entry import sender

from features import jobsite, jobworld, standstill, standstill_histories
from features.steps import jobs_steps


@behave.given("a pool of {hosts:d} hosts with {cores:d} cores and {memory:d} GB")
@behave.given(
    "a pool of {hosts:d} hosts with {cores:d} cores and {memory:d} GB and {spare:d} spare ones"
)
def make_pool(context, hosts, cores, memory, spare=0):
    context.pool = standstill.Pool(hosts, cores, memory, spare)
    context.pool.advance(1)


def make_long_running(count, cores, memory, may_miss):
    return jobs.Step(
        count=count,
        cpu_millis=int(cores * 1000),
        memory_mb=memory * standstill.GB,
        long_running=True,
        may_miss=may_miss,
    )


@behave.given(
    "a job of {count:d} long-running tasks with {cores:g} cores and {memory:d} GB runs there,"
    " of which {may_miss:d} may be unavailable"
)
def run_long_running(context, count, cores, memory, may_miss):
    submit_long_running(context, count, cores, memory, may_miss)
    context.pool.advance(3)
    assert not context.pool.get_idle(), context.pool.get_idle()


@behave.when(
    "a job of {count:d} long-running tasks with {cores:g} cores and {memory:d} GB is submitted,"
    " of which {may_miss:d} may be unavailable"
)
def submit_long_running(context, count, cores, memory, may_miss):
    context.record = context.pool.submit(make_long_running(count, cores, memory, may_miss))


@behave.when("host {host} is to be evacuated for {seconds:g} s")
def request_evacuation(context, host, seconds):
    context.pool.evacuations[host] = context.pool.now_s + seconds
    context.evacuation_s = seconds


@behave.when("host {host} drains for {seconds:g} s")
def drain(context, host, seconds):
    worker = context.pool.workers[host]
    left_ms = int(seconds * 1000)
    worker.facts = dataclasses.replace(worker.facts, is_draining=True, left_ms=left_ms)
    context.evacuation_s = seconds


@behave.then("no long-running task waits for over {max_wait_s:g} s while a worker has room for it")
def check_waits(context, max_wait_s):
    context.pool.advance(context.evacuation_s)
    waited_s, task = context.pool.longest_wait
    assert waited_s <= max_wait_s, f"{waited_s:.1f} s: {context.pool.describe(task)}"


@behave.when("a maintenance wave takes host {host}, and the planner moves hosts, for {seconds:g} s")
def run_wave(context, host, seconds):
    context.pool.start_planning(jobsite.wave(1, [host], 20.0, 1))
    context.pool.advance(seconds)


@behave.when("the planner moves hosts for {seconds:g} s")
def run_planner(context, seconds):
    context.pool.start_planning()
    context.pool.advance(seconds)


@behave.when("{seconds:g} s pass")
def advance(context, seconds):
    context.pool.advance(seconds)


@behave.then("at the end every long-running task runs")
def check_all_run(context):
    for task in context.pool.get_idle():
        raise AssertionError(context.pool.describe(task))


@behave.when("the task of job 2 fails after {seconds:g} s")
def fail_task(context, seconds):
    context.pool.advance(seconds)
    (task,) = context.record.iterate_tasks()
    (host,) = context.pool.get_running_hosts(task)
    context.pool.workers[host].end(task.key.name, fleetview.RunOutcome.FAILED)


@behave.then("{seconds:g} s later job 2 runs")
@behave.then("within {seconds:g} s it runs")
def check_runs(context, seconds):
    until_s = context.pool.now_s + seconds
    (task,) = context.record.iterate_tasks()
    context.pool.advance(0.5)
    while not context.pool.get_running_hosts(task):
        assert context.pool.now_s < until_s, context.pool.describe(task)
        advance_one_step(context)


@behave.when(
    "a job of 1 tasks with {cores:g} cores and {memory:d} GB that take {took:g} s"
    " is submitted after {seconds:g} s"
)
def submit_short(context, cores, memory, took, seconds):
    context.pool.advance(seconds)
    step = jobs.Step(
        count=1,
        cpu_millis=int(cores * 1000),
        memory_mb=memory * standstill.GB,
        estimate_ms=int(took * 1000),
    )
    context.record = context.pool.submit(step)


@behave.then("{seconds:g} s later job 2 has ended")
def check_ended(context, seconds):
    tasks = list(context.record.iterate_tasks())
    context.pool.advance(seconds)
    assert not context.record.is_live, context.pool.describe(tasks[0])


@behave.when("host {host} is evacuated and its worker restarts after {seconds:g} s")
def restart_host(context, host, seconds):
    pool = context.pool
    context.host = host
    assert pool.scheduler.evacuate_host(host, pool.now_s)
    del pool.workers[host]
    pool.advance(seconds)
    pool.start_worker(host)
    pool.advance(1)


@behave.then("the scheduler may give it tasks once its worker has reported")
def check_open(context):
    open_workers = context.pool.scheduler.get_open_workers(context.pool.now_s)
    assert context.host in {worker.facts.host for worker in open_workers}, open_workers


@behave.given("the next {kind} is lost and its outcome never reported")
def drop_next(context, kind):
    types = {"start": orders.StartRun, "stop": orders.StopRun}
    context.pool.fates[types[kind]].append(standstill.DROPPED)


@behave.then("nothing runs at host {host}")
def check_cleared(context, host):
    context.pool.advance(context.evacuation_s)
    runs = context.pool.workers[host].runs
    assert not runs, (list(runs), context.pool.events)


@behave.given("small tasks keep arriving and fill its cores")
def fill_with_small(context):
    for _ in range(64):
        submit_small(context)
    context.keeps_coming = True
    for _ in range(100):
        advance_one_step(context)


def submit_small(context):
    took_ms = context.rng.randint(3000, 7000)
    context.pool.submit(jobs.Step(count=1, cpu_millis=1000, memory_mb=100, estimate_ms=took_ms))


def advance_one_step(context):
    if getattr(context, "keeps_coming", False):
        for _ in range(context.rng.choice([1, 2])):
            submit_small(context)
    context.pool.advance(standstill.STEP_S)


# --- adopted runs


@behave.given("host h0 runs a task that is being started at host h1")
def run_at_two_hosts(context):
    pool = context.pool
    context.record = pool.submit(make_long_running(1, 7.7, 13, 1))
    (context.task,) = context.record.iterate_tasks()
    first, second = (
        pool.scheduler.workers[pool.workers[host].facts.incarnation] for host in ("h0", "h1")
    )
    job_registry = pool.scheduler.registry
    simulated = pool.workers["h0"]
    simulated.until_s = pool.now_s + standstill.LEASE_S
    name = context.task.key.name
    simulated.runs[name] = standstill.Run(context.task.key, 1, pool.now_s, 1e9)
    job_registry.assign(
        context.record, context.task, second, job_registry.get_next_run(context.task), pool.now_s
    )
    context.order = orders.StartRun(
        second.facts.incarnation, context.task.key, context.task.run, "", ""
    )
    report_run(context, first)


def report_run(context, worker):
    """Apply a report of a worker that lists the run."""
    incarnation, now_s = worker.facts.incarnation, context.pool.now_s
    running = (fleetview.ReportedRun(context.task.key.name, 1, "", 100, 0.0),)
    context.pool.scheduler.apply_report(
        fleetview.WorkerReport(incarnation, 0, now_s, now_s, running, ())
    )


@behave.when("the start at host h1 is refused and host h0 reports the run again")
def refuse(context):
    pool = context.pool
    pool.scheduler.record_refused(context.order, "room", pool.now_s)
    report_run(context, pool.scheduler.workers[pool.workers["h0"].facts.incarnation])
    assert context.task.phase is fleetview.Phase.RUNNING


@behave.then("for {seconds:g} s the run at host h0 is not stopped")
def check_not_stopped(context, seconds):
    context.pool.advance(seconds)
    stops = [line for line in context.pool.events if " stop " in line]
    assert not stops, stops


# --- orders without a link


@behave.given("a holder without a link to its worker")
def make_sending(context):
    make_pool(context, 1, 32, 128)
    context.record = context.pool.submit(make_long_running(1, 7.7, 13, 1))
    (context.task,) = context.record.iterate_tasks()


async def send(context, order):
    woken = asyncio.Event()
    ways = sender.Transport(window.StartRouter(), jobsite.Net(), list)
    order_sender = sender.OrderSender(context.pool.scheduler, {}, ways, pool="a", wake=woken.set)
    async with asyncio.TaskGroup() as group:
        order_sender.send([order], group)
    assert woken.is_set()


@behave.when("it sends a start to this worker")
@jobs_steps.paused
async def send_start(context):
    (order,) = context.pool.scheduler.choose_starts(context.pool.now_s)
    await send(context, order)


@behave.then("the scheduler learns that the start was not executed")
def check_told(context):
    assert context.task.phase is fleetview.Phase.WAITING, context.task.phase


@behave.when("it sends a stop to this worker")
@jobs_steps.paused
async def send_stop(context):
    pool = context.pool
    pool.advance(1)
    context.pool.scheduler.request_stop(context.task)
    (order,) = pool.scheduler.choose_stops(pool.now_s)
    await send(context, order)


@behave.then("the scheduler may send the stop again")
def check_again(context):
    pool = context.pool
    stops = [order for _ in range(20) for order in choose_later_stops(pool)]
    assert stops, [worker.pending_stops for worker in pool.scheduler.workers.values()]


def choose_later_stops(pool):
    pool.now_s += standstill.STEP_S
    return pool.scheduler.choose_stops(pool.now_s)


# --- workers that are unlisted for a while


@behave.given("an entry with one worker that is unlisted for a while")
@jobs_steps.paused
async def make_site(context):
    context.world = jobworld.World({"a": 1})
    context.site = jobsite.Site(context.world)
    context.hidden = set()
    context.world.fleets = functools.partial(fleets, context)
    # Without a spare pool the idle worker stays.
    context.world.declare(jobsite.declare(jobsite.queue(), spare="none"))
    service = context.site.start("e0")
    await asyncio.sleep(jobs_steps.START_S)
    context.holder = service.lease_manager.get_holder("a")
    (context.incarnation,) = context.world.minions
    assert context.incarnation in context.holder.scheduler.workers
    context.polls, context.max_polls = 0, 0
    look = context.site.workers["e0"].poll
    context.site.workers["e0"].poll = functools.partial(count_poll, context, look)
    await asyncio.sleep(2.5)
    context.hidden.add(context.incarnation)


def listed(context):
    minions = context.world.minions.values()
    return tuple(
        minion.facts for minion in minions if minion.facts.incarnation not in context.hidden
    )


async def fleets(context):
    while True:
        yield listed(context)
        await asyncio.sleep(0.15)


async def count_poll(context, look, facts, **fields):
    context.polls += 1
    context.max_polls = max(context.max_polls, context.polls)
    try:
        return await look(facts, **fields)
    finally:
        context.polls -= 1


def is_known(context):
    return context.incarnation in context.holder.scheduler.workers


@behave.when("it is listed again at the moment when its link ends")
@jobs_steps.paused
async def list_at_end(context):
    # The end of a link is handled one iteration of the loop later, and a list may come before.
    links = context.holder._links
    link = links[context.incarnation]
    ended = asyncio.Event()
    while is_known(context):
        await asyncio.sleep(0.01)
    take = context.holder._remove_link

    def unlink(facts):
        if links.get(facts.incarnation) is link and not ended.is_set():
            ended.set()
            context.hidden.clear()
            context.holder.update_workers(listed(context))
        take(facts)

    context.holder._remove_link = unlink
    await ended.wait()


@behave.when("a long-running task is submitted")
@jobs_steps.paused
async def submit_one(context):
    step = jobs.Step(count=1, cpu_millis=2000, memory_mb=100, long_running=True)
    context.made = await jobs_steps.submit(context, 1, (step,), "e0")


@behave.then("within {seconds:g} s the task runs there")
@jobs_steps.paused
async def check_runs_there(context, seconds):
    name = f"{context.made.job}.0.0.0"
    record = context.holder.scheduler.registry.records[context.made.job]

    async def check():
        phases = [task.phase.value for task in record.iterate_tasks()]
        return bool(context.world.running[name]) or phases

    await jobs_steps.wait_until(seconds, check, "not running")


@behave.when("it is listed again before the poll of its link ends")
@jobs_steps.paused
async def list_before_end(context):
    while is_known(context):
        await asyncio.sleep(0.01)
    assert context.polls, "its poll has ended already"
    context.hidden.clear()


@behave.then("for {seconds:g} s at most one poll of it is in progress at a time")
@jobs_steps.paused
async def check_one_look(context, seconds):
    await asyncio.sleep(0.5)
    assert is_known(context)
    await asyncio.sleep(seconds)
    assert context.max_polls == 1, context.max_polls


# --- random histories


@behave.then('after {examples:d} random histories of kind "{kind}" every long-running task runs')
def check_histories(context, examples, kind):
    standstill_histories.check(kind, context.seed, examples)


@behave.then(
    'after {examples:d} random histories of kind "{kind}", shrunk on failure,'
    " every long-running task runs"
)
def check_histories_short(context, examples, kind):
    standstill_histories.check(kind, context.seed, examples, shrinks=True)
