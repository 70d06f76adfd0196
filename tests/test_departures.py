"""Clients that leave while something of theirs waits, on real sockets, the crossing forced each time."""

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
from rigs.inprocess import closes, forgets, halves, handed_over, limits, resets, until, waits_for
from rigs.stands import Asker, serves, silent

CLIP = b"x" * 200_000
GONE = 0.1  # seconds after its client has gone from which on no attempt may begin, by the operators' terms
WAYS = [forgets, closes, halves, resets]


def past(when):
    """Until a time of the monotonic clock has come."""
    until(lambda: time.monotonic() >= when)


def gone(leaves, *askers):
    """Clients leave; comes back when no attempt may begin for them any more, with the time when they left."""
    left = time.monotonic()
    for asker in askers:
        leaves(asker)
    past(left + GONE)
    return left


def asked_first(world):
    """The cache that a request's first attempt has come to."""
    found = []
    until(lambda: found or found.extend(cache for cache in world.caches if waits_for(cache, 0.01)))
    return found[0]


def nothing_comes(world, span=0.15):
    """No attempt begins anywhere: not at another cache, not past the caches."""
    time.sleep(span)
    for stand in [*world.caches, world.parent, world.origin]:
        while not stand.seen.empty():
            assert stand.seen.get()[2][0] != b"do"


def given_up(world, leaves, asker, tag):
    """No attempt begins; who may read on is told so, and nothing stays behind."""
    nothing_comes(world)
    if leaves is halves:
        assert asker.answer()[:2] == [tag, b"503"]
    world.rests(but=("clients", "checks"))


def nothing_seen(world):
    """Pass over what the caches have been asked so far."""
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
    left = gone(leaves, *askers)
    late.set()
    world.rests(0.3 - (time.monotonic() - left))
    if leaves is halves:
        assert {asker.answer()[1] for asker in askers} == {b"503"}
    other = world.asker()
    other.ask(key=99)
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 99) > 0, "the first that comes through"
    forgets(other)
    world.rests()


def test_a_closed_half_leaves_time_to_what_is_about_to_go_out(in_process, late, monkeypatch):
    """A client that sends its req and closes its half at once is answered. The grace is long here, so that a
    slow machine comes within it as well."""
    monkeypatch.setattr(retries, "CLIENT_LEFT_GRACE", 5 * TICKS_PER_SECOND)
    world = in_process(serves(CLIP))
    asker = world.asker()
    tag = asker.ask()
    halves(asker)
    until(
        lambda: any(client.state is ConnectionState.HALF_CLOSED for client in list(world.owner.front.clients))
    )
    late.set()
    assert asker.answer() == [tag, b"200", b"", CLIP] and asker.answer() is None
    world.rests(but=("checks",))


def test_after_a_closed_half_nothing_goes_out_anew(in_process):
    """What was out is lost after the grace: no second attempt for who may have left."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    cache = asked_first(world)
    gone(halves, asker)
    cache.break_off()  # a reset, which is otherwise asked again
    assert asker.answer()[:2] == [tag, b"503"] and asker.answer() is None
    nothing_comes(world)
    world.rests(but=("checks",))


@pytest.mark.parametrize("leaves", WAYS)
def test_what_the_owner_comes_to_late_is_not_sent_on_for_who_has_left(in_process, leaves):
    """Its request lies in the owner's queue before the news of its leaving."""
    world = in_process(silent, silent)
    asker, go = world.asker(), world.stall()
    tag = asker.ask(allow=3000)
    until(lambda: world.owner.front.counts["reqs"])
    gone(leaves, asker)
    go.set()
    given_up(world, leaves, asker, tag)


@pytest.mark.parametrize("leaves", WAYS)
def test_no_attempt_anew_where_the_owner_hears_of_its_end_before_the_leaving(in_process, leaves):
    """The end of the first attempt lies in the owner's queue before the news of the leaving."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    cache, go = asked_first(world), world.stall()
    queued = world.owner.queue.qsize()
    cache.break_off()
    until(lambda: world.owner.queue.qsize() > queued)
    gone(leaves, asker)
    go.set()
    given_up(world, leaves, asker, tag)


@pytest.mark.parametrize("leaves", WAYS)
def test_a_connection_that_comes_up_while_the_owner_is_busy_carries_nothing_of_who_has_left(
    in_process, late, leaves
):
    """It is the connection's thread that sends then, and the owner cannot take anything back."""
    world = in_process(silent, changes=limits(connectTimeoutNs=10**10))
    asker, stays = world.asker(), world.asker()
    asker.ask(key=1, room=4, allow=3000)
    stays.ask(key=2, room=4, allow=3000)
    assert late.begun.acquire(timeout=5) and late.begun.acquire(timeout=5)
    until(lambda: world.held()["out"] == 2)
    go = world.stall()
    gone(leaves, asker)
    late.set()
    assert b"thing=%016x" % 2 in world.caches[0].next()[2][2]
    nothing_comes(world)
    go.set()
    forgets(stays)
    world.rests(but=("clients", "checks"))


def the_client(world):
    """Its one client's connection, as the gateway has it."""
    until(lambda: world.owner.front.clients)
    return next(iter(world.owner.front.clients))


def stuck_in_a_message(world, asker):
    """Its reading thread cannot go on: it is held within a message."""
    client, go, in_it = the_client(world), threading.Event(), threading.Event()
    takes = client.on_message

    def held(client, items):
        in_it.set()
        assert go.wait(10)
        takes(client, items)

    client.on_message = held
    asker.send(b"ALIVE", b"99", b"")
    assert in_it.wait(5)
    return go.set


def stuck_behind_answers(world, asker):
    """Its reading thread waits, as the client does not read its answers."""
    for number in range(8):
        asker.ask(key=100 + number, allow=3000)
    client, stopped = the_client(world), threading.Event()
    until(lambda: client.settled == 8 and client.unsent_bytes() > MAX_PART_SIZE)
    held_back = client.wait_for_backlog

    def seen(most, span):
        if waits := held_back(most, span):
            stopped.set()
        return waits

    client.wait_for_backlog = seen
    asker.send(b"ALIVE", b"99", b"")  # the last that is read, unless it has stopped before
    assert stopped.wait(5)
    return lambda: None


def some_are_served(size):
    """A cache that answers with so many bytes, but the first object never."""
    serve = serves(b"x" * size)

    def says(stand, sock, items):
        if items[0] != b"do" or b"thing=%016x" % 1 not in items[2]:
            serve(stand, sock, items)

    return says


@pytest.mark.parametrize("stuck", [stuck_in_a_message, stuck_behind_answers])
@pytest.mark.parametrize("leaves", WAYS)
def test_no_attempt_anew_for_who_has_left_where_the_reader_cannot_hear_of_it(in_process, leaves, stuck):
    """Its end, its reset, or its cancel lies in the kernel, and nobody reads that."""
    world = in_process(some_are_served(240_000), some_are_served(240_000))
    asker = Asker(world.port)
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    asker.ask(key=1, allow=3000)
    cache = asked_first(world)
    goes_on = stuck(world, asker)
    nothing_seen(world)
    gone(leaves, asker)
    cache.break_off()
    nothing_comes(world)
    goes_on()
    asker.sock.close()
    world.rests(but=("clients", "checks"))


@pytest.mark.parametrize("leaves", WAYS)
def test_what_waits_for_the_disk_is_not_sent_on_for_who_has_left(in_process, tmp_path, leaves):
    """The news that its intent is down lies in the owner's queue before that of its leaving."""
    world, down = in_process(silent), queue.SimpleQueue()
    guard = world.does(
        lambda: GatewayStore(world.owner, str(tmp_path / "store"), durability_timeout=5 * TICKS_PER_SECOND)
    )
    world.does(guard.start)
    guard.committer.on_durable = down.put
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"x", allow=3000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    until(lambda: guard.gate.pending_order)
    ticket = 0
    while ticket < guard.gate.pending_order[0].ticket:
        ticket = down.get(timeout=5)
    go = world.stall()
    world.owner.post(guard._records_durable, ticket)
    gone(leaves, asker)
    go.set()
    given_up(world, leaves, asker, tag)
    world.does(guard.close)


@pytest.mark.parametrize("leaves", [closes, halves, resets])
def test_what_went_over_to_the_next_process_waiting_is_not_sent_on_there(
    in_process, late, leaves, monkeypatch
):
    """It waited for its connection at the handover; an idle one is there when the next process begins."""
    monkeypatch.setattr(Connection, "movable", True)
    world = in_process(silent, changes=limits(connectTimeoutNs=10**10))
    late.set()
    stays, goes = world.asker(), world.asker()
    stays.ask(key=1, allow=3000)
    _, sock, items = world.caches[0].next()
    late.clear()
    goes.ask(key=2, allow=3000)
    until(lambda: world.held()["out"] == 2)
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"ok"))
    assert stays.answer()[1] == b"200"
    with handed_over(world) as restorer:
        gone(leaves, goes)
        restorer.start()
        nothing_comes(world)
        assert [event.arguments[1] for event in restorer.gateway.loop.deferred] == [CloseReason.UNWRITTEN]


def test_how_long_a_client_has_been_gone_is_reckoned_by_the_clock_within_a_long_event(in_process):
    """The module's time stands still while it takes in one event; the grace was longer by that."""
    world = in_process(silent)
    asker = world.asker()
    asker.ask(allow=3000)
    world.caches[0].next()

    def within_a_long_event():
        owner = world.owner
        (request,) = owner.open_requests
        assert owner.client_left_at(request) is None
        the_client(world).input_ended = owner.monotonic_time
        begun = time.monotonic()
        past(begun + 0.04)
        return owner.time - owner.client_left_at(request)

    assert world.does(within_a_long_event) >= 400
    forgets(asker)
    world.rests()


def test_an_attempt_anew_for_who_stays_goes_out(in_process):
    """Else the tests above would say little."""
    world = in_process(silent, silent)
    asker = world.asker()
    asker.ask(allow=3000)
    cache, begun = asked_first(world), time.monotonic()
    past(begun + GONE)
    cache.break_off()
    assert any(waits_for(one, 0.5) for one in world.caches)
    forgets(asker)
    world.rests()


@pytest.mark.parametrize("leaves", WAYS)
def test_what_waits_behind_answers_being_written_is_given_up_when_its_client_leaves(in_process, late, leaves):
    """A pipelined client: its earlier answers have not gone out yet, and it leaves over them."""
    cache = some_are_served(60_000)
    world = in_process(cache, cache, changes=limits(connectTimeoutNs=10**10))
    late.set()
    asker = Asker(world.port)
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client, number = the_client(world), 0
    # one by one, until something has to wait: far from where the reader stops
    while not client.unsent_bytes():
        number += 1
        asker.ask(key=100 + number, allow=3000)
        until(lambda: client.settled == number)
    late.clear()
    for cache in world.caches:
        cache.break_off()  # so that new connections are needed
    until(
        lambda: not any(
            pool.connections for pool in world.does(lambda: list(world.owner.back.pools.values()))
        )
    )
    asker.ask(key=1, allow=3000)
    until(lambda: world.held()["out"] == 1)
    nothing_seen(world)
    gone(leaves, asker)
    late.set()
    nothing_comes(world)
    asker.sock.close()
    world.rests(but=("clients", "checks"))


def test_a_req_forgotten_before_the_owner_came_to_it_is_not_sent_on(in_process):
    world = in_process(silent)
    asker, go = world.asker(), world.stall()
    asker.ask(key=1)
    forgets(asker)
    until(lambda: world.owner.front.counts["forgotten"])
    go.set()
    world.rests()
    asker.ask(key=2)
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 2) > 0
    forgets(asker)
    world.rests()


def test_what_others_joined_goes_on_when_one_of_them_leaves(in_process):
    """Only the dispatch of who left is undone."""
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
    world.rests()
