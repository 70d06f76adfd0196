"""Routes: the backends that may serve a request, and the sources that may fill a miss there, in order.

Hash order assigns an object part one cache of the location and one parent. The normal route is that cache,
filled from that parent; the other routes follow if it fails or is skipped.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from lilacloft.routing.model import Backend, Request
from lilacloft.routing.rules import Rules


class Route(NamedTuple):
    """A backend that may serve a request, and the sources that may fill a miss there, best first."""

    backend: Backend
    sources: Sequence[Backend]


class RouteOptions(NamedTuple):
    """The routes of a request, and the cache to ask for a cached copy if none of them has room."""

    routes: Iterator[Route]  # best first, generated lazily
    home: Backend | None  # the first cache in hash order; None if no copy may be looked up
    parents: list[Backend]  # in hash order


class RoutePlanner:
    """Determines the routes of a gateway's requests."""

    def __init__(self, rules: Rules) -> None:
        """Determine routes by the given rules."""
        self.rules = rules
        self.settings = rules.settings
        self.pools = rules.pools
        self.plan = rules.plan
        self.placement = rules.placement
        self.freshness = rules.freshness

    def options(self, request: Request) -> RouteOptions:
        """Return the routes of a request, best first."""
        vhost, now = self.rules.virtual_hosts[request.vhost], self.rules.host.now()
        key, uncacheable = request.placement_key, self.is_uncacheable(request)
        failed_over_zones = self.plan.failed_over_zones(key, vhost.is_safe and not uncacheable, now)
        homes = self.placement.order(self.pools.caches, key)
        parents = [
            parent
            for parent in self.placement.order(self.pools.parents, key)
            if parent.zone not in failed_over_zones
        ]
        sources = self._fill_sources(request, parents)
        if self.settings.zone in failed_over_zones and self.settings.bypass_allowed:
            return RouteOptions(self._failover_routes(request, sources), None, parents)
        routes = self._local_routes(request, homes, parents, sources)
        may_look_up = bool(homes) and not uncacheable and homes[0] not in request.failed_backends
        return RouteOptions(routes, homes[0] if may_look_up else None, parents)

    def is_uncacheable(self, request: Request) -> bool:
        """Return whether the answer to a request must not be cached."""
        return self.rules.virtual_hosts[request.vhost].uncacheable or request.is_write

    def _fill_sources(self, request: Request, parents: list[Backend]) -> list[Backend]:
        """Return the sources that may fill a miss, best first: parents, then the origin."""
        pool_load = self.placement.pool_load(self.pools.parents)
        if self.is_uncacheable(request):
            sources = self.pools.origins
        else:
            mean_load = self.rules.averages.load
            within_bound = [
                parent
                for parent in parents
                if self.placement.within_bound(parent, pool_load, request, mean_load)
            ]
            sources = within_bound + self.pools.origins
        failed = request.failed_backends
        return [source for source in sources if source not in failed] or self.pools.origins

    def _local_routes(
        self, request: Request, homes: list[Backend], parents: list[Backend], sources: list[Backend]
    ) -> Iterator[Route]:
        """Yield the routes through the caches of this location and, where allowed, those that bypass them:
        for uncacheable requests, and for all requests while every cache is ejected or cold."""
        uncacheable, bypass_allowed = self.is_uncacheable(request), self.settings.bypass_allowed
        if bypass_allowed and not uncacheable:
            yield from self._canary_routes(request, homes, parents)
        caches = [home for home in homes if home not in request.failed_backends]
        usable = self._usable(sources)
        if bypass_allowed and uncacheable:
            yield from self._bypass_routes(usable)
        for cache in self._bounded_order(request, caches):
            yield Route(cache, usable)
        if bypass_allowed and not uncacheable and not self._any_takes_mean_request(caches, request):
            yield from self._bypass_routes(usable)

    def _canary_routes(
        self, request: Request, homes: list[Backend], parents: list[Backend]
    ) -> Iterator[Route]:
        """Yield the route of an ejected parent's canary request: directly to it, as a hit at a cache would be
        mistaken for the parent's answer."""
        if not parents or not parents[0].ejected or parents[0] in request.failed_backends:
            return
        if not (homes and self.freshness.likely_cached(request, homes[0], self.rules.host.now())):
            yield Route(parents[0], parents[:1])

    @staticmethod
    def _bypass_routes(sources: list[Backend]) -> Iterator[Route]:
        for source in sources:
            yield Route(source, [source])

    def _failover_routes(self, request: Request, sources: list[Backend]) -> Iterator[Route]:
        """Yield the routes used while this location is failed over: through one cache of the location that
        the plan names (never a cold cache), and then those that bypass the caches."""
        key, usable = request.placement_key, self._usable(sources)
        substitute = self.plan.failovers[self.settings.zone].substitute(key)
        caches = self.placement.order(self.pools.caches_by_zone.get(substitute, []), key)
        if caches and caches[0] not in request.failed_backends:
            yield Route(caches[0], usable)
        yield from self._bypass_routes(usable)

    def _usable(self, sources: list[Backend]) -> list[Backend]:
        """Return the sources that are not limited to canary requests."""
        return [source for source in sources if not (self.settings.bypass_allowed and source.ejected)]

    def _bounded_order(self, request: Request, caches: list[Backend]) -> list[Backend]:
        """Return the caches in hash order, those within the load bound before the others."""
        pool_load, mean_load = self.placement.pool_load(self.pools.caches), self.rules.averages.load
        return sorted(
            caches,
            key=lambda cache: not self.placement.within_bound(cache, pool_load, request, mean_load),
        )

    def _any_takes_mean_request(self, caches: list[Backend], request: Request) -> bool:
        work, now = self.rules.virtual_hosts[request.vhost].mean_transfer_time, self.rules.host.now()
        return any(not cache.ejected and self.rules.slow_start.allows(cache, work, now) for cache in caches)
