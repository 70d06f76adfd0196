"""Counts a gateway's attempts at backends; its observations for the planners are derived from them."""

from __future__ import annotations

from dataclasses import dataclass, field

from lilacloft.control.health_aggregation import Observation
from lilacloft.routing.units import Ticks

IN_TIME, LATE, FAILED = "well", "late", "failed"  # results of attempts, as in `lilacloft.failover`
WINDOW: Ticks = 10_000  # an observation covers the current window and the previous one
MAX_FAILURE_AGE: Ticks = 10_000  # older failures do not count towards a streak


@dataclass
class WindowCounts:
    """The attempts and fills that completed in one window."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    fills: int = 0  # completed as the source

    def add(self, result: str) -> None:
        """Count an attempt's result."""
        self.in_time += result == IN_TIME
        self.late += result == LATE
        self.failed += result == FAILED


@dataclass(frozen=True)
class BackendState:
    """The current state of a backend in the gateway's router."""

    in_flight: int = 0
    is_ejected: bool = False  # by the gateway's own decision
    concurrency_limit: float = 0.0
    overdue: int = 0  # attempts past their objective, with no answer from the backend since they were sent
    silent_for: Ticks = 0  # time since the last answer, plus one; 0: it has never answered
    missing_fills: int = 0


@dataclass
class BackendCounts:
    """The counts of one backend."""

    current: WindowCounts = field(default_factory=WindowCounts)
    previous: WindowCounts = field(default_factory=WindowCounts)
    state: BackendState = BackendState()
    failures: int = 0  # since the last answer
    last_failure_at: Ticks = 0
    failure_streak: int = 0  # as of the last update

    def observation(self) -> Observation:
        """Return the observation for both windows together."""
        return Observation(
            self.current.in_time + self.previous.in_time,
            self.current.late + self.previous.late,
            self.current.failed + self.previous.failed,
            self.state.in_flight,
            self.state.is_ejected,
            self.state.concurrency_limit,
            self.failure_streak,
            self.state.silent_for,
            self.state.missing_fills,
            self.current.fills + self.previous.fills,
        )


class BackendStats:
    """The counts of all backends."""

    def __init__(self, now: Ticks) -> None:
        self.counts: dict[str, BackendCounts] = {}
        self.window_start = now

    def record_attempt(self, backend: str, result: str, now: Ticks) -> None:
        """Count a completed attempt. `result`: IN_TIME, LATE or FAILED."""
        counts = self._of(backend)
        counts.current.add(result)
        if result == FAILED:
            counts.failures, counts.last_failure_at = counts.failures + 1, now
        else:
            counts.failures = 0

    def record_fill(self, source: str) -> None:
        """Count a fill that a backend has completed as the source."""
        self._of(source).current.fills += 1

    def update(self, backend: str, state: BackendState, now: Ticks) -> None:
        """Update a backend's state. Old failures with no attempt since do not count: otherwise a location
        that returns slice by slice would be taken out of use for the results of its canary requests."""
        counts = self._of(backend)
        counts.state = state
        is_recent = now - counts.last_failure_at <= MAX_FAILURE_AGE
        counts.failure_streak = state.overdue + (counts.failures if is_recent else 0)

    def _of(self, backend: str) -> BackendCounts:
        return self.counts.setdefault(backend, BackendCounts())

    def observations(self, now: Ticks) -> dict[str, Observation]:
        """Return the observations of all backends with recent activity."""
        while now - self.window_start >= WINDOW:
            self.window_start += WINDOW
            for counts in self.counts.values():
                counts.previous, counts.current = counts.current, WindowCounts()
        observations = {}
        for backend, counts in sorted(self.counts.items()):
            observation = counts.observation()
            if _has_activity(observation):
                observations[backend] = observation
        return observations


def _has_activity(observation: Observation) -> bool:
    completed = observation.in_time or observation.late or observation.failed or observation.fills
    state = observation.in_flight or observation.is_ejected or observation.failure_streak
    return bool(completed or state)
