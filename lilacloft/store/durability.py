"""Decides when a dispatch may be sent and which records are stored about it.

The gate sits between the routing decisions and the connections. A dispatch that is not safe to repeat waits
until its write-ahead intent is durable. If the disk does not confirm the intent in time, the dispatch is
rejected: it is certain not to have been executed. Requests that an earlier process may have sent are
recognized by their keys. This module does no I/O: a `DurabilityHost` queues the records and reports when they
are durable. Times are `Ticks` of Unix time.

A key identifies requests that have the same effect. It is the client's idempotency key, or else the request's
name: a client whose connection ends before the answer arrives sends the request again under the same name.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from lilacloft.routing.model import Idempotency, IdempotencyScope
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks
from lilacloft.store import record_types
from lilacloft.store.idempotency import IdempotencyPolicy, Verdict, may_send_again, needs_durable_intent
from lilacloft.store.record_types import EventNumbers, Intent, PurgeTarget, RecordKind, Work
from lilacloft.store.recovered_state import WORK_INTERVAL, RecoveredState

# Time limit for making an intent durable. After that the client is better served by a retry elsewhere.
DEFAULT_DURABILITY_TIMEOUT: Ticks = TICKS_PER_SECOND // 20

# Counters, by their names in the state that is handed over to the next process.
INTENTS_WRITTEN = "kept"
DISPATCHES_DELAYED = "held"
DISPATCHES_REJECTED = "refused"  # the intent was not durable in time
UNSAFE_REPEATS = "barred"  # an earlier process may have had the request executed


class DurabilityHost(Protocol):
    """The operations that a gate needs from its environment. No call blocks."""

    def now(self) -> Ticks:
        """Return the current time."""

    def write_record(self, kind: int, key: bytes, value: bytes | None) -> int:
        """Queue a record (value None: a removal) and return its ticket. Tickets are in ascending order.

        The host calls `DurabilityGate.records_durable` when records have become durable.
        """

    def release(self, token: str) -> None:
        """Send a pending dispatch."""

    def reject(self, token: str) -> None:
        """Drop a pending dispatch, which was not executed."""


@dataclass
class KeyUse:
    """The dispatches of this process under one key that are pending or in flight.

    There can be several at a time, since attempts of one request can overlap.
    """

    previous_intent: Intent | None  # the intent stored under the key before the first of these dispatches
    dispatches: int = 0  # number of dispatches pending or in flight
    may_have_executed: bool = False  # whether any of them was sent and may have been executed
    intent_durable: bool = False


@dataclass
class PendingDispatch:
    """A dispatch that waits until its intent is durable."""

    token: str
    key: bytes
    ticket: int
    expires_at: Ticks  # rejected from then on: disk too slow, client gone or idempotency window over


class DurabilityGate:
    """The durability gate of one gateway. Each dispatch has a unique token."""

    def __init__(
        self,
        host: DurabilityHost,
        recovered: RecoveredState | None = None,
        durability_timeout: Ticks = DEFAULT_DURABILITY_TIMEOUT,
    ) -> None:
        self.host, self.durability_timeout = host, durability_timeout
        self.intents: dict[bytes, Intent] = dict(recovered.intents) if recovered else {}
        self.earlier_keys = set(self.intents)  # keys with an intent of an earlier process
        self.key_uses: dict[bytes, KeyUse] = {}
        self.in_flight: dict[str, bytes] = {}  # keys by token
        self.pending: dict[str, PendingDispatch] = {}
        self.pending_order: deque[PendingDispatch] = deque()  # by ticket; some are no longer pending
        self.work_written_at: dict[str, Ticks] = {}  # time of the last work record of each backend
        self.counts = dict.fromkeys(
            (INTENTS_WRITTEN, DISPATCHES_DELAYED, DISPATCHES_REJECTED, UNSAFE_REPEATS), 0
        )

    # --- dispatches ---

    def admit(
        self,
        token: str,
        key: bytes,
        policy: IdempotencyPolicy,
        cell: int,
        deadline: Ticks | None = None,
    ) -> Verdict:
        """Decide on a dispatch to a backend in `cell`.

        After WAIT the gate calls `release` or `reject` of the host; `reject` no later than `deadline`, early
        enough to tell the client that nothing was executed. If an earlier process may have had the request
        executed and it cannot be repeated here, the verdict is REJECT if all backends recognize its key, as
        a retry elsewhere is harmless then, and FAIL otherwise.
        """
        if not needs_durable_intent(policy.idempotency):
            return Verdict.SEND
        now, stored = self.host.now(), self.intents.get(key)
        if key in self.earlier_keys and not may_send_again(policy, stored, now, cell):
            return self._verdict_on_unsafe_repeat(policy)
        use = self.key_uses.setdefault(key, KeyUse(stored))
        use.dispatches += 1
        if use.intent_durable and stored is not None:
            self.in_flight[token], use.may_have_executed = key, True
            return Verdict.SEND
        ticket = self._write_intent(key, policy, cell, now)
        self._add_pending(PendingDispatch(token, key, ticket, self._expiry(key, policy, now, deadline)))
        return Verdict.WAIT

    def _verdict_on_unsafe_repeat(self, policy: IdempotencyPolicy) -> Verdict:
        self.counts[UNSAFE_REPEATS] += 1
        retry_is_harmless = policy.idempotency == Idempotency.KEYED and policy.scope == IdempotencyScope.ALL
        return Verdict.REJECT if retry_is_harmless else Verdict.FAIL

    def _write_intent(self, key: bytes, policy: IdempotencyPolicy, cell: int, now: Ticks) -> int:
        """Queue the intent of a dispatch and return its ticket.

        The idempotency window and scope refer to the first dispatch under the key, so its time and cell stay.
        """
        stored, sent_at = self.intents.get(key), now
        if stored is not None and not stored.not_executed:
            sent_at, cell = stored.sent_at, stored.cell
        self.intents[key] = Intent(sent_at, policy.idempotency, False, cell)
        self.counts[INTENTS_WRITTEN] += 1
        return self.host.write_record(RecordKind.INTENT, key, self.intents[key].pack())

    def _expiry(self, key: bytes, policy: IdempotencyPolicy, now: Ticks, deadline: Ticks | None) -> Ticks:
        expires_at = now + self.durability_timeout
        if deadline is not None:
            expires_at = min(expires_at, deadline)
        if key in self.earlier_keys and policy.idempotency == Idempotency.KEYED:
            expires_at = min(expires_at, self.intents[key].sent_at + policy.window)
        return expires_at

    def _add_pending(self, pending: PendingDispatch) -> None:
        self.pending[pending.token] = pending
        self.pending_order.append(pending)
        self.counts[DISPATCHES_DELAYED] += 1

    def records_durable(self, ticket: int) -> None:
        """Release the dispatches whose intents are durable, given that all records up to `ticket` are."""
        while self.pending_order and self.pending_order[0].ticket <= ticket:
            pending = self.pending_order.popleft()
            if self.pending.get(pending.token) is not pending:
                continue
            if self.host.now() >= pending.expires_at:
                self._reject(pending)
                continue
            del self.pending[pending.token]
            use = self.key_uses[pending.key]
            use.intent_durable = use.may_have_executed = True
            self.in_flight[pending.token] = pending.key
            self.host.release(pending.token)

    def withdraw(self, token: str) -> None:
        """Drop a pending dispatch whose client no longer waits for it."""
        pending = self.pending.pop(token, None)
        if pending:
            self._end_use(pending.key)

    def withdraw_all(self) -> list[str]:
        """Drop all pending dispatches and return their tokens, so that nothing waits for the disk.

        They were not executed and may be dispatched again, by this process or the next one.
        """
        tokens = list(self.pending)
        for token in tokens:
            self.withdraw(token)
        return tokens

    def dispatch_ended(self, token: str, executed: bool) -> None:
        """Record the end of a dispatch. `executed` is false only if it is certain not to have been executed.

        The intent of a dispatch that may have been executed stays stored. If no dispatch under a key may have
        been executed, the key counts as unused.
        """
        key = self.in_flight.pop(token, None)
        if key is None:
            return
        use = self.key_uses[key]
        if executed:
            use.previous_intent, use.may_have_executed = self.intents[key], True
        elif key not in self.in_flight.values():
            use.may_have_executed = False  # an earlier execution is recorded in `previous_intent`
        self._end_use(key)

    def expire_pending(self) -> None:
        """Reject the pending dispatches that have expired.

        Their intents may still become durable later; the records that revert them follow in the log.
        """
        now = self.host.now()
        for pending in list(self.pending.values()):
            if now >= pending.expires_at:
                self._reject(pending)

    def next_expiry(self) -> Ticks | None:
        """Return the time until the next pending dispatch expires; None if none is pending."""
        expires_at = min((pending.expires_at for pending in self.pending.values()), default=None)
        return None if expires_at is None else max(0, expires_at - self.host.now())

    def _reject(self, pending: PendingDispatch) -> None:
        del self.pending[pending.token]
        self._end_use(pending.key)
        self.counts[DISPATCHES_REJECTED] += 1
        self.host.reject(pending.token)

    def _end_use(self, key: bytes) -> None:
        """End one dispatch under a key.

        After the last one, the stored intent is reverted unless a dispatch may have been executed.
        """
        use = self.key_uses[key]
        use.dispatches -= 1
        if use.dispatches:
            return
        del self.key_uses[key]
        if use.may_have_executed or self.intents.get(key) == use.previous_intent:
            return
        if use.previous_intent is None:
            del self.intents[key]
            self.host.write_record(RecordKind.INTENT, key, None)
        else:
            self.intents[key] = use.previous_intent
            self.host.write_record(RecordKind.INTENT, key, use.previous_intent.pack())

    # --- handover between processes ---

    def dispatches_lost(self, lost: Iterable[tuple[str, bytes]]) -> None:
        """Record that another process died with these dispatches (token and key) in flight.

        They may have been executed, and their clients send them again under the same keys. They count as
        dispatches of an earlier process, even if their end was reported in the meantime.
        """
        for token, key in lost:
            self.dispatch_ended(token, True)
            if key in self.intents:
                self.earlier_keys.add(key)

    def adopt(self, token: str, key: bytes, idempotency: Idempotency, sent_at: Ticks, cell: int) -> None:
        """Take over a dispatch in flight from an earlier process that had no store, and store its intent."""
        if not needs_durable_intent(idempotency):
            return
        stored = self.intents.get(key)
        use = self.key_uses.setdefault(key, KeyUse(stored))
        use.dispatches, use.may_have_executed = use.dispatches + 1, True
        self.in_flight[token] = key
        if stored is None or stored.not_executed:
            self.intents[key] = Intent(sent_at, idempotency, False, cell)
            self.host.write_record(RecordKind.INTENT, key, self.intents[key].pack())
            self.counts[INTENTS_WRITTEN] += 1

    def merge_intents(self, stored: Mapping[bytes, Intent]) -> None:
        """Merge all stored intents after another process has written some and ended.

        The dispatches of that process may have been executed. Pending dispatches of this process under the
        same keys were admitted without that knowledge: they are rejected, and may be retried.
        """
        for key, intent in stored.items():
            if self.intents.get(key) == intent and key in self.earlier_keys:
                continue
            use = self.key_uses.get(key)
            if use is None:
                self.intents[key] = intent
                self.earlier_keys.add(key)
            elif not use.intent_durable and intent != use.previous_intent:
                # the intent is that of the other process, even if it equals ours
                use.previous_intent = intent
                self.earlier_keys.add(key)
                for pending in [pending for pending in self.pending.values() if pending.key == key]:
                    self._reject(pending)
        for key in [key for key in self.intents if key not in stored and key not in self.key_uses]:
            del self.intents[key]
            self.earlier_keys.discard(key)

    def write_relayed(self, kind: int, key: bytes, value: bytes | None) -> int:
        """Write a record for the previous process, which still completes its own requests; return the ticket.

        Its requests count as sent by an earlier process.
        """
        if kind == RecordKind.INTENT:
            if value is None:
                self.intents.pop(key, None)
            elif key not in self.key_uses:
                self.intents[key] = record_types.unpack_intent(value)
                self.earlier_keys.add(key)
        return self.host.write_record(kind, key, value)

    # --- records on which no dispatch waits ---

    def object_purged(self, target: PurgeTarget, purged_at: Ticks) -> None:
        """Write a PURGE record."""
        value = record_types.pack_time(purged_at)
        self.host.write_record(RecordKind.PURGE, record_types.pack_purge_key(target), value)

    def events_applied(self, numbers: EventNumbers) -> None:
        """Write how far the change log has been applied, after the records of its last event."""
        self.host.write_record(RecordKind.LAST_EVENT, b"", record_types.pack_event_numbers(numbers))

    def write_work(self, backend: str, started_at: Ticks, work: list[Work], slow_start: Ticks) -> None:
        """Write the recent work of a backend, at most once per WORK_INTERVAL and only during its slow start.

        `started_at` is when the backend started (0: not recently), `slow_start` the length of its slow start.
        """
        now = self.host.now()
        if not started_at or now - started_at >= slow_start:
            return
        if now - self.work_written_at.get(backend, 0) < WORK_INTERVAL:
            return
        self.work_written_at[backend] = now
        self.host.write_record(RecordKind.SLOW_START, backend.encode(), record_types.pack_work(work))

    def remove_expired(self, max_age: Ticks) -> int:
        """Remove intents older than `max_age` that are not in use; return how many."""
        now, removed = self.host.now(), 0
        for key, intent in list(self.intents.items()):
            if key not in self.key_uses and now - min(intent.sent_at, now) > max_age:
                del self.intents[key]
                self.earlier_keys.discard(key)
                self.host.write_record(RecordKind.INTENT, key, None)
                removed += 1
        return removed
