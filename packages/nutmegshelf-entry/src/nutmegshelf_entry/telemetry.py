"""Metrics and traces of the requests that the entry serves."""

import asyncio
import collections
import collections.abc
import contextlib
import contextvars
import functools
import random
import typing

import aioprometheus
from nutmegshelf import exceptions
from nutmegshelf_http import server
from opentelemetry import context as trace_context
from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

from nutmegshelf_entry import histograms, logs, requests

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
# The lowest bit of the trace flags, which end the header, means "sampled" (W3C Trace Context).
_SAMPLED_LAST_DIGITS = frozenset(b"%x" % digit for digit in range(1, 16, 2))
_log = logs.get_logger("request")
_trace_log = logs.get_logger("trace")

P = typing.ParamSpec("P")
T = typing.TypeVar("T")
GaugeReader = collections.abc.Callable[[], float]


class _LogExporter(export.SpanExporter):
    """Write each span as one structured log line."""

    def export(self, spans: collections.abc.Sequence[sdk_trace.ReadableSpan]) -> typing.Any:
        for span in spans:
            context, parent = span.get_span_context(), span.parent
            assert context is not None
            _trace_log.info(
                "Ended a span.",
                span=span.name,
                trace=trace.format_trace_id(context.trace_id),
                id=trace.format_span_id(context.span_id),
                parent=trace.format_span_id(parent.span_id) if parent else "",
                duration_ms=((span.end_time or 0) - (span.start_time or 0)) / 1e6,
                **dict(span.attributes or {}),
            )
        return export.SpanExportResult.SUCCESS


EXPORTERS: dict[str, collections.abc.Callable[[], export.SpanExporter | None]] = {
    "none": lambda: None,
    "log": _LogExporter,
}


class RequestTrace:
    """Hop timings, spans and attempt count of one request."""

    def __init__(self, owner: "Telemetry", service: str, tracer: trace.Tracer | None) -> None:
        self.attempts = 0
        self._telemetry = owner
        self._service = service
        self._tracer = tracer

    @contextlib.contextmanager
    def measure_hop(self, name: str) -> collections.abc.Iterator[None]:
        """Time one hop, and record a span for it where the request is sampled."""
        key = (self._service, name)
        running, now = self._telemetry.running_hops, self._telemetry.now
        running[key] += 1
        started_s = now()
        try:
            if self._tracer is None:
                yield
            else:
                with self._tracer.start_as_current_span(name):
                    yield
        finally:
            running[key] -= 1
            self._telemetry.hop_durations.observe(key, now() - started_s)


_CURRENT: contextvars.ContextVar[RequestTrace | None] = contextvars.ContextVar(
    "request", default=None
)


def measured_hop(
    name: str,
) -> collections.abc.Callable[
    [collections.abc.Callable[P, collections.abc.Awaitable[T]]],
    collections.abc.Callable[P, collections.abc.Coroutine[typing.Any, typing.Any, T]],
]:
    """Decorate an async method to time and trace it as one hop of the current request."""

    def decorate(
        method: collections.abc.Callable[P, collections.abc.Awaitable[T]],
    ) -> collections.abc.Callable[P, collections.abc.Coroutine[typing.Any, typing.Any, T]]:
        @functools.wraps(method)
        async def measured(*args: P.args, **kwargs: P.kwargs) -> T:
            current = _CURRENT.get()
            if current is None:
                return await method(*args, **kwargs)
            if name == MINION_HOP:
                current.attempts += 1
            with current.measure_hop(name):
                return await method(*args, **kwargs)

        return measured

    return decorate


SLOT_HOP = "slot"
CLAIM_HOP = "claim"
MINION_HOP = "minion"


def get_traceparent() -> str:
    """Return the traceparent header of the current hop, empty where the request is not sampled."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")


class Telemetry:
    """Metrics and tracer of one entry."""

    def __init__(
        self, trace_fraction: float, exporter: str = "none", rng: random.Random | None = None
    ) -> None:
        self.running_hops: collections.Counter[tuple[str, str]] = collections.Counter()
        self.hop_durations = histograms.Histograms()
        self.request_durations = histograms.Histograms()
        self.now = asyncio.get_running_loop().time
        self._requests: collections.Counter[str] = collections.Counter()
        self._retries: collections.Counter[str] = collections.Counter()
        self._errors: collections.Counter[tuple[str, str]] = collections.Counter()
        self._faults = collections.Counter({kind: 0 for kind in server.FaultKind})
        self._gauges: dict[str, tuple[str, GaugeReader]] = {}
        self._trace_fraction = trace_fraction
        self._rng = rng or random.Random()
        provider = sdk_trace.TracerProvider()
        span_exporter = EXPORTERS[exporter]()
        if span_exporter is not None:
            provider.add_span_processor(export.SimpleSpanProcessor(span_exporter))
        self._tracer = provider.get_tracer("nutmegshelf-entry")

    def add_gauge(self, name: str, doc: str, read: GaugeReader) -> None:
        """Register a gauge whose value is read on each scrape."""
        self._gauges[f"nutmegshelf_{name}"] = (doc, read)

    def count_error(self, service: str, kind: exceptions.ErrorKind) -> None:
        """Count an error response by service and kind."""
        self._errors[service, kind.value] += 1

    def count_fault(self, fault: server.Fault) -> None:
        """Count a request or connection that got no response of its handler."""
        self._faults[fault.kind] += 1

    @contextlib.contextmanager
    def trace_request(
        self, exchange: server.Exchange, request: requests.Request
    ) -> collections.abc.Iterator[str]:
        """Count, time and trace one request; yield the traceparent for the next hop."""
        service = str(request.service_name)
        self._requests[service] += 1
        caller_header = exchange.get_header(b"traceparent")
        sampled = self._is_sampled(caller_header)
        current = RequestTrace(self, service, self._tracer if sampled else None)
        token = _CURRENT.set(current)
        started_s = self.now()
        outcome = "whole"
        try:
            with self._root_span(caller_header, request) if sampled else contextlib.nullcontext():
                yield get_traceparent() if sampled else (caller_header or b"").decode("latin-1")
        except exceptions.RequestError as error:
            outcome = error.outcome.value
            raise
        except BaseException:
            outcome = exceptions.Outcome.UNKNOWN.value
            raise
        finally:
            _CURRENT.reset(token)
            took_s = self.now() - started_s
            self._retries[service] += max(0, current.attempts - 1)
            self.request_durations.observe((service, outcome), took_s)
            _log.debug(
                "Ended a request.",
                request=request.id,
                service=service,
                outcome=outcome,
                attempts=current.attempts,
                duration_ms=took_s * 1000,
            )

    def _is_sampled(self, caller_header: bytes | None) -> bool:
        # A caller that sends a traceparent decides for all hops. No spans are created for requests
        # that are not sampled, so those cost nothing.
        if caller_header is not None:
            return caller_header[-1:] in _SAMPLED_LAST_DIGITS
        return self._rng.random() < self._trace_fraction

    @contextlib.contextmanager
    def _root_span(
        self, caller_header: bytes | None, request: requests.Request
    ) -> collections.abc.Iterator[None]:
        parent = trace_context.Context()
        if caller_header is not None:
            parent = _PROPAGATOR.extract({"traceparent": caller_header.decode("latin-1")}, parent)
        attributes = {
            "nutmegshelf.request": request.id,
            "nutmegshelf.service": request.service_name,
        }
        with self._tracer.start_as_current_span("request", parent, attributes=attributes):
            yield

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = aioprometheus.Registry()
        self._render_counters(registry)
        for name, (doc, read) in self._gauges.items():
            aioprometheus.Gauge(name, doc, registry=registry).set({}, read())
        running = aioprometheus.Gauge(
            "nutmegshelf_hop_running", "Requests inside a hop", registry=registry
        )
        for (service, name), count in self.running_hops.items():
            running.set({"service": service, "hop": name}, count)
        self.request_durations.render(
            "nutmegshelf_request_duration_seconds",
            "Time from head to end by outcome",
            ("service", "outcome"),
            registry,
        )
        self.hop_durations.render(
            "nutmegshelf_hop_duration_seconds", "Time of a hop", ("service", "hop"), registry
        )
        content, _ = aioprometheus.render(registry, ["text/plain"])
        return bytes(content)

    def _render_counters(self, registry: aioprometheus.Registry) -> None:
        requests_total = aioprometheus.Counter(
            "nutmegshelf_requests_total", "Requests by service", registry=registry
        )
        retries = aioprometheus.Counter(
            "nutmegshelf_retries_total", "Attempts after the first", registry=registry
        )
        errors = aioprometheus.Counter(
            "nutmegshelf_errors_total", "Error answers by kind", registry=registry
        )
        faults = aioprometheus.Counter(
            "nutmegshelf_handler_faults_total", "Unexpected exceptions", registry=registry
        )
        unhandled = aioprometheus.Counter(
            "nutmegshelf_unhandled_requests_total",
            "Requests and connections that got no response of their handler, by kind",
            registry=registry,
        )
        for service, count in self._requests.items():
            requests_total.set({"service": service}, count)
            retries.set({"service": service}, self._retries[service])
        for (service, kind), count in self._errors.items():
            errors.set({"service": service, "kind": kind}, count)
        faults.set({}, self._faults[server.FaultKind.HANDLER_FAILED])
        for fault_kind, count in self._faults.items():
            unhandled.set({"kind": fault_kind.value}, count)
