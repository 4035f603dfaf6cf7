"""Steps on workers whose capacity changes while they run."""

import asyncio
import dataclasses

import behave
from nutmegshelf import fleetview, jobs

from features import jobsite
from features.steps import crashing_task_steps, jobs_steps

FIRST_JOB, WAITING_JOB = 300, 400


@behave.given("workers that do not guard their capacity")
def set_unguarded(context):
    context.world.guards_capacity = False


def resize_all(context, cpu_millis):
    for minion in context.world.minions.values():
        minion.resize(cpu_millis)


@behave.when(
    "the workers have {cores:d} cores from {at_s:g} s on, "
    "and {count:d} jobs of {tasks:d} tasks come over {seconds:g} s"
)
@jobs_steps.paused
async def shrink_during_load(context, cores, at_s, count, tasks, seconds):
    asyncio.get_running_loop().call_later(at_s, resize_all, context, cores * 1000)
    context.all = []
    for number in range(FIRST_JOB, FIRST_JOB + count):
        steps = crashing_task_steps.make_steps(tasks, 2.0)
        context.all.append(await crashing_task_steps.submit_at_live(context, number, steps))
        await asyncio.sleep(seconds / count)


@behave.when(
    "the workers restart with {cores:d} cores, a job of {tasks:d} tasks waits, "
    "and they grow to {more:d} cores"
)
@jobs_steps.paused
async def grow_during_load(context, cores, tasks, more):
    context.world.cpu_millis = cores * 1000
    for minion in list(context.world.minions.values()):
        context.world.restart(minion)
    await asyncio.sleep(1.0)
    steps = crashing_task_steps.make_steps(tasks, 3.0)
    context.made = await crashing_task_steps.submit_at_live(context, FIRST_JOB, steps)
    await asyncio.sleep(1.0)
    resize_all(context, more * 1000)


@behave.then("all its tasks run within {seconds:g} s of the growth")
@jobs_steps.paused
async def check_all_run(context, seconds):
    async def check():
        return len(context.world.starts) == 32 or len(context.world.starts)

    await jobs_steps.wait_until(seconds, check, "tasks started")


@behave.when(
    "a job of {tasks:d} tasks is cancelled after {seconds:g} s, as another of {more:d} tasks waits"
)
@jobs_steps.paused
async def cancel_before_waiting(context, tasks, seconds, more):
    steps = crashing_task_steps.make_steps(tasks, 60.0)
    job = await crashing_task_steps.submit_at_live(context, FIRST_JOB, steps)
    await asyncio.sleep(seconds)
    steps = crashing_task_steps.make_steps(more, 60.0)
    context.made = await crashing_task_steps.submit_at_live(context, WAITING_JOB, steps)
    service, _ = next(iter(context.site.entries.values()))
    await service.job_router.cancel(job.queue, job.job)


@behave.then("within {seconds:g} s the other job has started")
@jobs_steps.paused
async def check_other_started(context, seconds):
    async def check():
        started = [name for name in context.world.starts if name.startswith(context.made.job)]
        return len(started) == context.made.steps[0].count or len(started)

    await jobs_steps.wait_until(seconds, check, "tasks started")


@behave.then("no start brought a worker over its capacity")
def check_capacities(context):
    jobs_steps.check_no_violations(context)


@behave.given("a scheduler with {workers:d} worker of {cores:d} cores that runs {count:d} tasks")
def make_scheduler(context, workers, cores, count):
    context.scheduler = jobsite.scheduler_with_workers(
        workers, cpu_millis=cores * 1000, memory_mb=9000
    )
    context.worker = next(iter(context.scheduler.workers.values()))
    if count:
        add_job(context, FIRST_JOB, count)
        chosen = context.scheduler.choose_starts(10.0)
        assert len(chosen) == count
        for order in chosen:
            context.scheduler.record_started(order, 10.0)


def add_job(context, number, count):
    job = jobsite.job(number, crashing_task_steps.make_steps(count))
    context.scheduler.registry.add(job, None, 10.0, 0, may_run=False, now_s=10.0)


def announce(context, cores):
    facts = dataclasses.replace(context.worker.facts, cpu_millis=cores * 1000)
    context.scheduler.update_workers([facts], 11.0)


@behave.when("its worker announces {cores:d} cores")
def shrink(context, cores):
    announce(context, cores)


@behave.then("no task fits there, and its demand counts {cores:d} cores in use")
def check_shrunk(context, cores):
    assert not context.worker.fits(jobs.Step(count=1, cpu_millis=1))
    assert context.worker.free.cpu_millis < 0, context.worker.free
    report = context.scheduler.get_demand(11.0)
    assert report.cpu_running == cores * 1000, report


@behave.when(
    "{count:d} starts are chosen and its worker announces {cores:d} cores before they are sent"
)
def shrink_before_sending(context, count, cores):
    add_job(context, FIRST_JOB, count)
    context.chosen = context.scheduler.choose_starts(10.0)
    assert len(context.chosen) == count
    announce(context, cores)


@behave.then("only {count:d} of them may still be sent")
def check_still_needed(context, count):
    sent = [order for order in context.chosen if context.scheduler.is_needed(order)]
    assert len(sent) == count, [order.key.name for order in sent]
    placed = [
        task for task in context.worker.tasks.values() if task.phase is fleetview.Phase.STARTING
    ]
    assert len(placed) == count, placed
