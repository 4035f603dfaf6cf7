"""Tell workers that fail every job from jobs that fail at every worker."""

import collections

from nutmegshelf import ids

_STRIKES = 3
_UNPROVEN_STRIKES = 2


class FailureTracker:
    """Blame a worker by proven jobs only, and a job by proven workers only.

    A job is proven by a success at any worker, a worker by the success of any other job.
    """

    def __init__(self) -> None:
        self._worker_strikes: dict[ids.WorkerId, set[ids.JobName]] = collections.defaultdict(set)
        self._job_strikes: dict[ids.JobName, set[ids.WorkerId]] = collections.defaultdict(set)
        self._proven_jobs: set[ids.JobName] = set()
        self._proven_workers: set[ids.WorkerId] = set()

    def record_success(self, job: ids.JobName, worker: ids.WorkerId) -> None:
        """Note a success: it clears both of their strikes."""
        self._proven_jobs.add(job)
        self._proven_workers.add(worker)
        self._worker_strikes.pop(worker, None)
        self._job_strikes.pop(job, None)

    def record_failure(self, job: ids.JobName, worker: ids.WorkerId) -> None:
        """Note a failure: it counts against both until the other one is proven."""
        self._worker_strikes[worker].add(job)
        self._job_strikes[job].add(worker)

    def is_quarantined(self, worker: ids.WorkerId) -> bool:
        """Say whether a worker gets no new tasks, as jobs that run elsewhere fail there."""
        strikes = self._worker_strikes.get(worker, set()) & self._proven_jobs
        # A suspect worker is tried last, so one that never had a success may not get a third try.
        needed = _STRIKES if worker in self._proven_workers else _UNPROVEN_STRIKES
        return len(strikes) >= needed

    def is_stopped(self, job: ids.JobName) -> bool:
        """Say whether a job is not tried again, as it fails where others run."""
        strikes = self._job_strikes.get(job, set()) & self._proven_workers
        proven = {worker for worker in strikes if not self.is_quarantined(worker)}
        return job not in self._proven_jobs and len(proven) >= _STRIKES

    def get_failed_workers(self, job: ids.JobName) -> frozenset[ids.WorkerId]:
        """Give the workers where a job has failed: it is tried elsewhere first."""
        return frozenset(self._job_strikes.get(job, ()))

    def count_failed_jobs(self, worker: ids.WorkerId) -> int:
        """Order workers for a task: those with open strikes come last."""
        return len(self._worker_strikes.get(worker, ()))

    def reset_worker(self, worker: ids.WorkerId) -> None:
        """Forget a worker's strikes after it was started afresh."""
        self._worker_strikes.pop(worker, None)
        self._proven_workers.discard(worker)
