"""The directory of a store in the file system, and the lock that excludes a second writer."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

from lilacloft.store.errors import StoreLockedError, StoreNotFoundError

LOCK_FILE = "lock"  # contains the process id of the writer
MAX_PID_BYTES = 32
FILE_MODE = 0o600


class StoreDirectory:
    """The `Directory` of a store in the file system. Files that are written to stay open.

    The lock is tied to a descriptor, which a handover passes to the next process. It is held as long as
    either process has the descriptor open, so that no third process can take the lock in between.
    """

    def __init__(self, path: str, lock: bool = True, inherited_lock_fd: int = -1) -> None:
        """Open a directory. With `lock` it is opened for writing, created if it does not exist, and locked;
        otherwise it is opened read-only and without a lock.

        `inherited_lock_fd` is the descriptor of a lock that another process has passed on (-1: none).
        Raises StoreLockedError if another process holds the lock, StoreNotFoundError if a directory to be
        read does not exist, OSError if it cannot be created.
        """
        self.path = Path(path)
        self.open_files: dict[str, int] = {}
        self.lock_fd = inherited_lock_fd
        if inherited_lock_fd >= 0:
            return
        if lock:
            self._lock(path)
        elif not self.path.is_dir():
            raise StoreNotFoundError(f"{path}: no such directory")

    def _lock(self, path: str) -> None:
        self.path.mkdir(parents=True, exist_ok=True)
        self.lock_fd = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            writer = os.read(self.lock_fd, MAX_PID_BYTES).decode("ascii", "replace").strip()
            os.close(self.lock_fd)
            self.lock_fd = -1
            raise StoreLockedError(f"{path}: process {writer or '?'} has locked the store") from None
        self.write_pid()

    def write_pid(self) -> None:
        """Write the id of this process to the lock file."""
        os.ftruncate(self.lock_fd, 0)
        os.pwrite(self.lock_fd, b"%d\n" % os.getpid(), 0)

    def names(self) -> list[str]:
        """Return the names of the store's files, sorted."""
        return sorted(name for name in os.listdir(self.path) if name.startswith(("log-", "snap-")))

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> None:
        """Create an empty file, or truncate an existing one."""
        self._close_file(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self.open_files[name] = os.open(self.path / name, flags, FILE_MODE)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""
        unwritten = memoryview(data)
        while unwritten:
            unwritten = unwritten[os.write(self.open_files[name], unwritten) :]

    def sync(self, name: str) -> None:
        """Return once all data written to a file is durable."""
        os.fdatasync(self.open_files[name])

    def sync_directory(self) -> None:
        """Return once all creations, renames and removals of files are durable."""
        directory = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._close_file(old)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self.path / name)

    def close(self) -> None:
        """Close all files, then release the lock."""
        for name in list(self.open_files):
            self._close_file(name)
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    def _close_file(self, name: str) -> None:
        fd = self.open_files.pop(name, -1)
        if fd >= 0:
            with contextlib.suppress(OSError):
                os.close(fd)
