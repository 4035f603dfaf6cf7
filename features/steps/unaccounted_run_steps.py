"""Steps on jobs that are stored by others than their holder, and on tasks that may run already."""

import asyncio
import dataclasses

import behave
import msgspec
from nutmegshelf import exceptions, fleetview, jobs, scheduler

from features import jobsite, jobworld
from features.steps import jobs_steps

NOW_S = 100.0
LEASE_EXPIRY_S = 5.0


@behave.given(
    "{workers:d} workers of one service and an entry that takes {seconds:g} s for each scan of the"
    " table"
)
@jobs_steps.paused
async def start_site(context, workers, seconds):
    context.world = jobworld.World({"a": workers})
    context.site = jobsite.Site(context.world)
    context.world.declare(jobsite.declare(jobsite.queue()))
    context.scan_delay_s = seconds
    context.submitted = []
    start_entry(context)


def start_entry(context):
    context.site.start("e0")
    context.site.views["e0"].scan_delay_s = context.scan_delay_s


@behave.given("{entries:d} entries and {workers:d} workers of a service without a queue")
@jobs_steps.paused
async def start_without_queue(context, entries, workers):
    context.world = jobworld.World({"a": workers})
    context.site = jobsite.Site(context.world)
    context.world.declare(jobsite.declare())
    context.submitted = []
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(2.0)


async def submit_for(context, seconds, interval_s):
    until_s = jobs_steps.get_time_s() + seconds
    number = 1
    while jobs_steps.get_time_s() < until_s:
        entry = list(context.site.entries)[number % len(context.site.entries)]
        try:
            context.submitted.append(
                await jobs_steps.submit(context, number, jobs_steps.parse_steps("2"), entry)
            )
        except exceptions.RequestError as error:
            assert error.kind is not exceptions.ErrorKind.JOB_UNSETTLED, error
        number += 1
        await asyncio.sleep(interval_s)
    assert context.submitted


@behave.when(
    "jobs are submitted each {interval_s:g} s for {seconds:g} s from the start of the entry"
)
@jobs_steps.paused
async def submit_from_start(context, interval_s, seconds):
    await submit_for(context, seconds, interval_s)


@behave.when(
    "its first queue is added and jobs are submitted each {interval_s:g} s for {seconds:g} s"
)
@jobs_steps.paused
async def add_queue(context, interval_s, seconds):
    context.world.declare(jobsite.declare(jobsite.queue(), version=2))
    await submit_for(context, seconds, interval_s)


@behave.then("within {seconds:g} s all of them are shown as succeeded")
@jobs_steps.paused
async def check_all(context, seconds):
    for job in context.submitted:
        await jobs_steps.wait_until(
            seconds, jobs_steps.has_state(context, job, "succeeded"), f"state of {job.job}"
        )


@behave.given("the list of workers takes {seconds:g} s to arrive at an entry")
def delay_list(context, seconds):
    fleets = context.world.fleets

    async def late_fleets():
        await asyncio.sleep(seconds)
        async for fleet in fleets():
            yield fleet

    context.late_fleets = late_fleets


@behave.when(
    "a job is submitted and the entry is killed {delay:g} s after the first start and started again"
)
@jobs_steps.paused
async def kill_after_start(context, delay):
    await asyncio.sleep(0.3)
    context.submitted = [await jobs_steps.submit(context, 1, jobs_steps.parse_steps("4"), "e0")]

    async def has_started():
        return bool(context.world.starts)

    until_s = jobs_steps.get_time_s() + 6
    while not await has_started():
        assert jobs_steps.get_time_s() < until_s, "no start"
        await asyncio.sleep(0.001)
    await asyncio.sleep(delay)
    await context.site.kill("e0")
    context.world.fleets = context.late_fleets
    await asyncio.sleep(0.3)
    start_entry(context)


@behave.when(
    "a worker appears and gets a start, is cut off from the list, and the holder is killed"
)
@jobs_steps.paused
async def start_at_new_worker(context):
    world = context.world
    steps = tuple(
        msgspec.structs.replace(step, label="new") for step in jobs_steps.parse_steps("8")
    )
    context.submitted = [await jobs_steps.submit(context, 1, steps, "e0")]
    await asyncio.sleep(0.5)
    # Nobody plans moves, which would clear idle hosts meanwhile.
    for service, _ in context.site.entries.values():
        fleet = service.lease_manager.get_holder("*fleet")
        if fleet is not None:
            fleet._plan_moves = lambda: None
    # The table takes long to store that the worker is used.
    view = context.site.views[context.site.holder_of("a")]
    view.lost_answers, view.drops_unanswered = 1, True
    view.is_unanswered = lambda transaction: any(
        write.key.startswith("used/") for write in transaction.writes
    )
    world.add_host("a", "h77", "r0")
    (minion,) = [each for each in world.minions.values() if each.facts.host == "h77"]
    minion.facts = dataclasses.replace(minion.facts, labels=frozenset({"a", "r0", "new"}))
    until_s = jobs_steps.get_time_s() + 6
    while not minion.runs:
        assert jobs_steps.get_time_s() < until_s, "no start"
        await asyncio.sleep(0.001)
    holder = context.site.holder_of("a")
    await context.site.kill(holder)
    minion.is_unresponsive = True
    # The tasks may start at the other workers from now on.
    add_minion = world.add_minion

    def add_labelled(host):
        added = add_minion(host)
        added.facts = dataclasses.replace(added.facts, labels=added.facts.labels | {"new"})
        return added

    world.add_minion = add_labelled
    for other in world.minions.values():
        other.facts = dataclasses.replace(other.facts, labels=other.facts.labels | {"new"})
    fleets = world.fleets

    async def shorter_fleets():
        async for fleet in fleets():
            yield tuple(facts for facts in fleet if facts.host != "h77")

    world.fleets = shorter_fleets
    # The new process of the same entry takes the lease over at once.
    context.site.start(holder)


# --- the scheduler alone


def make_scheduled(count, due_ms):
    step = jobs.Step(count=count, cpu_millis=1, memory_mb=1, estimate_ms=500)
    return jobsite.job(
        1, (step,), occurrences=len(due_ms), first_due_ms=due_ms[0], interval_ms=due_ms[1]
    )


def start_epoch(context, epoch):
    context.service = scheduler.Scheduler(
        epoch, lease_expiry_s=LEASE_EXPIRY_S, now_s=NOW_S, is_takeover=True
    )
    context.facts = [jobsite.worker_facts(number) for number in range(2)]
    context.used = [(facts.incarnation, facts.host) for facts in context.facts]


def report(context, running=(), ends=(), numbers=(0, 1), now_s=NOW_S + 2):
    for number in numbers:
        is_first = number == 0
        context.service.apply_report(
            fleetview.WorkerReport(
                context.facts[number].incarnation,
                0,
                now_s - 0.01,
                now_s,
                running if is_first else (),
                ends if is_first else (),
            )
        )


@behave.given("a scheduled job of which a worker {has} a task of an occurrence that is not due yet")
def run_early(context, has):
    start_epoch(context, 2)
    context.job = make_scheduled(2, (1_000, 60_000))
    context.has = has


@behave.when("a holder with a slower clock takes over and the worker reports")
def take_over(context):
    context.service.expect_incarnations(context.used)
    context.record = context.service.load_job(context.job, None, NOW_S, NOW_S, 2_000)
    context.service.update_workers(context.facts, NOW_S)
    key = jobs.TaskKey(context.job.job, 1, 0, 0)
    run = 1 << 16 | 1
    if context.has == "runs":
        report(context, running=(fleetview.ReportedRun(key.name, run, "", 50, 0.0),))
    else:
        report(context, ends=(fleetview.RunEnd(1, key.name, run, fleetview.RunOutcome.DONE, ""),))
    context.task = context.record.get_task(key)


@behave.then("the task of that occurrence is {state}")
def check_task(context, state):
    assert context.task is not None, "the occurrence is not known"
    assert context.task.phase.value == state, context.task
    assert not any(worker.unknown_runs for worker in context.service.workers.values())


@behave.then("no other task of it is recovering")
def check_none_recovering(context):
    assert context.service.is_reconciled and not context.service.registry.recovering


@behave.given("a scheduled job of an earlier holder whose second occurrence is due in 1 s")
def load_scheduled(context):
    start_epoch(context, 2)
    context.job = make_scheduled(2, (1_000, 1_000))
    context.service.expect_incarnations(context.used)
    context.record = context.service.load_job(context.job, None, NOW_S, NOW_S, 1_500)
    context.service.update_workers(context.facts, NOW_S)


@behave.when("1 s passes and no worker has reported")
def pass_time(context):
    context.service.tick(NOW_S + 1, 2_500)


def get_phases(context):
    return {(task.key.occurrence, task.phase) for task in context.record.iterate_tasks()}


@behave.then("the tasks of the second occurrence are recovering")
def check_recovering(context):
    assert (1, fleetview.Phase.RECOVERING) in get_phases(context), get_phases(context)
    assert not context.record.ready


@behave.when("all workers report that nothing runs")
def report_nothing(context):
    report(context)


@behave.then("the tasks of both occurrences are ready to start")
def check_ready(context):
    assert {key.occurrence for key in context.record.ready} == {0, 1}, context.record.ready


@behave.given("a service in epoch {epoch:d} whose earlier holders {used}")
def make_epoch(context, epoch, used):
    start_epoch(context, epoch)
    match used:
        case "never were":
            context.service.expect_no_runs()
        case "used workers":
            context.service.expect_incarnations(context.used)
        case "used no worker":
            context.service.expect_incarnations([])
        case "are unknown":
            context.service.expect_unknown_incarnations()


@behave.when("a job that was stored before is loaded {when}")
def load_late(context, when):
    context.service.update_workers(context.facts, NOW_S)
    now_s = NOW_S
    if when != "at once":
        report(context)
        now_s = NOW_S + 3
    if when == "after all leases":
        now_s = NOW_S + LEASE_EXPIRY_S + 1
        context.service.tick(now_s, 1_000)
    job = jobsite.job(1, jobs_steps.parse_steps("1"))
    context.record = context.service.load_job(job, None, now_s, now_s, 1_000)
    context.service.tick(now_s + 0.1, 1_000)


@behave.then("its task is {phase}")
def check_phase(context, phase):
    (task,) = context.record.iterate_tasks()
    assert task.phase.value == phase, task
    assert (task.key in context.record.ready) == (phase == "waiting")
