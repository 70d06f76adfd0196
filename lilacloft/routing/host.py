"""The `Host` interface through which a `Router` acts, and the messages that cross it.

It is implemented by the gateway's event loop, the simulator's adapter, the emulator and the tests.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from lilacloft.routing.model import Backend, CacheNote, Outcome, Request
from lilacloft.routing.units import Ticks


class Timer(StrEnum):
    """Identifies a timer of the router; it is passed back to `Router.timer_fired`."""

    SUBSCRIBE = "subscribe"  # subscribe to changes from discovery again
    MAINTENANCE = "sweep"  # drop expired purges, learn capacities
    DEADLINE = "due"  # the earliest deadline is reached


class ListMode(StrEnum):
    """How an update from discovery is to be read."""

    FULL = "full"  # the whole endpoint list
    DELTA = "delta"  # changes to the list
    CACHED = "cached"  # a whole list that may be outdated
    FAILED = "failed"  # discovery could not be reached


class HealthChange(StrEnum):
    """A change of the router's view of a backend."""

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
    capacity: float  # 0 or less: unknown
    started: Ticks


@dataclass(slots=True)
class Dispatch:
    """An attempt to be sent.

    `timeout` counts from now. A miss is filled from `source`; if that is the backend itself, it fills from no
    other backend. `cache_rank` is the rank at which the copy is cached: 0 if it may not be cached, otherwise
    the number of requests for it, at most 2. A copy older than `max_age` is not acceptable (0: no limit).
    """

    request: Request
    backend: Backend
    source: Backend
    timeout: Ticks
    cache_rank: int
    max_age: Ticks
    may_collapse: bool  # it may join a fill in progress
    cache_only: bool  # answer from a cached copy or with a miss
    revalidate: bool  # revalidate the copy in the background


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    attempt: int  # its number within its request, from 0
    outcome: Outcome | str
    duration: Ticks
    is_final: bool  # its request is answered, or needs no answer any more
    note: CacheNote | int = CacheNote.NOTHING


class Host(Protocol):
    """The actions of one gateway. No method may call the router back before it returns."""

    def now(self) -> Ticks:
        """Return the current time."""

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send an attempt; `Router.attempt_ended` follows exactly once."""

    def client_left_at(self, request: Request) -> Ticks | None:
        """Return the time since which the client of a request may have left, as far as can be known without
        writing to it: its input has ended, the request is cancelled, or unread input may say so. None: the
        client is waiting."""

    def cancel(self, request: Request, attempt: int) -> None:
        """Cancel an attempt, given by its number within its request."""

    def withdraw(self, request: Request, attempt: int) -> None:
        """Withdraw an attempt of which nothing was sent; its outcome is then `UNSENT`. Has no effect once
        sending has begun."""

    def reject(self, request: Request, retry_after: Ticks) -> None:
        """Answer that the request was not served and may safely be retried after `retry_after` (0: no time is
        given). This answer is final."""

    def fail(self, request: Request) -> None:
        """Answer that the request failed, without saying whether a retry is safe. This answer is final."""

    def wake(self, at: Ticks, timer: Timer) -> None:
        """Set a timer: `Router.timer_fired` is called once, at the given time or soon after."""

    def check_health(self, backend: Backend) -> None:
        """Send a health check; `Router.health_checked` follows."""

    def subscribe(self, on: bool) -> None:
        """Subscribe to changes from discovery, or unsubscribe."""

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        """Report that a backend was ejected or restored, and why."""

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        """Report that a concurrency limit was evaluated, and its share of late answers: the limit of the
        backend or, if the backend is a source of fills, the limit on likely fills."""
