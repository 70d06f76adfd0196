"""Limits how many readers whose clients send without a break run at the same time.

Each of them has always more to read, and takes the interpreter's lock from the event loop's thread whenever
it may. A reader that has waited for the event loop holds a slot until it has read all of its input or waits
again; readers that keep up need none.
"""

from __future__ import annotations

import threading

MAX_BUSY_READERS = 2


class ReaderSlots:
    """The slots of all clients' readers."""

    def __init__(self) -> None:
        self.slots = threading.Semaphore(MAX_BUSY_READERS)

    def acquire(self, timeout: float) -> bool:
        """Wait for a slot for up to `timeout` seconds; return whether there was one."""
        return self.slots.acquire(timeout=timeout)

    def release(self) -> None:
        """Return a slot."""
        self.slots.release()
