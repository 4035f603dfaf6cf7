"""Measure one burst through real entries, minions and sockets."""

import asyncio
import random

from nutmegshelf_standins import caller, demo, process

from nutmegshelf_bench import figures

_ENTRIES = 7
_MEAN_S = 0.4
_SLOTS = 64
_MEAN_DEMAND = 0.3
_LOAD = 5
_LENGTH_S = 6.0
_PATIENCE_MS = 2000
_BURSTING, _STEADY = "desk-a", "desk-b"


async def _come(calls: caller.Caller, service: str, load: int, rng: random.Random) -> None:
    rate_per_s = _MEAN_DEMAND * load * _SLOTS / _MEAN_S
    loop = asyncio.get_running_loop()
    end_s = loop.time() + _LENGTH_S
    number = 0
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_s:
            # Half of the callers see the first entry only.
            port = calls.ports[0] if rng.random() < 0.5 else rng.choice(calls.ports[1:])
            call = caller.Call(
                token=f"{service}-{number}",
                service=service,
                method=rng.choice(["GET", "POST"]),
                path="/scans",
                timeout_ms=_PATIENCE_MS,
            )
            group.create_task(calls.call(call, port))
            number += 1
            await asyncio.sleep(rng.expovariate(rate_per_s))


async def _measure(seed: int) -> None:
    async with process.Group() as group:
        site = demo.Deployment(group, demo.EXAMPLES / "dorna", seed, minion_mean_s=_MEAN_S)
        await site.start(entries=_ENTRIES)
        calls = caller.Caller([one.callers for one in site.ports.values()], random.Random(seed))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_come(calls, _BURSTING, _LOAD, random.Random(f"{seed}:burst")))
            tasks.create_task(_come(calls, _STEADY, 1, random.Random(f"{seed}:steady")))
        records = await site.collect_records()
    for service in (_BURSTING, _STEADY):
        done = [one for one in calls.call_records if one.call.service == service]
        whole = sum(one.result is caller.Result.COMPLETE for one in done)
        times_s = sorted(one.latency_s for one in done)
        name = f"burst.{'bursting' if service == _BURSTING else 'steady'}"
        figures.report(f"{name}.requests", len(done), "requests")
        figures.report(f"{name}.goodput", whole / len(done), "fraction")
        figures.report(f"{name}.served", whole / _LENGTH_S * _MEAN_S / _SLOTS, "of the slots")
        figures.report(f"{name}.p99", times_s[int(0.99 * (len(times_s) - 1))] * 1000, "ms")
    verdict = caller.summarize(calls.call_records, records)
    figures.report("burst.unknown", verdict.unknown, "requests")
    broken = verdict.lost + verdict.duplicated + verdict.wrong_bodies + verdict.false_refusals
    figures.report("burst.broken_promises", broken, "requests")
    figures.report(
        "burst.most_in_work", max(one.max_concurrent_runs for one in records), "requests"
    )


@figures.register("burst")
def measure_burst(seed: int) -> None:
    """Print what one service at five times its mean gets, and what its neighbour gets."""
    asyncio.run(_measure(seed))
