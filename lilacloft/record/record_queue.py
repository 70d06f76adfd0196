"""The bounded queue between the event loop, which must not wait, and the thread that writes records."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_QUEUED_RECORDS = 4096


class QueuedRecords(NamedTuple):
    """The contents of a queue: its lines, how many were dropped after them, and the time of the first drop
    (as passed to `put`)."""

    lines: list[bytes]
    dropped: int
    since: int


class RecordQueue:
    """Encoded records that wait to be written. Records that do not fit are dropped and counted.

    The caller holds a lock around each call.
    """

    def __init__(self, capacity: int = MAX_QUEUED_RECORDS) -> None:
        self.capacity = capacity
        self.lines = deque[bytes]()
        self.dropped = 0
        self.dropped_since = 0

    def put(self, line: bytes, now: int) -> bool:
        """Add a line and return True, or drop it and return False; `now` is the time of the call."""
        if len(self.lines) >= self.capacity:
            self.dropped_since = self.dropped_since if self.dropped else now
            self.dropped += 1
            return False
        self.lines.append(line)
        return True

    def drain(self) -> QueuedRecords:
        """Remove and return all lines, and the number of dropped ones, which is reset to 0."""
        drained = QueuedRecords(list(self.lines), self.dropped, self.dropped_since)
        self.lines, self.dropped = deque(), 0
        return drained
