"""The connections to one backend, and the choice of one for an attempt."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from lilacloft.log import logger
from lilacloft.net.attempt import Attempt
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import CLOSE_CHECK_INTERVAL, Connection, ConnectTarget
from lilacloft.net.reply_backlog import ReplyBacklog
from lilacloft.routing.link_delay import LinkDelay
from lilacloft.routing.model import Backend
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks


class PoolOwner(Protocol):
    """What a pool uses of its owner (lilacloft/net/upstream.py)."""

    post: Callable[..., None]  # queues a call for the event loop's thread
    now: Callable[[], Ticks]
    write_soon: Callable[[Connection], None]
    attempts_per_connection: int
    connect_timeout: Ticks
    counts: dict[str, int]
    reply_backlog: ReplyBacklog

    def connections_per_pool(self) -> int:
        """Return how many connections one pool may have."""

    def make_room(self) -> bool:
        """Return whether one more connection may be made."""

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether the first byte of an attempt may be sent."""

    def expired_in_backlog(self, attempt: Attempt) -> None:
        """Handle an attempt that expired in the backlog of its connection."""

    def read_answer(self, connection: UpstreamConnection, items: list[bytes]) -> None:
        """Handle a message of a connection, in its thread."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Handle the end of a connection, in its thread."""


class UpstreamConnection(Connection):
    """A connection to a backend, with the attempts in flight on it."""

    def __init__(self, pool: UpstreamPool, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.pool = pool
        self.in_flight: dict[bytes, Attempt] = {}  # by id
        self.last_read_at: Ticks = 0  # 0: nothing read yet
        self.last_used_at: Ticks = 0  # when an attempt was last in flight on it
        self.created_at: Ticks = 0
        self.retiring = False  # accepts no new attempts
        self.reserved_reply = 0  # bytes reserved for the answer that is being read
        self.awaits_memory = False  # does the reader wait for memory for an answer?

    def decide_large_element(self) -> None:
        """Admit a large element of an answer once memory is reserved for it; until then the rest of it stays
        in the kernel."""
        size, backlog = self.buffer.wanted, self.pool.upstream.reply_backlog
        self.awaits_memory = True
        if backlog.reserve(size, CLOSE_CHECK_INTERVAL):
            self.reserved_reply += size
            self.buffer.admit()
            self.last_input_at = time.monotonic()  # before `awaits_memory`: it has not stalled meanwhile
        self.awaits_memory = False

    def take_reserved_reply(self) -> int:
        """Return what was reserved for the answer that was read last, which the caller takes over."""
        size, self.reserved_reply = self.reserved_reply, 0
        return size

    def apply_backpressure(self) -> None:
        """Stop reading while too many answers wait for the event loop."""
        backlog = self.pool.upstream.reply_backlog
        while self.close_reason is None and not backlog.wait_for_room(CLOSE_CHECK_INTERVAL):
            pass

    def write_soon(self) -> None:
        """Schedule `resume_writing` in the event loop's thread."""
        self.pool.upstream.post(self.pool.upstream.write_soon, self)

    def refresh_message(self, position: int, message: memoryview) -> memoryview:
        """Return a dispatch with its time limit updated; empty if it has expired, which is reported."""
        upstream = self.pool.upstream
        for attempt in list(self.in_flight.values()):
            if attempt.position != position:
                continue
            attempt.expired_unsent = attempt.expired() or not upstream.may_send(attempt)
            if attempt.expired_unsent:
                upstream.post(upstream.expired_in_backlog, attempt)
                return message[:0]
            return memoryview(attempt.data)
        return message


class UpstreamPool:
    """The connections to one run of a backend's process, at one address."""

    def __init__(self, backend: Backend, address: tuple[str, int], upstream: PoolOwner) -> None:
        self.backend, self.address, self.upstream = backend, address, upstream
        self.backend_started = backend.started
        self.connections: list[UpstreamConnection] = []
        self.link_delay = LinkDelay()

    def connection_for(self, attempt: Attempt) -> UpstreamConnection | None:
        """Return a connection for an attempt: the one idle for the shortest time, else a new one, else the
        one with the fewest attempts in flight, as they would all fail with it; None if there is none.

        If the request's previous connection broke, a new one is preferred: idle ones may be broken too."""
        best = self._least_loaded(attempt)
        client_request = attempt.client_request
        previous_broke = (
            client_request
            and client_request.connections
            and client_request.connections[-1].close_reason is not None
        )
        if best and not best.in_flight and not previous_broke:
            return best
        if len(self.connections) >= self.upstream.connections_per_pool():
            return best
        if not self.upstream.make_room():
            return best
        return self._open() or best

    def retire(self) -> None:
        """Accept no new attempts; close connections once idle. The backend is unlisted or was restarted."""
        for connection in list(self.connections):
            connection.retiring = True
            if not connection.in_flight:
                connection.close(CloseReason.RETIRED)

    def _least_loaded(self, attempt: Attempt) -> UpstreamConnection | None:
        """Return the connection with the fewest attempts in flight of those that may carry an attempt.

        Connections that carried its request before, or carry an attempt with its id, are excluded: an id must
        identify one dispatch per connection."""
        candidates = [
            connection
            for connection in self.connections
            if len(connection.in_flight) < self.upstream.attempts_per_connection
            and not connection.retiring
            and connection.close_reason is None
            and attempt.name not in connection.in_flight
            and not (attempt.client_request and connection in attempt.client_request.connections)
        ]
        return min(
            candidates,
            key=lambda candidate: (len(candidate.in_flight), -candidate.last_used_at),
            default=None,
        )

    def _open(self) -> UpstreamConnection | None:
        """Start connecting; None if no descriptor or no thread is available, which is transient."""
        upstream = self.upstream
        try:
            connection = UpstreamConnection(
                self,
                upstream.read_answer,
                upstream.connection_closed,
                target=ConnectTarget(self.address, upstream.connect_timeout / TICKS_PER_SECOND),
            )
            connection.start()
        except (OSError, RuntimeError) as error:
            if not upstream.counts["unmade"]:
                logger.error("cannot open a connection to {}: {}", self.backend.name, error)
            upstream.counts["unmade"] += 1
            return None
        self.connections.append(connection)
        upstream.counts["connections"] += 1
        connection.last_used_at = connection.created_at = upstream.now()
        return connection
