"""Remove the queues of two services while accepted jobs of theirs run."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world as standins

SERVICES = ["bitacora", "pesaje", "muelle", "tesoreria"]
ROUTES = {f"/{service}/": service for service in SERVICES}
JOBS = {service: f"{number:016x}" for number, service in enumerate(SERVICES, 0x5C0E)}
WORK_S = 6.0
WATCH_S = 30.0


def make_minions(world):
    """Make two minions of each service."""
    return [
        standins.Minion(world, f"i-{service}-{number}", f"m-{service}-{number}", service)
        for service in SERVICES
        for number in range(2)
    ]


def find_pair(world):
    """Return two services that one entry holds."""
    held = {}
    for service in SERVICES:
        held.setdefault(world.find_holder(service).name, []).append(service)
    return max(held.values(), key=len)[:2]


async def play(world, has_trouble):
    """Return whether all accepted jobs were done."""
    world.get_work_s = lambda minion, task: WORK_S if task[:16] in JOBS.values() else 0.1
    await world.start(make_minions, 2, standins.make_config(3, ROUTES, SERVICES))
    for number, prefix in enumerate(ROUTES, 1):
        await world.wait_ready(prefix, f"{number:016x}")
    step = {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": int(WORK_S * 1000)}
    body = {"spec": "x", "steps": [step, {**step, "after": [0]}]}
    for service, job in JOBS.items():
        if not await world.submit(f"/{service}/", job, body):
            raise TimeoutError("a job was not accepted")
    pair = find_pair(world)
    if has_trouble:
        kept = {prefix: service for prefix, service in ROUTES.items() if service not in pair}
        world.record.note("operator removes the queues", services=pair)
        world.store.put("op", "config", standins.make_config(7, kept, SERVICES))
    await asyncio.sleep(WATCH_S)
    done = {service: world.count_done(job) for service, job in JOBS.items()}
    ends = [each.how for each in world.outcomes if each.task[:16] in JOBS.values()]
    world.record.note("seen", done=done, lapsed=ends.count("lapsed"), stopped=ends.count("stopped"))
    if has_trouble:
        world.store.put("op", "config", standins.make_config(9, ROUTES, SERVICES))
        await asyncio.sleep(2.5)
    for service, job in JOBS.items():
        await world.get_state(f"/{service}/", job)
    return all(count == 4 for count in done.values())


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
