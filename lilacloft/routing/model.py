"""Data types shared by the router and its callers. They contain no decisions.

All times and durations are whole tenths of a millisecond of the gateway's own time (`Ticks`). The values of
the string enums are used in records, in snapshots and on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, StrEnum, auto
from typing import TypeAlias

from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.units import Ticks

PartKey: TypeAlias = tuple[str, int]  # an object's key and the number of one of its parts


class RejectReason(Enum):
    """Why a request got a final answer without being served."""

    TRIES_USED = auto()  # the maximum number of attempts was reached
    TIME_UP = auto()  # its deadline was reached
    WINDOW_OVER = auto()  # it waited for a connection until its idempotency window had closed
    CLIENT_LEFT = auto()  # its client has disconnected, or may have
    NO_ROOM = auto()  # no backend may take it now
    GARBLED = auto()  # malformed data followed it on its connection
    ENDING = auto()  # this process is about to exit


class BackendStatus(IntEnum):
    """The status of a backend in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Idempotency(StrEnum):
    """Whether a request may be executed again."""

    SAFE = "replayable"  # any number of times
    KEYED = "uniqued"  # with its idempotency key, within a time window and a scope
    NONE = "non-replayable"


class IdempotencyScope(StrEnum):
    """Which backends share knowledge of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(StrEnum):
    """How an attempt or a health check ended."""

    DONE = "done"
    ERROR = "error"  # the backend answered with an error
    QUEUE_FULL = "full"  # the backend rejected it under load
    TIMEOUT = "timeout"
    CONNECT_FAILED = "unreached"
    RESET = "reset"
    MALFORMED = "spoilt"  # the answer was unusable
    CANCELLED = "cancelled"  # by this gateway
    UNSENT = "unsent"  # nothing of it was sent
    MISS = "miss"  # it asked only for a cached copy, and there is none


class CacheNote(IntEnum):
    """A cache's report of how it obtained its answer; most caches report nothing."""

    NOTHING = 0
    HIT = 1
    FILLED_FROM_COPY = 2  # from a copy at its source
    FILLED_FROM_ORIGIN = 3
    JOINED_FILL = 4
    STALE_COPY = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_HAS_NO_COPY = 8
    FILL_QUEUE_FULL = 9
    ORIGIN_FAILED = 10


@dataclass(eq=False, slots=True)
class Backend:
    """A cache, a parent or the origin: its endpoint list entry, and what this gateway has observed of it."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    status: int = 0  # a BackendStatus
    capacity: float = 1.0  # concurrent transfers at full rate; also its weight in hash order
    started: Ticks = 0  # 0: not known to have started recently
    concurrency_limit: AdaptiveLimit | None = None  # None until it is first ready
    in_flight_load: float = 0.0  # of this gateway's attempts, in KB (in requests if sizes are unknown)
    reported_load: float = 0.0  # its requests in flight relative to full utilization, from its load reports
    saturation_in_flight: float = 0.0  # requests in flight at which it is just fully utilized; learned
    health_checked_at: Ticks = 0
    last_answer_at: Ticks = 0
    consecutive_failures: int = 0  # since its last answer
    late_fill_share: float = 0.0  # share of its fills that were late
    ejected: bool = False
    retry_at: Ticks = 0  # while ejected: when the next canary request may be sent
    backoff: Ticks = 0  # while ejected: time between two canary requests
    canary: Request | None = None  # its canary request in flight
    recent_work: list[tuple[Ticks, float]] = field(default_factory=list)  # recent (time, transfer time)
    requests: dict[Request, None] = field(default_factory=dict)  # its attempts in flight, in order of sending


@dataclass(eq=False, slots=True)
class ObjectPart:
    """This gateway's table entry for one part of an object."""

    revalidated_at: Ticks | None = None  # when a request last triggered its revalidation
    request_count: int = 0
    last_served_by: Backend | None = None  # the cache that last answered a request for it
    filled_at: Ticks = 0  # when that cache was last sent a request that likely filled or revalidated it
    min_transfer_time: float = 0.0  # shortest duration of an answer, in ticks; 0: no answer yet


@dataclass(eq=False, slots=True)
class Request:
    """A client's request and the state of its attempts."""

    key: str
    part: int
    purge_group: int
    kbytes: float  # 0: unknown
    arrived_at: Ticks
    deadline: Ticks  # when its client stops waiting
    vhost: int  # index of its virtual host in the settings
    tenant: int = 0
    is_write: bool = False
    is_client_retry: bool = False
    send_by: Ticks = 0  # no attempt is sent after this: client may have left, or window closes; 0: no bound
    reject_reason: RejectReason | None = None
    finished: bool = False  # it has its final answer, or needs none
    streaming: bool = False  # its answer is a stream that has begun, so no timeout applies any more
    in_flight: bool = False  # an attempt is in flight
    attempts: int = 0  # number sent so far; the one in flight has number `attempts - 1`
    backend: Backend | None = None  # of the last attempt
    source: Backend | None = None  # source of fills of the last attempt; the backend itself if it has none
    sent_at: Ticks = 0
    load_units: float = 0.0  # what it adds to a backend's load: KB, or 1 where sizes are unknown
    transfer_time: float = 0.0  # ticks, from its size or estimated
    fill_limit: AdaptiveLimit | None = None  # the limit that the fill of the last attempt counts towards
    expects_fill: bool = False  # the last attempt is likely to need a fill
    first_executed_at: Ticks | None = None  # when the first attempt that may have been executed was sent
    first_executed_by: Backend | None = None
    failed_backends: list[Backend] = field(default_factory=list)
    revalidates: bool = False  # the last attempt triggered revalidation of its copy
    may_collapse: bool = True  # it may join a fill in progress
    cache_only: bool = False  # the last attempt asked only for a cached copy
    object_part: ObjectPart | None = None  # None if it cannot be cached

    @property
    def part_key(self) -> PartKey:
        """The key of its object part in the table."""
        return self.key, self.part

    @property
    def placement_key(self) -> str:
        """The key for hash order. It includes the part, so that a hot object does not load a single
        backend."""
        return f"{self.key} {self.part}"
