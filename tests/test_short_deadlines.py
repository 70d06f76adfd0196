"""Planned ends where deadlines are short, so that the earliest kill comes soon. Real processes."""

import contextlib
import signal
import socket
import threading
import time

import pytest

from lilacloft.net.resp import MessageBuffer, encode, encode_fields
from rigs.stands import serves

KILL_MARGIN = 0.7  # seconds from SIGTERM to the earliest kill, beside the longest deadline


def short_deadlines(seconds):
    """A function that gives all virtual hosts a deadline."""

    def change(settings):
        for vhost in settings["classes"]:
            vhost["deadlineNs"], vhost["promiseNs"] = int(seconds * 1e9), int(seconds / 2 * 1e9)

    return change


class NewConnections:
    """Clients that send each request on a connection of its own, for as long as one can be made."""

    def __init__(self, port, many):
        self.port, self.lost, self.answered = port, [], 0
        self.over, self.lock = threading.Event(), threading.Lock()
        self.threads = [threading.Thread(target=self._run, args=(n,)) for n in range(many)]
        for thread in self.threads:
            thread.start()

    def _run(self, number):
        count = number << 32
        while not self.over.is_set():
            count += 1
            try:
                sock = socket.create_connection(("127.0.0.1", self.port), 2)
            except OSError:
                return
            with sock:
                self._ask(sock, count)

    def _ask(self, sock, count):
        fields = {"ref": f"{count:016x}", "allow": 500, "lookup": f"{count % 50:016x}", "nth": 0, "batch": 7}
        sent_at = time.monotonic()
        answer = None
        with contextlib.suppress(OSError):
            sock.sendall(encode(b"EXEC", b"1", b"clip", encode_fields(fields.items()), b""))
            buffer = MessageBuffer()
            while answer is None and buffer.read_from(sock):
                answer = buffer.next_message()
        with self.lock:
            self.answered += answer is not None
            if answer is None:
                self.lost.append(sent_at)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


@pytest.mark.parametrize("deadline", [0.6, 0.8, 1.2])
def test_a_request_on_a_new_connection_is_lost_at_the_last_moment_of_a_planned_end(world, deadline):
    """Guards against a listener that stays open until the process ends, as its last moment comes first."""
    world = world(serves(), serves(), changes=short_deadlines(deadline))
    clients = NewConnections(world.port, 4)
    time.sleep(0.5)
    stopped_at = time.monotonic()
    world.process.send_signal(signal.SIGTERM)
    world.process.wait(deadline + KILL_MARGIN)
    clients.stop()
    # at the close of the listener the kernel may still be accepting one connection of each client
    assert [round(at - stopped_at, 3) for at in clients.lost][4:] == []
    last_lost = max(clients.lost, default=stopped_at) - stopped_at
    assert last_lost < KILL_MARGIN + deadline / 2 + 0.1
    assert clients.answered > 50
