"""The order of an event loop's work: replies, then internal events, then client events in round-robin order.

Replies complete admitted requests and cost little. The other internal events, such as lost connections and
messages from discovery, may each start new work. Both are processed in order of arrival. The events of one
client are processed in order, and clients take turns (round-robin fair queueing, RFC 970), so a client that
sends many requests at once delays mostly its own. Every second client event may be an urgent one, close to
its deadline, of any client; an urgent event may also be processed between two internal events (earliest
deadline first), as it would be too late after all of them.

No I/O and no clock. Times are `Ticks` of one clock that the caller chooses.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from lilacloft.routing.heap_compaction import HeapCompaction
from lilacloft.routing.units import Ticks

URGENT_TIME: Ticks = 2_000  # a request with at most this much time left is urgent

Item = TypeVar("Item")


@dataclass(eq=False, slots=True)
class ClientItem(Generic[Item]):
    """A queued item of one client."""

    item: Item | None  # None once dequeued, as its deadline may be kept for longer
    client: Hashable
    is_dequeued: bool = False


class ItemDeadline(NamedTuple):
    """The deadline of a queued item."""

    due_at: Ticks
    sequence: int  # in the order of adding
    entry: ClientItem[object]

    def is_obsolete(self) -> bool:
        """Return whether the item was dequeued."""
        return self.entry.is_dequeued


class FairQueue(Generic[Item]):
    """The queued items. Not thread-safe."""

    def __init__(self) -> None:
        self.replies: deque[Item] = deque()
        self.internal: deque[Item] = deque()  # all other internal items
        self.by_client: dict[Hashable, deque[ClientItem[Item]]] = {}
        self.round_robin: deque[Hashable] = deque()  # the clients of `by_client`, the next one first
        self.deadlines: list[ItemDeadline] = []  # a heap; items dequeued in turn stay for a while
        self.compaction = HeapCompaction()
        self.client_count = 0  # queued client items
        self.sequence = 0  # client items added so far
        self.was_overdue = False  # whether the last client item was dequeued out of turn

    def __bool__(self) -> bool:
        """Return whether any item is queued."""
        return bool(self.replies or self.internal or self.client_count)

    def add_reply(self, item: Item) -> None:
        """Queue a reply after the other replies."""
        self.replies.append(item)

    def add(self, item: Item, client: Hashable | None = None, due_at: Ticks | None = None) -> None:
        """Queue an item after the others of its client, or an internal item (`client` is None). `due_at`: its
        deadline."""
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
            self.compaction.apply(self.deadlines, ItemDeadline.is_obsolete)
            heapq.heappush(self.deadlines, ItemDeadline(due_at, self.sequence, entry))

    def next_client_item(self, due_by: Ticks) -> Item | None:
        """Dequeue an item that is due by `due_by`, unless the last one was overdue too; otherwise the
        oldest item of the client whose turn it is. Returns None if no client item is queued."""
        entry = None if self.was_overdue else self._take_overdue(due_by)
        self.was_overdue = entry is not None
        return self._dequeue(entry or self._take_in_turn())

    def next_overdue(self, due_by: Ticks) -> Item | None:
        """Dequeue the client item with the earliest deadline if it is due by `due_by`; else None."""
        entry = self._take_overdue(due_by)
        self.was_overdue = self.was_overdue or entry is not None
        return self._dequeue(entry)

    def next_internal(self) -> Item | None:
        """Dequeue the first reply or, if there is none, the first internal item; else None."""
        if self.replies:
            return self.replies.popleft()
        return self.internal.popleft() if self.internal else None

    def next(self, due_by: Ticks) -> Item | None:
        """Dequeue the item to be processed first; None if nothing is queued."""
        if self.replies or self.internal:
            return self.next_internal()
        return self.next_client_item(due_by)

    def _dequeue(self, entry: ClientItem[Item] | None) -> Item | None:
        if entry is None:
            return None
        entry.is_dequeued = True
        self.client_count -= 1
        item, entry.item = entry.item, None
        return item

    def _take_overdue(self, due_by: Ticks) -> ClientItem[Item] | None:
        while self.deadlines and (self.deadlines[0].due_at <= due_by or self.deadlines[0].entry.is_dequeued):
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
