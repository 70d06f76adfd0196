"""Limits how many slices of a location may have returned, and how many more the next step may return.

The bounds apply to all gateways together (docs/design/zones.md derives them):

- Capacity: the returned slices have `returned_slices / SLICE_COUNT` of the location's demand. Each ready
  backend serves its capacity times the `capacity_share` for its age, of which `usable_share` is used. So
  `returned_slices <= SLICE_COUNT * sum(capacity * usable_share * capacity_share) / demand`.
- Fills: a slice that returns to cold caches is filled from their sources. So the next step returns at most
  `SLICE_COUNT * (spare_fill_rate - fill_rate) / demand` more slices, where `spare_fill_rate` is the rate that
  link, parents and origin have left besides their current load, and `fill_rate` the rate of fills of the
  returned slices.
- Growth: the first step is one slice, and each step is at most `MAX_STEP_GROWTH` times the last one, so that
  a location that cannot serve its demand shows this early. If at least `WARM_HIT_RATIO` of the answers are
  cache hits, few fills are needed, and the spare rate does not apply.

Rates are in KB/s, capacities in transfers at the full transfer rate.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.routing.units import Ticks

WARM_HIT_RATIO = 0.7  # share of cache hits from which on a location counts as warm
MAX_STEP_GROWTH = 4  # steps of 1, 4, 16, 43: all slices return in four steps at least
SPARE_SHARE = 0.8  # of a spare rate that is used, as demand varies over slices and time
MAX_UTILIZATION = 0.8  # of a backend's capacity; above it all answers are late
ROUNDING = 1e-9  # so that a whole number of slices is not rounded down


@dataclass(frozen=True)
class SlowStartProfile:
    """The warm-up of a kind of backend, from the settings."""

    initial_share: float = 0.2  # of the capacity, at the start
    duration: Ticks = 150_000  # until it has its full capacity
    overload_multiple: float = 2.0  # of the rate that it can serve; above it the backend fails

    def capacity_share(self, age: Ticks) -> float:
        """Return the share of its capacity that a backend has at an age."""
        if not self.duration:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * min(1.0, max(0, age) / self.duration)

    def usable_share(self) -> float:
        """Return the share of this capacity that all gateways together use. Requests at the end of one plan's
        step and at the start of the next may fall into one overload window, hence the division by 2."""
        return min(SPARE_SHARE * self.overload_multiple / 2, MAX_UTILIZATION)


class ReadyBackend(NamedTuple):
    """A backend that accepts requests."""

    capacity: float  # transfers at the full rate
    age: Ticks  # since its start


@dataclass(frozen=True)
class LocationCapacity:
    """The demand for a location and its current capacity. Rates in KB/s."""

    demand: float  # of all slices together
    transfer_rate: float  # of one transfer
    backends: tuple[ReadyBackend, ...] = ()
    spare_fill_rate: float = math.inf  # rate left of its sources and the links to them
    fill_rate: float = 0.0  # current rate of fills


def max_returned_slices(location: LocationCapacity, profile: SlowStartProfile) -> int:
    """Return how many slices may have returned, by capacity. It is at least one if a backend is ready; the
    slow-start budgets bound the requests of that slice."""
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
    """Return how many more slices the next step may return; 0 if the sources have no spare capacity.

    `hit_ratio`: the share of cache hits among the location's answers since the last step; `last_step`: the
    number of slices of that step.
    """
    by_growth = MAX_STEP_GROWTH * max(1, last_step)
    if hit_ratio >= WARM_HIT_RATIO or location.demand <= 0 or math.isinf(location.spare_fill_rate):
        return by_growth
    available = SPARE_SHARE * location.spare_fill_rate - location.fill_rate
    return max(0, min(by_growth, math.floor(SLICE_COUNT * available / location.demand + ROUNDING)))
