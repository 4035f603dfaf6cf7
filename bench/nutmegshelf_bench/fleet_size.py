"""Measure the fleet's decisions and state at several sizes and fit slopes a worker."""

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

_WORKERS = (600, 1200, 2400, 3600, 4500)
_FULL_WORKERS = 4500
_ACCELERATORS = 6400
_POOLS = 50
_TEAMS = 330
_TASKS_A_WORKER = 2
_REPEATS = 3
_ZONES = 10
_NOW_S = 20 * maintenance.DAY_S


@dataclasses.dataclass(slots=True)
class Fleet:
    """Hold a whole fleet: declarations, rows and lists."""

    declared: declarations.DeclarationSet
    records: dict[ids.WorkerId, workers.WorkerRecord]
    snapshot: drains.Snapshot
    task_rows_by_pool: dict[ids.PoolName, list[tasks.TaskRow]]
    usage_by_pool: dict[ids.PoolName, dict[ids.TeamName, sizes.Size]]


def build_fleet(count: int, seed: int) -> Fleet:
    """Make a fleet of some workers, with pools, teams and jobs in proportion."""
    rng = random.Random(seed)
    pools = [
        ids.PoolName(f"p{number}") for number in range(max(1, _POOLS * count // _FULL_WORKERS))
    ]
    teams = [
        ids.TeamName(f"t{number}") for number in range(max(1, _TEAMS * count // _FULL_WORKERS))
    ]
    records = {record.worker: record for record in _records(count, pools)}
    declared = _declare(count, pools, teams, rng)
    minions = tuple(_minion(record) for record in records.values())
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


def _records(
    count: int, pools: list[ids.PoolName]
) -> collections.abc.Iterator[workers.WorkerRecord]:
    for number in range(count):
        zone = number % _ZONES
        extra = (number * _ACCELERATORS // _FULL_WORKERS) - (
            (number - 1) * _ACCELERATORS // _FULL_WORKERS
        )
        yield workers.WorkerRecord(
            worker=ids.WorkerId(f"w{number}"),
            zone=ids.ZoneName(f"z{zone}"),
            rack=ids.RackName(f"z{zone}-r{number // _ZONES // 4}"),
            pool=pools[number // _ZONES % len(pools)],
            accelerators=extra,
        )


def _declare(
    count: int, pools: list[ids.PoolName], teams: list[ids.TeamName], rng: random.Random
) -> declarations.DeclarationSet:
    each = count // len(pools)
    jobs = {
        ids.JobName(f"j{number}"): declarations.Job(
            pool=pools[number % len(pools)],
            team=team,
            cores=rng.choice([4.0, 8.0, 16.0]),
            memory_gb=rng.choice([4.0, 16.0]),
            accelerators=rng.choice([0, 0, 1]),
            tasks=_TASKS_A_WORKER * count // len(teams),
            request_class=rng.choice(list(declarations.RequestClass)),
        )
        for number, team in enumerate(teams)
    }
    return declarations.DeclarationSet(
        pools={
            pool: declarations.Pool(wanted_workers=each, worker_cores=64, worker_memory_gb=128)
            for pool in pools
        },
        services={
            ids.ServiceName(pool): declarations.Service(pool=pool, wanted_minions=each)
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


def _minion(record: workers.WorkerRecord) -> platform.MinionRecord:
    return platform.MinionRecord(
        minion=ids.MinionId(f"m-{record.worker}"),
        service=ids.ServiceName(record.pool),
        host="127.0.0.1",
        port=1,
        zone=record.zone,
        rack=record.rack,
        worker=record.worker,
    )


def decide_pool(state: Fleet, pool: ids.PoolName) -> list[placement.Choice]:
    """Decide all of one pool: tasks, maintenance, forecast and the drains that are granted."""
    placer = placement.Placer(
        pool, state.declared, sizes.SizeEstimator(), failures.FailureTracker()
    )
    for worker, host in state.snapshot.hosts_by_worker.items():
        if host.row.pool == pool and worker in state.records:
            placer.add_worker(state.records[worker], not hosts.is_out_of_service(host.row))
    for task in state.task_rows_by_pool[pool]:
        placer.add_task(task)
    for other, used in state.usage_by_pool.items():
        if other != pool:
            placer.add_usage(used)
    choices = placer.choose()
    rule = state.declared.maintenance[str(pool)]
    maintenance.forecast(state.snapshot, rule, 1800.0, _NOW_S)
    mine = state.snapshot.get_host_rows(pool)
    lease = leases.LeaseRow(pool=pool, holder=None, incarnation="", epoch=ids.Epoch(1))
    for row in maintenance.select_due(rule, mine, _NOW_S):
        drains.grant(
            state.snapshot, leases.HeldLease(lease, 1), row.worker, hosts.Purpose.MAINTENANCE
        )
    return choices


def _take(state: Fleet, pool: ids.PoolName, choices: list[placement.Choice]) -> None:
    for choice in choices:
        if isinstance(choice, placement.Start):
            job = ids.JobName(choice.task.rpartition("/")[0])
            running = tasks.TaskState.RUNNING
            state.task_rows_by_pool[pool].append(
                tasks.TaskRow(
                    task=choice.task, job=job, pool=pool, state=running, worker=choice.worker
                )
            )
    state.usage_by_pool[pool] = placement.sum_usage_by_team(
        state.declared, sizes.SizeEstimator(), state.task_rows_by_pool[pool]
    )


def _decide_all(state: Fleet) -> float:
    started_s = time.process_time()
    for pool in state.declared.pools:
        _take(state, pool, decide_pool(state, pool))
    _decide_moves(state)
    return time.process_time() - started_s


def _decide_moves(state: Fleet) -> None:
    terms = {
        name: moves.PoolParameters(pool, 160.0, 10.0) for name, pool in state.declared.pools.items()
    }
    fleet = {
        name: moves.PoolState(pool.wanted_workers, 0, demand.Sample(1000.0, 5.0))
        for name, pool in state.declared.pools.items()
    }
    moves.POLICIES["chosen"](terms).decide(fleet, 0.0)


def _decide_one(state: Fleet) -> float:
    """Lose one worker and decide its pool again."""
    lost, pool = next(
        (row.worker, row.pool)
        for rows in state.task_rows_by_pool.values()
        for row in rows
        if row.worker
    )
    del state.records[lost]
    started_s = time.process_time()
    choices = decide_pool(state, pool)
    took_s = time.process_time() - started_s
    assert choices, "the lost worker's tasks have to move"
    return took_s


def _measure(count: int, seed: int) -> dict[str, float]:
    full, one = [], []
    for repeat in range(_REPEATS):
        state = build_fleet(count, seed + repeat)
        full.append(_decide_all(state))
        one.append(_decide_one(state))
    tracemalloc.start()
    state = build_fleet(count, seed)
    _decide_all(state)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    row_bytes = sum(len(codecs.pack(host.row)) for host in state.snapshot.hosts_by_worker.values())
    task_bytes = sum(
        len(codecs.pack(row)) for rows in state.task_rows_by_pool.values() for row in rows
    )
    return {
        "full_decision_s": statistics.median(full),
        "one_change_s": statistics.median(one),
        "memory_bytes": float(memory_bytes),
        "host_row_bytes": float(row_bytes),
        "task_row_bytes": float(task_bytes),
        "lease_row_bytes": float(sum(map(_lease_bytes, state.declared.pools))),
    }


def _lease_bytes(pool: ids.PoolName) -> int:
    lease = leases.LeaseRow(
        pool=pool,
        holder=ids.EntryId("entry-1"),
        incarnation="0" * 32,
        epoch=ids.Epoch(1000),
        beat=100_000,
        revision=100_000,
    )
    return len(codecs.pack(lease))


_UNITS = {
    "full_decision_s": "s",
    "one_change_s": "s",
    "memory_bytes": "bytes",
    "host_row_bytes": "bytes",
    "task_row_bytes": "bytes",
    "lease_row_bytes": "bytes",
}


@figures.register("fleet_size")
def measure_fleet_size(seed: int) -> None:
    """Print each figure at each size, and its slope a worker with the error of the fit."""
    found = {count: _measure(count, seed) for count in _WORKERS}
    for name, unit in _UNITS.items():
        values = [found[count][name] for count in _WORKERS]
        for count, value in zip(_WORKERS, values, strict=True):
            figures.report(f"fleet_size.{name}.{count}", value, unit)
        fit = figures.fit_line(_WORKERS, values)
        figures.report(f"fleet_size.{name}.slope", fit.slope, f"{unit}/worker")
        figures.report(f"fleet_size.{name}.intercept", fit.intercept, unit)
        figures.report(f"fleet_size.{name}.worst_error", fit.max_relative_error, "ratio")
