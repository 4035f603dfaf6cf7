"""Test the activation of configurations while the platform and the network fail."""

import asyncio

import behave
from nutmegshelf import configuration, confirmation, ids

from features import entries

_FLAP_S = 2.0
_SAMPLE_S = 0.05


def _parse_names(text):
    return frozenset(text.split()) - {"none"}


async def _toggle_outage(platform):
    while True:
        platform.is_down = not platform.is_down
        await asyncio.sleep(_FLAP_S)


@behave.given('the platform is "{state}" and pushes are "{pushes}"')
def set_platform(context, state, pushes):
    site = context.entries
    site.is_push_disabled = pushes == "cut"
    site.platform.delay_s = entries.SLOW_CALL_S if state == "slow" else 0.0
    site.platform.objects_down = state == "objects down"
    context.is_flapping = state == "flapping"


@behave.when("{count:d} sets are published at random entries")
def publish_sets(context, count):
    site = context.entries

    async def in_force_everywhere(version):
        while any(entry.in_force.version < version for entry in site.entries.values()):
            await asyncio.sleep(_SAMPLE_S)

    async def main():
        flapping = (
            asyncio.create_task(_toggle_outage(site.platform)) if context.is_flapping else None
        )
        context.switch_times_s = []
        for number in range(count):
            name = context.rng.choice(sorted(site.entries))
            version = None
            objects_down = site.platform.objects_down
            while not isinstance(version, int):
                # Only readers lack the objects; a publish needs them in order to be accepted.
                site.platform.objects_down = False
                version = await entries.try_publish(site.entries[name], 200 + number, f"n{number}")
                site.platform.objects_down = objects_down
            accepted_s = site.head().accepted_at_s
            await in_force_everywhere(version)
            context.switch_times_s.append(site.now_s() - accepted_s)
            await asyncio.sleep(context.rng.uniform(0, 3))
        if flapping:
            flapping.cancel()
            site.platform.is_down = False
            await asyncio.sleep(3)

    context.paused.run(main())


@behave.then("each was in force everywhere within {limit_s:d} seconds")
def check_switch_times(context, limit_s):
    assert context.switch_times_s and max(context.switch_times_s) <= limit_s, context.switch_times_s


@behave.when('the table is unreachable for "{without}" and the groups in contact are "{groups}"')
def set_outage(context, without, groups):
    site = context.entries
    site.platform.partitioned = _parse_names(without)
    site.partitions = [_parse_names(group) for group in groups.split(";")]


@behave.when("{seconds:d} seconds pass")
def run_for(context, seconds):
    context.paused.run(asyncio.sleep(seconds))


@behave.then('only "{serving}" serve')
def check_serving(context, serving):
    serving_names = {name for name, entry in context.entries.entries.items() if entry.serves}
    assert serving_names == _parse_names(serving), sorted(serving_names)


@behave.when("all faults are repaired and {seconds:d} seconds pass")
def repair(context, seconds):
    context.entries.platform.partitioned = frozenset()
    context.entries.partitions = None
    context.paused.run(asyncio.sleep(seconds))


@behave.then("all entries serve")
def check_all_serve(context):
    assert all(entry.serves for entry in context.entries.entries.values())


@behave.then("all entries have version {version:d}")
def check_versions(context, version):
    versions = {name: entry.in_force.version for name, entry in context.entries.entries.items()}
    assert set(versions.values()) == {version}, versions


@behave.when('"{lone}" is isolated and a set is published at "{name}"')
def isolate(context, lone, name):
    site = context.entries

    async def main():
        site.platform.partitioned = frozenset({lone})
        site.partitions = [frozenset({lone}), frozenset(site.entries) - {lone}]
        await site.entries[name].publish(300, "alone")
        context.accepted_s = site.now_s()

    context.paused.run(main())


@behave.then('"{lone}" stops serving within {limit_s:d} seconds of the acceptance')
def check_stops(context, lone, limit_s):
    site = context.entries

    async def main():
        while site.entries[lone].serves:
            await asyncio.sleep(_SAMPLE_S)
            assert site.now_s() - context.accepted_s <= limit_s, "it still serves"

    context.paused.run(main())
    assert site.entries[lone].in_force.version == 1


@behave.when("the table is unreachable for an hour")
def run_long_outage(context):
    site = context.entries
    context.not_serving = []

    async def main():
        site.platform.is_down = True
        for _ in range(3600):
            await asyncio.sleep(1)
            context.not_serving += [
                entry.name for entry in site.entries.values() if not entry.serves
            ]

    context.paused.run(main())


@behave.then("all entries served all the time")
def check_no_pause(context):
    assert not context.not_serving, context.not_serving[:5]


@behave.when('"{name}" is killed and replaced')
def replace_entry(context, name):
    site = context.entries

    async def main():
        site.entries[name].task.cancel()
        site.start_entry(name)

    context.paused.run(main())
    assert site.entries[name].in_force.version == configuration.ids.NO_VERSION


@behave.given(
    "the confirmation of a peer that echoes a time of {stamp_s:g} second "
    "with a table age of {age_s:g} seconds"
)
def add_confirmations(context, stamp_s, age_s):
    context.confirmation = confirmation.Confirmation(ids.EntryId("e0"))
    context.confirmation.confirm_by_peer(ids.EntryId("e1"), True, stamp_s, age_s)
    context.confirmation.confirm_by_peer(ids.EntryId("e2"), True, None, 0.0)
    context.confirmation.confirm_by_peer(ids.EntryId("e3"), False, stamp_s, 0.0)


@behave.then("the version in force is confirmed until {limit_s:g} seconds and no longer")
def check_confirmed_until(context, limit_s):
    version = ids.Version(1)
    assert (
        context.confirmation.get_status(version, limit_s) is confirmation.Status.CONFIRMED_BY_TABLE
    )
    assert context.confirmation.get_status(version, limit_s + 0.01) is confirmation.Status.STALE


@behave.given("its configuration is found stale only by the check of a request")
def stale_when_asked(context):
    relay = context.site.relay
    relay.check_freshness = lambda: setattr(relay, "is_stale", True)
