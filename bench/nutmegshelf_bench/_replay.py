"""Simulate entries that dispatch requests to minions, as discrete events."""

import collections
import collections.abc
import dataclasses
import functools
import heapq
import itertools
import random

from nutmegshelf import codecs, declarations, dispatch, ids, loans, messages, platform, seats

SERVICE = ids.ServiceName("orders")
SLOTS_PER_MINION = 8
ENTRY_COUNT = 7
CONNECTION_LIMIT = 5
_NETWORK_DELAY_S = 0.0015
_REQUEST_TIMEOUT_S = 2.0
_QUEUE_LIMIT = 256


@dataclasses.dataclass(slots=True)
class Statistics:
    """The results of one simulation run."""

    waits_s: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    late: int = 0
    max_at_minion: int = 0
    starts_over_capacity: int = 0
    idle_while_waiting_s: float = 0.0
    message_count: int = 0
    message_bytes: int = 0

    @property
    def p99_wait_ms(self) -> float:
        """Return the 99th percentile of the waits for a slot at entry and minion."""
        return sorted(self.waits_s)[int(0.99 * (len(self.waits_s) - 1))] * 1000


class Simulator:
    """A discrete-event simulator: runs events in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, delay_s: float, event: collections.abc.Callable[[], None]) -> None:
        """Schedule an event to run after a delay."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), event))

    def run(self, until_s: float, on_advance: collections.abc.Callable[[float], None]) -> None:
        """Run events up to a time; pass the elapsed time to the callback before each event."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, event = heapq.heappop(self._events)
            on_advance(at_s - self.now_s)
            self.now_s = at_s
            event()


class Minions:
    """Simulated minions; requests beyond the slots of a minion queue there."""

    def __init__(self, simulator: Simulator, statistics: Statistics, count: int) -> None:
        self.records = [_make_record(number) for number in range(count)]
        self.running: collections.Counter[ids.MinionId] = collections.Counter()
        self._queues: dict[ids.MinionId, collections.deque[collections.abc.Callable[[], None]]] = (
            collections.defaultdict(collections.deque)
        )
        self._simulator = simulator
        self._statistics = statistics

    def count_free_slots(self) -> int:
        """Return the number of idle slots of all minions."""
        return sum(
            max(0, SLOTS_PER_MINION - self.running[record.minion]) for record in self.records
        )

    def start(
        self, minion: ids.MinionId, work_s: float, on_done: collections.abc.Callable[[float], None]
    ) -> None:
        """Start or queue a request; the callback receives the time that it waited at the minion."""
        arrived_s = self._simulator.now_s
        self.running[minion] += 1
        self._statistics.max_at_minion = max(self._statistics.max_at_minion, self.running[minion])

        def run() -> None:
            waited_s = self._simulator.now_s - arrived_s
            self._simulator.schedule(
                work_s, lambda: self._finish(minion, lambda: on_done(waited_s))
            )

        if self.running[minion] > SLOTS_PER_MINION:
            self._statistics.starts_over_capacity += 1
            self._queues[minion].append(run)
        else:
            run()

    def _finish(self, minion: ids.MinionId, on_done: collections.abc.Callable[[], None]) -> None:
        self.running[minion] -= 1
        if queue := self._queues[minion]:
            queue.popleft()()
        on_done()


class Entry:
    """A simulated entry: a dispatcher, and loans if the candidate policy uses them."""

    def __init__(
        self,
        number: int,
        simulator: Simulator,
        minions: Minions,
        statistics: Statistics,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.name = ids.EntryId(f"entry-{number}")
        self._loan_number = 0
        self.peers: list[Entry] = []
        self.dispatcher = dispatch.Dispatcher(_QUEUE_LIMIT, ids.ZoneName("z"), rng)
        self.loans: loans.Loans | None = None
        self._simulator = simulator
        self._minions = minions
        self._statistics = statistics
        self._rng = rng
        self._pending: dict[ids.RequestId, tuple[float, float]] = {}

    def set_share(self, get_share: dispatch.ShareFunction, limit: int) -> None:
        """Set the dispatcher's share of slots and connection limit for each minion."""
        self.dispatcher.set_targets(self._minions.records, get_share, limit, self._simulator.now_s)

    def submit(self, request: ids.RequestId, mean_s: float) -> None:
        """Offer a request of a caller to the dispatcher."""
        now_s = self._simulator.now_s
        self._pending[request] = (now_s, self._rng.expovariate(1 / mean_s))
        ticket = dispatch.Ticket(
            request, declarations.RequestClass.NORMAL, now_s + _REQUEST_TIMEOUT_S, idempotent=True
        )
        self._apply(self.dispatcher.offer(ticket, now_s))
        self._simulator.schedule(
            _REQUEST_TIMEOUT_S,
            lambda: self._apply(self.dispatcher.dispatch_waiting(self._simulator.now_s)),
        )
        self._request_slots()

    def _apply(self, decisions: list[dispatch.Decision]) -> None:
        for decision in decisions:
            arrived_s, work_s = self._pending.pop(decision.request)
            match decision:
                case dispatch.Grant():
                    waited_s = self._simulator.now_s - arrived_s
                    self._start(decision.minion.minion, work_s, waited_s)
                case dispatch.Refusal():
                    self._statistics.refused += 1

    def _start(self, minion: ids.MinionId, work_s: float, waited_s: float) -> None:
        started_s = self._simulator.now_s

        def on_done(minion_wait_s: float) -> None:
            self._statistics.waits_s.append(waited_s + minion_wait_s)
            now_s = self._simulator.now_s
            self._apply(self.dispatcher.release(minion, now_s, now_s - started_s))
            self._request_slots()

        self._minions.start(minion, work_s, on_done)

    def _request_slots(self) -> None:
        if self.loans is None:
            return
        requested_s = self._simulator.now_s
        wanted = self.loans.count_wanted(self.dispatcher.queued, requested_s)
        if not wanted:
            return
        self._loan_number += 1
        message = messages.SlotsRequested(
            sender=self.name, service=SERVICE, loan_number=self._loan_number, slots=wanted
        )
        for peer in self._rng.sample(self.peers, loans.MAX_ASKED_PEERS):
            self._count_message(message)
            self._simulator.schedule(
                _NETWORK_DELAY_S,
                functools.partial(peer.lend, self, self._loan_number, wanted, requested_s),
            )

    def lend(self, borrower: "Entry", loan_number: int, wanted: int, requested_s: float) -> None:
        """Lend idle slots to a peer that requested them."""
        assert self.loans is not None
        loan = loans.Loan(borrower.name, loan_number, {}, 0.0)
        router = self.dispatcher.router
        slot_counts = self.loans.lend(
            loan, wanted, self.dispatcher.queued, router, self._simulator.now_s
        )
        if not slot_counts:
            return
        self._apply_loan_change()
        self._count_message(
            messages.SlotsLent(
                sender=self.name, service=SERVICE, loan_number=loan_number, slot_counts=slot_counts
            )
        )
        self._simulator.schedule(
            _NETWORK_DELAY_S, lambda: borrower.borrow(self, loan_number, slot_counts, requested_s)
        )

    def borrow(
        self, lender: "Entry", loan_number: int, slot_counts: loans.SlotCounts, requested_s: float
    ) -> None:
        """Use slots that a peer lent, unless the loan came too late."""
        assert self.loans is not None
        if not self.loans.is_borrower:
            self._simulator.schedule(loans.CHECK_INTERVAL_S, self._return_idle_slots)
        loan = loans.Loan(
            lender.name, loan_number, {part.minion: part.slots for part in slot_counts}, 0.0
        )
        if self.loans.borrow(loan, requested_s, self.dispatcher.router, self._simulator.now_s):
            self._apply_loan_change()

    def _return_idle_slots(self) -> None:
        assert self.loans is not None
        for returned in self.loans.return_idle(self.dispatcher.router):
            lender = next(peer for peer in self.peers if peer.name == returned.peer)
            message = messages.SlotsReturned(
                sender=self.name,
                service=SERVICE,
                loan_number=returned.loan_number,
                slot_counts=returned.slot_counts,
            )
            self._count_message(message)
            self._simulator.schedule(
                _NETWORK_DELAY_S, functools.partial(lender.accept_return, self, returned)
            )
        self._apply(self.dispatcher.recount(self._simulator.now_s))
        if self.loans.is_borrower:
            self._simulator.schedule(loans.CHECK_INTERVAL_S, self._return_idle_slots)

    def accept_return(self, borrower: "Entry", returned: loans.Return) -> None:
        """Accept slots that a borrower returns."""
        assert self.loans is not None
        self.loans.accept_return(
            borrower.name, returned.loan_number, returned.slot_counts, self.dispatcher.router
        )
        self._apply(self.dispatcher.recount(self._simulator.now_s))

    def _apply_loan_change(self) -> None:
        assert self.loans is not None
        self._apply(self.dispatcher.recount(self._simulator.now_s))
        if (end_s := self.loans.get_next_end_s()) is not None:
            self._simulator.schedule(
                max(0.0, end_s - self._simulator.now_s), self._end_expired_loans
            )

    def _end_expired_loans(self) -> None:
        assert self.loans is not None
        if self.loans.end_expired(self.dispatcher.router, self._simulator.now_s):
            self._apply_loan_change()
            self._request_slots()

    def _count_message(self, message: messages.Message) -> None:
        self._statistics.message_count += 1
        self._statistics.message_bytes += len(codecs.pack(message))


class OwnerEntry(Entry):
    """An entry under the policy where one entry owns each minion and grants all of its slots."""

    owners: tuple[Entry, ...] = ()

    def submit(self, request: ids.RequestId, mean_s: float) -> None:
        """Forward the request to a random owner, which grants slots of its own minions only."""
        owner = self._rng.choice(self.owners)
        message = messages.SlotsRequested(
            sender=ids.EntryId("entry-0"), service=SERVICE, loan_number=1, slots=1
        )
        if owner is not self:
            # The request, the grant and the release are one message each.
            for _ in range(3):
                self._count_message(message)
        delay_s = 0.0 if owner is self else 2 * _NETWORK_DELAY_S
        self._simulator.schedule(delay_s, lambda: Entry.submit(owner, request, mean_s))


def build_entries(
    candidate: str, simulator: Simulator, minions: Minions, statistics: Statistics, seed: int
) -> list[Entry]:
    """Return the entries, set up for a candidate policy."""
    count = ENTRY_COUNT
    rng = random.Random(seed)
    entry_class = OwnerEntry if candidate == "owner" else Entry
    entries = [entry_class(number, simulator, minions, statistics, rng) for number in range(count)]
    held_seats = tuple(range(count))
    for entry in entries:
        entry.peers = [peer for peer in entries if peer is not entry]
        allocation = seats.Allocation(entry.number, held_seats)
        match candidate:
            case "alone":
                entry.set_share(lambda minion: SLOTS_PER_MINION, CONNECTION_LIMIT)
            case "divided":
                entry.set_share(lambda minion: max(1, SLOTS_PER_MINION // count), CONNECTION_LIMIT)
            case "owner":
                owned = {record.minion for record in minions.records[entry.number :: count]}
                entry.set_share(functools.partial(_get_owned_share, owned), SLOTS_PER_MINION)
            case _:
                entry.set_share(
                    functools.partial(_get_seat_share, allocation),
                    CONNECTION_LIMIT,
                )
        if candidate == "loans":
            entry.loans = loans.Loans()
    for entry in entries:
        if isinstance(entry, OwnerEntry):
            entry.owners = tuple(entries)
    return entries


def _get_owned_share(owned: set[ids.MinionId], minion: ids.MinionId) -> int:
    return SLOTS_PER_MINION if minion in owned else 0


def _get_seat_share(allocation: seats.Allocation, minion: ids.MinionId) -> int:
    return allocation.get_share(minion, SLOTS_PER_MINION)


def _make_record(number: int) -> platform.MinionRecord:
    return platform.MinionRecord(
        minion=ids.MinionId(f"orders-{number}"),
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        zone=ids.ZoneName("z"),
        rack=ids.RackName("r"),
        worker=ids.WorkerId(f"w{number}"),
    )
