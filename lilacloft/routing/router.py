"""The router: receives the events of a gateway, and acts on them through a `Host`.

Create one `Router` per gateway from a `Host` (host.py) and the settings, and call the method for each event.
The router acts by calling the host before the method returns. This module defines the order in which the
rules are applied; the rules themselves are in the other modules of this package.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from lilacloft.routing import retries
from lilacloft.routing.concurrency import INITIAL_FACTOR, TOLERATED_LATE_SHARE, AdaptiveLimit
from lilacloft.routing.deadlines import WHOLE_REQUEST, Deadline
from lilacloft.routing.dispatching import Dispatcher
from lilacloft.routing.fleet_plan import PlanUpdate
from lilacloft.routing.host import AttemptResult, Endpoint, Host, ListMode, Timer
from lilacloft.routing.model import Backend, BackendStatus, Outcome, RejectReason, Request
from lilacloft.routing.outliers import has_known_size
from lilacloft.routing.routes import Route, RouteOptions, RoutePlanner
from lilacloft.routing.rules import Rules
from lilacloft.routing.units import Ticks

MAINTENANCE_INTERVAL: Ticks = 5_000
DEADLINE, DONE = Timer.DEADLINE, Outcome.DONE
OVERDUE_FACTOR = 2  # an attempt that exceeds this multiple of its objective is cancelled, if that is safe


class Router:
    """One gateway's decisions."""

    def __init__(self, host: Host, settings: Mapping[str, Any]) -> None:
        """`settings`: validated settings with internal names (lilacloft/protocol_settings.py)."""
        self.rules = rules = self.make_rules(host, settings)
        self.host = host
        self.settings = rules.settings
        self.virtual_hosts = rules.virtual_hosts
        self.averages = rules.averages
        self.pools = rules.pools
        self.plan = rules.plan
        self.slow_start = rules.slow_start
        self.freshness = rules.freshness
        self.load_reports = rules.load_reports
        self.deadlines = rules.deadlines
        self.link_limit = rules.link_limit
        self.outliers = rules.outliers
        self.outliers.cancel_if_safe = self.cancel_if_safe
        self.routes = RoutePlanner(rules)
        self.dispatcher = Dispatcher(rules)
        self.lagging_until: Ticks = 0  # until then this gateway lags itself, and treats no attempt as overdue
        if self.settings.subscribes:
            self.timer_fired(Timer.SUBSCRIBE)
        self.timer_fired(Timer.MAINTENANCE)

    @staticmethod
    def make_rules(host: Host, settings: Mapping[str, Any]) -> Rules:
        """Create the rules; baseline policies override this to replace some of them."""
        return Rules.make(host, settings)

    # --- discovery ---

    def endpoints_changed(self, mode: ListMode | str, endpoints: Iterable[Endpoint]) -> None:
        """Handle the endpoint list, or changes to it, from discovery."""
        if mode == ListMode.FAILED:
            if self.settings.subscribes:
                self.host.wake(self.host.now() + MAINTENANCE_INTERVAL, Timer.SUBSCRIBE)
            return
        restarted = self.pools.update(mode, endpoints)
        for backend in self.pools.ready():
            if backend.concurrency_limit is None:
                backend.concurrency_limit = self._initial_limit(backend)
        # attempts that are not on the wire yet would reach a backend that is now draining, gone or cold
        self._withdraw(
            request
            for backend in self.pools.backends
            if backend.status != BackendStatus.READY or backend in restarted
            for request in backend.requests
        )

    def _initial_limit(self, backend: Backend) -> AdaptiveLimit:
        sharing = self.settings.zone_gateways if backend in self.pools.caches else self.settings.gateways
        return AdaptiveLimit(self._initial_limit_value(backend), 1 / sharing)

    def _initial_limit_value(self, backend: Backend) -> float:
        return max(1.0, INITIAL_FACTOR * self.slow_start.capacity_share(backend))

    # --- requests ---

    def request_arrived(self, request: Request) -> None:
        """Handle a new request from a client."""
        vhost, now = self.virtual_hosts[request.vhost], self.host.now()
        known_transfer_time = request.kbytes / self.settings.transfer_rate
        if not vhost.has_traffic:
            vhost.record_first(known_transfer_time)
        request.load_units = request.kbytes or 1.0
        self.averages.record(vhost.value, request.load_units)
        self.deadlines.add(request.deadline - self.settings.tick, request)
        cache = self.load_reports.next_to_check(self.pools.caches, vhost.first_byte_target, now)
        if cache is not None:
            self.host.check_health(cache)
        if not self.routes.is_uncacheable(request):
            request.object_part = self.freshness.record_request(request.part_key)
        learned = request.object_part.min_transfer_time if request.object_part else 0.0
        request.transfer_time = known_transfer_time or learned or vhost.usual_answer_time
        self.averages.record_transfer_time(request.transfer_time)
        vhost.record_arrival(request.transfer_time)
        self._route(request)

    def stream_started(self, request: Request, attempt: int) -> None:
        """Handle the start of a streamed answer, to which neither a timeout nor the deadline applies any
        more."""
        request.streaming = self._is_current(request, attempt)

    def attempt_ended(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        """Handle the end of an attempt. Results of earlier attempts are ignored."""
        if not self._is_current(request, result.attempt):
            return
        canary = request.source.canary
        source = self.dispatcher.release(request, backend)
        if request.revalidates and result.outcome in retries.NOT_REVALIDATED:
            self.freshness.undo_revalidation(request)
        self.outliers.record(request, backend, source, result, canary)
        if result.outcome == DONE:
            self._learn_from_answer(request, backend, result)
        request.finished = request.finished or result.is_final
        if request.finished:
            return
        retries.record_failure(request, backend, source, result)
        retries.record_disconnection(request, backend, self.virtual_hosts[request.vhost], result)
        self._route(request)

    def _learn_from_answer(self, request: Request, backend: Backend, result: AttemptResult) -> None:
        vhost = self.virtual_hosts[request.vhost]
        transfer_time = request.kbytes / self.settings.transfer_rate or result.duration
        vhost.record_answer(transfer_time, result.duration, self.outliers.is_late(request, result))
        self.freshness.record_answer(request, backend, result.duration)
        if not request.finished:
            vhost.record_final(request.transfer_time, answered=True)

    def client_disconnected(self, request: Request) -> None:
        """Handle the disconnection of a client: its request needs no answer any more."""
        if request.finished:
            return
        request.finished = True
        if request.in_flight and self.settings.can_cancel and not request.streaming:
            self.host.cancel(request, request.attempts - 1)

    def client_half_closed(self, request: Request, at: Ticks) -> Ticks:
        """Handle the end of a client's input at time `at`: whether the client has left or still reads is
        unknown until something is written to it. Attempts in flight are still answered; none is sent after
        the returned time."""
        retries.limit_send_by(request, retries.last_send_time(at))
        return request.send_by

    def send_by_passed(self, request: Request) -> None:
        """Handle that the `send_by` of a request has passed and nothing of its attempt was sent."""
        self.reject(request, retries.send_by_reason(request))

    def reject(self, request: Request, reason: RejectReason) -> None:
        """Give the final answer to a request that is not served. For admitted requests, only this method does
        so."""
        if request.finished:
            return
        vhost = self.virtual_hosts[request.vhost]
        request.reject_reason = reason
        vhost.record_final(request.transfer_time, answered=False)
        request.finished = True
        may_reject = retries.may_reject(request, vhost)
        if request.in_flight and self.settings.can_cancel:
            self.host.cancel(request, request.attempts - 1)
        if may_reject:
            self.host.reject(request, self.settings.retry_after)
        else:
            self.host.fail(request)

    def cancel_if_safe(self, request: Request) -> None:
        """Cancel an attempt if the request may safely be executed again; the outcome then reroutes the
        request."""
        may_cancel = request.in_flight and self.settings.can_cancel and not request.streaming
        if may_cancel and self.virtual_hosts[request.vhost].is_safe:
            self.host.cancel(request, request.attempts - 1)

    def _withdraw(self, requests: Iterable[Request]) -> None:
        """Withdraw the attempts that are not on the wire yet, so that their requests are rerouted."""
        for request in dict.fromkeys(requests):
            self.host.withdraw(request, request.attempts - 1)

    @staticmethod
    def _is_current(request: Request, attempt: int) -> bool:
        return request.in_flight and attempt == request.attempts - 1

    # --- the change log ---

    def discovery_begins(self) -> None:
        """Handle the start of reading the change log: at the start, or at another address."""
        self.freshness.catch_up.interrupt(self.host.now())

    def discovery_connected(self) -> None:
        """Handle a new connection to the change log."""
        self.freshness.catch_up.interrupt(self.host.now())

    def discovery_disconnected(self) -> None:
        """Handle the end of the connection to the change log."""
        self.freshness.catch_up.interrupt(self.host.now())

    def discovery_unreachable(self) -> None:
        """Handle that a connection to the change log could not be made, and was not refused: a log may be
        there, and receive events."""
        self.freshness.catch_up.interrupt(self.host.now())

    def discovery_caught_up(self) -> None:
        """Handle that the change log was read to its end, and all its events were reported."""
        self.freshness.catch_up.end()

    def discovery_refused(self) -> bool:
        """Handle that a connection to the change log was refused: there is no log now. Return whether the
        ages of copies are no longer limited, as it has been absent for long enough."""
        return self.freshness.catch_up.refuse(self.host.now())

    # --- purges, health, time ---

    def object_purged(self, key: str, group: int, age: Ticks) -> None:
        """Handle the purge, `age` ticks ago, of an object or, if `key` is empty, of a whole group."""
        self.freshness.purge(key, group, self.host.now() - age)
        # attempts that are not on the wire yet accept a copy that is now too old
        self._withdraw(
            request
            for backend in self.pools.backends
            for request in backend.requests
            if (request.key == key if key else request.purge_group == group)
        )

    def health_checked(self, backend: Backend, outcome: Outcome | str, report: Sequence[float]) -> None:
        """Handle the answer to a health check, with or without a load report."""
        self.load_reports.record(backend, outcome, report)

    def loop_lagged(self, late: Ticks) -> None:
        """Handle a lag of the host's event loop by `late` ticks: answers may be unread, and no backend is to
        blame for that."""
        self.lagging_until = self.host.now() + late

    def timer_fired(self, timer: Timer | str) -> None:
        """Handle a timer that was set with `Host.wake`."""
        now = self.host.now()
        if timer == DEADLINE:
            for deadline in self.deadlines.due(now):
                self._deadline_reached(deadline)
        elif timer == Timer.MAINTENANCE:
            self.freshness.drop_expired(now)
            self.slow_start.learn_capacity(now)
            self.host.wake(now + MAINTENANCE_INTERVAL, Timer.MAINTENANCE)
        elif timer == Timer.SUBSCRIBE:
            self.host.subscribe(True)

    def _deadline_reached(self, deadline: Deadline) -> None:
        request = deadline.request
        if request.streaming:
            return
        if deadline.attempt == WHOLE_REQUEST:
            self.reject(request, RejectReason.TIME_UP)
        elif self._is_current(request, deadline.attempt) and not request.finished:
            self._attempt_overdue(request)

    def _attempt_overdue(self, request: Request) -> None:
        """Handle an attempt that has reached its latency objective, or a multiple of it: decide whether its
        backend or its source is at fault."""
        now, attempt = self.host.now(), request.attempts - 1
        if now < self.lagging_until:
            return self.deadlines.add(self.lagging_until, request, attempt)
        backend, source = request.backend, request.source
        objective = self.virtual_hosts[request.vhost].latency_objective(request.transfer_time)
        limit = request.sent_at + OVERDUE_FACTOR * objective
        far_overdue, known_size = now >= limit, has_known_size(request)
        slow_source = request.expects_fill and source.late_fill_share > TOLERATED_LATE_SHARE
        if backend.last_answer_at < request.sent_at and not slow_source:
            # the backend has answered nothing since, and no slow source explains the delay
            if far_overdue or known_size:
                self.outliers.record_failure(backend)
            if far_overdue and known_size:
                return self.cancel_if_safe(request)
        elif request.expects_fill and source is not backend and far_overdue != known_size:
            # the backend answers other requests, so its source is slow
            self.outliers.record_missing_fill(source)
        if not far_overdue:
            self.deadlines.add(limit, request, attempt)
        elif not request.expects_fill and known_size:
            self.cancel_if_safe(request)  # the answer to a likely hit is lost, while others arrive
        return None

    # --- the fleet ---

    def set_standby(self, on: bool) -> None:
        """Set whether another process acts as this gateway."""
        self.plan.standby = on

    def plan_changed(self, update: PlanUpdate) -> None:
        """Apply another plan (lilacloft/control/), or the absence of one."""
        plan, outliers = self.plan, self.outliers
        self.link_limit.ceiling = update.link_ceiling or math.inf
        plan.budget_factors = update.budget_factors
        newly_failed_over = update.failovers.keys() - plan.failovers.keys()
        plan.failovers = update.failovers
        listed = [backend for backend in self.pools.backends if not self.pools.is_origin(backend)]
        for backend in listed:
            if backend.zone in newly_failed_over:
                self._location_failed_over(backend)
        for backend in self.pools.backends:
            if backend.concurrency_limit:
                backend.concurrency_limit.ceiling = update.limit_ceilings.get(backend.name, math.inf)
            if backend.name in update.ejections and not self.pools.is_origin(backend):
                backend.ejected, backend.retry_at = True, update.ejections[backend.name]
            elif backend.name in plan.ejections:
                outliers.restore(backend)  # on behalf of the plan, even without an answer
        plan.ejections = update.ejections

    def _location_failed_over(self, backend: Backend) -> None:
        """Reset a backend whose whole location fails over, and cancel the attempts waiting for it, which are
        rerouted."""
        self.outliers.clear_failures(backend)
        limit = backend.concurrency_limit
        if limit:
            limit.limit, limit.late_share = max(limit.limit, self._initial_limit_value(backend)), 0.0
        for request in list(backend.requests):
            if request.backend is backend or request.expects_fill:
                self.cancel_if_safe(request)

    # --- choosing a backend ---

    def _route(self, request: Request) -> None:
        """Send a request to the first backend in order that may take it; reject it at once if there is
        none."""
        reason = self._no_attempt_reason(request)
        if reason is not None:
            return self.reject(request, reason)
        options = self.routes.options(request)
        if self.dispatcher.send_first(request, options.routes):
            return None
        if self._send_lookup(request, options):
            return None
        return self.reject(request, RejectReason.NO_ROOM)

    def _send_lookup(self, request: Request, options: RouteOptions) -> bool:
        """Ask the home for a cached copy when there is no room for a fill, as a hit does not use the link.
        A miss is answered at once, and the lookup is not repeated, as the copy will not appear a moment
        later."""
        home, send_first = options.home, self.dispatcher.send_first
        if home is None or request.cache_only:
            return False
        if send_first(request, [Route(home, options.parents[:1])], cache_only=True):
            return True
        return send_first(request, [Route(home, [home])])

    def _no_attempt_reason(self, request: Request) -> RejectReason | None:
        """Return why a request may not have another attempt at any backend; None if it may."""
        now = self.host.now()
        if retries.attempts_used(request, self.settings.max_attempts):
            return RejectReason.TRIES_USED
        if now >= request.deadline - self.settings.tick:
            return RejectReason.TIME_UP
        if request.send_by and now >= request.send_by:
            return retries.send_by_reason(request)
        client_left_at = self.host.client_left_at(request)
        if client_left_at is not None and now >= retries.last_send_time(client_left_at):
            return RejectReason.CLIENT_LEFT
        return None
