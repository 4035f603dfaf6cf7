"""Measure the cost of a configuration change at several sizes: bytes, time and memory."""

import collections.abc
import statistics
import time
import tracemalloc

import msgspec
from nutmegshelf import (
    changes,
    codecs,
    configuration,
    declarations,
    faults,
    ids,
    messages,
    validation,
)

from nutmegshelf_bench import figures

_REPEATS = 9
_POOLS_AND_TEAMS_BY_SIZE = {"today": (5, 7), "half": (25, 165), "full": (50, 330)}
_ENTRY_COUNT = 7
_CHANGES_PER_DAY = 5800
_DAY_S = 86_400


def _make_declarations(pools: int, teams: int) -> declarations.DeclarationSet:
    names = [f"pool-{number:03d}" for number in range(pools)]
    return declarations.DeclarationSet(
        pools={
            ids.PoolName(name): declarations.Pool(
                wanted_workers=90, worker_cores=64, worker_memory_gb=128, worker_accelerators=2
            )
            for name in names
        },
        services={
            ids.ServiceName(name): declarations.Service(
                pool=ids.PoolName(name), wanted_minions=8, hosts=(f"{name}.example",)
            )
            for name in names
        },
        budgets={
            ids.BudgetName(name): declarations.Budget(
                service=ids.ServiceName(name), min_available_fraction=0.5
            )
            for name in names
        },
        jobs={
            ids.JobName(f"job-{number:04d}"): declarations.Job(
                pool=ids.PoolName(names[number % pools]),
                team=ids.TeamName(f"team-{number:03d}"),
                cores=4.0,
                memory_gb=8.0,
                tasks=10,
            )
            for number in range(teams)
        },
        teams={
            ids.TeamName(f"team-{number:03d}"): declarations.Team(
                quota_cores=100.0, quota_memory_gb=200.0
            )
            for number in range(teams)
        },
        maintenance={name: declarations.Maintenance(pool=ids.PoolName(name)) for name in names},
    )


def _format_toml(declared: declarations.DeclarationSet) -> dict[str, str]:
    texts = {}
    for kind, fields_by_name in msgspec.to_builtins(declared).items():
        lines = []
        for name, fields in fields_by_name.items():
            lines.append(f"[{kind}.{name}]")
            lines += [f"{field} = {_format_value(value)}" for field, value in fields.items()]
        texts[f"{kind}.toml"] = "\n".join(lines)
    return texts


def _format_value(value: object) -> str:
    return msgspec.json.encode(value).decode()


def _measure_median_ms(function: collections.abc.Callable[[], object]) -> float:
    durations_s = []
    for _ in range(_REPEATS):
        started_s = time.perf_counter()
        function()
        durations_s.append(time.perf_counter() - started_s)
    return statistics.median(durations_s) * 1000


def _change_queue_limit(base: declarations.DeclarationSet) -> declarations.DeclarationSet:
    name = next(iter(base.services))
    service = msgspec.structs.replace(base.services[name], queue_limit=77)
    return msgspec.structs.replace(base, services={**base.services, name: service})


def _measure_size(name: str, pools: int, teams: int) -> None:
    declared = _make_declarations(pools, teams)
    data, digest = configuration.encode_set(declared)
    head = configuration.Head(version=ids.Version(1), digest=digest, publish_id=ids.PublishId("a"))
    accepted = configuration.Configuration(head=head, declarations=declared)
    changed = _change_queue_limit(declared)
    changed_head = configuration.Head(
        version=ids.Version(2),
        digest=configuration.encode_set(changed)[1],
        publish_id=ids.PublishId("b" * 32),
        base_digest=digest,
    )
    revision = configuration.make_revision(changed_head, accepted, changed)
    active = configuration.ActiveConfiguration(accepted)
    assert active.derive(revision) is not None
    pushed = messages.HeadAccepted(sender=ids.EntryId("e"), head=changed_head, revision=revision)
    texts = _format_toml(declared)
    found_faults: list[faults.Fault] = validation.validate(texts)[1]
    assert not found_faults, found_faults[:3]
    tracemalloc.start()
    decoded = configuration.decode_set(head, data)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert decoded is not None
    prefix = f"configuration.{name}"
    figures.report(f"{prefix}.set_bytes", len(data), "bytes")
    figures.report(f"{prefix}.change_bytes", len(codecs.pack(pushed)), "bytes")
    figures.report(f"{prefix}.memory_kb", memory_bytes / 1000, "KB")
    figures.report(
        f"{prefix}.advance_ms", _measure_median_ms(lambda: active.derive(revision)), "ms"
    )
    figures.report(
        f"{prefix}.whole_ms", _measure_median_ms(lambda: configuration.decode_set(head, data)), "ms"
    )
    figures.report(
        f"{prefix}.check_ms", _measure_median_ms(lambda: validation.validate(texts)), "ms"
    )
    figures.report(
        f"{prefix}.between_ms", _measure_median_ms(lambda: changes.diff(declared, changed)), "ms"
    )
    changes_per_s = _CHANGES_PER_DAY / _DAY_S
    pushed_bytes = len(codecs.pack(pushed)) * (_ENTRY_COUNT - 1)
    figures.report(f"{prefix}.push_bytes_per_s", pushed_bytes * changes_per_s, "bytes/s")
    figures.report(f"{prefix}.whole_bytes_per_s", len(data) * changes_per_s, "bytes/s")


@figures.register("configuration")
def measure_configuration(seed: int) -> None:
    """Print the cost of a change at three sizes, and of the heartbeats without changes."""
    del seed
    for name, (pools, teams) in _POOLS_AND_TEAMS_BY_SIZE.items():
        _measure_size(name, pools, teams)
    heartbeat = messages.ConfigurationHeartbeat(
        sender=ids.EntryId("entry-1"),
        version=ids.Version(5800),
        sent_s=1e5,
        echo_s=1e5,
        table_age_s=0.5,
    )
    heartbeat_bytes = len(codecs.pack(heartbeat)) * (_ENTRY_COUNT - 1)
    figures.report("configuration.rest_beats_bytes_per_s", heartbeat_bytes, "bytes/s")
