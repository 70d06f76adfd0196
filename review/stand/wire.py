"""RESP arrays of bulk strings, and the field lists in them, as the protocol page describes them."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterable, Iterator


def encode(*items: bytes) -> bytes:
    """Return an array of bulk strings."""
    parts = [b"*%d\r\n" % len(items)]
    for item in items:
        parts += (b"$%d\r\n" % len(item), item, b"\r\n")
    return b"".join(parts)


def encode_fields(pairs: Iterable[tuple[str, object]]) -> bytes:
    """Return a field list; `-` if it is empty."""
    return ",".join(f"{name}={value}" for name, value in pairs if value is not None).encode() or b"-"


def decode_fields(data: bytes) -> dict[str, str]:
    """Return a field list's values by name."""
    if data in (b"-", b""):
        return {}
    return dict(pair.split("=", 1) for pair in data.decode().split(","))


def messages(sock: socket.socket, rate: float = 0.0, chunk: int = 65536) -> Iterator[list[bytes]]:
    """Yield the messages of a connection until it ends; an empty one at last if it ended within a message.
    `rate`: bytes per second at most; 0: no limit. Raises OSError if the connection breaks."""
    data, began, taken = bytearray(), time.monotonic(), 0

    def more() -> None:
        nonlocal taken
        if rate:
            time.sleep(max(0.0, began + taken / rate - time.monotonic()))
        got = sock.recv(chunk)
        if not got:
            raise EOFError
        taken += len(got)
        data.extend(got)

    def line(at: int) -> tuple[bytes, int]:
        while (end := data.find(b"\r\n", at)) < 0:
            more()
        return bytes(data[at:end]), end + 2

    try:
        while True:
            head, at = line(0)
            if head[:1] != b"*":
                raise ValueError(f"no array: {head[:40]!r}")
            items = []
            for _ in range(int(head[1:])):
                size, at = line(at)
                if size[:1] != b"$":
                    raise ValueError(f"no bulk string: {size[:40]!r}")
                length = int(size[1:])
                while len(data) < at + length + 2:
                    more()
                items.append(bytes(data[at : at + length]))
                at += length + 2
            del data[:at]
            yield items
    except EOFError:
        if data:
            yield []
