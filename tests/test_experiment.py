"""Experiments: file parsing, statistics, running and storing runs, and the adversarial search."""

import dataclasses
import math
import random

import numpy as np
import pytest

from lilacloft.__main__ import main
from lilacloft.config.reader import SettingsError, parse
from lilacloft.emulator.chance import RandomStreams
from lilacloft.emulator.faults import Fault
from lilacloft.emulator.fleet import run as emulated
from lilacloft.emulator.policies import POLICIES
from lilacloft.emulator.worlds import SECOND, WORLDS
from lilacloft.experiment import report, revisions, runner, stats
from lilacloft.experiment.plan import Reader
from lilacloft.experiment.results import Results, ResultsError
from lilacloft.experiment.search import FIELDS, Search, Spot, ablations, family, kernel

FILE = """(experiment "all of it"
  (worlds brief (world small (rate 80) (caches 4) (span 2s) (joins no)) (scaled 20 4 60 (name big) (span 1s)))
  (faults none (drawn 2) (written storm (at 1s (silent (cache 3)) (for 5s)) (at 2s (cold (cache 1)))))
  (policies module hash)
  (seeds 3 5)
  (against hash)
  (measures worth p99))"""


def read(text):
    return Reader().read(parse(text, "x.sexp")[0])


# --- files ---


def test_a_file_defines_the_runs():
    found = read(FILE)
    assert found.count() == 3 * 3 * 2 * 3 == len({run.key("c") for run in found.runs()})
    small = found.worlds[1]
    assert small.name == "small rate=80 caches=4 span=2s joins=no"
    assert (small.habits.rate, small.caches, small.span, small.joins) == (80.0, 4, 2 * SECOND, False)
    assert found.worlds[2].name == "big span=1s" and found.worlds[2].caches == 20
    assert found.troubles[2].faults(small, 1) == [
        Fault("silent", "cache", "3", SECOND, 5 * SECOND),
        Fault("cold", "cache", "1", 2 * SECOND),
    ]
    assert len(found.troubles[1].faults(small, 4)) == 2
    assert found.troubles[1].faults(small, 4) != found.troubles[1].faults(small, 5)
    first = list(found.runs())[:18]
    assert {run.seed for run in first} == {3} and found.against == "hash"


def test_a_sweep_creates_a_world_for_each_value():
    found = read("(experiment s (worlds brief) (sweep (rate 10 20) (caches 3 4 5)))")
    assert [(one.habits.rate, one.caches) for one in found.worlds] == [
        (rate, caches) for rate in (10.0, 20.0) for caches in (3, 4, 5)
    ]
    assert found.worlds[0].name == "brief rate=10 caches=3"


def test_the_key_of_a_run_covers_everything_it_depends_on():
    one = next(read("(experiment s (worlds brief))").runs())
    others = [
        dataclasses.replace(one, seed=2),
        dataclasses.replace(one, policy="hash"),
        dataclasses.replace(one, world=one.world.lasting(1.0)),
    ]
    assert len({run.key("c") for run in [one, *others]} | {one.key("d")}) == 5
    assert one.key("c") == dataclasses.replace(one).key("c")


@pytest.mark.parametrize(
    "text, message",
    [
        ("(experiment)", "expected (experiment NAME ...)"),
        ("(experiment s)", "no worlds are given"),
        ("(experiment s (worlds smal))", "1:23: no world smal, expected small?"),
        ("(experiment s (worlds brief) (polices module))", "expected policies?"),
        ("(experiment s (worlds brief) (policies modul))", "no policy modul, expected module?"),
        ("(experiment s (worlds brief) (seeds 5 1))", "(seeds FIRST LAST)"),
        ("(experiment s (worlds (world brief (rat 5))))", "no field rat, expected rate?"),
        ("(experiment s (worlds (world brief (rate much))))", "expected a number"),
        ("(experiment s (worlds (world brief (span 5))))", "a time like 2s"),
        ("(experiment s (worlds (world brief (joins 1))))", "expected yes or no"),
        ("(experiment s (worlds (world brief rate)))", "expected (FIELD VALUE)"),
        ("(experiment s (worlds (city brief)))", "(world NAME"),
        ("(experiment s (worlds brief brief))", "two worlds are named brief"),
        ("(experiment s (worlds brief) (faults some))", "expected none, (drawn COUNT)"),
        ("(experiment s (worlds brief) (faults (written x (at 1s (cold log)))))", "cold applies to"),
        (
            "(experiment s (worlds brief) (policies hash two))",
            "the baseline module is not one of the policies",
        ),
        ("(experiment s (worlds brief) (seeds 1 2) (seeds 1 3))", "seeds is given twice"),
        ("(experiment s (worlds brief) (measures beauty))", "no measure beauty"),
        ("(experiment s (worlds brief) (seeds 1 9999999))", "1000000 at most"),
        ("(experiment s (worlds brief) (sweep rate))", "expected (FIELD VALUE ...)"),
        ("(experiment s (worlds brief) (against))", "(against POLICY)"),
    ],
)
def test_errors_in_a_file_are_reported_with_their_position(text, message):
    with pytest.raises(SettingsError) as wrong:
        read(text)
    assert message in str(wrong.value) and "x.sexp:1:" in str(wrong.value)


# --- figures ---


def test_confidence_intervals_have_their_nominal_coverage():
    chance, inside = random.Random(1), 0
    for turn in range(300):
        one = stats.estimate([chance.gauss(5.0, 2.0) for _ in range(30)], turn)
        inside += one.low <= 5.0 <= one.high
    assert 0.89 <= inside / 300 <= 0.99


def test_differences_have_few_false_positives_and_high_power():
    chance, false, true = random.Random(2), 0, 0
    for turn in range(200):
        shared = {seed: chance.gauss(0, 5) for seed in range(20)}
        one = {seed: value + chance.gauss(0, 1) for seed, value in shared.items()}
        alike = {seed: value + chance.gauss(0, 1) for seed, value in shared.items()}
        other = {seed: value + chance.gauss(1.5, 1) for seed, value in shared.items()}
        false += stats.compare(one, alike, turn).shown
        true += stats.compare(one, other, turn).shown
    assert false / 200 < 0.09 and true / 200 > 0.9


def test_few_pairs_are_tested_exactly_and_report_the_seeds_needed():
    ones, zeros = dict.fromkeys(range(5), 1.0), dict.fromkeys(range(5), 0.0)
    gap = stats.compare(ones, zeros)
    assert gap.chance == 2 / 32 and not gap.shown and gap.mean == 1.0 and (gap.better, gap.worse) == (5, 0)
    assert stats.compare(dict.fromkeys(range(6), 1.0), dict.fromkeys(range(6), 0.0)).shown
    assert stats.least(1) == 6 and stats.least(18) == 10
    gap = stats.compare({1: 1.0}, {2: 1.0})
    assert gap.count == 0 and math.isnan(gap.mean) and not gap.shown
    same = stats.compare(ones, ones)
    assert same.mean == 0 and not same.shown and same.needs == 0
    noisy = stats.compare({seed: (-1) ** seed * 5 + 0.5 for seed in range(20)}, dict.fromkeys(range(20), 0.0))
    assert not noisy.shown and noisy.needs > 200


def test_differences_from_rare_seeds_are_marked():
    values = dict.fromkeys(range(40), 0.0) | {7: 5.0, 9: 4.0}
    assert stats.compare(values, dict.fromkeys(range(40), 0.0)).rare
    even = {seed: 1.0 + seed / 40 for seed in range(40)}
    assert not stats.compare(even, dict.fromkeys(range(40), 0.0)).rare


def test_multiple_comparisons_are_corrected():
    assert stats.holm({"a": 0.001, "b": 0.02, "c": 0.04}) == {"a", "b", "c"}
    assert stats.holm({"a": 0.02, "b": 0.02, "c": 0.02}) == set()
    assert stats.holm({"a": 0.001, "b": 0.03, "c": 0.04}) == {"a"} and stats.holm({}) == set()


def test_growth_is_described():
    sizes = [10, 100, 1000]
    assert stats.growth(sizes, [5, 50, 500]) == (pytest.approx(1.0), "grows linearly")
    assert stats.growth(sizes, [5, 500, 50_000])[1] == "grows quadratically"
    assert stats.growth(sizes, [5, 5.1, 5.2])[1] == "is nearly constant"
    assert stats.growth(sizes, [1, 1e4, 1e9])[1] == "grows faster than quadratically"
    assert np.isfinite(stats.estimate([1.0, 2.0]).half)


# --- runs ---


def test_interrupted_experiments_resume_and_changed_ones_run_only_what_is_missing(tmp_path, capsys):
    path, base = tmp_path / "e.sexp", str(tmp_path / "r.sqlite")
    path.write_text("(experiment e (worlds (world brief (span 1s))) (policies module hash) (seeds 1 3))")
    assert main(["experiment", "run", str(path), "--results", base, "--processes", "2"]) == 0
    assert "6 runs done, 6 of 6" in capsys.readouterr().out
    path.write_text("(experiment e (worlds (world brief (span 1s))) (policies module hash two) (seeds 1 4))")
    found, results = read(path.read_text()), Results(base)
    assert len(runner.missing(found, results)) == 6
    seen = []

    def stop(count, total, left):
        seen.append((count, total))
        if count == 2:
            raise KeyboardInterrupt

    assert runner.run(found, results, stop, 2) == 2 and seen[0] == (1, 6)
    assert runner.run(found, results, lambda *_: None, 2) == 4 and runner.run(found, results, stop) == 0
    values = runner.values(found, results, "worth")
    assert {len(mine) for mine in values.values()} == {4} and len(values) == 3
    direct = emulated(found.worlds[0], 2, (), POLICIES["hash"])
    assert values["brief span=1s", "calm", "hash"][2] == direct.worth
    assert main(["experiment", "report", str(path), "--results", base]) == 0
    assert "no difference" in capsys.readouterr().out
    assert main(["experiment", "compare", str(path), "module", "two", "--results", base]) == 0
    assert "on 4 seeds of 1 worlds" in capsys.readouterr().out
    assert main(["experiment", "compare", str(path), "module", "three", "--results", base]) == 2
    written = report.write(found, results, str(tmp_path / "out"))
    text = (tmp_path / "out" / "e.md").read_text()
    assert text.count("| brief span=1s | calm |") == 3 * len(found.measures)
    assert len(written) == 1 + len(found.measures) and all(name.startswith(str(tmp_path)) for name in written)


def test_invalid_results_files_are_rejected(tmp_path):
    (tmp_path / "x").write_bytes(b"nonsense" * 200)
    with pytest.raises(ResultsError):
        Results(str(tmp_path / "x"))
    base = Results(str(tmp_path / "y"))
    base.put("k", "w", "t", "p", 1, "c", "now", {"worth": 1.0})
    base.put("k", "w", "t", "p", 1, "c", "now", {"worth": 2.0})
    assert base.get(["k", "l"]) == {"k": {"worth": 1.0}} and base.count() == 1
    base.base.execute("update about set value = '9'")
    base.base.commit()
    with pytest.raises(ResultsError, match="format version 9"):
        Results(str(tmp_path / "y"))


def test_a_revision_runs_as_a_policy_and_a_missing_one_is_an_error(tmp_path, monkeypatch):
    texts = dict(revisions.current_sources())
    assert "MAX_ATTEMPTS = 3" in texts["retries"]
    texts["retries"] = texts["retries"].replace("MAX_ATTEMPTS = 3", "MAX_ATTEMPTS = 1")
    monkeypatch.setattr(revisions, "sources", lambda revision: texts)
    made = revisions.policy("revision of-a-test")
    assert made is not POLICIES["module"] and made.__name__ == "Router"
    world = WORLDS["brief"].lasting(2.0)
    assert emulated(world, 1, (), made).mark == emulated(world, 1).mark
    faults = [Fault("cold", "zone", "0", SECOND // 2)]
    assert emulated(world, 1, faults, made).dispatches <= emulated(world, 1, faults).dispatches
    assert revisions.code("revision of-a-test") != revisions.code("module") == revisions.code("hash")
    monkeypatch.undo()
    with pytest.raises(revisions.RevisionError):
        revisions.sources("no-such-revision")


def test_planners_are_run_as_a_policy():
    found = read("(experiment s (worlds (world brief (span 2s))) (policies module planes planes-troubled))")
    runs = list(found.runs())[:3]
    one, two, rough = (runner.done(run) for run in runs)
    assert one["asked"] == two["asked"] == rough["asked"] and not two["broken"] and not rough["broken"]
    assert two["events"] > one["events"] and len({run.key(revisions.code(run.policy)) for run in runs}) == 3


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_every_policy_serves_a_calm_world_without_violations(name):
    for world in (WORLDS["small"].lasting(2.0), WORLDS["writes"].lasting(2.0)):
        result = emulated(
            world,
            1,
            [Fault("cold", "cache", "1", SECOND), Fault("drain", "cache", "2", SECOND, SECOND)],
            POLICIES[name],
        )
        assert result.worth > 0.85 and not result.breaches


def test_baselines_differ_as_their_names_say():
    world = WORLDS["small"].lasting(4.0)
    runs = {name: emulated(world, 1, (), POLICIES[name]) for name in POLICIES}
    assert runs["random"].hits < runs["hash"].hits - 0.2  # copies are stored at their homes
    assert runs["least"].hits < runs["hash"].hits
    assert runs["oracle"].worth >= max(one.worth for one in runs.values()) - 0.01
    silent = [Fault("silent", "cache", "1", 0, 4 * SECOND)]
    names = ("hash", "hash+health", "oracle")
    rough = {name: emulated(world, 1, silent, POLICIES[name]).worth for name in names}
    assert rough["oracle"] > rough["hash+health"] > rough["hash"]


# --- the command and the search ---


def test_the_command_runs_a_world_and_shrinks_a_failing_one(capsys, monkeypatch):
    assert main(["emulate", "brief", "--seed", "3", "--faults", "2"]) == 0
    assert "worth: 0." in capsys.readouterr().out
    assert main(["emulate", "brief", "--seeds", "6", "--faults", "2"]) == 0
    assert "6 seeds in" in capsys.readouterr().out
    assert main(["emulate", "village"]) == 2 and main(["emulate", "brief", "--faults", "(at 1s (x y))"]) == 2
    assert main(["emulate", "brief", "--policy", "best"]) == 2

    class IgnoresDrains(POLICIES["module"]):
        def endpoints_changed(self, mode, entries):
            ready = [dataclasses.replace(entry, status=entry.status and 1) for entry in entries]
            super().endpoints_changed(mode, ready)

    monkeypatch.setitem(POLICIES, "deaf", IgnoresDrains)
    text = (
        "(at 500ms (drain (cache 1)) (for 3s)) (at 1s (purge (object o1) 2)) (at 1s (slow origin 3) (for 1s))"
    )
    capsys.readouterr()
    assert main(["emulate", "brief", "--faults", text, "--policy", "deaf", "--shrink"]) == 1
    told = capsys.readouterr().out
    assert "rule 3 at" in told and "is still broken by: (at 0.5s (drain (cache 1))" in told.splitlines()[-1]
    assert "slow" not in told.splitlines()[-1]


def test_the_search_finds_the_largest_loss_and_rechecks_doubtful_spots():
    """The loss is a simple function here: greatest with a high rate and a slow origin."""
    chance = random.Random(4)

    def lost(spot):
        slow = sum(one.kind == "slow" for one in spot.faults)
        return min(1.0, spot.world.habits.rate / 600) * 0.5 + 0.2 * min(slow, 2) + chance.gauss(0, 0.05)

    search = Search(RandomStreams(3).stream("search"), [WORLDS["small"], WORLDS["thin"]])
    for _ in range(1500):
        spot = search.next()
        for name, (low, high) in FIELDS.items():
            holder = spot.world.habits if hasattr(spot.world.habits, name) else spot.world
            before = WORLDS[spot.world.name]
            before = before if holder is spot.world else before.habits
            same = getattr(holder, name) == getattr(before, name)
            assert same or low <= getattr(holder, name) <= high
        search.found(spot, lost(spot), 4)
    while (doubt := search.doubtful(16)) is not None:
        assert doubt.seeds < 16
        search.found(doubt, lost(doubt), 4)
    worst = search.worst[0]
    assert worst.seeds >= 16 and worst.world.habits.rate > 300
    assert sum(one.kind == "slow" for one in worst.faults) >= 1 and len(search.worst) <= search.keep
    assert len({family(spot) for spot in search.worst}) == len(search.worst)  # kept apart
    assert worst.lost >= search.worst[-1].lost and isinstance(worst, Spot) and worst.told() != ""


def test_the_search_command_explains_its_worst_spots(capsys):
    """Guards against a crash of the command: an option and a function had the same name."""
    assert (
        main(["experiment", "search", "--tries", "16", "--seeds", "1", "--explain", "2", "--worlds", "brief"])
        == 0
    )
    told = capsys.readouterr().out
    assert "lost on" in told and "matters:" in told


def test_kernels_are_the_faults_that_matter_and_define_the_families():
    """One weakness (a slow origin) appeared with different further faults. Grouped by all faults it filled
    three families and crowded out other weaknesses; grouped by kernel it is one."""
    slow = Fault("slow", "origin", at=SECOND, span=2 * SECOND, hard=3.0)
    others = [
        Fault("silent", "cache", "1", at=SECOND, span=SECOND),
        Fault("cold", "cache", "2", at=SECOND),
        Fault("purge", "object", "o3", at=SECOND, hard=2.0),
    ]

    def lost(faults):  # the slow origin causes the loss; the others are noise
        return 0.3 * any(one.kind == "slow" for one in faults) + 0.01 * len(faults)

    search = Search(RandomStreams(1).stream("search"), [WORLDS["small"]], keep=4)
    for other in others:
        spot = Spot(WORLDS["small"], (slow, other))
        search.found(spot, lost(spot.faults), 16)
    assert len(search.worst) == 3  # three families by all their faults
    spot = search.unexplained(4)
    without = [lost(one.faults) for one in ablations(spot)]
    assert [one.faults for one in ablations(spot)] == [(spot.faults[1],), (slow,)]
    found = search.explained(spot, lost(spot.faults), without)
    assert found.kernel == (slow,) and found.told_kernel() == str(slow)
    # the two others contain that kernel: they count as the same weakness without further runs
    assert len(search.worst) == 1 and search.unexplained(4) is None
    assert family(search.worst[0]) == ("small", (("slow", "origin"),))
    # two faults of which either one suffices: neither matters alone, and the spot says so
    both = Spot(WORLDS["small"], (slow, dataclasses.replace(slow, at=2 * SECOND)))
    found = kernel(both, 0.3, [0.3, 0.3])
    assert found.kernel == () and "no fault alone" in found.told_kernel()
    calm = Spot(WORLDS["small"], ())
    assert calm.told_kernel() == "not analysed" and ablations(calm) == []
    with pytest.raises(ValueError, match="1 losses for 2 faults"):
        kernel(both, 0.3, [0.1])
    # a known kernel with a further fault counts as the same weakness: the worse of the two is kept
    lossy = Fault("lossy", "cache", "4", at=SECOND, span=SECOND, hard=0.2)
    search.found(Spot(WORLDS["small"], (slow, lossy)), 0.5, 16)
    assert len(search.worst) == 1 and search.worst[0].lost == 0.5 and search.worst[0].kernel == (slow,)
    search.found(Spot(WORLDS["thin"], (slow, lossy)), 0.1, 16)  # another world is another weakness
    assert len(search.worst) == 2 and search.unexplained(4).world.name == "thin"
    # a mutated spot does not inherit the kernel
    search.worst = [found]
    assert all(search.next().kernel is None for _ in range(40))
