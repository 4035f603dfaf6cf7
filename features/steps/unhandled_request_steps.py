"""Bring requests to an entry's listener that its handler doesn't answer."""

import asyncio
import re

import behave
from nutmegshelf import jobs
from nutmegshelf_entry import fault_log
from nutmegshelf_http import server

from features.steps import bad_input_steps, explaining_steps, own_interface_steps, rejection_steps

_ANSWER_LIMIT_S = 5.0
_SUBMISSION = own_interface_steps.make_submission(1000, 0.2, 1)
_REPEATED = re.compile(r"\{(.)\*(\d+)\}")


def get_daemon(context):
    """Return the daemon of an entry that doesn't hold the service, and its settings."""
    holder, _ = context.served.holder()
    name = next(name for name in context.served.tasks if name != holder)
    return name, *reversed(context.served.daemons[name])


async def connect(context):
    _, _, entry_settings = get_daemon(context)
    callers = entry_settings.callers
    return await asyncio.open_connection(callers.host, callers.port)


async def converse(context, data):
    reader, writer = await connect(context)
    writer.write(data)
    try:
        async with asyncio.timeout(_ANSWER_LIMIT_S):
            return await reader.read(-1)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def make_request():
    head = f"POST /q/job-1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(_SUBMISSION)}\r\n"
    return f"{head}Request-Id: r-1\r\n\r\n".encode() + _SUBMISSION


@behave.given("a job's submission gets no answer at an entry")
def leave_in_doubt(context):
    name, _, _ = get_daemon(context)
    _, held = context.served.holder()
    rejection_steps.turn_away(held)
    view = context.served.site.views[name]
    view.lost_answers, view.is_unanswered = 1, rejection_steps.is_submission
    raw = context.served.run(converse(context, make_request() + b"GET / HTTP/1.0\r\n\r\n"))
    assert raw.startswith(b"HTTP/1.1 504 "), raw[:300]
    assert context.served.world.table.read(jobs.job_key("a", "job-1")).version


@behave.when(
    "that entry has as many connections as it may, and the job is submitted again on one more"
)
def submit_over_limit(context):
    _, daemon, _ = get_daemon(context)

    async def submit():
        daemon._callers.set_limits(server.Limits(max_connections=3))
        others = [await connect(context) for _ in range(3)]
        while daemon._callers.connection_count < 3:
            await asyncio.sleep(0.01)
        try:
            return await converse(context, make_request())
        finally:
            for _, writer in others:
                writer.close()

    context.raw = context.served.run(submit())


@behave.given("a listener may have {limit:d} connections and {excess:d} beyond")
def limit_connections(context, limit, excess):
    _, daemon, _ = get_daemon(context)
    daemon._callers.set_limits(server.Limits(max_connections=limit, max_excess_connections=excess))


@behave.given("a listener allows {limit_s:f} s for heads and bodies")
def limit_times(context, limit_s):
    _, daemon, _ = get_daemon(context)
    daemon._callers.set_limits(server.Limits(limit_s, limit_s, limit_s))

    async def fail():
        raise LookupError("an injected fault")

    serve = daemon._front._serve
    daemon._front._serve = lambda exchange: (
        fail() if exchange.target == "/q/fault" else serve(exchange)
    )


@behave.when("{count:d} callers connect and wait")
def connect_and_wait(context, count):
    if not hasattr(context, "served"):
        bad_input_steps.connect_many(context, count)
        return
    _, daemon, _ = get_daemon(context)
    context.highest_count = 0

    async def connect_many():
        context.opened = [await connect(context) for _ in range(count)]
        for _ in range(50):
            context.highest_count = max(context.highest_count, daemon._callers.connection_count)
            await asyncio.sleep(0.001)

    context.served.run(connect_many())


@behave.then("it never has more than {most:d} connections")
def check_count(context, most):
    assert context.highest_count == most, context.highest_count


@behave.then(
    "within {seconds:g} s {closed:d} of them are closed without an answer, and {kept:d} stay"
)
def check_closed(context, seconds, closed, kept):
    async def read(reader):
        try:
            async with asyncio.timeout(seconds):
                return await reader.read(-1)
        except ConnectionResetError:
            return b""
        except TimeoutError:
            return None

    async def read_all():
        try:
            return await asyncio.gather(*(read(reader) for reader, _ in context.opened))
        finally:
            for _, writer in context.opened:
                writer.close()

    answers = context.served.run(read_all())
    assert (answers.count(b""), answers.count(None)) == (closed, kept), answers


@behave.when('the bytes "{data}" are sent to it')
def send_bytes(context, data):
    repeated = _REPEATED.sub(lambda match: match[1] * int(match[2]), data)
    raw = repeated.encode().decode("unicode_escape").encode("latin-1")
    context.raw = context.served.run(converse(context, raw))


@behave.then('that connection gets the status {status:d} "{outcome}", and is closed')
@behave.then('that connection gets the status {status:d} "", and is closed')
def check_answer(context, status, outcome=""):
    expected = f"{status} {outcome}" if status else ""
    answered = bad_input_steps._parse_answers(context.raw)
    assert answered == expected, (answered, context.raw[:300])
    has_retry = b"retry-after: " in context.raw.lower()
    assert has_retry or outcome != "not-run", context.raw


@behave.then('a log line of "{part}" names the request with the kind "{kind}"')
def check_named(context, part, kind):
    lines = explaining_steps.get_lines(context)
    named = [line for line in lines if line["part"] == part and line.get("request") == "r-1"]
    assert named and named[-1]["kind"] == kind, named


def get_metric(context, name, kind):
    _, daemon, _ = get_daemon(context)

    async def render():
        return daemon._metrics.render().decode().splitlines()

    lines = context.served.run(render())
    return [float(line.split()[-1]) for line in lines if line.startswith(f'{name}{{kind="{kind}"')]


@behave.then('the metrics count a refusal "{kind}"')
def check_refusal(context, kind):
    assert get_metric(context, "nutmegshelf_job_refusals_total", kind) == [1.0]


@behave.then("the job does not run")
def check_not_stored(context):
    assert not context.served.world.table.read(jobs.job_key("a", "job-1")).version


@behave.then('the log lines and the metrics count {count:d} of the kind "{kind}"')
def check_counted(context, count, kind):
    lines = explaining_steps.get_lines(context)
    context.fault_lines = [
        line for line in lines if line["part"] == "listener" and line["kind"] == kind
    ]
    assert len(context.fault_lines) == count, lines
    metrics = get_metric(context, "nutmegshelf_job_unhandled_requests_total", kind)
    assert metrics == [count], metrics


@behave.then('the log line has the status {status:d} and the target "{target}"')
@behave.then('the log line has the status {status:d} and the target ""')
def check_line(context, status, target=None):
    [line] = context.fault_lines
    assert (line["status"] or 0, line["target"]) == (status, target), line
    assert ("Traceback" in line.get("exception", "")) == (status == 500), line


@behave.given("a log of such requests")
def make_log(context):
    context.fault_log = fault_log.FaultLog("callers")


@behave.when("{connections:d} connections and {heads:d} bad heads are logged within a second")
def flood(context, connections, heads):
    counts = {
        server.FaultKind.TOO_MANY_CONNECTIONS: connections,
        server.FaultKind.BAD_HEAD: heads,
    }

    async def write():
        for kind, count in counts.items():
            for _ in range(count):
                context.fault_log.write(server.Fault(kind, None, "detail"))
        await asyncio.sleep(1.1)

    context.counts = {kind.value: count for kind, count in counts.items()}
    context.run(write())


@behave.then("it has {most:d} lines of each, and one more that counts the others")
def check_flood(context, most):
    *lines, last = explaining_steps.get_lines(context)
    for kind, count in context.counts.items():
        assert sum(line["kind"] == kind for line in lines) == most, len(lines)
        assert last["left_out"][kind] == count - most, last
        assert context.fault_log.totals[kind] == count
    assert len(lines) == most * len(context.counts), len(lines)
