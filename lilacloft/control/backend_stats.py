"""A gateway's own counts of its attempts at backends, from which its observations for planners are made."""

from __future__ import annotations

from dataclasses import dataclass, field

from lilacloft.control.health_aggregation import Observation
from lilacloft.routing.units import Ticks

IN_TIME, LATE, FAILED = "well", "late", "failed"  # results of attempts, as `lilacloft.failover` has them
WINDOW: Ticks = 10_000  # an observation covers the current window and the previous one
MAX_FAILURE_AGE: Ticks = 10_000  # older failures do not count as a streak


@dataclass
class WindowCounts:
    """What ended in one window."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    fills: int = 0  # supplied as a source

    def add(self, result: str) -> None:
        """Count an attempt's result."""
        self.in_time += result == IN_TIME
        self.late += result == LATE
        self.failed += result == FAILED


@dataclass(frozen=True)
class BackendState:
    """What the gateway's decisions have of a backend now."""

    in_flight: int = 0
    is_ejected: bool = False  # by the gateway's own decision
    concurrency_limit: float = 0.0
    overdue: int = 0  # attempts that should have been answered, with nothing received since
    silent_for: Ticks = 0  # since the last answer, plus one; 0: it has never answered
    missing_fills: int = 0


@dataclass
class BackendCounts:
    """The counts of one backend."""

    current: WindowCounts = field(default_factory=WindowCounts)
    previous: WindowCounts = field(default_factory=WindowCounts)
    state: BackendState = BackendState()
    failures: int = 0  # since the last answer
    last_failure_at: Ticks = 0
    failure_streak: int = 0  # as of the last state

    def observation(self) -> Observation:
        """Return the observation over both windows."""
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
        """Count an attempt that has ended: IN_TIME, LATE or FAILED."""
        counts = self._of(backend)
        counts.current.add(result)
        if result == FAILED:
            counts.failures, counts.last_failure_at = counts.failures + 1, now
        else:
            counts.failures = 0

    def record_fill(self, source: str) -> None:
        """Count a fill that a backend has supplied."""
        self._of(source).current.fills += 1

    def update(self, backend: str, state: BackendState, now: Ticks) -> None:
        """Take over a backend's state. Old failures without an attempt since do not count, or else a location
        that returns slice by slice would be taken out of use for the results of its canary requests."""
        counts = self._of(backend)
        counts.state = state
        is_recent = now - counts.last_failure_at <= MAX_FAILURE_AGE
        counts.failure_streak = state.overdue + (counts.failures if is_recent else 0)

    def _of(self, backend: str) -> BackendCounts:
        return self.counts.setdefault(backend, BackendCounts())

    def observations(self, now: Ticks) -> dict[str, Observation]:
        """Return the observations of all backends with any activity."""
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
    ended = observation.in_time or observation.late or observation.failed or observation.fills
    state = observation.in_flight or observation.is_ejected or observation.failure_streak
    return bool(ended or state)
