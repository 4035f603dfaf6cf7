"""Type what entries ask one another about jobs and hosts, and the answers."""

import enum

import msgspec

from nutmegshelf import ids, jobs, orders


class Call(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Be the base of every call to the holder of a service.

    The version is that of the configuration in force at the sender.
    """

    service: ids.ServiceName
    version: ids.Version = ids.NO_VERSION


class QueueCall(Call, frozen=True, kw_only=True):
    """Be the base of what a caller asks of a queue."""

    queue: ids.QueueName


class SubmitJob(QueueCall, frozen=True, kw_only=True, tag="Submit"):
    """Ask to store and run a job."""

    job: jobs.Job


class GetJob(QueueCall, frozen=True, kw_only=True, tag="Show"):
    """Ask for a job's state."""

    job: ids.JobId


class CancelJob(QueueCall, frozen=True, kw_only=True, tag="Cancel"):
    """Ask to cancel a job."""

    job: ids.JobId


class CountPendingJobs(QueueCall, frozen=True, kw_only=True, tag="CountPending"):
    """Ask how many jobs of a queue have not begun."""


class EvacuateHost(Call, frozen=True, kw_only=True, tag="Give"):
    """Ask the holder of a service to clear one of its hosts; a repeat asks how far it is.

    A host that is asked for only if it idles stays open where it doesn't.
    """

    host: ids.HostId
    reason: str
    only_idle: bool = False


class ReportDemand(Call, frozen=True, kw_only=True, tag="Demand"):
    """Tell the holder of the fleet what a pool needs of hosts now."""

    pool: ids.ServiceName
    epoch: ids.Epoch
    report: "DemandReport"


class HostLoad(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Say what runs at one host; an idle one says for how long, a useless one gets no tasks."""

    cpu_millis: int = 0
    long_running_count: int = msgspec.field(default=0, name="lasting")
    idle_s: float | None = None
    is_unusable: bool = msgspec.field(default=False, name="is_useless")


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Say what work waits and runs at one service, and what its hosts do.

    Room is counted as cores: a task takes the largest of its shares of a host's resources. The work
    that arrived is counted since the service's holder began; what waits is expected to run for
    some time on average. Tasks that find no place at the present hosts need more of them.
    """

    cpu_running: int
    cpu_waiting: int
    cpu_long_running: int = msgspec.field(name="cpu_lasting")
    waiting_ms: int
    arrived_core_ms: int
    min_hosts: int = msgspec.field(name="least_hosts")
    additional_hosts: int = msgspec.field(default=0, name="more_hosts")
    host_cpu_millis: int
    hosts: dict[ids.HostId, HostLoad]

    @property
    def open_hosts(self) -> int:
        """Count the hosts that take tasks."""
        return sum(not load.is_unusable for load in self.hosts.values())

    @property
    def idle_s(self) -> dict[ids.HostId, float]:
        """Give the idle hosts, and for how long they idle."""
        return {host: load.idle_s for host, load in self.hosts.items() if load.idle_s is not None}


class View(enum.Enum):
    """Name what operators may ask a holder for."""

    JOBS = "jobs"
    JOB = "job"
    QUEUES = "queues"
    POOLS = "pools"
    WAVES = "waves"
    HOLDERS = "holders"


class Inspect(Call, frozen=True, kw_only=True):
    """Ask a holder what it knows, for operators; it answers also while it can't give orders."""

    view: View
    job: ids.JobId = ids.JobId("")


class CheckTableAccess(Call, frozen=True, kw_only=True, tag="Reach"):
    """Ask whether an entry reaches the table; it reads the service's lease to know."""


class LeaseRelinquished(Call, frozen=True, kw_only=True, tag="GaveUp"):
    """Tell that the sender holds a service's lease no more, though it could not store that."""

    epoch: ids.Epoch


class ForwardedStart(msgspec.Struct, frozen=True, array_like=True):
    """Hold a start that another entry sends to its worker; its specification stands in the call."""

    worker: ids.WorkerId
    born_ms: int
    task: str
    run: int
    valid_until_ms: int = msgspec.field(name="until_ms")
    checkpoint: str = msgspec.field(default="", name="saved")
    ticket: str | None = None


class ForwardStarts(Call, frozen=True, kw_only=True, tag="Carry"):
    """Ask to send starts to workers over the link of the entry that is asked."""

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
    | Inspect
    | CheckTableAccess
    | LeaseRelinquished
    | ForwardStarts
)


class Status(enum.Enum):
    """Say what became of a call."""

    DONE = "done"
    UNKNOWN_JOB = "unknown-job"
    NOT_HOLDER = "not-holder"
    # The sender's configuration is older, and the present one sends the queue elsewhere or nowhere.
    NOT_ROUTED = "not-routed"
    UNSETTLED = "unsettled"
    # The table does not answer for the service, though it does for others; nothing was sent.
    TABLE_UNAVAILABLE = "table-silent"
    IN_PROGRESS = "waits"


class Reply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer a call; the version is that of the configuration in force at the answerer."""

    status: Status = msgspec.field(name="verdict")
    version: ids.Version = ids.NO_VERSION
    state: jobs.JobState = jobs.JobState.QUEUED
    count: int = 0
    payload: bytes = msgspec.field(default=b"", name="shown")
    outcomes: tuple[orders.Outcome, ...] = ()
