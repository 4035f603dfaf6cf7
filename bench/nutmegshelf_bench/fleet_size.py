"""Measure decision times and state sizes by fleet size, and fit slopes per worker."""

import collections.abc
import dataclasses
import random
import statistics
import time
import tracemalloc

from nutmegshelf import (
    budgets,
    codecs,
    declarations,
    demand,
    drains,
    failures,
    hosts,
    ids,
    leases,
    maintenance,
    moves,
    placement,
    platform,
    sizes,
    tasks,
    workers,
)

from nutmegshelf_bench import figures

_WORKER_COUNTS = (600, 1200, 2400, 3600, 4500)
_FULL_WORKER_COUNT = 4500
_FULL_ACCELERATOR_COUNT = 6400
_FULL_POOL_COUNT = 50
_FULL_TEAM_COUNT = 330
_TASKS_PER_WORKER = 2
_REPEATS = 3
_ZONE_COUNT = 10
_NOW_S = 20 * maintenance.DAY_S


@dataclasses.dataclass(slots=True)
class Fleet:
    """A whole fleet: declarations, worker records, rows and usage."""

    declared: declarations.DeclarationSet
    records: dict[ids.WorkerId, workers.WorkerRecord]
    snapshot: drains.Snapshot
    task_rows_by_pool: dict[ids.PoolName, list[tasks.TaskRow]]
    usage_by_pool: dict[ids.PoolName, dict[ids.TeamName, sizes.Size]]


def build_fleet(count: int, seed: int) -> Fleet:
    """Return a fleet with pools, teams and jobs in proportion to its workers."""
    rng = random.Random(seed)
    pools = [
        ids.PoolName(f"p{number}")
        for number in range(max(1, _FULL_POOL_COUNT * count // _FULL_WORKER_COUNT))
    ]
    teams = [
        ids.TeamName(f"t{number}")
        for number in range(max(1, _FULL_TEAM_COUNT * count // _FULL_WORKER_COUNT))
    ]
    records = {record.worker: record for record in _generate_records(count, pools)}
    declared = _make_declarations(count, pools, teams, rng)
    minions = tuple(_make_minion(record) for record in records.values())
    snapshot = drains.Snapshot(
        declared=declared,
        budgets_by_service={
            name: budgets.Budget(budgets.BudgetRow(service=name), 1) for name in declared.services
        },
        hosts_by_worker={
            worker: hosts.Host(hosts.enroll(record, rng.uniform(0, _NOW_S)), 1)
            for worker, record in records.items()
        },
        minions=minions,
    )
    return Fleet(declared, records, snapshot, {pool: [] for pool in pools}, {})


def _generate_records(
    count: int, pools: list[ids.PoolName]
) -> collections.abc.Iterator[workers.WorkerRecord]:
    for number in range(count):
        zone = number % _ZONE_COUNT
        accelerators = (number * _FULL_ACCELERATOR_COUNT // _FULL_WORKER_COUNT) - (
            (number - 1) * _FULL_ACCELERATOR_COUNT // _FULL_WORKER_COUNT
        )
        yield workers.WorkerRecord(
            worker=ids.WorkerId(f"w{number}"),
            zone=ids.ZoneName(f"z{zone}"),
            rack=ids.RackName(f"z{zone}-r{number // _ZONE_COUNT // 4}"),
            pool=pools[number // _ZONE_COUNT % len(pools)],
            accelerators=accelerators,
        )


def _make_declarations(
    count: int, pools: list[ids.PoolName], teams: list[ids.TeamName], rng: random.Random
) -> declarations.DeclarationSet:
    workers_per_pool = count // len(pools)
    jobs = {
        ids.JobName(f"j{number}"): declarations.Job(
            pool=pools[number % len(pools)],
            team=team,
            cores=rng.choice([4.0, 8.0, 16.0]),
            memory_gb=rng.choice([4.0, 16.0]),
            accelerators=rng.choice([0, 0, 1]),
            tasks=_TASKS_PER_WORKER * count // len(teams),
            request_class=rng.choice(list(declarations.RequestClass)),
        )
        for number, team in enumerate(teams)
    }
    return declarations.DeclarationSet(
        pools={
            pool: declarations.Pool(
                wanted_workers=workers_per_pool, worker_cores=64, worker_memory_gb=128
            )
            for pool in pools
        },
        services={
            ids.ServiceName(pool): declarations.Service(pool=pool, wanted_minions=workers_per_pool)
            for pool in pools
        },
        budgets={
            ids.BudgetName(pool): declarations.Budget(
                service=ids.ServiceName(pool), min_available_fraction=0.5
            )
            for pool in pools
        },
        jobs=jobs,
        teams={
            team: declarations.Team(quota_cores=1e6, quota_memory_gb=1e6, quota_accelerators=10_000)
            for team in teams
        },
        maintenance={
            str(pool): declarations.Maintenance(pool=pool, at_most_at_once=4) for pool in pools
        },
    )


def _make_minion(record: workers.WorkerRecord) -> platform.MinionRecord:
    return platform.MinionRecord(
        minion=ids.MinionId(f"m-{record.worker}"),
        service=ids.ServiceName(record.pool),
        host="127.0.0.1",
        port=1,
        zone=record.zone,
        rack=record.rack,
        worker=record.worker,
    )


def decide_pool(simulated_fleet: Fleet, pool: ids.PoolName) -> list[placement.Choice]:
    """Make all decisions of one pool: placement, maintenance forecast and grants of drains."""
    placer = placement.Placer(
        pool, simulated_fleet.declared, sizes.SizeEstimator(), failures.FailureTracker()
    )
    for worker, host in simulated_fleet.snapshot.hosts_by_worker.items():
        if host.row.pool == pool and worker in simulated_fleet.records:
            placer.add_worker(
                simulated_fleet.records[worker], not hosts.is_out_of_service(host.row)
            )
    for task in simulated_fleet.task_rows_by_pool[pool]:
        placer.add_task(task)
    for other_pool, usage in simulated_fleet.usage_by_pool.items():
        if other_pool != pool:
            placer.add_usage(usage)
    choices = placer.choose()
    rule = simulated_fleet.declared.maintenance[str(pool)]
    maintenance.forecast(simulated_fleet.snapshot, rule, 1800.0, _NOW_S)
    host_rows = simulated_fleet.snapshot.get_host_rows(pool)
    lease = leases.LeaseRow(pool=pool, holder=None, incarnation="", epoch=ids.Epoch(1))
    for row in maintenance.select_due(rule, host_rows, _NOW_S):
        drains.grant(
            simulated_fleet.snapshot,
            leases.HeldLease(lease, 1),
            row.worker,
            hosts.Purpose.MAINTENANCE,
        )
    return choices


def _apply_choices(
    simulated_fleet: Fleet, pool: ids.PoolName, choices: list[placement.Choice]
) -> None:
    for choice in choices:
        if isinstance(choice, placement.Start):
            job = ids.JobName(choice.task.rpartition("/")[0])
            running = tasks.TaskState.RUNNING
            simulated_fleet.task_rows_by_pool[pool].append(
                tasks.TaskRow(
                    task=choice.task, job=job, pool=pool, state=running, worker=choice.worker
                )
            )
    simulated_fleet.usage_by_pool[pool] = placement.sum_usage_by_team(
        simulated_fleet.declared, sizes.SizeEstimator(), simulated_fleet.task_rows_by_pool[pool]
    )


def _time_full_decision(simulated_fleet: Fleet) -> float:
    started_s = time.process_time()
    for pool in simulated_fleet.declared.pools:
        _apply_choices(simulated_fleet, pool, decide_pool(simulated_fleet, pool))
    _decide_moves(simulated_fleet)
    return time.process_time() - started_s


def _decide_moves(simulated_fleet: Fleet) -> None:
    parameters = {
        name: moves.PoolParameters(pool, 160.0, 10.0)
        for name, pool in simulated_fleet.declared.pools.items()
    }
    pool_states = {
        name: moves.PoolState(pool.wanted_workers, 0, demand.Sample(1000.0, 5.0))
        for name, pool in simulated_fleet.declared.pools.items()
    }
    moves.POLICIES["chosen"](parameters).decide(pool_states, 0.0)


def _time_worker_loss(simulated_fleet: Fleet) -> float:
    """Remove a worker and return the time to decide its pool again."""
    lost_worker, pool = next(
        (row.worker, row.pool)
        for rows in simulated_fleet.task_rows_by_pool.values()
        for row in rows
        if row.worker
    )
    del simulated_fleet.records[lost_worker]
    started_s = time.process_time()
    choices = decide_pool(simulated_fleet, pool)
    elapsed_s = time.process_time() - started_s
    assert choices, "no decision moves the tasks of the lost worker"
    return elapsed_s


def _measure(count: int, seed: int) -> dict[str, float]:
    full_times_s, loss_times_s = [], []
    for repeat in range(_REPEATS):
        simulated_fleet = build_fleet(count, seed + repeat)
        full_times_s.append(_time_full_decision(simulated_fleet))
        loss_times_s.append(_time_worker_loss(simulated_fleet))
    tracemalloc.start()
    simulated_fleet = build_fleet(count, seed)
    _time_full_decision(simulated_fleet)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    row_bytes = sum(
        len(codecs.pack(host.row)) for host in simulated_fleet.snapshot.hosts_by_worker.values()
    )
    task_bytes = sum(
        len(codecs.pack(row)) for rows in simulated_fleet.task_rows_by_pool.values() for row in rows
    )
    return {
        "full_decision_s": statistics.median(full_times_s),
        "one_change_s": statistics.median(loss_times_s),
        "memory_bytes": float(memory_bytes),
        "host_row_bytes": float(row_bytes),
        "task_row_bytes": float(task_bytes),
        "lease_row_bytes": float(sum(map(_measure_lease_bytes, simulated_fleet.declared.pools))),
    }


def _measure_lease_bytes(pool: ids.PoolName) -> int:
    lease = leases.LeaseRow(
        pool=pool,
        holder=ids.EntryId("entry-1"),
        incarnation="0" * 32,
        epoch=ids.Epoch(1000),
        beat=100_000,
        revision=100_000,
    )
    return len(codecs.pack(lease))


_UNITS_BY_NAME = {
    "full_decision_s": "s",
    "one_change_s": "s",
    "memory_bytes": "bytes",
    "host_row_bytes": "bytes",
    "task_row_bytes": "bytes",
    "lease_row_bytes": "bytes",
}


@figures.register("fleet_size")
def measure_fleet_size(seed: int) -> None:
    """Print each result at each size, its slope per worker and the error of the linear fit."""
    results = {count: _measure(count, seed) for count in _WORKER_COUNTS}
    for name, unit in _UNITS_BY_NAME.items():
        values = [results[count][name] for count in _WORKER_COUNTS]
        for count, value in zip(_WORKER_COUNTS, values, strict=True):
            figures.report(f"fleet_size.{name}.{count}", value, unit)
        fit = figures.fit_line(_WORKER_COUNTS, values)
        figures.report(f"fleet_size.{name}.slope", fit.slope, f"{unit}/worker")
        figures.report(f"fleet_size.{name}.intercept", fit.intercept, unit)
        figures.report(f"fleet_size.{name}.worst_error", fit.max_relative_error, "ratio")
