"""Check how much is on its way to workers, and by way of which entry."""

import asyncio
import collections
import contextlib

import behave
from nutmegshelf import fleetview, jobs, members, orders, scheduler, window
from nutmegshelf_entry import holder, sending

from features import jobsite
from features.steps import jobs_steps


@behave.given("a window of {rate:g} Mbit/s and {cores:g} cores and no other entry")
def make_window(context, rate, cores):
    context.outflow = window.StartRouter(window.Window(rate * 1e6 / 8, cores))
    context.outflow.update_entries([])


@behave.then(
    "of {count:d} starts with {size_kb:d} KB of specification {most:d} at most are on their way"
)
def check_window(context, count, size_kb, most):
    facts = jobsite.worker_facts(0)
    context.worker = fleetview.Worker(facts)
    context.made = jobsite.job(1, (jobs.Step(count=count),), spec="s" * (size_kb * 1000))
    context.routes = take_all(context, 0.0)
    assert 1 <= len(context.routes) <= most, context.routes


def take_all(context, now_s):
    taken = []
    while (route := context.outflow.route(context.made, "", context.worker, now_s)) is not None:
        context.outflow.reserve(context.made.job, route, now_s)
        taken.append(route)
    return taken


@behave.then("the next one goes out once one of them was answered and the link has sent them")
def check_next(context):
    for route in context.routes:
        context.outflow.release(route)
    assert not take_all(context, 0.0)
    assert take_all(context, 0.5)


@behave.when("a holder ends with {count:d} starts that were chosen and not sent")
@jobs_steps.paused
async def end_with_chosen(context, count):
    life = fleetview.Incarnation("w0", 1)
    ways = sending.Ways(context.outflow, None, list)
    service = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    sender = sending.Sending(service, {}, ways, pool="a", wake=lambda: None)
    route = orders.Route(None, 400)
    chosen = []
    for position in range(count):
        context.outflow.reserve("1", route, 0.0)
        key = jobs.TaskKey("1", 0, 0, position)
        chosen.append(orders.StartRun(life, key, 1, "s", "", route=route))
    with contextlib.suppress(ExceptionGroup):
        async with asyncio.TaskGroup() as group:
            sender.send(chosen, group)
            raise RuntimeError("the lease is lost")


@behave.then("the window holds nothing")
def check_window_empty(context):
    assert context.outflow.window.orders_in_flight == 0, context.outflow.window.orders_in_flight


@behave.given("a window of {rate:g} Mbit/s and {cores:g} cores and {count:d} other entries")
def make_window_with_carriers(context, rate, cores, count):
    context.outflow = window.StartRouter(window.Window(rate * 1e6 / 8, cores))
    context.outflow.update_entries(
        [
            members.EntryRow(entry=f"e{number}", zone="z", peer_address="", operator_address="")
            for number in range(count)
        ]
    )


@behave.when("starts of {size_bytes:d} bytes for one worker come until there is no room")
def fill_window(context, size_bytes):
    facts = jobsite.worker_facts(0)
    context.worker = fleetview.Worker(facts)
    context.made = jobsite.job(1, (jobs.Step(count=1),), spec="s" * size_bytes)
    context.routes = take_all(context, 0.0)


@behave.then("each of the other entries carries {count:d} of them")
def check_carriers(context, count):
    found = collections.Counter(route.forwarder for route in context.routes if route.forwarder)
    assert found == {f"e{number}": count for number in range(3)}, found


@behave.when("starts of one job with {size_kb:d} KB of specification come for {count:d} workers")
def start_at_workers(context, size_kb, count):
    context.made = jobsite.job(1, (jobs.Step(count=count),), spec="s" * (size_kb * 1000))
    context.routes = []
    for number in range(count):
        facts = jobsite.worker_facts(number)
        context.worker = fleetview.Worker(facts)
        route = context.outflow.route(context.made, "", context.worker, 0.0)
        if route is not None:
            context.outflow.reserve(context.made.job, route, 0.0)
            context.routes.append(route)


@behave.then("one other entry is told it and carries the starts that it has room for")
def check_told_once(context):
    carried = [route for route in context.routes if route.forwarder]
    told = [route for route in carried if route.includes_spec]
    first = [route for route in carried if route.forwarder == told[0].forwarder]
    # Four starts of 4 KB fill what one entry is given.
    assert len(first) == 4 and carried[:4] == first, carried
    assert [route.includes_spec for route in first] == [True, False, False, False], first


@behave.then("after a pass of {took_ms:g} ms the holder waits {gap_ms:g} ms")
def check_gap(context, took_ms, gap_ms):
    found_s = holder.pass_gap_s(took_ms / 1000)
    assert abs(found_s - gap_ms / 1000) < 1e-9, found_s
