"""Place tasks at workers, preempt tasks for urgent ones and find jobs that can't be scheduled."""

import collections
import collections.abc
import dataclasses

import msgspec

from nutmegshelf import declarations, failures, ids, sizes, tasks, workers

CLASS_RANKS = {
    declarations.RequestClass.URGENT: 0,
    declarations.RequestClass.NORMAL: 1,
    declarations.RequestClass.BATCH: 2,
}
_ZERO_SIZE = sizes.Size(0.0, 0.0)
_NORMAL_RANK = CLASS_RANKS[declarations.RequestClass.NORMAL]


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Choice to start a task at a worker."""

    task: ids.TaskId
    worker: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Choice to checkpoint a task, for an urgent one or because its worker is closed."""

    task: ids.TaskId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Choice to stop a task whose job is cancelled or stopped for its failures."""

    task: ids.TaskId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unschedulable:
    """Choice not to place a job's tasks in this pass, with the reason."""

    job: ids.JobName
    reason: str


Choice = Start | Preempt | Stop | Unschedulable


@dataclasses.dataclass(slots=True)
class WorkerLoad:
    """Free capacity of a worker and the tasks that run there."""

    record: workers.WorkerRecord
    free: sizes.Size
    is_open: bool
    running: dict[ids.TaskId, tasks.TaskRow] = dataclasses.field(default_factory=dict)


def get_capacity(record: workers.WorkerRecord) -> sizes.Size:
    """Return the total capacity of a worker."""
    return sizes.Size(record.cores, record.memory_gb, record.accelerators)


class Placer:
    """Placement of the tasks of one pool in one pass.

    A placer is built from the rows for each pass and updated with each choice.
    """

    def __init__(
        self,
        pool: ids.PoolName,
        declared: declarations.DeclarationSet,
        estimator: sizes.SizeEstimator,
        failure_tracker: failures.FailureTracker,
    ) -> None:
        self._pool = pool
        self._declared = declared
        self._estimator = estimator
        self._failures = failure_tracker
        self._jobs = {name: job for name, job in declared.jobs.items() if job.pool == pool}
        self._loads: dict[ids.WorkerId, WorkerLoad] = {}
        self._rows: dict[ids.TaskId, tasks.TaskRow] = {}
        self._quota_used: dict[ids.TeamName, sizes.Size] = {}
        self._counts_by_zone: collections.Counter[tuple[ids.JobName, ids.ZoneName]] = (
            collections.Counter()
        )
        self._counts_by_rack: collections.Counter[tuple[ids.JobName, ids.RackName]] = (
            collections.Counter()
        )

    def add_worker(self, record: workers.WorkerRecord, is_open: bool) -> None:
        """Add a worker of the pool; a closed one gets no new tasks."""
        is_open_now = is_open and not self._failures.is_quarantined(record.worker)
        self._loads[record.worker] = WorkerLoad(record, get_capacity(record), is_open_now)

    def add_task(self, row: tasks.TaskRow) -> None:
        """Add a task; one that may be running is charged to its worker and to its team's quota."""
        self._rows[row.task] = row
        if tasks.may_be_running(row):
            self._count(row, 1)

    def add_usage(self, used: dict[ids.TeamName, sizes.Size]) -> None:
        """Add the usage of teams in other pools."""
        for team, size in used.items():
            self._quota_used[team] = self._quota_used.get(team, _ZERO_SIZE).plus(size)

    def choose(self) -> list[Choice]:
        """Return the choices of this pass, with jobs placed in order of urgency."""
        choices = self._stop_unwanted()
        choices += self._clear_closed_workers()
        unschedulable: set[ids.JobName] = set()
        for name, job in sorted(self._jobs.items(), key=_get_urgency):
            if reason := self._find_obstacle(name, job):
                unschedulable.add(name)
                choices.append(Unschedulable(name, reason))
        for name, job in sorted(self._jobs.items(), key=_get_urgency):
            if name not in unschedulable:
                choices += self._place_job(name, job)
        return choices

    def _stop_unwanted(self) -> list[Choice]:
        wanted = {
            tasks.task_id(name, index)
            for name, job in self._jobs.items()
            for index in range(job.tasks)
            if not self._failures.is_stopped(name)
        }
        stoppable_states = (tasks.TaskState.RUNNING, tasks.TaskState.PENDING, tasks.TaskState.ENDED)
        return [
            Stop(row.task, "its job is cancelled or fails everywhere")
            for row in self._get_pool_rows()
            if row.task not in wanted and row.state in stoppable_states
        ]

    def _clear_closed_workers(self) -> list[Choice]:
        return [
            Preempt(row.task, f"{row.worker} takes no work")
            for row in self._get_pool_rows()
            if row.state is tasks.TaskState.RUNNING and self._must_leave(row)
        ]

    def _must_leave(self, row: tasks.TaskRow) -> bool:
        load = self._loads.get(row.worker) if row.worker is not None else None
        if load is None:
            return True
        # Guarded tasks run to completion, and the drain of their worker waits for them.
        return not load.is_open and not row.guarded

    def _get_pool_rows(self) -> list[tasks.TaskRow]:
        return [row for row in self._rows.values() if row.pool == self._pool]

    def _find_obstacle(self, name: ids.JobName, job: declarations.Job) -> str | None:
        if self._failures.is_stopped(name):
            return "it fails at every worker, where other jobs run"
        need = self._estimator.get_size(name, job)
        capacities = [get_capacity(load.record) for load in self._loads.values()]
        if capacities and not any(need.fits(capacity) for capacity in capacities):
            return (
                f"a task needs {need.cores:g} cores, {need.memory_gb:g} GB and "
                f"{need.accelerators} accelerators, and no worker of {self._pool} has them"
            )
        team = self._declared.teams.get(job.team)
        if team is not None and not need.fits(_get_quota(team)):
            return f"one task is above the quota of team {job.team}"
        return None

    def _place_job(self, name: ids.JobName, job: declarations.Job) -> list[Choice]:
        choices: list[Choice] = []
        need = self._estimator.get_size(name, job)
        for index in range(job.tasks):
            task = tasks.task_id(name, index)
            row = self._rows.get(task) or tasks.TaskRow(
                task=task, job=name, pool=self._pool, guarded=job.guarded
            )
            if row.state is not tasks.TaskState.PENDING:
                continue
            if not self._is_within_quota(job, need):
                break
            load = self._choose_worker(name, need)
            if load is not None:
                choices.append(self._start(row, load))
                continue
            if job.request_class is not declarations.RequestClass.URGENT:
                break
            choices += self._preempt_for(need)
        return choices

    def _choose_worker(self, name: ids.JobName, need: sizes.Size) -> WorkerLoad | None:
        failed_workers = self._failures.get_failed_workers(name)
        candidates = [
            load for load in self._loads.values() if load.is_open and need.fits(load.free)
        ]
        return min(
            candidates,
            key=lambda load: (
                load.record.worker in failed_workers,
                self._counts_by_zone[name, load.record.zone],
                self._counts_by_rack[name, load.record.rack],
                self._failures.count_failed_jobs(load.record.worker),
                load.free.accelerators,
                load.free.cores,
                load.record.worker,
            ),
            default=None,
        )

    def _preempt_for(self, need: sizes.Size) -> list[Choice]:
        open_loads = [load for load in self._loads.values() if load.is_open]
        best_victims: list[tasks.TaskRow] = []
        best_load: WorkerLoad | None = None
        for load in open_loads:
            victims = self._choose_victims(load, need)
            if victims is None:
                continue
            if best_load is None or self._get_preemption_cost(victims) < self._get_preemption_cost(
                best_victims
            ):
                best_victims, best_load = victims, load
        if best_load is None:
            return []
        # Reserve the capacity, so that no other task is placed there while it is being freed.
        best_load.free = best_load.free.plus(need, -1)
        for row in best_victims:
            preempted = msgspec.structs.replace(row, state=tasks.TaskState.CHECKPOINTING)
            self._rows[row.task] = best_load.running[row.task] = preempted
        return [Preempt(row.task, "urgent work needs the room") for row in best_victims]

    def _choose_victims(self, load: WorkerLoad, need: sizes.Size) -> list[tasks.TaskRow] | None:
        capacity = load.free
        for row in load.running.values():
            if row.state is tasks.TaskState.CHECKPOINTING:
                capacity = capacity.plus(self._get_size(row))
        victims: list[tasks.TaskRow] = []
        preemptible = [
            row
            for row in load.running.values()
            if row.state is tasks.TaskState.RUNNING and not row.guarded and self._get_rank(row) > 0
        ]
        for row in sorted(preemptible, key=lambda row: (-self._get_rank(row), row.task)):
            if need.fits(capacity):
                break
            victims.append(row)
            capacity = capacity.plus(self._get_size(row))
        return victims if need.fits(capacity) else None

    def _get_preemption_cost(self, victims: list[tasks.TaskRow]) -> tuple[int, int]:
        # One task of the normal class costs more than any number of batch tasks.
        normal_count = sum(self._get_rank(row) == _NORMAL_RANK for row in victims)
        return normal_count, len(victims)

    def _start(self, row: tasks.TaskRow, load: WorkerLoad) -> Start:
        placed = tasks.TaskRow(
            task=row.task,
            job=row.job,
            pool=self._pool,
            state=tasks.TaskState.STARTING,
            worker=load.record.worker,
            guarded=row.guarded,
        )
        self._rows[row.task] = placed
        self._count(placed, 1)
        return Start(row.task, load.record.worker)

    def _count(self, row: tasks.TaskRow, sign: int) -> None:
        size = self._get_size(row)
        job = self._declared.jobs.get(row.job)
        if job is not None:
            used = self._quota_used.get(job.team, _ZERO_SIZE)
            self._quota_used[job.team] = used.plus(size, sign)
        load = self._loads.get(row.worker) if row.worker else None
        if load is None:
            return
        load.free = load.free.plus(size, -sign)
        load.running[row.task] = row
        self._counts_by_zone[row.job, load.record.zone] += sign
        self._counts_by_rack[row.job, load.record.rack] += sign

    def _is_within_quota(self, job: declarations.Job, need: sizes.Size) -> bool:
        team = self._declared.teams.get(job.team)
        used = self._quota_used.get(job.team, _ZERO_SIZE)
        return team is None or used.plus(need).fits(_get_quota(team))

    def _get_size(self, row: tasks.TaskRow) -> sizes.Size:
        job = self._declared.jobs.get(row.job)
        return self._estimator.get_size(row.job, job) if job is not None else _ZERO_SIZE

    def _get_rank(self, row: tasks.TaskRow) -> int:
        job = self._declared.jobs.get(row.job)
        return CLASS_RANKS[job.request_class] if job is not None else len(CLASS_RANKS)


def _get_urgency(item: tuple[ids.JobName, declarations.Job]) -> tuple[int, bool, ids.JobName]:
    name, job = item
    return CLASS_RANKS[job.request_class], not job.guarded, name


def sum_usage_by_team(
    declared: declarations.DeclarationSet,
    estimator: sizes.SizeEstimator,
    rows: collections.abc.Iterable[tasks.TaskRow],
) -> dict[ids.TeamName, sizes.Size]:
    """Return the usage of each team by its tasks that may be running."""
    used: dict[ids.TeamName, sizes.Size] = {}
    for row in rows:
        job = declared.jobs.get(row.job)
        if job is not None and tasks.may_be_running(row):
            used[job.team] = used.get(job.team, _ZERO_SIZE).plus(estimator.get_size(row.job, job))
    return used


def _get_quota(team: declarations.Team) -> sizes.Size:
    return sizes.Size(team.quota_cores, team.quota_memory_gb, team.quota_accelerators)
