"""Slow start: how much a backend that has started lately may be sent.

A cold backend falls over when all gateways together send more than it can bear at its age. Each
gateway therefore keeps to its own share of a budget that grows with the backend's age.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lilacloft.routing.concurrency import TOLERATED_LATE_SHARE
from lilacloft.routing.fleet_plan import FleetPlan
from lilacloft.routing.model import Backend
from lilacloft.routing.pools import BackendPools
from lilacloft.routing.settings import RoutingSettings, SlowStartProfile
from lilacloft.routing.units import Ticks
from lilacloft.routing.virtual_host import VirtualHost

BUDGET_MARGIN = 0.8  # share of the budget that is used: sending times vary, and clients spread unevenly
MAX_UTILIZATION = 0.8  # share of what it can do now that it is sent: beyond, all it answers is late
CACHE_TO_LINK_RATIO = (
    2  # a location's caches send this multiple of what its link brings in: most requests are hits
)
LOCATIONS_TO_PARENT_LINK_RATIO = 1.3  # the links of all locations bring in this multiple of a parent's
CAPACITY_WEIGHT = 1 / 8  # weight of one period in the learned capacity


class SlowStart:
    """The rule on backends that have started lately, and what a backend can carry."""

    def __init__(
        self,
        settings: RoutingSettings,
        pools: BackendPools,
        virtual_hosts: Sequence[VirtualHost],
        plan: FleetPlan,
    ) -> None:
        """Keep to this gateway's share of the budgets of all backends in the pools."""
        self.settings = settings
        self.pools = pools
        self.virtual_hosts = virtual_hosts
        self.plan = plan
        self.learned_capacity = 0.0  # transfers of this gateway that a warm cache carries in time

    def profile(self, backend: Backend) -> SlowStartProfile:
        """Return how a backend of its kind warms up."""
        if self.pools.is_parent(backend):
            return self.settings.parent_slow_start
        return self.settings.cache_slow_start

    def is_cold(self, backend: Backend, now: Ticks) -> bool:
        """Return whether a backend is warming up. The origin never is."""
        if self.pools.is_origin(backend) or not backend.started:
            return False
        return now - backend.started < self.profile(backend).duration

    def allows(self, backend: Backend, work: float, now: Ticks) -> bool:
        """Return whether a backend may take one more request, which takes `work` ticks to send.

        The budget is granted in whole requests (turns), as a share below one request would let nobody send.
        The gateways' turns are staggered (`slot_offset`), and each may be used for one overload window; so
        any one window can hold the turns of two, for which the budget is halved (`_utilization`).
        """
        window = self.settings.overload_window + self.settings.tick
        while backend.recent_work and backend.recent_work[0][0] < now - window:
            backend.recent_work.pop(0)
        if not self.is_cold(backend, now):
            return True
        if self.plan.standby or self.pools.is_remote_cache(backend):
            return False  # its own location's gateways have all of its budget
        # too small an estimate would let many small requests pass for one turn
        turn = max([work, *(vhost.mean_transfer_time for vhost in self.virtual_hosts if vhost.has_traffic)])
        age = now - backend.started
        rate = self._budget_rate(backend) / turn
        turns = math.floor(self._turns(backend, rate, age)) - math.floor(
            self._turns(backend, rate, age - window)
        )
        return sum(sent for _, sent in backend.recent_work) + work <= turns * turn

    @staticmethod
    def _utilization(profile: SlowStartProfile) -> float:
        """Return the share of what a backend can do that all gateways together may use. Halved, as one
        overload
        window can hold the turns of two."""
        return min(BUDGET_MARGIN * profile.overload_factor / 2, MAX_UTILIZATION)

    def _budget_rate(self, backend: Backend) -> float:
        """Return this gateway's share of a fully warm backend's budget: transfer time in a tick."""
        utilization = self._utilization(self.profile(backend))
        budget_factor = self.plan.budget_factors.get(backend.name, 1.0)
        return utilization * self.capacity_share(backend) * budget_factor

    def _turns(self, backend: Backend, rate: float, age: Ticks) -> float:
        """Return how many turns this gateway has had since a backend's start."""
        profile, age = self.profile(backend), max(0, age)
        # the mean share since the start, as the share grows linearly
        grown = profile.initial_share + (1 - profile.initial_share) * age / 2 / profile.duration
        return rate * age * grown + self.settings.slot_offset

    def used_share(self, backend: Backend, now: Ticks) -> float:
        """Return the share of its budget at a cold cache that this gateway has used in the last window."""
        profile = self.settings.cache_slow_start
        age = max(0, now - backend.started)
        warmth = profile.initial_share + (1 - profile.initial_share) * min(1.0, age / profile.duration)
        utilization = self._utilization(profile)
        budget = utilization * warmth * self.capacity_share(backend) * self.settings.overload_window
        budget *= self.plan.budget_factors.get(backend.name, 1.0)
        return min(1.0, sum(work for _, work in backend.recent_work) / budget) if budget else 1.0

    def capacity_share(self, backend: Backend) -> float:
        """Return this gateway's share of what a backend can carry, in transfers at full rate."""
        settings, is_parent = self.settings, self.pools.is_parent(backend)
        known = settings.capacities_known
        capacity = backend.capacity if known else self._capacity_from_links(is_parent)
        if is_parent or self.pools.is_remote_cache(backend):
            return (capacity or 1.0) / settings.gateways
        # where nothing is known: what this gateway has seen a cache carry; all together, what all have seen
        return capacity / settings.zone_gateways or max(1.0 / settings.zone_gateways, self.learned_capacity)

    def _capacity_from_links(self, is_parent: bool) -> float:
        """Return what a backend carries as the links are made for; 0: they are not known."""
        settings, pools = self.settings, self.pools
        if is_parent:
            rate, pool = sum(settings.zone_link_rates) / LOCATIONS_TO_PARENT_LINK_RATIO, pools.parents
        else:
            rate, pool = CACHE_TO_LINK_RATIO * settings.zone_link_rates[settings.zone], pools.caches
        return rate / settings.transfer_rate / max(1, len(pool))

    def learn_capacity(self, now: Ticks) -> None:
        """Take in what this gateway has sent the location's warm caches while they answer in time."""
        window = self.settings.overload_window + self.settings.tick
        warm = [cache for cache in self.pools.caches if self._is_warm_and_in_time(cache, now)]
        if warm:
            sent = sum(work for cache in warm for at, work in cache.recent_work if at >= now - window)
            seen = sent / window / len(warm)
            self.learned_capacity += (seen - self.learned_capacity) * CAPACITY_WEIGHT

    def _is_warm_and_in_time(self, cache: Backend, now: Ticks) -> bool:
        limit = cache.concurrency_limit
        in_time = limit is not None and limit.late_share <= TOLERATED_LATE_SHARE
        return not cache.ejected and in_time and not self.is_cold(cache, now)
