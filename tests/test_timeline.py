"""The timeline of many gateways' records: clocks, gaps, grouping into incidents, and the order of events."""

import itertools
import json
import os
import pty
import re
import select
import signal
import subprocess
import sys
import time

import pytest

from lilacloft.__main__ import main
from lilacloft.record import record_types
from lilacloft.record.reader import Run, read
from lilacloft.report.facts import facts
from lilacloft.report.load import _load_parallel, load
from lilacloft.timeline.clocks import RunAnchors, estimate_clocks
from lilacloft.timeline.incidents import MAX_OBSERVATION_GAP, Incident, group_observations, incident_key
from lilacloft.timeline.observations import Observation
from lilacloft.timeline.timeline import build_timeline, group_by_time, is_before
from rigs import bulk, incident

SEC = 10_000
UNIX = 17_961_400_000_000


BES = (("a", "small"), ("b", "small"), ("p", "parent"), ("q", "parent"))


class RecordBuilder:
    """Builds the records of one gateway. Times are true seconds; its clock is off by `off` milliseconds."""

    def __init__(self, name, off=0.0, gateways=2, run=1, steady=1_000_000):
        self.off, self.steady, self.jump = off, steady, 0.0
        self.run = Run(
            record_types.Head(
                schema=1,
                gateway=name,
                run=f"{UNIX + int(off * 10):015}-{run}",
                gateways=gateways,
                vhosts={"clip": [4000, 30000, 2.0]},
            )
        )
        self.skips = {}  # how many records are missing before one

    def add(self, at, record, skips=0):
        self.skips[id(record)] = skips
        record.unix_time = UNIX + int(at * SEC) + int((self.off + self.jump) * 10)
        record.monotonic_time = self.steady + int(at * SEC)
        self.run.records.append(record)
        return self

    def start(self, at=0.0, why="start", backends=BES):
        self.add(at, record_types.Start(reason=why))
        return self.add(
            at,
            record_types.BackendList(
                event=0,
                whole=True,
                backends=[(backend, kind, "here", 1, 0, 5.0) for backend, kind in backends],
            ),
        )

    def purge(self, at, key="k", purged_at=None):
        purged_at = at if purged_at is None else purged_at
        return self.add(at, record_types.Purge(event=1, key=key, purged_at=UNIX + int(purged_at * SEC)))

    def seconds(self, begin, end, wait=400, dispatches=10, **backends):
        """Add a summary for each second. `backends`: which are `silent`, answer `late`, or are `slow`
        sources."""
        for second in range(begin + 1, end + 1):
            counts = {
                backend: record_types.BackendCounts(
                    dispatches=dispatches,
                    done=0 if backends.get(backend) == "silent" else dispatches,
                    ends={"time_up": dispatches} if backends.get(backend) == "silent" else {},
                    late_answers=dispatches if backends.get(backend) == "late" else 0,
                )
                for backend in ("a", "b")
            }
            for parent in ("p", "q"):
                slow = backends.get(parent) == "slow"
                counts[parent] = record_types.BackendCounts(
                    fills=5, source_waits=5, source_wait_total=5 * (9000 if slow else wait)
                )
            done = sum(backend.done for backend in counts.values())
            self.add(
                second,
                record_types.SummaryRecord(
                    duration=SEC,
                    backends=counts,
                    vhosts={
                        "clip": record_types.VhostCounts(
                            requests=20, done=done, value=2.0 * done, dispatches=20
                        )
                    },
                ),
            )
        return self

    def health_change(self, at, backend, change="left alone", reason="3 symptoms in a row"):
        return self.add(at, record_types.HealthChange(backend=backend, change=change, reason=reason))


def timeline_of(*builders):
    runs = {}
    for one in builders:
        one.run.records.sort(key=lambda record: record.monotonic_time)
        number = 0
        for record in one.run.records:
            number += 1 + one.skips[id(record)]
            record.number = 0 if isinstance(record, record_types.DroppedRecords) else number
            number -= isinstance(record, record_types.DroppedRecords)
        runs.setdefault(one.run.head.gateway, []).append(one.run)
    return build_timeline(runs)


def begin_seconds(one):
    return (one.begin - UNIX / 10) / 1000


def silent(name, off=0.0, left=10.4, back=15.0, **more):
    return (
        RecordBuilder(name, off, **more)
        .start()
        .seconds(0, 10)
        .purge(3.0, "x")
        .purge(25.0, "y")
        .health_change(left, "a")
        .seconds(10, 14, a="silent")
        .health_change(back, "a", "back", "answers again")
        .seconds(14, 30)
    )


def incident_kinds(found):
    return [one.kind for one in found.incidents]


# --- clocks ---


def test_a_clock_a_second_ahead_is_corrected_to_the_median():
    found = timeline_of(silent("n0"), silent("n1", 1000.0), silent("n2", 3.0))
    offsets = {name: seen.offset for name, seen in found.histories.items()}
    assert offsets["n0"] == pytest.approx(0, abs=5) and offsets["n1"] == pytest.approx(-1000, abs=5)
    assert incident_kinds(found) == ["purge", "silent", "purge"]
    assert found.incidents[1].observed_by == ["n0", "n1", "n2"]
    assert begin_seconds(found.incidents[1]) == pytest.approx(10.2, abs=0.5)


def test_a_clock_that_jumps_back_has_no_effect_and_is_reported():
    builder = RecordBuilder("n0").start().seconds(0, 12).purge(3.0)
    builder.jump = -5000.0
    builder.add(12.5, record_types.ClockStep(step=-50_000))
    builder.health_change(12.6, "a").seconds(12, 16, a="silent").health_change(
        17.0, "a", "back", "answers again"
    )
    builder.seconds(16, 30)
    found = timeline_of(builder, RecordBuilder("n1").start().seconds(0, 30).purge(3.0))
    assert incident_kinds(found) == ["purge", "silent"] and begin_seconds(
        found.incidents[1]
    ) == pytest.approx(12.3, abs=0.6)
    assert [gap.kind for gap in found.gaps] == ["clock"] and "-5000 ms" in found.gaps[0].why


def test_events_that_arrive_late_do_not_shift_a_clock():
    """After an outage of the change log its events arrive late at one gateway; the others show how late."""

    def run_anchors(name, moments):
        return RunAnchors(name, 0.0, 0.0, {("purge", place): moment for place, moment in enumerate(moments)})

    true = [1000.0 * place for place in range(9)]
    late = [moment + (4000.0 if 3 <= place < 6 else 0.0) for place, moment in enumerate(true)]
    found = estimate_clocks(
        {
            "a": [run_anchors("a", true)],
            "b": [run_anchors("b", [one + 700 for one in true])],
            "c": [run_anchors("c", late)],
        }
    )
    assert found["b"].offset == pytest.approx(-700, abs=1) and found["c"].offset == pytest.approx(0, abs=1)
    assert found["c"].uncertainty >= 4000 > found["a"].uncertainty  # but it is less certain


def test_drift_is_estimated_over_long_spans_only():
    true = [60_000.0 * place for place in range(30)]
    told = {name: [RunAnchors(name, 0.0, 0.0, dict(enumerate(true)))] for name in "ab"}
    told["c"] = [RunAnchors("c", 0.0, 0.0, {place: one * (1 + 2e-4) for place, one in enumerate(true)})]
    found = estimate_clocks(told)
    assert found["c"].drift == pytest.approx(-2e-4, rel=0.1) and not found["a"].drift
    assert found["c"].to_common(true[-1] * (1 + 2e-4)) == pytest.approx(true[-1], abs=30)


def test_a_run_without_anchors_uses_the_clock_of_another_run_or_is_very_uncertain():
    found = estimate_clocks(
        {
            "a": [RunAnchors("a1", 0.0, 500.0, {1: 0.0, 2: 9.0}), RunAnchors("a2", 9.0, 510.0, {})],
            "b": [RunAnchors("b1", 0.0, 0.0, {1: 80.0, 2: 89.0})],
            "c": [RunAnchors("c1", 0.0, 0.0, {})],
        }
    )
    assert found["a2"].offset == found["a1"].offset and found["a2"].uncertainty > found["a1"].uncertainty
    assert found["c1"].offset == 0 and found["c1"].uncertainty >= 1000


# --- order ---


def test_incidents_observed_in_opposite_orders_are_reported_as_concurrent():
    def both(name, off, first, second):
        return (
            RecordBuilder(name, off)
            .start()
            .purge(3.0)
            .purge(25.0, "y")
            .seconds(0, 10)
            .health_change(10.40, first)
            .health_change(10.48, second)
            .seconds(10, 14, a="silent", b="silent")
            .health_change(15.0, "a", "back", "answers again")
            .health_change(15.1, "b", "back", "answers again")
            .seconds(14, 30)
        )

    found = timeline_of(both("n0", 0.0, "a", "b"), both("n1", 40.0, "b", "a"))
    silents = [one for one in found.incidents if one.kind == "silent"]
    assert sorted(one.subject for one in silents) == ["a", "b"]
    assert not is_before(*silents) and not is_before(*reversed(silents))
    assert [len(group) for group in group_by_time(found.incidents)] == [1, 2, 1]
    assert any("At about the same time" in line for line in facts(found, [])["summary"])


def test_order_is_claimed_only_beyond_the_uncertainty_of_the_clocks():
    early = Incident("purge", "x", "object", 1000.0, 1000.0, 100.0, [])
    late = Incident("purge", "y", "object", 1250.0, 1250.0, 100.0, [])
    assert is_before(early, late) and not is_before(late, early)
    late.uncertainty = 200.0
    assert not is_before(early, late)


# --- gaps ---


def test_a_killed_gateway_leaves_a_gap_that_ends_its_observations():
    first = (
        RecordBuilder("n0")
        .start()
        .seconds(0, 10)
        .purge(3.0)
        .health_change(10.4, "a")
        .seconds(10, 12, a="silent")
    )
    second = RecordBuilder("n0", run=2).start(14.0).seconds(14, 30).purge(25.0, "y")
    found = timeline_of(first, second, silent("n1"))
    assert [(gap.kind, gap.gateway, gap.planned) for gap in found.gaps] == [("restart", "n0", False)]
    gap = found.gaps[0]
    assert (gap.begin - UNIX / 10, gap.end - UNIX / 10) == (
        pytest.approx(12_000, abs=50),
        pytest.approx(14_000, abs=50),
    )
    one = next(one for one in found.incidents if one.kind == "silent")
    assert "n0: the gateway restarted without its ejections" in one.actions


def test_an_upgrade_is_a_planned_gap_and_ejections_continue():
    first = (
        RecordBuilder("n0")
        .start()
        .seconds(0, 10)
        .purge(3.0)
        .health_change(10.4, "a")
        .seconds(10, 12, a="silent")
    )
    first.add(12.01, record_types.Stop(reason="upgrade"))
    second = RecordBuilder("n0", run=2).start(12.02, "upgrade").seconds(12, 14, a="silent")
    second.health_change(15.0, "a", "back", "answers again").seconds(14, 30).purge(25.0, "y")
    found = timeline_of(first, second)
    assert [gap.kind for gap in found.gaps] == ["upgrade"] and found.gaps[0].planned
    one = next(one for one in found.incidents if one.kind == "silent")
    assert one.end == pytest.approx(UNIX / 10 + 15_000, abs=50)


def test_lost_and_rotated_records_and_silence_are_gaps_with_bounds():
    builder = RecordBuilder("n0")
    builder.add(0.0, record_types.ChangeLogConnection(connected=True), 40)
    builder.start().seconds(0, 5).add(6.5, record_types.DroppedRecords(count=7, reason="the queue was full"))
    builder.add(6.6, record_types.ChangeLogConnection(connected=True), 7).seconds(6, 10).seconds(29, 40)
    found = timeline_of(builder, RecordBuilder("n1").start().seconds(0, 60))
    kinds_ = [gap.kind for gap in found.gaps]
    assert kinds_ == ["missing", "lost", "silent", "ended"]
    assert "first 40 records" in found.gaps[0].why
    assert "7 records lost: the queue was full" in found.gaps[1].why
    assert found.gaps[3].end is None and not found.gaps[3].planned


def test_a_gateway_without_any_records_is_reported():
    found = timeline_of(silent("n0", gateways=3), silent("n1", gateways=3))
    assert found.missing() == 1
    assert any("1 of 3 gateways have no records here" in line for line in facts(found, [])["summary"])


# --- incidents ---


def test_without_trouble_there_are_no_incidents_and_gaps():
    found = timeline_of(*(RecordBuilder(f"n{number}").start().seconds(0, 60) for number in range(3)))
    assert found.incidents == [] and found.gaps == []


def test_an_incident_names_observers_others_and_contradictions():
    well = RecordBuilder("n2", gateways=3).start().seconds(0, 30).purge(3.0, "x").purge(25.0, "y")
    found = timeline_of(silent("n0", gateways=3), silent("n1", gateways=3), well)
    one = next(one for one in found.incidents if one.kind == "silent")
    assert one.observed_by == ["n0", "n1"] and one.not_observed_by == ["n2"]
    assert "n2 had" in one.contradictions[0] and one.confidence < 0.5
    assert one.cost > 0 and one.typical > one.cost


def test_consequences_of_a_slow_origin_are_parts_of_it():
    def slow(name):
        return (
            RecordBuilder(name)
            .start()
            .seconds(0, 15)
            .purge(3.0)
            .purge(40.0, "y")
            .health_change(18.5, "p", "left alone", "0.6 of its fills late")
            .seconds(15, 22, p="slow", q="slow")
            .health_change(22.5, "p", "back", "answers again")
            .seconds(22, 50)
        )

    found = timeline_of(slow("n0"), slow("n1"))
    assert incident_kinds(found) == ["purge", "origin slow", "purge"]
    assert [part.title() for part in found.incidents[1].parts] == ["parent p slow"]


def test_a_single_slow_parent_is_not_a_slow_origin():
    found = timeline_of(RecordBuilder("n0").start().seconds(0, 15).seconds(15, 22, p="slow").seconds(22, 50))
    assert [one.title() for one in found.incidents] == ["parent p slow"]


def test_a_cache_that_answers_late_is_slow():
    found = timeline_of(RecordBuilder("n0").start().seconds(0, 15).seconds(15, 22, a="late").seconds(22, 50))
    assert [one.title() for one in found.incidents] == ["cache a slow"]


def test_drains_and_cold_returns_follow_the_endpoint_list():
    def told(name):
        one = RecordBuilder(name).start().seconds(0, 30)
        one.add(5.0, record_types.BackendList(event=2, backends=[("a", "small", "here", 2, 0, 5.0)]))
        one.add(9.0, record_types.BackendList(event=3, backends=[("a", "small", "here", 0, 0, 5.0)]))
        return one.add(
            14.0,
            record_types.BackendList(event=4, backends=[("a", "small", "here", 1, UNIX + 14 * SEC, 5.0)]),
        )

    found = timeline_of(told("n0"), told("n1"))
    assert [one.title() for one in found.incidents] == ["cache a drained", "cache a returned cold"]
    assert found.incidents[0].end == pytest.approx(UNIX / 10 + 9000, abs=20)


def test_expired_plans_are_one_incident_until_a_plan_is_in_effect_again():
    def told(name, back):
        one = RecordBuilder(name).start().seconds(0, 30)
        one.add(
            2.0,
            record_types.PlanChange(
                planner="p1", epoch=1, plan_number=4, ejected_backends=["b"], limit_count=2, link_limit=3.0
            ),
        )
        one.add(8.0, record_types.PlanChange())  # its planners are gone
        return one.add(back, record_types.PlanChange(planner="p2", epoch=2, plan_number=1))

    never = RecordBuilder("n2").start().seconds(0, 30).add(9.0, record_types.PlanChange())  # had no plan
    found = timeline_of(told("n0", 12.0), told("n1", 12.5), never)
    alone = [one for one in found.incidents if one.kind == "without a plan"]
    assert len(alone) == 1 and sorted({observation.gateway for observation in alone[0].observations}) == [
        "n0",
        "n1",
    ]
    assert alone[0].begin == pytest.approx(UNIX / 10 + 8000, abs=20)
    assert all("plan 2.1 of p2 in effect" in observation.actions for observation in alone[0].observations)
    # a restart ends the interval, as nothing was observed afterwards
    one = RecordBuilder("n3").start().seconds(0, 30)
    one.add(2.0, record_types.PlanChange(planner="p1", epoch=1, plan_number=4)).add(
        5.0, record_types.PlanChange()
    )
    one.add(7.0, record_types.Start(reason="start"))
    found = timeline_of(one)
    observations = [
        observation
        for episode in found.incidents
        for observation in episode.observations
        if observation.kind == "without a plan"
    ]
    assert len(observations) == 1 and observations[0].actions == ["the gateway restarted"]


def test_a_failover_of_a_location_is_one_incident_until_all_gateways_have_returned():
    def told(name, late):
        one = RecordBuilder(name).start().seconds(0, 30)
        for at, back in ((5.0, 0), (11.0, 1), (11.5, 5), (12.0, 64)):
            why = "" if back else "its caches fail"
            one.add(
                at + late,
                record_types.LocationFailover(zone="z1", returned_slices=back, total_slices=64, reason=why),
            )
        return one

    lone = (
        RecordBuilder("n2")
        .start()
        .seconds(0, 30)
        .add(
            5.5,
            record_types.LocationFailover(zone="z1", returned_slices=0, total_slices=64, without_plan=True),
        )
    )
    lone.add(9.0, record_types.Start(reason="start"))  # a new process has failed over nothing yet
    found = [
        one
        for one in timeline_of(told("n0", 0.0), told("n1", 0.4), lone).incidents
        if one.kind == "location left"
    ]
    assert [one.title() for one in found] == ["location z1 left"] and found[0].role == "location"
    assert found[0].begin == pytest.approx(UNIX / 10 + 5000, abs=20)
    assert found[0].end == pytest.approx(UNIX / 10 + 12_400, abs=20)
    assert found[0].observations[0].actions[0] == "0 of 64 slices at home: its caches fail"
    assert [observation.actions for observation in found[0].observations if observation.gateway == "n2"] == [
        ["0 of 64 slices at home without a plan"]
    ]


def test_bad_clients_overload_and_lost_answers_concern_the_fleet():
    bad = RecordBuilder("n0").start().seconds(0, 20)
    for second in range(21, 26):
        bad.add(second, record_types.SummaryRecord(duration=SEC, refused={"unusable": 90}))
    assert incident_kinds(timeline_of(bad.seconds(25, 40))) == ["bad clients"]
    lost = RecordBuilder("n0").start().seconds(0, 20)
    for second in range(21, 26):
        lost.add(
            second,
            record_types.SummaryRecord(
                duration=SEC,
                backends={
                    backend: record_types.BackendCounts(dispatches=10, done=6, ends={"time_up": 4})
                    for backend in ("a", "b")
                },
            ),
        )
    assert incident_kinds(timeline_of(lost.seconds(25, 40))) == ["lost answers"]
    crowd = RecordBuilder("n0").start().seconds(0, 20)
    for second in range(21, 26):
        crowd.add(
            second,
            record_types.SummaryRecord(
                duration=SEC, vhosts={"clip": record_types.VhostCounts(requests=90, done=40, denied=50)}
            ),
        )
    assert incident_kinds(timeline_of(crowd.seconds(25, 40))) == ["crowd"]


def reference_groups(observations):
    """A simple reference model: observations with the same key are linked if they overlap in time, and
    transitively linked ones are one group."""
    groups_ = {index: {index} for index in range(len(observations))}
    for (first_index, first), (second_index, second) in itertools.combinations(enumerate(observations), 2):
        if incident_key(first) != incident_key(second):
            continue
        max_gap = 1000.0 if first.kind == "purge" else MAX_OBSERVATION_GAP
        earlier, later = sorted((first, second), key=lambda observation: observation.begin)
        if earlier.end is None or later.begin <= earlier.end + max_gap:
            merged = groups_[first_index] | groups_[second_index]
            for index in merged:
                groups_[index] = merged
    return {frozenset(id(observations[index]) for index in group) for group in groups_.values()}


@pytest.mark.parametrize("seed", range(200))
def test_grouping_agrees_with_a_reference_model_on_random_observations(seed):
    import random

    chance = random.Random(seed)
    observations = []
    for number in range(chance.randrange(1, 25)):
        begin = chance.uniform(0, 60_000)
        end = None if chance.random() < 0.05 else begin + chance.choice([0.0, 500.0, 8000.0])
        kind = chance.choice(["silent", "slow", "purge", "origin slow"])
        subject = "" if kind == "origin slow" else chance.choice("ab")
        observations.append(Observation(f"n{number % 3}", kind, subject, begin, end, 0.0))
    found = {frozenset(map(id, group)) for group in group_observations(observations)}
    assert found == reference_groups(observations)


# --- many records, and several processes ---


def test_the_generator_of_a_fleets_records_writes_the_requested_size(tmp_path, capsys):
    words = ["--gateways", "2", "--bes", "6", "--seconds", "30", "--out", str(tmp_path)]
    assert bulk.main(words) == 0
    assert "2 gateways, 6 backends, 30 s" in capsys.readouterr().out
    assert len({path.parent for path in tmp_path.rglob("*.jsonl")}) >= 2


def test_a_generated_fleet_is_reported_the_same_by_one_process_and_by_many(tmp_path):
    fleet, _ = bulk.make(tmp_path, 3, 8, 24, 300)
    one, damage = load([str(tmp_path)])
    many, _ = _load_parallel(sorted(tmp_path.rglob("*.jsonl")), None, None, lambda text, part: None)
    assert not damage
    assert [(a.title(), round(a.begin), a.observed_by) for a in one.incidents] == [
        (a.title(), round(a.begin), a.observed_by) for a in many.incidents
    ]
    rows = [row for row in fleet.truth()["episodes"] if row["kind"] != "purge"]
    told = incident.compare(one, {"episodes": rows, "gap": None})
    assert told["missed"] == [] and not [one for one in told["invented"] if "purge" not in one]
    for number, name in enumerate(one.gateways):
        assert one.histories[name].offset == pytest.approx(-fleet.offsets[number], abs=400)


# --- a scripted incident with real gateways, and its reports ---


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    folder = tmp_path_factory.mktemp("incident")
    found, row = incident.play(folder, 4, pace=0.6)
    return folder, found, row


@pytest.mark.xdist_group("played")  # one process only, as the fixture takes long
def test_a_scripted_incident_is_reported_as_scripted(played):
    _, found, row = played
    assert row["missed"] == row["invented"] == row["gaps_invented"] == row["damage"] == []
    assert row["in_order"] and row["gap"]
    assert max(abs(ms) for ms in row["begin_error_ms"].values()) < 1500
    offsets = sorted(seen.offset for seen in found.histories.values())
    assert offsets[0] == pytest.approx(-1000, abs=150)


@pytest.mark.xdist_group("played")  # one process only, as the fixture takes long
def test_the_page_is_self_contained_and_all_formats_have_the_same_facts(played, tmp_path, capsys):
    folder, _, _ = played
    out = tmp_path / "page.html"
    assert main(["report", str(folder), "--out", str(out)]) == 0
    text = out.read_text()
    assert not re.findall(r'(?:src|href)="(?!#)', text.replace('xlink:href="#', "")) and "@import" not in text
    assert "prefers-color-scheme: dark" in text and "@media print" in text and "aria-sort" in text
    assert main(["report", str(folder), "--format", "json"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert main(["report", str(folder), "--format", "text", "--tz", "Europe/Lisbon"]) == 0
    plain = capsys.readouterr().out
    for one in told["episodes"]:
        assert one["title"] in text and one["title"] in plain
    assert all(line in text for line in told["summary"] if "&" not in line and "'" not in line)
    silent = next(one for one in told["episodes"] if one["kind"] == "silent")
    after = (silent["end"] or 0) / 1000 + 0.5
    begin = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(after + 1))
    assert main(["report", str(folder), "--format", "json", "--from", begin]) == 0
    assert "silent" not in [one["kind"] for one in json.loads(capsys.readouterr().out)["episodes"]]


def test_names_that_look_like_markup_are_escaped(tmp_path):
    builder = RecordBuilder("<script>alert(1)</script>").start(backends=(("<b>&", "small"), ("b", "small")))
    builder.seconds(0, 10).health_change(10.4, "<b>&").seconds(10, 14)
    from lilacloft.report.page import page

    text = page(timeline_of(builder), [])
    assert "<script>alert" not in text and "<b>&" not in text and "&lt;b&gt;&amp;" in text


@pytest.mark.xdist_group("played")  # one process only, as the fixture takes long
def test_records_are_checked_printed_and_exported(played, tmp_path, capsys):
    folder, _, _ = played
    assert main(["records", "check", str(folder)]) == 0
    assert "4 files" not in capsys.readouterr().out
    assert main(["records", "cat", str(folder), "--kind", "belief", "--gateway", "n0"]) == 0
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert lines and all(line["kind"] == "belief" and line["gateway"] == "n0" for line in lines)
    assert main(["records", "export", str(folder), "--out", str(tmp_path / "x.sqlite")]) == 0
    import sqlite3

    with sqlite3.connect(tmp_path / "x.sqlite") as base:
        total = base.execute("select sum(done) from vhosts where name = 'clip'").fetchone()[0]
    runs, _ = read([str(folder)])
    assert total == sum(
        vhost.done
        for mine in runs.values()
        for run in mine
        for record in run.records
        if isinstance(record, record_types.SummaryRecord)
        for name, vhost in record.vhosts.items()
        if name == "clip"
    )
    assert main(["records", "export", str(folder), "--out", str(tmp_path / "x.csv")]) == 0
    assert (tmp_path / "x.csv").read_text().startswith("gateway,run,wall_ms")
    assert main(["records", "export", str(folder), "--out", str(tmp_path / "x.xls")]) == 2
    assert main(["report", str(tmp_path / "none")]) == 1
    assert main(["report", str(folder), "--tz", "Moon/Sea"]) == 2


@pytest.mark.xdist_group("played")  # one process only, as the fixture takes long
def test_the_console_fits_eighty_columns_and_restores_the_terminal(played):
    folder, _, _ = played
    pid, fd = pty.fork()
    if pid == 0:
        os.environ.update(COLUMNS="80", LINES="30", TERM="xterm")
        os.execv(sys.executable, [sys.executable, "-m", "lilacloft", "watch", str(folder), "--every", "0.2"])
    seen = b""
    end = time.monotonic() + 20
    asked = False
    while time.monotonic() < end:
        if select.select([fd], [], [], 0.1)[0]:
            try:
                seen += os.read(fd, 65536)
            except OSError:
                break
        if b"3 gateways" in seen and not asked:
            asked = True
            os.kill(pid, signal.SIGTERM)
    code = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
    assert code == 0 and b"n2" in seen and b"s-00000001" in seen
    assert seen.count(b"\x1b[?1049h") == seen.count(b"\x1b[?1049l") == 1  # to the alternate screen, and back
    assert seen.rstrip().endswith((b"\x1b[?25h", b"\x1b[?1049l")) or b"\x1b[?25h" in seen[-40:]
    once = subprocess.run(
        [sys.executable, "-m", "lilacloft", "watch", str(folder), "--once"],
        text=True,
        capture_output=True,
        timeout=30,
        env={**os.environ, "COLUMNS": "80"},
    )
    assert once.returncode == 0 and max(map(len, once.stdout.splitlines())) <= 80
