"""Reads records: whatever is whole is given, whatever is not is told with its file and line. It never
raises for what a file holds."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from lilacloft.record import record_types

LONGEST = 4 << 20  # bytes of a line


@dataclass(frozen=True)
class Damage:
    """What could not be read."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


@dataclass
class Run:
    """One process's life, as far as its files tell."""

    head: record_types.Head
    records: list[record_types.Record] = field(default_factory=list)
    files: list[str] = field(default_factory=list)
    damage: list[Damage] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Unlike any other run's: two machines may have started theirs at one moment, with one process id."""
        return f"{self.head.gateway} {self.head.run}"


def lines(path: Path) -> Iterator[tuple[int, bytes, bool]]:
    """The lines of a file with their numbers; the last says that it has no end."""
    with path.open("rb") as file:
        number = 0
        while data := file.readline(LONGEST):
            number += 1
            yield number, data, not data.endswith(b"\n")


def read_file(path: Path) -> tuple[record_types.Head | None, list[record_types.Record], list[Damage]]:
    """One file: its head, what can be read, and what cannot."""
    head: record_types.Head | None = None
    records: list[record_types.Record] = []
    damage: list[Damage] = []
    try:
        for number, data, cut in lines(path):
            if cut:
                damage.append(Damage(str(path), number, f"cut off after {len(data)} bytes"))
                break
            try:
                record = record_types.decode(data)
            except (msgspec.MsgspecError, RecursionError, UnicodeError) as wrong:
                found = _kind(data)
                if found is None or found in record_types.KNOWN_KINDS:
                    damage.append(Damage(str(path), number, f"a line that cannot be read: {wrong}"))
                continue  # a kind of a later version: skipped
            if isinstance(record, record_types.Head):
                head = head or record
            else:
                records.append(record)
    except OSError as wrong:
        damage.append(Damage(str(path), 0, f"cannot be read: {wrong.strerror}"))
    return head, records, damage


def _kind(data: bytes) -> str | None:
    try:
        found = record_types.decode_fields(data).get("kind")
    except (msgspec.MsgspecError, RecursionError, UnicodeError):
        return None
    return found if isinstance(found, str) else None


def find(paths: Iterable[str]) -> tuple[list[Path], list[Damage]]:
    """All files of records in some folders, or named themselves, each once; and names that are neither."""
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
    """All runs in some folders or files, by gateway, in the order of their starts; and all damage."""
    files, damage = find(paths)
    runs: dict[tuple[str, str], Run] = {}
    for path in files:
        head, records, wrong = read_file(path)
        damage += wrong
        if head is None:
            damage.append(Damage(str(path), 1, f"no head: {len(records)} records are passed over"))
            continue
        if head.schema > record_types.SCHEMA_VERSION:
            versions = f"schema {head.schema} is newer than {record_types.SCHEMA_VERSION}"
            damage.append(Damage(str(path), 1, f"{versions}: what is not known is skipped"))
        run = runs.setdefault((head.gateway, head.run), Run(head))
        run.records += records
        run.files.append(str(path))
        run.damage += wrong
    out: dict[str, list[Run]] = {}
    for (gateway, _), run in sorted(runs.items()):
        run.records.sort(key=lambda record: record.steady)
        out.setdefault(gateway, []).append(run)
    return out, damage
