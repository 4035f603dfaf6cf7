"""Stop entries gracefully on faked hosts."""

import asyncio
import signal

import behave
import h11
from nutmegshelf_http import client

_LONG_MS = 3000
_HEADERS = [(b"x-token", b"kept"), (b"x-answer-bytes", b"64")]


async def _start_long(context, entry, timeout_ms=60_000):
    site = context.hosts
    context.long = asyncio.create_task(
        site.call("long", entry=entry, timeout_ms=timeout_ms, work_ms=_LONG_MS)
    )
    while "long" not in site.count_runs():
        await asyncio.sleep(0.001)


def _ask(context, entry):
    context.entry = entry
    context.hosts.loop.send_signal(entry, signal.SIGTERM)


@behave.when('the entry "{entry}" has been asked to stop for {seconds:f} s while "long" runs')
def ask_to_stop(context, entry, seconds):
    async def main():
        port = context.hosts.ports[entry].callers.port
        context.kept = client.Client("127.0.0.1", port)
        await context.kept.request("GET", "/orders/", headers=_HEADERS)
        await _start_long(context, entry)
        _ask(context, entry)
        await asyncio.sleep(seconds)

    context.run_hosts(main())


@behave.when("it is asked again")
def ask_again(context):
    _ask(context, context.entry)
    context.run_hosts(asyncio.sleep(0.01))


@behave.when('a caller sends "new" over {link}')
def send_new(context, link):
    async def main():
        port = context.hosts.ports[context.entry].callers.port
        made = context.kept if link == "a kept connection" else client.Client("127.0.0.1", port)
        try:
            return await made.request("GET", "/orders/", headers=_HEADERS)
        except (OSError, h11.ProtocolError) as error:
            return error

    context.answer = context.run_hosts(main())


@behave.then('the new call ended as "{result}" with "{told}"')
@behave.then('the new call ended as "{result}" with ""')
def check_new(context, result, told=""):
    answer = context.answer
    match result:
        case "refused":
            assert isinstance(answer, ConnectionRefusedError), answer
        case "whole":
            assert answer.status == 200 and len(answer.body) == 64, answer
            assert answer.get_header(b"connection") == b"close", answer.headers
        case "not-run":
            assert answer.status == 503, answer
            assert answer.get_header(b"nutmegshelf-outcome") == b"not-run"
            assert answer.get_header(b"nutmegshelf-error") == told.encode()
            assert answer.get_header(b"retry-after"), answer.headers


@behave.then("the long call is whole in the end, and the entry exits")
def check_long(context):
    async def main():
        done = await context.long
        await asyncio.wait_for(context.hosts.entries[context.entry], 10)
        return done

    done = context.run_hosts(main())
    assert done.result.value == "whole", done


@behave.then('the entry "{entry}" is not ready and its peers know that it leaves')
def check_not_ready(context, entry):
    async def main():
        assert await context.hosts.get_status(entry, "/ready") == 503
        other = client.Client("127.0.0.1", context.hosts.ports["entry-1"].operators.port)
        answer = await other.request("GET", "/status")
        other.close()
        return answer.body

    status = context.run_hosts(main())
    assert b'"leaving": true' in status, status


@behave.when('{what} is frozen and the entry "{entry}" is asked to stop while "long" runs')
def freeze_and_ask(context, what, entry):
    async def main():
        await _start_long(context, entry)
        names = ["platform"] if what == "the platform" else list(context.hosts.minions)
        for name in names:
            context.hosts.loop.freeze(name)
        _ask(context, entry)

    context.run_hosts(main())


@behave.then("the entry exits within {limit:d} s")
def check_exits(context, limit):
    async def main():
        await asyncio.wait_for(context.hosts.entries[context.entry], limit)
        context.long.cancel()
        await asyncio.gather(context.long, return_exceptions=True)

    context.run_hosts(main())


@behave.given('the wait for peers\' messages at "{entry}" swallows one cancellation')
def swallow_cancellation(context, entry):
    inbox = context.hosts.daemons[entry]._peers._inbox
    get = inbox.get
    swallowed = []

    async def stubborn():
        try:
            return await get()
        except asyncio.CancelledError:
            if swallowed:
                raise
            swallowed.append(True)
            return await get()

    inbox.get = stubborn
    # The next message ends the wait that runs already.
    context.run_hosts(asyncio.sleep(5))
