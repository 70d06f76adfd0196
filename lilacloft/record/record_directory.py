"""The directory on disk that holds a gateway's record files."""

from __future__ import annotations

import re
import time
from io import FileIO
from pathlib import Path

UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_.-]")  # in file names


class DiskDirectory:
    """A `RecordDirectory` on disk. File names sort by gateway, run and number."""

    def __init__(self, path: str, gateway: str, run: str) -> None:
        self.path, self.gateway, self.run = Path(path), UNSAFE_CHARACTER.sub("_", gateway), run
        self.file: FileIO

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def open_file(self, number: int) -> None:
        """Create a file, and the directory if it does not exist. Raises OSError."""
        self.path.mkdir(parents=True, exist_ok=True)
        name = f"{self.gateway}.{self.run}.{number:05}.jsonl"
        self.file = open(self.path / name, "xb", buffering=0)  # noqa: SIM115

    def write(self, data: bytes) -> None:
        """Write all data to the open file. Raises OSError."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[self.file.write(remaining) :]

    def close_file(self) -> None:
        """Close the open file. Raises OSError."""
        self.file.close()

    def list_files(self) -> list[tuple[str, int]]:
        """Return name and bytes of all files of this gateway, oldest first. Raises OSError."""
        paths = sorted(self.path.glob(f"{self.gateway}.*.jsonl"))
        return [(path.name, path.stat().st_size) for path in paths]

    def remove_file(self, name: str) -> None:
        """Remove a file if it exists. Raises OSError."""
        (self.path / name).unlink(missing_ok=True)
