"""The time limit that a dispatch tells its cache is at most what its client has left, with 0.15 s of slack by
the operators' terms, whatever the dispatch waited for before its first byte went out; on real sockets."""

import contextlib
import signal
import socket
import threading
import time

from lilacloft.net import client_connection
from lilacloft.net.downstream import Downstream
from lilacloft.net.resp import parse_fields
from lilacloft.protocol_settings import NS_PER_TICK
from rigs.inprocess import forgets, limits, until
from rigs.stands import serves, silent

SLACK = 0.15  # seconds
ALLOW = 1500  # milliseconds that the clients here wait


def told_over(items, asked):
    """Seconds by which the limit that a dispatch tells exceeds what its client has left, now."""
    left = asked + ALLOW / 1000 - time.monotonic()
    return int(parse_fields(items[2])["max"]) / 1000 - left


def assert_in_time(items, asked):
    assert told_over(items, asked) <= SLACK, items[2]


@contextlib.contextmanager
def stopped(process):
    """A gateway's process stands still meanwhile."""
    process.send_signal(signal.SIGSTOP)
    try:
        time.sleep(0.1)
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def test_after_a_connection_that_came_up_late(in_process, late):
    world = in_process(silent, changes=limits(connectTimeoutNs=10**10))
    asker = world.asker()
    asked = time.monotonic()
    asker.ask(allow=ALLOW)
    assert late.begun.acquire(timeout=5)
    time.sleep(0.5)
    late.set()
    assert_in_time(world.caches[0].next()[2], asked)
    forgets(asker)
    world.rests()


def test_what_follows_a_dispatch_with_less_time_left_stays_whole(in_process, late):
    """The told limit has fewer digits by then: places in the stream behind it must still be right."""

    def changes(settings):
        settings["limits"]["connectTimeoutNs"] = 10**10
        settings["classes"][0]["promiseNs"] = 3 * 10**9  # so that nothing is called back meanwhile

    world = in_process(silent, changes=changes)
    world.owner.back.connections_per_pool = lambda: 1
    asker = world.asker()
    asked = time.monotonic()
    tags = [asker.ask(key=key, allow=ALLOW) for key in range(1, 5)]
    assert late.begun.acquire(timeout=5)
    until(lambda: world.held()["out"] == 4)
    time.sleep(0.6)
    late.set()
    dispatches = [world.caches[0].next() for _ in tags]
    for _, sock, items in dispatches:
        assert_in_time(items, asked)
    (line,) = world.does(
        lambda: [line for pool in world.owner.back.pools.values() for line in pool.connections]
    )
    assert line.unsent_bytes() == 0
    assert line.has_sent(line.queued)
    asker.send(b"FORGET", tags[0])
    assert world.caches[0].next(b"undo")[2][1] in [items[1] for _, _, items in dispatches]
    forgets(asker)
    world.rests()


def test_behind_a_cache_that_did_not_read(in_process):
    """Its socket is full, and takes bytes again half a second later."""
    world = in_process(silent)
    world.owner.back.connections_per_pool = lambda: 1
    first = world.asker()
    first.ask(allow=ALLOW)
    _, sock, items = world.caches[0].next()
    (line,) = world.does(
        lambda: [line for pool in world.owner.back.pools.values() for line in pool.connections]
    )
    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    with line.lock:  # as if the socket took nothing: what is sent now waits, until the thread that writes may
        line.writing = True
    asker = world.asker()
    asked = time.monotonic()
    asker.ask(key=2, allow=ALLOW)
    until(lambda: line.backlog)
    time.sleep(0.5)
    with line.lock:
        line.writing = False
        line._start_writer()
    assert_in_time(world.caches[0].next()[2], asked)
    forgets(asker)
    forgets(first)
    world.rests()


def test_of_the_first_of_two_requests_that_lay_unread_on_one_connection(world):
    """The kernel tells the time of the last byte alone, and the first came well before."""
    one = world(serves())
    asker = one.asker()
    asker.ask(key=9)
    assert asker.answer()[1] == b"200"
    one.caches[0].next()
    with stopped(one.process):
        asked = time.monotonic()
        first = asker.ask(key=1, allow=ALLOW)
        time.sleep(0.6)
        asker.ask(key=2, allow=ALLOW)
    answers = {answer[0]: answer[1] for answer in (asker.answer(), asker.answer())}
    if answers[first] == b"200":
        dispatches = [one.caches[0].next()[2] for word in answers.values() if word == b"200"]
        assert_in_time(next(items for items in dispatches if b"thing=%016x" % 1 in items[2]), asked)
    else:
        assert answers[first] == b"503"


def test_of_many_requests_that_lay_unread_on_one_connection(world):
    """They take several reads, each of which says nothing of how long the next one's bytes have lain there:
    of requests before a killed worker's successor up to 0.8 s were told too much (rigs.upgrade --kill)."""
    one = world(serves())
    asker, warm = one.asker(), one.asker()
    warm.ask(key=9)
    assert warm.answer()[1] == b"200"
    one.caches[0].next()
    with stopped(one.process):
        asked = time.monotonic()
        early = [asker.ask(key=key, allow=ALLOW, got=f"{key:016x}") for key in range(1, 31)]  # two reads
        time.sleep(0.6)
        asker.ask(key=31, allow=ALLOW)
    answers = dict(asker.answer()[:2] for _ in range(31))
    assert set(answers.values()) <= {b"200", b"503"}
    dispatches = [one.caches[0].next()[2] for word in answers.values() if word == b"200"]
    for key, tag in enumerate(early, 1):
        if answers[tag] == b"200":
            assert_in_time(next(items for items in dispatches if b"thing=%016x," % key in items[2]), asked)


def test_of_requests_at_a_door_whose_last_process_was_seen_to_end_late(in_process, monkeypatch):
    """The kernel knows since when their connection is up, whatever the supervisor says of the door."""
    served, take = threading.Event(), Downstream._accept_client
    monkeypatch.setattr(Downstream, "_accept_client", lambda self, sock: (served.wait(5), take(self, sock)))
    world = in_process(serves())
    owner = world.owner
    asker = world.asker()
    asked = time.monotonic()
    first = asker.ask(key=1, allow=ALLOW)
    time.sleep(0.6)
    asker.ask(key=2, allow=ALLOW)
    world.does(lambda: owner.record_pause(time.monotonic_ns() // NS_PER_TICK - 300))
    served.set()
    answers = dict(asker.answer()[:2] for _ in range(2))
    if answers[first] == b"200":
        dispatches = [world.caches[0].next()[2] for word in answers.values() if word == b"200"]
        assert_in_time(next(items for items in dispatches if b"thing=%016x" % 1 in items[2]), asked)
    else:
        assert answers[first] == b"503"
    world.rests()


def test_of_requests_at_a_door_that_opens_late_though_no_pause_is_known(in_process, monkeypatch):
    """A worker that came up beside load took clients in seconds after the pause before it was forgotten."""
    served, take = threading.Event(), Downstream._accept_client
    monkeypatch.setattr(Downstream, "_accept_client", lambda self, sock: (served.wait(5), take(self, sock)))
    world = in_process(serves())
    asker = world.asker()
    asked = time.monotonic()
    first = asker.ask(key=1, allow=ALLOW)
    time.sleep(0.6)
    asker.ask(key=2, allow=ALLOW)
    monkeypatch.setattr(world.owner, "paused_since", lambda: None)
    monkeypatch.setattr(world.owner.lag_margin, "current", lambda now: 0)
    served.set()
    answers = dict(asker.answer()[:2] for _ in range(2))
    assert answers[first] == b"200"
    dispatches = [world.caches[0].next()[2] for _ in answers]
    assert_in_time(next(items for items in dispatches if b"thing=%016x" % 1 in items[2]), asked)
    again = asker.ask(key=3, allow=ALLOW)
    assert asker.answer()[:2] == [again, b"200"]
    (client,) = world.owner.front.clients
    assert not client.accepted_late, "once all that lay there was read, the last byte's time holds"
    world.rests()


def test_a_connection_that_was_accepted_at_once_is_not_dated(in_process, monkeypatch):
    """What came on it in a later pause was taken to be as old as the connection."""
    monkeypatch.setattr(client_connection, "since_opened", lambda sock: 0.01)
    world = in_process(serves())
    monkeypatch.setattr(world.owner, "paused_since", lambda: None)
    monkeypatch.setattr(world.owner.lag_margin, "current", lambda now: 0)
    asker = world.asker()
    until(lambda: world.owner.front.clients)
    (client,) = world.owner.front.clients
    assert client.connected_at == 0 and not client.accepted_late
    asker.sock.close()


def test_a_span_without_a_turn_that_goes_on_hides_none_before_it(in_process):
    """As where a worker is slow from its very start: a reader asks before the owner's first turn."""
    world = in_process(serves())
    owner, go = world.owner, world.stall()
    try:
        begun = time.monotonic_ns() // NS_PER_TICK - 5_000
        owner.record_pause(begun)
        time.sleep(0.2)
        assert owner.paused_since() == begun
    finally:
        go.set()


def test_one_span_without_a_turn_after_another_is_one(in_process):
    """A worker that is slow to begin: what came before it began may still be unread then."""
    owner = in_process(serves()).owner
    now = time.monotonic_ns() // 100_000
    owner.record_pause(now - 5_000)
    owner.record_pause(now - 1_500)
    assert owner.paused_since() == now - 5_000


def test_of_a_request_that_lay_unread_while_the_process_was_stopped(world):
    """A client's time counts from its last byte, not from when the process came to read it."""
    one = world(serves())
    warm = one.asker()
    warm.ask(key=9)
    assert warm.answer()[1] == b"200"
    one.caches[0].next()
    with stopped(one.process):
        asker = one.asker()
        asked = time.monotonic()
        asker.ask(key=2, allow=ALLOW)
        time.sleep(0.8)
    tag, word, *_ = asker.answer()
    if word == b"200":
        _, _, items = one.caches[0].next()
        assert_in_time(items, asked)
    else:
        assert word == b"503"
    assert time.monotonic() < asked + ALLOW / 1000


def test_when_a_connection_came_up_counts_only_by_the_time_that_it_could_lie_at_the_door(
    in_process, monkeypatch
):
    """It is served since: what lies there when the process stands still again came no earlier than that."""
    world = in_process(serves())
    asker = world.asker()
    until(lambda: world.owner.front.clients)
    (client,) = world.owner.front.clients
    client.buffer.append(b"*")  # more has come behind what was read
    stood = time.monotonic_ns() // NS_PER_TICK - 2_000
    monkeypatch.setattr(world.owner, "paused_since", lambda: stood)
    monkeypatch.setattr(client, "last_byte_at", lambda: stood + 1_900)
    for opened, since in (
        (stood - 50_000, stood),
        (stood - 1_500, stood - 1_500),
        (stood + 500, stood + 500),
    ):
        client.connected_at = opened
        assert client.arrived_at() == since
    client.connected_at, client.emptied_at = stood - 1_500, stood + 700
    assert client.arrived_at() == stood + 700
    asker.sock.close()


def test_what_lay_unread_while_the_process_was_stopped_is_served_as_its_clients_still_wait(world):
    """Requests behind a stopped process, or at a crowded door, were rejected after half of their target."""
    one = world(serves())
    held = one.asker()
    for key in range(60):  # the rejection was by value, which takes some requests to be known
        held.ask(key=key)
        assert held.answer()[1] == b"200"
    with stopped(one.process):
        fresh = one.asker()
        tags = held.ask(key=1, allow=2500), fresh.ask(key=2, allow=2500)
        time.sleep(0.5)
    assert held.answer()[:2] == [tags[0], b"200"] and fresh.answer()[:2] == [tags[1], b"200"]
