"""What forwarders and planners tell each other, as records; the wire's form is in `form`. They hold facts and
decide nothing. Times are spans, in tenths of a millisecond: no two clocks are compared."""

from __future__ import annotations

from dataclasses import dataclass, field

from lilacloft.control.health_aggregation import Sight
from lilacloft.control.leader_lease import Name
from lilacloft.zones.course import Tally, Told


@dataclass(frozen=True)
class Ask:
    """One asks for a part of a cold be's budget."""

    number: int
    backend: str
    part: float
    span: int


@dataclass(frozen=True)
class Given:
    """The answer: a part, usable after a delay, for a span since it was asked for; a part of 0 is a no."""

    number: int
    backend: str
    part: float = 0.0
    delay: int = 0
    span: int = 0


@dataclass(frozen=True)
class Summary:
    """What a forwarder tells a planner."""

    name: str
    incarnation: int
    number: int
    zone: int = 0
    listed: int = 0  # the change log's number that it has
    requests: float = 0.0  # a second
    fills: dict[str, float] = field(default_factory=dict)  # by vhost, KB a second that its reqs would need
    worth: dict[str, float] = field(default_factory=dict)  # by vhost, of a KB
    sights: dict[str, Sight] = field(default_factory=dict)
    cold: dict[str, tuple[float, float]] = field(default_factory=dict)  # by be: own part, part in use
    asks: tuple[Ask, ...] = ()
    given: tuple[Given, ...] = ()  # answers to the planner's asks
    holds: Name = Name()
    leaves: bool = False
    asked: float = 0.0  # KB a second that its reqs ask for
    past: float = 0.0  # of `fills`, what goes past the caches
    tallies: dict[int, Tally] = field(default_factory=dict)  # by location, since its process began
    left: dict[int, tuple[int, int]] = field(default_factory=dict)  # what it keeps to, of those not in use


@dataclass(frozen=True)
class Plan:
    """What one plan says. Of a location only its forwarders read what is its own."""

    name: Name
    listed: int = 0  # of the list on which it was made
    out: dict[str, str] = field(default_factory=dict)  # left alone, and why
    trials: dict[str, str] = field(default_factory=dict)  # who may try one of those
    ways: dict[str, float] = field(default_factory=dict)  # dispatches at once, of all forwarders together
    links: dict[int, float] = field(default_factory=dict)  # fills at once, by location, of all together
    parts: dict[str, float] = field(default_factory=dict)  # a forwarder's part of its location's
    renews: dict[int, tuple[str, ...]] = field(default_factory=dict)  # forwarders in the order of their turns
    zones: dict[int, Told] = field(default_factory=dict)  # locations that are not all in use


@dataclass(frozen=True)
class Delta:
    """What of a plan is other than in one before; a key with none is gone."""

    since: Name
    name: Name
    listed: int
    changes: dict[str, dict[object, object]] = field(default_factory=dict)


@dataclass(frozen=True)
class Reply:
    """What a planner answers."""

    planner: str
    incarnation: int
    number: int  # of the summary that it answers: spans count from its sending
    span: int = 0  # for which the plan holds
    plan: Plan | None = None
    delta: Delta | None = None
    asks: tuple[Ask, ...] = ()
    given: tuple[Given, ...] = ()
    whole: bool = False  # all sights are wanted again


@dataclass(frozen=True)
class Word:
    """What a planner tells another."""

    name: str
    incarnation: int
    epoch: int
    seen: int
    rows: tuple[tuple[str, str, int, int, str, int, str], ...] = ()


PARTS = ("out", "trials", "ways", "links", "parts", "renews", "zones")
NUMBERED = ("links", "renews", "zones")  # those by location


def delta(before: Plan, after: Plan) -> Delta:
    """What has changed."""
    changes: dict[str, dict[object, object]] = {}
    for part in PARTS:
        old, new = getattr(before, part), getattr(after, part)
        mine: dict[object, object] = {key: value for key, value in new.items() if old.get(key) != value}
        mine.update((key, None) for key in old if key not in new)
        if mine:
            changes[part] = mine
    return Delta(before.name, after.name, after.listed, changes)


def applied(before: Plan, change: Delta) -> Plan | None:
    """The plan after a change; none where the change is to another plan."""
    if change.since != before.name:
        return None
    parts = {}
    for part in PARTS:
        mine = dict(getattr(before, part))
        for key, value in change.changes.get(part, {}).items():
            if value is None:
                mine.pop(key, None)
            else:
                mine[key] = value
        parts[part] = mine
    return Plan(change.name, change.listed, **parts)
