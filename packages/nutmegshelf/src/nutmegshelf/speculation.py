"""Choose tasks of speculative steps that get a second run at another worker.

A slow or stuck worker can hold up a whole step by its one task there. A second run pays off only if
it would finish first, so it takes evidence: a share of the expected time has passed, and by its
progress the first run still needs much longer than a new one.
"""

import collections.abc
import math

from nutmegshelf import estimates, fleetview, registry

# Progress is reported in whole percent, so runs are not judged before this share of the time.
_MIN_ELAPSED_FRACTION = 0.5
# A second run starts if the first one needs this many times longer than a new one.
_MIN_SLOWDOWN = 1.5


def choose_tasks(
    records: collections.abc.Iterable[registry.JobRecord],
    workers: collections.abc.Mapping[fleetview.Incarnation, fleetview.Worker],
    task_estimates: estimates.Estimates,
    now_s: float,
) -> list[tuple[registry.JobRecord, fleetview.Task]]:
    """Return the tasks that get a second run, the ones with the longest remaining time first."""
    candidates: list[tuple[float, str, registry.JobRecord, fleetview.Task]] = []
    for record in records:
        if not any(step.speculative for step in record.job.steps):
            continue
        for task in record.iterate_tasks():
            if not _may_be_duplicated(task):
                continue
            expected_s = task_estimates.get_expected_s(record.job.queue.name, task.step.estimate_ms)
            worker = workers.get(task.incarnation) if task.incarnation is not None else None
            remaining_s = get_expected_remaining_s(task, worker, expected_s, now_s)
            if (
                now_s - task.sent_s >= _MIN_ELAPSED_FRACTION * expected_s
                and remaining_s > _MIN_SLOWDOWN * expected_s
            ):
                candidates.append((-remaining_s, task.key.name, record, task))
    return [
        (record, task)
        for _, _, record, task in sorted(candidates, key=lambda candidate: candidate[:2])
    ]


def _may_be_duplicated(task: fleetview.Task) -> bool:
    step = task.step
    return (
        step.speculative
        and not step.long_running
        and not step.gang
        and not (task.crashes is not None and task.crashes.runs)
        and task.duplicate is None
        and task.phase is fleetview.Phase.RUNNING
        and step.estimate_ms > 0
    )


def get_expected_remaining_s(
    task: fleetview.Task, worker: fleetview.Worker | None, expected_s: float, now_s: float
) -> float:
    """Return the remaining time of a run by its progress, or by its estimate before there is any.

    A run that is overdue without any progress is expected never to end.
    """
    reported_s = max(task.sent_s, worker.heard_s if worker is not None else now_s)
    elapsed_s = reported_s - task.sent_s
    report_age_s = now_s - reported_s
    if task.percent > 0:
        return max(0.0, elapsed_s * (100 - task.percent) / task.percent - report_age_s)
    if now_s - task.sent_s > expected_s:
        return math.inf
    return expected_s - (now_s - task.sent_s)
