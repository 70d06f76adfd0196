"""Sends a schedule to gateways over the platform's protocol and collects the answers, with connections,
threads and the clock. `schedule` decides what is sent when."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from lilacloft.emulator.worlds import SECOND, World
from lilacloft.load.schedule import Due, Tally, name
from lilacloft.net.resp import GarbledError, MessageBuffer, encode, encode_fields

OUTCOMES = {b"200": "done", b"503": "denied"}
MAX_OPEN = 24  # open requests per connection before another is opened; the protocol allows 32


class Connection:
    """One connection to a gateway."""

    def __init__(self, load: Load, address: tuple[str, int]) -> None:
        self.load = load
        self.sock = socket.create_connection(address, 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open: dict[bytes, Due] = {}
        self.over = False
        self.tags = 0
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, due: Due) -> None:
        self.tags += 1
        tag = b"%d" % self.tags
        self.open[tag] = due
        vhost, ask = self.load.world.vhosts[due.ask.vhost], due.ask
        write = vhost.effect != "replayable"
        kbytes = 2.0 if write or vhost.passes else ask.kbytes
        fields: dict[str, Any] = {
            "ref": f"{self.load.mark:08x}{due.number:08x}",
            "allow": vhost.timeout // 10,
            "lookup": name(ask.key),
            "nth": ask.part,
            "batch": ask.group,
            "room": round(kbytes, 1),
        }
        if vhost.effect == "uniqued":
            fields["replay"] = name(ask.effect) * 2
        data = encode(
            b"EXEC", tag, vhost.name.encode(), encode_fields(fields.items()), b"x" * 90 if write else b""
        )
        self.sock.sendall(data)

    def _read(self) -> None:
        buffer = MessageBuffer()
        with contextlib.suppress(OSError, GarbledError):
            while buffer.read_from(self.sock):
                while (items := buffer.next_message()) is not None:
                    due = self.open.pop(items[0], None)
                    if due is not None:
                        self.load.heard(due, OUTCOMES.get(items[1], "aborted"))
        self.over = True
        for due in list(self.open.values()):
            self.load.heard(due, "lost")


class Load:
    """One load run, from the first request to the last answer."""

    def __init__(self, world: World, gateways: list[tuple[str, int]], mark: int = 1) -> None:
        self.world, self.gateways, self.mark = world, gateways, mark
        self.tally, self.lock = Tally(world), threading.Lock()
        self.lines: list[list[Connection]] = [[] for _ in gateways]
        self.began = 0.0

    def heard(self, due: Due, word: str) -> None:
        took = int((time.monotonic() - self.began) * SECOND) - due.at
        with self.lock:
            self.tally.answer(due, word, took)

    def run(self, schedule: Iterable[Due]) -> Tally:
        """Send all requests and wait for the outstanding answers."""
        self.began = time.monotonic()
        for due in schedule:
            remaining = self.began + due.at / SECOND - time.monotonic()
            if remaining > 0:
                time.sleep(remaining)
            with self.lock:
                self.tally.ask(due, int(-remaining * SECOND))
            try:
                self._line(due.gateway).send(due)
            except OSError:
                self.heard(due, "unsent")
        until = time.monotonic() + max(one.timeout for one in self.world.vhosts) / SECOND + 1.0
        while self.tally.open() and time.monotonic() < until:
            time.sleep(0.02)
        for lines in self.lines:
            for line in lines:
                with contextlib.suppress(OSError):
                    line.sock.shutdown(socket.SHUT_RDWR)
        return self.tally

    def _line(self, gateway: int) -> Connection:
        lines = self.lines[gateway]
        lines[:] = [line for line in lines if not line.over]
        line = min(lines, key=lambda one: len(one.open), default=None)
        if line is None or len(line.open) >= MAX_OPEN or len(lines) < 4:
            line = Connection(self, self.gateways[gateway])
            lines.append(line)
        return line


def quantiles(took: list[int]) -> dict[str, float]:
    """Return the count and quantiles in ms of durations in tenths of a millisecond, by an HdrHistogram."""
    histogram = HdrHistogram(1, 10_000_000, 3)
    for one in took:
        histogram.record_value(max(1, one))
    out = {f"p{at:g}": histogram.get_value_at_percentile(at) / 10 for at in (50, 90, 99, 99.9)}
    return {"count": len(took), **out, "max": max(took, default=0) / 10}


def report(tally: Tally) -> dict[str, Any]:
    """Return a tally as plain values for JSON."""
    return {
        "asked": sum(tally.asked.values()),
        "worth": round(tally.worth, 4),
        "sent_late": tally.late,
        "unanswered": tally.open(),
        **{word: tally.count(word) for word in ("done", "denied", "aborted", "lost", "unsent")},
        "ms": {vhost: quantiles(took) for vhost, took in sorted(tally.took.items())},
        "all_ms": quantiles([one for took in tally.took.values() for one in took]),
    }
