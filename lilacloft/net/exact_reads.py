"""Reads of an exact number of bytes from blocking connections."""

from __future__ import annotations

import socket
import time
from typing import BinaryIO


def read_exactly(stream: BinaryIO, count: int) -> bytes:
    """Return `count` bytes of a connection's stream. Raises ConnectionResetError where it ends before."""
    data = stream.read(count)
    if len(data) < count:
        raise ConnectionResetError("closed")
    return data


def read_before(sock: socket.socket, count: int, deadline: float) -> bytes:
    """Return `count` bytes of a connection, which are all there by a deadline in monotonic seconds: a peer
    that sends byte by byte does not extend it.

    Raises ConnectionResetError where the connection ends before, TimeoutError at the deadline.
    """
    data = bytearray()
    while len(data) < count:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("silent")
        sock.settimeout(remaining)
        piece = sock.recv(count - len(data))
        if not piece:
            raise ConnectionResetError("closed")
        data += piece
    return bytes(data)
