"""A version removes a queue, and the next one adds it again for another service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_4"))

import deployment  # noqa: E402
import harness  # noqa: E402

FORMER, LATER = "tesoreria", "pesaje"
QUEUE = harness.queue_of(FORMER)
SETTLED_S = 4.0


async def case(world):
    """Hand a job in, remove its queue, add it for another service, and ask for the job."""
    await harness.start(world)
    client = deployment.Client(world)
    job = client.make_job(
        [{"count": 4, "cpu": 1000, "memMb": 100, "estimateMs": 20000, "workMs": 20000}]
    )
    if not await client.submit(job, QUEUE):
        raise harness.NotRunError("the job is not accepted")
    await asyncio.sleep(SETTLED_S)
    services = [*harness.POOLS, world.spare]
    routes = harness.all_routes()
    without = {queue: pool for queue, pool in routes.items() if queue != QUEUE}
    world.configure(without if harness.is_troubled() else routes, services, 7)
    await asyncio.sleep(SETTLED_S)
    world.configure({**without, QUEUE: LATER if harness.is_troubled() else FORMER}, services, 9)
    await asyncio.sleep(SETTLED_S)
    for entry in world.entries.values():
        state = await client.get_state(job, entry)
        if state == 410:
            world.judge.fail("LOST", f"GET for the accepted job {job['id']} is answered 410")
    # The same request arrives again, seconds after its 2xx response.
    entry = next(iter(world.entries.values()))
    await client.call(entry, "POST", f"/{QUEUE}/{job['id']}", client.body(job))
    await asyncio.sleep(22.0)
    for entry in world.entries.values():
        await client.get_state(job, entry)


harness.run(case, FOLDER)
