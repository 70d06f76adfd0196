"""Decides what a path means: one canonical form, and which patterns cover it.

A path is decided once, before anything looks at it, and only that form is compared, signed and served: two
readings of one path are how a link for one thing opens another. What could be read in two ways is refused,
not guessed: dot segments, a slash or a dot that is encoded, encodings of encodings, control characters,
backslashes, bytes that are no UTF-8. Case counts; a trailing slash counts. No I/O.
"""

from __future__ import annotations

import re
from functools import lru_cache

MAX_PATH_BYTES = 2048  # bytes of a path
MAX_SEGMENTS = 64  # segments
PERCENT_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
UNESCAPED_BYTES = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~!$&'()*+,;=:@/"
)


class PathError(Exception):
    """A path that is refused; the text says why."""


def canonicalize(path: str) -> str:
    """The one form of a path: what need not be encoded is not, what must be is in upper case."""
    if not path.startswith("/"):
        raise PathError("a path that does not begin with /")
    try:
        raw = path.encode("ascii")
    except UnicodeEncodeError:
        raise PathError("a byte that must be encoded") from None
    if len(raw) > MAX_PATH_BYTES:
        raise PathError(f"a path of {len(raw)} bytes, {MAX_PATH_BYTES} at most")
    if b"\\" in raw or b"?" in raw or b"#" in raw:
        raise PathError("a character that ends a path, or stands for another elsewhere")
    out = bytearray()
    position = 0
    while position < len(raw):
        byte = raw[position]
        if byte == 0x25:
            match = PERCENT_ENCODED.match(raw, position)
            if not match:
                raise PathError("a % that encodes nothing")
            byte = int(match[1], 16)
            if byte in b"/%.\\" or byte < 0x20 or byte == 0x7F:
                raise PathError(f"an encoded byte {byte:#04x} that could be read in two ways")
            position += 3
            if byte in UNESCAPED_BYTES:
                out.append(byte)
            else:
                out += b"%%%02X" % byte
            continue
        if byte not in UNESCAPED_BYTES:
            raise PathError(f"a byte {byte:#04x} that must be encoded")
        out.append(byte)
        position += 1
    text = out.decode("ascii")
    segments = text[1:].split("/")
    if len(segments) > MAX_SEGMENTS:
        raise PathError(f"{len(segments)} segments, {MAX_SEGMENTS} at most")
    for index, segment in enumerate(segments):
        if segment in (".", ".."):
            raise PathError("a dot segment")
        if not segment and index < len(segments) - 1:
            raise PathError("an empty segment")
    try:
        PERCENT_ENCODED.sub(lambda match: bytes([int(match[1], 16)]), bytes(out)).decode("utf-8")
    except UnicodeDecodeError:
        raise PathError("encoded bytes that are no UTF-8") from None
    return text


@lru_cache(4096)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    """`*` stands for anything within a segment, `**` for anything, `?` for one character."""
    out = []
    position = 0
    while position < len(pattern):
        if pattern.startswith("**", position):
            out.append(".*")
            position += 2
            continue
        char = pattern[position]
        out.append("[^/]*" if char == "*" else "[^/]" if char == "?" else re.escape(char))
        position += 1
    return re.compile("".join(out))


def pattern_matches(pattern: str, path: str) -> bool:
    """Does a pattern cover a canonical path, whole?"""
    if len(pattern) > MAX_PATH_BYTES or pattern.count("**") > 2 or pattern.count("*") > 16:
        return False  # what could take long to match covers nothing
    return _compile_pattern(pattern).fullmatch(path) is not None
