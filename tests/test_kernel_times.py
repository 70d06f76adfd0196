"""Rigs date what they read and write by the kernel. Their own lateness must cause no breach, and faults of a
gateway must still be found. A stand-in gateway commits each fault on real sockets; if it is late itself,
that only makes the fault larger.
"""

import dataclasses
import select
import socket
import threading
import time
from collections import Counter

import pytest

from lilacloft.net.resp import CLIENT_MESSAGE_SIZES, encode, encode_fields, parse_fields
from rigs import load as load_module
from rigs import scene as scene_module
from rigs.checker import DISCONNECT_GRACE, SLACK, TIMEOUT_SLACK, Limits, check
from rigs.inprocess import until
from rigs.kernel_times import (
    JIFFY,
    LAST_DATA_SENT,
    MILLISECONDS_PER_SECOND,
    SO_TIMESTAMPNS,
    TCP_INFO_SIZE,
    TimestampedBuffer,
    closed_by_peer_at,
    timestamp_received_bytes,
    write_timed,
)
from rigs.load import Link, Load
from rigs.scene import Scene, body
from rigs.stands import Stand

LATE = 0.5  # seconds by which the rig is delayed, where a test delays it
ALLOW = 0.5  # client timeout in seconds
CANCEL_WAIT = 0.008  # seconds from an undo to the next dispatch
LIMITS = Limits(cold={"small": (0.2, 15.0, 2.0)}, attempts=True)


@dataclasses.dataclass
class ReceivedRequest:
    """A request that the stand-in gateway received; `at` is the Unix time at which its kernel had it."""

    gateway: "StandInGateway"
    sock: socket.socket
    tag: bytes
    ref: bytes
    fields: dict
    at: float
    forgotten: threading.Event = dataclasses.field(default_factory=threading.Event)
    forgotten_at: float = 0.0

    def wait_until(self, seconds):
        """Wait until `seconds` after the kernel had the request."""
        wait_for_time(self.at + seconds)

    def answer(self):
        data = body(self.fields["lookup"], int(self.fields["nth"]), time.time(), 200)
        self.sock.sendall(encode(self.tag, b"200", b"", data))
        self.gateway.sent["answer"] += 1
        self.note_lateness(self.at + ALLOW + SLACK)

    def dispatch(self, sock, more=0.0):
        """Dispatch the request to a backend, with the remaining time and `more` seconds as its limit."""
        computed_at = time.time()
        fields = {
            "profile": "clip",
            "thing": self.fields["lookup"],
            "nth": self.fields["nth"],
            "max": int(1000 * (ALLOW - (computed_at - self.at) + more)),
        }
        sock.sendall(encode(b"do", self.ref, encode_fields(fields.items())))
        self.gateway.sent["do"] += 1
        self.note_lateness(computed_at + TIMEOUT_SLACK)
        if self.forgotten_at:
            self.note_lateness(self.forgotten_at + DISCONNECT_GRACE + SLACK)

    def note_lateness(self, limit):
        """Record whether this gateway was late itself, as on a machine with more work than cores."""
        self.gateway.was_late |= time.time() > limit - 2 * JIFFY

    def undo(self, sock):
        sock.sendall(encode(b"undo", self.ref))
        self.gateway.sent["undo"] += 1

    def close(self, sock):
        sock.close()
        self.gateway.sent["closed"] += 1


class StandInGateway(Stand):
    """A gateway that runs a function of the test for each request."""

    def __init__(self, scene, act):
        self.scene, self.act = scene, act
        self.buffers, self.received, self.boxes = {}, {}, []
        self.sent = Counter()  # number of messages by the kind of the entry that each causes
        self.finished = threading.Event()
        self.was_late = False  # by its own clock; if so, it causes breaches itself
        super().__init__(self._handle_message, scene.gateways[0].port)

    def new_buffer(self, sock):
        self.buffers[sock] = TimestampedBuffer(sock, CLIENT_MESSAGE_SIZES)
        return self.buffers[sock]

    def _handle_message(self, stand, sock, items):
        at = self.buffers[sock].received_at
        if items[0] == b"FORGET":
            received = self.received[sock, items[1]]
            received.forgotten_at = at
            received.forgotten.set()
            return
        fields = parse_fields(items[3])
        received = self.received[sock, items[1]] = ReceivedRequest(
            self, sock, items[1], fields["ref"].encode(), fields, at
        )
        threading.Thread(target=self._run, args=(received,), daemon=True).start()

    def _run(self, received):
        self.act(received)
        self.finished.set()

    def box(self, place):
        """A connection to a cache that stays open until the test ends or closes it."""
        sock = socket.create_connection(("127.0.0.1", self.scene.caches[place].port), 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.boxes.append(sock)
        return sock


def wait_for_time(at):
    """Wait until a Unix time."""
    while (left := at - time.time()) > 0:
        time.sleep(left)


class LateBuffer(TimestampedBuffer):
    """A buffer whose thread is late for each read."""

    def read_from(self, sock):
        select.select([sock], [], [], 20)
        time.sleep(LATE)
        return super().read_from(sock)


def write_late(sock, data):
    time.sleep(LATE)
    return write_timed(sock, data)


@pytest.fixture(params=["in time", "boxes read late", "clients read late", "clients write late"])
def world(request, tmp_path, monkeypatch):
    """A scene with silent caches, in which one kind of party is delayed."""
    if request.param == "boxes read late":
        monkeypatch.setattr(scene_module, "TimestampedBuffer", LateBuffer)
    elif request.param == "clients read late":
        monkeypatch.setattr(load_module, "TimestampedBuffer", LateBuffer)
    elif request.param == "clients write late":
        monkeypatch.setattr(load_module, "write_timed", write_late)
    scene = Scene(tmp_path, 1, caches=2, parents=1)
    for box in scene.caches:
        box.silent = True
    yield scene
    scene.close()


def breaches(scene, act, forgets=False):
    """Send one request, which the gateway handles by `act`; returns the breaches that the checker finds, and
    whether the gateway was late itself."""
    gateway = StandInGateway(scene, act)
    load = Load(scene, 1.0, mix=(("clip", 1.0),))
    load.allows = (int(1000 * ALLOW),)
    asked = load.make()
    try:
        load.link(asked, fresh=True)
        if forgets:
            (link,) = load.links[gateway.port]
            link.forget(asked.ref)
        assert gateway.finished.wait(5)
        until(lambda: all_read(scene, gateway))
        return [breach.text for breach in check(scene.account.sorted(), LIMITS)], gateway.was_late
    finally:
        for sock in gateway.boxes:
            sock.close()
        gateway.break_off()
        gateway.close()


def all_read(scene, gateway):
    """Whether all messages of the gateway have been read."""
    read = Counter(entry["what"] for entry in scene.account.sorted())
    return all(read[what] >= count for what, count in gateway.sent.items())


# --- injected faults ---


def answer_late(received):
    received.wait_until(ALLOW + SLACK + 0.06)
    received.answer()


def dispatch_with_excess_time(received):
    received.dispatch(received.gateway.box(0), more=TIMEOUT_SLACK + 0.01 + 0.001)
    received.answer()


def close_unanswered(received):
    received.wait_until(0.1)
    received.sock.shutdown(socket.SHUT_RDWR)
    received.gateway.sent["lost"] += 1


def resend_before_undo(received):
    first, second = received.gateway.box(0), received.gateway.box(1)
    received.dispatch(first)
    time.sleep(0.02)
    received.dispatch(second)
    time.sleep(0.002)
    received.undo(first)
    received.answer()


def resend_before_close(received):
    first, second = received.gateway.box(0), received.gateway.box(1)
    received.dispatch(first)
    time.sleep(0.02)
    received.dispatch(second)
    time.sleep(0.002)
    received.close(first)
    received.answer()


def dispatch_after_forget(received):
    assert received.forgotten.wait(5)
    wait_for_time(received.forgotten_at + DISCONNECT_GRACE + SLACK + 0.01)
    received.dispatch(received.gateway.box(0), more=-ALLOW)


FAULTS = [
    (answer_late, "too late", False),
    (dispatch_with_excess_time, "more than its client has", False),
    (close_unanswered, "lost", False),
    (resend_before_undo, "out twice", False),
    (resend_before_close, "out twice", False),
    (dispatch_after_forget, "after its client left", True),
]


@pytest.mark.parametrize("act, text, forgets", FAULTS)
def test_injected_fault_is_found_when_the_rig_is_late(world, act, text, forgets):
    found, _ = breaches(world, act, forgets)
    assert any(text in breach for breach in found), found


# --- behaviour without faults ---


def answer_in_time(received):
    received.wait_until(ALLOW - LATE + 2 * SLACK)  # a delayed client reads it after the deadline
    received.answer()


def dispatch_with_remaining_time(received):
    received.dispatch(received.gateway.box(0))
    received.answer()


def resend_after_undo(received):
    first, second = received.gateway.box(0), received.gateway.box(1)
    received.dispatch(first)
    time.sleep(0.02)
    received.undo(first)
    time.sleep(CANCEL_WAIT)
    received.dispatch(second)
    received.answer()


def resend_after_close(received):
    """The kernel dates a close to within two jiffies."""
    first, second = received.gateway.box(0), received.gateway.box(1)
    received.dispatch(first)
    time.sleep(0.02)
    received.close(first)
    time.sleep(3 * JIFFY)
    received.dispatch(second)
    received.answer()


def dispatch_at_forget(received):
    assert received.forgotten.wait(5)
    received.dispatch(received.gateway.box(0), more=-ALLOW)


CORRECT_ACTIONS = [
    (answer_in_time, False),
    (dispatch_with_remaining_time, False),
    (resend_after_undo, False),
    (resend_after_close, False),
    (dispatch_at_forget, True),
]


@pytest.mark.parametrize("act, forgets", CORRECT_ACTIONS)
def test_correct_gateway_has_no_breach_when_the_rig_is_late(world, act, forgets):
    found, was_late = breaches(world, act, forgets)
    assert found == [] or was_late


def test_request_that_crosses_a_close_is_resent_when_the_client_reads_late(tmp_path, monkeypatch):
    monkeypatch.setattr(load_module, "TimestampedBuffer", LateBuffer)
    scene = Scene(tmp_path, 1, caches=1, parents=1)
    load = Load(scene, 1.0)
    try:
        with socket.create_server(("127.0.0.1", scene.gateways[0].port)) as server:
            server.settimeout(5)
            asked = load.make()
            load.link(asked, fresh=True)
            first, _ = server.accept()
            assert first.recv(1 << 16)
            first.close()
            second, _ = server.accept()
            assert second.recv(1 << 16)
            second.close()
    finally:
        scene.close()
    assert asked.again and asked.crossed < load_module.CROSSING_SECONDS


def test_answer_after_an_unread_undo_is_no_breach(tmp_path, monkeypatch):
    """The backend answers after the undo has arrived and before it reads it; by then another backend has the
    request."""
    monkeypatch.setattr(scene_module, "TimestampedBuffer", LateBuffer)
    scene = Scene(tmp_path, 1, caches=2, parents=1)
    scene.caches[0].slow = LATE - 0.1
    scene.caches[1].silent = True

    def act(received):
        first, second = received.gateway.box(0), received.gateway.box(1)
        received.answer()
        received.dispatch(first)
        wait_for_time(received.at + LATE + 0.05)  # the backend has read the dispatch
        received.undo(first)
        time.sleep(CANCEL_WAIT)
        received.dispatch(second)

    try:
        found, was_late = breaches(scene, act)
        assert found == [] or was_late
        entries = scene.account.sorted()
    finally:
        scene.close()
    ended = next(entry for entry in entries if entry["what"] == "end")
    undone = next(entry for entry in entries if entry["what"] == "undo")
    assert undone["at"] - undone["late"] < ended["at"] < undone["at"]


# --- kernel times ---


@pytest.fixture
def pair():
    """Both ends of a loopback connection; the second has kernel timestamps enabled."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        timestamp_received_bytes(server)
        near = socket.create_connection(server.getsockname(), 5)
        far, _ = server.accept()
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    yield near, far
    near.close()
    far.close()


def test_received_bytes_have_kernel_time(pair):
    near, far = pair
    buffer = TimestampedBuffer(far)
    for _ in range(3):
        before = time.time()
        near.sendall(b"x")
        after = time.time()
        time.sleep(0.1)
        assert buffer.read_from(far) == 1
        assert before <= buffer.received_at < after + 0.05


def test_bytes_read_together_have_time_of_the_last(pair):
    near, far = pair
    buffer = TimestampedBuffer(far)
    near.sendall(b"x")
    time.sleep(0.1)
    before = time.time()
    near.sendall(b"y")
    time.sleep(0.1)
    assert buffer.read_from(far) == 2 and buffer.received_at >= before


def test_time_without_timestamp_is_within_two_jiffies_and_never_early(pair):
    near, far = pair
    buffer = TimestampedBuffer(far)
    far.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 0)
    for _ in range(10):
        before = time.time()
        near.sendall(b"x")
        after = time.time()
        time.sleep(0.1)
        assert buffer.read_from(far) == 1
        assert before <= buffer.received_at < after + 2 * JIFFY + 0.05


@pytest.mark.parametrize("behind", [b"", b"more"])
def test_close_is_dated_neither_before_its_arrival_nor_at_its_reading(pair, behind):
    near, far = pair
    near.sendall(b"x")
    time.sleep(0.1)
    before = time.time()
    near.close()
    after = time.time()
    time.sleep(0.2)
    if behind:  # data sent to a peer that has closed makes the time no earlier
        far.sendall(behind)
    assert far.recv(10) == b"x"
    closed_at = closed_by_peer_at(far)
    assert before <= closed_at
    assert behind or closed_at < after + 2 * JIFFY + 0.05


@pytest.mark.parametrize("ends", ["shut down here", "reset there"])
def test_close_without_kernel_time_is_dated_at_its_reading(pair, ends):
    near, far = pair
    near.sendall(b"x")
    time.sleep(0.05)
    if ends == "reset there":
        near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        near.close()
    else:
        far.shutdown(socket.SHUT_RDWR)
    time.sleep(0.1)
    before = time.time()
    assert closed_by_peer_at(far) >= before


class SlowSocket:
    """A socket whose thread is delayed before and after it sends."""

    def __init__(self, sock, before, after):
        self.sock, self.before, self.after, self.sent_at = sock, before, after, (0.0, 0.0)

    def sendall(self, data):
        time.sleep(self.before)
        began = time.time()
        self.sock.sendall(data)
        self.sent_at = (began, time.time())
        time.sleep(self.after)

    def getsockopt(self, *args):
        return self.sock.getsockopt(*args)


@pytest.mark.parametrize("before, after", [(0.0, 0.0), (0.2, 0.0), (0.0, 0.2), (0.1, 0.1)])
def test_write_is_never_dated_late_nor_much_too_early(pair, before, after):
    sock = SlowSocket(pair[0], before, after)
    for _ in range(5):
        written_at = write_timed(sock, b"x" * 100)
        assert sock.sent_at[0] - 2 * JIFFY - 0.05 <= written_at <= sock.sent_at[1]


class LateTicks(SlowSocket):
    """A socket of a kernel that has not counted the last jiffy yet, for a period that began with a jiffy."""

    def getsockopt(self, *args):
        since = time.time() - self.sent_at[1]
        counted = JIFFY * (int(since / JIFFY) - 1)
        return LAST_DATA_SENT.pack(round(counted * MILLISECONDS_PER_SECOND)).ljust(TCP_INFO_SIZE, b"\0")


def test_write_is_not_dated_late_when_a_jiffy_is_counted_late(pair):
    for wait in (0.1, 0.1 + JIFFY / 4, 0.1 + JIFFY / 2, 0.1 + 3 * JIFFY / 4):
        sock = LateTicks(pair[0], 0.1, wait)
        written_at = write_timed(sock, b"x" * 100)
        assert sock.sent_at[0] - 3 * JIFFY - 0.05 <= written_at <= sock.sent_at[1]


def test_failed_write_is_dated_at_its_start(pair):
    near, _ = pair
    near.sendall(b"x")
    near.close()
    before = time.time()
    assert before <= write_timed(near, b"y") <= time.time()


# --- the checker, on both sides of each limit ---


def entry(at, what, who="clients", **more):
    return {"at": at, "who": who, "what": what, "ref": "r", **more}


def request(**more):
    fields = {"vhost": "v", "effect": "replayable", "key": "k", "part": 0, "group": 7}
    return entry(0.0, "req", allow=1.0, kbytes=400.0, **fields, **more)


def answer(at, **more):
    return entry(at, "answer", word="200", whole=True, born=None, **more)


def do(at, box="a", **more):
    return entry(at, "do", box, conn=1, next=None, **more)


def found(*entries):
    ordered = sorted([request(), *entries], key=lambda one: one["at"])
    return [breach.text for breach in check(ordered, LIMITS)]


@pytest.mark.parametrize("late", [None, 0.0, 0.2])
@pytest.mark.parametrize("beyond, is_breach", [(-0.001, False), (0.001, True)])
class TestEachLimit:
    """`late` None: the entry has no such field."""

    @staticmethod
    def lag(late):
        return ({}, 0.0) if late is None else ({"late": late}, late)

    @pytest.mark.parametrize("written", [None, 0.0, 0.3])
    def test_late_answer(self, late, beyond, is_breach, written):
        fields, lag = self.lag(late)
        entries = [] if written is None else [entry(written, "written")]
        at = (written or 0.0) + 1.0 + SLACK + beyond
        assert any("too late" in text for text in found(*entries, answer(at + lag, **fields))) == is_breach

    def test_late_answer_to_resent_request(self, late, beyond, is_breach):
        fields, lag = self.lag(late)
        again = [entry(0.1, "written"), entry(0.5, "written", crossed=0.04)]
        at = 0.5 - 0.04 + 1.0 + SLACK + beyond
        assert any("too late" in text for text in found(*again, answer(at + lag, **fields))) == is_breach

    def test_limit_of_a_dispatch(self, late, beyond, is_breach):
        fields, lag = self.lag(late)
        limit = 1.0 - 0.4 + TIMEOUT_SLACK + beyond
        texts = found(entry(0.1, "written"), do(0.5 + lag, limit=limit, **fields), answer(0.9))
        assert any("told" in text for text in texts) == is_breach

    def test_attempt_after_forget(self, late, beyond, is_breach):
        fields, lag = self.lag(late)
        texts = found(
            entry(0.2, "left"), do(0.2 + DISCONNECT_GRACE + SLACK + beyond + lag, limit=0.1, **fields)
        )
        assert any("begun" in text for text in texts) == is_breach

    @pytest.mark.parametrize("what", ["undo", "closed"])
    @pytest.mark.parametrize("is_answered", [False, True])
    def test_two_concurrent_dispatches(self, late, beyond, is_breach, what, is_answered):
        """Backend b gets the request at 0.3; backend a ends it at about that time, and may have answered
        before."""
        fields, lag = self.lag(late)
        over = entry(0.3 + beyond + lag, what, "a", conn=1, **fields)
        end = [entry(0.3 + lag, "end", "a", conn=1, word="data")] if is_answered and lag else []
        texts = found(do(0.1), do(0.3, "b"), over, *end, answer(0.9))
        assert any("out twice" in text for text in texts) == is_breach

    def test_second_dispatch_that_lay_unread(self, late, beyond, is_breach):
        fields, lag = self.lag(late)
        texts = found(do(0.1), entry(0.3 + beyond, "undo", "a", conn=1), do(0.3 + lag, "b", **fields))
        assert any("out twice" in text for text in texts) == is_breach

    def test_dispatch_to_leaving_backend(self, late, beyond, is_breach):
        fields, lag = self.lag(late)
        listed = entry(0.0, "listed", "log", backend="a", state="leaving", started=0.0)
        texts = found(listed, do(1.0 + SLACK + beyond + lag, **fields))
        assert any("leaving" in text for text in texts) == is_breach


def test_cold_limit_uses_arrival_times_of_dispatches():
    """Sixty dispatches in six seconds are within the limit of a cold backend, but read all at once they
    looked like a breach."""
    listed = entry(
        0.0, "listed", "log", backend="a", state="active", started=0.01, capacity=5.0, kind="small"
    )
    spread = [do(6.2 + at / 1000, late=6.2 + at / 1000 - 0.1 * at) for at in range(1, 61)]
    at_once = [do(6.2 + at / 1000, late=0.0) for at in range(1, 61)]
    assert not any("cold for" in text for text in found(listed, *spread))
    assert any("cold for" in text for text in found(listed, *at_once))


def test_request_entry_is_never_later_than_its_write(tmp_path):
    scene = Scene(tmp_path, 1, caches=1, parents=1)
    gateway = StandInGateway(scene, lambda received: received.answer())
    load = Load(scene, 1.0)
    try:
        for pause in (0.0, 0.03):
            asked = load.make()
            load.link(asked, fresh=True, pause=pause)
            until(
                lambda asked=asked: any(
                    one["what"] == "answer" and one["ref"] == asked.ref for one in scene.account.sorted()
                )
            )
        entries = scene.account.sorted()
        assert isinstance(load.links[gateway.port][0], Link)
    finally:
        gateway.break_off()
        gateway.close()
        scene.close()
    sent = {one["ref"]: one["at"] for one in entries if one["what"] == "req"}
    written = {one["ref"]: one["at"] for one in entries if one["what"] == "written"}
    had = {one["ref"]: one["at"] - one["late"] for one in entries if one["what"] == "answer"}
    assert len(sent) == 2 and sent.keys() == written.keys() == had.keys()
    assert all(sent[ref] <= written[ref] <= had[ref] for ref in sent)


def test_a_timestamped_buffer_reads_large_elements_whole():
    """Guards against a stand-in that counts the bytes of a large element twice and takes its connection for
    malformed."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        writer = socket.create_connection(server.getsockname())
        reader = server.accept()[0]
    buffer, body = TimestampedBuffer(reader, (8, 20, 64, 48_000)), bytes(range(250)) * 190
    sender = threading.Thread(target=writer.sendall, args=(encode(b"do", b"1", b"-", body) * 3,))
    sender.start()
    found = []
    while len(found) < 3 and buffer.read_from(reader):
        while (items := buffer.next_message()) is not None:
            found.append(items)
    sender.join()
    assert found == [[b"do", b"1", b"-", body]] * 3
    reader.close()
    writer.close()
