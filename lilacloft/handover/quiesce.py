"""Quiesces and resumes the connections of a gateway: the sender's part that runs in the event loop's thread.

A quiesced connection neither reads nor writes. Nothing here waits for a peer. Connections that stay with the
sender are resumed in the end. Those that were transferred are not closed: a shutdown would end them for the
receiver as well.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from lilacloft.handover import messages
from lilacloft.handover.connections import all_connections, is_idle, is_unreadable_client
from lilacloft.handover.state_export import export_client
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.routing.model import PartKey
from lilacloft.routing.snapshot import export_object_parts

if TYPE_CHECKING:
    from lilacloft.gateway.gateway import Gateway

RETRY_SECONDS = 0.002  # between two attempts to quiesce all connections


class IdleClient(NamedTuple):
    """An idle client's connection that was quiesced, and its state."""

    connection: ClientConnection
    state: messages.ClientConnectionState


class Quiescer:
    """Quiesces and resumes the connections of one gateway.

    A connection's reading is paused first, then its writing. The keys of `quiesced` are the connections whose
    reading is paused; the value tells whether writing is paused as well.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.quiesced: dict[Connection, bool] = {}
        self.is_accepting_paused = False
        self.is_discovery_paused = False
        self.request_count_at_listing = 0  # request count when the object parts were listed
        self.transferred: list[Connection] = []  # remain quiesced unless the receiver fails
        self.requested_parts: list[PartKey] = []  # of open requests: may change after the export

    # --- while the gateway serves ---

    def list_object_parts(self) -> list[PartKey]:
        """Return the keys of all object parts, least recently requested first.

        `changed_object_parts` returns those that change from now on.
        """
        router = self.gateway.router
        self.request_count_at_listing = router.load_reports.request_count
        self.requested_parts = [
            (client_request.key, client_request.part)
            for client_request in self.gateway.open_requests.values()
        ]
        return list(router.freshness.object_parts)

    def export_object_parts(self, part_keys: list[PartKey]) -> list[dict[str, Any]]:
        """Return some object parts as plain values."""
        return export_object_parts(self.gateway.router, part_keys)

    def changed_object_parts(self) -> list[PartKey]:
        """Return the keys of object parts that may have changed since `list_object_parts`.

        Each request moves its object part to the end of the table.
        """
        router = self.gateway.router
        request_count = router.load_reports.request_count - self.request_count_at_listing
        recently_requested: list[PartKey] = []
        for part_key in reversed(router.freshness.object_parts):
            if len(recently_requested) >= request_count:
                break
            recently_requested.append(part_key)
        return [*self.requested_parts, *reversed(recently_requested)]

    # --- quiescing ---

    def quiesce(self, deadline: float, should_continue: Callable[[], bool]) -> str:
        """Quiesce all connections, accepting and discovery, and process all events in the queue.

        `deadline`: monotonic seconds. `should_continue`: called after the events, because one of them may
        abort the handover. Returns why it failed, or an empty string.
        """
        gateway = self.gateway
        gateway.downstream.gate.acquire()
        self.is_accepting_paused = True
        gateway.discovery_watch.gate.acquire()
        self.is_discovery_paused = True
        while True:
            self._pause_readers()
            self._end_unreadable_clients()
            self.process_events()
            gateway.discovery.apply_all_received()
            if not should_continue():
                return "the handover was aborted"
            if self._pause_writers():
                break
            if time.monotonic() > deadline:
                return "connections could not be quiesced in time"
            for conn in self.quiesced:
                self._resume_writing(conn)
            time.sleep(RETRY_SECONDS)
        gateway.update_clock()
        return ""

    def _pause_readers(self) -> None:
        """Pause the readers of all connections between two messages."""
        for conn in all_connections(self.gateway):
            if (
                conn not in self.quiesced
                and conn.close_reason is None
                and conn.state is not ConnectionState.UNREADABLE
            ):
                conn.pause_reading()
                self.quiesced[conn] = False

    def _end_unreadable_clients(self) -> None:
        """End the open requests of clients that sent malformed data, which are not transferred."""
        for client in [conn for conn in self.quiesced if is_unreadable_client(conn)]:
            self.resume_connection(client)
            self.gateway.run_callback(self.gateway.requests.client_sent_malformed, (client,))

    def process_events(self) -> None:
        """Process all events in the queue."""
        gateway = self.gateway
        gateway.update_clock()
        while (event := gateway.next_event()) is not None:
            gateway.loop.run_event(event)

    def _pause_writers(self) -> bool:
        """Pause the writers of all connections as well; returns whether everything is quiesced."""
        current = {conn for conn in all_connections(self.gateway) if not is_unreadable_client(conn)}
        for conn in list(self.quiesced):
            if conn in current and not self.quiesced[conn]:
                conn.pause_writing()
                self.quiesced[conn] = True
        # a connection that has ended is resumed: its reader needs the gate to report the end
        ended = [conn for conn in current if conn.close_reason is not None]
        for conn in [*ended, *(conn for conn in self.quiesced if conn not in current)]:
            self.resume_connection(conn)
        is_quiesced = not ended and all(self.quiesced.get(conn) for conn in current)
        return is_quiesced and self.gateway.queue.empty()

    # --- resuming ---

    def resume_connection(self, conn: Connection) -> None:
        """Resume a connection, if it is quiesced."""
        if conn in self.quiesced:
            conn.resume(self.quiesced.pop(conn))

    def _resume_writing(self, conn: Connection) -> None:
        if self.quiesced[conn]:
            self.quiesced[conn] = False
            conn.lock.release()

    def resume_all(self) -> None:
        """Resume all quiesced connections, accepting and discovery."""
        self.resume_discovery()
        self.resume_connections()
        if self.is_accepting_paused:
            self.is_accepting_paused = False
            self.gateway.downstream.gate.release()

    def resume_connections(self) -> None:
        """Resume all quiesced connections."""
        for conn in list(self.quiesced):
            self.resume_connection(conn)

    def resume_discovery(self) -> None:
        """Follow the change log again. What it sent during the pause is not known before it was read; a
        heartbeat that was read before does not show its end."""
        if self.is_discovery_paused:
            self.is_discovery_paused = False
            self.gateway.router.discovery_begins()
            self.gateway.discovery_watch.reconnect()
            self.gateway.discovery_watch.gate.release()

    # --- after the transfer ---

    def mark_transferred(self, connections: list[Connection]) -> None:
        """Remove connections that the receiver has from the gateway. They remain quiesced here."""
        gateway = self.gateway
        for conn in connections:
            self.quiesced.pop(conn, None)
            if isinstance(conn, ClientConnection):
                gateway.downstream.clients.pop(conn, None)
            elif conn in conn.pool.connections:
                conn.pool.connections.remove(conn)
        self.transferred += connections

    def discard_transferred_requests(self) -> None:
        """Discard the requests whose clients' connections were transferred, and the timers of requests."""
        gateway = self.gateway
        transferred = set(self.transferred)
        for request, client_request in list(gateway.open_requests.items()):
            if client_request.client in transferred:
                del gateway.open_requests[request]
                gateway.downstream.requests_by_name.pop(client_request.name, None)
                gateway.downstream.request_ledger.release(client_request)
                gateway.executed_requests.end(client_request.name, request, execution=None)
                attempt = client_request.attempt
                is_here = attempt is not None and attempt.connection is not None
                if is_here and attempt.connection not in transferred:
                    request.finished = True  # the receiver sends it
                    attempt.abandon()
        gateway.timers = [
            entry for entry in gateway.timers if entry[2] in (gateway.run_maintenance, gateway.heartbeat)
        ]

    def close_transferred(self, connections: list[Connection]) -> None:
        """Close connections that the receiver had when it failed.

        The requests on them are lost, as in any crash. They are ended before the connections are closed, so
        that none of them is sent again.
        """
        gateway = self.gateway
        for conn in connections:
            if conn in self.quiesced:
                self._resume_writing(conn)
            elif conn in self.transferred:
                conn.lock.release()
        for client in [conn for conn in connections if isinstance(conn, ClientConnection)]:
            gateway.run_callback(gateway.requests.client_disconnected, (client,))
        for conn in connections:
            conn.close(CloseReason.RESET)
            if self.quiesced.pop(conn, None) is not None or conn in self.transferred:
                conn.gate.release()
        self.transferred = [conn for conn in self.transferred if conn not in connections]

    def quiesce_idle_clients(self) -> list[IdleClient]:
        """Quiesce and return the clients' connections that have become idle."""
        idle_clients = []
        for client in list(self.gateway.downstream.clients):
            if not is_idle(client):
                continue
            was_quiesced = client in self.quiesced  # its reading has been paused for good
            if not was_quiesced:
                client.pause_reading()
            client.pause_writing()
            self.quiesced[client] = True
            if is_idle(client):
                idle_clients.append(IdleClient(client, export_client(client, 0)))
            elif was_quiesced:
                self._resume_writing(client)
            else:
                self.resume_connection(client)
        return idle_clients
