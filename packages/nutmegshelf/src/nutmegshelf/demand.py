"""Follow one queue's backlog and late requests for a number of workers."""

import collections
import dataclasses

from nutmegshelf import ids, messages


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Report what one queue was asked over an interval."""

    arrivals: float
    interval_s: float


@dataclasses.dataclass(slots=True)
class FluidQueue:
    """Hold a backlog that never grows beyond what the callers' patience lets wait."""

    worker_rate_per_s: float
    max_wait_s: float
    backlog: float = 0.0
    late: float = 0.0

    def advance(self, sample: Sample, workers: int) -> float:
        """Add a sample's arrivals and serve; gives how many can't be in time."""
        served_per_s = workers * self.worker_rate_per_s
        backlog = self.backlog + sample.arrivals - served_per_s * sample.interval_s
        bound = served_per_s * self.max_wait_s
        late = max(0.0, backlog - bound)
        self.backlog = min(max(0.0, backlog), bound)
        self.late += late
        return late


@dataclasses.dataclass(slots=True)
class Counters:
    """Count what an entry was asked and how long its minions worked, by service."""

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
        """Count a request."""
        self.asked[service] += 1

    def count_answer(self, service: ids.ServiceName, service_time_s: float | None) -> None:
        """Count an answer and the time that its slot was busy."""
        if service_time_s is not None:
            self.served[service] += 1
            self.busy_s[service] = self.busy_s.get(service, 0.0) + service_time_s

    def count_failure(self, service: ids.ServiceName, failed_s: float) -> None:
        """Count an attempt without a whole answer and the time that its slot was busy."""
        self.failed[service] += 1
        self.failed_s[service] = self.failed_s.get(service, 0.0) + failed_s


def get_mean_slot_time_s(
    report: messages.DemandReport, service: ids.ServiceName, known_s: float
) -> float:
    """Give how long a report's attempts kept their slots on average."""
    served, failed = report.served.get(service, 0), report.failed.get(service, 0)
    if not served + failed:
        return known_s
    busy_s = report.busy_s.get(service, 0.0)
    whole_s = busy_s / served if served else known_s
    # What fails at once will need its whole time once it works again.
    lost_s = max(report.failed_s.get(service, 0.0), failed * whole_s)
    return (busy_s + lost_s) / (served + failed)
