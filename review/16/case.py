"""The store loses one answer and forgets its history as a job is handed in."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_4"))

import deployment  # noqa: E402
import harness  # noqa: E402

POOL = "tesoreria"
QUEUE = harness.queue_of(POOL)
MAX_TRIES = 14
# An entry waits this long for an answer before it gives the call up.
ANSWER_TIMEOUT_S = 0.62
QUIET_S = 2.0
FINISH_S = 14.0
MAX_WAIT_S = 3.0
POLL_S = 0.01


async def case(world):
    """Hand jobs in as the store has forgotten its history, until one of them doesn't start."""
    await harness.start(world)
    client = deployment.Client(world)
    holder = world.entries[world.get_holder(POOL)]
    accepted = []
    for _ in range(MAX_TRIES):
        if harness.is_troubled():
            await disturb(world, holder)
        job = client.make_job(
            [{"count": 1, "cpu": 500, "memMb": 50, "estimateMs": 200, "workMs": 200}]
        )
        if await client.submit(job, QUEUE, [holder], attempts=1):
            accepted.append(job)
        await asyncio.sleep(QUIET_S)
        if any(not has_started(world, each) for each in accepted):
            break
    world.recorder.note("the store is well")
    await asyncio.sleep(FINISH_S)
    await observe(world, client, accepted)


def has_started(world, job):
    """Return whether the task of a job has begun."""
    return f"{job['id']}.0.0.0" in world.judge.starts


async def disturb(world, holder):
    """Lose the answer to one write of the holder, and forget the history as it gives it up."""
    store = world.store
    store.lose_next(holder.name)
    for _ in range(int(QUIET_S / POLL_S)):
        if store.lost_s is not None:
            break
        await asyncio.sleep(POLL_S)
    lost_s = store.lost_s if store.lost_s is not None else time.monotonic()
    delay_s = ANSWER_TIMEOUT_S + world.random.uniform(0.0, 0.05)
    await asyncio.sleep(max(0.0, lost_s + delay_s - time.monotonic()))
    store.forget_history()
    await asyncio.sleep(store.read_s * world.random.uniform(0.4, 1.2))


async def observe(world, client, accepted):
    """Ask for the jobs, and look for one that waits while the pool is idle."""
    waits_since_s = {}
    until_s = time.monotonic() + 2 * MAX_WAIT_S
    while time.monotonic() < until_s:
        now_s = time.monotonic()
        minions = [
            each.minion
            for each in world.machines.values()
            if each.pool == POOL and each.minion is not None and each.minion.is_up
        ]
        is_idle = bool(minions) and not any(minion.runs for minion in minions)
        for job in accepted:
            if has_started(world, job) or not is_idle:
                waits_since_s.pop(job["id"], None)
            else:
                waits_since_s.setdefault(job["id"], now_s)
        await asyncio.sleep(0.1)
    for name, since_s in waits_since_s.items():
        if time.monotonic() - since_s > MAX_WAIT_S:
            world.judge.fail("LOST", f"{name} has nothing running, and {POOL} is idle")
    for job in accepted:
        state = await client.get_state(job, next(iter(world.entries.values())))
        if state != "succeeded":
            world.recorder.note(f"{job['id']} was accepted and is shown as {state}")


harness.run(case, FOLDER)
