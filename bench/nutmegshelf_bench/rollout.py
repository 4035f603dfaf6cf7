"""Measure the time from acceptance of a version until it is in force at all entries."""

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

_ENTRY_COUNT = 7
_PUBLISH_COUNT = 18
_FLAP_INTERVAL_S = 2.0
_TIMEOUT_S = 30.0
_MAX_START_ATTEMPTS = 3
_IDLE_WINDOW_S = 5.0
_HOST = "127.0.0.1"
_FAULTS_BY_STATE = {"healthy": platform.Faults(), "slow": platform.Faults(delay_s=1.0)}


@dataclasses.dataclass(slots=True)
class _Usage:
    cpu_s: float
    memory_mb: float


def _read_usage(pid: int) -> _Usage:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return _Usage(cpu_s, int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6)


class _Deployment(demo.Deployment):
    """A deployment of a platform and entries, without minions."""

    async def start_entries(self, push: bool) -> None:
        """Start the platform and the entries, and publish the example."""
        self.platform_port = (await self._group.start_standin("platform", "platform")).port
        self.extra_settings = f"push = {str(push).lower()}\n"
        for number in range(_ENTRY_COUNT):
            await self.start_entry_with_retries(f"entry-{number}")
        self.texts = {path.name: path.read_text() for path in self._example.glob("*.toml")}
        await self.publish_limit(100)

    async def start_entry_with_retries(self, name: str) -> None:
        """Start an entry; retry if another program takes one of its ports first."""
        for _ in range(_MAX_START_ATTEMPTS):
            await self.start_entry(name)
            while self.entries[name].is_running:
                with contextlib.suppress(OSError):
                    http_client = client.Client(_HOST, self.ports[name].operators)
                    await http_client.request("GET", "/ready")
                    http_client.close()
                    return
                await asyncio.sleep(0.05)
        raise SystemExit(f"rollout: {name} did not start after repeated attempts")

    async def set_faults(self, faults: platform.Faults) -> None:
        """Set the faults that the platform injects."""
        http_client = client.Client(_HOST, self.platform_port)
        await http_client.request("PUT", "/control/faults", codecs.pack(faults))
        http_client.close()

    async def publish_limit(self, limit: int) -> tuple[int, float]:
        """Publish a changed queue limit; return the version and the time of its acceptance."""
        files = dict(self.texts)
        files["services.toml"] = files["services.toml"].replace(
            "queue_limit = 256", f"queue_limit = {limit}", 1
        )
        request = {"files": files, "publish_id": uuid.uuid4().hex, "operator": "bench"}
        while True:
            name = self.rng.choice(sorted(self.entries))
            http_client = client.Client(_HOST, self.ports[name].operators)
            try:
                async with asyncio.timeout(_TIMEOUT_S):
                    data = json.dumps(request).encode()
                    answer = await http_client.request("POST", "/publish", data)
            except (OSError, TimeoutError):
                continue
            finally:
                http_client.close()
            if answer.status == 200:
                head = json.loads(answer.body)["head"]
                return head["version"], head["accepted_at_s"]
            await asyncio.sleep(0.2)

    async def wait_in_force(self, version: int) -> float:
        """Wait until every entry has logged the switch; return the time of the last one."""
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                switch_times_s = [self._find_switch_time_s(name, version) for name in self.entries]
                switched_s = [
                    switch_time_s for switch_time_s in switch_times_s if switch_time_s is not None
                ]
                if len(switched_s) == len(switch_times_s):
                    return max(switched_s)
                await asyncio.sleep(0.05)

    def _find_switch_time_s(self, name: str, version: int) -> float | None:
        for line in (self._folder / f"{name}.log").read_text().splitlines():
            if "Switched the configuration." not in line:
                continue
            record = json.loads(line)
            if record["version"] >= version:
                return datetime.datetime.fromisoformat(record["timestamp"]).timestamp()
        return None

    async def replace_entry(self, name: str, number: int) -> None:
        """Kill an entry and start a new one in its place."""
        self.entries.pop(name).send_signal(signal.SIGKILL)
        await self.start_entry_with_retries(f"entry-{number}")
        await process.wait_until_ready(self.ports[f"entry-{number}"].operators)


async def _toggle_platform(deployment: _Deployment) -> None:
    for number in range(10_000):
        await deployment.set_faults(platform.Faults(down=number % 2 == 0))
        await asyncio.sleep(_FLAP_INTERVAL_S)


async def _measure_phase(deployment: _Deployment, state: str, first_limit: int) -> list[float]:
    toggling = asyncio.create_task(_toggle_platform(deployment)) if state == "flapping" else None
    await deployment.set_faults(_FAULTS_BY_STATE.get(state, platform.Faults()))
    rollout_times_s: list[float] = []
    replacement: asyncio.Task[None] | None = None
    for number in range(_PUBLISH_COUNT):
        version, accepted_s = await deployment.publish_limit(first_limit + number)
        if number == _PUBLISH_COUNT // 2:
            killed_name = sorted(deployment.entries)[0]
            replacement = asyncio.create_task(
                deployment.replace_entry(killed_name, _ENTRY_COUNT + first_limit)
            )
            await asyncio.sleep(0)
        rollout_times_s.append(await deployment.wait_in_force(version) - accepted_s)
        await asyncio.sleep(deployment.rng.uniform(0.0, 0.6))
    if replacement is not None:
        await replacement
    if toggling is not None:
        toggling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await toggling
    await deployment.set_faults(platform.Faults())
    return rollout_times_s


def _report(name: str, rollout_times_s: list[float]) -> None:
    figures.report(f"{name}.p50_s", statistics.median(rollout_times_s), "s")
    figures.report(f"{name}.max_s", max(rollout_times_s), "s")
    figures.report(f"{name}.publishes", len(rollout_times_s), "publishes")


async def _measure_idle(deployment: _Deployment) -> None:
    pids = [entry.pid for entry in deployment.entries.values()]
    before, started_s = [_read_usage(pid) for pid in pids], time.monotonic()
    await asyncio.sleep(_IDLE_WINDOW_S)
    elapsed_s = time.monotonic() - started_s
    after = [_read_usage(pid) for pid in pids]
    cpu_fractions = [
        (end.cpu_s - start.cpu_s) / elapsed_s for start, end in zip(before, after, strict=True)
    ]
    figures.report_spread(
        "rollout.entry_rest_cpu", [100 * fraction for fraction in cpu_fractions], "% of a core"
    )
    figures.report("rollout.entry_rest_memory", max(usage.memory_mb for usage in after), "MB")


async def _measure(seed: int) -> None:
    all_rollout_times_s: list[float] = []
    async with process.Group() as group:
        deployment = _Deployment(group, demo.EXAMPLES / "dorna", seed)
        await deployment.start_entries(push=True)
        await _measure_idle(deployment)
        for number, state in enumerate(("healthy", "slow", "flapping")):
            rollout_times_s = await _measure_phase(deployment, state, 1000 * (number + 1))
            _report(f"rollout.{state}", rollout_times_s)
            all_rollout_times_s += rollout_times_s
    _report("rollout", all_rollout_times_s)
    async with process.Group() as group:
        deployment = _Deployment(group, demo.EXAMPLES / "dorna", seed)
        await deployment.start_entries(push=False)
        for number, state in enumerate(("healthy", "slow")):
            _report(
                f"rollout.polling_{state}",
                await _measure_phase(deployment, state, 1000 * (number + 1)),
            )


@figures.register("rollout")
def measure_rollout(seed: int) -> None:
    """Print rollout.p50_s and rollout.max_s: overall, by platform state, and with polling only."""
    random.seed(seed)
    asyncio.run(_measure(seed))
