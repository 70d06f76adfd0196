"""Connections between forwarders and planners: frames over TCP, on threads. It must never hold up whoever
sends: what waits for a slow peer is bounded, and the newest is kept."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from lilacloft.control import codec
from lilacloft.control.codec import HEAD, WireError
from lilacloft.net.feed import exactly

WAITS = 4  # frames that wait to be sent to one peer; the oldest goes where there are more
CONNECT = 1.0  # seconds
SILENCE = 5.0  # without a frame a connection is given up
PAUSE = 0.25  # before another try to connect
MOST = 4096  # connections that a planner takes


class Peer:
    """One connection: a thread reads, another writes what waits."""

    def __init__(
        self,
        sock: socket.socket,
        hello: bytes,
        told: Callable[[Peer, Any], None],
        gone: Callable[[Peer], None],
    ) -> None:
        self.sock, self.told, self.gone = sock, told, gone
        self.hello = hello  # first of all, however much waits by then
        self.waits: deque[bytes] = deque()
        self.change = threading.Condition()
        self.over = False
        self.known: Any = None  # the other side's hello
        self.dropped = self.sent = self.read = 0
        sock.settimeout(SILENCE)
        with contextlib.suppress(OSError):  # a pair has none
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        for run in (self._read, self._write):
            threading.Thread(target=run, daemon=True).start()

    def send(self, data: bytes) -> None:
        """Have a frame sent; returns at once."""
        with self.change:
            if len(self.waits) >= WAITS:
                self.waits.popleft()
                self.dropped += 1
            self.waits.append(data)
            self.change.notify()

    def close(self) -> None:
        with self.change:
            self.over = True
            self.change.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _write(self) -> None:
        try:
            self.sock.sendall(self.hello)
            while True:
                with self.change:
                    while not self.waits and not self.over:
                        self.change.wait()
                    if self.over:
                        return
                    data = self.waits.popleft()
                self.sock.sendall(data)
                self.sent += len(data)
        except OSError:
            self.close()

    def _read(self) -> None:
        try:
            with self.sock.makefile("rb") as stream:
                while True:
                    length = codec.head(exactly(stream, HEAD.size))
                    message = codec.read(exactly(stream, length))
                    self.read += HEAD.size + length
                    if self.known is None:
                        if not message.HasField("hello"):
                            raise WireError("no hello")
                        codec.agreed(message.hello)
                        self.known = message.hello
                    self.told(self, message)
        except WireError as wrong:
            logger.warning("plan: a connection is ended: {}", wrong)
        except OSError:
            pass
        except Exception:
            logger.exception("plan: a connection's thread failed")
        finally:
            self.close()
            self.sock.close()
            self.gone(self)


class Dial:
    """A way to one peer, made again whenever it ends; what is sent meanwhile is dropped, as the next tells
    more."""

    def __init__(
        self, address: tuple[str, int], hello: Callable[[], bytes], told: Callable[[Peer, Any], None]
    ) -> None:
        self.address, self.hello, self.told = address, hello, told
        self.peer: Peer | None = None
        self.over = threading.Event()
        self.connects = 0
        threading.Thread(target=self._run, daemon=True).start()

    def send(self, data: bytes) -> bool:
        """Send where there is a connection; tells whether there is."""
        peer = self.peer
        if peer is None or peer.over:
            return False
        peer.send(data)
        return True

    def close(self) -> None:
        self.over.set()
        if self.peer:
            self.peer.close()

    def _run(self) -> None:
        while not self.over.is_set():
            ended = threading.Event()
            try:
                sock = socket.create_connection(self.address, CONNECT)
            except OSError:
                self.over.wait(PAUSE)
                continue
            self.connects += 1
            peer = Peer(sock, self.hello(), self.told, lambda _, ended=ended: ended.set())
            self.peer = peer
            peer.start()
            ended.wait()
            self.over.wait(PAUSE)


class Door:
    """Takes connections."""

    def __init__(
        self, address: tuple[str, int], hello: Callable[[], bytes], told: Callable[[Peer, Any], None]
    ) -> None:
        self.hello, self.told = hello, told
        self.sock = socket.create_server(address, backlog=256)
        self.peers: dict[Peer, None] = {}
        self.lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            with self.lock:
                if len(self.peers) >= MOST:
                    sock.close()
                    continue
                peer = Peer(sock, self.hello(), self.told, self._gone)
                self.peers[peer] = None
            try:
                peer.start()
            except RuntimeError:  # no thread to be had
                peer.close()
                self._gone(peer)

    def _gone(self, peer: Peer) -> None:
        with self.lock:
            self.peers.pop(peer, None)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        with self.lock:
            peers = list(self.peers)
        for peer in peers:
            peer.close()
