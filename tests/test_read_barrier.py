"""After a reconnection the change log is asked for its last event again, which shows whether it answers;
after new events it is queried for its end, which shows whether there are more.

Once started, the log of these tests sends no heartbeats unless a test says so, so that nothing else shows its
end; a request on a second connection appears as a second number in `since`.
"""

import contextlib
import errno
import queue
import random
import socket
import threading
import time

import pytest

from lilacloft.net.discovery_watch import HEARTBEAT_INTERVAL, MAX_END_QUERIES
from lilacloft.net.read_barrier import BARRIER_DELAY_MS, RESUME, answering_connection, query_end
from lilacloft.routing.catch_up import CatchUp
from rigs.inprocess import until
from rigs.model import SEC, Model, settings
from rigs.named_numbers import MAX_HOLD_BACK
from rigs.stands import Log, framed, record
from tests.test_catch_up import (
    FULL_AGE,
    GRACE,
    LIFETIME,
    LIMIT,
    NEW,
    OLD,
    STOPPED,
    AgedCopies,
    assert_filled_anew,
    fetch,
    fetch_while_held,
    purge,
)

REPEATED = framed(7, 1)
HEARTBEAT = framed(0, 0)
LISTED = (2, 2, record(9, 1))  # an event other than a purge


def reconnect(world, *frames):
    """Close the connection from the change log, which then has a last event with another list, and
    `frames`."""
    log = world.log
    log.frames += [(1, 1, record(9, 1)), *frames]
    log.beats_at_once = False
    log.break_off()
    assert log.since.get(timeout=5) == 1


def test_a_healthy_log_limits_ages_briefly_and_its_repeated_list_is_ignored(in_process):
    copies = AgedCopies()
    world = in_process(copies)
    watch, asker = world.owner.discovery_watch, world.asker()
    at, listed = watch.status.at, set(world.owner.backends)
    reconnect(world)
    assert world.log.since.get(timeout=5) == 0, "the last event is requested again"
    assert fetch(asker) == NEW
    time.sleep(0.1)  # more than enough to read the repeated event
    assert watch.status.at == at
    world.log.add(0, 0)  # the heartbeat that follows within a second
    until(lambda: fetch(asker) == OLD, wait=HEARTBEAT_INTERVAL)
    assert copies.asked_ages[-1] == FULL_AGE
    assert (watch.last, watch.events) == (1, 0) and set(world.owner.backends) == listed


class ReadsTheFirstLate(Log):
    """A log on a busy machine, which serves the first connection after the second one."""

    def _serve(self, sock):
        if int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big") == 1:
            time.sleep(3 * BARRIER_DELAY_MS / 1000)
        super()._serve(sock)


def test_the_stand_in_reports_numbers_in_the_order_of_connections(in_process):
    world = in_process()
    world.log.__class__ = ReadsTheFirstLate
    reconnect(world)
    assert world.log.since.get(timeout=5) == 0


def test_the_stand_in_waits_a_bounded_time_for_a_connection_without_a_number():
    log, started_at = Log(), time.monotonic()
    with socket.create_connection(("127.0.0.1", log.port)) as silent:
        with socket.create_connection(("127.0.0.1", log.port)) as later:
            later.sendall(RESUME.pack(4))
            assert (
                log.since.get(timeout=MAX_HOLD_BACK + 1) == 4
                and time.monotonic() - started_at > MAX_HOLD_BACK
            )
        silent.sendall(RESUME.pack(3))
        assert log.since.get(timeout=1) == 3
    log.close()


class HoldsNew(Log):
    """A log that sends nothing in reply to a request for new events, and all events if asked for the last
    again."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big")
        if last == 0:
            super()._serve(sock)
        self.since.put(last)


def test_a_waiting_purge_is_read_after_the_repeated_event(in_process):
    world = in_process(AgedCopies())
    watch, asker = world.owner.discovery_watch, world.asker()
    world.log.__class__ = HoldsNew
    reconnect(world, purge())
    until(lambda: watch.last == 2)
    world.run_on_owner(lambda: None)
    assert fetch(asker) == NEW and watch.events == 1
    world.log.add(3, 3, purge()[2])
    until(lambda: watch.last == 3, what=lambda: "the connection that answered is followed")


class HangsAfterRepeated(HoldsNew):
    """Like `HoldsNew`, but hangs after the repeated event until it is released."""

    def _serve(self, sock):
        if int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big") == 0:
            sock.sendall(framed(*self.frames[0]))
        super()._serve(sock)


def test_no_old_copy_is_served_if_the_log_hangs_between_the_repeated_event_and_a_purge(in_process):
    world = in_process(AgedCopies())
    world.log.hold()
    world.log.__class__ = HangsAfterRepeated
    reconnect(world, purge())
    assert fetch_while_held(world, world.log) == {NEW}


class HangsAfterNew(Log):
    """A log that sends one new event and hangs after it until it is released."""

    def _serve(self, sock):
        if int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big") == 1:
            sock.sendall(framed(*LISTED))
        super()._serve(sock)


def test_no_old_copy_is_served_if_the_log_hangs_between_a_new_event_and_a_purge(in_process):
    world = in_process(AgedCopies())
    world.log.hold()
    world.log.__class__ = HangsAfterNew
    reconnect(world, LISTED, purge(3))
    assert fetch_while_held(world, world.log, 3) == {NEW}


class HeartbeatAtEnd(Log):
    """A log that sends its first heartbeat at once if all events are known, and otherwise none."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big")
        super()._serve(sock)
        if last == self.frames[-1][0]:
            sock.sendall(HEARTBEAT)


def test_ages_are_limited_until_the_log_shows_its_end(in_process):
    copies = AgedCopies()
    world = in_process(copies)
    asker = world.asker()
    world.log.__class__ = HeartbeatAtEnd
    reconnect(world, LISTED)
    assert world.log.since.get(timeout=HEARTBEAT_INTERVAL) == 2, "the end is queried after the new event"
    until(lambda: fetch(asker) == OLD, wait=HEARTBEAT_INTERVAL)
    assert copies.asked_ages[-1] == FULL_AGE and world.owner.discovery_watch.status.current
    world.log.add(*purge(3))
    until(
        lambda: world.owner.discovery_watch.last == 3, what=lambda: "the connection that answered is followed"
    )


class AlwaysOneMore(Log):
    """A log that has one more event each time it is asked."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_WAITALL), "big")
        self.since.put(last)
        with contextlib.suppress(OSError):
            sock.sendall(framed(last + 1, 2, record(9, 1)))


def test_the_number_of_end_queries_is_bounded(in_process):
    world = in_process()
    world.log.__class__ = AlwaysOneMore
    reconnect(world)
    asked_for = [world.log.since.get(timeout=1) for _ in range(MAX_END_QUERIES)]
    assert asked_for == list(range(2, MAX_END_QUERIES + 2))
    with pytest.raises(queue.Empty):
        world.log.since.get(timeout=0.3)
    assert world.owner.discovery_watch.last == MAX_END_QUERIES + 2


def test_discovery_can_move_while_neither_connection_is_answered(in_process):
    world, other = in_process(), Log()
    world.log.hold()
    world.log.break_off()
    assert [world.log.since.get(timeout=5) for _ in range(2)] == [1, 0]
    moved = {**world.config, "listen": "127.0.0.1:0", "changelog": f"127.0.0.1:{other.port}"}
    world.run_on_owner(lambda: world.owner.reload(moved))
    assert other.since.get(timeout=1) == 1
    other.close()


# --- the connection to follow ---


@pytest.mark.parametrize("barrier", ["silent", "ended", "refused"])
def test_the_first_connection_is_followed_if_the_barrier_fails(barrier):
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


def test_the_first_connection_is_followed_without_a_descriptor_for_the_barrier(monkeypatch):
    first, log = socket.socketpair()

    def fail():
        raise OSError(errno.EMFILE, "too many open files")

    with first, log:
        monkeypatch.setattr(socket, "socket", fail)
        assert answering_connection(first, ("127.0.0.1", 1), 7, time.monotonic() + 5) is first


def test_the_barrier_connection_is_followed_if_answered_first():
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


def test_both_connections_are_given_up_at_the_deadline():
    first, log = socket.socketpair()
    with log, socket.create_server(("127.0.0.1", 0)) as server, pytest.raises(TimeoutError):
        answering_connection(first, server.getsockname(), 7, time.monotonic() + 0.3)


class SecondConnection:
    """A followed connection, and a log that is queried for its end on a second one."""

    def __init__(self):
        self.first, self.log = socket.socketpair()
        self.server = socket.create_server(("127.0.0.1", 0))

    def query_end_on_second(self):
        return query_end(self.first, self.server.getsockname(), 7)

    def answer_heartbeat(self):
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


def test_the_connection_that_shows_the_end_is_followed(second_connection):
    threading.Thread(target=second_connection.answer_heartbeat, daemon=True).start()
    with second_connection.query_end_on_second() as sock:
        assert sock is not second_connection.first and sock.recv(99) == HEARTBEAT
        assert second_connection.first.fileno() < 0


def test_the_first_connection_is_followed_if_the_end_is_not_shown(second_connection):
    assert second_connection.query_end_on_second() is second_connection.first
    assert second_connection.first.fileno() >= 0


def test_the_first_connection_is_followed_without_a_descriptor_for_the_end_query(
    second_connection, monkeypatch
):
    def fail():
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket, "socket", fail)
    assert second_connection.query_end_on_second() is second_connection.first
    assert second_connection.first.fileno() >= 0


def test_the_first_connection_is_followed_if_the_second_is_refused(second_connection):
    address = second_connection.server.getsockname()
    second_connection.server.close()
    assert query_end(second_connection.first, address, 7) is second_connection.first
    assert second_connection.first.fileno() >= 0


def test_input_on_the_first_connection_is_read_there(second_connection):
    second_connection.log.sendall(REPEATED)
    assert second_connection.query_end_on_second() is second_connection.first
    assert second_connection.first.recv(99) == REPEATED


# --- the router's age limits ---


@pytest.mark.parametrize("seed", range(60))
def test_no_copy_older_than_an_unread_purge_is_accepted_until_the_log_shows_its_end(seed):
    """Ages are limited from an interruption until the log has shown its end, whatever it has sent before."""
    rng, model, shown = random.Random(seed), Model(settings(family={"obey_after": GRACE})), 0
    router, catching_up, unread = model.router, model.router.freshness.catch_up, None
    router.discovery_caught_up()
    for _ in range(300):
        model.run(rng.randrange(1, 1_000))
        event = rng.choice(("disconnected", "connected", "event", "caught_up", *["purge", "pass"] * 4))
        if event in ("disconnected", "connected"):
            getattr(router, f"discovery_{event}")()
            unread = [] if unread is None else unread
        elif event == "event":
            router.object_purged("other", 0, 0)  # was read, and more may wait behind it
        elif event == "caught_up":
            router.discovery_caught_up()
            unread = None
        elif event == "purge" and unread is not None:
            unread.append(model.time)
        age = catching_up.max_age()
        if unread is None:
            assert age == 0
            continue
        due = [purged_at for purged_at in unread if model.time - purged_at > GRACE]
        assert age > 0 and all(model.time - age > purged_at for purged_at in due)
        shown += bool(due)
    assert shown > 20


def test_ages_are_limited_once_a_log_that_refused_connections_at_startup_is_back():
    catching_up = CatchUp(GRACE, LIFETIME)
    catching_up.interrupt(0)
    catching_up.end()
    assert catching_up.max_age() == 0
    catching_up.interrupt(SEC)
    assert catching_up.max_age() == LIMIT
    catching_up.end()
    assert catching_up.max_age() == 0


class OnlyRepeats(Log):
    """A log that sends the last known event again on each connection, and nothing else until released."""

    def _serve(self, sock):
        last = int.from_bytes(sock.recv(8, socket.MSG_PEEK | socket.MSG_WAITALL), "big")
        if last < self.frames[0][0]:
            with contextlib.suppress(OSError):
                sock.sendall(framed(*self.frames[0]))
        super()._serve(sock)


def test_a_log_that_only_repeats_its_last_event_limits_ages_until_it_was_read(in_process):
    """Guards against a repeated event that counts as knowledge: a purge may wait behind it on each
    connection."""
    copies = AgedCopies()
    world = in_process(copies)
    asker = world.asker()
    world.log.hold()
    world.log.__class__ = OnlyRepeats
    reconnect(world, purge())
    assert_filled_anew(asker, STOPPED)
    assert world.owner.discovery_watch.connects > 1
    assert fetch_while_held(world, world.log) == {NEW}
