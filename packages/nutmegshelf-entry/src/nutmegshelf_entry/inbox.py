"""Queue of the notices of one service that its holder has yet to process."""

import asyncio

from nutmegshelf import ids, jobs


class Inbox:
    """Pending notices grouped by job, so that a cancellation is seen together with its job."""

    def __init__(self) -> None:
        self._pending: dict[ids.JobId, list[jobs.Notice]] = {}
        self._not_empty = asyncio.Event()

    def put(self, notice: jobs.Notice) -> None:
        """Add a notice to the pending ones of its job."""
        self._pending.setdefault(notice.job, []).append(notice)
        self._not_empty.set()

    async def pop(self, max_jobs: int) -> list[list[jobs.Notice]]:
        """Wait for notices and remove those of the jobs that have waited longest."""
        await self._not_empty.wait()
        return self._pop_jobs(max_jobs)

    def pop_all(self) -> list[list[jobs.Notice]]:
        """Remove all notices and return them by job."""
        return self._pop_jobs(len(self._pending))

    def pop_job(self, job: ids.JobId) -> list[jobs.Notice]:
        """Remove the notices of one job and return them."""
        notices = self._pending.pop(job, [])
        if not self._pending:
            self._not_empty.clear()
        return notices

    def _pop_jobs(self, max_jobs: int) -> list[list[jobs.Notice]]:
        return [self.pop_job(job) for job in list(self._pending)[:max_jobs]]
