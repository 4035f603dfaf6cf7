"""Lose the holder while both copies of the last task of a scheduled job are about to end."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world as standins

PREFIX = "/jobs/"
TIMED, LATER = "5c0e7a21d94b36f8", "00000000000000aa"
ESTIMATE_MS, WORK_S = 1000, 4.0
KILL_AFTER_S = 3.4
# The 4 s that have to be calm before the 3 s of LOST, and these.
CALM_S, IDLE_S = 4.0, 3.0
WATCH_S = 14.0


def make_minions(world):
    """Make the six minions of the service."""
    return [
        standins.Minion(world, f"i-{number:08x}", f"m-{number}", "bitacora") for number in range(6)
    ]


async def play(world, has_trouble):
    """Return whether all accepted jobs ran."""
    world.get_work_s = lambda minion, task: WORK_S if task.startswith(TIMED) else 0.3
    await world.start(make_minions, 3, standins.make_config(3, {PREFIX: "bitacora"}, ["bitacora"]))
    await world.wait_held(["bitacora"])
    await world.wait_ready(PREFIX, "0000000000000001")
    step = {
        "count": 1,
        "cpu": 1000,
        "memMb": 256,
        "estimateMs": ESTIMATE_MS,
        "speculative": True,
    }
    timed = {
        "spec": "tally",
        "steps": [step],
        "times": 2,
        "startAtMs": int(time.time() * 1000) + 1000,
        "intervalMs": 12_000,
    }
    if not await world.submit(PREFIX, TIMED, timed):
        raise TimeoutError("the scheduled job was not accepted")
    later = {
        "spec": "x",
        "steps": [{"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 300}],
        "times": 1,
        "startAtMs": timed["startAtMs"] + int((KILL_AFTER_S + CALM_S) * 1000),
    }
    if not await world.submit(PREFIX, LATER, later):
        raise TimeoutError("the second job was not accepted")
    await world.wait_started(TIMED)
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble:
        holder = world.find_holder("bitacora")
        world.record.note("kill", entry=holder.name)
        await holder.end()
        world.entries.remove(holder)
    await asyncio.sleep(CALM_S)
    due_s = time.monotonic()
    await asyncio.sleep(WATCH_S)
    waited_s = find_wait_s(world, LATER, due_s)
    states = [await world.get_state(PREFIX, job) for job in (TIMED, LATER)]
    failures = sum(entry.log.read_text().count("A holder failed.") for entry in world.entries)
    world.record.note("seen", waited_s=waited_s, states=states, failed_holders=failures)
    return waited_s <= IDLE_S


def find_wait_s(world, job, since_s):
    """Return how long an accepted job has had nothing running from a time on."""
    starts = [start[0] for start in world.starts if start[2].startswith(job)]
    return round(min(starts, default=time.monotonic()) - since_s, 2)


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
