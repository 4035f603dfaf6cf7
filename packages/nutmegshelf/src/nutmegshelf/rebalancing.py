"""Decide how many hosts each pool needs and which hosts move between pools.

Load pattern: one queue after another has a burst. During its burst a queue's load is several times
its mean for some seconds, and a twentieth of it in between. Idle hosts in a pool are paid for; a
move takes time and costs about as much as one second of an idle host. So idle hosts go to the spare
pool soon, and pools with waiting work get hosts from idle pools first, then from the spare pool.
Where the pools want more hosts than there are, the pools with the fewest hosts come first.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

import msgspec

from nutmegshelf import bursts, calls, costs, ids


class HostState(enum.Enum):
    """The state of a host as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """The platform's entry for a host, with its worker where that is known."""

    host: ids.HostId
    pool: ids.ServiceName
    state: HostState
    zone: ids.ZoneName
    rack: ids.RackName
    cpu_millis: int
    worker: ids.WorkerId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move of a host to another pool."""

    host: ids.HostId
    pool: ids.ServiceName
    target: ids.ServiceName
    reason: str


_MIN_HOSTS = 1
# Allowance for tasks that don't pack well onto hosts, as a factor on the need.
_HEADROOM = 1.15
# Waiting work should be finished within this time, as callers allow little more.
_MAX_BACKLOG_S = 0.3
# The window over which the arrival rate of work is measured.
_RATE_WINDOW_S = 2.0
_MAX_RATE_FACTOR = 1.5
# Time from the decision to move a host until its worker is listed, beside the move itself.
_REACTION_S = 0.8
# A host whose worker is not listed for this long after its arrival counts as no capacity.
_UNREPORTED_LIMIT_S = 3.0
# A host that is not needed for some time goes to the spare pool after idling for this time.
_IDLE_SETTLE_S = 0.4


@dataclasses.dataclass(slots=True)
class _Arrivals:
    samples: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def record(self, total_core_ms: int, now_s: float) -> float:
        """Record the work that arrived so far; return the cores needed to keep up with it."""
        if self.samples and total_core_ms < self.samples[-1][1]:
            self.samples.clear()
        self.samples = [sample for sample in self.samples if sample[0] >= now_s - _RATE_WINDOW_S]
        self.samples.append((now_s, total_core_ms))
        first_s, first = self.samples[0]
        # A short series is not scaled up, as a single job would look like a burst.
        return (total_core_ms - first) / 1000 / max(_RATE_WINDOW_S, now_s - first_s)


class Planner:
    """Plan moves of hosts from the pools' demand and a forecast of bursts."""

    def __init__(self, declared: costs.Costs | None = None) -> None:
        self.costs = declared or costs.Costs()
        self._arrivals: dict[ids.ServiceName, _Arrivals] = {}
        self.bursts = bursts.BurstForecaster()
        self.wanted_hosts: dict[ids.ServiceName, int] = {}
        # Hosts that are up but not in their pool's report, with the time since when.
        self._unreported_s: dict[ids.HostId, float] = {}

    def _update_unreported(
        self,
        views: list[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        now_s: float,
    ) -> None:
        self._unreported_s = {
            view.host: self._unreported_s.get(view.host, now_s)
            for view in views
            if view.state is HostState.UP
            and view.pool in demands
            and view.host not in demands[view.pool].hosts
        }

    def plan(
        self,
        hosts: collections.abc.Iterable[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        reserved: set[ids.HostId],
        spare: ids.ServiceName | None,
        now_s: float,
        *,
        is_complete: bool = True,
    ) -> list[Move]:
        """Choose moves; hosts that are reserved for other purposes stay.

        Where some pool's demand is unknown, no idle host goes to the spare pool, as that pool may
        need it.
        """
        views = list(hosts)
        self._update_unreported(views, demands, now_s)
        host_counts = collections.Counter(
            view.pool
            for view in views
            if view.state is not HostState.DOWN
            and not _is_unusable(view, demands)
            and now_s - self._unreported_s.get(view.host, now_s) < _UNREPORTED_LIMIT_S
        )
        size = max((view.cpu_millis for view in views), default=0)
        self._observe_bursts(size, demands, now_s)
        arriving = {
            pool: self._arrivals.setdefault(pool, _Arrivals()).record(report.arrived_core_ms, now_s)
            for pool, report in demands.items()
        }
        timely = {pool: _drop_overdue(report) for pool, report in demands.items()}
        needed = _count_needed(size, demands, arriving)
        needed_in_time = _count_needed(size, timely, arriving)
        self.wanted_hosts = wanted = needed | self._count_forecast(needed, demands, now_s)
        # Tasks that fit at no host go before work that waits for capacity, work that is overdue
        # comes after that, and a burst that is only forecast last, also on hosts reserved for it.
        free = _find_free(views, demands, _count_surplus(needed, host_counts), reserved, spare)
        for_placement = {pool: _count_for_placement(report) for pool, report in demands.items()}
        moves = _move_to_pools(for_placement, host_counts, free, "tasks have no place")
        _apply_moves(moves, host_counts)
        for counts, reason in ((needed_in_time, "work waits"), (needed, "overdue work waits")):
            more = _move_to_pools(counts, host_counts, free, reason)
            _apply_moves(more, host_counts)
            moves += more
        remaining = {view.host for view in free}
        unneeded = _find_free(views, demands, _count_surplus(wanted, host_counts), reserved, spare)
        free = [view for view in unneeded if view.host in remaining]
        moves += _move_to_pools(wanted, host_counts, free, "its turn comes")
        if spare is not None and is_complete:
            moves += self._release_idle(free, demands, spare, now_s)
        return moves

    def _observe_bursts(
        self, size: int, demands: dict[ids.ServiceName, calls.DemandReport], now_s: float
    ) -> None:
        for pool, report in demands.items():
            used = (report.cpu_running - report.cpu_long_running) / max(1, size)
            requested = used + report.cpu_waiting / max(1, size)
            self.bursts.observe(pool, requested, used, now_s)

    def _count_forecast(
        self,
        needed: dict[ids.ServiceName, int],
        demands: dict[ids.ServiceName, calls.DemandReport],
        now_s: float,
    ) -> dict[ids.ServiceName, int]:
        """Return the hosts for pools whose burst is about to begin, where they are more."""
        wanted: dict[ids.ServiceName, int] = {}
        forecast = self.bursts.forecast(now_s)
        lead_s = self.costs.move_s + _REACTION_S
        if forecast is not None and forecast.begins_s - lead_s <= now_s:
            hosts = _HEADROOM * self.bursts.median_peak_hosts / len(forecast.pools)
            for pool in forecast.pools:
                if pool in demands:
                    wanted[pool] = max(needed[pool], demands[pool].min_hosts + math.ceil(hosts))
        return wanted

    def _release_idle(
        self,
        free: list[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        spare: ids.ServiceName,
        now_s: float,
    ) -> list[Move]:
        forecast = self.bursts.forecast(now_s)
        # A host that goes straight to the next pool moves once, and twice by way of the spare pool,
        # so it may idle for as long as one move costs. Where the next burst is forecast for another
        # pool, the host will idle for longer than that.
        moves: list[Move] = []
        for view in free:
            if view.pool == spare:
                continue
            is_other_next = forecast is not None and view.pool not in forecast.pools
            is_over = is_other_next and not self.bursts.is_bursting(view.pool)
            max_idle_s = _IDLE_SETTLE_S if is_over else self.costs.get_move_cost(view.pool)
            if demands[view.pool].idle_s[view.host] >= max_idle_s:
                moves.append(Move(view.host, view.pool, spare, "it idles"))
        return moves


def _count_needed(
    size: int,
    demands: dict[ids.ServiceName, calls.DemandReport],
    arriving_cores: dict[ids.ServiceName, float],
) -> dict[ids.ServiceName, int]:
    """Return the hosts that each pool needs for running, waiting and arriving work."""
    wanted: dict[ids.ServiceName, int] = {}
    for pool, report in demands.items():
        need = _get_needed_millis(report, arriving_cores[pool]) / size if size else 0.0
        # Long-running tasks stay where they are, so only the others need headroom.
        long_running = report.cpu_long_running / size if size else 0.0
        hosts = math.ceil(long_running + _HEADROOM * max(0.0, need - long_running))
        wanted[pool] = max(_MIN_HOSTS, report.min_hosts, hosts, _count_for_placement(report))
    return wanted


def _get_needed_millis(report: calls.DemandReport, arriving_cores: float) -> float:
    """Return the millicores for running work, arriving work and the backlog."""
    arriving = arriving_cores * 1000 + report.cpu_long_running
    backlog = report.cpu_waiting * min(1.0, report.waiting_ms / 1000 / _MAX_BACKLOG_S)
    # Estimates of run times are far off, so the rate is bounded by the work actually present.
    present = _MAX_RATE_FACTOR * (report.cpu_running + report.cpu_waiting)
    return max(report.cpu_running, min(arriving, present)) + backlog


def _drop_overdue(report: calls.DemandReport) -> calls.DemandReport:
    """Return a demand without the work that is overdue."""
    in_time = report.cpu_waiting - report.cpu_overdue
    return msgspec.structs.replace(report, cpu_waiting=in_time, cpu_overdue=0)


def _count_for_placement(report: calls.DemandReport) -> int:
    """Return the hosts needed to place every task, or 0 if all tasks can be placed."""
    return report.open_hosts + report.additional_hosts if report.additional_hosts else 0


def _apply_moves(moves: list[Move], host_counts: collections.Counter[ids.ServiceName]) -> None:
    """Update the host counts as if the moves were done."""
    for move in moves:
        host_counts[move.pool] -= 1
        host_counts[move.target] += 1


def _count_surplus(
    wanted: dict[ids.ServiceName, int], host_counts: collections.Counter[ids.ServiceName]
) -> dict[ids.ServiceName, int]:
    return {pool: host_counts[pool] - count for pool, count in wanted.items()}


def _move_to_pools(
    wanted: dict[ids.ServiceName, int],
    host_counts: collections.Counter[ids.ServiceName],
    free: list[HostView],
    reason: str,
) -> list[Move]:
    """Give the free hosts, one at a time, to the pool that lacks hosts and has the fewest.

    So a pool with a flood of work leaves the others what they need, up to an equal share.
    """
    counts = {pool: host_counts[pool] for pool in wanted}
    moves: list[Move] = []
    while free:
        lacking = [pool for pool, count in counts.items() if count < wanted[pool]]
        if not lacking:
            break
        pool = min(lacking, key=lambda pool: (counts[pool], pool))
        counts[pool] += 1
        view = free.pop(0)
        moves.append(Move(view.host, view.pool, pool, reason))
    return moves


def _is_unusable(view: HostView, demands: dict[ids.ServiceName, calls.DemandReport]) -> bool:
    report = demands.get(view.pool)
    load = report.hosts.get(view.host) if report is not None else None
    return load is not None and load.is_unusable


def _find_free(
    views: list[HostView],
    demands: dict[ids.ServiceName, calls.DemandReport],
    surplus: dict[ids.ServiceName, int],
    reserved: set[ids.HostId],
    spare: ids.ServiceName | None,
) -> list[HostView]:
    """Return the hosts that may move: idle ones of pools with a surplus, then spare ones."""
    free: list[HostView] = []
    for pool, report in demands.items():
        idle = [
            view
            for view in views
            if view.pool == pool
            and view.state is HostState.UP
            and view.host in report.idle_s
            and view.host not in reserved
            and not _is_unusable(view, demands)
        ]
        idle.sort(key=lambda view: -report.idle_s[view.host])
        free += idle[: max(0, surplus[pool])]
    free += [
        view
        for view in views
        if view.state is HostState.UP and view.pool == spare and view.host not in reserved
    ]
    return free
