"""Conversion of timestamps of other machines to a gateway's own time."""

import random

import pytest

from lilacloft.clock_offset import (
    DRIFT_INTERVAL,
    MAX_DELIVERY_TIME,
    MAX_START_DELAY,
    ClockOffset,
    WatchContext,
)


@pytest.mark.parametrize("seed", range(100))
def test_a_purge_never_counts_as_earlier_than_it_was_and_soon_as_hardly_later(seed):
    """For any constant difference of the clocks, and purges that arrive late, also after an outage."""
    rng = random.Random(seed)
    offset, clock_offset, true_time = rng.randrange(-50_000, 50_000), ClockOffset(), 10_000_000
    fastest = None
    for _ in range(200):
        true_time += rng.randrange(1, 3000)
        delay = rng.choice([200, 400, 900, 30_000])
        stamp, arrival = true_time - delay, true_time + offset
        converted = clock_offset.purge_time(arrival, stamp)
        fastest = delay if fastest is None else min(fastest, delay)
        assert converted <= arrival
        assert stamp <= converted - offset <= stamp + fastest + 600_000 // DRIFT_INTERVAL + 1
    assert converted - offset <= stamp + 200 + 600_000 // DRIFT_INTERVAL + 1


def test_drift_is_followed_slowly_upwards_and_at_once_downwards():
    clock_offset, offset, now = ClockOffset(), 0, 10**7
    for step in range(4000):
        now += 10_000
        offset += 1 if step < 2000 else -1  # a drift of 1 in 10,000
        assert clock_offset.purge_time(now + offset, now - 20) >= now - 20 + offset


def test_the_first_purge_counts_as_of_its_arrival():
    assert ClockOffset().purge_time(5_000, 1_000) == 5_000 and ClockOffset().purge_time(5_000, 9_000) == 5_000


def test_a_start_is_never_after_its_arrival_and_does_not_change():
    clock_offset, context = ClockOffset(), WatchContext(0, is_current=True)
    assert clock_offset.start_time(1000, "a", 0) == 0
    clock_offset.purge_time(1000, 1000)  # both clocks show the same time
    assert clock_offset.start_time(1000, "a", 900, context) == 900
    assert clock_offset.start_time(2000, "b", 5000, context) == 2000  # it cannot have started later
    assert clock_offset.start_time(9000, "b", 5000, context) == 2000  # repeated: the same start
    assert clock_offset.start_time(9000, "b", 5001, context) == 5001
    clock_offset.forget("b")
    assert clock_offset.start_time(100, "b", 5001, context) == 100


@pytest.mark.parametrize("offset", [-36_000_000, -7, 0, 7, 36_000_000])
def test_a_start_is_converted_correctly_however_the_local_clock_was_stepped(offset):
    clock_offset, true_time = ClockOffset(), 10**9
    clock_offset.purge_time(true_time + offset, true_time - 300)  # arrives 30 ms after its timestamp
    context = WatchContext(true_time + offset, is_current=True)
    assert (
        clock_offset.start_time(true_time + 1000 + offset, "a", true_time, context)
        == true_time + offset + 300
    )


def test_without_a_purge_a_start_counts_as_of_its_arrival_and_is_corrected_by_the_first_purge():
    clock_offset, context = ClockOffset(), WatchContext(10**6, is_current=True)
    assert clock_offset.start_time(10**6, "a", 500, context) == 10**6
    assert clock_offset.corrected_starts() == {}
    clock_offset.purge_time(10**6 + 10, 10**6)
    assert clock_offset.corrected_starts() == {"a": 510}
    assert clock_offset.start_time(10**6 + 20, "a", 500, context) == 510
    assert clock_offset.corrected_starts() == {}


def test_configured_starts_are_converted_relative_to_each_other():
    """The latest counts as of now, and the others as earlier by their difference, whatever the local clock
    shows."""
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.record_configured_starts(now, [now - 36_000_500, now - 36_090_000, 0])
    assert clock_offset.start_time(now, "a", now - 36_000_500) == now
    assert clock_offset.start_time(now, "b", now - 36_090_000) == now - 89_500
    assert clock_offset.start_time(now, "c", 0) == 0


def test_a_start_with_too_old_a_timestamp_for_the_log_counts_as_of_now():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.purge_time(now, now)
    context = WatchContext(now - 5_000, is_current=True)
    oldest = now - 5_000 - MAX_START_DELAY
    assert clock_offset.start_time(now, "a", oldest, context) == oldest
    assert clock_offset.start_time(now, "b", oldest - 1, context) == now
    clock_offset.purge_time(now + 10, now + 10)
    assert clock_offset.corrected_starts() == {}  # an unreliable timestamp stays unreliable


# --- the clock of the log is set back ---


@pytest.mark.parametrize("seed", range(50))
def test_a_purge_never_counts_as_much_older_than_it_is_when_the_logs_clock_is_set_back(seed):
    """Compares with the true time, with frames at least every second, occasional clock steps, and outages
    that delay many events. The error from a step below `MAX_DELIVERY_TIME` is at most that time plus the
    time between two frames."""
    rng = random.Random(seed)
    clock_offset, true_time, offset = ClockOffset(), 10**9, rng.randrange(-(10**8), 10**8)
    log_step, previous_frame_at, current = 0, true_time + offset, True
    for _ in range(400):
        if rng.random() < 0.05:
            log_step -= rng.choice([10_000, 25_000, 36_000_000])
        outage = rng.random() < 0.05
        true_time += rng.randrange(20_000, 200_000) if outage else rng.randrange(1, 10_000)
        arrival = true_time + offset
        current = current and not outage
        delay = rng.randrange(0, arrival - previous_frame_at) if outage else rng.randrange(300, 4_000)
        converted = clock_offset.purge_time(
            arrival, true_time - delay + log_step, WatchContext(previous_frame_at, current)
        )
        max_error = MAX_DELIVERY_TIME + 10_000
        assert true_time + offset - delay - max_error <= converted <= arrival
        previous_frame_at, current = arrival, True  # the next frame has nothing new


def test_a_purge_with_too_old_a_timestamp_for_the_previous_frame_counts_as_of_its_arrival():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.purge_time(now, now - 100)
    context = WatchContext(now, is_current=True)
    assert clock_offset.purge_time(now, now - MAX_DELIVERY_TIME - 100, context) == now - MAX_DELIVERY_TIME
    assert clock_offset.purge_time(now, now - MAX_DELIVERY_TIME - 101, context) == now
    # the lag is learned again: the next purge with the same timestamp counts as of the same time
    assert (
        clock_offset.purge_time(now, now - MAX_DELIVERY_TIME - 101, WatchContext(now, is_current=True)) == now
    )


def test_a_purge_delayed_by_a_disconnection_counts_as_of_its_arrival_and_does_not_raise_the_lag():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.purge_time(now, now - 100)
    assert (
        clock_offset.purge_time(now + 50_000, now + 10_000, WatchContext(now, is_current=False))
        == now + 50_000
    )
    assert clock_offset.min_lag == 100 + 50_000 // DRIFT_INTERVAL


def test_starts_from_before_the_logs_clock_was_set_back_are_not_corrected_afterwards():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.start_time(now, "a", now - 500, WatchContext(now, is_current=True))
    clock_offset.purge_time(now, now - 36_000_000)
    assert clock_offset.purge_time(now + 10, now - 72_000_000, WatchContext(now, is_current=True)) == now + 10
    assert clock_offset.corrected_starts() == {}
