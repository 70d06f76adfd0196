"""Compares the queue of an event loop's work with a simple model: no item is lost, and clients take turns."""

import weakref

from hypothesis import given
from hypothesis import strategies as st

from lilacloft.routing.fair_queue import FairQueue

CLIENTS = st.sampled_from([None, "a", "b", "c"])
TIMES = st.integers(0, 9)
ADD = st.tuples(st.just("add"), CLIENTS, st.none() | TIMES)
TAKE = st.tuples(st.just("next"), st.none(), TIMES)
STEPS = st.lists(st.one_of(ADD, ADD, TAKE), max_size=60)


class Model:
    """A simple model of the queue: a list of all queued items, and a list of the clients in turn."""

    def __init__(self):
        self.waiting, self.turns, self.was_overdue = [], [], False

    def add(self, item, client, due_at):
        if client is not None and client not in self.turns:
            self.turns.append(client)
        self.waiting.append((item, client, due_at))

    def next(self, now):
        internal = [entry for entry in self.waiting if entry[1] is None]
        overdue = [entry for entry in self.waiting if entry[1] and entry[2] is not None and entry[2] <= now]
        if internal:
            chosen = internal[0]
        elif overdue and not self.was_overdue:
            chosen = min(overdue, key=lambda entry: (entry[2], entry[0]))
        elif self.waiting:
            client = self.turns.pop(0)
            self.turns.append(client)
            chosen = next(entry for entry in self.waiting if entry[1] == client)
        else:
            self.was_overdue = False
            return None
        if not internal:
            self.was_overdue = bool(overdue) and not self.was_overdue
        self.waiting.remove(chosen)
        self.turns = [client for client in self.turns if any(entry[1] == client for entry in self.waiting)]
        return chosen[0]


@given(STEPS)
def test_the_queue_behaves_as_the_model(steps):
    queue, model = FairQueue(), Model()
    for number, (operation, client, time) in enumerate(steps):
        if operation == "add":
            queue.add(number, client, time if client else None)
            model.add(number, client, time if client else None)
        else:
            assert queue.next(time) == model.next(time)
        assert bool(queue) == bool(model.waiting)
        assert queue.client_count == sum(client is not None for _, client, _ in model.waiting)
    while queue:
        assert queue.next(5) == model.next(5)
    assert queue.next(5) is None and queue.next_client_item(5) is None


@given(st.lists(st.tuples(st.sampled_from("abc"), st.none() | TIMES), max_size=40))
def test_the_items_of_a_client_keep_their_order_except_overdue_ones(items):
    """A cancellation or a half-close that overtook its own request would have no effect on it."""
    queue = FairQueue()
    for number, (client, due_at) in enumerate(items):
        queue.add(number, client, due_at)
    served = []
    while queue:
        served.append(queue.next(4))
    assert sorted(served) == list(range(len(items)))
    for client in "abc":
        own = [number for number in served if items[number][0] == client]
        in_turn = [number for number in own if items[number][1] is None or items[number][1] > 4]
        assert in_turn == sorted(in_turn)


@given(st.integers(1, 32), st.integers(1, 32))
def test_a_clients_first_item_waits_for_one_item_of_each_other_client(flood, clients):
    """Otherwise a batch of pipelined requests delays all later requests of other clients until it is done."""
    queue = FairQueue()
    for client in range(clients):
        for number in range(flood):
            queue.add((client, number), client)
    queue.add("single", "another client")
    served = [queue.next(0) for _ in range(clients + 1)]
    assert served[-1] == "single" and served[:-1] == [(client, 0) for client in range(clients)]


@given(st.lists(st.tuples(CLIENTS, st.none() | TIMES), max_size=40), TIMES)
def test_next_overdue_returns_only_overdue_items_earliest_deadline_first(items, by):
    queue = FairQueue()
    for number, (client, due_at) in enumerate(items):
        queue.add(number, client, due_at if client else None)
    overdue = [
        (due_at, number)
        for number, (client, due_at) in enumerate(items)
        if client and due_at is not None and due_at <= by
    ]
    assert list(iter(lambda: queue.next_overdue(by), None)) == [number for _, number in sorted(overdue)]
    remaining = list(iter(lambda: queue.next(by), None))
    assert sorted([*remaining, *(number for _, number in overdue)]) == list(range(len(items)))


def test_after_an_overdue_item_the_next_client_item_is_dequeued_in_turn():
    queue = FairQueue()
    queue.add("in time", "a", due_at=9)
    queue.add("over", "b", due_at=1)
    queue.add("over too", "b", due_at=1)
    assert queue.next_overdue(1) == "over"
    assert [queue.next_client_item(1) for _ in range(2)] == ["in time", "over too"]


def test_replies_are_dequeued_before_other_internal_items():
    queue = FairQueue()
    queue.add("lost")
    queue.add_reply("reply")
    queue.add_reply("another")
    assert queue and [queue.next(0) for _ in range(4)] == ["reply", "another", "lost", None]
    assert not queue


def test_internal_items_are_dequeued_before_earlier_client_items():
    queue = FairQueue()
    queue.add("request", "a client", due_at=0)
    queue.add("reply")
    assert [queue.next(1), queue.next(1)] == ["reply", "request"]


class Payload:
    """An item that can be referenced weakly."""


def test_a_dequeued_item_is_not_kept_until_its_deadline():
    """Guards against requests that stay in memory, with their bodies, while others wait before them."""
    queue, payload = FairQueue(), Payload()
    kept = weakref.ref(payload)
    queue.add(payload, "first", due_at=1_000)
    queue.add(Payload(), "second", due_at=500)  # the earliest deadline, which stays queued
    assert queue.next_client_item(0) is payload
    del payload
    assert kept() is None
