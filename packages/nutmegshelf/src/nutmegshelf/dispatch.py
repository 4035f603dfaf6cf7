"""Decide which minion takes a request, what waits and what is refused, for one service."""

import random
import typing

from nutmegshelf import exceptions, ids, platform, queue, retries, routing, tickets

Ticket = tickets.Ticket
Grant = tickets.Grant
Refusal = tickets.Refusal
Decision = tickets.Decision

_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
_MIN_RETRY_SPREAD_S = 3.0
_MEAN_WEIGHT = 0.05
_DEVIATIONS = 2.0
_FIRST_SERVICE_TIME_S = 0.05
MINION_FAULTS = frozenset(
    {
        exceptions.ErrorKind.MINION_REFUSED,
        exceptions.ErrorKind.MINION_CUT,
        exceptions.ErrorKind.MINION_TIMEOUT,
        exceptions.ErrorKind.MINION_BAD_ANSWER,
    }
)

ShareFunction = typing.Callable[[ids.MinionId], int]


class Dispatcher:
    """Own one service's queue and slots."""

    def __init__(self, queue_limit: int, zone: ids.ZoneName, rng: random.Random) -> None:
        self.queue_limit = queue_limit
        self.router = routing.Router(zone, rng)
        self.retries = retries.RetryBudget()
        self._rng = rng
        self._queue = queue.TicketQueue()
        self._mean_service_s = _FIRST_SERVICE_TIME_S
        self._deviation_s = 0.0

    @property
    def targets(self) -> dict[ids.MinionId, routing.Target]:
        """Give the minions by their ids."""
        return self.router.targets

    @property
    def queued(self) -> int:
        """Count the requests that wait."""
        return len(self._queue)

    def offer(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant, refuse or queue a request; others may have to give up their place to it."""
        if ticket.deadline_s <= now_s:
            return [self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)]
        if not self.router.active_count:
            return [self._refuse(ticket, exceptions.ErrorKind.NO_MINION)]
        if not self._queue and (target := self._pick(ticket, now_s)):
            return [self._grant(ticket, target)]
        if now_s + self.estimate_wait_s(ticket) + self._long_service_s >= ticket.deadline_s:
            return [self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)]
        decisions: list[Decision] = []
        if len(self._queue) >= self.queue_limit:
            displaced = self._queue.evict_lower_class(ticket, self.queue_limit)
            if displaced is None:
                return [self._refuse(ticket, exceptions.ErrorKind.OVERLOADED)]
            decisions.append(self._refuse(displaced, exceptions.ErrorKind.OVERLOADED))
        self._queue.push(ticket)
        return decisions

    def cancel(self, request: ids.RequestId) -> None:
        """Take a waiting request out of the queue."""
        self._queue.remove(request)

    def release(
        self, minion: ids.MinionId, now_s: float, service_time_s: float | None = None
    ) -> list[Decision]:
        """Free a slot and give it to who waits."""
        if target := self.targets.get(minion):
            if service_time_s is not None:
                self.router.record_success(target, service_time_s, now_s)
                self._learn(service_time_s)
            elif target.ejection_state is routing.EjectionState.PROBING:
                # The probe's request ended for another reason than the minion: no evidence.
                target.ejection_state = routing.EjectionState.EJECTED
            self.router.release(target)
        return self.dispatch_waiting(now_s)

    def report_failure(
        self, minion: ids.MinionId, kind: exceptions.ErrorKind, now_s: float
    ) -> None:
        """Learn from a failed attempt; only a minion's own faults count against it."""
        if kind in MINION_FAULTS and (target := self.targets.get(minion)):
            self.router.record_failure(target, kind is exceptions.ErrorKind.MINION_REFUSED, now_s)

    def set_targets(
        self,
        records: list[platform.MinionRecord],
        get_share: ShareFunction,
        connection_limit: int,
        now_s: float,
    ) -> list[Decision]:
        """Take the minions that may get work; others finish what they have."""
        listed = {record.minion: record for record in records}
        for minion, target in list(self.targets.items()):
            target.is_leaving = minion not in listed
            if minion not in listed and not target.in_flight:
                del self.targets[minion]
        for minion, record in listed.items():
            target = self.targets.setdefault(minion, routing.Target(record))
            target.record = record
            target.is_leaving = record.state is platform.HostState.LEAVING
            target.share = get_share(minion)
            target.connection_limit = connection_limit
        return self.recount(now_s)

    def recount(self, now_s: float) -> list[Decision]:
        """Take changed slots into account."""
        self.router.refresh()
        return self.dispatch_waiting(now_s)

    def dispatch_waiting(self, now_s: float) -> list[Decision]:
        """Give free slots to waiting requests and refuse those past their deadline."""
        decisions: list[Decision] = [
            self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)
            for ticket in self._queue.remove_expired(now_s)
        ]
        while ticket := self._queue.peek():
            if not self.router.active_count:
                decisions.append(self._refuse(ticket, exceptions.ErrorKind.NO_MINION))
            elif ticket.deadline_s <= now_s + self._long_service_s:
                # It would most likely end too late, and take a slot from one that can end in time.
                decisions.append(self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT))
            elif target := self._pick(ticket, now_s):
                decisions.append(self._grant(ticket, target))
            else:
                break
            self._queue.pop()
        return decisions

    def estimate_wait_s(self, ticket: Ticket | None = None) -> float:
        """Estimate how long a new request would wait, from the measured service times."""
        ahead = self._queue.estimate_grants_ahead(ticket) if ticket else len(self._queue)
        slots = self.router.slots
        return self._mean_service_s * ahead / slots if slots else 0.0

    @property
    def _long_service_s(self) -> float:
        # Most requests end within this; what is granted later than that mostly ends in vain.
        return self._mean_service_s + _DEVIATIONS * self._deviation_s

    def _learn(self, service_time_s: float) -> None:
        error_s = service_time_s - self._mean_service_s
        self._mean_service_s += _MEAN_WEIGHT * error_s
        self._deviation_s += _MEAN_WEIGHT * (abs(error_s) - self._deviation_s)

    def _pick(self, ticket: Ticket, now_s: float) -> routing.Target | None:
        return self.router.pick(ticket.avoid, ticket.idempotent, now_s)

    def _grant(self, ticket: Ticket, target: routing.Target) -> Grant:
        self.router.reserve(target)
        return Grant(ticket.request, target.record)

    def _refuse(self, ticket: Ticket, kind: exceptions.ErrorKind) -> Refusal:
        wait_s = min(max(self.estimate_wait_s(), _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        # Whole seconds are what Retry-After can say, so the spread covers several of them.
        spread_s = max(_MIN_RETRY_SPREAD_S, wait_s)
        return Refusal(ticket.request, kind, wait_s + spread_s * self._rng.random())
