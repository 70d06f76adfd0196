"""Exports the state of a gateway at rest for the process that continues with it.

The connections are at rest (lilacloft/handover/quiesce.py). Nothing is read, written or closed: connections
are numbers in the state, and the caller sends the descriptors. What the decisions continue with is exported
by `lilacloft.routing.snapshot`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from lilacloft.handover import messages
from lilacloft.handover.connections import backend_connections, carries_nothing, is_idle
from lilacloft.handover.counters import export_counters
from lilacloft.handover.phases import HandoverMode
from lilacloft.net.attempt import Attempt
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.upstream_pool import UpstreamConnection
from lilacloft.routing.model import PartKey
from lilacloft.routing.snapshot import export_state
from lilacloft.routing.units import Ticks

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

Item = TypeVar("Item")

# What goes over as it is: by field of the message, the attribute of the gateway's own object.
CLIENT_ATTRIBUTES = {
    "message_count": "said",
    "useless_message_count": "offences",
    "request_count": "taken",
    "settled_request_count": "settled",
    "last_used_at": "used",
    "write_progress": "moved",
}
REQUEST_ATTRIBUTES = {
    "tag": "tag",
    "name": "name",
    "vhost": "vhost",
    "key": "key",
    "part": "part",
    "purge_group": "group",
    "kbytes": "kbytes",
    "timeout_ms": "allow",
    "received_at": "at",
    "idempotency_key": "replay",
    "cached_version": "got",
    "body": "body",
}
NO_CONNECTION = -1  # index of a connection that has ended


@dataclass(frozen=True)
class ExportedGateway:
    """The state of a gateway, and the connections that go over in the order of their descriptors."""

    state: messages.GatewayState
    connections: list[Connection]


@dataclass(frozen=True)
class _Selection:
    """What goes over, each with its index."""

    descriptors: dict[Connection, int]
    clients: list[ClientConnection]
    lines: dict[UpstreamConnection, int]
    calls: dict[ClientRequest, int]


def export_gateway(gateway: Gateway, mode: str, part_keys: Iterable[PartKey]) -> ExportedGateway:
    """Export a gateway at rest.

    `mode`: in WHOLE all that can go over does, in DRAIN the connections on which nothing is open.
    `part_keys`: the object parts that go over besides those of open requests.
    """
    selected = _select(gateway, mode == HandoverMode.WHOLE)
    calls = list(selected.calls)
    part_keys = dict.fromkeys(part_keys)
    part_keys.update(((call.key, call.part), None) for call in calls)
    state = messages.GatewayState(
        mode=mode,
        time=gateway.time,
        monotonic_time=gateway.monotonic_time,
        vhosts=[vhost["name"] for vhost in gateway.vhosts],
        last_event=gateway.feed.last,
        backends=list(export_backends(gateway)),
        clock_offset=_export_clock_offset(gateway),
        router=export_state(gateway.router, [call.request for call in calls], part_keys),
        counts=export_counters(gateway),
        health_check_count=gateway.back.checks,
        clients=[export_client(client, selected.descriptors[client]) for client in selected.clients],
        backend_connections=[
            _export_backend_connection(line, selected.descriptors[line]) for line in selected.lines
        ],
        requests=[_export_request(call, selected) for call in calls],
        attempts=list(_export_attempts(gateway, selected)) if mode == HandoverMode.WHOLE else [],
        descriptor_count=len(selected.descriptors) + bool(gateway.store),
        store=_export_store(gateway, calls),
    )
    return ExportedGateway(state, list(selected.descriptors))


def export_backends(gateway: Gateway) -> Iterator[messages.ListedBackend]:
    """Export the endpoint list, with backends that are not listed any more but have something in flight."""
    for name, backend in gateway.backends.items():
        pool = gateway.back.pools.get(backend)
        host, port = pool.address if pool else ("", 0)
        yield messages.ListedBackend(
            name,
            host,
            port,
            backend.zone,
            backend.kind,
            backend.cell,
            backend.status,
            backend.capacity,
            backend.started,
        )


def export_client(client: ClientConnection, descriptor: int) -> messages.ClientConnectionState:
    """Export a client's connection. `descriptor`: its index among the descriptors."""
    own = {field: getattr(client, attribute) for field, attribute in CLIENT_ATTRIBUTES.items()}
    return messages.ClientConnectionState(**_export_connection(client, descriptor), **own)


def _select(gateway: Gateway, is_whole: bool) -> _Selection:
    """Select what goes over; unless all of it does, connections on which nothing is open."""
    clients = [
        client
        for client in gateway.front.clients
        if client.state is not ConnectionState.UNREADABLE and (is_whole or is_idle(client))
    ]
    lines = [
        line
        for line in backend_connections(gateway)
        if line.state is not ConnectionState.CONNECTING and (is_whole or carries_nothing(line))
    ]
    descriptors = _indices([*clients, *lines])
    calls = (
        [call for call in gateway.open_requests.values() if call.client in descriptors] if is_whole else []
    )
    return _Selection(descriptors, clients, _indices(lines), _indices(calls))


def _indices(items: Iterable[Item]) -> dict[Item, int]:
    return {item: index for index, item in enumerate(items)}


def _export_connection(conn: Connection, descriptor: int) -> dict[str, Any]:
    """Return the fields of a ConnectionState."""
    return {
        "descriptor": descriptor,
        "partial_message": conn.buffer.unread(),
        "unsent": [(waiting.position, bytes(waiting.unsent)) for waiting in conn.backlog],
        "queued_bytes": conn.queued,
        "written_bytes": conn.written,
        "last_read_at": conn.last_input_at,
        "message_began_at": conn.message_started_at,
        "consumed_bytes": conn.passed_on,
    }


def _export_backend_connection(line: UpstreamConnection, descriptor: int) -> messages.BackendConnectionState:
    host, port = line.pool.address
    return messages.BackendConnectionState(
        backend=line.pool.backend.name,
        host=host,
        port=port,
        backend_started=line.pool.backend_started,
        last_answer_at=line.last_read_at,
        last_used_at=line.last_used_at,
        created_at=line.created_at,
        is_retired=line.retiring,
        **_export_connection(line, descriptor),
    )


def _export_request(call: ClientRequest, selected: _Selection) -> messages.ClientRequestState:
    return messages.ClientRequestState(
        client=selected.descriptors[call.client],
        is_open=call.client.open.get(call.tag) is call,
        connections=[selected.lines.get(line, NO_CONNECTION) for line in call.connections],
        **{field: getattr(call, attribute) for field, attribute in REQUEST_ATTRIBUTES.items()},
    )


@dataclass(frozen=True)
class _AttemptTimers:
    """What the gateway's timers will do with attempts."""

    deadlines: dict[Attempt, Ticks]
    pending_ends: dict[Attempt, tuple[str, Ticks]]  # name of the end, and when it is reported

    @classmethod
    def of(cls, gateway: Gateway) -> _AttemptTimers:
        """Read a gateway's timers."""
        found = cls({}, {})
        for timer in gateway.timers:
            if timer.callback == gateway.attempt_timed_out:
                found.deadlines[timer.arguments[0]] = timer.at
            elif timer.callback == gateway.attempt_ended:
                found.pending_ends[timer.arguments[0]] = (timer.arguments[1].name, timer.at)
        return found


def _export_attempts(gateway: Gateway, selected: _Selection) -> Iterator[messages.AttemptState]:
    """Export attempts of the requests that go over, and health checks on the connections that do."""
    timers = _AttemptTimers.of(gateway)
    held = set(gateway.store.withdrawn) if gateway.store else ()  # wait for the store, and are sent again
    in_flight = [call.attempt for call in selected.calls if call.attempt is not None]
    in_flight += [sent for line in selected.lines for sent in line.in_flight.values() if sent.call is None]
    for sent in in_flight:
        if sent.connection is None and sent not in timers.pending_ends and sent not in held:
            continue  # its end was reported in this very turn
        yield messages.AttemptState(
            request=selected.calls.get(sent.call) if sent.call else None,
            backend=sent.backend.name,
            seq=sent.seq,
            name=sent.name,
            data=sent.data,
            sent_at=sent.at,
            connection=selected.lines.get(sent.connection) if sent.connection else None,
            stream_end=sent.position,
            deadline=timers.deadlines.get(sent),
            pending_end=timers.pending_ends.get(sent),
        )


def _export_clock_offset(gateway: Gateway) -> messages.ClockOffsetState:
    clock_offset = gateway.clock_offset
    starts = {
        name: (start.stamp, start.local_time, start.correctable)
        for name, start in clock_offset.starts.items()
    }
    return messages.ClockOffsetState(clock_offset.min_lag, clock_offset.learned_at, starts)


def _export_store(gateway: Gateway, calls: Iterable[ClientRequest]) -> messages.StoreState | None:
    """Export what the store's writer continues with; None if the gateway has no store."""
    if gateway.store is None:
        return None
    exported = gateway.store.export_state({call.name: call for call in calls})
    return store_state(gateway.store.path, exported)


def store_state(folder: str, exported: Mapping[str, Any]) -> messages.StoreState:
    """Return the message of what the store's keeper exports, a map by the names on the wire."""
    return msgspec.convert({"folder": folder, **exported}, messages.StoreState)
