"""Classifies errors of system calls: transient ones, and those that show that the peer ended the connection.

The errors are those documented for each call in the Linux manual pages. Callers wait `RETRY_INTERVAL` between
attempts and bound their total time themselves; `retry_transient` does both for calls needed at startup.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")
START_RETRY_TIME = 5.0  # seconds for which a call is retried at startup, which must finish within ten
RETRY_INTERVAL = 0.002  # seconds between two attempts of a call that fails transiently
# out of memory or buffers, or interrupted by a signal: the connection itself is unaffected
_TRANSIENT = frozenset((errno.EINTR, errno.ENOMEM, errno.ENOBUFS))
# for new connections: also a lack of descriptors, ports or routes
_TRANSIENT_CONNECT = _TRANSIENT | {
    errno.EAGAIN,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENFILE,
    errno.EMFILE,
}
# errors of accept about one waiting connection; the next one may succeed
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
# the peer itself ended the connection: no request sent on it is still processed there
_ENDED_BY_PEER = frozenset((errno.ECONNRESET, errno.EPIPE, errno.ECONNREFUSED))


def is_transient(error: OSError) -> bool:
    """Return whether the same read or write may succeed if retried shortly."""
    return error.errno in _TRANSIENT


def is_transient_connect(error: OSError) -> bool:
    """Return whether a connect may succeed if retried shortly, as its failure was local."""
    return error.errno in _TRANSIENT_CONNECT


def is_local_fault(error: OSError) -> bool:
    """Return whether a connect failed for a local reason. A missing route may be due to the peer."""
    return is_transient_connect(error) and error.errno != errno.ENETUNREACH


def concerns_one_client(error: OSError) -> bool:
    """Return whether an error of accept concerns only one client, which has disconnected."""
    return error.errno in _ONE_CLIENT


def is_out_of_descriptors(error: OSError) -> bool:
    """Return whether this process has no descriptors left."""
    return error.errno == errno.EMFILE


def is_ended_by_peer(error: OSError) -> bool:
    """Return whether an error shows that the peer ended the connection; otherwise the peer may not know."""
    return error.errno in _ENDED_BY_PEER


def retry_transient(call: Callable[[], Result], seconds: float = START_RETRY_TIME) -> Result:
    """Return the result of a call that needs descriptors or memory, retried for `seconds` while those are
    short. Raises the OSError of the last attempt."""
    deadline = time.monotonic() + seconds
    while True:
        try:
            return call()
        except OSError as error:
            if not is_transient_connect(error) or time.monotonic() >= deadline:
                raise
        time.sleep(RETRY_INTERVAL)
