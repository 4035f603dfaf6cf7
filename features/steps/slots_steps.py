"""Test seats, loans of slots and connection limits under faults on a paused clock."""

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
from nutmegshelf_entry import connections, lending, slots
from nutmegshelf_standins import clock

from features import records

SERVICE = records.SERVICE
SEATS = _seating.SEAT_COUNT
MINIONS = _seating.MINIONS


def make_declarations(**limits):
    service = declarations.Service(pool=ids.PoolName("p"), wanted_minions=4, **limits)
    return declarations.DeclarationSet(services={SERVICE: service})


@behave.given("{count:d} entries that hold seats")
def make_seats(context, count):
    context.seats = _seating.Simulation(count)


@behave.when('these events happen: "{events}"')
def run_events(context, events):
    clock.run(context.seats.run(events))


@behave.then(
    "{seated:d} running entries have a seat and {count} of 8 slots at each minion are theirs"
)
def check_seated(context, seated, count):
    least, _, most = count.partition("-")
    world = context.seats
    assert world.seated_count == seated, (world.seated_count, world.assigned_slots)
    assert int(least) <= min(world.assigned_slots) and max(world.assigned_slots) <= int(
        most or least
    ), world.assigned_slots


@behave.then("never more than {most:d} slots of a minion were assigned at once")
def check_assigned(context, most):
    assert context.seats.max_assigned_slots <= most, context.seats.max_assigned_slots


@behave.then("no two processes with open connections ever had the same seat")
def check_distinct_seats(context):
    assert not context.seats.duplicate_seats, context.seats.duplicate_seats


@behave.then("shares add up for 1 to {seat_count:d} seats and 1 to {slot_count:d} slots")
def check_shares(context, seat_count, slot_count):
    for count, total in itertools.product(range(1, seat_count + 1), range(1, slot_count + 1)):
        held = tuple(sorted(context.rng.sample(range(seat_count), count)))
        shares = [seats.Allocation(seat, held).get_share(MINIONS[0], total) for seat in held]
        assert sum(shares) == total and max(shares) - min(shares) <= 1, shares


class LoanNetwork:
    """Deliver messages between lenders, delay them or lose them."""

    def __init__(self):
        self.lenders = {}
        self.lost_kind = self.late_kind = ""
        self.killed = set()

    def send(self, address, message):
        kind = type(message).__name__
        if kind == self.lost_kind or address in self.killed or message.sender in self.killed:
            return
        delay_s = 4.5 if kind == self.late_kind else 0.002
        asyncio.get_running_loop().call_later(delay_s, self.deliver, address, message)

    def deliver(self, address, message):
        if address in self.killed:
            return
        match message:
            case messages.SlotsRequested():
                self.lenders[address].handle_request(message)
            case messages.SlotsLent():
                self.lenders[address].handle_loan(message)
            case messages.SlotsReturned():
                self.lenders[address].handle_return(message)


class LoanSimulation:
    """Entries that lend one another slots of the same minions."""

    def __init__(self, count, minion_count, rng):
        self.network = LoanNetwork()
        self.rng = rng
        self.names = [ids.EntryId(f"entry-{number}") for number in range(count)]
        self.records = tuple(
            records.make_record(f"orders-{number}") for number in range(minion_count)
        )
        self.running = collections.Counter()
        self.max_running = self.max_at_first = self.running_at_first = 0

    def build(self):
        self.entries = []
        for number, name in enumerate(self.names):
            entry_members = members.Members(name, 1e9)
            entry_members.apply_rows([_make_entry_row(entry) for entry in self.names], 0.0)
            slot_owner = slots.Slots(ids.ZoneName("z0"), SEATS, random.Random(number))
            slot_owner.set_allocation(seats.Allocation(number, tuple(range(len(self.names)))))
            slot_owner.set_declarations(make_declarations())
            slot_owner.set_records(self.records)
            self.network.lenders[name] = lending.LoanBroker(
                slot_owner, entry_members, self.network, random.Random(number)
            )
            self.entries.append(slot_owner)

    async def play(self, count, work_s, length_s, fault):
        self.build()
        self.own_shares = [self.shares(entry) for entry in self.entries]
        match fault.split():
            case ["every", kind, "is", "lost"]:
                self.network.lost_kind = kind.strip('"')
            case ["every", kind, "is", "late"]:
                self.network.late_kind = kind.strip('"')
        tasks, other_tasks = [], []
        for number in range(count):
            tasks.append(asyncio.ensure_future(self.call(0, f"r{number}", work_s)))
            if number % 8 == 0 or number > count * 0.9:
                # The lenders need some of their own slots, and towards the end all of them.
                other = self.rng.randrange(1, len(self.entries))
                other_tasks.append(asyncio.ensure_future(self.call(other, f"o{number}", work_s)))
            await asyncio.sleep(length_s / count)
            if number == count // 2:
                self.inject_fault(fault, tasks)
        await asyncio.gather(*tasks, *other_tasks, return_exceptions=True)

    def inject_fault(self, fault, tasks):
        match fault:
            case "entry 0 dies":
                self.network.killed.add(self.names[0])
                for task in tasks:
                    task.cancel()
            case "the others die":
                self.network.killed |= set(self.names[1:])

    async def call(self, entry, name, work_s):
        if self.names[entry] in self.network.killed:
            return
        now_s = asyncio.get_running_loop().time()
        ticket = dispatch.Ticket(ids.RequestId(name), declarations.RequestClass.NORMAL, now_s + 5.0)
        grant = await self.entries[entry].acquire(SERVICE, ticket)
        minion = grant.minion.minion
        self.running[minion] += 1
        self.running_at_first += entry == 0
        self.max_running = max(self.max_running, self.running[minion])
        self.max_at_first = max(self.max_at_first, self.running_at_first)
        try:
            await asyncio.sleep(work_s)
        finally:
            self.running[minion] -= 1
            self.running_at_first -= entry == 0
            self.entries[entry].release(SERVICE, minion, work_s)

    def shares(self, entry):
        return {name: target.slots for name, target in entry._services[SERVICE].targets.items()}


def _make_entry_row(name):
    return members.EntryRow(
        entry=name, zone=ids.ZoneName("z0"), peer_address=name, operator_address=""
    )


@behave.given("{count:d} entries that lend one another the slots of {minion_count:d} minions")
def make_lenders(context, count, minion_count):
    context.simulation = LoanSimulation(count, minion_count, context.rng)


@behave.when("entry 0 gets {count:d} requests of {work_ms:d} ms in {length_s:d} s while {fault}")
def run_loans(context, count, work_ms, length_s, fault):
    async def play():
        await context.simulation.play(count, work_ms / 1000, length_s, fault)
        await asyncio.sleep(6.0)
        context.final_shares = [
            context.simulation.shares(entry) for entry in context.simulation.entries
        ]

    clock.run(play())


@behave.then("never more than {most:d} requests ran at one minion")
def check_most(context, most):
    assert 0 < context.simulation.max_running <= most, context.simulation.max_running


@behave.then("entry 0 ran {more} than its own share at once")
def check_borrowed(context, more):
    simulation = context.simulation
    assert (simulation.max_at_first > sum(simulation.own_shares[0].values())) == (more == "more"), (
        simulation.max_at_first,
        simulation.own_shares[0],
    )


@behave.then("after 6 s each entry has its own share back")
def check_returned(context):
    assert context.final_shares == context.simulation.own_shares, (
        context.final_shares,
        context.simulation.own_shares,
    )


@behave.given("a minion that counts its connections")
def start_counting_minion(context):
    async def start():
        context.open = context.max_open = 0
        context.changed = asyncio.Condition()

        async def count(change):
            async with context.changed:
                context.open += change
                context.max_open = max(context.max_open, context.open)
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


async def wait_open(context, count):
    async with context.changed:
        await context.changed.wait_for(lambda: context.open == count)


@behave.when("{count:d} requests ask for connections under a limit of {limit:d}")
def open_connections(context, count, limit):
    async def open_all():
        pool = connections.ConnectionPool()
        pool.limits = {SERVICE: limit}
        target = records.make_record("orders-0", port=context.port)
        results = await asyncio.gather(
            *(pool.checkout(target, fresh=True) for _ in range(count)), return_exceptions=True
        )
        await wait_open(context, limit)
        pool.abort()
        await wait_open(context, 0)
        link, _ = await pool.checkout(target, fresh=True)
        await wait_open(context, 1)
        link.abort()
        await wait_open(context, 0)
        context.listener.close()
        return [result for result in results if isinstance(result, exceptions.RequestError)]

    context.refused = context.run(open_all())


@behave.then(
    "the minion had at most {most:d} connections at once "
    "and {count:d} requests were refused as not run"
)
def check_connections(context, most, count):
    assert context.max_open == most, context.max_open
    assert len(context.refused) == count, len(context.refused)
    assert all(error.response.outcome is exceptions.Outcome.NOT_RUN for error in context.refused)


@behave.then("all connections of all seats stay within {limit:d}")
def check_all_connections(context, limit):
    for count in range(1, 2 * limit):
        limit_per_seat = seats.get_connection_limit(limit, count)
        assert (
            limit_per_seat == 0 or count * (limit_per_seat + seats.PROBE_CONNECTIONS) <= limit
        ), count
