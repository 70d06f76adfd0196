"""The messages on a connection, arrays of bulk strings in the Redis protocol (RESP): parser, encoder, and the
lists of fields within them.

The parser allocates by what has come in, never by a length that a peer claims. Whatever comes in, it raises
nothing but GarbledError.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable

MAX_PART_SIZE = 240_000  # bytes of the largest part of an object
MAX_WRITE_SIZE = 48_000  # bytes of the largest body that a client sends
MAX_FIELDS_SIZE = 1024  # bytes of the longest list of fields; those that the protocol names have 200 at most
# bytes that each element may have: verb, tag, vhost, fields, body
CLIENT_MESSAGE_SIZES = (8, 20, 64, MAX_FIELDS_SIZE, MAX_WRITE_SIZE)
# name, word, fields, body
BACKEND_MESSAGE_SIZES = (20, 16, 4 * MAX_FIELDS_SIZE, MAX_PART_SIZE)
MAX_LENGTH_LINE = 16  # bytes, the line's end included
LINE_END = b"\r\n"
LINE_END_SIZE = len(LINE_END)
SMALL_BUFFER = 4096  # bytes that a buffer has at first, and again once it is empty
BACKEND_BUFFER = 8 * SMALL_BUFFER  # the same towards backends: most answers come in one read
UNKNOWN = -1  # a count or a length whose line has not come yet


class GarbledError(Exception):
    """What came in cannot be read; the text says why."""


class MessageBuffer:
    """The read buffer of a connection, and the parser of the messages in it.

    It grows with what has come in and is compacted in place. A message is parsed as far as it is there, and
    no byte of it is looked at twice. Each element has a limit by its position, so that what is no message is
    found out by its first lines.
    """

    def __init__(
        self, element_sizes: tuple[int, ...] = BACKEND_MESSAGE_SIZES, initial_size: int = SMALL_BUFFER
    ) -> None:
        """`element_sizes`: the bytes that each element of a message may have, in order; `initial_size`: the
        bytes of an empty buffer."""
        self.element_sizes, self.initial_size = element_sizes, initial_size
        self.data = bytearray(initial_size)
        self.start = 0  # of the current message
        self.parsed = 0  # end of what is parsed of it
        self.end = 0  # of what has come in
        self.missing_elements = UNKNOWN
        self.element_length = UNKNOWN
        self.spans: list[tuple[int, int]] = []  # of the elements so far: begin and end, from `start`

    def writable(self) -> memoryview:
        """Return where more may be read to; never empty. The caller releases it."""
        if self.start == self.end:
            self._compact()
            if len(self.data) > self.initial_size:
                self.data = bytearray(self.initial_size)
        if self.end == len(self.data):
            if self.start:
                self._compact()
            else:
                self.data.extend(bytes(min(len(self.data), 2 * MAX_PART_SIZE)))
        return memoryview(self.data)[self.end :]

    def unread(self) -> bytes:
        """Return what has come in of the current message."""
        return bytes(self.data[self.start : self.end])

    def has_partial(self) -> bool:
        """Return whether a message has come in part."""
        return self.end > self.start

    def unread_size(self) -> int:
        """Return how many bytes lie behind the messages that were returned."""
        return self.end - self.start

    def _compact(self) -> None:
        """Move what was not returned to the front."""
        if self.start:
            size = self.end - self.start
            self.data[:size] = self.data[self.start : self.end]
            self.parsed, self.end, self.start = self.parsed - self.start, size, 0

    def read_from(self, sock: socket.socket) -> int:
        """Read once from a socket; return how many bytes came, 0 at the end of the stream. Raises OSError as
        the system call does."""
        view = self.writable()
        try:
            count = sock.recv_into(view)
        finally:
            view.release()
        self.end += count
        return count

    def append(self, data: bytes) -> None:
        """Add bytes that were read elsewhere."""
        while data:
            view = self.writable()
            count = min(len(view), len(data))
            view[:count] = data[:count]
            view.release()
            self.end += count
            data = data[count:]

    def _parse_length(self, mark: bytes, limit: int) -> int | None:
        """Read a line of a mark and a length, at most `limit`; None where the line has not come whole."""
        if self.parsed < self.end and self.data[self.parsed] != mark[0]:
            raise GarbledError(f"{mark.decode()} expected")
        stop = self.data.find(LINE_END, self.parsed, min(self.end, self.parsed + MAX_LENGTH_LINE))
        if stop < 0:
            if self.end - self.parsed >= MAX_LENGTH_LINE:
                raise GarbledError("a length without end")
            return None
        digits = bytes(self.data[self.parsed + 1 : stop])
        if not digits.isdigit() or int(digits) > limit:
            raise GarbledError("a length that cannot be")
        self.parsed = stop + LINE_END_SIZE
        return int(digits)

    def next_message(self) -> list[bytes] | None:
        """Return the elements of the next message; None until it has come whole. Raises GarbledError."""
        if self.missing_elements < 0:
            count = self._parse_length(b"*", len(self.element_sizes))
            if count is None:
                return None
            if not count:
                raise GarbledError("an empty array")
            self.missing_elements = count
        while self.missing_elements:
            if not self._parse_element():
                return None
        with memoryview(self.data) as view:
            elements = [bytes(view[self.start + begin : self.start + stop]) for begin, stop in self.spans]
        self.spans.clear()
        self.start, self.missing_elements = self.parsed, UNKNOWN
        return elements

    def _parse_element(self) -> bool:
        """Read the next element of the current message; return whether it has come whole."""
        if self.element_length < 0:
            length = self._parse_length(b"$", self.element_sizes[len(self.spans)])
            if length is None:
                return False
            self.element_length = length
        stop = self.parsed + self.element_length
        if self.end < stop + LINE_END_SIZE:
            return False
        if self.data[stop : stop + LINE_END_SIZE] != LINE_END:
            raise GarbledError("an element without end")
        self.spans.append((self.parsed - self.start, stop - self.start))
        self.parsed = stop + LINE_END_SIZE
        self.element_length = UNKNOWN
        self.missing_elements -= 1
        return True


def encode(*elements: bytes) -> bytes:
    """Return a message of some elements."""
    pieces = [b"*%d\r\n" % len(elements)]
    for element in elements:
        pieces += (b"$%d\r\n" % len(element), element, LINE_END)
    return b"".join(pieces)


def parse_fields(data: bytes) -> dict[str, str]:
    """Read `name=value,name=value`; `-` and nothing stand for no fields. Raises GarbledError."""
    if data in (b"", b"-"):
        return {}
    values: dict[str, str] = {}
    try:
        text = data.decode("ascii")
    except UnicodeDecodeError:
        raise GarbledError("fields that are no text") from None
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or not name or name in values:
            raise GarbledError("fields that cannot be read")
        values[name] = value
    return values


def encode_fields(fields: Iterable[tuple[str, object]]) -> bytes:
    """Write fields as `parse_fields` reads them; those that are None are left out."""
    return ",".join(f"{name}={value}" for name, value in fields if value is not None).encode() or b"-"
