"""The kernel's information on a TCP connection: fields of `struct tcp_info` (tcp(7)).

Read-only. A field that the kernel does not provide is 0.
"""

from __future__ import annotations

import socket
import struct

TCP_INFO_SIZE = 136  # bytes of the structure as filled by Linux 4.6 and later
MILLISECONDS_PER_SECOND = 1000.0
LAST_DATA_SENT = struct.Struct("@44xI")  # `tcpi_last_data_sent`, in milliseconds
LAST_DATA_RECEIVED = struct.Struct("@52xI")  # `tcpi_last_data_recv`, in milliseconds
BYTES_RECEIVED = struct.Struct("@128xQ")  # `tcpi_bytes_received`


def _field(sock: socket.socket, field: struct.Struct) -> int:
    """Return one field; 0 if the kernel does not provide it."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        value: int = field.unpack_from(data)[0]
    except (OSError, struct.error):
        return 0
    return value


def since_last_data(sock: socket.socket) -> float:
    """Return the seconds since the last byte was received; 0.0: unknown."""
    return _field(sock, LAST_DATA_RECEIVED) / MILLISECONDS_PER_SECOND


def since_opened(sock: socket.socket) -> float:
    """Return the seconds since an accepted connection was established, provided that nothing was sent on it
    yet: Linux initialises the time of the last send to then (`tcp_create_openreq_child`). 0.0: unknown."""
    return _field(sock, LAST_DATA_SENT) / MILLISECONDS_PER_SECOND


def bytes_received(sock: socket.socket) -> int:
    """Return the number of bytes received on the connection, read or not; 0: unknown."""
    return _field(sock, BYTES_RECEIVED)
