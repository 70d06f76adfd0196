"""Frames between two processes of a gateway: header, payload, checksum, and the kinds of messages.

A frame is a header and a payload. The header holds a magic number, the state version, the message kind, the
payload's length in bytes and its CRC32C. The payload is a message of `lilacloft.handover.messages`, encoded
as MessagePack. This module does no I/O.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec
from crc32c import crc32c

STATE_VERSION = 2  # version 1 could not transfer connections with requests in flight
OLDEST_READER_VERSION = 1  # the oldest reader that can restore the state, at least in part
MAGIC = b"llup"
HEADER = struct.Struct(">4sBBII")  # magic, version, kind, payload length, checksum


class MessageKind(IntEnum):
    """Message kinds by their number on the wire; comments give the direction and the payload."""

    UPGRADE_REQUEST = 1  # upgrade command to gateway: UpgradeRequest
    PHASE = 2  # gateway to upgrade command: PhaseReport
    HELLO = 3  # receiver to sender: Hello
    WARM_UP = 4  # sender to receiver: WarmUp, with the listening sockets
    OBJECT_PARTS = 5  # sender to receiver: list[ObjectPartState]; an empty list ends the table
    READY = 6  # receiver to sender
    DESCRIPTORS = 7  # sender to receiver: number of descriptors, in the order of their indices in the state
    STATE = 8  # sender to receiver: GatewayState
    STATE_RESTORED = 9  # receiver to sender
    COMMIT = 10  # sender to receiver
    COMMIT_ACKNOWLEDGED = 11  # receiver to sender
    SERVING = 12  # receiver to sender: its event loop is running
    IDLE_CLIENT = 13  # sender to receiver: ClientConnectionState of an idle connection, with its descriptor
    DISMISS = 14  # sender to receiver: Reason
    RELOAD = 15  # sender to receiver: read the configuration again
    STOP = 16  # sender to receiver: SIGTERM was received
    REFUSE = 17  # receiver to sender: Reason
    DRAINED = 18  # sender to receiver: FinalCounters; the sender has no open requests or connections left
    STORE_RECORD = 19  # sender to receiver: StoreRecord of a request that is still open in the sender
    STORE_RECORDS_SYNCED = 20  # receiver to sender: highest ticket of those records that is on disk


MAX_PAYLOAD_BYTES = {
    MessageKind.STATE: 64 << 20,
    MessageKind.OBJECT_PARTS: 8 << 20,
    MessageKind.IDLE_CLIENT: 1 << 20,
    MessageKind.WARM_UP: 4 << 20,
}
DEFAULT_MAX_PAYLOAD_BYTES = 1 << 16  # of all other kinds


class FormatError(Exception):
    """A frame or message is invalid; the text gives the reason."""


class Header(NamedTuple):
    """The decoded header of a frame."""

    kind: MessageKind
    length: int  # bytes
    checksum: int


_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    """Return a message encoded as the payload of a frame."""
    return _encoder.encode(message)


def decode(payload: bytes, message_type: Any) -> Any:
    """Return a payload decoded as a message type; raises FormatError if that fails.

    Unknown fields are ignored, and missing fields get their defaults: the writer may be of another version.
    """
    if message_type not in _decoders:
        _decoders[message_type] = msgspec.msgpack.Decoder(message_type)
    try:
        return _decoders[message_type].decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise FormatError(str(error)) from error


def to_plain(message: Any) -> Any:
    """Return a message as plain values by their wire names, without fields that its writer left unset."""
    return msgspec.to_builtins(message, builtin_types=(bytes,))


def encode_frame(kind: MessageKind, message: Any = None) -> bytes:
    """Return a complete frame; raises FormatError if the payload is too long for its kind."""
    payload = b"" if message is None else encode(message)
    _check_length(kind, len(payload))
    return HEADER.pack(MAGIC, STATE_VERSION, kind, len(payload), crc32c(payload)) + payload


def decode_header(data: bytes) -> Header:
    """Decode a header; raises FormatError if its magic number, kind or length is invalid."""
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
    """Return the payload; raises FormatError if it does not match its checksum."""
    if crc32c(payload) != checksum:
        raise FormatError("checksum mismatch: the payload is corrupt")
    return payload


def _check_length(kind: MessageKind, length: int) -> None:
    if length > MAX_PAYLOAD_BYTES.get(kind, DEFAULT_MAX_PAYLOAD_BYTES):
        raise FormatError(f"{kind.name} of {length} bytes is too long")
