"""Run whole entries, the platform and minions as hosts of the faked network."""

import asyncio
import collections
import contextlib
import random
import unittest.mock

import h11
from nutmegshelf import codecs, configuration, declarations, ids, messages, platform
from nutmegshelf_entry import daemon, peers, settings
from nutmegshelf_http import client, server
from nutmegshelf_standins import caller, minion, network
from nutmegshelf_standins import platform as platform_standin

SERVICE = "orders"
ZONES = 3
_PLATFORM_PORT = 10_000
_ENTRY_PORTS = 11_000
_READY_LIMIT_S = 30.0
# Entries find each other by their heartbeats.
_ACQUAINTANCE_S = 5.0


class MemoryPeers:
    """Carry peer messages over the faked network's rules; takes the place of peers.Peers."""

    def __init__(self, entry, host, port, *_, **__):
        self.entry = entry
        self.address = f"memory://{network.HOST.get()}"
        self._loop = asyncio.get_running_loop()
        self._inbox = asyncio.Queue()
        self._addresses = set()
        self._loop.peer_inboxes[self.address] = self._inbox

    def set_addresses(self, addresses):
        self._addresses = set(addresses)

    def broadcast(self, message):
        for address in sorted(self._addresses):
            self.send(address, message)

    def send(self, address, message):
        source, target = network.HOST.get(), address.rpartition("/")[2]
        inbox = self._loop.peer_inboxes.get(address)
        if inbox is None:
            return
        data = codecs.pack(message)
        if not self._loop.network.fate_of(network.Delivery(source, target, data)).arrives:
            return
        for delay_s in self._loop.get_message_delays_s():
            self._loop.call_later(delay_s, inbox.put_nowait, data)

    async def run(self, handler):
        while True:
            data = await self._inbox.get()
            message = codecs.CODECS["msgpack"].decode(data, messages.AnyMessage)
            if message.sender != self.entry:
                await handler(message)

    def close(self):
        self._loop.peer_inboxes.pop(self.address, None)


class HostsLoop(network.NetworkLoop):
    """Add the peers' messages and their faults to the faked network."""

    def __init__(self):
        super().__init__()
        self.peer_inboxes = {}
        self.message_fault = ""
        self._message_number = 0

    def get_message_delays_s(self):
        """Say when each copy of the next message arrives."""
        self._message_number += 1
        match self.message_fault:
            case "late":
                return [3.0]
            case "twice":
                return [0.001, 0.5]
            case "out of order":
                return [0.001 if self._message_number % 2 else 0.2]
            case _:
                return [0.001]


class Hosts:
    """Own the hosts of one test."""

    def __init__(self, loop, seed, minions=3, more_files=None):
        self.loop = loop
        self.network = loop.network
        self.platform = platform_standin.Platform()
        self.minions = {}
        self.records = []
        self.entries = {}
        self.daemons = {}
        self.dead_entries = set()
        self.ports = {}
        self.calls = caller.Caller([], random.Random(seed))
        self.seed = seed
        self._count = minions
        self._more_files = more_files or {}

    async def start(self, entries=2):
        with network.on_host("platform"):
            await server.Server(self.platform.handle).start("127.0.0.1", _PLATFORM_PORT)
        for number in range(self._count):
            await self._start_minion(number)
        self.list_minions()
        self._accept_configuration()
        for number in range(entries):
            await self.start_entry(f"entry-{number}")
        await asyncio.sleep(_ACQUAINTANCE_S)

    async def _start_minion(self, number):
        name = ids.MinionId(f"minion-{number}")
        served = minion.Minion(name, 0.05, random.Random(f"{self.seed}:{number}"))
        with network.on_host(name):
            port = await server.Server(served.handle).start("127.0.0.1", 0)
        self.minions[name] = served
        self.records.append(
            platform.MinionRecord(
                minion=name,
                service=ids.ServiceName(SERVICE),
                host="127.0.0.1",
                port=port,
                zone=ids.ZoneName(f"z{number % ZONES}"),
                rack=ids.RackName(f"z{number % ZONES}-r{number // ZONES}"),
                worker=ids.WorkerId(f"w{number}"),
            )
        )

    def list_minions(self):
        self.platform.fleet.put(tuple(self.records))

    def declared_files(self, **changes):
        """Give the texts of a set of declarations."""
        fields = {
            "wanted_minions": self._count,
            "slots_per_minion": 8,
            "connections_per_minion": 60,
            "timeout_ms": 5000,
            "queue_limit": 256,
            **changes,
        }
        lines = [f"{name} = {value}" for name, value in fields.items()]
        pool = "wanted_workers = 6\nworker_cores = 8\nworker_memory_gb = 16"
        service = "\n".join(lines)
        return {
            "pools.toml": f"[pools.orders]\n{pool}\n",
            "services.toml": f'[services.{SERVICE}]\npool = "orders"\n{service}\n',
            **self._more_files,
        }

    def _accept_configuration(self):
        declared = declarations.from_toml(self.declared_files())
        data, digest = configuration.encode_set(declared)
        head = configuration.Head(
            version=ids.Version(1), digest=digest, publish_id=ids.PublishId("first")
        )
        self.platform.store.objects[configuration.set_key(head)] = data
        write = platform.Write(configuration.HEAD_KEY, codecs.pack(head))
        self.platform.store.commit(platform.Transaction(writes=(write,)))

    async def start_entry(self, name):
        first = _ENTRY_PORTS + 10 * len(self.ports)
        own = settings.Settings(
            entry=ids.EntryId(name),
            zone=ids.ZoneName(f"z{len(self.ports) % ZONES}"),
            platform=settings.Platform(host="127.0.0.1", port=_PLATFORM_PORT),
            callers=settings.Listener(port=first),
            operators=settings.Operators(port=first + 1),
            seats=8,
            heartbeat_interval_s=2.0,
            seed=self.seed,
        )
        self.ports[name] = own
        with (
            network.on_host(name),
            unittest.mock.patch.object(peers, "Peers", MemoryPeers),
        ):
            self.daemons[name] = daemon.Daemon(own)
            self.entries[name] = asyncio.create_task(self.daemons[name].run())
        await self.wait_ready(name)
        self.calls.ports.append(first)

    def get_version(self, name):
        """Give the version in force at an entry, as its operators see it."""
        return self.daemons[name]._in_force.version

    async def wait_ready(self, name):
        async with asyncio.timeout(_READY_LIMIT_S):
            while (await self.get_status(name, "/ready")) != 200:
                await asyncio.sleep(0.05)

    async def get_status(self, name, target):
        link = client.Client("127.0.0.1", self.ports[name].operators.port)
        try:
            return (await link.request("GET", target)).status
        except (OSError, h11.ProtocolError):
            # Nobody listens yet, or the entry was killed while it answered.
            return 0
        finally:
            link.close()

    async def call(self, token, entry="entry-0", method="POST", key=None, timeout_ms=5000, **more):
        call = caller.Call(
            token=token, service=SERVICE, method=method, key=key, timeout_ms=timeout_ms, **more
        )
        return await self.calls.call(call, self.ports[entry].callers.port)

    def count_runs(self):
        found = collections.Counter()
        for served in self.minions.values():
            found.update(run.token for run in served.records.runs)
        return found

    def verdict(self):
        return caller.judge(self.calls.done, [one.records for one in self.minions.values()])

    async def close(self):
        self.network.tap = None
        for task in self.entries.values():
            task.cancel()
        self.loop.bury()
        await asyncio.gather(*self.entries.values(), return_exceptions=True)


@contextlib.contextmanager
def hosts(seed, **given):
    """Run a test on hosts of its own; gives them and a function that runs coroutines."""
    with asyncio.Runner(loop_factory=HostsLoop) as runner:
        made = Hosts(runner.get_loop(), seed, **given)
        try:
            yield made, runner.run
        finally:
            runner.run(made.close())
