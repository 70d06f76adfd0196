"""The watch on discovery's change log: its thread, its connection, and the number of the last event.

It hands each new event on once. It reconnects for as long as the process lives, and none of its own failures
changes the endpoint list.
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

from loguru import logger

from lilacloft.net.discovery_events import MAX_EVENT_SIZE, DiscoveryEvent, decode_event
from lilacloft.net.exact_reads import read_before
from lilacloft.net.polling import poll_events
from lilacloft.net.read_barrier import RESUME, Address, answering_connection, connection_to_end
from lilacloft.net.resp import GarbledError
from lilacloft.protocol_settings import NS_PER_TICK

HEADER = struct.Struct(">IQB")  # length of what follows it, number, kind
LENGTH_SIZE = 4  # bytes of the header that its length does not count

HEARTBEAT_INTERVAL = 1.0  # seconds between two frames of a live log, at most
MAX_SILENCE = 2 * HEARTBEAT_INTERVAL  # after which the connection is given up
MAX_SILENCE_JITTER = 0.1  # of that time, by which gateways differ
MIN_RATE = 100_000  # bytes a second of a long frame
CONNECT_TIMEOUT = HEARTBEAT_INTERVAL / 2  # seconds
MIN_BACKOFF = HEARTBEAT_INTERVAL / 32
MAX_BACKOFF = HEARTBEAT_INTERVAL / 2
MORE_FRAMES_MS = 1  # what a log sends at once comes on a connection without longer pauses
MAX_END_QUESTIONS = 4  # on one connection, to a log that has another event each time
HASH_MULTIPLIER = 0x9E3779B1  # odd, near 2**32 divided by the golden ratio

EventHandler: TypeAlias = Callable[[DiscoveryEvent, int], None]  # an event and its number


class WatchChange(Enum):
    """How the watch's hold on the change log has changed."""

    CONNECTED = auto()  # the log has accepted a connection, and was asked for nothing on it yet
    REPEATED = auto()  # the log has sent an event again on the connection, and nothing new yet
    ANSWERED = auto()  # the log has sent its first new event or heartbeat on the connection
    DISCONNECTED = auto()  # the connection has ended, or was given up
    CAUGHT_UP = auto()  # all events that had waited were handed on
    UNREACHABLE = auto()  # a connection was refused, or not made in time


class WatchTarget(NamedTuple):
    """Which change log is followed."""

    address: Address
    move: int  # how often the watch was moved before; an address may come back


ChangeHandler: TypeAlias = Callable[[WatchChange, WatchTarget], None]  # a change, and of which log


class WatchStatus(NamedTuple):
    """How current the watch is."""

    at: int  # when its last frame came, or the watch began; `Ticks` of the monotonic clock
    current: bool  # the connection that there is now has sent all events that had waited


class DiscoveryWatch:
    """Follows the change log in a thread of its own."""

    def __init__(
        self,
        address: Address,
        last: int,
        on_event: EventHandler,
        gateway: str = "",
        on_change: ChangeHandler | None = None,
    ) -> None:
        """`last`: the number of the last event that is there already; `on_event`, `on_change`: called in the
        watch's thread, in the order in which things happen; without `on_change` no read barrier is asked for;
        `gateway`: the gateway's name, which spreads the reconnections of a fleet over time."""
        self.target = WatchTarget(address, 0)
        self.tried_target: WatchTarget | None = None  # a connection to it was attempted
        self.last, self.on_event, self.gateway, self.on_change = last, on_event, gateway, on_change
        self.connects = self.events = 0  # connections made, events handed on
        self.status = WatchStatus(time.monotonic_ns() // NS_PER_TICK, current=False)
        self.address_changed = threading.Event()
        self.gate = threading.Lock()  # held while something is handed on; who holds it stops all that
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def move(self, address: Address) -> bool:
        """Follow the log at another address from now on, after the last event; from the gateway's thread.
        Returns whether it is another one."""
        if address == self.target.address:
            return False
        self.target = WatchTarget(address, self.target.move + 1)
        self.address_changed.set()
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # wakes the thread: the old connection brings nothing more
        return True

    def _run(self) -> None:
        backoff, is_logged = MIN_BACKOFF, False
        while True:
            connects = self.connects
            self.address_changed.clear()
            try:
                self._follow()
            except (OSError, GarbledError) as error:
                self._log_end(error, is_first=self.connects > connects or not is_logged)
                is_logged = True
            except Exception:
                logger.exception("the change log's thread failed")
            # after a connection that was made the next attempt follows at once: the list grows old without it
            reconnects = self.connects > connects or self.address_changed.is_set()
            backoff = MIN_BACKOFF if reconnects else min(2 * backoff, MAX_BACKOFF)
            self.address_changed.wait(backoff * (0.75 + self._jitter() / 4))

    def _log_end(self, error: Exception, is_first: bool) -> None:
        """Log why a connection ended, or could not be made for the first time in a row."""
        if self.address_changed.is_set():
            logger.info("change log: followed at another address after event {}", self.last)
        elif is_first:
            logger.warning("change log: {} after event {}", error, self.last)

    def _follow(self) -> None:
        """Follow the log on one connection, until it ends with an error."""
        target, is_first_attempt = self.target, self.target != self.tried_target
        self.tried_target = target
        with self._connect(target) as sock:
            self.sock = sock
            if self.address_changed.is_set():  # since the loop began: this may be the old address
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
        """Read frames until an error. Where the log was tried before, it is shown at once whether it answers:
        what has waited in it meanwhile may be a purge. Where it has told something new, it is asked for its
        end: there may be more behind that."""
        sock, deadline, last_named = connected, self._silence_deadline(), self.last
        questions = MAX_END_QUESTIONS if self.on_change else 0
        if self.on_change and not is_first_attempt:
            sock = answering_connection(connected, target.address, self.last, deadline)
        try:
            has_answered = False
            while True:
                self.sock = sock
                if self.address_changed.is_set():  # another connection may have been shut down for it
                    return
                change = self._receive(sock, target, deadline)
                if not has_answered:
                    self._report(change, target)
                    has_answered = change is WatchChange.ANSWERED
                if questions and self.last > last_named and self._may_hold_more(sock):
                    questions, last_named = questions - 1, self.last
                    sock = connection_to_end(sock, target.address, last_named)
                deadline = self._silence_deadline()
        finally:
            sock.close()

    def _may_hold_more(self, sock: socket.socket) -> bool:
        """Has the log sent all that it sends at once, and not shown that this was all?"""
        return not self.status.current and not poll_events(sock, select.POLLIN, MORE_FRAMES_MS)

    def _connect(self, target: WatchTarget) -> socket.socket:
        try:
            return socket.create_connection(target.address, CONNECT_TIMEOUT)
        except (ConnectionRefusedError, TimeoutError):  # other errors are this machine's and may pass
            self._report(WatchChange.UNREACHABLE, target)
            raise

    def _report(self, change: WatchChange, target: WatchTarget) -> None:
        with self.gate:
            self._change(change, target)

    def _change(self, change: WatchChange, target: WatchTarget) -> None:
        """Hand a change on; under the gate."""
        if self.on_change:
            self.on_change(change, target)

    def _silence_deadline(self) -> float:
        """Return when the connection is given up as silent; in monotonic seconds."""
        return time.monotonic() + MAX_SILENCE * (1 + MAX_SILENCE_JITTER * self._jitter())

    def _receive(self, sock: socket.socket, target: WatchTarget, deadline: float) -> WatchChange:
        """Read one frame that has to come by a deadline, and hand its event on if it is new. Returns ANSWERED
        for a new event or a heartbeat, REPEATED for an event that was handed on before."""
        length, number, kind = HEADER.unpack(read_before(sock, HEADER.size, deadline))
        size = length - (HEADER.size - LENGTH_SIZE)
        if not 0 <= size <= MAX_EVENT_SIZE:
            raise GarbledError(f"a frame of {length} bytes")
        event = decode_event(number, kind, read_before(sock, size, deadline + size / MIN_RATE))
        with self.gate:
            if event is None:
                self._take_heartbeat(target)
            elif number > self.last:
                self._take_event(event, number)
            else:
                return WatchChange.REPEATED
        return WatchChange.ANSWERED

    def _take_event(self, event: DiscoveryEvent, number: int) -> None:
        """Hand a new event on; under the gate."""
        self.on_event(event, number)
        self.events += 1
        self.last = number  # not before: who reads it takes the event for handed on
        self.status = self.status._replace(at=time.monotonic_ns() // NS_PER_TICK)

    def _take_heartbeat(self, target: WatchTarget) -> None:
        """All that had waited was handed on; under the gate."""
        was_current = self.status.current
        self.status = WatchStatus(time.monotonic_ns() // NS_PER_TICK, current=True)
        if not was_current:
            self._change(WatchChange.CAUGHT_UP, target)

    def _jitter(self) -> float:
        """Return a number from 0 to 1 by name and connection, so that gateways that lose the log at once do
        not all reconnect at once. The multiplication spreads checksums of names that differ in their last
        digit alone, whose first bits are the same."""
        checksum = zlib.crc32(f"{self.gateway} {self.connects}".encode())
        return checksum * HASH_MULTIPLIER % 2**32 / 2**32
