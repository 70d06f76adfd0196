"""Decides which list of bes holds after a crash. Owns the state of what the change log has told of it.

A configuration names a list as of a number of the change log; what was told since is kept here by be, with
its number, so that a drain holds from the first req on, also where the log cannot be reached. What is kept
is whole from a first number (`base`) to the last one that is down: a configuration older than that base
tells of a time that is not known here, and is followed from the log as if nothing were kept. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Row = tuple[Any, ...]  # a be as the change log tells it, its name first, its status at STATUS
STATUS = 5
FULL = b"#full"  # key under which the number of the last whole list is kept; no be is named so


@dataclass
class Listing:
    """What was told of the list, by be."""

    base: int = 0  # whole from this number on
    full: int = 0  # number of the last whole list
    rows: dict[str, tuple[int, Row]] = field(default_factory=dict)

    def told(self, mode: str, rows: Iterable[Row], number: int) -> dict[bytes, tuple[int, Row] | None]:
        """The log has told rows; returns what is to be kept of it, by key, none for what goes. A whole list
        makes all that was told before it void; a be that has left stays as a row that says so, else an
        older configuration would bring it back."""
        out: dict[bytes, tuple[int, Row] | None] = {}
        if mode == "full":
            self.full = number
            out[FULL] = (number, ())
            out.update((name.encode(), None) for name in self.rows)
            self.rows.clear()
        for row in rows:
            self.rows[row[0]] = (number, row)
            out.pop(row[0].encode(), None)  # after its removal, in order
            out[row[0].encode()] = (number, row)
        return out

    def read(self, kept: Mapping[bytes, tuple[int, Row]], base: int) -> None:
        """Go on with what was kept."""
        self.base = base
        self.full = kept.get(FULL, (0, ()))[0]
        self.rows = {key.decode(): told for key, told in kept.items() if key != FULL}

    def start(self, known: int, last: int) -> tuple[list[tuple[str, list[Row]]], int]:
        """A start with a list of the number `known`, where all up to `last` is down: the events that are to
        be told of after it, and from which number on the log is asked. What the configuration knows better
        is passed over."""
        if not last or known < self.base:  # from then on, whatever is missing in between
            self.base, self.full, self.rows = known, 0, {}
            return [], known
        if last <= known:
            return [], last  # purges may be missing; the list that is told again is older, and passed over
        whole = self.full > known
        rows = [
            row for number, row in self.rows.values() if number > known and not (whole and not row[STATUS])
        ]
        if not rows and not whole:
            return [], last
        return [("full" if whole else "delta", rows)], last
