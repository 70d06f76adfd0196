"""Handovers between gateway processes, with open requests, partial messages and failures."""

import contextlib
import json
import os
import re
import signal
import socket
import stat
import subprocess
import sys
import threading
import time

import pytest

from lilacloft.handover.framing import HEADER, MessageKind, encode_frame
from lilacloft.handover.process_arguments import original_command
from lilacloft.handover.upgrade_listener import UpgradeListener
from lilacloft.net.resp import encode_fields, parse_fields
from rigs.crash import STEPS
from rigs.inprocess import until
from rigs.scene import write_worlds
from rigs.stands import World, encode, record, serves, silent

CLIP = bytes(range(256)) * 800
FULL_AGE = 10_000  # milliseconds: fresh time plus grace time in these tests
MAX_AGE_PURGED = 5_000  # milliseconds: tests go on for less than that after a purge
# starting: shorter than the time after which the simulated change log counts as silent, as it sends nothing
LIMITS = "(starting 3s) (warming 3s) (taking 1s) (committed 1s) (letting-go 4s)"


@pytest.fixture
def world(tmp_path):
    with write_worlds(tmp_path, limits=LIMITS) as make:
        yield make


def booked_answer(ref):
    return encode(ref, b"data", b"remark=TCP_MISS", b"booked")


def assert_nothing_more_sent(cache, ref, wait=0.2):
    """Assert that no further attempt of a request arrives within `wait` seconds."""
    deadline = time.monotonic() + wait
    while time.monotonic() < deadline:
        while not cache.seen.empty():
            _, _, items = cache.seen.get()
            assert items[0] != b"do" or items[1] != ref, "sent twice"
        time.sleep(0.01)


@pytest.mark.parametrize("step", [*STEPS, "old", "fine"])
def test_a_request_in_flight_is_sent_once_and_answered_once_wherever_the_receiver_fails(world, step):
    world = world(silent)
    client = world.asker()
    tag = client.ask(b"book", body=b"seat", allow=8000)
    _, sock, items = world.caches[0].next()
    answer_delay = {"hang": 1.0}.get(step)
    if answer_delay:  # the answer arrives while the receiver hangs
        threading.Timer(answer_delay, lambda: sock.sendall(booked_answer(items[1]))).start()
    elif step == "old":  # open requests stay with the sender, which waits for the answer to this one
        threading.Timer(0.6, lambda: sock.sendall(booked_answer(items[1]))).start()
    succeeded, reason = world.upgrade(step)
    assert succeeded == (step in ("fine", "old")), reason
    if step not in ("hang", "old"):
        sock.sendall(booked_answer(items[1]))
    assert client.answer() == [tag, b"200", b"", b"booked"]
    assert_nothing_more_sent(world.caches[0], items[1])
    tag = client.ask(b"book", body=b"seat")  # on the same connection, whichever process has it now
    _, sock, items = world.caches[0].next()
    sock.sendall(booked_answer(items[1]))
    assert client.answer() == [tag, b"200", b"", b"booked"]
    if not succeeded:
        world.told("upgrade: idle")
        assert world.upgrade()[0]  # the next upgrade succeeds


def test_an_answer_that_arrives_in_any_phase_is_delivered_once(world):
    world = world(silent)
    client = world.asker()
    for phase_name in ("taking", "taking", "committed", "committed", "letting_go", "ready"):
        tag = client.ask(b"book", body=b"seat")
        _, sock, items = world.caches[0].next()

        def answer(phase, phase_name=phase_name, sock=sock, items=items):
            if phase.phase == phase_name:
                sock.sendall(booked_answer(items[1]))

        assert world.upgrade(seen=answer) == (True, "")
        assert client.answer() == [tag, b"200", b"", b"booked"]
        assert_nothing_more_sent(world.caches[0], items[1], 0.05)


def test_if_the_receiver_dies_after_its_acknowledgement_the_sender_serves_and_sends_nothing_again(world):
    world = world(silent)
    client = world.asker()
    client.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    succeeded, reason = world.upgrade("taken")
    assert not succeeded and "letting go" in reason
    assert client.answer() is None  # lost with the receiver, as in any crash
    assert_nothing_more_sent(world.caches[0], items[1])
    again = world.asker()
    tag = again.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    sock.sendall(booked_answer(items[1]))
    assert again.answer() == [tag, b"200", b"", b"booked"]


@pytest.mark.parametrize("step", ["orphan", "orphaned"])
def test_if_the_sender_is_killed_the_receiver_continues_with_all_open_requests(world, step):
    """It is killed before the receiver reports the restored state; with `orphaned` it has exited by then."""
    world = world(silent)
    client = world.asker()
    tag = client.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    succeeded, _ = world.upgrade(step)
    assert not succeeded  # the process that reports the phases is gone
    world.told("this process goes on")
    sock.sendall(booked_answer(items[1]))
    assert client.answer() == [tag, b"200", b"", b"booked"]
    assert_nothing_more_sent(world.caches[0], items[1])
    waiting = world.asker()  # kept in a variable: else its connection is closed at once
    tag = waiting.ask(b"book", body=b"seat")
    world.caches[0].next()


def once_silent():
    """Leave the first read to the test, which answers it in two halves, and answer further reads at once.

    On a slow machine the second half may arrive after the gateway's timeout: it retries at another backend.
    """
    reads = []

    def handle(stand, sock, items):
        if items[0] == b"do" and b"profile=clip" in items[2]:
            reads.append(items)
            if len(reads) > 1:
                sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", CLIP))
        silent(stand, sock, items)

    return handle


@pytest.mark.parametrize("mode", ["whole", "drain"])
def test_half_a_request_and_half_an_answer_are_completed_after_the_handover(world, mode):
    world = world(once_silent())
    client, other = world.asker(), world.asker()
    tag = client.ask(key=1)
    _, sock, items = world.caches[0].next()
    good = encode(items[1], b"data", b"remark=TCP_HIT", CLIP)
    sock.sendall(good[:70_000])
    fields = {"ref": f"{77:016x}", "allow": 2000, "lookup": f"{2:016x}", "nth": 0, "batch": 7, "room": 400.0}
    half = encode(b"EXEC", b"5", b"book", encode_fields(fields.items()), b"seat" * 50)
    other.sock.sendall(half[:60])

    def rest():
        with contextlib.suppress(OSError):  # closed by the gateway after its timeout
            sock.sendall(good[70_000:])
        other.sock.sendall(half[60:])

    if mode == "whole":
        assert world.upgrade(mode=mode) == (True, "")
        rest()
    else:
        thread = threading.Thread(target=lambda: world.upgrade(mode=mode))
        thread.start()
        world.told("upgrade: letting go")
        rest()
    assert client.answer() == [tag, b"200", b"", CLIP]
    _, sock, items = world.caches[0].next()
    while b"profile=book" not in items[2]:
        _, sock, items = world.caches[0].next()
    sock.sendall(booked_answer(items[1]))
    assert other.answer() == [b"5", b"200", b"", b"booked"]
    world.told("upgrade: gone")


def test_a_client_that_reads_slowly_gets_the_complete_answer(world):
    world = world(serves(CLIP))
    client = world.asker()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    tags = [client.ask(key=key) for key in range(8)]  # 1.6 MB: more than the socket buffers hold
    time.sleep(0.3)
    assert world.upgrade() == (True, "")
    assert sorted(client.answer()[0] for _ in tags) == sorted(tags)


def test_a_cancel_reaches_a_request_that_was_transferred(world):
    world = world(silent)
    client = world.asker()
    tag = client.ask()
    _, sock, items = world.caches[0].next()
    assert world.upgrade() == (True, "")
    client.send(b"FORGET", tag)
    _, again, undone = world.caches[0].next(b"undo")
    assert undone[1] == items[1] and again is sock  # on the connection on which it was sent
    tag = client.ask(key=3)
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"x"))
    assert client.answer()[:2] == [tag, b"200"]


def test_a_purge_that_only_the_sender_got_holds_in_the_receiver(world):
    """Guards against a purge that is lost in a handover, as the log does not send it a second time."""
    world = world(serves())
    client = world.asker()

    def fetched_within():
        """The maximum age, in milliseconds, of a copy that a request accepts now."""
        client.ask(key=9)
        assert client.answer()[1] == b"200"
        return int(parse_fields(world.caches[0].next()[2][2])["agelim"])

    assert fetched_within() == FULL_AGE
    world.log.add(2, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
    until(lambda: 0 < fetched_within() < MAX_AGE_PURGED)
    world.log.frames.clear()
    assert world.upgrade() == (True, "")
    assert "event 2" in world.told("read to its end", 2)  # from then on nothing but the purge limits ages
    assert 0 < fetched_within() < MAX_AGE_PURGED


def test_a_break_of_discovery_during_the_handover_loses_no_event(world):
    world = world(serves(), serves())

    def break_discovery(phase):
        if phase.phase == "warming":
            world.log.break_off()
            world.log.add(2, 2, record(1, world.caches[0].port, state=1))

    assert world.upgrade(seen=break_discovery) == (True, "")
    client = world.asker()
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        for key in range(8):
            client.ask(key=key)
            client.answer()
        while not world.caches[0].seen.empty():
            world.caches[0].seen.get()
        for key in range(8):
            client.ask(key=key)
            client.answer()
        if world.caches[0].seen.empty():
            return
    raise AssertionError("the backend still gets requests: the event was lost")


def test_a_second_upgrade_is_refused_and_sigterm_aborts_the_first(world):
    world = world(silent)
    client = world.asker()
    tag = client.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    first = []
    thread = threading.Thread(target=lambda: first.append(world.upgrade("hang")))
    thread.start()
    world.told("upgrade: starting")
    succeeded, reason = world.upgrade()
    assert not succeeded and "another upgrade is in progress (phase: starting)" in reason
    world.process.terminate()
    thread.join(10)
    assert first[0][0] is False and "received SIGTERM" in first[0][1]
    sock.sendall(booked_answer(items[1]))
    assert client.answer() == [tag, b"200", b"", b"booked"]
    assert world.process.wait(10) == 0


def test_sighup_during_the_handover_reaches_whichever_process_is_the_gateway(world):
    world = world(serves())

    def send_sighup(phase):
        if phase.phase == "warming":
            os.kill(world.process.pid, signal.SIGHUP)
            time.sleep(0.05)

    assert world.upgrade(seen=send_sighup) == (True, "")
    # by the sender, and by the receiver, which may have read it before the change
    world.told("the configuration was read again", 2)


@pytest.mark.parametrize(
    "command, expected_reason",
    [
        ("/nowhere/lilacloft serve", "cannot be run"),
        ("'half a word", "No closing quotation"),
        (f"{sys.executable} -c pass", "exited with code 0"),
        (f"{sys.executable} -m lilacloft serve --config /nowhere", "exited with code 2"),
        (
            f"{sys.executable} -c 'import time; time.sleep(60)'",
            "time limit of 3 s exceeded|no message arrived in time",
        ),
    ],
)
def test_a_command_that_does_not_serve_is_reported_and_the_sender_resumes(world, command, expected_reason):
    world = world(serves())
    succeeded, reason = world.upgrade(to=command)
    assert not succeeded and re.search(expected_reason, reason), reason
    client = world.asker()
    client.ask()
    assert client.answer()[1] == b"200"


def test_an_upgrade_without_capacity_is_refused_before_the_receiver_starts(world):
    world = world(serves(), memory_mb=40)
    succeeded, reason = world.upgrade()
    assert not succeeded and "insufficient resources" in reason and len(world.pids) == 1


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        HEADER.pack(b"llup", 2, MessageKind.STATE, 1 << 31, 0),
        encode_frame(MessageKind.COMMIT),
        encode_frame(MessageKind.UPGRADE_REQUEST, {"to": 7}),
        encode_frame(MessageKind.UPGRADE_REQUEST)[:-1],
        b"",
    ],
)
def test_invalid_input_on_the_upgrade_socket_ends_only_that_connection(world, bad):
    world = world(serves())
    mode = os.stat(world.handover).st_mode
    assert stat.S_ISSOCK(mode) and stat.S_IMODE(mode) == 0o600
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(world.handover)
        sock.sendall(bad)
        sock.settimeout(5)
        with contextlib.suppress(ConnectionResetError):  # unread input makes it a reset
            assert sock.recv(100) == b""
    world.told("handover: closing the connection of process")
    client = world.asker()
    client.ask()
    assert client.answer()[1] == b"200"
    assert world.upgrade() == (True, "")


def test_another_user_is_refused():
    class OtherUser:
        sent, closed = (), False

        def peer(self):
            return 7, os.getuid() + 1

        def send(self, kind, message, **options):
            self.sent = (*self.sent, message)

        def receive(self, *arguments):
            raise AssertionError("a message of another user was read")

        def close(self):
            self.closed = True

    listener, control = UpgradeListener.__new__(UpgradeListener), OtherUser()
    listener.slots = threading.BoundedSemaphore(1)
    listener.slots.acquire()
    listener._serve(control)
    assert (
        control.closed
        and control.sent[0].is_final
        and "not allowed to request an upgrade" in control.sent[0].reason
    )


def test_connections_above_the_limit_are_closed(world):
    world = world(serves())
    socks = []
    for _ in range(9):
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(world.handover)
        sock.settimeout(5)
        socks.append(sock)
    assert all(sock.recv(1) == b"" for sock in socks)
    assert world.upgrade() == (True, "")
    for sock in socks:
        sock.close()


def test_counters_and_learned_state_continue_and_the_command_prints_the_phases(world):
    world = world(serves())
    client = world.asker()
    for key in range(5):
        client.ask(key=key)
        client.answer()
    command = [
        sys.executable,
        "-m",
        "lilacloft",
        "--log-format",
        "json",
        "upgrade",
        "--handover",
        world.handover,
    ]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 0, result.stderr
    phases = [json.loads(line)["record"]["extra"] for line in result.stderr.splitlines()]
    assert [phase["phase"] for phase in phases] == [
        "starting",
        "warming",
        "ready",
        "taking",
        "committed",
        "letting_go",
        "gone",
    ]
    world.pids.append(phases[-1]["pid"])
    client.ask(key=1)
    client.answer()
    os.kill(phases[-1]["pid"], signal.SIGTERM)
    assert world.told("answers: done=6")
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 1 and "not upgraded" in result.stderr


def test_in_drain_mode_clients_are_transferred_one_by_one_as_they_become_idle(world):
    world = world(silent)
    clients = [world.asker() for _ in range(3)]
    tags = [client.ask(b"book", body=b"seat") for client in clients]
    asked = [world.caches[0].next() for _ in tags]
    for number, (_, sock, items) in enumerate(asked):
        answer = booked_answer(items[1])
        threading.Timer(0.3 + 0.2 * number, sock.sendall, (answer,)).start()
    assert world.upgrade(mode="drain") == (True, "")
    for client, tag in zip(clients, tags, strict=True):
        assert client.answer() == [tag, b"200", b"", b"booked"]
        tag = client.ask(b"book", body=b"seat")
        _, sock, items = world.caches[0].next()
        sock.sendall(booked_answer(items[1]))
        assert client.answer() == [tag, b"200", b"", b"booked"]


def test_a_supervisor_outlives_its_workers_and_forwards_signals(world):
    world = world(serves(), words=("--supervised",))
    client = world.asker()
    client.ask()
    assert client.answer()[1] == b"200"

    def worker(count):
        line = world.told("supervisor: worker", count)
        return int(line.split("worker ")[1].split()[0])

    first = worker(1)
    assert world.upgrade() == (True, "")
    client.ask()
    assert client.answer()[1] == b"200"
    second = worker(2)
    assert second != first
    os.kill(world.process.pid, signal.SIGHUP)
    world.told("the configuration was read again")
    os.kill(world.process.pid, signal.SIGUSR1)
    world.told("answers: done=2")
    os.kill(second, signal.SIGKILL)  # meanwhile the listening socket stays open, and new connections wait
    other = world.asker()
    other.ask()
    assert other.answer()[1] == b"200"
    world.process.terminate()
    assert world.process.wait(10) == 0


def test_internal_options_are_not_in_the_original_command():
    command = [
        "python",
        "-m",
        "lilacloft",
        "serve",
        "--takeover",
        "7",
        "--config",
        "c",
        "--status",
        "3",
        "--listener",
        "4",
        "--handover",
        "h",
    ]
    assert original_command(command) == [
        "python",
        "-m",
        "lilacloft",
        "serve",
        "--config",
        "c",
        "--handover",
        "h",
    ]


def test_serve_without_handover_imports_no_optional_modules(tmp_path):
    """`serve` may have as little as 32 MB of memory, so it must not import libraries that it does not use."""
    plain = World(tmp_path, python=("-X", "importtime"))
    try:
        client = plain.asker()
        client.ask()
        assert client.answer()[1] == b"200"
        imported = {line.rsplit("|", 1)[1].strip() for line in plain.stop()[1].splitlines() if "|" in line}
    finally:
        plain.close()
    imported |= {line.rsplit("|", 1)[1].strip() for line in plain.early if "|" in line}
    assert "lilacloft.gateway.gateway" in imported
    unwanted = (
        "click",
        "msgspec",
        "crc32c",
        "lark",
        "lilacloft.handover",
        "lilacloft.cli",
        "lilacloft.config",
        "lilacloft.record",
        "ctypes",
    )
    assert not [name for name in imported if name.startswith(unwanted)]
