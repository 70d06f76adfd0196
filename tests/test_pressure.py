"""Guards a process's memory limit and the time of usual clients against what other clients send.

Real processes at the least memory of the pages, started by the deploy file's `run` line (rigs/pressure.py).
"""

import re
import time

import pytest

from lilacloft.net.reader_slots import MAX_BUSY_READERS
from lilacloft.net.resp import MAX_WRITE_SIZE, encode
from rigs.inprocess import closes, resets, until
from rigs.pressure import KEY, request_message, run_play
from rigs.stands import StandInClient, serves, silent

LEAST_MEMORY = 32  # MB
MEGABYTE = 1_000_000


@pytest.mark.parametrize(
    "play",
    [
        "sound",
        "half",
        "slow_writes",
        "fields",
        "unread",
        "unread_alive",
        "floods_withdrawn",
        "half+slow_writes+fields+unread",
    ],
)
def test_a_process_passes_its_memory_limit_by_what_clients_send_or_do_not_read(play):
    """Guards against bytes, objects and threads that clients make many and that are in no account."""
    result = run_play(play.split("+"), LEAST_MEMORY)
    assert not result.ended, result.counters
    assert result.peak_mb * (1 << 20) < LEAST_MEMORY * MEGABYTE
    assert result.usual["unanswered"] == 0


@pytest.mark.parametrize(
    "play",
    [
        "flood_alive",
        "flood_forget",
        "flood_withdrawn",
        "flood_new_names",
        "flood_unusable",
        "floods_forget",
        "floods_alive",
        "fields",
    ],
)
def test_usual_clients_wait_behind_one_that_sends_at_full_speed(play):
    """Guards against messages that cost the reader's time only, which the event loop then does not get."""
    result = run_play([play], LEAST_MEMORY)
    assert not result.ended, result.counters
    assert (result.usual["unanswered"], result.usual["late"]) == (0, 0)
    assert result.usual["served"] > 0.9 * result.usual["asked"]


@pytest.mark.parametrize("leaves", [closes, resets])
def test_a_reader_that_has_ended_keeps_its_slot(in_process, leaves):
    """Guards against slots that are lost: two of them, and no client that sends much is read any more."""
    world = in_process(serves())
    flood = encode(b"FORGET", b"7") * 2_000
    for _ in range(6):
        askers = [world.asker() for _ in range(6)]
        for asker in askers:
            asker.sock.sendall(flood)
        for asker in askers:
            leaves(asker)
    last = world.asker()
    last.sock.sendall(flood)
    tag = last.ask()
    assert last.answer()[:2] == [tag, b"200"]
    last.sock.close()
    until(lambda: not world.owner.downstream.clients)
    until(lambda: world.owner.downstream.reader_slots.slots._value == MAX_BUSY_READERS)


def test_a_reader_keeps_its_slot_while_its_client_stands_still_within_a_message(in_process):
    """Guards against readers that hold all slots and block, while others that have fallen behind wait."""
    world = in_process(serves())
    flood = encode(b"FORGET", b"7") * 20_000
    still = [world.asker() for _ in range(2 * MAX_BUSY_READERS)]
    for asker in still:
        asker.sock.sendall(flood + b"*3\r\n$4\r\nEX")
    until(lambda: world.owner.downstream.counts["forgotten"] == len(still) * 20_000)
    last = world.asker()
    last.sock.sendall(flood)
    began = time.monotonic()
    tag = last.ask()
    assert last.answer()[:2] == [tag, b"200"]
    assert time.monotonic() - began < 1.5, "the others are closed 2.2 s after their last input"


def test_a_process_that_is_killed_has_said_nothing_of_its_memory_and_refusals(world):
    """Guards against a log that ends with the start: which limit was reached cannot be told from it."""
    world = world(silent, memory_mb=LEAST_MEMORY)
    clients = [StandInClient(world.port) for _ in range(40)]
    for number, client in enumerate(clients):
        client.sock.sendall(request_message(1, number, b"pay", bytes(MAX_WRITE_SIZE), replay=KEY))
    time.sleep(5.5)
    world.process.kill()
    log = world.process.stderr.read()
    (line, *more) = [line for line in log.splitlines() if "resources: " in line]
    assert "of 32.0 MB; " in line and " clients; requests " in line and not more
    assert int(re.search(r"no_memory_for_requests=(\d+)", line)[1]) > 10


def test_a_usual_service_logs_nothing_of_its_resources(world):
    world = world(serves())
    client = world.asker()
    for key in range(20):
        client.ask(key=key)
        assert client.answer()[1] == b"200"
    time.sleep(5.5)
    assert "resources: " not in world.stop()[1]
