"""A minion starts again behind a short cut, under a burst of starts: tasks run twice.

Eight minions of 64 cores serve one queue. Ten jobs of six tasks come at once and are sent to one of
them, which is cut off after the first starts, starts again behind the cut under the id that it had,
and can be reached again after 1.5 seconds. The entry goes on sending the starts that it had queued
for the former life, and the new life accepts them. Then the entry learns that the minion has
started again, takes all tasks there for lost, those that the new life has just begun too, and
starts them at other minions, where they run beside the first ones.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins_2"))

import standin

SERVICE, PREFIX = "desk-cluj", "/scan-quick/"
MINIONS, JOBS, COUNT, CPU, WORK_S = 8, 10, 6, 1_000, 8.0
# The largest dose of node_cut on the site's list is a share of 0.17 for 5.5 s.
CUT_S, RESTART_AFTER_S = 1.5, 0.3
FIRST_STARTS = 6


async def play(world, trouble):
    """Play the case; return its result and the reason."""
    for number in range(1, MINIONS + 1):
        rack = f"r1-{1 + (number - 1) // 4}"
        world.minions.append(standin.Minion(world, f"m-{number}", SERVICE, rack))
    await world.start(1)
    world.publish(3, [("r-scan-quick", PREFIX, SERVICE)], [SERVICE])
    if not await world.wait_ready():
        return standin.NOT_RUN, "an entry is not ready"
    for minion in world.minions:
        minion.answer_s = 0.01
    step = {"count": COUNT, "cpu": CPU, "memMb": 500, "estimateMs": int(WORK_S * 1000)}
    # The ids are fixed, as the entry tries tasks that may crash a minion in the order of their ids.
    jobs = [f"{JOBS - number:02x}" + standin.make_job_id()[2:] for number in range(JOBS)]
    tasks = [f"{job}.0.0.{index}" for job in jobs for index in range(COUNT)]
    submitting = []
    for job in jobs:
        work = standin.Work(CPU, 500, WORK_S)
        submitting.append(asyncio.ensure_future(world.submit(PREFIX, job, [step], [work])))
        await asyncio.sleep(0.001)
    is_started = await world.wait_for(
        lambda: sum(bool(world.starts[task]) for task in tasks) >= FIRST_STARTS, 5.0
    )
    if not is_started:
        return standin.NOT_RUN, "the jobs did not start"
    busy = max(world.minions, key=lambda each: len(each.runs))
    if trouble:
        busy.cut()
        await asyncio.sleep(RESTART_AFTER_S)
        busy.restart_behind_cut()
        await asyncio.sleep(CUT_S - RESTART_AFTER_S)
        busy.heal_after_restart()
    if await asyncio.gather(*submitting) != [200] * JOBS:
        return standin.NOT_RUN, "a job was not accepted"
    until_s = world.record.now_s() + 50.0
    while not world.overlaps and world.record.now_s() < until_s:
        await asyncio.sleep(0.1)
        if all(map(world.is_done, tasks)):
            break
    await asyncio.sleep(0.5)
    if world.overlaps:
        count = len({each[0] for each in world.overlaps})
        task, others, (machine, run) = world.overlaps[0]
        return standin.BROKEN, (
            f"{count} tasks run twice at a time; {task} on {others} and {machine} (run {run})"
        )
    if not all(map(world.is_done, tasks)):
        return standin.NOT_RUN, "the jobs did not end"
    return standin.HELD, "each task ran on one minion at a time"


standin.run(__file__, play)
