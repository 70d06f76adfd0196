"""A gateway with a store: after a kill and a restart it knows what it has sent, and its purges."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest

from lilacloft.net.resp import parse_fields
from rigs.scene import booked
from rigs.stands import encode, processes, record, serves, silent

STORE = '(store (folder "store") (patience 1s))'  # far longer than a busy machine's disk takes
BOTH = STORE + '(upgrade (handover "h.sock") (limits (starting 5s) (warming 5s) (taking 1s) (committed 1s)))'
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@pytest.fixture
def world(tmp_path):
    with booked(tmp_path, forms=STORE) as make:
        yield make


def assert_nothing_sent(cache, wait=0.3):
    time.sleep(wait)
    while not cache.seen.empty():
        assert cache.seen.get()[2][0] != b"do"


def test_a_booking_that_may_have_been_executed_is_never_sent_again_after_a_kill(world):
    world = world(silent)
    ref = f"{77:016x}"
    waiting = world.asker()  # kept, else it closes at once
    waiting.ask(b"book", body=b"seat", ref=ref)
    world.caches[0].next()
    world.killed()
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat", ref=ref)  # sent again, as it crossed the end of its connection
    assert asker.answer()[:2] == [tag, b"500"]
    assert_nothing_sent(world.caches[0])
    tag = asker.ask(b"book", body=b"seat")  # another one is sent
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_MISS", b"ok"))
    assert asker.answer()[:2] == [tag, b"200"]


def test_a_request_with_an_idempotency_key_is_sent_again_only_within_its_window(world):
    world = world(silent)
    waiting = world.asker()  # kept, else it closes at once
    waiting.ask(b"pay", body=b"fare", replay=KEY)
    world.caches[0].next()
    began = time.monotonic()
    world.killed()
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"fare", replay=KEY)
    if time.monotonic() - began < 1.5:  # on a machine that is not too slow for it
        _, sock, items = world.caches[0].next()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_MISS", b"ok"))
        assert asker.answer()[:2] == [tag, b"200"]
        assert world.caches[0].seen.empty()
    time.sleep(max(0.0, began + 2.2 - time.monotonic()))
    while not world.caches[0].seen.empty():  # on a slow machine: sent within the window, and not read above
        world.caches[0].seen.get()
    world.killed()
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"fare", replay=KEY)
    assert asker.answer()[:2] == [tag, b"503"]
    assert_nothing_sent(world.caches[0])


def test_what_was_surely_not_executed_may_be_sent_after_a_kill(world):
    world = world(lambda stand, sock, items: sock.sendall(encode(items[1], b"full", b"-")))
    ref = f"{78:016x}"
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat", ref=ref)
    assert asker.answer()[:2] == [tag, b"503"]
    time.sleep(0.2)
    world.killed()
    while not world.caches[0].seen.empty():
        world.caches[0].seen.get()
    waiting = world.asker()  # kept, else it closes at once
    waiting.ask(b"book", body=b"seat", ref=ref)
    assert world.caches[0].next()[2][0] == b"do"


def test_a_purge_received_before_the_kill_holds_from_the_first_request_on(world):
    world = world(serves())
    world.log.add(2, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
    time.sleep(0.3)
    world.log.close()  # so that it is not sent again
    world.log.break_off()
    world.killed()
    asker = world.asker()
    asker.ask(key=9)
    assert asker.answer()[1] == b"200"
    assert 0 < int(parse_fields(world.caches[0].next()[2][2])["agelim"]) < 5000
    assert "1 purges" in world.told("store:", 2)


def test_a_purge_that_was_not_yet_durable_is_received_again_and_an_older_list_is_not(world):
    """The configuration of the new start is as of an event that the killed process had not stored."""
    world = world(serves(), serves())
    world.log.add(2, 2, record(1, world.caches[0].port))
    time.sleep(0.3)
    world.process.kill()
    world.process.wait()
    world.log.add(3, 2, record(1, world.caches[0].port, state=1))
    world.log.add(4, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
    world.log.add(5, 2, record(1, world.caches[0].port))
    world.config["known"]["seq"] = 5  # as of event 5, but without the purge
    world.config["known"]["results"][0]["fleet"]["targets"][0]["state"] = "leaving"
    world.start()
    time.sleep(0.3)
    asker = world.asker()
    for key in range(9, 17):
        asker.ask(key=key)
        assert asker.answer()[1] == b"200"
    assert 0 < int(parse_fields(world.caches[1].next()[2][2])["agelim"]) < 5000
    assert world.caches[0].seen.empty()  # the list stays as the configuration has it


def test_a_stalled_disk_delays_no_read_and_sends_no_booking(world):
    world = world(serves(), program=("rigs.slow_disk", "3"), forms='(store (folder "store"))')
    asker = world.asker()
    began = time.monotonic()
    tag = asker.ask(b"book", body=b"seat", allow=2500)
    assert asker.answer()[:2] == [tag, b"503"] and time.monotonic() - began < 2
    assert_nothing_sent(world.caches[0], 0.0)
    tag = asker.ask(key=1)
    assert asker.answer()[:2] == [tag, b"200"]


def test_a_second_gateway_on_one_store_does_not_start(world, tmp_path):
    world = world(serves())
    assert f"process {world.process.pid} has locked the store" in second_gateway_errors(world, tmp_path)


def second_gateway_errors(world, tmp_path):
    """Return the errors of another gateway that is started on the same store."""
    config = json.loads(world.path.read_text())
    config["listen"] = "127.0.0.1:0"
    (tmp_path / "two.json").write_text(json.dumps(config))
    (tmp_path / "two.sexp").write_text(f"(lilacloft {STORE})")
    command = [
        sys.executable,
        "-m",
        "lilacloft",
        "serve",
        "--config",
        str(tmp_path / "two.json"),
        "--settings",
        str(tmp_path / "two.sexp"),
    ]
    told = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert told.returncode == 2
    return told.stderr


# --- two processes, one after the other ---


def answered(sock, items, body=b"ok"):
    sock.sendall(encode(items[1], b"data", b"remark=TCP_MISS", body))


def kill_and_start(world):
    """Kill the processes of the gateway, and start it again."""
    for pid in processes(str(world.path)):
        os.kill(pid, signal.SIGKILL)
    world.process.wait()
    until = time.monotonic() + 10
    while processes(str(world.path)) and time.monotonic() < until:
        time.sleep(0.01)
    world.start()


def test_the_store_is_handed_over_and_the_new_process_stores_the_ends_of_what_is_in_flight(world, tmp_path):
    world = world(silent, forms=BOTH)
    asker, refs = world.asker(), [f"{number:016x}" for number in (81, 82)]
    tags = [asker.ask(b"book", body=b"seat", ref=ref) for ref in refs]
    outs = [world.caches[0].next() for _ in refs]
    outs.sort(key=lambda out: out[2][1])  # as they were asked
    assert world.upgrade() == (True, "")
    assert "has locked the store" in second_gateway_errors(world, tmp_path)
    _, sock, items = outs[0]
    answered(sock, items)
    assert asker.answer() == [tags[0], b"200", b"", b"ok"]
    _, sock, items = outs[1]
    sock.sendall(encode(items[1], b"full", b"-"))  # this one was not executed
    assert asker.answer()[0] == tags[1]
    time.sleep(0.3)
    kill_and_start(world)
    while not world.caches[0].seen.empty():
        world.caches[0].seen.get()
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat", ref=refs[0])
    assert asker.answer()[:2] == [tag, b"500"]
    asker.ask(b"book", body=b"seat", ref=refs[1])
    assert world.caches[0].next()[2][0] == b"do"


def test_the_new_process_writes_the_records_of_what_stays_with_the_old_one(world):
    world = world(silent, silent, forms=BOTH)
    asker = world.asker()
    ref = f"{83:016x}"
    tag = asker.ask(b"book", body=b"seat", ref=ref)
    first, sock, items = first_dispatch(world.caches)
    other = world.caches[first is world.caches[0]]
    thread = threading.Thread(target=lambda: world.upgrade(mode="drain"))
    thread.start()
    world.told("upgrade: letting go")
    sock.sendall(encode(items[1], b"full", b"-"))  # not executed: its next dispatch needs another record
    _, sock, items = other.next()
    assert items[0] == b"do"
    answered(sock, items)
    assert asker.answer()[:2] == [tag, b"200"]
    thread.join(10)
    kill_and_start(world)
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat", ref=ref)
    assert asker.answer()[:2] == [tag, b"500"]


def first_dispatch(caches):
    """Return the cache that a request is sent to, its connection and the message."""
    for _ in range(1000):
        for cache in caches:
            while not cache.seen.empty():
                _, sock, items = cache.seen.get()
                if items[0] == b"do":
                    return cache, sock, items
        time.sleep(0.01)
    raise AssertionError("nothing was sent")


@pytest.mark.parametrize("step", ["have", "taken", "orphan"])
def test_wherever_the_new_process_fails_the_old_one_goes_on_with_the_store(world, step):
    world = world(silent, forms=BOTH)
    ref = f"{84:016x}"
    waiting = world.asker()  # kept, else it closes at once
    waiting.ask(b"book", body=b"seat", ref=ref)
    world.caches[0].next()
    world.upgrade(step)
    if step == "orphan":
        world.told("this process goes on")
    asker = world.asker()
    if step == "taken":
        # its client sends it again to the old process, which must not take it for a new request
        tag = asker.ask(b"book", body=b"seat", ref=ref)
        assert asker.answer()[:2] == [tag, b"500"]
        assert_nothing_sent(world.caches[0])
    tag = asker.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    answered(sock, items)
    assert asker.answer()[:2] == [tag, b"200"]
    kill_and_start(world)
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat", ref=ref)
    assert asker.answer()[:2] == [tag, b"500"]


def test_the_old_process_that_goes_on_finds_what_a_new_one_sent_before_it_died(world):
    world = world(silent, forms=BOTH)
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    thread = threading.Thread(target=lambda: world.upgrade(mode="drain"))
    thread.start()
    world.told("upgrade: letting go")
    other = world.asker()
    ref = f"{85:016x}"
    other.ask(b"book", body=b"seat", ref=ref)
    world.caches[0].next()
    os.kill(world.pids[-1], signal.SIGKILL)
    thread.join(10)
    again = world.asker()
    once = again.ask(b"book", body=b"seat", ref=ref)
    assert again.answer()[:2] == [once, b"500"]
    answered(sock, items)
    assert asker.answer()[:2] == [tag, b"200"]


def test_with_a_stalled_disk_nothing_is_handed_over(world):
    world = world(silent, forms=BOTH, program=("rigs.slow_disk", "8"))
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat")
    done, why = world.upgrade()
    assert not done and "store records not durable within" in why
    assert asker.answer()[:2] == [tag, b"503"]
    assert_nothing_sent(world.caches[0], 0.0)


def test_a_new_process_without_the_store_is_rejected(world, tmp_path):
    world = world(serves(), forms=BOTH)
    (tmp_path / "none.sexp").write_text('(lilacloft (upgrade (handover "h.sock")))')
    command = [str(tmp_path / "none.sexp") if word == str(world.settings) else word for word in world.command]
    done, why = world.upgrade(to=" ".join(command))
    assert not done and "keeps no store instead of" in why
    asker = world.asker()
    tag = asker.ask(b"book", body=b"seat")
    assert asker.answer()[:2] == [tag, b"200"]


# --- lists and what was learned ---


def test_a_drain_received_before_the_kill_holds_from_the_first_request_on_without_the_change_log(world):
    world = world(serves(), serves())
    world.log.add(2, 2, record(1, world.caches[0].port, state=1))
    time.sleep(0.5)
    world.log.close()
    world.log.break_off()
    world.killed()  # with a configuration without the drain
    asker = world.asker()
    for key in range(12):
        asker.ask(key=key)
        assert asker.answer()[1] == b"200"
    assert world.caches[0].seen.empty() and not world.caches[1].seen.empty()


def test_what_a_gateway_has_learned_is_stored_and_restored_at_the_next_start(world):
    world = world(serves())
    asker = world.asker()
    for key in range(40):
        asker.ask(key=key)
        assert asker.answer()[1] == b"200"
    store, until = world.settings.parent / "store", time.monotonic() + 20
    while time.monotonic() < until and not any(
        b"be s-00000001" in path.read_bytes() for path in store.glob("log-*")
    ):
        time.sleep(0.05)
    world.killed()
    told = subprocess.run(
        [sys.executable, "-m", "lilacloft", "store", "dump", str(store)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    kept = {
        row["key"]: row["value"]
        for row in map(json.loads, told.stdout.splitlines())
        if row["kind"] == "learned"
    }
    assert {"router", "link", "vhost clip", "be s-00000001"} <= set(kept)
    assert 0 < kept["vhost clip"]["work"] < 20_000  # half of the latency objective at a start
    asker = world.asker()
    asker.ask(key=1)
    assert asker.answer()[1] == b"200" and "Traceback" not in world.file.read_text()
