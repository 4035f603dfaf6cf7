"""Run turns over slow links, and strike the entries that carry starts."""

import asyncio

import behave
from nutmegshelf import exceptions, jobs

from features import jobsite, jobworld
from features.steps import jobs_steps


@behave.given(
    "{workers:d} workers of one service and {entries:d} entries, each with a link of"
    " {rate:g} Mbit/s"
)
@jobs_steps.paused
async def make_slow_site(context, workers, entries, rate):
    names = [f"e{number}" for number in range(entries)]
    context.world = jobworld.World({"a": workers})
    context.site = jobsite.Site(context.world)
    context.site.links_mbps = {name: rate for name in names}
    context.world.declare(jobsite.declare(jobsite.queue()))
    for name in names:
        context.site.start(name)
        context.site.workers[name].rate_bytes_s = rate * 1e6 / 8
    # With slow links only, leases are taken later.
    await asyncio.sleep(jobs_steps.START_S + 1.0)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with {size_kb:d} KB of specification come within"
    " {seconds:g} s"
)
@jobs_steps.paused
async def submit_large(context, count, tasks, size_kb, seconds):
    await submit_spread(context, count, tasks, size_kb, seconds)


async def submit_spread(context, count, tasks, size_kb, seconds):
    step = jobs.Step(count=tasks, cpu_millis=1000, memory_mb=100, estimate_ms=500)

    async def come(number):
        await asyncio.sleep(number * seconds / count)
        spec = "s" * (size_kb * 1000)
        # Callers hand the same job in again at another entry while they have no answer.
        for attempt in range(6):
            names = list(context.site.entries)
            entry = names[(number + attempt) % len(names)]
            try:
                return await jobs_steps.submit(context, number, (step,), entry, spec=spec)
            except exceptions.RequestError:
                await asyncio.sleep(1.0)
        raise AssertionError(f"job {number} was not accepted")

    context.all = await asyncio.gather(*(come(number) for number in range(count)))


@behave.then("every start was answered")
def check_answered(context):
    found = {name: one.unanswered_starts for name, one in context.site.workers.items()}
    assert not any(found.values()), found


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with {size_kb:d} KB of specification come within"
    " {seconds:g} s, and {fault} after {after_s:g} s"
)
@jobs_steps.paused
async def submit_and_strike(context, count, tasks, size_kb, seconds, fault, after_s):
    holder = context.site.holder_of("a")
    other = next(name for name in context.site.entries if name != holder)

    async def strike():
        await asyncio.sleep(after_s)
        match fault:
            case "an entry that carries is killed":
                await context.site.kill(other)
            case "an entry that carries starts again":
                await context.site.kill(other)
                await asyncio.sleep(0.3)
                context.site.start(other)
            case "answers of an entry get lost":
                context.site.net.dropping_answers.add(f"{other}:3")
            case "an entry can't reach the workers":
                context.site.workers[other].is_partitioned = True
            case "an entry does not know the workers":
                service, _ = context.site.entries[other]
                service._forwarder.update_workers = lambda listed: None
                service._forwarder._facts = {}
            case "the holder loses its lease":
                service, _ = context.site.entries[holder]
                await service.lease_manager._release("a")
            case "the holder is killed":
                await context.site.kill(holder)

    await asyncio.gather(strike(), submit_spread(context, count, tasks, size_kb, seconds))


@behave.then("other entries carried starts")
def check_carried(context):
    assert context.site.net.forwarded_starts > 0


@behave.then("nothing is on its way any more")
@jobs_steps.paused
async def check_settled(context):
    await asyncio.sleep(1.0)
    ways = [service._transport.router for service, _ in context.site.entries.values()]
    left = [one.window.orders_in_flight for one in ways]
    left += [each.starts for one in ways for each in one._forwarders.values()]
    assert not any(left), left
