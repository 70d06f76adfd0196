"""Reads a store's files into memory: the newest complete snapshot, then the segments of the log after it.

This module writes nothing. All I/O goes through a `Directory`, so that tests can use a simulated disk.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

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
from lilacloft.store.errors import FormatError, UnsupportedVersionError
from lilacloft.store.framing import Frame, Record, UnreadableRange

SNAPSHOT_END = 0  # kind of the last record of a snapshot; the kinds of stored records begin at 1


@dataclass
class RecoveryReport:
    """What was read and what could not be read, as messages for operators."""

    frames: int = 0
    records: int = 0
    torn: list[str] = field(default_factory=list)  # interrupted writes at the end of the last segment
    damage: list[str] = field(default_factory=list)  # records lost elsewhere; the frames after them are read
    ignored: list[str] = field(default_factory=list)  # left over from interrupted or failed writes


class LogReader:
    """The records of a store in memory, as read from its files."""

    def __init__(self, directory: Directory) -> None:
        """Recover the records in the files. Raises OSError, or UnsupportedVersionError for a newer format."""
        self.directory = directory
        self.records: dict[int, dict[bytes, Record]] = {}  # by kind and key; oldest first within a kind
        self.next_sequence = 1  # sequence number of the next record
        self.durable_sequence = 0  # sequence number of the last durable record
        self.segment_number = 0  # number of the newest segment
        self.snapshot_number = 0  # number of the snapshot that was read; 0: none
        self.tail_offset = 0  # end of the last valid frame in the newest segment
        self.report = RecoveryReport()
        self._recover()

    def get(self, kind: int, key: bytes) -> bytes | None:
        """Return the value under a key, whether durable or not; None if there is none."""
        record = self.records.get(kind, {}).get(key)
        return record.value if record else None

    def records_of(self, kind: int) -> Iterator[Record]:
        """Yield all records of a kind, oldest first."""
        yield from self.records.get(kind, {}).values()

    def all_records(self) -> list[Record]:
        """Return all records, by kind."""
        return [record for of_kind in self.records.values() for record in of_kind.values()]

    def record_count(self) -> int:
        """Return the number of records."""
        return sum(map(len, self.records.values()))

    def _apply(self, record: Record) -> None:
        of_kind = self.records.setdefault(record.kind, {})
        of_kind.pop(record.key, None)
        if record.value is not None:
            of_kind[record.key] = record

    # --- recovery ---

    def _recover(self) -> None:
        names = self.directory.names()
        files = numbered_files(names)
        segments, snapshots = numbers_of(files, SEGMENT), numbers_of(files, SNAPSHOT)
        partial = sorted(name for name in names if name.endswith(PARTIAL_SUFFIX))
        self.report.ignored += [f"{name}: snapshot was never finished" for name in partial]
        snapshot = next((number for number in reversed(snapshots) if self._load_snapshot(number)), 0)
        if snapshots and not snapshot and min(segments, default=snapshots[0]) >= snapshots[0]:
            self.report.damage.append(
                "no complete snapshot: records from before the oldest log segment are lost"
            )
        last = max([number for number in segments if number >= snapshot], default=0)
        for number in segments:
            if number >= snapshot:
                self._replay_segment(number, is_last=number == last)
            else:
                self.report.ignored.append(f"{segment_name(number)}: older than {snapshot_name(snapshot)}")
        self.segment_number = max([*segments, *snapshots, 0])
        self.snapshot_number = snapshot
        self.durable_sequence = self.next_sequence - 1

    def _load_snapshot(self, number: int) -> bool:
        """Load a snapshot; return False, with nothing loaded, if it is incomplete."""
        name = snapshot_name(number)
        try:
            data = self.directory.read(name)
            pieces = list(framing.iter_frames(data, framing.parse_file_header(data).version))
        except (FormatError, OSError) as error:
            self.report.damage.append(f"{name}: {error}")
            return False
        frames = [piece for piece in pieces if isinstance(piece, Frame)]
        if len(frames) < len(pieces) or not frames or frames[-1].records[-1].kind != SNAPSHOT_END:
            self.report.damage.append(f"{name}: incomplete snapshot")
            return False
        for frame in frames:
            for record in frame.records:
                if record.kind != SNAPSHOT_END:
                    self._apply(record)
            self._count(frame)
        self.next_sequence = frames[-1].first_sequence
        return True

    def _replay_segment(self, number: int, is_last: bool, offset: int = 0) -> None:
        """Apply the frames of a segment from an offset on, which is the end of a frame (0: all frames).

        Records that were already applied are skipped: a failed commit may be in one segment and, repeated, in
        the next.
        """
        name = segment_name(number)
        try:
            data = self.directory.read(name)
        except OSError as error:
            self.report.damage.append(f"{name}: {error.strerror or error}")
            return
        version = self._segment_version(name, data, is_last)
        if version is None:
            return
        pieces = list(framing.iter_frames(data, version, offset))
        self.tail_offset = max([offset, *(piece.end_offset for piece in pieces if isinstance(piece, Frame))])
        for index, piece in enumerate(pieces):
            if isinstance(piece, Frame):
                self._apply_frame(name, piece)
            else:
                self._report_unreadable(name, piece, at_end=index + 1 == len(pieces), is_last=is_last)

    def _segment_version(self, name: str, data: bytes, is_last: bool) -> int | None:
        """Return the format version of a segment's frames; None if it has no frames to read."""
        has_frames = len(data) > framing.FILE_HEADER.size
        try:
            return framing.parse_file_header(data).version
        except FormatError as error:
            if is_last and not has_frames:
                self.report.torn.append(f"{name}: {error}; the new segment has no frames yet")
                return None
            if isinstance(error, UnsupportedVersionError):
                raise UnsupportedVersionError(f"{name}: {error}") from error
            if has_frames:
                self.report.damage.append(f"{name}: {error}")
            else:
                self.report.ignored.append(f"{name}: {error}; the segment has no frames")
        return framing.FORMAT_VERSION

    def _apply_frame(self, name: str, frame: Frame) -> None:
        if frame.first_sequence > self.next_sequence and not self.report.damage:
            missing = f"records {self.next_sequence} to {frame.first_sequence - 1} are missing"
            self.report.damage.append(f"{name}: {missing}")
        already_applied = max(0, self.next_sequence - frame.first_sequence)
        for record in frame.records[already_applied:]:
            self._apply(record)
        self._count(frame)
        self.next_sequence = max(self.next_sequence, frame.first_sequence + len(frame.records))

    def _report_unreadable(self, name: str, piece: UnreadableRange, at_end: bool, is_last: bool) -> None:
        where = f"{name}: bytes {piece.start_offset} to {piece.end_offset}"
        if not at_end:
            self.report.damage.append(f"{where} cannot be read; the frames after them are kept")
        elif is_last:
            self.report.torn.append(f"{where} do not form a complete frame: interrupted commit")
        else:
            self.report.ignored.append(f"{where} do not form a complete frame: failed commit")

    def _count(self, frame: Frame) -> None:
        self.report.frames += 1
        self.report.records += len(frame.records)
