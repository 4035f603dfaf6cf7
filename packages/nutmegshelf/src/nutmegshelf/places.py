"""Say which tasks have a place at the open workers, and which need another host.

Load pattern: short tasks come and go, and tasks that last stay. So a place is what a worker has
beside the tasks that last there: a task that finds one gets it soon, and a task that finds none
waits for ever, however many cores are free in the sum.
"""

import collections
import collections.abc
import dataclasses

from nutmegshelf import advising, fitting, fleetview, jobs, ledger

# More tasks that need another host are not counted, as their hosts come in several turns anyway.
_MOST_HOMELESS = 256

Workers = collections.abc.Iterable[fleetview.Worker]
Records = collections.abc.Iterable[ledger.Record]


@dataclasses.dataclass(slots=True, eq=False)
class _Place:
    facts: fleetview.WorkerFacts
    # What stays free beside the tasks that last, and what is free now.
    room: fleetview.Room
    free: fleetview.Room
    worker: fleetview.Worker | None = None
    given: collections.Counter[ledger.Part] = dataclasses.field(default_factory=collections.Counter)

    def shortage(self, step: jobs.Step) -> float:
        """Give how much of the host's room has to come free before a task fits."""
        return max(
            0.0 if step.fills else (step.cpu_millis - self.free.cpu_millis) / self.facts.cpu_millis,
            (step.memory_mb - self.free.memory_mb) / self.facts.memory_mb,
        )

    def give(self, part: ledger.Part) -> None:
        self.room.count(part.step, -1)
        self.free.count(part.step, -1)
        self.given[part] += 1


class Keeper:
    """Own which open workers get no short tasks, so that their room comes free for one that lasts.

    The places are looked for only once a task that lasts found no worker.
    """

    def __init__(self, workers: list[fleetview.Worker], advice: advising.Advice) -> None:
        self.unkept = workers
        self._workers = workers
        self._advice = advice
        self._places: Places | None = None

    def keep(self, part: ledger.Part, tasks: list[fleetview.Task]) -> None:
        """Keep the workers at which tasks that last fit soonest."""
        if self._places is None:
            self._places = Places(self._workers, self._advice)
        found = [self._places.settle(task, part) for task in tasks]
        kept = {one.facts.life for one in found if one is not None}
        self.unkept = [one for one in self.unkept if one.facts.life not in kept]


class Places:
    """Own a trial of where tasks would go; nothing is started by it."""

    def __init__(self, workers: Workers, advice: advising.Advice) -> None:
        self._advice = advice
        self._places = [
            _Place(one.facts, one.room_beside_lasting(), dataclasses.replace(one.free), one)
            for one in workers
        ]
        # Steps of which a task found no place, once for each such task.
        self.homeless: list[ledger.Part] = []

    def settle_waiting(self, records: Records) -> None:
        """Give the tasks that last and wait their places."""
        for record in records:
            if not record.job.lasts:
                continue
            for part, tasks in record.ready_parts():
                if part.step.lasting:
                    for task in tasks:
                        self.settle(task, part)

    def settle_leaving(self, workers: Workers, book: ledger.Ledger) -> None:
        """Give the tasks that last and are being stopped their places."""
        for worker in workers:
            for task in worker.tasks.values():
                is_leaving = task.phase is fleetview.Phase.STOPPING and task.step.lasting
                if is_leaving and book.records[task.key.job].is_live:
                    self.settle(task, book.part_of(task))

    def settle_staying(self, worker: fleetview.Worker, book: ledger.Ledger) -> None:
        """Give the tasks that last and have to leave a worker their places."""
        for task in worker.tasks.values():
            is_staying = task.phase is not fleetview.Phase.STOPPING and task.step.lasting
            if is_staying and book.records[task.key.job].is_live:
                self.settle(task, book.part_of(task))

    def settle(self, task: fleetview.Task, part: ledger.Part) -> fleetview.Worker | None:
        """Give a task a place, or count it as homeless."""
        place = self._find(part, task.key)
        if place is None:
            self.homeless.append(part)
            return None
        place.give(part)
        return place.worker

    def note_hopeless(self, records: Records) -> None:
        """Count the tasks that end soon as homeless where no worker ever has room for them."""
        for record in records:
            for part, tasks in record.ready_parts():
                if len(self.homeless) >= _MOST_HOMELESS:
                    return
                if not part.step.lasting and not self._has_room(part, tasks[0].key):
                    self.homeless += [part] * len(tasks)

    def more_hosts(self, facts: fleetview.WorkerFacts) -> int:
        """Give how many hosts of a size the homeless tasks fill, the largest first."""
        room = fleetview.Room(facts.cpu_millis, facts.memory_mb, facts.accelerators)
        fresh: list[_Place] = []
        for part in sorted(self.homeless, key=lambda part: -fitting.share(part.step, facts)):
            if fitting.obstacle(part.step, room, facts.labels, 0, 0) is not None:
                continue
            place = next((one for one in fresh if _fits(one, part, one.given[part])), None)
            if place is None:
                place = _Place(facts, dataclasses.replace(room), dataclasses.replace(room))
                fresh.append(place)
            place.give(part)
        return len(fresh)

    def _find(self, part: ledger.Part, key: jobs.TaskKey) -> _Place | None:
        """Give the place where a task fits soonest, or none."""
        here = ledger.counts(part)
        able = [
            one
            for one in self._allowed(key)
            if _fits(one, part, here[one.facts.life] + one.given[part])
        ]
        return min(able, key=lambda one: one.shortage(part.step), default=None)

    def _has_room(self, part: ledger.Part, key: jobs.TaskKey) -> bool:
        step, able = part.step, self._allowed(key)
        return any(fitting.obstacle(step, one.room, one.facts.labels, 0, 0) is None for one in able)

    def _allowed(self, key: jobs.TaskKey) -> collections.abc.Iterator[_Place]:
        refused = self._advice.refused_lives(advising.step_name(key))
        return (one for one in self._places if one.facts.life not in refused)


def _fits(place: _Place, part: ledger.Part, count: int) -> bool:
    most = fitting.most_per_worker(part.step)
    return fitting.obstacle(part.step, place.room, place.facts.labels, count, most) is None
