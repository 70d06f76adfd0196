"""Aggregates the gateways' observations of a backend into one verdict: whether all gateways eject it.

An observation counts a gateway's recent attempts at a backend, and tells whether the gateway has ejected the
backend by its own decision. A gateway with a bad network path must not eject a backend for all: a verdict
needs a quorum of the gateways that have data, each with one vote regardless of its traffic. A gateway that
reports most of the backends that others find healthy as failing is distrusted: its own path or process is the
likely cause. Verdicts change slowly in both directions. The module does no I/O; times are `Ticks`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.routing.units import Ticks

MAX_OBSERVATION_AGE: Ticks = 20_000
MIN_ATTEMPTS = 2  # completed, before an observation counts as a vote
QUORUM = 0.5  # fraction of the votes that must find a backend failing
MIN_VOTES = 2  # minimum number of failing votes, if that many gateways have data
DISTRUST_SHARE = 0.5  # of the healthy backends: a gateway that reports more as failing is distrusted
MIN_VERDICT_TIME: Ticks = 20_000  # between two changes of a verdict, to prevent flapping
CANARY_TURN: Ticks = 5_000  # for which one gateway sends canary requests to an ejected backend


@dataclass(frozen=True)
class Observation:
    """One gateway's recent observation of one backend."""

    in_time: int = 0  # answers
    late: int = 0  # answers
    failed: int = 0  # unanswered, reset, connection refused
    in_flight: int = 0
    is_ejected: bool = False  # by the gateway's own decision
    concurrency_limit: float = 0.0  # learned by the gateway; 0: unknown
    failure_streak: int = 0  # failures and overdue attempts since the last answer
    silent_for: Ticks = 0  # time since the last answer, plus one; 0: it has never answered
    missing_fills: int = 0  # overdue as the source, to caches that answer other requests
    fills: int = 0  # completed as the source

    def is_failing(self) -> bool | None:
        """Return the gateway's vote; None without enough data."""
        if self.is_ejected:
            return True
        if self.in_time + self.late + self.failed < MIN_ATTEMPTS:
            return None
        return self.failed > self.in_time + self.late


@dataclass
class Verdict:
    """The aggregated health of one backend."""

    is_ejected: bool = False
    changed_at: Ticks = 0
    failing_votes: tuple[str, ...] = ()  # gateways
    healthy_votes: tuple[str, ...] = ()  # gateways
    reason: str = ""


@dataclass
class HealthAggregator:
    """The observations and verdicts of one planner."""

    # by backend and gateway, with the time of receipt
    observations: dict[str, dict[str, tuple[Ticks, Observation]]] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    distrusted: dict[str, float] = field(default_factory=dict)  # fraction reported as failing, by gateway

    def record(self, gateway: str, observations: Mapping[str, Observation], now: Ticks) -> None:
        """Record a gateway's observations, by backend."""
        for backend, observation in observations.items():
            self.observations.setdefault(backend, {})[gateway] = (now, observation)

    def forget_gateway(self, gateway: str) -> None:
        """Discard the observations of a gateway that has stopped or restarted."""
        for by_gateway in self.observations.values():
            by_gateway.pop(gateway, None)

    def retain(self, backends: Iterable[str]) -> None:
        """Discard the data of all backends but these."""
        listed = set(backends)
        for by_backend in (self.observations, self.verdicts):
            for unlisted in [backend for backend in by_backend if backend not in listed]:
                del by_backend[unlisted]

    def votes(self, backend: str, now: Ticks) -> dict[str, bool]:
        """Return for each gateway with recent data on a backend whether it finds the backend failing."""
        votes = {}
        for gateway, (received_at, observation) in self.observations.get(backend, {}).items():
            is_failing = observation.is_failing() if now - received_at <= MAX_OBSERVATION_AGE else None
            if is_failing is not None:
                votes[gateway] = is_failing
        return votes

    def evaluate(self, now: Ticks) -> dict[str, Verdict]:
        """Update all verdicts and return them, by backend."""
        votes = {backend: self.votes(backend, now) for backend in sorted(self.observations)}
        self.distrusted = self._find_distrusted(votes)
        for backend, all_votes in votes.items():
            trusted = {name: vote for name, vote in all_votes.items() if name not in self.distrusted}
            self._update_verdict(backend, trusted, now)
        return self.verdicts

    @staticmethod
    def _find_distrusted(votes: Mapping[str, Mapping[str, bool]]) -> dict[str, float]:
        """Return the gateways that report most of the backends that others find healthy as failing. Backends
        with a single vote are not considered, nor are those that most gateways find failing."""
        failing: dict[str, int] = {}
        total: dict[str, int] = {}
        for by_gateway in votes.values():
            if len(by_gateway) < 2 or sum(by_gateway.values()) * 2 > len(by_gateway):
                continue
            for name, is_failing in by_gateway.items():
                total[name] = total.get(name, 0) + 1
                failing[name] = failing.get(name, 0) + is_failing
        return {
            name: failing[name] / count
            for name, count in sorted(total.items())
            if count >= 2 and failing[name] / count > DISTRUST_SHARE
        }

    def _update_verdict(self, backend: str, votes: Mapping[str, bool], now: Ticks) -> None:
        failing = tuple(sorted(name for name, is_failing in votes.items() if is_failing))
        healthy = tuple(sorted(name for name, is_failing in votes.items() if not is_failing))
        required = max(min(MIN_VOTES, len(votes)), -(-len(votes) * QUORUM // 1))
        verdict = self.verdicts.setdefault(backend, Verdict())
        is_ejected = bool(votes) and len(failing) >= required and len(failing) > len(healthy) * QUORUM
        if len(votes) < MIN_VOTES:
            is_ejected = verdict.is_ejected  # a single gateway acts on its own observation
        if verdict.is_ejected and not votes:
            is_ejected = True  # until a canary request gives new data
        min_time = MIN_VERDICT_TIME if verdict.changed_at else 0
        if is_ejected != verdict.is_ejected and now - verdict.changed_at >= min_time:
            verdict.is_ejected, verdict.changed_at = is_ejected, now
        verdict.failing_votes, verdict.healthy_votes = failing, healthy
        verdict.reason = f"{len(failing)} of {len(votes)} that have looked see it fail"


def canary_turns(ejected: Iterable[str], gateways: Iterable[str], now: Ticks) -> dict[str, tuple[str, Ticks]]:
    """Return for each ejected backend the gateway that may send it canary requests now, and until when.
    Gateways take turns, so that a backend gets one canary request at a time."""
    names = sorted(gateways)
    if not names:
        return {}
    turn = now // CANARY_TURN
    return {
        backend: (names[(turn + index) % len(names)], (turn + 1) * CANARY_TURN)
        for index, backend in enumerate(sorted(ejected))
    }
