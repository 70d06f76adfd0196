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

from lilacloft.net.resp import encode, encode_fields

RESET = struct.pack("ii", 1, 0)


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
