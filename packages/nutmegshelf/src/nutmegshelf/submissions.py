"""Decide what became of a submitted job; it is unknown unless there is proof.

A time limit, a cancellation or the absence of a record proves nothing. Proof is an answer of the
table, or that the job was in no transaction and will never be in one.
"""

import collections
import dataclasses
import enum
import itertools
import math

from nutmegshelf import calls, exceptions, ids, jobs, outages

# A transaction without an answer is carried out within this time, if at all.
MAX_CARRY_OUT_DELAY_S = 60.0
# Callers whose call was with a process that is gone come back within this time.
LOST_PROCESS_DOUBT_S = 5.0
# An entry that did not run for longer than this may have missed calls, or has yet to handle them.
MAX_STANDSTILL_S = 0.3


class Outcome(enum.Enum):
    """What is known of a submitted job."""

    STORED = "stored"
    # The job is not stored and never will be by this submission.
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


def judge_failure(error: exceptions.TableError, *, may_holder_have_stored: bool) -> Outcome:
    """Return what became of a job that neither the holder nor the table has confirmed."""
    is_answer_lost = isinstance(error, exceptions.TableAnswerLost)
    return Outcome.UNKNOWN if may_holder_have_stored or is_answer_lost else Outcome.NOT_STORED


def make_refusal(
    error: exceptions.TableError, outcome: Outcome, timeout_s: float
) -> exceptions.RequestError:
    """Return what a caller is told of a job that the table has not stored."""
    if isinstance(error, exceptions.TableRefused):
        refusal = exceptions.RequestError(exceptions.ErrorKind.BODY_TOO_LARGE, str(error))
        if outcome is Outcome.UNKNOWN:
            refusal.mark_sent()
        return refusal
    if outcome is Outcome.UNKNOWN:
        return exceptions.RequestError(exceptions.ErrorKind.JOB_UNSETTLED, str(error))
    retry_after_s = outages.get_retry_after_s(timeout_s)
    kind = exceptions.ErrorKind.TABLE_UNAVAILABLE
    return exceptions.RequestError(kind, str(error), retry_after_s)


class Submission:
    """A job on its way into the table, for all calls that wait for it.

    The transaction with the job is attempted until it is answered, one attempt at a time.
    """

    def __init__(self, job: jobs.Job) -> None:
        self.job = job
        self._waiting_calls = 0
        self._is_stored = False
        # No attempt begins any more.
        self._is_closed = False
        self._has_open_attempt = False
        # An attempt without an answer may be carried out at any later time.
        self._has_lost_attempt = False

    @property
    def outcome(self) -> Outcome:
        """Return what is known by now."""
        if self._is_stored:
            return Outcome.STORED
        if self._is_closed and not self.may_be_carried_out:
            return Outcome.NOT_STORED
        return Outcome.UNKNOWN

    @property
    def may_be_carried_out(self) -> bool:
        """Return whether an attempt was sent that is not known to have had no effect."""
        return self._has_open_attempt or self._has_lost_attempt

    @property
    def is_closed(self) -> bool:
        """Return whether no further attempt may begin."""
        return self._is_closed

    def join(self) -> None:
        """Add a call that waits."""
        self._waiting_calls += 1

    def leave(self) -> Outcome:
        """Remove a call that waits; the last one withdraws a job that no attempt may store."""
        self._waiting_calls -= 1
        if not self._waiting_calls and not self._is_stored and not self.may_be_carried_out:
            self._is_closed = True
        return self.outcome

    def begin_attempt(self) -> None:
        """Record that a transaction with the job is sent."""
        self._has_open_attempt = True

    def end_attempt_without_effect(self) -> None:
        """Record that the table has answered, and did not carry the transaction out."""
        self._has_open_attempt = False

    def lose_attempt(self) -> None:
        """Record that the transaction got no answer."""
        self._has_open_attempt = False
        self._has_lost_attempt = True

    def rule_out(self) -> None:
        """Record that no attempt was carried out, and that none will be."""
        self._is_closed = True
        self._has_open_attempt = self._has_lost_attempt = False

    def confirm_stored(self) -> None:
        """Record that the table has the job."""
        self._is_stored = True

    def close(self) -> None:
        """Record that no further attempt begins."""
        self._is_closed = True


class Ledger:
    """What one entry knows of the submissions of callers, its own and those that others report.

    A submission is in doubt from its beginning until it is ended with proof.
    """

    def __init__(self, max_jobs: int) -> None:
        self._max_jobs = max_jobs
        self._open: collections.Counter[ids.JobId] = collections.Counter()
        # When each job was last in doubt, and the stored jobs; the oldest first.
        self._doubtful_s: dict[ids.JobId, float] = {}
        # When the jobs were last in doubt that were dropped as there were too many.
        self._dropped_s = -math.inf
        self._stored: dict[ids.JobId, None] = {}
        # When submissions at this entry ended without proof; the oldest first.
        self._own_doubtful_s: dict[ids.JobId, float] = {}
        # The jobs that other entries are submitting, by their addresses.
        self._open_elsewhere: dict[str, frozenset[ids.JobId]] = {}

    def begin(self, job: ids.JobId) -> None:
        """Record that a submission begins."""
        self._open[job] += 1

    def end(self, job: ids.JobId, outcome: Outcome, now_s: float) -> None:
        """Record what became of a submission that began."""
        self._open[job] -= 1
        if not self._open[job]:
            del self._open[job]
        match outcome:
            case Outcome.STORED:
                self._doubtful_s.pop(job, None)
                self._stored.pop(job, None)
                self._stored[job] = None
                while len(self._stored) > self._max_jobs:
                    del self._stored[next(iter(self._stored))]
            case Outcome.UNKNOWN:
                self.report_doubt(job, now_s)
                self._own_doubtful_s.pop(job, None)
                self._own_doubtful_s[job] = now_s
                while len(self._own_doubtful_s) > self._max_jobs:
                    del self._own_doubtful_s[next(iter(self._own_doubtful_s))]
            case Outcome.NOT_STORED:
                pass

    def report_doubt(self, job: ids.JobId, doubtful_s: float) -> None:
        """Record that a submission of a job ended without proof at a time."""
        self._doubtful_s[job] = max(doubtful_s, self._doubtful_s.pop(job, doubtful_s))
        while len(self._doubtful_s) > self._max_jobs:
            dropped_s = self._doubtful_s.pop(next(iter(self._doubtful_s)))
            self._dropped_s = max(self._dropped_s, dropped_s)

    def list_doubts(self, max_age_s: float, now_s: float) -> tuple[calls.Doubt, ...]:
        """Return the jobs that submissions at this entry left in doubt lately."""
        recent = itertools.takewhile(
            lambda item: now_s - item[1] < max_age_s, reversed(self._own_doubtful_s.items())
        )
        return tuple(calls.Doubt(job, now_s - doubtful_s) for job, doubtful_s in recent)

    def list_open(self) -> tuple[ids.JobId, ...]:
        """Return the jobs that are being submitted at this entry; the latest ones if many."""
        return tuple(itertools.islice(reversed(self._open), self._max_jobs))

    def record_open_elsewhere(self, address: str, open_jobs: tuple[ids.JobId, ...]) -> None:
        """Record the jobs that another entry is submitting now."""
        self._open_elsewhere[address] = frozenset(open_jobs)

    def is_open_elsewhere(self, job: ids.JobId) -> bool:
        """Return whether another entry is submitting a job, as far as is known."""
        return any(job in open_jobs for open_jobs in self._open_elsewhere.values())

    def lose_open_elsewhere(self, address: str, now_s: float) -> None:
        """Record that another entry is silent, so that what it was submitting is in doubt."""
        for job in self._open_elsewhere.pop(address, ()):
            self.report_doubt(job, now_s)

    def forget_open_elsewhere(self) -> None:
        """Forget what other entries are submitting, as it is not followed any more."""
        self._open_elsewhere.clear()

    def is_stored(self, job: ids.JobId) -> bool:
        """Return whether the table has the job for certain."""
        return job in self._stored

    def has_doubt(self, job: ids.JobId) -> bool:
        """Return whether a submission of a job ended without proof."""
        return job in self._doubtful_s

    def may_appear(self, job: ids.JobId, now_s: float) -> bool:
        """Return whether a job that is not in the table now may be stored later."""
        doubtful_s = self._doubtful_s.get(job)
        is_recent = doubtful_s is not None and now_s - doubtful_s < MAX_CARRY_OUT_DELAY_S
        return job in self._open or is_recent or self.has_dropped_recent(now_s)

    def may_be_stored(self, job: ids.JobId, now_s: float) -> bool:
        """Return whether any submission that ended, or is open here, may have stored the job."""
        is_known = job in self._open or job in self._doubtful_s or job in self._stored
        return is_known or self.has_dropped_recent(now_s)

    def has_dropped_recent(self, now_s: float) -> bool:
        """Return whether any job may have been in doubt lately without being known as such."""
        return now_s - self._dropped_s < MAX_CARRY_OUT_DELAY_S


@dataclasses.dataclass(slots=True)
class _Submitters:
    """The entries that have submitted a job, and when the latest of them did."""

    submitters: set[calls.Submitter]
    latest_s: float


class SubmitterIndex:
    """Which entries have submitted a job to a holder that has not stored it.

    Each of them may have tried to store the job without its holder afterwards.
    """

    def __init__(self, max_jobs: int) -> None:
        self._max_jobs = max_jobs
        self._by_job: dict[ids.JobId, _Submitters] = {}
        # Submissions of before may be missing.
        self._complete_since_s = math.inf
        self._observed_s = math.inf

    def begin(self, now_s: float) -> None:
        """Record that all submissions are added from now on."""
        self._complete_since_s = self._observed_s = now_s

    def observe_clock(self, now_s: float) -> None:
        """Record that the process runs; after a standstill, calls may wait to be handled."""
        if now_s - self._observed_s > MAX_STANDSTILL_S:
            self._complete_since_s = max(self._complete_since_s, now_s)
        self._observed_s = now_s

    def add(self, job: ids.JobId, submitter: calls.Submitter, now_s: float) -> None:
        """Record a submission."""
        self.observe_clock(now_s)
        added = self._by_job.pop(job, None) or _Submitters(set(), now_s)
        added.submitters.add(submitter)
        added.latest_s = now_s
        self._by_job[job] = added
        while len(self._by_job) > self._max_jobs:
            dropped = self._by_job.pop(next(iter(self._by_job)))
            self._complete_since_s = max(self._complete_since_s, dropped.latest_s)

    def knows_recent(self, now_s: float) -> bool:
        """Return whether all submissions are known whose callers may come back."""
        return now_s - self._complete_since_s >= LOST_PROCESS_DOUBT_S

    def discard(self, job: ids.JobId) -> None:
        """Forget a job, as it is stored."""
        self._by_job.pop(job, None)

    def get_recent(self, job: ids.JobId, now_s: float) -> tuple[calls.Submitter, ...]:
        """Return the entries by whose submissions a job that is not in the table may appear."""
        known = self._by_job.get(job)
        if known is None or now_s - known.latest_s >= MAX_CARRY_OUT_DELAY_S:
            return ()
        return tuple(sorted(known.submitters, key=_get_address))

    def get_others(self, job: ids.JobId, submitter: calls.Submitter) -> tuple[calls.Submitter, ...]:
        """Return the other entries that have submitted a job."""
        known = self._by_job.get(job)
        others = known.submitters - {submitter} if known is not None else set()
        return tuple(sorted(others, key=_get_address))


@dataclasses.dataclass(slots=True)
class _Absence:
    """A time without a holder that says what it knows, in which the lease's row didn't change."""

    began_s: float
    last_noticed_s: float
    lease_version: int


class HolderAbsences:
    """The services whose holder is missing at one entry.

    What a holder that is gone had sent is in doubt for a while after its absence was first noticed,
    or noticed anew, or after the lease changed hands meanwhile.
    """

    def __init__(self) -> None:
        self._by_service: dict[ids.ServiceName, _Absence] = {}

    def notice(self, service: ids.ServiceName, lease_version: int, now_s: float) -> bool:
        """Record that a call found no holder; return whether jobs may be in doubt for that."""
        absence = self._by_service.get(service)
        if (
            absence is None
            or absence.lease_version != lease_version
            or now_s - absence.last_noticed_s >= LOST_PROCESS_DOUBT_S
        ):
            absence = self._by_service[service] = _Absence(now_s, now_s, lease_version)
        absence.last_noticed_s = now_s
        return now_s - absence.began_s < LOST_PROCESS_DOUBT_S

    def end(self, service: ids.ServiceName) -> None:
        """Record that the holder has answered."""
        self._by_service.pop(service, None)


def _get_address(submitter: calls.Submitter) -> str:
    return submitter.address
