"""Run a deployment as processes, inject failures and check the results of its callers."""

import argparse
import asyncio
import dataclasses
import itertools
import pathlib
import random
import signal
import sys
import tomllib

import msgspec
from nutmegshelf import codecs, declarations, ids, platform, workers
from nutmegshelf_http import client

from nutmegshelf_standins import caller, minion, process

_KEYED_FRACTION = 0.6
_MAX_KEYED_RETRIES = 3
_UNNEEDED_RETRY_FRACTION = 0.2
_HOST = "127.0.0.1"
# The users require a few seconds; the design documents specify two.
_MAX_NEW_WORK_DELAY_S = 2.0
EXAMPLES = pathlib.Path("examples")


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of a demo; minions_per_service None means as many as declared."""

    entries: int = 3
    minions_per_service: int | None = None
    callers: int = 24
    calls_per_caller: int = 60
    pause_s: float = 1.0
    folder: str = "demo"


TINY = Size(
    entries=2, minions_per_service=2, callers=8, calls_per_caller=20, pause_s=0.3, folder="tiny"
)


@dataclasses.dataclass(slots=True)
class _Ports:
    callers: int
    operators: int
    peers: int


class Deployment:
    """The processes of one example deployment."""

    def __init__(
        self,
        group: process.Group,
        example: pathlib.Path,
        seed: int,
        minion_mean_s: float = 0.02,
        *,
        folder: str = "demo",
        settings: str = "",
    ) -> None:
        self.rng = random.Random(seed)
        self.entries: dict[str, process.Process] = {}
        self.ports: dict[str, _Ports] = {}
        self.minions: dict[ids.MinionId, process.Process] = {}
        self.records: list[platform.MinionRecord] = []
        self.extra_settings = settings
        self._group = group
        self._seed = seed
        self._minion_mean_s = minion_mean_s
        self._example = example
        self._folder = pathlib.Path("out") / f"{folder}-{example.name}"
        self._folder.mkdir(parents=True, exist_ok=True)
        self._revision = 0
        self.platform_port = 0
        texts = {path.name: path.read_text() for path in example.glob("*.toml")}
        self.declared = declarations.from_toml(texts)
        self.zones = tomllib.loads((example / "site" / "zones.toml").read_text())["zones"]

    async def start(self, entries: int = 3, minions_per_service: int | None = None) -> None:
        """Start the platform, the minions and the entries, and publish the example set."""
        self.platform_port = (await self._group.start_standin("platform", "platform")).port
        await asyncio.gather(
            *(
                self._start_minion(name, number)
                for name, service in self.declared.services.items()
                for number in range(minions_per_service or service.wanted_minions)
            )
        )
        await self.put_fleet()
        await self.put_workers()
        names = [f"entry-{number}" for number in range(entries)]
        for name in names:
            await self.start_entry(name)
        # The first set is published at an entry that has no configuration yet.
        await self.wait_for_port(self.ports[names[0]].operators)
        await self.publish(self.ports[names[0]].operators)
        for name in names:
            await process.wait_until_ready(self.ports[name].operators)

    async def _start_minion(self, service: ids.ServiceName, number: int) -> None:
        name = ids.MinionId(f"{service}-{number}")
        seed = str(self._seed * 1000 + len(self.minions))
        minion_process = await self._group.start_standin(
            name, "minion", name, "--seed", seed, "--mean-s", str(self._minion_mean_s)
        )
        zone = self.zones[number % len(self.zones)]
        self.minions[name] = minion_process
        self.records.append(
            platform.MinionRecord(
                minion=name,
                service=service,
                host=_HOST,
                port=minion_process.port,
                zone=ids.ZoneName(zone),
                rack=ids.RackName(f"{zone}-rack-{number // 4}"),
                worker=ids.WorkerId(f"worker-{name}"),
            )
        )

    async def put_fleet(self) -> None:
        """Replace the minion list of the platform with the present records."""
        self._revision += 1
        fleet_list = platform.FleetList(revision=self._revision, minions=tuple(self.records))
        platform_client = client.Client(_HOST, self.platform_port)
        await platform_client.request("PUT", "/control/fleet", codecs.pack(fleet_list))
        platform_client.close()

    async def put_workers(self) -> None:
        """Replace the worker list of the platform with one worker for each minion."""
        worker_records = [
            workers.WorkerRecord(
                worker=record.worker,
                zone=record.zone,
                rack=record.rack,
                pool=self.declared.services[record.service].pool,
            )
            for record in self.records
        ]
        platform_client = client.Client(_HOST, self.platform_port)
        await platform_client.request("PUT", "/control/workers", codecs.pack(worker_records))
        platform_client.close()

    async def scan_rows(self, prefix: str) -> list[platform.Row]:
        """Return the rows of the platform's table with a key prefix."""
        platform_client = client.Client(_HOST, self.platform_port)
        response = await platform_client.request("GET", f"/scan/{prefix}")
        platform_client.close()
        return codecs.unpack(response.body, list[platform.Row])

    async def write_row(self, write: platform.Write) -> None:
        """Write a row of the platform's table unconditionally."""
        platform_client = client.Client(_HOST, self.platform_port)
        transaction = platform.Transaction(writes=(write,))
        await platform_client.request("POST", "/table", codecs.pack(transaction))
        platform_client.close()

    async def start_entry(self, name: str) -> None:
        """Start an entry; the availability zones are assigned in turn."""
        zone = self.zones[len(self.ports) % len(self.zones)]
        ports = self.ports[name] = _Ports(*process.find_free_ports(3))
        text = (
            f'entry = "{name}"\nzone = "{zone}"\nseed = {self._seed}\n'
            f"{self.extra_settings}"
            f'[platform]\nhost = "{_HOST}"\nport = {self.platform_port}\n'
            f"[callers]\nport = {ports.callers}\n[operators]\nport = {ports.operators}\n"
            f"[peers]\nport = {ports.peers}\n"
        )
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        log = self._group.enter_context((self._folder / f"{name}.log").open("wb"))
        self.entries[name] = await self._group.start_entry(name, str(path), log)

    async def wait_for_port(self, port: int) -> None:
        """Wait until an entry responds at its operators' port."""
        async with asyncio.timeout(20):
            while True:
                try:
                    await client.Client(_HOST, port).request("GET", "/ready")
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    async def publish(self, port: int) -> None:
        """Publish the example set with the command line."""
        exit_code = await self._group.run_module(
            "nutmegshelf_cli", "publish", str(self._example), "--entry", f"{_HOST}:{port}"
        )
        if exit_code:
            raise SystemExit(f"demo: publish failed with exit code {exit_code}")

    async def drain_minion(self, name: ids.MinionId) -> None:
        """Mark a minion as leaving in the minion list of the platform."""
        self.records = [
            (
                msgspec.structs.replace(record, state=platform.HostState.LEAVING)
                if record.minion == name
                else record
            )
            for record in self.records
        ]
        await self.put_fleet()

    async def collect_records(self) -> list[minion.Records]:
        """Return the records of all minions."""
        records = []
        for minion_process in self.minions.values():
            minion_client = client.Client(_HOST, minion_process.port)
            response = await minion_client.request("GET", "/_records")
            minion_client.close()
            records.append(codecs.unpack(response.body, minion.Records))
        return records


def _make_call(rng: random.Random, paths: dict[str, str], number: int) -> caller.Call:
    method = rng.choice(["GET", "GET", "GET", "POST", "POST"])
    service = rng.choice(list(paths))
    is_keyed = method == "POST" and rng.random() < _KEYED_FRACTION
    return caller.Call(
        token=f"t{number}",
        service=service,
        method=method,
        path=paths[service] if is_keyed else "/demo",
        key=f"key-{number}" if is_keyed else None,
        response_bytes=rng.choice([0, 64, 2000, 200_000]),
        chunked=rng.random() < 0.3,
        body=b"x" * rng.choice([0, 10, 100_000]) if method == "POST" else b"",
    )


def get_keyed_paths(declared: declarations.DeclarationSet) -> dict[str, str]:
    """Return a path of each service for keyed calls, not idempotent where one is declared."""
    keyed_paths = {}
    for name, service in declared.services.items():
        prefixes = [rule.path_prefix for rule in service.rules if rule.idempotent is False]
        keyed_paths[str(name)] = prefixes[0] if prefixes else "/demo"
    return keyed_paths


class LoadGenerator:
    """Callers that send requests until a stop is requested."""

    def __init__(self, calls: caller.Caller, paths: dict[str, str], seed: int) -> None:
        self.stop_requested = asyncio.Event()
        self._calls = calls
        self._paths = paths
        self._seed = seed
        self._numbers = itertools.count()

    async def run_caller(self, caller_number: int, min_calls: int) -> None:
        """Send calls in sequence until a stop is requested, at least a given number."""
        rng = random.Random(self._seed * 1000 + caller_number)
        sent_calls = 0
        while sent_calls < min_calls or not self.stop_requested.is_set():
            sent_calls += 1
            await self._send(_make_call(rng, self._paths, next(self._numbers)), rng)
            await asyncio.sleep(rng.expovariate(1 / 0.05))

    async def _send(self, call: caller.Call, rng: random.Random) -> None:
        if call.key is None:
            await self._calls.call(call)
            return
        record = await self._calls.call_with_retries(call, _MAX_KEYED_RETRIES)
        if record.result is caller.Result.COMPLETE and rng.random() < _UNNEEDED_RETRY_FRACTION:
            # Simulates a caller that missed the response; the retry goes through any entry.
            await self._calls.call(call)


@dataclasses.dataclass(slots=True)
class _Disruption:
    """The drained minion, when it was listed as leaving, and the exit code after SIGTERM."""

    drained: ids.MinionId
    listed_s: float
    exit_code: int = -1


async def _replace_entry(
    site: Deployment, calls: caller.Caller, name: str, signal_number: signal.Signals, new_name: str
) -> int:
    """Signal an entry, start another one, and return the exit code of the first."""
    site.entries[name].send_signal(signal_number)
    if signal_number is signal.SIGTERM:
        # A load balancer detects with a delay that the entry is not ready.
        await asyncio.sleep(0.3)
    calls.ports.remove(site.ports[name].callers)
    await site.start_entry(new_name)
    await process.wait_until_ready(site.ports[new_name].operators)
    calls.ports.append(site.ports[new_name].callers)
    return await site.entries[name].wait()


async def _inject_failures(site: Deployment, calls: caller.Caller, pause_s: float) -> _Disruption:
    await asyncio.sleep(pause_s)
    drained = next(iter(site.minions))
    await site.drain_minion(drained)
    disruption = _Disruption(drained, asyncio.get_running_loop().time())
    await asyncio.sleep(pause_s)
    await _replace_entry(site, calls, "entry-1", signal.SIGKILL, "entry-8")
    disruption.exit_code = await _replace_entry(site, calls, "entry-0", signal.SIGTERM, "entry-9")
    return disruption


def _find_faults(records: list[minion.Records], disruption: _Disruption) -> list[str]:
    """Return violated guarantees that the records of the callers do not show."""
    delays_s = [
        run.started_s - disruption.listed_s
        for record in records
        if record.minion == disruption.drained
        for run in record.runs
        if run.started_s > disruption.listed_s + _MAX_NEW_WORK_DELAY_S
    ]
    faults = [
        f"new request at a leaving minion {delay_s:.1f} s after it was listed"
        for delay_s in delays_s
    ]
    if disruption.exit_code:
        faults.append(f"an entry exited with code {disruption.exit_code} after SIGTERM")
    return faults


async def run(example: pathlib.Path, seed: int, size: Size) -> int:
    """Run the demo and return its exit code."""
    print(f"demo: seed {seed}, example {example.name}", flush=True)
    async with process.Group() as group:
        site = Deployment(group, example, seed, folder=size.folder)
        await site.start(size.entries, size.minions_per_service)
        ports = [entry.callers for entry in site.ports.values()]
        calls = caller.Caller(ports, random.Random(seed))
        load_generator = LoadGenerator(calls, get_keyed_paths(site.declared), seed)
        async with asyncio.TaskGroup() as task_group:
            for number in range(size.callers):
                task_group.create_task(load_generator.run_caller(number, size.calls_per_caller))
            disruption = await _inject_failures(site, calls, size.pause_s)
            load_generator.stop_requested.set()
        records = await site.collect_records()
        faults = _find_faults(records, disruption)
        summary = caller.summarize(calls.call_records, records)
    faults += [f"process {name} is still running" for name in group.list_running()]
    if summary.false_refusals:
        faults.append(f"{summary.false_refusals} requests refused as not-run had run")
    keyed = [record for record in calls.call_records if record.call.key]
    retry_count = len(keyed) - len({record.call.key for record in keyed})
    print(f"demo: {len(keyed)} requests with a key, {retry_count} of them retries")
    for fault in faults:
        print(f"demo: {fault}")
    print(f"demo: {summary}", flush=True)
    return 0 if summary.is_consistent and summary.complete and not faults else 1


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--example", default="dorna")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--tiny", action="store_true", help="run a small deployment for CI")
    arguments = parser.parse_args()
    size = TINY if arguments.tiny else Size()
    sys.exit(asyncio.run(run(EXAMPLES / arguments.example, arguments.seed, size)))


if __name__ == "__main__":
    _main()
