"""The upstream side: connections to caches, parents and origin, their attempts and health checks.

Everything but the reading of answers runs in the event loop's thread. Which backend is used, and for how
long, is decided in lilacloft/routing. Two attempts of a request are never in flight at once.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lilacloft.invariants import Invariants
from lilacloft.net.attempt import Attempt
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.polling import any_readable
from lilacloft.net.reply_backlog import ReplyBacklog
from lilacloft.net.resp import encode
from lilacloft.net.upstream_answers import ANSWER_STATUS, HEALTH_STATUS, Reply, parse_reply
from lilacloft.net.upstream_pool import UpstreamConnection, UpstreamPool
from lilacloft.protocol_settings import NS_PER_TICK
from lilacloft.routing.model import Backend
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

# reasons for which a connection may end without its backend knowing yet
BACKEND_MAY_NOT_KNOW = frozenset(
    (
        CloseReason.GARBLED,
        CloseReason.CHOKED,
        CloseReason.SILENT,
        CloseReason.FAULT,
        CloseReason.BROKEN,
    )
)
MIN_CONNECTIONS_PER_POOL = 2


@dataclass(frozen=True, slots=True)
class UpstreamCallbacks:
    """The callbacks of the upstream side."""

    post: Callable[..., None]  # queues a call for the event loop's thread; any thread may call it
    now: Callable[[], Ticks]  # the gateway's time
    attempt_ended: Callable[..., None]  # with the attempt, the reason and, if there is one, the Reply
    attempt_cancelled: Callable[..., None]  # with the attempt, the reason and when the backend knows of it
    post_reply: Callable[..., None] | None = None  # as `post`, for backends' answers; None: `post` is used


class Upstream:
    """The connection pools of all backends."""

    def __init__(
        self,
        callbacks: UpstreamCallbacks,
        config: dict[str, Any],
        max_connections: int,
        max_reply_bytes: int = sys.maxsize,
    ) -> None:
        """`max_connections`: of all pools together; `max_reply_bytes`: of answers that were read and that the
        event loop has not handled."""
        limits = config["limits"]
        self.post, self.now = callbacks.post, callbacks.now
        self.post_reply = callbacks.post_reply or callbacks.post
        self.attempt_ended = callbacks.attempt_ended
        self.attempt_cancelled = callbacks.attempt_cancelled
        self.answer_slack: Ticks = config["rules"]["answer_slack"]
        self.attempts_per_connection: int = limits["streams_per_conn"] or 1
        self.connect_timeout: Ticks = limits["connect_timeout"]
        keepalive = limits["keepalive"]
        self.idle_timeout = max(keepalive - self.connect_timeout, keepalive // 2)  # below that of backends
        self.max_connections = max_connections
        self.reply_backlog = ReplyBacklog(max_reply_bytes)
        self.load_names = config["stats"]["names"]
        self.may_check = bool(limits["probes"])  # are health checks allowed?
        self.invariants = Invariants(config)
        self.write_soon: Callable[[Connection], None] = Connection.resume_writing
        self.closes: Counter[str] = Counter()  # closed connections by the close reason's name
        self.pools: dict[Backend, UpstreamPool] = {}
        self.checks = 0
        self.counts = dict.fromkeys(
            ("connections", "unmade", "dispatches", "undone", "checks", "answers", "unknown"), 0
        )

    # --- the backends ---

    def add_backend(self, backend: Backend, address: tuple[str, int]) -> None:
        """Add a listed backend; if its address is new or it has restarted, it gets a new pool."""
        pool = self.pools.get(backend)
        if pool and (pool.address != address or pool.backend_started != backend.started):
            pool.retire()
            pool = None
        if not pool:
            self.pools[backend] = UpstreamPool(backend, address, self)

    def remove_backend(self, backend: Backend) -> None:
        """Retire the pool of a backend that is no longer listed."""
        pool = self.pools.pop(backend, None)
        if pool:
            pool.retire()

    def connections_per_pool(self) -> int:
        """Return how many connections one pool may have."""
        return max(MIN_CONNECTIONS_PER_POOL, self.max_connections // max(1, len(self.pools)))

    def make_room(self) -> bool:
        """Return whether one more connection may be made. At the limit the longest idle one is closed for it:
        with many backends the sum of the pools' minimums may exceed the limit for all."""
        connections = [
            connection
            for pool in self.pools.values()
            for connection in pool.connections
            if connection.close_reason is None
        ]
        if len(connections) < self.max_connections:
            return True
        idle = [connection for connection in connections if not connection.in_flight]
        if idle:
            min(idle, key=lambda connection: connection.last_used_at).close(CloseReason.RETIRED)
        return bool(idle)

    # --- sending ---

    def may_send(self, attempt: Attempt) -> bool:
        """Check an attempt just before its first byte is sent, and update its time limit: it may have waited
        for a processor since it was decided on. Any thread may call this."""
        if attempt.client_request is None or not attempt.deadline:
            return True
        if attempt.has_waited(time.monotonic_ns() // NS_PER_TICK) and attempt.expired():
            return False
        attempt.refresh()
        drained = self.invariants.drained.get(attempt.backend.name)
        return self.invariants.may_send_first_byte(
            attempt.first_byte(drained.monotonic_time if drained else 0)
        )

    def dispatch(self, attempt: Attempt) -> CloseReason | None:
        """Send an attempt; if it cannot be sent, return the reason for which it ended."""
        if not self.may_send(attempt):
            return CloseReason.UNWRITTEN
        pool = self.pools.get(attempt.backend)
        connection = pool.connection_for(attempt) if pool else None
        if connection is None:
            return CloseReason.NO_LINE
        self._send(connection, attempt)
        return None

    def _send(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Send an attempt or a health check on a connection."""
        attempt.connection = connection
        connection.in_flight[attempt.name] = attempt
        connection.last_used_at = attempt.passed_on_at = self.now()
        if attempt.client_request:
            attempt.client_request.connections.append(connection)
        attempt.position = connection.send(attempt.data)
        self.counts["dispatches" if attempt.client_request else "checks"] += 1

    def check(self, backend: Backend) -> tuple[Attempt, CloseReason | None]:
        """Send a health check, which requests a load report if the settings name load values.

        Returns the attempt and the result of `dispatch`."""
        attempt = self._make_check(backend, b"top" if self.load_names else b"ping")
        return attempt, self.dispatch(attempt)

    def _make_check(self, backend: Backend, verb: bytes) -> Attempt:
        self.checks += 1
        name = b"%d" % self.checks
        return Attempt(None, backend, 0, name, encode(verb, name), self.now())

    # --- cancelling ---

    def withdraw(self, attempt: Attempt) -> bool:
        """Withdraw an attempt of which nothing was sent, so that it was never executed; False if some was."""
        connection = attempt.connection
        if connection is None or not (connection.withdraw(attempt.position) or attempt.expired_unsent):
            return False
        self._detach(connection, attempt)
        if attempt.client_request and connection in attempt.client_request.connections:
            attempt.client_request.connections.remove(connection)  # it did not carry this request
        return True

    def expired_in_backlog(self, attempt: Attempt) -> None:
        """Report the end of an attempt that expired in the backlog of its connection."""
        if self.withdraw(attempt):
            self.attempt_ended(attempt, CloseReason.UNWRITTEN)

    def cancel(self, attempt: Attempt, confirm: bool = False) -> Ticks:
        """Cancel an attempt, before anything else is sent for its request.

        Returns when the request may be sent again. Messages on two connections may be read in either order,
        those on a new connection only once the backend has accepted it, and those on a slow link only after
        its delay. With `confirm`, on a slow link a health check (`attempt.confirmation`) is sent after the
        cancellation: once it is answered, the backend has read both."""
        connection, now = attempt.connection, self.now()
        if connection is None:
            return now
        if self.withdraw(attempt):
            return now
        self._detach(connection, attempt)
        confirmed_at = self._backend_knows_at(connection)
        if not connection.last_read_at:
            confirmed_at = max(confirmed_at, connection.created_at + self.connect_timeout)
        if connection.close_reason is not None:
            return confirmed_at
        if attempt.client_request:
            self._send_cancellation(connection, attempt)
        if confirm and self._is_slow(connection):
            self._send_confirmation(connection, attempt)
        if connection.last_read_at < attempt.at and self.now() - attempt.at > self.connect_timeout:
            connection.retiring = True  # nothing was received since: the next attempt uses a new connection
            if not connection.in_flight:
                connection.close(CloseReason.SILENT)
        return confirmed_at

    def _backend_knows_at(self, connection: UpstreamConnection) -> Ticks:
        """Return by when a backend has read what is sent on a connection now, or its close."""
        now = self.now()
        return now + max(self.answer_slack, connection.pool.link_delay.expected(now))

    def _is_slow(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection's link delays messages for longer than the answer slack."""
        return connection.pool.link_delay.expected(self.now()) > self.answer_slack

    def _send_confirmation(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Send a health check after the cancellation of an attempt, on the same connection."""
        if connection.close_reason is not None or not self.may_check:
            return
        check = self._make_check(attempt.backend, b"ping")
        attempt.confirmation, check.confirms = check, attempt
        self._send(connection, check)

    def _send_cancellation(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Send the cancellation; if it cannot be sent at once, close the connection instead."""
        self.counts["undone"] += 1
        if not connection.has_sent(connection.send(encode(b"undo", attempt.name))):
            connection.close(CloseReason.CHOKED)

    def _detach(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Remove an attempt from its connection's attempts in flight."""
        del connection.in_flight[attempt.name]
        attempt.connection, attempt.data = None, b""  # frees the message: a timer may keep the attempt
        connection.last_used_at = self.now()
        if connection.retiring and not connection.in_flight:
            connection.close(CloseReason.RETIRED)

    # --- answers, in the connections' threads ---

    def read_answer(self, connection: UpstreamConnection, items: list[bytes]) -> None:
        """Parse one answer and pass it to the event loop. Raises GarbledError."""
        reply = parse_reply(items, self.load_names)
        connection.mark_passed_on()  # before posting: the event loop may check at once
        self.reply_backlog.add(reply.body, connection.take_reserved_reply())
        self.post_reply(self.answered, connection, items[0], items[1], reply)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Pass the end of a connection to the event loop."""
        self.reply_backlog.release(connection.take_reserved_reply())
        self.post(self.connection_lost, connection)

    # --- answers, in the event loop's thread ---

    def answered(self, connection: UpstreamConnection, name: bytes, word: bytes, reply: Reply) -> None:
        """Find the attempt or health check that an answer belongs to, and report its end."""
        try:
            self._handle_answer(connection, name, word, reply)
        finally:
            self.reply_backlog.remove(reply.body)  # only now: its copy to the client counts by itself

    def _handle_answer(self, connection: UpstreamConnection, name: bytes, word: bytes, reply: Reply) -> None:
        has_answered, connection.last_read_at = connection.last_read_at > 0, self.now()
        attempt = connection.in_flight.get(name)
        if attempt is None:
            self.counts["unknown"] += 1
            return
        reason = (ANSWER_STATUS if attempt.client_request else HEALTH_STATUS).get(word)
        if reason is None or (reason is CloseReason.UNCHANGED and not attempt.client_request.cached_version):
            connection.close(CloseReason.GARBLED)  # not a valid answer; ends all attempts in flight there
            return
        self.counts["answers"] += 1
        if has_answered and attempt.passed_on_at:  # the first attempt may have waited for the connect
            self._record_link_delay(connection, attempt, reply)
        self._detach(connection, attempt)
        self.attempt_ended(attempt, reason, reply)

    def _record_link_delay(self, connection: UpstreamConnection, attempt: Attempt, reply: Reply) -> None:
        """Record the link delay that an answer shows, without its wait in this process since it was read."""
        waited_here = max(0, time.monotonic_ns() // NS_PER_TICK - reply.read_at)
        work = (
            reply.queued + int(attempt.client_request.request.transfer_time) if attempt.client_request else 0
        )
        now = self.now()
        connection.pool.link_delay.record(now - attempt.passed_on_at - waited_here - work, now)

    def connection_lost(self, connection: UpstreamConnection) -> None:
        """Handle the end of a connection, which ends all attempts in flight on it."""
        if connection in connection.pool.connections:
            connection.pool.connections.remove(connection)
        self.closes[(connection.close_reason or CloseReason.FAULT).name] += 1
        in_flight, connection.in_flight = connection.in_flight, {}
        for attempt in in_flight.values():  # before any report: a report may cancel others of these
            attempt.connection = None
        for attempt in in_flight.values():
            reason = self._reason_of_loss(connection, attempt)
            if reason in BACKEND_MAY_NOT_KNOW:  # wait until it must know, as in `cancel`
                self.attempt_cancelled(attempt, reason, self._backend_knows_at(connection))
            else:
                self.attempt_ended(attempt, reason)

    @staticmethod
    def _reason_of_loss(connection: UpstreamConnection, attempt: Attempt) -> CloseReason:
        """Return the reason for which an attempt ends with its connection."""
        written = connection.has_sent(attempt.position) and not attempt.expired_unsent
        reason = connection.close_reason or CloseReason.FAULT
        if reason in (CloseReason.CLOSED, CloseReason.RESET) and connection.buffer.has_partial():
            reason = CloseReason.GARBLED  # closed within an answer, which remains incomplete
        if not written and reason not in (CloseReason.REFUSED, CloseReason.UNMADE):
            reason = CloseReason.UNWRITTEN
        return reason

    def has_unread_answers(self) -> bool:
        """Return whether an answer may have been received that its reader has not passed on yet."""
        awaited = [
            connection
            for pool in self.pools.values()
            for connection in pool.connections
            if connection.in_flight and connection.state is ConnectionState.OPEN
        ]
        if any(connection.received != connection.passed_on for connection in awaited):
            return True
        return any_readable(connection.sock for connection in awaited)

    # --- maintenance ---

    def close_stalled(self) -> None:
        """Close connections that stalled within an answer or are idle; resume writing on the others."""
        now, stalled_since = self.now(), time.monotonic() - self.connect_timeout / TICKS_PER_SECOND
        for pool in self.pools.values():
            for connection in pool.connections:
                if connection.unsent_bytes():
                    connection.resume_writing()
                has_stalled = connection.last_input_at < stalled_since and not connection.awaits_memory
                if connection.buffer.has_partial() and has_stalled:
                    connection.close(CloseReason.GARBLED)
                if not connection.in_flight and now - connection.last_used_at >= self.idle_timeout:
                    connection.close(CloseReason.RETIRED)
