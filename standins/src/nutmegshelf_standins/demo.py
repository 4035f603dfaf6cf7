"""Run a deployment as processes, disturb it and count what its callers got."""

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
_KEYED_REPEATS = 3
_NEEDLESS_REPEATS_FRACTION = 0.2
_HOST = "127.0.0.1"
# The users ask for a few seconds; the design page for two.
_NEW_WORK_LIMIT_S = 2.0
EXAMPLES = pathlib.Path("examples")


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Say how large a demo is; none of the minions means as many as are declared."""

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
    """Own the processes of one example deployment."""

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
        """Start the platform, the minions and the entries, and publish the example."""
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
        # The first publish goes to an entry that has no configuration yet.
        await self.wait_for_port(self.ports[names[0]].operators)
        await self.publish(self.ports[names[0]].operators)
        for name in names:
            await process.wait_until_ready(self.ports[name].operators)

    async def _start_minion(self, service: ids.ServiceName, number: int) -> None:
        name = ids.MinionId(f"{service}-{number}")
        seed = str(self._seed * 1000 + len(self.minions))
        started = await self._group.start_standin(
            name, "minion", name, "--seed", seed, "--mean-s", str(self._minion_mean_s)
        )
        zone = self.zones[number % len(self.zones)]
        self.minions[name] = started
        self.records.append(
            platform.MinionRecord(
                minion=name,
                service=service,
                host=_HOST,
                port=started.port,
                zone=ids.ZoneName(zone),
                rack=ids.RackName(f"{zone}-rack-{number // 4}"),
                worker=ids.WorkerId(f"worker-{name}"),
            )
        )

    async def put_fleet(self) -> None:
        """Put the minions on the platform's list."""
        self._revision += 1
        listed = platform.FleetList(revision=self._revision, minions=tuple(self.records))
        control = client.Client(_HOST, self.platform_port)
        await control.request("PUT", "/control/fleet", codecs.pack(listed))
        control.close()

    async def put_workers(self) -> None:
        """Put a worker for each minion on the platform's list."""
        listed = [
            workers.WorkerRecord(
                worker=record.worker,
                zone=record.zone,
                rack=record.rack,
                pool=self.declared.services[record.service].pool,
            )
            for record in self.records
        ]
        control = client.Client(_HOST, self.platform_port)
        await control.request("PUT", "/control/workers", codecs.pack(listed))
        control.close()

    async def scan_rows(self, prefix: str) -> list[platform.Row]:
        """Read rows of the platform's table."""
        link = client.Client(_HOST, self.platform_port)
        answer = await link.request("GET", f"/scan/{prefix}")
        link.close()
        return codecs.unpack(answer.body, list[platform.Row])

    async def write_row(self, write: platform.Write) -> None:
        """Write a row of the platform's table whatever it holds."""
        link = client.Client(_HOST, self.platform_port)
        transaction = platform.Transaction(writes=(write,))
        await link.request("POST", "/table", codecs.pack(transaction))
        link.close()

    async def start_entry(self, name: str) -> None:
        """Start an entry in the next availability zone."""
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
        """Wait until an entry answers its operators."""
        async with asyncio.timeout(20):
            while True:
                try:
                    await client.Client(_HOST, port).request("GET", "/ready")
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    async def publish(self, port: int) -> None:
        """Publish the example with the operators' command line."""
        code = await self._group.run_module(
            "nutmegshelf_cli", "publish", str(self._example), "--entry", f"{_HOST}:{port}"
        )
        if code:
            raise SystemExit(f"demo: publish ended with {code}")

    async def drain_minion(self, name: ids.MinionId) -> None:
        """Let the platform's list say that a minion leaves."""
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
        """Read all minions' own records."""
        found = []
        for started in self.minions.values():
            link = client.Client(_HOST, started.port)
            answer = await link.request("GET", "/_records")
            link.close()
            found.append(codecs.unpack(answer.body, minion.Records))
        return found


def _make_call(rng: random.Random, paths: dict[str, str], number: int) -> caller.Call:
    method = rng.choice(["GET", "GET", "GET", "POST", "POST"])
    service = rng.choice(list(paths))
    keyed = method == "POST" and rng.random() < _KEYED_FRACTION
    return caller.Call(
        token=f"t{number}",
        service=service,
        method=method,
        path=paths[service] if keyed else "/demo",
        key=f"key-{number}" if keyed else None,
        answer_bytes=rng.choice([0, 64, 2000, 200_000]),
        chunked=rng.random() < 0.3,
        body=b"x" * rng.choice([0, 10, 100_000]) if method == "POST" else b"",
    )


def get_keyed_paths(declared: declarations.DeclarationSet) -> dict[str, str]:
    """Give each service's path for orders, lift reports, payouts and the like."""
    found = {}
    for name, service in declared.services.items():
        strict = [rule.path_prefix for rule in service.rules if rule.idempotent is False]
        found[str(name)] = strict[0] if strict else "/demo"
    return found


class LoadGenerator:
    """Own the callers, who go on until the disturbances are over."""

    def __init__(self, calls: caller.Caller, paths: dict[str, str], seed: int) -> None:
        self.stop_requested = asyncio.Event()
        self._calls = calls
        self._paths = paths
        self._seed = seed
        self._numbers = itertools.count()

    async def run_caller(self, caller_number: int, least: int) -> None:
        """Send calls one after the other."""
        rng = random.Random(self._seed * 1000 + caller_number)
        sent = 0
        while sent < least or not self.stop_requested.is_set():
            sent += 1
            await self._send(_make_call(rng, self._paths, next(self._numbers)), rng)
            await asyncio.sleep(rng.expovariate(1 / 0.05))

    async def _send(self, call: caller.Call, rng: random.Random) -> None:
        if call.key is None:
            await self._calls.call(call)
            return
        done = await self._calls.call_with_retries(call, _KEYED_REPEATS)
        if done.result is caller.Result.COMPLETE and rng.random() < _NEEDLESS_REPEATS_FRACTION:
            # A caller that lost its answer asks again, through any entry.
            await self._calls.call(call)


@dataclasses.dataclass(slots=True)
class _Disturbed:
    """Keep what was done to the deployment."""

    drained: ids.MinionId
    listed_s: float
    exit_code: int = -1


async def _replace(
    site: Deployment, calls: caller.Caller, name: str, number: signal.Signals, fresh: str
) -> int:
    """Signal an entry, start another in its place, and give the exit code of the first."""
    site.entries[name].send_signal(number)
    if number is signal.SIGTERM:
        # The platform's balancer takes a moment to see that the entry is not ready.
        await asyncio.sleep(0.3)
    calls.ports.remove(site.ports[name].callers)
    await site.start_entry(fresh)
    await process.wait_until_ready(site.ports[fresh].operators)
    calls.ports.append(site.ports[fresh].callers)
    return await site.entries[name].wait()


async def _disturb(site: Deployment, calls: caller.Caller, pause_s: float) -> _Disturbed:
    await asyncio.sleep(pause_s)
    drained = next(iter(site.minions))
    await site.drain_minion(drained)
    done = _Disturbed(drained, asyncio.get_running_loop().time())
    await asyncio.sleep(pause_s)
    await _replace(site, calls, "entry-1", signal.SIGKILL, "entry-8")
    done.exit_code = await _replace(site, calls, "entry-0", signal.SIGTERM, "entry-9")
    return done


def _faults(records: list[minion.Records], done: _Disturbed) -> list[str]:
    """Name broken promises that the callers' records don't show."""
    late = [
        run.started_s - done.listed_s
        for record in records
        if record.minion == done.drained
        for run in record.runs
        if run.started_s > done.listed_s + _NEW_WORK_LIMIT_S
    ]
    found = [f"new work at a leaving minion {after_s:.1f} s after its listing" for after_s in late]
    if done.exit_code:
        found.append(f"a planned stop of an entry ended with {done.exit_code}")
    return found


async def run(example: pathlib.Path, seed: int, size: Size) -> int:
    """Run the demo and give its exit code."""
    print(f"demo: seed {seed}, example {example.name}", flush=True)
    async with process.Group() as group:
        site = Deployment(group, example, seed, folder=size.folder)
        await site.start(size.entries, size.minions_per_service)
        ports = [entry.callers for entry in site.ports.values()]
        calls = caller.Caller(ports, random.Random(seed))
        callers = LoadGenerator(calls, get_keyed_paths(site.declared), seed)
        async with asyncio.TaskGroup() as tasks:
            for number in range(size.callers):
                tasks.create_task(callers.run_caller(number, size.calls_per_caller))
            done = await _disturb(site, calls, size.pause_s)
            callers.stop_requested.set()
        records = await site.collect_records()
        faults = _faults(records, done)
        verdict = caller.summarize(calls.call_records, records)
    faults += [f"the process {name} was left behind" for name in group.list_running()]
    if verdict.false_refusals:
        faults.append(f"{verdict.false_refusals} refused as not-run had run")
    keyed = [one for one in calls.call_records if one.call.key]
    repeats = len(keyed) - len({one.call.key for one in keyed})
    print(f"demo: {len(keyed)} requests with a key, {repeats} of them repeats")
    for fault in faults:
        print(f"demo: {fault}")
    print(f"demo: {verdict}", flush=True)
    return 0 if verdict.is_consistent and verdict.complete and not faults else 1


def _main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--example", default="dorna")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--tiny", action="store_true", help="run a small deployment for CI")
    given = parser.parse_args()
    size = TINY if given.tiny else Size()
    sys.exit(asyncio.run(run(EXAMPLES / given.example, given.seed, size)))


if __name__ == "__main__":
    _main()
