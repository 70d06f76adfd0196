"""Clients that have left while most of what they sent was unread, and ids that come again after that."""

import socket
import threading
import time

import pytest

from lilacloft.net.resp import CLIENT_MESSAGE_SIZES, MAX_WRITE_SIZE, MessageBuffer, encode, encode_fields
from lilacloft.routing.executed_requests import ExecutedRequests, Execution
from lilacloft.routing.model import Backend
from rigs.inprocess import cancel_all, closes, next_dispatch, resets, until
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


# --- ids that come again ---


def once(settings):
    """Give the second virtual host requests that may not be executed again."""
    settings["classes"][1]["repeat"] = "once"


def ask_as(client, vhost, request_id):
    """Send a request under an id; return its tag."""
    return client.ask(vhost, key=3, body=b"", ref=request_id, replay=KEY)


def count_dispatches(world):
    """The number of dispatches that the caches have received since the last call."""
    count = 0
    for cache in world.caches:
        while next_dispatch(cache, 0.1) is not None:
            count += 1
    return count


@pytest.mark.parametrize(
    "leaves, vhost, status",
    [
        (resets, b"pay", b"500"),
        (resets, b"clip", b"503"),
        (cancel_all, b"pay", b"500"),
        (cancel_all, b"clip", b"503"),
        (closes, b"pay", b"500"),  # its half only, as far as the gateway can tell: the id is open
        (closes, b"clip", b"500"),
    ],
)
def test_an_id_is_sent_again_while_its_first_request_may_still_run(in_process, leaves, vhost, status):
    """Guards against two attempts of one id at once, the first for a client that has left."""
    world = in_process(silent, silent, changes=lambda settings: settings["limits"].update(cancel=False))
    first = world.asker()
    ask_as(first, vhost, "9b1f03aa5c7e2d41")
    assert count_dispatches(world) == 1
    leaves(first)
    until(lambda: leaves is closes or not world.owner.downstream.requests_by_name)
    second = world.asker()
    tag = ask_as(second, vhost, "9b1f03aa5c7e2d41")
    assert second.answer()[:2] == [tag, status]
    assert count_dispatches(world) == 0


@pytest.mark.parametrize("leaves", [closes, resets, cancel_all, None])
def test_an_id_whose_effect_may_have_happened_is_executed_again(in_process, leaves):
    """Guards against an effect that happens twice: the id comes again after its attempt has ended."""
    world = in_process(silent if leaves else serves(), changes=once)
    first = world.asker()
    tag = ask_as(first, b"pay", "9b1f03aa5c7e2d41")
    assert count_dispatches(world) == 1
    if leaves:
        leaves(first)
    else:
        assert first.answer()[:2] == [tag, b"200"]
    world.wait_until_idle()
    second = world.asker()
    tag = ask_as(second, b"pay", "9b1f03aa5c7e2d41")
    assert second.answer()[:2] == [tag, b"500"]
    assert count_dispatches(world) == 0
    tag = ask_as(second, b"pay", "9b1f03aa5c7e2d42")
    assert count_dispatches(world) == 1, "another id is sent"


def test_an_id_that_never_ran_is_refused_when_it_comes_again(in_process):
    """Guards against a memory of ids that takes a rejection for an execution."""
    world = in_process(silent, changes=once)
    world.owner.downstream.request_ledger.budget = 0
    client = world.asker()
    tag = ask_as(client, b"pay", "9b1f03aa5c7e2d41")
    assert client.answer()[:2] == [tag, b"503"]
    world.owner.downstream.request_ledger.budget = 1 << 20
    ask_as(client, b"pay", "9b1f03aa5c7e2d41")
    assert count_dispatches(world) == 1


def test_ever_new_ids_are_remembered_without_end():
    """Guards the bound on the table of executed requests; the latest ids stay."""
    table, backend = ExecutedRequests(), Backend("s-1")
    table.max_remembered = 100
    for number in range(1_000):
        request = object()
        assert table.begin(str(number), request)
        table.end(str(number), request, Execution(number, backend))
    assert len(table.executed) == 100 and not table.in_progress
    assert list(table.executed) == [str(number) for number in range(900, 1_000)]
