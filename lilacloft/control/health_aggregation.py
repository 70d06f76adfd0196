"""Decides what many forwarders' sights of one be mean: is it to be left alone, and by whose word?

A sight is what a forwarder has seen of a be lately: how many of its dispatches came back well, late or not at
all, and whether it leaves it alone. One forwarder's bad path must blame nobody for all: a be is left alone
where a quorum of those that have looked see it fail, each counted once, whatever its traffic. A forwarder
that blames most of what others find well is taken not at its word but as the trouble itself (its path, or its
mind). Owns the state of verdicts, which change slowly in both ways. No I/O; times in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

FRESH = 20_000  # sights older than this say nothing
LOOKED = 2  # dispatches that ended, from which on a forwarder has seen something
QUORUM = 0.5  # part of those that have looked who must see a be fail
ALONE = 2  # and no fewer than so many, where so many have looked
ASTRAY = 0.5  # a forwarder that blames more of what most find well is not believed
HOLD = 20_000  # a verdict holds so long at least, so that two sights by turns do not make it flap
TRIAL = 5_000  # between two trials of a be that is left alone, by one forwarder after the other


@dataclass(frozen=True)
class Sight:
    """What one forwarder has seen of one be since its last sight."""

    well: int = 0  # answers in time
    late: int = 0
    failed: int = 0  # silence, resets, closed doors
    out: int = 0  # in flight now
    alone: bool = False  # it leaves it alone by its own word
    limit: float = 0.0  # of dispatches at once, as it has learned; 0: not told
    streak: int = 0  # failures just now, with no answer since, and dispatches that should have been answered
    quiet: int = 0  # for so long it has not answered, and one more; 0: it never has
    unfilled: int = 0  # fills out or lost that it should have supplied, through caches that answer others
    filled: int = 0  # fills that it has supplied lately

    def bad(self) -> bool | None:
        """Does it fail? None where nothing was seen."""
        if self.alone:
            return True
        if self.well + self.late + self.failed < LOOKED:
            return None
        return self.failed > self.well + self.late


@dataclass
class Verdict:
    """On one be."""

    out: bool = False
    since: int = 0
    by: tuple[str, ...] = ()  # who sees it fail
    against: tuple[str, ...] = ()  # who sees it well
    why: str = ""


@dataclass
class Judge:
    """All verdicts of one planner."""

    sights: dict[str, dict[str, tuple[int, Sight]]] = field(default_factory=dict)  # by be, by forwarder
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    astray: dict[str, float] = field(default_factory=dict)  # forwarders not believed: the part they blame

    def saw(self, forwarder: str, sights: Mapping[str, Sight], now: int) -> None:
        """A forwarder tells what it has seen."""
        for backend, sight in sights.items():
            self.sights.setdefault(backend, {})[forwarder] = (now, sight)

    def gone(self, forwarder: str) -> None:
        """A forwarder is no more, or another has its name: what it saw is void."""
        for mine in self.sights.values():
            mine.pop(forwarder, None)

    def keep(self, backends: Iterable[str]) -> None:
        """Only these are listed."""
        listed = set(backends)
        for gone in [backend for backend in self.sights if backend not in listed]:
            del self.sights[gone]
        for gone in [backend for backend in self.verdicts if backend not in listed]:
            del self.verdicts[gone]

    def votes(self, backend: str, now: int) -> dict[str, bool]:
        """Who has looked lately, and sees it fail."""
        out = {}
        for forwarder, (at, sight) in self.sights.get(backend, {}).items():
            bad = sight.bad() if now - at <= FRESH else None
            if bad is not None:
                out[forwarder] = bad
        return out

    def judge(self, now: int) -> dict[str, Verdict]:
        """All verdicts as of now."""
        votes = {backend: self.votes(backend, now) for backend in sorted(self.sights)}
        self.astray = self._astray(votes)
        for backend, all_ in votes.items():
            mine = {name: bad for name, bad in all_.items() if name not in self.astray}
            self._verdict(backend, mine, now)
        return self.verdicts

    @staticmethod
    def _astray(votes: Mapping[str, Mapping[str, bool]]) -> dict[str, float]:
        """Forwarders that blame most of what others find well. Of bes that only one has looked at nothing is
        known; where most blame a be, nobody is astray for blaming it."""
        blamed: dict[str, int] = {}
        looked: dict[str, int] = {}
        for all_ in votes.values():
            if len(all_) < 2 or sum(all_.values()) * 2 > len(all_):
                continue
            for name, bad in all_.items():
                looked[name] = looked.get(name, 0) + 1
                blamed[name] = blamed.get(name, 0) + bad
        return {
            name: blamed[name] / count
            for name, count in sorted(looked.items())
            if count >= 2 and blamed[name] / count > ASTRAY
        }

    def _verdict(self, backend: str, votes: Mapping[str, bool], now: int) -> None:
        bad = tuple(sorted(name for name, fails in votes.items() if fails))
        well = tuple(sorted(name for name, fails in votes.items() if not fails))
        needs = max(min(ALONE, len(votes)), -(-len(votes) * QUORUM // 1))
        found = self.verdicts.setdefault(backend, Verdict())
        out = bool(votes) and len(bad) >= needs and len(bad) > len(well) * QUORUM
        if len(votes) < ALONE:
            out = found.out  # one sight alone changes nothing for all; its own forwarder acts on it by itself
        if found.out and not votes:
            out = True  # nobody has tried: it stays until somebody has
        if out != found.out and now - found.since >= (HOLD if found.since else 0):
            found.out, found.since = out, now
        found.by, found.against = bad, well
        found.why = f"{len(bad)} of {len(votes)} that have looked see it fail"


def trials(left_out: Iterable[str], forwarders: Iterable[str], now: int) -> dict[str, tuple[str, int]]:
    """Who may try a be that is left alone, and from when: one forwarder after the other, so that all together
    send it one req at a time."""
    names = sorted(forwarders)
    out = {}
    if names:
        for place, backend in enumerate(sorted(left_out)):
            turn = now // TRIAL
            out[backend] = (names[(turn + place) % len(names)], (turn + 1) * TRIAL)
    return out
