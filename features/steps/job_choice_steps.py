"""Check the pace of tasks and the order of jobs without any entry."""

import behave
from nutmegshelf import estimates, fleetview, jobs, pacing, registry, urgency

from features import jobsite


@behave.given("a worker with a serving task of target {target:d} ms and a filling task")
def share_worker(context, target):
    facts = fleetview.WorkerFacts(
        fleetview.Incarnation("w1", 1), "a", "h1", "", "z", "r", frozenset(), 16_000, 64_000, 0
    )
    context.worker = fleetview.Worker(facts)
    serving = jobs.Step(count=1, cpu_millis=1000, long_running=True, target_ms=target)
    filling = jobs.Step(count=1, cpu_millis=1000, long_running=True, fills=True)
    job_registry = registry.JobRegistry(1)
    record = job_registry.add(jobsite.job(1, (serving, filling)), None, 0.0, 0, may_run=False)
    context.serving, context.filling = record.iterate_tasks()
    for task in (context.serving, context.filling):
        job_registry.adopt(record, task, context.worker, 1, 0.0)


@behave.then("the filling task's pace goes as follows")
def check_paces(context):
    for number, row in enumerate(context.table):
        context.serving.tail_latency_ms = float(row["tail ms"])
        for task, percent in pacing.choose_paces(context.worker, float(number + 1)).items():
            task.pace_percent = percent
        assert context.filling.pace_percent == int(row["percent"]), (number, context.filling)


@behave.given("jobs that wait as follows")
def list_jobs(context):
    context.records = {}
    job_registry = registry.JobRegistry(1)
    for number, row in enumerate(context.table):
        queue_fields = {"target_latency_ms": int(float(row["objective s"]) * 1000), "stretch": 0.0}
        job = jobsite.job(
            number,
            (jobs.Step(count=1, estimate_ms=500, long_running=row["lasts"] == "yes"),),
            queue=jobsite.queue(priority=int(row["priority"]), **queue_fields),
        )
        accepted_s = 100.0 - float(row["accepted s ago"])
        context.records[row["job"]] = job_registry.add(job, None, accepted_s, 0, may_run=False)


@behave.then('their order is "{names}"')
def check_order(context, names):
    names_in_order = sorted(
        context.records,
        key=lambda name: urgency.compute(context.records[name], estimates.Estimates(), 100.0),
    )
    assert ", ".join(names_in_order) == names, names_in_order
