"""Lags are reported by kind of work and by process, so that the cause of a late answer can be found."""

import threading
import time

from lilacloft.gateway.clock import GatewayClock
from lilacloft.gateway.counters import Counters
from lilacloft.gateway.event_loop import EventLoop
from lilacloft.net.lag_histogram import GatewayLags, LagHistogram
from lilacloft.net.processor_wait import ProcessorWait, processor_wait
from lilacloft.net.request_trace import Trace
from lilacloft.routing.units import TICKS_PER_MILLISECOND
from rigs.checker import Breach
from rigs.inprocess import until
from rigs.lateness import lateness, who_was_late
from rigs.stands import serves

REF = "00000000deadbeef"


def test_a_lag_is_counted_in_its_bucket():
    lags = LagHistogram()
    for milliseconds in (0, 1, 1.1, 700, 2500):
        lags.record(int(milliseconds * TICKS_PER_MILLISECOND))
    counted = {name: count for name, count in lags.summary().items() if count}
    assert counted == {"to_1ms": 2, "to_2ms": 1, "to_1000ms": 1, "over_2000ms": 1, "longest_ms": 2500}


def test_the_loop_records_the_lags_of_events_and_timers():
    lags = GatewayLags()
    loop = EventLoop(GatewayClock(), Counters(), lag_threshold=200, lags=lags)
    loop.call_at(loop.clock.time, lambda: None)
    loop.call_at(loop.clock.time + 10**8, lambda: None)
    loop.post(lambda: None)
    time.sleep(0.06)
    remaining = iter([False, True])
    loop.run(lambda: next(remaining))
    assert lags.events.longest >= 500 and lags.timers.longest >= 500


def test_a_timer_created_for_a_past_time_is_not_a_lag():
    """A timer created for a past time, such as an old half-close, counted as a lag of seconds and shortened
    all other requests' deadlines."""
    loop = EventLoop(GatewayClock(), Counters(), lag_threshold=200)
    loop.call_at(loop.clock.time + 10**8, lambda: None)
    loop.call_at(loop.clock.time - 30_000, lambda: None)
    remaining = iter([False, True])
    loop.run(lambda: next(remaining))
    assert loop.lags.timers.longest < 10_000
    assert loop.lag_margin.current(loop.clock.monotonic_time) < 10_000


def test_an_unread_request_and_a_queued_event_appear_in_histograms_and_trace(in_process):
    world = in_process(serves(b"x"))
    asker, go = world.asker(), world.stall()
    asker.ask()
    until(lambda: world.owner.downstream.counts["reqs"])
    time.sleep(0.06)
    go.set()
    assert asker.answer()[1] == b"200"
    assert world.owner.lags.events.longest >= 500 and sum(world.owner.lags.reads.counts) == 1
    assert any("ms late" in step.detail for step in world.owner.trace.steps if step.what == "arrived")


def test_a_short_wait_is_not_noted_in_the_trace():
    trace = Trace()
    trace.add_late(5, "a", "arrived", "clip", 100)
    trace.add_late(5, "a", "ended", "DATA", 101)
    assert [step.detail for step in trace.steps_of("a")] == ["clip", "DATA, taken 10.1 ms late"]


def test_the_processor_wait_of_threads_is_read_from_the_kernel(tmp_path):
    held = threading.Event()
    thread = threading.Thread(target=held.wait)
    thread.start()
    assert processor_wait().threads >= 2
    held.set()
    thread.join()
    for name, nanoseconds in (("7", 3_000_000), ("8", 5_000_000)):
        (tmp_path / name).mkdir()
        (tmp_path / name / "schedstat").write_text(f"11 {nanoseconds} 4\n")
    assert processor_wait(tmp_path) == ProcessorWait(0, 8, 5, 2)
    assert processor_wait(tmp_path / "none") == ProcessorWait()


def test_who_was_late_names_the_peers_of_a_request_and_the_relays_of_that_time():
    entries = [
        {"at": 1.0, "who": "s-00000001", "what": "do", "ref": REF, "late": 0.3},
        {"at": 1.1, "who": "clients", "what": "answer", "ref": REF, "late": 0.001},
        {"at": 1.2, "who": "relay", "what": "passed", "late": 0.1},
        {"at": 9.0, "who": "relay", "what": "passed", "late": 0.2},
    ]
    culprits = who_was_late(Breach(1, 1.0, "clients", f"{REF} answered 0.100 s too late"), entries)
    assert culprits == "s-00000001 read its do 0.300 s late; a relay passed a piece on 0.100 s late"
    report = lateness(entries, [" lag of reads: to_1ms=3 longest_ms=12", " lag of reads: longest_ms=4"])
    assert report["boxes"] == {"of": 1, "over_20ms": 1, "longest_ms": 300}
    assert report["gateways_longest_ms"] == {"reads": 12}
