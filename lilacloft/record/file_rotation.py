"""Rotation of a gateway's record files: when a new file begins, which old ones are removed, and how many
records were lost to disk errors.

All I/O goes through the `RecordDirectory` that is passed in. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

MAX_FILE_BYTES = 8e6
MAX_FILE_AGE = 3600.0  # seconds
MAX_TOTAL_BYTES = 64e6  # of all files of a gateway
RETRY_DELAY = 1.0  # seconds after a failure of the disk


class RecordDirectory(Protocol):
    """A directory of record files with one file open for writing. Each method may raise OSError."""

    def now(self) -> float:
        """Return the time in seconds."""

    def open_file(self, number: int) -> None:
        """Create a file and open it for writing."""

    def write(self, data: bytes) -> None:
        """Write whole lines to the open file; with an error, a part of them may be written."""

    def close_file(self) -> None:
        """Close the open file."""

    def list_files(self) -> list[tuple[str, int]]:
        """Return name and bytes of all files of this gateway, oldest first."""

    def remove_file(self, name: str) -> None:
        """Remove a file."""


class WriteLosses(NamedTuple):
    """How many records could not be written, and the last error."""

    count: int
    error: str


class RotatingFiles:
    """The files of one run."""

    def __init__(self, directory: RecordDirectory, limits: Mapping[str, float] | None = None) -> None:
        """`limits` has the settings `file` and `total` in bytes and `age` in seconds, each optional."""
        limits = limits or {}
        self.directory = directory
        self.max_file_bytes = limits.get("file", MAX_FILE_BYTES)
        self.max_file_age = limits.get("age", MAX_FILE_AGE)
        self.max_total_bytes = max(limits.get("total", MAX_TOTAL_BYTES), 2 * self.max_file_bytes)
        self.file_number = 0  # of the last file that was begun; 0: none
        self.size, self.opened_at = 0, 0.0
        self.is_open = False
        self.retry_at = 0.0
        self.lost = 0  # records that could not be written and are not reported yet
        self.error = ""

    def write(self, lines: list[bytes], head: bytes) -> int:
        """Write whole lines, first rotating to a new file that starts with `head` if one is due. Return how
        many lines were lost: 0, or all of them if the disk fails."""
        if not lines:
            return 0
        now = self.directory.now()
        if now < self.retry_at:
            return self._lose(len(lines))
        size = sum(map(len, lines))
        try:
            if self._rotation_due(now, size):
                self._rotate(now, head)
            self.directory.write(b"".join(lines))
        except OSError as error:
            # The file may now end with a partial line, so nothing more may be appended to it.
            self.is_open = False
            self.retry_at = now + RETRY_DELAY
            self.error = error.strerror or str(error)
            return self._lose(len(lines))
        self.size += size
        return 0

    def take_losses(self) -> WriteLosses:
        """Return the losses since the last call; none until the next retry is due."""
        if self.directory.now() < self.retry_at or not self.lost:
            return WriteLosses(0, "")
        lost, self.lost = self.lost, 0
        return WriteLosses(lost, self.error)

    def close(self) -> None:
        """Close the open file at the end of the run."""
        if self.is_open:
            self.is_open = False
            self.directory.close_file()

    def _lose(self, count: int) -> int:
        self.lost += count
        return count

    def _rotation_due(self, now: float, size: int) -> bool:
        return (
            not self.is_open
            or self.size + size > self.max_file_bytes
            or now - self.opened_at >= self.max_file_age
        )

    def _rotate(self, now: float, head: bytes) -> None:
        """Close the open file, remove old files, and open the next one."""
        self.close()
        self._remove_old_files()
        self.file_number += 1
        self.directory.open_file(self.file_number)
        self.directory.write(head)
        self.is_open, self.size, self.opened_at = True, len(head), now

    def _remove_old_files(self) -> None:
        """Remove the oldest files until a file of the maximum size fits."""
        files = self.directory.list_files()
        total = sum(size for _, size in files)
        for name, size in files:
            if total + self.max_file_bytes <= self.max_total_bytes:
                break
            self.directory.remove_file(name)
            total -= size
