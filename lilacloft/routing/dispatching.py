"""The gate that every attempt passes, and the counts of what is in flight.

The rules on effects, draining, slow start and purges hold here for every attempt, whoever asks for it.
"""

from __future__ import annotations

from typing import NamedTuple

from lilacloft.routing import admission, retries
from lilacloft.routing.concurrency import AdaptiveLimit
from lilacloft.routing.host import Dispatch
from lilacloft.routing.model import Backend, BackendStatus, Request
from lilacloft.routing.rules import Rules

MAX_CACHE_RANK = 2


class AttemptKind(NamedTuple):
    """What an attempt would be."""

    is_plain: bool  # not only for a cached copy
    expects_fill: bool
    fill_limit: AdaptiveLimit | None  # that its fill counts to


class Dispatcher:
    """Sends a gateway's attempts, those that all rules allow."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.host = rules.host
        self.settings = rules.settings
        self.virtual_hosts = rules.virtual_hosts
        self.slow_start = rules.slow_start
        self.freshness = rules.freshness
        self.outliers = rules.outliers

    def try_dispatch(
        self, request: Request, backend: Backend, source: Backend, cache_only: bool = False
    ) -> bool:
        """Send a request to a backend, its miss filled from a source, if all rules allow it; return whether
        it was sent. The rules on effects, draining, slow start and purges hold here for every attempt."""
        vhost, now = self.virtual_hosts[request.vhost], self.host.now()
        if request.finished or request.in_flight:
            return False
        if backend.status != BackendStatus.READY or source.status != BackendStatus.READY:
            return False
        if not retries.may_repeat(request, backend, vhost, now, self.settings.tick):
            return False
        touched = (backend,) if backend is source else (backend, source)
        if not all(self.outliers.may_send(peer, vhost, now) for peer in touched):
            return False
        kind = self._attempt_kind(request, backend, source, cache_only)
        weight = admission.priority_weight(vhost, request, self.rules.averages)
        if admission.is_overloaded(backend, request, weight):
            return False
        if not backend.concurrency_limit.allows(weight, now):
            return False
        if kind.fill_limit is not None and not kind.fill_limit.allows(weight, now):
            return False
        work = request.kbytes / self.settings.transfer_rate or vhost.mean_transfer_time
        if not all(self.slow_start.allows(peer, work, now) for peer in touched):
            return False
        self._reserve(request, backend, source, kind, work)
        self.rules.deadlines.add(
            now + vhost.latency_objective(request.transfer_time), request, request.attempts - 1
        )
        self.host.dispatch(self._dispatch(request, cache_only))
        return True

    def _attempt_kind(
        self, request: Request, backend: Backend, source: Backend, cache_only: bool
    ) -> AttemptKind:
        is_lookup = backend is source and backend in self.rules.pools.caches
        is_plain = not is_lookup and not cache_only
        expects_fill = not is_lookup and (
            backend is source or not self.freshness.likely_cached(request, backend, self.host.now())
        )
        if not expects_fill:
            return AttemptKind(is_plain, False, None)
        return AttemptKind(is_plain, True, source.concurrency_limit if cache_only else self.rules.link_limit)

    def _reserve(
        self, request: Request, backend: Backend, source: Backend, kind: AttemptKind, work: float
    ) -> None:
        """Count an attempt, which takes `work` ticks to send, where it will be in flight."""
        now = self.host.now()
        request.revalidates = (
            kind.is_plain and not self.rules.plan.standby and self.freshness.needs_revalidation(request, now)
        )
        if request.revalidates:
            request.object_part.revalidated_at = now
        for peer in (backend,) if backend is source else (backend, source):
            peer.requests[request] = None
            peer.recent_work.append((now, work))
            peer.in_flight_load += request.load_units
            if peer.ejected:
                peer.canary = request
        request.backend, request.source, request.sent_at, request.in_flight = backend, source, now, True
        request.attempts += 1
        request.expects_fill, request.fill_limit = kind.expects_fill, kind.fill_limit
        request.cache_only = not kind.is_plain
        backend.concurrency_limit.in_flight += 1
        if kind.fill_limit:
            kind.fill_limit.in_flight += 1

    def _dispatch(self, request: Request, cache_only: bool) -> Dispatch:
        now, object_part = self.host.now(), request.object_part
        return Dispatch(
            request=request,
            backend=request.backend,
            source=request.source,
            timeout=request.deadline - self.settings.tick - now,
            cache_rank=min(object_part.request_count, MAX_CACHE_RANK) if object_part else 0,
            max_age=self.freshness.max_age(request, now),
            may_collapse=object_part is not None and self.settings.collapsing and request.may_collapse,
            cache_only=cache_only,
            revalidate=request.revalidates,
        )

    @staticmethod
    def release(request: Request, backend: Backend) -> Backend:
        """Take an attempt that is over out of the counts; return its source."""
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
