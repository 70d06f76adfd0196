"""Links that can fail: one process carries many TCP links on loopback, each direction of each by itself.

`python -m rigs.relay SPEC` reads pairs of ports (where to listen, where to connect) from a JSON file and
commands, one JSON object a line, from standard input:

    {"links": [0, 3], "way": "up" | "down" | "both", "set": {"stall": true, "delay": 0.05, "rate": 20000,
     "lossy": 0.1, "reset": 0.01}, "break": true}

`up` is from who connects. Stalled: nothing passes, what comes is held in a bounded buffer, and then nobody
reads, so that the sender's own buffers fill as on a path that drops everything; a close passes all the same,
as it would in the end. `delay`: seconds more for each piece, `rate`: bytes a second, `lossy`: part of the
pieces that come by a repeat, `reset`: part at which the connection is reset. `break` resets what is open.
It ends with standard input.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import selectors
import socket
import struct
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

from lilacloft.net.tcp_info import since_last_data

HOLDS = 1 << 18  # bytes a direction of a connection
REPEAT = (0.2, 0.6)
PIECE = 1 << 15
CONNECT = 2.0
NOTABLE = 0.02  # seconds by which a piece is passed on late, from which on it is told


class Fault:
    """How one direction of one link is now."""

    def __init__(self) -> None:
        self.stall, self.delay, self.rate, self.lossy, self.reset = False, 0.0, 0.0, 0.0, 0.0


class Way:
    """One direction of one connection."""

    def __init__(self, source: socket.socket, sink: socket.socket, fault: Fault) -> None:
        self.source, self.sink, self.fault = source, sink, fault
        self.pieces: deque[tuple[float, bytes]] = deque()
        self.held, self.ended, self.due = 0, False, 0.0


class Pair:
    """One connection: both directions."""

    def __init__(
        self, link: int, near: socket.socket, far: socket.socket, faults: tuple[Fault, Fault]
    ) -> None:
        self.link, self.near, self.far, self.up = link, near, far, False
        self.since = time.monotonic()
        self.ways = (Way(near, far, faults[0]), Way(far, near, faults[1]))


class Relay:
    """All links of one process."""

    def __init__(self, ports: list[tuple[int, int]], seed: int) -> None:
        self.chance = random.Random(seed)
        self.select = selectors.DefaultSelector()
        self.faults = [(Fault(), Fault()) for _ in ports]
        self.targets = [target for _, target in ports]
        self.pairs: dict[Pair, None] = {}
        for number, (port, _) in enumerate(ports):
            door = socket.create_server(("127.0.0.1", port), backlog=64)
            door.setblocking(False)
            self.select.register(door, selectors.EVENT_READ, ("door", number))
        self.over = False
        self.text = b""

    def run(self) -> None:
        os.set_blocking(0, False)
        self.select.register(0, selectors.EVENT_READ, ("told", None))
        print("ready", flush=True)
        while not self.over:
            for key, mask in self.select.select(self._wait()):
                kind, what = key.data
                if kind == "door":
                    self._accept(key.fileobj, what)
                elif kind == "told":
                    self._told()
                else:
                    self._moved(what, key.fileobj, mask)
            now = time.monotonic()
            for pair in list(self.pairs):
                if not pair.up and now - pair.since > CONNECT:
                    self._end(pair, True)
                elif pair.up:
                    self._pass(pair, now)

    def _wait(self) -> float:
        now, wait = time.monotonic(), 0.5
        for pair in self.pairs:
            for way in pair.ways:
                if pair.up and way.pieces and not way.fault.stall:
                    wait = min(wait, max(0.0, max(way.due, way.pieces[0][0]) - now))
        return wait

    def _accept(self, door: Any, link: int) -> None:
        with contextlib.suppress(OSError):
            near, _ = door.accept()
            far = socket.socket()
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            far.connect_ex(("127.0.0.1", self.targets[link]))
            pair = Pair(link, near, far, self.faults[link])
            self.pairs[pair] = None
            self.select.register(far, selectors.EVENT_WRITE, ("pair", pair))

    def _moved(self, pair: Pair, sock: Any, mask: int) -> None:
        if pair not in self.pairs:
            return
        if not pair.up:
            if pair.far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return self._end(pair, True)
            pair.up = True
            self.select.unregister(pair.far)
            for one in (pair.near, pair.far):
                self.select.register(one, selectors.EVENT_READ, ("pair", pair))
            return None
        way = pair.ways[sock is pair.far]
        unread_for = since_last_data(sock)
        try:
            data = sock.recv(PIECE)
        except BlockingIOError:
            return None
        except OSError:
            return self._end(pair, True)
        if not data:
            if way.fault.stall or not way.pieces:
                return self._end(pair, False)
            way.ended = True
            self.select.unregister(sock)
            return None
        self._note_lateness(unread_for)
        fault, now = way.fault, time.monotonic()
        if fault.reset and self.chance.random() < fault.reset:
            return self._end(pair, True)
        late = fault.delay
        if fault.lossy and self.chance.random() < fault.lossy:
            late += self.chance.uniform(*REPEAT)
        last = way.pieces[-1][0] if way.pieces else 0.0
        way.pieces.append((max(last, now + late), data))
        way.held += len(data)
        if way.held >= HOLDS:
            self.select.unregister(sock)
        return None

    def _note_lateness(self, late: float) -> None:
        """Tell of a piece that this process came to late, in its account."""
        if late > NOTABLE:
            entry = {"at": time.time(), "who": "relay", "what": "passed", "late": late}
            print(json.dumps(entry), file=sys.stderr, flush=True)

    def _pass(self, pair: Pair, now: float) -> None:
        for way in pair.ways:
            while way.pieces and not way.fault.stall and max(way.pieces[0][0], way.due) <= now:
                due, data = way.pieces[0]
                self._note_lateness(now - max(due, way.due))
                piece = data[: max(1, int(way.fault.rate * 0.02))] if way.fault.rate else data
                try:
                    sent = way.sink.send(piece)
                except BlockingIOError:
                    way.due = now + 0.005
                    break
                except OSError:
                    return self._end(pair, True)
                full = way.held >= HOLDS
                way.held -= sent
                way.pieces.popleft()
                if sent < len(data):
                    way.pieces.appendleft((due, data[sent:]))
                if way.fault.rate:
                    way.due = now + sent / way.fault.rate
                if full and way.held < HOLDS and not way.ended:
                    self.select.register(way.source, selectors.EVENT_READ, ("pair", pair))
            if way.ended and not way.pieces:
                return self._end(pair, False)
        return None

    def _end(self, pair: Pair, reset: bool) -> None:
        self.pairs.pop(pair, None)
        for sock in (pair.near, pair.far):
            with contextlib.suppress(KeyError, ValueError):
                self.select.unregister(sock)
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

    def _told(self) -> None:
        data = os.read(0, 1 << 16)
        if not data:
            self.over = True
            return
        *lines, self.text = (self.text + data).split(b"\n")
        for line in lines:
            told = json.loads(line)
            links = set(told["links"])
            for link in links:
                for place in {"up": (0,), "down": (1,), "both": (0, 1)}[told.get("way", "both")]:
                    for name, value in told.get("set", {}).items():
                        setattr(self.faults[link][place], name, value)
            if told.get("break"):
                for pair in [pair for pair in self.pairs if pair.link in links]:
                    self._end(pair, True)


def main() -> int:
    spec = json.loads(Path(sys.argv[1]).read_text())
    Relay([tuple(pair) for pair in spec["ports"]], spec["seed"]).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
