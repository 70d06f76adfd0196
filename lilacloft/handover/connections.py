"""Which connections of a gateway there are, and which of them can be transferred by themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lilacloft.net.back import Line
from lilacloft.net.conn import Conn, State
from lilacloft.net.front import Client

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway


def is_idle(client: Client) -> bool:
    """Return whether nothing is open, half read or half written on a client's connection."""
    return not (
        client.open
        or client.buffer.has_partial()
        or client.waits()
        or client.state is not State.OPEN
        or client.taken > client.settled
        or client.end is not None
    )


def carries_nothing(line: Line) -> bool:
    """Return whether nothing is in flight, half read or half written on a connection to a backend."""
    return not (line.out or line.buffer.has_partial() or line.waits())


def backend_connections(gateway: Gateway) -> list[Line]:
    """Return all connections to backends, also to unlisted ones that still answer something."""
    found = dict.fromkeys(line for pool in gateway.back.pools.values() for line in pool.lines)
    for call in gateway.open_requests.values():
        if call.sent and call.sent.conn:
            found[call.sent.conn] = None
    return list(found)


def all_connections(gateway: Gateway) -> list[Conn]:
    """Return all connections of clients and to backends."""
    clients = list(gateway.front.clients)  # a copy at once: other threads add to it
    return [*clients, *backend_connections(gateway)]


def is_unreadable_client(conn: Conn) -> bool:
    """Return whether a connection is a client's that has sent malformed data."""
    return isinstance(conn, Client) and conn.state is State.UNREADABLE
