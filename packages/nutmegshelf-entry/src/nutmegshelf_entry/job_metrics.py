"""Metrics of the job service in the Prometheus text format."""

import collections
import collections.abc

import aioprometheus
from nutmegshelf_http import server

from nutmegshelf_entry import histograms

Gauges = dict[str, dict[str, float]]


class JobMetrics:
    """Counters and histograms of the job service; gauges are read on each scrape."""

    def __init__(self, stages: histograms.Histograms) -> None:
        self._stages = stages
        self._requests: collections.Counter[tuple[str, int]] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._durations = histograms.Histograms()
        self.gauges: collections.abc.Callable[[], Gauges] = dict
        self.events: collections.abc.Callable[[], Gauges] = dict
        # Requests that got no response of their handler, by kind.
        self.faults: collections.abc.Mapping[str, int] = {}

    def count_request(self, method: str, status: int, took_s: float) -> None:
        """Count one answered request and record its duration."""
        self._requests[method, status] += 1
        self._durations.observe((method,), took_s)

    def count_refusal(self, kind: str) -> None:
        """Count one unsuccessful request by the kind of its error."""
        self._refusals[kind] += 1

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = aioprometheus.Registry()
        requests = aioprometheus.Counter(
            "nutmegshelf_job_requests_total", "Callers' requests", registry=registry
        )
        for (method, status), count in self._requests.items():
            requests.set({"method": method, "status": str(status)}, count)
        refusals = aioprometheus.Counter(
            "nutmegshelf_job_refusals_total", "Requests without success by kind", registry=registry
        )
        for kind, count in self._refusals.items():
            refusals.set({"kind": kind}, count)
        faults = aioprometheus.Counter(
            "nutmegshelf_job_unhandled_requests_total",
            "Requests and connections that got no response of their handler, by kind",
            registry=registry,
        )
        for kind, count in self.faults.items():
            faults.set({"kind": kind}, count)
        events = aioprometheus.Counter(
            "nutmegshelf_job_events_total", "Decisions by service", registry=registry
        )
        for pool, counts in self.events().items():
            for event, total in counts.items():
                events.set({"pool": pool, "event": event}, total)
        for name, values in self.gauges().items():
            gauge = aioprometheus.Gauge(f"nutmegshelf_{name}", "Now", registry=registry)
            for label, value in values.items():
                gauge.set({"of": label}, value)
        self._durations.render(
            "nutmegshelf_job_request_seconds", "Time to answer callers", ("method",), registry
        )
        self._stages.render(
            "nutmegshelf_job_stage_seconds", "Time of a stage", ("pool", "stage"), registry
        )
        content, _ = aioprometheus.render(registry, ["text/plain"])
        return bytes(content)

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer a scrape with the current metrics."""
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, headers, self.render())
