"""Requests that come again under an id that was used before, after their first client has left.

An id identifies one request and its effect. While a request of an id is in progress, for its client or for
nobody any more, no other is sent under this id. One that comes later has the history of the first: if that
may have been executed, the rules on repeated attempts apply to it (retries.py).

No I/O and no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from lilacloft.routing.model import Backend, Request
from lilacloft.routing.units import Ticks

MAX_REMEMBERED = 1 << 14  # ids; with more, the oldest are forgotten


class Execution(NamedTuple):
    """When and by which backend a request may have been executed first."""

    at: Ticks
    backend: Backend


class ExecutedRequests:
    """The ids of requests that are in progress, and of those that may have been executed."""

    def __init__(self) -> None:
        self.max_remembered = MAX_REMEMBERED  # less in a gateway with little memory
        self.in_progress: dict[str, Request] = {}
        self.executed: dict[str, Execution] = {}  # the oldest first

    def begin(self, request_id: str, request: Request) -> bool:
        """Add a request that has arrived, with the history of its id; False if another one with this id is in
        progress."""
        if self.in_progress.setdefault(request_id, request) is not request:
            return False
        earlier = self.executed.get(request_id)
        if earlier is not None and request.first_executed_at is None:
            request.first_executed_at, request.first_executed_by = earlier
        return True

    def end(self, request_id: str, request: Request, execution: Execution | None) -> None:
        """Remove a request that is over, and remember its execution; None: it was not executed, or may be
        executed any number of times."""
        if self.in_progress.get(request_id) is request:
            del self.in_progress[request_id]
        if execution is None:
            return
        self.executed.setdefault(request_id, execution)
        while len(self.executed) > self.max_remembered:
            del self.executed[next(iter(self.executed))]
