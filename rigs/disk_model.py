"""A model of a disk under a store, in memory: what is written is lost, torn or out of order until it was
synced.

Writes go to a file in pages; until a sync each page may be down or not, each for itself. Names made, moved
and removed may be down or not until the names are synced, in their order. Writes and syncs may fail on
purpose; after a sync that failed the pages that were not down are forgotten as if they were clean, as
kernels do: a later sync says nothing of them. A crash may come before any call, or in the middle of a
write.
"""

from __future__ import annotations

import errno
import random

PAGE = 64


class CrashError(Exception):
    """The power is gone."""


class Node:
    """A file: what is down, and the pages that may be."""

    def __init__(self) -> None:
        self.cache = bytearray()  # what a reader sees while the power is on
        self.down = bytearray()
        self.dirty: set[int] = set()

    def crash(self, chance: random.Random) -> None:
        """Each page that was not synced is down or not."""
        for page in sorted(self.dirty):
            if chance.random() < 0.5:
                self.write_down(page)
        self.cache, self.dirty = bytearray(self.down), set()

    def write_down(self, page: int) -> None:
        start, end = page * PAGE, min((page + 1) * PAGE, len(self.cache))
        if len(self.down) < end:
            self.down.extend(bytes(end - len(self.down)))  # a hole before it reads as zeros
        self.down[start:end] = self.cache[start:end]


class Disk:
    """A folder on that disk."""

    def __init__(self, seed: int, faults: float = 0.0) -> None:
        self.chance, self.faults = random.Random(seed), faults
        self.now: dict[str, Node] = {}
        self.down: dict[str, Node] = {}
        self.changes: list[tuple[str, str, Node | None]] = []  # names not synced: what, name, file
        self.calls = 0
        self.crash_at: int | None = None
        self.lies = False  # a sync that is told as done and is not: the break made on purpose

    # --- the power ---

    def _call(self) -> None:
        self.calls += 1
        if self.crash_at is not None and self.calls >= self.crash_at:
            raise CrashError()

    def _may_fail(self, what: str) -> None:
        if self.chance.random() < self.faults:
            raise OSError(errno.EIO, f"Input/output error in {what}")

    def power(self) -> None:
        """The power is back: what was down is all there is."""
        for what, name, node in self.changes[: self.chance.randrange(len(self.changes) + 1)]:
            self._name(self.down, what, name, node)
        self.now, self.changes = dict(self.down), []
        for node in self.now.values():
            node.crash(self.chance)
        self.calls, self.crash_at = 0, None

    @staticmethod
    def _name(names: dict[str, Node], what: str, name: str, node: Node | None) -> None:
        if what == "remove":
            names.pop(name, None)
        elif node is not None:
            for old in [old for old, other in names.items() if other is node]:
                del names[old]
            names[name] = node

    # --- Files ---

    def names(self) -> list[str]:
        return sorted(self.now)

    def read(self, name: str) -> bytes:
        return bytes(self.now[name].cache)

    def create(self, name: str) -> None:
        self._call()
        self._may_fail("create")
        node = Node()
        self.now[name] = node
        self.changes.append(("make", name, node))

    def append(self, name: str, data: bytes) -> None:
        node = self.now[name]
        part = len(data)
        try:
            self._call()
        except CrashError:
            part = self.chance.randrange(len(data) + 1)
            self._write(node, data[:part])
            raise
        if self.chance.random() < self.faults:
            self._write(node, data[: self.chance.randrange(len(data) + 1)])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._write(node, data)

    @staticmethod
    def _write(node: Node, data: bytes) -> None:
        start = len(node.cache)
        node.cache += data
        node.dirty.update(range(start // PAGE, -(-len(node.cache) // PAGE)))

    def sync(self, name: str) -> None:
        self._call()
        node = self.now[name]
        if self.lies:
            return
        if self.chance.random() < self.faults:
            for page in sorted(node.dirty):
                if self.chance.random() < 0.5:
                    node.write_down(page)
            node.dirty.clear()  # forgotten: a sync after this one says nothing of them
            raise OSError(errno.EIO, "Input/output error in sync")
        for page in sorted(node.dirty):
            node.write_down(page)
        node.dirty.clear()

    def sync_directory(self) -> None:
        self._call()
        if self.lies:
            return
        self._may_fail("sync of names")
        for what, name, node in self.changes:
            self._name(self.down, what, name, node)
        self.changes.clear()

    def rename(self, old: str, new: str) -> None:
        self._call()
        self._may_fail("rename")
        node = self.now.pop(old)
        self.now[new] = node
        self.changes.append(("make", new, node))

    def remove(self, name: str) -> None:
        self._call()
        self._may_fail("remove")
        self.now.pop(name, None)
        self.changes.append(("remove", name, None))
