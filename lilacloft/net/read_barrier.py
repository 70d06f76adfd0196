"""Second connections to the change log, which show at once what the first one shows within a second.

The log sends on a connection the events behind the one whose number was written there, and a heartbeat each
second. So a log that is well and has nothing new, and one that stands still while the operating system
accepts connections for it, look the same for up to a second.

The read barrier shows that the log answers, also where it has nothing new to tell: a second connection asks
for the last known event again. A log that is well sends it at once, and behind it, in order, all that has
waited; so that connection is the one to follow from then on.

The question for the end shows that nothing more has waited behind the events that were read: a second
connection names the newest of them. A log that sends its first heartbeat as soon as it is asked answers with
a heartbeat where there is no newer event, and with that event where there is one. By the protocol the log
need not answer before a second is over.
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
MAX_ANSWER_TIME = 0.03  # seconds for the question for the end

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
    return _follow_first_readable(first, address, last_event - 1, deadline)


def connection_to_end(first: socket.socket, address: Address, last_event: int) -> socket.socket:
    """Ask for the end of the log behind `last_event`, and return the connection to follow; close the other.

    `first`: the connection that is followed; returned where it has something to read first, or where a second
    one cannot be had or is not answered in `MAX_ANSWER_TIME`.
    """
    try:
        return _follow_first_readable(first, address, last_event, time.monotonic() + MAX_ANSWER_TIME)
    except TimeoutError:
        return first


def _follow_first_readable(
    first: socket.socket, address: Address, last_event: int, deadline: float
) -> socket.socket:
    """Ask for the events after `last_event` on a second connection, and return the one that has input first;
    close the other one. `first` where there is no second one. Raises TimeoutError at the deadline, with the
    second one closed."""
    second = _begin_to_connect(address)
    if second is None:
        return first
    try:
        answering = _first_readable(first, second, RESUME.pack(last_event), deadline)
    except OSError:
        second.close()
        raise
    (second if answering is first else first).close()
    return answering


def _begin_to_connect(address: Address) -> socket.socket | None:
    """Return a connection that is coming up; None where this machine or the log does not allow one."""
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
    """Write a request on the second once that is connected, and return which of the two has input first.
    A second one that fails is passed over. Raises TimeoutError at the deadline."""
    poller = select.poll()
    poller.register(first, select.POLLIN)
    poller.register(second, select.POLLOUT)
    is_asked = False
    while (remaining := deadline - time.monotonic()) > 0:
        ready = [descriptor for descriptor, _ in poller.poll(remaining * MILLISECONDS_PER_SECOND)]
        if first.fileno() in ready:
            return first
        if not ready:
            continue
        try:
            if is_asked:
                _check_for_input(second)
                return second
            second.sendall(request)  # fails where the connect has
            is_asked = True
            poller.modify(second, select.POLLIN)
        except OSError:
            poller.unregister(second)
    raise TimeoutError("silent")


def _check_for_input(sock: socket.socket) -> None:
    """Raise ConnectionResetError where a readable connection has ended, and OSError where it has failed."""
    if not sock.recv(1, socket.MSG_PEEK):
        raise ConnectionResetError("closed")
