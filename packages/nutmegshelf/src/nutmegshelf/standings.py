"""Show operators what a pool holds, what its budgets allow and what uses them."""

import msgspec

from nutmegshelf import drains, hosts, ids, leases


class BudgetStanding(msgspec.Struct, frozen=True, kw_only=True):
    """Show one service's budget."""

    service: ids.ServiceName
    required: int
    available: int
    after_rack_loss: int
    draining: tuple[ids.WorkerId, ...]


class WorkerStanding(msgspec.Struct, frozen=True, kw_only=True):
    """Show a worker that is away, and what it waits for."""

    worker: ids.WorkerId
    step: hosts.HostStep
    purpose: hosts.Purpose | None
    to_pool: ids.PoolName | None


class PoolStanding(msgspec.Struct, frozen=True, kw_only=True):
    """Show one pool as its holder sees it."""

    pool: ids.PoolName
    epoch: ids.Epoch
    serving: int
    away: tuple[WorkerStanding, ...]
    budgets: tuple[BudgetStanding, ...]


def of_pool(view: drains.View, lease: leases.LeaseRow) -> PoolStanding:
    """Show a pool from the rows that its holder has."""
    rows = view.rows_in(lease.pool)
    return PoolStanding(
        pool=lease.pool,
        epoch=lease.epoch,
        serving=sum(not hosts.is_away(row) for row in rows),
        away=tuple(
            WorkerStanding(
                worker=row.worker, step=row.step, purpose=row.purpose, to_pool=row.to_pool
            )
            for row in rows
            if hosts.is_away(row)
        ),
        budgets=tuple(
            _of_budget(view, name)
            for name, service in sorted(view.declared.services.items())
            if service.pool == lease.pool and name in view.budget_of
        ),
    )


def _of_budget(view: drains.View, service: ids.ServiceName) -> BudgetStanding:
    found = view.standing(service)
    return BudgetStanding(
        service=service,
        required=found.required,
        available=found.available,
        after_rack_loss=found.after_rack_loss,
        draining=view.budget_of[service].row.draining,
    )
