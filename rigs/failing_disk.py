"""A disk that fails for a while: writes and syncs of the store raise errors that Linux documents, some writes
partially done.

`inject_failures` makes the store directory (lilacloft/store/files.py) of this process fail for a span from
the call on. The failures are seeded, so that a run can be repeated as far as threads allow.
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
PARTIAL_WRITE_SHARE = 0.5  # fraction of the failing writes that write some of their bytes


class FailingDisk:
    """Decides which calls fail. Any thread may use it."""

    def __init__(self, rate: float, seconds: float, seed: int) -> None:
        """`rate`: fraction of the calls that fail; `seconds`: duration of the failures from now."""
        self.rate, self.until = rate, time.monotonic() + seconds
        self.chance = random.Random(seed)

    def fails(self) -> bool:
        return time.monotonic() < self.until and self.chance.random() < self.rate

    def write(self, descriptor: int, data: Any) -> int:
        """`os.write`, which may fail before or after a partial write."""
        if self.fails():
            if len(data) > 1 and self.chance.random() < PARTIAL_WRITE_SHARE:
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
        return OSError(self.chance.choice(ERRORS), "injected disk failure")


def inject_failures(disk: FailingDisk) -> None:
    """Let the store use a failing disk for the rest of this process."""
    changed = {"write": disk.write, "fdatasync": disk.fdatasync, "fsync": disk.fsync}
    files.os = SimpleNamespace(**{**vars(os), **changed})  # type: ignore[attr-defined]
