"""A Unix socket on which a gateway's records can be followed as they come: the last ones first, then each
new one.

Only the same user and root may. It must never wait for a reader: who does not keep up is let go.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading
from collections import deque

from loguru import logger

KEPT = 900  # records that a new reader gets first: some ten minutes
READERS = 8
BEHIND = 1 << 20  # bytes that may wait for a reader in its socket


class Tap:
    """One gateway's. `tell` belongs to the records' thread; readers are accepted by another."""

    def __init__(self, path: str, head: bytes) -> None:
        self.path, self.head = path, head
        self.kept: deque[bytes] = deque(maxlen=KEPT)
        self.lock = threading.Lock()
        self.readers: list[socket.socket] = []
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        mask = os.umask(0o177)
        try:
            self.sock.bind(path)
        finally:
            os.umask(mask)
        self.sock.listen(READERS)
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, lines: list[bytes]) -> None:
        """Pass lines on."""
        with self.lock:
            self.kept.extend(lines)
            data = b"".join(lines)
            for reader in list(self.readers):
                if data and not self._send(reader, data):
                    self.readers.remove(reader)

    @staticmethod
    def _send(reader: socket.socket, data: bytes) -> bool:
        """All of it at once, or the reader is let go: half a line must not be followed by another."""
        try:
            if reader.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL) == len(data):
                return True
        except OSError:
            pass
        reader.close()
        return False

    def _accept(self) -> None:
        while True:
            try:
                reader, _ = self.sock.accept()
                told = reader.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
                if struct.unpack("3i", told)[1] not in (0, os.getuid()) or len(self.readers) >= READERS:
                    reader.close()
                    continue
                reader.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BEHIND)
                with self.lock:
                    if self._send(reader, self.head + b"".join(self.kept)):
                        self.readers.append(reader)
            except OSError as wrong:
                logger.error("records' socket: {}", wrong)
                return
