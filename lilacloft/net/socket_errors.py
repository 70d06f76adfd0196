"""Which failures of system calls are transient, and which say that a peer has ended the connection.

Errors are those that the Linux manual pages document for each call. A caller waits `RETRY_INTERVAL` between
two attempts and bounds their total time itself; `retry_transient` does so for what a start needs.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")
START_RETRY_TIME = 5.0  # seconds for which a call is repeated at a start, which is to be ready within ten
RETRY_INTERVAL = 0.002  # seconds between two attempts of a call that fails for a moment
# the machine is short of something, or a signal came: the connection itself is as it was
_TRANSIENT = frozenset((errno.EINTR, errno.ENOMEM, errno.ENOBUFS))
# of a new connection: also what is short of descriptors, ports and routes
_TRANSIENT_CONNECT = _TRANSIENT | {
    errno.EAGAIN,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENFILE,
    errno.EMFILE,
}
# of accept, about one connection that waited to be accepted; the next one may be sound
_ONE_CLIENT = frozenset(
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
# the peer itself has ended the connection: no request on it goes on there
_ENDED_BY_PEER = frozenset((errno.ECONNRESET, errno.EPIPE, errno.ECONNREFUSED))


def is_transient(error: OSError) -> bool:
    """Return whether the same read or write may succeed a moment later."""
    return error.errno in _TRANSIENT


def is_transient_connect(error: OSError) -> bool:
    """Return whether a connect may succeed a moment later, as this machine caused its failure."""
    return error.errno in _TRANSIENT_CONNECT


def is_local_fault(error: OSError) -> bool:
    """Return whether a connect that failed for good says nothing of the peer. A missing route may."""
    return is_transient_connect(error) and error.errno != errno.ENETUNREACH


def concerns_one_client(error: OSError) -> bool:
    """Return whether a failure of accept concerns one client alone, which has disconnected."""
    return error.errno in _ONE_CLIENT


def is_out_of_descriptors(error: OSError) -> bool:
    """Return whether this process has no descriptor left."""
    return error.errno == errno.EMFILE


def is_ended_by_peer(error: OSError) -> bool:
    """Return whether an error says that the peer has ended the connection; otherwise it may not know yet."""
    return error.errno in _ENDED_BY_PEER


def retry_transient(call: Callable[[], Result], seconds: float = START_RETRY_TIME) -> Result:
    """Return the result of a call that needs descriptors or memory, repeated for a while where those are
    short. Raises the OSError of the last attempt."""
    deadline = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError as error:
            if not is_transient_connect(error) or time.monotonic() >= deadline:
                raise
        time.sleep(RETRY_INTERVAL)
