"""Follow one queue's backlog and late requests for a number of workers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Report what one queue was asked over an interval."""

    arrivals: float
    interval_s: float


@dataclasses.dataclass(slots=True)
class FluidQueue:
    """Hold a backlog that never grows beyond what the callers' patience lets wait."""

    worker_per_s: float
    patience_s: float
    backlog: float = 0.0
    late: float = 0.0

    def take(self, sample: Sample, workers: int) -> float:
        """Add a sample's arrivals and serve; gives how many can't be in time."""
        served_per_s = workers * self.worker_per_s
        backlog = self.backlog + sample.arrivals - served_per_s * sample.interval_s
        bound = served_per_s * self.patience_s
        late = max(0.0, backlog - bound)
        self.backlog = min(max(0.0, backlog), bound)
        self.late += late
        return late
