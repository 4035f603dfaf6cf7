"""Steps on queues that are given to another service while they have jobs."""

import asyncio
import random

import behave
from nutmegshelf import assignments, codecs, exceptions, fleetview, ids, jobs, platform
from nutmegshelf_entry import admissions
from nutmegshelf_standins import clock

from features import jobsite, jobtable, jobworld
from features.steps import jobs_steps

START_S = 2.5
WORK_S = 3.0
SETTLE_S = 0.6
CALL_LIMIT_S = 3.0
# Longer than a lease lasts.
LEASE_S = 4.0
STEPS = (jobs.Step(count=2, cpu_millis=1000, memory_mb=100, estimate_ms=500),)
LASTING_STEPS = (jobs.Step(count=2, cpu_millis=1000, memory_mb=100, long_running=True),)
# One job takes the whole room of a service.
WIDE_STEPS = (jobs.Step(count=2, cpu_millis=12_000, memory_mb=100, estimate_ms=3000),)
HOST, PREFIX = "x", "/moving/"


def make_queue(service, name="moving"):
    return jobsite.queue(name=name, service=service, path_prefix=PREFIX)


def declare(context, service, name="moving"):
    """Declare the queue for a service, or no such queue; each service keeps another one."""
    context.version += 1
    kept = jobsite.queue(name="kept-a", service="a"), jobsite.queue(name="kept-b", service="b")
    moving = (make_queue(service, name),) if service is not None else ()
    context.world.declare(jobsite.declare(*kept, *moving, version=context.version))


@behave.given("{entries:d} entries, two services and a queue of the first")
@jobs_steps.paused
async def make_site(context, entries):
    make_world(context)
    await start_entries(context, entries)


@behave.given("{entries:d} entries that start with a job and a lease of a former release")
@jobs_steps.paused
async def make_former_site(context, entries):
    make_world(context)
    context.world.table.apply(jobs.build_submission(add_job(context, STEPS)))
    lease = {"pool": "a", "holder": None, "incarnation": "", "epoch": 3, "beat": 9, "revision": 0}
    write = platform.Write("leases/a", codecs.pack({**lease, "address": ""}))
    context.world.table.apply(platform.Transaction(writes=(write,)))
    await start_entries(context, entries)


def make_world(context):
    context.world = jobworld.World({"a": 2, "b": 2})
    context.world.default_work = (WORK_S, fleetview.RunOutcome.DONE)
    context.site = jobsite.Site(context.world)
    context.version = 0
    context.submitted = []


async def start_entries(context, entries):
    declare(context, "a")
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(START_S)


def add_job(context, steps):
    """Make a job whose queue each entry finds by its own configuration."""
    job = jobsite.job(len(context.submitted) + 1, steps, queue=make_queue("a"))
    context.world.jobs[job.job] = job
    context.submitted.append(job)
    return job


async def call(context, name, job, action):
    """Call an entry about a job; return its answer, or the kind of its error."""
    service, _ = context.site.entries[name]
    routes = service.active_queues.routes
    match = routes.find(HOST, f"{PREFIX}{job.job}") if routes is not None else None
    if match is None:
        return "unknown-queue"
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            return await action(service.job_router, match.queue)
    except exceptions.RequestError as error:
        return error.kind.value
    except TimeoutError:
        return "no answer"


async def submit(context, name, job):
    async def store(router, queue):
        await router.submit(jobsite.job(int(job.job, 16), job.steps, queue=queue))
        return "accepted"

    return await call(context, name, job, store)


async def get_state(context, name, job):
    async def show(router, queue):
        return (await router.get_state(queue, job.job)).value

    return await call(context, name, job, show)


@behave.when("a job is accepted")
@jobs_steps.paused
async def accept_job(context):
    assert await submit(context, "e0", add_job(context, STEPS)) == "accepted"


@behave.when("a job that lasts is accepted")
@jobs_steps.paused
async def accept_lasting_job(context):
    assert await submit(context, "e0", add_job(context, LASTING_STEPS)) == "accepted"
    await asyncio.sleep(0.5)


@behave.when("{count:d} jobs wait for room")
@jobs_steps.paused
async def fill_service(context, count):
    context.world.default_work = (2.0, fleetview.RunOutcome.DONE)
    for _ in range(count + 1):
        assert await submit(context, "e0", add_job(context, WIDE_STEPS)) == "accepted"
    await asyncio.sleep(0.3)


@behave.when("then its queue {moves}")
@behave.when("its queue {moves}")
@jobs_steps.paused
async def move(context, moves):
    await asyncio.sleep(0.3)
    if "one entry is not told" in moves:
        context.site.cut_from_operators.add("e2")
    if "is removed" in moves:
        declare(context, None)
        await asyncio.sleep(0.01 if "0.01 s" in moves else 1.0)
    declare(context, "b", "renamed" if "under another name" in moves else "moving")
    await asyncio.sleep(SETTLE_S)
    if "there and back" in moves:
        # A job at each of the two services.
        assert await submit(context, "e0", add_job(context, STEPS)) == "accepted"
        declare(context, "a")
        await asyncio.sleep(SETTLE_S)
    if "isn't declared once its jobs end" in moves:
        await asyncio.sleep(6 * WORK_S)
        kept = jobsite.queue(name="kept-b", service="b")
        context.world.declare(jobsite.declare(kept, make_queue("b"), version=context.version + 1))
        await asyncio.sleep(LEASE_S)
        assert context.site.holder_of("a") is None
    if "all entries are killed" in moves:
        names = list(context.site.entries)
        await asyncio.gather(*map(context.site.kill, names))
        for name in names:
            context.site.start(name)
        await asyncio.sleep(START_S)
    if "is killed" in moves:
        pool = "b" if "the other service is killed" in moves else "a"
        await context.site.kill(context.site.holder_of(pool))


@behave.then("each entry tells callers of the job")
@jobs_steps.paused
async def check_states(context):
    shown = {"queued", "running", "succeeded"}
    for job in context.submitted:
        told = {name: await get_state(context, name, job) for name in context.site.entries}
        assert set(told.values()) <= shown, (job.job, told)


@behave.when("the table is away")
@jobs_steps.paused
async def stop_table(context):
    for view in context.site.views.values():
        view.is_unavailable = True


@behave.then("the same submission is accepted by each entry")
@jobs_steps.paused
async def submit_again(context):
    for job in context.submitted:
        told = {name: await submit(context, name, job) for name in context.site.entries}
        assert set(told.values()) == {"accepted"}, (job.job, told)


@behave.then("the job's tasks have run once")
@behave.then("all of them succeed, and their tasks have run once")
@jobs_steps.paused
async def check_runs(context):
    async def have_succeeded():
        states = [await get_state(context, "e1", job) for job in context.submitted]
        return set(states) == {"succeeded"} or states

    if "e1" in context.site.entries:
        await jobs_steps.wait_until(30, have_succeeded, "succeeded")
    await asyncio.sleep(2 * WORK_S)
    jobs_steps.check_no_violations(context)
    tasks = {
        f"{job.job}.0.0.{number}": 1
        for job in context.submitted
        for number in range(job.steps[0].count)
    }
    assert dict(context.world.starts) == tasks, context.world.starts


@behave.when("it is cancelled at another entry")
@jobs_steps.paused
async def cancel(context):
    (job,) = context.submitted[:1]

    async def end(router, queue):
        await router.cancel(queue, job.job)
        return "cancelled"

    name = next(name for name in context.site.entries if name != context.site.holder_of("a"))

    async def is_cancelled():
        told = await call(context, name, job, end)
        # What is unsettled may be asked again; nobody may be told that there is no such job.
        assert told != "unknown-job", told
        return told == "cancelled" or told

    await jobs_steps.wait_until(10, is_cancelled, "cancelled")


@behave.then("the job is cancelled, and nothing of it runs")
@jobs_steps.paused
async def check_cancelled(context):
    job = context.submitted[0]

    async def is_over():
        runs = [
            run
            for minion in context.world.minions.values()
            for run in minion.runs
            if run.startswith(job.job)
        ]
        states = [await get_state(context, name, job) for name in context.site.entries]
        return (set(states) == {"cancelled"} and not runs) or (states, runs)

    await jobs_steps.wait_until(10, is_over, "over")


@behave.then("each entry counts {count:d} pending jobs")
@jobs_steps.paused
async def check_pending(context, count):
    async def read(router, queue):
        return await router.count_pending(queue)

    told = {
        name: await call(context, name, context.submitted[0], read) for name in context.site.entries
    }
    assert set(told.values()) == {count}, told


@behave.when("all of them are submitted once more")
@jobs_steps.paused
async def submit_all_again(context):
    for number, job in enumerate(context.submitted):
        assert await submit(context, f"e{number % 3}", job) == "accepted"


# --- services without queues


@behave.given("{entries:d} entries and a service whose jobs last")
@jobs_steps.paused
async def make_lasting_site(context, entries):
    context.world = jobworld.World({"a": 2, "b": 2})
    context.site = jobsite.Site(context.world)
    context.submitted = []
    queues = make_queue("a"), jobsite.queue(name="kept-b", service="b")
    context.world.declare(jobsite.declare(*queues))
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(START_S)
    assert await submit(context, "e0", add_job(context, LASTING_STEPS)) == "accepted"
    await asyncio.sleep(1.0)


@behave.when("the queue is removed, and {then}")
@jobs_steps.paused
async def remove_queue(context, then):
    kept = jobsite.queue(name="kept-b", service="b")
    services = () if "its service" in then else ("a",)
    context.world.declare(jobsite.declare(kept, version=2, services=services))
    await asyncio.sleep(SETTLE_S)
    holder = context.site.holder_of("a")
    if "is killed" in then:
        await context.site.kill(holder)
    if "is stopped" in then:
        await context.site.stop(holder)
    if "all entries are killed" in then:
        names = list(context.site.entries)
        await asyncio.gather(*map(context.site.kill, names))
        for name in names:
            context.site.start(name)
    if "a worker crashes" in then:
        minion = next(each for each in context.world.minions.values() if each.runs)
        context.world.crash(minion)


@behave.then("its tasks run {seconds:g} s later")
@jobs_steps.paused
async def check_lasting(context, seconds):
    await asyncio.sleep(seconds)
    for minion in context.world.minions.values():
        # Leases may have ended without anybody asking.
        minion.tick()
    running = [task for minion in context.world.minions.values() for task in minion.runs]
    assert len(running) == LASTING_STEPS[0].count, running
    jobs_steps.check_no_violations(context)


# --- tries without an answer


@behave.when("a job's first try at {where} gets no answer and is carried out {how}")
@jobs_steps.paused
async def lose_first_try(context, where, how):
    job, site = add_job(context, STEPS), context.site
    holder = site.holder_of("a")
    other = next(name for name in site.entries if name != holder)
    first = holder if where == "the holder" else other
    key, delay_s = jobs.job_key("a", job.job), 3.0 if "3 s" in how else 0.3 if "0.3 s" in how else 0

    def stores_job(transaction):
        return any(condition.key == key for condition in transaction.conditions)

    if first != holder:
        # The holder turns the job away, so that the entry stores it.
        commit = site.views[holder].commit

        async def turn_away(transaction):
            if stores_job(transaction):
                raise exceptions.TableUnavailable("503")
            return await commit(transaction)

        site.views[holder].commit = turn_away
    view = site.views[first]
    view.lost_answers, view.is_unanswered = 1, stores_job
    view.apply_delay_s = delay_s or None
    trying = asyncio.ensure_future(submit(context, first, job))
    await asyncio.sleep(0.3)
    # The caller leaves, and what its entry knows of the try is not told to the others.
    trying.cancel()
    if first != holder:
        site.views[holder].commit = commit
    if "its entry ends" in how:
        service, _ = site.entries[first]
        service.job_router._doubt_reporter._list_addresses = list
        await site.kill(first)


@behave.when("the job is submitted until it is accepted")
@jobs_steps.paused
async def submit_until_accepted(context):
    (job,) = context.submitted

    async def is_accepted():
        told = {name: await submit(context, name, job) for name in context.site.entries}
        return set(told.values()) == {"accepted"} or told

    await jobs_steps.wait_until(10, is_accepted, "accepted")


@behave.when("a new job is submitted at the entry that was not told{after}")
@behave.when("a new job is submitted at the entry that was not told")
@jobs_steps.paused
async def submit_at_untold(context, after=""):
    if "no holder" in after:
        service, _ = context.site.entries["e2"]

        async def fail(address, call, timeout_s):
            raise exceptions.PeerUnreachable(address)

        service.job_router._peers = type("Unreachable", (), {"call": staticmethod(fail)})()
    context.told = await submit(context, "e2", add_job(context, STEPS))


@behave.then("the entry answers {kind}")
def check_told(context, kind):
    assert context.told == kind, context.told


@behave.then("the same job runs once when it is submitted at another entry")
@jobs_steps.paused
async def submit_at_told(context):
    (job,) = context.submitted
    assert await submit(context, "e0", job) == "accepted"
    await asyncio.sleep(2 * WORK_S)
    jobs_steps.check_no_violations(context)
    assert set(context.world.starts.values()) == {1}, context.world.starts


# --- the rows alone


class UnlistedTable(jobtable.TableClient):
    """A table that answers the first read of an assignment only."""

    listed = 0

    async def read(self, key):
        if key == assignments.assignment_key(make_queue("a")):
            self.listed += 1
            if self.listed > 1:
                raise exceptions.TableUnavailable("503")
        return await super().read(key)


@behave.given("a queue that a newer configuration has given to another service")
@jobs_steps.paused
async def give_queue(context):
    context.queue_table = jobtable.Table()
    own = admissions.Admissions(jobtable.TableClient(context.queue_table))
    await own.open(make_queue("a"), ids.Version(1))
    await own.open(make_queue("b"), ids.Version(2))


@behave.when("an entry with the older one admits a job, and can't read which services there are")
@jobs_steps.paused
async def admit_unlisted(context):
    own = admissions.Admissions(UnlistedTable(context.queue_table))
    try:
        await own.admit(jobsite.job(1, STEPS, queue=make_queue("a")), ids.Version(1))
    except (exceptions.TableError, admissions.QueueMoved) as error:
        context.error = error


@behave.then("it isn't known whether another service has the job")
def check_unknown(context):
    assert isinstance(context.error, exceptions.TableAnswerLost), repr(context.error)


class ErraticTable(jobtable.TableClient):
    """A table whose answers take random times, are lost, or belong to late transactions."""

    def __init__(self, table, rng):
        super().__init__(table)
        self._rng = rng

    async def read(self, key):
        await asyncio.sleep(self._rng.uniform(0, 0.03))
        row = self.table.read(key)
        await asyncio.sleep(self._rng.uniform(0, 0.03))
        return row

    async def commit(self, transaction):
        await asyncio.sleep(self._rng.uniform(0, 0.03))
        fate = self._rng.random()
        if fate < 0.1:
            delay_s = self._rng.uniform(0, 0.5)
            asyncio.get_running_loop().call_later(delay_s, self.table.apply, transaction)
            raise exceptions.TableAnswerLost("no answer")
        if fate < 0.15:
            raise exceptions.TableUnavailable("503")
        committed = self.table.apply(transaction)
        await asyncio.sleep(self._rng.uniform(0, 0.03))
        return committed


class WatchedTable(jobtable.Table):
    """A table that notes when two services admit the jobs of a queue."""

    def __init__(self):
        super().__init__()
        self.violations = []

    def apply(self, transaction):
        committed = super().apply(transaction)
        rows = [row for key, row in self.rows.items() if key.startswith(f"{assignments.QUEUES}/")]
        decoded = [
            (row.key, codecs.unpack(row.value, assignments.Admission))
            for row in rows
            if not row.key.startswith(f"{assignments.QUEUES}//")
        ]
        admitting = [key for key, admission in decoded if admission.is_open]
        if len(admitting) > 1:
            self.violations.append(f"{admitting} at {self.version}")
        return committed


async def play_versions(rng, versions, entries):
    """Have entries with different versions submit one job; return what is wrong."""
    table = WatchedTable()
    services = [rng.choice("abc") for _ in range(versions)]
    job_id = jobsite.job(1, STEPS).job
    accepted = []

    async def play_entry():
        client = ErraticTable(table, rng)
        own = admissions.Admissions(client)
        version = 0
        for _ in range(rng.randint(3, 8)):
            await asyncio.sleep(rng.uniform(0, 0.3))
            version = rng.randint(version, versions - 1)
            if rng.random() < 0.15:
                # The entry is killed, and starts again with the newest version.
                own, version = admissions.Admissions(client), versions - 1
            queue = make_queue(services[version])
            job = jobsite.job(1, STEPS, queue=queue)
            try:
                admission = await own.admit(job, ids.Version(version + 1))
                if admission is None:
                    accepted.append(version)
                    continue
                await asyncio.sleep(rng.uniform(0, 0.2))
                committed = await client.commit(jobs.build_submission(job, admission.condition))
            except (exceptions.TableError, admissions.QueueMoved):
                continue
            if committed.ok or any(
                row.key == jobs.job_key(queue.service, job_id) and row.version
                for row in committed.rows
            ):
                accepted.append(version)
            else:
                own.forget(admission.condition)

    await asyncio.gather(*(play_entry() for _ in range(entries)))
    await asyncio.sleep(1.0)
    stored = [key for key in table.rows if key.startswith(f"{jobs.JOBS}/")]
    if len(stored) > 1:
        table.violations.append(f"the job is stored as {stored}")
    if accepted:
        known = await admissions.Admissions(jobtable.TableClient(table)).list_services(
            make_queue("a")
        )
        lost = not any(table.read(jobs.job_key(service, job_id)).version for service in known)
        if lost:
            table.violations.append(f"the job is accepted, and at none of {known}")
    return table.violations, len(accepted)


@behave.then(
    "in {count:d} random orders of {versions:d} versions at {entries:d} entries, one service at"
    " most admits new jobs"
)
def check_versions(context, count, versions, entries):
    context.plays = []
    for _ in range(count):
        rng = random.Random(context.rng.random())
        context.plays.append(clock.run(play_versions(rng, versions, entries)))
    wrong = [each for violations, _ in context.plays for each in violations if "stored" not in each]
    assert not wrong, (len(wrong), wrong[:3])


@behave.then("a job that the entries submit is stored at one service")
def check_stored(context):
    wrong = [each for violations, _ in context.plays for each in violations]
    assert not wrong, (len(wrong), wrong[:3])
    assert sum(accepted > 0 for _, accepted in context.plays) > len(context.plays) / 2


@behave.when("{count:d} jobs are accepted at each entry")
@jobs_steps.paused
async def accept_many(context, count):
    for name in context.site.entries:
        for _ in range(count):
            assert await submit(context, name, add_job(context, STEPS)) == "accepted"


@behave.then("the admission of the queue was written {count:d} times")
@jobs_steps.paused
async def check_writes(context, count):
    queue = make_queue("a")
    keys = {
        assignments.assignment_key(queue),
        assignments.admission_key(ids.ServiceName("a"), queue),
    }
    written = [row for row in context.world.table.log if row.key in keys]
    assert len(written) == count, written
