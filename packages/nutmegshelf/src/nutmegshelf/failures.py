"""Tell faulty workers from faulty jobs by which jobs fail at which workers."""

import collections

from nutmegshelf import ids

_FAILURE_LIMIT = 3
_UNPROVEN_FAILURE_LIMIT = 2


class FailureTracker:
    """Failures that count against a worker or a job.

    Only failures of proven jobs count against a worker, and only failures at proven workers count
    against a job. A job is proven by a success at any worker, a worker by the success of any other
    job.
    """

    def __init__(self) -> None:
        self._failed_jobs_by_worker: dict[ids.WorkerId, set[ids.JobName]] = collections.defaultdict(
            set
        )
        self._failed_workers_by_job: dict[ids.JobName, set[ids.WorkerId]] = collections.defaultdict(
            set
        )
        self._proven_jobs: set[ids.JobName] = set()
        self._proven_workers: set[ids.WorkerId] = set()

    def record_success(self, job: ids.JobName, worker: ids.WorkerId) -> None:
        """Record a success, which clears the failures of both the job and the worker."""
        self._proven_jobs.add(job)
        self._proven_workers.add(worker)
        self._failed_jobs_by_worker.pop(worker, None)
        self._failed_workers_by_job.pop(job, None)

    def record_failure(self, job: ids.JobName, worker: ids.WorkerId) -> None:
        """Record a failure of a job at a worker."""
        self._failed_jobs_by_worker[worker].add(job)
        self._failed_workers_by_job[job].add(worker)

    def is_quarantined(self, worker: ids.WorkerId) -> bool:
        """Return whether a worker gets no new tasks because proven jobs fail there."""
        failed_jobs = self._failed_jobs_by_worker.get(worker, set()) & self._proven_jobs
        # Workers with failures are chosen last, so an unproven one may never get a third task.
        failure_limit = (
            _FAILURE_LIMIT if worker in self._proven_workers else _UNPROVEN_FAILURE_LIMIT
        )
        return len(failed_jobs) >= failure_limit

    def is_stopped(self, job: ids.JobName) -> bool:
        """Return whether a job is not started again because it fails at proven workers."""
        failed_workers = self._failed_workers_by_job.get(job, set()) & self._proven_workers
        sound_workers = {worker for worker in failed_workers if not self.is_quarantined(worker)}
        return job not in self._proven_jobs and len(sound_workers) >= _FAILURE_LIMIT

    def get_failed_workers(self, job: ids.JobName) -> frozenset[ids.WorkerId]:
        """Return the workers where a job has failed, which are tried last."""
        return frozenset(self._failed_workers_by_job.get(job, ()))

    def count_failed_jobs(self, worker: ids.WorkerId) -> int:
        """Return how many jobs have failed at a worker since its last success."""
        return len(self._failed_jobs_by_worker.get(worker, ()))

    def reset_worker(self, worker: ids.WorkerId) -> None:
        """Clear the record of a worker that was restarted."""
        self._failed_jobs_by_worker.pop(worker, None)
        self._proven_workers.discard(worker)
