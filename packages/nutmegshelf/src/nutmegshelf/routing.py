"""Choose among the minions of one service, and set failing and slow ones apart."""

import collections.abc
import dataclasses
import enum
import random
import statistics
import typing

from nutmegshelf import ids, platform

# The own zone is preferred until it is this much fuller than the others, as a fraction of slots.
_ZONE_MARGIN = 0.5
_MAX_APART_FRACTION = 0.34
_FAILURES_IN_ROW = 3
_ERROR_WEIGHT = 0.1
_ERROR_LIMIT = 0.5
_LATENCY_WEIGHT = 0.1
_SLOW_FACTOR = 3.0
_SLOW_MIN_S = 0.05
_MIN_SAMPLES = 20
_FEW_MINIONS = 12
_FORGIVING_SAMPLES = 100
_FIRST_APART_S = 1.0
_MAX_APART_S = 60.0
_PROBE_PATIENCE_S = 30.0
_CLAMP_FACTOR = 10.0


class EjectionState(enum.Enum):
    """Say whether a minion gets work as the others do."""

    OPEN = "open"
    EJECTED = "apart"
    PROBING = "probed"


@dataclasses.dataclass(slots=True)
class Target:
    """Keep what one entry knows of one minion."""

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
        """Count the slots that this entry may fill."""
        return min(self.share + self.borrowed - self.lent, self.connection_limit)

    @property
    def load(self) -> float:
        """Give the filled fraction, counting one more request."""
        return (self.in_flight + 1) / max(self.slots, 1)

    @property
    def has_free_slot(self) -> bool:
        """Say whether new work may start as far as counts go."""
        return (
            not self.is_leaving
            and self.ejection_state is EjectionState.OPEN
            and self.in_flight < self.share + self.borrowed - self.lent
            and self.in_flight < self.connection_limit
        )


class _Bag:
    """Keep members so that adding, removing and random choice take constant time."""

    def __init__(self) -> None:
        self.items: list[ids.MinionId] = []
        self._places: dict[ids.MinionId, int] = {}

    def set(self, minion: ids.MinionId, member: bool) -> None:
        """Add or remove a member."""
        place = self._places.get(minion)
        if member and place is None:
            self._places[minion] = len(self.items)
            self.items.append(minion)
        elif not member and place is not None:
            last = self.items.pop()
            del self._places[minion]
            if last != minion:
                self.items[place] = last
                self._places[last] = place


class Router:
    """Own the targets of one service."""

    def __init__(self, zone: ids.ZoneName, rng: random.Random) -> None:
        self.targets: dict[ids.MinionId, Target] = {}
        self.slots = 0
        self.active_count = 0
        self._zone = zone
        self._rng = rng
        self._near = _Bag()
        self._far = _Bag()
        self._apart: set[ids.MinionId] = set()
        self._median_s = 0.0
        self._answers_left = 0

    def refresh(self) -> None:
        """Recount after the targets or their slots changed."""
        for minion in [*self._near.items, *self._far.items]:
            if minion not in self.targets:
                self._near.set(minion, False)
                self._far.set(minion, False)
        self._apart &= self.targets.keys()
        staying = [target for target in self.targets.values() if not target.is_leaving]
        self.active_count = len(staying)
        self.slots = sum(max(target.slots, 0) for target in staying)
        for target in self.targets.values():
            self._note(target)

    def pick(self, avoid: frozenset[ids.MinionId], idempotent: bool, now_s: float) -> Target | None:
        """Choose a minion with a free slot, by two random choices in the own zone and elsewhere."""
        if len(avoid) >= self.active_count:
            # Every minion failed it once: any is better than none.
            avoid = frozenset()
        if self._apart and (probed := self._probe(avoid, idempotent, now_s)):
            return probed
        near = self._best_of_two(self._near, avoid)
        far = self._best_of_two(self._far, avoid)
        if near is None or far is None:
            return near or far
        return near if near.load <= far.load + _ZONE_MARGIN else far

    def reserve(self, target: Target) -> None:
        """Fill a slot."""
        target.in_flight += 1
        if target.ejection_state is EjectionState.EJECTED:
            target.ejection_state = EjectionState.PROBING
        self._note(target)

    def release(self, target: Target) -> None:
        """Free a slot."""
        target.in_flight -= 1
        if target.is_leaving and not target.in_flight:
            self.targets.pop(target.record.minion, None)
            self._near.set(target.record.minion, False)
            self._far.set(target.record.minion, False)
            return
        self._note(target)

    def record_success(self, target: Target, service_time_s: float, now_s: float) -> None:
        """Learn from a whole answer."""
        if target.ejection_state is EjectionState.EJECTED:
            # It started before the minion was set apart, so it is no new evidence.
            return
        usual_s = self._usual_latency_s(target)
        sample_s = min(service_time_s, _CLAMP_FACTOR * usual_s) if usual_s else service_time_s
        weight = max(_LATENCY_WEIGHT, 1 / (target.samples + 1))
        target.latency_s += weight * (sample_s - target.latency_s)
        target.error_rate -= _ERROR_WEIGHT * target.error_rate
        target.samples += 1
        target.consecutive_failures = 0
        if not target.samples % _FORGIVING_SAMPLES:
            target.ejection_s /= 2
        slow_s = max(_SLOW_FACTOR * usual_s, usual_s + _SLOW_MIN_S)
        if target.ejection_state is EjectionState.PROBING:
            if usual_s and service_time_s > slow_s:
                self._set_apart(target, now_s)
            else:
                self._let_back(target)
        elif usual_s and target.samples >= _MIN_SAMPLES and target.latency_s > slow_s:
            self._set_apart(target, now_s)

    def record_failure(self, target: Target, refused: bool, now_s: float) -> None:
        """Learn from an attempt that the minion failed; a refused connection says it alone."""
        if target.ejection_state is EjectionState.EJECTED:
            return
        target.error_rate += _ERROR_WEIGHT * (1 - target.error_rate)
        target.consecutive_failures += _FAILURES_IN_ROW if refused else 1
        failing = (
            target.consecutive_failures >= _FAILURES_IN_ROW or target.error_rate > _ERROR_LIMIT
        )
        if failing or target.ejection_state is EjectionState.PROBING:
            self._set_apart(target, now_s)

    def get_ejected(self) -> list[ids.MinionId]:
        """Name the minions that are set apart."""
        return sorted(self._apart)

    def _best_of_two(self, bag: _Bag, avoid: frozenset[ids.MinionId]) -> Target | None:
        free: typing.Sequence[ids.MinionId] = bag.items
        if avoid:
            free = [minion for minion in free if minion not in avoid]
        if not free:
            return None
        one = self.targets[free[int(self._rng.random() * len(free))]]
        other = self.targets[free[int(self._rng.random() * len(free))]]
        return one if one.load <= other.load else other

    def _probe(
        self, avoid: frozenset[ids.MinionId], idempotent: bool, now_s: float
    ) -> Target | None:
        for minion in self._apart - avoid:
            target = self.targets[minion]
            due_s = target.ejected_until_s + (0.0 if idempotent else _PROBE_PATIENCE_S)
            idle = not target.in_flight and target.slots > 0 and not target.is_leaving
            if target.ejection_state is EjectionState.EJECTED and idle and now_s >= due_s:
                return target
        return None

    def _set_apart(self, target: Target, now_s: float) -> None:
        minion = target.record.minion
        if minion not in self._apart:
            # One of two may go, as a minion that fails everything would use up the retries.
            limit = max(int(_MAX_APART_FRACTION * self.active_count), min(1, self.active_count - 1))
            if len(self._apart) >= limit:
                return
            self._apart.add(minion)
        target.ejection_s = min(max(_FIRST_APART_S, 2 * target.ejection_s), _MAX_APART_S)
        target.ejected_until_s = now_s + target.ejection_s
        target.ejection_state = EjectionState.EJECTED
        self._note(target)

    def _let_back(self, target: Target) -> None:
        # The back-off is kept, so that a minion that soon fails again waits longer.
        self._apart.discard(target.record.minion)
        target.ejection_state = EjectionState.OPEN
        target.samples = 0
        target.latency_s = 0.0
        target.error_rate = 0.0
        self._note(target)

    def _usual_latency_s(self, target: Target) -> float:
        if len(self.targets) <= _FEW_MINIONS:
            return _median_latency_s(
                other for other in self.targets.values() if other is not target
            )
        # Among many minions one weighs little, so the median is kept for a round of answers.
        if not self._answers_left:
            self._answers_left = len(self.targets)
            self._median_s = _median_latency_s(self.targets.values())
        self._answers_left -= 1
        return self._median_s

    def _note(self, target: Target) -> None:
        bag = self._near if target.record.zone == self._zone else self._far
        bag.set(target.record.minion, target.has_free_slot)


def _median_latency_s(targets: collections.abc.Iterable[Target]) -> float:
    known = [target.latency_s for target in targets if target.samples >= _MIN_SAMPLES]
    return statistics.median(known) if known else 0.0
