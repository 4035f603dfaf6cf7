"""Leave one machine, and lose the answer to its acquisition of a service's lease."""

import asyncio
import base64
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world as standins

PREFIX = "/jobs/"
BEFORE, AFTER = "5c0e7a21d94b36f8", "00000000000000aa"
# Handed in while the lease changes hands.
MEANWHILE = [f"{number:016x}" for number in range(0xB0, 0xB8)]
LOSS_S, LOSS_SHARE = 4.5, 0.3
FINISH_S, IDLE_S = 14.0, 3.0
# The table and the partition of the service's lease.
LEASE = ("leases", "bitacora")


def make_minions(world):
    """Make the six minions of the service."""
    return [
        standins.Minion(world, f"i-{number:08x}", f"m-{number}", "bitacora") for number in range(6)
    ]


class LostAnswers:
    """Loses the answer of one of the writes of the time, the first acquisition of the lease."""

    def __init__(self, world, survivor):
        self._record, self._survivor = world.record, survivor.name
        self._until_s = time.monotonic() + LOSS_S
        self._writes = self.lost = 0

    def get_share(self):
        """Return the share of the writes that lost their answer."""
        return self.lost / max(1, self._writes)

    def choose(self, path, data):
        """Return "lost" for a call whose answer is lost."""
        if path != "/v1/rows-tx" or time.monotonic() > self._until_s:
            return None
        self._writes += 1
        rows = [row for row in data["setKeys"] if (row["table"], row["part"]) == LEASE]
        is_acquired = any(self._survivor.encode() in base64.b64decode(row["value"]) for row in rows)
        if not is_acquired or self.lost:
            return None
        self.lost += 1
        self._record.note("store performs a write and loses its answer", rows=len(data["setKeys"]))
        return "lost"


async def play(world, has_trouble):
    """Return whether the jobs accepted by the machine that is left ran."""
    world.get_work_s = lambda minion, task: 3.0 if task.startswith(BEFORE) else 0.3
    await world.start(make_minions, 3, standins.make_config(3, {PREFIX: "bitacora"}, ["bitacora"]))
    await world.wait_held(["bitacora"])
    await world.wait_ready(PREFIX, "0000000000000001")
    first = {"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 3000}
    before = {"spec": "x", "steps": [first, {**first, "after": [0]}]}
    if not await world.submit(PREFIX, BEFORE, before):
        raise TimeoutError("the first job was not accepted")
    holder = world.find_holder("bitacora")
    survivor = next(entry for entry in world.entries if entry is not holder)
    others = [entry for entry in world.entries if entry is not survivor]
    world.record.note("other machines are lost", names=[entry.name for entry in others])
    await asyncio.gather(*(entry.end() for entry in others))
    if has_trouble:
        lost = LostAnswers(world, survivor)
        world.store.choose_fault = lost.choose
    world.entries = [survivor]
    plain = {"spec": "x", "steps": [{"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 300}]}
    accepted = [BEFORE]
    for job in MEANWHILE:
        if await world.submit(PREFIX, job, plain, attempts=1):
            accepted.append(job)
        await asyncio.sleep(0.4)
    await asyncio.sleep(9.0)
    if has_trouble:
        world.record.note("lost answers", share=round(lost.get_share(), 2), allowed=LOSS_SHARE)
        if not 0 < lost.get_share() <= LOSS_SHARE:
            raise TimeoutError("the loss was outside its share")
    if await world.submit(PREFIX, AFTER, plain):
        accepted.append(AFTER)
    await asyncio.sleep(FINISH_S + IDLE_S)
    states = {job: await world.get_state(PREFIX, job) for job in accepted}
    done = {job: world.count_done(job) for job in accepted}
    world.record.note("seen", states=states, done=done)
    return not any(done[job] < 4 and world.has_nothing_running(job, IDLE_S) for job in accepted)


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
