"""The rows of the endpoint list that the change log has sent, and which of them a start applies.

A configuration holds the endpoint list as of an event of the change log. Later rows are stored by backend,
with the number of their event, so that a drain holds from the first request on, also while the change log
cannot be reached. The stored rows are complete from one event (`complete_from`) to the last durable one. A
configuration of an earlier event leaves a gap: then the change log is read again from that event on, as if
nothing were stored. Where nothing is durable it is read from its first event on: purges that are not in the
configuration may have been heard while the disk failed. There is no I/O here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeAlias

import msgspec

from lilacloft.routing.host import ListMode

Row: TypeAlias = tuple[Any, ...]  # as the change log sends it, the backend's name first
STATUS_INDEX = 5  # of a row's `BackendStatus`
FULL_LIST_KEY = b"#full"  # key of the number of the last whole list; no backend has such a name

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class StoredRow(NamedTuple):
    """A row and the event that sent it. The row is empty under FULL_LIST_KEY."""

    number: int
    row: Row

    def pack(self) -> bytes:
        """Return the value of a ROW record."""
        return _encode(self)


def unpack_row(data: bytes) -> StoredRow:
    """Read the value of a ROW record. Raises msgspec.MsgspecError."""
    number, row = _decode(data)
    return StoredRow(number, (row[0], tuple(row[1]), *row[2:]) if row else ())


class ListEvent(NamedTuple):
    """An event of the change log that is to be applied at a start."""

    mode: ListMode
    rows: list[Row]


class StartingPoint(NamedTuple):
    """What a start applies to the list of its configuration, and the event after which it reads on."""

    events: list[ListEvent]
    read_after: int


@dataclass
class EndpointRows:
    """The stored rows, by the backend's name."""

    complete_from: int = 0  # number of the event from which on all rows are stored
    last_full: int = 0  # number of the last event with a whole list
    rows: dict[str, StoredRow] = field(default_factory=dict)

    def apply(self, mode: str, rows: Iterable[Row], number: int) -> dict[bytes, StoredRow | None]:
        """Take in an event of the change log; returns the records to write, by key (None: a removal).

        A whole list makes all rows before it void. A backend that has left keeps a row that says so: without
        it, an older configuration would bring the backend back.
        """
        changes: dict[bytes, StoredRow | None] = {}
        if mode == ListMode.FULL:
            self.last_full = number
            changes[FULL_LIST_KEY] = StoredRow(number, ())
            changes.update((name.encode(), None) for name in self.rows)
            self.rows.clear()
        for row in rows:
            stored, key = StoredRow(number, row), row[0].encode()
            self.rows[row[0]] = stored
            changes.pop(key, None)  # written in the order of the rows, after any removal
            changes[key] = stored
        return changes

    def restore(self, stored: Mapping[bytes, StoredRow], complete_from: int) -> None:
        """Go on with the rows of a store, by key."""
        self.complete_from = complete_from
        full = stored.get(FULL_LIST_KEY)
        self.last_full = full.number if full else 0
        self.rows = {key.decode(): row for key, row in stored.items() if key != FULL_LIST_KEY}

    def starting_point(self, configured: int, last: int) -> StartingPoint:
        """Return what to apply after a start with the list of event `configured`, if all events up to `last`
        are durable (0: none). Rows that the configuration has already are left out."""
        if not last or configured < self.complete_from:  # events are missing in between
            self.complete_from, self.last_full, self.rows = configured, 0, {}
            # as below: an empty store may be one that a failing disk kept empty
            return StartingPoint([], min(last, configured))
        if last <= configured:
            # purges may be missing here: the log sends them again; rows it repeats are older and ignored
            return StartingPoint([], last)
        is_full = self.last_full > configured
        rows = [
            stored.row
            for stored in self.rows.values()
            if stored.number > configured and not (is_full and not stored.row[STATUS_INDEX])
        ]
        if not rows and not is_full:
            return StartingPoint([], last)
        return StartingPoint([ListEvent(ListMode.FULL if is_full else ListMode.DELTA, rows)], last)
