"""Attempts and retries: how many attempts a request may have, which requests may be executed again, and which
backends are excluded from the next attempt.

No effect may happen twice: once an attempt may have been executed, another one may follow only as the virtual
host's idempotency allows.
"""

from __future__ import annotations

import math

from lilacloft.routing.host import AttemptResult
from lilacloft.routing.model import (
    Backend,
    CacheNote,
    Idempotency,
    IdempotencyScope,
    Outcome,
    RejectReason,
    Request,
)
from lilacloft.routing.units import Ticks
from lilacloft.routing.virtual_host import VirtualHost

MAX_ATTEMPTS = 3  # per request; more would cost backends more load than they save requests
# Time for which attempts may still begin after a client may have left: it may have closed only its sending
# side, and still read.
CLIENT_LEFT_GRACE: Ticks = 500

# Outcomes after which an attempt may have been executed.
MAY_HAVE_EXECUTED = (
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.RESET,
    Outcome.MALFORMED,
    Outcome.CANCELLED,
)
# Outcomes that may be due to the end of the backend's process.
CONNECTION_ENDED = (Outcome.RESET, Outcome.MALFORMED)
# Outcomes after which an attempt certainly did not trigger revalidation.
NOT_REVALIDATED = (Outcome.UNSENT, Outcome.CONNECT_FAILED, Outcome.QUEUE_FULL, Outcome.CANCELLED)
# Notes that blame the source of a fill, not the cache that was asked.
SOURCE_FAILED = (
    CacheNote.SOURCE_REFUSED,
    CacheNote.SOURCE_UNREACHABLE,
    CacheNote.SOURCE_HAS_NO_COPY,
    CacheNote.ORIGIN_FAILED,
)


def last_send_time(client_left_at: Ticks) -> Ticks:
    """Return the time from which no attempt may begin for a client that may have left at the given time.
    Stateless: usable from any thread, with times of any clock."""
    return client_left_at + CLIENT_LEFT_GRACE


def attempts_used(request: Request, allowed: int) -> bool:
    """Return whether a request has used all its attempts: `allowed`, the maximum from the settings, but never
    more than MAX_ATTEMPTS."""
    return request.attempts >= min(MAX_ATTEMPTS, allowed)


def send_by_reason(request: Request) -> RejectReason:
    """Return which of the two causes of a request's `send_by` applies."""
    if request.first_executed_at is None:
        return RejectReason.CLIENT_LEFT
    return RejectReason.WINDOW_OVER


def limit_send_by(request: Request, at: Ticks) -> None:
    """Allow no attempt of a request to be sent after the given time."""
    request.send_by = min(request.send_by or math.inf, at)


def may_repeat(request: Request, backend: Backend, vhost: VirtualHost, now: Ticks, tick: Ticks) -> bool:
    """Return whether a request may be sent to a backend, considering that an earlier attempt may have been
    executed. In that case the request must be sent before its idempotency window ends."""
    if request.first_executed_at is None or vhost.is_safe:
        return True
    window_ends_at = request.first_executed_at + vhost.idempotency_window - tick
    if (
        vhost.idempotency is not Idempotency.KEYED
        or not _knows_key(vhost.idempotency_scope, request.first_executed_by, backend)
        or now >= window_ends_at
        or _may_be_replaced(request, backend, vhost)
    ):
        return False
    limit_send_by(request, window_ends_at)
    return True


def _knows_key(scope: IdempotencyScope, first: Backend | None, backend: Backend) -> bool:
    """Return whether a backend recognizes an idempotency key that the first one has seen."""
    if scope is IdempotencyScope.ALL:
        return True
    if first is None:
        return False
    return backend.zone == first.zone if scope is IdempotencyScope.ZONE else backend.cell == first.cell


def _may_be_replaced(request: Request, backend: Backend, vhost: VirtualHost) -> bool:
    """Return whether another process may have taken a backend's address since an attempt, and would not
    recognize the idempotency key."""
    return vhost.idempotency_scope is not IdempotencyScope.ALL and backend in request.failed_backends


def may_reject(request: Request, vhost: VirtualHost) -> bool:
    """Return whether a client may be told that a retry is safe."""
    executed = request.in_flight or request.first_executed_at is not None
    return (
        not executed
        or vhost.is_safe
        or (vhost.idempotency is Idempotency.KEYED and vhost.idempotency_scope is IdempotencyScope.ALL)
    )


def record_disconnection(
    request: Request, backend: Backend, vhost: VirtualHost, result: AttemptResult
) -> None:
    """Record that an attempt may have ended with its backend's process. A process that comes up at the same
    address is listed only later, and may belong to another zone or cell: it recognizes no key of the first,
    unless all backends share them."""
    is_scoped = vhost.idempotency is Idempotency.KEYED and vhost.idempotency_scope is not IdempotencyScope.ALL
    if is_scoped and result.outcome in CONNECTION_ENDED and backend not in request.failed_backends:
        request.failed_backends.append(backend)


def record_failure(request: Request, backend: Backend, source: Backend, result: AttemptResult) -> None:
    """Record a failed attempt: whether it may have been executed, and which backends are excluded from
    retries.

    Malformed, unsent and reset attempts may happen anywhere and exclude no backend; after a malformed answer
    the same backend holds a copy ready.
    """
    outcome = result.outcome
    if outcome in MAY_HAVE_EXECUTED and request.first_executed_at is None:
        request.first_executed_at, request.first_executed_by = request.sent_at, backend
    if outcome in (Outcome.MALFORMED, Outcome.UNSENT):
        return
    if outcome == Outcome.RESET and not backend.ejected:
        return
    # the backend answers other requests: only this attempt was lost
    lost = outcome == Outcome.CANCELLED and not backend.ejected and backend.last_answer_at >= request.sent_at
    if result.note not in SOURCE_FAILED and not lost:
        request.failed_backends.append(backend)
    if result.note != CacheNote.FILL_QUEUE_FULL and source is not backend:
        request.failed_backends.append(source)
    # the fill in progress may be what has just failed
    request.may_collapse = request.may_collapse and outcome not in MAY_HAVE_EXECUTED
