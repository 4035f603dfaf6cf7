"""Check how many orders are in flight to workers, and which entry sends them."""

import asyncio
import collections
import contextlib

import behave
from nutmegshelf import fleetview, jobs, members, orders, scheduler, window
from nutmegshelf_entry import holder, sender

from features import jobsite
from features.steps import jobs_steps


@behave.given("a window of {rate:g} Mbit/s and {cores:g} cores and no other entry")
def make_window(context, rate, cores):
    context.router = window.StartRouter(window.Window(rate * 1e6 / 8, cores))
    context.router.update_entries([])


@behave.then(
    "of {count:d} starts with {size_kb:d} KB of specification at most {max_count:d} are in flight"
)
def check_window(context, count, size_kb, max_count):
    facts = jobsite.worker_facts(0)
    context.worker = fleetview.Worker(facts)
    context.made = jobsite.job(1, (jobs.Step(count=count),), spec="s" * (size_kb * 1000))
    context.routes = reserve_all(context, 0.0)
    assert 1 <= len(context.routes) <= max_count, context.routes


def reserve_all(context, now_s):
    routes = []
    while (route := context.router.route(context.made, "", context.worker, now_s)) is not None:
        context.router.reserve(context.made.job, route, now_s)
        routes.append(route)
    return routes


@behave.then("another start is sent once one of them was answered and the link has sent them")
def check_next(context):
    for route in context.routes:
        context.router.release(route)
    assert not reserve_all(context, 0.0)
    assert reserve_all(context, 0.5)


@behave.when("a holder ends with {count:d} starts that were chosen and not sent")
@jobs_steps.paused
async def end_with_chosen(context, count):
    incarnation = fleetview.Incarnation("w0", 1)
    ways = sender.Transport(context.router, None, list)
    held = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    order_sender = sender.OrderSender(held, {}, ways, pool="a", wake=lambda: None)
    route = orders.Route(None, 400)
    chosen = []
    for position in range(count):
        context.router.reserve("1", route, 0.0)
        key = jobs.TaskKey("1", 0, 0, position)
        chosen.append(orders.StartRun(incarnation, key, 1, "s", "", route=route))
    with contextlib.suppress(ExceptionGroup):
        async with asyncio.TaskGroup() as group:
            order_sender.send(chosen, group)
            raise RuntimeError("the lease is lost")


@behave.then("the window is empty")
def check_window_empty(context):
    assert context.router.window.orders_in_flight == 0, context.router.window.orders_in_flight


@behave.given("a window of {rate:g} Mbit/s and {cores:g} cores and {count:d} other entries")
def make_window_with_forwarders(context, rate, cores, count):
    context.router = window.StartRouter(window.Window(rate * 1e6 / 8, cores))
    context.router.update_entries(
        [
            members.EntryRow(entry=f"e{number}", zone="z", peer_address="", operator_address="")
            for number in range(count)
        ]
    )


@behave.when("starts of {size_bytes:d} bytes for one worker are chosen until the window is full")
def fill_window(context, size_bytes):
    facts = jobsite.worker_facts(0)
    context.worker = fleetview.Worker(facts)
    context.made = jobsite.job(1, (jobs.Step(count=1),), spec="s" * size_bytes)
    context.routes = reserve_all(context, 0.0)


@behave.then("each of the other entries forwards {count:d} of them")
def check_forwarders(context, count):
    counts = collections.Counter(route.forwarder for route in context.routes if route.forwarder)
    assert counts == {f"e{number}": count for number in range(3)}, counts


@behave.when(
    "starts of one job with {size_kb:d} KB of specification are chosen for {count:d} workers"
)
def start_at_workers(context, size_kb, count):
    context.made = jobsite.job(1, (jobs.Step(count=count),), spec="s" * (size_kb * 1000))
    context.routes = []
    for number in range(count):
        facts = jobsite.worker_facts(number)
        context.worker = fleetview.Worker(facts)
        route = context.router.route(context.made, "", context.worker, 0.0)
        if route is not None:
            context.router.reserve(context.made.job, route, 0.0)
            context.routes.append(route)


@behave.then("one other entry gets it and forwards the starts that it has room for")
def check_told_once(context):
    forwarded = [route for route in context.routes if route.forwarder]
    with_spec = [route for route in forwarded if route.includes_spec]
    first_entry = [route for route in forwarded if route.forwarder == with_spec[0].forwarder]
    # Four starts of 4 KB reach the limit of one entry.
    assert len(first_entry) == 4 and forwarded[:4] == first_entry, forwarded
    assert [route.includes_spec for route in first_entry] == [
        True,
        False,
        False,
        False,
    ], first_entry


@behave.then("after a scheduling pass of {took_ms:g} ms the holder waits {gap_ms:g} ms")
def check_gap(context, took_ms, gap_ms):
    gap_s = holder.get_pass_interval_s(took_ms / 1000)
    assert abs(gap_s - gap_ms / 1000) < 1e-9, gap_s
