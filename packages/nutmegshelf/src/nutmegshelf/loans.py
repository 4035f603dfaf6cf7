"""Lend unused slots to other entries for a short term."""

import collections.abc
import dataclasses

import msgspec

from nutmegshelf import ids, routing

# Asking two random peers gives nearly all of the gain for a third of the messages.
MAX_ASKED_PEERS = 2
TERM_S = 5.0
MIN_ASK_INTERVAL_S = 0.03
MAX_ASK_INTERVAL_S = 0.32
# Borrowed slots that are idle at two checks in a row are returned.
CHECK_INTERVAL_S = 0.02
# The lender keeps this part of its idle slots for its own next requests.
RESERVED_FRACTION = 0.25
# The borrower uses the slots for this part of the term, so that running requests can end.
_USABLE_FRACTION = 0.8


class SlotCount(msgspec.Struct, frozen=True, array_like=True):
    """A number of slots of one minion."""

    minion: ids.MinionId
    slots: int


SlotCounts = tuple[SlotCount, ...]


@dataclasses.dataclass(slots=True)
class Loan:
    """The slots of one loan, and its end on this entry's clock."""

    peer: ids.EntryId
    loan_number: int
    slots: dict[ids.MinionId, int]
    ends_s: float

    def subtract(self, slot_counts: collections.abc.Iterable[SlotCount]) -> None:
        """Remove returned slots from the loan."""
        for slot_count in slot_counts:
            remaining = self.slots.get(slot_count.minion, 0) - slot_count.slots
            if remaining > 0:
                self.slots[slot_count.minion] = remaining
            else:
                self.slots.pop(slot_count.minion, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Slots of a loan to return to the lender."""

    peer: ids.EntryId
    loan_number: int
    slot_counts: SlotCounts


class Loans:
    """The loans of one service at one entry, lent and borrowed.

    Both sides measure the same term on their own clocks, the borrower from its request and the
    lender from its answer. So a loan always ends first at the borrower, even if a message is late
    or either side is paused or killed.
    """

    def __init__(self, term_s: float = TERM_S) -> None:
        self._term_s = term_s
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []
        self._next_request_s = 0.0
        self._interval_s = MIN_ASK_INTERVAL_S
        self._previous_idle: dict[ids.MinionId, int] = {}

    @property
    def is_borrower(self) -> bool:
        """Return whether any slot is borrowed."""
        return bool(self._borrowed)

    def count_wanted(self, queued: int, now_s: float) -> int:
        """Return how many slots to request from peers now; zero between two requests."""
        if not queued or now_s < self._next_request_s:
            return 0
        if now_s - self._next_request_s > MAX_ASK_INTERVAL_S:
            self._interval_s = MIN_ASK_INTERVAL_S
        self._next_request_s = now_s + self._interval_s
        # While no peer has slots to lend, the interval grows to save messages.
        self._interval_s = min(2 * self._interval_s, MAX_ASK_INTERVAL_S)
        return queued

    def lend(
        self, loan: Loan, wanted: int, queued: int, router: routing.Router, now_s: float
    ) -> SlotCounts:
        """Lend idle slots and fill in the loan; the caller must recount its dispatcher."""
        if queued:
            return ()
        idle = {
            target.record.minion: min(target.share - target.lent, target.slots - target.in_flight)
            for target in router.targets.values()
            if target.has_free_slot
        }
        remaining = min(wanted, int(sum(idle.values()) * (1 - RESERVED_FRACTION)))
        for minion, count in sorted(idle.items(), key=lambda pair: -pair[1]):
            if lent := min(count, remaining):
                loan.slots[minion] = lent
                remaining -= lent
        if loan.slots:
            loan.ends_s = now_s + self._term_s
            self._lent.append(loan)
            self.recount(router)
        return tuple(SlotCount(minion, count) for minion, count in loan.slots.items())

    def borrow(self, loan: Loan, requested_s: float, router: routing.Router, now_s: float) -> bool:
        """Accept a loan unless it came too late; the caller must recount its dispatcher."""
        loan.ends_s = requested_s + _USABLE_FRACTION * self._term_s
        if now_s >= loan.ends_s:
            return False
        self._interval_s = MIN_ASK_INTERVAL_S
        self._borrowed.append(loan)
        self.recount(router)
        return True

    def return_idle(self, router: routing.Router) -> list[Return]:
        """Return the borrowed slots that stay idle; the caller must recount its dispatcher."""
        idle = self._count_idle(router)
        returns: list[Return] = []
        for loan in self._borrowed:
            slot_counts: list[SlotCount] = []
            for minion, count in loan.slots.items():
                returned = min(count, idle.get(minion, 0))
                idle[minion] = idle.get(minion, 0) - returned
                if returned:
                    slot_counts.append(SlotCount(minion, returned))
            if slot_counts:
                loan.subtract(slot_counts)
                returns.append(Return(loan.peer, loan.loan_number, tuple(slot_counts)))
        if returns:
            self._borrowed = [loan for loan in self._borrowed if loan.slots]
            self.recount(router)
        return returns

    def _count_idle(self, router: routing.Router) -> dict[ids.MinionId, int]:
        idle = {
            target.record.minion: max(0, min(target.borrowed, target.slots - target.in_flight))
            for target in router.targets.values()
            if target.borrowed
        }
        still_idle = {
            minion: min(count, self._previous_idle.get(minion, 0)) for minion, count in idle.items()
        }
        self._previous_idle = {minion: count - still_idle[minion] for minion, count in idle.items()}
        return still_idle

    def accept_return(
        self, peer: ids.EntryId, loan_number: int, slot_counts: SlotCounts, router: routing.Router
    ) -> None:
        """Accept returned slots; those of a loan that has ended are back already."""
        for loan in self._lent:
            if loan.peer == peer and loan.loan_number == loan_number:
                loan.subtract(slot_counts)
        self._lent = [loan for loan in self._lent if loan.slots]
        self.recount(router)

    def end_expired(self, router: routing.Router, now_s: float) -> bool:
        """End the loans that are due and return whether there were any."""
        previous_count = len(self._lent) + len(self._borrowed)
        self._lent = [loan for loan in self._lent if loan.ends_s > now_s]
        self._borrowed = [loan for loan in self._borrowed if loan.ends_s > now_s]
        if len(self._lent) + len(self._borrowed) == previous_count:
            return False
        self.recount(router)
        return True

    def recount(self, router: routing.Router) -> None:
        """Recompute the lent and borrowed slots of every minion."""
        for target in router.targets.values():
            target.lent = target.borrowed = 0
        for minion, count in _list_slots(self._lent, router):
            router.targets[minion].lent += count
        for minion, count in _list_slots(self._borrowed, router):
            router.targets[minion].borrowed += count

    def get_next_end_s(self) -> float | None:
        """Return the end of the loan that ends next."""
        return min((loan.ends_s for loan in [*self._lent, *self._borrowed]), default=None)


def _list_slots(loans: list[Loan], router: routing.Router) -> list[tuple[ids.MinionId, int]]:
    items = [item for loan in loans for item in loan.slots.items()]
    return [(minion, count) for minion, count in items if minion in router.targets]
