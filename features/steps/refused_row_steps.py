"""Steps on rows and transactions that are too large for the table."""

import asyncio
import copy

import behave
import hypothesis
from hypothesis import strategies
from nutmegshelf import exceptions, jobs, progressrows
from nutmegshelf import registry as job_registry
from nutmegshelf_entry import writer

from features import jobsite, jobtable
from features.steps import jobs_steps, malformed_row_steps

LARGE_JOB = 90
EXAMPLES = 150


@behave.given("the table refuses rows over 65536 bytes and transactions over 1 MB")
def limit_sizes(context):
    context.world.table.has_size_limits = True


async def submit_others(context, count):
    context.others = [
        await jobs_steps.submit(context, number, jobs_steps.parse_steps("2"), "e0")
        for number in range(count)
    ]


@behave.when("a job of {size:d} bytes is submitted at each entry beside {count:d} others")
@jobs_steps.paused
async def submit_large(context, size, count):
    async def submit_at(entry):
        try:
            await jobs_steps.submit(
                context, LARGE_JOB, jobs_steps.parse_steps("1"), entry, spec="x" * size
            )
        except exceptions.RequestError as error:
            return error.kind
        return None

    large = [asyncio.ensure_future(submit_at(entry)) for entry in context.site.entries]
    await submit_others(context, count)
    context.kinds = await asyncio.gather(*large)


@behave.then("it is rejected as too large at each entry")
def check_rejected(context):
    assert set(context.kinds) == {exceptions.ErrorKind.BODY_TOO_LARGE}, context.kinds


@behave.then("within {seconds:g} s the other jobs are shown as succeeded")
@jobs_steps.paused
async def check_others(context, seconds):
    for job in context.others:
        await jobs_steps.wait_until(
            seconds, jobs_steps.has_state(context, job, "succeeded"), f"state of {job.job}"
        )


@behave.when("the {part} of a running job grow beyond a row beside {count:d} others")
@jobs_steps.paused
async def grow(context, part, count):
    fields = {"occurrences": 2, "first_due_ms": 1, "interval_ms": 10_000_000_000_000}
    context.large = await jobs_steps.submit(
        context, LARGE_JOB, jobs_steps.parse_steps("2"), "e0", **fields
    )
    await submit_others(context, count)
    await asyncio.sleep(0.5)
    registry = malformed_row_steps.get_holder(context).scheduler.registry
    record = registry.records[context.large.job]
    step = record.progress.steps[0][0]
    match part:
        case "checkpoints":
            step.checkpoints[1] = "x" * 70_000
        case "finished occurrences":
            record.progress.finished.update(range(2, 30_000))
        case "scattered finished occurrences":
            record.progress.finished.update(range(3, 60_000, 2))
        case "failures":
            step.failures[1] = list(range(65_537, 95_537))
        case "unresolved runs":
            step.crashes[1] = jobs.CrashHistory(
                unresolved=[
                    jobs.UnresolvedRun(run=run, worker=f"w{run % 9}", born_ms=run % 9, host="h")
                    for run in range(65_537, 95_537)
                ]
            )
    registry.mark_dirty(record)


@behave.then("the large job is shown as running")
@jobs_steps.paused
async def check_running(context):
    await asyncio.sleep(1.0)
    assert await jobs_steps.has_state(context, context.large, "running")() is True


@behave.then("a takeover knows the whole progress of the large job")
@jobs_steps.paused
async def check_takeover(context):
    def get_progress():
        registry = malformed_row_steps.get_holder(context).scheduler.registry
        return registry.records[context.large.job].progress

    before = copy.deepcopy(get_progress())
    await context.site.kill(context.site.holder_of("a"))
    await asyncio.sleep(4.0)
    assert get_progress() == before


@behave.when(
    "a job of {count:d} checkpointing tasks runs and all workers fall silent for {seconds:g} s"
)
@jobs_steps.paused
async def silence_workers(context, count, seconds):
    world = context.world
    world.reports_checkpoints = True
    step = jobs.Step(count=count, cpu_millis=40, memory_mb=1, estimate_ms=9000, checkpointing=True)
    context.made = await jobs_steps.submit(context, LARGE_JOB, (step,), "e0")
    until_s = jobs_steps.get_time_s() + 8.0
    while sum(len(minion.runs) for minion in world.minions.values()) < count:
        assert jobs_steps.get_time_s() < until_s, "not all of its tasks run"
        await asyncio.sleep(0.1)
    for minion in world.minions.values():
        minion.is_unresponsive = True
    await asyncio.sleep(seconds)
    for minion in world.minions.values():
        minion.is_unresponsive = False


@behave.when("the table refuses the progress of one job for {seconds:g} s beside {count:d} others")
@jobs_steps.paused
async def refuse_progress(context, seconds, count):
    table = context.world.table
    context.made = jobsite.job(LARGE_JOB, jobs_steps.parse_steps("2, 2 after 0"))
    key = jobs.progress_key("a", context.made.job)
    apply = table.apply

    def refuse(transaction):
        if any(write.key.startswith(key) for write in transaction.writes):
            raise exceptions.TableRefused("refused")
        return apply(transaction)

    table.apply = refuse
    await jobs_steps.submit(context, LARGE_JOB, context.made.steps, "e0")
    await submit_others(context, count)
    await asyncio.sleep(seconds)
    table.apply = apply


@behave.when("{count:d} running jobs change at once by {size:d} bytes each")
@jobs_steps.paused
async def change_many(context, count, size):
    await submit_others(context, count)
    await asyncio.sleep(0.5)
    registry = malformed_row_steps.get_holder(context).scheduler.registry
    for job in context.others:
        record = registry.records[job.job]
        record.progress.steps[0][0].checkpoints[1] = "x" * size
        registry.mark_dirty(record)


@behave.then("the table refused no transaction")
def check_refusals(context):
    assert not context.world.table.refused_transactions, context.world.table.refused_transactions


def make_histories():
    runs = strategies.integers(1, 2**40)
    workers = strategies.builds(
        jobs.UnresolvedRun,
        run=runs,
        worker=strategies.sampled_from(["w1", "w2", "i-0a1b2c3d"]),
        born_ms=strategies.integers(0, 2**53),
        host=strategies.sampled_from(["h1", "h2"]),
        is_alone=strategies.booleans(),
        is_early=strategies.booleans(),
    )
    return strategies.builds(
        jobs.CrashHistory,
        runs=strategies.lists(runs, max_size=3),
        alone=strategies.lists(runs, max_size=2),
        hosts=strategies.sets(strategies.sampled_from(["h1", "h2"])),
        is_suspect=strategies.booleans(),
        unresolved=strategies.lists(workers, max_size=4),
    )


@strategies.composite
def make_progress(draw):
    """Return a job of some occurrences and steps, with any progress of it."""
    counts = draw(strategies.lists(strategies.integers(1, 300), min_size=1, max_size=3))
    steps = tuple(jobs.Step(count=count) for count in counts)
    job = jobsite.job(1, steps, occurrences=draw(strategies.integers(1, 400)))
    progress = jobs.Progress(job=job.job)
    for occurrence in draw(
        strategies.sets(strategies.integers(0, job.occurrences - 1), max_size=4)
    ):
        progress.steps[occurrence] = []
        for count in counts:
            positions = strategies.integers(0, count - 1)
            done = draw(strategies.sets(positions, max_size=5))
            step = jobs.StepProgress(
                crashes=draw(strategies.dictionaries(positions, make_histories(), max_size=3)),
                failures=draw(
                    strategies.dictionaries(
                        positions,
                        strategies.lists(strategies.integers(1, 99), min_size=1),
                        max_size=3,
                    )
                ),
                checkpoints=draw(
                    strategies.dictionaries(positions, strategies.text(max_size=2_000), max_size=6)
                ),
            )
            for position in done:
                step.done = job_registry.set_bit(step.done, position)
            progress.steps[occurrence].append(step)
    numbers = strategies.integers(0, job.occurrences - 1)
    progress.finished = draw(strategies.sets(numbers)) - progress.steps.keys()
    return job, progress


def drop_empty(progress):
    """Return progress without the steps that have nothing to tell, which needn't be stored."""
    kept = copy.deepcopy(progress)
    empty = jobs.StepProgress()
    kept.steps = {
        number: steps
        for number, steps in kept.steps.items()
        if any(each != empty for each in steps)
    }
    return kept


def apply(table, job, changes):
    for change in changes:
        for name, value in change.make_writes(job.job):
            if value is None:
                table.pop(progressrows.parse_row_name(name.text), None)
            else:
                table[progressrows.parse_row_name(name.text)] = value


@behave.then("any progress is read back from its rows as it was, whatever their size")
def check_read_back(context):
    @hypothesis.seed(context.seed)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(make_progress(), strategies.integers(300, 70_000))
    def check(made, max_row_bytes):
        job, progress = made
        groups = progressrows.encode(job, progress, max_row_bytes)
        assert max(len(value) for group in groups for value in group.values) <= max_row_bytes
        most = max(len(group.values) for group in groups)
        assert most < jobtable.MAX_TRANSACTION_ENTRIES or max_row_bytes < writer.MIN_ROW_BYTES
        table, stored = {}, progressrows.StoredRows()
        apply(table, job, stored.list_changes(groups))
        assert progressrows.decode(table) == drop_empty(progress)
        assert progressrows.decode_state(table[progressrows.RowName(job.job)]) is progress.state

    check()


def list_done(progress):
    """Return the tasks that have ended, by occurrence, or whole occurrences that are over."""
    if progress is None:
        return set()
    done = {(number, None, None) for number in progress.finished}
    for number, steps in progress.steps.items():
        for index, step in enumerate(steps):
            done |= {
                (number, index, position)
                for position in range(len(step.done) * 8)
                if job_registry.is_bit_set(step.done, position)
            }
    return done


@behave.then("a reader of any part of the changes finds no end of a task undone")
def check_partial(context):
    @hypothesis.seed(context.seed)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(make_progress(), strategies.data(), strategies.integers(300, 70_000))
    def check(made, data, max_row_bytes):
        job, progress = made
        table, stored = {}, progressrows.StoredRows()
        for _ in range(3):
            before = list_done(progressrows.decode(table))
            changes = stored.list_changes(progressrows.encode(job, progress, max_row_bytes))
            count = data.draw(strategies.integers(0, len(changes)))
            apply(table, job, changes[:count])
            for change in changes[:count]:
                stored.confirm(change)
            decoded = progressrows.decode(table)
            after = list_done(decoded)
            lost = {end for end in before - after if (end[0], None, None) not in after}
            assert not lost, lost
            loaded = progressrows.StoredRows()
            head = table.get(progressrows.RowName(job.job))
            loaded.load(table, is_split=head is not None and progressrows.is_split(head))
            stored = data.draw(strategies.sampled_from([stored, loaded]))
            for number in data.draw(
                strategies.sets(strategies.sampled_from([*progress.steps, -1]))
            ):
                if progress.steps.pop(number, None) is not None:
                    progress.finished.add(number)
            for steps in progress.steps.values():
                steps[0].done = job_registry.set_bit(steps[0].done, 0)
                steps[0].checkpoints = {0: data.draw(strategies.sampled_from(["", "x" * 40_000]))}

    check()
