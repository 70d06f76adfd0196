"""The order in which a gateway's event loop handles events: requests of one client, or of many, must not
delay another client's reply, deadline or request.

The orders are forced: the event loop is held while readers post events, and hooks record the order in which
it then handles them. No test depends on how long anything takes.
"""

import select
import threading
import time
from types import SimpleNamespace

import pytest

from lilacloft.gateway.clock import GatewayClock
from lilacloft.gateway.counters import Counters
from lilacloft.gateway.event_loop import EventLoop
from lilacloft.handover.quiesce import Quiescer
from lilacloft.net import polling
from lilacloft.net.connection import Connection
from lilacloft.net.resp import encode, encode_fields, parse_fields
from lilacloft.routing.units import TICKS_PER_SECOND
from rigs.inprocess import halves, until
from rigs.stands import silent

BATCH = 32  # the limit of open requests per connection
REPLY_KEY, DEADLINE_KEY, SINGLE_KEY = 1_000, 1_001, 1_002
SHORT = 800  # milliseconds; client timeout of the request whose deadline passes
QUEUED = 300  # milliseconds for which a request waits in the queue
MAX_ARRIVALS_BETWEEN = 1
LAG_THRESHOLD = 200  # ticks


class WorkOrder:
    """Records the steps of a gateway's event loop in order: requests handled, and final answers sent."""

    def __init__(self, owner):
        self.steps = []
        self.on_handled = lambda: None  # called in the event loop's thread after a request was handled
        self._wrap(owner)

    def _wrap(self, owner):
        handle, send = owner.router.request_arrived, owner.answers.send

        def handled(request):
            self.steps.append(("handled", int(request.key, 16)))
            handle(request)
            self.on_handled()

        def answered(client_request, *rest):
            self.steps.append(("answered", int(client_request.key, 16)))
            send(client_request, *rest)

        owner.router.request_arrived, owner.answers.send = handled, answered

    def handled_count(self):
        return sum(what == "handled" for what, _ in self.steps)

    def handled_before(self, what, key, since=0):
        """Return how many requests were handled before a step, counted from step `since` on. Raises
        ValueError if the step came before `since`."""
        end = self.steps.index((what, key), since)
        return sum(step[0] == "handled" for step in self.steps[since:end])


def batch(asker, count=BATCH, allow=3000):
    """Send `count` requests in one write. The reader itself answers the `ALIVE` after them, which shows that
    all of them are posted."""
    messages = []
    for number in range(1, count + 1):
        fields = {
            "ref": f"{id(asker) % 10**9:08x}{number:08x}",
            "allow": allow,
            "lookup": f"{number:016x}",
            "nth": 0,
            "batch": 7,
            "room": 40.0,
        }
        messages.append(encode(b"EXEC", b"%d" % number, b"clip", encode_fields(fields.items()), b""))
    asker.sock.sendall(b"".join([*messages, encode(b"ALIVE", b"99", b"")]))
    assert asker.answer() == [b"99", b"serving"]
    asker.tag = 99


def wait_until_posted(asker):
    """Wait until everything that a client has sent is posted to the event loop."""
    asker.send(b"ALIVE", b"98", b"")
    assert asker.answer() == [b"98", b"serving"]


def reply_from_cache(world, sock, items):
    """Answer as a cache, and wait until the reply is posted."""
    connections = [
        connection for pool in world.owner.upstream.pools.values() for connection in pool.connections
    ]
    before = sum(connection.received for connection in connections)
    reply = encode(items[1], b"data", b"remark=TCP_HIT", b"bytes")
    sock.sendall(reply)
    until(lambda: sum(connection.passed_on for connection in connections) >= before + len(reply))


def request_in_flight(world, key, allow=3000):
    """Send a request that goes in flight; return its client, its tag, and the cache's socket and message."""
    asker = world.asker()
    tag = asker.ask(key=key, allow=allow)
    _, sock, items = world.caches[0].next()
    return asker, tag, sock, items


@pytest.fixture
def busy(in_process):
    """A gateway with two requests in flight: one is to be answered, the other's deadline is to pass. More
    clients are connected without requests."""

    def changes(settings):
        settings["classes"][0]["promiseNs"] = 3 * 10**9  # so that no attempt is cancelled meanwhile

    world = in_process(silent, changes=changes)
    clients = [world.asker() for _ in range(BATCH)]
    for client in clients:
        wait_until_posted(client)
    order = WorkOrder(world.owner)
    reply, deadline = request_in_flight(world, REPLY_KEY), request_in_flight(world, DEADLINE_KEY, SHORT)
    over = time.monotonic() + SHORT / 1000
    assert order.handled_count() == 2
    return SimpleNamespace(
        world=world, clients=clients, order=order, reply=reply, deadline=deadline, over=over
    )


def assert_both_are_handled(busy, since):
    """Check that the reply and the deadline are handled after at most one arrival."""
    asker, tag, _, _ = busy.reply
    assert asker.answer()[:2] == [tag, b"200"]
    asker, tag, _, _ = busy.deadline
    assert asker.answer()[:2] == [tag, b"503"]
    between = {
        "reply": busy.order.handled_before("answered", REPLY_KEY, since),
        "deadline": busy.order.handled_before("answered", DEADLINE_KEY, since),
    }
    assert max(between.values()) <= MAX_ARRIVALS_BETWEEN, f"arrivals handled before: {between}"


def assert_both_are_handled_after(busy, send):
    """Check the same when clients `send` while the loop is held, followed by a reply and a due deadline."""
    since, go = len(busy.order.steps), busy.world.stall()
    send()
    reply_from_cache(busy.world, *busy.reply[2:])
    until(lambda: time.monotonic() > busy.over)
    go.set()
    assert_both_are_handled(busy, since)


# --- replies and deadlines before arrivals ---


def test_a_reply_and_a_deadline_wait_for_at_most_one_arrival_of_a_clients_batch(busy):
    # guards rule 1: one client's pipelined requests must not delay another's answer
    assert_both_are_handled_after(busy, lambda: batch(busy.clients[0]))


def test_a_reply_and_a_deadline_wait_for_at_most_one_arrival_of_many_clients(busy):
    # guards rule 1: fairness among clients does not suffice if each has one request
    def send():
        for number, client in enumerate(busy.clients):
            client.ask(key=number, allow=3000)
            wait_until_posted(client)

    assert_both_are_handled_after(busy, send)


def test_a_reply_and_a_deadline_during_a_batch_wait_for_at_most_one_arrival(busy):
    # guards rule 1: replies and deadlines during a batch do not wait for its end
    batch_client = busy.clients[0]
    go, since = busy.world.stall(), []

    def within_batch():
        if busy.order.handled_count() == 2 + BATCH // 4:
            reply_from_cache(busy.world, *busy.reply[2:])
            until(lambda: time.monotonic() > busy.over)
            since.append(len(busy.order.steps))

    busy.order.on_handled = within_batch
    batch(batch_client)
    go.set()
    until(lambda: since)
    assert_both_are_handled(busy, since[0])


def test_a_reply_and_a_deadline_wait_for_at_most_one_arrival_of_a_client_that_half_closes(busy):
    # guards rule 1: requests of a client that may have left must not delay those of one that waits
    def send():
        batch(busy.clients[0])
        halves(busy.clients[0])

    assert_both_are_handled_after(busy, send)


# --- one client's requests and another's ---


def test_a_single_request_waits_for_at_most_one_request_of_another_clients_batch(in_process):
    # guards rule 1: one client's request waits for one request of another's batch, not for all
    world = in_process(silent)
    order, batch_client, other = WorkOrder(world.owner), world.asker(), world.asker()
    wait_until_posted(batch_client), wait_until_posted(other)
    go = world.stall()
    batch(batch_client)
    other.ask(key=SINGLE_KEY, allow=3000)
    wait_until_posted(other)
    go.set()
    until(lambda: order.handled_count() == BATCH + 1)
    assert order.handled_before("handled", SINGLE_KEY) <= MAX_ARRIVALS_BETWEEN


def test_a_single_request_during_a_batch_waits_for_at_most_one_more_of_it(
    in_process,
):
    # guards rule 1: as before, if the other's request arrives during the batch
    world = in_process(silent)
    order, batch_client, other = WorkOrder(world.owner), world.asker(), world.asker()
    wait_until_posted(batch_client), wait_until_posted(other)
    go, since = world.stall(), []

    def within_batch():
        if order.handled_count() == BATCH // 4:
            other.ask(key=SINGLE_KEY, allow=3000)
            wait_until_posted(other)
            since.append(len(order.steps))

    order.on_handled = within_batch
    batch(batch_client)
    go.set()
    until(lambda: order.handled_count() == BATCH + 1)
    assert order.handled_before("handled", SINGLE_KEY, since[0]) <= MAX_ARRIVALS_BETWEEN


def test_a_request_that_expires_in_the_queue_is_answered_after_at_most_one_arrival(in_process):
    # guards rule 1: a queued request has a deadline too, although it has no timer yet
    world = in_process(silent)
    order = WorkOrder(world.owner)
    clients, short = [world.asker() for _ in range(BATCH)], world.asker()
    for client in (*clients, short):
        wait_until_posted(client)
    go = world.stall()
    for number, client in enumerate(clients):
        client.ask(key=number, allow=3000)
        wait_until_posted(client)
    tag, over = short.ask(key=SINGLE_KEY, allow=QUEUED), time.monotonic() + QUEUED / 1000
    wait_until_posted(short)
    until(lambda: time.monotonic() > over)
    go.set()
    assert short.answer()[:2] == [tag, b"503"]
    assert order.handled_before("answered", SINGLE_KEY) <= MAX_ARRIVALS_BETWEEN + 1  # and its own arrival


def test_overdue_requests_of_one_client_precede_anothers_request_at_most_once(in_process):
    # guards rule 1: requests that arrive past their deadline must not delay those with time left
    world = in_process(silent)
    order, batch_client, other = WorkOrder(world.owner), world.asker(), world.asker()
    wait_until_posted(batch_client), wait_until_posted(other)
    go, since = world.stall(), time.monotonic()
    batch(batch_client, allow=1)
    other.ask(key=SINGLE_KEY, allow=3000)
    wait_until_posted(other)
    until(lambda: time.monotonic() > since + 0.01)
    go.set()
    until(lambda: order.handled_count() == BATCH + 1)
    assert order.handled_before("handled", SINGLE_KEY) <= 2 * MAX_ARRIVALS_BETWEEN + 1


def test_a_request_handled_during_a_lag_gets_the_margin_for_it(in_process):
    # guards rule 1: the margin of requests queued during a lag was the one from before the lag
    world = in_process(silent)
    asker = world.asker()
    wait_until_posted(asker)
    go, since = world.stall(), time.monotonic()
    asker.ask(key=SINGLE_KEY, allow=3000)
    wait_until_posted(asker)
    until(lambda: time.monotonic() > since + QUEUED / 1000)
    go.set()
    until(lambda: world.owner.open_requests)
    (client_request,) = world.owner.open_requests.values()
    assert (
        client_request.history.deadline - client_request.request.deadline >= QUEUED * TICKS_PER_SECOND // 2000
    )


# --- order of one client's own events ---


def test_requests_before_malformed_input_are_handled_before_it_and_all_answered(in_process):
    # guards against a wrong order: `client_sent_malformed` answers only requests handled before it
    world = in_process(silent)
    order, batch_client, malformed = WorkOrder(world.owner), world.asker(), world.asker()
    wait_until_posted(batch_client), wait_until_posted(malformed)
    go = world.stall()
    batch(batch_client)
    tags = {malformed.ask(key=SINGLE_KEY + number, allow=3000) for number in range(4)}
    wait_until_posted(malformed)
    malformed.sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    go.set()
    got = list(iter(malformed.answer, None))
    assert {items[0] for items in got} == tags and {items[1] for items in got} == {b"503"}
    until(lambda: order.handled_count() == BATCH + 4)
    rejects = world.owner.counters.rejects
    assert rejects["GARBLED"] and not rejects["TIME_UP"], "rejected at once, not at their deadlines"


def test_the_end_of_a_clients_input_is_handled_after_its_requests(in_process):
    # guards against a wrong order: after its grace, nothing is sent for a client that may have left
    world = in_process(silent)
    batch_client, asker = world.asker(), world.asker()
    wait_until_posted(batch_client), wait_until_posted(asker)
    go = world.stall()
    batch(batch_client)
    asker.ask(key=SINGLE_KEY, allow=3000)
    halves(asker)
    until(lambda: any(client.input_ended is not None for client in world.owner.downstream.clients))
    go.set()
    until(
        lambda: f"{SINGLE_KEY:016x}"
        in [client_request.key for client_request in world.owner.open_requests.values()]
    )
    world.run_on_owner(lambda: None)
    (client_request,) = [
        client_request
        for client_request in world.owner.open_requests.values()
        if client_request.key == f"{SINGLE_KEY:016x}"
    ]
    until(lambda: client_request.request.send_by)


def test_the_loop_survives_a_handover_that_takes_all_events_before_a_reply(in_process, monkeypatch):
    # guards rule 1: the loop ended with an exception, and no open request was answered
    monkeypatch.setattr(Connection, "movable", True)
    world = in_process(silent)
    asker, tag, sock, items = request_in_flight(world, REPLY_KEY)
    quiescer, results = Quiescer(world.owner), []

    def quiesce_and_resume():
        results.append(quiescer.quiesce(time.monotonic() + 4, lambda: True))
        quiescer.resume_all()

    go = world.stall()
    world.owner.post(quiesce_and_resume)
    reply_from_cache(world, sock, items)
    go.set()
    assert asker.answer()[:2] == [tag, b"200"]
    until(lambda: results)
    again = world.asker()
    again.ask(key=SINGLE_KEY)
    assert world.caches[0].next()


# --- internal events ---


SHORT_TIMEOUT = 150  # milliseconds; client timeout of a request with little time


def post_internal_events(order, owner, count=BATCH):
    """Post `count` internal events other than replies, such as lost connections; each is recorded as a
    step."""
    for number in range(count):
        owner.post(order.steps.append, ("internal", number))


def internal_before(order, what, key, since=0):
    """Return how many internal events were run before a step, counted from step `since` on."""
    end = order.steps.index((what, key), since)
    return sum(step[0] == "internal" for step in order.steps[since:end])


def test_a_request_with_little_time_left_waits_for_at_most_one_internal_event(in_process):
    # guards rule 1: lost connections of other requests delayed a request past its deadline
    world = in_process(silent)
    order, asker = WorkOrder(world.owner), world.asker()
    wait_until_posted(asker)
    go = world.stall()
    post_internal_events(order, world.owner)
    asker.ask(key=SINGLE_KEY, allow=SHORT_TIMEOUT)
    wait_until_posted(asker)
    go.set()
    until(order.handled_count)
    assert internal_before(order, "handled", SINGLE_KEY) <= 1


def test_a_request_with_little_time_left_waits_for_at_most_one_request_with_more(in_process):
    # guards rule 1: clients took turns regardless of how much time they had left
    world = in_process(silent)
    order = WorkOrder(world.owner)
    clients, short = [world.asker() for _ in range(BATCH)], world.asker()
    for client in (*clients, short):
        wait_until_posted(client)
    go = world.stall()
    for number, client in enumerate(clients):
        client.ask(key=number, allow=3000)
        wait_until_posted(client)
    short.ask(key=SINGLE_KEY, allow=SHORT_TIMEOUT)
    wait_until_posted(short)
    go.set()
    until(lambda: order.handled_count() == BATCH + 1)
    assert order.handled_before("handled", SINGLE_KEY) <= MAX_ARRIVALS_BETWEEN


def test_requests_with_little_time_left_alternate_with_internal_events(in_process):
    # guards against a wrong order: many requests with little time must not delay everything else
    world = in_process(silent)
    order, batch_client = WorkOrder(world.owner), world.asker()
    wait_until_posted(batch_client)
    go = world.stall()
    post_internal_events(order, world.owner)
    batch(batch_client, allow=SHORT_TIMEOUT)
    go.set()
    until(lambda: ("internal", BATCH - 1) in order.steps)
    assert order.handled_before("internal", BATCH - 1) <= BATCH


def test_a_reply_and_a_deadline_wait_for_at_most_one_internal_event(busy):
    # guards rule 1: the answer to one request waited until all events of others were handled
    since, go = len(busy.order.steps), busy.world.stall()
    post_internal_events(busy.order, busy.world.owner)
    reply_from_cache(busy.world, *busy.reply[2:])
    until(lambda: time.monotonic() > busy.over)
    go.set()
    for (asker, tag, _, _), word, key in (
        (busy.reply, b"200", REPLY_KEY),
        (busy.deadline, b"503", DEADLINE_KEY),
    ):
        assert asker.answer()[:2] == [tag, word]
        assert internal_before(busy.order, "answered", key, since) <= 1


# --- unread answers ---


def test_unread_answers_are_detected_at_any_stage_with_one_poll(in_process, monkeypatch):
    # guards rule 1: one poll per connection took longer than the wait that it was meant to bound
    world = in_process(silent)
    askers = [request_in_flight(world, REPLY_KEY + number) for number in range(4)]
    has_unread, polls = world.owner.loop.has_unread_answers, []
    assert not world.run_on_owner(has_unread)
    make_poll = select.poll

    def counting_poll():
        polls.append(1)
        return make_poll()

    monkeypatch.setattr(polling.select, "poll", counting_poll)
    assert not world.run_on_owner(lambda: (polls.clear(), has_unread())[1] or len(polls) != 1)
    connections = [
        connection for pool in world.owner.upstream.pools.values() for connection in pool.connections
    ]
    is_blocked, go = threading.Event(), threading.Event()
    for connection in connections:
        on_message = connection.on_message
        connection.on_message = lambda *arguments, on_message=on_message: (
            is_blocked.set(),
            go.wait(5),
            on_message(*arguments),
        )
    _, tag, sock, items = askers[0]
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert is_blocked.wait(5)
    assert world.run_on_owner(has_unread), "read by its reader, and not passed on"
    go.set()
    assert askers[0][0].answer()[:2] == [tag, b"200"]
    until(lambda: not world.run_on_owner(has_unread))


def test_a_reply_is_handled_before_the_end_of_its_connection(in_process):
    # guards against a wrong order: a reply that was read is valid although its connection has ended
    world = in_process(silent)
    batch_client, (asker, tag, sock, items) = world.asker(), request_in_flight(world, REPLY_KEY)
    wait_until_posted(batch_client)
    go = world.stall()
    batch(batch_client)
    reply_from_cache(world, sock, items)
    world.caches[0].break_off(reset=False)
    connections = [
        connection for pool in world.owner.upstream.pools.values() for connection in pool.connections
    ]
    until(lambda: all(connection.close_reason is not None for connection in connections))
    go.set()
    assert asker.answer()[:2] == [tag, b"200"]


def test_the_time_limit_of_a_queued_request_excludes_its_time_in_the_queue(in_process):
    # guards the operators' term on sent time limits: they follow the time left when the request is handled
    world = in_process(silent)
    batch_client, asker = world.asker(), world.asker()
    wait_until_posted(batch_client), wait_until_posted(asker)
    go = world.stall()
    asker.ask(key=SINGLE_KEY, allow=3000)
    asked = time.monotonic()
    wait_until_posted(asker)
    batch(batch_client)
    until(lambda: time.monotonic() > asked + QUEUED / 1000)
    left = asked + 3.0 - time.monotonic()
    go.set()
    dispatches = [world.caches[0].next()[2][2]]
    while b"thing=%016x" % SINGLE_KEY not in dispatches[-1]:
        dispatches.append(world.caches[0].next()[2][2])
    assert int(parse_fields(dispatches[-1])["max"]) / 1000 <= left + 0.001


def test_a_queued_reply_is_handled_before_its_requests_time_out(in_process):
    # guards against a wrong order: for one request, events that have happened come before due timers
    world = in_process(silent)
    batch_client, (asker, tag, sock, items) = world.asker(), request_in_flight(world, REPLY_KEY, SHORT)
    over = time.monotonic() + SHORT / 1000
    wait_until_posted(batch_client)
    go = world.stall()
    batch(batch_client)
    reply_from_cache(world, sock, items)
    until(lambda: time.monotonic() > over)
    go.set()
    assert asker.answer()[:2] == [tag, b"200"]


# --- unit tests of the event loop ---


@pytest.fixture
def loop():
    loop = EventLoop(GatewayClock(), Counters(), lag_threshold=LAG_THRESHOLD)
    # one timer must always be scheduled
    loop.call_at(loop.clock.time + 1_000 * TICKS_PER_SECOND, lambda: None)
    return loop


def run_once(loop):
    finished = iter([False, True])
    loop.run(lambda: next(finished))


def test_queued_events_are_run_before_the_wait_when_a_lag_begins(loop):
    # guards rule 1: the wait is for unread replies; queued events must not be delayed by it
    steps = []
    loop.has_unread_answers = lambda: bool(steps.append("wait"))
    loop.call_at(loop.clock.time - 2 * LAG_THRESHOLD, steps.append, "timer")
    loop.post(steps.append, "event")
    run_once(loop)
    assert steps == ["event", "wait", "timer"]


def test_a_timers_lag_is_measured_with_the_current_time(loop):
    # guards the lag margin: a lag caused by earlier timers was not seen, and no margin taken for it
    seen = []

    def slow():
        time.sleep(3 * LAG_THRESHOLD / TICKS_PER_SECOND)

    now = loop.clock.time
    loop.call_at(now, slow)
    loop.call_at(now, lambda: seen.append(loop.clock.time))
    run_once(loop)
    assert seen[0] >= now + 3 * LAG_THRESHOLD
    assert loop.lag_margin.current(loop.clock.monotonic_time) >= 2 * LAG_THRESHOLD


def test_a_lag_of_events_alone_counts_for_the_margin(loop):
    # guards the lag margin: it followed timers only, and heartbeats are 50 ms apart
    loop.post(lambda: None)
    time.sleep(3 * LAG_THRESHOLD / TICKS_PER_SECOND)
    run_once(loop)
    assert loop.lag_margin.current(loop.clock.monotonic_time) >= 2 * LAG_THRESHOLD
