"""Kill the holder while more runs end at one minion than one answer to a poll can list."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world as standins

PREFIX = "/jobs/"
JOB = "5c0e7a21d94b36f8"
COUNT = 700
WORK_S = 3.0
# How long the machine of the killed process is down.
DOWN_S = 3.5
WATCH_S = 14.0


def make_minions(world):
    """Make the six minions of the service, one of them of the kind that the job requires."""
    kinds = ["b", "a", "a", "a", "a", "a"]
    return [
        standins.Minion(world, f"i-{number:08x}", f"m-{number}", "bitacora", kind=kind)
        for number, kind in enumerate(kinds)
    ]


async def play(world, has_trouble):
    """Return whether no task ran again after its end `done`."""
    world.get_work_s = lambda minion, task: WORK_S if task.startswith(JOB) else 0.1
    await world.start(make_minions, 3, standins.make_config(3, {PREFIX: "bitacora"}, ["bitacora"]))
    await world.wait_held(["bitacora"])
    await world.wait_ready(PREFIX, "0000000000000001")
    step = {
        "count": COUNT,
        "cpu": 45,
        "memMb": 64,
        "estimateMs": int(WORK_S * 1000),
        "requirements": "b",
    }
    if not await world.submit(PREFIX, JOB, {"spec": "x", "steps": [step]}):
        raise TimeoutError("the job was not accepted")
    await world.wait_started(JOB)
    await asyncio.sleep(WORK_S - 0.2)
    world.record.note("running", count=len(world.minions["i-00000000"].running))
    if has_trouble:
        holder = world.find_holder("bitacora")
        world.record.note("kill", entry=holder.name)
        await holder.end()
        await asyncio.sleep(DOWN_S)
        await holder.start()
    await asyncio.sleep(WATCH_S)
    repeats = world.find_repeats()
    for _, minion, task, run in repeats[:20]:
        world.record.note("started again after done", minion=minion, task=task, run=run)
    world.record.note(
        "seen",
        starts=len(world.starts),
        done=world.count_done(JOB),
        repeats=len(repeats),
        state=await world.get_state(PREFIX, JOB),
    )
    if os.environ.get("TROUBLE") == "0" and world.count_done(JOB) < COUNT:
        raise TimeoutError("the job did not finish without trouble")
    return not repeats


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
