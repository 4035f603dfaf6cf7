"""Steps that run small deployments as real processes."""

import asyncio
import contextlib
import io
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import behave
from nutmegshelf import codecs
from nutmegshelf_http import client
from nutmegshelf_standins import caller, demo, platform, process

_CALLERS = 6


@behave.when('the tiny demo of "{example}" has run')
def run_tiny(context, example):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.code = context.run(demo.run(demo.EXAMPLES / example, context.seed, demo.TINY))
    context.output = output.getvalue()


@behave.then("it reports no violated guarantee and leaves no process behind")
def check_tiny(context):
    assert context.code == 0, context.output
    assert " 0 lost, 0 doubled, 0 cut short" in context.output, context.output


class _RunningDeployment:
    """A deployment whose callers send requests until the verdict is taken."""

    def __init__(self, example, seed):
        self.group = process.Group()
        self.site = demo.Deployment(self.group, demo.EXAMPLES / example, seed, folder="paused")
        self.tasks = []

    async def start(self, entries, seed):
        await self.site.start(entries, minions_per_service=1)
        ports = [entry.callers for entry in self.site.ports.values()]
        self.calls = caller.Caller(ports, random.Random(seed))
        paths = demo.get_keyed_paths(self.site.declared)
        self.callers = demo.LoadGenerator(self.calls, paths, seed)
        self.tasks = [
            asyncio.ensure_future(self.callers.run_caller(number, 1)) for number in range(_CALLERS)
        ]

    async def set_faults(self, faults):
        platform_client = client.Client("127.0.0.1", self.site.platform_port)
        await platform_client.request("PUT", "/control/faults", codecs.pack(faults))
        platform_client.close()

    async def get_verdict(self):
        self.callers.stop_requested.set()
        await asyncio.gather(*self.tasks)
        return caller.summarize(self.calls.call_records, await self.site.collect_records())

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.group.aclose()


@behave.given('a deployment of "{example}" with {entries:d} entries and active callers')
def start_deployment(context, example, entries):
    context.running = _RunningDeployment(example, context.seed)
    context.cleanup.append(context.running.close)
    context.run(context.running.start(entries, context.seed))


@behave.when('the entry "{name}" is paused for {seconds:d} s')
def pause_entry(context, name, seconds):
    entry = context.running.site.entries[name]
    entry.send_signal(signal.SIGSTOP)
    context.run(asyncio.sleep(seconds))
    entry.send_signal(signal.SIGCONT)


@behave.when("the platform is down for {seconds:d} s")
def platform_down(context, seconds):
    async def main():
        await context.running.set_faults(platform.Faults(down=True))
        count_before = len(context.running.calls.call_records)
        await asyncio.sleep(seconds)
        calls_during_outage = context.running.calls.call_records[count_before:]
        assert any(done.result is caller.Result.COMPLETE for done in calls_during_outage)
        await context.running.set_faults(platform.Faults())

    context.run(main())


@behave.when('the entry "{name}" gets SIGTERM')
def stop_entry(context, name):
    running = context.running
    running.site.entries[name].send_signal(signal.SIGTERM)
    context.run(asyncio.sleep(0.3))
    running.calls.ports.remove(running.site.ports[name].callers)


@behave.then('the entry "{name}" exits with {code:d}')
def check_exit(context, name, code):
    exit_code = context.run(context.running.site.entries[name].wait())
    assert exit_code == code, exit_code


@behave.then("the outcome of every request matches the records of its minion")
def check_verdict(context):
    verdict = context.run(context.running.get_verdict())
    assert verdict.is_consistent and verdict.complete, str(verdict)


@behave.then("no process of the deployment is left")
def check_left(context):
    context.run(context.running.group.aclose())
    assert not context.running.group.list_running()


def list_descendants(pid):
    """Return all descendant processes of a process."""
    pids = []
    for task in pathlib.Path(f"/proc/{pid}/task").glob("*/children"):
        for child in map(int, task.read_text().split()):
            pids += [child, *list_descendants(child)]
    return pids


@behave.given('the bench "{name}" has started processes')
def start_bench(context, name):
    context.bench = subprocess.Popen(
        [sys.executable, "-m", "nutmegshelf_bench", name],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(context.bench.kill)
    deadline_s = time.monotonic() + 20
    while len(list_descendants(context.bench.pid)) < 8:
        assert time.monotonic() < deadline_s, list_descendants(context.bench.pid)
        time.sleep(0.1)
    context.started = list_descendants(context.bench.pid)


@behave.when("it gets SIGTERM")
def send_sigterm(context):
    context.bench.terminate()


@behave.then("within {seconds:g} s it and all of its descendants have ended")
def check_ended(context, seconds):
    context.bench.wait(seconds)
    remaining = [pid for pid in context.started if process.is_running(pid)]
    for pid in remaining:
        os.kill(pid, signal.SIGKILL)
    assert not remaining, remaining
