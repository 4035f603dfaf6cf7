"""Count, time and trace what the entry does."""

import collections.abc
import contextlib

import aioprometheus
from nutmegshelf import exceptions
from nutmegshelf_http import server
from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import sampling
from opentelemetry.trace.propagation import tracecontext

from nutmegshelf_entry import requests

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Telemetry:
    """Own the metrics registry and the tracer."""

    def __init__(self, trace_fraction: float) -> None:
        self.registry = aioprometheus.Registry()
        self._errors = aioprometheus.Counter(
            "nutmegshelf_errors_total", "Error answers by kind", registry=self.registry
        )
        self._requests = aioprometheus.Counter(
            "nutmegshelf_requests_total", "Requests by service", registry=self.registry
        )
        provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBased(sampling.TraceIdRatioBased(trace_fraction))
        )
        self._tracer = provider.get_tracer("nutmegshelf-entry")

    def count_error(self, service: str, kind: exceptions.ErrorKind) -> None:
        """Count an error answer."""
        self._errors.inc({"service": service, "kind": kind.value})

    @contextlib.contextmanager
    def request_span(
        self, exchange: server.Exchange, request: requests.Request
    ) -> collections.abc.Iterator[str]:
        """Trace one request; give the traceparent for the next hop."""
        self._requests.inc({"service": request.service_name})
        parent = exchange.header(b"traceparent")
        context = _PROPAGATOR.extract({"traceparent": parent.decode("latin-1")}) if parent else None
        with self._tracer.start_as_current_span("request", context=context) as span:
            if span.is_recording():
                span.set_attribute("nutmegshelf.request", request.id)
                span.set_attribute("nutmegshelf.service", request.service_name)
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
            yield carrier.get("traceparent", "")

    def render(self) -> bytes:
        """Give all metrics in the Prometheus text form."""
        content, _ = aioprometheus.render(self.registry, ["text/plain"])
        return bytes(content)
