"""Build the views that operators see of a service: its jobs, tasks, queues, pool and lease."""

import collections

import msgspec

from nutmegshelf import audit, crashes, fleetview, ids, jobs, registry, scheduler


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A job: the number of its tasks by phase, and what it waits for."""

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
    """A task with its current run; a task without a run has no worker."""

    task: ids.TaskId
    phase: fleetview.Phase
    worker: ids.WorkerId | None
    run: int
    percent: int
    failures: int
    since_s: float
    # The workers that have crashed under it.
    crashes: int = 0


class JobDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A job with its tasks and the decisions on it, the newest first."""

    job: JobView
    tasks: tuple[TaskView, ...]
    decisions: tuple[audit.Decision, ...]


class QueueView(msgspec.Struct, frozen=True, kw_only=True):
    """The number of live jobs and of running and waiting tasks of a queue."""

    queue: ids.QueueName
    service: ids.ServiceName
    priority: int
    pending: int
    live: int
    tasks_running: int
    tasks_waiting: int


class PoolView(msgspec.Struct, frozen=True, kw_only=True):
    """The workers of a pool; the hosts are the actual and the planned numbers of the planner."""

    pool: ids.ServiceName
    workers: int = 0
    open_workers: int = 0
    cpu_millis: int = 0
    cpu_running: int = 0
    cpu_waiting: int = 0
    hosts: int | None = None
    hosts_wanted: int | None = None


class WaveView(msgspec.Struct, frozen=True, kw_only=True):
    """The progress of a wave of upkeep."""

    wave: int
    hosts: int
    done: int
    down: int
    at_once: int
    is_finished: bool


class HolderView(msgspec.Struct, frozen=True, kw_only=True):
    """The holder of a service, and the time since the last renewal of its lease."""

    service: ids.ServiceName
    entry: ids.EntryId
    epoch: ids.Epoch
    lease_age_s: float
    is_settled: bool
    jobs_live: int
    jobs_kept: int


def make_job_view(
    job_scheduler: scheduler.Scheduler, record: registry.JobRecord, now_s: float
) -> JobView:
    """Return the view of a job."""
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
        waits_for=_get_waits_for(job_scheduler, record, now_s),
    )


def make_job_detail(
    job_scheduler: scheduler.Scheduler,
    record: registry.JobRecord,
    log: audit.DecisionLog,
    now_s: float,
) -> JobDetail:
    """Return the view of a job with its tasks and decisions."""
    return JobDetail(
        job=make_job_view(job_scheduler, record, now_s),
        tasks=tuple(_make_task_view(task, now_s) for task in record.iterate_tasks()),
        decisions=tuple(log.get(record.job.job)),
    )


def _make_task_view(task: fleetview.Task, now_s: float) -> TaskView:
    return TaskView(
        task=task.key.name,
        phase=task.phase,
        worker=task.incarnation.worker if task.incarnation is not None else None,
        run=task.run if task.incarnation is not None else 0,
        percent=task.percent,
        failures=len(task.failed_runs),
        since_s=round(now_s - task.since_s, 3) if task.since_s else 0.0,
        crashes=len(task.crashes.runs) if task.crashes is not None else 0,
    )


def _get_waits_for(
    job_scheduler: scheduler.Scheduler, record: registry.JobRecord, now_s: float
) -> str:
    if not record.is_live:
        return ""
    if record.ready:
        return _find_shortage(job_scheduler, record, now_s)
    if any(task.phase is fleetview.Phase.RECOVERING for task in record.iterate_tasks()):
        return "workers that an earlier holder used, to say what still runs there"
    return "" if record.occurrences else "its time"


def _find_shortage(
    job_scheduler: scheduler.Scheduler, record: registry.JobRecord, now_s: float
) -> str:
    task = next(iter(record.ready.values()))
    if crashes.needs_trial(task):
        return "a worker of its own, as workers crashed under it"
    step = task.step
    open_workers = job_scheduler.get_open_workers(now_s)
    suitable = [worker for worker in open_workers if worker.fits_when_empty(step)]
    if not open_workers:
        return f"a worker: none of {len(job_scheduler.workers)} takes work"
    if not suitable:
        return "a worker that is large enough and has the label"
    if not any(worker.fits(step) for worker in suitable):
        return f"room: {len(suitable)} workers are full"
    return "more urgent work" if record.job.queue.advised is None else "advice"


def make_holder_view(
    service: ids.ServiceName,
    entry: ids.EntryId,
    epoch: ids.Epoch,
    lease_age_s: float,
    job_scheduler: scheduler.Scheduler | None,
) -> HolderView:
    """Return the view of a holder; the holder of the fleet has no scheduler and no jobs."""
    return HolderView(
        service=service,
        entry=entry,
        epoch=epoch,
        lease_age_s=round(lease_age_s, 3),
        is_settled=job_scheduler is None or job_scheduler.is_reconciled,
        jobs_live=len(job_scheduler.registry.live) if job_scheduler is not None else 0,
        jobs_kept=len(job_scheduler.registry.records) if job_scheduler is not None else 0,
    )


def make_queue_views(job_scheduler: scheduler.Scheduler) -> list[QueueView]:
    """Return the views of the queues that have live jobs."""
    by_queue: dict[ids.QueueName, list[registry.JobRecord]] = {}
    for live_record in job_scheduler.registry.live.values():
        by_queue.setdefault(live_record.job.queue.name, []).append(live_record)
    return [
        QueueView(
            queue=name,
            service=records[0].job.service,
            priority=records[0].job.queue.priority,
            pending=sum(record.progress.state is jobs.JobState.QUEUED for record in records),
            live=len(records),
            tasks_running=sum(
                task.incarnation is not None
                for record in records
                for task in record.iterate_tasks()
            ),
            tasks_waiting=sum(len(record.ready) for record in records),
        )
        for name, records in sorted(by_queue.items())
    ]


def make_pool_view(
    job_scheduler: scheduler.Scheduler, name: ids.ServiceName, now_s: float
) -> PoolView:
    """Return the view of a service's workers."""
    listed = [worker for worker in job_scheduler.get_known_workers() if worker.is_listed]
    report = job_scheduler.get_demand(now_s)
    return PoolView(
        pool=name,
        workers=len(listed),
        open_workers=len(job_scheduler.get_open_workers(now_s)),
        cpu_millis=sum(worker.facts.cpu_millis for worker in listed),
        cpu_running=report.cpu_running,
        cpu_waiting=report.cpu_waiting,
    )
