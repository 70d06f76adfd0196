"""Plans which whole locations are out of use, from what the gateways report (`lilacloft.failover`
decides)."""

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
from lilacloft.failover.substitutes import share_out
from lilacloft.membership.table import FORWARDER, MemberTable
from lilacloft.routing.units import Ticks

MAX_REPORT_AGE: Ticks = 5_000  # of reports and answers that count for whole locations

LocationWeights = tuple[tuple[int, float], ...]  # other locations, and how much of a location each takes


class LocationPlanner:
    """One planner's decisions on whole locations."""

    def __init__(
        self, site: SiteSettings, table: MemberTable, health: HealthAggregator, gateways: Gateways
    ) -> None:
        """`table`, `health`, `gateways`: the planner's, which it keeps up to date."""
        self.site, self.table, self.health, self.gateways = site, table, health, gateways
        self.decider: FailoverController | None = None  # from the first update on
        self.cache_loads: dict[
            int, recovery_ramp.LocationCapacity
        ] = {}  # of locations with caches, as of the last update

    def record_tallies(self, report: LoadReport) -> None:
        """Record a gateway's counts of answers by location."""
        if self.decider:
            for zone, tally in report.tallies.items():
                self.decider.record_counts(report.name, report.incarnation, zone, tally)

    def forget_gateway(self, name: str) -> None:
        """Discard the counts of a gateway that has ended or was restarted."""
        if self.decider:
            self.decider.forget_gateway(name)

    def update(self, backends: Backends, is_leader: bool, now: Ticks) -> None:
        """Decide on all locations, or, without being the leader, follow what the gateways apply."""
        if self.decider is None:
            self.decider = FailoverController(now)
        fresh = {
            name: gateway.report
            for name, gateway in sorted(self.gateways.items())
            if now - gateway.received_at <= MAX_REPORT_AGE
        }
        if not is_leader or self.decider.is_listening(now):
            self.decider.adopt(_applied_states(fresh.values()), now)
            return
        places = self._places(backends)
        self.decider.slow_starts = {
            zone: self.site.parent_warming if place.is_hub else self.site.cache_warming
            for zone, place in places.items()
        }
        view = fault_detection.FleetView(
            places, self._looks(now), frozenset(fresh), frozenset(self.health.distrusted)
        )
        loads = self._loads(places)
        capacities = self._capacities(backends, places, loads)
        self.cache_loads = {zone: one for zone, one in capacities.items() if not places[zone].is_hub}
        request_rates = {zone: loads[zone].request_rate for zone in places}
        self.decider.update(fault_detection.detect_faults(view), request_rates, capacities, now)

    def plan(
        self,
        backends: Backends,
        by_zone: Mapping[int, list[str]],
        previous: Mapping[int, FailoverDirective],
        now: Ticks,
    ) -> dict[int, FailoverDirective]:
        """Return the plan's section on locations that are not all in use. `by_zone`: the gateways of each
        location; `previous`: the section of the last plan."""
        if self.decider is None:
            return {}
        all_gateways = tuple(sorted(name for names in by_zone.values() for name in names))
        reporters = dict.fromkeys(parent_zones(backends.values()), all_gateways)
        reporters.update((zone, tuple(names)) for zone, names in by_zone.items())
        substitutes = self._substitutes(self.decider, previous) if self.site.cross_location else {}
        return self.decider.directives(reporters, now, substitutes)

    def _places(self, backends: Backends) -> dict[int, fault_detection.Location]:
        """Return all locations, with their ready backends and their gateways."""
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
        places = {
            zone: fault_detection.Location(tuple(sorted(names)), tuple(gateways.get(zone, ())))
            for zone, names in caches.items()
        }
        for zone, names in parents.items():
            if zone not in places:
                places[zone] = fault_detection.Location(tuple(sorted(names)), (), True)
        return places

    def _looks(self, now: Ticks) -> dict[str, dict[str, fault_detection.BackendObservation]]:
        """Return the recent observations, by gateway and backend."""
        looks: dict[str, dict[str, fault_detection.BackendObservation]] = {}
        for backend, by_gateway in self.health.observations.items():
            for name, (received_at, observation) in by_gateway.items():
                age = now - received_at
                if age <= MAX_REPORT_AGE:
                    answers = 0 < observation.silent_for <= MAX_REPORT_AGE - age
                    looks.setdefault(name, {})[backend] = fault_detection.BackendObservation(
                        observation.failure_streak, answers, observation.missing_fills, observation.fills
                    )
        return looks

    def _loads(self, places: Iterable[int]) -> dict[int, LocationLoad]:
        loads = {zone: LocationLoad() for zone in places}
        for gateway in self.gateways.values():
            loads.setdefault(gateway.report.zone, LocationLoad()).add(gateway.report)
        return loads

    def _capacities(
        self,
        backends: Backends,
        places: Mapping[int, fault_detection.Location],
        loads: Mapping[int, LocationLoad],
    ) -> dict[int, recovery_ramp.LocationCapacity]:
        """Return what each location can serve now, and what there is to fill it."""
        fills = sum(load.fill_rate for load in loads.values())
        parent_rate = sum(
            backend.capacity * self.site.transfer_rate
            if self.site.lists_capacities
            else self.site.parent_rate
            for backend in backends.values()
            if backend.kind == PARENT and backend.is_ready
        )
        capacities = {}
        for zone, place in places.items():
            if place.is_hub:
                capacities[zone] = self._parent_capacity(backends, place, fills)
            else:
                spare = parent_rate - (fills - loads[zone].fill_rate)
                capacities[zone] = self._cache_capacity(backends, zone, place, loads[zone], spare)
        return capacities

    def _parent_capacity(
        self, backends: Backends, place: fault_detection.Location, fills: float
    ) -> recovery_ramp.LocationCapacity:
        """Return the capacity of a location of parents: their load is the fills of all locations, and they
        fill from the origin. Its unit is a transfer at full rate."""
        assumed = self.site.parent_rate / self.site.transfer_rate
        sizes = self._sizes(backends, place, assumed)
        return recovery_ramp.LocationCapacity(fills, self.site.transfer_rate, sizes, self.site.origin_rate)

    def _cache_capacity(
        self,
        backends: Backends,
        zone: int,
        place: fault_detection.Location,
        load: LocationLoad,
        spare_parents: float,
    ) -> recovery_ramp.LocationCapacity:
        """Return the capacity of a location of caches. `spare_parents`: the rate at which parents can fill
        it besides the others."""
        link = self.site.links.get(zone, float("inf"))
        # without listed capacities the decisions assume that a location's caches serve twice its link's rate
        assumed = 2 * link / self.site.transfer_rate / max(1, len(place.backends))
        sizes = self._sizes(backends, place, assumed)
        fill_rate = max(0.0, min(link, spare_parents))
        cached_fills = max(0.0, load.fill_rate - load.uncached_rate)
        return recovery_ramp.LocationCapacity(
            load.requested_rate, self.site.transfer_rate, sizes, fill_rate, cached_fills
        )

    def _sizes(
        self, backends: Backends, place: fault_detection.Location, assumed: float
    ) -> tuple[tuple[float, Ticks], ...]:
        """Return the capacity and age of each backend of a location."""
        listed = [backends[name] for name in place.backends]
        return tuple(
            (backend.capacity if self.site.lists_capacities else assumed, backend.age) for backend in listed
        )

    def _substitutes(
        self, decider: FailoverController, previous: Mapping[int, FailoverDirective]
    ) -> dict[int, LocationWeights]:
        """Return for each location that is not all in use the locations that serve in its place, by their
        spare capacity."""
        courses, loads = decider.states, self.cache_loads
        away = [zone for zone in loads if zone in courses and courses[zone].returned_slices < SLICE_COUNT]
        spare = {
            zone: self._spare_capacity(load) / max(1, len(away))
            for zone, load in loads.items()
            if zone not in away
        }
        substitutes = {}
        for zone in away:
            weights = share_out(spare, loads[zone].demand)
            before = previous[zone].substitutes if zone in previous else ()
            # small changes would only move objects between caches
            substitutes[zone] = before if _is_similar(before, weights) else weights
        return substitutes

    def _spare_capacity(self, load: recovery_ramp.LocationCapacity) -> float:
        warm = sum(size for size, age in load.backends if age >= self.site.cache_warming.duration)
        return max(0.0, warm * self.site.transfer_rate - load.demand)


def _applied_states(reports: Iterable[LoadReport]) -> dict[int, tuple[int, int]]:
    """Return what gateways apply for locations that are not all in use, the most careful of each: the fewest
    slices in use, the most failed returns."""
    applied: dict[int, tuple[int, int]] = {}
    for report in reports:
        for zone, (back, fails) in report.location_states.items():
            before = applied.get(zone, (back, fails))
            applied[zone] = min(back, before[0]), max(fails, before[1])
    return applied


def _is_similar(before: LocationWeights, after: LocationWeights) -> bool:
    """Return whether two sets of weights have the same locations and nearly the same weights."""
    old, new = dict(before), dict(after)
    return old.keys() == new.keys() and all(
        abs(old[zone] - weight) <= MIN_CHANGE for zone, weight in new.items()
    )
