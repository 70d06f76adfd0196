"""Plans the failover of whole locations from the reports of gateways. The decisions are made in
`lilacloft.failover`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lilacloft.control.fleet_state import (
    CACHE,
    ORIGIN,
    PARENT,
    Backends,
    Gateways,
    LocationLoad,
    SiteSettings,
    parent_zones,
)
from lilacloft.control.health_aggregation import HealthAggregator
from lilacloft.control.limit_planning import MIN_CHANGE
from lilacloft.control.messages import LoadReport
from lilacloft.failover import fault_detection, recovery_ramp
from lilacloft.failover.failover_control import FailoverController
from lilacloft.failover.failover_state import FailoverDirective
from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.substitutes import distribute_demand
from lilacloft.membership.table import FORWARDER, MemberTable
from lilacloft.routing.units import Ticks

MAX_REPORT_AGE: Ticks = 5_000  # of reports and answers that are considered

LocationWeights = tuple[tuple[int, float], ...]  # substitute locations, and the share that each serves


class LocationPlanner:
    """Plans location failovers for one planner."""

    def __init__(
        self, site: SiteSettings, table: MemberTable, health: HealthAggregator, gateways: Gateways
    ) -> None:
        """`table`, `health`, `gateways`: owned and updated by the planner."""
        self.site, self.table, self.health, self.gateways = site, table, health, gateways
        self.failover_controller: FailoverController | None = None  # None until the first update
        # of locations with caches, as of the last update
        self.cache_loads: dict[int, recovery_ramp.LocationCapacity] = {}

    def record_tallies(self, report: LoadReport) -> None:
        """Record the answers that a gateway has counted, by location."""
        if self.failover_controller:
            for zone, tally in report.tallies.items():
                self.failover_controller.record_counts(report.name, report.incarnation, zone, tally)

    def forget_gateway(self, name: str) -> None:
        """Discard the counts of a gateway that has stopped or restarted."""
        if self.failover_controller:
            self.failover_controller.forget_gateway(name)

    def update(self, backends: Backends, is_leader: bool, now: Ticks) -> None:
        """Decide on all locations. A planner that is not the leader, or has just started, adopts the states
        that the gateways apply instead."""
        if self.failover_controller is None:
            self.failover_controller = FailoverController(now)
        recent_reports = {
            name: gateway.report
            for name, gateway in sorted(self.gateways.items())
            if now - gateway.received_at <= MAX_REPORT_AGE
        }
        if not is_leader or self.failover_controller.is_listening(now):
            self.failover_controller.adopt(_applied_states(recent_reports.values()), now)
            return
        locations = self._list_locations(backends)
        self.failover_controller.slow_starts = {
            zone: self.site.parent_warming if location.is_hub else self.site.cache_warming
            for zone, location in locations.items()
        }
        view = fault_detection.FleetView(
            locations, self._observations(now), frozenset(recent_reports), frozenset(self.health.distrusted)
        )
        loads = self._loads(locations)
        capacities = self._capacities(backends, locations, loads)
        self.cache_loads = {
            zone: capacity for zone, capacity in capacities.items() if not locations[zone].is_hub
        }
        request_rates = {zone: loads[zone].request_rate for zone in locations}
        self.failover_controller.update(fault_detection.detect_faults(view), request_rates, capacities, now)

    def plan(
        self,
        backends: Backends,
        by_zone: Mapping[int, list[str]],
        previous: Mapping[int, FailoverDirective],
        now: Ticks,
    ) -> dict[int, FailoverDirective]:
        """Return the plan's section on locations that are not completely in use. `by_zone`: the gateways of
        each location; `previous`: the section of the last plan."""
        if self.failover_controller is None:
            return {}
        all_gateways = tuple(sorted(name for names in by_zone.values() for name in names))
        canary_senders = dict.fromkeys(parent_zones(backends.values()), all_gateways)
        canary_senders.update((zone, tuple(names)) for zone, names in by_zone.items())
        substitutes = (
            self._substitutes(self.failover_controller, previous) if self.site.cross_location else {}
        )
        return self.failover_controller.directives(canary_senders, now, substitutes)

    def _list_locations(self, backends: Backends) -> dict[int, fault_detection.Location]:
        """Return all locations with their ready backends and their gateways."""
        caches: dict[int, list[str]] = {}
        parents: dict[int, list[str]] = {}
        for backend in backends.values():
            if backend.kind != ORIGIN:
                by_zone = caches if backend.kind == CACHE else parents
                names = by_zone.setdefault(backend.zone, [])
                if backend.is_ready:
                    names.append(backend.name)
        gateways: dict[int, list[str]] = {}
        for name in self.table.alive(FORWARDER):
            gateways.setdefault(self.table.members[name].zone, []).append(name)
        locations = {
            zone: fault_detection.Location(tuple(sorted(names)), tuple(gateways.get(zone, ())))
            for zone, names in caches.items()
        }
        for zone, names in parents.items():
            if zone not in locations:
                locations[zone] = fault_detection.Location(tuple(sorted(names)), (), True)
        return locations

    def _observations(self, now: Ticks) -> dict[str, dict[str, fault_detection.BackendObservation]]:
        """Return the recent observations, by gateway and backend."""
        observations: dict[str, dict[str, fault_detection.BackendObservation]] = {}
        for backend, by_gateway in self.health.observations.items():
            for name, (received_at, observation) in by_gateway.items():
                age = now - received_at
                if age <= MAX_REPORT_AGE:
                    answered_recently = 0 < observation.silent_for <= MAX_REPORT_AGE - age
                    observations.setdefault(name, {})[backend] = fault_detection.BackendObservation(
                        observation.failure_streak,
                        answered_recently,
                        observation.missing_fills,
                        observation.fills,
                    )
        return observations

    def _loads(self, locations: Iterable[int]) -> dict[int, LocationLoad]:
        loads = {zone: LocationLoad() for zone in locations}
        for gateway in self.gateways.values():
            loads.setdefault(gateway.report.zone, LocationLoad()).add(gateway.report)
        return loads

    def _capacities(
        self,
        backends: Backends,
        locations: Mapping[int, fault_detection.Location],
        loads: Mapping[int, LocationLoad],
    ) -> dict[int, recovery_ramp.LocationCapacity]:
        """Return the current serving capacity of each location, and the spare rate to fill it."""
        fills = sum(load.fill_rate for load in loads.values())
        parent_rate = sum(
            backend.capacity * self.site.transfer_rate
            if self.site.lists_capacities
            else self.site.parent_rate
            for backend in backends.values()
            if backend.kind == PARENT and backend.is_ready
        )
        capacities = {}
        for zone, location in locations.items():
            if location.is_hub:
                capacities[zone] = self._parent_capacity(backends, location, fills)
            else:
                spare = parent_rate - (fills - loads[zone].fill_rate)
                capacities[zone] = self._cache_capacity(backends, zone, location, loads[zone], spare)
        return capacities

    def _parent_capacity(
        self, backends: Backends, location: fault_detection.Location, fills: float
    ) -> recovery_ramp.LocationCapacity:
        """Return the capacity of a location of parents, in transfers at full rate. Its load is the fills of
        all locations; parents fill from the origin."""
        assumed_capacity = self.site.parent_rate / self.site.transfer_rate
        sizes = self._sizes(backends, location, assumed_capacity)
        return recovery_ramp.LocationCapacity(fills, self.site.transfer_rate, sizes, self.site.origin_rate)

    def _cache_capacity(
        self,
        backends: Backends,
        zone: int,
        location: fault_detection.Location,
        load: LocationLoad,
        spare_parent_rate: float,
    ) -> recovery_ramp.LocationCapacity:
        """Return the capacity of a location of caches. `spare_parent_rate`: the rate that parents have left
        for it after the fills of other locations."""
        link = self.site.links.get(zone, float("inf"))
        # without listed capacities, assume that a location's caches together serve twice the rate of its link
        assumed_capacity = 2 * link / self.site.transfer_rate / max(1, len(location.backends))
        sizes = self._sizes(backends, location, assumed_capacity)
        fill_rate = max(0.0, min(link, spare_parent_rate))
        cached_fills = max(0.0, load.fill_rate - load.uncached_rate)
        return recovery_ramp.LocationCapacity(
            load.requested_rate, self.site.transfer_rate, sizes, fill_rate, cached_fills
        )

    def _sizes(
        self, backends: Backends, location: fault_detection.Location, assumed_capacity: float
    ) -> tuple[tuple[float, Ticks], ...]:
        """Return the capacity and age of each backend of a location."""
        listed = [backends[name] for name in location.backends]
        return tuple(
            (backend.capacity if self.site.lists_capacities else assumed_capacity, backend.age)
            for backend in listed
        )

    def _substitutes(
        self, failover_controller: FailoverController, previous: Mapping[int, FailoverDirective]
    ) -> dict[int, LocationWeights]:
        """Return for each location that is not completely in use the locations that serve in its place,
        weighted by their spare capacity."""
        states, loads = failover_controller.states, self.cache_loads
        failed_over = [
            zone for zone in loads if zone in states and states[zone].returned_slices < SLICE_COUNT
        ]
        spare = {
            zone: self._spare_capacity(load) / max(1, len(failed_over))
            for zone, load in loads.items()
            if zone not in failed_over
        }
        substitutes = {}
        for zone in failed_over:
            weights = distribute_demand(spare, loads[zone].demand)
            before = previous[zone].substitutes if zone in previous else ()
            # small changes would move objects between caches without benefit
            substitutes[zone] = before if _is_similar(before, weights) else weights
        return substitutes

    def _spare_capacity(self, load: recovery_ramp.LocationCapacity) -> float:
        warm = sum(size for size, age in load.backends if age >= self.site.cache_warming.duration)
        return max(0.0, warm * self.site.transfer_rate - load.demand)


def _applied_states(reports: Iterable[LoadReport]) -> dict[int, tuple[int, int]]:
    """Return the states that gateways apply to locations that are not completely in use. Of differing reports
    the most conservative values are taken: the fewest slices in use, the most failed returns."""
    applied: dict[int, tuple[int, int]] = {}
    for report in reports:
        for zone, (returned, failed_returns) in report.location_states.items():
            before = applied.get(zone, (returned, failed_returns))
            applied[zone] = min(returned, before[0]), max(failed_returns, before[1])
    return applied


def _is_similar(before: LocationWeights, after: LocationWeights) -> bool:
    """Return whether two sets of weights have the same locations and nearly the same weights."""
    old, new = dict(before), dict(after)
    return old.keys() == new.keys() and all(
        abs(old[zone] - weight) <= MIN_CHANGE for zone, weight in new.items()
    )
