"""Leaving a location and returning: each core beside its plain words, on generated inputs."""

import random

import pytest

from lilacloft.failover import failover_state, hash_slices, local_failover, recovery_ramp
from lilacloft.failover.failover_state import (
    BACK,
    IN,
    LEAST,
    LEFT,
    OUT,
    PROOF,
    STEP,
    WELLS,
    Decider,
    Tally,
    Told,
)
from lilacloft.failover.fault_detection import (
    CACHES,
    FEW,
    HUB,
    SHARED,
    SILENT,
    WAY,
    WELL,
    Finding,
    Look,
    Place,
    View,
    judge,
)
from lilacloft.failover.hash_slices import SLICES, away, ranks, slice_of
from lilacloft.failover.local_failover import Keeper
from lilacloft.failover.recovery_ramp import Bears, Warming, least, most, step

SECOND = 10_000
GOOD, BAD, QUIET = Look(answers=True), Look(streak=2), Look()
FAILS = Finding(CACHES, True, ("a", "b"), (), 4, 4)
FINE = Finding(WELL, False, (), ("a", "b"), 0, 4)

# --- slices ---


def test_slices_are_even_parts_and_each_location_has_an_order_of_its_own():
    counts = [0] * SLICES
    for number in range(64_000):
        counts[slice_of(f"{number:016x} {number % 3}")] += 1
    assert min(counts) > 800 and max(counts) < 1200
    assert sorted(ranks(0)) == list(range(SLICES)) and ranks(0) != ranks(1)


def test_more_slices_back_never_takes_one_away():
    for number in range(300):
        place = f"o{number} 0"
        states = [away(place, 2, back) for back in range(SLICES + 1)]
        assert states == sorted(states, reverse=True) and states[0] and not states[-1]


# --- who fails ---


def world(looks, zones=3, caches=4, forwarders=3, hub=2, heard=None):
    """A view of locations `z` with caches `cz-n` and forwarders `fz-n`, and one hub with parents; `looks`
    says what a forwarder has of a be."""
    places = {
        zone: Place(
            tuple(f"c{zone}-{one}" for one in range(caches)),
            tuple(f"f{zone}-{one}" for one in range(forwarders)),
        )
        for zone in range(zones)
    }
    places[-1] = Place(tuple(f"p{one}" for one in range(hub)), (), True)
    seen = {
        name: {
            backend: look
            for backend in [*place.backends, *places[-1].backends]
            if (look := looks(zone, name, backend)) is not None
        }
        for zone, place in places.items()
        for name in place.forwarders
    }
    return View(places, seen, frozenset(seen) if heard is None else frozenset(heard))


def caches_of(*zones):
    return lambda zone, name, backend: BAD if zone in zones and backend[0] == "c" else GOOD


CASES = {
    "nothing": (lambda *_: GOOD, {}),
    "a location's caches": (caches_of(1), {1: CACHES}),
    "two of three: what they share": (caches_of(0, 1), {0: SHARED, 1: SHARED}),
    "all: everybody's": (caches_of(0, 1, 2), {0: SHARED, 1: SHARED, 2: SHARED}),
    "one forwarder's bad path": (lambda zone, name, backend: BAD if name == "f1-0" else GOOD, {}),
    "half of a location's caches": (
        lambda zone, name, backend: BAD if zone == 1 and backend in ("c1-0", "c1-1") else GOOD,
        {},
    ),
    "three of four caches": (
        lambda zone, name, backend: BAD if zone == 1 and backend in ("c1-0", "c1-1", "c1-2") else GOOD,
        {1: CACHES},
    ),
    "two of three forwarders see it": (
        lambda zone, name, backend: BAD if zone == 1 and name != "f1-2" and backend[0] == "c" else GOOD,
        {},
    ),
    "nobody has looked": (
        lambda zone, name, backend: QUIET if zone == 1 and backend[0] == "c" else GOOD,
        {1: FEW},
    ),
    "one cache of four was looked at": (
        lambda zone, name, backend: (BAD if backend == "c1-0" else QUIET)
        if zone == 1 and backend[0] == "c"
        else GOOD,
        {},
    ),
    "the hub's parents, asked past the caches": (
        lambda zone, name, backend: BAD if backend[0] == "p" else GOOD,
        {0: FEW, 1: FEW, 2: FEW, -1: SHARED},
    ),
    "fills of one location only": (
        lambda zone, name, backend: Look(unfilled=2)
        if zone == 1 and backend[0] == "p"
        else Look(filled=3)
        if backend[0] == "p"
        else GOOD,
        {1: WAY},
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_who_fails_is_told_from_who_sees_it(name):
    looks, expected = CASES[name]
    found = judge(world(looks))
    assert {zone: one.why for zone, one in found.items() if one.why != WELL} == expected
    assert [zone for zone, one in found.items() if one.fails] == [
        zone for zone, why in expected.items() if why == CACHES
    ]


def test_one_hub_of_two_fails_as_seen_from_all_locations():
    view = world(lambda zone, name, backend: Look(unfilled=1) if backend[0] == "p" else GOOD)
    view.places[-2] = Place(("q0", "q1"), (), True)
    for name in view.looks:
        view.looks[name].update(q0=Look(filled=1), q1=Look(filled=1))
    found = judge(view)
    assert found[-1].fails and found[-1].why == HUB and not found[-2].fails
    assert not any(found[zone].fails for zone in (0, 1, 2))


def test_a_planner_that_hears_nobody_of_a_location_names_nothing_there():
    heard = [f"f{zone}-{one}" for zone in (0, 2) for one in range(3)] + ["f1-0"]
    found = judge(world(caches_of(1), heard=heard))
    assert found[1].why == SILENT and not found[1].fails
    assert str(found[1]) == SILENT


def test_who_sees_all_elsewhere_fail_as_well_sees_its_own_path():
    def looks(zone, name, backend):
        if name in ("f1-0", "f1-1"):
            return BAD
        return QUIET if name == "f1-2" and backend[0] == "c" else GOOD

    found = judge(world(looks))  # two of three of a location, and the third has not looked
    assert found[1].why == FEW and not found[1].fails
    seen = judge(world(lambda zone, name, backend: GOOD if backend[0] == "p" else looks(zone, name, backend)))
    assert seen[1].fails and seen[1].by == ("f1-0", "f1-1")  # they reach parents: the location it is


def test_two_of_twelve_name_no_hub():
    def looks(zone, name, backend):
        if backend[0] != "p":
            return GOOD
        return Look(unfilled=3) if backend == "p0" and name in ("f0-0", "f1-0") else QUIET

    view = world(looks, forwarders=4, hub=1)
    view.places[-2] = Place(("q0",), (), True)
    assert not judge(view)[-1].fails


def test_the_evidence_reads_as_a_sentence():
    assert str(judge(world(caches_of(1)))[1]) == (
        "its caches fail: 4 of 4 that were looked at fail, as 3 of 3 forwarders see it"
    )


def plain(view):
    """The rules of `evidence` for caches in their plainest words, pair by pair."""
    named = []
    for zone, place in view.places.items():
        if place.parents:
            continue
        names = [name for name in place.forwarders if name in view.heard]
        if len(names) * 2 < len(place.forwarders):
            continue
        names = [
            name
            for name in names
            if not (
                outside := [
                    look.fails()
                    for backend, look in view.looks[name].items()
                    if backend not in place.backends and look.fails() is not None
                ]
            )
            or not all(outside)
        ]
        pairs = {
            (name, backend): view.looks[name][backend].fails()
            for name in names
            for backend in place.backends
            if backend in view.looks[name] and view.looks[name][backend].fails() is not None
        }
        who = {name for name, _ in pairs}
        see = {
            name
            for name in who
            if sum(bad for (one, _), bad in pairs.items() if one == name)
            >= 0.75 * sum(one == name for one, _ in pairs)
        }
        backends = {backend for _, backend in pairs}
        dead = {
            backend
            for backend in backends
            if sum(bad for (_, one), bad in pairs.items() if one == backend)
            > sum(not bad for (_, one), bad in pairs.items() if one == backend)
        }
        if (
            len(see) >= max(min(2, len(place.forwarders)), len(names) / 4)
            and see
            and len(see) >= 0.75 * len(who)
            and (2 * len(backends) >= len(place.backends) or len(backends) >= 8)
            and len(backends) >= min(2, len(place.backends))
            and backends
            and len(dead) >= 0.75 * len(backends)
        ):
            named.append(zone)
    return named if 2 * len(named) <= sum(not place.parents for place in view.places.values()) else []


@pytest.mark.parametrize("seed", range(150))
def test_findings_agree_with_the_plain_rules(seed):
    chance = random.Random(seed)
    zones, caches, forwarders = chance.randint(2, 5), chance.randint(1, 24), chance.randint(1, 6)
    dead = {zone for zone in range(zones) if chance.random() < 0.35}
    lie = 0.3 * chance.random()

    def looks(zone, name, backend):
        if chance.random() < 0.3:
            return None
        bad = (zone in dead) != (chance.random() < lie)
        return chance.choice([BAD if bad else GOOD, BAD if bad else GOOD, QUIET])

    heard = [f"f{zone}-{one}" for zone in range(zones) for one in range(forwarders) if chance.random() < 0.85]
    view = world(looks, zones, caches, forwarders, heard=heard)
    assert [zone for zone, one in judge(view).items() if one.fails] == plain(view)


@pytest.mark.parametrize("seed", range(100))
def test_observers_that_are_hurt_move_nobody(seed):
    """Fewer than a quarter of a location's forwarders see nothing but failures, everywhere."""
    chance = random.Random(seed)
    forwarders = chance.randint(5, 12)
    hurt = {
        f"f{zone}-{one}" for zone in range(3) for one in chance.sample(range(forwarders), forwarders // 5)
    }

    def looks(zone, name, backend):
        return None if chance.random() < 0.2 else BAD if name in hurt else GOOD

    assert not any(one.fails for one in judge(world(looks, caches=8, forwarders=forwarders)).values())


# --- pace ---


def test_how_many_slices_may_be_back_follows_from_what_its_bes_bear():
    warming = Warming(0.2, 15 * SECOND, 2.0)
    warm = Bears(40_000.0, 4000.0, ((8.0, 1 << 40),) * 6)
    assert most(warm, warming) == SLICES
    cold = Bears(100_000.0, 4000.0, ((8.0, 0),) * 6)  # 48 * 0.2 * 0.8 transfers of 25 that are asked for
    assert most(cold, warming) == int(SLICES * 48 * 0.2 * 0.8 / 25)
    assert most(Bears(100_000.0, 4000.0, ()), warming) == 0
    assert most(Bears(0.0, 4000.0, ((8.0, 0),)), warming) == SLICES
    assert most(Bears(1e9, 4000.0, ((8.0, 0),)), warming) == 1  # its trials are to go somewhere
    assert most(Bears(10.0, 4000.0, ((float("inf"), 0),)), warming) == SLICES  # nobody has told their sizes
    half = Bears(100_000.0, 4000.0, ((8.0, 0),) * 3 + ((8.0, 1 << 40),) * 3)
    assert most(cold, warming) < most(half, warming)


def test_a_step_brings_no_more_misses_than_there_is_to_spare_and_doubles_where_copies_answer():
    bears = Bears(64_000.0, 4000.0, ((8.0, 0),) * 6, spare=10_000.0, missing=2_000.0)
    assert step(bears, 0.0, 9) == 6  # (0.8 * 10,000 - 2,000) KB/s at 1,000 a slice
    assert step(bears, 0.0, 1) == 4
    assert step(Bears(64_000.0, 4000.0, (), 10_000.0, 8_000.0), 0.0, 4) == 0
    assert step(bears, 0.9, 4) == 16 and step(bears, 0.0, 2) == 6  # but four times the last one at most
    assert step(Bears(0.0, 4000.0, ()), 0.0, 3) == 12


# --- the course ---


class Loop:
    """A location and its decider, closed: what is at home is answered as the location is, and told back."""

    def __init__(self, good, bears, rate=60.0, hits=lambda now: 0.9, zones=4, tick=2_500):
        self.good, self.bears, self.rate, self.hits, self.tick, self.now = good, bears, rate, hits, tick, 0
        self.decider = Decider(-SECOND * 9)
        self.total, self.part, self.courses = Tally(), 0.0, []
        self.zones = zones

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += self.tick
            course_ = self.decider.courses.get(0)
            back = course_.back if course_ else SLICES
            self.part += self.rate * self.tick / SECOND * back / SLICES
            asked = int(self.part)
            self.part -= asked
            if back == 0:
                asked = 1  # a trial
            good = self.good(self.now)
            hits = round(asked * self.hits(self.now)) if good else 0
            self.total = self.total.plus(Tally(asked if good else 0, 0, 0 if good else asked, hits))
            self.decider.tally("f0", 1, 0, self.total)
            fails = not good and asked > 0 and back > 0
            findings = {zone: FAILS if zone == 0 and fails else FINE for zone in range(self.zones)}
            self.decider.look(
                findings, dict.fromkeys(range(self.zones), self.rate), {0: self.bears(self.now)}, self.now
            )
            self.courses.append((self.now, self.decider.courses[0].state, self.decider.courses[0].back))

    def changes(self):
        states = [state for _, state, _ in self.courses]
        return [two for one, two in zip(states, states[1:], strict=False) if one != two]


WARMED = Bears(40_000.0, 4000.0, ((8.0, 1 << 40),) * 6)


def test_a_location_that_fails_is_left_and_is_back_once_it_has_proven_itself():
    loop = Loop(lambda now: not 5 * SECOND <= now < 10 * SECOND, lambda now: WARMED)
    loop.run(40 * SECOND)
    left = next(at for at, state, _ in loop.courses if state == LEFT)
    again = next(at for at, state, _ in loop.courses if state == BACK)
    full = next(at for at, state, _ in loop.courses if state == IN and at > again)
    assert 5 * SECOND <= left <= 5 * SECOND + 3 * loop.tick
    assert 10 * SECOND + PROOF <= again <= 10 * SECOND + PROOF + 4 * loop.tick
    assert full - again <= 5 * STEP  # its copies are there: no step waits for fills
    assert loop.changes() == [LEFT, BACK, IN]
    assert "all of its slices are back" in "\n".join(loop.decider.explain(0, loop.now))


def test_ten_minutes_of_turns_of_three_seconds_change_it_four_times_at_most():
    for phase in range(0, 60_000, 7_000):
        loop = Loop(lambda now, phase=phase: (now + phase) // (3 * SECOND) % 2 == 0, lambda now: WARMED)
        loop.run(600 * SECOND)
        assert 1 <= len(loop.changes()) <= 4, (phase, loop.changes())


@pytest.mark.parametrize(
    "demand, spare", [(100_000.0, 40_000.0), (100_000.0, 12_000.0), (30_000.0, 40_000.0)]
)
def test_a_cold_return_is_within_its_bounds_and_near_the_least_possible(demand, spare):
    """Slices miss all at first and a fifth less each quarter of a second."""
    warming, sizes = Warming(), ((8.0, 0),) * 6
    misses, born = [0.0], 10 * SECOND

    def bears(now):
        aged = tuple((size, max(0, now - born)) for size, _ in sizes)
        return Bears(demand, 4000.0, aged, spare, misses[0])

    loop = Loop(lambda now: not 5 * SECOND <= now < born, bears, hits=lambda now: 0.1)
    before, began = SLICES, None
    while began is None or before < SLICES:
        loop.run(loop.tick)
        back = loop.decider.courses[0].back
        misses[0] *= 0.8
        if loop.now > born and back > before:
            misses[0] += (back - before) / SLICES * demand
            assert misses[0] <= spare and back <= max(1, most(bears(loop.now), warming))
            began = began or loop.now
        before = back
        assert loop.now < 100 * SECOND
    start = tuple((size, began - born) for size, _ in sizes)
    best = least(Bears(demand, 4000.0, start, spare, 0.0), warming, loop.tick, 0.8)
    assert loop.now - began <= 1.5 * best * loop.tick + 4 * STEP


@pytest.mark.parametrize("seed", range(120))
def test_a_course_keeps_its_rules_whatever_comes(seed):
    """Locations that fail and come back at random; all rules are checked from the outside."""
    chance = random.Random(seed)
    zones = chance.randint(2, 6)
    traffic = {zone: chance.choice((1.0, 5.0, 20.0)) for zone in range(zones)}
    decider, now, totals = Decider(-9 * SECOND), 0, dict.fromkeys(range(zones), Tally())
    left_at, wells, proven, proved, steps = {}, dict.fromkeys(range(zones), 0), {}, {}, {}
    before = {}
    for _ in range(400):
        now += chance.choice((1_000, 2_500, 2_500, 6_000))
        findings, bears = {}, {}
        for zone in range(zones):
            bad = chance.random() < (0.3 if zone % 2 else 0.05)
            findings[zone] = FAILS if bad else FINE
            bears[zone] = Bears(
                chance.choice((0.0, 40_000.0)),
                4000.0,
                ((8.0, chance.randrange(200_000)),) * chance.randint(0, 6),
                chance.choice((1e9, 20_000.0)),
                0.0,
            )
            if chance.random() < 0.6:
                ended = Tally(
                    chance.randrange(6),
                    chance.randrange(3) if bad else 0,
                    chance.randrange(3) if bad else 0,
                    chance.randrange(3),
                )
                totals[zone] = totals[zone].plus(ended)
                decider.tally("f", 1, zone, totals[zone])
                if before.get(zone, (IN,))[0] == LEFT:
                    if ended.failed or ended.late > ended.well:
                        wells[zone] = 0
                    elif ended.well:
                        proven[zone] = proven[zone] if wells[zone] else now
                        wells[zone] += ended.well + ended.late
                        proved[zone] = now
        decider.look(findings, traffic, bears, now)
        away_now = 0.0
        for zone, one in decider.courses.items():
            state, back, fails = before.get(zone, (IN, SLICES, 0))
            if state == IN and one.state == LEFT:
                away_now += traffic[zone]
            if one.state == LEFT and state != LEFT:
                assert findings[zone].fails or state == BACK
                again = state == BACK or (zone in left_at and now - one.calm < failover_state.CALM)
                left_at[zone], wells[zone] = now, 0
                assert one.back == 0 and one.fails == min(failover_state.MANY, fails + again)
            if state == LEFT and one.state == BACK:
                assert now - left_at[zone] >= LEAST << fails
                assert wells[zone] >= WELLS and proved[zone] - proven[zone] >= PROOF * 3**fails
                assert one.back == 1 and bears[zone].sizes
                steps[zone] = now
            elif state == BACK and one.back > back:
                assert now - steps[zone] >= STEP and one.back <= most(bears[zone], Warming())
                steps[zone] = now
            elif state == BACK and one.back < back:
                steps[zone] = now
            assert (one.state == IN) == (one.back == SLICES) and 0 <= one.back <= SLICES
            before[zone] = one.state, one.back, one.fails
        if away_now:
            out = sum(rate for zone, rate in traffic.items() if decider.courses[zone].state == LEFT)
            assert away_now <= OUT * sum(traffic.values()) + 1e-6 or out == away_now


def test_no_more_than_half_of_the_traffic_leaves():
    decider, traffic = Decider(-9 * SECOND), dict.fromkeys(range(4), 10.0)
    for now in range(0, 5 * SECOND, 2_500):
        decider.look({zone: FAILS if zone < 3 else FINE for zone in range(4)}, traffic, {}, now)
    states = [decider.courses[zone].state for zone in range(4)]
    assert states.count(LEFT) == 2 and "half" not in states
    assert "50% of the traffic" in decider.courses[2].waits


def test_a_second_location_that_fails_while_the_first_returns_waits_for_room():
    decider, traffic = Decider(-9 * SECOND), {0: 10.0, 1: 10.0, 2: 5.0}
    for now in (1, 2, 3):
        decider.look({0: FAILS, 1: FINE, 2: FINE}, traffic, {}, now)
    for now in (4, 5, 6):
        decider.look({0: FINE, 1: FAILS, 2: FINE}, traffic, {}, now)
    assert [decider.courses[zone].state for zone in range(3)] == [LEFT, IN, IN]
    decider.courses[0].back, decider.courses[0].state = SLICES - 16, BACK  # three quarters are back
    decider.look({0: FINE, 1: FAILS, 2: FINE}, traffic, {0: WARMED}, 7)
    assert decider.courses[1].state == LEFT


def test_who_begins_to_decide_takes_up_what_forwarders_keep_to():
    decider = Decider(0)
    decider.take_up({0: (0, 2), 1: (20, 0)}, 100)
    assert [(decider.courses[zone].state, decider.courses[zone].back) for zone in (0, 1)] == [
        (LEFT, 0),
        (BACK, 20),
    ]
    assert decider.listens(100) and not decider.listens(2 * SECOND)
    told = decider.told({0: ("f0", "f1")}, 100)
    assert told[0].fails == 2 and told[0].trial in ("f0", "f1") and told[1].back == 20 and not told[1].trial
    decider.take_up({0: (0, 2)}, 200)
    assert decider.courses[1].state == IN


def test_counts_of_a_process_before_and_what_came_before_the_first_are_passed_over():
    decider = Decider(0)
    decider.tally("f", 1, 0, Tally(100, 0, 50, 90))
    assert 0 not in decider.courses or decider.courses[0].seen == Tally()
    decider.tally("f", 1, 0, Tally(103, 0, 50, 91))
    assert decider.courses[0].seen == Tally(3, 0, 0, 1)
    decider.tally("f", 2, 0, Tally(1, 0, 0, 0))
    decider.tally("f", 2, 0, Tally(2, 1, 0, 0))
    assert decider.courses[0].seen == Tally(4, 1, 0, 1)
    decider.gone("f")
    assert not decider.tallies


def test_trials_go_by_turns():
    decider = Decider(0)
    decider.take_up({0: (0, 0)}, 0)
    who = {0: ("a", "b", "c")}
    assert [decider.told(who, turn * failover_state.TURN)[0].trial for turn in range(4)] == [
        "a",
        "b",
        "c",
        "a",
    ]


# --- a forwarder ---


def test_a_plan_is_followed_down_at_once_and_up_at_its_pace():
    keeper = Keeper("f0", 4, 150_000)
    left = keeper.look({0: Told(0, rate=8.0)}, 0)[0]
    assert left.back == 0 and left.canaries_only
    keeper.look({0: Told(64, rate=8.0)}, 2_500)
    assert left.back == 2
    keeper.look({}, 5_000)  # another planner's, that knows nothing of it
    assert left.back == 4 and keeper.kept
    keeper.look({0: Told(1, rate=8.0)}, 7_500)
    assert left.back == 1
    assert keeper.look({}, 7_500 + 100 * SECOND)[0].back <= 1 + 4  # not asked for long: no jump either


@pytest.mark.parametrize("seed", range(150))
def test_no_row_of_plans_moves_a_forwarder_faster_than_the_highest_pace_told(seed):
    chance = random.Random(seed)
    keeper, now, path = Keeper("f0", chance.randint(1, 9), 150_000), 0, []
    top = 64 * SECOND / 150_000
    plan = None
    for _ in range(200):
        now += chance.choice((100, 2_500, 2_500, 40_000))
        if chance.random() < 0.5:
            plan = chance.choice(
                [
                    None,
                    {},
                    {
                        0: Told(
                            chance.randrange(65), chance.randrange(3), chance.choice((0.5, 4.0, 16.0)), "f0"
                        )
                    },
                    plan,
                ]
            )
        if plan and 0 in plan:
            top = max(top, plan[0].rate)
        for _ in range(chance.randrange(3)):
            keeper.ended(0, chance.choice(("well", "well", "late", "failed")), True, now, now)
        left = keeper.look(plan, now)
        path.append((now, left[0].back if 0 in left else SLICES))
    rises = [(two[0], two[1] - one[1], two[0] - one[0]) for one, two in zip(path, path[1:], strict=False)]
    assert all(rise <= top * span / SECOND + max(1.0, top / 2) for _, rise, span in rises)
    for begin in range(0, len(path), 20):  # and over longer spans
        span, rise = path[-1][0] - path[begin][0], sum(max(0, one[1]) for one in rises[begin:])
        assert rise <= top * span / SECOND + max(1.0, top / 2) + 1


def test_forwarders_alone_return_no_faster_than_its_bes_grow_warm():
    """Twenty without a plan, each at its own time: never more of the slices than the age of its bes bears."""
    keepers = [Keeper(f"f{number}", 20, 150_000) for number in range(20)]
    clocks = [777 * number for number in range(20)]
    for keeper, clock in zip(keepers, clocks, strict=True):
        keeper.look({0: Told(0)}, clock)
    asked, now, least_full = [], 0, None
    while now < 120 * SECOND:
        now += 2_500
        backs = []
        for keeper, clock in zip(keepers, clocks, strict=True):
            left = keeper.look(None, clock + now).get(0)
            back = left.back if left else SLICES
            backs.append(back)
            if left is None or back or not left.is_away("k 0", True, clock + now):
                keeper.ended(0, "well", True, clock + now, clock + now)
        asked.append((now, max(backs)))
        if min(backs) == SLICES and least_full is None:
            least_full = now
    assert all(back <= 1 + SLICES * at / 150_000 for at, back in asked)
    assert least_full is not None and least_full < 90 * SECOND


def test_a_forwarder_alone_takes_all_back_where_it_fails_and_waits_three_times_as_long():
    keeper = Keeper("f0", 1, 150_000)
    for now in (0, 5_000, 10_000, 15_000):
        assert keeper.look({0: Told(9)}, now)[0].back == now // 2_500
    keeper.look(None, 17_500)
    for _ in range(4):
        keeper.ended(0, "failed", False, 18_000, 18_000)
    left = keeper.look(None, 20_000)[0]
    assert left.back == 0 and keeper.holds() == {0: (0, 1)}
    for now in range(21_000, 21_000 + 3 * PROOF, 500):
        keeper.ended(0, "well", True, now, now)
        assert keeper.look(None, now)[0].back == 0
    keeper.ended(0, "well", True, 21_000 + 3 * PROOF, 0)
    assert keeper.look(None, 21_000 + 3 * PROOF + 500)[0].back == 1


def test_trials_are_one_at_a_time_and_only_of_what_may_be_repeated():
    left = local_failover.Left(0, 0, True)
    assert left.is_away("a 0", False, 10)
    assert not left.is_away("a 0", True, 10) and left.is_away("b 0", True, 11)
    assert not left.is_away("b 0", True, 10 + failover_state.TURN)
    keeper = Keeper("f0", 1, 150_000)
    mine = keeper.look({0: Told(0, trial="f0")}, 0)[0]
    assert not mine.is_away("a 0", True, 0) and mine.is_away("a 0", True, 500)
    keeper.ended(0, "well", True, 600, 600)
    assert mine.is_away("a 0", True, 600) and not mine.is_away("a 0", True, 600 + local_failover.GAP)


def test_what_of_a_location_is_back_is_asked_for_at_home():
    left = local_failover.Left(3, 20)
    homes = [
        place for place in (f"o{number} 0" for number in range(1000)) if not left.is_away(place, True, 0)
    ]
    assert 230 < len(homes) < 400 and all(ranks(3)[slice_of(place)] < 20 for place in homes)


def test_what_is_away_is_spread_by_what_others_have_to_spare_and_moves_as_little_as_it_must():
    even = recovery_ramp.spread({0: 50.0, 2: 50.0}, 40.0, hash_slices.PAST)
    assert even == ((0, 0.5), (2, 0.5))
    short = recovery_ramp.spread({0: 10.0, 2: 0.0}, 40.0, hash_slices.PAST)
    assert (
        short == ((0, 0.2), (hash_slices.PAST, 0.8))
        and recovery_ramp.spread({0: 0.0}, 40.0, hash_slices.PAST) == ()
    )
    places = [f"o{number} 0" for number in range(4000)]
    before = {place: hash_slices.target(place, ((0, 0.5), (2, 0.5))) for place in places}
    after = {place: hash_slices.target(place, ((0, 0.5), (2, 0.5), (3, 0.25))) for place in places}
    assert 1800 < sum(zone == 0 for zone in before.values()) < 2200
    moved = [place for place in places if before[place] != after[place]]
    assert all(after[place] == 3 for place in moved) and 700 < len(moved) < 900
