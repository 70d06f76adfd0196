"""Which connections of a gateway there are, and which of them can be transferred by themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.upstream_pool import UpstreamConnection

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway


def is_idle(client: ClientConnection) -> bool:
    """Return whether nothing is open, half read or half written on a client's connection."""
    return not (
        client.open
        or client.buffer.has_partial()
        or client.unsent_bytes()
        or client.state is not ConnectionState.OPEN
        or client.taken > client.settled
        or client.close_reason is not None
    )


def carries_nothing(line: UpstreamConnection) -> bool:
    """Return whether nothing is in flight, half read or half written on a connection to a backend."""
    return not (line.in_flight or line.buffer.has_partial() or line.unsent_bytes())


def backend_connections(gateway: Gateway) -> list[UpstreamConnection]:
    """Return all connections to backends, also to unlisted ones that still answer something."""
    found = dict.fromkeys(line for pool in gateway.back.pools.values() for line in pool.connections)
    for call in gateway.open_requests.values():
        if call.attempt and call.attempt.connection:
            found[call.attempt.connection] = None
    return list(found)


def all_connections(gateway: Gateway) -> list[Connection]:
    """Return all connections of clients and to backends."""
    clients = list(gateway.front.clients)  # a copy at once: other threads add to it
    return [*clients, *backend_connections(gateway)]


def is_unreadable_client(conn: Connection) -> bool:
    """Return whether a connection is a client's that has sent malformed data."""
    return isinstance(conn, ClientConnection) and conn.state is ConnectionState.UNREADABLE
