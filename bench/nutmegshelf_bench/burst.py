"""Measure a burst of one service through real entries, minions and sockets."""

import asyncio
import random

from nutmegshelf_standins import caller, demo, process

from nutmegshelf_bench import figures

_ENTRY_COUNT = 7
_MEAN_SERVICE_TIME_S = 0.4
_SLOTS_PER_SERVICE = 64
_MEAN_DEMAND_FRACTION = 0.3
_BURST_FACTOR = 5
_DURATION_S = 6.0
_CALL_TIMEOUT_MS = 2000
_BURSTING_SERVICE, _STEADY_SERVICE = "desk-a", "desk-b"


async def _send_calls(
    service_caller: caller.Caller, service: str, load_factor: int, rng: random.Random
) -> None:
    rate_per_s = _MEAN_DEMAND_FRACTION * load_factor * _SLOTS_PER_SERVICE / _MEAN_SERVICE_TIME_S
    loop = asyncio.get_running_loop()
    end_s = loop.time() + _DURATION_S
    number = 0
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_s:
            # Half of the calls go to the first entry.
            port = (
                service_caller.ports[0]
                if rng.random() < 0.5
                else rng.choice(service_caller.ports[1:])
            )
            call = caller.Call(
                token=f"{service}-{number}",
                service=service,
                method=rng.choice(["GET", "POST"]),
                path="/scans",
                timeout_ms=_CALL_TIMEOUT_MS,
            )
            group.create_task(service_caller.call(call, port))
            number += 1
            await asyncio.sleep(rng.expovariate(rate_per_s))


async def _measure(seed: int) -> None:
    async with process.Group() as group:
        deployment = demo.Deployment(
            group, demo.EXAMPLES / "dorna", seed, minion_mean_s=_MEAN_SERVICE_TIME_S
        )
        await deployment.start(entries=_ENTRY_COUNT)
        service_caller = caller.Caller(
            [ports.callers for ports in deployment.ports.values()], random.Random(seed)
        )
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                _send_calls(
                    service_caller, _BURSTING_SERVICE, _BURST_FACTOR, random.Random(f"{seed}:burst")
                )
            )
            tasks.create_task(
                _send_calls(service_caller, _STEADY_SERVICE, 1, random.Random(f"{seed}:steady"))
            )
        minion_records = await deployment.collect_records()
    for service in (_BURSTING_SERVICE, _STEADY_SERVICE):
        call_records = [
            call_record
            for call_record in service_caller.call_records
            if call_record.call.service == service
        ]
        complete_count = sum(
            call_record.result is caller.Result.COMPLETE for call_record in call_records
        )
        latencies_s = sorted(call_record.latency_s for call_record in call_records)
        name = f"burst.{'bursting' if service == _BURSTING_SERVICE else 'steady'}"
        figures.report(f"{name}.requests", len(call_records), "requests")
        figures.report(f"{name}.goodput", complete_count / len(call_records), "fraction")
        figures.report(
            f"{name}.served",
            complete_count / _DURATION_S * _MEAN_SERVICE_TIME_S / _SLOTS_PER_SERVICE,
            "of the slots",
        )
        figures.report(f"{name}.p99", latencies_s[int(0.99 * (len(latencies_s) - 1))] * 1000, "ms")
    summary = caller.summarize(service_caller.call_records, minion_records)
    figures.report("burst.unknown", summary.unknown, "requests")
    violations = summary.lost + summary.duplicated + summary.wrong_bodies + summary.false_refusals
    figures.report("burst.broken_promises", violations, "requests")
    figures.report(
        "burst.most_in_work",
        max(minion_record.max_concurrent_runs for minion_record in minion_records),
        "requests",
    )


@figures.register("burst")
def measure_burst(seed: int) -> None:
    """Print goodput and latency of a service at five times its mean demand, and of a steady one."""
    asyncio.run(_measure(seed))
