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


class Submit(QueueCall, frozen=True, kw_only=True):
    """Ask to store and run a job."""

    job: jobs.Job


class Show(QueueCall, frozen=True, kw_only=True):
    """Ask for a job's state."""

    job: ids.JobId


class Cancel(QueueCall, frozen=True, kw_only=True):
    """Ask to cancel a job."""

    job: ids.JobId


class CountPending(QueueCall, frozen=True, kw_only=True):
    """Ask how many jobs of a queue have not begun."""


class Give(Call, frozen=True, kw_only=True):
    """Ask the holder of a service to clear one of its hosts; a repeat asks how far it is.

    A host that is asked for only if it idles stays open where it doesn't.
    """

    host: ids.HostId
    reason: str
    only_idle: bool = False


class Demand(Call, frozen=True, kw_only=True):
    """Tell the holder of the fleet what a pool needs of hosts now."""

    pool: ids.ServiceName
    epoch: ids.Epoch
    report: "DemandReport"


class HostLoad(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Say what runs at one host; an idle one says for how long, a useless one gets no tasks."""

    cpu_millis: int = 0
    lasting: int = 0
    idle_s: float | None = None
    is_useless: bool = False


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Say what work waits and runs at one service, and what its hosts do.

    Room is counted as cores: a task takes the largest of its shares of a host's resources. The work
    that arrived is counted since the service's holder began; what waits is expected to run for
    some time on average. Tasks that find no place at the present hosts need more of them.
    """

    cpu_running: int
    cpu_waiting: int
    cpu_lasting: int
    waiting_ms: int
    arrived_core_ms: int
    least_hosts: int
    more_hosts: int = 0
    host_cpu_millis: int
    hosts: dict[ids.HostId, HostLoad]

    @property
    def open_hosts(self) -> int:
        """Count the hosts that take tasks."""
        return sum(not load.is_useless for load in self.hosts.values())

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


class Reach(Call, frozen=True, kw_only=True):
    """Ask whether an entry reaches the table; it reads the service's lease to know."""


class GaveUp(Call, frozen=True, kw_only=True):
    """Tell that the sender holds a service's lease no more, though it could not store that."""

    epoch: ids.Epoch


class CarriedStart(msgspec.Struct, frozen=True, array_like=True):
    """Hold a start that another entry sends to its worker; its specification stands in the call."""

    worker: ids.WorkerId
    born_ms: int
    task: str
    run: int
    until_ms: int
    saved: str = ""
    ticket: str | None = None


class Carry(Call, frozen=True, kw_only=True):
    """Ask to send starts to workers over the link of the entry that is asked."""

    epoch: ids.Epoch
    starts: tuple[CarriedStart, ...]
    specs: dict[ids.JobId, str]


AnyCall = Submit | Show | Cancel | CountPending | Give | Demand | Inspect | Reach | GaveUp | Carry


class Verdict(enum.Enum):
    """Say what became of a call."""

    DONE = "done"
    UNKNOWN_JOB = "unknown-job"
    NOT_HOLDER = "not-holder"
    # The sender's configuration is older, and the present one sends the queue elsewhere or nowhere.
    NOT_ROUTED = "not-routed"
    UNSETTLED = "unsettled"
    # The table does not answer for the service, though it does for others; nothing was sent.
    TABLE_SILENT = "table-silent"
    WAITS = "waits"


class Reply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer a call; the version is that of the configuration in force at the answerer."""

    verdict: Verdict
    version: ids.Version = ids.NO_VERSION
    state: jobs.JobState = jobs.JobState.QUEUED
    count: int = 0
    shown: bytes = b""
    outcomes: tuple[orders.Outcome, ...] = ()
