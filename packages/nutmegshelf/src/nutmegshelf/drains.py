"""Grant or refuse drains according to the budgets of the services at a worker."""

import collections
import dataclasses
import typing

from nutmegshelf import budgets, declarations, hosts, ids, leases, moves, platform


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State read in one pass.

    Budgets are read before workers, and workers before minions, so that a release seen in a budget
    is also seen in the rows read later.
    """

    declared: declarations.DeclarationSet
    budgets_by_service: dict[ids.ServiceName, budgets.Budget]
    hosts_by_worker: dict[ids.WorkerId, hosts.Host]
    minions: tuple[platform.MinionRecord, ...]
    suspects: frozenset[ids.MinionId] = frozenset()
    failed_workers: frozenset[ids.WorkerId] = frozenset()
    move_rows_by_pool: dict[ids.PoolName, platform.Row] = dataclasses.field(default_factory=dict)
    _minions_by_service: dict[ids.ServiceName, list[platform.MinionRecord]] = dataclasses.field(
        init=False, default_factory=lambda: collections.defaultdict(list)
    )
    _services_by_worker: dict[ids.WorkerId, set[ids.ServiceName]] = dataclasses.field(
        init=False, default_factory=lambda: collections.defaultdict(set)
    )

    def __post_init__(self) -> None:
        for record in self.minions:
            self._minions_by_service[record.service].append(record)
            self._services_by_worker[record.worker].add(record.service)

    def apply_rows(self, rows: tuple[platform.Row, ...]) -> None:
        """Update the snapshot with the rows that a transaction of this entry wrote."""
        for row in rows:
            if row.key.startswith(hosts.PREFIX):
                host = hosts.decode(row)
                self.hosts_by_worker[host.row.worker] = host
            elif row.key.startswith(budgets.PREFIX):
                service = ids.ServiceName(row.key.removeprefix(budgets.PREFIX))
                self.budgets_by_service[service] = budgets.decode(row, service)
            elif row.key.startswith(moves.PREFIX):
                self.move_rows_by_pool[ids.PoolName(row.key.removeprefix(moves.PREFIX))] = row

    def get_host_rows(self, pool: ids.PoolName) -> list[hosts.HostRow]:
        """Return the rows of a pool's workers."""
        return [host.row for host in self.hosts_by_worker.values() if host.row.pool == pool]

    def get_services(self, worker: ids.WorkerId) -> list[ids.ServiceName]:
        """Return the declared services that have a minion at a worker, sorted."""
        return sorted(self._services_by_worker.get(worker, set()) & self.budgets_by_service.keys())

    def get_minion_statuses(self, service: ids.ServiceName) -> list[budgets.MinionStatus]:
        """Return the status of a service's minions; suspected ones count as down."""
        return [
            budgets.MinionStatus(
                record.minion,
                record.worker,
                record.rack,
                record.zone,
                self._is_up(record),
                self._is_out_by_order(record.worker),
            )
            for record in self._minions_by_service.get(service, ())
        ]

    def get_budget_status(
        self, service: ids.ServiceName, also_unavailable: frozenset[ids.WorkerId] = frozenset()
    ) -> budgets.Status:
        """Return a service's budget status, optionally with further workers unavailable."""
        budget = self.budgets_by_service.get(service)
        draining = frozenset(budget.row.draining) if budget else frozenset()
        minions = self.get_minion_statuses(service)
        out_of_service = frozenset(
            minion.worker for minion in minions if self._is_out_of_service(minion.worker)
        )
        unavailable = draining | out_of_service | also_unavailable
        return budgets.get_status(
            budgets.count_required(self.declared, service), minions, unavailable
        )

    def _is_out_of_service(self, worker: ids.WorkerId) -> bool:
        host = self.hosts_by_worker.get(worker)
        return host is None or hosts.is_out_of_service(host.row)

    def _is_out_by_order(self, worker: ids.WorkerId) -> bool:
        host = self.hosts_by_worker.get(worker)
        return host is not None and hosts.is_out_by_order(host.row)

    def count_drainable(self, service: ids.ServiceName) -> int:
        """Return how many of a service's minions may drain at once if all others are available."""
        required = budgets.count_required(self.declared, service)
        return budgets.count_drainable(required, self.get_minion_statuses(service))

    def _is_up(self, record: platform.MinionRecord) -> bool:
        # A minion listed at a worker of another pool stems from a list made before the move.
        host = self.hosts_by_worker.get(record.worker)
        pool = self.declared.services[record.service].pool
        if host is None or host.row.pool != pool or record.worker in self.failed_workers:
            return False
        return record.state is platform.HostState.LIVE and record.minion not in self.suspects


class Granted(typing.NamedTuple):
    """Granted drain: the transaction that records it and the worker's new row."""

    transaction: platform.Transaction
    row: hosts.HostRow


class Refused(typing.NamedTuple):
    """Refused drain: the service whose budget it would violate, and that budget's status."""

    service: ids.ServiceName
    status: budgets.Status

    def __str__(self) -> str:
        status = self.status
        return (
            f"{self.service} needs {status.required} minions and would have "
            f"{status.after_rack_loss} of {status.available} with one more rack lost"
        )


def grant(
    snapshot: Snapshot,
    held: leases.HeldLease,
    worker: ids.WorkerId,
    purpose: hosts.Purpose,
    *,
    to_pool: ids.PoolName | None = None,
) -> Granted | Refused:
    """Grant a drain if all budgets at the worker would be met after the loss of one more rack."""
    services = snapshot.get_services(worker)
    for service in services:
        status = snapshot.get_budget_status(service, frozenset({worker}))
        if status.headroom < 0:
            return Refused(service, status)
    host = snapshot.hosts_by_worker[worker]
    row = hosts.start_drain(host.row, held.lease, purpose, to_pool)
    charged = [snapshot.budgets_by_service[service] for service in services]
    conditions = [host.condition, *(budget.condition for budget in charged)]
    writes = [hosts.encode(row), *(budget.add_worker(worker) for budget in charged)]
    if to_pool is not None:
        # Several pools may send to the same pool concurrently; its row serializes them.
        condition, write = moves.prepare_send(
            moves.get_row(snapshot.move_rows_by_pool, to_pool), to_pool
        )
        conditions.append(condition)
        writes.append(write)
    transaction = leases.make_fenced_transaction(held, tuple(conditions), tuple(writes))
    return Granted(transaction, row)


def advance(
    snapshot: Snapshot, held: leases.HeldLease, worker: ids.WorkerId, row: hosts.HostRow
) -> platform.Transaction:
    """Return the transaction that stores a worker's next row.

    A withdrawal is charged to the worker's budgets, and a return to serving is credited.
    """
    host = snapshot.hosts_by_worker[worker]
    changed: list[tuple[budgets.Budget, platform.Write]] = []
    if row.step is hosts.HostStep.SERVING:
        charged = [
            candidate
            for candidate in snapshot.budgets_by_service.values()
            if worker in candidate.row.draining
        ]
        changed = [(budget, budget.remove_worker(worker)) for budget in charged]
    elif row.step is hosts.HostStep.WITHDRAWN:
        affected = [
            snapshot.budgets_by_service[service] for service in snapshot.get_services(worker)
        ]
        changed = [(budget, budget.add_worker(worker)) for budget in affected]
    return leases.make_fenced_transaction(
        held,
        (host.condition, *(budget.condition for budget, _ in changed)),
        (hosts.encode(row), *(write for _, write in changed)),
    )


def remove(
    snapshot: Snapshot, held: leases.HeldLease, worker: ids.WorkerId
) -> platform.Transaction:
    """Return the transaction that deletes the row of a removed worker and releases its budgets."""
    charged = [
        candidate
        for candidate in snapshot.budgets_by_service.values()
        if worker in candidate.row.draining
    ]
    return leases.make_fenced_transaction(
        held,
        (snapshot.hosts_by_worker[worker].condition, *(budget.condition for budget in charged)),
        (
            platform.Write(hosts.key(worker), None),
            *(budget.remove_worker(worker) for budget in charged),
        ),
    )


def should_cancel(snapshot: Snapshot, worker: ids.WorkerId) -> bool:
    """Return whether a drain must be cancelled because a budget it is charged to is not met."""
    services = [
        service
        for service, budget in snapshot.budgets_by_service.items()
        if worker in budget.row.draining
    ]
    return any(not snapshot.get_budget_status(service).is_met for service in services)
