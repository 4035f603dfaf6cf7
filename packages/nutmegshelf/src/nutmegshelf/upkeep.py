"""Plan waves of upkeep: which hosts go down next, so that a wave is done in time and in bounds."""

import collections
import collections.abc
import dataclasses
import math

import msgspec

from nutmegshelf import ids, rebalancing

# Time that clearing a host and its return take beside the upkeep itself.
_OVERHEAD_S = 3.0
# Waves are planned to end this much before they are due.
_RESERVE_FRACTION = 0.25


class Wave(msgspec.Struct, frozen=True, kw_only=True):
    """Ask that each of some hosts has its upkeep in time, with a bound on how many at once."""

    number: int
    hosts: tuple[ids.HostId, ...]
    duration_s: float
    max_concurrent: int = msgspec.field(name="at_once")


class WaveRow(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Hold how far a wave has come, as its row has it."""

    number: int
    began_ms: int
    done: set[ids.HostId] = msgspec.field(default_factory=set)
    is_finished: bool = False


def find_hosts_down(
    views: collections.abc.Iterable[rebalancing.HostView], resting: set[ids.HostId]
) -> set[ids.HostId]:
    """Give the hosts that count as down for a wave, whoever took them down.

    An earlier holder's last orders may not show in the list yet, so its hosts count while they
    rest. Hosts that only change their pool don't count.
    """
    return resting | {view.host for view in views if view.state is rebalancing.HostState.UPKEEP}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a host of a wave that has not had its upkeep: what its absence would cost."""

    host: ids.HostId
    is_off: bool
    idle_s: float | None
    long_running_count: int
    cpu_millis: int


@dataclasses.dataclass(slots=True)
class WavePlan:
    """Own the choices for one wave."""

    wave: Wave
    row: WaveRow
    down_since_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    clearing_since_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    # How often each host was not cleared in time.
    clear_failures: collections.Counter[ids.HostId] = dataclasses.field(
        default_factory=collections.Counter
    )

    def get_remaining(self, present: set[ids.HostId]) -> list[ids.HostId]:
        """Give the hosts that still have to go down; those that left are not waited for."""
        return [host for host in self.wave.hosts if host in present and host not in self.row.done]

    def choose(
        self,
        candidates: list[Candidate],
        away: set[ids.HostId],
        now_ms: int,
        upkeep_s: float,
    ) -> list[ids.HostId]:
        """Give the hosts to clear now: those that cost little at once, others at an even pace.

        Hosts that are away count, whoever took them down. In a wave that is short of time the next
        hosts are cleared while the ones before them are down.
        """
        pace = self._pace(len(candidates), now_ms, upkeep_s)
        is_tight = pace >= self.wave.max_concurrent
        ahead = self.wave.max_concurrent if is_tight else 0
        room = (
            self.wave.max_concurrent + ahead - len(self.get_down(away)) - len(self.clearing_since_s)
        )
        waiting = [one for one in candidates if one.host not in self.clearing_since_s]
        chosen: list[ids.HostId] = []
        waiting.sort(key=lambda one: (self.clear_failures[one.host], _cost(one)))
        for one in waiting[: max(0, room)]:
            is_cheap = one.is_off or one.idle_s is not None
            under_way = len(self.get_down(away)) + len(self.clearing_since_s) + len(chosen)
            if is_cheap or under_way < pace + ahead:
                chosen.append(one.host)
        return chosen

    def get_down(self, away: set[ids.HostId]) -> set[ids.HostId]:
        """Give the hosts of the wave that are down, or may be."""
        return (away & set(self.wave.hosts)) | self.down_since_s.keys()

    def defer(self, host: ids.HostId) -> None:
        """Take the other hosts first after one was not cleared in time."""
        self.clearing_since_s.pop(host, None)
        self.clear_failures[host] += 1

    def try_begin(self, host: ids.HostId, away: set[ids.HostId], now_s: float) -> bool:
        """Take one of the places for hosts that are down, or say that there is none."""
        if len(self.get_down(away)) >= self.wave.max_concurrent:
            return False
        self.down_since_s[host] = now_s
        return True

    def _pace(self, left: int, now_ms: int, upkeep_s: float) -> int:
        elapsed_s = (now_ms - self.row.began_ms) / 1000
        remaining_s = self.wave.duration_s * (1 - _RESERVE_FRACTION) - elapsed_s
        each_s = upkeep_s + _OVERHEAD_S
        rounds = max(1, math.floor(remaining_s / each_s))
        return min(self.wave.max_concurrent, math.ceil(left / rounds))


def _cost(one: Candidate) -> tuple[bool, bool, int, int, ids.HostId]:
    return not one.is_off, one.idle_s is None, one.long_running_count, one.cpu_millis, one.host
