"""Submit jobs to entry processes while faults happen; rejected jobs must not run."""

import asyncio
import random

import behave
from nutmegshelf import fleetview

from features import rejected_submissions, submission_faults
from features.steps import platform_processes_steps

SLOW_S = (0.3, 0.6)
WORK_S = 0.05
PAGE_ROWS = 500
WORKERS = 8
ENTRIES = 3
RATE = 80
MAX_TRIES = 3
JUDGED_S = 15
Verdict = rejected_submissions.Verdict
# The jobs that a check concerns.
VERDICTS = {
    "tries were all": {Verdict.REJECTED},
    "last try was": {Verdict.REJECTED, Verdict.REJECTED_AFTER_UNKNOWN},
}


@behave.given(
    "the platform's stand-in with {workers:d} workers and {entries:d} entries as processes,"
    " each with its own link to the store"
)
def start_linked_processes(context, workers, entries):
    context.links = {}

    async def listen(name):
        link = context.links[name] = submission_faults.StoreLink(
            context.platform, random.Random(context.rng.random())
        )
        context.cleanup.append(link.server.close)
        return await link.server.start("127.0.0.1", 0)

    platform_processes_steps.start_processes(context, workers, entries, listen)


@behave.given("a store that is slow for jobs stored by their holder and refuses other jobs")
def slow_down_holder(context):
    rng = random.Random(context.rng.random())

    async def handle(data):
        if submission_faults.writes_jobs(data):
            if not submission_faults.depends_on_lease(data):
                return 503, {}
            await asyncio.sleep(rng.uniform(*SLOW_S))
        return context.platform.commit(data)

    context.platform.handle_transaction = handle


@behave.when("{rate:d} jobs a second are submitted over HTTP for {duration_s:d} s, once each")
def submit_once(context, rate, duration_s):
    context.run(submit_jobs(context, rate, duration_s, max_tries=1))


@behave.when(
    "{rate:d} jobs a second are submitted over HTTP for {duration_s:d} s, with up to"
    " {max_tries:d} tries each, while transactions and entries fail by chance"
)
def submit_during_faults(context, rate, duration_s, max_tries):
    rng = random.Random(context.rng.random())

    async def run():
        make_store_fail(context, rng, submission_faults.make_series(rng, duration_s))
        entry_faults = submission_faults.EntryFaults(context.world, context.processes, rng)
        async with asyncio.TaskGroup() as group:
            group.create_task(submit_jobs(context, rate, duration_s, max_tries))
            group.create_task(entry_faults.run(duration_s))

    context.run(run())


@behave.when(
    "{rate:d} jobs a second are submitted over HTTP for {duration_s:d} s, with up to"
    " {max_tries:d} tries each, by callers in a hurry while the store's answers are lost"
)
def submit_in_hurry(context, rate, duration_s, max_tries):
    rng = random.Random(context.rng.random())

    async def run():
        make_store_fail(context, rng, submission_faults.make_lost_answers(duration_s))
        await submit_jobs(context, rate, duration_s, max_tries, is_hurried=True)

    context.run(run())


@behave.when(
    "{rate:d} jobs a second are submitted over HTTP for {duration_s:d} s, with up to"
    " {max_tries:d} tries each, while the slow store fails for one entry at a time"
)
def submit_during_failures_of_entries(context, rate, duration_s, max_tries):
    rng = random.Random(context.rng.random())

    async def run():
        make_store_fail(context, rng, submission_faults.make_refusals(duration_s))
        async with asyncio.TaskGroup() as group:
            group.create_task(submit_jobs(context, rate, duration_s, max_tries))
            group.create_task(
                submission_faults.fail_for_entries(context.world, context.links, rng, duration_s)
            )

    context.run(run())


@behave.when(
    "{rate:d} jobs a second are submitted over HTTP for {duration_s:d} s, with up to"
    " {max_tries:d} tries each, by callers in a hurry while the service has no holder"
)
def submit_without_holder(context, rate, duration_s, max_tries):
    rng = random.Random(context.rng.random())

    async def run():
        make_store_fail(context, rng, submission_faults.make_refused_leases(duration_s))
        async with asyncio.TaskGroup() as group:
            group.create_task(submit_jobs(context, rate, duration_s, max_tries, is_hurried=True))
            await asyncio.sleep(submission_faults.QUIET_S)
            await submission_faults.restart_holder(context.world, context.processes)

    context.run(run())


def make_store_fail(context, rng, series):
    context.store_faults = submission_faults.FaultyStore(context.platform, rng, series)
    context.platform.handle_transaction = context.store_faults.handle


async def submit_jobs(context, rate, duration_s, max_tries, *, is_hurried=False):
    context.world.default_work = (WORK_S, fleetview.RunOutcome.DONE)
    context.platform.page_rows = PAGE_ROWS
    rng = random.Random(context.rng.random())
    load = rejected_submissions.Load(
        rng, context.world, context.processes, max_tries, is_hurried=is_hurried
    )
    await load.run(rate, duration_s)
    context.submissions = load.submissions


def find_broken(context, wait_s, which):
    """Return a description of the rejected jobs that ran, or an empty text."""
    context.run(asyncio.sleep(wait_s))
    started = {name.partition(".")[0] for name in context.world.starts}
    summary = rejected_submissions.summarize(context.submissions, started)
    print(f"seed {context.seed}: {summary}", flush=True)
    verdicts = {submission.verdict for submission in context.submissions}
    assert {Verdict.ACCEPTED} < verdicts, summary
    broken = [
        submission
        for submission in context.submissions
        if submission.verdict in VERDICTS[which] and submission.job in started
    ]
    if not broken:
        return ""
    store_lines = context.store_faults.lines_by_job if "store_faults" in context else {}
    explanation = rejected_submissions.explain(broken, context.processes, store_lines)
    return f"{len(broken)} rejected jobs ran; {summary}\n{explanation}"


@behave.then("within {wait_s:d} s no job runs whose {which} rejected")
def check_rejected(context, wait_s, which):
    description = find_broken(context, wait_s, which)
    assert not description, description


@behave.then("in {count:d} random loads of {duration_s:d} s no job runs whose {which} rejected")
def check_random_loads(context, count, duration_s, which):
    descriptions = []
    for number in range(count):
        context.rng = random.Random(f"{context.seed}:{which}:{number}")
        platform_processes_steps.start_processes(context, WORKERS, ENTRIES)
        submit_during_faults(context, RATE, duration_s, MAX_TRIES)
        descriptions.append(find_broken(context, JUDGED_S, which))
        while context.cleanup:
            context.run(context.cleanup.pop()())
    assert not any(descriptions), "\n\n".join(descriptions)
