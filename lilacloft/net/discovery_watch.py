"""The watch on discovery's change log: its thread, its connection, and the number of the last event.

Each new event is passed on exactly once. The watch reconnects for as long as the process runs, and none of
its failures changes the endpoint list.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import threading
import time
import zlib
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, TypeAlias

from lilacloft.log import logger
from lilacloft.net.discovery_events import MAX_EVENT_SIZE, DiscoveryEvent, decode_event
from lilacloft.net.exact_reads import read_before
from lilacloft.net.polling import poll_events
from lilacloft.net.read_barrier import RESUME, Address, answering_connection, query_end
from lilacloft.net.resp import GarbledError
from lilacloft.protocol_settings import NS_PER_TICK

HEADER = struct.Struct(">IQB")  # length of the rest of the frame, number, kind
LENGTH_SIZE = 4  # bytes of the header that are not counted in the length

HEARTBEAT_INTERVAL = 1.0  # maximum seconds between two frames of a live log
MAX_SILENCE = 2 * HEARTBEAT_INTERVAL  # seconds after which the connection is given up
MAX_SILENCE_JITTER = 0.1  # fraction of `MAX_SILENCE` by which gateways vary
MAX_ANSWER_TIME = 7.0  # seconds; by the protocol, what a log has to tell counts as known after this time
MIN_RATE = 100_000  # bytes per second that a long frame must arrive at
CONNECT_TIMEOUT = HEARTBEAT_INTERVAL / 2  # seconds
MIN_BACKOFF = HEARTBEAT_INTERVAL / 32
MAX_BACKOFF = HEARTBEAT_INTERVAL / 2
MORE_FRAMES_MS = 1  # frames that a log sends together arrive without longer gaps
MAX_END_QUERIES = 4  # per connection; bounds queries of a log that has a new event each time
HASH_MULTIPLIER = 0x9E3779B1  # odd, near 2**32 divided by the golden ratio

EventHandler: TypeAlias = Callable[[DiscoveryEvent, int], None]  # called with an event and its number


class WatchChange(Enum):
    """A change of the watch's state."""

    CONNECTED = auto()  # the log accepted a connection; nothing was requested on it yet
    DISCONNECTED = auto()  # the connection ended or was given up
    CAUGHT_UP = auto()  # all waiting events were passed on
    REFUSED = auto()  # a connection was refused: nothing listens there
    UNREACHABLE = auto()  # a connection attempt failed otherwise: there may be a log


class WatchTarget(NamedTuple):
    """Which change log is followed."""

    address: Address
    move: int  # how often the watch was moved or reconnected before; an address may be used again


ChangeHandler: TypeAlias = Callable[[WatchChange, WatchTarget], None]  # with a change, and of which log


class WatchStatus(NamedTuple):
    """How up to date the watch is."""

    at: int  # when the last frame was received, or the watch created; `Ticks` of the monotonic clock
    current: bool  # the present connection has sent all events that were waiting


class DiscoveryWatch:
    """Follows the change log in its own thread."""

    def __init__(
        self,
        address: Address,
        last: int,
        on_event: EventHandler,
        gateway: str = "",
        on_change: ChangeHandler | None = None,
    ) -> None:
        """`last`: the number of the last known event; `on_event`, `on_change`: called in the watch's thread,
        in the order of occurrence; without `on_change` no read barrier is used; `gateway`: the gateway's
        name, which spreads the reconnections of a fleet over time."""
        self.target = WatchTarget(address, 0)
        self.attempted_target: WatchTarget | None = None  # the target of the last connection attempt
        self.last, self.on_event, self.gateway, self.on_change = last, on_event, gateway, on_change
        self.connects = self.events = 0  # connections established, events passed on
        self.unanswered = 0  # connections in a row on which nothing was received
        self.status = WatchStatus(time.monotonic_ns() // NS_PER_TICK, current=False)
        self.target_changed = threading.Event()
        self.gate = threading.Lock()  # held while something is passed on; acquired by others to pause that
        self.sock: socket.socket | None = None
        self.await_room: Callable[[], None] = lambda: None  # waits while too many events are unapplied

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def move(self, address: Address) -> bool:
        """Follow the log at another address from now on, from the last event; called in the event loop's
        thread. Return whether the address has changed."""
        if address == self.target.address:
            return False
        self._follow_anew(address)
        return True

    def reconnect(self) -> None:
        """Follow the same log on a new connection, on which it shows its end again; called in the event
        loop's thread. What is still reported about the old connection has the old target."""
        self._follow_anew(self.target.address)

    def _follow_anew(self, address: Address) -> None:
        self.target = WatchTarget(address, self.target.move + 1)
        self.target_changed.set()
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # wakes the thread: the old connection is not used any more

    def _run(self) -> None:
        backoff, is_logged = MIN_BACKOFF, False
        while True:
            connects = self.connects
            self.target_changed.clear()
            try:
                self._follow()
            except (OSError, GarbledError) as error:
                self._log_end(error, is_first=self.connects > connects or not is_logged)
                is_logged = True
            except Exception:
                logger.exception("change log: unhandled exception in the watch's thread")
            # after an established connection, reconnect soon: without one the endpoint list becomes outdated
            reconnects = self.connects > connects or self.target_changed.is_set()
            backoff = MIN_BACKOFF if reconnects else min(2 * backoff, MAX_BACKOFF)
            self.target_changed.wait(backoff * (0.75 + self._jitter() / 4))

    def _log_end(self, error: Exception, is_first: bool) -> None:
        """Log why a connection ended; of consecutive failures to connect, only the first is logged."""
        if self.target_changed.is_set():
            is_moved = self.attempted_target and self.attempted_target.address != self.target.address
            change = "moved to another address" if is_moved else "followed on a new connection"
            logger.info("change log: {} after event {}", change, self.last)
        elif is_first:
            logger.warning("change log: {} after event {}", error, self.last)

    def _follow(self) -> None:
        """Follow the log on one connection until it ends with an error."""
        target, is_first_attempt = self.target, self.target != self.attempted_target
        self.attempted_target = target
        if is_first_attempt:
            self.unanswered = 0
        with self._connect(target) as sock:
            self.sock = sock
            if self.target_changed.is_set():  # meanwhile: `target` may be the old address
                return
            self._report(WatchChange.CONNECTED, target)
            try:
                sock.sendall(RESUME.pack(self.last))
                self.connects += 1
                self.status = self.status._replace(current=False)
                self._receive_all(sock, target, is_first_attempt)
            finally:
                self._report(WatchChange.DISCONNECTED, target)

    def _receive_all(self, connected: socket.socket, target: WatchTarget, is_first_attempt: bool) -> None:
        """Read frames until an error. On a reconnection, a read barrier shows at once whether the log
        answers, as a purge may be waiting in it. After new events, the log is queried for its end, as more
        events may be waiting behind them."""
        sock, deadline, last_queried = connected, self._answer_deadline(), self.last
        self.unanswered += 1
        queries_left = MAX_END_QUERIES if self.on_change else 0
        if self.on_change and not is_first_attempt:
            sock = answering_connection(connected, target.address, self.last, deadline)
        try:
            while True:
                self.sock = sock
                if self.target_changed.is_set():  # `move` may have shut down another connection
                    return
                self._receive(sock, target, deadline)
                self.await_room()  # without the gate, which the event loop may wait for
                self.unanswered = 0
                if queries_left and self.last > last_queried and self._end_is_unknown(sock):
                    queries_left, last_queried = queries_left - 1, self.last
                    sock = query_end(sock, target.address, last_queried)
                deadline = self._silence_deadline(MAX_SILENCE)
        finally:
            sock.close()

    def _end_is_unknown(self, sock: socket.socket) -> bool:
        """Return whether no more input follows and the log has not shown that this was its end."""
        return not self.status.current and not poll_events(sock, select.POLLIN, MORE_FRAMES_MS)

    def _connect(self, target: WatchTarget) -> socket.socket:
        try:
            return socket.create_connection(target.address, CONNECT_TIMEOUT)
        except ConnectionRefusedError:
            self._report(WatchChange.REFUSED, target)
            raise
        except OSError:
            self._report(WatchChange.UNREACHABLE, target)
            raise

    def _report(self, change: WatchChange, target: WatchTarget) -> None:
        with self.gate:
            self._notify(change, target)

    def _notify(self, change: WatchChange, target: WatchTarget) -> None:
        """Pass a change on. Called with the gate held."""
        if self.on_change:
            self.on_change(change, target)

    def _answer_deadline(self) -> float:
        """Return when a connection without any frame is given up, in monotonic seconds. A slow log may take
        longer than the last connection was kept, so each is kept for twice as long as the one before."""
        return self._silence_deadline(min(MAX_SILENCE * 2**self.unanswered, MAX_ANSWER_TIME))

    def _silence_deadline(self, max_silence: float) -> float:
        """Return when a connection that stays silent for `max_silence` seconds and the jitter is given up, in
        monotonic seconds."""
        return time.monotonic() + max_silence * (1 + MAX_SILENCE_JITTER * self._jitter())

    def _receive(self, sock: socket.socket, target: WatchTarget, deadline: float) -> None:
        """Read one frame, which must arrive by a deadline, and pass its event on if it is new."""
        length, number, kind = HEADER.unpack(read_before(sock, HEADER.size, deadline))
        size = length - (HEADER.size - LENGTH_SIZE)
        if not 0 <= size <= MAX_EVENT_SIZE:
            raise GarbledError(f"invalid frame length {length}")
        event = decode_event(number, kind, read_before(sock, size, deadline + size / MIN_RATE))
        with self.gate:
            if event is None:
                self._handle_heartbeat(target)
            elif number > self.last:
                self._handle_event(event, number)

    def _handle_event(self, event: DiscoveryEvent, number: int) -> None:
        """Pass a new event on. Called with the gate held."""
        self.on_event(event, number)
        self.events += 1
        self.last = number  # last: readers of `last` assume that the event was passed on
        self.status = self.status._replace(at=time.monotonic_ns() // NS_PER_TICK)

    def _handle_heartbeat(self, target: WatchTarget) -> None:
        """Record that all waiting events were passed on. Called with the gate held."""
        was_current = self.status.current
        self.status = WatchStatus(time.monotonic_ns() // NS_PER_TICK, current=True)
        if not was_current:
            self._notify(WatchChange.CAUGHT_UP, target)

    def _jitter(self) -> float:
        """Return a number from 0 to 1 that depends on the gateway's name and the connection count, so that
        gateways that lose the log at the same time do not all reconnect at the same time. The multiplication
        spreads the checksums of names that differ only in their last digit, whose first bits are equal."""
        checksum = zlib.crc32(f"{self.gateway} {self.connects}".encode())
        return checksum * HASH_MULTIPLIER % 2**32 / 2**32
