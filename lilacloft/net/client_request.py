"""A client's request as parsed from its message."""

from __future__ import annotations

from typing import Any, Protocol

from lilacloft.net.resp import parse_fields
from lilacloft.routing.units import Ticks

HEX_DIGITS = frozenset("0123456789abcdef")
DECIMAL_CHARACTERS = frozenset("0123456789.")
MAX_NUMBER_LENGTH = 11  # characters
MAX_NUMBER = 1 << 31
MAX_GROUP = 255
NAME_DIGITS = KEY_DIGITS = VERSION_DIGITS = 16
IDEMPOTENCY_KEY_DIGITS = 32


class RequestingClient(Protocol):
    """What a request uses of its client's connection (lilacloft/net/client_connection.py)."""

    open: dict[bytes, ClientRequest]
    reserved_bytes: int
    input_ended: Ticks | None

    def disconnected_since(self) -> Ticks | None:
        """Return since when the client may have disconnected."""


class ClientRequest:
    """A client's request: the fields that are forwarded unchanged, and where its answer is sent.

    `lilacloft.handover.messages` names the fields that are handed over between processes."""

    __slots__ = [
        "client",
        "tag",
        "name",
        "vhost",
        "key",
        "part",
        "group",
        "kbytes",
        "timeout_ms",
        "idempotency_key",
        "cached_version",
        "body",
        "at",
        "request",
        "attempt",
        "connections",
        "cancelled_at",
        "history",
        "last_outcome",
        "reserved_bytes",
    ]

    def __init__(self, client: RequestingClient, items: list[bytes], vhost: int, at: Ticks) -> None:
        """Parse a message of verb, tag, virtual host, fields and, optionally, a body.

        `vhost`: the index of the virtual host; `at`: when the message arrived, by the monotonic clock. Raises
        ValueError, KeyError or GarbledError if a field is missing or invalid."""
        pairs, body = parse_fields(items[3]), items[4] if len(items) > 4 else b""
        self.client, self.tag, self.vhost, self.body, self.at = client, items[1], vhost, body, at
        self.name = parse_hex(pairs["ref"], NAME_DIGITS)
        self.timeout_ms = parse_integer(pairs["allow"], 1, MAX_NUMBER)
        self.key = parse_hex(pairs["lookup"], KEY_DIGITS)
        self.part = parse_integer(pairs["nth"], 0, MAX_NUMBER)
        self.group = parse_integer(pairs["batch"], 0, MAX_GROUP)
        size = pairs.get("room", "0")  # if the client sends no size, the router estimates it
        if set(size) - DECIMAL_CHARACTERS:
            raise ValueError("size is not a decimal number")
        self.kbytes = float(size)
        self.idempotency_key = (
            parse_hex(pairs["replay"], IDEMPOTENCY_KEY_DIGITS) if "replay" in pairs else None
        )
        self.cached_version = parse_hex(pairs["got"], VERSION_DIGITS) if "got" in pairs else None
        self.request: Any = None  # the router's Request, once the gateway has created it
        self.attempt: Any = None  # the Attempt in flight
        self.connections: list[Any] = []  # the upstream connections used by its attempts
        self.cancelled_at: Ticks = 0  # when its client cancelled it, by the monotonic clock; 0: not
        self.history: Any = None  # state of the invariant checks, once the gateway has created it
        self.last_outcome = ""  # of the last attempt
        self.reserved_bytes = 0  # in the `RequestLedger`

    def disconnected_since(self) -> Ticks | None:
        """Return since when, by the monotonic clock, nobody may be waiting for the answer: 0 if the request
        is settled or cancelled, None if its client is connected. Any thread may call this."""
        return self.client.disconnected_since() if self.client.open.get(self.tag) is self else 0


def parse_hex(text: str, digits: int) -> str:
    """Return a text after checking that it is `digits` hexadecimal digits. Raises ValueError."""
    if len(text) != digits or set(text) - HEX_DIGITS:
        raise ValueError("not the expected number of hexadecimal digits")
    return text


def parse_integer(text: str, least: int, most: int) -> int:
    """Parse an integer between two limits, inclusive. Raises ValueError."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_LENGTH
    if not (is_number and least <= int(text) <= most):
        raise ValueError("not an integer within its limits")
    return int(text)
