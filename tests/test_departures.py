"""Clients that leave while one of their requests waits, on real sockets; each race is forced."""

import queue
import socket
import threading
import time

import pytest

from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.connection_state import ConnectionState
from lilacloft.net.resp import MAX_PART_SIZE, encode
from lilacloft.routing import retries
from lilacloft.routing.units import TICKS_PER_SECOND
from lilacloft.store.gateway_store import GatewayStore
from rigs.inprocess import (
    cancel_all,
    closes,
    halves,
    limits,
    next_dispatch,
    resets,
    restored_successor,
    until,
)
from rigs.stands import StandInClient, serves, silent

CLIP = b"x" * 200_000
MAX_SEND_DELAY = (
    0.1  # seconds; by the operators' terms, no attempt may start this long after its client has left
)
WAYS = [cancel_all, closes, halves, resets]


def wait_until(when):
    """Wait until a time of the monotonic clock."""
    until(lambda: time.monotonic() >= when)


def make_leave(leaves, *askers):
    """Make clients leave, and wait until no attempt may start for them any more; return when they left."""
    left = time.monotonic()
    for asker in askers:
        leaves(asker)
    wait_until(left + MAX_SEND_DELAY)
    return left


def first_cache(world):
    """Return the cache that received a request's first attempt."""
    found = []
    until(lambda: found or found.extend(cache for cache in world.caches if next_dispatch(cache, 0.01)))
    return found[0]


def assert_no_attempt(world, span=0.15):
    """Check that no attempt reaches any cache, the parent or the origin."""
    time.sleep(span)
    for stand in [*world.caches, world.parent, world.origin]:
        while not stand.seen.empty():
            assert stand.seen.get()[2][0] != b"do"


def assert_given_up(world, leaves, asker, tag):
    """Check that no attempt starts, a client that may still read gets an answer, and no resource stays in
    use."""
    assert_no_attempt(world)
    if leaves is halves:
        assert asker.answer()[:2] == [tag, b"503"]
    world.wait_until_idle(but=("clients", "checks"))


def discard_messages(world):
    """Discard the messages that the caches have received so far."""
    for cache in world.caches:
        while not cache.seen.empty():
            cache.seen.get()


@pytest.mark.parametrize("leaves", WAYS)
@pytest.mark.parametrize("many", [1, 8])
@pytest.mark.parametrize("cancel", [True, False])
def test_what_waits_for_a_connection_is_not_sent_on_for_who_has_left(in_process, late, leaves, many, cancel):
    """Not 0.1 s later, and within 0.3 s its place and limits are given back. A closed half tells no more than
    a close does, so what waits is denied to both, and who reads on hears of it. Where the settings let no
    dispatch be cancelled, one that has not gone out is taken back all the same: no cache has it."""
    world = in_process(silent, changes=limits(cancel=cancel, connectTimeoutNs=10**10))
    askers = [world.asker() for _ in range(many)]
    for number, asker in enumerate(askers):
        asker.ask(key=number, room=4)
    assert late.begun.acquire(timeout=5)
    until(lambda: world.held()["calls"] == many)
    left = make_leave(leaves, *askers)
    late.set()
    world.wait_until_idle(0.3 - (time.monotonic() - left))
    if leaves is halves:
        assert {asker.answer()[1] for asker in askers} == {b"503"}
    other = world.asker()
    other.ask(key=99)
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 99) > 0, "the first that comes through"
    cancel_all(other)
    world.wait_until_idle()


def test_after_a_half_close_a_pending_dispatch_is_sent_within_the_grace(in_process, late, monkeypatch):
    """A client that sends its request and half-closes at once is answered. The grace is long here, so that
    slow machines stay within it."""
    monkeypatch.setattr(retries, "CLIENT_LEFT_GRACE", 5 * TICKS_PER_SECOND)
    world = in_process(serves(CLIP))
    asker = world.asker()
    tag = asker.ask()
    halves(asker)
    until(
        lambda: any(
            client.state is ConnectionState.HALF_CLOSED for client in list(world.owner.downstream.clients)
        )
    )
    late.set()
    assert asker.answer() == [tag, b"200", b"", CLIP] and asker.answer() is None
    world.wait_until_idle(but=("checks",))


def test_after_a_half_close_nothing_is_retried(in_process):
    """An attempt lost after the grace is not retried for a client that may have left."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    cache = first_cache(world)
    make_leave(halves, asker)
    cache.break_off()  # a reset, after which the request would otherwise be retried
    assert asker.answer()[:2] == [tag, b"503"] and asker.answer() is None
    assert_no_attempt(world)
    world.wait_until_idle(but=("checks",))


@pytest.mark.parametrize("leaves", WAYS)
def test_a_request_handled_late_is_not_sent_if_its_client_has_left(in_process, leaves):
    """The request is in the event loop's queue before the event that the client has left."""
    world = in_process(silent, silent)
    asker, go = world.asker(), world.stall()
    tag = asker.ask(allow=3000)
    until(lambda: world.owner.downstream.counts["reqs"])
    make_leave(leaves, asker)
    go.set()
    assert_given_up(world, leaves, asker, tag)


@pytest.mark.parametrize("leaves", WAYS)
def test_no_retry_if_the_attempts_end_is_handled_before_the_disconnect(in_process, leaves):
    """The end of the first attempt is in the event loop's queue before the event that the client has left."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    cache, go = first_cache(world), world.stall()
    queued = world.owner.queue.qsize()
    cache.break_off()
    until(lambda: world.owner.queue.qsize() > queued)
    make_leave(leaves, asker)
    go.set()
    assert_given_up(world, leaves, asker, tag)


@pytest.mark.parametrize("leaves", WAYS)
def test_a_connection_established_while_the_event_loop_is_blocked_sends_nothing_of_clients_that_left(
    in_process, late, leaves
):
    """The connection's thread sends in this case, and the event loop cannot withdraw anything."""
    world = in_process(silent, changes=limits(connectTimeoutNs=10**10))
    asker, stayer = world.asker(), world.asker()
    asker.ask(key=1, room=4, allow=3000)
    stayer.ask(key=2, room=4, allow=3000)
    assert late.begun.acquire(timeout=5) and late.begun.acquire(timeout=5)
    until(lambda: world.held()["out"] == 2)
    go = world.stall()
    make_leave(leaves, asker)
    late.set()
    assert b"thing=%016x" % 2 in world.caches[0].next()[2][2]
    assert_no_attempt(world)
    go.set()
    cancel_all(stayer)
    world.wait_until_idle(but=("clients", "checks"))


def only_client(world):
    """Return the gateway's connection of the only client."""
    until(lambda: world.owner.downstream.clients)
    return next(iter(world.owner.downstream.clients))


def block_within_message(world, asker):
    """Block the reading thread within a message; return the function that releases it."""
    client, go, is_blocked = only_client(world), threading.Event(), threading.Event()
    on_message = client.on_message

    def held(client, items):
        is_blocked.set()
        assert go.wait(10)
        on_message(client, items)

    client.on_message = held
    asker.send(b"ALIVE", b"99", b"")
    assert is_blocked.wait(5)
    return go.set


def block_behind_answers(world, asker):
    """Make the reading thread wait because the client does not read its answers."""
    for number in range(8):
        asker.ask(key=100 + number, allow=3000)
    client, stopped = only_client(world), threading.Event()
    until(lambda: client.settled == 8 and client.unsent_bytes() > MAX_PART_SIZE)
    wait_for_backlog = client.wait_for_backlog

    def seen(most, span):
        if waits := wait_for_backlog(most, span):
            stopped.set()
        return waits

    client.wait_for_backlog = seen
    asker.send(b"ALIVE", b"99", b"")  # the last message read, unless reading has stopped before
    assert stopped.wait(5)
    return lambda: None


def serve_all_but_first(size):
    """Return a cache's handler that answers with `size` bytes, except for object 1, which it never
    answers."""
    serve = serves(b"x" * size)

    def answer(stand, sock, items):
        if items[0] != b"do" or b"thing=%016x" % 1 not in items[2]:
            serve(stand, sock, items)

    return answer


@pytest.mark.parametrize("block_reader", [block_within_message, block_behind_answers])
@pytest.mark.parametrize("leaves", WAYS)
def test_no_retry_for_a_client_that_left_while_its_reader_is_blocked(in_process, leaves, block_reader):
    """The close, the reset or the cancellation is in the kernel, and no thread reads it."""
    world = in_process(serve_all_but_first(240_000), serve_all_but_first(240_000))
    asker = StandInClient(world.port)
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    asker.ask(key=1, allow=3000)
    cache = first_cache(world)
    release = block_reader(world, asker)
    discard_messages(world)
    make_leave(leaves, asker)
    cache.break_off()
    assert_no_attempt(world)
    release()
    asker.sock.close()
    world.wait_until_idle(but=("clients", "checks"))


@pytest.mark.parametrize("leaves", WAYS)
def test_what_waits_for_the_disk_is_not_sent_on_for_who_has_left(in_process, tmp_path, leaves):
    """The news that its intent is down lies in the owner's queue before that of its leaving."""
    world, down = in_process(silent), queue.SimpleQueue()
    guard = world.run_on_owner(
        lambda: GatewayStore(world.owner, str(tmp_path / "store"), durability_timeout=5 * TICKS_PER_SECOND)
    )
    world.run_on_owner(guard.start)
    guard.committer.on_durable = down.put
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"x", allow=3000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    until(lambda: guard.gate.pending_order)
    ticket = 0
    while ticket < guard.gate.pending_order[0].ticket:
        ticket = down.get(timeout=5)
    go = world.stall()
    world.owner.post(guard._records_durable, ticket)
    make_leave(leaves, asker)
    go.set()
    assert_given_up(world, leaves, asker, tag)
    world.run_on_owner(guard.close)


@pytest.mark.parametrize("leaves", [closes, halves, resets])
def test_a_handed_over_request_is_not_sent_if_its_client_has_left(in_process, late, leaves, monkeypatch):
    """The request waits for its connection at the handover; an idle one exists when the next process
    starts."""
    monkeypatch.setattr(Connection, "movable", True)
    world = in_process(silent, changes=limits(connectTimeoutNs=10**10))
    late.set()
    stayer, leaver = world.asker(), world.asker()
    stayer.ask(key=1, allow=3000)
    _, sock, items = world.caches[0].next()
    late.clear()
    leaver.ask(key=2, allow=3000)
    until(lambda: world.held()["out"] == 2)
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"ok"))
    assert stayer.answer()[1] == b"200"
    with restored_successor(world) as restorer:
        make_leave(leaves, leaver)
        restorer.start()
        assert_no_attempt(world)
        assert [event.arguments[1] for event in restorer.gateway.loop.deferred] == [CloseReason.UNWRITTEN]


def test_the_time_since_a_disconnect_advances_within_a_long_event(in_process):
    """The gateway's time does not advance within one event, which lengthened the grace."""
    world = in_process(silent)
    asker = world.asker()
    asker.ask(allow=3000)
    world.caches[0].next()

    def within_a_long_event():
        owner = world.owner
        (request,) = owner.open_requests
        assert owner.client_left_at(request) is None
        only_client(world).input_ended = owner.monotonic_time
        started_at = time.monotonic()
        wait_until(started_at + 0.04)
        return owner.time - owner.client_left_at(request)

    assert world.run_on_owner(within_a_long_event) >= 400
    cancel_all(asker)
    world.wait_until_idle()


def test_a_retry_for_a_client_that_stays_is_sent(in_process):
    """Counterpart of the tests above: a retry is sent if the client stays."""
    world = in_process(silent, silent)
    asker = world.asker()
    asker.ask(allow=3000)
    cache, sent_at = first_cache(world), time.monotonic()
    wait_until(sent_at + MAX_SEND_DELAY)
    cache.break_off()
    assert any(next_dispatch(other, 0.5) for other in world.caches)
    cancel_all(asker)
    world.wait_until_idle()


@pytest.mark.parametrize("leaves", WAYS)
def test_a_request_behind_unsent_answers_is_given_up_when_its_client_leaves(in_process, late, leaves):
    """A client with pipelined requests leaves before its earlier answers are sent."""
    cache = serve_all_but_first(60_000)
    world = in_process(cache, cache, changes=limits(connectTimeoutNs=10**10))
    late.set()
    asker = StandInClient(world.port)
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client, number = only_client(world), 0
    # one by one until an answer has to wait, far below the limit at which the reader stops
    while not client.unsent_bytes():
        number += 1
        asker.ask(key=100 + number, allow=3000)
        until(lambda: client.settled == number)
    late.clear()
    for cache in world.caches:
        cache.break_off()  # so that new connections are needed
    until(
        lambda: not any(
            pool.connections for pool in world.run_on_owner(lambda: list(world.owner.upstream.pools.values()))
        )
    )
    asker.ask(key=1, allow=3000)
    until(lambda: world.held()["out"] == 1)
    discard_messages(world)
    make_leave(leaves, asker)
    late.set()
    assert_no_attempt(world)
    asker.sock.close()
    world.wait_until_idle(but=("clients", "checks"))


def test_a_request_cancelled_before_it_is_handled_is_not_sent(in_process):
    world = in_process(silent)
    asker, go = world.asker(), world.stall()
    asker.ask(key=1)
    cancel_all(asker)
    until(lambda: world.owner.downstream.counts["forgotten"])
    go.set()
    world.wait_until_idle()
    asker.ask(key=2)
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 2) > 0
    cancel_all(asker)
    world.wait_until_idle()


def test_a_collapsed_request_continues_when_the_other_client_leaves(in_process):
    """Only the dispatch of the client that left is cancelled."""
    world = in_process(silent)
    first, second = world.asker(), world.asker()
    first.ask(key=5)
    _, sock, items = world.caches[0].next()
    tag = second.ask(key=5)
    _, other, more = world.caches[0].next()
    resets(first)
    assert world.caches[0].next(b"undo")[2][1] == items[1]
    other.sendall(encode(more[1], b"data", b"remark=TCP_JOIN", b"bytes"))
    assert second.answer() == [tag, b"200", b"", b"bytes"]
    world.wait_until_idle()
