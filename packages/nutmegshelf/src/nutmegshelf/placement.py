"""Decide where tasks run, what yields to urgent work, and what can never run."""

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
_NOTHING = sizes.Size(0.0, 0.0)
_NORMAL_RANK = CLASS_RANKS[declarations.RequestClass.NORMAL]


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a task at a worker."""

    task: ids.TaskId
    worker: ids.WorkerId


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Checkpoint a task, so that a more urgent one can start, or its worker can drain."""

    task: ids.TaskId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a task whose job is cancelled or given up."""

    task: ids.TaskId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unschedulable:
    """Leave a job's tasks aside, with the reason."""

    job: ids.JobName
    reason: str


Choice = Start | Preempt | Stop | Unschedulable


@dataclasses.dataclass(slots=True)
class WorkerLoad:
    """Keep what is free at one worker and what runs there."""

    record: workers.WorkerRecord
    free: sizes.Size
    is_open: bool
    running: dict[ids.TaskId, tasks.TaskRow] = dataclasses.field(default_factory=dict)


def get_capacity(record: workers.WorkerRecord) -> sizes.Size:
    """Give the whole of a worker."""
    return sizes.Size(record.cores, record.memory_gb, record.accelerators)


class Placer:
    """Choose for one pool; built from rows for each pass and changed as choices are made."""

    def __init__(
        self,
        pool: ids.PoolName,
        declared: declarations.DeclarationSet,
        learned: sizes.SizeEstimator,
        faults: failures.FailureTracker,
    ) -> None:
        self._pool = pool
        self._declared = declared
        self._sizes = learned
        self._blame = faults
        self._jobs = {name: job for name, job in declared.jobs.items() if job.pool == pool}
        self._spots: dict[ids.WorkerId, WorkerLoad] = {}
        self._rows: dict[ids.TaskId, tasks.TaskRow] = {}
        self._quota_used: dict[ids.TeamName, sizes.Size] = {}
        self._in_zone: collections.Counter[tuple[ids.JobName, ids.ZoneName]] = collections.Counter()
        self._in_rack: collections.Counter[tuple[ids.JobName, ids.RackName]] = collections.Counter()

    def add_worker(self, record: workers.WorkerRecord, is_open: bool) -> None:
        """Add a worker of the pool; a closed one keeps its tasks but gets no new ones."""
        open_now = is_open and not self._blame.is_quarantined(record.worker)
        self._spots[record.worker] = WorkerLoad(record, get_capacity(record), open_now)

    def add_task(self, row: tasks.TaskRow) -> None:
        """Add a task as its row has it; one that may run takes its room and its team's quota."""
        self._rows[row.task] = row
        if tasks.may_be_running(row):
            self._count(row, 1)

    def add_usage(self, used: dict[ids.TeamName, sizes.Size]) -> None:
        """Add what teams use in other pools."""
        for team, size in used.items():
            self._quota_used[team] = self._quota_used.get(team, _NOTHING).plus(size)

    def choose(self) -> list[Choice]:
        """Give all choices of one pass, the most urgent first."""
        choices = self._cancel()
        choices += self._clear_closed()
        parked: set[ids.JobName] = set()
        for name, job in sorted(self._jobs.items(), key=_urgency):
            if reason := self._never(name, job):
                parked.add(name)
                choices.append(Unschedulable(name, reason))
        for name, job in sorted(self._jobs.items(), key=_urgency):
            if name not in parked:
                choices += self._place_job(name, job)
        return choices

    def _cancel(self) -> list[Choice]:
        wanted = {
            tasks.task_id(name, index)
            for name, job in self._jobs.items()
            for index in range(job.tasks)
            if not self._blame.is_stopped(name)
        }
        settled = (tasks.TaskState.RUNNING, tasks.TaskState.PENDING, tasks.TaskState.ENDED)
        return [
            Stop(row.task, "its job is cancelled or fails everywhere")
            for row in self._own_rows()
            if row.task not in wanted and row.state in settled
        ]

    def _clear_closed(self) -> list[Choice]:
        return [
            Preempt(row.task, f"{row.worker} takes no work")
            for row in self._own_rows()
            if row.state is tasks.TaskState.RUNNING and self._has_to_leave(row)
        ]

    def _has_to_leave(self, row: tasks.TaskRow) -> bool:
        spot = self._spots.get(row.worker) if row.worker is not None else None
        if spot is None:
            return True
        # Guarded tasks run to their end, and their worker's drain waits for them.
        return not spot.is_open and not row.guarded

    def _own_rows(self) -> list[tasks.TaskRow]:
        return [row for row in self._rows.values() if row.pool == self._pool]

    def _never(self, name: ids.JobName, job: declarations.Job) -> str | None:
        if self._blame.is_stopped(name):
            return "it fails at every worker, where other jobs run"
        need = self._sizes.get_size(name, job)
        whole = [get_capacity(spot.record) for spot in self._spots.values()]
        if whole and not any(need.fits(room) for room in whole):
            return (
                f"a task needs {need.cores:g} cores, {need.memory_gb:g} GB and "
                f"{need.accelerators} accelerators, and no worker of {self._pool} has them"
            )
        team = self._declared.teams.get(job.team)
        if team is not None and not need.fits(_quota(team)):
            return f"one task is above the quota of team {job.team}"
        return None

    def _place_job(self, name: ids.JobName, job: declarations.Job) -> list[Choice]:
        choices: list[Choice] = []
        need = self._sizes.get_size(name, job)
        for index in range(job.tasks):
            task = tasks.task_id(name, index)
            row = self._rows.get(task) or tasks.TaskRow(
                task=task, job=name, pool=self._pool, guarded=job.guarded
            )
            if row.state is not tasks.TaskState.PENDING:
                continue
            if not self._is_within_quota(job, need):
                break
            spot = self._best(name, need)
            if spot is not None:
                choices.append(self._start(row, spot))
                continue
            if job.request_class is not declarations.RequestClass.URGENT:
                break
            choices += self._make_room(need)
        return choices

    def _best(self, name: ids.JobName, need: sizes.Size) -> WorkerLoad | None:
        avoided = self._blame.get_failed_workers(name)
        found = [spot for spot in self._spots.values() if spot.is_open and need.fits(spot.free)]
        return min(
            found,
            key=lambda spot: (
                spot.record.worker in avoided,
                self._in_zone[name, spot.record.zone],
                self._in_rack[name, spot.record.rack],
                self._blame.count_failed_jobs(spot.record.worker),
                spot.free.accelerators,
                spot.free.cores,
                spot.record.worker,
            ),
            default=None,
        )

    def _make_room(self, need: sizes.Size) -> list[Choice]:
        open_spots = [spot for spot in self._spots.values() if spot.is_open]
        best: list[tasks.TaskRow] = []
        chosen: WorkerLoad | None = None
        for spot in open_spots:
            victims = self._victims(spot, need)
            if victims is None:
                continue
            if chosen is None or self._harm(victims) < self._harm(best):
                best, chosen = victims, spot
        if chosen is None:
            return []
        # The room is set aside, so that nothing else is chosen into it while it is being made.
        chosen.free = chosen.free.plus(need, -1)
        for row in best:
            yielding = msgspec.structs.replace(row, state=tasks.TaskState.CHECKPOINTING)
            self._rows[row.task] = chosen.running[row.task] = yielding
        return [Preempt(row.task, "urgent work needs the room") for row in best]

    def _victims(self, spot: WorkerLoad, need: sizes.Size) -> list[tasks.TaskRow] | None:
        room = spot.free
        for row in spot.running.values():
            if row.state is tasks.TaskState.CHECKPOINTING:
                room = room.plus(self._size(row))
        victims: list[tasks.TaskRow] = []
        yielding = [
            row
            for row in spot.running.values()
            if row.state is tasks.TaskState.RUNNING and not row.guarded and self._rank(row) > 0
        ]
        for row in sorted(yielding, key=lambda row: (-self._rank(row), row.task)):
            if need.fits(room):
                break
            victims.append(row)
            room = room.plus(self._size(row))
        return victims if need.fits(room) else None

    def _harm(self, victims: list[tasks.TaskRow]) -> tuple[int, int]:
        # One task of the normal class weighs more than any number of batch tasks.
        normal = sum(self._rank(row) == _NORMAL_RANK for row in victims)
        return normal, len(victims)

    def _start(self, row: tasks.TaskRow, spot: WorkerLoad) -> Start:
        placed = tasks.TaskRow(
            task=row.task,
            job=row.job,
            pool=self._pool,
            state=tasks.TaskState.STARTING,
            worker=spot.record.worker,
            guarded=row.guarded,
        )
        self._rows[row.task] = placed
        self._count(placed, 1)
        return Start(row.task, spot.record.worker)

    def _count(self, row: tasks.TaskRow, sign: int) -> None:
        size = self._size(row)
        job = self._declared.jobs.get(row.job)
        if job is not None:
            used = self._quota_used.get(job.team, _NOTHING)
            self._quota_used[job.team] = used.plus(size, sign)
        spot = self._spots.get(row.worker) if row.worker else None
        if spot is None:
            return
        spot.free = spot.free.plus(size, -sign)
        spot.running[row.task] = row
        self._in_zone[row.job, spot.record.zone] += sign
        self._in_rack[row.job, spot.record.rack] += sign

    def _is_within_quota(self, job: declarations.Job, need: sizes.Size) -> bool:
        team = self._declared.teams.get(job.team)
        used = self._quota_used.get(job.team, _NOTHING)
        return team is None or used.plus(need).fits(_quota(team))

    def _size(self, row: tasks.TaskRow) -> sizes.Size:
        job = self._declared.jobs.get(row.job)
        return self._sizes.get_size(row.job, job) if job is not None else _NOTHING

    def _rank(self, row: tasks.TaskRow) -> int:
        job = self._declared.jobs.get(row.job)
        return CLASS_RANKS[job.request_class] if job is not None else len(CLASS_RANKS)


def _urgency(item: tuple[ids.JobName, declarations.Job]) -> tuple[int, bool, ids.JobName]:
    name, job = item
    return CLASS_RANKS[job.request_class], not job.guarded, name


def sum_usage_by_team(
    declared: declarations.DeclarationSet,
    learned: sizes.SizeEstimator,
    rows: collections.abc.Iterable[tasks.TaskRow],
) -> dict[ids.TeamName, sizes.Size]:
    """Sum what the tasks that may run use of their teams' quotas."""
    used: dict[ids.TeamName, sizes.Size] = {}
    for row in rows:
        job = declared.jobs.get(row.job)
        if job is not None and tasks.may_be_running(row):
            used[job.team] = used.get(job.team, _NOTHING).plus(learned.get_size(row.job, job))
    return used


def _quota(team: declarations.Team) -> sizes.Size:
    return sizes.Size(team.quota_cores, team.quota_memory_gb, team.quota_accelerators)
