"""Steps on workers that start again under the id that they had."""

import asyncio
import dataclasses

import behave
from nutmegshelf import fleetview, jobs

from features import jobsite
from features.steps import jobs_steps

FIRST_JOB = 1
START_S = 10.0
LEARNED_S = 11.0
HEARTBEAT_S = 1.5


@behave.given("a worker that crashed is back under its id")
def keep_ids(context):
    context.world.keeps_ids = True


@behave.when(
    "{count:d} jobs of {tasks:d} tasks come and the busiest worker is cut off after "
    "{starts:d} starts"
)
@jobs_steps.paused
async def cut_during_burst(context, count, tasks, starts):
    world = context.world
    steps = (jobs.Step(count=tasks, cpu_millis=250, memory_mb=100, estimate_ms=8000),)
    context.submitted = [
        asyncio.ensure_future(jobs_steps.submit(context, number, steps, "e0"))
        # Of the tasks that may have crashed a worker, the first by name is tried first.
        for number in reversed(range(FIRST_JOB, FIRST_JOB + count))
    ]
    while sum(world.starts.values()) < starts:
        await asyncio.sleep(0.001)
    context.submitted = [await each for each in context.submitted]
    context.minion = max(world.minions.values(), key=lambda minion: len(minion.runs))
    context.minion.is_unresponsive = True


@behave.when("it starts again behind the cut after {down_s:g} s and is reachable after {cut_s:g} s")
@jobs_steps.paused
async def restart_behind_cut(context, down_s, cut_s):
    await asyncio.sleep(down_s)
    later = context.world.restart(context.minion)
    later.is_unresponsive, later.former_facts = True, context.minion.facts
    await asyncio.sleep(cut_s - down_s)
    later.is_unresponsive = False
    await asyncio.sleep(HEARTBEAT_S)
    later.former_facts = None


@behave.given("a worker got the start of a task, {confirmed}, and starts again under its id")
def start_and_restart(context, confirmed):
    service = jobsite.scheduler_with_workers(1, cpu_millis=4000, memory_mb=1000)
    context.service = service
    step = jobs.Step(count=1, cpu_millis=1000, estimate_ms=500)
    context.record = service.registry.add(jobsite.job(1, (step,)), None, START_S, 1, may_run=False)
    (context.former,) = service.workers.values()
    (order,) = service.choose_starts(START_S)
    (context.task,) = context.record.iterate_tasks()
    service.record_sent(order)
    match confirmed:
        case "without answer":
            service.record_unanswered(order, START_S, may_start_until_s=START_S + 2, why="")
        case "with an answer":
            service.record_started(order, START_S)
        case "with a report":
            report(service, context.former, [context.task], START_S + 0.1)
    context.run = context.task.run
    incarnation = context.former.facts.incarnation
    context.later = fleetview.Incarnation(incarnation.worker, incarnation.born_ms + 1)


def report(service, worker, tasks, now_s):
    running = [fleetview.ReportedRun(task.key.name, task.run, "", 5, 0.0) for task in tasks]
    service.apply_report(
        fleetview.WorkerReport(
            worker.facts.incarnation,
            0,
            now_s - 0.01,
            now_s,
            tuple(running),
            (),
            fencing_token=worker.fencing_token,
        )
    )


def get_later_facts(context):
    return dataclasses.replace(context.former.facts, incarnation=context.later)


@behave.when("the holder learns of it by {source}")
def learn(context, source):
    if source == "list":
        context.service.update_workers([get_later_facts(context)], LEARNED_S)
    else:
        context.service.record_restart(
            context.former.facts.incarnation, context.later.born_ms, LEARNED_S
        )


@behave.then("its run is {phase}")
def check_phase(context, phase):
    assert context.task.phase.value == phase, context.task


@behave.then("a run in phase {phase} belongs to the later incarnation, with a higher fencing token")
def check_transferred(context, phase):
    check_phase(context, phase)
    assert list(context.service.workers) == [context.later], context.service.workers
    later = context.service.workers[context.later]
    assert later.fencing_token > context.former.fencing_token, later
    context.is_there = phase == "unsure"
    assert list(later.tasks.values()) == [context.task] * context.is_there, later
    assert not context.service.choose_starts(LEARNED_S), "it starts before the worker has reported"


@behave.then("a late list that still has the former incarnation changes nothing")
def check_late_list(context):
    context.service.update_workers([context.former.facts], LEARNED_S + 0.1)
    assert list(context.service.workers) == [context.later], context.service.workers


@behave.when("the first report of the later incarnation has the run")
def report_run(context):
    report(context.service, context.service.workers[context.later], [context.task], LEARNED_S + 0.3)


@behave.when("the first report of the later incarnation doesn't have the run")
def report_nothing(context):
    report(context.service, context.service.workers[context.later], [], LEARNED_S + 0.3)


@behave.then("its job counts {count:d} crashes")
def check_crashes(context, count):
    crashes = context.task.crashes
    assert len(crashes.runs if crashes is not None else ()) == count, crashes


@behave.when("the later incarnation doesn't answer for {seconds:g} s")
def stay_silent(context, seconds):
    context.service.record_silence(context.later, LEARNED_S)
    for tenth in range(int(seconds * 10)):
        context.service.tick(LEARNED_S + tenth / 10, 1)


@behave.given("a worker whose clock is read as {offset_s:g} s ahead")
def read_clock(context, offset_s):
    service = jobsite.scheduler_with_workers(1)
    (context.worker,) = service.workers.values()
    context.worker.clock_offset_ms, context.worker.clock_read_s = offset_s * 1000, 0.0


@behave.then(
    "an answer to a start {after_s:g} s later with a clock of {clock_s:g} s {is_own} its own"
)
def check_clock(context, after_s, clock_s, is_own):
    is_plausible = context.worker.is_clock_plausible(int(clock_s * 1000), after_s)
    assert is_plausible == (is_own == "is"), is_own
