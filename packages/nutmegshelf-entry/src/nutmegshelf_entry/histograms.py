"""Duration histograms that cost little per request; converted to Prometheus form on scrape."""

import bisect
import collections
import collections.abc
import math

import aioprometheus
from aioprometheus import histogram

BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
LabelValues = tuple[str, ...]


class _Buckets:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0


class Histograms:
    """Histograms of one metric, one for each set of label values."""

    def __init__(self) -> None:
        self._by_labels: collections.defaultdict[LabelValues, _Buckets] = collections.defaultdict(
            _Buckets
        )

    def observe(self, label_values: LabelValues, duration_s: float) -> None:
        """Record one duration under a set of label values."""
        buckets = self._by_labels[label_values]
        buckets.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        buckets.sum_s += duration_s

    def render(
        self,
        name: str,
        doc: str,
        labels: collections.abc.Sequence[str],
        registry: aioprometheus.Registry,
    ) -> None:
        """Add all histograms to a registry under one metric name."""
        bounds = (*BUCKETS_S, math.inf)
        metric = aioprometheus.Histogram(name, doc, registry=registry, buckets=bounds)
        for label_values, buckets in self._by_labels.items():
            converted = histogram.Histogram(*bounds)
            cumulative_count = 0
            for bound, count in zip(bounds, buckets.counts, strict=True):
                cumulative_count += count
                converted.buckets[bound] = cumulative_count
            converted.observations = cumulative_count
            converted.sum = buckets.sum_s
            metric.set_value(dict(zip(labels, label_values, strict=True)), converted)


class StageDurations:
    """Recorder of the stage durations of one pool; drops them until its histograms are set."""

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self.histograms: Histograms | None = None

    def observe(self, stage: str, duration_s: float) -> None:
        """Record the duration of one stage."""
        if self.histograms is not None:
            self.histograms.observe((self._pool, stage), duration_s)
