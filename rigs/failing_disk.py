"""A disk that fails for a while: the store's writes and syncs raise what Linux documents, some half done.

`put_under` makes the store's own directory (lilacloft/store/files.py) fail in this process for a span from
its start on. Seeded, so that a run can be repeated as far as threads allow.
"""

from __future__ import annotations

import errno
import os
import random
import time
from types import SimpleNamespace
from typing import Any

from lilacloft.store import files

ERRORS = (errno.ENOSPC, errno.EIO)
HALF_WRITTEN = 0.5  # part of the failing writes that leave some of their bytes behind


class FailingDisk:
    """Which calls fail. Any thread may ask."""

    def __init__(self, rate: float, seconds: float, seed: int) -> None:
        """`rate`: part of the calls that fail; `seconds`: for how long from now."""
        self.rate, self.until = rate, time.monotonic() + seconds
        self.chance = random.Random(seed)

    def fails(self) -> bool:
        return time.monotonic() < self.until and self.chance.random() < self.rate

    def write(self, descriptor: int, data: Any) -> int:
        """`os.write`, which may fail, with or without a part of it written."""
        if self.fails():
            if len(data) > 1 and self.chance.random() < HALF_WRITTEN:
                os.write(descriptor, data[: self.chance.randrange(1, len(data))])
            raise self._error()
        return os.write(descriptor, data)

    def fdatasync(self, descriptor: int) -> None:
        """`os.fdatasync`, which may fail."""
        if self.fails():
            raise self._error()
        os.fdatasync(descriptor)

    def fsync(self, descriptor: int) -> None:
        """`os.fsync`, which may fail."""
        if self.fails():
            raise self._error()
        os.fsync(descriptor)

    def _error(self) -> OSError:
        return OSError(self.chance.choice(ERRORS), "the disk fails on purpose")


def put_under(disk: FailingDisk) -> None:
    """Let the store's directory write to a disk that fails, for the rest of this process."""
    changed = {"write": disk.write, "fdatasync": disk.fdatasync, "fsync": disk.fsync}
    files.os = SimpleNamespace(**{**vars(os), **changed})  # type: ignore[attr-defined]
