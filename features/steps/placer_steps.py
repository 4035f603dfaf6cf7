"""Steps for a single pass of the placer."""

import behave
from nutmegshelf import declarations, failures, placement, sizes, tasks, workers

from features import fleet


def parse_amounts(text):
    cores, memory, accelerators = text.split()
    return float(cores[:-1]), float(memory[:-1]), int(accelerators[:-1])


@behave.given(
    "a pool of {count:d} workers with {shape}, {per_rack:d} to a rack, "
    "and a team quota of {quota:g} cores"
)
def make_pool(context, count, shape, per_rack, quota):
    cores, memory_gb, accelerators = parse_amounts(shape)
    context.team = declarations.Team(
        quota_cores=quota, quota_memory_gb=1000.0, quota_accelerators=8
    )
    context.workers = [
        workers.WorkerRecord(
            worker=f"w{number}",
            zone=f"z{number // per_rack}",
            rack=f"r{number // per_rack}",
            pool="a",
            cores=cores,
            memory_gb=memory_gb,
            accelerators=accelerators,
        )
        for number in range(count)
    ]


@behave.given('the running tasks "{running}"')
@behave.given('the running tasks ""')
def add_running(context, running=""):
    context.jobs, context.rows = {}, []
    for text in filter(None, map(str.strip, running.split(";"))):
        worker, name, kind, cores, *flags = text.split()
        guarded = "guarded" in flags
        context.jobs[name] = fleet.make_job("others", float(cores[:-1]), 1.0, kind, guarded=guarded)
        state = "checkpointing" if "checkpointing" in flags else "running"
        context.rows.append(
            tasks.TaskRow(
                task=f"{name}/0",
                job=name,
                pool="a",
                worker=worker,
                state=tasks.TaskState(state),
                guarded=guarded,
            )
        )


@behave.when('a job wants "{text}"')
def place_job(context, text):
    kind, *shape, count = text.split()
    cores, memory_gb, accelerators = parse_amounts(" ".join(shape))
    context.jobs["new"] = fleet.make_job(
        "t", cores, memory_gb, kind, accelerators=accelerators, tasks=int(count[1:])
    )
    declared = declarations.DeclarationSet(jobs=context.jobs, teams={"t": context.team})
    placer = placement.Placer("a", declared, sizes.SizeEstimator(), failures.FailureTracker())
    for record in context.workers:
        placer.add_worker(record, True)
    for row in context.rows:
        placer.add_task(row)
    context.choices = placer.choose()


@behave.then('the placer answers "{answer}"')
def check_answer(context, answer):
    worker_of = {row.task: row.worker for row in context.rows}
    results = []
    for choice in context.choices:
        match choice:
            case placement.Start(_, worker):
                results.append(("start", worker))
            case placement.Preempt(task, _):
                results.append(("preempt", worker_of[task]))
            case placement.Unschedulable(_, reason):
                results.append(("unschedulable", reason))
            case placement.Stop(task, _):
                results.append(("stop", task))
    verb, _, rest = answer.partition(" ")
    if verb == "nothing":
        assert not results, results
    elif verb == "unschedulable":
        assert (
            len(results) == 1 and results[0][0] == "unschedulable" and rest in results[0][1]
        ), results
    else:
        assert results == [(verb, worker) for worker in rest.split(",")], results
