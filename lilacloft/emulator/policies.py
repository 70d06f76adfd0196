"""Baseline policies for comparison: routers that differ from the gateway's own in one decision.

Each is the `Router` with one or two of its rules replaced, so that they all pass the same checks of the
five rules and differ only in what they are named for: the order in which caches are tried, the load bound,
request collapsing, revalidation, outlier detection and concurrency limits. The oracle reads the emulated
state itself, which no gateway can, and so estimates how much could be gained; it does not prove an optimum.
No I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.dispatching import Dispatcher
from lilacloft.routing.freshness import Freshness
from lilacloft.routing.host import Endpoint, ListMode
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.outliers import OutlierDetector
from lilacloft.routing.rendezvous import PoolLoad, Rendezvous
from lilacloft.routing.router import Router
from lilacloft.routing.rules import Rules
from lilacloft.routing.units import Ticks

NO_LIMIT = 1e9
SMALL_KB = 4  # requests up to this size are always accepted


class Unlimited(AdaptiveLimit):
    """A concurrency limit that allows everything."""

    def __init__(self) -> None:
        super().__init__(NO_LIMIT, 1.0)

    def allows(self, weight: float, now: Ticks) -> bool:
        return True


class NoOutliers(OutlierDetector):
    """Ejects no backend."""

    def record_failure(self, backend: Backend, weight: int = 1) -> None:
        """Ignore failures."""

    def record_missing_fill(self, source: Backend) -> None:
        """Ignore missing fills."""


class Unbounded(Rendezvous):
    """Hash order without a load bound: the home takes all requests for its parts."""

    def within_bound(self, backend: Backend, pool: PoolLoad, request: Request, mean_load: float) -> bool:
        return True


class RandomOrder(Unbounded):
    """Caches in a random order, drawn anew for each attempt."""

    def __init__(self, seed: str) -> None:
        self.seed = seed
        self.orders = 0

    def order(self, pool: Sequence[Backend], key: str) -> list[Backend]:
        self.orders += 1
        prefix = f"{self.seed} {self.orders}"
        return sorted(pool, key=lambda backend: zlib.crc32(f"{prefix} {backend.name}".encode()))


def own_load(backend: Backend) -> float:
    """Return this gateway's own load on a backend, relative to its capacity."""
    return backend.in_flight_load / backend.capacity


class TwoChoices(RandomOrder):
    """Power of two choices: of two random caches the one with less of this gateway's own load first."""

    def order(self, pool: Sequence[Backend], key: str) -> list[Backend]:
        shuffled = super().order(pool, key)
        return sorted(shuffled[:2], key=own_load) + shuffled[2:]


class LeastLoaded(RandomOrder):
    """Caches by increasing load from this gateway."""

    def order(self, pool: Sequence[Backend], key: str) -> list[Backend]:
        return sorted(super().order(pool, key), key=own_load)


class BareRouter(Router):
    """Without outlier detection and concurrency limits: uses all listed backends, however they answer."""

    @staticmethod
    def make_rules(host: Any, settings: Mapping[str, Any]) -> Rules:
        rules = Rules.make(host, settings)
        rules.link_limit = Unlimited()
        rules.settings.health_checks = False
        rules.outliers = NoOutliers(host, rules.pools, rules.virtual_hosts, rules.plan, rules.link_limit)
        return rules

    def endpoints_changed(self, mode: ListMode | str, endpoints: Iterable[Endpoint]) -> None:
        super().endpoints_changed(mode, endpoints)
        for backend in self.pools.backends:
            limit = backend.concurrency_limit
            if limit is not None and not isinstance(limit, Unlimited):
                backend.concurrency_limit = Unlimited()


def with_placement(base: type[Router], make: Callable[[Any], Rendezvous]) -> type[Router]:
    """Return a router class with another placement, made by `make` from the host."""

    class Placed(base):
        """A baseline with another placement."""

        @staticmethod
        def make_rules(host: Any, settings: Mapping[str, Any]) -> Rules:
            rules = base.make_rules(host, settings)
            rules.placement = make(host)
            return rules

    return Placed


def host_name(host: Any) -> str:
    """Return the name of the gateway whose decisions a host carries out."""
    return getattr(host, "name", "")


class NoCollapsing(Router):
    """Fills are never joined."""

    def __init__(self, host: Any, settings: Mapping[str, Any]) -> None:
        super().__init__(host, settings)
        self.settings.collapsing = False


class NeverRevalidated(Freshness):
    """Has no copy revalidated."""

    def needs_revalidation(self, request: Request, now: Ticks) -> bool:
        return False


class NoRevalidation(Router):
    """No background revalidation: a request that finds its copy too old waits for a new one."""

    @staticmethod
    def make_rules(host: Any, settings: Mapping[str, Any]) -> Rules:
        rules = Rules.make(host, settings)
        rules.freshness = NeverRevalidated(rules.virtual_hosts, rules.settings.purge_lifetime)
        return rules


class OraclePlacement(Rendezvous):
    """Orders caches by their actual copies and available bandwidth."""

    def __init__(self, host: Any) -> None:
        self.host = host

    def order(self, pool: Sequence[Backend], key: str) -> list[Backend]:
        words = key.split()
        part_key = (words[0], int(words[1]) if len(words) > 1 else 0)
        fleet = self.host.fleet

        def rank(backend: Backend) -> tuple[Any, ...]:
            box = self.host.boxes[backend]
            rate = box.out.capacity / max(1, len(box.out.flows) + 1)
            is_full = len(box.open) >= box.slots
            has_copy = box.copies.peek(part_key) is not None or part_key in box.fills
            return (
                self._is_lost(backend),
                is_full,
                rate < 0.25 * fleet.pace,
                not has_copy,
                -rate,
                backend.name,
            )

        return sorted(pool, key=rank)

    def _is_lost(self, backend: Backend) -> bool:
        box, fleet = self.host.boxes[backend], self.host.fleet
        return box.silent or box.dead or fleet.cut(self.host, box) or fleet.cut(box, self.host)

    def within_bound(self, backend: Backend, pool: PoolLoad, request: Request, mean_load: float) -> bool:
        box = self.host.boxes[backend]
        return not (box.silent or box.dead or self.host.fleet.cut(self.host, box))


class OracleFreshness(Freshness):
    """Knows which cache has a copy."""

    host: Any = None

    def likely_cached(self, request: Request, backend: Backend, now: Ticks) -> bool:
        return self.host.boxes[backend].copies.peek(request.part_key) is not None


class OracleDispatcher(Dispatcher):
    """Skips backends whose links are saturated, counting the transfers of all gateways."""

    def source_accepts(
        self, request: Request, backend: Backend, source: Backend, cache_only: bool, weight: float
    ) -> bool:
        host = self.host
        box, fleet = host.boxes[backend], host.fleet
        value = self.rules.virtual_hosts[request.vhost].value / (self.rules.averages.value or 1.0)
        headroom = 1.0 + min(1.0, max(0.0, value / 2))
        links = [box.out]
        has_copy = self.freshness.likely_cached(request, backend, host.now())
        if source is not backend and not has_copy and request.part_key not in box.fills:
            links += [fleet.ingress_links[self.settings.zone], host.boxes[source].out]
        is_large = request.kbytes > SMALL_KB
        if is_large and any(link.wanted + fleet.pace > headroom * link.capacity for link in links):
            return False
        return super().source_accepts(request, backend, source, cache_only, weight)


class Oracle(BareRouter):
    """Router with perfect knowledge of server health, cached copies and link utilisation."""

    def __init__(self, host: Any, settings: Mapping[str, Any]) -> None:
        super().__init__(host, settings)
        self.dispatcher = OracleDispatcher(self.rules)

    @staticmethod
    def make_rules(host: Any, settings: Mapping[str, Any]) -> Rules:
        rules = BareRouter.make_rules(host, settings)
        rules.placement = OraclePlacement(host)
        rules.freshness = OracleFreshness(rules.virtual_hosts, rules.settings.purge_lifetime)
        rules.freshness.host = host
        return rules


POLICIES: dict[str, Callable[[Any, Any], Any]] = {
    "module": Router,
    "hash": with_placement(BareRouter, lambda host: Unbounded()),
    "bounded": BareRouter,
    "random": with_placement(BareRouter, lambda host: RandomOrder(host_name(host))),
    "two": with_placement(BareRouter, lambda host: TwoChoices(host_name(host))),
    "least": with_placement(BareRouter, lambda host: LeastLoaded(host_name(host))),
    "hash+health": with_placement(Router, lambda host: Unbounded()),
    "two+health": with_placement(Router, lambda host: TwoChoices(host_name(host))),
    "least+health": with_placement(Router, lambda host: LeastLoaded(host_name(host))),
    "no-joins": NoCollapsing,
    "no-renewals": NoRevalidation,
    "oracle": Oracle,
}
