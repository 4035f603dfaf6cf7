"""Drive a relay and minions in one process over loopback sockets."""

import asyncio
import random

import behave
from nutmegshelf import configuration, declarations, ids, platform
from nutmegshelf_entry import claimant, minions, relay, slots, telemetry
from nutmegshelf_http import server
from nutmegshelf_standins import caller, minion

from features import fakes


class Site:
    """Hold one entry's path and its minions."""

    def __init__(self, service, rng):
        self.service = service
        self.rng = rng
        self.minions = []
        self.servers = []
        self.calls = None
        self.port = 0

    async def start(self, count, seats=1, **declared):
        self.rows = fakes.Rows()
        records = [await self._start_minion(number) for number in range(count)]
        service = declarations.Service(
            pool=ids.PoolName("p"), wanted_minions=count, hosts=("orders.example",), **declared
        )
        sets = declarations.DeclarationSet(services={ids.ServiceName(self.service): service})
        head = configuration.Head(version=ids.Version(1), digest="", publish_id=ids.PublishId("p1"))
        in_force = configuration.InForce(configuration.Accepted(head=head, declarations=sets))
        self.slots = slots.Slots(ids.ZoneName("z0"), seats, self.rng)
        self.slots.set_declared(sets)
        self.slots.set_records(tuple(records))
        keys = claimant.Claimant(self.rows, ids.EntryId("e0"))
        committing = asyncio.ensure_future(keys.run())
        self.committing = committing
        self.relay = relay.Relay(
            in_force,
            self.slots,
            minions.MinionPool(),
            keys,
            telemetry.Telemetry(0.0),
        )
        self.relay.refusing = None
        self.entry = server.Server(self.relay.handle, bad_head=relay.bad_head)
        self.port = await self.entry.start("127.0.0.1", 0)
        self.calls = caller.Caller([self.port], self.rng)

    async def _start_minion(self, number):
        name = ids.MinionId(f"{self.service}-{number}")
        served = minion.Minion(name, 0.001, random.Random(number))
        listener = server.Server(served.handle)
        port = await listener.start("127.0.0.1", 0)
        self.minions.append(served)
        self.servers.append(listener)
        return platform.MinionRecord(
            minion=name,
            service=ids.ServiceName(self.service),
            host="127.0.0.1",
            port=port,
            zone=ids.ZoneName(f"z{number}"),
            rack=ids.RackName("r"),
            worker=ids.WorkerId(f"w{number}"),
        )

    async def close(self):
        await self.entry.close()
        self.committing.cancel()
        for listener in self.servers:
            await listener.close()

    def verdict(self):
        return caller.judge(self.calls.done, [one.records for one in self.minions])


@behave.given('{count:d} minions of "{service}" behind an entry')
def start_site(context, count, service):
    context.site = Site(service, context.rng)
    context.cleanup.append(context.site.close)
    context.run(context.site.start(count))


@behave.given("the minion {number:d} is gone without notice")
def end_minion(context, number):
    context.run(context.site.servers[number].close())


@behave.when(
    "a caller sends {count:d} {method} requests with {sent:d} bytes "
    "for {answered:d} bytes {framing}"
)
def send_requests(context, count, method, sent, answered, framing):
    async def send():
        for number in range(count):
            call = caller.Call(
                token=f"t{number}",
                service=context.site.service,
                method=method,
                answer_bytes=answered,
                chunked=framing == "chunked",
                body=b"b" * sent,
            )
            await context.site.calls.call(call)

    context.run(send())


@behave.when("a caller sends the bytes {text}")
def send_bytes(context, text):
    async def send():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
        writer.write(text.encode().decode("unicode_escape").encode("latin-1"))
        async with asyncio.timeout(10):
            context.answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()

    context.run(send())


@behave.then("all answers are whole")
def check_whole(context):
    verdict = context.site.verdict()
    assert verdict.whole == verdict.requests > 0, str(verdict)
    assert verdict.is_kept, str(verdict)


@behave.then("no request ran twice")
def check_once(context):
    tokens = [run.token for one in context.site.minions for run in one.records.runs]
    assert len(tokens) == len(set(tokens)), tokens


@behave.then('the answer has status {status:d} and outcome "{outcome}"')
def check_answer(context, status, outcome):
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
    assert f"nutmegshelf-outcome: {outcome}".encode() in context.answer.lower(), context.answer


@behave.then("no minion saw a request")
def check_untouched(context):
    assert not any(one.records.runs for one in context.site.minions)
