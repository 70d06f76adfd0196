"""How the decisions act: the interface of whoever runs a `Router`, and the messages across it.

The gateway's event loop, the simulator's adapter, the emulator and the tests each are such a host.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from lilacloft.routing.model import Backend, CacheNote, Outcome, Request
from lilacloft.routing.units import Ticks


class Timer(StrEnum):
    """What a router asks to be woken for; `Router.timer_fired` gets it back."""

    SUBSCRIBE = "subscribe"  # ask discovery for changes again
    MAINTENANCE = "sweep"  # drop what is out of date, learn capacities
    DEADLINE = "due"  # the earliest deadline has come


class ListMode(StrEnum):
    """How a message of discovery is to be read."""

    FULL = "full"  # the whole endpoint list
    DELTA = "delta"  # changes of it
    CACHED = "cached"  # a whole list that may be old
    FAILED = "failed"  # discovery could not be asked


class HealthChange(StrEnum):
    """What a router thinks of a backend from now on."""

    EJECTED = "left alone"
    RESTORED = "back"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One row of the endpoint list."""

    backend: Backend
    zone: int
    kind: int
    cell: int
    status: int  # a BackendStatus
    capacity: float  # 0 or less: not known
    started: Ticks


@dataclass(slots=True)
class Dispatch:
    """One attempt that is to be sent.

    `timeout` counts from now. A miss is filled from `source` (the backend itself: from nobody else).
    `cache_rank` is the rank at which the copy is kept: 0 where it may not be kept, then by how often it was
    asked for, at most 2. A copy older than `max_age` will not do (0: any will).
    """

    request: Request
    backend: Backend
    source: Backend
    timeout: Ticks
    cache_rank: int
    max_age: Ticks
    may_collapse: bool  # it may join a fill under way
    cache_only: bool  # answer from a cached copy or with a miss
    revalidate: bool  # revalidate the copy behind the answer


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    attempt: int  # its number within its request, from 0
    outcome: Outcome | str
    duration: Ticks
    is_final: bool  # its request is answered, or owed no answer any more
    note: CacheNote | int = CacheNote.NOTHING


class Host(Protocol):
    """One gateway's means of acting. Nothing here may call the router back before it returns."""

    def now(self) -> Ticks:
        """Return the time."""

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send an attempt; `Router.attempt_ended` follows exactly once."""

    def client_left_at(self, request: Request) -> Ticks | None:
        """Return since when nobody may wait for a request any more, as far as can be known without writing to
        its client: its input has ended, it is cancelled, or what may say so lies unread. None: it waits."""

    def cancel(self, request: Request, attempt: int) -> None:
        """Stop waiting for an attempt, given by its number within its request."""

    def withdraw(self, request: Request, attempt: int) -> None:
        """Take an attempt back if nothing of it has gone out; its outcome is then `UNSENT`. Nothing happens
        where it has gone out."""

    def reject(self, request: Request, retry_after: Ticks) -> None:
        """Give the final answer: not served, and safe to ask again after a while (0: none is named)."""

    def fail(self, request: Request) -> None:
        """Give the final answer: failed, with nothing promised."""

    def wake(self, at: Ticks, timer: Timer) -> None:
        """Have `Router.timer_fired` called once, at a time or soon after it."""

    def check_health(self, backend: Backend) -> None:
        """Send a health check; `Router.health_checked` follows."""

    def subscribe(self, on: bool) -> None:
        """Ask discovery for changes, or stop asking."""

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        """Report that a backend was ejected or restored, and why."""

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        """Report that a concurrency limit was looked at: the backend's own or, where the backend is one that
        fills come from, that on likely fills; with the share of late answers under it."""
