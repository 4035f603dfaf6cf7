"""Decide how many hosts each pool needs and which hosts move.

Load pattern: queues take turns. In its turn a queue asks several times its mean for some
seconds, and a twentieth in between. Hosts that idle in a pool are paid for, a move costs about as
much as a host that idles for a second, and takes time. So idle hosts go to the spare pool soon,
and pools with waiting work get hosts from idle pools first, then from the spare pool.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

from nutmegshelf import bursts, calls, costs, ids


class HostState(enum.Enum):
    """Say what a host does."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """Hold what the platform says of a host, and which worker it runs where that is said."""

    host: ids.HostId
    pool: ids.ServiceName
    state: HostState
    zone: ids.ZoneName
    rack: ids.RackName
    cpu_millis: int
    worker: ids.WorkerId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move a host to another pool."""

    host: ids.HostId
    pool: ids.ServiceName
    target: ids.ServiceName
    reason: str


_LEAST_HOSTS = 1
# Room for tasks that don't share a host well, as a part of the need.
_HEADROOM = 1.15
# Work that waits is to be done within this time, as callers leave little more.
_CLEARED_S = 0.3
# The time over which the rate of arriving work is taken.
_RATE_S = 2.0
_MOST_AHEAD = 1.5
# Time from the choice of a move until the host's worker is known, beside the move itself.
_REACTION_S = 0.8
# A host whose worker is not listed for this long after it came is no room.
_REPORTED_S = 3.0
# A host that is not needed for long is put away when it idled for this time.
_SETTLE_S = 0.4


@dataclasses.dataclass(slots=True)
class _Arrivals:
    samples: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def take(self, total_core_ms: int, now_s: float) -> float:
        """Take the work that arrived so far; gives the cores that keep up with it."""
        if self.samples and total_core_ms < self.samples[-1][1]:
            self.samples.clear()
        self.samples = [one for one in self.samples if one[0] >= now_s - _RATE_S]
        self.samples.append((now_s, total_core_ms))
        first_s, first = self.samples[0]
        # A young series is not scaled up, as a single job would look like a flood.
        return (total_core_ms - first) / 1000 / max(_RATE_S, now_s - first_s)


class Planner:
    """Own the forecast and the choice of moves."""

    def __init__(self, declared: costs.Costs | None = None) -> None:
        self.costs = declared or costs.Costs()
        self._arrivals: dict[ids.ServiceName, _Arrivals] = {}
        self.bursts = bursts.BurstForecaster()
        self.wanted_hosts: dict[ids.ServiceName, int] = {}
        # Hosts that are up and that their pool does not report, since when.
        self._unreported_s: dict[ids.HostId, float] = {}

    def _find_unreported(
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
        held: set[ids.HostId],
        spare: ids.ServiceName | None,
        now_s: float,
        *,
        is_complete: bool = True,
    ) -> list[Move]:
        """Choose moves; hosts that are held for other reasons stay.

        Where the need of some pool is not known, idle hosts are not put away, as it may want them.
        """
        views = list(hosts)
        self._find_unreported(views, demands, now_s)
        coming = collections.Counter(
            view.pool
            for view in views
            if view.state is not HostState.DOWN
            and not _is_useless(view, demands)
            and now_s - self._unreported_s.get(view.host, now_s) < _REPORTED_S
        )
        needed = self._needed(views, demands, now_s)
        self.wanted_hosts = wanted = needed | self._foreseen(needed, demands, now_s)
        # What runs nowhere goes before work that waits for its turn, and both before a turn that is
        # only foreseen, also on hosts kept for it.
        free = _free(views, demands, _surplus(needed, coming), held, spare)
        placed = {pool: _placed(report) for pool, report in demands.items()}
        moves = _fill(placed, coming, free, "tasks have no place")
        _count(moves, coming)
        more = _fill(needed, coming, free, "work waits")
        _count(more, coming)
        moves += more
        left = {view.host for view in free}
        kept = _free(views, demands, _surplus(wanted, coming), held, spare)
        free = [view for view in kept if view.host in left]
        moves += _fill(wanted, coming, free, "its turn comes")
        if spare is not None and is_complete:
            moves += self._put_away(free, demands, spare, now_s)
        return moves

    def _needed(
        self,
        views: list[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        now_s: float,
    ) -> dict[ids.ServiceName, int]:
        """Give the hosts that each pool needs for what runs, waits and arrives."""
        size = max((view.cpu_millis for view in views), default=0)
        wanted: dict[ids.ServiceName, int] = {}
        for pool, report in demands.items():
            need = self._need_cpu(pool, report, now_s) / size if size else 0.0
            used = (report.cpu_running - report.cpu_long_running) / max(1, size)
            asked = used + report.cpu_waiting / max(1, size)
            self.bursts.observe(pool, asked, used, now_s)
            # Tasks that last stay where they are, so only the others need room beside what is used.
            lasting = report.cpu_long_running / size if size else 0.0
            hosts = math.ceil(lasting + _HEADROOM * max(0.0, need - lasting))
            wanted[pool] = max(_LEAST_HOSTS, report.min_hosts, hosts, _placed(report))
        return wanted

    def _foreseen(
        self,
        needed: dict[ids.ServiceName, int],
        demands: dict[ids.ServiceName, calls.DemandReport],
        now_s: float,
    ) -> dict[ids.ServiceName, int]:
        """Give the hosts of the pools whose turn is about to begin, where they are more."""
        wanted: dict[ids.ServiceName, int] = {}
        coming = self.bursts.forecast(now_s)
        lead_s = self.costs.move_s + _REACTION_S
        if coming is not None and coming.begins_s - lead_s <= now_s:
            hosts = _HEADROOM * self.bursts.median_peak_hosts / len(coming.pools)
            for pool in coming.pools:
                if pool in demands:
                    wanted[pool] = max(needed[pool], demands[pool].min_hosts + math.ceil(hosts))
        return wanted

    def _need_cpu(self, pool: ids.ServiceName, report: calls.DemandReport, now_s: float) -> float:
        """Give the cores that do what runs, keep up with what comes and clear what waits."""
        cores = self._arrivals.setdefault(pool, _Arrivals()).take(report.arrived_core_ms, now_s)
        keeps_up = cores * 1000 + report.cpu_long_running
        clears = report.cpu_waiting * min(1.0, report.waiting_ms / 1000 / _CLEARED_S)
        # Estimates are off by far, so a rate counts only as far as work is really there.
        seen = _MOST_AHEAD * (report.cpu_running + report.cpu_waiting)
        return max(report.cpu_running, min(keeps_up, seen)) + clears

    def _put_away(
        self,
        free: list[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        spare: ids.ServiceName,
        now_s: float,
    ) -> list[Move]:
        coming = self.bursts.forecast(now_s)
        # A host that goes straight to the next pool moves once, by way of the spare pool twice, so
        # it idles for what one move costs. Where the next turn is known and another pool's, the
        # host is surely idle for longer.
        moves: list[Move] = []
        for view in free:
            if view.pool == spare:
                continue
            known = coming is not None and view.pool not in coming.pools
            is_over = known and not self.bursts.is_bursting(view.pool)
            patience_s = _SETTLE_S if is_over else self.costs.get_move_cost(view.pool)
            if demands[view.pool].idle_s[view.host] >= patience_s:
                moves.append(Move(view.host, view.pool, spare, "it idles"))
        return moves


def _placed(report: calls.DemandReport) -> int:
    """Give how many hosts it takes until every task has a place, or 0 where each has one."""
    return report.open_hosts + report.additional_hosts if report.additional_hosts else 0


def _count(moves: list[Move], coming: collections.Counter[ids.ServiceName]) -> None:
    """Count moves as done."""
    for move in moves:
        coming[move.pool] -= 1
        coming[move.target] += 1


def _surplus(
    wanted: dict[ids.ServiceName, int], coming: collections.Counter[ids.ServiceName]
) -> dict[ids.ServiceName, int]:
    return {pool: coming[pool] - count for pool, count in wanted.items()}


def _fill(
    wanted: dict[ids.ServiceName, int],
    coming: collections.Counter[ids.ServiceName],
    free: list[HostView],
    reason: str,
) -> list[Move]:
    """Choose moves for the pools that lack hosts, the neediest first; takes them from the free."""
    lacking = {pool: count - coming[pool] for pool, count in wanted.items()}
    moves: list[Move] = []
    for pool in sorted(lacking, key=lambda pool: -lacking[pool]):
        for _ in range(min(lacking[pool], len(free))):
            view = free.pop(0)
            moves.append(Move(view.host, view.pool, pool, reason))
    return moves


def _is_useless(view: HostView, demands: dict[ids.ServiceName, calls.DemandReport]) -> bool:
    report = demands.get(view.pool)
    load = report.hosts.get(view.host) if report is not None else None
    return load is not None and load.is_unusable


def _free(
    views: list[HostView],
    demands: dict[ids.ServiceName, calls.DemandReport],
    surplus: dict[ids.ServiceName, int],
    held: set[ids.HostId],
    spare: ids.ServiceName | None,
) -> list[HostView]:
    """Give the hosts that may go: idle ones of pools with a surplus, then those that are off."""
    free: list[HostView] = []
    for pool, report in demands.items():
        idle = [
            view
            for view in views
            if view.pool == pool
            and view.state is HostState.UP
            and view.host in report.idle_s
            and view.host not in held
            and not _is_useless(view, demands)
        ]
        idle.sort(key=lambda view: -report.idle_s[view.host])
        free += idle[: max(0, surplus[pool])]
    free += [
        view
        for view in views
        if view.state is HostState.UP and view.pool == spare and view.host not in held
    ]
    return free
