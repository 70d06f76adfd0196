"""Decides where records go: which file, when the next begins, which old one goes, and what could not be
kept.

Owns the state of one gateway's records; does no I/O of its own, but through a small interface that a test
can fill with any disk. Times are seconds as floats by the steady clock, sizes bytes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Protocol

FILE = 8e6  # bytes of one file
AGE = 3600.0  # seconds of one file
TOTAL = 64e6  # bytes of all files of a gateway
QUEUE = 4096  # records that may wait; one a second is usual
AGAIN = 1.0  # seconds before a disk that failed is tried again


class Shelf(Protocol):
    """A folder, as far as records need it. Every method may raise OSError."""

    def now(self) -> float:
        """Tell the time in seconds."""

    def begin(self, number: int) -> None:
        """Begin a file; what is written goes there."""

    def write(self, data: bytes) -> None:
        """Write whole lines to it, all or, with an error, some."""

    def end(self) -> None:
        """End the file that was begun."""

    def files(self) -> list[tuple[str, int]]:
        """All files of this gateway, oldest first, with their sizes; that of this run in hand is the last."""

    def remove(self, name: str) -> None:
        """Remove one."""


class Queue:
    """Records between the owner's thread, which must not wait, and the writing one. Bounded: what does not
    fit is counted, never waited for. (Both ends are called under the caller's lock.)"""

    def __init__(self, most: int = QUEUE) -> None:
        self.most, self.held, self.lost, self.since = most, deque[bytes](), 0, 0

    def put(self, line: bytes, wall: int) -> bool:
        """Add a line; False where it was dropped, and that was counted from a time on."""
        if len(self.held) >= self.most:
            self.since = self.since if self.lost else wall
            self.lost += 1
            return False
        self.held.append(line)
        return True

    def take(self) -> tuple[list[bytes], int, int]:
        """All lines, how many were dropped after them, and since when."""
        lines, self.held = list(self.held), deque()
        lost, since, self.lost = self.lost, self.since, 0
        return lines, lost, since


class Book:
    """One run's files."""

    def __init__(self, shelf: Shelf, limits: Mapping[str, float] | None = None) -> None:
        limits = limits or {}
        self.shelf = shelf
        self.file_most, self.age_most = limits.get("file", FILE), limits.get("age", AGE)
        self.total_most = max(limits.get("total", TOTAL), 2 * self.file_most)
        self.number = 0  # of the file in hand; 0: none yet
        self.size, self.began = 0, 0.0
        self.open = False
        self.retry = 0.0  # a disk that failed is tried again from then on
        self.lost = 0  # records since it failed
        self.why = ""

    def write(self, lines: list[bytes], head: bytes) -> int:
        """Write lines, each with its end; a new file begins with the head. Returns how many were lost by a
        disk that fails: all from the first that did not get down."""
        if not lines:
            return 0
        now = self.shelf.now()
        if now < self.retry:
            return self._lose(len(lines))
        size = sum(map(len, lines))
        try:
            if not self.open or self.size + size > self.file_most or now - self.began >= self.age_most:
                self._turn(now, head)
            self.shelf.write(b"".join(lines))
        except OSError as wrong:
            # what got down of it may end in the middle of a line: nothing may follow there
            self.open, self.retry, self.why = False, now + AGAIN, wrong.strerror or str(wrong)
            return self._lose(len(lines))
        self.size += size
        return 0

    def owed(self) -> tuple[int, str]:
        """How many records a disk that works again has cost; asked once."""
        if self.shelf.now() < self.retry or not self.lost:
            return 0, ""
        lost, self.lost = self.lost, 0
        return lost, self.why

    def close(self) -> None:
        """The run is over."""
        if self.open:
            self.open = False
            self.shelf.end()

    def _lose(self, count: int) -> int:
        self.lost += count
        return count

    def _turn(self, now: float, head: bytes) -> None:
        """End the file in hand and begin the next; make room for it first."""
        if self.open:
            self.open = False
            self.shelf.end()
        files = self.shelf.files()
        total = sum(size for _, size in files)
        for name, size in files:
            if total + self.file_most <= self.total_most:
                break
            self.shelf.remove(name)
            total -= size
        self.number += 1
        self.shelf.begin(self.number)
        self.shelf.write(head)
        self.open, self.size, self.began = True, len(head), now
