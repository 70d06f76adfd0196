"""The state of one location's failover, what a plan says of it, and the rules that all deciders share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.failover.substitutes import ZoneWeight
from lilacloft.routing.units import Ticks

MIN_OUTAGE: Ticks = 10_000  # before a return; doubles with each return that failed
MIN_CANARY_SPAN: Ticks = 10_000  # of answered canaries before a return; triples with each that failed
MIN_CANARIES = 3
CANARY_TURN: Ticks = 5_000  # for which one gateway may send canaries
MAX_FAILED_SHARE, MIN_ANSWERS = 0.25, 4  # of the answers, of so many at least, that ends a return
HALT_LATE_SHARE = 0.2  # of the answers, that halts a return
MAX_FAILED_RETURNS = 6  # that are counted: an outage of 64 s, and canaries for 12 min
MAX_HISTORY = 32


class FailoverPhase(StrEnum):
    """Where a location is in its failover; the value is what operators read."""

    IN_USE = "in use"
    FAILED_OVER = "left"  # canaries only
    RETURNING = "returning"


class FailoverStatus(NamedTuple):
    """What a gateway follows of one location, as it reports to planners."""

    returned_slices: int
    failed_returns: int


class HistoryEntry(NamedTuple):
    """A change of a location's state."""

    at: Ticks
    text: str


def min_outage(failed_returns: int) -> Ticks:
    """Return how long a location is left at least."""
    return MIN_OUTAGE << failed_returns


def min_canary_span(failed_returns: int) -> Ticks:
    """Return for how long canaries are answered before a location returns."""
    return MIN_CANARY_SPAN * 3**failed_returns


@dataclass
class CanaryRecord:
    """The canaries answered in a row. The span ends with the last one: silence after it proves nothing."""

    answered: int = 0
    first_at: Ticks = 0
    last_at: Ticks = 0

    def add(self, answered: int, now: Ticks) -> None:
        """Count answers."""
        if not self.answered:
            self.first_at = now
        self.answered += answered
        self.last_at = now

    def reset(self) -> None:
        """Begin the row again."""
        self.answered = 0

    def suffices(self, failed_returns: int) -> bool:
        """Return whether a location may return."""
        return self.answered >= MIN_CANARIES and self.last_at - self.first_at >= min_canary_span(
            failed_returns
        )


@dataclass(frozen=True)
class FailoverDirective:
    """What a plan says of a location that is not wholly in use."""

    returned_slices: int
    failed_returns: int = 0
    slices_per_second: float = 4.0  # at which more may return
    canary_gateway: str = ""  # that may send canaries now
    reason: str = ""
    substitutes: tuple[ZoneWeight, ...] = ()  # for what has not returned; none: bypass


@dataclass
class FailoverState:
    """One location as the fleet's decider has it."""

    phase: FailoverPhase = FailoverPhase.IN_USE
    phase_since: Ticks = 0
    returned_slices: int = SLICE_COUNT
    failed_returns: int = 0
    faults_in_a_row: int = 0
    canaries: CanaryRecord = field(default_factory=CanaryRecord)
    last_step: int = 0  # in slices
    last_step_at: Ticks = 0
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)  # since the last step
    stable_since: Ticks = 0  # in use since then, or since a failed return was forgiven
    reason: str = ""
    waiting_for: str = ""
    history: list[HistoryEntry] = field(default_factory=list)

    def record(self, now: Ticks, reason: str) -> None:
        """Note a change and its reason."""
        self.reason, self.waiting_for = reason, ""
        text = f"{self.phase}, {self.returned_slices} of {SLICE_COUNT} slices: {reason}"
        self.history = [*self.history[1 - MAX_HISTORY :], HistoryEntry(now, text)]

    def fail_over(self, now: Ticks, reason: str) -> None:
        """Leave the location, all slices at once."""
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
        """Set how many slices have returned. `step`: what the next one is measured by."""
        self.returned_slices, self.last_step = slices, step
        self.last_step_at, self.outcomes = now, OutcomeCounts()

    def finish_return(self, now: Ticks, reason: str) -> None:
        """Take the location into use with all slices."""
        self.phase, self.returned_slices = FailoverPhase.IN_USE, SLICE_COUNT
        self.phase_since = self.stable_since = now
        self.record(now, reason)

    def count_failed_return(self) -> None:
        """Count a return that failed."""
        self.failed_returns = min(MAX_FAILED_RETURNS, self.failed_returns + 1)

    def adopt(self, status: FailoverStatus, now: Ticks) -> None:
        """Go on from what gateways follow."""
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
