"""The records, one JSON object a line, by kind. They hold facts and decide nothing.

Every record has a number that grows by one within a run (a process's life), `wall` (Unix time by this
machine's clock) and `steady` (the monotonic clock); both are whole tenths of a millisecond, and so are all
spans. A file begins with its Head. Readers skip fields and kinds that they do not know; `schema` says which
they are.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

SCHEMA = 1
# Names of the fields in the files, where they differ from the attributes here.
FIELDS_IN_FILES = {
    "backend": "be",
    "backends": "bes",
    "requests": "reqs",
    "consecutive_failures": "strikes",
    "ejected": "suspect",
}


class Record(Struct, kw_only=True, omit_defaults=True, tag_field="kind", rename=FIELDS_IN_FILES):
    """What every record has."""

    number: int = 0
    wall: int = 0
    steady: int = 0


class Head(Record, tag="head", rename=FIELDS_IN_FILES):
    """The first of a file."""

    schema: int
    gateway: str
    run: str  # of this process's life: its start and process id
    zone: str = ""
    version: str = ""
    gateways: int = 1  # that the settings count
    file: int = 0  # of this run
    vhosts: dict[str, list[float]] = {}  # target, client timeout, value


class Start(Record, tag="start", rename=FIELDS_IN_FILES):
    """The process serves."""

    why: str = "start"  # or `upgrade`: it has taken over from another
    listed: int = 0


class Over(Record, tag="over", rename=FIELDS_IN_FILES):
    """The process ends in order."""

    why: str = ""  # stop, upgrade


class Upgrade(Record, tag="upgrade", rename=FIELDS_IN_FILES):
    """A phase of an upgrade, by the process that is replaced."""

    phase: str
    why: str = ""


class Listed(Record, tag="listed", rename=FIELDS_IN_FILES):
    """A list, or changes of it: name, kind, zone, status (0 gone, 1 ready, 2 draining), started, size."""

    event: int  # the change log's number; 0: from the configuration or another process
    whole: bool = False
    backends: list[tuple[str, str, str, int, int, float]] = []


class Purge(Record, tag="purge", rename=FIELDS_IN_FILES):
    """A purge was told."""

    event: int
    key: str = ""
    group: int = 0
    at: int = 0  # Unix time by whoever purged


class Belief(Record, tag="belief", rename=FIELDS_IN_FILES):
    """The gateway thinks otherwise of a be."""

    backend: str
    what: str  # left alone, back
    why: str = ""
    consecutive_failures: int = 0
    late: float = 0.0


class Cut(Record, tag="cut", rename=FIELDS_IN_FILES):
    """The learned limit on a way was cut, or has grown back to what it was before it was first cut."""

    backend: str
    was: float
    limit: float
    late: float  # part of answers late on that way
    grown: bool = False


class Planned(Record, tag="planned", rename=FIELDS_IN_FILES):
    """Another plan holds at this forwarder, or none does and it is a gateway alone again."""

    planner: str = ""  # empty: no plan holds
    epoch: int = 0
    issued: int = 0  # the plan's number within its epoch (`number` is the record's own)
    out: list[str] = []  # bes the plan leaves alone
    limits: int = 0  # ways it sets a limit on
    link: float = 0.0  # this forwarder's part of its location's link, dispatches; 0: none set


class Away(Record, tag="away", rename=FIELDS_IN_FILES):
    """More or less of a location is at home now: of so many slices, as the plan says, or as one goes on
    alone."""

    zone: str
    back: int
    of: int
    failed: int = 0  # returns that failed lately
    why: str = ""  # as the plan has it
    alone: bool = False  # no plan holds


class Vhost(Struct, omit_defaults=True, rename=FIELDS_IN_FILES):
    """One vhost in a summary's span."""

    requests: int = 0
    done: int = 0
    denied: int = 0
    aborted: int = 0
    left: int = 0
    late: int = 0  # of the done: after their first-byte target
    dispatches: int = 0
    hits: int = 0
    fills: dict[str, int] = {}  # by note
    at_once: int = 0  # of the denied: with nothing sent
    value: float = 0.0  # of what was done in time
    took: str = ""  # HdrHistogram of the done, tenths of a millisecond, encoded


class Backend(Struct, omit_defaults=True, rename=FIELDS_IN_FILES):
    """One be in a summary's span: as the one asked, and as the source that fills waited for."""

    dispatches: int = 0
    done: int = 0
    late: int = 0
    ends: dict[str, int] = {}  # other ends by name
    fills: int = 0  # likely fills from it that ended
    waited: int = 0  # in sum for it, by the caches' word or until the answer
    waits: int = 0  # how many of those
    flight: int = 0
    util: float = -1.0  # told; -1: not told
    limit: float = 0.0
    ejected: bool = False
    status: int = 1


class Second(Record, tag="second", rename=FIELDS_IN_FILES):
    """What happened since the last one; every second while anything does, every ten else."""

    span: int
    vhosts: dict[str, Vhost] = {}
    backends: dict[str, Backend] = {}
    link: float = 0.0  # the limit on likely fills
    refused: dict[str, int] = {}  # messages and connections refused, by cause
    lag: int = 0  # the longest that the owner's thread was late


class Lost(Record, tag="lost", rename=FIELDS_IN_FILES):
    """Records that could not be written: the queue was full, or the disk."""

    count: int
    why: str
    since: int = 0  # wall


class Clock(Record, tag="clock", rename=FIELDS_IN_FILES):
    """The machine's clock was set: by how much it went against the steady one since the last record."""

    step: int


class Log(Record, tag="log", rename=FIELDS_IN_FILES):
    """The connection to the change log came up, or ended."""

    up: bool
    event: int = 0


Any_ = (
    Head
    | Start
    | Over
    | Upgrade
    | Listed
    | Purge
    | Belief
    | Cut
    | Planned
    | Away
    | Second
    | Lost
    | Clock
    | Log
)
encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(Any_).decode
loose = msgspec.json.Decoder(dict[str, Any]).decode
KINDS = {
    "head",
    "start",
    "over",
    "upgrade",
    "listed",
    "purge",
    "belief",
    "cut",
    "planned",
    "away",
    "second",
    "lost",
    "clock",
    "log",
}
