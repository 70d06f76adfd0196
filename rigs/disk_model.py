"""A model of a disk in memory: what was written and not synced may be lost, torn or reordered by a crash.

Writes go to a file in pages. Until a sync each page may be durable or not, independently. Until the directory
is synced, a prefix of the created, renamed and removed names may be durable. Writes and syncs
can be made to fail. After a failed sync the pages that are not durable count as clean, as in kernels: a later
sync does not write them. A crash can come before any call, or in the middle of a write.
"""

from __future__ import annotations

import errno
import random

PAGE = 64  # bytes


class CrashError(Exception):
    """The modelled machine lost its power."""


class Node:
    """A file: its durable bytes, and the pages that may not be durable."""

    def __init__(self) -> None:
        self.cache = bytearray()  # content that reads return until a crash
        self.durable = bytearray()
        self.dirty_pages: set[int] = set()

    def crash(self, random_source: random.Random) -> None:
        """Write each dirty page or drop it."""
        for page in sorted(self.dirty_pages):
            if random_source.random() < 0.5:
                self.write_page(page)
        self.cache, self.dirty_pages = bytearray(self.durable), set()

    def write_page(self, page: int) -> None:
        """Make a page durable."""
        start, end = page * PAGE, min((page + 1) * PAGE, len(self.cache))
        if len(self.durable) < end:
            self.durable.extend(bytes(end - len(self.durable)))  # a hole before the page reads as zeros
        self.durable[start:end] = self.cache[start:end]


class Disk:
    """A directory on the modelled disk; a `Directory` of the store."""

    def __init__(self, seed: int, faults: float = 0.0) -> None:
        """`faults`: probability that a call fails with an OSError."""
        self.random, self.faults = random.Random(seed), faults
        self.files: dict[str, Node] = {}
        self.durable_files: dict[str, Node] = {}
        self.unsynced_names: list[tuple[str, str, Node | None]] = []  # operation, name, file
        self.calls = 0
        self.crash_at: int | None = None  # number of the call before which the power fails
        self.skips_syncs = False  # injected fault: syncs do nothing

    # --- crashes and faults ---

    def _call(self) -> None:
        self.calls += 1
        if self.crash_at is not None and self.calls >= self.crash_at:
            raise CrashError()

    def _may_fail(self, operation: str) -> None:
        if self.random.random() < self.faults:
            raise OSError(errno.EIO, f"Input/output error in {operation}")

    def restart(self) -> None:
        """Restart after a crash, with the durable content only."""
        for operation, name, node in self.unsynced_names[
            : self.random.randrange(len(self.unsynced_names) + 1)
        ]:
            self._change_name(self.durable_files, operation, name, node)
        self.files, self.unsynced_names = dict(self.durable_files), []
        for node in self.files.values():
            node.crash(self.random)
        self.calls, self.crash_at = 0, None

    @staticmethod
    def _change_name(files: dict[str, Node], operation: str, name: str, node: Node | None) -> None:
        if operation == "remove":
            files.pop(name, None)
        elif node is not None:
            for old in [old for old, other in files.items() if other is node]:
                del files[old]
            files[name] = node

    # --- Directory ---

    def names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return all bytes of a file."""
        return bytes(self.files[name].cache)

    def create(self, name: str) -> None:
        """Create an empty file, or truncate one."""
        self._call()
        self._may_fail("create")
        node = Node()
        self.files[name] = node
        self.unsynced_names.append(("make", name, node))

    def append(self, name: str, data: bytes) -> None:
        """Write to the end of a file; a part of the data if the power or the write fails."""
        node = self.files[name]
        try:
            self._call()
        except CrashError:
            self._write(node, data[: self.random.randrange(len(data) + 1)])
            raise
        if self.random.random() < self.faults:
            self._write(node, data[: self.random.randrange(len(data) + 1)])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._write(node, data)

    @staticmethod
    def _write(node: Node, data: bytes) -> None:
        start = len(node.cache)
        node.cache += data
        node.dirty_pages.update(range(start // PAGE, -(-len(node.cache) // PAGE)))

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        self._call()
        node = self.files[name]
        if self.skips_syncs:
            return
        if self.random.random() < self.faults:
            for page in sorted(node.dirty_pages):
                if self.random.random() < 0.5:
                    node.write_page(page)
            node.dirty_pages.clear()  # a later sync does not write them
            raise OSError(errno.EIO, "Input/output error in sync")
        for page in sorted(node.dirty_pages):
            node.write_page(page)
        node.dirty_pages.clear()

    def sync_directory(self) -> None:
        """Make all names durable."""
        self._call()
        if self.skips_syncs:
            return
        self._may_fail("sync of names")
        for operation, name, node in self.unsynced_names:
            self._change_name(self.durable_files, operation, name, node)
        self.unsynced_names.clear()

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._call()
        self._may_fail("rename")
        node = self.files.pop(old)
        self.files[new] = node
        self.unsynced_names.append(("make", new, node))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._call()
        self._may_fail("remove")
        self.files.pop(name, None)
        self.unsynced_names.append(("remove", name, None))
