"""What a gateway keeps in its store, by kind, and what a recovery makes of it.

Decides what must be down before an act and what may lag, and what holds for a req after a crash or while
the disk does not answer. No I/O; times are whole tenths of a millisecond of Unix time.

What stands under which key, and what waits until it is down:

- PURGE, the object's key or the group: when it was purged. Nothing waits for it: the change log tells it
  again from LAST on.
- INTENT, the effect's key (idempotency key, or the req's name): when and where it was first sent, its kind.
  The dispatch waits for it.
- COLD, the be: work sent, by time. Nothing waits for it: what is not down counts as spent in full.
- LAST, nothing: the change log's number, and that from which on rows are whole. After the purges and rows
  that it stands for, as one log keeps order.
- ROW, the be or the mark of a whole list: number and row (lilacloft/store/endpoint_rows.py). Nothing waits
  for it.
- LEARNED, the part (lilacloft/store/learned_state.py): its values. Nothing waits for it.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lilacloft.store.framing import Record
from lilacloft.store.log import RetentionLimit

PURGE, INTENT, COLD, LAST, ROW, LEARNED = 1, 2, 3, 4, 5, 6
NAMES = {PURGE: "purge", INTENT: "intent", COLD: "cold", LAST: "last", ROW: "row", LEARNED: "learned"}
EFFECTS = ("replayable", "uniqued", "non-replayable")
NEVER_RAN = ("full", "unreached", "unsent", "miss")
WHEN = struct.Struct(">Q")
SENT = struct.Struct(">QBBH")  # when first sent, effect, is it over?, cell
NUMBERS = struct.Struct(">QQ")  # the log's number, and that from which on rows are whole
MOST = {PURGE: 100_000, INTENT: 200_000, COLD: 10_000, LAST: 1, ROW: 50_000, LEARNED: 50_000}
DAY = 864_000_000


def limits(purge_done: int, longest: int, window: int) -> dict[int, RetentionLimit]:
    """How many of each kind are kept, and how old they become: no longer than a rule can ask for them."""
    return {
        PURGE: RetentionLimit(MOST[PURGE], purge_done),
        INTENT: RetentionLimit(MOST[INTENT], max(DAY, 2 * longest, 2 * window)),
        COLD: RetentionLimit(MOST[COLD], DAY),
        ROW: RetentionLimit(MOST[ROW], 10_000 * DAY),
        LEARNED: RetentionLimit(MOST[LEARNED], DAY),
    }


@dataclass(frozen=True)
class Intent:
    """A dispatch that was about to go out, or has ended."""

    sent: int
    effect: str
    over: bool  # it ended, and surely never ran: as if it had not been
    cell: int

    def pack(self) -> bytes:
        return SENT.pack(self.sent, EFFECTS.index(self.effect), self.over, self.cell)


def intent(data: bytes) -> Intent:
    """Read one; ValueError for what is none."""
    if len(data) != SENT.size:
        raise ValueError(f"an intent of {len(data)} bytes")
    sent, effect, over, cell = SENT.unpack(data)
    if effect >= len(EFFECTS):
        raise ValueError(f"effect {effect}")
    return Intent(sent, EFFECTS[effect], bool(over), cell)


def must_be_down(effect: str) -> bool:
    """Must a dispatch of this effect be down as an intent before it goes out?"""
    return effect != "replayable"


def may_send(effect: str, before: Intent | None, now: int, window: int, group: str, cell: int) -> bool:
    """May a req go out whose key a process before this one has sent, or may have? As the module has it for
    its own dispatches: a non-replayable one never again, a uniqued one within its window and group. Where it
    was sent at a time that lies ahead, the clock was put back: how long ago that is, is not known."""
    if before is None or before.over or effect == "replayable":
        return True
    if effect == "non-replayable":
        return False
    return before.sent <= now < before.sent + window and (group != "cell" or cell == before.cell)


def stuck(effect: str, waited: int, patience: int) -> str:
    """What becomes of a dispatch whose intent is not down after a while: `wait`, or, with the disk stuck,
    `deny`. It surely never ran, so asking again is harmless; sent without its intent, a crash could send
    it twice. Replayable reqs never wait."""
    if not must_be_down(effect):
        return "send"
    return "wait" if waited < patience else "deny"


@dataclass
class Recovered:
    """What a gateway begins with after a crash."""

    purges: dict[str | int, int]
    intents: dict[bytes, Intent]
    cold: dict[str, list[tuple[int, float]]]
    last: int
    skipped: list[str]
    base: int = 0  # the log's number from which on rows are whole
    rows: dict[bytes, bytes] = field(default_factory=dict)
    learned: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)  # with when it was kept


def recovered(records: Iterable[Record], now: int, purge_done: int) -> Recovered:
    """From all that is kept. A time that lies ahead, as the clock was put back, counts as now: so purges hold
    longer rather than shorter, and windows end earlier rather than later."""
    out = Recovered({}, {}, {}, 0, [])
    for record in records:
        try:
            if record.kind == PURGE:
                at = min(WHEN.unpack(record.value or b"")[0], now)
                if now - at <= purge_done:
                    out.purges[what(record.key)] = at
            elif record.kind == INTENT:
                out.intents[record.key] = intent(record.value or b"")
            elif record.kind == COLD:
                out.cold[record.key.decode()] = spent(record.value or b"")
            elif record.kind == LAST:  # one number before rows were kept
                data = record.value or b""
                out.last, out.base = (
                    NUMBERS.unpack(data) if len(data) == NUMBERS.size else (WHEN.unpack(data)[0],) * 2
                )
            elif record.kind == ROW:
                out.rows[record.key] = record.value or b""
            elif record.kind == LEARNED:
                out.learned[record.key] = record.timestamp, record.value or b""
        except (ValueError, struct.error, UnicodeDecodeError) as wrong:
            out.skipped.append(f"{NAMES.get(record.kind, record.kind)} {record.key!r}: {wrong}")
    return out


def what(key: bytes) -> str | int:
    """A purge's key: an object's, or a group's number."""
    text = key.decode("ascii")
    return int(text[1:]) if text.startswith("#") else text


def key(what: str | int) -> bytes:
    """The same the other way."""
    return b"#%d" % what if isinstance(what, int) else what.encode("ascii")


def spent(data: bytes) -> list[tuple[int, float]]:
    """Work sent to a cold be, by time."""
    return [(at, work) for at, work in struct.iter_unpack(">Qd", data)]


def spend(budget: Iterable[tuple[int, float]]) -> bytes:
    """The same the other way."""
    return b"".join(struct.pack(">Qd", at, work) for at, work in budget)


def plain(record: Record) -> Any:
    """A record's value as one would read it; its bytes in hex where it cannot be read."""
    value = record.value or b""
    try:
        if record.kind == PURGE:
            return WHEN.unpack(value)[0]
        if record.kind == INTENT:
            one = intent(value)
            return {"sent": one.sent, "effect": one.effect, "over": one.over, "cell": one.cell}
        if record.kind == COLD:
            return spent(value)
        if record.kind == LAST:
            return NUMBERS.unpack(value) if len(value) == NUMBERS.size else WHEN.unpack(value)
        if record.kind in (ROW, LEARNED):
            return msgspec.msgpack.decode(value)
    except (ValueError, struct.error, msgspec.MsgspecError):
        pass
    return value.hex()
