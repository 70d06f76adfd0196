"""A gateway in the test's own process, and the ways in which clients leave: used to force races."""

import contextlib
import os
import queue
import socket
import struct
import threading
import time

from lilacloft.gateway.gateway import Gateway
from lilacloft.handover.quiesce import Quiescer
from lilacloft.handover.state_export import export_gateway
from lilacloft.handover.state_restore import GatewayRestorer
from lilacloft.net.close_reasons import CloseReason
from rigs.stands import World


def until(holds, wait=5.0, what=lambda: ""):
    """Wait until a condition holds; fails if it does not within `wait` seconds."""
    end = time.monotonic() + wait
    while not holds():
        assert time.monotonic() < end, f"condition not met: {what()}"
        time.sleep(0.002)


def next_dispatch(stand, wait=1.0):
    """The next dispatch that reaches a stand-in cache within `wait` seconds; None if there is none."""
    try:
        return stand.next(wait=wait)
    except queue.Empty:
        return None


def limits(**more):
    """A function that changes the limits in the settings of a world."""
    return lambda settings: settings["limits"].update(more)


# --- ways in which a client leaves ---


def cancel_all(asker):
    """Cancel all requests of a client."""
    for tag in range(1, asker.tag + 1):
        asker.send(b"FORGET", b"%d" % tag)


def closes(asker):
    """Close the connection of a client."""
    asker.sock.close()


def halves(asker):
    """Close the sending direction only; the client may still read."""
    asker.sock.shutdown(socket.SHUT_WR)


def resets(asker):
    """Reset the connection of a client."""
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    asker.sock.close()


class InProcessWorld(World):
    """A world whose gateway runs in a thread of this process, so that its threads can be paused."""

    def start(self):
        self.owner = Gateway({**self.config, "listen": "127.0.0.1:0"})
        self.port = self.owner.downstream.sock.getsockname()[1]
        self._print_rejections()
        self.thread = threading.Thread(target=self.owner.run, daemon=True)
        self.thread.start()
        self.log.since.get(timeout=5)
        if self.log.released.is_set():
            self.wait_until_read()
        self.run_on_owner(lambda: None)  # clients can connect, and the events of the change log are applied

    def _print_rejections(self):
        """Print why each rejected request was, which pytest shows where a test fails."""
        router, reject = self.owner.router, self.owner.router.reject

        def print_and_reject(request, reason):
            if request.finished:
                return
            waited = (router.host.now() - request.sent_at) / 10
            states = [
                (backend.name, int(backend.status), backend.ejected, backend.consecutive_failures)
                for backend in router.pools.backends
            ]
            print(f"rejected: {reason}, {request.attempts} attempts, {waited} ms since the last; {states}")
            reject(request, reason)

        router.reject = print_and_reject

    def run_on_owner(self, what):
        """The result of a function run in the owner's thread, after all earlier internal events."""
        told = queue.SimpleQueue()
        self.owner.post(lambda: told.put(what()))
        return told.get(timeout=5)

    def wait_until_read(self):
        """Wait until the event loop knows that the change log was read to its end: later than the watch."""
        catch_up = self.owner.router.freshness.catch_up
        until(lambda: self.run_on_owner(lambda: catch_up.unread_since is None))

    def held(self):
        return self.run_on_owner(self.owner.open_resources)

    def stall(self):
        """Block the owner thread; returns the event that lets it continue."""
        blocked, go = threading.Event(), threading.Event()
        self.owner.post(lambda: (blocked.set(), go.wait(10)))
        assert blocked.wait(5)
        return go

    def wait_until_idle(self, wait=5.0, but=("clients", "checks")):
        """Wait until no resource is open or counted, other than the open connections named in `but`."""
        until(
            lambda: not any(many for name, many in self.held().items() if name not in but),
            wait,
            lambda: self.held(),
        )

    def close(self):
        self.owner.post(self.owner.end)
        self.thread.join(5)
        # the thread of the feed outlives the test, and a later test may use the port
        self.owner.discovery_watch.move(("127.0.0.1", 1))
        for client in [*self.owner.downstream.clients, *self.owner.downstream.draining]:
            client.close(CloseReason.RETIRED)
        self.owner.downstream.stop_accepting()
        self.owner.downstream.sock.close()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


@contextlib.contextmanager
def restored_successor(world):
    """Yields the restorer of a successor, in this process, to which the state of an idle gateway was
    transferred; the owner of the successor is not started. Connections must be `movable`."""
    quiescer = Quiescer(world.owner)
    assert world.run_on_owner(lambda: quiescer.quiesce(time.monotonic() + 4, lambda: True)) == ""
    exported = world.run_on_owner(lambda: export_gateway(world.owner, "whole", []))
    successor = Gateway({**world.config, "listen": "127.0.0.1:0"}, is_successor=True)
    restorer = GatewayRestorer(successor)
    restorer.restore(
        exported.state, lambda index: socket.socket(fileno=os.dup(exported.connections[index].sock.fileno()))
    )
    try:
        yield restorer
    finally:
        world.run_on_owner(quiescer.resume_all)
        for conn in restorer.connections:
            conn.close(CloseReason.RETIRED)
        successor.downstream.sock.close()
