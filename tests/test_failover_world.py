"""Tests of location failover and return in emulated fleets with planners, with the scripts of
`rigs.failover`."""

import pytest

from lilacloft.emulator.faults import parse
from lilacloft.emulator.fleet import START
from lilacloft.emulator.planes import PlannerFault
from lilacloft.emulator.worlds import SECOND
from lilacloft.failover.hash_slices import SLICE_COUNT
from rigs.failover import SCRIPTS, ObservedPlanes, WorldSize, build_world, run_world

SIZE = WorldSize(24, 12, 110.0, 4)

FAILOVER_SCRIPTS = ("silent-cold", "silent", "mute", "deaf", "issuer-back", "purge", "drain", "unlogged")


def history(row, zone, planner="p0"):
    """The history of a location at a planner, without the times."""
    return [line.partition(": ")[2] for line in row["left"] if line.startswith(f"{planner} {zone} ")]


@pytest.mark.parametrize("script", FAILOVER_SCRIPTS)
def test_lost_location_fails_over_and_returns_without_breaking_a_rule(script):
    row = run_world(script, "leaves", 3, SIZE)
    assert row["broken"] == 0, row["breaches"]
    assert row["elsewhere"] is not None and row["elsewhere"] <= 3.0 and row["changes"] <= 2
    planner = "p1" if script == "issuer-back" else "p0"
    assert any(f"{SLICE_COUNT} of {SLICE_COUNT}" in text for text in history(row, 1, planner))
    assert not history(row, 0) and not history(row, 2) and not history(row, 3)


def test_location_failover_serves_more_than_planners_without_it():
    rows = {
        mode: [run_world("silent-cold", mode, seed, SIZE) for seed in (1, 2)] for mode in ("planes", "leaves")
    }
    for without, with_failover in zip(rows["planes"], rows["leaves"], strict=True):
        assert (
            with_failover["trouble"] > without["trouble"] + 0.02
            and with_failover["into"] < 0.5 * without["into"]
        )


def test_planners_do_not_fail_over_a_location_whose_gateways_they_cannot_hear():
    row = run_world("lone", "leaves", 3, SIZE)
    assert row["broken"] == 0 and row["left"] == [] and row["worth"] > 0.93


@pytest.mark.parametrize("script", ["calm", "slow-origin", "apart"])
def test_no_failover_without_a_fault_for_a_shared_fault_or_without_a_bypass(script):
    row = run_world(script, "leaves", 5, SIZE)
    assert row["broken"] == 0 and row["left"] == [] and row["changes"] == 0


def test_two_of_four_locations_and_a_hub_fail_over():
    row = run_world("two", "leaves", 2, SIZE)
    assert row["broken"] == 0 and history(row, 1) and history(row, 2) and not history(row, 0)
    row = run_world("hub", "leaves", 2, WorldSize(24, 12, 200.0, 4))
    assert row["broken"] == 0 and not any(history(row, zone) for zone in range(4))
    assert any("its parents fail" in text for text in history(row, -2)) and not history(row, -1)


def test_location_flapping_for_a_minute_changes_phase_at_most_four_times():
    row = run_world("turns", "leaves", 2, SIZE)
    assert row["broken"] == 0 and 1 <= row["changes"] <= 4


def returned_slices(fleet):
    """The number of returned slices of location 1, at each of its gateways where it is not completely in
    use."""
    return [
        gateway.follower.local_failover.states[1].failover.returned_slices
        for gateway in fleet.gateways
        if gateway.zone == 1 and 1 in gateway.follower.local_failover.states
    ]


def test_gateways_continue_a_return_slowly_after_all_planners_stop():
    """All planners stop for good during the return of a cold location."""
    world = build_world(SIZE, span=34.0)
    faults = parse(SCRIPTS["silent-cold"].faults)
    planner_faults = tuple(PlannerFault("kill", number, 114_000, 1_000_000) for number in range(3))
    fleet = ObservedPlanes(world, 4, faults, troubles=planner_faults, leave="past")
    fleet.watch()
    samples = []

    def sample():
        samples.append(
            (
                (fleet.events.now - START) / SECOND,
                max(returned_slices(fleet), default=0),
                len(returned_slices(fleet)),
            )
        )
        fleet.events.at(fleet.events.now + 2_500, 9, sample)

    fleet.events.at(START + 12 * SECOND, 9, sample)
    result = fleet.run()
    assert not result.breaches
    without_planners = [(time, returned) for time, returned, count in samples if time > 15.0 and count]
    assert without_planners and all(
        after - before <= 3
        for (_, before), (_, after) in zip(without_planners, without_planners[1:], strict=False)
    )
    assert result.worth > 0.93


def test_planner_that_missed_a_failover_does_not_revert_it():
    """The leader loses its connections to half of the gateways and to the other planners during a failover.
    Another planner leads, and the first one rejoins before the location returns."""
    faults = parse(SCRIPTS["silent-cold"].faults)
    planner_faults = (
        PlannerFault("split", 0, 60_000, 30_000),
        PlannerFault("cut", 0, 60_000, 30_000),
        PlannerFault("kill", 1, 100_000, 5_000),
    )
    fleet = ObservedPlanes(build_world(SIZE, span=30.0), 6, faults, troubles=planner_faults, leave="past")
    fleet.watch()
    samples = []

    def sample():
        samples.append(min(returned_slices(fleet), default=SLICE_COUNT))
        fleet.events.at(fleet.events.now + 2_500, 9, sample)

    fleet.events.at(START + 5 * SECOND, 9, sample)
    result = fleet.run()
    assert not result.breaches and min(samples) == 0
    # during the fault only canaries, and requests of gateways not yet informed, are sent to the location
    sent_by_second = fleet.sent_to
    sent = sum(sent_by_second.get((second, 1), 0) for second in range(65, 88))
    requested = sum(fleet.asked_in.get((second, 1), 0) for second in range(65, 88))
    assert sent <= 0.2 * requested


def test_bad_paths_of_gateways_cause_no_failover():
    faults = parse(
        "(at 3s (mute (gateway 3)) (for 8s)) (at 3s (deaf (gateway 7)) (for 8s)) "
        "(at 4s (stop (gateway 1)) (for 2s))"
    )
    fleet = ObservedPlanes(build_world(SIZE, span=14.0), 2, faults, leave="past")
    fleet.watch()
    assert not fleet.run().breaches
    assert all(
        not state.history
        for emulated in fleet.planners
        for state in emulated.planner.locations.failover_controller.states.values()
    )


def test_same_seed_gives_the_same_run():
    fingerprints = []
    for _ in range(2):
        fleet = ObservedPlanes(
            build_world(SIZE, span=12.0), 9, parse(SCRIPTS["silent-cold"].faults), leave="past"
        )
        fleet.watch()
        fingerprints.append(fleet.run().mark)
    assert fingerprints[0] == fingerprints[1]


def test_each_object_has_one_substitute_cache_at_all_gateways():
    """While location 1 has failed over, its gateways send requests to other locations' caches: for each
    object to one cache, the same that the gateways of that location use."""
    fleet = ObservedPlanes(
        build_world(SIZE, span=10.0), 3, parse(SCRIPTS["silent-cold"].faults), leave="across"
    )
    fleet.watch()
    caches_used = {}
    original_sending = fleet.sending

    def record(dispatch, number, source):
        time = (fleet.events.now - START) / SECOND
        if 6.5 <= time < 9.0 and dispatch.box.kind == 0 and dispatch.seq == 0 and not dispatch.write:
            by_zone = caches_used.setdefault(dispatch.place, {})
            by_zone.setdefault(dispatch.gateway.zone, set()).add(dispatch.box.name)
        original_sending(dispatch, number, source)

    fleet.sending = record
    assert not fleet.run().breaches
    own_gateways = {object_part: by_zone[1] for object_part, by_zone in caches_used.items() if 1 in by_zone}
    substituted = {
        object_part: caches
        for object_part, caches in own_gateways.items()
        if not any(cache.startswith("c1") for cache in caches)
    }
    assert len(substituted) > 30 and len(substituted) > 0.8 * len(own_gateways)  # the others are canaries
    assert sum(len(caches) > 1 for caches in substituted.values()) <= 0.05 * len(substituted)
    zones = {next(iter(caches))[1] for caches in substituted.values()}
    assert zones == {"0", "2", "3"}
    substitute_zones = {
        object_part: int(next(iter(caches))[1])
        for object_part, caches in substituted.items()
        if len(caches) == 1
    }
    comparable = [
        object_part for object_part, zone in substitute_zones.items() if zone in caches_used[object_part]
    ]
    matching = [
        object_part
        for object_part in comparable
        if substituted[object_part] <= caches_used[object_part][substitute_zones[object_part]]
    ]
    assert comparable and len(matching) >= 0.9 * len(comparable)


def test_caches_of_other_locations_are_divided_among_all_gateways_but_not_the_origin():
    """The origin, which belongs to no location, was once divided like the caches of other locations."""
    router = ObservedPlanes(build_world(SIZE, span=1.0), 1, leave="across").gateways[0].router
    own, other, origin = router.pools.caches[0], router.pools.caches_by_zone[2][0], router.pools.origins[0]
    assert (router.settings.zone_gateways, router.settings.gateways) == (3, 12)
    assert router.slow_start.capacity_share(own) == pytest.approx(4 * router.slow_start.capacity_share(other))
    assert router.slow_start.capacity_share(origin) == pytest.approx(router.slow_start.capacity_share(own))
