"""Say what one service needs of hosts, for the planner of the pools."""

import collections.abc
import dataclasses
import math

from nutmegshelf import calls, estimates, fitting, fleetview, ids, jobs, registry, simulation

# Workers that are closed for these reasons take no tasks for long, and are no room.
_NO_ROOM = frozenset(
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
    """Hold what a service knows of the work that comes: its times, and how much came so far."""

    estimates: estimates.Estimates
    arrived_core_ms: float


def build_report(
    workers: Workers,
    waiting_parts: Waiting,
    learned: Workload,
    found: simulation.PlacementSimulation,
    now_s: float,
    *,
    is_held_up: bool = False,
) -> calls.DemandReport:
    """Say what the service needs of hosts now.

    Work that waits for its way to workers that idle is held up by the orders on their way, and
    needs no more hosts. Hosts that a task that lasts is meant for do not idle.
    """
    hosts: dict[ids.HostId, calls.HostLoad] = {}
    running, lasting = 0, 0
    for worker, closure in workers:
        if not worker.is_listed:
            continue
        facts = worker.facts
        used = _taken_millis(facts, worker.free)
        running += used
        lasting += _taken_millis(facts, worker.get_room_beside_long_running())
        is_meant = facts.incarnation in found.reserved
        is_idle = not worker.tasks and not worker.unknown_runs and worker.is_polled and not is_meant
        hosts[facts.host] = calls.HostLoad(
            cpu_millis=used,
            long_running_count=worker.long_running_count,
            idle_s=max(0.0, now_s - worker.idle_since_s) if is_idle else None,
            is_unusable=closure in _NO_ROOM,
        )
    labels = [one.facts.labels for one, _ in workers]
    shared = frozenset.intersection(*labels) if labels else frozenset()
    largest = max((one.facts for one, _ in workers), key=lambda one: one.cpu_millis, default=None)
    waiting, least, weighted_ms = 0.0, 0, 0.0
    for record, parts in waiting_parts:
        ratio = learned.estimates.get_ratio(record.job.queue.name)
        for part, tasks in parts:
            if not part.step.fills:
                millis = len(tasks) * _needed_millis(part.step, largest)
                waiting += millis
                weighted_ms += millis * part.step.estimate_ms * ratio
        if record.job.is_long_running:
            least = max(least, *(_least_hosts(step) for step in record.job.steps))
    waiting_ms = weighted_ms / waiting if waiting else 0.0
    if is_held_up and any(host.idle_s is not None for host in hosts.values()):
        waiting = 0.0
    return calls.DemandReport(
        cpu_running=running,
        cpu_waiting=int(waiting),
        cpu_long_running=lasting,
        waiting_ms=int(waiting_ms),
        arrived_core_ms=int(learned.arrived_core_ms),
        min_hosts=least,
        additional_hosts=(
            found.count_additional_hosts(largest, shared) if largest is not None else 0
        ),
        host_cpu_millis=largest.cpu_millis if largest is not None else 0,
        hosts=hosts,
    )


def _taken_millis(facts: fleetview.WorkerFacts, free: fleetview.Resources) -> int:
    """Give the room that is taken of a worker, as cores."""
    taken = fleetview.Resources(
        facts.cpu_millis - free.cpu_millis,
        facts.memory_mb - free.memory_mb,
        facts.accelerators - free.accelerators,
    )
    return int(facts.cpu_millis * fleetview.compute_dominant_share(taken, facts))


def _needed_millis(step: jobs.Step, facts: fleetview.WorkerFacts | None) -> float:
    """Give the room that a task takes of a worker, as cores."""
    return (
        facts.cpu_millis * fitting.compute_share(step, facts)
        if facts is not None
        else step.cpu_millis
    )


def _least_hosts(step: jobs.Step) -> int:
    """Give over how many hosts a step that lasts has to be spread."""
    if not step.long_running:
        return 0
    return math.ceil(step.count / fitting.get_max_per_worker(step))
