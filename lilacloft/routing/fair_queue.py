"""The order of an event loop's work: work in hand before new work, and no client before another's turn.

Work in hand is what requests that were let in wait for: replies, lost connections, what discovery tells. It
is done in the order in which it came. What clients send is new work. Each client's is done in its own order,
and the clients take turns (round-robin fair queueing, RFC 970), so a client that sends many requests at once
delays its own and hardly anybody else's. New work whose time is over goes before the rest of it, as all that
is left to do is to say so.

No I/O and no clock. Times are `Ticks` by one clock of the caller's.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from lilacloft.routing.units import Ticks

Item = TypeVar("Item")


@dataclass(eq=False, slots=True)
class NewWork(Generic[Item]):
    """One item of a client's."""

    item: Item
    client: Hashable
    is_taken: bool = False


class FairQueue(Generic[Item]):
    """The items that wait. Not thread-safe."""

    def __init__(self) -> None:
        self.in_hand: deque[Item] = deque()
        self.by_client: dict[Hashable, deque[NewWork[Item]]] = {}  # what each client has sent
        self.turns: deque[Hashable] = deque()  # the clients of `by_client`, the next one first
        self.deadlines: list[tuple[Ticks, int, NewWork[Item]]] = []  # a heap
        self.new_count = 0  # items of clients that wait
        self.added = 0  # items of clients so far

    def __bool__(self) -> bool:
        """Return whether anything waits."""
        return bool(self.in_hand or self.new_count)

    def add(self, item: Item, client: Hashable | None = None, due_at: Ticks | None = None) -> None:
        """Add an item behind the others of its client; None: it is work in hand. `due_at`: when its time is
        over."""
        if client is None:
            self.in_hand.append(item)
            return
        work = NewWork(item, client)
        if client not in self.by_client:
            self.by_client[client] = deque()
            self.turns.append(client)
        self.by_client[client].append(work)
        self.new_count += 1
        self.added += 1
        if due_at is not None:
            heapq.heappush(self.deadlines, (due_at, self.added, work))

    def next_new(self, now: Ticks) -> Item | None:
        """Take out an item whose time is over, else the oldest one of the client whose turn it is; None where
        no client's waits."""
        work = self._take_overdue(now) or self._take_in_turn()
        if work is None:
            return None
        work.is_taken = True
        self.new_count -= 1
        return work.item

    def next(self, now: Ticks) -> Item | None:
        """Take out what is to be done first; None where nothing waits."""
        return self.in_hand.popleft() if self.in_hand else self.next_new(now)

    def _take_overdue(self, now: Ticks) -> NewWork[Item] | None:
        while self.deadlines and (self.deadlines[0][0] <= now or self.deadlines[0][2].is_taken):
            work = heapq.heappop(self.deadlines)[2]
            if work.is_taken:
                continue
            waiting = self.by_client[work.client]
            waiting.remove(work)
            if not waiting:
                del self.by_client[work.client]
                self.turns.remove(work.client)
            return work
        return None

    def _take_in_turn(self) -> NewWork[Item] | None:
        if not self.turns:
            return None
        client = self.turns.popleft()
        waiting = self.by_client[client]
        work = waiting.popleft()
        if waiting:
            self.turns.append(client)
        else:
            del self.by_client[client]
        return work
