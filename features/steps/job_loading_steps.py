"""Steps that change, delay or fail the stored rows of a service while a new holder loads them."""

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
    job = context.made = jobsite.job(3, jobs_steps.parse_steps("1"))
    context.world.jobs[job.job] = job

    async def store_job(prefix):
        # The job is stored just after these rows were read, and loading takes 0.5 s longer.
        if prefix.startswith(f"{kind}/") and job.job not in str(context.world.table.rows):
            context.world.table.apply(jobs.build_submission(job))
            await asyncio.sleep(0.5)

    context.site.views[name].on_scan = store_job
    await asyncio.sleep(4.0)


@behave.given("each scan of the table takes {seconds:g} s")
def delay_scans(context, seconds):
    for view in context.site.views.values():
        view.scan_delay_s = seconds


@behave.then("the service was taken over once")
def check_one_takeover(context):
    (holder,) = [
        service.lease_manager.get_holder("a")
        for service, _ in context.site.entries.values()
        if service.lease_manager.get_holder("a") is not None
    ]
    assert holder.epoch == 2, holder.epoch


@behave.when("the holder is killed and the next one fails to read rows")
@jobs_steps.paused
async def kill_and_fail_scans(context):
    await context.site.kill(context.site.holder_of("a"))
    for name in context.site.entries:
        context.site.views[name].fails_scans = True

    async def is_acquired():
        return context.site.holder_of("a") is not None

    await jobs_steps.wait_until(6, is_acquired, "lease acquired")
    holder = context.site.holder_of("a")
    for name in context.site.entries:
        context.site.views[name].fails_scans = name == holder


@behave.when("the holder is killed, and a job is stored and cancelled before the next one loads")
@jobs_steps.paused
async def store_and_cancel_job(context):
    await context.site.kill(context.site.holder_of("a"))
    (name,) = context.site.entries
    job = context.cancelled_job = await jobs_steps.submit(
        context, 9, jobs_steps.parse_steps("1"), name
    )
    service, _ = context.site.entries[name]
    await service.job_router.cancel(job.queue, job.job)


@behave.when("{count:d} jobs are stored while it loads and each row takes {seconds:g} s to read")
def store_jobs_while_loading(context, count, seconds):
    (view,) = [context.site.views[name] for name in context.site.entries]
    view.read_delay_s = seconds

    async def store_jobs(prefix):
        if prefix.startswith(f"{jobs.JOBS}/a"):
            for number in range(1, count + 1):
                job = jobsite.job(number, jobs_steps.parse_steps("1"))
                context.world.jobs[job.job] = job
                context.world.table.apply(jobs.build_submission(job))

    view.on_scan = store_jobs


@behave.then("within {seconds:g} s the cancelled job is shown as cancelled")
@jobs_steps.paused
async def check_cancelled(context, seconds):
    check = jobs_steps.has_state(context, context.cancelled_job, "cancelled")
    await jobs_steps.wait_until(seconds, check, "states")


@behave.then("no task of the cancelled job started")
def check_none_started(context):
    name = context.cancelled_job.job
    started = [task for task in context.world.starts if task.startswith(name)]
    assert not started, started


@behave.given("reads of single rows take {seconds:g} s")
def delay_reads(context, seconds):
    for view in context.site.views.values():
        view.read_delay_s = seconds


@behave.when(
    "{count:d} jobs are stored with notices to the holder and cancelled {after_s:g} s later"
)
@jobs_steps.paused
async def store_and_cancel_jobs(context, count, after_s):
    table = context.world.table
    stored = [jobsite.job(number, jobs_steps.parse_steps("1")) for number in range(count)]
    for job in stored:
        context.world.jobs[job.job] = job
        table.apply(jobs.build_submission(job))
    await asyncio.sleep(after_s)
    for job in stored:
        version = table.read(jobs.job_key(job.service, job.job)).version
        table.apply(jobs.build_cancellation(job, version))


@behave.then("for {seconds:g} s none of them starts")
@jobs_steps.paused
async def check_no_start(context, seconds):
    await asyncio.sleep(seconds)
    assert not context.world.starts, context.world.starts
