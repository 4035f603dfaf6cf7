"""Keep the requests of one service that wait, by class and deadline."""

import heapq
import itertools
import math

from nutmegshelf import declarations, ids, tickets

# Strict order would starve batch for as long as urgent work keeps coming. Under a lasting
# overload the classes share the slots by these weights; a class that rarely waits goes first.
_CLASS_WEIGHTS = {
    declarations.RequestClass.URGENT: 16,
    declarations.RequestClass.NORMAL: 4,
    declarations.RequestClass.BATCH: 1,
}
_CLASSES = tuple(_CLASS_WEIGHTS)
_ALL_WEIGHTS = sum(_CLASS_WEIGHTS.values())

_Entry = tuple[float, int, tickets.Ticket]


class _ClassQueue:
    """Keep the tickets of one class by deadline; withdrawn ones are dropped lazily."""

    def __init__(self, weight: int) -> None:
        self.stride = 1.0 / weight
        self.turn = 0.0
        self.heap: list[_Entry] = []
        self.live = 0


class TicketQueue:
    """Order waiting tickets: classes by weighted turns, then the earliest deadline first."""

    def __init__(self) -> None:
        self._classes = {name: _ClassQueue(weight) for name, weight in _CLASS_WEIGHTS.items()}
        self._waiting: dict[ids.RequestId, tickets.Ticket] = {}
        self._order = itertools.count()
        self._turn = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: ids.RequestId) -> bool:
        return request in self._waiting

    def push(self, ticket: tickets.Ticket) -> None:
        """Let a ticket wait."""
        queue = self._classes[ticket.request_class]
        if not queue.live:
            # A class that was empty has saved up no turns.
            queue.turn = max(queue.turn, self._turn)
        heapq.heappush(queue.heap, (ticket.deadline_s, next(self._order), ticket))
        queue.live += 1
        self._waiting[ticket.request] = ticket

    def remove(self, request: ids.RequestId) -> None:
        """Take a ticket out."""
        if ticket := self._waiting.pop(request, None):
            self._classes[ticket.request_class].live -= 1

    def estimate_grants_ahead(self, ticket: tickets.Ticket) -> int:
        """Estimate how many grants go by before a new ticket's turn."""
        own = self._classes[ticket.request_class]
        waiting = sum(1 / queue.stride for queue in self._classes.values() if queue.live)
        return min(len(self), math.ceil(own.live * waiting * own.stride))

    def peek(self) -> tickets.Ticket | None:
        """Give the ticket whose turn it is."""
        queue = self._next_class()
        return queue.heap[0][2] if queue else None

    def pop(self) -> None:
        """Take out the ticket whose turn it is, and count the turn."""
        if queue := self._next_class():
            self._turn = queue.turn
            queue.turn += queue.stride
            self.remove(queue.heap[0][2].request)

    def remove_expired(self, now_s: float) -> list[tickets.Ticket]:
        """Take out every ticket past its deadline, of whatever class."""
        found: list[tickets.Ticket] = []
        for queue in self._classes.values():
            while self._trim(queue) and queue.heap[0][0] <= now_s:
                found.append(queue.heap[0][2])
                self.remove(queue.heap[0][2].request)
        return found

    def evict_lower_class(self, ticket: tickets.Ticket, limit: int) -> tickets.Ticket | None:
        """Take out the ticket with the latest deadline of a class below the given one.

        Each class keeps its part of the places, so that a full queue starves none either.
        """
        for name in reversed(_CLASSES):
            if name is ticket.request_class:
                return None
            queue = self._classes[name]
            if queue.live > limit * _CLASS_WEIGHTS[name] // _ALL_WEIGHTS:
                latest = max(entry for entry in queue.heap if self._is_live(entry))[2]
                self.remove(latest.request)
                return latest
        return None

    def _next_class(self) -> _ClassQueue | None:
        waiting = [queue for queue in self._classes.values() if self._trim(queue)]
        return min(waiting, key=lambda queue: queue.turn, default=None)

    def _trim(self, queue: _ClassQueue) -> bool:
        while queue.heap and not self._is_live(queue.heap[0]):
            heapq.heappop(queue.heap)
        return bool(queue.heap)

    def _is_live(self, entry: _Entry) -> bool:
        return self._waiting.get(entry[2].request) is entry[2]
