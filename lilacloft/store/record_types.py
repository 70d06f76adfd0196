"""The kinds of records that a gateway stores, their keys and the encoding of their values.

Only an INTENT must be durable before an action: the dispatch that it announces. All other records are written
asynchronously.

- PURGE: key: the object's key, or `#` and the purge group's number; value: the time of the purge. The change
  log sends missing purges again, from LAST_EVENT on.
- INTENT: key: the idempotency key, or else the request's name; value: an `Intent`.
- SLOW_START: key: the backend's name; value: the work recently sent to it, as transfer time. Work that is not
  recorded is assumed to be the maximum.
- LAST_EVENT: no key; value: the number of the last event of the change log, and the number of the event from
  which on rows are complete. It is written after the purges and rows of the event; the log preserves order.
- ROW: key: the backend's name, or FULL_LIST_KEY; value: event number and row (endpoint_rows.py).
- LEARNED: key: the part's name; value: its values (learned_state.py).

Times are `Ticks` of Unix time. This module does no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple, TypeAlias

import msgspec

from lilacloft.routing.model import Idempotency
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks
from lilacloft.store.framing import Record
from lilacloft.store.log import RetentionLimit

PurgeTarget: TypeAlias = str | int  # an object's key, or the number of a purge group
Work: TypeAlias = tuple[Ticks, float]  # time of the dispatch, and its transfer time in ticks


class RecordKind(IntEnum):
    """Kinds of records. The values are stored."""

    PURGE = 1
    INTENT = 2
    SLOW_START = 3
    LAST_EVENT = 4
    ROW = 5
    LEARNED = 6


KIND_NAMES: dict[int, str] = {  # as printed by commands
    RecordKind.PURGE: "purge",
    RecordKind.INTENT: "intent",
    RecordKind.SLOW_START: "cold",
    RecordKind.LAST_EVENT: "last",
    RecordKind.ROW: "row",
    RecordKind.LEARNED: "learned",
}
STORED_IDEMPOTENCY = (Idempotency.SAFE, Idempotency.KEYED, Idempotency.NONE)  # stored by index

TIME = struct.Struct(">Q")
INTENT_VALUE = struct.Struct(">QBBH")  # sent at, idempotency, not executed, cell
EVENT_NUMBERS = struct.Struct(">QQ")
WORK_ENTRY = struct.Struct(">Qd")
GROUP_PREFIX = "#"

MAX_RECORDS = {
    RecordKind.PURGE: 100_000,
    RecordKind.INTENT: 200_000,
    RecordKind.SLOW_START: 10_000,
    RecordKind.ROW: 50_000,
    RecordKind.LEARNED: 50_000,
}
DAY: Ticks = 86_400 * TICKS_PER_SECOND
ROW_MAX_AGE: Ticks = 10_000 * DAY


def retention_limits(
    purge_lifetime: Ticks, longest_timeout: Ticks, longest_window: Ticks
) -> dict[int, RetentionLimit]:
    """Return the limits by kind. No record is retained for longer than a rule can refer to it."""
    max_ages = {
        RecordKind.PURGE: purge_lifetime,
        RecordKind.INTENT: max(DAY, 2 * longest_timeout, 2 * longest_window),
        RecordKind.SLOW_START: DAY,
        RecordKind.ROW: ROW_MAX_AGE,
        RecordKind.LEARNED: DAY,
    }
    return {kind: RetentionLimit(MAX_RECORDS[kind], max_age) for kind, max_age in max_ages.items()}


@dataclass(frozen=True)
class Intent:
    """A write-ahead intent: a request is about to be dispatched, or may have been dispatched."""

    sent_at: Ticks  # of the first dispatch under the key
    idempotency: Idempotency
    not_executed: bool  # the dispatch ended without being executed; equivalent to no intent
    cell: int  # of the backend

    def pack(self) -> bytes:
        """Return the stored value."""
        code = STORED_IDEMPOTENCY.index(self.idempotency)
        return INTENT_VALUE.pack(self.sent_at, code, self.not_executed, self.cell)


def unpack_intent(data: bytes) -> Intent:
    """Decode a stored intent. Raises ValueError if the data is invalid."""
    if len(data) != INTENT_VALUE.size:
        raise ValueError(f"intent has {len(data)} bytes instead of {INTENT_VALUE.size}")
    sent_at, code, not_executed, cell = INTENT_VALUE.unpack(data)
    if code >= len(STORED_IDEMPOTENCY):
        raise ValueError(f"unknown idempotency code {code}")
    return Intent(sent_at, STORED_IDEMPOTENCY[code], bool(not_executed), cell)


class EventNumbers(NamedTuple):
    """How far the change log has been applied."""

    last: int  # number of the last event that was applied
    rows_complete_from: int  # number of the event from which on all rows are stored


def pack_event_numbers(numbers: EventNumbers) -> bytes:
    """Return the value of a LAST_EVENT record."""
    return EVENT_NUMBERS.pack(*numbers)


def unpack_event_numbers(data: bytes) -> EventNumbers:
    """Decode the value of a LAST_EVENT record. Raises struct.error.

    Values of versions that did not store rows hold a single number, which is used for both fields.
    """
    if len(data) == EVENT_NUMBERS.size:
        return EventNumbers(*EVENT_NUMBERS.unpack(data))
    last = unpack_time(data)
    return EventNumbers(last, last)


def pack_time(time: Ticks) -> bytes:
    """Return the value of a PURGE record."""
    return TIME.pack(time)


def unpack_time(data: bytes) -> Ticks:
    """Decode the value of a PURGE record. Raises struct.error."""
    return int(TIME.unpack(data)[0])


def pack_purge_key(target: PurgeTarget) -> bytes:
    """Return the key of a PURGE record."""
    return f"{GROUP_PREFIX}{target}".encode() if isinstance(target, int) else target.encode("ascii")


def unpack_purge_key(key: bytes) -> PurgeTarget:
    """Decode the key of a PURGE record. Raises ValueError."""
    text = key.decode("ascii")
    return int(text[len(GROUP_PREFIX) :]) if text.startswith(GROUP_PREFIX) else text


def pack_work(work: Iterable[Work]) -> bytes:
    """Return the value of a SLOW_START record."""
    return b"".join(WORK_ENTRY.pack(sent_at, transfer_time) for sent_at, transfer_time in work)


def unpack_work(data: bytes) -> list[Work]:
    """Decode the value of a SLOW_START record. Raises struct.error."""
    return [(sent_at, transfer_time) for sent_at, transfer_time in WORK_ENTRY.iter_unpack(data)]


def readable_value(record: Record) -> Any:
    """Return a record's value as plain values for `store dump`, or in hexadecimal if it cannot be decoded."""
    value = record.value or b""
    try:
        if record.kind == RecordKind.PURGE:
            return unpack_time(value)
        if record.kind == RecordKind.INTENT:
            return _readable_intent(unpack_intent(value))
        if record.kind == RecordKind.SLOW_START:
            return unpack_work(value)
        if record.kind == RecordKind.LAST_EVENT:
            layout = EVENT_NUMBERS if len(value) == EVENT_NUMBERS.size else TIME
            return layout.unpack(value)
        if record.kind in (RecordKind.ROW, RecordKind.LEARNED):
            return msgspec.msgpack.decode(value)
    except (ValueError, struct.error, msgspec.MsgspecError):
        pass
    return value.hex()


def _readable_intent(intent: Intent) -> dict[str, Any]:
    return {
        "sent": intent.sent_at,
        "effect": intent.idempotency,
        "over": intent.not_executed,
        "cell": intent.cell,
    }
