"""Compare protocols for following the platform's fleet list at the design size."""

import collections.abc
import random
import time
import tracemalloc

import h11
import msgspec
from nutmegshelf import codecs, ids, platform, targets
from nutmegshelf_standins import fleet

from nutmegshelf_bench import figures

_WORKER_COUNT = 4500
_ZONE_COUNT = 10
_POLLS_PER_S = 2
_DAY_S = 86_400
# Each failure or restart changes the list twice: to leaving and back to live.
_CHANGES_PER_DAY = 2 * (33 + 980)
_DIGEST_BYTES = 8
_SLICE_COUNT = 64
# Recovery bound, redundancy factor, element size and partitioning factor, as in the paper on the
# set reconciliation protocol.
_RECOVERY_BOUND = 8
_REDUNDANCY = 1
_ELEMENT_BITS = 64
_PARTITION_FACTOR = 2

RecordsByMinion = dict[ids.MinionId, platform.MinionRecord]


def _make_records() -> RecordsByMinion:
    records = (
        platform.MinionRecord(
            minion=ids.MinionId(f"service-{number % 50}-{number // 50}"),
            service=ids.ServiceName(f"service-{number % 50}"),
            host=f"127.0.{number // 250}.{number % 250}",
            port=8080,
            zone=ids.ZoneName(f"zone-{number % _ZONE_COUNT}"),
            rack=ids.RackName(f"zone-{number % _ZONE_COUNT}-rack-{number // 40}"),
            worker=ids.WorkerId(f"worker-{number}"),
        )
        for number in range(_WORKER_COUNT)
    )
    return {record.minion: record for record in records}


def _mark_leaving(
    records: RecordsByMinion, changed: collections.abc.Iterable[ids.MinionId]
) -> RecordsByMinion:
    leaving = platform.HostState.LEAVING
    return records | {
        minion: msgspec.structs.replace(records[minion], state=leaving) for minion in changed
    }


def _measure_http_bytes(body_bytes: int) -> int:
    """Return the bytes of the HTTP heads of a poll between an entry's client and a plain server."""
    request = h11.Connection(h11.CLIENT).send(
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
    server.receive_data(request or b"")
    server.next_event()
    headers = [("content-length", str(body_bytes))]
    response = server.send(h11.Response(status_code=200 if body_bytes else 204, headers=headers))
    return len(request or b"") + len(response or b"")


def _measure_change_bytes(before: RecordsByMinion, after: RecordsByMinion) -> int:
    fleet_list = fleet.Fleet()
    fleet_list.put(tuple(before.values()))
    revision = _WORKER_COUNT if before else 0
    fleet_list.put(tuple(after.values()))
    total_bytes = 0
    while page := fleet_list.get_changes(revision):
        body_bytes = len(codecs.pack(page))
        total_bytes += body_bytes + _measure_http_bytes(body_bytes)
        revision = page.revision
        if not page.more:
            break
    return total_bytes


def _measure_digest_bytes(before: RecordsByMinion, after: RecordsByMinion) -> int:
    slices: list[list[bytes]] = [[] for _ in range(_SLICE_COUNT)]
    changed_slices = set()
    for minion, record in after.items():
        slice_number = int(codecs.digest(minion.encode()), 16) % _SLICE_COUNT
        slices[slice_number].append(codecs.pack(record))
        if before.get(minion) != record:
            changed_slices.add(slice_number)
    digest_bytes = _SLICE_COUNT * _DIGEST_BYTES
    body_sizes = [sum(map(len, slices[slice_number])) for slice_number in changed_slices]
    return (
        digest_bytes
        + _measure_http_bytes(digest_bytes)
        + sum(body_bytes + _measure_http_bytes(body_bytes) for body_bytes in body_sizes)
    )


def _hash_records(records: RecordsByMinion) -> set[int]:
    return {int(codecs.digest(codecs.pack(record))[:16], 16) for record in records.values()}


def _measure_reconciliation_bytes(
    before: RecordsByMinion, after: RecordsByMinion
) -> tuple[int, int]:
    """Return bytes and rounds, by equation 4 of the paper for each partition of its recursion."""
    differing_hashes = _hash_records(before) ^ _hash_records(after)
    bits = (_RECOVERY_BOUND + _REDUNDANCY + 1) * (_ELEMENT_BITS + 1) - 1
    visited_count, round_count = 0, 0
    partitions = [differing_hashes]
    while partitions:
        visited_count += len(partitions)
        round_count += 1
        shift = _ELEMENT_BITS - round_count
        partitions = [
            {element for element in partition if element >> shift & 1 == bit}
            for partition in partitions
            if len(partition) > _RECOVERY_BOUND
            for bit in range(_PARTITION_FACTOR)
        ]
    changed = [
        codecs.pack(after[minion]) for minion in after if before.get(minion) != after[minion]
    ]
    request_bytes = len(changed) * _ELEMENT_BITS // 8
    header_bytes = (round_count + 1) * _measure_http_bytes(1)
    return (
        visited_count * bits // 8 + request_bytes + sum(map(len, changed)) + header_bytes,
        round_count + 1,
    )


def _report_case(name: str, before: RecordsByMinion, after: RecordsByMinion) -> int:
    whole_bytes = len(codecs.pack(platform.FleetList(revision=1, minions=tuple(after.values()))))
    change_bytes = _measure_change_bytes(before, after)
    reconciliation_bytes, round_count = _measure_reconciliation_bytes(before, after)
    figures.report(f"fleetlist.{name}.whole", whole_bytes + _measure_http_bytes(whole_bytes), "B")
    figures.report(f"fleetlist.{name}.changes", change_bytes, "B")
    figures.report(f"fleetlist.{name}.digests", _measure_digest_bytes(before, after), "B")
    figures.report(f"fleetlist.{name}.reconciliation", reconciliation_bytes, "B")
    figures.report(f"fleetlist.{name}.reconciliation_rounds", round_count, "rounds")
    return change_bytes


def _report_rates(single_change_bytes: int) -> None:
    poll_bytes_per_s = _POLLS_PER_S * _measure_http_bytes(0)
    figures.report("fleetlist.polls", poll_bytes_per_s, "B/s")
    figures.report(
        "fleetlist.day", poll_bytes_per_s + single_change_bytes * _CHANGES_PER_DAY / _DAY_S, "B/s"
    )
    probe = b"GET /health HTTP/1.1\r\nhost: 127.0.0.1\r\nconnection: close\r\n\r\n"
    answer = b"HTTP/1.1 200 \r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    figures.report("fleetlist.probes_at_10_per_s", 10 * (len(probe) + len(answer)), "B/s")


def _report_costs(records: RecordsByMinion) -> None:
    tracemalloc.start()
    client_targets = targets.Targets(ids.EntryId("e"))
    page = platform.FleetList(revision=1, minions=tuple(records.values()))
    data = codecs.pack(page)
    page_memory_bytes = tracemalloc.get_traced_memory()[0]
    client_targets.apply_page(codecs.unpack(data, platform.FleetList), 0.0)
    figures.report(
        "fleetlist.memory", (tracemalloc.get_traced_memory()[0] - page_memory_bytes) / 1e6, "MB"
    )
    tracemalloc.stop()
    started_s = time.perf_counter()
    client_targets.get_records()
    figures.report("fleetlist.records", (time.perf_counter() - started_s) * 1000, "ms")
    started_s = time.perf_counter()
    client_targets.set_entries([ids.EntryId(f"e{number}") for number in range(7)], 0.0)
    figures.report("fleetlist.share_anew", (time.perf_counter() - started_s) * 1000, "ms")
    tick_count = 10 * 60
    started_s = time.process_time()
    for tick in range(tick_count):
        for record in client_targets.take_due(tick / 10, 1):
            client_targets.record_probe(
                record.minion, targets.ProbeResult.HEALTHY, tick / 10, tick / 10
            )
    figures.report(
        "fleetlist.probe_decisions", (time.process_time() - started_s) / 60 * 100, "%core"
    )


@figures.register("fleetlist")
def measure_fleet_list(seed: int) -> None:
    """Print the bytes of each protocol, and the memory and time to maintain the list."""
    rng = random.Random(seed)
    records = _make_records()
    minions = list(records)
    single_change_bytes = _report_case(
        "one", records, _mark_leaving(records, [rng.choice(minions)])
    )
    _report_case("rack", records, _mark_leaving(records, minions[:40]))
    lost_minions = [minion for minion in minions if records[minion].zone == "zone-0"]
    _report_case("zone", records, _mark_leaving(records, lost_minions))
    _report_case("start", {}, records)
    _report_rates(single_change_bytes)
    _report_costs(records)
