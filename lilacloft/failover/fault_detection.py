"""Detects which locations are faulty from what many gateways observe of many backends: a location's caches,
its path to its sources, a hub, or no one location.

A single gateway observes little of a single backend: with thin traffic one request or two. So all pairs of
a location are judged together, and a location is faulty where

- most of its gateways with recent observations observe most of those backends to fail (two gateways at
  least, where it has two, so that one gateway's bad network path fails nothing over), and
- over all of them most of the observed backends fail, which are two or more (where there are two), and at
  least half of those ready, or `SUFFICIENT_BACKENDS`.

A gateway that observes failures elsewhere too, and nothing elsewhere that answers, has a bad path of its
own: it is heard, but does not vote. A hub is observed by the gateways of all locations, so a quarter of all
that are heard must observe it to fail.

Faults that more than `MAX_FAULTY_SHARE` of all locations of a kind show have a cause that they share, such
as the origin: none is failed over then, as none would be better. A planner that hears fewer than half of a
location's gateways reports no fault there, as its own network path may be bad.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

FAILING_SHARE = 0.75  # of the observations of a gateway, of the gateways, of the backends
MAX_FAULTY_SHARE = 0.5  # of the locations of a kind
MIN_OBSERVED_SHARE = 0.5  # of a location's ready backends
SUFFICIENT_BACKENDS = 8  # or so many, as with thin traffic half of them would take seconds
MIN_AGREEING = 2  # gateways, where there are so many
MIN_AGREEING_SHARE = 0.25  # and of all that are heard
MIN_HEARD_SHARE = 0.5  # of a location's gateways


class Diagnosis(StrEnum):
    """What is found of a location; the value is what operators read."""

    CACHES_FAIL = "its caches fail"
    SOURCE_PATH_FAILS = "its way to its sources fails"
    PARENTS_FAIL = "its parents fail"
    GATEWAYS_NOT_HEARD = "its forwarders are not heard"
    SHARED_FAULT = "most locations show the same"
    TOO_FEW_OBSERVATIONS = "too few have looked"
    NO_FAULT = "in use"


@dataclass(frozen=True)
class BackendObservation:
    """What one gateway has observed of one backend lately. Older answers do not count: with thin traffic they
    would outvote for seconds a fault that has begun since."""

    failure_streak: int = 0  # failed or overdue attempts since it last answered
    answered_lately: bool = False
    missing_fills: int = 0  # as the source of caches that answer other requests
    completed_fills: int = 0

    def is_failing(self) -> bool | None:
        """Return whether it fails; None: nothing was observed."""
        return True if self.failure_streak else False if self.answered_lately else None

    def is_failing_as_source(self) -> bool | None:
        """Return whether fills from it fail; None: nothing was observed."""
        return True if self.missing_fills else False if self.completed_fills else None


@dataclass(frozen=True)
class Location:
    """A location's ready backends, and its gateways according to the membership."""

    backends: tuple[str, ...]
    gateways: tuple[str, ...] = ()
    is_hub: bool = False  # its backends are parents, observed by the gateways of all locations


@dataclass(frozen=True)
class Finding:
    """What was found of one location."""

    diagnosis: Diagnosis = Diagnosis.NO_FAULT
    is_faulty: bool = False  # so that it should be failed over
    failing_at: tuple[str, ...] = ()  # gateways that observe it to fail
    working_at: tuple[str, ...] = ()  # gateways that observe it to work
    failing_backends: int = 0
    observed_backends: int = 0

    def __str__(self) -> str:
        if not self.observed_backends:
            return str(self.diagnosis)
        voters = len(self.failing_at) + len(self.working_at)
        return (
            f"{self.diagnosis}: {self.failing_backends} of {self.observed_backends} that were looked at "
            f"fail, as {len(self.failing_at)} of {voters} forwarders see it"
        )


Observations = Mapping[str, BackendObservation]  # by backend


@dataclass
class FleetView:
    """What a planner knows of the fleet at one time."""

    locations: Mapping[int, Location]
    observations: Mapping[str, Observations]  # by gateway
    heard: frozenset[str] = frozenset()  # gateways that reported lately
    distrusted: frozenset[str] = frozenset()  # gateways whose reports do not count

    def observation(self, gateway: str, backend: str) -> BackendObservation | None:
        """Return what a gateway has observed of a backend."""
        return self.observations.get(gateway, {}).get(backend)


@dataclass
class _BackendVotes:
    """How many gateways observe one backend to fail and to work."""

    failing: int = 0
    working: int = 0

    def add(self, fails: bool) -> None:
        self.failing += fails
        self.working += not fails

    @property
    def says_failing(self) -> bool:
        return self.failing > self.working


@dataclass
class _Votes:
    """What the gateways that vote observe of one location."""

    failing_at: list[str] = field(default_factory=list)
    working_at: list[str] = field(default_factory=list)
    by_backend: dict[str, _BackendVotes] = field(default_factory=dict)

    @property
    def failing_backends(self) -> int:
        return sum(votes.says_failing for votes in self.by_backend.values())

    def finding(self, diagnosis: Diagnosis, is_faulty: bool = False) -> Finding:
        return Finding(
            diagnosis,
            is_faulty,
            tuple(self.failing_at),
            tuple(self.working_at),
            self.failing_backends,
            len(self.by_backend),
        )


def detect_faults(view: FleetView) -> dict[int, Finding]:
    """Return a finding for each location."""
    findings = {zone: _judge(view, location) for zone, location in sorted(view.locations.items())}
    for is_hub in (False, True):
        zones = [zone for zone in findings if view.locations[zone].is_hub is is_hub]
        faulty = [zone for zone in zones if findings[zone].is_faulty]
        if len(faulty) > MAX_FAULTY_SHARE * len(zones):
            for zone in faulty:
                findings[zone] = replace(findings[zone], diagnosis=Diagnosis.SHARED_FAULT, is_faulty=False)
    return findings


def _judge(view: FleetView, location: Location) -> Finding:
    observers = _observers(view, location)
    heard = [name for name in observers if name in view.heard]
    if observers and len(heard) < MIN_HEARD_SHARE * len(observers):
        return Finding(Diagnosis.GATEWAYS_NOT_HEARD)
    backends = frozenset(location.backends)
    voters = [
        name for name in heard if name not in view.distrusted and not _has_bad_path(view, backends, name)
    ]
    votes = _count_votes(view, location, voters)
    min_agreeing = max(min(MIN_AGREEING, len(observers)), MIN_AGREEING_SHARE * len(voters))
    if _shows_fault(votes, location, min_agreeing):
        return votes.finding(
            Diagnosis.PARENTS_FAIL if location.is_hub else Diagnosis.CACHES_FAIL, is_faulty=True
        )
    if location.is_hub:
        return votes.finding(Diagnosis.NO_FAULT)
    path_fault = _find_source_path_fault(view, voters)
    if path_fault is not None:
        return path_fault
    return votes.finding(Diagnosis.NO_FAULT if votes.by_backend else Diagnosis.TOO_FEW_OBSERVATIONS)


def _observers(view: FleetView, location: Location) -> tuple[str, ...]:
    """Return the gateways that observe a location."""
    if not location.is_hub:
        return location.gateways
    return tuple(sorted(name for other in view.locations.values() for name in other.gateways))


def _has_bad_path(view: FleetView, backends: frozenset[str], gateway: str) -> bool:
    """Return whether a gateway observes failures outside a location, whose backends are given, and nothing
    there that works."""
    outside = [
        fails
        for backend, observation in view.observations.get(gateway, {}).items()
        if backend not in backends and (fails := observation.is_failing()) is not None
    ]
    return bool(outside) and all(outside)


def _count_votes(view: FleetView, location: Location, voters: Iterable[str]) -> _Votes:
    votes = _Votes()
    for name in sorted(voters):
        failing = observed = 0
        for backend in location.backends:
            fails = _observed_failing(view.observation(name, backend), location.is_hub)
            if fails is None:
                continue
            observed += 1
            failing += fails
            votes.by_backend.setdefault(backend, _BackendVotes()).add(fails)
        if observed:
            (votes.failing_at if failing >= FAILING_SHARE * observed else votes.working_at).append(name)
    return votes


def _observed_failing(observation: BackendObservation | None, as_source: bool) -> bool | None:
    """Return whether a backend, or `as_source` its fills, was observed to fail; None: nothing was."""
    if observation is None:
        return None
    fails = observation.is_failing()
    return observation.is_failing_as_source() if fails is None and as_source else fails


def _shows_fault(votes: _Votes, location: Location, min_agreeing: float) -> bool:
    agreeing, voting = len(votes.failing_at), len(votes.failing_at) + len(votes.working_at)
    ready, observed = len(location.backends), len(votes.by_backend)
    enough_observed = max(min(2, ready), min(SUFFICIENT_BACKENDS, MIN_OBSERVED_SHARE * ready))
    return (
        agreeing > 0
        and agreeing >= min_agreeing
        and agreeing >= FAILING_SHARE * voting
        and observed >= enough_observed
        and votes.failing_backends >= FAILING_SHARE * observed
    )


def _find_source_path_fault(view: FleetView, voters: Iterable[str]) -> Finding | None:
    """Return a finding where a location's caches answer, but fills from most sources fail that work for the
    gateways of other locations."""
    inside = frozenset(voters)
    outside = [name for name in view.observations if name not in inside and name not in view.distrusted]
    sources = [
        backend for location in view.locations.values() if location.is_hub for backend in location.backends
    ]
    observed = failing = working_elsewhere = 0
    failing_at: set[str] = set()
    for source in sources:
        states = _source_states(view, source, inside)
        failing_here = [name for name, fails in states.items() if fails]
        observed += bool(states)
        failing += 2 * len(failing_here) > len(states)
        failing_at.update(failing_here)
        elsewhere = _source_states(view, source, outside, or_unknown=True)
        working_elsewhere += 2 * sum(fails is False for fails in elsewhere.values()) > len(elsewhere)
    if (
        observed
        and failing >= FAILING_SHARE * observed
        and len(failing_at) >= min(MIN_AGREEING, len(inside))
        and working_elsewhere >= FAILING_SHARE * len(sources)
    ):
        return Finding(Diagnosis.SOURCE_PATH_FAILS, False, tuple(sorted(failing_at)), (), failing, observed)
    return None


def _source_states(
    view: FleetView, source: str, gateways: Iterable[str], or_unknown: bool = False
) -> dict[str, bool | None]:
    """Return by gateway whether fills from a source fail; `or_unknown`: also those (None) that have observed
    the source, but none of its fills."""
    states = {
        name: observation.is_failing_as_source()
        for name in gateways
        if (observation := view.observation(name, source))
    }
    return {name: fails for name, fails in states.items() if or_unknown or fails is not None}
