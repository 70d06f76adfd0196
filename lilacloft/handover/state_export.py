"""Exports the state of a quiesced gateway for the process that takes over.

The connections have been quiesced (lilacloft/handover/quiesce.py). They are not read, written or closed here:
the state refers to them by index, and the caller sends the descriptors. The state of the router is exported
by `lilacloft.routing.snapshot`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from lilacloft.handover import messages
from lilacloft.handover.connections import backend_connections, is_idle, is_idle_upstream
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

# Values that are transferred unchanged: attribute of the gateway's object by field of the message.
CLIENT_ATTRIBUTES = {
    "message_count": "message_count",
    "useless_message_count": "useless_message_count",
    "request_count": "taken",
    "settled_request_count": "settled",
    "last_used_at": "used",
    "write_progress": "write_progress",
}
REQUEST_ATTRIBUTES = {
    "tag": "tag",
    "name": "name",
    "vhost": "vhost",
    "key": "key",
    "part": "part",
    "purge_group": "group",
    "kbytes": "kbytes",
    "timeout_ms": "timeout_ms",
    "received_at": "at",
    "idempotency_key": "idempotency_key",
    "cached_version": "cached_version",
    "body": "body",
}
NO_CONNECTION = -1  # index of a connection that has ended


@dataclass(frozen=True)
class ExportedGateway:
    """The state of a gateway, and the transferred connections in the order of their descriptors."""

    state: messages.GatewayState
    connections: list[Connection]


@dataclass(frozen=True)
class _Selection:
    """The connections and requests that are transferred, with their indices."""

    descriptors: dict[Connection, int]
    clients: list[ClientConnection]
    upstreams: dict[UpstreamConnection, int]
    client_requests: dict[ClientRequest, int]


def export_gateway(gateway: Gateway, mode: str, part_keys: Iterable[PartKey]) -> ExportedGateway:
    """Export a quiesced gateway.

    `mode`: WHOLE exports all connections that can be transferred and their requests, DRAIN only idle
    connections. `part_keys`: the object parts to export in addition to those of open requests.
    """
    selected = _select(gateway, mode == HandoverMode.WHOLE)
    client_requests = list(selected.client_requests)
    part_keys = dict.fromkeys(part_keys)
    part_keys.update(((client_request.key, client_request.part), None) for client_request in client_requests)
    state = messages.GatewayState(
        mode=mode,
        time=gateway.time,
        monotonic_time=gateway.monotonic_time,
        vhosts=[vhost["name"] for vhost in gateway.vhosts],
        last_event=gateway.discovery_watch.last,
        backends=list(export_backends(gateway)),
        clock_offset=_export_clock_offset(gateway),
        router=export_state(
            gateway.router, [client_request.request for client_request in client_requests], part_keys
        ),
        counts=export_counters(gateway),
        health_check_count=gateway.upstream.checks,
        clients=[export_client(client, selected.descriptors[client]) for client in selected.clients],
        backend_connections=[
            _export_backend_connection(upstream, selected.descriptors[upstream])
            for upstream in selected.upstreams
        ],
        requests=[_export_request(client_request, selected) for client_request in client_requests],
        attempts=list(_export_attempts(gateway, selected)) if mode == HandoverMode.WHOLE else [],
        descriptor_count=len(selected.descriptors) + bool(gateway.store),
        store=_export_store(gateway, client_requests),
    )
    return ExportedGateway(state, list(selected.descriptors))


def export_backends(gateway: Gateway) -> Iterator[messages.ListedBackend]:
    """Export the endpoint list, including unlisted backends that still have attempts in flight."""
    for name, backend in gateway.backends.items():
        pool = gateway.upstream.pools.get(backend)
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
    """Export a client's connection. `descriptor`: the index of its descriptor."""
    own = {field: getattr(client, attribute) for field, attribute in CLIENT_ATTRIBUTES.items()}
    return messages.ClientConnectionState(**_export_connection(client, descriptor), **own)


def _select(gateway: Gateway, is_whole: bool) -> _Selection:
    """Select the connections and requests to transfer: all of them, or only idle connections."""
    clients = [
        client
        for client in gateway.downstream.clients
        if client.state is not ConnectionState.UNREADABLE and (is_whole or is_idle(client))
    ]
    upstreams = [
        upstream
        for upstream in backend_connections(gateway)
        if upstream.state is not ConnectionState.CONNECTING and (is_whole or is_idle_upstream(upstream))
    ]
    descriptors = _indices([*clients, *upstreams])
    client_requests = (
        [
            client_request
            for client_request in gateway.open_requests.values()
            if client_request.client in descriptors
        ]
        if is_whole
        else []
    )
    return _Selection(descriptors, clients, _indices(upstreams), _indices(client_requests))


def _indices(items: Iterable[Item]) -> dict[Item, int]:
    return {item: index for index, item in enumerate(items)}


def _export_connection(conn: Connection, descriptor: int) -> dict[str, Any]:
    """Return the fields that all connections have in common."""
    return {
        "descriptor": descriptor,
        "partial_message": conn.buffer.unread(),
        "unsent": [(pending.position, bytes(pending.unsent)) for pending in conn.backlog],
        "queued_bytes": conn.queued,
        "written_bytes": conn.written,
        "last_read_at": conn.last_input_at,
        "message_began_at": conn.message_started_at,
        "consumed_bytes": conn.passed_on,
    }


def _export_backend_connection(
    upstream: UpstreamConnection, descriptor: int
) -> messages.BackendConnectionState:
    host, port = upstream.pool.address
    return messages.BackendConnectionState(
        backend=upstream.pool.backend.name,
        host=host,
        port=port,
        backend_started=upstream.pool.backend_started,
        last_answer_at=upstream.last_read_at,
        last_used_at=upstream.last_used_at,
        created_at=upstream.created_at,
        is_retired=upstream.retiring,
        **_export_connection(upstream, descriptor),
    )


def _export_request(client_request: ClientRequest, selected: _Selection) -> messages.ClientRequestState:
    return messages.ClientRequestState(
        client=selected.descriptors[client_request.client],
        is_open=client_request.client.open.get(client_request.tag) is client_request,
        connections=[
            selected.upstreams.get(upstream, NO_CONNECTION) for upstream in client_request.connections
        ],
        **{field: getattr(client_request, attribute) for field, attribute in REQUEST_ATTRIBUTES.items()},
    )


@dataclass(frozen=True)
class _AttemptTimers:
    """The gateway's timers for attempts: their deadlines, and ends that are reported later."""

    deadlines: dict[Attempt, Ticks]
    pending_ends: dict[Attempt, tuple[str, Ticks]]  # name of the end, and when it is reported

    @classmethod
    def of(cls, gateway: Gateway) -> _AttemptTimers:
        """Collect the timers of a gateway's attempts."""
        found = cls({}, {})
        for timer in gateway.timers:
            if timer.callback == gateway.attempt_timed_out:
                found.deadlines[timer.arguments[0]] = timer.at
            elif timer.callback == gateway.attempt_ended:
                found.pending_ends[timer.arguments[0]] = (timer.arguments[1].name, timer.at)
        return found


def _export_attempts(gateway: Gateway, selected: _Selection) -> Iterator[messages.AttemptState]:
    """Export the attempts of transferred requests, and the health checks on transferred connections."""
    timers = _AttemptTimers.of(gateway)
    withdrawn = set(gateway.store.withdrawn) if gateway.store else ()  # waiting for the store: sent again
    attempts = [
        client_request.attempt
        for client_request in selected.client_requests
        if client_request.attempt is not None
    ]
    attempts += [
        attempt
        for upstream in selected.upstreams
        for attempt in upstream.in_flight.values()
        if attempt.client_request is None
    ]
    for attempt in attempts:
        if attempt.connection is None and attempt not in timers.pending_ends and attempt not in withdrawn:
            continue  # its end was reported in this iteration of the event loop
        yield messages.AttemptState(
            request=selected.client_requests.get(attempt.client_request) if attempt.client_request else None,
            backend=attempt.backend.name,
            seq=attempt.seq,
            name=attempt.name,
            data=attempt.data,
            sent_at=attempt.at,
            connection=selected.upstreams.get(attempt.connection) if attempt.connection else None,
            stream_end=attempt.position,
            deadline=timers.deadlines.get(attempt),
            pending_end=timers.pending_ends.get(attempt),
        )


def _export_clock_offset(gateway: Gateway) -> messages.ClockOffsetState:
    clock_offset = gateway.clock_offset
    starts = {
        name: (start.stamp, start.local_time, start.correctable)
        for name, start in clock_offset.starts.items()
    }
    return messages.ClockOffsetState(clock_offset.min_lag, clock_offset.learned_at, starts)


def _export_store(gateway: Gateway, client_requests: Iterable[ClientRequest]) -> messages.StoreState | None:
    """Export the state of the store's writer; None if the gateway has no store."""
    if gateway.store is None:
        return None
    exported = gateway.store.export_state(
        {client_request.name: client_request for client_request in client_requests}
    )
    return store_state(gateway.store.path, exported)


def store_state(folder: str, exported: Mapping[str, Any]) -> messages.StoreState:
    """Return the message for what the store's writer exports, a map by wire names."""
    return msgspec.convert({"folder": folder, **exported}, messages.StoreState)
