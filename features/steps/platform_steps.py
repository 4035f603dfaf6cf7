"""Check the adapter against a stand-in that speaks the platform's protocol over loopback."""

import asyncio
import json
import signal
import time

import behave
from nutmegshelf import exceptions, fleetview, jobs, orders, platform, timeouts
from nutmegshelf_http import client
from nutmegshelf_platform import fleet, ingress, minions, operators, store

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
    context.platform = platformsite.Platform(context.world)
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
        first = await context.store.changes("jobs", 0, 1.0)
        assert first.is_whole and len(first.rows) == 7, first
        context.platform.write("jobs/a/new", b"n")
        found = await context.store.changes("jobs", first.version, 1.0)
        assert [row.key for row in found.rows] == ["jobs/a/new"], found
        context.platform.forgets = True
        again = await context.store.changes("jobs", found.version, 1.0)
        assert again.is_whole and len(again.rows) == 8, again

    context.run(watch())


@behave.given("a limit of calls between {least_s:g} s and {most_s:g} s")
def make_limit(context, least_s, most_s):
    context.times = timeouts.AnswerTimes(least_s, most_s)


@behave.when('answers took "{took}" s')
@behave.when('answers took "" s')
def take_times(context, took=""):
    for one in took.split():
        if one == "lost":
            context.times.expired()
        else:
            context.times.answered(float(one))


@behave.then("the limit is {limit_s:g} s")
def check_limit(context, limit_s):
    assert abs(context.times.limit_s - limit_s) < 0.01, context.times.limit_s


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
    facts = fleet.read_entry(context.world.table.read(f"servers//{minion.facts.life.worker}"))
    key = jobs.TaskKey("f" * 16, 0, 0, 0)
    order = orders.StartRun(facts.life, key, 1, "s", "", "q")
    call = minions.Minions().start(facts, order, fence=1, until_ms=10**9)
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
    assert fleet.read_entry(good).life == fleetview.Life("w", 5)
    match fault:
        case "not JSON":
            value = b"\xff\x00"
        case "without an address":
            value = json.dumps({key: entry[key] for key in entry if key != "address"}).encode()
        case "in an unknown state":
            value = json.dumps({**entry, "state": "odd"}).encode()
        case "of another type":
            value = json.dumps({**entry, "capacity": 7}).encode()
    context.facts = fleet.read_entry(platform.Row("servers//w", 1, value))


@behave.then("it names no worker")
def check_no_worker(context):
    assert context.facts is None, context.facts


def queue():
    config = operators.read_configuration(json.dumps(platformsite.CONFIG).encode())
    return config.queues[0]


@behave.when("a job with every field is read")
def read_job(context):
    body = {"spec": "s", "steps": [{"count": 1}, STEP], "times": 3, "startAtMs": 9, "intervalMs": 2}
    context.job = ingress.Ingress().read_job(json.dumps(body).encode(), "f" * 16, queue(), 77)


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
        lasting=True,
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
        ingress.Ingress().read_job(body, "f" * 16, queue(), 0)
        context.error = None
    except exceptions.RequestError as error:
        context.error = error


@behave.then("it is refused with {status:d}")
def check_refused(context, status):
    assert context.error is not None and context.error.answer.status == status, context.error


@behave.when("an entry starts with settings without a store")
def start_badly(context):
    async def run():
        process = platformsite.Process("e0", 1)
        del process.settings["platform"]
        await process.start()
        context.code = await asyncio.wait_for(process.child.wait(), 20)
        context.said = (process.folder / "log").read_text()

    context.run(run())


@behave.then("it ends with {code:d} and names the field")
def check_bad_start(context, code):
    assert context.code == code and "platform" in context.said, (context.code, context.said)


async def call(process, method, path, body=b""):
    link = client.Client("127.0.0.1", process.callers)
    try:
        async with asyncio.timeout(3):
            answer = await link.request(method, path, body, [(b"x-deadline-ms", b"3000")])
        return answer.status, json.loads(answer.body or b"{}")
    except (OSError, TimeoutError) as error:
        return 0, repr(error)
    finally:
        link.close()


async def until(limit_s, check, what):
    until_s = time.monotonic() + limit_s
    while True:
        found = await check()
        if found is True:
            return
        assert time.monotonic() < until_s, f"{what}: {found}"
        await asyncio.sleep(0.1)


@behave.given(
    "the platform's stand-in with {workers:d} workers and {entries:d} entries as processes"
)
def start_processes(context, workers, entries):
    async def start():
        await make_platform(context, workers)
        # Callers reach the entries by address here, so the queue's host is the address's.
        config = json.loads(json.dumps(platformsite.CONFIG))
        config["routes"][0]["host"] = "127.0.0.1"
        context.platform.write("op//config", json.dumps(config).encode())
        context.processes = [
            platformsite.Process(f"e{number}", context.platform.port) for number in range(entries)
        ]
        for process in context.processes:
            context.cleanup.append(process.end)
            await process.start()
        context.publishing = asyncio.ensure_future(keep_publishing(context))

        async def ready():
            found = [await call(one, "GET", "/jobs/") for one in context.processes]
            return all(status == 200 for status, _ in found) or found

        await until(15, ready, "ready")

    async def stop_publishing():
        context.publishing.cancel()

    context.run(start())
    context.cleanup.append(stop_publishing)


async def keep_publishing(context):
    while True:
        context.platform.publish()
        await asyncio.sleep(0.1)


async def hand_in(context, number, process):
    job = f"{number:016x}"
    body = {
        "spec": "s",
        "steps": [{"count": 2, "cpu": 1000}, {"count": 2, "cpu": 1000, "after": [0]}],
    }
    steps = (jobs.Step(count=2, cpu_millis=1000), jobs.Step(count=2, cpu_millis=1000, after=(0,)))
    context.world.jobs[job] = jobworld.job(number, steps)

    async def accepted():
        found = await call(process, "POST", f"/jobs/{job}", json.dumps(body).encode())
        return found[0] == 200 or found

    await until(10, accepted, "accepted")
    return job


@behave.when("a job is handed in over HTTP at the first entry")
def hand_in_first(context):
    context.ids = [context.run(hand_in(context, 1, context.processes[0]))]


def is_done(processes, job):
    async def check():
        found = [await call(one, "GET", f"/jobs/{job}") for one in processes]
        return all(one == (200, {"state": "succeeded"}) for one in found) or found

    return check


@behave.then("within {seconds:g} s its state is succeeded at both entries")
def check_both(context, seconds):
    context.run(until(seconds, is_done(context.processes, context.ids[-1]), "states"))


@behave.then("the metrics count the requests and the runs")
def check_metrics(context):
    async def read():
        link = client.Client("127.0.0.1", context.processes[0].metrics)
        answer = await link.request("GET", "/metrics")
        link.close()
        return answer.body.decode()

    text = context.run(read())
    for name in ("nutmegshelf_job_requests_total", "nutmegshelf_configuration_version"):
        assert name in text, text


@behave.then("SIGHUP with changed settings ends no entry")
def hang_up(context):
    async def run():
        for process in context.processes:
            process.settings["bounds"]["upkeepS"] = 5
            process.write_settings()
            process.child.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        for process in context.processes:
            assert process.child.returncode is None, process.name
            said = (process.folder / "log").read_text()
            assert "Settings were reloaded." in said and "upkeep_s" in said, said[-2000:]

    context.run(run())


@behave.then("an unknown job is answered 410, an unknown path 404 and the count is 0")
def check_others(context):
    async def ask():
        process = context.processes[1]
        assert (await call(process, "GET", "/jobs/00000000000000ff"))[0] == 410
        assert (await call(process, "GET", "/nowhere/"))[0] == 404
        assert await call(process, "GET", "/jobs/") == (200, {"pending": 0})

    context.run(ask())


@behave.when("the first entry is killed and a job is handed in at the second")
def kill_first(context):
    async def kill():
        await context.processes[0].end()
        context.ids.append(await hand_in(context, 2, context.processes[1]))

    context.run(kill())


@behave.then("within {seconds:g} s its state is succeeded at the second entry")
def check_second(context, seconds):
    context.run(until(seconds, is_done(context.processes[1:], context.ids[-1]), "states"))


@behave.when("the first entry is started again and the second gets SIGTERM")
def swap(context):
    async def run():
        await context.processes[0].start()

        async def ready():
            found = await call(context.processes[0], "GET", "/jobs/")
            return found[0] == 200 or found

        await until(15, ready, "ready")
        context.processes[1].child.send_signal(signal.SIGTERM)

    context.run(run())


@behave.then("the second ends with {code:d} within {seconds:g} s")
def check_end(context, code, seconds):
    found = context.run(asyncio.wait_for(context.processes[1].child.wait(), seconds))
    assert found == code, (found, (context.processes[1].folder / "log").read_text()[-3000:])


@behave.then("both jobs are shown as succeeded at the first entry")
def check_all(context):
    for job in context.ids:
        context.run(until(10, is_done(context.processes[:1], job), "states"))


@behave.then("no task ran twice")
def check_no_twice(context):
    assert not context.world.broken, context.world.broken
    assert set(context.world.starts.values()) == {1}, context.world.starts
