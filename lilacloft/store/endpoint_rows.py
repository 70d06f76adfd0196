"""The endpoint list rows received from the change log, and which of them are applied at a start.

A configuration holds the endpoint list as of an event of the change log. Later rows are stored by backend
with the number of their event, so that a drain is in force from the first request on, even while the change
log cannot be reached. The stored rows are complete from one event (`complete_from`) to the last durable one.
If the configuration is of an event before `complete_from`, the rows in between are missing: the change log is
then read again from the configuration's event on, as if nothing were stored. If no event is durable, the
change log is read from its first event on: purges that are not in the configuration may have been received
while the disk failed. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeAlias

import msgspec

from lilacloft.routing.host import ListMode

Row: TypeAlias = tuple[Any, ...]  # as received from the change log; the backend's name comes first
STATUS_INDEX = 5  # position of the `BackendStatus` in a row
FULL_LIST_KEY = b"#full"  # record with the number of the last full list; not a valid backend name

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class StoredRow(NamedTuple):
    """A row and the number of its event. The row is empty under FULL_LIST_KEY."""

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
    """An event of the change log to apply at a start."""

    mode: ListMode
    rows: list[Row]


class StartingPoint(NamedTuple):
    """The events to apply to the configured list, and the event after which the change log is read on."""

    events: list[ListEvent]
    read_after: int


@dataclass
class EndpointRows:
    """The stored rows, by the backend's name."""

    complete_from: int = 0  # number of the event from which on all rows are stored
    last_full: int = 0  # number of the last event with a full list
    rows: dict[str, StoredRow] = field(default_factory=dict)

    def apply(self, mode: str, rows: Iterable[Row], number: int) -> dict[bytes, StoredRow | None]:
        """Apply an event of the change log; return the records to write, by key (None: a removal).

        A full list replaces all earlier rows. The row of a backend that has left is kept with its status:
        without it, an older configuration would bring the backend back.
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
            changes.pop(key, None)  # moved behind the removals, so that records are in the order of the rows
            changes[key] = stored
        return changes

    def restore(self, stored: Mapping[bytes, StoredRow], complete_from: int) -> None:
        """Load the rows of a store, by key."""
        self.complete_from = complete_from
        full = stored.get(FULL_LIST_KEY)
        self.last_full = full.number if full else 0
        self.rows = {key.decode(): row for key, row in stored.items() if key != FULL_LIST_KEY}

    def starting_point(self, configured: int, last: int) -> StartingPoint:
        """Return what to apply after a start with a configuration as of event `configured`.

        All events up to `last` are durable (0: none). Rows that the configuration already has are left out.
        """
        if not last or configured < self.complete_from:  # the events in between are missing
            self.complete_from, self.last_full, self.rows = configured, 0, {}
            # a failing disk may have kept the store empty: earlier purges must be read again
            return StartingPoint([], min(last, configured))
        if last <= configured:
            # the change log sends again purges that were not durable; repeated rows are older and ignored
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
