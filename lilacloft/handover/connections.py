"""Lists the connections of a gateway, and tells which of them have no request on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.upstream_pool import UpstreamConnection

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway


def is_idle(client: ClientConnection) -> bool:
    """Return whether a client's connection has no open request, unsettled answer or partial message."""
    return not (
        client.open
        or client.buffer.has_partial()
        or client.unsent_bytes()
        or client.state is not ConnectionState.OPEN
        or client.taken > client.settled
        or client.close_reason is not None
    )


def is_idle_upstream(upstream: UpstreamConnection) -> bool:
    """Return whether a connection to a backend has no attempt in flight and no partial message."""
    return not (upstream.in_flight or upstream.buffer.has_partial() or upstream.unsent_bytes())


def backend_connections(gateway: Gateway) -> list[UpstreamConnection]:
    """Return all connections to backends, including unlisted backends with attempts in flight."""
    found = dict.fromkeys(
        upstream for pool in gateway.upstream.pools.values() for upstream in pool.connections
    )
    for client_request in gateway.open_requests.values():
        if client_request.attempt and client_request.attempt.connection:
            found[client_request.attempt.connection] = None
    return list(found)


def all_connections(gateway: Gateway) -> list[Connection]:
    """Return all client and backend connections."""
    clients = list(gateway.downstream.clients)  # a copy, because other threads add to it
    return [*clients, *backend_connections(gateway)]


def is_unreadable_client(conn: Connection) -> bool:
    """Return whether a connection belongs to a client that has sent malformed data."""
    return isinstance(conn, ClientConnection) and conn.state is ConnectionState.UNREADABLE
