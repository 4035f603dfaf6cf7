"""Compute how many minions of a service may be unavailable under its availability budget."""

import collections
import dataclasses
import heapq
import math

import msgspec

from nutmegshelf import codecs, declarations, ids, platform

PREFIX = "budgets/"
_ZONE_FAILURE_RACKS = 2
_ROUNDING_TOLERANCE = 1e-9


class BudgetRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored list of the draining workers of a service; every grant and release updates it."""

    service: ids.ServiceName
    draining: tuple[ids.WorkerId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Budget row together with the version at which it was read."""

    row: BudgetRow
    version: int

    @property
    def condition(self) -> platform.Condition:
        """Return a condition that fails if the row has changed since it was read."""
        return platform.Condition(key(self.row.service), self.version)

    def add_worker(self, worker: ids.WorkerId) -> platform.Write:
        """Return the write that adds a worker to the draining ones."""
        row = BudgetRow(
            service=self.row.service, draining=tuple(sorted({*self.row.draining, worker}))
        )
        return platform.Write(key(self.row.service), codecs.pack(row))

    def remove_worker(self, worker: ids.WorkerId) -> platform.Write:
        """Return the write that removes a worker from the draining ones."""
        remaining = tuple(other for other in self.row.draining if other != worker)
        row = BudgetRow(service=self.row.service, draining=remaining)
        return platform.Write(key(self.row.service), codecs.pack(row))


@dataclasses.dataclass(frozen=True, slots=True)
class MinionStatus:
    """Location and availability of a minion, and whether its worker is out of service by order."""

    minion: ids.MinionId
    worker: ids.WorkerId
    rack: ids.RackName
    zone: ids.ZoneName
    is_up: bool
    is_out_by_order: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Required and available minions of a service, now and after the loss of its largest rack."""

    required: int
    available: int
    after_rack_loss: int

    @property
    def is_met(self) -> bool:
        """Return whether enough minions are available now."""
        return self.available >= self.required

    @property
    def headroom(self) -> int:
        """Return how many minions remain above the requirement after the loss of one more rack."""
        return self.after_rack_loss - self.required


def key(service: ids.ServiceName) -> str:
    """Return the table key of a service's budget row."""
    return PREFIX + service


def decode(row: platform.Row, service: ids.ServiceName) -> Budget:
    """Return the budget stored in a table row; an absent row has no draining workers."""
    if not row.version:
        return Budget(BudgetRow(service=service), 0)
    return Budget(codecs.unpack(row.value, BudgetRow), row.version)


def count_required(declared: declarations.DeclarationSet, service: ids.ServiceName) -> int:
    """Return how many minions the strictest budget of a service requires."""
    wanted = declared.services[service].wanted_minions
    fractions = [
        budget.min_available_fraction
        for budget in declared.budgets.values()
        if budget.service == service
    ]
    return math.ceil(wanted * max(fractions, default=0.0) - _ROUNDING_TOLERANCE)


def get_status(
    required: int, minions: list[MinionStatus], unavailable: frozenset[ids.WorkerId]
) -> Status:
    """Return a service's status when some workers are unavailable."""
    by_rack = _count_up_by_rack(minions, unavailable)
    available = by_rack.total()
    return Status(required, available, available - max(by_rack.values(), default=0))


def count_drainable(required: int, minions: list[MinionStatus]) -> int:
    """Return how many minions may drain at once when all other ones are available."""
    by_rack = _count_up_by_rack(minions, frozenset())
    heap = [-count for count in by_rack.values()]
    heapq.heapify(heap)
    remaining = by_rack.total()
    drainable = 0
    while heap and remaining > 0:
        # Drain from the largest rack, as its loss is the one that is reserved for.
        heapq.heapreplace(heap, heap[0] + 1)
        remaining -= 1
        if remaining + heap[0] < required:
            break
        drainable += 1
    return drainable


def _count_up_by_rack(
    minions: list[MinionStatus], unavailable: frozenset[ids.WorkerId]
) -> collections.Counter[ids.RackName]:
    failed_zones = _find_failed_zones(minions)
    return collections.Counter(
        minion.rack
        for minion in minions
        if minion.is_up and minion.worker not in unavailable and minion.zone not in failed_zones
    )


def _find_failed_zones(minions: list[MinionStatus]) -> set[ids.ZoneName]:
    # When two racks of a zone are down, the whole zone may be failing and the lagging list may
    # show only part of it. A zone where all outages are by own orders doesn't count, as its drains
    # would otherwise cancel each other.
    down_racks: dict[ids.ZoneName, set[ids.RackName]] = collections.defaultdict(set)
    zones_with_failures: set[ids.ZoneName] = set()
    for minion in minions:
        if not minion.is_up:
            down_racks[minion.zone].add(minion.rack)
            if not minion.is_out_by_order:
                zones_with_failures.add(minion.zone)
    return {zone for zone in zones_with_failures if len(down_racks[zone]) >= _ZONE_FAILURE_RACKS}
