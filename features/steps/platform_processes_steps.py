"""Run entry processes against the platform's stand-in, with kills, restarts and reloads."""

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
def start_with_invalid_settings(context):
    async def run():
        process = platformsite.EntryProcess("e0", 1)
        del process.settings["platform"]
        await process.start()
        context.exit_code = await asyncio.wait_for(process.child.wait(), 20)
        context.log = (process.folder / "log").read_text()

    context.run(run())


@behave.then("it exits with {code:d} and names the field")
def check_failed_start(context, code):
    assert context.exit_code == code and "platform" in context.log, (context.exit_code, context.log)


async def call(process, method, path, body=b""):
    http_client = client.Client("127.0.0.1", process.callers_port)
    try:
        async with asyncio.timeout(3):
            response = await http_client.request(method, path, body, [(b"x-deadline-ms", b"3000")])
        return response.status, json.loads(response.body or b"{}")
    except (OSError, TimeoutError) as error:
        return 0, repr(error)
    finally:
        http_client.close()


async def wait_until(timeout_s, check, what):
    deadline_s = time.monotonic() + timeout_s
    while True:
        result = await check()
        if result is True:
            return
        assert time.monotonic() < deadline_s, f"{what}: {result}"
        await asyncio.sleep(0.1)


@behave.given(
    "the platform's stand-in with {workers:d} workers and {entries:d} entries as processes"
)
def start_processes(context, workers, entries, listen_for_entry=None):
    """Start entries, which reach the platform at its port or at ports of their own."""

    async def start():
        await platform_steps.make_platform(context, workers)
        ports = [context.platform.port] * entries
        if listen_for_entry is not None:
            ports = [await listen_for_entry(f"e{number}") for number in range(entries)]
        # Callers here use an entry's address as host name, so that the queue's host must match it.
        config = json.loads(json.dumps(platformsite.CONFIG))
        config["routes"][0]["host"] = "127.0.0.1"
        context.platform.write("op//config", json.dumps(config).encode())
        context.processes = [
            platformsite.EntryProcess(f"e{number}", port) for number, port in enumerate(ports)
        ]
        for process in context.processes:
            context.cleanup.append(process.stop)
            await process.start()
        context.publishing = asyncio.ensure_future(keep_publishing(context))

        async def are_ready():
            responses = [await call(process, "GET", "/jobs/") for process in context.processes]
            return all(status == 200 for status, _ in responses) or responses

        await wait_until(15, are_ready, "ready")

    async def stop_publishing():
        context.publishing.cancel()

    context.run(start())
    context.cleanup.append(stop_publishing)


async def keep_publishing(context):
    while True:
        context.platform.publish_workers()
        await asyncio.sleep(0.1)


async def submit_job(context, number, process):
    job = f"{number:016x}"
    body = {
        "spec": "s",
        "steps": [{"count": 2, "cpu": 1000}, {"count": 2, "cpu": 1000, "after": [0]}],
    }
    steps = (jobs.Step(count=2, cpu_millis=1000), jobs.Step(count=2, cpu_millis=1000, after=(0,)))
    context.world.jobs[job] = jobsite.job(number, steps)

    async def is_accepted():
        response = await call(process, "POST", f"/jobs/{job}", json.dumps(body).encode())
        return response[0] == 200 or response

    await wait_until(10, is_accepted, "accepted")
    return job


@behave.when("a job is submitted over HTTP to the first entry")
def submit_first_job(context):
    context.job_ids = [context.run(submit_job(context, 1, context.processes[0]))]


def make_succeeded_check(processes, job):
    async def check():
        responses = [await call(process, "GET", f"/jobs/{job}") for process in processes]
        return all(response == (200, {"state": "succeeded"}) for response in responses) or responses

    return check


@behave.then("within {seconds:g} s its state is succeeded at both entries")
def check_state_at_both(context, seconds):
    context.run(
        wait_until(seconds, make_succeeded_check(context.processes, context.job_ids[-1]), "states")
    )


@behave.then("the metrics count the requests and the runs")
def check_metrics(context):
    async def read():
        http_client = client.Client("127.0.0.1", context.processes[0].metrics_port)
        response = await http_client.request("GET", "/metrics")
        http_client.close()
        return response.body.decode()

    text = context.run(read())
    for name in ("nutmegshelf_job_requests_total", "nutmegshelf_configuration_version"):
        assert name in text, text


@behave.then("SIGHUP with changed settings reloads them in every entry")
def reload_settings(context):
    async def run():
        for process in context.processes:
            process.settings["bounds"]["upkeepS"] = 5
            process.write_settings()
            process.child.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        for process in context.processes:
            assert process.child.returncode is None, process.name
            log = (process.folder / "log").read_text()
            assert "Settings were reloaded." in log and "upkeep_s" in log, log[-2000:]

    context.run(run())


@behave.then("an unknown job gets status 410, an unknown path 404 and the count is 0")
def check_unknown_paths(context):
    async def check():
        process = context.processes[1]
        assert (await call(process, "GET", "/jobs/00000000000000ff"))[0] == 410
        assert (await call(process, "GET", "/nowhere/"))[0] == 404
        assert await call(process, "GET", "/jobs/") == (200, {"pending": 0})

    context.run(check())


@behave.when("the first entry is killed and a job is submitted to the second")
def kill_first_entry(context):
    async def kill():
        await context.processes[0].stop()
        context.job_ids.append(await submit_job(context, 2, context.processes[1]))

    context.run(kill())


@behave.then("within {seconds:g} s its state is succeeded at the second entry")
def check_state_at_second(context, seconds):
    context.run(
        wait_until(
            seconds, make_succeeded_check(context.processes[1:], context.job_ids[-1]), "states"
        )
    )


@behave.when("the first entry is started again and the second gets SIGTERM")
def restart_first_and_stop_second(context):
    async def run():
        await context.processes[0].start()

        async def is_ready():
            response = await call(context.processes[0], "GET", "/jobs/")
            return response[0] == 200 or response

        await wait_until(15, is_ready, "ready")
        context.processes[1].child.send_signal(signal.SIGTERM)

    context.run(run())


@behave.then("the second exits with {code:d} within {seconds:g} s")
def check_exit_code(context, code, seconds):
    exit_code = context.run(asyncio.wait_for(context.processes[1].child.wait(), seconds))
    assert exit_code == code, (exit_code, (context.processes[1].folder / "log").read_text()[-3000:])


@behave.then("both jobs are shown as succeeded at the first entry")
def check_all_jobs(context):
    for job in context.job_ids:
        context.run(wait_until(10, make_succeeded_check(context.processes[:1], job), "states"))


@behave.then("no task ran twice")
def check_single_starts(context):
    assert not context.world.violations, context.world.violations
    assert set(context.world.starts.values()) == {1}, context.world.starts
