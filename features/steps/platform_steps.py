"""Check the platform adapter against a stand-in of the platform on the loopback interface."""

import asyncio
import contextlib
import dataclasses
import json
import re
import time

import behave
import msgspec
from nutmegshelf import exceptions, fleetview, jobs, orders, platform, rebalancing, timeouts
from nutmegshelf_http import server
from nutmegshelf_platform import cloud, codec, fleet, minions, operators, store

from features import jobsite, jobworld, platformsite

STEP_BODY = {
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
    context.platform.publish_workers()
    context.store = store.Store(f"127.0.0.1:{context.platform.port}")


@behave.given("the platform's stand-in")
def start_platform(context):
    context.run(make_platform(context))


@behave.when("{count:d} rows are written one by one through the adapter")
def write_rows(context, count):
    async def write_all():
        for number in range(count):
            write = platform.Write(f"jobs/a/k{number}", b"v%d" % number)
            await context.store.commit(platform.Transaction(writes=(write,)))

    context.run(write_all())


@behave.then("a scan returns all {count:d} rows")
def check_scan(context, count):
    rows = context.run(context.store.scan("jobs/a/"))
    assert [row.value for row in rows] == [b"v%d" % number for number in range(count)], rows


@behave.then("a write with an outdated version condition is refused with the current row")
def check_condition(context):
    transaction = platform.Transaction(
        conditions=(platform.Condition("jobs/a/k0", 0),),
        writes=(platform.Write("jobs/a/k0", b"x"),),
    )
    result = context.run(context.store.commit(transaction))
    row = context.run(context.store.read("jobs/a/k0"))
    assert not result.ok and result.rows == (row,) and row.value == b"v0", result


@behave.then("a watch returns the next change, also after the store has dropped its history")
def check_watch(context):
    async def watch():
        first = await context.store.wait_for_changes("jobs", None, 1.0)
        assert first.is_snapshot and len(first.rows) == 7, first
        context.platform.write("jobs/a/new", b"n")
        change = await context.store.wait_for_changes("jobs", first.version, 1.0)
        assert [row.key for row in change.rows] == ["jobs/a/new"], change
        context.platform.drops_history = True
        snapshot = await context.store.wait_for_changes("jobs", change.version, 1.0)
        assert snapshot.is_snapshot and len(snapshot.rows) == 8, snapshot

    context.run(watch())


@behave.given("an adaptive timeout between {min_s:g} s and {max_s:g} s")
def make_timeout(context, min_s, max_s):
    context.timeout = timeouts.AdaptiveTimeout(min_s, max_s)


@behave.when('responses took "{took}" s')
@behave.when('responses took "" s')
def record_response_times(context, took=""):
    for duration_s in took.split():
        if duration_s == "lost":
            context.timeout.record_timeout()
        else:
            context.timeout.record_answer(float(duration_s))


@behave.then("the timeout is {timeout_s:g} s")
def check_timeout(context, timeout_s):
    assert abs(context.timeout.timeout_s - timeout_s) < 0.01, context.timeout.timeout_s


@behave.when("the store stops responding")
def silence_store(context):
    context.platform.unresponsive_paths.add("/v1/rows-tx")


@behave.when(
    "the store takes {seconds:g} s for each of {count:d} responses and refuses {refused:d} calls "
    "in between"
)
def delay_store(context, seconds, count, refused):
    context.platform.delays_s["/v1/rows-tx"] = seconds
    # The first slow response arrives after the timeout, which then grows.
    check_commit(context, "TableAnswerLost")
    context.platform.delays_s.clear()
    for _ in range(refused):
        set_status(context, 429)
        check_commit(context, "TableUnavailable")
    context.platform.fault_responses.clear()
    context.platform.delays_s["/v1/rows-tx"] = seconds


@behave.then("the second slow response arrives within the timeout")
def check_second_response(context):
    check_commit(context, "no error")


@behave.then("a commit raises {error} within {seconds:g} s")
def check_commit_soon(context, error, seconds):
    started_s = time.monotonic()
    check_commit(context, error)
    assert time.monotonic() - started_s < seconds, time.monotonic() - started_s


@behave.when("the store returns status {status:d}")
def set_status(context, status):
    context.platform.fault_responses["/v1/rows-tx"] = (status, {})


@behave.then("a commit raises {error}")
def check_commit(context, error):
    transaction = platform.Transaction(writes=(platform.Write("jobs/a/k", b"v"),))
    try:
        context.run(context.store.commit(transaction))
        raised = "no error"
    except exceptions.TableError as table_error:
        raised = type(table_error).__name__
    assert raised == error, raised


@behave.given("a store that sends a second answer, of status 503, {seconds:g} s after its first")
def start_talkative_store(context, seconds):
    unasked = [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"]
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"ver":5}'

    async def respond(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = re.search(rb"content-length: (\d+)", head.lower())
                await reader.readexactly(int(size[1]))
                late = unasked.pop() if unasked else b""
                writer.write(answer + (b"" if seconds else late))
                await asyncio.sleep(seconds)
                writer.write(late if seconds else b"")
        writer.close()

    async def start():
        listener = await asyncio.start_server(respond, "127.0.0.1", 0)
        context.store = store.Store(f"127.0.0.1:{listener.sockets[0].getsockname()[1]}")

        async def close():
            context.store.close()
            listener.close()
            # The handlers of the connections end.
            await asyncio.sleep(0.05)

        context.cleanup.append(close)

    context.run(start())


@behave.then("{count:d} commits over kept connections raise no error")
def check_commits(context, count):
    for _ in range(count):
        check_commit(context, "no error")
        # Whatever the store sends without being asked arrives meanwhile.
        context.run(asyncio.sleep(0.2))


@behave.when('workers return status {status:d} "{reason}" to a start')
@behave.when('workers return status {status:d} "" to a start')
def set_start_response(context, status, reason=""):
    body = {"clockMs": 1, **({"reason": reason} if reason else {})}
    context.platform.fault_responses["/v1/run-start"] = (status, body)


@behave.then("the start results in {outcome}")
def check_start(context, outcome):
    (minion,) = context.world.minions.values()
    facts = fleet.decode_worker(
        context.world.table.read(f"servers//{minion.facts.incarnation.worker}")
    )
    key = jobs.TaskKey("f" * 16, 0, 0, 0)
    order = orders.StartRun(facts.incarnation, key, 1, "s", "")
    call = minions.WorkerClient().start(facts, order, fencing_token=1, valid_until_ms=10**9)
    try:
        answer = context.run(call)
        result = answer.refusal.name if answer.refusal is not None else "started"
    except exceptions.WorkerError as worker_error:
        result = type(worker_error).__name__
    assert result == outcome, result


@behave.when('the host service returns status {status:d} "{reason}" to a move')
@behave.when('the host service returns status {status:d} "" to a move')
def set_move_response(context, status, reason=""):
    context.platform.fault_responses["/v1/machine-move"] = (status, {"reason": reason})


@behave.then("the move results in {outcome}")
def check_move(context, outcome):
    address = f"127.0.0.1:{context.platform.port}"
    move = rebalancing.Move("m", "a", "b", "idle")

    async def send():
        return await cloud.HostClient(address, context.store, "e0").move(move, 1)

    try:
        result = context.run(send()).name
    except exceptions.HostsError as hosts_error:
        result = type(hosts_error).__name__
    assert result == outcome, result


@behave.when("a worker row is {fault}")
def decode_malformed_worker(context, fault):
    worker = {
        "service": "a",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "coldRemainingMs": 0,
        "sequence": 4,
        "state": "ready",
        "capacity": {"cpu": 1, "memMb": 1, "gpu": 0},
        "labels": ["a", "r"],
        "machine": "m",
        "born": 5,
        "clockMs": 1000,
    }
    valid_row = platform.Row("servers//w", 1, json.dumps(worker).encode())
    assert fleet.decode_worker(valid_row).incarnation == fleetview.Incarnation("w", 5)
    match fault:
        case "not JSON":
            value = b"\xff\x00"
        case "without an address":
            value = json.dumps({key: worker[key] for key in worker if key != "address"}).encode()
        case "in an unknown state":
            value = json.dumps({**worker, "state": "odd"}).encode()
        case "of another type":
            value = json.dumps({**worker, "capacity": 7}).encode()
    context.facts = fleet.decode_worker(platform.Row("servers//w", 1, value))


@behave.then("the row is ignored")
def check_row_ignored(context):
    assert context.facts is None, context.facts


def make_queue():
    config = operators.decode_configuration(json.dumps(platformsite.CONFIG).encode())
    return config.queues[0]


@behave.when("a configuration is {fault}")
def decode_malformed_configuration(context, fault):
    config = platformsite.CONFIG
    assert operators.decode_configuration(json.dumps(config).encode()).version == 3
    match fault:
        case "cut off":
            data = json.dumps(config).encode()[:-9]
        case "of another type":
            data = json.dumps({**config, "version": "3"}).encode()
        case _:
            name = {"routes": "routes", "services": "services"}.get(fault.split()[1], "version")
            data = json.dumps({key: value for key, value in config.items() if key != name}).encode()
    try:
        context.configuration = operators.decode_configuration(data)
    except msgspec.DecodeError:
        context.configuration = None


@behave.then("the configuration is rejected")
def check_configuration_rejected(context):
    assert context.configuration is None, context.configuration


@behave.when("a job with every field is decoded")
def decode_full_job(context):
    body = {
        "spec": "s",
        "steps": [{"count": 1}, STEP_BODY],
        "times": 3,
        "startAtMs": 9,
        "intervalMs": 2,
    }
    context.job = codec.PlatformCodec().decode_job(
        json.dumps(body).encode(), "f" * 16, make_queue(), 77
    )


@behave.then("each field has its submitted value")
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
    schedule = (context.job.occurrences, context.job.due_ms(2), context.job.accepted_ms)
    assert schedule == (3, 13, 77), schedule


@behave.when("a job body is {fault}")
def decode_malformed_job(context, fault):
    body = {
        "not JSON": b"{",
        "without steps": b'{"spec":"s"}',
        "with text counts": b'{"spec":"s","steps":[{"count":"x"}]}',
    }[fault]
    try:
        codec.PlatformCodec().decode_job(body, "f" * 16, make_queue(), 0)
        context.error = None
    except exceptions.RequestError as error:
        context.error = error


@behave.then("it is rejected with status {status:d}")
def check_rejected(context, status):
    assert context.error is not None and context.error.response.status == status, context.error


async def serve(answer, call):
    """Call a server whose answers are the given bodies; return the result, or the error's name."""

    async def respond(exchange):
        await exchange.respond(200, [(b"content-type", b"application/json")], answer())

    stand_in = server.Server(respond)
    address = f"127.0.0.1:{await stand_in.start('127.0.0.1', 0)}"
    try:
        return await call(address)
    except (exceptions.WorkerError, exceptions.HostsError) as raised:
        return type(raised).__name__
    finally:
        await stand_in.close()


async def poll(address):
    facts = dataclasses.replace(jobsite.worker_facts(), address=address)
    return await minions.WorkerClient().poll(
        facts, fencing_token=1, last_seen=0, lease_until_ms=1, wait_s=0.0, timeout_s=2.0
    )


@behave.then('a poll that is answered with {body} raises "{error}"')
def check_malformed_poll(context, body, error):
    raised = context.run(serve(body.encode, poll))
    assert raised == error, raised


@behave.then("a poll that returns {count:d} ends is {completeness}")
def check_completeness(context, count, completeness):
    ends = [[number + 1, "0.0.0.0", 1, "done", ""] for number in range(count)]
    body = json.dumps({"clockMs": 1, "finished": ends}).encode()
    result = context.run(serve(lambda: body, poll))
    assert result.is_complete == (completeness == "complete"), result.is_complete


@behave.then('a list of hosts {kind} gives "{outcome}"')
def check_hosts(context, kind, outcome):
    machine = {"machine": "m", "pool": "a", "state": "up"}
    bodies = {
        "in 2 parts": [{"machines": [machine], "nextToken": "t"}, {"machines": [machine]}],
        "with an empty token": [{"machines": [machine], "nextToken": ""}],
        "with a state that is not known": [{"machines": [{**machine, "state": "new"}]}],
    }[kind]
    pages = iter(bodies)

    async def list_hosts(address):
        hosts = await cloud.HostClient(address, None, "e0").list_hosts()
        return f"{len(hosts)} hosts"

    listed = context.run(serve(lambda: json.dumps(next(pages)).encode(), list_hosts))
    assert listed == outcome, listed


async def report_wave(context, wave, is_finished):
    address = f"127.0.0.1:{context.platform.port}"
    host_client = cloud.HostClient(address, context.store, "e0")
    await host_client.report_wave(wave, is_finished=is_finished)


@behave.when(
    "the store loses the answer to the report that wave {wave:d} runs, and carries it out "
    "{late_s:g} s later"
)
def report_late(context, wave, late_s):
    served = context.platform

    async def lose(data):
        asyncio.get_running_loop().call_later(late_s, served.commit, data)

    async def report():
        served.handle_transaction = lose
        try:
            await report_wave(context, wave, is_finished=False)
            raise AssertionError("the answer was not lost")
        except exceptions.TableAnswerLost:
            served.handle_transaction = served.handle_commit

    context.run(report())


@behave.when("the next report says that wave {wave:d} is done")
def report_done(context, wave):
    context.run(report_wave(context, wave, is_finished=True))


@behave.then('after {seconds:g} s wave {wave:d} is shown as "{state}"')
def check_wave_state(context, seconds, wave, state):
    async def read():
        await asyncio.sleep(seconds)
        return await context.store.read(f"status//wave/{wave}")

    shown = json.loads(context.run(read()).value)
    assert shown == {"state": state}, shown
