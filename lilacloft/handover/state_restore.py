"""Restores the state of a gateway in a process that has read its configuration and does not serve yet.

Nothing is read, written or closed before `GatewayRestorer.start`. What the decisions continue with is
restored by `lilacloft.routing.snapshot`.
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
    """Stands for a connection that carried a request and has ended: the next attempt takes another."""

    close_reason = CloseReason.RESET


ENDED_CONNECTION = EndedConnection()


class GatewayRestorer:
    """Restores one gateway: first what can be prepared, then the state, then it starts."""

    def __init__(self, gateway: Gateway) -> None:
        """`gateway`: made from the configuration, and not running."""
        self.gateway = gateway
        self.state = messages.GatewayState()
        self.connections: list[Connection] = []  # are started once this process is the gateway
        self.unsent_attempts: list[Attempt] = []  # their connections had not come up: they are sent again

    # --- before the state ---

    def prepare(
        self,
        backends: list[messages.ListedBackend],
        object_parts: Iterable[list[messages.ObjectPartState]],
    ) -> None:
        """Restore what the sender can send while it serves: the endpoint list and most object parts."""
        self._restore_backends(backends)
        for batch in object_parts:
            restore_object_parts(self.gateway.router, to_plain(batch), self.gateway.backends)

    # --- the state ---

    def restore(self, state: messages.GatewayState, socket_at: Callable[[int], socket.socket]) -> None:
        """Restore everything. `socket_at`: returns the socket of a descriptor's index.

        Raises FormatError if the state cannot be restored here.
        """
        self.state, gateway = state, self.gateway
        if state.router is None:
            raise FormatError("a state without the module's part")
        own_vhosts = [vhost["name"] for vhost in gateway.vhosts]
        if state.requests and state.vhosts != own_vhosts:
            raise FormatError(f"open reqs of vhosts {state.vhosts}, known are {own_vhosts}")
        # the gateway's time continues: both processes read the same monotonic clock
        gateway.resume_clock(state.time, state.monotonic_time)
        try:
            requests = self._restore_decisions(state, own_vhosts)
            add_counters(gateway, state.counts)
            gateway.feed.last = max(gateway.feed.last, state.last_event)
            gateway.back.checks = state.health_check_count
            self._restore_open(state, requests, socket_at)
        except (KeyError, IndexError, ValueError, TypeError, AttributeError) as error:
            raise FormatError(f"a state that does not fit together: {error!r}") from error

    def _restore_decisions(self, state: messages.GatewayState, own_vhosts: list[str]) -> list[Request]:
        """Restore the endpoint list and the router; returns the open requests in their order."""
        gateway = self.gateway
        self._restore_backends(state.backends)
        offset = state.clock_offset
        if offset:
            gateway.clock_offset.restore(offset.minimum_lag, offset.measured_at, offset.backend_starts)
        exported = to_plain(state.router)
        # by name, as the order of virtual hosts may have changed
        by_vhost = dict(zip(state.vhosts, exported["vhosts"], strict=False))
        exported["vhosts"] = [by_vhost.get(name, {}) for name in own_vhosts]
        return restore_state(gateway.router, exported, gateway.backends)

    def _restore_open(
        self, state: messages.GatewayState, requests: list[Request], socket_at: Callable[[int], socket.socket]
    ) -> None:
        """Restore the connections, and the requests and attempts that are open on them."""
        clients = {
            client.descriptor: self.restore_client(client, socket_at(client.descriptor))
            for client in state.clients
        }
        lines = [
            self._restore_backend_connection(line, socket_at(line.descriptor))
            for line in state.backend_connections
        ]
        calls = [
            self._restore_request(sent, request, clients[sent.client], lines)
            for sent, request in zip(state.requests, requests, strict=True)
        ]
        for attempt in state.attempts:
            self._restore_attempt(attempt, calls, lines)

    def _restore_backends(self, backends: list[messages.ListedBackend]) -> None:
        """Restore the endpoint list, and the backends that are unlisted but have something in flight."""
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
        """Restore a client's connection, which is not started yet."""
        front = self.gateway.front
        client = ClientConnection(front, sock)
        for field, attribute in CLIENT_ATTRIBUTES.items():
            setattr(client, attribute, getattr(state, field))
        self._restore_connection(client, state)
        front.clients[client] = None
        return client

    def _restore_backend_connection(
        self, state: messages.BackendConnectionState, sock: socket.socket
    ) -> UpstreamConnection:
        back, backend = self.gateway.back, self.gateway.backends[state.backend]
        pool = back.pools.get(backend)
        address = (state.host, state.port)
        if pool is None or (pool.address, pool.backend_started) != (address, state.backend_started):
            pool = UpstreamPool(
                backend, address, back
            )  # of an earlier start, or unlisted: it gets nothing new
        line = UpstreamConnection(pool, back.read_answer, back.connection_closed, sock=sock)
        pool.connections.append(line)
        line.last_read_at = state.last_answer_at
        line.last_used_at = state.last_used_at
        line.created_at = state.created_at
        line.retiring = state.is_retired or back.pools.get(backend) is not pool
        self._restore_connection(line, state)
        return line

    def _restore_connection(self, conn: Connection, state: messages.ConnectionState) -> None:
        """Restore what clients' connections and those to backends have in common."""
        conn.buffer.append(state.partial_message)
        conn.backlog.extend(PendingMessage(end, memoryview(rest), started=True) for end, rest in state.unsent)
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
        lines: list[UpstreamConnection],
    ) -> ClientRequest:
        """Restore an open request as its client sent it. `lines`: the connections to backends, by index."""
        call = ClientRequest.__new__(ClientRequest)
        for field, attribute in REQUEST_ATTRIBUTES.items():
            setattr(call, attribute, getattr(state, field))
        call.client, call.request, call.attempt = client, request, None
        call.cancelled_at, call.last_outcome, call.history = (
            0,
            "",
            self.gateway.request_history(call, request),
        )
        call.connections = [ENDED_CONNECTION if index < 0 else lines[index] for index in state.connections]
        if state.is_open:
            client.open[call.tag] = call
            self.gateway.front.requests_by_name[call.name] = call
        else:
            request.finished = True
        self.gateway.open_requests[request] = call
        return call

    def _restore_attempt(
        self, state: messages.AttemptState, calls: list[ClientRequest], lines: list[UpstreamConnection]
    ) -> None:
        """Restore an attempt or a health check, and the timers that wait for it."""
        gateway = self.gateway
        call = None if state.request is None else calls[state.request]
        sent = self._make_attempt(state, call)
        if call:
            call.attempt = sent
            if call.request.send_by:
                gateway.call_at(call.request.send_by, gateway.send_deadline_passed, call)
        if state.pending_end:
            end, due_at = state.pending_end
            gateway.call_at(due_at, gateway.attempt_ended, sent, CloseReason[end])
            return
        if state.connection is None:
            self.unsent_attempts.append(sent)
        else:
            self._put_on_connection(sent, lines[state.connection])
        if state.deadline is not None:
            gateway.call_at(state.deadline, gateway.attempt_timed_out, sent)

    def _make_attempt(self, state: messages.AttemptState, call: ClientRequest | None) -> Attempt:
        gateway = self.gateway
        sent = Attempt(
            call,
            gateway.backends[state.backend],
            state.seq,
            state.name,
            state.data,
            state.sent_at,
            encoded_at=gateway.to_monotonic(state.sent_at),
            deadline=gateway.to_monotonic(state.deadline or call.request.deadline) if call else 0,
            send_by=gateway.to_monotonic(call.request.send_by) if call else 0,
            window_over=gateway.idempotency_deadline(call.history) if call else 0,
        )
        sent.position = state.stream_end
        return sent

    @staticmethod
    def _put_on_connection(sent: Attempt, line: UpstreamConnection) -> None:
        """Restore an attempt as in flight on a connection, where some of it may have to be written yet."""
        sent.connection = line
        line.in_flight[sent.name] = sent
        for waiting in line.backlog:
            if waiting.position == sent.position:
                waiting.started = len(waiting.unsent) < len(sent.data)

    # --- this process is the gateway ---

    def start(self) -> None:
        """Read and write on all connections, and send the attempts that could not be sent."""
        gateway = self.gateway
        gateway.record_pause(self.state.monotonic_time)
        for conn in self.connections:
            with conn.lock:
                conn._start_writer()
            conn.start()
        if gateway.store:
            gateway.store.adopt_attempts(
                call.attempt
                for call in gateway.open_requests.values()
                if call.attempt and call.attempt not in self.unsent_attempts
            )
        for sent in self.unsent_attempts:
            self._send_again(sent)

    def _send_again(self, sent: Attempt) -> None:
        gateway = self.gateway
        sent.at = gateway.time
        if sent.expired():
            end: CloseReason | None = CloseReason.UNWRITTEN
        elif gateway.store:
            end = gateway.store.dispatch(sent, sent.call.request.deadline)
        else:
            end = gateway.back.dispatch(sent)
        if end is not None:
            gateway.report_end(sent, end)
