"""Brings an owner's connections to rest, and lets them go on: the shell's part of a handover in the old
process.

Belongs to the owner's thread. It must never wait for a peer, never leave a connection at rest that stays
here, and never close one that has gone over: that would end it for the new process as well.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.routing import snapshot
from lilacloft.upgrade import carry, form

LOOK = 0.002  # seconds between two looks at what ends by itself
SLICE = 2000  # entries of the module's table told in one event: some 10 ms


class Rest:
    """One owner, at rest or not."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.held: dict[Connection, bool] = {}  # at rest: is also its writing held?
        self.doors = False  # are accepting and the change log held?
        self.arrivals = 0  # of reqs, when the table was told
        self.moved: list[Connection] = []  # gone over; held for good, unless the new process dies
        self.touched: list[tuple[str, int]] = []  # places of the table that may change after they were told

    # --- before ---

    def table(self) -> list[tuple[str, int]]:
        """The places of the module's table, oldest first; what is asked for from now on is told once more."""
        router = self.owner.router
        self.arrivals = router.load_reports.request_count
        self.touched = [(call.key, call.part) for call in self.owner.open_requests.values()]
        return list(router.freshness.object_parts)

    def slice(self, places: list[tuple[str, int]]) -> list[Any]:
        """Some entries of it."""
        return snapshot.give(self.owner.router, (), places)["objs"]

    def since(self) -> list[tuple[str, int]]:
        """The places that may have changed since `table`: each req moves its own to the end."""
        router = self.owner.router
        count = router.load_reports.request_count - self.arrivals
        tail = []
        for place in reversed(router.freshness.object_parts):
            if len(tail) >= count:
                break
            tail.append(place)
        return [*self.touched, *reversed(tail)]

    # --- to rest ---

    def bring(self, until: float, wanted: Callable[[], bool]) -> str:
        """Bring all to rest, with nothing left unheard in the queue. Tells why not, where it takes too
        long, or is wanted no more, as what is heard may say."""
        owner = self.owner
        owner.front.gate.acquire()
        owner.feed.gate.acquire()
        self.doors = True
        while True:
            for conn in (*list(owner.front.clients), *carry.lines(owner)):
                if (
                    conn not in self.held
                    and conn.close_reason is None
                    and conn.state is not ConnectionState.UNREADABLE
                ):
                    conn.pause_reading()
                    self.held[conn] = False
            for client in [
                one
                for one in self.held
                if isinstance(one, ClientConnection) and one.state is ConnectionState.UNREADABLE
            ]:
                self.loosen(client)  # nonsense: what it has open is given up, and its end comes here
                owner.run_callback(owner.requests.client_sent_malformed, (client,))
            self.hear()
            if not wanted():
                return "called off"
            now = {
                conn
                for conn in (*list(owner.front.clients), *carry.lines(owner))
                if not (isinstance(conn, ClientConnection) and conn.state is ConnectionState.UNREADABLE)
            }
            for conn in list(self.held):
                if conn in now and not self.held[conn]:
                    conn.pause_writing()
                    self.held[conn] = True
            # one that ended meanwhile is heard of first: its reader needs its gate for that
            ended = [conn for conn in now if conn.close_reason is not None]
            for conn in [*ended, *(conn for conn in self.held if conn not in now)]:
                self.loosen(conn)
            if not ended and all(self.held.get(conn) for conn in now) and owner.queue.empty():
                break
            if time.monotonic() > until:
                return "not all could be brought to rest in time"
            for conn in self.held:
                self._unstill(conn)
            time.sleep(LOOK)
        owner.update_clock()
        return ""

    def hear(self) -> None:
        """Take in all that has happened."""
        owner = self.owner
        owner.update_clock()
        while (event := owner.next_event(0.0)) is not None:
            owner.update_clock()
            owner.run_callback(event.callback, event.arguments)

    def loosen(self, conn: Connection) -> None:
        if conn in self.held:
            conn.resume(self.held.pop(conn))

    def _unstill(self, conn: Connection) -> None:
        if self.held[conn]:
            self.held[conn] = False
            conn.lock.release()

    def release(self, doors: bool = True) -> None:
        """All that is at rest goes on."""
        for conn in list(self.held):
            self.loosen(conn)
        if doors and self.doors:
            self.doors = False
            self.owner.feed.gate.release()
            self.owner.front.gate.release()

    # --- after ---

    def moves(self, conns: list[Connection]) -> None:
        """These belong to the new process from here on. They stay at rest here."""
        owner = self.owner
        for conn in conns:
            self.held.pop(conn, None)
            if isinstance(conn, ClientConnection):
                owner.front.clients.pop(conn, None)
            elif conn in conn.pool.connections:
                conn.pool.connections.remove(conn)
        self.moved += conns

    def forgets(self) -> None:
        """What went over with its reqs is theirs to end."""
        owner = self.owner
        gone = set(self.moved)
        for request, call in list(owner.open_requests.items()):
            if call.client in gone:
                del owner.open_requests[request]
                owner.front.requests_by_name.pop(call.name, None)
        owner.timers = [
            entry for entry in owner.timers if entry[2] in (owner.run_maintenance, owner.heartbeat)
        ]

    def back(self, conns: list[Connection]) -> None:
        """The new process had these and has died: what was open on them is lost, as with any process that
        dies. The reqs end first, so that none goes out again; then the connections."""
        owner = self.owner
        clients = [conn for conn in conns if isinstance(conn, ClientConnection)]
        for conn in conns:
            if conn in self.held:
                self._unstill(conn)
            elif conn in self.moved:
                conn.lock.release()
        for client in clients:
            owner.run_callback(owner.requests.client_disconnected, (client,))
        for conn in conns:
            conn.close(CloseReason.RESET)
            if self.held.pop(conn, None) is not None or conn in self.moved:
                conn.gate.release()
        self.moved = [conn for conn in self.moved if conn not in conns]

    def free_later(self) -> list[tuple[ClientConnection, form.Client]]:
        """Clients' connections that nothing is open on any more, at rest from now on."""
        out = []
        for client in list(self.owner.front.clients):
            if not carry.free(client):
                continue
            was = client in self.held  # no more is read there in any case
            if not was:
                client.pause_reading()
            client.pause_writing()
            self.held[client] = True
            if carry.free(client):
                out.append((client, carry.client_told(client, 0)))
            elif was:
                self._unstill(client)
            else:
                self.loosen(client)
        return out
