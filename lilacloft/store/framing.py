"""The bytes of a store's files. It knows no file and no state.

A file begins with a head: magic, version, number, CRC32C. Then come frames: CRC32C of all that follows,
length, first sequence number, count; then so many records. A frame is what one sync makes durable: it is
whole or it is not there, as all its records share one checksum. A frame is written only after the one
before it was synced, so that a bad frame with a good one after it is damage, and a bad one at the end of
the last file is what a crash has torn.

A record: kind (a byte), flags (1: a removal), key length (2 bytes), value length (4), stamp (8: Unix time
in tenths of a millisecond), key, value. Version 1 had no stamp.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from crc32c import crc32c

VERSION = 2
LEAST = 1
MAGIC = b"llst"
HEAD = struct.Struct(">4sHQI")
FRAME = struct.Struct(">IIQI")
RECORD = struct.Struct(">BBHIQ")
RECORD_1 = struct.Struct(">BBHI")  # of version 1
LARGEST = 64 << 20  # bytes of a frame


class StoreError(Exception):
    """What is no store, or cannot be used as one; the text says why."""


class Record(NamedTuple):
    """One thing that is kept, or is kept no more. A tuple: a recovery makes millions."""

    kind: int
    key: bytes
    value: bytes | None  # none: a removal
    stamp: int = 0


@dataclass(frozen=True)
class Frame:
    """What one sync made durable, where it lies."""

    start: int
    end: int
    first: int  # sequence number of its first record
    records: list[Record]


def head(number: int, version: int = VERSION) -> bytes:
    """The beginning of a file."""
    data = HEAD.pack(MAGIC, version, number, 0)[:-4]
    return data + struct.pack(">I", crc32c(data))


def read_head(data: bytes) -> tuple[int, int]:
    """Version and number of a file."""
    if len(data) < HEAD.size:
        raise StoreError(f"a head of {len(data)} bytes instead of {HEAD.size}")
    magic, version, number, crc = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise StoreError("no file of a store")
    if crc != crc32c(data[: HEAD.size - 4]):
        raise StoreError("a head whose checksum does not fit")
    if not LEAST <= version <= VERSION:
        raise StoreError(f"version {version}; {LEAST} to {VERSION} are read here")
    return version, number


def pack(records: Iterable[Record], version: int = VERSION) -> bytes:
    """Records one after the other."""
    out = []
    for record in records:
        value = record.value or b""
        fields = (record.kind, record.value is None, len(record.key), len(value))
        out.append(RECORD.pack(*fields, record.stamp) if version > 1 else RECORD_1.pack(*fields))
        out += (record.key, value)
    return b"".join(out)


def frame(first: int, records: list[Record], version: int = VERSION) -> bytes:
    """One frame."""
    body = pack(records, version)
    if len(body) > LARGEST:
        raise StoreError(f"{len(body)} bytes in one frame, {LARGEST} at most")
    rest = FRAME.pack(0, len(body), first, len(records))[4:] + body
    return struct.pack(">I", crc32c(rest)) + rest


def frame_at(data: bytes, place: int, version: int) -> Frame | None:
    """The frame at a place, if it is whole."""
    if place + FRAME.size > len(data):
        return None
    crc, length, first, count = FRAME.unpack_from(data, place)
    end = place + FRAME.size + length
    if length > LARGEST or end > len(data) or count * 8 > length or crc32c(data[place + 4 : end]) != crc:
        return None
    try:
        records = unpack(data[place + FRAME.size : end], version)
    except (struct.error, StoreError):
        return None
    return Frame(place, end, first, records) if len(records) == count and count else None


def unpack(data: bytes, version: int) -> list[Record]:
    """All records of a frame."""
    form = RECORD if version > 1 else RECORD_1
    size, read, out = form.size, form.unpack_from, []
    place = stamp = 0
    while place < len(data):
        if version > 1:
            kind, flags, key, value, stamp = read(data, place)
        else:
            kind, flags, key, value = read(data, place)
        place += size
        middle = place + key
        end = middle + value
        if end > len(data):
            raise StoreError("a record that goes past its frame")
        out.append(Record(kind, data[place:middle], None if flags & 1 else data[middle:end], stamp))
        place = end
    return out


def frames(data: bytes, version: int, place: int = 0) -> Iterator[Frame | tuple[int, int]]:
    """All frames of a file after its head, or from a place on; what is none is given as the stretch up to the
    next one, or the end. A frame is looked for at every byte after damage: lengths there cannot be
    believed."""
    place = place or HEAD.size
    while place < len(data):
        found = frame_at(data, place, version)
        if found:
            yield found
            place = found.end
            continue
        after = place + 1
        while after < len(data) and not (found := frame_at(data, after, version)):
            after += 1
        yield place, min(after, len(data))
        place = after
