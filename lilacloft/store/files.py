"""A store's folder on a real disk, and the lock that keeps a second writer out."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from lilacloft.store.framing import StoreError


class Folder:
    """The Files of a real folder. Files that are added to stay open."""

    def __init__(self, path: str, lock: bool = True, passed: int = -1) -> None:
        """With the lock, without (to read only), or with one that another process has passed: it is held as
        long as either process has its descriptor, so that no third comes between."""
        self.path = Path(path)
        self.open: dict[str, int] = {}
        self.lock = passed
        if passed >= 0:
            return
        if lock:
            self.path.mkdir(parents=True, exist_ok=True)
            self.lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                held = os.read(self.lock, 32).decode("ascii", "replace").strip()
                os.close(self.lock)
                self.lock = -1
                raise StoreError(f"{path}: process {held or '?'} writes there") from None
            self.sign()
        elif not self.path.is_dir():
            raise StoreError(f"{path}: there is no such folder")

    def sign(self) -> None:
        """This process is the one that writes there."""
        os.ftruncate(self.lock, 0)
        os.pwrite(self.lock, b"%d\n" % os.getpid(), 0)

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name.startswith(("log-", "snap-")))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def create(self, name: str) -> None:
        self._let_go(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self.open[name] = os.open(self.path / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self.open[name], rest) :]

    def sync(self, name: str) -> None:
        os.fdatasync(self.open[name])

    def sync_names(self) -> None:
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def rename(self, old: str, new: str) -> None:
        self._let_go(old)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        self._let_go(name)
        os.unlink(self.path / name)

    def close(self) -> None:
        """Let everything go, the lock last."""
        for name in list(self.open):
            self._let_go(name)
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    def _let_go(self, name: str) -> None:
        fd = self.open.pop(name, -1)
        if fd >= 0:
            with contextlib.suppress(OSError):
                os.close(fd)
