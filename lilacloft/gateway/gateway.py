"""One gateway: assembles its components, runs them, and is the `Host` of the router.

One thread, that of `Gateway.run`, calls the router (`lilacloft.routing`) and sends the final answers of all
accepted requests (a message that is not a valid request is answered in `lilacloft.net.downstream`); the
connections' threads post events to its queue. Nothing here blocks on a peer, makes routing decisions, answers
a request twice, or calls the router back from within one of the router's calls.
"""

from __future__ import annotations

import queue
import socket
import time
from collections.abc import Callable
from typing import Any

from lilacloft.gateway import reload
from lilacloft.gateway.answers import FinalAnswers
from lilacloft.gateway.client_requests import ClientRequests
from lilacloft.gateway.configuration import (
    parse_address,
    read_budgets,
    read_configuration,
    read_initial_events,
)
from lilacloft.gateway.context import GatewayContext
from lilacloft.gateway.discovery import Discovery
from lilacloft.gateway.dispatcher import AttemptDispatcher
from lilacloft.gateway.event_loop import Event, ScheduledCall
from lilacloft.gateway.lifecycle import Lifecycle, Phase
from lilacloft.gateway.pressure_log import PressureLog
from lilacloft.gateway.reporting import Reporter
from lilacloft.invariants import Invariants
from lilacloft.log import logger
from lilacloft.net.connection import Connection
from lilacloft.net.downstream import Downstream, DownstreamLimits, ListenEndpoint
from lilacloft.net.upstream import Upstream, UpstreamCallbacks
from lilacloft.routing.host import Dispatch, HealthChange, Timer
from lilacloft.routing.model import Backend, Request
from lilacloft.routing.router import Router
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

HEARTBEAT_INTERVAL: Ticks = 500  # the event loop wakes at least this often, so that pauses are detected
WRITE_RETRY_DELAY: Ticks = 100  # until a write for which no thread could be started is retried
MAX_LIST_WAIT: Ticks = 2_500  # for the change log, before clients are accepted and rejected without a backend
MAX_MAINTENANCE_INTERVAL = 0.5  # seconds; stalled clients must be closed within a few rounds


class Gateway(GatewayContext):
    """One gateway process, and the `Host` of its `Router`."""

    def __init__(
        self,
        config: dict[str, Any],
        unix_clock: Callable[[], int] = time.time_ns,
        sock: socket.socket | None = None,
        is_successor: bool = False,
    ) -> None:
        """Bind to the address in `config`, the platform's JSON, or use `sock`, which is bound already.

        `is_successor`: the endpoint list and the purges are received from the previous process. Raises
        OSError if the address cannot be bound, and the errors of `configuration` if the configuration is
        invalid."""
        configuration = read_configuration(config)
        super().__init__(configuration, unix_clock)
        initial_events = read_initial_events(config, configuration.settings)
        self.budgets = read_budgets(self.limits)
        self.lifecycle = Lifecycle(self)
        self.is_accepting = False
        self.reporter = Reporter(self)
        self.pressure_log = PressureLog(self)
        self.answers = FinalAnswers(self)
        self.dispatcher = AttemptDispatcher(self, self.answers)
        self._connect_backends()
        self.requests = ClientRequests(self, self.lifecycle, self.answers, self.dispatcher)
        self.clock.update()
        self.router = Router(self, self.settings)
        self.downstream = Downstream(
            self.loop.post,
            self,
            self.vhosts,
            DownstreamLimits(
                self.budgets.clients,
                configuration.max_transfer_size,
                self.budgets.requests,
                self.router.settings.retry_after,
            ),
            ListenEndpoint(parse_address(configuration.listen), sock),
        )
        self.router.freshness.table_size = self.budgets.object_parts
        self.executed_requests.max_remembered = self.budgets.executed_requests
        self.upstream.reply_backlog.apply(self.budgets.answer_limits())
        self.downstream.reply_backlog = self.upstream.reply_backlog
        self.upstream.reply_backlog.on_shortage = lambda: self.loop.post(self._relieve_shortage)
        self.discovery = Discovery(self)
        self._bind_interface()
        self.loop.report_lag = self.router.loop_lagged
        self.loop.has_unread_answers = self.upstream.has_unread_answers
        self.loop.is_obsolete = self.dispatcher.is_obsolete
        if not is_successor:
            self.discovery.apply_configured_events(initial_events)

    def _connect_backends(self) -> None:
        """Create the upstream side (caches, parents, origin) and its invariant checks."""
        callbacks = UpstreamCallbacks(
            self.loop.post,
            self.now,
            self.dispatcher.attempt_ended,
            self.dispatcher.attempt_cancelled,
            self.loop.post_reply,
        )
        self.upstream = Upstream(callbacks, self.settings, self.budgets.caches, self.budgets.replies)
        self.upstream.write_soon = self.write_soon
        self.invariants = self.upstream.invariants = Invariants(self.settings, self.reporter.report_violation)
        longest = int(MAX_MAINTENANCE_INTERVAL * TICKS_PER_SECOND)
        self.maintenance_interval = min(self.upstream.connect_timeout, longest)

    def _bind_interface(self) -> None:
        """Expose what the store, the handover, the planners' agent and the recorder use of the components."""
        self.post, self.call_at = self.loop.post, self.loop.call_at
        self.run_callback, self.next_event = self.loop.run_callback, self.loop.next_event
        self.update_clock, self.resume_clock = self.clock.update, self.clock.resume
        self.paused_since, self.record_pause = self.clock.paused_since, self.clock.record_pause
        self.to_monotonic = self.clock.to_monotonic
        self.answer_counts, self.end_counts = self.counters.answers, self.counters.ends
        self.clock_offset = self.discovery.clock_offset
        self.apply_event, self.apply_endpoints = self.discovery.apply_event, self.discovery.apply_endpoints
        self.attempt_ended = self.dispatcher.attempt_ended
        self.attempt_timed_out = self.dispatcher.attempt_timed_out
        self.send_deadline_passed = self.dispatcher.send_deadline_passed
        self.report_end = self.dispatcher.report_end
        self.idempotency_deadline = self.dispatcher.idempotency_deadline
        self.request_history = self.requests.request_history

    # --- the process ---

    def run(self) -> None:
        """Serve until the process was told to stop and no request is outstanding."""
        self.lifecycle.enter(Phase.SERVING)
        self.discovery.start()
        if self.discovery.is_reconciling and not self.backends:  # usually the log is read at once
            self.discovery.on_confirmed = self._accept_clients
            self.call_at(self.time + MAX_LIST_WAIT, self._accept_clients)
        else:
            self._accept_clients()
        self.run_maintenance()
        self.heartbeat()
        self.loop.run(self.lifecycle.is_finished)

    def _accept_clients(self) -> None:
        """Begin to accept clients, once."""
        if self.is_accepting:
            return
        self.is_accepting = True
        self.downstream.start()
        logger.info("serving on {} with {} backends listed", self.configuration.listen, len(self.backends))

    @property
    def has_ended(self) -> bool:
        """Whether everything is closed, or another process is this gateway now."""
        return self.lifecycle.phase is Phase.ENDED

    @property
    def is_shutting_down(self) -> bool:
        """Whether SIGTERM was received; answers to clients' health checks report it."""
        return self.lifecycle.shutdown_started > 0

    def end(self) -> None:
        """Stop serving here: everything was handed over, or this process is not needed."""
        self.lifecycle.enter(Phase.ENDED)

    def stop(self) -> None:
        """Start the graceful shutdown, after SIGTERM. Clients that have connected are still answered."""
        if self.lifecycle.phase is Phase.SERVING:
            self._accept_clients()
        self.lifecycle.stop()

    def reload(self, config: dict[str, Any]) -> None:
        """Apply a configuration that was read again, after SIGHUP."""
        reload.reload(self, config)

    def report(self) -> None:
        """Log the counters."""
        self.reporter.report()

    def inspect(self) -> None:
        """Log the counters and the open requests, after SIGUSR1."""
        self.reporter.inspect()

    def open_resources(self) -> dict[str, int]:
        """Return the numbers of resources in use; see `Reporter.open_resources`."""
        return self.reporter.open_resources()

    # --- periodic work ---

    def heartbeat(self) -> None:
        """Wake the event loop regularly, so that a gap shows that the process was paused."""
        self.call_at(self.time + HEARTBEAT_INTERVAL, self.heartbeat)

    def run_maintenance(self) -> None:
        """Close connections that are idle or stalled within a message."""
        self.call_at(self.time + self.maintenance_interval, self.run_maintenance)
        self.upstream.close_stalled()
        self.downstream.close_stalled(
            self.max_client_timeout / TICKS_PER_SECOND,
            self.budgets.unwritten,
            self.maintenance_interval / TICKS_PER_SECOND,
        )
        self.pressure_log.check()

    def _relieve_shortage(self) -> None:
        """Close clients that hold the most unread answers, as there is no memory for others' answers."""
        self.upstream.reply_backlog.relieved()
        write_timeout = self.max_client_timeout / TICKS_PER_SECOND
        self.downstream.close_unreading(write_timeout, self.budgets.unwritten)

    def write_soon(self, conn: Connection) -> None:
        """Schedule another write to a connection for which no writing thread could be started."""
        self.call_at(self.time + WRITE_RETRY_DELAY, conn.resume_writing)

    def connection_closing(self, names: list[str]) -> None:
        """Check that this gateway may close a connection on which requests of these names are open. Any
        thread may call this."""
        self.invariants.report_unanswered(names)

    # --- time and events, for other packages ---

    @property
    def time(self) -> Ticks:
        """The gateway's time."""
        return self.clock.time

    @property
    def monotonic_time(self) -> Ticks:
        """The monotonic clock's time at the last update."""
        return self.clock.monotonic_time

    @property
    def queue(self) -> queue.SimpleQueue[Event]:
        """The event loop's queue."""
        return self.loop.queue

    @property
    def timers(self) -> list[ScheduledCall]:
        """The event loop's timers, a heap."""
        return self.loop.timers

    @timers.setter
    def timers(self, timers: list[ScheduledCall]) -> None:
        """Replace the timers; a handover drops those of what was handed over."""
        self.loop.timers = timers

    # --- Host: what the router calls; documented in lilacloft/routing/host.py ---

    def now(self) -> Ticks:
        """Return the gateway's time."""
        return self.clock.time

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send an attempt."""
        self.dispatcher.dispatch(dispatch)

    def client_left_at(self, request: Request) -> Ticks | None:
        """Return since when a request's client may have disconnected."""
        return self.requests.client_left_at(request)

    def cancel(self, request: Request, attempt: int) -> None:
        """Stop waiting for an attempt."""
        self.dispatcher.cancel(request, attempt)

    def withdraw(self, request: Request, attempt: int) -> None:
        """Withdraw an attempt that has not been sent."""
        self.dispatcher.withdraw(request, attempt)

    def reject(self, request: Request, retry_after: Ticks) -> None:
        """Send a rejection."""
        self.requests.reject(request, retry_after)

    def fail(self, request: Request) -> None:
        """Send the answer that a request has failed."""
        self.requests.fail(request)

    def wake(self, at: Ticks, timer: Timer) -> None:
        """Schedule a call of the router's `timer_fired`."""
        self.loop.call_at(at, self._timer_fired, timer)

    def _timer_fired(self, timer: Timer) -> None:
        self.router.timer_fired(timer)

    def check_health(self, backend: Backend) -> None:
        """Send a health check."""
        self.dispatcher.check_health(backend)

    def subscribe(self, on: bool) -> None:
        """Do nothing: the change log is always followed."""

    def health_changed(self, backend: Backend, change: HealthChange, reason: str) -> None:
        """Log and record that a backend was ejected or restored."""
        ejected = change is HealthChange.EJECTED
        logger.info("{}", f"{backend.name} {change}: {reason}" if ejected else f"{backend.name} {reason}")
        if self.recorder:
            self.recorder.health_changed(backend, change, reason)

    def limit_recorded(self, backend: Backend, before: float, after: float, late_share: float) -> None:
        """Record a concurrency limit that has changed."""
        if self.recorder and after != before:
            self.recorder.limit_changed(backend, before, after, late_share)
