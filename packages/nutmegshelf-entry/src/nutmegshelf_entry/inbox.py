"""Keep the notices of one service until its holder takes them in."""

import asyncio

from nutmegshelf import ids, jobs


class Inbox:
    """Own the notices that wait, by job, so that a job is known to be cancelled when it comes."""

    def __init__(self) -> None:
        self._waiting: dict[ids.JobId, list[jobs.Notice]] = {}
        self._has_some = asyncio.Event()

    def put(self, notice: jobs.Notice) -> None:
        """Add a notice to those of its job."""
        self._waiting.setdefault(notice.job, []).append(notice)
        self._has_some.set()

    async def pop(self, most_jobs: int) -> list[list[jobs.Notice]]:
        """Wait for notices and give those of the jobs that wait the longest."""
        await self._has_some.wait()
        return self._pop_jobs(most_jobs)

    def pop_all(self) -> list[list[jobs.Notice]]:
        """Give all notices by job."""
        return self._pop_jobs(len(self._waiting))

    def pop_job(self, job: ids.JobId) -> list[jobs.Notice]:
        """Give the notices of one job."""
        found = self._waiting.pop(job, [])
        if not self._waiting:
            self._has_some.clear()
        return found

    def _pop_jobs(self, most_jobs: int) -> list[list[jobs.Notice]]:
        return [self.pop_job(job) for job in list(self._waiting)[:most_jobs]]
