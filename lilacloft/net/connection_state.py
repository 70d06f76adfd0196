"""The state machine of a connection: how it is closed, and when its descriptor is given back."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from enum import Enum, auto

from lilacloft.net.close_reasons import CloseReason


class ConnectionState(Enum):
    """The states of a connection, which only ever go forwards (docs/gateway.md)."""

    CONNECTING = auto()  # made of an address, not connected yet
    OPEN = auto()  # both sides send
    HALF_CLOSED = auto()  # the peer sends no more; it may still read, or have disconnected
    UNREADABLE = auto()  # the input could not be parsed; requests read before are rejected
    DRAINING = auto()  # closed, with our half shut down: further input is discarded
    CLOSING = auto()  # closed, with both halves shut down; threads still use the socket
    CLOSED = auto()  # the descriptor is closed


class ConnectionLifecycle:
    """A socket, its state, the reason for its close, and the number of threads that use it."""

    def __init__(self, sock: socket.socket, state: ConnectionState) -> None:
        self.sock = sock
        self.state = state
        self.lock = threading.Lock()
        self.threads = 1  # how many use the socket: the last one closes it
        self.close_reason: CloseReason | None = None
        self.closed_at = 0.0  # monotonic clock, seconds

    def close(self, reason: CloseReason) -> None:
        """Close both halves, for this reason unless it is closed already."""
        with self.lock:
            self._finish(reason)

    def half_close(self, reason: CloseReason) -> None:
        """Close our half only, as the last bytes sent may still be on their way.

        Input is discarded until the peer has closed as well: a close with unread input would send a reset,
        which discards what has not arrived. The reading thread does so; `finish_half_close` limits it."""
        with self.lock:
            self._finish(reason, socket.SHUT_WR)

    def finish_half_close(self) -> None:
        """Close the other half too: the peer has had time enough to close its own."""
        with self.lock:
            if self.state is ConnectionState.DRAINING:
                self._advance(ConnectionState.CLOSING)
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)

    def on_descriptor_closed(self) -> None:
        """The descriptor was closed. Called under the lock."""

    def _advance(self, state: ConnectionState) -> None:
        """The only place where the state changes, never backwards. Called under the lock."""
        if state.value > self.state.value:
            self.state = state

    def _finish(self, reason: CloseReason, how: int = socket.SHUT_RDWR) -> None:
        """Close one half or both (`how`), if it is not closed already. Called under the lock."""
        if self.close_reason is None:
            self.close_reason, self.closed_at = reason, time.monotonic()
            draining = how == socket.SHUT_WR
            self._advance(ConnectionState.DRAINING if draining else ConnectionState.CLOSING)
            self._discard_backlog()
            with contextlib.suppress(OSError):
                self.sock.shutdown(how)  # SHUT_RDWR wakes both threads

    def _discard_backlog(self) -> None:
        """Drop what was not sent yet. Called under the lock."""

    def _leave(self) -> None:
        """One thread no longer uses the socket; the last one closes it.

        Not earlier: a thread within a system call could meet another connection's descriptor under the same
        number. Called under the lock."""
        self.threads -= 1
        if not self.threads:
            self._advance(ConnectionState.CLOSED)
            with contextlib.suppress(OSError):  # the descriptor is closed even where this fails
                self.sock.close()
            self.on_descriptor_closed()
