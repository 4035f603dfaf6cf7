"""Steps on workers that list only a part of their ends."""

import asyncio

import behave
import msgspec
from nutmegshelf import fleetview, jobs

from features import jobsite
from features.steps import jobs_steps, unaccounted_run_steps

NOW_S = unaccounted_run_steps.NOW_S
SMALL_JOB = 1
WORK_S = 3.0
UNKNOWN = ("00000000000000ff.0.0.0", 5)


@behave.when("a job of {count:d} small tasks runs on one worker and there is {fault} as they end")
@jobs_steps.paused
async def run_small_tasks(context, count, fault):
    step = jobs.Step(count=count, cpu_millis=5, memory_mb=1, estimate_ms=3000, label="r0")
    context.world.work_by_task[f"{SMALL_JOB:016x}"] = WORK_S, fleetview.RunOutcome.DONE
    context.small = await jobs_steps.submit(context, SMALL_JOB, (step,), "e0")
    until_s = jobs_steps.get_time_s() + 10
    while sum(context.world.starts.values()) < count:
        assert jobs_steps.get_time_s() < until_s, sum(context.world.starts.values())
        await asyncio.sleep(0.02)
    # All tasks end together, beyond what one list can hold.
    ends_s = jobs_steps.get_time_s() + 1.0
    for minion in context.world.minions.values():
        for run in minion.runs.values():
            run.ends_s = ends_s
    holder = context.site.holder_of("a")
    await asyncio.sleep(0.9)
    match fault.split():
        case ["a", "kill", *rest]:
            if "slow" in rest:
                for view in context.site.views.values():
                    view.answer_delay_s = 0.4
            await context.site.kill(holder)
            # The new process of the entry takes the lease over before the leases of runs expire.
            context.site.start(holder)
            if "slow" in rest:
                context.site.views[holder].answer_delay_s = 0.4
        case ["a", "cut", *_]:
            context.site.workers[holder].is_partitioned = True
            await asyncio.sleep(2.0)
            context.site.workers[holder].is_partitioned = False
        case ["a", "silent", *_]:
            for view in context.site.views.values():
                view.is_unavailable = True
            await asyncio.sleep(2.0)
            for view in context.site.views.values():
                view.is_unavailable = False


@behave.then("within {seconds:g} s the job of small tasks is shown as succeeded")
@jobs_steps.paused
async def check_small(context, seconds):
    check = jobs_steps.has_state(context, context.small, "succeeded")
    await jobs_steps.wait_until(seconds, check, "states")


@behave.then("each of its tasks was started once")
def check_started_once(context):
    repeated = [name for name, count in context.world.starts.items() if count > 1]
    assert not repeated, f"{len(repeated)} tasks were started again, such as {repeated[:3]}"


# --- one worker


def make_end(number, name, run, outcome=fleetview.RunOutcome.DONE):
    return fleetview.RunEnd(number, name, run, outcome, "")


def report(context, running, ends, *, is_complete, number=0, after_s=1.0):
    context.now_s += after_s
    context.service.apply_report(
        fleetview.WorkerReport(
            context.facts[number].incarnation,
            0,
            context.now_s - 0.01,
            context.now_s,
            tuple(fleetview.ReportedRun(name, run, "", 50, 0.0) for name, run in running),
            tuple(ends),
            is_complete,
        )
    )


@behave.given("a worker whose report left out the ends of 2 of its 3 tasks")
def cut_report(context):
    context.service = jobsite.scheduler_with_workers(1, cpu_millis=4000, memory_mb=1000)
    context.now_s = NOW_S
    (worker,) = context.service.workers.values()
    worker.leased_until_s = NOW_S + 1000
    context.facts = [worker.facts]
    step = jobs.Step(count=3, cpu_millis=1000, memory_mb=100, estimate_ms=500)
    record = context.service.registry.add(jobsite.job(1, (step,)), None, NOW_S, 1, may_run=False)
    for task in record.iterate_tasks():
        context.service.registry.assign(
            record, task, worker, context.service.registry.get_next_run(task), NOW_S
        )
    context.runs = [(task.key.name, task.run) for task in record.iterate_tasks()]
    context.record = record
    report(context, [*context.runs, UNKNOWN], (), is_complete=True)
    # Two tasks have ended, and one of their ends and that of the unknown run are not listed.
    report(
        context, context.runs[:1], [make_end(1, *context.runs[1])], is_complete=False, after_s=1.0
    )
    assert context.runs[2][0] in {task.key.name for task in worker.tasks.values()}, worker.tasks


@behave.when("the rest of its ends is reported")
def report_rest(context):
    ends = [
        make_end(2, *context.runs[2]),
        make_end(3, *context.runs[0]),
        make_end(4, *UNKNOWN, fleetview.RunOutcome.STOPPED),
    ]
    report(context, (), ends, is_complete=True)
    report(context, (), (), is_complete=True)


def has_state(context, what):
    service, (facts,) = context.service, context.facts
    match what:
        case "idle":
            return service.get_demand(context.now_s).hosts[facts.host].idle_s is not None
        case "cleared for a move":
            return service.evacuate_host(facts.host, context.now_s, only_idle=True)
        case "open for starts":
            return bool(service.get_open_workers(context.now_s))
        case "forgotten when unlisted":
            # Only what is left unread holds it.
            for task in list(service.workers[facts.incarnation].tasks.values()):
                service.registry.release(
                    context.record, task, service.workers[facts.incarnation], context.now_s
                )
            service.workers[facts.incarnation].unknown_runs.clear()
            service.update_workers([], context.now_s)
            service.tick(context.now_s, 1)
            is_forgotten = facts.incarnation not in service.workers
            service.update_workers(context.facts, context.now_s)
            return is_forgotten
    raise ValueError(what)


@behave.then("the worker does not count as {what}")
def check_not(context, what):
    assert not has_state(context, what)


@behave.then("the worker counts as {what}")
def check_is(context, what):
    assert has_state(context, what)


@behave.then("its unknown run is still known")
def check_unknown(context):
    (worker,) = context.service.workers.values()
    assert UNKNOWN in worker.unknown_runs


@behave.then("its unknown run is known no more")
def check_no_unknown(context):
    (worker,) = context.service.workers.values()
    assert not worker.unknown_runs


@behave.when("the worker crashes")
def crash(context):
    (facts,) = context.facts
    context.service.record_restart(
        facts.incarnation, facts.incarnation.born_ms + 1, context.now_s + 1
    )


@behave.then("the crash counts for the task that was still running, and for no other")
def check_crashes(context):
    counted = [
        task.key.position
        for task in context.record.iterate_tasks()
        if task.crashes is not None and task.crashes.runs
    ]
    assert counted == [0], counted


# --- a takeover


@behave.given("a takeover of a service with 2 workers, of which one lists its ends in 2 parts")
def take_over(context):
    unaccounted_run_steps.start_epoch(context, 2)
    context.now_s = NOW_S
    context.service.expect_incarnations(context.used)
    step = msgspec.structs.replace(jobs_steps.parse_steps("4")[0], cpu_millis=1, memory_mb=1)
    context.record = context.service.load_job(jobsite.job(1, (step,)), None, NOW_S, NOW_S, 1)
    context.service.update_workers(context.facts, NOW_S)
    context.runs = [(task.key.name, 1 << 16 | 1) for task in context.record.iterate_tasks()]
    report(context, (), (), is_complete=True, number=1, after_s=0.1)
    ends = [make_end(number + 1, *context.runs[number]) for number in range(2)]
    report(context, (), ends, is_complete=False, after_s=0.1)
    worker, _ = context.service.workers.values()
    worker.extend_lease(context.now_s, 2.5, fleetview.LeaseCall.START)
    context.ends = ends


def get_recovering(context):
    return {task.key.position for task in context.service.registry.recovering}


@behave.when("{seconds:g} s have passed since the takeover and the second part is not listed yet")
def wait(context, seconds):
    while context.now_s < NOW_S + seconds:
        report(context, (), (), is_complete=True, number=1, after_s=0.25)
        report(context, (), context.ends, is_complete=False, after_s=0.25)
        for worker in context.service.workers.values():
            worker.extend_lease(context.now_s, 2.5, fleetview.LeaseCall.START)
        context.service.tick(context.now_s, 1)


@behave.then("its tasks are recovering")
def check_recovering(context):
    assert get_recovering(context) == {2, 3}, get_recovering(context)
    assert not context.record.ready


@behave.when("the second part is listed")
def list_rest(context):
    ends = [make_end(number + 1, *context.runs[number]) for number in range(2, 4)]
    report(context, (), ends, is_complete=True)
    context.service.tick(context.now_s, 1)


@behave.when("that worker falls silent until its lease has expired")
def fall_silent(context):
    context.now_s = NOW_S + 20
    context.service.tick(context.now_s, 1)


@behave.then("no task is recovering")
def check_none(context):
    assert not get_recovering(context), get_recovering(context)
    assert {key.position for key in context.record.ready} == {2, 3}, context.record.ready


@behave.then("no task is recovering, and none of the ended tasks starts again")
def check_ended(context):
    assert not get_recovering(context), get_recovering(context)
    assert context.record.progress.state is jobs.JobState.SUCCEEDED, context.record.progress
    assert not context.service.choose_starts(context.now_s)
