"""Test admission under overload on a paused clock."""

import asyncio
import collections
import itertools
import math
import random

import behave
from nutmegshelf import declarations, dispatch, exceptions, ids, platform, retries
from nutmegshelf_bench import overload
from nutmegshelf_entry import slots
from nutmegshelf_standins import clock

SERVICE = ids.ServiceName("orders")
CLASSES = {each.value: each for each in declarations.RequestClass}


def make_record(minion, service=SERVICE):
    return platform.MinionRecord(
        minion=ids.MinionId(minion),
        service=service,
        host="127.0.0.1",
        port=1,
        zone=ids.ZoneName("z0"),
        rack=ids.RackName("r"),
        worker=ids.WorkerId(f"w-{minion}"),
    )


def make_ticket(name, class_name, deadline_s):
    return dispatch.Ticket(ids.RequestId(name), CLASSES[class_name], deadline_s)


def make_full_dispatcher(slot_count, limit, rng):
    dispatcher = dispatch.Dispatcher(limit, ids.ZoneName("z0"), rng)
    dispatcher.set_targets([make_record("orders-0")], lambda minion: slot_count, 60, 0.0)
    for number in range(slot_count):
        dispatcher.offer(make_ticket(f"running-{number}", "normal", 60.0), 0.0)
    return dispatcher


@behave.given("a service of 1 minion with {slot_count:d} slots and a queue of {limit:d}")
def make_service(context, slot_count, limit):
    context.slot_count, context.limit = slot_count, limit
    context.dispatcher = make_full_dispatcher(slot_count, limit, context.rng)


@behave.given('both slots are taken and "{waiting}" wait')
def queue_requests(context, waiting):
    for number, class_name in enumerate(waiting.split()):
        assert not context.dispatcher.offer(
            make_ticket(f"{class_name}-{number}", class_name, 9.0), 0.0
        )


@behave.given('both slots are taken and "" wait')
def check_empty_queue(context):
    assert not context.dispatcher.queued


@behave.when("a request of class {class_name} with a deadline in {deadline_ms:d} ms arrives")
def offer_request(context, class_name, deadline_ms):
    context.decisions = context.dispatcher.offer(
        make_ticket("new", class_name, deadline_ms / 1000), 0.0
    )


@behave.then("it is {decision} and {evicted} is evicted for it")
def check_decision(context, decision, evicted):
    refused = {refusal.request: refusal for refusal in context.decisions}
    new_refusal = refused.pop(ids.RequestId("new"), None)
    assert (new_refusal.kind.value if new_refusal else "queued") == decision, context.decisions
    assert new_refusal is None or new_refusal.retry_after_s >= 1.0
    names = [name.partition("-")[0] for name in refused]
    assert names == ([] if evicted == "nobody" else [evicted]), names
    assert all(refusal.kind is exceptions.ErrorKind.OVERLOADED for refusal in refused.values())


def make_slots(limit, slot_count, names, rng, minion_count=1):
    owner = slots.Slots(ids.ZoneName("z0"), 1, rng)
    services = {
        ids.ServiceName(name): declarations.Service(
            pool=ids.PoolName("p"),
            wanted_minions=minion_count,
            slots_per_minion=slot_count,
            queue_limit=limit,
        )
        for name in names
    }
    owner.set_declarations(declarations.DeclarationSet(services=services))
    owner.set_records(
        tuple(
            make_record(f"{name}-{number}", ids.ServiceName(name))
            for name in names
            for number in range(minion_count)
        )
    )
    return owner


async def serve(owner, service, ticket, work_s, result):
    loop = asyncio.get_running_loop()
    arrived_s = loop.time()
    try:
        grant = await owner.acquire(service, ticket)
    except exceptions.RequestError as error:
        result.append((ticket, loop.time(), error))
        return
    result.append((ticket, loop.time() - arrived_s, None))
    await asyncio.sleep(work_s)
    owner.release(service, grant.minion.minion, work_s)


@behave.when(
    "both slots stay taken for {hold_s:d} s and {count:d} requests of all classes "
    "wait {least_s:f} to {most_s:f} s"
)
def wait_for_deadlines(context, hold_s, count, least_s, most_s):
    async def play():
        owner = make_slots(context.limit, 2, [SERVICE], context.rng)
        context.result = []
        tasks = [
            asyncio.ensure_future(
                serve(owner, SERVICE, make_ticket(f"h{number}", "normal", 60.0), hold_s, [])
            )
            for number in range(2)
        ]
        await asyncio.sleep(0)
        for number in range(count):
            class_name = context.rng.choice(list(CLASSES))
            ticket = make_ticket(f"r{number}", class_name, context.rng.uniform(least_s, most_s))
            work = serve(owner, SERVICE, ticket, 0.0, context.result)
            tasks.append(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    context.count = count
    clock.run(play())


@behave.then("each of them was refused as not run within {limit_ms:d} ms of its deadline")
def check_deadlines(context, limit_ms):
    waited = [result for result in context.result if result[1] > 0]
    assert len(context.result) == context.count and len(waited) > context.count / 4
    for ticket, at_s, error in context.result:
        assert error is not None and error.response.outcome is exceptions.Outcome.NOT_RUN
        assert at_s <= ticket.deadline_s + limit_ms / 1000, (ticket, at_s)


@behave.when(
    "{count:d} requests of all classes wait and {gone:d} of them are cancelled in any order"
)
def cancel_some(context, count, gone):
    waiting = []
    for number in range(count):
        name = context.rng.choice(list(CLASSES))
        ticket = make_ticket(f"r{number}", name, context.rng.uniform(50.0, 60.0))
        assert not context.dispatcher.offer(ticket, 0.0)
        waiting.append(ticket)
    context.cancelled = {ticket.request for ticket in context.rng.sample(waiting, gone)}
    for request in sorted(context.cancelled, key=lambda _: context.rng.random()):
        context.dispatcher.cancel(request)
    context.waiting = {ticket.request: ticket for ticket in waiting}


@behave.then(
    "the other {left:d} are granted, each class by its deadlines, and none of those cancelled"
)
def check_granted(context, left):
    granted = []
    for _ in range(2 * left):
        granted += context.dispatcher.release(ids.MinionId("orders-0"), 0.0, 0.05)
    assert all(isinstance(grant, dispatch.Grant) for grant in granted)
    granted_requests = [grant.request for grant in granted]
    assert len(granted_requests) == len(set(granted_requests)) == left, len(granted_requests)
    assert not context.cancelled & set(granted_requests)
    for request_class in declarations.RequestClass:
        tickets_in_order = [context.waiting[request] for request in granted_requests]
        deadlines = [
            ticket.deadline_s
            for ticket in tickets_in_order
            if ticket.request_class is request_class
        ]
        assert deadlines == sorted(deadlines)


@behave.when('"{loads}" requests/s of {work_ms:d} ms arrive by class for {length_s:d} s')
def load_classes(context, loads, work_ms, length_s):
    fields = loads.split()
    rates = {fields[n]: float(fields[n + 1]) for n in range(0, len(fields), 2)}

    async def play():
        owner = make_slots(context.limit, context.slot_count, [SERVICE], context.rng)
        loop = asyncio.get_running_loop()
        context.result, tasks, numbers = [], [], itertools.count()

        async def send_requests(name, rate):
            while loop.time() < length_s:
                await asyncio.sleep(context.rng.expovariate(rate))
                ticket = make_ticket(f"r{next(numbers)}", name, loop.time() + 2.0)
                work_s = context.rng.expovariate(1000 / work_ms)
                work = serve(owner, SERVICE, ticket, work_s, context.result)
                tasks.append(asyncio.ensure_future(work))

        await asyncio.gather(*(send_requests(name, rate) for name, rate in rates.items()))
        await asyncio.gather(*tasks)

    clock.run(play())


@behave.then(
    "at least {urgent:f} of urgent, {normal:f} of normal and {batch:f} of batch are served"
)
def check_classes(context, urgent, normal, batch):
    arrived, served = collections.Counter(), collections.Counter()
    for ticket, _, error in context.result:
        arrived[ticket.request_class.value] += 1
        served[ticket.request_class.value] += error is None
    fractions = {name: served[name] / arrived[name] for name in CLASSES}
    assert fractions["urgent"] >= urgent and fractions["normal"] >= normal, fractions
    assert fractions["batch"] >= batch, fractions


@behave.when("{count:d} requests are refused")
def refuse_many(context, count):
    context.retry_after_s = collect_retry_after_s(context, count, context.rng)
    context.other_retry_after_s = collect_retry_after_s(context, count, random.Random("other"))


def collect_retry_after_s(context, count, rng):
    dispatcher = make_full_dispatcher(context.slot_count, context.limit, rng)
    decision_lists = [
        dispatcher.offer(make_ticket(f"r{number}", "normal", 9.0), 0.0) for number in range(count)
    ]
    return [
        math.ceil(refusal.retry_after_s) for decisions in decision_lists for refusal in decisions
    ]


@behave.then(
    "their Retry-After values spread over at least {least:d} whole seconds, "
    "none with over {most:d} percent"
)
def check_spread(context, least, most):
    counts = collections.Counter(context.retry_after_s)
    assert len(counts) >= least, counts
    assert max(counts.values()) <= most / 100 * len(context.retry_after_s), counts


@behave.then("another seed spreads them differently")
def check_other_spread(context):
    assert context.retry_after_s != context.other_retry_after_s


@behave.given("two services with {minion_count:d} minions each behind one entry")
def set_minion_count(context, minion_count):
    context.minion_count = minion_count


@behave.when(
    "one gets {times:d} times its capacity for {length_s:d} s " "and the other half of its capacity"
)
def burst(context, times, length_s):
    names = [ids.ServiceName("first"), ids.ServiceName("other")]
    full_per_s = context.minion_count * 8 / 0.05

    async def play():
        owner = make_slots(256, 8, names, context.rng, context.minion_count)
        loop = asyncio.get_running_loop()
        context.result = {name: [] for name in names}
        context.most_waiting = 0
        tasks = []

        async def send_requests(name, rate):
            while loop.time() < length_s:
                await asyncio.sleep(context.rng.expovariate(rate))
                ticket = make_ticket(f"{name}-{len(tasks)}", "normal", loop.time() + 2.0)
                work_s = context.rng.expovariate(1 / 0.05)
                work = serve(owner, name, ticket, work_s, context.result[name])
                tasks.append(asyncio.ensure_future(work))
                waiting = [each for each in owner._futures if each.startswith("first")]
                context.most_waiting = max(context.most_waiting, len(waiting))

        await asyncio.gather(
            send_requests(names[0], times * full_per_s), send_requests(names[1], full_per_s / 2)
        )
        await asyncio.gather(*tasks)

    clock.run(play())


@behave.then(
    "{percent:d} percent of the other's requests start within {limit_ms:d} ms and none is refused"
)
def check_other(context, percent, limit_ms):
    result = context.result[ids.ServiceName("other")]
    assert result and not any(error for _, _, error in result)
    soon = [wait_s for _, wait_s, _ in result if wait_s <= limit_ms / 1000]
    assert len(soon) >= percent / 100 * len(result), len(soon) / len(result)


@behave.then("at most {most:d} requests of the first waited at once")
def check_waiting(context, most):
    assert most / 4 < context.most_waiting <= most, context.most_waiting


@behave.when("{count:d} requests arrive and {failing:f} of all attempts fail")
def retry_many(context, count, failing):
    budget = retries.RetryBudget()
    context.retries = 0
    for _ in range(count):
        budget.deposit()
        while context.rng.random() < failing and budget.try_withdraw():
            context.retries += 1


@behave.then("at most {most:d} and at least {least:d} retries are sent")
def check_retries(context, most, least):
    assert least <= context.retries <= most, context.retries


@behave.when("the overload is replayed at {load:d} times the mean")
def replay_overload(context, load):
    seed = context.rng.randrange(1000)
    context.dispatched = overload.simulate("dispatched", load, seed)
    context.first_come = overload.simulate("first_come", load, seed)


@behave.then(
    "goodput of the bursting service is at least {times:d} times " "that of first come first served"
)
def check_goodput(context, times):
    dispatched, first_come = (
        replay.get_goodput("bursting") for replay in (context.dispatched, context.first_come)
    )
    assert 0 < first_come * times <= dispatched <= 1, (dispatched, first_come)


@behave.then("all urgent requests and all of the steady service are served in time")
def check_served(context):
    urgent = context.dispatched.get_goodput("bursting", "urgent")
    assert urgent >= 0.99 and context.dispatched.get_goodput("steady") >= 0.99, urgent
