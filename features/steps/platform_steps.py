"""Check the adapter against a stand-in that speaks the platform's protocol over loopback."""

import json
import time

import behave
import msgspec
from nutmegshelf import exceptions, fleetview, jobs, orders, platform, timeouts
from nutmegshelf_platform import codec, fleet, minions, operators, store

from features import jobworld, platformsite

STEP = {
    "count": 2,
    "cpu": 500,
    "memMb": 256,
    "gpu": 1,
    "estimateMs": 900,
    "after": [0],
    "checkpointing": True,
    "gang": True,
    "sameRack": True,
    "requirements": "a",
    "affinity": "r1-3",
    "antiAffinity": 3,
    "speculative": True,
    "longRunning": True,
    "image": "i",
    "targetMs": 70,
    "fills": True,
    "mayMiss": 4,
}


async def make_platform(context, workers=1):
    context.world = jobworld.World({"a": workers})
    context.platform = platformsite.PlatformServer(context.world)
    await context.platform.start()
    context.cleanup.append(context.platform.server.close)
    context.platform.publish()
    context.store = store.Store(f"127.0.0.1:{context.platform.port}")


@behave.given("the platform's stand-in")
def start_platform(context):
    context.run(make_platform(context))


@behave.when("{count:d} rows are written one by one through the adapter")
def write_rows(context, count):
    async def write():
        for number in range(count):
            change = platform.Write(f"jobs/a/k{number}", b"v%d" % number)
            await context.store.commit(platform.Transaction(writes=(change,)))

    context.run(write())


@behave.then("a scan gives all {count:d} rows")
def check_scan(context, count):
    rows = context.run(context.store.scan("jobs/a/"))
    assert [row.value for row in rows] == [b"v%d" % number for number in range(count)], rows


@behave.then("a change under an old version is refused with the row's present version")
def check_condition(context):
    change = platform.Transaction(
        conditions=(platform.Condition("jobs/a/k0", 0),),
        writes=(platform.Write("jobs/a/k0", b"x"),),
    )
    done = context.run(context.store.commit(change))
    row = context.run(context.store.read("jobs/a/k0"))
    assert not done.ok and done.rows == (row,) and row.value == b"v0", done


@behave.then("a watch gives the next change, also after the history was forgotten")
def check_watch(context):
    async def watch():
        first = await context.store.wait_for_changes("jobs", 0, 1.0)
        assert first.is_snapshot and len(first.rows) == 7, first
        context.platform.write("jobs/a/new", b"n")
        found = await context.store.wait_for_changes("jobs", first.version, 1.0)
        assert [row.key for row in found.rows] == ["jobs/a/new"], found
        context.platform.forgets = True
        again = await context.store.wait_for_changes("jobs", found.version, 1.0)
        assert again.is_snapshot and len(again.rows) == 8, again

    context.run(watch())


@behave.given("a limit of calls between {least_s:g} s and {most_s:g} s")
def make_limit(context, least_s, most_s):
    context.times = timeouts.AdaptiveTimeout(least_s, most_s)


@behave.when('answers took "{took}" s')
@behave.when('answers took "" s')
def take_times(context, took=""):
    for one in took.split():
        if one == "lost":
            context.times.record_timeout()
        else:
            context.times.record_answer(float(one))


@behave.then("the limit is {limit_s:g} s")
def check_limit(context, limit_s):
    assert abs(context.times.timeout_s - limit_s) < 0.01, context.times.timeout_s


@behave.when("the store answers no more")
def silence_store(context):
    context.platform.silent.add("/v1/rows-tx")


@behave.when(
    "the store takes {seconds:g} s for its next {count:d} answers and refuses {refused:d} calls "
    "in between"
)
def slow_store(context, seconds, count, refused):
    context.platform.late["/v1/rows-tx"] = seconds
    # The first slow answer comes after the limit, which then grows.
    check_commit(context, "TableAnswerLost")
    context.platform.late.clear()
    for _ in range(refused):
        set_status(context, 429)
        check_commit(context, "TableUnavailable")
    context.platform.faults.clear()
    context.platform.late["/v1/rows-tx"] = seconds


@behave.then("the second of them is waited for")
def check_waited(context):
    check_commit(context, "no error")


@behave.then("a commit ends with {error} within {seconds:g} s")
def check_commit_soon(context, error, seconds):
    began_s = time.monotonic()
    check_commit(context, error)
    assert time.monotonic() - began_s < seconds, time.monotonic() - began_s


@behave.when("the store answers {status:d}")
def set_status(context, status):
    context.platform.faults["/v1/rows-tx"] = (status, {})


@behave.then("a commit ends with {error}")
def check_commit(context, error):
    change = platform.Transaction(writes=(platform.Write("jobs/a/k", b"v"),))
    try:
        context.run(context.store.commit(change))
        found = "no error"
    except exceptions.TableError as fault:
        found = type(fault).__name__
    assert found == error, found


@behave.when('workers answer {status:d} "{reason}" to a start')
@behave.when('workers answer {status:d} "" to a start')
def set_answer(context, status, reason=""):
    answer = {"clockMs": 1, **({"reason": reason} if reason else {})}
    context.platform.faults["/v1/run-start"] = (status, answer)


@behave.then("the start ends as {outcome}")
def check_start(context, outcome):
    (minion,) = context.world.minions.values()
    facts = fleet.decode_worker(
        context.world.table.read(f"servers//{minion.facts.incarnation.worker}")
    )
    key = jobs.TaskKey("f" * 16, 0, 0, 0)
    order = orders.StartRun(facts.incarnation, key, 1, "s", "")
    call = minions.WorkerClient().start(facts, order, fencing_token=1, valid_until_ms=10**9)
    try:
        refusal = context.run(call)
        found = refusal.name if isinstance(refusal, orders.Refusal) else "started"
    except exceptions.WorkerError as fault:
        found = type(fault).__name__
    assert found == outcome, found


@behave.when("an entry is {fault}")
def spoil_entry(context, fault):
    entry = {
        "service": "a",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "memMb": 1},
        "labels": ["a", "r"],
        "machine": "m",
        "born": 5,
    }
    good = platform.Row("servers//w", 1, json.dumps(entry).encode())
    assert fleet.decode_worker(good).incarnation == fleetview.Incarnation("w", 5)
    match fault:
        case "not JSON":
            value = b"\xff\x00"
        case "without an address":
            value = json.dumps({key: entry[key] for key in entry if key != "address"}).encode()
        case "in an unknown state":
            value = json.dumps({**entry, "state": "odd"}).encode()
        case "of another type":
            value = json.dumps({**entry, "capacity": 7}).encode()
    context.facts = fleet.decode_worker(platform.Row("servers//w", 1, value))


@behave.then("it names no worker")
def check_no_worker(context):
    assert context.facts is None, context.facts


def queue():
    config = operators.decode_configuration(json.dumps(platformsite.CONFIG).encode())
    return config.queues[0]


@behave.when("a configuration is {fault}")
def spoil_configuration(context, fault):
    config = platformsite.CONFIG
    assert operators.decode_configuration(json.dumps(config).encode()).version == 3
    match fault:
        case "cut off":
            data = json.dumps(config).encode()[:-9]
        case "of another type":
            data = json.dumps({**config, "version": "3"}).encode()
        case _:
            name = {"routes": "routes", "services": "services"}.get(fault.split()[1], "version")
            data = json.dumps({key: one for key, one in config.items() if key != name}).encode()
    try:
        context.configuration = operators.decode_configuration(data)
    except msgspec.DecodeError:
        context.configuration = None


@behave.then("no configuration is read")
def check_no_configuration(context):
    assert context.configuration is None, context.configuration


@behave.when("a job with every field is read")
def read_job(context):
    body = {"spec": "s", "steps": [{"count": 1}, STEP], "times": 3, "startAtMs": 9, "intervalMs": 2}
    context.job = codec.PlatformCodec().decode_job(json.dumps(body).encode(), "f" * 16, queue(), 77)


@behave.then("each field stands where it belongs")
def check_fields(context):
    expected = jobs.Step(
        count=2,
        cpu_millis=500,
        memory_mb=256,
        accelerators=1,
        estimate_ms=900,
        after=(0,),
        checkpointing=True,
        gang=True,
        same_rack=True,
        label="a",
        data_rack="r1-3",
        max_per_worker=3,
        speculative=True,
        long_running=True,
        image="i",
        target_ms=70,
        fills=True,
        may_miss=4,
    )
    assert context.job.steps[1] == expected, context.job
    found = (context.job.occurrences, context.job.due_ms(2), context.job.accepted_ms)
    assert found == (3, 13, 77), found


@behave.when("a job body is {fault}")
def read_bad_job(context, fault):
    body = {
        "not JSON": b"{",
        "without steps": b'{"spec":"s"}',
        "with text counts": b'{"spec":"s","steps":[{"count":"x"}]}',
    }[fault]
    try:
        codec.PlatformCodec().decode_job(body, "f" * 16, queue(), 0)
        context.error = None
    except exceptions.RequestError as error:
        context.error = error


@behave.then("it is refused with {status:d}")
def check_refused(context, status):
    assert context.error is not None and context.error.response.status == status, context.error
