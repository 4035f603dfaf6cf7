"""A minion crashes under tasks that it has just started: one of them never runs again.

Nine minions of 64 cores and 128 GB serve one queue, four a rack. Eight of them run four tasks that
last each, the ninth three larger ones, which leave 8 GB there. A job of eight short tasks of 14 GB
starts at two of the eight, one of which crashes and is back after three seconds. The job is shown
as running for good: one of its tasks is never started again, although the other minions have room
for it several times over.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins_2"))

import standin

SERVICE, PREFIX = "desk-cluj", "/cap-fit/"
MINIONS, CORES, MEMORY_MB = 9, 64_000, 131_072
# All sizes lie within those of the site's file for cap-fit and lot-match.
COUNT, CPU, MEM_MB, WORK_S = 8, 7_700, 14_000, 1.7
# The tasks that last: how many, the cores and memory of each, the rack that they require.
LASTING = (
    (16, 5_300, 6_000, "r1-1"),
    (16, 5_300, 6_000, "r1-2"),
    (1, 7_900, 41_000, "r1-3"),
    (1, 7_900, 41_000, "r1-3"),
    (1, 7_900, 41_000, "r1-3"),
)
# From the rule: so long after the end of the traffic, a job with a task whose turn has come and
# nothing running for three seconds is lost.
FINISH_S, IDLE_S = 14.0, 3.0
# The largest dose of srv_crash on the site's list is a share of 0.14 for 4.5 s.
CRASH_AFTER_S, DOWN_S = 0.4, 3.0


async def play(world, trouble):
    """Play the case; return its result and the reason."""
    for number in range(1, MINIONS + 1):
        rack = f"r1-{1 + (number - 1) // 4}"
        world.minions.append(standin.Minion(world, f"m-{number}", SERVICE, rack, cpu=CORES))
    await world.start(1)
    world.publish(3, [("r-cap-fit", PREFIX, SERVICE)], [SERVICE])
    if not await world.wait_ready():
        return standin.NOT_RUN, "an entry is not ready"
    for count, cpu, mem_mb, rack in LASTING:
        job, work = standin.make_job_id(), standin.Work(cpu, mem_mb, None)
        step = {
            "count": count,
            "cpu": cpu,
            "memMb": mem_mb,
            "requirements": rack,
            "antiAffinity": 4,
        }
        await world.submit(PREFIX, job, [{**step, "longRunning": True}], [work])
        tasks = [f"{job}.0.0.{index}" for index in range(count)]
        if not await world.wait_for(lambda tasks=tasks: all(map(world.present.get, tasks)), 8.0):
            return standin.NOT_RUN, "a task that lasts did not start"
    await asyncio.sleep(2.0)
    job = standin.make_job_id()
    step = {"count": COUNT, "cpu": CPU, "memMb": MEM_MB, "estimateMs": int(WORK_S * 1000)}
    if await world.submit(PREFIX, job, [step], [standin.Work(CPU, MEM_MB, WORK_S)]) != 200:
        return standin.NOT_RUN, "the job was not accepted"
    handed_in_s = world.record.now_s()
    tasks = [f"{job}.0.0.{index}" for index in range(COUNT)]
    if not await world.wait_for(lambda: all(map(world.present.get, tasks)), 2.0):
        return standin.NOT_RUN, "not all tasks of the job started"
    machines = [world.starts[task][0][1] for task in tasks]
    crashed = next(each for each in world.minions if each.machine == machines[0])
    world.record.add(f"the tasks of {job} run on {sorted(set(machines))}")
    if trouble:
        await asyncio.sleep(CRASH_AFTER_S)
        crashed.crash()
        await asyncio.sleep(DOWN_S)
        await crashed.begin()
    idle_since_s = None
    while world.record.now_s() < handed_in_s + FINISH_S + IDLE_S + 2.0:
        await asyncio.sleep(0.1)
        now_s = world.record.now_s()
        waiting = [task for task in tasks if not world.is_done(task)]
        if not waiting or any(world.present[task] for task in tasks):
            idle_since_s = None
            continue
        idle_since_s = idle_since_s or now_s
        if now_s > handed_in_s + FINISH_S and now_s - idle_since_s > IDLE_S and has_room(world):
            _, state = await world.get_state(PREFIX, job)
            why = f"{waiting} have not run for {now_s - idle_since_s:.1f} s, shown as {state}"
            return standin.BROKEN, why
    return standin.HELD, "the job has ended"


def has_room(world):
    """Return whether a task fits twice over, and under half of the capacity is in use."""
    used = [[run.work for run in each.runs.values()] for each in world.minions]
    free_cpu = [CORES - sum(work.cpu for work in works) for works in used]
    free_mb = [MEMORY_MB - sum(work.mem_mb for work in works) for works in used]
    for minion, cpu, mem_mb in zip(world.minions, free_cpu, free_mb, strict=True):
        world.record.add(f"{minion.machine} has {cpu} thousandths of a core and {mem_mb} MB free")
    is_half_free = sum(free_cpu) > MINIONS * CORES / 2 and sum(free_mb) > MINIONS * MEMORY_MB / 2
    places = sum(
        min(cpu // CPU, mem_mb // MEM_MB) for cpu, mem_mb in zip(free_cpu, free_mb, strict=True)
    )
    return is_half_free and places >= 2


standin.run(__file__, play)
