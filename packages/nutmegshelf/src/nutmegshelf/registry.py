"""Keep the jobs of one service: what is settled of them and where their tasks run or may run."""

import collections
import collections.abc
import dataclasses

from nutmegshelf import fleetview, ids, jobs

# Each epoch's run numbers are above those of all earlier epochs.
RUNS_PER_EPOCH = 1 << 16


@dataclasses.dataclass(slots=True, eq=False)
class TaskSet:
    """Hold the tasks of one step in one occurrence."""

    step: jobs.Step
    tasks: list[fleetview.Task]
    remaining: int
    is_open: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class JobRecord:
    """Hold one job with its live tasks."""

    job: jobs.Job
    progress: jobs.Progress
    accepted_s: float
    critical_path_s: float
    published_state: jobs.JobState = jobs.JobState.QUEUED
    occurrences: dict[int, list[TaskSet]] = dataclasses.field(default_factory=dict)
    ready: dict[jobs.TaskKey, fleetview.Task] = dataclasses.field(default_factory=dict)
    ended_s: float = 0.0
    # Whether tasks may run somewhere since a takeover.
    has_recovering: bool = False

    @property
    def is_live(self) -> bool:
        """Say whether there is still something to run."""
        return self.progress.state not in jobs.ENDED_STATES

    def get_task(self, key: jobs.TaskKey) -> fleetview.Task | None:
        """Give a task of an occurrence that has begun, or none."""
        parts = self.occurrences.get(key.occurrence)
        if parts is None or key.step >= len(parts) or key.position >= len(parts[key.step].tasks):
            return None
        return parts[key.step].tasks[key.position]

    def group_ready_tasks(self) -> list[tuple[TaskSet, list[fleetview.Task]]]:
        """Give the tasks that wait for a worker, by step."""
        found: dict[tuple[int, int], list[fleetview.Task]] = {}
        for task in self.ready.values():
            found.setdefault((task.key.occurrence, task.key.step), []).append(task)
        return [(self.occurrences[one][step], tasks) for (one, step), tasks in found.items()]

    def group_waiting_tasks(self) -> list[tuple[TaskSet, list[fleetview.Task]]]:
        """Give the tasks that wait for a worker or, after a takeover, for word of them."""
        found = self.group_ready_tasks() if self.ready else []
        if self.has_recovering:
            for parts in self.occurrences.values():
                for part in parts:
                    adrift = [one for one in part.tasks if one.phase is fleetview.Phase.RECOVERING]
                    if part.is_open and adrift:
                        found.append((part, adrift))
        return found

    def iterate_tasks(self) -> collections.abc.Iterator[fleetview.Task]:
        """Give all tasks of the occurrences that have begun."""
        for parts in self.occurrences.values():
            for part in parts:
                yield from part.tasks


class JobRegistry:
    """Own the records of one service and every change of a task's phase."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.records: dict[ids.JobId, JobRecord] = {}
        self.live: dict[ids.JobId, JobRecord] = {}
        # Ended jobs in the order of their ends, and those whose tasks are still kept.
        self._ended: collections.deque[JobRecord] = collections.deque()
        self._emptying: list[JobRecord] = []
        self.dirty: dict[ids.JobId, int] = {}
        self.in_flight: dict[ids.JobId, int] = {}
        self.last_change = 0
        self.recovering: set[fleetview.Task] = set()
        self._first_run = epoch * RUNS_PER_EPOCH

    # --- jobs

    def add(
        self,
        job: jobs.Job,
        progress: jobs.Progress | None,
        accepted_s: float,
        now_ms: int,
        *,
        may_run: bool,
        now_s: float = 0.0,
    ) -> JobRecord:
        """Take a job in; the tasks of one that an earlier holder knew may run somewhere."""
        known = self.records.get(job.job)
        if known is not None:
            return known
        progress = progress or jobs.Progress(job=job.job)
        record = JobRecord(job, progress, accepted_s, get_critical_path_s(job))
        record.published_state = progress.state
        self.records[job.job] = record
        if record.is_live:
            self.live[job.job] = record
            self.open_due_occurrences(record, now_ms, may_run=may_run)
        else:
            # Its end is not known, so it is kept for the whole time from now on.
            record.ended_s = now_s
            self._ended.append(record)
        return record

    def ready_records(self) -> list[JobRecord]:
        """Give the jobs with tasks that wait for a worker."""
        return [record for record in self.live.values() if record.ready]

    def open_due_occurrences(
        self, record: JobRecord, now_ms: int, *, may_run: bool = False
    ) -> None:
        """Begin the occurrences whose time has come."""
        for number in range(record.job.occurrence_count):
            if number in record.occurrences or number in record.progress.finished:
                continue
            if record.job.due_ms(number) > now_ms:
                break
            self._open_occurrence(record, number, may_run)

    def _open_occurrence(self, record: JobRecord, number: int, may_run: bool) -> None:
        stored = record.progress.steps.setdefault(
            number, [jobs.StepProgress() for _ in record.job.steps]
        )
        parts: list[TaskSet] = []
        for index, step in enumerate(record.job.steps):
            part = TaskSet(step, [], 0)
            for position in range(step.count):
                key = jobs.TaskKey(record.job.job, number, index, position)
                task = fleetview.Task(
                    key,
                    step,
                    run=self._first_run,
                    checkpoint=stored[index].checkpoints.get(position, ""),
                    failed_runs=list(stored[index].failures.get(position, ())),
                )
                if is_bit_set(stored[index].done, position):
                    task.phase = fleetview.Phase.DONE
                else:
                    part.remaining += 1
                    if may_run:
                        task.phase = fleetview.Phase.RECOVERING
                        self.recovering.add(task)
                        record.has_recovering = True
                part.tasks.append(task)
            parts.append(part)
        record.occurrences[number] = parts
        self._unlock(record, number)

    def _unlock(self, record: JobRecord, number: int) -> None:
        parts = record.occurrences[number]
        for part in parts:
            if part.is_open or not part.remaining:
                continue
            if any(parts[before].remaining for before in part.step.after):
                continue
            part.is_open = True
            for task in part.tasks:
                if task.phase is fleetview.Phase.WAITING:
                    record.ready[task.key] = task

    def evict_ended(self, before_s: float) -> list[JobRecord]:
        """Drop the tasks of ended jobs, and give the jobs that ended before a time, to be deleted.

        A job stays while something of it runs or its end is not stored.
        """
        left: list[JobRecord] = []
        for record in self._emptying:
            if any(task.incarnation is not None for task in record.iterate_tasks()):
                left.append(record)
            else:
                record.occurrences.clear()
        self._emptying = left
        gone: list[JobRecord] = []
        while self._ended and self._ended[0].ended_s < before_s:
            record = self._ended[0]
            job = record.job.job
            if record.occurrences or job in self.dirty or job in self.in_flight:
                break
            gone.append(self._ended.popleft())
            del self.records[job]
        return gone

    def mark_dirty(self, record: JobRecord) -> None:
        """Note that a job's row must be stored."""
        self.last_change += 1
        self.dirty.setdefault(record.job.job, self.last_change)

    def get_stored_change(self) -> int:
        """Give the newest change up to which all are stored."""
        waiting = [*self.dirty.values(), *self.in_flight.values()]
        return min(waiting) - 1 if waiting else self.last_change

    def take_dirty(self, most: int) -> list[JobRecord]:
        """Give the jobs whose rows are to be stored now, the oldest changes first."""
        chosen = list(self.dirty)[:most]
        for job in chosen:
            self.in_flight[job] = self.dirty.pop(job)
        return [self.records[job] for job in chosen]

    def confirm_stored(self, shown: dict[ids.JobId, jobs.JobState]) -> None:
        """Note that the rows taken were stored, with the states that they hold."""
        self.in_flight.clear()
        for job, state in shown.items():
            record = self.records.get(job)
            if record is not None:
                record.published_state = state

    def restore_dirty(self) -> None:
        """Put the rows taken back among those to be stored."""
        self.dirty = {**self.in_flight, **self.dirty, **self.in_flight}
        self.in_flight.clear()

    # --- tasks

    def get_task_set(self, task: fleetview.Task) -> TaskSet:
        """Give the step of a task with its tasks."""
        return self.records[task.key.job].occurrences[task.key.occurrence][task.key.step]

    def assign(
        self,
        record: JobRecord,
        task: fleetview.Task,
        worker: fleetview.Worker,
        run: int,
        now_s: float,
    ) -> None:
        """Note that a start is about to be sent."""
        record.ready.pop(task.key, None)
        task.phase = fleetview.Phase.STARTING
        task.incarnation, task.run = worker.facts.incarnation, run
        task.highest_run = max(task.highest_run, run)
        if task.duplicate is not None:
            task.duplicate.highest_run = task.highest_run
        task.since_s = task.sent_s = now_s
        task.eviction_wait_s = 0.0
        task.stop_sent_s = task.stop_acked_s = None
        task.stops_sent = 0
        task.may_start_until_s = 0.0
        task.is_missing = False
        task.percent, task.tail_latency_ms, task.pace_percent = 0, 0.0, 100
        worker.add_task(task)
        if record.progress.state is jobs.JobState.QUEUED:
            record.progress.state = record.published_state = jobs.JobState.RUNNING

    def adopt(
        self,
        record: JobRecord,
        task: fleetview.Task,
        worker: fleetview.Worker,
        run: int,
        now_s: float,
    ) -> None:
        """Take over a run that a worker lists and that was not known of."""
        self.recovering.discard(task)
        self.assign(record, task, worker, run, now_s)
        task.phase = fleetview.Phase.RUNNING

    def release(
        self, record: JobRecord, task: fleetview.Task, worker: fleetview.Worker, now_s: float
    ) -> None:
        """Note that a task runs nowhere any more, so that it may start again."""
        worker.remove_task(task, now_s)
        task.incarnation = None
        task.since_s = now_s
        if task.duplicate is not None:
            self._part(record, task)
            return
        if task.phase is not fleetview.Phase.DONE:
            self._wait(record, task)

    def add_speculative_run(self, task: fleetview.Task) -> fleetview.Task:
        """Make a second run of a task that runs; either may end it."""
        made = fleetview.Task(
            task.key,
            task.step,
            run=task.run,
            checkpoint=task.checkpoint,
            failed_runs=task.failed_runs,
            duplicate=task,
            highest_run=task.highest_run,
        )
        task.duplicate = made
        return made

    def _part(self, record: JobRecord, task: fleetview.Task) -> None:
        # The other run goes on alone.
        other, task.duplicate = task.duplicate, None
        assert other is not None
        other.duplicate = None
        tasks = record.occurrences[task.key.occurrence][task.key.step].tasks
        tasks[task.key.position] = other

    def requeue_recovering(self, task: fleetview.Task) -> None:
        """Note that a task adrift since a takeover surely runs nowhere."""
        self.recovering.discard(task)
        record = self.records[task.key.job]
        if task.phase is fleetview.Phase.RECOVERING:
            self._wait(record, task)

    def _wait(self, record: JobRecord, task: fleetview.Task) -> None:
        task.phase = fleetview.Phase.WAITING
        part = record.occurrences[task.key.occurrence][task.key.step]
        if record.is_live and part.is_open:
            record.ready[task.key] = task

    def finish_task(self, record: JobRecord, task: fleetview.Task, now_s: float) -> None:
        """Note that a task ended as done; a gang ends as a whole."""
        number, index = task.key.occurrence, task.key.step
        part = record.occurrences[number][index]
        stored = record.progress.steps[number][index]
        ended = part.tasks if task.step.gang else [task]
        for one in ended:
            if one.phase is fleetview.Phase.DONE:
                continue
            one.phase = fleetview.Phase.DONE
            if one.duplicate is not None:
                one.duplicate.phase = fleetview.Phase.DONE
            self.recovering.discard(one)
            record.ready.pop(one.key, None)
            stored.done = set_bit(stored.done, one.key.position)
            stored.checkpoints.pop(one.key.position, None)
            part.remaining -= 1
        self.mark_dirty(record)
        if part.remaining:
            return
        parts = record.occurrences[number]
        if any(other.remaining for other in parts):
            self._unlock(record, number)
            return
        record.progress.finished.add(number)
        record.progress.steps.pop(number, None)
        if len(record.progress.finished) == record.job.occurrence_count:
            self.end_job(record, jobs.JobState.SUCCEEDED, "", now_s)

    def record_failure(
        self, record: JobRecord, task: fleetview.Task, run: int, now_s: float
    ) -> None:
        """Note that a run failed; too many of them fail the job."""
        if run in task.failed_runs or not record.is_live:
            return
        task.failed_runs.append(run)
        if task.step.long_running:
            return
        stored = record.progress.steps[task.key.occurrence][task.key.step]
        stored.failures[task.key.position] = list(task.failed_runs)
        self.mark_dirty(record)
        failed = set(task.failed_runs)
        if task.step.gang:
            part = record.occurrences[task.key.occurrence][task.key.step]
            failed = {one for member in part.tasks for one in member.failed_runs}
        if len(failed) >= record.job.queue.max_attempts:
            reason = f"task {task.key.name} failed {len(failed)} times"
            self.end_job(record, jobs.JobState.FAILED, reason, now_s)

    def save_checkpoint(self, record: JobRecord, task: fleetview.Task, saved: str) -> None:
        """Keep a task's newest checkpoint; it is stored with the job's next change."""
        if not saved or saved == task.checkpoint or task.phase is fleetview.Phase.DONE:
            return
        task.checkpoint = saved
        steps = record.progress.steps.get(task.key.occurrence)
        if steps is not None:
            steps[task.key.step].checkpoints[task.key.position] = saved

    def end_job(self, record: JobRecord, state: jobs.JobState, reason: str, now_s: float) -> None:
        """End a job; what still runs of it has to be stopped."""
        record.progress.state, record.progress.reason = state, reason
        if self.live.pop(record.job.job, None) is not None:
            self._ended.append(record)
            self._emptying.append(record)
        record.ready.clear()
        record.ended_s = now_s
        for task in record.iterate_tasks():
            if task.phase is fleetview.Phase.RECOVERING:
                task.phase = fleetview.Phase.WAITING
                self.recovering.discard(task)
        record.progress.steps.clear()
        self.mark_dirty(record)

    def get_next_run(self, task: fleetview.Task) -> int:
        """Give a run number above all that the task had."""
        return max(task.run, task.highest_run, self._first_run) + 1


def count_runs_by_worker(part: TaskSet) -> collections.Counter[fleetview.Incarnation]:
    """Count the runs of a step by worker, second runs too."""
    found: collections.Counter[fleetview.Incarnation] = collections.Counter()
    for task in part.tasks:
        for one in (task, task.duplicate):
            if one is not None and one.incarnation is not None:
                found[one.incarnation] += 1
    return found


def get_waiting_time_s(record: JobRecord, task: fleetview.Task, now_s: float) -> float:
    """Give for how long a task waits, with the time that it waited to leave a host."""
    return now_s - max(task.since_s, record.accepted_s) + task.eviction_wait_s


def get_critical_path_s(job: jobs.Job) -> float:
    """Give the longest chain of a job's steps by their estimates."""
    ends_s: list[float] = []
    for step in job.steps:
        before_s = max((ends_s[index] for index in step.after if index < len(ends_s)), default=0.0)
        ends_s.append(before_s + step.estimate_ms / 1000)
    return max(ends_s, default=0.0)


def set_bit(bits: bytes, position: int) -> bytes:
    """Set one bit."""
    value = int.from_bytes(bits, "little") | 1 << position
    return value.to_bytes((value.bit_length() + 7) // 8, "little")


def is_bit_set(bits: bytes, position: int) -> bool:
    """Say whether a bit is set."""
    byte = position // 8
    return byte < len(bits) and bool(bits[byte] >> position % 8 & 1)
