"""Choose minions for the requests of one service, and eject failing and slow ones."""

import collections.abc
import dataclasses
import enum
import random
import statistics
import typing

from nutmegshelf import ids, platform

# The local zone is preferred until its load exceeds that of the others by this fraction of slots.
_ZONE_MARGIN = 0.5
_MAX_EJECTED_FRACTION = 0.34
_MAX_CONSECUTIVE_FAILURES = 3
_ERROR_WEIGHT = 0.1
_MAX_ERROR_RATE = 0.5
_LATENCY_WEIGHT = 0.1
_SLOW_FACTOR = 3.0
_MIN_SLOW_EXCESS_S = 0.05
_MIN_SAMPLES = 20
_MAX_EXACT_MEDIAN_MINIONS = 12
_EJECTION_DECAY_SAMPLES = 100
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 60.0
_NON_IDEMPOTENT_PROBE_DELAY_S = 30.0
_MAX_SAMPLE_FACTOR = 10.0


class EjectionState(enum.Enum):
    """Whether a minion gets requests, none, or a single one as a probe."""

    OPEN = "open"
    EJECTED = "apart"
    PROBING = "probed"


@dataclasses.dataclass(slots=True)
class Target:
    """The slots, load and recent results of one minion at this entry."""

    record: platform.MinionRecord
    share: int = 0
    borrowed: int = 0
    lent: int = 0
    connection_limit: int = 0
    in_flight: int = 0
    is_leaving: bool = False
    ejection_state: EjectionState = EjectionState.OPEN
    ejected_until_s: float = 0.0
    ejection_s: float = 0.0
    consecutive_failures: int = 0
    error_rate: float = 0.0
    latency_s: float = 0.0
    samples: int = 0

    @property
    def slots(self) -> int:
        """Return how many slots this entry may fill, with those of loans."""
        return min(self.share + self.borrowed - self.lent, self.connection_limit)

    @property
    def load(self) -> float:
        """Return the fraction of slots in use with one more request."""
        return (self.in_flight + 1) / max(self.slots, 1)

    @property
    def has_free_slot(self) -> bool:
        """Return whether a new request may start here."""
        return (
            not self.is_leaving
            and self.ejection_state is EjectionState.OPEN
            and self.in_flight < self.share + self.borrowed - self.lent
            and self.in_flight < self.connection_limit
        )


class _MinionSet:
    """A set with adding, removing and choosing at random in constant time."""

    def __init__(self) -> None:
        self.items: list[ids.MinionId] = []
        self._positions: dict[ids.MinionId, int] = {}

    def set(self, minion: ids.MinionId, is_member: bool) -> None:
        """Add or remove a minion."""
        position = self._positions.get(minion)
        if is_member and position is None:
            self._positions[minion] = len(self.items)
            self.items.append(minion)
        elif not is_member and position is not None:
            last = self.items.pop()
            del self._positions[minion]
            if last != minion:
                self.items[position] = last
                self._positions[last] = position


class Router:
    """The minions of one service: load balancing and outlier ejection."""

    def __init__(self, zone: ids.ZoneName, rng: random.Random) -> None:
        self.targets: dict[ids.MinionId, Target] = {}
        self.slots = 0
        self.active_count = 0
        self._zone = zone
        self._rng = rng
        self._local = _MinionSet()
        self._remote = _MinionSet()
        self._ejected: set[ids.MinionId] = set()
        self._median_s = 0.0
        self._median_uses_left = 0

    def refresh(self) -> None:
        """Update the totals after targets or their slots changed."""
        for minion in [*self._local.items, *self._remote.items]:
            if minion not in self.targets:
                self._local.set(minion, False)
                self._remote.set(minion, False)
        self._ejected &= self.targets.keys()
        active = [target for target in self.targets.values() if not target.is_leaving]
        self.active_count = len(active)
        self.slots = sum(max(target.slots, 0) for target in active)
        for target in self.targets.values():
            self._update_free(target)

    def pick(self, avoid: frozenset[ids.MinionId], idempotent: bool, now_s: float) -> Target | None:
        """Choose a minion with a free slot: the better of two at random, locally and elsewhere."""
        if len(avoid) >= self.active_count:
            # Every minion has failed this request once, so any of them may be tried again.
            avoid = frozenset()
        if self._ejected and (target := self._choose_probe(avoid, idempotent, now_s)):
            return target
        local = self._choose_better_of_two(self._local, avoid)
        remote = self._choose_better_of_two(self._remote, avoid)
        if local is None or remote is None:
            return local or remote
        return local if local.load <= remote.load + _ZONE_MARGIN else remote

    def reserve(self, target: Target) -> None:
        """Take a slot for a request."""
        target.in_flight += 1
        if target.ejection_state is EjectionState.EJECTED:
            target.ejection_state = EjectionState.PROBING
        self._update_free(target)

    def release(self, target: Target) -> None:
        """Free a slot, and drop the target when its last request ends after it left."""
        target.in_flight -= 1
        if target.is_leaving and not target.in_flight:
            self.targets.pop(target.record.minion, None)
            self._local.set(target.record.minion, False)
            self._remote.set(target.record.minion, False)
            return
        self._update_free(target)

    def record_success(self, target: Target, service_time_s: float, now_s: float) -> None:
        """Record the service time of a complete response, and eject a slow minion."""
        if target.ejection_state is EjectionState.EJECTED:
            # The request started before the ejection, so it says nothing new.
            return
        usual_s = self._get_usual_latency_s(target)
        sample_s = min(service_time_s, _MAX_SAMPLE_FACTOR * usual_s) if usual_s else service_time_s
        weight = max(_LATENCY_WEIGHT, 1 / (target.samples + 1))
        target.latency_s += weight * (sample_s - target.latency_s)
        target.error_rate -= _ERROR_WEIGHT * target.error_rate
        target.samples += 1
        target.consecutive_failures = 0
        if not target.samples % _EJECTION_DECAY_SAMPLES:
            target.ejection_s /= 2
        slow_s = max(_SLOW_FACTOR * usual_s, usual_s + _MIN_SLOW_EXCESS_S)
        if target.ejection_state is EjectionState.PROBING:
            if usual_s and service_time_s > slow_s:
                self._eject(target, now_s)
            else:
                self._reinstate(target)
        elif usual_s and target.samples >= _MIN_SAMPLES and target.latency_s > slow_s:
            self._eject(target, now_s)

    def record_failure(self, target: Target, is_refused: bool, now_s: float) -> None:
        """Record a failed attempt and eject a failing minion; one refused connection is enough."""
        if target.ejection_state is EjectionState.EJECTED:
            return
        target.error_rate += _ERROR_WEIGHT * (1 - target.error_rate)
        target.consecutive_failures += _MAX_CONSECUTIVE_FAILURES if is_refused else 1
        is_failing = (
            target.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES
            or target.error_rate > _MAX_ERROR_RATE
        )
        if is_failing or target.ejection_state is EjectionState.PROBING:
            self._eject(target, now_s)

    def get_ejected(self) -> list[ids.MinionId]:
        """Return the ids of the ejected minions."""
        return sorted(self._ejected)

    def _choose_better_of_two(
        self, free: _MinionSet, avoid: frozenset[ids.MinionId]
    ) -> Target | None:
        candidates: typing.Sequence[ids.MinionId] = free.items
        if avoid:
            candidates = [minion for minion in candidates if minion not in avoid]
        if not candidates:
            return None
        first = self.targets[candidates[int(self._rng.random() * len(candidates))]]
        second = self.targets[candidates[int(self._rng.random() * len(candidates))]]
        return first if first.load <= second.load else second

    def _choose_probe(
        self, avoid: frozenset[ids.MinionId], idempotent: bool, now_s: float
    ) -> Target | None:
        for minion in self._ejected - avoid:
            target = self.targets[minion]
            due_s = target.ejected_until_s + (0.0 if idempotent else _NON_IDEMPOTENT_PROBE_DELAY_S)
            is_idle = not target.in_flight and target.slots > 0 and not target.is_leaving
            if target.ejection_state is EjectionState.EJECTED and is_idle and now_s >= due_s:
                return target
        return None

    def _eject(self, target: Target, now_s: float) -> None:
        minion = target.record.minion
        if minion not in self._ejected:
            # One of two minions may be ejected: if it fails everything, it uses up the retries.
            max_ejected = max(
                int(_MAX_EJECTED_FRACTION * self.active_count), min(1, self.active_count - 1)
            )
            if len(self._ejected) >= max_ejected:
                return
            self._ejected.add(minion)
        target.ejection_s = min(max(_MIN_EJECTION_S, 2 * target.ejection_s), _MAX_EJECTION_S)
        target.ejected_until_s = now_s + target.ejection_s
        target.ejection_state = EjectionState.EJECTED
        self._update_free(target)

    def _reinstate(self, target: Target) -> None:
        # The ejection time is kept, so that a minion that soon fails again is ejected for longer.
        self._ejected.discard(target.record.minion)
        target.ejection_state = EjectionState.OPEN
        target.samples = 0
        target.latency_s = 0.0
        target.error_rate = 0.0
        self._update_free(target)

    def _get_usual_latency_s(self, target: Target) -> float:
        if len(self.targets) <= _MAX_EXACT_MEDIAN_MINIONS:
            return _compute_median_latency_s(
                other for other in self.targets.values() if other is not target
            )
        # With many minions one changes the median little: it is reused for a response per minion.
        if not self._median_uses_left:
            self._median_uses_left = len(self.targets)
            self._median_s = _compute_median_latency_s(self.targets.values())
        self._median_uses_left -= 1
        return self._median_s

    def _update_free(self, target: Target) -> None:
        free = self._local if target.record.zone == self._zone else self._remote
        free.set(target.record.minion, target.has_free_slot)


def _compute_median_latency_s(targets: collections.abc.Iterable[Target]) -> float:
    latencies_s = [target.latency_s for target in targets if target.samples >= _MIN_SAMPLES]
    return statistics.median(latencies_s) if latencies_s else 0.0
