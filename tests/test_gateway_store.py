"""A gateway with a store: its dispatches, purges and learned state survive a kill and a restart."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest

from lilacloft.net.resp import parse_fields
from rigs.scene import write_worlds
from rigs.stands import encode, processes, record, serves, silent

STORE = '(store (folder "store") (patience 1s))'  # far longer than a commit takes on a busy machine
STORE_AND_UPGRADE = (
    STORE + '(upgrade (handover "h.sock") (limits (starting 5s) (warming 5s) (taking 1s) (committed 1s)))'
)
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@pytest.fixture
def world(tmp_path):
    with write_worlds(tmp_path, forms=STORE) as make:
        yield make


def assert_nothing_sent(cache, wait=0.3):
    time.sleep(wait)
    while not cache.seen.empty():
        assert cache.seen.get()[2][0] != b"do"


def test_a_request_without_a_key_that_may_have_been_executed_is_never_sent_again_after_a_kill(world):
    world = world(silent)
    ref = f"{77:016x}"
    first_client = world.asker()  # kept in a variable: it would be closed at once otherwise
    first_client.ask(b"book", body=b"seat", ref=ref)
    world.caches[0].next()
    world.kill_and_restart()
    client = world.asker()
    tag = client.ask(b"book", body=b"seat", ref=ref)  # sent again, as its connection ended without an answer
    assert client.answer()[:2] == [tag, b"500"]
    assert_nothing_sent(world.caches[0])
    tag = client.ask(b"book", body=b"seat")  # a different request is sent
    _, sock, items = world.caches[0].next()
    sock.sendall(encode(items[1], b"data", b"remark=TCP_MISS", b"ok"))
    assert client.answer()[:2] == [tag, b"200"]


def test_a_request_with_an_idempotency_key_is_sent_again_only_within_its_window(world):
    world = world(silent)
    first_client = world.asker()  # kept in a variable: it would be closed at once otherwise
    first_client.ask(b"pay", body=b"fare", replay=KEY)
    world.caches[0].next()
    began = time.monotonic()
    world.kill_and_restart()
    client = world.asker()
    tag = client.ask(b"pay", body=b"fare", replay=KEY)
    if time.monotonic() - began < 1.5:  # still within the window; a slow machine may miss it
        _, sock, items = world.caches[0].next()
        sock.sendall(encode(items[1], b"data", b"remark=TCP_MISS", b"ok"))
        assert client.answer()[:2] == [tag, b"200"]
        assert world.caches[0].seen.empty()
    time.sleep(max(0.0, began + 2.2 - time.monotonic()))
    while not world.caches[0].seen.empty():  # sent within the window but not read above, on a slow machine
        world.caches[0].seen.get()
    world.kill_and_restart()
    client = world.asker()
    tag = client.ask(b"pay", body=b"fare", replay=KEY)
    assert client.answer()[:2] == [tag, b"503"]
    assert_nothing_sent(world.caches[0])


def test_a_request_that_was_not_executed_may_be_sent_after_a_kill(world):
    world = world(lambda stand, sock, items: sock.sendall(encode(items[1], b"full", b"-")))
    ref = f"{78:016x}"
    client = world.asker()
    tag = client.ask(b"book", body=b"seat", ref=ref)
    assert client.answer()[:2] == [tag, b"503"]
    time.sleep(0.2)
    world.kill_and_restart()
    while not world.caches[0].seen.empty():
        world.caches[0].seen.get()
    first_client = world.asker()  # kept in a variable: it would be closed at once otherwise
    first_client.ask(b"book", body=b"seat", ref=ref)
    assert world.caches[0].next()[2][0] == b"do"


def test_a_purge_received_before_a_kill_is_in_force_from_the_first_request_on(world):
    world = world(serves())
    world.log.add(2, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
    time.sleep(0.3)
    world.log.frames.clear()  # so that the purge is not sent again
    world.kill_and_restart()
    world.told("read to its end", 2)  # from then on nothing but the purge limits ages
    client = world.asker()
    client.ask(key=9)
    assert client.answer()[1] == b"200"
    assert 0 < int(parse_fields(world.caches[0].next()[2][2])["agelim"]) < 5000
    assert "1 purges" in world.told("store:", 2)


def test_a_purge_that_was_not_yet_durable_is_received_again_and_an_older_list_is_not(world):
    """The configuration of the restart is as of an event that the killed process had not stored."""
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
    client = world.asker()
    for key in range(9, 17):
        client.ask(key=key)
        assert client.answer()[1] == b"200"
    assert 0 < int(parse_fields(world.caches[1].next()[2][2])["agelim"]) < 5000
    assert world.caches[0].seen.empty()  # the configured list stays in force


def test_a_stalled_disk_delays_no_read_and_rejects_writes_without_sending_them(world):
    world = world(serves(), program=("rigs.slow_disk", "3"), forms='(store (folder "store"))')
    client = world.asker()
    began = time.monotonic()
    tag = client.ask(b"book", body=b"seat", allow=2500)
    assert client.answer()[:2] == [tag, b"503"] and time.monotonic() - began < 2
    assert_nothing_sent(world.caches[0], 0.0)
    tag = client.ask(key=1)
    assert client.answer()[:2] == [tag, b"200"]


def test_a_second_gateway_on_the_same_store_does_not_start(world, tmp_path):
    world = world(serves())
    assert f"process {world.process.pid} has locked the store" in second_gateway_errors(world, tmp_path)


def second_gateway_errors(world, tmp_path):
    """Start another gateway on the same store, and return its errors."""
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
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert result.returncode == 2
    return result.stderr


# --- handover of the store to a new process ---


def send_answer(sock, items, body=b"ok"):
    sock.sendall(encode(items[1], b"data", b"remark=TCP_MISS", body))


def kill_and_start(world):
    """Kill all processes of the gateway and start it again."""
    for pid in processes(str(world.path)):
        os.kill(pid, signal.SIGKILL)
    world.process.wait()
    deadline = time.monotonic() + 10
    while processes(str(world.path)) and time.monotonic() < deadline:
        time.sleep(0.01)
    world.start()


def test_the_store_is_handed_over_and_the_new_process_stores_the_outcomes_of_attempts(world, tmp_path):
    world = world(silent, forms=STORE_AND_UPGRADE)
    client, refs = world.asker(), [f"{number:016x}" for number in (81, 82)]
    tags = [client.ask(b"book", body=b"seat", ref=ref) for ref in refs]
    dispatches = [world.caches[0].next() for _ in refs]
    dispatches.sort(key=lambda dispatch: dispatch[2][1])  # in the order of the requests
    assert world.upgrade() == (True, "")
    assert "has locked the store" in second_gateway_errors(world, tmp_path)
    _, sock, items = dispatches[0]
    send_answer(sock, items)
    assert client.answer() == [tags[0], b"200", b"", b"ok"]
    _, sock, items = dispatches[1]
    sock.sendall(encode(items[1], b"full", b"-"))  # the second one was not executed
    assert client.answer()[0] == tags[1]
    time.sleep(0.3)
    kill_and_start(world)
    while not world.caches[0].seen.empty():
        world.caches[0].seen.get()
    client = world.asker()
    tag = client.ask(b"book", body=b"seat", ref=refs[0])
    assert client.answer()[:2] == [tag, b"500"]
    client.ask(b"book", body=b"seat", ref=refs[1])
    assert world.caches[0].next()[2][0] == b"do"


def test_the_new_process_writes_the_records_of_requests_that_remain_with_the_old_one(world):
    world = world(silent, silent, forms=STORE_AND_UPGRADE)
    client = world.asker()
    ref = f"{83:016x}"
    tag = client.ask(b"book", body=b"seat", ref=ref)
    first, sock, items = first_dispatch(world.caches)
    other = world.caches[first is world.caches[0]]
    thread = threading.Thread(target=lambda: world.upgrade(mode="drain"))
    thread.start()
    world.told("upgrade: letting go")
    sock.sendall(encode(items[1], b"full", b"-"))  # not executed: the next dispatch needs another record
    _, sock, items = other.next()
    assert items[0] == b"do"
    send_answer(sock, items)
    assert client.answer()[:2] == [tag, b"200"]
    thread.join(10)
    kill_and_start(world)
    client = world.asker()
    tag = client.ask(b"book", body=b"seat", ref=ref)
    assert client.answer()[:2] == [tag, b"500"]


def first_dispatch(caches):
    """Wait for a dispatch; return the cache that received it, its connection and the message."""
    for _ in range(1000):
        for cache in caches:
            while not cache.seen.empty():
                _, sock, items = cache.seen.get()
                if items[0] == b"do":
                    return cache, sock, items
        time.sleep(0.01)
    raise AssertionError("nothing was sent")


@pytest.mark.parametrize("step", ["have", "taken", "orphan"])
def test_the_old_process_continues_with_the_store_wherever_the_new_one_fails(world, step):
    world = world(silent, forms=STORE_AND_UPGRADE)
    ref = f"{84:016x}"
    first_client = world.asker()  # kept in a variable: it would be closed at once otherwise
    first_client.ask(b"book", body=b"seat", ref=ref)
    world.caches[0].next()
    world.upgrade(step)
    if step == "orphan":
        world.told("this process goes on")
    client = world.asker()
    if step == "taken":
        # the client sends it again to the old process, which must not treat it as a new request
        tag = client.ask(b"book", body=b"seat", ref=ref)
        assert client.answer()[:2] == [tag, b"500"]
        assert_nothing_sent(world.caches[0])
    tag = client.ask(b"book", body=b"seat")
    _, sock, items = world.caches[0].next()
    send_answer(sock, items)
    assert client.answer()[:2] == [tag, b"200"]
    kill_and_start(world)
    client = world.asker()
    tag = client.ask(b"book", body=b"seat", ref=ref)
    assert client.answer()[:2] == [tag, b"500"]


def test_the_old_process_learns_what_a_new_one_sent_before_it_died(world):
    world = world(silent, forms=STORE_AND_UPGRADE)
    client = world.asker()
    tag = client.ask(b"book", body=b"seat")
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
    retrying_client = world.asker()
    repeated_tag = retrying_client.ask(b"book", body=b"seat", ref=ref)
    assert retrying_client.answer()[:2] == [repeated_tag, b"500"]
    send_answer(sock, items)
    assert client.answer()[:2] == [tag, b"200"]


def test_a_handover_fails_while_the_disk_is_stalled(world):
    world = world(silent, forms=STORE_AND_UPGRADE, program=("rigs.slow_disk", "8"))
    client = world.asker()
    tag = client.ask(b"book", body=b"seat")
    done, why = world.upgrade()
    assert not done and "store records not durable within" in why
    assert client.answer()[:2] == [tag, b"503"]
    assert_nothing_sent(world.caches[0], 0.0)


def test_a_new_process_without_the_store_is_rejected(world, tmp_path):
    world = world(serves(), forms=STORE_AND_UPGRADE)
    (tmp_path / "none.sexp").write_text('(lilacloft (upgrade (handover "h.sock")))')
    command = [str(tmp_path / "none.sexp") if word == str(world.settings) else word for word in world.command]
    done, why = world.upgrade(to=" ".join(command))
    assert not done and "keeps no store instead of" in why
    client = world.asker()
    tag = client.ask(b"book", body=b"seat")
    assert client.answer()[:2] == [tag, b"200"]


# --- endpoint lists and learned state ---


def test_a_drain_received_before_a_kill_is_in_force_from_the_first_request_on_without_the_change_log(world):
    world = world(serves(), serves())
    world.log.add(2, 2, record(1, world.caches[0].port, state=1))
    time.sleep(0.5)
    world.log.close()
    world.log.break_off()
    world.kill_and_restart()  # the configuration does not have the drain
    client = world.asker()
    for key in range(12):
        client.ask(key=key)
        assert client.answer()[1] == b"200"
    assert world.caches[0].seen.empty() and not world.caches[1].seen.empty()


def test_learned_state_is_stored_and_restored_at_the_next_start(world):
    world = world(serves())
    client = world.asker()
    for key in range(40):
        client.ask(key=key)
        assert client.answer()[1] == b"200"
    store, deadline = world.settings.parent / "store", time.monotonic() + 20
    while time.monotonic() < deadline and not any(
        b"be s-00000001" in path.read_bytes() for path in store.glob("log-*")
    ):
        time.sleep(0.05)
    world.kill_and_restart()
    result = subprocess.run(
        [sys.executable, "-m", "lilacloft", "store", "dump", str(store)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    learned = {
        row["key"]: row["value"]
        for row in map(json.loads, result.stdout.splitlines())
        if row["kind"] == "learned"
    }
    assert {"router", "link", "vhost clip", "be s-00000001"} <= set(learned)
    assert 0 < learned["vhost clip"]["work"] < 20_000  # initially half of the latency objective
    client = world.asker()
    client.ask(key=1)
    assert client.answer()[1] == b"200" and "Traceback" not in world.file.read_text()
