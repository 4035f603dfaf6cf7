"""Steps that have an entry report the submissions that are in doubt."""

import asyncio
import collections

import behave
from nutmegshelf import calls, doubt_coverage, exceptions, submissions
from nutmegshelf_entry import doubt_reports, doubt_watch

from features import jobsite
from features.steps import jobs_steps

CALL_S = 0.004
# More than any report takes.
MAX_WAIT_S = 1.0
# When the calls of a first report are under way, after the time in which jobs are collected.
UNDER_WAY_S = 0.022


class Others:
    """The other entries, which record what they are told of."""

    def __init__(self, count):
        self.addresses = [f"e{number}:3" for number in range(count)]
        self.silent = set()
        self.calls = collections.Counter()
        self.confirmed = collections.defaultdict(set)

    async def call(self, address, call, timeout_s):
        self.calls[address] += 1
        if address in self.silent:
            await asyncio.sleep(timeout_s)
            self.confirmed[address].update(call.jobs)
            raise exceptions.PeerAnswerLost(address)
        # The first one answers last.
        await asyncio.sleep(2 * CALL_S if address == self.addresses[0] else CALL_S)
        self.confirmed[address].update(call.jobs)


@behave.given("an entry that reports its doubts to {count:d} others")
@behave.given("an entry that reports its doubts to {count:d} others, one of which doesn't {answer}")
@jobs_steps.paused
async def make_reporter(context, count, answer=None):
    context.others = Others(count)
    if answer is not None:
        context.others.silent.add(context.others.addresses[0])
    context.reporter = doubt_reports.DoubtReporter(context.others, lambda: context.others.addresses)
    context.jobs, context.took_s, context.told = [], [], []


async def report(context, service="a"):
    job = jobsite.job(len(context.jobs), (), queue=jobsite.queue(service=service))
    context.jobs.append(job.job)
    began_s = jobs_steps.get_time_s()
    await context.reporter.wait(job, context.reporter.add(job), MAX_WAIT_S)
    context.took_s.append(jobs_steps.get_time_s() - began_s)
    told = [job.job in context.others.confirmed[address] for address in context.others.addresses]
    context.told.append(all(told))


@behave.when("{count:d} jobs of {services:d} services are in doubt at once")
@jobs_steps.paused
async def report_at_once(context, count, services):
    await asyncio.gather(*(report(context, f"s{number % services}") for number in range(count)))


@behave.when("{count:d} jobs are in doubt, one after the other")
@jobs_steps.paused
async def report_in_turn(context, count):
    for _ in range(count):
        await report(context)


@behave.when(
    "the entry answers again, and {delay_s:g} s later {count:d} jobs are in doubt,"
    " {gap_s:g} s apart"
)
@jobs_steps.paused
async def report_after_return(context, delay_s, count, gap_s):
    await asyncio.sleep(delay_s)
    context.others.silent.clear()
    for _ in range(count):
        await report(context)
        await asyncio.sleep(gap_s)


@behave.when("a job is in doubt while the report of another one is under way")
@jobs_steps.paused
async def report_beside(context):
    first = asyncio.ensure_future(report(context))
    await asyncio.sleep(UNDER_WAY_S)
    assert context.others.calls, "the first report isn't under way"
    await asyncio.gather(first, report(context))


@behave.then("each other entry gets {count:d} call, with all the jobs")
@behave.then("each other entry got {count:d} calls, with all the jobs")
@jobs_steps.paused
async def check_calls(context, count):
    # A report doesn't wait for an entry that didn't answer the one before.
    await asyncio.sleep(MAX_WAIT_S)
    expected = dict.fromkeys(context.others.addresses, count)
    assert context.others.calls == expected, context.others.calls
    confirmed = context.others.confirmed.values()
    assert all(jobs == set(context.jobs) for jobs in confirmed), context.others.confirmed


@behave.then("no report took more than {limit_s:g} s")
def check_fast(context, limit_s):
    assert max(context.took_s) <= limit_s, context.took_s


@behave.then("only the first report took more than {limit_s:g} s")
def check_first_slow(context, limit_s):
    slow = [took_s > limit_s for took_s in context.took_s]
    assert slow == [True] + [False] * (len(slow) - 1), context.took_s


@behave.then("the last report ended after all entries had confirmed it")
def check_last_told(context):
    assert context.told[-1], context.told


@behave.then("each report ended after all entries had confirmed its job")
def check_all_told(context):
    assert all(context.told), context.told


class Listing:
    """The other entries, which have no doubts to list."""

    def __init__(self):
        self.calls = 0

    async def call(self, address, call, timeout_s):
        self.calls += 1
        await asyncio.sleep(CALL_S + call.wait_s)
        return calls.Reply(status=calls.Status.DONE)


@behave.given("an entry that follows the doubts of {count:d} others")
@jobs_steps.paused
async def make_watch(context, count):
    addresses = [f"e{number}:3" for number in range(count)]
    context.listing, ledger = Listing(), submissions.Ledger(max_jobs=10)
    context.watch = doubt_watch.DoubtWatch(context.listing, lambda: addresses, ledger)
    context.watch.coverage.record_predecessor(False)


async def refresh(context, has_holder):
    began_s = jobs_steps.get_time_s()
    gaps = await context.watch.refresh(are_submitters_known=False, has_holder=has_holder)
    context.gaps.append(gaps)
    context.took_s.append(jobs_steps.get_time_s() - began_s)


@behave.when("it rejects {rate:d} jobs a second for {seconds:d} s, {holder} holder")
@jobs_steps.paused
async def reject_regularly(context, rate, seconds, holder):
    running = asyncio.ensure_future(context.watch.run())
    context.gaps, context.took_s = [], []
    await refresh(context, holder == "with a")
    context.listing.calls = 0
    context.seconds = seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(rate * seconds):
            await asyncio.sleep(1 / rate)
            group.create_task(refresh(context, holder == "with a"))
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


@behave.then("it made at most {most:d} calls a second after the first lists")
def check_call_rate(context, most):
    rate = context.listing.calls / context.seconds
    assert rate <= most, rate


@behave.then("it knew all doubts at each rejection")
def check_no_gaps(context):
    assert not any(context.gaps), context.gaps


@behave.given("it could not read the table's rows since its start {age_s:d} s ago")
@jobs_steps.paused
async def start_without_rows(context, age_s):
    context.watch.coverage = doubt_coverage.DoubtCoverage(jobs_steps.get_time_s() - age_s)


@behave.then("it didn't know all doubts at any rejection")
def check_gaps(context):
    assert all(context.gaps), context.gaps
