"""Policies that choose the moves of workers between pools, and their registry."""

import collections
import collections.abc
import dataclasses
import math
import typing

import msgspec

from nutmegshelf import codecs, declarations, demand, hosts, ids, platform

PREFIX = "moves/"
# A planned move whose transaction got no answer is tried again for this long.
_MAX_PLAN_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerMove:
    """Move of one worker to another pool."""

    worker: ids.WorkerId
    to_pool: ids.PoolName
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMove:
    """Move of a number of workers from one pool to another, with its reason."""

    from_pool: ids.PoolName
    to_pool: ids.PoolName
    count: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """Move planned at a time, with the version of the receiver's row then."""

    move: WorkerMove
    row_version: int
    planned_s: float

    def is_due(self, host: hosts.HostRow | None, row: platform.Row, now_s: float) -> bool:
        """Return whether to send the worker after a transaction without an answer.

        Whoever sends a worker to the pool changes its row, and the move may not be needed then.
        """
        is_serving = host is not None and host.step is hosts.HostStep.SERVING
        is_recent = now_s - self.planned_s < _MAX_PLAN_AGE_S
        return is_serving and is_recent and row.version == self.row_version


class MoveRow(msgspec.Struct, frozen=True, kw_only=True):
    """Count of the workers ever sent to a pool; concurrent senders conflict on this row."""

    pool: ids.PoolName
    sent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """Workers of a pool, and its demand since the last decision."""

    serving: int
    incoming: int
    sample: demand.Sample

    @property
    def workers(self) -> int:
        """Return how many workers the pool has, including incoming ones."""
        return self.serving + self.incoming


PoolStates = dict[ids.PoolName, PoolState]


class Policy(typing.Protocol):
    """Algorithm that chooses moves from the workers and the demand of all pools."""

    def decide(self, pools: PoolStates, now_s: float) -> list[PoolMove]:
        """Return the moves to start now."""


@dataclasses.dataclass(frozen=True, slots=True)
class PoolParameters:
    """Declaration of a pool, the rate that one worker serves and the longest acceptable wait."""

    declared: declarations.Pool
    worker_rate_per_s: float
    max_wait_s: float


ParametersByPool = dict[ids.PoolName, PoolParameters]
POLICIES: dict[str, collections.abc.Callable[[ParametersByPool], Policy]] = {}


def register(
    name: str,
) -> collections.abc.Callable[[type[Policy]], type[Policy]]:
    """Return a decorator that registers a policy under a name."""

    def add(policy: type[Policy]) -> type[Policy]:
        POLICIES[name] = policy
        return policy

    return add


def get_pool_states(
    rows: list[hosts.HostRow], samples: dict[ids.PoolName, demand.Sample]
) -> PoolStates:
    """Count the serving and incoming workers of each sampled pool."""
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


def select_workers(rows: list[hosts.HostRow], move: PoolMove) -> list[WorkerMove]:
    """Choose the workers of a move, so that zones stay balanced in both pools."""
    source_zones = collections.Counter(row.zone for row in rows if row.pool == move.from_pool)
    target_zones = collections.Counter(row.zone for row in rows if row.pool == move.to_pool)
    candidates = [
        row for row in rows if row.pool == move.from_pool and row.step is hosts.HostStep.SERVING
    ]
    candidates.sort(key=lambda row: (target_zones[row.zone] - source_zones[row.zone], row.worker))
    return [WorkerMove(row.worker, move.to_pool, move.reason) for row in candidates[: move.count]]


def key(pool: ids.PoolName) -> str:
    """Return the table key of the row that counts the workers sent to a pool."""
    return PREFIX + pool


def get_row(rows_by_pool: dict[ids.PoolName, platform.Row], pool: ids.PoolName) -> platform.Row:
    """Return the row that counts the workers sent to a pool, with version 0 if there is none."""
    return rows_by_pool.get(pool, platform.Row(key(pool), 0))


def prepare_send(
    row: platform.Row, pool: ids.PoolName
) -> tuple[platform.Condition, platform.Write]:
    """Return the condition and the write that a transaction needs to send a worker to a pool."""
    current = codecs.unpack(row.value, MoveRow) if row.version else MoveRow(pool=pool)
    updated = msgspec.structs.replace(current, sent=current.sent + 1)
    return platform.Condition(key(pool), row.version), platform.Write(
        key(pool), codecs.pack(updated)
    )


@dataclasses.dataclass(slots=True)
class _PoolModel:
    """Model of a pool's late requests with one worker less, as it is, and with one more.

    The gain is the cost of late requests that one more worker would have saved, the loss what one
    worker less would have added.
    """

    fewer: demand.FluidQueue
    present: demand.FluidQueue
    more: demand.FluidQueue
    gain: float = 0.0
    loss: float = 0.0
    idle_cost: float = 0.0
    shortages: int = 0
    is_short: bool = False
    shortage_s: float = 0.0
    observed_s: float = 0.0
    workers: int | None = None

    @property
    def is_persistent(self) -> bool:
        """Return whether shortages recurred or lasted; a single burst doesn't justify a move."""
        return self.shortages >= _MIN_SHORTAGES or self.shortage_s >= _MIN_SHORTAGE_S

    def add_interval(self, state: PoolState, decay: float, parameters: PoolParameters) -> None:
        """Add the costs of one interval to the exponentially decaying sums."""
        if state.workers != self.workers:
            # The sums hold only for the former number of workers.
            self.reset()
            self.workers = state.workers
        for queue in (self.fewer, self.present, self.more):
            queue.worker_rate_per_s = parameters.worker_rate_per_s
        declared = parameters.declared
        count = state.serving
        present = self.present.advance(state.sample, count)
        fewer = self.fewer.advance(state.sample, max(0, count - 1))
        more = self.more.advance(state.sample, count + 1)
        cost = declared.late_request_cost
        self.gain = self.gain * decay + max(0.0, present - more) * cost
        self.loss = self.loss * decay + max(0.0, fewer - present) * cost
        used = math.ceil(
            state.sample.arrivals / state.sample.interval_s / self.present.worker_rate_per_s
        )
        hours = state.sample.interval_s / _HOUR_S
        idle_cost = declared.idle_worker_hour_cost * hours if used < count else 0.0
        self.idle_cost = self.idle_cost * decay + idle_cost
        is_short = present > more
        self.shortages += is_short and not self.is_short
        self.is_short = is_short
        self.shortage_s += state.sample.interval_s if is_short else 0.0
        self.observed_s += state.sample.interval_s

    def reset(self) -> None:
        """Reset the sums, which hold only for one number of workers."""
        self.gain = self.loss = self.idle_cost = self.shortage_s = self.observed_s = 0.0
        self.shortages = 0


@register("chosen")
class BreakEven:
    """Policy that moves a worker once the cost it would have saved exceeds that of the move."""

    def __init__(self, parameters: ParametersByPool) -> None:
        self._parameters = parameters
        self._last_decision_s: float | None = None
        self._models = {
            name: _PoolModel(_make_queue(values), _make_queue(values), _make_queue(values))
            for name, values in parameters.items()
        }

    def decide(self, pools: PoolStates, now_s: float) -> list[PoolMove]:
        """Return at most one move, so that its effect is observed before the next one."""
        elapsed_s = now_s - self._last_decision_s if self._last_decision_s is not None else 0.0
        self._last_decision_s = now_s
        decay = math.exp2(-elapsed_s / _COST_HALF_LIFE_S)
        for name, state in pools.items():
            self._models[name].add_interval(state, decay, self._parameters[name])
        if any(state.incoming for state in pools.values()):
            return []
        move = self._choose_relief(pools) or self._choose_return(pools)
        if move is None:
            return []
        self._models[move.from_pool].reset()
        self._models[move.to_pool].reset()
        return [move]

    def _choose_relief(self, pools: PoolStates) -> PoolMove | None:
        receiver = max(pools, key=lambda name: self._models[name].gain)
        if not self._models[receiver].is_persistent:
            return None
        donors = [
            name
            for name, state in pools.items()
            if name != receiver and self._may_donate(name, state)
        ]
        if not donors:
            return None
        donor = min(
            donors, key=lambda name: (self._models[name].loss, -self._models[name].idle_cost)
        )
        saved = self._models[receiver].gain - self._models[donor].loss
        cost = self._parameters[receiver].declared.move_cost
        if saved < _BREAK_EVEN_FACTOR * cost:
            return None
        reason = f"would have saved {saved:.3g} against {cost:.3g} for the move"
        return PoolMove(donor, receiver, 1, reason)

    def _may_donate(self, name: ids.PoolName, state: PoolState) -> bool:
        # The loss of a donor is known only after its demand was observed with its present workers.
        is_observed = self._models[name].observed_s >= _MIN_OBSERVATION_S
        return is_observed and state.serving > 1 and self._parameters[name].declared.lends

    def _choose_return(self, pools: PoolStates) -> PoolMove | None:
        spare = next((name for name in pools if self._parameters[name].declared.spare), None)
        if spare is None:
            return None
        for name, state in pools.items():
            if name == spare or not self._may_donate(name, state):
                continue
            model, cost = self._models[name], self._parameters[name].declared.move_cost
            if model.idle_cost - model.loss >= _BREAK_EVEN_FACTOR * cost:
                reason = f"idle cost {model.idle_cost:.3g} against {cost:.3g} for the move"
                return PoolMove(name, spare, 1, reason)
        return None


@register("fixed_buffer")
class FixedBuffer:
    """Policy that keeps a fixed number of workers above the declared one in every pool."""

    def __init__(self, parameters: ParametersByPool) -> None:
        self._parameters = parameters

    def decide(self, pools: PoolStates, now_s: float) -> list[PoolMove]:
        """Fill up every pool from the spare one."""
        spare = next((name for name in pools if self._parameters[name].declared.spare), None)
        moves: list[PoolMove] = []
        if spare is None:
            return moves
        available = pools[spare].serving - 1
        for name, state in pools.items():
            missing = self._parameters[name].declared.wanted_workers + _FIXED_BUFFER - state.workers
            if name != spare and missing > 0 and available > 0:
                count = min(missing, available)
                available -= count
                moves.append(PoolMove(spare, name, count, "below the fixed buffer"))
        return moves


@register("stand_still")
class NoMoves:
    """Policy that moves no workers, as a baseline."""

    def __init__(self, parameters: ParametersByPool) -> None:
        self._parameters = parameters

    def decide(self, pools: PoolStates, now_s: float) -> list[PoolMove]:
        """Return no moves."""
        return []


@register("threshold")
class Threshold:
    """Policy that moves a worker whenever the utilization of a pool passes a threshold."""

    def __init__(self, parameters: ParametersByPool) -> None:
        self._parameters = parameters
        self._cooldown_until_s: dict[ids.PoolName, float] = {}

    def decide(self, pools: PoolStates, now_s: float) -> list[PoolMove]:
        """Return a move to each pool above the threshold from the largest underused pool."""
        utilization = {
            name: state.sample.arrivals
            / state.sample.interval_s
            / (max(1, state.workers) * self._parameters[name].worker_rate_per_s)
            for name, state in pools.items()
        }
        moves: list[PoolMove] = []
        for name in sorted(pools, key=lambda name: -utilization[name]):
            if utilization[name] < _HIGH_UTILIZATION or now_s < self._cooldown_until_s.get(
                name, 0.0
            ):
                continue
            donors = [
                other
                for other in pools
                if pools[other].serving > 1 and utilization[other] < _LOW_UTILIZATION
            ]
            donors = [other for other in donors if self._parameters[other].declared.lends]
            if donors:
                donor = max(donors, key=lambda other: pools[other].serving)
                moves.append(PoolMove(donor, name, 1, f"use {utilization[name]:.2f}"))
                self._cooldown_until_s[name] = now_s + _COOLDOWN_S
        return moves


def _make_queue(parameters: PoolParameters) -> demand.FluidQueue:
    return demand.FluidQueue(parameters.worker_rate_per_s, parameters.max_wait_s)


_HOUR_S = 3600.0
_COST_HALF_LIFE_S = 2 * _HOUR_S
_BREAK_EVEN_FACTOR = 1.0
_MIN_OBSERVATION_S = 1800.0
_MIN_SHORTAGES = 2
_MIN_SHORTAGE_S = 120.0
_FIXED_BUFFER = 1
_HIGH_UTILIZATION = 0.9
_LOW_UTILIZATION = 0.5
_COOLDOWN_S = 30.0
