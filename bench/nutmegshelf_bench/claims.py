"""Measure the rate of claims and their cost in commits and rows of the table."""

import asyncio
import random
import statistics
import time
import unittest.mock
import uuid

from nutmegshelf import claims as claim_rows
from nutmegshelf import codecs, ids
from nutmegshelf_entry import claim_sweeper, claimant, table
from nutmegshelf_http import client
from nutmegshelf_standins import platform as platform_standin
from nutmegshelf_standins import process

from nutmegshelf_bench import figures

_REPEATS = 3
_RUN_DURATION_S = 1.0
_CONCURRENCIES = (1, 16, 64, 256)
_TABLE_DELAYS_MS = (0, 5)
_CLAIM_TIMEOUT_S = 10.0
_MAX_SWEEPS = 10
_UNLIMITED_COMMITS_PER_S = 1e9
_SERVICE = ids.ServiceName("payouts")
_ANSWER = claim_rows.StoredAnswer(status=201, body=b"b" * 200)


class _Workload:
    """Concurrent callers that claim and settle keys for a fixed time."""

    def __init__(self, port: int, caller_count: int) -> None:
        self.platform_client = table.PlatformClient("127.0.0.1", port, 2.0)
        self.claimant = claimant.Claimant(self.platform_client, ids.EntryId("bench"))
        self.waits_s: list[float] = []
        self._caller_count = caller_count

    async def run(self) -> None:
        """Run all callers and wait until their claims are settled."""
        commit_task = asyncio.ensure_future(self.claimant.run())
        await asyncio.gather(*(self._call() for _ in range(self._caller_count)))
        await self.claimant.wait_settled()
        commit_task.cancel()
        self.platform_client.close()

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _RUN_DURATION_S
        while loop.time() < end_s:
            started_s = loop.time()
            claimed = await self.claimant.claim(
                _SERVICE, uuid.uuid4().hex, "f", started_s + _CLAIM_TIMEOUT_S
            )
            assert isinstance(claimed, claimant.Claim)
            self.waits_s.append(loop.time() - started_s)
            self.claimant.settle(claimed, _ANSWER)
            # Yields once, so that the settlement can share a commit with the next claim, as it may
            # under load.
            await asyncio.sleep(0)


async def _measure_workload(
    control: client.Client, port: int, name: str, caller_count: int
) -> None:
    rates_by_name: dict[str, list[float]] = {
        "claims_per_s": [],
        "commits_per_s": [],
        "rows_per_s": [],
    }
    waits_ms: list[float] = []
    for _ in range(_REPEATS):
        workload = _Workload(port, caller_count)
        writes_before = await _count_writes(control)
        started_s = time.perf_counter()
        await workload.run()
        elapsed_s = time.perf_counter() - started_s
        rates_by_name["claims_per_s"].append(len(workload.waits_s) / elapsed_s)
        rates_by_name["commits_per_s"].append(
            (await _count_writes(control) - writes_before) / elapsed_s
        )
        rates_by_name["rows_per_s"].append(workload.claimant.changes_applied / elapsed_s)
        waits_ms.append(statistics.median(workload.waits_s) * 1000)
    for rate_name, values in rates_by_name.items():
        figures.report_spread(f"{name}.{rate_name}", values, "1/s")
    figures.report_spread(f"{name}.claim_p50_ms", waits_ms, "ms")


def _get_time_after_expiry_s() -> float:
    return time.time() + 2 * claim_rows.RETENTION_S


async def _measure_sweep(control: client.Client, port: int) -> None:
    """Measure sweeps of expired claims: their duration, and the claims and commits in each."""
    workload = _Workload(port, 64)
    await workload.run()
    sweeper = claim_sweeper.ClaimSweeper(
        workload.platform_client, random.Random(0), _get_time_after_expiry_s
    )
    writes_before = await _count_writes(control)
    started_s = time.perf_counter()
    sweeps = 0
    while sweeps < _MAX_SWEEPS and await sweeper.sweep_once():
        sweeps += 1
    elapsed_s = time.perf_counter() - started_s
    rows = await workload.platform_client.scan(claim_rows.PREFIX, limit=1_000_000)
    figures.report("claims.sweep.took_ms", elapsed_s / sweeps * 1000, "ms")
    figures.report(
        "claims.sweep.claims", (len(workload.waits_s) - len(rows)) / sweeps, "claims/sweep"
    )
    figures.report(
        "claims.sweep.commits",
        (await _count_writes(control) - writes_before) / sweeps,
        "commits/sweep",
    )


async def _count_writes(control: client.Client) -> int:
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
            for caller_count in _CONCURRENCIES:
                await _measure_workload(
                    control, port, f"claims.delay{delay_ms}ms.c{caller_count}", caller_count
                )
            # For comparison: without pacing of commits, and without group commit.
            with unittest.mock.patch.object(claimant, "_COMMITS_PER_S", _UNLIMITED_COMMITS_PER_S):
                name = f"claims.delay{delay_ms}ms.unpaced.c64"
                await _measure_workload(control, port, name, 64)
            with (
                unittest.mock.patch.object(claimant, "_MAX_BATCH_CHANGES", 1),
                unittest.mock.patch.object(claimant, "_COMMITS_PER_S", _UNLIMITED_COMMITS_PER_S),
            ):
                await _measure_workload(control, port, f"claims.delay{delay_ms}ms.alone.c64", 64)
        control.close()


@figures.register("claims")
def measure_claims(seed: int) -> None:
    """Print the rates of claims, commits and rows, and the latency of a claim."""
    asyncio.run(_measure())
