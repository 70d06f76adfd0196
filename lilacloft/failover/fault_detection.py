"""Detects faulty locations from the observations of many gateways on many backends. A fault is in a
location's caches, in its path to its sources, in a hub, or not specific to a location.

A single gateway observes little of a single backend: with thin traffic one or two requests. So all pairs of
gateway and backend of a location are evaluated together, and a location is faulty if

- most of its gateways with recent observations observe that most of their observed backends fail (at least
  two gateways, if it has two, so that the bad network path of one gateway does not cause a failover), and
- over all gateways most of the observed backends fail, where at least two backends were observed (if there
  are two), and at least half of the ready ones or `SUFFICIENT_BACKENDS`.

A gateway that also observes failures at other locations, and no answers from there, has a bad network path
itself: it is heard, but does not vote. A hub is observed by the gateways of all locations, so at least
a quarter of all voting gateways must observe its failure.

Faults of more than `MAX_FAULTY_SHARE` of all locations of a kind have a shared cause, such as the origin:
then no location fails over, as no other would be better. A planner that hears fewer than half of a location's
gateways reports no fault there, as its own network path may be bad.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

FAILING_SHARE = 0.75  # of the observations of a gateway, of the gateways, of the backends
MAX_FAULTY_SHARE = 0.5  # of the locations of a kind
MIN_OBSERVED_SHARE = 0.5  # of a location's ready backends
SUFFICIENT_BACKENDS = 8  # observed backends that suffice: with thin traffic, half of them would take seconds
MIN_AGREEING = 2  # gateways, if the location has as many
MIN_AGREEING_SHARE = 0.25  # of all gateways that vote
MIN_HEARD_SHARE = 0.5  # of a location's gateways


class Diagnosis(StrEnum):
    """The diagnosis of a location. The values are shown to operators."""

    CACHES_FAIL = "its caches fail"
    SOURCE_PATH_FAILS = "its way to its sources fails"
    PARENTS_FAIL = "its parents fail"
    GATEWAYS_NOT_HEARD = "its forwarders are not heard"
    SHARED_FAULT = "most locations show the same"
    TOO_FEW_OBSERVATIONS = "too few have looked"
    NO_FAULT = "in use"


@dataclass(frozen=True)
class BackendObservation:
    """One gateway's recent observation of one backend. Older answers do not count: with thin traffic they
    would hide a fault that has begun since for seconds."""

    failure_streak: int = 0  # failed or overdue attempts since it last answered
    answered_lately: bool = False
    missing_fills: int = 0  # as the source of caches that answer other requests
    completed_fills: int = 0

    def is_failing(self) -> bool | None:
        """Return whether the backend fails; None without observations."""
        return True if self.failure_streak else False if self.answered_lately else None

    def is_failing_as_source(self) -> bool | None:
        """Return whether fills from the backend fail; None without observations."""
        return True if self.missing_fills else False if self.completed_fills else None


@dataclass(frozen=True)
class Location:
    """A location's ready backends, and its gateways in the membership table."""

    backends: tuple[str, ...]
    gateways: tuple[str, ...] = ()
    is_hub: bool = False  # its backends are parents, observed by the gateways of all locations


@dataclass(frozen=True)
class Finding:
    """The result of fault detection for one location."""

    diagnosis: Diagnosis = Diagnosis.NO_FAULT
    is_faulty: bool = False  # whether the location should fail over
    failing_at: tuple[str, ...] = ()  # gateways that observe the failure
    working_at: tuple[str, ...] = ()  # gateways that observe no failure
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
    """A planner's view of the fleet at one time."""

    locations: Mapping[int, Location]
    observations: Mapping[str, Observations]  # by gateway
    heard: frozenset[str] = frozenset()  # gateways that have reported recently
    distrusted: frozenset[str] = frozenset()  # gateways whose observations are ignored

    def observation(self, gateway: str, backend: str) -> BackendObservation | None:
        """Return a gateway's observation of a backend."""
        return self.observations.get(gateway, {}).get(backend)


@dataclass
class _BackendVotes:
    """The number of gateways that observe one backend as failing and as working."""

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
    """The observations of the voting gateways on one location."""

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
    findings = {zone: _evaluate(view, location) for zone, location in sorted(view.locations.items())}
    for is_hub in (False, True):
        zones = [zone for zone in findings if view.locations[zone].is_hub is is_hub]
        faulty = [zone for zone in zones if findings[zone].is_faulty]
        if len(faulty) > MAX_FAULTY_SHARE * len(zones):
            for zone in faulty:
                findings[zone] = replace(findings[zone], diagnosis=Diagnosis.SHARED_FAULT, is_faulty=False)
    return findings


def _evaluate(view: FleetView, location: Location) -> Finding:
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
    """Return the gateways whose observations of a location are evaluated."""
    if not location.is_hub:
        return location.gateways
    return tuple(sorted(name for other in view.locations.values() for name in other.gateways))


def _has_bad_path(view: FleetView, backends: frozenset[str], gateway: str) -> bool:
    """Return whether a gateway observes failures, and no working backend, outside of a location. `backends`:
    the backends of the location."""
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
    """Return whether a backend, or with `as_source` also fills from it, was observed to fail; None without
    observations."""
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
    """Return a finding if a location's caches answer, but fills from most sources fail, and these sources
    work for the gateways of other locations."""
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
    """Return by gateway whether fills from a source fail. `or_unknown`: include gateways that have observed
    the source, but none of its fills, as None."""
    states = {
        name: observation.is_failing_as_source()
        for name in gateways
        if (observation := view.observation(name, source))
    }
    return {name: fails for name, fails in states.items() if or_unknown or fails is not None}
