"""The reasons for which a connection or an attempt ends, and the router's outcome for each."""

from __future__ import annotations

from enum import Enum, auto

from lilacloft.net import socket_errors


class CloseReason(Enum):
    """Every reason for which a connection, or an attempt on one, can end.

    The members' names are stored and handed over between processes."""

    # of a connection
    REFUSED = auto()  # the peer's port is closed
    UNMADE = auto()  # not connected in time, or no route
    CLOSED = auto()  # the peer closed it in an orderly way
    RESET = auto()  # the peer reset it
    BROKEN = auto()  # the network path failed; the peer may not know yet
    GARBLED = auto()  # the input cannot be parsed
    CHOKED = auto()  # the peer does not read
    SILENT = auto()  # closed by us: nothing was received while attempts timed out
    RETIRED = auto()  # closed by us: idle, or its backend is no longer listed
    FAULT = auto()  # an exception in this process
    # of an attempt only
    NO_LINE = auto()  # no connection is available for it
    UNWRITTEN = auto()  # not sent completely: withdrawn, expired, stopped by a check, or its connection ended
    DATA = auto()  # answered with the object
    UNCHANGED = auto()  # answered: the client's copy is current
    ABSENT = auto()  # answered: no copy, and none can be filled
    FULL = auto()  # answered: the backend's queue is full
    FAILED = auto()  # answered with an error
    MOOT = auto()  # answered: the request had ended already and was never executed
    TIME_UP = auto()  # its time limit has passed
    CALLED_OFF = auto()  # cancelled by the router


OUTCOMES = {  # the only mapping from close reasons to the router's outcomes
    CloseReason.REFUSED: "unreached",
    CloseReason.UNMADE: "unreached",
    CloseReason.NO_LINE: "unsent",  # our own limit, not a backend failure
    CloseReason.UNWRITTEN: "unsent",
    CloseReason.CLOSED: "reset",
    CloseReason.RESET: "reset",
    CloseReason.BROKEN: "reset",
    CloseReason.GARBLED: "spoilt",
    CloseReason.CHOKED: "reset",
    CloseReason.SILENT: "timeout",
    CloseReason.RETIRED: "reset",
    CloseReason.FAULT: "reset",
    CloseReason.DATA: "done",
    CloseReason.UNCHANGED: "done",
    CloseReason.ABSENT: "miss",
    CloseReason.FULL: "full",
    CloseReason.FAILED: "error",
    CloseReason.MOOT: "unsent",
    CloseReason.TIME_UP: "timeout",
    CloseReason.CALLED_OFF: "cancelled",
}


def close_reason_of(error: OSError) -> CloseReason:
    """Return the close reason for a connection on which a system call failed permanently."""
    return CloseReason.RESET if socket_errors.is_ended_by_peer(error) else CloseReason.BROKEN
