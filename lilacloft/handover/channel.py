"""Sends and receives frames and file descriptors over a Unix socket.

The peer is another process of the same gateway, or the upgrade command. Every call has a timeout, and the
payload of a frame that is longer than its message kind allows is not read. This module does not interpret
messages.
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

DESCRIPTORS_PER_MESSAGE = 100  # the kernel accepts at most 253 (SCM_MAX_FD)
READ_BYTES = 1 << 16  # maximum for one read
SEND_TIMEOUT = 5.0  # seconds
MIN_SOCKET_TIMEOUT = 0.001  # seconds; 0 would make the socket non-blocking
DESCRIPTOR_BYTES = 4
PEER_CREDENTIALS = "3i"  # pid, uid, gid


class ChannelError(Exception):
    """The channel failed; the text gives the reason."""


class ChannelClosedError(ChannelError):
    """The peer has closed its end of the channel."""


class ChannelTimeoutError(ChannelError):
    """No message arrived within the timeout."""


class Peer(NamedTuple):
    """The peer's credentials, as reported by the kernel."""

    pid: int
    uid: int


class Frame(NamedTuple):
    """A received frame."""

    kind: MessageKind
    payload: bytes

    def decode(self, message_type: Any) -> Any:
        """Return the payload as a `message_type`; raises FormatError if it cannot be decoded as one."""
        return decode(self.payload, message_type)


class Channel:
    """One end of a channel. One thread may send while another receives."""

    def __init__(self, sock: socket.socket) -> None:
        """Take ownership of a connected socket; `close` closes it."""
        self.sock = sock
        self._received = bytearray()
        self._descriptors: deque[int] = deque()  # received, and not yet popped

    def peer(self) -> Peer:
        """Return the process id and the user id of the peer."""
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
        """Write one frame, preceded by its descriptors, within `timeout` seconds.

        Raises ChannelError if the frame cannot be written, FormatError if the message is too long.
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
            raise ChannelError(f"write failed: {error}") from error

    def _send_descriptors(self, descriptors: tuple[int, ...]) -> None:
        """Write descriptors, in batches of DESCRIPTORS_PER_MESSAGE."""
        for start in range(0, len(descriptors), DESCRIPTORS_PER_MESSAGE):
            batch = descriptors[start : start + DESCRIPTORS_PER_MESSAGE]
            frame = encode_frame(MessageKind.DESCRIPTORS, len(batch))
            rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", batch))
            if self.sock.sendmsg([frame], [rights]) < len(frame):
                raise ChannelError("descriptors could not be written: the peer is not reading")

    def receive(self, timeout: float, kinds: tuple[MessageKind, ...] = ()) -> Frame:
        """Return the next frame within `timeout` seconds; keep descriptors before it for `pop_descriptors`.

        `kinds`: the kinds that are accepted; empty: any. Raises ChannelClosedError, ChannelTimeoutError or
        another ChannelError if no frame arrives, and FormatError if the frame is invalid or of another kind.
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
                raise FormatError(f"received {header.kind.name}, expected {expected}")
            return Frame(header.kind, payload)

    def _read(self, size: int, deadline: float) -> bytes:
        """Return the next `size` bytes, from the buffer as far as it has them."""
        while len(self._received) < size:
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise ChannelTimeoutError("no message arrived in time")
            self.sock.settimeout(remaining_seconds)
            self._receive_more(size - len(self._received))
        data = bytes(self._received[:size])
        del self._received[:size]
        return data

    def _receive_more(self, missing: int) -> None:
        """Read once from the socket into the buffer. `missing`: the number of bytes still needed."""
        try:
            data, ancillary, _, _ = self.sock.recvmsg(
                min(READ_BYTES, max(missing, HEADER.size)),
                socket.CMSG_SPACE(DESCRIPTOR_BYTES * DESCRIPTORS_PER_MESSAGE),
                socket.MSG_CMSG_CLOEXEC,
            )
        except TimeoutError:
            return  # the timeout may be one that a sending thread set on the same socket
        except OSError as error:
            raise ChannelError(f"read failed: {error}") from error
        for level, message_type, content in ancillary:
            if level == socket.SOL_SOCKET and message_type == socket.SCM_RIGHTS:
                descriptors = array.array("i")
                descriptors.frombytes(content[: len(content) - len(content) % descriptors.itemsize])
                self._descriptors.extend(descriptors)
        if not data:
            raise ChannelClosedError("the peer closed the channel")
        self._received += data

    def pop_sockets(self, count: int) -> list[socket.socket]:
        """Return the next received descriptors as sockets; see `pop_descriptors`."""
        return [socket.socket(fileno=descriptor) for descriptor in self.pop_descriptors(count)]

    def pop_descriptors(self, count: int) -> list[int]:
        """Return the next received descriptors; raises FormatError if fewer were received."""
        if len(self._descriptors) < count:
            raise FormatError(f"received {len(self._descriptors)} descriptors, expected {count}")
        return [self._descriptors.popleft() for _ in range(count)]

    def close(self) -> None:
        """Close the socket, and received descriptors that were not popped."""
        while self._descriptors:
            os.close(self._descriptors.popleft())
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
