"""Type the declarations that operators write, and read them from TOML."""

import enum
import tomllib
import typing

import msgspec

from nutmegshelf import exceptions, ids

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


class RequestClass(enum.Enum):
    """Order requests of one service when they wait."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Declaration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Be the base of every declared thing."""


class Pool(Declaration, frozen=True, kw_only=True):
    """Declare a set of like workers."""

    wanted_workers: int
    worker_cores: int
    worker_memory_gb: int
    worker_accelerators: int = 0
    spare: bool = False
    lends: bool = True
    move_cost: float = 10.0
    idle_worker_hour_cost: float = 1.0


class PathRule(Declaration, frozen=True, kw_only=True):
    """Declare how requests below a path of a service are treated."""

    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    idempotent: bool | None = None
    key_required: bool = False
    request_class: RequestClass = RequestClass.NORMAL
    max_body_bytes: int = 16 * 1024 * 1024
    timeout_ms: int | None = None


class Service(Declaration, frozen=True, kw_only=True):
    """Declare a service, its minions' limits and its rules by path."""

    pool: ids.PoolName
    wanted_minions: int
    hosts: tuple[str, ...] = ()
    slots_per_minion: int = 8
    connections_per_minion: int = 60
    timeout_ms: int = 10_000
    queue_limit: int = 256
    guarded: bool = False
    rules: tuple[PathRule, ...] = ()


class Budget(Declaration, frozen=True, kw_only=True):
    """Declare how much of a service may be away at once."""

    service: ids.ServiceName
    min_available_fraction: float


class Job(Declaration, frozen=True, kw_only=True):
    """Declare work that runs on the workers of a pool."""

    pool: ids.PoolName
    team: ids.TeamName
    cores: float
    memory_gb: float
    accelerators: int = 0
    tasks: int = 1
    request_class: RequestClass = RequestClass.NORMAL
    guarded: bool = False


class Team(Declaration, frozen=True, kw_only=True):
    """Declare a customer's quota."""

    quota_cores: float
    quota_memory_gb: float
    quota_accelerators: int = 0


class Maintenance(Declaration, frozen=True, kw_only=True):
    """Declare how the workers of a pool are maintained."""

    pool: ids.PoolName
    every_days: int = 28
    at_most_at_once: int = 1


class DeclarationSet(Declaration, frozen=True, kw_only=True):
    """Hold everything that is declared, by kind and name."""

    pools: dict[ids.PoolName, Pool] = {}
    services: dict[ids.ServiceName, Service] = {}
    budgets: dict[ids.BudgetName, Budget] = {}
    jobs: dict[ids.JobName, Job] = {}
    teams: dict[ids.TeamName, Team] = {}
    maintenance: dict[str, Maintenance] = {}


def from_toml(texts: typing.Mapping[str, str]) -> DeclarationSet:
    """Read a declaration set from the texts of its files, by file name."""
    merged: dict[str, dict[str, object]] = {}
    for name, text in sorted(texts.items()):
        try:
            tables = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            raise exceptions.DeclarationError(f"{name}: {error}") from error
        for kind, entries in tables.items():
            for key, value in entries.items():
                if key in merged.setdefault(kind, {}):
                    raise exceptions.DeclarationError(f"{name}: {kind}.{key} is declared twice")
                merged[kind][key] = value
    try:
        return msgspec.convert(merged, DeclarationSet)
    except msgspec.ValidationError as error:
        raise exceptions.DeclarationError(str(error)) from error


def rule_for(service: Service, method: str, path: str) -> PathRule:
    """Find the rule with the longest prefix that matches a request."""
    best = _DEFAULT_RULE
    best_length = -1
    for rule in service.rules:
        if rule.methods and method not in rule.methods:
            continue
        if path.startswith(rule.path_prefix) and len(rule.path_prefix) > best_length:
            best, best_length = rule, len(rule.path_prefix)
    return best


def is_idempotent(rule: PathRule, method: str) -> bool:
    """Say whether a request may be sent again after it may have run."""
    return rule.idempotent if rule.idempotent is not None else method in IDEMPOTENT_METHODS


_DEFAULT_RULE = PathRule()
