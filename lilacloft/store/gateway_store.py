"""Connects a gateway's event loop, its durability gate and the disk.

All code except the commits runs in the thread of the event loop, which waits for the disk only at a handover.
If an earlier process may have sent a request, this is recorded in the request, so that routing applies the
rules on repeated execution to it.
"""

from __future__ import annotations

import functools
import os
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

from lilacloft.log import logger
from lilacloft.net.attempt import Attempt
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.routing.endpoint_entry import EndpointEntry
from lilacloft.routing.model import Backend, Idempotency, IdempotencyScope, Outcome, Request
from lilacloft.routing.units import Ticks
from lilacloft.store import durability_snapshot, record_types
from lilacloft.store.background_records import BackgroundRecords
from lilacloft.store.crash_recovery import (
    recover_endpoint_rows,
    restore_endpoints,
    restore_routing_state,
    restore_slow_start,
)
from lilacloft.store.durability import DEFAULT_DURABILITY_TIMEOUT, DurabilityGate
from lilacloft.store.endpoint_rows import StoredRow
from lilacloft.store.files import StoreDirectory
from lilacloft.store.group_commit import GroupCommitter
from lilacloft.store.idempotency import IdempotencyPolicy, Verdict
from lilacloft.store.log import RetentionLimit, Store
from lilacloft.store.record_types import EventNumbers, RecordKind, retention_limits
from lilacloft.store.recovered_state import RecoveredState, recover_state

CLOSE_TIMEOUT = 1.0  # seconds
NOT_EXECUTED = (Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MISS)
EARLIER_PROCESS = "earlier"  # name of the placeholder for the unknown backend that an earlier process used

# Sends a record (ticket, kind, key, value) to the process that writes the store.
Relay: TypeAlias = Callable[[int, int, bytes, bytes | None], None]


class StoreReader:
    """Reads a store while another process writes it, so that little remains to be read at the handover."""

    def __init__(self, path: str) -> None:
        self.store = Store(StoreDirectory(path, lock=False))


@dataclass
class InheritedStore:
    """The store state that the previous process has handed over."""

    reader: StoreReader | None  # None: there was no store to read yet
    state: Mapping[str, Any]  # exported by its durability gate (durability_snapshot.py)
    lock_fd: int  # descriptor that holds the store's lock


class PendingAttempt(NamedTuple):
    """An attempt that waits until its intent is durable."""

    attempt: Attempt
    deadline: Ticks


class GatewayStore:
    """The store of one gateway. Implements `DurabilityHost` for its gate."""

    def __init__(
        self,
        gateway: Any,
        path: str,
        durability_timeout: Ticks = DEFAULT_DURABILITY_TIMEOUT,
        inherited: InheritedStore | None = None,
        list_is_inherited: bool = False,
    ) -> None:
        """Open a gateway's store, or continue with an inherited one.

        Without `inherited` the state is recovered, however the last process ended. `list_is_inherited`: the
        previous process has handed over the endpoint list.
        Raises StoreError or OSError.
        """
        self.gateway, self.path = gateway, os.path.realpath(path)
        self.directory = StoreDirectory(path, inherited_lock_fd=inherited.lock_fd if inherited else -1)
        self.purge_lifetime = gateway.router.freshness.purge_lifetime
        began = time.monotonic()
        reader = inherited.reader if inherited else None
        self.store = self._open_store(reader)
        recovered = self._recover_state()
        self._log_recovery(recovered, "inherited" if reader else "recovered", time.monotonic() - began)
        self.gate = DurabilityGate(self, recovered, durability_timeout)
        self.background = BackgroundRecords(gateway, self.gate, self.write_record, self.purge_lifetime)
        self.endpoint_rows = recover_endpoint_rows(recovered)
        self.pending: dict[str, PendingAttempt] = {}  # by token
        self.tokens: dict[Attempt, str] = {}
        self.withdrawn: list[Attempt] = []  # attempts that were pending when the gateway was quiesced
        self.transferred_dispatches: list[tuple[str, bytes]] = []  # tokens and keys
        self.relayed_tickets: dict[int, int] = {}  # tickets of the previous process, by our tickets
        self.report_relayed: Callable[[int], None] | None = None  # called with its last durable ticket
        self.relay: Relay | None = None  # set while another process writes the store
        self.last_relay_ticket = 0
        self.unwritten_events: list[Callable[[], None]] = []  # of the change log, received while relaying
        self.unlisted_work = recovered.slow_start_work  # of backends that were not listed since the start
        self.list_is_stored = recovered.event_is_stored
        self.first_records: list[tuple[RecordKind, bytes, bytes | None]] = []  # written at the start
        if inherited is None:
            self._begin_list(recovered, list_is_inherited)
            restore_routing_state(gateway, recovered)
        else:
            durability_snapshot.restore(self.gate, inherited.state)
        self.committer = GroupCommitter(
            self.store, on_durable=lambda ticket: gateway.post(self._records_durable, ticket)
        )
        gateway.store = self

    def _open_store(self, reader: StoreReader | None) -> Store:
        limits = self._retention_limits()
        if reader is None:
            return Store(self.directory, limits)
        store = reader.store
        store.directory, store.retention = self.directory, limits
        store.catch_up()
        return store

    def _begin_list(self, recovered: RecoveredState, list_is_inherited: bool) -> None:
        """Decide what the stored endpoint list means, which may be of an earlier life of the gateway."""
        rows = self.endpoint_rows
        if list_is_inherited:
            read_after = self.gateway.discovery.last_applied_event
            changes = rows.discard(read_after)
            self.first_records = [(RecordKind.ROW, key, None) for key in changes]
        else:
            read_after = restore_endpoints(self.gateway, rows, recovered)
        numbers = record_types.pack_event_numbers(EventNumbers(read_after, rows.complete_from))
        self.first_records.append((RecordKind.LAST_EVENT, b"", numbers))

    def _retention_limits(self) -> dict[int, RetentionLimit]:
        windows = [vhost.get("repeat_window", 0) for vhost in self.gateway.vhosts]
        return retention_limits(self.purge_lifetime, self.gateway.max_client_timeout, max(windows))

    def _recover_state(self) -> RecoveredState:
        return recover_state(self.store.all_records(), self.gateway.time, self.purge_lifetime)

    def _log_recovery(self, recovered: RecoveredState, action: str, seconds: float) -> None:
        report = self.store.report
        for line in (*report.damage, *report.torn, *recovered.unreadable):
            logger.warning("store: {}", line)
        logger.info(
            "store: {} records {} in {:.0f} ms: {} purges, {} intents",
            self.store.record_count(),
            action,
            1000 * seconds,
            len(recovered.purges),
            len(recovered.intents),
        )

    def start(self) -> None:
        """Begin to write. Called once the event loop runs and this process is the active gateway."""
        self.committer.run_before_writing(self.directory.write_pid)
        for kind, key, value in self.first_records:
            self.write_record(kind, key, value)
        self.background.write()

    def close(self) -> None:
        """Commit all queued records and release the lock."""
        if self.relay is None:
            self.committer.close(CLOSE_TIMEOUT)
        self.directory.close()

    # --- handover between processes ---

    def quiesce(self, timeout: float) -> str:
        """Stop dispatching and writing until `resume`, or permanently.

        Waits at most `timeout` seconds for the disk. Returns an empty string, or the reason for a failure.
        """
        self.withdrawn = [self.pending.pop(token).attempt for token in self.gate.withdraw_all()]
        for attempt in self.withdrawn:
            self.tokens.pop(attempt, None)
        return "" if self.committer.flush(timeout) else f"store records not durable within {timeout:.1f} s"

    def export_state(self, calls: Mapping[str, Any]) -> dict[str, Any]:
        """Return the state for the next process (durability_snapshot.py).

        It covers the requests that are handed over; `calls` has them by name.
        """
        exported = durability_snapshot.export(self.gate)
        keys = durability_snapshot.GATE_KEYS
        in_flight = [pair for pair in exported[keys["in_flight"]] if pair[0].split()[0] in calls]
        self.transferred_dispatches = [(token, key) for token, key in in_flight]
        used = {key for _, key in in_flight}
        key_name = durability_snapshot.KEY_USE_KEYS["key"]
        key_uses = [use for use in exported[keys["key_uses"]] if use[key_name] in used]
        return {**exported, keys["in_flight"]: in_flight, keys["key_uses"]: key_uses}

    def delegate_writes(self, relay: Relay) -> None:
        """Let the next process write the store. Records of the requests that remain are relayed to it."""
        self.relay = relay
        withdrawn, self.withdrawn = self.withdrawn, []
        for attempt in withdrawn:
            if attempt.client_request.client in self.gateway.downstream.clients:
                self.gateway.report_end(attempt, CloseReason.UNWRITTEN)

    def resume(self, other_may_have_written: bool) -> None:
        """Continue as the active gateway after a failed handover."""
        self.relay = None
        withdrawn, self.withdrawn = self.withdrawn, []
        for attempt in withdrawn:
            self.gateway.report_end(attempt, CloseReason.UNWRITTEN)
        lost, self.transferred_dispatches = self.transferred_dispatches, []
        if other_may_have_written:
            self.gate.dispatches_lost(lost)
            self.committer.run_before_writing(self._catch_up)
            self.committer.run_before_writing(self.directory.write_pid)
            if not self.background.is_scheduled():
                self.background.write()
        unwritten, self.unwritten_events = self.unwritten_events, []
        for write in unwritten:  # the other process may not have received these events
            write()

    def _catch_up(self) -> None:
        """Read what the other process has written. Runs in the writer thread, which owns the store."""
        self.store.catch_up()
        self.gateway.post(self.gate.merge_intents, self._recover_state().intents)

    def adopt_attempts(self, attempts: Iterable[Attempt]) -> None:
        """Take over the attempts in flight on connections that were handed over.

        If the previous process had no store, their intents are stored now. A dispatch that was handed over
        without an attempt has lost its connection during the handover and may have been executed.
        """
        for attempt in attempts:
            token, client_request = self._token(attempt), attempt.client_request
            if token not in self.gate.in_flight:
                idempotency = Idempotency(self.gateway.vhosts[client_request.vhost]["effect"])
                sent_at = client_request.request.sent_at
                self.gate.adopt(token, self._key(client_request), idempotency, sent_at, attempt.backend.cell)
            if token in self.gate.in_flight:
                self.tokens[attempt] = token
        for token in set(self.gate.in_flight) - set(self.tokens.values()):
            self.gate.dispatch_ended(token, True)

    def write_relayed(
        self, ticket: int, kind: int, key: bytes, value: bytes | None, report: Callable[[int], None]
    ) -> None:
        """Write a record for the previous process; `report` is called with its last durable ticket."""
        self.report_relayed = report
        self.relayed_tickets[self.gate.write_relayed(kind, key, value)] = ticket

    def relayed_records_durable(self, ticket: int) -> None:
        """Handle the report of the next process that all relayed records up to `ticket` are durable."""
        if self.relay is not None:
            self.gate.records_durable(ticket)

    def _records_durable(self, ticket: int) -> None:
        durable = [own_ticket for own_ticket in sorted(self.relayed_tickets) if own_ticket <= ticket]
        relayed = [self.relayed_tickets.pop(own_ticket) for own_ticket in durable]
        if relayed and self.report_relayed:
            self.report_relayed(max(relayed))
        if self.relay is None:
            self.gate.records_durable(ticket)

    # --- hooks of the event loop ---

    def note_earlier_execution(self, client_request: Any, request: Request) -> None:
        """Record in a request that an earlier process may have had it, or another attempt of it, executed."""
        key = self._key(client_request)
        intent = self.gate.intents.get(key)
        if intent and key in self.gate.earlier_keys and not intent.not_executed:
            request.first_executed_at = intent.sent_at
            request.first_executed_by = Backend(EARLIER_PROCESS, zone=-1, cell=intent.cell)

    def dispatch(self, attempt: Attempt, deadline: Ticks) -> CloseReason | None:
        """Send an attempt, or delay it until its intent is durable; return the outcome if it ended at once.

        `deadline` is when it times out. A pending attempt is dropped early enough for the client to be
        answered before then.
        """
        token = self._token(attempt)
        verdict = self.gate.admit(
            token,
            self._key(attempt.client_request),
            self._policy(attempt.client_request.vhost),
            attempt.backend.cell,
            deadline - 2 * self.gateway.granularity,
        )
        if verdict == Verdict.SEND:
            self.tokens[attempt] = token
            return self.gateway.upstream.dispatch(attempt)
        if verdict == Verdict.WAIT:
            self.tokens[attempt] = token
            self.pending[token] = PendingAttempt(attempt, deadline)
            self.gateway.call_at(self.gateway.time + (self.gate.next_expiry() or 0), self.gate.expire_pending)
            return None
        # an earlier execution may have become known after the request arrived
        self.note_earlier_execution(attempt.client_request, attempt.client_request.request)
        return CloseReason.UNWRITTEN

    def withdraw(self, attempt: Attempt) -> bool:
        """Drop an attempt if it is pending; return whether it was."""
        token = self.tokens.get(attempt, "")
        if self.pending.pop(token, None) is None:
            return False
        self.gate.withdraw(token)
        return True

    def attempt_ended(self, attempt: Attempt, end: CloseReason) -> None:
        """Handle the end of an attempt."""
        token = self.tokens.pop(attempt, None)
        if token is not None and self.pending.pop(token, None) is None:
            self.gate.dispatch_ended(token, OUTCOMES[end] not in NOT_EXECUTED)

    def object_purged(self, key: str, group: int, purged_at: Ticks) -> None:
        """Handle the purge of an object, or of a purge group if the key is empty."""
        if self.relay is not None:
            self.unwritten_events.append(functools.partial(self.object_purged, key, group, purged_at))
            return
        self.gate.object_purged(key or group, purged_at)

    def list_changed(self, mode: str, entries: Sequence[EndpointEntry], number: int) -> None:
        """Handle a list of the change log, or changes to it, after it was applied; `number`: of its event."""
        if self.relay is not None:
            self.unwritten_events.append(functools.partial(self.list_changed, mode, entries, number))
            return
        self._write_rows(self.endpoint_rows.apply(mode, entries, number))

    def events_applied(self, number: int) -> None:
        """Handle that all events of the change log up to this one were applied."""
        if self.relay is not None:
            self.unwritten_events.append(functools.partial(self.events_applied, number))
            return
        self.gate.events_applied(EventNumbers(number, self.endpoint_rows.complete_from))

    def list_confirmed(self, reported: Mapping[str, EndpointEntry], number: int) -> None:
        """Handle that the change log was read to its end after the start; see `EndpointRows.confirm`."""
        self._write_rows(self.endpoint_rows.confirm(reported, number))

    def backends_listed(self, names: Iterable[str]) -> None:
        """Handle that backends were listed that may not have been at the start."""
        restore_slow_start(self.gateway, self.unlisted_work, names)

    def _write_rows(self, changes: Mapping[bytes, StoredRow | None]) -> None:
        for key, stored in changes.items():
            self.write_record(RecordKind.ROW, key, None if stored is None else stored.pack())

    @staticmethod
    def _token(attempt: Attempt) -> str:
        return f"{attempt.client_request.name} {attempt.seq}"

    @staticmethod
    def _key(client_request: Any) -> bytes:
        return (client_request.idempotency_key or client_request.name).encode()

    def _policy(self, vhost: int) -> IdempotencyPolicy:
        config = self.gateway.vhosts[vhost]
        return IdempotencyPolicy(
            Idempotency(config["effect"]),
            config.get("repeat_window", 0),
            IdempotencyScope(config.get("repeat_group", IdempotencyScope.ALL)),
        )

    # --- DurabilityHost ---

    def now(self) -> Ticks:
        """Return the current time."""
        return self.gateway.time

    def write_record(self, kind: int, key: bytes, value: bytes | None) -> int:
        """Queue a record, or relay it to the process that writes the store; return its ticket."""
        if self.relay is None:
            return self.committer.submit(kind, key, value, self.gateway.time)
        # higher than the tickets of our own commits, which are all durable
        self.last_relay_ticket = max(self.last_relay_ticket, self.committer.last_ticket) + 1
        if kind == RecordKind.INTENT:  # the other process has newer records of all other kinds
            self.relay(self.last_relay_ticket, kind, key, value)
        return self.last_relay_ticket

    def release(self, token: str) -> None:
        """Send a pending attempt, unless it has become obsolete."""
        attempt, deadline = self.pending.pop(token)
        request = attempt.client_request.request
        obsolete = (
            attempt.client_request.attempt is not attempt or request.finished or self.gateway.time >= deadline
        )
        if obsolete or attempt.expired():
            return self.gateway.report_end(attempt, CloseReason.UNWRITTEN)
        attempt.at = self.gateway.time  # the wait for the disk is not counted as the backend's response time
        # the event loop drops timers of attempts without a connection, so the timer may no longer exist
        self.gateway.call_at(deadline, self.gateway.attempt_timed_out, attempt)
        end = self.gateway.upstream.dispatch(attempt)
        if end is not None:
            self.gateway.report_end(attempt, end)
        return None

    def reject(self, token: str) -> None:
        """Report a pending attempt as not sent."""
        attempt = self.pending.pop(token).attempt
        # an earlier execution may have become known; the client must not be told that there was none
        self.note_earlier_execution(attempt.client_request, attempt.client_request.request)
        self.gateway.report_end(attempt, CloseReason.UNWRITTEN)
