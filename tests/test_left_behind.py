"""Clients that have left while most of what they sent was unread, and ids that come again after that."""

import socket
import threading
import time

import pytest

from lilacloft.net.resp import CLIENT_MESSAGE_SIZES, MAX_WRITE_SIZE, MessageBuffer, encode, encode_fields
from rigs.inprocess import next_dispatch, until
from rigs.stands import StandInClient, serves, silent

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"  # an idempotency key
MAX_SEND_DELAY = 0.1  # seconds after a client's close within which an attempt may begin


def write(tag):
    """A write of the largest size, as its bytes on the connection."""
    fields = {
        "ref": f"{tag:016x}",
        "allow": 2500,
        "replay": KEY,
        "lookup": f"{tag:016x}",
        "nth": 0,
        "batch": 7,
    }
    return encode(b"EXEC", b"%d" % tag, b"pay", encode_fields(fields.items()), bytes(MAX_WRITE_SIZE))


def sends_and_closes(world, count):
    """Send writes that the client's own kernel has to hold back, and close at once; return when."""
    client = StandInClient(world.port)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 21)
    client.sock.setblocking(False)
    client.sock.send(b"".join(write(tag) for tag in range(1, count + 1)))
    client.sock.close()
    return time.monotonic()


class StarvedReaders:
    """Readers of clients that get no processor while they are held, before their next read."""

    def __init__(self, monkeypatch):
        self.go, read_from = threading.Event(), MessageBuffer.read_from
        self.go.set()

        def held_read_from(buffer, sock):
            if buffer.element_sizes == CLIENT_MESSAGE_SIZES:
                self.go.wait(10)
            return read_from(buffer, sock)

        monkeypatch.setattr(MessageBuffer, "read_from", held_read_from)


@pytest.mark.parametrize("starved", [0.15, 0.3, 0.6])
def test_requests_are_sent_on_whose_client_has_closed_behind_unread_input(in_process, monkeypatch, starved):
    """Guards against an end that the kernel cannot report yet, as the client's kernel holds it back."""
    world, readers = in_process(silent), StarvedReaders(monkeypatch)
    arrived, begun = world.owner.requests.arrived, threading.Event()

    def arrived_and_hold(request):
        readers.go.clear()
        begun.set()
        arrived(request)

    world.owner.requests.arrived = arrived_and_hold
    closed_at = sends_and_closes(world, 12)
    assert begun.wait(5)
    world.owner.requests.arrived = arrived
    time.sleep(starved)
    readers.go.set()
    until(lambda: not world.owner.downstream.clients)
    sent = []
    while (found := next_dispatch(world.caches[0], 0.1)) is not None:
        sent.append(round(found[0] - closed_at, 3))
    assert sent, "the first request is sent on"
    assert [at for at in sent if at > MAX_SEND_DELAY] == []


def test_a_client_that_sends_much_and_stays_is_served(in_process):
    """Guards against a reader that takes each client which sends much for one that has left."""
    world = in_process(serves())
    client = StandInClient(world.port)
    client.sock.sendall(b"".join(write(tag) for tag in range(1, 9)))
    answers = [client.answer() for _ in range(8)]
    assert {answer[1] for answer in answers} == {b"200"}
