"""Restores the state of a gateway in a process that has read its configuration and does not serve yet.

No connection is read, written or closed before `GatewayRestorer.start`. The state of the router is restored
by `lilacloft.routing.snapshot`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from lilacloft.handover import messages
from lilacloft.handover.counters import add_counters
from lilacloft.handover.framing import FormatError, to_plain
from lilacloft.handover.state_export import CLIENT_ATTRIBUTES, REQUEST_ATTRIBUTES
from lilacloft.net.attempt import Attempt
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.client_request import ClientRequest
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.tcp_info import bytes_received
from lilacloft.net.upstream_pool import UpstreamConnection, UpstreamPool
from lilacloft.net.write_backlog import PendingMessage
from lilacloft.routing.host import ListMode
from lilacloft.routing.model import Backend, BackendStatus, Request
from lilacloft.routing.snapshot import restore_object_parts, restore_state

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway


class EndedConnection:
    """Placeholder for a connection that carried a request and has ended: the next attempt uses another."""

    close_reason = CloseReason.RESET


ENDED_CONNECTION = EndedConnection()


class GatewayRestorer:
    """Restores one gateway: prepares what it can in advance, restores the state, and starts serving."""

    def __init__(self, gateway: Gateway) -> None:
        """`gateway`: made from the configuration, and not running yet."""
        self.gateway = gateway
        self.state = messages.GatewayState()
        self.connections: list[Connection] = []  # started once this process is the gateway
        self.unsent_attempts: list[Attempt] = []  # had no established connection: sent again

    # --- before the state ---

    def prepare(
        self,
        backends: list[messages.ListedBackend],
        object_parts: Iterable[list[messages.ObjectPartState]],
    ) -> None:
        """Restore what the sender sends while it serves: the endpoint list and most object parts."""
        self._restore_backends(backends)
        for batch in object_parts:
            restore_object_parts(self.gateway.router, to_plain(batch), self.gateway.backends)

    # --- the state ---

    def restore(self, state: messages.GatewayState, socket_at: Callable[[int], socket.socket]) -> None:
        """Restore the whole state. `socket_at`: returns the socket for a descriptor index.

        Raises FormatError if the state cannot be restored here.
        """
        self.state, gateway = state, self.gateway
        if state.router is None:
            raise FormatError("the state has no router section")
        configured_vhosts = [vhost["name"] for vhost in gateway.vhosts]
        if state.requests and state.vhosts != configured_vhosts:
            raise FormatError(
                f"the state has open requests and virtual hosts {state.vhosts}, "
                f"but {configured_vhosts} are configured"
            )
        # the gateway's time continues: both processes read the same monotonic clock
        gateway.resume_clock(state.time, state.monotonic_time)
        try:
            requests = self._restore_decisions(state, configured_vhosts)
            add_counters(gateway, state.counts)
            gateway.discovery.resume(state.last_event)
            gateway.upstream.checks = state.health_check_count
            self._restore_open(state, requests, socket_at)
        except (KeyError, IndexError, ValueError, TypeError, AttributeError) as error:
            raise FormatError(f"inconsistent state: {error!r}") from error

    def _restore_decisions(self, state: messages.GatewayState, configured_vhosts: list[str]) -> list[Request]:
        """Restore the endpoint list and the router; returns the open requests in their order."""
        gateway = self.gateway
        self._restore_backends(state.backends)
        offset = state.clock_offset
        if offset:
            gateway.clock_offset.restore(offset.minimum_lag, offset.measured_at, offset.backend_starts)
        exported = to_plain(state.router)
        # matched by name, because the order of virtual hosts may have changed
        by_vhost = dict(zip(state.vhosts, exported["vhosts"], strict=False))
        exported["vhosts"] = [by_vhost.get(name, {}) for name in configured_vhosts]
        return restore_state(gateway.router, exported, gateway.backends)

    def _restore_open(
        self, state: messages.GatewayState, requests: list[Request], socket_at: Callable[[int], socket.socket]
    ) -> None:
        """Restore the connections, and the open requests and attempts on them."""
        clients = {
            client.descriptor: self.restore_client(client, socket_at(client.descriptor))
            for client in state.clients
        }
        upstreams = [
            self._restore_backend_connection(connection, socket_at(connection.descriptor))
            for connection in state.backend_connections
        ]
        client_requests = [
            self._restore_request(exported, request, clients[exported.client], upstreams)
            for exported, request in zip(state.requests, requests, strict=True)
        ]
        for attempt in state.attempts:
            self._restore_attempt(attempt, client_requests, upstreams)

    def _restore_backends(self, backends: list[messages.ListedBackend]) -> None:
        """Restore the endpoint list, and the unlisted backends that still have attempts in flight."""
        gateway = self.gateway
        rows = [
            (
                backend.name,
                (backend.host, backend.port),
                backend.zone,
                backend.kind,
                backend.cell,
                backend.status,
                backend.capacity,
                backend.started,
            )
            for backend in backends
            if backend.status
        ]
        gateway.apply_endpoints(ListMode.CACHED, rows)
        for backend in backends:
            if not backend.status and backend.name not in gateway.backends:
                gateway.backends[backend.name] = Backend(
                    backend.name,
                    backend.zone,
                    backend.kind,
                    backend.cell,
                    BackendStatus.GONE,
                    backend.capacity,
                    backend.started,
                )

    # --- connections ---

    def restore_client(self, state: messages.ClientConnectionState, sock: socket.socket) -> ClientConnection:
        """Restore a client's connection without starting it."""
        downstream = self.gateway.downstream
        client = ClientConnection(downstream, sock)
        for field, attribute in CLIENT_ATTRIBUTES.items():
            setattr(client, attribute, getattr(state, field))
        self._restore_connection(client, state)
        downstream.clients[client] = None
        return client

    def _restore_backend_connection(
        self, state: messages.BackendConnectionState, sock: socket.socket
    ) -> UpstreamConnection:
        upstream, backend = self.gateway.upstream, self.gateway.backends[state.backend]
        pool = upstream.pools.get(backend)
        address = (state.host, state.port)
        if pool is None or (pool.address, pool.backend_started) != (address, state.backend_started):
            # the backend has restarted or is unlisted: this pool gets no new attempts
            pool = UpstreamPool(backend, address, upstream)
        connection = UpstreamConnection(pool, upstream.read_answer, upstream.connection_closed, sock=sock)
        pool.connections.append(connection)
        connection.last_read_at = state.last_answer_at
        connection.last_used_at = state.last_used_at
        connection.created_at = state.created_at
        connection.retiring = state.is_retired or upstream.pools.get(backend) is not pool
        self._restore_connection(connection, state)
        return connection

    def _restore_connection(self, conn: Connection, state: messages.ConnectionState) -> None:
        """Restore the fields that client and backend connections have in common."""
        conn.buffer.append(state.partial_message)
        conn.restore_pending(
            PendingMessage(end, memoryview(rest), started=True) for end, rest in state.unsent
        )
        conn.queued = state.queued_bytes
        conn.written = state.written_bytes
        conn.last_input_at = state.last_read_at
        conn.message_started_at = state.message_began_at
        is_counted = state.consumed_bytes >= 0
        conn.received = conn.passed_on = state.consumed_bytes if is_counted else bytes_received(conn.sock)
        conn.sent_position = min((end - len(rest) for end, rest in state.unsent), default=state.queued_bytes)
        self.connections.append(conn)

    # --- requests and attempts ---

    def _restore_request(
        self,
        state: messages.ClientRequestState,
        request: Request,
        client: ClientConnection,
        upstreams: list[UpstreamConnection],
    ) -> ClientRequest:
        """Restore an open request as its client sent it. `upstreams`: the connections to backends."""
        client_request = ClientRequest.__new__(ClientRequest)
        for field, attribute in REQUEST_ATTRIBUTES.items():
            setattr(client_request, attribute, getattr(state, field))
        client_request.client, client_request.request, client_request.attempt = client, request, None
        client_request.cancelled_at, client_request.last_outcome, client_request.history = (
            0,
            "",
            self.gateway.request_history(client_request, request),
        )
        client_request.reserved_bytes = 0
        self.gateway.downstream.request_ledger.reserve_restored(client_request)
        client_request.connections = [
            ENDED_CONNECTION if index < 0 else upstreams[index] for index in state.connections
        ]
        if state.is_open:
            client.open[client_request.tag] = client_request
            self.gateway.downstream.requests_by_name[client_request.name] = client_request
        else:
            request.finished = True
        self.gateway.open_requests[request] = client_request
        self.gateway.executed_requests.begin(client_request.name, request)
        return client_request

    def _restore_attempt(
        self,
        state: messages.AttemptState,
        client_requests: list[ClientRequest],
        upstreams: list[UpstreamConnection],
    ) -> None:
        """Restore an attempt or a health check, and its timers."""
        gateway = self.gateway
        client_request = None if state.request is None else client_requests[state.request]
        attempt = self._make_attempt(state, client_request)
        if client_request:
            client_request.attempt = attempt
            if client_request.request.send_by:
                gateway.call_at(client_request.request.send_by, gateway.send_deadline_passed, client_request)
        if state.pending_end:
            end, due_at = state.pending_end
            gateway.call_at(due_at, gateway.attempt_ended, attempt, CloseReason[end])
            return
        if state.connection is None:
            self.unsent_attempts.append(attempt)
        else:
            self._attach_to_connection(attempt, upstreams[state.connection])
        if state.deadline is not None:
            gateway.call_at(state.deadline, gateway.attempt_timed_out, attempt)

    def _make_attempt(self, state: messages.AttemptState, client_request: ClientRequest | None) -> Attempt:
        gateway = self.gateway
        attempt = Attempt(
            client_request,
            gateway.backends[state.backend],
            state.seq,
            state.name,
            state.data,
            state.sent_at,
            encoded_at=gateway.to_monotonic(state.sent_at),
            deadline=gateway.to_monotonic(state.deadline or client_request.request.deadline)
            if client_request
            else 0,
            send_by=gateway.to_monotonic(client_request.request.send_by) if client_request else 0,
            window_over=gateway.idempotency_deadline(client_request.history) if client_request else 0,
        )
        attempt.position = state.stream_end
        return attempt

    @staticmethod
    def _attach_to_connection(attempt: Attempt, upstream: UpstreamConnection) -> None:
        """Restore an attempt in flight on a connection, which may not have been fully written yet."""
        attempt.connection = upstream
        upstream.in_flight[attempt.name] = attempt
        for pending in upstream.backlog:
            if pending.position == attempt.position:
                pending.started = len(pending.unsent) < len(attempt.data)

    # --- this process is the gateway ---

    def start(self) -> None:
        """Start all connections, and send the attempts that the sender could not send."""
        gateway = self.gateway
        gateway.record_pause(self.state.monotonic_time)
        for conn in self.connections:
            with conn.lock:
                conn._start_writer()
            conn.start()
        if gateway.store:
            gateway.store.adopt_attempts(
                client_request.attempt
                for client_request in gateway.open_requests.values()
                if client_request.attempt and client_request.attempt not in self.unsent_attempts
            )
        for attempt in self.unsent_attempts:
            self._send_unsent(attempt)

    def _send_unsent(self, attempt: Attempt) -> None:
        gateway = self.gateway
        attempt.at = gateway.time
        if attempt.expired():
            end: CloseReason | None = CloseReason.UNWRITTEN
        elif gateway.store:
            end = gateway.store.dispatch(attempt, attempt.client_request.request.deadline)
        else:
            end = gateway.upstream.dispatch(attempt)
        if end is not None:
            gateway.report_end(attempt, end)
