"""Whole gateway processes that replace each other: with open requests, partial messages and failures."""

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
from rigs.scene import booked
from rigs.stands import World, encode, record, serves, silent

CLIP = bytes(range(256)) * 800
# starting: well before the change log's silence counts, as that of the stands says nothing
LIMITS = "(starting 3s) (warming 3s) (taking 1s) (committed 1s) (letting-go 4s)"


@pytest.fixture
def world(tmp_path):
    with booked(tmp_path, limits=LIMITS) as make:
        yield make


def booked_answer(ref):
    return encode(ref, b"data", b"remark=TCP_MISS", b"booked")


def assert_nothing_more_sent(cache, ref, wait=0.2):
    """Assert that no more attempts of a request come."""
    until = time.monotonic() + wait
    while time.monotonic() < until:
        while not cache.seen.empty():
            _, _, items = cache.seen.get()
            assert items[0] != b"do" or items[1] != ref, "sent twice"
        time.sleep(0.01)


@pytest.mark.parametrize("step", [*STEPS, "old", "fine"])
def test_a_request_in_flight_is_sent_once_and_answered_once_wherever_the_receiver_fails(world, step):
    world = world(silent)
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat", allow=8000)
    _, sock, items = world.caches[0].next()
    limits = {"hang": 1.0}.get(step)
    if limits:  # the answer comes while the new process hangs
        threading.Timer(limits, lambda: sock.sendall(booked_answer(items[1]))).start()
    elif step == "old":  # open reqs stay with the old process, which waits for this one
        threading.Timer(0.6, lambda: sock.sendall(booked_answer(items[1]))).start()
    done, why = world.upgrade(step)
    assert done == (step in ("fine", "old")), why
    if step not in ("hang", "old"):
        sock.sendall(booked_answer(items[1]))
    assert asker.answer() == [tag, b"200", b"", b"booked"]
    assert_nothing_more_sent(world.caches[0], items[1])
    tag = asker.ask(b"book", body=b"seat")  # on the same connection, whoever has it now
    _, sock, items = world.caches[0].next()
    sock.sendall(booked_answer(items[1]))
    assert asker.answer() == [tag, b"200", b"", b"booked"]
    if not done:
        world.told("upgrade: idle")
        assert world.upgrade()[0]  # and the next attempt goes well


def test_an_answer_that_comes_with_the_commit_is_delivered_once(world):
    world = world(silent)
    asker = world.asker()
    for moment in ("taking", "taking", "committed", "committed", "letting_go", "ready"):
        tag = asker.ask(b"book", body=b"seat")
        _, sock, items = world.caches[0].next()

        def answer(phase, moment=moment, sock=sock, items=items):
            if phase.phase == moment:
                sock.sendall(booked_answer(items[1]))

        assert world.upgrade(seen=answer) == (True, "")
        assert asker.answer() == [tag, b"200", b"", b"booked"]
        assert_nothing_more_sent(world.caches[0], items[1], 0.05)


def test_if_the_receiver_dies_after_its_acknowledgement_the_sender_serves_and_sends_nothing_again(world):
    world = world(silent)
    asker = world.asker()
    asker.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    done, why = world.upgrade("taken")
    assert not done and "letting go" in why
    assert asker.answer() is None  # lost with the process that had it, as in any crash
    assert_nothing_more_sent(world.caches[0], items[1])
    again = world.asker()
    tag = again.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    sock.sendall(booked_answer(items[1]))
    assert again.answer() == [tag, b"200", b"", b"booked"]


@pytest.mark.parametrize("step", ["orphan", "orphaned"])
def test_if_the_sender_is_killed_the_receiver_continues_with_all_open_requests(world, step):
    """Before the new one has said that all is there, or by the time it does."""
    world = world(silent)
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    done, _ = world.upgrade(step)
    assert not done  # nobody is left to tell
    world.told("this process goes on")
    sock.sendall(booked_answer(items[1]))
    assert asker.answer() == [tag, b"200", b"", b"booked"]
    assert_nothing_more_sent(world.caches[0], items[1])
    waiting = world.asker()  # kept, else it closes at once
    tag = waiting.ask(b"book", body=b"seat")
    world.caches[0].next()


def once_silent():
    """Takes the first read, whose answer the test sends by halves, and answers further ones at once.

    Where the second half comes later than the gateway waits, as on a slow machine, it retries elsewhere.
    """
    reads = []

    def says(stand, sock, items):
        if items[0] == b"do" and b"profile=clip" in items[2]:
            reads.append(items)
            if len(reads) > 1:
                sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", CLIP))
        silent(stand, sock, items)

    return says


@pytest.mark.parametrize("mode", ["whole", "drain"])
def test_half_a_request_and_half_an_answer_are_completed_after_the_handover(world, mode):
    world = world(once_silent())
    asker, other = world.asker(), world.asker()
    tag = asker.ask(key=1)
    _, sock, items = world.caches[0].next()
    good = encode(items[1], b"data", b"remark=TCP_HIT", CLIP)
    sock.sendall(good[:70_000])
    told = {"ref": f"{77:016x}", "allow": 2000, "lookup": f"{2:016x}", "nth": 0, "batch": 7, "room": 400.0}
    half = encode(b"EXEC", b"5", b"book", encode_fields(told.items()), b"seat" * 50)
    other.sock.sendall(half[:60])

    def rest():
        with contextlib.suppress(OSError):  # it stood still for too long
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
    assert asker.answer() == [tag, b"200", b"", CLIP]
    _, sock, items = world.caches[0].next()
    while b"profile=book" not in items[2]:
        _, sock, items = world.caches[0].next()
    sock.sendall(booked_answer(items[1]))
    assert other.answer() == [b"5", b"200", b"", b"booked"]
    world.told("upgrade: gone")


def test_a_client_that_reads_slowly_gets_the_complete_answer(world):
    world = world(serves(CLIP))
    asker = world.asker()
    asker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    tags = [asker.ask(key=key) for key in range(8)]  # 1.6 MB: more than the sockets hold
    time.sleep(0.3)
    assert world.upgrade() == (True, "")
    assert sorted(asker.answer()[0] for _ in tags) == sorted(tags)


def test_a_cancel_reaches_a_request_that_was_transferred(world):
    world = world(silent)
    asker = world.asker()
    tag = asker.ask()
    _, sock, items = world.caches[0].next()
    assert world.upgrade() == (True, "")
    asker.send(b"FORGET", tag)
    _, again, undone = world.caches[0].next(b"undo")
    assert undone[1] == items[1] and again is sock  # on the connection that carried it
    tag = asker.ask(key=3)
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"x"))
    assert asker.answer()[:2] == [tag, b"200"]


def test_a_purge_that_only_the_sender_got_holds_in_the_receiver(world):
    world = world(serves())
    asker = world.asker()
    asker.ask(key=9)
    asker.answer()
    world.caches[0].next()

    def purge(phase):
        if phase.phase == "ready":
            world.log.add(2, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
            time.sleep(0.05)
            world.log.close()  # nobody is told again
            world.log.break_off()

    assert world.upgrade(seen=purge) == (True, "")
    asker.ask(key=9)
    assert asker.answer()[1] == b"200"
    _, _, items = world.caches[0].next()
    assert 0 < int(parse_fields(items[2])["agelim"]) < 5000


def test_a_break_of_discovery_during_the_handover_loses_no_event(world):
    world = world(serves(), serves())

    def breaks(phase):
        if phase.phase == "warming":
            world.log.break_off()
            world.log.add(2, 2, record(1, world.caches[0].port, state=1))

    assert world.upgrade(seen=breaks) == (True, "")
    asker = world.asker()
    until = time.monotonic() + 5
    while time.monotonic() < until:
        for key in range(8):
            asker.ask(key=key)
            asker.answer()
        while not world.caches[0].seen.empty():
            world.caches[0].seen.get()
        for key in range(8):
            asker.ask(key=key)
            asker.answer()
        if world.caches[0].seen.empty():
            return
    raise AssertionError("the drain was never heard of")


def test_a_second_upgrade_is_refused_and_sigterm_aborts_the_first(world):
    world = world(silent)
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    first = []
    thread = threading.Thread(target=lambda: first.append(world.upgrade("hang")))
    thread.start()
    world.told("upgrade: starting")
    done, why = world.upgrade()
    assert not done and "another upgrade is in progress (phase: starting)" in why
    world.process.terminate()
    thread.join(10)
    assert first[0][0] is False and "received SIGTERM" in first[0][1]
    sock.sendall(booked_answer(items[1]))
    assert asker.answer() == [tag, b"200", b"", b"booked"]
    assert world.process.wait(10) == 0


def test_sighup_during_the_handover_reaches_whichever_process_is_the_gateway(world):
    world = world(serves())

    def hup(phase):
        if phase.phase == "warming":
            os.kill(world.process.pid, signal.SIGHUP)
            time.sleep(0.05)

    assert world.upgrade(seen=hup) == (True, "")
    world.told("the configuration was read again", 2)  # by the old one, and by the new one as it may not have


@pytest.mark.parametrize(
    "to, told",
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
def test_a_command_that_does_not_serve_is_reported_and_the_sender_resumes(world, to, told):
    world = world(serves())
    done, why = world.upgrade(to=to)
    assert not done and re.search(told, why), why
    asker = world.asker()
    asker.ask()
    assert asker.answer()[1] == b"200"


def test_an_upgrade_without_capacity_is_refused_before_anything_starts(world):
    world = world(serves(), memory_mb=40)
    done, why = world.upgrade()
    assert not done and "insufficient resources" in why and len(world.pids) == 1


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
        with contextlib.suppress(ConnectionResetError):  # what was not read makes it one
            assert sock.recv(100) == b""
    world.told("handover: closing the connection of process")
    asker = world.asker()
    asker.ask()
    assert asker.answer()[1] == b"200"
    assert world.upgrade() == (True, "")


def test_another_user_is_refused():
    class Stranger:
        sent, closed = (), False

        def peer(self):
            return 7, os.getuid() + 1

        def send(self, kind, record, **more):
            self.sent = (*self.sent, record)

        def receive(self, *told):
            raise AssertionError("a stranger is not listened to")

        def close(self):
            self.closed = True

    listener, control = UpgradeListener.__new__(UpgradeListener), Stranger()
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
    asker = world.asker()
    for key in range(5):
        asker.ask(key=key)
        asker.answer()
    words = [
        sys.executable,
        "-m",
        "lilacloft",
        "--log-format",
        "json",
        "upgrade",
        "--handover",
        world.handover,
    ]
    told = subprocess.run(words, capture_output=True, text=True, timeout=30)
    assert told.returncode == 0, told.stderr
    phases = [json.loads(line)["record"]["extra"] for line in told.stderr.splitlines()]
    assert [one["phase"] for one in phases] == [
        "starting",
        "warming",
        "ready",
        "taking",
        "committed",
        "letting_go",
        "gone",
    ]
    world.pids.append(phases[-1]["pid"])
    asker.ask(key=1)
    asker.answer()
    os.kill(phases[-1]["pid"], signal.SIGTERM)
    assert world.told("answers: done=6")
    told = subprocess.run(words, capture_output=True, text=True, timeout=30)
    assert told.returncode == 1 and "not upgraded" in told.stderr


def test_clients_that_stay_are_transferred_one_by_one_as_they_become_idle(world):
    world = world(silent)
    askers = [world.asker() for _ in range(3)]
    tags = [asker.ask(b"book", body=b"seat") for asker in askers]
    asked = [world.caches[0].next() for _ in tags]
    for number, (_, sock, items) in enumerate(asked):
        answer = booked_answer(items[1])
        threading.Timer(0.3 + 0.2 * number, sock.sendall, (answer,)).start()
    assert world.upgrade(mode="drain") == (True, "")
    for asker, tag in zip(askers, tags, strict=True):
        assert asker.answer() == [tag, b"200", b"", b"booked"]
        tag = asker.ask(b"book", body=b"seat")
        _, sock, items = world.caches[0].next()
        sock.sendall(booked_answer(items[1]))
        assert asker.answer() == [tag, b"200", b"", b"booked"]


def test_a_supervisor_outlives_its_workers_and_forwards_signals(world):
    world = world(serves(), words=("--supervised",))
    asker = world.asker()
    asker.ask()
    assert asker.answer()[1] == b"200"

    def worker(count):
        line = world.told("supervisor: worker", count)
        return int(line.split("worker ")[1].split()[0])

    first = worker(1)
    assert world.upgrade() == (True, "")
    asker.ask()
    assert asker.answer()[1] == b"200"
    second = worker(2)
    assert second != first
    os.kill(world.process.pid, signal.SIGHUP)
    world.told("the configuration was read again")
    os.kill(world.process.pid, signal.SIGUSR1)
    world.told("answers: done=2")
    os.kill(second, signal.SIGKILL)  # the door stays open meanwhile: who comes waits
    other = world.asker()
    other.ask()
    assert other.answer()[1] == b"200"
    world.process.terminate()
    assert world.process.wait(10) == 0


def test_internal_options_are_not_in_the_original_command():
    words = [
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
    assert original_command(words) == [
        "python",
        "-m",
        "lilacloft",
        "serve",
        "--config",
        "c",
        "--handover",
        "h",
    ]


def test_the_platforms_own_command_imports_nothing_of_a_handover(tmp_path):
    """`serve` there has 32 MB at least: it carries no library that it does not use."""
    plain = World(tmp_path, python=("-X", "importtime"))
    try:
        asker = plain.asker()
        asker.ask()
        assert asker.answer()[1] == b"200"
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
