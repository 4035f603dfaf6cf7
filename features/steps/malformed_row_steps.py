"""Store malformed rows, and make services of an entry fail with unexpected errors."""

import asyncio

import behave
from nutmegshelf import exceptions, jobs, platform

from features.steps import jobs_steps


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
