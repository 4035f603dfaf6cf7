"""An entry of another writer can't be read: no minion is used any more.

Eight minions of 64 cores serve one queue. Another writer puts an entry into the table of minions
whose value is nested so deeply that it can't be decoded. The entry processes lose sight of all
minions: one that starts after that never gets to know any, and accepts jobs that never run.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins_2"))

import standin

SERVICE, PREFIX = "desk-cluj", "/cap-fit/"
MINIONS, COUNT, CPU, WORK_S = 8, 8, 7_700, 1.7
FINISH_S, IDLE_S = 14.0, 3.0
DEPTH = 5_000


async def play(world, trouble):
    """Play the case; return its result and the reason."""
    for number in range(1, MINIONS + 1):
        rack = f"r1-{1 + (number - 1) // 4}"
        world.minions.append(standin.Minion(world, f"m-{number}", SERVICE, rack))
    if trouble:
        value = b'{"more":' + DEPTH * b"[" + DEPTH * b"]" + b"}"
        world.store.put_bytes("servers", "agent-7", value)
        world.record.add(f"another writer puts servers/agent-7, {DEPTH} arrays in one another")
    await world.start(2)
    world.publish(3, [("r-cap-fit", PREFIX, SERVICE)], [SERVICE])
    if not await world.wait_ready():
        return standin.NOT_RUN, "an entry is not ready"
    job = standin.make_job_id()
    step = {"count": COUNT, "cpu": CPU, "memMb": 5_100, "estimateMs": int(WORK_S * 1000)}
    if await world.submit(PREFIX, job, [step], [standin.Work(CPU, 5_100, WORK_S)]) != 200:
        return standin.NOT_RUN, "the job was not accepted"
    handed_in_s = world.record.now_s()
    tasks = [f"{job}.0.0.{index}" for index in range(COUNT)]
    idle_since_s = None
    while world.record.now_s() < handed_in_s + FINISH_S + 2 * IDLE_S:
        await asyncio.sleep(0.1)
        now_s = world.record.now_s()
        if all(map(world.is_done, tasks)):
            return standin.HELD, "the job has ended"
        if any(world.present[task] for task in tasks):
            idle_since_s = None
            continue
        idle_since_s = idle_since_s or now_s
        # All minions are up and idle, so that there is room many times over.
        if now_s > handed_in_s + FINISH_S and now_s - idle_since_s > IDLE_S:
            break
    else:
        return standin.NOT_RUN, "the job has not ended, but something of it ran"
    _, state = await world.get_state(PREFIX, job)
    count = sum(bool(world.starts[task]) for task in tasks)
    running = sum(len(minion.runs) for minion in world.minions)
    world.record.add(f"{count} of {COUNT} tasks have started; {running} runs at all minions")
    # Shows that nothing else was in the way.
    world.store.put("servers", "agent-7", None)
    world.record.add("the other writer drops its entry")
    await world.wait_for(lambda: all(map(world.is_done, tasks)), 10.0)
    return standin.BROKEN, f"{count} of {COUNT} tasks have started; the job is shown as {state}"


standin.run(__file__, play)
