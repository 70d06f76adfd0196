"""What a client's reader has in hand counts as come, though the owner has not heard of it: a request is
answered where its idle connection is about to be closed, and a cancel lets no attempt begin; real sockets."""

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
from rigs.inprocess import forgets, limits, until, waits_for
from rigs.stands import serves, silent

TOLD = {"ref": "9b1f03aa5c7e2d41", "allow": 1500, "lookup": f"{7:016x}", "nth": 0, "batch": 7, "room": 400.0}
REQUEST = encode(b"EXEC", b"99", b"clip", encode_fields(TOLD.items()), b"")


class HeldReaders:
    """Clients' readers that stop, as where they get no processor: before they read, when the kernel has given
    them the bytes and nothing of ours knows, or when a message is parsed and not yet taken."""

    def __init__(self, monkeypatch, when):
        self.go, self.at, self.when = threading.Event(), threading.Event(), when
        self.go.set()
        read_from, takes = MessageBuffer.read_from, Downstream.handle_message
        of_client = CLIENT_MESSAGE_SIZES[-1]
        monkeypatch.setattr(
            MessageBuffer,
            "read_from",
            lambda buffer, sock: read_from(
                buffer, _Held(sock, self) if buffer.element_sizes[-1] == of_client else sock
            ),
        )

        def held_takes(front, *told):
            self.stops("parsed")
            takes(front, *told)
            self.stops("taken")

        monkeypatch.setattr(Downstream, "handle_message", held_takes)

    def stops(self, when):
        if when == self.when and not self.go.is_set():
            self.at.set()
            self.go.wait(10)

    def hold(self):
        self.go.clear()


class _Held:
    """A socket whose reads a held reader stops at."""

    def __init__(self, sock, reader):
        self.sock, self.reader = sock, reader

    def recv_into(self, view):
        poll_events(self.sock, select.POLLIN, None)
        self.reader.stops("unread")
        count = self.sock.recv_into(view)
        self.reader.stops("read")
        return count


@pytest.fixture
def reader(monkeypatch):
    """Readers that can be held."""
    held = HeldReaders(monkeypatch, "")
    yield held
    held.go.set()


def only_client(world):
    until(lambda: len(world.owner.front.clients) == 1)
    return next(iter(world.owner.front.clients))


def swept(front):
    front.close_stalled(10.0, 1 << 30, 0.5)


def crossed(world, reader, way, begins, rest):
    """What a client is answered whose last bytes are with its reader when its connection is closed."""
    asker = world.asker()
    begins(asker)
    client = only_client(world)
    until(lambda: asker.tag or client.buffer.has_partial())
    reader.at.clear()
    reader.hold()
    asker.sock.sendall(rest)
    assert reader.at.wait(5)

    def closes():
        client.used -= 10
        client.message_started_at -= 10
        way(world.owner.front)

    world.does(closes)
    reader.go.set()
    answer = asker.answer()
    asker.sock.close()
    until(lambda: not world.owner.front.clients)
    return answer and answer[:2]


def ends(asker):
    """Is its connection ended, without an answer?"""
    asker.sock.settimeout(2)
    return asker.answer() is None


def asks(asker):
    asker.ask(key=1)
    assert asker.answer()[1] == b"200"


@pytest.mark.parametrize("when", ["unread", "read", "parsed"])
def test_what_a_reader_has_in_hand_is_answered(in_process, reader, when):
    world, reader.when = in_process(serves()), when
    for way in (swept, Downstream._make_room, Downstream.close_idle):
        assert crossed(world, reader, way, asks, REQUEST) == [b"99", b"200"], way
    world.rests()


def test_the_rest_of_a_message_that_stood_still_is_answered(in_process, reader):
    """Where it came before the close, if only just."""
    world = in_process(serves())
    for reader.when in ("unread", "read", "parsed"):
        found = crossed(world, reader, swept, lambda asker: asker.sock.sendall(REQUEST[:40]), REQUEST[40:])
        assert found == [b"99", b"200"], reader.when
    world.rests()


def test_who_stands_still_within_a_message_is_still_let_go(in_process):
    world = in_process(serves())
    asker = world.asker()
    asker.sock.sendall(REQUEST[:40])
    client = only_client(world)
    until(client.buffer.has_partial)

    def closes():
        client.message_started_at -= 10
        world.owner.front.close_stalled(10.0, 1 << 30, 0.5)

    world.does(closes)
    assert ends(asker)


def test_urgent_data_which_no_reader_is_given_keeps_no_idle_connection(in_process, monkeypatch):
    monkeypatch.setattr(connection, "READER_WAKEUP_TIME", 0.1)
    world = in_process(serves())
    asker = world.asker()
    asks(asker)
    client = only_client(world)
    asker.sock.send(b"!", socket.MSG_OOB)
    time.sleep(0.2)

    def closes():
        client.used -= 10
        swept(world.owner.front)

    world.does(closes)
    assert ends(asker)


@pytest.mark.parametrize("when", ["unread", "read", "parsed"])
def test_a_cancel_in_a_readers_hand_lets_nothing_begin(in_process, reader, late, when):
    """The process gets no processor for a while, and the connection to the cache comes up only then."""
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
    world.does(lambda: None)
    late.set()
    assert waits_for(world.caches[0], 0.5) is None
    reader.go.set()
    world.rests()


def test_a_process_that_ends_waits_for_what_a_reader_has_in_hand(in_process, reader):
    """It waits 0.3 s for who keeps half a message; the rest of one that comes by then is taken."""
    for reader.when in ("unread", "read", "parsed"):
        world = in_process(serves())
        asker = world.asker()
        asker.sock.sendall(REQUEST[:40])
        until(only_client(world).buffer.has_partial)
        world.does(world.owner.stop)
        until(lambda world=world: world.owner.lifecycle.phase is Phase.CLOSING)
        reader.at.clear()
        reader.hold()
        asker.sock.sendall(REQUEST[40:])
        assert reader.at.wait(5)
        time.sleep(0.6)
        reader.go.set()
        tag, word, *_ = asker.answer()
        assert tag == b"99" and word in (b"200", b"503"), reader.when  # by then it may have lain for too long
        asker.sock.close()
        world.thread.join(5)
        assert not world.thread.is_alive()


@pytest.mark.parametrize("waits, lost", [(0.0, 0), (0.2, 1)])
def test_a_request_that_had_come_well_before_our_end_counts_as_a_broken_promise(
    in_process, reader, waits, lost
):
    """Where the connection is ended over it all the same, as by a mistake that the checks are there for."""
    world, reader.when = in_process(serves()), "parsed"
    asker = world.asker()
    asks(asker)
    client = only_client(world)
    reader.hold()
    asker.sock.sendall(REQUEST)
    assert reader.at.wait(5)
    time.sleep(waits)
    client.half_close(CloseReason.RETIRED)
    reader.go.set()
    until(lambda: world.owner.front.counts["crossed"] == 1)
    assert world.owner.invariants.violations()["unanswered"] == lost
    asker.sock.close()


def test_a_request_is_no_cancel_of_itself(in_process, reader):
    """The owner comes to it before its reader is done, and it lay unread for longer than a leaver's grace: a
    starved process refused all that it took."""
    world = in_process(silent)
    asker = world.asker()
    client = only_client(world)
    client.last_byte_at = lambda: time.monotonic_ns() // NS_PER_TICK - 800
    reader.when = "taken"
    reader.hold()
    asker.ask(key=1)
    assert reader.at.wait(5)
    assert waits_for(world.caches[0]) is not None
    reader.go.set()
    forgets(asker)
    world.rests()
