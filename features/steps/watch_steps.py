"""Steps that write rows while a watch reads the present rows of a table."""

import asyncio
import contextlib

import behave
from nutmegshelf import jobs

from features import jobsite
from features.steps import platform_processes_steps, platform_steps

KIND = "inbox"
HELD_S = 0.2
STEPS = (jobs.Step(count=2, cpu_millis=1000),)
LASTING_STEPS = (jobs.Step(count=2, cpu_millis=1000, long_running=True),)
PARTITIONS = ("", "a", "b", "c")
PARTITIONS_PER_PAGE = 2
WRITES = 12
# Long enough for the changes that are there.
WAIT_S = 0.05


# --- entries as processes


async def store_beside_snapshot(context, held, transaction):
    """Drop the history of the inbox, and apply a transaction while it is read anew."""
    server = context.platform
    respond = server.respond_store
    dropped, stored = asyncio.Event(), asyncio.Event()
    held_path = "/v1/rows-get" if "rows" in held else "/v1/rows-parts"

    async def respond_store(path, parameters, data):
        is_inbox = parameters.get("table") == KIND
        if is_inbox and path == "/v1/rows-feed" and not dropped.is_set():
            dropped.set()
            return 410, {}
        answer = await respond(path, parameters, data)
        if is_inbox and path == held_path and dropped.is_set() and not stored.is_set():
            context.world.table.apply(transaction)
            stored.set()
            await asyncio.sleep(HELD_S)
        return answer

    if "another service" in held:
        notice = jobs.Notice(job=f"{9:016x}", service="b")
        server.write(jobs.notice_key(notice), b"")
    server.respond_store = respond_store
    async with asyncio.timeout(10):
        await stored.wait()


@behave.when(
    "the store drops the history of the inbox, and another entry stores a job while {held}"
)
def store_job(context, held):
    context.job = jobsite.job(1, STEPS)
    context.world.jobs[context.job.job] = context.job
    context.run(store_beside_snapshot(context, held, jobs.build_submission(context.job)))


@behave.then("within {seconds:g} s its state is succeeded at the entry")
def check_succeeded(context, seconds):
    check = platform_processes_steps.make_succeeded_check(context.processes, context.job.job)
    context.run(platform_processes_steps.wait_until(seconds, check, "succeeded"))


def list_runs(context):
    return [run for minion in context.world.minions.values() for run in minion.runs]


@behave.when("a job runs")
def run_job(context):
    context.job = jobsite.job(1, LASTING_STEPS)
    context.world.jobs[context.job.job] = context.job
    context.world.table.apply(jobs.build_submission(context.job))

    async def is_running():
        return len(list_runs(context)) == LASTING_STEPS[0].count or "its tasks don't run"

    context.run(platform_processes_steps.wait_until(10, is_running, "running"))


@behave.when("the store drops the history of the inbox, and another entry cancels it while {held}")
def store_cancellation(context, held):
    row = context.world.table.read(jobs.job_key("a", context.job.job))
    cancellation = jobs.build_cancellation(context.job, row.version)
    context.run(store_beside_snapshot(context, held, cancellation))


@behave.then("within {seconds:g} s its runs have ended")
def check_ended(context, seconds):
    async def has_ended():
        return not list_runs(context) or list_runs(context)

    context.run(platform_processes_steps.wait_until(seconds, has_ended, "ended"))


# --- the adapter alone


class BusyTable:
    """Write rows of random partitions before and after the answers of a store."""

    def __init__(self, server, rng):
        self._server = server
        self._rng = rng
        self._respond = server.respond_store
        self.writes_left = WRITES
        self.drops_left = 0

    async def respond_store(self, path, parameters, data):
        self._write()
        if path == "/v1/rows-feed" and self.drops_left and self._rng.random() < 0.5:
            self.drops_left -= 1
            return 410, {}
        if path == "/v1/rows-parts":
            answer = self._list_partitions(parameters)
        else:
            answer = await self._respond(path, parameters, data)
        self._write()
        return answer

    def _list_partitions(self, parameters):
        keys = [key for key in self._server.world.table.rows if key.startswith(f"{KIND}/")]
        after = parameters.get("after", "")
        parts = sorted({key.split("/")[1] for key in keys})
        left = [part for part in parts if part > after or (not after and not part)]
        page = left[:PARTITIONS_PER_PAGE]
        return 200, {"parts": page, "hasMore": len(left) > len(page)}

    def _write(self):
        while self.writes_left and self._rng.random() < 0.5:
            self.writes_left -= 1
            partition, name = self._rng.choice(PARTITIONS), self._rng.randrange(4)
            is_deleted = self._rng.random() < 0.25
            value = None if is_deleted else b"%d" % self.writes_left
            self._server.write(f"{KIND}/{partition}/k{name}", value)


async def watch_beside_writes(context, drops):
    """Follow a table until it doesn't change any more; return what the watch knows."""
    busy = BusyTable(context.platform, context.rng)
    busy.drops_left = drops
    context.platform.respond_store = busy.respond_store
    known, after, is_settled = {}, None, False
    while not is_settled:
        is_busy = busy.writes_left or busy.drops_left
        changes = await context.store.wait_for_changes(KIND, after, WAIT_S)
        after = changes.version
        if changes.is_snapshot:
            known.clear()
        for row in changes.rows:
            known[row.key] = row.value if row.version else None
        is_settled = not (changes.rows or is_busy)
    del context.platform.respond_store
    return {key: value for key, value in known.items() if value is not None}


@behave.then(
    "in {count:d} random orders, a watch that begins while rows are written ends with the rows"
    " stored"
)
def check_watches(context, count):
    check_orders(context, count, 0)


@behave.then(
    "in {count:d} random orders, a watch whose history is dropped {drops:d} times ends with the"
    " rows stored"
)
def check_dropped_watches(context, count, drops):
    check_orders(context, count, drops)


def check_orders(context, count, drops):
    table, failed = context.world.table, []
    for number in range(count):
        known = context.run(watch_beside_writes(context, drops))
        stored = {key: row.value for key, row in table.rows.items() if key.startswith(f"{KIND}/")}
        if known != stored:
            failed.append((number, sorted(stored.items() ^ known.items())))
        for key in stored:
            context.platform.write(key, None)
    assert not failed, (len(failed), failed[:3])


@behave.given("the platform's stand-in without workers")
def start_empty(context):
    context.run(platform_steps.make_platform(context, 0))


@behave.when("a watch has read the present rows, and the first row of all is written")
def write_first(context):
    async def read_and_write():
        changes = await context.store.wait_for_changes(KIND, None, WAIT_S)
        assert changes.is_snapshot and not changes.rows, changes
        context.platform.write(f"{KIND}/a/k", b"v")
        context.changes = await context.store.wait_for_changes(KIND, changes.version, WAIT_S)

    context.run(read_and_write())


@behave.then("the watch returns this row")
def check_first(context):
    assert [row.key for row in context.changes.rows] == [f"{KIND}/a/k"], context.changes


@behave.when("rows are stored in {parts:d} partitions, and the history is dropped")
def store_rows(context, parts):
    async def read_anew():
        changes = await context.store.wait_for_changes(KIND, None, WAIT_S)
        for number in range(parts):
            context.platform.write(f"{KIND}/p{number}/k", b"v")
        context.platform.drops_history = True
        context.platform.calls.clear()
        with contextlib.suppress(TimeoutError):
            changes = await context.store.wait_for_changes(KIND, changes.version, WAIT_S)
        assert changes.is_snapshot and len(changes.rows) == parts, changes

    context.run(read_anew())


@behave.then("the present rows are read in {count:d} calls")
def check_calls(context, count):
    reads = [path for _, path in context.platform.calls if path != "/v1/rows-feed"]
    assert len(reads) == count, reads
