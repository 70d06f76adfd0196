"""The types of records. A file of records has one JSON object a line; `kind` names its type.

Each record has a number, consecutive within a run (the lifetime of one process), and its time by the system
clock and by the monotonic clock. Times and durations are whole tenths of a millisecond. A file begins with
its `Head`. Readers skip unknown fields and kinds; `Head.schema` is the version of the format.
"""

from __future__ import annotations

from typing import Any, get_args

import msgspec
from msgspec import Struct

SCHEMA_VERSION = 1
# The stored name of each field that has another name in the code.
FIELDS_IN_FILES = {
    "abandoned": "left",
    "backend": "be",
    "backend_count": "listed",
    "backends": "bes",
    "change": "what",
    "connected": "up",
    "consecutive_failures": "strikes",
    "denied_without_dispatch": "at_once",
    "duration": "span",
    "durations": "took",
    "ejected": "suspect",
    "ejected_backends": "out",
    "failed_returns": "failed",
    "file_number": "file",
    "in_flight": "flight",
    "late_answers": "late",
    "late_share": "late",
    "limit_count": "limits",
    "link_limit": "link",
    "loop_lag": "lag",
    "monotonic_time": "steady",
    "plan_number": "issued",
    "previous_limit": "was",
    "purged_at": "at",
    "reason": "why",
    "recovered": "grown",
    "requests": "reqs",
    "returned_slices": "back",
    "source_wait_total": "waited",
    "source_waits": "waits",
    "total_slices": "of",
    "unix_time": "wall",
    "utilization": "util",
    "without_plan": "alone",
}
# Name, kind, location, status (0 removed, 1 ready, 2 draining), start time, capacity.
BackendRow = tuple[str, str, str, int, int, float]


class Record(Struct, kw_only=True, omit_defaults=True, tag_field="kind", rename=FIELDS_IN_FILES):
    """The fields that all records have."""

    number: int = 0
    unix_time: int = 0
    monotonic_time: int = 0


class Head(Record, tag="head", rename=FIELDS_IN_FILES):
    """The first record of a file."""

    schema: int
    gateway: str
    run: str  # name of the run: start time and process id
    zone: str = ""
    version: str = ""
    gateways: int = 1  # number of gateways in the settings
    file_number: int = 0  # within the run
    vhosts: dict[str, list[float]] = {}  # by name: first-byte target, client timeout, value


class Start(Record, tag="start", rename=FIELDS_IN_FILES):
    """The process has started to serve."""

    reason: str = "start"  # or `upgrade`: it has taken over from another process
    backend_count: int = 0


class Stop(Record, tag="over", rename=FIELDS_IN_FILES):
    """The process shuts down cleanly."""

    reason: str = ""  # stop, upgrade


class Upgrade(Record, tag="upgrade", rename=FIELDS_IN_FILES):
    """A phase of an upgrade, recorded by the process that is replaced."""

    phase: str
    reason: str = ""


class BackendList(Record, tag="listed", rename=FIELDS_IN_FILES):
    """The list of backends, or a change to it."""

    event: int  # number in the change log; 0: not received when it happened
    whole: bool = False
    backends: list[BackendRow] = []


class Purge(Record, tag="purge", rename=FIELDS_IN_FILES):
    """The change log reported a purge."""

    event: int
    key: str = ""
    group: int = 0
    purged_at: int = 0  # Unix time by the clock of the host that issued the purge


class HealthChange(Record, tag="belief", rename=FIELDS_IN_FILES):
    """A backend was ejected or restored."""

    backend: str
    change: str  # left alone, back
    reason: str = ""
    consecutive_failures: int = 0
    late_share: float = 0.0


class LimitChange(Record, tag="cut", rename=FIELDS_IN_FILES):
    """A learned concurrency limit was cut, or has recovered to its value before the first cut."""

    backend: str  # or `link`
    previous_limit: float
    limit: float
    late_share: float  # of the answers under this limit
    recovered: bool = False


class PlanChange(Record, tag="planned", rename=FIELDS_IN_FILES):
    """Another plan is in effect at this gateway, or none."""

    planner: str = ""  # empty: no plan is in effect
    epoch: int = 0
    plan_number: int = 0  # within the epoch
    ejected_backends: list[str] = []  # by the plan
    limit_count: int = 0  # number of limits that the plan sets
    link_limit: float = 0.0  # this gateway's share of its location's link, in dispatches; 0: none set


class LocationFailover(Record, tag="away", rename=FIELDS_IN_FILES):
    """The number of a location's slices that its own backends serve has changed."""

    zone: str
    returned_slices: int  # served by the location itself
    total_slices: int
    failed_returns: int = 0  # recently
    reason: str = ""  # from the plan
    without_plan: bool = False


class VhostCounts(Struct, omit_defaults=True, rename=FIELDS_IN_FILES):
    """What happened to one virtual host's requests during a summary's period."""

    requests: int = 0
    done: int = 0
    denied: int = 0
    aborted: int = 0
    abandoned: int = 0  # the client disconnected
    late_answers: int = 0  # of the done: after their first-byte target
    dispatches: int = 0
    hits: int = 0
    fills: dict[str, int] = {}  # by the cache's note
    denied_without_dispatch: int = 0
    value: float = 0.0  # of the requests that were done in time
    durations: str = ""  # of the done, in tenths of a millisecond: an encoded HdrHistogram


class BackendCounts(Struct, omit_defaults=True, rename=FIELDS_IN_FILES):
    """One backend during a summary's period: its dispatches, and the fills for which it was the source."""

    dispatches: int = 0
    done: int = 0
    late_answers: int = 0
    ends: dict[str, int] = {}  # ends other than done, by name
    fills: int = 0  # likely fills from this source that ended
    source_wait_total: int = 0  # time that fills waited for this source, reported by caches or measured here
    source_waits: int = 0  # number of fills in `source_wait_total`
    in_flight: int = 0
    utilization: float = -1.0  # as the backend reports it; -1: not reported
    limit: float = 0.0
    ejected: bool = False
    status: int = 1


class SummaryRecord(Record, tag="second", rename=FIELDS_IN_FILES):
    """What happened since the last summary: each second while there is traffic, else every ten seconds."""

    duration: int
    vhosts: dict[str, VhostCounts] = {}
    backends: dict[str, BackendCounts] = {}
    link_limit: float = 0.0  # on likely fills
    refused: dict[str, int] = {}  # messages and connections refused, by cause
    loop_lag: int = 0  # the largest lateness of the event loop


class DroppedRecords(Record, tag="lost", rename=FIELDS_IN_FILES):
    """Records could not be written because the queue was full or the disk failed."""

    count: int
    reason: str
    since: int = 0  # Unix time


class ClockStep(Record, tag="clock", rename=FIELDS_IN_FILES):
    """The system clock was set."""

    step: int  # relative to the monotonic clock, since the last record


class ChangeLogConnection(Record, tag="log", rename=FIELDS_IN_FILES):
    """The connection to the change log was established or ended."""

    connected: bool
    event: int = 0


AnyRecord = (
    Head
    | Start
    | Stop
    | Upgrade
    | BackendList
    | Purge
    | HealthChange
    | LimitChange
    | PlanChange
    | LocationFailover
    | SummaryRecord
    | DroppedRecords
    | ClockStep
    | ChangeLogConnection
)
KNOWN_KINDS = {record_type.__struct_config__.tag for record_type in get_args(AnyRecord)}

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder(AnyRecord).decode
decode_fields = msgspec.json.Decoder(dict[str, Any]).decode


def encode_line(record: Record) -> bytes:
    """Return a record as a line of a file."""
    return encode(record) + b"\n"
