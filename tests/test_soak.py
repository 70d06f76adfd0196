"""Short runs of the soak test on processes, and tests of its verdict."""

import pytest

from rigs import soak
from rigs.checker import Breach

pytestmark = pytest.mark.xdist_group("fleet")  # some twenty processes per run, so one run at a time


def test_a_short_soak_breaks_nothing():
    report = soak.run(seed=11, gateways=10, seconds=6.0, troubles=10, rate=120.0)
    assert not soak.has_failed(report), report
    assert report["counts"]["done"] > 300
    assert report["codes"]["0"] >= 10
    assert report["retried"]


def test_a_short_soak_with_signals_in_series_early_kills_and_crowds_breaks_nothing():
    """Clients use their open connections until the earliest kill after SIGTERM; requests were lost there."""
    report = soak.run(
        seed=1, gateways=10, seconds=6.0, troubles=14, rate=120.0, options=soak.SoakOptions(hard=True)
    )
    assert not soak.has_failed(report), report
    kinds = {trouble.split()[1] for trouble in report["troubles"]}
    assert {"signals", "crowd", "term"} <= kinds and report["counts"]["done"] > 300


def test_violations_and_faulty_exits_fail_a_run():
    passing = {
        "breaches": [],
        "violations": {},
        "exceptions": [],
        "left_over": {},
        "faults": 0,
        "ended_late": [],
        "codes": {"0": 3},
        "slowest_start_s": 0.2,
    }
    assert not soak.has_failed(passing)
    for name, found in (
        ("breaches", ["rule 1"]),
        ("violations", {"drain": 1}),
        ("exceptions", ["Traceback"]),
        ("left_over", {"calls": 1}),
        ("faults", 1),
        ("ended_late", ["n1"]),
        ("codes", {"0": 3, "1": 1}),
        ("slowest_start_s", 10.1),
    ):
        assert soak.has_failed({**passing, name: found}), name


def test_repeated_request_is_excused_only_if_its_gateway_was_killed(tmp_path):
    fleet = soak.Soak(tmp_path, 1, 2)
    try:
        ref, text = "0911c9969eddbcd5", "non-replayable 0911c9969eddbcd5 sent again after a may have run it"
        fleet.halted = [(fleet.gateways[0].port, 10.0, 13.0)]
        for number, excused in ((0, True), (1, False)):
            request = {"gateway": fleet.gateways[number].port, "at": 9.9}
            assert fleet._is_caused_by_script(Breach(2, 10.1, "b", text), {ref: request}, {}) is excused
    finally:
        fleet.close()


@pytest.mark.parametrize(
    "text, excused", [("answered 0.300 s too late", True), ("lost: its connection", False)]
)
def test_paused_gateway_may_answer_late_but_lose_nothing(tmp_path, text, excused):
    fleet = soak.Soak(tmp_path, 1, 2)
    try:
        ref, names = "0911c9969eddbcd5", {one.port: one.name for one in fleet.gateways}
        paused, other = fleet.gateways
        fleet.paused = {paused.name: [(10.0, 13.0)]}
        breach = Breach(1, 12.0, "clients", f"{ref} {text}")
        assert (
            fleet._is_caused_by_script(breach, {ref: {"gateway": paused.port, "at": 9.0}}, names) is excused
        )
        assert not fleet._is_caused_by_script(breach, {ref: {"gateway": other.port, "at": 9.0}}, names)
        assert not fleet._is_caused_by_script(breach, {ref: {"gateway": paused.port, "at": 13.5}}, names)
    finally:
        fleet.close()


def test_late_answers_are_ignored_only_at_paused_gateways():
    line = "09:00:00.000 INFO violations: answered_late=2 drain=1"
    assert soak.reported_violations({"n1": line, "n2": line}, {"n1"}) == {"answered_late": 2, "drain": 2}
