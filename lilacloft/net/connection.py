"""A connection: its socket, its input buffer and its reading thread.

Each connection reads in its own thread and passes complete messages to a callback. It does not interpret
messages, does not block senders, and is closed exactly once, for one reason.
"""

from __future__ import annotations

import _thread
import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from lilacloft.log import logger
from lilacloft.net import socket_errors
from lilacloft.net.close_reasons import CloseReason, close_reason_of
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.polling import poll_events
from lilacloft.net.resp import (
    BACKEND_MESSAGE_SIZES,
    DISCARDED_INPUT,
    MAX_PART_SIZE,
    GarbledError,
    MessageBuffer,
)
from lilacloft.net.tcp_info import bytes_received, since_last_data
from lilacloft.net.write_backlog import BufferedSender

CONNECT_RETRY_TIME = 0.05  # seconds for which a connect that fails for a local reason is retried
SOCKET_OPTION_ATTEMPTS = 3
DRAIN_TIME = 0.5  # seconds for which input after our close is discarded, so that no reset is sent
DRAIN_BYTES = 1 << 20  # the most input discarded after our close
CLOSE_CHECK_INTERVAL = 1.0  # seconds; short intervals of many waiting readers would take up the processor
READER_WAKEUP_TIME = 3.0  # seconds within which a reader processes what the kernel delivered to it


@dataclass(frozen=True, slots=True)
class ConnectTarget:
    """An address to connect to, and the timeout."""

    address: tuple[str, int]
    timeout: float  # seconds


NO_TARGET = ConnectTarget(("", 0), 0.0)  # for accepted sockets


class Connection(BufferedSender):
    """One connection, created from an accepted socket or from an address to connect to within a timeout.

    In a process that may hand its connections over to another (`movable`, for all of them), a reader waits
    without consuming input, and reads and passes messages on only while it holds its gate. While gate and
    lock are both acquired (`pause_reading`, `pause_writing`) the connection does not change: input is either
    unread in the kernel or in `MessageBuffer.unread`, and output is in the backlog."""

    movable = False

    def __init__(
        self,
        on_message: Callable[[Connection, list[bytes]], None],
        on_closed: Callable[[Connection], None],
        sock: socket.socket | None = None,
        target: ConnectTarget | None = None,
        buffer: MessageBuffer | None = None,
    ) -> None:
        """Both callbacks are called in the reading thread. Needs a connected `sock` or a `target`; `buffer`:
        the input buffer, by default one for backends' messages."""
        super().__init__(
            sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            ConnectionState.CONNECTING if sock is None else ConnectionState.OPEN,
        )
        self.on_message, self.on_closed = on_message, on_closed
        self.target = target or NO_TARGET
        self.buffer = buffer or MessageBuffer(BACKEND_MESSAGE_SIZES, admits_all=False)
        # monotonic clock, seconds; `message_started_at`: when the first input of the current message was read
        self.last_input_at = self.message_started_at = time.monotonic()
        self.received = 0  # bytes read so far
        self.passed_on = 0  # of those, the bytes of messages passed on, and of a partial message
        self.gate = threading.Lock()  # held by the reader while it reads, and acquired to pause it

    def start(self) -> None:
        """Start the reading thread. Raises RuntimeError if no thread is available."""
        # not threading.Thread, whose start blocks until the new thread runs
        _thread.start_new_thread(self._run, ())

    # --- pausing ---

    def pause_reading(self) -> None:
        """Pause the reader between two messages."""
        self.gate.acquire()

    def pause_writing(self) -> None:
        """Pause all sending."""
        self.lock.acquire()

    def resume(self, writing_paused: bool = True) -> None:
        """Resume reading, and writing if it was paused as well."""
        if writing_paused:
            self.lock.release()
        self.gate.release()

    # --- hooks for subclasses ---

    def input_read(self, count: int) -> None:
        """Handle that `count` bytes were read, before their messages are passed on."""

    def apply_backpressure(self) -> None:
        """Block, if necessary, until the peer reads. Called after each read, outside the gate."""

    def decide_large_element(self) -> None:
        """Admit or discard the large element that the peer is sending, if necessary after a wait for memory;
        without a decision it is asked again. Called outside the gate."""
        self.buffer.admit()

    def wait_for_answers(self, reason: CloseReason) -> None:
        """Block while answers to earlier input are outstanding. Called when the input has ended."""

    def close_after_answers(self, reason: CloseReason) -> None:
        """Close the connection. Called when no answer is outstanding."""
        self.close(reason)

    # --- unread input ---

    def unread(self) -> bool:
        """Return whether input, or an end of input, was not read or not processed yet.

        Called under the lock."""
        if self.state is ConnectionState.CLOSED:
            return False
        return (
            self.received != self.passed_on
            or self._has_delivered_bytes()
            or bool(poll_events(self.sock, select.POLLIN))
        )

    def mark_passed_on(self) -> None:
        """Record that the current message is passed on, and the buffered input after it is not."""
        self.passed_on = self.received - self.buffer.unread_size()

    def _has_delivered_bytes(self) -> bool:
        """Return whether the kernel delivered bytes to a reader that has not run since.

        Only the kernel's byte count shows this. It is used only within `READER_WAKEUP_TIME` of the last data,
        as it includes urgent data, which readers do not receive."""
        return bytes_received(self.sock) > self.passed_on and since_last_data(self.sock) < READER_WAKEUP_TIME

    # --- connecting ---

    def _connect(self) -> None:
        """Connect, and send what was queued meanwhile; closes the connection on failure."""
        self._set_socket_options()  # before anything is sent, so that small writes are not delayed
        try:
            self._connect_in_time()
        except ConnectionRefusedError:
            return self.close(CloseReason.REFUSED)
        except OSError as error:
            return self.close(
                CloseReason.NO_LINE if socket_errors.is_local_fault(error) else CloseReason.UNMADE
            )
        self.sock.settimeout(None)
        with self.lock:
            self._advance(ConnectionState.OPEN)
            self._flush()
            self._start_writer()
        return None

    def _connect_in_time(self) -> None:
        """Connect within the timeout, retrying after transient local failures. Raises OSError."""
        started_at = time.monotonic()
        while True:
            time_left = started_at + self.target.timeout - time.monotonic()
            self.sock.settimeout(max(socket_errors.RETRY_INTERVAL, time_left))
            try:
                return self.sock.connect(self.target.address)
            except OSError as error:
                retry_until = started_at + CONNECT_RETRY_TIME
                if time.monotonic() >= retry_until or not socket_errors.is_transient_connect(error):
                    raise
            time.sleep(socket_errors.RETRY_INTERVAL)

    def _set_socket_options(self) -> None:
        """Disable Nagle's algorithm and set the size of the send buffer."""
        for _ in range(SOCKET_OPTION_ATTEMPTS):  # a persistent error is reported by the next read
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_PART_SIZE)
                return

    # --- the reading thread ---

    def _run(self) -> None:
        """Run the reading thread. It closes the connection whatever fails."""
        reason = CloseReason.FAULT
        try:
            if self.state is ConnectionState.CONNECTING:
                self._connect()
            elif self.close_reason is None:
                self._set_socket_options()
            reason = self._read_all()
            if self.close_reason is None and reason in (CloseReason.CLOSED, CloseReason.GARBLED):
                with self.lock:
                    self._advance(ConnectionState.HALF_CLOSED)
                self.wait_for_answers(reason)
        except Exception:
            logger.exception("unhandled exception in a connection's reading thread")
        try:
            self.close_after_answers(reason)
            if self.state is ConnectionState.DRAINING:
                self._discard_input()
        finally:
            with self.lock:
                self._release()
            self.on_closed(self)

    def _read_all(self) -> CloseReason:
        """Read and pass on messages until nothing more can be read; return the reason."""
        try:
            self._pass_on_restored()
            while self.close_reason is None:
                if self.movable and not self._wait_for_input():
                    continue
                with self.gate:
                    if not self._read_once():
                        return CloseReason.CLOSED
                self.apply_backpressure()
                if self.buffer.wanted:
                    self._pass_on_large()
        except GarbledError:
            return CloseReason.GARBLED
        except OSError as error:
            return close_reason_of(error)
        return CloseReason.FAULT  # not used: the connection has a close reason already

    def _pass_on_restored(self) -> None:
        """Pass on what another process has read of this connection."""
        if self.buffer.has_partial():
            with self.gate:
                self._pass_on_messages()
            self._pass_on_large()

    def _pass_on_large(self) -> None:
        """Have large elements admitted or discarded, and pass on the messages that are complete by that."""
        while self.buffer.wanted and self.close_reason is None:
            self.decide_large_element()
            with self.gate:
                self._pass_on_messages()

    def _wait_for_input(self) -> bool:
        """Wait for input without consuming it; False after a transient failure."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            if not socket_errors.is_transient(error):
                raise
            time.sleep(socket_errors.RETRY_INTERVAL)
            return False
        return True

    def _read_once(self) -> bool:
        """Read once, and pass on all complete messages; False at the end of the stream."""
        is_new_message = not self.buffer.has_partial()
        try:
            count = self.buffer.read_from(self.sock)
        except OSError as error:
            if self.close_reason is not None or not socket_errors.is_transient(error):
                raise
            time.sleep(socket_errors.RETRY_INTERVAL)
            return True
        if not count:
            return False
        self.received += count
        self.last_input_at = time.monotonic()
        self.input_read(count)
        if self.close_reason is not None:
            return True  # discarded: sent before the peer saw our close
        if self._pass_on_messages() or is_new_message:
            self.message_started_at = self.last_input_at
        return True

    def _pass_on_messages(self) -> int:
        """Pass on all complete messages in the buffer; return how many there were. Raises GarbledError."""
        count = 0
        try:
            while (items := self.buffer.next_message()) is not None:
                count += 1
                self.on_message(self, items)
        except GarbledError:
            with self.lock:
                self._advance(ConnectionState.UNREADABLE)
            raise
        self.passed_on = self.received
        return count

    def _discard_input(self) -> None:
        """Read and discard remaining input, after `half_close`."""
        until, bytes_left = time.monotonic() + DRAIN_TIME, DRAIN_BYTES
        with contextlib.suppress(OSError):
            while bytes_left > 0 and (time_left := until - time.monotonic()) > 0:
                self.sock.settimeout(time_left)
                count = self.sock.recv_into(DISCARDED_INPUT)
                if not count:
                    break
                bytes_left -= count
