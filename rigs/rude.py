"""Misbehaving clients that run beside the clients whose requests are checked.

They send half requests or invalid data, reset or half-close connections, close with open requests, do not
read, and idle. The fate of their own requests is not checked; they only disturb the gateways.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import threading
import time
from collections.abc import Callable

from lilacloft.net.resp import MAX_FIELDS_SIZE, MAX_WRITE_SIZE, encode, encode_fields

RESET = struct.pack("ii", 1, 0)
FLOOD_TIME = 0.3  # seconds


class Rude:
    """A thread that connects to random gateways and misbehaves in one way per connection."""

    def __init__(self, ports: list[int], chance: random.Random, every: float = 0.05) -> None:
        self.ports, self.chance, self.every = ports, chance, every
        self.over, self.kept = False, list[socket.socket]()
        self.behaviours: tuple[Callable[[socket.socket], None], ...] = (
            self._send_half,
            self._send_invalid,
            self._reset,
            self._half_close,
            self._close_with_requests,
            self._never_read,
            self._stay_idle,
            self._send_many_and_close,
        )
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        self.over = True
        self.thread.join()
        for sock in self.kept:
            sock.close()

    def _run(self) -> None:
        while not self.over:
            time.sleep(self.chance.expovariate(1 / self.every))
            with contextlib.suppress(OSError):
                sock = socket.create_connection(("127.0.0.1", self.chance.choice(self.ports)), 1.0)
                self.chance.choice(self.behaviours)(sock)
            while len(self.kept) > 60:
                self.kept.pop(0).close()

    def _request(self, tag: int) -> bytes:
        fields = {
            "ref": f"{self.chance.getrandbits(64):016x}",
            "allow": 1500,
            "lookup": f"{self.chance.randrange(300):016x}",
            "nth": 0,
            "batch": 7,
            "room": 40.0,
        }
        return encode(b"EXEC", b"%d" % tag, b"clip", encode_fields(fields.items()), b"")

    def _send_half(self, sock: socket.socket) -> None:
        data = self._request(1)
        sock.sendall(data[: self.chance.randrange(1, len(data))])
        self.kept.append(sock)

    def _send_invalid(self, sock: socket.socket) -> None:
        sock.sendall(self._request(1) + b"GET / HTTP/1.1\r\n\r\n")
        self.kept.append(sock)

    def _reset(self, sock: socket.socket) -> None:
        sock.sendall(self._request(1) + self._request(2))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    def _half_close(self, sock: socket.socket) -> None:
        sock.sendall(self._request(1))
        sock.shutdown(socket.SHUT_WR)
        self.kept.append(sock)

    def _close_with_requests(self, sock: socket.socket) -> None:
        sock.sendall(b"".join(self._request(tag) for tag in range(1, 6)))
        time.sleep(self.chance.uniform(0, 0.02))
        sock.close()

    def _never_read(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(b"".join(self._request(tag) for tag in range(1, 33)))
        self.kept.append(sock)

    def _stay_idle(self, sock: socket.socket) -> None:
        self.kept.append(sock)

    def _send_many_and_close(self, sock: socket.socket) -> None:
        sock.sendall(b"".join(self._request(tag) for tag in range(1, 33)))
        sock.close()


class PressingRude(Rude):
    """Misbehaves in the ways of `Rude`, and in those that take up much memory or time of a gateway."""

    def __init__(self, ports: list[int], chance: random.Random, every: float = 0.05) -> None:
        super().__init__(ports, chance, every)
        self.behaviours += (
            self._send_most_of_a_write,
            self._send_most_of_a_write,
            self._send_short_fields,
            self._send_large_writes,
            self._flood_cancellations,
            self._flood_checks_unread,
        )

    def _write(self, tag: int) -> bytes:
        fields = {
            "ref": f"{self.chance.getrandbits(64):016x}",
            "allow": 1500,
            "replay": f"{self.chance.getrandbits(128):032x}",
            "lookup": f"{self.chance.randrange(300):016x}",
            "nth": 0,
            "batch": 7,
            "room": 40.0,
        }
        return encode(b"EXEC", b"%d" % tag, b"pay", encode_fields(fields.items()), bytes(MAX_WRITE_SIZE))

    def _send_most_of_a_write(self, sock: socket.socket) -> None:
        sock.sendall(self._write(1)[:47_000])
        self.kept.append(sock)

    def _send_short_fields(self, sock: socket.socket) -> None:
        fields = ",".join(f"f{number}=" for number in range(200))[:MAX_FIELDS_SIZE].encode()
        sock.sendall(b"".join(encode(b"EXEC", b"%d" % tag, b"clip", fields, b"") for tag in range(1, 33)))
        self.kept.append(sock)

    def _send_large_writes(self, sock: socket.socket) -> None:
        sock.settimeout(0.3)
        sock.sendall(b"".join(self._write(tag) for tag in range(1, 33)))
        self.kept.append(sock)

    def _flood_cancellations(self, sock: socket.socket) -> None:
        self._flood(sock, encode(b"FORGET", b"7") * 100)

    def _flood_checks_unread(self, sock: socket.socket) -> None:
        self._flood(sock, encode(b"ALIVE", b"7", b"") * 100)

    def _flood(self, sock: socket.socket, data: bytes) -> None:
        sock.settimeout(FLOOD_TIME)
        until = time.monotonic() + FLOOD_TIME
        while time.monotonic() < until:
            sock.sendall(data)
        self.kept.append(sock)
