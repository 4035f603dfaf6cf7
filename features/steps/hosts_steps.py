"""Steps that kill, freeze and stop fake hosts while they serve."""

import asyncio
import contextlib
import signal

import behave
from nutmegshelf_standins import platform

from features import hosts
from features.faults import injection

_CONFIRMATION_TIME_S = 1.5
_PARTITION_TIME_S = 6.0
_CALL_COUNT = 600


@behave.given("{entries:d} entries and {count:d} minions on simulated hosts")
def start_hosts(context, entries, count):
    stack = contextlib.ExitStack()
    context.hosts, context.run_hosts = stack.enter_context(hosts.hosts(context.seed, minions=count))
    context.add_cleanup(stack.close)
    context.run_hosts(context.hosts.start(entries))


@behave.when('the host "{name}" {event} while it serves "{token}"')
def disturb(context, name, event, token):
    actions_by_event = {
        "is killed": context.hosts.loop.kill,
        "is paused": context.hosts.loop.pause,
        "gets SIGTERM": lambda host: context.hosts.loop.send_signal(host, signal.SIGTERM),
    }

    async def main():
        call = asyncio.create_task(context.hosts.call(token, entry=name))
        while token not in context.hosts.count_runs():
            await asyncio.sleep(0.001)
        actions_by_event[event](name)
        await call

    context.run_hosts(main())


@behave.then('the call "{token}" ended as "{result}"')
def check_call(context, token, result):
    results = [
        done.result.value for done in context.hosts.calls.call_records if done.call.token == token
    ]
    assert results == [result], results


@behave.then('a call through "{name}" as it resumes is refused as "{result}"')
def check_refused_at_thaw(context, name, result):
    context.hosts.loop.resume(name)
    done = context.run_hosts(context.hosts.call("at-thaw", entry=name))
    assert done.result.value == result, done


@behave.then('a later call through "{name}" succeeds')
def check_later(context, name):
    async def call_later():
        # A thawed entry first confirms that its configuration has not been superseded.
        await asyncio.sleep(_CONFIRMATION_TIME_S)
        return await context.hosts.call("later", entry=name)

    done = context.run_hosts(call_later())
    assert done.result.value == "whole", done


@behave.then("no token ran twice")
def check_runs(context):
    assert set(context.hosts.count_runs().values()) == {1}, context.hosts.count_runs()


@behave.then('the entry "{name}" has ended')
def check_ended(context, name):
    context.run_hosts(asyncio.wait_for(context.hosts.entries[name], 20))


@behave.when('"{minion}" is listed as leaving when {trouble}')
def list_leaving(context, minion, trouble):
    site = context.hosts
    if "slow" in trouble:
        site.platform.faults = platform.Faults(delay_s=1.0)
    if "cut" in trouble:
        site.network.partition("entry-0", "entry-1")

    async def main():
        # The change is listed at a random time between two polls of the fleet list.
        await asyncio.sleep(_PARTITION_TIME_S + context.rng.random())
        injector = injection.FaultInjector(site, "")
        injector.minion = minion
        injector.list_minion_as_leaving()
        context.listed_s = site.loop.time()
        for number in range(_CALL_COUNT):
            for entry in ("entry-0", "entry-1"):
                await site.call(f"{entry}-{number}", entry, method="GET", work_ms=5)

    context.run_hosts(main())


@behave.then('no new work reached "{minion}" later than {limit_s:g} s after it was listed')
def check_no_late_work(context, minion, limit_s):
    runs = context.hosts.minions[minion].records.runs
    late_s = [run.started_s - context.listed_s for run in runs]
    assert context.hosts.loop.time() - context.listed_s > 2 * limit_s
    assert max(late_s, default=0.0) <= limit_s, max(late_s)
