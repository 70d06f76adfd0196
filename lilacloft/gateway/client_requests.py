"""Handles events of client connections: new requests, cancellations, disconnects and malformed input.

The connections' threads post these events to the event loop.
"""

from __future__ import annotations

from lilacloft.gateway.answers import AnswerFields, AnswerKind, FinalAnswers
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND, monotonic_ticks
from lilacloft.gateway.context import GatewayContext
from lilacloft.gateway.dispatcher import AttemptDispatcher
from lilacloft.gateway.lifecycle import Lifecycle
from lilacloft.invariants import IdempotencyRule, RequestHistory
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.downstream import retry_after_fields
from lilacloft.routing.model import Idempotency, RejectReason, Request
from lilacloft.routing.units import Ticks


class ClientRequests:
    """Handles the clients' requests of one gateway."""

    def __init__(
        self,
        gateway: GatewayContext,
        lifecycle: Lifecycle,
        answers: FinalAnswers,
        dispatcher: AttemptDispatcher,
    ) -> None:
        self.gateway, self.lifecycle = gateway, lifecycle
        self.answers, self.dispatcher = answers, dispatcher
        self.clock, self.loop = gateway.clock, gateway.loop
        self.effects = [
            IdempotencyRule(vhost["effect"], vhost.get("repeat_group", "cell"), vhost.get("repeat_window", 0))
            for vhost in gateway.vhosts
        ]

    # --- events from client connections ---

    def arrived(self, client_request: ClientRequest) -> None:
        """Handle a new request. One whose client has meanwhile cancelled it or disconnected is not routed:
        the event that reports this is queued behind."""
        if (
            client_request.client.close_reason is not None
            or client_request.client.open.get(client_request.tag) is not client_request
        ):
            self.gateway.downstream.request_ledger.release(client_request)
            return
        gateway = self.gateway
        client_timeout = gateway.vhosts[client_request.vhost]["client_timeout"]
        arrived_at = self.clock.time - max(0, self.clock.monotonic_time - client_request.at)
        client_deadline = arrived_at + min(client_request.timeout_ms * TICKS_PER_MILLISECOND, client_timeout)
        client_request.request = request = self._make_request(client_request, arrived_at, client_deadline)
        gateway.open_requests[request] = client_request
        is_first = gateway.executed_requests.begin(client_request.name, request)
        client_request.history = self.request_history(client_request, request)
        client_request.history.deadline = client_deadline
        waited = self.clock.monotonic_time - client_request.at
        gateway.trace.add_late(
            client_request.at,
            client_request.name,
            "arrived",
            gateway.vhosts[client_request.vhost]["name"],
            waited,
        )
        if not is_first:
            self._answer_repeated(client_request)
            return
        if gateway.store:
            gateway.store.note_earlier_execution(client_request, request)
        if gateway.recorder:
            gateway.recorder.request_arrived(client_request)
        gateway.router.request_arrived(request)

    def _answer_repeated(self, client_request: ClientRequest) -> None:
        """Answer a request at once while another one with its id, whose client has left, is in progress."""
        is_safe = self.effects[client_request.vhost].kind == Idempotency.SAFE
        client_request.request.finished = True
        self.answers.send(client_request, AnswerKind.REJECTED if is_safe else AnswerKind.FAILED)
        self.loop.defer(self.dispatcher.forget_if_finished, client_request)

    def _make_request(self, client_request: ClientRequest, arrived_at: Ticks, deadline: Ticks) -> Request:
        """Return the router's request. Its deadline is the client's, less the margin for this process's own
        lag; during a shutdown it is no later than the shutdown's deadline."""
        lifecycle, margin = self.lifecycle, self.gateway.lag_margin
        deadline = margin.answer_by(arrived_at, deadline, margin.current(self.clock.monotonic_time))
        if lifecycle.shutdown_started:
            deadline = min(deadline, lifecycle.shutdown_deadline)
        lifecycle.last_arrival = self.clock.time
        return Request(
            client_request.key,
            client_request.part,
            client_request.group,
            client_request.kbytes,
            arrived_at,
            deadline,
            client_request.vhost,
            is_write=bool(client_request.body),
        )

    def request_history(self, client_request: ClientRequest, request: Request) -> RequestHistory:
        """Return the invariant checks' state for a request that has arrived or was handed over."""
        history = RequestHistory(
            client_request.name,
            self.effects[client_request.vhost],
            request.deadline,
            in_flight=request.in_flight,
            sent_at=request.sent_at,
            backend=request.backend,
        )
        history.first_executed_at, history.first_executed_by = (
            request.first_executed_at,
            request.first_executed_by,
        )
        return history

    def cancelled(self, client_request: ClientRequest) -> None:
        """Handle the cancellation of a request, or its client's disconnect; it is no longer open there."""
        gateway = self.gateway
        client_request.client.settled += 1
        if client_request.request is None:
            return
        gateway.counters.answers["left"] += 1
        gateway.invariants.client_left(client_request.history)
        gateway.trace.add(self.clock.monotonic_time, client_request.name, "left")
        if gateway.recorder:
            gateway.recorder.client_disconnected(client_request)
        gateway.router.client_disconnected(client_request.request)
        self.dispatcher.forget_if_finished(client_request)

    def client_sent_malformed(self, client: ClientConnection) -> None:
        """Reject a client's open requests, with answers: it sent malformed data."""
        for client_request in list(client.open.values()):
            if client_request.request is not None:
                self.gateway.router.reject(client_request.request, RejectReason.GARBLED)

    def client_half_closed(self, client: ClientConnection, at: Ticks) -> None:
        """Handle the end of a client's input; `at`: by the monotonic clock. The client may have closed only
        its half of the connection, or have disconnected: waiting requests are sent only within a short grace
        period, those in flight are answered."""
        clock = self.clock
        for client_request in list(client.open.values()):
            if client_request.request is not None:
                closed_at = clock.time - max(0, clock.monotonic_time - at)
                until = self.gateway.router.client_half_closed(client_request.request, closed_at)
                self.loop.call_at(until, self.dispatcher.send_deadline_passed, client_request)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Handle the end of a client's connection."""
        for client_request in list(client.open.values()):
            if self.gateway.downstream.close_request(client_request):
                self.cancelled(client_request)

    # --- calls from the router ---

    def client_left_at(self, request: Request) -> Ticks | None:
        """Return since when a request's client may have disconnected; None if it is connected."""
        since = self.gateway.open_requests[request].disconnected_since()
        if since is None:
            return None
        # read anew: the gateway's time does not advance while one event is handled
        return self.clock.time - (monotonic_ticks() - since)

    def reject(self, request: Request, retry_after: Ticks) -> None:
        """Send a rejection; `retry_after`: 0 sends no retry time."""
        self._finish(request, AnswerKind.REJECTED, retry_after_fields(retry_after))

    def fail(self, request: Request) -> None:
        """Send the answer that a request has failed."""
        self._finish(request, AnswerKind.FAILED)

    def _finish(self, request: Request, kind: AnswerKind, fields: AnswerFields = ()) -> None:
        client_request = self.gateway.open_requests[request]
        self.answers.send(client_request, kind, fields)
        self.loop.defer(self.dispatcher.forget_if_finished, client_request)
