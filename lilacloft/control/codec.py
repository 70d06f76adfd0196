"""The bytes that forwarders and planners exchange: protobuf messages in frames with a length. It knows no
socket.

A frame is a head (magic, version, length) and one message `Frame`, which holds one of the others. The first
frame each way is a hello with the versions that its side reads; the lower of both newest ones is spoken.
Fields that are not known are skipped, as protobuf has it. The messages are described here rather than in
generated files.
"""

from __future__ import annotations

import struct
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from lilacloft.control.health_aggregation import Sight
from lilacloft.control.leader_lease import Name
from lilacloft.control.messages import NUMBERED, PARTS, Ask, Delta, Given, Plan, Reply, Summary, Word
from lilacloft.zones.course import Tally, Told

VERSION = 1
LEAST = 1
MAGIC = b"llpl"
HEAD = struct.Struct(">4sBI")
LARGEST = 8 << 20  # bytes of a message: a plan of 10,000 bes is half a megabyte

SPEC = {
    "Hello": "name:s role:s incarnation:u newest:u oldest:u",
    "Name": "epoch:u number:u planner:s",
    "Sight": "be:s well:u late:u failed:u out:u alone:b limit:d streak:u quiet:u unfilled:u filled:u",
    "Ask": "number:u be:s part:d span:i",
    "Given": "number:u be:s part:d delay:i span:i",
    "Pair": "key:s value:d",
    "Text": "key:s value:s",
    "Cold": "be:s own:d used:d",
    "Turn": "zone:u names:s*",
    "Tally": "zone:i well:u late:u failed:u hits:u",
    "Left": "zone:i back:u fails:u",
    "Part": "zone:i part:d",
    "Zone": "zone:i back:u fails:u rate:d trial:s why:s to:Part*",
    "Summary": "name:s incarnation:u number:u zone:u listed:u reqs:d fills:Pair* worth:Pair* sights:Sight* "
    "cold:Cold* asks:Ask* given:Given* holds:Name leaves:b asked:d past:d tallies:Tally* "
    "left:Left*",
    "Plan": "name:Name listed:u out:Text* trials:Text* ways:Pair* links:Pair* parts:Pair* renews:Turn* "
    "zones:Zone*",
    "Delta": "since:Name plan:Plan gone:Text*",
    "Reply": "planner:s incarnation:u number:u span:i plan:Plan delta:Delta asks:Ask* given:Given* whole:b",
    "Row": "name:s role:s incarnation:u zone:u address:s age:i state:s",
    "Word": "name:s incarnation:u epoch:u seen:u rows:Row*",
    "Show": "what:s",
    "Shown": "lines:s*",
    "Frame": "hello:Hello summary:Summary reply:Reply word:Word show:Show shown:Shown",
}
TYPES = {"s": 9, "u": 4, "i": 18, "d": 1, "b": 8}  # string, uint64, sint64, double, bool


class WireError(Exception):
    """What came is none of these messages; the text says why."""


def _classes() -> dict[str, Any]:
    file = descriptor_pb2.FileDescriptorProto(
        name="lilacloft/plan.proto", package="lilacloft", syntax="proto3"
    )
    for message, fields in SPEC.items():
        made = file.message_type.add(name=message)
        for number, field in enumerate(fields.split(), 1):
            name, _, kind = field.partition(":")
            one = made.field.add(name=name, number=number, label=3 if kind.endswith("*") else 1)
            kind = kind.rstrip("*")
            if kind in TYPES:
                one.type = TYPES[kind]
            else:
                one.type, one.type_name = 11, f".lilacloft.{kind}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {
        name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"lilacloft.{name}"))
        for name in SPEC
    }


CLASSES = _classes()
FRAME = CLASSES["Frame"]


def frame(message: Any) -> bytes:
    """One whole frame."""
    data = message.SerializeToString()
    if len(data) > LARGEST:
        raise WireError(f"a message of {len(data)} bytes, {LARGEST} at most")
    return HEAD.pack(MAGIC, VERSION, len(data)) + data


def head(data: bytes) -> int:
    """The length of the message after a head."""
    magic, version, length = HEAD.unpack(data)
    if magic != MAGIC:
        raise WireError("no frame")
    if version < LEAST:
        raise WireError(f"version {version}; {LEAST} and later are read here")
    if length > LARGEST:
        raise WireError(f"a message of {length} bytes, {LARGEST} at most")
    return length


def read(data: bytes) -> Any:
    """The message of a frame."""
    try:
        return FRAME.FromString(data)
    except DecodeError as wrong:
        raise WireError(f"no message: {wrong}") from wrong


def hello(name: str, role: str, incarnation: int) -> bytes:
    out = FRAME()
    for field, value in (
        ("name", name),
        ("role", role),
        ("incarnation", incarnation),
        ("newest", VERSION),
        ("oldest", LEAST),
    ):
        setattr(out.hello, field, value)
    return frame(out)


def agreed(told: Any) -> int:
    """The version that is spoken with one that said hello."""
    if told.newest < LEAST or told.oldest > VERSION:
        theirs = f"{told.oldest} to {told.newest}"
        raise WireError(f"{told.name} reads versions {theirs}, here {LEAST} to {VERSION}")
    return min(VERSION, told.newest)


# --- records to messages, and back ---


def _name(into: Any, name: Name) -> None:
    into.epoch, into.number, into.planner = name.epoch, name.number, name.planner


def _named(told: Any) -> Name:
    return Name(told.epoch, told.number, told.planner)


def _pairs(into: Any, told: dict[Any, Any]) -> None:
    for key, value in told.items():
        into.add(key=str(key), value=value)


def _asks(into: Any, told: tuple[Ask, ...]) -> None:
    for one in told:
        into.add(number=one.number, be=one.backend, part=one.part, span=one.span)


def _givens(into: Any, told: tuple[Given, ...]) -> None:
    for one in told:
        into.add(number=one.number, be=one.backend, part=one.part, delay=one.delay, span=one.span)


def _asked(told: Any) -> tuple[Ask, ...]:
    return tuple(Ask(one.number, one.be, one.part, one.span) for one in told)


def _given(told: Any) -> tuple[Given, ...]:
    return tuple(Given(one.number, one.be, one.part, one.delay, one.span) for one in told)


def summary(told: Summary) -> bytes:
    out = FRAME()
    into = out.summary
    for field in ("name", "incarnation", "number", "zone", "listed", "leaves", "asked", "past"):
        setattr(into, field, getattr(told, field))
    into.reqs = told.requests
    _pairs(into.fills, told.fills)
    _pairs(into.worth, told.worth)
    for backend, sight in told.sights.items():
        into.sights.add(
            be=backend,
            well=sight.well,
            late=sight.late,
            failed=sight.failed,
            out=sight.out,
            alone=sight.alone,
            limit=sight.limit,
            streak=sight.streak,
            quiet=sight.quiet,
            unfilled=sight.unfilled,
            filled=sight.filled,
        )
    for backend, (own, used) in told.cold.items():
        into.cold.add(be=backend, own=own, used=used)
    _asks(into.asks, told.asks)
    _givens(into.given, told.given)
    _name(into.holds, told.holds)
    for zone, tally in told.tallies.items():
        into.tallies.add(zone=zone, well=tally.well, late=tally.late, failed=tally.failed, hits=tally.hits)
    for zone, (back, fails) in told.left.items():
        into.left.add(zone=zone, back=back, fails=fails)
    return frame(out)


def summarized(told: Any) -> Summary:
    return Summary(
        told.name,
        told.incarnation,
        told.number,
        told.zone,
        told.listed,
        told.reqs,
        {one.key: one.value for one in told.fills},
        {one.key: one.value for one in told.worth},
        {
            one.be: Sight(
                one.well,
                one.late,
                one.failed,
                one.out,
                one.alone,
                one.limit,
                one.streak,
                one.quiet,
                one.unfilled,
                one.filled,
            )
            for one in told.sights
        },
        {one.be: (one.own, one.used) for one in told.cold},
        _asked(told.asks),
        _given(told.given),
        _named(told.holds),
        told.leaves,
        told.asked,
        told.past,
        {one.zone: Tally(one.well, one.late, one.failed, one.hits) for one in told.tallies},
        {one.zone: (one.back, one.fails) for one in told.left},
    )


def _plan(into: Any, plan: Plan) -> None:
    _name(into.name, plan.name)
    into.listed = plan.listed
    for part in PARTS[:-2]:
        _pairs(getattr(into, part), getattr(plan, part))
    for zone, names in plan.renews.items():
        into.renews.add(zone=zone, names=names)
    for zone, one in plan.zones.items():
        made = into.zones.add(
            zone=zone, back=one.back, fails=one.fails, rate=one.rate, trial=one.trial, why=one.why
        )
        for other, part in one.to:
            made.to.add(zone=other, part=part)


def _planned(told: Any) -> Plan:
    return Plan(
        _named(told.name),
        told.listed,
        {one.key: one.value for one in told.out},
        {one.key: one.value for one in told.trials},
        {one.key: one.value for one in told.ways},
        {int(one.key): one.value for one in told.links},
        {one.key: one.value for one in told.parts},
        {one.zone: tuple(one.names) for one in told.renews},
        {
            one.zone: Told(
                one.back,
                one.fails,
                one.rate,
                one.trial,
                one.why,
                tuple((part.zone, part.part) for part in one.to),
            )
            for one in told.zones
        },
    )


def reply(told: Reply) -> bytes:
    out = FRAME()
    into = out.reply
    for field in ("planner", "incarnation", "number", "span", "whole"):
        setattr(into, field, getattr(told, field))
    if told.plan is not None:
        _plan(into.plan, told.plan)
    if told.delta is not None:
        _name(into.delta.since, told.delta.since)
        kept = {
            part: {key: value for key, value in mine.items() if value is not None}
            for part, mine in told.delta.changes.items()
        }
        _plan(into.delta.plan, Plan(told.delta.name, told.delta.listed, **kept))
        for part, mine in told.delta.changes.items():
            for key in (key for key, value in mine.items() if value is None):
                into.delta.gone.add(key=str(key), value=part)
    _asks(into.asks, told.asks)
    _givens(into.given, told.given)
    return frame(out)


def replied(told: Any) -> Reply:
    plan = _planned(told.plan) if told.HasField("plan") else None
    change = None
    if told.HasField("delta"):
        new = _planned(told.delta.plan)
        changes: dict[str, dict[object, object]] = {
            part: dict(getattr(new, part)) for part in PARTS if getattr(new, part)
        }
        for one in told.delta.gone:
            if one.value not in PARTS:
                raise WireError(f"no part {one.value!r} of a plan")
            key = int(one.key) if one.value in NUMBERED else one.key
            changes.setdefault(one.value, {})[key] = None
        change = Delta(_named(told.delta.since), new.name, new.listed, changes)
    return Reply(
        told.planner,
        told.incarnation,
        told.number,
        told.span,
        plan,
        change,
        _asked(told.asks),
        _given(told.given),
        told.whole,
    )


def word(told: Word) -> bytes:
    out = FRAME()
    into = out.word
    for field in ("name", "incarnation", "epoch", "seen"):
        setattr(into, field, getattr(told, field))
    for name, role, incarnation, zone, address, age, state in told.rows:
        into.rows.add(
            name=name, role=role, incarnation=incarnation, zone=zone, address=address, age=age, state=state
        )
    return frame(out)


def worded(told: Any) -> Word:
    rows = tuple(
        (one.name, one.role, one.incarnation, one.zone, one.address, one.age, one.state) for one in told.rows
    )
    return Word(told.name, told.incarnation, told.epoch, told.seen, rows)


def show(what: str) -> bytes:
    out = FRAME()
    out.show.what = what
    return frame(out)


def shown(lines: list[str]) -> bytes:
    out = FRAME()
    out.shown.lines.extend(lines)
    return frame(out)
