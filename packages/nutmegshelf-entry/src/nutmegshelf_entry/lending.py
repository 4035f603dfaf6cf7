"""Ask peers for unused slots and lend them the own ones."""

import asyncio
import random

from nutmegshelf import ids, loans, members, messages

from nutmegshelf_entry import logs, peers, slots

_REMEMBERED_ASKS = 64
_log = logs.get_logger("lending")


class LoanBroker:
    """Carry the loans of slots between the owner of the slots and the peers."""

    def __init__(
        self,
        slot_owner: slots.Slots,
        known: members.Members,
        sockets: peers.Peers,
        rng: random.Random,
    ) -> None:
        self._own = known.entry
        self._slots = slot_owner
        self._members = known
        self._peers = sockets
        self._rng = rng
        self._asked_s: dict[int, float] = {}
        self._ask = 0
        slot_owner.request_slots = self.request_slots
        slot_owner.return_slots = self.return_slots

    def request_slots(self, service: ids.ServiceName, wanted: int) -> None:
        """Ask some peers for slots of a service."""
        now_s = asyncio.get_running_loop().time()
        self._ask += 1
        self._asked_s[self._ask] = now_s
        self._asked_s.pop(self._ask - _REMEMBERED_ASKS, None)
        message = messages.SlotsRequested(
            sender=self._own, service=service, loan_number=self._ask, slots=wanted
        )
        live = self._members.get_live(now_s)
        for peer in self._rng.sample(live, min(loans.MAX_ASKED_PEERS, len(live))):
            self._peers.send(peer.peer_address, message)

    def handle_request(self, wanted: messages.SlotsRequested) -> None:
        """Lend what is idle to a peer that asked."""
        address = self._members.get_address(wanted.sender)
        if address is None:
            return
        loan = loans.Loan(wanted.sender, wanted.loan_number, {}, 0.0)
        parts = self._slots.lend(wanted.service, loan, wanted.slots)
        if parts:
            _log.debug("Lent slots.", service=wanted.service, to=wanted.sender, parts=len(parts))
            lent = messages.SlotsLent(
                sender=self._own,
                service=wanted.service,
                loan_number=wanted.loan_number,
                slot_counts=parts,
            )
            self._peers.send(address, lent)

    def handle_loan(self, lent: messages.SlotsLent) -> None:
        """Use slots that a peer lent, unless the ask is too long ago."""
        asked_s = self._asked_s.get(lent.loan_number)
        if asked_s is not None:
            slots_by_minion = {part.minion: part.slots for part in lent.slot_counts}
            loan = loans.Loan(lent.sender, lent.loan_number, slots_by_minion, 0.0)
            self._slots.borrow(lent.service, loan, asked_s)

    def return_slots(self, service: ids.ServiceName, back: loans.Return) -> None:
        """Return slots; where the message is lost, the lender waits the term out."""
        address = self._members.get_address(back.peer)
        if address is not None:
            message = messages.SlotsReturned(
                sender=self._own,
                service=service,
                loan_number=back.loan_number,
                slot_counts=back.slot_counts,
            )
            self._peers.send(address, message)

    def handle_return(self, returned: messages.SlotsReturned) -> None:
        """Take slots that a peer returned."""
        self._slots.accept_return(
            returned.service, returned.sender, returned.loan_number, returned.slot_counts
        )
