"""Count what is left of jobs that ended."""

import asyncio

import behave

from features.steps import jobs_steps


@behave.given("ended jobs are kept for {seconds:g} s")
@jobs_steps.paused
async def set_kept(context, seconds):
    names = list(context.site.entries)
    for name in names:
        await context.site.kill(name)
    context.site.setting_overrides["ended_kept_s"] = seconds
    for name in names:
        context.site.start(name)
    await asyncio.sleep(jobs_steps.START_S)


async def check_states(context, state):
    for made in context.all:
        found = await jobs_steps.states(context, made)
        assert set(found.values()) == {state}, found


@behave.then("after {seconds:g} s all are still shown as succeeded")
@jobs_steps.paused
async def check_kept(context, seconds):
    await asyncio.sleep(seconds)
    await check_states(context, "succeeded")


def in_memory(context):
    held = [one.shards.holder("a") for one, _ in context.site.entries.values()]
    return sum(len(one.scheduler.ledger.records) for one in held if one is not None)


@behave.then("after {seconds:g} s more none is known, and no row or memory of them is left")
@jobs_steps.paused
async def check_gone(context, seconds):
    await asyncio.sleep(seconds)
    await check_states(context, "unknown-job")
    kinds = ("jobs/", "progress/", "inbox/")
    rows = [key for key in context.world.table.rows if key.startswith(kinds)]
    assert not rows, rows
    assert in_memory(context) == 0


@behave.when("a job is submitted every {interval_s:g} s for {seconds:g} s")
@jobs_steps.paused
async def submit_steadily(context, interval_s, seconds):
    context.most_jobs = 0
    for number in range(int(seconds / interval_s)):
        await jobs_steps.submit(context, number, jobs_steps.parse_steps("1"), "e0")
        context.most_jobs = max(context.most_jobs, in_memory(context))
        await asyncio.sleep(interval_s)


@behave.then("at no time more than {count:d} jobs were in memory")
def check_most(context, count):
    jobs_steps.judge(context)
    assert 0 < context.most_jobs <= count, context.most_jobs
