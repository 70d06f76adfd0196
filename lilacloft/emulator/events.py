"""Event queue and virtual clock of the emulator.

Time is counted in whole tenths of a millisecond. Events at the same instant run in order of rank, then in
the order in which they were scheduled, so the order never depends on addresses, hashes or random numbers.
The ranks make a fault take effect before the events it affects, network messages arrive before timers fire,
and client timeouts run last, so that an answer at the very instant of a client's deadline still counts. No
I/O.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

FAULT, LOG, NET, TIMER, CLIENT, CHECK = range(6)


class Events:
    """Priority queue of scheduled events."""

    def __init__(self, now: int = 0) -> None:
        self.now, self.number, self.done = now, 0, 0
        self.heap: list[tuple[int, int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.after: Callable[[], None] | None = None  # called after each event

    def at(self, when: int, rank: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a call; a time in the past means now."""
        self.number += 1
        heapq.heappush(self.heap, (max(when, self.now), rank, self.number, callback, args))

    def step(self) -> bool:
        """Run the next event; return False if the queue is empty."""
        if not self.heap:
            return False
        self.now, _, _, callback, args = heapq.heappop(self.heap)
        self.done += 1
        callback(*args)
        if self.after:
            self.after()
        return True

    def run(self, until: int) -> None:
        """Run all events up to a time, and advance the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.step()
        self.now = max(self.now, until)
