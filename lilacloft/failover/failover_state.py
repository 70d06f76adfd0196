"""The state of a location's failover, the directive for it in a plan, and the rules that planners and
gateways share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.failover.substitutes import ZoneWeight
from lilacloft.routing.units import Ticks

MIN_OUTAGE: Ticks = 10_000  # before a return; doubles with each failed return
MIN_CANARY_SPAN: Ticks = 10_000  # of answered canaries before a return; triples with each failed return
MIN_CANARIES = 3
CANARY_TURN: Ticks = 5_000  # for which one gateway may send canaries
MAX_FAILED_SHARE, MIN_ANSWERS = 0.25, 4  # a larger share of at least so many answers ends a return
HALT_LATE_SHARE = 0.2  # of the answers; a larger share halts a return
MAX_FAILED_RETURNS = 6  # maximum of the count: an outage of 64 s, and canaries for 12 min
MAX_HISTORY = 32


class FailoverPhase(StrEnum):
    """The phase of a location's failover. The values are shown to operators."""

    IN_USE = "in use"
    FAILED_OVER = "left"  # canaries only
    RETURNING = "returning"


class FailoverStatus(NamedTuple):
    """The state of one location at a gateway, as reported to planners."""

    returned_slices: int
    failed_returns: int


class HistoryEntry(NamedTuple):
    """A change of a location's state."""

    at: Ticks
    text: str


def min_outage(failed_returns: int) -> Ticks:
    """Return the minimum time for which a location stays out of use."""
    return MIN_OUTAGE << failed_returns


def min_canary_span(failed_returns: int) -> Ticks:
    """Return for how long canaries must have been answered before a location returns."""
    return MIN_CANARY_SPAN * 3**failed_returns


@dataclass
class CanaryRecord:
    """The canaries answered in a row. Their span ends with the last answer, as silence after it proves
    nothing."""

    answered: int = 0
    first_at: Ticks = 0
    last_at: Ticks = 0

    def add(self, answered: int, now: Ticks) -> None:
        """Count answered canaries."""
        if not self.answered:
            self.first_at = now
        self.answered += answered
        self.last_at = now

    def reset(self) -> None:
        """Start counting again."""
        self.answered = 0

    def suffices(self, failed_returns: int) -> bool:
        """Return whether the canaries suffice for a location to return."""
        return self.answered >= MIN_CANARIES and self.last_at - self.first_at >= min_canary_span(
            failed_returns
        )


@dataclass(frozen=True)
class FailoverDirective:
    """What a plan sets for a location that is not completely in use."""

    returned_slices: int
    failed_returns: int = 0
    slices_per_second: float = 4.0  # at which further slices may return
    canary_gateway: str = ""  # that may send canaries now
    reason: str = ""
    substitutes: tuple[
        ZoneWeight, ...
    ] = ()  # for the slices that have not returned; none: they bypass the caches


@dataclass
class FailoverState:
    """The state of one location at the planner that decides."""

    phase: FailoverPhase = FailoverPhase.IN_USE
    phase_since: Ticks = 0
    returned_slices: int = SLICE_COUNT
    failed_returns: int = 0
    faults_in_a_row: int = 0
    canaries: CanaryRecord = field(default_factory=CanaryRecord)
    last_step: int = 0  # in slices
    last_step_at: Ticks = 0
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)  # since the last step
    stable_since: Ticks = 0  # start of use, or when a failed return was last forgiven
    reason: str = ""
    waiting_for: str = ""
    history: list[HistoryEntry] = field(default_factory=list)

    def record(self, now: Ticks, reason: str) -> None:
        """Record a change and its reason."""
        self.reason, self.waiting_for = reason, ""
        text = f"{self.phase}, {self.returned_slices} of {SLICE_COUNT} slices: {reason}"
        self.history = [*self.history[1 - MAX_HISTORY :], HistoryEntry(now, text)]

    def fail_over(self, now: Ticks, reason: str) -> None:
        """Take all slices of the location out of use at once."""
        self.phase, self.phase_since, self.returned_slices = FailoverPhase.FAILED_OVER, now, 0
        self.canaries.reset()
        self.outcomes = OutcomeCounts()
        self.record(now, reason)

    def begin_return(self, now: Ticks) -> None:
        """Return the first slice."""
        self.phase, self.phase_since, self.last_step_at = FailoverPhase.RETURNING, now, now
        self.last_step = self.returned_slices = 1
        self.record(now, f"{self.canaries.answered} trials answered in a row")

    def set_returned(self, slices: int, step: int, now: Ticks) -> None:
        """Set how many slices have returned. `step`: the size of this step, which bounds the next one."""
        self.returned_slices, self.last_step = slices, step
        self.last_step_at, self.outcomes = now, OutcomeCounts()

    def finish_return(self, now: Ticks, reason: str) -> None:
        """Put all slices of the location into use."""
        self.phase, self.returned_slices = FailoverPhase.IN_USE, SLICE_COUNT
        self.phase_since = self.stable_since = now
        self.record(now, reason)

    def count_failed_return(self) -> None:
        """Count a failed return."""
        self.failed_returns = min(MAX_FAILED_RETURNS, self.failed_returns + 1)

    def adopt(self, status: FailoverStatus, now: Ticks) -> None:
        """Adopt the state that gateways report."""
        returned, failed_returns = status
        self.failed_returns = max(0, min(failed_returns, MAX_FAILED_RETURNS))
        phase = _phase_of(returned)
        if (phase, returned) == (self.phase, self.returned_slices):
            return
        if phase != self.phase:
            self.phase, self.phase_since = phase, now
        self.set_returned(returned, 1, now)
        self.canaries.reset()
        self.record(now, "taken up from what forwarders keep to")


def _phase_of(returned_slices: int) -> FailoverPhase:
    if returned_slices >= SLICE_COUNT:
        return FailoverPhase.IN_USE
    return FailoverPhase.RETURNING if returned_slices > 0 else FailoverPhase.FAILED_OVER
