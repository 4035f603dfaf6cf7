"""Steps that run submissions through orders of events."""

import asyncio
import collections
import json
import types

import behave
from nutmegshelf import calls, exceptions, fleetview, jobs, leases, queues, submissions
from nutmegshelf_entry import job_codec, job_handler, job_metrics, job_service
from nutmegshelf_standins import clock

from features import jobsite, jobworld, submission_orders
from features.steps import explaining_steps, jobs_steps

# The fake table's log grows with each order, so that a site serves only so many.
ORDERS_PER_SITE = 40
START_S = 6.0
BODY = json.dumps(
    {"spec": "s", "steps": [{"count": 1, "cpu_millis": 1000, "estimate_ms": 500}]}
).encode()
# The holder answers after 0.7 s.
TIMEOUT_MS = 1_000
LATE_WRITE_S = 1.0
SLOW_WRITE_S = 0.5


def run(context, orders, gap_turns, entries, caller_limit_s=None):
    for start in range(0, len(orders), ORDERS_PER_SITE):
        batch = orders[start : start + ORDERS_PER_SITE]
        context.contradictions += [
            f"{gap_turns} turns apart: {contradiction}"
            for contradiction in clock.run(
                submission_orders.run_orders(batch, gap_turns, entries, caller_limit_s)
            )
        ]


@behave.when(
    "a submission meets all orders of {length:d} events, "
    "{low:d} to {high:d} turns of the loop apart"
)
def run_all(context, length, low, high):
    context.contradictions = []
    for gap_turns in range(low, high + 1):
        run(context, submission_orders.list_orders(length), gap_turns, entries=1)


@behave.when(
    "a submission at {entries:d} entries meets {count:d} random orders of {length:d} events, "
    "{low:d} to {high:d} turns of the loop apart"
)
def run_random(context, entries, count, length, low, high):
    context.contradictions = []
    gaps = range(low, high + 1)
    for gap_turns in gaps:
        orders = submission_orders.draw_orders(context.rng, count // len(gaps), length)
        run(context, orders, gap_turns, entries)


@behave.when(
    "a submission whose caller's time limit ends with the holder's meets all orders of "
    "{length:d} events, {low:d} to {high:d} turns of the loop apart"
)
def run_all_with_limit(context, length, low, high):
    context.contradictions = []
    for gap_turns in range(low, high + 1):
        orders = submission_orders.list_orders(length)
        run(context, orders, gap_turns, 1, submission_orders.ACCEPT_LIMIT_S)


@behave.when(
    "a submission at {entries:d} entries whose callers' time limits end with the holder's meets "
    "{count:d} random orders of {length:d} events, {low:d} to {high:d} turns of the loop apart"
)
def run_random_with_limit(context, entries, count, length, low, high):
    context.contradictions = []
    gaps = range(low, high + 1)
    for gap_turns in gaps:
        orders = submission_orders.draw_orders(context.rng, count // len(gaps), length)
        run(context, orders, gap_turns, entries, submission_orders.ACCEPT_LIMIT_S)


@behave.then("no caller's answer is contradicted")
def check_answers(context):
    assert not context.contradictions, "\n".join(context.contradictions)


def make_job(context):
    context.made = jobsite.job(1, submission_orders.STEPS)
    context.world.jobs[context.made.job] = context.made
    return context.made


def stores_job(transaction, job):
    key = jobs.job_key("a", job.job)
    return any(condition.key == key for condition in transaction.conditions)


def has_lease(transaction):
    return any(condition.key == leases.key("a") for condition in transaction.conditions)


def replace_commit(view, job, respond):
    """Have a function respond to the transactions that store a job; the others are unchanged."""
    commit = view.commit

    async def choose(transaction):
        if stores_job(transaction, job):
            return await respond(transaction)
        return await commit(transaction)

    view.commit = choose


async def refuse_scan(prefix):
    raise exceptions.TableUnavailable(prefix)


def refuse_jobs(view):
    """Have the table turn away all transactions that store a job."""
    commit, prefix = view.commit, jobs.job_key("a", "")

    async def choose(transaction):
        if any(condition.key.startswith(prefix) for condition in transaction.conditions):
            raise exceptions.TableUnavailable("503")
        return await commit(transaction)

    view.commit = choose


async def power_off(site, name):
    """End an entry so that its open submissions report nothing any more."""
    service, _ = site.entries[name]
    service.job_router._doubt_reporter._list_addresses = list
    await site.kill(name)


async def turn_away(transaction):
    raise exceptions.TableUnavailable("503")


async def submit(context, name):
    service, _ = context.site.entries[name]
    try:
        await service.job_router.submit(context.made)
    except exceptions.RequestError as error:
        return error
    return None


@behave.when(
    "a job's write by the {gone} of its first try is carried out {delay_s:d} s "
    "after that entry's end"
)
@jobs_steps.paused
async def end_first_entry(context, gone, delay_s):
    job, site = make_job(context), context.site
    holder = site.holder_of("a")
    others = [name for name in site.entries if name != holder]
    first = holder if gone == "holder" else others[0]
    sent = asyncio.Event()

    async def lose(transaction):
        if has_lease(transaction) and gone != "holder":
            raise exceptions.TableUnavailable("503")
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, site.world.table.apply, transaction)
        sent.set()
        await asyncio.sleep(submission_orders.WATCH_S)

    for view in site.views.values():
        replace_commit(view, job, turn_away)
    replace_commit(site.views[first], job, lose)
    if gone != "holder":
        replace_commit(site.views[holder], job, lose)
    attempt = asyncio.ensure_future(submit(context, first))
    await sent.wait()
    await power_off(site, first)
    attempt.cancel()
    await asyncio.gather(attempt, return_exceptions=True)
    if gone == "restarted entry":
        site.start(first)
        await asyncio.sleep(0.1)
    context.retry_at = next(name for name in others if name != first)


@behave.when(
    "a job is submitted at {place}, whose holder stores it but answers after the time limit"
)
@jobs_steps.paused
async def answer_late(context, place):
    job, site = make_job(context), context.site
    name = site.holder_of("a")
    holder = site.entries[name][0].lease_manager.get_holder("a")
    handle_call = holder.handle_call
    submissions_begun = []

    async def answer(call):
        if not isinstance(call, calls.SubmitJob):
            return await handle_call(call)
        submissions_begun.append(asyncio.ensure_future(handle_call(call)))
        await asyncio.sleep(submission_orders.WATCH_S)
        return await submissions_begun[-1]

    async def refuse_others(transaction):
        if not has_lease(transaction):
            raise exceptions.TableUnavailable("503")
        return await commit(transaction)

    holder.handle_call = answer
    commit = site.views[name].commit
    replace_commit(site.views[name], job, refuse_others)
    for other in site.entries.keys() - {name}:
        replace_commit(site.views[other], job, turn_away)
    place_name = name if place == "the holder" else next(e for e in site.entries if e != name)
    context.error = await submit(context, place_name)
    assert len(submissions_begun) == 1, submissions_begun


@behave.when("a job is stored, and submitted again at an entry that reaches nothing any more")
@jobs_steps.paused
async def submit_cut_off(context):
    make_job(context)
    site = context.site
    name = next(name for name in site.entries if name != site.holder_of("a"))
    assert await submit(context, name) is None
    deliver = site.net.call

    async def refuse_connection(address, call, timeout_s):
        if isinstance(call, calls.SubmitJob):
            raise exceptions.PeerUnreachable("cut")
        return await deliver(address, call, timeout_s)

    site.net.call = refuse_connection
    site.views[name].is_unavailable = True
    context.error = await submit(context, name)


@behave.when(
    "a job's first try reaches no holder, "
    "and the entry's own write is carried out {delay_s:d} s late"
)
@jobs_steps.paused
async def cut_first_entry(context, delay_s):
    job, site = make_job(context), context.site
    first, context.retry_at = (name for name in site.entries if name != site.holder_of("a"))
    deliver = site.net.call

    async def lose_submission(address, call, timeout_s):
        if isinstance(call, calls.SubmitJob) and call.submitter.address == f"{first}:3":
            raise exceptions.PeerAnswerLost("cut")
        return await deliver(address, call, timeout_s)

    async def lose(transaction):
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, site.world.table.apply, transaction)
        raise exceptions.TableAnswerLost("no answer")

    site.net.call = lose_submission
    for view in site.views.values():
        replace_commit(view, job, turn_away)
    replace_commit(site.views[first], job, lose)
    error = await submit(context, first)
    assert error.outcome is exceptions.Outcome.UNKNOWN, error.kind


@behave.when(
    "a job waits at its holder, and a try at an entry that can't reach the holder stores it"
)
@jobs_steps.paused
async def store_beside_holder(context):
    job, site = make_job(context), context.site
    holder = site.holder_of("a")
    cut_off, other = (name for name in site.entries if name != holder)
    deliver = site.net.call

    async def refuse_connection(address, call, timeout_s):
        if isinstance(call, calls.SubmitJob) and call.submitter.address == f"{cut_off}:3":
            raise exceptions.PeerUnreachable("cut")
        return await deliver(address, call, timeout_s)

    site.net.call = refuse_connection
    for name in (holder, other):
        replace_commit(site.views[name], job, turn_away)
    waiting = asyncio.ensure_future(submit(context, other))
    await asyncio.sleep(0.1)
    assert await submit(context, cut_off) is None
    context.error = await waiting


@behave.when("the job is submitted again at another entry, which the table turns away")
@jobs_steps.paused
async def retry(context):
    context.error = await submit(context, context.retry_at)


@behave.then("the caller is told that the job may run")
def check_told_unknown(context):
    assert context.error is not None, "accepted"
    assert context.error.outcome is exceptions.Outcome.UNKNOWN, context.error.kind


@behave.then("the job runs")
@jobs_steps.paused
async def check_runs(context):
    async def has_run():
        return context.world.starts[f"{context.made.job}.0.0.0"] > 0

    await jobs_steps.wait_until(15, has_run, "started")


async def leave_in_doubt(context):
    async def lose(transaction):
        raise exceptions.TableAnswerLost("no answer")

    job = make_job(context)
    context.respond = lose
    view = context.site.views["e0"]

    async def respond(transaction):
        return await context.respond(transaction)

    replace_commit(view, job, respond)
    context.error = await submit(context, "e0")
    assert context.error.outcome is exceptions.Outcome.UNKNOWN, context.error.kind


@behave.when("a job's submission gets no answer, and the table refuses the next one as too large")
@jobs_steps.paused
async def refuse_after_doubt(context):
    async def refuse(transaction):
        raise exceptions.TableRefused("413")

    await leave_in_doubt(context)
    context.respond = refuse
    context.error = await submit(context, "e0")


@behave.when("a job's submission is refused by the table with {status}")
@jobs_steps.paused
async def refuse_submission(context, status):
    errors = {"503": exceptions.TableUnavailable, "413": exceptions.TableRefused}
    context.accepts = False

    async def respond(transaction):
        if context.accepts and has_lease(transaction):
            return await commit(transaction)
        raise errors[status](status)

    job, view = make_job(context), context.site.views["e0"]
    commit = view.commit
    replace_commit(view, job, respond)
    context.error = await submit(context, "e0")


@behave.when("a job is submitted after the table has been silent for {seconds:g} s")
@jobs_steps.paused
async def submit_in_outage(context, seconds):
    make_job(context)
    context.site.views["e0"].is_partitioned = True
    await asyncio.sleep(seconds)
    context.error = await submit(context, "e0")


@behave.then("the caller is told {kind}, and that the job never runs")
def check_told_not_run(context, kind):
    assert context.error.kind.value == kind, context.error.kind
    assert context.error.outcome is exceptions.Outcome.NOT_RUN, context.error.outcome


@behave.when("the holder's transactions are carried out again, and the job is submitted once more")
@jobs_steps.paused
async def submit_after_refusal(context):
    context.accepts = True
    await asyncio.sleep(0.5)
    context.error = await submit(context, "e0")


@behave.then("the caller is told that the job is stored")
@behave.then("the waiting caller is told that the job is stored")
def check_told_stored(context):
    assert context.error is None, context.error.kind


@behave.when("the holder's entry was {events}")
@jobs_steps.paused
async def lose_holder(context, events):
    service, _ = context.site.entries["e0"]
    manager, version, is_gone = service.lease_manager, 1, True

    async def call(address, call, timeout_s):
        if is_gone:
            raise exceptions.PeerUnreachable(address)
        return calls.Reply(status=calls.Status.UNKNOWN_JOB)

    context.site.net.call = call
    manager.get_holder = lambda pool: None
    manager.get_holder_address = lambda pool: "h:3"
    manager.get_lease_version = lambda pool: version
    context.asks, context.made = "asks for its state", jobsite.job(1, ())
    for event in events.split(", "):
        if event == "asked for 6 s":
            for _ in range(7):
                await asyncio.sleep(1)
                context.kind = await ask(context)
        elif event == "left alone for 6 s":
            await asyncio.sleep(6)
        elif event == "replaced":
            version += 1
        else:
            is_gone = event == "gone"
            context.kind = await ask(context)


@behave.then("a job that is not in the table is {kind}")
def check_kind(context, kind):
    assert context.kind.value == kind, context.kind


async def call_holder(context, job):
    service, _ = context.site.entries["e0"]
    call = calls.SubmitJob(
        service="a", queue="q", job=job, submitter=calls.Submitter("elsewhere:3", "x")
    )
    return (await service.lease_manager.get_holder("a").handle_call(call)).status.value


@behave.when(
    "{count:d} callers leave while their jobs wait at a holder whose table turns them away"
)
@jobs_steps.paused
async def leave_holder(context, count):
    async def refuse_jobs(transaction):
        if any(write.key.startswith(f"{jobs.JOBS}/") for write in transaction.writes):
            raise exceptions.TableUnavailable("503")
        return await commit(transaction)

    view = context.site.views["e0"]
    commit, view.commit = view.commit, refuse_jobs
    waiting = [
        asyncio.ensure_future(call_holder(context, jobsite.job(number, submission_orders.STEPS)))
        for number in range(count)
    ]
    await asyncio.sleep(0.1)
    for call in waiting:
        call.cancel()
    outcomes = await asyncio.gather(*waiting, return_exceptions=True)
    assert all(isinstance(outcome, asyncio.CancelledError) for outcome in outcomes), outcomes


@behave.then("the holder keeps none of these jobs")
def check_none_kept(context):
    holder = context.site.entries["e0"][0].lease_manager.get_holder("a")
    kept = len(holder.writer._pending), len(holder._arrived_s)
    assert kept == (0, 0), kept


@behave.when("a job is sent by its holder, which then {state}")
@jobs_steps.paused
async def stall_holder(context, state):
    job, view = make_job(context), context.site.views["e0"]
    if state == "is stalled":
        view.silent_partitions.add("a")
        silent_s = 1.5
    else:
        view.is_partitioned = True
        silent_s = job_service.MAX_LEASE_AGE_S + 0.2
    waiting = asyncio.ensure_future(call_holder(context, job))
    await asyncio.sleep(silent_s)
    assert await waiting == "unsettled"


@behave.then("the holder says that the job is {sent}, and of another one that it is {other}")
@jobs_steps.paused
async def check_holder_says(context, sent, other):
    told = [
        await call_holder(context, job)
        for job in (context.made, jobsite.job(2, submission_orders.STEPS))
    ]
    assert told == [sent, other], told


async def ask(context, name="e0"):
    router = context.site.entries[name][0].job_router
    call = router.cancel if context.asks == "cancels the job" else router.get_state
    try:
        await call(context.made.queue, context.made.job)
    except exceptions.RequestError as error:
        return error.kind
    return None


@behave.when("a job's submission gets no answer, and a caller {asks}")
@jobs_steps.paused
async def ask_in_doubt(context, asks):
    await leave_in_doubt(context)
    context.asks = asks
    context.kind = await ask(context)


@behave.when("a job waits for its next transaction, and a caller at another entry {asks}")
@jobs_steps.paused
async def ask_between_attempts(context, asks):
    context.asks = asks
    job, site = make_job(context), context.site
    holder = site.holder_of("a")
    first, other = (name for name in site.entries if name != holder)
    sent = asyncio.Event()

    async def refuse_late(transaction):
        if not has_lease(transaction):
            raise exceptions.TableUnavailable("503")
        if sent.is_set():
            return await commit(transaction)
        sent.set()
        await asyncio.sleep(0.5)
        raise exceptions.TableUnavailable("503")

    commit = site.views[holder].commit
    replace_commit(site.views[holder], job, refuse_late)
    attempt = asyncio.ensure_future(submit(context, first))
    await sent.wait()
    await power_off(site, first)
    attempt.cancel()
    await asyncio.sleep(0.53)
    context.kind = await ask(context, other)


@behave.when(
    "a job is in a transaction of a holder that died, and a caller at another entry {asks}"
)
@jobs_steps.paused
async def ask_after_holder(context, asks):
    context.asks = asks
    await end_first_entry.__wrapped__(context, "holder", 2)
    context.kind = await ask(context, context.retry_at)


@behave.when(
    "a running job is cancelled at its holder while the table is silent, and the holder ends"
)
@jobs_steps.paused
async def cancel_and_end_holder(context):
    job = make_job(context)
    context.world.work_by_task[f"{job.job}.0.0.0"] = (30.0, fleetview.RunOutcome.DONE)
    assert await submit(context, "e0") is None
    service, _ = context.site.entries["e0"]
    holder = service.lease_manager.get_holder("a")
    context.site.views["e0"].is_partitioned = True
    call = calls.CancelJob(service="a", queue="q", job=job.job)
    context.cancel = asyncio.ensure_future(holder.handle_call(call))
    await asyncio.sleep(0.1)
    assert not context.cancel.done()
    service.lease_manager._stop_holder("a")


@behave.then("the holder's answer to the cancel comes within {seconds:g} s")
@jobs_steps.paused
async def check_cancel_ends(context, seconds):
    async with asyncio.timeout(seconds):
        reply = await context.cancel
    assert reply.status is calls.Status.UNSETTLED, reply


@behave.then("the caller is not told that there is no such job")
def check_not_unknown(context):
    doubtful = {exceptions.ErrorKind.JOB_UNSETTLED, exceptions.ErrorKind.JOB_UNREADABLE}
    assert context.kind in doubtful, context.kind


@behave.then("{seconds:d} s later it is told that there is no such job")
@jobs_steps.paused
async def check_unknown(context, seconds):
    # The holder gives the job up as well.
    context.respond = turn_away
    service, _ = context.site.entries["e0"]
    service.lease_manager._stop_holder("a")
    service.lease_manager._lease_set.drop("a")
    await asyncio.sleep(seconds)
    context.kind = await ask(context)
    assert context.kind is exceptions.ErrorKind.UNKNOWN_JOB, context.kind


async def send_post(context, name, timeout_ms=None, refusal=None):
    """Have an entry serve a POST of the job; return the status and the headers of the response."""
    service, _ = context.site.entries[name]
    handler = job_handler.JobHandler(
        service.active_queues,
        job_codec.JobCodec(),
        service.job_router,
        job_metrics.JobMetrics(service.timings),
    )
    handler.refusal = refusal
    responses = []

    async def respond(status, headers, body):
        responses.append((status, dict(headers)))

    async def read_body(max_bytes):
        return BODY

    sent = {b"host": b"x", b"request-id": b"r-1"}
    if timeout_ms is not None:
        sent[b"request-timeout-ms"] = str(timeout_ms).encode()
    exchange = types.SimpleNamespace(
        method="POST",
        target=f"/q/{context.made.job}",
        is_over_limit=False,
        get_header=sent.get,
        connection=types.SimpleNamespace(read_body=read_body),
        respond=respond,
    )
    await handler.handle(exchange)
    (response,) = responses
    return response


@behave.when("a job's submission gets no answer, and it is submitted again as the entry shuts down")
@jobs_steps.paused
async def submit_at_shutdown(context):
    await leave_in_doubt(context)
    explaining_steps.capture_logs(context)
    context.response = await send_post(context, "e0", refusal=exceptions.ErrorKind.SHUTTING_DOWN)


@behave.when(
    "a caller's time limit ends while the job is written, and it is submitted again at once"
    " at an entry that shuts down"
)
@jobs_steps.paused
async def submit_again_at_shutdown(context):
    job, site = make_job(context), context.site
    holder = site.holder_of("a")
    first, other = (name for name in site.entries if name != holder)

    async def store_late(transaction):
        asyncio.get_running_loop().call_later(LATE_WRITE_S, site.world.table.apply, transaction)
        await asyncio.sleep(submission_orders.WATCH_S)

    for view in site.views.values():
        replace_commit(view, job, turn_away)
    replace_commit(site.views[first], job, store_late)
    context.began_s = jobs_steps.get_time_s()
    status, _ = await send_post(context, first, timeout_ms=TIMEOUT_MS)
    assert status == 504, status
    context.took_s = jobs_steps.get_time_s() - context.began_s
    context.response = await send_post(context, other, refusal=exceptions.ErrorKind.SHUTTING_DOWN)


async def begin_slow_write(context):
    """Have an entry write a job without its holder; return another entry while the write is open.

    The caller of the first try has left, which its entry doesn't notice.
    """
    job, site = make_job(context), context.site
    first, other = (name for name in site.entries if name != site.holder_of("a"))
    sent = asyncio.Event()

    async def store_slowly(transaction):
        sent.set()
        await asyncio.sleep(SLOW_WRITE_S)
        return site.world.table.apply(transaction)

    for view in site.views.values():
        replace_commit(view, job, turn_away)
    replace_commit(site.views[first], job, store_slowly)
    context.first = asyncio.ensure_future(submit(context, first))
    await sent.wait()
    return other


@behave.when(
    "an entry writes a job whose caller has left, and it is submitted again at an entry"
    " that shuts down"
)
@jobs_steps.paused
async def submit_beside_write(context):
    other = await begin_slow_write(context)
    context.response = await send_post(context, other, refusal=exceptions.ErrorKind.SHUTTING_DOWN)


@behave.when("an entry writes a job whose caller has left, and a caller at another entry {asks}")
@jobs_steps.paused
async def ask_beside_write(context, asks):
    context.asks = asks
    context.kind = await ask(context, await begin_slow_write(context))


@behave.then("the first response came within the caller's time limit")
def check_in_time(context):
    assert context.took_s < TIMEOUT_MS / 1000, context.took_s


@behave.then("the response has status {status:d} and says that the job may run")
def check_response(context, status):
    shown, headers = context.response
    assert (shown, headers[b"nutmegshelf-outcome"]) == (status, b"unknown"), context.response


@behave.then("the log names the request by its caller's id")
def check_log(context):
    lines = explaining_steps.get_lines(context)
    named = [line["event"] for line in lines if line.get("request") == "r-1"]
    assert named == ["A request got no success."], lines


async def reject(context, name, number):
    """Have an entry reject a job that nobody submitted before; return the error."""
    context.made = jobsite.job(number, submission_orders.STEPS)
    for view in context.site.views.values():
        replace_commit(view, context.made, turn_away)
    error = await submit(context, name)
    assert error is not None, "accepted"
    return error


def list_without_holder(site):
    return [name for name in site.entries if name != site.holder_of("a")]


@behave.when(
    "a job's first try at an entry is left in doubt, and another entry {missed} the report of it"
)
@jobs_steps.paused
async def miss_report(context, missed):
    site = context.site
    first, context.retry_at = list_without_holder(site)
    deliver = site.net.call

    async def lose_report(address, call, timeout_s):
        is_submission = isinstance(call, calls.SubmitJob)
        if is_submission and call.submitter.address == f"{first}:3":
            raise exceptions.PeerAnswerLost("cut")
        if address == f"{context.retry_at}:3" and isinstance(call, calls.ReportDoubts):
            raise exceptions.PeerAnswerLost("stands still")
        return await deliver(address, call, timeout_s)

    async def lose(transaction):
        raise exceptions.TableAnswerLost("no answer")

    if missed.startswith("rejected others"):
        error = await reject(context, context.retry_at, 2)
        assert error.outcome is exceptions.Outcome.NOT_RUN, error.kind
    if missed.startswith("could not read heartbeats for 6 s"):
        site.views[context.retry_at].scan = refuse_scan
        await asyncio.sleep(6.0)
    job = make_job(context)
    if missed.startswith("started anew"):
        await site.kill(context.retry_at)
    site.net.call = lose_report
    replace_commit(site.views[first], job, lose)
    error = await submit(context, first)
    assert error.outcome is exceptions.Outcome.UNKNOWN, error.kind
    if missed.startswith("started anew"):
        site.start(context.retry_at)
    if "stood still" in missed:
        asyncio.get_running_loop().block(1.0)


@behave.when("the job is submitted again there after {delay_s:g} s, and the table turns it away")
@jobs_steps.paused
async def retry_later(context, delay_s):
    await asyncio.sleep(delay_s)
    for view in context.site.views.values():
        replace_commit(view, context.made, turn_away)
    context.error = await submit(context, context.retry_at)


@behave.when("an entry that reaches no holder sends a job's write, and ends as {gone}")
@jobs_steps.paused
async def end_untold(context, gone):
    site = context.site
    first, context.retry_at = list_without_holder(site)
    deliver = site.net.call
    sent = asyncio.Event()

    async def lose_submission(address, call, timeout_s):
        is_submission = isinstance(call, calls.SubmitJob)
        if is_submission and call.submitter.address == f"{first}:3":
            raise exceptions.PeerAnswerLost("cut")
        return await deliver(address, call, timeout_s)

    async def carry_out_late(transaction):
        asyncio.get_running_loop().call_later(2.0, site.world.table.apply, transaction)
        sent.set()
        await asyncio.sleep(submission_orders.WATCH_S)

    if "follow" in gone:
        error = await reject(context, context.retry_at, 2)
        assert error.outcome is exceptions.Outcome.NOT_RUN, error.kind
    job = make_job(context)
    site.net.call = lose_submission
    for view in site.views.values():
        replace_commit(view, job, turn_away)
    replace_commit(site.views[first], job, carry_out_late)
    attempt = asyncio.ensure_future(submit(context, first))
    await sent.wait()
    await power_off(site, first)
    attempt.cancel()
    await asyncio.gather(attempt, return_exceptions=True)
    if "restarted" in gone:
        site.start(first)
        await asyncio.sleep(0.1)
    if "follow" in gone:
        await asyncio.sleep(0.6)


@behave.when("a job is submitted once at an entry that the table turns away")
@jobs_steps.paused
async def submit_once(context):
    context.error = await reject(context, list_without_holder(context.site)[0], 3)


@behave.when(
    "another entry is killed, and a job is submitted once at an entry that the table turns away"
)
@jobs_steps.paused
async def kill_and_submit(context):
    name, killed = list_without_holder(context.site)
    await context.site.kill(killed)
    context.retry_at = name
    context.error = await reject(context, name, 4)


@behave.when(
    "{seconds:d} s later another entry is killed, "
    "and a job is submitted once at an entry that the table turns away"
)
@jobs_steps.paused
async def kill_later_and_submit(context, seconds):
    await asyncio.sleep(seconds)
    await kill_and_submit.__wrapped__(context)


@behave.then("the caller is told that the job doesn't run")
def check_told_not_run(context):
    assert context.error.outcome is exceptions.Outcome.NOT_RUN, context.error.kind


@behave.then("{seconds:d} s later a job submitted once is rejected as not run")
@jobs_steps.paused
async def check_rejected_later(context, seconds):
    await asyncio.sleep(seconds)
    error = await reject(context, context.retry_at, 5)
    assert error.outcome is exceptions.Outcome.NOT_RUN, error.kind


@behave.when(
    "a holder that remembers the submitters of {max_jobs:d} jobs gets submissions of {count:d}, "
    "{seconds:d} s after it was loaded"
)
def forget_submitters(context, max_jobs, count, seconds):
    index = start_index(max_jobs)
    context.knows = [index.knows_recent(0.0), run_index(index, 0.0, seconds)]
    for number in range(count):
        index.add(f"{number:016x}", calls.Submitter("e0:3", "i"), float(seconds))
    context.knows.append(index.knows_recent(float(seconds)))
    context.knows.append(run_index(index, seconds, seconds + 4.9))
    context.knows.append(run_index(index, seconds + 4.9, seconds + 5.0))


@behave.when("a holder stands still for {still_s:d} s, {seconds:d} s after it was loaded")
def stand_still(context, still_s, seconds):
    index = start_index(2)
    context.knows = [index.knows_recent(0.0), run_index(index, 0.0, seconds)]
    index.add(f"{1:016x}", calls.Submitter("e0:3", "i"), float(seconds + still_s))
    context.knows.append(index.knows_recent(float(seconds + still_s)))
    context.knows.append(run_index(index, seconds + still_s, seconds + still_s + 4.9))
    context.knows.append(run_index(index, seconds + still_s + 4.9, seconds + still_s + 5.0))


def start_index(max_jobs):
    index = submissions.SubmitterIndex(max_jobs)
    index.begin(0.0)
    return index


def run_index(index, from_s, until_s):
    """Let time pass for a holder that runs; return whether it knows all submitters then."""
    for tenths in range(round((until_s - from_s) * 10) + 1):
        index.observe_clock(from_s + tenths / 10)
    return index.knows_recent(until_s)


@behave.then("it knows all recent submitters before that, and again {seconds:d} s after that")
@behave.then("it knows all recent submitters before them, and again {seconds:d} s after them")
def check_knows_submitters(context, seconds):
    assert context.knows == [False, True, False, False, True], context.knows


@behave.when("{rate:d} jobs a second are rejected at {where} for {duration_s:d} s")
@jobs_steps.paused
async def reject_many(context, rate, where, duration_s):
    loop, site = asyncio.get_running_loop(), context.site
    names = list_without_holder(site)[: 1 if where == "an entry" else 2]
    context.duration_s, context.rejections = duration_s, []
    context.asked = collections.Counter()
    deliver = site.net.call

    async def count(address, call, timeout_s):
        if isinstance(call, calls.ListDoubts):
            context.asked[address] += 1
        return await deliver(address, call, timeout_s)

    async def reject_one(number):
        began_s = loop.time()
        service, _ = site.entries[names[number % len(names)]]
        try:
            await service.job_router.submit(jobsite.job(number, submission_orders.STEPS))
        except exceptions.RequestError as error:
            context.rejections.append((error, loop.time() - began_s))

    site.net.call = count
    for view in site.views.values():
        refuse_jobs(view)
    async with asyncio.TaskGroup() as group:
        for number in range(rate * duration_s):
            group.create_task(reject_one(100 + number))
            await asyncio.sleep(1 / rate)
    assert len(context.rejections) == rate * duration_s, len(context.rejections)


@behave.then("it asked each other entry at most {rate:d} times a second for its doubts")
def check_asked(context, rate):
    assert len(context.asked) == len(context.site.entries) - 1, context.asked
    assert max(context.asked.values()) <= rate * context.duration_s, context.asked


@behave.then("all of them were rejected as not run, within {limit_s:g} s each after the first")
def check_rejections(context, limit_s):
    outcomes = collections.Counter(error.outcome for error, _ in context.rejections)
    assert set(outcomes) == {exceptions.Outcome.NOT_RUN}, outcomes
    slowest_s = max(took_s for _, took_s in context.rejections[1:])
    assert slowest_s <= limit_s, slowest_s


@behave.then(
    "a job that one of them rejected is rejected as not run by the other one too, "
    "{seconds:g} s later"
)
@jobs_steps.paused
async def check_rejected_elsewhere(context, seconds):
    await asyncio.sleep(seconds)
    context.made = jobsite.job(100 + len(context.rejections) - 1, submission_orders.STEPS)
    error = await submit(context, list_without_holder(context.site)[0])
    assert error.outcome is exceptions.Outcome.NOT_RUN, error.kind


@behave.when("a job is submitted at an entry that gets its configuration {after}")
@jobs_steps.paused
async def submit_unconfigured(context, after):
    loop, job = asyncio.get_running_loop(), make_job(context)
    service, _ = context.site.entries["e0"]
    active_queues = queues.ActiveQueues(apply_s=2.0)
    codec = types.SimpleNamespace(
        get_timeout_s=lambda exchange: 3.0,
        get_request_id=lambda exchange: "r-1",
        decode_job=lambda body, name, queue, now_ms: job,
        encode_state=lambda state: b"",
    )
    handler = job_handler.JobHandler(
        active_queues, codec, service.job_router, job_metrics.JobMetrics(service.timings)
    )

    def configure():
        declared = service.active_queues.routes.declared
        active_queues.activate(declared, loop.time())
        active_queues.confirm(queues.VersionConfirmation(loop.time()))
        handler.record_configuration()

    async def read_body(limit):
        return b""

    async def respond(status, headers, body):
        context.response = status, loop.time() - began_s

    if after != "never":
        loop.call_later(0.2, configure)
    began_s = loop.time()
    await handler.handle(
        types.SimpleNamespace(
            method="POST",
            is_over_limit=False,
            target=f"/q/{job.job}",
            get_header={b"host": b"x"}.get,
            connection=types.SimpleNamespace(read_body=read_body),
            respond=respond,
        )
    )


@behave.then("the response has status {status:d} within {limit_s:g} s")
def check_quick_response(context, status, limit_s):
    shown, took_s = context.response
    assert (shown, took_s <= limit_s) == (status, True), context.response


# --- a queue whose service changes


@behave.given("{entries:d} entries and two services")
@jobs_steps.paused
async def make_two_services(context, entries):
    context.world = jobworld.World({"a": 2, "b": 2})
    context.world.default_work = (3.0, fleetview.RunOutcome.DONE)
    context.site = jobsite.Site(context.world)
    declare_services(context, "a", version=1)
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(START_S)


def declare_services(context, service, version):
    other = "b" if service == "a" else "a"
    queues = jobsite.queue(service=service), jobsite.queue(name="other", service=other)
    context.world.declare(jobsite.declare(*queues, version=version))


@behave.when("a job is accepted, and its queue moves to the other service")
@jobs_steps.paused
async def accept_and_move(context):
    make_job(context)
    assert await submit(context, "e0") is None
    declare_services(context, "b", version=2)
    await asyncio.sleep(0.5)
    context.made = jobsite.job(1, submission_orders.STEPS, queue=jobsite.queue(service="b"))


@behave.when("a caller {asks}")
@jobs_steps.paused
async def ask_after_move(context, asks):
    context.asks = asks
    context.kind = await ask(context)


@behave.then("the caller is told of the job")
def check_told(context):
    assert context.kind is None, context.kind


@behave.when("the same submission arrives once more")
@jobs_steps.paused
async def submit_once_more(context):
    assert await submit(context, "e0") is None


@behave.then("it remains one job")
@jobs_steps.paused
async def check_one_job(context):
    await asyncio.sleep(submission_orders.WATCH_S)
    jobs_steps.check_no_violations(context)


# --- what is known, by itself


@behave.then("a submission is {outcome} after it was {events}")
def check_submission(context, outcome, events):
    submission = submissions.Submission(jobsite.job(1, submission_orders.STEPS))
    apply_by_event = {
        "joined": submission.join,
        "left": submission.leave,
        "sent": submission.begin_attempt,
        "refused": submission.end_attempt_without_effect,
        "lost": submission.lose_attempt,
        "stored": submission.confirm_stored,
        "closed": submission.close,
        "ruled-out": submission.rule_out,
    }
    for event in events.split(", "):
        apply_by_event[event]()
    assert submission.outcome.value == outcome, submission.outcome


@behave.then(
    "after a job was {events}, an entry says that it {stored} be stored,"
    " and that it {appears} appear"
)
def check_ledger(context, events, stored, appears):
    ledger, job, now_s = submissions.Ledger(max_jobs=10), jobsite.job(1, ()).job, 0.0
    others = [jobsite.job(number, ()).job for number in range(2, 12)]
    for event in events.split(", "):
        if event == "begun":
            ledger.begin(job)
        elif event == "reported":
            ledger.report_doubt(job, now_s)
        elif event == "10 others reported":
            for other in others:
                ledger.report_doubt(other, now_s)
        elif event == "kept for long":
            now_s += submissions.MAX_CARRY_OUT_DELAY_S
        else:
            ledger.end(job, submissions.Outcome(event), now_s)
    told = ledger.may_be_stored(job, now_s), ledger.may_appear(job, now_s)
    assert told == (stored == "may", appears == "may"), told
