"""Bound what is on its way to workers, and choose over which entry's link a start goes.

Load pattern: in its turn a service asks for more starts than its holder's link or processor
carries. Starts that are sent all the same queue there, in the order of their sending, until they
are given up. So they wait as tasks instead, the most urgent first, and those beyond the own window
go to other entries, which send them to the workers.
"""

import collections.abc
import dataclasses
import functools
import hashlib
import math

from nutmegshelf import fleetview, ids, jobs, members, orders

# What is on its way takes the link, or the processor, no longer than this.
_QUEUE_S = 0.1
# Processor time to send one order and to read its answer.
_ORDER_CORE_S = 0.001
_LEAST_ORDERS = 8
# The part of the link that orders may take beside answers to callers, looks and the table.
_LINK_PART = 0.7
# Beyond these parts of the own window starts go to other entries, which takes fewer bytes.
_OWN_ORDERS_PART = 0.5
_OWN_LINK_PART = 0.1
# Starts on their way through one other entry, which may be as small as any.
_MOST_CARRIED = 16
_MOST_CARRIED_BYTES = 16 * 1024
# An entry that did not carry starts is passed over for this long, one whose link is full for less.
_AVOID_S = 2.0
_FULL_S = 0.05
# Specifications that an entry is believed to remember; it remembers those of several holders.
_MOST_TOLD = 256
MAX_CACHED_SPECS = 8 * _MOST_TOLD


class Window:
    """Own the counts of the orders of one entry, which share its link and its processor."""

    def __init__(self, link_bytes_s: float | None = None, cores: float | None = None) -> None:
        self._rate_bytes_s = _LINK_PART * link_bytes_s if link_bytes_s is not None else math.inf
        self._most_orders = math.inf
        if cores is not None:
            self._most_orders = max(_LEAST_ORDERS, cores * _QUEUE_S / _ORDER_CORE_S)
        # When the link has sent all that was given to it.
        self._sent_s = 0.0
        # Chosen, but behind others to the same worker.
        self.waiting_orders = 0
        self.orders_in_flight = 0
        self.sent_orders = 0
        self.sent_bytes = 0

    def get_queue_delay_s(self, now_s: float) -> float:
        """Give how long the link takes for what was given to it."""
        return max(0.0, self._sent_s - now_s)

    def has_capacity(self, now_s: float, part: float = 1.0) -> bool:
        """Say whether one more order may be sent, within a part of the window."""
        return self.has_processor_capacity(part) and self.has_link_capacity(now_s, part)

    def has_processor_capacity(self, part: float = 1.0) -> bool:
        """Say whether the processor takes one more order."""
        return self.orders_in_flight < part * self._most_orders

    def has_link_capacity(self, now_s: float, part: float = 1.0) -> bool:
        """Say whether the link takes more bytes."""
        return self.get_queue_delay_s(now_s) < part * _QUEUE_S

    def reserve(self, size_bytes: int, now_s: float) -> None:
        """Count an order as chosen."""
        self.orders_in_flight += 1
        self.sent_orders += 1
        self.reserve_bytes(size_bytes, now_s)

    def reserve_bytes(self, size_bytes: int, now_s: float) -> None:
        """Count bytes that go over the link."""
        self.sent_bytes += size_bytes
        self._sent_s = max(self._sent_s, now_s) + size_bytes / self._rate_bytes_s

    def release(self) -> None:
        """Count an order as answered or given up."""
        self.orders_in_flight -= 1


@dataclasses.dataclass(slots=True)
class _Carrier:
    row: members.EntryRow
    carried: int = 0
    carried_bytes: int = 0
    avoided_until_s: float = 0.0
    # Jobs whose specification it has, the oldest first.
    told: dict[ids.JobId, None] = dataclasses.field(default_factory=dict)
    # Workers that it does not reach, and until when it is passed over for them.
    unreached: dict[ids.WorkerId, float] = dataclasses.field(default_factory=dict)

    def is_able(self, facts: fleetview.WorkerFacts, now_s: float) -> bool:
        return now_s >= max(self.avoided_until_s, self.unreached.get(facts.incarnation.worker, 0.0))

    @property
    def has_room(self) -> bool:
        return self.carried < _MOST_CARRIED and self.carried_bytes < _MOST_CARRIED_BYTES

    def tell(self, job: ids.JobId) -> None:
        self.told.pop(job, None)
        self.told[job] = None
        while len(self.told) > _MOST_TOLD:
            del self.told[next(iter(self.told))]


class StartRouter:
    """Own the window of one entry and what other entries carry for it."""

    def __init__(self, own: Window | None = None) -> None:
        self.window = own or Window()
        self._carriers: dict[ids.EntryId, _Carrier] = {}

    def update_entries(self, rows: collections.abc.Iterable[members.EntryRow]) -> None:
        """Begin to choose starts, with the other entries that live."""
        known = self._carriers
        self._carriers = {row.entry: known.get(row.entry) or _Carrier(row) for row in rows}
        for row in rows:
            self._carriers[row.entry].row = row

    def get_address(self, entry: ids.EntryId) -> str | None:
        """Give where an entry takes calls."""
        carrier = self._carriers.get(entry)
        return carrier.row.peer_address if carrier is not None else None

    def route(
        self, job: jobs.Job, saved: str, worker: fleetview.Worker, now_s: float
    ) -> orders.Route | None:
        """Give the way of a start, or none while there is no room."""
        if self.window.has_processor_capacity(_OWN_ORDERS_PART) and self.window.has_link_capacity(
            now_s, _OWN_LINK_PART
        ):
            return self.get_direct_route(job, saved)
        able = [one for one in self._carriers.values() if one.is_able(worker.facts, now_s)]
        if not able:
            return self.get_direct_route(job, saved) if self.window.has_capacity(now_s) else None
        carrier = _best(able, worker.facts, job.job)
        if carrier is None or not self.window.has_link_capacity(now_s):
            return None
        tells = job.job not in carrier.told
        size_bytes = orders.FORWARDED_START_BYTES + len(saved) + (len(job.spec) if tells else 0)
        onward_bytes = self.get_direct_route(job, saved).size_bytes
        return orders.Route(carrier.row.entry, size_bytes, tells, onward_bytes)

    def get_direct_route(self, job: jobs.Job, saved: str) -> orders.Route:
        """Give the way of a start over the own link."""
        return orders.Route(None, orders.CALL_BYTES + len(job.spec) + len(saved))

    def reserve(self, job: ids.JobId, route: orders.Route, now_s: float) -> None:
        """Count a start as chosen."""
        carrier = self._carriers.get(route.forwarder) if route.forwarder is not None else None
        if carrier is None:
            self.window.reserve(route.size_bytes, now_s)
            return
        # One call holds many of them, so they take little of the processor.
        self.window.reserve_bytes(route.size_bytes, now_s)
        carrier.carried += 1
        carrier.carried_bytes += route.forwarded_bytes
        carrier.tell(job)

    def release(self, route: orders.Route) -> None:
        """Count a start as answered or given up."""
        if route.forwarder is None:
            self.window.release()
            return
        carrier = self._carriers.get(route.forwarder)
        if carrier is not None:
            carrier.carried = max(0, carrier.carried - 1)
            carrier.carried_bytes = max(0, carrier.carried_bytes - route.forwarded_bytes)

    def pause(self, entry: ids.EntryId, now_s: float) -> None:
        """Pass over an entry whose link is full for a moment."""
        carrier = self._carriers.get(entry)
        if carrier is not None:
            carrier.avoided_until_s = max(carrier.avoided_until_s, now_s + _FULL_S)

    def avoid_for_worker(self, entry: ids.EntryId, worker: ids.WorkerId, now_s: float) -> None:
        """Pass over an entry for a worker that it does not reach or know."""
        carrier = self._carriers.get(entry)
        if carrier is not None:
            left = {one: until_s for one, until_s in carrier.unreached.items() if until_s > now_s}
            carrier.unreached = left | {worker: now_s + _AVOID_S}

    def forget_spec(self, entry: ids.EntryId, job: ids.JobId) -> None:
        """Note that an entry does not know the specification of a job."""
        carrier = self._carriers.get(entry)
        if carrier is not None:
            carrier.told.pop(job, None)

    def avoid(self, entry: ids.EntryId, now_s: float) -> None:
        """Pass over an entry that did not carry starts, and tell it all again afterwards."""
        carrier = self._carriers.get(entry)
        if carrier is not None:
            carrier.avoided_until_s = now_s + _AVOID_S
            carrier.told.clear()


def _best(able: list[_Carrier], facts: fleetview.WorkerFacts, job: ids.JobId) -> _Carrier | None:
    """Give the entry that carries a start to a worker, in its zone where one has room.

    One that knows the specification goes first. Else a worker has the same one while that has room
    and the entries stay, so that connections are used again.
    """
    free = [one for one in able if one.has_room]
    near = [one for one in free if one.row.zone == facts.zone]
    return max(
        near or free,
        key=lambda one: (job in one.told, _weight(one.row.entry, facts.incarnation.worker)),
        default=None,
    )


@functools.lru_cache(maxsize=65_536)
def _weight(entry: ids.EntryId, worker: ids.WorkerId) -> bytes:
    return hashlib.blake2b(f"{entry} {worker}".encode(), digest_size=8).digest()
