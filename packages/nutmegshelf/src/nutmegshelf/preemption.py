"""Choose runs that are stopped so that more urgent work gets their room.

Load pattern: a burst of an urgent queue finds the workers full of long work of less urgent ones.
Only runs that save their state are stopped, so that little is lost, and only those that would hold
the room for long: waiting for the others is cheaper than a stop and a restart.
"""

import collections.abc
import dataclasses

from nutmegshelf import estimates, fleetview, jobs, registry, speculation, urgency

# A run that ends within this time is waited for; a stop and a start elsewhere take about as long.
_LEAST_REST_S = 1.0
# A pass stops no more runs than this, so that what it frees is used before more is stopped.
_MOST_AT_ONCE = 16


class Preemption:
    """Own one pass's choice of the runs to stop."""

    def __init__(
        self,
        workers: collections.abc.Collection[fleetview.Worker],
        book: registry.JobRegistry,
        learned: estimates.Estimates,
        now_s: float,
    ) -> None:
        self._workers = workers
        self._ledger = book
        self._estimates = learned
        self._now_s = now_s
        self._rooms: dict[fleetview.Incarnation, fleetview.Resources] = {}
        # The runs that may be stopped for any job, by worker.
        self._able = {
            worker.facts.incarnation: able
            for worker in workers
            if (able := [task for task in worker.tasks.values() if self._may_stop(task, worker)])
        }
        self._chosen: dict[fleetview.Task, None] = {}

    def choose_victims(
        self, homeless: collections.abc.Iterable[registry.JobRecord]
    ) -> list[fleetview.Task]:
        """Give the runs to stop for jobs that found no room, the most urgent of which come first.

        A job that is late already is not worth the work that a stop throws away.
        """
        if not self._able:
            return []
        for record in homeless:
            if urgency.compute(record, self._now_s).timeliness is not urgency.Timeliness.ON_TIME:
                continue
            for task in record.ready.values():
                if len(self._chosen) >= _MOST_AT_ONCE:
                    return list(self._chosen)
                if not task.step.gang and not self._make_room(record, task.step):
                    break
        return list(self._chosen)

    def _make_room(self, record: registry.JobRecord, step: jobs.Step) -> bool:
        best: tuple[int, fleetview.Worker, list[fleetview.Task]] | None = None
        for worker in self._workers:
            if not worker.fits_when_empty(step):
                continue
            victims = self._victims(worker, record, step)
            if victims is not None and (best is None or len(victims) < best[0]):
                best = len(victims), worker, victims
        if best is None:
            return False
        _, worker, victims = best
        room = self._room(worker)
        for task in victims:
            room.add(task.step, 1)
            self._chosen[task] = None
        room.add(step, -1)
        return True

    def _room(self, worker: fleetview.Worker) -> fleetview.Resources:
        life = worker.facts.incarnation
        if life not in self._rooms:
            room = dataclasses.replace(worker.free)
            for task in worker.tasks.values():
                if task.phase in (fleetview.Phase.STOPPING, fleetview.Phase.DONE):
                    room.add(task.step, 1)
            self._rooms[life] = room
        return self._rooms[life]

    def _victims(
        self, worker: fleetview.Worker, record: registry.JobRecord, step: jobs.Step
    ) -> list[fleetview.Task] | None:
        room = dataclasses.replace(self._room(worker))
        victims: list[fleetview.Task] = []
        if room.fits(step):
            return victims
        able = [
            task
            for task in self._able.get(worker.facts.incarnation, ())
            if task not in self._chosen and self._priority(task) > record.job.queue.priority
        ]
        # The least urgent go first, and of those the largest, so that few are stopped.
        able.sort(key=lambda task: (-self._priority(task), -task.step.cpu_millis, task.key))
        for task in able:
            room.add(task.step, 1)
            victims.append(task)
            if room.fits(step):
                return victims
        return None

    def _priority(self, task: fleetview.Task) -> int:
        return self._ledger.records[task.key.job].job.queue.priority

    def _may_stop(self, task: fleetview.Task, worker: fleetview.Worker) -> bool:
        step = task.step
        if task.phase is not fleetview.Phase.RUNNING:
            return False
        if not step.checkpointing or step.long_running or step.gang:
            return False
        queue = self._ledger.records[task.key.job].job.queue.name
        expected_s = self._estimates.get_expected_s(queue, step.estimate_ms)
        return (
            speculation.get_expected_remaining_s(task, worker, expected_s, self._now_s)
            > _LEAST_REST_S
        )
