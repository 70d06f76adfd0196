"""What parties of a rig read and write is dated by the kernel: their own lateness makes no breach, and what a
gateway does wrong is found all the same. A stand-in gateway plants each fault, on real sockets; its own
lateness only makes a fault larger."""

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
from rigs.checker import GONE, SLACK, TIME_SLACK, Limits, check
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

LATE = 0.5  # seconds by which the rig comes to things, where it is made late
ALLOW = 0.5  # seconds that clients wait
CANCEL_WAIT = 0.008  # seconds from an undo to the next dispatch
LIMITS = Limits(cold={"small": (0.2, 15.0, 2.0)}, attempts=True)


@dataclasses.dataclass
class Taken:
    """A request as the stand-in gateway has it; `at`: when its kernel had it, in Unix time."""

    gateway: "StandInGateway"
    sock: socket.socket
    tag: bytes
    ref: bytes
    fields: dict
    at: float
    forgotten: threading.Event = dataclasses.field(default_factory=threading.Event)
    forgotten_at: float = 0.0

    def wait_until(self, seconds):
        """Until so long after the kernel had the request."""
        wait_for_time(self.at + seconds)

    def answer(self):
        data = body(self.fields["lookup"], int(self.fields["nth"]), time.time(), 200)
        self.sock.sendall(encode(self.tag, b"200", b"", data))
        self.gateway.sent["answer"] += 1
        self.note_lateness(self.at + ALLOW + SLACK)

    def dispatch(self, sock, more=0.0):
        """Send it to a box, with the time that is left and `more` seconds."""
        computed_at = time.time()
        told = {
            "profile": "clip",
            "thing": self.fields["lookup"],
            "nth": self.fields["nth"],
            "max": int(1000 * (ALLOW - (computed_at - self.at) + more)),
        }
        sock.sendall(encode(b"do", self.ref, encode_fields(told.items())))
        self.gateway.sent["do"] += 1
        self.note_lateness(computed_at + TIME_SLACK)
        if self.forgotten_at:
            self.note_lateness(self.forgotten_at + GONE + SLACK)

    def note_lateness(self, limit):
        """On a machine with more work than cores it may be late itself."""
        self.gateway.was_late |= time.time() > limit - 2 * JIFFY

    def undo(self, sock):
        sock.sendall(encode(b"undo", self.ref))
        self.gateway.sent["undo"] += 1

    def close(self, sock):
        sock.close()
        self.gateway.sent["closed"] += 1


class StandInGateway(Stand):
    """Does with each request what the test says."""

    def __init__(self, scene, act):
        self.scene, self.act = scene, act
        self.buffers, self.taken, self.boxes = {}, {}, []
        self.sent = Counter()  # by kind of the entry that is to come of it
        self.finished = threading.Event()
        self.was_late = False  # by its own clock; then a breach is its own doing
        super().__init__(self._says, scene.gateways[0].port)

    def new_buffer(self, sock):
        self.buffers[sock] = TimestampedBuffer(sock, CLIENT_MESSAGE_SIZES)
        return self.buffers[sock]

    def _says(self, stand, sock, items):
        at = self.buffers[sock].received_at
        if items[0] == b"FORGET":
            taken = self.taken[sock, items[1]]
            taken.forgotten_at = at
            taken.forgotten.set()
            return
        fields = parse_fields(items[3])
        taken = self.taken[sock, items[1]] = Taken(self, sock, items[1], fields["ref"].encode(), fields, at)
        threading.Thread(target=self._run, args=(taken,), daemon=True).start()

    def _run(self, taken):
        self.act(taken)
        self.finished.set()

    def box(self, place):
        """A connection to a cache; it stays open until the test ends, or closes it."""
        sock = socket.create_connection(("127.0.0.1", self.scene.caches[place].port), 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.boxes.append(sock)
        return sock


def wait_for_time(at):
    """Until a Unix time has come."""
    while (left := at - time.time()) > 0:
        time.sleep(left)


class LateBuffer(TimestampedBuffer):
    """One whose thread comes to each read late."""

    def read_from(self, sock):
        select.select([sock], [], [], 20)
        time.sleep(LATE)
        return super().read_from(sock)


def writes_late(sock, data):
    time.sleep(LATE)
    return write_timed(sock, data)


@pytest.fixture(params=["in time", "boxes read late", "clients read late", "clients write late"])
def world(request, tmp_path, monkeypatch):
    """A scene with silent caches, of which one kind of party is late."""
    if request.param == "boxes read late":
        monkeypatch.setattr(scene_module, "TimestampedBuffer", LateBuffer)
    elif request.param == "clients read late":
        monkeypatch.setattr(load_module, "TimestampedBuffer", LateBuffer)
    elif request.param == "clients write late":
        monkeypatch.setattr(load_module, "write_timed", writes_late)
    scene = Scene(tmp_path, 1, caches=2, parents=1)
    for box in scene.caches:
        box.silent = True
    yield scene
    scene.close()


def breaches(scene, act, forgets=False):
    """One request, with which the gateway does something; what the checker says of it, and whether the
    gateway was late itself."""
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
    """Has everybody read what the gateway sent?"""
    read = Counter(entry["what"] for entry in scene.account.sorted())
    return all(read[what] >= count for what, count in gateway.sent.items())


# --- faults that are planted ---


def answers_late(taken):
    taken.wait_until(ALLOW + SLACK + 0.06)
    taken.answer()


def tells_too_much(taken):
    taken.dispatch(taken.gateway.box(0), more=TIME_SLACK + 0.01 + 0.001)
    taken.answer()


def closes_unanswered(taken):
    taken.wait_until(0.1)
    taken.sock.shutdown(socket.SHUT_RDWR)
    taken.gateway.sent["lost"] += 1


def sends_before_the_undo(taken):
    first, second = taken.gateway.box(0), taken.gateway.box(1)
    taken.dispatch(first)
    time.sleep(0.02)
    taken.dispatch(second)
    time.sleep(0.002)
    taken.undo(first)
    taken.answer()


def sends_before_the_close(taken):
    first, second = taken.gateway.box(0), taken.gateway.box(1)
    taken.dispatch(first)
    time.sleep(0.02)
    taken.dispatch(second)
    time.sleep(0.002)
    taken.close(first)
    taken.answer()


def begins_for_one_who_left(taken):
    assert taken.forgotten.wait(5)
    wait_for_time(taken.forgotten_at + GONE + SLACK + 0.01)
    taken.dispatch(taken.gateway.box(0), more=-ALLOW)


PLANTED = [
    (answers_late, "too late", False),
    (tells_too_much, "more than its client has", False),
    (closes_unanswered, "lost", False),
    (sends_before_the_undo, "out twice", False),
    (sends_before_the_close, "out twice", False),
    (begins_for_one_who_left, "after its client left", True),
]


@pytest.mark.parametrize("act, text, forgets", PLANTED)
def test_a_planted_fault_is_found_however_late_the_rig_is(world, act, text, forgets):
    found, _ = breaches(world, act, forgets)
    assert any(text in breach for breach in found), found


# --- what keeps the rules ---


def answers_in_time(taken):
    taken.wait_until(ALLOW - LATE + 2 * SLACK)  # when a late client reads it, the time is over
    taken.answer()


def tells_what_is_left(taken):
    taken.dispatch(taken.gateway.box(0))
    taken.answer()


def sends_after_the_undo(taken):
    first, second = taken.gateway.box(0), taken.gateway.box(1)
    taken.dispatch(first)
    time.sleep(0.02)
    taken.undo(first)
    time.sleep(CANCEL_WAIT)
    taken.dispatch(second)
    taken.answer()


def sends_after_the_close(taken):
    """The kernel tells of a close to two jiffies."""
    first, second = taken.gateway.box(0), taken.gateway.box(1)
    taken.dispatch(first)
    time.sleep(0.02)
    taken.close(first)
    time.sleep(3 * JIFFY)
    taken.dispatch(second)
    taken.answer()


def begins_and_hears_that_its_client_left(taken):
    assert taken.forgotten.wait(5)
    taken.dispatch(taken.gateway.box(0), more=-ALLOW)


KEPT = [
    (answers_in_time, False),
    (tells_what_is_left, False),
    (sends_after_the_undo, False),
    (sends_after_the_close, False),
    (begins_and_hears_that_its_client_left, True),
]


@pytest.mark.parametrize("act, forgets", KEPT)
def test_who_keeps_the_rules_is_not_blamed_for_a_rig_that_is_late(world, act, forgets):
    found, was_late = breaches(world, act, forgets)
    assert found == [] or was_late


def test_a_request_that_crosses_a_close_which_the_client_reads_late_is_sent_again(tmp_path, monkeypatch):
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
    assert asked.again and asked.crossed < load_module.CROSSES


def test_a_box_that_answers_what_was_given_up_in_its_kernel_makes_no_breach(tmp_path, monkeypatch):
    """Its answer comes after the undo did and before it reads that; by then another box has the request."""
    monkeypatch.setattr(scene_module, "TimestampedBuffer", LateBuffer)
    scene = Scene(tmp_path, 1, caches=2, parents=1)
    scene.caches[0].slow = LATE - 0.1
    scene.caches[1].silent = True

    def act(taken):
        first, second = taken.gateway.box(0), taken.gateway.box(1)
        taken.answer()
        taken.dispatch(first)
        wait_for_time(taken.at + LATE + 0.05)  # it has read the dispatch
        taken.undo(first)
        time.sleep(CANCEL_WAIT)
        taken.dispatch(second)

    try:
        found, was_late = breaches(scene, act)
        assert found == [] or was_late
        entries = scene.account.sorted()
    finally:
        scene.close()
    ended = next(entry for entry in entries if entry["what"] == "end")
    undone = next(entry for entry in entries if entry["what"] == "undo")
    assert undone["at"] - undone["late"] < ended["at"] < undone["at"]


# --- the kernel's times ---


@pytest.fixture
def pair():
    """Two ends of a connection on loopback; the second tells when bytes came."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        timestamp_received_bytes(server)
        near = socket.create_connection(server.getsockname(), 5)
        far, _ = server.accept()
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    yield near, far
    near.close()
    far.close()


def test_bytes_are_dated_by_when_the_kernel_had_them(pair):
    near, far = pair
    buffer = TimestampedBuffer(far)
    for _ in range(3):
        before = time.time()
        near.sendall(b"x")
        after = time.time()
        time.sleep(0.1)
        assert buffer.read_from(far) == 1
        assert before <= buffer.received_at < after + 0.05


def test_of_bytes_that_are_read_together_the_last_counts(pair):
    near, far = pair
    buffer = TimestampedBuffer(far)
    near.sendall(b"x")
    time.sleep(0.1)
    before = time.time()
    near.sendall(b"y")
    time.sleep(0.1)
    assert buffer.read_from(far) == 2 and buffer.received_at >= before


def test_without_a_timestamp_the_time_is_within_two_jiffies_and_never_too_early(pair):
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
def test_a_close_is_never_dated_before_it_came_nor_as_late_as_it_is_read(pair, behind):
    near, far = pair
    near.sendall(b"x")
    time.sleep(0.1)
    before = time.time()
    near.close()
    after = time.time()
    time.sleep(0.2)
    if behind:  # what is sent to who has closed makes the time no earlier
        far.sendall(behind)
    assert far.recv(10) == b"x"
    closed_at = closed_by_peer_at(far)
    assert before <= closed_at
    assert behind or closed_at < after + 2 * JIFFY + 0.05


@pytest.mark.parametrize("ends", ["shut down here", "reset there"])
def test_a_close_that_the_kernel_does_not_date_counts_from_its_reading(pair, ends):
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
    """A socket whose thread is kept from running before and after it sends."""

    def __init__(self, sock, before, after):
        self.sock, self.before, self.after, self.sent_at = sock, before, after, (0.0, 0.0)

    def sendall(self, data):
        time.sleep(self.before)
        began = time.time()
        self.sock.sendall(data)
        self.sent_at = (began, time.time())
        time.sleep(self.after)

    def getsockopt(self, *told):
        return self.sock.getsockopt(*told)


@pytest.mark.parametrize("before, after", [(0.0, 0.0), (0.2, 0.0), (0.0, 0.2), (0.1, 0.1)])
def test_a_write_is_never_dated_later_than_it_was_nor_much_earlier(pair, before, after):
    sock = SlowSocket(pair[0], before, after)
    for _ in range(5):
        written_at = write_timed(sock, b"x" * 100)
        assert sock.sent_at[0] - 2 * JIFFY - 0.05 <= written_at <= sock.sent_at[1]


class LateTicks(SlowSocket):
    """A socket of a kernel that has not counted the last jiffy yet, of a time that began with a jiffy."""

    def getsockopt(self, *told):
        since = time.time() - self.sent_at[1]
        counted = JIFFY * (int(since / JIFFY) - 1)
        return LAST_DATA_SENT.pack(round(counted * MILLISECONDS_PER_SECOND)).ljust(TCP_INFO_SIZE, b"\0")


def test_a_write_is_not_dated_later_where_a_jiffy_is_counted_late(pair):
    for wait in (0.1, 0.1 + JIFFY / 4, 0.1 + JIFFY / 2, 0.1 + 3 * JIFFY / 4):
        sock = LateTicks(pair[0], 0.1, wait)
        written_at = write_timed(sock, b"x" * 100)
        assert sock.sent_at[0] - 3 * JIFFY - 0.05 <= written_at <= sock.sent_at[1]


def test_a_write_that_fails_counts_from_its_beginning(pair):
    near, _ = pair
    near.sendall(b"x")
    near.close()
    before = time.time()
    assert before <= write_timed(near, b"y") <= time.time()


# --- the checker, on both sides of each bound ---


def entry(at, what, who="clients", **more):
    return {"at": at, "who": who, "what": what, "ref": "r", **more}


def request(**more):
    told = {"vhost": "v", "effect": "replayable", "key": "k", "part": 0, "group": 7}
    return entry(0.0, "req", allow=1.0, kbytes=400.0, **told, **more)


def answer(at, **more):
    return entry(at, "answer", word="200", whole=True, born=None, **more)


def do(at, box="a", **more):
    return entry(at, "do", box, conn=1, next=None, **more)


def found(*entries):
    told = sorted([request(), *entries], key=lambda one: one["at"])
    return [breach.text for breach in check(told, LIMITS)]


@pytest.mark.parametrize("late", [None, 0.0, 0.2])
@pytest.mark.parametrize("beyond, is_breach", [(-0.001, False), (0.001, True)])
class TestEachBound:
    """`late` None: the entry does not say it."""

    @staticmethod
    def lag(late):
        return ({}, 0.0) if late is None else ({"late": late}, late)

    @pytest.mark.parametrize("written", [None, 0.0, 0.3])
    def test_of_a_late_answer(self, late, beyond, is_breach, written):
        told, lag = self.lag(late)
        entries = [] if written is None else [entry(written, "written")]
        at = (written or 0.0) + 1.0 + SLACK + beyond
        assert any("too late" in text for text in found(*entries, answer(at + lag, **told))) == is_breach

    def test_of_a_late_answer_to_what_was_sent_again(self, late, beyond, is_breach):
        told, lag = self.lag(late)
        again = [entry(0.1, "written"), entry(0.5, "written", crossed=0.04)]
        at = 0.5 - 0.04 + 1.0 + SLACK + beyond
        assert any("too late" in text for text in found(*again, answer(at + lag, **told))) == is_breach

    def test_of_what_is_told(self, late, beyond, is_breach):
        told, lag = self.lag(late)
        limit = 1.0 - 0.4 + TIME_SLACK + beyond
        texts = found(entry(0.1, "written"), do(0.5 + lag, limit=limit, **told), answer(0.9))
        assert any("told" in text for text in texts) == is_breach

    def test_of_an_attempt_for_who_left(self, late, beyond, is_breach):
        told, lag = self.lag(late)
        texts = found(entry(0.2, "left"), do(0.2 + GONE + SLACK + beyond + lag, limit=0.1, **told))
        assert any("begun" in text for text in texts) == is_breach

    @pytest.mark.parametrize("what", ["undo", "closed"])
    @pytest.mark.parametrize("is_answered", [False, True])
    def test_of_two_out_at_once(self, late, beyond, is_breach, what, is_answered):
        """Box b has the request at 0.3; box a gives it up at about then, and may have answered meanwhile."""
        told, lag = self.lag(late)
        over = entry(0.3 + beyond + lag, what, "a", conn=1, **told)
        end = [entry(0.3 + lag, "end", "a", conn=1, word="data")] if is_answered and lag else []
        texts = found(do(0.1), do(0.3, "b"), over, *end, answer(0.9))
        assert any("out twice" in text for text in texts) == is_breach

    def test_of_a_second_dispatch_that_lay_unread(self, late, beyond, is_breach):
        told, lag = self.lag(late)
        texts = found(do(0.1), entry(0.3 + beyond, "undo", "a", conn=1), do(0.3 + lag, "b", **told))
        assert any("out twice" in text for text in texts) == is_breach

    def test_of_a_drain(self, late, beyond, is_breach):
        told, lag = self.lag(late)
        listed = entry(0.0, "listed", "log", backend="a", state="leaving", started=0.0)
        texts = found(listed, do(1.0 + SLACK + beyond + lag, **told))
        assert any("leaving" in text for text in texts) == is_breach


def test_cold_boxes_are_judged_by_when_dispatches_came_and_not_by_when_they_are_read():
    """Sixty in six seconds are no more than a cold box bears; read all at once they looked like it."""
    listed = entry(
        0.0, "listed", "log", backend="a", state="active", started=0.01, capacity=5.0, kind="small"
    )
    spread = [do(6.2 + at / 1000, late=6.2 + at / 1000 - 0.1 * at) for at in range(1, 61)]
    at_once = [do(6.2 + at / 1000, late=0.0) for at in range(1, 61)]
    assert not any("cold for" in text for text in found(listed, *spread))
    assert any("cold for" in text for text in found(listed, *at_once))


def test_a_client_says_nothing_of_a_request_later_than_it_writes_it(tmp_path):
    scene = Scene(tmp_path, 1, caches=1, parents=1)
    gateway = StandInGateway(scene, lambda taken: taken.answer())
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
