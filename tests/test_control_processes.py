"""Gateways and planners on the wire: messages, connections, processes."""

import queue
import random
import re
import socket
import time

import pytest

from lilacloft.__main__ import main
from lilacloft.config.addresses import address, named
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
def test_all_that_is_told_reads_the_same(seed):
    chance = random.Random(seed)

    def some(make, most=4):
        return tuple(make(number) for number in range(chance.randrange(most)))

    asks = some(lambda number: QuotaRequest(number, f"b{number}", chance.random(), 50_000))
    given = some(lambda number: QuotaLease(number, f"b{number}", chance.random(), 10, 20_000))
    summary = LoadReport(
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
            for number in range(chance.randrange(5))
        },
        {"b1": (0.25, 0.1)},
        asks,
        given,
        PlanId(2, 3, "p1"),
        chance.random() < 0.5,
    )
    assert codec.decode_report(body(codec.encode_report(summary)).summary) == summary

    def plan(number):
        return Plan(
            PlanId(1, number, "p"),
            number,
            {f"b{chance.randrange(4)}": "why"},
            {f"b{chance.randrange(4)}": "f1"},
            {"b1": chance.random()},
            {chance.randrange(3): 2.5},
            {f"f{chance.randrange(3)}": 0.5},
            {chance.randrange(2): ("f0", "f1")},
        )

    one, two = plan(1), plan(2)
    for reply in (
        PlanReply("p0", 1, 2, 30_000, one, None, asks, given, True),
        PlanReply("p0", 1, 2, 30_000, None, diff(one, two)),
        PlanReply("p0", 1, 2),
    ):
        assert codec.decode_reply(body(codec.encode_reply(reply)).reply) == reply
    word = GossipMessage("p0", 1, 2, 3, (MemberRow("f1", "forwarder", 2, 1, "a:1", 500, "alive"),))
    assert codec.decode_gossip(body(codec.encode_gossip(word)).word) == word


def test_what_is_no_frame_is_told_and_what_is_newer_is_skipped():
    data = codec.encode_gossip(GossipMessage("p0", 1, 2, 3))
    assert codec.message_length(data[: HEAD.size]) == len(data) - HEAD.size
    for wrong in (b"GET / HTT", HEAD.pack(b"llpl", 0, 5), HEAD.pack(b"llpl", 1, 1 << 30)):
        with pytest.raises(WireError):
            codec.message_length(wrong)
    with pytest.raises(WireError):
        codec.decode_message(b"\xff\xff\xff")
    newer = data[HEAD.size :] + b"\xfa\x3f\x03abc"  # a field that nobody here knows
    assert codec.decode_gossip(codec.decode_message(newer).word) == GossipMessage("p0", 1, 2, 3)
    old = FRAME()
    old.hello.name, old.hello.newest, old.hello.oldest = "x", 9, 5
    with pytest.raises(WireError, match="supports versions 5 to 9"):
        codec.negotiate_version(old.hello)
    bad = body(codec.encode_reply(PlanReply("p0", 1, 2, 3, None, diff(Plan(PlanId(1)), Plan(PlanId(2))))))
    bad.reply.delta.gone.add(key="b", value="weather")
    with pytest.raises(WireError, match="weather"):
        codec.decode_reply(bad.reply)


def test_addresses_are_checked():
    assert named("a=h:1,b=127.0.0.1:65535") == {"a": ("h", 1), "b": ("127.0.0.1", 65535)}
    for wrong in ("", "a", "a=h", "=h:1", "a=h:0", "a=h:1,a=h:2", "a=h:x"):
        with pytest.raises(ValueError):
            named(wrong)
    with pytest.raises(ValueError):
        address("h")


def test_frames_pass_both_ways_and_a_way_is_made_again_when_it_ends():
    here, there = queue.SimpleQueue(), queue.SimpleQueue()
    port = unused()
    server = Server(
        ("127.0.0.1", port),
        lambda: codec.encode_hello("p0", "planner", 1),
        lambda peer, message: there.put((peer, message)),
    )
    client = Client(
        ("127.0.0.1", port),
        lambda: codec.encode_hello("f0", "forwarder", 1),
        lambda peer, message: here.put(message),
    )
    try:
        peer, message = there.get(timeout=5)
        assert message.hello.name == "f0" and here.get(timeout=5).hello.name == "p0"
        assert client.send(codec.encode_gossip(GossipMessage("f0", 1, 0, 0)))
        assert there.get(timeout=5)[1].word.name == "f0"
        peer.send(codec.encode_answer(["one"]))
        assert list(here.get(timeout=5).shown.lines) == ["one"]
        peer.close()
        assert there.get(timeout=5)[1].hello.name == "f0" and client.connects == 2
    finally:
        client.close()
        server.close()


def test_nonsense_ends_its_own_connection_only():
    there = queue.SimpleQueue()
    port = unused()
    server = Server(
        ("127.0.0.1", port),
        lambda: codec.encode_hello("p0", "planner", 1),
        lambda peer, message: there.put(message),
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
            names = [there.get(timeout=5).hello.name for _ in range(2)]
        assert names == ["x", "f9"]
    finally:
        server.close()


def test_what_waits_for_a_slow_peer_is_bounded_and_the_newest_is_kept():
    one, other = socket.socketpair()
    peer = Connection(one, codec.encode_hello("p0", "planner", 1), lambda *_: None, lambda *_: None)
    for number in range(MAX_QUEUED_FRAMES + 5):
        peer.send(b"%d" % number)
    assert (
        list(peer.queue) == [b"%d" % number for number in range(5, MAX_QUEUED_FRAMES + 5)]
        and peer.dropped == 5
    )
    peer.start()
    other.settimeout(5)
    data = other.recv(4096)
    while len(data) < len(peer.hello) + MAX_QUEUED_FRAMES:
        data += other.recv(4096)
    assert data == peer.hello + b"5678"  # the hello is first, whatever was dropped
    other.close()


def test_settings_name_planners_and_what_is_wrong_is_told(tmp_path):
    path = tmp_path / "s.sexp"
    path.write_text('(lilacloft (plan (planners "p0=127.0.0.1:7001, p1=127.0.0.1:7002")))')
    assert load(str(path))["plan"]["planners"]["p1"] == ("127.0.0.1", 7002)
    path.write_text('(lilacloft (plan (planners "p0")))')
    with pytest.raises(SettingsError, match="NAME=HOST:PORT"):
        load(str(path))
    assert main(["plan", "serve", "--name", "p9", "--planners", "p0=127.0.0.1:1"]) == 2
    assert main(["plan", "show", "nowhere"]) == 2


def test_what_waits_at_a_planner_is_handled_though_its_tick_took_longer_than_the_time_between_two():
    """Leases and reports starved, and the queue grew, as long as each tick took too long."""
    server, handled = PlannerServer.__new__(PlannerServer), []
    server.queue = queue.SimpleQueue()
    for number in range(10):
        server._post(handled.append, number)
    server._post(lambda: 1 // 0)
    server._post(handled.append, 10)
    server._handle_events(time.monotonic() - 1.0)
    assert handled == list(range(11))


def test_planners_die_and_come_back_and_no_rule_is_broken():
    report = run(Options(forwarders=3, planners=3, seconds=4.0, rate=60.0, seed=2))
    assert report["kills"] + report["stops"] > 0 and report["plans_taken"] >= 3
    assert not report["first"] and not report["faults"] and report["done"] > 0.9
    assert "plan" in report["shown"][0]


def epoch(line):
    """Of the plan in the first line of `plan show`."""
    return int(re.search(r"issues; plan (\d+)\.", line)[1])


def test_an_operator_is_told_why(tmp_path):
    scene = Scene(tmp_path, 1, caches=4, gateways=2)
    planners = Planners(scene, 3)
    try:
        for one in planners.addresses:
            planners.start(one)
        for gateway in scene.gateways:
            gateway.start(*gateway.settings(f'(plan (planners "{planners.setting}"))'))
        until = time.monotonic() + 15
        shown: list[str] = []
        while time.monotonic() < until and not (
            "p0 issues" in " ".join(shown) and "forwarder n1" in " ".join(shown)
        ):
            time.sleep(0.1)
            shown = planners.query("p0", "show")
        assert shown[0].startswith("p0 issues; plan") and any("forwarder n1" in line for line in shown)
        told = planners.query("p0", "explain", scene.caches[0].name)
        assert f"{scene.caches[0].name} is in use" in told
        assert "->" in planners.query("p0", "diff")[0]
        issued = epoch(planners.query("p0", "show")[0])
        planners.kill("p0")
        until = time.monotonic() + 15
        while time.monotonic() < until and "p1 issues" not in " ".join(planners.query("p1", "show")):
            time.sleep(0.1)
        taken = epoch(planners.query("p1", "show")[0])
        assert taken > issued  # a new epoch; on a slow machine leases run out, and there are more
        planners.start("p0")
        until = time.monotonic() + 15
        while time.monotonic() < until and "p0 issues" not in " ".join(planners.query("p0", "show")):
            time.sleep(0.1)
        assert epoch(planners.query("p0", "show")[0]) > taken  # it knew the epochs before
    finally:
        planners.close()
        scene.close()


def test_what_is_told_of_locations_reads_the_same_and_an_older_reader_skips_it():
    summary = LoadReport(
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
    assert codec.decode_report(body(codec.encode_report(summary)).summary) == summary
    one = Plan(
        PlanId(1, 2, "p"),
        3,
        locations={0: FailoverDirective(0, 1, 4.25, "f1", "its caches fail"), -2: FailoverDirective(63)},
    )
    two = Plan(PlanId(1, 3, "p"), 3, locations={-2: FailoverDirective(64, 2)})
    for reply in (PlanReply("p0", 1, 2, 30_000, one), PlanReply("p0", 1, 2, 30_000, None, diff(one, two))):
        assert codec.decode_reply(body(codec.encode_reply(reply)).reply) == reply
    assert apply_delta(one, diff(one, two)) == two
