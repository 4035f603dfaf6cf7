"""Simulate the bursty demand of the requirements by move policy, and sum the declared costs."""

import dataclasses
import math
import random
import statistics

from nutmegshelf import declarations, demand, ids, moves
from nutmegshelf_standins import demo

from nutmegshelf_bench import figures

DEPLOYMENTS = ("dorna", "costa_viva")
SEED_COUNT = 20
_DURATION_S = 3 * 3600
_SHIFT_TIME_S = 1800
_SHIFT_FACTORS = (1.6, 0.4)
_STEP_S = 1
_DECISION_INTERVAL_S = 5
_MOVE_DURATION_S = 70
_SERVICE_TIME_S = 0.05
_BURST_FACTOR = 5.0
_CALM_FACTOR = 0.05
_POOL_CAPACITY_FACTOR = 3.5
_BURST_DURATION_RANGE_S = (5, 30)


@dataclasses.dataclass(slots=True)
class Totals:
    """The accumulated costs of one simulation run."""

    moves: int = 0
    buffer_host_hours: float = 0.0
    late_requests: float = 0.0
    weighted_cost: float = 0.0


def make_parameters(declared: declarations.DeclarationSet) -> moves.ParametersByPool:
    """Return each pool's parameters: the request rate of a worker and the maximum wait."""
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
    """Draw the bursting pool and its factor for each second; the pools burst in turn."""
    burst_by_second: list[tuple[ids.PoolName, float]] = []
    while len(burst_by_second) < _DURATION_S:
        for pool in rng.sample(pools, len(pools)):
            factor = _BURST_FACTOR * rng.uniform(0.9, 1.1)
            burst_by_second += [(pool, factor)] * rng.randint(*_BURST_DURATION_RANGE_S)
    return burst_by_second[:_DURATION_S]


class Simulation:
    """A simulation of one policy under the demand of one seed."""

    def __init__(
        self, declared: declarations.DeclarationSet, policy: str, shifted_pools: list[ids.PoolName]
    ) -> None:
        self.shift_factors = dict(zip(shifted_pools, _SHIFT_FACTORS, strict=False))
        self.parameters = make_parameters(declared)
        self.policy = moves.POLICIES[policy](self.parameters)
        self.serving = {name: pool.wanted_workers for name, pool in declared.pools.items()}
        self.moving: list[tuple[int, ids.PoolName]] = []
        self.queues = {
            name: demand.FluidQueue(parameters.worker_rate_per_s, parameters.max_wait_s)
            for name, parameters in self.parameters.items()
        }
        self.mean_rates_per_s = {
            name: parameters.declared.wanted_workers
            * parameters.worker_rate_per_s
            / _POOL_CAPACITY_FACTOR
            for name, parameters in self.parameters.items()
        }
        self.arrived_requests = dict.fromkeys(self.serving, 0.0)
        self.totals = Totals()

    def run(self, burst_by_second: list[tuple[ids.PoolName, float]]) -> Totals:
        """Simulate all seconds and return the totals."""
        for now_s, (pool, factor) in enumerate(burst_by_second):
            self._complete_moves(now_s)
            if now_s == _SHIFT_TIME_S:
                for name, shift in self.shift_factors.items():
                    self.mean_rates_per_s[name] *= shift
            for name in self.serving:
                rate = self.mean_rates_per_s[name] * (factor if name == pool else _CALM_FACTOR)
                self._serve(name, rate)
            if now_s % _DECISION_INTERVAL_S == _DECISION_INTERVAL_S - 1:
                self._decide(now_s)
        return self.totals

    def _complete_moves(self, now_s: int) -> None:
        while self.moving and self.moving[0][0] <= now_s:
            self.serving[self.moving.pop(0)[1]] += 1

    def _serve(self, name: ids.PoolName, rate_per_s: float) -> None:
        declared = self.parameters[name].declared
        self.arrived_requests[name] += rate_per_s * _STEP_S
        late_requests = self.queues[name].advance(
            demand.Sample(rate_per_s * _STEP_S, _STEP_S), self.serving[name]
        )
        self.totals.late_requests += late_requests
        self.totals.weighted_cost += late_requests * declared.late_request_cost
        if not declared.spare:
            used_workers = math.ceil(rate_per_s / self.parameters[name].worker_rate_per_s)
            idle_hours = max(0, self.serving[name] - used_workers) * _STEP_S / 3600
            self.totals.buffer_host_hours += idle_hours
            self.totals.weighted_cost += idle_hours * declared.idle_worker_hour_cost

    def _decide(self, now_s: int) -> None:
        arriving_pools = [pool for _, pool in self.moving]
        pool_states = {
            name: moves.PoolState(
                count,
                arriving_pools.count(name),
                demand.Sample(self.arrived_requests[name], _DECISION_INTERVAL_S),
            )
            for name, count in self.serving.items()
        }
        self.arrived_requests = dict.fromkeys(self.serving, 0.0)
        for shift in self.policy.decide(pool_states, float(now_s)):
            count = min(shift.count, self.serving[shift.from_pool])
            self.serving[shift.from_pool] -= count
            self.moving += [(now_s + _MOVE_DURATION_S, shift.to_pool)] * count
            self.totals.moves += count
            cost = self.parameters[shift.to_pool].declared.move_cost
            self.totals.weighted_cost += count * cost


def simulate(deployment: str, policy: str, seed: int, has_shift: bool = False) -> Totals:
    """Simulate one policy under the demand of one seed, with or without a permanent shift."""
    folder = demo.EXAMPLES / deployment
    declared = declarations.from_toml(
        {path.name: path.read_text() for path in folder.glob("*.toml")}
    )
    rng = random.Random(f"{seed}:{deployment}")
    pools = [name for name, pool in sorted(declared.pools.items()) if not pool.spare]
    shifted_pools = rng.sample(pools, 2) if has_shift else []
    return Simulation(declared, policy, shifted_pools).run(draw_bursts(sorted(declared.pools), rng))


def _report(prefix: str, runs: list[Totals]) -> None:
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
    """Print moves, idle workers, late requests and weighted cost by deployment and policy."""
    for deployment in DEPLOYMENTS:
        for policy in ("chosen", "fixed_buffer", "threshold"):
            _report(
                f"fleet.{deployment}.{policy}",
                [simulate(deployment, policy, seed + number) for number in range(SEED_COUNT)],
            )


@figures.register("fleet_shift")
def measure_fleet_shift(seed: int) -> None:
    """Print the same with a permanent rise of one pool's mean demand and fall of another's."""
    for deployment in DEPLOYMENTS:
        for policy in ("chosen", "stand_still", "fixed_buffer", "threshold"):
            _report(
                f"fleet_shift.{deployment}.{policy}",
                [
                    simulate(deployment, policy, seed + number, has_shift=True)
                    for number in range(SEED_COUNT)
                ],
            )
