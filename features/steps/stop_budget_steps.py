"""Check which runs are stopped, and how often a stop is sent."""

import asyncio

import behave
from nutmegshelf import fleetview, jobs, scheduler

from features import jobsite
from features.steps import jobs_steps

LONG_RUNNING = {"cpu_millis": 2000, "memory_mb": 100, "long_running": True, "max_per_worker": 2}


@behave.given("each worker executes the first {count:d} starts without an answer")
def leave_unanswered(context, count):
    for minion in context.world.minions.values():
        minion.unanswered_starts = count


@behave.given("each worker loses the first {count:d} starts")
def lose_starts(context, count):
    for minion in context.world.minions.values():
        minion.dropped_starts = count


@behave.when(
    "a job of {count:d} long-running tasks, of which {may_miss:d} may be unavailable, is submitted"
)
@jobs_steps.paused
async def submit_lasting(context, count, may_miss):
    step = jobs.Step(count=count, may_miss=may_miss, **LONG_RUNNING)
    context.made = await jobs_steps.submit(context, 1, (step,), "e0")


@behave.then("for {seconds:g} s no run of it is stopped")
@jobs_steps.paused
async def check_not_stopped(context, seconds):
    await asyncio.sleep(seconds)
    stopped = [run for run in context.world.stopped if run.startswith(context.made.job)]
    assert not stopped, stopped


def idle_tasks(context):
    names = [f"{context.made.job}.0.0.{index}" for index in range(context.made.steps[0].count)]
    return [name for name in names if not context.world.running[name]]


@behave.then("every task of it runs")
def check_all_run(context):
    assert not idle_tasks(context), idle_tasks(context)


@behave.then("within {seconds:g} s every task of it runs")
@jobs_steps.paused
async def check_all_run_within(context, seconds):
    async def check():
        return not idle_tasks(context) or idle_tasks(context)

    await jobs_steps.wait_until(seconds, check, "not running")
    jobs_steps.check_no_violations(context)


@behave.given(
    "a scheduler with a step of {count:d} long-running tasks over 2 workers,"
    " of which {may_miss:d} may be unavailable"
)
def make_scheduler(context, count, may_miss):
    context.now_s = 10.0
    context.scheduler = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    facts = [jobsite.worker_facts(number) for number in range(2)]
    context.scheduler.update_workers(facts, 0.0)
    step = jobs.Step(count=count, may_miss=may_miss, **LONG_RUNNING)
    job_registry = context.scheduler.registry
    record = job_registry.add(jobsite.job(1, (step,)), None, 0.0, 0, may_run=False)
    workers = list(context.scheduler.workers.values())
    context.tasks = list(record.iterate_tasks())
    for index, task in enumerate(context.tasks):
        job_registry.adopt(record, task, workers[index % 2], 1, 0.0)
    report_runs(context, {task: 100 for task in context.tasks})


def report_runs(context, percents):
    """Apply a report of each worker that lists its runs with their progress."""
    for incarnation in list(context.scheduler.workers):
        running = tuple(
            fleetview.ReportedRun(task.key.name, task.run, "", percent, 0.0)
            for task, percent in percents.items()
            if task.incarnation == incarnation
        )
        context.scheduler.apply_report(
            fleetview.WorkerReport(incarnation, 0, context.now_s, context.now_s, running, ())
        )


@behave.when("one of them is evicted, and its stop is not answered")
def evict_one(context):
    context.scheduler.request_stop(context.tasks[0])
    stops = context.scheduler.choose_stops(context.now_s)
    assert [stop.task for stop in stops] == [context.tasks[0].key.name], stops
    context.scheduler.record_stop_unanswered(stops[0])


@behave.when("another one of them fails")
def fail_another(context):
    context.percents = {task: 100 for task in context.tasks}
    context.percents[context.tasks[1]] = 0


@behave.then("no more stops are sent for {seconds:g} s")
def check_no_stops(context, seconds):
    for _ in range(int(seconds / 0.1)):
        context.now_s += 0.1
        report_runs(context, context.percents)
        stops = context.scheduler.choose_stops(context.now_s)
        assert not stops, (context.now_s, stops)


@behave.when("that one is available again")
def recover(context):
    context.percents[context.tasks[1]] = 100


@behave.then("the stop is sent again")
def check_stop(context):
    context.now_s += 1.0
    report_runs(context, context.percents)
    stops = context.scheduler.choose_stops(context.now_s)
    assert [stop.task for stop in stops] == [context.tasks[0].key.name], stops


@behave.then("for {seconds:g} s at most one stop of a run is in flight")
@jobs_steps.paused
async def check_one_stop(context, seconds):
    await asyncio.sleep(seconds)
    most_stops = context.site.workers["e0"].max_concurrent_stops
    assert most_stops and max(most_stops.values()) == 1, most_stops
