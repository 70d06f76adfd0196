"""Owns the form in which one process tells another: frames with a length and a checksum, and the state's
records.

It knows no socket. A frame is `head payload`; the head holds a magic word, the form's version, the kind,
the payload's length and its CRC32C. Payloads are MessagePack of the records below: fields that a reader
does not know are skipped, fields that a writer did not know have their defaults. Times are whole tenths of
a millisecond: those of the module in Unix time, those named `steady` of the machine's monotonic clock,
which both processes share.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any

import msgspec
from crc32c import crc32c
from msgspec import UNSET, Struct, UnsetType

from lilacloft.routing import snapshot

VERSION = 2  # of the state; 1 had no lines that go over with what is out on them
LEAST = 1  # the oldest reader that can go on with what is written now, if only in part
MAGIC = b"llup"
HEAD = struct.Struct(">4sBBII")


class Kind(IntEnum):
    """Kinds of frames."""

    ASK = 1  # upgrade command to gateway: Ask
    PHASE = 2  # gateway to upgrade command: Phase
    HELLO = 3  # new to old: Hello
    WARM = 4  # old to new: Warm, with the listeners
    TABLE = 5  # old to new: some of the table, a list of Obj
    READY = 6  # new to old
    SOCKETS = 7  # old to new: so many descriptors, in the order in which the state counts them
    STATE = 8  # old to new: State
    HAVE = 9  # new to old
    COMMIT = 10  # old to new
    TAKEN = 11  # new to old
    SERVING = 12  # new to old: its first turn is over
    LATER = 13  # old to new: a client's connection that has become free since, with its descriptor
    DISMISS = 14  # old to new: Said
    RELOAD = 15  # old to new: read the configuration again
    STOP = 16  # old to new: SIGTERM came
    REFUSE = 17  # new to old: Said
    LEFT = 18  # old to new: Left, nothing is left there
    KEEP = 19  # old to new: Keep, a record of what is still open there
    DOWN = 20  # new to old: the last ticket of such records that is down


MOST = {
    Kind.STATE: 64 << 20,
    Kind.TABLE: 8 << 20,
    Kind.LATER: 1 << 20,
    Kind.WARM: 4 << 20,
}  # bytes in a payload
ELSE = 1 << 16


# Keys on the wire, where the attributes here have other names (the decisions': routing/snapshot.py).
NAMES = {"backend": "be", "backends": "bes", "requests": "reqs", "object_parts": "objs"}
LIMIT_KEYS = snapshot.LIMIT_KEYS
BACKEND_KEYS = {**snapshot.BACKEND_KEYS, **NAMES, "concurrency_limit": "way", "canary": "trial"}
OBJECT_PART_KEYS = {**snapshot.OBJECT_PART_KEYS, "last_served_by": "home"}
REQUEST_KEYS = {
    **snapshot.REQUEST_KEYS,
    **NAMES,
    "first_executed_by": "ran_at",
    "failed_backends": "avoid",
    "fill_limit": "way",
}


class FormError(Exception):
    """What came is none of the frames or records above; the text says why."""


class Ask(Struct):
    to: str = ""
    mode: str = ""  # whole or drain; empty: as the gateway's settings say


class Phase(Struct):
    phase: str
    why: str = ""
    took: float = 0.0
    pid: int = 0
    done: bool = False  # the last one
    ok: bool = False


class Said(Struct):
    why: str = ""


class Hello(Struct):
    version: str
    form: int  # the newest state that it reads
    vhosts: list[str] = []
    store: str = ""  # the folder of its store


class Listed(Struct):
    name: str
    host: str
    port: int
    zone: int
    kind: int
    cell: int
    status: int
    size: float
    started: int


class Warm(Struct):
    parent: int  # the old process's id
    least: int = LEAST
    mode: str = "whole"
    listed: list[Listed] = []


class Left(Struct):
    counts: dict[str, dict[str, int]] = {}


class Keep(Struct):
    ticket: int
    kind: int
    key: bytes
    value: bytes | None = None


class Chain(Struct):
    """Tries under one key (lilacloft/store/keep.py)."""

    key: bytes
    before: bytes | None = None
    users: int = 0
    sent: bool = False
    down: bool = False
    earlier: bool = False


class Kept(Struct):
    """What `Keeper.give` gives, and its store, whose lock is the last descriptor."""

    folder: str
    chains: list[Chain] = []
    out: list[tuple[str, bytes]] = []
    budgets: dict[str, int] = {}
    counts: dict[str, int] = {}


class Limit(Struct, rename=LIMIT_KEYS):
    limit: float | UnsetType = UNSET
    late_share: float | UnsetType = UNSET
    next_cut_at: int | UnsetType = UNSET
    last_ended_at: int | UnsetType = UNSET
    last_duration: int | UnsetType = UNSET


class Backend(Struct, rename=BACKEND_KEYS):
    started: int
    concurrency_limit: Limit | None = None
    canary: int | None = None
    requests: list[int] = []  # what is out there, in the order in which it was sent
    reported_load: float | UnsetType = UNSET
    saturation_in_flight: float | UnsetType = UNSET
    health_checked_at: int | UnsetType = UNSET
    last_answer_at: int | UnsetType = UNSET
    consecutive_failures: int | UnsetType = UNSET
    late_fill_share: float | UnsetType = UNSET
    ejected: bool | UnsetType = UNSET
    retry_at: int | UnsetType = UNSET
    backoff: int | UnsetType = UNSET
    recent_work: list[tuple[int, float]] = []


class ObjectPart(Struct, rename=OBJECT_PART_KEYS):
    place: tuple[str, int]
    last_served_by: str | None = None
    revalidated_at: int | None | UnsetType = UNSET
    request_count: int | UnsetType = UNSET
    filled_at: int | UnsetType = UNSET
    min_transfer_time: float | UnsetType = UNSET


class Request(Struct, rename=REQUEST_KEYS):
    key: str
    part: int
    purge_group: int
    kbytes: float
    arrived_at: int
    deadline: int
    vhost: int
    tenant: int = 0
    is_write: bool = False
    is_client_retry: bool = False
    streaming: bool = False
    in_flight: bool = False
    attempts: int = 0
    sent_at: int = 0
    load_units: float = 0.0
    transfer_time: float = 0.0
    expects_fill: bool = False
    first_executed_at: int | None = None
    revalidates: bool = False
    may_collapse: bool = True
    cache_only: bool = False
    send_by: int = 0
    backend: str | None = None
    source: str | None = None
    first_executed_by: str | None = None
    failed_backends: list[str] = []
    cached: bool = False
    fill_limit: str | None = None


class Module(Struct, rename=NAMES):
    """What `Router.give` gives."""

    router: dict[str, int | float]
    vhosts: list[dict[str, int | float]]
    link: Limit
    backends: dict[str, Backend]
    purges: list[tuple[str | int, int]] = []
    object_parts: list[ObjectPart] = []
    requests: list[Request] = []
    due: list[tuple[int, int, int]] = []


class Stream(Struct):
    """A connection at rest: a client's or one to a be."""

    sock: int  # which descriptor
    held: bytes = b""  # what has come of the message in hand
    backlog: list[tuple[int, bytes]] = []
    queued: int = 0
    written: int = 0
    came: float = 0.0  # steady, in seconds
    begun: float = 0.0
    passed_on: int = -1  # bytes read; -1: a writer that did not count them


class Client(Stream, kw_only=True):
    said: int = 0
    offences: int = 0
    taken: int = 0
    settled: int = 0
    used: float = 0.0
    moved: tuple[int, float] = (0, 0.0)


class Line(Stream, kw_only=True, rename=NAMES):
    backend: str
    host: str
    port: int
    life: int
    heard: int = 0
    used: int = 0
    made: int = 0
    shunned: bool = False


class Call(Struct):
    client: int  # which client
    tag: bytes
    name: str
    vhost: int
    key: str
    part: int
    group: int
    kbytes: float
    allow: int
    at: int  # steady
    replay: str | None = None
    got: str | None = None
    body: bytes = b""
    open: bool = True
    lines: list[int] = []  # -1: one that has ended


class Sent(Struct, rename=NAMES):
    call: int | None
    backend: str
    seq: int
    name: bytes
    data: bytes
    at: int
    line: int | None = None
    place: int = 0
    until: int | None = None
    over: tuple[str, int] | None = None  # given up by us: its end, and when the module is told of it


class Stamps(Struct):
    """What `lilacloft.stamps` knows: the least lag and when it was seen; by backend the stamp of its start,
    what that means in the module's time, and whether it may be corrected."""

    lag: int | None = None
    at: int = 0
    starts: dict[str, tuple[int, int, bool]] = {}


class State(Struct):
    version: int = VERSION
    least: int = LEAST
    mode: str = "whole"
    time: int = 0
    steady: int = 0
    vhosts: list[str] = []
    last: int = 0  # the change log's number
    listed: list[Listed] = []
    stamps: Stamps | None = None
    module: Module | None = None
    counts: dict[str, dict[str, int]] = {}
    checks: int = 0
    clients: list[Client] = []
    lines: list[Line] = []
    calls: list[Call] = []
    sents: list[Sent] = []
    sockets: int = 0
    reload: bool = False
    store: Kept | None = None


_write = msgspec.msgpack.Encoder().encode
_readers: dict[Any, msgspec.msgpack.Decoder[Any]] = {}


def frame(kind: Kind, record: Any = None) -> bytes:
    """A whole frame."""
    payload = b"" if record is None else _write(record)
    if len(payload) > MOST.get(kind, ELSE):
        raise FormError(f"{kind.name} of {len(payload)} bytes is too long")
    return HEAD.pack(MAGIC, VERSION, kind, len(payload), crc32c(payload)) + payload


def head(data: bytes) -> tuple[Kind, int, int]:
    """Kind, length and checksum of the payload that follows a head; an unknown kind or length is refused."""
    magic, _, kind, length, crc = HEAD.unpack(data)
    if magic != MAGIC:
        raise FormError("no frame")
    try:
        kind = Kind(kind)
    except ValueError:
        raise FormError(f"unknown kind {kind}") from None
    if length > MOST.get(kind, ELSE):
        raise FormError(f"{kind.name} of {length} bytes is too long")
    return kind, length, crc


def check(payload: bytes, crc: int) -> bytes:
    """The payload, if it is what was written."""
    if crc32c(payload) != crc:
        raise FormError("the checksum does not fit")
    return payload


def read(payload: bytes, form: Any) -> Any:
    """A record of a form."""
    if form not in _readers:
        _readers[form] = msgspec.msgpack.Decoder(form)
    try:
        return _readers[form].decode(payload)
    except (msgspec.MsgspecError, RecursionError) as wrong:
        raise FormError(str(wrong)) from wrong


def plain(record: Any) -> Any:
    """A record as plain values, without what its writer left out."""
    return msgspec.to_builtins(record, builtin_types=(bytes,))
