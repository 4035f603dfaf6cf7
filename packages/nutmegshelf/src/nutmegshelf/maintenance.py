"""Plan the maintenance of every worker within its period, oldest first."""

import dataclasses
import math

from nutmegshelf import declarations, drains, hosts, ids

DAY_S = 86_400.0
_EARLY_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Say whether a pool's plan meets its period, and if not, why."""

    pool: ids.PoolName
    needed_s: float
    period_s: float
    reason: str

    @property
    def is_met(self) -> bool:
        """Say whether every worker gets its turn in time."""
        return self.needed_s <= self.period_s


def select_due(
    rule: declarations.Maintenance, pool_hosts: list[hosts.HostRow], now_s: float
) -> list[hosts.HostRow]:
    """Give the workers whose turn it is, oldest first, at most as many as may go at once."""
    period_s = rule.every_days * DAY_S
    under_way = [row for row in pool_hosts if row.purpose is hosts.Purpose.MAINTENANCE]
    free = rule.at_most_at_once - len(under_way)
    due = [
        row
        for row in pool_hosts
        if row.step is hosts.HostStep.SERVING
        and now_s - row.maintained_at_s >= _EARLY_FRACTION * period_s
    ]
    if free <= 0 or not due:
        return []
    # A worker in a rack or zone that already has one away costs no further failure domain.
    racks = {row.rack for row in under_way}
    zones = {row.zone for row in under_way}
    due.sort(
        key=lambda row: (
            math.floor(row.maintained_at_s / DAY_S),
            bool(racks) and row.rack not in racks,
            bool(zones) and row.zone not in zones,
            row.worker,
        )
    )
    return due[:free]


def forecast(
    view: drains.Snapshot, rule: declarations.Maintenance, turn_s: float, now_s: float
) -> Forecast:
    """Work out whether the pool's workers can all have their turn within the period."""
    rows = view.get_host_rows(rule.pool)
    period_s = rule.every_days * DAY_S
    rooms = [
        view.count_drainable(service)
        for service, declared in view.declared.services.items()
        if declared.pool == rule.pool
    ]
    at_once = min([rule.at_most_at_once, *rooms])
    if at_once <= 0:
        reason = "no worker can drain within the budgets and one more rack lost"
        return Forecast(rule.pool, math.inf, period_s, reason)
    finish_s = _latest_overrun_s(rows, at_once, turn_s, period_s, now_s)
    over_days = finish_s / DAY_S
    reason = f"{over_days:.1f} days over: {len(rows)} workers, {at_once} at once, {turn_s:g} s each"
    return Forecast(rule.pool, period_s + finish_s, period_s, reason)


def _latest_overrun_s(
    rows: list[hosts.HostRow], at_once: int, turn_s: float, period_s: float, now_s: float
) -> float:
    overruns = [
        now_s + (index // at_once + 1) * turn_s - (row.maintained_at_s + period_s)
        for index, row in enumerate(sorted(rows, key=lambda row: row.maintained_at_s))
    ]
    return max(overruns, default=-period_s)
