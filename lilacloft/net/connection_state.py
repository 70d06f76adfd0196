"""The state machine of a connection: how it is closed, and when its descriptor is released."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from enum import Enum, auto

from lilacloft.net.close_reasons import CloseReason


class ConnectionState(Enum):
    """The states of a connection, which only advance (docs/gateway.md)."""

    CONNECTING = auto()  # created from an address, not connected yet
    OPEN = auto()  # both directions are open
    HALF_CLOSED = auto()  # the peer sends nothing more; it may still read, or have disconnected
    UNREADABLE = auto()  # malformed input; requests read before it are rejected
    DRAINING = auto()  # closed, with our half shut down: further input is discarded
    CLOSING = auto()  # closed, with both halves shut down; threads still use the socket
    CLOSED = auto()  # the descriptor is closed


class ConnectionLifecycle:
    """A socket, its state, the reason for its close, and the number of threads that use it."""

    def __init__(self, sock: socket.socket, state: ConnectionState) -> None:
        self.sock = sock
        self.state = state
        self.lock = threading.Lock()
        self.threads = 1  # threads that use the socket; the last one closes it
        self.close_reason: CloseReason | None = None
        self.closed_at = 0.0  # monotonic clock, seconds

    def close(self, reason: CloseReason) -> None:
        """Close both halves for a reason, unless closed already."""
        with self.lock:
            self._finish(reason)

    def half_close(self, reason: CloseReason) -> None:
        """Close our half only, as the last bytes sent may still be in transit.

        The reading thread discards input until the peer closes as well: a close with unread input would send
        a reset, which discards data that has not arrived. `finish_half_close` ends this phase."""
        with self.lock:
            self._finish(reason, socket.SHUT_WR)

    def finish_half_close(self) -> None:
        """Close the other half too: the peer's time to close it is over."""
        with self.lock:
            if self.state is ConnectionState.DRAINING:
                self._advance(ConnectionState.CLOSING)
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def on_descriptor_closed(self) -> None:
        """Handle the close of the descriptor. Called with the lock held."""

    def _advance(self, state: ConnectionState) -> None:
        """Advance the state, never backwards; only this method changes it. Called with the lock held."""
        if state.value > self.state.value:
            self.state = state

    def _finish(self, reason: CloseReason, how: int = socket.SHUT_RDWR) -> None:
        """Close one half or both (`how`), unless closed already. Called with the lock held."""
        if self.close_reason is None:
            self.close_reason, self.closed_at = reason, time.monotonic()
            draining = how == socket.SHUT_WR
            self._advance(ConnectionState.DRAINING if draining else ConnectionState.CLOSING)
            self._discard_backlog()
            with contextlib.suppress(OSError):
                self.sock.shutdown(how)  # SHUT_RDWR wakes the reading and the writing thread

    def _discard_backlog(self) -> None:
        """Drop unsent data. Called with the lock held."""

    def _release(self) -> None:
        """Release the socket for one thread; the last one closes it.

        If it were closed earlier, a thread within a system call could act on another connection that reuses
        the descriptor's number. Called with the lock held."""
        self.threads -= 1
        if not self.threads:
            self._advance(ConnectionState.CLOSED)
            with contextlib.suppress(OSError):  # the descriptor is released even if this fails
                self.sock.close()
            self.on_descriptor_closed()
