"""The gateway's connections: parsers on generated input, change log frames, and every way a connection
ends."""

import queue
import random
import socket
import struct
import threading
import time
from types import SimpleNamespace

import pytest

from lilacloft.net import discovery_events, discovery_watch
from lilacloft.net.attempt import Attempt
from lilacloft.net.close_reasons import OUTCOMES, CloseReason
from lilacloft.net.connection import Connection, ConnectTarget
from lilacloft.net.resp import (
    BACKEND_MESSAGE_SIZES,
    CLIENT_MESSAGE_SIZES,
    MAX_PART_SIZE,
    GarbledError,
    MessageBuffer,
    encode,
    encode_fields,
    parse_fields,
)
from lilacloft.net.upstream import Upstream, UpstreamCallbacks
from lilacloft.net.upstream_pool import UpstreamConnection
from lilacloft.protocol_settings import from_protocol
from lilacloft.routing.model import Backend
from rigs.stands import ENV, Log, Stand, framed, record


def messages(rng, count):
    return [
        [rng.randbytes(rng.choice([0, 1, 30, 5000, 70000])) for _ in range(rng.randint(1, 5))]
        for _ in range(count)
    ]


def parsed(buffer):
    out = []
    while (items := buffer.next_message()) is not None:
        out.append(items)
    return out


@pytest.mark.parametrize("cut", ["whole", "bytes", *range(6)])
def test_messages_are_parsed_however_the_input_is_split(cut):
    rng = random.Random(str(cut))
    sent = messages(rng, 3 if cut == "bytes" else 25)
    if cut == "bytes":
        sent = [[item[:50] for item in items] for items in sent]
    data, buffer, got = b"".join(encode(*items) for items in sent), MessageBuffer((70_000,) * 5), []
    while data:
        size = {"whole": len(data), "bytes": 1}.get(cut) or rng.choice([1, 3, 100, 9000])
        buffer.append(data[:size])
        data = data[size:]
        got += parsed(buffer)
    assert got == sent
    buffer.writable().release()
    assert len(buffer.data) == buffer.initial_size, "an empty buffer is shrunk again"


@pytest.mark.parametrize(
    "data",
    [
        b"EXEC 1\r\n",
        b"*0\r\n",
        b"*9\r\n",
        b"*-1\r\n",
        b"*1\r\n+x\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$2\r\nabcd\r\n",
        b"*1\r\n$240001\r\n",
        b"*1\r\n$ 12\r\n",
        b"*11111111111111111",
        b"*1\r\n$" + b"0" * 20,
        b"*1\n$1\r\nx\r\n",
    ],
)
def test_malformed_messages_raise(data):
    buffer = MessageBuffer((MAX_PART_SIZE,) * 8)
    with pytest.raises(GarbledError):
        buffer.append(data)
        buffer.next_message()


def test_each_element_has_its_own_size_limit():
    """Otherwise hundreds of clients could each grow a buffer to megabytes before they are rejected."""
    for sizes in (CLIENT_MESSAGE_SIZES, BACKEND_MESSAGE_SIZES):
        longest = [b"x" * size for size in sizes]
        buffer = MessageBuffer(sizes)
        buffer.append(encode(*longest))
        assert buffer.next_message() == longest
        for index, size in enumerate(sizes):
            buffer = MessageBuffer(sizes)
            with pytest.raises(GarbledError):
                buffer.append(encode(*longest[:index]).replace(b"*%d" % index, b"*%d" % len(sizes), 1))
                buffer.append(b"$%d\r\n" % (size + 1))
                buffer.next_message()
        with pytest.raises(GarbledError):
            buffer = MessageBuffer(sizes)
            buffer.append(encode(*longest, b"more"))
            buffer.next_message()


def test_a_claimed_length_allocates_nothing():
    buffer = MessageBuffer((MAX_PART_SIZE,))
    buffer.append(b"*1\r\n$%d\r\nabc" % MAX_PART_SIZE)
    assert buffer.next_message() is None
    assert len(buffer.data) == buffer.initial_size


def test_fields_are_encoded_and_parsed():
    fields = {"ref": "9b", "room": "412.5"}
    assert parse_fields(encode_fields([*fields.items(), ("got", None)])) == fields
    assert parse_fields(b"-") == parse_fields(b"") == {} and encode_fields([]) == b"-"
    for data in (b"a", b"=1", b"a=1,,b=2", b"a=1,a=2", b"a=\xff"):
        with pytest.raises(GarbledError):
            parse_fields(data)


def test_frames_and_the_configuration_hold_the_same_events():
    started, purged = 1764576000123, 1764576000480
    row = {
        "uid": "s-00000007",
        "endpoint": "127.0.0.1:5050",
        "az": "here",
        "model": "small",
        "pod_group": 0,
        "state": "leaving",
        "capacity_hint": 5,
        "boot_ms": started,
    }
    lists = [
        {"seq": 1, "fleet": {"rev": 1, "all": True, "targets": [row]}},
        {"seq": 2, "invalidate": {"object": f"{7:016x}", "time": purged}},
        {"seq": 3, "invalidate": {"bucket": 17, "time": purged}},
    ]
    frames = [
        (1, 1, record(7, 5050, state=1, started=started)),
        (2, 3, struct.pack(">QQ", 7, purged)),
        (3, 4, struct.pack(">HQ", 17, purged)),
    ]
    config = from_protocol(ENV)
    assert list(discovery_events.events_of_config(lists, config["zones"], config["kinds"])) == [
        (number, discovery_events.decode_event(number, kind, payload)) for number, kind, payload in frames
    ]
    assert discovery_events.decode_event(4, 0, b"") is None
    for kind, payload in ((0, b"x"), (1, b"x" * 26), (3, b"x"), (5, b""), (2, record(7, 1, state=3))):
        with pytest.raises(GarbledError):
            discovery_events.decode_event(4, kind, payload)


def test_the_change_log_is_resumed_after_the_last_event_whatever_it_sends(monkeypatch):
    monkeypatch.setattr(discovery_watch, "MIN_BACKOFF", 0.1 / 32)
    monkeypatch.setattr(discovery_watch, "MAX_BACKOFF", 0.1 / 2)
    got, since = queue.SimpleQueue(), queue.SimpleQueue()
    purge = struct.pack(">HQ", 17, 1)
    scripts = iter(
        [
            framed(5, 4, purge) + framed(5, 4, purge),
            framed(6, 9),
            struct.pack(">IQB", 3, 6, 0),
            struct.pack(">IQB", 1 << 31, 6, 0),
            framed(4, 4, purge) + framed(6, 0) + framed(6, 4, purge),
        ]
    )

    def serve(server):
        for script in scripts:
            sock, _ = server.accept()
            since.put(struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0])
            sock.sendall(script)
            sock.shutdown(socket.SHUT_WR)

    with socket.create_server(("127.0.0.1", 0)) as server:
        threading.Thread(target=serve, args=(server,), daemon=True).start()
        discovery_watch.DiscoveryWatch(server.getsockname(), 4, got.put).start()
        assert [got.get(timeout=5), got.get(timeout=5)] == [("purge", ("", 17, 1))] * 2
        assert [since.get(timeout=5) for _ in range(5)] == [4, 5, 5, 5, 5]
        assert got.empty()


def test_the_last_event_number_changes_after_the_event_was_passed_on():
    log, received = Log([(5, 4, struct.pack(">HQ", 17, 1))]), queue.SimpleQueue()
    watch = discovery_watch.DiscoveryWatch(
        ("127.0.0.1", log.port), 4, lambda event, number: received.put((watch.last, number))
    )
    watch.start()
    assert received.get(timeout=5) == (4, 5)
    log.close()


def test_a_silent_change_log_is_reconnected_and_a_moved_one_followed():
    """A connection to a change log that has moved or that hangs stays open without sending anything."""
    first, second = Log(), Log([(5, 4, struct.pack(">HQ", 17, 1))])
    got = queue.SimpleQueue()
    watch = discovery_watch.DiscoveryWatch(("127.0.0.1", first.port), 4, got.put)
    watch.start()
    assert first.since.get(timeout=5) == 4
    started_at = time.monotonic()
    assert first.since.get(timeout=5) == 4 and time.monotonic() - started_at < 3, (
        "silence counts against the gateway from 4 s on"
    )
    watch.move(("127.0.0.1", second.port))
    assert second.since.get(timeout=1) == 4, "the move is followed at once"
    assert got.get(timeout=5) == ("purge", ("", 17, 1))
    for log in (first, second):
        log.close()


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def fail(conn, items):
    raise ZeroDivisionError("an exception in the handler")


@pytest.mark.parametrize(
    "end, act",
    [
        (CloseReason.CLOSED, lambda conn, sock: sock.close()),
        (CloseReason.RESET, lambda conn, sock: reset(sock)),
        (CloseReason.GARBLED, lambda conn, sock: sock.sendall(b"HTTP/1.1 200 OK\r\n")),
        (CloseReason.FAULT, lambda conn, sock: sock.sendall(encode(b"1", b"data"))),
        (CloseReason.CHOKED, lambda conn, sock: conn.close(CloseReason.CHOKED)),
        (CloseReason.SILENT, lambda conn, sock: conn.close(CloseReason.SILENT)),
        (CloseReason.RETIRED, lambda conn, sock: conn.close(CloseReason.RETIRED)),
    ],
)
def test_each_end_of_a_connection_is_reported_once(end, act):
    closed, stand = queue.SimpleQueue(), Stand(lambda stand, sock, items: act(conn, sock))
    conn = Connection(fail, closed.put, target=ConnectTarget(("127.0.0.1", stand.port), 5))
    conn.start()
    conn.send(encode(b"go"))
    assert closed.get(timeout=5).close_reason is end
    conn.close(CloseReason.CLOSED)
    assert conn.close_reason is end and conn.sock.fileno() >= -1 and closed.empty()
    stand.close()


def test_refused_and_timed_out_connects_are_distinguished():
    closed = queue.SimpleQueue()
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        Connection(fail, closed.put, target=ConnectTarget(server.getsockname(), 5)).start()
        assert closed.get(timeout=5).close_reason is CloseReason.REFUSED
        server.listen(0)  # the queue takes one; further connects get no answer
        full = []
        for _ in range(3):
            full.append(socket.socket())
            full[-1].setblocking(False)
            full[-1].connect_ex(server.getsockname())
        conn = Connection(fail, closed.put, target=ConnectTarget(server.getsockname(), 0.2))
        position = conn.send(b"never out")
        conn.start()
        assert closed.get(timeout=5).close_reason is CloseReason.UNMADE and position > conn.written
        for sock in full:
            sock.close()


def test_no_connection_is_left_that_has_not_carried_the_request():
    """An id identifies one dispatch per connection. If the request has used all connections that the pool may
    have, it cannot be sent, which is no failure of the cache."""
    backend, config = Backend("c"), from_protocol(ENV)
    upstream = Upstream(UpstreamCallbacks(print, lambda: 0, print, print), config, 2)
    upstream.add_backend(backend, ("127.0.0.1", 9))
    pool = upstream.pools[backend]
    pool.connections = [
        UpstreamConnection(pool, print, print, target=ConnectTarget(pool.address, 0.0)) for _ in range(2)
    ]
    client_request = SimpleNamespace(connections=list(pool.connections))
    assert upstream.dispatch(Attempt(client_request, backend, 2, b"r", b"", 0)) is CloseReason.NO_LINE
    assert OUTCOMES[CloseReason.NO_LINE] == "unsent"
    assert upstream.dispatch(Attempt(SimpleNamespace(connections=[]), backend, 0, b"s", b"", 0)) is None


def test_unsent_data_is_sent_later_completely_and_in_order():
    """A sender is not blocked by a peer that does not read; a message of which nothing was sent can be
    withdrawn."""
    ours, theirs = socket.socketpair()
    conn = Connection(fail, lambda conn: None, ours)
    parts = [bytes([n]) * 100_000 for n in range(30)]
    positions = [conn.send(part) for part in parts]
    assert conn.unsent_bytes() > 0 and conn.written < positions[-1]
    assert conn.withdraw(positions[-1]) and not conn.withdraw(positions[0])
    want, got = b"".join(parts[:-1]), bytearray()
    theirs.settimeout(5)
    while len(got) < len(want):
        got += theirs.recv(1 << 20)
    assert bytes(got) == want
    with conn.lock:
        assert conn.drained.wait_for(lambda: not conn.unsent_bytes(), 5)


def test_every_close_reason_has_an_outcome():
    assert set(OUTCOMES) == set(CloseReason)
    not_executed = {
        end for end, outcome in OUTCOMES.items() if outcome in ("unreached", "miss", "full", "unsent")
    }
    assert not_executed == {
        CloseReason.REFUSED,
        CloseReason.UNMADE,
        CloseReason.NO_LINE,
        CloseReason.UNWRITTEN,
        CloseReason.ABSENT,
        CloseReason.FULL,
        CloseReason.MOOT,
    }
