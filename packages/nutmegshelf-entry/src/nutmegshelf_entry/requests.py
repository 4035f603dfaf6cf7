"""Parse and validate the heads of callers' requests."""

import dataclasses
import uuid

from nutmegshelf import configuration, declarations, exceptions, ids
from nutmegshelf_http import channel, server

_HOP_BY_HOP_HEADERS = frozenset(
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
_REPLACED_HEADERS = _HOP_BY_HOP_HEADERS | {
    b"request-timeout-ms",
    b"nutmegshelf-request",
    b"traceparent",
}
_SUPPORTED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_MAX_KEY_CHARS = 255
_MAX_TIMEOUT_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A validated request with the path rule that applies to it."""

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
        """Return whether the request must claim its key before it is sent."""
        return self.key is not None and not self.idempotent


def parse(exchange: server.Exchange, active: configuration.Configuration, now_s: float) -> Request:
    """Parse a request's head; raises RequestError with a 4xx kind."""
    method = exchange.method
    if method not in _SUPPORTED_METHODS:
        raise exceptions.RequestError(exceptions.ErrorKind.METHOD_NOT_SERVED, method)
    body_bytes, has_body = _parse_framing(exchange)
    name, service, target = _match_service(exchange, active.declarations)
    rule = declarations.find_rule(service, method, target.partition("?")[0])
    if body_bytes is not None and body_bytes > rule.max_body_bytes:
        raise exceptions.RequestError(
            exceptions.ErrorKind.BODY_TOO_LARGE, f"the limit is {rule.max_body_bytes} bytes"
        )
    key = _parse_key(exchange)
    if key is None and rule.key_required:
        raise exceptions.RequestError(exceptions.ErrorKind.KEY_REQUIRED)
    timeout_ms = _parse_timeout_ms(exchange, rule.timeout_ms or service.timeout_ms)
    return Request(
        id=ids.RequestId(uuid.uuid4().hex),
        service_name=name,
        service=service,
        rule=rule,
        version=active.head.version,
        method=method,
        target=target,
        headers=strip_hop_headers(exchange.request.headers.raw_items(), _REPLACED_HEADERS),
        idempotent=declarations.is_idempotent(rule, method),
        key=key,
        has_body=has_body,
        body_bytes=body_bytes,
        deadline_s=now_s + timeout_ms / 1000,
    )


def strip_hop_headers(
    headers: channel.Headers, dropped: frozenset[bytes] = _HOP_BY_HOP_HEADERS
) -> channel.Headers:
    """Return the headers without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    for name, value in headers:
        if name.lower() == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _parse_framing(exchange: server.Exchange) -> tuple[int | None, bool]:
    content_length = exchange.get_header(b"content-length")
    is_chunked = exchange.get_header(b"transfer-encoding") is not None
    if content_length is not None and is_chunked:
        raise exceptions.RequestError(exceptions.ErrorKind.AMBIGUOUS_LENGTH)
    body_bytes = int(content_length) if content_length is not None else None
    return body_bytes, is_chunked or bool(body_bytes)


def _match_service(
    exchange: server.Exchange, declaration_set: declarations.DeclarationSet
) -> tuple[ids.ServiceName, declarations.Service, str]:
    host = (exchange.get_header(b"host") or b"").decode("latin-1").partition(":")[0].lower()
    for name, service in declaration_set.services.items():
        if host in service.hosts:
            return name, service, exchange.target
    first_segment, _, remaining_path = exchange.target.removeprefix("/").partition("/")
    first_segment, separator, query = first_segment.partition("?")
    service_by_path = declaration_set.services.get(ids.ServiceName(first_segment))
    if service_by_path is None:
        raise exceptions.RequestError(exceptions.ErrorKind.UNKNOWN_SERVICE, first_segment[:80])
    return (
        ids.ServiceName(first_segment),
        service_by_path,
        f"/{remaining_path}{separator}{query}" if separator else f"/{remaining_path}",
    )


def _parse_key(exchange: server.Exchange) -> str | None:
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


def _parse_timeout_ms(exchange: server.Exchange, default_ms: int) -> int:
    value = exchange.get_header(b"request-timeout-ms")
    if value is None:
        return default_ms
    if not value.isdigit() or not 0 < int(value) <= _MAX_TIMEOUT_MS:
        raise exceptions.RequestError(
            exceptions.ErrorKind.BAD_REQUEST,
            f"Request-Timeout-Ms must be a whole number from 1 to {_MAX_TIMEOUT_MS}",
        )
    return int(value)
