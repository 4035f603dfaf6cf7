"""Define the exceptions and the error kinds, with the response that callers get for each kind."""

import collections.abc
import dataclasses
import enum
import logging

from nutmegshelf import faults


class Outcome(enum.Enum):
    """Whether a request without an answer from a minion may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """The complete list of the errors that end a request."""

    BAD_REQUEST = "bad-request"
    AMBIGUOUS_LENGTH = "ambiguous-length"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TIMEOUT = "head-timeout"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TIMEOUT = "body-timeout"
    UNKNOWN_SERVICE = "unknown-service"
    METHOD_NOT_SERVED = "method-not-served"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    KEY_RUNNING = "key-running"
    KEY_UNSETTLED = "key-unsettled"
    CALLER_GONE = "caller-gone"
    NOT_READY = "not-ready"
    SHUTTING_DOWN = "shutting-down"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    NO_MINION = "no-minion"
    MINION_REFUSED = "minion-refused"
    MINION_CUT = "minion-cut"
    MINION_TIMEOUT = "minion-timeout"
    MINION_BAD_ANSWER = "minion-bad-answer"
    TABLE_UNAVAILABLE = "table-unavailable"
    CONFIGURATION_STALE = "configuration-stale"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    JOB_UNSETTLED = "job-unsettled"
    JOB_UNREADABLE = "job-unreadable"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to one kind of error.

    The outcome is that of a request of which no byte was sent to a minion.
    """

    status: int
    outcome: Outcome
    title: str
    retry_after_s: int | None = None
    log_level: int = logging.INFO


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Outcome.NOT_RUN, "The request can't be read."),
    ErrorKind.AMBIGUOUS_LENGTH: ErrorResponse(
        400, Outcome.NOT_RUN, "The request has both Content-Length and Transfer-Encoding."
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        431, Outcome.NOT_RUN, "The request's head is too large."
    ),
    ErrorKind.HEAD_TIMEOUT: ErrorResponse(
        408, Outcome.NOT_RUN, "The request's head came too slowly."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, Outcome.NOT_RUN, "The request's body is too large."
    ),
    ErrorKind.BODY_TIMEOUT: ErrorResponse(
        408, Outcome.NOT_RUN, "The request's body came too slowly."
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Outcome.NOT_RUN, "No service has this name."),
    ErrorKind.METHOD_NOT_SERVED: ErrorResponse(405, Outcome.NOT_RUN, "This method is not served."),
    ErrorKind.KEY_REQUIRED: ErrorResponse(
        400, Outcome.NOT_RUN, "This path needs an Idempotency-Key."
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, Outcome.NOT_RUN, "The Idempotency-Key was used with another request."
    ),
    ErrorKind.KEY_RUNNING: ErrorResponse(
        409, Outcome.UNKNOWN, "A request with this key is still running.", retry_after_s=1
    ),
    ErrorKind.KEY_UNSETTLED: ErrorResponse(
        409, Outcome.UNKNOWN, "A request with this key may have run; its answer is lost."
    ),
    ErrorKind.CALLER_GONE: ErrorResponse(499, Outcome.NOT_RUN, "The caller went away.", None, 10),
    ErrorKind.NOT_READY: ErrorResponse(503, Outcome.NOT_RUN, "The entry is not ready.", 1),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, Outcome.NOT_RUN, "The entry is shutting down.", 1),
    ErrorKind.OVERLOADED: ErrorResponse(503, Outcome.NOT_RUN, "The service's queue is full.", 2),
    ErrorKind.DEADLINE_TOO_SHORT: ErrorResponse(
        503, Outcome.NOT_RUN, "The request can't start before its deadline.", 2
    ),
    ErrorKind.NO_MINION: ErrorResponse(503, Outcome.NOT_RUN, "No minion is available.", 2),
    ErrorKind.MINION_REFUSED: ErrorResponse(
        502, Outcome.NOT_RUN, "No minion took the request.", 1, logging.WARNING
    ),
    ErrorKind.MINION_CUT: ErrorResponse(
        502,
        Outcome.UNKNOWN,
        "The minion ended before its answer.",
        None,
        logging.WARNING,
    ),
    ErrorKind.MINION_TIMEOUT: ErrorResponse(
        504, Outcome.UNKNOWN, "The minion did not answer in time.", None, logging.WARNING
    ),
    ErrorKind.MINION_BAD_ANSWER: ErrorResponse(
        502, Outcome.UNKNOWN, "The minion's answer can't be read.", None, logging.WARNING
    ),
    ErrorKind.TABLE_UNAVAILABLE: ErrorResponse(
        503, Outcome.NOT_RUN, "The table is unavailable.", 5, logging.WARNING
    ),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(
        503, Outcome.NOT_RUN, "The entry can't confirm its configuration.", 5, logging.WARNING
    ),
    ErrorKind.UNKNOWN_QUEUE: ErrorResponse(404, Outcome.NOT_RUN, "No queue takes this path."),
    ErrorKind.UNKNOWN_JOB: ErrorResponse(410, Outcome.NOT_RUN, "No job has this id."),
    ErrorKind.JOB_UNSETTLED: ErrorResponse(
        504, Outcome.UNKNOWN, "The job may have been accepted.", None, logging.WARNING
    ),
    ErrorKind.JOB_UNREADABLE: ErrorResponse(
        503, Outcome.UNKNOWN, "The job's state can't be read now.", 1, logging.WARNING
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, Outcome.NOT_RUN, "Internal error.", None, logging.ERROR),
}


class NutmegshelfError(Exception):
    """The base class of the errors that nutmegshelf raises."""


class RequestError(NutmegshelfError):
    """An error that ends a request with the response for its kind."""

    def __init__(
        self, kind: ErrorKind, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail or ERROR_RESPONSES[kind].title)
        self.kind = kind
        self.detail = detail
        self.may_have_run = False
        # Whether earlier requests for the same job are taken into account.
        self.is_qualified = False
        self.retry_after_s = (
            retry_after_s if retry_after_s is not None else ERROR_RESPONSES[kind].retry_after_s
        )

    @property
    def response(self) -> ErrorResponse:
        """Return the response for the kind of this error."""
        return ERROR_RESPONSES[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return whether the request may have run."""
        return Outcome.UNKNOWN if self.may_have_run else self.response.outcome

    def mark_sent(self) -> None:
        """Record that a part of the request was sent to a minion, so that it may have run."""
        self.may_have_run = True
        self.retry_after_s = None


class TableError(NutmegshelfError):
    """The platform's table gave no usable answer."""


class TableUnavailable(TableError):
    """The call certainly had no effect."""


class TableRefused(TableUnavailable):
    """The table refused the call, and will refuse it again; it had no effect."""


class TableAnswerLost(TableError):
    """The call may have had an effect."""


class WorkerError(NutmegshelfError):
    """A worker gave no usable answer to a call."""


class OrderNotDone(WorkerError):
    """The worker certainly did not execute the order."""


class WorkerAbsent(OrderNotDone):
    """Nobody listens at the worker's address."""


class OrderAnswerLost(WorkerError):
    """The worker may have executed the order, or may execute it later."""


class WrongWorker(WorkerError):
    """Another worker than the expected one answered at the address."""


class Fenced(WorkerError):
    """The worker has seen an order of a later epoch and rejects this one."""


class HostsError(NutmegshelfError):
    """The platform's host service gave no usable answer."""


class HostsUnavailable(HostsError):
    """The call certainly had no effect."""


class HostsAnswerLost(HostsError):
    """The call may have had an effect."""


class AdviceError(NutmegshelfError):
    """The policy service gave no usable answer."""


class PeerError(NutmegshelfError):
    """Another entry gave no usable answer."""


class PeerUnreachable(PeerError):
    """The call to the entry certainly had no effect."""


class PeerAnswerLost(PeerError):
    """The call to the entry may have had an effect."""


class DeclarationError(NutmegshelfError):
    """A declaration or a settings file is invalid."""

    errors: tuple[faults.Fault, ...] = ()

    @classmethod
    def from_faults(cls, errors: collections.abc.Iterable[faults.Fault]) -> "DeclarationError":
        """Return an error whose message has one line for each fault."""
        error = cls("\n".join(str(fault) for fault in errors))
        error.errors = tuple(errors)
        return error
