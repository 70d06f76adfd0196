"""What a plan for the whole fleet sets in one gateway's decisions (lilacloft/control/, lilacloft/failover/).

Without a plan, or once it has expired, a gateway decides by itself: nothing is set here then.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from lilacloft.routing.units import Ticks


class LocationFailover(Protocol):
    """One location that fails, or that is returned to slice by slice."""

    @property
    def canaries_only(self) -> bool:
        """Whether only canary requests for the whole location go there."""

    def is_away(self, placement_key: str, is_safe: bool, now: Ticks) -> bool:
        """Return whether the location is not used for an object part. `is_safe`: its request may be executed
        any number of times."""

    def substitute(self, placement_key: str) -> int:
        """Return the location that serves an object part instead."""


@dataclass(frozen=True, slots=True)
class PlanUpdate:
    """A plan as it holds now. What it does not name has no bound from it."""

    ejections: Mapping[str, Ticks] = field(default_factory=dict)  # by backend: when its next canary may go
    limit_ceilings: Mapping[str, float] = field(default_factory=dict)  # attempts at once, by backend
    link_ceiling: float = 0.0  # likely fills at once; 0: none
    budget_factors: Mapping[str, float] = field(default_factory=dict)  # on this gateway's share of budgets
    failovers: Mapping[int, LocationFailover] = field(default_factory=dict)  # by location


@dataclass(slots=True)
class FleetPlan:
    """What holds now of plans, and whether another process is the gateway."""

    ejections: Mapping[str, Ticks] = field(default_factory=dict)
    budget_factors: Mapping[str, float] = field(default_factory=dict)
    failovers: Mapping[int, LocationFailover] = field(default_factory=dict)
    standby: bool = False  # another process is this gateway: cold starts and revalidation are left to it

    def sends_canaries_only(self, zone: int) -> bool:
        """Return whether only canary requests for a whole location go there: they are judged elsewhere."""
        return zone in self.failovers and self.failovers[zone].canaries_only

    def zones_away(self, placement_key: str, is_safe: bool, now: Ticks) -> set[int]:
        """Return the locations that are not used for an object part."""
        return {
            zone for zone, failover in self.failovers.items() if failover.is_away(placement_key, is_safe, now)
        }
