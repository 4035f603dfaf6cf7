"""Store malformed rows, and make services of an entry fail with unexpected errors."""

import asyncio

import behave
from nutmegshelf import codecs, exceptions, jobs, platform
from nutmegshelf import registry as jobs_registry

from features import jobsite
from features.steps import jobs_steps

BAD_JOB = 50


def store_malformed(context, key):
    context.world.table.apply(platform.Transaction(writes=(platform.Write(key, b"\xc1"),)))


@behave.when('a malformed row "{key}" is stored')
@jobs_steps.paused
async def store_row(context, key):
    store_malformed(context, key)
    await asyncio.sleep(2.5)


@behave.when('after {seconds:g} s the holder is killed and a malformed row "{key}" is stored')
@jobs_steps.paused
async def kill_and_store_row(context, seconds, key):
    await asyncio.sleep(seconds)
    await context.site.kill(context.site.holder_of("a"))
    store_malformed(context, key)


@behave.then("no entry has ended")
def check_entries(context):
    ended = [name for name, (_, task) in context.site.entries.items() if task.done()]
    assert not ended, ended
    jobs_steps.check_no_violations(context)


@behave.when("the row of its progress becomes malformed")
def spoil_progress(context):
    store_malformed(context, jobs.progress_key("a", context.made.job))
    context.starts = dict(context.world.starts)


@behave.when("after {seconds:g} s it is submitted again")
@jobs_steps.paused
async def submit_again(context, seconds):
    await asyncio.sleep(seconds)
    (name,) = context.site.entries
    service, _ = context.site.entries[name]
    await service.job_router.submit(context.made)


@behave.then("for {seconds:g} s no task of it starts again")
@jobs_steps.paused
async def check_not_started(context, seconds):
    await asyncio.sleep(seconds)
    assert dict(context.world.starts) == context.starts, context.world.starts


@behave.then("it is shown as unreadable")
@jobs_steps.paused
async def check_unreadable(context):
    states = await jobs_steps.get_states(context, context.made)
    unreadable = exceptions.ErrorKind.JOB_UNREADABLE.value
    assert set(states.values()) == {unreadable}, states


@behave.when("the {name} fails once with an unexpected error")
@jobs_steps.paused
async def fail_service(context, name):
    (service, _), view = context.site.entries["e0"], context.site.views["e0"]
    owner, method = {
        "watch of the fleet": (service._forwarder, "update_workers"),
        "watch of the inbox": (view, "wait_for_changes"),
        "report of demand": (service.job_router, "call_holder"),
        "heartbeats": (view, "scan"),
        "watch of leases": (service.lease_manager, "_apply_lease_rows"),
    }[name]
    call = getattr(owner, method)
    context.has_failed = False

    def fail_once(*args, **kwargs):
        if not context.has_failed:
            context.has_failed = True
            raise ZeroDivisionError("unexpected")
        return call(*args, **kwargs)

    setattr(owner, method, fail_once)
    if name == "watch of the fleet":
        context.world.add_host("a", "h99", "r0")
    await asyncio.sleep(3.0)
    assert context.has_failed


def get_holder(context):
    service, _ = context.site.entries[context.site.holder_of("a")]
    return service.lease_manager.get_holder("a")


def fail_for(owner, method, is_affected):
    """Make a method raise where its arguments are affected."""
    call = getattr(owner, method)

    def run(*args, **kwargs):
        if any(is_affected(argument) for argument in args):
            raise ZeroDivisionError("unexpected")
        return call(*args, **kwargs)

    setattr(owner, method, run)


@behave.when("the {what} of one job raise an unexpected error")
def fail_job(context, what):
    context.bad_job = f"{BAD_JOB:016x}"
    service = get_holder(context).scheduler
    owner, method = {
        "reported ends": (service.registry, "finish_task"),
        "reported runs": (service.registry, "save_checkpoint"),
        "starts": (service._starter, "_start_job"),
        "due occurrences": (service.registry, "open_due_occurrences"),
    }[what]

    def is_affected(argument):
        return isinstance(argument, jobs_registry.JobRecord) and (
            argument.job.job == context.bad_job and argument.occurrences
        )

    fail_for(owner, method, is_affected)


@behave.when("that job is submitted beside {count:d} others")
@jobs_steps.paused
async def submit_beside(context, count):
    fields = {"occurrences": 2, "first_due_ms": 1, "interval_ms": 1}
    steps = jobs_steps.parse_steps("2")
    context.bad = await jobs_steps.submit(context, BAD_JOB, steps, "e0", **fields)
    context.others = [
        await jobs_steps.submit(context, number, jobs_steps.parse_steps("2, 1 after 0"), "e0")
        for number in range(count)
    ]


@behave.then("within {seconds:g} s the other jobs are shown as succeeded and that job as failed")
@jobs_steps.paused
async def check_others(context, seconds):
    for job, state in [
        *((other, "succeeded") for other in context.others),
        (context.bad, "failed"),
    ]:
        await jobs_steps.wait_until(seconds, jobs_steps.has_state(context, job, state), "states")


@behave.then("the service is still held in epoch {epoch:d}")
def check_epoch(context, epoch):
    assert get_holder(context).epoch == epoch, get_holder(context).epoch


@behave.when("a job is stored whose progress lacks a step")
def store_short_progress(context):
    job = jobsite.job(BAD_JOB, jobs_steps.parse_steps("2, 2 after 0"))
    progress = jobs.Progress(job=job.job, steps={0: [jobs.StepProgress()]})
    for key, value in (
        (jobs.job_key("a", job.job), job),
        (jobs.progress_key("a", job.job), progress),
    ):
        write = platform.Write(key, codecs.pack_unordered(value))
        context.world.table.apply(platform.Transaction(writes=(write,)))


@behave.when("the next {count:d} reports of workers raise an unexpected error")
@jobs_steps.paused
async def fail_reports(context, count):
    left = iter(range(count))
    fail_for(get_holder(context).scheduler, "apply_report", lambda _: next(left, None) is not None)
    # An idle worker reports every 2 s.
    await asyncio.sleep(3.0)
    assert next(left, None) is None
