"""Add the first queue of a service, and hand a job in as soon as the queue exists."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world as standins

SERVICES = ["bitacora", "pesaje", "muelle", "tesoreria"]
OLD = {f"/{service}/": service for service in SERVICES[:3]}
NEW = {"/tesoreria/": "tesoreria"}
EARLY, LATE = "5c0e7a21d94b36f8", "00000000000000aa"
ATTEMPT_INTERVAL_S, GIVE_UP_S = 0.1, 10.0
FINISH_S, IDLE_S = 14.0, 3.0


def make_minions(world):
    """Make six minions of each service."""
    return [
        standins.Minion(world, f"i-{service}-{number}", f"m-{service}-{number}", service)
        for service in SERVICES
        for number in range(6)
    ]


async def hand_in(world, job, body):
    """Hand a job in at each entry in turn until it is accepted, as 404 means no such queue yet."""
    world.jobs[job] = body
    until_s = time.monotonic() + GIVE_UP_S
    while time.monotonic() < until_s:
        for entry in world.entries:
            answer = await world.call("POST", "/tesoreria/" + job, body, entry=entry)
            if answer is not None and answer[0] // 100 == 2:
                return
        await asyncio.sleep(ATTEMPT_INTERVAL_S)
    raise TimeoutError("the job was not accepted")


async def play(world, has_trouble):
    """Return whether the accepted jobs ran."""
    world.get_work_s = lambda minion, task: 0.3
    routes = OLD if has_trouble else OLD | NEW
    await world.start(make_minions, 3, standins.make_config(3, routes, SERVICES))
    await world.wait_held(routes.values())
    await world.wait_ready("/bitacora/", "0000000000000001")
    step = {"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 300}
    body = {"spec": "x", "steps": [step]}
    if has_trouble:
        world.record.note("operator adds a queue", version=7)
        world.store.put("op", "config", standins.make_config(7, OLD | NEW, SERVICES))
    await hand_in(world, EARLY, body)
    await asyncio.sleep(3.0)
    await hand_in(world, LATE, body)
    await asyncio.sleep(FINISH_S + IDLE_S)
    states = {job: await world.get_state("/tesoreria/", job) for job in (EARLY, LATE)}
    done = {job: world.count_done(job) for job in (EARLY, LATE)}
    world.record.note("seen", states=states, done=done)
    return not any(
        done[job] < 4 and world.has_nothing_running(job, IDLE_S) for job in (EARLY, LATE)
    )


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
