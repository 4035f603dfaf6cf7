"""Steps on tasks that may have crashed a worker and wait for the place of their trial."""

import dataclasses

import behave
from nutmegshelf import jobs

from features import jobsite
from features.steps import room_steps

GB = 1024
CORES, MEMORY_GB = 64, 128
FIRST_S, STEP_S = 10.0, 0.1
SUSPECT = 90


def make_workers(context, count):
    size = {"cpu_millis": CORES * 1000, "memory_mb": MEMORY_GB * GB}
    context.scheduler = jobsite.scheduler_with_workers(count, **size)
    context.now_s, context.jobs = FIRST_S, 0
    return list(context.scheduler.workers.values())


def run_at(context, worker, count, step):
    """Have tasks of one job run at a worker."""
    record = room_steps.add_job(context, change_step(step, count=count))
    for task in list(record.iterate_tasks()):
        context.scheduler.registry.adopt(record, task, worker, 1, context.now_s)
        record.ready.pop(task.key, None)


def change_step(step, **fields):
    return jobs.Step(**{**{name: getattr(step, name) for name in step.__struct_fields__}, **fields})


@behave.given(
    "{count:d} workers with long-running tasks, one of which has the fewest and 8 GB beside them"
)
def fill_beside(context, count):
    workers = make_workers(context, count)
    for worker in workers[:-1]:
        run_at(context, worker, 4, room_steps.long_running_step(1, 5.3, 6))
    run_at(context, workers[-1], 3, room_steps.long_running_step(1, 7.9, 40))


@behave.given("{count:d} workers of which both run short tasks that go on")
def run_short(context, count):
    context.short = make_workers(context, count)
    for worker in context.short:
        run_at(context, worker, 1, jobs.Step(count=1, cpu_millis=64_000, memory_mb=GB))


@behave.given("{count:d} workers of which one is full of short tasks that never end")
def run_stuck(context, count):
    context.short = make_workers(context, count)
    run_at(context, context.short[0], 1, jobs.Step(count=1, cpu_millis=64_000, memory_mb=GB))


@behave.when(
    "a {shape} task of {memory:d} GB that crashed {count:d} workers waits for {seconds:g} s"
)
def wait_suspect(context, shape, memory, count, seconds):
    add_suspect(context, shape, memory, count)
    wait(context, seconds)


def add_suspect(context, shape, memory, count):
    step = jobs.Step(
        count=2 if shape == "gang" else 1,
        cpu_millis=7_700,
        memory_mb=memory * GB,
        estimate_ms=1_700,
        gang=shape == "gang",
        long_running=shape == "long-running",
    )
    job = jobsite.job(SUSPECT, (step,))
    runs = list(range(1, count + 1))
    history = jobs.CrashHistory(runs=runs, hosts={"other"}, is_suspect=True)
    progress = jobs.Progress(
        job=job.job,
        steps={0: [jobs.StepProgress(crashes=dict.fromkeys(range(step.count), history))]},
    )
    context.record = context.scheduler.registry.add(job, progress, context.now_s, 0, may_run=False)
    for task in context.record.iterate_tasks():
        task.since_s = context.now_s


@behave.when("it waits for {seconds:g} s more")
def wait(context, seconds):
    registry = context.scheduler.registry
    context.starts = []
    for _ in range(int(seconds / STEP_S)):
        context.now_s += STEP_S
        context.starts += context.scheduler.choose_starts(context.now_s)
        for job in list(registry.dirty):
            registry.take_dirty([job])
        registry.confirm_stored({})


@behave.when("the worker that is planned for it shrinks to {memory:d} GB and the short tasks end")
def shrink(context, memory):
    (planned,) = [worker for worker in context.short if worker.is_in_trial]
    facts = [
        (
            dataclasses.replace(worker.facts, memory_mb=memory * GB)
            if worker is planned
            else worker.facts
        )
        for worker in context.short
    ]
    context.scheduler.update_workers(facts, context.now_s)
    registry = context.scheduler.registry
    for worker in context.short:
        for task in list(worker.tasks.values()):
            registry.finish_task(registry.records[task.key.job], task, context.now_s)
            registry.release(registry.records[task.key.job], task, worker, context.now_s)


@behave.when(
    "a {shape} task of {memory:d} GB that crashed {count:d} workers waits as the other workers "
    "are closed"
)
def wait_closed(context, shape, memory, count):
    for worker in context.short[1:]:
        worker.is_closed = True
    wait_suspect(context, shape, memory, count, 1.0)
    assert context.short[0].is_in_trial


@behave.when("the other workers open and run a short task each")
def open_others(context):
    for worker in context.short[1:]:
        worker.is_closed = False
        run_at(context, worker, 1, jobs.Step(count=1, cpu_millis=8_000, memory_mb=GB))


@behave.then("it has started at a worker with room for it")
def check_started(context):
    assert [start.key.job for start in context.starts] == [
        context.record.job.job for _ in context.record.iterate_tasks()
    ], context.starts
    for task in context.record.iterate_tasks():
        worker = context.scheduler.workers[task.incarnation]
        assert not worker.free.is_overcommitted, worker
