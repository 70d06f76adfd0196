"""Queues the event numbers that connections to a change log request, in the order of the connections.

A stub change log serves each connection in a thread of its own. On a busy machine the thread of an earlier
connection may report its number after that of a later one; a test would then see a wrong order.
"""

from __future__ import annotations

import queue
import threading
import time
from dataclasses import dataclass, field

MAX_HOLD_BACK = 1.0  # seconds for which a connection without a number delays those of later connections
POLL_INTERVAL = 0.002  # seconds


@dataclass(slots=True)
class PendingConnection:
    """A connection that has not requested a number yet."""

    thread: threading.Thread  # serves the connection
    numbers: list[int] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)

    def is_over(self) -> bool:
        """Return whether it has requested a number, ended, or waited for MAX_HOLD_BACK."""
        has_ended = self.thread.ident is not None and not self.thread.is_alive()
        return bool(self.numbers) or has_ended or time.monotonic() - self.began > MAX_HOLD_BACK


class NamedNumbers:
    """A queue of numbers. `put` never waits; `get` waits for the numbers of earlier connections."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.pending: list[PendingConnection] = []  # in the order of the connections
        self.ready: queue.SimpleQueue[int] = queue.SimpleQueue()

    def expect(self, thread: threading.Thread) -> None:
        """Note that a connection was accepted, which `thread` will serve."""
        with self.lock:
            self.pending.append(PendingConnection(thread))

    def put(self, number: int) -> None:
        """Record the number that the current thread's connection has requested."""
        thread = threading.current_thread()
        with self.lock:
            for connection in self.pending:
                if connection.thread is thread:
                    connection.numbers.append(number)
                    return
        self.ready.put(number)

    def get(self, timeout: float) -> int:
        """Return the next number. Raises queue.Empty if none arrives in `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while True:
            self._release_numbers()
            try:
                return self.ready.get(timeout=POLL_INTERVAL)
            except queue.Empty:
                if time.monotonic() >= deadline:
                    raise

    def _release_numbers(self) -> None:
        with self.lock:
            while self.pending and self.pending[0].is_over():
                for number in self.pending.pop(0).numbers:
                    self.ready.put(number)
