"""Steps on entries of workers that another program wrote, and on what proves that one ended."""

import asyncio
import dataclasses
import json

import behave
from nutmegshelf import fleetview, jobs, scheduler

from features import jobsite, jobworld
from features.steps import jobs_steps, platform_processes_steps

WRITE_INTERVAL_S = 0.15
# Each worker writes its own row once in this many writes of the other program.
HEARTBEAT_WRITES = 10
FOREIGN_S = 5.0
WORK_S = 8.0


# --- entries as processes


@behave.when("a job runs and another writer puts rows with the host of its worker {row}")
def put_rows(context, row):
    context.run(run_beside_rows(context, row))


async def run_beside_rows(context, row):
    world, platform = context.world, context.platform
    world.default_work = (WORK_S, fleetview.RunOutcome.DONE)
    job = context.job = f"{1:016x}"
    world.jobs[job] = jobsite.job(1, (jobs.Step(count=4, cpu_millis=1000),))
    body = json.dumps({"spec": "s", "steps": [{"count": 4, "cpu": 1000}]}).encode()
    process = context.processes[0]

    async def is_accepted():
        response = await platform_processes_steps.call(process, "POST", f"/jobs/{job}", body)
        return response[0] == 200 or response

    async def is_running():
        return len(world.starts) == 4 or dict(world.starts)

    await platform_processes_steps.wait_until(10, is_accepted, "accepted")
    await platform_processes_steps.wait_until(10, is_running, "started")
    # Every worker has answered since.
    await asyncio.sleep(1.0)
    for number in range(int(FOREIGN_S / WRITE_INTERVAL_S)):
        for minion in [each for each in world.minions.values() if each.runs]:
            write_row(platform, minion.facts, row, number)
        await asyncio.sleep(WRITE_INTERVAL_S)
    platform.foreign_keys.clear()


def write_row(platform, facts, row, number):
    own_id = facts.incarnation.worker
    entry = json.loads(platform.world.table.read(f"servers//{own_id}").value)
    entry |= {"address": "127.0.0.1:9", "born": facts.incarnation.born_ms + 1 + number}
    if row == "that lack four fields":
        for field in ("version", "slots", "coldRemainingMs", "sequence"):
            entry.pop(field, None)
    worker = {
        "under the id of the worker": own_id,
        "under a new id each time": f"agent-{own_id}-{number}",
    }.get(row, f"agent-{own_id}")
    platform.foreign_keys.add(f"servers//{worker}")
    platform.write(f"servers//{worker}", json.dumps(entry).encode())


@behave.then("the job has succeeded, and each of its tasks was started once")
def check_job(context):
    context.run(
        platform_processes_steps.wait_until(
            20,
            platform_processes_steps.make_succeeded_check(context.processes, context.job),
            "succeeded",
        )
    )
    jobs_steps.check_once(context)


# --- entries on a paused clock


@behave.given("{entries:d} entries and {workers:d} workers of each of two services")
@jobs_steps.paused
async def make_site_of_two(context, entries, workers):
    context.world = jobworld.World({"a": workers, "b": workers})
    context.site = jobsite.Site(context.world)
    queues = jobsite.queue(), jobsite.queue(name="q2", service="b")
    context.world.declare(jobsite.declare(*queues))
    for number in range(entries):
        context.site.start(f"e{number}")
    await asyncio.sleep(jobs_steps.START_S)


def make_foreign(world, minion, row, number):
    """Return an entry of another writer beside a worker."""
    facts = minion.facts
    own_id, born_ms = facts.incarnation
    address, host = jobworld.DEAD_ADDRESS, facts.host
    name, later_ms = f"agent-{own_id}", born_ms + 1000 + number
    match row:
        case "under their ids" | "under their ids, once":
            name = own_id
        case "under their ids as born then":
            name, later_ms = own_id, born_ms
        case "under their ids at their address":
            name, address = own_id, facts.address
        case "under their ids in another service":
            service = next(each for each in ("a", "b") if each != facts.service)
            return dataclasses.replace(facts, service=service)
        case "under their ids at another host":
            name = own_id
            host = next(each for each in world.hosts if each != facts.host)
        case "at the address of another worker":
            others = [each.facts for each in world.minions.values() if each is not minion]
            address = others[0].address
        case "under two ids in turn":
            name = f"agent-{own_id}-{number % 2}"
        case "under a new id each time":
            name = f"agent-{own_id}-{number}"
    incarnation = fleetview.Incarnation(name, later_ms)
    return dataclasses.replace(facts, incarnation=incarnation, address=address, host=host)


async def write_foreign(world, row, for_s):
    until_s, number = jobs_steps.get_time_s() + for_s, 0
    while jobs_steps.get_time_s() < until_s:
        world.foreign_entries.clear()
        is_own_row = row.startswith("under their ids") and number % HEARTBEAT_WRITES == 1
        if not is_own_row and (row != "that come and go" or number % 2):
            for minion in [each for each in world.minions.values() if each.runs]:
                entry = make_foreign(world, minion, row, number)
                world.foreign_entries[entry.incarnation.worker] = entry
        number += 1
        await asyncio.sleep(WRITE_INTERVAL_S)
    world.foreign_entries.clear()


async def submit_jobs(context, count, tasks):
    steps = (jobs.Step(count=tasks, cpu_millis=2500, memory_mb=100, estimate_ms=8000),)
    names = list(context.site.entries)
    context.submitted = [
        await jobs_steps.submit(context, number, steps, names[number % len(names)])
        for number in range(1, count + 1)
    ]


@behave.when(
    "{count:d} jobs of {tasks:d} tasks come and another writer lists all busy workers {row} for "
    "{for_s:g} s"
)
@jobs_steps.paused
async def run_beside_foreign(context, count, tasks, row, for_s):
    await submit_jobs(context, count, tasks)
    await asyncio.sleep(1.5)
    assert any(minion.runs for minion in context.world.minions.values())
    context.writing = asyncio.ensure_future(write_foreign(context.world, row, for_s))


@behave.when("the holder is killed {after_s:g} s later")
@jobs_steps.paused
async def kill_holder(context, after_s):
    await asyncio.sleep(after_s)
    await context.site.kill(context.site.holder_of("a"))


@behave.given("another writer lists {count:d} hosts that nobody answers for")
@jobs_steps.paused
async def list_ghosts(context, count):
    facts = next(iter(context.world.minions.values())).facts
    context.calls = []
    for workers in context.site.workers.values():
        workers.poll = count_calls(context.calls, workers.poll)
    for number in range(count):
        context.world.foreign_entries[f"ghost-{number}"] = make_ghost(facts, number)
    await asyncio.sleep(1.0)


def make_ghost(facts, number):
    name = f"ghost-{number}"
    return dataclasses.replace(
        facts,
        incarnation=fleetview.Incarnation(name, 1),
        address=jobworld.DEAD_ADDRESS,
        host=name,
    )


def count_calls(calls, poll):
    async def poll_and_count(facts, **fields):
        if facts.address == jobworld.DEAD_ADDRESS:
            calls.append(facts.incarnation)
        return await poll(facts, **fields)

    return poll_and_count


@behave.when("{seconds:g} s pass with the rows")
@jobs_steps.paused
async def pass_time(context, seconds):
    context.seconds = seconds
    await asyncio.sleep(seconds)


@behave.then("each got a call, and together no more than {count:d} more a second")
def check_calls(context, count):
    each = len(set(context.calls))
    assert each == len(context.world.foreign_entries), each
    assert len(context.calls) <= each + count * context.seconds, len(context.calls)


@behave.given("a worker that restarts is back {under}")
def set_ids(context, under):
    context.world.keeps_ids = under == "under its id"


@behave.when("{count:d} jobs of {tasks:d} tasks come and a busy worker starts again")
@jobs_steps.paused
async def restart_busy(context, count, tasks):
    world = context.world
    await submit_jobs(context, count, tasks)
    await asyncio.sleep(1.5)
    busy = max(world.minions.values(), key=lambda minion: len(minion.runs))
    context.lost = list(busy.runs)
    world.restart(busy)


@behave.then("its tasks run again within {seconds:g} s")
@jobs_steps.paused
async def check_again(context, seconds):
    async def are_running():
        return all(context.world.running[name] for name in context.lost) or context.lost

    assert context.lost
    await jobs_steps.wait_until(seconds, are_running, "again")
    jobs_steps.check_no_violations(context)


# --- one scheduler


@behave.given("a worker that runs a task, and a row {row}")
def make_rivals(context, row):
    service = context.service = jobsite.scheduler_with_workers(1, cpu_millis=8000, memory_mb=1000)
    (context.worker,) = service.workers.values()
    facts = context.worker.facts
    own = facts.incarnation
    step = jobs.Step(count=1, cpu_millis=1000, estimate_ms=5000)
    context.record = service.registry.add(jobsite.job(1, (step,)), None, 10.0, 1, may_run=False)
    (order,) = service.choose_starts(10.0)
    (context.task,) = context.record.iterate_tasks()
    service.record_sent(order)
    service.record_started(order, 10.0)
    context.now_s = 11.0
    incarnation = fleetview.Incarnation("other", own.born_ms + 5)
    changes = {"address": "elsewhere"}
    match row:
        case "of its host":
            pass
        case "of its host born before":
            incarnation = fleetview.Incarnation("other", own.born_ms - 1)
        case "of another host":
            changes["host"] = "h-other"
        case "of its id":
            incarnation = fleetview.Incarnation(own.worker, own.born_ms + 5)
        case "of its id at its address":
            incarnation = fleetview.Incarnation(own.worker, own.born_ms + 5)
            changes = {}
        case "of its id and life":
            incarnation = own
        case _:
            raise ValueError(row)
    context.other = dataclasses.replace(facts, incarnation=incarnation, **changes)
    own_rows = [facts] if incarnation.worker != own.worker else []
    context.rows = [*own_rows, context.other]


def answer(context, incarnation, tasks=()):
    running = [fleetview.ReportedRun(task.key.name, task.run, "", 5, 0.0) for task in tasks]
    context.service.apply_report(
        fleetview.WorkerReport(
            incarnation, 0, context.now_s - 0.01, context.now_s, tuple(running), ()
        )
    )


@behave.when('after the row appears "{events}"')
def play_events(context, events):
    service, other = context.service, context.other.incarnation
    service.update_workers(context.rows, context.now_s)
    for event in events.split(", "):
        context.now_s += 0.1
        own = context.worker.facts.incarnation
        match event:
            case "it is silent":
                service.record_silence(own, context.now_s)
            case "it is silent for long":
                context.worker.leased_until_s = context.now_s
                service.record_silence(own, context.now_s)
                context.now_s += 1.0
            case "it answers":
                answer(context, own, [context.task])
            case "it answers as the other one":
                service.record_restart(own, other.born_ms, context.now_s)
            case "the other one is silent":
                service.record_silence(other, context.now_s)
            case "the other one answers":
                answer(context, other)
            case "the other one answers as another life":
                service.record_restart(other, other.born_ms + 1, context.now_s)
                answer(context, fleetview.Incarnation(other.worker, other.born_ms + 1))
            case _:
                raise ValueError(event)
        service.update_workers(context.rows, context.now_s)
        service.tick(context.now_s, 1)


@behave.then("one crash of a worker is noted")
def check_one_crash(context):
    events = [note.event for note in context.service.notes.take()]
    assert events.count("worker crashed") == 1, events


@behave.then("its worker counts as {state}")
def check_worker(context, state):
    own = context.worker.facts.incarnation
    is_there = own in context.service.workers and context.task.incarnation == own
    assert is_there == (state == "alive"), context.service.workers


@behave.then("its task has {count:d} crashes")
def check_task_crashes(context, count):
    crashes = context.task.crashes
    assert len(crashes.runs if crashes is not None else ()) == count, crashes


@behave.then("the demand lists {count:d} hosts, of which the one of the worker has load")
def check_demand(context, count):
    hosts = context.service.get_demand(context.now_s).hosts
    assert len(hosts) == count, hosts
    assert hosts[context.worker.facts.host].cpu_millis > 0, hosts


@behave.when("its host is evacuated, and the row appears")
def evacuate(context):
    host = context.worker.facts.host
    context.service.evacuate_host(host, context.now_s)
    context.service.update_workers(context.rows, context.now_s)
    context.service.record_silence(context.other.incarnation, context.now_s + 0.1)


@behave.then("the host stays closed")
def check_closed(context):
    host = context.worker.facts.host
    assert context.service.closed_hosts.is_closed(host, context.now_s + 0.2)


@behave.when("a holder takes over {count:d} workers beside {ghosts:d} rows that nobody answers for")
def take_over(context, count, ghosts):
    facts = [jobsite.worker_facts(number) for number in range(count)]
    service = context.service = scheduler.Scheduler(
        2, lease_expiry_s=6.0, now_s=10.0, is_takeover=True
    )
    service.expect_incarnations([(each.incarnation, each.host) for each in facts])
    rows = [make_ghost(facts[0], number) for number in range(ghosts)]
    service.update_workers([*facts, *rows], 10.0)
    context.now_s = 10.1
    for row in rows:
        service.record_silence(row.incarnation, context.now_s)
    context.expected = [each.incarnation for each in facts]


@behave.when("all workers but {count:d} have answered")
def answer_all(context, count):
    for incarnation in context.expected[count:]:
        answer(context, incarnation)


@behave.then("the holder {state} on the leases of the earlier one")
def check_reconciled(context, state):
    context.service.tick(context.now_s, 1)
    assert context.service.is_reconciled == (state == "doesn't wait"), state
