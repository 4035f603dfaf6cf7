"""Compare the placement of short tasks with a search through all workers."""

import collections
import dataclasses
import random

import behave
from nutmegshelf import fitting, fleetview, jobs

from features import jobsite


def make_workers(rng, count):
    workers = []
    for number in range(count):
        facts = dataclasses.replace(
            jobsite.worker_facts(number, cpu_millis=64_000, memory_mb=128_000),
            rack=f"r{number % 7}",
            labels=frozenset({"a"} if rng.random() < 0.5 else set()),
        )
        worker = fleetview.Worker(facts)
        worker.consecutive_failures = rng.choice((0, 0, 0, 1, 2))
        for index in range(rng.randrange(4)):
            step = jobs.Step(count=1, cpu_millis=rng.randrange(20_000), memory_mb=9_000)
            add_task(worker, jobs.TaskKey("0" * 16, number, 0, index), step)
        workers.append(worker)
    return workers


def add_task(worker, key, step):
    worker.add_task(fleetview.Task(key, step))


def search(step, workers, runs):
    """Return the worker by the rule for short tasks, applied to all workers."""
    suitable = [
        worker
        for worker in workers
        if fitting.find_unmet_constraint(
            step,
            worker.free,
            worker.facts.labels,
            runs[worker.facts.incarnation],
            step.max_per_worker,
        )
        is None
    ]
    return min(
        suitable,
        key=lambda worker: (
            bool(step.data_rack) and worker.facts.rack != step.data_rack,
            worker.consecutive_failures,
            not worker.tasks,
            worker.free.cpu_millis,
            worker.facts.incarnation,
        ),
        default=None,
    )


@behave.given("{count:d} workers with random tasks, racks, labels and failures, seed {seed:d}")
def given_workers(context, count, seed):
    context.random = random.Random(seed)
    context.workers = make_workers(context.random, count)


@behave.when("steps of random shapes are placed, one task after the other")
def place(context):
    rng, context.differing = context.random, []
    for number in range(60):
        step = jobs.Step(
            count=rng.randrange(1, 30),
            cpu_millis=rng.randrange(500, 30_000),
            memory_mb=rng.randrange(100, 60_000),
            data_rack=rng.choice(("", "", "r3")),
            label=rng.choice(("", "", "a")),
            max_per_worker=rng.choice((0, 0, 2)),
        )
        runs = collections.Counter()
        placer = fitting.ShortTaskPlacer(step, context.workers, runs)
        for position in range(step.count):
            expected, chosen = search(step, context.workers, runs), placer.choose()
            if chosen is not expected:
                context.differing.append((number, position))
            if chosen is None:
                break
            add_task(chosen, jobs.TaskKey("1" * 16, number, 0, position), step)
            runs[chosen.facts.incarnation] += 1
        # Tasks end, so that room comes free between the steps.
        for worker in context.workers:
            for task in list(worker.tasks.values()):
                if rng.random() < 0.3:
                    worker.remove_task(task, 1.0)


@behave.then("each task is placed where a search through all workers places it")
def check_same(context):
    assert not context.differing, context.differing


@behave.then(
    "a task of a burst of {width:d} tasks a job looks at most {most:d} times at one of {count:d}"
    " workers"
)
def check_looks(context, width, most, count):
    service = _Service(count)
    started = service.start_burst(width)
    looks = service.looks / started
    assert looks <= most, looks


class _Service:
    """A scheduler that counts how often a task is compared with a worker."""

    def __init__(self, count):
        self.looks = 0
        self.scheduler = jobsite.scheduler_with_workers(count, cpu_millis=64_000, memory_mb=128_000)

    def start_burst(self, width):
        step = jobs.Step(count=width, cpu_millis=9_000, memory_mb=900, estimate_ms=640)
        for number in range(40):
            job_registry = self.scheduler.registry
            job_registry.add(jobsite.job(number, (step,)), None, 10.0, 0, may_run=False)
        find = fitting.find_unmet_constraint

        def count_looks(*args):
            self.looks += 1
            return find(*args)

        fitting.find_unmet_constraint = count_looks
        try:
            return len(self.scheduler.choose_starts(10.0))
        finally:
            fitting.find_unmet_constraint = find
