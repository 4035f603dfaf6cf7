"""Build the error responses that callers get."""

import http
import json
import math

from nutmegshelf import exceptions, ids
from nutmegshelf_http import channel, server


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


def make_fault_response(fault: server.Fault) -> tuple[int, channel.Headers, bytes]:
    """Build the error response to a request that a listener ended in place of its handler."""
    error = _make_fault_error(fault)
    headers, body = make_problem(error, None)
    return error.response.status, headers, body


def make_job_fault_response(fault: server.Fault) -> tuple[int, channel.Headers, bytes]:
    """Build the error response to a request for a job, which an earlier one may have stored."""
    error = _make_fault_error(fault)
    error.mark_sent()
    headers, body = make_problem(error, None)
    return error.response.status, headers, body


def _make_fault_error(fault: server.Fault) -> exceptions.RequestError:
    match fault.kind:
        case server.FaultKind.HANDLER_FAILED:
            kind = exceptions.ErrorKind.INTERNAL
        case server.FaultKind.SLOW_HEAD:
            kind = exceptions.ErrorKind.HEAD_TIMEOUT
        case server.FaultKind.SLOW_BODY:
            kind = exceptions.ErrorKind.BODY_TIMEOUT
        case _:
            is_too_large = fault.status == http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            kind = (
                exceptions.ErrorKind.HEAD_TOO_LARGE
                if is_too_large
                else exceptions.ErrorKind.BAD_REQUEST
            )
    error = exceptions.RequestError(kind, fault.detail)
    if fault.exchange is not None:
        # The handler may have sent the request to a minion before.
        error.mark_sent()
    return error
