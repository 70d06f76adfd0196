"""The queue of deadlines: of requests, and of attempts that exceed their latency objective."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from lilacloft.routing.heap_compaction import HeapCompaction
from lilacloft.routing.host import Host, Timer
from lilacloft.routing.model import Request
from lilacloft.routing.units import Ticks

WHOLE_REQUEST = -1  # used instead of an attempt number


class Deadline(NamedTuple):
    """The deadline of a request or of one of its attempts."""

    due_at: Ticks
    number: int  # sequence number, in the order of adding
    request: Request
    attempt: int  # number of the attempt, or WHOLE_REQUEST

    def is_obsolete(self) -> bool:
        """Return whether the request is finished, or the attempt is not its last one."""
        request = self.request
        return request.finished or self.attempt not in (WHOLE_REQUEST, request.attempts - 1)


class DeadlineQueue:
    """Sets one timer of the host at a time: for the earliest deadline that is not obsolete."""

    def __init__(self, host: Host) -> None:
        """Create an empty queue that sets timers of `host`."""
        self.host = host
        self.deadlines: list[Deadline] = []  # a heap
        self.compaction = HeapCompaction()
        self.count = 0  # deadlines added so far
        self.wakes_at: float = math.inf

    def add(self, due_at: Ticks, request: Request, attempt: int = WHOLE_REQUEST) -> None:
        """Add a deadline for a whole request or, if `attempt` is given, for the attempt with that number."""
        self.count += 1
        self.compaction.apply(self.deadlines, Deadline.is_obsolete)
        heapq.heappush(self.deadlines, Deadline(due_at, self.count, request, attempt))
        if due_at < self.wakes_at:
            self._set_timer()

    def due(self, now: Ticks) -> Iterator[Deadline]:
        """Remove and yield the deadlines that are due, including those added meanwhile; the host's timer has
        just fired."""
        self.wakes_at = math.inf
        while self.deadlines and self.deadlines[0].due_at <= now:
            yield heapq.heappop(self.deadlines)
        self._set_timer()

    def _set_timer(self) -> None:
        deadlines = self.deadlines
        while deadlines and deadlines[0].is_obsolete():
            heapq.heappop(deadlines)
        if deadlines and deadlines[0].due_at < self.wakes_at:
            self.wakes_at = deadlines[0].due_at
            self.host.wake(self.wakes_at, Timer.DEADLINE)
