"""A machine's wall clock may be stepped by an hour, either way: the slow start of caches and purges go on by
spans of real time. On real sockets and processes."""

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
from rigs.inprocess import forgets, until
from rigs.scene import booked
from rigs.stands import World, record, serves, silent

HOUR = 3600.0
ASKED = 80  # requests, far more than a cold cache's share
WORK = 0.1  # seconds that one of them takes, at 400 KB and 4,000 KB/s


class SkewedWorld(World):
    """A world whose gateway has a clock that is off, and knows of the start of its one cache."""

    def __init__(self, folder, ahead, started=0.0):
        self.started = started
        super().__init__(folder, (serves(),), program=("rigs.skewed", f"{ahead * 1000:.0f}"))

    def start(self):
        (known,) = self.config["known"]["results"]
        known["fleet"]["targets"][0]["boot_ms"] = int(self.started * 1000)
        super().start()


@contextlib.contextmanager
def skewed_world(folder, ahead, started=0.0):
    """Such a world, as long as it is needed."""
    world = SkewedWorld(folder, ahead, started)
    try:
        yield world
    finally:
        world.close()


def allowed(world):
    """Calls of the first window after a cache's start, and what chance may add, by the operators' terms."""
    rules = world.config["settings"]["obligations"]
    calls = rules["startCapacity"] * rules["tipMultiple"] * 5 * rules["fallNs"] / 1e9 / WORK
    return calls + 3 * calls**0.5 + 3


def dispatched(stand):
    """How many requests have come to a stand-in."""
    count = 0
    while True:
        try:
            count += stand.seen.get_nowait()[2][0] == b"do"
        except queue.Empty:
            return count


def asked_at_once(world, begin=100):
    """Ask for many objects one after the other; returns the span that it took."""
    began = time.monotonic()
    asker = world.asker()
    for key in range(begin, begin + ASKED):
        asker.ask(key=key)
        assert asker.answer() is not None
    return time.monotonic() - began


@pytest.mark.parametrize("ahead", [0, HOUR, -HOUR], ids=["true", "ahead", "behind"])
def test_a_gateway_started_by_a_stepped_clock_keeps_the_slow_start_of_a_cache(tmp_path, ahead):
    """The configuration tells of a start a second ago. By a clock an hour ahead it looked long over."""
    with skewed_world(tmp_path, ahead, time.time() - 1.0) as world:
        assert asked_at_once(world) < 1.0
        assert dispatched(world.caches[0]) <= allowed(world)


@pytest.mark.parametrize("ahead", [HOUR, -HOUR], ids=["ahead", "behind"])
def test_and_of_a_cache_that_it_is_told_of_later(tmp_path, ahead):
    with skewed_world(tmp_path, ahead) as world:
        world.log.add(2, 2, record(1, world.caches[0].port, started=int(time.time() * 1000)))
        time.sleep(0.3)
        assert asked_at_once(world) < 1.0
        assert dispatched(world.caches[0]) <= allowed(world)


def test_the_slow_start_holds_where_the_logs_clock_is_put_back(in_process):
    """Purges before have told how the clocks stand; then the log's is put back, and a cache starts."""
    world = in_process(serves())
    now = int(time.time() * 1000)
    world.log.add(2, 3, struct.pack(">QQ", 5, now))
    world.log.add(3, 2, record(1, world.caches[0].port, started=now - int(HOUR * 1000)))
    until(lambda: world.owner.feed.last == 3)
    assert asked_at_once(world) < 1.0
    assert dispatched(world.caches[0]) <= allowed(world)


@pytest.mark.parametrize("back", [1.5, 60.0, HOUR])
def test_a_purge_holds_where_the_logs_clock_is_put_back(in_process, back):
    """It looked as old as the step, and copies from before it passed as younger."""
    world = in_process(silent)
    asker = world.asker()
    asker.ask(key=5)
    assert int(parse_fields(world.caches[0].next()[2][2])["agelim"]) == 10_000
    forgets(asker)
    now = int(time.time() * 1000)
    world.log.add(2, 3, struct.pack(">QQ", 4, now))
    world.log.add(2, 0)  # nothing new: all that it held back is told
    until(lambda: world.owner.feed.status.current)
    purged = time.monotonic()
    world.log.add(3, 3, struct.pack(">QQ", 5, int(time.time() * 1000) - int(back * 1000)))
    until(lambda: world.owner.feed.last == 3)
    asker.ask(key=5)
    told = int(parse_fields(world.caches[0].next()[2][2])["agelim"]) / 1000
    assert told <= time.monotonic() - purged
    forgets(asker)
    world.rests()


def test_a_cold_cache_stays_cold_in_a_process_that_follows_by_a_clock_put_back(tmp_path):
    """Lists that go over are in the module's time, which the new process's own clock says nothing of."""
    with booked(tmp_path) as make:
        world = make(serves())
        world.log.add(2, 2, record(1, world.caches[0].port, started=int(time.time() * 1000)))
        time.sleep(0.3)
        words = world.command[world.command.index("serve") :]
        ok, why = world.upgrade(
            to=shlex.join([sys.executable, "-m", "rigs.skewed", f"{-HOUR * 1000:.0f}", *words])
        )
        assert ok, why
        dispatched(world.caches[0])
        assert asked_at_once(world) < 1.0
        assert dispatched(world.caches[0]) <= allowed(world)


def test_a_cache_that_is_told_of_again_after_a_change_of_process_is_in_the_same_life(in_process):
    """The next process knows what each start means, and how the log's clock stands."""
    world = in_process(serves())
    now = int(time.time() * 1000)
    world.log.add(2, 3, struct.pack(">QQ", 4, now))
    told = ("s-00000001", ("127.0.0.1", world.caches[0].port), 0, 0, 0, 1, 5.0, now - 300)
    world.log.add(3, 2, record(1, world.caches[0].port, started=now - 300))
    until(lambda: world.does(lambda: world.owner.backends["s-00000001"].started))
    state = world.does(lambda: export_gateway(world.owner, "drain", [])).state
    successor = Gateway({**world.config, "listen": "127.0.0.1:0"}, follows=True)
    try:
        GatewayRestorer(successor).restore(
            decode(msgspec.msgpack.encode(state), GatewayState), [].__getitem__
        )
        started = successor.backends["s-00000001"].started
        assert started == world.owner.backends["s-00000001"].started
        successor.apply_event(("delta", [told]), None, WatchStatus(successor.monotonic_time, current=False))
        assert successor.backends["s-00000001"].started == started
    finally:
        successor.front.sock.close()
