"""Brings a gateway's connections to rest, and resumes them: the sender's part on its event loop's thread.

Nothing here waits for a peer. No connection that stays here is left at rest, and none that was transferred is
closed: that would end it for the receiver as well.
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

RETRY_SECONDS = 0.002  # between two attempts to bring all connections to rest


class IdleClient(NamedTuple):
    """A client's connection that was brought to rest by itself, and its state."""

    connection: ClientConnection
    state: messages.ClientConnectionState


class Quiescer:
    """One gateway, at rest or not.

    A connection's reading is brought to rest first, then its writing. `quiesced` has the connections at rest;
    the value says whether their writing is, too.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.quiesced: dict[Connection, bool] = {}
        self.is_accept_held = False  # are accepting connections and discovery at rest?
        self.requests_before_table = 0  # count of requests when the object parts were listed
        self.transferred: list[Connection] = []  # stay at rest, unless the receiver dies
        self.parts_in_use: list[PartKey] = []  # may change after they were exported

    # --- while the gateway serves ---

    def list_object_parts(self) -> list[PartKey]:
        """Return the keys of all object parts, least recently requested first.

        What changes from now on is in `changed_object_parts`.
        """
        router = self.gateway.router
        self.requests_before_table = router.load_reports.request_count
        self.parts_in_use = [(call.key, call.part) for call in self.gateway.open_requests.values()]
        return list(router.freshness.object_parts)

    def export_object_parts(self, part_keys: list[PartKey]) -> list[dict[str, Any]]:
        """Return some object parts as plain values."""
        return export_object_parts(self.gateway.router, part_keys)

    def changed_object_parts(self) -> list[PartKey]:
        """Return the object parts that may have changed since `list_object_parts`.

        Each request moves its own to the end of the table.
        """
        router = self.gateway.router
        request_count = router.load_reports.request_count - self.requests_before_table
        recent: list[PartKey] = []
        for part_key in reversed(router.freshness.object_parts):
            if len(recent) >= request_count:
                break
            recent.append(part_key)
        return [*self.parts_in_use, *reversed(recent)]

    # --- to rest ---

    def quiesce(self, deadline: float, is_wanted: Callable[[], bool]) -> str:
        """Bring everything to rest, with no event left in the queue.

        `deadline`: monotonic seconds. `is_wanted`: asked after each event, as one may abort the handover.
        Returns why it failed, or an empty text.
        """
        gateway = self.gateway
        gateway.front.gate.acquire()
        gateway.feed.gate.acquire()
        self.is_accept_held = True
        while True:
            self._hold_reading()
            self._end_unreadable_clients()
            self.process_events()
            if not is_wanted():
                return "called off"
            if self._hold_writing():
                break
            if time.monotonic() > deadline:
                return "not all could be brought to rest in time"
            for conn in self.quiesced:
                self._resume_writing(conn)
            time.sleep(RETRY_SECONDS)
        gateway.update_clock()
        return ""

    def _hold_reading(self) -> None:
        """Let the readers of all connections wait between two messages."""
        for conn in all_connections(self.gateway):
            if (
                conn not in self.quiesced
                and conn.close_reason is None
                and conn.state is not ConnectionState.UNREADABLE
            ):
                conn.pause_reading()
                self.quiesced[conn] = False

    def _end_unreadable_clients(self) -> None:
        """Give up what is open for clients that sent malformed data; their connections end here."""
        for client in [conn for conn in self.quiesced if is_unreadable_client(conn)]:
            self.resume_connection(client)
            self.gateway.run_callback(self.gateway.requests.client_sent_malformed, (client,))

    def process_events(self) -> None:
        """Process all events in the queue."""
        gateway = self.gateway
        gateway.update_clock()
        while (event := gateway.next_event()) is not None:
            gateway.loop.run_event(event)

    def _hold_writing(self) -> bool:
        """Hold the writing of all connections as well; returns whether everything is at rest."""
        current = {conn for conn in all_connections(self.gateway) if not is_unreadable_client(conn)}
        for conn in list(self.quiesced):
            if conn in current and not self.quiesced[conn]:
                conn.pause_writing()
                self.quiesced[conn] = True
        # one that ended meanwhile is resumed, as its reader needs the gate to report the end
        ended = [conn for conn in current if conn.close_reason is not None]
        for conn in [*ended, *(conn for conn in self.quiesced if conn not in current)]:
            self.resume_connection(conn)
        is_quiet = not ended and all(self.quiesced.get(conn) for conn in current)
        return is_quiet and self.gateway.queue.empty()

    # --- back to work ---

    def resume_connection(self, conn: Connection) -> None:
        """Let a connection go on, if it is at rest."""
        if conn in self.quiesced:
            conn.resume(self.quiesced.pop(conn))

    def _resume_writing(self, conn: Connection) -> None:
        if self.quiesced[conn]:
            self.quiesced[conn] = False
            conn.lock.release()

    def resume_all(self, accept: bool = True) -> None:
        """Let all connections at rest go on; `accept`: accepting connections and discovery too."""
        for conn in list(self.quiesced):
            self.resume_connection(conn)
        if accept and self.is_accept_held:
            self.is_accept_held = False
            self.gateway.feed.gate.release()
            self.gateway.front.gate.release()

    # --- after the transfer ---

    def mark_transferred(self, connections: list[Connection]) -> None:
        """Give connections to the receiver. They stay at rest here."""
        gateway = self.gateway
        for conn in connections:
            self.quiesced.pop(conn, None)
            if isinstance(conn, ClientConnection):
                gateway.front.clients.pop(conn, None)
            elif conn in conn.pool.connections:
                conn.pool.connections.remove(conn)
        self.transferred += connections

    def forget_transferred_requests(self) -> None:
        """Forget the requests whose clients' connections were transferred, and all timers for them."""
        gateway = self.gateway
        transferred = set(self.transferred)
        for request, call in list(gateway.open_requests.items()):
            if call.client in transferred:
                del gateway.open_requests[request]
                gateway.front.requests_by_name.pop(call.name, None)
        gateway.timers = [
            entry for entry in gateway.timers if entry[2] in (gateway.run_maintenance, gateway.heartbeat)
        ]

    def close_lost(self, connections: list[Connection]) -> None:
        """Close connections that the receiver had when it died.

        What was open on them is lost, as with any process that dies. The requests end first, so that none is
        sent again; then the connections.
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

    def hold_idle_clients(self) -> list[IdleClient]:
        """Bring to rest the clients' connections on which nothing is open any more, and return them."""
        found = []
        for client in list(self.gateway.front.clients):
            if not is_idle(client):
                continue
            was_quiesced = client in self.quiesced  # nothing more is read there in any case
            if not was_quiesced:
                client.pause_reading()
            client.pause_writing()
            self.quiesced[client] = True
            if is_idle(client):
                found.append(IdleClient(client, export_client(client, 0)))
            elif was_quiesced:
                self._resume_writing(client)
            else:
                self.resume_connection(client)
        return found
