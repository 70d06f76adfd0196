"""A read barrier on the change log: shows that the log answers, also where it has nothing new to tell.

The log sends on a connection the events behind the one whose number was written there, and a heartbeat each
second. So a log that is well and has nothing new, and one that stands still while the operating system
accepts connections for it, look the same for up to a second. The barrier is a second connection that asks
for the last known event again. A log that is well sends it at once, and behind it, in order, all that has
waited; so that connection is the one to follow from then on.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from typing import TypeAlias

from lilacloft.net.polling import poll_events

RESUME = struct.Struct(">Q")  # the first message of a connection: the number of the last event
MILLISECONDS_PER_SECOND = 1000
HEAD_START_MS = 30  # a log that has something new sends it within that: no barrier is needed then

Address: TypeAlias = tuple[str, int]  # host and port


def answering_connection(
    first: socket.socket, address: Address, last_event: int, deadline: float
) -> socket.socket:
    """Return the connection on which the log has something to read first, and close the other one.

    `first`: a connection on which the events after `last_event` were asked for; returned also where a barrier
    cannot be had, ends, or there is no event to ask for again. `deadline`: in monotonic seconds.

    Raises TimeoutError where the log has sent nothing on either by the deadline.
    """
    if last_event == 0 or poll_events(first, select.POLLIN, HEAD_START_MS):
        return first
    barrier = _begin_to_connect(address)
    if barrier is None:
        return first
    try:
        answering = _first_readable(first, barrier, RESUME.pack(last_event - 1), deadline)
    except OSError:
        barrier.close()
        raise
    (barrier if answering is first else first).close()
    return answering


def _begin_to_connect(address: Address) -> socket.socket | None:
    """Return a connection that is coming up; None where this machine or the log does not allow one."""
    with contextlib.ExitStack() as undo:
        try:
            barrier = undo.enter_context(socket.socket())
            barrier.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                barrier.connect(address)
        except OSError:
            return None
        undo.pop_all()
        return barrier


def _first_readable(
    first: socket.socket, barrier: socket.socket, request: bytes, deadline: float
) -> socket.socket:
    """Write a request on the barrier once that is connected, and return which of the two has input first.
    A barrier that fails is passed over. Raises TimeoutError at the deadline."""
    poller = select.poll()
    poller.register(first, select.POLLIN)
    poller.register(barrier, select.POLLOUT)
    is_asked = False
    while (remaining := deadline - time.monotonic()) > 0:
        ready = [descriptor for descriptor, _ in poller.poll(remaining * MILLISECONDS_PER_SECOND)]
        if first.fileno() in ready:
            return first
        if not ready:
            continue
        try:
            if is_asked:
                _check_for_input(barrier)
                return barrier
            barrier.sendall(request)  # fails where the connect has
            is_asked = True
            poller.modify(barrier, select.POLLIN)
        except OSError:
            poller.unregister(barrier)
    raise TimeoutError("silent")


def _check_for_input(sock: socket.socket) -> None:
    """Raise ConnectionResetError where a readable connection has ended, and OSError where it has failed."""
    if not sock.recv(1, socket.MSG_PEEK):
        raise ConnectionResetError("closed")
