"""Compare ways to follow the platform's list at the design size, in bytes and time."""

import collections.abc
import random
import time
import tracemalloc

import h11
import msgspec
from nutmegshelf import codecs, ids, platform, targets
from nutmegshelf_standins import fleet

from nutmegshelf_bench import figures

_WORKERS = 4500
_ZONES = 10
_POLLS_PER_S = 2
_DAY_S = 86_400
# Each failure or restart is listed twice: as leaving and as live again.
_CHANGES_A_DAY = 2 * (33 + 980)
_DIGEST_BYTES = 8
_SLICES = 64
# The paper's recovery bound, redundancy factor, bits of an element and partitioning factor.
_RECOVERY_BOUND = 8
_REDUNDANCY = 1
_ELEMENT_BITS = 64
_PARTITIONS = 2

RecordsByMinion = dict[ids.MinionId, platform.MinionRecord]


def _make_records() -> RecordsByMinion:
    records = (
        platform.MinionRecord(
            minion=ids.MinionId(f"service-{number % 50}-{number // 50}"),
            service=ids.ServiceName(f"service-{number % 50}"),
            host=f"127.0.{number // 250}.{number % 250}",
            port=8080,
            zone=ids.ZoneName(f"zone-{number % _ZONES}"),
            rack=ids.RackName(f"zone-{number % _ZONES}-rack-{number // 40}"),
            worker=ids.WorkerId(f"worker-{number}"),
        )
        for number in range(_WORKERS)
    )
    return {record.minion: record for record in records}


def _with_changes(
    records: RecordsByMinion, changed: collections.abc.Iterable[ids.MinionId]
) -> RecordsByMinion:
    leaving = platform.HostState.LEAVING
    return records | {
        minion: msgspec.structs.replace(records[minion], state=leaving) for minion in changed
    }


def _http_bytes(body: int) -> int:
    """Count the heads of one poll as the daemon's client and a plain server write them."""
    asked = h11.Connection(h11.CLIENT).send(
        h11.Request(
            method="GET",
            target="/fleet?after=1000000",
            headers=[
                ("host", "127.0.0.1:40000"),
                ("content-length", "0"),
                ("content-type", "application/msgpack"),
            ],
        )
    )
    server = h11.Connection(h11.SERVER)
    server.receive_data(asked or b"")
    server.next_event()
    headers = [("content-length", str(body))]
    answered = server.send(h11.Response(status_code=200 if body else 204, headers=headers))
    return len(asked or b"") + len(answered or b"")


def _changes_bytes(before: RecordsByMinion, after: RecordsByMinion) -> int:
    listed = fleet.Fleet()
    listed.put(tuple(before.values()))
    revision = _WORKERS if before else 0
    listed.put(tuple(after.values()))
    total = 0
    while page := listed.get_changes(revision):
        body = len(codecs.pack(page))
        total += body + _http_bytes(body)
        revision = page.revision
        if not page.more:
            break
    return total


def _digest_bytes(before: RecordsByMinion, after: RecordsByMinion) -> int:
    slices: list[list[bytes]] = [[] for _ in range(_SLICES)]
    differs = set()
    for minion, record in after.items():
        number = int(codecs.digest(minion.encode()), 16) % _SLICES
        slices[number].append(codecs.pack(record))
        if before.get(minion) != record:
            differs.add(number)
    digests = _SLICES * _DIGEST_BYTES
    bodies = [sum(map(len, slices[number])) for number in differs]
    return digests + _http_bytes(digests) + sum(body + _http_bytes(body) for body in bodies)


def _hashes(records: RecordsByMinion) -> set[int]:
    return {int(codecs.digest(codecs.pack(record))[:16], 16) for record in records.values()}


def _reconciliation_bytes(before: RecordsByMinion, after: RecordsByMinion) -> tuple[int, int]:
    """Count by equation 4 of the paper for each partition that its recursion visits."""
    different = _hashes(before) ^ _hashes(after)
    bits = (_RECOVERY_BOUND + _REDUNDANCY + 1) * (_ELEMENT_BITS + 1) - 1
    visited, rounds = 0, 0
    level = [different]
    while level:
        visited += len(level)
        rounds += 1
        shift = _ELEMENT_BITS - rounds
        level = [
            {one for one in part if one >> shift & 1 == half}
            for part in level
            if len(part) > _RECOVERY_BOUND
            for half in range(_PARTITIONS)
        ]
    changed = [
        codecs.pack(after[minion]) for minion in after if before.get(minion) != after[minion]
    ]
    asked = len(changed) * _ELEMENT_BITS // 8
    heads = (rounds + 1) * _http_bytes(1)
    return visited * bits // 8 + asked + sum(map(len, changed)) + heads, rounds + 1


def _show_case(name: str, before: RecordsByMinion, after: RecordsByMinion) -> int:
    whole = len(codecs.pack(platform.FleetList(revision=1, minions=tuple(after.values()))))
    changes = _changes_bytes(before, after)
    reconciled, rounds = _reconciliation_bytes(before, after)
    figures.report(f"fleetlist.{name}.whole", whole + _http_bytes(whole), "B")
    figures.report(f"fleetlist.{name}.changes", changes, "B")
    figures.report(f"fleetlist.{name}.digests", _digest_bytes(before, after), "B")
    figures.report(f"fleetlist.{name}.reconciliation", reconciled, "B")
    figures.report(f"fleetlist.{name}.reconciliation_rounds", rounds, "rounds")
    return changes


def _show_rates(one_change: int) -> None:
    polls = _POLLS_PER_S * _http_bytes(0)
    figures.report("fleetlist.polls", polls, "B/s")
    figures.report("fleetlist.day", polls + one_change * _CHANGES_A_DAY / _DAY_S, "B/s")
    probe = b"GET /health HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\n\r\n"
    answer = b"HTTP/1.1 200 \r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    figures.report("fleetlist.probes_at_10_per_s", 10 * (len(probe) + len(answer)), "B/s")


def _show_costs(records: RecordsByMinion) -> None:
    tracemalloc.start()
    known = targets.Targets(ids.EntryId("e"))
    page = platform.FleetList(revision=1, minions=tuple(records.values()))
    data = codecs.pack(page)
    held = tracemalloc.get_traced_memory()[0]
    known.apply_page(codecs.unpack(data, platform.FleetList), 0.0)
    figures.report("fleetlist.memory", (tracemalloc.get_traced_memory()[0] - held) / 1e6, "MB")
    tracemalloc.stop()
    started_s = time.perf_counter()
    known.get_records()
    figures.report("fleetlist.records", (time.perf_counter() - started_s) * 1000, "ms")
    started_s = time.perf_counter()
    known.set_entries([ids.EntryId(f"e{number}") for number in range(7)], 0.0)
    figures.report("fleetlist.share_anew", (time.perf_counter() - started_s) * 1000, "ms")
    ticks = 10 * 60
    started_s = time.process_time()
    for tick in range(ticks):
        for record in known.take_due(tick / 10, 1):
            known.record_probe(record.minion, targets.ProbeResult.HEALTHY, tick / 10, tick / 10)
    figures.report(
        "fleetlist.probe_decisions", (time.process_time() - started_s) / 60 * 100, "%core"
    )


@figures.register("fleetlist")
def measure_fleet_list(seed: int) -> None:
    """Print the bytes of each way to follow the list, and the cost of keeping it."""
    rng = random.Random(seed)
    records = _make_records()
    names = list(records)
    one = _show_case("one", records, _with_changes(records, [rng.choice(names)]))
    _show_case("rack", records, _with_changes(records, names[:40]))
    lost = [name for name in names if records[name].zone == "zone-0"]
    _show_case("zone", records, _with_changes(records, lost))
    _show_case("start", {}, records)
    _show_rates(one)
    _show_costs(records)
