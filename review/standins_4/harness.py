"""Run a case on a small deployment, and say whether a rule was broken."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

import deployment

BROKEN, HELD, NOT_RUN = 1, 0, 2
MAX_DURATION_S = 112
POOLS = ("bitacora", "pesaje", "muelle", "tesoreria")
LASTING_STEP = {
    "count": 5,
    "cpu": 1000,
    "memMb": 500,
    "estimateMs": 500,
    "longRunning": True,
    "mayMiss": 1,
}


class NotRunError(Exception):
    """The case can't be run here."""


def is_troubled():
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def queue_of(pool):
    """Return the queue that a pool serves."""
    return f"q-{pool}"


def all_routes():
    """Return the routes of the first configuration."""
    return {queue_of(pool): pool for pool in POOLS}


async def start(world, *, minions=4, spares=2, entries=3, cpu=32000, pools=POOLS):
    """Start a small deployment, and wait until it serves."""
    if not (deployment.ROOT / "target" / "app" / "serve.py").exists():
        raise NotRunError("target/app/serve.py is missing: run the build of the deploy file")
    await world.start_platform()
    world.configure(all_routes(), [*POOLS, world.spare], 3)
    for pool in pools:
        for number in range(minions):
            await world.add_machine(pool, f"r1-{number // 4}", cpu=cpu)
    for _ in range(spares):
        await world.add_machine(world.spare, "r2-1", cpu=cpu)
    part = random.SystemRandom().randrange(16, 240)
    for number in range(entries):
        await world.add_entry(f"edge-{number}", f"127.{part}.0.{number + 2}")
    for entry in world.entries.values():
        if not await entry.wait_ready():
            raise NotRunError(f"{entry.name} is not ready")
    until_s = time.monotonic() + 10
    while any(world.get_holder(pool) is None for pool in POOLS):
        if time.monotonic() > until_s:
            raise NotRunError("not all services have a holder")
        await asyncio.sleep(0.1)
    await asyncio.sleep(2)


def run(case, folder):
    """Run a case, write its record and exit with its result."""
    seed = int(os.environ.get("SEED", "1"))
    record = pathlib.Path(folder) / "record.txt"

    async def play():
        world = deployment.World(record, seed)
        current = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, current.cancel)
        try:
            async with asyncio.timeout(MAX_DURATION_S):
                await case(world)
            world.judge.finish()
        finally:
            await world.close()
            world.recorder.note(f"broken rules: {world.judge.broken}")
            world.recorder.write()
        return BROKEN if world.judge.broken else HELD

    try:
        result = asyncio.run(play())
    except (NotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    print("broken" if result else "held")
    sys.exit(result)
