"""Plan waves of upkeep: choose the hosts to take down next, within a wave's time and bound.

Load pattern: most hosts of a wave are off, idle or soon empty. The others hold long-running tasks,
which leave a few at a time within the budgets of their steps. Taken last, they would all remain
when the time is over, so some of them are evacuated from the beginning, beside the others.
"""

import collections
import collections.abc
import dataclasses
import math

import msgspec

from nutmegshelf import ids, rebalancing

# Time for evacuating a host and for its return, beside the upkeep itself.
_OVERHEAD_S = 3.0
# Waves are planned to end this fraction of their duration early.
_RESERVE_FRACTION = 0.25
# Time for the evacuation of a host with long-running tasks.
_SLOW_EVACUATION_S = 6.0
# The same reserve for these hosts, which begin early, and their share of the wave's bound.
_SLOW_RESERVE_FRACTION = 0.1
_SLOW_SHARE = 0.5


class Wave(msgspec.Struct, frozen=True, kw_only=True):
    """A request for the upkeep of some hosts within a time, with a bound on concurrent ones."""

    number: int
    hosts: tuple[ids.HostId, ...]
    duration_s: float
    max_concurrent: int = msgspec.field(name="at_once")


class WaveRow(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The stored progress of a wave."""

    number: int
    began_ms: int
    done: set[ids.HostId] = msgspec.field(default_factory=set)
    is_finished: bool = False


def find_hosts_down(
    views: collections.abc.Iterable[rebalancing.HostView], recently_ordered: set[ids.HostId]
) -> set[ids.HostId]:
    """Return the hosts that count as down for a wave, whoever took them down.

    An earlier holder's last orders may not show in the list yet, so hosts that it ordered recently
    count too. Hosts that only move to another pool don't count.
    """
    return recently_ordered | {
        view.host for view in views if view.state is rebalancing.HostState.UPKEEP
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A host of a wave that still needs its upkeep, with what determines its cost."""

    host: ids.HostId
    is_off: bool
    idle_s: float | None
    long_running_count: int
    cpu_millis: int

    @property
    def is_slow(self) -> bool:
        """Return whether the host takes long to evacuate."""
        return not self.is_off and self.long_running_count > 0


@dataclasses.dataclass(slots=True)
class WavePlan:
    """The plan of one wave and the state of its hosts."""

    wave: Wave
    row: WaveRow
    down_since_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    clearing_since_s: dict[ids.HostId, float] = dataclasses.field(default_factory=dict)
    # How often each host was not evacuated in time.
    clear_failures: collections.Counter[ids.HostId] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Hosts that were evacuated early, as their tasks take long to leave.
    _slow: set[ids.HostId] = dataclasses.field(default_factory=set)

    def get_remaining(self, present: set[ids.HostId]) -> list[ids.HostId]:
        """Return the hosts that still need their upkeep, without those that left the fleet."""
        return [host for host in self.wave.hosts if host in present and host not in self.row.done]

    def choose(
        self,
        candidates: list[Candidate],
        hosts_down: set[ids.HostId],
        now_ms: int,
        upkeep_s: float,
    ) -> list[ids.HostId]:
        """Return the hosts to evacuate now: cheap ones at once, others at an even pace.

        Hosts with long-running tasks have a pace of their own, so that they begin early.

        Hosts that are down count, whoever took them down. In a wave that is short of time the next
        hosts are evacuated while the ones before them are down.
        """
        pace = self._get_pace(len(candidates), now_ms, upkeep_s)
        is_tight = pace >= self.wave.max_concurrent
        ahead = self.wave.max_concurrent if is_tight else 0
        slots = (
            self.wave.max_concurrent
            + ahead
            - len(self.get_down(hosts_down))
            - len(self.clearing_since_s)
        )
        waiting = [
            candidate for candidate in candidates if candidate.host not in self.clearing_since_s
        ]
        chosen = self._choose_slow(waiting, max(0, slots), now_ms, upkeep_s)
        slots -= len(chosen)
        waiting = [candidate for candidate in waiting if candidate.host not in chosen]
        waiting.sort(
            key=lambda candidate: (self.clear_failures[candidate.host], _get_cost(candidate))
        )
        for candidate in waiting[: max(0, slots)]:
            is_cheap = candidate.is_off or candidate.idle_s is not None
            under_way = len(self.get_down(hosts_down)) + len(self.clearing_since_s) + len(chosen)
            if is_cheap or under_way < pace + ahead:
                chosen.append(candidate.host)
        return chosen

    def _choose_slow(
        self, waiting: list[Candidate], slots: int, now_ms: int, upkeep_s: float
    ) -> list[ids.HostId]:
        """Return hosts with long-running tasks to evacuate now, those with most tasks first."""
        slow = [candidate for candidate in waiting if candidate.is_slow]
        slow.sort(
            key=lambda candidate: (
                self.clear_failures[candidate.host],
                -candidate.long_running_count,
                candidate.host,
            )
        )
        under_way = len(self._slow & self.clearing_since_s.keys())
        time_s = self._get_remaining_s(_SLOW_RESERVE_FRACTION, now_ms)
        rounds = max(1, math.floor(time_s / (upkeep_s + _SLOW_EVACUATION_S)))
        pace = min(
            math.floor(_SLOW_SHARE * self.wave.max_concurrent),
            math.ceil((len(slow) + under_way) / rounds),
        )
        chosen = [candidate.host for candidate in slow[: max(0, min(slots, pace - under_way))]]
        self._slow.update(chosen)
        return chosen

    def get_down(self, hosts_down: set[ids.HostId]) -> set[ids.HostId]:
        """Return the hosts of the wave that are down, or may be."""
        return (hosts_down & set(self.wave.hosts)) | self.down_since_s.keys()

    def defer(self, host: ids.HostId) -> None:
        """Stop evacuating a host that was not clear in time, and prefer the others."""
        self.clearing_since_s.pop(host, None)
        self.clear_failures[host] += 1

    def try_begin(self, host: ids.HostId, hosts_down: set[ids.HostId], now_s: float) -> bool:
        """Mark a host as down, or return False if the wave's bound is reached."""
        if len(self.get_down(hosts_down)) >= self.wave.max_concurrent:
            return False
        self.down_since_s[host] = now_s
        return True

    def _get_pace(self, remaining: int, now_ms: int, upkeep_s: float) -> int:
        round_s = upkeep_s + _OVERHEAD_S
        rounds = max(1, math.floor(self._get_remaining_s(_RESERVE_FRACTION, now_ms) / round_s))
        return min(self.wave.max_concurrent, math.ceil(remaining / rounds))

    def _get_remaining_s(self, reserve_fraction: float, now_ms: int) -> float:
        elapsed_s = (now_ms - self.row.began_ms) / 1000
        return self.wave.duration_s * (1 - reserve_fraction) - elapsed_s


def _get_cost(candidate: Candidate) -> tuple[bool, bool, int, int, ids.HostId]:
    return (
        not candidate.is_off,
        candidate.idle_s is None,
        candidate.long_running_count,
        candidate.cpu_millis,
        candidate.host,
    )
