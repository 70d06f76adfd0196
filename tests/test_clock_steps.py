"""Steps of a wall clock by an hour in either direction: slow starts of caches and purges go on in real time.

These tests use real sockets and processes.
"""

import contextlib
import queue
import shlex
import struct
import sys
import time

import msgspec
import pytest

from lilacloft.gateway.gateway import Gateway
from lilacloft.handover.framing import decode
from lilacloft.handover.messages import GatewayState
from lilacloft.handover.state_export import export_gateway
from lilacloft.handover.state_restore import GatewayRestorer
from lilacloft.net.discovery_watch import WatchStatus
from lilacloft.net.resp import parse_fields
from rigs.inprocess import cancel_all, until
from rigs.scene import write_worlds
from rigs.stands import World, record, serves, silent

HOUR = 3600.0
REQUESTS = 80  # far more than a cache in slow start may get
TRANSFER_TIME = 0.1  # seconds for one request: 400 KB at 4,000 KB/s


class SkewedWorld(World):
    """A world with one cache, whose gateway has a skewed clock and a configured start time of the cache."""

    def __init__(self, folder, offset, started=0.0):
        self.started = started
        super().__init__(folder, (serves(),), program=("rigs.skewed", f"{offset * 1000:.0f}"))

    def start(self):
        (known,) = self.config["known"]["results"]
        known["fleet"]["targets"][0]["boot_ms"] = int(self.started * 1000)
        super().start()


@contextlib.contextmanager
def skewed_world(folder, offset, started=0.0):
    """Run a `SkewedWorld`, and close it afterwards."""
    world = SkewedWorld(folder, offset, started)
    try:
        yield world
    finally:
        world.close()


def max_dispatches(world):
    """Return the requests that a cache may get in the first window after its start, plus three standard
    deviations and 3, by the settings."""
    rules = world.config["settings"]["obligations"]
    expected = rules["startCapacity"] * rules["tipMultiple"] * 5 * rules["fallNs"] / 1e9 / TRANSFER_TIME
    return expected + 3 * expected**0.5 + 3


def received_dispatches(stand):
    """Return the number of dispatches that a stand-in has received since it was last asked."""
    count = 0
    while True:
        try:
            count += stand.seen.get_nowait()[2][0] == b"do"
        except queue.Empty:
            return count


def request_objects(world, begin=100):
    """Request many objects one after the other; return the time that it took."""
    began = time.monotonic()
    client = world.asker()
    for key in range(begin, begin + REQUESTS):
        client.ask(key=key)
        assert client.answer() is not None
    return time.monotonic() - began


@pytest.mark.parametrize("offset", [0, HOUR, -HOUR], ids=["true", "ahead", "behind"])
def test_a_gateway_started_with_a_stepped_clock_keeps_the_slow_start_of_a_cache(tmp_path, offset):
    """The configured start was a second ago. By a clock an hour ahead, the slow start seemed long over."""
    with skewed_world(tmp_path, offset, time.time() - 1.0) as world:
        assert request_objects(world) < 1.0
        assert received_dispatches(world.caches[0]) <= max_dispatches(world)


@pytest.mark.parametrize("offset", [HOUR, -HOUR], ids=["ahead", "behind"])
def test_a_gateway_with_a_stepped_clock_keeps_the_slow_start_of_a_cache_listed_later(tmp_path, offset):
    with skewed_world(tmp_path, offset) as world:
        world.log.add(2, 2, record(1, world.caches[0].port, started=int(time.time() * 1000)))
        time.sleep(0.3)
        assert request_objects(world) < 1.0
        assert received_dispatches(world.caches[0]) <= max_dispatches(world)


def test_a_slow_start_is_kept_when_the_clock_of_the_change_log_is_set_back(in_process):
    """Purges have given the offset of the change log's clock; then it is set back, and a cache starts."""
    world = in_process(serves())
    now = int(time.time() * 1000)
    world.log.add(2, 3, struct.pack(">QQ", 5, now))
    world.log.add(3, 2, record(1, world.caches[0].port, started=now - int(HOUR * 1000)))
    until(lambda: world.owner.discovery_watch.last == 3)
    assert request_objects(world) < 1.0
    assert received_dispatches(world.caches[0]) <= max_dispatches(world)


@pytest.mark.parametrize("back", [1.5, 60.0, HOUR])
def test_a_purge_holds_where_the_logs_clock_is_put_back(in_process, back):
    """It looked as old as the step, and copies from before it passed as younger."""
    world = in_process(silent)
    client = world.asker()
    client.ask(key=5)
    assert int(parse_fields(world.caches[0].next()[2][2])["agelim"]) == 10_000
    cancel_all(client)
    now = int(time.time() * 1000)
    world.log.add(2, 3, struct.pack(">QQ", 4, now))
    world.log.add(2, 0)  # nothing new: all that it held back is told
    until(lambda: world.owner.discovery_watch.status.current)
    purged = time.monotonic()
    world.log.add(3, 3, struct.pack(">QQ", 5, int(time.time() * 1000) - int(back * 1000)))
    until(lambda: world.owner.discovery_watch.last == 3)
    client.ask(key=5)
    told = int(parse_fields(world.caches[0].next()[2][2])["agelim"]) / 1000
    assert told <= time.monotonic() - purged
    cancel_all(client)
    world.wait_until_idle()


def test_a_slow_start_continues_in_a_next_process_whose_clock_is_set_back(tmp_path):
    """The start times that are handed over do not depend on the wall clock of the next process."""
    with write_worlds(tmp_path) as make:
        world = make(serves())
        world.log.add(2, 2, record(1, world.caches[0].port, started=int(time.time() * 1000)))
        time.sleep(0.3)
        words = world.command[world.command.index("serve") :]
        ok, why = world.upgrade(
            to=shlex.join([sys.executable, "-m", "rigs.skewed", f"{-HOUR * 1000:.0f}", *words])
        )
        assert ok, why
        received_dispatches(world.caches[0])
        assert request_objects(world) < 1.0
        assert received_dispatches(world.caches[0]) <= max_dispatches(world)


def test_a_cache_that_is_listed_again_after_a_handover_keeps_its_start_time(in_process):
    """The handover includes the known start times and the offset of the change log's clock."""
    world = in_process(serves())
    now = int(time.time() * 1000)
    world.log.add(2, 3, struct.pack(">QQ", 4, now))
    row = ("s-00000001", ("127.0.0.1", world.caches[0].port), 0, 0, 0, 1, 5.0, now - 300)
    world.log.add(3, 2, record(1, world.caches[0].port, started=now - 300))
    until(lambda: world.run_on_owner(lambda: world.owner.backends["s-00000001"].started))
    state = world.run_on_owner(lambda: export_gateway(world.owner, "drain", [])).state
    successor = Gateway({**world.config, "listen": "127.0.0.1:0"}, is_successor=True)
    try:
        GatewayRestorer(successor).restore(
            decode(msgspec.msgpack.encode(state), GatewayState), [].__getitem__
        )
        started = successor.backends["s-00000001"].started
        assert started == world.owner.backends["s-00000001"].started
        successor.apply_event(("delta", [row]), None, WatchStatus(successor.monotonic_time, current=False))
        assert successor.backends["s-00000001"].started == started
    finally:
        successor.downstream.sock.close()
