"""Polling of sockets."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterable

from lilacloft.net import socket_errors


def poll_events(
    sock: socket.socket, events: int, milliseconds: int | None = 0, unknown: int = select.POLLIN
) -> int:
    """Return the bits of `events` that are pending on a socket, within a timeout (None: no timeout).

    Returns `unknown` after a transient error of the poll. Raises ValueError if the socket's descriptor is
    closed, and OSError if the poll failed permanently."""
    poller = select.poll()
    poller.register(sock, events)
    try:
        found = poller.poll(milliseconds)
    except OSError as error:
        if not socket_errors.is_transient(error):
            raise
        return unknown
    return found[0][1] if found else 0


def any_readable(socks: Iterable[socket.socket]) -> bool:
    """Return whether any of these sockets has input, an end of input or an error: one system call for all.
    False if that fails."""
    poller = select.poll()
    for sock in socks:
        if (descriptor := sock.fileno()) >= 0:  # negative: closed
            poller.register(descriptor, select.POLLIN)
    try:
        return bool(poller.poll(0))
    except OSError:
        return False
