"""Steps that run jobs over fake entries, workers and a fake table on a paused clock."""

import asyncio
import functools
import re

import behave
import msgspec
from nutmegshelf import exceptions, fleetview, jobs, queues
from nutmegshelf_standins import clock

from features import jobsite, jobworld

START_S = 2.0


def paused(function):
    """Run a step function on the paused clock of the scenario."""

    @functools.wraps(function)
    def step(context, *args, **kwargs):
        if not hasattr(context, "paused"):
            context.paused = asyncio.Runner(loop_factory=clock.SimulatedTimeLoop)
            context.cleanup.append(functools.partial(end, context))
        return context.paused.run(function(context, *args, **kwargs))

    return step


async def end(context):
    if hasattr(context, "site"):
        await asyncio.to_thread(lambda: context.paused.run(context.site.close()))
    await asyncio.to_thread(context.paused.close)


def get_time_s():
    return asyncio.get_running_loop().time()


def parse_steps(text):
    steps = []
    for part in text.split(","):
        count, _, after = part.strip().partition(" after ")
        predecessors = tuple(int(index) for index in after.split()) if after else ()
        steps.append(
            jobs.Step(
                count=int(count),
                cpu_millis=1000,
                memory_mb=100,
                estimate_ms=500,
                after=predecessors,
            )
        )
    return tuple(steps)


async def submit(context, number, steps, entry, **fields):
    job = jobsite.job(number, steps, **fields)
    context.world.jobs[job.job] = job
    service, _ = context.site.entries[entry]
    await service.job_router.submit(job)
    return job


async def get_states(context, job, names=None):
    states = {}
    for name in names or context.site.entries:
        service, _ = context.site.entries[name]
        try:
            states[name] = (await service.job_router.get_state(job.queue, job.job)).value
        except exceptions.RequestError as error:
            states[name] = error.kind.value
    return states


async def wait_until(limit_s, check, what):
    """Wait until a check returns True; its last value is reported on a timeout."""
    until_s = get_time_s() + limit_s
    while True:
        result = await check()
        if result is True:
            return
        assert get_time_s() < until_s, f"{what}: {result}"
        await asyncio.sleep(0.05)


def has_state(context, job, state, names=None):
    async def check():
        states = await get_states(context, job, names)
        return all(shown == state for shown in states.values()) or states

    return check


def check_no_violations(context):
    assert not context.world.violations, context.world.violations


@behave.given("{entries:d} entries and {workers:d} workers of one service")
@behave.given(
    "{entries:d} entries and {workers:d} workers of one service and {spare:d} spare hosts"
)
@paused
async def make_site(context, entries, workers, spare=0, links_mbps=None):
    context.world = jobworld.World({"a": workers}, spare_count=spare)
    context.site = jobsite.Site(context.world)
    context.site.links_mbps = links_mbps or {}
    context.world.declare(jobsite.declare(jobsite.queue()))
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(START_S)


@behave.given("{workers:d} workers of one service and entries with links of {rates} Mbit/s")
def make_site_with_links(context, workers, rates):
    values = [float(rate) for rate in re.findall(r"\d+", rates)]
    links_mbps = {f"e{number}": rate for number, rate in enumerate(values)}
    make_site(context, len(values), workers, links_mbps=links_mbps)


@behave.then("entry {number:d} holds the service")
def check_holder(context, number):
    assert context.site.holder_of("a") == f"e{number}", context.site.holder_of("a")


@behave.then("its link is fast")
def check_link(context):
    holders = [
        name
        for name, (service, _) in context.site.entries.items()
        if service.lease_manager.get_holder("a") and name != context.stopped
    ]
    assert [context.site.links_mbps[name] for name in holders] == [100], holders


@behave.given("its tasks fail")
def set_failing_tasks(context):
    context.world.default_work = (0.2, fleetview.RunOutcome.FAILED)


@behave.given("its tasks take {seconds:g} s")
def set_task_duration(context, seconds):
    context.world.default_work = (seconds, fleetview.RunOutcome.DONE)


@behave.given("each worker executes the first {count:d} starts late and without an answer")
def delay_starts(context, count):
    for minion in context.world.minions.values():
        minion.delayed_starts = count


@behave.given("each worker leaves the first {count:d} stops unanswered")
def drop_stops(context, count):
    for minion in context.world.minions.values():
        minion.dropped_stops = count


@behave.when("an internal error occurs in a link to a worker")
@paused
async def fail_link(context):
    workers = context.site.workers[context.site.holder_of("a")]
    look, failures = workers.poll, []

    async def fail_once(*args, **kwargs):
        if not failures:
            failures.append(1)
            raise RuntimeError("internal error")
        return await look(*args, **kwargs)

    workers.poll = fail_once
    await asyncio.sleep(3.0)
    assert failures


@behave.when('a job of steps "{steps}" is submitted at entry {entry:d}')
@paused
async def submit_one(context, steps, entry):
    context.made = await submit(context, 1, parse_steps(steps), f"e{entry}")


@behave.when("the same job is submitted at every entry twice")
@paused
async def submit_same(context):
    steps = parse_steps("2")
    names = list(context.site.entries) * 2
    submitted = await asyncio.gather(*(submit(context, 1, steps, name) for name in names))
    context.made = submitted[0]


@behave.when("{count:d} jobs of one task are submitted together")
@paused
async def submit_many(context, count):
    names = list(context.site.entries)
    context.all = await asyncio.gather(
        *(
            submit(context, number, parse_steps("1"), names[number % len(names)])
            for number in range(count)
        )
    )


@behave.then("within {seconds:g} s it is shown as {state} at every entry")
@paused
async def check_state(context, seconds, state):
    await wait_until(seconds, has_state(context, context.made, state), "states")


@behave.then("within {seconds:g} s all are shown as succeeded")
@behave.then("within {seconds:g} s all accepted jobs are shown as succeeded")
@paused
async def check_all(context, seconds):
    entry = next(iter(context.site.entries))

    async def check():
        unfinished = []
        for job in context.all:
            state = (await get_states(context, job, [entry]))[entry]
            if state != "succeeded":
                unfinished.append((job.job, state))
        return not unfinished or unfinished[:5]

    await wait_until(seconds, check, "jobs not done")


@behave.then("every task ran once")
def check_once(context):
    check_no_violations(context)
    assert context.world.starts, "no task was started"
    assert set(context.world.starts.values()) == {1}, context.world.starts


@behave.then("no task ran twice at the same time or after its end was acknowledged")
def check_never_twice(context):
    check_no_violations(context)


@behave.then("its task was started {count:d} times")
def check_starts(context, count):
    assert list(context.world.starts.values()) == [count], context.world.starts


@behave.when("after {seconds:g} s it is cancelled at entry {entry:d}")
@paused
async def cancel(context, seconds, entry):
    await asyncio.sleep(seconds)
    service, _ = context.site.entries[f"e{entry}"]
    await service.job_router.cancel(context.made.queue, context.made.job)


@behave.then("within {seconds:g} s nothing of it runs")
@paused
async def check_nothing_runs(context, seconds):
    async def check():
        running = [name for name, runs in context.world.running.items() if runs]
        return running if running else True

    await wait_until(seconds, check, "running")
    started = sum(context.world.starts.values())
    await asyncio.sleep(1.0)
    assert sum(context.world.starts.values()) == started, context.world.starts


@behave.when("version {newer:d} is declared and then version {older:d}")
@paused
async def declare_versions(context, newer, older):
    for version in (newer, older):
        context.world.declare(jobsite.declare(jobsite.queue(), version=version))
        await asyncio.sleep(0.5)


@behave.when("version {version:d} is declared")
@paused
async def declare_version(context, version):
    context.world.declare(jobsite.declare(jobsite.queue(), version=version))
    await asyncio.sleep(0.5)


@behave.when("version {version:d} is declared with {fault}")
@paused
async def declare_invalid(context, version, fault):
    valid = jobsite.declare(jobsite.queue(), version=version)
    match fault:
        case "an unknown service":
            invalid = msgspec.structs.replace(valid, services=valid.services[1:])
        case "a duplicate queue":
            invalid = jobsite.declare(jobsite.queue(), jobsite.queue(host="y"), version=version)
        case "two queues for one path":
            other = msgspec.structs.replace(jobsite.queue(), name="other")
            invalid = jobsite.declare(jobsite.queue(), other, version=version)
        case "a service declared twice":
            invalid = msgspec.structs.replace(valid, services=(*valid.services, valid.services[0]))
        case "a path without its slash":
            invalid_queue = msgspec.structs.replace(jobsite.queue(), path_prefix="q/")
            invalid = jobsite.declare(invalid_queue, version=version)
        case "no attempts":
            invalid = jobsite.declare(jobsite.queue(max_attempts=0), version=version)
    context.world.declare(invalid)
    await asyncio.sleep(0.5)


@behave.then("version {version:d} stays in force at every entry")
def check_version(context, version):
    versions = [
        service.active_queues.routes.declared.version
        for service, _ in context.site.entries.values()
    ]
    assert set(versions) == {version}, versions


@behave.when('an advised job of steps "{steps}" is submitted')
@paused
async def submit_advised(context, steps):
    timing = queues.AdviceTiming(decide_ms=20, per_worker_ms=5, valid_ms=2000)
    parsed = parse_steps(steps)
    context.made = await submit(context, 8, parsed, "e0", queue=jobsite.queue(advised=timing))


@behave.then("only workers that the policy allows ran it")
def check_policy(context):
    requested = context.world.advice.requested_steps
    assert len(set(requested)) == 2, requested
