"""Replay the decisions of several entries against minions on a paused clock."""

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
_HOP_S = 0.0015
_PATIENCE_S = 2.0
_QUEUE_LIMIT = 256


@dataclasses.dataclass(slots=True)
class Statistics:
    """Collect what a replay shows."""

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
        """Give the 99th percentile of the waits for a slot, at the entry and the minion."""
        return sorted(self.waits_s)[int(0.99 * (len(self.waits_s) - 1))] * 1000


class Simulator:
    """Run events in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, delay_s: float, event: collections.abc.Callable[[], None]) -> None:
        """Run an event later."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), event))

    def run(self, until_s: float, each: collections.abc.Callable[[float], None]) -> None:
        """Run events up to a time; say how much time goes by before each."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, event = heapq.heappop(self._events)
            each(at_s - self.now_s)
            self.now_s = at_s
            event()


class Minions:
    """Be minions of eight slots each; what comes beyond them waits at the minion."""

    def __init__(self, clock: Simulator, figures: Statistics, count: int) -> None:
        self.records = [_record(number) for number in range(count)]
        self.running: collections.Counter[ids.MinionId] = collections.Counter()
        self._queues: dict[ids.MinionId, collections.deque[collections.abc.Callable[[], None]]] = (
            collections.defaultdict(collections.deque)
        )
        self._clock = clock
        self._figures = figures

    def count_free_slots(self) -> int:
        """Count the idle slots of all minions."""
        return sum(
            max(0, SLOTS_PER_MINION - self.running[record.minion]) for record in self.records
        )

    def start(
        self, minion: ids.MinionId, work_s: float, done: collections.abc.Callable[[float], None]
    ) -> None:
        """Take a request; the answer tells how long it waited here."""
        came_s = self._clock.now_s
        self.running[minion] += 1
        self._figures.max_at_minion = max(self._figures.max_at_minion, self.running[minion])

        def run() -> None:
            waited_s = self._clock.now_s - came_s
            self._clock.schedule(work_s, lambda: self._end(minion, lambda: done(waited_s)))

        if self.running[minion] > SLOTS_PER_MINION:
            self._figures.starts_over_capacity += 1
            self._queues[minion].append(run)
        else:
            run()

    def _end(self, minion: ids.MinionId, done: collections.abc.Callable[[], None]) -> None:
        self.running[minion] -= 1
        if queue := self._queues[minion]:
            queue.popleft()()
        done()


class Entry:
    """Be one entry: a dispatcher, and loans where the candidate has them."""

    def __init__(
        self,
        number: int,
        clock: Simulator,
        minions: Minions,
        figures: Statistics,
        rng: random.Random,
    ) -> None:
        self.number = number
        self.name = ids.EntryId(f"entry-{number}")
        self._asks = 0
        self.peers: list[Entry] = []
        self.dispatcher = dispatch.Dispatcher(_QUEUE_LIMIT, ids.ZoneName("z"), rng)
        self.loans: loans.Loans | None = None
        self._clock = clock
        self._minions = minions
        self._figures = figures
        self._rng = rng
        self._work: dict[ids.RequestId, tuple[float, float]] = {}

    def set_share(self, get_share: dispatch.ShareFunction, limit: int) -> None:
        """Take a share of every minion."""
        self.dispatcher.set_targets(self._minions.records, get_share, limit, self._clock.now_s)

    def submit(self, request: ids.RequestId, mean_s: float) -> None:
        """Take a request of a caller."""
        now_s = self._clock.now_s
        self._work[request] = (now_s, self._rng.expovariate(1 / mean_s))
        ticket = dispatch.Ticket(
            request, declarations.RequestClass.NORMAL, now_s + _PATIENCE_S, idempotent=True
        )
        self._act(self.dispatcher.offer(ticket, now_s))
        self._clock.schedule(
            _PATIENCE_S, lambda: self._act(self.dispatcher.dispatch_waiting(self._clock.now_s))
        )
        self._ask()

    def _act(self, decisions: list[dispatch.Decision]) -> None:
        for decision in decisions:
            arrived_s, work_s = self._work.pop(decision.request)
            match decision:
                case dispatch.Grant():
                    waited_s = self._clock.now_s - arrived_s
                    self._start(decision.minion.minion, work_s, waited_s)
                case dispatch.Refusal():
                    self._figures.refused += 1

    def _start(self, minion: ids.MinionId, work_s: float, waited_s: float) -> None:
        started_s = self._clock.now_s

        def done(waited_there_s: float) -> None:
            self._figures.waits_s.append(waited_s + waited_there_s)
            now_s = self._clock.now_s
            self._act(self.dispatcher.release(minion, now_s, now_s - started_s))
            self._ask()

        self._minions.start(minion, work_s, done)

    def _ask(self) -> None:
        if self.loans is None:
            return
        asked_s = self._clock.now_s
        wanted = self.loans.count_wanted(self.dispatcher.queued, asked_s)
        if not wanted:
            return
        self._asks += 1
        message = messages.SlotsRequested(
            sender=self.name, service=SERVICE, loan_number=self._asks, slots=wanted
        )
        for peer in self._rng.sample(self.peers, loans.MAX_ASKED_PEERS):
            self._count(message)
            self._clock.schedule(
                _HOP_S, functools.partial(peer.lend, self, self._asks, wanted, asked_s)
            )

    def lend(self, asker: "Entry", ask: int, wanted: int, asked_s: float) -> None:
        """Lend idle slots to a peer."""
        assert self.loans is not None
        loan = loans.Loan(asker.name, ask, {}, 0.0)
        router = self.dispatcher.router
        parts = self.loans.lend(loan, wanted, self.dispatcher.queued, router, self._clock.now_s)
        if not parts:
            return
        self._loans_changed()
        self._count(
            messages.SlotsLent(
                sender=self.name, service=SERVICE, loan_number=ask, slot_counts=parts
            )
        )
        self._clock.schedule(_HOP_S, lambda: asker.borrow(self, ask, parts, asked_s))

    def borrow(self, lender: "Entry", ask: int, parts: loans.SlotCounts, asked_s: float) -> None:
        """Use slots that a peer lent."""
        assert self.loans is not None
        if not self.loans.is_borrower:
            self._clock.schedule(loans.CHECK_INTERVAL_S, self._give_back)
        loan = loans.Loan(lender.name, ask, {part.minion: part.slots for part in parts}, 0.0)
        if self.loans.borrow(loan, asked_s, self.dispatcher.router, self._clock.now_s):
            self._loans_changed()

    def _give_back(self) -> None:
        assert self.loans is not None
        for back in self.loans.return_idle(self.dispatcher.router):
            lender = next(peer for peer in self.peers if peer.name == back.peer)
            message = messages.SlotsReturned(
                sender=self.name,
                service=SERVICE,
                loan_number=back.loan_number,
                slot_counts=back.slot_counts,
            )
            self._count(message)
            self._clock.schedule(_HOP_S, functools.partial(lender.accept_return, self, back))
        self._act(self.dispatcher.recount(self._clock.now_s))
        if self.loans.is_borrower:
            self._clock.schedule(loans.CHECK_INTERVAL_S, self._give_back)

    def accept_return(self, borrower: "Entry", back: loans.Return) -> None:
        """Take returned slots."""
        assert self.loans is not None
        self.loans.accept_return(
            borrower.name, back.loan_number, back.slot_counts, self.dispatcher.router
        )
        self._act(self.dispatcher.recount(self._clock.now_s))

    def _loans_changed(self) -> None:
        assert self.loans is not None
        self._act(self.dispatcher.recount(self._clock.now_s))
        if (end_s := self.loans.get_next_end_s()) is not None:
            self._clock.schedule(max(0.0, end_s - self._clock.now_s), self._end_loans)

    def _end_loans(self) -> None:
        assert self.loans is not None
        if self.loans.end_expired(self.dispatcher.router, self._clock.now_s):
            self._loans_changed()
            self._ask()

    def _count(self, message: messages.Message) -> None:
        self._figures.message_count += 1
        self._figures.message_bytes += len(codecs.pack(message))


class OwnerEntry(Entry):
    """Be one entry where each minion is counted by one owner: ask the owner for every slot."""

    owners: tuple[Entry, ...] = ()

    def submit(self, request: ids.RequestId, mean_s: float) -> None:
        """Send the request's wish to one owner, which grants at its own minions only."""
        owner = self._rng.choice(self.owners)
        message = messages.SlotsRequested(
            sender=ids.EntryId("entry-0"), service=SERVICE, loan_number=1, slots=1
        )
        if owner is not self:
            # The wish, the grant and the release each cost a message.
            for _ in range(3):
                self._count(message)
        hops_s = 0.0 if owner is self else 2 * _HOP_S
        self._clock.schedule(hops_s, lambda: Entry.submit(owner, request, mean_s))


def build_entries(
    candidate: str, clock: Simulator, minions: Minions, figures: Statistics, seed: int
) -> list[Entry]:
    """Make the entries of a candidate."""
    count = ENTRY_COUNT
    rng = random.Random(seed)
    kind = OwnerEntry if candidate == "owner" else Entry
    entries = [kind(number, clock, minions, figures, rng) for number in range(count)]
    held = tuple(range(count))
    for entry in entries:
        entry.peers = [peer for peer in entries if peer is not entry]
        seating = seats.Allocation(entry.number, held)
        match candidate:
            case "alone":
                entry.set_share(lambda minion: SLOTS_PER_MINION, CONNECTION_LIMIT)
            case "divided":
                entry.set_share(lambda minion: max(1, SLOTS_PER_MINION // count), CONNECTION_LIMIT)
            case "owner":
                own = {record.minion for record in minions.records[entry.number :: count]}
                entry.set_share(functools.partial(_owned, own), SLOTS_PER_MINION)
            case _:
                entry.set_share(
                    functools.partial(_seated, seating),
                    CONNECTION_LIMIT,
                )
        if candidate == "loans":
            entry.loans = loans.Loans()
    for entry in entries:
        if isinstance(entry, OwnerEntry):
            entry.owners = tuple(entries)
    return entries


def _owned(own: set[ids.MinionId], minion: ids.MinionId) -> int:
    return SLOTS_PER_MINION if minion in own else 0


def _seated(seating: seats.Allocation, minion: ids.MinionId) -> int:
    return seating.get_share(minion, SLOTS_PER_MINION)


def _record(number: int) -> platform.MinionRecord:
    return platform.MinionRecord(
        minion=ids.MinionId(f"orders-{number}"),
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        zone=ids.ZoneName("z"),
        rack=ids.RackName("r"),
        worker=ids.WorkerId(f"w{number}"),
    )
