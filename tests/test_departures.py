"""Clients that leave while something of theirs waits, on real sockets, the crossing forced each time."""

import time

import pytest

from lilacloft.net.conn import State
from lilacloft.net.resp import encode
from rigs.inprocess import closes, forgets, halves, limits, resets, until, waits_for
from rigs.stands import serves, silent

CLIP = b"x" * 200_000


@pytest.mark.parametrize("leaves", [forgets, closes, halves, resets])
@pytest.mark.parametrize("many", [1, 8])
@pytest.mark.parametrize("cancel", [True, False])
def test_what_waits_for_a_connection_is_not_sent_on_for_who_has_left(in_process, late, leaves, many, cancel):
    """Within 0.3 s; its place and limits are given back by then. A closed half tells no more than a close
    does, so what waits is denied to both, and who reads on hears of it. Where the settings let no dispatch be
    cancelled, one that has not gone out is taken back all the same: no cache has it."""
    world = in_process(silent, changes=limits(cancel=cancel, connectTimeoutNs=10**10))
    askers = [world.asker() for _ in range(many)]
    for number, asker in enumerate(askers):
        asker.ask(key=number, room=4)
    assert late.begun.acquire(timeout=5)
    until(lambda: world.held()["calls"] == many)
    left = time.monotonic()
    for asker in askers:
        leaves(asker)
    world.rests(0.3 - (time.monotonic() - left))
    if leaves is halves:
        assert {asker.answer()[1] for asker in askers} == {b"503"}
    late.set()
    other = world.asker()
    other.ask(key=99)
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 99) > 0, "the first that comes through"
    forgets(other)
    world.rests()


def test_a_closed_half_leaves_time_to_what_is_about_to_go_out(in_process, late):
    """A client that sends its req and closes its half at once is answered."""
    world = in_process(serves(CLIP))
    asker = world.asker()
    tag = asker.ask()
    halves(asker)
    until(lambda: any(client.state is State.HALF_CLOSED for client in list(world.owner.front.clients)))
    late.set()
    assert asker.answer() == [tag, b"200", b"", CLIP] and asker.answer() is None
    world.rests(but=("checks",))


def test_after_a_closed_half_nothing_goes_out_anew(in_process):
    """What was out is lost after the grace: no second attempt for who may have left."""
    world = in_process(silent, silent)
    asker = world.asker()
    tag = asker.ask(allow=3000)
    at = time.monotonic()
    world_cache = next(cache for cache in world.caches if waits_for(cache))
    halves(asker)
    until(lambda: time.monotonic() > at + 0.35)  # the grace is over
    world_cache.break_off()  # a reset, which is otherwise asked again
    assert asker.answer()[:2] == [tag, b"503"] and asker.answer() is None
    assert not any(waits_for(cache, 0.05) for cache in world.caches)
    world.rests(but=("checks",))


def test_a_req_forgotten_before_the_owner_came_to_it_is_not_sent_on(in_process):
    world = in_process(silent)
    asker, go = world.asker(), world.stall()
    asker.ask(key=1)
    forgets(asker)
    until(lambda: world.owner.front.counts["forgotten"])
    go.set()
    world.rests()
    asker.ask(key=2)
    assert world.caches[0].next()[2][2].find(b"thing=%016x" % 2) > 0
    forgets(asker)
    world.rests()


def test_what_others_joined_goes_on_when_one_of_them_leaves(in_process):
    """Only the dispatch of who left is undone."""
    world = in_process(silent)
    first, second = world.asker(), world.asker()
    first.ask(key=5)
    _, sock, items = world.caches[0].next()
    tag = second.ask(key=5)
    _, other, more = world.caches[0].next()
    resets(first)
    assert world.caches[0].next(b"undo")[2][1] == items[1]
    other.sendall(encode(more[1], b"data", b"remark=TCP_JOIN", b"bytes"))
    assert second.answer() == [tag, b"200", b"", b"bytes"]
    world.rests()
