"""Define the calls between entries about jobs and hosts, and their replies."""

import enum

import msgspec

from nutmegshelf import ids, jobs, orders


class Call(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The base class of calls to the holder of a service.

    The version is that of the sender's active configuration; that of a submission is the one by
    which its queue was found.
    """

    service: ids.ServiceName
    version: ids.Version = ids.NO_VERSION


class QueueCall(Call, frozen=True, kw_only=True):
    """The base class of calls for a queue."""

    queue: ids.QueueName


class Submitter(msgspec.Struct, frozen=True, array_like=True):
    """One run of an entry's process, which has submitted a job."""

    address: str
    incarnation: str


class SubmitJob(QueueCall, frozen=True, kw_only=True, tag="Submit"):
    """Store and run a job."""

    job: jobs.Job
    submitter: Submitter


class CheckSubmission(Call, frozen=True, kw_only=True, tag="CheckSubmission"):
    """Return whether the called process, if it still runs, can rule out that it stored a job."""

    job: ids.JobId
    incarnation: str


class GetJob(QueueCall, frozen=True, kw_only=True, tag="Show"):
    """Return the state of a job."""

    job: ids.JobId


class CancelJob(QueueCall, frozen=True, kw_only=True, tag="Cancel"):
    """Cancel a job."""

    job: ids.JobId


class CountPendingJobs(QueueCall, frozen=True, kw_only=True, tag="CountPending"):
    """Return how many jobs of a queue, by its name or its address, have not started."""

    address: str = ""


class EvacuateHost(Call, frozen=True, kw_only=True, tag="Give"):
    """Evacuate a host of the service; a repeated call polls the progress.

    With only_idle, a host that is not idle stays open.
    """

    host: ids.HostId
    reason: str
    only_idle: bool = False


class ReportDemand(Call, frozen=True, kw_only=True, tag="Demand"):
    """Report to the holder of the fleet which hosts a pool needs."""

    pool: ids.ServiceName
    epoch: ids.Epoch
    report: "DemandReport"


class HostLoad(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The load of one host; idle_s is set for an idle host, an unusable one gets no tasks."""

    cpu_millis: int = 0
    long_running_count: int = msgspec.field(default=0, name="lasting")
    idle_s: float | None = None
    is_unusable: bool = msgspec.field(default=False, name="is_useless")


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """The running and waiting work of one service, and the load of its hosts.

    Resources are counted in cores: a task takes its dominant share of a host's resources. The
    arrived work is counted since the service's holder started; waiting_ms is the mean expected
    run time of the waiting tasks. Overdue work is the part of the waiting work that ends too late
    to be of use. Tasks that fit at none of the present hosts need additional ones.
    """

    cpu_running: int
    cpu_waiting: int
    cpu_overdue: int = 0
    cpu_long_running: int = msgspec.field(name="cpu_lasting")
    waiting_ms: int
    arrived_core_ms: int
    min_hosts: int = msgspec.field(name="least_hosts")
    additional_hosts: int = msgspec.field(default=0, name="more_hosts")
    host_cpu_millis: int
    hosts: dict[ids.HostId, HostLoad]

    @property
    def open_hosts(self) -> int:
        """Return the number of hosts that get tasks."""
        return sum(not load.is_unusable for load in self.hosts.values())

    @property
    def idle_s(self) -> dict[ids.HostId, float]:
        """Return the idle hosts and how long they have been idle."""
        return {host: load.idle_s for host, load in self.hosts.items() if load.idle_s is not None}


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """A try to submit a job whose caller was told that the job never runs.

    The times are by the wall clock of the entry that received the try.
    """

    job: ids.JobId
    queue: ids.QueueName
    received_ms: int
    rejected_ms: int


class ReportRejections(Call, frozen=True, kw_only=True, tag="Rejections"):
    """Report the rejections of a service's jobs at one entry, to see whether these jobs run."""

    entry: ids.EntryId
    rejections: tuple[Rejection, ...]


class View(enum.Enum):
    """What an operator may ask of a holder."""

    JOBS = "jobs"
    JOB = "job"
    QUEUES = "queues"
    POOLS = "pools"
    WAVES = "waves"
    HOLDERS = "holders"


class Inspect(Call, frozen=True, kw_only=True):
    """Return a view for operators; a holder answers even while it can't send orders."""

    view: View
    job: ids.JobId = ids.JobId("")


class CheckTableAccess(Call, frozen=True, kw_only=True, tag="Reach"):
    """Return whether an entry reaches the table, by reading the service's lease."""


class LeaseRelinquished(Call, frozen=True, kw_only=True, tag="GaveUp"):
    """The sender has given up a service's lease, but could not store that.

    It may leave starts without an answer, which may still be carried out.
    """

    epoch: ids.Epoch
    leaves_starts: bool = False


class ReportDoubts(Call, frozen=True, kw_only=True, tag="Doubts"):
    """Report jobs whose submission at the sender may still be carried out."""

    jobs: tuple[ids.JobId, ...]


class ListDoubts(Call, frozen=True, kw_only=True, tag="ListDoubts"):
    """Return, after a wait, the jobs being submitted at an entry and those left in doubt there.

    Doubts that the entry was told of by others are not listed.
    """

    max_age_s: float
    wait_s: float


class Doubt(msgspec.Struct, frozen=True, array_like=True):
    """A job that may still be stored, and how long ago its submission ended without proof."""

    job: ids.JobId
    age_s: float


class ForwardedStart(msgspec.Struct, frozen=True, array_like=True):
    """A start to forward to its worker; the call has the job's specification."""

    worker: ids.WorkerId
    born_ms: int
    task: str
    run: int
    valid_until_ms: int = msgspec.field(name="until_ms")
    checkpoint: str = msgspec.field(default="", name="saved")
    ticket: str | None = None
    fencing_token: int = msgspec.field(default=0, name="token")


class ForwardStarts(Call, frozen=True, kw_only=True, tag="Carry"):
    """Send starts to workers over the network link of the called entry."""

    epoch: ids.Epoch
    starts: tuple[ForwardedStart, ...]
    specs: dict[ids.JobId, str]


AnyCall = (
    SubmitJob
    | GetJob
    | CancelJob
    | CountPendingJobs
    | EvacuateHost
    | ReportDemand
    | ReportRejections
    | Inspect
    | CheckTableAccess
    | LeaseRelinquished
    | ReportDoubts
    | ListDoubts
    | CheckSubmission
    | ForwardStarts
)


class Status(enum.Enum):
    """The result of a call."""

    DONE = "done"
    UNKNOWN_JOB = "unknown-job"
    # The called entry does not hold the service, or its holder does not know the stored jobs yet.
    NOT_HOLDER = "not-holder"
    # The holder has not stored the job, and won't.
    NOT_STORED = "not-stored"
    # The sender's configuration is older; the active one routes the queue elsewhere or nowhere.
    NOT_ROUTED = "not-routed"
    UNSETTLED = "unsettled"
    # The table answers for other services but not for this one; nothing was sent to it.
    TABLE_UNAVAILABLE = "table-silent"
    IN_PROGRESS = "waits"


class Reply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The reply to a call; the version is that of the receiver's active configuration."""

    status: Status = msgspec.field(name="verdict")
    version: ids.Version = ids.NO_VERSION
    state: jobs.JobState = jobs.JobState.QUEUED
    count: int = 0
    payload: bytes = msgspec.field(default=b"", name="shown")
    outcomes: tuple[orders.Outcome, ...] = ()
    # The worker's clock in its answer to each forwarded start, or None without an answer.
    worker_clocks_ms: tuple[int | None, ...] = msgspec.field(default=(), name="clocks_ms")
    # Other entries that may be storing the submitted job without its holder.
    other_submitters: tuple[Submitter, ...] = ()
    # Whether the holder has been there for so long that it knows all recent submitters.
    knows_submitters: bool = False
    doubts: tuple[Doubt, ...] = ()
    open_jobs: tuple[ids.JobId, ...] = ()
    # How much longer what the called entry's previous process submitted may be in doubt.
    predecessor_doubt_s: float = 0.0
