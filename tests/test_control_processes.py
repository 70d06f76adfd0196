"""Tests of the control plane over the network: messages, connections and processes."""

import queue
import random
import re
import socket
import time

import pytest

from lilacloft.__main__ import main
from lilacloft.config.addresses import address, parse_named_addresses
from lilacloft.config.reader import SettingsError, load
from lilacloft.control import codec
from lilacloft.control.codec import FRAME, HEAD, WireError
from lilacloft.control.health_aggregation import Observation
from lilacloft.control.leader_lease import PlanId
from lilacloft.control.messages import (
    GossipMessage,
    LoadReport,
    Plan,
    PlanReply,
    QuotaLease,
    QuotaRequest,
    apply_delta,
    diff,
)
from lilacloft.control.planner_server import PlannerServer
from lilacloft.control.transport import MAX_QUEUED_FRAMES, Client, Connection, Server
from lilacloft.failover.failover_state import FailoverDirective, FailoverStatus
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.membership.table import MemberRow
from rigs.planes import Options, Planners, run
from rigs.scene import Scene
from rigs.stands import unused


def body(data):
    return codec.decode_message(data[HEAD.size :])


@pytest.mark.parametrize("seed", range(40))
def test_messages_survive_encoding_and_decoding(seed):
    rng = random.Random(seed)

    def random_tuple(make, limit=4):
        return tuple(make(number) for number in range(rng.randrange(limit)))

    quota_requests = random_tuple(lambda number: QuotaRequest(number, f"b{number}", rng.random(), 50_000))
    quota_leases = random_tuple(lambda number: QuotaLease(number, f"b{number}", rng.random(), 10, 20_000))
    report = LoadReport(
        "f1",
        7,
        9,
        3,
        44,
        12.5,
        {"clip": 3.5},
        {"clip": 0.5},
        {
            f"b{number}": Observation(number, 2, 3, 4, bool(number % 2), 1.5)
            for number in range(rng.randrange(5))
        },
        {"b1": (0.25, 0.1)},
        quota_requests,
        quota_leases,
        PlanId(2, 3, "p1"),
        rng.random() < 0.5,
    )
    assert codec.decode_report(body(codec.encode_report(report)).summary) == report

    def random_plan(number):
        return Plan(
            PlanId(1, number, "p"),
            number,
            {f"b{rng.randrange(4)}": "why"},
            {f"b{rng.randrange(4)}": "f1"},
            {"b1": rng.random()},
            {rng.randrange(3): 2.5},
            {f"f{rng.randrange(3)}": 0.5},
            {rng.randrange(2): ("f0", "f1")},
        )

    first, second = random_plan(1), random_plan(2)
    for reply in (
        PlanReply("p0", 1, 2, 30_000, first, None, quota_requests, quota_leases, True),
        PlanReply("p0", 1, 2, 30_000, None, diff(first, second)),
        PlanReply("p0", 1, 2),
    ):
        assert codec.decode_reply(body(codec.encode_reply(reply)).reply) == reply
    gossip = GossipMessage("p0", 1, 2, 3, (MemberRow("f1", "forwarder", 2, 1, "a:1", 500, "alive"),))
    assert codec.decode_gossip(body(codec.encode_gossip(gossip)).word) == gossip


def test_invalid_frames_are_rejected_and_unknown_fields_skipped():
    data = codec.encode_gossip(GossipMessage("p0", 1, 2, 3))
    assert codec.message_length(data[: HEAD.size]) == len(data) - HEAD.size
    for invalid in (b"GET / HTT", HEAD.pack(b"llpl", 0, 5), HEAD.pack(b"llpl", 1, 1 << 30)):
        with pytest.raises(WireError):
            codec.message_length(invalid)
    with pytest.raises(WireError):
        codec.decode_message(b"\xff\xff\xff")
    with_unknown_field = data[HEAD.size :] + b"\xfa\x3f\x03abc"  # a field that is not in the schema
    assert codec.decode_gossip(codec.decode_message(with_unknown_field).word) == GossipMessage("p0", 1, 2, 3)
    frame = FRAME()
    frame.hello.name, frame.hello.newest, frame.hello.oldest = "x", 9, 5
    with pytest.raises(WireError, match="supports versions 5 to 9"):
        codec.negotiate_version(frame.hello)
    unknown_section = body(
        codec.encode_reply(PlanReply("p0", 1, 2, 3, None, diff(Plan(PlanId(1)), Plan(PlanId(2)))))
    )
    unknown_section.reply.delta.gone.add(key="b", value="weather")
    with pytest.raises(WireError, match="weather"):
        codec.decode_reply(unknown_section.reply)


def test_addresses_are_checked():
    assert parse_named_addresses("a=h:1,b=127.0.0.1:65535") == {"a": ("h", 1), "b": ("127.0.0.1", 65535)}
    for invalid in ("", "a", "a=h", "=h:1", "a=h:0", "a=h:1,a=h:2", "a=h:x"):
        with pytest.raises(ValueError):
            parse_named_addresses(invalid)
    with pytest.raises(ValueError):
        address("h")


def test_frames_pass_in_both_directions_and_the_client_reconnects():
    client_queue, server_queue = queue.SimpleQueue(), queue.SimpleQueue()
    port = unused()
    server = Server(
        ("127.0.0.1", port),
        lambda: codec.encode_hello("p0", "planner", 1),
        lambda connection, message: server_queue.put((connection, message)),
    )
    client = Client(
        ("127.0.0.1", port),
        lambda: codec.encode_hello("f0", "forwarder", 1),
        lambda connection, message: client_queue.put(message),
    )
    try:
        connection, message = server_queue.get(timeout=5)
        assert message.hello.name == "f0" and client_queue.get(timeout=5).hello.name == "p0"
        assert client.send(codec.encode_gossip(GossipMessage("f0", 1, 0, 0)))
        assert server_queue.get(timeout=5)[1].word.name == "f0"
        connection.send(codec.encode_answer(["one"]))
        assert list(client_queue.get(timeout=5).shown.lines) == ["one"]
        connection.close()
        assert server_queue.get(timeout=5)[1].hello.name == "f0" and client.connects == 2
    finally:
        client.close()
        server.close()


def test_invalid_data_closes_only_its_own_connection():
    server_queue = queue.SimpleQueue()
    port = unused()
    server = Server(
        ("127.0.0.1", port),
        lambda: codec.encode_hello("p0", "planner", 1),
        lambda connection, message: server_queue.put(message),
    )
    try:
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            HEAD.pack(b"llpl", 1, 3) + b"\xff\xff\xff",
            codec.encode_gossip(GossipMessage("x", 1, 0, 0)),
            codec.encode_hello("x", "forwarder", 1) + b"nonsense!",
        ):
            with socket.create_connection(("127.0.0.1", port), 5) as sock:
                sock.settimeout(5)
                sock.sendall(data)
                while sock.recv(4096):
                    pass
        with socket.create_connection(("127.0.0.1", port), 5) as sock:
            sock.sendall(codec.encode_hello("f9", "forwarder", 1))
            names = [server_queue.get(timeout=5).hello.name for _ in range(2)]
        assert names == ["x", "f9"]
    finally:
        server.close()


def test_queue_for_a_slow_peer_is_bounded_and_keeps_the_newest_frames():
    near_socket, far_socket = socket.socketpair()
    connection = Connection(
        near_socket, codec.encode_hello("p0", "planner", 1), lambda *_: None, lambda *_: None
    )
    for number in range(MAX_QUEUED_FRAMES + 5):
        connection.send(b"%d" % number)
    assert (
        list(connection.queue) == [b"%d" % number for number in range(5, MAX_QUEUED_FRAMES + 5)]
        and connection.dropped == 5
    )
    connection.start()
    far_socket.settimeout(5)
    data = far_socket.recv(4096)
    while len(data) < len(connection.hello) + MAX_QUEUED_FRAMES:
        data += far_socket.recv(4096)
    assert data == connection.hello + b"5678"  # the hello comes first, even though frames were dropped
    far_socket.close()


def test_planner_settings_are_read_and_errors_reported(tmp_path):
    path = tmp_path / "s.sexp"
    path.write_text('(lilacloft (plan (planners "p0=127.0.0.1:7001, p1=127.0.0.1:7002")))')
    assert load(str(path))["plan"]["planners"]["p1"] == ("127.0.0.1", 7002)
    path.write_text('(lilacloft (plan (planners "p0")))')
    with pytest.raises(SettingsError, match="NAME=HOST:PORT"):
        load(str(path))
    assert main(["plan", "serve", "--name", "p9", "--planners", "p0=127.0.0.1:1"]) == 2
    assert main(["plan", "show", "nowhere"]) == 2


def test_queued_events_are_handled_even_if_ticks_take_longer_than_their_interval():
    """While each tick took too long, leases and reports were not handled, and the queue grew."""
    server, handled = PlannerServer.__new__(PlannerServer), []
    server.queue = queue.SimpleQueue()
    for number in range(10):
        server._post(handled.append, number)
    server._post(lambda: 1 // 0)
    server._post(handled.append, 10)
    server._handle_events(time.monotonic() - 1.0)
    assert handled == list(range(11))


def test_planner_crashes_and_restarts_break_no_rule():
    report = run(Options(forwarders=3, planners=3, seconds=4.0, rate=60.0, seed=2))
    assert report["kills"] + report["stops"] > 0 and report["plans_taken"] >= 3
    assert not report["first"] and not report["faults"] and report["done"] > 0.9
    assert "plan" in report["shown"][0]


def epoch(line):
    """The epoch of the plan in the first line of `plan show`."""
    return int(re.search(r"issues; plan (\d+)\.", line)[1])


def test_operators_can_query_plans_and_explanations(tmp_path):
    scene = Scene(tmp_path, 1, caches=4, gateways=2)
    planners = Planners(scene, 3)
    try:
        for name in planners.addresses:
            planners.start(name)
        for gateway in scene.gateways:
            gateway.start(*gateway.settings(f'(plan (planners "{planners.setting}"))'))
        deadline = time.monotonic() + 15
        shown: list[str] = []
        while time.monotonic() < deadline and not (
            "p0 issues" in " ".join(shown) and "forwarder n1" in " ".join(shown)
        ):
            time.sleep(0.1)
            shown = planners.query("p0", "show")
        assert shown[0].startswith("p0 issues; plan") and any("forwarder n1" in line for line in shown)
        explanation = planners.query("p0", "explain", scene.caches[0].name)
        assert f"{scene.caches[0].name} is in use" in explanation
        assert "->" in planners.query("p0", "diff")[0]
        first_epoch = epoch(planners.query("p0", "show")[0])
        planners.kill("p0")
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline and "p1 issues" not in " ".join(planners.query("p1", "show")):
            time.sleep(0.1)
        second_epoch = epoch(planners.query("p1", "show")[0])
        # a new epoch; on a slow machine leases expire, and there may be several
        assert second_epoch > first_epoch
        planners.start("p0")
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline and "p0 issues" not in " ".join(planners.query("p0", "show")):
            time.sleep(0.1)
        # the restarted planner knows the epochs from before its restart
        assert epoch(planners.query("p0", "show")[0]) > second_epoch
    finally:
        planners.close()
        scene.close()


def test_location_failover_fields_survive_encoding_and_decoding():
    report = LoadReport(
        "f1",
        7,
        9,
        3,
        observations={"b": Observation(1, 2, 3, 4, True, 1.5, 5, 60, 7, 8)},
        requested_rate=12.5,
        uncached_rate=3.25,
        tallies={2: OutcomeCounts(5, 4, 3, 2), -1: OutcomeCounts(1)},
        location_states={2: FailoverStatus(40, 3), -1: FailoverStatus(0, 0)},
    )
    assert codec.decode_report(body(codec.encode_report(report)).summary) == report
    first = Plan(
        PlanId(1, 2, "p"),
        3,
        locations={0: FailoverDirective(0, 1, 4.25, "f1", "its caches fail"), -2: FailoverDirective(63)},
    )
    second = Plan(PlanId(1, 3, "p"), 3, locations={-2: FailoverDirective(64, 2)})
    for reply in (
        PlanReply("p0", 1, 2, 30_000, first),
        PlanReply("p0", 1, 2, 30_000, None, diff(first, second)),
    ):
        assert codec.decode_reply(body(codec.encode_reply(reply)).reply) == reply
    assert apply_delta(first, diff(first, second)) == second
