"""Results in a SQLite file: one row per run, under a key derived from everything that the run depends on.
Existing rows are never overwritten, and an interrupted process loses no finished run."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable, Iterator
from typing import Any

FORM = 1
TABLES = """
create table if not exists about (name text primary key, value text);
create table if not exists runs (
    key text primary key, world text, trouble text, policy text, seed integer, code text, at text, told text
) without rowid;
create index if not exists by_place on runs (world, trouble, policy, seed);
"""


class ResultsError(Exception):
    """An invalid results file; the text says why."""


class Results:
    """One results file."""

    def __init__(self, path: str) -> None:
        try:
            self.base = sqlite3.connect(path, timeout=10)
            self.base.executescript(TABLES)
            self.base.execute("insert or ignore into about values ('form', ?)", (str(FORM),))
            (form,) = self.base.execute("select value from about where name = 'form'").fetchone()
            self.base.commit()
        except sqlite3.DatabaseError as error:
            raise ResultsError(f"{path}: {error}") from error
        if int(form) != FORM:
            raise ResultsError(f"{path}: format version {form} is not supported, expected {FORM}")

    def has(self, keys: Iterable[str]) -> set[str]:
        """Return which of these keys are stored."""
        return {key for (key,) in self._rows("key", keys)}

    def put(
        self,
        key: str,
        world: str,
        trouble: str,
        policy: str,
        seed: int,
        code: str,
        at: str,
        values: dict[str, Any],
    ) -> None:
        """Store a result; an existing one is kept."""
        self.base.execute(
            "insert or ignore into runs values (?, ?, ?, ?, ?, ?, ?, ?)",
            (key, world, trouble, policy, seed, code, at, json.dumps(values)),
        )
        self.base.commit()

    def get(self, keys: Iterable[str]) -> dict[str, dict[str, Any]]:
        """Return stored results by key."""
        return {key: json.loads(values) for key, values in self._rows("key, told", keys)}

    def _rows(self, columns: str, keys: Iterable[str]) -> Iterator[tuple[Any, ...]]:
        """Query in batches, as SQLite limits the parameters of a statement."""
        remaining = list(keys)
        for start in range(0, len(remaining), 500):
            batch = remaining[start : start + 500]
            marks = ",".join("?" * len(batch))
            yield from self.base.execute(f"select {columns} from runs where key in ({marks})", batch)

    def count(self) -> int:
        return self.base.execute("select count(*) from runs").fetchone()[0]

    def close(self) -> None:
        self.base.close()
