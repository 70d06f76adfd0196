"""A gateway that is short of processor time answers early enough, and states no expired time to caches."""

import threading
import time

from hypothesis import given
from hypothesis import strategies as st

from lilacloft.gateway import clock
from lilacloft.net.resp import parse_fields
from lilacloft.net.upstream import Upstream
from lilacloft.routing.lag_margin import LAG_MEMORY, LagMargin
from rigs.inprocess import cancel_all, until
from rigs.stands import silent

STALL = 0.3  # seconds


@given(st.lists(st.tuples(st.integers(0, 2 * LAG_MEMORY), st.integers(0, 9000)), max_size=12), st.integers(0))
def test_the_margin_is_the_longest_lag_of_one_to_two_intervals(steps, more):
    margin, recorded, now = LagMargin(), [], 10**6
    for wait, lag in steps:
        now += wait
        margin.record(lag, now)
        recorded.append((now, lag))
    now += more % (3 * LAG_MEMORY)
    minimum = max((lag for at, lag in recorded if now - at < LAG_MEMORY), default=0)
    maximum = max((lag for at, lag in recorded if now - at < 2 * LAG_MEMORY), default=0)
    assert minimum <= margin.current(now) <= maximum


@given(st.integers(0, 10**6), st.integers(0, 40_000), st.integers(0, 90_000))
def test_a_request_keeps_at_least_half_of_its_time(arrived_at, allowed, lag):
    answer_by = LagMargin().answer_by(arrived_at, arrived_at + allowed, lag)
    assert arrived_at + allowed / 2 <= answer_by <= arrived_at + allowed
    assert answer_by == arrived_at + allowed - lag or lag > allowed // 2


def stall_event_loop(world):
    """Block the event loop for `STALL` seconds."""
    resume = world.stall()
    time.sleep(STALL)
    resume.set()
    until(lambda: world.owner.lag_margin.current(world.owner.monotonic_time) > 2000)


def test_a_gateway_that_has_lagged_answers_before_the_deadline_by_the_margin(in_process):
    """An answer due at the deadline itself would be late by the next lag."""
    world = in_process(silent)
    stall_event_loop(world)
    asker = world.asker()
    tag = asker.ask(b"pay", body=b"x", allow=2000, replay="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    until(lambda: world.owner.open_requests)
    (client_request,) = world.owner.open_requests.values()
    assert 2000 <= client_request.history.deadline - client_request.request.deadline <= 10_000
    assert asker.answer()[:2] == [tag, b"503"]
    world.wait_until_idle()


def test_the_age_of_requests_that_were_read_late_is_not_underestimated(in_process, monkeypatch):
    """If the process gets little processor time without being stopped, the first of two requests that are
    read together was treated as just arrived, and its cache was given the whole time limit again."""
    monkeypatch.setattr(clock, "PAUSE_AFTERMATH", 0)
    world = in_process(silent)
    stall_event_loop(world)
    asker, resume, is_blocked = world.asker(), threading.Event(), threading.Event()
    until(lambda: world.owner.downstream.clients)
    client = next(iter(world.owner.downstream.clients))
    on_message = client.on_message

    def delayed(connection, items):
        is_blocked.set()
        assert resume.wait(5)
        on_message(connection, items)

    client.on_message = delayed
    asker.send(b"ALIVE", b"99", b"")
    assert is_blocked.wait(5)
    written = time.monotonic()
    asker.ask(key=1, allow=3000)
    time.sleep(STALL)
    asker.ask(key=2, allow=3000)
    resume.set()
    received, _, items = world.caches[0].next()
    time_limit = int(parse_fields(items[2])["max"]) / 1000
    assert time_limit <= written + 3.0 - received + 0.15
    cancel_all(asker)
    world.wait_until_idle()


def test_a_cancellation_between_decision_and_first_byte_drops_the_attempt_without_a_violation(
    in_process, monkeypatch
):
    """If the event loop's thread gets no processor time in between, the invariant check would count a
    violation."""
    dispatch = Upstream.dispatch
    decided, resume = threading.Event(), threading.Event()

    def late(self, attempt):
        if attempt.client_request:
            decided.set()
            assert resume.wait(5)
        return dispatch(self, attempt)

    monkeypatch.setattr(Upstream, "dispatch", late)
    world = in_process(silent)
    asker = world.asker()
    asker.ask(allow=3000)
    assert decided.wait(5)
    cancel_all(asker)
    until(lambda: world.owner.downstream.counts["forgotten"])
    time.sleep(0.15)
    resume.set()
    world.wait_until_idle()
    assert world.owner.upstream.counts["dispatches"] == 0
    assert not any(world.owner.invariants.violations().values())
