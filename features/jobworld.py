"""Fake what the job service stands on: the workers, the hosts and the policy service.

Everything runs on one event loop; its clock may be a paused one. The workers check by themselves
that no task runs twice at a time and that none starts after an end that was taken note of.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools

from nutmegshelf import exceptions, fleetview, ids, jobs, orders, pooling, queues

from features import jobtable

MOVE_S = 1.5
UPKEEP_S = 2.0
CONFIRM_S = 1.0
# Bytes of a call without specification, and how long a start waits for its answer.
CALL_BYTES = 350
START_LIMIT_S = 0.4


@dataclasses.dataclass
class Run:
    """Hold one run at a fake worker."""

    task: str
    number: int
    ends_s: float
    how: fleetview.How
    saves: bool = False
    saved_s: float = 0.0
    began_s: float = 0.0
    stop: bool = False

    def saved(self, now_s):
        """Give the checkpoint: the seconds of work that were done."""
        return f"{self.saved_s + now_s - self.began_s:09.3f}" if self.saves else ""


class Minion:
    """Be one life of a worker."""

    def __init__(self, world, facts):
        self.world = world
        self.facts = facts
        self.fence = 0
        self.runs = {}
        self.barred = collections.defaultdict(int)
        self.ends = []
        self.numbers = itertools.count(1)
        self.seen = 0
        self.until_ms = 0
        self.is_dark = False
        self.is_gone = False
        self.loses_starts = 0
        self.loses_stops = 0
        # Starts that are carried out at once and not answered, and those that never arrive.
        self.mute_starts = 0
        self.dropped_starts = 0
        self.slowness = 1.0
        self.ended = asyncio.Event()

    def clock_ms(self):
        return int(asyncio.get_running_loop().time() * 1000) + 5_000

    def check(self, fence):
        if fence < self.fence:
            raise exceptions.Fenced("fence")
        self.fence = fence

    def tick(self):
        now_s = asyncio.get_running_loop().time()
        for name, run in list(self.runs.items()):
            if self.clock_ms() > self.until_ms:
                self.finish(name, fleetview.How.LAPSED)
            elif run.stop:
                self.finish(name, fleetview.How.STOPPED)
            elif now_s >= run.ends_s:
                self.finish(name, run.how)

    def finish(self, name, how):
        run = self.runs.pop(name)
        self.barred[name] = max(self.barred[name], run.number)
        saved = run.saved(asyncio.get_running_loop().time())
        self.ends.append(fleetview.End(next(self.numbers), name, run.number, how, saved))
        self.world.note_end(self, run, how)
        if how is fleetview.How.STOPPED:
            self.world.stopped.append(name)
        self.ended.set()
        self.ended = asyncio.Event()

    def start(self, order, until_ms):
        self.tick()
        now_ms = self.clock_ms()
        name, number = order.key.name, order.run
        if until_ms <= now_ms:
            return orders.Refusal.LATE
        known = self.runs.get(name)
        if known is not None and known.number == number:
            return None
        if number <= self.barred[name] or known is not None:
            return orders.Refusal.OLD
        step = self.world.step(order.key)
        advised = self.world.jobs[order.key.job].queue.advised is not None
        if advised and not (order.ticket or "").endswith(f"-{self.facts.life.worker}"):
            return orders.Refusal.TICKET
        if not self.fits(step):
            return orders.Refusal.ROOM
        self.until_ms = max(self.until_ms, until_ms)
        took_s, how = self.world.work(order.key, self)
        now_s = asyncio.get_running_loop().time()
        saved_s = float(order.checkpoint or 0)
        ends_s = now_s + took_s * self.slowness - saved_s
        self.runs[name] = Run(name, number, ends_s, how, step.checkpointing, saved_s, now_s)
        self.world.note_start(self, self.runs[name])
        return None

    def fits(self, step):
        used = [self.world.step(jobs.parse_task(name)) for name in self.runs]
        cpu = sum(one.cpu_millis for one in used if not one.fills)
        return cpu + (0 if step.fills else step.cpu_millis) <= self.facts.cpu_millis

    def end_life(self):
        self.world.ended.append((self.facts, asyncio.get_running_loop().time()))
        for run in self.runs.values():
            self.world.note_end(self, run, None)
        self.runs.clear()
        self.is_gone = True


class World:
    """Own the fake workers and hosts, and judge what they saw."""

    def __init__(self, pools, spare="spare", spare_count=0, cpu_millis=16_000):
        self.table = jobtable.Table()
        self.minions = {}
        self.hosts = {}
        self.jobs = {}
        self.works = {}
        self.default_work = (0.5, fleetview.How.DONE)
        self.spare = spare
        self.cpu_millis = cpu_millis
        self.numbers = itertools.count(1)
        self.running = collections.defaultdict(set)
        self.noted_done = set()
        self.starts = collections.Counter()
        self.done = collections.Counter()
        self.stopped = []
        self.broken = []
        self.moves = []
        self.upkeeps = []
        self.down = {}
        # Workers that ended stay in the fleet's list for a while.
        self.ended = []
        self.list_lag_s = 0.0
        self.waves_told = []
        self.declared = None
        self.waves = []
        self.operations_changed = asyncio.Event()
        self.advice = Policy(self)
        for pool, count in {**pools, spare: spare_count}.items():
            for index in range(count):
                self.add_host(pool, f"h{next(self.numbers)}", f"r{index % 3}")

    def add_host(self, pool, host, rack):
        self.hosts[host] = {"pool": pool, "state": pooling.HostState.UP, "rack": rack}
        if pool != self.spare:
            self.add_minion(host)

    def add_minion(self, host):
        number = next(self.numbers)
        facts = fleetview.WorkerFacts(
            life=fleetview.Life(ids.WorkerId(f"w{number}"), number),
            service=self.hosts[host]["pool"],
            host=host,
            address=f"{host}:{number}",
            zone="z",
            rack=self.hosts[host]["rack"],
            labels=frozenset({"a", self.hosts[host]["rack"]}),
            cpu_millis=self.cpu_millis,
            memory_mb=64_000,
            accelerators=0,
        )
        self.minions[facts.life] = Minion(self, facts)
        return self.minions[facts.life]

    def minions_of(self, pool):
        return [one for one in self.minions.values() if one.facts.service == pool]

    def step(self, key):
        return self.jobs[key.job].steps[key.step]

    def work(self, key, minion):
        found = self.works.get((key.job, key.step, key.position)) or self.works.get(key.job)
        if found is not None:
            return found
        if self.step(key).lasting:
            return 1e9, fleetview.How.DONE
        return self.default_work

    def note_start(self, minion, run):
        self.starts[run.task] += 1
        for other in list(self.minions.values()):
            other.tick()
        if self.running[run.task] and not self.step(jobs.parse_task(run.task)).speculative:
            self.broken.append(f"{run.task} runs twice at a time")
        if run.task in self.noted_done:
            self.broken.append(f"{run.task} starts after its end was taken note of")
        self.running[run.task].add((minion.facts.life, run.number))

    def note_end(self, minion, run, how):
        self.running[run.task].discard((minion.facts.life, run.number))
        if how is fleetview.How.DONE:
            self.done[run.task] += 1

    def drain(self, minion, left_s):
        """Have a worker announce that it leaves, and leave after a time."""
        minion.facts = dataclasses.replace(
            minion.facts, is_draining=True, left_ms=int(left_s * 1000)
        )

        def leave():
            minion.end_life()
            del self.minions[minion.facts.life]

        asyncio.get_running_loop().call_later(left_s, leave)

    def start_again(self, minion):
        """Have a worker begin a new life at its host; what ran there ends."""
        minion.end_life()
        del self.minions[minion.facts.life]
        return self.add_minion(minion.facts.host)

    def replace(self, host, after_s, pool=None, state=pooling.HostState.MOVING):
        for minion in [one for one in self.minions.values() if one.facts.host == host]:
            minion.end_life()
            del self.minions[minion.facts.life]
        self.hosts[host]["state"] = state
        self.hosts[host]["pool"] = pool or self.hosts[host]["pool"]

        def back():
            self.hosts[host]["state"] = pooling.HostState.UP
            if self.hosts[host]["pool"] != self.spare:
                self.add_minion(host)

        asyncio.get_running_loop().call_later(after_s, back)

    def declare(self, declared):
        self.declared = declared
        self.operations_changed.set()
        self.operations_changed = asyncio.Event()

    def ask_wave(self, wave):
        self.waves.append(wave)
        self.operations_changed.set()
        self.operations_changed = asyncio.Event()

    async def operations(self):
        while True:
            changed = self.operations_changed
            if self.declared is not None:
                yield self.declared
            for wave in self.waves:
                yield wave
            while not changed.is_set():
                yield queues.Confirmed(asyncio.get_running_loop().time())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CONFIRM_S):
                        await changed.wait()

    async def fleets(self):
        while True:
            now_s = asyncio.get_running_loop().time()
            ended = [facts for facts, at_s in self.ended if now_s - at_s < self.list_lag_s]
            yield (*(one.facts for one in self.minions.values()), *ended)
            await asyncio.sleep(0.15)


class Policy:
    """Be the policy service: only workers with an even number may run a step."""

    def __init__(self, world):
        self.world = world
        self.asked = []
        self.busy = 0

    async def ask(self, question, limit_s):
        self.busy += 1
        if self.busy > 1:
            self.world.broken.append("two calls for advice at once")
        self.asked.append(question.step)
        await asyncio.sleep(0.02 + 0.005 * len(question.lives))
        self.busy -= 1
        good = {life.worker: f"t-{question.step}-{life.worker}" for life in question.lives}
        good = {worker: one for worker, one in good.items() if int(worker[1:]) % 2 == 0}
        return orders.TicketGrant(good, 2.0)


class Workers:
    """Carry calls to the fake workers."""

    def __init__(self, world):
        self.world = world
        self.is_cut = False
        # The rate of the entry's link, where that is bounded, and when it has sent all so far.
        self.rate_bytes_s = None
        self.sent_s = 0.0
        self.unanswered_starts = 0
        self.stops_under_way = collections.Counter()
        self.most_stops = collections.Counter()

    async def _send(self, size_bytes):
        """Wait until a call has left over the link, behind the calls before it."""
        if self.rate_bytes_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        self.sent_s = max(self.sent_s, now_s) + size_bytes / self.rate_bytes_s
        await asyncio.sleep(self.sent_s - now_s)

    async def _minion(self, facts, size_bytes=CALL_BYTES):
        await self._send(size_bytes)
        await asyncio.sleep(jobtable.CALL_S)
        minion = self.world.minions.get(facts.life)
        if minion is None:
            raise exceptions.OrderNotDone("refused")
        if minion.is_dark or self.is_cut:
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("silent")
        return minion

    async def look(self, facts, *, fence, seen, until_ms, wait_s):
        minion = await self._minion(facts)
        minion.check(fence)
        if until_ms is not None:
            minion.until_ms = max(minion.until_ms, until_ms)
        for end in minion.ends:
            if end.number <= seen and end.how is fleetview.How.DONE:
                self.world.noted_done.add(end.task)
        minion.ends = [end for end in minion.ends if end.number > seen]
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            minion.tick()
            if minion.ends or asyncio.get_running_loop().time() >= until_s:
                break
            await asyncio.sleep(0.02)
            if minion.is_dark or minion.is_gone:
                raise exceptions.OrderAnswerLost("cut")
        now_s = asyncio.get_running_loop().time()
        listed = tuple(
            fleetview.Listed(run.task, run.number, "", self._percent(run, now_s), 0.0)
            for run in minion.runs.values()
        )
        return orders.PollResult(facts.life.born_ms, minion.clock_ms(), listed, tuple(minion.ends))

    def _percent(self, run, now_s):
        if self.world.step(jobs.parse_task(run.task)).lasting:
            return 100
        whole_s = max(0.001, run.ends_s - run.began_s)
        return int(100 * (now_s - run.began_s) / whole_s)

    async def start(self, facts, order, *, fence, until_ms):
        """Start a run; a call that is given up is carried out all the same."""
        call = asyncio.ensure_future(self._start(facts, order, fence, until_ms))
        call.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            async with asyncio.timeout(START_LIMIT_S):
                return await asyncio.shield(call)
        except TimeoutError as error:
            self.unanswered_starts += 1
            raise exceptions.OrderAnswerLost("no answer") from error

    async def _start(self, facts, order, fence, until_ms):
        minion = await self._minion(facts, orders.get_size_bytes(order))
        if minion.dropped_starts:
            minion.dropped_starts -= 1
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("lost")
        if minion.mute_starts:
            minion.mute_starts -= 1
            minion.check(fence)
            minion.start(order, until_ms)
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("lost")
        if minion.loses_starts:
            minion.loses_starts -= 1
            asyncio.get_running_loop().call_later(
                1.5, self._start_late, minion, order, fence, until_ms
            )
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("lost")
        minion.check(fence)
        return minion.start(order, until_ms)

    def _start_late(self, minion, order, fence, until_ms):
        if fence >= minion.fence and not minion.is_gone:
            minion.start(order, until_ms)

    async def stop(self, facts, order, *, fence):
        run = order.task, order.run
        self.stops_under_way[run] += 1
        self.most_stops[run] = max(self.most_stops[run], self.stops_under_way[run])
        try:
            await self._stop(facts, order, fence)
        finally:
            self.stops_under_way[run] -= 1

    async def _stop(self, facts, order, fence):
        minion = await self._minion(facts)
        if minion.loses_stops:
            minion.loses_stops -= 1
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("lost")
        minion.check(fence)
        minion.barred[order.task] = max(minion.barred[order.task], order.run)
        run = minion.runs.get(order.task)
        if run is not None and run.number <= order.run:
            run.stop = True

    async def pace(self, facts, order, *, fence):
        (await self._minion(facts)).check(fence)

    def forget(self, facts):
        pass
