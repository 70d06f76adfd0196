"""Tests of the load that a fleet sends a cache in slow start, and of the gateways' start times."""

import math

import pytest

from rigs import ramp
from rigs.ramp import Ramp, SlowStart, budget_use, measure_starts
from rigs.restarts import DISCOVERY, run, spread

pytestmark = pytest.mark.xdist_group("fleet")  # some twenty processes per run, so one run at a time

START = SlowStart(floor=0.5, warm=10.0, multiple=2.0, window=1.0, calls=10.0)


def test_allowed_load_grows_with_the_age_of_a_cache():
    assert START.allowed(0.0) == 10 and START.allowed(5.0) == 15 and START.allowed(10.0) == 20
    assert START.total() == 150


def test_calls_are_counted_in_the_window_before_each_call():
    few = budget_use([0.0, 0.5, 1.0, 1.5], START)  # the start of a window does not belong to it
    assert (few.sent, few.beyond_chance) == (4, 0)
    assert few.fullest == pytest.approx(2 / START.allowed(0.5)) and few.part == pytest.approx(4 / 150)
    many = budget_use([0.0] * 30, START)
    assert many.over == pytest.approx(20 / math.sqrt(10)) and many.fullest == 3.0
    assert many.beyond_chance == 30 - 18, "10 + 2 x root of 10 + 2 are 18.3"
    assert budget_use([-1.0, 10.0], START).sent == 0, (
        "calls before the start and after the slow start do not count"
    )


def test_calls_of_gateways_without_the_update_are_counted_separately():
    entries = [{"what": "req", "ref": ref, "gateway": port} for ref, port in (("a", 1), ("b", 2), ("c", 2))]
    entries += [
        {"what": "do", "who": "cache", "ref": ref, "at": at}
        for ref, at in (("a", 100.5), ("b", 100.6), ("c", 102.0))
    ]
    entries += [{"what": "do", "who": "other", "ref": "a", "at": 101.0}]
    updated_at = {("n1", "cache"): 100.0, ("n2", "cache"): 101.0}
    (found,) = measure_starts(entries, {1: "n1", 2: "n2"}, {"cache": 100.0}, updated_at, START)
    assert (found["all"]["sent"], found["told"]["sent"]) == (3, 2)


@pytest.mark.parametrize("untold, rate", [(False, 200.0), (True, 120.0)])
def test_twenty_gateways_together_keep_to_the_slow_start_of_a_cache(untold, rate):
    """Some gateways get the update late and some restart during the slow start (the second trial), with and
    without knowledge of the caches' capacity."""
    report = ramp.run(gateways=20, trials=2, rate=rate, warm=3.0, seed=2, untold=untold)
    assert report["beyond_chance"] == 0 and report["starts"] == 2
    assert all(one["told"]["sent"] > 0 for one in report["each"]), "the trial sent no calls"


def test_the_measure_finds_processes_that_each_take_the_whole_budget(monkeypatch):
    """Each gateway is configured as the only one, and the cache's limit is halved."""
    settings = Ramp.settings

    def alone(self, zone, slot):
        out = settings(self, zone, slot)
        out["balancers"], out["familyInfo"]["zoneBalancers"] = 1, [1, 0]
        out["obligations"]["tipMultiple"] = 1.0
        return out

    monkeypatch.setattr(Ramp, "settings", alone)
    assert ramp.run(gateways=20, trials=1, rate=400.0, warm=3.0, seed=2)["beyond_chance"] > 0


def test_median_90th_percentile_and_maximum_of_durations():
    assert spread([float(number) for number in range(1, 21)]) == {"median": 11.0, "p90": 18.0, "worst": 20.0}
    assert spread([0.25]) == {"median": 0.25, "p90": 0.25, "worst": 0.25}


@pytest.mark.parametrize("state", DISCOVERY)
def test_gateways_killed_and_started_together_are_ready_in_time(state):
    """Nine in ten are ready within 10 s in each state of discovery."""
    report = run(state, gateways=6, waves=2, rate=60.0, seed=1)
    assert report["starts"] == 12
    assert report["checked_s"]["p90"] <= report["answered_s"]["p90"] <= 10
