"""Steps that lose the answers to acquisitions and releases of leases, and check who runs what."""

import asyncio

import behave
from nutmegshelf import codecs, leases, platform

from features import jobsite, jobworld
from features.steps import jobs_steps

START_S = 2.0


def get_lease(row_or_write):
    return codecs.unpack(row_or_write.value, leases.LeaseRow)


def writes_lease(transaction, pool, is_wanted):
    return any(
        write.key == leases.key(pool) and write.value is not None and is_wanted(get_lease(write))
        for write in transaction.writes
    )


def is_acquired(lease):
    return lease.holder is not None and lease.beat == 0


def is_released(lease):
    return lease.holder is None


def lose(view, count, pool, is_wanted, when):
    view.lost_answers = count
    view.is_unanswered = lambda transaction: writes_lease(transaction, pool, is_wanted)
    match when.split():
        case ["at", "once"]:
            pass
        case ["never"]:
            view.drops_unanswered = True
        case [seconds, *_]:
            view.apply_delay_s = float(seconds)


@behave.when(
    'the answers to the next {count:d} acquisitions of "{pool}" are lost and {when} carried out'
)
def lose_acquisitions(context, count, pool, when):
    holder = context.site.holder_of(pool)
    (left,) = set(context.site.entries) - {holder}
    context.left = left
    context.sent_s = []
    view = context.site.views[left]
    lose(view, count, pool, is_acquired, when)
    commit = view.commit

    async def record_commit(transaction):
        if writes_lease(transaction, pool, is_acquired):
            context.sent_s.append(jobs_steps.get_time_s())
        return await commit(transaction)

    view.commit = record_commit


@behave.when('the entry that holds "{pool}" is killed')
@jobs_steps.paused
async def kill_holder(context, pool):
    await context.site.kill(context.site.holder_of(pool))


@behave.given(
    "{workers:d} workers of one service and an entry whose acquisitions of leases get no answer"
    " at first"
)
@jobs_steps.paused
async def start_unanswered(context, workers):
    context.world = jobworld.World({"a": workers})
    context.site = jobsite.Site(context.world)
    context.world.declare(jobsite.declare(jobsite.queue()))
    context.site.start("e0")
    context.left = "e0"
    lose(context.site.views["e0"], 1, "a", is_acquired, "at once")
    await asyncio.sleep(START_S)
    assert not context.site.views["e0"].lost_answers


@behave.when("its holder fails and the release of its lease {what}")
@jobs_steps.paused
async def fail_holder(context, what):
    (context.left,) = context.site.entries
    service, _ = context.site.entries[context.left]
    when = {
        "gets no answer": "at once",
        "is never carried out": "never",
        "is carried out late": "2.5 s late",
    }[what]
    # All attempts to release it get no answer.
    lose(context.site.views[context.left], 3, "a", is_released, when)
    holder = service.lease_manager.get_holder("a")

    def fail(*args):
        raise ZeroDivisionError("unexpected")

    holder.scheduler.tick = fail
    await asyncio.sleep(1.5)


@behave.when('the entry drops the lease of "{pool}"')
def drop_lease(context, pool):
    (context.left,) = context.site.entries
    service, _ = context.site.entries[context.left]
    service.lease_manager._lease_set.drop(pool)


def describe_mismatch(context, name, pool):
    """Return how an entry's holder of a pool differs from the table's row, or None."""
    lease = get_lease(context.world.table.read(leases.key(pool)))
    service, _ = context.site.entries[name]
    holder = service.lease_manager.get_holder(pool)
    epoch = holder.epoch if holder is not None else None
    if lease.holder == name and lease.incarnation == service.incarnation and lease.epoch == epoch:
        return None
    return f"row: {lease}, holder: {epoch}"


@behave.then(
    'within {seconds:g} s the entry that is left runs the holder of "{pool}" in the row\'s epoch'
)
@jobs_steps.paused
async def check_holder(context, seconds, pool):
    async def check():
        return describe_mismatch(context, context.left, pool) or True

    await jobs_steps.wait_until(seconds, check, "holder")


@behave.when('the row of the lease of "{pool}" is deleted')
def delete_row(context, pool):
    write = platform.Write(leases.key(pool), None)
    context.world.table.apply(platform.Transaction(writes=(write,)))


@behave.then("within {seconds:g} s the service is held again, and both entries watch the leases")
@jobs_steps.paused
async def check_held(context, seconds):
    async def check():
        holder = context.site.holder_of("a")
        return holder is not None and describe_mismatch(context, holder, "a") is None

    await asyncio.sleep(1.0)
    await jobs_steps.wait_until(seconds, check, "holder")
    for service, _ in context.site.entries.values():
        assert service.lease_manager._lease_set.holder("a") is not None


@behave.then("the age of the next holder's lease counts from before the first write was sent")
@jobs_steps.paused
async def check_age(context):
    service, _ = context.site.entries[context.left]

    async def is_running():
        return service.lease_manager.get_holder("a") is not None

    await jobs_steps.wait_until(10, is_running, "holder")
    holder = service.lease_manager.get_holder("a")
    assert holder._acquired_s <= context.sent_s[0], (holder._acquired_s, context.sent_s)
