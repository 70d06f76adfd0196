"""Messages on a connection: arrays of bulk strings in the Redis protocol (RESP), and lists of fields in them.

The parser allocates memory by the input received, never by a length that a peer claims. For malformed input
of any kind it raises GarbledError and nothing else.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable

MAX_PART_SIZE = 240_000  # bytes of the largest part of an object
MAX_WRITE_SIZE = 48_000  # bytes of the largest body that a client sends
MAX_FIELDS_SIZE = 1024  # bytes of the longest list of fields; the protocol's own fields take at most 200
MAX_FIELDS = 64  # in one list; the protocol has 11 at most
# maximum bytes of each element: verb, tag, vhost, fields, body
CLIENT_MESSAGE_SIZES = (8, 20, 64, MAX_FIELDS_SIZE, MAX_WRITE_SIZE)
# maximum bytes of each element: name, status word, fields, body
BACKEND_MESSAGE_SIZES = (20, 16, 4 * MAX_FIELDS_SIZE, MAX_PART_SIZE)
MAX_LENGTH_LINE = 16  # bytes, including the line end
LINE_END = b"\r\n"
LINE_END_SIZE = len(LINE_END)
SMALL_BUFFER = 4096  # bytes; initial size of a buffer, restored when it is empty
BACKEND_BUFFER = 8 * SMALL_BUFFER  # initial size for backends' connections: most answers fit in one read
UNKNOWN = -1  # a count or length whose line was not received yet


class GarbledError(Exception):
    """Input is malformed; the message says why."""


class MessageBuffer:
    """The read buffer of a connection, and the parser of the messages in it.

    It grows with the input received and is compacted in place. A message is parsed incrementally, and no byte
    is parsed twice. Each element has a size limit by its position, so that malformed input is detected by its
    first lines.
    """

    def __init__(
        self, element_sizes: tuple[int, ...] = BACKEND_MESSAGE_SIZES, initial_size: int = SMALL_BUFFER
    ) -> None:
        """`element_sizes`: the maximum bytes of each element of a message, in order; `initial_size`: the
        bytes of an empty buffer."""
        self.element_sizes, self.initial_size = element_sizes, initial_size
        self.data = bytearray(initial_size)
        self.start = 0  # of the current message
        self.parsed = 0  # end of its parsed part
        self.end = 0  # of the input received
        self.missing_elements = UNKNOWN
        self.element_length = UNKNOWN
        self.spans: list[tuple[int, int]] = []  # begin and end of each parsed element, from `start`

    def writable(self) -> memoryview:
        """Return the free space to read into; never empty. The caller releases it."""
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
        """Return the input received after the last returned message."""
        return bytes(self.data[self.start : self.end])

    def has_partial(self) -> bool:
        """Return whether part of a message was received."""
        return self.end > self.start

    def unread_size(self) -> int:
        """Return the number of bytes received after the last returned message."""
        return self.end - self.start

    def _compact(self) -> None:
        """Move input that was not returned to the front of the buffer."""
        if self.start:
            size = self.end - self.start
            self.data[:size] = self.data[self.start : self.end]
            self.parsed, self.end, self.start = self.parsed - self.start, size, 0

    def read_from(self, sock: socket.socket) -> int:
        """Read once from a socket; return the number of bytes, 0 at the end of the stream. Raises the system
        call's OSError."""
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
        """Parse a line of a mark and a length of at most `limit`; None if the line is incomplete."""
        if self.parsed < self.end and self.data[self.parsed] != mark[0]:
            raise GarbledError(f"{mark.decode()} expected")
        stop = self.data.find(LINE_END, self.parsed, min(self.end, self.parsed + MAX_LENGTH_LINE))
        if stop < 0:
            if self.end - self.parsed >= MAX_LENGTH_LINE:
                raise GarbledError("length line too long")
            return None
        digits = bytes(self.data[self.parsed + 1 : stop])
        if not digits.isdigit() or int(digits) > limit:
            raise GarbledError("invalid length, or above its limit")
        self.parsed = stop + LINE_END_SIZE
        return int(digits)

    def next_message(self) -> list[bytes] | None:
        """Return the elements of the next message; None while it is incomplete. Raises GarbledError."""
        if self.missing_elements < 0:
            count = self._parse_length(b"*", len(self.element_sizes))
            if count is None:
                return None
            if not count:
                raise GarbledError("empty array")
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
        """Parse the next element of the current message; return whether it is complete."""
        if self.element_length < 0:
            length = self._parse_length(b"$", self.element_sizes[len(self.spans)])
            if length is None:
                return False
            self.element_length = length
        stop = self.parsed + self.element_length
        if self.end < stop + LINE_END_SIZE:
            return False
        if self.data[stop : stop + LINE_END_SIZE] != LINE_END:
            raise GarbledError("element is longer than its stated length")
        self.spans.append((self.parsed - self.start, stop - self.start))
        self.parsed = stop + LINE_END_SIZE
        self.element_length = UNKNOWN
        self.missing_elements -= 1
        return True


def encode(*elements: bytes) -> bytes:
    """Return the encoded message of these elements."""
    pieces = [b"*%d\r\n" % len(elements)]
    for element in elements:
        pieces += (b"$%d\r\n" % len(element), element, LINE_END)
    return b"".join(pieces)


def parse_fields(data: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`; `-` and the empty string mean no fields. Raises GarbledError."""
    if data in (b"", b"-"):
        return {}
    if data.count(b",") >= MAX_FIELDS:
        raise GarbledError(f"more than {MAX_FIELDS} fields")
    values: dict[str, str] = {}
    try:
        text = data.decode("ascii")
    except UnicodeDecodeError:
        raise GarbledError("fields are not ASCII text") from None
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or not name or name in values:
            raise GarbledError("malformed or repeated field")
        values[name] = value
    return values


def encode_fields(fields: Iterable[tuple[str, object]]) -> bytes:
    """Encode fields for `parse_fields`; those that are None are omitted."""
    return ",".join(f"{name}={value}" for name, value in fields if value is not None).encode() or b"-"
