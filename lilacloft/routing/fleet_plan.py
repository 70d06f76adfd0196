"""The part of a fleet-wide plan that one gateway applies (lilacloft/control/, lilacloft/failover/).

Without a plan, or once it has expired, nothing is set here and a gateway decides on its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from lilacloft.routing.units import Ticks


class LocationFailover(Protocol):
    """The failover of one failed location, to which traffic returns slice by slice."""

    @property
    def canaries_only(self) -> bool:
        """Whether the location is sent only canary requests that test it as a whole."""

    def is_failed_over(self, placement_key: str, is_safe: bool, now: Ticks) -> bool:
        """Return whether an object part is served by another location. `is_safe`: its request may be executed
        any number of times."""

    def substitute(self, placement_key: str) -> int:
        """Return the location that serves an object part instead."""


@dataclass(frozen=True, slots=True)
class PlanUpdate:
    """The plan in force. Backends that it does not name are not limited by it."""

    ejections: Mapping[str, Ticks] = field(
        default_factory=dict
    )  # by backend: time of the next canary request
    limit_ceilings: Mapping[str, float] = field(default_factory=dict)  # attempts in flight, by backend
    link_ceiling: float = 0.0  # likely fills in flight; 0: no ceiling
    budget_factors: Mapping[str, float] = field(default_factory=dict)  # scale this gateway's budget shares
    failovers: Mapping[int, LocationFailover] = field(default_factory=dict)  # by location


@dataclass(slots=True)
class FleetPlan:
    """The state set by plans, and whether another process acts as this gateway."""

    ejections: Mapping[str, Ticks] = field(default_factory=dict)
    budget_factors: Mapping[str, float] = field(default_factory=dict)
    failovers: Mapping[int, LocationFailover] = field(default_factory=dict)
    standby: bool = False  # another process is this gateway: it handles cold backends and revalidation

    def sends_canaries_only(self, zone: int) -> bool:
        """Return whether a location is sent only canary requests that test it as a whole. Their results are
        evaluated by the failover, not here."""
        return zone in self.failovers and self.failovers[zone].canaries_only

    def failed_over_zones(self, placement_key: str, is_safe: bool, now: Ticks) -> set[int]:
        """Return the locations that are not used for an object part."""
        return {
            zone
            for zone, failover in self.failovers.items()
            if failover.is_failed_over(placement_key, is_safe, now)
        }
