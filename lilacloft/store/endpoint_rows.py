"""The endpoint list rows received from the change log, and what they say at the next start.

A configuration holds the endpoint list as of an event of the change log. Later rows are stored by backend
with the number of their event, so that a drain is in force from the first request on, even while the change
log cannot be reached. Numbers mean something within one life of a gateway only, and a start does not show
whether it begins another one. So the rows replace nothing in the configuration: with
`lilacloft.routing.list_reconciliation` they restrict it until the change log was read to its end, and the log
is always read on from the configuration's event or an earlier one. Numbers are compared only where the result
is safe in either case: a row that the configuration may not have yet restricts it, in whichever life it was
stored, and of two events the log is read on from the one with the lower number.

Until the log was read to its end, an event does not replace a stored row but only restricts it further: it
may be one of those before the row. If no event is durable, the change log is read from its first event on:
purges that are not in the configuration may have been received while the disk failed. This module does no
I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.host import ListMode
from lilacloft.routing.list_reconciliation import allowed, gone

FULL_LIST_KEY = b"#full"  # record with the number of the last full list; not a valid backend name

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


class StoredRow(NamedTuple):
    """An entry and the number of its event. There is no entry under FULL_LIST_KEY."""

    number: int
    entry: EndpointEntry | tuple[()]

    def pack(self) -> bytes:
        """Return the value of a ROW record."""
        return _encode(self)


def unpack_row(data: bytes) -> StoredRow:
    """Read the value of a ROW record. Raises msgspec.MsgspecError."""
    number, row = _decode(data)
    return StoredRow(number, EndpointEntry(row[0], tuple(row[1]), *row[2:]) if row else ())


class StoredList(NamedTuple):
    """What the store says of the endpoint list at a start."""

    entries: list[EndpointEntry]  # those that the configuration may not have yet, oldest first
    is_complete: bool  # a backend without an entry was not listed any more
    read_after: int  # the event after which the change log is read on


@dataclass
class EndpointRows:
    """The stored rows, by the backend's name."""

    complete_from: int = 0  # number of the event from which on all rows are stored; for earlier versions
    last_full: int = 0  # number of the last event with a full list
    rows: dict[str, StoredRow] = field(default_factory=dict)
    is_confirmed: bool = True  # do the rows of an earlier process not matter any more?
    _full_was_reported: bool = False  # to this process
    _began_complete: bool = False  # see `StoredList.is_complete`

    def apply(
        self, mode: str, entries: Iterable[EndpointEntry], number: int
    ) -> dict[bytes, StoredRow | None]:
        """Apply an event of the change log; return the records to write, by key (None: a removal).

        A full list replaces all earlier rows. The row of a backend that has left is kept with its status:
        without it, an older configuration would bring the backend back.
        """
        changes: dict[bytes, StoredRow | None] = {}
        if mode == ListMode.FULL:
            self._full_was_reported = True
            self.last_full = number if self.is_confirmed else max(number, self.last_full)
            changes[FULL_LIST_KEY] = StoredRow(self.last_full, ())
            changes.update(self._remove_all(number))
        for entry in entries:
            stored, key = self._merged(StoredRow(number, entry)), entry.name.encode()
            self.rows[entry.name] = stored
            changes.pop(key, None)  # moved behind the removals, so that records are in the order of the rows
            changes[key] = stored
        return changes

    def _remove_all(self, number: int) -> dict[bytes, StoredRow | None]:
        """Remove all rows for a full list, or restrict them as far as it does."""
        if self.is_confirmed:
            names = list(self.rows)
            self.rows.clear()
            return {name.encode(): None for name in names}
        for name, stored in self.rows.items():
            self.rows[name] = StoredRow(max(number, stored.number), gone(stored.entry))
        return {name.encode(): stored for name, stored in self.rows.items()}

    def _merged(self, row: StoredRow) -> StoredRow:
        """Return the row to store for a received one."""
        if self.is_confirmed:
            return row
        stored = self.rows.get(row.entry.name)
        number = stored.number if stored else self.last_full
        entry = allowed(row.entry, stored.entry if stored else None, self._began_complete)
        return StoredRow(max(row.number, number), entry)

    def restore(self, stored: Mapping[bytes, StoredRow], complete_from: int) -> None:
        """Load the rows of a store, by key."""
        self.complete_from = complete_from
        full = stored.get(FULL_LIST_KEY)
        self.last_full = full.number if full else 0
        self.rows = {key.decode(): row for key, row in stored.items() if key != FULL_LIST_KEY}

    def begin(self, configured: int, last: int) -> StoredList:
        """Return what the store says at a start with a configuration as of event `configured`. `last`: the
        number of the last event that is durable, 0 for none."""
        rows = [stored for stored in self.rows.values() if stored.number > configured]
        entries = [stored.entry for stored in sorted(rows, key=lambda stored: stored.number)]
        is_complete = self._began_complete = self.last_full > configured
        self.is_confirmed = not (entries or is_complete)
        self.complete_from = configured
        # the change log sends again purges that were not durable
        return StoredList(entries, is_complete, min(last, configured))

    def confirm(self, reported: Mapping[str, EndpointEntry], number: int) -> dict[bytes, StoredRow | None]:
        """Handle that the change log was read to its end, which is `number` or an earlier event: rows that
        contradict the `reported` list, by name, are not of this life. Return the records to write, by key."""
        changes: dict[bytes, StoredRow | None] = {}
        for name, stored in list(self.rows.items()):
            entry = reported.get(name)
            if entry is not None and entry != stored.entry:
                changes[name.encode()] = self.rows[name] = StoredRow(number, entry)
            elif entry is None and stored.entry.status:
                changes[name.encode()] = None
                del self.rows[name]
        if self.last_full and not self._full_was_reported:
            self.last_full, changes[FULL_LIST_KEY] = 0, None
        self.is_confirmed = True
        return changes

    def discard(self, number: int) -> dict[bytes, StoredRow | None]:
        """Handle that another process has handed over its list as of event `number`, and not through this
        store: what this store holds is older. Return the records to write, by key."""
        changes: dict[bytes, StoredRow | None] = dict.fromkeys(map(str.encode, self.rows))
        if self.last_full:
            changes[FULL_LIST_KEY] = None
        self.rows.clear()
        self.complete_from, self.last_full = number, 0
        return changes
