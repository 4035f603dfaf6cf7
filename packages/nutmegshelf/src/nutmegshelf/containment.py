"""Confine unexpected errors to the job that they are about.

Reports and stored rows come again to every later holder, so that an error that ended the holder
would end all of them, and stop the other jobs of the service.
"""

import collections.abc
import contextlib
import traceback

from nutmegshelf import ids, jobs, notes, registry

# The end of a trace names the place of the error.
_MAX_TRACE_CHARS = 2_000


class ErrorContainment:
    """Fails the jobs of one service whose handling raises an unexpected error."""

    def __init__(self, job_registry: registry.JobRegistry, decision_notes: notes.Notes) -> None:
        self._registry = job_registry
        self._notes = decision_notes

    @contextlib.contextmanager
    def confine(
        self, job: ids.JobId | None, now_s: float, subject: str
    ) -> collections.abc.Iterator[None]:
        """Note an error raised in this context, and fail the live job that it is about.

        The job ends as a whole, so that no half of a change stays in force.
        """
        try:
            yield
        except Exception as error:
            trace = "".join(traceback.format_exception(error))[-_MAX_TRACE_CHARS:]
            self._notes.note(
                "unexpected error", job=job, subject=subject, why=repr(error), trace=trace
            )
            record = self._registry.live.get(job) if job is not None else None
            if record is not None:
                reason = f"an unexpected error about {subject}: {error!r}"
                self._registry.end_job(record, jobs.JobState.FAILED, reason, now_s)
                self._notes.note_job_ended(record.progress, now_s - record.accepted_s)
