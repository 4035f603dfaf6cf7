"""Count what of a service may still be taken away."""

import collections
import dataclasses
import heapq
import math

import msgspec

from nutmegshelf import codecs, declarations, ids, platform

PREFIX = "budgets/"
_WAVE_RACKS = 2
_ROUNDING = 1e-9


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the workers that drain at a service's cost; every grant and return goes through it."""

    service: ids.ServiceName
    draining: tuple[ids.WorkerId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Pair a budget's row with the version that it was read at."""

    row: BudgetRow
    version: int

    @property
    def condition(self) -> platform.Condition:
        """Demand that the row did not change since it was read."""
        return platform.Condition(key(self.row.service), self.version)

    def add_worker(self, worker: ids.WorkerId) -> platform.Write:
        """Count one more worker as draining."""
        row = BudgetRow(
            service=self.row.service, draining=tuple(sorted({*self.row.draining, worker}))
        )
        return platform.Write(key(self.row.service), codecs.pack(row))

    def remove_worker(self, worker: ids.WorkerId) -> platform.Write:
        """Count a worker as draining no longer."""
        left = tuple(other for other in self.row.draining if other != worker)
        row = BudgetRow(service=self.row.service, draining=left)
        return platform.Write(key(self.row.service), codecs.pack(row))


@dataclasses.dataclass(frozen=True, slots=True)
class MinionStatus:
    """Say where one minion runs, whether it is up, and whether its worker was ordered away."""

    minion: ids.MinionId
    worker: ids.WorkerId
    rack: ids.RackName
    zone: ids.ZoneName
    is_up: bool
    is_out_by_order: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Say what a budget demands, what is up, and what would be after the worst rack is lost."""

    required: int
    available: int
    after_rack_loss: int

    @property
    def is_met(self) -> bool:
        """Say whether the budget holds now."""
        return self.available >= self.required

    @property
    def headroom(self) -> int:
        """Count the minions that may still go with one more rack lost."""
        return self.after_rack_loss - self.required


def key(service: ids.ServiceName) -> str:
    """Name the row of a service's budget."""
    return PREFIX + service


def decode(row: platform.Row, service: ids.ServiceName) -> Budget:
    """Decode a budget's row; one that does not exist drains nothing."""
    if not row.version:
        return Budget(BudgetRow(service=service), 0)
    return Budget(codecs.unpack(row.value, BudgetRow), row.version)


def count_required(declared: declarations.DeclarationSet, service: ids.ServiceName) -> int:
    """Count the minions that a service's strictest budget demands."""
    wanted = declared.services[service].wanted_minions
    fractions = [
        budget.min_available_fraction
        for budget in declared.budgets.values()
        if budget.service == service
    ]
    return math.ceil(wanted * max(fractions, default=0.0) - _ROUNDING)


def get_status(demanded: int, places: list[MinionStatus], away: frozenset[ids.WorkerId]) -> Status:
    """Count what is up without the workers that are away, and with the worst rack lost too."""
    by_rack = _up_by_rack(places, away)
    available = by_rack.total()
    return Status(demanded, available, available - max(by_rack.values(), default=0))


def count_drainable(demanded: int, places: list[MinionStatus]) -> int:
    """Count how many minions may drain at once when nothing else is away."""
    by_rack = _up_by_rack(places, frozenset())
    heap = [-count for count in by_rack.values()]
    heapq.heapify(heap)
    left = by_rack.total()
    taken = 0
    while heap and left > 0:
        # Taking from the fullest rack costs least, as that rack is the one that may be lost.
        heapq.heapreplace(heap, heap[0] + 1)
        left -= 1
        if left + heap[0] < demanded:
            break
        taken += 1
    return taken


def _up_by_rack(
    places: list[MinionStatus], away: frozenset[ids.WorkerId]
) -> collections.Counter[ids.RackName]:
    waves = _wave_zones(places)
    return collections.Counter(
        place.rack
        for place in places
        if place.is_up and place.worker not in away and place.zone not in waves
    )


def _wave_zones(places: list[MinionStatus]) -> set[ids.ZoneName]:
    # Two racks of a zone failing together may be a wave that the lagging list shows in part; but
    # workers that only drain by own orders don't make one, or they would call each other back.
    racks: dict[ids.ZoneName, set[ids.RackName]] = collections.defaultdict(set)
    failed: set[ids.ZoneName] = set()
    for place in places:
        if not place.is_up:
            racks[place.zone].add(place.rack)
            if not place.is_out_by_order:
                failed.add(place.zone)
    return {zone for zone in failed if len(racks[zone]) >= _WAVE_RACKS}
