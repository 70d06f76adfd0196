"""The state that a gateway recovers from its store after a crash, decoded from the records."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lilacloft.routing.units import TICKS_PER_SECOND, Ticks
from lilacloft.store import record_types
from lilacloft.store.framing import Record
from lilacloft.store.record_types import KIND_NAMES, Intent, PurgeTarget, RecordKind, Work

# Minimum interval between two work records of one backend. Each record has all of its recent work.
WORK_INTERVAL: Ticks = TICKS_PER_SECOND


class LearnedPart(NamedTuple):
    """A stored part of the learned state, still encoded."""

    stored_at: Ticks
    data: bytes


@dataclass
class RecoveredState:
    """The decoded records of a store."""

    purges: dict[PurgeTarget, Ticks] = field(default_factory=dict)  # time of each purge
    intents: dict[bytes, Intent] = field(default_factory=dict)  # by idempotency key or request name
    slow_start_work: dict[str, list[Work]] = field(default_factory=dict)  # by the backend's name
    last_event: int = 0  # number of the last applied event of the change log
    event_is_stored: bool = False  # was there such a number?
    rows_complete_from: int = 0  # number of the event from which on all rows are stored
    rows: dict[bytes, bytes] = field(default_factory=dict)  # encoded (endpoint_rows.py), by record key
    learned: dict[bytes, LearnedPart] = field(default_factory=dict)
    unreadable: list[str] = field(default_factory=list)  # descriptions of records that could not be decoded


def recover_state(records: Iterable[Record], now: Ticks, purge_lifetime: Ticks) -> RecoveredState:
    """Decode all records of a store. Records that cannot be decoded are reported and skipped.

    A purge whose time is in the future, because the clock was set back, counts as of now: it may then stay in
    force for too long, but never for too short a time.
    """
    state = RecoveredState()
    for record in records:
        try:
            _decode(state, record, now, purge_lifetime)
        except (ValueError, struct.error, UnicodeDecodeError) as error:
            kind = KIND_NAMES.get(record.kind, record.kind)
            state.unreadable.append(f"{kind} {record.key!r}: {error}")
    return state


def _decode(state: RecoveredState, record: Record, now: Ticks, purge_lifetime: Ticks) -> None:
    value = record.value or b""
    if record.kind == RecordKind.PURGE:
        purged_at = min(record_types.unpack_time(value), now)
        if now - purged_at <= purge_lifetime:
            state.purges[record_types.unpack_purge_key(record.key)] = purged_at
    elif record.kind == RecordKind.INTENT:
        state.intents[record.key] = record_types.unpack_intent(value)
    elif record.kind == RecordKind.SLOW_START:
        state.slow_start_work[record.key.decode()] = record_types.unpack_work(value)
    elif record.kind == RecordKind.LAST_EVENT:
        numbers = record_types.unpack_event_numbers(value)
        state.last_event, state.rows_complete_from = numbers
        state.event_is_stored = True
    elif record.kind == RecordKind.ROW:
        state.rows[record.key] = value
    elif record.kind == RecordKind.LEARNED:
        state.learned[record.key] = LearnedPart(record.timestamp, value)


def recovered_work(
    slow_start_work: Mapping[str, list[Work]],
    started: Mapping[str, Ticks],
    window: Ticks,
    now: Ticks,
    max_work: Mapping[str, float],
) -> dict[str, list[Work]]:
    """Return the recent work of backends in slow start after a crash, by name. `slow_start_work`: as stored.

    `started` has the start time of each backend (0: not recently), `max_work` the maximum transfer time in
    ticks that may be sent to it within `window`. The last records before the crash may not have become
    durable, so all work that may have been sent since counts as sent now. A backend that has restarted since
    its record has no work.
    """
    recovered: dict[str, list[Work]] = {}
    for name, stored in slow_start_work.items():
        started_at = started.get(name, 0)
        if not started_at:
            continue
        recorded = [
            (sent_at, work)
            for sent_at, work in stored
            if started_at <= sent_at <= now and now - sent_at <= window
        ]
        last_sent_at = max((sent_at for sent_at, _ in stored), default=0)
        unrecorded = max_work.get(name, 0.0) - sum(work for _, work in recorded)
        if last_sent_at >= started_at and now - last_sent_at <= WORK_INTERVAL + window and unrecorded > 0:
            recorded.append((now, unrecorded))
        recovered[name] = recorded
    return recovered
