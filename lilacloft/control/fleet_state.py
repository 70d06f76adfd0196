"""What a planner knows of an installation: its settings, the backend list, and the gateways' last reports."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.control.messages import LoadReport, QuotaRequest
from lilacloft.failover import recovery_ramp
from lilacloft.routing.units import Ticks

CACHE, PARENT, ORIGIN = "cache", "parent", "origin"  # kinds of backends
UNKNOWN_AGE: Ticks = 1 << 40  # of a backend whose start is not known: it counts as warm


@dataclass(frozen=True)
class ListedBackend:
    """A backend as the list has it."""

    name: str
    zone: int
    kind: str  # CACHE, PARENT or ORIGIN
    is_ready: bool = True
    is_cold: bool = False
    capacity: float = 1.0  # transfers at full rate, where the site lists capacities
    age: Ticks = UNKNOWN_AGE  # since its start


@dataclass
class SiteSettings:
    """The settings of an installation; rates in KB a second."""

    planners: tuple[str, ...]
    transfer_rate: float  # of one transfer at full rate
    links: Mapping[int, float]  # by location
    parent_rate: float = float("inf")  # of one parent's uplink
    origin_rate: float = float("inf")
    quota_window: Ticks = 10_000
    location_failover: bool = False  # whether whole locations may be taken out of use
    cross_location: bool = False  # and other locations' caches used in their place
    lists_capacities: bool = False  # whether the backend list has capacities
    cache_warming: recovery_ramp.SlowStartProfile = field(default_factory=recovery_ramp.SlowStartProfile)
    parent_warming: recovery_ramp.SlowStartProfile = field(default_factory=recovery_ramp.SlowStartProfile)


@dataclass
class GatewayState:
    """The last report of one gateway."""

    report: LoadReport
    received_at: Ticks
    # the planner's own quota requests to the gateway that are not answered, and when they were made
    pending_requests: dict[int, tuple[QuotaRequest, Ticks]] = field(default_factory=dict)


@dataclass
class LocationLoad:
    """The load of a location, of all its gateways together; rates in KB a second but for requests."""

    request_rate: float = 0.0
    requested_rate: float = 0.0
    fill_rate: float = 0.0
    uncached_rate: float = 0.0  # of the fills, those that bypass the caches

    def add(self, report: LoadReport) -> None:
        """Add the load of one gateway."""
        self.request_rate += report.request_rate
        self.requested_rate += report.requested_rate
        self.fill_rate += sum(report.fill_rates.values())
        self.uncached_rate += report.uncached_rate


Backends = Mapping[str, ListedBackend]
Gateways = Mapping[str, GatewayState]


def parent_zones(backends: Iterable[ListedBackend]) -> set[int]:
    """Return the locations that have parents."""
    return {backend.zone for backend in backends if backend.kind == PARENT}


def gateways_by_zone(gateways: Gateways) -> dict[int, list[str]]:
    """Return the names of each location's gateways, in the order of locations and of the given names."""
    zones = sorted({gateway.report.zone for gateway in gateways.values()})
    return {
        zone: [name for name, gateway in gateways.items() if gateway.report.zone == zone] for zone in zones
    }
