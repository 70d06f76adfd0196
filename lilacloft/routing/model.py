"""Plain records that the decision module and its callers share. They hold facts and decide nothing.

All times and spans are whole tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any


class RejectReason(Enum):
    """Why a request was given up."""

    LAY_UNREAD = auto()  # so long that whatever it got would be late
    TRIES_USED = auto()  # it had as many attempts as it may have
    TIME_UP = auto()  # its client's time is over
    WINDOW_OVER = auto()  # what waited for its connection may not go out any more
    CLIENT_LEFT = auto()  # or may have
    NO_ROOM = auto()  # no backend may take it now
    GARBLED = auto()  # its connection brought nonsense after it
    ENDING = auto()  # this process is about to end


@dataclass(eq=False, slots=True)
class Backend:
    """A backend: a cache, a parent or the origin, as the list names it and as this gateway has seen it."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    status: int = 0
    capacity: float = 1.0
    started: int = 0
    concurrency_limit: Any = None  # the limit on what may be out there
    in_flight_load: float = 0.0  # bytes (or reqs) of this gateway's dispatches in flight
    reported_load: float = 0.0  # what it holds over what it can send at full pace, by its own load reports
    saturation_in_flight: float = 0.0  # what it held for each part of its time busy: so much fits
    health_checked_at: int = 0  # when its load was last asked for
    last_answer_at: int = 0  # when it last answered
    consecutive_failures: int = 0  # symptoms since then
    late_fill_share: float = 0.0  # part of the fills asked of it that came late
    ejected: bool = False
    retry_at: int = 0
    backoff: int = 0
    canary: Request | None = None
    recent_work: list[tuple[int, float]] = field(default_factory=list)  # work sent lately: (time, work)
    requests: dict[Request, None] = field(default_factory=dict)  # dispatches out there


@dataclass(eq=False, slots=True)
class ObjectPart:
    """One part of an object as this gateway's table knows it."""

    revalidated_at: int | None = None  # when a req last carried the renewal
    request_count: int = 0
    last_served_by: Backend | None = None  # the cache that last answered it
    filled_at: int = 0  # when it was last asked for there with a fill likely, or renewed
    min_transfer_time: float = 0.0  # the shortest time in which it was answered: no more than this is sending


@dataclass(eq=False, slots=True)
class Request:
    """A client's req and what has become of it."""

    key: str
    part: int
    purge_group: int
    kbytes: float
    arrived_at: int
    deadline: int  # when the client gives this try up
    vhost: int
    tenant: int = 0
    is_write: bool = False
    is_client_retry: bool = False
    send_by: int = 0  # nothing goes out later: its client may have left, or its window closes; 0: it may
    reject_reason: RejectReason | None = None  # why it was given up, if it was
    finished: bool = False  # it has had its final answer, or is owed none
    streaming: bool = False  # its stream has begun
    in_flight: bool = False  # a dispatch is out
    attempts: int = 0
    backend: Backend | None = None
    source: Backend | None = None
    sent_at: int = 0
    load_units: float = 0.0
    transfer_time: float = 0.0  # its sending time, told or guessed
    fill_limit: Any = None  # the limit that its fill counts to
    expects_fill: bool = False  # the dispatch out is likely to need a fill
    first_executed_at: int | None = None  # when the first dispatch that may have run was sent
    first_executed_by: Backend | None = None
    failed_backends: list[Backend] = field(default_factory=list)  # who has failed it
    revalidates: bool = False
    may_collapse: bool = True
    cache_only: bool = False  # the last dispatch only asked for what is held
    object_part: ObjectPart | None = None  # none where it cannot be kept
