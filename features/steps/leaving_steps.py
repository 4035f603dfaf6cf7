"""Check work at workers that drain, are slow, or are needed for more urgent work."""

import asyncio

import behave
from nutmegshelf import fleetview, jobs

from features import jobsite
from features.steps import jobs_steps


def step(count, **fields):
    defaults = {"cpu_millis": 4000, "memory_mb": 100, "estimate_ms": 500}
    return jobs.Step(count=count, **{**defaults, **fields})


@behave.when("a job of {count:d} checkpointing tasks is submitted")
@jobs_steps.paused
async def submit_checkpointing(context, count):
    estimate_ms = int(context.world.default_work[0] * 1000)
    checkpointing = step(count, checkpointing=True, estimate_ms=estimate_ms)
    context.made = await jobs_steps.submit(context, 1, (checkpointing,), "e0")


@behave.when("after {seconds:g} s the worker of a task drains, and ends after {left_s:g} s")
@jobs_steps.paused
async def drain_later(context, seconds, left_s):
    await asyncio.sleep(seconds)
    busy = next(minion for minion in context.world.minions.values() if minion.runs)
    context.world.drain(busy, left_s)


@behave.when("the worker of a long-running task drains, and ends after {left_s:g} s")
@jobs_steps.paused
async def drain_long_running(context, left_s):
    context.drained = next(minion for minion in context.world.minions.values() if minion.runs)
    context.world.drain(context.drained, left_s)


@behave.then(
    "within {seconds:g} s no task runs at it and {count:d} long-running tasks are available"
)
@jobs_steps.paused
async def check_left(context, seconds, count):
    async def check():
        running = [name for name, runs in context.world.running.items() if runs]
        context.most_unavailable = max(context.most_unavailable, count - len(running))
        is_evacuated = not context.drained.runs and not context.drained.has_ended
        return (is_evacuated and len(running) == count) or (context.drained.runs, running)

    await jobs_steps.wait_until(seconds, check, "running")


@behave.given("a queue of priority 1 whose tasks fill all workers for {seconds:g} s and {how}")
@jobs_steps.paused
async def fill_workers(context, seconds, how):
    low = jobsite.queue("low", priority=1)
    urgent = jobsite.queue("urgent", priority=0)
    context.world.declare(jobsite.declare(low, urgent, version=2))
    await asyncio.sleep(0.5)
    is_checkpointing = how == "write checkpoints"
    filling = step(4, checkpointing=is_checkpointing, estimate_ms=int(seconds * 1000))
    context.all = []
    for number in range(2):
        job_id = f"{number + 10:016x}"
        context.world.work_by_task[job_id] = (seconds, fleetview.RunOutcome.DONE)
        job = await jobs_steps.submit(context, number + 10, (filling,), "e0", queue=low)
        context.all.append(job)
    await asyncio.sleep(1.5)
    assert sum(len(minion.runs) for minion in context.world.minions.values()) == 8


@behave.when("a job of priority 0 for half a worker is submitted")
@jobs_steps.paused
async def submit_urgent(context):
    urgent = jobsite.queue("urgent", priority=0)
    context.urgent = await jobs_steps.submit(context, 1, (step(2),), "e1", queue=urgent)


@behave.then("within {seconds:g} s the urgent job is shown as succeeded")
@jobs_steps.paused
async def check_urgent(context, seconds):
    done = jobs_steps.has_state(context, context.urgent, "succeeded")
    await jobs_steps.wait_until(seconds, done, "states")


@behave.then("within {seconds:g} s all less urgent jobs are shown as succeeded")
@jobs_steps.paused
async def check_others(context, seconds):
    for job in context.all:
        done = jobs_steps.has_state(context, job, "succeeded")
        await jobs_steps.wait_until(seconds, done, "states")


@behave.given("one of the workers is {times:d} times slower")
def slow_worker(context, times):
    next(iter(context.world.minions.values())).slowdown = times


@behave.when("a job of {count:d} {kind}tasks, one a worker, is submitted")
@behave.when("a job of {count:d} tasks, one a worker, is submitted")
@jobs_steps.paused
async def submit_spread(context, count, kind=""):
    spread = step(count, max_per_worker=1, speculative=kind.strip() == "speculative")
    context.made = await jobs_steps.submit(context, 1, (spread,), "e0")


@behave.then("one task was started twice and the others once")
def check_starts(context):
    jobs_steps.check_no_violations(context)
    assert sorted(context.world.starts.values()) == [1, 1, 1, 2], context.world.starts
