"""Send raw bytes to an entry's server and parse its answers."""

import asyncio
import re

import behave
from nutmegshelf_entry import problems
from nutmegshelf_http import server

_DRIP_S = 0.05
_SHORT_S = 0.1
_EXCESS_CONNECTIONS = 10
_ANSWER_LIMIT_S = 5
_PIECE = re.compile(r"\{(pause|short|drip|eof|.+?\*\d+)\}|^(eof)$", re.DOTALL)


@behave.given("the entry allows {limit:f} s for heads and bodies and {count:d} connections")
def start_strict(context, limit, count):
    async def replace():
        await context.site.entry.close()
        limits = server.Limits(limit, limit, limit, limit / 10, count, _EXCESS_CONNECTIONS)
        context.faults = []
        context.site.entry = server.Server(
            context.site.relay.handle,
            limits,
            make_error=problems.make_fault_response,
            on_fault=context.faults.append,
        )
        context.site.port = await context.site.entry.start("127.0.0.1", 0)

    context.run(replace())


@behave.given("a server whose handler fails {when}")
def start_failing(context, when):
    context.faults = []

    async def handle(exchange):
        if when == "inside its answer":
            await exchange.start_response(200, [(b"content-length", b"100")])
            await exchange.write(b"part")
        raise LookupError("an injected fault")

    async def replace():
        await context.site.entry.close()
        context.site.entry = server.Server(handle, on_fault=context.faults.append)
        context.site.port = await context.site.entry.start("127.0.0.1", 0)

    context.run(replace())


@behave.then("the fault was reported once")
def check_reported(context):
    assert [type(fault.error) for fault in context.faults] == [LookupError], context.faults


async def _send(writer, pieces):
    start = 0
    for match in [*_PIECE.finditer(pieces), None]:
        end = match.start() if match else len(pieces)
        writer.write(_unescape(pieces[start:end]))
        if match:
            start = match.end()
            await _send_special(writer, match[1] or match[2])


async def _send_special(writer, action):
    match action:
        case "pause":
            return
        case "short":
            await asyncio.sleep(_SHORT_S)
        case "eof":
            writer.write_eof()
        case "drip":
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(_DRIP_S)
        case _:
            text, _, times = action.rpartition("*")
            writer.write(_unescape(text) * int(times))


def _unescape(text):
    return text.encode().decode("unicode_escape").encode("latin-1")


def _entry_tasks(site):
    # The minions' servers run in this process too, and keep idle connections open.
    return len(asyncio.all_tasks()) - sum(listener.connection_count for listener in site.servers)


async def _converse(site, pieces):
    before = _entry_tasks(site)
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    sending = asyncio.ensure_future(_send(writer, pieces))
    try:
        async with asyncio.timeout(_ANSWER_LIMIT_S):
            return before, await reader.read(-1), True
    except ConnectionResetError:
        return before, b"", False
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()


@behave.when("raw bytes are sent: {pieces}")
def send_raw(context, pieces):
    context.pieces = pieces
    context.tasks_before, context.raw, context.ended = context.run(_converse(context.site, pieces))


def _parse_answers(raw):
    """Parse all answers by their framing; a truncated body is reported as "cut"."""
    fields = []
    while raw:
        head, _, raw = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        fields.append(lines[0].split()[1])
        if outcome := headers.get("nutmegshelf-outcome"):
            fields.append(outcome)
        size = int(headers.get("content-length", 0))
        if "content-length" not in headers and fields[-1] != "100":
            size = len(raw)
        if len(raw) < size:
            fields.append("cut")
        raw = raw[size:]
    return " ".join(fields)


@behave.then('the raw answers are "{expected}"')
@behave.then('the raw answers are ""')
def check_raw(context, expected=""):
    answered = _parse_answers(context.raw)
    if context.pieces.startswith("HEAD"):
        answered = answered.removesuffix(" cut")
    assert context.ended and answered == expected, (answered, context.raw[:300])


@behave.then("the raw answer is a 4xx")
def check_4xx(context):
    assert context.raw.startswith(b"HTTP/1.1 4"), context.raw[:300]


@behave.then("the entry keeps no connection or task open")
def check_nothing_left(context):
    async def settle():
        while context.site.entry.connection_count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        return _entry_tasks(context.site)

    assert context.run(settle()) <= context.tasks_before


async def connect_callers(context, count, send):
    site = context.site
    context.tasks_before = _entry_tasks(site)
    connections = [await asyncio.open_connection("127.0.0.1", site.port) for _ in range(count)]
    while len(context.faults) + site.entry.connection_count < count:
        await asyncio.sleep(0.001)
    context.connection_count = site.entry.connection_count
    send(connections)
    context.answers = []
    for reader, _ in connections:
        # Idle connections are closed without any bytes sent.
        try:
            context.answers.append(await reader.read(-1))
        except ConnectionResetError:
            context.answers.append(b"")
    for _, writer in connections:
        writer.close()


@behave.when("{count:d} callers connect and the last {senders:d} of them send a request")
def connect_and_send(context, count, senders):
    def send(connections):
        for _, writer in connections[-senders:]:
            writer.write(b"GET /orders/ HTTP/1.1\r\nHost: a\r\n\r\n")

    context.run(connect_callers(context, count, send))


def connect_many(context, count):
    context.run(connect_callers(context, count, lambda connections: None))


@behave.then("{stay:d} of them stay connected until they are idle for too long")
def check_stay(context, stay):
    assert context.answers[:stay] == [b""] * stay, context.answers


def find_refusals(context):
    return [answer.lower() for answer in context.answers if answer]


@behave.then('{refused:d} of them get the status {status:d} "{outcome}" with Retry-After')
def check_refused(context, refused, status, outcome):
    refusals = find_refusals(context)
    assert len(refusals) == refused, len(refusals)
    for answer in refusals:
        assert answer.startswith(f"http/1.1 {status} ".encode()), answer
        assert b"retry-after: " in answer
        assert f"nutmegshelf-outcome: {outcome}".encode() in answer


@behave.then("{count:d} of them are closed without an answer, and reported")
def check_closed(context, count):
    kinds = [fault.kind for fault in context.faults]
    assert kinds == [server.FaultKind.TOO_MANY_CONNECTIONS] * count, kinds


@behave.then("at most {most:d} were open at a time")
def check_open(context, most):
    assert context.connection_count <= most, context.connection_count
