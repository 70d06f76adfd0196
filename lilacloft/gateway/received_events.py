"""The events of the change log that were received and wait for the event loop.

The change log's thread adds them, the event loop's thread takes what has come meanwhile. A change log that
has more events than the event loop applies is read more slowly.
"""

from __future__ import annotations

import threading
from collections import deque
from typing import NamedTuple

from lilacloft.net.discovery_events import DiscoveryEvent
from lilacloft.net.discovery_watch import WatchStatus

MAX_TAKEN = 256  # events at once, so that requests do not wait for long
MAX_WAITING = 2_000  # events, from which on the change log's thread waits
ROOM_TIMEOUT = 1.0  # seconds for which it waits at most, as the event loop may wait for it


class ReceivedEvent(NamedTuple):
    """An event of the change log, as it was received."""

    event: DiscoveryEvent
    number: int
    watch_status: WatchStatus  # of the watch before the event


class ReceivedEvents:
    """The waiting events, in their order."""

    def __init__(self) -> None:
        self._waiting: deque[ReceivedEvent] = deque()
        self._has_room = threading.Event()
        self._lock = threading.Lock()

    def add(self, received: ReceivedEvent) -> bool:
        """Add an event; return whether it is the only one that waits."""
        with self._lock:
            self._waiting.append(received)
            return len(self._waiting) == 1

    def take(self) -> list[ReceivedEvent]:
        """Remove and return the oldest events."""
        with self._lock:
            count = min(len(self._waiting), MAX_TAKEN)
            taken = [self._waiting.popleft() for _ in range(count)]
        if len(self._waiting) < MAX_WAITING:
            self._has_room.set()
        return taken

    def __len__(self) -> int:
        """Return the number of events that wait."""
        return len(self._waiting)

    def await_room(self) -> None:
        """Wait until fewer than `MAX_WAITING` events wait, for `ROOM_TIMEOUT` at most."""
        if len(self._waiting) >= MAX_WAITING:
            self._has_room.clear()
            if len(self._waiting) >= MAX_WAITING:
                self._has_room.wait(ROOM_TIMEOUT)
