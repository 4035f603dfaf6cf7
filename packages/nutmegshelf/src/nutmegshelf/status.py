"""Show operators what a pool holds, what its budgets allow and what uses them."""

import msgspec

from nutmegshelf import drains, hosts, ids, leases


class BudgetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Show one service's budget."""

    service: ids.ServiceName
    required: int
    available: int
    after_rack_loss: int
    draining: tuple[ids.WorkerId, ...]


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Show a worker that is away, and what it waits for."""

    worker: ids.WorkerId
    step: hosts.HostStep
    purpose: hosts.Purpose | None
    to_pool: ids.PoolName | None


class PoolStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Show one pool as its holder sees it."""

    pool: ids.PoolName
    epoch: ids.Epoch
    serving: int
    away: tuple[WorkerStatus, ...]
    budgets: tuple[BudgetStatus, ...]


def describe_pool(view: drains.Snapshot, lease: leases.LeaseRow) -> PoolStatus:
    """Show a pool from the rows that its holder has."""
    rows = view.get_host_rows(lease.pool)
    return PoolStatus(
        pool=lease.pool,
        epoch=lease.epoch,
        serving=sum(not hosts.is_out_of_service(row) for row in rows),
        away=tuple(
            WorkerStatus(worker=row.worker, step=row.step, purpose=row.purpose, to_pool=row.to_pool)
            for row in rows
            if hosts.is_out_of_service(row)
        ),
        budgets=tuple(
            _of_budget(view, name)
            for name, service in sorted(view.declared.services.items())
            if service.pool == lease.pool and name in view.budgets_by_service
        ),
    )


def _of_budget(view: drains.Snapshot, service: ids.ServiceName) -> BudgetStatus:
    found = view.get_budget_status(service)
    return BudgetStatus(
        service=service,
        required=found.required,
        available=found.available,
        after_rack_loss=found.after_rack_loss,
        draining=view.budgets_by_service[service].row.draining,
    )
