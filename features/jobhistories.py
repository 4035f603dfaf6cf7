"""Run seeded histories of jobs and faults over fake entries, workers and a fake table.

Faults come in series and overlap with one another and with the first seconds of the entries. At the
end all faults are over, and every accepted job has to reach the state that its tasks lead to.
"""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import time

from nutmegshelf import exceptions, fleetview, jobs

from features import jobsite, jobworld

DURATION_S = 40.0
# An accepted job may have nothing running for this long once all faults are over.
MAX_IDLE_S = 10.0
# Tasks that were lost with two workers start alone, so that a job of many may take long.
MAX_FINISH_S = 400.0
MAX_ATTEMPTS = 4
# More tasks than a worker lists ends at a time.
MANY_TASKS = 700
# More runs than can be tried alone, one after the other, by the end of a history.
MANY_RUNS = 50
CALL_TIMEOUT_S = 3.0
# Longer than any lease lasts, so that a run elsewhere would overlap; trials of it take no longer
# than a job may idle.
LONG_WORK_S = 6.5
QUEUES = (
    jobsite.queue(max_attempts=MAX_ATTEMPTS),
    jobsite.queue(name="q2", service="b", max_attempts=MAX_ATTEMPTS),
)


class Shape(enum.Enum):
    """What a job consists of."""

    PLAIN = "one step"
    STEPS = "two steps"
    GANG = "occurrences of a gang"
    COPIES = "occurrences of a speculative step"
    TIMES = "occurrences of a plain step"
    MANY = "many small tasks"
    FAILING = "a task that always fails"


WEIGHTS = {Shape.PLAIN: 4, Shape.MANY: 0.3}


class Fault(enum.Enum):
    """What strikes an entry, its table, or a worker."""

    KILL = "an entry is killed"
    STOP = "an entry is stopped gracefully"
    KILL_ALL = "all entries are killed"
    ANSWERS_LOST = "answers of the table are lost"
    WRITES_LATE = "writes are carried out late"
    WRITES_DROPPED = "writes are not carried out"
    TABLE_DOWN = "the table is down"
    TABLE_SLOW = "answers of the table are slow"
    CUT_FROM_TABLE = "an entry is cut from the table"
    CUT_FROM_WORKERS = "an entry is cut from the workers"
    WORKER_SILENT = "a worker falls silent"
    WORKER_CRASH = "a worker crashes"
    WORKER_RESTART = "a worker starts anew"
    STARTS_DROPPED = "starts never arrive"
    STARTS_DELAYED = "starts are carried out late"
    FOREIGN_ENTRIES = "another program writes entries of workers"
    WORKER_REOPENED = (
        "a worker starts again behind a cut under its id, is reachable for a moment, and is cut "
        "off again"
    )


@dataclasses.dataclass
class Accepted:
    """A job that an entry accepted, with the states that it may end in."""

    job: jobs.Job
    end_states: frozenset[str]


class FailureRecorder(set):
    """The set of an entry's failed pools, which keeps what was ever added to it."""

    def __init__(self, failures):
        super().__init__()
        self._failures = failures

    def add(self, pool):
        """Record that the holder of a pool ended by an unexpected error."""
        self._failures.append(pool)
        super().add(pool)


def make_step(**fields):
    defaults = {"count": 2, "cpu_millis": 1000, "memory_mb": 100, "estimate_ms": 500}
    return jobs.Step(**{**defaults, **fields})


class History:
    """One seeded history, and what it found."""

    def __init__(self, rng):
        self._rng = rng
        self._world = jobworld.World({"a": 4, "b": 3}, spare_count=rng.choice([0, 2]))
        self._world.keeps_ids = rng.random() < 0.5
        self._world.holds_calls = rng.random() < 0.5
        self._site = jobsite.Site(self._world)
        self._numbers = itertools.count(1)
        self._accepted = {}
        self._failed_holders = []
        # What happened, for the messages of failed checks.
        self.events = []

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def _note(self, text):
        self.events.append(f"{self._now_s():7.2f} {text}")

    def _start(self, name):
        service = self._site.start(name)
        service.lease_manager._failed_pools = FailureRecorder(self._failed_holders)

    async def run(self):
        """Play the history, and return what violated a guarantee."""
        self._declare()
        for number in range(self._rng.choice([1, 2, 3])):
            self._start(f"e{number}")
        await asyncio.sleep(self._rng.choice([0.0, 0.0, 0.3, 0.8, 2.0]))
        ends_s = self._now_s() + DURATION_S
        await asyncio.gather(*self._list_activities(ends_s))
        self._end_faults()
        unfinished = await self._wait_finished()
        await self._site.close()
        failed = [f"the holder of {pool} failed" for pool in self._failed_holders]
        return [*self._world.violations, *failed, *unfinished]

    def _declare(self):
        self._world.declare(jobsite.declare(*QUEUES))

    def _list_activities(self, ends_s):
        return [
            self._submit_until(ends_s),
            self._strike_until(ends_s),
            self._strike_until(ends_s),
        ]

    # --- jobs

    def _route(self, service, job):
        """Return a job with its queue as an entry has it."""
        return job

    def _make_job(self):
        shape = self._rng.choices(list(Shape), [WEIGHTS.get(shape, 1) for shape in Shape])[0]
        due = {"first_due_ms": int(time.time() * 1000), "interval_ms": 1}
        work = self._rng.choice([0.05, 0.5, 2.0, 4.0]), fleetview.RunOutcome.DONE
        steps, fields, end = (make_step(),), {}, "succeeded"
        match shape:
            case Shape.STEPS:
                steps = make_step(), make_step(after=(0,))
            case Shape.GANG:
                steps, fields = (make_step(gang=True),), {"occurrences": 2, **due}
            case Shape.COPIES:
                # It takes longer than estimated, so that it gets a second run.
                steps = (make_step(speculative=True, estimate_ms=200),)
                fields, work = {"occurrences": 2, **due}, (1.5, fleetview.RunOutcome.DONE)
            case Shape.TIMES:
                fields = {"occurrences": 3, **due}
            case Shape.MANY:
                steps = (make_step(count=MANY_TASKS, cpu_millis=10, memory_mb=1),)
            case Shape.FAILING:
                work, end = (0.3, fleetview.RunOutcome.FAILED), "failed"
        queue = self._rng.choice(QUEUES)
        job = jobsite.job(next(self._numbers), steps, queue=queue, **fields)
        self._world.jobs[job.job] = job
        self._world.work_by_task[job.job] = work
        return Accepted(job, frozenset({end})), shape

    async def _submit_until(self, ends_s):
        while self._now_s() < ends_s:
            made, shape = self._make_job()
            await self._submit(made, shape.value)
            if self._accepted and self._rng.random() < 0.1:
                await self._cancel(self._rng.choice(list(self._accepted.values())))
            await asyncio.sleep(self._rng.uniform(0.05, 1.0))

    async def _submit(self, made, what):
        for _ in range(4):
            if await self._call_any(
                lambda service: service.job_router.submit(self._route(service, made.job))
            ):
                self._accepted[made.job.job] = made
                self._note(f"{made.job.job} is accepted: {what}")
                break
            await asyncio.sleep(1.0)

    async def _submit_long(self, service):
        """Submit jobs of long tasks to a service."""
        (queue,) = [each for each in QUEUES if each.service == service]
        for _ in range(self._rng.randint(1, 3)):
            job = jobsite.job(next(self._numbers), (make_step(),), queue=queue)
            self._world.jobs[job.job] = job
            self._world.work_by_task[job.job] = LONG_WORK_S, fleetview.RunOutcome.DONE
            await self._submit(Accepted(job, frozenset({"succeeded"})), "long tasks")

    async def _cancel(self, accepted):
        job = accepted.job
        self._note(f"{job.job} is cancelled")
        # A cancellation without an answer may be in force, and may come after the end.
        accepted.end_states |= {"cancelled", "succeeded", "failed"}
        await self._call_any(
            lambda service: service.job_router.cancel(self._route(service, job).queue, job.job)
        )

    async def _call_any(self, call):
        """Call any entry; return whether it answered with success."""
        if not self._site.entries:
            return False
        service, _ = self._site.entries[self._rng.choice(list(self._site.entries))]
        with contextlib.suppress(exceptions.NutmegshelfError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await call(service)
                return True
        return False

    async def _wait_finished(self):
        """Return the jobs that stood still, or did not reach one of their end states."""
        until_s = self._now_s() + MAX_FINISH_S
        left = dict(self._accepted)
        busy_s = dict.fromkeys(left, self._now_s())
        states = {}
        while left and self._now_s() < until_s:
            running = {
                name.partition(".")[0]
                for minion in self._world.minions.values()
                for name in minion.runs
            }
            for name, accepted in list(left.items()):
                service, _ = self._site.entries[self._rng.choice(list(self._site.entries))]
                with contextlib.suppress(exceptions.RequestError):
                    state = await service.job_router.get_state(accepted.job.queue, name)
                    states[name] = state.value
                if states.get(name) in accepted.end_states:
                    del left[name]
                elif name in running:
                    busy_s[name] = self._now_s()
                elif self._now_s() > busy_s[name] + MAX_IDLE_S:
                    until_s = self._now_s()
            await asyncio.sleep(0.5)
        return [
            f"{name} is {states.get(name)}, not {'/'.join(sorted(accepted.end_states))}"
            for name, accepted in left.items()
        ]

    # --- faults

    async def _strike_until(self, ends_s):
        while self._now_s() < ends_s:
            await asyncio.sleep(self._rng.uniform(0.5, 6.0))
            fault = self._rng.choice(list(Fault))
            if not self._site.entries:
                continue
            name = self._rng.choice(list(self._site.entries))
            self._note(f"{name}: {fault.value}")
            await self._strike(fault, name)

    async def _strike(self, fault, name):
        match fault:
            case Fault.KILL | Fault.STOP | Fault.KILL_ALL:
                await self._end_entries(fault, name)
            case Fault.ANSWERS_LOST | Fault.WRITES_LATE | Fault.WRITES_DROPPED:
                view = self._site.views[name]
                view.lost_answers = self._rng.randint(1, 4)
                view.drops_unanswered = fault is Fault.WRITES_DROPPED
                is_late = fault is Fault.WRITES_LATE
                view.apply_delay_s = self._rng.choice([0.5, 1.5, 2.5]) if is_late else None
            case Fault.TABLE_DOWN:
                await self._set_for([0.5, 2.0, 4.0], self._site.views.values(), "is_unavailable")
            case Fault.TABLE_SLOW:
                await self._set_for([2.0], [self._site.views[name]], "answer_delay_s", 0.4, 0.0)
            case Fault.CUT_FROM_TABLE:
                await self._cut_from_table(name)
            case Fault.CUT_FROM_WORKERS:
                await self._set_for([0.5, 2.0, 5.0], [self._site.workers[name]], "is_partitioned")
            case _:
                if self._world.minions:
                    await self._strike_worker(
                        fault, self._rng.choice(list(self._world.minions.values()))
                    )

    async def _end_entries(self, fault, name):
        names = list(self._site.entries) if fault is Fault.KILL_ALL else [name]
        for each in names:
            if each in self._site.entries:
                end = self._site.stop if fault is Fault.STOP else self._site.kill
                # The other series of faults may kill an entry while it is being stopped.
                with contextlib.suppress(KeyError):
                    await end(each)
        await asyncio.sleep(self._rng.choice([0.0, 0.3, 3.0]))
        for each in names:
            if each not in self._site.entries:
                self._start(each)

    async def _set_for(self, durations_s, owners, field, value=True, usual=False):
        owners = list(owners)
        for owner in owners:
            setattr(owner, field, value)
        await asyncio.sleep(self._rng.choice(durations_s))
        for owner in owners:
            setattr(owner, field, usual)

    async def _cut_from_table(self, name):
        view = self._site.views[name]
        view.is_partitioned = True
        await asyncio.sleep(self._rng.choice([0.5, 2.0, 5.0]))
        # The view of an entry that was killed meanwhile stays cut off.
        if name in self._site.entries and self._site.views[name] is view:
            view.is_partitioned = False

    async def _strike_worker(self, fault, minion):
        match fault:
            case Fault.WORKER_SILENT:
                await self._set_for([0.5, 2.0, 7.0], [minion], "is_unresponsive")
            case Fault.WORKER_CRASH:
                self._world.crash(minion)
            case Fault.WORKER_RESTART:
                if self._world.minions.get(minion.facts.incarnation) is minion:
                    self._world.restart(minion)
            case Fault.STARTS_DROPPED:
                minion.dropped_starts += 2
            case Fault.STARTS_DELAYED:
                minion.delayed_starts += 2
            case Fault.FOREIGN_ENTRIES:
                await self._write_foreign_entries(minion)
            case Fault.WORKER_REOPENED:
                minions = self._world.get_minions(minion.facts.service)
                few = [each for each in minions if len(each.runs) < MANY_RUNS]
                if few:
                    await self._reopen(max(few, key=lambda each: len(each.runs)))

    async def _reopen(self, minion):
        """Restart a worker behind a cut, and let it be reached only for a moment before another."""
        cut_s, open_s = self._rng.uniform(0.1, 2.5), self._rng.uniform(0.05, 0.8)
        again_s, down_s = self._rng.uniform(3.0, 10.0), self._rng.uniform(0.0, cut_s)
        loses_answers = self._rng.random() < 0.5
        minion.is_unresponsive = True
        # Their starts leave before the silence is noticed.
        submitted = asyncio.ensure_future(self._submit_long(minion.facts.service))
        await asyncio.sleep(down_s)
        await self._reopen_later(minion, cut_s - down_s, open_s, again_s, loses_answers)
        await submitted

    async def _reopen_later(self, minion, cut_s, open_s, again_s, loses_answers):
        # The other series of faults may have ended the worker meanwhile.
        if self._world.minions.get(minion.facts.incarnation) is not minion:
            return
        later = self._world.restart(minion, keeps_id=True)
        later.former_facts, later.loses_answers = minion.facts, loses_answers
        name = later.facts.incarnation.worker
        self._note(
            f"{name} restarts; open after {cut_s:.2f} s for {open_s:.2f} s, cut for {again_s:.1f} s"
            f"{', answers lost' if loses_answers else ''}"
        )
        later.is_unresponsive = True
        await asyncio.sleep(cut_s)
        later.is_unresponsive = False
        await asyncio.sleep(open_s)
        later.is_unresponsive = True
        await asyncio.sleep(again_s)
        later.is_unresponsive = later.loses_answers = False
        later.former_facts = None

    async def _write_foreign_entries(self, minion):
        """Write entries with the host of a worker at which nothing listens."""
        own_id, entries = minion.facts.incarnation.worker, self._world.foreign_entries
        name = self._rng.choice([own_id, "agent"])
        others = list(self._world.minions.values())
        address = self._rng.choice([jobworld.DEAD_ADDRESS, self._rng.choice(others).facts.address])
        until_s = self._now_s() + self._rng.choice([0.1, 1.0, 6.0])
        while self._now_s() < until_s:
            born_ms = minion.facts.incarnation.born_ms + self._rng.choice([-1, 0, 10_000])
            entries[name] = dataclasses.replace(
                minion.facts,
                incarnation=fleetview.Incarnation(name, max(0, born_ms)),
                address=jobworld.DEAD_ADDRESS if name == own_id else address,
            )
            await asyncio.sleep(self._rng.choice([0.15, 0.5]))
            if self._rng.random() < 0.3:
                entries.pop(name, None)
        entries.pop(name, None)

    def _end_faults(self):
        for name in self._site.entries:
            view = self._site.views[name]
            view.is_partitioned = False
            view.lost_answers = 0
