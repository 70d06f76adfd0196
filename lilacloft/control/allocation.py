"""Decides how much of what is asked each location, parent and the origin are given to do.

For each location and vhost it is known what is asked (fills in KB a second that its reqs would need) and what
a KB is worth. Links of locations, ways out of parents and the origin have only so much. Which part of each
demand is let through is a linear program: the most worth, less what it costs to move away from the last plan,
as each move means limits to be learned anew. HiGHS solves it; where that takes too long, or fails, a greedy
filling by worth holds, which is within the same limits and only less well. No I/O, no clock: the time that
the solver may take is told. Rates in KB a second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MOVES = 0.02  # what changing a rate by one KB costs, of what a KB of mean worth earns
Place = tuple[str, str]  # location, vhost


@dataclass(frozen=True)
class Demand:
    """What one location's reqs of one vhost would need."""

    rate: float
    worth: float  # of a KB
    parents: Mapping[str, float] = field(default_factory=dict)  # the parts that each parent fills
    miss: float = 0.0  # the part that a parent has to fetch from the origin


@dataclass(frozen=True)
class Limits:
    """What there is."""

    links: Mapping[str, float]  # by location
    parents: Mapping[str, float]
    origin: float


@dataclass(frozen=True)
class Placed:
    """What is let through, by location and vhost, and how it was found."""

    rates: dict[Place, float]
    by: str  # highs, greedy
    worth: float


def uses(demands: Mapping[Place, Demand]) -> dict[tuple[str, str], dict[Place, float]]:
    """What one KB of each demand takes of each limit."""
    out: dict[tuple[str, str], dict[Place, float]] = {}
    for place, demand in demands.items():
        out.setdefault(("link", place[0]), {})[place] = 1.0
        for parent, part in demand.parents.items():
            if part > 0:
                out.setdefault(("parent", parent), {})[place] = part
        if demand.miss > 0:
            out.setdefault(("origin", ""), {})[place] = demand.miss
    return out


def limit(limits: Limits, what: tuple[str, str]) -> float:
    kind, name = what
    return (
        limits.origin
        if kind == "origin"
        else (limits.links if kind == "link" else limits.parents).get(name, float("inf"))
    )


def mean(demands: Mapping[Place, Demand]) -> float:
    total = sum(one.rate for one in demands.values())
    return sum(one.rate * one.worth for one in demands.values()) / total if total else 1.0


def greedy(
    demands: Mapping[Place, Demand], limits: Limits, last: Mapping[Place, float] | None = None
) -> Placed:
    """The worthiest first, each as far as there is room. Of equal worth what was let through before."""
    last = last or {}
    rows = uses(demands)
    left = {what: limit(limits, what) for what in rows}
    rates = {}
    for place in sorted(demands, key=lambda one: (-demands[one].worth, -last.get(one, 0.0), one)):
        rate = demands[place].rate
        for what, row in rows.items():
            if place in row:
                rate = min(rate, left[what] / row[place])
        rates[place] = rate = max(0.0, rate)
        for what, row in rows.items():
            if place in row:
                left[what] -= rate * row[place]
    return Placed(rates, "greedy", value(demands, rates))


def value(demands: Mapping[Place, Demand], rates: Mapping[Place, float]) -> float:
    return sum(demands[place].worth * rate for place, rate in rates.items())


def place(
    demands: Mapping[Place, Demand],
    limits: Limits,
    last: Mapping[Place, float] | None = None,
    seconds: float = 0.2,
) -> Placed:
    """The most worth within the limits, near the last plan."""
    last = last or {}
    names = sorted(demands)
    if not names:
        return Placed({}, "highs", 0.0)
    fallback = greedy(demands, limits, last)
    try:
        import highspy
    except ImportError:
        return fallback
    solver = highspy.Highs()
    solver.setOptionValue("output_flag", False)
    solver.setOptionValue("threads", 1)
    solver.setOptionValue("time_limit", seconds)
    cost = MOVES * mean(demands)
    through, moved = [], []
    for name in names:
        demand = demands[name]
        through.append(solver.addVariable(0.0, max(0.0, demand.rate), -demand.worth))
        moved.append(solver.addVariable(0.0, float("inf"), cost if name in last else 0.0))
    for name, rate, move in zip(names, through, moved, strict=True):
        if name in last:
            before = min(last[name], demands[name].rate)
            solver.addConstr(rate - move <= before)
            solver.addConstr(rate + move >= before)
    at = {name: variable for name, variable in zip(names, through, strict=True)}
    for what, row in sorted(uses(demands).items()):
        most = limit(limits, what)
        if most < float("inf"):
            solver.addConstr(solver.qsum(part * at[name] for name, part in sorted(row.items())) <= most)
    solver.minimize()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        return fallback
    found = solver.getSolution().col_value
    rates = {name: min(demands[name].rate, max(0.0, found[2 * number])) for number, name in enumerate(names)}
    if any(
        sum(part * rates[name] for name, part in row.items()) > limit(limits, what) * (1 + 1e-6) + 1e-6
        for what, row in uses(demands).items()
    ):
        return fallback
    return Placed(rates, "highs", value(demands, rates))
