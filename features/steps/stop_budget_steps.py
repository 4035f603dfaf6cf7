"""Check which runs are stopped, and how often a stop is sent."""

import asyncio

import behave
from nutmegshelf import fleetview, jobs, scheduler

from features import jobsite
from features.steps import jobs_steps

LASTING = {"cpu_millis": 2000, "memory_mb": 100, "long_running": True, "max_per_worker": 2}


@behave.given("each worker carries the first {count:d} starts out and leaves them unanswered")
def leave_unanswered(context, count):
    for minion in context.world.minions.values():
        minion.unanswered_starts = count


@behave.given("each worker loses the first {count:d} starts")
def lose_starts(context, count):
    for minion in context.world.minions.values():
        minion.dropped_starts = count


@behave.when("a job of {count:d} tasks that last, of which {most:d} may be away, is submitted")
@jobs_steps.paused
async def submit_lasting(context, count, most):
    step = jobs.Step(count=count, may_miss=most, **LASTING)
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
    "a scheduler with a step of {count:d} tasks that last over 2 workers,"
    " of which {most:d} may be away"
)
def make_scheduler(context, count, most):
    context.now_s = 10.0
    context.scheduler = scheduler.Scheduler(1, lease_expiry_s=5.0, now_s=0.0, is_takeover=False)
    facts = [jobsite.worker_facts(number) for number in range(2)]
    context.scheduler.update_workers(facts, 0.0)
    step = jobs.Step(count=count, may_miss=most, **LASTING)
    book = context.scheduler.registry
    record = book.add(jobsite.job(1, (step,)), None, 0.0, 0, may_run=False)
    workers = list(context.scheduler.workers.values())
    context.tasks = list(record.iterate_tasks())
    for index, task in enumerate(context.tasks):
        book.adopt(record, task, workers[index % 2], 1, 0.0)
    hear(context, {task: 100 for task in context.tasks})


def hear(context, percents):
    """Have the workers list the runs with their percent."""
    for life in list(context.scheduler.workers):
        running = tuple(
            fleetview.ReportedRun(task.key.name, task.run, "", percent, 0.0)
            for task, percent in percents.items()
            if task.incarnation == life
        )
        context.scheduler.apply_report(
            fleetview.WorkerReport(life, 0, context.now_s, context.now_s, running, ())
        )


@behave.when("one of them is asked to leave, and the stop is not answered")
def ask_to_leave(context):
    context.scheduler.request_stop(context.tasks[0])
    found = context.scheduler.choose_stops(context.now_s)
    assert [one.task for one in found] == [context.tasks[0].key.name], found
    context.scheduler.record_stop_unanswered(found[0])


@behave.when("another one of them fails")
def fail_another(context):
    context.percents = {task: 100 for task in context.tasks}
    context.percents[context.tasks[1]] = 0


@behave.then("no more stops are sent for {seconds:g} s")
def check_no_stops(context, seconds):
    for _ in range(int(seconds / 0.1)):
        context.now_s += 0.1
        hear(context, context.percents)
        found = context.scheduler.choose_stops(context.now_s)
        assert not found, (context.now_s, found)


@behave.when("that one is at work again")
def recover(context):
    context.percents[context.tasks[1]] = 100


@behave.then("the stop is sent again")
def check_stop(context):
    context.now_s += 1.0
    hear(context, context.percents)
    found = context.scheduler.choose_stops(context.now_s)
    assert [one.task for one in found] == [context.tasks[0].key.name], found


@behave.then("for {seconds:g} s at most one stop of a run is on its way")
@jobs_steps.paused
async def check_one_stop(context, seconds):
    await asyncio.sleep(seconds)
    found = context.site.workers["e0"].max_concurrent_stops
    assert found and max(found.values()) == 1, found
