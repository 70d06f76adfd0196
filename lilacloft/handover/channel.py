"""Owns a Unix socket between two processes of a gateway, or to the upgrade command: frames and descriptors.

It must never wait without a limit, never take more than a frame may hold, and never know what a frame is for.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
import time
from collections import deque
from typing import Any

from lilacloft.handover.messages import HEAD, FormError, Kind, check, frame, head, read

BATCH = 100  # descriptors in one message; the kernel takes 253
PIECE = 1 << 16


class BrokenError(Exception):
    """The other side has ended, or said nothing in time; the text says which."""


class Channel:
    """One end. One thread may send while another receives."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.held = bytearray()
        self.fds: deque[int] = deque()  # received and not yet asked for

    def peer(self) -> tuple[int, int]:
        """Process and user at the other side, as the kernel knows them."""
        data = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        pid, uid, _ = struct.unpack("3i", data)
        return pid, uid

    def send(self, kind: Kind, record: Any = None, fds: tuple[int, ...] = (), wait: float = 5.0) -> None:
        """Write one frame, with descriptors in as many messages as they need before it."""
        data = memoryview(frame(kind, record))
        self.sock.settimeout(wait)
        until = time.monotonic() + wait
        try:
            for at in range(0, len(fds), BATCH):
                part = fds[at : at + BATCH]
                more = frame(Kind.SOCKETS, len(part))
                if self.sock.sendmsg(
                    [more], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", part))]
                ) < len(more):
                    raise BrokenError("the other side does not read")
            while data:
                self.sock.settimeout(max(0.001, until - time.monotonic()))
                data = data[self.sock.send(data) :]
        except (OSError, ValueError) as wrong:
            raise BrokenError(f"cannot be written to: {wrong}") from wrong

    def receive(self, wait: float, among: tuple[Kind, ...] = ()) -> tuple[Kind, bytes]:
        """The next frame within a time, of one of some kinds; descriptors before it are put by."""
        until = time.monotonic() + wait
        while True:
            kind, length, crc = head(self._read(HEAD.size, until))
            payload = check(self._read(length, until), crc)
            if kind is Kind.SOCKETS:
                read(payload, int)
                continue
            if among and kind not in among:
                raise FormError(f"{kind.name} instead of {' or '.join(one.name for one in among)}")
            return kind, payload

    def _read(self, count: int, until: float) -> bytes:
        while len(self.held) < count:
            left = until - time.monotonic()
            if left <= 0:
                raise BrokenError("nothing came in time")
            self.sock.settimeout(left)
            try:
                data, others, _, _ = self.sock.recvmsg(
                    min(PIECE, max(count - len(self.held), HEAD.size)),
                    socket.CMSG_SPACE(4 * BATCH),
                    socket.MSG_CMSG_CLOEXEC,
                )
            except TimeoutError:
                continue  # the socket's limit may have been that of another thread that sends
            except OSError as wrong:
                raise BrokenError(f"broken: {wrong}") from wrong
            for level, kind, inside in others:
                if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                    fds = array.array("i")
                    fds.frombytes(inside[: len(inside) - len(inside) % fds.itemsize])
                    self.fds.extend(fds)
            if not data:
                raise BrokenError("the other side has ended")
            self.held += data
        data = bytes(self.held[:count])
        del self.held[:count]
        return data

    def sockets(self, count: int) -> list[socket.socket]:
        """The next descriptors as sockets."""
        return [socket.socket(fileno=fd) for fd in self.descriptors(count)]

    def descriptors(self, count: int) -> list[int]:
        """The next descriptors."""
        if len(self.fds) < count:
            raise FormError(f"{len(self.fds)} descriptors instead of {count}")
        return [self.fds.popleft() for _ in range(count)]

    def close(self) -> None:
        """End it; what was not asked for goes with it."""
        while self.fds:
            os.close(self.fds.popleft())
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
