"""Fakes of the workers, the hosts and the policy service that the job service uses.

They run on one event loop, which may have a paused clock. The workers check that no task runs
twice at the same time, and that no task starts after its end was acknowledged.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools

from nutmegshelf import exceptions, fleetview, ids, jobs, orders, queues, rebalancing

from features import jobtable

MOVE_DURATION_S = 1.5
UPKEEP_DURATION_S = 2.0
CONFIRM_INTERVAL_S = 1.0
# The size of a call without a job specification.
CALL_BYTES = 350
# A smaller capacity binds this long after a worker announced it.
CAPACITY_GRACE_S = 4.5
# A task under which this many workers have crashed may be started no more than twice again.
MAX_CRASHES = 3
MAX_FURTHER_STARTS = 3
# A lease lasts no longer than this by its worker's clock, whatever a call asks for.
MAX_LEASE_MS = 6_000
# How long the first workers have lived when a world begins.
FIRST_AGE_S = 1000.0
# The rate of the slowest clock that a worker may have.
CLOCK_RATE = 0.98
# How long a start waits for its answer.
START_TIMEOUT_S = 0.4
# How long a call waits for an answer that doesn't come.
ANSWER_LIMIT_S = 0.8
# A call arrives within this time, or never.
MAX_DELAY_S = 12.0
HELD_CALL_INTERVAL_S = 0.01
# Nothing listens there.
DEAD_ADDRESS = "nowhere:9"
# How many ends a worker lists at a time.
MAX_LISTED_ENDS = 500


@dataclasses.dataclass
class Run:
    """One run of a task at a fake worker."""

    task: str
    number: int
    ends_s: float
    how: fleetview.RunOutcome
    is_checkpointing: bool = False
    saved_s: float = 0.0
    started_s: float = 0.0
    is_stopping: bool = False

    def get_checkpoint(self, now_s):
        """Return the checkpoint, which is the number of seconds of work done."""
        return f"{self.saved_s + now_s - self.started_s:09.3f}" if self.is_checkpointing else ""


class Minion:
    """A fake worker from its start to its end."""

    def __init__(self, world, facts):
        self.world = world
        self.facts = facts
        self.fence = 0
        self.runs = {}
        # By task, the highest run that ended or was stopped; only later runs may start.
        self.highest_ended_run = collections.defaultdict(int)
        self.ends = []
        self.numbers = itertools.count(1)
        self.seen = 0
        self.until_ms = 0
        self.is_unresponsive = False
        self.has_ended = False
        self.delayed_starts = 0
        self.start_delay_s = 1.5
        self.dropped_stops = 0
        # Starts that are executed at once and not answered, and starts that never arrive.
        self.unanswered_starts = 0
        self.dropped_starts = 0
        # Calls are executed at once and not answered.
        self.loses_answers = False
        self.slowdown = 1.0
        # Until when the worker had which capacity, before its present one.
        self.former_capacities = []
        # How late the answers to polls are.
        self.poll_delay_s = 0.0
        # The entry of its former incarnation, until the worker has written its own.
        self.former_facts = None
        self.ended = asyncio.Event()
        # The clock of a later incarnation starts anew, so that of a former one is far ahead.
        self.began_s = asyncio.get_event_loop().time() if world.has_begun else -FIRST_AGE_S

    def clock_ms(self):
        lived_s = asyncio.get_running_loop().time() - self.began_s
        return int(lived_s * 1000 * CLOCK_RATE) + 5_000

    def extend_lease(self, until_ms):
        """Let everything that runs here go on until then, or for the longest possible lease."""
        latest_ms = self.clock_ms() + MAX_LEASE_MS
        self.until_ms = max(self.until_ms, min(until_ms, latest_ms))

    def check(self, fence):
        if fence < self.fence:
            raise exceptions.Fenced("fence")
        self.fence = fence

    def tick(self):
        now_s = asyncio.get_running_loop().time()
        for name, run in list(self.runs.items()):
            if self.clock_ms() > self.until_ms:
                self.finish(name, fleetview.RunOutcome.LEASE_EXPIRED)
            elif run.is_stopping:
                self.finish(name, fleetview.RunOutcome.STOPPED)
            elif now_s >= run.ends_s:
                self.finish(name, run.how)

    def finish(self, name, how):
        run = self.runs.pop(name)
        self.highest_ended_run[name] = max(self.highest_ended_run[name], run.number)
        saved = run.get_checkpoint(asyncio.get_running_loop().time())
        self.ends.append(fleetview.RunEnd(next(self.numbers), name, run.number, how, saved))
        self.world.record_end(self, run, how)
        if how is fleetview.RunOutcome.STOPPED:
            self.world.stopped.append(name)
        self.ended.set()
        self.ended = asyncio.Event()

    def start(self, order, until_ms):
        self.tick()
        now_ms = self.clock_ms()
        name, number = order.key.name, order.run
        if until_ms <= now_ms:
            return orders.Refusal.LATE
        current = self.runs.get(name)
        if current is not None and current.number == number:
            return None
        if number <= self.highest_ended_run[name] or current is not None:
            self.extend_lease(until_ms)
            return orders.Refusal.OLD
        step = self.world.step(order.key)
        advised = self.world.jobs[order.key.job].queue.advised is not None
        if advised and not (order.ticket or "").endswith(f"-{self.facts.incarnation.worker}"):
            return orders.Refusal.TICKET
        if not self.fits(step):
            if self.world.guards_capacity:
                self.extend_lease(until_ms)
                return orders.Refusal.ROOM
            self.check_capacity(name, step)
        self.extend_lease(until_ms)
        duration_s, how = self.world.get_work(order.key, self)
        now_s = asyncio.get_running_loop().time()
        saved_s = float(order.checkpoint or 0)
        ends_s = now_s + duration_s * self.slowdown - saved_s
        self.runs[name] = Run(name, number, ends_s, how, step.checkpointing, saved_s, now_s)
        self.world.record_start(self, self.runs[name])
        crash_delay_s = self.world.crash_delays_s.get(name)
        if crash_delay_s is not None:
            asyncio.get_running_loop().call_later(crash_delay_s, self.world.crash, self, name)
        return None

    def used_millis(self):
        steps = [self.world.step(jobs.parse_task_name(name)) for name in self.runs]
        return sum(running.cpu_millis for running in steps if not running.fills)

    def fits(self, step):
        needed_millis = 0 if step.fills else step.cpu_millis
        return self.used_millis() + needed_millis <= self.facts.cpu_millis

    def resize(self, cpu_millis):
        """Change the capacity, which the fleet's list shows from then on."""
        now_s = asyncio.get_running_loop().time()
        self.former_capacities.append((now_s, self.facts.cpu_millis))
        self.facts = dataclasses.replace(self.facts, cpu_millis=cpu_millis)

    def check_capacity(self, name, step):
        """Record a start over the capacity, unless it shrank only a moment ago."""
        since_s = asyncio.get_running_loop().time() - CAPACITY_GRACE_S
        millis = [before for at_s, before in self.former_capacities if at_s >= since_s]
        if self.used_millis() + step.cpu_millis > max([self.facts.cpu_millis, *millis]):
            self.world.violations.append(f"{name} brings its worker over its capacity")

    def end_life(self):
        self.world.ended_workers.append((self.facts, asyncio.get_running_loop().time()))
        for run in self.runs.values():
            self.world.record_end(self, run, None)
        self.runs.clear()
        self.has_ended = True


class World:
    """The fake workers, hosts and table of a test, and the violations that they saw."""

    def __init__(self, pools, spare="spare", spare_count=0, cpu_millis=16_000):
        self.table = jobtable.Table()
        self.minions = {}
        self.hosts = {}
        self.jobs = {}
        self.work_by_task = {}
        self.default_work = (0.5, fleetview.RunOutcome.DONE)
        self.spare = spare
        self.cpu_millis = cpu_millis
        self.numbers = itertools.count(1)
        self.running = collections.defaultdict(set)
        self.acknowledged_tasks = set()
        self.starts = collections.Counter()
        # The times of the calls to start a task, by worker.
        self.start_calls_s = collections.defaultdict(list)
        self.done = collections.Counter()
        self.stopped = []
        self.violations = []
        # Whether workers refuse a start that they have no room for.
        self.guards_capacity = True
        # The tasks that crash the worker that starts them, and how long after the start.
        self.crash_delays_s = {}
        self.crash_downtime_s = 3.0
        # The workers that crashed by a task, the starts of it after the third, and by task the
        # runs lost in any crash.
        self.crashes = collections.Counter()
        self.starts_after_third_crash = collections.Counter()
        self.lost_runs = collections.Counter()
        self.moves = []
        self.refused_orders = []
        # How many of the next orders are not carried out, or are carried out without an answer.
        self.lost_moves = 0
        self.lost_move_answers = 0
        self.lost_upkeeps = 0
        self.lost_upkeep_answers = 0
        # The orders that were carried out without an answer, by host.
        self.unanswered_orders = set()
        self.upkeeps = []
        self.upkeep_duration_s = UPKEEP_DURATION_S
        self.down = {}
        # Ended workers stay in the fleet list for list_lag_s.
        self.ended_workers = []
        self.list_lag_s = 0.0
        # Entries of other programs by id, which replace those of workers under the same ids.
        self.foreign_entries = {}
        # Whether a worker that crashed is back under the id that it had.
        self.keeps_ids = False
        # Whether calls to a worker that is cut off arrive once it can be reached again.
        self.holds_calls = False
        # How much later than other calls polls are carried out.
        self.poll_lag_s = 0.0
        # Whether reports have the checkpoints of the tasks that run.
        self.reports_checkpoints = False
        self.reported_waves = []
        self.reports_fail = False
        self.declared = None
        self.waves = []
        self.operations_changed = asyncio.Event()
        self.advice = PolicyService(self)
        # Whether workers that begin now begin after the others.
        self.has_begun = False
        for pool, count in {**pools, spare: spare_count}.items():
            for index in range(count):
                self.add_host(pool, f"h{next(self.numbers)}", f"r{index % 3}")
        self.has_begun = True

    def add_host(self, pool, host, rack):
        self.hosts[host] = {"pool": pool, "state": rebalancing.HostState.UP, "rack": rack}
        if pool != self.spare:
            self.add_minion(host)

    def add_minion(self, host, worker=None):
        number = next(self.numbers)
        facts = fleetview.WorkerFacts(
            incarnation=fleetview.Incarnation(worker or ids.WorkerId(f"w{number}"), number),
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
        self.minions[facts.incarnation] = Minion(self, facts)
        return self.minions[facts.incarnation]

    def find_minion(self, worker):
        """Return the present incarnation of a worker, or None if it is down or gone."""
        for incarnation, minion in self.minions.items():
            if incarnation.worker == worker:
                return minion
        return None

    def is_used(self, address):
        return any(minion.facts.address == address for minion in self.minions.values())

    def get_minions(self, pool):
        return [minion for minion in self.minions.values() if minion.facts.service == pool]

    def step(self, key):
        return self.jobs[key.job].steps[key.step]

    def get_work(self, key, minion):
        work = self.work_by_task.get((key.job, key.step, key.position)) or self.work_by_task.get(
            key.job
        )
        if work is not None:
            return work
        if self.step(key).long_running:
            return 1e9, fleetview.RunOutcome.DONE
        return self.default_work

    def record_start(self, minion, run):
        self.starts[run.task] += 1
        for other in list(self.minions.values()):
            other.tick()
        if self.running[run.task] and not self.step(jobs.parse_task_name(run.task)).speculative:
            self.violations.append(f"{run.task} runs twice at the same time")
        if self.crashes[run.task] >= MAX_CRASHES:
            self.starts_after_third_crash[run.task] += 1
            if self.starts_after_third_crash[run.task] >= MAX_FURTHER_STARTS:
                self.violations.append(f"{run.task} is started again and again as it crashes")
        if run.task in self.acknowledged_tasks:
            self.violations.append(f"{run.task} starts after its end was acknowledged")
        self.running[run.task].add((minion.facts.incarnation, run.number))

    def record_end(self, minion, run, how):
        self.running[run.task].discard((minion.facts.incarnation, run.number))
        if how is fleetview.RunOutcome.DONE:
            self.done[run.task] += 1

    def drain(self, minion, left_s):
        """Make a worker announce that it drains, and end after a time."""
        minion.facts = dataclasses.replace(
            minion.facts, is_draining=True, left_ms=int(left_s * 1000)
        )

        def end():
            minion.end_life()
            del self.minions[minion.facts.incarnation]

        asyncio.get_running_loop().call_later(left_s, end)

    def crash(self, minion, culprit=None):
        """Crash a worker, which is back at its host after a while."""
        if self.minions.get(minion.facts.incarnation) is not minion:
            return
        if culprit is not None:
            if culprit not in minion.runs:
                return
            self.crashes[culprit] += 1
        self.lost_runs.update(list(minion.runs))
        host, pool = minion.facts.host, minion.facts.service
        minion.end_life()
        del self.minions[minion.facts.incarnation]

        worker = minion.facts.incarnation.worker if self.keeps_ids else None

        def come_back():
            if self.hosts[host]["pool"] == pool and not self.has_minion(host):
                self.add_minion(host, worker)

        asyncio.get_running_loop().call_later(self.crash_downtime_s, come_back)

    def has_minion(self, host):
        return any(minion.facts.host == host for minion in self.minions.values())

    def restart(self, minion, *, keeps_id=False):
        """Restart a worker at its host, which ends its runs."""
        minion.end_life()
        del self.minions[minion.facts.incarnation]
        worker = minion.facts.incarnation.worker if keeps_id or self.keeps_ids else None
        return self.add_minion(minion.facts.host, worker)

    def replace(self, host, after_s, pool=None, state=rebalancing.HostState.MOVING):
        for minion in [other for other in self.minions.values() if other.facts.host == host]:
            minion.end_life()
            del self.minions[minion.facts.incarnation]
        self.hosts[host]["state"] = state
        self.hosts[host]["pool"] = pool or self.hosts[host]["pool"]

        def bring_up():
            self.hosts[host]["state"] = rebalancing.HostState.UP
            if self.hosts[host]["pool"] != self.spare:
                self.add_minion(host)

        asyncio.get_running_loop().call_later(after_s, bring_up)

    def declare(self, declared):
        self.declared = declared
        self.operations_changed.set()
        self.operations_changed = asyncio.Event()

    def request_wave(self, wave):
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
                yield queues.VersionConfirmation(asyncio.get_running_loop().time())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CONFIRM_INTERVAL_S):
                        await changed.wait()

    async def fleets(self):
        while True:
            now_s = asyncio.get_running_loop().time()
            ended = [facts for facts, at_s in self.ended_workers if now_s - at_s < self.list_lag_s]
            listed = [minion.former_facts or minion.facts for minion in self.minions.values()]
            foreign = dict(self.foreign_entries)
            own = [each for each in (*listed, *ended) if each.incarnation.worker not in foreign]
            yield (*own, *foreign.values())
            await asyncio.sleep(0.15)


class PolicyService:
    """A fake policy service that allows only workers with an even number."""

    def __init__(self, world):
        self.world = world
        self.requested_steps = []
        self.concurrent_calls = 0

    async def request_tickets(self, question, timeout_s):
        self.concurrent_calls += 1
        if self.concurrent_calls > 1:
            self.world.violations.append("two concurrent calls for advice")
        self.requested_steps.append(question.step)
        await asyncio.sleep(0.02 + 0.005 * len(question.incarnations))
        self.concurrent_calls -= 1
        tickets = {
            life.worker: f"t-{question.step}-{life.worker}" for life in question.incarnations
        }
        tickets = {worker: ticket for worker, ticket in tickets.items() if int(worker[1:]) % 2 == 0}
        return orders.TicketGrant(tickets, 2.0)


class Workers:
    """An entry's client of the fake workers."""

    def __init__(self, world):
        self.world = world
        self.is_partitioned = False
        # The rate of the entry's link, if limited, and when it will have sent all calls so far.
        self.rate_bytes_s = None
        self.link_free_s = 0.0
        self.unanswered_starts = 0
        self.concurrent_stops = collections.Counter()
        self.max_concurrent_stops = collections.Counter()

    async def _send(self, size_bytes):
        """Wait until the link has sent a call, after the calls queued before it."""
        if self.rate_bytes_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        self.link_free_s = max(self.link_free_s, now_s) + size_bytes / self.rate_bytes_s
        await asyncio.sleep(self.link_free_s - now_s)

    async def _reach(self, facts, size_bytes=CALL_BYTES):
        await self._send(size_bytes)
        await asyncio.sleep(jobtable.CALL_DURATION_S)
        minion = self.world.find_minion(facts.incarnation.worker)
        if minion is None and self.world.is_used(facts.address):
            raise exceptions.WrongWorker("another worker has the address")
        if minion is None or facts.address == DEAD_ADDRESS:
            raise exceptions.WorkerAbsent("connection refused")
        if minion.is_unresponsive and self.world.holds_calls:
            return await self._deliver_late(facts)
        if minion.is_unresponsive or self.is_partitioned:
            await asyncio.sleep(ANSWER_LIMIT_S)
            raise exceptions.OrderAnswerLost("no answer")
        return minion

    async def _deliver_late(self, facts):
        """Wait until any incarnation of a worker can be reached, and return it."""
        until_s = asyncio.get_running_loop().time() + MAX_DELAY_S
        while asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(HELD_CALL_INTERVAL_S)
            minion = self.world.find_minion(facts.incarnation.worker)
            if minion is not None and not minion.is_unresponsive:
                return minion
        raise exceptions.OrderAnswerLost("no answer")

    async def _answer(self, minion):
        """Lose the answer to a call that was carried out, if the worker loses its answers."""
        if minion.loses_answers:
            await asyncio.sleep(ANSWER_LIMIT_S)
            raise exceptions.OrderAnswerLost("no answer")

    async def poll(self, facts, *, timeout_s, wait_s, **fields):
        call = asyncio.ensure_future(self._poll(facts, wait_s=wait_s, **fields))
        call.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(call)
        except TimeoutError as error:
            raise exceptions.OrderAnswerLost("no answer") from error
        finally:
            if not self.world.holds_calls:
                call.cancel()

    async def _poll(self, facts, *, fencing_token, last_seen, lease_until_ms, wait_s):
        minion = await self._reach(facts)
        if self.world.poll_lag_s:
            await asyncio.sleep(self.world.poll_lag_s)
            minion = await self._reach(facts)
        minion.check(fencing_token)
        if lease_until_ms is not None:
            minion.extend_lease(lease_until_ms)
        minion.tick()
        for end in minion.ends:
            if end.number <= last_seen and end.outcome is fleetview.RunOutcome.DONE:
                self.world.acknowledged_tasks.add(end.task)
        minion.ends = [end for end in minion.ends if end.number > last_seen]
        await self._answer(minion)
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            minion.tick()
            if minion.ends or asyncio.get_running_loop().time() >= until_s:
                break
            await asyncio.sleep(0.02)
            if minion.is_unresponsive and self.world.holds_calls:
                await asyncio.sleep(MAX_DELAY_S)
                raise exceptions.OrderAnswerLost("no answer")
            if minion.is_unresponsive or minion.has_ended:
                raise exceptions.OrderAnswerLost("connection closed")
        now_s = asyncio.get_running_loop().time()
        listed = tuple(
            fleetview.ReportedRun(
                run.task,
                run.number,
                run.get_checkpoint(now_s) if self.world.reports_checkpoints else "",
                self._percent(run, now_s),
                0.0,
            )
            for run in minion.runs.values()
        )
        await asyncio.sleep(minion.poll_delay_s)
        ends = tuple(minion.ends[:MAX_LISTED_ENDS])
        return orders.PollResult(
            minion.facts.incarnation.born_ms,
            minion.clock_ms(),
            listed,
            ends,
            is_complete=len(ends) < MAX_LISTED_ENDS,
        )

    def _percent(self, run, now_s):
        if self.world.step(jobs.parse_task_name(run.task)).long_running:
            return 100
        duration_s = max(0.001, run.ends_s - run.started_s)
        return int(100 * (now_s - run.started_s) / duration_s)

    async def start(self, facts, order, *, fencing_token, valid_until_ms):
        """Start a run; the worker executes the call even if the caller stops waiting for it."""
        now_s = asyncio.get_running_loop().time()
        self.world.start_calls_s[facts.incarnation.worker].append(now_s)
        call = asyncio.ensure_future(self._start(facts, order, fencing_token, valid_until_ms))
        call.add_done_callback(lambda done: done.cancelled() or done.exception())
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                return await asyncio.shield(call)
        except TimeoutError as error:
            self.unanswered_starts += 1
            raise exceptions.OrderAnswerLost("no answer") from error

    async def _start(self, facts, order, fencing_token, valid_until_ms):
        minion = await self._reach(facts, orders.get_size_bytes(order))
        if minion.dropped_starts:
            minion.dropped_starts -= 1
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("no answer")
        if minion.unanswered_starts:
            minion.unanswered_starts -= 1
            minion.check(fencing_token)
            minion.start(order, valid_until_ms)
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("no answer")
        if minion.delayed_starts:
            minion.delayed_starts -= 1
            asyncio.get_running_loop().call_later(
                minion.start_delay_s,
                self._start_late,
                facts.incarnation,
                order,
                fencing_token,
                valid_until_ms,
            )
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("no answer")
        minion.check(fencing_token)
        refusal = minion.start(order, valid_until_ms)
        await self._answer(minion)
        return orders.StartAnswer(minion.clock_ms(), refusal)

    def _start_late(self, incarnation, order, fencing_token, valid_until_ms):
        """Execute a start, at a later incarnation of its worker if the former one has ended."""
        minion = self.world.find_minion(incarnation.worker)
        if minion is not None and fencing_token >= minion.fence:
            minion.fence = fencing_token
            minion.start(order, valid_until_ms)

    async def stop(self, facts, order, *, fencing_token):
        key = order.task, order.run
        self.concurrent_stops[key] += 1
        self.max_concurrent_stops[key] = max(
            self.max_concurrent_stops[key], self.concurrent_stops[key]
        )
        try:
            await self._stop(facts, order, fencing_token)
        finally:
            self.concurrent_stops[key] -= 1

    async def _stop(self, facts, order, fencing_token):
        minion = await self._reach(facts)
        if minion.dropped_stops:
            minion.dropped_stops -= 1
            await asyncio.sleep(0.8)
            raise exceptions.OrderAnswerLost("no answer")
        minion.check(fencing_token)
        minion.highest_ended_run[order.task] = max(minion.highest_ended_run[order.task], order.run)
        run = minion.runs.get(order.task)
        if run is not None and run.number <= order.run:
            run.is_stopping = True
        await self._answer(minion)

    async def set_pace(self, facts, order, *, fencing_token):
        (await self._reach(facts)).check(fencing_token)

    def disconnect(self, facts):
        pass
