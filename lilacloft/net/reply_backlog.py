"""The bytes of backends' answers that were read and that the event loop has not handled yet.

Readers wait while there are too many, as backends may send more answers than they were asked for.
"""

from __future__ import annotations

import threading

REPLY_OVERHEAD = 1024  # bytes of a queued answer without its body


class ReplyBacklog:
    """The backlog of all connections to backends. Any thread may call its methods."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes`: readers wait while the backlog is larger."""
        self.max_bytes = max_bytes
        self.size = 0  # bytes
        self.changed = threading.Condition()

    def add(self, body: bytes) -> None:
        """Add an answer that is passed to the event loop."""
        with self.changed:
            self.size += REPLY_OVERHEAD + len(body)

    def remove(self, body: bytes) -> None:
        """Remove an answer that the event loop handles."""
        with self.changed:
            was_full = self.size > self.max_bytes
            self.size -= REPLY_OVERHEAD + len(body)
            if was_full and self.size <= self.max_bytes:
                self.changed.notify_all()

    def wait_for_room(self, timeout: float) -> bool:
        """Wait for up to `timeout` seconds while the backlog is too large; return whether it no longer is."""
        if self.size <= self.max_bytes:
            return True
        with self.changed:
            return self.changed.wait_for(lambda: self.size <= self.max_bytes, timeout)
