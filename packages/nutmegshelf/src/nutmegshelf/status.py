"""Report the state of a pool, its budgets and the workers charged to them to operators."""

import msgspec

from nutmegshelf import drains, hosts, ids, leases


class BudgetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one service's availability budget."""

    service: ids.ServiceName
    required: int
    available: int
    after_rack_loss: int
    draining: tuple[ids.WorkerId, ...]


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Step of a worker that is out of service, and why."""

    worker: ids.WorkerId
    step: hosts.HostStep
    purpose: hosts.Purpose | None
    to_pool: ids.PoolName | None


class PoolStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a pool as its lease holder sees it."""

    pool: ids.PoolName
    epoch: ids.Epoch
    serving: int
    away: tuple[WorkerStatus, ...]
    budgets: tuple[BudgetStatus, ...]


def describe_pool(snapshot: drains.Snapshot, lease: leases.LeaseRow) -> PoolStatus:
    """Return the status of a pool held under a lease."""
    rows = snapshot.get_host_rows(lease.pool)
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
            _describe_budget(snapshot, name)
            for name, service in sorted(snapshot.declared.services.items())
            if service.pool == lease.pool and name in snapshot.budgets_by_service
        ),
    )


def _describe_budget(snapshot: drains.Snapshot, service: ids.ServiceName) -> BudgetStatus:
    status = snapshot.get_budget_status(service)
    return BudgetStatus(
        service=service,
        required=status.required,
        available=status.available,
        after_rack_loss=status.after_rack_loss,
        draining=snapshot.budgets_by_service[service].row.draining,
    )
