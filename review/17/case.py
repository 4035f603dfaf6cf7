"""A new version of the configuration removes the routes of two services that have work."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_4"))

import deployment  # noqa: E402
import harness  # noqa: E402

OBSERVED_S = 40.0
STEP_S = 0.2
# From this time after its last run, a task that lasts must not wait for longer than the second.
AFTER_RUN_S, MAX_WAIT_S = 6.0, 3.0


def choose_pools(world):
    """Return two pools whose services one entry holds."""
    pools_by_entry = {}
    for pool in harness.POOLS:
        pools_by_entry.setdefault(world.get_holder(pool), []).append(pool)
    return next(pools[:2] for pools in pools_by_entry.values() if len(pools) > 1)


def has_room(world, pool):
    """Return whether a pool has room for a task twice over, and is used by less than half."""
    minions = [
        each.minion
        for each in world.machines.values()
        if each.pool == pool and each.minion is not None and each.minion.is_up
    ]
    step = harness.LASTING_STEP
    rooms = [
        min(minion.free["cpu"] // step["cpu"], minion.free["memMb"] // step["memMb"])
        for minion in minions
    ]
    used = sum(minion.machine.capacity["cpu"] - minion.free["cpu"] for minion in minions)
    total = sum(minion.machine.capacity["cpu"] for minion in minions)
    return sum(rooms) >= 2 and used < total / 2


async def case(world):
    """Hand jobs in that last, remove two routes, and look at the tasks."""
    await harness.start(world)
    client = deployment.Client(world)
    lasting = {}
    for pool in harness.POOLS:
        lasting[pool] = client.make_job([dict(harness.LASTING_STEP)])
        if not await client.submit(lasting[pool], harness.queue_of(pool)):
            raise harness.NotRunError("a job is not accepted")
    await asyncio.sleep(4.0)
    removed = choose_pools(world) if harness.is_troubled() else []
    routes = {queue: pool for queue, pool in harness.all_routes().items() if pool not in removed}
    world.configure(routes, [*harness.POOLS, world.spare], 7)
    await observe(world, lasting)


async def observe(world, lasting):
    """Look for tasks that last, don't run and have room."""
    tasks = {
        f"{job['id']}.0.0.{index}": pool
        for pool, job in lasting.items()
        for index in range(harness.LASTING_STEP["count"])
    }
    ran_s = dict.fromkeys(tasks, time.monotonic())
    waits_since_s = {}
    failed = set()
    until_s = time.monotonic() + OBSERVED_S
    while time.monotonic() < until_s:
        now_s = time.monotonic()
        for task, pool in tasks.items():
            if world.judge.live.get(task):
                ran_s[task] = now_s
            is_waiting = now_s - ran_s[task] > AFTER_RUN_S and has_room(world, pool)
            if not is_waiting:
                waits_since_s.pop(task, None)
            elif now_s - waits_since_s.setdefault(task, now_s) > MAX_WAIT_S and task not in failed:
                failed.add(task)
                world.judge.fail(
                    "LOST",
                    f"{task}, which lasts, has not run for {now_s - ran_s[task]:.1f} s,"
                    f" and {pool} has room for it",
                )
        await asyncio.sleep(STEP_S)


harness.run(case, FOLDER)
