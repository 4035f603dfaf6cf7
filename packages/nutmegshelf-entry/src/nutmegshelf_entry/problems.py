"""Turn errors into the answers that callers get."""

import json
import math

from nutmegshelf import exceptions, ids
from nutmegshelf_http import channel


def make_problem(
    error: exceptions.RequestError, request: ids.RequestId | None
) -> tuple[channel.Headers, bytes]:
    """Make the headers and the problem body (RFC 9457) of an error answer."""
    answer = error.response
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"nutmegshelf-outcome", error.outcome.value.encode()),
        (b"nutmegshelf-error", error.kind.value.encode()),
    ]
    if request:
        headers.append((b"nutmegshelf-request", request.encode()))
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(math.ceil(error.retry_after_s)).encode()))
    fields = {
        "type": f"urn:nutmegshelf:error:{error.kind.value}",
        "title": answer.title,
        "status": answer.status,
        "detail": error.detail,
        "outcome": error.outcome.value,
        "request": request,
    }
    return headers, json.dumps(fields).encode()


def make_head_error(status: int, detail: str) -> tuple[int, channel.Headers, bytes]:
    """Answer a head that can't be read, in the form of every other error answer."""
    kinds = {
        431: exceptions.ErrorKind.HEAD_TOO_LARGE,
        408: exceptions.ErrorKind.HEAD_TIMEOUT,
        500: exceptions.ErrorKind.INTERNAL,
        503: exceptions.ErrorKind.OVERLOADED,
    }
    error = exceptions.RequestError(kinds.get(status, exceptions.ErrorKind.BAD_REQUEST), detail)
    if error.kind is exceptions.ErrorKind.INTERNAL:
        # Nothing is known here of how far the request had come.
        error.mark_sent()
    headers, body = make_problem(error, None)
    return error.response.status, headers, body
