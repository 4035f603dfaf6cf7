"""Check how exclusions of minions reach all entries, on simulated hosts."""

import asyncio

import behave
import msgspec
from nutmegshelf import platform

_MINION = "minion-0"
_ENTRIES = ("entry-0", "entry-1")


def _take_away(site, what):
    match what:
        case "is listed":
            leaving = platform.HostState.LEAVING
            site.records[0] = msgspec.structs.replace(site.records[0], state=leaving)
            site.list_minions()
        case "answers 503":
            site.minions[_MINION].is_shutting_down = True
        case "refuses connections":
            site.network.listeners.pop(site.records[0].port)


@behave.when('"{cut}" is disconnected and the first minion {what}')
def cut_and_leave(context, cut, what):
    site = context.hosts
    if cut != "nothing":
        site.network.partition(*cut.split())
    _take_away(site, what)


@behave.then("it gets no new requests at either entry after {limit:d} s")
def check_closed(context, limit):
    site = context.hosts

    async def main():
        await asyncio.sleep(limit)
        targets = {name: site.daemons[name]._health.targets for name in _ENTRIES}
        assert all(each.describe_exclusions(_MINION) for each in targets.values()), targets
        before = len(site.minions[_MINION].records.runs)
        for number in range(20):
            done = await site.call(f"t{number}", entry=_ENTRIES[number % 2])
            assert done.result.value == "whole", done
        return len(site.minions[_MINION].records.runs) - before

    assert context.run_hosts(main()) == 0


@behave.when('"{cut}" is disconnected from every minion for {seconds:d} s while "{other}" serves')
def cut_from_minions(context, cut, seconds, other):
    site = context.hosts

    async def main():
        loop = asyncio.get_running_loop()
        for minion in site.minions:
            site.network.partition(cut, minion)
        end_s = loop.time() + seconds
        context.meanwhile = []
        while loop.time() < end_s:
            number = len(context.meanwhile)
            context.meanwhile.append(await site.call(f"m{number}", entry=other))
            await asyncio.sleep(0.1)
        # The disconnected entry probes only its share, and sends no requests that detect more.
        assert site.daemons[cut]._health.targets.count_excluded() >= 1
        site.network.heal()

    context.run_hosts(main())


@behave.then('every answer that "{other}" gave meanwhile is complete')
def check_meanwhile(context, other):
    incomplete = [done for done in context.meanwhile if done.result.value != "whole"]
    assert context.meanwhile and not incomplete, incomplete[:3]


@behave.then("both entries send requests to every minion within {limit:d} s of the reconnection")
def check_reopened(context, limit):
    async def main():
        await asyncio.sleep(limit)
        return [context.hosts.daemons[name]._health.targets.count_excluded() for name in _ENTRIES]

    assert context.run_hosts(main()) == [0, 0]
