"""What the old process of an upgrade hears of the change log while it finishes its requests, and after a
handover that has failed.

A client with an open request stays with the old process, which goes on reading its requests. The new process
has its own connection to the change log.
"""

import contextlib
import json
import os
import signal
import threading
import time

import pytest

from lilacloft.handover.quiesce import Quiescer
from lilacloft.net.connection import Connection
from lilacloft.net.discovery_watch import DiscoveryWatch
from lilacloft.net.resp import encode, parse_fields
from lilacloft.record import record_types
from lilacloft.record.reader import read
from rigs.inprocess import next_dispatch, until
from rigs.scene import write_worlds
from rigs.stands import Log, record, silent
from tests.test_catch_up import (
    FULL_AGE,
    KEY,
    OLD,
    AgedCopies,
    assert_filled_anew,
    assert_only_purged_copies_are_limited,
    fetch,
    purge,
)

LIMITS = "(starting 5s) (warming 5s) (taking 1s) (committed 1s) (letting-go 8s)"
HEED = 0.3 + 0.05  # seconds after a purge, and the slack on sockets
DRAIN_GRACE = 1.0 + 0.05  # seconds after a drain, and the slack


@pytest.fixture
def world(tmp_path):
    """Creates worlds whose change log sends heartbeats: a gateway follows a silent one anew after 2 s, and an
    upgrade may take longer."""
    over = threading.Event()
    with write_worlds(tmp_path, limits=LIMITS) as make:

        def make_with_heartbeats(*caches, **more):
            world = make(*caches, **more)
            threading.Thread(target=world.log.send_heartbeats, args=(over,), daemon=True).start()
            return world

        yield make_with_heartbeats
        over.set()


class Draining:
    """An upgrade in the mode DRAIN whose old process keeps one client, as a request of it stays open."""

    def __init__(self, world):
        self.world, self.client, self.results = world, world.asker(), []
        self.upgrade = threading.Thread(target=self._upgrade, daemon=True)

    def _upgrade(self):
        self.results.append(self.world.upgrade(mode="drain"))

    def begin(self):
        self.kept = self._send(KEY)
        self.upgrade.start()
        self.world.told("upgrade: letting go")
        # at the start, and by both processes: from then on only what the log tells limits ages
        self.world.told("read to its end", 3)

    def _send(self, key):
        """Send a request; return its tag, and the cache, connection and message of its attempt."""
        tag = self.client.ask(key=key, allow=8000)
        for _ in range(100):
            for cache in self.world.caches:
                if found := next_dispatch(cache, 0.02):
                    return tag, cache, *found[1:]
        raise AssertionError("no attempt was sent")

    def _answer(self, tag, cache, sock, items):
        """Answer an attempt, and check that the client gets the answer."""
        sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
        assert self.client.answer()[:2] == [tag, b"200"]

    def ask(self, key=KEY):
        """Have a request answered; return the maximum age in seconds that it accepts, and the cache."""
        sent = self._send(key)
        self._answer(*sent)
        return int(parse_fields(sent[3][2])["agelim"]) / 1000, sent[1]

    def finish(self):
        self._answer(*self.kept)
        self.upgrade.join(20)
        assert self.results == [(True, "")]


@contextlib.contextmanager
def stopped(pid):
    """Stop a process, and let it go on in the end."""
    os.kill(pid, signal.SIGSTOP)
    try:
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGCONT)


@pytest.mark.parametrize("hangs", [False, True])
def test_a_purge_that_the_old_process_does_not_hear_while_it_finishes_its_requests(world, hangs):
    """Guards against copies older than a purge, taken by a process that sends on without the change log; also
    where its successor hangs."""
    world = world(silent)
    draining = Draining(world)
    draining.begin()
    with stopped(world.pids[-1]) if hangs else contextlib.nullcontext():
        purged_at = time.monotonic()
        world.log.add(*purge(ago=0))
        time.sleep(HEED)
        assert 0 < draining.ask()[0] < time.monotonic() - purged_at
        assert draining.ask(KEY + 1)[0] == FULL_AGE, "only the purge limits ages"
    draining.finish()


def test_a_drain_that_the_old_process_does_not_hear_while_it_finishes_its_requests(world):
    """Guards against requests to a cache that drains, from a process that sends on without the change log."""
    world = world(silent, silent)
    draining = Draining(world)
    draining.begin()
    first = draining.ask(KEY)[1]
    number = world.caches.index(first) + 1
    world.log.add(2, 2, record(number, first.port, state=1))
    time.sleep(DRAIN_GRACE)
    for key in range(KEY, KEY + 12):
        assert draining.ask(key)[1] is not first
    draining.finish()


@pytest.mark.parametrize("words", [(), ("--supervised",)])
def test_the_old_process_does_not_hear_that_the_change_log_has_moved(world, words):
    """Guards against requests to a cache that drains, from a process that follows a change log which was
    replaced; SIGHUP goes to the program that was started."""
    world = world(silent, silent, words=words)
    draining = Draining(world)
    draining.begin()
    first = draining.ask(KEY)[1]
    number = world.caches.index(first) + 1
    moved = Log([(2, 2, record(number, first.port, state=1))])
    world.path.write_text(json.dumps({**world.config, "changelog": f"127.0.0.1:{moved.port}"}))
    os.kill(world.process.pid, signal.SIGHUP)
    world.told("change log: moved to another address", 2, wait=4)  # by the pages, 4 s after SIGHUP
    time.sleep(DRAIN_GRACE)
    for key in range(KEY, KEY + 12):
        assert draining.ask(key)[1] is not first
    draining.finish()
    moved.close()


@pytest.mark.parametrize("heard_by_both", [False, True])
def test_a_purge_heard_while_the_store_is_written_by_a_successor_that_dies_is_forgotten(world, heard_by_both):
    """Guards against a store without the events that the old process has heard, and its successor perhaps not
    written."""
    forms = f'(store (folder "store") (patience 1s)) (upgrade (handover "h.sock") (limits {LIMITS}))'
    world = world(silent, forms=forms)
    draining = Draining(world)
    draining.begin()
    successor = world.pids[-1]
    with contextlib.nullcontext() if heard_by_both else stopped(successor):
        world.log.add(*purge(ago=0))
        until(lambda: draining.ask()[0] < FULL_AGE)
        os.kill(successor, signal.SIGKILL)
    world.told("upgrade: idle")
    assert draining.ask()[0] < FULL_AGE
    time.sleep(0.3)  # for the disk
    world.log.frames.clear()  # so that the purge is not sent again
    world.kill_and_restart()
    assert "1 purges" in world.told("records recovered", 2)


def test_events_heard_by_both_processes_of_an_upgrade_are_counted_and_recorded_twice(world, tmp_path):
    """Guards against counters and records of two events where the gateway has received one."""
    forms = f'(record (folder "records")) (upgrade (handover "h.sock") (limits {LIMITS}))'
    world = world(silent, forms=forms)
    draining = Draining(world)
    draining.begin()
    world.log.add(*purge(ago=0))
    until(lambda: draining.ask()[0] < FULL_AGE)
    draining.finish()
    os.kill(world.pids[-1], signal.SIGUSR1)
    assert "connects=2 events=1" in world.told("log: connects")
    os.kill(world.pids[-1], signal.SIGTERM)

    def purges_by_run():
        runs, damage = read([str(tmp_path / "records")])
        assert not damage
        return [
            sum(isinstance(record, record_types.Purge) for record in run.records)
            for mine in runs.values()
            for run in mine
            if isinstance(run.records[-1], record_types.Stop)
        ]

    until(lambda: len(purges_by_run()) == 2)
    assert sorted(purges_by_run()) == [0, 1]


@pytest.fixture
def late_watch(monkeypatch):
    """The threads of watches apply no event until the returned event is set."""
    released, handle_event = threading.Event(), DiscoveryWatch._handle_event

    def late(watch, event, number):
        assert released.wait(10)
        handle_event(watch, event, number)

    monkeypatch.setattr(DiscoveryWatch, "_handle_event", late)
    yield released
    released.set()


@pytest.mark.parametrize("beats", [False, True])
def test_a_purge_that_came_during_a_handover_is_unread_when_requests_are_sent_again(
    in_process, monkeypatch, late_watch, beats
):
    """Guards against copies older than a purge, taken before the watch has read what came in its pause; also
    where a heartbeat from before the purge is read first."""
    monkeypatch.setattr(Connection, "movable", True)
    copies = AgedCopies()
    world = in_process(copies)
    asker, quiescer = world.asker(), Quiescer(world.owner)
    assert fetch(asker) == OLD
    assert world.run_on_owner(lambda: quiescer.quiesce(time.monotonic() + 4, lambda: True)) == ""
    if beats:
        world.log.add(0, 0, b"")
        time.sleep(0.05)  # more than enough for the watch to read it
    world.log.add(*purge())
    world.run_on_owner(quiescer.resume_all)
    assert_filled_anew(asker, 0.3)
    late_watch.set()
    world.wait_until_read()
    assert world.owner.discovery_watch.last == 2
    assert_only_purged_copies_are_limited(asker, copies)
