"""Describe callers' jobs, the names of their tasks and how far each job has come."""

import enum
import re
import typing

import msgspec

from nutmegshelf import codecs, ids, platform, queues

JOBS = "jobs"
PROGRESS = "progress"
INBOX = "inbox"


# A job's row and its progress have to fit into one transaction, and its tasks into memory.
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
# Ids are parts of row keys and of tasks' names, which have separators of their own.
_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


def is_job_id(text: str) -> bool:
    """Say whether a text can name a job."""
    return _ID.fullmatch(text) is not None


class JobState(enum.Enum):
    """Say how far a job has come."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Describe one step of a job: tasks of one shape and what each of them asks."""

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
    """Hold a job as its caller submitted it."""

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
        """Give the service whose workers run the job."""
        return self.queue.service

    @property
    def occurrence_count(self) -> int:
        """Count how often the steps run in all."""
        return max(1, self.occurrences)

    def due_ms(self, occurrence: int) -> int:
        """Give when an occurrence is due, in Unix milliseconds; 0 for a job without times."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    @property
    def is_long_running(self) -> bool:
        """Say whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)


def find_faults(job: Job) -> list[str]:
    """Give what is wrong with a submitted job, a line each; one with faults must not be stored."""
    found: list[str] = []
    if not job.steps:
        found.append("there are no steps")
    for field in ("occurrences", "first_due_ms", "interval_ms"):
        if getattr(job, field) < 0:
            found.append(f"{field} is negative")
    for index, step in enumerate(job.steps):
        if step.count < 1:
            found.append(f"step {index} has no tasks")
        found += [
            f"step {index}: {field} is negative" for field in _AMOUNTS if getattr(step, field) < 0
        ]
        if any(not 0 <= before < index for before in step.after):
            found.append(f"step {index}: it comes after steps that are not before it")
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        found.append(f"there are more than {MAX_TASKS} tasks")
    return found


class TaskKey(typing.NamedTuple):
    """Name one task of a job."""

    job: ids.JobId
    occurrence: int
    step: int
    position: int

    @property
    def name(self) -> ids.TaskId:
        """Give the name that workers know the task by."""
        return ids.TaskId(f"{self.job}.{self.occurrence}.{self.step}.{self.position}")


def parse_task_name(name: str) -> TaskKey | None:
    """Read a task's name, or give none where it is not of this form."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskKey(ids.JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))


class StepProgress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Hold what of one step is settled: ends, failed runs and checkpoints by task index."""

    done: bytes = b""
    failures: dict[int, list[int]] = msgspec.field(default_factory=dict)
    checkpoints: dict[int, str] = msgspec.field(name="saved", default_factory=dict)


class Progress(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Hold how far a job has come, as its row has it."""

    job: ids.JobId
    state: JobState = JobState.QUEUED
    reason: str = ""
    finished: set[int] = msgspec.field(default_factory=set)
    steps: dict[int, list[StepProgress]] = msgspec.field(default_factory=dict)


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """Tell a service's holder of a job that was stored, or cancelled, without it."""

    job: ids.JobId
    service: ids.ServiceName
    cancels: bool = False


def job_key(service: str, job: str) -> str:
    """Name the row of a job."""
    return f"{JOBS}/{service}/{job}"


def progress_key(service: str, job: str) -> str:
    """Name the row of a job's progress."""
    return f"{PROGRESS}/{service}/{job}"


def notice_key(notice: Notice) -> str:
    """Name the row of a notice."""
    kind = "cancel" if notice.cancels else "new"
    return f"{INBOX}/{notice.service}/{kind}.{notice.job}"


def build_submission(job: Job) -> platform.Transaction:
    """Make the transaction that stores a job without its holder; it fails for a known job."""
    own = job_key(job.service, job.job)
    notice = Notice(job=job.job, service=job.service)
    return platform.Transaction(
        conditions=(platform.Condition(own, 0),),
        writes=(
            platform.Write(own, codecs.pack(job)),
            platform.Write(notice_key(notice), codecs.pack(notice)),
        ),
    )


def build_cancellation(job: Job, version: int) -> platform.Transaction:
    """Make the transaction that cancels a stored job without its holder."""
    notice = Notice(job=job.job, service=job.service, cancels=True)
    return platform.Transaction(
        conditions=(platform.Condition(job_key(job.service, job.job), version),),
        writes=(platform.Write(notice_key(notice), codecs.pack(notice)),),
    )
