"""Serve the own interface over loopback in front of the fakes, and drive it by commands."""

import asyncio
import json
import re
import threading

import behave
from nutmegshelf import codecs, declarations, jobs, queues
from nutmegshelf_cli import main
from nutmegshelf_entry import job_codec, jobs_daemon
from nutmegshelf_http import client
from nutmegshelf_standins import process
from typer import testing

from features import jobsite, jobworld

HOST = "127.0.0.1"
DECLARED = """
[pools.a]
wanted_workers = 4
worker_cores = 16
worker_memory_gb = 64
[pools.spare]
wanted_workers = 1
worker_cores = 16
worker_memory_gb = 64
spare = true
[services.a]
pool = "a"
wanted_minions = 4
[services.spare]
pool = "spare"
wanted_minions = 1
[queues.q]
service = "a"
host = "127.0.0.1"
path_prefix = "/q/"
"""


class Served:
    """Own the entries' loop and its thread, so that commands can run beside them."""

    def __init__(self, names, workers):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.daemons = {}
        self.tasks = {}
        self.run(self._start(names, workers))

    def run(self, work):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    async def _start(self, names, workers):
        self.world = jobworld.World({"a": workers})
        self.site = jobsite.Site(self.world)
        declared = declarations.from_toml({"set.toml": DECLARED})
        self.world.declare(queues.build_queue_set(declared, 1))
        ports = process.free_ports(3 * len(names))
        for at, name in enumerate(names):
            own = self.site.settings(name, HOST, ports[3 * at : 3 * at + 3])
            daemon = jobs_daemon.JobDaemon(own, self.site.outside(own, job_codec.JobCodec()))
            await daemon.listen()
            self.daemons[name] = own, daemon
            self.tasks[name] = asyncio.ensure_future(daemon.service.run())
        until_s = self.loop.time() + 10
        while self.holder() is None or not self.holder()[1].is_loaded:
            assert self.loop.time() < until_s, "no entry holds the service"
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    def holder(self):
        for name, (_, daemon) in self.daemons.items():
            if (
                name in self.tasks
                and (held := daemon.service.lease_manager.get_holder("a")) is not None
            ):
                return name, held
        return None

    async def ask(self, name, method, path, body=b""):
        own, _ = self.daemons[name]
        link = client.Client(own.callers.host, own.callers.port)
        try:
            answer = await link.request(method, path, body)
        finally:
            link.close()
        return answer.status, answer.body.decode()

    async def end(self, name):
        self.site.views[name].is_partitioned = True
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.daemons[name][1].close()

    async def _stop(self):
        for name in list(self.tasks):
            await self.end(name)

    def close(self):
        self.run(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@behave.given(
    "{count:d} entries that serve the own interface over sockets, with {workers:d} workers"
)
def serve(context, count, workers):
    context.served = Served([f"e{number}" for number in range(count)], workers)
    context.world = context.served.world
    context.add_cleanup(context.served.close)
    context.number = 0


def ask(context, method, path, body=b""):
    names = list(context.served.tasks)
    name = names[context.number % len(names)]
    context.number += 1
    context.answer = context.served.run(context.served.ask(name, method, path, body))


def submission(cpu_millis, estimate_s, steps):
    step = {"count": 2, "cpu_millis": cpu_millis, "estimate_ms": int(1000 * estimate_s)}
    later = [{**step, "after": [at - 1]} for at in range(1, steps)]
    return json.dumps({"spec": "s", "steps": [step, *later]}).encode()


class AnyJob(dict):
    """Give the fakes the shape of any job that was submitted over sockets."""

    def __init__(self, table):
        super().__init__()
        self.table = table

    def __missing__(self, job):
        return codecs.unpack(self.table.read(jobs.job_key("a", job)).value, jobs.Job)


@behave.when('"{method}" "{path}" is asked with {steps:d} steps of {seconds:g} s')
def submit(context, method, path, steps, seconds):
    context.world.jobs = AnyJob(context.world.table)
    ask(context, method, path, submission(1000, seconds, steps))


@behave.when('"{method}" "{path}" is asked for a worker of {cores:d} cores')
def submit_huge(context, method, path, cores):
    ask(context, method, path, submission(cores * 1000, 1, 1))


@behave.when('"{method}" "{path}" is asked at the other entry')
def ask_other(context, method, path):
    ask(context, method, path)


@behave.when("its tasks take {seconds:g} s")
def set_time(context, seconds):
    context.world.default_work = (seconds, context.world.default_work[1])


@behave.then('it answers {status:d} with "{words}"')
def check_answer(context, status, words):
    assert context.answer[0] == status and words in context.answer[1], context.answer


@behave.step(
    'within {seconds:g} s "{method}" "{path}" at every entry answers {status:d} with "{words}"'
)
def check_everywhere(context, seconds, method, path, status, words):
    async def check():
        until_s = context.served.loop.time() + seconds
        while True:
            found = [await context.served.ask(name, method, path) for name in context.served.tasks]
            if all(one[0] == status and words in one[1] for one in found):
                return
            assert context.served.loop.time() < until_s, found
            await asyncio.sleep(0.1)

    context.served.run(check())


@behave.then("these jobs are refused with 400 and the words, and no row is stored")
def check_refused(context):
    for row in context.table:
        ask(context, "POST", f"/q/{row['id']}", row["body"].encode())
        status, body = context.answer
        assert status == 400 and row["words"] in body, (row["body"], status, body)
    rows = [key for key in context.world.table.rows if key.startswith(("jobs/", "inbox/"))]
    assert not rows, rows


@behave.when('"{command}" is commanded for jobs')
def command(context, command):
    own = [context.served.daemons[name][0] for name in context.served.tasks]
    words = command.split()
    words += [part for one in own for part in ("--entry", one.peers.address)]
    context.result = testing.CliRunner().invoke(main.make_app(), words)


@behave.then("it ends with {code:d} and its lines match")
def check_lines(context, code):
    assert context.result.exit_code == code, (context.result.exit_code, context.result.output)
    lines = context.result.output.splitlines()
    for first, pattern in [context.table.headings, *(row.cells for row in context.table)]:
        found = [line for line in lines if first in line and re.match(pattern, line)]
        assert found or first == "job", (first, pattern, context.result.output)


@behave.then('no line has "{words}"')
def check_absent(context, words):
    assert words not in context.result.output, context.result.output


@behave.when("the table refuses everybody, for {seconds:g} s so far")
def refuse(context, seconds):
    for view in context.served.site.views.values():
        view.is_unavailable = True
    context.served.run(asyncio.sleep(seconds))


@behave.then('the lease of "{service}" is said to be over {seconds:g} s old')
def check_age(context, service, seconds):
    rows = json.loads(context.result.stdout)["holders"]
    ages = [row["lease_age_s"] for row in rows if row["service"] == service]
    assert len(ages) == 1 and ages[0] > seconds, rows


@behave.when("the entry that holds the service is gone and the table refuses everybody")
def lose_holder(context):
    name, _ = context.served.holder()
    for view in context.served.site.views.values():
        view.is_unavailable = True
    context.served.run(context.served.end(name))


@behave.then('the metrics time the stages "{names}"')
def check_stages(context, names):
    async def render():
        return "".join(one._metrics.render().decode() for _, one in context.served.daemons.values())

    shown = context.served.run(render())
    for name in names.split(", "):
        line = f'nutmegshelf_job_stage_seconds_count{{pool="a",stage="{name}"}}'
        assert line in shown, (name, shown[-3000:])
