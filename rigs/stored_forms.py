"""Reads and writes the stored and sent forms of the code, as plain values under names that do not change.

tests/test_stored_forms.py compares these values and bytes with files in tests/data/ that an earlier version
of the code wrote. Each function here only calls the code and maps its attributes to fixed names, which are
those of the stored forms wherever there are any. So a renaming in the code changes this file, not the test.

Where a function is named `..._written` or `..._frame`, it returns the bytes that the code writes for plain
values. Times are whole tenths of a millisecond.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import msgspec

from lilacloft import settings_validation
from lilacloft.config.reader import load
from lilacloft.control import codec as plan_codec
from lilacloft.control import messages as control_messages
from lilacloft.control.follower import PlanEffect
from lilacloft.control.health_aggregation import Observation
from lilacloft.control.leader_lease import PlanId
from lilacloft.failover.failover_state import FailoverDirective, FailoverStatus
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.failover.substitutes import ZoneWeight
from lilacloft.gateway.gateway import Gateway
from lilacloft.handover import framing, messages
from lilacloft.handover.process_arguments import INTERNAL_OPTIONS
from lilacloft.handover.state_export import export_gateway, store_state
from lilacloft.handover.state_restore import GatewayRestorer
from lilacloft.membership.table import MemberRow
from lilacloft.net import discovery_events
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.protocol_settings import from_protocol
from lilacloft.record import record_types as records
from lilacloft.record.file_rotation import RotatingFiles
from lilacloft.record.reader import read as read_records
from lilacloft.record.record_directory import DiskDirectory
from lilacloft.record.recorder import REFUSED, Recorder, RecorderOptions
from lilacloft.record.summary import BackendState, EndedAttempt, Summary, VhostTargets
from lilacloft.routing import snapshot
from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.host import Endpoint
from lilacloft.routing.model import Backend, ObjectPart, Request
from lilacloft.routing.router import Router
from lilacloft.store import durability_snapshot, learned_state, record_types
from lilacloft.store.durability import DurabilityGate
from lilacloft.store.endpoint_rows import EndpointRows, unpack_row
from lilacloft.store.files import StoreDirectory
from lilacloft.store.framing import Record
from lilacloft.store.log import Store
from lilacloft.store.record_types import RecordKind
from lilacloft.store.recovered_state import RecoveredState, recover_state

Plain = dict[str, Any]


def lists(value: Any) -> Any:
    """The same value with lists instead of tuples, at any depth."""
    if isinstance(value, dict):
        return {key: lists(inner) for key, inner in value.items()}
    return [lists(inner) for inner in value] if isinstance(value, list | tuple) else value


# --- the store ---


def store_values(folder: Path) -> Plain:
    """What a store's files hold: how much was read, what is wrong with them, and every record kept as [kind,
    key, value, stamp] with the value as bytes in hex."""
    store = Store(StoreDirectory(str(folder), lock=False))
    return {
        "frames": store.report.frames,
        "records": store.report.records,
        "torn": store.report.torn,
        "damage": store.report.damage,
        "ignored": store.report.ignored,
        "down": store.durable_sequence,
        "kept": [
            [record.kind, record.key.decode(), (record.value or b"").hex(), record.timestamp]
            for kind in sorted(store.records)
            for record in store.records_of(kind)
        ],
        "dump": [
            [record_types.KIND_NAMES[kind], record.key.decode(), lists(record_types.readable_value(record))]
            for kind in sorted(store.records)
            for record in store.records_of(kind)
        ],
    }


def _recovered(folder: Path, now: int, purge_done: int) -> RecoveredState:
    store = Store(StoreDirectory(str(folder), lock=False))
    return recover_state(store.all_records(), now, purge_done)


def store_recovered(folder: Path, now: int, purge_done: int) -> Plain:
    """What a gateway begins with after a crash; keys are texts."""
    found = _recovered(folder, now, purge_done)
    return {
        "purges": found.purges,
        "intents": {
            key.decode(): {
                "sent": one.sent_at,
                "effect": one.idempotency,
                "over": one.not_executed,
                "cell": one.cell,
            }
            for key, one in found.intents.items()
        },
        "cold": lists(found.slow_start_work),
        "last": found.last_event,
        "base": found.rows_complete_from,
        "rows": {key.decode(): msgspec.msgpack.decode(row) for key, row in found.rows.items()},
        "learned": {
            key.decode(): [stamp, msgspec.msgpack.decode(data)]
            for key, (stamp, data) in found.learned.items()
        },
        "skipped": found.unreadable,
    }


def store_listing(folder: Path, now: int, purge_done: int, known: int) -> Plain:
    """What restricts the list of backends of a start whose configuration is of the event `known`."""
    found = _recovered(folder, now, purge_done)
    rows = EndpointRows()
    rows.restore({key: unpack_row(row) for key, row in found.rows.items()}, found.rows_complete_from)
    base, stored = rows.complete_from, rows.begin(known, found.last_event)
    return {
        "base": base,
        "full": rows.last_full,
        "rows": lists(stored.entries),
        "whole": stored.is_complete,
        "from": stored.read_after,
    }


def store_learned(
    folder: Path, now: int, purge_done: int, vhosts: list[str], starts: dict[str, float], link: float
) -> Plain:
    """What of the learned state still holds after a crash, as the decisions take it."""
    found = _recovered(folder, now, purge_done)
    kept = {
        key: learned_state.AgedPart(part.stored_at, learned_state.unpack_part(part.data))
        for key, part in found.learned.items()
    }
    return lists(learned_state.aged_state(kept, now, vhosts, starts, link))


def _record(plain: Plain) -> Record:
    """A store's record as its writers make it; `kind` is the stored number; no `value`: a removal."""
    kind, key, value = plain["kind"], plain["key"], plain.get("value")
    stored_key = record_types.pack_purge_key(key) if kind == RecordKind.PURGE else key.encode()
    if value is None:
        return Record(kind, stored_key, None, plain["stamp"])
    if kind == RecordKind.PURGE:
        data = record_types.pack_time(value)
    elif kind == RecordKind.INTENT:
        data = record_types.Intent(value["sent"], value["effect"], value["over"], value["cell"]).pack()
    elif kind == RecordKind.SLOW_START:
        data = record_types.pack_work(value)
    elif kind == RecordKind.LAST_EVENT:
        data = record_types.pack_event_numbers(record_types.EventNumbers(*value))
    else:
        data = msgspec.msgpack.encode(value)
    return Record(kind, stored_key, data, plain["stamp"])


def store_written(folder: Path, before: list[list[Plain]], after: list[list[Plain]]) -> None:
    """Write a store: commits of records, then a compaction, which leaves a snapshot, then more commits."""
    directory = StoreDirectory(str(folder))
    store = Store(directory)
    for commits in (before, after):
        for commit in commits:
            for record in map(_record, commit):
                store.put(*record)
            store.commit()
        if commits is before:
            store.compact()
    directory.close()


def listing_rows(mode: str, rows: list[list[Any]], number: int) -> Plain:
    """What is to be kept of an event of the change log, by key; none for what goes."""
    changes = EndpointRows().apply(mode, [EndpointEntry(*row) for row in rows], number)
    return {key.decode(): lists(value) for key, value in changes.items()}


# --- records ---


def records_values(folder: Path) -> Plain:
    """All runs in a folder, by gateway; and what cannot be read."""
    runs, damage = read_records([str(folder)])
    return {
        "damage": [str(one) for one in damage],
        "runs": {
            gateway: [
                {
                    "head": lists(msgspec.to_builtins(run.head)),
                    "records": lists(msgspec.to_builtins(run.records)),
                    "files": [Path(name).name for name in run.files],
                }
                for run in mine
            ]
            for gateway, mine in runs.items()
        },
    }


def records_written(folder: Path, head: Plain, lines: list[Plain]) -> None:
    """Write a run's file of records."""
    files = RotatingFiles(DiskDirectory(str(folder), head["gateway"], head["run"]))
    first, *rest = (records.encode(msgspec.convert(one, records.AnyRecord)) + b"\n" for one in [head, *lines])
    assert files.write(rest, first) == 0
    files.close()


def summary_values() -> Plain:
    """The record of a second in which one of each thing has happened, by the hooks that the gateway calls."""
    one = Summary({"clip": VhostTargets(4000, 30000, 2.5)}, 1000)
    for tries, kind, took in ((1, "done", 300), (1, "done", 5000), (0, "denied", 0), (2, "aborted", 0)):
        one.request_arrived("clip")
        one.answered("clip", kind, took, tries)
    one.client_disconnected("clip")
    for note, end in enumerate([CloseReason.DATA] * 11):
        one.dispatched("clip", "s-1")
        one.attempt_ended(EndedAttempt("clip", "s-1", None, end.name, OUTCOMES[end], 300, note == 2, note, 0))
    for end in CloseReason:
        if OUTCOMES.get(end) not in (None, "done"):
            one.attempt_ended(EndedAttempt("clip", "s-1", "s-9", end.name, OUTCOMES[end], 300, False, 0, 0))
    one.attempt_ended(EndedAttempt("clip", "s-1", "s-9", CloseReason.DATA.name, "done", 300, False, 2, 120))
    one.utilization_reported("s-1", 0.75)
    one.loop_lagged(42)
    one.count_refused({"unusable": 1})
    one.count_refused({"unusable": 4})
    return lists(msgspec.to_builtins(one.finish_period(11000, {"s-1": BackendState(3, 12.5, True, 2)}, 6.25)))


def cut_values(was: float, limit: float, late: float) -> Plain:
    """The record of a limit that was cut."""
    return lists(msgspec.to_builtins(Summary({}, 0).limit_changed("s-1", was, limit, late)))


def recorded_values(folder: Path, config: Plain) -> list[Plain]:
    """A head, and what a gateway writes down of one thing of each kind, by the hooks that it calls; without
    numbers and times."""
    owner = Gateway({**config, "listen": "127.0.0.1:0"})
    owner.downstream.sock.close()
    recorder = Recorder(owner, RecorderOptions(str(folder), "n0"))
    backend = owner.backends["s-00000001"]
    (
        backend.consecutive_failures,
        backend.late_fill_share,
        backend.concurrency_limit.limit,
        backend.started,
    ) = 5, 0.375, 14.25, 900
    recorder.upgrade_phase("warming", "too slow")
    recorder.health_changed(backend, "left alone", "silent")
    recorder.plan_changed(
        PlanEffect(
            plan_id=PlanId(6, 12, "p1"),
            ejections={"s-2": 0, "s-1": 0},
            concurrency_limits={"s-1": 8.5},
            fill_limit=17.5,
        )
    )
    recorder.location_changed("hub", 9, 2, "lost", True)
    recorder.limit_changed(backend, 20.5, 14.25, 0.5)
    purge = discovery_events.Purge("00000000000000aa", 7, 1_699_999_999)
    recorder.discovery_event(discovery_events.DiscoveryEvent("purge", purge), 42)
    listed = discovery_events.EndpointEntry("s-00000001", ("10.0.0.1", 7001), 0, 0, 0, 1, 5.0, 0)
    removed = discovery_events.EndpointEntry("s-00000009", ("10.0.0.9", 7009), 1, 1, 4, 0, 1.5, 1_699_999_100)
    recorder.discovery_event(discovery_events.DiscoveryEvent("delta", [listed, removed]), 43)
    recorder.note(
        recorder.summary.finish_period(owner.monotonic_time + 10_000, recorder.backend_states(), 6.25)
    )
    out = [recorder.head, *map(records.decode, recorder.writer.queue.drain()[0])]
    unstable = ("number", "wall", "steady", "run", "version", "span")
    return [
        {key: value for key, value in lists(msgspec.to_builtins(one)).items() if key not in unstable}
        for one in out
    ]


def refusal_names() -> list[str]:
    """The counters of what is refused that are stored with each second's summary."""
    return list(REFUSED)


def end_names() -> Plain:
    """Every end of a connection or dispatch by the name that is stored and handed over, with its outcome."""
    return {end.name: OUTCOMES[end] for end in CloseReason if end in OUTCOMES}


# --- handover between processes ---

PAYLOADS: dict[int, Any] = {  # by the number of the kind of frame
    1: messages.UpgradeRequest,
    2: messages.PhaseReport,
    3: messages.Hello,
    4: messages.WarmUp,
    5: list[messages.ObjectPartState],
    7: int,
    8: messages.GatewayState,
    13: messages.ClientConnectionState,
    14: messages.Reason,
    17: messages.Reason,
    18: messages.FinalCounters,
    19: messages.StoreRecord,
    20: int,
}


def handover_values(data: bytes) -> list[list[Any]]:
    """Frames one after the other: of each the form's version, its kind's number, and its payload's values."""
    out = []
    while data:
        size = framing.HEADER.size
        kind, length, crc = framing.decode_header(data[:size])
        payload = framing.verify_payload(data[size : size + length], crc)
        value = framing.to_plain(framing.decode(payload, PAYLOADS[kind])) if kind in PAYLOADS else payload
        out.append([data[4], int(kind), lists(value)])
        data = data[size + length :]
    return out


def handover_kinds() -> list[int]:
    """The numbers of all kinds of frames."""
    return [int(kind) for kind in framing.MessageKind]


def handover_frame(kind: int, value: Any) -> bytes:
    """One frame of plain values; none or empty bytes for one without a payload."""
    if kind not in PAYLOADS:
        return framing.encode_frame(framing.MessageKind(kind))
    return framing.encode_frame(framing.MessageKind(kind), msgspec.convert(value, PAYLOADS[kind]))


def process_options() -> list[str]:
    """The options that one process of a gateway gives another."""
    return list(INTERNAL_OPTIONS)


class Idle:
    """A host of decisions that carries out none of them."""

    def __init__(self, time: int) -> None:
        self.time = time

    def now(self) -> int:
        """Tell the time."""
        return self.time

    def __getattr__(self, name: str) -> Any:
        return lambda *words: None


def _taken(state: messages.GatewayState, config: Plain) -> tuple[Router, list[Request], dict[str, Backend]]:
    """A router that goes on with a state's module, as the next process makes it."""
    router = Router(Idle(state.time), from_protocol(settings_validation.with_defaults(config)))
    backends = {one.name: Backend(one.name) for one in state.backends}
    rows = [
        Endpoint(backends[one.name], one.zone, one.kind, one.cell, one.status, one.capacity, one.started)
        for one in state.backends
    ]
    router.endpoints_changed("cached", rows)
    return router, snapshot.restore_state(router, framing.to_plain(state.router), backends), backends


def _state(data: bytes) -> messages.GatewayState:
    return framing.decode(data[framing.HEADER.size :], messages.GatewayState)


def state_frame(data: bytes, config: Plain) -> bytes:
    """A frame of a state, read, taken into a router, given again by that and written again."""
    state = _state(data)
    router, requests, _ = _taken(state, config)
    state.router = snapshot.export_state(router, requests, list(router.freshness.object_parts))  # type: ignore[assignment]
    return framing.encode_frame(framing.MessageKind.STATE, state)


def table_frame(data: bytes, config: Plain) -> bytes:
    """The frame of the table's entries of a state that was taken."""
    router, _, _ = _taken(_state(data), config)
    return framing.encode_frame(
        framing.MessageKind.OBJECT_PARTS,
        snapshot.export_object_parts(router, list(router.freshness.object_parts)),
    )


def learned_values(data: bytes, config: Plain, vhosts: list[str]) -> dict[str, list[Any]]:
    """The parts of the learned state that a store keeps of a state that was taken, by key: their values,
    and their bytes in hex."""
    router, _, _ = _taken(_state(data), config)
    parts = learned_state.split_parts(snapshot.export_state(router, (), ()), vhosts)
    return {key.decode(): [part, msgspec.msgpack.encode(part).hex()] for key, part in parts.items()}


def _limit(limit: AdaptiveLimit | None) -> Plain | None:
    if limit is None:
        return None
    return {
        "limit": limit.limit,
        "late": limit.late_share,
        "calm": limit.next_cut_at,
        "ended": limit.last_ended_at,
        "took": limit.last_duration,
        "count": limit.in_flight,
    }


def _backend(backend: Backend, requests: list[Request]) -> Plain:
    return {
        "zone": backend.zone,
        "kind": backend.kind,
        "cell": backend.cell,
        "status": backend.status,
        "size": backend.capacity,
        "started": backend.started,
        "way": _limit(backend.concurrency_limit),
        "load": backend.in_flight_load,
        "crowd": backend.reported_load,
        "holds": backend.saturation_in_flight,
        "asked": backend.health_checked_at,
        "heard": backend.last_answer_at,
        "strikes": backend.consecutive_failures,
        "late": backend.late_fill_share,
        "suspect": backend.ejected,
        "retry_at": backend.retry_at,
        "backoff": backend.backoff,
        "trial": None if backend.canary is None else requests.index(backend.canary),
        "budget": lists(backend.recent_work),
        "reqs": [requests.index(request) for request in backend.requests],
    }


def _object(object_part: ObjectPart) -> Plain:
    return {
        "marked": object_part.revalidated_at,
        "seen": object_part.request_count,
        "home": object_part.last_served_by and object_part.last_served_by.name,
        "filled": object_part.filled_at,
        "work": object_part.min_transfer_time,
    }


def _request(request: Request, router: Router) -> Plain:
    return {
        "key": request.key,
        "part": request.part,
        "group": request.purge_group,
        "kbytes": request.kbytes,
        "arrived": request.arrived_at,
        "until": request.deadline,
        "vhost": request.vhost,
        "tenant": request.tenant,
        "write": request.is_write,
        "repeat": request.is_client_retry,
        "send_by": request.send_by,
        "flowing": request.streaming,
        "out": request.in_flight,
        "tries": request.attempts,
        "be": request.backend and request.backend.name,
        "source": request.source and request.source.name,
        "sent": request.sent_at,
        "units": request.load_units,
        "work": request.transfer_time,
        "way": None
        if request.fill_limit is None
        else "link"
        if request.fill_limit is router.link_limit
        else "source",
        "fill": request.expects_fill,
        "first_ran": request.first_executed_at,
        "ran_at": request.first_executed_by and request.first_executed_by.name,
        "avoid": [backend.name for backend in request.failed_backends],
        "renew": request.revalidates,
        "rejoin": request.may_collapse,
        "looked": request.cache_only,
        "object": request.object_part is not None
        and request.object_part is router.freshness.object_parts[request.key, request.part],
    }


def state_taken(data: bytes, config: Plain) -> Plain:
    """What the decisions of the next process go on with, from a frame of a state."""
    router, requests, backends = _taken(_state(data), config)
    return {
        "router": {
            "late": router.outliers.late_share,
            "value": router.averages.value,
            "work": router.averages.transfer_time,
            "unit": router.averages.load,
            "arrivals": router.load_reports.request_count,
            "caught_up": router.lagging_until,
            "borne": router.slow_start.learned_capacity,
        },
        "vhosts": [
            {"work": vhost.mean_transfer_time, "usual": vhost.usual_answer_time}
            for vhost in router.virtual_hosts
        ],
        "link": _limit(router.link_limit),
        "bes": {name: _backend(backend, requests) for name, backend in backends.items()},
        "objs": [
            [*place, _object(object_part)] for place, object_part in router.freshness.object_parts.items()
        ],
        "purges": lists(list(router.freshness.purges.items())),
        "reqs": [_request(request, router) for request in requests],
        "due": [
            [when, requests.index(request), seq]
            for when, _, request, seq in sorted(router.deadlines.deadlines)
        ],
    }


def open_effects_values(kept: Plain, folder: Path, now: int, purge_done: int) -> Plain:
    """What a handover says of open effects, as the next process has taken it beside a store, and tells it
    again."""
    gate = DurabilityGate(Idle(now), _recovered(folder, now, purge_done))  # type: ignore[arg-type]
    durability_snapshot.restore(gate, framing.to_plain(msgspec.convert(kept, messages.StoreState)))
    told = durability_snapshot.export(gate)
    return lists(framing.to_plain(store_state(kept["folder"], told)))


def state_through_owner(data: bytes, config: Plain) -> tuple[Plain, bytes]:
    """A state that a whole gateway has taken, connections and all, and tells again: its values, and its frame
    with the moment of the frame that was taken. The gateway does not run; its sockets lead nowhere."""
    before = _state(data)
    owner = Gateway({**config, "listen": "127.0.0.1:0"}, is_successor=True)
    restorer, pairs = GatewayRestorer(owner), [socket.socketpair() for _ in range(before.descriptor_count)]
    try:
        restorer.restore(before, lambda number: pairs[number][0])
        after = export_gateway(owner, before.mode, list(owner.router.freshness.object_parts)).state
    finally:
        owner.downstream.sock.close()
        for one in (one for pair in pairs for one in pair):
            one.close()
    after.time, after.monotonic_time = before.time, before.monotonic_time
    return lists(framing.to_plain(after)), framing.encode_frame(framing.MessageKind.STATE, after)


# --- forwarders and planners ---


def _message(data: bytes) -> Any:
    size = plan_codec.HEAD.size
    assert plan_codec.message_length(data[:size]) == len(data) - size
    return plan_codec.decode_message(data[size:])


def plan_frames(data: bytes) -> list[bytes]:
    """Frames that follow one another."""
    out = []
    while data:
        end = plan_codec.HEAD.size + plan_codec.message_length(data[: plan_codec.HEAD.size])
        out.append(data[:end])
        data = data[end:]
    return out


def hello_values(data: bytes) -> Plain:
    """A hello, and the version that is spoken with who said it."""
    told = _message(data).hello
    return {
        "name": told.name,
        "role": told.role,
        "incarnation": told.incarnation,
        "newest": told.newest,
        "oldest": told.oldest,
        "agreed": plan_codec.negotiate_version(told),
    }


def hello_frame(plain: Plain) -> bytes:
    """The frame of a hello."""
    return plan_codec.encode_hello(plain["name"], plain["role"], plain["incarnation"])


def _name_values(name: PlanId) -> Plain:
    return {"epoch": name.epoch, "number": name.number, "planner": name.planner}


def _name(plain: Plain) -> PlanId:
    return PlanId(plain["epoch"], plain["number"], plain["planner"])


def _asks_values(asks: tuple[control_messages.QuotaRequest, ...]) -> list[Plain]:
    return [
        {"number": one.number, "be": one.backend, "part": one.share, "span": one.duration} for one in asks
    ]


def _asks(plain: list[Plain]) -> tuple[control_messages.QuotaRequest, ...]:
    return tuple(
        control_messages.QuotaRequest(one["number"], one["be"], one["part"], one["span"]) for one in plain
    )


def _given_values(given: tuple[control_messages.QuotaLease, ...]) -> list[Plain]:
    return [
        {"number": one.number, "be": one.backend, "part": one.share, "delay": one.delay, "span": one.duration}
        for one in given
    ]


def _given(plain: list[Plain]) -> tuple[control_messages.QuotaLease, ...]:
    return tuple(
        control_messages.QuotaLease(one["number"], one["be"], one["part"], one["delay"], one["span"])
        for one in plain
    )


def _sight_values(sight: Observation) -> Plain:
    return {
        "well": sight.in_time,
        "late": sight.late,
        "failed": sight.failed,
        "out": sight.in_flight,
        "alone": sight.is_ejected,
        "limit": sight.concurrency_limit,
        "streak": sight.failure_streak,
        "quiet": sight.silent_for,
        "unfilled": sight.missing_fills,
        "filled": sight.fills,
    }


def _sight(plain: Plain) -> Observation:
    return Observation(
        in_time=plain["well"],
        late=plain["late"],
        failed=plain["failed"],
        in_flight=plain["out"],
        is_ejected=plain["alone"],
        concurrency_limit=plain["limit"],
        failure_streak=plain["streak"],
        silent_for=plain["quiet"],
        missing_fills=plain["unfilled"],
        fills=plain["filled"],
    )


def summary_of_forwarder(data: bytes) -> Plain:
    """What a forwarder tells a planner, from its frame."""
    told = plan_codec.decode_report(_message(data).summary)
    return {
        "name": told.name,
        "incarnation": told.incarnation,
        "number": told.number,
        "zone": told.zone,
        "listed": told.list_version,
        "reqs": told.request_rate,
        "fills": told.fill_rates,
        "worth": told.values_per_kb,
        "sights": {backend: _sight_values(sight) for backend, sight in told.observations.items()},
        "cold": lists(told.cold_shares),
        "asks": _asks_values(told.quota_requests),
        "given": _given_values(told.quota_leases),
        "holds": _name_values(told.plan_id),
        "leaves": told.is_leaving,
        "asked": told.requested_rate,
        "past": told.uncached_rate,
        "tallies": {
            zone: {"well": one.on_time, "late": one.late, "failed": one.failed, "hits": one.cache_hits}
            for zone, one in told.tallies.items()
        },
        "left": lists(told.location_states),
    }


def summary_frame(plain: Plain) -> bytes:
    """The frame of a forwarder's summary."""
    return plan_codec.encode_report(
        control_messages.LoadReport(
            name=plain["name"],
            incarnation=plain["incarnation"],
            number=plain["number"],
            zone=plain["zone"],
            list_version=plain["listed"],
            request_rate=plain["reqs"],
            fill_rates=plain["fills"],
            values_per_kb=plain["worth"],
            observations={backend: _sight(one) for backend, one in plain["sights"].items()},
            cold_shares={backend: (own, used) for backend, (own, used) in plain["cold"].items()},
            quota_requests=_asks(plain["asks"]),
            quota_leases=_given(plain["given"]),
            plan_id=_name(plain["holds"]),
            is_leaving=plain["leaves"],
            requested_rate=plain["asked"],
            uncached_rate=plain["past"],
            tallies={
                zone: OutcomeCounts(one["well"], one["late"], one["failed"], one["hits"])
                for zone, one in plain["tallies"].items()
            },
            location_states={
                zone: FailoverStatus(back, fails) for zone, (back, fails) in plain["left"].items()
            },
        )
    )


def _zone_values(told: FailoverDirective) -> Plain:
    return {
        "back": told.returned_slices,
        "fails": told.failed_returns,
        "rate": told.slices_per_second,
        "trial": told.canary_gateway,
        "why": told.reason,
        "to": lists(told.substitutes),
    }


def _zone(plain: Plain) -> FailoverDirective:
    to = tuple(ZoneWeight(zone, part) for zone, part in plain["to"])
    return FailoverDirective(plain["back"], plain["fails"], plain["rate"], plain["trial"], plain["why"], to)


def _plan_values(plan: control_messages.Plan) -> Plain:
    return {
        "name": _name_values(plan.plan_id),
        "listed": plan.list_version,
        "out": plan.ejections,
        "trials": plan.canary_gateways,
        "ways": plan.concurrency_limits,
        "links": plan.fill_limits,
        "parts": plan.gateway_shares,
        "renews": lists(plan.revalidation_order),
        "zones": {zone: _zone_values(one) for zone, one in plan.locations.items()},
    }


def _plan(plain: Plain) -> control_messages.Plan:
    return control_messages.Plan(
        plan_id=_name(plain["name"]),
        list_version=plain["listed"],
        ejections=plain["out"],
        canary_gateways=plain["trials"],
        concurrency_limits=plain["ways"],
        fill_limits=plain["links"],
        gateway_shares=plain["parts"],
        revalidation_order={zone: tuple(names) for zone, names in plain["renews"].items()},
        locations={zone: _zone(one) for zone, one in plain["zones"].items()},
    )


def reply_values(data: bytes, before: Plain | None = None) -> Plain:
    """What a planner answers, from its frame; `applied` is the plan that its delta makes of the plan
    `before`."""
    told = plan_codec.decode_reply(_message(data).reply)
    delta = told.delta
    applied = control_messages.apply_delta(_plan(before), delta) if before and delta else None
    return {
        "planner": told.planner,
        "incarnation": told.incarnation,
        "number": told.number,
        "span": told.duration,
        "plan": told.plan and _plan_values(told.plan),
        "delta": delta
        and {
            "since": _name_values(delta.base),
            "name": _name_values(delta.plan_id),
            "listed": delta.list_version,
        },
        "applied": applied and _plan_values(applied),
        "asks": _asks_values(told.quota_requests),
        "given": _given_values(told.quota_leases),
        "whole": told.is_first,
    }


def reply_frame(plain: Plain, before: Plain | None = None) -> bytes:
    """The frame of a planner's reply: with its plan, or with what `applied` changes of the plan `before`."""
    return plan_codec.encode_reply(
        control_messages.PlanReply(
            planner=plain["planner"],
            incarnation=plain["incarnation"],
            number=plain["number"],
            duration=plain["span"],
            plan=_plan(plain["plan"]) if plain["plan"] else None,
            delta=control_messages.diff(_plan(before), _plan(plain["applied"])) if before else None,
            quota_requests=_asks(plain["asks"]),
            quota_leases=_given(plain["given"]),
            is_first=plain["whole"],
        )
    )


def word_values(data: bytes) -> Plain:
    """What a planner tells another, from its frame."""
    told = plan_codec.decode_gossip(_message(data).word)
    return {
        "name": told.name,
        "incarnation": told.incarnation,
        "epoch": told.epoch,
        "seen": told.highest_epoch,
        "rows": lists(told.members),
    }


def word_frame(plain: Plain) -> bytes:
    """The frame of a planner's word to another."""
    rows = tuple(MemberRow(*row) for row in plain["rows"])
    return plan_codec.encode_gossip(
        control_messages.GossipMessage(
            plain["name"], plain["incarnation"], plain["epoch"], plain["seen"], rows
        )
    )


def show_values(data: bytes) -> str:
    """What somebody wants to be shown, from its frame."""
    return str(_message(data).show.what)


def show_frame(what: str) -> bytes:
    """The frame that asks for something to be shown."""
    return plan_codec.encode_query(what)


def shown_values(data: bytes) -> list[str]:
    """The lines shown, from their frame."""
    return list(_message(data).shown.lines)


def shown_frame(lines: list[str]) -> bytes:
    """The frame of lines that are shown."""
    return plan_codec.encode_answer(lines)


# --- settings ---


def platform_values(path: Path) -> Plain:
    """The settings in a platform's configuration with what stands in for those left out, by the operators'
    names without the unit; spans in tenths of a millisecond. Raises ValueError where it cannot be used."""
    config = json.loads(path.read_text())
    settings_validation.check_configuration(config)
    found = from_protocol(settings_validation.with_defaults(config["settings"]))
    family, rules, limits = found["family"], found["rules"], found["limits"]
    return {
        "balancers": found["gateways"],
        "discovery": found["discovery"],
        "granularity": found["granularity"],
        "zone": found["zone"],
        "zones": found["zones"],
        "kinds": found["kinds"],
        "weightSource": found["weight_source"],
        "slotNo": found["slot_no"],
        "classes": [
            {
                "name": vhost["name"],
                "promise": vhost["first_byte_target"],
                "deadline": vhost["client_timeout"],
                "gain": vhost["value"],
                "repeat": vhost["effect"],
                "aimStretch": vhost["aim_stretch"],
                "dedupScope": vhost["repeat_group"],
                "repeatWindow": vhost["repeat_window"],
            }
            for vhost in found["vhosts"]
        ],
        "stats": {"names": found["stats"]["names"]},
        "familyInfo": {
            "zoneBalancers": family["zone_gateways"],
            "parentKind": family["parent_kind"],
            "sourceKind": family["source_kind"],
            "paceKbPerS": family["pace_kb_per_s"],
            "feedKbPerS": family["feed_kb_per_s"],
            "passThroughOk": family["pass_through_ok"],
            "joins": family["joins"],
            "purgeDone": family["purge_done"],
            "parentFloor": family["parent_floor"],
            "parentWarmsIn": family["parent_warms_in"],
            "parentBreaksAt": family["parent_breaks_at"],
            "freshFor": family["fresh"],
            "staleFor": family["grace"],
            "passOn": family["uncacheable"],
        },
        "obligations": {
            "answerSlack": rules["answer_slack"],
            "startCapacity": rules["start_capacity"],
            "cold": rules["cold"],
            "tipMultiple": rules["tip_multiple"],
            "fall": rules["fall"],
        },
        "limits": {
            "maxAttempts": limits["max_dispatches"],
            "cancel": limits["cancel"],
            "probes": limits["probes"],
            "retryAfter": limits["retry_after"],
            "maxRetryAfter": limits["max_retry_after"],
            "streamsPerConn": limits["streams_per_conn"],
            "connectTimeout": limits["connect_timeout"],
            "keepalive": limits["keepalive"],
        },
    }


def platform_events(path: Path) -> list[Any]:
    """The events of the change log that a platform's configuration holds: number, what, and its rows."""
    config = json.loads(path.read_text())
    zones, names = config["settings"]["zones"], config["settings"]["kinds"]
    return lists(list(discovery_events.events_of_config(config["known"]["results"], zones, names)))


def log_event(number: int, kind: int, payload: bytes) -> list[Any]:
    """One event of the change log, from its frame: what, and its rows."""
    return lists(discovery_events.decode_event(number, kind, payload))


def operators_values(path: Path) -> Plain:
    """The operators' settings in a file, by their names; paths count from the folder of the file."""
    return lists(load(str(path)))
