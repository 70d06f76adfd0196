"""Executes attempts and health checks: sends, withdraws and cancels them, and reports their ends.

An attempt that waits for the store or for a connection has not been sent yet and can be withdrawn; one that
has been sent can only be cancelled. The end of an attempt is never reported to the router from within one of
the router's own calls: the report is deferred until that call has returned.
"""

from __future__ import annotations

from lilacloft.gateway.answers import AnswerKind, FinalAnswers
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.gateway.context import GatewayContext
from lilacloft.gateway.event_loop import ScheduledCall
from lilacloft.gateway.wire_messages import attempt_milliseconds, encode_dispatch
from lilacloft.invariants import RequestHistory
from lilacloft.net.attempt import Attempt
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.net.upstream_answers import NO_REPLY, Reply
from lilacloft.routing.executed_requests import Execution
from lilacloft.routing.host import AttemptResult, Dispatch
from lilacloft.routing.model import Backend, Idempotency, Outcome, Request
from lilacloft.routing.units import Ticks

# ends of a health check that show that the backend has read the cancellation before it, or is disconnected
CONFIRMS_CANCELLATION = frozenset(
    (CloseReason.DATA, CloseReason.FAILED, CloseReason.CLOSED, CloseReason.RESET)
)


class AttemptDispatcher:
    """Executes the attempts and health checks of one gateway."""

    def __init__(self, gateway: GatewayContext, answers: FinalAnswers) -> None:
        self.gateway, self.answers = gateway, answers
        self.clock, self.loop = gateway.clock, gateway.loop

    # --- sending ---

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send an attempt, unless it would violate an invariant."""
        gateway, backend = self.gateway, dispatch.backend
        client_request = gateway.open_requests[dispatch.request]
        source = dispatch.source if dispatch.source is not backend else None
        work = dispatch.request.transfer_time
        if not gateway.invariants.may_send(
            client_request.history, backend, source or backend, work, self.clock.time
        ):
            self._report_unsendable(client_request, backend)
            return
        until = min(self.clock.time + dispatch.timeout, dispatch.request.deadline)
        attempt = self._make_attempt(client_request, dispatch, source, until)
        client_request.attempt = attempt
        if client_request.last_outcome:
            gateway.counters.retries[client_request.last_outcome] += 1
        self._trace(client_request, "sent", f"{backend.name} {attempt.seq}")
        if gateway.recorder:
            gateway.recorder.dispatched(client_request, backend)
        end = gateway.store.dispatch(attempt, until) if gateway.store else gateway.upstream.dispatch(attempt)
        if end is not None:
            self.report_end(attempt, end)
            return
        self.loop.call_at(until, self.attempt_timed_out, attempt)
        if dispatch.request.send_by:
            self.loop.call_at(dispatch.request.send_by, self.send_deadline_passed, client_request)

    def _make_attempt(
        self, client_request: ClientRequest, dispatch: Dispatch, source: Backend | None, until: Ticks
    ) -> Attempt:
        """Return an attempt with its message; `until`: when it times out, in the gateway's time."""
        request, clock = dispatch.request, self.clock
        return Attempt(
            client_request,
            dispatch.backend,
            request.attempts - 1,
            client_request.name.encode(),
            encode_dispatch(client_request, dispatch, self.gateway.vhosts[request.vhost]["name"], source),
            clock.time,
            encoded_at=clock.monotonic_time,
            time_limit=TICKS_PER_MILLISECOND * attempt_milliseconds(dispatch),
            deadline=clock.to_monotonic(until),
            send_by=clock.to_monotonic(request.send_by),
            window_over=self.idempotency_deadline(client_request.history),
        )

    def idempotency_deadline(self, history: RequestHistory) -> Ticks:
        """Return from when on, by the monotonic clock, a request that may have been executed must not be sent
        again; 0: it always may be."""
        if history.first_executed_at is None or history.effect.kind == Idempotency.SAFE:
            return 0
        return self.clock.to_monotonic(history.first_executed_at + history.effect.window)

    def check_health(self, backend: Backend) -> None:
        """Send a health check."""
        attempt, end = self.gateway.upstream.check(backend)
        if end is not None:
            self.report_end(attempt, end)
        else:
            self.loop.call_at(
                self.clock.time + self.gateway.upstream.connect_timeout, self.attempt_timed_out, attempt
            )

    # --- withdrawing and cancelling ---

    def cancel(self, request: Request, attempt: int) -> None:
        """Stop waiting for an attempt; `attempt`: its number within its request."""
        found = self._find_attempt(request, attempt)
        if found is None:
            return
        if self._withdraw_from_store(found):
            self.report_end(found, CloseReason.UNWRITTEN)
        elif found.connection is not None:
            confirmed_at = self.gateway.upstream.cancel(found, confirm=not request.finished)
            if found.confirmation is not None:
                self.loop.call_at(confirmed_at, self.attempt_timed_out, found.confirmation)
            self.loop.defer(self.attempt_cancelled, found, CloseReason.CALLED_OFF, confirmed_at)

    def withdraw(self, request: Request, attempt: int) -> None:
        """Withdraw an attempt that has not been sent; `attempt`: its number within its request."""
        found = self._find_attempt(request, attempt)
        if found is not None:
            self._withdraw_unsent(found)

    def _find_attempt(self, request: Request, number: int) -> Attempt | None:
        """Return a request's current attempt if it has this number."""
        client_request = self.gateway.open_requests.get(request)
        attempt = client_request.attempt if client_request else None
        return attempt if attempt is not None and attempt.seq == number else None

    def _withdraw_unsent(self, attempt: Attempt) -> bool:
        """Withdraw an attempt that has not been sent, and report its end; False if it may have been sent."""
        withdrawn = self._withdraw_from_store(attempt) or self.gateway.upstream.withdraw(attempt)
        if withdrawn:
            self.report_end(attempt, CloseReason.UNWRITTEN)
        return withdrawn

    def _withdraw_from_store(self, attempt: Attempt) -> bool:
        """Withdraw an attempt that waits for the disk; False if it does not."""
        store = self.gateway.store
        return bool(store and store.withdraw(attempt))

    def send_deadline_passed(self, client_request: ClientRequest) -> None:
        """Give up a request that is not in flight: nothing may be sent for it any more."""
        attempt = client_request.attempt
        if client_request.request.finished:
            return
        if attempt is not None and self._withdraw_unsent(attempt):
            return
        if attempt is None or attempt.connection is None:
            self.gateway.router.send_by_passed(client_request.request)

    def forget_if_finished(self, client_request: ClientRequest) -> None:
        """Remove a finished request once it has no attempt in flight. An unsent attempt is withdrawn, even if
        the settings allow no cancellation."""
        if not client_request.request.finished:
            return
        if client_request.attempt is None:
            if self.gateway.open_requests.pop(client_request.request, None) is not None:
                self.gateway.downstream.request_ledger.release(client_request)
                self.gateway.executed_requests.end(
                    client_request.name, client_request.request, self._execution_of(client_request)
                )
        else:
            self._withdraw_unsent(client_request.attempt)

    @staticmethod
    def _execution_of(client_request: ClientRequest) -> Execution | None:
        """Return when a finished request may have been executed first; None if it was not, or if it may be
        executed any number of times."""
        history = client_request.history
        if history.effect.kind == Idempotency.SAFE:
            return None
        if history.first_executed_at is not None:
            return Execution(history.first_executed_at, history.first_executed_by)
        if client_request.last_outcome == Outcome.DONE:
            return Execution(history.sent_at, history.backend)
        return None

    # --- ends ---

    def attempt_ended(self, attempt: Attempt, end: CloseReason, reply: Reply = NO_REPLY) -> None:
        """Handle the end of an attempt or a health check. The time for which its reply waited in the event
        loop's queue after it was read is not attributed to the backend."""
        self.gateway.counters.ends[end.name] += 1
        outcome, client_request = OUTCOMES[end], attempt.client_request
        if client_request is None:
            if attempt.confirms is None:
                self._health_check_ended(attempt.backend, outcome, reply)
            elif end in CONFIRMS_CANCELLATION:
                self._cancellation_confirmed(attempt.confirms)
            return
        waited_here = max(0, self.clock.monotonic_time - reply.read_at) if reply.read_at else 0
        duration = max(0, self.clock.time - attempt.at - waited_here)
        client_request.attempt, client_request.last_outcome = None, outcome
        if attempt.encoded_at:  # 0: it was not sent, as it would have violated an invariant
            self.gateway.invariants.attempt_ended(client_request.history, outcome)
        self.gateway.trace.add_late(
            self.clock.monotonic_time, client_request.name, "ended", end.name, waited_here
        )
        self._notify_end(attempt, end, duration, reply)
        if outcome == Outcome.DONE:
            self._send_answer(client_request, end, reply.body)
        is_final = outcome == Outcome.DONE or client_request.request.finished
        result = AttemptResult(attempt.seq, outcome, duration, is_final, reply.note)
        self.gateway.router.attempt_ended(client_request.request, attempt.backend, result)
        self.forget_if_finished(client_request)

    def _health_check_ended(self, backend: Backend, outcome: str, reply: Reply) -> None:
        if self.gateway.recorder:
            self.gateway.recorder.health_checked(backend, reply.load)
        self.gateway.router.health_checked(backend, outcome, reply.load)

    def _notify_end(self, attempt: Attempt, end: CloseReason, duration: Ticks, reply: Reply) -> None:
        """Notify the store, the recorder and the planners' agent of an attempt's end."""
        gateway, client_request = self.gateway, attempt.client_request
        if gateway.store:
            gateway.store.attempt_ended(attempt, end)
        if gateway.recorder:
            gateway.recorder.attempt_ended(attempt, end, duration, reply)
        if gateway.agent:
            gateway.agent.attempt_ended(client_request, attempt.backend, OUTCOMES[end], duration, reply.note)

    def _send_answer(self, client_request: ClientRequest, end: CloseReason, body: bytes) -> None:
        if end is CloseReason.UNCHANGED:
            self.answers.send(client_request, AnswerKind.SERVED, (("ok304", 1),))
        else:
            self.answers.send(client_request, AnswerKind.SERVED, (), body)

    def attempt_cancelled(self, attempt: Attempt, end: CloseReason, confirmed_at: Ticks) -> None:
        """Handle an attempt that this gateway ended. Its request may be sent again only once the backend is
        certain to know, else two attempts could be in flight at once; so its end is reported at
        `confirmed_at`, or now if the request is finished."""
        if (
            attempt.client_request is None
            or attempt.client_request.request.finished
            or confirmed_at <= self.clock.time
        ):
            self.attempt_ended(attempt, end)
        else:
            self.loop.call_at(confirmed_at, self.attempt_ended, attempt, end)

    def _cancellation_confirmed(self, cancelled: Attempt) -> None:
        """Report the end of a cancelled attempt now: its backend has read the cancellation."""
        pending = self.loop.remove_timer(self.attempt_ended, cancelled)
        if pending is not None:
            self.attempt_ended(*pending.arguments)

    def attempt_timed_out(self, attempt: Attempt) -> None:
        """Handle the time-out of an attempt or a health check."""
        if attempt.connection is not None:
            self.gateway.upstream.cancel(attempt)
            self.attempt_ended(attempt, CloseReason.TIME_UP)

    def is_obsolete(self, timer: ScheduledCall) -> bool:
        """Return whether a timer is the time-out of an ended attempt, or of a finished request: it need not
        wake the event loop, nor be kept."""
        if timer.callback == self.attempt_timed_out:
            return timer.arguments[0].connection is None
        return timer.callback == self.send_deadline_passed and timer.arguments[0].request.finished

    def report_end(self, attempt: Attempt, end: CloseReason) -> None:
        """Report the end of an unanswered attempt or health check, once the current callback returns."""
        self.loop.defer(self.attempt_ended, attempt, end)

    def _report_unsendable(self, client_request: ClientRequest, backend: Backend) -> None:
        """End an attempt without sending it, as it would violate an invariant."""
        attempt = Attempt(
            client_request,
            backend,
            client_request.request.attempts - 1,
            client_request.name.encode(),
            b"",
            self.clock.time,
        )
        client_request.attempt = attempt
        self.report_end(attempt, CloseReason.UNWRITTEN)

    def _trace(self, client_request: ClientRequest, what: str, detail: str) -> None:
        self.gateway.trace.add(self.clock.monotonic_time, client_request.name, what, detail)
