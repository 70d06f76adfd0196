"""Parses addresses in settings and command lines. Opens no sockets."""

from __future__ import annotations


def address(text: str) -> tuple[str, int]:
    """Parse HOST:PORT. Raises ValueError with a message for the operator."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r}: HOST:PORT expected")
    return host, int(port)


def parse_named_addresses(text: str) -> dict[str, tuple[str, int]]:
    """Parse NAME=HOST:PORT,... into addresses by name. Raises ValueError with a message for the operator."""
    out = {}
    for entry in text.split(","):
        name, _, host_port = entry.partition("=")
        if not name or name in out:
            raise ValueError(f"{entry!r}: NAME=HOST:PORT expected, each name once")
        out[name] = address(host_port)
    return out
