"""A cancelled attempt is in flight until its cache has read so: over links that are slow, on real sockets.

Only what a gateway can know is asked of it: links whose answers were slow before. The order of events is the
links' own: each message takes a fixed time in each direction, and nothing is raced."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.resp import encode
from lilacloft.routing.link_delay import ANSWERS_COUNTED, LINK_DELAY_MEMORY, MIN_ANSWERS, LinkDelay
from lilacloft.routing.units import TICKS_PER_SECOND
from rigs.inprocess import forgets, handed_over, until
from rigs.scene import Timers

DELAY = 0.15  # seconds that a message is on its way, in each direction
LONG_CONNECT = {"connectTimeoutNs": 10**9}  # longer than a round trip: a link that is slow is not silent
ALLOW = 3000  # ms
HOUR = 3600 * TICKS_PER_SECOND


class SlowLinks:
    """Caches behind links with a delay; what comes whole to them, in its order."""

    def __init__(self):
        self.delays = {}  # seconds, by stand
        self.hangs = set()  # stands that answer no request
        self.deaf = set()  # stands that answer nothing at all
        self.whole = []  # (when, stand, verb, id)
        self.timers = Timers()

    def says(self, stand, sock, items):
        """A message has left the gateway for a cache."""
        self.timers.after(self.delay(stand), lambda: self.arrives(stand, sock, items))

    def delay(self, stand):
        return self.delays.get(stand, 0.0)

    def arrives(self, stand, sock, items):
        self.whole.append((time.monotonic(), stand, items[0], items[1]))
        if stand in self.deaf or items[0] == b"undo" or (items[0] == b"do" and stand in self.hangs):
            return
        if items[0] == b"do":
            answer = encode(items[1], b"data", b"remark=TCP_HIT", b"ok")
        else:
            answer = encode(items[1], b"well", b"report=inflight:1;util:0.2")
        self.timers.after(self.delay(stand), lambda: sock.sendall(answer))

    def closed(self, stand):
        """The end of a connection has left the gateway."""
        self.timers.after(
            self.delay(stand), lambda: self.whole.append((time.monotonic(), stand, b"closed", b""))
        )

    def first(self, verb, stand=None):
        """The place in the order, and the entry, of the first message of a kind; None where none came."""
        found = (one for one in enumerate(self.whole) if one[1][2] == verb and stand in (None, one[1][1]))
        return next(found, None)


@pytest.fixture
def links():
    slow = SlowLinks()
    yield slow
    slow.timers.over = True


def made(in_process, links, **more):
    """A world of two caches behind links, none of which is late for what its link takes."""

    def changes(settings):
        settings["limits"].update(LONG_CONNECT, **more)
        settings["classes"][0]["promiseNs"] = 2 * 10**9

    world = in_process(links.says, links.says, changes=changes)
    for cache in world.caches:
        cache.closed = lambda _sock, cache=cache: links.closed(cache)
    return world


def asker_of(world):
    """A client that waits for long enough to see what follows."""
    asker = world.asker()
    asker.allow = ALLOW
    return asker


def shown(links, asker, delay):
    """The home of an object, whose link has shown that it has a delay; and the shortest time of an answer."""

    def answered():
        at = time.monotonic()
        tag = asker.ask(key=1, room=4)
        assert asker.answer()[:2] == [tag, b"200"]
        return time.monotonic() - at

    answered()
    home = links.first(b"do")[1][1]
    links.delays[home] = delay
    return home, min(answered() for _ in range(ANSWERS_COUNTED))


def asked_again(world, links, asker, home):
    """One more request, which its home never answers; its call, when it is in flight."""
    links.hangs.add(home)
    links.whole.clear()
    asker.ask(key=1, room=4)
    until(lambda: world.held()["out"] == 1)
    (call,) = world.does(lambda: list(world.owner.open_requests.values()))
    return call


def cancels(world, call):
    """The router cancels an attempt, as where its cache is ejected."""
    world.does(lambda: world.owner.router.cancel_if_safe(call.request))


def breaks(world, call):
    """The connection of an attempt is closed here."""
    world.does(lambda: call.attempt.connection.close(CloseReason.SILENT))


@pytest.mark.parametrize("when", ["under way", "whole"])
@pytest.mark.parametrize("ends, told", [(cancels, b"undo"), (breaks, b"closed")])
def test_the_next_attempt_waits_until_a_cache_behind_a_slow_link_knows_of_the_first_ones_end(
    in_process, links, when, ends, told
):
    """It came whole to its cache 8 ms after the cancel was sent, which had 150 ms to go."""
    world = made(in_process, links)
    asker = asker_of(world)
    home, _ = shown(links, asker, DELAY)
    (other,) = [cache for cache in world.caches if cache is not home]
    call = asked_again(world, links, asker, home)
    if when == "whole":
        until(lambda: links.first(b"do", home))
    ends(world, call)
    until(lambda: all((links.first(b"do", home), links.first(told, home), links.first(b"do", other))))
    assert links.first(b"do", home)[0] < links.first(told, home)[0] < links.first(b"do", other)[0]
    assert asker.answer()[1] == b"200"
    world.rests()


def test_a_reply_behind_the_cancel_proves_that_it_was_read_and_ends_the_wait(in_process, links):
    """A cache that is slow, and not its link, costs no time."""
    world = made(in_process, links)
    asker = asker_of(world)
    home, _ = shown(links, asker, DELAY)
    call = asked_again(world, links, asker, home)
    until(lambda: links.first(b"do", home))
    pool = world.does(lambda: world.owner.back.pools[call.request.backend])
    for _ in range(ANSWERS_COUNTED):
        world.does(lambda: pool.link_delay.record(HOUR, world.owner.time))
    cancels(world, call)
    assert asker.answer()[1] == b"200", "long before the hour is over"
    world.rests()


def test_a_cancelled_attempt_goes_over_to_the_next_process_with_its_wait(in_process, links, monkeypatch):
    monkeypatch.setattr(Connection, "movable", True)
    world = made(in_process, links)
    asker = asker_of(world)
    home, _ = shown(links, asker, DELAY)
    call = asked_again(world, links, asker, home)
    links.deaf.add(home)
    pool = world.does(lambda: world.owner.back.pools[call.request.backend])
    for _ in range(ANSWERS_COUNTED):
        world.does(lambda: pool.link_delay.record(HOUR, world.owner.time))
    cancels(world, call)
    with handed_over(world) as restorer:
        gateway = restorer.gateway
        (end,) = [timer for timer in gateway.timers if timer.callback == gateway.attempt_ended]
        assert end.arguments[1] is CloseReason.CALLED_OFF and end.at > gateway.time + HOUR // 2


def waits(world, call):
    """How long the next attempt of a request waits that is cancelled now, in ticks."""
    owner = world.owner

    def cancelled():
        owner.router.cancel_if_safe(call.request)
        return owner.time

    at = world.does(cancelled)
    ends = world.does(lambda: [timer.at for timer in owner.timers if timer.callback == owner.attempt_ended])
    return ends[0] - at if ends else 0


@pytest.mark.parametrize("probes", [True, False])
def test_a_cache_that_answered_at_once_and_hangs_costs_no_longer_wait_than_before(in_process, links, probes):
    """Service through failures is what attempts anew are for: nobody waits for a word that never comes."""
    world = made(in_process, links, probes=probes)
    asker = asker_of(world)
    home, shortest = shown(links, asker, 0.0)
    call = asked_again(world, links, asker, home)
    links.deaf.add(home)
    until(lambda: links.first(b"do", home))
    slack = world.owner.back.answer_slack
    assert waits(world, call) <= max(slack, shortest * TICKS_PER_SECOND)
    assert asker.answer()[1] == b"200"
    world.rests()


def test_a_slow_link_that_is_cut_delays_the_next_attempt_by_what_its_answers_took_at_most(in_process, links):
    world = made(in_process, links)
    asker = asker_of(world)
    home, shortest = shown(links, asker, DELAY)
    call = asked_again(world, links, asker, home)
    links.deaf.add(home)
    assert 2 * DELAY * TICKS_PER_SECOND * 0.9 <= waits(world, call) <= shortest * TICKS_PER_SECOND
    assert asker.answer()[1] == b"200"
    world.rests(but=("clients", "checks"))


def test_nothing_is_asked_of_a_cache_where_no_attempt_follows_or_the_settings_allow_no_probes(
    in_process, links
):
    world = made(in_process, links, probes=False)
    asker = asker_of(world)
    home, _ = shown(links, asker, DELAY)
    call = asked_again(world, links, asker, home)
    cancels(world, call)
    assert asker.answer()[1] == b"200"
    assert not links.first(b"ping") and not links.first(b"top")
    allowed = made(in_process, links)
    other = asker_of(allowed)
    links.hangs.clear()
    links.whole.clear()
    home, _ = shown(links, other, DELAY)
    asked_again(allowed, links, other, home)
    forgets(other)
    until(lambda: links.first(b"undo", home))
    allowed.rests()
    assert not links.first(b"ping")


# --- the policy, beside a plain model ---


def expected(answers, now):
    """In the plainest words."""
    last = answers[-ANSWERS_COUNTED:]
    recent = [took for at, took in last if now - at < LINK_DELAY_MEMORY]
    return min(recent) if len(recent) >= MIN_ANSWERS else 0


@given(
    st.lists(st.tuples(st.integers(0, LINK_DELAY_MEMORY), st.integers(-500, 9000)), max_size=12),
    st.integers(0, 2 * LINK_DELAY_MEMORY),
)
def test_the_delay_is_the_shortest_of_the_last_answers(steps, more):
    link, seen, now = LinkDelay(), [], 10**6
    for wait, took in steps:
        now += wait
        link.record(took, now)
        seen.append((now, max(0, took)))
        assert link.expected(now) == expected(seen, now)
    assert link.expected(now + more) == expected(seen, now + more)
