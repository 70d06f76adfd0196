"""Rules on what may be sent, and when, under an idempotency key.

A request that is not safe to repeat is dispatched only after a durable write-ahead intent: without it, a
crash could lead to a second execution. A request that still waits for the intent was surely not executed.
"""

from __future__ import annotations

from enum import StrEnum, auto
from typing import NamedTuple

from lilacloft.routing.model import Idempotency, IdempotencyScope
from lilacloft.routing.units import Ticks
from lilacloft.store.record_types import Intent


class Verdict(StrEnum):
    """Whether a dispatch may go out."""

    SEND = auto()  # now
    WAIT = auto()  # until its intent is durable
    REJECT = auto()  # never by this gateway; the client may try again elsewhere
    FAIL = auto()  # never: an earlier process may have had it executed


class IdempotencyPolicy(NamedTuple):
    """What a virtual host says of repeated requests."""

    idempotency: Idempotency
    window: Ticks  # in which a key is recognized
    scope: IdempotencyScope  # the backends that recognize it


def needs_durable_intent(idempotency: Idempotency) -> bool:
    """Return whether a dispatch needs a durable intent before it goes out."""
    return idempotency != Idempotency.SAFE


def may_send_again(policy: IdempotencyPolicy, earlier: Intent | None, now: Ticks, cell: int) -> bool:
    """Return whether a request may go to a backend in `cell`, given the intent of an earlier process.

    A request without an idempotency key never may; one with a key within its window and scope. If the intent
    is in the future, the clock was set back and its age is unknown.
    """
    if earlier is None or earlier.not_executed or policy.idempotency == Idempotency.SAFE:
        return True
    if policy.idempotency == Idempotency.NONE:
        return False
    in_window = earlier.sent_at <= now < earlier.sent_at + policy.window
    return in_window and (policy.scope != IdempotencyScope.CELL or cell == earlier.cell)


def verdict_while_pending(idempotency: Idempotency, waited: Ticks, durability_timeout: Ticks) -> Verdict:
    """Return what becomes of a dispatch whose intent has not become durable for some time."""
    if not needs_durable_intent(idempotency):
        return Verdict.SEND
    return Verdict.WAIT if waited < durability_timeout else Verdict.REJECT
