"""Limit the orders in flight to workers, and choose the entry whose link sends each start.

In a burst a service has more starts than its holder's link or processor can handle. Sent anyway,
they would queue there in order of sending until they time out. So tasks beyond the window stay
waiting, the most urgent first, and starts beyond a part of the window are handed to other entries,
which forward them to the workers.
"""

import collections.abc
import dataclasses
import functools
import hashlib
import math

from nutmegshelf import fleetview, ids, jobs, members, orders

# Orders in flight may occupy the link, or the processor, for no longer than this.
_MAX_QUEUE_DELAY_S = 0.1
# Processor time to send one order and to read its answer.
_ORDER_CPU_S = 0.001
_MIN_ORDERS = 8
# Share of the link for orders; the rest is for answers to callers, polls and the table.
_LINK_SHARE = 0.7
# Beyond these shares of the window other entries forward the starts, which takes fewer bytes here.
_OWN_ORDERS_SHARE = 0.5
_OWN_LINK_SHARE = 0.1
# Limits of the starts in flight through one other entry, which may be the smallest of all.
_MAX_FORWARDED = 16
_MAX_FORWARDED_BYTES = 16 * 1024
# How long to avoid an entry that failed to forward starts, and one whose link is saturated.
_FAILURE_AVOIDANCE_S = 2.0
_SATURATION_AVOIDANCE_S = 0.05
# Specifications assumed to be cached by an entry, which caches those of several holders.
_MAX_KNOWN_SPECS = 256
MAX_CACHED_SPECS = 8 * _MAX_KNOWN_SPECS


class Window:
    """The limits of the orders of one entry, which share its link and its processor."""

    def __init__(self, link_bytes_s: float | None = None, cores: float | None = None) -> None:
        self._rate_bytes_s = _LINK_SHARE * link_bytes_s if link_bytes_s is not None else math.inf
        self._max_orders = math.inf
        if cores is not None:
            self._max_orders = max(_MIN_ORDERS, cores * _MAX_QUEUE_DELAY_S / _ORDER_CPU_S)
        # When the link will have sent all bytes reserved so far.
        self._link_free_s = 0.0
        # Orders that are chosen but queued behind others to the same worker.
        self.waiting_orders = 0
        self.orders_in_flight = 0
        self.sent_orders = 0
        self.sent_bytes = 0

    def get_queue_delay_s(self, now_s: float) -> float:
        """Return how long the link takes to send the bytes reserved so far."""
        return max(0.0, self._link_free_s - now_s)

    def has_capacity(self, now_s: float, share: float = 1.0) -> bool:
        """Return whether one more order fits into a share of the window."""
        return self.has_processor_capacity(share) and self.has_link_capacity(now_s, share)

    def has_processor_capacity(self, share: float = 1.0) -> bool:
        """Return whether the processor can handle one more order, within a share of the window."""
        return self.orders_in_flight < share * self._max_orders

    def has_link_capacity(self, now_s: float, share: float = 1.0) -> bool:
        """Return whether the link can send more bytes, within a share of the window."""
        return self.get_queue_delay_s(now_s) < share * _MAX_QUEUE_DELAY_S

    def reserve(self, size_bytes: int, now_s: float) -> None:
        """Reserve window for an order that was chosen."""
        self.orders_in_flight += 1
        self.sent_orders += 1
        self.reserve_bytes(size_bytes, now_s)

    def reserve_bytes(self, size_bytes: int, now_s: float) -> None:
        """Reserve time of the link for some bytes."""
        self.sent_bytes += size_bytes
        self._link_free_s = max(self._link_free_s, now_s) + size_bytes / self._rate_bytes_s

    def release(self) -> None:
        """Release the window of an order that was answered or has timed out."""
        self.orders_in_flight -= 1


@dataclasses.dataclass(slots=True)
class _Forwarder:
    row: members.EntryRow
    starts: int = 0
    start_bytes: int = 0
    avoided_until_s: float = 0.0
    # Jobs whose specification it has cached, the oldest first.
    known_specs: dict[ids.JobId, None] = dataclasses.field(default_factory=dict)
    # Workers that it can't reach, and until when it is avoided for them.
    unreachable: dict[ids.WorkerId, float] = dataclasses.field(default_factory=dict)

    def is_usable(self, facts: fleetview.WorkerFacts, now_s: float) -> bool:
        return now_s >= max(
            self.avoided_until_s, self.unreachable.get(facts.incarnation.worker, 0.0)
        )

    @property
    def has_room(self) -> bool:
        return self.starts < _MAX_FORWARDED and self.start_bytes < _MAX_FORWARDED_BYTES

    def add_spec(self, job: ids.JobId) -> None:
        self.known_specs.pop(job, None)
        self.known_specs[job] = None
        while len(self.known_specs) > _MAX_KNOWN_SPECS:
            del self.known_specs[next(iter(self.known_specs))]


class StartRouter:
    """Chooses for each start whether this entry sends it or another one forwards it."""

    def __init__(self, own_window: Window | None = None) -> None:
        self.window = own_window or Window()
        self._forwarders: dict[ids.EntryId, _Forwarder] = {}

    def update_entries(self, rows: collections.abc.Iterable[members.EntryRow]) -> None:
        """Update the live other entries, at the start of each scheduling pass."""
        previous = self._forwarders
        self._forwarders = {row.entry: previous.get(row.entry) or _Forwarder(row) for row in rows}
        for row in rows:
            self._forwarders[row.entry].row = row

    def get_address(self, entry: ids.EntryId) -> str | None:
        """Return the address for calls to an entry, or None if it is not live."""
        forwarder = self._forwarders.get(entry)
        return forwarder.row.peer_address if forwarder is not None else None

    def route(
        self, job: jobs.Job, checkpoint: str, worker: fleetview.Worker, now_s: float
    ) -> orders.Route | None:
        """Return the route of a start, or None while the window is full."""
        if self.window.has_processor_capacity(_OWN_ORDERS_SHARE) and self.window.has_link_capacity(
            now_s, _OWN_LINK_SHARE
        ):
            return self.get_direct_route(job, checkpoint)
        usable = [
            candidate
            for candidate in self._forwarders.values()
            if candidate.is_usable(worker.facts, now_s)
        ]
        if not usable:
            return (
                self.get_direct_route(job, checkpoint) if self.window.has_capacity(now_s) else None
            )
        forwarder = _choose_forwarder(usable, worker.facts, job.job)
        if forwarder is None or not self.window.has_link_capacity(now_s):
            return None
        includes_spec = job.job not in forwarder.known_specs
        size_bytes = (
            orders.FORWARDED_START_BYTES + len(checkpoint) + (len(job.spec) if includes_spec else 0)
        )
        forwarded_bytes = self.get_direct_route(job, checkpoint).size_bytes
        return orders.Route(forwarder.row.entry, size_bytes, includes_spec, forwarded_bytes)

    def get_direct_route(self, job: jobs.Job, checkpoint: str) -> orders.Route:
        """Return the route of a start over this entry's own link."""
        return orders.Route(None, orders.CALL_BYTES + len(job.spec) + len(checkpoint))

    def reserve(self, job: ids.JobId, route: orders.Route, now_s: float) -> None:
        """Reserve window for a start on its route."""
        forwarder = self._forwarders.get(route.forwarder) if route.forwarder is not None else None
        if forwarder is None:
            self.window.reserve(route.size_bytes, now_s)
            return
        # One call holds many starts, so their cost in processor time is small and not counted.
        self.window.reserve_bytes(route.size_bytes, now_s)
        forwarder.starts += 1
        forwarder.start_bytes += route.forwarded_bytes
        forwarder.add_spec(job)

    def release(self, route: orders.Route) -> None:
        """Release the window of a start that was answered or has timed out."""
        if route.forwarder is None:
            self.window.release()
            return
        forwarder = self._forwarders.get(route.forwarder)
        if forwarder is not None:
            forwarder.starts = max(0, forwarder.starts - 1)
            forwarder.start_bytes = max(0, forwarder.start_bytes - route.forwarded_bytes)

    def pause(self, entry: ids.EntryId, now_s: float) -> None:
        """Avoid an entry with a saturated link for a moment."""
        forwarder = self._forwarders.get(entry)
        if forwarder is not None:
            forwarder.avoided_until_s = max(
                forwarder.avoided_until_s, now_s + _SATURATION_AVOIDANCE_S
            )

    def avoid_for_worker(self, entry: ids.EntryId, worker: ids.WorkerId, now_s: float) -> None:
        """Avoid an entry for a worker that it can't reach or doesn't know."""
        forwarder = self._forwarders.get(entry)
        if forwarder is not None:
            unreachable = {
                other: until_s
                for other, until_s in forwarder.unreachable.items()
                if until_s > now_s
            }
            forwarder.unreachable = unreachable | {worker: now_s + _FAILURE_AVOIDANCE_S}

    def forget_spec(self, entry: ids.EntryId, job: ids.JobId) -> None:
        """Record that an entry has not cached the specification of a job."""
        forwarder = self._forwarders.get(entry)
        if forwarder is not None:
            forwarder.known_specs.pop(job, None)

    def avoid(self, entry: ids.EntryId, now_s: float) -> None:
        """Avoid an entry that failed to forward starts, and send it all specifications again."""
        forwarder = self._forwarders.get(entry)
        if forwarder is not None:
            forwarder.avoided_until_s = now_s + _FAILURE_AVOIDANCE_S
            forwarder.known_specs.clear()


def _choose_forwarder(
    usable: list[_Forwarder], facts: fleetview.WorkerFacts, job: ids.JobId
) -> _Forwarder | None:
    """Return the entry to forward a start to a worker, in the worker's zone if one there has room.

    Entries that have cached the specification come first. Otherwise rendezvous hashing gives a
    worker the same entry while that has room and the entries stay the same, to reuse connections.
    """
    available = [candidate for candidate in usable if candidate.has_room]
    same_zone = [candidate for candidate in available if candidate.row.zone == facts.zone]
    return max(
        same_zone or available,
        key=lambda candidate: (
            job in candidate.known_specs,
            _compute_weight(candidate.row.entry, facts.incarnation.worker),
        ),
        default=None,
    )


@functools.lru_cache(maxsize=65_536)
def _compute_weight(entry: ids.EntryId, worker: ids.WorkerId) -> bytes:
    return hashlib.blake2b(f"{entry} {worker}".encode(), digest_size=8).digest()
