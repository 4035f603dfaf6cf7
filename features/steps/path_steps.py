"""Send requests through a relay to minions in one process, over loopback sockets."""

import asyncio

import behave
from nutmegshelf_standins import caller

from features import sites


@behave.given('{count:d} minions of "{service}" behind an entry')
def start_site(context, count, service):
    context.site = sites.Site(service, context.rng)
    context.cleanup.append(context.site.close)
    context.run(context.site.start(count))


@behave.given("the minion {number:d} is gone without notice")
def end_minion(context, number):
    context.run(context.site.servers[number].close())


@behave.when(
    "a caller sends {count:d} {method} requests with {sent:d} bytes "
    "for {answered:d} bytes {framing}"
)
def send_requests(context, count, method, sent, answered, framing):
    async def send():
        for number in range(count):
            call = caller.Call(
                token=f"t{number}",
                service=context.site.service,
                method=method,
                response_bytes=answered,
                chunked=framing == "chunked",
                body=b"b" * sent,
            )
            await context.site.calls.call(call)

    context.run(send())


@behave.when("a caller sends the bytes {text}")
def send_bytes(context, text):
    async def send():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.site.port)
        writer.write(text.encode().decode("unicode_escape").encode("latin-1"))
        async with asyncio.timeout(10):
            context.answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()

    context.run(send())


@behave.then("all answers are whole")
def check_whole(context):
    verdict = context.site.verdict()
    assert verdict.complete == verdict.requests > 0, str(verdict)
    assert verdict.is_consistent, str(verdict)


@behave.then("no request ran twice")
def check_once(context):
    tokens = [run.token for standin in context.site.minions for run in standin.records.runs]
    assert len(tokens) == len(set(tokens)), tokens


@behave.then('the answer has status {status:d} and outcome "{outcome}"')
def check_answer(context, status, outcome):
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
    assert f"nutmegshelf-outcome: {outcome}".encode() in context.answer.lower(), context.answer


@behave.then("no minion saw a request")
def check_untouched(context):
    assert not any(standin.records.runs for standin in context.site.minions)
