"""What the kernel knows of a TCP connection: fields of `struct tcp_info` (tcp(7)).

Reads only. A kernel that does not provide a field is no error: the field is 0.
"""

from __future__ import annotations

import socket
import struct

TCP_INFO_SIZE = 136  # bytes of the structure that kernels since Linux 4.6 fill
MILLISECONDS_PER_SECOND = 1000.0
LAST_DATA_SENT = struct.Struct("@44xI")  # `tcpi_last_data_sent`, in milliseconds
LAST_DATA_RECEIVED = struct.Struct("@52xI")  # `tcpi_last_data_recv`, in milliseconds
BYTES_RECEIVED = struct.Struct("@128xQ")  # `tcpi_bytes_received`


def _field(sock: socket.socket, field: struct.Struct) -> int:
    """Return one field; 0 where the kernel does not provide it."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        value: int = field.unpack_from(data)[0]
    except (OSError, struct.error):
        return 0
    return value


def since_last_data(sock: socket.socket) -> float:
    """Return the seconds since the last byte came in; 0.0: unknown."""
    return _field(sock, LAST_DATA_RECEIVED) / MILLISECONDS_PER_SECOND


def since_opened(sock: socket.socket) -> float:
    """Return the seconds since an accepted connection was established, if nothing was sent on it yet: Linux
    counts its last sending from then (`tcp_create_openreq_child`). 0.0: unknown."""
    return _field(sock, LAST_DATA_SENT) / MILLISECONDS_PER_SECOND


def bytes_received(sock: socket.socket) -> int:
    """Return the bytes that came in since the connection's start, read or not; 0: unknown."""
    return _field(sock, BYTES_RECEIVED)
