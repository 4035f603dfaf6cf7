"""Define the queues that callers submit jobs to, and route requests to them."""

import collections
import dataclasses
import math

import msgspec

from nutmegshelf import costs, declarations, ids

_SECONDS_PER_HOUR = 3_600


class AdviceTiming(msgspec.Struct, frozen=True, kw_only=True):
    """The time that a queue's policy service takes to answer, and the validity of its tickets."""

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue: where its requests arrive and how its jobs are run."""

    name: ids.QueueName
    host: str
    path_prefix: str
    service: ids.ServiceName
    timeout_ms: int
    target_latency_ms: int
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advised: AdviceTiming | None = None

    @property
    def address(self) -> str:
        """Return the host and the path prefix, by which callers know the queue."""
        return f"{self.host}{self.path_prefix}"


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service: a pool of workers that run the jobs of its queues."""

    name: ids.ServiceName
    is_guarded: bool = True
    is_spare: bool = False
    max_connections: int = 64


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and time of a caller's request."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class QueueSet(msgspec.Struct, frozen=True, kw_only=True):
    """One version of all queues and services."""

    version: ids.Version
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    # None if no host costs are declared.
    host_costs: costs.Costs | None = None


def find_faults(declared: QueueSet) -> list[str]:
    """Return the faults of a set, a line each; a set with faults must not be activated."""
    messages: list[str] = []
    services = collections.Counter(service.name for service in declared.services)
    names = collections.Counter(queue.name for queue in declared.queues)
    paths = collections.Counter((queue.host, queue.path_prefix) for queue in declared.queues)
    messages += [
        f"service {name} is declared twice" for name, count in services.items() if count > 1
    ]
    messages += [f"queue {name} is declared twice" for name, count in names.items() if count > 1]
    messages += [
        f"{host}{path} has two queues" for (host, path), count in paths.items() if count > 1
    ]
    for queue in declared.queues:
        if queue.service not in services:
            messages.append(f"queue {queue.name}: service {queue.service} is not declared")
        if not queue.path_prefix.startswith("/"):
            messages.append(f"queue {queue.name}: its path does not begin with /")
        if queue.timeout_ms <= 0 or queue.max_attempts < 1:
            messages.append(f"queue {queue.name}: it allows no time or no attempt")
    return messages


def build_queue_set(declared: declarations.DeclarationSet, version: ids.Version) -> QueueSet:
    """Build the queue set of one version of the declarations."""
    return QueueSet(
        version=version,
        queues=tuple(
            Queue(
                name=name,
                host=queue.host,
                path_prefix=queue.path_prefix,
                service=queue.service,
                timeout_ms=queue.timeout_ms,
                target_latency_ms=queue.target_latency_ms,
                priority=queue.priority,
                max_attempts=queue.max_attempts,
                stretch=queue.stretch,
            )
            for name, queue in declared.queues.items()
        ),
        services=tuple(
            Service(
                name=name,
                is_guarded=service.guarded,
                is_spare=declared.pools[service.pool].spare,
                max_connections=service.connections_per_minion,
            )
            for name, service in declared.services.items()
        ),
        host_costs=costs.Costs(
            move_host_s_by_pool={
                name: _SECONDS_PER_HOUR * pool.move_cost / pool.idle_worker_hour_cost
                for name, service in declared.services.items()
                if (pool := declared.pools[service.pool]).idle_worker_hour_cost
            }
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """The queue and the job that a request names; the job is empty for the whole queue."""

    queue: Queue
    job: ids.JobId


class Routes:
    """Find the queue of a request by its host and the longest matching path prefix."""

    def __init__(self, declared: QueueSet) -> None:
        self.declared = declared
        self.by_name = {queue.name: queue for queue in declared.queues}
        self.services = {service.name: service for service in declared.services}
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(declared.queues, key=lambda queue: -len(queue.path_prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    def find(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue and the job that a path names, or None."""
        for queue in self._by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(queue.path_prefix):
                return RouteMatch(queue, ids.JobId(path[len(queue.path_prefix) :]))
        return None

    @property
    def held_services(self) -> list[ids.ServiceName]:
        """Return the services that need a holder, also for jobs of queues that were removed."""
        declared = {service.name for service in self.declared.services if not service.is_spare}
        return sorted(declared | {queue.service for queue in self.declared.queues})

    @property
    def spare_service(self) -> ids.ServiceName | None:
        """Return the service whose hosts are switched off, or None."""
        names = (service.name for service in self.declared.services if service.is_spare)
        return next(names, None)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConfirmation:
    """Confirm that every version accepted until a time of the local clock has been delivered."""

    as_of_s: float


class ActiveQueues:
    """The newest queue set seen; an older version never replaces it.

    An accepted version has to be active on every entry within `apply_s`.
    """

    def __init__(self, apply_s: float) -> None:
        self.routes: Routes | None = None
        self.changed_s = 0.0
        self.confirmed_s = -math.inf
        self._apply_s = apply_s
        self._newest = ids.NO_VERSION

    @property
    def version(self) -> ids.Version:
        """Return the active version, or NO_VERSION."""
        return self.routes.declared.version if self.routes is not None else ids.NO_VERSION

    def activate(self, declared: QueueSet, now_s: float) -> bool:
        """Activate a version unless it is older than the active one."""
        if self.routes is not None and declared.version <= self.routes.declared.version:
            return False
        self.routes = Routes(declared)
        self.changed_s = now_s
        return True

    def confirm(self, confirmed: VersionConfirmation) -> None:
        """Record the time until which no other version was accepted."""
        self.confirmed_s = max(self.confirmed_s, confirmed.as_of_s)

    def observe_version(self, version: ids.Version) -> None:
        """Record a version that is active on another entry."""
        self._newest = max(self._newest, version)

    def is_stale(self, now_s: float) -> bool:
        """Return whether a newer version is active on another entry, or may have to be."""
        return self._newest > self.version or now_s - self.confirmed_s > self._apply_s
