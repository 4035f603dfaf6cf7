"""Decide which runs count for the crash of their worker, and which task is given up."""

from nutmegshelf import fleetview, jobs

# A run that was seen running for this time did not crash its worker by its start.
TRIAL_S = 0.5
# The same for a long-running task that has crashed more than one worker.
_REPEATED_TRIAL_S = 5.0
# A long-running task that has run for this time is cleared of all crashes before.
_CLEARED_S = 30.0
# A task is given up after this many crashes, the given number of them of workers that ran nothing
# else, or after the limit in all.
_PROVING_CRASHES = 3
_PROVING_ALONE = 2
_MAX_CRASHES = 4
LostRuns = list[tuple[jobs.TaskKey, jobs.UnresolvedRun]]


def get_lost_runs(worker: fleetview.Worker) -> LostRuns:
    """Return the runs of a worker that would count if it crashed after its last report.

    A start just before explains a crash better than a long-running task that was at work.
    """
    tasks = [
        task for task in worker.tasks.values() if _has_run(task) and not is_cleared(task, worker)
    ]
    early = {task for task in tasks if get_seen_running_s(task, worker) < TRIAL_S}
    groups = {_get_group(task) for task in worker.tasks.values()}
    is_alone = len(groups) == 1 and not worker.unknown_runs
    return [
        (
            task.key,
            make_unresolved(worker.facts, task.run, is_alone=is_alone, is_early=task in early),
        )
        for task in tasks
        if task in early or not early or not task.step.long_running
    ]


def _has_run(task: fleetview.Task) -> bool:
    return task.phase is not fleetview.Phase.DONE and task.is_confirmed and not task.is_end_unread


def make_unresolved(
    facts: fleetview.WorkerFacts, run: int, *, is_alone: bool, is_early: bool
) -> jobs.UnresolvedRun:
    """Return the record of a run at a worker that may crash or have crashed."""
    return jobs.UnresolvedRun(
        run=run,
        worker=facts.incarnation.worker,
        born_ms=facts.incarnation.born_ms,
        host=facts.host,
        is_alone=is_alone,
        is_early=is_early,
    )


def _get_group(task: fleetview.Task) -> jobs.TaskKey:
    # The tasks of a gang run only together.
    return task.key._replace(position=0) if task.step.gang else task.key


def get_seen_running_s(task: fleetview.Task, worker: fleetview.Worker) -> float:
    """Return for how long a run had been going on at the last report of its worker."""
    is_seen = task.phase in (fleetview.Phase.RUNNING, fleetview.Phase.STOPPING)
    return max(0.0, worker.heard_s - task.sent_s) if is_seen else 0.0


def is_cleared(task: fleetview.Task, worker: fleetview.Worker) -> bool:
    """Return whether a long-running task has run for so long that no crash counts for it."""
    return task.step.long_running and get_seen_running_s(task, worker) >= _CLEARED_S


def needs_trial(task: fleetview.Task) -> bool:
    """Return whether a task may start only where nothing else runs."""
    history = task.crashes
    if history is None:
        return False
    return history.is_suspect or (len(history.runs) > 1 and not task.step.long_running)


def is_trial_over(task: fleetview.Task, worker: fleetview.Worker) -> bool:
    """Return whether other tasks may start beside a suspected task.

    After a second crash it runs alone for longer, as it may crash its workers late: a short task
    until its end.
    """
    seen_s = get_seen_running_s(task, worker)
    if task.crashes is None or len(task.crashes.runs) < 2:
        return seen_s >= TRIAL_S
    return task.step.long_running and seen_s >= _REPEATED_TRIAL_S


def is_given_up(history: jobs.CrashHistory, *, is_storm: bool) -> bool:
    """Return whether a task with these crashes must not start again.

    While many workers crash, a crash proves less, and one more is needed.
    """
    count = len(history.runs) - is_storm
    is_proven = count >= _PROVING_CRASHES and len(history.alone) - is_storm >= _PROVING_ALONE
    return is_proven or count >= _MAX_CRASHES
