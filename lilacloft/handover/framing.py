"""Frames between two processes of a gateway: header, payload, checksum, and the kinds of messages.

A frame is a header and a payload. The header holds a magic word, the version of the state, the message kind,
the payload's length in bytes and its CRC32C. A payload is MessagePack of a message of
`lilacloft.handover.messages`. This module knows no socket.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec
from crc32c import crc32c

STATE_VERSION = 2  # version 1 had no connections that go over with requests in flight on them
OLDEST_READER_VERSION = 1  # the oldest reader that can continue with what is written now, if only in part
MAGIC = b"llup"
HEADER = struct.Struct(">4sBBII")  # magic, version, kind, payload length, checksum


class MessageKind(IntEnum):
    """Kinds of messages by their number on the wire; each with its direction and its payload."""

    UPGRADE_REQUEST = 1  # upgrade command to gateway: UpgradeRequest
    PHASE = 2  # gateway to upgrade command: PhaseReport
    HELLO = 3  # receiver to sender: Hello
    WARM_UP = 4  # sender to receiver: WarmUp, with the listening sockets
    OBJECT_PARTS = 5  # sender to receiver: list[ObjectPartState]; an empty one ends the table
    READY = 6  # receiver to sender
    DESCRIPTORS = 7  # sender to receiver: how many, in the order in which the state counts them
    STATE = 8  # sender to receiver: GatewayState
    STATE_RESTORED = 9  # receiver to sender
    COMMIT = 10  # sender to receiver
    COMMIT_ACKNOWLEDGED = 11  # receiver to sender
    SERVING = 12  # receiver to sender: the first turn of its event loop is over
    IDLE_CLIENT = 13  # sender to receiver: ClientConnectionState of one that became idle, with its descriptor
    DISMISS = 14  # sender to receiver: Reason
    RELOAD = 15  # sender to receiver: read the configuration again
    STOP = 16  # sender to receiver: SIGTERM came
    REFUSE = 17  # receiver to sender: Reason
    DRAINED = 18  # sender to receiver: FinalCounters, nothing is left there
    STORE_RECORD = 19  # sender to receiver: StoreRecord of a request that is still open there
    STORE_RECORDS_SYNCED = 20  # receiver to sender: the highest ticket of such records that is on disk


MAX_PAYLOAD_BYTES = {
    MessageKind.STATE: 64 << 20,
    MessageKind.OBJECT_PARTS: 8 << 20,
    MessageKind.IDLE_CLIENT: 1 << 20,
    MessageKind.WARM_UP: 4 << 20,
}
DEFAULT_MAX_PAYLOAD_BYTES = 1 << 16  # of all other kinds


class FormatError(Exception):
    """What was received is none of the frames or messages; the text says why."""


class Header(NamedTuple):
    """What a frame's header says of its payload."""

    kind: MessageKind
    length: int  # bytes
    checksum: int


_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    """Return a message as the payload of a frame."""
    return _encoder.encode(message)


def decode(payload: bytes, message_type: Any) -> Any:
    """Return the message of a type that a payload holds; raises FormatError if it holds none.

    Fields that the type does not have are skipped, and those that the writer did not have get their defaults.
    """
    if message_type not in _decoders:
        _decoders[message_type] = msgspec.msgpack.Decoder(message_type)
    try:
        return _decoders[message_type].decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise FormatError(str(error)) from error


def to_plain(message: Any) -> Any:
    """Return a message as plain values by the names on the wire, without what its writer left out."""
    return msgspec.to_builtins(message, builtin_types=(bytes,))


def encode_frame(kind: MessageKind, message: Any = None) -> bytes:
    """Return a whole frame; raises FormatError if the payload is too long for its kind."""
    payload = b"" if message is None else encode(message)
    _check_length(kind, len(payload))
    return HEADER.pack(MAGIC, STATE_VERSION, kind, len(payload), crc32c(payload)) + payload


def decode_header(data: bytes) -> Header:
    """Return what a header says; raises FormatError if it is none, or its kind or length is not allowed."""
    magic, _, number, length, checksum = HEADER.unpack(data)
    if magic != MAGIC:
        raise FormatError("no frame")
    try:
        kind = MessageKind(number)
    except ValueError:
        raise FormatError(f"unknown kind {number}") from None
    _check_length(kind, length)
    return Header(kind, length, checksum)


def verify_payload(payload: bytes, checksum: int) -> bytes:
    """Return a payload that matches its checksum; raises FormatError if it does not."""
    if crc32c(payload) != checksum:
        raise FormatError("the checksum does not fit")
    return payload


def _check_length(kind: MessageKind, length: int) -> None:
    if length > MAX_PAYLOAD_BYTES.get(kind, DEFAULT_MAX_PAYLOAD_BYTES):
        raise FormatError(f"{kind.name} of {length} bytes is too long")
