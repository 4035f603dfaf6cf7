"""Release the runs of lost workers, and find out which of these workers have crashed.

A worker has crashed if another one answers at its host later, unless it drained or its host was
cleared for a move or for maintenance. Silence proves nothing: the runs of a silent worker are kept
and stored until it answers again or turns out to have crashed, also after their lease has expired.
"""

import collections
import collections.abc
import dataclasses

from nutmegshelf import crashes, fleetview, ids, jobs, leaselimits, notes, registry, releasedruns

# This many crashes of workers of one service within the period make a storm.
_STORM_CRASHES = 4
_STORM_PERIOD_S = 10.0
# The runs of a worker that neither answers nor restarts are forgotten after this time.
_RETENTION_S = 120.0
_LOSS_EVENTS = {
    fleetview.LossCause.RESTARTED: "task lost",
    fleetview.LossCause.LEASE_EXPIRED: "lease lapsed",
    fleetview.LossCause.HOST_LEFT: "task lost",
}


@dataclasses.dataclass(slots=True)
class _LostWorker:
    host: ids.HostId
    lost_s: float
    runs: crashes.LostRuns


class _LostWorkers:
    """The workers that are silent, or whose runs were released as they were, with these runs."""

    def __init__(self) -> None:
        self._lost: dict[fleetview.Incarnation, _LostWorker] = {}
        # When the last crashes were found.
        self._crashes_s: collections.deque[float] = collections.deque(maxlen=_STORM_CRASHES)

    def has(self, incarnation: fleetview.Incarnation) -> bool:
        """Return whether the runs of a worker are kept."""
        return incarnation in self._lost

    def add(self, worker: fleetview.Worker, now_s: float) -> crashes.LostRuns:
        """Keep the runs of a worker that may have crashed, and return them."""
        runs = crashes.get_lost_runs(worker)
        if not runs or not worker.facts.host:
            return []
        self._lost[worker.facts.incarnation] = _LostWorker(worker.facts.host, now_s, runs)
        return runs

    def add_stored(self, key: jobs.TaskKey, run: jobs.UnresolvedRun, now_s: float) -> None:
        """Keep a run that an earlier holder stored as unresolved."""
        incarnation = fleetview.Incarnation(run.worker, run.born_ms)
        lost = self._lost.setdefault(incarnation, _LostWorker(run.host, now_s, []))
        lost.runs.append((key, run))

    def discard(self, incarnation: fleetview.Incarnation) -> crashes.LostRuns:
        """Drop and return the runs of a worker."""
        lost = self._lost.pop(incarnation, None)
        return lost.runs if lost is not None else []

    def get_at_host(self, host: ids.HostId) -> list[fleetview.Incarnation]:
        """Return the workers at a host whose runs are kept."""
        return [incarnation for incarnation, lost in self._lost.items() if lost.host == host]

    def get_expired(self, now_s: float) -> list[fleetview.Incarnation]:
        """Return the workers that have neither answered nor restarted for long."""
        return [
            incarnation
            for incarnation, lost in self._lost.items()
            if now_s - lost.lost_s > _RETENTION_S
        ]

    def get_before(self, host: ids.HostId, born_ms: int) -> list[fleetview.Incarnation]:
        """Return the workers of a host that started before a time."""
        return [each for each in self.get_at_host(host) if each.born_ms < born_ms]

    def take_crashed(self, incarnation: fleetview.Incarnation, now_s: float) -> crashes.LostRuns:
        """Remove and return the runs of a worker that turned out to have crashed."""
        runs = self.discard(incarnation)
        if runs:
            self._crashes_s.append(now_s)
        return runs

    def is_storm(self, now_s: float) -> bool:
        """Return whether many workers crashed lately."""
        is_full = len(self._crashes_s) == _STORM_CRASHES
        return is_full and now_s - self._crashes_s[0] <= _STORM_PERIOD_S


class LossTracker:
    """The losses of workers of one service, and the crashes counted for its tasks."""

    def __init__(
        self,
        job_registry: registry.JobRegistry,
        decision_notes: notes.Notes,
        lease_limits: leaselimits.LeaseLimits,
        released_runs: releasedruns.ReleasedRuns,
    ) -> None:
        self._registry = job_registry
        self._notes = decision_notes
        self._lease_limits = lease_limits
        self._released_runs = released_runs
        self._lost_workers = _LostWorkers()

    def release(self, worker: fleetview.Worker, now_s: float, cause: fleetview.LossCause) -> None:
        """Release all runs of a worker, which are lost, and record why."""
        self._release(worker, list(worker.tasks.values()), now_s, cause)

    def release_expired(self, worker: fleetview.Worker, now_s: float) -> None:
        """Release the runs of a worker that can't go on without an answer from it."""
        expired = [
            task
            for task in worker.tasks.values()
            if now_s > self._lease_limits.get_release_s(worker, task)
        ]
        if expired:
            self._release(worker, expired, now_s, fleetview.LossCause.LEASE_EXPIRED)

    def _release(
        self,
        worker: fleetview.Worker,
        tasks: list[fleetview.Task],
        now_s: float,
        cause: fleetview.LossCause,
    ) -> None:
        facts = worker.facts
        for task in tasks:
            record = self._registry.records[task.key.job]
            if task.crashes is not None and crashes.is_cleared(task, worker) and record.is_live:
                self._registry.forget_crashes(record, task)
        # A worker that drains is not lost by a crash, and one that left its pool may run on.
        if not facts.is_draining and cause is not fleetview.LossCause.HOST_LEFT:
            self._lost_workers.add(worker, now_s)
        if tasks:
            self._notes.note(
                "worker lost",
                worker=facts.incarnation.worker,
                host=facts.host,
                reason=cause.value,
                tasks=len(tasks),
                kept=len(worker.tasks) - len(tasks),
                unheard_s=round(now_s - worker.heard_s, 3),
                is_draining=facts.is_draining,
                is_listed=worker.is_listed,
                **_describe_lease(worker, now_s),
            )
        for task in tasks:
            self._notes.note_task(
                _LOSS_EVENTS[cause],
                task,
                reason=cause.value,
                worker=facts.incarnation.worker,
                phase=task.phase.value,
                is_confirmed=task.is_confirmed,
                started_ago_s=round(now_s - task.sent_s, 3),
            )
            if cause is fleetview.LossCause.LEASE_EXPIRED and not task.step.speculative:
                self._released_runs.add(worker, task, now_s)
            self._registry.release(self._registry.records[task.key.job], task, worker, now_s)

    def store_silent(self, worker: fleetview.Worker, now_s: float) -> None:
        """Have the runs of a worker that fell silent stored, in case that it has crashed."""
        if worker.facts.is_draining or self._lost_workers.has(worker.facts.incarnation):
            return
        for key, run in self._lost_workers.add(worker, now_s):
            self._registry.add_unresolved(self._registry.records[key.job], key, run)

    def expect_unresolved(self, record: registry.JobRecord, now_s: float) -> None:
        """Keep the unresolved runs of a loaded job until their workers answer or have crashed."""
        for task in record.iterate_tasks():
            for run in task.crashes.unresolved if task.crashes is not None else ():
                self._lost_workers.add_stored(task.key, run, now_s)

    def clear(self, incarnation: fleetview.Incarnation) -> None:
        """Record that a worker was only silent, or that nothing more will be known of it."""
        for key, run in self._lost_workers.discard(incarnation):
            record = self._registry.records.get(key.job)
            if record is not None:
                self._registry.clear_unresolved(record, key, run.run)

    def clear_host(self, host: ids.HostId) -> None:
        """Record that the worker of a host will end by a move or by maintenance, not by a crash."""
        for incarnation in self._lost_workers.get_at_host(host):
            self.clear(incarnation)

    def expire(self, now_s: float) -> None:
        """Forget the workers that have neither answered nor restarted for long."""
        for incarnation in self._lost_workers.get_expired(now_s):
            self.clear(incarnation)
        self._released_runs.expire(now_s)

    def count_crashes(
        self,
        host: ids.HostId,
        born_ms: int,
        excluded: collections.abc.Container[fleetview.Incarnation],
        now_s: float,
    ) -> None:
        """Count the crashes of the workers that ran at a host before one that answers there."""
        for incarnation in self._lost_workers.get_before(host, born_ms):
            if incarnation not in excluded:
                self.count_crash(incarnation, now_s)

    def count_crash(self, incarnation: fleetview.Incarnation, now_s: float) -> None:
        """Count the crash of a worker for its tasks, and give up those with too many crashes."""
        lost_runs = self._lost_workers.take_crashed(incarnation, now_s)
        if not lost_runs:
            return
        self._notes.note(
            "worker crashed",
            worker=incarnation.worker,
            tasks=len(lost_runs),
            alone=lost_runs[0][1].is_alone,
            early=sum(lost.is_early for _, lost in lost_runs),
        )
        is_storm = self._lost_workers.is_storm(now_s)
        for key, lost in lost_runs:
            record = self._registry.records.get(key.job)
            if record is None or not record.is_live:
                continue
            self._registry.record_crash(record, key, lost, now_s, is_storm=is_storm)
            task = record.get_task(key)
            if task is not None:
                self._note_crash(task, lost)
            if not record.is_live:
                self._notes.note_job_ended(record.progress, now_s - record.accepted_s)

    def _note_crash(self, task: fleetview.Task, lost: jobs.UnresolvedRun) -> None:
        history = task.crashes
        if history is None:
            return
        self._notes.note_task(
            "crash counted",
            task,
            lost_run=lost.run,
            crashes=len(history.runs),
            alone=len(history.alone),
            is_suspect=history.is_suspect,
        )


def _describe_lease(worker: fleetview.Worker, now_s: float) -> dict[str, float | str | None]:
    """Return what a log line says of the account of a worker's lease."""
    request = worker.lease_request
    if request is None:
        return {"lease_call": None}
    return {
        "lease_call": request.call.value,
        "lease_asked_ago_s": round(now_s - request.sent_s, 3),
        "lease_over_s": round(now_s - (worker.leased_until_s or request.until_s), 3),
    }
