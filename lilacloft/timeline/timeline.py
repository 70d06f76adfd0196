"""Decides the one course of all records: episodes and gaps in an order that is claimed only where clocks
bear it.

No I/O; Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.record.reader import Run
from lilacloft.timeline.clocks import Clock, estimate, marks
from lilacloft.timeline.gaps import Gap, gaps
from lilacloft.timeline.incidents import Episode, cost, episode, fold, join
from lilacloft.timeline.observations import Seen, Sight, sights


@dataclass
class Course:
    """All that the records tell."""

    begin: float
    end: float
    gateways: list[str]
    expected: int  # gateways that the settings count
    clocks: dict[str, Clock]
    seen: dict[str, Seen]
    episodes: list[Episode] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)

    def missing(self) -> int:
        """How many gateways' records are not here at all."""
        return max(0, self.expected - len(self.gateways))


def course(runs: Mapping[str, list[Run]], begin: float | None = None, end: float | None = None) -> Course:
    """The course of all runs, or of what happens within a stretch of it."""
    runs = {name: [run for run in mine if run.records] for name, mine in runs.items()}
    runs = {name: mine for name, mine in runs.items() if mine}
    clocks = estimate({name: [marks(run) for run in mine] for name, mine in runs.items()})
    seen = {name: Seen(name, mine, clocks) for name, mine in runs.items()}
    expected = max((run.head.gateways for mine in runs.values() for run in mine), default=0)
    every = [sight for one in seen.values() for sight in sights(one)]
    return whole(seen, every, gaps(runs, clocks), clocks, expected, begin, end)


def whole(
    seen: dict[str, Seen],
    every: list[Sight],
    holes: list[Gap],
    clocks: dict[str, Clock],
    expected: int,
    begin: float | None = None,
    end: float | None = None,
) -> Course:
    """The course of what each gateway saw."""
    first = min((one.begin for one in seen.values()), default=0.0)
    last = max((one.end for one in seen.values()), default=0.0)
    found = Course(first, last, sorted(seen), expected, clocks, seen)
    found.episodes = fold([episode(group, seen) for group in join(every)])
    for one in found.episodes:
        cost(one, seen)
    found.gaps = holes
    if begin is not None or end is not None:
        low, high = begin if begin is not None else first, end if end is not None else last
        found.begin, found.end = max(first, low), min(last, high)
        found.episodes = [one for one in found.episodes if one.begin <= high and (one.end or last) >= low]
        found.gaps = [one for one in found.gaps if one.begin <= high and (one.end or last) >= low]
    found.episodes.sort(key=lambda one: (one.begin, one.kind, one.subject))
    return found


def before(one: Episode | Gap, other: Episode | Gap) -> bool:
    """Did one surely begin before another?"""
    return one.begin + one.spread < other.begin - other.spread


def groups(items: list[Episode]) -> list[list[Episode]]:
    """Episodes in order; those that cannot be told apart in time from the one before are in a group with
    it."""
    out: list[list[Episode]] = []
    for item in sorted(items, key=lambda one: one.begin):
        if out and any(not before(other, item) for other in out[-1]):
            out[-1].append(item)
        else:
            out.append([item])
    return out
