"""Play faults against seats, loans and routing on a paused clock."""

import asyncio
import collections
import itertools
import random

import behave
from nutmegshelf import (
    declarations,
    dispatch,
    exceptions,
    ids,
    members,
    messages,
    seats,
)
from nutmegshelf_bench import _seating
from nutmegshelf_entry import lending, minions, slots
from nutmegshelf_standins import clock

from features import records

SERVICE = records.SERVICE
SEATS = _seating.SEATS
MINIONS = _seating.MINIONS


def declared(**limits):
    service = declarations.Service(pool=ids.PoolName("p"), wanted_minions=4, **limits)
    return declarations.DeclarationSet(services={SERVICE: service})


@behave.given("{count:d} entries that hold seats")
def make_seats(context, count):
    context.seats = _seating.World(count)


@behave.when('it happens that "{events}"')
def play_seats(context, events):
    clock.run(context.seats.play(events))


@behave.then(
    "{seated:d} running entries have a seat and {count} of 8 slots at each minion are theirs"
)
def check_seated(context, seated, count):
    least, _, most = count.partition("-")
    world = context.seats
    assert world.seated == seated, (world.seated, world.given)
    assert int(least) <= min(world.given) and max(world.given) <= int(most or least), world.given


@behave.then("never were more than {most:d} slots of a minion given at once")
def check_given(context, most):
    assert context.seats.most <= most, context.seats.most


@behave.then("no two processes with open connections ever had one seat")
def check_clashes(context):
    assert not context.seats.clashes, context.seats.clashes


@behave.then("shares add up for 1 to {seat_count:d} seats and 1 to {slot_count:d} slots")
def check_shares(context, seat_count, slot_count):
    for count, total in itertools.product(range(1, seat_count + 1), range(1, slot_count + 1)):
        held = tuple(sorted(context.rng.sample(range(seat_count), count)))
        shares = [seats.Allocation(seat, held).get_share(MINIONS[0], total) for seat in held]
        assert sum(shares) == total and max(shares) - min(shares) <= 1, shares


class Network:
    """Carry messages between lenders, late or not at all."""

    def __init__(self):
        self.parts = {}
        self.lost = self.late = ""
        self.dead = set()

    def send(self, address, message):
        kind = type(message).__name__
        if kind == self.lost or address in self.dead or message.sender in self.dead:
            return
        delay_s = 4.5 if kind == self.late else 0.002
        asyncio.get_running_loop().call_later(delay_s, self.deliver, address, message)

    def deliver(self, address, message):
        if address in self.dead:
            return
        match message:
            case messages.SlotsRequested():
                self.parts[address].answer(message)
            case messages.SlotsLent():
                self.parts[address].take(message)
            case messages.SlotsReturned():
                self.parts[address].take_back(message)


class LoanWorld:
    """Hold entries that lend one another slots of the same minions."""

    def __init__(self, count, minion_count, rng):
        self.network = Network()
        self.rng = rng
        self.names = [ids.EntryId(f"entry-{number}") for number in range(count)]
        self.records = tuple(records.record(f"orders-{number}") for number in range(minion_count))
        self.running = collections.Counter()
        self.most = self.most_at_first = self.first_running = 0

    def build(self):
        self.entries = []
        for number, name in enumerate(self.names):
            known = members.Members(name, 1e9)
            known.apply_rows([_entry_row(one) for one in self.names], 0.0)
            one = slots.Slots(ids.ZoneName("z0"), SEATS, random.Random(number))
            one.set_seating(seats.Allocation(number, tuple(range(len(self.names)))))
            one.set_declared(declared())
            one.set_records(self.records)
            self.network.parts[name] = lending.Lending(
                one, known, self.network, random.Random(number)
            )
            self.entries.append(one)

    async def play(self, count, work_s, length_s, fault):
        self.build()
        self.own = [self.shares(one) for one in self.entries]
        match fault.split():
            case ["every", kind, "is", "lost"]:
                self.network.lost = kind.strip('"')
            case ["every", kind, "is", "late"]:
                self.network.late = kind.strip('"')
        tasks, others = [], []
        for number in range(count):
            tasks.append(asyncio.ensure_future(self.call(0, f"r{number}", work_s)))
            if number % 8 == 0 or number > count * 0.9:
                # The lenders need their own slots too, and towards the end all at once.
                other = self.rng.randrange(1, len(self.entries))
                others.append(asyncio.ensure_future(self.call(other, f"o{number}", work_s)))
            await asyncio.sleep(length_s / count)
            if number == count // 2:
                self.end(fault, tasks)
        await asyncio.gather(*tasks, *others, return_exceptions=True)

    def end(self, fault, tasks):
        match fault:
            case "entry 0 dies":
                self.network.dead.add(self.names[0])
                for task in tasks:
                    task.cancel()
            case "the others die":
                self.network.dead |= set(self.names[1:])

    async def call(self, entry, name, work_s):
        if self.names[entry] in self.network.dead:
            return
        now_s = asyncio.get_running_loop().time()
        one = dispatch.Ticket(ids.RequestId(name), declarations.RequestClass.NORMAL, now_s + 5.0)
        grant = await self.entries[entry].acquire(SERVICE, one)
        minion = grant.minion.minion
        self.running[minion] += 1
        self.first_running += entry == 0
        self.most = max(self.most, self.running[minion])
        self.most_at_first = max(self.most_at_first, self.first_running)
        try:
            await asyncio.sleep(work_s)
        finally:
            self.running[minion] -= 1
            self.first_running -= entry == 0
            self.entries[entry].release(SERVICE, minion, work_s)

    def shares(self, entry):
        return {name: target.slots for name, target in entry._services[SERVICE].targets.items()}


def _entry_row(name):
    return members.EntryRow(
        entry=name, zone=ids.ZoneName("z0"), peer_address=name, operator_address=""
    )


@behave.given("{count:d} entries that lend each other the slots of {minion_count:d} minions")
def make_lenders(context, count, minion_count):
    context.lenders = LoanWorld(count, minion_count, context.rng)


@behave.when("entry 0 gets {count:d} requests of {work_ms:d} ms in {length_s:d} s while {fault}")
def play_loans(context, count, work_ms, length_s, fault):
    async def play():
        await context.lenders.play(count, work_ms / 1000, length_s, fault)
        await asyncio.sleep(6.0)
        context.after = [context.lenders.shares(one) for one in context.lenders.entries]

    clock.run(play())


@behave.then("never more than {most:d} requests ran at one minion")
def check_most(context, most):
    assert 0 < context.lenders.most <= most, context.lenders.most


@behave.then("entry 0 ran {more} than its own share at once")
def check_more(context, more):
    world = context.lenders
    assert (world.most_at_first > sum(world.own[0].values())) == (more == "more"), (
        world.most_at_first,
        world.own[0],
    )


@behave.then("after 6 s each entry has its own share back")
def check_back(context):
    assert context.after == context.lenders.own, (context.after, context.lenders.own)


@behave.given("a minion that counts its connections")
def make_counting(context):
    async def start():
        context.open = context.most_open = 0
        context.changed = asyncio.Condition()

        async def count(change):
            async with context.changed:
                context.open += change
                context.most_open = max(context.most_open, context.open)
                context.changed.notify_all()

        async def hold(reader, writer):
            await count(1)
            try:
                await reader.read()
            except ConnectionError:
                pass
            finally:
                await count(-1)
                writer.close()

        context.listener = await asyncio.start_server(hold, "127.0.0.1", 0)
        return context.listener.sockets[0].getsockname()[1]

    context.port = context.run(start())


async def until_open(context, count):
    async with context.changed:
        await context.changed.wait_for(lambda: context.open == count)


@behave.when("{count:d} requests ask for connections under a limit of {limit:d}")
def ask_connections(context, count, limit):
    async def ask():
        pool = minions.MinionPool()
        pool.limits = {SERVICE: limit}
        target = records.record("orders-0", port=context.port)
        results = await asyncio.gather(
            *(pool.checkout(target, fresh=True) for _ in range(count)), return_exceptions=True
        )
        await until_open(context, limit)
        pool.abort()
        await until_open(context, 0)
        again, _ = await pool.checkout(target, fresh=True)
        await until_open(context, 1)
        again.abort()
        await until_open(context, 0)
        context.listener.close()
        return [one for one in results if isinstance(one, exceptions.RequestError)]

    context.refused = context.run(ask())


@behave.then(
    "the minion saw at most {most:d} connections at once "
    "and {count:d} requests were refused as not run"
)
def check_connections(context, most, count):
    assert context.most_open == most, context.most_open
    assert len(context.refused) == count, len(context.refused)
    assert all(one.answer.outcome is exceptions.Outcome.NOT_RUN for one in context.refused)


@behave.then("all connections of all seats stay within {limit:d}")
def check_all_connections(context, limit):
    for count in range(1, 2 * limit):
        each = seats.get_connection_limit(limit, count)
        assert each == 0 or count * (each + seats.PROBE_CONNECTIONS) <= limit, count
