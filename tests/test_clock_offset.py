"""What others' clock_offset mean in a gateway's own time."""

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
def test_a_purge_never_counts_as_before_it_was_and_soon_hardly_after(seed):
    """Whatever constant the clocks differ by; told late, or again after an outage."""
    chance = random.Random(seed)
    ahead, clock_offset, true = chance.randrange(-50_000, 50_000), ClockOffset(), 10_000_000
    fastest = None
    for _ in range(200):
        true += chance.randrange(1, 3000)
        delay = chance.choice([200, 400, 900, 30_000])
        stamp, heard = true - delay, true + ahead
        told = clock_offset.purge_time(heard, stamp)
        fastest = delay if fastest is None else min(fastest, delay)
        assert told <= heard
        assert stamp <= told - ahead <= stamp + fastest + 600_000 // DRIFT_INTERVAL + 1
    assert told - ahead <= stamp + 200 + 600_000 // DRIFT_INTERVAL + 1


def test_clocks_that_run_apart_are_followed_slowly_upwards_and_at_once_downwards():
    clock_offset, ahead, now = ClockOffset(), 0, 10**7
    for turn in range(4000):
        now += 10_000
        ahead += 1 if turn < 2000 else -1  # one in ten thousand
        assert clock_offset.purge_time(now + ahead, now - 20) >= now - 20 + ahead


def test_the_first_purge_heard_counts_as_of_then():
    assert ClockOffset().purge_time(5_000, 1_000) == 5_000 and ClockOffset().purge_time(5_000, 9_000) == 5_000


def test_a_start_is_never_after_it_was_told_and_stays_what_it_was():
    clock_offset, told = ClockOffset(), WatchContext(0, is_current=True)
    assert clock_offset.start_time(1000, "a", 0) == 0
    clock_offset.purge_time(1000, 1000)  # both clocks tell the same time
    assert clock_offset.start_time(1000, "a", 900, told) == 900
    assert clock_offset.start_time(2000, "b", 5000, told) == 2000  # it cannot have started later
    assert clock_offset.start_time(9000, "b", 5000, told) == 2000  # told again: the same life
    assert clock_offset.start_time(9000, "b", 5001, told) == 5001
    clock_offset.forget("b")
    assert clock_offset.start_time(100, "b", 5001, told) == 100


@pytest.mark.parametrize("ahead", [-36_000_000, -7, 0, 7, 36_000_000])
def test_a_start_counts_by_the_logs_clock_whatever_ours_was_stepped_by(ahead):
    clock_offset, true = ClockOffset(), 10**9
    clock_offset.purge_time(true + ahead, true - 300)  # told 30 ms after it was
    told = WatchContext(true + ahead, is_current=True)
    assert clock_offset.start_time(true + 1000 + ahead, "a", true, told) == true + ahead + 300


def test_without_a_purge_a_start_counts_as_of_when_it_is_told_and_is_corrected_by_the_first():
    clock_offset, told = ClockOffset(), WatchContext(10**6, is_current=True)
    assert clock_offset.start_time(10**6, "a", 500, told) == 10**6
    assert clock_offset.corrected_starts() == {}
    clock_offset.purge_time(10**6 + 10, 10**6)
    assert clock_offset.corrected_starts() == {"a": 510}
    assert clock_offset.start_time(10**6 + 20, "a", 500, told) == 510
    assert clock_offset.corrected_starts() == {}


def test_starts_that_a_configuration_lists_are_told_apart_by_themselves():
    """The latest counts as of now, those before it as much earlier, whatever our clock says."""
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.record_configured_starts(now, [now - 36_000_500, now - 36_090_000, 0])
    assert clock_offset.start_time(now, "a", now - 36_000_500) == now
    assert clock_offset.start_time(now, "b", now - 36_090_000) == now - 89_500
    assert clock_offset.start_time(now, "c", 0) == 0


def test_a_start_that_claims_to_be_older_than_the_log_can_have_told_counts_as_of_now():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.purge_time(now, now)
    told = WatchContext(now - 5_000, is_current=True)
    oldest = now - 5_000 - MAX_START_DELAY
    assert clock_offset.start_time(now, "a", oldest, told) == oldest
    assert clock_offset.start_time(now, "b", oldest - 1, told) == now
    clock_offset.purge_time(now + 10, now + 10)
    assert clock_offset.corrected_starts() == {}  # that its stamp is not to be trusted stays so


# --- the log's clock is put back ---


@pytest.mark.parametrize("seed", range(50))
def test_a_purge_never_counts_as_much_older_than_it_is_however_the_logs_clock_is_put_back(seed):
    """Beside the truth: frames at least each second, a step now and then, outages in which much is held back.
    What a step below `MAX_DELIVERY_TIME` hides is no more than that and what lies between two frames."""
    chance = random.Random(seed)
    clock_offset, true, ahead = ClockOffset(), 10**9, chance.randrange(-(10**8), 10**8)
    log, before, current = 0, true + ahead, True
    for _ in range(400):
        if chance.random() < 0.05:
            log -= chance.choice([10_000, 25_000, 36_000_000])
        outage = chance.random() < 0.05
        true += chance.randrange(20_000, 200_000) if outage else chance.randrange(1, 10_000)
        heard = true + ahead
        current = current and not outage
        delay = chance.randrange(0, heard - before) if outage else chance.randrange(300, 4_000)
        meant = clock_offset.purge_time(heard, true - delay + log, WatchContext(before, current))
        hidden = MAX_DELIVERY_TIME + 10_000
        assert true + ahead - delay - hidden <= meant <= heard
        before, current = heard, True  # the next frame has nothing new


def test_a_purge_that_the_frame_before_it_contradicts_counts_as_of_when_it_is_heard():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.purge_time(now, now - 100)
    context = WatchContext(now, is_current=True)
    assert clock_offset.purge_time(now, now - MAX_DELIVERY_TIME - 100, context) == now - MAX_DELIVERY_TIME
    assert clock_offset.purge_time(now, now - MAX_DELIVERY_TIME - 101, context) == now
    # the lag is learned anew: the next of the same stamp counts no younger
    assert (
        clock_offset.purge_time(now, now - MAX_DELIVERY_TIME - 101, WatchContext(now, is_current=True)) == now
    )


def test_a_purge_that_was_held_back_counts_as_of_when_it_is_heard_and_changes_no_lag_upwards():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.purge_time(now, now - 100)
    assert (
        clock_offset.purge_time(now + 50_000, now + 10_000, WatchContext(now, is_current=False))
        == now + 50_000
    )
    assert clock_offset.min_lag == 100 + 50_000 // DRIFT_INTERVAL


def test_starts_told_before_the_logs_clock_was_put_back_are_not_corrected_by_what_it_says_after():
    clock_offset, now = ClockOffset(), 10**9
    clock_offset.start_time(now, "a", now - 500, WatchContext(now, is_current=True))
    clock_offset.purge_time(now, now - 36_000_000)
    assert clock_offset.purge_time(now + 10, now - 72_000_000, WatchContext(now, is_current=True)) == now + 10
    assert clock_offset.corrected_starts() == {}
