"""Measure the rollout: from acceptance until a version is in force at seven entries."""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import random
import signal
import statistics
import time
import uuid

from nutmegshelf import codecs
from nutmegshelf_http import client
from nutmegshelf_standins import demo, platform, process

from nutmegshelf_bench import figures

_ENTRIES = 7
_PUBLISHES = 18
_FLAP_S = 2.0
_LIMIT_S = 30.0
_START_TRIES = 3
_REST_S = 5.0
_HOST = "127.0.0.1"
_FAULTS = {"healthy": platform.Faults(), "slow": platform.Faults(delay_s=1.0)}


@dataclasses.dataclass(slots=True)
class _Usage:
    cpu_s: float
    memory_mb: float


def _usage(pid: int) -> _Usage:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return _Usage(cpu_s, int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6)


class _Site(demo.Deployment):
    """Run a platform and entries without minions."""

    async def start_entries(self, push: bool) -> None:
        """Start the platform and the entries, and publish the example."""
        self.platform_port = (await self._group.start_standin("platform", "platform")).port
        self.extra_settings = f"push = {str(push).lower()}\n"
        for number in range(_ENTRIES):
            await self.add(f"entry-{number}")
        self.texts = {path.name: path.read_text() for path in self._example.glob("*.toml")}
        await self.publish_limit(100)

    async def add(self, name: str) -> None:
        """Start an entry; again where another program took one of its ports meanwhile."""
        for _ in range(_START_TRIES):
            await self.start_entry(name)
            while self.entries[name].is_running:
                with contextlib.suppress(OSError):
                    link = client.Client(_HOST, self.ports[name].operators)
                    await link.request("GET", "/ready")
                    link.close()
                    return
                await asyncio.sleep(0.05)
        raise SystemExit(f"rollout: {name} does not start")

    async def set_faults(self, faults: platform.Faults) -> None:
        """Let the platform misbehave."""
        link = client.Client(_HOST, self.platform_port)
        await link.request("PUT", "/control/faults", codecs.pack(faults))
        link.close()

    async def publish_limit(self, limit: int) -> tuple[int, float]:
        """Publish a changed limit; gives the version and when it was accepted."""
        files = dict(self.texts)
        files["services.toml"] = files["services.toml"].replace(
            "queue_limit = 256", f"queue_limit = {limit}", 1
        )
        asked = {"files": files, "publish_id": uuid.uuid4().hex, "operator": "bench"}
        while True:
            name = self.rng.choice(sorted(self.entries))
            link = client.Client(_HOST, self.ports[name].operators)
            try:
                async with asyncio.timeout(_LIMIT_S):
                    data = json.dumps(asked).encode()
                    answer = await link.request("POST", "/publish", data)
            except (OSError, TimeoutError):
                continue
            finally:
                link.close()
            if answer.status == 200:
                head = json.loads(answer.body)["head"]
                return head["version"], head["accepted_at_s"]
            await asyncio.sleep(0.2)

    async def wait_in_force(self, version: int) -> float:
        """Wait until every entry has logged the switch; gives the moment of the last one."""
        async with asyncio.timeout(_LIMIT_S):
            while True:
                moments = [self._switched_at_s(name, version) for name in self.entries]
                found = [moment for moment in moments if moment is not None]
                if len(found) == len(moments):
                    return max(found)
                await asyncio.sleep(0.05)

    def _switched_at_s(self, name: str, version: int) -> float | None:
        for line in (self._folder / f"{name}.log").read_text().splitlines():
            if "Switched the configuration." not in line:
                continue
            logged = json.loads(line)
            if logged["version"] >= version:
                return datetime.datetime.fromisoformat(logged["timestamp"]).timestamp()
        return None

    async def replace(self, name: str, number: int) -> None:
        """Kill an entry and start another in its place."""
        self.entries.pop(name).send_signal(signal.SIGKILL)
        await self.add(f"entry-{number}")
        await process.wait_until_ready(self.ports[f"entry-{number}"].operators)


async def _flap(site: _Site) -> None:
    for number in range(10_000):
        await site.set_faults(platform.Faults(down=number % 2 == 0))
        await asyncio.sleep(_FLAP_S)


async def _phase(site: _Site, state: str, first: int) -> list[float]:
    flapping = asyncio.create_task(_flap(site)) if state == "flapping" else None
    await site.set_faults(_FAULTS.get(state, platform.Faults()))
    took_s: list[float] = []
    replacing: asyncio.Task[None] | None = None
    for number in range(_PUBLISHES):
        version, accepted_s = await site.publish_limit(first + number)
        if number == _PUBLISHES // 2:
            killed = sorted(site.entries)[0]
            replacing = asyncio.create_task(site.replace(killed, _ENTRIES + first))
            await asyncio.sleep(0)
        took_s.append(await site.wait_in_force(version) - accepted_s)
        await asyncio.sleep(site.rng.uniform(0.0, 0.6))
    if replacing is not None:
        await replacing
    if flapping is not None:
        flapping.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await flapping
    await site.set_faults(platform.Faults())
    return took_s


def _show(name: str, took_s: list[float]) -> None:
    figures.report(f"{name}.p50_s", statistics.median(took_s), "s")
    figures.report(f"{name}.max_s", max(took_s), "s")
    figures.report(f"{name}.publishes", len(took_s), "publishes")


async def _measure_rest(site: _Site) -> None:
    pids = [entry.pid for entry in site.entries.values()]
    before, started_s = [_usage(pid) for pid in pids], time.monotonic()
    await asyncio.sleep(_REST_S)
    took_s = time.monotonic() - started_s
    after = [_usage(pid) for pid in pids]
    shares = [(b.cpu_s - a.cpu_s) / took_s for a, b in zip(before, after, strict=True)]
    figures.report_spread(
        "rollout.entry_rest_cpu", [100 * share for share in shares], "% of a core"
    )
    figures.report("rollout.entry_rest_memory", max(one.memory_mb for one in after), "MB")


async def _measure(seed: int) -> None:
    everything: list[float] = []
    async with process.Group() as group:
        site = _Site(group, demo.EXAMPLES / "dorna", seed)
        await site.start_entries(push=True)
        await _measure_rest(site)
        for number, state in enumerate(("healthy", "slow", "flapping")):
            took_s = await _phase(site, state, 1000 * (number + 1))
            _show(f"rollout.{state}", took_s)
            everything += took_s
    _show("rollout", everything)
    async with process.Group() as group:
        site = _Site(group, demo.EXAMPLES / "dorna", seed)
        await site.start_entries(push=False)
        for number, state in enumerate(("healthy", "slow")):
            _show(f"rollout.polling_{state}", await _phase(site, state, 1000 * (number + 1)))


@figures.register("rollout")
def measure_rollout(seed: int) -> None:
    """Print rollout.p50_s and rollout.max_s, each state of the table, and polling alone."""
    random.seed(seed)
    asyncio.run(_measure(seed))
