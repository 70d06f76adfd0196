"""A Unix socket that streams a gateway's records: the recent ones first, then each new one.

Only processes of the same user and of root may connect. A reader that does not keep up is disconnected: the
writing thread never waits for one.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading
from collections import deque

from lilacloft.log import logger

RECENT_RECORDS = 900  # replayed to a new reader: about ten minutes
MAX_READERS = 8
SEND_BUFFER_BYTES = 1 << 20  # for each reader
PEER_CREDENTIALS = struct.Struct("3i")  # process id, user id, group id


class LiveStream:
    """The stream of one gateway. The writing thread publishes; another thread accepts readers."""

    def __init__(self, path: str, head: bytes) -> None:
        """Listen on `path`; `head` is the first line sent to each reader. Raises OSError."""
        self.path, self.head = path, head
        self.recent: deque[bytes] = deque(maxlen=RECENT_RECORDS)
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
        self.sock.listen(MAX_READERS)
        threading.Thread(target=self._accept_readers, daemon=True).start()

    def publish(self, lines: list[bytes]) -> None:
        """Send lines to all readers."""
        with self.lock:
            self.recent.extend(lines)
            data = b"".join(lines)
            for reader in list(self.readers):
                if data and not self._send(reader, data):
                    self.readers.remove(reader)

    @staticmethod
    def _send(reader: socket.socket, data: bytes) -> bool:
        """Send all data in one call. Close the connection if only a part fits, as nothing may follow a
        partial line."""
        try:
            if reader.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL) == len(data):
                return True
        except OSError:
            pass
        reader.close()
        return False

    def _accept_readers(self) -> None:
        while True:
            try:
                reader, _ = self.sock.accept()
                self._add_reader(reader)
            except OSError as error:
                logger.error("record socket: no more readers are accepted: {}", error)
                return

    def _add_reader(self, reader: socket.socket) -> None:
        credentials = reader.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, user, _ = PEER_CREDENTIALS.unpack(credentials)
        if user not in (0, os.getuid()) or len(self.readers) >= MAX_READERS:
            reader.close()
            return
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        with self.lock:
            if self._send(reader, self.head + b"".join(self.recent)):
                self.readers.append(reader)
