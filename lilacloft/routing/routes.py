"""Routes: through which backends a request may be served, and who may fill a miss there, in order.

Hash order gives an object part one cache of the location and one parent. The ordinary route is that cache,
filled from that parent; the others follow where it fails or is passed over.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from lilacloft.routing.model import Backend, Request
from lilacloft.routing.rules import Rules


class Route(NamedTuple):
    """A backend that a request may be sent to, and the sources that may fill a miss there, best first."""

    backend: Backend
    sources: Sequence[Backend]


class RouteOptions(NamedTuple):
    """The routes of a request, and what may be looked up where none of them has room."""

    routes: Iterator[Route]  # best first, each made when it is asked for
    home: Backend | None  # the first cache in hash order; none where no copy may be looked up
    parents: list[Backend]  # in hash order


class RoutePlanner:
    """Orders the routes of a gateway's requests."""

    def __init__(self, rules: Rules) -> None:
        """Order routes by these rules."""
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
            return RouteOptions(self._routes_elsewhere(request, sources), None, parents)
        routes = self._routes_here(request, homes, parents, sources)
        may_look_up = bool(homes) and not uncacheable and homes[0] not in request.failed_backends
        return RouteOptions(routes, homes[0] if may_look_up else None, parents)

    def is_uncacheable(self, request: Request) -> bool:
        """Return whether no copy of what a request asks for may be kept."""
        return self.rules.virtual_hosts[request.vhost].uncacheable or request.is_write

    def _fill_sources(self, request: Request, parents: list[Backend]) -> list[Backend]:
        """Return who may fill a miss, best first: parents, then the origin."""
        pool_load = self.placement.pool_load(self.pools.parents)
        if self.is_uncacheable(request):
            sources = self.pools.origins
        else:
            mean_load = self.rules.averages.load
            fitting = [
                parent
                for parent in parents
                if self.placement.within_bound(parent, pool_load, request, mean_load)
            ]
            sources = fitting + self.pools.origins
        failed = request.failed_backends
        return [source for source in sources if source not in failed] or self.pools.origins

    def _routes_here(
        self, request: Request, homes: list[Backend], parents: list[Backend], sources: list[Backend]
    ) -> Iterator[Route]:
        """Yield the routes through the caches of this location, and where allowed those past them: for what
        cannot be cached, and for all requests where every cache is ejected or cold."""
        uncacheable, bypass_allowed = self.is_uncacheable(request), self.settings.bypass_allowed
        if bypass_allowed and not uncacheable:
            yield from self._canary_routes(request, homes, parents)
        caches = [home for home in homes if home not in request.failed_backends]
        usable = self._usable(sources)
        if bypass_allowed and uncacheable:
            yield from self._past_caches(usable)
        for cache in self._bounded_order(request, caches):
            yield Route(cache, usable)
        if bypass_allowed and not uncacheable and not self._any_takes_mean_request(caches, request):
            yield from self._past_caches(usable)

    def _canary_routes(
        self, request: Request, homes: list[Backend], parents: list[Backend]
    ) -> Iterator[Route]:
        """Yield the route of an ejected parent's canary request: straight to it, as a cache's hit would pass
        for its answer."""
        if not parents or not parents[0].ejected or parents[0] in request.failed_backends:
            return
        if not (homes and self.freshness.likely_cached(request, homes[0], self.rules.host.now())):
            yield Route(parents[0], parents[:1])

    @staticmethod
    def _past_caches(sources: list[Backend]) -> Iterator[Route]:
        for source in sources:
            yield Route(source, [source])

    def _routes_elsewhere(self, request: Request, sources: list[Backend]) -> Iterator[Route]:
        """Yield the routes where this location is not used: through one cache elsewhere, where a plan says so
        (it is never a cold one), and past the caches."""
        key, usable = request.placement_key, self._usable(sources)
        substitute = self.plan.failovers[self.settings.zone].substitute(key)
        caches = self.placement.order(self.pools.caches_by_zone.get(substitute, []), key)
        if caches and caches[0] not in request.failed_backends:
            yield Route(caches[0], usable)
        yield from self._past_caches(usable)

    def _usable(self, sources: list[Backend]) -> list[Backend]:
        """Return the sources that are not left to canary routes."""
        return [source for source in sources if not (self.settings.bypass_allowed and source.ejected)]

    def _bounded_order(self, request: Request, caches: list[Backend]) -> list[Backend]:
        """Return caches in hash order, those within the load bound before the others."""
        pool_load, mean_load = self.placement.pool_load(self.pools.caches), self.rules.averages.load
        return sorted(
            caches,
            key=lambda cache: not self.placement.within_bound(cache, pool_load, request, mean_load),
        )

    def _any_takes_mean_request(self, caches: list[Backend], request: Request) -> bool:
        work, now = self.rules.virtual_hosts[request.vhost].mean_transfer_time, self.rules.host.now()
        return any(not cache.ejected and self.rules.slow_start.allows(cache, work, now) for cache in caches)
