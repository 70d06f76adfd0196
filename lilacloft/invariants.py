"""Run-time checks of the invariants that a gateway guarantees to its operators and clients: on sending,
retrying, answering, closing connections, and on cold backends.

The checks keep their own plain record of what was sent, ended and answered. They share no state with the
routing decisions (lilacloft/routing/), as they are meant to find errors in those. A check that finds an
invariant about to be violated reports and counts it, and tells the caller not to go on. No I/O and no clock;
times and durations are whole tenths of a millisecond of the clock that the caller uses.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from lilacloft.routing.model import Backend

# Outcomes after which an attempt may have been executed. Deliberately separate from the list of the router.
MAY_HAVE_EXECUTED = frozenset(("done", "error", "timeout", "reset", "spoilt", "cancelled"))
MAX_GONE_BACKENDS = 10_000  # maximum number of remembered backends that are no longer listed
# An attempt may begin for this time after its client has left; longer than the router allows.
CLIENT_LEFT_LIMIT = 1_000
TIME_SLACK = 1_500  # by which the time limit of an attempt may exceed the time that its client has left
WIRE_SLACK = 500  # added to each time limit on sockets
DRAIN_GRACE = 10_000  # time for which a draining backend may be used, if the settings do not set it


class Invariant(Enum):
    """An invariant; the value is the description in log messages."""

    CLIENT_HAD_LEFT = "an attempt was started for a client that had left"
    TIME_LEFT = "an attempt was given more time than its client has left"
    DRAIN = "an attempt was routed to or through a backend that is draining or gone"
    TWO_OUT = "two attempts of one request were in flight at the same time"
    SENT_AGAIN = "a request that may have been executed was retried against its idempotency settings"
    WINDOW_OVER = "a request that may have been executed was retried after its idempotency window"
    SLOW_START = "this process alone exceeded what all gateways may send to a cold backend"
    SETTLED = "an attempt was started for a request that was settled"
    ANSWERED_TWICE = "a request was answered twice"
    ANSWERED_LATE = "a request was answered after its deadline"
    UNANSWERED = "a request ended without an answer"


@dataclass(frozen=True)
class IdempotencyRule:
    """The idempotency settings of a virtual host: whether a request may be retried that may have been
    executed."""

    kind: str  # replayable, uniqued, non-replayable
    scope: str = "all"  # in which idempotency keys are known: all, zone, cell
    window: int = 0  # time for which a key is remembered


@dataclass(slots=True)
class RequestHistory:
    """The course of one request, as recorded by the checks."""

    name: str
    effect: IdempotencyRule
    deadline: int  # when its client stops waiting
    in_flight: bool = False
    sent_at: int = 0  # when the last attempt was decided
    backend: Backend | None = None  # of the last attempt
    first_executed_at: int | None = None  # when the first attempt that may have been executed was decided
    first_executed_by: Backend | None = None
    settled: bool = False  # it is answered, or needs no answer any more


@dataclass(frozen=True)
class FirstByte:
    """An attempt whose first byte is about to be sent; times by the monotonic clock, 0: none."""

    name: str
    now: int
    time_limit: int  # stated in the attempt
    deadline: int  # when its client stops waiting
    client_left_at: int
    window_ends_at: int  # of its idempotency key
    draining_since: int  # of its backend


@dataclass(frozen=True)
class SlowStartLimits:
    """The limits on one kind of backend after its start, from the settings."""

    initial_share: float  # share of its full capacity at its start
    duration: int  # until it has its full capacity
    overload_factor: float  # it fails at this multiple of its current capacity


class DrainingSince(NamedTuple):
    """Since when a backend has been draining or gone, by the gateway's time and by the monotonic clock."""

    at: int
    monotonic_time: int


class Invariants:
    """The checks of one gateway. `may_send_first_byte` and `report_unanswered` may be called from any
    thread, the other methods only from one."""

    def __init__(
        self,
        settings: Mapping[str, Any],
        on_violation: Callable[[Invariant, str, str], None] = lambda _invariant, _name, _detail: None,
    ) -> None:
        """`on_violation` is called with the invariant, the name of the request or backend, and details."""
        rules, family = settings["rules"], settings["family"]
        self.on_violation = on_violation
        self.counts = dict.fromkeys(Invariant, 0)
        self.lock = threading.Lock()
        self.overload_window = rules["fall"]
        self.drain_grace = rules.get("drain_grace") or DRAIN_GRACE
        self.answer_slack = rules.get("answer_slack", 0) + WIRE_SLACK
        self.cache_limits = SlowStartLimits(rules["start_capacity"], rules["cold"], rules["tip_multiple"])
        self.parent_limits = SlowStartLimits(
            family["parent_floor"], family["parent_warms_in"], family["parent_breaks_at"]
        )
        self.parent_kind, self.origin_kind = family["parent_kind"], family["source_kind"]
        self.capacities_known = settings.get("weight_source", "silent") != "silent"
        self.sent_while_cold: dict[Backend, deque[tuple[int, float]]] = {}  # recent (time, work)
        self.drained: dict[str, DrainingSince] = {}  # since when backends are draining or gone, by name

    def _violated(self, invariant: Invariant, name: str, detail: str) -> bool:
        """Count and report an invariant that is violated, or would be; returns False."""
        with self.lock:
            self.counts[invariant] += 1
        self.on_violation(invariant, name, detail)
        return False

    # --- sending and retrying ---

    def may_send(
        self, history: RequestHistory, backend: Backend, source: Backend, work: float, now: int
    ) -> bool:
        """Return whether an attempt may be sent to a backend with `source` filling a miss; checked for every
        attempt when it is decided."""
        allowed = (
            self._is_open(history)
            and self._may_repeat(history, backend, now)
            and self._within_drain_grace(history, backend, now)
            and self._within_drain_grace(history, source, now)
            and self._within_slow_start(backend, work, now)
            and (source is backend or self._within_slow_start(source, work, now))
        )
        if allowed:
            history.in_flight, history.sent_at, history.backend = True, now, backend
        return allowed

    def _is_open(self, history: RequestHistory) -> bool:
        if history.settled:
            return self._violated(Invariant.SETTLED, history.name, "when decided")
        if history.in_flight:
            return self._violated(
                Invariant.TWO_OUT, history.name, f"first at {history.backend and history.backend.name}"
            )
        return True

    def _may_repeat(self, history: RequestHistory, backend: Backend, now: int) -> bool:
        """Return whether a request may be sent, considering that it may have been executed before."""
        effect, first = history.effect, history.first_executed_by
        if history.first_executed_at is None or first is None or effect.kind == "replayable":
            return True
        same = {"all": True, "zone": backend.zone == first.zone, "cell": backend.cell == first.cell}
        if effect.kind != "uniqued" or not same[effect.scope]:
            return self._violated(Invariant.SENT_AGAIN, history.name, f"{first.name}, then {backend.name}")
        if now >= history.first_executed_at + effect.window:
            late = (now - history.first_executed_at - effect.window) / 10
            return self._violated(Invariant.WINDOW_OVER, history.name, f"{late:.1f} ms after its window")
        return True

    def _within_drain_grace(self, history: RequestHistory, backend: Backend, now: int) -> bool:
        """Return whether a backend is ready, or has been draining or gone for no longer than the grace
        period."""
        since = self.drained.get(backend.name)
        if since is None or now <= since.at + self.drain_grace:
            return True
        return self._violated(Invariant.DRAIN, history.name, f"when decided for {backend.name}")

    def attempt_ended(self, history: RequestHistory, outcome: str) -> None:
        """Record the end of the attempt in flight."""
        history.in_flight = False
        if outcome in MAY_HAVE_EXECUTED and history.first_executed_at is None:
            history.first_executed_at, history.first_executed_by = history.sent_at, history.backend

    def may_send_first_byte(self, first_byte: FirstByte) -> bool:
        """Return whether the first byte of an attempt may be sent; the attempt may have waited for a
        connection since it was decided."""
        if first_byte.client_left_at and first_byte.now > first_byte.client_left_at + CLIENT_LEFT_LIMIT:
            elapsed = (first_byte.now - first_byte.client_left_at) / 10
            return self._violated(Invariant.CLIENT_HAD_LEFT, first_byte.name, f"{elapsed:.1f} ms before")
        if first_byte.deadline and first_byte.time_limit > first_byte.deadline - first_byte.now + TIME_SLACK:
            limit, left = first_byte.time_limit / 10, (first_byte.deadline - first_byte.now) / 10
            return self._violated(
                Invariant.TIME_LEFT, first_byte.name, f"time limit {limit:.0f} ms, left {left:.0f} ms"
            )
        if first_byte.window_ends_at and first_byte.now > first_byte.window_ends_at:
            return self._violated(Invariant.WINDOW_OVER, first_byte.name, "when its first byte was sent")
        if (
            first_byte.draining_since
            and first_byte.now > first_byte.draining_since + self.drain_grace + WIRE_SLACK
        ):
            return self._violated(Invariant.DRAIN, first_byte.name, "when its first byte was sent")
        return True

    # --- backends ---

    def endpoint_changed(self, name: str, status: int, now: int, monotonic_time: int) -> None:
        """Record the status of a backend from discovery (1: ready, 2: draining, 0: gone). `now` and
        `monotonic_time`: the gateway's time and the monotonic clock."""
        if status == 1:
            self.drained.pop(name, None)
        else:
            self.drained.setdefault(name, DrainingSince(now, monotonic_time))
            if status == 0 and len(self.drained) > MAX_GONE_BACKENDS:
                del self.drained[next(iter(self.drained))]

    def _within_slow_start(self, backend: Backend, work: float, now: int) -> bool:
        """Return whether this process alone keeps within what all gateways together may send to a cold
        backend. `work` is the request's transfer time at full rate, in ticks."""
        limits = self.parent_limits if backend.kind == self.parent_kind else self.cache_limits
        age = max(0, now - backend.started)
        if (
            not backend.started
            or age >= limits.duration
            or backend.kind == self.origin_kind
            or not self.capacities_known
        ):
            self.sent_while_cold.pop(backend, None)
            return True
        recent = self.sent_while_cold.setdefault(backend, deque())
        while recent and recent[0][0] <= now - self.overload_window:
            recent.popleft()
        mean = (sum(one for _, one in recent) + work) / (len(recent) + 1)
        share = limits.initial_share + (1 - limits.initial_share) * age / max(1, limits.duration)
        budget = limits.overload_factor * share * backend.capacity * self.overload_window / max(mean, 1.0)
        if len(recent) + 1 > budget + allowed_excess(budget):
            return self._violated(
                Invariant.SLOW_START, backend.name, f"{len(recent) + 1} requests, budget {budget:.1f}"
            )
        recent.append((now, work))
        return True

    # --- answering and closing ---

    def answered(self, history: RequestHistory, now: int) -> None:
        """Record the final answer to a request."""
        if history.settled:
            self._violated(Invariant.ANSWERED_TWICE, history.name, "")
        elif now > history.deadline + self.answer_slack:
            late = (now - history.deadline) / 10
            self._violated(Invariant.ANSWERED_LATE, history.name, f"{late:.1f} ms late")
        history.settled = True

    @staticmethod
    def client_left(history: RequestHistory) -> None:
        """Record that the client has left, so that its request needs no answer."""
        history.settled = True

    def report_unanswered(self, names: list[str]) -> None:
        """Report the open requests on a connection that this gateway closes, or at the exit of this
        process."""
        for name in names:
            self._violated(Invariant.UNANSWERED, name, "closed by the gateway")

    # --- reports ---

    def violations(self) -> dict[str, int]:
        """Return how often each invariant was violated, or would have been."""
        with self.lock:
            return {invariant.name.lower(): count for invariant, count in self.counts.items()}


def allowed_excess(budget: float) -> float:
    """Return the number of requests by which a budget may be exceeded by chance, as defined by the
    operators."""
    return 3 * math.sqrt(budget) + 3 if budget < 30 else 2 * math.sqrt(budget) + 2
