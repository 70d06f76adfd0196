"""Plans limits that apply to all gateways together: the concurrency at backends and the fills over links, and
each gateway's share of them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lilacloft.control import allocation
from lilacloft.control.fleet_state import PARENT, Backends, Gateways, SiteSettings
from lilacloft.control.health_aggregation import HealthAggregator

MIN_CHANGE = 0.1  # relative; smaller changes of a limit are not applied
MIN_ANSWERS = 4  # from a backend, before its late answers are considered
MAX_LATE_SHARE = 0.2  # of a backend's answers; above it the backend gets a common limit
FILL_HEADROOM = 1.3  # fill limit relative to the admitted rate, so that gateways can detect spare capacity
ORIGIN_SHARE = 0.5  # of parents' fills, assumed to come from the origin
EVEN_SHARE = 0.5  # part of a gateway's share that does not depend on its load


def damp(previous: float | None, value: float) -> float:
    """Return a value rounded to three significant digits, or the previous one if the change is small."""
    value = float(f"{value:.3g}")
    return previous if previous and abs(value - previous) <= MIN_CHANGE * previous else value


def plan_concurrency(
    backends: Backends, health: HealthAggregator, gateways: Gateways, previous: Mapping[str, float]
) -> dict[str, float]:
    """Return limits on the attempts in flight at overloaded backends: the sums of the limits that the
    gateways have learned. For other backends each gateway adapts its own limit."""
    limits: dict[str, float] = {}
    for backend in sorted(backends):
        observations = [
            observation
            for name, (_, observation) in sorted(health.observations.get(backend, {}).items())
            if name in gateways and name not in health.distrusted
        ]
        answers = sum(observation.in_time + observation.late for observation in observations)
        late = sum(observation.late for observation in observations)
        has_limit = any(observation.concurrency_limit for observation in observations)
        if answers >= MIN_ANSWERS and late > MAX_LATE_SHARE * answers and has_limit:
            total = sum(observation.concurrency_limit for observation in observations)
            limits[backend] = damp(previous.get(backend), total)
    return limits


class FillLimitPlanner:
    """Plans limits on the fills in flight of each location; keeps the last allocation, as changes from it
    have a cost."""

    def __init__(self, site: SiteSettings) -> None:
        self.site = site
        self.last_rates: dict[allocation.DemandKey, float] = {}
        self.greedy_allocations = 0

    def plan(self, backends: Backends, gateways: Gateways, previous: Mapping[int, float]) -> dict[int, float]:
        """Return limits by location, for those whose demand exceeds the capacity of links, parents or the
        origin."""
        parents = sorted(
            backend.name for backend in backends.values() if backend.kind == PARENT and backend.is_ready
        )
        demands = _fill_demands(gateways, parents)
        capacities = allocation.Capacities(
            {str(zone): rate for zone, rate in self.site.links.items()},
            dict.fromkeys(parents, self.site.parent_rate),
            self.site.origin_rate,
        )
        allocated = allocation.allocate(demands, capacities, self.last_rates)
        self.last_rates = allocated.rates
        self.greedy_allocations += allocated.method == "greedy"
        limits: dict[int, float] = {}
        for zone in self.site.links:
            keys = [key for key in demands if key[0] == str(zone)]
            requested = sum(demands[key].rate for key in keys)
            admitted = sum(allocated.rates[key] for key in keys)
            if requested > 0 and admitted < requested * (1 - MIN_CHANGE):
                limit = max(1.0, FILL_HEADROOM * admitted / self.site.transfer_rate)
                limits[zone] = damp(previous.get(zone), limit)
        return limits


def _fill_demands(
    gateways: Gateways, parents: Sequence[str]
) -> dict[allocation.DemandKey, allocation.Demand]:
    """Return the fill rates reported by gateways, summed by location and virtual host."""
    demands: dict[allocation.DemandKey, allocation.Demand] = {}
    parent_share = 1 / len(parents) if parents else 0.0
    for gateway in gateways.values():
        report = gateway.report
        for vhost, rate in sorted(report.fill_rates.items()):
            key = (str(report.zone), vhost)
            before = demands.get(key)
            demands[key] = allocation.Demand(
                (before.rate if before else 0.0) + max(0.0, rate),
                report.values_per_kb.get(vhost, 1.0),
                dict.fromkeys(parents, parent_share),
                ORIGIN_SHARE,
            )
    return demands


def plan_gateway_shares(
    gateways: Gateways, by_zone: Mapping[int, Sequence[str]], previous: Mapping[str, float]
) -> dict[str, float]:
    """Return each gateway's share of its location's limits: half is divided evenly, half by request rate."""
    shares = {}
    for names in by_zone.values():
        total = sum(gateways[name].report.request_rate for name in names)
        for name in names:
            even = 1 / len(names)
            by_load = gateways[name].report.request_rate / total if total else even
            share = round(EVEN_SHARE * even + (1 - EVEN_SHARE) * by_load, 3)
            before = previous.get(name)
            is_small_change = before and abs(share - before) < MIN_CHANGE * before
            shares[name] = before if before and is_small_change else share
    return shares
