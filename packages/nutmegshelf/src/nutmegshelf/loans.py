"""Decide on short loans of unused slots between the entries."""

import collections.abc
import dataclasses

import msgspec

from nutmegshelf import ids, routing

# Two random peers are asked at a time; nearly all of the gain, and a third of the messages.
MAX_ASKED_PEERS = 2
TERM_S = 5.0
MIN_ASK_INTERVAL_S = 0.03
MAX_ASK_INTERVAL_S = 0.32
# Borrowed slots that were idle at two checks in a row go back.
CHECK_INTERVAL_S = 0.02
# The lender keeps a part of its idle slots for its own next requests.
RESERVED_FRACTION = 0.25
# The borrower starts nothing in the last part of the term, so that running work can end.
_USED_FRACTION = 0.8


class SlotCount(msgspec.Struct, frozen=True, array_like=True):
    """Count slots of one minion."""

    minion: ids.MinionId
    slots: int


SlotCounts = tuple[SlotCount, ...]


@dataclasses.dataclass(slots=True)
class Loan:
    """Count the slots of one loan, until an end on the own clock."""

    peer: ids.EntryId
    loan_number: int
    slots: dict[ids.MinionId, int]
    ends_s: float

    def subtract(self, parts: collections.abc.Iterable[SlotCount]) -> None:
        """Take returned slots off."""
        for part in parts:
            left = self.slots.get(part.minion, 0) - part.slots
            if left > 0:
                self.slots[part.minion] = left
            else:
                self.slots.pop(part.minion, None)


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Give slots of a loan back to the peer that lent them."""

    peer: ids.EntryId
    loan_number: int
    slot_counts: SlotCounts


class Loans:
    """Keep one service's loans at one entry.

    Both sides count the same term on their own clocks. The borrower starts before it asks and
    the lender when it answers, so the borrower's end always comes first, also where a message
    is late, or where either side was paused or died.
    """

    def __init__(self, term_s: float = TERM_S) -> None:
        self._term_s = term_s
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []
        self._next_ask_s = 0.0
        self._interval_s = MIN_ASK_INTERVAL_S
        self._idle_before: dict[ids.MinionId, int] = {}

    @property
    def is_borrower(self) -> bool:
        """Say whether any slot is borrowed."""
        return bool(self._borrowed)

    def count_wanted(self, queued: int, now_s: float) -> int:
        """Say how many slots to ask the peers for now; zero mostly."""
        if not queued or now_s < self._next_ask_s:
            return 0
        if now_s - self._next_ask_s > MAX_ASK_INTERVAL_S:
            self._interval_s = MIN_ASK_INTERVAL_S
        self._next_ask_s = now_s + self._interval_s
        # Where nobody has slots to lend, asking more often only costs messages.
        self._interval_s = min(2 * self._interval_s, MAX_ASK_INTERVAL_S)
        return queued

    def lend(
        self, loan: Loan, wanted: int, queued: int, router: routing.Router, now_s: float
    ) -> SlotCounts:
        """Lend idle slots, filling in the loan; the caller recounts its dispatcher afterwards."""
        if queued:
            return ()
        idle = {
            target.record.minion: min(target.share - target.lent, target.slots - target.in_flight)
            for target in router.targets.values()
            if target.has_free_slot
        }
        left = min(wanted, int(sum(idle.values()) * (1 - RESERVED_FRACTION)))
        for minion, count in sorted(idle.items(), key=lambda pair: -pair[1]):
            if given := min(count, left):
                loan.slots[minion] = given
                left -= given
        if loan.slots:
            loan.ends_s = now_s + self._term_s
            self._lent.append(loan)
            self.recount(router)
        return tuple(SlotCount(minion, count) for minion, count in loan.slots.items())

    def borrow(self, loan: Loan, asked_s: float, router: routing.Router, now_s: float) -> bool:
        """Take a loan unless it came too late; the caller recounts its dispatcher afterwards."""
        loan.ends_s = asked_s + _USED_FRACTION * self._term_s
        if now_s >= loan.ends_s:
            return False
        self._interval_s = MIN_ASK_INTERVAL_S
        self._borrowed.append(loan)
        self.recount(router)
        return True

    def return_idle(self, router: routing.Router) -> list[Return]:
        """Return the borrowed slots that stay idle; the caller recounts its dispatcher."""
        spare = self._stay_idle(router)
        returns: list[Return] = []
        for loan in self._borrowed:
            parts: list[SlotCount] = []
            for minion, count in loan.slots.items():
                given = min(count, spare.get(minion, 0))
                spare[minion] = spare.get(minion, 0) - given
                if given:
                    parts.append(SlotCount(minion, given))
            if parts:
                loan.subtract(parts)
                returns.append(Return(loan.peer, loan.loan_number, tuple(parts)))
        if returns:
            self._borrowed = [loan for loan in self._borrowed if loan.slots]
            self.recount(router)
        return returns

    def _stay_idle(self, router: routing.Router) -> dict[ids.MinionId, int]:
        idle = {
            target.record.minion: max(0, min(target.borrowed, target.slots - target.in_flight))
            for target in router.targets.values()
            if target.borrowed
        }
        spare = {minion: min(n, self._idle_before.get(minion, 0)) for minion, n in idle.items()}
        self._idle_before = {minion: n - spare[minion] for minion, n in idle.items()}
        return spare

    def accept_return(
        self, peer: ids.EntryId, loan_number: int, slot_counts: SlotCounts, router: routing.Router
    ) -> None:
        """Take returned slots; those of a loan that has ended already are the own ones again."""
        for loan in self._lent:
            if loan.peer == peer and loan.loan_number == loan_number:
                loan.subtract(slot_counts)
        self._lent = [loan for loan in self._lent if loan.slots]
        self.recount(router)

    def end_expired(self, router: routing.Router, now_s: float) -> bool:
        """End the loans that are due and say whether any was."""
        before = len(self._lent) + len(self._borrowed)
        self._lent = [loan for loan in self._lent if loan.ends_s > now_s]
        self._borrowed = [loan for loan in self._borrowed if loan.ends_s > now_s]
        if len(self._lent) + len(self._borrowed) == before:
            return False
        self.recount(router)
        return True

    def recount(self, router: routing.Router) -> None:
        """Count all loans again, as minions and loans come and go."""
        for target in router.targets.values():
            target.lent = target.borrowed = 0
        for minion, count in _slots(self._lent, router):
            router.targets[minion].lent += count
        for minion, count in _slots(self._borrowed, router):
            router.targets[minion].borrowed += count

    def get_next_end_s(self) -> float | None:
        """Say when the next loan ends."""
        return min((loan.ends_s for loan in [*self._lent, *self._borrowed]), default=None)


def _slots(loans: list[Loan], router: routing.Router) -> list[tuple[ids.MinionId, int]]:
    found = [item for loan in loans for item in loan.slots.items()]
    return [(minion, count) for minion, count in found if minion in router.targets]
