"""How many of a location's slices may have returned now, and how many more the next step may bring.

The bounds, for all gateways together (docs/design/zones.md derives them):

- Capacity: the returned slices have `returned_slices / SLICE_COUNT` of the location's demand. Of its ready
  backends each serves its capacity times `capacity_share` of its age, and of that only `usable_share`. So
  `returned_slices <= SLICE_COUNT * sum(capacity * usable_share * capacity_share) / demand`.
- Fills: a slice that returns to cold caches is filled from their sources. So the next step brings at most
  `SLICE_COUNT * (spare - filling) / demand` more slices, where `spare` is what link, parents and origin have
  besides what they send now, and `filling` what the returned slices still miss.
- Growth: the first step is one slice, and no step is more than `MAX_STEP_GROWTH` times the last one, as a
  location that cannot serve its demand is to show it early. Where `WARM_HIT_RATIO` of the answers or more are
  cache hits nothing has to be filled, and the spare rate bounds no step.

Rates are in KB a second, capacities in transfers at the full transfer rate.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.routing.units import Ticks

WARM_HIT_RATIO = 0.7  # from this share of cache hits on a location counts as warm
MAX_STEP_GROWTH = 4  # steps of 1, 4, 16, 43: four at least until all slices have returned
SPARE_SHARE = 0.8  # of a spare rate that is used, as demand is uneven over slices and time
MAX_UTILIZATION = 0.8  # of a backend's capacity: above it all its answers are late
ROUNDING = 1e-9  # so that a whole number of slices is not rounded down


@dataclass(frozen=True)
class SlowStartProfile:
    """How a kind of backend warms up, from the settings."""

    initial_share: float = 0.2  # of its capacity, at its start
    duration: Ticks = 150_000  # until it has its whole capacity
    overload_multiple: float = 2.0  # of what it can serve, beyond which it fails

    def capacity_share(self, age: Ticks) -> float:
        """Return the share of its capacity that a backend has so long after its start."""
        if not self.duration:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * min(1.0, max(0, age) / self.duration)

    def usable_share(self) -> float:
        """Return the share of that which all gateways together use. What is sent at the end of one plan's
        step and at the beginning of the next may fall into one overload window: hence the half."""
        return min(SPARE_SHARE * self.overload_multiple / 2, MAX_UTILIZATION)


class ReadyBackend(NamedTuple):
    """A backend that takes requests."""

    capacity: float  # transfers at the full rate
    age: Ticks  # since its start


@dataclass(frozen=True)
class LocationCapacity:
    """What a location is asked for and what it can serve now. Rates in KB a second."""

    demand: float  # of all its slices together
    transfer_rate: float  # of one transfer
    backends: tuple[ReadyBackend, ...] = ()
    spare: float = math.inf  # that its sources and the links to them have left
    filling: float = 0.0  # that it fills now


def max_returned_slices(location: LocationCapacity, profile: SlowStartProfile) -> int:
    """Return how many slices may have returned, by capacity: at least one where a backend is ready, for its
    canaries, which the slow-start budgets bound."""
    if not location.backends:
        return 0
    if location.demand <= 0:
        return SLICE_COUNT
    served = _served_rate(location, profile)
    if math.isinf(served):  # the endpoint list has no capacities
        return SLICE_COUNT
    return max(1, min(SLICE_COUNT, math.floor(SLICE_COUNT * served / location.demand + ROUNDING)))


def _served_rate(location: LocationCapacity, profile: SlowStartProfile) -> float:
    """Return the rate that a location's ready backends can serve."""
    transfers = sum(
        capacity
        * (
            profile.usable_share() * profile.capacity_share(age)
            if age < profile.duration
            else MAX_UTILIZATION / SPARE_SHARE
        )
        for capacity, age in location.backends
    )
    return transfers * location.transfer_rate


def max_next_step(location: LocationCapacity, hit_ratio: float, last_step: int) -> int:
    """Return how many more slices the next step may bring; 0 where the sources have nothing to spare.

    `hit_ratio`: the share of cache hits among the location's answers since the last step; `last_step`: its
    slices.
    """
    by_growth = MAX_STEP_GROWTH * max(1, last_step)
    if hit_ratio >= WARM_HIT_RATIO or location.demand <= 0 or math.isinf(location.spare):
        return by_growth
    fill_rate = SPARE_SHARE * location.spare - location.filling
    return max(0, min(by_growth, math.floor(SLICE_COUNT * fill_rate / location.demand + ROUNDING)))
