"""Load generator, and a comparison of the emulator with the same world on real sockets."""

import dataclasses
import itertools
import json

import pytest

from lilacloft.__main__ import main
from lilacloft.emulator.clients import Ask
from lilacloft.emulator.faults import parse
from lilacloft.emulator.fleet import Fleet
from lilacloft.emulator.worlds import CLIP, SECOND, WORLDS
from lilacloft.load.driver import quantiles
from lilacloft.load.schedule import Due, Tally, name, schedule
from rigs.bridge import run_in_emulator, sockets

SMALL = WORLDS["small"].lasting(3.0)


def test_a_schedule_depends_on_world_and_seed_and_matches_the_emulator():
    first, again = list(schedule(SMALL, 4, 2)), list(schedule(SMALL, 4, 2))
    assert first == again != list(schedule(SMALL, 5, 2))
    assert [due.at for due in first] == sorted(due.at for due in first) and first[-1].at < SMALL.span
    assert [due.number for due in first] == list(range(1, len(first) + 1))
    fleet = Fleet(dataclasses.replace(SMALL, habits=dataclasses.replace(SMALL.habits, retries=0)), 4)
    fleet.run()
    asked = [told.name.split(" ", 1)[1] for told in fleet.checker.requests.values()]
    assert asked == [f"({SMALL.vhosts[due.ask.vhost].name} {due.ask.key}/{due.ask.part})" for due in first]


def test_sessions_are_scheduled_ahead_and_stay_with_one_gateway():
    world = WORLDS["videos"].lasting(6.0)
    gateways = {}
    parts = 0
    for due in schedule(world, 1, 3):
        if due.ask.part:
            parts += 1
            assert any(other == due.gateway for other in gateways[due.ask.key])
        gateways.setdefault(due.ask.key, set()).add(due.gateway)
    assert parts > 300 and len(set(itertools.chain(*gateways.values()))) == 3


def test_wire_names_are_sixteen_digits_and_stable():
    assert name("o1") == name("o1") != name("o2") and len(name("o1")) == 16 and int(name("o1"), 16)


def test_a_tally_counts_latency_from_the_scheduled_time_and_computes_worth():
    tally = Tally(SMALL)
    due = Due(0, 1, Ask("a", 0, 1, 400.0, 0), 0)
    for took in (CLIP.target, CLIP.target + 2000, CLIP.target + 2001, 6 * SECOND):
        tally.ask(due, took)
        tally.answer(due, "done", took)
    assert tally.worth == pytest.approx((1 + 1 + 0.6 * (1 - 1 / (6 * SECOND - 6000)) + 0) / 4, abs=1e-6)
    tally.ask(due, 0)
    assert tally.open() == 1 and tally.late == 4 and tally.count("done") == 4
    tally.answer(due, "denied", 10)
    assert tally.open() == 0 and tally.worth < 0.6
    assert quantiles([10, 20, 30])["p50"] == 2.0 and quantiles([]) == {
        "count": 0,
        "p50": 0.0,
        "p90": 0.0,
        "p99": 0.0,
        "p99.9": 0.0,
        "max": 0.0,
    }


@pytest.mark.parametrize(
    "faults", ["", "(at 500ms (silent (cache 1)) (for 1s)) (at 1s (purge (object o1) 2))"]
)
def test_sockets_and_emulator_give_similar_results_for_the_same_world(tmp_path, faults):
    world = SMALL.at(60.0)
    real, model = sockets(world, 2, parse(faults), tmp_path), run_in_emulator(world, 2, parse(faults))
    assert real["unanswered"] == real["lost"] == real["unsent"] == 0
    assert real["asked"] == model["asked"] and abs(real["worth"] - model["worth"]) < 0.15
    assert real["all_ms"]["p50"] > 0.5 * model["all_ms"]["p50"]


def test_invalid_load_arguments_are_rejected(capsys):
    assert main(["load", "village", "--gateways", "127.0.0.1:1"]) == 2
    assert main(["load", "small", "--gateways", "here"]) == 2
    assert main(["load", "small", "--gateways", "127.0.0.1:1", "--seconds", "0.2"]) == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["unsent"] == printed["asked"] > 5 and printed["worth"] == 0.0
