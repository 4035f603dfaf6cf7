"""Steps that submit bursts of jobs over slow links, and make entries that forward starts fail."""

import asyncio

import behave
from nutmegshelf import calls, exceptions, jobs

from features import jobsite, jobworld
from features.steps import jobs_steps


@behave.given(
    "{workers:d} workers of one service and {entries:d} entries, each with a link of"
    " {rate:g} Mbit/s"
)
@jobs_steps.paused
async def make_site_with_slow_links(context, workers, entries, rate):
    names = [f"e{number}" for number in range(entries)]
    context.world = jobworld.World({"a": workers})
    context.site = jobsite.Site(context.world)
    context.site.links_mbps = {name: rate for name in names}
    context.world.declare(jobsite.declare(jobsite.queue()))
    for name in names:
        context.site.start(name)
        context.site.workers[name].rate_bytes_s = rate * 1e6 / 8
    # Entries with slow links delay the acquisition of free leases.
    await asyncio.sleep(jobs_steps.START_S + 1.0)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with {size_kb:d} KB of specification are submitted"
    " within {seconds:g} s"
)
@jobs_steps.paused
async def submit_burst(context, count, tasks, size_kb, seconds):
    await submit_over_time(context, count, tasks, size_kb, seconds)


async def submit_over_time(context, count, tasks, size_kb, seconds):
    step = jobs.Step(count=tasks, cpu_millis=1000, memory_mb=100, estimate_ms=500)

    async def submit_one(number):
        await asyncio.sleep(number * seconds / count)
        spec = "s" * (size_kb * 1000)
        # Callers submit the same job again at another entry until they get an answer.
        for attempt in range(6):
            names = list(context.site.entries)
            entry = names[(number + attempt) % len(names)]
            try:
                return await jobs_steps.submit(context, number, (step,), entry, spec=spec)
            except exceptions.RequestError:
                await asyncio.sleep(1.0)
        raise AssertionError(f"job {number} was not accepted")

    context.all = await asyncio.gather(*(submit_one(number) for number in range(count)))


@behave.then("every start was answered")
def check_answered(context):
    unanswered = {name: workers.unanswered_starts for name, workers in context.site.workers.items()}
    assert not any(unanswered.values()), unanswered


def leave_out_outcomes(router):
    handle_call = router.handle_call

    async def handle_and_forget(call):
        reply = await handle_call(call)
        if isinstance(call, calls.ForwardStarts):
            return calls.Reply(status=calls.Status.NOT_HOLDER)
        return reply

    router.handle_call = handle_and_forget


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with {size_kb:d} KB of specification are submitted"
    " within {seconds:g} s, and {fault} after {after_s:g} s"
)
@jobs_steps.paused
async def submit_during_fault(context, count, tasks, size_kb, seconds, fault, after_s):
    holder = context.site.holder_of("a")
    forwarder = next(name for name in context.site.entries if name != holder)

    async def inject_fault():
        await asyncio.sleep(after_s)
        match fault:
            case "a forwarding entry is killed":
                await context.site.kill(forwarder)
            case "a forwarding entry restarts":
                await context.site.kill(forwarder)
                await asyncio.sleep(0.3)
                context.site.start(forwarder)
            case "answers of a forwarding entry are lost":
                context.site.net.dropping_answers.add(f"{forwarder}:3")
            case "a forwarding entry reports no outcomes":
                service, _ = context.site.entries[forwarder]
                leave_out_outcomes(service.job_router)
            case "a forwarding entry can't reach the workers":
                context.site.workers[forwarder].is_partitioned = True
            case "a forwarding entry does not know the workers":
                service, _ = context.site.entries[forwarder]
                service._forwarder.update_workers = lambda listed: None
                service._forwarder._facts = {}
            case "the holder loses its lease":
                service, _ = context.site.entries[holder]
                await service.lease_manager._stop_and_release("a")
            case "the holder is killed":
                await context.site.kill(holder)

    await asyncio.gather(inject_fault(), submit_over_time(context, count, tasks, size_kb, seconds))


@behave.then("other entries forwarded starts")
def check_forwarded(context):
    assert context.site.net.forwarded_starts > 0


@behave.then("no orders are in flight")
@jobs_steps.paused
async def check_none_in_flight(context):
    await asyncio.sleep(1.0)
    routers = [service._transport.router for service, _ in context.site.entries.values()]
    in_flight = [router.window.orders_in_flight for router in routers]
    in_flight += [entry.starts for router in routers for entry in router._forwarders.values()]
    assert not any(in_flight), in_flight
