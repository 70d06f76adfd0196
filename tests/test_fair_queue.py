"""The order of an event loop's work, against a plain model: nothing is lost, and clients take turns."""

from hypothesis import given
from hypothesis import strategies as st

from lilacloft.routing.fair_queue import FairQueue

CLIENTS = st.sampled_from([None, "a", "b", "c"])
TIMES = st.integers(0, 9)
ADD = st.tuples(st.just("add"), CLIENTS, st.none() | TIMES)
TAKE = st.tuples(st.just("next"), st.none(), TIMES)
STEPS = st.lists(st.one_of(ADD, ADD, TAKE), max_size=60)


class Model:
    """The same in the plainest words: a list of all that waits, and a list of the clients in their turns."""

    def __init__(self):
        self.waiting, self.turns, self.was_overdue = [], [], False

    def add(self, item, client, due_at):
        if client is not None and client not in self.turns:
            self.turns.append(client)
        self.waiting.append((item, client, due_at))

    def next(self, now):
        in_hand = [entry for entry in self.waiting if entry[1] is None]
        overdue = [entry for entry in self.waiting if entry[1] and entry[2] is not None and entry[2] <= now]
        if in_hand:
            chosen = in_hand[0]
        elif overdue and not self.was_overdue:
            chosen = min(overdue, key=lambda entry: (entry[2], entry[0]))
        elif self.waiting:
            client = self.turns.pop(0)
            self.turns.append(client)
            chosen = next(entry for entry in self.waiting if entry[1] == client)
        else:
            self.was_overdue = False
            return None
        if not in_hand:
            self.was_overdue = bool(overdue) and not self.was_overdue
        self.waiting.remove(chosen)
        self.turns = [client for client in self.turns if any(entry[1] == client for entry in self.waiting)]
        return chosen[0]


@given(STEPS)
def test_it_does_what_the_plain_model_does(steps):
    queue, model = FairQueue(), Model()
    for number, (what, client, time) in enumerate(steps):
        if what == "add":
            queue.add(number, client, time if client else None)
            model.add(number, client, time if client else None)
        else:
            assert queue.next(time) == model.next(time)
        assert bool(queue) == bool(model.waiting)
        assert queue.client_count == sum(client is not None for _, client, _ in model.waiting)
    while queue:
        assert queue.next(5) == model.next(5)
    assert queue.next(5) is None and queue.next_of_clients(5) is None


@given(st.lists(st.tuples(st.sampled_from("abc"), st.none() | TIMES), max_size=40))
def test_what_waits_is_each_clients_in_its_own_order_but_for_what_is_overdue(items):
    """A cancel or a half close before its own request would not be seen by it."""
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
    """A batch of pipelined requests held up whoever came after it, to the batch's end."""
    queue = FairQueue()
    for client in range(clients):
        for number in range(flood):
            queue.add((client, number), client)
    queue.add("single", "another client")
    served = [queue.next(0) for _ in range(clients + 1)]
    assert served[-1] == "single" and served[:-1] == [(client, 0) for client in range(clients)]


@given(st.lists(st.tuples(CLIENTS, st.none() | TIMES), max_size=40), TIMES)
def test_what_is_overdue_is_taken_earliest_deadline_first_and_nothing_else(items, by):
    queue = FairQueue()
    for number, (client, due_at) in enumerate(items):
        queue.add(number, client, due_at if client else None)
    overdue = [
        (due_at, number)
        for number, (client, due_at) in enumerate(items)
        if client and due_at is not None and due_at <= by
    ]
    assert list(iter(lambda: queue.next_overdue(by), None)) == [number for _, number in sorted(overdue)]
    left = list(iter(lambda: queue.next(by), None))
    assert sorted([*left, *(number for _, number in overdue)]) == list(range(len(items)))


def test_after_an_overdue_item_between_others_it_is_the_turn_of_who_has_time_left():
    queue = FairQueue()
    queue.add("in time", "a", due_at=9)
    queue.add("over", "b", due_at=1)
    queue.add("over too", "b", due_at=1)
    assert queue.next_overdue(1) == "over"
    assert [queue.next_of_clients(1) for _ in range(2)] == ["in time", "over too"]


def test_replies_go_before_other_work_in_hand():
    queue = FairQueue()
    queue.add("lost")
    queue.add_reply("reply")
    queue.add_reply("another")
    assert queue and [queue.next(0) for _ in range(4)] == ["reply", "another", "lost", None]
    assert not queue


def test_work_in_hand_goes_before_what_clients_sent_earlier():
    queue = FairQueue()
    queue.add("request", "a client", due_at=0)
    queue.add("reply")
    assert [queue.next(1), queue.next(1)] == ["reply", "request"]
