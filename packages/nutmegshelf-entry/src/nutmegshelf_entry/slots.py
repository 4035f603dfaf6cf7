"""Own the dispatchers of all services and wake the requests that wait for a slot."""

import asyncio
import collections.abc
import random

from nutmegshelf import declarations, demand, dispatch, exceptions, ids, loans, platform, seats

from nutmegshelf_entry import telemetry

SlotRequester = collections.abc.Callable[[ids.ServiceName, int], None]
SlotReturner = collections.abc.Callable[[ids.ServiceName, loans.Return], None]


class Slots:
    """Give slots to requests: the one owner of every service's queue."""

    def __init__(self, zone: ids.ZoneName, seat_count: int, rng: random.Random) -> None:
        self.request_slots: SlotRequester | None = None
        self.return_slots: SlotReturner | None = None
        self._zone = zone
        self._seat_count = seat_count
        self._rng = rng
        self._seating: seats.Allocation | None = seats.SOLE_ENTRY
        self._services: dict[ids.ServiceName, dispatch.Dispatcher] = {}
        self._loans: dict[ids.ServiceName, loans.Loans] = {}
        self._waiting: dict[ids.RequestId, asyncio.Future[dispatch.Grant]] = {}
        self._records: tuple[platform.MinionRecord, ...] = ()
        self._declared = declarations.DeclarationSet()
        self.counters = demand.Counters()

    @telemetry.measured_hop(telemetry.SLOT_HOP)
    async def acquire(self, service: ids.ServiceName, ticket: dispatch.Ticket) -> dispatch.Grant:
        """Wait for a slot; raises RequestError not-run."""
        loop = asyncio.get_running_loop()
        self.counters.count_request(service)
        if self._seating is None:
            raise exceptions.RequestError(exceptions.ErrorKind.NOT_READY)
        found = self._services.get(service)
        if found is None:
            raise exceptions.RequestError(exceptions.ErrorKind.NO_MINION)
        if not ticket.avoid:
            found.retries.deposit()
        own, others = _split(ticket.request, found.offer(ticket, loop.time()))
        self._wake(others)
        match own:
            case dispatch.Grant():
                return own
            case dispatch.Refusal():
                raise _error(own)
        return await self._wait(service, found, ticket)

    async def _wait(
        self, service: ids.ServiceName, found: dispatch.Dispatcher, ticket: dispatch.Ticket
    ) -> dispatch.Grant:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[dispatch.Grant] = loop.create_future()
        self._waiting[ticket.request] = future
        timer = loop.call_at(ticket.deadline_s, self._pump, service)
        self._ask_peers(service)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(service, future.result().minion.minion)
            found.cancel(ticket.request)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(ticket.request, None)

    def release(
        self,
        service: ids.ServiceName,
        minion: ids.MinionId,
        service_time_s: float | None = None,
        failed_s: float | None = None,
    ) -> None:
        """Free a slot; its time is a service time only where the answer was whole."""
        if failed_s is not None:
            self.counters.count_failure(service, failed_s)
        self.counters.count_answer(service, service_time_s)
        now_s = asyncio.get_running_loop().time()
        if found := self._services.get(service):
            self._wake(found.release(minion, now_s, service_time_s))
            self._ask_peers(service)

    def report_failure(
        self, service: ids.ServiceName, minion: ids.MinionId, kind: exceptions.ErrorKind
    ) -> None:
        """Learn from an attempt that failed."""
        now_s = asyncio.get_running_loop().time()
        if found := self._services.get(service):
            found.report_failure(minion, kind, now_s)

    def try_withdraw_retry(self, service: ids.ServiceName) -> bool:
        """Take one retry from the service's budget, where it has any left."""
        found = self._services.get(service)
        return found is not None and found.retries.try_withdraw()

    def lend(self, service: ids.ServiceName, loan: loans.Loan, wanted: int) -> loans.SlotCounts:
        """Lend idle slots of a service to a peer."""
        found = self._services.get(service)
        if found is None or self._seating is None:
            return ()
        now_s = asyncio.get_running_loop().time()
        parts = self._loans[service].lend(loan, wanted, found.queued, found.router, now_s)
        if parts:
            self._loans_changed(service, found)
        return parts

    def borrow(self, service: ids.ServiceName, loan: loans.Loan, asked_s: float) -> None:
        """Take slots that a peer lent."""
        found = self._services.get(service)
        if found is None or self._seating is None:
            return
        loop = asyncio.get_running_loop()
        if not self._loans[service].is_borrower:
            loop.call_later(loans.CHECK_INTERVAL_S, self._give_back, service)
        if self._loans[service].borrow(loan, asked_s, found.router, loop.time()):
            self._loans_changed(service, found)

    def accept_return(
        self, service: ids.ServiceName, peer: ids.EntryId, ask: int, parts: loans.SlotCounts
    ) -> None:
        """Take slots that a peer returned."""
        if found := self._services.get(service):
            self._loans[service].accept_return(peer, ask, parts, found.router)
            self._wake(found.recount(asyncio.get_running_loop().time()))

    def set_allocation(self, seating: seats.Allocation | None) -> None:
        """Take the share that the own seat gives; none refuses all that waits."""
        if seating == self._seating:
            return
        self._seating = seating
        if seating is None:
            for request, future in self._waiting.items():
                for found in self._services.values():
                    found.cancel(request)
                if not future.done():
                    future.set_exception(exceptions.RequestError(exceptions.ErrorKind.NOT_READY))
        self._refresh()

    def set_declarations(self, declared: declarations.DeclarationSet) -> None:
        """Take the services of the configuration in force."""
        self._declared = declared
        self._refresh()

    def set_records(self, records: tuple[platform.MinionRecord, ...]) -> None:
        """Take the platform's list of minions."""
        self._records = records
        self._refresh()

    def get_connection_limits(self) -> dict[ids.ServiceName, int]:
        """Give the most connections to one minion that this entry may hold, by service."""
        return {
            name: seats.get_connection_limit(service.connections_per_minion, self._seat_count)
            for name, service in self._declared.services.items()
        }

    def _refresh(self) -> None:
        for name, service in self._declared.services.items():
            if name not in self._services:
                self._services[name] = dispatch.Dispatcher(
                    service.queue_limit, self._zone, self._rng
                )
                self._loans[name] = loans.Loans()
            self._refresh_service(name, service, self._services[name])

    def _refresh_service(
        self, name: ids.ServiceName, service: declarations.Service, found: dispatch.Dispatcher
    ) -> None:
        records = [record for record in self._records if record.service == name]
        found.queue_limit = service.queue_limit
        limit = seats.get_connection_limit(service.connections_per_minion, self._seat_count)
        now_s = asyncio.get_running_loop().time()

        def get_share(minion: ids.MinionId) -> int:
            return self._seating.get_share(minion, service.slots_per_minion) if self._seating else 0

        self._wake(found.set_targets(records, get_share, limit, now_s))
        self._loans[name].recount(found.router)
        self._wake(found.recount(now_s))

    def _loans_changed(self, service: ids.ServiceName, found: dispatch.Dispatcher) -> None:
        loop = asyncio.get_running_loop()
        self._wake(found.recount(loop.time()))
        if (end_s := self._loans[service].get_next_end_s()) is not None:
            loop.call_at(end_s, self._end_loans, service)

    def _end_loans(self, service: ids.ServiceName) -> None:
        found = self._services[service]
        if self._loans[service].end_expired(found.router, asyncio.get_running_loop().time()):
            self._loans_changed(service, found)
            self._ask_peers(service)

    def _ask_peers(self, service: ids.ServiceName) -> None:
        found = self._services[service]
        queued = found.queued
        if not queued or self.request_slots is None:
            return
        if wanted := self._loans[service].count_wanted(queued, asyncio.get_running_loop().time()):
            self.request_slots(service, wanted)

    def _give_back(self, service: ids.ServiceName) -> None:
        found = self._services[service]
        returns = self._loans[service].return_idle(found.router)
        if returns:
            found.router.refresh()
        for back in returns:
            if self.return_slots is not None:
                self.return_slots(service, back)
        if self._loans[service].is_borrower:
            loop = asyncio.get_running_loop()
            loop.call_later(loans.CHECK_INTERVAL_S, self._give_back, service)

    def _pump(self, service: ids.ServiceName) -> None:
        now_s = asyncio.get_running_loop().time()
        self._wake(self._services[service].dispatch_waiting(now_s))

    def _wake(self, decisions: list[dispatch.Decision]) -> None:
        for decision in decisions:
            future = self._waiting.get(decision.request)
            match decision:
                case dispatch.Grant():
                    if future is not None and not future.done():
                        future.set_result(decision)
                    else:
                        # Its request was cancelled as it was granted; the slot must not be lost.
                        self.release(decision.minion.service, decision.minion.minion)
                case dispatch.Refusal():
                    if future is not None and not future.done():
                        future.set_exception(_error(decision))


def _split(
    request: ids.RequestId, decisions: list[dispatch.Decision]
) -> tuple[dispatch.Decision | None, list[dispatch.Decision]]:
    own = next((decision for decision in decisions if decision.request == request), None)
    return own, [decision for decision in decisions if decision.request != request]


def _error(refusal: dispatch.Refusal) -> exceptions.RequestError:
    return exceptions.RequestError(refusal.kind, retry_after_s=refusal.retry_after_s)
