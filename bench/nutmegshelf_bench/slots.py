"""Measure the ways to share the minions' slots among entries."""

import functools
import random
import time

from nutmegshelf import declarations, dispatch, ids

from nutmegshelf_bench import _replay, figures

_ENTRIES = _replay.ENTRY_COUNT
_MINIONS = 8
_MEAN_S = 0.05
_LENGTH_S = 10.0
_DECISIONS = 4000
_CANDIDATES = ("divided", "alone", "seats", "loans", "owner")
# The part of all slots that is asked for, and the part of it that comes to the first entry.
_LOADS = {"even": (0.8, 1 / _ENTRIES), "skewed": (0.8, 0.5), "sole": (0.5, 1.0)}


def replay(candidate: str, load: str, seed: int) -> _replay.Statistics:
    """Replay one candidate under one load."""
    rng = random.Random(f"{seed}:{load}")
    found = _replay.Statistics()
    clock = _replay.Simulator()
    minions = _replay.Minions(clock, found, _MINIONS)
    entries = _replay.build_entries(candidate, clock, minions, found, seed)
    asked, to_first = _LOADS[load]
    rate_per_s = asked * _MINIONS * _replay.SLOTS_PER_MINION / _MEAN_S
    weights = [to_first, *[(1 - to_first) / (_ENTRIES - 1)] * (_ENTRIES - 1)]
    at_s, number = 0.0, 0
    while (at_s := at_s + rng.expovariate(rate_per_s)) < _LENGTH_S:
        entry = rng.choices(entries, weights)[0]
        name = ids.RequestId(f"r{number}")
        clock.schedule(at_s, functools.partial(entry.submit, name, _MEAN_S))
        number += 1

    def each(passed_s: float) -> None:
        waiting = sum(entry.dispatcher.queued for entry in entries)
        if waiting:
            found.idle_while_waiting_s += passed_s * min(waiting, minions.count_free_slots())

    clock.run(_LENGTH_S, each)
    return found


def measure_decision_us(minions: int, seed: int) -> float:
    """Time one grant and its release with half of the slots taken."""
    rng = random.Random(seed)
    clock, found = _replay.Simulator(), _replay.Statistics()
    fleet = _replay.Minions(clock, found, minions)
    dispatcher = dispatch.Dispatcher(256, ids.ZoneName("z"), rng)
    dispatcher.set_targets(
        fleet.records, lambda minion: _replay.SLOTS_PER_MINION, _replay.SLOTS_PER_MINION, 0.0
    )
    normal = declarations.RequestClass.NORMAL
    tickets = [
        dispatch.Ticket(ids.RequestId(f"r{number}"), normal, 60.0) for number in range(_DECISIONS)
    ]
    for ticket in tickets[: minions * _replay.SLOTS_PER_MINION // 2]:
        dispatcher.offer(ticket, 0.0)
    started_s = time.perf_counter()
    for ticket in tickets:
        (grant,) = dispatcher.offer(ticket, 0.0)
        assert isinstance(grant, dispatch.Grant)
        dispatcher.release(grant.minion.minion, 0.0, _MEAN_S)
    return (time.perf_counter() - started_s) / _DECISIONS * 1e6


@figures.register("slots")
def measure_slots(seed: int) -> None:
    """Print slots.CANDIDATE.LOAD.figure for every candidate and load."""
    for minions in (8, 80, 400):
        times_us = [measure_decision_us(minions, seed) for _ in range(3)]
        figures.report_spread(f"slots.decision.{minions}_minions", times_us, "us")
    slot_s = _LENGTH_S * _MINIONS * _replay.SLOTS_PER_MINION
    for load in _LOADS:
        for candidate in _CANDIDATES:
            found = replay(candidate, load, seed)
            name = f"slots.{candidate}.{load}"
            figures.report(f"{name}.most_at_minion", found.max_at_minion, "requests")
            figures.report(f"{name}.starts_over", found.starts_over_capacity, "requests")
            idle = found.idle_while_waiting_s / slot_s
            figures.report(f"{name}.idle_while_waiting", idle, "fraction")
            figures.report(f"{name}.p99_wait", found.p99_wait_ms, "ms")
            figures.report(f"{name}.refused", found.refused, "requests")
            per_entry_s = _ENTRIES * _LENGTH_S
            figures.report(
                f"{name}.messages", found.message_count / per_entry_s, "messages/s/entry"
            )
            figures.report(f"{name}.sent", found.message_bytes / per_entry_s, "B/s/entry")
