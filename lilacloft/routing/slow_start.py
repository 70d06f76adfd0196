"""Slow start: how much may be sent to a backend that has started recently.

A cold backend fails if all gateways together send more than its capacity at its age. Each gateway therefore
keeps to its own share of a budget that grows with the age of the backend.
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

BUDGET_MARGIN = 0.8  # share of the budget that is used: sending times vary, and client load is uneven
MAX_UTILIZATION = 0.8  # of the current capacity; above it, all answers are late
CACHE_TO_LINK_RATIO = 2  # output of a location's caches relative to its link: most requests are hits
LOCATIONS_TO_PARENT_LINK_RATIO = 1.3  # total rate of the links of all locations, relative to a parent's link
CAPACITY_WEIGHT = 1 / 8  # weight of one period in the learned capacity


class SlowStart:
    """Limits the load on backends that have started recently, and estimates the capacity of backends."""

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
        self.learned_capacity = 0.0  # concurrent transfers of this gateway that a warm cache serves in time

    def profile(self, backend: Backend) -> SlowStartProfile:
        """Return the slow-start profile for a kind of backend."""
        if self.pools.is_parent(backend):
            return self.settings.parent_slow_start
        return self.settings.cache_slow_start

    def is_cold(self, backend: Backend, now: Ticks) -> bool:
        """Return whether a backend is warming up. The origin is never cold."""
        if self.pools.is_origin(backend) or not backend.started:
            return False
        return now - backend.started < self.profile(backend).duration

    def allows(self, backend: Backend, work: float, now: Ticks) -> bool:
        """Return whether a backend may take one more request, whose transfer takes `work` ticks.

        The budget is granted in turns, each large enough for a whole request: if the share of each gateway
        were less than one request, none could send. The turns of the gateways are staggered
        (`slot_offset`), and each may be used for the length of one overload window. Any window can therefore
        contain the turns of two gateways, which is why the budget is halved (`_utilization`).
        """
        window = self.settings.overload_window + self.settings.tick
        while backend.recent_work and backend.recent_work[0][0] < now - window:
            backend.recent_work.pop(0)
        if not self.is_cold(backend, now):
            return True
        if self.plan.standby or self.pools.is_remote_cache(backend):
            return False  # the gateways of its own location share all of its budget
        # with too small a turn, many small requests would be allowed
        turn = max([work, *(vhost.mean_transfer_time for vhost in self.virtual_hosts if vhost.has_traffic)])
        age = now - backend.started
        rate = self._budget_rate(backend) / turn
        turns = math.floor(self._turns(backend, rate, age)) - math.floor(
            self._turns(backend, rate, age - window)
        )
        return sum(sent for _, sent in backend.recent_work) + work <= turns * turn

    @staticmethod
    def _utilization(profile: SlowStartProfile) -> float:
        """Return the share of a backend's capacity that all gateways together may use. The budget is
        halved, as one overload window can contain the turns of two."""
        return min(BUDGET_MARGIN * profile.overload_factor / 2, MAX_UTILIZATION)

    def _budget_rate(self, backend: Backend) -> float:
        """Return this gateway's share of the budget of a fully warm backend, in transfer time per tick."""
        utilization = self._utilization(self.profile(backend))
        budget_factor = self.plan.budget_factors.get(backend.name, 1.0)
        return utilization * self.capacity_share(backend) * budget_factor

    def _turns(self, backend: Backend, rate: float, age: Ticks) -> float:
        """Return the number of turns that this gateway has had since the start of a backend."""
        profile, age = self.profile(backend), max(0, age)
        # as the share grows linearly, its mean since the start is the share at half the age
        mean_share = profile.initial_share + (1 - profile.initial_share) * age / 2 / profile.duration
        return rate * age * mean_share + self.settings.slot_offset

    def used_share(self, backend: Backend, now: Ticks) -> float:
        """Return the share of its budget for a cold cache that this gateway used in the last window."""
        profile = self.settings.cache_slow_start
        age = max(0, now - backend.started)
        warmth = profile.initial_share + (1 - profile.initial_share) * min(1.0, age / profile.duration)
        utilization = self._utilization(profile)
        budget = utilization * warmth * self.capacity_share(backend) * self.settings.overload_window
        budget *= self.plan.budget_factors.get(backend.name, 1.0)
        return min(1.0, sum(work for _, work in backend.recent_work) / budget) if budget else 1.0

    def capacity_share(self, backend: Backend) -> float:
        """Return this gateway's share of a backend's capacity, in concurrent transfers at full rate."""
        settings, is_parent = self.settings, self.pools.is_parent(backend)
        known = settings.capacities_known
        capacity = backend.capacity if known else self._capacity_from_links(is_parent)
        if is_parent or self.pools.is_remote_cache(backend):
            return (capacity or 1.0) / settings.gateways
        # if no capacity is known, use what this gateway has observed; the gateways' observations add up
        return capacity / settings.zone_gateways or max(1.0 / settings.zone_gateways, self.learned_capacity)

    def _capacity_from_links(self, is_parent: bool) -> float:
        """Return the capacity of a backend as estimated from the link rates; 0 if those are unknown."""
        settings, pools = self.settings, self.pools
        if is_parent:
            rate, pool = sum(settings.zone_link_rates) / LOCATIONS_TO_PARENT_LINK_RATIO, pools.parents
        else:
            rate, pool = CACHE_TO_LINK_RATIO * settings.zone_link_rates[settings.zone], pools.caches
        return rate / settings.transfer_rate / max(1, len(pool))

    def learn_capacity(self, now: Ticks) -> None:
        """Update the learned capacity from the work sent to those warm caches of the location that answer in
        time."""
        window = self.settings.overload_window + self.settings.tick
        warm = [cache for cache in self.pools.caches if self._is_warm_and_in_time(cache, now)]
        if warm:
            sent = sum(work for cache in warm for at, work in cache.recent_work if at >= now - window)
            observed = sent / window / len(warm)
            self.learned_capacity += (observed - self.learned_capacity) * CAPACITY_WEIGHT

    def _is_warm_and_in_time(self, cache: Backend, now: Ticks) -> bool:
        limit = cache.concurrency_limit
        in_time = limit is not None and limit.late_share <= TOLERATED_LATE_SHARE
        return not cache.ejected and in_time and not self.is_cold(cache, now)
