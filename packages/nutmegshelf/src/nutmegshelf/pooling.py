"""Decide how many hosts each pool needs and which hosts move.

Load pattern: queues take turns. In its turn a queue asks several times its mean for some
seconds, and a twentieth in between. Hosts that idle in a pool are paid for, a move costs about as
much as a host that idles for a second, and takes time. So idle hosts go to the spare pool soon,
and pools with waiting work get hosts from idle pools first, then from the spare pool.
"""

import collections.abc
import dataclasses
import enum
import math

from nutmegshelf import calls, ids


class HostState(enum.Enum):
    """Say what a host does."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """Hold what the platform says of a host."""

    host: ids.HostId
    pool: ids.ServiceName
    state: HostState
    zone: ids.ZoneName
    rack: ids.RackName
    cpu_millis: int


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Declare what idle hosts and moves cost, in seconds of a paid host."""

    move_host_s: float = 1.15
    move_s: float = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move a host to another pool."""

    host: ids.HostId
    pool: ids.ServiceName
    target: ids.ServiceName
    reason: str


# A pool keeps room for this much more than what runs and waits.
_HEADROOM = 1.25
_LEAST_HOSTS = 2


@dataclasses.dataclass(slots=True)
class Planner:
    """Own the choice of moves."""

    spare: ids.ServiceName | None
    costs: Costs = dataclasses.field(default_factory=Costs)

    def plan(
        self,
        hosts: collections.abc.Iterable[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        held: set[ids.HostId],
    ) -> list[Move]:
        """Choose moves; hosts that are held for other reasons stay."""
        views = list(hosts)
        coming: dict[ids.ServiceName, int] = {}
        for view in views:
            coming[view.pool] = coming.get(view.pool, 0) + (view.state is not HostState.DOWN)
        wanted = {
            pool: _wanted(report, [view for view in views if view.pool == pool])
            for pool, report in demands.items()
        }
        lacking = {
            pool: count - coming.get(pool, 0)
            for pool, count in wanted.items()
            if count > coming.get(pool, 0)
        }
        free = self._free(views, demands, wanted, coming, held)
        moves: list[Move] = []
        for pool in sorted(lacking, key=lambda pool: -lacking[pool]):
            for _ in range(lacking[pool]):
                if not free:
                    break
                view = free.pop(0)
                moves.append(Move(view.host, view.pool, pool, "work waits"))
        moves += self._put_away(free, demands)
        return moves

    def _free(
        self,
        views: list[HostView],
        demands: dict[ids.ServiceName, calls.DemandReport],
        wanted: dict[ids.ServiceName, int],
        coming: dict[ids.ServiceName, int],
        held: set[ids.HostId],
    ) -> list[HostView]:
        """Give the hosts that may go, those of pools with the most to spare first."""
        free: list[HostView] = []
        for view in views:
            if view.state is HostState.UP and view.pool == self.spare and view.host not in held:
                free.append(view)
        for pool, report in demands.items():
            surplus = coming.get(pool, 0) - wanted[pool]
            idle = [
                view
                for view in views
                if view.pool == pool
                and view.state is HostState.UP
                and view.host in report.idle_s
                and view.host not in held
            ]
            idle.sort(key=lambda view: -report.idle_s[view.host])
            free[:0] = idle[: max(0, surplus)]
        return free

    def _put_away(
        self, free: list[HostView], demands: dict[ids.ServiceName, calls.DemandReport]
    ) -> list[Move]:
        if self.spare is None:
            return []
        # A host is put away and fetched back for two moves, so it idles that long first.
        patience_s = 2 * self.costs.move_host_s
        return [
            Move(view.host, view.pool, self.spare, "it idles")
            for view in free
            if view.pool != self.spare and demands[view.pool].idle_s[view.host] >= patience_s
        ]


def _wanted(report: calls.DemandReport, own: list[HostView]) -> int:
    size = max((view.cpu_millis for view in own), default=0) or report.host_cpu_millis
    if not size:
        return _LEAST_HOSTS
    need = report.cpu_running + report.cpu_waiting
    return max(_LEAST_HOSTS, report.least_hosts, math.ceil(_HEADROOM * need / size))
