"""A Unix socket between two processes of a gateway, or to the upgrade command, that carries frames and
descriptors.

No call waits without a limit, and no frame is read that is longer than its kind may be. What a frame is for
is not known here.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import struct
import time
from collections import deque
from typing import Any, NamedTuple

from lilacloft.handover.framing import (
    HEADER,
    FormatError,
    MessageKind,
    decode,
    decode_header,
    encode_frame,
    verify_payload,
)

DESCRIPTORS_PER_MESSAGE = 100  # the kernel takes 253
READ_BYTES = 1 << 16  # at most in one read
SEND_TIMEOUT = 5.0  # seconds
MIN_SOCKET_TIMEOUT = 0.001  # seconds; 0 would make the socket non-blocking
DESCRIPTOR_BYTES = 4
PEER_CREDENTIALS = "3i"  # pid, uid, gid


class ChannelError(Exception):
    """The other side cannot be talked to; the text says why."""


class ChannelClosedError(ChannelError):
    """The other side has ended."""


class ChannelTimeoutError(ChannelError):
    """Nothing came within the time."""


class Peer(NamedTuple):
    """Who is at the other side, as the kernel knows it."""

    pid: int
    uid: int


class Frame(NamedTuple):
    """A frame that was received."""

    kind: MessageKind
    payload: bytes

    def decode(self, message_type: Any) -> Any:
        """Return its message of a type; raises FormatError if it holds none."""
        return decode(self.payload, message_type)


class Channel:
    """One end of the channel. One thread may send while another receives."""

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected socket; `close` closes it."""
        self.sock = sock
        self._received = bytearray()
        self._descriptors: deque[int] = deque()  # received, and not taken yet

    def peer(self) -> Peer:
        """Return the process and the user at the other side."""
        size = struct.calcsize(PEER_CREDENTIALS)
        data = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
        pid, uid, _ = struct.unpack(PEER_CREDENTIALS, data)
        return Peer(pid, uid)

    def send(
        self,
        kind: MessageKind,
        message: Any = None,
        descriptors: tuple[int, ...] = (),
        timeout: float = SEND_TIMEOUT,
    ) -> None:
        """Write one frame, and its descriptors before it, within a time in seconds.

        Raises ChannelError if the other side does not take it, FormatError if the message is too long.
        """
        data = memoryview(encode_frame(kind, message))
        self.sock.settimeout(timeout)
        deadline = time.monotonic() + timeout
        try:
            self._send_descriptors(descriptors)
            while data:
                self.sock.settimeout(max(MIN_SOCKET_TIMEOUT, deadline - time.monotonic()))
                data = data[self.sock.send(data) :]
        except (OSError, ValueError) as error:
            raise ChannelError(f"cannot be written to: {error}") from error

    def _send_descriptors(self, descriptors: tuple[int, ...]) -> None:
        """Write descriptors, in as many messages as they need."""
        for start in range(0, len(descriptors), DESCRIPTORS_PER_MESSAGE):
            batch = descriptors[start : start + DESCRIPTORS_PER_MESSAGE]
            frame = encode_frame(MessageKind.DESCRIPTORS, len(batch))
            rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", batch))
            if self.sock.sendmsg([frame], [rights]) < len(frame):
                raise ChannelError("the other side does not read")

    def receive(self, timeout: float, kinds: tuple[MessageKind, ...] = ()) -> Frame:
        """Return the next frame within a time in seconds; descriptors before it wait for `pop_descriptors`.

        `kinds`: those that are expected; empty: any. Raises ChannelClosedError, ChannelTimeoutError or
        another ChannelError if none comes, and FormatError if it is not as expected.
        """
        deadline = time.monotonic() + timeout
        while True:
            header = decode_header(self._read(HEADER.size, deadline))
            payload = verify_payload(self._read(header.length, deadline), header.checksum)
            if header.kind is MessageKind.DESCRIPTORS:
                decode(payload, int)
                continue
            if kinds and header.kind not in kinds:
                expected = " or ".join(kind.name for kind in kinds)
                raise FormatError(f"{header.kind.name} instead of {expected}")
            return Frame(header.kind, payload)

    def _read(self, size: int, deadline: float) -> bytes:
        """Return the next bytes, which may have been received before."""
        while len(self._received) < size:
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise ChannelTimeoutError("nothing came in time")
            self.sock.settimeout(remaining_seconds)
            self._receive_more(size - len(self._received))
        data = bytes(self._received[:size])
        del self._received[:size]
        return data

    def _receive_more(self, missing: int) -> None:
        """Read once from the socket; `missing`: bytes that are waited for."""
        try:
            data, ancillary, _, _ = self.sock.recvmsg(
                min(READ_BYTES, max(missing, HEADER.size)),
                socket.CMSG_SPACE(DESCRIPTOR_BYTES * DESCRIPTORS_PER_MESSAGE),
                socket.MSG_CMSG_CLOEXEC,
            )
        except TimeoutError:
            return  # the socket's limit may have been that of another thread that sends
        except OSError as error:
            raise ChannelError(f"broken: {error}") from error
        for level, message_type, content in ancillary:
            if level == socket.SOL_SOCKET and message_type == socket.SCM_RIGHTS:
                descriptors = array.array("i")
                descriptors.frombytes(content[: len(content) - len(content) % descriptors.itemsize])
                self._descriptors.extend(descriptors)
        if not data:
            raise ChannelClosedError("the other side has ended")
        self._received += data

    def pop_sockets(self, count: int) -> list[socket.socket]:
        """Return the next descriptors that were received as sockets; see `pop_descriptors`."""
        return [socket.socket(fileno=descriptor) for descriptor in self.pop_descriptors(count)]

    def pop_descriptors(self, count: int) -> list[int]:
        """Return the next descriptors that were received; raises FormatError if there are fewer."""
        if len(self._descriptors) < count:
            raise FormatError(f"{len(self._descriptors)} descriptors instead of {count}")
        return [self._descriptors.popleft() for _ in range(count)]

    def close(self) -> None:
        """Close it, and the descriptors that were not taken."""
        while self._descriptors:
            os.close(self._descriptors.popleft())
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
