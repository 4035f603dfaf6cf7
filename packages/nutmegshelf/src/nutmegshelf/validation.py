"""Validate a declaration set as a whole, and against the active set and the fleet list."""

import collections
import collections.abc
import dataclasses
import math

from nutmegshelf import declarations, faults, ids, platform

Faults = collections.abc.Iterator[faults.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class ValidationInput:
    """The input of the checks: the parsed set, the active set and the fleet list."""

    parsed: declarations.ParseResult
    active: declarations.DeclarationSet | None = None
    fleet: platform.FleetList | None = None

    @property
    def declared(self) -> declarations.DeclarationSet:
        """Return the declaration set to validate."""
        return self.parsed.declared


Check = collections.abc.Callable[[ValidationInput], Faults]


def validate(
    texts: collections.abc.Mapping[str, str],
    active: declarations.DeclarationSet | None = None,
    fleet: platform.FleetList | None = None,
) -> tuple[declarations.DeclarationSet, list[faults.Fault]]:
    """Parse a set and run all checks; the set is valid only if no fault is returned."""
    parsed = declarations.parse(texts)
    subject = ValidationInput(parsed, active, fleet)
    errors = list(parsed.errors)
    for check in CHECKS.values():
        errors += check(subject)
    return parsed.declared, sorted(errors)


def count_required_minions(service: declarations.Service, budget: declarations.Budget) -> int:
    """Return how many minions of a service must be available to meet its budget."""
    # Tolerates a product just above a whole number, which is a rounding error of the fraction.
    return math.ceil(service.wanted_minions * budget.min_available_fraction - 1e-9)


def _check_references(subject: ValidationInput) -> Faults:
    # Reads the tables as written, so that references of faulty declarations are checked as well.
    parsed = subject.parsed
    names = {kind: parsed.names(kind) for kind in declarations.KINDS}
    for (kind, name), table in parsed.tables.items():
        for (from_kind, field), target_kind in declarations.REFERENCES.items():
            target = table.get(field) if kind == from_kind and isinstance(table, dict) else None
            target_names = names[target_kind]
            if isinstance(target, str) and target not in target_names:
                wrong = f'{target_kind} has no "{target}"'
                yield parsed.make_fault(
                    kind, name, field, wrong, faults.suggest(target, target_names)
                )


def _check_hosts(subject: ValidationInput) -> Faults:
    owners: dict[str, str] = {}
    for name, service in subject.declared.services.items():
        for host in service.hosts:
            owner = owners.setdefault(host, name)
            if owner != name or service.hosts.count(host) > 1:
                wrong = f'"{host}" is also a host of {owner}'
                remedy = "give each host to one service, once"
                yield subject.parsed.make_fault("services", name, "hosts", wrong, remedy)
                break


def _check_connections(subject: ValidationInput) -> Faults:
    for name, service in subject.declared.services.items():
        if service.slots_per_minion > service.connections_per_minion:
            wrong = (
                f"{service.slots_per_minion} slots need more than"
                f" {service.connections_per_minion} connections"
            )
            remedy = f"set at most {service.connections_per_minion}"
            yield subject.parsed.make_fault("services", name, "slots_per_minion", wrong, remedy)


def _check_rules(subject: ValidationInput) -> Faults:
    for name, service in subject.declared.services.items():
        earlier: set[tuple[str, str]] = set()
        for index, rule in enumerate(service.rules):
            pairs = {(rule.path_prefix, method) for method in rule.methods or ("*",)}
            if pairs & earlier:
                wrong = f'"{rule.path_prefix}" has an earlier rule for the same methods'
                yield subject.parsed.make_fault(
                    "services", name, f"rules[{index}]", wrong, "join the two rules"
                )
            earlier |= pairs


def _check_empty_pools(subject: ValidationInput) -> Faults:
    for name, pool in subject.declared.pools.items():
        users = [
            *(
                f"service {user}"
                for user, declaration in subject.declared.services.items()
                if declaration.pool == name
            ),
            *(
                f"job {user}"
                for user, declaration in subject.declared.jobs.items()
                if declaration.pool == name
            ),
        ]
        if not pool.wanted_workers and users:
            wrong = f"the pool has no worker for {', '.join(users)}"
            yield subject.parsed.make_fault(
                "pools",
                name,
                "wanted_workers",
                wrong,
                "set at least 1, or move its users",
            )


def _check_undrainable_budgets(subject: ValidationInput) -> Faults:
    declared = subject.declared
    for name, budget in declared.budgets.items():
        service = declared.services.get(budget.service)
        pool = declared.pools.get(service.pool) if service else None
        if service is None or pool is None or not pool.wanted_workers:
            continue
        headroom = service.wanted_minions - count_required_minions(service, budget)
        lost = math.ceil(service.wanted_minions / pool.wanted_workers)
        if lost > headroom:
            max_fraction = (service.wanted_minions - lost) / service.wanted_minions
            wrong = (
                f"no drain can ever be granted: it takes {lost} of {service.wanted_minions}"
                f" minions, and {headroom} may be away"
            )
            remedy = f"set at most {math.floor(max_fraction * 100) / 100}, or want more minions"
            yield subject.parsed.make_fault(
                "budgets", name, "min_available_fraction", wrong, remedy
            )


def _check_queue_paths(subject: ValidationInput) -> Faults:
    first: dict[tuple[str, str], str] = {}
    for name, queue in subject.declared.queues.items():
        if first.setdefault((queue.host, queue.path_prefix), name) != name:
            other = first[queue.host, queue.path_prefix]
            wrong = f'queue "{other}" has the same host and path'
            remedy = "give each queue a path of its own"
            yield subject.parsed.make_fault("queues", name, "path_prefix", wrong, remedy)


def _check_queue_hosts(subject: ValidationInput) -> Faults:
    owners = {
        host: name for name, service in subject.declared.services.items() for host in service.hosts
    }
    for name, queue in subject.declared.queues.items():
        if owner := owners.get(queue.host):
            wrong = f'"{queue.host}" is a host of service {owner}'
            remedy = "take jobs in under a host of their own"
            yield subject.parsed.make_fault("queues", name, "host", wrong, remedy)


def _check_queue_pools(subject: ValidationInput) -> Faults:
    declared = subject.declared
    for name, queue in declared.queues.items():
        service = declared.services.get(queue.service)
        pool = declared.pools.get(service.pool) if service is not None else None
        if service is not None and pool is not None and pool.spare:
            wrong = f"pool {service.pool} is spare, so its workers are off"
            yield subject.parsed.make_fault(
                "queues", name, "service", wrong, "name a service of another pool"
            )


def _check_queue_latency_targets(subject: ValidationInput) -> Faults:
    for name, queue in subject.declared.queues.items():
        if queue.target_latency_ms > queue.timeout_ms:
            wrong = (
                f"{queue.target_latency_ms} ms is longer than the timeout, {queue.timeout_ms} ms"
            )
            remedy = f"set at most {queue.timeout_ms}, or a longer timeout_ms"
            yield subject.parsed.make_fault("queues", name, "target_latency_ms", wrong, remedy)


def _check_duplicate_policies(subject: ValidationInput) -> Faults:
    declared = subject.declared
    governed = (
        ("budgets", "service", {name: policy.service for name, policy in declared.budgets.items()}),
        (
            "maintenance",
            "pool",
            {name: policy.pool for name, policy in declared.maintenance.items()},
        ),
    )
    for kind, field, targets in governed:
        first: dict[str, str] = {}
        for name, target in targets.items():
            if first.setdefault(target, name) != name:
                wrong = f'{kind} "{first[target]}" is already for {field} "{target}"'
                yield subject.parsed.make_fault(kind, name, field, wrong, "keep one of the two")


def _check_job_sizes(subject: ValidationInput) -> Faults:
    declared = subject.declared
    for name, job in declared.jobs.items():
        if pool := declared.pools.get(job.pool):
            sizes = (
                ("cores", job.cores, pool.worker_cores),
                ("memory_gb", job.memory_gb, pool.worker_memory_gb),
                ("accelerators", job.accelerators, pool.worker_accelerators),
            )
            for field, wanted, limit in sizes:
                if wanted > limit:
                    wrong = f"{wanted:g} is more than a worker of {job.pool} has"
                    yield subject.parsed.make_fault(
                        "jobs", name, field, wrong, f"set at most {limit:g}"
                    )
        if team := declared.teams.get(job.team):
            quotas = (
                ("cores", job.cores, team.quota_cores),
                ("memory_gb", job.memory_gb, team.quota_memory_gb),
                ("accelerators", job.accelerators, team.quota_accelerators),
            )
            for field, wanted, quota in quotas:
                if wanted > quota:
                    wrong = f"{wanted:g} for one task is over the quota of team {job.team}"
                    yield subject.parsed.make_fault(
                        "jobs", name, field, wrong, f"set at most {quota:g}, or raise the quota"
                    )


def _check_quotas(subject: ValidationInput) -> Faults:
    pools, teams = subject.declared.pools.values(), subject.declared.teams
    if len(pools) < len(subject.parsed.names("pools")):
        return  # The total capacity is unknown while a pool is faulty.
    capacities = {
        "quota_cores": sum(pool.wanted_workers * pool.worker_cores for pool in pools),
        "quota_memory_gb": sum(pool.wanted_workers * pool.worker_memory_gb for pool in pools),
        "quota_accelerators": sum(pool.wanted_workers * pool.worker_accelerators for pool in pools),
    }
    for field, capacity in capacities.items():
        quotas = {name: float(getattr(team, field)) for name, team in teams.items()}
        total = sum(quotas.values())
        if total > capacity:
            largest = max(quotas, key=lambda name: quotas[name])
            wrong = f"the teams' quotas add up to {total:g} and all pools have {capacity:g}"
            remedy = f"lower quotas by {total - capacity:g} in all"
            yield subject.parsed.make_fault("teams", largest, field, wrong, remedy)


def _check_violated_budgets(subject: ValidationInput) -> Faults:
    if subject.active is None or subject.fleet is None:
        return
    live = collections.Counter(
        record.service
        for record in subject.fleet.minions
        if record.state is platform.HostState.LIVE
    )
    before = _count_required_by_service(subject.active)
    names = {budget.service: name for name, budget in subject.declared.budgets.items()}
    for service, required in _count_required_by_service(subject.declared).items():
        # A budget that is violated already must not prevent a publish that leaves it unchanged.
        if service not in subject.active.services or required <= before.get(service, 0):
            continue
        if live[service] < required:
            wrong = (
                f"it would be broken at once: it needs {required} minions of {service}, and"
                f" {live[service]} are live"
            )
            remedy = "publish it once enough minions are live, or lower it"
            yield subject.parsed.make_fault(
                "budgets", names[service], "min_available_fraction", wrong, remedy
            )


def _count_required_by_service(declared: declarations.DeclarationSet) -> dict[ids.ServiceName, int]:
    return {
        budget.service: count_required_minions(declared.services[budget.service], budget)
        for budget in declared.budgets.values()
        if budget.service in declared.services
    }


CHECKS: dict[str, Check] = {
    "references": _check_references,
    "hosts": _check_hosts,
    "connections": _check_connections,
    "rules": _check_rules,
    "empty-pools": _check_empty_pools,
    "undrainable-budgets": _check_undrainable_budgets,
    "twice-governed": _check_duplicate_policies,
    "large-jobs": _check_job_sizes,
    "quotas": _check_quotas,
    "queue-paths": _check_queue_paths,
    "queue-hosts": _check_queue_hosts,
    "queue-pools": _check_queue_pools,
    "queue-objectives": _check_queue_latency_targets,
    "broken-budgets": _check_violated_budgets,
}
