"""A gateway inside the test's own process, and how clients leave it: what tests need to force a crossing."""

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
    """Until something holds; an error where it does not within seconds."""
    end = time.monotonic() + wait
    while not holds():
        assert time.monotonic() < end, f"not in time: {what()}"
        time.sleep(0.002)


def waits_for(stand, wait=1.0):
    """The next request that comes to a stand-in cache within some seconds; None where none does."""
    try:
        return stand.next(wait=wait)
    except queue.Empty:
        return None


def limits(**more):
    """Changes of the settings' limits, for a world."""
    return lambda settings: settings["limits"].update(more)


# --- the ways in which a client leaves ---


def forgets(asker):
    """It cancels all that it has asked."""
    for tag in range(1, asker.tag + 1):
        asker.send(b"FORGET", b"%d" % tag)


def closes(asker):
    """It closes its connection."""
    asker.sock.close()


def halves(asker):
    """It closes its half, and may read on."""
    asker.sock.shutdown(socket.SHUT_WR)


def resets(asker):
    """It resets its connection."""
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    asker.sock.close()


class InProcessWorld(World):
    """A world whose gateway is a Gateway in a thread of this process, so that its threads can be held."""

    def start(self):
        self.owner = Gateway({**self.config, "listen": "127.0.0.1:0"})
        self.port = self.owner.front.sock.getsockname()[1]
        self.thread = threading.Thread(target=self.owner.run, daemon=True)
        self.thread.start()
        self.log.since.get(timeout=5)
        if self.log.released.is_set():
            until(lambda: self.owner.feed.status.current)
        self.does(lambda: None)  # clients can connect, and what the change log told is taken in

    def does(self, what):
        """The result of something done in the owner's thread, after all internal events before."""
        told = queue.SimpleQueue()
        self.owner.post(lambda: told.put(what()))
        return told.get(timeout=5)

    def held(self):
        return self.does(self.owner.open_resources)

    def stall(self):
        """Hold the owner's thread; returns the event that lets it go on."""
        in_it, go = threading.Event(), threading.Event()
        self.owner.post(lambda: (in_it.set(), go.wait(10)))
        assert in_it.wait(5)
        return go

    def rests(self, wait=5.0, but=("clients", "checks")):
        """Until nothing is open, counted or held any more; who stays connected is no such thing."""
        until(
            lambda: not any(many for name, many in self.held().items() if name not in but),
            wait,
            lambda: self.held(),
        )

    def close(self):
        self.owner.post(self.owner.end)
        self.thread.join(5)
        self.owner.feed.move(("127.0.0.1", 1))  # its thread lives on, and its port is another test's soon
        for client in [*self.owner.front.clients, *self.owner.front.draining]:
            client.close(CloseReason.RETIRED)
        self.owner.front.stop_accepting()
        self.owner.front.sock.close()
        for stand in [*self.caches, self.parent, self.origin, self.log]:
            stand.break_off()
            stand.close()


@contextlib.contextmanager
def handed_over(world):
    """What the next process makes of a world's gateway at rest, in this process; its owner is not started.
    Connections must be `movable`."""
    quiescer = Quiescer(world.owner)
    assert world.does(lambda: quiescer.quiesce(time.monotonic() + 4, lambda: True)) == ""
    exported = world.does(lambda: export_gateway(world.owner, "whole", []))
    successor = Gateway({**world.config, "listen": "127.0.0.1:0"}, follows=True)
    restorer = GatewayRestorer(successor)
    restorer.restore(
        exported.state, lambda index: socket.socket(fileno=os.dup(exported.connections[index].sock.fileno()))
    )
    try:
        yield restorer
    finally:
        world.does(quiescer.resume_all)
        for conn in restorer.connections:
            conn.close(CloseReason.RETIRED)
        successor.front.sock.close()
