"""Steps that check how long ended jobs are kept, in the table and in memory."""

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
    for job in context.all:
        states = await jobs_steps.get_states(context, job)
        assert set(states.values()) == {state}, states


@behave.then("after {seconds:g} s all are still shown as succeeded")
@jobs_steps.paused
async def check_kept(context, seconds):
    await asyncio.sleep(seconds)
    await check_states(context, "succeeded")


def count_jobs_in_memory(context):
    holders = [
        service.lease_manager.get_holder("a") for service, _ in context.site.entries.values()
    ]
    return sum(len(holder.scheduler.registry.records) for holder in holders if holder is not None)


@behave.then("after {seconds:g} s more none is known, and no row or memory of them is left")
@jobs_steps.paused
async def check_gone(context, seconds):
    await asyncio.sleep(seconds)
    await check_states(context, "unknown-job")
    kinds = ("jobs/", "progress/", "inbox/")
    rows = [key for key in context.world.table.rows if key.startswith(kinds)]
    assert not rows, rows
    assert count_jobs_in_memory(context) == 0


@behave.when("a job is submitted every {interval_s:g} s for {seconds:g} s")
@jobs_steps.paused
async def submit_steadily(context, interval_s, seconds):
    context.max_jobs = 0
    for number in range(int(seconds / interval_s)):
        await jobs_steps.submit(context, number, jobs_steps.parse_steps("1"), "e0")
        context.max_jobs = max(context.max_jobs, count_jobs_in_memory(context))
        await asyncio.sleep(interval_s)


@behave.then("at no time more than {count:d} jobs were in memory")
def check_max_jobs(context, count):
    jobs_steps.check_no_violations(context)
    assert 0 < context.max_jobs <= count, context.max_jobs
