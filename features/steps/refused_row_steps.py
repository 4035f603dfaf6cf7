"""Steps on rows and transactions that are too large for the table."""

import asyncio

import behave
from nutmegshelf import exceptions

from features.steps import jobs_steps, malformed_row_steps

LARGE_JOB = 90


@behave.given("the table refuses rows over 65536 bytes and transactions over 1 MB")
def limit_sizes(context):
    context.world.table.has_size_limits = True


async def submit_others(context, count):
    context.others = [
        await jobs_steps.submit(context, number, jobs_steps.parse_steps("2"), "e0")
        for number in range(count)
    ]


@behave.when("a job of {size:d} bytes is submitted at each entry beside {count:d} others")
@jobs_steps.paused
async def submit_large(context, size, count):
    async def submit_at(entry):
        try:
            await jobs_steps.submit(
                context, LARGE_JOB, jobs_steps.parse_steps("1"), entry, spec="x" * size
            )
        except exceptions.RequestError as error:
            return error.kind
        return None

    large = [asyncio.ensure_future(submit_at(entry)) for entry in context.site.entries]
    await submit_others(context, count)
    context.kinds = await asyncio.gather(*large)


@behave.then("it is rejected as too large at each entry")
def check_rejected(context):
    assert set(context.kinds) == {exceptions.ErrorKind.BODY_TOO_LARGE}, context.kinds


@behave.then("within {seconds:g} s the other jobs are shown as succeeded")
@jobs_steps.paused
async def check_others(context, seconds):
    for job in context.others:
        await jobs_steps.wait_until(
            seconds, jobs_steps.has_state(context, job, "succeeded"), f"state of {job.job}"
        )


@behave.when("the {part} of a running job grow beyond a row beside {count:d} others")
@jobs_steps.paused
async def grow(context, part, count):
    fields = {"occurrences": 2, "first_due_ms": 1, "interval_ms": 10_000_000_000_000}
    context.large = await jobs_steps.submit(
        context, LARGE_JOB, jobs_steps.parse_steps("2"), "e0", **fields
    )
    await submit_others(context, count)
    await asyncio.sleep(0.5)
    registry = malformed_row_steps.get_holder(context).scheduler.registry
    record = registry.records[context.large.job]
    if part == "checkpoints":
        record.progress.steps[0][0].checkpoints[1] = "x" * 70_000
    else:
        record.progress.finished.update(range(2, 30_000))
    registry.mark_dirty(record)


@behave.then("the large job is shown as failed")
@jobs_steps.paused
async def check_failed(context):
    await jobs_steps.wait_until(2, jobs_steps.has_state(context, context.large, "failed"), "state")


@behave.then("a takeover starts no task of the large job")
@jobs_steps.paused
async def check_takeover(context):
    starts = {name: n for name, n in context.world.starts.items() if context.large.job in name}
    await context.site.kill(context.site.holder_of("a"))
    await asyncio.sleep(8.0)
    now = {name: n for name, n in context.world.starts.items() if context.large.job in name}
    assert now == starts, (starts, now)


@behave.when("{count:d} running jobs change at once by {size:d} bytes each")
@jobs_steps.paused
async def change_many(context, count, size):
    await submit_others(context, count)
    await asyncio.sleep(0.5)
    registry = malformed_row_steps.get_holder(context).scheduler.registry
    for job in context.others:
        record = registry.records[job.job]
        record.progress.steps[0][0].checkpoints[1] = "x" * size
        registry.mark_dirty(record)


@behave.then("the table refused no transaction")
def check_refusals(context):
    assert not context.world.table.refused_transactions, context.world.table.refused_transactions
