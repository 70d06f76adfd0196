"""Messages on a connection: arrays of bulk strings in the Redis protocol (RESP), and lists of fields in them.

The parser allocates memory by the input received, or for an element whose reader has admitted its stated
size. For malformed input of any kind it raises GarbledError and nothing else.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable
from enum import Enum, auto

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
BUFFER_SIZE = 4096  # bytes of a buffer while much input comes
IDLE_CLIENT_BUFFER = 480  # bytes of a client's buffer while little comes: a request without a body fits
MAX_BUFFERED_ELEMENT = 2048  # bytes; larger elements are read into memory of their own
DISCARDED_INPUT = bytearray(1 << 16)  # what discarded input is read into, by all threads
INVALID_VERB = b"-"
UNKNOWN = -1  # a count or length whose line was not received yet


class GarbledError(Exception):
    """Input is malformed; the message says why."""


class LargeElement(Enum):
    """Whether a large element is read into memory."""

    UNDECIDED = (
        auto()
    )  # there is none, or its reader has not decided: nothing of it is read beyond the buffer
    ADMITTED = auto()
    DISCARDED = auto()  # its bytes are dropped as they are read


class MessageBuffer:
    """The read buffer of a connection, and the parser of the messages in it.

    A message is parsed incrementally, and no byte is parsed twice. Each element has a size limit by its
    position, so that malformed input is detected by its first lines. Elements above `MAX_BUFFERED_ELEMENT`
    are not read before `admit` or `discard` is called for them (`wanted` has their size), so that memory is
    reserved before it is used. An admitted one is read into memory of exactly its size; of a discarded one
    nothing is kept, and the message has an empty element in its place, with `is_incomplete` set.
    """

    def __init__(
        self,
        element_sizes: tuple[int, ...] = BACKEND_MESSAGE_SIZES,
        initial_size: int = BUFFER_SIZE,
        admits_all: bool = True,
    ) -> None:
        """`element_sizes`: the maximum bytes of each element of a message, in order; `initial_size`: the
        bytes of an empty buffer; `admits_all`: admit large elements without a call of `admit`."""
        self.element_sizes, self.initial_size, self.admits_all = element_sizes, initial_size, admits_all
        self.data = bytearray(initial_size)
        self.parsed = 0  # end of the parsed part
        self.end = 0  # of the input received
        self.missing_elements = UNKNOWN
        self.element_length = UNKNOWN
        self.elements: list[bytes | bytearray] = []  # of the current message
        self.total = self.returned = 0  # bytes received, and of those the bytes of returned messages
        self.large = LargeElement.UNDECIDED
        self.large_data = bytearray()  # of an admitted element, with its line end
        self.large_filled = 0  # bytes received of an admitted or discarded element, with its line end
        self.discarded = False  # was an element of the current message discarded?
        self.is_incomplete = False  # was an element of the last returned message discarded?

    # --- large elements ---

    @property
    def wanted(self) -> int:
        """The size of a large element that is neither admitted nor discarded yet; 0: there is none."""
        is_large = self.element_length > MAX_BUFFERED_ELEMENT
        return self.element_length if is_large and self.large is LargeElement.UNDECIDED else 0

    def admit(self) -> None:
        """Read the large element into memory."""
        self.large = LargeElement.ADMITTED
        self.large_data = bytearray(self.element_length + LINE_END_SIZE)
        count = min(self.end - self.parsed, len(self.large_data))
        self.large_data[:count] = self.data[self.parsed : self.parsed + count]
        self._begin_large(count)

    def discard(self) -> None:
        """Drop the bytes of the large element."""
        self.large, self.discarded = LargeElement.DISCARDED, True
        self._begin_large(min(self.end - self.parsed, self.element_length + LINE_END_SIZE))

    def _begin_large(self, count: int) -> None:
        """Consume the `count` bytes of the large element that are in the buffer."""
        self.large_filled = count
        self.parsed += count

    def _large_missing(self) -> int:
        """Return how many bytes of the large element are still to be received."""
        return self.element_length + LINE_END_SIZE - self.large_filled

    def _take_large(self) -> bool:
        """Take the large element if it is complete; return whether it is. Raises GarbledError."""
        if self.large is LargeElement.UNDECIDED or self._large_missing():
            return False
        element: bytes | bytearray = b""
        if self.large is LargeElement.ADMITTED:
            if self.large_data[-LINE_END_SIZE:] != LINE_END:
                raise GarbledError("element is longer than its stated length")
            element = self.large_data
            del element[-LINE_END_SIZE:]
        self.large, self.large_data, self.large_filled = LargeElement.UNDECIDED, bytearray(), 0
        self._end_element(element)
        return True

    # --- input ---

    def writable(self) -> memoryview:
        """Return the free space to read into; never empty. The caller releases it."""
        if self.large is LargeElement.ADMITTED and self._large_missing():
            return memoryview(self.large_data)[self.large_filled :]
        if self.large is LargeElement.DISCARDED and self._large_missing():
            return memoryview(DISCARDED_INPUT)[: self._large_missing()]
        if self.parsed == self.end:
            self._empty()
        if self.end == len(self.data):
            self._make_room()
        return memoryview(self.data)[self.end :]

    def received(self, count: int) -> None:
        """Count bytes that were written to the space that `writable` has returned."""
        self.total += count
        if self.large is not LargeElement.UNDECIDED and self._large_missing():
            self.large_filled += count
        else:
            self.end += count

    def _empty(self) -> None:
        """Reset the buffer, all input of which is parsed. One that was full gets its larger size, as more
        input is likely to wait; else it gets its initial size."""
        size = max(BUFFER_SIZE, self.initial_size) if self.end == len(self.data) else self.initial_size
        if len(self.data) != size:
            self.data = bytearray(size)
        self.parsed = self.end = 0

    def _make_room(self) -> None:
        """Move the input that is not parsed to the front of the buffer; enlarge the buffer if it is full."""
        size = self.end - self.parsed
        if self.parsed:
            self.data[:size] = self.data[self.parsed : self.end]
            self.parsed, self.end = 0, size
        if self.end == len(self.data):
            self.data.extend(bytes(max(len(self.data), BUFFER_SIZE - len(self.data))))

    def unread(self) -> bytes:
        """Return the input received after the last returned message, in the protocol's canonical form.

        A message of which an element is being discarded is replaced by an invalid one of its tag, whose last
        element is what is still to be received: its reader rejects it."""
        if self.missing_elements < 0:
            return bytes(self.data[self.parsed : self.end])
        if self.discarded:
            return self._unread_invalid()
        pieces = [b"*%d\r\n" % (len(self.elements) + self.missing_elements)]
        for element in self.elements:
            pieces += (b"$%d\r\n" % len(element), element, LINE_END)
        if self.element_length >= 0:
            pieces.append(b"$%d\r\n" % self.element_length)
        pieces.append(self.large_data[: self.large_filled])
        pieces.append(self.data[self.parsed : self.end])
        return b"".join(pieces)

    def _unread_invalid(self) -> bytes:
        """Return what stands for a message of which an element is discarded."""
        tag = self.elements[1] if len(self.elements) > 1 else b""
        head = encode(INVALID_VERB, tag, b"", b"")
        left = max(0, self._large_missing() - LINE_END_SIZE)
        return b"*5" + head[2:] + b"$%d\r\n" % left

    def has_partial(self) -> bool:
        """Return whether part of a message was received."""
        return self.total > self.returned

    def unread_size(self) -> int:
        """Return the number of bytes received after the last returned message."""
        return self.total - self.returned

    def read_from(self, sock: socket.socket) -> int:
        """Read once from a socket; return the number of bytes, 0 at the end of the stream. Raises the system
        call's OSError."""
        view = self.writable()
        try:
            count = sock.recv_into(view)
        finally:
            view.release()
        self.received(count)
        return count

    def append(self, data: bytes) -> None:
        """Add bytes that were read elsewhere."""
        while data:
            view = self.writable()
            count = min(len(view), len(data))
            view[:count] = data[:count]
            view.release()
            self.received(count)
            data = data[count:]

    # --- messages ---

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
        elements, self.elements = self.elements, []
        self.missing_elements = UNKNOWN
        self.is_incomplete, self.discarded = self.discarded, False
        self.returned = self.total - (self.end - self.parsed)
        return elements

    def _parse_element(self) -> bool:
        """Parse the next element of the current message; return whether it is complete."""
        if self.element_length < 0:
            length = self._parse_length(b"$", self.element_sizes[len(self.elements)])
            if length is None:
                return False
            self.element_length = length
        if self.element_length > MAX_BUFFERED_ELEMENT:
            if self.wanted and self.admits_all:
                self.admit()
            return self._take_large()
        stop = self.parsed + self.element_length
        if self.end < stop + LINE_END_SIZE:
            return False
        if self.data[stop : stop + LINE_END_SIZE] != LINE_END:
            raise GarbledError("element is longer than its stated length")
        element = bytes(self.data[self.parsed : stop])
        self.parsed = stop + LINE_END_SIZE
        self._end_element(element)
        return True

    def _end_element(self, element: bytes | bytearray) -> None:
        """Add an element to the current message."""
        self.elements.append(element)
        self.element_length = UNKNOWN
        self.missing_elements -= 1


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
