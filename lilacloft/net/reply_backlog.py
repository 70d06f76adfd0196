"""The bytes of answers that this process holds: those that were read from backends, or are being read, and
those that clients have not read yet.

Memory is reserved for a large answer before it is read. Readers of backends wait while there is none, and
what they do not read stays in the kernel. What clients do not read counts as well, as it is held for as long.
"""

from __future__ import annotations

import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass

REPLY_OVERHEAD = 1024  # bytes of a queued answer without its body
PENDING_OVERHEAD = 512  # bytes of a message to a client that waits to be sent, without its contents


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """The maximum of what answers take up, in bytes."""

    total: int
    unsent: int  # of answers that clients do not read
    replies: int  # of answers that are being read, or that the event loop has not handled


class ReplyBacklog:
    """The answers of all connections. Any thread may call its methods."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes`: of answers that are being read or not handled; `apply` sets the other limits."""
        self.max_bytes = max_bytes
        self.max_total = self.max_unsent = sys.maxsize
        # called when a reader has to wait, or clients leave too much unread; again only after `relieved`
        self.on_shortage: Callable[[], None] = lambda: None
        self.size = 0  # bytes read or being read, and not handled by the event loop
        self.unsent = 0  # bytes that wait to be sent to clients
        self.most = 0  # bytes of both, at any time so far
        self.waits = 0  # how often a reader had to wait
        self.is_short = False  # was `on_shortage` called, and `relieved` not yet?
        self.changed = threading.Condition()

    def apply(self, limits: AnswerLimits) -> None:
        """Keep to these limits from now on."""
        with self.changed:
            self.max_total, self.max_unsent, self.max_bytes = limits.total, limits.unsent, limits.replies
            self.changed.notify_all()

    # --- answers from backends ---

    def reserve(self, size: int, timeout: float) -> bool:
        """Reserve `size` bytes for an answer that is to be read; wait for them for up to `timeout` seconds.
        False if there was no room in time."""
        with self.changed:
            if not self._has_room(size):
                self.waits += 1
                self._report_shortage()
                if not self.changed.wait_for(lambda: self._has_room(size), timeout):
                    return False
            self._change(size, 0)
            return True

    def add(self, body: bytes, reserved: int = 0) -> None:
        """Add an answer that is passed to the event loop, in place of what was reserved for it."""
        with self.changed:
            self._change(REPLY_OVERHEAD + len(body) - reserved, 0)

    def remove(self, body: bytes) -> None:
        """Remove an answer that the event loop has handled."""
        self.release(REPLY_OVERHEAD + len(body))

    def release(self, size: int) -> None:
        """Release what was reserved for an answer."""
        with self.changed:
            self._change(-size, 0)

    def wait_for_room(self, timeout: float) -> bool:
        """Wait for up to `timeout` seconds while too many answers wait for the event loop; return whether
        they no longer do."""
        if self.size <= self.max_bytes:
            return True
        with self.changed:
            return self.changed.wait_for(lambda: self.size <= self.max_bytes, timeout)

    # --- answers to clients ---

    def change_unsent(self, size: int) -> None:
        """Change what waits to be sent to clients by `size` bytes."""
        with self.changed:
            self._change(0, size)
            if size > 0 and self.unsent > self.max_unsent:
                self._report_shortage()

    def relieved(self) -> None:
        """Report the next shortage again: clients that do not read were looked for."""
        self.is_short = False

    def summary(self) -> dict[str, int]:
        """Return the figures for the log, in bytes and waits."""
        return {"budget": self.max_total, "most": self.most, "unsent": self.unsent, "waits": self.waits}

    def _has_room(self, size: int) -> bool:
        if not self.size:  # one answer at a time always has room, as its client may read
            return self.unsent <= self.max_unsent
        size += self.size
        return size <= self.max_bytes and size + self.unsent <= self.max_total

    def _report_shortage(self) -> None:
        if not self.is_short:
            self.is_short = True
            self.on_shortage()

    def _change(self, size: int, unsent: int) -> None:
        """Change the figures, and wake readers that wait if memory was released.

        Called with the lock held."""
        self.size += size
        self.unsent += unsent
        self.most = max(self.most, self.size + self.unsent)
        if size + unsent < 0:
            self.changed.notify_all()
