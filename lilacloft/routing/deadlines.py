"""The queue of deadlines: of requests, and of attempts that take longer than they should."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import NamedTuple

from lilacloft.routing.host import Host, Timer
from lilacloft.routing.model import Request
from lilacloft.routing.units import Ticks

WHOLE_REQUEST = -1  # in place of an attempt's number


class Deadline(NamedTuple):
    """When something about a request is due."""

    due_at: Ticks
    number: int  # in the order in which they were set
    request: Request
    attempt: int  # the attempt that it is about, or WHOLE_REQUEST

    def is_over(self) -> bool:
        """Return whether nothing is due any more: the request is finished, or the attempt is not its last."""
        request = self.request
        return request.finished or self.attempt not in (WHOLE_REQUEST, request.attempts - 1)


class DeadlineQueue:
    """Wakes its host no oftener than needed: at the earliest deadline that is not over."""

    def __init__(self, host: Host) -> None:
        """Make an empty queue that wakes a host."""
        self.host = host
        self.deadlines: list[Deadline] = []  # a heap
        self.count = 0  # set so far
        self.wakes_at: float = math.inf

    def add(self, due_at: Ticks, request: Request, attempt: int = WHOLE_REQUEST) -> None:
        """Set a deadline of a request, or of its attempt with this number."""
        self.count += 1
        heapq.heappush(self.deadlines, Deadline(due_at, self.count, request, attempt))
        if due_at < self.wakes_at:
            self._arm()

    def due(self, now: Ticks) -> Iterator[Deadline]:
        """Take out what is due, also what is added meanwhile; the host has just woken us."""
        self.wakes_at = math.inf
        while self.deadlines and self.deadlines[0].due_at <= now:
            yield heapq.heappop(self.deadlines)
        self._arm()

    def _arm(self) -> None:
        deadlines = self.deadlines
        while deadlines and deadlines[0].is_over():
            heapq.heappop(deadlines)
        if deadlines and deadlines[0].due_at < self.wakes_at:
            self.wakes_at = deadlines[0].due_at
            self.host.wake(self.wakes_at, Timer.DEADLINE)
