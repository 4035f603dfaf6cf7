"""Test the kernel's state of minions and entries by events, without sockets."""

import asyncio

import behave
from nutmegshelf import exceptions, ids, members, platform, targets
from nutmegshelf_entry import health
from nutmegshelf_standins import clock, fleet

_PEER = ids.EntryId("peer")


def _make_record(number, state=platform.HostState.LIVE):
    return platform.MinionRecord(
        minion=ids.MinionId(f"m{number}"),
        service=ids.ServiceName("orders"),
        host="127.0.0.1",
        port=1,
        zone=ids.ZoneName("z"),
        rack=ids.RackName("r"),
        worker=ids.WorkerId("w"),
        state=state,
    )


def _make_targets(own, count):
    entry_targets = targets.Targets(ids.EntryId(own))
    records = tuple(_make_record(number) for number in range(count))
    entry_targets.apply_page(platform.FleetList(revision=10, minions=records), 0.0)
    return entry_targets


class _Events:
    """Apply the events of a scenario to the targets of one entry."""

    def __init__(self, entry_targets):
        self.targets = entry_targets
        self.now_s = 100.0
        self.revision = 10
        self.sent_causes = []

    def apply(self, event):
        self.now_s += 1
        update = self._apply(event) or targets.Update()
        self.sent_causes += [exclusion.cause.value for exclusion in update.exclusions]

    def _apply(self, event):  # noqa: PLR0911
        minion, now_s = ids.MinionId("m0"), self.now_s
        match event.split():
            case ["list", "gone"]:
                self.revision += 1
                page = platform.FleetList(revision=self.revision, gone=(minion,))
                return self.targets.apply_page(page, now_s)
            case ["list", state]:
                self.revision += 1
                return self.targets.apply_page(self._page(self.revision, state), now_s)
            case ["stale", "list", state]:
                return self.targets.apply_page(self._page(self.revision - 1, state), now_s)
            case ["probe", result]:
                return self.targets.record_probe(minion, _PROBES[result], now_s, now_s)
            case ["old", "probe", result]:
                return self.targets.record_probe(minion, _PROBES[result], now_s - 50, now_s)
            case ["refused"]:
                return self.targets.add_exclusion(
                    self._make_exclusion(targets.Cause.FAILED, self.targets.entry), now_s
                )
            case ["peer", "says", "recovered"]:
                return self.targets.request_probe(minion, now_s)
            case ["peer", "says", cause]:
                return self.targets.add_exclusion(
                    self._make_exclusion(targets.Cause(cause), _PEER), now_s
                )
            case ["peer", "repeats", "old"]:
                exclusion = self._make_exclusion(targets.Cause.LISTED, _PEER, 11)
                return self.targets.add_exclusion(exclusion, now_s)
            case ["none"]:
                return None
        raise AssertionError(event)

    def _page(self, revision, state):
        return platform.FleetList(
            revision=revision, minions=(_make_record(0, platform.HostState(state)),)
        )

    def _make_exclusion(self, cause, source, revision=None):
        revision = self.revision + 1 if revision is None else revision
        listed = revision if cause is targets.Cause.LISTED else -1
        return targets.Exclusion(
            minion=ids.MinionId("m0"), cause=cause, source=source, revision=listed
        )


_PROBES = {
    "ok": targets.ProbeResult.HEALTHY,
    "503": targets.ProbeResult.SHUTTING_DOWN,
    "failed": targets.ProbeResult.FAILED,
}


def _state_of(entry_targets, minion):
    record_states = {record.minion: record.state for record in entry_targets.get_records()}
    if minion not in record_states:
        return "gone"
    is_closed = record_states[minion] is platform.HostState.LEAVING
    assert is_closed == bool(
        entry_targets.describe_exclusions(minion)
    ), entry_targets.describe_exclusions(minion)
    return "closed" if is_closed else "open"


@behave.given('the target state of entry "{own}" with {count:d} listed minions')
def start_targets(context, own, count):
    context.events = _Events(_make_targets(own, count))


@behave.when("the target events come: {events}")
def apply_events(context, events):
    for event in events.split(", "):
        context.events.apply(event)


@behave.then('the minion "{minion}" is {state}')
def check_state(context, minion, state):
    assert _state_of(context.events.targets, minion) == state


@behave.then('the causes sent to peers for "m0" are "{causes}"')
@behave.then('the causes sent to peers for "m0" are ""')
def check_spread(context, causes=""):
    assert ",".join(context.events.sent_causes) == causes, context.events.sent_causes


@behave.when("a peer reports all of them as failed")
def all_failed(context):
    for number in range(3):
        exclusion = targets.Exclusion(
            minion=ids.MinionId(f"m{number}"), cause=targets.Cause.FAILED, source=_PEER
        )
        context.events.targets.add_exclusion(exclusion, 100.0)


@behave.then("at least 1 of the minions is open")
def check_any_open(context):
    assert "open" in {_state_of(context.events.targets, f"m{number}") for number in range(3)}


@behave.then("all of them are due for a probe")
def check_due(context):
    minions = {record.minion for record in context.events.targets.take_due(100.0, 10)}
    assert minions == {"m0", "m1", "m2"}, minions


@behave.given("{entries:d} entries that know {minions:d} minions")
def start_probers(context, entries, minions):
    context.minion_count = minions
    context.probers = [_make_targets(f"e{number}", minions) for number in range(entries)]


@behave.when("each has probed for {seconds:d} seconds with {dead:d} entry dead")
def run_probers(context, seconds, dead):
    live = context.probers[dead:]
    context.probes = {entry_targets.entry: [] for entry_targets in live}
    for entry_targets in live:
        entry_targets.set_entries([other.entry for other in live], 0.0)
    for tick in range(seconds * 10):
        now_s = tick / 10
        for entry_targets in live:
            for record in entry_targets.take_due(now_s, health.MAX_PROBES_PER_TICK):
                context.probes[entry_targets.entry].append((now_s, record.minion))
                entry_targets.record_probe(record.minion, targets.ProbeResult.HEALTHY, now_s, now_s)


@behave.then("each minion was probed at least once")
def check_all_probed(context):
    probed = {minion for sent in context.probes.values() for _, minion in sent}
    assert len(probed) == context.minion_count, len(probed)


@behave.then("no entry sent more than {limit:d} probes a second")
def check_probe_rate(context, limit):
    for sent in context.probes.values():
        by_second = {}
        for at_s, _ in sent:
            by_second[int(at_s)] = by_second.get(int(at_s), 0) + 1
        assert max(by_second.values(), default=0) <= limit, max(by_second.values())


@behave.when("{count:d} minions are suspected")
def suspect_many(context, count):
    (entry_targets,) = context.probers
    context.suspects = {ids.MinionId(f"m{number}") for number in range(count)}
    for minion in context.suspects:
        entry_targets.request_probe(minion, 20.0)


@behave.then("all of them were probed within {limit:d} s, and routine probes went on")
def check_suspects(context, limit):
    (entry_targets,) = context.probers
    probed = []
    for tick in range(limit * 10):
        now_s = 20 + tick / 10
        for record in entry_targets.take_due(now_s, health.MAX_PROBES_PER_TICK):
            probed.append(record.minion)
            entry_targets.record_probe(record.minion, targets.ProbeResult.HEALTHY, now_s, now_s)
    assert context.suspects <= set(probed), len(context.suspects & set(probed))
    assert len(set(probed) - context.suspects) >= limit, len(set(probed))


@behave.when("{count:d} minions refuse all connections for {seconds:d} s")
def lose_many(context, count, seconds):
    (entry_targets,) = context.probers
    lost = {ids.MinionId(f"m{number}") for number in range(count)}
    for minion in lost:
        exclusion = targets.Exclusion(
            minion=minion, cause=targets.Cause.FAILED, source=entry_targets.entry
        )
        entry_targets.add_exclusion(exclusion, 0.0)
    context.probed = {True: 0, False: 0}
    for tick in range(seconds * 10):
        for record in entry_targets.take_due(tick / 10, health.MAX_PROBES_PER_TICK):
            is_lost = record.minion in lost
            context.probed[is_lost] += 1
            result = targets.ProbeResult.FAILED if is_lost else targets.ProbeResult.HEALTHY
            entry_targets.record_probe(record.minion, result, tick / 10, tick / 10)


@behave.then("at least {others:d} probes went to others, and at least {lost:d} to those")
def check_turns(context, others, lost):
    assert context.probed[False] >= others and context.probed[True] >= lost, context.probed


class _SlowFleetList:
    """A fleet list that answers late, with its state at the start or the end of the call."""

    def __init__(self, delay_s, point):
        self.list = fleet.Fleet()
        self.list.put(tuple(_make_record(number) for number in range(40)))
        self.down = False
        self._delay_s = delay_s
        self._point = point

    async def get_fleet(self, after_revision=-1):
        early = self.list.get_changes(after_revision)
        down = self.down
        await asyncio.sleep(self._delay_s)
        if down:
            raise exceptions.TableUnavailable("down")
        return early if self._point == "start" else self.list.get_changes(after_revision)

    def leave(self, number):
        self.list.put(
            tuple(
                _make_record(other, platform.HostState.LEAVING if other <= number else _LIVE)
                for other in range(40)
            )
        )


_LIVE = platform.HostState.LIVE


async def _run_with_watch(source, work):
    changed = asyncio.Event()
    entry_health = health.Health(
        ids.EntryId("e1"), lambda message: None, lambda records: changed.set()
    )
    entry_health.changed = changed
    watch = asyncio.ensure_future(health.FleetWatcher(source, entry_health, 0.5).run())
    await asyncio.sleep(5)
    try:
        return await work(entry_health)
    finally:
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)


@behave.given("a fleet list that answers after {delay:f} s with its state at the {point}")
def start_list(context, delay, point):
    context.fleet_list = _SlowFleetList(delay, point)


@behave.when("a minion is listed as leaving at random times between polls")
def leave_often(context):
    async def work(entry_health):
        loop, took = asyncio.get_running_loop(), []
        for number in range(40):
            await asyncio.sleep(context.rng.uniform(2.5, 3.5))
            context.fleet_list.leave(number)
            started_s = loop.time()
            entry_health.changed.clear()
            await entry_health.changed.wait()
            assert _state_of(entry_health.targets, f"m{number}") == "closed"
            took.append(loop.time() - started_s)
        return took

    context.took = clock.run(_run_with_watch(context.fleet_list, work))


@behave.then("every one is closed within {limit:f} s")
def check_closed_soon(context, limit):
    assert max(context.took) <= limit, f"{max(context.took):.2f} s"


@behave.when("the fleet list is down for {seconds:d} s while a minion is listed as leaving")
def list_down(context, seconds):
    async def work(entry_health):
        context.fleet_list.down = True
        context.fleet_list.leave(0)
        await asyncio.sleep(seconds)
        kept = len(entry_health.targets.get_records()), _state_of(entry_health.targets, "m0")
        context.fleet_list.down = False
        await asyncio.sleep(1)
        return kept, _state_of(entry_health.targets, "m0")

    context.seen = clock.run(_run_with_watch(context.fleet_list, work))


@behave.then("the records were kept during the outage and the minion is closed after it")
def check_kept(context):
    assert context.seen == ((40, "open"), "closed"), context.seen


def _make_row(entry, leaving=False, beat=1):
    return members.EntryRow(
        entry=ids.EntryId(entry),
        zone=ids.ZoneName("z"),
        peer_address="",
        operator_address="",
        leaving=leaving,
        beat=beat,
    )


@behave.given('the entries "{first}" and "{second}" that know each other by the table')
def start_members(context, first, second):
    context.members = members.Members(ids.EntryId(first), 4.0)
    context.members.apply_rows([_make_row(first), _make_row(second)], 0.0)
    assert [row.entry for row in context.members.get_live(1.0)] == [second]


@behave.when('"{entry}" sends a hello at {at:d} s and the table gives no answer for {seconds:d} s')
def say_hello(context, entry, at, seconds):
    assert context.members.apply_hello(_make_row(entry), at)
    assert not context.members.apply_hello(_make_row(entry), at)


@behave.then('the live entries are "{entry}" after {at:d} s and none after {later:d} s')
def check_live(context, entry, at, later):
    assert [row.entry for row in context.members.get_live(at)] == [entry]
    assert not context.members.get_live(later)


@behave.then("an entry that announces its shutdown is no longer active")
def check_leaving(context):
    context.members.apply_hello(_make_row("e3", leaving=True), 30.0)
    assert [row.entry for row in context.members.get_live(30.0)] == ["e3"]
    assert not context.members.get_active(30.0)
