"""Test routing and outlier ejection with faulty minions on a paused clock."""

import asyncio
import collections
import itertools

import behave
from nutmegshelf import declarations, dispatch, exceptions, ids, routing
from nutmegshelf_standins import clock

from features import records

SERVICE = records.SERVICE
MINIONS = [ids.MinionId(f"orders-{number}") for number in range(8)]


class RoutingSimulation:
    """Send requests through one dispatcher to faulty minions."""

    def __init__(self, count, rng, local_count=0):
        self.rng = rng
        self.dispatcher = dispatch.Dispatcher(256, ids.ZoneName("z0"), rng)
        zones = [
            "z0" if not local_count or number < local_count else "z1" for number in range(count)
        ]
        self.records = [records.make_record(f"orders-{n}", zone) for n, zone in enumerate(zones)]
        self.dispatcher.set_targets(self.records, lambda minion: 8, 8, 0.0)
        self.number = itertools.count()
        self.sent = collections.Counter()
        self.max_ejected = 0

    def offer(self, now_s, idempotent=True):
        request = ids.RequestId(f"r{next(self.number)}")
        normal = declarations.RequestClass.NORMAL
        ticket = dispatch.Ticket(request, normal, now_s + 5.0, idempotent=idempotent)
        (decision,) = self.dispatcher.offer(ticket, now_s) or (None,)
        return decision.minion.minion if isinstance(decision, dispatch.Grant) else None

    async def play(self, faulty, fault, length_s, rate_per_s):
        tasks = [
            asyncio.ensure_future(self.call(faulty, fault))
            for _ in range(int(length_s * rate_per_s))
            if await asyncio.sleep(1 / rate_per_s, True)
        ]
        await asyncio.gather(*tasks)

    async def call(self, faulty, fault):
        loop = asyncio.get_running_loop()
        minion = self.offer(loop.time())
        if minion is None:
            return
        self.sent[minion] += 1
        kind = None
        if minion in faulty and fault == "refusing":
            kind = exceptions.ErrorKind.MINION_REFUSED
        elif minion in faulty and fault == "failing":
            kind = exceptions.ErrorKind.MINION_CUT
        else:
            work_s = self.rng.expovariate(1 / 0.02) + (0.5 if minion in faulty else 0)
            await asyncio.sleep(work_s)
        if kind is not None:
            self.dispatcher.report_failure(minion, kind, loop.time())
        self.dispatcher.release(minion, loop.time(), None if kind else work_s)
        self.max_ejected = max(self.max_ejected, len(self.dispatcher.router.get_ejected()))


@behave.given("{count:d} minions of one service")
def make_simulation(context, count):
    context.routing = RoutingSimulation(count, context.rng)


@behave.when("{count:d} of them is {fault} for {length_s:d} s under {rate:d} requests/s")
@behave.when("{count:d} of them are {fault} for {length_s:d} s under {rate:d} requests/s")
def play_fault(context, count, fault, length_s, rate):
    simulation = context.routing
    faulty = set(MINIONS[:count])

    async def play():
        await simulation.play(faulty, fault, length_s, rate)
        context.sent_during_fault = simulation.sent.copy()
        context.recovery_s = 0
        while context.recovery_s < 60 and simulation.dispatcher.router.get_ejected():
            await simulation.play(set(), "", 1, rate)
            context.recovery_s += 1
        simulation.sent.clear()
        await simulation.play(set(), "", 5, rate)

    clock.run(play())


@behave.then("under {max_fraction:f} of all requests went there while it was {fault}")
def check_fraction_during_fault(context, max_fraction, fault):
    fraction = context.sent_during_fault[MINIONS[0]] / context.sent_during_fault.total()
    assert 0 < fraction < max_fraction, fraction


@behave.then("it gets its share again within {limit_s:d} s")
def check_recovered(context, limit_s):
    assert context.recovery_s <= limit_s, context.recovery_s
    fraction = context.routing.sent[MINIONS[0]] / context.routing.sent.total()
    assert fraction > 0.5 / len(context.routing.records), context.routing.sent


@behave.then("at most {most:d} minions were ejected")
def check_ejected(context, most):
    assert 0 < context.routing.max_ejected <= most, context.routing.max_ejected


@behave.when("a minion was ejected")
def eject_one(context):
    fail_probe(context.routing, 0.0)
    assert context.routing.dispatcher.router.get_ejected() == [MINIONS[0]]


def fail_probe(simulation, now_s):
    target = simulation.dispatcher.targets[MINIONS[0]]
    simulation.dispatcher.router.reserve(target)
    simulation.dispatcher.report_failure(MINIONS[0], exceptions.ErrorKind.MINION_REFUSED, now_s)
    simulation.dispatcher.release(MINIONS[0], now_s)


@behave.then("the next {count:d} non-idempotent requests after its back-off go elsewhere")
def check_elsewhere(context, count):
    for _ in range(count):
        minion = context.routing.offer(5.0, idempotent=False)
        assert minion not in (None, MINIONS[0]), minion
        context.routing.dispatcher.release(minion, 5.0, 0.02)


@behave.then("one idempotent request goes there at a time")
def check_single_probe(context):
    minions = [context.routing.offer(5.0) for _ in range(20)]
    assert minions.count(MINIONS[0]) == 1, minions
    context.routing.dispatcher.release(MINIONS[0], 5.0)


@behave.then("each failed probe doubles the back-off up to {limit_s:d} s")
def check_ejection_time(context, limit_s):
    target = context.routing.dispatcher.targets[MINIONS[0]]
    now_s, before_s = 10.0, target.ejection_s
    for _ in range(10):
        now_s += 100.0
        fail_probe(context.routing, now_s)
        assert target.ejection_state is routing.EjectionState.EJECTED
        assert target.ejection_s == min(2 * before_s, limit_s), (target.ejection_s, before_s)
        assert target.ejected_until_s == now_s + target.ejection_s
        before_s = target.ejection_s


@behave.given("{count:d} minions of which {local_count:d} are in the local zone")
def make_zones(context, count, local_count):
    context.routing = RoutingSimulation(count, context.rng, local_count)
    context.local_count = local_count


@behave.when("requests fill the minions one by one")
def fill(context):
    simulation = context.routing
    context.chosen, context.local_lead = [], []
    names = [each.minion for each in simulation.records]
    for _ in range(8 * len(names)):
        context.chosen.append(simulation.offer(0.0))
        counts = [simulation.dispatcher.targets[name].in_flight for name in names]
        context.local_lead.append(
            max(counts[: context.local_count]) - max(counts[context.local_count :])
        )


@behave.then("the first requests go to the local zone")
def check_local_first(context):
    assert set(context.chosen[:4]) == set(MINIONS[: context.local_count]), context.chosen[:4]


@behave.then(
    "the local zone is never ahead of the fullest other by more than half its slots and one"
)
def check_local_lead(context):
    assert max(context.local_lead) <= 8 / 2 + 1, max(context.local_lead)
    assert None not in context.chosen
