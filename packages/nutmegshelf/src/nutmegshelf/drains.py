"""Grant or refuse drains by the budgets of all services at a worker."""

import collections
import dataclasses
import typing

from nutmegshelf import budgets, declarations, hosts, ids, leases, moves, platform


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold what was read in one pass: budgets before workers, workers before minions."""

    declared: declarations.DeclarationSet
    budgets_by_service: dict[ids.ServiceName, budgets.Budget]
    hosts_by_worker: dict[ids.WorkerId, hosts.Host]
    minions: tuple[platform.MinionRecord, ...]
    suspects: frozenset[ids.MinionId] = frozenset()
    failed_workers: frozenset[ids.WorkerId] = frozenset()
    move_rows_by_pool: dict[ids.PoolName, platform.Row] = dataclasses.field(default_factory=dict)
    _of_service: dict[ids.ServiceName, list[platform.MinionRecord]] = dataclasses.field(
        init=False, default_factory=lambda: collections.defaultdict(list)
    )
    _at_worker: dict[ids.WorkerId, set[ids.ServiceName]] = dataclasses.field(
        init=False, default_factory=lambda: collections.defaultdict(set)
    )

    def __post_init__(self) -> None:
        for record in self.minions:
            self._of_service[record.service].append(record)
            self._at_worker[record.worker].add(record.service)

    def apply_rows(self, rows: tuple[platform.Row, ...]) -> None:
        """Take rows as an own transaction wrote them."""
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
        """Give the rows of a pool's workers."""
        return [host.row for host in self.hosts_by_worker.values() if host.row.pool == pool]

    def get_services(self, worker: ids.WorkerId) -> list[ids.ServiceName]:
        """Name the declared services with a minion at a worker."""
        return sorted(self._at_worker.get(worker, set()) & self.budgets_by_service.keys())

    def get_minion_statuses(self, service: ids.ServiceName) -> list[budgets.MinionStatus]:
        """Give the places of a service's minions, with those that may have failed as down."""
        return [
            budgets.MinionStatus(
                record.minion,
                record.worker,
                record.rack,
                record.zone,
                self._is_up(record),
                self._is_ordered_away(record.worker),
            )
            for record in self._of_service.get(service, ())
        ]

    def get_budget_status(
        self, service: ids.ServiceName, also: frozenset[ids.WorkerId] = frozenset()
    ) -> budgets.Status:
        """Count a service's budget with all that is draining and some more workers away."""
        budget = self.budgets_by_service.get(service)
        draining = frozenset(budget.row.draining) if budget else frozenset()
        places = self.get_minion_statuses(service)
        rows = frozenset(place.worker for place in places if self._is_away_by_its_row(place.worker))
        away = draining | rows | also
        return budgets.get_status(budgets.count_required(self.declared, service), places, away)

    def _is_away_by_its_row(self, worker: ids.WorkerId) -> bool:
        host = self.hosts_by_worker.get(worker)
        return host is None or hosts.is_out_of_service(host.row)

    def _is_ordered_away(self, worker: ids.WorkerId) -> bool:
        host = self.hosts_by_worker.get(worker)
        return host is not None and hosts.is_out_by_order(host.row)

    def count_drainable(self, service: ids.ServiceName) -> int:
        """Count how many of a service's minions could drain at once with all else well."""
        demanded = budgets.count_required(self.declared, service)
        return budgets.count_drainable(demanded, self.get_minion_statuses(service))

    def _is_up(self, record: platform.MinionRecord) -> bool:
        # A minion that is still listed at a worker of another pool is news of before the move.
        host = self.hosts_by_worker.get(record.worker)
        pool = self.declared.services[record.service].pool
        if host is None or host.row.pool != pool or record.worker in self.failed_workers:
            return False
        return record.state is platform.HostState.LIVE and record.minion not in self.suspects


class Granted(typing.NamedTuple):
    """Carry the transaction that grants a drain."""

    transaction: platform.Transaction
    row: hosts.HostRow


class Refused(typing.NamedTuple):
    """Say which budget a drain would break."""

    service: ids.ServiceName
    status: budgets.Status

    def __str__(self) -> str:
        found = self.status
        return (
            f"{self.service} needs {found.required} minions and would have "
            f"{found.after_rack_loss} of {found.available} with one more rack lost"
        )


def grant(
    view: Snapshot,
    held: leases.HeldLease,
    worker: ids.WorkerId,
    purpose: hosts.Purpose,
    *,
    to_pool: ids.PoolName | None = None,
) -> Granted | Refused:
    """Grant a drain when every budget at the worker holds with one more rack lost."""
    services = view.get_services(worker)
    for service in services:
        found = view.get_budget_status(service, frozenset({worker}))
        if found.headroom < 0:
            return Refused(service, found)
    host = view.hosts_by_worker[worker]
    row = hosts.start_drain(host.row, held.lease, purpose, to_pool)
    taken = [view.budgets_by_service[service] for service in services]
    conditions = [host.condition, *(budget.condition for budget in taken)]
    writes = [hosts.encode(row), *(budget.add_worker(worker) for budget in taken)]
    if to_pool is not None:
        # Givers of several pools race for one receiver; its row lets one through at a time.
        absent = platform.Row(moves.key(to_pool), 0)
        condition, write = moves.prepare_send(view.move_rows_by_pool.get(to_pool, absent), to_pool)
        conditions.append(condition)
        writes.append(write)
    transaction = leases.make_fenced_transaction(held, tuple(conditions), tuple(writes))
    return Granted(transaction, row)


def advance(
    view: Snapshot, held: leases.HeldLease, worker: ids.WorkerId, row: hosts.HostRow
) -> platform.Transaction:
    """Write a worker's next row; its budgets count a withdrawal, and its return to serving."""
    host = view.hosts_by_worker[worker]
    changed: list[tuple[budgets.Budget, platform.Write]] = []
    if row.step is hosts.HostStep.SERVING:
        debited = [one for one in view.budgets_by_service.values() if worker in one.row.draining]
        changed = [(budget, budget.remove_worker(worker)) for budget in debited]
    elif row.step is hosts.HostStep.WITHDRAWN:
        hit = [view.budgets_by_service[service] for service in view.get_services(worker)]
        changed = [(budget, budget.add_worker(worker)) for budget in hit]
    return leases.make_fenced_transaction(
        held,
        (host.condition, *(budget.condition for budget, _ in changed)),
        (hosts.encode(row), *(write for _, write in changed)),
    )


def remove(view: Snapshot, held: leases.HeldLease, worker: ids.WorkerId) -> platform.Transaction:
    """Delete the row of a worker that exists no more, and return its budgets."""
    debited = [one for one in view.budgets_by_service.values() if worker in one.row.draining]
    return leases.make_fenced_transaction(
        held,
        (view.hosts_by_worker[worker].condition, *(budget.condition for budget in debited)),
        (
            platform.Write(hosts.key(worker), None),
            *(budget.remove_worker(worker) for budget in debited),
        ),
    )


def should_cancel(view: Snapshot, worker: ids.WorkerId) -> bool:
    """Say whether a drain is to be called back, as its services' budgets no longer hold."""
    services = [
        service
        for service, budget in view.budgets_by_service.items()
        if worker in budget.row.draining
    ]
    return any(not view.get_budget_status(service).is_met for service in services)
