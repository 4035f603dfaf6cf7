"""Strike a service while its next holder loads what is stored."""

import asyncio

import behave
from nutmegshelf import jobs

from features import jobsite
from features.steps import jobs_steps


@behave.when(
    "the holder is killed and a job is stored by another entry after the {kind} were loaded"
)
@jobs_steps.paused
async def store_while_loading(context, kind):
    await context.site.kill(context.site.holder_of("a"))
    (name,) = context.site.entries
    made = context.made = jobsite.job(3, jobs_steps.parse_steps("1"))
    context.world.jobs[made.job] = made

    async def scanned(prefix):
        # The job comes just after these rows were read, and loading goes on for a while.
        if prefix.startswith(f"{kind}/") and made.job not in str(context.world.table.rows):
            context.world.table.apply(jobs.build_submission(made))
            await asyncio.sleep(0.5)

    context.site.views[name].on_scan = scanned
    await asyncio.sleep(4.0)


@behave.given("the table takes {seconds:g} s to send the rows of a kind")
def slow_scans(context, seconds):
    for view in context.site.views.values():
        view.scan_delay_s = seconds


@behave.then("the service changed hands once")
def check_epoch(context):
    (held,) = [
        one.lease_manager.get_holder("a")
        for one, _ in context.site.entries.values()
        if one.lease_manager.get_holder("a") is not None
    ]
    assert held.epoch == 2, held.epoch


@behave.when("the holder is killed and the next one can't read rows")
@jobs_steps.paused
async def kill_and_fail_scans(context):
    await context.site.kill(context.site.holder_of("a"))
    for name in context.site.entries:
        context.site.views[name].fails_scans = True

    async def taken():
        return context.site.holder_of("a") is not None

    await jobs_steps.wait_until(6, taken, "taken")
    holder = context.site.holder_of("a")
    for name in context.site.entries:
        context.site.views[name].fails_scans = name == holder


@behave.when("the holder is killed, and a job is stored and cancelled before the next one loads")
@jobs_steps.paused
async def store_and_cancel(context):
    await context.site.kill(context.site.holder_of("a"))
    (name,) = context.site.entries
    made = context.cancelled = await jobs_steps.submit(
        context, 9, jobs_steps.parse_steps("1"), name
    )
    service, _ = context.site.entries[name]
    await service.job_router.cancel(made.queue, made.job)


@behave.when("{count:d} jobs are stored while it loads and a row takes {seconds:g} s to read")
def store_more(context, count, seconds):
    (view,) = [context.site.views[name] for name in context.site.entries]
    view.read_delay_s = seconds

    async def scanned(prefix):
        if prefix.startswith(f"{jobs.JOBS}/a"):
            for number in range(1, count + 1):
                made = jobsite.job(number, jobs_steps.parse_steps("1"))
                context.world.jobs[made.job] = made
                context.world.table.apply(jobs.build_submission(made))

    view.on_scan = scanned


@behave.then("within {seconds:g} s the cancelled job is shown as cancelled")
@jobs_steps.paused
async def check_cancelled(context, seconds):
    check = jobs_steps.has_state(context, context.cancelled, "cancelled")
    await jobs_steps.wait_until(seconds, check, "states")


@behave.then("no task of the cancelled job started")
def check_none_started(context):
    job = context.cancelled.job
    started = [task for task in context.world.starts if task.startswith(job)]
    assert not started, started


@behave.given("reads of single rows take {seconds:g} s")
def slow_reads(context, seconds):
    for view in context.site.views.values():
        view.read_delay_s = seconds


@behave.when("{count:d} jobs are stored for their holder and cancelled {after_s:g} s later")
@jobs_steps.paused
async def store_and_cancel(context, count, after_s):
    table = context.world.table
    made = [jobsite.job(number, jobs_steps.parse_steps("1")) for number in range(count)]
    for one in made:
        context.world.jobs[one.job] = one
        table.apply(jobs.build_submission(one))
    await asyncio.sleep(after_s)
    for one in made:
        version = table.read(jobs.job_key(one.service, one.job)).version
        table.apply(jobs.build_cancellation(one, version))


@behave.then("for {seconds:g} s none of them starts")
@jobs_steps.paused
async def check_no_start(context, seconds):
    await asyncio.sleep(seconds)
    assert not context.world.starts, context.world.starts
