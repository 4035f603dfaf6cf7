"""Steps on ends that workers report of tasks that are over already."""

import asyncio
import copy

import behave
from nutmegshelf import codecs, fleetview, jobs, scheduler

from features import jobsite
from features.steps import jobs_steps

NOW_S = 10.0
# The second occurrence is due long after the end of the test.
INTERVAL_MS = 10_000_000
START_VALID_S = 1.5


def make_job(step, occurrences=2, **queue_fields):
    return jobsite.job(
        1,
        (step,),
        queue=jobsite.queue(**queue_fields),
        occurrences=occurrences,
        first_due_ms=0,
        interval_ms=INTERVAL_MS,
    )


def start_all(context, job, copies):
    """Run the tasks of a job, and a copy of the first one, each at a worker of its own."""
    context.service = jobsite.scheduler_with_workers(2, cpu_millis=4000, memory_mb=1000)
    context.job = job
    context.record = context.service.registry.add(job, None, NOW_S, 1, may_run=False)
    workers = list(context.service.workers.values())
    registry = context.service.registry
    tasks = list(context.record.iterate_tasks())
    if copies:
        tasks.insert(1, registry.add_speculative_run(tasks[0]))
    context.runs = []
    for task, worker in zip(tasks, workers, strict=False):
        registry.assign(context.record, task, worker, registry.get_next_run(task), NOW_S)
        task.phase, task.is_confirmed = fleetview.Phase.RUNNING, True
        context.runs.append((task.key.name, task.run, worker.facts.incarnation))


@behave.given("a scheduled job with a {shape} step runs at 2 workers")
def run_scheduled(context, shape):
    is_gang = shape == "gang"
    step = jobs.Step(
        count=2 if is_gang else 1,
        cpu_millis=1000,
        estimate_ms=500,
        gang=is_gang,
        speculative=not is_gang,
    )
    start_all(context, make_job(step), copies=not is_gang)


@behave.given("a job of 2 speculative tasks with one attempt, of which one runs twice")
def run_plain(context):
    step = jobs.Step(count=2, cpu_millis=1000, estimate_ms=500, speculative=True)
    job = jobsite.job(1, (step,), queue=jobsite.queue(max_attempts=1))
    start_all(context, job, copies=True)


def report_end(service, run, outcome, now_s):
    name, number, incarnation = run
    end = fleetview.RunEnd(1, name, number, fleetview.RunOutcome(outcome), "kept")
    service.apply_report(fleetview.WorkerReport(incarnation, 0, now_s - 0.01, now_s, (), (end,)))


@behave.when('the workers report the ends "{ends}" of its first occurrence')
@behave.when('the workers report the ends "{ends}" of that task')
def report_ends(context, ends):
    context.ends = ends.split(", ")
    for run, outcome in zip(context.runs, context.ends, strict=True):
        report_end(context.service, run, outcome, NOW_S + 1)


@behave.when("the job is cancelled")
def cancel(context):
    context.service.registry.end_job(context.record, jobs.JobState.CANCELLED, "", NOW_S)


@behave.when("the second worker falls silent and its run is kept as unresolved")
def fall_silent(context):
    worker = list(context.service.workers.values())[1]
    worker.unresponsive_since_s = NOW_S
    context.service.losses.store_silent(worker, NOW_S)
    (task,) = context.record.iterate_tasks()
    assert task.crashes is not None and task.crashes.unresolved


@behave.then("the occurrence is over, and the job is shown as running")
def check_over(context):
    progress = context.record.progress
    assert progress.finished == {0} and 0 not in progress.steps, progress
    assert progress.state is jobs.JobState.RUNNING, progress


@behave.then("the job is shown as {state}")
def check_state(context, state):
    assert context.record.progress.state.value == state, context.record.progress


@behave.then("a takeover that reads the same ends again comes to the same state")
def check_takeover(context):
    """Nothing was stored before the first holder ended."""
    progress = codecs.unpack(codecs.pack(jobs.Progress(job=context.job.job)), jobs.Progress)
    service = scheduler.Scheduler(2, lease_expiry_s=5.0, now_s=NOW_S, is_takeover=True)
    facts = [copy.copy(worker.facts) for worker in context.service.workers.values()]
    service.update_workers(facts, NOW_S)
    record = service.registry.add(context.job, progress, NOW_S, 1, may_run=True)
    for run, outcome in zip(context.runs, context.ends, strict=True):
        report_end(service, run, outcome, NOW_S + 1)
    assert record.progress.finished == {0} and not record.progress.steps, record.progress


@behave.when("a gang of 2 tasks with 3 occurrences is submitted beside a plain job")
@jobs_steps.paused
async def submit_gang(context):
    step = jobs.Step(count=2, cpu_millis=1000, memory_mb=100, estimate_ms=500, gang=True)
    fields = {"occurrences": 3, "first_due_ms": 1, "interval_ms": 1}
    gang = await jobs_steps.submit(context, 1, (step,), "e0", **fields)
    plain = await jobs_steps.submit(context, 2, jobs_steps.parse_steps("2, 2 after 0"), "e0")
    context.both = [gang, plain]
    await asyncio.sleep(0)


@behave.then("both jobs are shown as succeeded within {seconds:g} s")
@jobs_steps.paused
async def check_both(context, seconds):
    for job in context.both:
        await jobs_steps.wait_until(
            seconds, jobs_steps.has_state(context, job, "succeeded"), "states"
        )


@behave.then("no holder has failed")
def check_no_failures(context):
    epochs = [
        service.lease_manager.get_holder("a").epoch
        for service, _ in context.site.entries.values()
        if service.lease_manager.get_holder("a")
    ]
    assert epochs == [1], epochs


@behave.when("the start of the second copy got no answer and may arrive within 1.5 s")
def leave_unanswered(context):
    (task,) = context.record.iterate_tasks()
    task.duplicate.phase = fleetview.Phase.UNCONFIRMED
    task.duplicate.may_start_until_s = NOW_S + START_VALID_S


@behave.when("the first copy ends done and the second worker reports nothing")
def end_first(context):
    report_end(context.service, context.runs[0], "done", NOW_S + 0.1)
    incarnation = context.runs[1][2]
    for now_s in (NOW_S + 0.2, NOW_S + 0.4):
        context.service.apply_report(
            fleetview.WorkerReport(incarnation, 0, now_s - 0.01, now_s, (), ())
        )


@behave.then(
    "the host of the second worker is not cleared for 1.5 s unless a stop of the copy is answered"
)
def check_not_cleared(context):
    worker = context.service.workers[context.runs[1][2]]
    assert not context.service.evacuate_host(worker.facts.host, NOW_S + 0.5, only_idle=True)
