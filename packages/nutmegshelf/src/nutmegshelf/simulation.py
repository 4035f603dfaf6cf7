"""Say which tasks have a place at the open workers, and which need another host.

Load pattern: short tasks come and go, and tasks that last stay. So a place is what a worker has
beside the tasks that last there: a task that finds one gets it soon, and a task that finds none
waits for ever, however many cores are free in the sum.
"""

import collections
import collections.abc
import dataclasses
import math

from nutmegshelf import fitting, fleetview, jobs, policy, registry

# More tasks that need another host are not counted, as their hosts come in several turns anyway.
_MOST_HOMELESS = 256
# Short tasks that run for less time than this use a host in turns.
_TURN_S = 0.3
# A step that the policy refused at so many workers asks for no more of them.
_MOST_REFUSED = 6

Workers = collections.abc.Iterable[fleetview.Worker]
Records = collections.abc.Iterable[registry.JobRecord]
Tasks = collections.abc.Iterable[fleetview.Task]
Ready = collections.abc.Iterable[tuple[registry.TaskSet, list[fleetview.Task]]]
Counts = collections.Counter[fleetview.Incarnation]


@dataclasses.dataclass(slots=True, eq=False)
class _Place:
    facts: fleetview.WorkerFacts
    # What stays free beside the tasks that last, and what is free now.
    room: fleetview.Resources
    free: fleetview.Resources
    given: collections.Counter[registry.TaskSet] = dataclasses.field(
        default_factory=collections.Counter
    )

    def shortage(self, step: jobs.Step) -> float:
        """Give how much of the host's room has to come free before a task fits."""
        lacking = fleetview.Resources(0, step.memory_mb - self.free.memory_mb, 0)
        if not step.fills:
            lacking.cpu_millis = step.cpu_millis - self.free.cpu_millis
        return fleetview.compute_dominant_share(lacking, self.facts)

    def takes(self, part: registry.TaskSet, here: Counts, most: int) -> bool:
        """Say whether a task fits beside those that are here and were given a place here."""
        life, labels = self.facts.incarnation, self.facts.labels
        count = here[life] + self.given[part]
        return fitting.find_unmet_constraint(part.step, self.room, labels, count, most) is None

    def give_most(self, part: registry.TaskSet, count: int, here: Counts, most: int) -> int:
        """Count as many of some tasks as placed here as fit; gives how many."""
        given = 0
        while given < count and self.takes(part, here, most):
            self.give(part)
            given += 1
        return given

    def give(self, part: registry.TaskSet) -> None:
        """Count a task as placed here."""
        self.room.add(part.step, -1)
        self.free.add(part.step, -1)
        self.given[part] += 1


def has_room_for_waiting(worker: fleetview.Worker, waiting: list[registry.TaskSet]) -> bool:
    """Say whether a worker that can't be cleared yet has the only room for a task that waits."""
    tasks = worker.tasks.values()
    if not tasks or any(task.phase is fleetview.Phase.STOPPING for task in tasks):
        return False
    room, labels = worker.get_room_beside_long_running(), worker.facts.labels
    return any(
        fitting.find_unmet_constraint(part.step, room, labels, 0, 0) is None for part in waiting
    )


class Reservations:
    """Own which open workers get no short tasks, so that their room comes free for one that lasts.

    The places are looked for only once a task that lasts found no worker.
    """

    def __init__(
        self, workers: list[fleetview.Worker], advice: policy.Advice, now_s: float
    ) -> None:
        self.unreserved = workers
        self._workers = workers
        self._advice = advice
        self._now_s = now_s
        self._places: PlacementSimulation | None = None

    def reserve(self, record: registry.JobRecord, part: registry.TaskSet, tasks: Tasks) -> None:
        """Keep the workers at which tasks that last fit soonest."""
        if self._places is None:
            self._places = PlacementSimulation(self._workers, self._advice)
        kept = self._places.place_all(record, part, tasks, self._now_s)
        self.unreserved = [one for one in self.unreserved if one.facts.incarnation not in kept]


class PlacementSimulation:
    """Own a trial of where tasks would go; nothing is started by it."""

    def __init__(self, workers: Workers, advice: policy.Advice) -> None:
        self._advice = advice
        self._places = [
            _Place(one.facts, one.get_room_beside_long_running(), dataclasses.replace(one.free))
            for one in workers
        ]
        # Steps of which a task found no place, once for each such task.
        self.unplaced: list[registry.TaskSet] = []
        # Workers that some task has its place at.
        self.reserved: set[fleetview.Incarnation] = set()

    def place_waiting(self, records: Records, now_s: float) -> None:
        """Give the tasks that last and wait their places."""
        for record in records:
            if not record.job.is_long_running or not record.ready:
                continue
            for part, tasks in record.group_ready_tasks():
                if part.step.long_running:
                    self.place_all(record, part, tasks, now_s)

    def place_stopping(self, workers: Workers, book: registry.JobRegistry) -> None:
        """Give the tasks that last and are being stopped their places."""
        for worker in workers:
            for task in worker.tasks.values():
                is_leaving = task.phase is fleetview.Phase.STOPPING and task.step.long_running
                if is_leaving and book.records[task.key.job].is_live:
                    self.place(task, book.get_task_set(task), math.inf)

    def place_displaced(self, worker: fleetview.Worker, book: registry.JobRegistry) -> None:
        """Give the tasks that last and have to leave a worker their places."""
        for task in worker.tasks.values():
            is_staying = task.phase is not fleetview.Phase.STOPPING and task.step.long_running
            if is_staying and book.records[task.key.job].is_live:
                self.place(task, book.get_task_set(task), 0.0)

    def place_all(
        self, record: registry.JobRecord, part: registry.TaskSet, tasks: Tasks, now_s: float
    ) -> set[fleetview.Incarnation]:
        """Give tasks of a step that wait their places, or count them as homeless."""
        waits = sorted(tasks, key=lambda task: task.since_s)
        here, found, place = registry.count_runs_by_worker(part), set(), None
        for index, task in enumerate(waits):
            most = fitting.get_max_per_worker(
                part.step, registry.get_waiting_time_s(record, task, now_s)
            )
            if place is None or not place.takes(part, here, most):
                place = self._find(part, task.key, here, most)
            if place is None:
                # The others of the step wait for less time, and fit no better.
                self.unplaced += [part] * (len(waits) - index)
                break
            place.give(part)
            found.add(place.facts.incarnation)
        self.reserved |= found
        return found

    def place(self, task: fleetview.Task, part: registry.TaskSet, waited_s: float) -> bool:
        """Give a task its place, or count it as homeless."""
        most = fitting.get_max_per_worker(part.step, waited_s)
        place = self._find(part, task.key, registry.count_runs_by_worker(part), most)
        if place is None:
            self.unplaced.append(part)
            return False
        place.give(part)
        self.reserved.add(place.facts.incarnation)
        return True

    def add_unplaceable(self, ready: Ready) -> None:
        """Count the tasks that end soon as homeless where no worker ever has room for them."""
        for part, tasks in ready:
            if len(self.unplaced) >= _MOST_HOMELESS:
                return
            if not part.step.long_running and not self._has_room(part, tasks[0].key):
                turn = min(1.0, part.step.estimate_ms / 1000 / _TURN_S)
                self.unplaced += [part] * math.ceil(turn * len(tasks))

    def count_additional_hosts(self, facts: fleetview.WorkerFacts, labels: frozenset[str]) -> int:
        """Give how many hosts with some labels the homeless tasks fill, the largest first.

        Steps that the policy refused at many workers need other hosts than come.
        """
        room = fleetview.Resources(facts.cpu_millis, facts.memory_mb, facts.accelerators)
        fresh: list[_Place] = []
        none: Counts = collections.Counter()
        counted = collections.Counter(self.unplaced)
        for part in sorted(counted, key=lambda part: -fitting.compute_share(part.step, facts)):
            is_hopeless = fitting.find_unmet_constraint(part.step, room, labels, 0, 0) is not None
            if is_hopeless or len(self._refused(part.tasks[0].key)) >= _MOST_REFUSED:
                continue
            most, left = fitting.get_max_per_worker(part.step), counted[part]
            for place in fresh:
                left -= place.give_most(part, left, none, most)
            while left:
                fresh.append(_Place(facts, dataclasses.replace(room), dataclasses.replace(room)))
                left -= fresh[-1].give_most(part, left, none, most)
        return len(fresh)

    def _find(
        self, part: registry.TaskSet, key: jobs.TaskKey, here: Counts, most: int
    ) -> _Place | None:
        """Give the place where a task fits soonest, or none."""
        able = [one for one in self._allowed(key) if one.takes(part, here, most)]
        return min(able, key=lambda one: one.shortage(part.step), default=None)

    def _has_room(self, part: registry.TaskSet, key: jobs.TaskKey) -> bool:
        step, able = part.step, self._allowed(key)
        return any(
            fitting.find_unmet_constraint(step, one.room, one.facts.labels, 0, 0) is None
            for one in able
        )

    def _allowed(self, key: jobs.TaskKey) -> list[_Place]:
        refused = self._refused(key)
        if not refused:
            return self._places
        return [one for one in self._places if one.facts.incarnation not in refused]

    def _refused(self, key: jobs.TaskKey) -> collections.abc.Collection[fleetview.Incarnation]:
        return self._advice.get_refused(policy.format_step_name(key))
