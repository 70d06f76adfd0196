"""A client's connection: its open requests, whether the client has disconnected, when it may be closed."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Callable
from typing import Protocol

from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.net.polling import poll_events
from lilacloft.net.resp import CLIENT_MESSAGE_SIZES, MAX_PART_SIZE, SMALL_BUFFER, MessageBuffer
from lilacloft.net.tcp_info import since_last_data, since_opened
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.routing.lag_margin import LagMargin
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

STALL_TIMEOUT = 3.0  # seconds after which, by the protocol, a client that sends nothing usable is closed
RESEND_WINDOW = 0.05  # seconds before our close within which clients send a request again, by the protocol
PREDECESSOR_DETECTION_DELAY: Ticks = 10_000  # how late the end of the previous process may be detected
MAX_ACCEPT_DELAY: Ticks = 500  # a longer one counts where requests are dated; the kernel counts in jiffies
POLL_INTERVAL = 0.02  # seconds


class RequestEvents(Protocol):
    """What the gateway does about clients' requests, in the event loop's thread."""

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
    """What clients' connections use of the gateway."""

    requests: RequestEvents
    lags: GatewayLags
    lag_margin: LagMargin
    is_shutting_down: bool

    def paused_since(self) -> Ticks | None:
        """Since when the process may have got no processor, None where it did."""

    def write_soon(self, connection: Connection) -> None:
        """Have writing resumed shortly."""

    def connection_closing(self, names: list[str]) -> None:
        """A connection is closed by us although these requests are open on it."""


class ConnectionOwner(Protocol):
    """What a client's connection uses of the side that it belongs to (lilacloft/net/downstream.py)."""

    post: Callable[..., None]  # has a function called in the event loop's thread
    gateway: GatewaySide
    counts: dict[str, int]
    requests_by_name: dict[str, ClientRequest]
    unclosed: dict[ClientConnection, None]

    def handle_message(self, client: ClientConnection, items: list[bytes]) -> None:
        """Handle one message, in the connection's thread."""

    def connection_closed(self, client: ClientConnection) -> None:
        """Handle the end of a connection, in its thread."""

    def descriptor_closed(self, client: ClientConnection) -> None:
        """A connection's descriptor was closed."""

    def add_draining(self, client: ClientConnection) -> None:
        """Our half of a connection is closed, or about to be."""


class ClientConnection(Connection):
    """A client's connection.

    `said`, `offences`, `taken`, `settled`, `used` and `moved` are handed over between processes under these
    names."""

    def __init__(self, downstream: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(
            downstream.handle_message,
            downstream.connection_closed,
            sock,
            buffer=MessageBuffer(CLIENT_MESSAGE_SIZES, SMALL_BUFFER),
        )
        self.downstream = downstream
        self.said = self.offences = 0  # messages so far; unusable ones since the last request
        self.taken = self.settled = 0  # requests accepted, by the reader; settled, by the event loop
        self.open: dict[bytes, ClientRequest] = {}  # by tag: the reader adds, the event loop removes
        self.used = time.monotonic()  # when a message came last, or an answer was sent
        self.moved = (0, self.used)  # bytes written, and since when no more were
        self.input_ended: Ticks | None = None  # earliest possible time, by the monotonic clock
        self.connected_at: Ticks = 0  # by the monotonic clock; 0: unknown
        self.accepted_late = False  # may input have lain unread from then until it was accepted?
        self.emptied_at: Ticks = 0  # when all input had been read, by the monotonic clock; 0: unknown
        self.unread_since = (0.0, 0)  # when it was last read from, and since when there is unread input
        downstream.unclosed[self] = None

    # --- what the connection calls ---

    def on_descriptor_closed(self) -> None:
        """Make room for another client."""
        self.downstream.descriptor_closed(self)

    def write_soon(self) -> None:
        """Have writing resumed shortly, by the event loop's thread."""
        self.downstream.post(self.downstream.gateway.write_soon, self)

    def record_wait(self, seconds: float) -> None:
        """An answer had to wait."""
        self.downstream.gateway.lags.writes.record(int(seconds * TICKS_PER_SECOND))

    def apply_backpressure(self) -> None:
        """Stop reading while the client does not read either; report its half close meanwhile."""
        reported = False
        while self.wait_for_backlog(MAX_PART_SIZE, POLL_INTERVAL):
            self.departed()
            if self.input_ended is not None and not reported:
                reported = True  # its requests are rejected at once, not once all before the end is read
                events = self.downstream.gateway.requests
                self.downstream.post(events.client_half_closed, self, self.input_ended, client=self)

    def wait_for_answers(self, reason: CloseReason) -> None:
        """Wait for the answers to what was read: the client may have closed only its half.

        After input that could not be parsed, open requests are rejected, and only what can be written in time
        is."""
        if reason is CloseReason.CLOSED and self.input_ended is None:
            self.input_ended = self.last_byte_at()
        if self.close_reason is None and self._owes_answers():
            until = time.monotonic() + STALL_TIMEOUT / 2
            self._report_end_of_input(reason)
            while self.close_reason is None and self._owes_answers():
                if reason is CloseReason.GARBLED and time.monotonic() > until:
                    break
                # no event is requested: only an error, which alone shows that the client has disconnected
                if reason is CloseReason.CLOSED and poll_events(self.sock, 0, unknown=0):
                    self.close(CloseReason.RESET)
                    break
                with self.lock:
                    self.drained.wait(POLL_INTERVAL)

    def close_after_answers(self, reason: CloseReason) -> None:
        """Close the connection; only our half where input may be unread, as a reset would discard answers."""
        if reason is CloseReason.GARBLED:
            self.downstream.add_draining(self)
            self.half_close(reason)
        else:
            self.close(reason)

    def _owes_answers(self) -> bool:
        """Is a request not settled yet, or an answer not written?"""
        return bool(self.taken > self.settled or self.unsent_bytes())

    def _report_end_of_input(self, reason: CloseReason) -> None:
        """Report why nothing more is read, and wait until the event loop has handled all that was read."""
        handled = threading.Event()
        events = self.downstream.gateway.requests
        if reason is CloseReason.GARBLED:
            self.downstream.post(events.client_sent_malformed, self, client=self)
        else:
            self.downstream.post(events.client_half_closed, self, self.input_ended, client=self)
        self.downstream.post(handled.set, client=self)
        handled.wait()

    def _finish(self, reason: CloseReason, how: int = socket.SHUT_RDWR) -> None:
        """Report a close by us while requests are open."""
        closed_by_us = reason in (CloseReason.RETIRED, CloseReason.FAULT)
        if self.close_reason is None and closed_by_us and self.open:
            self.downstream.gateway.connection_closing([request.name for request in self.open.values()])
        super()._finish(reason, how)

    # --- has the client disconnected? ---

    def departed(self) -> Ticks | None:
        """Since when, by the monotonic clock, the client may have disconnected.

        0 where it certainly has; None where it is connected and all that it sent is read. Any thread may call
        this. The kernel knows of an end of input before anybody has read up to it, but not since when; it
        came no earlier than the last byte. Unread or unprocessed input may be a cancellation, since it was
        first seen there, or since the last byte came."""
        if self.close_reason is not None:
            return 0
        if self.input_ended is not None:
            return self.input_ended
        events = self._poll_input()
        if self.close_reason is not None or events & (select.POLLERR | select.POLLHUP | select.POLLNVAL):
            return 0
        if not events and not self._has_unprocessed_input():
            return None
        since = self.last_byte_at()
        if events & select.POLLRDHUP:
            self.input_ended = since
        else:
            came, before = self.unread_since
            if came == self.last_input_at:  # nothing was read meanwhile
                since = min(since, before)
            self.unread_since = (self.last_input_at, since)
        return since

    def _poll_input(self) -> int:
        """The pending events of input and errors."""
        try:
            return poll_events(self.sock, select.POLLIN | select.POLLRDHUP)
        except ValueError:
            return select.POLLNVAL  # the descriptor is closed

    def _has_unprocessed_input(self) -> bool:
        """Has the reader read something that it has not passed on?

        The kernel is queried only where this process got no processor lately: else no reader has had input
        for long."""
        if self.received != self.passed_on:
            return True
        return self.downstream.gateway.paused_since() is not None and self._has_delivered_bytes()

    # --- when messages arrived ---

    def last_byte_at(self) -> Ticks:
        """When the last byte arrived, by the monotonic clock: now, where the kernel does not report it."""
        return time.monotonic_ns() // NS_PER_TICK - int(since_last_data(self.sock) * TICKS_PER_SECOND)

    def note_connect_time(self) -> None:
        """Note when it was connected, and whether it waited so long to be accepted that input lies there."""
        gateway, now = self.downstream.gateway, time.monotonic_ns() // NS_PER_TICK
        span = int(since_opened(self.sock) * TICKS_PER_SECOND)
        is_late = span > MAX_ACCEPT_DELAY
        if span and (is_late or gateway.paused_since() is not None or gateway.lag_margin.current(now)):
            self.connected_at = now - span
        self.accepted_late = is_late and bool(poll_events(self.sock, select.POLLIN))

    def arrived_at(self) -> Ticks:
        """The earliest time at which the message just read may have arrived: with the last byte that the
        kernel received.

        Where more input follows, that says little: the message may have been there for as long as this
        process lags, or, if it was paused meanwhile, since then, or since the connection was made, where that
        was accepted late and not all that lay there has been read since. But neither from before the
        connection was made nor from before all input had been read."""
        last, paused_since = self.last_byte_at(), self.downstream.gateway.paused_since()
        now = time.monotonic_ns() // NS_PER_TICK
        lag = self.downstream.gateway.lag_margin.current(now)
        if paused_since is None and not lag and not self.accepted_late:
            return last
        if not (self.buffer.has_partial() or poll_events(self.sock, select.POLLIN)):
            self.emptied_at, self.accepted_late = now, False
            return last
        since = last - lag if paused_since is None else self._unread_since(paused_since)
        if self.accepted_late:
            since = min(since, self.connected_at)
        return min(last, max(since, self.connected_at, self.emptied_at))

    def _unread_since(self, paused_since: Ticks) -> Ticks:
        """Since when input may lie unread after a pause."""
        connected_since = self.connected_at > paused_since - PREDECESSOR_DETECTION_DELAY
        return self.connected_at if connected_since else paused_since

    # --- requests ---

    def accept_request(self, request: ClientRequest) -> bool:
        """Add an open request; False where the connection is closed, as its client sends it again elsewhere
        under the same name. Raises ValueError where another is open under its name."""
        with self.lock:
            if self.close_reason is not None:
                self._arrived_after_close(request)
                return False
            if self.downstream.requests_by_name.setdefault(request.name, request) is not request:
                raise ValueError("another request is open under its name")
            self.open[request.tag] = request
            self.taken += 1
            return True

    def _arrived_after_close(self, request: ClientRequest) -> None:
        """A request was read after our close. Its client sends it again if it was written within
        `RESEND_WINDOW` before that; an earlier one is lost by our fault."""
        self.downstream.counts["crossed"] += 1
        window_start = int((self.closed_at - RESEND_WINDOW) * TICKS_PER_SECOND)
        if self.close_reason is CloseReason.RETIRED and request.at < window_start:
            self.downstream.gateway.connection_closing([request.name])

    def close_if_idle(self, how: int = socket.SHUT_WR, stalled: bool = False) -> bool:
        """Close our half, or both (`how`), where no request is open, unread or unprocessed, and all answers
        are written; False where that is not so.

        `stalled`: a partly read message does not count, unless more of it has come. Runs under the lock that
        requests are accepted under, so that none is accepted in part."""
        with self.lock:
            busy = self.open or self._owes_answers() or self.unread()
            if not stalled:
                busy = busy or self.buffer.has_partial()
            if self.state is not ConnectionState.OPEN or busy:
                return False
            self._finish(CloseReason.RETIRED, how)
            return True
