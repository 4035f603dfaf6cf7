"""Build a service's demand report for the planner that moves hosts between pools."""

import collections.abc
import dataclasses
import math

from nutmegshelf import (
    calls,
    estimates,
    fitting,
    fleetview,
    ids,
    jobs,
    registry,
    simulation,
    urgency,
)

# Workers unavailable for these reasons take no tasks for some time, and count as no capacity.
_UNUSABLE = frozenset(
    {
        fleetview.Unavailability.DRAINING,
        fleetview.Unavailability.RECLAIMED,
        fleetview.Unavailability.UNRESPONSIVE,
        fleetview.Unavailability.QUARANTINED,
    }
)

Waiting = collections.abc.Collection[
    tuple[registry.JobRecord, list[tuple[registry.TaskSet, list[fleetview.Task]]]]
]
Workers = collections.abc.Collection[tuple[fleetview.Worker, fleetview.Unavailability | None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """A service's estimates of run times and the amount of work that has arrived so far."""

    estimates: estimates.Estimates
    arrived_core_ms: float


def build_report(
    workers: Workers,
    waiting_task_sets: Waiting,
    workload: Workload,
    simulated: simulation.PlacementSimulation,
    now_s: float,
    *,
    is_throttled: bool = False,
    waiting_trials: int = 0,
) -> calls.DemandReport:
    """Return the service's present demand for hosts.

    If starts are throttled while workers idle, waiting work needs no more hosts, as it waits for
    orders on their way. Hosts reserved for a long-running task do not count as idle. Tasks that may
    crash their workers need hosts of their own, up to half as many as there are.
    """
    hosts: dict[ids.HostId, calls.HostLoad] = {}
    running, long_running = 0, 0
    for worker, unavailability in workers:
        if not worker.is_listed:
            continue
        facts = worker.facts
        used = _get_used_millis(facts, worker.free)
        running += used
        long_running += _get_used_millis(facts, worker.get_room_beside_long_running())
        is_reserved = facts.incarnation in simulated.reserved
        is_idle = not worker.is_occupied and worker.is_polled and not is_reserved
        hosts[facts.host] = calls.HostLoad(
            cpu_millis=used,
            long_running_count=worker.long_running_count,
            idle_s=max(0.0, now_s - worker.idle_since_s) if is_idle else None,
            is_unusable=unavailability in _UNUSABLE,
        )
    # The entry of a worker that has not answered may be false.
    identified = [worker.facts for worker, _ in workers if worker.identified_s is not None]
    kinds = identified or [worker.facts for worker, _ in workers]
    labels = [facts.labels for facts in kinds]
    shared_labels = frozenset.intersection(*labels) if labels else frozenset()
    largest = max(kinds, key=lambda facts: facts.cpu_millis, default=None)
    waiting, overdue, min_hosts, weighted_ms = 0.0, 0.0, 0, 0.0
    for record, task_sets in waiting_task_sets:
        ratio = workload.estimates.get_ratio(record.job.queue.name)
        is_overdue = (
            not record.job.is_long_running
            and urgency.classify(record, workload.estimates, now_s) is urgency.Timeliness.EXPIRED
        )
        for task_set, tasks in task_sets:
            if not task_set.step.fills:
                millis = len(tasks) * _get_needed_millis(task_set.step, largest)
                waiting += millis
                overdue += is_overdue * millis
                weighted_ms += millis * task_set.step.estimate_ms * ratio
        if record.job.is_long_running:
            min_hosts = max(min_hosts, *(_get_min_hosts(step) for step in record.job.steps))
    waiting_ms = weighted_ms / waiting if waiting else 0.0
    if is_throttled and any(host.idle_s is not None for host in hosts.values()):
        waiting = overdue = 0.0
    return calls.DemandReport(
        cpu_running=running,
        cpu_waiting=int(waiting),
        cpu_overdue=int(overdue),
        cpu_long_running=long_running,
        waiting_ms=int(waiting_ms),
        arrived_core_ms=int(workload.arrived_core_ms),
        min_hosts=min_hosts,
        additional_hosts=min(waiting_trials, math.ceil(len(hosts) / 2))
        + (simulated.count_additional_hosts(largest, shared_labels) if largest is not None else 0),
        host_cpu_millis=largest.cpu_millis if largest is not None else 0,
        hosts=hosts,
    )


def _get_used_millis(facts: fleetview.WorkerFacts, free: fleetview.Resources) -> int:
    """Return the used share of a worker, converted to millicores."""
    used = fleetview.Resources(
        facts.cpu_millis - free.cpu_millis,
        facts.memory_mb - free.memory_mb,
        facts.accelerators - free.accelerators,
    )
    return int(facts.cpu_millis * fleetview.compute_dominant_share(used, facts))


def _get_needed_millis(step: jobs.Step, facts: fleetview.WorkerFacts | None) -> float:
    """Return the share of a worker that a task takes, converted to millicores."""
    return (
        facts.cpu_millis * fitting.compute_share(step, facts)
        if facts is not None
        else step.cpu_millis
    )


def _get_min_hosts(step: jobs.Step) -> int:
    """Return over how many hosts a long-running step has to be spread."""
    if not step.long_running:
        return 0
    return math.ceil(step.count / fitting.get_max_per_worker(step))
