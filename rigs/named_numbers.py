"""The event numbers that connections to a change log name, in the order of the connections.

A stand-in serves each connection in a thread of its own. On a busy machine the thread of an earlier one may
tell its number after that of a later one; a test would see an order in which the gateway did not ask.
"""

from __future__ import annotations

import queue
import threading
import time
from dataclasses import dataclass, field

MAX_HOLD_BACK = 1.0  # seconds for which a connection that names no number holds back those of later ones
POLL_INTERVAL = 0.002  # seconds


@dataclass(slots=True)
class Turn:
    """A connection that has named no number yet."""

    thread: threading.Thread  # that serves it
    numbers: list[int] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)

    def is_over(self) -> bool:
        """Has it named a number, ended, or been silent for long?"""
        has_ended = self.thread.ident is not None and not self.thread.is_alive()
        return bool(self.numbers) or has_ended or time.monotonic() - self.began > MAX_HOLD_BACK


class NamedNumbers:
    """A queue of numbers. `put` never waits; `get` waits for the numbers of earlier connections."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.turns: list[Turn] = []  # in the order of the connections
        self.ready: queue.SimpleQueue[int] = queue.SimpleQueue()

    def expect(self, thread: threading.Thread) -> None:
        """A connection was accepted, which a thread will serve."""
        with self.lock:
            self.turns.append(Turn(thread))

    def put(self, number: int) -> None:
        """Take the number that the current thread's connection has named."""
        thread = threading.current_thread()
        with self.lock:
            for turn in self.turns:
                if turn.thread is thread:
                    turn.numbers.append(number)
                    return
        self.ready.put(number)

    def get(self, timeout: float) -> int:
        """Return the next number. Raises queue.Empty where none comes in `timeout` seconds."""
        until = time.monotonic() + timeout
        while True:
            self._end_turns()
            try:
                return self.ready.get(timeout=POLL_INTERVAL)
            except queue.Empty:
                if time.monotonic() >= until:
                    raise

    def _end_turns(self) -> None:
        with self.lock:
            while self.turns and self.turns[0].is_over():
                for number in self.turns.pop(0).numbers:
                    self.ready.put(number)
