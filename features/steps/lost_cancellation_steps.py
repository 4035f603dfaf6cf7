"""Steps that kill a holder right after it removed the notice of a cancellation."""

import asyncio
import contextlib

import behave
from nutmegshelf import jobs, platform

from features.steps import jobs_steps, malformed_row_steps


@behave.when("its cancellation is noted while {count:d} rows of ended jobs are deleted")
@jobs_steps.paused
async def note_cancellation(context, count):
    await asyncio.sleep(0.5)
    notice = jobs.Notice(job=context.made.job, service="a", cancels=True)
    context.notice_key = jobs.notice_key(notice)
    context.removed = asyncio.Event()
    view = context.site.views[context.site.holder_of("a")]
    commit = view.commit

    async def commit_and_stop(transaction):
        committed = await commit(transaction)
        if platform.Write(context.notice_key, None) in transaction.writes:
            context.removed.set()
            await asyncio.sleep(1.0)
        return committed

    view.commit = commit_and_stop
    holder = malformed_row_steps.get_holder(context)
    for number in range(count):
        holder.writer.write(platform.Write(jobs.job_key("a", f"e{number:015x}"), None))
    row = context.world.table.read(jobs.job_key("a", context.made.job))
    context.world.table.apply(jobs.build_cancellation(context.made, row.version))
    holder.notify(notice)


@behave.when("the holder is killed as soon as the notice is removed, or after {seconds:g} s")
@jobs_steps.paused
async def kill_holder(context, seconds):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await context.removed.wait()
    await context.site.kill(context.site.holder_of("a"))


@behave.then("within {seconds:g} s no notice is left")
@jobs_steps.paused
async def check_notices(context, seconds):
    async def check():
        return not context.world.table.read(context.notice_key).version

    await jobs_steps.wait_until(seconds, check, "the notice is removed")


@behave.when("the row of its progress becomes malformed after {seconds:g} s")
@jobs_steps.paused
async def spoil_progress(context, seconds):
    await asyncio.sleep(seconds)
    context.progress_row = context.world.table.read(jobs.progress_key("a", context.made.job))
    malformed_row_steps.store_malformed(context, context.progress_row.key)


@behave.when("it is cancelled after {seconds:g} s at the entry that is left")
@jobs_steps.paused
async def cancel_at_left(context, seconds):
    await asyncio.sleep(seconds)
    ((service, _),) = context.site.entries.values()
    await service.job_router.cancel(context.made.queue, context.made.job)
    await asyncio.sleep(1.0)


@behave.when("the row of its progress is restored and another entry takes over")
@jobs_steps.paused
async def restore_progress(context):
    row = context.progress_row
    write = platform.Write(row.key, row.value if row.version else None)
    context.world.table.apply(platform.Transaction(writes=(write,)))
    former = context.site.holder_of("a")
    context.site.start("e9")
    await asyncio.sleep(1.0)
    await context.site.kill(former)
