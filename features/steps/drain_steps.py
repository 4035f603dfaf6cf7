"""Stop entries gracefully on simulated hosts."""

import asyncio
import signal

import behave
import h11
from nutmegshelf_http import client

_LONG_MS = 3000
_HEADERS = [(b"x-token", b"kept"), (b"x-answer-bytes", b"64")]


async def _start_long_call(context, entry, timeout_ms=60_000):
    site = context.hosts
    context.long = asyncio.create_task(
        site.call("long", entry=entry, timeout_ms=timeout_ms, work_ms=_LONG_MS)
    )
    while "long" not in site.count_runs():
        await asyncio.sleep(0.001)


def _send_sigterm(context, entry):
    context.entry = entry
    context.hosts.loop.send_signal(entry, signal.SIGTERM)


@behave.when('the entry "{entry}" has been asked to stop for {seconds:f} s while "long" runs')
def ask_to_stop(context, entry, seconds):
    async def main():
        port = context.hosts.ports[entry].callers.port
        context.kept = client.Client("127.0.0.1", port)
        await context.kept.request("GET", "/orders/", headers=_HEADERS)
        await _start_long_call(context, entry)
        _send_sigterm(context, entry)
        await asyncio.sleep(seconds)

    context.run_hosts(main())


@behave.when("it is asked again")
def ask_again(context):
    _send_sigterm(context, context.entry)
    context.run_hosts(asyncio.sleep(0.01))


@behave.when('a caller sends "new" over {link}')
def send_new(context, link):
    async def main():
        port = context.hosts.ports[context.entry].callers.port
        caller_client = (
            context.kept if link == "a kept connection" else client.Client("127.0.0.1", port)
        )
        try:
            return await caller_client.request("GET", "/orders/", headers=_HEADERS)
        except (OSError, h11.ProtocolError) as error:
            return error

    context.answer = context.run_hosts(main())


@behave.then('the new call ended as "{result}" with "{expected}"')
@behave.then('the new call ended as "{result}" with ""')
def check_new(context, result, expected=""):
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
            assert answer.get_header(b"nutmegshelf-error") == expected.encode()
            assert answer.get_header(b"retry-after"), answer.headers


@behave.then("the long call gets a whole answer, and the entry exits")
def check_long(context):
    async def main():
        long_call = await context.long
        await asyncio.wait_for(context.hosts.entries[context.entry], 10)
        return long_call

    long_call = context.run_hosts(main())
    assert long_call.result.value == "whole", long_call


@behave.then('the entry "{entry}" is not ready and its peers know that it leaves')
def check_not_ready(context, entry):
    async def main():
        assert await context.hosts.get_status(entry, "/ready") == 503
        peer_client = client.Client("127.0.0.1", context.hosts.ports["entry-1"].operators.port)
        answer = await peer_client.request("GET", "/status")
        peer_client.close()
        return answer.body

    status = context.run_hosts(main())
    assert b'"leaving": true' in status, status


@behave.when('{frozen} is frozen and the entry "{entry}" is asked to stop while "long" runs')
def freeze_and_ask(context, frozen, entry):
    async def main():
        await _start_long_call(context, entry)
        names = ["platform"] if frozen == "the platform" else list(context.hosts.minions)
        for name in names:
            context.hosts.loop.pause(name)
        _send_sigterm(context, entry)

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
    ignored_cancellations = []

    async def get_ignoring_cancellation():
        try:
            return await get()
        except asyncio.CancelledError:
            if ignored_cancellations:
                raise
            ignored_cancellations.append(True)
            return await get()

    inbox.get = get_ignoring_cancellation
    # The next message ends the wait that was started before the replacement.
    context.run_hosts(asyncio.sleep(5))
