"""Show operators what a service's holder knows: jobs, tasks, queues, its pool and its lease."""

import collections

import msgspec

from nutmegshelf import audit, fleetview, ids, jobs, registry, scheduler


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """Show one job: its tasks by phase, and why none of them starts."""

    job: ids.JobId
    queue: ids.QueueName
    service: ids.ServiceName
    priority: int
    state: jobs.JobState
    reason: str
    age_s: float
    tasks: dict[str, int]
    waits_for: str


class TaskView(msgspec.Struct, frozen=True, kw_only=True):
    """Show one run of a task; a task without a run has no worker."""

    task: ids.TaskId
    phase: fleetview.Phase
    worker: ids.WorkerId | None
    run: int
    percent: int
    failures: int
    since_s: float


class JobDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Show one job with its tasks and what was decided on it, the newest first."""

    job: JobView
    tasks: tuple[TaskView, ...]
    decisions: tuple[audit.Decision, ...]


class QueueView(msgspec.Struct, frozen=True, kw_only=True):
    """Show how much of a queue's work waits and runs."""

    queue: ids.QueueName
    service: ids.ServiceName
    priority: int
    pending: int
    live: int
    tasks_running: int
    tasks_waiting: int


class PoolView(msgspec.Struct, frozen=True, kw_only=True):
    """Show the workers of a pool; the hosts are those that the planner counts and wants."""

    pool: ids.ServiceName
    workers: int = 0
    open_workers: int = 0
    cpu_millis: int = 0
    cpu_running: int = 0
    cpu_waiting: int = 0
    hosts: int | None = None
    hosts_wanted: int | None = None


class WaveView(msgspec.Struct, frozen=True, kw_only=True):
    """Show how far a wave of upkeep has come."""

    wave: int
    hosts: int
    done: int
    down: int
    at_once: int
    is_finished: bool


class HolderView(msgspec.Struct, frozen=True, kw_only=True):
    """Show who holds a service, and how old the last proof of it is."""

    service: ids.ServiceName
    entry: ids.EntryId
    epoch: ids.Epoch
    lease_age_s: float
    is_settled: bool
    jobs_live: int
    jobs_kept: int


def make_job_view(held: scheduler.Scheduler, record: registry.JobRecord, now_s: float) -> JobView:
    """Show a job."""
    phases = collections.Counter(task.phase.value for task in record.iterate_tasks())
    return JobView(
        job=record.job.job,
        queue=record.job.queue.name,
        service=record.job.service,
        priority=record.job.queue.priority,
        state=record.published_state,
        reason=record.progress.reason,
        age_s=round(now_s - record.accepted_s, 3),
        tasks=dict(phases),
        waits_for=_waits_for(held, record, now_s),
    )


def make_job_detail(
    held: scheduler.Scheduler, record: registry.JobRecord, told: audit.DecisionLog, now_s: float
) -> JobDetail:
    """Show a job with its tasks."""
    return JobDetail(
        job=make_job_view(held, record, now_s),
        tasks=tuple(_task(task, now_s) for task in record.iterate_tasks()),
        decisions=tuple(told.get(record.job.job)),
    )


def _task(task: fleetview.Task, now_s: float) -> TaskView:
    return TaskView(
        task=task.key.name,
        phase=task.phase,
        worker=task.incarnation.worker if task.incarnation is not None else None,
        run=task.run if task.incarnation is not None else 0,
        percent=task.percent,
        failures=len(task.failed_runs),
        since_s=round(now_s - task.since_s, 3) if task.since_s else 0.0,
    )


def _waits_for(held: scheduler.Scheduler, record: registry.JobRecord, now_s: float) -> str:
    if not record.is_live:
        return ""
    if record.ready:
        return _lacks(held, record, now_s)
    if any(task.phase is fleetview.Phase.RECOVERING for task in record.iterate_tasks()):
        return "workers that an earlier holder used, to say what still runs there"
    return "" if record.occurrences else "its time"


def _lacks(held: scheduler.Scheduler, record: registry.JobRecord, now_s: float) -> str:
    step = next(iter(record.ready.values())).step
    found = held.get_open_workers(now_s)
    able = [worker for worker in found if worker.fits_when_empty(step)]
    if not found:
        return f"a worker: none of {len(held.workers)} takes work"
    if not able:
        return "a worker that is large enough and has the label"
    if not any(worker.fits(step) for worker in able):
        return f"room: {len(able)} workers are full"
    return "more urgent work" if record.job.queue.advised is None else "advice"


def make_holder_view(
    service: ids.ServiceName,
    entry: ids.EntryId,
    epoch: ids.Epoch,
    lease_age_s: float,
    held: scheduler.Scheduler | None,
) -> HolderView:
    """Show a holder; that of the fleet has no jobs."""
    return HolderView(
        service=service,
        entry=entry,
        epoch=epoch,
        lease_age_s=round(lease_age_s, 3),
        is_settled=held is None or held.is_reconciled,
        jobs_live=len(held.registry.live) if held is not None else 0,
        jobs_kept=len(held.registry.records) if held is not None else 0,
    )


def make_queue_views(held: scheduler.Scheduler) -> list[QueueView]:
    """Show the queues with live jobs."""
    found: dict[ids.QueueName, list[registry.JobRecord]] = {}
    for record in held.registry.live.values():
        found.setdefault(record.job.queue.name, []).append(record)
    return [
        QueueView(
            queue=name,
            service=records[0].job.service,
            priority=records[0].job.queue.priority,
            pending=sum(one.progress.state is jobs.JobState.QUEUED for one in records),
            live=len(records),
            tasks_running=sum(
                task.incarnation is not None for one in records for task in one.iterate_tasks()
            ),
            tasks_waiting=sum(len(one.ready) for one in records),
        )
        for name, records in sorted(found.items())
    ]


def make_pool_view(held: scheduler.Scheduler, name: ids.ServiceName, now_s: float) -> PoolView:
    """Show a service's workers."""
    listed = [worker for worker in held.workers.values() if worker.is_listed]
    report = held.get_demand(now_s)
    return PoolView(
        pool=name,
        workers=len(listed),
        open_workers=len(held.get_open_workers(now_s)),
        cpu_millis=sum(worker.facts.cpu_millis for worker in listed),
        cpu_running=report.cpu_running,
        cpu_waiting=report.cpu_waiting,
    )
