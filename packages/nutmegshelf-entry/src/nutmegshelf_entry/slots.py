"""Own the dispatchers of all services and wake the requests that wait for a slot."""

import asyncio
import random

from nutmegshelf import declarations, demand, dispatch, exceptions, ids, platform

from nutmegshelf_entry import telemetry


class Slots:
    """Give slots to requests: the one owner of every service's queue."""

    def __init__(self, zone: ids.ZoneName, seats: int, rng: random.Random) -> None:
        self._zone = zone
        self._seats = seats
        self._rng = rng
        self._services: dict[ids.ServiceName, dispatch.Dispatcher] = {}
        self._waiting: dict[ids.RequestId, asyncio.Future[dispatch.Grant]] = {}
        self._leaving: set[ids.MinionId] = set()
        self._records: tuple[platform.MinionRecord, ...] = ()
        self._declared = declarations.DeclarationSet()
        self.tally = demand.Tally()

    @telemetry.hop(telemetry.SLOT_HOP)
    async def acquire(self, service: ids.ServiceName, ticket: dispatch.Ticket) -> dispatch.Grant:
        """Wait for a slot; raises RequestError not-run."""
        loop = asyncio.get_running_loop()
        self.tally.ask(service)
        dispatcher = self._services.get(service)
        if dispatcher is None:
            raise exceptions.RequestError(exceptions.ErrorKind.NO_MINION)
        match dispatcher.offer(ticket, loop.time()):
            case dispatch.Grant() as grant:
                return grant
            case dispatch.Refusal() as refusal:
                raise _error(refusal)
        future: asyncio.Future[dispatch.Grant] = loop.create_future()
        self._waiting[ticket.request] = future
        timer = loop.call_at(ticket.deadline_s, self._pump, service)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(service, future.result().minion.minion)
            dispatcher.withdraw(ticket.request)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(ticket.request, None)

    def release(
        self, service: ids.ServiceName, minion: ids.MinionId, service_time_s: float | None = None
    ) -> None:
        """Free a slot."""
        self.tally.serve(service, service_time_s)
        now_s = asyncio.get_running_loop().time()
        if dispatcher := self._services.get(service):
            self._wake(dispatcher.release(minion, now_s, service_time_s))

    def set_away(self, service: ids.ServiceName, minion: ids.MinionId, for_s: float) -> None:
        """Give a failing minion no new work for a while."""
        now_s = asyncio.get_running_loop().time()
        if dispatcher := self._services.get(service):
            dispatcher.set_away(minion, now_s + for_s)

    def set_leaving(self, minion: ids.MinionId) -> None:
        """Give a leaving minion no new work, whatever the list says."""
        self._leaving.add(minion)
        self._refresh()

    def set_declared(self, declared: declarations.DeclarationSet) -> None:
        """Take the services of the configuration in force."""
        self._declared = declared
        self._refresh()

    def set_records(self, records: tuple[platform.MinionRecord, ...]) -> None:
        """Take the platform's list of minions."""
        self._records = records
        self._leaving &= {record.minion for record in records}
        self._refresh()

    def _refresh(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for name, service in self._declared.services.items():
            if name not in self._services:
                self._services[name] = dispatch.Dispatcher(
                    service.queue_limit, self._zone, self._rng
                )
            records = [
                record
                for record in self._records
                if record.service == name and record.minion not in self._leaving
            ]
            self._services[name].queue_limit = service.queue_limit
            share = max(1, service.slots_per_minion // self._seats)
            self._wake(self._services[name].set_targets(records, share, now_s))

    def _pump(self, service: ids.ServiceName) -> None:
        self._wake(self._services[service].pump(asyncio.get_running_loop().time()))

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


def _error(refusal: dispatch.Refusal) -> exceptions.RequestError:
    return exceptions.RequestError(refusal.kind, retry_after_s=refusal.retry_after_s)
