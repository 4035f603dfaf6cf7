"""Compare throughput and latency through an entry with direct calls to a minion."""

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
_CALLS_PER_RUN = 3000
_LOW_LOAD_CALLS = 300


async def _measure_throughput(ports: list[int], service: str, seed: int) -> float:
    service_caller = caller.Caller(ports, random.Random(seed))

    async def call_repeatedly(number: int) -> None:
        for step in range(_CALLS_PER_RUN // _CONNECTIONS):
            call = caller.Call(token=f"{number}-{step}", service=service)
            await service_caller.call(call)

    started_s = time.perf_counter()
    await asyncio.gather(*(call_repeatedly(number) for number in range(_CONNECTIONS)))
    elapsed_s = time.perf_counter() - started_s
    complete_count = sum(
        call_record.result is caller.Result.COMPLETE for call_record in service_caller.call_records
    )
    return complete_count / elapsed_s


async def _measure_median_ms(port: int, service: str) -> float:
    service_caller = caller.Caller([port], random.Random(0))
    for number in range(_LOW_LOAD_CALLS):
        await service_caller.call(caller.Call(token=f"low-{number}", service=service))
    return (
        statistics.median(call_record.latency_s for call_record in service_caller.call_records)
        * 1000
    )


def _read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used; contention doesn't affect it."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _measure_cpu_ms(pid: int, port: int, service: str, seed: int) -> float:
    before_s = _read_cpu_s(pid)
    for _ in range(_REPEATS):
        await _measure_throughput([port], service, seed)
    return (_read_cpu_s(pid) - before_s) / (_REPEATS * _CALLS_PER_RUN) * 1000


async def _measure(seed: int) -> None:
    async with process.Group() as group:
        deployment = demo.Deployment(group, demo.EXAMPLES / "dorna", seed, minion_mean_s=0.0)
        await deployment.start(entries=1)
        minion_port = deployment.records[0].port
        service = str(deployment.records[0].service)
        entry_port = next(iter(deployment.ports.values())).callers
        await _measure_throughput([entry_port], service, seed)
        ratios, added_ms = [], []
        for _ in range(_REPEATS):
            minion_per_s = await _measure_throughput([minion_port], service, seed)
            entry_per_s = await _measure_throughput([entry_port], service, seed)
            ratios.append(entry_per_s / minion_per_s)
            added_ms.append(
                await _measure_median_ms(entry_port, service)
                - await _measure_median_ms(minion_port, service)
            )
        figures.report_spread("path.throughput_ratio", ratios, "ratio")
        figures.report_spread("path.added_p50_ms", added_ms, "ms")
        minion_pid = deployment.minions[deployment.records[0].minion].pid
        entry_pid = next(iter(deployment.entries.values())).pid
        minion_ms = await _measure_cpu_ms(minion_pid, minion_port, service, seed)
        entry_ms = await _measure_cpu_ms(entry_pid, entry_port, service, seed)
        figures.report("path.minion_cpu_ms", minion_ms, "ms/request")
        figures.report("path.entry_cpu_ms", entry_ms, "ms/request")
        figures.report("path.cpu_ratio", minion_ms / entry_ms, "ratio")
        figures.report("path.through_per_s", entry_per_s, "requests/s")
        figures.report("path.direct_per_s", minion_per_s, "requests/s")


@figures.register("path")
def measure_path(seed: int) -> None:
    """Print path.throughput_ratio, path.added_p50_ms and the processor time per request."""
    asyncio.run(_measure(seed))
