"""Replay the brief's demand through the policies for moves, and sum their declared costs."""

import dataclasses
import math
import random
import statistics

from nutmegshelf import declarations, demand, ids, moves
from nutmegshelf_standins import demo

from nutmegshelf_bench import figures

DEPLOYMENTS = ("dorna", "costa_viva")
SEED_COUNT = 20
_HORIZON_S = 3 * 3600
_SHIFT_AT_S = 1800
_SHIFT_FACTORS = (1.6, 0.4)
_STEP_S = 1
_DECISION_S = 5
_MOVE_S = 70
_SERVICE_TIME_S = 0.05
_BURST_FACTOR = 5.0
_CALM_FACTOR = 0.05
_POOL_HOLDS_FACTOR = 3.5
_BURST_S = (5, 30)


@dataclasses.dataclass(slots=True)
class Totals:
    """Sum what one replay cost."""

    moves: int = 0
    buffer_host_hours: float = 0.0
    late_requests: float = 0.0
    weighted_cost: float = 0.0


def make_parameters(declared: declarations.DeclarationSet) -> moves.ParametersByPool:
    """Give each pool the speed and patience of its service's minions."""
    services = {service.pool: service for service in declared.services.values()}
    return {
        name: moves.PoolParameters(
            pool,
            services[name].slots_per_minion / _SERVICE_TIME_S,
            services[name].timeout_ms / 1000,
        )
        for name, pool in declared.pools.items()
    }


def draw_bursts(pools: list[ids.PoolName], rng: random.Random) -> list[tuple[ids.PoolName, float]]:
    """Draw for each second which pool bursts and by how much, each in turn."""
    seconds: list[tuple[ids.PoolName, float]] = []
    while len(seconds) < _HORIZON_S:
        for pool in rng.sample(pools, len(pools)):
            factor = _BURST_FACTOR * rng.uniform(0.9, 1.1)
            seconds += [(pool, factor)] * rng.randint(*_BURST_S)
    return seconds[:_HORIZON_S]


class Replay:
    """Drive one policy through one seed's demand on a clock of its own."""

    def __init__(
        self, declared: declarations.DeclarationSet, policy: str, shifted: list[ids.PoolName]
    ) -> None:
        self.shift_factors = dict(zip(shifted, _SHIFT_FACTORS, strict=False))
        self.parameters = make_parameters(declared)
        self.policy = moves.POLICIES[policy](self.parameters)
        self.serving = {name: pool.wanted_workers for name, pool in declared.pools.items()}
        self.moving: list[tuple[int, ids.PoolName]] = []
        self.queues = {
            name: demand.FluidQueue(one.worker_rate_per_s, one.max_wait_s)
            for name, one in self.parameters.items()
        }
        self.mean_rates_per_s = {
            name: one.declared.wanted_workers * one.worker_rate_per_s / _POOL_HOLDS_FACTOR
            for name, one in self.parameters.items()
        }
        self.arrived_requests = dict.fromkeys(self.serving, 0.0)
        self.totals = Totals()

    def run(self, seconds: list[tuple[ids.PoolName, float]]) -> Totals:
        """Replay all seconds and give the totals."""
        for now_s, (pool, factor) in enumerate(seconds):
            self._arrive(now_s)
            if now_s == _SHIFT_AT_S:
                for name, shift in self.shift_factors.items():
                    self.mean_rates_per_s[name] *= shift
            for name in self.serving:
                rate = self.mean_rates_per_s[name] * (factor if name == pool else _CALM_FACTOR)
                self._serve(name, rate)
            if now_s % _DECISION_S == _DECISION_S - 1:
                self._decide(now_s)
        return self.totals

    def _arrive(self, now_s: int) -> None:
        while self.moving and self.moving[0][0] <= now_s:
            self.serving[self.moving.pop(0)[1]] += 1

    def _serve(self, name: ids.PoolName, rate_per_s: float) -> None:
        declared = self.parameters[name].declared
        self.arrived_requests[name] += rate_per_s * _STEP_S
        late = self.queues[name].advance(
            demand.Sample(rate_per_s * _STEP_S, _STEP_S), self.serving[name]
        )
        self.totals.late_requests += late
        self.totals.weighted_cost += late * declared.late_request_cost
        if not declared.spare:
            used = math.ceil(rate_per_s / self.parameters[name].worker_rate_per_s)
            hours = max(0, self.serving[name] - used) * _STEP_S / 3600
            self.totals.buffer_host_hours += hours
            self.totals.weighted_cost += hours * declared.idle_worker_hour_cost

    def _decide(self, now_s: int) -> None:
        coming = [pool for _, pool in self.moving]
        fleet = {
            name: moves.PoolState(
                count, coming.count(name), demand.Sample(self.arrived_requests[name], _DECISION_S)
            )
            for name, count in self.serving.items()
        }
        self.arrived_requests = dict.fromkeys(self.serving, 0.0)
        for shift in self.policy.decide(fleet, float(now_s)):
            count = min(shift.count, self.serving[shift.from_pool])
            self.serving[shift.from_pool] -= count
            self.moving += [(now_s + _MOVE_S, shift.to_pool)] * count
            self.totals.moves += count
            cost = self.parameters[shift.to_pool].declared.move_cost
            self.totals.weighted_cost += count * cost


def replay(user: str, policy: str, seed: int, shifts: bool = False) -> Totals:
    """Replay one user's demand of one seed through one policy, with or without a lasting shift."""
    folder = demo.EXAMPLES / user
    declared = declarations.from_toml(
        {path.name: path.read_text() for path in folder.glob("*.toml")}
    )
    rng = random.Random(f"{seed}:{user}")
    pools = [name for name, pool in sorted(declared.pools.items()) if not pool.spare]
    shifted = rng.sample(pools, 2) if shifts else []
    return Replay(declared, policy, shifted).run(draw_bursts(sorted(declared.pools), rng))


def _show(prefix: str, runs: list[Totals]) -> None:
    for field, unit in (
        ("moves", "moves"),
        ("buffer_host_hours", "host-hours"),
        ("late_requests", "requests"),
        ("weighted_cost", "cost"),
    ):
        values = [float(getattr(run, field)) for run in runs]
        figures.report(f"{prefix}.{field}", statistics.mean(values), unit)
        figures.report(f"{prefix}.{field}.min", min(values), unit)
        figures.report(f"{prefix}.{field}.max", max(values), unit)


@figures.register("fleet")
def measure_fleet(seed: int) -> None:
    """Print moves, buffer, late requests and weighted cost for each user and policy."""
    for user in DEPLOYMENTS:
        for policy in ("chosen", "fixed_buffer", "threshold"):
            _show(
                f"fleet.{user}.{policy}",
                [replay(user, policy, seed + number) for number in range(SEED_COUNT)],
            )


@figures.register("fleet_shift")
def measure_fleet_shift(seed: int) -> None:
    """Print the same where one queue's mean grows and another's falls for good."""
    for user in DEPLOYMENTS:
        for policy in ("chosen", "stand_still", "fixed_buffer", "threshold"):
            _show(
                f"fleet_shift.{user}.{policy}",
                [replay(user, policy, seed + number, shifts=True) for number in range(SEED_COUNT)],
            )
