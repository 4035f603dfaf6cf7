"""Pause a holder between the choice of its orders and their sending."""

import asyncio

import behave

from features import jobsite
from features.steps import jobs_steps


def get_holder(context):
    service, _ = context.site.entries[context.site.holder_of("a")]
    return service.lease_manager.get_holder("a")


def pause(seconds):
    """Advance the time while no task runs, as when the process is stopped."""
    asyncio.get_running_loop()._simulated_selector.now_s += seconds


@behave.given("the holder's calls to workers are recorded with the age of its lease")
def record_calls(context):
    holder = get_holder(context)
    client = context.site.workers[context.site.holder_of("a")]
    context.calls = []

    def record(name):
        send = getattr(client, name)

        async def call(*args, **kwargs):
            context.calls.append((name, holder.writer.lease_age_s))
            return await send(*args, **kwargs)

        setattr(client, name, call)

    for name in ("start", "stop", "poll"):
        record(name)


@behave.when("the holder is paused for {seconds:g} s after it chose {orders}")
@jobs_steps.paused
async def pause_holder(context, seconds, orders):
    holder = get_holder(context)
    job = jobsite.job(1, jobs_steps.parse_steps("8"))
    context.world.jobs[job.job] = job
    holder._add(job, jobs_steps.get_time_s())
    if orders == "stops":
        await asyncio.sleep(1.0)
        for task in holder.scheduler.registry.records[job.job].iterate_tasks():
            holder.scheduler.request_stop(task)
    context.calls.clear()
    holder._run_pass()
    assert not context.calls, context.calls
    pause(seconds)


@behave.then(
    "for {seconds:g} s no call to a worker is sent while the lease is older than {limit:g} s"
)
@jobs_steps.paused
async def check_calls(context, seconds, limit):
    await asyncio.sleep(seconds)
    outdated = [call for call in context.calls if call[1] > limit]
    assert not outdated, outdated


@behave.then("within {seconds:g} s each of its {count:d} tasks runs")
@jobs_steps.paused
async def check_running(context, seconds, count):
    async def check():
        running = [name for minion in context.world.minions.values() for name in minion.runs]
        return len(running) == count or running

    await jobs_steps.wait_until(seconds, check, "runs")
    jobs_steps.check_no_violations(context)
