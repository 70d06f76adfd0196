"""The log of a store: which records are stored, which of them are durable, and which files hold them.

This module determines the order of writes, syncs, renames and removals. A record is durable only after a sync
of a file whose directory entry was synced before. After a failed sync the end of that segment is unknown: the
records stay pending, and the next commit begins a new segment.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from lilacloft.routing.units import Ticks
from lilacloft.store import framing
from lilacloft.store.directory import (
    PARTIAL_SUFFIX,
    SEGMENT,
    SNAPSHOT,
    Directory,
    numbered_files,
    numbers_of,
    segment_name,
    snapshot_name,
)
from lilacloft.store.framing import Record
from lilacloft.store.recovery import SNAPSHOT_END, LogReader, RecoveryReport

SEGMENT_BYTES = 8 << 20  # size of a segment after which a snapshot is written
SNAPSHOT_FRAME_BYTES = 1 << 20  # size of keys and values in one frame of a snapshot


class RetentionLimit(NamedTuple):
    """How many records of a kind are retained, and for how long."""

    max_records: int
    max_age: Ticks


class Store(LogReader):
    """A store opened by its single writer."""

    def __init__(
        self,
        directory: Directory,
        retention: Mapping[int, RetentionLimit] | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        """Recover the records in the files. `retention` has the limits by kind; other kinds are unlimited."""
        self.retention, self.segment_bytes = retention or {}, segment_bytes
        self.pending: list[Record] = []  # not yet durable
        self.replaced_records: dict[tuple[int, bytes], Record | None] = {}  # durable ones, by kind and key
        self.segment_size = 0
        self.appendable = False  # whether the newest segment may be appended to
        super().__init__(directory)

    def put(self, kind: int, key: bytes, value: bytes | None, timestamp: Ticks = 0) -> int:
        """Store a value under a key, or remove the key (value None).

        Returns the record's sequence number. It is durable once `commit` returns that number or a higher one.
        """
        record = Record(kind, key, value, timestamp)
        self.replaced_records.setdefault((kind, key), self.records.get(kind, {}).get(key))
        self._apply(record)
        self.pending.append(record)
        return self.next_sequence + len(self.pending) - 1

    def commit(self) -> int:
        """Make all pending records durable with one sync. Returns the last durable sequence number.

        Raises OSError if the disk fails. The records then stay pending, and the next commit begins a new
        segment, since the end of this one is unknown.
        """
        if not self.pending:
            return self.durable_sequence
        batch = list(self.pending)
        if not self.appendable or self.segment_size >= self.segment_bytes:
            self._rotate()
        name = segment_name(self.segment_number)
        data = framing.pack_frame(self.next_sequence, batch)
        self.appendable = False  # until the sync has succeeded
        self.directory.append(name, data)
        self.directory.sync(name)
        self.appendable = True
        self.segment_size += len(data)
        self.tail_offset = self.segment_size
        self.pending.clear()
        self.replaced_records.clear()
        self.next_sequence += len(batch)
        self.durable_sequence = self.next_sequence - 1
        return self.durable_sequence

    def compact(self) -> None:
        """Commit, write a snapshot of all records and remove the older files. Raises OSError."""
        self.commit()
        self._rotate(force_snapshot=True)

    def apply_retention(self, now: Ticks) -> int:
        """Remove records beyond the limits of their kind; return how many. The removals are not yet durable.

        A timestamp in the future counts as now, since the clock may have been set back.
        """
        removed = 0
        for kind, (max_records, max_age) in self.retention.items():
            oldest_first = list(self.records.get(kind, {}).items())
            surplus = len(oldest_first) - max_records
            for index, (key, record) in enumerate(oldest_first):
                if index < surplus or now - min(record.timestamp, now) > max_age:
                    self.put(kind, key, None, now)
                    removed += 1
        return removed

    # --- following another writer ---

    def catch_up(self) -> None:
        """Apply the records that another process has committed since this one last read or wrote.

        Afterwards this process may be the writer, if the other one has paused or ended. The files take
        precedence over the records in memory. Pending records stay pending and follow those in the files.
        """
        pending, self.pending = self.pending, []
        for (kind, key), record in self.replaced_records.items():
            self.records.setdefault(kind, {}).pop(key, None)
            if record is not None:
                self.records[kind][key] = record
        self.replaced_records.clear()
        self.appendable = False
        if not self._read_new_frames():
            self.records, self.next_sequence, self.report = {}, 1, RecoveryReport()
            self.segment_number = self.tail_offset = 0
            self._recover()
        self.durable_sequence = self.next_sequence - 1
        for record in pending:
            self.put(*record)

    def _read_new_frames(self) -> bool:
        """Apply only newly appended frames; return False if a full recovery is needed instead."""
        files = numbered_files(self.directory.names())
        segments, snapshots = numbers_of(files, SEGMENT), numbers_of(files, SNAPSHOT)
        if any(number > self.snapshot_number for number in snapshots):
            return False  # the removed older segments may have contained removals
        if self.segment_number not in segments:
            return self.segment_number == 0 and not segments
        damage_before = len(self.report.damage)
        for number in segments:
            if number >= self.segment_number:
                offset = self.tail_offset if number == self.segment_number else 0
                self._replay_segment(number, number == segments[-1], offset)
        self.segment_number = max(self.segment_number, segments[-1])
        return len(self.report.damage) == damage_before

    # --- files ---

    def _rotate(self, force_snapshot: bool = False) -> None:
        """Begin the next segment, with a snapshot if the last one was full.

        Pending records are not included in the snapshot: they are written to the new segment.
        """
        with_snapshot = force_snapshot or (self.appendable and self.segment_size >= self.segment_bytes)
        number = self._next_segment_number()
        name = segment_name(number)
        self.directory.create(name)
        header = framing.pack_file_header(number)
        self.directory.append(name, header)
        self.directory.sync(name)
        self.directory.sync_directory()  # must precede any record in the segment
        self.segment_number, self.segment_size, self.appendable = number, len(header), True
        self.tail_offset = self.segment_size
        if with_snapshot:
            self._write_snapshot(number)
            self._remove_files_before(number)
            self.snapshot_number = number

    def _next_segment_number(self) -> int:
        numbers = [file.number for file in numbered_files(self.directory.names())]
        return max([self.segment_number, *numbers]) + 1

    def _write_snapshot(self, number: int) -> None:
        """Write a snapshot of all durable records.

        It takes effect once its final name is durable; until then the older files remain valid.
        """
        partial = snapshot_name(number) + PARTIAL_SUFFIX
        self.directory.create(partial)
        self.directory.append(partial, framing.pack_file_header(number))
        batch: list[Record] = []
        size = 0
        for record in self._durable_records():
            batch.append(record)
            size += len(record.key) + len(record.value or b"")
            if size >= SNAPSHOT_FRAME_BYTES:
                self._append_frame(partial, batch)
                batch, size = [], 0
        if batch:
            self._append_frame(partial, batch)
        # marks the snapshot as complete
        self._append_frame(partial, [Record(SNAPSHOT_END, b"end", b"", self.next_sequence)])
        self.directory.sync(partial)
        self.directory.rename(partial, snapshot_name(number))
        self.directory.sync_directory()

    def _append_frame(self, name: str, records: list[Record]) -> None:
        self.directory.append(name, framing.pack_frame(self.next_sequence, records))

    def _remove_files_before(self, number: int) -> None:
        for file in numbered_files(sorted(self.directory.names())):
            if file.number < number:
                self.directory.remove(file.name)
        self.directory.sync_directory()

    def _durable_records(self) -> Iterator[Record]:
        """Yield all records in their state as of the last commit."""
        for kind in sorted(self.records):
            for key, record in self.records[kind].items():
                if (kind, key) not in self.replaced_records:
                    yield record
        yield from (record for record in self.replaced_records.values() if record)
