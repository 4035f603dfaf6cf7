"""Forecast when the next turn begins and whose it may be, from the turns seen so far.

Load pattern: one queue after another asks several times its mean for some seconds and little in
between. A host takes longer to arrive than a caller waits, so a pool needs its hosts before its
turn begins.
"""

import dataclasses
import statistics

from nutmegshelf import ids

# A turn begins when a pool's work needs so many hosts, or this part of the largest need seen.
_BEGINS_HOSTS = 2.0
_BEGINS_PART = 0.25
_ENDS_PART = 0.5
# A forecast turn that has not begun this long after its time is given up.
_PATIENCE_S = 1.5
_MOST_MISSES = 2
_GAPS_KEPT = 8
# Needs that come this soon after another turn's begin are not turns of their own.
_LEAST_GAP_S = 3.0
# Turns are forecast once so many gaps are known and differ by no more than this part of them.
_LEAST_GAPS = 3
_MOST_SPREAD = 0.4


@dataclasses.dataclass(slots=True)
class _Pool:
    began_s: float | None = None
    is_bursting: bool = False
    peak_hosts: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Say when the next turn begins and which pools may have it."""

    begins_s: float
    pools: tuple[ids.ServiceName, ...]


@dataclasses.dataclass(slots=True)
class BurstForecaster:
    """Own the history of turns."""

    _pools: dict[ids.ServiceName, _Pool] = dataclasses.field(default_factory=dict)
    _gaps_s: list[float] = dataclasses.field(default_factory=list)
    _last_s: float | None = None
    _misses: int = 0
    _missed_s: float = -1.0

    def observe(
        self, pool: ids.ServiceName, need_hosts: float, used_hosts: float, now_s: float
    ) -> None:
        """Take how many hosts a pool's work asks for and uses now."""
        known = self._pools.setdefault(pool, _Pool())
        threshold = max(_BEGINS_HOSTS, _BEGINS_PART * self.max_peak_hosts)
        if not known.is_bursting and need_hosts >= threshold:
            known.is_bursting = True
            self._begin(known, now_s)
        elif known.is_bursting and need_hosts < _ENDS_PART * threshold:
            known.is_bursting = False
        if known.is_bursting:
            known.peak_hosts = max(known.peak_hosts, used_hosts)

    def _begin(self, known: _Pool, now_s: float) -> None:
        known.began_s, known.peak_hosts = now_s, 0.0
        if self._last_s is not None and now_s - self._last_s >= _LEAST_GAP_S:
            self._gaps_s = [*self._gaps_s, now_s - self._last_s][-_GAPS_KEPT:]
            self._misses = 0
        self._last_s = now_s

    @property
    def max_peak_hosts(self) -> float:
        """Give the largest need of any turn."""
        return max((known.peak_hosts for known in self._pools.values()), default=0.0)

    @property
    def median_peak_hosts(self) -> float:
        """Give the usual need of a turn."""
        peaks = [known.peak_hosts for known in self._pools.values() if known.began_s is not None]
        return statistics.median(peaks) if peaks else 0.0

    def is_bursting(self, pool: ids.ServiceName) -> bool:
        """Say whether a pool has its turn."""
        known = self._pools.get(pool)
        return known is not None and known.is_bursting

    def forecast(self, now_s: float) -> Forecast | None:
        """Give the next turn, or none where the history does not tell."""
        begins_s = self._next_s()
        if begins_s is None:
            return None
        if now_s > begins_s + _PATIENCE_S:
            if self._missed_s != begins_s:
                self._missed_s = begins_s
                self._misses += 1
            return None
        pools = self._candidates()
        if not pools or self._misses > _MOST_MISSES:
            return None
        return Forecast(begins_s, pools)

    def _next_s(self) -> float | None:
        if self._last_s is None or len(self._gaps_s) < _LEAST_GAPS:
            return None
        gap_s = statistics.median(self._gaps_s)
        is_regular = max(self._gaps_s) - min(self._gaps_s) <= _MOST_SPREAD * gap_s
        return self._last_s + gap_s if is_regular else None

    def _candidates(self) -> tuple[ids.ServiceName, ...]:
        """Give the pools that had no turn yet, else the one whose turn was longest ago."""
        waiting = {pool: known for pool, known in self._pools.items() if not known.is_bursting}
        unseen = sorted(pool for pool, known in waiting.items() if known.began_s is None)
        if unseen or not waiting:
            return tuple(unseen)
        return (min(waiting, key=lambda pool: (waiting[pool].began_s or 0.0, pool)),)
