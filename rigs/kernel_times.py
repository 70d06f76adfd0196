"""Kernel times of what the sockets of a rig receive and send.

On a machine with more work than cores the threads of a rig may handle a message late. The times by which
it judges other parties are therefore those of the kernel: received bytes by their timestamps
(`SO_TIMESTAMPNS`, socket(7)); bytes without one, the end of a stream, and the writes of the rig by `struct
tcp_info` (tcp(7)), which counts in jiffies. Where the kernel gives no time, that of the rig is used.

No time that is returned for received bytes is earlier than the true one. None for sent bytes is later, as
long as the kernel counts no jiffy later than `MAX_TICK_DELAY`. A message that lay unread with others
behind it has the time of the last of them.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import time

from lilacloft.net.resp import BACKEND_MESSAGE_SIZES, MessageBuffer
from lilacloft.net.tcp_info import (
    LAST_DATA_SENT,
    MILLISECONDS_PER_SECOND,
    TCP_INFO_SIZE,
    since_last_data,
)

JIFFY = 0.004  # seconds; the resolution of the times in `struct tcp_info`, at 250 Hz
MAX_TICK_DELAY = JIFFY  # delay with which the kernel may count a jiffy on a busy machine
SO_TIMESTAMPNS = 35  # not defined in the socket module of Python 3.11
TIMESPEC = struct.Struct("@ll")
NS_PER_SECOND = 1e9
STATE = struct.Struct("@B")  # `tcpi_state`
CLOSE_WAIT = 8  # `tcpi_state`: the peer has closed the connection, this side has not
LAST_ACK_RECEIVED = struct.Struct("@56xI")  # `tcpi_last_ack_recv`, in milliseconds; a FIN counts as well
READINGS = 3  # attempts to read the kernel's and the local time within one jiffy


def timestamp_received_bytes(sock: socket.socket) -> None:
    """Enable kernel timestamps for the bytes that are read from a socket, or from those that it accepts."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def timestamp(ancillary: list[tuple[int, int, bytes]]) -> float | None:
    """Return the kernel timestamp of a read as Unix time; None if there is none.

    If one read returns several segments, the kernel gives the time of the last.
    """
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(data)
            return float(seconds + nanoseconds / NS_PER_SECOND)
    return None


def last_data_time(sock: socket.socket, now: float) -> float:
    """Return the latest Unix time at which the last byte on a connection can have arrived, to the resolution
    of jiffies."""
    return now - max(0.0, since_last_data(sock) - JIFFY)


class TimestampedBuffer(MessageBuffer):
    """A message buffer that keeps the kernel time of its last read."""

    def __init__(self, sock: socket.socket, element_sizes: tuple[int, ...] = BACKEND_MESSAGE_SIZES) -> None:
        super().__init__(element_sizes)
        timestamp_received_bytes(sock)
        self.received_at = 0.0  # Unix time in seconds

    def read_from(self, sock: socket.socket) -> int:
        """Read once from a socket; return the number of bytes, 0 at the end of the stream. Raises OSError as
        the system call does."""
        view = self.writable()
        try:
            count, ancillary, _, _ = sock.recvmsg_into([view], socket.CMSG_SPACE(TIMESPEC.size))
            now = time.time()
            # the kernel starts to provide timestamps shortly after the first socket enables them
            received_at = timestamp(ancillary) or last_data_time(sock, now)
            self.received_at = min(now, received_at)
        finally:
            view.release()
        self.received(count)
        return count


def closed_by_peer_at(sock: socket.socket) -> float:
    """Return the Unix time at which the FIN of the peer arrived, or now if it sent none.

    To be called when a read has found the end of the stream. After its FIN a peer sends only
    acknowledgements of what is sent to it, which make the time later, never earlier.
    """
    now = time.time()
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        if STATE.unpack_from(info)[0] != CLOSE_WAIT:
            return now
        milliseconds: int = LAST_ACK_RECEIVED.unpack_from(info)[0]
    except (OSError, struct.error):
        return now
    return now - max(0.0, milliseconds / MILLISECONDS_PER_SECOND - JIFFY)


def write_timed(sock: socket.socket, data: bytes) -> float:
    """Write all bytes, or as many as the connection takes before it ends; return the earliest Unix time at
    which the last of them can have been sent. No other thread may write to the socket meanwhile."""
    began = time.time()
    with contextlib.suppress(OSError):
        sock.sendall(data)
    for _ in range(READINGS):
        now = time.time()
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
            milliseconds: int = LAST_DATA_SENT.unpack_from(info)[0]
        except (OSError, struct.error):
            return began
        if time.time() - now < JIFFY:
            break
    return max(began, now - milliseconds / MILLISECONDS_PER_SECOND - JIFFY - MAX_TICK_DELAY)
