"""The order of an event loop's work: replies, internal events, then clients' events, and clients take turns.

Replies end what requests that were let in wait for, and cost little. The other internal events are lost
connections, what discovery tells and the like: each may begin new work. Both are taken in the order in which
they came. A client's events are taken in their own order, and clients take turns (round-robin fair queueing,
RFC 970), so a client that sends many requests at once delays its own and hardly anybody else's. Every second
one may be a request whose time is nearly over, whoever's; such a one may also be taken between two internal
events (earliest deadline first), as it would be too late behind all of them.

No I/O and no clock. Times are `Ticks` by one clock of the caller's.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from lilacloft.routing.units import Ticks

URGENT_TIME: Ticks = 2_000  # a request with no more time left than that is urgent

Item = TypeVar("Item")


@dataclass(eq=False, slots=True)
class ClientItem(Generic[Item]):
    """One item of a client's."""

    item: Item
    client: Hashable
    is_dequeued: bool = False


class ItemDeadline(NamedTuple):
    """When the time of an item is over."""

    due_at: Ticks
    sequence: int  # in the order of adding
    entry: ClientItem[object]


class FairQueue(Generic[Item]):
    """The items that wait. Not thread-safe."""

    def __init__(self) -> None:
        self.replies: deque[Item] = deque()
        self.internal: deque[Item] = deque()  # all other internal items
        self.by_client: dict[Hashable, deque[ClientItem[Item]]] = {}
        self.round_robin: deque[Hashable] = deque()  # the clients of `by_client`, the next one first
        self.deadlines: list[ItemDeadline] = []  # a heap; what was dequeued in turn stays to its time
        self.client_count = 0  # items of clients that wait
        self.sequence = 0  # items of clients so far
        self.was_overdue = False  # was the last client's item taken out of turn?

    def __bool__(self) -> bool:
        """Return whether anything waits."""
        return bool(self.replies or self.internal or self.client_count)

    def add_reply(self, item: Item) -> None:
        """Add a reply behind the other replies."""
        self.replies.append(item)

    def add(self, item: Item, client: Hashable | None = None, due_at: Ticks | None = None) -> None:
        """Add an item behind the others of its client; None: it is internal. `due_at`: when its time is
        over."""
        if client is None:
            self.internal.append(item)
            return
        entry = ClientItem(item, client)
        if client not in self.by_client:
            self.by_client[client] = deque()
            self.round_robin.append(client)
        self.by_client[client].append(entry)
        self.client_count += 1
        self.sequence += 1
        if due_at is not None:
            heapq.heappush(self.deadlines, ItemDeadline(due_at, self.sequence, entry))

    def next_of_clients(self, by: Ticks) -> Item | None:
        """Take out the oldest item of the client whose turn it is, or before that one whose time is over by
        then; None where no client's waits."""
        entry = None if self.was_overdue else self._take_overdue(by)
        self.was_overdue = entry is not None
        return self._dequeue(entry or self._take_in_turn())

    def next_overdue(self, by: Ticks) -> Item | None:
        """Take out the client's item whose time is over first, if it is by then; else None."""
        entry = self._take_overdue(by)
        self.was_overdue = self.was_overdue or entry is not None
        return self._dequeue(entry)

    def next_internal(self) -> Item | None:
        """Take out the first reply, or, where there is none, the first internal item; else None."""
        if self.replies:
            return self.replies.popleft()
        return self.internal.popleft() if self.internal else None

    def next(self, by: Ticks) -> Item | None:
        """Take out what is to be done first; None where nothing waits."""
        if self.replies or self.internal:
            return self.next_internal()
        return self.next_of_clients(by)

    def _dequeue(self, entry: ClientItem[Item] | None) -> Item | None:
        if entry is None:
            return None
        entry.is_dequeued = True
        self.client_count -= 1
        return entry.item

    def _take_overdue(self, by: Ticks) -> ClientItem[Item] | None:
        while self.deadlines and (self.deadlines[0].due_at <= by or self.deadlines[0].entry.is_dequeued):
            entry = heapq.heappop(self.deadlines).entry
            if entry.is_dequeued:
                continue
            waiting = self.by_client[entry.client]
            waiting.remove(entry)
            if not waiting:
                del self.by_client[entry.client]
                self.round_robin.remove(entry.client)
            return entry
        return None

    def _take_in_turn(self) -> ClientItem[Item] | None:
        if not self.round_robin:
            return None
        client = self.round_robin.popleft()
        waiting = self.by_client[client]
        entry = waiting.popleft()
        if waiting:
            self.round_robin.append(client)
        else:
            del self.by_client[client]
        return entry
