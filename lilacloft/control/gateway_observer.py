"""Connects a gateway's router to its side of the control plane: counts the results of attempts, and applies
plans.

It is used by real gateways and in the emulator: the caller reports completed attempts, calls `observe` once
per report interval, and transports the messages. The module does no I/O. `time` is the router's clock,
`monotonic_time` the gateway's own monotonic clock, both in `Ticks`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lilacloft.control.backend_stats import FAILED, IN_TIME, LATE, BackendState
from lilacloft.control.follower import REPORT_INTERVAL, Follower, PlanEffect
from lilacloft.routing.fleet_plan import PlanUpdate
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.router import Router
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

OVERDUE_SHARE = 0.5  # of the latency objective, after which an attempt counts as overdue
OVERDUE_FILL_SHARE = 1.0  # the same for a likely fill, whose source may be slow
RATE_WEIGHT = 1 / 4  # weight of one interval in the smoothed rates
SIZE_WEIGHT = 1 / 16  # weight of one answer in the mean size
ANSWERED = ("done", "miss", "full", "error")  # outcomes of attempts
UNANSWERED = ("timeout", "reset", "unreached")
FILLED_NOTES = (2, 3)  # notes of answers that a cache filled for the request


@dataclass(frozen=True)
class EndedAttempt:
    """A completed attempt."""

    backend: Backend
    vhost: int
    outcome: str
    duration: Ticks
    transfer_time: float  # expected for the request; the latency objective depends on it
    note: int  # of the answer
    kbytes: float
    source: Backend  # of the fill; the backend itself if there is none


class GatewayObserver:
    """Counts and applies for one gateway."""

    def __init__(self, router: Router, vhosts: Sequence[str], follower: Follower) -> None:
        """`vhosts`: the names of the virtual hosts, by index."""
        self.router, self.vhosts, self.follower = router, list(vhosts), follower
        self._fills: dict[str, float] = {}  # KB in this interval, by virtual host
        self._uncached = 0.0  # KB in this interval that bypassed the caches
        self._mean_kbytes = 0.0  # of an answer

    # --- attempts ---

    def attempt_ended(self, attempt: EndedAttempt) -> None:
        """Count a completed attempt."""
        result = self._result(attempt)
        if result:
            self.follower.record_attempt(attempt.backend.name, result)
        self._count_for_location(attempt, result)
        if attempt.outcome == "done":
            self._count_answer(attempt, result)

    def _result(self, attempt: EndedAttempt) -> str:
        """Return the result that counts for the backend; empty if the attempt does not count."""
        if attempt.outcome in ANSWERED:
            return LATE if self._is_late(attempt) else IN_TIME
        return FAILED if attempt.outcome in UNANSWERED else ""

    def _is_late(self, attempt: EndedAttempt) -> bool:
        vhost = self.router.virtual_hosts[attempt.vhost]
        return attempt.duration > vhost.latency_objective(attempt.transfer_time)

    def _count_for_location(self, attempt: EndedAttempt, result: str) -> None:
        local_failover = self.follower.local_failover
        if not local_failover:
            return
        if attempt.outcome == "cancelled" and self._is_late(attempt):
            result = FAILED  # a canary request, cancelled after its latency objective
        if not result or self.router.pools.is_origin(attempt.backend):
            return
        is_hit = attempt.outcome == "done" and attempt.note not in FILLED_NOTES
        local_failover.attempt_ended(
            attempt.backend.zone, result, is_hit, self.follower.now, self.router.host.now()
        )

    def _count_answer(self, attempt: EndedAttempt, result: str) -> None:
        weight = SIZE_WEIGHT if self._mean_kbytes else 1
        self._mean_kbytes += ((attempt.kbytes or 1.0) - self._mean_kbytes) * weight
        is_filled, source = attempt.note in FILLED_NOTES, attempt.source
        if source is not attempt.backend and is_filled and result == IN_TIME:
            self.follower.stats.record_fill(source.name)
        pools = self.router.pools
        bypasses_caches = pools.is_parent(attempt.backend) or pools.is_origin(attempt.backend)
        kbytes = max(1.0, attempt.kbytes)
        if bypasses_caches:
            self._uncached += kbytes
        if is_filled or bypasses_caches:
            name = self.vhosts[attempt.vhost]
            self._fills[name] = self._fills.get(name, 0.0) + kbytes
            value = self.router.virtual_hosts[attempt.vhost].value
            self.follower.load.values_per_kb[name] = value / kbytes

    # --- state ---

    def backends_changed(
        self, names: Iterable[str], list_version: int, time: Ticks, monotonic_time: Ticks
    ) -> None:
        """Record the backends that the change log has changed, as of a change log number."""
        slow_start = self.router.settings.cache_slow_start.duration
        cold = {
            backend.name
            for backend in self.router.pools.caches
            if backend.started and time - backend.started < slow_start + TICKS_PER_SECOND
        }
        self.follower.update_list(names, list_version, cold, monotonic_time)

    def observe(self, requests: int, list_version: int, time: Ticks, monotonic_time: Ticks) -> None:
        """Update the backends' states from the router. `requests`: the number of requests since the last
        call."""
        follower, router = self.follower, self.router
        follower.now = monotonic_time
        self._update_rates(requests)
        for backend in router.pools.backends:
            # the origin's answers distinguish a bad path of this gateway from a failing location
            if not router.pools.is_origin(backend) or follower.local_failover:
                follower.update_state(backend.name, self._state(backend, time))
        self.backends_changed((), list_version, time, monotonic_time)
        follower.quota.update_used(
            {
                backend.name: router.slow_start.used_share(backend, time)
                for backend in router.pools.caches
                if backend.name in follower.quota.ledgers
            }
        )

    def _update_rates(self, requests: int) -> None:
        load = self.follower.load
        load.request_rate = _smoothed(load.request_rate, requests)
        for name in sorted(load.fill_rates.keys() | self._fills.keys()):
            before = load.fill_rates.get(name, 0.0)
            load.fill_rates[name] = _smoothed(before, self._fills.get(name, 0.0))
        load.uncached_rate = _smoothed(load.uncached_rate, self._uncached)
        load.requested_rate = load.request_rate * self._mean_kbytes
        self._uncached = 0.0
        self._fills.clear()

    def _state(self, backend: Backend, time: Ticks) -> BackendState:
        overdue, missing_fills = self._overdue(backend, time)
        return BackendState(
            in_flight=len(backend.requests),
            is_ejected=backend.ejected and backend.name not in self.router.plan.ejections,
            concurrency_limit=backend.concurrency_limit.limit if backend.concurrency_limit else 0.0,
            overdue=overdue,
            silent_for=time - backend.last_answer_at + 1 if backend.last_answer_at else 0,
            missing_fills=missing_fills,
        )

    def _overdue(self, backend: Backend, time: Ticks) -> tuple[int, int]:
        """Return the number of overdue attempts at a backend that has not answered since they were sent, and
        the number of overdue fills of which it is the source while their caches answer other requests."""
        attempts = fills = 0
        for request in backend.requests:
            if not self._is_overdue(request, time):
                continue
            if request.backend is backend:
                attempts += backend.last_answer_at < request.sent_at
            elif request.expects_fill and request.backend.last_answer_at >= request.sent_at:
                fills += 1
        return attempts, fills

    def _is_overdue(self, request: Request, time: Ticks) -> bool:
        objective = self.router.virtual_hosts[request.vhost].latency_objective(request.transfer_time)
        share = OVERDUE_FILL_SHARE if request.expects_fill else OVERDUE_SHARE
        return time - request.sent_at > objective * share

    # --- plans ---

    def apply(self, time: Ticks, monotonic_time: Ticks) -> PlanEffect:
        """Apply the control plane's current effect to the router, and return it."""
        effect = self.follower.effect(monotonic_time)
        ejections = {
            backend: until + time - monotonic_time if until else 0
            for backend, until in effect.ejections.items()
        }
        self.router.plan_changed(
            PlanUpdate(
                ejections,
                effect.concurrency_limits,
                effect.fill_limit,
                dict(effect.budget_factors),
                effect.failovers,
            )
        )
        return effect


def _smoothed(rate: float, amount: float) -> float:
    """Return a rate per second, updated with the amount of one report interval."""
    return rate + (amount * TICKS_PER_SECOND / REPORT_INTERVAL - rate) * RATE_WEIGHT
