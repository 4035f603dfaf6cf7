"""Run jobs over entries, workers and a table that are all fakes on a paused clock."""

import asyncio
import functools

import behave
from nutmegshelf import (
    codecs,
    exceptions,
    fleetview,
    jobs,
    ledger,
    platform,
    queues,
    sharing,
    urgency,
)
from nutmegshelf_standins import clock

from features import jobworld

START_S = 2.0


def paused(function):
    """Run a step on the paused clock of its scenario."""

    @functools.wraps(function)
    def step(context, *args, **kwargs):
        if not hasattr(context, "paused"):
            context.paused = asyncio.Runner(loop_factory=clock.PausedLoop)
            context.cleanup.append(functools.partial(end, context))
        return context.paused.run(function(context, *args, **kwargs))

    return step


async def end(context):
    if hasattr(context, "site"):
        await asyncio.to_thread(lambda: context.paused.run(context.site.close()))
    await asyncio.to_thread(context.paused.close)


def now_s():
    return asyncio.get_running_loop().time()


def parse_steps(text):
    steps = []
    for part in text.split(","):
        count, _, after = part.strip().partition(" after ")
        names = tuple(int(one) for one in after.split()) if after else ()
        steps.append(
            jobs.Step(
                count=int(count), cpu_millis=1000, memory_mb=100, estimate_ms=500, after=names
            )
        )
    return tuple(steps)


async def submit(context, number, steps, entry, **fields):
    made = jobworld.job(number, steps, **fields)
    context.world.jobs[made.job] = made
    service, _ = context.site.entries[entry]
    await service.desk.submit(made)
    return made


async def states(context, made, names=None):
    found = {}
    for name in names or context.site.entries:
        service, _ = context.site.entries[name]
        try:
            found[name] = (await service.desk.show(made.queue, made.job)).value
        except exceptions.RequestError as error:
            found[name] = error.kind.value
    return found


async def until(limit_s, check, what):
    """Wait until a check holds; the last value explains a failure."""
    until_s = now_s() + limit_s
    while True:
        found = await check()
        if found is True:
            return
        assert now_s() < until_s, f"{what}: {found}"
        await asyncio.sleep(0.05)


def is_everywhere(context, made, state, names=None):
    async def check():
        found = await states(context, made, names)
        return all(one == state for one in found.values()) or found

    return check


def judge(context):
    assert not context.world.broken, context.world.broken


@behave.given("{entries:d} entries and {workers:d} workers of one service")
@behave.given(
    "{entries:d} entries and {workers:d} workers of one service and {spare:d} spare hosts"
)
@paused
async def make_site(context, entries, workers, spare=0):
    context.world = jobworld.World({"a": workers}, spare_count=spare)
    context.site = jobworld.Site(context.world)
    context.world.declare(jobworld.declare(jobworld.queue()))
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(START_S)


@behave.given("its tasks fail")
def let_fail(context):
    context.world.default_work = (0.2, fleetview.How.FAILED)


@behave.given("its tasks take {seconds:g} s")
def set_time(context, seconds):
    context.world.default_work = (seconds, fleetview.How.DONE)


@behave.given("each worker carries the first {count:d} starts out late and unanswered")
def lose_starts(context, count):
    for minion in context.world.minions.values():
        minion.loses_starts = count


@behave.given("each worker leaves the first {count:d} stops unanswered")
def lose_stops(context, count):
    for minion in context.world.minions.values():
        minion.loses_stops = count


@behave.when("a link to a worker fails by a fault of its own")
@paused
async def break_link(context):
    workers = context.site.workers[context.site.holder_of("a")]
    look, failures = workers.look, []

    async def fail_once(*args, **kwargs):
        if not failures:
            failures.append(1)
            raise RuntimeError("a fault")
        return await look(*args, **kwargs)

    workers.look = fail_once
    await asyncio.sleep(3.0)
    assert failures


@behave.when('a job of steps "{steps}" is submitted at entry {entry:d}')
@paused
async def submit_one(context, steps, entry):
    context.made = await submit(context, 1, parse_steps(steps), f"e{entry}")


@behave.when("the same job is submitted at every entry twice")
@paused
async def submit_same(context):
    steps = parse_steps("2")
    names = list(context.site.entries) * 2
    found = await asyncio.gather(*(submit(context, 1, steps, name) for name in names))
    context.made = found[0]


@behave.when("{count:d} jobs of one task are submitted together")
@paused
async def submit_many(context, count):
    names = list(context.site.entries)
    context.all = await asyncio.gather(
        *(
            submit(context, number, parse_steps("1"), names[number % len(names)])
            for number in range(count)
        )
    )


@behave.then("within {seconds:g} s it is shown as {state} at every entry")
@paused
async def check_state(context, seconds, state):
    await until(seconds, is_everywhere(context, context.made, state), "states")


@behave.then("within {seconds:g} s all are shown as succeeded")
@behave.then("within {seconds:g} s all accepted jobs are shown as succeeded")
@paused
async def check_all(context, seconds):
    entry = next(iter(context.site.entries))

    async def check():
        left = []
        for made in context.all:
            found = (await states(context, made, [entry]))[entry]
            if found != "succeeded":
                left.append((made.job, found))
        return not left or left[:5]

    await until(seconds, check, "jobs not done")


@behave.then("every task ran once")
def check_once(context):
    judge(context)
    assert context.world.starts, "no task was started"
    assert set(context.world.starts.values()) == {1}, context.world.starts


@behave.then("no task ran twice at a time or after its end was taken note of")
def check_never_twice(context):
    judge(context)


@behave.then("its task was started {count:d} times")
def check_starts(context, count):
    assert list(context.world.starts.values()) == [count], context.world.starts


@behave.when("after {seconds:g} s it is cancelled at entry {entry:d}")
@paused
async def cancel(context, seconds, entry):
    await asyncio.sleep(seconds)
    service, _ = context.site.entries[f"e{entry}"]
    await service.desk.cancel(context.made.queue, context.made.job)


@behave.then("within {seconds:g} s nothing of it runs")
@paused
async def check_nothing_runs(context, seconds):
    async def check():
        running = [name for name, runs in context.world.running.items() if runs]
        return running if running else True

    await until(seconds, check, "running")
    started = sum(context.world.starts.values())
    await asyncio.sleep(1.0)
    assert sum(context.world.starts.values()) == started, context.world.starts


async def hit(context, fault):
    name = context.site.holder_of("a")
    view = context.site.views[name]
    match fault:
        case "killed":
            await context.site.kill(name)
        case "killed and started again":
            await context.site.kill(name)
            await asyncio.sleep(0.5)
            context.site.start(name)
        case "stopped gracefully":
            await context.site.stop(name)
        case "cut from the table":
            view.is_cut = True
            await asyncio.sleep(6.0)
            view.is_cut = False
        case "losing answers":
            view.lost_answers = 3
        case "losing answers, done late":
            view.lost_answers, view.late_s = 3, 0.7


@behave.when(
    "{count:d} jobs of two steps come over {seconds:g} s and the holder is {fault} after 2 s"
)
@paused
async def submit_over(context, count, seconds, fault):
    context.all = []

    async def come(number):
        await asyncio.sleep(number * seconds / count)
        # Callers hand the same job in again at another entry while they have no answer.
        for attempt in range(6):
            name = list(context.site.entries)[attempt % len(context.site.entries)]
            try:
                context.all.append(await submit(context, number, parse_steps("2, 2 after 0"), name))
                return
            except exceptions.RequestError:
                await asyncio.sleep(1.0)

    async def strike():
        await asyncio.sleep(2.0)
        await hit(context, fault)

    await asyncio.gather(strike(), *(come(number) for number in range(count)))
    assert len(context.all) == count, f"{len(context.all)} of {count} jobs were accepted"


@behave.when("all entries are killed at once and started after {seconds:g} s")
@paused
async def kill_all(context, seconds):
    names = list(context.site.entries)
    for name in names:
        await context.site.kill(name)
    await asyncio.sleep(seconds)
    context.started_s = now_s()
    for name in names:
        context.site.start(name)
    await asyncio.sleep(1.0)


@behave.given("a job ran and a host was moved away since")
@paused
async def run_and_move(context):
    made = await submit(context, 7, parse_steps("8"), "e0")
    await until(4, is_everywhere(context, made, "succeeded"), "states")
    await asyncio.sleep(6.0)
    assert context.world.moves, "no host moved"


@behave.given("the row of used lives still names the hosts that moved")
def keep_old_lives(context):
    lives = [(fleetview.Life(f"w{number}", number), f"h{number}") for number in range(1, 9)]
    write = platform.Write("used/a/lives", codecs.pack(lives))
    context.world.table.apply(platform.Transaction(writes=(write,)))


@behave.when("the holder is killed")
@paused
async def kill_holder(context):
    await context.site.kill(context.site.holder_of("a"))


@behave.given("workers that ended stay listed for {seconds:g} s")
def lag_list(context, seconds):
    context.world.list_lag_s = seconds


@behave.when("the holder is killed as hosts move away")
@paused
async def kill_while_moving(context):
    async def check():
        return len(context.world.moves) >= 2 or context.world.moves

    await until(6, check, "moves")
    assert any(context.world.running.values()), "the first task has ended"
    await context.site.kill(context.site.holder_of("a"))


@behave.given("answers of the table take {seconds:g} s")
def slow_answers(context, seconds):
    for view in context.site.views.values():
        view.answer_s = seconds


@behave.when('a job of steps "{steps}" is submitted and the holder is stopped at once')
@paused
async def submit_and_stop(context, steps):
    name = context.site.holder_of("a")
    context.made = await submit(context, 1, parse_steps(steps), name)
    service, _ = context.site.entries[name]
    service.leaving = True
    # A transaction is sent, and its answer is not there yet.
    service.shards.holder("a").writer.write(platform.Write("scratch/a/other", b""))
    await asyncio.sleep(0.05)
    context.stopped_s = now_s()
    context.stop = asyncio.ensure_future(context.site.stop(name))
    context.stopped = name


@behave.then("another entry holds the service within {seconds:g} s")
@paused
async def check_taken(context, seconds):
    async def check():
        name = next(
            (
                name
                for name, (one, _) in context.site.entries.items()
                if name != context.stopped and one.shards.holder("a")
            ),
            None,
        )
        return name is not None or "no other holder"

    await until(seconds, check, "holder")
    if hasattr(context, "stop"):
        await context.stop


@behave.when("a job is submitted while its answer is lost and again while the table is away")
@paused
async def submit_unsettled(context):
    view = context.site.views["e0"]
    context.kinds = []
    made = jobworld.job(9, parse_steps("1"))
    context.world.jobs[made.job] = made
    service, _ = context.site.entries["e0"]
    view.lost_answers, view.late_s = 100, 9.0
    for _ in range(2):
        try:
            await service.desk.submit(made)
        except exceptions.RequestError as error:
            context.kinds.append(error.kind.value)
        view.is_refusing = True


@behave.then("both times it is said that it may run")
def check_unsettled(context):
    assert context.kinds == ["job-unsettled", "job-unsettled"], context.kinds


@behave.when("the holder is stopped gracefully")
@paused
async def stop_holder(context):
    await context.site.stop(context.site.holder_of("a"))


@behave.when('a job of steps "{steps}" is submitted after {seconds:g} s')
@paused
async def submit_after(context, steps, seconds):
    await asyncio.sleep(seconds)
    context.made = await submit(context, 2, parse_steps(steps), next(iter(context.site.entries)))


@behave.when("the holder is killed and a job is stored by another entry while the next one loads")
@paused
async def store_while_loading(context):
    await context.site.kill(context.site.holder_of("a"))
    (name,) = context.site.entries
    made = context.made = jobworld.job(3, parse_steps("1"))
    context.world.jobs[made.job] = made

    async def scanned(prefix):
        # The job comes just after the inbox was read, and loading goes on for a while.
        if prefix.startswith(f"{jobs.INBOX}/") and made.job not in str(context.world.table.rows):
            context.world.table.apply(jobs.submitting(made))
            await asyncio.sleep(0.5)

    context.site.views[name].scanned = scanned
    await asyncio.sleep(4.0)


@behave.when("the holder is cut from the table")
def cut_holder(context):
    context.cut = context.stopped = context.site.holder_of("a")
    context.site.views[context.cut].is_cut = True


@behave.when('a job of steps "{steps}" is submitted at another entry after {seconds:g} s')
@paused
async def submit_elsewhere(context, steps, seconds):
    await asyncio.sleep(seconds)
    entry = next(name for name in context.site.entries if name != context.cut)
    began_s = now_s()
    context.made = await submit(context, 4, parse_steps(steps), entry)
    context.took_s = now_s() - began_s


@behave.then("it is accepted within {seconds:g} s")
def check_accepted(context, seconds):
    assert context.took_s <= seconds, context.took_s


@behave.then("within {seconds:g} s it is shown as succeeded at the other entries")
@paused
async def check_others(context, seconds):
    names = [name for name in context.site.entries if name != context.cut]
    await until(seconds, is_everywhere(context, context.made, "succeeded", names), "states")


@behave.when("the table refuses everybody for {seconds:g} s")
@paused
async def refuse_all(context, seconds):
    context.held = context.site.holder_of("a")
    views = context.site.views.values()
    for view in views:
        view.is_refusing = True

    def again():
        for view in views:
            view.is_refusing = False

    asyncio.get_running_loop().call_later(seconds, again)


@behave.then("the same entry held the service all the time")
def check_same_holder(context):
    assert context.site.holder_of("a") == context.held
    service, _ = context.site.entries[context.held]
    assert service.shards.holder("a").epoch == 1


@behave.when('a job of steps "{steps}" is submitted at entry {entry:d} after {seconds:g} s')
@paused
async def submit_refused(context, steps, entry, seconds):
    await asyncio.sleep(seconds)
    context.made = jobworld.job(5, parse_steps(steps))
    context.world.jobs[context.made.job] = context.made
    service, _ = context.site.entries[f"e{entry}"]
    try:
        await service.desk.submit(context.made)
        context.refusal = None
    except exceptions.RequestError as error:
        context.refusal = error


@behave.then("it is refused as not run")
def check_refused(context):
    assert context.refusal is not None, "the job was accepted"
    assert context.refusal.outcome is exceptions.Outcome.NOT_RUN, context.refusal.kind


@behave.then("{seconds:g} s later it is not known anywhere")
@paused
async def check_unknown(context, seconds):
    await asyncio.sleep(seconds)
    found = await states(context, context.made)
    assert set(found.values()) == {"unknown-job"}, found


@behave.when(
    'a job of steps "{steps}" is submitted at the holder by a caller that gives up at once'
)
@paused
async def submit_and_leave(context, steps):
    made = context.made = jobworld.job(6, parse_steps(steps))
    context.world.jobs[made.job] = made
    service, _ = context.site.entries[context.site.holder_of("a")]
    task = asyncio.ensure_future(service.desk.submit(made))
    await asyncio.sleep(0.014)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@behave.when("after {seconds:g} s one of its workers falls silent for good")
@paused
async def silence(context, seconds):
    await asyncio.sleep(seconds)
    next(one for one in context.world.minions.values() if one.runs).is_dark = True


@behave.when("after {seconds:g} s all workers start anew")
@paused
async def start_anew(context, seconds):
    await asyncio.sleep(seconds)
    for minion in list(context.world.minions.values()):
        context.world.start_again(minion)


@behave.when("version {newer:d} is declared and then version {older:d}")
@paused
async def declare_versions(context, newer, older):
    for version in (newer, older):
        context.world.declare(jobworld.declare(jobworld.queue(), version=version))
        await asyncio.sleep(0.5)


@behave.then("version {version:d} stays in force at every entry")
def check_version(context, version):
    found = [one.in_force.routes.declared.version for one, _ in context.site.entries.values()]
    assert set(found) == {version}, found


@behave.when('an advised job of steps "{steps}" is submitted')
@paused
async def submit_advised(context, steps):
    terms = queues.Advised(decide_ms=20, per_worker_ms=5, valid_ms=2000)
    made = parse_steps(steps)
    context.made = await submit(context, 8, made, "e0", queue=jobworld.queue(advised=terms))


@behave.then("only workers that the policy allows ran it")
def check_policy(context):
    asked = context.world.advice.asked
    assert len(set(asked)) == 2, asked


@behave.given("a worker with a serving task of target {target:d} ms and a filling task")
def share_worker(context, target):
    facts = fleetview.WorkerFacts(
        fleetview.Life("w1", 1), "a", "h1", "", "z", "r", frozenset(), 16_000, 64_000, 0
    )
    context.worker = fleetview.Worker(facts)
    serving = jobs.Step(count=1, cpu_millis=1000, lasting=True, target_ms=target)
    filling = jobs.Step(count=1, cpu_millis=1000, lasting=True, fills=True)
    book = ledger.Ledger(1)
    record = book.add(jobworld.job(1, (serving, filling)), None, 0.0, 0, may_run=False)
    context.serving, context.filling = record.tasks()
    for task in (context.serving, context.filling):
        book.adopt(record, task, context.worker, 1, 0.0)


@behave.then("the filling task's pace goes as follows")
def check_paces(context):
    for number, row in enumerate(context.table):
        context.serving.figure = float(row["tail ms"])
        for task, percent in sharing.choose(context.worker, float(number + 1)).items():
            task.pace_percent = percent
        assert context.filling.pace_percent == int(row["percent"]), (number, context.filling)


@behave.given("jobs that wait as follows")
def list_jobs(context):
    context.records = {}
    book = ledger.Ledger(1)
    for number, row in enumerate(context.table):
        terms = {"target_latency_ms": int(float(row["objective s"]) * 1000), "stretch": 0.0}
        made = jobworld.job(
            number,
            (jobs.Step(count=1, estimate_ms=500, lasting=row["lasts"] == "yes"),),
            queue=jobworld.queue(priority=int(row["priority"]), **terms),
        )
        accepted_s = 100.0 - float(row["accepted s ago"])
        context.records[row["job"]] = book.add(made, None, accepted_s, 0, may_run=False)


@behave.then('their order is "{names}"')
def check_order(context, names):
    found = sorted(context.records, key=lambda name: urgency.of(context.records[name], 100.0))
    assert ", ".join(found) == names, found
