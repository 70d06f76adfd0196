"""A cancelled attempt counts as in flight until its cache has read the cancellation: over slow links, with
real sockets.

The tests require only what a gateway can know: the links' answers were slow before. The order of events is
determined by the links: each message takes a fixed time in each direction, and there are no races."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacloft.net.close_reasons import CloseReason
from lilacloft.net.connection import Connection
from lilacloft.net.resp import encode
from lilacloft.routing.link_delay import ANSWERS_COUNTED, LINK_DELAY_MEMORY, MIN_ANSWERS, LinkDelay
from lilacloft.routing.units import TICKS_PER_SECOND
from rigs.inprocess import cancel_all, restored_successor, until
from rigs.scene import Timers

DELAY = 0.15  # seconds that a message takes, in each direction
# longer than a round trip, so that a slow link does not count as silent
LONG_CONNECT = {"connectTimeoutNs": 10**9}
ALLOW = 3000  # ms
HOUR = 3600 * TICKS_PER_SECOND


class SlowLinks:
    """Caches behind links with a delay; records the complete messages that reach them, in order."""

    def __init__(self):
        self.delays = {}  # seconds, by stand
        self.hanging = set()  # caches that answer no requests
        self.unresponsive = set()  # caches that answer nothing at all
        self.received = []  # (when, stand, verb, id)
        self.timers = Timers()

    def send_to_cache(self, stand, sock, items):
        """Deliver a message from the gateway to a cache after the link's delay."""
        self.timers.after(self.delay(stand), lambda: self.arrives(stand, sock, items))

    def delay(self, stand):
        return self.delays.get(stand, 0.0)

    def arrives(self, stand, sock, items):
        self.received.append((time.monotonic(), stand, items[0], items[1]))
        if stand in self.unresponsive or items[0] == b"undo" or (items[0] == b"do" and stand in self.hanging):
            return
        if items[0] == b"do":
            answer = encode(items[1], b"data", b"remark=TCP_HIT", b"ok")
        else:
            answer = encode(items[1], b"well", b"report=inflight:1;util:0.2")
        self.timers.after(self.delay(stand), lambda: sock.sendall(answer))

    def closed(self, stand):
        """Record the gateway's close of a connection after the link's delay."""
        self.timers.after(
            self.delay(stand), lambda: self.received.append((time.monotonic(), stand, b"closed", b""))
        )

    def first(self, verb, stand=None):
        """Return the index and the entry of the first message of a kind; None if there was none."""
        matches = (
            entry
            for entry in enumerate(self.received)
            if entry[1][2] == verb and stand in (None, entry[1][1])
        )
        return next(matches, None)


@pytest.fixture
def links():
    slow = SlowLinks()
    yield slow
    slow.timers.over = True


def made(in_process, links, **more):
    """Return a world of two caches behind links, with time limits longer than the links' delays."""

    def changes(settings):
        settings["limits"].update(LONG_CONNECT, **more)
        settings["classes"][0]["promiseNs"] = 2 * 10**9

    world = in_process(links.send_to_cache, links.send_to_cache, changes=changes)
    for cache in world.caches:
        cache.closed = lambda _sock, cache=cache: links.closed(cache)
    return world


def patient_client(world):
    """Return a client with a long enough timeout."""
    asker = world.asker()
    asker.allow = ALLOW
    return asker


def measure_link(links, asker, delay):
    """Send requests until an object's home cache has shown its link's delay; return it and the shortest
    answer time."""

    def answered():
        at = time.monotonic()
        tag = asker.ask(key=1, room=4)
        assert asker.answer()[:2] == [tag, b"200"]
        return time.monotonic() - at

    answered()
    home = links.first(b"do")[1][1]
    links.delays[home] = delay
    return home, min(answered() for _ in range(ANSWERS_COUNTED))


def send_unanswered(world, links, asker, home):
    """Send one more request, which its home never answers; return its `ClientRequest` once it is in
    flight."""
    links.hanging.add(home)
    links.received.clear()
    asker.ask(key=1, room=4)
    until(lambda: world.held()["out"] == 1)
    (client_request,) = world.run_on_owner(lambda: list(world.owner.open_requests.values()))
    return client_request


def cancel_attempt(world, client_request):
    """Have the router cancel an attempt, as when its cache is ejected."""
    world.run_on_owner(lambda: world.owner.router.cancel_if_safe(client_request.request))


def close_connection(world, client_request):
    """Close an attempt's connection from the gateway's side."""
    world.run_on_owner(lambda: client_request.attempt.connection.close(CloseReason.SILENT))


@pytest.mark.parametrize("when", ["under way", "whole"])
@pytest.mark.parametrize("end_attempt, verb", [(cancel_attempt, b"undo"), (close_connection, b"closed")])
def test_the_next_attempt_waits_until_a_cache_behind_a_slow_link_has_read_the_cancellation(
    in_process, links, when, end_attempt, verb
):
    """The next attempt reached its cache 8 ms after a cancellation was sent that took 150 ms to arrive."""
    world = made(in_process, links)
    asker = patient_client(world)
    home, _ = measure_link(links, asker, DELAY)
    (other,) = [cache for cache in world.caches if cache is not home]
    client_request = send_unanswered(world, links, asker, home)
    if when == "whole":
        until(lambda: links.first(b"do", home))
    end_attempt(world, client_request)
    until(lambda: all((links.first(b"do", home), links.first(verb, home), links.first(b"do", other))))
    assert links.first(b"do", home)[0] < links.first(verb, home)[0] < links.first(b"do", other)[0]
    assert asker.answer()[1] == b"200"
    world.wait_until_idle()


def test_an_answered_health_check_after_the_cancellation_ends_the_wait(in_process, links):
    """A slow cache behind a fast link causes no wait."""
    world = made(in_process, links)
    asker = patient_client(world)
    home, _ = measure_link(links, asker, DELAY)
    client_request = send_unanswered(world, links, asker, home)
    until(lambda: links.first(b"do", home))
    pool = world.run_on_owner(lambda: world.owner.upstream.pools[client_request.request.backend])
    for _ in range(ANSWERS_COUNTED):
        world.run_on_owner(lambda: pool.link_delay.record(HOUR, world.owner.time))
    cancel_attempt(world, client_request)
    assert asker.answer()[1] == b"200", "long before the recorded delay of an hour"
    world.wait_until_idle()


def test_a_cancelled_attempt_is_handed_over_with_its_wait(in_process, links, monkeypatch):
    monkeypatch.setattr(Connection, "movable", True)
    world = made(in_process, links)
    asker = patient_client(world)
    home, _ = measure_link(links, asker, DELAY)
    client_request = send_unanswered(world, links, asker, home)
    links.unresponsive.add(home)
    pool = world.run_on_owner(lambda: world.owner.upstream.pools[client_request.request.backend])
    for _ in range(ANSWERS_COUNTED):
        world.run_on_owner(lambda: pool.link_delay.record(HOUR, world.owner.time))
    cancel_attempt(world, client_request)
    with restored_successor(world) as restorer:
        gateway = restorer.gateway
        (end,) = [timer for timer in gateway.timers if timer.callback == gateway.attempt_ended]
        assert end.arguments[1] is CloseReason.CALLED_OFF and end.at > gateway.time + HOUR // 2


def wait_after_cancel(world, client_request):
    """Cancel a request's attempt; return how long its next attempt waits, in ticks."""
    owner = world.owner

    def cancelled():
        owner.router.cancel_if_safe(client_request.request)
        return owner.time

    at = world.run_on_owner(cancelled)
    ends = world.run_on_owner(
        lambda: [timer.at for timer in owner.timers if timer.callback == owner.attempt_ended]
    )
    return ends[0] - at if ends else 0


@pytest.mark.parametrize("probes", [True, False])
def test_a_hanging_cache_behind_a_fast_link_does_not_lengthen_the_wait(in_process, links, probes):
    """Retries must keep the service available: they must not wait for a confirmation that never comes."""
    world = made(in_process, links, probes=probes)
    asker = patient_client(world)
    home, shortest = measure_link(links, asker, 0.0)
    client_request = send_unanswered(world, links, asker, home)
    links.unresponsive.add(home)
    until(lambda: links.first(b"do", home))
    slack = world.owner.upstream.answer_slack
    assert wait_after_cancel(world, client_request) <= max(slack, shortest * TICKS_PER_SECOND)
    assert asker.answer()[1] == b"200"
    world.wait_until_idle()


def test_a_cut_slow_link_delays_the_next_attempt_by_at_most_its_answer_time(in_process, links):
    world = made(in_process, links)
    asker = patient_client(world)
    home, shortest = measure_link(links, asker, DELAY)
    client_request = send_unanswered(world, links, asker, home)
    links.unresponsive.add(home)
    assert (
        2 * DELAY * TICKS_PER_SECOND * 0.9
        <= wait_after_cancel(world, client_request)
        <= shortest * TICKS_PER_SECOND
    )
    assert asker.answer()[1] == b"200"
    world.wait_until_idle(but=("clients", "checks"))


def test_no_health_check_is_sent_without_a_next_attempt_or_if_health_checks_are_off(in_process, links):
    world = made(in_process, links, probes=False)
    asker = patient_client(world)
    home, _ = measure_link(links, asker, DELAY)
    client_request = send_unanswered(world, links, asker, home)
    cancel_attempt(world, client_request)
    assert asker.answer()[1] == b"200"
    assert not links.first(b"ping") and not links.first(b"top")
    allowed = made(in_process, links)
    other = patient_client(allowed)
    links.hanging.clear()
    links.received.clear()
    home, _ = measure_link(links, other, DELAY)
    send_unanswered(allowed, links, other, home)
    cancel_all(other)
    until(lambda: links.first(b"undo", home))
    allowed.wait_until_idle()
    assert not links.first(b"ping")


# --- LinkDelay, compared with a simple model ---


def expected(answers, now):
    """Return the expected delay by a simple computation."""
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
