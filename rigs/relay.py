"""A TCP relay with fault injection: one process carries many loopback links, with separate faults for each
direction.

`python -m rigs.relay SPEC` reads pairs of ports (to listen on, to connect to) from a JSON file, and
commands from standard input, one JSON object per line:

    {"links": [0, 3], "way": "up" | "down" | "both", "set": {"stall": true, "delay": 0.05, "rate": 20000,
     "lossy": 0.1, "reset": 0.01}, "break": true}

`up` is the direction from the connecting side. `stall`: nothing is forwarded; received data is held in a
bounded buffer and, once that is full, no longer read, so that the buffers of the sender fill as on a path
that drops all packets. A close is forwarded nevertheless, as it would be eventually. `delay`: additional
seconds for each chunk; `rate`: bytes per second; `lossy`: fraction of the chunks that arrive by
retransmission; `reset`: fraction of the chunks at which the connection is reset. `break` resets open
connections. The process exits at the end of standard input.
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

BUFFER_BYTES = 1 << 18  # bytes buffered per direction of a connection
RETRANSMISSION_DELAY = (0.2, 0.6)  # seconds
CHUNK_BYTES = 1 << 15
CONNECT_TIMEOUT = 2.0  # seconds
REPORTED_DELAY = 0.02  # seconds; a chunk that is forwarded later than this is reported


class Fault:
    """The current faults of one direction of one link."""

    def __init__(self) -> None:
        self.stall, self.delay, self.rate, self.lossy, self.reset = False, 0.0, 0.0, 0.0, 0.0


class Direction:
    """One direction of one connection."""

    def __init__(self, source: socket.socket, sink: socket.socket, fault: Fault) -> None:
        self.source, self.sink, self.fault = source, sink, fault
        self.chunks: deque[tuple[float, bytes]] = deque()
        self.held, self.ended, self.due = 0, False, 0.0


class RelayedConnection:
    """One connection with both directions."""

    def __init__(
        self, link: int, near: socket.socket, far: socket.socket, faults: tuple[Fault, Fault]
    ) -> None:
        self.link, self.near, self.far, self.established = link, near, far, False
        self.since = time.monotonic()
        self.directions = (Direction(near, far, faults[0]), Direction(far, near, faults[1]))


class Relay:
    """The links of one process."""

    def __init__(self, ports: list[tuple[int, int]], seed: int) -> None:
        self.chance = random.Random(seed)
        self.select = selectors.DefaultSelector()
        self.faults = [(Fault(), Fault()) for _ in ports]
        self.targets = [target for _, target in ports]
        self.connections: dict[RelayedConnection, None] = {}
        for number, (port, _) in enumerate(ports):
            listener = socket.create_server(("127.0.0.1", port), backlog=64)
            listener.setblocking(False)
            self.select.register(listener, selectors.EVENT_READ, ("listener", number))
        self.over = False
        self.text = b""

    def run(self) -> None:
        os.set_blocking(0, False)
        self.select.register(0, selectors.EVENT_READ, ("command", None))
        print("ready", flush=True)
        while not self.over:
            for key, mask in self.select.select(self._poll_timeout()):
                kind, what = key.data
                if kind == "listener":
                    self._accept(key.fileobj, what)
                elif kind == "command":
                    self._read_commands()
                else:
                    self._handle_ready(what, key.fileobj, mask)
            now = time.monotonic()
            for connection in list(self.connections):
                if not connection.established and now - connection.since > CONNECT_TIMEOUT:
                    self._close(connection, True)
                elif connection.established:
                    self._forward(connection, now)

    def _poll_timeout(self) -> float:
        now, wait = time.monotonic(), 0.5
        for connection in self.connections:
            for way in connection.directions:
                if connection.established and way.chunks and not way.fault.stall:
                    wait = min(wait, max(0.0, max(way.due, way.chunks[0][0]) - now))
        return wait

    def _accept(self, listener: Any, link: int) -> None:
        with contextlib.suppress(OSError):
            near, _ = listener.accept()
            far = socket.socket()
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            far.connect_ex(("127.0.0.1", self.targets[link]))
            connection = RelayedConnection(link, near, far, self.faults[link])
            self.connections[connection] = None
            self.select.register(far, selectors.EVENT_WRITE, ("connection", connection))

    def _handle_ready(self, connection: RelayedConnection, sock: Any, mask: int) -> None:
        if connection not in self.connections:
            return
        if not connection.established:
            if connection.far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return self._close(connection, True)
            connection.established = True
            self.select.unregister(connection.far)
            for one in (connection.near, connection.far):
                self.select.register(one, selectors.EVENT_READ, ("connection", connection))
            return None
        way = connection.directions[sock is connection.far]
        unread_for = since_last_data(sock)
        try:
            data = sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            return self._close(connection, True)
        if not data:
            if way.fault.stall or not way.chunks:
                return self._close(connection, False)
            way.ended = True
            self.select.unregister(sock)
            return None
        self._report_lateness(unread_for)
        fault, now = way.fault, time.monotonic()
        if fault.reset and self.chance.random() < fault.reset:
            return self._close(connection, True)
        late = fault.delay
        if fault.lossy and self.chance.random() < fault.lossy:
            late += self.chance.uniform(*RETRANSMISSION_DELAY)
        last = way.chunks[-1][0] if way.chunks else 0.0
        way.chunks.append((max(last, now + late), data))
        way.held += len(data)
        if way.held >= BUFFER_BYTES:
            self.select.unregister(sock)
        return None

    def _report_lateness(self, late: float) -> None:
        """Report a chunk that this process handled late, as an entry of the account."""
        if late > REPORTED_DELAY:
            entry = {"at": time.time(), "who": "relay", "what": "passed", "late": late}
            print(json.dumps(entry), file=sys.stderr, flush=True)

    def _forward(self, connection: RelayedConnection, now: float) -> None:
        for way in connection.directions:
            while way.chunks and not way.fault.stall and max(way.chunks[0][0], way.due) <= now:
                due, data = way.chunks[0]
                self._report_lateness(now - max(due, way.due))
                chunk = data[: max(1, int(way.fault.rate * 0.02))] if way.fault.rate else data
                try:
                    sent = way.sink.send(chunk)
                except BlockingIOError:
                    way.due = now + 0.005
                    break
                except OSError:
                    return self._close(connection, True)
                full = way.held >= BUFFER_BYTES
                way.held -= sent
                way.chunks.popleft()
                if sent < len(data):
                    way.chunks.appendleft((due, data[sent:]))
                if way.fault.rate:
                    way.due = now + sent / way.fault.rate
                if full and way.held < BUFFER_BYTES and not way.ended:
                    self.select.register(way.source, selectors.EVENT_READ, ("connection", connection))
            if way.ended and not way.chunks:
                return self._close(connection, False)
        return None

    def _close(self, connection: RelayedConnection, reset: bool) -> None:
        self.connections.pop(connection, None)
        for sock in (connection.near, connection.far):
            with contextlib.suppress(KeyError, ValueError):
                self.select.unregister(sock)
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

    def _read_commands(self) -> None:
        data = os.read(0, 1 << 16)
        if not data:
            self.over = True
            return
        *lines, self.text = (self.text + data).split(b"\n")
        for line in lines:
            command = json.loads(line)
            links = set(command["links"])
            for link in links:
                for place in {"up": (0,), "down": (1,), "both": (0, 1)}[command.get("way", "both")]:
                    for name, value in command.get("set", {}).items():
                        setattr(self.faults[link][place], name, value)
            if command.get("break"):
                for connection in [connection for connection in self.connections if connection.link in links]:
                    self._close(connection, True)


def main() -> int:
    spec = json.loads(Path(sys.argv[1]).read_text())
    Relay([tuple(connection) for connection in spec["ports"]], spec["seed"]).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
