"""Leaving a location and returning: each core beside its plain words, on generated inputs."""

import random

import pytest

from lilacloft.failover import failover_control, failover_state, substitutes
from lilacloft.failover.failover_control import (
    MAX_TRAFFIC_AWAY,
    MIN_STEP_INTERVAL,
    FailoverController,
)
from lilacloft.failover.failover_state import (
    CANARY_TURN,
    MIN_CANARIES,
    MIN_CANARY_SPAN,
    MIN_OUTAGE,
    FailoverDirective,
    FailoverPhase,
    FailoverStatus,
)
from lilacloft.failover.fault_detection import (
    BackendObservation,
    Diagnosis,
    Finding,
    FleetView,
    Location,
    detect_faults,
)
from lilacloft.failover.hash_slices import SLICE_COUNT, is_away, return_positions, slice_index
from lilacloft.failover.local_failover import MIN_CANARY_INTERVAL, LocalFailover, SliceFailover
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.failover.recovery_ramp import (
    LocationCapacity,
    ReadyBackend,
    SlowStartProfile,
    max_next_step,
    max_returned_slices,
)
from lilacloft.failover.substitutes import BYPASS_ZONE

SECOND = 10_000
GOOD, BAD, QUIET = (
    BackendObservation(answered_lately=True),
    BackendObservation(failure_streak=2),
    BackendObservation(),
)
FAILS = Finding(Diagnosis.CACHES_FAIL, True, ("a", "b"), (), 4, 4)
FINE = Finding(Diagnosis.NO_FAULT, False, (), ("a", "b"), 0, 4)

# --- slices ---


def test_slices_are_even_parts_and_each_location_has_an_order_of_its_own():
    counts = [0] * SLICE_COUNT
    for number in range(64_000):
        counts[slice_index(f"{number:016x} {number % 3}")] += 1
    assert min(counts) > 800 and max(counts) < 1200
    assert sorted(return_positions(0)) == list(range(SLICE_COUNT)) and return_positions(
        0
    ) != return_positions(1)


def test_more_slices_back_never_takes_one_away():
    for number in range(300):
        place = f"o{number} 0"
        states = [is_away(place, 2, back) for back in range(SLICE_COUNT + 1)]
        assert states == sorted(states, reverse=True) and states[0] and not states[-1]


# --- who fails ---


def world(looks, zones=3, caches=4, forwarders=3, hub=2, heard=None):
    """A view of locations `z` with caches `cz-n` and forwarders `fz-n`, and one hub with parents; `looks`
    says what a forwarder has of a be."""
    places = {
        zone: Location(
            tuple(f"c{zone}-{one}" for one in range(caches)),
            tuple(f"f{zone}-{one}" for one in range(forwarders)),
        )
        for zone in range(zones)
    }
    places[-1] = Location(tuple(f"p{one}" for one in range(hub)), (), True)
    seen = {
        name: {
            backend: look
            for backend in [*place.backends, *places[-1].backends]
            if (look := looks(zone, name, backend)) is not None
        }
        for zone, place in places.items()
        for name in place.gateways
    }
    return FleetView(places, seen, frozenset(seen) if heard is None else frozenset(heard))


def caches_of(*zones):
    return lambda zone, name, backend: BAD if zone in zones and backend[0] == "c" else GOOD


CASES = {
    "nothing": (lambda *_: GOOD, {}),
    "a location's caches": (caches_of(1), {1: Diagnosis.CACHES_FAIL}),
    "two of three: what they share": (
        caches_of(0, 1),
        {0: Diagnosis.SHARED_FAULT, 1: Diagnosis.SHARED_FAULT},
    ),
    "all: everybody's": (
        caches_of(0, 1, 2),
        {0: Diagnosis.SHARED_FAULT, 1: Diagnosis.SHARED_FAULT, 2: Diagnosis.SHARED_FAULT},
    ),
    "one forwarder's bad path": (lambda zone, name, backend: BAD if name == "f1-0" else GOOD, {}),
    "half of a location's caches": (
        lambda zone, name, backend: BAD if zone == 1 and backend in ("c1-0", "c1-1") else GOOD,
        {},
    ),
    "three of four caches": (
        lambda zone, name, backend: BAD if zone == 1 and backend in ("c1-0", "c1-1", "c1-2") else GOOD,
        {1: Diagnosis.CACHES_FAIL},
    ),
    "two of three forwarders see it": (
        lambda zone, name, backend: BAD if zone == 1 and name != "f1-2" and backend[0] == "c" else GOOD,
        {},
    ),
    "nobody has looked": (
        lambda zone, name, backend: QUIET if zone == 1 and backend[0] == "c" else GOOD,
        {1: Diagnosis.TOO_FEW_OBSERVATIONS},
    ),
    "one cache of four was looked at": (
        lambda zone, name, backend: (BAD if backend == "c1-0" else QUIET)
        if zone == 1 and backend[0] == "c"
        else GOOD,
        {},
    ),
    "the hub's parents, asked past the caches": (
        lambda zone, name, backend: BAD if backend[0] == "p" else GOOD,
        {
            0: Diagnosis.TOO_FEW_OBSERVATIONS,
            1: Diagnosis.TOO_FEW_OBSERVATIONS,
            2: Diagnosis.TOO_FEW_OBSERVATIONS,
            -1: Diagnosis.SHARED_FAULT,
        },
    ),
    "fills of one location only": (
        lambda zone, name, backend: BackendObservation(missing_fills=2)
        if zone == 1 and backend[0] == "p"
        else BackendObservation(completed_fills=3)
        if backend[0] == "p"
        else GOOD,
        {1: Diagnosis.SOURCE_PATH_FAILS},
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_who_fails_is_told_from_who_sees_it(name):
    looks, expected = CASES[name]
    found = detect_faults(world(looks))
    assert {
        zone: one.diagnosis for zone, one in found.items() if one.diagnosis != Diagnosis.NO_FAULT
    } == expected
    assert [zone for zone, one in found.items() if one.is_faulty] == [
        zone for zone, why in expected.items() if why == Diagnosis.CACHES_FAIL
    ]


def test_one_hub_of_two_fails_as_seen_from_all_locations():
    view = world(
        lambda zone, name, backend: BackendObservation(missing_fills=1) if backend[0] == "p" else GOOD
    )
    view.locations[-2] = Location(("q0", "q1"), (), True)
    for name in view.observations:
        view.observations[name].update(
            q0=BackendObservation(completed_fills=1), q1=BackendObservation(completed_fills=1)
        )
    found = detect_faults(view)
    assert found[-1].is_faulty and found[-1].diagnosis == Diagnosis.PARENTS_FAIL and not found[-2].is_faulty
    assert not any(found[zone].is_faulty for zone in (0, 1, 2))


def test_a_planner_that_hears_nobody_of_a_location_names_nothing_there():
    heard = [f"f{zone}-{one}" for zone in (0, 2) for one in range(3)] + ["f1-0"]
    found = detect_faults(world(caches_of(1), heard=heard))
    assert found[1].diagnosis == Diagnosis.GATEWAYS_NOT_HEARD and not found[1].is_faulty
    assert str(found[1]) == Diagnosis.GATEWAYS_NOT_HEARD


def test_who_sees_all_elsewhere_fail_as_well_sees_its_own_path():
    def looks(zone, name, backend):
        if name in ("f1-0", "f1-1"):
            return BAD
        return QUIET if name == "f1-2" and backend[0] == "c" else GOOD

    found = detect_faults(world(looks))  # two of three of a location, and the third has not looked
    assert found[1].diagnosis == Diagnosis.TOO_FEW_OBSERVATIONS and not found[1].is_faulty
    seen = detect_faults(
        world(lambda zone, name, backend: GOOD if backend[0] == "p" else looks(zone, name, backend))
    )
    assert seen[1].is_faulty and seen[1].failing_at == (
        "f1-0",
        "f1-1",
    )  # they reach parents: the location it is


def test_two_of_twelve_name_no_hub():
    def looks(zone, name, backend):
        if backend[0] != "p":
            return GOOD
        return BackendObservation(missing_fills=3) if backend == "p0" and name in ("f0-0", "f1-0") else QUIET

    view = world(looks, forwarders=4, hub=1)
    view.locations[-2] = Location(("q0",), (), True)
    assert not detect_faults(view)[-1].is_faulty


def test_the_evidence_reads_as_a_sentence():
    assert str(detect_faults(world(caches_of(1)))[1]) == (
        "its caches fail: 4 of 4 that were looked at fail, as 3 of 3 forwarders see it"
    )


def plain(view):
    """The rules of `evidence` for caches in their plainest words, pair by pair."""
    named = []
    for zone, place in view.locations.items():
        if place.is_hub:
            continue
        names = [name for name in place.gateways if name in view.heard]
        if len(names) * 2 < len(place.gateways):
            continue
        names = [
            name
            for name in names
            if not (
                outside := [
                    look.is_failing()
                    for backend, look in view.observations[name].items()
                    if backend not in place.backends and look.is_failing() is not None
                ]
            )
            or not all(outside)
        ]
        pairs = {
            (name, backend): view.observations[name][backend].is_failing()
            for name in names
            for backend in place.backends
            if backend in view.observations[name]
            and view.observations[name][backend].is_failing() is not None
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
            len(see) >= max(min(2, len(place.gateways)), len(names) / 4)
            and see
            and len(see) >= 0.75 * len(who)
            and (2 * len(backends) >= len(place.backends) or len(backends) >= 8)
            and len(backends) >= min(2, len(place.backends))
            and backends
            and len(dead) >= 0.75 * len(backends)
        ):
            named.append(zone)
    return named if 2 * len(named) <= sum(not place.is_hub for place in view.locations.values()) else []


@pytest.mark.parametrize("seed", range(150))
def test_findings_agree_with_the_plain_rules(seed):
    rng = random.Random(seed)
    zones, caches, forwarders = rng.randint(2, 5), rng.randint(1, 24), rng.randint(1, 6)
    dead = {zone for zone in range(zones) if rng.random() < 0.35}
    lie = 0.3 * rng.random()

    def looks(zone, name, backend):
        if rng.random() < 0.3:
            return None
        bad = (zone in dead) != (rng.random() < lie)
        return rng.choice([BAD if bad else GOOD, BAD if bad else GOOD, QUIET])

    heard = [f"f{zone}-{one}" for zone in range(zones) for one in range(forwarders) if rng.random() < 0.85]
    view = world(looks, zones, caches, forwarders, heard=heard)
    assert [zone for zone, one in detect_faults(view).items() if one.is_faulty] == plain(view)


@pytest.mark.parametrize("seed", range(100))
def test_observers_that_are_hurt_move_nobody(seed):
    """Fewer than a quarter of a location's forwarders see nothing but failures, everywhere."""
    rng = random.Random(seed)
    forwarders = rng.randint(5, 12)
    hurt = {f"f{zone}-{one}" for zone in range(3) for one in rng.sample(range(forwarders), forwarders // 5)}

    def looks(zone, name, backend):
        return None if rng.random() < 0.2 else BAD if name in hurt else GOOD

    assert not any(
        one.is_faulty for one in detect_faults(world(looks, caches=8, forwarders=forwarders)).values()
    )


# --- pace ---


def test_how_many_slices_may_be_back_follows_from_what_its_bes_bear():
    warming = SlowStartProfile(0.2, 15 * SECOND, 2.0)
    warm = LocationCapacity(40_000.0, 4000.0, (ReadyBackend(8.0, 1 << 40),) * 6)
    assert max_returned_slices(warm, warming) == SLICE_COUNT
    cold = LocationCapacity(
        100_000.0, 4000.0, (ReadyBackend(8.0, 0),) * 6
    )  # 48 * 0.2 * 0.8 transfers of 25 that are asked for
    assert max_returned_slices(cold, warming) == int(SLICE_COUNT * 48 * 0.2 * 0.8 / 25)
    assert max_returned_slices(LocationCapacity(100_000.0, 4000.0, ()), warming) == 0
    assert max_returned_slices(LocationCapacity(0.0, 4000.0, (ReadyBackend(8.0, 0),)), warming) == SLICE_COUNT
    assert (
        max_returned_slices(LocationCapacity(1e9, 4000.0, (ReadyBackend(8.0, 0),)), warming) == 1
    )  # its trials are to go somewhere
    assert (
        max_returned_slices(LocationCapacity(10.0, 4000.0, (ReadyBackend(float("inf"), 0),)), warming)
        == SLICE_COUNT
    )  # nobody has told their sizes
    half = LocationCapacity(
        100_000.0, 4000.0, (ReadyBackend(8.0, 0),) * 3 + (ReadyBackend(8.0, 1 << 40),) * 3
    )
    assert max_returned_slices(cold, warming) < max_returned_slices(half, warming)


def test_a_step_brings_no_more_misses_than_there_is_to_spare_and_doubles_where_copies_answer():
    bears = LocationCapacity(
        64_000.0, 4000.0, (ReadyBackend(8.0, 0),) * 6, spare_fill_rate=10_000.0, fill_rate=2_000.0
    )
    assert max_next_step(bears, 0.0, 9) == 6  # (0.8 * 10,000 - 2,000) KB/s at 1,000 a slice
    assert max_next_step(bears, 0.0, 1) == 4
    assert max_next_step(LocationCapacity(64_000.0, 4000.0, (), 10_000.0, 8_000.0), 0.0, 4) == 0
    assert (
        max_next_step(bears, 0.9, 4) == 16 and max_next_step(bears, 0.0, 2) == 6
    )  # but four times the last one at most
    assert max_next_step(LocationCapacity(0.0, 4000.0, ()), 0.0, 3) == 12


# --- the course ---


class Loop:
    """A location and its controller: what is at home is answered as the location is, and reported back."""

    def __init__(self, good, bears, rate=60.0, hits=lambda now: 0.9, zones=4, tick=2_500):
        self.good, self.bears, self.rate, self.hits, self.tick, self.now = good, bears, rate, hits, tick, 0
        self.controller = FailoverController(-SECOND * 9)
        self.total, self.part, self.path = OutcomeCounts(), 0.0, []
        self.zones = zones

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += self.tick
            state = self.controller.states.get(0)
            back = state.returned_slices if state else SLICE_COUNT
            self.part += self.rate * self.tick / SECOND * back / SLICE_COUNT
            asked = int(self.part)
            self.part -= asked
            if back == 0:
                asked = 1  # a trial
            good = self.good(self.now)
            hits = round(asked * self.hits(self.now)) if good else 0
            self.total = self.total.plus(OutcomeCounts(asked if good else 0, 0, 0 if good else asked, hits))
            self.controller.record_counts("f0", 1, 0, self.total)
            fails = not good and asked > 0 and back > 0
            findings = {zone: FAILS if zone == 0 and fails else FINE for zone in range(self.zones)}
            self.controller.update(
                findings, dict.fromkeys(range(self.zones), self.rate), {0: self.bears(self.now)}, self.now
            )
            self.path.append(
                (self.now, self.controller.states[0].phase, self.controller.states[0].returned_slices)
            )

    def changes(self):
        states = [state for _, state, _ in self.path]
        return [two for one, two in zip(states, states[1:], strict=False) if one != two]


def least_recovery_looks(location, profile, tick, kept):
    """The least looks in which all slices can return, for one who knows everything: each look as many as
    both bounds leave, and a slice misses `kept` of what it missed a look before."""
    back, fill_rate, now, last = 0, 0.0, 0, 1
    while back < SLICE_COUNT:
        aged = LocationCapacity(
            location.demand,
            location.transfer_rate,
            tuple(ReadyBackend(size, age + now) for size, age in location.backends),
            location.spare_fill_rate,
            fill_rate,
        )
        more = max_next_step(aged, 0.0, last) if back else 1
        now += tick
        more = max(0, min(more, max_returned_slices(aged, profile) - back))
        last = more or last
        back += more
        fill_rate = fill_rate * kept + more / SLICE_COUNT * location.demand
        if now > 1_000_000 * tick:
            return -1
    return now // tick


WARMED = LocationCapacity(40_000.0, 4000.0, (ReadyBackend(8.0, 1 << 40),) * 6)


def test_a_location_that_fails_is_left_and_is_back_once_it_has_proven_itself():
    loop = Loop(lambda now: not 5 * SECOND <= now < 10 * SECOND, lambda now: WARMED)
    loop.run(40 * SECOND)
    left = next(at for at, state, _ in loop.path if state == FailoverPhase.FAILED_OVER)
    again = next(at for at, state, _ in loop.path if state == FailoverPhase.RETURNING)
    full = next(at for at, state, _ in loop.path if state == FailoverPhase.IN_USE and at > again)
    assert 5 * SECOND <= left <= 5 * SECOND + 3 * loop.tick
    assert 10 * SECOND + MIN_CANARY_SPAN <= again <= 10 * SECOND + MIN_CANARY_SPAN + 4 * loop.tick
    assert full - again <= 5 * MIN_STEP_INTERVAL  # its copies are there: no step waits for fills
    assert loop.changes() == [FailoverPhase.FAILED_OVER, FailoverPhase.RETURNING, FailoverPhase.IN_USE]
    assert "all of its slices are back" in "\n".join(loop.controller.explain(0, loop.now))


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
    warming, sizes = SlowStartProfile(), (ReadyBackend(8.0, 0),) * 6
    misses, born = [0.0], 10 * SECOND

    def bears(now):
        aged = tuple(ReadyBackend(size, max(0, now - born)) for size, _ in sizes)
        return LocationCapacity(demand, 4000.0, aged, spare, misses[0])

    loop = Loop(lambda now: not 5 * SECOND <= now < born, bears, hits=lambda now: 0.1)
    before, began = SLICE_COUNT, None
    while began is None or before < SLICE_COUNT:
        loop.run(loop.tick)
        back = loop.controller.states[0].returned_slices
        misses[0] *= 0.8
        if loop.now > born and back > before:
            misses[0] += (back - before) / SLICE_COUNT * demand
            assert misses[0] <= spare and back <= max(1, max_returned_slices(bears(loop.now), warming))
            began = began or loop.now
        before = back
        assert loop.now < 100 * SECOND
    start = tuple(ReadyBackend(size, began - born) for size, _ in sizes)
    best = least_recovery_looks(LocationCapacity(demand, 4000.0, start, spare, 0.0), warming, loop.tick, 0.8)
    assert loop.now - began <= 1.5 * best * loop.tick + 4 * MIN_STEP_INTERVAL


@pytest.mark.parametrize("seed", range(120))
def test_a_course_keeps_its_rules_whatever_comes(seed):
    """Locations that fail and come back at random; all rules are checked from the outside."""
    rng = random.Random(seed)
    zones = rng.randint(2, 6)
    traffic = {zone: rng.choice((1.0, 5.0, 20.0)) for zone in range(zones)}
    controller, now, totals = FailoverController(-9 * SECOND), 0, dict.fromkeys(range(zones), OutcomeCounts())
    left_at, wells, proven, proved, steps = {}, dict.fromkeys(range(zones), 0), {}, {}, {}
    before = {}
    for _ in range(400):
        now += rng.choice((1_000, 2_500, 2_500, 6_000))
        findings, bears = {}, {}
        for zone in range(zones):
            bad = rng.random() < (0.3 if zone % 2 else 0.05)
            findings[zone] = FAILS if bad else FINE
            bears[zone] = LocationCapacity(
                rng.choice((0.0, 40_000.0)),
                4000.0,
                (ReadyBackend(8.0, rng.randrange(200_000)),) * rng.randint(0, 6),
                rng.choice((1e9, 20_000.0)),
                0.0,
            )
            if rng.random() < 0.6:
                ended = OutcomeCounts(
                    rng.randrange(6),
                    rng.randrange(3) if bad else 0,
                    rng.randrange(3) if bad else 0,
                    rng.randrange(3),
                )
                totals[zone] = totals[zone].plus(ended)
                controller.record_counts("f", 1, zone, totals[zone])
                if before.get(zone, (FailoverPhase.IN_USE,))[0] == FailoverPhase.FAILED_OVER:
                    if ended.failed or ended.late > ended.on_time:
                        wells[zone] = 0
                    elif ended.on_time:
                        proven[zone] = proven[zone] if wells[zone] else now
                        wells[zone] += ended.on_time + ended.late
                        proved[zone] = now
        controller.update(findings, traffic, bears, now)
        away_now = 0.0
        for zone, one in controller.states.items():
            state, back, fails = before.get(zone, (FailoverPhase.IN_USE, SLICE_COUNT, 0))
            if state == FailoverPhase.IN_USE and one.phase == FailoverPhase.FAILED_OVER:
                away_now += traffic[zone]
            if one.phase == FailoverPhase.FAILED_OVER and state != FailoverPhase.FAILED_OVER:
                assert findings[zone].is_faulty or state == FailoverPhase.RETURNING
                again = state == FailoverPhase.RETURNING or (
                    zone in left_at and now - one.stable_since < failover_control.STABLE_SPAN
                )
                left_at[zone], wells[zone] = now, 0
                assert one.returned_slices == 0 and one.failed_returns == min(
                    failover_state.MAX_FAILED_RETURNS, fails + again
                )
            if state == FailoverPhase.FAILED_OVER and one.phase == FailoverPhase.RETURNING:
                assert now - left_at[zone] >= MIN_OUTAGE << fails
                assert (
                    wells[zone] >= MIN_CANARIES and proved[zone] - proven[zone] >= MIN_CANARY_SPAN * 3**fails
                )
                assert one.returned_slices == 1 and bears[zone].backends
                steps[zone] = now
            elif state == FailoverPhase.RETURNING and one.returned_slices > back:
                assert now - steps[zone] >= MIN_STEP_INTERVAL and one.returned_slices <= max_returned_slices(
                    bears[zone], SlowStartProfile()
                )
                steps[zone] = now
            elif state == FailoverPhase.RETURNING and one.returned_slices < back:
                steps[zone] = now
            assert (one.phase == FailoverPhase.IN_USE) == (
                one.returned_slices == SLICE_COUNT
            ) and 0 <= one.returned_slices <= SLICE_COUNT
            before[zone] = one.phase, one.returned_slices, one.failed_returns
        if away_now:
            out = sum(
                rate
                for zone, rate in traffic.items()
                if controller.states[zone].phase == FailoverPhase.FAILED_OVER
            )
            assert away_now <= MAX_TRAFFIC_AWAY * sum(traffic.values()) + 1e-6 or out == away_now


def test_no_more_than_half_of_the_traffic_leaves():
    controller, traffic = FailoverController(-9 * SECOND), dict.fromkeys(range(4), 10.0)
    for now in range(0, 5 * SECOND, 2_500):
        controller.update({zone: FAILS if zone < 3 else FINE for zone in range(4)}, traffic, {}, now)
    states = [controller.states[zone].phase for zone in range(4)]
    assert states.count(FailoverPhase.FAILED_OVER) == 2 and "half" not in states
    assert "50% of the traffic" in controller.states[2].waiting_for


def test_a_second_location_that_fails_while_the_first_returns_waits_for_room():
    controller, traffic = FailoverController(-9 * SECOND), {0: 10.0, 1: 10.0, 2: 5.0}
    for now in (1, 2, 3):
        controller.update({0: FAILS, 1: FINE, 2: FINE}, traffic, {}, now)
    for now in (4, 5, 6):
        controller.update({0: FINE, 1: FAILS, 2: FINE}, traffic, {}, now)
    assert [controller.states[zone].phase for zone in range(3)] == [
        FailoverPhase.FAILED_OVER,
        FailoverPhase.IN_USE,
        FailoverPhase.IN_USE,
    ]
    controller.states[0].returned_slices, controller.states[0].phase = (
        SLICE_COUNT - 16,
        FailoverPhase.RETURNING,
    )  # three quarters are back
    controller.update({0: FINE, 1: FAILS, 2: FINE}, traffic, {0: WARMED}, 7)
    assert controller.states[1].phase == FailoverPhase.FAILED_OVER


def test_who_begins_to_decide_takes_up_what_forwarders_keep_to():
    controller = FailoverController(0)
    controller.adopt({0: FailoverStatus(0, 2), 1: FailoverStatus(20, 0)}, 100)
    assert [(controller.states[zone].phase, controller.states[zone].returned_slices) for zone in (0, 1)] == [
        (FailoverPhase.FAILED_OVER, 0),
        (FailoverPhase.RETURNING, 20),
    ]
    assert controller.is_listening(100) and not controller.is_listening(2 * SECOND)
    told = controller.directives({0: ("f0", "f1")}, 100)
    assert (
        told[0].failed_returns == 2
        and told[0].canary_gateway in ("f0", "f1")
        and told[1].returned_slices == 20
        and not told[1].canary_gateway
    )
    controller.adopt({0: FailoverStatus(0, 2)}, 200)
    assert controller.states[1].phase == FailoverPhase.IN_USE


def test_counts_of_a_process_before_and_what_came_before_the_first_are_passed_over():
    controller = FailoverController(0)
    controller.record_counts("f", 1, 0, OutcomeCounts(100, 0, 50, 90))
    assert 0 not in controller.states or controller.states[0].outcomes == OutcomeCounts()
    controller.record_counts("f", 1, 0, OutcomeCounts(103, 0, 50, 91))
    assert controller.states[0].outcomes == OutcomeCounts(3, 0, 0, 1)
    controller.record_counts("f", 2, 0, OutcomeCounts(1, 0, 0, 0))
    controller.record_counts("f", 2, 0, OutcomeCounts(2, 1, 0, 0))
    assert controller.states[0].outcomes == OutcomeCounts(4, 1, 0, 1)
    controller.forget_gateway("f")
    assert not controller.reported_counts


def test_trials_go_by_turns():
    controller = FailoverController(0)
    controller.adopt({0: FailoverStatus(0, 0)}, 0)
    who = {0: ("a", "b", "c")}
    assert [controller.directives(who, turn * CANARY_TURN)[0].canary_gateway for turn in range(4)] == [
        "a",
        "b",
        "c",
        "a",
    ]


# --- a forwarder ---


def test_a_plan_is_followed_down_at_once_and_up_at_its_pace():
    gateway = LocalFailover("f0", 4, 150_000)
    left = gateway.update({0: FailoverDirective(0, slices_per_second=8.0)}, 0)[0]
    assert left.returned_slices == 0 and left.canaries_only
    gateway.update({0: FailoverDirective(64, slices_per_second=8.0)}, 2_500)
    assert left.returned_slices == 2
    gateway.update({}, 5_000)  # another planner's, that knows nothing of it
    assert left.returned_slices == 4 and gateway.limited_returns
    gateway.update({0: FailoverDirective(1, slices_per_second=8.0)}, 7_500)
    assert left.returned_slices == 1
    assert (
        gateway.update({}, 7_500 + 100 * SECOND)[0].returned_slices <= 1 + 4
    )  # not asked for long: no jump either


@pytest.mark.parametrize("seed", range(150))
def test_no_row_of_plans_moves_a_forwarder_faster_than_the_highest_pace_told(seed):
    rng = random.Random(seed)
    gateway, now, path = LocalFailover("f0", rng.randint(1, 9), 150_000), 0, []
    top = 64 * SECOND / 150_000
    plan = None
    for _ in range(200):
        now += rng.choice((100, 2_500, 2_500, 40_000))
        if rng.random() < 0.5:
            plan = rng.choice(
                [
                    None,
                    {},
                    {
                        0: FailoverDirective(
                            rng.randrange(65), rng.randrange(3), rng.choice((0.5, 4.0, 16.0)), "f0"
                        )
                    },
                    plan,
                ]
            )
        if plan and 0 in plan:
            top = max(top, plan[0].slices_per_second)
        for _ in range(rng.randrange(3)):
            gateway.attempt_ended(0, rng.choice(("well", "well", "late", "failed")), True, now, now)
        left = gateway.update(plan, now)
        path.append((now, left[0].returned_slices if 0 in left else SLICE_COUNT))
    rises = [(two[0], two[1] - one[1], two[0] - one[0]) for one, two in zip(path, path[1:], strict=False)]
    assert all(rise <= top * span / SECOND + max(1.0, top / 2) for _, rise, span in rises)
    for begin in range(0, len(path), 20):  # and over longer spans
        span, rise = path[-1][0] - path[begin][0], sum(max(0, one[1]) for one in rises[begin:])
        assert rise <= top * span / SECOND + max(1.0, top / 2) + 1


def test_forwarders_alone_return_no_faster_than_its_bes_grow_warm():
    """Twenty without a plan, each at its own time: never more of the slices than the age of its bes bears."""
    gateways = [LocalFailover(f"f{number}", 20, 150_000) for number in range(20)]
    clocks = [777 * number for number in range(20)]
    for gateway, clock in zip(gateways, clocks, strict=True):
        gateway.update({0: FailoverDirective(0)}, clock)
    asked, now, least_full = [], 0, None
    while now < 120 * SECOND:
        now += 2_500
        backs = []
        for gateway, clock in zip(gateways, clocks, strict=True):
            left = gateway.update(None, clock + now).get(0)
            back = left.returned_slices if left else SLICE_COUNT
            backs.append(back)
            if left is None or back or not left.is_away("k 0", True, clock + now):
                gateway.attempt_ended(0, "well", True, clock + now, clock + now)
        asked.append((now, max(backs)))
        if min(backs) == SLICE_COUNT and least_full is None:
            least_full = now
    assert all(back <= 1 + SLICE_COUNT * at / 150_000 for at, back in asked)
    assert least_full is not None and least_full < 90 * SECOND


def test_a_forwarder_alone_takes_all_back_where_it_fails_and_waits_three_times_as_long():
    gateway = LocalFailover("f0", 1, 150_000)
    for now in (0, 5_000, 10_000, 15_000):
        assert gateway.update({0: FailoverDirective(9)}, now)[0].returned_slices == now // 2_500
    gateway.update(None, 17_500)
    for _ in range(4):
        gateway.attempt_ended(0, "failed", False, 18_000, 18_000)
    left = gateway.update(None, 20_000)[0]
    assert left.returned_slices == 0 and gateway.statuses() == {0: (0, 1)}
    for now in range(21_000, 21_000 + 3 * MIN_CANARY_SPAN, 500):
        gateway.attempt_ended(0, "well", True, now, now)
        assert gateway.update(None, now)[0].returned_slices == 0
    gateway.attempt_ended(0, "well", True, 21_000 + 3 * MIN_CANARY_SPAN, 0)
    assert gateway.update(None, 21_000 + 3 * MIN_CANARY_SPAN + 500)[0].returned_slices == 1


def test_trials_are_one_at_a_time_and_only_of_what_may_be_repeated():
    left = SliceFailover(0, 0, True)
    assert left.is_away("a 0", False, 10)
    assert not left.is_away("a 0", True, 10) and left.is_away("b 0", True, 11)
    assert not left.is_away("b 0", True, 10 + CANARY_TURN)
    gateway = LocalFailover("f0", 1, 150_000)
    mine = gateway.update({0: FailoverDirective(0, canary_gateway="f0")}, 0)[0]
    assert not mine.is_away("a 0", True, 0) and mine.is_away("a 0", True, 500)
    gateway.attempt_ended(0, "well", True, 600, 600)
    assert mine.is_away("a 0", True, 600) and not mine.is_away("a 0", True, 600 + MIN_CANARY_INTERVAL)


def test_what_of_a_location_is_back_is_asked_for_at_home():
    left = SliceFailover(3, 20)
    homes = [
        place for place in (f"o{number} 0" for number in range(1000)) if not left.is_away(place, True, 0)
    ]
    assert 230 < len(homes) < 400 and all(return_positions(3)[slice_index(place)] < 20 for place in homes)


def test_what_is_away_is_spread_by_what_others_have_to_spare_and_moves_as_little_as_it_must():
    even = substitutes.distribute_demand({0: 50.0, 2: 50.0}, 40.0)
    assert even == ((0, 0.5), (2, 0.5))
    short = substitutes.distribute_demand({0: 10.0, 2: 0.0}, 40.0)
    assert short == ((0, 0.2), (BYPASS_ZONE, 0.8)) and substitutes.distribute_demand({0: 0.0}, 40.0) == ()
    places = [f"o{number} 0" for number in range(4000)]
    before = {place: substitutes.substitute_zone(place, ((0, 0.5), (2, 0.5))) for place in places}
    after = {place: substitutes.substitute_zone(place, ((0, 0.5), (2, 0.5), (3, 0.25))) for place in places}
    assert 1800 < sum(zone == 0 for zone in before.values()) < 2200
    moved = [place for place in places if before[place] != after[place]]
    assert all(after[place] == 3 for place in moved) and 700 < len(moved) < 900
