"""Forecast when the next burst begins and in which pool, from the bursts seen so far.

Load pattern: one queue after another has several times its mean load for some seconds and little in
between. A host takes longer to arrive than a caller waits, so a pool needs its hosts before its
burst begins.
"""

import dataclasses
import statistics

from nutmegshelf import ids

# A burst begins when a pool needs this many hosts, or this fraction of the largest peak seen, and
# ends at the other fraction of that threshold.
_BEGIN_HOSTS = 2.0
_BEGIN_FRACTION = 0.25
_END_FRACTION = 0.5
# A forecast burst that has not begun this long after its time counts as missed.
_MAX_LATE_S = 1.5
_MAX_MISSES = 2
_MAX_GAPS = 8
# A gap shorter than this does not count as one between bursts.
_MIN_GAP_S = 3.0
# Bursts are forecast once this many gaps are known and vary by at most this fraction of the median.
_MIN_GAPS = 3
_MAX_VARIATION = 0.4


@dataclasses.dataclass(slots=True)
class _PoolHistory:
    began_s: float | None = None
    is_bursting: bool = False
    peak_hosts: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When the next burst begins and which pools may have it."""

    begins_s: float
    pools: tuple[ids.ServiceName, ...]


@dataclasses.dataclass(slots=True)
class BurstForecaster:
    """A forecaster of bursts, based on the intervals between past ones."""

    _pools: dict[ids.ServiceName, _PoolHistory] = dataclasses.field(default_factory=dict)
    _gaps_s: list[float] = dataclasses.field(default_factory=list)
    _last_begin_s: float | None = None
    _misses: int = 0
    _missed_s: float = -1.0

    def observe(
        self, pool: ids.ServiceName, need_hosts: float, used_hosts: float, now_s: float
    ) -> None:
        """Record how many hosts a pool's work requests and uses now."""
        history = self._pools.setdefault(pool, _PoolHistory())
        threshold = max(_BEGIN_HOSTS, _BEGIN_FRACTION * self.max_peak_hosts)
        if not history.is_bursting and need_hosts >= threshold:
            history.is_bursting = True
            self._begin(history, now_s)
        elif history.is_bursting and need_hosts < _END_FRACTION * threshold:
            history.is_bursting = False
        if history.is_bursting:
            history.peak_hosts = max(history.peak_hosts, used_hosts)

    def _begin(self, history: _PoolHistory, now_s: float) -> None:
        history.began_s, history.peak_hosts = now_s, 0.0
        if self._last_begin_s is not None and now_s - self._last_begin_s >= _MIN_GAP_S:
            self._gaps_s = [*self._gaps_s, now_s - self._last_begin_s][-_MAX_GAPS:]
            self._misses = 0
        self._last_begin_s = now_s

    @property
    def max_peak_hosts(self) -> float:
        """Return the largest number of hosts used in any pool's last burst."""
        return max((history.peak_hosts for history in self._pools.values()), default=0.0)

    @property
    def median_peak_hosts(self) -> float:
        """Return the median over the pools of the hosts used in the last burst."""
        peaks = [
            history.peak_hosts for history in self._pools.values() if history.began_s is not None
        ]
        return statistics.median(peaks) if peaks else 0.0

    def is_bursting(self, pool: ids.ServiceName) -> bool:
        """Return whether a pool has a burst now."""
        history = self._pools.get(pool)
        return history is not None and history.is_bursting

    def forecast(self, now_s: float) -> Forecast | None:
        """Return the next burst, or None if the history allows no forecast."""
        begins_s = self._get_next_s()
        if begins_s is None:
            return None
        if now_s > begins_s + _MAX_LATE_S:
            if self._missed_s != begins_s:
                self._missed_s = begins_s
                self._misses += 1
            return None
        pools = self._find_candidates()
        if not pools or self._misses > _MAX_MISSES:
            return None
        return Forecast(begins_s, pools)

    def _get_next_s(self) -> float | None:
        if self._last_begin_s is None or len(self._gaps_s) < _MIN_GAPS:
            return None
        gap_s = statistics.median(self._gaps_s)
        is_regular = max(self._gaps_s) - min(self._gaps_s) <= _MAX_VARIATION * gap_s
        return self._last_begin_s + gap_s if is_regular else None

    def _find_candidates(self) -> tuple[ids.ServiceName, ...]:
        """Return the pools without a burst so far, else the one whose burst was longest ago."""
        not_bursting = {
            pool: history for pool, history in self._pools.items() if not history.is_bursting
        }
        without_burst = sorted(
            pool for pool, history in not_bursting.items() if history.began_s is None
        )
        if without_burst or not not_bursting:
            return tuple(without_burst)
        return (min(not_bursting, key=lambda pool: (not_bursting[pool].began_s or 0.0, pool)),)
