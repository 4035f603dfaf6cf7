"""Grant slots of minions to requests and wake the requests that wait for one."""

import asyncio
import collections.abc
import random

from nutmegshelf import declarations, demand, dispatch, exceptions, ids, loans, platform, seats

from nutmegshelf_entry import telemetry

SlotRequester = collections.abc.Callable[[ids.ServiceName, int], None]
SlotReturner = collections.abc.Callable[[ids.ServiceName, loans.Return], None]


class Slots:
    """The slots of all services and the queues of requests that wait for them."""

    def __init__(self, zone: ids.ZoneName, seat_count: int, rng: random.Random) -> None:
        self.request_slots: SlotRequester | None = None
        self.return_slots: SlotReturner | None = None
        self._zone = zone
        self._seat_count = seat_count
        self._rng = rng
        self._allocation: seats.Allocation | None = seats.SOLE_ENTRY
        self._services: dict[ids.ServiceName, dispatch.Dispatcher] = {}
        self._loans: dict[ids.ServiceName, loans.Loans] = {}
        self._futures: dict[ids.RequestId, asyncio.Future[dispatch.Grant]] = {}
        self._records: tuple[platform.MinionRecord, ...] = ()
        self._declaration_set = declarations.DeclarationSet()
        self.counters = demand.Counters()

    @telemetry.measured_hop(telemetry.SLOT_HOP)
    async def acquire(self, service: ids.ServiceName, ticket: dispatch.Ticket) -> dispatch.Grant:
        """Return a slot, if necessary after waiting; raises RequestError with not-run."""
        loop = asyncio.get_running_loop()
        self.counters.count_request(service)
        if self._allocation is None:
            raise exceptions.RequestError(exceptions.ErrorKind.NOT_READY)
        dispatcher = self._services.get(service)
        if dispatcher is None:
            raise exceptions.RequestError(exceptions.ErrorKind.NO_MINION)
        if not ticket.avoid:
            dispatcher.retries.deposit()
        own_decision, other_decisions = _separate_own(
            ticket.request, dispatcher.offer(ticket, loop.time())
        )
        self._apply_decisions(other_decisions)
        match own_decision:
            case dispatch.Grant():
                return own_decision
            case dispatch.Refusal():
                raise _make_error(own_decision)
        return await self._wait(service, dispatcher, ticket)

    async def _wait(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher, ticket: dispatch.Ticket
    ) -> dispatch.Grant:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[dispatch.Grant] = loop.create_future()
        self._futures[ticket.request] = future
        deadline_timer = loop.call_at(ticket.deadline_s, self._dispatch_waiting, service)
        self._request_from_peers(service)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(service, future.result().minion.minion)
            dispatcher.cancel(ticket.request)
            raise
        finally:
            deadline_timer.cancel()
            self._futures.pop(ticket.request, None)

    def release(
        self,
        service: ids.ServiceName,
        minion: ids.MinionId,
        service_time_s: float | None = None,
        failed_s: float | None = None,
    ) -> None:
        """Release a slot, with the service time of a complete response or the time of a failure."""
        if failed_s is not None:
            self.counters.count_failure(service, failed_s)
        self.counters.count_answer(service, service_time_s)
        now_s = asyncio.get_running_loop().time()
        if dispatcher := self._services.get(service):
            self._apply_decisions(dispatcher.release(minion, now_s, service_time_s))
            self._request_from_peers(service)

    def report_failure(
        self, service: ids.ServiceName, minion: ids.MinionId, kind: exceptions.ErrorKind
    ) -> None:
        """Record a failed attempt, which may eject its minion."""
        now_s = asyncio.get_running_loop().time()
        if dispatcher := self._services.get(service):
            dispatcher.report_failure(minion, kind, now_s)

    def try_withdraw_retry(self, service: ids.ServiceName) -> bool:
        """Withdraw a retry from the service's budget; return whether one was left."""
        dispatcher = self._services.get(service)
        return dispatcher is not None and dispatcher.retries.try_withdraw()

    def lend(self, service: ids.ServiceName, loan: loans.Loan, slot_count: int) -> loans.SlotCounts:
        """Lend idle slots to a peer and return their counts by minion."""
        dispatcher = self._services.get(service)
        if dispatcher is None or self._allocation is None:
            return ()
        now_s = asyncio.get_running_loop().time()
        slot_counts = self._loans[service].lend(
            loan, slot_count, dispatcher.queued, dispatcher.router, now_s
        )
        if slot_counts:
            self._handle_loan_change(service, dispatcher)
        return slot_counts

    def borrow(self, service: ids.ServiceName, loan: loans.Loan, requested_s: float) -> None:
        """Add slots that a peer lent."""
        dispatcher = self._services.get(service)
        if dispatcher is None or self._allocation is None:
            return
        loop = asyncio.get_running_loop()
        if not self._loans[service].is_borrower:
            loop.call_later(loans.CHECK_INTERVAL_S, self._return_idle, service)
        if self._loans[service].borrow(loan, requested_s, dispatcher.router, loop.time()):
            self._handle_loan_change(service, dispatcher)

    def accept_return(
        self,
        service: ids.ServiceName,
        peer: ids.EntryId,
        loan_number: int,
        slot_counts: loans.SlotCounts,
    ) -> None:
        """Add slots that a peer returned."""
        if dispatcher := self._services.get(service):
            self._loans[service].accept_return(peer, loan_number, slot_counts, dispatcher.router)
            self._apply_decisions(dispatcher.recount(asyncio.get_running_loop().time()))

    def set_allocation(self, allocation: seats.Allocation | None) -> None:
        """Set the allocation of this entry's seat; without one, refuse all waiting requests."""
        if allocation == self._allocation:
            return
        self._allocation = allocation
        if allocation is None:
            for request, future in self._futures.items():
                for dispatcher in self._services.values():
                    dispatcher.cancel(request)
                if not future.done():
                    future.set_exception(exceptions.RequestError(exceptions.ErrorKind.NOT_READY))
        self._update_services()

    def set_declarations(self, declaration_set: declarations.DeclarationSet) -> None:
        """Set the services of the active configuration."""
        self._declaration_set = declaration_set
        self._update_services()

    def set_records(self, records: tuple[platform.MinionRecord, ...]) -> None:
        """Set the platform's list of minions."""
        self._records = records
        self._update_services()

    def get_connection_limits(self) -> dict[ids.ServiceName, int]:
        """Return the maximum of connections to each minion for this entry, by service."""
        return {
            name: seats.get_connection_limit(service.connections_per_minion, self._seat_count)
            for name, service in self._declaration_set.services.items()
        }

    def _update_services(self) -> None:
        for name, service in self._declaration_set.services.items():
            if name not in self._services:
                self._services[name] = dispatch.Dispatcher(
                    service.queue_limit, self._zone, self._rng
                )
                self._loans[name] = loans.Loans()
            self._update_service(name, service, self._services[name])

    def _update_service(
        self, name: ids.ServiceName, service: declarations.Service, dispatcher: dispatch.Dispatcher
    ) -> None:
        records = [record for record in self._records if record.service == name]
        dispatcher.queue_limit = service.queue_limit
        connection_limit = seats.get_connection_limit(
            service.connections_per_minion, self._seat_count
        )
        now_s = asyncio.get_running_loop().time()

        def get_share(minion: ids.MinionId) -> int:
            return (
                self._allocation.get_share(minion, service.slots_per_minion)
                if self._allocation
                else 0
            )

        self._apply_decisions(dispatcher.set_targets(records, get_share, connection_limit, now_s))
        self._loans[name].recount(dispatcher.router)
        self._apply_decisions(dispatcher.recount(now_s))

    def _handle_loan_change(
        self, service: ids.ServiceName, dispatcher: dispatch.Dispatcher
    ) -> None:
        loop = asyncio.get_running_loop()
        self._apply_decisions(dispatcher.recount(loop.time()))
        if (end_s := self._loans[service].get_next_end_s()) is not None:
            loop.call_at(end_s, self._end_expired_loans, service)

    def _end_expired_loans(self, service: ids.ServiceName) -> None:
        dispatcher = self._services[service]
        if self._loans[service].end_expired(dispatcher.router, asyncio.get_running_loop().time()):
            self._handle_loan_change(service, dispatcher)
            self._request_from_peers(service)

    def _request_from_peers(self, service: ids.ServiceName) -> None:
        dispatcher = self._services[service]
        queued = dispatcher.queued
        if not queued or self.request_slots is None:
            return
        if slot_count := self._loans[service].count_wanted(
            queued, asyncio.get_running_loop().time()
        ):
            self.request_slots(service, slot_count)

    def _return_idle(self, service: ids.ServiceName) -> None:
        dispatcher = self._services[service]
        returns = self._loans[service].return_idle(dispatcher.router)
        if returns:
            dispatcher.router.refresh()
        for loan_return in returns:
            if self.return_slots is not None:
                self.return_slots(service, loan_return)
        if self._loans[service].is_borrower:
            loop = asyncio.get_running_loop()
            loop.call_later(loans.CHECK_INTERVAL_S, self._return_idle, service)

    def _dispatch_waiting(self, service: ids.ServiceName) -> None:
        now_s = asyncio.get_running_loop().time()
        self._apply_decisions(self._services[service].dispatch_waiting(now_s))

    def _apply_decisions(self, decisions: list[dispatch.Decision]) -> None:
        for decision in decisions:
            future = self._futures.get(decision.request)
            match decision:
                case dispatch.Grant():
                    if future is not None and not future.done():
                        future.set_result(decision)
                    else:
                        # The request was cancelled meanwhile; unreleased, its slot would leak.
                        self.release(decision.minion.service, decision.minion.minion)
                case dispatch.Refusal():
                    if future is not None and not future.done():
                        future.set_exception(_make_error(decision))


def _separate_own(
    request: ids.RequestId, decisions: list[dispatch.Decision]
) -> tuple[dispatch.Decision | None, list[dispatch.Decision]]:
    own_decision = next((decision for decision in decisions if decision.request == request), None)
    return own_decision, [decision for decision in decisions if decision.request != request]


def _make_error(refusal: dispatch.Refusal) -> exceptions.RequestError:
    return exceptions.RequestError(refusal.kind, retry_after_s=refusal.retry_after_s)
