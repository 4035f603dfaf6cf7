"""Compare policies for sharing the slots of minions among entries."""

import functools
import random
import time

from nutmegshelf import declarations, dispatch, ids

from nutmegshelf_bench import _replay, figures

_ENTRY_COUNT = _replay.ENTRY_COUNT
_MINION_COUNT = 8
_MEAN_SERVICE_TIME_S = 0.05
_DURATION_S = 10.0
_DECISION_COUNT = 4000
_CANDIDATES = ("divided", "alone", "seats", "loans", "owner")
# The demand as a fraction of all slots, and the fraction of it that reaches the first entry.
_LOADS = {"even": (0.8, 1 / _ENTRY_COUNT), "skewed": (0.8, 0.5), "sole": (0.5, 1.0)}


def simulate(candidate: str, load: str, seed: int) -> _replay.Statistics:
    """Simulate one candidate policy under one load."""
    rng = random.Random(f"{seed}:{load}")
    statistics = _replay.Statistics()
    simulator = _replay.Simulator()
    minions = _replay.Minions(simulator, statistics, _MINION_COUNT)
    entries = _replay.build_entries(candidate, simulator, minions, statistics, seed)
    demand_fraction, first_entry_fraction = _LOADS[load]
    rate_per_s = demand_fraction * _MINION_COUNT * _replay.SLOTS_PER_MINION / _MEAN_SERVICE_TIME_S
    weights = [
        first_entry_fraction,
        *[(1 - first_entry_fraction) / (_ENTRY_COUNT - 1)] * (_ENTRY_COUNT - 1),
    ]
    at_s, number = 0.0, 0
    while (at_s := at_s + rng.expovariate(rate_per_s)) < _DURATION_S:
        entry = rng.choices(entries, weights)[0]
        request = ids.RequestId(f"r{number}")
        simulator.schedule(at_s, functools.partial(entry.submit, request, _MEAN_SERVICE_TIME_S))
        number += 1

    def count_idle_slots(elapsed_s: float) -> None:
        waiting = sum(entry.dispatcher.queued for entry in entries)
        if waiting:
            statistics.idle_while_waiting_s += elapsed_s * min(waiting, minions.count_free_slots())

    simulator.run(_DURATION_S, count_idle_slots)
    return statistics


def measure_decision_us(minion_count: int, seed: int) -> float:
    """Return the time of one grant and its release with half of the slots in use."""
    rng = random.Random(seed)
    simulator, statistics = _replay.Simulator(), _replay.Statistics()
    simulated_minions = _replay.Minions(simulator, statistics, minion_count)
    dispatcher = dispatch.Dispatcher(256, ids.ZoneName("z"), rng)
    dispatcher.set_targets(
        simulated_minions.records,
        lambda minion: _replay.SLOTS_PER_MINION,
        _replay.SLOTS_PER_MINION,
        0.0,
    )
    request_class = declarations.RequestClass.NORMAL
    tickets = [
        dispatch.Ticket(ids.RequestId(f"r{number}"), request_class, 60.0)
        for number in range(_DECISION_COUNT)
    ]
    for ticket in tickets[: minion_count * _replay.SLOTS_PER_MINION // 2]:
        dispatcher.offer(ticket, 0.0)
    started_s = time.perf_counter()
    for ticket in tickets:
        (grant,) = dispatcher.offer(ticket, 0.0)
        assert isinstance(grant, dispatch.Grant)
        dispatcher.release(grant.minion.minion, 0.0, _MEAN_SERVICE_TIME_S)
    return (time.perf_counter() - started_s) / _DECISION_COUNT * 1e6


@figures.register("slots")
def measure_slots(seed: int) -> None:
    """Print slots.CANDIDATE.LOAD results for every candidate and load, and the decision time."""
    for minion_count in (8, 80, 400):
        times_us = [measure_decision_us(minion_count, seed) for _ in range(3)]
        figures.report_spread(f"slots.decision.{minion_count}_minions", times_us, "us")
    slot_s = _DURATION_S * _MINION_COUNT * _replay.SLOTS_PER_MINION
    for load in _LOADS:
        for candidate in _CANDIDATES:
            statistics = simulate(candidate, load, seed)
            name = f"slots.{candidate}.{load}"
            figures.report(f"{name}.most_at_minion", statistics.max_at_minion, "requests")
            figures.report(f"{name}.starts_over", statistics.starts_over_capacity, "requests")
            idle = statistics.idle_while_waiting_s / slot_s
            figures.report(f"{name}.idle_while_waiting", idle, "fraction")
            figures.report(f"{name}.p99_wait", statistics.p99_wait_ms, "ms")
            figures.report(f"{name}.refused", statistics.refused, "requests")
            per_entry_s = _ENTRY_COUNT * _DURATION_S
            figures.report(
                f"{name}.messages", statistics.message_count / per_entry_s, "messages/s/entry"
            )
            figures.report(f"{name}.sent", statistics.message_bytes / per_entry_s, "B/s/entry")
