"""Steps on entries in the table of workers that another program wrote."""

import asyncio
import contextlib
import json

import behave
import hypothesis
from hypothesis import strategies
from nutmegshelf import codecs, fleetview, platform
from nutmegshelf_entry import ports
from nutmegshelf_platform import fleet, transport

KEY = "servers//w0"
ENTRY = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 64_000, "memMb": 131_072, "gpu": 0},
    "labels": ["a", "r1-1"],
    "machine": "m-1",
    "born": 1_796_602_384_761,
    "clockMs": 1_000,
    "sequence": 4,
}
DEPTH = 5_000
MAX_STORED_NUMBER = 2**63 - 1
EXAMPLES = 400
FAULTS = {
    "is nested 5,000 deep": DEPTH * b"[" + DEPTH * b"]",
    "is nested in an unknown field": b'{"more":' + DEPTH * b"[" + DEPTH * b"]" + b"}",
    "is no JSON": b"\xff\x00",
    "has 4,000 digits": json.dumps({**ENTRY, "born": 0}).replace("0}", "9" * 4_000 + "}").encode(),
    "is empty": b"",
}


def encode(entry):
    return json.dumps(entry).encode()


class Rows:
    """A table whose snapshot never changes."""

    def __init__(self, rows):
        self.rows = rows

    async def wait_for_changes(self, kind, after, wait_s):
        if after:
            await asyncio.sleep(wait_s)
            return ports.RowChanges((), after, 0.0)
        return ports.RowChanges(tuple(self.rows), 1, 0.0, is_snapshot=True)


@behave.given("a table of workers with {count:d} workers and an entry that {fault}")
def make_table(context, count, fault):
    rows = [
        platform.Row(f"servers//w{number}", 1, encode({**ENTRY, "machine": f"m-{number}"}))
        for number in range(count)
    ]
    context.rows = Rows([rows[0], platform.Row("servers//agent-7", 1, FAULTS[fault]), *rows[1:]])


@behave.when("the workers are watched for {seconds:g} s")
def watch(context, seconds):
    context.lists = []

    async def run():
        async for workers in fleet.watch_fleet(context.rows):
            context.lists.append(workers)

    async def run_for():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(run(), seconds)

    asyncio.run(run_for())


class Changes(Rows):
    """A table whose rows change once, in one answer."""

    def __init__(self, rows, changes):
        super().__init__(rows)
        self.changes = changes

    async def wait_for_changes(self, kind, after, wait_s):
        if after == 1:
            return ports.RowChanges(tuple(self.changes), 2, 0.0)
        return await super().wait_for_changes(kind, after, wait_s)


ADDRESSES = {"x": "10.0.0.1:80", "a": "10.0.0.2:80", "false": "10.0.0.3:80"}


@behave.given("a table whose next changes are rows of one worker at {names}")
def make_changing_table(context, names):
    rows = [
        platform.Row(KEY, 2, encode({**ENTRY, "address": ADDRESSES[name]}))
        for name in names.split(", ")
    ]
    context.rows = Changes([platform.Row(KEY, 1, encode(ENTRY))], rows)


@behave.then("the addresses yielded were {names}")
def check_addresses(context, names):
    yielded = [facts.address for (facts,) in context.lists]
    assert yielded == [ADDRESSES[name] for name in names.split(", ")], yielded


@behave.then("the {count:d} workers are known, and the watch has not ended")
def check_known(context, count):
    (workers,) = context.lists
    assert [facts.host for facts in workers] == [f"m-{number}" for number in range(count)], workers


@behave.given("the entry of a worker")
def make_entry(context):
    context.key, context.entry = KEY, dict(ENTRY)
    assert fleet.decode_worker(platform.Row(KEY, 1, encode(ENTRY))) is not None


@behave.when("the entry has {value} as its {field}")
def change_field(context, field, value):
    if field == "key":
        context.key = json.loads(value)
    elif value == "missing":
        del context.entry[field]
    else:
        context.entry[field] = json.loads(value)


@behave.then("it names no worker")
def check_ignored(context):
    facts = fleet.decode_worker(platform.Row(context.key, 1, encode(context.entry)))
    assert facts is None, facts


@behave.then('it doesn\'t name the worker "{worker}"')
def check_other(context, worker):
    facts = fleet.decode_worker(platform.Row(context.key, 1, encode(context.entry)))
    assert facts is None or facts.incarnation.worker != worker, facts


def check_usable(key, value):
    """Fail unless a row names no worker, or one that can be stored, called and counted with."""
    facts = fleet.decode_worker(platform.Row(key, 1, value))
    if facts is None:
        return
    stored = codecs.pack([(facts.incarnation, facts.host)])
    assert len(stored) < 1_000, stored
    assert codecs.unpack(stored, list[tuple[fleetview.Incarnation, str]])
    transport.ServiceClient(facts.address).close()
    assert facts.incarnation.worker.isascii() and facts.incarnation.worker.isprintable()
    amounts = (facts.cpu_millis, facts.memory_mb, facts.accelerators, facts.left_ms or 0)
    assert all(0 <= amount * 10_000 <= MAX_STORED_NUMBER for amount in amounts), facts
    assert facts.service and facts.host and facts.zone and facts.rack, facts


def make_json():
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats(allow_nan=False)
        | strategies.text(max_size=300)
        | strategies.sampled_from(["ready", "draining", "1.2.3.4:5", "x", "", "\ud800", "\n"])
    )
    return strategies.recursive(
        scalars,
        lambda inner: strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.sampled_from(["cpu", "memMb", "gpu"]), inner),
        max_leaves=8,
    )


@behave.then(
    "any bytes, and any change of an entry, name no worker or one that can be stored and called"
)
def check_any(context):
    @hypothesis.seed(context.seed)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=200), strategies.binary(max_size=400))
    def check_bytes(name, value):
        check_usable(f"servers//{name}", value)

    @hypothesis.seed(context.seed)
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.given(
        strategies.text(max_size=200),
        strategies.dictionaries(strategies.sampled_from([*ENTRY, "remainingMs"]), make_json()),
        strategies.sets(strategies.sampled_from(list(ENTRY))),
    )
    def check_changed(name, changes, missing):
        entry = {key: value for key, value in {**ENTRY, **changes}.items() if key not in missing}
        check_usable(f"servers//{name or 'w'}", encode(entry))

    check_bytes()
    check_changed()
