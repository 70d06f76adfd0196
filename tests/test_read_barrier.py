"""A change log that is connected to again is asked for its last event again, which shows whether it answers,
and one that has told something new is asked for its end, which shows whether there is more.

The log of these worlds sends no heartbeat once it runs, unless a test says so, so that nothing else shows its
end, and asks on a second connection show as a second number in `since`.
"""

import contextlib
import errno
import queue
import random
import socket
import threading
import time

import pytest

from lilacloft.net.discovery_watch import MAX_END_QUERIES, MAX_SILENCE, MAX_SILENCE_JITTER
from lilacloft.net.read_barrier import BARRIER_DELAY_MS, RESUME, answering_connection, query_end
from lilacloft.routing.catch_up import MAX_LIMITED_TIME, MAX_UNTOLD_TIME, CatchUp
from rigs.inprocess import until
from rigs.model import SEC
from rigs.named_numbers import MAX_HOLD_BACK
from rigs.stands import Log, framed, record
from tests.test_catch_up import FULL_AGE, GRACE, LIMIT, NEW, OLD, AgedCopies, asked, asked_while_held, purge

REPEATED = framed(7, 1)
HEARTBEAT = framed(0, 0)
LISTED = (2, 2, record(9, 1))  # an event that purges nothing


def reconnects(world, *frames):
    """The change log ends the connection, and holds a last event with another list, and more frames."""
    log = world.log
    log.frames += [(1, 1, record(9, 1)), *frames]
    log.beats_at_once = False
    log.break_off()
    assert log.since.get(timeout=5) == 1


def test_a_log_that_is_well_limits_ages_for_a_moment_and_its_old_list_changes_nothing(in_process):
    copies = AgedCopies()
    world = in_process(copies)
    feed, asker = world.owner.feed, world.asker()
    at, listed = feed.status.at, set(world.owner.backends)
    reconnects(world)
    assert world.log.since.get(timeout=5) == 0, "the last event is asked for again"
    until(lambda: asked(asker) == OLD, wait=MAX_LIMITED_TIME / SEC - 0.5)
    assert copies.asked_ages[-1] == FULL_AGE
    assert (feed.last, feed.events, feed.status.at) == (1, 0, at) and set(world.owner.backends) == listed


class ReadsTheFirstLate(Log):
    """A log on a busy machine: who serves the first connection comes to it after the second was served."""

    def _serve(self, sock):
        if int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big") == 1:
            time.sleep(3 * BARRIER_DELAY_MS / 1000)
        super()._serve(sock)


def test_the_stand_in_tells_the_numbers_in_the_order_of_the_connections_that_named_them(in_process):
    world = in_process()
    world.log.__class__ = ReadsTheFirstLate
    reconnects(world)
    assert world.log.since.get(timeout=5) == 0


def test_a_connection_that_names_no_number_holds_back_those_of_later_ones_for_a_bounded_time():
    log, begun = Log(), time.monotonic()
    with socket.create_connection(("127.0.0.1", log.port)) as silent:
        with socket.create_connection(("127.0.0.1", log.port)) as later:
            later.sendall(RESUME.pack(4))
            assert log.since.get(timeout=MAX_HOLD_BACK + 1) == 4 and time.monotonic() - begun > MAX_HOLD_BACK
        silent.sendall(RESUME.pack(3))
        assert log.since.get(timeout=1) == 3
    log.close()


class HoldsNew(Log):
    """A log that tells nothing to who asks for what is new, and all to who asks for its last event again."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big")
        if last == 0:
            super()._serve(sock)
        self.since.put(last)


def test_a_purge_that_waits_is_read_behind_the_repeated_event(in_process):
    world = in_process(AgedCopies())
    feed, asker = world.owner.feed, world.asker()
    world.log.__class__ = HoldsNew
    reconnects(world, purge())
    until(lambda: feed.last == 2)
    world.does(lambda: None)
    assert asked(asker) == NEW and feed.events == 1
    world.log.add(3, 3, purge()[2])
    until(lambda: feed.last == 3, what=lambda: "the connection that answered is followed")


class StopsBehindRepeated(HoldsNew):
    """And stands still behind that event until it is released."""

    def _serve(self, sock):
        if int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big") == 0:
            sock.sendall(framed(*self.frames[0]))
        super()._serve(sock)


def test_a_log_that_stands_still_between_the_repeated_event_and_a_purge_has_no_old_copy_served(in_process):
    world = in_process(AgedCopies())
    world.log.hold()
    world.log.__class__ = StopsBehindRepeated
    reconnects(world, purge())
    assert asked_while_held(world, world.log) == {NEW}


class StopsBehindNew(Log):
    """A log that tells one event of what is new, and stands still behind it until it is released."""

    def _serve(self, sock):
        if int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big") == 1:
            sock.sendall(framed(*LISTED))
        super()._serve(sock)


def test_a_log_that_stands_still_between_a_new_event_and_a_purge_has_no_old_copy_served(in_process):
    world = in_process(AgedCopies())
    world.log.hold()
    world.log.__class__ = StopsBehindNew
    reconnects(world, LISTED, purge(3))
    assert asked_while_held(world, world.log, 3) == {NEW}


class BeatsAtItsEnd(Log):
    """A log whose first heartbeat comes at once to who has all events, and to nobody else."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big")
        super()._serve(sock)
        if last == self.frames[-1][0]:
            sock.sendall(HEARTBEAT)


def test_a_log_that_shows_its_end_when_asked_limits_ages_no_longer_than_that(in_process):
    copies = AgedCopies()
    world = in_process(copies)
    asker = world.asker()
    world.log.__class__ = BeatsAtItsEnd
    reconnects(world, LISTED)
    assert world.log.since.get(timeout=MAX_UNTOLD_TIME / SEC / 2) == 2, (
        "the end is asked for behind what was new"
    )
    until(lambda: asked(asker) == OLD, wait=MAX_UNTOLD_TIME / SEC / 2)
    assert copies.asked_ages[-1] == FULL_AGE and world.owner.feed.status.current
    world.log.add(*purge(3))
    until(lambda: world.owner.feed.last == 3, what=lambda: "the connection that answered is followed")


class HasOneMore(Log):
    """A log that has one event more each time that it is asked."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_WAITALL), "big")
        self.since.put(last)
        with contextlib.suppress(OSError):
            sock.sendall(framed(last + 1, 2, record(9, 1)))


def test_a_log_that_has_one_event_more_each_time_is_asked_for_its_end_a_few_times_only(in_process):
    world = in_process()
    world.log.__class__ = HasOneMore
    reconnects(world)
    asked_for = [world.log.since.get(timeout=1) for _ in range(MAX_END_QUERIES)]
    assert asked_for == list(range(2, MAX_END_QUERIES + 2))
    with pytest.raises(queue.Empty):
        world.log.since.get(timeout=0.3)
    assert world.owner.feed.last == MAX_END_QUERIES + 2


def test_discovery_moves_while_neither_connection_is_answered(in_process):
    world, other = in_process(), Log()
    world.log.hold()
    world.log.break_off()
    assert [world.log.since.get(timeout=5) for _ in range(2)] == [1, 0]
    moved = {**world.config, "listen": "127.0.0.1:0", "changelog": f"127.0.0.1:{other.port}"}
    world.does(lambda: world.owner.reload(moved))
    assert other.since.get(timeout=1) == 1
    other.close()


# --- the connection to follow ---


@pytest.mark.parametrize("barrier", ["silent", "ended", "refused"])
def test_where_the_barrier_fails_the_first_connection_is_followed(barrier):
    first, log = socket.socketpair()
    with first, log, socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        first.settimeout(5)
        server.settimeout(5)

        def answers():
            if barrier == "ended":
                server.accept()[0].close()
            log.sendall(REPEATED)

        if barrier == "refused":
            server.close()
        threading.Timer(0.1, answers).start()
        assert answering_connection(first, address, 7, time.monotonic() + 5) is first
        assert first.recv(99) == REPEATED


def test_where_there_is_no_descriptor_for_the_barrier_the_first_connection_is_followed(monkeypatch):
    first, log = socket.socketpair()

    def fails():
        raise OSError(errno.EMFILE, "too many open files")

    with first, log:
        monkeypatch.setattr(socket, "socket", fails)
        assert answering_connection(first, ("127.0.0.1", 1), 7, time.monotonic() + 5) is first


def test_the_barrier_is_followed_where_it_is_answered_first():
    first, log = socket.socketpair()
    with log, socket.create_server(("127.0.0.1", 0)) as server:

        def repeats():
            sock, _ = server.accept()
            assert sock.recv(8, socket.MSG_WAITALL) == (6).to_bytes(8, "big")
            sock.sendall(REPEATED)

        threading.Thread(target=repeats, daemon=True).start()
        sock = answering_connection(first, server.getsockname(), 7, time.monotonic() + 5)
        assert sock is not first and sock.recv(99) == REPEATED and first.fileno() < 0
        sock.close()


def test_where_neither_is_answered_both_are_given_up_at_the_deadline():
    first, log = socket.socketpair()
    with log, socket.create_server(("127.0.0.1", 0)) as server, pytest.raises(TimeoutError):
        answering_connection(first, server.getsockname(), 7, time.monotonic() + 0.3)


class SecondConnection:
    """A followed connection, and a log that is asked for its end on a second one."""

    def __init__(self):
        self.first, self.log = socket.socketpair()
        self.server = socket.create_server(("127.0.0.1", 0))

    def asks(self):
        return query_end(self.first, self.server.getsockname(), 7)

    def answers(self):
        sock, _ = self.server.accept()
        assert sock.recv(8, socket.MSG_WAITALL) == (7).to_bytes(8, "big")
        sock.sendall(HEARTBEAT)

    def close(self):
        for sock in (self.first, self.log, self.server):
            sock.close()


@pytest.fixture
def second_connection():
    with contextlib.closing(SecondConnection()) as made:
        yield made


def test_the_connection_on_which_the_end_was_shown_is_followed(second_connection):
    threading.Thread(target=second_connection.answers, daemon=True).start()
    with second_connection.asks() as sock:
        assert sock is not second_connection.first and sock.recv(99) == HEARTBEAT
        assert second_connection.first.fileno() < 0


def test_where_the_end_is_not_shown_the_first_connection_is_followed(second_connection):
    assert second_connection.asks() is second_connection.first
    assert second_connection.first.fileno() >= 0


def test_where_the_end_cannot_be_asked_for_the_first_connection_is_followed(second_connection, monkeypatch):
    def fails():
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket, "socket", fails)
    assert second_connection.asks() is second_connection.first
    assert second_connection.first.fileno() >= 0


def test_where_a_second_connection_is_refused_the_first_connection_is_followed(second_connection):
    address = second_connection.server.getsockname()
    second_connection.server.close()
    assert query_end(second_connection.first, address, 7) is second_connection.first
    assert second_connection.first.fileno() >= 0


def test_what_comes_on_the_first_connection_meanwhile_is_read_there(second_connection):
    second_connection.log.sendall(REPEATED)
    assert second_connection.asks() is second_connection.first
    assert second_connection.first.recv(99) == REPEATED


# --- the decisions ---


@pytest.mark.parametrize("seed", range(60))
def test_until_the_log_answers_no_copy_is_accepted_that_may_be_older_than_an_unread_purge(seed):
    """From an interruption, for the bound at most; once it has answered, ages are limited for a moment."""
    chance, catching_up, now = random.Random(seed), CatchUp(GRACE), 0
    interrupted_at, answered_at, unread, checked = None, -MAX_UNTOLD_TIME, [], 0
    for _ in range(2_000):
        now += chance.randrange(1, 1_000)
        event = chance.choice(("disconnected", "connected", "answered", "end", *["purge", "pass"] * 4))
        if event in ("disconnected", "connected"):
            getattr(catching_up, event)(now)
            if interrupted_at is None:
                interrupted_at, unread = now, []
        elif event == "answered":
            catching_up.answered(now)
            interrupted_at, answered_at = None, now
        elif event == "end":
            catching_up.end()
            interrupted_at, answered_at = None, -MAX_UNTOLD_TIME
        elif event == "purge":
            unread.append(now)
        age = catching_up.max_age(now)
        if interrupted_at is None:
            assert age == 0 or now - answered_at < MAX_UNTOLD_TIME
        elif now - interrupted_at >= MAX_LIMITED_TIME:
            assert age == 0
        else:
            due = [told for told in unread if now - told > GRACE]
            assert age > 0 and all(now - age > told for told in due)
            checked += bool(due)
    assert checked > 20


def test_a_start_at_which_the_log_refused_connections_limits_ages_once_it_is_back():
    catching_up = CatchUp(GRACE)
    catching_up.begin(0)
    catching_up.end()
    assert catching_up.max_age(SEC) == 0
    catching_up.connected(SEC)
    assert catching_up.max_age(SEC + MAX_UNTOLD_TIME) == LIMIT
    catching_up.answered(2 * SEC)
    assert catching_up.max_age(2 * SEC) == LIMIT and catching_up.max_age(2 * SEC + MAX_UNTOLD_TIME) == 0


def test_after_an_answer_ages_are_limited_for_as_long_as_a_silent_connection_is_followed():
    """What waits behind the answer may still come on it."""
    assert MAX_UNTOLD_TIME / SEC >= MAX_SILENCE * (1 + MAX_SILENCE_JITTER)


def test_a_repeated_event_wins_no_new_time_at_the_next_interruption():
    """A log that sends its last event again each time, and nothing else, costs fills for a bounded time."""
    catching_up = CatchUp(GRACE)
    catching_up.disconnected(0)
    catching_up.repeated(SEC // 10)
    limited_until = SEC // 10 + MAX_UNTOLD_TIME
    catching_up.disconnected(2 * SEC)
    catching_up.connected(2 * SEC)
    assert catching_up.max_age(limited_until - 1) == LIMIT and catching_up.max_age(limited_until) == 0
    catching_up.repeated(limited_until)
    assert catching_up.max_age(limited_until) == 0
    catching_up.answered(limited_until)
    catching_up.disconnected(limited_until)
    assert catching_up.max_age(limited_until) == LIMIT, "something new was told: there may be more"
