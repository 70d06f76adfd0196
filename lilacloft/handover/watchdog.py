"""Decides what a supervisor does: when a worker is started again, which one gets signals, when it leaves.

Owns the state of one supervisor; does no I/O and knows no clock but its host's. Times are seconds as floats.
"""

from __future__ import annotations

import math
from typing import Protocol

LIVED = 1.0  # seconds of serving after which the next one is started at once
PAUSE = 0.25  # seconds before it otherwise; doubled with each start in a row that never came to serve
LONGEST = 8.0
MOST = 6  # starts in a row that never came to serve; then nothing that the supervisor could do helps
UNUSABLE = 2  # code of a worker whose configuration cannot be used


class Hands(Protocol):
    """How a supervisor acts."""

    def now(self) -> float:
        """Tell the time in seconds."""

    def start(self) -> int:
        """Start a worker on the listener; returns its process id, or 0 where it cannot be started."""

    def signal(self, pid: int, name: str) -> None:
        """Pass a signal on."""

    def leave(self, code: int) -> None:
        """End, with a code."""

    def log(self, text: str) -> None:
        """Say what was decided."""


class Watch:
    """One supervisor. A worker that hands over is followed to its successor, which tells of itself."""

    def __init__(self, hands: Hands) -> None:
        self.hands = hands
        self.gateway = 0  # the worker that is the gateway
        self.since = 0.0  # when it became so
        self.failed = 0  # starts in a row that never came to serve
        self.serves = False  # does the worker?
        self.due = math.inf  # when a worker is to be started
        self.served = False  # has any worker ever been the gateway?
        self.stopping = self.left = False
        self.stopped: set[int] = set()  # workers that were told to stop

    def begin(self) -> None:
        """Start the first worker."""
        self._start()

    def says(self, pid: int) -> None:
        """A worker tells that it is the gateway now: at its start, by an upgrade, or again after one
        failed."""
        if pid != self.gateway or not self.serves:
            after = f" after {self.gateway}" if self.gateway not in (0, pid) else ""
            self.hands.log(f"worker {pid} is the gateway{after}")
        self.gateway, self.since = pid, self.hands.now()
        self.served = self.serves = True
        self.failed = 0
        self.due = math.inf
        if self.stopping:
            self._stop()

    def ended(self, pid: int, code: int) -> None:
        """A process has ended, with a code, or minus the signal that ended it. Only the gateway's end counts:
        others have let go, or never came to be it."""
        if pid != self.gateway or self.left:
            return
        self.gateway = 0
        now = self.hands.now()
        if self.stopping or code == 0:
            return self._leave(max(code, 0) if code >= 0 else 1)
        if code == UNUSABLE and not self.served:
            return self._leave(code)
        self.failed += not self.serves
        if self.failed > MOST:
            self.hands.log(f"{MOST} starts in a row came to nothing")
            return self._leave(1)
        pause = 0.0 if self.serves and now - self.since >= LIVED else min(LONGEST, PAUSE * 2**self.failed)
        self.hands.log(f"worker {pid} ended with {code}; the next is started in {pause:g} s")
        self.due = now + pause
        return self.tick()

    def asked(self, name: str) -> None:
        """The supervisor got a signal: TERM, HUP or USR1."""
        if name == "TERM":
            self.stopping = True
            if not self.gateway:
                return self._leave(0)
            return self._stop()
        if self.gateway:
            self.hands.signal(self.gateway, name)
        return None

    def tick(self) -> None:
        """Start a worker whose time has come."""
        if self.hands.now() >= self.due and not self.left:
            self._start()

    def wait(self) -> float:
        """Seconds until `tick` has something to do."""
        return max(0.0, self.due - self.hands.now())

    def _start(self) -> None:
        self.due, self.since, self.serves = math.inf, self.hands.now(), False
        self.gateway = self.hands.start()
        if not self.gateway:
            self.failed += 1
            if self.failed > MOST:
                return self._leave(1)
            self.due = self.hands.now() + min(LONGEST, PAUSE * 2**self.failed)
        return None

    def _stop(self) -> None:
        if self.gateway not in self.stopped:
            self.stopped.add(self.gateway)
            self.hands.signal(self.gateway, "TERM")

    def _leave(self, code: int) -> None:
        self.left, self.due = True, math.inf
        self.hands.leave(code)
