"""A complete gateway process with stand-ins for its peers: behaviour that depends on real sockets."""

import json
import os
import queue
import signal
import socket
import struct
import time
import types

import pytest

from lilacloft.__main__ import main
from lilacloft.gateway.answers import AnswerKind
from lilacloft.gateway.gateway import Gateway
from lilacloft.log import logger
from lilacloft.net.attempt import Attempt
from lilacloft.net.client_connection import ClientConnection
from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.downstream import MAX_OPEN_REQUESTS, Downstream, DownstreamLimits, ListenEndpoint
from lilacloft.net.lag_histogram import GatewayLags
from lilacloft.net.resp import MessageBuffer, parse_fields
from lilacloft.net.upstream import Upstream, UpstreamCallbacks
from lilacloft.net.upstream_answers import Reply
from lilacloft.protocol_settings import from_protocol
from lilacloft.routing.lag_margin import LagMargin
from lilacloft.routing.model import Backend, Request
from rigs.stands import ENV, Log, Stand, StandInClient, World, encode, made, record, serves

CLIP = b"x" * 200_000


@pytest.fixture
def world(tmp_path):
    yield from made(World, tmp_path)


def silent(stand, sock, items):
    """Accept every request and answer none."""


def test_a_read_is_forwarded_unchanged_and_its_body_returned(world):
    world = world(serves(bytes(range(256)) * 900))
    asker = world.asker()
    asker.send(b"ALIVE", b"9", b"")
    assert asker.answer() == [b"9", b"serving"]
    tag = asker.ask(key=0xABC, nth=3, batch=17, got="4be0c1927d55a6f3")
    assert asker.answer() == [tag, b"200", b"", bytes(range(256)) * 900]
    _, _, items = world.caches[0].next()
    fields = parse_fields(items[2])
    assert len(items[1]) == 16 and items[3] == b"" and 0 < int(fields.pop("max")) <= 1500
    assert fields == {
        "profile": "clip",
        "thing": f"{0xABC:016x}",
        "nth": "3",
        "next": "s-00000002",
        "admit": "1",
        "agelim": "10000",
        "ways": "share+swr",
        "cached": "4be0c1927d55a6f3",
    }


def test_requests_without_a_size_are_served(world):
    """Clients that send no `room` had all their requests answered as invalid."""
    world = world(serves(b"bytes"))
    asker = world.asker()
    fields = b"ref=8a724ba239a2f880,allow=1500,lookup=00002e3abd68f6b3,batch=4,nth=9"
    asker.send(b"EXEC", b"1", b"clip", fields, b"")
    assert asker.answer() == [b"1", b"200", b"", b"bytes"]
    for number, room in enumerate((b"", b"x", b"-1", b"nan", b"1e9"), 2):
        asker.send(b"EXEC", b"%d" % number, b"clip", fields + b",room=" + room, b"")
        assert asker.answer() == [b"%d" % number, b"500"], "a size that is sent must be a number"


def test_a_write_is_forwarded_with_its_body_and_idempotency_key(world):
    world = world(serves(b"ok"))
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"\r\n\0,=" * 9000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    assert asker.answer() == [tag, b"200", b"", b"ok"]
    _, _, items = world.caches[0].next()
    fields = parse_fields(items[2])
    assert items[3] == b"\r\n\0,=" * 9000 and fields["replay"] == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    assert fields["next"] == "s-00000003" and "admit" not in fields


@pytest.mark.parametrize(
    "status, fields, expected",
    [
        (b"unchanged", b"sum=4be0c1927d55a6f3", [b"200", b"ok304=1", b""]),
        (b"failed", b"-", [b"503", b"cooldown=500", b""]),
        (b"full", b"-", [b"503", b"cooldown=500", b""]),
    ],
)
def test_each_status_of_a_cache_maps_to_one_client_answer(world, status, fields, expected):
    world = world(lambda stand, sock, items: sock.sendall(encode(items[1], status, fields)))
    asker = world.asker()
    tag = asker.ask(got="4be0c1927d55a6f3")
    assert asker.answer() == [tag, *expected]


@pytest.mark.parametrize(
    "answer",
    [
        b"+OK\r\n",
        b"*2\r\n$4\r\n",
        encode(b"1", b"data", b"slow=nan", b"y"),
        encode(b"1", b"well", b"-"),  # an answer to a health check
        encode(b"1", b"unchanged", b"-"),  # although the client named no copy
    ],
)
def test_a_malformed_answer_is_never_forwarded(world, answer):
    """After an incomplete or malformed answer the request may have been executed, so it is retried once."""

    def answer_malformed(stand, sock, items):
        sock.sendall(answer.replace(b"$1\r\n1", b"$16\r\n" + items[1]))
        stand.break_off()

    world = world(answer_malformed)
    asker = world.asker()
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"503"]


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda stand, sock, good: sock.sendall(b"\x00noise\r\n"),
        lambda stand, sock, good: sock.sendall(good[: len(good) // 2]),  # stalls on an open connection
        lambda stand, sock, good: (sock.sendall(good[: len(good) // 2]), sock.shutdown(socket.SHUT_RDWR)),
        lambda stand, sock, good: sock.sendall(good.replace(b"$200000", b"$3000000000")),
        lambda stand, sock, good: stand.break_off(),  # reset before any answer
    ],
)
def test_malformed_answers_close_their_connection_and_eject_no_cache(world, corrupt):
    """Any cache may send one occasionally; ejecting it would make another cache fill its objects again."""

    def answer(stand, sock, items):
        good = encode(items[1], b"data", b"remark=TCP_HIT", CLIP)
        stand.asked = getattr(stand, "asked", 0) + 1
        corrupt(stand, sock, good) if stand.asked == 2 else sock.sendall(good)

    world = world(answer, answer)
    asker = world.asker()
    for key in [*range(6)] * 2:  # each cache's second answer is malformed
        tag = asker.ask(key=key, allow=3000)
        assert asker.answer()[:2] == [tag, b"200"]
    assert "left alone" not in world.stop()[1]


def test_unexpected_extra_answers_are_ignored(world):
    def answer(stand, sock, items):
        good = encode(items[1], b"data", b"remark=TCP_HIT", b"good")
        sock.sendall(encode(b"%016x" % 7, b"data", b"remark=TCP_HIT", b"bad") + good + good)

    asker = world(answer).asker()
    for _ in range(3):
        tag = asker.ask()
        assert asker.answer() == [tag, b"200", b"", b"good"]


def test_invalid_requests_fail_alone_and_malformed_input_closes_only_its_connection(world):
    world = world()
    asker, other = world.asker(), world.asker()
    bad = [
        asker.ask(b"nothing"),
        asker.ask(allow="soon"),
        asker.ask(ref="12"),
        asker.ask(batch=256),
        asker.ask(b"pay", body=b"no key"),
        asker.ask(room="nan"),
        asker.ask(got="no hex"),
        asker.ask(nth="1e12"),
        asker.ask(room="inf"),
        asker.ask(room=10**8),  # more than can be sent within any client timeout
        asker.ask(b"pay", replay="12"),
    ]
    assert [asker.answer()[:2] for _ in bad] == [[tag, b"500"] for tag in bad]
    asker.send(b"FORGET", b"77")
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"200"]
    tag = other.ask()
    assert other.answer()[:2] == [tag, b"200"]
    other.sock.sendall(b"*5\r\n$99999999\r\n")
    assert other.answer() is None
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"200"]


def reuse_tag(asker):
    asker.tag = 0
    asker.ask()


@pytest.mark.parametrize(
    "offend",
    [
        lambda asker: asker.sock.sendall(b"*5\r\n$4\r\nEXEC\r\n$1\r\n2\r\n$4\r\nclip\r\n$99999999\r\n"),
        lambda asker: asker.sock.sendall(b"GET / HTTP/1.1\r\n"),
        lambda asker: asker.send(b"EXEC", b"-1", b"clip"),
        reuse_tag,
        lambda asker: [asker.send(b"EXEC", b"9", b"nothing", b"-") for _ in range(MAX_OPEN_REQUESTS)],
    ],
)
def test_malformed_input_of_a_client_rejects_its_open_requests_and_closes_it(world, offend):
    """The rejections come at once: open requests may last longer than the time within which such a client
    must be closed."""
    world = world(silent)
    asker, started_at = world.asker(), time.monotonic()
    tag = asker.ask(allow=3000)
    world.caches[0].next()
    offend(asker)
    answers = list(iter(asker.answer, None))
    assert [items[1] for items in answers if items[0] == tag] == [
        b"503"
    ] and time.monotonic() - started_at < 1
    assert {items[1] for items in answers if items[0] == b"9"} <= {b"500"}
    assert world.caches[0].next(b"undo")


def test_clients_without_a_complete_message_and_idle_clients_are_closed(world):
    """Otherwise they keep new clients out. A message that arrives byte by byte counts from its first byte."""
    world = world(silent)
    started_at, partial, idle, waiting = time.monotonic(), world.asker(), world.asker(), world.asker()
    idle.send(b"ALIVE", b"1", b"")
    assert idle.answer() == [b"1", b"serving"]
    tag = waiting.ask(allow=3000)
    none = world.asker()
    partial.sock.sendall(b"*5\r\n$4")
    assert partial.answer() is None and none.answer() is None and time.monotonic() - started_at < 3
    assert waiting.answer()[0] == tag
    assert idle.answer() is None and time.monotonic() - started_at > 3.9


def test_cancelled_requests_free_their_place_and_requests_above_the_limit_are_rejected():
    """A cancelled request is closed at once, not when the event loop handles it: under load a regular client
    would otherwise exceed the limit."""
    owner = types.SimpleNamespace(
        requests=types.SimpleNamespace(
            arrived="arrived", cancelled="forgotten", client_sent_malformed="garbled"
        ),
        is_shutting_down=False,
        lags=GatewayLags(),
        lag_margin=LagMargin(),
        paused_since=lambda: None,
    )
    posted, config = [], from_protocol(ENV)
    downstream = Downstream(
        lambda *event, client, due_at=None: posted.append((event[0], client)),
        owner,
        config["vhosts"],
        DownstreamLimits(9, 1e6, max_request_bytes=10**9, retry_after=0),
        ListenEndpoint(("127.0.0.1", 0)),
    )
    server_side, client_side = socket.socketpair()
    client = ClientConnection(downstream, server_side)
    fields = b"ref=%016x,allow=1500,lookup=%016x,nth=0,batch=7,room=4"
    for tag in range(1, 4 * MAX_OPEN_REQUESTS):
        downstream.handle_message(client, [b"EXEC", b"%d" % tag, b"clip", fields % (tag, tag), b""])
        if tag >= MAX_OPEN_REQUESTS:
            downstream.handle_message(client, [b"EXEC", b"9999", b"clip", fields % (9999, 9999), b""])
            downstream.handle_message(client, [b"FORGET", b"%d" % (tag - MAX_OPEN_REQUESTS + 1)])
    assert (
        posted.count(("arrived", client)) == 4 * MAX_OPEN_REQUESTS - 1
        and len(client.open) == MAX_OPEN_REQUESTS - 1
    )
    buffer, answers = MessageBuffer(), set()
    buffer.read_from(client_side)
    while items := buffer.next_message():
        answers.add(tuple(items))
    assert answers == {(b"9999", b"503")}
    server_side.close()
    client_side.close()
    downstream.sock.close()


def test_a_request_is_settled_only_after_its_answer_is_written(monkeypatch, world):
    """A client that had closed its half lost the answer if the request was settled before it was written."""
    owner, unsettled = Gateway({**world().config, "listen": "127.0.0.1:0"}), []
    server_side, client_side = socket.socketpair()
    client = ClientConnection(owner.downstream, server_side)
    monkeypatch.setattr(
        owner.downstream, "answer", lambda *_: unsettled.append(client.taken - client.settled)
    )
    owner.downstream.handle_message(
        client, [b"EXEC", b"1", b"clip", b"ref=%016x,allow=9,lookup=%016x,nth=0,batch=7,room=4" % (1, 1), b""]
    )
    client_request = client.open[b"1"]
    client_request.request = Request(
        client_request.key,
        client_request.part,
        client_request.group,
        client_request.kbytes,
        0,
        owner.time + 90,
        client_request.vhost,
    )
    client_request.history = owner.request_history(client_request, client_request.request)
    owner.answers.send(client_request, AnswerKind.REJECTED)
    assert unsettled == [1] and client.taken == client.settled
    owner.answers.send(client_request, AnswerKind.REJECTED)
    assert unsettled == [1], "one answer only"
    server_side.close()
    client_side.close()


def test_a_duplicate_request_name_is_rejected_and_unknown_objects_eject_no_cache(world):
    def answer(stand, sock, items):
        if items[0] == b"do" and parse_fields(items[2])["thing"] == f"{7:016x}":
            sock.sendall(encode(items[1], b"failed", b"-"))

    world = world(answer, answer)
    asker = world.asker()
    first = asker.ask(ref="9b1f03aa5c7e2d41", allow=600)
    again = asker.ask(ref="9b1f03aa5c7e2d41", key=2, allow=600)
    assert asker.answer() == [again, b"500"], "a cache could not tell the two apart"
    assert asker.answer()[:2] == [first, b"503"]
    tag = asker.ask(ref="9b1f03aa5c7e2d41", allow=100)
    assert asker.answer()[:2] == [tag, b"503"], "it is no longer open"
    for _ in range(9):
        tag = asker.ask(key=7)
        assert asker.answer()[:2] == [tag, b"503"]
    assert "left alone" not in world.stop()[1]


def test_a_client_that_half_closes_gets_its_answer(world):
    asker = world(serves(CLIP)).asker()
    tag = asker.ask()
    asker.sock.shutdown(socket.SHUT_WR)
    assert asker.answer() == [tag, b"200", b"", CLIP] and asker.answer() is None


def test_a_client_that_left_gets_no_answer_and_its_dispatch_is_cancelled(world):
    world = world(silent)
    asker = world.asker()
    other = world.asker()
    other.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    for client, leave in (
        (asker, lambda tag: asker.send(b"FORGET", tag)),
        (other, lambda tag: other.sock.close()),  # a reset also shows that the client has left
    ):
        tag = client.ask()
        name = world.caches[0].next()[2][1]
        leave(tag)
        assert world.caches[0].next(b"undo")[2] == [b"undo", name]
    asker.sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        asker.answer()


def test_a_silent_backend_connection_is_not_used_again(world):
    """A machine that was disconnected leaves connections open on which nothing is received any more."""

    def answer(stand, sock, items):
        if sock is not stand.socks[0]:
            serves()(stand, sock, items)

    asker, until, status = world(answer).asker(), time.monotonic() + 8, b""
    while status != b"200" and time.monotonic() < until:
        asker.ask(room=4, allow=3000)
        status = asker.answer()[1]
    assert status == b"200"


def test_a_cancellation_that_cannot_be_sent_closes_its_connection():
    """Otherwise two dispatches of the request could be in flight at once."""
    events, server = queue.SimpleQueue(), socket.create_server(("127.0.0.1", 0))
    config = from_protocol(ENV)
    record_end = lambda *arguments: ends.append(arguments[:2])  # noqa: E731
    upstream = Upstream(
        UpstreamCallbacks(lambda *event: events.put(event), lambda: 0, record_end, record_end), config, 2
    )
    backend, ends = Backend("s-1", status=1), []
    upstream.add_backend(backend, server.getsockname())
    in_flight = [
        Attempt(None, backend, 0, b"%d" % number, encode(b"do", b"x" * 240_000), 0) for number in range(60)
    ]
    assert not any(upstream.dispatch(attempt) for attempt in in_flight)
    connection = in_flight[0].connection
    in_flight = [attempt for attempt in in_flight if attempt.connection is connection]
    peer, _ = server.accept()
    until = time.monotonic() + 5
    while not connection.writing and time.monotonic() < until:
        time.sleep(0.005)
    upstream.cancel(in_flight[-1])
    assert connection.close_reason is None, "an unsent attempt is withdrawn"
    in_flight[0].client_request = in_flight[1].client_request = types.SimpleNamespace(connections=[])
    upstream.cancel(in_flight[0])
    assert connection.close_reason is CloseReason.CHOKED
    callback, *arguments = events.get(timeout=5)
    callback(*arguments)
    assert [end for attempt, end in ends if attempt is in_flight[1]][0] in (
        CloseReason.CHOKED,
        CloseReason.UNWRITTEN,
    )
    assert ends[-1] == (in_flight[-2], CloseReason.UNWRITTEN) and len(ends) == 28
    peer.close()
    server.close()


def test_the_cancellation_is_sent_before_the_next_dispatch(world):
    """Two dispatches of a request must never be in flight at once, even if the backend reads two connections
    in another order than they were written. With dozens of cancelled requests this had happened."""
    in_flight, counts_in_flight, times = set(), [], {}

    def answer_second(stand, sock, items):
        in_flight.add(stand) if items[0] == b"do" else in_flight.discard(stand)
        counts_in_flight.append(len(in_flight))
        times[items[0]] = time.monotonic()  # of the cancellation, and of the last dispatch
        if items[0] == b"do" and len(counts_in_flight) > 1:
            sock.sendall(encode(items[1], b"data", b"-", b"y"))

    world = world(answer_second, answer_second)
    asker = world.asker()
    tag = asker.ask(allow=3000, room=4)
    assert (
        asker.answer()[:2] == [tag, b"200"] and set(counts_in_flight) <= {0, 1} and len(counts_in_flight) >= 3
    )
    assert times[b"do"] - times[b"undo"] > 0.007, "the two are apart by the answer slack"


def test_a_cancellation_on_a_new_connection_waits_until_the_backend_must_have_accepted_it():
    events, server, time_now = queue.SimpleQueue(), socket.create_server(("127.0.0.1", 0)), [0]
    cancelled, config, backend = [], from_protocol(ENV), Backend("s-1", status=1)
    post, now = (lambda *event: events.put(event)), (lambda: time_now[0])
    upstream = Upstream(
        UpstreamCallbacks(post, now, print, lambda *callback: cancelled.append(callback)), config, 2
    )
    slack, connect_timeout = config["rules"]["answer_slack"], config["limits"]["connect_timeout"]
    upstream.add_backend(backend, server.getsockname())
    client_request = types.SimpleNamespace(connections=[], disconnected_since=lambda: None)
    first, second, third = (
        Attempt(client_request, backend, 0, b"%d" % number, encode(b"do", b"%d" % number), 0)
        for number in range(3)
    )
    upstream.dispatch(first)
    peer, _ = server.accept()
    peer.recv(100)
    assert upstream.cancel(first) == connect_timeout, "nothing was received on the connection yet"
    client_request.connections.clear()
    upstream.dispatch(second)
    connection = second.connection
    connection.last_read_at, time_now[0] = 1, 50
    assert upstream.cancel(second) == 50 + slack
    client_request.connections.clear()
    upstream.dispatch(third)
    third.connection.close(CloseReason.GARBLED)
    callback, *args = events.get(timeout=5)
    callback(*args)
    assert cancelled == [(third, CloseReason.GARBLED, 50 + slack)]
    peer.close()
    server.close()


def test_what_nobody_answers_is_given_up_in_time_and_once(world):
    world = world(silent)
    asker = world.asker()
    begin = time.monotonic()
    tag = asker.ask(allow=300)
    assert asker.answer()[:2] == [tag, b"503"]
    assert 0.2 < time.monotonic() - begin < 0.35
    assert world.caches[0].next(b"undo")


def test_retries_after_a_reset_and_after_a_refused_connect(world):
    """A refused connect proves that nothing was executed: even a request that must not be repeated is
    retried."""

    def die(stand, sock, items):
        stand.close()
        stand.break_off()

    world = world(die, die)
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"once", replay="ab" * 16, room=4)
    assert asker.answer()[:2] == [tag, b"503"]
    sent = [stand.seen.qsize() for stand in world.caches]
    assert sorted(sent) == [1, 1], (
        "each got one dispatch: the second after a reset, within the idempotency window"
    )
    tag = asker.ask(key=5)
    assert asker.answer()[:2] == [tag, b"503"]


def test_a_cache_that_dies_with_many_attempts_in_flight(world):
    """The second failure gets the cache ejected, and the router cancels the other attempts, which have ended
    too."""

    def die(stand, sock, items):
        if items[0] == b"do" and stand.seen.qsize() >= 8:
            stand.close()
            stand.break_off()

    world = world(die)
    asker = world.asker()
    tags = [asker.ask(key=number, room=40) for number in range(8)]
    assert sorted(asker.answer()[:2] for _ in tags) == [[tag, b"503"] for tag in tags]
    assert world.stop()[0] == 0


def test_the_change_log_redirects_requests_and_its_purges_limit_ages(world):
    world = world(changes=lambda settings: settings["obligations"].update(coldNs=10**9))
    asker, new = world.asker(), Stand(serves(b"new"))
    now = int(time.time() * 1000)
    world.log.add(2, 2, record(1, world.caches[0].port, state=1) + record(9, new.port))
    world.log.add(3, 3, struct.pack(">QQ", 0xABC, now))
    world.log.break_off()
    while world.log.since.get(timeout=5) != 3:
        pass
    asker.ask(key=0xABC)
    assert asker.answer()[3] == b"new"
    fields = parse_fields(new.next()[2][2])
    assert 1 <= int(fields["agelim"]) <= int(time.time() * 1000) - now
    with pytest.raises(AssertionError):
        assert not new.seen.empty()
    # the same id, restarted at another address: connections belong to id and start time
    newer = Stand(serves(b"newer"))
    world.log.add(4, 2, record(9, newer.port, started=now - 5_000))
    world.log.break_off()
    while world.log.since.get(timeout=5) != 4:
        pass
    asker.ask(key=0xABC)
    assert asker.answer()[3] == b"newer"
    for stand in (new, newer):
        stand.close()


def test_sighup_reloads_the_configuration_and_an_invalid_one_is_ignored(world):
    world = world()
    asker, other = world.asker(), Log([(2, 4, struct.pack(">HQ", 7, 1))])
    good = json.dumps({**world.config, "changelog": f"127.0.0.1:{other.port}", "listen": "127.0.0.1:1"})
    for text in ("{", "[]", good.replace('"changelog"', '"log"'), good.replace("1024", '"x"')):
        world.path.write_text(text)
        os.kill(world.process.pid, signal.SIGHUP)
        assert "the old configuration stays" in world.process.stderr.readline()
    world.path.write_text(good)
    for _ in range(3):
        os.kill(world.process.pid, signal.SIGHUP)
    assert other.since.get(timeout=5) == 1, "resumed after the last known event"
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"200"]
    code, output = world.stop()
    assert code == 0 and "kept till a restart: listen" in output and "events=1" in output
    other.close()


def test_sigterm_answers_all_requests_and_logs_the_counters(world):
    def answer_slowly(stand, sock, items):
        time.sleep(0.4 if len(stand.socks) == 1 else 0)
        serves(b"late")(stand, sock, items)

    world = world(answer_slowly)
    asker = world.asker()
    tag = asker.ask()
    world.caches[0].next()
    os.kill(world.process.pid, signal.SIGTERM)
    late = world.asker()
    late.send(b"ALIVE", b"1", b"")
    while late.answer() == [b"1", b"serving"]:  # until the signal was handled
        late.send(b"ALIVE", b"1", b"")
    other = late.ask(key=3)
    assert asker.answer()[:2] == [tag, b"200"] and late.answer()[:2] == [other, b"200"]
    code, output = world.stop()
    assert code == 0 and "done=2" in output and "reqs=2" in output
    world.start()
    waiting = world.asker()  # keeps a reference: otherwise the socket is closed at once
    tag = waiting.ask()
    world.process.kill()
    world.process.wait()
    world.start()  # immediately, under the same name and address
    asker = world.asker()
    tag = asker.ask()
    assert asker.answer()[:2] == [tag, b"200"]


def test_a_pause_of_the_gateway_ejects_no_cache(world):
    """Answers that arrived meanwhile are unread; they are handled before the time-outs that are due."""

    def pause_gateway(stand, sock, items):
        os.kill(world.process.pid, signal.SIGSTOP)
        serves(b"in time")(stand, sock, items)
        time.sleep(1.2)  # more than twice the first-byte target
        os.kill(world.process.pid, signal.SIGCONT)

    world = world(pause_gateway)
    asker = world.asker()
    tag = asker.ask(allow=3000, room=4)
    assert asker.answer()[:2] == [tag, b"200"]
    code, output = world.stop()
    assert code == 0 and "undone" not in output and "left alone" not in output


def test_steps_of_the_wall_clock_do_not_affect_the_gateways_time(world):
    unix = [10**18]
    owner = Gateway({**world().config, "listen": "127.0.0.1:0"}, lambda: unix[0])
    owner.update_clock()
    begin = owner.now()
    unix[0] -= 3600 * 10**9
    until = time.monotonic() + 0.02
    while time.monotonic() < until:
        pass
    owner.update_clock()
    assert begin + 190 <= owner.now() < begin + 10_000
    unix[0] += 7200 * 10**9
    owner.update_clock()
    assert owner.now() < begin + 20_000


def test_durations_end_when_the_answer_was_read_and_an_exception_ends_only_its_event(monkeypatch, world):
    owner = Gateway({**world().config, "listen": "127.0.0.1:0"})
    durations, backend = [], owner.backends["s-00000001"]
    monkeypatch.setattr(
        owner.router, "attempt_ended", lambda request, backend, result: durations.append(result.duration)
    )
    client_request = types.SimpleNamespace(
        request=types.SimpleNamespace(finished=True), tag=b"1", client=None, name="1", history=None
    )
    monkeypatch.setattr(owner.downstream, "close_request", lambda _: False)
    owner.update_clock()
    attempt = Attempt(client_request, backend, 0, b"1", b"", owner.time - 3000)
    owner.attempt_ended(attempt, CloseReason.DATA, Reply(note=1, read_at=owner.monotonic_time - 2000))
    owner.attempt_ended(attempt, CloseReason.TIME_UP)
    assert durations == [1000, 3000]
    seen = []
    owner.run_callback(lambda: 1 // 0, ())
    owner.run_callback(seen.append, (1,))
    assert seen == [1] and owner.answer_counts["faults"] == 1


@pytest.mark.parametrize(
    "command, damage, message",
    [
        ("check", lambda config: config["settings"].pop("familyInfo"), "lacks familyInfo"),
        ("check", lambda config: config.pop("changelog"), "lacks changelog"),
        ("check", lambda config: config["known"]["results"][0]["fleet"]["targets"][0].update(az="x"), "'x'"),
        ("serve", lambda config: None, "cannot be listened on"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(world, command, damage, message, capsys):
    world = world()
    damage(world.config)
    world.path.write_text(json.dumps(world.config))
    assert main([command, "--config", str(world.path)]) == 2
    logger.remove()  # its handler writes to a stream that is closed after the test
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and message in lines[0]


def test_the_gateway_serves_despite_many_short_connections_and_clients_that_do_not_read(world):
    world = world(serves(CLIP), sockets=120)
    for _ in range(1000):
        socket.create_connection(("127.0.0.1", world.port), 5).close()
    idle = [world.asker() for _ in range(100)]  # more than allowed: the longest idle are closed
    unreading = [StandInClient(world.port) for _ in range(5)]
    for asker in unreading:
        asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for _ in range(31):
            asker.ask(room=4)
    asker = world.asker()
    statuses, until = [], time.monotonic() + 5
    while statuses.count(b"200") < 5 and time.monotonic() < until:  # some may be rejected at first
        asker.ask(room=4)
        statuses.append(asker.answer()[1])
    assert statuses.count(b"200") == 5
    files = len(os.listdir(f"/proc/{world.process.pid}/fd"))
    with open(f"/proc/{world.process.pid}/status") as file:
        memory = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    assert files < 120 and memory < 100_000
    for asker in [*idle, *unreading]:
        asker.sock.close()
