"""Rules on when a request may be sent, or sent again, under an idempotency key.

A request that is not safe to repeat is dispatched only once its write-ahead intent is durable; otherwise a
crash could lead to a second execution. A request that still waits for its intent has not been executed.
"""

from __future__ import annotations

from enum import StrEnum, auto
from typing import NamedTuple

from lilacloft.routing.model import Idempotency, IdempotencyScope
from lilacloft.routing.units import Ticks
from lilacloft.store.record_types import Intent


class Verdict(StrEnum):
    """Whether a dispatch may be sent."""

    SEND = auto()  # immediately
    WAIT = auto()  # sent once its intent is durable
    REJECT = auto()  # not sent by this gateway; the client may retry elsewhere
    FAIL = auto()  # not sent and not to be retried: an earlier process may have had it executed


class IdempotencyPolicy(NamedTuple):
    """The rules of a virtual host for repeated requests."""

    idempotency: Idempotency
    window: Ticks  # for how long a key is recognized
    scope: IdempotencyScope  # the backends that recognize it


def needs_durable_intent(idempotency: Idempotency) -> bool:
    """Return whether a dispatch needs a durable intent before it goes out."""
    return idempotency != Idempotency.SAFE


def may_send_again(policy: IdempotencyPolicy, earlier: Intent | None, now: Ticks, cell: int) -> bool:
    """Return whether a request may go to a backend in `cell`, given the intent of an earlier process.

    A request without an idempotency key is never sent again; one with a key only within its window and scope.
    An intent in the future means that the clock was set back: its age is unknown, so it is not sent again.
    """
    if earlier is None or earlier.not_executed or policy.idempotency == Idempotency.SAFE:
        return True
    if policy.idempotency == Idempotency.NONE:
        return False
    in_window = earlier.sent_at <= now < earlier.sent_at + policy.window
    return in_window and (policy.scope != IdempotencyScope.CELL or cell == earlier.cell)


def verdict_while_pending(idempotency: Idempotency, waited: Ticks, durability_timeout: Ticks) -> Verdict:
    """Return the verdict on a dispatch whose intent is not durable after it has waited for `waited`."""
    if not needs_durable_intent(idempotency):
        return Verdict.SEND
    return Verdict.WAIT if waited < durability_timeout else Verdict.REJECT
