"""Find the jobs that run although a caller was told that they would not."""

import dataclasses

from nutmegshelf import calls, exceptions, ids, notes, registry

# The event of a job that runs after its rejection.
REJECTED_JOB_RUNS = "rejected job runs"
# Statuses by which a caller learns that its job was not accepted and never runs.
_REJECTION_STATUSES = (429, 503)
# The wall clocks of two entries differ by less than this.
_MAX_CLOCK_DIFFERENCE_MS = 500
# How long the rejections of a job are kept that is not known yet.
_RETENTION_S = 60.0
_MAX_JOBS = 8_192
_MAX_TRIES_PER_JOB = 4


def is_rejection(error: exceptions.RequestError) -> bool:
    """Return whether the response to a submission says that the job never runs."""
    is_not_run = error.outcome is exceptions.Outcome.NOT_RUN
    return is_not_run and error.response.status in _REJECTION_STATUSES


@dataclasses.dataclass(slots=True)
class _RejectedJob:
    """The latest rejections of one job that is not known, with the entries that reported them."""

    reported_s: float
    tries: list[tuple[ids.EntryId, calls.Rejection]] = dataclasses.field(default_factory=list)


class RejectionTracker:
    """Compares the rejections that entries report with the jobs that are stored.

    A job counts if the try that was stored is a rejected one, or began before a rejection of
    another try. Tries are told apart by their wall times at the entries that received them, so an
    earlier try counts only if it began before the rejection by more than the clocks of two entries
    may differ; then a later try that was accepted never counts. A job counts once, and again only
    at a later holder.

    Some untrue rejections are not counted: of a try that another entry received and stored just
    before, those that no holder was told of, as their entry ended or reached no holder in time,
    and those of jobs that become known only after the retention. An earlier try counts even if
    its caller was told that it was accepted, as the rejection of the later one is still untrue.
    """

    def __init__(self, job_registry: registry.JobRegistry, decision_notes: notes.Notes) -> None:
        self._registry = job_registry
        self._notes = decision_notes
        # Rejected jobs that are not in the registry, the least recently reported first.
        self._unknown: dict[ids.JobId, _RejectedJob] = {}

    def __len__(self) -> int:
        """Return the number of jobs whose rejections are kept."""
        return len(self._unknown)

    def report(self, call: calls.ReportRejections, now_s: float) -> None:
        """Check the jobs of reported rejections, and keep those of jobs that are not known."""
        for rejection in call.rejections:
            record = self._registry.records.get(rejection.job)
            if record is not None:
                self._check(record, call.entry, rejection)
            else:
                self._keep(call.entry, rejection, now_s)
        self._forget_old(now_s)

    def check_added(self, job: ids.JobId) -> None:
        """Check a job that was added to the registry against the rejections kept."""
        rejected = self._unknown.pop(job, None)
        if rejected is not None:
            for entry, rejection in rejected.tries:
                self._check(self._registry.records[job], entry, rejection)

    def _keep(self, entry: ids.EntryId, rejection: calls.Rejection, now_s: float) -> None:
        rejected = self._unknown.pop(rejection.job, None) or _RejectedJob(now_s)
        rejected.reported_s = now_s
        if (entry, rejection) not in rejected.tries:
            rejected.tries = [*rejected.tries, (entry, rejection)][-_MAX_TRIES_PER_JOB:]
        self._unknown[rejection.job] = rejected

    def _forget_old(self, now_s: float) -> None:
        while self._unknown:
            oldest = next(iter(self._unknown))
            is_recent = now_s - self._unknown[oldest].reported_s <= _RETENTION_S
            if is_recent and len(self._unknown) <= _MAX_JOBS:
                return
            del self._unknown[oldest]

    def _check(
        self, record: registry.JobRecord, entry: ids.EntryId, rejection: calls.Rejection
    ) -> None:
        stored_ms = record.job.accepted_ms
        is_same_try = stored_ms == rejection.received_ms
        is_earlier_try = stored_ms + _MAX_CLOCK_DIFFERENCE_MS <= rejection.rejected_ms
        if record.is_rejection_counted or not (is_same_try or is_earlier_try):
            return
        record.is_rejection_counted = True
        self._notes.note(
            REJECTED_JOB_RUNS,
            job=rejection.job,
            queue=rejection.queue,
            entry=entry,
            same_try=is_same_try,
            stored_try_ms=stored_ms,
            rejected_try_ms=rejection.received_ms,
            rejected_ms=rejection.rejected_ms,
        )
