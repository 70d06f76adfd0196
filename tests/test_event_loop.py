"""The gateway's event loop and lifecycle by themselves, without sockets."""

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
    return EventLoop(GatewayClock(), Counters(), granularity=1, lag_threshold=LAG_THRESHOLD)


def run_for(loop, iterations):
    """Run the loop for a number of iterations; a timer in the far future keeps it from running dry."""
    loop.call_at(loop.clock.time + 1_000 * TICKS_PER_SECOND, lambda: None)
    remaining = iter([False] * iterations + [True])
    loop.run(lambda: next(remaining))


def test_timers_run_in_the_order_of_their_times_and_then_of_their_making(loop):
    calls, now = [], loop.clock.time
    for at, name in ((now + 2, "late"), (now + 1, "first"), (now + 1, "second")):
        loop.call_at(at, calls.append, name)
    time.sleep(0.001)
    run_for(loop, 1)
    assert calls == ["first", "second", "late"]


def test_events_run_before_timers_that_are_due(loop):
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


def test_a_fault_is_counted_and_the_next_event_still_runs(loop):
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


def test_lag_is_reported_and_waited_for_only_where_it_begins(loop):
    """The wait lets answers that lie unread be posted before time-outs run."""
    lags, now = [], loop.clock.time
    loop.report_lag = lags.append
    loop.call_at(now - 2 * LAG_THRESHOLD, lambda: loop.call_at(now - 2 * LAG_THRESHOLD, lambda: None))
    began = time.monotonic()
    run_for(loop, 1)
    assert len(lags) == 1 and lags[0] >= 2 * LAG_THRESHOLD and loop.is_lagging
    assert time.monotonic() - began >= LAG_THRESHOLD / TICKS_PER_SECOND
    waits = []
    loop.call_at(now - 2 * LAG_THRESHOLD, lambda: None)
    loop.next_event = lambda timeout: waits.append(timeout)
    run_for(loop, 1)
    assert len(lags) == 2 and len(waits) == 2  # none more after a wait for lag


def test_the_time_follows_the_monotonic_clock_from_where_another_process_was(loop):
    clock = loop.clock
    there = clock.monotonic_time
    clock.resume(7, there)
    assert clock.time - 7 == clock.monotonic_time - there
    assert clock.to_monotonic(0) == 0 and clock.to_monotonic(clock.time + 5) == clock.monotonic_time + 5


def test_the_phase_only_moves_forwards():
    lifecycle = Lifecycle(SimpleNamespace())
    for phase, expected in (
        (Phase.DRAINING, Phase.DRAINING),
        (Phase.SERVING, Phase.DRAINING),
        (Phase.ENDED, Phase.ENDED),
        (Phase.CLOSING, Phase.ENDED),
    ):
        lifecycle.enter(phase)
        assert lifecycle.phase is expected
