"""Send a holder's orders to workers, directly or through other entries."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from nutmegshelf import calls, exceptions, fleetview, ids, members, orders, scheduler, window

from nutmegshelf_entry import logs, ports, worker_link

# Covers the time in which the forwarding entry waits for its workers' answers.
_FORWARD_TIMEOUT_S = 0.8

_log = logs.get_logger("sending")


@dataclasses.dataclass(frozen=True, slots=True)
class Transport:
    """The resources for sending orders that all holders of one entry share."""

    router: window.StartRouter
    peers: ports.PeerClient
    # Returns the other entries that are active.
    list_entries: collections.abc.Callable[[], list[members.EntryRow]]


class PreparedStart(typing.NamedTuple):
    """A start that another entry is asked to forward."""

    order: orders.StartRun
    link: worker_link.WorkerLink
    validity: worker_link.StartValidity


class OrderSender:
    """The orders of one holder that are being sent."""

    def __init__(
        self,
        service_scheduler: scheduler.Scheduler,
        links: dict[fleetview.Incarnation, worker_link.WorkerLink],
        transport: Transport,
        *,
        pool: ids.PoolName,
        wake: ports.Wake,
    ) -> None:
        self._scheduler = service_scheduler
        self._links = links
        self._transport = transport
        self._pool = pool
        self._wake = wake
        self._loop = asyncio.get_running_loop()

    def send(
        self, chosen: collections.abc.Iterable[orders.Order], group: asyncio.TaskGroup
    ) -> None:
        """Send orders concurrently; the window for starts was reserved when they were chosen."""
        forwarded: collections.defaultdict[ids.EntryId, list[orders.StartRun]]
        forwarded = collections.defaultdict(list)
        for order in chosen:
            match order:
                case orders.StartRun(route=orders.Route(forwarder=str(entry))):
                    forwarded[ids.EntryId(entry)].append(order)
                case _:
                    route = self._reserve_route(order)
                    self._start_task(group, self._send(order), [route])
        for entry, starts in forwarded.items():
            self._start_task(group, self._forward(entry, starts), [start.route for start in starts])

    def _start_task(
        self,
        group: asyncio.TaskGroup,
        sending: collections.abc.Coroutine[None, None, None],
        routes: list[orders.Route],
    ) -> None:
        def release_routes(_: asyncio.Task[None]) -> None:
            for route in routes:
                self._transport.router.release(route)
            self._wake()

        # A done callback also runs for a task cancelled before it starts, whose body never runs.
        group.create_task(sending).add_done_callback(release_routes)

    async def _send(self, order: orders.Order) -> None:
        link = self._links.get(order.incarnation)
        if link is None:
            self._scheduler.record_not_sent(order, "its worker has no link", self._loop.time())
        else:
            await link.send(order)

    def _reserve_route(self, order: orders.Order) -> orders.Route:
        if isinstance(order, orders.StartRun):
            return order.route
        size_bytes = orders.get_size_bytes(order)
        self._transport.router.window.reserve(size_bytes, self._loop.time())
        return orders.Route(None, size_bytes)

    async def _forward(self, entry: ids.EntryId, starts: list[orders.StartRun]) -> None:
        prepared: list[PreparedStart] = []
        for order in starts:
            link = self._links.get(order.incarnation)
            if link is None:
                self._scheduler.record_not_sent(order, "its worker has no link", self._loop.time())
            elif (validity := link.prepare(order)) is not None:
                prepared.append(PreparedStart(order, link, validity))
        if prepared:
            await self._request_forwarding(entry, prepared)

    async def _request_forwarding(self, entry: ids.EntryId, prepared: list[PreparedStart]) -> None:
        call = calls.ForwardStarts(
            service=ids.ServiceName(self._pool),
            epoch=ids.Epoch(self._scheduler.registry.epoch),
            starts=tuple(
                calls.ForwardedStart(
                    order.incarnation.worker,
                    order.incarnation.born_ms,
                    order.key.name,
                    order.run,
                    validity.valid_until_ms,
                    order.checkpoint,
                    order.ticket,
                    validity.fencing_token,
                )
                for order, _, validity in prepared
            ),
            specs={
                order.key.job: order.spec for order, _, _ in prepared if order.route.includes_spec
            },
        )
        router = self._transport.router
        address = router.get_address(entry)
        try:
            if address is None:
                raise exceptions.PeerUnreachable(f"{entry} is gone")
            reply = await self._transport.peers.call(address, call, _FORWARD_TIMEOUT_S)
        except exceptions.PeerUnreachable as error:
            _log.info("Starts were not carried.", entry=entry, count=len(prepared), why=str(error))
            router.avoid(entry, self._loop.time())
            for order, _, _ in prepared:
                self._scheduler.record_refused(order, "not carried", self._loop.time())
            return
        except exceptions.PeerAnswerLost as error:
            _log.warning("Starts may be carried.", entry=entry, count=len(prepared), why=str(error))
            router.avoid(entry, self._loop.time())
            for order, link, validity in prepared:
                link.record_answer_lost(order, validity, str(error))
            return
        self._apply_reply(entry, prepared, reply)

    def _apply_reply(
        self, entry: ids.EntryId, prepared: list[PreparedStart], reply: calls.Reply
    ) -> None:
        router, now_s = self._transport.router, self._loop.time()
        if len(reply.outcomes) != len(prepared):
            # Without their outcomes it isn't known whether the starts were executed.
            why = f"{entry} replied {reply.status.value}"
            _log.warning("Starts may be carried.", entry=entry, count=len(prepared), why=why)
            router.avoid(entry, now_s)
            for order, link, validity in prepared:
                link.record_answer_lost(order, validity, why)
            return
        # An entry of an earlier version returns no clocks.
        clocks_ms = reply.worker_clocks_ms or (None,) * len(prepared)
        for start, outcome, clock_ms in zip(prepared, reply.outcomes, clocks_ms, strict=True):
            self._apply_outcome(entry, start, outcome, clock_ms)

    def _apply_outcome(
        self,
        entry: ids.EntryId,
        start: PreparedStart,
        outcome: orders.Outcome,
        clock_ms: int | None,
    ) -> None:
        router, now_s = self._transport.router, self._loop.time()
        order, link, validity = start
        match outcome:
            case orders.Outcome.LOST:
                router.avoid_for_worker(entry, order.incarnation.worker, now_s)
                link.record_answer_lost(order, validity, f"carried by {entry}")
            case orders.Outcome.NOT_DONE:
                link.record_not_done(order, f"carried by {entry}")
            case orders.Outcome.UNKNOWN_WORKER:
                router.avoid_for_worker(entry, order.incarnation.worker, now_s)
                self._scheduler.record_refused(order, outcome.value, now_s)
            case orders.Outcome.UNKNOWN_SPEC:
                router.forget_spec(entry, order.key.job)
                self._scheduler.record_refused(order, outcome.value, now_s)
            case orders.Outcome.FULL:
                router.pause(entry, now_s)
                self._scheduler.record_refused(order, outcome.value, now_s)
            case _ if clock_ms is None:
                link.record_answer_lost(order, validity, f"{entry} returned no clock")
            case orders.Outcome.TAKEN:
                link.record_answer(order, validity, orders.StartAnswer(clock_ms))
            case _:
                refusal = orders.Refusal(outcome.value)
                link.record_answer(order, validity, orders.StartAnswer(clock_ms, refusal))
