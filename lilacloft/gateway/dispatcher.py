"""Carries out attempts and health checks: sends, withdraws and cancels them, and reports their ends.

An attempt that waits for the store or for a connection has not gone out yet and can be withdrawn; one that
has gone out can only be cancelled. The decisions never hear of an end from within one of their own calls: it
is deferred until that has returned.
"""

from __future__ import annotations

from lilacloft.gateway.answers import AnswerKind, FinalAnswers
from lilacloft.gateway.clock import TICKS_PER_MILLISECOND
from lilacloft.gateway.context import GatewayContext
from lilacloft.gateway.event_loop import ScheduledCall
from lilacloft.gateway.wire_messages import attempt_milliseconds, encode_dispatch
from lilacloft.invariants import History
from lilacloft.net.attempt import Attempt
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.net.upstream_answers import NO_REPLY, Reply
from lilacloft.routing.host import AttemptResult, Dispatch
from lilacloft.routing.model import Backend, Idempotency, Outcome, Request
from lilacloft.routing.units import Ticks

# ends of a health check behind a cancellation after which the backend has read it, or has no connection to us
CONFIRMS_CANCELLATION = frozenset(
    (CloseReason.DATA, CloseReason.FAILED, CloseReason.CLOSED, CloseReason.RESET)
)


class AttemptDispatcher:
    """One gateway's attempts and health checks."""

    def __init__(self, gateway: GatewayContext, answers: FinalAnswers) -> None:
        self.gateway, self.answers = gateway, answers
        self.clock, self.loop = gateway.clock, gateway.loop

    # --- sending ---

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send an attempt, unless a check finds that it would break an invariant."""
        gateway, backend = self.gateway, dispatch.backend
        call = gateway.open_requests[dispatch.request]
        source = dispatch.source if dispatch.source is not backend else None
        work = dispatch.request.transfer_time
        if not gateway.invariants.may_send(call.history, backend, source or backend, work, self.clock.time):
            self._report_unsendable(call, backend)
            return
        until = min(self.clock.time + dispatch.timeout, dispatch.request.deadline)
        sent = self._make_attempt(call, dispatch, source, until)
        call.attempt = sent
        if call.last_outcome:
            gateway.counters.retries[call.last_outcome] += 1
        self._trace(call, "sent", f"{backend.name} {sent.seq}")
        if gateway.recorder:
            gateway.recorder.dispatched(call, backend)
        end = gateway.store.dispatch(sent, until) if gateway.store else gateway.back.dispatch(sent)
        if end is not None:
            self.report_end(sent, end)
            return
        self.loop.call_at(until, self.attempt_timed_out, sent)
        if dispatch.request.send_by:
            self.loop.call_at(dispatch.request.send_by, self.send_deadline_passed, call)

    def _make_attempt(
        self, call: ClientRequest, dispatch: Dispatch, source: Backend | None, until: Ticks
    ) -> Attempt:
        """Return an attempt with its message; `until`: when it times out, in the gateway's time."""
        request, clock = dispatch.request, self.clock
        return Attempt(
            call,
            dispatch.backend,
            request.attempts - 1,
            call.name.encode(),
            encode_dispatch(call, dispatch, self.gateway.vhosts[request.vhost]["name"], source),
            clock.time,
            encoded_at=clock.monotonic_time,
            time_limit=TICKS_PER_MILLISECOND * attempt_milliseconds(dispatch),
            deadline=clock.to_monotonic(until),
            send_by=clock.to_monotonic(request.send_by),
            window_over=self.idempotency_deadline(call.history),
        )

    def idempotency_deadline(self, history: History) -> Ticks:
        """Return when a request that may have run may not be sent again, by the monotonic clock; 0: it always
        may."""
        if history.first_executed_at is None or history.effect.kind == Idempotency.SAFE:
            return 0
        return self.clock.to_monotonic(history.first_executed_at + history.effect.window)

    def check_health(self, backend: Backend) -> None:
        """Send a health check."""
        sent, end = self.gateway.back.check(backend)
        if end is not None:
            self.report_end(sent, end)
        else:
            self.loop.call_at(
                self.clock.time + self.gateway.back.connect_timeout, self.attempt_timed_out, sent
            )

    # --- taking back ---

    def cancel(self, request: Request, attempt: int) -> None:
        """Stop waiting for an attempt, given by its number within its request."""
        sent = self._find_attempt(request, attempt)
        if sent is None:
            return
        if self._withdraw_from_store(sent):
            self.report_end(sent, CloseReason.UNWRITTEN)
        elif sent.connection is not None:
            confirmed_at = self.gateway.back.cancel(sent, confirm=not request.finished)
            if sent.confirmation is not None:
                self.loop.call_at(confirmed_at, self.attempt_timed_out, sent.confirmation)
            self.loop.defer(self.attempt_cancelled, sent, CloseReason.CALLED_OFF, confirmed_at)

    def withdraw(self, request: Request, attempt: int) -> None:
        """Take an attempt back, given by its number within its request, if it has not gone out."""
        sent = self._find_attempt(request, attempt)
        if sent is not None:
            self._withdraw_unsent(sent)

    def _find_attempt(self, request: Request, attempt: int) -> Attempt | None:
        """Return a request's attempt if it is out."""
        call = self.gateway.open_requests.get(request)
        sent = call.attempt if call else None
        return sent if sent is not None and sent.seq == attempt else None

    def _withdraw_unsent(self, sent: Attempt) -> bool:
        """Take back an attempt that has not gone out and report its end; False where it may have."""
        withdrawn = self._withdraw_from_store(sent) or self.gateway.back.withdraw(sent)
        if withdrawn:
            self.report_end(sent, CloseReason.UNWRITTEN)
        return withdrawn

    def _withdraw_from_store(self, sent: Attempt) -> bool:
        """Take back an attempt that waits for the disk; False where it does not."""
        store = self.gateway.store
        return bool(store and store.withdraw(sent))

    def send_deadline_passed(self, call: ClientRequest) -> None:
        """Give a request up at once where it is not out at a backend: nothing may be sent for it any more."""
        sent = call.attempt
        if call.request.finished:
            return
        if sent is not None and self._withdraw_unsent(sent):
            return
        if sent is None or sent.connection is None:
            self.gateway.router.send_by_passed(call.request)

    def forget_if_finished(self, call: ClientRequest) -> None:
        """Forget a finished request once no attempt of it is out. One that has not gone out is taken back,
        also where the settings let no attempt be cancelled."""
        if not call.request.finished:
            return
        if call.attempt is None:
            self.gateway.open_requests.pop(call.request, None)
        else:
            self._withdraw_unsent(call.attempt)

    # --- ends ---

    def attempt_ended(self, sent: Attempt, end: CloseReason, reply: Reply = NO_REPLY) -> None:
        """An attempt or a health check is over. That its reply waited in the event loop's queue since it was
        read counts against no backend."""
        self.gateway.counters.ends[end.name] += 1
        outcome, call = OUTCOMES[end], sent.call
        if call is None:
            if sent.confirms is None:
                self._health_check_ended(sent.backend, outcome, reply)
            elif end in CONFIRMS_CANCELLATION:
                self._cancellation_confirmed(sent.confirms)
            return
        waited_here = max(0, self.clock.monotonic_time - reply.read_at) if reply.read_at else 0
        duration = max(0, self.clock.time - sent.at - waited_here)
        call.attempt, call.last_outcome = None, outcome
        if sent.encoded_at:  # else a check kept it back
            self.gateway.invariants.attempt_ended(call.history, outcome)
        self.gateway.trace.add_late(self.clock.monotonic_time, call.name, "ended", end.name, waited_here)
        self._notify_end(sent, end, duration, reply)
        if outcome == Outcome.DONE:
            self._send_answer(call, end, reply.body)
        is_final = outcome == Outcome.DONE or call.request.finished
        result = AttemptResult(sent.seq, outcome, duration, is_final, reply.note)
        self.gateway.router.attempt_ended(call.request, sent.backend, result)
        self.forget_if_finished(call)

    def _health_check_ended(self, backend: Backend, outcome: str, reply: Reply) -> None:
        if self.gateway.recorder:
            self.gateway.recorder.health_checked(backend, reply.load)
        self.gateway.router.health_checked(backend, outcome, reply.load)

    def _notify_end(self, sent: Attempt, end: CloseReason, duration: Ticks, reply: Reply) -> None:
        """Tell the store, the records and the planners' agent of an attempt's end."""
        gateway, call = self.gateway, sent.call
        if gateway.store:
            gateway.store.attempt_ended(sent, end)
        if gateway.recorder:
            gateway.recorder.attempt_ended(sent, end, duration, reply)
        if gateway.agent:
            gateway.agent.attempt_ended(call, sent.backend, OUTCOMES[end], duration, reply.note)

    def _send_answer(self, call: ClientRequest, end: CloseReason, body: bytes) -> None:
        if end is CloseReason.UNCHANGED:
            self.answers.send(call, AnswerKind.SERVED, (("ok304", 1),))
        else:
            self.answers.send(call, AnswerKind.SERVED, (), body)

    def attempt_cancelled(self, sent: Attempt, end: CloseReason, confirmed_at: Ticks) -> None:
        """An attempt was ended by this gateway. Its request may be sent again only once it is certain that
        the backend knows, else two attempts could be out at once; so its end is reported at `confirmed_at`,
        or now where nothing will be sent any more."""
        if sent.call is None or sent.call.request.finished or confirmed_at <= self.clock.time:
            self.attempt_ended(sent, end)
        else:
            self.loop.call_at(confirmed_at, self.attempt_ended, sent, end)

    def _cancellation_confirmed(self, cancelled: Attempt) -> None:
        """A backend has read the cancellation of an attempt: report its end now."""
        pending = self.loop.take_call(self.attempt_ended, cancelled)
        if pending is not None:
            self.attempt_ended(*pending.arguments)

    def attempt_timed_out(self, sent: Attempt) -> None:
        """The time of an attempt or a health check is up."""
        if sent.connection is not None:
            self.gateway.back.cancel(sent)
            self.attempt_ended(sent, CloseReason.TIME_UP)

    def is_obsolete(self, call: ScheduledCall) -> bool:
        """Is a timer the time-out of an attempt that is over? Then it need not wake the event loop."""
        return call.callback == self.attempt_timed_out and call.arguments[0].connection is None

    def report_end(self, sent: Attempt, end: CloseReason) -> None:
        """Report the end of an attempt or a health check without an answer, after the current callback."""
        self.loop.defer(self.attempt_ended, sent, end)

    def _report_unsendable(self, call: ClientRequest, backend: Backend) -> None:
        """End an attempt before it begins, as it would break an invariant."""
        sent = Attempt(call, backend, call.request.attempts - 1, call.name.encode(), b"", self.clock.time)
        call.attempt = sent
        self.report_end(sent, CloseReason.UNWRITTEN)

    def _trace(self, call: ClientRequest, what: str, detail: str) -> None:
        self.gateway.trace.add(self.clock.monotonic_time, call.name, what, detail)
