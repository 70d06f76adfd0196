"""Outlier detection: when a backend is ejected, what goes to it then, and when it is restored.

A backend is ejected after failures in a row that are too unlikely to be chance: attempts that failed, that
got no answer, or that are overdue while nothing else is answered. A source of fills is ejected as well
where most fills from it come late and another's do not, and any backend by a plan of the fleet. Not
ejected: the origin, and a cache whose failure most caches of the location share.

While it is ejected only single canary requests go there, with a growing backoff. It is restored by an
answer in time, or one that says that it has no copy or no room; a source by its canary's fill; any by a
new start, by a plan that ejects it no more, or as its whole location is left.
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

CHANCE = 0.01  # failures in a row eject a backend once, at the late share seen, they are rarer than this
MAX_BACKOFF_FACTOR = 16  # of the longest first-byte target
FILL_WEIGHT = 1 / 4  # weight of one fill in a source's share of late ones
UNRELIABLE_SOURCE_SHARE = 0.5  # of late fills, above which a source is ejected while another's come in time
INITIAL_LATE_SHARE = 0.1
REFUSED_WEIGHT = 2  # failures that a refused connection counts as

DONE = Outcome.DONE
# Outcomes that show that a backend answers, if not with what was asked for.
ALIVE = (Outcome.MISS, Outcome.QUEUE_FULL)
# Outcomes that tell nothing of how busy a backend is.
UNTIMED = (Outcome.CANCELLED, Outcome.UNSENT, Outcome.MALFORMED, Outcome.MISS)
# Notes of answers that waited for a fill, or failed for one.
FILL_NOTES = (
    CacheNote.FILLED_FROM_COPY,
    CacheNote.FILLED_FROM_ORIGIN,
    CacheNote.SOURCE_REFUSED,
    CacheNote.SOURCE_UNREACHABLE,
    CacheNote.ORIGIN_FAILED,
)


def has_known_size(request: Request) -> bool:
    """Return whether its transfer time is known; else a long wait may only mean a large object."""
    return bool(request.kbytes or request.object_part is None or request.object_part.min_transfer_time)


class OutlierDetector:
    """Judges backends by how attempts there end."""

    def __init__(
        self,
        host: Host,
        pools: BackendPools,
        virtual_hosts: Sequence[VirtualHost],
        plan: FleetPlan,
        link_limit: AdaptiveLimit,
    ) -> None:
        """`link_limit`: that on the likely fills of this gateway through its location's link."""
        self.host = host
        self.pools = pools
        self.virtual_hosts = virtual_hosts
        self.plan = plan
        self.link_limit = link_limit
        self.cancel_if_safe: Callable[[Request], None]  # set by the router
        self.late_share = INITIAL_LATE_SHARE  # of this gateway's attempts that come late, or not at all

    # --- what the end of an attempt shows ---

    def is_late(self, request: Request, result: AttemptResult) -> bool:
        """Return whether an attempt brought no answer in time."""
        return result.outcome != DONE or result.duration > self._objective(request)

    def record(
        self,
        request: Request,
        backend: Backend,
        source: Backend,
        result: AttemptResult,
        canary: Request | None,
    ) -> None:
        """Judge a backend and its source by how an attempt ended. `canary`: what was in flight at the source
        as its canary request."""
        late, outcome = self.is_late(request, result), result.outcome
        if outcome in ALIVE or (outcome == DONE and not (backend.ejected and late)):
            self.restore(backend)  # an answer far too late restores no ejected backend
        filled = result.note in FILL_NOTES if result.note else request.expects_fill
        if outcome not in UNTIMED:
            self.late_share += SMOOTHING * (late - self.late_share)
            # a cache whose hits are late as well is to blame for its late fills: it is slow, or overloaded
            filled = filled and not (late and backend.concurrency_limit.late_share > TOLERATED_LATE_SHARE)
            if self._shows_load(request, backend, outcome):
                self._record_in_limit(request, backend, result, late, filled)
        if outcome == DONE:
            if filled and source is not backend and result.duration <= self._objective(request):
                self._record_fill_in_time(request, source, result, canary)
        elif self._is_failure(request, result):
            refused = outcome == Outcome.CONNECT_FAILED  # which tells more
            self.record_failure(backend, REFUSED_WEIGHT if refused else 1)
        elif result.note == CacheNote.SOURCE_UNREACHABLE:
            self.record_missing_fill(source)

    def _objective(self, request: Request) -> Ticks:
        return self.virtual_hosts[request.vhost].latency_objective(request.transfer_time)

    def _shows_load(self, request: Request, backend: Backend, outcome: Outcome | str) -> bool:
        """Return whether an attempt tells how loaded a backend is. A reset does not, nor do further errors
        for an object part: a malformed request always fails. Canaries of a location are judged elsewhere."""
        if outcome == Outcome.RESET or self.plan.sends_canaries_only(backend.zone):
            return False
        asked = request.object_part.request_count if request.object_part else 1
        return outcome != Outcome.ERROR or request.attempts == asked == 1

    def _record_in_limit(
        self, request: Request, backend: Backend, result: AttemptResult, late: bool, filled: bool
    ) -> None:
        """Take an attempt in at the limit that it counts to: of its fill, or of the backend."""
        own = backend.concurrency_limit
        limit = (request.fill_limit or self.link_limit) if filled else own
        before = limit.limit
        cut_interval = self.virtual_hosts[request.vhost].first_byte_target
        limit.record(late, self.host.now(), result.duration, cut_interval)
        whose = backend if limit is own else request.source
        self.host.limit_recorded(whose, before, limit.limit, limit.late_share)

    def _record_fill_in_time(
        self, request: Request, source: Backend, result: AttemptResult, canary: Request | None
    ) -> None:
        source.late_fill_share -= source.late_fill_share * FILL_WEIGHT
        # where it could be passed over, a cache's answer tells of the source only if the cache says so
        if request is canary and (result.note or not self.pools.settings.bypass_allowed):
            self.restore(source)

    @staticmethod
    def _is_failure(request: Request, result: AttemptResult) -> bool:
        """Return whether an attempt failed by its backend's doing. An error may be the client's, unless the
        object part was served before."""
        if result.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            return True
        served_before = request.object_part is not None and request.object_part.last_served_by is not None
        return result.outcome == Outcome.ERROR and not result.note and served_before

    # --- ejecting and restoring ---

    def record_failure(self, backend: Backend, weight: int = 1) -> None:
        """Count a failure with no answer since the last one; enough in a row eject a backend."""
        backend.consecutive_failures += weight
        usual = min(max(self.late_share, CHANCE**0.5), CHANCE**0.25)
        if backend.ejected or usual**backend.consecutive_failures <= CHANCE:
            self.eject(backend, certain=weight > 1)

    def record_missing_fill(self, source: Backend) -> None:
        """Count a fill that came late, or not at all, through a cache that answers others. A source that most
        fills wait for, while another's come, is ejected; what all parents show is the origin's doing."""
        source.late_fill_share += (1 - source.late_fill_share) * FILL_WEIGHT
        best_other = min(
            (parent.late_fill_share for parent in self.pools.parents if parent is not source), default=1.0
        )
        unreliable = source.late_fill_share > UNRELIABLE_SOURCE_SHARE and best_other < TOLERATED_LATE_SHARE
        if source.ejected or unreliable:
            self.eject(source)

    def eject(self, backend: Backend, certain: bool = False) -> None:
        """Leave a backend to canary requests, more and more sparsely, and cancel what waits for it. What most
        caches of the location show is not their doing, unless it is `certain` (connections are refused)."""
        if self.plan.sends_canaries_only(backend.zone):
            return
        now, caches = self.host.now(), self.pools.caches
        others = sum(cache.ejected for cache in caches if cache is not backend)
        is_shared_fault = backend in caches and not certain and 2 * others >= len(caches)
        if self.pools.is_origin(backend) or is_shared_fault:
            for cache in caches:
                cache.retry_at = min(cache.retry_at, now)  # those that are ejected may be back
            return
        longest = max(vhost.first_byte_target for vhost in self.virtual_hosts)
        backend.backoff = min(max(longest, 2 * backend.backoff), MAX_BACKOFF_FACTOR * longest)
        backend.retry_at = now + backend.backoff
        if not backend.ejected:
            backend.ejected = True
            self.host.health_changed(backend, HealthChange.EJECTED, self._ejection_reason(backend))
            for request in list(backend.requests):
                concerned = request.backend is backend or request.expects_fill
                if request.sent_at > backend.last_answer_at and concerned:
                    self.cancel_if_safe(request)

    @staticmethod
    def _ejection_reason(backend: Backend) -> str:
        if backend.late_fill_share:  # tells more than the failures, which such fills also count as
            return f"{backend.late_fill_share:.1f} of its fills late"
        return f"{backend.consecutive_failures} symptoms in a row"

    def restore(self, backend: Backend) -> None:
        """Note that a backend answers. One that is ejected is restored."""
        if backend.ejected:
            self.host.health_changed(backend, HealthChange.RESTORED, "answers again")
        backend.last_answer_at = self.host.now()
        self._reset(backend)

    def forgive(self, backend: Backend) -> None:
        """Forget what a backend has shown, as its whole location is left: that is not its own doing."""
        if backend.ejected:
            self.host.health_changed(backend, HealthChange.RESTORED, "its location is left")
        self._reset(backend)

    @staticmethod
    def _reset(backend: Backend) -> None:
        backend.consecutive_failures, backend.backoff = 0, 0
        backend.ejected, backend.late_fill_share = False, 0.0

    @staticmethod
    def may_send_canary(backend: Backend, vhost: VirtualHost, now: Ticks) -> bool:
        """Return whether an ejected backend may be sent a canary request: one at a time, which may be
        executed any number of times."""
        return now >= backend.retry_at and backend.canary is None and vhost.is_safe
