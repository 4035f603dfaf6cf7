"""Steps that check how long ended jobs are kept, in the table and in memory."""

import asyncio

import behave
from nutmegshelf import jobs, platform

from features.steps import jobs_steps, malformed_row_steps


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


def on_deletion_queued(context, react):
    """Call `react` with the writer before the deletion of the job's rows is queued."""
    holder_writer = malformed_row_steps.get_holder(context).writer
    write, deletion = holder_writer.write, make_deletion(context)

    def react_and_write(*changes):
        if deletion in changes:
            react(write)
        write(*changes)

    holder_writer.write = react_and_write


def make_deletion(context):
    return platform.Write(jobs.job_key("a", context.made.job), None)


@behave.when(
    "its rows are deleted after {count:d} others, and the holder is killed as its own is deleted"
)
@jobs_steps.paused
async def kill_between(context, count):
    def queue_others(write):
        for number in range(count):
            write(platform.Write(jobs.job_key("a", f"e{number:015x}"), None))

    on_deletion_queued(context, queue_others)
    holder, deleted = context.site.holder_of("a"), asyncio.Event()
    view = context.site.views[holder]
    commit = view.commit

    async def commit_and_stop(transaction):
        committed = await commit(transaction)
        if make_deletion(context) in transaction.writes:
            deleted.set()
            await asyncio.sleep(1.0)
        return committed

    view.commit = commit_and_stop
    await deleted.wait()
    await context.site.kill(holder)


@behave.when("it is submitted again at the entry that is left")
@jobs_steps.paused
async def submit_again(context):
    ((service, _),) = context.site.entries.values()
    await service.job_router.submit(context.made)


@behave.then("within {seconds:g} s its task has started {count:d} times")
@jobs_steps.paused
async def check_starts(context, seconds, count):
    async def check():
        return context.world.starts[f"{context.made.job}.0.0.0"] == count or context.world.starts

    await jobs_steps.wait_until(seconds, check, "the starts")


@behave.when(
    "transactions take {seconds:g} s and it is submitted again as its rows are about to be deleted"
)
@jobs_steps.paused
async def submit_during_deletion(context, seconds):
    holder = context.site.holder_of("a")
    service, view = context.site.entries[holder][0], context.site.views[holder]
    commit, queued, sent = view.commit, asyncio.Event(), asyncio.Event()

    async def commit_slowly(transaction):
        sent.set()
        await asyncio.sleep(seconds)
        return await commit(transaction)

    def delay_until_next(write):
        view.commit = commit_slowly
        write(platform.Write("scratch/a/other", b""))
        queued.set()

    on_deletion_queued(context, delay_until_next)
    await queued.wait()
    await service.job_router.submit(context.made)
    await asyncio.sleep(3.0)


@behave.then("it doesn't run, or its row is stored")
@jobs_steps.paused
async def check_row(context):
    starts = context.world.starts[f"{context.made.job}.0.0.0"]
    row = context.world.table.read(jobs.job_key("a", context.made.job))
    assert starts == 1 or row.version, (starts, row)
