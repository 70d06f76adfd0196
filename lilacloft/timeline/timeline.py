"""Decides the one course of all records: episodes and gaps in an order that is claimed only where clocks
bear it.

No I/O; Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.record.reader import Run
from lilacloft.timeline.clocks import Clock, clock_marks, estimate
from lilacloft.timeline.gaps import Gap, gaps
from lilacloft.timeline.incidents import (
    Incident,
    add_cost,
    fold_consequences,
    group_observations,
    make_incident,
)
from lilacloft.timeline.observations import GatewayHistory, Observation
from lilacloft.timeline.observe import observe


@dataclass
class Timeline:
    """All that the records tell."""

    begin: float
    end: float
    gateways: list[str]
    expected: int  # gateways that the settings count
    clocks: dict[str, Clock]
    seen: dict[str, GatewayHistory]
    incidents: list[Incident] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)

    def missing(self) -> int:
        """How many gateways' records are not here at all."""
        return max(0, self.expected - len(self.gateways))


def build_timeline(
    runs: Mapping[str, list[Run]], begin: float | None = None, end: float | None = None
) -> Timeline:
    """The course of all runs, or of what happens within a stretch of it."""
    runs = {name: [run for run in mine if run.records] for name, mine in runs.items()}
    runs = {name: mine for name, mine in runs.items() if mine}
    clocks = estimate({name: [clock_marks(run) for run in mine] for name, mine in runs.items()})
    seen = {name: GatewayHistory(name, mine, clocks) for name, mine in runs.items()}
    expected = max((run.head.gateways for mine in runs.values() for run in mine), default=0)
    every = [observation for one in seen.values() for observation in observe(one)]
    return assemble_timeline(seen, every, gaps(runs, clocks), clocks, expected, begin, end)


def assemble_timeline(
    seen: dict[str, GatewayHistory],
    every: list[Observation],
    holes: list[Gap],
    clocks: dict[str, Clock],
    expected: int,
    begin: float | None = None,
    end: float | None = None,
) -> Timeline:
    """The course of what each gateway saw."""
    first = min((one.begin for one in seen.values()), default=0.0)
    last = max((one.end for one in seen.values()), default=0.0)
    found = Timeline(first, last, sorted(seen), expected, clocks, seen)
    found.incidents = fold_consequences([make_incident(group, seen) for group in group_observations(every)])
    for one in found.incidents:
        add_cost(one, seen)
    found.gaps = holes
    if begin is not None or end is not None:
        low, high = begin if begin is not None else first, end if end is not None else last
        found.begin, found.end = max(first, low), min(last, high)
        found.incidents = [one for one in found.incidents if one.begin <= high and (one.end or last) >= low]
        found.gaps = [one for one in found.gaps if one.begin <= high and (one.end or last) >= low]
    found.incidents.sort(key=lambda one: (one.begin, one.kind, one.subject))
    return found


def before(one: Incident | Gap, other: Incident | Gap) -> bool:
    """Did one surely begin before another?"""
    return one.begin + one.uncertainty < other.begin - other.uncertainty


def groups(items: list[Incident]) -> list[list[Incident]]:
    """Episodes in order; those that cannot be told apart in time from the one before are in a group with
    it."""
    out: list[list[Incident]] = []
    for item in sorted(items, key=lambda one: one.begin):
        if out and any(not before(other, item) for other in out[-1]):
            out[-1].append(item)
        else:
            out.append([item])
    return out
