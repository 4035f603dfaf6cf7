"""Build the error responses that callers get."""

import json
import math

from nutmegshelf import exceptions, ids
from nutmegshelf_http import channel


def make_problem(
    error: exceptions.RequestError, request_id: ids.RequestId | None
) -> tuple[channel.Headers, bytes]:
    """Build the headers and the problem details (RFC 9457) of an error response."""
    response = error.response
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"nutmegshelf-outcome", error.outcome.value.encode()),
        (b"nutmegshelf-error", error.kind.value.encode()),
    ]
    if request_id:
        headers.append((b"nutmegshelf-request", request_id.encode()))
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(math.ceil(error.retry_after_s)).encode()))
    fields = {
        "type": f"urn:nutmegshelf:error:{error.kind.value}",
        "title": response.title,
        "status": response.status,
        "detail": error.detail,
        "outcome": error.outcome.value,
        "request": request_id,
    }
    return headers, json.dumps(fields).encode()


def make_head_error(status: int, detail: str) -> tuple[int, channel.Headers, bytes]:
    """Build the error response to a request whose head can't be parsed."""
    kinds = {
        431: exceptions.ErrorKind.HEAD_TOO_LARGE,
        408: exceptions.ErrorKind.HEAD_TIMEOUT,
        500: exceptions.ErrorKind.INTERNAL,
        503: exceptions.ErrorKind.OVERLOADED,
    }
    error = exceptions.RequestError(kinds.get(status, exceptions.ErrorKind.BAD_REQUEST), detail)
    if error.kind is exceptions.ErrorKind.INTERNAL:
        # The request may have been sent to a minion before the failure.
        error.mark_sent()
    headers, body = make_problem(error, None)
    return error.response.status, headers, body
