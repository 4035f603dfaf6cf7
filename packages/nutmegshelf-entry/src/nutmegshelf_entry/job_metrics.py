"""Count and time what the job service does, and show it as text."""

import collections

import aioprometheus
from nutmegshelf_http import server

from nutmegshelf_entry import histograms


class JobMetrics:
    """Own the counters and histograms of the job service."""

    def __init__(self) -> None:
        self._requests: collections.Counter[tuple[str, int]] = collections.Counter()
        self._times = histograms.Histograms()

    def count_request(self, method: str, status: int, took_s: float) -> None:
        """Count one answered request."""
        self._requests[method, status] += 1
        self._times.observe((method,), took_s)

    async def handle(self, exchange: server.Exchange) -> None:
        """Answer a scrape."""
        registry = aioprometheus.Registry()
        counter = aioprometheus.Counter("requests", "Callers' requests", registry=registry)
        for (method, status), count in self._requests.items():
            counter.set({"method": method, "status": str(status)}, count)
        self._times.render("request_seconds", "Time of requests", ("method",), registry)
        content, _ = aioprometheus.render(registry, ["text/plain"])
        await exchange.respond(200, [(b"content-type", b"text/plain; version=0.0.4")], content)
