"""Borrow idle slots from peers and lend them idle slots."""

import asyncio
import random

from nutmegshelf import ids, loans, members, messages

from nutmegshelf_entry import logs, peers, slots

_MAX_OPEN_REQUESTS = 64
_log = logs.get_logger("lending")


class LoanBroker:
    """The exchange of loans between the slots of this entry and its peers."""

    def __init__(
        self,
        service_slots: slots.Slots,
        membership: members.Members,
        peer_sockets: peers.Peers,
        rng: random.Random,
    ) -> None:
        self._entry = membership.entry
        self._slots = service_slots
        self._members = membership
        self._peers = peer_sockets
        self._rng = rng
        self._requested_s: dict[int, float] = {}
        self._last_loan_number = 0
        service_slots.request_slots = self.request_slots
        service_slots.return_slots = self.return_slots

    def request_slots(self, service: ids.ServiceName, slot_count: int) -> None:
        """Request slots of a service from a random sample of live peers."""
        now_s = asyncio.get_running_loop().time()
        self._last_loan_number += 1
        self._requested_s[self._last_loan_number] = now_s
        self._requested_s.pop(self._last_loan_number - _MAX_OPEN_REQUESTS, None)
        message = messages.SlotsRequested(
            sender=self._entry,
            service=service,
            loan_number=self._last_loan_number,
            slots=slot_count,
        )
        live_peers = self._members.get_live(now_s)
        for peer in self._rng.sample(live_peers, min(loans.MAX_ASKED_PEERS, len(live_peers))):
            self._peers.send(peer.peer_address, message)

    def handle_request(self, request: messages.SlotsRequested) -> None:
        """Lend idle slots to a peer that requested them."""
        address = self._members.get_address(request.sender)
        if address is None:
            return
        loan = loans.Loan(request.sender, request.loan_number, {}, 0.0)
        slot_counts = self._slots.lend(request.service, loan, request.slots)
        if slot_counts:
            _log.debug(
                "Lent slots.", service=request.service, to=request.sender, parts=len(slot_counts)
            )
            reply = messages.SlotsLent(
                sender=self._entry,
                service=request.service,
                loan_number=request.loan_number,
                slot_counts=slot_counts,
            )
            self._peers.send(address, reply)

    def handle_loan(self, message: messages.SlotsLent) -> None:
        """Add slots that a peer lent, unless the request is no longer remembered."""
        requested_s = self._requested_s.get(message.loan_number)
        if requested_s is not None:
            slots_by_minion = {
                slot_count.minion: slot_count.slots for slot_count in message.slot_counts
            }
            loan = loans.Loan(message.sender, message.loan_number, slots_by_minion, 0.0)
            self._slots.borrow(message.service, loan, requested_s)

    def return_slots(self, service: ids.ServiceName, loan_return: loans.Return) -> None:
        """Return slots; if the message is lost, the lender gets them back when the loan expires."""
        address = self._members.get_address(loan_return.peer)
        if address is not None:
            message = messages.SlotsReturned(
                sender=self._entry,
                service=service,
                loan_number=loan_return.loan_number,
                slot_counts=loan_return.slot_counts,
            )
            self._peers.send(address, message)

    def handle_return(self, returned: messages.SlotsReturned) -> None:
        """Add slots that a peer returned."""
        self._slots.accept_return(
            returned.service, returned.sender, returned.loan_number, returned.slot_counts
        )
