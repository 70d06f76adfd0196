"""Reads an exact number of bytes from blocking connections."""

from __future__ import annotations

import socket
import time
from typing import BinaryIO


def read_exactly(stream: BinaryIO, count: int) -> bytes:
    """Return `count` bytes of a connection's stream. Raises ConnectionResetError if it ends before that."""
    data = stream.read(count)
    if len(data) < count:
        raise ConnectionResetError("connection closed by the peer")
    return data


def read_before(sock: socket.socket, count: int, deadline: float) -> bytes:
    """Return `count` bytes of a connection, all received by a deadline in monotonic seconds, which a peer
    that sends byte by byte does not extend.

    Raises ConnectionResetError if the connection ends before that, TimeoutError at the deadline.
    """
    data = bytearray()
    while len(data) < count:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("no data received within the deadline")
        sock.settimeout(remaining)
        chunk = sock.recv(count - len(data))
        if not chunk:
            raise ConnectionResetError("connection closed by the peer")
        data += chunk
    return bytes(data)
