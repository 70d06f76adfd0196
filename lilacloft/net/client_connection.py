"""A client's connection: its open requests, detection of disconnects, and when it may be closed."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Protocol

from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import CLOSE_CHECK_INTERVAL, Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.net.polling import poll_events
from lilacloft.net.reader_slots import ReaderSlots
from lilacloft.net.reply_backlog import ReplyBacklog
from lilacloft.net.request_ledger import RequestLedger
from lilacloft.net.resp import CLIENT_MESSAGE_SIZES, IDLE_CLIENT_BUFFER, MAX_PART_SIZE, MessageBuffer
from lilacloft.net.tcp_info import since_last_data, since_opened
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.routing.lag_margin import LagMargin
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

STALL_TIMEOUT = 3.0  # seconds; the protocol closes clients that send no valid message for this long
RESEND_WINDOW = 0.05  # seconds; by the protocol, clients resend requests sent this shortly before our close
PREDECESSOR_DETECTION_DELAY: Ticks = 10_000  # maximum delay in detecting the end of the previous process
MAX_ACCEPT_DELAY: Ticks = 500  # a longer one affects requests' arrival times; the kernel counts in jiffies
POLL_INTERVAL = 0.02  # seconds
MAX_UNHANDLED_BYTES = 200_000  # of requests that a reader passes on before the event loop has handled them


class RequestEvents(Protocol):
    """The gateway's handlers of clients' requests, called in the event loop's thread."""

    def arrived(self, request: ClientRequest) -> None:
        """Handle a new request."""

    def cancelled(self, request: ClientRequest) -> None:
        """Handle a cancellation."""

    def client_sent_malformed(self, client: ClientConnection) -> None:
        """Handle input that could not be parsed."""

    def client_half_closed(self, client: ClientConnection, at: Ticks | None) -> None:
        """Handle the end of a client's input."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """Handle the end of a connection with open requests."""


class GatewaySide(Protocol):
    """What client connections use of the gateway."""

    requests: RequestEvents
    lags: GatewayLags
    lag_margin: LagMargin
    is_shutting_down: bool

    def paused_since(self) -> Ticks | None:
        """Return since when the process may have been paused, None if it was not."""

    def write_soon(self, connection: Connection) -> None:
        """Schedule a call of the connection's `resume_writing`."""

    def connection_closing(self, names: list[str]) -> None:
        """Handle a close by this gateway while requests of these names are open on the connection."""


class ConnectionOwner(Protocol):
    """What a client's connection uses of its owner (lilacloft/net/downstream.py)."""

    post: Callable[..., None]  # queues a call for the event loop's thread
    gateway: GatewaySide
    counts: dict[str, int]
    reader_slots: ReaderSlots
    request_ledger: RequestLedger
    reply_backlog: ReplyBacklog
    requests_by_name: dict[str, ClientRequest]
    unclosed: dict[ClientConnection, None]

    def handle_message(self, client: ClientConnection, items: list[bytes]) -> None:
        """Handle one message, in the connection's thread."""

    def connection_closed(self, client: ClientConnection) -> None:
        """Handle the end of a connection, in its thread."""

    def descriptor_closed(self, client: ClientConnection) -> None:
        """Handle the close of a connection's descriptor."""

    def add_draining(self, client: ClientConnection) -> None:
        """Add a connection of which our half is closed, or about to be."""


class ClientConnection(Connection):
    """A client's connection.

    `said`, `offences`, `taken`, `settled`, `used` and `moved` are the names under which these attributes are
    handed over between processes."""

    joins_small = True

    def __init__(self, downstream: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(
            downstream.handle_message,
            downstream.connection_closed,
            sock,
            buffer=MessageBuffer(CLIENT_MESSAGE_SIZES, IDLE_CLIENT_BUFFER, admits_all=False),
        )
        self.downstream = downstream
        self.message_count = self.useless_message_count = (
            0  # messages received; invalid ones since the last request
        )
        self.taken = self.settled = 0  # requests accepted by the reader, and settled by the event loop
        self.open: dict[bytes, ClientRequest] = {}  # by tag: the reader adds, the event loop removes
        self.reserved_bytes = 0  # of its requests, in the `RequestLedger`
        self.body_reservation = 0  # of these, the bytes of a request whose body is being read
        # of the requests read since the event loop was last known to have handled all of them
        self.unhandled_bytes = 0
        self.used = time.monotonic()  # when a message was last received or an answer sent
        self.write_progress = (0, self.used)  # bytes written, and since when this count is unchanged
        self.input_ended: Ticks | None = None  # the earliest possible time, by the monotonic clock
        self.connected_at: Ticks = 0  # by the monotonic clock; 0: unknown
        self.accepted_late = False  # may there be input that arrived before it was accepted?
        self.emptied_at: Ticks = 0  # when all input had been read, by the monotonic clock; 0: unknown
        # when reading was paused, by the monotonic clock, for what may not all be read yet; 0: it was not
        self.paused_reading_at: Ticks = 0
        self.has_slot = False  # of `ReaderSlots`; used in the reading thread only
        # since when, by the monotonic clock, input may have been waiting without a break; 0: it is all read
        self.behind_since: Ticks = 0
        # `last_input_at` at the last check, and since when there is unread input
        self.unread_since = (0.0, 0)
        downstream.unclosed[self] = None

    # --- hooks of `Connection` ---

    def on_descriptor_closed(self) -> None:
        """Notify the owner, which may then accept another client."""
        self.downstream.descriptor_closed(self)

    def write_soon(self) -> None:
        """Schedule `resume_writing` in the event loop's thread."""
        self.downstream.post(self.downstream.gateway.write_soon, self)

    def backlog_cost_changed(self, cost: int) -> None:
        """Count the answers that this client has not read."""
        self.downstream.reply_backlog.change_unsent(cost)

    def record_wait(self, seconds: float) -> None:
        """Record for how long an answer waited to be written."""
        self.downstream.gateway.lags.writes.record(int(seconds * TICKS_PER_SECOND))

    def input_read(self, count: int) -> None:
        """Record since when reading lags behind what the client sends. After a small read it does not."""
        if count < IDLE_CLIENT_BUFFER or not poll_events(self.sock, select.POLLIN):
            self.behind_since = 0
        elif not self.behind_since:
            self.behind_since = int(self.last_input_at * TICKS_PER_SECOND)

    def decide_large_element(self) -> None:
        """Admit a large body if memory can be reserved for its request; else its bytes are dropped as they
        come, and the request is rejected once it is whole."""
        self.body_reservation = self.downstream.request_ledger.reserve_body(self, self.buffer.wanted)
        if self.body_reservation:
            self.buffer.admit()
        else:
            self.buffer.discard()

    def take_body_reservation(self) -> int:
        """Return what was reserved for the body that was read last, which its caller takes over."""
        size, self.body_reservation = self.body_reservation, 0
        return size

    def apply_backpressure(self) -> None:
        """Stop reading while the client does not read, while too much waits for the event loop, and while
        other readers that have waited for it are at work."""
        if self.has_slot and not poll_events(self.sock, select.POLLIN):
            self.release_slot()  # the next read may block
        self._wait_until_client_reads()
        if self.unhandled_bytes > MAX_UNHANDLED_BYTES:
            self.release_slot()
            self._wait_until_handled()
            self._acquire_slot()

    def _wait_until_client_reads(self) -> None:
        """Wait while the client does not read its answers; report its half-close meanwhile."""
        reported = False
        while self.wait_for_backlog(MAX_PART_SIZE, POLL_INTERVAL):
            self.release_slot()
            self.disconnected_since()
            if self.input_ended is not None and not reported:
                reported = True  # at once: its requests are rejected before the rest of its input is read
                events = self.downstream.gateway.requests
                self.downstream.post(events.client_half_closed, self, self.input_ended, client=self)

    def _wait_until_handled(self) -> None:
        """Wait until the event loop has handled all requests that were read.

        A reader that only rejects requests waits as well: many that read without a pause would leave the
        event loop's thread no time."""
        self.paused_reading_at = self.paused_reading_at or time.monotonic_ns() // NS_PER_TICK
        self.behind_since = self.behind_since or self.paused_reading_at
        self._wait_for_event_loop()
        self.unhandled_bytes = 0
        if not self._has_more_input():
            self.paused_reading_at = self.behind_since = 0

    def _acquire_slot(self) -> None:
        """Wait for a slot, if more input is waiting."""
        if not poll_events(self.sock, select.POLLIN):
            return
        while self.close_reason is None and not self.has_slot:
            self.has_slot = self.downstream.reader_slots.acquire(CLOSE_CHECK_INTERVAL)

    def release_slot(self) -> None:
        """Return the slot, if this reader has one. Called in the reading thread."""
        if self.has_slot:
            self.has_slot = False
            self.downstream.reader_slots.release()

    def wait_for_answers(self, reason: CloseReason) -> None:
        """Wait for the answers to the requests that were read: the client may have closed only its half.

        After malformed input, open requests are rejected, and only answers that can be written in time are
        sent."""
        if reason is CloseReason.CLOSED and self.input_ended is None:
            self.input_ended = self.last_byte_at()
        if self.close_reason is None and self._owes_answers():
            until = time.monotonic() + STALL_TIMEOUT / 2
            self._report_end_of_input(reason)
            while self.close_reason is None and self._owes_answers():
                if reason is CloseReason.GARBLED and time.monotonic() > until:
                    break
                # requests no events: errors are reported anyway, and only they show a disconnect here
                if reason is CloseReason.CLOSED and poll_events(self.sock, 0, unknown=0):
                    self.close(CloseReason.RESET)
                    break
                with self.lock:
                    self.drained.wait(POLL_INTERVAL)

    def close_after_answers(self, reason: CloseReason) -> None:
        """Close the connection; only our half if input may be unread, as a reset would discard answers."""
        if reason is CloseReason.GARBLED:
            self.downstream.add_draining(self)
            self.half_close(reason)
        else:
            self.close(reason)

    def _owes_answers(self) -> bool:
        """Return whether a request is not settled yet, or an answer not written."""
        return bool(self.taken > self.settled or self.unsent_bytes())

    def _report_end_of_input(self, reason: CloseReason) -> None:
        """Report why reading ended, and wait until the event loop has handled all requests that were read."""
        events = self.downstream.gateway.requests
        if reason is CloseReason.GARBLED:
            self.downstream.post(events.client_sent_malformed, self, client=self)
        else:
            self.downstream.post(events.client_half_closed, self, self.input_ended, client=self)
        self._wait_for_event_loop()

    def _wait_for_event_loop(self) -> None:
        """Wait until the event loop has handled all events of this client, or the connection is closed."""
        handled = threading.Event()
        self.downstream.post(handled.set, client=self)
        while self.close_reason is None and not handled.wait(CLOSE_CHECK_INTERVAL):
            pass

    def _finish(self, reason: CloseReason, how: int = socket.SHUT_RDWR) -> None:
        """Report a close by this gateway while requests are open."""
        closed_by_us = reason in (CloseReason.RETIRED, CloseReason.FAULT)
        if self.close_reason is None and closed_by_us and self.open:
            self.downstream.gateway.connection_closing([request.name for request in self.open.values()])
        super()._finish(reason, how)

    # --- detection of disconnects ---

    def disconnected_since(self) -> Ticks | None:
        """Return since when, by the monotonic clock, the client may have disconnected.

        0 if it certainly has; None if it is connected and all its input was read. Any thread may call this.
        The kernel reports an end of input before it is read, but not its time, which is no earlier than that
        of the last byte. Unread or unprocessed input may contain a cancellation, received when the input was
        first detected or when the last byte arrived, whichever is earlier. Behind input that has been waiting
        without a break even the end is not reported: the client's own kernel may still hold it."""
        if self.close_reason is not None:
            return 0
        if self.input_ended is not None:
            return self.input_ended
        events = self._poll_input()
        if self.close_reason is not None or events & (select.POLLERR | select.POLLHUP | select.POLLNVAL):
            return 0
        if not events and not self.behind_since and not self._has_unprocessed_input():
            return None
        since = self.last_byte_at()
        if events & select.POLLRDHUP:
            self.input_ended = since
        else:
            came, before = self.unread_since
            if came == self.last_input_at:  # nothing was read since the last check
                since = min(since, before)
            if self.behind_since:  # the client may have closed behind bytes that the kernel has no room for
                since = min(since, self.behind_since)
            self.unread_since = (self.last_input_at, since)
        return since

    def _poll_input(self) -> int:
        """Return the pending input and error events."""
        try:
            return poll_events(self.sock, select.POLLIN | select.POLLRDHUP)
        except ValueError:
            return select.POLLNVAL  # the descriptor is closed

    def _has_unprocessed_input(self) -> bool:
        """Return whether the reader has input that it has not passed on.

        The kernel is queried only if this process was paused lately: otherwise readers pass input on without
        delay."""
        if self.received != self.passed_on:
            return True
        return self.downstream.gateway.paused_since() is not None and self._has_delivered_bytes()

    # --- when messages arrived ---

    def last_byte_at(self) -> Ticks:
        """Return when the last byte arrived, by the monotonic clock; now if the kernel does not report it."""
        return time.monotonic_ns() // NS_PER_TICK - int(since_last_data(self.sock) * TICKS_PER_SECOND)

    def record_connect_time(self) -> None:
        """Record when the connection was established, and whether input waited until it was accepted."""
        gateway, now = self.downstream.gateway, time.monotonic_ns() // NS_PER_TICK
        span = int(since_opened(self.sock) * TICKS_PER_SECOND)
        is_late = span > MAX_ACCEPT_DELAY
        if span and (is_late or gateway.paused_since() is not None or gateway.lag_margin.current(now)):
            self.connected_at = now - span
        self.accepted_late = is_late and bool(poll_events(self.sock, select.POLLIN))

    def arrived_at(self) -> Ticks:
        """Return the earliest time at which the message just read may have arrived.

        That is when the kernel received the last byte, unless more input follows. Then the message may have
        been unread for as long as this process lags, or since the start of a pause of the process or of this
        reader, or, if the connection was accepted late and its early input is not all read, since the
        connection was established. It is never earlier than the time at which the connection was established
        or all input had been read."""
        last, paused_since = self.last_byte_at(), self.downstream.gateway.paused_since()
        now = time.monotonic_ns() // NS_PER_TICK
        lag = self.downstream.gateway.lag_margin.current(now)
        if paused_since is None and not lag and not self.accepted_late and not self.paused_reading_at:
            return last
        if not self._has_more_input():
            self.emptied_at, self.accepted_late, self.paused_reading_at = now, False, 0
            return last
        since = last - lag if paused_since is None else self._unread_since(paused_since)
        if self.paused_reading_at:
            since = min(since, self.paused_reading_at - lag)
        if self.accepted_late:
            since = min(since, self.connected_at)
        return min(last, max(since, self.connected_at, self.emptied_at))

    def _has_more_input(self) -> bool:
        """Return whether input follows the last message that was read."""
        return self.buffer.has_partial() or bool(poll_events(self.sock, select.POLLIN))

    def _unread_since(self, paused_since: Ticks) -> Ticks:
        """Return since when input may have been unread, after a pause."""
        connected_since = self.connected_at > paused_since - PREDECESSOR_DETECTION_DELAY
        return self.connected_at if connected_since else paused_since

    # --- requests ---

    def accept_request(self, request: ClientRequest) -> bool:
        """Add an open request; False if the connection is closed: its client sends it again elsewhere under
        the same name. Raises ValueError if another request of its name is open."""
        with self.lock:
            if self.close_reason is not None:
                self._arrived_after_close(request)
                return False
            if self.downstream.requests_by_name.setdefault(request.name, request) is not request:
                raise ValueError("a request of this name is open already")
            self.open[request.tag] = request
            self.taken += 1
            return True

    def _arrived_after_close(self, request: ClientRequest) -> None:
        """Count a request that was read after our close. Its client sends it again if it was sent within
        `RESEND_WINDOW` before the close; an earlier one is lost through our fault, and is reported."""
        self.downstream.counts["crossed"] += 1
        window_start = int((self.closed_at - RESEND_WINDOW) * TICKS_PER_SECOND)
        if self.close_reason is CloseReason.RETIRED and request.at < window_start:
            self.downstream.gateway.connection_closing([request.name])

    def close_if_idle(self, how: int = socket.SHUT_WR, stalled: bool = False) -> bool:
        """Close our half, or both (`how`), if no request is open, unread or unprocessed and all answers are
        written; return whether it was closed.

        `stalled`: ignores a partly read message, unless more of it has arrived. Holds the lock under which
        requests are accepted, so that no request is accepted while the connection closes."""
        with self.lock:
            busy = self.open or self._owes_answers() or self.unread()
            if not stalled:
                busy = busy or self.buffer.has_partial()
            if self.state is not ConnectionState.OPEN or busy:
                return False
            self._finish(CloseReason.RETIRED, how)
            return True
