"""Choose tasks of speculative steps that get a second run at another worker.

Load pattern: a worker is slow, or tasks on it stand still, and a whole step waits for the one task
there. A second run pays where a fresh one would surely be done first, so it needs proof: a share
of the expected time has passed, and by its progress the first run needs much longer than another.
"""

import collections.abc
import math

from nutmegshelf import estimates, fleetview, registry

# A run is not judged before this share of its expected time, as progress is told in whole percent.
_JUDGED_AFTER = 0.5
# The first run has to need this many times longer than a fresh one.
_SLOWER_BY = 1.5


def choose_tasks(
    records: collections.abc.Iterable[registry.JobRecord],
    workers: collections.abc.Mapping[fleetview.Incarnation, fleetview.Worker],
    learned: estimates.Estimates,
    now_s: float,
) -> list[tuple[registry.JobRecord, fleetview.Task]]:
    """Give the tasks that get a second run, those that would take longest first."""
    found: list[tuple[float, str, registry.JobRecord, fleetview.Task]] = []
    for record in records:
        if not any(step.speculative for step in record.job.steps):
            continue
        for task in record.iterate_tasks():
            if not _may_be_copied(task):
                continue
            fresh_s = learned.get_expected_s(record.job.queue.name, task.step.estimate_ms)
            worker = workers.get(task.incarnation) if task.incarnation is not None else None
            rest_s = get_expected_remaining_s(task, worker, fresh_s, now_s)
            if now_s - task.sent_s >= _JUDGED_AFTER * fresh_s and rest_s > _SLOWER_BY * fresh_s:
                found.append((-rest_s, task.key.name, record, task))
    return [(record, task) for _, _, record, task in sorted(found, key=lambda one: one[:2])]


def _may_be_copied(task: fleetview.Task) -> bool:
    step = task.step
    return (
        step.speculative
        and not step.long_running
        and not step.gang
        and task.duplicate is None
        and task.phase is fleetview.Phase.RUNNING
        and step.estimate_ms > 0
    )


def get_expected_remaining_s(
    task: fleetview.Task, worker: fleetview.Worker | None, expected_s: float, now_s: float
) -> float:
    """Give how long a run still takes by its progress, or by its estimate before there is any.

    One that is overdue without any progress is expected never to end.
    """
    heard_s = max(task.sent_s, worker.heard_s if worker is not None else now_s)
    took_s = heard_s - task.sent_s
    since_s = now_s - heard_s
    if task.percent > 0:
        return max(0.0, took_s * (100 - task.percent) / task.percent - since_s)
    if now_s - task.sent_s > expected_s:
        return math.inf
    return expected_s - (now_s - task.sent_s)
