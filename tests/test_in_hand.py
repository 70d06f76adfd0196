"""Input that a client's reader holds counts as received although the event loop does not know of it: a
request is answered although its idle connection is about to be closed, and a cancellation stops attempts.
Real sockets."""

import select
import socket
import threading
import time

import pytest

from lilacloft.gateway.lifecycle import Phase
from lilacloft.net import connection
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.downstream import Downstream
from lilacloft.net.polling import poll_events
from lilacloft.net.resp import CLIENT_MESSAGE_SIZES, MessageBuffer, encode, encode_fields
from lilacloft.protocol_settings import NS_PER_TICK
from rigs.inprocess import cancel_all, limits, next_dispatch, until
from rigs.stands import serves, silent

FIELDS = {
    "ref": "9b1f03aa5c7e2d41",
    "allow": 1500,
    "lookup": f"{7:016x}",
    "nth": 0,
    "batch": 7,
    "room": 400.0,
}
REQUEST = encode(b"EXEC", b"99", b"clip", encode_fields(FIELDS.items()), b"")


class HeldReaders:
    """Blocks clients' readers, as if they got no processor: before they read ("unread"), when the kernel has
    delivered the bytes ("read"), or when a message is parsed and not handled yet ("parsed")."""

    def __init__(self, monkeypatch, when):
        self.go, self.at, self.when = threading.Event(), threading.Event(), when
        self.go.set()
        read_from, handle_message = MessageBuffer.read_from, Downstream.handle_message
        of_client = CLIENT_MESSAGE_SIZES[-1]
        monkeypatch.setattr(
            MessageBuffer,
            "read_from",
            lambda buffer, sock: read_from(
                buffer, _Held(sock, self) if buffer.element_sizes[-1] == of_client else sock
            ),
        )

        def held_handle_message(downstream, *arguments):
            self.block_at("parsed")
            handle_message(downstream, *arguments)
            self.block_at("taken")

        monkeypatch.setattr(Downstream, "handle_message", held_handle_message)

    def block_at(self, when):
        if when == self.when and not self.go.is_set():
            self.at.set()
            self.go.wait(10)

    def hold(self):
        self.go.clear()


class _Held:
    """A socket whose reads block with the reader."""

    def __init__(self, sock, reader):
        self.sock, self.reader = sock, reader

    def recv_into(self, view):
        poll_events(self.sock, select.POLLIN, None)
        self.reader.block_at("unread")
        count = self.sock.recv_into(view)
        self.reader.block_at("read")
        return count


@pytest.fixture
def reader(monkeypatch):
    """Readers that can be blocked."""
    held = HeldReaders(monkeypatch, "")
    yield held
    held.go.set()


def only_client(world):
    until(lambda: len(world.owner.downstream.clients) == 1)
    return next(iter(world.owner.downstream.clients))


def close_stalled(downstream):
    downstream.close_stalled(10.0, 1 << 30, 0.5)


def answer_across_close(world, reader, close, start, remainder):
    """Return the answer to a client whose last bytes are held by its reader while its connection is
    closed."""
    asker = world.asker()
    start(asker)
    client = only_client(world)
    until(lambda: asker.tag or client.buffer.has_partial())
    reader.at.clear()
    reader.hold()
    asker.sock.sendall(remainder)
    assert reader.at.wait(5)

    def close_connection():
        client.used -= 10
        client.message_started_at -= 10
        close(world.owner.downstream)

    world.run_on_owner(close_connection)
    reader.go.set()
    answer = asker.answer()
    asker.sock.close()
    until(lambda: not world.owner.downstream.clients)
    return answer and answer[:2]


def is_closed(asker):
    """Return whether a client's connection is closed without an answer."""
    asker.sock.settimeout(2)
    return asker.answer() is None


def ask_and_check(asker):
    asker.ask(key=1)
    assert asker.answer()[1] == b"200"


@pytest.mark.parametrize("when", ["unread", "read", "parsed"])
def test_a_request_held_by_its_reader_is_answered(in_process, reader, when):
    world, reader.when = in_process(serves()), when
    for way in (close_stalled, Downstream._make_room, Downstream.close_idle):
        assert answer_across_close(world, reader, way, ask_and_check, REQUEST) == [b"99", b"200"], way
    world.wait_until_idle()


def test_a_stalled_message_that_is_completed_is_answered(in_process, reader):
    """If it arrived before the close, however shortly."""
    world = in_process(serves())
    for reader.when in ("unread", "read", "parsed"):
        found = answer_across_close(
            world, reader, close_stalled, lambda asker: asker.sock.sendall(REQUEST[:40]), REQUEST[40:]
        )
        assert found == [b"99", b"200"], reader.when
    world.wait_until_idle()


def test_a_client_stalled_within_a_message_is_closed(in_process):
    world = in_process(serves())
    asker = world.asker()
    asker.sock.sendall(REQUEST[:40])
    client = only_client(world)
    until(client.buffer.has_partial)

    def close_connection():
        client.message_started_at -= 10
        world.owner.downstream.close_stalled(10.0, 1 << 30, 0.5)

    world.run_on_owner(close_connection)
    assert is_closed(asker)


def test_urgent_data_does_not_keep_an_idle_connection_open(in_process, monkeypatch):
    monkeypatch.setattr(connection, "READER_WAKEUP_TIME", 0.1)
    world = in_process(serves())
    asker = world.asker()
    ask_and_check(asker)
    client = only_client(world)
    asker.sock.send(b"!", socket.MSG_OOB)
    time.sleep(0.2)

    def close_connection():
        client.used -= 10
        close_stalled(world.owner.downstream)

    world.run_on_owner(close_connection)
    assert is_closed(asker)


@pytest.mark.parametrize("when", ["unread", "read", "parsed"])
def test_a_cancellation_held_by_its_reader_stops_attempts(in_process, reader, late, when):
    """The process is paused for a while, and the connection to the cache is established only after that."""
    world, reader.when = in_process(silent, changes=limits(connectTimeoutNs=10**10)), when
    asker = world.asker()
    tag = asker.ask(key=1)
    assert late.begun.acquire(timeout=5)
    reader.hold()
    asker.send(b"FORGET", tag)
    assert reader.at.wait(5)
    go = world.stall()
    time.sleep(0.2)
    go.set()
    world.run_on_owner(lambda: None)
    late.set()
    assert next_dispatch(world.caches[0], 0.5) is None
    reader.go.set()
    world.wait_until_idle()


def test_a_shutdown_waits_for_input_held_by_a_reader(in_process, reader):
    """The process waits 0.3 s for a client with half a message; the rest of one that arrives by then is
    handled."""
    for reader.when in ("unread", "read", "parsed"):
        world = in_process(serves())
        asker = world.asker()
        asker.sock.sendall(REQUEST[:40])
        until(only_client(world).buffer.has_partial)
        world.run_on_owner(world.owner.stop)
        until(lambda world=world: world.owner.lifecycle.phase is Phase.CLOSING)
        reader.at.clear()
        reader.hold()
        asker.sock.sendall(REQUEST[40:])
        assert reader.at.wait(5)
        time.sleep(0.6)
        reader.go.set()
        tag, word, *_ = asker.answer()
        assert tag == b"99" and word in (b"200", b"503"), reader.when  # it may have waited too long by then
        asker.sock.close()
        world.thread.join(5)
        assert not world.thread.is_alive()


@pytest.mark.parametrize("waits, lost", [(0.0, 0), (0.2, 1)])
def test_a_request_received_well_before_our_close_violates_an_invariant(in_process, reader, waits, lost):
    """The connection is closed nevertheless, as by a fault that the invariant checks are to find."""
    world, reader.when = in_process(serves()), "parsed"
    asker = world.asker()
    ask_and_check(asker)
    client = only_client(world)
    reader.hold()
    asker.sock.sendall(REQUEST)
    assert reader.at.wait(5)
    time.sleep(waits)
    client.half_close(CloseReason.RETIRED)
    reader.go.set()
    until(lambda: world.owner.downstream.counts["crossed"] == 1)
    assert world.owner.invariants.violations()["unanswered"] == lost
    asker.sock.close()


def test_an_unprocessed_request_does_not_count_as_its_own_cancellation(in_process, reader):
    """The event loop handles a request before its reader is done with it, and it was unread for longer than
    the grace after a disconnect. A process short of CPU rejected every request in this way."""
    world = in_process(silent)
    asker = world.asker()
    client = only_client(world)
    client.last_byte_at = lambda: time.monotonic_ns() // NS_PER_TICK - 800
    reader.when = "taken"
    reader.hold()
    asker.ask(key=1)
    assert reader.at.wait(5)
    assert next_dispatch(world.caches[0]) is not None
    reader.go.set()
    cancel_all(asker)
    world.wait_until_idle()
