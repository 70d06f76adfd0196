"""Locations left and returned to in virtual time: worlds with planners, by the scripts of `rigs.failover`."""

import pytest

from lilacloft.emulator.faults import parse
from lilacloft.emulator.fleet import START
from lilacloft.emulator.planes import Trouble
from lilacloft.emulator.worlds import SECOND
from lilacloft.failover.hash_slices import SLICE_COUNT
from rigs.failover import SCRIPTS, WatchedPlanes, WorldSize, build_world, run_world

SIZE = WorldSize(24, 12, 110.0, 4)

LEFT_AND_BACK = ("silent-cold", "silent", "mute", "deaf", "issuer-back", "purge", "drain", "unlogged")


def said(row, zone, planner="p0"):
    return [line.partition(": ")[2] for line in row["left"] if line.startswith(f"{planner} {zone} ")]


@pytest.mark.parametrize("script", LEFT_AND_BACK)
def test_a_lost_location_is_left_and_back_and_no_rule_is_broken(script):
    row = run_world(script, "leaves", 3, SIZE)
    assert row["broken"] == 0, row["breaches"]
    assert row["elsewhere"] is not None and row["elsewhere"] <= 3.0 and row["changes"] <= 2
    planner = "p1" if script == "issuer-back" else "p0"
    assert any(f"{SLICE_COUNT} of {SLICE_COUNT}" in text for text in said(row, 1, planner))
    assert not said(row, 0) and not said(row, 2) and not said(row, 3)


def test_it_is_worth_more_than_planners_that_leave_no_location():
    rows = {
        way: [run_world("silent-cold", way, seed, SIZE) for seed in (1, 2)] for way in ("planes", "leaves")
    }
    for earlier, now in zip(rows["planes"], rows["leaves"], strict=True):
        assert now["trouble"] > earlier["trouble"] + 0.02 and now["into"] < 0.5 * earlier["into"]


def test_a_location_whose_gateways_no_planner_hears_is_left_by_none_and_they_go_on_alone():
    row = run_world("lone", "leaves", 3, SIZE)
    assert row["broken"] == 0 and row["left"] == [] and row["worth"] > 0.93


@pytest.mark.parametrize("script", ["calm", "slow-origin", "apart"])
def test_what_all_share_or_what_has_no_way_past_leaves_nobody(script):
    row = run_world(script, "leaves", 5, SIZE)
    assert row["broken"] == 0 and row["left"] == [] and row["changes"] == 0


def test_two_of_four_are_left_and_a_hub_is_as_a_location_is():
    row = run_world("two", "leaves", 2, SIZE)
    assert row["broken"] == 0 and said(row, 1) and said(row, 2) and not said(row, 0)
    row = run_world("hub", "leaves", 2, WorldSize(24, 12, 200.0, 4))
    assert row["broken"] == 0 and not any(said(row, zone) for zone in range(4))
    assert any("its parents fail" in text for text in said(row, -2)) and not said(row, -1)


def test_turns_of_three_seconds_for_a_minute_change_it_four_times_at_most():
    row = run_world("turns", "leaves", 2, SIZE)
    assert row["broken"] == 0 and 1 <= row["changes"] <= 4


def backs(fleet):
    """Slices at home of location 1, by forwarder of it that has not all."""
    return [
        gateway.follower.keeper.states[1].failover.returned_slices
        for gateway in fleet.gateways
        if gateway.zone == 1 and 1 in gateway.follower.keeper.states
    ]


def test_planners_all_dead_while_it_returns_leave_forwarders_that_go_on_slowly_and_none_in_a_jump():
    """The deciders die in the middle of the return of a cold location, for good."""
    place = build_world(SIZE, span=34.0)
    faults = parse(SCRIPTS["silent-cold"].faults)
    dead = tuple(Trouble("kill", number, 114_000, 1_000_000) for number in range(3))
    fleet = WatchedPlanes(place, 4, faults, troubles=dead, leave="past")
    fleet.watch()
    path = []

    def look():
        path.append(((fleet.events.now - START) / SECOND, max(backs(fleet), default=0), len(backs(fleet))))
        fleet.events.at(fleet.events.now + 2_500, 9, look)

    fleet.events.at(START + 12 * SECOND, 9, look)
    result = fleet.run()
    assert not result.breaches
    alone = [(at, back) for at, back, many in path if at > 15.0 and many]
    assert alone and all(two - one <= 3 for (_, one), (_, two) in zip(alone, alone[1:], strict=False))
    assert result.worth > 0.93


def test_a_planner_that_knows_nothing_of_it_sends_nobody_home_in_a_jump():
    """The one that issues is cut off from half of the forwarders and from the others while a location is
    left: another issues, and the first is back before the location is."""
    faults = parse(SCRIPTS["silent-cold"].faults)
    cuts = (
        Trouble("split", 0, 60_000, 30_000),
        Trouble("cut", 0, 60_000, 30_000),
        Trouble("kill", 1, 100_000, 5_000),
    )
    fleet = WatchedPlanes(build_world(SIZE, span=30.0), 6, faults, troubles=cuts, leave="past")
    fleet.watch()
    path = []

    def look():
        path.append(min(backs(fleet), default=SLICE_COUNT))
        fleet.events.at(fleet.events.now + 2_500, 9, look)

    fleet.events.at(START + 5 * SECOND, 9, look)
    result = fleet.run()
    assert not result.breaches and min(path) == 0
    lost = fleet.sent_to  # while it is lost only trials and what had not heard yet go there
    sent = sum(lost.get((at, 1), 0) for at in range(65, 88))
    asked = sum(fleet.asked_in.get((at, 1), 0) for at in range(65, 88))
    assert sent <= 0.2 * asked


def test_a_gateway_whose_own_way_is_bad_moves_nobody():
    faults = parse(
        "(at 3s (mute (gateway 3)) (for 8s)) (at 3s (deaf (gateway 7)) (for 8s)) "
        "(at 4s (stop (gateway 1)) (for 2s))"
    )
    fleet = WatchedPlanes(build_world(SIZE, span=14.0), 2, faults, leave="past")
    fleet.watch()
    assert not fleet.run().breaches
    assert all(
        not state.history
        for plane in fleet.planners
        for state in plane.planner.locations.decider.states.values()
    )


def test_the_same_seed_is_the_same_run():
    marks = []
    for _ in range(2):
        fleet = WatchedPlanes(
            build_world(SIZE, span=12.0), 9, parse(SCRIPTS["silent-cold"].faults), leave="past"
        )
        fleet.watch()
        marks.append(fleet.run().mark)
    assert marks[0] == marks[1]


def test_across_each_object_has_one_cache_of_one_location_at_all_gateways():
    """While location 1 is left and before it returns, its gateways ask other locations' caches: each object's
    at one place, the one that this location's own gateways ask."""
    fleet = WatchedPlanes(
        build_world(SIZE, span=10.0), 3, parse(SCRIPTS["silent-cold"].faults), leave="across"
    )
    fleet.watch()
    asked = {}
    sending = fleet.sending

    def note(dispatch, number, source):
        at = (fleet.events.now - START) / SECOND
        if 6.5 <= at < 9.0 and dispatch.box.kind == 0 and dispatch.seq == 0 and not dispatch.write:
            told = asked.setdefault(dispatch.place, {})
            told.setdefault(dispatch.gateway.zone, set()).add(dispatch.box.name)
        sending(dispatch, number, source)

    fleet.sending = note
    assert not fleet.run().breaches
    mine = {place: told[1] for place, told in asked.items() if 1 in told}
    elsewhere = {
        place: boxes for place, boxes in mine.items() if not any(box.startswith("c1") for box in boxes)
    }
    assert len(elsewhere) > 30 and len(elsewhere) > 0.8 * len(mine)  # the rest are trials
    assert sum(len(boxes) > 1 for boxes in elsewhere.values()) <= 0.05 * len(elsewhere)
    zones = {next(iter(boxes))[1] for boxes in elsewhere.values()}
    assert zones == {"0", "2", "3"}
    there = {place: int(next(iter(boxes))[1]) for place, boxes in elsewhere.items() if len(boxes) == 1}
    both = [place for place, zone in there.items() if zone in asked[place]]
    same = [place for place in both if elsewhere[place] <= asked[place][there[place]]]
    assert both and len(same) >= 0.9 * len(both)


def test_caches_elsewhere_are_shared_by_all_gateways_and_the_origin_is_divided_as_ever():
    """Found in reading: the origin, which is of no location, had been divided as others' caches are."""
    router = WatchedPlanes(build_world(SIZE, span=1.0), 1, leave="across").gateways[0].router
    own, far, origin = router.pools.caches[0], router.pools.caches_by_zone[2][0], router.pools.origins[0]
    assert (router.settings.zone_gateways, router.settings.gateways) == (3, 12)
    assert router.slow_start.capacity_share(own) == pytest.approx(4 * router.slow_start.capacity_share(far))
    assert router.slow_start.capacity_share(origin) == pytest.approx(router.slow_start.capacity_share(own))
