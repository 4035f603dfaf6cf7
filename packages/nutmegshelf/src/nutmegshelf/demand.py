"""Measure the demand for services and model its backlog for a number of workers."""

import collections
import dataclasses

from nutmegshelf import ids, messages


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Requests that arrived at one pool's queue during an interval."""

    arrivals: float
    interval_s: float


@dataclasses.dataclass(slots=True)
class FluidQueue:
    """Fluid model of a queue whose backlog is bounded by the longest wait that callers accept."""

    worker_rate_per_s: float
    max_wait_s: float
    backlog: float = 0.0
    late: float = 0.0

    def advance(self, sample: Sample, workers: int) -> float:
        """Advance by one sample and return how many of its requests can't be served in time."""
        served_per_s = workers * self.worker_rate_per_s
        backlog = self.backlog + sample.arrivals - served_per_s * sample.interval_s
        max_backlog = served_per_s * self.max_wait_s
        late = max(0.0, backlog - max_backlog)
        self.backlog = min(max(0.0, backlog), max_backlog)
        self.late += late
        return late


@dataclasses.dataclass(slots=True)
class Counters:
    """Requests, answers and failures at an entry by service, with the time that slots were busy."""

    asked: collections.Counter[ids.ServiceName] = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter[ids.ServiceName] = dataclasses.field(
        default_factory=collections.Counter
    )
    busy_s: dict[ids.ServiceName, float] = dataclasses.field(default_factory=dict)
    failed: collections.Counter[ids.ServiceName] = dataclasses.field(
        default_factory=collections.Counter
    )
    failed_s: dict[ids.ServiceName, float] = dataclasses.field(default_factory=dict)

    def count_request(self, service: ids.ServiceName) -> None:
        """Count one request for a service."""
        self.asked[service] += 1

    def count_answer(self, service: ids.ServiceName, service_time_s: float | None) -> None:
        """Count one complete answer and the time that it kept its slot busy."""
        if service_time_s is not None:
            self.served[service] += 1
            self.busy_s[service] = self.busy_s.get(service, 0.0) + service_time_s

    def count_failure(self, service: ids.ServiceName, failed_s: float) -> None:
        """Count one attempt without a complete answer and the time that it kept its slot busy."""
        self.failed[service] += 1
        self.failed_s[service] = self.failed_s.get(service, 0.0) + failed_s


def get_mean_slot_time_s(
    report: messages.DemandReport, service: ids.ServiceName, default_s: float
) -> float:
    """Return how long the attempts of a report kept their slots busy on average."""
    served, failed = report.served.get(service, 0), report.failed.get(service, 0)
    if not served + failed:
        return default_s
    busy_s = report.busy_s.get(service, 0.0)
    mean_answer_s = busy_s / served if served else default_s
    # An attempt that fails at once counts as a mean answer, as it needs that long when it succeeds.
    failed_s = max(report.failed_s.get(service, 0.0), failed * mean_answer_s)
    return (busy_s + failed_s) / (served + failed)
