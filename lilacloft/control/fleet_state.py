"""A planner's view of an installation: its settings, the backend list and the last reports of gateways."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.control.messages import LoadReport, QuotaRequest
from lilacloft.failover import recovery_ramp
from lilacloft.routing.units import Ticks

CACHE, PARENT, ORIGIN = "cache", "parent", "origin"  # kinds of backends
UNKNOWN_AGE: Ticks = 1 << 40  # of a backend whose start time is unknown: it is treated as warm


@dataclass(frozen=True)
class ListedBackend:
    """A backend in the endpoint list."""

    name: str
    zone: int
    kind: str  # CACHE, PARENT or ORIGIN
    is_ready: bool = True
    is_cold: bool = False
    capacity: float = 1.0  # in transfers at full rate, if the site lists capacities
    age: Ticks = UNKNOWN_AGE  # since its start


@dataclass
class SiteSettings:
    """The settings of an installation; rates in KB/s."""

    planners: tuple[str, ...]
    transfer_rate: float  # of one transfer at full rate
    links: Mapping[int, float]  # by location
    parent_rate: float = float("inf")  # of one parent's uplink
    origin_rate: float = float("inf")
    quota_window: Ticks = 10_000
    location_failover: bool = False  # whether whole locations may be taken out of use
    cross_location: bool = False  # whether other locations' caches serve in their place
    lists_capacities: bool = False  # whether the endpoint list has capacities
    cache_warming: recovery_ramp.SlowStartProfile = field(default_factory=recovery_ramp.SlowStartProfile)
    parent_warming: recovery_ramp.SlowStartProfile = field(default_factory=recovery_ramp.SlowStartProfile)


@dataclass
class GatewayState:
    """The last report of one gateway."""

    report: LoadReport
    received_at: Ticks
    # the planner's unanswered quota requests to this gateway, with the times when they were made
    pending_requests: dict[int, tuple[QuotaRequest, Ticks]] = field(default_factory=dict)


@dataclass
class LocationLoad:
    """The load of a location, summed over its gateways; rates in KB/s, except for `request_rate`."""

    request_rate: float = 0.0
    requested_rate: float = 0.0
    fill_rate: float = 0.0
    uncached_rate: float = 0.0  # part of the fills, bypassing the caches

    def add(self, report: LoadReport) -> None:
        """Add the load that one gateway reports."""
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
    """Return the names of the gateways by location, sorted by location, names in the given order."""
    zones = sorted({gateway.report.zone for gateway in gateways.values()})
    return {
        zone: [name for name, gateway in gateways.items() if gateway.report.zone == zone] for zone in zones
    }
