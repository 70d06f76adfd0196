"""Decides which failures of system calls pass by themselves, and which say that the way to a peer broke.

Errors are those that the Linux manual pages document for each call. Whoever calls waits `PAUSE` between two
tries, and knows for how long; `retried` does so for what a start needs.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")
START_AGAIN = 5.0  # seconds in which what a start needs is asked for again: it is to serve in ten
PAUSE = 0.002  # seconds between two tries of a call that fails for a moment
# the machine is short of something just now, or a signal came: the connection itself is as it was
_PASSING = frozenset((errno.EINTR, errno.ENOMEM, errno.ENOBUFS))
# of a new connection: also what is short of descriptors, ports and routes
_PASSING_CONNECT = _PASSING | {
    errno.EAGAIN,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENFILE,
    errno.EMFILE,
}
# of a connection that waits at our door, or has gone from there; the next one may be whole
_NEXT_CLIENT = frozenset(
    (
        errno.EINTR,
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    )
)
# the other side itself has ended the connection: nothing that was open there goes on
_BY_PEER = frozenset((errno.ECONNRESET, errno.EPIPE, errno.ECONNREFUSED))


def passes(error: OSError) -> bool:
    """May the same read or write succeed a moment later?"""
    return error.errno in _PASSING


def connect_passes(error: OSError) -> bool:
    """May a connect succeed a moment later, its failure being this machine's own?"""
    return error.errno in _PASSING_CONNECT


def own_fault(error: OSError) -> bool:
    """Does a connect that failed for good say nothing of the other side? Where there is no route it may."""
    return connect_passes(error) and error.errno != errno.ENETUNREACH


def only_this_client(error: OSError) -> bool:
    """Does a failure of accept concern one client alone, that has gone?"""
    return error.errno in _NEXT_CLIENT


def descriptors_are_short(error: OSError) -> bool:
    """Has this process no descriptor left?"""
    return error.errno == errno.EMFILE


def ended_by_peer(error: OSError) -> bool:
    """Does an error on a connection say that the other side has ended it? Else it may not know yet."""
    return error.errno in _BY_PEER


def retried(call: Callable[[], Result], seconds: float = START_AGAIN) -> Result:
    """The result of a call that needs descriptors or memory, tried for a while where those are short."""
    until = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError as wrong:
            if not connect_passes(wrong) or time.monotonic() >= until:
                raise
        time.sleep(PAUSE)
