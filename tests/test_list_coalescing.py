"""Events of the change log that wait for the event loop: what is applied of them, and when."""

import random
import threading
import time

import pytest

from lilacloft.gateway import discovery, received_events
from lilacloft.gateway.received_events import ReceivedEvents
from lilacloft.handover.quiesce import Quiescer
from lilacloft.net.connection import Connection
from lilacloft.routing.list_coalescing import ListChange, coalesced
from lilacloft.routing.pools import BackendPools
from lilacloft.routing.router import Router
from rigs.inprocess import InProcessWorld, until
from rigs.stands import made, record, serves
from tests.test_endpoint_rows import apply, random_events, replayed, row

BACKLOG = 4_000  # events


@pytest.fixture
def in_process(tmp_path):
    yield from made(InProcessWorld, tmp_path)


def changes(events):
    return [
        ListChange(mode, {entry.name: entry for entry in rows}, number)
        for number, (mode, rows) in enumerate(events, 1)
    ]


@pytest.mark.parametrize("seed", range(100))
def test_what_is_left_of_a_backlog_has_the_same_result_as_all_of_it(seed):
    """Guards against a drain, a removal or a replaced address that gets lost between others."""
    events = random_events(random.Random(seed), 40)
    used = {}
    for change in coalesced(changes(events)):
        apply(used, change.mode, change.entries.values())
        assert used == replayed(events, change.number)


def test_changes_that_mean_something_one_after_the_other_stay_apart():
    """Guards against a cache that is taken for the one that it has replaced."""
    back = [("delta", [row("s1", status)]) for status in (0, 1)]
    moved = [("delta", [row("s1", 1, port=port)]) for port in (20, 21)]
    taken = [("delta", [row(name, 1, port=20)]) for name in ("s1", "s2")]
    for events in (back, moved, taken):
        assert [change.number for change in coalesced(changes(events))] == [1, 2]
    drains = [("delta", [row("s1", status)]) for status in (1, 2, 1, 2)]
    assert coalesced(changes(drains)) == [ListChange("delta", {"s1": row("s1", 2)}, 4)]


def test_a_long_backlog_is_applied_event_by_event(in_process, monkeypatch):
    """Guards against a start that lasts as long as the past: each application of a list costs time that
    grows with it."""
    applied = []
    monkeypatch.setattr(
        BackendPools, "update", lambda *change, do=BackendPools.update: applied.append(1) or do(*change)
    )

    world = in_process(serves(), serves())
    applied.clear()
    port = world.caches[0].port
    world.log.frames += [(number, 2, record(1, port, state=number % 2)) for number in range(2, 2 + BACKLOG)]
    world.run_on_owner(world.owner.discovery_watch.reconnect)
    until(lambda: world.owner.discovery_watch.events == BACKLOG, 30)
    until(lambda: not world.owner.discovery.received)
    assert world.run_on_owner(lambda: world.owner.backends["s-00000001"].status) == 2
    assert len(applied) < BACKLOG / 4


def test_events_that_wait_at_a_handover_are_in_neither_process(in_process, monkeypatch):
    """Guards against events that count as passed on and are not applied when the state is exported."""
    monkeypatch.setattr(Connection, "movable", True)
    monkeypatch.setattr(discovery, "APPLY_INTERVAL", 100_000)
    world = in_process(serves(), serves())
    watch = world.owner.discovery_watch
    world.log.hold()  # the log does not show its end
    world.run_on_owner(lambda: setattr(watch, "status", watch.status._replace(current=False)))
    for number in (2, 3):
        world.log.add(number, 2, record(number - 1, world.caches[number - 2].port, state=1))
        until(lambda: watch.last == number)
        world.run_on_owner(lambda: None)
    assert len(world.owner.discovery.received) == 1
    quiescer = Quiescer(world.owner)
    assert world.run_on_owner(lambda: quiescer.quiesce(time.monotonic() + 4, lambda: True)) == ""
    statuses = [world.owner.backends[f"s-{number:08x}"].status for number in (1, 2)]
    world.run_on_owner(quiescer.resume_all)
    assert statuses == [2, 2]


def test_a_purge_waits_behind_changes_of_the_list(in_process, monkeypatch):
    """Guards against a purge that was received and is not in force yet."""
    monkeypatch.setattr(discovery, "APPLY_INTERVAL", 100_000)
    world = in_process(serves())
    watch = world.owner.discovery_watch
    world.log.hold()  # the log does not show its end
    world.run_on_owner(lambda: setattr(watch, "status", watch.status._replace(current=False)))
    purged = []
    monkeypatch.setattr(Router, "object_purged", lambda router, *purge: purged.append(purge))
    for number in (2, 3):
        world.log.add(number, 2, record(1, world.caches[0].port, state=number % 2))
        until(lambda: watch.last == number)
        world.run_on_owner(lambda: None)
    world.log.add(4, 3, (9).to_bytes(8, "big") + int(time.time() * 1000).to_bytes(8, "big"))
    until(lambda: watch.last == 4)
    world.run_on_owner(lambda: None)
    assert len(world.owner.discovery.received) == 1 and len(purged) == 1


def test_a_log_that_is_read_faster_than_its_events_are_applied_fills_the_memory(monkeypatch):
    """Guards against a queue of events that grows without a bound."""
    monkeypatch.setattr(received_events, "MAX_WAITING", 3)
    received = ReceivedEvents()
    for _ in range(3):
        received.add(None)
    waits = threading.Thread(target=received.await_room, daemon=True)
    waits.start()
    waits.join(0.1)
    assert waits.is_alive()
    received.take()
    waits.join(5)
    assert not waits.is_alive()
