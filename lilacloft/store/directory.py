"""What the log needs of a directory, and how the files in it are named.

`log-N` is a segment of the log. `snap-N` is a snapshot of all that was stored when the segment `log-N`
began. `snap-N.part` is a snapshot that is still being written.
"""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

SEGMENT = "log"
SNAPSHOT = "snap"
PARTIAL_SUFFIX = ".part"
FILE_NAME = re.compile(r"(log|snap)-(\d{12})")


class Directory(Protocol):
    """A directory of files. After an OSError of any method nothing is known about its effect."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return all bytes of a file."""

    def create(self, name: str) -> None:
        """Create an empty file, or truncate one."""

    def append(self, name: str, data: bytes) -> None:
        """Write to the end of a file."""

    def sync(self, name: str) -> None:
        """Return once all that was written to a file is durable."""

    def sync_directory(self) -> None:
        """Return once all files created, renamed and removed are durably so."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""


class NumberedFile(NamedTuple):
    """What the name of a segment or a snapshot says."""

    name: str
    kind: str  # SEGMENT or SNAPSHOT
    number: int
    is_partial: bool


def segment_name(number: int) -> str:
    """Return the name of a segment of the log."""
    return f"{SEGMENT}-{number:012}"


def snapshot_name(number: int) -> str:
    """Return the name of a snapshot."""
    return f"{SNAPSHOT}-{number:012}"


def numbered_files(names: list[str]) -> list[NumberedFile]:
    """Return the segments and snapshots among some files, in the order of the names."""
    matches = [match for name in names if (match := FILE_NAME.match(name))]
    return [
        NumberedFile(match.string, match[1], int(match[2]), match.end() < len(match.string))
        for match in matches
    ]


def numbers_of(files: list[NumberedFile], kind: str) -> list[int]:
    """Return the numbers of all complete files of a kind, in ascending order."""
    return sorted(file.number for file in files if file.kind == kind and not file.is_partial)
