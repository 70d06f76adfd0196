"""Outlier detection: when a backend is ejected, what is sent to it while ejected, and when it is restored.

A backend is ejected after so many consecutive failures that chance is an unlikely cause. Failures are
attempts that failed, that got no answer, or that are overdue while the backend answers nothing else. A source
of fills is also ejected if most fills from it are late while those from another source are not, and any
backend may be ejected by a fleet plan. The origin is never ejected, nor is a cache if at least half of the
location's caches show the same failure.

An ejected backend is sent single canary requests, with growing backoff. It is restored by an answer in time,
or by one that says that it has no copy or no room; a source also by the fill of its canary request; and any
backend by a restart, by a plan that no longer ejects it, or when its whole location fails over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from lilacloft.routing.averages import SMOOTHING
from lilacloft.routing.concurrency import TOLERATED_LATE_SHARE, AdaptiveLimit
from lilacloft.routing.fleet_plan import FleetPlan
from lilacloft.routing.host import AttemptResult, HealthChange, Host
from lilacloft.routing.model import Backend, CacheNote, Outcome, Request
from lilacloft.routing.pools import BackendPools
from lilacloft.routing.units import Ticks
from lilacloft.routing.virtual_host import VirtualHost

# Consecutive failures eject a backend once their probability, at the observed late share, is at most this.
EJECTION_PROBABILITY = 0.01
MAX_BACKOFF_FACTOR = 16  # of the longest first-byte target
FILL_WEIGHT = 1 / 4  # weight of one fill in a source's share of late fills
UNRELIABLE_SOURCE_SHARE = 0.5  # of late fills; above it a source is ejected if another's fills are in time
INITIAL_LATE_SHARE = 0.1
REFUSED_WEIGHT = 2  # a refused connection counts as this many failures

DONE = Outcome.DONE
# Outcomes that show that a backend answers, although without the object.
RESPONSIVE_OUTCOMES = (Outcome.MISS, Outcome.QUEUE_FULL)
# Outcomes that say nothing about the load of a backend.
UNTIMED_OUTCOMES = (Outcome.CANCELLED, Outcome.UNSENT, Outcome.MALFORMED, Outcome.MISS)
# Notes of answers that waited for a fill, or failed because of one.
FILL_NOTES = (
    CacheNote.FILLED_FROM_COPY,
    CacheNote.FILLED_FROM_ORIGIN,
    CacheNote.SOURCE_REFUSED,
    CacheNote.SOURCE_UNREACHABLE,
    CacheNote.ORIGIN_FAILED,
)


def has_known_size(request: Request) -> bool:
    """Return whether the transfer time of a request is known; otherwise a long wait may only mean a large
    object."""
    return bool(request.kbytes or request.object_part is None or request.object_part.min_transfer_time)


class OutlierDetector:
    """Ejects and restores backends according to the results of attempts."""

    def __init__(
        self,
        host: Host,
        pools: BackendPools,
        virtual_hosts: Sequence[VirtualHost],
        plan: FleetPlan,
        link_limit: AdaptiveLimit,
    ) -> None:
        """`link_limit`: the limit on this gateway's likely fills through its location's link."""
        self.host = host
        self.pools = pools
        self.virtual_hosts = virtual_hosts
        self.plan = plan
        self.link_limit = link_limit
        self.cancel_if_safe: Callable[[Request], None]  # set by the router
        self.late_share = INITIAL_LATE_SHARE  # share of this gateway's attempts that are late or unanswered

    # --- results of attempts ---

    def is_late(self, request: Request, result: AttemptResult) -> bool:
        """Return whether an attempt failed or took longer than the latency objective."""
        return result.outcome != DONE or result.duration > self._objective(request)

    def record(
        self,
        request: Request,
        backend: Backend,
        source: Backend,
        result: AttemptResult,
        canary: Request | None,
    ) -> None:
        """Evaluate the result of an attempt for its backend and its source. `canary`: the canary request that
        was in flight at the source."""
        late, outcome = self.is_late(request, result), result.outcome
        if outcome in RESPONSIVE_OUTCOMES or (outcome == DONE and not (backend.ejected and late)):
            self.restore(backend)  # a late answer does not restore an ejected backend
        filled = result.note in FILL_NOTES if result.note else request.expects_fill
        if outcome not in UNTIMED_OUTCOMES:
            self.late_share += SMOOTHING * (late - self.late_share)
            # a cache whose hits are late as well causes its late fills itself: it is slow, or overloaded
            filled = filled and not (late and backend.concurrency_limit.late_share > TOLERATED_LATE_SHARE)
            if self._shows_load(request, backend, outcome):
                self._record_in_limit(request, backend, result, late, filled)
        if outcome == DONE:
            if filled and source is not backend and result.duration <= self._objective(request):
                self._record_fill_in_time(request, source, result, canary)
        elif self._is_failure(request, result):
            refused = outcome == Outcome.CONNECT_FAILED  # stronger evidence than other failures
            self.record_failure(backend, REFUSED_WEIGHT if refused else 1)
        elif result.note == CacheNote.SOURCE_UNREACHABLE:
            self.record_missing_fill(source)

    def _objective(self, request: Request) -> Ticks:
        return self.virtual_hosts[request.vhost].latency_objective(request.transfer_time)

    def _shows_load(self, request: Request, backend: Backend, outcome: Outcome | str) -> bool:
        """Return whether the result of an attempt reflects the load of its backend. A reset does not, nor do
        repeated errors for an object part, as a malformed request always fails. Canary requests that test a
        whole location are evaluated by its failover."""
        if outcome == Outcome.RESET or self.plan.sends_canaries_only(backend.zone):
            return False
        request_count = request.object_part.request_count if request.object_part else 1
        return outcome != Outcome.ERROR or request.attempts == request_count == 1

    def _record_in_limit(
        self, request: Request, backend: Backend, result: AttemptResult, late: bool, filled: bool
    ) -> None:
        """Record an attempt in the limit that it counts towards: that of its fill, or that of the backend."""
        own = backend.concurrency_limit
        limit = (request.fill_limit or self.link_limit) if filled else own
        before = limit.limit
        cut_interval = self.virtual_hosts[request.vhost].first_byte_target
        limit.record(late, self.host.now(), result.duration, cut_interval)
        limited = backend if limit is own else request.source
        self.host.limit_recorded(limited, before, limit.limit, limit.late_share)

    def _record_fill_in_time(
        self, request: Request, source: Backend, result: AttemptResult, canary: Request | None
    ) -> None:
        source.late_fill_share -= source.late_fill_share * FILL_WEIGHT
        # if the cache may bypass the source, its answer vouches for the source only when a note says so
        if request is canary and (result.note or not self.pools.settings.bypass_allowed):
            self.restore(source)

    @staticmethod
    def _is_failure(request: Request, result: AttemptResult) -> bool:
        """Return whether the backend is to blame for a failed attempt. An error may be caused by the request,
        unless the object part was served before."""
        if result.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            return True
        served_before = request.object_part is not None and request.object_part.last_served_by is not None
        return result.outcome == Outcome.ERROR and not result.note and served_before

    # --- ejecting and restoring ---

    def record_failure(self, backend: Backend, weight: int = 1) -> None:
        """Count a failure; enough of them without an answer in between eject the backend."""
        backend.consecutive_failures += weight
        failure_rate = min(max(self.late_share, EJECTION_PROBABILITY**0.5), EJECTION_PROBABILITY**0.25)
        if backend.ejected or failure_rate**backend.consecutive_failures <= EJECTION_PROBABILITY:
            self.eject(backend, certain=weight > 1)

    def record_missing_fill(self, source: Backend) -> None:
        """Count a late or missing fill through a cache that answers other requests. A source is ejected if
        most of its fills are late while those of another parent are in time; if all parents are late, the
        origin is the cause."""
        source.late_fill_share += (1 - source.late_fill_share) * FILL_WEIGHT
        best_other = min(
            (parent.late_fill_share for parent in self.pools.parents if parent is not source), default=1.0
        )
        unreliable = source.late_fill_share > UNRELIABLE_SOURCE_SHARE and best_other < TOLERATED_LATE_SHARE
        if source.ejected or unreliable:
            self.eject(source)

    def eject(self, backend: Backend, certain: bool = False) -> None:
        """Limit a backend to canary requests with growing backoff, and cancel the attempts waiting for it. A
        cache is not ejected if at least half of the location's caches show the same failure, as the cause
        is then elsewhere, unless the failure is `certain` (connections are refused)."""
        if self.plan.sends_canaries_only(backend.zone):
            return
        now, caches = self.host.now(), self.pools.caches
        others = sum(cache.ejected for cache in caches if cache is not backend)
        is_shared_fault = backend in caches and not certain and 2 * others >= len(caches)
        if self.pools.is_origin(backend) or is_shared_fault:
            for cache in caches:
                cache.retry_at = min(cache.retry_at, now)  # ejected caches may have recovered
            return
        longest = max(vhost.first_byte_target for vhost in self.virtual_hosts)
        backend.backoff = min(max(longest, 2 * backend.backoff), MAX_BACKOFF_FACTOR * longest)
        backend.retry_at = now + backend.backoff
        if not backend.ejected:
            backend.ejected = True
            self.host.health_changed(backend, HealthChange.EJECTED, self._ejection_reason(backend))
            for request in list(backend.requests):
                is_affected = request.backend is backend or request.expects_fill
                if request.sent_at > backend.last_answer_at and is_affected:
                    self.cancel_if_safe(request)

    @staticmethod
    def _ejection_reason(backend: Backend) -> str:
        if backend.late_fill_share:  # more specific than the failures, which late fills also count as
            return f"{backend.late_fill_share:.1f} of its fills late"
        return f"{backend.consecutive_failures} symptoms in a row"

    def restore(self, backend: Backend) -> None:
        """Record that a backend answers, and restore it if it is ejected."""
        if backend.ejected:
            self.host.health_changed(backend, HealthChange.RESTORED, "answers again")
        backend.last_answer_at = self.host.now()
        self._reset(backend)

    def clear_failures(self, backend: Backend) -> None:
        """Reset the failures and the ejection of a backend whose whole location fails over: the backend
        itself is not the cause."""
        if backend.ejected:
            self.host.health_changed(backend, HealthChange.RESTORED, "its location is left")
        self._reset(backend)

    @staticmethod
    def _reset(backend: Backend) -> None:
        backend.consecutive_failures, backend.backoff = 0, 0
        backend.ejected, backend.late_fill_share = False, 0.0

    @staticmethod
    def may_send_canary(backend: Backend, vhost: VirtualHost, now: Ticks) -> bool:
        """Return whether an ejected backend may be sent a canary request: one at a time, and only requests
        that may be executed any number of times."""
        return now >= backend.retry_at and backend.canary is None and vhost.is_safe
