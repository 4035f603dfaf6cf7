"""Measure claims: how many a second, and what they cost in the table's commits and rows."""

import asyncio
import random
import statistics
import time
import unittest.mock
import uuid

from nutmegshelf import claims as decisions
from nutmegshelf import codecs, ids
from nutmegshelf_entry import claim_sweeper, claimant, table
from nutmegshelf_http import client
from nutmegshelf_standins import platform as platform_standin
from nutmegshelf_standins import process

from nutmegshelf_bench import figures

_REPEATS = 3
_RUN_S = 1.0
_CONCURRENCIES = (1, 16, 64, 256)
_TABLE_DELAYS_MS = (0, 5)
_PATIENCE_S = 10.0
_SWEEPS = 10
_UNPACED_PER_S = 1e9
_SERVICE = ids.ServiceName("payouts")
_ANSWER = decisions.StoredAnswer(status=201, body=b"b" * 200)


class _Run:
    """Claim and settle keys for a while, as so many callers at once."""

    def __init__(self, port: int, callers: int) -> None:
        self.rows = table.PlatformClient("127.0.0.1", port, 2.0)
        self.keys = claimant.Claimant(self.rows, ids.EntryId("bench"))
        self.waits_s: list[float] = []
        self._callers = callers

    async def go(self) -> None:
        """Run to the end."""
        committing = asyncio.ensure_future(self.keys.run())
        await asyncio.gather(*(self._call() for _ in range(self._callers)))
        await self.keys.wait_settled()
        committing.cancel()
        self.rows.close()

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _RUN_S
        while loop.time() < end_s:
            started_s = loop.time()
            claimed = await self.keys.claim(
                _SERVICE, uuid.uuid4().hex, "f", started_s + _PATIENCE_S
            )
            assert isinstance(claimed, claimant.Claim)
            self.waits_s.append(loop.time() - started_s)
            self.keys.settle(claimed, _ANSWER)
            # The settlement may go out with the next claim of this caller, as under load.
            await asyncio.sleep(0)


async def _measure_one(control: client.Client, port: int, name: str, callers: int) -> None:
    found: dict[str, list[float]] = {"claims_per_s": [], "commits_per_s": [], "rows_per_s": []}
    waits_ms: list[float] = []
    for _ in range(_REPEATS):
        run = _Run(port, callers)
        before = await _writes(control)
        started_s = time.perf_counter()
        await run.go()
        took_s = time.perf_counter() - started_s
        found["claims_per_s"].append(len(run.waits_s) / took_s)
        found["commits_per_s"].append((await _writes(control) - before) / took_s)
        found["rows_per_s"].append(run.keys.changes_applied / took_s)
        waits_ms.append(statistics.median(run.waits_s) * 1000)
    for what, values in found.items():
        figures.report_spread(f"{name}.{what}", values, "1/s")
    figures.report_spread(f"{name}.claim_p50_ms", waits_ms, "ms")


def _late_wall_s() -> float:
    return time.time() + 2 * decisions.RETENTION_S


async def _measure_sweep(control: client.Client, port: int) -> None:
    """Let claims grow old, and count how many go in a sweep and what it takes."""
    run = _Run(port, 64)
    await run.go()
    sweeper = claim_sweeper.ClaimSweeper(run.rows, random.Random(0), _late_wall_s)
    before = await _writes(control)
    started_s = time.perf_counter()
    sweeps = 0
    while sweeps < _SWEEPS and await sweeper.sweep_once():
        sweeps += 1
    took_s = time.perf_counter() - started_s
    rows = await run.rows.scan(decisions.PREFIX, limit=1_000_000)
    figures.report("claims.sweep.took_ms", took_s / sweeps * 1000, "ms")
    figures.report("claims.sweep.claims", (len(run.waits_s) - len(rows)) / sweeps, "claims/sweep")
    figures.report(
        "claims.sweep.commits", (await _writes(control) - before) / sweeps, "commits/sweep"
    )


async def _writes(control: client.Client) -> int:
    answer = await control.request("GET", "/control/counts")
    return int(codecs.unpack(answer.body, dict[str, int])["writes"])


async def _measure() -> None:
    async with process.Group() as group:
        port = (await group.start_standin("platform", "platform")).port
        control = client.Client("127.0.0.1", port)
        await _measure_sweep(control, port)
        for delay_ms in _TABLE_DELAYS_MS:
            faults = platform_standin.Faults(delay_s=delay_ms / 1000)
            await control.request("PUT", "/control/faults", codecs.pack(faults))
            for callers in _CONCURRENCIES:
                await _measure_one(control, port, f"claims.delay{delay_ms}ms.c{callers}", callers)
            # The ways without pacing, and without group commit, for comparison.
            with unittest.mock.patch.object(claimant, "_COMMITS_PER_S", _UNPACED_PER_S):
                name = f"claims.delay{delay_ms}ms.unpaced.c64"
                await _measure_one(control, port, name, 64)
            with (
                unittest.mock.patch.object(claimant, "_MAX_BATCH_CHANGES", 1),
                unittest.mock.patch.object(claimant, "_COMMITS_PER_S", _UNPACED_PER_S),
            ):
                await _measure_one(control, port, f"claims.delay{delay_ms}ms.alone.c64", 64)
        control.close()


@figures.register("claims")
def measure_claims(seed: int) -> None:
    """Print claims, commits and rows a second, and the time that a claim takes."""
    asyncio.run(_measure())
