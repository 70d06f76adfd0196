"""The file operations that the log needs, and the names of its files.

`log-N` is a segment of the log. `snap-N` is a snapshot of all records stored when the segment `log-N` began.
`snap-N.part` is a snapshot that is still being written.
"""

from __future__ import annotations

import re
from typing import NamedTuple, Protocol

SEGMENT = "log"
SNAPSHOT = "snap"
PARTIAL_SUFFIX = ".part"
FILE_NAME = re.compile(r"(log|snap)-(\d{12})")


class Directory(Protocol):
    """A directory of files. If a method raises OSError, its effect is unknown."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def create(self, name: str) -> None:
        """Create an empty file, or truncate an existing one."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""

    def sync(self, name: str) -> None:
        """Return once all data written to a file is durable."""

    def sync_directory(self) -> None:
        """Return once all creations, renames and removals of files are durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""


class NumberedFile(NamedTuple):
    """The name of a segment or snapshot, parsed."""

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
    """Return the segments and snapshots among the given file names, in the same order."""
    matches = [match for name in names if (match := FILE_NAME.match(name))]
    return [
        NumberedFile(match.string, match[1], int(match[2]), match.end() < len(match.string))
        for match in matches
    ]


def numbers_of(files: list[NumberedFile], kind: str) -> list[int]:
    """Return the numbers of all complete files of a kind, in ascending order."""
    return sorted(file.number for file in files if file.kind == kind and not file.is_partial)
