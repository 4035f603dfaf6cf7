"""Send requests to minions that misbehave, on a paused clock."""

import asyncio
import collections
import itertools

import behave
from nutmegshelf import declarations, dispatch, exceptions, ids, routing
from nutmegshelf_standins import clock

from features import records

SERVICE = records.SERVICE
MINIONS = [ids.MinionId(f"orders-{number}") for number in range(8)]


class RouteWorld:
    """Send requests through one dispatcher to minions that misbehave."""

    def __init__(self, count, rng, near=0):
        self.rng = rng
        self.dispatcher = dispatch.Dispatcher(256, ids.ZoneName("z0"), rng)
        zones = ["z0" if not near or number < near else "z1" for number in range(count)]
        self.records = [records.record(f"orders-{n}", zone) for n, zone in enumerate(zones)]
        self.dispatcher.set_targets(self.records, lambda minion: 8, 8, 0.0)
        self.number = itertools.count()
        self.sent = collections.Counter()
        self.most_apart = 0

    def offer(self, now_s, idempotent=True):
        request = ids.RequestId(f"r{next(self.number)}")
        normal = declarations.RequestClass.NORMAL
        ticket = dispatch.Ticket(request, normal, now_s + 5.0, idempotent=idempotent)
        (decision,) = self.dispatcher.offer(ticket, now_s) or (None,)
        return decision.minion.minion if isinstance(decision, dispatch.Grant) else None

    async def play(self, bad, fault, length_s, rate_per_s):
        tasks = [
            asyncio.ensure_future(self.call(bad, fault))
            for _ in range(int(length_s * rate_per_s))
            if await asyncio.sleep(1 / rate_per_s, True)
        ]
        await asyncio.gather(*tasks)

    async def call(self, bad, fault):
        loop = asyncio.get_running_loop()
        minion = self.offer(loop.time())
        if minion is None:
            return
        self.sent[minion] += 1
        kind = None
        if minion in bad and fault == "refusing":
            kind = exceptions.ErrorKind.MINION_REFUSED
        elif minion in bad and fault == "failing":
            kind = exceptions.ErrorKind.MINION_CUT
        else:
            work_s = self.rng.expovariate(1 / 0.02) + (0.5 if minion in bad else 0)
            await asyncio.sleep(work_s)
        if kind is not None:
            self.dispatcher.report_failure(minion, kind, loop.time())
        self.dispatcher.release(minion, loop.time(), None if kind else work_s)
        self.most_apart = max(self.most_apart, len(self.dispatcher.router.get_ejected()))


@behave.given("{count:d} minions of one service")
def make_route(context, count):
    context.route = RouteWorld(count, context.rng)


@behave.when("{count:d} of them is {fault} for {length_s:d} s under {rate:d} requests/s")
@behave.when("{count:d} of them are {fault} for {length_s:d} s under {rate:d} requests/s")
def play_route(context, count, fault, length_s, rate):
    world = context.route
    bad = set(MINIONS[:count])

    async def play():
        await world.play(bad, fault, length_s, rate)
        context.while_bad = world.sent.copy()
        context.back_s = 0
        while context.back_s < 60 and world.dispatcher.router.get_ejected():
            await world.play(set(), "", 1, rate)
            context.back_s += 1
        world.sent.clear()
        await world.play(set(), "", 5, rate)

    clock.run(play())


@behave.then("under {part:f} of all requests went there while it was {fault}")
def check_part(context, part, fault):
    went = context.while_bad[MINIONS[0]] / context.while_bad.total()
    assert 0 < went < part, went


@behave.then("it gets its part again within {limit_s:d} s")
def check_again(context, limit_s):
    assert context.back_s <= limit_s, context.back_s
    part = context.route.sent[MINIONS[0]] / context.route.sent.total()
    assert part > 0.5 / len(context.route.records), context.route.sent


@behave.then("at most {most:d} minions were set apart")
def check_apart(context, most):
    assert 0 < context.route.most_apart <= most, context.route.most_apart


@behave.when("a minion was set apart")
def set_one_apart(context):
    fail_probe(context.route, 0.0)
    assert context.route.dispatcher.router.get_ejected() == [MINIONS[0]]


def fail_probe(world, now_s):
    target = world.dispatcher.targets[MINIONS[0]]
    world.dispatcher.router.reserve(target)
    world.dispatcher.report_failure(MINIONS[0], exceptions.ErrorKind.MINION_REFUSED, now_s)
    world.dispatcher.release(MINIONS[0], now_s)


@behave.then("the next {count:d} non-idempotent requests after its back-off go elsewhere")
def check_elsewhere(context, count):
    for _ in range(count):
        minion = context.route.offer(5.0, idempotent=False)
        assert minion not in (None, MINIONS[0]), minion
        context.route.dispatcher.release(minion, 5.0, 0.02)


@behave.then("one idempotent request goes there at a time")
def check_one_probe(context):
    went = [context.route.offer(5.0) for _ in range(20)]
    assert went.count(MINIONS[0]) == 1, went
    context.route.dispatcher.release(MINIONS[0], 5.0)


@behave.then("each failed probe doubles the back-off up to {limit_s:d} s")
def check_back_off(context, limit_s):
    target = context.route.dispatcher.targets[MINIONS[0]]
    now_s, before_s = 10.0, target.ejection_s
    for _ in range(10):
        now_s += 100.0
        fail_probe(context.route, now_s)
        assert target.ejection_state is routing.EjectionState.EJECTED
        assert target.ejection_s == min(2 * before_s, limit_s), (target.ejection_s, before_s)
        assert target.ejected_until_s == now_s + target.ejection_s
        before_s = target.ejection_s


@behave.given("{count:d} minions of which {near:d} stand in the own zone")
def make_zones(context, count, near):
    context.route = RouteWorld(count, context.rng, near)
    context.near = near


@behave.when("requests fill the minions one by one")
def fill(context):
    world = context.route
    context.order, context.ahead = [], []
    names = [one.minion for one in world.records]
    for _ in range(8 * len(names)):
        context.order.append(world.offer(0.0))
        counts = [world.dispatcher.targets[name].in_flight for name in names]
        context.ahead.append(max(counts[: context.near]) - max(counts[context.near :]))


@behave.then("the first requests go to the own zone")
def check_near_first(context):
    assert set(context.order[:4]) == set(MINIONS[: context.near]), context.order[:4]


@behave.then("the own zone is never more than half its slots and one ahead of the fullest other")
def check_ahead(context):
    assert max(context.ahead) <= 8 / 2 + 1, max(context.ahead)
    assert None not in context.order
