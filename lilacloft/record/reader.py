"""Reads record files. Readable records are returned; anything else is reported with its file and line.
Malformed content never raises an exception."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lilacloft.record import record_types

MAX_LINE_BYTES = 4 << 20
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)


@dataclass(frozen=True)
class Damage:
    """A file or line that cannot be read; line 0 means the whole file."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return file, line and text, as commands print it."""
        return f"{self.file}:{self.line}: {self.text}"


@dataclass
class Run:
    """The records of one process, from its start to its end."""

    head: record_types.Head
    records: list[record_types.Record] = field(default_factory=list)
    files: list[str] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)

    @property
    def name(self) -> str:
        """A name unique across gateways; runs on two machines may have the same `head.run`."""
        return f"{self.head.gateway} {self.head.run}"


@dataclass
class FileContents:
    """The header, the records and the damage of one file."""

    head: record_types.Head | None = None
    records: list[record_types.Record] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)


def read_lines(path: Path) -> Iterator[tuple[int, bytes]]:
    """Yield the lines of a file, numbered from 1. A truncated line has no line end. Raises OSError."""
    with path.open("rb") as file:
        number = 0
        while data := file.readline(MAX_LINE_BYTES):
            number += 1
            yield number, data


def read_file(path: Path) -> FileContents:
    """Read one file up to the first truncated line."""
    contents = FileContents()
    try:
        for number, data in read_lines(path):
            if not data.endswith(b"\n"):
                text = f"line truncated after {len(data)} bytes"
                contents.damage.append(Damage(str(path), number, text))
                break
            _read_line(contents, path, number, data)
    except OSError as error:
        contents.damage.append(Damage(str(path), 0, f"cannot be read: {error.strerror}"))
    return contents


def _read_line(contents: FileContents, path: Path, number: int, data: bytes) -> None:
    """Add the record of a line, or its damage, to the contents; skip unknown kinds, which later versions
    write."""
    try:
        record = record_types.decode(data)
    except DECODE_ERRORS as error:
        kind = _kind(data)
        if kind is None or kind in record_types.KNOWN_KINDS:
            text = f"a line that cannot be read: {error}"
            contents.damage.append(Damage(str(path), number, text))
        return
    if isinstance(record, record_types.Head):
        contents.head = contents.head or record
    else:
        contents.records.append(record)


def _kind(data: bytes) -> str | None:
    try:
        kind = record_types.decode_fields(data).get("kind")
    except DECODE_ERRORS:
        return None
    return kind if isinstance(kind, str) else None


def find(paths: Iterable[str]) -> tuple[list[Path], list[Damage]]:
    """Return the record files named by the paths or found below them, without duplicates, and as damage the
    paths that do not exist."""
    files: list[Path] = []
    damage: list[Damage] = []
    for name in paths:
        path = Path(name)
        if path.is_dir():
            files += sorted(path.rglob("*.jsonl"))
        elif path.exists():
            files.append(path)
        else:
            damage.append(Damage(name, 0, "no such file or directory"))
    return list(dict.fromkeys(files)), damage


def read(paths: Iterable[str]) -> tuple[dict[str, list[Run]], list[Damage]]:
    """Return the runs in directories or files, by gateway and in start order, and all damage."""
    files, damage = find(paths)
    runs: dict[tuple[str, str], Run] = {}
    for path in files:
        contents = read_file(path)
        damage += contents.damage
        head = contents.head
        if head is None:
            text = f"no head record: {len(contents.records)} records skipped"
            damage.append(Damage(str(path), 1, text))
            continue
        if head.schema > record_types.SCHEMA_VERSION:
            versions = f"schema {head.schema} is newer than {record_types.SCHEMA_VERSION}"
            damage.append(Damage(str(path), 1, f"{versions}: unknown records and fields are skipped"))
        run = runs.setdefault((head.gateway, head.run), Run(head))
        run.records += contents.records
        run.files.append(str(path))
        run.damage += contents.damage
    return _by_gateway(runs), damage


def _by_gateway(runs: dict[tuple[str, str], Run]) -> dict[str, list[Run]]:
    """Return the runs by gateway, sorted by name, with the records of each sorted by time."""
    by_gateway: dict[str, list[Run]] = {}
    for (gateway, _), run in sorted(runs.items()):
        run.records.sort(key=lambda record: record.monotonic_time)
        by_gateway.setdefault(gateway, []).append(run)
    return by_gateway
