"""Complete entries, the platform and minions as hosts of the simulated network."""

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
_FIRST_ENTRY_PORT = 11_000
_READY_LIMIT_S = 30.0
# Time in which entries discover one another by heartbeats.
_DISCOVERY_TIME_S = 5.0


class MemoryPeers:
    """Replacement of peers.Peers that sends messages through the simulated network."""

    def __init__(self, entry, host, port, *_, **__):
        self.entry = entry
        self.address = f"memory://{network.CURRENT_HOST.get()}"
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
        source, target = network.CURRENT_HOST.get(), address.rpartition("/")[2]
        inbox = self._loop.peer_inboxes.get(address)
        if inbox is None:
            return
        data = codecs.pack(message)
        if not self._loop.network.resolve_delivery(
            network.Delivery(source, target, data)
        ).is_delivered:
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
    """Event loop of the simulated network, with messages between peers and their faults."""

    def __init__(self):
        super().__init__()
        self.peer_inboxes = {}
        self.message_fault = ""
        self._message_number = 0

    def get_message_delays_s(self):
        """Return the delay of each copy of the next message."""
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
    """The hosts of one test."""

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
        self._minion_count = minions
        self._more_files = more_files or {}

    async def start(self, entries=2):
        with network.on_host("platform"):
            await server.Server(self.platform.handle).start("127.0.0.1", _PLATFORM_PORT)
        for number in range(self._minion_count):
            await self._start_minion(number)
        self.list_minions()
        self._accept_configuration()
        for number in range(entries):
            await self.start_entry(f"entry-{number}")
        await asyncio.sleep(_DISCOVERY_TIME_S)

    async def _start_minion(self, number):
        name = ids.MinionId(f"minion-{number}")
        new_minion = minion.Minion(name, 0.05, random.Random(f"{self.seed}:{number}"))
        with network.on_host(name):
            port = await server.Server(new_minion.handle).start("127.0.0.1", 0)
        self.minions[name] = new_minion
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
        """Return the files of a declaration set by name."""
        fields = {
            "wanted_minions": self._minion_count,
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
        callers_port = _FIRST_ENTRY_PORT + 10 * len(self.ports)
        entry_settings = settings.Settings(
            entry=ids.EntryId(name),
            zone=ids.ZoneName(f"z{len(self.ports) % ZONES}"),
            platform=settings.Platform(host="127.0.0.1", port=_PLATFORM_PORT),
            callers=settings.Listener(port=callers_port),
            operators=settings.Operators(port=callers_port + 1),
            seats=8,
            heartbeat_interval_s=2.0,
            seed=self.seed,
        )
        self.ports[name] = entry_settings
        with (
            network.on_host(name),
            unittest.mock.patch.object(peers, "Peers", MemoryPeers),
        ):
            self.daemons[name] = daemon.Daemon(entry_settings)
            self.entries[name] = asyncio.create_task(self.daemons[name].run())
        await self.wait_ready(name)
        self.calls.ports.append(callers_port)

    def get_version(self, name):
        """Return the version of the active configuration of an entry."""
        return self.daemons[name]._active_configuration.version

    async def wait_ready(self, name):
        async with asyncio.timeout(_READY_LIMIT_S):
            while (await self.get_status(name, "/ready")) != 200:
                await asyncio.sleep(0.05)

    async def get_status(self, name, target):
        operator_client = client.Client("127.0.0.1", self.ports[name].operators.port)
        try:
            return (await operator_client.request("GET", target)).status
        except (OSError, h11.ProtocolError):
            # The port is not open yet, or the entry was killed before it answered.
            return 0
        finally:
            operator_client.close()

    async def call(self, token, entry="entry-0", method="POST", key=None, timeout_ms=5000, **more):
        call = caller.Call(
            token=token, service=SERVICE, method=method, key=key, timeout_ms=timeout_ms, **more
        )
        return await self.calls.call(call, self.ports[entry].callers.port)

    def count_runs(self):
        counts = collections.Counter()
        for running_minion in self.minions.values():
            counts.update(run.token for run in running_minion.records.runs)
        return counts

    def verdict(self):
        return caller.summarize(
            self.calls.call_records,
            [running_minion.records for running_minion in self.minions.values()],
        )

    async def close(self):
        self.network.interceptor = None
        for task in self.entries.values():
            task.cancel()
        self.loop.resume_all()
        await asyncio.gather(*self.entries.values(), return_exceptions=True)


@contextlib.contextmanager
def hosts(seed, **options):
    """Create the hosts of one test; yield them and a function that runs coroutines on them."""
    with asyncio.Runner(loop_factory=HostsLoop) as runner:
        created = Hosts(runner.get_loop(), seed, **options)
        try:
            yield created, runner.run
        finally:
            runner.run(created.close())
