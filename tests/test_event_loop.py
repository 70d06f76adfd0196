"""Unit tests of the gateway's event loop, clock and lifecycle, without sockets."""

import time
from types import SimpleNamespace

import pytest

from lilacloft.gateway.clock import GatewayClock
from lilacloft.gateway.counters import Counters
from lilacloft.gateway.event_loop import EventLoop
from lilacloft.gateway.lifecycle import Lifecycle, Phase
from lilacloft.routing.units import TICKS_PER_SECOND

LAG_THRESHOLD = 200


@pytest.fixture
def loop():
    return EventLoop(GatewayClock(), Counters(), lag_threshold=LAG_THRESHOLD)


def run_for(loop, iterations):
    """Run the loop for a number of iterations; a timer in the far future keeps one scheduled."""
    loop.call_at(loop.clock.time + 1_000 * TICKS_PER_SECOND, lambda: None)
    remaining = iter([False] * iterations + [True])
    loop.run(lambda: next(remaining))


def test_timers_run_in_order_of_time_and_then_of_creation(loop):
    calls, now = [], loop.clock.time
    for at, name in ((now + 2, "late"), (now + 1, "first"), (now + 1, "second")):
        loop.call_at(at, calls.append, name)
    time.sleep(0.001)
    run_for(loop, 1)
    assert calls == ["first", "second", "late"]


def test_events_run_before_due_timers(loop):
    calls = []
    loop.call_at(loop.clock.time, calls.append, "timer")
    loop.post(calls.append, "event")
    run_for(loop, 1)
    assert calls == ["event", "timer"]


def test_a_deferred_call_runs_after_its_callback_and_before_the_next_event(loop):
    calls = []

    def callback():
        loop.defer(calls.append, "deferred")
        calls.append("callback")

    loop.post(callback)
    loop.post(calls.append, "next event")
    run_for(loop, 1)
    assert calls == ["callback", "deferred", "next event"]


def test_an_exception_is_counted_and_the_next_event_still_runs(loop):
    calls = []
    loop.post(lambda: 1 // 0)
    loop.post(calls.append, "next event")
    run_for(loop, 1)
    assert calls == ["next event"] and loop.counters.answers["faults"] == 1


def test_an_obsolete_timer_at_the_head_is_dropped(loop):
    calls = []
    loop.is_obsolete = lambda call: call.arguments == ("obsolete",)
    loop.call_at(loop.clock.time, calls.append, "obsolete")
    loop.call_at(loop.clock.time, calls.append, "wanted")
    run_for(loop, 1)
    assert calls == ["wanted"]


def late_timer(loop, callback=lambda: None):
    """Schedule a timer that is late already."""
    loop.call_at(loop.clock.time - 2 * LAG_THRESHOLD, callback)


def test_lag_is_reported_without_a_wait_if_no_answer_is_unread(loop):
    """Waiting for a fixed time delayed a lagging loop further."""
    lags, waits = [], []
    loop.report_lag = lags.append
    late_timer(loop)
    take = loop._take_posted
    loop._take_posted = lambda timeout=0.0: (waits.append(timeout), take(timeout))
    run_for(loop, 1)
    assert len(lags) == 1 and lags[0] >= 2 * LAG_THRESHOLD and loop.is_lagging
    assert not any(waits)
    late_timer(loop)
    run_for(loop, 1)
    assert len(lags) == 2 and not any(waits)


def test_unread_answers_are_handled_before_time_outs_when_a_lag_begins(loop):
    """A time-out that ran first would give up an attempt whose answer had arrived in time."""
    calls, unread = [], iter([True, False])
    late_timer(loop, lambda: calls.append("time-out"))
    loop.has_unread_answers = lambda: next(unread) and not loop.post_reply(calls.append, "answer")
    run_for(loop, 1)
    assert calls == ["answer", "time-out"]


def test_the_loop_waits_for_unread_answers_up_to_the_threshold_and_only_when_a_lag_begins(loop):
    """A loop that keeps lagging is overloaded and must not wait."""
    waits, take = [], loop._take_posted
    loop._take_posted = lambda timeout=0.0: (waits.append(timeout), take(timeout))
    late_timer(loop)
    loop.has_unread_answers = lambda: True
    began = time.monotonic()
    run_for(loop, 1)
    waited = time.monotonic() - began
    assert waited >= LAG_THRESHOLD / TICKS_PER_SECOND
    assert 0 < sum(waits) <= 2 * LAG_THRESHOLD / TICKS_PER_SECOND
    waits.clear()
    late_timer(loop)
    run_for(loop, 1)
    assert loop.is_lagging and not any(waits)


def test_a_lag_that_begins_between_events_is_reported_and_unread_answers_are_handled_first(loop):
    """When the process was paused within an event, time-outs ran before unread answers were handled, and a
    backend was ejected."""
    lags, calls, unread = [], [], iter([True, False])
    loop.report_lag = lags.append
    loop.has_unread_answers = lambda: next(unread) and not loop.post_reply(calls.append, "answer")

    def pause():
        loop.call_at(loop.clock.time, calls.append, "time-out")
        time.sleep(2 * LAG_THRESHOLD / TICKS_PER_SECOND)

    loop.post(pause, client="a client")
    loop.post(calls.append, "next", client="a client")
    run_for(loop, 1)
    assert lags and calls == ["answer", "time-out", "next"]


def test_due_timers_run_before_each_client_event_and_replies_before_both(loop):
    """A batch of one client's requests delayed another client's deadline."""
    calls = []

    def arrival(number):
        calls.append(number)
        if number == 0:
            loop.post(calls.append, "reply")
            loop.call_at(loop.clock.time, calls.append, "deadline")

    for number in range(3):
        loop.post(arrival, number, client="a client")
    run_for(loop, 1)
    assert calls == [0, "reply", "deadline", 1, 2]


def test_resume_continues_another_processs_time_by_the_monotonic_clock(loop):
    clock = loop.clock
    there = clock.monotonic_time
    clock.resume(7, there)
    assert clock.time - 7 == clock.monotonic_time - there
    assert clock.to_monotonic(0) == 0 and clock.to_monotonic(clock.time + 5) == clock.monotonic_time + 5


def test_the_phase_only_advances():
    lifecycle = Lifecycle(SimpleNamespace())
    for phase, expected in (
        (Phase.DRAINING, Phase.DRAINING),
        (Phase.SERVING, Phase.DRAINING),
        (Phase.ENDED, Phase.ENDED),
        (Phase.CLOSING, Phase.ENDED),
    ):
        lifecycle.enter(phase)
        assert lifecycle.phase is expected
