"""The watch on discovery's change log: its thread, its connection, and the number of the last event.

It hands each new event on once. It reconnects for as long as the process lives, and none of its own failures
changes the endpoint list.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
import zlib
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from loguru import logger

from lilacloft.net.discovery_events import MAX_EVENT_SIZE, DiscoveryEvent, decode_event
from lilacloft.net.exact_reads import read_before
from lilacloft.net.resp import GarbledError
from lilacloft.protocol_settings import NS_PER_TICK

HEADER = struct.Struct(">IQB")  # length of what follows it, number, kind
LENGTH_SIZE = 4  # bytes of the header that its length does not count
RESUME = struct.Struct(">Q")  # the first message of a connection: the number of the last event

HEARTBEAT_INTERVAL = 1.0  # seconds between two frames of a live log, at most
MAX_SILENCE = 2 * HEARTBEAT_INTERVAL  # after which the connection is given up
MIN_RATE = 100_000  # bytes a second of a long frame
CONNECT_TIMEOUT = HEARTBEAT_INTERVAL / 2  # seconds
MIN_BACKOFF = HEARTBEAT_INTERVAL / 32
MAX_BACKOFF = HEARTBEAT_INTERVAL / 2
HASH_MULTIPLIER = 0x9E3779B1  # odd, near 2**32 divided by the golden ratio

EventHandler: TypeAlias = Callable[[DiscoveryEvent, int], None]  # an event and its number


class WatchStatus(NamedTuple):
    """How current the watch is."""

    at: int  # when its last frame came, or the watch began; `Ticks` of the monotonic clock
    current: bool  # the connection that there is now has sent all events that had waited


class DiscoveryWatch:
    """Follows the change log in a thread of its own."""

    def __init__(
        self, address: tuple[str, int], last: int, on_event: EventHandler, gateway: str = ""
    ) -> None:
        """`last`: the number of the last event that is there already; `on_event`: called in the watch's
        thread; `gateway`: the gateway's name, which spreads the reconnections of a fleet over time."""
        self.address, self.last, self.on_event, self.gateway = address, last, on_event, gateway
        self.connects = self.events = 0  # connections made, events handed on
        self.status = WatchStatus(time.monotonic_ns() // NS_PER_TICK, current=False)
        self.address_changed = threading.Event()
        self.gate = threading.Lock()  # held while an event is handed on; who holds it stops all events
        self.sock: socket.socket | None = None

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def move(self, address: tuple[str, int]) -> None:
        """Follow the log at another address from now on, after the last event; from the gateway's thread."""
        if address == self.address:
            return
        self.address = address
        self.address_changed.set()
        sock = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # wakes the thread: the old connection brings nothing more

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
        with socket.create_connection(self.address, CONNECT_TIMEOUT) as sock:
            self.sock = sock
            if self.address_changed.is_set():  # since the loop began: this may be the old address
                return
            sock.sendall(RESUME.pack(self.last))
            self.connects += 1
            self.status = self.status._replace(current=False)
            while True:
                self._receive(sock)

    def _receive(self, sock: socket.socket) -> None:
        """Read one frame, and hand its event on if it is new."""
        deadline = time.monotonic() + MAX_SILENCE * (1 + self._jitter() / 10)
        length, number, kind = HEADER.unpack(read_before(sock, HEADER.size, deadline))
        size = length - (HEADER.size - LENGTH_SIZE)
        if not 0 <= size <= MAX_EVENT_SIZE:
            raise GarbledError(f"a frame of {length} bytes")
        event = decode_event(number, kind, read_before(sock, size, deadline + size / MIN_RATE))
        with self.gate:
            if event is not None and number > self.last:
                self.last = number
                self.events += 1
                self.on_event(event, number)
            now, is_current = time.monotonic_ns() // NS_PER_TICK, self.status.current or event is None
            self.status = WatchStatus(now, is_current)

    def _jitter(self) -> float:
        """Return a number from 0 to 1 by name and connection, so that gateways that lose the log at once do
        not all reconnect at once. The multiplication spreads checksums of names that differ in their last
        digit alone, whose first bits are the same."""
        checksum = zlib.crc32(f"{self.gateway} {self.connects}".encode())
        return checksum * HASH_MULTIPLIER % 2**32 / 2**32
