"""Owns the connection to the change log: its thread, its frames, and the number of the last event held.

It hands each new event on as the `known` list of the configuration has it: a list or a purge. It must never
give up, never take an event twice, and never change the list held because of its own troubles.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
import zlib
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from loguru import logger

from lilacloft.net.resp import GarbledError
from lilacloft.settings import NS

HEAD = struct.Struct(">IQB")  # length of what follows it, number, kind
RECORD = struct.Struct(">I4sHBBBHIQ")
PURGES = {3: struct.Struct(">QQ"), 4: struct.Struct(">HQ")}
LARGEST = RECORD.size << 16  # cells are told in two bytes: no list is longer than that
BEAT = 1.0  # seconds between two frames at most
SPREADS = 0x9E3779B1  # odd, and near the golden part of 2**32
SLOWEST = 100_000  # bytes a second that a long frame must come at
SILENCE = 2 * BEAT  # a live log is never silent for so long; what it withholds is soon held against us
STATUS = {"active": 1, "leaving": 2, "left": 0}
STATES = (1, 2, 0)  # the same in frames

Entry = tuple[
    str, tuple[str, int], int, int, int, int, float, int
]  # name, address, zone, kind, cell, status, ...
Event = tuple[str, Any]  # ("full" or "delta", entries) or ("purge", (key, group, Unix millisecond))


class Heard(NamedTuple):
    """How a change log was heard from last."""

    at: int  # when its last frame came, or the following of it began; by the steady clock
    current: bool  # has it told all that it held back, on the connection that there is now?


def frame(number: int, kind: int, payload: bytes) -> Event | None:
    """Read the inside of one frame; None where there is nothing new."""
    if kind == 0 and not payload:
        return None
    if kind in (1, 2) and len(payload) % RECORD.size == 0:
        return "full" if kind == 1 else "delta", list(records(payload))
    if kind in PURGES and len(payload) == PURGES[kind].size:
        what, at = PURGES[kind].unpack(payload)
        return "purge", (f"{what:016x}" if kind == 3 else "", what if kind == 4 else 0, at)
    raise GarbledError(f"frame {number} of kind {kind} and {len(payload)} bytes")


def records(payload: bytes) -> Iterator[Entry]:
    for name, address, port, state, zone, kind, cell, weight, started in RECORD.iter_unpack(payload):
        if state >= len(STATES):
            raise GarbledError(f"state {state}")
        yield (
            f"s-{name:08x}",
            (socket.inet_ntoa(address), port),
            zone,
            kind,
            cell,
            STATES[state],
            weight / 1000,
            started,
        )


def known(results: list[dict[str, Any]], zones: list[str], kinds: list[str]) -> Iterator[tuple[int, Event]]:
    """The same events as the configuration has them."""
    for result in results:
        if "fleet" in result:
            entries = []
            for row in result["fleet"]["targets"]:
                host, _, port = row["endpoint"].rpartition(":")
                entries.append(
                    (
                        row["uid"],
                        (host, int(port)),
                        zones.index(row["az"]),
                        kinds.index(row["model"]),
                        row["pod_group"],
                        STATUS[row["state"]],
                        row["capacity_hint"],
                        row["boot_ms"],
                    )
                )
            yield result["seq"], ("full" if result["fleet"]["all"] else "delta", entries)
        else:
            purge = result["invalidate"]
            yield result["seq"], ("purge", (purge.get("object", ""), purge.get("bucket", 0), purge["time"]))


def exactly(stream: Any, count: int) -> bytes:
    """So many bytes of a connection's stream; ConnectionResetError where it ends before."""
    data = stream.read(count)
    if len(data) < count:
        raise ConnectionResetError("closed")
    return data


def timely(sock: socket.socket, count: int, until: float) -> bytes:
    """So many bytes of a connection by a time (monotonic seconds); ConnectionResetError where it ends before,
    TimeoutError where they are not all there by then: bytes that trickle in are no beat."""
    data = bytearray()
    while len(data) < count:
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError("silent")
        sock.settimeout(left)
        piece = sock.recv(min(count - len(data), LARGEST))
        if not piece:
            raise ConnectionResetError("closed")
        data += piece
    return bytes(data)


class Feed:
    """Follows the change log for as long as the process lives."""

    def __init__(
        self, address: tuple[str, int], last: int, told: Callable[[Event, int], None], name: str = ""
    ) -> None:
        """`name`: the gateway's, so that those of a fleet ask again one after the other."""
        self.address, self.last, self.told, self.name = address, last, told, name
        self.connects = self.events = 0
        self.heard = Heard(time.monotonic_ns() // NS, current=False)
        self.moved = threading.Event()
        self.gate = threading.Lock()  # held while an event is taken, and by who wants none to be
        self.sock: socket.socket | None = None

    def start(self) -> None:
        threading.Thread(target=self._run, daemon=True).start()

    def move(self, address: tuple[str, int]) -> None:
        """Follow it at another address from now on, from the last event held; called by the owner."""
        if address != self.address:
            self.address = address
            self.moved.set()
            sock = self.sock
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)  # wakes the thread: the old one tells nothing more

    def _run(self) -> None:
        pause, told = BEAT / 32, False
        while True:
            connects = self.connects
            self.moved.clear()
            try:
                self._follow()
            except (OSError, GarbledError) as wrong:
                if self.moved.is_set():
                    logger.info("change log: followed at another address after event {}", self.last)
                elif self.connects > connects or not told:  # not with every try
                    logger.warning("change log: {} after event {}", wrong, self.last)
                told = True
            except Exception:
                logger.exception("the change log's thread failed")
            # one that could be connected to is asked again at once: each moment without it counts against us
            fresh = self.connects > connects or self.moved.is_set()
            pause = BEAT / 32 if fresh else min(2 * pause, BEAT / 2)
            self.moved.wait(pause * (0.75 + self._drawn() / 4))

    def _follow(self) -> None:
        """One connection, until it ends."""
        with socket.create_connection(self.address, BEAT / 2) as sock:
            self.sock = sock
            if self.moved.is_set():  # meanwhile: this may be the old one
                return
            sock.sendall(struct.pack(">Q", self.last))
            self.connects += 1
            self.heard = self.heard._replace(current=False)
            while True:
                until = time.monotonic() + SILENCE * (1 + self._drawn() / 10)
                length, number, kind = HEAD.unpack(timely(sock, HEAD.size, until))
                rest = length - (HEAD.size - 4)
                if not 0 <= rest <= LARGEST:
                    raise GarbledError(f"a frame of {length} bytes")
                event = frame(number, kind, timely(sock, rest, until + rest / SLOWEST))
                with self.gate:
                    if event is not None and number > self.last:
                        self.last = number
                        self.events += 1
                        self.told(event, number)
                    now, current = time.monotonic_ns() // NS, self.heard.current or event is None
                    self.heard = Heard(now, current)

    def _drawn(self) -> float:
        """By name and turn, 0 to 1: what all gateways see at once they do not all answer at once. Names that
        differ in their last figure alone have check sums whose first bits are the same; multiplied they
        have not."""
        return zlib.crc32(f"{self.name} {self.connects}".encode()) * SPREADS % 2**32 / 2**32
