"""Define the declarations that operators write, and parse them from TOML."""

import dataclasses
import enum
import re
import tomllib
import typing

import msgspec

from nutmegshelf import decoding, exceptions, faults, ids

Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0)]
PositiveAmount = typing.Annotated[float, msgspec.Meta(gt=0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Path = typing.Annotated[str, msgspec.Meta(pattern="^/")]
# Ends with a slash, as the id of a job follows the prefix in the path of a request.
QueuePath = typing.Annotated[str, msgspec.Meta(pattern="^/(.*/)?$")]
Method = typing.Annotated[str, msgspec.Meta(pattern="^[A-Z]+$")]
HostName = typing.Annotated[str, msgspec.Meta(pattern="^[a-z0-9.-]+$")]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


class RequestClass(enum.Enum):
    """The class by which waiting requests of a service are ordered."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Declaration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """The base class of all declarations."""


class Pool(Declaration, frozen=True, kw_only=True):
    """A set of workers of equal size."""

    wanted_workers: Count
    worker_cores: Positive
    worker_memory_gb: Positive
    worker_accelerators: Count = 0
    spare: bool = False
    lends: bool = True
    move_cost: Amount = 10.0
    idle_worker_hour_cost: Amount = 1.0
    late_request_cost: Amount = 0.001


class PathRule(Declaration, frozen=True, kw_only=True):
    """How a service treats requests below a path."""

    path_prefix: Path = "/"
    methods: tuple[Method, ...] = ()
    idempotent: bool | None = None
    key_required: bool = False
    request_class: RequestClass = RequestClass.NORMAL
    max_body_bytes: Count = 16 * 1024 * 1024
    timeout_ms: Positive | None = None


class Service(Declaration, frozen=True, kw_only=True):
    """A service, the limits of its minions and its rules by path."""

    pool: ids.PoolName
    wanted_minions: Positive
    hosts: tuple[HostName, ...] = ()
    slots_per_minion: Positive = 8
    connections_per_minion: Positive = 60
    timeout_ms: Positive = 10_000
    queue_limit: Count = 256
    guarded: bool = False
    rules: tuple[PathRule, ...] = ()


class Budget(Declaration, frozen=True, kw_only=True):
    """The fraction of a service's minions that must stay available."""

    service: ids.ServiceName
    min_available_fraction: Fraction


class Job(Declaration, frozen=True, kw_only=True):
    """Work that runs on the workers of a pool."""

    pool: ids.PoolName
    team: ids.TeamName
    cores: PositiveAmount
    memory_gb: PositiveAmount
    accelerators: Count = 0
    tasks: Positive = 1
    request_class: RequestClass = RequestClass.NORMAL
    guarded: bool = False


class Team(Declaration, frozen=True, kw_only=True):
    """A client account with its quota."""

    quota_cores: Amount
    quota_memory_gb: Amount
    quota_accelerators: Count = 0


class Maintenance(Declaration, frozen=True, kw_only=True):
    """How often the workers of a pool are maintained, and how many at once."""

    pool: ids.PoolName
    every_days: Positive = 28
    at_most_at_once: Positive = 1


class Queue(Declaration, frozen=True, kw_only=True):
    """A queue that callers submit jobs to, with the settings of its jobs."""

    service: ids.ServiceName
    host: HostName
    path_prefix: QueuePath
    timeout_ms: Positive = 10_000
    target_latency_ms: Count = 1_000
    priority: Count = 0
    max_attempts: Positive = 3
    stretch: PositiveAmount = 1.5


class DeclarationSet(Declaration, frozen=True, kw_only=True):
    """All declarations, by kind and name."""

    pools: dict[ids.PoolName, Pool] = {}
    services: dict[ids.ServiceName, Service] = {}
    budgets: dict[ids.BudgetName, Budget] = {}
    jobs: dict[ids.JobName, Job] = {}
    teams: dict[ids.TeamName, Team] = {}
    maintenance: dict[str, Maintenance] = {}
    queues: dict[ids.QueueName, Queue] = {}


KINDS: dict[str, type[Declaration]] = {
    "pools": Pool,
    "services": Service,
    "budgets": Budget,
    "jobs": Job,
    "teams": Team,
    "maintenance": Maintenance,
    "queues": Queue,
}
REFERENCES: dict[tuple[str, str], str] = {
    ("services", "pool"): "pools",
    ("budgets", "service"): "services",
    ("jobs", "pool"): "pools",
    ("jobs", "team"): "teams",
    ("maintenance", "pool"): "pools",
    ("queues", "service"): "services",
}
_NAME = re.compile(r"[a-z0-9][a-z0-9_-]*")


@dataclasses.dataclass(slots=True)
class ParseResult:
    """The parsed declarations, the file and the TOML value of each, and the faults found."""

    declared: DeclarationSet = dataclasses.field(default_factory=DeclarationSet)
    files: dict[tuple[str, str], str] = dataclasses.field(default_factory=dict)
    tables: dict[tuple[str, str], object] = dataclasses.field(default_factory=dict)
    errors: list[faults.Fault] = dataclasses.field(default_factory=list)

    def names(self, kind: str) -> set[str]:
        """Return all names of a kind, including those of faulty declarations."""
        return {name for file_kind, name in self.files if file_kind == kind}

    def make_fault(self, kind: str, name: str, field: str, wrong: str, remedy: str) -> faults.Fault:
        """Return a fault in a field of a declaration, with the file of the declaration."""
        path = f"{kind}.{name}.{field}" if field else f"{kind}.{name}"
        file = self.files.get((kind, name), "?")
        return faults.Fault(file=file, field=path, wrong=wrong, remedy=remedy)


def parse(texts: typing.Mapping[str, str]) -> ParseResult:
    """Parse the files of a set by name, and collect the faults that concern a single file."""
    result = ParseResult()
    declared: dict[str, dict[str, object]] = {}
    for file, text in sorted(texts.items()):
        try:
            tables = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            result.errors.append(
                faults.Fault(
                    file=file, field="(whole file)", wrong=str(error), remedy="write valid TOML"
                )
            )
            continue
        for kind, entries in tables.items():
            _parse_kind(result, declared, file, kind, entries)
    result.declared = msgspec.convert(declared, DeclarationSet)
    return result


def _parse_kind(
    result: ParseResult,
    declared: dict[str, dict[str, object]],
    file: str,
    kind: str,
    entries: object,
) -> None:
    if kind not in KINDS:
        result.errors.append(
            faults.Fault(
                file=file,
                field=kind,
                wrong=f'there is no kind "{kind}"',
                remedy=faults.suggest(kind, KINDS),
            )
        )
        return
    if not isinstance(entries, dict):
        result.errors.append(
            faults.Fault(
                file=file, field=kind, wrong="this is not a table", remedy=f"write [{kind}.NAME]"
            )
        )
        return
    for name, value in entries.items():
        if first := result.files.get((kind, name)):
            remedy = f"keep this one or the one in {first}"
            result.errors.append(
                faults.Fault(
                    file=file, field=f"{kind}.{name}", wrong="it is declared twice", remedy=remedy
                )
            )
            continue
        result.files[kind, name] = file
        result.tables[kind, name] = value
        if not _NAME.fullmatch(name):
            remedy = "use lower-case letters, digits, - and _"
            result.errors.append(
                result.make_fault(kind, name, "", "the name can't be used", remedy)
            )
            continue
        decoded, errors = decoding.decode(value, KINDS[kind], file, f"{kind}.{name}")
        result.errors += errors
        if decoded is not None:
            declared.setdefault(kind, {})[name] = decoded


def from_toml(texts: typing.Mapping[str, str]) -> DeclarationSet:
    """Parse a declaration set; raises DeclarationError with all faults found."""
    result = parse(texts)
    if result.errors:
        raise exceptions.DeclarationError.from_faults(result.errors)
    return result.declared


def find_rule(service: Service, method: str, path: str) -> PathRule:
    """Return the rule with the longest prefix that matches a request."""
    longest = _DEFAULT_RULE
    longest_length = -1
    for rule in service.rules:
        if rule.methods and method not in rule.methods:
            continue
        if path.startswith(rule.path_prefix) and len(rule.path_prefix) > longest_length:
            longest, longest_length = rule, len(rule.path_prefix)
    return longest


def is_idempotent(rule: PathRule, method: str) -> bool:
    """Return whether a request may be repeated although it may have run."""
    return rule.idempotent if rule.idempotent is not None else method in IDEMPOTENT_METHODS


_DEFAULT_RULE = PathRule()
