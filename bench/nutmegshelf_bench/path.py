"""Measure the path: throughput and added time through one entry against direct."""

import asyncio
import os
import pathlib
import random
import statistics
import time

from nutmegshelf_standins import caller, demo, process

from nutmegshelf_bench import figures

_REPEATS = 5
_CONNECTIONS = 16
_CALLS = 3000
_LOW_LOAD_CALLS = 300


async def _throughput(ports: list[int], service: str, seed: int) -> float:
    calls = caller.Caller(ports, random.Random(seed))

    async def one(number: int) -> None:
        for step in range(_CALLS // _CONNECTIONS):
            call = caller.Call(token=f"{number}-{step}", service=service)
            await calls.call(call)

    started_s = time.perf_counter()
    await asyncio.gather(*(one(number) for number in range(_CONNECTIONS)))
    took_s = time.perf_counter() - started_s
    whole = sum(done.result is caller.Result.COMPLETE for done in calls.call_records)
    return whole / took_s


async def _median_ms(port: int, service: str) -> float:
    calls = caller.Caller([port], random.Random(0))
    for number in range(_LOW_LOAD_CALLS):
        await calls.call(caller.Call(token=f"low-{number}", service=service))
    return statistics.median(done.latency_s for done in calls.call_records) * 1000


def _cpu_s(pid: int) -> float:
    """Read the processor time that a process has used; contention doesn't change it."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _cpu_ms(pid: int, port: int, service: str, seed: int) -> float:
    before_s = _cpu_s(pid)
    for _ in range(_REPEATS):
        await _throughput([port], service, seed)
    return (_cpu_s(pid) - before_s) / (_REPEATS * _CALLS) * 1000


async def _measure(seed: int) -> None:
    async with process.Group() as group:
        site = demo.Deployment(group, demo.EXAMPLES / "dorna", seed, minion_mean_s=0.0)
        await site.start(entries=1)
        direct = site.records[0].port
        service = str(site.records[0].service)
        through = next(iter(site.ports.values())).callers
        await _throughput([through], service, seed)
        ratios, added = [], []
        for _ in range(_REPEATS):
            direct_per_s = await _throughput([direct], service, seed)
            through_per_s = await _throughput([through], service, seed)
            ratios.append(through_per_s / direct_per_s)
            added.append(await _median_ms(through, service) - await _median_ms(direct, service))
        figures.report_spread("path.throughput_ratio", ratios, "ratio")
        figures.report_spread("path.added_p50_ms", added, "ms")
        minion = site.minions[site.records[0].minion].pid
        entry = next(iter(site.entries.values())).pid
        minion_ms = await _cpu_ms(minion, direct, service, seed)
        entry_ms = await _cpu_ms(entry, through, service, seed)
        figures.report("path.minion_cpu_ms", minion_ms, "ms/request")
        figures.report("path.entry_cpu_ms", entry_ms, "ms/request")
        figures.report("path.cpu_ratio", minion_ms / entry_ms, "ratio")
        figures.report("path.through_per_s", through_per_s, "requests/s")
        figures.report("path.direct_per_s", direct_per_s, "requests/s")


@figures.register("path")
def measure_path(seed: int) -> None:
    """Print path.throughput_ratio and path.added_p50_ms."""
    asyncio.run(_measure(seed))
