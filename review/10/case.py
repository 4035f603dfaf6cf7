"""An entry stands still for two seconds, and a wide job that runs well is shown as failed.

Eight minions of 64 cores and three entries serve one queue. A job of 1,000 tasks runs, 125 at each
minion. The entry that orders them is frozen for two seconds. Its calls to the minions have timed
out by then, so that it takes all of them for silent and stores a note for each of the 1,000 tasks.
The row of the job's progress grows beyond `rowBytes`, the store refuses it, and the entry ends the
job as failed and stops its tasks.
"""

import asyncio
import base64
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins_2"))

import standin

SERVICE, PREFIX = "desk-cluj", "/scan-quick/"
MINIONS, ENTRIES, COUNT, CPU = 8, 3, 1_000, 500
WORK_S = 15.0
# The largest dose of node_freeze on the site's list is one machine for 4 s.
FREEZE_S = 2.0


async def play(world, trouble):
    """Play the case; return its result and the reason."""
    for number in range(1, MINIONS + 1):
        rack = f"r1-{1 + (number - 1) // 4}"
        world.minions.append(standin.Minion(world, f"m-0a3f{number}", SERVICE, rack))
    await world.start(ENTRIES)
    world.publish(3, [("r-scan-quick", PREFIX, SERVICE)], [SERVICE])
    if not await world.wait_ready():
        return standin.NOT_RUN, "an entry is not ready"
    job = standin.make_job_id()
    step = {"count": COUNT, "cpu": CPU, "memMb": 500, "estimateMs": int(WORK_S * 1000)}
    if await world.submit(PREFIX, job, [step], [standin.Work(CPU, 500, WORK_S)]) != 200:
        return standin.NOT_RUN, "the job was not accepted"
    tasks = [f"{job}.0.0.{index}" for index in range(COUNT)]
    if not await world.wait_for(lambda: all(world.present[task] for task in tasks), 12.0):
        return standin.NOT_RUN, "not all tasks of the job started"
    world.record.add(f"all {COUNT} tasks run")
    await asyncio.sleep(1.5)
    holder = find_holder(world)
    if holder is None:
        return standin.NOT_RUN, "no entry holds the service"
    if trouble:
        world.record.add(f"{holder.name} is frozen")
        holder.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        holder.child.send_signal(signal.SIGCONT)
        world.record.add(f"{holder.name} runs again")
    return await watch_job(world, job, tasks)


async def watch_job(world, job, tasks):
    """Ask for the job until it has ended; return the case's result and the reason."""
    until_s = world.record.now_s() + 60.0
    while world.record.now_s() < until_s:
        _, state = await world.get_state(PREFIX, job, world.entries[0])
        if state == "succeeded":
            return standin.HELD, "the job is shown as succeeded"
        has_failed = any(how == "failed" for task in tasks for *_, how in world.ends[task])
        if state == "failed" and not has_failed:
            running = sum(bool(world.present[task]) for task in tasks)
            why = f"the job is shown as failed; {running} of its tasks run, none has failed"
            return standin.BROKEN, why
        await asyncio.sleep(0.3)
    return standin.NOT_RUN, "the job did not end"


def find_holder(world):
    """Return the entry that is named in the service's lease, as an operator would look it up."""
    data, _ = world.store.rows.get(("leases", SERVICE, "-"), ("", 0))
    row = base64.b64decode(data)
    return next((entry for entry in world.entries if entry.name.encode() in row), None)


standin.run(__file__, play)
