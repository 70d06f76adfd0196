"""Ends that cross something still owed, on real sockets, each forced to: by held peers, hooks and events.

The gateway of most of these is a Gateway in this process, so that its threads can be held at an instant;
those about signals start the program."""

import itertools
import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest

from lilacloft.gateway import lifecycle
from lilacloft.gateway.gateway import Gateway
from lilacloft.gateway.lifecycle import Phase
from lilacloft.net import connection as connections
from lilacloft.net import discovery_watch, downstream
from lilacloft.net.attempt import Attempt
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.discovery_watch import DiscoveryWatch
from lilacloft.net.downstream import Downstream
from lilacloft.net.resp import encode
from lilacloft.net.upstream import Upstream, UpstreamCallbacks
from lilacloft.net.upstream_pool import UpstreamConnection
from lilacloft.protocol_settings import from_protocol
from lilacloft.routing.model import Backend
from rigs.inprocess import InProcessWorld, closes, forgets, halves, limits, resets, until, waits_for
from rigs.stands import ENV, Asker, Log, World, framed, record, serves, silent, unused

CLIP = b"x" * 200_000
ASKED = b"ref=%016x,allow=3000,lookup=%016x,nth=0,batch=7,room=400"


# --- what was let go, and has not gone out when that holds no more ---


def waiting(world):
    """The dispatch that waits for its connection to come up."""
    (call,) = world.does(lambda: list(world.owner.open_requests.values()))
    return call.attempt


@pytest.mark.parametrize("drains", ["cache", "source"])
def test_what_waits_for_a_connection_is_not_sent_to_or_through_who_drains_by_then(in_process, late, drains):
    """A send counts from its first byte: the grace of a drain may be over when the connection comes up."""
    world = in_process(serves(b"ok"), serves(b"ok"), changes=limits(connectTimeoutNs=10**10))
    asker = world.asker()
    tag = asker.ask(allow=3000)
    assert late.begun.acquire(timeout=5)
    sent = waiting(world)
    if drains == "cache":
        place = int(sent.backend.name[2:], 16)
        world.log.add(2, 2, record(place, world.caches[place - 1].port, state=1))
        until(lambda: world.does(lambda: sent.backend.status) == 2)
    else:
        assert b"next=s-00000003" in sent.data
        world.log.add(2, 2, record(3, world.parent.port, state=1, kind=2))
        until(lambda: not world.does(lambda: world.owner.router.pools.parents))
    late.set()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    if drains == "cache":
        assert not waits_for(world.caches[place - 1], 0.1)
    else:
        place = int(sent.backend.name[2:], 16)
        assert b"next=s-00000003" not in world.caches[place - 1].next()[2][2]
    world.rests()


@pytest.mark.parametrize("kind", [3, 4])
def test_what_waits_for_a_connection_when_a_purge_is_told_takes_no_copy_older(in_process, late, kind):
    """The oldest copy that will do is reckoned as a dispatch is made, and was stale when it went out."""
    world = in_process(serves(b"ok"), changes=limits(connectTimeoutNs=10**10))
    asker = world.asker()
    tag = asker.ask(key=5, allow=3000)
    assert late.begun.acquire(timeout=5)
    assert b"agelim=10000" in waiting(world).data
    at = time.time_ns() // 10**6
    world.log.add(2, kind, struct.pack(">QQ", 5, at) if kind == 3 else struct.pack(">HQ", 7, at))
    until(lambda: world.does(lambda: world.owner.router.freshness.purges))
    late.set()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    told = world.caches[0].next()[2][2]
    assert int(told.split(b"agelim=")[1].split(b",")[0]) <= time.time_ns() // 10**6 - at
    world.rests()


def test_a_second_attempt_does_not_wait_for_its_connection_past_the_window(in_process, late):
    """The first may have run; past its window the key is forgotten, and the effect would come twice."""

    def changes(settings):
        settings["limits"]["connectTimeoutNs"] = 10**10
        settings["classes"][1]["repeatWindowNs"] = 400 * 10**6

    world = in_process(silent, silent, changes=changes)
    late.set()
    asker = world.asker()
    at = time.monotonic()
    tag = asker.ask(b"pay", body=b"x", allow=3000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    first = next(one for one in world.caches if waits_for(one, 0.2))
    late.clear()
    first.break_off()
    until(lambda: (sent := waiting(world)) and sent.seq == 1)  # none is out between the two
    assert world.held()["out"]
    assert asker.answer()[:2] == [tag, b"503"]
    assert time.monotonic() - at < 0.6
    late.set()
    assert not any(waits_for(one, 0.1) for one in world.caches)
    world.rests()


# --- a close by us ---


def test_a_req_that_crosses_our_close_is_never_half_taken(in_process, monkeypatch):
    """Read after the close: not sent on, and its name is free for the try that comes again elsewhere."""
    world, admit = in_process(silent), ClientConnection.accept_request

    def crossed(self, call):
        assert self.downstream._close_if_idle(self)
        return admit(self, call)

    asker = world.asker()
    asker.send(b"ALIVE", b"1", b"")
    assert asker.answer() == [b"1", b"serving"]
    monkeypatch.setattr(ClientConnection, "accept_request", crossed)
    asker.ask(ref="9b1f03aa5c7e2d41")
    assert asker.answer() is None
    monkeypatch.setattr(ClientConnection, "accept_request", admit)
    again = world.asker()
    again.ask(key=2, ref="9b1f03aa5c7e2d41")
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 2) > 0
    forgets(again)
    asker.sock.close()
    world.rests()
    assert world.owner.answer_counts["denied"] == world.owner.answer_counts["aborted"] == 0


LONG = limits(connectTimeoutNs=5 * 10**9, keepaliveNs=10**9)


def test_a_long_connect_time_out_closes_no_client_that_has_just_come(in_process):
    """The time-out is the settings'; it had been the span between two looks at clients as well, and what they
    are owed, less two such spans, was below nothing: who had not brought a req yet was closed at once."""
    world = in_process(serves(b"ok"), changes=LONG)
    asker = world.asker()
    until(lambda: world.owner.front.counts["connections"])
    world.does(world.owner.run_maintenance)
    tag = asker.ask()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert world.owner.front.counts["closed_idle"] == 0


def test_a_long_connect_time_out_takes_no_time_from_what_is_out_at_the_signal(in_process):
    """All was given up at once there: the last moment was reckoned a connect time-out before the kill."""
    world = in_process(silent, changes=LONG)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    _, sock, items = world.caches[0].next()
    world.does(world.owner.stop)
    assert (
        world.owner.lifecycle.shutdown_deadline - world.owner.lifecycle.shutdown_started
        > 3 * lifecycle.TICKS_PER_SECOND
    )
    until(lambda: world.does(lambda: world.owner.time) > world.owner.lifecycle.shutdown_started + 2000)
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert asker.answer() == [tag, b"200", b"", b"bytes"]


def test_an_idle_connection_is_closed_before_the_cache_would_also_after_a_long_connect_time_out(in_process):
    assert in_process(silent, changes=LONG).owner.back.idle_timeout <= 10_000 / 2


@pytest.mark.parametrize("how", [socket.SHUT_WR, socket.SHUT_RDWR])
def test_a_connection_with_something_unread_or_open_is_not_closed_as_idle(in_process, monkeypatch, how):
    """A close over unread bytes is a reset, and a req in the kernel's buffer would be lost with it."""
    world, takes, go, in_it = (
        in_process(serves(b"ok")),
        Downstream.handle_message,
        threading.Event(),
        threading.Event(),
    )

    def held(self, client, items):
        if items[0] == b"ALIVE":
            in_it.set()
            assert go.wait(5)
        takes(self, client, items)

    monkeypatch.setattr(Downstream, "handle_message", held)
    asker = world.asker()
    asker.send(b"ALIVE", b"99", b"")
    assert in_it.wait(5)
    client = next(iter(world.owner.front.clients))
    tag = asker.ask()
    until(lambda: unread(client))
    assert not world.owner.front._close_if_idle(client, how)
    go.set()
    assert asker.answer() == [b"99", b"serving"] and asker.answer() == [tag, b"200", b"", b"ok"]
    until(lambda: world.owner.front._close_if_idle(client, how))
    assert asker.answer() is None
    asker.sock.close()
    world.rests(but=("checks",))


def test_who_stands_still_within_a_message_gets_its_answers_whole_before_its_end(in_process):
    """It reads slowly and has begun another message: it was closed over what had not gone out."""
    world = in_process(serves(b"x" * 240_000))
    asker = Asker(world.port)
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    tags = [asker.ask(key=number, allow=3000) for number in range(8)]
    until(lambda: world.owner.front.clients)
    client = next(iter(world.owner.front.clients))
    until(lambda: client.settled == 8)
    asker.sock.sendall(b"*5\r\n$4\r\nEX")
    until(lambda: client.buffer.has_partial())
    assert client.unsent_bytes() > 0
    client.message_started_at -= 60  # seconds ago
    world.does(world.owner.run_maintenance)
    answers = [asker.answer() for _ in tags]
    assert {answer[0] for answer in answers} == set(tags)
    assert all(answer[1] == b"200" and len(answer[3]) == 240_000 for answer in answers)
    until(lambda: not client.unsent_bytes())
    world.does(world.owner.run_maintenance)
    assert asker.answer() is None, "in order, once all has gone out"
    asker.sock.close()
    world.rests(but=("checks",))


def unread(client):
    with client.lock:
        return client.unread()


def test_answers_before_the_end_of_who_writes_nonsense_arrive_whole_and_are_no_reset(in_process):
    """It sends on at full speed: a close over what was not read would take the answers along."""
    world = in_process(silent)
    asker = world.asker()
    tags = {asker.ask(key=number, allow=3000) for number in range(8)}
    for _ in tags:
        world.caches[0].next()
    asker.sock.sendall(b"GET / HTTP/1.1\r\n" + b"y" * 100_000)
    got = list(iter(asker.answer, None))  # a reset would be an error here
    assert {items[0] for items in got} == tags and {items[1] for items in got} == {b"503"}
    asker.sock.close()
    world.rests(but=("checks",))


def test_who_does_not_close_after_our_end_is_cut_off(in_process):
    world = in_process(serves(b"ok"))
    asker = world.asker()
    asker.ask()
    assert asker.answer()[1] == b"200"
    client = next(iter(world.owner.front.clients))
    assert world.owner.front._close_if_idle(client) and asker.answer() is None
    until(lambda: client.state is ConnectionState.CLOSED)
    world.rests(but=("checks",))
    asker.sock.close()


def test_no_small_write_is_ever_held_back(in_process, monkeypatch):
    """Each first byte, to clients and caches, goes out with TCP_NODELAY set."""
    plain, sends = [], Connection._send_now

    def seen(self, rest, place):
        plain.append((type(self), self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)))
        return sends(self, rest, place)

    monkeypatch.setattr(Connection, "_send_now", seen)
    asker = in_process(serves(b"ok")).asker()
    asker.ask()
    assert asker.answer()[1] == b"200"
    assert {kind for kind, _ in plain} == {ClientConnection, UpstreamConnection}
    assert all(set_ for _, set_ in plain)


# --- the end of the process ---


@pytest.fixture
def soon(monkeypatch):
    """Clients come for a shorter while after SIGTERM."""
    monkeypatch.setattr(lifecycle, "ARRIVALS_AFTER_STOP", 0.1)
    monkeypatch.setattr(lifecycle, "MAX_ARRIVAL_GAP", 0.05)


def past_coming(world):
    until(lambda: world.owner.lifecycle.phase is Phase.DRAINING)
    until(lambda: world.owner.time > world.owner.lifecycle.shutdown_started + 3000)


def test_what_was_not_read_when_clients_come_no_more_is_read_and_answered(in_process, monkeypatch, soon):
    """A whole req in the kernel's buffer, which its reading thread has not come to."""
    world, takes = in_process(serves(b"ok")), Downstream.handle_message
    go, in_it = threading.Event(), threading.Event()

    def held(self, client, items):
        if items[0] == b"ALIVE":
            in_it.set()
            assert go.wait(5)
        takes(self, client, items)

    monkeypatch.setattr(Downstream, "handle_message", held)
    asker = world.asker()
    asker.send(b"ALIVE", b"99", b"")
    assert in_it.wait(5)
    tag = asker.ask()
    until(lambda: unread(next(iter(world.owner.front.clients))))
    world.owner.post(world.owner.stop)
    past_coming(world)
    assert world.thread.is_alive() and world.owner.lifecycle.phase is Phase.DRAINING
    go.set()
    assert asker.answer() == [b"99", b"not_serving"] and asker.answer() == [tag, b"200", b"", b"ok"]
    assert asker.answer() is None
    asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive() and not any(world.owner.open_resources().values())


def test_who_waits_at_the_door_when_the_process_is_told_to_end_is_let_in(in_process, monkeypatch, soon):
    """A connection in the accept queue, with its req behind it."""
    world, take = in_process(serves(b"ok")), Downstream._accept_client
    go, in_it = threading.Event(), threading.Event()

    def held(self, sock):
        in_it.set()
        assert go.wait(5)
        take(self, sock)

    monkeypatch.setattr(Downstream, "_accept_client", held)
    world.asker().sock.close()  # the accepting thread waits with the function that it had before
    first = world.asker()
    assert in_it.wait(5)
    second = world.asker()
    tags = first.ask(), second.ask(key=2)
    world.owner.post(world.owner.stop)
    past_coming(world)
    assert world.thread.is_alive()
    go.set()
    assert first.answer()[:2] == [tags[0], b"200"] and second.answer()[:2] == [tags[1], b"200"]
    assert first.answer() is None and second.answer() is None
    for asker in (first, second):
        asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive()


def test_who_rests_is_told_the_end_and_what_it_sends_after_is_not_sent_on(in_process, soon):
    world = in_process(serves(b"ok"))
    resting, other = world.asker(), world.asker()
    tag = resting.ask()
    assert resting.answer()[:2] == [tag, b"200"]
    world.caches[0].next()
    world.owner.post(world.owner.stop)
    assert resting.answer() is None and other.answer() is None  # in order, no reset
    resting.ask(key=3)
    other.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive() and world.owner.time - world.owner.lifecycle.listener_closed_at < 5000
    assert not waits_for(world.caches[0], 0.1)
    with pytest.raises(ConnectionRefusedError):
        world.asker()


def test_half_a_message_at_the_signal_is_read_to_its_end(in_process, soon):
    world = in_process(serves(b"ok"))
    asker = world.asker()
    told = encode(b"EXEC", b"1", b"clip", ASKED % (7, 7), b"")
    asker.sock.sendall(told[:30])
    until(lambda: any(client.buffer.has_partial() for client in world.owner.front.clients))
    world.owner.post(world.owner.stop)
    until(lambda: world.owner.lifecycle.phase is Phase.DRAINING)
    asker.sock.sendall(told[30:])
    assert asker.answer() == [b"1", b"200", b"", b"ok"]
    asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive()


def test_reqs_in_every_state_at_the_signal_have_one_answer_each(in_process, late, soon):
    """Read but not taken by the owner, waiting for a connection, out, and being written back."""
    gate = threading.Event()

    def says(stand, sock, items):
        if items[0] == b"do":
            key = items[2].split(b"thing=")[1][:16]
            if key == b"%016x" % 1:
                assert gate.wait(5)
            sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", CLIP))

    world = in_process(says)
    late.set()
    writes = Asker(world.port)
    writes.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    out, waits, read = (world.asker() for _ in range(3))
    tags = {writes: writes.ask(key=2)}
    until(lambda: any(client.settled for client in world.owner.front.clients))
    tags[out] = out.ask(key=1, allow=3000)
    until(lambda: world.held()["out"] == 1)
    late.clear()  # from here on no connection comes up
    tags[waits] = waits.ask(key=3, allow=3000)
    until(lambda: world.held()["calls"] == 2)
    go = world.stall()
    world.owner.post(world.owner.stop)
    tags[read] = read.ask(key=4, allow=3000)
    until(lambda: world.owner.front.counts["reqs"] == 4)
    go.set()
    until(lambda: world.owner.lifecycle.phase is Phase.DRAINING)
    gate.set()
    late.set()
    for asker, tag in tags.items():
        assert asker.answer()[:2] == [tag, b"200"]
        assert asker.answer() is None, "and nothing after"
        asker.sock.close()
    world.thread.join(5)
    held = world.owner.open_resources()
    del held["parting"]  # the slow reader may need longer than the farewell for what the kernel has of it
    assert not world.thread.is_alive() and not any(held.values())


def test_a_client_that_sends_on_after_the_signal_sees_its_connection_closed_in_order(in_process, soon):
    """Requests were lost whose client used its open connection until the process had ended."""
    world = in_process(serves(b"ok"))
    asker, answered = world.asker(), []
    asker.sock.settimeout(5)
    world.owner.post(world.owner.stop)
    begun = time.monotonic()
    while time.monotonic() < begun + 5:
        tag = asker.ask(key=len(answered))
        if (answer := asker.answer()) is None:
            break
        answered.append(answer[1])
        assert answer[0] == tag
        time.sleep(0.03)
    assert answer is None and time.monotonic() - begun < 3
    assert world.owner.front.counts["reqs"] == len(answered), "all that was taken is answered"
    assert set(answered) == {b"200"} and len(answered) > 5
    asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive() and not any(world.owner.open_resources().values())


def test_what_is_never_idle_is_closed_as_the_process_ends(in_process, soon, monkeypatch):
    """A half-sent request is read to no end; its client must not wait at a process that answers no more."""
    monkeypatch.setattr(lifecycle, "EARLIEST_KILL", 1.0)
    world = in_process(serves(b"ok"))
    asker = world.asker()
    asker.sock.settimeout(5)
    monkeypatch.setattr(ClientConnection, "close_if_idle", lambda *_: False)
    world.owner.post(world.owner.stop)
    world.thread.join(5)
    assert not world.thread.is_alive() and asker.answer() is None
    asker.sock.close()


def test_signals_before_after_and_again_change_no_end(world):
    def slowly(stand, sock, items):
        held.append((sock, items))

    held = []
    world = world(slowly)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    world.caches[0].next()
    begun = time.monotonic()
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
        os.kill(world.process.pid, number)
    late = world.asker()
    late.send(b"ALIVE", b"1", b"")
    while late.answer() == [b"1", b"serving"]:  # until the signal has come through
        late.send(b"ALIVE", b"1", b"")
    os.kill(world.process.pid, signal.SIGTERM)
    serves(b"ok")(None, *held[0])
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert asker.answer() is None and late.answer() is None
    asker.sock.close()
    late.sock.close()
    code, told = world.stop()
    assert code == 0 and "held: \n" in told and time.monotonic() - begun < 3


def test_what_nobody_answers_is_given_up_before_the_process_may_be_killed(world):
    world = world(silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    world.caches[0].next()
    begun = time.monotonic()
    os.kill(world.process.pid, signal.SIGTERM)
    assert asker.answer()[:2] == [tag, b"503"] and asker.answer() is None
    asker.sock.close()
    code, told = world.stop()
    assert code == 0 and time.monotonic() - begun < 3.7 and "held: \n" in told


# --- caches' ends ---


def test_what_waits_behind_something_withdrawn_has_not_gone_out():
    """Places in the stream were compared with a count of bytes that had what was withdrawn in it: a req that
    never went out passed for one that may have run, and was not sent again where it safely may be."""
    events, server = queue.SimpleQueue(), socket.create_server(("127.0.0.1", 0))
    ends, config = {}, from_protocol(ENV)
    callbacks = UpstreamCallbacks(
        lambda *event: events.put(event),
        lambda: 0,
        lambda sent, end, *_: ends.update({sent.name: end}),
        lambda sent, end, sure: ends.update({sent.name: end}),
    )
    back = Upstream(callbacks, config, 2)
    backend = Backend("s-1", status=1)
    back.add_backend(backend, server.getsockname())
    out = [
        Attempt(None, backend, 0, b"%d" % number, encode(b"do", b"x" * 240_000), 0) for number in range(60)
    ]
    assert not any(back.dispatch(sent) for sent in out)
    peers = [server.accept()[0] for _ in range(2)]
    line = out[0].connection
    mine = [sent for sent in out if sent.connection is line]
    until(lambda: line.writing)
    waiting = [sent for sent in mine if not line.has_sent(sent.position)]
    assert len(waiting) > 4
    for sent in waiting[3:]:
        assert back.withdraw(sent)
    assert line.unsent_bytes() > 0
    for peer in peers:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
    for _ in peers:
        what, *told = events.get(timeout=5)
        what(*told)
    assert {ends[sent.name] for sent in waiting[:3]} == {CloseReason.UNWRITTEN}
    assert ends[mine[0].name] is CloseReason.RESET
    server.close()


@pytest.mark.parametrize("first", ["left", "answered"])
def test_an_answer_in_the_instant_of_the_clients_leaving_ends_once(in_process, first):
    world = in_process(silent)
    asker = world.asker()
    asker.ask(key=1)
    _, sock, items = world.caches[0].next()
    go = world.stall()
    counts = world.owner.front.counts

    def leaves():
        asker.send(b"FORGET", b"1")
        until(lambda: counts["forgotten"] == 1)

    def answers():
        many = world.owner.queue.qsize()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
        until(lambda: world.owner.queue.qsize() > many)

    for step in (leaves, answers) if first == "left" else (answers, leaves):
        step()
    go.set()
    world.rests()
    tag = asker.ask(key=2)
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert asker.answer() == [tag, b"200", b"", b"bytes"], "and nothing of the first one before it"
    world.rests()


def test_an_answer_in_the_instant_of_its_time_out_ends_the_req_once(in_process):
    """It was read before the owner came to the time-out, so it counts, and its undo is not sent."""
    world = in_process(silent)
    asker = world.asker()
    tag = asker.ask(key=1, allow=300)
    _, sock, items = world.caches[0].next()
    go = world.stall()
    sent = time.monotonic()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    until(lambda: time.monotonic() > sent + 0.35)  # its time is up while the owner is held
    go.set()
    assert asker.answer() == [tag, b"200", b"", b"bytes"]
    world.rests()
    assert not waits_for_undo(world.caches[0])


def waits_for_undo(cache):
    try:
        return cache.next(b"undo", 0.05)
    except queue.Empty:
        return None


def test_a_cache_that_ends_a_resting_connection_as_a_req_is_written_to_it(in_process):
    """It may have run: it is asked again on a new connection, and answered once."""

    def says(stand, sock, items):
        if items[0] == b"do":
            turns.append(sock)
            if len(turns) == 2:  # read whole, and closed under it
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            else:
                sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))

    turns = []
    world = in_process(says)
    asker = world.asker()
    for key in (1, 2):
        tag = asker.ask(key=key)
        assert asker.answer() == [tag, b"200", b"", b"bytes"]
    assert turns[0] is turns[1] and len(turns) == 3 and turns[2] is not turns[1]
    world.rests()


# --- the change log ---


def test_a_watch_that_drips_is_as_silent_as_one_that_says_nothing(monkeypatch):
    """Half a frame whose bytes trickle in is no beat: it is followed anew, from the last event held."""
    monkeypatch.setattr(discovery_watch, "MAX_SILENCE", 0.3)
    server, over = socket.create_server(("127.0.0.1", 0)), threading.Event()
    told = queue.SimpleQueue()
    feed = DiscoveryWatch(server.getsockname(), 4, lambda event, number: told.put(number), "n7")
    feed.start()
    sock, _ = server.accept()
    assert sock.recv(8, socket.MSG_WAITALL) == struct.pack(">Q", 4)
    sock.sendall(framed(5, 3, struct.pack(">QQ", 1, 2)))
    assert told.get(timeout=5) == 5

    def drips():
        for byte in framed(6, 3, struct.pack(">QQ", 1, 2))[:-1] * 20:
            if over.wait(0.05):
                return
            try:
                sock.sendall(bytes([byte]))
            except OSError:
                return

    threading.Thread(target=drips, daemon=True).start()
    server.settimeout(3)
    again, _ = server.accept()
    assert again.recv(8, socket.MSG_WAITALL) == struct.pack(">Q", 5)
    over.set()
    again.sendall(framed(6, 3, struct.pack(">QQ", 1, 2)))
    assert told.get(timeout=5) == 6 and told.empty()
    for one in (sock, again, server):
        one.close()


def test_gateways_that_all_see_silence_do_not_all_come_back_at_once():
    spans = {
        DiscoveryWatch(("127.0.0.1", 1), 0, lambda *_: None, f"n{number}")._jitter() for number in range(200)
    }
    assert len(spans) == 200 and min(spans) < 0.05 and max(spans) > 0.95
    drawn = [
        DiscoveryWatch(("127.0.0.1", 1), 0, lambda *_: None, f"n{number}")._jitter() for number in range(10)
    ]
    assert max(drawn) - min(drawn) > 0.5, "also of ten whose names differ in one figure: it had been 0.04"


# --- caches' ends, and the list ---


def test_an_answer_in_the_instant_of_its_caches_drain_is_passed_on_and_its_connection_given_back(in_process):
    """Both lie in the owner's queue: the drain first. What is out there ends there; nothing new goes."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(key=1)
    place = next(number for number, cache in enumerate(world.caches, 1) if waits_for(cache))
    sent = waiting(world)
    line, many, go = sent.connection, world.owner.queue.qsize(), world.stall()
    world.log.add(2, 2, record(place, world.caches[place - 1].port, state=2))
    until(lambda: world.owner.feed.last == 2)
    sock = world.caches[place - 1].socks[0]
    sock.sendall(encode(sent.name, b"data", b"remark=TCP_HIT", b"bytes"))
    until(lambda: world.owner.queue.qsize() >= many + 2)
    go.set()
    assert asker.answer() == [tag, b"200", b"", b"bytes"]
    until(lambda: line.state is ConnectionState.CLOSED)
    other = asker.ask(key=1)
    _, sock, items = world.caches[2 - place].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"more"))
    assert asker.answer() == [other, b"200", b"", b"more"]
    world.rests()


@pytest.mark.parametrize("whole", [True, False])
def test_an_answer_in_the_instant_of_its_connections_end(in_process, whole):
    """The answer and the end are read before the owner comes to either: a whole one counts, half a one does
    not pass for one, and its req goes out again on another connection."""
    world = in_process(silent)
    asker = world.asker()
    tag = asker.ask(key=1)
    _, sock, items = world.caches[0].next()
    line, go = waiting(world).connection, world.stall()
    told = encode(items[1], b"data", b"remark=TCP_HIT", b"bytes")
    sock.sendall(told if whole else told[:-4])
    sock.shutdown(socket.SHUT_RDWR)
    until(lambda: line.state is ConnectionState.CLOSED)
    go.set()
    if not whole:
        _, sock, items = world.caches[0].next()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert asker.answer() == [tag, b"200", b"", b"bytes"]
    world.rests()
    assert sum(waits_for(world.caches[0], 0.05) is not None for _ in range(2)) == 0, "and no more than that"


def test_an_answer_that_drips_in_is_given_up_in_time_and_its_connection_takes_nothing_more(in_process):
    """It never stands still, and would hardly end: its time ends it, and what drips on is no answer."""
    over = threading.Event()

    def drips(stand, sock, items):
        if items[0] != b"do":
            return silent(stand, sock, items)
        told = encode(items[1], b"data", b"remark=TCP_HIT", CLIP)

        def on():
            for byte in told:
                if over.wait(0.01):
                    return
                try:
                    sock.sendall(bytes([byte]))
                except OSError:
                    return

        threading.Thread(target=on, daemon=True).start()
        return None

    world = in_process(drips)
    asker = world.asker()
    begun = time.monotonic()
    tag = asker.ask(key=1, allow=600)
    world.caches[0].next()
    first = waiting(world).connection
    assert asker.answer()[:2] == [tag, b"503"] and time.monotonic() - begun < 0.65
    until(lambda: first.state is ConnectionState.CLOSED)
    over.set()
    world.rests()
    asker.send(b"ALIVE", b"9", b"")
    assert asker.answer() == [b"9", b"serving"], "and nothing before it"


@pytest.mark.parametrize("vhost, again", [(b"clip", True), (b"pay", True), (b"once", False)])
@pytest.mark.parametrize("when", ["accepted", "begun", "read", "long after"])
def test_a_reset_before_while_and_after_a_req_is_written(in_process, vhost, again, when):
    """What may have run goes out again only where that does no harm, and what surely did not always may. One
    that was taken in and reset is answered once, whatever became of it."""

    def takes(stand, sock, items):
        if items[0] != b"do":
            return silent(stand, sock, items)
        turns.append(sock)
        if len(turns) > 1 or when not in ("read", "long after"):
            return serves(b"ok")(stand, sock, items)
        if when == "long after":
            held.append(sock)
            return None
        return broken(sock)

    def broken(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()

    def changes(settings):
        one = {**settings["classes"][1], "name": "once", "repeat": "once"}
        settings["classes"].append(one)
        for name, value in (("freshForNs", 0), ("staleForNs", 0), ("passOn", True)):
            settings["familyInfo"][name].append(value)

    turns, held = [], []
    world = in_process(takes, changes=changes)
    if when in ("accepted", "begun"):  # the first connection is broken under what is written to it
        server, stand = socket.create_server(("127.0.0.1", 0)), world.caches[0]
        world.log.add(2, 2, record(1, server.getsockname()[1]))
        until(lambda: world.owner.feed.last == 2)
        world.rests()
    asker = world.asker()
    tag = asker.ask(vhost, body=b"x" * 48_000, allow=3000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    if when in ("accepted", "begun"):
        server.settimeout(5)
        sock = server.accept()[0]
        if when == "begun":
            assert sock.recv(100)
        world.log.add(3, 2, record(1, stand.port, started=0))
        until(lambda: world.owner.feed.last == 3)
        world.does(lambda: None)
        broken(sock)
        server.close()
    if when == "long after":
        until(lambda: held)
        world.rests(but=("clients", "checks", "calls", "names", "out", "reqs", "limits"))
        broken(held[0])
    told = asker.answer()
    assert told[0] == tag and told[1] == (b"200" if again else b"500")
    if when in ("accepted", "begun"):
        assert len(turns) == again, "the first attempt never came to a cache that reads"
    else:
        assert len(turns) == 1 + again
    world.rests()


def test_the_change_log_down_from_the_start_and_back_with_a_drain_and_a_purge_at_once(tmp_path):
    """Served from the configuration's list until then; an event held already that comes again, and an older
    list, change nothing."""
    world = Unheard(tmp_path, (serves(b"ok"), serves(b"ok")))
    try:
        asker = world.asker()
        tag = asker.ask(key=1)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        place = next(number for number, cache in enumerate(world.caches, 1) if waits_for(cache, 0.2))
        at = time.time_ns() // 10**6
        frames = [
            (1, 1, b""),
            (2, 2, record(place, world.caches[place - 1].port, state=1)),
            (3, 3, struct.pack(">QQ", 1, at)),
            (3, 3, struct.pack(">QQ", 1, at)),
            (2, 1, b""),
        ]
        world.log = Replays(frames, world.log.port)
        assert world.log.since.get(timeout=5) == 1
        until(lambda: world.owner.feed.last == 3)
        tag = asker.ask(key=1)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        told = world.caches[2 - place].next()[2][2]
        assert int(told.split(b"agelim=")[1].split(b",")[0]) <= time.time_ns() // 10**6 - at
        assert not waits_for(world.caches[place - 1], 0.05) and world.owner.feed.events == 2
        assert len(world.does(lambda: world.owner.router.pools.caches)) == 1
        world.rests()
    finally:
        world.close()


class Unheard(InProcessWorld):
    """Its change log is down at the start."""

    def start(self):
        self.log.close()
        self.owner = Gateway({**self.config, "listen": "127.0.0.1:0"})
        self.port = self.owner.front.sock.getsockname()[1]
        self.thread = threading.Thread(target=self.owner.run, daemon=True)
        self.thread.start()
        until(lambda: self.owner.lifecycle.phase is Phase.SERVING and self.does(lambda: True))


class Replays(Log):
    """A change log that tells all its frames, whatever was held."""

    def __init__(self, frames, port):
        self.given = frames
        super().__init__(port=port)

    def _serve(self, sock):
        self.since.put(struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0])
        for one in self.given:
            sock.sendall(framed(*one))


# --- floods and limits ---


def test_room_is_made_by_closing_who_rests_in_order_and_nobody_who_is_owed_anything(in_process):
    """At the limit of clients: one is out, one is just taken, one was answered and rests."""
    world = in_process(silent)
    asker, crossing, answered = (world.asker() for _ in range(3))
    tag = answered.ask(key=1)
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", CLIP))
    until(lambda: any(client.settled for client in list(world.owner.front.clients)))
    out = asker.ask(key=2)
    _, sock, items = world.caches[0].next()
    until(lambda: len(world.owner.front.clients) == 3)
    held = {client.sock.getpeername(): client for client in list(world.owner.front.clients)}
    reader = held[crossing.sock.getsockname()]
    go = world.stall()
    lies = crossing.ask(key=3)
    until(lambda: reader.open)  # taken, and the owner has not come to it
    world.owner.front.max_clients = 3
    newcomer = world.asker()
    assert answered.answer() == [tag, b"200", b"", CLIP] and answered.answer() is None, "whole, then the end"
    go.set()
    late = newcomer.ask(key=4)
    answers = {}
    for _ in range(2):
        _, other, more = world.caches[0].next()
        other.sendall(encode(more[1], b"data", b"remark=TCP_HIT", b"bytes"))
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    for one, name in ((asker, out), (crossing, lies), (newcomer, late)):
        answers[name] = one.answer()
        assert answers[name][:2] == [name, b"200"]
    world.rests()


def test_no_thread_and_no_descriptor_for_one_connection_ends_that_one_alone(in_process, monkeypatch):
    """A client is closed unserved, a cache's connection is not made; both pass, and nothing stays held."""
    world, start, refused = in_process(serves(b"ok")), Connection.start, []

    def starts(self):
        if not refused:
            refused.append(type(self))
            raise RuntimeError("can't start new thread")
        start(self)

    monkeypatch.setattr(Connection, "start", starts)
    first = world.asker()
    assert first.answer() is None and refused == [ClientConnection]
    refused.clear()
    refused_line = []

    def no_line(self):
        if type(self) is UpstreamConnection and not refused_line:
            refused_line.append(self)
            raise RuntimeError("can't start new thread")
        start(self)

    monkeypatch.setattr(Connection, "start", no_line)
    other = world.asker()
    tag = other.ask()
    told = other.answer()
    assert told == [tag, b"200", b"", b"ok"] and refused_line, "no cache is to blame: it is asked again"
    tag = other.ask(key=2)
    assert other.answer() == [tag, b"200", b"", b"ok"]
    world.rests()


@pytest.mark.parametrize("leaves", [closes, resets])
def test_who_floods_and_leaves_at_once_leaves_nothing_behind_and_others_are_served(in_process, leaves):
    world = in_process(serves(b"ok"))
    other = world.asker()
    for _ in range(8):
        flood = world.asker()
        for number in range(64):  # twice what a connection may carry, and none is read
            flood.ask(key=number)
        leaves(flood)
    told = []
    while told[1:2] != [b"200"]:  # refused while they are many, and never lost; served soon
        tag = other.ask(key=99)
        told = other.answer()
        assert told[0] == tag and told[1] in (b"200", b"503") and int(tag) < 500
    world.rests(but=("checks", "clients"))
    until(lambda: len(world.owner.front.clients) == 1)


# --- a start with many at the door ---


@pytest.mark.parametrize("rows", [0, 3000])
def test_a_start_with_many_at_the_door_and_no_change_log_is_ready_in_time(tmp_path, rows):
    """An empty and a full `known`: a minute's worth of caches, and as many clients as it may have."""
    world = World(tmp_path, (serves(b"ok"),))
    try:
        world.stop()
        world.log.break_off()
        world.log.close()
        events = world.config["known"]["results"]
        rows = [
            {
                "uid": f"s-{number:08x}",
                "endpoint": f"127.0.0.1:{world.caches[0].port}",
                "model": "small",
                "state": "active",
                "az": "here",
                "pod_group": 0,
                "capacity_hint": 5,
                "boot_ms": 0,
            }
            for number in range(100, 100 + rows)
        ]
        events.append({"seq": 2, "fleet": {"rev": 2, "all": False, "targets": rows}})
        world.config["known"]["seq"] = 2
        begun = time.monotonic()
        comers, told = [], queue.SimpleQueue()
        for _ in range(100):
            comers.append(threading.Thread(target=comes, args=(world.port, told), daemon=True))
            comers[-1].start()
        world.log.since.put(1)  # nobody will ask
        world.start()
        answers = [told.get(timeout=10) for _ in comers]
        assert time.monotonic() - begun < 10
        assert {answer[1] for answer in answers} <= {b"200", b"503"}
        assert sum(answer[1] == b"200" for answer in answers) > 0
    finally:
        world.close()


def comes(port, told):
    """A client that waits at the door until it is let in, and asks."""
    while True:
        try:
            asker = Asker(port)
        except OSError:
            time.sleep(0.01)
            continue
        asker.ask(key=1)
        told.put(asker.answer())
        return


def test_whom_we_told_our_end_count_among_the_clients_that_descriptors_are_there_for(in_process, monkeypatch):
    """They keep theirs until they close as well, and may not: the longest ago are cut off for who comes."""
    monkeypatch.setattr(downstream, "DRAIN_TIME", 60.0)
    monkeypatch.setattr(connections, "DRAIN_TIME", 60.0)
    world = in_process(serves(b"ok"))
    front = world.owner.front
    front.max_clients = 4
    held = []
    for number in range(12):
        asker = world.asker()
        tag = asker.ask(key=number)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        held.append(asker)  # it rests, and does not close when it is told our end
        assert len(front.clients) + len(front.draining) <= 4 + 1
    assert all(asker.answer() is None for asker in held[:8])
    asker = held[-1]
    tag = asker.ask(key=99)
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    for asker in held:
        asker.sock.close()
    world.rests(but=("checks",))


# --- what processes hold, and several of them ---


def counted(pid):
    """Threads and descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/task")), len(os.listdir(f"/proc/{pid}/fd"))


def test_threads_and_descriptors_are_given_back_however_clients_and_caches_end(world):
    """Of a real process: as many as before, once all connections have ended in every way at once."""
    world = world(silent, serves(CLIP))
    pid, turn = world.process.pid, [forgets, closes, halves, resets]
    before = counted(pid)
    askers = [world.asker() for _ in range(48)]
    for number, asker in enumerate(askers):
        asker.ask(key=number, allow=3000)
        if number % 8 == 7:
            asker.sock.sendall(b"*3\r\n$4\r\nEX")  # half a message behind it
    until(lambda: waits_for(world.caches[0], 0.1))
    for number, asker in enumerate(askers):
        turn[number % 4](asker)
    for asker in askers:
        asker.sock.close()

    def all_back():
        for cache in world.caches:  # also what was made for second attempts, and would rest for long
            cache.break_off()
        return counted(pid) == before

    until(all_back, 5, lambda: (counted(pid), before))
    code, told = world.stop()
    assert code == 0 and "held: \n" in told and "faults=" not in told


def test_processes_that_all_see_the_change_log_fall_silent_ask_again_one_after_the_other(world, tmp_path):
    """Six gateways, one change log: silent for all from one moment on, its connections open."""
    first = world()
    others = []
    for number in range(1, 6):
        path = tmp_path / f"{number}.json"
        path.write_text(json.dumps({**first.config, "name": f"n{number}", "listen": f"127.0.0.1:{unused()}"}))
        words = [sys.executable, "-m", "lilacloft", "serve", "--config", str(path)]
        others.append(subprocess.Popen(words, stderr=subprocess.DEVNULL))
    try:
        for _ in others:
            first.log.since.get(timeout=10)
        first.log.add(0, 0, b"")  # a beat to all, and no more
        came = []
        for _ in range(6):
            first.log.since.get(timeout=5)
            came.append(time.monotonic())
        assert came[-1] - came[0] > 0.05, "by their names, over a tenth of the silence"
        assert max(later - one for one, later in itertools.pairwise(came)) < 0.25
    finally:
        for one in others:
            one.kill()
            one.wait()
