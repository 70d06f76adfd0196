"""Decides who fails: a location's caches, its way to its sources, a hub, its forwarders, or nobody that can
be named, from what many forwarders have seen of many bes.

What one forwarder sees of one be is weak, as with thin traffic it is one req or two. So all pairs of a
location are looked at together, and a location fails where

- most of its forwarders that have looked lately see most of what they have looked at fail (two of them at
  least, where it has two: one forwarder's bad path must move nobody),
- and over all of them most of the bes that were looked at fail, which are two or more (where there are
  two), and at least half of those ready, or `ENOUGH`: that so many fail together by chance is rarer than
  anything a location shows.

Whoever sees what is elsewhere fail as well, and nothing elsewhere that answers, sees its own path: it is
heard, and not counted. Two of three with bad paths would else name a location (found on 5 of 1,000 drawn
worlds). A hub is looked at by all, so that a quarter of all that are heard must see it fail.

What more than `MOST` of all locations of a kind show is not theirs but what they share, the origin's or
everybody's: nobody leaves then, as there is nowhere better to go. A planner that hears fewer than half of a
location's forwarders names nothing there: it may be its own sight that fails. No I/O; times in tenths of a
millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

FAILS = 0.75  # part of what was looked at that must fail
MOST = 0.5  # part of the locations that may be named at once
LOOKED = 0.5  # part of a location's ready bes that must have been looked at,
ENOUGH = 8  # or so many, where with thin traffic half of them would take seconds
VOTES = 2  # forwarders that must agree, where there are so many
OF_ALL = 0.25  # and this part of all that are heard
HEARS = 0.5  # part of a location's forwarders that the decider must hear

CACHES, WAY, HUB, SILENT, SHARED, FEW, WELL = (
    "its caches fail",
    "its way to its sources fails",
    "its parents fail",
    "its forwarders are not heard",
    "most locations show the same",
    "too few have looked",
    "in use",
)


@dataclass(frozen=True)
class Look:
    """What one forwarder has of one be: how often in a row it has failed or keeps one waiting, since it last
    answered; whether it has answered just now; and the same as a source of fills through caches that answer
    others. What was answered some while ago says nothing: with thin traffic it would outvote for seconds what
    has begun to fail since."""

    streak: int = 0
    answers: bool = False
    unfilled: int = 0
    filled: int = 0

    def fails(self) -> bool | None:
        """None: nothing was seen."""
        return True if self.streak else False if self.answers else None

    def starves(self) -> bool | None:
        """Does it fail as a source?"""
        return True if self.unfilled else False if self.filled else None


@dataclass(frozen=True)
class Place:
    """A location: its bes that are ready, and its forwarders as the members have them."""

    backends: tuple[str, ...]
    forwarders: tuple[str, ...] = ()
    parents: bool = False  # it is a hub: its bes are parents, looked at by the forwarders of all locations


@dataclass(frozen=True)
class Finding:
    """What is found of a location."""

    why: str = WELL
    fails: bool = False
    by: tuple[str, ...] = ()  # forwarders that see it fail
    against: tuple[str, ...] = ()  # that see it well
    backends: int = 0  # that fail
    looked: int = 0

    def __str__(self) -> str:
        if not self.looked:
            return self.why
        return (
            f"{self.why}: {self.backends} of {self.looked} that were looked at fail, as {len(self.by)} of "
            f"{len(self.by) + len(self.against)} forwarders see it"
        )


@dataclass
class View:
    """What is known at one time."""

    places: Mapping[int, Place]
    looks: Mapping[str, Mapping[str, Look]]  # by forwarder, by be
    heard: frozenset[str] = frozenset()  # forwarders heard of lately
    astray: frozenset[str] = frozenset()  # that are not believed


def judge(view: View) -> dict[int, Finding]:
    """A finding for each location."""
    found = {zone: _one(view, place) for zone, place in sorted(view.places.items())}
    for kind in (False, True):
        mine = [zone for zone in found if view.places[zone].parents is kind]
        failing = [zone for zone in mine if found[zone].fails]
        if len(failing) > MOST * len(mine):
            for zone in failing:
                one = found[zone]
                found[zone] = Finding(SHARED, False, one.by, one.against, one.backends, one.looked)
    return found


def _one(view: View, place: Place) -> Finding:
    who = (
        place.forwarders
        if not place.parents
        else tuple(sorted(name for other in view.places.values() for name in other.forwarders))
    )
    mine = frozenset(place.backends)
    heard = [
        name
        for name in who
        if name in view.heard and name not in view.astray and not _own_path(view, mine, name)
    ]
    if who and len([name for name in who if name in view.heard]) < HEARS * len(who):
        return Finding(SILENT)
    by, against, each = _votes(view, place.backends, heard, place.parents)
    failing = [backend for backend, (bad, well) in each.items() if bad > well]
    agree = max(min(VOTES, len(who)), OF_ALL * len(heard))
    named = (
        len(by) >= agree
        and by
        and len(by) >= FAILS * (len(by) + len(against))
        and len(each) >= max(min(2, len(place.backends)), min(ENOUGH, LOOKED * len(place.backends)))
        and len(failing) >= FAILS * len(each)
    )
    if named:
        return Finding(HUB if place.parents else CACHES, True, by, against, len(failing), len(each))
    if place.parents:
        return Finding(WELL, False, by, against, len(failing), len(each))
    starved = _starved(view, place, heard)
    if starved is not None:
        return starved
    return Finding(WELL if each else FEW, False, by, against, len(failing), len(each))


def _own_path(view: View, mine: frozenset[str], name: str) -> bool:
    """Does a forwarder see nothing well that is not of a location, whose bes are told, and something fail?"""
    outside = [
        fails
        for backend, look in view.looks.get(name, {}).items()
        if backend not in mine and (fails := look.fails()) is not None
    ]
    return bool(outside) and all(outside)


def _votes(
    view: View, backends: Iterable[str], who: Iterable[str], sources: bool
) -> tuple[tuple[str, ...], tuple[str, ...], dict[str, tuple[int, int]]]:
    """Who sees most of what it has looked at fail, who does not; and of each be, by how many it fails."""
    by, against, each = [], [], {}
    for name in sorted(who):
        mine = view.looks.get(name, {})
        bad = seen = 0
        for backend in backends:
            look = mine.get(backend)
            fails = look.fails() if look else None
            if look and sources and fails is None:
                fails = look.starves()
            if fails is None:
                continue
            seen, bad = seen + 1, bad + fails
            before = each.get(backend, (0, 0))
            each[backend] = (before[0] + fails, before[1] + (not fails))
        if seen:
            (by if bad >= FAILS * seen else against).append(name)
    return tuple(by), tuple(against), each


def _starved(view: View, place: Place, heard: Iterable[str]) -> Finding | None:
    """Its caches answer, and fills from most of its sources do not come, which others get."""
    mine = frozenset(heard)
    sources = [backend for other in view.places.values() if other.parents for backend in other.backends]
    here = there = ours = 0
    by: set[str] = set()
    for backend in sources:
        bad = [name for name in mine if (look := view.looks.get(name, {}).get(backend)) and look.starves()]
        well = [
            name
            for name in mine
            if (look := view.looks.get(name, {}).get(backend)) and look.starves() is False
        ]
        others = [
            look.starves()
            for name, all_ in view.looks.items()
            if name not in mine and name not in view.astray and (look := all_.get(backend))
        ]
        if bad or well:
            ours += 1
            here += len(bad) > len(well)
            by |= set(bad)
        there += bool(others) and 2 * others.count(False) > len(others)
    if ours and here >= FAILS * ours and len(by) >= min(VOTES, len(mine)) and there >= FAILS * len(sources):
        return Finding(WAY, False, tuple(sorted(by)), (), here, ours)
    return None
