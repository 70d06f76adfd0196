"""Guards a process's memory limit and the time of usual clients against what other clients send.

Real processes at the least memory of the pages, started by the deploy file's `run` line (rigs/pressure.py).
"""

import pytest

from rigs.pressure import run_play

LEAST_MEMORY = 32  # MB
MEGABYTE = 1_000_000


@pytest.mark.parametrize(
    "play",
    [
        "sound",
        "half",
        "slow_writes",
        "fields",
        "unread",
        "unread_alive",
        "floods_withdrawn",
        "half+slow_writes+fields+unread",
    ],
)
def test_a_process_passes_its_memory_limit_by_what_clients_send_or_do_not_read(play):
    """Guards against bytes, objects and threads that clients make many and that are in no account."""
    result = run_play(play.split("+"), LEAST_MEMORY)
    assert not result.ended, result.counters
    assert result.peak_mb * (1 << 20) < LEAST_MEMORY * MEGABYTE
    assert result.usual["unanswered"] == 0


@pytest.mark.parametrize(
    "play", ["flood_alive", "flood_forget", "flood_withdrawn", "flood_new_names", "flood_unusable", "fields"]
)
def test_usual_clients_wait_behind_one_that_sends_at_full_speed(play):
    """Guards against messages that cost the reader's time only, which the event loop then does not get."""
    result = run_play([play], LEAST_MEMORY)
    assert not result.ended, result.counters
    assert (result.usual["unanswered"], result.usual["late"]) == (0, 0)
    assert result.usual["served"] > 0.9 * result.usual["asked"]
