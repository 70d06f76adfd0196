"""Sending of attempts: the checks that every attempt must pass, and the accounting of attempts in flight.

The rules on idempotency, draining, slow start and load are enforced here for every attempt, whichever code
path sends it.
"""

from __future__ import annotations

from collections.abc import Iterable

from lilacloft.routing import admission, retries
from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.host import Dispatch
from lilacloft.routing.model import Backend, BackendStatus, Request
from lilacloft.routing.routes import Route
from lilacloft.routing.rules import Rules
from lilacloft.routing.units import Ticks
from lilacloft.routing.virtual_host import VirtualHost

MAX_CACHE_RANK = 2
READY = BackendStatus.READY


class Dispatcher:
    """Sends a gateway's attempts where all rules allow them."""

    def __init__(self, rules: Rules) -> None:
        """Enforce the given rules."""
        self.rules = rules
        self.host = rules.host
        self.settings = rules.settings
        self.pools = rules.pools
        self.slow_start = rules.slow_start
        self.freshness = rules.freshness
        self.outliers = rules.outliers

    def send_first(self, request: Request, routes: Iterable[Route], cache_only: bool = False) -> bool:
        """Send a request on the first route that all rules allow; return whether it was sent. `cache_only`:
        request only a cached copy."""
        if request.finished or request.in_flight:
            return False
        vhost, now = self.rules.virtual_hosts[request.vhost], self.host.now()
        weight = admission.priority_weight(vhost, request, self.rules.averages)
        for backend, sources in routes:
            if not sources or not self.backend_accepts(request, backend, vhost, weight, now):
                continue
            for source in sources:
                if self.source_accepts(request, backend, source, cache_only, weight):
                    self._send(request, backend, source, cache_only)
                    return True
        return False

    def backend_accepts(
        self, request: Request, backend: Backend, vhost: VirtualHost, weight: float, now: Ticks
    ) -> bool:
        """Return whether a backend may take a request, regardless of the source that fills a miss."""
        return (
            backend.status == READY
            and retries.may_repeat(request, backend, vhost, now, self.settings.tick)
            and (not backend.ejected or self.outliers.may_send_canary(backend, vhost, now))
            and not admission.is_overloaded(backend, request, weight)
            and backend.concurrency_limit.allows(weight, now)
        )

    def source_accepts(
        self, request: Request, backend: Backend, source: Backend, cache_only: bool, weight: float
    ) -> bool:
        """Return whether a miss at a backend that accepts a request may be filled from `source`, and slow
        start allows the request at both."""
        vhost, now = self.rules.virtual_hosts[request.vhost], self.host.now()
        if source is not backend:
            if source.status != READY:
                return False
            if source.ejected and not self.outliers.may_send_canary(source, vhost, now):
                return False
        limit = self._fill_limit(request, backend, source, cache_only)
        if limit is not None and not limit.allows(weight, now):
            return False
        work = request.kbytes / self.settings.transfer_rate or vhost.mean_transfer_time
        if not self.slow_start.allows(backend, work, now):
            return False
        return source is backend or self.slow_start.allows(source, work, now)

    def _is_lookup(self, backend: Backend, source: Backend) -> bool:
        """Return whether an attempt asks a cache for a copy and gives it no source to fill a miss from."""
        return source is backend and backend in self.pools.caches

    def _expects_fill(self, request: Request, backend: Backend, source: Backend) -> bool:
        """Return whether an attempt is likely to need a fill."""
        if source is backend:
            return backend not in self.pools.caches
        return not self.freshness.likely_cached(request, backend, self.host.now())

    def _fill_limit(
        self, request: Request, backend: Backend, source: Backend, cache_only: bool
    ) -> AdaptiveLimit | None:
        """Return the limit that the fill of an attempt counts towards; None if no fill is likely."""
        if not self._expects_fill(request, backend, source):
            return None
        return source.concurrency_limit if cache_only else self.rules.link_limit

    def _send(self, request: Request, backend: Backend, source: Backend, cache_only: bool) -> None:
        """Account for an attempt at its backend, its source and the limits, and send it."""
        vhost, now = self.rules.virtual_hosts[request.vhost], self.host.now()
        request.fill_limit = self._fill_limit(request, backend, source, cache_only)
        request.expects_fill = request.fill_limit is not None
        request.cache_only = cache_only or self._is_lookup(backend, source)
        request.revalidates = (
            not request.cache_only
            and not self.rules.plan.standby
            and self.freshness.needs_revalidation(request, now)
        )
        if request.revalidates:
            request.object_part.revalidated_at = now
        work = request.kbytes / self.settings.transfer_rate or vhost.mean_transfer_time
        for peer in (backend,) if backend is source else (backend, source):
            peer.requests[request] = None
            peer.recent_work.append((now, work))
            peer.in_flight_load += request.load_units
            if peer.ejected:
                peer.canary = request
        request.backend, request.source, request.sent_at, request.in_flight = backend, source, now, True
        request.attempts += 1
        backend.concurrency_limit.in_flight += 1
        if request.fill_limit is not None:
            request.fill_limit.in_flight += 1
        overdue_at = now + vhost.latency_objective(request.transfer_time)
        self.rules.deadlines.add(overdue_at, request, request.attempts - 1)
        self.host.dispatch(self._dispatch(request, cache_only, now))

    def _dispatch(self, request: Request, cache_only: bool, now: Ticks) -> Dispatch:
        object_part = request.object_part
        return Dispatch(
            request,
            request.backend,
            request.source,
            timeout=request.deadline - self.settings.tick - now,
            cache_rank=min(object_part.request_count, MAX_CACHE_RANK) if object_part else 0,
            max_age=self.freshness.max_age(request, now),
            may_collapse=object_part is not None and self.settings.collapsing and request.may_collapse,
            cache_only=cache_only,
            revalidate=request.revalidates,
        )

    @staticmethod
    def release(request: Request, backend: Backend) -> Backend:
        """Remove an ended attempt from the accounting; return its source."""
        source = request.source
        for peer in (backend,) if backend is source else (backend, source):
            peer.in_flight_load = max(0.0, peer.in_flight_load - request.load_units)
            peer.requests.pop(request, None)
            if peer.canary is request:
                peer.canary = None
        backend.concurrency_limit.in_flight -= 1
        if request.fill_limit:
            request.fill_limit.in_flight -= 1
        request.in_flight = request.streaming = False
        return source
