"""Learn what the tasks of a job really use from the platform's lagged reports."""

import dataclasses

from nutmegshelf import declarations, ids, workers

_MIN_REPORTS = 3
_PEAK_FADING = 0.98
_MARGIN = 1.15


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Say what one task needs of a worker."""

    cores: float
    memory_gb: float
    accelerators: int = 0

    def fits(self, room: "Size") -> bool:
        """Say whether the need fits into some room."""
        return (
            self.cores <= room.cores
            and self.memory_gb <= room.memory_gb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: "Size", sign: int = 1) -> "Size":
        """Add another size, or take it away."""
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
    """Keep a slowly fading peak a job; accelerators are whole and stay as declared."""

    def __init__(self) -> None:
        self._peaks: dict[ids.JobName, _Peak] = {}

    def add_report(self, usage: workers.TaskUsage) -> None:
        """Take one report."""
        peak = self._peaks.setdefault(usage.job, _Peak())
        peak.cores = max(usage.cores, peak.cores * _PEAK_FADING)
        peak.memory_gb = max(usage.memory_gb, peak.memory_gb * _PEAK_FADING)
        peak.reports += 1

    def get_size(self, name: ids.JobName, declared: declarations.Job) -> Size:
        """Give what a task of a job is to be counted as."""
        peak = self._peaks.get(name)
        if peak is None or peak.reports < _MIN_REPORTS:
            return Size(declared.cores, declared.memory_gb, declared.accelerators)
        return Size(peak.cores * _MARGIN, peak.memory_gb * _MARGIN, declared.accelerators)

    def retain(self, kept: set[ids.JobName]) -> None:
        """Drop the jobs that are no longer declared."""
        for name in self._peaks.keys() - kept:
            del self._peaks[name]
