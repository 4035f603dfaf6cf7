"""Run the adapter as real processes against the stand-in, through kills, stops and reloads."""

import asyncio
import json
import signal
import time

import behave
from nutmegshelf import jobs
from nutmegshelf_http import client

from features import jobsite, platformsite
from features.steps import platform_steps


@behave.when("an entry starts with settings without a store")
def start_badly(context):
    async def run():
        process = platformsite.EntryProcess("e0", 1)
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
        await platform_steps.make_platform(context, workers)
        # Callers reach the entries by address here, so the queue's host is the address's.
        config = json.loads(json.dumps(platformsite.CONFIG))
        config["routes"][0]["host"] = "127.0.0.1"
        context.platform.write("op//config", json.dumps(config).encode())
        context.processes = [
            platformsite.EntryProcess(f"e{number}", context.platform.port)
            for number in range(entries)
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
    context.world.jobs[job] = jobsite.job(number, steps)

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
    assert not context.world.violations, context.world.violations
    assert set(context.world.starts.values()) == {1}, context.world.starts
