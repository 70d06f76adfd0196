"""Decides when a dispatch may go out, given what must be durable before it, and what is stored about it.

The gate stands between the routing decisions and the connections. A dispatch that is not safe to repeat waits
until its write-ahead intent is durable; it is rejected if the disk does not answer in time, as it was surely
not executed. Requests that an earlier process may have sent are recognized by their keys. There is no I/O
here: a `DurabilityHost` queues the records and reports when they are durable. Times are `Ticks` of Unix time.

A key identifies requests with one effect. It is the client's idempotency key, or else the request's name, as
a request that crosses the end of a connection is sent again under its name.
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

# How long a dispatch waits for the disk. After that an attempt elsewhere serves the client better.
DEFAULT_DURABILITY_TIMEOUT: Ticks = TICKS_PER_SECOND // 20

# Counters, by the names under which they are handed over.
INTENTS_WRITTEN = "kept"
DISPATCHES_DELAYED = "held"
DISPATCHES_REJECTED = "refused"  # as the disk did not answer in time
KEYS_BARRED = "barred"  # as an earlier process may have sent them


class DurabilityHost(Protocol):
    """How a gate acts. All calls return at once."""

    def now(self) -> Ticks:
        """Return the time."""

    def write_record(self, kind: int, key: bytes, value: bytes | None) -> int:
        """Queue a record (None: a removal); returns its ticket. Tickets rise.

        Once records are durable, the host calls `DurabilityGate.records_durable`.
        """

    def release(self, token: str) -> None:
        """Send a dispatch that was pending."""

    def reject(self, token: str) -> None:
        """Drop a dispatch that was pending; it was not executed."""


@dataclass
class KeyUse:
    """All dispatches of this process under one key that are pending or in flight.

    There may be several at a time, as attempts of one request can overlap.
    """

    earlier: Intent | None  # what was stored under the key before the first of them
    dispatches: int = 0  # how many are pending or in flight
    may_have_executed: bool = False  # whether any has gone out and may have been executed
    intent_durable: bool = False


@dataclass
class PendingDispatch:
    """A dispatch that waits for its intent."""

    token: str
    key: bytes
    ticket: int
    expires_at: Ticks  # rejected from then on: the disk is too slow, the client gone or the window over


class DurabilityGate:
    """The gate of one gateway, which passes it each dispatch under a token of its own."""

    def __init__(
        self,
        host: DurabilityHost,
        recovered: RecoveredState | None = None,
        durability_timeout: Ticks = DEFAULT_DURABILITY_TIMEOUT,
    ) -> None:
        self.host, self.durability_timeout = host, durability_timeout
        self.intents: dict[bytes, Intent] = dict(recovered.intents) if recovered else {}
        self.earlier_keys = set(self.intents)  # keys that an earlier process has used
        self.key_uses: dict[bytes, KeyUse] = {}
        self.in_flight: dict[str, bytes] = {}  # keys by token
        self.pending: dict[str, PendingDispatch] = {}
        self.pending_order: deque[PendingDispatch] = deque()  # by ticket; some are not pending any more
        self.work_written_at: dict[str, Ticks] = {}  # when each backend's work was last written
        self.counts = dict.fromkeys(
            (INTENTS_WRITTEN, DISPATCHES_DELAYED, DISPATCHES_REJECTED, KEYS_BARRED), 0
        )

    # --- dispatches ---

    def admit(
        self,
        token: str,
        key: bytes,
        policy: IdempotencyPolicy,
        cell: int,
        latest: Ticks | None = None,
    ) -> Verdict:
        """Decide on a dispatch to a backend in `cell`.

        After WAIT the host is called with `release`, or with `reject` at `latest` at the latest: early enough
        for the client to get an answer that says that nothing was executed. An earlier process may have had
        the request executed: then it is rejected if all attempts under its key count as one anywhere, so that
        a retry is harmless, and fails otherwise.
        """
        if not needs_durable_intent(policy.idempotency):
            return Verdict.SEND
        now, stored = self.host.now(), self.intents.get(key)
        if key in self.earlier_keys and not may_send_again(policy, stored, now, cell):
            return self._bar(policy)
        use = self.key_uses.setdefault(key, KeyUse(stored))
        use.dispatches += 1
        if use.intent_durable and stored is not None:
            self.in_flight[token], use.may_have_executed = key, True
            return Verdict.SEND
        ticket = self._write_intent(key, policy, cell, now)
        self._add_pending(PendingDispatch(token, key, ticket, self._expiry(key, policy, now, latest)))
        return Verdict.WAIT

    def _bar(self, policy: IdempotencyPolicy) -> Verdict:
        self.counts[KEYS_BARRED] += 1
        harmless = policy.idempotency == Idempotency.KEYED and policy.scope == IdempotencyScope.ALL
        return Verdict.REJECT if harmless else Verdict.FAIL

    def _write_intent(self, key: bytes, policy: IdempotencyPolicy, cell: int, now: Ticks) -> int:
        """Queue the intent of a dispatch; returns its ticket. The first dispatch under a key counts for the
        window and the scope."""
        stored, sent_at = self.intents.get(key), now
        if stored is not None and not stored.not_executed:
            sent_at, cell = stored.sent_at, stored.cell
        self.intents[key] = Intent(sent_at, policy.idempotency, False, cell)
        self.counts[INTENTS_WRITTEN] += 1
        return self.host.write_record(RecordKind.INTENT, key, self.intents[key].pack())

    def _expiry(self, key: bytes, policy: IdempotencyPolicy, now: Ticks, latest: Ticks | None) -> Ticks:
        expires_at = now + self.durability_timeout
        if latest is not None:
            expires_at = min(expires_at, latest)
        if key in self.earlier_keys and policy.idempotency == Idempotency.KEYED:
            expires_at = min(expires_at, self.intents[key].sent_at + policy.window)
        return expires_at

    def _add_pending(self, pending: PendingDispatch) -> None:
        self.pending[pending.token] = pending
        self.pending_order.append(pending)
        self.counts[DISPATCHES_DELAYED] += 1

    def records_durable(self, ticket: int) -> None:
        """Release the dispatches whose intents are durable, as all records up to a ticket are."""
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
        """Drop a pending dispatch for which nobody waits any more."""
        pending = self.pending.pop(token, None)
        if pending:
            self._end_use(pending.key)

    def withdraw_all(self) -> list[str]:
        """Drop all pending dispatches, so that nothing waits for the disk; returns their tokens.

        They were not executed, and may be dispatched again, by this process or the next.
        """
        tokens = list(self.pending)
        for token in tokens:
            self.withdraw(token)
        return tokens

    def dispatch_ended(self, token: str, executed: bool) -> None:
        """Take in the end of a dispatch. `executed` unless it was surely not.

        The intent of a dispatch that may have been executed stays. If no dispatch under a key was, the key
        counts as unused.
        """
        key = self.in_flight.pop(token, None)
        if key is None:
            return
        use = self.key_uses[key]
        if executed:
            use.earlier, use.may_have_executed = self.intents[key], True
        elif key not in self.in_flight.values():
            use.may_have_executed = False  # what was executed before is in `earlier`
        self._end_use(key)

    def expire_pending(self) -> None:
        """Reject the dispatches that have waited too long for the disk.

        Their records may still become durable later. The records that undo them follow in the log.
        """
        now = self.host.now()
        for pending in list(self.pending.values()):
            if now >= pending.expires_at:
                self._reject(pending)

    def next_expiry(self) -> Ticks | None:
        """Return how long it takes until `expire_pending` has something to do; None if nothing is pending."""
        expires_at = min((pending.expires_at for pending in self.pending.values()), default=None)
        return None if expires_at is None else max(0, expires_at - self.host.now())

    def _reject(self, pending: PendingDispatch) -> None:
        del self.pending[pending.token]
        self._end_use(pending.key)
        self.counts[DISPATCHES_REJECTED] += 1
        self.host.reject(pending.token)

    def _end_use(self, key: bytes) -> None:
        """End one dispatch under a key. After the last one only what may have been executed stays stored."""
        use = self.key_uses[key]
        use.dispatches -= 1
        if use.dispatches:
            return
        del self.key_uses[key]
        if use.may_have_executed or self.intents.get(key) == use.earlier:
            return
        if use.earlier is None:
            del self.intents[key]
            self.host.write_record(RecordKind.INTENT, key, None)
        else:
            self.intents[key] = use.earlier
            self.host.write_record(RecordKind.INTENT, key, use.earlier.pack())

    # --- handover between processes ---

    def dispatches_lost(self, lost: Iterable[tuple[str, bytes]]) -> None:
        """Take in that another process died with these dispatches (token and key).

        They may have been executed, and their clients send them again under the same keys. They count as
        dispatches of an earlier process, also if their end was reported meanwhile.
        """
        for token, key in lost:
            self.dispatch_ended(token, True)
            if key in self.intents:
                self.earlier_keys.add(key)

    def adopt(self, token: str, key: bytes, idempotency: Idempotency, sent_at: Ticks, cell: int) -> None:
        """Take over a dispatch in flight from an earlier process that had no store."""
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
        """Take in all stored intents after another process has written some and ended.

        What that process sent may have been executed. Dispatches under the same keys that are pending here
        were admitted without that knowledge: they are rejected, and may be tried again.
        """
        for key, intent in stored.items():
            if self.intents.get(key) == intent and key in self.earlier_keys:
                continue
            use = self.key_uses.get(key)
            if use is None:
                self.intents[key] = intent
                self.earlier_keys.add(key)
            elif not use.intent_durable and intent != use.earlier:  # it is not ours, though it may be equal
                use.earlier = intent
                self.earlier_keys.add(key)
                for pending in [pending for pending in self.pending.values() if pending.key == key]:
                    self._reject(pending)
        for key in [key for key in self.intents if key not in stored and key not in self.key_uses]:
            del self.intents[key]
            self.earlier_keys.discard(key)

    def write_relayed(self, kind: int, key: bytes, value: bytes | None) -> int:
        """Write a record for the earlier process, which still ends its own requests; returns the ticket.

        Its requests count as sent by an earlier process.
        """
        if kind == RecordKind.INTENT:
            if value is None:
                self.intents.pop(key, None)
            elif key not in self.key_uses:
                self.intents[key] = record_types.unpack_intent(value)
                self.earlier_keys.add(key)
        return self.host.write_record(kind, key, value)

    # --- records that may lag ---

    def object_purged(self, target: PurgeTarget, purged_at: Ticks) -> None:
        """Write a purge."""
        value = record_types.pack_time(purged_at)
        self.host.write_record(RecordKind.PURGE, record_types.pack_purge_key(target), value)

    def events_applied(self, numbers: EventNumbers) -> None:
        """Write how far the change log was applied; after the records of its last event."""
        self.host.write_record(RecordKind.LAST_EVENT, b"", record_types.pack_event_numbers(numbers))

    def work_sent(self, backend: str, started: Ticks, work: list[Work], slow_start: Ticks) -> None:
        """Write the recent work of a backend, every WORK_INTERVAL at most and only during its slow start.

        `started` is when the backend started (0: not lately), `slow_start` how long its slow start lasts.
        """
        now = self.host.now()
        if not started or now - started >= slow_start:
            return
        if now - self.work_written_at.get(backend, 0) < WORK_INTERVAL:
            return
        self.work_written_at[backend] = now
        self.host.write_record(RecordKind.SLOW_START, backend.encode(), record_types.pack_work(work))

    def remove_expired(self, max_age: Ticks) -> int:
        """Remove intents that no rule can refer to any more; returns how many. Those in use stay."""
        now, removed = self.host.now(), 0
        for key, intent in list(self.intents.items()):
            if key not in self.key_uses and now - min(intent.sent_at, now) > max_age:
                del self.intents[key]
                self.earlier_keys.discard(key)
                self.host.write_record(RecordKind.INTENT, key, None)
                removed += 1
        return removed
