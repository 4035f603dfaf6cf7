"""Define callers' jobs, the names of their tasks and the stored progress of each job."""

import enum
import re
import typing

import msgspec

from nutmegshelf import codecs, ids, platform, queues

JOBS = "jobs"
PROGRESS = "progress"
INBOX = "inbox"


# Bounded by the size of one transaction, which stores a job with its progress, and by memory.
MAX_TASKS = 20_000
_AMOUNTS = (
    "cpu_millis",
    "memory_mb",
    "accelerators",
    "estimate_ms",
    "max_per_worker",
    "target_ms",
    "may_miss",
)
# Ids are parts of row keys and of task names, so they must not contain their separators.
_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


def is_job_id(text: str) -> bool:
    """Return whether a text is a valid job id."""
    return _ID.fullmatch(text) is not None


class JobState(enum.Enum):
    """The state of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: tasks of one shape, with the resources that each of them requests."""

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = msgspec.field(name="lasting", default=False)
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class Job(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as its caller submitted it."""

    job: ids.JobId
    queue: queues.Queue
    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0

    @property
    def service(self) -> ids.ServiceName:
        """Return the service whose workers run the job."""
        return self.queue.service

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run in total."""
        return max(1, self.occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence in Unix milliseconds, or 0 without a schedule."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    @property
    def is_long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)


def find_faults(job: Job) -> list[str]:
    """Return the faults of a submitted job, a line each; a job with faults must not be stored."""
    messages: list[str] = []
    if not job.steps:
        messages.append("there are no steps")
    for field in ("occurrences", "first_due_ms", "interval_ms"):
        if getattr(job, field) < 0:
            messages.append(f"{field} is negative")
    for index, step in enumerate(job.steps):
        if step.count < 1:
            messages.append(f"step {index} has no tasks")
        messages += [
            f"step {index}: {field} is negative" for field in _AMOUNTS if getattr(step, field) < 0
        ]
        if any(not 0 <= dependency < index for dependency in step.after):
            messages.append(f"step {index}: it comes after steps that are not before it")
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        messages.append(f"there are more than {MAX_TASKS} tasks")
    return messages


class TaskKey(typing.NamedTuple):
    """Identify one task of a job."""

    job: ids.JobId
    occurrence: int
    step: int
    position: int

    @property
    def name(self) -> ids.TaskId:
        """Return the name by which workers know the task."""
        return ids.TaskId(f"{self.job}.{self.occurrence}.{self.step}.{self.position}")


def parse_task_name(name: str) -> TaskKey | None:
    """Parse a task name, or return None for any other text."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskKey(ids.JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))


class UnresolvedRun(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A run at a worker that may have crashed; stored so that a later holder can find out.

    It was alone if nothing else ran there, and early if it had not been seen running for a while.
    """

    run: int
    worker: ids.WorkerId
    born_ms: int
    host: ids.HostId
    is_alone: bool = msgspec.field(name="alone", default=False)
    is_early: bool = msgspec.field(name="early", default=False)


class CrashHistory(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The runs of one task that were lost as their worker crashed, or may have been."""

    runs: list[int] = msgspec.field(default_factory=list)
    # Those of them beside which nothing else ran.
    alone: list[int] = msgspec.field(default_factory=list)
    hosts: set[ids.HostId] = msgspec.field(default_factory=set)
    # Whether the last crash came so soon after a start that the task may have caused it.
    is_suspect: bool = msgspec.field(name="suspect", default=False)
    unresolved: list[UnresolvedRun] = msgspec.field(default_factory=list)


class StepProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The stored progress of one step: ended tasks, lost and failed runs, and checkpoints.

    All but the ended tasks are kept by the index of the task.
    """

    done: bytes = b""
    crashes: dict[int, CrashHistory] = msgspec.field(default_factory=dict)
    failures: dict[int, list[int]] = msgspec.field(default_factory=dict)
    checkpoints: dict[int, str] = msgspec.field(name="saved", default_factory=dict)


class Progress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The stored progress of a job."""

    job: ids.JobId
    state: JobState = JobState.QUEUED
    reason: str = ""
    finished: set[int] = msgspec.field(default_factory=set)
    steps: dict[int, list[StepProgress]] = msgspec.field(default_factory=dict)


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """A message to a service's holder about a job stored, or cancelled, by another entry."""

    job: ids.JobId
    service: ids.ServiceName
    cancels: bool = False


def job_key(service: str, job: str) -> str:
    """Return the key of a job's row."""
    return f"{JOBS}/{service}/{job}"


def progress_key(service: str, name: str) -> str:
    """Return the key of a row with progress; the job's id names the first one of a job."""
    return f"{PROGRESS}/{service}/{name}"


def notice_key(notice: Notice) -> str:
    """Return the key of a notice's row."""
    kind = "cancel" if notice.cancels else "new"
    return f"{INBOX}/{notice.service}/{kind}.{notice.job}"


def build_submission(job: Job, *admission: platform.Condition) -> platform.Transaction:
    """Return the transaction that stores a job without its holder.

    It fails for a stored job, and if the job's queue is not admitted any more.
    """
    key = job_key(job.service, job.job)
    notice = Notice(job=job.job, service=job.service)
    return platform.Transaction(
        conditions=(platform.Condition(key, 0), *admission),
        writes=(
            platform.Write(key, codecs.pack(job)),
            platform.Write(notice_key(notice), codecs.pack(notice)),
        ),
    )


def build_cancellation(job: Job, version: int) -> platform.Transaction:
    """Return the transaction that cancels a stored job without its holder."""
    notice = Notice(job=job.job, service=job.service, cancels=True)
    return platform.Transaction(
        conditions=(platform.Condition(job_key(job.service, job.job), version),),
        writes=(platform.Write(notice_key(notice), codecs.pack(notice)),),
    )
