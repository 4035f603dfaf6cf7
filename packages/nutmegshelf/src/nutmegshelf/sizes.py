"""Estimate the resources that tasks of a job use from the platform's delayed reports."""

import dataclasses

from nutmegshelf import declarations, ids, workers

_MIN_REPORTS = 3
_PEAK_DECAY = 0.98
_MARGIN_FACTOR = 1.15


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Amounts of resources: of a task, a worker or a quota."""

    cores: float
    memory_gb: float
    accelerators: int = 0

    def fits(self, capacity: "Size") -> bool:
        """Return whether every amount is within a capacity."""
        return (
            self.cores <= capacity.cores
            and self.memory_gb <= capacity.memory_gb
            and self.accelerators <= capacity.accelerators
        )

    def plus(self, other: "Size", sign: int = 1) -> "Size":
        """Return the sum with another size, or the difference if the sign is -1."""
        return Size(
            self.cores + sign * other.cores,
            self.memory_gb + sign * other.memory_gb,
            self.accelerators + sign * other.accelerators,
        )


@dataclasses.dataclass(slots=True)
class _Peak:
    cores: float = 0.0
    memory_gb: float = 0.0
    reports: int = 0


class SizeEstimator:
    """Decaying peak usage of each job's tasks; accelerators stay as declared."""

    def __init__(self) -> None:
        self._peaks: dict[ids.JobName, _Peak] = {}

    def add_report(self, usage: workers.TaskUsage) -> None:
        """Update the peaks of a job with one report."""
        peak = self._peaks.setdefault(usage.job, _Peak())
        peak.cores = max(usage.cores, peak.cores * _PEAK_DECAY)
        peak.memory_gb = max(usage.memory_gb, peak.memory_gb * _PEAK_DECAY)
        peak.reports += 1

    def get_size(self, name: ids.JobName, declared: declarations.Job) -> Size:
        """Return the size to plan a task with: as declared until there are enough reports."""
        peak = self._peaks.get(name)
        if peak is None or peak.reports < _MIN_REPORTS:
            return Size(declared.cores, declared.memory_gb, declared.accelerators)
        return Size(
            peak.cores * _MARGIN_FACTOR, peak.memory_gb * _MARGIN_FACTOR, declared.accelerators
        )

    def retain(self, declared: set[ids.JobName]) -> None:
        """Drop the estimates of all jobs but the given ones."""
        for name in self._peaks.keys() - declared:
            del self._peaks[name]
