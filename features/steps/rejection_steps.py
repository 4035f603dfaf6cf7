"""Steps that reject submissions, truly or not, and count the jobs that run after it."""

import asyncio
import contextlib
import json
import time
import unittest.mock

import behave
from nutmegshelf import calls, exceptions, jobs, notes, registry, rejections
from nutmegshelf_entry import (
    histograms,
    job_codec,
    job_handler,
    job_metrics,
    rejection_reports,
)

from features import jobsite
from features.steps import explaining_steps, jobs_steps

UNIX_S = 1_700_000_000
STEP = {"count": 1, "cpu_millis": 1000, "estimate_ms": 500}
BODY = json.dumps({"spec": "s", "steps": [STEP]}).encode()
# When the table answers and a callback blocks the event loop past the holder's limit of 0.7 s.
ANSWER_S = 0.69
BLOCKED_FROM_S = 0.65
BLOCKED_FOR_S = 0.08


class Submission:
    """A submission without a socket, which records the status of its response."""

    method = "POST"
    is_over_limit = False

    def __init__(self, job):
        self.target = f"/q/{job}"
        self.connection = self
        self.status = None

    def get_header(self, name):
        return b"x" if name == b"host" else None

    async def read_body(self, max_bytes):
        return BODY

    async def respond(self, status, headers, body):
        self.status = status


def use_paused_wall_clock(context):
    if not hasattr(context, "wall_clock"):
        loop = context.paused.get_loop()
        context.wall_clock = unittest.mock.patch("time.time", lambda: UNIX_S + loop.time())
        context.wall_clock.start()
        context.add_cleanup(context.wall_clock.stop)


def is_submission(transaction):
    """Return whether a transaction stores a job without its holder, as it adds a notice."""
    return any(
        write.key.startswith(f"{jobs.INBOX}/") and write.value is not None
        for write in transaction.writes
    )


def turn_away(held):
    handle_call = held.handle_call

    async def handle_other_calls(call):
        if isinstance(call, calls.SubmitJob):
            return calls.Reply(status=calls.Status.NOT_STORED)
        return await handle_call(call)

    held.handle_call = handle_other_calls


def refuse_submissions(view, store=lambda transaction: None):
    """Have the table refuse submissions made without the holder, after it called `store`."""
    commit = view.commit

    async def refuse_or_commit(transaction):
        if is_submission(transaction):
            store(transaction)
            raise exceptions.TableUnavailable("503")
        return await commit(transaction)

    view.commit = refuse_or_commit


@behave.given("the holder turns submissions away")
def turn_submissions_away(context):
    service, _ = context.site.entries[context.site.holder_of("a")]
    turn_away(service.lease_manager.get_holder("a"))


@behave.given("the table refuses them")
@behave.given("the table refuses to store jobs without their holder")
def refuse(context):
    for view in context.site.views.values():
        refuse_submissions(view)


@behave.given("the table says that it refuses them and stores them")
def refuse_and_store(context):
    for view in context.site.views.values():
        refuse_submissions(view, context.world.table.apply)


@behave.given("the table says that it refuses them and stores them {seconds:g} s later")
def refuse_and_store_late(context, seconds):
    table, loop = context.world.table, context.paused.get_loop()
    for view in context.site.views.values():
        refuse_submissions(
            view, lambda transaction: loop.call_later(seconds, table.apply, transaction)
        )


@behave.given("the table stores them without an answer")
def lose_answers(context):
    for view in context.site.views.values():
        view.lost_answers, view.is_unanswered = 1, is_submission


@behave.then("no rejection is kept")
def check_none_kept(context):
    kept = [len(service.rejection_reporter) for service, _ in context.site.entries.values()]
    assert not any(kept), kept


@behave.when("the table and the holder take submissions again")
def take_again(context):
    service, _ = context.site.entries[context.site.holder_of("a")]
    del service.lease_manager.get_holder("a").handle_call
    for view in context.site.views.values():
        del view.commit


@behave.given(
    "the table answers just before the holder's time limit, both in one turn of the event loop"
)
def answer_in_turn_of_limit(context):
    name = context.site.holder_of("a")
    view, commit = context.site.views[name], context.site.views[name].commit

    async def commit_until_limit(transaction):
        loop = asyncio.get_running_loop()
        answer_s = context.submitted_s + ANSWER_S if hasattr(context, "submitted_s") else 0.0
        stores_job = any(write.key.startswith(f"{jobs.JOBS}/") for write in transaction.writes)
        committed = await commit(transaction)
        if stores_job and not is_submission(transaction):
            await asyncio.sleep(answer_s - loop.time())
        return committed

    view.commit = commit_until_limit


@behave.when("job {number:d} is submitted at another entry")
@jobs_steps.paused
async def submit_elsewhere(context, number):
    holder = context.site.holder_of("a")
    await submit(context, number, next(name for name in context.site.entries if name != holder))


@behave.when("job {number:d} is submitted at another entry after {seconds:g} s")
@jobs_steps.paused
async def submit_elsewhere_after(context, number, seconds):
    await asyncio.sleep(seconds)
    holder = context.site.holder_of("a")
    await submit(context, number, next(name for name in context.site.entries if name != holder))


@behave.when("job {number:d} is submitted at the holder")
@jobs_steps.paused
async def submit_at_holder(context, number):
    loop = asyncio.get_running_loop()
    context.submitted_s = loop.time()
    selector = loop._simulated_selector

    def block():
        selector.now_s += BLOCKED_FOR_S

    loop.call_later(BLOCKED_FROM_S, block)
    await submit(context, number, context.site.holder_of("a"))


async def submit(context, number, entry):
    use_paused_wall_clock(context)
    context.entry = entry
    context.made = jobsite.job(number, jobs_steps.parse_steps("1"))
    context.world.jobs[context.made.job] = context.made
    service, _ = context.site.entries[entry]
    metrics = job_metrics.JobMetrics(histograms.Histograms())
    handler = job_handler.JobHandler(
        service.active_queues, job_codec.JobCodec(), service.job_router, metrics
    )
    handler.on_rejected = service.rejection_reporter.add
    exchange = Submission(context.made.job)
    await handler.handle(exchange)
    context.statuses = [*getattr(context, "statuses", []), exchange.status]


@behave.when("the holder is killed after {seconds:g} s")
@jobs_steps.paused
async def kill_after(context, seconds):
    await asyncio.sleep(seconds)
    await context.site.kill(context.site.holder_of("a"))


@behave.then("the responses are {statuses}")
def check_statuses(context, statuses):
    assert context.statuses == [int(status) for status in statuses.split(",")], context.statuses


def count_jobs(context):
    return sum(
        service.count_events().get("a", {}).get(rejections.REJECTED_JOB_RUNS, 0)
        for service, _ in context.site.entries.values()
    )


async def check_count_within(context, seconds, count):
    async def check():
        return count_jobs(context) == count or count_jobs(context)

    await jobs_steps.wait_until(seconds, check, "jobs that ran after their rejection")


@behave.then("within {seconds:g} s {count:d} job counts as run after its rejection")
@jobs_steps.paused
async def check_counted(context, seconds, count):
    await check_count_within(context, seconds, count)


@behave.then("{seconds:g} s later {count:d} job counts as run after its rejection")
@behave.then("{seconds:g} s later {count:d} jobs count as run after their rejection")
@jobs_steps.paused
async def check_still_counted(context, seconds, count):
    await asyncio.sleep(seconds)
    assert count_jobs(context) == count, count_jobs(context)


@behave.then("within {seconds:g} s as many jobs count as ran after their rejection")
@jobs_steps.paused
async def check_all_counted(context, seconds):
    await asyncio.sleep(seconds)
    ran = any(key.startswith(context.made.job) for key in context.world.starts)
    (status,) = context.statuses
    assert count_jobs(context) == (ran and status in (429, 503)), (count_jobs(context), ran, status)


@behave.then("every holder knows of its rejections")
def check_reported(context):
    service, _ = context.site.entries[context.entry]
    reported = [kept.reported_epoch for kept in service.rejection_reporter._kept]
    assert reported and None not in reported, reported


@behave.then("a warning names the job, the entry, the stored try and the rejection")
def check_warning(context):
    lines = [
        line
        for line in explaining_steps.get_lines(context)
        if line["event"] == rejections.REJECTED_JOB_RUNS
    ]
    assert len(lines) == 1, lines
    (line,) = lines
    expected = {
        "part": "holder",
        "level": "warning",
        "job": context.made.job,
        "queue": "q",
        "pool": "a",
        "entry": context.entry,
        "same_try": True,
    }
    assert {field: line.get(field) for field in expected} == expected, line
    assert UNIX_S * 1000 < line["stored_try_ms"] <= line["rejected_ms"], line


# --- the tracker and the reporter alone


def make_tracker(context):
    context.notes = notes.Notes()
    context.registry = registry.JobRegistry(1)
    context.tracker = rejections.RejectionTracker(context.registry, context.notes)


def report(context, made, entry="e0", received_ms=10_000, rejected_ms=10_700, now_s=1.0):
    rejection = calls.Rejection(
        job=made.job,
        queue=made.queue.name,
        received_ms=received_ms,
        rejected_ms=rejected_ms,
    )
    call = calls.ReportRejections(service="a", entry=entry, rejections=(rejection,))
    context.tracker.report(call, now_s)


def add_job(context):
    context.registry.add(context.made, None, 1.0, 0, may_run=False)
    context.tracker.check_added(context.made.job)


@behave.given("a job whose stored try arrived at {stored_ms:d} ms")
def make_job(context, stored_ms):
    make_tracker(context)
    context.made = jobsite.job(1, jobs_steps.parse_steps("1"), accepted_ms=stored_ms)


@behave.when(
    "its try that arrived at {received_ms:d} ms is reported as rejected at {rejected_ms:d} ms,"
    " {order} it is stored"
)
def report_rejection(context, received_ms, rejected_ms, order):
    times = {"received_ms": received_ms, "rejected_ms": rejected_ms}
    if order == "after":
        add_job(context)
        report(context, context.made, **times)
    else:
        report(context, context.made, **times)
        add_job(context)


@behave.when(
    "{entries:d} entries report rejections of it, each twice, before and after it is stored"
)
def report_often(context, entries):
    for _ in range(2):
        for number in range(entries):
            report(context, context.made, f"e{number}")
    add_job(context)
    for number in range(entries):
        report(context, context.made, f"e{number}", received_ms=13_000, rejected_ms=13_700)


@behave.then("{count:d} jobs count at that holder")
def check_notes(context, count):
    events = [note.event for note in context.notes.take()]
    assert events == [rejections.REJECTED_JOB_RUNS] * count, events


@behave.given("a holder without jobs")
def make_empty_holder(context):
    make_tracker(context)


@behave.when("the rejections of {count:d} jobs are reported, and {tries:d} of one more")
def report_many(context, count, tries):
    for number in range(count):
        report(context, jobsite.job(number, ()))
    for number in range(tries):
        report(context, jobsite.job(count, ()), rejected_ms=11_000 + number)


@behave.when("{seconds:g} s later the rejection of one more job is reported")
def report_later(context, seconds):
    report(context, jobsite.job(0, ()), now_s=1.0 + seconds)


@behave.then("it keeps at most {count:d} jobs and {tries:d} rejections of each")
def check_tracker_size(context, count, tries):
    assert 0 < len(context.tracker) <= count, len(context.tracker)
    most = max(len(rejected.tries) for rejected in context.tracker._unknown.values())
    assert most <= tries, most


@behave.given("an entry whose calls no holder answers")
@jobs_steps.paused
async def make_reporter(context):
    context.calls = []

    async def give_no_answer(call, timeout_s):
        context.calls.append(call)

    context.reporter = rejection_reports.RejectionReporter("e0", give_no_answer, lambda service: 1)


@behave.given("its log lines are captured")
def capture_reporter_logs(context):
    explaining_steps.capture_logs(context)


@behave.when("{count:d} jobs are rejected there")
@jobs_steps.paused
async def reject_many(context, count):
    for number in range(count):
        context.reporter.add(jobsite.job(number, ()))


@behave.then("it keeps at most {count:d} rejections")
def check_reporter_size(context, count):
    assert 0 < len(context.reporter) <= count, len(context.reporter)


@behave.then(
    "after {seconds:g} s it keeps none, made at most {most:d} calls, and its log lines count"
    " {count:d}"
)
@jobs_steps.paused
async def check_dropped(context, seconds, most, count):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await context.reporter.run()
    assert len(context.reporter) == 0, len(context.reporter)
    assert 0 < len(context.calls) <= most, len(context.calls)
    lines = [line for line in explaining_steps.get_lines(context) if line["part"] == "rejections"]
    assert sum(line["count"] for line in lines) == count, lines


# --- over sockets


@behave.given("the holder and the table turn submissions away, but the table stores them")
def turn_away_over_sockets(context):
    name, held = context.served.holder()
    turn_away(held)
    # The next request goes to another entry, which reports its rejection over a socket.
    names = list(context.served.tasks)
    context.request_count = names.index(name) + 1
    for view in context.served.site.views.values():
        refuse_submissions(view, context.served.world.table.apply)


async def render_metrics(context):
    return [
        line
        for name in context.served.tasks
        for line in context.served.daemons[name][1]._metrics.render().decode().splitlines()
    ]


@behave.then("within {seconds:g} s the metrics show {count:d} job that runs after its rejection")
def check_metrics(context, seconds, count):
    labels = (f'event="{rejections.REJECTED_JOB_RUNS}"', 'pool="a"')
    until_s = time.monotonic() + seconds
    while True:
        lines = [
            line
            for line in context.served.run(render_metrics(context))
            if line.startswith("nutmegshelf_job_events_total") and all(e in line for e in labels)
        ]
        if [float(line.split()[-1]) for line in lines] == [count]:
            return
        assert time.monotonic() < until_s, lines
        time.sleep(0.05)
