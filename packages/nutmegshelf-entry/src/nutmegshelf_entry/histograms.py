"""Count durations in buckets, cheaply for each request."""

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
    """Own one histogram for each set of labels."""

    def __init__(self) -> None:
        self._by_key: collections.defaultdict[LabelValues, _Buckets] = collections.defaultdict(
            _Buckets
        )

    def observe(self, key: LabelValues, duration_s: float) -> None:
        """Count one duration."""
        buckets = self._by_key[key]
        buckets.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        buckets.sum_s += duration_s

    def render(
        self,
        name: str,
        doc: str,
        labels: collections.abc.Sequence[str],
        registry: aioprometheus.Registry,
    ) -> None:
        """Add all to a registry under one name."""
        bounds = (*BUCKETS_S, math.inf)
        shown = aioprometheus.Histogram(name, doc, registry=registry, buckets=bounds)
        for key, buckets in self._by_key.items():
            made = histogram.Histogram(*bounds)
            total = 0
            for bound, count in zip(bounds, buckets.counts, strict=True):
                total += count
                made.buckets[bound] = total
            made.observations = total
            made.sum = buckets.sum_s
            shown.set_value(dict(zip(labels, key, strict=True)), made)


class StageDurations:
    """Own the durations of one service's stages."""

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self.histograms: Histograms | None = None

    def observe(self, stage: str, duration_s: float) -> None:
        """Count how long one pass through a stage took."""
        if self.histograms is not None:
            self.histograms.observe((self._pool, stage), duration_s)
