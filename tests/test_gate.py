"""Tests of the reference model of the admission check (`rigs/gate.py`) against the real check."""

import json

from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.faults import draw, parse
from lilacloft.emulator.worlds import WORLDS
from rigs import gate


def test_model_agrees_with_the_admission_check_under_random_faults():
    """A condition that is in the real check and not in the model, or that is evaluated in another order with
    another result, shows as a disagreement."""
    refusal_count = 0
    for seed in range(1, 7):
        world = WORLDS["brief"].lasting(2)
        faults = tuple(draw(RandomStreams(seed).stream("faults"), world.sizes(), world.span, 4))
        run = gate.observed_run((world, faults, seed))
        assert run["disagreed"] == {}, (seed, faults)
        refusal_count += sum(run["refused"].values())
    assert refusal_count > 0  # the comparison covers refusals too


def test_refusals_are_attributed_to_a_narrow_link_and_to_unresponsive_caches():
    thin = gate.world("thin", 2.0, ["way_in=3000.0"])
    run = gate.observed_run((thin, (), 3))
    assert run["disagreed"] == {} and run["refused"]
    refused = {
        cause: many for cause, many in run["refused"].items() if cause not in ("tries or time", "no way")
    }
    assert sum(many for cause, many in refused.items() if "link" in cause) > 0.5 * sum(refused.values())
    silent = gate.world("small", 3.0, [])
    run = gate.observed_run((silent, tuple(parse("(at 1s (silent (zone 0)) (for 1.5s))")), 3))
    assert run["disagreed"] == {}
    assert sum(many for cause, many in run["refused"].items() if "cache" in cause) > 0


def test_command_prints_and_writes_its_results(tmp_path, capsys):
    out = tmp_path / "gate.json"
    assert gate.main(["brief", "rate=40.0", "--seconds", "1", "--seeds", "2", "--json", str(out)]) == 0
    output = capsys.readouterr().out
    assert "brief, 2 seeds: worth" in output and "disagreed 0 times" in output
    written = json.loads(out.read_text())
    assert written["changes"] == ["rate=40.0"] and [one["seed"] for one in written["runs"]] == [1, 2]
