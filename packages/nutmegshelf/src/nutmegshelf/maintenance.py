"""Plan the periodic maintenance of workers, longest without maintenance first."""

import dataclasses
import math

from nutmegshelf import declarations, drains, hosts, ids

DAY_S = 86_400.0
_DUE_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Time that a pool needs to maintain all its workers, compared with the declared period."""

    pool: ids.PoolName
    needed_s: float
    period_s: float
    reason: str

    @property
    def is_met(self) -> bool:
        """Return whether every worker is maintained within the period."""
        return self.needed_s <= self.period_s


def select_due(
    rule: declarations.Maintenance, pool_rows: list[hosts.HostRow], now_s: float
) -> list[hosts.HostRow]:
    """Return the workers to maintain now, oldest maintenance first, within the limit at once."""
    period_s = rule.every_days * DAY_S
    in_maintenance = [row for row in pool_rows if row.purpose is hosts.Purpose.MAINTENANCE]
    free_count = rule.at_most_at_once - len(in_maintenance)
    due = [
        row
        for row in pool_rows
        if row.step is hosts.HostStep.SERVING
        and now_s - row.maintained_at_s >= _DUE_FRACTION * period_s
    ]
    if free_count <= 0 or not due:
        return []
    # Prefer racks and zones that already have a worker in maintenance, so that no further failure
    # domain is affected.
    racks = {row.rack for row in in_maintenance}
    zones = {row.zone for row in in_maintenance}
    due.sort(
        key=lambda row: (
            math.floor(row.maintained_at_s / DAY_S),
            bool(racks) and row.rack not in racks,
            bool(zones) and row.zone not in zones,
            row.worker,
        )
    )
    return due[:free_count]


def forecast(
    snapshot: drains.Snapshot, rule: declarations.Maintenance, duration_s: float, now_s: float
) -> Forecast:
    """Estimate whether all workers of a pool can be maintained within the period."""
    rows = snapshot.get_host_rows(rule.pool)
    period_s = rule.every_days * DAY_S
    drainable_counts = [
        snapshot.count_drainable(service)
        for service, declared in snapshot.declared.services.items()
        if declared.pool == rule.pool
    ]
    concurrency = min([rule.at_most_at_once, *drainable_counts])
    if concurrency <= 0:
        reason = "no worker can drain within the budgets and one more rack lost"
        return Forecast(rule.pool, math.inf, period_s, reason)
    overrun_s = _get_max_overrun_s(rows, concurrency, duration_s, period_s, now_s)
    overrun_days = overrun_s / DAY_S
    reason = (
        f"{overrun_days:.1f} days over: {len(rows)} workers, {concurrency} at once, "
        f"{duration_s:g} s each"
    )
    return Forecast(rule.pool, period_s + overrun_s, period_s, reason)


def _get_max_overrun_s(
    rows: list[hosts.HostRow], concurrency: int, duration_s: float, period_s: float, now_s: float
) -> float:
    overruns_s = [
        now_s + (index // concurrency + 1) * duration_s - (row.maintained_at_s + period_s)
        for index, row in enumerate(sorted(rows, key=lambda row: row.maintained_at_s))
    ]
    return max(overruns_s, default=-period_s)
