"""Steps that publish declaration sets over a platform that fails between calls."""

import asyncio

import behave
from nutmegshelf import acceptance, codecs, configuration, exceptions
from nutmegshelf_entry import publisher
from nutmegshelf_standins import clock

from features import entries

_HEAL_S = 40.0


def _on_paused_clock(context, main):
    """Run a coroutine on the paused loop of the scenario."""
    return context.paused.run(main)


@behave.given("{count:d} entries with version 1 in force")
def start_entries(context, count):
    context.paused = asyncio.Runner(loop_factory=clock.SimulatedTimeLoop)
    context.add_cleanup(context.paused.close)
    context.entries = entries.Site(context.rng)
    context.add_cleanup(lambda: context.paused.run(context.entries.stop()))

    async def main():
        context.entries.start(count)
        assert await context.entries.entries["e0"].publish(1, "first") == 1
        await asyncio.sleep(3)

    _on_paused_clock(context, main())
    assert all(entry.in_force.version == 1 for entry in context.entries.entries.values())


@behave.when(
    'the fault "{fault}" occurs at "{name}" in the step "{step}" of the publish "{publish_id}"'
)
def set_fault(context, fault, name, step, publish_id):
    site = context.entries
    site.platform.faults[name, step] = fault

    async def main():
        entry = site.entries[name]
        task = asyncio.create_task(entries.try_publish(entry, 50, publish_id))
        await asyncio.sleep(5)
        context.first_try = task
        assert (name, step) not in site.platform.faults, "the step was not reached"

    _on_paused_clock(context, main())


@behave.when('another operator publishes at "{name}"')
def publish_other(context, name):
    async def main():
        await entries.try_publish(context.entries.entries[name], 60, "other")

    _on_paused_clock(context, main())


@behave.when('the publish "{publish_id}" is repeated at "{name}"')
def repeat(context, publish_id, name):
    async def main():
        context.answer = await entries.try_publish(context.entries.entries[name], 50, publish_id)
        await asyncio.sleep(_HEAL_S)
        await context.first_try

    _on_paused_clock(context, main())


@behave.then('the publish "{publish_id}" was accepted once')
def check_accepted_once(context, publish_id):
    rows = context.entries.platform.store.scan(configuration.HISTORY_PREFIX, "", 100)
    heads = [codecs.unpack(row.value, configuration.Revision).head for row in rows]
    versions = [head.version for head in heads if head.publish_id == publish_id]
    assert versions == [context.answer], (versions, context.answer)
    assert len(heads) == context.entries.head().version == 3, heads


@behave.then("no entry used an older or an incomplete set")
def check_forward_only(context):
    site = context.entries
    newest = site.head()
    for entry in site.entries.values():
        assert entry.history == sorted(set(entry.history)), entry.history
        accepted = entry.in_force.current
        assert configuration.encode_set(accepted.declarations)[1] == accepted.head.digest
        is_partitioned = entry.name in site.platform.partitioned
        assert is_partitioned or accepted.head == newest, (entry.name, accepted.head, newest)


@behave.when('the table goes down for "{name}" as it accepts the publish "{publish_id}"')
def lose_table(context, name, publish_id):
    site = context.entries
    site.platform.faults[name, "commit head"] = "partitioned after"

    async def main():
        publishing = site.entries[name].publish(50, publish_id, 1)
        context.outcome = (await asyncio.gather(publishing, return_exceptions=True))[0]

    _on_paused_clock(context, main())


@behave.then("the outcome of the publish is unknown")
def check_unknown(context):
    assert isinstance(context.outcome, exceptions.TableAnswerLost), repr(context.outcome)


@behave.then('the publish "{publish_id}" is in force at version {version:d}')
def check_head(context, publish_id, version):
    head = context.entries.head()
    assert (head.publish_id, head.version) == (publish_id, version), head


@behave.when(
    'the publish "{publish_id}" takes effect at "{name}" 1 s after its answer was lost, and '
    'another one at "{other}" {later_s:g} s later'
)
def publish_late(context, publish_id, name, other, later_s):
    site = context.entries
    site.platform.faults[name, "commit head"] = "done late"

    async def publish_after():
        await asyncio.sleep(entries.LATE_S + later_s)
        await site.entries[other].publish(60, "other")

    async def main():
        context.first_try = asyncio.create_task(
            entries.try_publish(site.entries[name], 50, publish_id, 1)
        )
        await context.first_try
        context.other_try = asyncio.create_task(publish_after())

    _on_paused_clock(context, main())


@behave.when(
    'the publish "{publish_id}", based on version 1, is repeated at "{name}" after {after_s:g} s, '
    'and the fault "{fault}" occurs in the step "{step}"'
)
def repeat_with_fault(context, publish_id, name, after_s, fault, step):
    site = context.entries

    async def main():
        await asyncio.sleep(after_s)
        site.platform.faults[name, step] = fault
        context.answer = await entries.try_publish(site.entries[name], 50, publish_id, 1)
        assert (name, step) not in site.platform.faults, "the step was not reached"
        await context.other_try
        await asyncio.sleep(_HEAL_S)

    _on_paused_clock(context, main())


@behave.when("every entry publishes a different set at the same time, all based on version 1")
def publish_concurrently(context):
    async def main():
        attempts = (
            entries.try_publish(entry, 10 + number, f"p{number}", 1)
            for number, entry in enumerate(context.entries.entries.values())
        )
        context.answers = await asyncio.gather(*attempts)

    _on_paused_clock(context, main())


@behave.then("one publish was accepted and the others got a conflict that names it")
def check_one_accepted(context):
    accepted = [answer for answer in context.answers if answer == 2]
    conflicts = [
        answer for answer in context.answers if isinstance(answer, publisher.VersionConflict)
    ]
    assert len(accepted) == 1 and len(conflicts) == 2, context.answers
    assert all(answer.current == context.entries.head() for answer in conflicts)


@behave.then('the history of the version after 1 names the operator, the time and "{name}"')
def check_history(context, name):
    revisions = _on_paused_clock(context, context.entries.entries["e0"].publisher.get_history(1))
    assert [revision.changed for revision in revisions] == [(name,)], revisions
    assert revisions[0].head.operator.startswith("op-e") and revisions[0].head.accepted_at_s > 0


@behave.when('the publish "{publish_id}" is made at "{name}" with queue limit {limit:d}')
def publish_one(context, publish_id, name, limit):
    _on_paused_clock(context, context.entries.entries[name].publish(limit, publish_id))


@behave.then('the publish "{publish_id}" with queue limit {limit:d} is refused as reused')
def check_refused_as_reused(context, publish_id, limit):
    try:
        _on_paused_clock(context, context.entries.entries["e0"].publish(limit, publish_id))
    except publisher.PublishIdConflict:
        return
    raise AssertionError("the publish id was accepted for a different set")


@behave.when("{count:d} sets are published and collected")
def publish_many(context, count):
    async def main():
        entry = context.entries.entries["e1"]
        for number in range(count):
            await entry.publish(100 + number, f"many-{number}")
        await entry.collector.collect()

    _on_paused_clock(context, main())


@behave.then("{objects:d} objects and {intents:d} intents are left")
def check_stored_counts(context, objects, intents):
    site = context.entries
    assert len(site.platform.store.objects) == objects, len(site.platform.store.objects)
    assert len(site.intents()) == intents


@behave.when('2 hours pass and a paused collector runs during the repeat of "{publish_id}"')
def collect_during_repeat(context, publish_id):
    site = context.entries

    async def main():
        await asyncio.sleep(7200)
        site.platform.faults["e1", "delete object"] = "paused"
        collecting = asyncio.create_task(site.entries["e1"].collector.collect())
        await asyncio.sleep(1)
        while await entries.try_publish(site.entries["e0"], 50, publish_id) is None:
            await asyncio.sleep(1)
        await collecting

    _on_paused_clock(context, main())


@behave.then("the set of the newest version is stored")
def check_newest_is_stored(context):
    key = configuration.set_key(context.entries.head())
    assert key in context.entries.platform.store.objects, key
    assert context.entries.head().publish_id == "p"


@behave.then("no object is left without a version or an intent")
def check_no_orphans(context):
    site = context.entries
    rows = site.platform.store.scan(configuration.HISTORY_PREFIX, "", 1000)
    referenced = {
        configuration.set_key(codecs.unpack(history_row.value, configuration.Revision).head)
        for history_row in rows
    }
    referenced |= {codecs.unpack(row.value, acceptance.Intent).key for row in site.intents()}
    assert set(site.platform.store.objects) <= referenced


@behave.when(
    'the publish "{publish_id}" pauses for hours at "{name}" '
    "before its transaction and is collected"
)
def pause_and_collect(context, publish_id, name):
    site = context.entries
    site.platform.faults[name, "commit head"] = "paused for hours"

    async def main():
        task = asyncio.create_task(site.entries[name].publish(80, publish_id))
        await asyncio.sleep(7000)
        await site.entries["e1"].collector.collect()
        context.outcome = (await asyncio.gather(task, return_exceptions=True))[0]

    _on_paused_clock(context, main())


@behave.then("it was refused and version 1 is in force")
def check_fenced(context):
    assert isinstance(context.outcome, exceptions.TableUnavailable), context.outcome
    assert context.entries.head().version == 1


@behave.given("room for {count:d} versions in the history")
def set_history_limit(context, count):
    limit = configuration.MAX_HISTORY_VERSIONS
    context.add_cleanup(lambda: setattr(configuration, "MAX_HISTORY_VERSIONS", limit))
    configuration.MAX_HISTORY_VERSIONS = count


@behave.then("the history has versions {first:d} to {last:d} and as many publish ids")
def check_history_versions(context, first, last):
    store = context.entries.platform.store
    rows = store.scan(configuration.HISTORY_PREFIX, "", 1000)
    heads = [codecs.unpack(row.value, configuration.Revision).head for row in rows]
    assert [head.version for head in heads] == list(range(first, last + 1)), heads
    published_keys = {row.key for row in store.scan("configuration/published/", "", 1000)}
    assert published_keys == {configuration.publish_key(head.publish_id) for head in heads}
