"""Canonical form of URL paths, and matching of path patterns.

A path is canonicalized once, before anything else uses it, and only the canonical form is compared, signed
and served: if two components read the same path differently, a link for one resource could give access to
another. Ambiguous paths are rejected rather than repaired: dot segments, empty segments, encoded slashes,
dots, percent signs and backslashes, control characters, literal backslashes, and bytes that are not valid
UTF-8. Paths are case-sensitive, and a trailing slash is significant. Does no I/O.
"""

from __future__ import annotations

import re
from functools import lru_cache

MAX_PATH_BYTES = 2048  # also the limit for patterns
MAX_SEGMENTS = 64
PERCENT_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
UNESCAPED_BYTES = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~!$&'()*+,;=:@/"
)


class PathError(Exception):
    """A path was rejected; the message gives the reason."""


def canonicalize(path: str) -> str:
    """Returns the canonical form of a path, or raises PathError.

    Characters that need no percent-encoding are decoded; the remaining escapes use upper-case hex digits.
    """
    if not path.startswith("/"):
        raise PathError("path does not start with /")
    try:
        raw = path.encode("ascii")
    except UnicodeEncodeError:
        raise PathError("non-ASCII character is not percent-encoded") from None
    if len(raw) > MAX_PATH_BYTES:
        raise PathError(f"path of {len(raw)} bytes exceeds the limit of {MAX_PATH_BYTES}")
    if b"\\" in raw or b"?" in raw or b"#" in raw:
        raise PathError("path contains a backslash, ? or #")
    out = bytearray()
    position = 0
    while position < len(raw):
        byte = raw[position]
        if byte == 0x25:
            match = PERCENT_ENCODED.match(raw, position)
            if not match:
                raise PathError("% is not followed by two hex digits")
            byte = int(match[1], 16)
            if byte in b"/%.\\" or byte < 0x20 or byte == 0x7F:
                raise PathError(f"percent-encoded byte {byte:#04x} is ambiguous")
            position += 3
            if byte in UNESCAPED_BYTES:
                out.append(byte)
            else:
                out += b"%%%02X" % byte
            continue
        if byte not in UNESCAPED_BYTES:
            raise PathError(f"byte {byte:#04x} is not percent-encoded")
        out.append(byte)
        position += 1
    text = out.decode("ascii")
    segments = text[1:].split("/")
    if len(segments) > MAX_SEGMENTS:
        raise PathError(f"{len(segments)} segments exceed the limit of {MAX_SEGMENTS}")
    for index, segment in enumerate(segments):
        if segment in (".", ".."):
            raise PathError("path contains a dot segment")
        if not segment and index < len(segments) - 1:
            raise PathError("path contains an empty segment")
    try:
        PERCENT_ENCODED.sub(lambda match: bytes([int(match[1], 16)]), bytes(out)).decode("utf-8")
    except UnicodeDecodeError:
        raise PathError("percent-encoded bytes are not valid UTF-8") from None
    return text


@lru_cache(4096)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    """Compiles a pattern: `*` matches within a segment, `**` across segments, `?` one character but `/`."""
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
    """Returns whether a pattern matches the whole of a canonical path."""
    if len(pattern) > MAX_PATH_BYTES or pattern.count("**") > 2 or pattern.count("*") > 16:
        return False  # patterns that could be slow to match match nothing
    return _compile_pattern(pattern).fullmatch(path) is not None
