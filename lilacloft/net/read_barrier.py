"""Second connections to the change log, which show at once what the first shows only within a second.

On each connection the log sends the events after the number written there, and a heartbeat each second. So
for up to a second, a healthy log without new events cannot be told from one that hangs while the operating
system accepts connections for it.

The read barrier shows that the log answers even if it has no new events: a second connection requests the
last known event again. A healthy log sends it at once, followed in order by all waiting events; so that
connection is the one to follow from then on.

The end query shows whether more events wait behind those that were read: a second connection names the newest
of them. A log that sends its first heartbeat as soon as it is asked answers with a heartbeat if there is no
newer event, and with that event otherwise. By the protocol the log may take up to a second to answer.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from typing import TypeAlias

from lilacloft.net.polling import poll_events

RESUME = struct.Struct(">Q")  # the first message on a connection: the number of the last known event
MILLISECONDS_PER_SECOND = 1000
BARRIER_DELAY_MS = 30  # a log with new events sends them within this time; then no barrier is needed
END_QUERY_TIMEOUT = 0.03  # seconds to wait for the answer to an end query

Address: TypeAlias = tuple[str, int]  # host and port


def answering_connection(
    first: socket.socket, address: Address, last_event: int, deadline: float
) -> socket.socket:
    """Return the connection on which the log sends first, and close the other one.

    `first`: a connection on which the events after `last_event` were requested; returned also if no second
    connection can be made, it fails, or there is no event to request again. `deadline`: in monotonic seconds.

    Raises TimeoutError if the log has sent nothing on either by the deadline.
    """
    if last_event == 0 or poll_events(first, select.POLLIN, BARRIER_DELAY_MS):
        return first
    return _follow_first_readable(first, address, last_event - 1, deadline)


def query_end(first: socket.socket, address: Address, last_event: int) -> socket.socket:
    """Query whether `last_event` is the end of the log; return the connection to follow, and close the other.

    `first`: the connection that is followed so far; returned if it has input first, or if no second one can
    be made or it is not answered within `END_QUERY_TIMEOUT`.
    """
    try:
        return _follow_first_readable(first, address, last_event, time.monotonic() + END_QUERY_TIMEOUT)
    except TimeoutError:
        return first


def _follow_first_readable(
    first: socket.socket, address: Address, last_event: int, deadline: float
) -> socket.socket:
    """Request the events after `last_event` on a second connection; return the connection that has input
    first, and close the other one. Returns `first` if no second one can be made. Raises TimeoutError at the
    deadline, with the second one closed."""
    second = _start_connecting(address)
    if second is None:
        return first
    try:
        answering = _first_readable(first, second, RESUME.pack(last_event), deadline)
    except OSError:
        second.close()
        raise
    (second if answering is first else first).close()
    return answering


def _start_connecting(address: Address) -> socket.socket | None:
    """Return a connection that is being established; None if it fails at once."""
    with contextlib.ExitStack() as undo:
        try:
            second = undo.enter_context(socket.socket())
            second.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                second.connect(address)
        except OSError:
            return None
        undo.pop_all()
        return second


def _first_readable(
    first: socket.socket, second: socket.socket, request: bytes, deadline: float
) -> socket.socket:
    """Send a request on the second connection once it is established; return which of the two has input
    first. A failure of the second one is ignored. Raises TimeoutError at the deadline."""
    poller = select.poll()
    poller.register(first, select.POLLIN)
    poller.register(second, select.POLLOUT)
    is_requested = False
    while (remaining := deadline - time.monotonic()) > 0:
        ready = [descriptor for descriptor, _ in poller.poll(remaining * MILLISECONDS_PER_SECOND)]
        if first.fileno() in ready:
            return first
        if not ready:
            continue
        try:
            if is_requested:
                _check_for_input(second)
                return second
            second.sendall(request)  # fails if the connect failed
            is_requested = True
            poller.modify(second, select.POLLIN)
        except OSError:
            poller.unregister(second)
    raise TimeoutError("no data received within the deadline")


def _check_for_input(sock: socket.socket) -> None:
    """Raise ConnectionResetError if a readable connection has ended, and OSError if it has failed."""
    if not sock.recv(1, socket.MSG_PEEK):
        raise ConnectionResetError("connection closed by the peer")
