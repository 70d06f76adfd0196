"""Owns the state of a store: what is kept, what is down, and which files hold it.

Decides the order of writes, syncs, renames and removals, and what a recovery takes for true. No I/O but
through a small interface, so that a model of a disk can stand in for one.

Files: `log-N` holds frames in order; `snap-N` holds all that was kept when `log-N` began. A recovery takes
the newest whole snapshot and the logs from its number on. What is told as down was synced, in a file whose
name was synced before.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from lilacloft.store import framing
from lilacloft.store.framing import Record, StoreError

SEGMENT = 8 << 20  # bytes of a log, after which what is kept is written anew
PIECE = 1 << 20  # bytes of a snapshot's frame
NAME = re.compile(r"(log|snap)-(\d{12})")


class Files(Protocol):
    """A folder. Every method may raise OSError; then nothing is known of what it did."""

    def names(self) -> list[str]:
        """All names in it."""

    def read(self, name: str) -> bytes:
        """All bytes of a file."""

    def create(self, name: str) -> None:
        """Make an empty file, or empty one."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file."""

    def sync(self, name: str) -> None:
        """Return once all that was written to a file is down."""

    def sync_names(self) -> None:
        """Return once all names made, moved and removed are down."""

    def rename(self, old: str, new: str) -> None:
        """Move a name over another."""

    def remove(self, name: str) -> None:
        """Remove a name."""


@dataclass
class Found:
    """What a recovery found, in words for people."""

    frames: int = 0
    records: int = 0
    torn: list[str] = field(default_factory=list)  # at the end of the last log: what a crash leaves
    damage: list[str] = field(default_factory=list)  # anywhere else: lost, but what follows was kept
    ignored: list[str] = field(default_factory=list)  # left over from what a crash interrupted


class Store:
    """One store, open for one writer."""

    def __init__(
        self, files: Files, limits: Mapping[int, tuple[int, int]] | None = None, segment: int = SEGMENT
    ) -> None:
        """Recover what is there. `limits`: for kinds that are bounded, how many and how old (in stamps)."""
        self.files, self.limits, self.segment = files, limits or {}, segment
        self.kept: dict[int, dict[bytes, Record]] = {}
        self.next = 1  # sequence number of the next record
        self.down = 0  # of the last one that is durable
        self.waiting: list[Record] = []
        self.before: dict[tuple[int, bytes], Record | None] = {}  # what is down where something waits
        self.number = 0  # of the log in hand
        self.size = 0
        self.usable = False  # is there a log that may be added to?
        self.found = Found()
        self.begun = 0  # number of the snapshot that was taken
        self.place = 0  # where the last whole frame of the last log ended
        self._recover()

    # --- asking ---

    def get(self, kind: int, key: bytes) -> bytes | None:
        """What is kept, down or not."""
        record = self.kept.get(kind, {}).get(key)
        return record.value if record else None

    def all(self, kind: int) -> Iterator[Record]:
        """All that is kept of a kind, oldest first."""
        yield from self.kept.get(kind, {}).values()

    # --- keeping ---

    def put(self, kind: int, key: bytes, value: bytes | None, stamp: int = 0) -> int:
        """Keep a value under a key, or with none keep it no more. Returns its sequence number: it is down
        once `down` has reached that, by a `commit`."""
        record = Record(kind, key, value, stamp)
        self.before.setdefault((kind, key), self.kept.get(kind, {}).get(key))
        self._apply(record)
        self.waiting.append(record)
        return self.next + len(self.waiting) - 1

    def commit(self) -> int:
        """Make all that waits durable, with one sync. Returns `down`. Raises OSError where the disk fails:
        what waits goes on waiting, and the next commit begins a new log, as nothing is known of the end
        of this one."""
        if not self.waiting:
            return self.down
        batch = list(self.waiting)
        if not self.usable or self.size >= self.segment:
            self._turn()
        name = log(self.number)
        data = framing.frame(self.next, batch)
        self.usable = False  # until the sync has said otherwise
        self.files.append(name, data)
        self.files.sync(name)
        self.usable = True
        self.size += len(data)
        self.place = self.size
        self.waiting.clear()
        self.before.clear()
        self.next += len(batch)
        self.down = self.next - 1
        return self.down

    def compact(self) -> None:
        """Write what is kept anew, and drop the files that held it. What waits is committed first."""
        self.commit()
        self._turn(force=True)

    def trim(self, now: int) -> int:
        """Let go of what is more, or older, than its kind's limits; stamps that lie ahead of now count as of
        now, as clocks are put back. Returns how many went."""
        gone = 0
        for kind, (most, oldest) in self.limits.items():
            mine = list(self.kept.get(kind, {}).items())
            for place, (key, record) in enumerate(mine):
                if place < len(mine) - most or now - min(record.stamp, now) > oldest:
                    self.put(kind, key, None, now)
                    gone += 1
        return gone

    # --- two processes, one after the other ---

    def follow(self) -> None:
        """Take what another process has committed since this one last looked, or wrote. From here on this one
        may be the writer, where the other is at rest or has ended. What lies in the files counts, whatever
        was known of it here; what waits here goes on waiting and comes after it."""
        waiting, self.waiting = self.waiting, []
        for (kind, key), record in self.before.items():  # as of the last commit
            self.kept.setdefault(kind, {}).pop(key, None)
            if record is not None:
                self.kept[kind][key] = record
        self.before.clear()
        self.usable = False
        if not self._tail():
            self.kept, self.next, self.found = {}, 1, Found()
            self.number = self.place = 0
            self._recover()
        self.down = self.next - 1
        for record in waiting:
            self.put(record.kind, record.key, record.value, record.stamp)

    def _tail(self) -> bool:
        """Take only what was added behind what is known; False where that cannot be told for sure."""
        names = [match for name in self.files.names() if (match := NAME.fullmatch(name))]
        logs = sorted(int(match[2]) for match in names if match[1] == "log")
        if any(int(match[2]) > self.begun for match in names if match[1] == "snap"):
            return False  # what is known may be gone: removals went with the older files
        if self.number not in logs:
            return self.number == 0 and not logs
        damage = len(self.found.damage)
        for number in logs:
            if number >= self.number:
                self._replay(number, number == logs[-1], self.place if number == self.number else 0)
        self.number = max(self.number, logs[-1])
        return len(self.found.damage) == damage

    # --- files ---

    def _turn(self, force: bool = False) -> None:
        """Begin the next log, and write what is kept as its snapshot if the last log is full. What waits is
        not in the snapshot: it goes to the log."""
        full = force or (self.usable and self.size >= self.segment)
        number = self._unused()
        name = log(number)
        self.files.create(name)
        data = framing.head(number)
        self.files.append(name, data)
        self.files.sync(name)
        self.files.sync_names()  # before anything in it is told as down
        self.number, self.size, self.usable = number, len(data), True
        self.place = self.size
        if full:
            self._snapshot(number)
            self.begun = number

    def _unused(self) -> int:
        numbers = [int(found[2]) for name in self.files.names() if (found := NAME.match(name))]
        return max([self.number, *numbers]) + 1

    def _snapshot(self, number: int) -> None:
        """All that is down, as of the beginning of a log. It counts once its name is down; until then the
        older files do, which are removed only after."""
        part = f"{snap(number)}.part"
        self.files.create(part)
        self.files.append(part, framing.head(number))
        piece: list[Record] = []
        size = 0
        for record in self._durable():
            piece.append(record)
            size += len(record.key) + len(record.value or b"")
            if size >= PIECE:
                self.files.append(part, framing.frame(self.next, piece))
                piece, size = [], 0
        if piece:
            self.files.append(part, framing.frame(self.next, piece))
        # the last frame says that nothing is missing before it
        self.files.append(part, framing.frame(self.next, [Record(END, b"end", b"", self.next)]))
        self.files.sync(part)
        self.files.rename(part, snap(number))
        self.files.sync_names()
        for name in sorted(self.files.names()):
            found = NAME.match(name)
            if found and int(found[2]) < number:
                self.files.remove(name)
        self.files.sync_names()

    def _durable(self) -> Iterator[Record]:
        """What is kept, as of the last commit: where something waits, what is down of it."""
        for kind in sorted(self.kept):
            for key, record in self.kept[kind].items():
                if (kind, key) not in self.before:
                    yield record
        yield from (record for record in self.before.values() if record)

    # --- recovery ---

    def _recover(self) -> None:
        names = self.files.names()
        found = [match for name in names if (match := NAME.fullmatch(name))]
        logs = sorted(int(match[2]) for match in found if match[1] == "log")
        snaps = sorted((int(match[2]) for match in found if match[1] == "snap"), reverse=True)
        parts = sorted(name for name in names if name.endswith(".part"))
        self.found.ignored += [f"{name}: not finished" for name in parts]
        begin = 0
        for number in snaps:
            if self._load(number):
                begin = number
                break
        if snaps and not begin and min(logs, default=snaps[-1]) >= snaps[-1]:
            self.found.damage.append("no snapshot is whole: what was kept before the oldest log is lost")
        last = max([number for number in logs if number >= begin], default=0)
        for number in logs:
            if number >= begin:
                self._replay(number, number == last)
            else:
                self.found.ignored.append(f"{log(number)}: older than {snap(begin)}")
        self.number = max([*logs, *snaps, 0])
        self.begun = begin
        self.down = self.next - 1

    def _load(self, number: int) -> bool:
        """Take a snapshot, if it is whole."""
        try:
            data = self.files.read(snap(number))
            records = list(framing.frames(data, framing.read_head(data)[0]))
        except (StoreError, OSError) as wrong:
            self.found.damage.append(f"{snap(number)}: {wrong}")
            return False
        broken = [piece for piece in records if isinstance(piece, tuple)]
        frames = [piece for piece in records if isinstance(piece, framing.Frame)]
        if broken or not frames or frames[-1].records[-1].kind != END:
            self.found.damage.append(f"{snap(number)}: not whole")
            return False
        for one in frames:
            for record in one.records:
                if record.kind != END:
                    self._apply(record)
            self.found.frames += 1
            self.found.records += len(one.records)
        self.next = frames[-1].first
        return True

    def _replay(self, number: int, last: bool, place: int = 0) -> None:
        """Take a log's frames, from a place where one ended, but for what a frame before had already: a
        commit that failed may be there, and again in the next log."""
        try:
            data = self.files.read(log(number))
        except OSError as wrong:
            self.found.damage.append(f"{log(number)}: {wrong.strerror or wrong}")
            return
        try:
            version = framing.read_head(data)[0]
        except StoreError as wrong:
            version = framing.VERSION
            if last and len(data) <= framing.HEAD.size:
                self.found.torn.append(f"{log(number)}: {wrong}: it was just begun")
                return
            if "version" in str(wrong):
                raise StoreError(f"{log(number)}: {wrong}") from wrong
            if len(data) > framing.HEAD.size:
                self.found.damage.append(f"{log(number)}: {wrong}")
            else:
                self.found.ignored.append(f"{log(number)}: {wrong}: it was never used")
        pieces = list(framing.frames(data, version, place))
        self.place = max([place, *(piece.end for piece in pieces if isinstance(piece, framing.Frame))])
        for nth, piece in enumerate(pieces):
            if isinstance(piece, tuple):
                start, end = piece
                where = f"{log(number)}: bytes {start} to {end}"
                if nth + 1 < len(pieces):
                    self.found.damage.append(f"{where} cannot be read; what follows them was kept")
                elif last:
                    self.found.torn.append(f"{where} are no whole frame: a commit that was cut off")
                else:
                    self.found.ignored.append(f"{where} are no whole frame: a commit that failed")
                continue
            if piece.first > self.next and not self.found.damage:
                left = f"records {self.next} to {piece.first - 1} are missing"
                self.found.damage.append(f"{log(number)}: {left}")
            skip = max(0, self.next - piece.first)
            for record in piece.records[skip:]:
                self._apply(record)
            self.found.frames += 1
            self.found.records += len(piece.records)
            self.next = max(self.next, piece.first + len(piece.records))

    def _apply(self, record: Record) -> None:
        mine = self.kept.setdefault(record.kind, {})
        mine.pop(record.key, None)
        if record.value is not None:
            mine[record.key] = record


END = 0  # kind of a snapshot's last record; those of callers are from 1 up


def log(number: int) -> str:
    return f"log-{number:012}"


def snap(number: int) -> str:
    return f"snap-{number:012}"
