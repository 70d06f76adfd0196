"""Connections between gateways and planners: frames over TCP, with two threads per connection.

Sending never blocks: the queue of a connection is bounded, and drops its oldest frames.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

from lilacloft.control import codec
from lilacloft.control.codec import HEAD, WireError
from lilacloft.log import logger
from lilacloft.net.exact_reads import read_exactly

MAX_QUEUED_FRAMES = 4  # per connection
CONNECT_TIMEOUT = 1.0  # seconds
SILENCE_TIMEOUT = 5.0  # seconds without data, after which a connection is closed
RECONNECT_DELAY = 0.25  # seconds
MAX_CONNECTIONS = 4096  # accepted by a planner
LISTEN_BACKLOG = 256

Address = tuple[str, int]


class Connection:
    """One connection: one thread reads messages, another writes the queued frames."""

    def __init__(
        self,
        sock: socket.socket,
        hello: bytes,
        on_message: Callable[[Connection, Any], None],
        on_close: Callable[[Connection], None],
    ) -> None:
        """`hello`: the frame that is sent before all queued frames. `on_message`, `on_close`: called in the
        reading thread."""
        self.sock, self.on_message, self.on_close = sock, on_message, on_close
        self.hello = hello
        self.queue: deque[bytes] = deque()
        self.changed = threading.Condition()
        self.is_closed = False
        self.peer_hello: Any = None
        self.dropped = 0  # frames
        sock.settimeout(SILENCE_TIMEOUT)
        with contextlib.suppress(OSError):  # not supported by socket pairs
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        """Start both threads."""
        for target in (self._read, self._write):
            threading.Thread(target=target, daemon=True).start()

    def send(self, frame: bytes) -> None:
        """Queue a frame without blocking."""
        with self.changed:
            if len(self.queue) >= MAX_QUEUED_FRAMES:
                self.queue.popleft()
                self.dropped += 1
            self.queue.append(frame)
            self.changed.notify()

    def close(self) -> None:
        """Close the connection and stop its threads."""
        with self.changed:
            self.is_closed = True
            self.changed.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _write(self) -> None:
        try:
            self.sock.sendall(self.hello)
            while True:
                with self.changed:
                    while not self.queue and not self.is_closed:
                        self.changed.wait()
                    if self.is_closed:
                        return
                    frame = self.queue.popleft()
                self.sock.sendall(frame)
        except OSError:
            self.close()

    def _read(self) -> None:
        try:
            self._read_messages()
        except WireError as error:
            logger.warning("control plane: connection closed: {}", error)
        except OSError:
            pass
        except Exception:
            logger.exception("control plane: the reading thread of a connection failed")
        finally:
            self.close()
            self.sock.close()
            self.on_close(self)

    def _read_messages(self) -> None:
        """Read messages until the connection fails with an `OSError`; raise `WireError` for an invalid
        one."""
        with self.sock.makefile("rb") as stream:
            while True:
                length = codec.message_length(read_exactly(stream, HEAD.size))
                message = codec.decode_message(read_exactly(stream, length))
                if self.peer_hello is None:
                    if not message.HasField("hello"):
                        raise WireError("the first message is not a hello")
                    codec.negotiate_version(message.hello)
                    self.peer_hello = message.hello
                self.on_message(self, message)


class Client:
    """A connection to one peer, with automatic reconnect. Frames sent while there is no connection are
    dropped, as the next report or gossip replaces them."""

    def __init__(
        self,
        address: Address,
        make_hello: Callable[[], bytes],
        on_message: Callable[[Connection, Any], None],
    ) -> None:
        self.address, self.make_hello, self.on_message = address, make_hello, on_message
        self.connection: Connection | None = None
        self.is_closed = threading.Event()
        self.connects = 0
        threading.Thread(target=self._run, daemon=True).start()

    def send(self, frame: bytes) -> bool:
        """Queue a frame; return whether there is a connection."""
        connection = self.connection
        if connection is None or connection.is_closed:
            return False
        connection.send(frame)
        return True

    def close(self) -> None:
        """Close the connection, and stop reconnecting."""
        self.is_closed.set()
        if self.connection:
            self.connection.close()

    def _run(self) -> None:
        while not self.is_closed.is_set():
            closed = threading.Event()
            try:
                sock = socket.create_connection(self.address, CONNECT_TIMEOUT)
            except OSError:
                self.is_closed.wait(RECONNECT_DELAY)
                continue
            self.connects += 1
            connection = Connection(
                sock, self.make_hello(), self.on_message, lambda _, closed=closed: closed.set()
            )
            self.connection = connection
            connection.start()
            closed.wait()
            self.is_closed.wait(RECONNECT_DELAY)


class Server:
    """Accepts connections from peers."""

    def __init__(
        self,
        address: Address,
        make_hello: Callable[[], bytes],
        on_message: Callable[[Connection, Any], None],
    ) -> None:
        self.make_hello, self.on_message = make_hello, on_message
        self.sock = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self.connections: dict[Connection, None] = {}
        self.lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            with self.lock:
                if len(self.connections) >= MAX_CONNECTIONS:
                    sock.close()
                    continue
                connection = Connection(sock, self.make_hello(), self.on_message, self._remove)
                self.connections[connection] = None
            try:
                connection.start()
            except RuntimeError:  # the system cannot start another thread
                connection.close()
                self._remove(connection)

    def _remove(self, connection: Connection) -> None:
        with self.lock:
            self.connections.pop(connection, None)

    def close(self) -> None:
        """Stop accepting connections, and close all of them."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            connection.close()
