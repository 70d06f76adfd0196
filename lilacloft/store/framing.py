"""The binary format of a store's files. This module does no I/O and holds no state.

A file begins with a header (magic, version, number, CRC32C), followed by frames. A frame consists of the
CRC32C of the rest of the frame, the length of its body, the sequence number of its first record, its record
count and the records. Each sync makes one frame durable. All records of a frame share a checksum, so a frame
is either complete or absent after a crash. A frame is written only after the previous one was synced.
Therefore an invalid frame that is followed by a valid one is damage, whereas an invalid one at the end of the
last file is an interrupted write.

A record consists of its kind (1 byte), flags (1 byte; 1: a removal), key length (2 bytes), value length
(4 bytes), timestamp (8 bytes, Unix time in tenths of a millisecond), key and value. Records of version 1 have
no timestamp.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from crc32c import crc32c

from lilacloft.routing.units import Ticks
from lilacloft.store.errors import FormatError, UnsupportedVersionError

FORMAT_VERSION = 2
OLDEST_READABLE_VERSION = 1
MAGIC = b"llst"
FILE_HEADER = struct.Struct(">4sHQI")  # magic, version, number, checksum
FRAME_HEADER = struct.Struct(">IIQI")  # checksum, length of the body, first sequence number, record count
RECORD_HEADER = struct.Struct(">BBHIQ")  # kind, flags, key length, value length, timestamp
RECORD_HEADER_V1 = struct.Struct(">BBHI")
CHECKSUM = struct.Struct(">I")
REMOVAL_FLAG = 1
MAX_FRAME_BYTES = 64 << 20
MIN_RECORD_BYTES = RECORD_HEADER_V1.size


class Record(NamedTuple):
    """A value stored under a kind and a key, or its removal.

    It is a tuple, which is fast to create: a recovery creates millions of records.
    """

    kind: int
    key: bytes
    value: bytes | None  # None: a removal
    timestamp: Ticks = 0  # Unix time


@dataclass(frozen=True)
class FileHeader:
    """The header of a log segment or a snapshot."""

    version: int
    number: int


@dataclass(frozen=True)
class Frame:
    """The records that one sync made durable, and their position in the file."""

    start_offset: int
    end_offset: int
    first_sequence: int  # sequence number of the first record
    records: list[Record]


@dataclass(frozen=True)
class UnreadableRange:
    """A range of a file that contains no valid frame."""

    start_offset: int
    end_offset: int


def pack_file_header(number: int, version: int = FORMAT_VERSION) -> bytes:
    """Return the header of the file with the given number."""
    data = FILE_HEADER.pack(MAGIC, version, number, 0)[: -CHECKSUM.size]
    return data + CHECKSUM.pack(crc32c(data))


def parse_file_header(data: bytes) -> FileHeader:
    """Decode the header at the start of a file.

    Raises FormatError if it is invalid, UnsupportedVersionError if its version is not supported.
    """
    if len(data) < FILE_HEADER.size:
        raise FormatError(f"file header truncated: {len(data)} of {FILE_HEADER.size} bytes")
    magic, version, number, checksum = FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FormatError("not a store file: wrong magic number")
    if checksum != crc32c(data[: FILE_HEADER.size - CHECKSUM.size]):
        raise FormatError("file header checksum mismatch")
    if not OLDEST_READABLE_VERSION <= version <= FORMAT_VERSION:
        supported = f"{OLDEST_READABLE_VERSION} to {FORMAT_VERSION}"
        raise UnsupportedVersionError(f"unsupported format version {version}; supported are {supported}")
    return FileHeader(version, number)


def pack_records(records: Iterable[Record], version: int = FORMAT_VERSION) -> bytes:
    """Return the body of a frame."""
    chunks = []
    for record in records:
        value = record.value or b""
        fields = (record.kind, record.value is None, len(record.key), len(value))
        if version > 1:
            chunks.append(RECORD_HEADER.pack(*fields, record.timestamp))
        else:
            chunks.append(RECORD_HEADER_V1.pack(*fields))
        chunks += (record.key, value)
    return b"".join(chunks)


def unpack_records(data: bytes, version: int) -> list[Record]:
    """Decode the body of a frame. Raises FormatError or struct.error if a record extends beyond it."""
    header = RECORD_HEADER if version > 1 else RECORD_HEADER_V1
    header_size, unpack_header, records = header.size, header.unpack_from, []
    offset = timestamp = 0
    while offset < len(data):
        if version > 1:
            kind, flags, key_length, value_length, timestamp = unpack_header(data, offset)
        else:
            kind, flags, key_length, value_length = unpack_header(data, offset)
        key_start = offset + header_size
        value_start = key_start + key_length
        offset = value_start + value_length
        if offset > len(data):
            raise FormatError("record extends beyond its frame")
        value = None if flags & REMOVAL_FLAG else data[value_start:offset]
        records.append(Record(kind, data[key_start:value_start], value, timestamp))
    return records


def pack_frame(first_sequence: int, records: list[Record], version: int = FORMAT_VERSION) -> bytes:
    """Return a frame. Raises FormatError if its body exceeds MAX_FRAME_BYTES."""
    body = pack_records(records, version)
    if len(body) > MAX_FRAME_BYTES:
        raise FormatError(f"frame body too long: {len(body)} bytes, maximum {MAX_FRAME_BYTES}")
    header = FRAME_HEADER.pack(0, len(body), first_sequence, len(records))
    checked = header[CHECKSUM.size :] + body
    return CHECKSUM.pack(crc32c(checked)) + checked


def parse_frame(data: bytes, offset: int, version: int) -> Frame | None:
    """Return the frame at an offset, or None if there is no valid frame."""
    body_start = offset + FRAME_HEADER.size
    if body_start > len(data):
        return None
    checksum, length, first_sequence, count = FRAME_HEADER.unpack_from(data, offset)
    end = body_start + length
    if length > MAX_FRAME_BYTES or end > len(data) or count * MIN_RECORD_BYTES > length:
        return None
    if crc32c(data[offset + CHECKSUM.size : end]) != checksum:
        return None
    try:
        records = unpack_records(data[body_start:end], version)
    except (struct.error, FormatError):
        return None
    if not count or len(records) != count:
        return None
    return Frame(offset, end, first_sequence, records)


def iter_frames(data: bytes, version: int, offset: int = 0) -> Iterator[Frame | UnreadableRange]:
    """Yield all frames of a file from an offset on (0: after its header) and the unreadable ranges between.

    After damage every byte is tried as the start of a frame, since the lengths there cannot be trusted.
    """
    offset = offset or FILE_HEADER.size
    while offset < len(data):
        frame = parse_frame(data, offset, version)
        if frame:
            yield frame
            offset = frame.end_offset
            continue
        next_start = offset + 1
        while next_start < len(data) and not parse_frame(data, next_start, version):
            next_start += 1
        yield UnreadableRange(offset, min(next_start, len(data)))
        offset = next_start
