"""Read what a caller asks from the head of its request."""

import dataclasses
import uuid

from nutmegshelf import configuration, declarations, exceptions, ids
from nutmegshelf_http import channel, server

_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    }
)
_CALLER_DROPPED = _HOP_HEADERS | {b"request-timeout-ms", b"nutmegshelf-request", b"traceparent"}
_SERVED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_MAX_KEY_CHARS = 255
_MAX_TIMEOUT_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Hold one checked request."""

    id: ids.RequestId
    service_name: ids.ServiceName
    service: declarations.Service
    rule: declarations.PathRule
    version: ids.Version
    method: str
    target: str
    headers: channel.Headers
    idempotent: bool
    key: str | None
    has_body: bool
    body_bytes: int | None
    deadline_s: float

    @property
    def needs_claim(self) -> bool:
        """Say whether the request must claim its key before it is sent."""
        return self.key is not None and not self.idempotent


def parse(
    exchange: server.Exchange, accepted: configuration.Configuration, now_s: float
) -> Request:
    """Check a request's head; raises RequestError with a 4xx kind."""
    method = exchange.method
    if method not in _SERVED_METHODS:
        raise exceptions.RequestError(exceptions.ErrorKind.METHOD_NOT_SERVED, method)
    body_bytes, has_body = _framing(exchange)
    name, service, target = _service(exchange, accepted.declarations)
    rule = declarations.find_rule(service, method, target.partition("?")[0])
    if body_bytes is not None and body_bytes > rule.max_body_bytes:
        raise exceptions.RequestError(
            exceptions.ErrorKind.BODY_TOO_LARGE, f"the limit is {rule.max_body_bytes} bytes"
        )
    key = _key(exchange)
    if key is None and rule.key_required:
        raise exceptions.RequestError(exceptions.ErrorKind.KEY_REQUIRED)
    timeout_ms = _timeout_ms(exchange, rule.timeout_ms or service.timeout_ms)
    return Request(
        id=ids.RequestId(uuid.uuid4().hex),
        service_name=name,
        service=service,
        rule=rule,
        version=accepted.head.version,
        method=method,
        target=target,
        headers=strip_hop_headers(exchange.request.headers.raw_items(), _CALLER_DROPPED),
        idempotent=declarations.is_idempotent(rule, method),
        key=key,
        has_body=has_body,
        body_bytes=body_bytes,
        deadline_s=now_s + timeout_ms / 1000,
    )


def strip_hop_headers(
    headers: channel.Headers, dropped: frozenset[bytes] = _HOP_HEADERS
) -> channel.Headers:
    """Leave out the headers that are for one hop only (RFC 9110, section 7.6.1)."""
    for name, value in headers:
        if name.lower() == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _framing(exchange: server.Exchange) -> tuple[int | None, bool]:
    length = exchange.get_header(b"content-length")
    chunked = exchange.get_header(b"transfer-encoding") is not None
    if length is not None and chunked:
        raise exceptions.RequestError(exceptions.ErrorKind.AMBIGUOUS_LENGTH)
    body_bytes = int(length) if length is not None else None
    return body_bytes, chunked or bool(body_bytes)


def _service(
    exchange: server.Exchange, declared: declarations.DeclarationSet
) -> tuple[ids.ServiceName, declarations.Service, str]:
    host = (exchange.get_header(b"host") or b"").decode("latin-1").partition(":")[0].lower()
    for name, service in declared.services.items():
        if host in service.hosts:
            return name, service, exchange.target
    first, _, rest = exchange.target.removeprefix("/").partition("/")
    first, question, query = first.partition("?")
    found = declared.services.get(ids.ServiceName(first))
    if found is None:
        raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_SERVICE, first[:80])
    return ids.ServiceName(first), found, f"/{rest}{question}{query}" if question else f"/{rest}"


def _key(exchange: server.Exchange) -> str | None:
    value = exchange.get_header(b"idempotency-key")
    if value is None:
        return None
    key = value.decode("latin-1").strip()
    if not key or len(key) > _MAX_KEY_CHARS:
        raise exceptions.RequestError(
            exceptions.ErrorKind.BAD_REQUEST,
            f"Idempotency-Key must have 1 to {_MAX_KEY_CHARS} characters",
        )
    return key


def _timeout_ms(exchange: server.Exchange, default_ms: int) -> int:
    value = exchange.get_header(b"request-timeout-ms")
    if value is None:
        return default_ms
    if not value.isdigit() or not 0 < int(value) <= _MAX_TIMEOUT_MS:
        raise exceptions.RequestError(
            exceptions.ErrorKind.BAD_REQUEST,
            f"Request-Timeout-Ms must be a whole number from 1 to {_MAX_TIMEOUT_MS}",
        )
    return int(value)
