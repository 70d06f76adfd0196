"""Allocates the capacity of links, parents and the origin to the demands of locations and virtual hosts.

Each demand has a fill rate and a value per KB. A linear program decides how much of each demand is admitted:
it maximises the value, minus a cost for each change from the previous allocation, as limits must be learned
again after a change. HiGHS solves it; if that takes too long or fails, a greedy allocation by value is used,
which respects the same capacities. The module does no I/O and reads no clock. Rates are in KB/s.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

CHANGE_COST = 0.02  # cost of changing a rate by 1 KB/s, as a fraction of the mean value of a KB
SOLVER_SECONDS = 0.2  # time limit of the solver
TOLERANCE = 1e-6  # relative and absolute, by which a solution may exceed a capacity
LINK, PARENT, ORIGIN = "link", "parent", "origin"

DemandKey = tuple[str, str]  # location, virtual host


class Resource(NamedTuple):
    """A link, a parent or the origin, with a limited capacity."""

    kind: str  # LINK, PARENT or ORIGIN
    name: str  # the location or parent; empty for the origin


@dataclass(frozen=True)
class Demand:
    """The demand for fills of one virtual host in one location."""

    rate: float
    value: float  # per KB
    parent_shares: Mapping[str, float] = field(default_factory=dict)  # fraction filled by each parent
    origin_share: float = 0.0  # fraction that parents fetch from the origin


@dataclass(frozen=True)
class Capacities:
    """The available capacity of each resource."""

    links: Mapping[str, float]  # by location
    parents: Mapping[str, float]
    origin: float

    def of(self, resource: Resource) -> float:
        """Return a resource's capacity; infinite if none is known."""
        if resource.kind == ORIGIN:
            return self.origin
        by_name = self.links if resource.kind == LINK else self.parents
        return by_name.get(resource.name, float("inf"))


@dataclass(frozen=True)
class Allocation:
    """The admitted rates, and the method that computed them."""

    rates: dict[DemandKey, float]
    method: str  # `highs` or `greedy`
    value: float


def resource_usage(demands: Mapping[DemandKey, Demand]) -> dict[Resource, dict[DemandKey, float]]:
    """Return the usage of each resource per KB of each demand."""
    usage: dict[Resource, dict[DemandKey, float]] = {}
    for key, demand in demands.items():
        usage.setdefault(Resource(LINK, key[0]), {})[key] = 1.0
        for parent, share in demand.parent_shares.items():
            if share > 0:
                usage.setdefault(Resource(PARENT, parent), {})[key] = share
        if demand.origin_share > 0:
            usage.setdefault(Resource(ORIGIN, ""), {})[key] = demand.origin_share
    return usage


def mean_value(demands: Mapping[DemandKey, Demand]) -> float:
    """Return the mean value per KB; 1 if there is no demand."""
    total = sum(demand.rate for demand in demands.values())
    return sum(demand.rate * demand.value for demand in demands.values()) / total if total else 1.0


def total_value(demands: Mapping[DemandKey, Demand], rates: Mapping[DemandKey, float]) -> float:
    """Return the total value of admitted rates."""
    return sum(demands[key].value * rate for key, rate in rates.items())


def allocate_greedily(
    demands: Mapping[DemandKey, Demand],
    capacities: Capacities,
    previous: Mapping[DemandKey, float] | None = None,
) -> Allocation:
    """Admit demands in order of value, each as far as the capacities allow. Ties go to the demand with the
    higher previous rate."""
    previous = previous or {}
    usage = resource_usage(demands)
    available = {resource: capacities.of(resource) for resource in usage}
    rates = {}
    for key in sorted(
        demands, key=lambda candidate: (-demands[candidate].value, -previous.get(candidate, 0.0), candidate)
    ):
        rate = demands[key].rate
        for resource, row in usage.items():
            if key in row:
                rate = min(rate, available[resource] / row[key])
        rates[key] = rate = max(0.0, rate)
        for resource, row in usage.items():
            if key in row:
                available[resource] -= rate * row[key]
    return Allocation(rates, "greedy", total_value(demands, rates))


def allocate(
    demands: Mapping[DemandKey, Demand],
    capacities: Capacities,
    previous: Mapping[DemandKey, float] | None = None,
    seconds: float = SOLVER_SECONDS,
) -> Allocation:
    """Return the most valuable allocation within the capacities, with a penalty for changes from the previous
    one. `seconds`: the time limit of the solver."""
    previous = previous or {}
    if not demands:
        return Allocation({}, "highs", 0.0)
    fallback = allocate_greedily(demands, capacities, previous)
    try:
        import highspy
    except ImportError:
        return fallback
    solver = highspy.Highs()
    solver.setOptionValue("output_flag", False)
    solver.setOptionValue("threads", 1)
    solver.setOptionValue("time_limit", seconds)
    _solve(solver, demands, capacities, previous)
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        return fallback
    solution = solver.getSolution().col_value
    rates = {
        key: min(demands[key].rate, max(0.0, solution[2 * column]))
        for column, key in enumerate(sorted(demands))
    }
    if not _respects(rates, demands, capacities):
        return fallback
    return Allocation(rates, "highs", total_value(demands, rates))


def _solve(
    solver: Any,
    demands: Mapping[DemandKey, Demand],
    capacities: Capacities,
    previous: Mapping[DemandKey, float],
) -> None:
    """Build and solve the linear program. It has two columns for each demand, in the order of keys: the
    admitted rate and the change from the previous allocation."""
    keys = sorted(demands)
    change_cost = CHANGE_COST * mean_value(demands)
    rates, changes = {}, {}
    for key in keys:
        rates[key] = solver.addVariable(0.0, max(0.0, demands[key].rate), -demands[key].value)
        changes[key] = solver.addVariable(0.0, float("inf"), change_cost if key in previous else 0.0)
    for key in keys:
        if key in previous:
            previous_rate = min(previous[key], demands[key].rate)
            solver.addConstr(rates[key] - changes[key] <= previous_rate)
            solver.addConstr(rates[key] + changes[key] >= previous_rate)
    for resource, row in sorted(resource_usage(demands).items()):
        capacity = capacities.of(resource)
        if capacity < float("inf"):
            used = solver.qsum(share * rates[key] for key, share in sorted(row.items()))
            solver.addConstr(used <= capacity)
    solver.minimize()


def _respects(
    rates: Mapping[DemandKey, float], demands: Mapping[DemandKey, Demand], capacities: Capacities
) -> bool:
    """Return whether the rates stay within all capacities."""
    return all(
        sum(share * rates[key] for key, share in row.items())
        <= capacities.of(resource) * (1 + TOLERANCE) + TOLERANCE
        for resource, row in resource_usage(demands).items()
    )
