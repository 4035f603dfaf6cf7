"""Decide how many workers move between pools, by policies in a registry."""

import collections
import collections.abc
import dataclasses
import math
import typing

import msgspec

from nutmegshelf import codecs, declarations, demand, hosts, ids, platform

PREFIX = "moves/"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerMove:
    """Ask for a worker to move to another pool."""

    worker: ids.WorkerId
    to_pool: ids.PoolName
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMove:
    """Ask for some workers of one pool to move to another, and say why."""

    from_pool: ids.PoolName
    to_pool: ids.PoolName
    count: int
    reason: str


class MoveRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count the workers ever sent to a pool; givers that race meet in this row."""

    pool: ids.PoolName
    sent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """Say what one pool holds and what it was asked since the last decision."""

    serving: int
    incoming: int
    sample: demand.Sample

    @property
    def workers(self) -> int:
        """Count the workers that the pool has or will have."""
        return self.serving + self.incoming


PoolStates = dict[ids.PoolName, PoolState]


class Policy(typing.Protocol):
    """Choose shifts from what the pools hold and were asked."""

    def decide(self, fleet: PoolStates, now_s: float) -> list[PoolMove]:
        """Give the shifts to begin now."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolParameters:
    """Hold what a policy knows of a pool's queue: its declaration, speed and patience."""

    declared: declarations.Pool
    worker_rate_per_s: float
    max_wait_s: float


ParametersByPool = dict[ids.PoolName, PoolParameters]
POLICIES: dict[str, collections.abc.Callable[[ParametersByPool], Policy]] = {}


def register(
    name: str,
) -> collections.abc.Callable[[type[Policy]], type[Policy]]:
    """Add a policy to the registry under its name."""

    def add(policy: type[Policy]) -> type[Policy]:
        POLICIES[name] = policy
        return policy

    return add


def get_pool_states(
    rows: list[hosts.HostRow], samples: dict[ids.PoolName, demand.Sample]
) -> PoolStates:
    """Count what each sampled pool has and will have from the workers' rows."""
    serving: collections.Counter[ids.PoolName] = collections.Counter()
    incoming: collections.Counter[ids.PoolName] = collections.Counter()
    for row in rows:
        if row.step is hosts.HostStep.DRAINING and row.to_pool is not None:
            incoming[row.to_pool] += 1
        elif row.step is hosts.HostStep.STARTING and row.purpose is hosts.Purpose.MOVE:
            incoming[row.pool] += 1
        elif row.step is not hosts.HostStep.WITHDRAWN:
            serving[row.pool] += 1
    return {
        pool: PoolState(serving[pool], incoming[pool], sample) for pool, sample in samples.items()
    }


def select_workers(rows: list[hosts.HostRow], shift: PoolMove) -> list[WorkerMove]:
    """Choose the workers of a shift: from the giver's fullest zone to the taker's emptiest."""
    giving = collections.Counter(row.zone for row in rows if row.pool == shift.from_pool)
    taking = collections.Counter(row.zone for row in rows if row.pool == shift.to_pool)
    free = [
        row for row in rows if row.pool == shift.from_pool and row.step is hosts.HostStep.SERVING
    ]
    free.sort(key=lambda row: (taking[row.zone] - giving[row.zone], row.worker))
    return [WorkerMove(row.worker, shift.to_pool, shift.reason) for row in free[: shift.count]]


def key(pool: ids.PoolName) -> str:
    """Name the row that counts the workers sent to a pool."""
    return PREFIX + pool


def prepare_send(
    row: platform.Row, pool: ids.PoolName
) -> tuple[platform.Condition, platform.Write]:
    """Make what a transaction needs to send one more worker to a pool."""
    found = codecs.unpack(row.value, MoveRow) if row.version else MoveRow(pool=pool)
    sent = msgspec.structs.replace(found, sent=found.sent + 1)
    return platform.Condition(key(pool), row.version), platform.Write(key(pool), codecs.pack(sent))


@dataclasses.dataclass(slots=True)
class _Counterfactual:
    """Follow the late requests of a pool with one worker less, as it is, and one more."""

    fewer: demand.FluidQueue
    present: demand.FluidQueue
    more: demand.FluidQueue
    gain: float = 0.0
    loss: float = 0.0
    idle: float = 0.0
    bursts: int = 0
    is_late: bool = False
    late_s: float = 0.0
    seen_s: float = 0.0
    workers: int | None = None

    @property
    def lasts(self) -> bool:
        """Say whether a shortage came back or went on for long: one burst proves nothing."""
        return self.bursts >= _RECURRENCES or self.late_s >= _SUSTAINED_S

    def take(self, state: PoolState, fading: float, terms: PoolParameters) -> None:
        """Add one interval's costs to the faded sums."""
        if state.workers != self.workers:
            # The sums were of another number of workers, whoever moved one.
            self.reset()
            self.workers = state.workers
        for queue in (self.fewer, self.present, self.more):
            queue.worker_rate_per_s = terms.worker_rate_per_s
        declared = terms.declared
        count = state.serving
        present = self.present.advance(state.sample, count)
        fewer = self.fewer.advance(state.sample, max(0, count - 1))
        more = self.more.advance(state.sample, count + 1)
        cost = declared.late_request_cost
        self.gain = self.gain * fading + max(0.0, present - more) * cost
        self.loss = self.loss * fading + max(0.0, fewer - present) * cost
        used = math.ceil(
            state.sample.arrivals / state.sample.interval_s / self.present.worker_rate_per_s
        )
        hours = state.sample.interval_s / _HOUR_S
        idle = declared.idle_worker_hour_cost * hours if used < count else 0.0
        self.idle = self.idle * fading + idle
        is_late = present > more
        self.bursts += is_late and not self.is_late
        self.is_late = is_late
        self.late_s += state.sample.interval_s if is_late else 0.0
        self.seen_s += state.sample.interval_s

    def reset(self) -> None:
        """Forget the sums after a move, as they were of another number of workers."""
        self.gain = self.loss = self.idle = self.late_s = self.seen_s = 0.0
        self.bursts = 0


@register("chosen")
class BreakEven:
    """Move a worker once what it would have saved passes what its move costs."""

    def __init__(self, terms: ParametersByPool) -> None:
        self._terms = terms
        self._last_s: float | None = None
        self._pools = {
            name: _Counterfactual(_queue(one), _queue(one), _queue(one))
            for name, one in terms.items()
        }

    def decide(self, fleet: PoolStates, now_s: float) -> list[PoolMove]:
        """Give at most one shift, so that its effect is seen before the next."""
        elapsed_s = now_s - self._last_s if self._last_s is not None else 0.0
        self._last_s = now_s
        fading = math.exp2(-elapsed_s / _HALF_LIFE_S)
        for name, state in fleet.items():
            self._pools[name].take(state, fading, self._terms[name])
        if any(state.incoming for state in fleet.values()):
            return []
        shift = self._relief(fleet) or self._return(fleet)
        if shift is None:
            return []
        self._pools[shift.from_pool].reset()
        self._pools[shift.to_pool].reset()
        return [shift]

    def _relief(self, fleet: PoolStates) -> PoolMove | None:
        needy = max(fleet, key=lambda name: self._pools[name].gain)
        if not self._pools[needy].lasts:
            return None
        donors = [
            name for name, state in fleet.items() if name != needy and self._may_give(name, state)
        ]
        if not donors:
            return None
        donor = min(donors, key=lambda name: (self._pools[name].loss, -self._pools[name].idle))
        saved = self._pools[needy].gain - self._pools[donor].loss
        cost = self._terms[needy].declared.move_cost
        if saved < _BREAK_EVEN_FACTOR * cost:
            return None
        reason = f"would have saved {saved:.3g} against {cost:.3g} for the move"
        return PoolMove(donor, needy, 1, reason)

    def _may_give(self, name: ids.PoolName, state: PoolState) -> bool:
        # What a pool would lose is unknown until it was watched for a while with what it has.
        watched = self._pools[name].seen_s >= _EVIDENCE_S
        return watched and state.serving > 1 and self._terms[name].declared.lends

    def _return(self, fleet: PoolStates) -> PoolMove | None:
        spare = next((name for name in fleet if self._terms[name].declared.spare), None)
        if spare is None:
            return None
        for name, state in fleet.items():
            if name == spare or not self._may_give(name, state):
                continue
            pool, cost = self._pools[name], self._terms[name].declared.move_cost
            if pool.idle - pool.loss >= _BREAK_EVEN_FACTOR * cost:
                reason = f"idle cost {pool.idle:.3g} against {cost:.3g} for the move"
                return PoolMove(name, spare, 1, reason)
        return None


@register("fixed_buffer")
class FixedBuffer:
    """Hold a fixed number of workers above the declared one in every pool."""

    def __init__(self, terms: ParametersByPool) -> None:
        self._terms = terms

    def decide(self, fleet: PoolStates, now_s: float) -> list[PoolMove]:
        """Fill every pool up to its declared number and the buffer."""
        spare = next((name for name in fleet if self._terms[name].declared.spare), None)
        shifts: list[PoolMove] = []
        if spare is None:
            return shifts
        left = fleet[spare].serving - 1
        for name, state in fleet.items():
            lacking = self._terms[name].declared.wanted_workers + _FIXED_BUFFER - state.workers
            if name != spare and lacking > 0 and left > 0:
                count = min(lacking, left)
                left -= count
                shifts.append(PoolMove(spare, name, count, "below the fixed buffer"))
        return shifts


@register("stand_still")
class NoMoves:
    """Move nothing."""

    def __init__(self, terms: ParametersByPool) -> None:
        self._terms = terms

    def decide(self, fleet: PoolStates, now_s: float) -> list[PoolMove]:
        """Give no shift."""
        return []


@register("threshold")
class Threshold:
    """Move a worker whenever use passes a threshold."""

    def __init__(self, terms: ParametersByPool) -> None:
        self._terms = terms
        self._quiet_until_s: dict[ids.PoolName, float] = {}

    def decide(self, fleet: PoolStates, now_s: float) -> list[PoolMove]:
        """Take from the least used pool for each that is above the threshold."""
        use = {
            name: state.sample.arrivals
            / state.sample.interval_s
            / (max(1, state.workers) * self._terms[name].worker_rate_per_s)
            for name, state in fleet.items()
        }
        shifts: list[PoolMove] = []
        for name in sorted(fleet, key=lambda name: -use[name]):
            if use[name] < _HIGH_USE or now_s < self._quiet_until_s.get(name, 0.0):
                continue
            donors = [
                other for other in fleet if fleet[other].serving > 1 and use[other] < _LOW_USE
            ]
            donors = [other for other in donors if self._terms[other].declared.lends]
            if donors:
                donor = max(donors, key=lambda other: fleet[other].serving)
                shifts.append(PoolMove(donor, name, 1, f"use {use[name]:.2f}"))
                self._quiet_until_s[name] = now_s + _COOLDOWN_S
        return shifts


def _queue(terms: PoolParameters) -> demand.FluidQueue:
    return demand.FluidQueue(terms.worker_rate_per_s, terms.max_wait_s)


_HOUR_S = 3600.0
_HALF_LIFE_S = 2 * _HOUR_S
_BREAK_EVEN_FACTOR = 1.0
_EVIDENCE_S = 1800.0
_RECURRENCES = 2
_SUSTAINED_S = 120.0
_FIXED_BUFFER = 1
_HIGH_USE = 0.9
_LOW_USE = 0.5
_COOLDOWN_S = 30.0
