"""Order the waiting requests of a service by class and deadline."""

import heapq
import itertools
import math

from nutmegshelf import declarations, ids, tickets

# Strict priority would starve batch requests while urgent ones keep arriving. In a lasting overload
# the classes share the slots by these weights; a class that rarely waits is served first.
_CLASS_WEIGHTS = {
    declarations.RequestClass.URGENT: 16,
    declarations.RequestClass.NORMAL: 4,
    declarations.RequestClass.BATCH: 1,
}
_REQUEST_CLASSES = tuple(_CLASS_WEIGHTS)
_TOTAL_WEIGHT = sum(_CLASS_WEIGHTS.values())

_HeapItem = tuple[float, int, tickets.Ticket]


class _ClassQueue:
    """Heap of one class's tickets by deadline; removed ones are dropped from it lazily."""

    def __init__(self, weight: int) -> None:
        self.stride = 1.0 / weight
        self.turn = 0.0
        self.heap: list[_HeapItem] = []
        self.live_count = 0


class TicketQueue:
    """Stride scheduler over the request classes, with the earliest deadline first in each class."""

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
        """Add a waiting ticket."""
        queue = self._classes[ticket.request_class]
        if not queue.live_count:
            # A class accumulates no turns while it is empty.
            queue.turn = max(queue.turn, self._turn)
        heapq.heappush(queue.heap, (ticket.deadline_s, next(self._order), ticket))
        queue.live_count += 1
        self._waiting[ticket.request] = ticket

    def remove(self, request: ids.RequestId) -> None:
        """Remove the ticket of a request, if it waits."""
        if ticket := self._waiting.pop(request, None):
            self._classes[ticket.request_class].live_count -= 1

    def estimate_grants_ahead(self, ticket: tickets.Ticket) -> int:
        """Estimate how many grants precede that of a new ticket."""
        own_queue = self._classes[ticket.request_class]
        waiting_weight = sum(
            1 / queue.stride for queue in self._classes.values() if queue.live_count
        )
        return min(len(self), math.ceil(own_queue.live_count * waiting_weight * own_queue.stride))

    def peek(self) -> tickets.Ticket | None:
        """Return the next ticket without removing it."""
        queue = self._next_class()
        return queue.heap[0][2] if queue else None

    def pop(self) -> None:
        """Remove the next ticket and charge the turn to its class."""
        if queue := self._next_class():
            self._turn = queue.turn
            queue.turn += queue.stride
            self.remove(queue.heap[0][2].request)

    def remove_expired(self, now_s: float) -> list[tickets.Ticket]:
        """Remove and return all tickets whose deadline has passed."""
        expired: list[tickets.Ticket] = []
        for queue in self._classes.values():
            while self._drop_removed(queue) and queue.heap[0][0] <= now_s:
                expired.append(queue.heap[0][2])
                self.remove(queue.heap[0][2].request)
        return expired

    def evict_lower_class(self, ticket: tickets.Ticket, limit: int) -> tickets.Ticket | None:
        """Remove and return the ticket with the latest deadline of a lower class, if there is one.

        Each class keeps its weighted share of the limit, so that a full queue starves none.
        """
        for name in reversed(_REQUEST_CLASSES):
            if name is ticket.request_class:
                return None
            queue = self._classes[name]
            if queue.live_count > limit * _CLASS_WEIGHTS[name] // _TOTAL_WEIGHT:
                latest = max(item for item in queue.heap if self._is_live(item))[2]
                self.remove(latest.request)
                return latest
        return None

    def _next_class(self) -> _ClassQueue | None:
        nonempty = [queue for queue in self._classes.values() if self._drop_removed(queue)]
        return min(nonempty, key=lambda queue: queue.turn, default=None)

    def _drop_removed(self, queue: _ClassQueue) -> bool:
        while queue.heap and not self._is_live(queue.heap[0]):
            heapq.heappop(queue.heap)
        return bool(queue.heap)

    def _is_live(self, item: _HeapItem) -> bool:
        return self._waiting.get(item[2].request) is item[2]
