"""Ends of connections, requests and processes that race with work in progress, on real sockets. Each race is
forced by blocked peers, hooks and events.

Most tests use a Gateway in this process, so that its threads can be blocked at a given point; those about
signals start the program."""

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
from rigs.inprocess import (
    InProcessWorld,
    cancel_all,
    closes,
    halves,
    limits,
    next_dispatch,
    resets,
    until,
)
from rigs.stands import ENV, Log, StandInClient, World, framed, record, serves, silent, unused

CLIP = b"x" * 200_000
ASKED = b"ref=%016x,allow=3000,lookup=%016x,nth=0,batch=7,room=400"


# --- dispatches that are outdated before they are sent ---


def waiting_attempt(world):
    """Return the attempt that waits for its connection to be established."""
    (client_request,) = world.run_on_owner(lambda: list(world.owner.open_requests.values()))
    return client_request.attempt


@pytest.mark.parametrize("draining", ["cache", "source"])
def test_a_dispatch_waiting_for_its_connection_is_not_sent_to_a_backend_that_drains(
    in_process, late, draining
):
    """A dispatch counts as sent with its first byte: the grace of a drain may be over once the connection is
    established."""
    world = in_process(serves(b"ok"), serves(b"ok"), changes=limits(connectTimeoutNs=10**10))
    asker = world.asker()
    tag = asker.ask(allow=3000)
    assert late.begun.acquire(timeout=5)
    attempt = waiting_attempt(world)
    if draining == "cache":
        number = int(attempt.backend.name[2:], 16)
        world.log.add(2, 2, record(number, world.caches[number - 1].port, state=1))
        until(lambda: world.run_on_owner(lambda: attempt.backend.status) == 2)
    else:
        assert b"next=s-00000003" in attempt.data
        world.log.add(2, 2, record(3, world.parent.port, state=1, kind=2))
        until(lambda: not world.run_on_owner(lambda: world.owner.router.pools.parents))
    late.set()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    if draining == "cache":
        assert not next_dispatch(world.caches[number - 1], 0.1)
    else:
        number = int(attempt.backend.name[2:], 16)
        assert b"next=s-00000003" not in world.caches[number - 1].next()[2][2]
    world.wait_until_idle()


@pytest.mark.parametrize("kind", [3, 4])
def test_what_waits_for_a_connection_when_a_purge_is_told_takes_no_copy_older(in_process, late, kind):
    """The oldest copy that will do is reckoned as a dispatch is made, and was stale when it went out."""
    world = in_process(serves(b"ok"), changes=limits(connectTimeoutNs=10**10))
    asker = world.asker()
    tag = asker.ask(key=5, allow=3000)
    assert late.begun.acquire(timeout=5)
    assert b"agelim=10000" in waiting_attempt(world).data
    at = time.time_ns() // 10**6
    world.log.add(2, kind, struct.pack(">QQ", 5, at) if kind == 3 else struct.pack(">HQ", 7, at))
    until(lambda: world.run_on_owner(lambda: world.owner.router.freshness.purges))
    late.set()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    told = world.caches[0].next()[2][2]
    assert int(told.split(b"agelim=")[1].split(b",")[0]) <= time.time_ns() // 10**6 - at
    world.wait_until_idle()


def test_a_second_attempt_does_not_wait_for_its_connection_past_the_idempotency_window(in_process, late):
    """The first attempt may have been executed; after the idempotency window a second one would repeat the
    effect."""

    def changes(settings):
        settings["limits"]["connectTimeoutNs"] = 10**10
        settings["classes"][1]["repeatWindowNs"] = 400 * 10**6

    world = in_process(silent, silent, changes=changes)
    late.set()
    asker = world.asker()
    started_at = time.monotonic()
    tag = asker.ask(b"pay", body=b"x", allow=3000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    first = next(cache for cache in world.caches if next_dispatch(cache, 0.2))
    late.clear()
    first.break_off()
    until(
        lambda: (attempt := waiting_attempt(world)) and attempt.seq == 1
    )  # there is no attempt between the two
    assert world.held()["out"]
    assert asker.answer()[:2] == [tag, b"503"]
    assert time.monotonic() - started_at < 0.6
    late.set()
    assert not any(next_dispatch(cache, 0.1) for cache in world.caches)
    world.wait_until_idle()


# --- closes by the gateway ---


def test_a_request_that_crosses_the_gateways_close_is_not_accepted(in_process, monkeypatch):
    """A request read after the close is not forwarded, and its name is free for the client's next try."""
    world, accept_request = in_process(silent), ClientConnection.accept_request

    def close_first(self, client_request):
        assert self.downstream._close_if_idle(self)
        return accept_request(self, client_request)

    asker = world.asker()
    asker.send(b"ALIVE", b"1", b"")
    assert asker.answer() == [b"1", b"serving"]
    monkeypatch.setattr(ClientConnection, "accept_request", close_first)
    asker.ask(ref="9b1f03aa5c7e2d41")
    assert asker.answer() is None
    monkeypatch.setattr(ClientConnection, "accept_request", accept_request)
    again = world.asker()
    again.ask(key=2, ref="9b1f03aa5c7e2d41")
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 2) > 0
    cancel_all(again)
    asker.sock.close()
    world.wait_until_idle()
    assert world.owner.answer_counts["denied"] == world.owner.answer_counts["aborted"] == 0


LONG_CONNECT_TIMEOUT = limits(connectTimeoutNs=5 * 10**9, keepaliveNs=10**9)


def test_a_long_connect_time_out_closes_no_new_client(in_process):
    """The connect time-out was also used as the maintenance interval. The limit for stalled clients, less two
    intervals, became negative, so that clients without a request were closed at once."""
    world = in_process(serves(b"ok"), changes=LONG_CONNECT_TIMEOUT)
    asker = world.asker()
    until(lambda: world.owner.downstream.counts["connections"])
    world.run_on_owner(world.owner.run_maintenance)
    tag = asker.ask()
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert world.owner.downstream.counts["closed_idle"] == 0


def test_a_long_connect_time_out_does_not_shorten_the_shutdown(in_process):
    """All requests were given up at once: the shutdown deadline was a connect time-out before the kill."""
    world = in_process(silent, changes=LONG_CONNECT_TIMEOUT)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    _, sock, items = world.caches[0].next()
    world.run_on_owner(world.owner.stop)
    assert (
        world.owner.lifecycle.shutdown_deadline - world.owner.lifecycle.shutdown_started
        > 3 * lifecycle.TICKS_PER_SECOND
    )
    until(
        lambda: world.run_on_owner(lambda: world.owner.time) > world.owner.lifecycle.shutdown_started + 2000
    )
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert asker.answer() == [tag, b"200", b"", b"bytes"]


def test_idle_connections_are_closed_before_the_cache_would_despite_a_long_connect_time_out(in_process):
    assert in_process(silent, changes=LONG_CONNECT_TIMEOUT).owner.upstream.idle_timeout <= 10_000 / 2


@pytest.mark.parametrize("how", [socket.SHUT_WR, socket.SHUT_RDWR])
def test_a_connection_with_unread_input_or_open_requests_is_not_closed_as_idle(in_process, monkeypatch, how):
    """A close with unread bytes sends a reset, and a request in the kernel's buffer would be lost."""
    world, handle_message, go, is_blocked = (
        in_process(serves(b"ok")),
        Downstream.handle_message,
        threading.Event(),
        threading.Event(),
    )

    def held(self, client, items):
        if items[0] == b"ALIVE":
            is_blocked.set()
            assert go.wait(5)
        handle_message(self, client, items)

    monkeypatch.setattr(Downstream, "handle_message", held)
    asker = world.asker()
    asker.send(b"ALIVE", b"99", b"")
    assert is_blocked.wait(5)
    client = next(iter(world.owner.downstream.clients))
    tag = asker.ask()
    until(lambda: unread(client))
    assert not world.owner.downstream._close_if_idle(client, how)
    go.set()
    assert asker.answer() == [b"99", b"serving"] and asker.answer() == [tag, b"200", b"", b"ok"]
    until(lambda: world.owner.downstream._close_if_idle(client, how))
    assert asker.answer() is None
    asker.sock.close()
    world.wait_until_idle(but=("checks",))


def test_who_stands_still_within_a_message_gets_its_answers_whole_before_its_end(in_process):
    """It reads slowly and has begun another message: it was closed over what had not gone out."""
    world = in_process(serves(b"x" * 240_000))
    asker = StandInClient(world.port)
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    tags = [asker.ask(key=number, allow=3000) for number in range(8)]
    until(lambda: world.owner.downstream.clients)
    client = next(iter(world.owner.downstream.clients))
    until(lambda: client.settled == 8)
    asker.sock.sendall(b"*5\r\n$4\r\nEX")
    until(lambda: client.buffer.has_partial())
    assert client.unsent_bytes() > 0
    client.message_started_at -= 60  # seconds ago
    world.run_on_owner(world.owner.run_maintenance)
    answers = [asker.answer() for _ in tags]
    assert {answer[0] for answer in answers} == set(tags)
    assert all(answer[1] == b"200" and len(answer[3]) == 240_000 for answer in answers)
    until(lambda: not client.unsent_bytes())
    world.run_on_owner(world.owner.run_maintenance)
    assert asker.answer() is None, "in order, once all has gone out"
    asker.sock.close()
    world.wait_until_idle(but=("checks",))


def unread(client):
    with client.lock:
        return client.unread()


def test_answers_arrive_completely_before_the_close_after_malformed_input(in_process):
    """The client keeps sending: a close with unread input would discard the answers."""
    world = in_process(silent)
    asker = world.asker()
    tags = {asker.ask(key=number, allow=3000) for number in range(8)}
    for _ in tags:
        world.caches[0].next()
    asker.sock.sendall(b"GET / HTTP/1.1\r\n" + b"y" * 100_000)
    got = list(iter(asker.answer, None))  # a reset would raise here
    assert {items[0] for items in got} == tags and {items[1] for items in got} == {b"503"}
    asker.sock.close()
    world.wait_until_idle(but=("checks",))


def test_a_client_that_does_not_close_after_our_half_close_is_closed(in_process):
    world = in_process(serves(b"ok"))
    asker = world.asker()
    asker.ask()
    assert asker.answer()[1] == b"200"
    client = next(iter(world.owner.downstream.clients))
    assert world.owner.downstream._close_if_idle(client) and asker.answer() is None
    until(lambda: client.state is ConnectionState.CLOSED)
    world.wait_until_idle(but=("checks",))
    asker.sock.close()


def test_small_writes_are_never_delayed(in_process, monkeypatch):
    """TCP_NODELAY is set before the first byte is sent, to clients and to caches."""
    no_delay_options, send_now = [], Connection._send_now

    def record_option(self, rest, place):
        no_delay_options.append((type(self), self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)))
        return send_now(self, rest, place)

    monkeypatch.setattr(Connection, "_send_now", record_option)
    asker = in_process(serves(b"ok")).asker()
    asker.ask()
    assert asker.answer()[1] == b"200"
    assert {kind for kind, _ in no_delay_options} == {ClientConnection, UpstreamConnection}
    assert all(set_ for _, set_ in no_delay_options)


# --- shutdown ---


@pytest.fixture
def short_arrivals(monkeypatch):
    """Shorten the time after SIGTERM in which clients may connect."""
    monkeypatch.setattr(lifecycle, "ARRIVALS_AFTER_STOP", 0.1)
    monkeypatch.setattr(lifecycle, "MAX_ARRIVAL_GAP", 0.05)


def wait_past_arrivals(world):
    until(lambda: world.owner.lifecycle.phase is Phase.DRAINING)
    until(lambda: world.owner.time > world.owner.lifecycle.shutdown_started + 3000)


def test_a_request_unread_at_the_end_of_arrivals_is_read_and_answered(
    in_process, monkeypatch, short_arrivals
):
    """A complete request in the kernel's buffer that its reading thread has not read."""
    world, handle_message = in_process(serves(b"ok")), Downstream.handle_message
    go, is_blocked = threading.Event(), threading.Event()

    def held(self, client, items):
        if items[0] == b"ALIVE":
            is_blocked.set()
            assert go.wait(5)
        handle_message(self, client, items)

    monkeypatch.setattr(Downstream, "handle_message", held)
    asker = world.asker()
    asker.send(b"ALIVE", b"99", b"")
    assert is_blocked.wait(5)
    tag = asker.ask()
    until(lambda: unread(next(iter(world.owner.downstream.clients))))
    world.owner.post(world.owner.stop)
    wait_past_arrivals(world)
    assert world.thread.is_alive() and world.owner.lifecycle.phase is Phase.DRAINING
    go.set()
    assert asker.answer() == [b"99", b"not_serving"] and asker.answer() == [tag, b"200", b"", b"ok"]
    assert asker.answer() is None
    asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive() and not any(world.owner.open_resources().values())


def test_clients_in_the_accept_queue_at_shutdown_are_accepted(in_process, monkeypatch, short_arrivals):
    """A connection in the accept queue, with a request sent on it."""
    world, accept_client = in_process(serves(b"ok")), Downstream._accept_client
    go, is_blocked = threading.Event(), threading.Event()

    def held(self, sock):
        is_blocked.set()
        assert go.wait(5)
        accept_client(self, sock)

    monkeypatch.setattr(Downstream, "_accept_client", held)
    world.asker().sock.close()  # the accepting thread is still waiting in the original function
    first = world.asker()
    assert is_blocked.wait(5)
    second = world.asker()
    tags = first.ask(), second.ask(key=2)
    world.owner.post(world.owner.stop)
    wait_past_arrivals(world)
    assert world.thread.is_alive()
    go.set()
    assert first.answer()[:2] == [tags[0], b"200"] and second.answer()[:2] == [tags[1], b"200"]
    assert first.answer() is None and second.answer() is None
    for asker in (first, second):
        asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive()


def test_idle_clients_are_closed_at_shutdown_and_later_requests_not_forwarded(in_process, short_arrivals):
    world = in_process(serves(b"ok"))
    idle, other = world.asker(), world.asker()
    tag = idle.ask()
    assert idle.answer()[:2] == [tag, b"200"]
    world.caches[0].next()
    world.owner.post(world.owner.stop)
    assert idle.answer() is None and other.answer() is None  # an orderly close, no reset
    idle.ask(key=3)
    other.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive() and world.owner.time - world.owner.lifecycle.listener_closed_at < 5000
    assert not next_dispatch(world.caches[0], 0.1)
    with pytest.raises(ConnectionRefusedError):
        world.asker()


def test_a_partial_message_at_shutdown_is_read_completely(in_process, short_arrivals):
    world = in_process(serves(b"ok"))
    asker = world.asker()
    message = encode(b"EXEC", b"1", b"clip", ASKED % (7, 7), b"")
    asker.sock.sendall(message[:30])
    until(lambda: any(client.buffer.has_partial() for client in world.owner.downstream.clients))
    world.owner.post(world.owner.stop)
    until(lambda: world.owner.lifecycle.phase is Phase.DRAINING)
    asker.sock.sendall(message[30:])
    assert asker.answer() == [b"1", b"200", b"", b"ok"]
    asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive()


def test_requests_in_every_state_at_shutdown_get_one_answer_each(in_process, late, short_arrivals):
    """Read but not handled by the event loop, waiting for a connection, in flight, and answer being
    written."""
    gate = threading.Event()

    def answer(stand, sock, items):
        if items[0] == b"do":
            key = items[2].split(b"thing=")[1][:16]
            if key == b"%016x" % 1:
                assert gate.wait(5)
            sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", CLIP))

    world = in_process(answer)
    late.set()
    slow_reader = StandInClient(world.port)
    slow_reader.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    in_flight, waiting, read = (world.asker() for _ in range(3))
    tags = {slow_reader: slow_reader.ask(key=2)}
    until(lambda: any(client.settled for client in world.owner.downstream.clients))
    tags[in_flight] = in_flight.ask(key=1, allow=3000)
    until(lambda: world.held()["out"] == 1)
    late.clear()  # from here on no connection is established
    tags[waiting] = waiting.ask(key=3, allow=3000)
    until(lambda: world.held()["calls"] == 2)
    go = world.stall()
    world.owner.post(world.owner.stop)
    tags[read] = read.ask(key=4, allow=3000)
    until(lambda: world.owner.downstream.counts["reqs"] == 4)
    go.set()
    until(lambda: world.owner.lifecycle.phase is Phase.DRAINING)
    gate.set()
    late.set()
    for asker, tag in tags.items():
        assert asker.answer()[:2] == [tag, b"200"]
        assert asker.answer() is None, "nothing after the answer"
        asker.sock.close()
    world.thread.join(5)
    resources = world.owner.open_resources()
    del resources["parting"]  # the slow reader may need longer for the kernel's data than the draining time
    assert not world.thread.is_alive() and not any(resources.values())


def test_a_client_that_keeps_sending_after_the_signal_is_closed_in_an_orderly_way(in_process, short_arrivals):
    """Requests were lost if their client used its connection until the process had ended."""
    world = in_process(serves(b"ok"))
    asker, answered = world.asker(), []
    asker.sock.settimeout(5)
    world.owner.post(world.owner.stop)
    started_at = time.monotonic()
    while time.monotonic() < started_at + 5:
        tag = asker.ask(key=len(answered))
        if (answer := asker.answer()) is None:
            break
        answered.append(answer[1])
        assert answer[0] == tag
        time.sleep(0.03)
    assert answer is None and time.monotonic() - started_at < 3
    assert world.owner.downstream.counts["reqs"] == len(answered), "all accepted requests are answered"
    assert set(answered) == {b"200"} and len(answered) > 5
    asker.sock.close()
    world.thread.join(3)
    assert not world.thread.is_alive() and not any(world.owner.open_resources().values())


def test_connections_that_are_never_idle_are_closed_as_the_process_ends(
    in_process, short_arrivals, monkeypatch
):
    """A partial request never becomes complete; its client must not wait for a process that no longer
    answers."""
    monkeypatch.setattr(lifecycle, "EARLIEST_KILL", 1.0)
    world = in_process(serves(b"ok"))
    asker = world.asker()
    asker.sock.settimeout(5)
    monkeypatch.setattr(ClientConnection, "close_if_idle", lambda *_: False)
    world.owner.post(world.owner.stop)
    world.thread.join(5)
    assert not world.thread.is_alive() and asker.answer() is None
    asker.sock.close()


def test_repeated_signals_do_not_disturb_the_shutdown(world):
    def hold_request(stand, sock, items):
        held.append((sock, items))

    held = []
    world = world(hold_request)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    world.caches[0].next()
    started_at = time.monotonic()
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
        os.kill(world.process.pid, number)
    late = world.asker()
    late.send(b"ALIVE", b"1", b"")
    while late.answer() == [b"1", b"serving"]:  # until the signal was handled
        late.send(b"ALIVE", b"1", b"")
    os.kill(world.process.pid, signal.SIGTERM)
    serves(b"ok")(None, *held[0])
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    assert asker.answer() is None and late.answer() is None
    asker.sock.close()
    late.sock.close()
    code, output = world.stop()
    assert code == 0 and "held: \n" in output and time.monotonic() - started_at < 3


def test_unanswered_requests_are_rejected_before_the_process_may_be_killed(world):
    world = world(silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    world.caches[0].next()
    started_at = time.monotonic()
    os.kill(world.process.pid, signal.SIGTERM)
    assert asker.answer()[:2] == [tag, b"503"] and asker.answer() is None
    asker.sock.close()
    code, output = world.stop()
    assert code == 0 and time.monotonic() - started_at < 3.7 and "held: \n" in output


# --- ends of caches' connections ---


def test_a_message_behind_a_withdrawn_one_counts_as_unsent():
    """Positions in the stream were compared with a byte count that included withdrawn messages: an unsent
    request counted as possibly executed, and was not retried although it safely could be."""
    events, server = queue.SimpleQueue(), socket.create_server(("127.0.0.1", 0))
    ends, config = {}, from_protocol(ENV)
    callbacks = UpstreamCallbacks(
        lambda *event: events.put(event),
        lambda: 0,
        lambda attempt, end, *_: ends.update({attempt.name: end}),
        lambda attempt, end, confirmed_at: ends.update({attempt.name: end}),
    )
    upstream = Upstream(callbacks, config, 2)
    backend = Backend("s-1", status=1)
    upstream.add_backend(backend, server.getsockname())
    attempts = [
        Attempt(None, backend, 0, b"%d" % number, encode(b"do", b"x" * 240_000), 0) for number in range(60)
    ]
    assert not any(upstream.dispatch(attempt) for attempt in attempts)
    peers = [server.accept()[0] for _ in range(2)]
    connection = attempts[0].connection
    on_connection = [attempt for attempt in attempts if attempt.connection is connection]
    until(lambda: connection.writing)
    unsent = [attempt for attempt in on_connection if not connection.has_sent(attempt.position)]
    assert len(unsent) > 4
    for attempt in unsent[3:]:
        assert upstream.withdraw(attempt)
    assert connection.unsent_bytes() > 0
    for peer in peers:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
    for _ in peers:
        callback, *arguments = events.get(timeout=5)
        callback(*arguments)
    assert {ends[attempt.name] for attempt in unsent[:3]} == {CloseReason.UNWRITTEN}
    assert ends[on_connection[0].name] is CloseReason.RESET
    server.close()


@pytest.mark.parametrize("first", ["left", "answered"])
def test_a_request_ends_once_if_its_answer_and_its_cancellation_coincide(in_process, first):
    world = in_process(silent)
    asker = world.asker()
    asker.ask(key=1)
    _, sock, items = world.caches[0].next()
    go = world.stall()
    counts = world.owner.downstream.counts

    def leave():
        asker.send(b"FORGET", b"1")
        until(lambda: counts["forgotten"] == 1)

    def answers():
        queued = world.owner.queue.qsize()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
        until(lambda: world.owner.queue.qsize() > queued)

    for step in (leave, answers) if first == "left" else (answers, leave):
        step()
    go.set()
    world.wait_until_idle()
    tag = asker.ask(key=2)
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert asker.answer() == [tag, b"200", b"", b"bytes"], "nothing of the first one before it"
    world.wait_until_idle()


def test_a_request_ends_once_if_its_answer_and_its_time_out_coincide(in_process):
    """The answer was read before the time-out was handled, so it counts, and no cancellation is sent."""
    world = in_process(silent)
    asker = world.asker()
    tag = asker.ask(key=1, allow=300)
    _, sock, items = world.caches[0].next()
    go = world.stall()
    sent = time.monotonic()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    until(lambda: time.monotonic() > sent + 0.35)  # its deadline passes while the event loop is blocked
    go.set()
    assert asker.answer() == [tag, b"200", b"", b"bytes"]
    world.wait_until_idle()
    assert not waits_for_undo(world.caches[0])


def waits_for_undo(cache):
    try:
        return cache.next(b"undo", 0.05)
    except queue.Empty:
        return None


def test_a_cache_that_closes_an_idle_connection_as_a_request_is_written(in_process):
    """The request may have been executed: it is retried on a new connection, and answered once."""

    def answer(stand, sock, items):
        if items[0] == b"do":
            turns.append(sock)
            if len(turns) == 2:  # reads the request completely, and closes the connection
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            else:
                sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))

    turns = []
    world = in_process(answer)
    asker = world.asker()
    for key in (1, 2):
        tag = asker.ask(key=key)
        assert asker.answer() == [tag, b"200", b"", b"bytes"]
    assert turns[0] is turns[1] and len(turns) == 3 and turns[2] is not turns[1]
    world.wait_until_idle()


# --- the change log ---


def test_a_change_log_that_sends_byte_by_byte_counts_as_silent(monkeypatch):
    """A partial frame that arrives byte by byte is no heartbeat: the watch reconnects after its last
    event."""
    monkeypatch.setattr(discovery_watch, "MAX_SILENCE", 0.3)
    server, done = socket.create_server(("127.0.0.1", 0)), threading.Event()
    numbers = queue.SimpleQueue()
    watch = DiscoveryWatch(server.getsockname(), 4, lambda event, number: numbers.put(number), "n7")
    watch.start()
    sock, _ = server.accept()
    assert sock.recv(8, socket.MSG_WAITALL) == struct.pack(">Q", 4)
    sock.sendall(framed(5, 3, struct.pack(">QQ", 1, 2)))
    assert numbers.get(timeout=5) == 5

    def send_slowly():
        for byte in framed(6, 3, struct.pack(">QQ", 1, 2))[:-1] * 20:
            if done.wait(0.05):
                return
            try:
                sock.sendall(bytes([byte]))
            except OSError:
                return

    threading.Thread(target=send_slowly, daemon=True).start()
    server.settimeout(3)
    again, _ = server.accept()
    assert again.recv(8, socket.MSG_WAITALL) == struct.pack(">Q", 5)
    done.set()
    again.sendall(framed(6, 3, struct.pack(">QQ", 1, 2)))
    assert numbers.get(timeout=5) == 6 and numbers.empty()
    for opened in (sock, again, server):
        opened.close()


def test_gateways_do_not_all_reconnect_at_once_after_a_silence():
    jitters = {
        DiscoveryWatch(("127.0.0.1", 1), 0, lambda *_: None, f"n{number}")._jitter() for number in range(200)
    }
    assert len(jitters) == 200 and min(jitters) < 0.05 and max(jitters) > 0.95
    few = [
        DiscoveryWatch(("127.0.0.1", 1), 0, lambda *_: None, f"n{number}")._jitter() for number in range(10)
    ]
    assert max(few) - min(few) > 0.5, "also for ten names that differ in one digit: the spread had been 0.04"


# --- ends of caches' connections, and the endpoint list ---


def test_an_answer_that_coincides_with_its_caches_drain_is_forwarded(in_process):
    """Both are in the event loop's queue, the drain first. Attempts in flight finish there; no new ones are
    sent."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(key=1)
    number = next(index for index, cache in enumerate(world.caches, 1) if next_dispatch(cache))
    attempt = waiting_attempt(world)
    connection, queued, go = attempt.connection, world.owner.queue.qsize(), world.stall()
    world.log.add(2, 2, record(number, world.caches[number - 1].port, state=2))
    until(lambda: world.owner.discovery_watch.last == 2)
    sock = world.caches[number - 1].socks[0]
    sock.sendall(encode(attempt.name, b"data", b"remark=TCP_HIT", b"bytes"))
    until(lambda: world.owner.queue.qsize() >= queued + 2)
    go.set()
    assert asker.answer() == [tag, b"200", b"", b"bytes"]
    until(lambda: connection.state is ConnectionState.CLOSED)
    other = asker.ask(key=1)
    _, sock, items = world.caches[2 - number].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"more"))
    assert asker.answer() == [other, b"200", b"", b"more"]
    world.wait_until_idle()


@pytest.mark.parametrize("whole", [True, False])
def test_an_answer_that_coincides_with_the_end_of_its_connection(in_process, whole):
    """The answer and the end are both read before the event loop handles either: a complete answer counts;
    after a partial one the request is retried on another connection."""
    world = in_process(silent)
    asker = world.asker()
    tag = asker.ask(key=1)
    _, sock, items = world.caches[0].next()
    connection, go = waiting_attempt(world).connection, world.stall()
    message = encode(items[1], b"data", b"remark=TCP_HIT", b"bytes")
    sock.sendall(message if whole else message[:-4])
    sock.shutdown(socket.SHUT_RDWR)
    until(lambda: connection.state is ConnectionState.CLOSED)
    go.set()
    if not whole:
        _, sock, items = world.caches[0].next()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert asker.answer() == [tag, b"200", b"", b"bytes"]
    world.wait_until_idle()
    assert sum(next_dispatch(world.caches[0], 0.05) is not None for _ in range(2)) == 0, (
        "no further dispatches"
    )


def test_an_answer_that_arrives_byte_by_byte_is_given_up_in_time(in_process):
    """The answer never stalls and would take too long: its deadline ends the request, and the rest is
    discarded."""
    done = threading.Event()

    def send_slowly(stand, sock, items):
        if items[0] != b"do":
            return silent(stand, sock, items)
        message = encode(items[1], b"data", b"remark=TCP_HIT", CLIP)

        def send_bytes():
            for byte in message:
                if done.wait(0.01):
                    return
                try:
                    sock.sendall(bytes([byte]))
                except OSError:
                    return

        threading.Thread(target=send_bytes, daemon=True).start()
        return None

    world = in_process(send_slowly)
    asker = world.asker()
    started_at = time.monotonic()
    tag = asker.ask(key=1, allow=600)
    world.caches[0].next()
    first = waiting_attempt(world).connection
    assert asker.answer()[:2] == [tag, b"503"] and time.monotonic() - started_at < 0.65
    until(lambda: first.state is ConnectionState.CLOSED)
    done.set()
    world.wait_until_idle()
    asker.send(b"ALIVE", b"9", b"")
    assert asker.answer() == [b"9", b"serving"], "nothing else before it"


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
        until(lambda: world.owner.discovery_watch.last == 2)
        world.wait_until_idle()
    asker = world.asker()
    tag = asker.ask(vhost, body=b"x" * 48_000, allow=3000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    if when in ("accepted", "begun"):
        server.settimeout(5)
        sock = server.accept()[0]
        if when == "begun":
            assert sock.recv(100)
        world.log.add(3, 2, record(1, stand.port, started=0))
        until(lambda: world.owner.discovery_watch.last == 3)
        world.run_on_owner(lambda: None)
        broken(sock)
        server.close()
    if when == "long after":
        until(lambda: held)
        world.wait_until_idle(
            but=("clients", "checks", "calls", "names", "request_bytes", "out", "reqs", "limits")
        )
        broken(held[0])
    told = asker.answer()
    assert told[0] == tag and told[1] == (b"200" if again else b"500")
    if when in ("accepted", "begun"):
        assert len(turns) == again, "the first attempt never came to a cache that reads"
    else:
        assert len(turns) == 1 + again
    world.wait_until_idle()


def test_a_change_log_down_at_startup_comes_back_with_a_drain_and_a_purge(tmp_path):
    """Requests are served from the configuration's list until then; repeated events and an older list are
    ignored."""
    world = UnavailableLog(tmp_path, (serves(b"ok"), serves(b"ok")))
    try:
        asker = world.asker()
        tag = asker.ask(key=1)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        number = next(index for index, cache in enumerate(world.caches, 1) if next_dispatch(cache, 0.2))
        purged_at = time.time_ns() // 10**6
        frames = [
            (1, 1, b""),
            (2, 2, record(number, world.caches[number - 1].port, state=1)),
            (3, 3, struct.pack(">QQ", 1, purged_at)),
            (3, 3, struct.pack(">QQ", 1, purged_at)),
            (2, 1, b""),
        ]
        world.log = ReplayingLog(frames, world.log.port)
        assert world.log.since.get(timeout=5) == 1
        until(lambda: world.owner.discovery_watch.last == 3)
        tag = asker.ask(key=1)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        fields = world.caches[2 - number].next()[2][2]
        assert int(fields.split(b"agelim=")[1].split(b",")[0]) <= time.time_ns() // 10**6 - purged_at
        assert not next_dispatch(world.caches[number - 1], 0.05) and world.owner.discovery_watch.events == 2
        assert len(world.run_on_owner(lambda: world.owner.router.pools.caches)) == 1
        world.wait_until_idle()
    finally:
        world.close()


class UnavailableLog(InProcessWorld):
    """A world whose change log is down at the start."""

    def start(self):
        self.log.close()
        self.owner = Gateway({**self.config, "listen": "127.0.0.1:0"})
        self.port = self.owner.downstream.sock.getsockname()[1]
        self.thread = threading.Thread(target=self.owner.run, daemon=True)
        self.thread.start()
        until(lambda: self.owner.lifecycle.phase is Phase.SERVING and self.run_on_owner(lambda: True))


class ReplayingLog(Log):
    """A change log that sends all its frames, whichever event it is asked for."""

    def __init__(self, frames, port):
        self.given = frames
        super().__init__(port=port)

    def _serve(self, sock):
        self.since.put(struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0])
        for frame in self.given:
            sock.sendall(framed(*frame))


# --- limits ---


def test_at_the_limit_of_clients_only_idle_ones_are_closed(in_process):
    """At the limit of clients: one has a request in flight, one a request just accepted, one is idle."""
    world = in_process(silent)
    asker, crossing, answered = (world.asker() for _ in range(3))
    tag = answered.ask(key=1)
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", CLIP))
    until(lambda: any(client.settled for client in list(world.owner.downstream.clients)))
    tag_in_flight = asker.ask(key=2)
    _, sock, items = world.caches[0].next()
    until(lambda: len(world.owner.downstream.clients) == 3)
    by_address = {client.sock.getpeername(): client for client in list(world.owner.downstream.clients)}
    reader = by_address[crossing.sock.getsockname()]
    go = world.stall()
    tag_accepted = crossing.ask(key=3)
    until(lambda: reader.open)  # accepted, and not handled by the event loop yet
    world.owner.downstream.max_clients = 3
    newcomer = world.asker()
    assert answered.answer() == [tag, b"200", b"", CLIP] and answered.answer() is None, (
        "a complete answer, then the close"
    )
    go.set()
    tag_new = newcomer.ask(key=4)
    answers = {}
    for _ in range(2):
        _, other, more = world.caches[0].next()
        other.sendall(encode(more[1], b"data", b"remark=TCP_HIT", b"bytes"))
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    for client_asker, expected_tag in ((asker, tag_in_flight), (crossing, tag_accepted), (newcomer, tag_new)):
        answers[expected_tag] = client_asker.answer()
        assert answers[expected_tag][:2] == [expected_tag, b"200"]
    world.wait_until_idle()


def test_a_connection_without_a_thread_ends_alone(in_process, monkeypatch):
    """A client is closed unserved, or a cache's connection not made; both are transient, and leave nothing
    behind."""
    world, start, refused = in_process(serves(b"ok")), Connection.start, []

    def fail_once(self):
        if not refused:
            refused.append(type(self))
            raise RuntimeError("can't start new thread")
        start(self)

    monkeypatch.setattr(Connection, "start", fail_once)
    first = world.asker()
    assert first.answer() is None and refused == [ClientConnection]
    refused.clear()
    refused_connection = []

    def fail_first_upstream(self):
        if type(self) is UpstreamConnection and not refused_connection:
            refused_connection.append(self)
            raise RuntimeError("can't start new thread")
        start(self)

    monkeypatch.setattr(Connection, "start", fail_first_upstream)
    other = world.asker()
    tag = other.ask()
    answer = other.answer()
    assert answer == [tag, b"200", b"", b"ok"] and refused_connection, (
        "not a failure of the cache: the request is retried"
    )
    tag = other.ask(key=2)
    assert other.answer() == [tag, b"200", b"", b"ok"]
    world.wait_until_idle()


@pytest.mark.parametrize("leave", [closes, resets])
def test_clients_that_send_many_requests_and_leave_do_not_affect_others(in_process, leave):
    world = in_process(serves(b"ok"))
    other = world.asker()
    for _ in range(8):
        leaver = world.asker()
        for number in range(64):  # twice the limit per connection, and no answer is read
            leaver.ask(key=number)
        leave(leaver)
    answer = []
    while answer[1:2] != [b"200"]:  # rejected while there are many, never lost, and served soon
        tag = other.ask(key=99)
        answer = other.answer()
        assert answer[0] == tag and answer[1] in (b"200", b"503") and int(tag) < 500
    world.wait_until_idle(but=("checks", "clients"))
    until(lambda: len(world.owner.downstream.clients) == 1)


# --- startup with many waiting clients ---


@pytest.mark.parametrize("rows", [0, 3000])
def test_a_start_with_many_waiting_clients_and_no_change_log_is_ready_in_time(tmp_path, rows):
    """With few and with many caches in `known`, and with as many clients as allowed."""
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
        started_at = time.monotonic()
        waiting_clients, reported = [], queue.SimpleQueue()
        for _ in range(100):
            waiting_clients.append(
                threading.Thread(target=connect_and_ask, args=(world.port, reported), daemon=True)
            )
            waiting_clients[-1].start()
        world.log.since.put(1)  # nobody will connect
        world.start()
        answers = [reported.get(timeout=10) for _ in waiting_clients]
        assert time.monotonic() - started_at < 10
        assert {answer[1] for answer in answers} <= {b"200", b"503"}
        assert sum(answer[1] == b"200" for answer in answers) > 0
    finally:
        world.close()


def connect_and_ask(port, answers):
    """Connect as soon as possible, send a request and report the answer."""
    while True:
        try:
            asker = StandInClient(port)
        except OSError:
            time.sleep(0.01)
            continue
        asker.ask(key=1)
        answers.put(asker.answer())
        return


def test_half_closed_clients_count_towards_the_limit_of_clients(in_process, monkeypatch):
    """Half-closed connections keep their descriptors until the client closes too, which it may not do: the
    oldest are closed completely for new clients."""
    monkeypatch.setattr(downstream, "DRAIN_TIME", 60.0)
    monkeypatch.setattr(connections, "DRAIN_TIME", 60.0)
    world = in_process(serves(b"ok"))
    client_side = world.owner.downstream
    client_side.max_clients = 4
    askers = []
    for number in range(12):
        asker = world.asker()
        tag = asker.ask(key=number)
        assert asker.answer() == [tag, b"200", b"", b"ok"]
        askers.append(asker)  # idle, and does not close when the gateway closes its half
        assert len(client_side.clients) + len(client_side.draining) <= 4 + 1
    assert all(asker.answer() is None for asker in askers[:8])
    asker = askers[-1]
    tag = asker.ask(key=99)
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    for asker in askers:
        asker.sock.close()
    world.wait_until_idle(but=("checks",))


# --- resources of processes, and several processes ---


def count_resources(pid):
    """Return the numbers of threads and descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/task")), len(os.listdir(f"/proc/{pid}/fd"))


def test_threads_and_descriptors_are_released_however_clients_and_caches_end(world):
    """A real process has as many as before once its connections have ended in every way at the same time."""
    world = world(silent, serves(CLIP))
    pid, ways = world.process.pid, [cancel_all, closes, halves, resets]
    before = count_resources(pid)
    askers = [world.asker() for _ in range(48)]
    for number, asker in enumerate(askers):
        asker.ask(key=number, allow=3000)
        if number % 8 == 7:
            asker.sock.sendall(b"*3\r\n$4\r\nEX")  # a partial message after it
    until(lambda: next_dispatch(world.caches[0], 0.1))
    for number, asker in enumerate(askers):
        ways[number % 4](asker)
    for asker in askers:
        asker.sock.close()

    def all_released():
        for cache in world.caches:  # also those made for second attempts, which would stay idle
            cache.break_off()
        return count_resources(pid) == before

    until(all_released, 5, lambda: (count_resources(pid), before))
    code, output = world.stop()
    assert code == 0 and "held: \n" in output and "faults=" not in output


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
