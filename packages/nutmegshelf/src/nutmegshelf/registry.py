"""The jobs of one service: their progress, and where each task runs or may run."""

import collections
import collections.abc
import dataclasses

from nutmegshelf import crashes, fleetview, ids, jobs, progressrows

# Run numbers of an epoch are above those of all earlier epochs, so the newer run always wins.
RUNS_PER_EPOCH = 1 << 16


@dataclasses.dataclass(slots=True, eq=False)
class TaskSet:
    """The tasks of one step in one occurrence of a job."""

    step: jobs.Step
    tasks: list[fleetview.Task]
    remaining: int
    is_open: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class JobRecord:
    """One job, its progress and the tasks of its open occurrences."""

    job: jobs.Job
    progress: jobs.Progress
    accepted_s: float
    critical_path_s: float
    published_state: jobs.JobState = jobs.JobState.QUEUED
    occurrences: dict[int, list[TaskSet]] = dataclasses.field(default_factory=dict)
    ready: dict[jobs.TaskKey, fleetview.Task] = dataclasses.field(default_factory=dict)
    ended_s: float = 0.0
    # Whether the job was stored before this epoch, so that an earlier holder may have run it.
    is_from_earlier_epoch: bool = False
    # Whether tasks may still run at workers that an earlier holder used.
    has_recovering: bool = False
    is_rejection_counted: bool = False
    stored_rows: progressrows.StoredRows = dataclasses.field(
        default_factory=progressrows.StoredRows
    )
    _remaining_path_s: float | None = None

    @property
    def is_live(self) -> bool:
        """Return whether the job has not ended."""
        return self.progress.state not in jobs.ENDED_STATES

    def get_open_progress(self, task: fleetview.Task) -> jobs.StepProgress | None:
        """Return the stored progress of a task's step, or None if the task or the job is over.

        A task may be reported to end again after it is over, by its other copy or by a late report.
        """
        if not self.is_live or task.phase is fleetview.Phase.DONE:
            return None
        return self.progress.steps[task.key.occurrence][task.key.step]

    def get_task(self, key: jobs.TaskKey) -> fleetview.Task | None:
        """Return a task, or None if its occurrence has not started."""
        task_sets = self.occurrences.get(key.occurrence)
        if (
            task_sets is None
            or key.step >= len(task_sets)
            or key.position >= len(task_sets[key.step].tasks)
        ):
            return None
        return task_sets[key.step].tasks[key.position]

    def group_ready_tasks(self) -> list[tuple[TaskSet, list[fleetview.Task]]]:
        """Return the tasks that are ready to start, grouped by step and occurrence."""
        tasks_by_step: dict[tuple[int, int], list[fleetview.Task]] = {}
        for task in self.ready.values():
            tasks_by_step.setdefault((task.key.occurrence, task.key.step), []).append(task)
        return [
            (self.occurrences[occurrence][step], tasks)
            for (occurrence, step), tasks in tasks_by_step.items()
        ]

    def group_waiting_tasks(self) -> list[tuple[TaskSet, list[fleetview.Task]]]:
        """Return the tasks that are ready to start or in recovery after a takeover, by step."""
        groups = self.group_ready_tasks() if self.ready else []
        if self.has_recovering:
            for task_sets in self.occurrences.values():
                for task_set in task_sets:
                    recovering = [
                        task for task in task_set.tasks if task.phase is fleetview.Phase.RECOVERING
                    ]
                    if task_set.is_open and recovering:
                        groups.append((task_set, recovering))
        return groups

    def get_remaining_path_s(self) -> float:
        """Return the estimated length of the critical path from the tasks that wait onwards.

        The result is kept until a task starts to wait, no longer waits or ends.
        """
        if self._remaining_path_s is None:
            self._remaining_path_s = self._compute_remaining_path_s()
        return self._remaining_path_s

    def forget_remaining_path(self) -> None:
        """Have the remaining critical path computed again, after a change of a task's phase."""
        self._remaining_path_s = None

    def _compute_remaining_path_s(self) -> float:
        waiting = {(key.occurrence, key.step) for key in self.ready}
        longest_s = 0.0
        for number, task_sets in self.occurrences.items():
            ends_s: list[float] = []
            for index, task_set in enumerate(task_sets):
                # The rest of a step of which all tasks run is unknown, and may be short.
                is_ahead = (number, index) in waiting or (
                    bool(task_set.remaining) and not task_set.is_open
                )
                begins_s = max(
                    (ends_s[step] for step in task_set.step.after if step < index), default=0.0
                )
                ends_s.append(begins_s + is_ahead * task_set.step.estimate_ms / 1000)
            longest_s = max([longest_s, *ends_s])
        return longest_s

    def iterate_tasks(self) -> collections.abc.Iterator[fleetview.Task]:
        """Yield all tasks of the open occurrences."""
        for task_sets in self.occurrences.values():
            for task_set in task_sets:
                yield from task_set.tasks


class JobRegistry:
    """The job records of one service; changes the phases of their tasks."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.records: dict[ids.JobId, JobRecord] = {}
        self.live: dict[ids.JobId, JobRecord] = {}
        # Ended jobs in the order in which they ended, and those whose tasks are still held.
        self._ended: collections.deque[JobRecord] = collections.deque()
        self._ended_with_tasks: list[JobRecord] = []
        self.dirty: dict[ids.JobId, int] = {}
        self.in_flight: dict[ids.JobId, int] = {}
        self.last_change = 0
        self.recovering: set[fleetview.Task] = set()
        # The tasks of live jobs under which a worker has crashed, or may have.
        self.suspects: set[jobs.TaskKey] = set()
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
        """Add a job and return its record.

        With `may_run` set, an earlier holder may have started its unfinished tasks.
        """
        existing = self.records.get(job.job)
        if existing is not None:
            return existing
        progress = progress or jobs.Progress(job=job.job)
        record = JobRecord(job, progress, accepted_s, get_critical_path_s(job))
        record.published_state = progress.state
        record.is_from_earlier_epoch = may_run
        self.records[job.job] = record
        if record.is_live:
            self.live[job.job] = record
            self.open_due_occurrences(record, now_ms, may_run=may_run)
        else:
            # The time of its end is not stored, so the retention period starts now.
            record.ended_s = now_s
            self._ended.append(record)
        return record

    def get_ready_records(self) -> list[JobRecord]:
        """Return the jobs with tasks that are ready to start."""
        return [record for record in self.live.values() if record.ready]

    def open_due_occurrences(
        self, record: JobRecord, now_ms: int, *, may_run: bool = False
    ) -> None:
        """Create the tasks of the occurrences that are due."""
        for number in range(record.job.occurrence_count):
            if number in record.occurrences or number in record.progress.finished:
                continue
            if record.job.due_ms(number) > now_ms:
                break
            self._open_occurrence(record, number, may_run)

    def find_task(self, record: JobRecord, key: jobs.TaskKey) -> fleetview.Task | None:
        """Return a reported task of a job, or None if there is none.

        An earlier holder may have opened its occurrence by a clock that is ahead of this one.
        """
        if (
            record.is_live
            and record.is_from_earlier_epoch
            and key.occurrence < record.job.occurrence_count
            and key.occurrence not in record.occurrences
            and key.occurrence not in record.progress.finished
        ):
            self._open_occurrence(record, key.occurrence, may_run=True)
        return record.get_task(key)

    def _open_occurrence(self, record: JobRecord, number: int, may_run: bool) -> None:
        stored = record.progress.steps.setdefault(
            number, [jobs.StepProgress() for _ in record.job.steps]
        )
        task_sets: list[TaskSet] = []
        suspects: list[jobs.TaskKey] = []
        recovering: list[fleetview.Task] = []
        for index, step in enumerate(record.job.steps):
            task_set = TaskSet(step, [], 0)
            for position in range(step.count):
                key = jobs.TaskKey(record.job.job, number, index, position)
                task = fleetview.Task(
                    key,
                    step,
                    run=self._first_run,
                    checkpoint=stored[index].checkpoints.get(position, ""),
                    failed_runs=list(stored[index].failures.get(position, ())),
                    crashes=stored[index].crashes.get(position),
                )
                if task.crashes is not None:
                    suspects.append(key)
                if is_bit_set(stored[index].done, position):
                    task.phase = fleetview.Phase.DONE
                else:
                    task_set.remaining += 1
                    if may_run:
                        task.phase = fleetview.Phase.RECOVERING
                        recovering.append(task)
                task_set.tasks.append(task)
            task_sets.append(task_set)
        record.occurrences[number] = task_sets
        record.has_recovering = record.has_recovering or bool(recovering)
        self.suspects.update(suspects)
        self.recovering.update(recovering)
        self._open_steps(record, number)

    def discard(self, job: ids.JobId) -> None:
        """Drop a job that could not be added as a whole."""
        self.records.pop(job, None)
        self.live.pop(job, None)
        self.suspects = {key for key in self.suspects if key.job != job}
        self.recovering = {task for task in self.recovering if task.key.job != job}

    def _open_steps(self, record: JobRecord, number: int) -> None:
        record.forget_remaining_path()
        task_sets = record.occurrences[number]
        for task_set in task_sets:
            if task_set.is_open or not task_set.remaining:
                continue
            if any(task_sets[predecessor].remaining for predecessor in task_set.step.after):
                continue
            task_set.is_open = True
            for task in task_set.tasks:
                if task.phase is fleetview.Phase.WAITING:
                    record.ready[task.key] = task

    def evict_ended(self, before_s: float) -> list[JobRecord]:
        """Drop the tasks of ended jobs, and return the jobs that ended before a time.

        A job stays while one of its runs is not known to have ended or its end is not stored.
        """
        with_tasks: list[JobRecord] = []
        for record in self._ended_with_tasks:
            if any(task.incarnation is not None for task in record.iterate_tasks()):
                with_tasks.append(record)
            else:
                record.occurrences.clear()
        self._ended_with_tasks = with_tasks
        evicted: list[JobRecord] = []
        while self._ended and self._ended[0].ended_s < before_s:
            record = self._ended[0]
            job = record.job.job
            if record.occurrences or job in self.dirty or job in self.in_flight:
                break
            evicted.append(self._ended.popleft())
            del self.records[job]
        return evicted

    def mark_dirty(self, record: JobRecord) -> None:
        """Mark a job for storing and advance the change number."""
        self.last_change += 1
        self.dirty.setdefault(record.job.job, self.last_change)

    def get_stored_change(self) -> int:
        """Return the newest change number up to which all changes are stored."""
        unstored = [*self.dirty.values(), *self.in_flight.values()]
        return min(unstored) - 1 if unstored else self.last_change

    def take_dirty(self, taken: collections.abc.Iterable[ids.JobId]) -> None:
        """Move jobs whose changes are all being stored to those in flight."""
        for job in taken:
            self.in_flight[job] = self.dirty.pop(job)

    def confirm_stored(self, states: dict[ids.JobId, jobs.JobState]) -> None:
        """Record that the rows in flight are stored, and publish the job states in them."""
        self.in_flight.clear()
        for job, state in states.items():
            record = self.records.get(job)
            if record is not None:
                record.published_state = state

    def restore_dirty(self) -> None:
        """Mark the rows in flight as dirty again after a failed write."""
        self.dirty = {**self.in_flight, **self.dirty, **self.in_flight}
        self.in_flight.clear()

    # --- tasks

    def get_task_set(self, task: fleetview.Task) -> TaskSet:
        """Return the task set that a task belongs to."""
        return self.records[task.key.job].occurrences[task.key.occurrence][task.key.step]

    def assign(
        self,
        record: JobRecord,
        task: fleetview.Task,
        worker: fleetview.Worker,
        run: int,
        now_s: float,
    ) -> None:
        """Assign a task to a worker, before its start is sent."""
        record.ready.pop(task.key, None)
        record.forget_remaining_path()
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
        task.fencing_token = 0
        task.is_sent = task.is_confirmed = task.is_missing = task.is_end_unread = False
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
        """Assign a task to a worker that reports a run of it which this scheduler did not start."""
        self.recovering.discard(task)
        self.assign(record, task, worker, run, now_s)
        task.phase = fleetview.Phase.RUNNING

    def release(
        self, record: JobRecord, task: fleetview.Task, worker: fleetview.Worker, now_s: float
    ) -> None:
        """Release a task from its worker, so that it may start again unless it is done."""
        worker.remove_task(task, now_s)
        task.incarnation = None
        task.since_s = now_s
        if task.duplicate is not None:
            self._remove_duplicate(record, task)
            return
        if task.phase is not fleetview.Phase.DONE:
            self._requeue(record, task)

    def transfer(
        self,
        task: fleetview.Task,
        worker: fleetview.Worker,
        later: fleetview.Worker,
        now_s: float,
    ) -> None:
        """Move a run to a later incarnation of its worker, which may have got its start."""
        worker.remove_task(task, now_s)
        task.incarnation, task.since_s = later.facts.incarnation, now_s
        task.stop_sent_s = task.stop_acked_s = None
        task.stops_sent, task.is_missing = 0, False
        if task.phase is not fleetview.Phase.DONE:
            task.phase = fleetview.Phase.UNCONFIRMED
        later.add_task(task)

    def add_speculative_run(self, task: fleetview.Task) -> fleetview.Task:
        """Create a second run of a running task; the first of the two to succeed completes it."""
        duplicate = fleetview.Task(
            task.key,
            task.step,
            run=task.run,
            checkpoint=task.checkpoint,
            failed_runs=task.failed_runs,
            duplicate=task,
            highest_run=task.highest_run,
        )
        task.duplicate = duplicate
        return duplicate

    def _remove_duplicate(self, record: JobRecord, task: fleetview.Task) -> None:
        # The other run becomes the only one of the task.
        remaining, task.duplicate = task.duplicate, None
        assert remaining is not None
        remaining.duplicate = None
        tasks = record.occurrences[task.key.occurrence][task.key.step].tasks
        tasks[task.key.position] = remaining
        remaining.crashes = remaining.crashes or task.crashes
        remaining.start_after_change = max(remaining.start_after_change, task.start_after_change)

    def requeue_recovering(self, task: fleetview.Task) -> None:
        """Return a task to the ready ones, as no run of an earlier holder can be left."""
        self.recovering.discard(task)
        record = self.records[task.key.job]
        if task.phase is fleetview.Phase.RECOVERING:
            self._requeue(record, task)

    def _requeue(self, record: JobRecord, task: fleetview.Task) -> None:
        task.phase = fleetview.Phase.WAITING
        record.forget_remaining_path()
        task_set = record.occurrences[task.key.occurrence][task.key.step]
        if record.is_live and task_set.is_open:
            record.ready[task.key] = task

    def finish_task(self, record: JobRecord, task: fleetview.Task, now_s: float) -> None:
        """Complete a task, or all tasks of its step if the step is a gang, unless it is over."""
        stored = record.get_open_progress(task)
        if stored is None:
            return
        number = task.key.occurrence
        task_set = record.occurrences[number][task.key.step]
        ended = task_set.tasks if task.step.gang else [task]
        for member in ended:
            if member.phase is fleetview.Phase.DONE:
                continue
            member.phase = fleetview.Phase.DONE
            if member.duplicate is not None:
                member.duplicate.phase = fleetview.Phase.DONE
            self.recovering.discard(member)
            record.ready.pop(member.key, None)
            stored.done = set_bit(stored.done, member.key.position)
            stored.checkpoints.pop(member.key.position, None)
            stored.crashes.pop(member.key.position, None)
            self.suspects.discard(member.key)
            task_set.remaining -= 1
        self.mark_dirty(record)
        record.forget_remaining_path()
        if task_set.remaining:
            return
        task_sets = record.occurrences[number]
        if any(other.remaining for other in task_sets):
            self._open_steps(record, number)
            return
        record.progress.finished.add(number)
        record.progress.steps.pop(number, None)
        if len(record.progress.finished) == record.job.occurrence_count:
            self.end_job(record, jobs.JobState.SUCCEEDED, "", now_s)

    def record_failure(
        self, record: JobRecord, task: fleetview.Task, run: int, now_s: float
    ) -> None:
        """Record a failed run, and fail the job once the queue's limit of attempts is reached."""
        stored = record.get_open_progress(task)
        if run in task.failed_runs or stored is None:
            return
        task.failed_runs.append(run)
        if task.step.long_running:
            return
        stored.failures[task.key.position] = list(task.failed_runs)
        self.mark_dirty(record)
        failed = set(task.failed_runs)
        if task.step.gang:
            task_set = record.occurrences[task.key.occurrence][task.key.step]
            failed = {run_number for member in task_set.tasks for run_number in member.failed_runs}
        if len(failed) >= record.job.queue.max_attempts:
            reason = f"task {task.key.name} failed {len(failed)} times"
            self.end_job(record, jobs.JobState.FAILED, reason, now_s)

    def record_crash(
        self,
        record: JobRecord,
        key: jobs.TaskKey,
        lost: jobs.UnresolvedRun,
        now_s: float,
        *,
        is_storm: bool = False,
    ) -> None:
        """Record the crash of a worker under a task, and fail the job once there were too many.

        The task does not start again before its crashes are stored.
        """
        task = record.get_task(key)
        stored = record.get_open_progress(task) if task is not None else None
        if task is None or stored is None:
            return
        history = self._get_crash_history(stored, task)
        if lost.run in history.runs:
            return
        history.unresolved = [each for each in history.unresolved if each.run != lost.run]
        history.runs.append(lost.run)
        history.hosts.add(lost.host)
        if lost.is_alone:
            history.alone.append(lost.run)
        history.is_suspect = lost.is_early
        self.mark_dirty(record)
        for run in (task, task.duplicate):
            if run is not None:
                run.crashes, run.start_after_change = history, self.last_change
        if crashes.is_given_up(history, is_storm=is_storm):
            count = len(history.runs)
            reason = f"{count} workers crashed under task {task.key.name}"
            self.end_job(record, jobs.JobState.FAILED, reason, now_s)

    def _get_crash_history(
        self, stored: jobs.StepProgress, task: fleetview.Task
    ) -> jobs.CrashHistory:
        if task.crashes is None:
            task.crashes = stored.crashes[task.key.position] = jobs.CrashHistory()
            self.suspects.add(task.key)
        return task.crashes

    def add_unresolved(
        self, record: JobRecord, key: jobs.TaskKey, unresolved: jobs.UnresolvedRun
    ) -> None:
        """Have a run stored whose worker may have crashed, or may crash by its start."""
        task = record.get_task(key)
        stored = record.get_open_progress(task) if task is not None else None
        if task is None or stored is None:
            return
        history = self._get_crash_history(stored, task)
        others = [each for each in history.unresolved if each.run != unresolved.run]
        history.unresolved = [*others, unresolved]
        self.mark_dirty(record)

    def clear_unresolved(self, record: JobRecord, key: jobs.TaskKey, run: int) -> None:
        """Record that the worker of a run did not crash."""
        task = record.get_task(key)
        if task is None or task.crashes is None or record.get_open_progress(task) is None:
            return
        remaining = [each for each in task.crashes.unresolved if each.run != run]
        if len(remaining) == len(task.crashes.unresolved):
            return
        task.crashes.unresolved = remaining
        if not remaining and not task.crashes.runs:
            self.forget_crashes(record, task)
        self.mark_dirty(record)

    def forget_crashes(self, record: JobRecord, task: fleetview.Task) -> None:
        """Forget the crashes under a task that has run well since."""
        stored = record.get_open_progress(task)
        if stored is None:
            return
        stored.crashes.pop(task.key.position, None)
        for run in (task, task.duplicate):
            if run is not None:
                run.crashes = None
        self.suspects.discard(task.key)
        self.mark_dirty(record)

    def get_waiting_suspects(self) -> list[fleetview.Task]:
        """Return the tasks that are ready to start, but only in a trial."""
        waiting: list[fleetview.Task] = []
        for key in self.suspects:
            record = self.live.get(key.job)
            task = record.ready.get(key) if record is not None else None
            if task is not None and crashes.needs_trial(task):
                waiting.append(task)
        return waiting

    def save_checkpoint(self, record: JobRecord, task: fleetview.Task, checkpoint: str) -> None:
        """Keep a task's newest checkpoint, which is stored with the job's next change."""
        stored = record.get_open_progress(task)
        if not checkpoint or checkpoint == task.checkpoint or stored is None:
            return
        task.checkpoint = checkpoint
        stored.checkpoints[task.key.position] = checkpoint

    def end_job(self, record: JobRecord, state: jobs.JobState, reason: str, now_s: float) -> None:
        """End a job; the runs that it still has are left to be stopped."""
        record.progress.state, record.progress.reason = state, reason
        if self.live.pop(record.job.job, None) is not None:
            self._ended.append(record)
            self._ended_with_tasks.append(record)
        record.ready.clear()
        record.ended_s = now_s
        self.suspects = {key for key in self.suspects if key.job != record.job.job}
        for task in record.iterate_tasks():
            if task.phase is fleetview.Phase.RECOVERING:
                task.phase = fleetview.Phase.WAITING
                self.recovering.discard(task)
        record.progress.steps.clear()
        self.mark_dirty(record)

    def get_next_run(self, task: fleetview.Task) -> int:
        """Return a run number above all earlier ones of the task."""
        return max(task.run, task.highest_run, self._first_run) + 1


def count_runs_by_worker(task_set: TaskSet) -> collections.Counter[fleetview.Incarnation]:
    """Count the runs of a step by worker, including speculative ones."""
    counts: collections.Counter[fleetview.Incarnation] = collections.Counter()
    for task in task_set.tasks:
        for run in (task, task.duplicate):
            if run is not None and run.incarnation is not None:
                counts[run.incarnation] += 1
    return counts


def get_waiting_time_s(record: JobRecord, task: fleetview.Task, now_s: float) -> float:
    """Return how long a task has waited, including the time it waited for its eviction."""
    return now_s - max(task.since_s, record.accepted_s) + task.eviction_wait_s


def get_critical_path_s(job: jobs.Job) -> float:
    """Return the length of a job's critical path by the estimates of its steps."""
    ends_s: list[float] = []
    for step in job.steps:
        start_s = max((ends_s[index] for index in step.after if index < len(ends_s)), default=0.0)
        ends_s.append(start_s + step.estimate_ms / 1000)
    return max(ends_s, default=0.0)


def set_bit(bits: bytes, position: int) -> bytes:
    """Return a little-endian bit set with one more bit set."""
    value = int.from_bytes(bits, "little") | 1 << position
    return value.to_bytes((value.bit_length() + 7) // 8, "little")


def is_bit_set(bits: bytes, position: int) -> bool:
    """Return whether a bit of a little-endian bit set is set."""
    byte = position // 8
    return byte < len(bits) and bool(bits[byte] >> position % 8 & 1)
