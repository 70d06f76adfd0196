"""The wire format between gateways and planners: length-prefixed protobuf messages. The module does no I/O.

A frame is a header (magic, version, length) and one `Frame` message, which contains one of the other
messages. The first frame in each direction is a hello with the range of versions that its sender reads; both
sides then use the lower of the two newest versions. Unknown fields are skipped, as usual with protobuf.
`wire_schema` has the schema; `WIRE_FIELDS` and `WIRE_SECTIONS` map its names to the attributes of the records
in `messages`.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

from google.protobuf.message import DecodeError

from lilacloft.control.health_aggregation import Observation
from lilacloft.control.leader_lease import PlanId
from lilacloft.control.messages import (
    SECTIONS,
    SECTIONS_BY_LOCATION,
    GossipMessage,
    LoadReport,
    Plan,
    PlanDelta,
    PlanReply,
    QuotaLease,
    QuotaRequest,
)
from lilacloft.control.wire_schema import FRAME
from lilacloft.failover.failover_state import FailoverDirective, FailoverStatus
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.failover.substitutes import ZoneWeight
from lilacloft.membership.table import MemberRow

VERSION = 1  # the newest version that is supported
OLDEST_VERSION = 1  # the oldest version that is supported
MAGIC = b"llpl"
HEAD = struct.Struct(">4sBI")
MAX_MESSAGE_BYTES = 8 << 20  # a plan for 10,000 backends takes half a megabyte

# by record type: wire fields by scalar attribute
WIRE_FIELDS: Mapping[type, Mapping[str, str]] = {
    PlanId: {"epoch": "epoch", "number": "number", "planner": "planner"},
    Observation: {
        "in_time": "well",
        "late": "late",
        "failed": "failed",
        "in_flight": "out",
        "is_ejected": "alone",
        "concurrency_limit": "limit",
        "failure_streak": "streak",
        "silent_for": "quiet",
        "missing_fills": "unfilled",
        "fills": "filled",
    },
    QuotaRequest: {"number": "number", "backend": "be", "share": "part", "duration": "span"},
    QuotaLease: {"number": "number", "backend": "be", "share": "part", "delay": "delay", "duration": "span"},
    OutcomeCounts: {"on_time": "well", "late": "late", "failed": "failed", "cache_hits": "hits"},
    FailoverDirective: {
        "returned_slices": "back",
        "failed_returns": "fails",
        "slices_per_second": "rate",
        "canary_gateway": "trial",
        "reason": "why",
    },
    LoadReport: {
        "name": "name",
        "incarnation": "incarnation",
        "number": "number",
        "zone": "zone",
        "list_version": "listed",
        "request_rate": "reqs",
        "is_leaving": "leaves",
        "requested_rate": "asked",
        "uncached_rate": "past",
    },
    PlanReply: {
        "planner": "planner",
        "incarnation": "incarnation",
        "number": "number",
        "duration": "span",
        "is_first": "whole",
    },
    GossipMessage: {
        "name": "name",
        "incarnation": "incarnation",
        "epoch": "epoch",
        "highest_epoch": "seen",
    },
    MemberRow: {name: name for name in MemberRow._fields},
}

# wire fields by section of a plan; a delta also uses these names for the section of a removed entry
WIRE_SECTIONS: Mapping[str, str] = {
    "ejections": "out",
    "canary_gateways": "trials",
    "concurrency_limits": "ways",
    "fill_limits": "links",
    "gateway_shares": "parts",
    "revalidation_order": "renews",
    "locations": "zones",
}
PAIR_SECTIONS = ("ejections", "canary_gateways", "concurrency_limits", "fill_limits", "gateway_shares")

Record = TypeVar("Record")


class WireError(Exception):
    """The received data is not a valid message."""


# --- frames ---


def encode_frame(message: Any) -> bytes:
    """Return the frame for a `Frame` message."""
    data = message.SerializeToString()
    if len(data) > MAX_MESSAGE_BYTES:
        raise WireError(f"message of {len(data)} bytes exceeds the maximum of {MAX_MESSAGE_BYTES}")
    return HEAD.pack(MAGIC, VERSION, len(data)) + data


def message_length(head: bytes) -> int:
    """Return the length of the message that follows a frame's header."""
    magic, version, length = HEAD.unpack(head)
    if magic != MAGIC:
        raise WireError("not a frame: wrong magic bytes")
    if version < OLDEST_VERSION:
        raise WireError(
            f"frame version {version} is not supported; the oldest supported version is {OLDEST_VERSION}"
        )
    if length > MAX_MESSAGE_BYTES:
        raise WireError(f"message of {length} bytes exceeds the maximum of {MAX_MESSAGE_BYTES}")
    return length


def decode_message(data: bytes) -> Any:
    """Return the `Frame` message in a frame's body."""
    try:
        return FRAME.FromString(data)
    except DecodeError as error:
        raise WireError(f"invalid message: {error}") from error


def encode_hello(name: str, role: str, incarnation: int) -> bytes:
    """Return the frame that opens a connection."""
    frame = FRAME()
    frame.hello.name = name
    frame.hello.role = role
    frame.hello.incarnation = incarnation
    frame.hello.newest = VERSION
    frame.hello.oldest = OLDEST_VERSION
    return encode_frame(frame)


def negotiate_version(hello: Any) -> int:
    """Return the version to use with the sender of a hello."""
    if hello.newest < OLDEST_VERSION or hello.oldest > VERSION:
        theirs = f"{hello.oldest} to {hello.newest}"
        raise WireError(
            f"{hello.name} supports versions {theirs}, this process {OLDEST_VERSION} to {VERSION}"
        )
    return min(VERSION, hello.newest)


# --- parts of messages ---


def _write(target: Any, record: Any) -> None:
    """Write a record's scalar attributes into a message."""
    for attribute, field in WIRE_FIELDS[type(record)].items():
        setattr(target, field, getattr(record, attribute))


def _read_scalars(kind: type, source: Any) -> dict[str, Any]:
    """Return the scalar attributes of a record type, read from a message."""
    return {attribute: getattr(source, field) for attribute, field in WIRE_FIELDS[kind].items()}


def _read(kind: type[Record], source: Any) -> Record:
    """Return a record that has only scalar attributes."""
    return kind(**_read_scalars(kind, source))


def _write_all(target: Any, records: Iterable[object]) -> None:
    for record in records:
        _write(target.add(), record)


def _read_all(kind: type[Record], source: Any) -> tuple[Record, ...]:
    return tuple(_read(kind, item) for item in source)


def _write_pairs(target: Any, pairs: Mapping[Any, Any]) -> None:
    for key, value in pairs.items():
        target.add(key=str(key), value=value)


def _read_pairs(source: Any) -> dict[str, Any]:
    return {pair.key: pair.value for pair in source}


# --- load reports ---


def encode_report(report: LoadReport) -> bytes:
    """Return the frame of a load report."""
    frame = FRAME()
    target = frame.summary
    _write(target, report)
    _write_pairs(target.fills, report.fill_rates)
    _write_pairs(target.worth, report.values_per_kb)
    for backend, observation in report.observations.items():
        _write(target.sights.add(be=backend), observation)
    for backend, (usable, used) in report.cold_shares.items():
        target.cold.add(be=backend, own=usable, used=used)
    _write_all(target.asks, report.quota_requests)
    _write_all(target.given, report.quota_leases)
    _write(target.holds, report.plan_id)
    for zone, tally in report.tallies.items():
        _write(target.tallies.add(zone=zone), tally)
    for zone, (back, fails) in report.location_states.items():
        target.left.add(zone=zone, back=back, fails=fails)
    return encode_frame(frame)


def decode_report(source: Any) -> LoadReport:
    """Return the load report in a `Summary` message."""
    return LoadReport(
        **_read_scalars(LoadReport, source),
        fill_rates=_read_pairs(source.fills),
        values_per_kb=_read_pairs(source.worth),
        observations={item.be: _read(Observation, item) for item in source.sights},
        cold_shares={item.be: (item.own, item.used) for item in source.cold},
        quota_requests=_read_all(QuotaRequest, source.asks),
        quota_leases=_read_all(QuotaLease, source.given),
        plan_id=_read(PlanId, source.holds),
        tallies={item.zone: _read(OutcomeCounts, item) for item in source.tallies},
        location_states={item.zone: FailoverStatus(item.back, item.fails) for item in source.left},
    )


# --- plans ---


def _write_plan(target: Any, plan: Plan) -> None:
    _write(target.name, plan.plan_id)
    target.listed = plan.list_version
    for section in PAIR_SECTIONS:
        _write_pairs(getattr(target, WIRE_SECTIONS[section]), getattr(plan, section))
    for zone, names in plan.revalidation_order.items():
        target.renews.add(zone=zone, names=names)
    for zone, location in plan.locations.items():
        item = target.zones.add(zone=zone)
        _write(item, location)
        for other, weight in location.substitutes:
            item.to.add(zone=other, part=weight)


def _read_plan(source: Any) -> Plan:
    pairs = {section: _read_pairs(getattr(source, WIRE_SECTIONS[section])) for section in PAIR_SECTIONS}
    pairs["fill_limits"] = {int(zone): limit for zone, limit in pairs["fill_limits"].items()}
    return Plan(
        _read(PlanId, source.name),
        source.listed,
        **pairs,
        revalidation_order={item.zone: tuple(item.names) for item in source.renews},
        locations={item.zone: _read_location(item) for item in source.zones},
    )


def _read_location(source: Any) -> FailoverDirective:
    return FailoverDirective(
        **_read_scalars(FailoverDirective, source),
        substitutes=tuple(ZoneWeight(item.zone, item.part) for item in source.to),
    )


def _write_delta(target: Any, delta: PlanDelta) -> None:
    _write(target.since, delta.base)
    present: dict[str, Any] = {
        section: {key: value for key, value in entries.items() if value is not None}
        for section, entries in delta.changes.items()
    }
    _write_plan(target.plan, Plan(delta.plan_id, delta.list_version, **present))
    for section, entries in delta.changes.items():
        for key, value in entries.items():
            if value is None:
                target.gone.add(key=str(key), value=WIRE_SECTIONS[section])


def _read_delta(source: Any) -> PlanDelta:
    changed = _read_plan(source.plan)
    changes: dict[str, dict[object, object]] = {
        section: dict(getattr(changed, section)) for section in SECTIONS if getattr(changed, section)
    }
    sections = {field: section for section, field in WIRE_SECTIONS.items()}
    for removed in source.gone:
        section = sections.get(removed.value)
        if section is None:
            raise WireError(f"unknown section {removed.value!r} of a plan")
        key = int(removed.key) if section in SECTIONS_BY_LOCATION else removed.key
        changes.setdefault(section, {})[key] = None
    return PlanDelta(_read(PlanId, source.since), changed.plan_id, changed.list_version, changes)


def encode_reply(reply: PlanReply) -> bytes:
    """Return the frame of a planner's reply."""
    frame = FRAME()
    target = frame.reply
    _write(target, reply)
    if reply.plan is not None:
        _write_plan(target.plan, reply.plan)
    if reply.delta is not None:
        _write_delta(target.delta, reply.delta)
    _write_all(target.asks, reply.quota_requests)
    _write_all(target.given, reply.quota_leases)
    return encode_frame(frame)


def decode_reply(source: Any) -> PlanReply:
    """Return the reply in a `Reply` message."""
    return PlanReply(
        **_read_scalars(PlanReply, source),
        plan=_read_plan(source.plan) if source.HasField("plan") else None,
        delta=_read_delta(source.delta) if source.HasField("delta") else None,
        quota_requests=_read_all(QuotaRequest, source.asks),
        quota_leases=_read_all(QuotaLease, source.given),
    )


# --- gossip, and operators' queries ---


def encode_gossip(gossip: GossipMessage) -> bytes:
    """Return the frame of a planner's gossip."""
    frame = FRAME()
    _write(frame.word, gossip)
    _write_all(frame.word.rows, gossip.members)
    return encode_frame(frame)


def decode_gossip(source: Any) -> GossipMessage:
    """Return the gossip in a `Word` message."""
    return GossipMessage(**_read_scalars(GossipMessage, source), members=_read_all(MemberRow, source.rows))


def encode_query(query: str) -> bytes:
    """Return the frame of an operator's query."""
    frame = FRAME()
    frame.show.what = query
    return encode_frame(frame)


def encode_answer(lines: list[str]) -> bytes:
    """Return the frame of the answer to an operator's query."""
    frame = FRAME()
    frame.shown.lines.extend(lines)
    return encode_frame(frame)
