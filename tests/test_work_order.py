"""The order in which a gateway's event loop does what has come: one client's requests, or many clients', must
not keep another's reply, deadline or request waiting.

The orders are forced: the event loop is held while the readers post what is to lie there, and what it does
then is noted by hooks, in order. Nothing here depends on how long anything takes.
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

BATCH = 32  # open requests that a connection may carry
REPLY_KEY, DEADLINE_KEY, SINGLE_KEY = 1_000, 1_001, 1_002
SHORT = 800  # milliseconds that a client waits whose deadline is to be over
QUEUED = 300  # milliseconds for which a request lies in the queue
MAX_ARRIVALS_BETWEEN = 1
LAG_THRESHOLD = 200  # ticks


class WorkOrder:
    """What a gateway's event loop does, in order: requests that are taken, and final answers."""

    def __init__(self, owner):
        self.steps = []
        self.on_taken = lambda: None  # called in the event loop's thread, after a request was taken
        self._wrap(owner)

    def _wrap(self, owner):
        take, send = owner.router.request_arrived, owner.answers.send

        def taken(request):
            self.steps.append(("taken", int(request.key, 16)))
            take(request)
            self.on_taken()

        def answered(call, *rest):
            self.steps.append(("answered", int(call.key, 16)))
            send(call, *rest)

        owner.router.request_arrived, owner.answers.send = taken, answered

    def taken(self):
        return sum(what == "taken" for what, _ in self.steps)

    def taken_before(self, what, key, since=0):
        """How many other requests were taken before something was done, from a step on. ValueError where it
        was done before that step."""
        end = self.steps.index((what, key), since)
        return sum(step[0] == "taken" for step in self.steps[since:end])


def batch(asker, count=BATCH, allow=3000):
    """So many requests in one write. The answer to `ALIVE`, which the reader itself gives, shows that all
    before it are posted."""
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


def posted(asker):
    """Wait until all that a client has sent is posted."""
    asker.send(b"ALIVE", b"98", b"")
    assert asker.answer() == [b"98", b"serving"]


def replies(world, sock, items):
    """A cache answers, and the reply is posted."""
    lines = [line for pool in world.owner.back.pools.values() for line in pool.connections]
    before = sum(line.received for line in lines)
    reply = encode(items[1], b"data", b"remark=TCP_HIT", b"bytes")
    sock.sendall(reply)
    until(lambda: sum(line.passed_on for line in lines) >= before + len(reply))


def out(world, key, allow=3000):
    """A client whose request is out; with its tag and what its cache has of it."""
    asker = world.asker()
    tag = asker.ask(key=key, allow=allow)
    _, sock, items = world.caches[0].next()
    return asker, tag, sock, items


@pytest.fixture
def busy(in_process):
    """A gateway with two clients whose requests are out: one's reply is to come, the other's time ends. More
    are connected and have asked nothing."""

    def changes(settings):
        settings["classes"][0]["promiseNs"] = 3 * 10**9  # so that nothing is called back meanwhile

    world = in_process(silent, changes=changes)
    clients = [world.asker() for _ in range(BATCH)]
    for client in clients:
        posted(client)
    order = WorkOrder(world.owner)
    reply, deadline = out(world, REPLY_KEY), out(world, DEADLINE_KEY, SHORT)
    over = time.monotonic() + SHORT / 1000
    assert order.taken() == 2
    return SimpleNamespace(
        world=world, clients=clients, order=order, reply=reply, deadline=deadline, over=over
    )


def assert_both_are_kept(busy, since):
    """The reply is passed on and the deadline kept after at most one arrival."""
    asker, tag, _, _ = busy.reply
    assert asker.answer()[:2] == [tag, b"200"]
    asker, tag, _, _ = busy.deadline
    assert asker.answer()[:2] == [tag, b"503"]
    between = {
        "reply": busy.order.taken_before("answered", REPLY_KEY, since),
        "deadline": busy.order.taken_before("answered", DEADLINE_KEY, since),
    }
    assert max(between.values()) <= MAX_ARRIVALS_BETWEEN, f"arrivals taken before: {between}"


def assert_both_are_kept_behind(busy, send):
    """The same, where clients send while the loop is held; a reply and a due deadline follow."""
    since, go = len(busy.order.steps), busy.world.stall()
    send()
    replies(busy.world, *busy.reply[2:])
    until(lambda: time.monotonic() > busy.over)
    go.set()
    assert_both_are_kept(busy, since)


# --- replies and deadlines before arrivals ---


def test_a_reply_and_a_deadline_behind_one_clients_batch_wait_for_one_arrival_at_most(busy):
    # guards rule 1: one client's pipelined requests must not make another's answer late
    assert_both_are_kept_behind(busy, lambda: batch(busy.clients[0]))


def test_a_reply_and_a_deadline_behind_many_clients_with_one_request_each_wait_for_one_arrival_at_most(busy):
    # guards rule 1: fairness among clients alone does not help where each has one request
    def send():
        for number, client in enumerate(busy.clients):
            client.ask(key=number, allow=3000)
            posted(client)

    assert_both_are_kept_behind(busy, send)


def test_a_reply_and_a_deadline_that_come_while_a_batch_is_under_way_wait_for_one_arrival_at_most(busy):
    # guards rule 1: what comes or falls due within a batch is not left to its end
    flood = busy.clients[0]
    go, since = busy.world.stall(), []

    def in_the_batch():
        if busy.order.taken() == 2 + BATCH // 4:
            replies(busy.world, *busy.reply[2:])
            until(lambda: time.monotonic() > busy.over)
            since.append(len(busy.order.steps))

    busy.order.on_taken = in_the_batch
    batch(flood)
    go.set()
    until(lambda: since)
    assert_both_are_kept(busy, since[0])


def test_a_reply_and_a_deadline_behind_a_client_that_floods_and_ends_wait_for_one_arrival_at_most(busy):
    # guards rule 1: the requests of who may have left are no reason to be late for who waits
    def send():
        batch(busy.clients[0])
        halves(busy.clients[0])

    assert_both_are_kept_behind(busy, send)


# --- one client's requests and another's ---


def test_a_single_request_behind_another_clients_batch_is_taken_after_one_of_it_at_most(in_process):
    # guards rule 1: one client's request waits for one of another's batch, not for all
    world = in_process(silent)
    order, flood, other = WorkOrder(world.owner), world.asker(), world.asker()
    posted(flood), posted(other)
    go = world.stall()
    batch(flood)
    other.ask(key=SINGLE_KEY, allow=3000)
    posted(other)
    go.set()
    until(lambda: order.taken() == BATCH + 1)
    assert order.taken_before("taken", SINGLE_KEY) <= MAX_ARRIVALS_BETWEEN


def test_a_single_request_that_comes_while_a_batch_is_under_way_is_taken_after_one_more_of_it_at_most(
    in_process,
):
    # guards rule 1: as before, where the batch has begun when the other's request comes
    world = in_process(silent)
    order, flood, other = WorkOrder(world.owner), world.asker(), world.asker()
    posted(flood), posted(other)
    go, since = world.stall(), []

    def in_the_batch():
        if order.taken() == BATCH // 4:
            other.ask(key=SINGLE_KEY, allow=3000)
            posted(other)
            since.append(len(order.steps))

    order.on_taken = in_the_batch
    batch(flood)
    go.set()
    until(lambda: order.taken() == BATCH + 1)
    assert order.taken_before("taken", SINGLE_KEY, since[0]) <= MAX_ARRIVALS_BETWEEN


def test_a_request_whose_time_ends_in_the_queue_is_answered_after_one_arrival_at_most(in_process):
    # guards rule 1: a request in the queue has a deadline too, though no timer knows of it yet
    world = in_process(silent)
    order = WorkOrder(world.owner)
    clients, short = [world.asker() for _ in range(BATCH)], world.asker()
    for client in (*clients, short):
        posted(client)
    go = world.stall()
    for number, client in enumerate(clients):
        client.ask(key=number, allow=3000)
        posted(client)
    tag, over = short.ask(key=SINGLE_KEY, allow=QUEUED), time.monotonic() + QUEUED / 1000
    posted(short)
    until(lambda: time.monotonic() > over)
    go.set()
    assert short.answer()[:2] == [tag, b"503"]
    assert order.taken_before("answered", SINGLE_KEY) <= MAX_ARRIVALS_BETWEEN + 1  # and its own


def test_overdue_requests_of_one_client_go_before_anothers_request_once_at_most(in_process):
    # guards rule 1: whoever sends what is over when it comes must not hold up who has time left
    world = in_process(silent)
    order, flood, other = WorkOrder(world.owner), world.asker(), world.asker()
    posted(flood), posted(other)
    go, since = world.stall(), time.monotonic()
    batch(flood, allow=1)
    other.ask(key=SINGLE_KEY, allow=3000)
    posted(other)
    until(lambda: time.monotonic() > since + 0.01)
    go.set()
    until(lambda: order.taken() == BATCH + 1)
    assert order.taken_before("taken", SINGLE_KEY) <= 2 * MAX_ARRIVALS_BETWEEN + 1


def test_a_request_that_is_taken_within_a_lag_has_the_margin_for_it(in_process):
    # guards rule 1: the margin of what lay in the queue meanwhile is that of before the lag
    world = in_process(silent)
    asker = world.asker()
    posted(asker)
    go, since = world.stall(), time.monotonic()
    asker.ask(key=SINGLE_KEY, allow=3000)
    posted(asker)
    until(lambda: time.monotonic() > since + QUEUED / 1000)
    go.set()
    until(lambda: world.owner.open_requests)
    (call,) = world.owner.open_requests.values()
    assert call.history.deadline - call.request.deadline >= QUEUED * TICKS_PER_SECOND // 2000


# --- what must stay: one client's own events, in their order ---


def test_requests_before_nonsense_are_taken_before_it_and_all_answered(in_process):
    # guards what another order could break: `client_sent_malformed` answers only what was taken before it
    world = in_process(silent)
    order, flood, rude = WorkOrder(world.owner), world.asker(), world.asker()
    posted(flood), posted(rude)
    go = world.stall()
    batch(flood)
    tags = {rude.ask(key=SINGLE_KEY + number, allow=3000) for number in range(4)}
    posted(rude)
    rude.sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
    go.set()
    got = list(iter(rude.answer, None))
    assert {items[0] for items in got} == tags and {items[1] for items in got} == {b"503"}
    until(lambda: order.taken() == BATCH + 4)
    rejects = world.owner.counters.rejects
    assert rejects["GARBLED"] and not rejects["TIME_UP"], "at once, not when their time is up"


def test_the_end_of_a_clients_input_comes_after_its_requests(in_process):
    # guards what another order could break: nothing is sent for who may have left, from a moment on
    world = in_process(silent)
    flood, asker = world.asker(), world.asker()
    posted(flood), posted(asker)
    go = world.stall()
    batch(flood)
    asker.ask(key=SINGLE_KEY, allow=3000)
    halves(asker)
    until(lambda: any(client.input_ended is not None for client in world.owner.front.clients))
    go.set()
    until(lambda: f"{SINGLE_KEY:016x}" in [call.key for call in world.owner.open_requests.values()])
    world.does(lambda: None)
    (call,) = [call for call in world.owner.open_requests.values() if call.key == f"{SINGLE_KEY:016x}"]
    until(lambda: call.request.send_by)


def test_a_reply_behind_a_handover_that_takes_all_events_leaves_the_loop_running(in_process, monkeypatch):
    # guards rule 1: the loop ended with an error, and with it all that the process owed
    monkeypatch.setattr(Connection, "movable", True)
    world = in_process(silent)
    asker, tag, sock, items = out(world, REPLY_KEY)
    quiescer, results = Quiescer(world.owner), []

    def rest_and_resume():
        results.append(quiescer.quiesce(time.monotonic() + 4, lambda: True))
        quiescer.resume_all()

    go = world.stall()
    world.owner.post(rest_and_resume)
    replies(world, sock, items)
    go.set()
    assert asker.answer()[:2] == [tag, b"200"]
    until(lambda: results)
    again = world.asker()
    again.ask(key=SINGLE_KEY)
    assert world.caches[0].next()


# --- internal events that begin new work ---


LITTLE = 150  # milliseconds that a client waits which has little time


def internal_events(order, owner, count=BATCH):
    """Post so many internal events that are no replies, as lost connections are; each is a step."""
    for number in range(count):
        owner.post(order.steps.append, ("internal", number))


def internal_before(order, what, key, since=0):
    """How many internal events were run before something was done, from a step on."""
    end = order.steps.index((what, key), since)
    return sum(step[0] == "internal" for step in order.steps[since:end])


def test_a_request_with_little_time_left_is_taken_after_one_internal_event_at_most(in_process):
    # guards rule 1: lost connections of other requests kept one waiting until its client's time was over
    world = in_process(silent)
    order, asker = WorkOrder(world.owner), world.asker()
    posted(asker)
    go = world.stall()
    internal_events(order, world.owner)
    asker.ask(key=SINGLE_KEY, allow=LITTLE)
    posted(asker)
    go.set()
    until(order.taken)
    assert internal_before(order, "taken", SINGLE_KEY) <= 1


def test_a_request_with_little_time_left_is_taken_after_one_request_with_more_at_most(in_process):
    # guards rule 1: clients took turns, whoever of them had how much time left
    world = in_process(silent)
    order = WorkOrder(world.owner)
    clients, short = [world.asker() for _ in range(BATCH)], world.asker()
    for client in (*clients, short):
        posted(client)
    go = world.stall()
    for number, client in enumerate(clients):
        client.ask(key=number, allow=3000)
        posted(client)
    short.ask(key=SINGLE_KEY, allow=LITTLE)
    posted(short)
    go.set()
    until(lambda: order.taken() == BATCH + 1)
    assert order.taken_before("taken", SINGLE_KEY) <= MAX_ARRIVALS_BETWEEN


def test_requests_with_little_time_left_leave_every_second_turn_to_internal_events(in_process):
    # guards what another order could break: who sends much with little time must not hold up all else
    world = in_process(silent)
    order, flood = WorkOrder(world.owner), world.asker()
    posted(flood)
    go = world.stall()
    internal_events(order, world.owner)
    batch(flood, allow=LITTLE)
    go.set()
    until(lambda: ("internal", BATCH - 1) in order.steps)
    assert order.taken_before("internal", BATCH - 1) <= BATCH


def test_a_reply_and_a_deadline_behind_internal_events_wait_for_one_of_them_at_most(busy):
    # guards rule 1: the answer to one request waited until all that had happened to others was handled
    since, go = len(busy.order.steps), busy.world.stall()
    internal_events(busy.order, busy.world.owner)
    replies(busy.world, *busy.reply[2:])
    until(lambda: time.monotonic() > busy.over)
    go.set()
    for (asker, tag, _, _), word, key in (
        (busy.reply, b"200", REPLY_KEY),
        (busy.deadline, b"503", DEADLINE_KEY),
    ):
        assert asker.answer()[:2] == [tag, word]
        assert internal_before(busy.order, "answered", key, since) <= 1


# --- answers that lie unread ---


def test_the_loop_knows_of_an_answer_that_its_reader_has_or_could_have_and_asks_the_system_once(
    in_process, monkeypatch
):
    # guards rule 1: one question for each connection took longer than the wait that it was to bound
    world = in_process(silent)
    askers = [out(world, REPLY_KEY + number) for number in range(4)]
    has_unread, polls = world.owner.loop.has_unread_answers, []
    assert not world.does(has_unread)
    make = select.poll

    def counted():
        polls.append(1)
        return make()

    monkeypatch.setattr(polling.select, "poll", counted)
    assert not world.does(lambda: (polls.clear(), has_unread())[1] or len(polls) != 1)
    lines = [line for pool in world.owner.back.pools.values() for line in pool.connections]
    held, go = threading.Event(), threading.Event()
    for line in lines:
        takes = line.on_message
        line.on_message = lambda *told, takes=takes: (held.set(), go.wait(5), takes(*told))
    _, tag, sock, items = askers[0]
    sock.sendall(encode(items[1], b"data", b"remark=TCP_HIT", b"bytes"))
    assert held.wait(5)
    assert world.does(has_unread), "its reader has it and has not passed it on"
    go.set()
    assert askers[0][0].answer()[:2] == [tag, b"200"]
    until(lambda: not world.does(has_unread))


def test_a_reply_before_its_connections_end_counts_before_it(in_process):
    # guards what another order could break: a reply that was read is no loss, though its connection ended
    world = in_process(silent)
    flood, (asker, tag, sock, items) = world.asker(), out(world, REPLY_KEY)
    posted(flood)
    go = world.stall()
    batch(flood)
    replies(world, sock, items)
    world.caches[0].break_off(reset=False)
    lines = [line for pool in world.owner.back.pools.values() for line in pool.connections]
    until(lambda: all(line.close_reason is not None for line in lines))
    go.set()
    assert asker.answer()[:2] == [tag, b"200"]


def test_what_lay_in_the_queue_tells_its_cache_no_time_that_is_over(in_process):
    # guards the operators' term on told limits: they follow the time that is left when it is taken
    world = in_process(silent)
    flood, asker = world.asker(), world.asker()
    posted(flood), posted(asker)
    go = world.stall()
    asker.ask(key=SINGLE_KEY, allow=3000)
    asked = time.monotonic()
    posted(asker)
    batch(flood)
    until(lambda: time.monotonic() > asked + QUEUED / 1000)
    left = asked + 3.0 - time.monotonic()
    go.set()
    told = [world.caches[0].next()[2][2]]
    while b"thing=%016x" % SINGLE_KEY not in told[-1]:
        told.append(world.caches[0].next()[2][2])
    assert int(parse_fields(told[-1])["max"]) / 1000 <= left + 0.001


def test_a_reply_that_lies_in_the_queue_when_its_requests_time_is_over_comes_before_the_time_out(in_process):
    # guards what another order could break: what has happened comes before what is due, for one request
    world = in_process(silent)
    flood, (asker, tag, sock, items) = world.asker(), out(world, REPLY_KEY, SHORT)
    over = time.monotonic() + SHORT / 1000
    posted(flood)
    go = world.stall()
    batch(flood)
    replies(world, sock, items)
    until(lambda: time.monotonic() > over)
    go.set()
    assert asker.answer()[:2] == [tag, b"200"]


# --- the event loop by itself ---


@pytest.fixture
def loop():
    loop = EventLoop(GatewayClock(), Counters(), lag_threshold=LAG_THRESHOLD)
    loop.call_at(loop.clock.time + 1_000 * TICKS_PER_SECOND, lambda: None)  # it must not run dry
    return loop


def run_once(loop):
    finished = iter([False, True])
    loop.run(lambda: next(finished))


def test_what_has_come_is_not_kept_waiting_by_the_wait_where_lag_begins(loop):
    # guards rule 1: the wait is for replies that lie unread; one that is in the queue is held back by it
    steps = []
    loop.has_unread_answers = lambda: bool(steps.append("wait"))
    loop.call_at(loop.clock.time - 2 * LAG_THRESHOLD, steps.append, "timer")
    loop.post(steps.append, "event")
    run_once(loop)
    assert steps == ["event", "wait", "timer"]


def test_a_timer_runs_at_the_time_as_it_is_then_and_its_lag_counts_from_there(loop):
    # guards the lag margin: a lag that timers before it made is not seen, and no margin is taken for it
    seen = []

    def slow():
        time.sleep(3 * LAG_THRESHOLD / TICKS_PER_SECOND)

    now = loop.clock.time
    loop.call_at(now, slow)
    loop.call_at(now, lambda: seen.append(loop.clock.time))
    run_once(loop)
    assert seen[0] >= now + 3 * LAG_THRESHOLD
    assert loop.lag_margin.current(loop.clock.monotonic_time) >= 2 * LAG_THRESHOLD


def test_a_lag_that_events_alone_have_counts_for_the_margin(loop):
    # guards the lag margin: it follows timers only, and heartbeats are 50 ms apart
    loop.post(lambda: None)
    time.sleep(3 * LAG_THRESHOLD / TICKS_PER_SECOND)
    run_once(loop)
    assert loop.lag_margin.current(loop.clock.monotonic_time) >= 2 * LAG_THRESHOLD
