"""Reads record files. What can be read is returned; what cannot is reported with its file and line. The
content of a file never raises an exception."""

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
    """A file or line that cannot be read; line 0 stands for the whole file."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return file, line and text, as commands print it."""
        return f"{self.file}:{self.line}: {self.text}"


@dataclass
class Run:
    """The life of one process, as its files record it."""

    head: record_types.Head
    records: list[record_types.Record] = field(default_factory=list)
    files: list[str] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)

    @property
    def name(self) -> str:
        """A name unique among all gateways' runs; runs on two machines may have the same `head.run`."""
        return f"{self.head.gateway} {self.head.run}"


@dataclass
class FileContents:
    """What one file holds."""

    head: record_types.Head | None = None
    records: list[record_types.Record] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)


def read_lines(path: Path) -> Iterator[tuple[int, bytes]]:
    """Yield the lines of a file with their numbers from 1. A line that is cut off has no line end. Raises
    OSError."""
    with path.open("rb") as file:
        number = 0
        while data := file.readline(MAX_LINE_BYTES):
            number += 1
            yield number, data


def read_file(path: Path) -> FileContents:
    """Read one file up to the first line that is cut off."""
    contents = FileContents()
    try:
        for number, data in read_lines(path):
            if not data.endswith(b"\n"):
                text = f"cut off after {len(data)} bytes"
                contents.damage.append(Damage(str(path), number, text))
                break
            _read_line(contents, path, number, data)
    except OSError as error:
        contents.damage.append(Damage(str(path), 0, f"cannot be read: {error.strerror}"))
    return contents


def _read_line(contents: FileContents, path: Path, number: int, data: bytes) -> None:
    """Add a line's record, or its damage, to the contents; skip kinds of later versions."""
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
    """Return the record files among paths and in folders among them, each once; and the paths that do not
    exist."""
    files: list[Path] = []
    damage: list[Damage] = []
    for name in paths:
        path = Path(name)
        if path.is_dir():
            files += sorted(path.rglob("*.jsonl"))
        elif path.exists():
            files.append(path)
        else:
            damage.append(Damage(name, 0, "there is no such file or folder"))
    return list(dict.fromkeys(files)), damage


def read(paths: Iterable[str]) -> tuple[dict[str, list[Run]], list[Damage]]:
    """Return all runs in folders or files, by gateway in the order of their starts; and all damage."""
    files, damage = find(paths)
    runs: dict[tuple[str, str], Run] = {}
    for path in files:
        contents = read_file(path)
        damage += contents.damage
        head = contents.head
        if head is None:
            text = f"no head: {len(contents.records)} records are passed over"
            damage.append(Damage(str(path), 1, text))
            continue
        if head.schema > record_types.SCHEMA_VERSION:
            versions = f"schema {head.schema} is newer than {record_types.SCHEMA_VERSION}"
            damage.append(Damage(str(path), 1, f"{versions}: what is not known is skipped"))
        run = runs.setdefault((head.gateway, head.run), Run(head))
        run.records += contents.records
        run.files.append(str(path))
        run.damage += contents.damage
    return _by_gateway(runs), damage


def _by_gateway(runs: dict[tuple[str, str], Run]) -> dict[str, list[Run]]:
    """Return runs by gateway, in the order of their names, each with its records in the order of time."""
    by_gateway: dict[str, list[Run]] = {}
    for (gateway, _), run in sorted(runs.items()):
        run.records.sort(key=lambda record: record.monotonic_time)
        by_gateway.setdefault(gateway, []).append(run)
    return by_gateway
