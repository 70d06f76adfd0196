"""Event queue and random number streams of the emulator."""

import subprocess
import sys

import pytest

from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.events import CLIENT, FAULT, NET, Events


def test_streams_are_independent_of_each_other():
    one, two = RandomStreams(7), RandomStreams(7)
    two.stream("other").random()
    first = [one.stream("clients").random() for _ in range(2000)]
    mixed = []
    for number in range(2000):
        mixed.append(two.stream("clients").random())
        if number % 3:
            two.stream("other").expo(2.0)
    assert first == mixed and RandomStreams(8).stream("clients").random() != first[0]
    assert first != [one.stream("client").random() for _ in range(2000)]


def test_random_numbers_are_the_same_in_every_process_and_under_every_hash_seed():
    script = (
        "from lilacloft.emulator.chance import RandomStreams; s = RandomStreams(3).stream('x');"
        "print([s.random(), s.expo(2.0), s.below(9), s.heavy(5.0, 1.0), s.sample(list('abc'), 2)])"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", script],
            env={"PYTHONHASHSEED": seed},
            text=True,
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outputs) == 1


def test_draws_have_the_stated_distributions():
    stream = RandomStreams(1).stream("shape")
    waits = [stream.expo(4.0) for _ in range(20_000)]
    assert sum(waits) / len(waits) == pytest.approx(4.0, rel=0.05)
    assert {stream.below(3) for _ in range(200)} == {0, 1, 2}
    assert sorted(stream.sample([1, 2, 3], 5)) == [1, 2, 3]
    heavy = sorted(stream.heavy(10.0, 1.0) for _ in range(4001))
    assert heavy[2000] == pytest.approx(10.0, rel=0.1) and heavy[-1] > 100


def test_simultaneous_events_run_by_rank_then_in_scheduling_order():
    events, seen = Events(), []
    events.at(5, CLIENT, seen.append, "patience")
    events.at(5, NET, seen.append, "answer 1")
    events.at(5, NET, seen.append, "answer 2")
    events.at(5, FAULT, seen.append, "fault")
    events.at(4, CLIENT, events.at, 3, NET, seen.append, "late")  # times in the past mean now
    events.run(4)
    assert seen == ["late"] and events.now == 4
    events.run(9)
    assert seen == ["late", "fault", "answer 1", "answer 2", "patience"]
    assert events.now == 9 and not events.step()
