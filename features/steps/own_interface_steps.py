"""Serve the native interface over loopback sockets in front of fakes, and run job commands."""

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
DECLARATIONS = """
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


class EntryThread:
    """Entries whose event loop runs in a thread, so that commands can block beside them."""

    def __init__(self, names, workers):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.daemons = {}
        self.tasks = {}
        self.run(self._start(names, workers))

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def _start(self, names, workers):
        self.world = jobworld.World({"a": workers})
        self.site = jobsite.Site(self.world)
        declared = declarations.from_toml({"set.toml": DECLARATIONS})
        self.world.declare(queues.build_queue_set(declared, 1))
        ports = process.find_free_ports(3 * len(names))
        for index, name in enumerate(names):
            entry_settings = self.site.settings(name, HOST, ports[3 * index : 3 * index + 3])
            daemon = jobs_daemon.JobDaemon(
                entry_settings, self.site.outside(entry_settings, job_codec.JobCodec())
            )
            await daemon.listen()
            self.daemons[name] = entry_settings, daemon
            self.tasks[name] = asyncio.ensure_future(daemon.service.run())
        deadline_s = self.loop.time() + 10
        while self.holder() is None or not self.holder()[1].is_loaded:
            assert self.loop.time() < deadline_s, "no entry holds the service"
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    def holder(self):
        for name, (_, daemon) in self.daemons.items():
            if (
                name in self.tasks
                and (holder := daemon.service.lease_manager.get_holder("a")) is not None
            ):
                return name, holder
        return None

    async def send_request(self, name, method, path, body=b""):
        entry_settings, _ = self.daemons[name]
        connection = client.Client(entry_settings.callers.host, entry_settings.callers.port)
        try:
            response = await connection.request(method, path, body)
        finally:
            connection.close()
        return response.status, response.body.decode()

    async def kill(self, name):
        self.site.views[name].is_partitioned = True
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self.daemons[name][1].close()

    async def _stop(self):
        for name in list(self.tasks):
            await self.kill(name)

    def close(self):
        self.run(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@behave.given(
    "{count:d} entries that serve the native interface over sockets, with {workers:d} workers"
)
def serve(context, count, workers):
    context.served = EntryThread([f"e{number}" for number in range(count)], workers)
    context.world = context.served.world
    context.add_cleanup(context.served.close)
    context.request_count = 0


def send_request(context, method, path, body=b""):
    names = list(context.served.tasks)
    name = names[context.request_count % len(names)]
    context.request_count += 1
    context.response = context.served.run(context.served.send_request(name, method, path, body))


def make_submission(cpu_millis, estimate_s, steps):
    step = {"count": 2, "cpu_millis": cpu_millis, "estimate_ms": int(1000 * estimate_s)}
    later_steps = [{**step, "after": [index - 1]} for index in range(1, steps)]
    return json.dumps({"spec": "s", "steps": [step, *later_steps]}).encode()


class SubmittedJobs(dict):
    """The jobs submitted over sockets, read from the table by id for the fakes."""

    def __init__(self, table):
        super().__init__()
        self.table = table

    def __missing__(self, job):
        return codecs.unpack(self.table.read(jobs.job_key("a", job)).value, jobs.Job)


@behave.when('"{method}" "{path}" is sent with {steps:d} steps of {seconds:g} s')
def submit(context, method, path, steps, seconds):
    context.world.jobs = SubmittedJobs(context.world.table)
    send_request(context, method, path, make_submission(1000, seconds, steps))


@behave.when('"{method}" "{path}" is sent with tasks of {cores:d} cores')
def submit_huge(context, method, path, cores):
    send_request(context, method, path, make_submission(cores * 1000, 1, 1))


@behave.when('"{method}" "{path}" is sent to the other entry')
def send_to_other_entry(context, method, path):
    send_request(context, method, path)


@behave.when("its tasks take {seconds:g} s")
def set_task_duration(context, seconds):
    context.world.default_work = (seconds, context.world.default_work[1])


@behave.then('the response has status {status:d} and contains "{text}"')
def check_response(context, status, text):
    assert context.response[0] == status and text in context.response[1], context.response


@behave.step(
    'within {seconds:g} s "{method}" "{path}" returns {status:d} with "{text}" at every entry'
)
def check_at_every_entry(context, seconds, method, path, status, text):
    async def check():
        deadline_s = context.served.loop.time() + seconds
        while True:
            responses = [
                await context.served.send_request(name, method, path)
                for name in context.served.tasks
            ]
            if all(response[0] == status and text in response[1] for response in responses):
                return
            assert context.served.loop.time() < deadline_s, responses
            await asyncio.sleep(0.1)

    context.served.run(check())


@behave.then("these jobs are rejected with 400 and the text, and no row is stored")
def check_rejected(context):
    for row in context.table:
        send_request(context, "POST", f"/q/{row['id']}", row["body"].encode())
        status, body = context.response
        assert status == 400 and row["text"] in body, (row["body"], status, body)
    stored_keys = [key for key in context.world.table.rows if key.startswith(("jobs/", "inbox/"))]
    assert not stored_keys, stored_keys


@behave.when('the job command "{command}" is run')
def run_job_command(context, command):
    all_settings = [context.served.daemons[name][0] for name in context.served.tasks]
    words = command.split()
    words += [
        option
        for entry_settings in all_settings
        for option in ("--entry", entry_settings.peers.address)
    ]
    context.result = testing.CliRunner().invoke(main.make_app(), words)


@behave.then("it exits with {code:d} and its lines match")
def check_matching_lines(context, code):
    assert context.result.exit_code == code, (context.result.exit_code, context.result.output)
    lines = context.result.output.splitlines()
    for text, pattern in [context.table.headings, *(row.cells for row in context.table)]:
        matching = [line for line in lines if text in line and re.match(pattern, line)]
        assert matching or text == "job", (text, pattern, context.result.output)


@behave.then('no line contains "{text}"')
def check_absent_text(context, text):
    assert text not in context.result.output, context.result.output


@behave.when("the table has refused all requests for {seconds:g} s")
def refuse_all(context, seconds):
    for view in context.served.site.views.values():
        view.is_unavailable = True
    context.served.run(asyncio.sleep(seconds))


@behave.then('the lease of "{service}" is shown as over {seconds:g} s old')
def check_lease_age(context, service, seconds):
    rows = json.loads(context.result.stdout)["holders"]
    ages = [row["lease_age_s"] for row in rows if row["service"] == service]
    assert len(ages) == 1 and ages[0] > seconds, rows


@behave.when("the holding entry is gone and the table refuses all requests")
def lose_holder(context):
    name, _ = context.served.holder()
    for view in context.served.site.views.values():
        view.is_unavailable = True
    context.served.run(context.served.kill(name))


@behave.then('the metrics measure the stages "{names}"')
def check_stages(context, names):
    async def render():
        return "".join(
            daemon._metrics.render().decode() for _, daemon in context.served.daemons.values()
        )

    metrics = context.served.run(render())
    for name in names.split(", "):
        line = f'nutmegshelf_job_stage_seconds_count{{pool="a",stage="{name}"}}'
        assert line in metrics, (name, metrics[-3000:])
