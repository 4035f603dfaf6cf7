"""Start tasks that may crash their workers where nothing else runs.

A worker is reserved for each trial: what runs there may end, and nothing else starts there until
the suspected task has been seen running for a while, or has ended. Long-running tasks don't end, so
only the room beside them counts. The plan of a trial is stored before the start, so that a later
holder of the service can tell which task crashed the worker.
"""

import collections
import collections.abc
import dataclasses

from nutmegshelf import crashes, fitting, fleetview, jobs, notes, registry

# After this time a trial starts although other tasks still run at its worker.
_MAX_VACATE_S = 3.0
# The same for a task that crashed more than one worker.
_MAX_REPEATED_VACATE_S = 8.0
# A trial whose workers have no room for it after this time is planned anew.
_MAX_PLANNED_S = 10.0
# A task that crashed one worker waits no longer than this for a trial.
_MAX_WAIT_S = 10.0
# The same for a long-running task, whose users wait for it, after any number of crashes.
_MAX_LONG_RUNNING_WAIT_S = 1.5

GetRoom = collections.abc.Callable[[fleetview.Worker], fleetview.Resources]
GetAllowed = collections.abc.Callable[
    [registry.JobRecord, registry.TaskSet, list[fleetview.Worker]], list[fleetview.Worker]
]


@dataclasses.dataclass(slots=True, eq=False)
class Trial:
    """The trial of one task, or of all tasks of a gang."""

    record: registry.JobRecord
    task_set: registry.TaskSet
    tasks: list[fleetview.Task]
    # The worker of each task.
    workers: list[fleetview.Worker]
    run: int
    # It starts only once this change of its job is stored.
    stored_change: int
    planned_s: float
    is_started: bool = False

    @property
    def are_workers_empty(self) -> bool:
        """Return whether nothing runs at the workers of a trial that has not started."""
        return not any(worker.is_occupied for worker in self.workers)


class Trials:
    """The trials of one service that are planned or under way."""

    def __init__(self, job_registry: registry.JobRegistry, decision_notes: notes.Notes) -> None:
        self._registry = job_registry
        self._notes = decision_notes
        self._trials: dict[jobs.TaskKey, Trial] = {}
        self._reserved: set[fleetview.Incarnation] = set()
        # Suspected tasks that wait, and have no worker or one that is not empty yet.
        self.waiting_count = 0

    def update(
        self, open_workers: list[fleetview.Worker], get_allowed: GetAllowed, now_s: float
    ) -> None:
        """End the trials that are over, and plan those of the suspected tasks that wait."""
        self.waiting_count = 0
        if not self._trials and not self._registry.suspects:
            return
        incarnations = {worker.facts.incarnation for worker in open_workers}
        for key, trial in list(self._trials.items()):
            is_valid = _is_valid(trial, incarnations) and not _has_expired(trial, now_s)
            if not (_is_under_way(trial) if trial.is_started else is_valid):
                self._end(key, trial)
        suspects = sorted(
            self._registry.get_waiting_suspects(),
            key=lambda task: (-_count_crashes(task), task.since_s, task.key),
        )
        for task in suspects:
            if not self._needs_plan(task, open_workers):
                continue
            if not self._plan(task, open_workers, get_allowed, now_s):
                self.waiting_count += 1
        self.waiting_count += sum(
            not trial.is_started and not trial.are_workers_empty for trial in self._trials.values()
        )

    def get_unreserved(self, workers: list[fleetview.Worker]) -> list[fleetview.Worker]:
        """Return the workers that are not reserved for a trial."""
        if not self._reserved:
            return workers
        return [worker for worker in workers if worker.facts.incarnation not in self._reserved]

    def get_startable(self, now_s: float) -> list[Trial]:
        """Return the trials that may start now."""
        stored_change = self._registry.get_stored_change() if self._trials else 0
        return [
            trial
            for trial in self._trials.values()
            if not trial.is_started
            and trial.stored_change <= stored_change
            and (trial.are_workers_empty or _has_waited(trial.tasks, now_s))
            and _has_room(trial)
        ]

    def is_held(self, task: fleetview.Task, now_s: float) -> bool:
        """Return whether a task may not start outside of a trial."""
        if not crashes.needs_trial(task):
            return False
        if self._is_planned(task):
            return True
        if task.step.long_running:
            return now_s - task.since_s < _MAX_LONG_RUNNING_WAIT_S
        return _count_crashes(task) > 1 or now_s - task.since_s < _MAX_WAIT_S

    def _is_planned(self, task: fleetview.Task) -> bool:
        return _get_trial_key(task) in self._trials

    def _needs_plan(self, task: fleetview.Task, open_workers: list[fleetview.Worker]) -> bool:
        """Return whether a task has no plan, after dropping one that an empty worker betters."""
        key = _get_trial_key(task)
        trial = self._trials.get(key)
        if trial is None:
            return True
        if trial.is_started or trial.are_workers_empty or task.step.gang:
            return False
        empty = [each for each in self.get_unreserved(open_workers) if not each.is_occupied]
        if _choose_workers(trial.task_set, trial.tasks, empty) is None:
            return False
        self._end(key, trial)
        return True

    def _end(self, key: jobs.TaskKey, trial: Trial) -> None:
        del self._trials[key]
        for worker in trial.workers:
            worker.is_in_trial = False
            self._reserved.discard(worker.facts.incarnation)
        for task, worker in zip(trial.tasks, trial.workers, strict=True):
            if trial.is_started and task.run == trial.run and task.incarnation is not None:
                self._notes.note_task("trial passed", task, worker=task.incarnation.worker)
            if not trial.is_started or worker.unresponsive_since_s is None:
                self._registry.clear_unresolved(trial.record, task.key, trial.run)

    def _plan(
        self,
        task: fleetview.Task,
        open_workers: list[fleetview.Worker],
        get_allowed: GetAllowed,
        now_s: float,
    ) -> bool:
        """Reserve a worker for each task of a trial, and have the plan stored."""
        record, task_set = self._registry.records[task.key.job], self._registry.get_task_set(task)
        tasks = task_set.tasks if task.step.gang else [task]
        if any(member.key not in record.ready for member in tasks):
            return False
        allowed = get_allowed(record, task_set, self.get_unreserved(open_workers))
        workers = _choose_workers(task_set, tasks, allowed)
        if workers is None:
            return False
        # At least half of the workers stay open to the other tasks.
        others = [each for each in open_workers if each.facts.incarnation in self._reserved]
        count = len({worker.facts.incarnation for worker in [*others, *workers]})
        if others and count > max(1, len(open_workers) // 2):
            return False
        run = max(self._registry.get_next_run(member) for member in tasks)
        for member, worker in zip(tasks, workers, strict=True):
            worker.is_in_trial = True
            plan = crashes.make_unresolved(worker.facts, run, is_alone=True, is_early=True)
            self._registry.add_unresolved(record, member.key, plan)
            self._notes.note_task(
                "trial planned",
                member,
                worker=worker.facts.incarnation.worker,
                crashes=_count_crashes(member),
                others=len(worker.tasks),
                waited_s=round(now_s - member.since_s, 3),
            )
        self._reserved.update(worker.facts.incarnation for worker in workers)
        key = _get_trial_key(task)
        self._trials[key] = Trial(
            record, task_set, list(tasks), workers, run, self._registry.last_change, now_s
        )
        return True


def _get_trial_key(task: fleetview.Task) -> jobs.TaskKey:
    return task.key._replace(position=0) if task.step.gang else task.key


def _count_crashes(task: fleetview.Task) -> int:
    return len(task.crashes.runs) if task.crashes is not None else 0


def _has_waited(tasks: list[fleetview.Task], now_s: float) -> bool:
    """Return whether a trial waits no longer for the other tasks at its workers to end."""
    has_repeated = any(_count_crashes(task) > 1 for task in tasks)
    limit_s = _MAX_REPEATED_VACATE_S if has_repeated else _MAX_VACATE_S
    return now_s - max(task.since_s for task in tasks) > limit_s


def _is_under_way(trial: Trial) -> bool:
    """Return whether a task of a started trial may still crash its worker."""
    return any(
        task.run == trial.run
        and task.incarnation == worker.facts.incarnation
        and not crashes.is_trial_over(task, worker)
        for task, worker in zip(trial.tasks, trial.workers, strict=True)
    )


def _is_valid(trial: Trial, open_incarnations: set[fleetview.Incarnation]) -> bool:
    """Return whether the tasks of a planned trial wait, for open workers that can hold them."""
    return (
        all(task.key in trial.record.ready for task in trial.tasks)
        and all(worker.facts.incarnation in open_incarnations for worker in trial.workers)
        and _has_room(trial, fleetview.Worker.get_room_beside_long_running)
    )


def _has_expired(trial: Trial, now_s: float) -> bool:
    """Return whether a planned trial has waited for its workers' other tasks for too long."""
    return now_s - trial.planned_s > _MAX_PLANNED_S and not _has_room(trial)


def _get_free(worker: fleetview.Worker) -> fleetview.Resources:
    return worker.free


def _has_room(trial: Trial, get_room: GetRoom = _get_free) -> bool:
    counts = collections.Counter(worker.facts.incarnation for worker in trial.workers)
    return all(
        fitting.count_fitting(trial.task_set.step, get_room(worker))
        >= counts[worker.facts.incarnation]
        for worker in trial.workers
    )


def _choose_workers(
    task_set: registry.TaskSet, tasks: list[fleetview.Task], workers: list[fleetview.Worker]
) -> list[fleetview.Worker] | None:
    """Return the worker of each task, empty ones if possible, or None."""
    step = task_set.step
    if step.gang:
        empty = [worker for worker in workers if not worker.is_occupied]
        for suitable in (empty, workers):
            if chosen := fitting.choose_gang_workers(step, len(tasks), suitable):
                return chosen
        return _choose_vacated(step, len(tasks), workers)
    run_counts = registry.count_runs_by_worker(task_set)
    # Crashes of one host only may be the fault of the host.
    crashed_hosts = {host for task in tasks if task.crashes for host in task.crashes.hosts}
    suitable = [
        worker
        for worker in workers
        if worker.fits_when_empty(step)
        and worker.get_room_beside_long_running().fits(step)
        and not 0 < step.max_per_worker <= run_counts[worker.facts.incarnation]
    ]
    best = min(
        suitable,
        key=lambda worker: (
            worker.is_occupied,
            not worker.fits(step),
            worker.facts.host in crashed_hosts,
            bool(step.data_rack) and worker.facts.rack != step.data_rack,
            worker.consecutive_failures,
            worker.long_running_count,
            len(worker.tasks),
            worker.facts.incarnation,
        ),
        default=None,
    )
    return [best] if best is not None else None


def _choose_vacated(
    step: jobs.Step, count: int, workers: list[fleetview.Worker]
) -> list[fleetview.Worker] | None:
    """Return workers that hold a gang once only long-running tasks are left there."""
    by_incarnation = {worker.facts.incarnation: worker for worker in workers}
    vacated = [fleetview.Worker(worker.facts) for worker in workers]
    for worker, emptied in zip(workers, vacated, strict=True):
        emptied.free = worker.get_room_beside_long_running()
    chosen = fitting.choose_gang_workers(step, count, vacated)
    return [by_incarnation[each.facts.incarnation] for each in chosen] if chosen else None
