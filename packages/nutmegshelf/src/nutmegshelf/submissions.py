"""Decide what became of a submitted job; it is unknown unless there is proof.

A time limit, a cancellation or the absence of a record proves nothing. Proof is an answer of the
table, or that the job was in no transaction and will never be in one.
"""

import enum

from nutmegshelf import jobs


class Outcome(enum.Enum):
    """What is known of a submitted job."""

    STORED = "stored"
    # The job is not stored and never will be by this submission.
    NOT_STORED = "not-stored"
    UNKNOWN = "unknown"


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

    def confirm_stored(self) -> None:
        """Record that the table has the job."""
        self._is_stored = True

    def close(self) -> None:
        """Record that no further attempt begins."""
        self._is_closed = True
