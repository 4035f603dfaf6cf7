"""Type what entries ask one another about jobs and hosts, and the answers."""

import enum

import msgspec

from nutmegshelf import ids, jobs


class Call(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Be the base of every call to the holder of a service."""

    service: ids.ServiceName


class Submit(Call, frozen=True, kw_only=True):
    """Ask to store and run a job."""

    job: jobs.Job


class Show(Call, frozen=True, kw_only=True):
    """Ask for a job's state."""

    job: ids.JobId


class Cancel(Call, frozen=True, kw_only=True):
    """Ask to cancel a job."""

    job: ids.JobId


class CountPending(Call, frozen=True, kw_only=True):
    """Ask how many jobs of a queue have not begun."""

    queue: ids.QueueName


class Give(Call, frozen=True, kw_only=True):
    """Ask the holder of a service to clear one of its hosts; a repeat asks how far it is."""

    host: ids.HostId
    reason: str


class Demand(Call, frozen=True, kw_only=True):
    """Tell the holder of the fleet what a service needs of hosts now."""

    report: "DemandReport"


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Say what work waits and runs at one service, and which of its hosts are idle."""

    cpu_running: int
    cpu_waiting: int
    cpu_forecast: int
    hosts: int
    idle_s: dict[ids.HostId, float]
    cleared: tuple[ids.HostId, ...] = ()


AnyCall = Submit | Show | Cancel | CountPending | Give | Demand


class Verdict(enum.Enum):
    """Say what became of a call."""

    DONE = "done"
    UNKNOWN_JOB = "unknown-job"
    REFUSED_FULL = "refused-full"
    REFUSED_HOPELESS = "refused-hopeless"
    NOT_HOLDER = "not-holder"
    UNSETTLED = "unsettled"
    WAITS = "waits"


class Reply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer a call."""

    verdict: Verdict
    state: jobs.JobState = jobs.JobState.QUEUED
    count: int = 0
    retry_after_s: float = 0.0
