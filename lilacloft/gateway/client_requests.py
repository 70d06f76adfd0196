"""What clients' connections report: requests that arrive, cancels, disconnects and malformed data.

The connections' threads post these to the event loop.
"""

from __future__ import annotations

from lilacloft.gateway.answers import AnswerFields, AnswerKind, FinalAnswers
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND, monotonic_ticks
from lilacloft.gateway.context import GatewayContext
from lilacloft.gateway.dispatcher import AttemptDispatcher
from lilacloft.gateway.lifecycle import Lifecycle
from lilacloft.invariants import Effect, History
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.client_request import ClientRequest
from lilacloft.routing.model import RejectReason, Request
from lilacloft.routing.units import Ticks


class ClientRequests:
    """One gateway's open requests."""

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
            Effect(vhost["effect"], vhost.get("repeat_group", "cell"), vhost.get("repeat_window", 0))
            for vhost in gateway.vhosts
        ]

    # --- from clients' connections ---

    def arrived(self, call: ClientRequest) -> None:
        """A request was read. One whose client has cancelled it or left since is not decided on: that it has
        is queued behind."""
        if call.client.close_reason is not None or call.client.open.get(call.tag) is not call:
            return
        gateway = self.gateway
        client_timeout = gateway.vhosts[call.vhost]["client_timeout"]
        arrived_at = self.clock.time - max(0, self.clock.monotonic_time - call.at)
        client_deadline = arrived_at + min(call.allow * TICKS_PER_MILLISECOND, client_timeout)
        call.request = request = self._make_request(call, arrived_at, client_deadline)
        gateway.open_requests[request] = call
        call.history = self.request_history(call, request)
        call.history.deadline = client_deadline
        waited = self.clock.monotonic_time - call.at
        gateway.trace.add_late(call.at, call.name, "arrived", gateway.vhosts[call.vhost]["name"], waited)
        if gateway.store:
            gateway.store.note_earlier_execution(call, request)
        if gateway.recorder:
            gateway.recorder.request_arrived(call)
        gateway.router.request_arrived(request)

    def _make_request(self, call: ClientRequest, arrived_at: Ticks, deadline: Ticks) -> Request:
        """Return the request for the decisions, with as much time as this process can use of its client's;
        during a shutdown no more than the process has."""
        lifecycle, margin = self.lifecycle, self.gateway.lag_margin
        deadline = margin.answer_by(arrived_at, deadline, margin.current(self.clock.monotonic_time))
        if lifecycle.shutdown_started:
            deadline = min(deadline, lifecycle.shutdown_deadline)
        lifecycle.last_arrival = self.clock.time
        return Request(
            call.key,
            call.part,
            call.group,
            call.kbytes,
            arrived_at,
            deadline,
            call.vhost,
            is_write=bool(call.body),
        )

    def request_history(self, call: ClientRequest, request: Request) -> History:
        """Return what the invariants know of a request that has arrived, or was handed over."""
        history = History(
            call.name,
            self.effects[call.vhost],
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

    def cancelled(self, call: ClientRequest) -> None:
        """A client has cancelled a request or left; it is closed at its connection already."""
        gateway = self.gateway
        call.client.settled += 1
        if call.request is None:
            return
        gateway.counters.answers["left"] += 1
        gateway.invariants.client_left(call.history)
        gateway.trace.add(self.clock.monotonic_time, call.name, "left")
        if gateway.recorder:
            gateway.recorder.client_disconnected(call)
        gateway.router.client_disconnected(call.request)
        self.dispatcher.forget_if_finished(call)

    def client_sent_malformed(self, client: ClientConnection) -> None:
        """A client sent malformed data: its open requests are rejected, with answers."""
        for call in list(client.open.values()):
            if call.request is not None:
                self.gateway.router.reject(call.request, RejectReason.GARBLED)

    def client_half_closed(self, client: ClientConnection, at: Ticks) -> None:
        """A client's input ended at a time by the monotonic clock. It may have closed only its half, or have
        left: requests that wait are sent for a short grace only, those that are out are answered."""
        clock = self.clock
        for call in list(client.open.values()):
            if call.request is not None:
                closed_at = clock.time - max(0, clock.monotonic_time - at)
                until = self.gateway.router.client_half_closed(call.request, closed_at)
                self.loop.call_at(until, self.dispatcher.send_deadline_passed, call)

    def client_disconnected(self, client: ClientConnection) -> None:
        """A client's connection has ended."""
        for call in list(client.open.values()):
            if self.gateway.front.close_request(call):
                self.cancelled(call)

    # --- from the decisions ---

    def client_left_at(self, request: Request) -> Ticks | None:
        """Return since when a request's client may have left; None where it waits."""
        since = self.gateway.open_requests[request].departed()
        if since is None:
            return None
        # by the clock as it is now: the gateway's time stands still within one event
        return self.clock.time - (monotonic_ticks() - since)

    def reject(self, request: Request, retry_after: Ticks) -> None:
        """Answer that a request is not served; `retry_after`: 0 names no time."""
        fields: AnswerFields = ()
        if retry_after:
            fields = (("cooldown", -(-retry_after // TICKS_PER_MILLISECOND)),)
        self._finish(request, AnswerKind.REJECTED, fields)

    def fail(self, request: Request) -> None:
        """Answer that a request has failed."""
        self._finish(request, AnswerKind.FAILED)

    def _finish(self, request: Request, kind: AnswerKind, fields: AnswerFields = ()) -> None:
        call = self.gateway.open_requests[request]
        self.answers.send(call, kind, fields)
        self.loop.defer(self.dispatcher.forget_if_finished, call)
