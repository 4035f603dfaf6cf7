"""Decide which minion takes a request, what waits and what is refused, for one service."""

import dataclasses
import heapq
import itertools
import random

from nutmegshelf import declarations, exceptions, ids, platform

_CLASS_RANK = {
    declarations.RequestClass.URGENT: 0,
    declarations.RequestClass.NORMAL: 1,
    declarations.RequestClass.BATCH: 2,
}
_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
_MEAN_WEIGHT = 0.05
_FIRST_SERVICE_TIME_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for a slot."""

    request: ids.RequestId
    request_class: declarations.RequestClass
    deadline_s: float
    avoid: frozenset[ids.MinionId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Give a request a slot at a minion."""

    request: ids.RequestId
    minion: platform.MinionRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request that did not start."""

    request: ids.RequestId
    kind: exceptions.ErrorKind
    retry_after_s: float


Decision = Grant | Refusal


@dataclasses.dataclass(slots=True)
class Target:
    """Keep what one entry knows of one minion."""

    record: platform.MinionRecord
    slots: int
    in_flight: int = 0
    leaving: bool = False
    away_until_s: float = 0.0

    def is_open(self, now_s: float) -> bool:
        """Say whether new work may start here."""
        return not self.leaving and self.away_until_s <= now_s and self.in_flight < self.slots


class Dispatcher:
    """Own one service's queue and slots."""

    def __init__(self, queue_limit: int, zone: ids.ZoneName, rng: random.Random) -> None:
        self.queue_limit = queue_limit
        self.targets: dict[ids.MinionId, Target] = {}
        self._zone = zone
        self._rng = rng
        self._queue: list[tuple[int, float, int, Ticket]] = []
        self._gone: set[ids.RequestId] = set()
        self._order = itertools.count()
        self._mean_service_s = _FIRST_SERVICE_TIME_S

    @property
    def queued(self) -> int:
        """Count the requests that wait."""
        return len(self._queue) - len(self._gone)

    def offer(self, ticket: Ticket, now_s: float) -> Decision | None:
        """Grant, refuse or queue a request; none means that it waits."""
        if ticket.deadline_s <= now_s:
            return self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)
        if all(target.leaving for target in self.targets.values()):
            return self._refuse(ticket, exceptions.ErrorKind.NO_MINION)
        if not self.queued and (target := self._pick(ticket, now_s)):
            return self._grant(ticket, target)
        if self.queued >= self.queue_limit:
            return self._refuse(ticket, exceptions.ErrorKind.OVERLOADED)
        if now_s + self.expected_wait_s() >= ticket.deadline_s:
            return self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)
        rank = _CLASS_RANK[ticket.request_class]
        heapq.heappush(self._queue, (rank, ticket.deadline_s, next(self._order), ticket))
        return None

    def withdraw(self, request: ids.RequestId) -> None:
        """Take a waiting request out of the queue."""
        if any(entry[3].request == request for entry in self._queue):
            self._gone.add(request)

    def release(
        self, minion: ids.MinionId, now_s: float, service_time_s: float | None = None
    ) -> list[Decision]:
        """Free a slot and give it to who waits."""
        if target := self.targets.get(minion):
            target.in_flight -= 1
            if target.leaving and not target.in_flight:
                del self.targets[minion]
        if service_time_s is not None:
            self._mean_service_s += _MEAN_WEIGHT * (service_time_s - self._mean_service_s)
        return self.pump(now_s)

    def set_away(self, minion: ids.MinionId, until_s: float) -> None:
        """Give a failing minion no new work for a while."""
        if target := self.targets.get(minion):
            target.away_until_s = max(target.away_until_s, until_s)

    def set_targets(
        self, records: list[platform.MinionRecord], slots: int, now_s: float
    ) -> list[Decision]:
        """Take the minions that may get work; others finish what they have."""
        listed = {record.minion: record for record in records}
        for minion, target in list(self.targets.items()):
            record = listed.pop(minion, None)
            target.leaving = record is None or record.state is platform.HostState.LEAVING
            target.slots = slots
            if record is not None:
                target.record = record
            elif not target.in_flight:
                del self.targets[minion]
        for minion, record in listed.items():
            leaving = record.state is platform.HostState.LEAVING
            self.targets[minion] = Target(record, slots, leaving=leaving)
        return self.pump(now_s)

    def pump(self, now_s: float) -> list[Decision]:
        """Give free slots to waiting requests and refuse those past their deadline."""
        decisions: list[Decision] = []
        while self._queue:
            ticket = self._queue[0][3]
            if ticket.request in self._gone:
                self._gone.discard(ticket.request)
            elif ticket.deadline_s <= now_s:
                decisions.append(self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT))
            elif target := self._pick(ticket, now_s):
                decisions.append(self._grant(ticket, target))
            else:
                break
            heapq.heappop(self._queue)
        return decisions

    def expected_wait_s(self) -> float:
        """Estimate how long a new request would wait."""
        slots = sum(t.slots for t in self.targets.values() if not t.leaving)
        return self._mean_service_s * self.queued / slots if slots else _MAX_RETRY_AFTER_S

    def _pick(self, ticket: Ticket, now_s: float) -> Target | None:
        # Two random choices keep the load even without any shared count; the own zone goes first.
        open_targets = [
            target
            for target in self.targets.values()
            if target.is_open(now_s) and target.record.minion not in ticket.avoid
        ]
        near = [target for target in open_targets if target.record.zone == self._zone]
        choices = near or open_targets
        if len(choices) > 2:
            choices = self._rng.sample(choices, 2)
        return min(choices, key=lambda target: target.in_flight, default=None)

    def _grant(self, ticket: Ticket, target: Target) -> Grant:
        target.in_flight += 1
        return Grant(ticket.request, target.record)

    def _refuse(self, ticket: Ticket, kind: exceptions.ErrorKind) -> Refusal:
        wait_s = min(max(self.expected_wait_s(), _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        return Refusal(ticket.request, kind, wait_s)
