"""Grant, queue or refuse the requests of one service."""

import random
import typing

from nutmegshelf import exceptions, ids, platform, queue, retries, routing, tickets

Ticket = tickets.Ticket
Grant = tickets.Grant
Refusal = tickets.Refusal
Decision = tickets.Decision

_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
_MIN_RETRY_JITTER_S = 3.0
_MEAN_WEIGHT = 0.05
_DEVIATIONS = 2.0
_INITIAL_SERVICE_TIME_S = 0.05
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
    """The queue and slots of one service."""

    def __init__(self, queue_limit: int, zone: ids.ZoneName, rng: random.Random) -> None:
        self.queue_limit = queue_limit
        self.router = routing.Router(zone, rng)
        self.retries = retries.RetryBudget()
        self._rng = rng
        self._queue = queue.TicketQueue()
        self._mean_service_time_s = _INITIAL_SERVICE_TIME_S
        self._deviation_s = 0.0

    @property
    def targets(self) -> dict[ids.MinionId, routing.Target]:
        """Return the minions by their ids."""
        return self.router.targets

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def offer(self, ticket: Ticket, now_s: float) -> list[Decision]:
        """Grant, refuse or queue a request; a full queue may evict one of a lower class."""
        if ticket.deadline_s <= now_s:
            return [self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)]
        if not self.router.active_count:
            return [self._refuse(ticket, exceptions.ErrorKind.NO_MINION)]
        if not self._queue and (target := self._pick(ticket, now_s)):
            return [self._grant(ticket, target)]
        if now_s + self.estimate_wait_s(ticket) + self._long_service_time_s >= ticket.deadline_s:
            return [self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)]
        decisions: list[Decision] = []
        if len(self._queue) >= self.queue_limit:
            evicted = self._queue.evict_lower_class(ticket, self.queue_limit)
            if evicted is None:
                return [self._refuse(ticket, exceptions.ErrorKind.OVERLOADED)]
            decisions.append(self._refuse(evicted, exceptions.ErrorKind.OVERLOADED))
        self._queue.push(ticket)
        return decisions

    def cancel(self, request: ids.RequestId) -> None:
        """Remove a waiting request from the queue."""
        self._queue.remove(request)

    def release(
        self, minion: ids.MinionId, now_s: float, service_time_s: float | None = None
    ) -> list[Decision]:
        """Free a slot and dispatch waiting requests; the time is given for a complete response."""
        if target := self.targets.get(minion):
            if service_time_s is not None:
                self.router.record_success(target, service_time_s, now_s)
                self._record_service_time(service_time_s)
            elif target.ejection_state is routing.EjectionState.PROBING:
                # The request ended for a reason other than the minion, so the probe has no result.
                target.ejection_state = routing.EjectionState.EJECTED
            self.router.release(target)
        return self.dispatch_waiting(now_s)

    def report_failure(
        self, minion: ids.MinionId, kind: exceptions.ErrorKind, now_s: float
    ) -> None:
        """Record a failed attempt if its kind is a fault of the minion."""
        if kind in MINION_FAULTS and (target := self.targets.get(minion)):
            self.router.record_failure(target, kind is exceptions.ErrorKind.MINION_REFUSED, now_s)

    def set_targets(
        self,
        records: list[platform.MinionRecord],
        get_share: ShareFunction,
        connection_limit: int,
        now_s: float,
    ) -> list[Decision]:
        """Set the minions that may get requests; others finish those that they have."""
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
        """Apply changed slots and dispatch waiting requests."""
        self.router.refresh()
        return self.dispatch_waiting(now_s)

    def dispatch_waiting(self, now_s: float) -> list[Decision]:
        """Grant free slots to waiting requests and refuse those that can't end in time."""
        decisions: list[Decision] = [
            self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT)
            for ticket in self._queue.remove_expired(now_s)
        ]
        while ticket := self._queue.peek():
            if not self.router.active_count:
                decisions.append(self._refuse(ticket, exceptions.ErrorKind.NO_MINION))
            elif ticket.deadline_s <= now_s + self._long_service_time_s:
                # It would probably end too late, and delay a request that can end in time.
                decisions.append(self._refuse(ticket, exceptions.ErrorKind.DEADLINE_TOO_SHORT))
            elif target := self._pick(ticket, now_s):
                decisions.append(self._grant(ticket, target))
            else:
                break
            self._queue.pop()
        return decisions

    def estimate_wait_s(self, ticket: Ticket | None = None) -> float:
        """Estimate how long a new request would wait, from the measured service times."""
        grants_ahead = self._queue.estimate_grants_ahead(ticket) if ticket else len(self._queue)
        slots = self.router.slots
        return self._mean_service_time_s * grants_ahead / slots if slots else 0.0

    @property
    def _long_service_time_s(self) -> float:
        # Most requests end within this; a grant closer to the deadline would mostly be wasted.
        return self._mean_service_time_s + _DEVIATIONS * self._deviation_s

    def _record_service_time(self, service_time_s: float) -> None:
        error_s = service_time_s - self._mean_service_time_s
        self._mean_service_time_s += _MEAN_WEIGHT * error_s
        self._deviation_s += _MEAN_WEIGHT * (abs(error_s) - self._deviation_s)

    def _pick(self, ticket: Ticket, now_s: float) -> routing.Target | None:
        return self.router.pick(ticket.avoid, ticket.idempotent, now_s)

    def _grant(self, ticket: Ticket, target: routing.Target) -> Grant:
        self.router.reserve(target)
        return Grant(ticket.request, target.record)

    def _refuse(self, ticket: Ticket, kind: exceptions.ErrorKind) -> Refusal:
        wait_s = min(max(self.estimate_wait_s(), _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        # Retry-After has whole seconds, so the jitter covers several of them.
        jitter_s = max(_MIN_RETRY_JITTER_S, wait_s)
        return Refusal(ticket.request, kind, wait_s + jitter_s * self._rng.random())
