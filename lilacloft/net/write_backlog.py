"""Non-blocking sends on a connection: data that the socket does not accept at once waits in a backlog.

A writing thread is started when there is a backlog, and ends when the backlog is empty.
"""

from __future__ import annotations

import _thread
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from lilacloft.log import logger
from lilacloft.net import socket_errors
from lilacloft.net.close_reasons import CloseReason, close_reason_of
from lilacloft.net.connection_state import ConnectionLifecycle, ConnectionState
from lilacloft.net.polling import poll_events
from lilacloft.net.reply_backlog import PENDING_OVERHEAD

MAX_PENDING_MESSAGES = 32  # as many as a connection's open requests
MAX_JOINED_SIZE = 1024  # bytes of small messages that wait as one


@dataclass(eq=False, slots=True)
class PendingMessage:
    """A message, or the remainder of one, that the socket has not accepted yet."""

    position: int  # where the message ends in the stream, in bytes
    unsent: memoryview
    started: bool = False  # was any byte sent?
    cost: int = 0  # bytes of memory, which the message takes up until all of it is sent
    queued_at: float = field(default_factory=time.monotonic)  # seconds


class BufferedSender(ConnectionLifecycle):
    """The sending side of a connection."""

    joins_small = False  # are small messages that wait joined? Joined ones cannot be withdrawn

    def __init__(self, sock: socket.socket, state: ConnectionState) -> None:
        super().__init__(sock, state)
        self.backlog: deque[PendingMessage] = deque()
        self.queued = self.written = 0  # bytes since the start; withdrawn messages count as both
        self.sent_position = 0  # position in the stream up to which everything was sent or withdrawn
        self.writing = False  # is a writing thread running?
        self.drained = threading.Condition(self.lock)
        self.backlog_cost = 0  # bytes of memory

    def send(self, data: bytes) -> int:
        """Send in order, without blocking; return the position in the stream at which the message ends."""
        with self.lock:
            self.queued += len(data)
            if self.close_reason is None:
                unsent = memoryview(data)
                if self.state is not ConnectionState.CONNECTING and not self.backlog and not self.writing:
                    unsent = self._send_now(unsent, self.queued)
                if unsent:
                    self._add_pending(unsent, len(data))
                    self._start_writer()
            return self.queued

    def _add_pending(self, unsent: memoryview, size: int) -> None:
        """Add what the socket did not accept of a message of `size` bytes. Called with the lock held."""
        if self._extend_last_pending(unsent):
            return
        cost = size + PENDING_OVERHEAD
        self.backlog.append(PendingMessage(self.queued, unsent, len(unsent) < size, cost))
        self._change_backlog_cost(cost)

    def _extend_last_pending(self, unsent: memoryview) -> bool:
        """Join a small message with the last one that waits, as each would take up some hundred bytes more;
        return whether it was. Called with the lock held."""
        last = self.backlog[-1] if self.backlog else None
        if not self.joins_small or last is None or last.started:
            return False
        if len(last.unsent) + len(unsent) > MAX_JOINED_SIZE:
            return False
        last.unsent, last.position = memoryview(bytes(last.unsent) + unsent), self.queued
        last.cost += len(unsent)
        self._change_backlog_cost(len(unsent))
        return True

    def restore_pending(self, pending: Iterable[PendingMessage]) -> None:
        """Add messages that another process has left unsent, each started; before the connection starts."""
        for message in pending:
            message.cost = len(message.unsent) + PENDING_OVERHEAD
            self.backlog.append(message)
            self._change_backlog_cost(message.cost)

    def _change_backlog_cost(self, cost: int) -> None:
        """Change the memory of the backlog. Called with the lock held."""
        self.backlog_cost += cost
        self.backlog_cost_changed(cost)

    def withdraw(self, position: int) -> bool:
        """Remove the message that ends at a position, if none of it was sent; return whether it was."""
        with self.lock:
            for message in self.backlog:
                if message.position == position and not message.started:
                    self.backlog.remove(message)
                    self._change_backlog_cost(-message.cost)
                    self.written += len(message.unsent)  # the positions of later messages stay valid
                    return True
        return False

    def has_sent(self, position: int) -> bool:
        """Return whether everything up to a position in the stream was sent."""
        return self.sent_position >= position

    def unsent_bytes(self) -> int:
        """Return the number of bytes not sent yet."""
        return self.queued - self.written

    def wait_for_backlog(self, limit: int, timeout: float) -> bool:
        """Wait until at most `limit` bytes in at most `MAX_PENDING_MESSAGES` are unsent, for up to `timeout`
        seconds.

        Returns whether more than that are still unsent."""
        with self.lock:
            if self._is_backed_up(limit):
                self.drained.wait(timeout)
            return self._is_backed_up(limit)

    def _is_backed_up(self, limit: int) -> bool:
        """Return whether too much is unsent. Called with the lock held."""
        is_long = self.unsent_bytes() > limit or len(self.backlog) > MAX_PENDING_MESSAGES
        return is_long and self.close_reason is None

    def resume_writing(self) -> None:
        """Start a writing thread if the backlog needs one, as an earlier start may have failed."""
        with self.lock:
            self._start_writer()

    def write_soon(self) -> None:
        """Schedule a call of `resume_writing`: no thread was available for the backlog.

        Called with the lock held."""

    def refresh_message(self, position: int, message: memoryview) -> memoryview:  # noqa: ARG002
        """Return what to send in place of a message that had to wait and that ends at a position.

        Never longer than the message; empty if it must not be sent any more. Called with the lock held, in
        the thread that is about to send."""
        return message

    def backlog_cost_changed(self, cost: int) -> None:
        """Handle a change of the backlog's memory by `cost` bytes. Called with the lock held."""

    def record_wait(self, seconds: float) -> None:
        """Record how long a message waited for its first byte to be sent. Called with the lock held."""

    def _send_now(self, unsent: memoryview, position: int) -> memoryview:
        """Send what the socket accepts at once of a message that ends at `position`; return the rest."""
        try:
            count = self.sock.send(unsent, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        except BlockingIOError:
            return unsent
        except OSError as error:
            if socket_errors.is_transient(error):
                return unsent
            self._finish(close_reason_of(error))
            return unsent[:0]
        self.written += count
        self.sent_position = position - len(unsent) + count
        return unsent[count:]

    def _flush(self) -> None:
        """Send what the socket accepts at once of the backlog. Called with the lock held."""
        while self.backlog and self.close_reason is None:
            message = self.backlog.popleft()
            if not message.started and not self._start_message(message):
                self._change_backlog_cost(-message.cost)
                continue
            size = len(message.unsent)
            is_first = not message.started
            message.unsent = self._send_now(message.unsent, message.position)
            if self.close_reason is not None:  # its memory was released with the rest of the backlog
                return
            if is_first and len(message.unsent) < size:
                self.record_wait(time.monotonic() - message.queued_at)
            if message.unsent:
                message.started = message.started or len(message.unsent) < size
                self.backlog.appendleft(message)
                return
            self._change_backlog_cost(-message.cost)

    def _start_message(self, message: PendingMessage) -> bool:
        """Refresh a message that had to wait, before its first byte is sent; False if it is dropped.

        The bytes by which the refreshed message is shorter count as written, so that the positions of later
        messages stay valid."""
        refreshed = self.refresh_message(message.position, message.unsent)
        self.written += len(message.unsent) - len(refreshed)
        message.unsent = refreshed
        return bool(refreshed)

    def _start_writer(self) -> None:
        """Start a writing thread if there is a backlog and none is running. Called with the lock held."""
        connecting = self.state is ConnectionState.CONNECTING
        if not connecting and self.backlog and not self.writing and self.close_reason is None:
            self.writing = True
            self.threads += 1
            try:
                _thread.start_new_thread(self._write, ())
            except RuntimeError as error:  # no thread available: transient, `resume_writing` retries
                logger.error("cannot start a writing thread: {}", error)
                self.writing = False
                self.threads -= 1
                self.write_soon()

    def _write(self) -> None:
        """Run the writing thread, until the backlog is empty."""
        while True:
            with self.lock:
                if not self.backlog or self.close_reason is not None:
                    self.writing = False
                    self.drained.notify_all()
                    self._release()
                    return
            try:
                # polls without the lock, and sends with it, so that writing can be paused
                poll_events(self.sock, select.POLLOUT, None)
                with self.lock:
                    before = self.written
                    self._flush()
                    no_progress = self.written == before
                if no_progress:  # the socket is writable, but the system is out of some resource
                    time.sleep(socket_errors.RETRY_INTERVAL)
            except Exception:
                logger.exception("unhandled exception in a connection's writing thread")
                self.close(CloseReason.FAULT)

    def _discard_backlog(self) -> None:
        self.backlog.clear()
        self._change_backlog_cost(-self.backlog_cost)
        self.drained.notify_all()
