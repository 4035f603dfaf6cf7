"""Run a relay and its minions in one process, over loopback sockets."""

import asyncio
import random

from nutmegshelf import configuration, declarations, ids, platform
from nutmegshelf_entry import claimant, connections, problems, relay, slots, telemetry
from nutmegshelf_http import server
from nutmegshelf_standins import caller, minion

from features import fakes


class Site:
    """The request path of one entry, with its minions."""

    def __init__(self, service, rng):
        self.service = service
        self.rng = rng
        self.minions = []
        self.servers = []
        self.scripts = []
        self.calls = None
        self.port = 0

    async def start(self, count, seats=1, **declared):
        self.rows = fakes.FaultyStore()
        records = [await self._start_minion(number) for number in range(count)]
        service = declarations.Service(
            pool=ids.PoolName("p"), wanted_minions=count, hosts=("orders.example",), **declared
        )
        declaration_set = declarations.DeclarationSet(
            services={ids.ServiceName(self.service): service}
        )
        head = configuration.Head(version=ids.Version(1), digest="", publish_id=ids.PublishId("p1"))
        active_configuration = configuration.ActiveConfiguration(
            configuration.Configuration(head=head, declarations=declaration_set)
        )
        self.slots = slots.Slots(ids.ZoneName("z0"), seats, self.rng)
        self.slots.set_declarations(declaration_set)
        self.slots.set_records(tuple(records))
        key_claimant = claimant.Claimant(self.rows, ids.EntryId("e0"))
        self.commit_task = asyncio.ensure_future(key_claimant.run())
        self.relay = relay.Relay(
            active_configuration,
            self.slots,
            connections.ConnectionPool(),
            key_claimant,
            telemetry.Telemetry(0.0),
        )
        self.relay.refusal = None
        self.entry = server.Server(self.relay.handle, make_error=problems.make_fault_response)
        self.port = await self.entry.start("127.0.0.1", 0)
        self.calls = caller.Caller([self.port], self.rng)

    async def _start_minion(self, number):
        name = ids.MinionId(f"{self.service}-{number}")
        if number < len(self.scripts):
            return await self._start_scripted_minion(name, self.scripts[number], number)
        standin = minion.Minion(name, 0.001, random.Random(number))
        listener = server.Server(standin.handle)
        port = await listener.start("127.0.0.1", 0)
        self.minions.append(standin)
        self.servers.append(listener)
        return self._make_record(name, number, port)

    async def _start_scripted_minion(self, name, script, number):
        """Start a minion that runs a script on each connection."""
        listener = await asyncio.start_server(script, "127.0.0.1", 0)
        self.servers.append(listener)
        return self._make_record(name, number, listener.sockets[0].getsockname()[1])

    def _make_record(self, name, number, port):
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
        self.commit_task.cancel()
        for listener in self.servers:
            if isinstance(listener, server.Server):
                await listener.close()
            else:
                listener.close()

    def verdict(self):
        return caller.summarize(
            self.calls.call_records, [standin.records for standin in self.minions]
        )
