"""Submit jobs to entry processes while the store fails; rejected jobs must not run."""

import asyncio
import random

import behave
from nutmegshelf import fleetview

from features import rejected_submissions

SLOW_S = (0.3, 0.6)
WORK_S = 0.05
PAGE_ROWS = 500


def writes_jobs(data):
    return any(write["table"] == "jobs" for write in data["setKeys"])


def depends_on_lease(data):
    return any(row["table"] == "leases" for row in data["expectedRevision"])


@behave.given("a store that is slow for jobs stored by their holder and refuses other jobs")
def slow_down_holder(context):
    rng = random.Random(context.rng.random())

    async def handle(data):
        if writes_jobs(data):
            if not depends_on_lease(data):
                return 503, {}
            await asyncio.sleep(rng.uniform(*SLOW_S))
        return context.platform.commit(data)

    context.platform.handle_transaction = handle


@behave.when("{rate:d} jobs a second are submitted over HTTP for {duration_s:d} s, once each")
def submit_jobs(context, rate, duration_s, max_tries=1):
    context.world.default_work = (WORK_S, fleetview.RunOutcome.DONE)
    context.platform.page_rows = PAGE_ROWS
    rng = random.Random(context.rng.random())
    load = rejected_submissions.Load(rng, context.world, context.processes, max_tries)
    context.run(load.run(rate, duration_s))
    context.submissions = load.submissions


def list_started_jobs(context):
    return {name.partition(".")[0] for name in context.world.starts}


@behave.then("within {seconds:d} s no job runs whose tries were all rejected")
def check_rejected(context, seconds):
    context.run(asyncio.sleep(seconds))
    started = list_started_jobs(context)
    summary = rejected_submissions.summarize(context.submissions, started)
    print(f"seed {context.seed}: {summary}")
    verdicts = {submission.verdict for submission in context.submissions}
    assert {rejected_submissions.Verdict.ACCEPTED} < verdicts, summary
    broken = [
        submission
        for submission in context.submissions
        if submission.verdict is rejected_submissions.Verdict.REJECTED and submission.job in started
    ]
    explanation = broken and rejected_submissions.explain(broken, context.processes)
    assert not broken, f"{len(broken)} rejected jobs ran; {summary}\n{explanation}"
