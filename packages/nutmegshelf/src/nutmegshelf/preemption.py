"""Choose runs to preempt in favor of more urgent work.

Load pattern: a burst on an urgent queue arrives while the workers are full of long work of less
urgent queues. Only runs with checkpoints are preempted, so that little work is lost, and only runs
that would occupy the worker for long: waiting for the others is cheaper than a stop and a restart.
"""

import collections.abc
import dataclasses

from nutmegshelf import estimates, fleetview, jobs, registry, speculation, urgency

# A run that ends within this time is not preempted; a stop and a new start take about as long.
_MIN_REMAINING_S = 1.0
# The limit per pass, so that freed capacity is used before more runs are stopped.
_MAX_VICTIMS = 16


class Preemption:
    """The choice of the runs to preempt in one pass."""

    def __init__(
        self,
        workers: collections.abc.Collection[fleetview.Worker],
        job_registry: registry.JobRegistry,
        run_estimates: estimates.Estimates,
        now_s: float,
    ) -> None:
        self._workers = workers
        self._job_registry = job_registry
        self._estimates = run_estimates
        self._now_s = now_s
        self._free: dict[fleetview.Incarnation, fleetview.Resources] = {}
        # The runs that may be preempted at all, by worker.
        self._preemptible = {
            worker.facts.incarnation: preemptible
            for worker in workers
            if (
                preemptible := [
                    task for task in worker.tasks.values() if self._is_preemptible(task, worker)
                ]
            )
        }
        self._victims: dict[fleetview.Task, None] = {}

    def choose_victims(
        self, unplaced: collections.abc.Iterable[registry.JobRecord]
    ) -> list[fleetview.Task]:
        """Return the runs to stop for jobs that could not be placed, given in order of urgency.

        No run is stopped for a job that is late already, as the lost work is worth more.
        """
        if not self._preemptible:
            return []
        for record in unplaced:
            timeliness = urgency.classify(record, self._estimates, self._now_s)
            if timeliness is not urgency.Timeliness.ON_TIME:
                continue
            for task in record.ready.values():
                if len(self._victims) >= _MAX_VICTIMS:
                    return list(self._victims)
                if not task.step.gang and not self._free_room(record, task.step):
                    break
        return list(self._victims)

    def _free_room(self, record: registry.JobRecord, step: jobs.Step) -> bool:
        best: tuple[int, fleetview.Worker, list[fleetview.Task]] | None = None
        for worker in self._workers:
            if not worker.fits_when_empty(step):
                continue
            victims = self._find_victims(worker, record, step)
            if victims is not None and (best is None or len(victims) < best[0]):
                best = len(victims), worker, victims
        if best is None:
            return False
        _, worker, victims = best
        free = self._get_free(worker)
        for task in victims:
            free.add(task.step, 1)
            self._victims[task] = None
        free.add(step, -1)
        return True

    def _get_free(self, worker: fleetview.Worker) -> fleetview.Resources:
        incarnation = worker.facts.incarnation
        if incarnation not in self._free:
            free = dataclasses.replace(worker.free)
            for task in worker.tasks.values():
                if task.phase in (fleetview.Phase.STOPPING, fleetview.Phase.DONE):
                    free.add(task.step, 1)
            self._free[incarnation] = free
        return self._free[incarnation]

    def _find_victims(
        self, worker: fleetview.Worker, record: registry.JobRecord, step: jobs.Step
    ) -> list[fleetview.Task] | None:
        free = dataclasses.replace(self._get_free(worker))
        victims: list[fleetview.Task] = []
        if free.fits(step):
            return victims
        candidates = [
            task
            for task in self._preemptible.get(worker.facts.incarnation, ())
            if task not in self._victims and self._get_priority(task) > record.job.queue.priority
        ]
        # The least urgent go first, and the largest of those, so that few runs are stopped.
        candidates.sort(
            key=lambda task: (-self._get_priority(task), -task.step.cpu_millis, task.key)
        )
        for task in candidates:
            free.add(task.step, 1)
            victims.append(task)
            if free.fits(step):
                return victims
        return None

    def _get_priority(self, task: fleetview.Task) -> int:
        return self._job_registry.records[task.key.job].job.queue.priority

    def _is_preemptible(self, task: fleetview.Task, worker: fleetview.Worker) -> bool:
        step = task.step
        if task.phase is not fleetview.Phase.RUNNING:
            return False
        if not step.checkpointing or step.long_running or step.gang:
            return False
        queue_name = self._job_registry.records[task.key.job].job.queue.name
        expected_s = self._estimates.get_expected_s(queue_name, step.estimate_ms)
        return (
            speculation.get_expected_remaining_s(task, worker, expected_s, self._now_s)
            > _MIN_REMAINING_S
        )
