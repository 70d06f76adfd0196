"""Tests of location failover and return: each module against its rules, on generated inputs."""

import random

import pytest

from lilacloft.failover import failover_control, failover_state, substitutes
from lilacloft.failover.failover_control import (
    MAX_FAILED_OVER_TRAFFIC,
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
from lilacloft.failover.hash_slices import SLICE_COUNT, is_failed_over, return_positions, slice_index
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
WORKING, FAILING, UNOBSERVED = (
    BackendObservation(answered_lately=True),
    BackendObservation(failure_streak=2),
    BackendObservation(),
)
FAULT = Finding(Diagnosis.CACHES_FAIL, True, ("a", "b"), (), 4, 4)
NO_FAULT = Finding(Diagnosis.NO_FAULT, False, (), ("a", "b"), 0, 4)

# --- slices ---


def test_slices_are_even_and_each_location_has_its_own_order():
    counts = [0] * SLICE_COUNT
    for number in range(64_000):
        counts[slice_index(f"{number:016x} {number % 3}")] += 1
    assert min(counts) > 800 and max(counts) < 1200
    assert sorted(return_positions(0)) == list(range(SLICE_COUNT)) and return_positions(
        0
    ) != return_positions(1)


def test_returning_more_slices_never_removes_one():
    for number in range(300):
        placement_key = f"o{number} 0"
        states = [
            is_failed_over(placement_key, 2, returned_slices) for returned_slices in range(SLICE_COUNT + 1)
        ]
        assert states == sorted(states, reverse=True) and states[0] and not states[-1]


# --- fault detection ---


def make_view(observe, zones=3, caches=4, gateways=3, parents=2, heard=None):
    """A view of locations `z` with caches `cz-n` and gateways `fz-n`, and one hub with parents. `observe`
    returns a gateway's observation of a backend."""
    locations = {
        zone: Location(
            tuple(f"c{zone}-{index}" for index in range(caches)),
            tuple(f"f{zone}-{index}" for index in range(gateways)),
        )
        for zone in range(zones)
    }
    locations[-1] = Location(tuple(f"p{index}" for index in range(parents)), (), True)
    observations = {
        name: {
            backend: observation
            for backend in [*location.backends, *locations[-1].backends]
            if (observation := observe(zone, name, backend)) is not None
        }
        for zone, location in locations.items()
        for name in location.gateways
    }
    return FleetView(locations, observations, frozenset(observations) if heard is None else frozenset(heard))


def failing_caches_of(*zones):
    return lambda zone, name, backend: FAILING if zone in zones and backend[0] == "c" else WORKING


CASES = {
    "no failures": (lambda *_: WORKING, {}),
    "caches of one location": (failing_caches_of(1), {1: Diagnosis.CACHES_FAIL}),
    "caches of two of three locations": (
        failing_caches_of(0, 1),
        {0: Diagnosis.SHARED_FAULT, 1: Diagnosis.SHARED_FAULT},
    ),
    "caches of all locations": (
        failing_caches_of(0, 1, 2),
        {0: Diagnosis.SHARED_FAULT, 1: Diagnosis.SHARED_FAULT, 2: Diagnosis.SHARED_FAULT},
    ),
    "bad path of one gateway": (lambda zone, name, backend: FAILING if name == "f1-0" else WORKING, {}),
    "half of the caches of a location": (
        lambda zone, name, backend: FAILING if zone == 1 and backend in ("c1-0", "c1-1") else WORKING,
        {},
    ),
    "three of four caches": (
        lambda zone, name, backend: FAILING if zone == 1 and backend in ("c1-0", "c1-1", "c1-2") else WORKING,
        {1: Diagnosis.CACHES_FAIL},
    ),
    "observed by two of three gateways": (
        lambda zone, name, backend: FAILING
        if zone == 1 and name != "f1-2" and backend[0] == "c"
        else WORKING,
        {},
    ),
    "no observations": (
        lambda zone, name, backend: UNOBSERVED if zone == 1 and backend[0] == "c" else WORKING,
        {1: Diagnosis.TOO_FEW_OBSERVATIONS},
    ),
    "one of four caches observed": (
        lambda zone, name, backend: (FAILING if backend == "c1-0" else UNOBSERVED)
        if zone == 1 and backend[0] == "c"
        else WORKING,
        {},
    ),
    "parents of the hub": (
        lambda zone, name, backend: FAILING if backend[0] == "p" else WORKING,
        {
            0: Diagnosis.TOO_FEW_OBSERVATIONS,
            1: Diagnosis.TOO_FEW_OBSERVATIONS,
            2: Diagnosis.TOO_FEW_OBSERVATIONS,
            -1: Diagnosis.SHARED_FAULT,
        },
    ),
    "fills of one location": (
        lambda zone, name, backend: BackendObservation(missing_fills=2)
        if zone == 1 and backend[0] == "p"
        else BackendObservation(completed_fills=3)
        if backend[0] == "p"
        else WORKING,
        {1: Diagnosis.SOURCE_PATH_FAILS},
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_diagnosis_follows_from_which_gateways_observe_failures(name):
    observe, expected = CASES[name]
    findings = detect_faults(make_view(observe))
    assert {
        zone: finding.diagnosis
        for zone, finding in findings.items()
        if finding.diagnosis != Diagnosis.NO_FAULT
    } == expected
    assert [zone for zone, finding in findings.items() if finding.is_faulty] == [
        zone for zone, diagnosis in expected.items() if diagnosis == Diagnosis.CACHES_FAIL
    ]


def test_hub_is_faulty_if_gateways_of_all_locations_observe_it_failing():
    view = make_view(
        lambda zone, name, backend: BackendObservation(missing_fills=1) if backend[0] == "p" else WORKING
    )
    view.locations[-2] = Location(("q0", "q1"), (), True)
    for name in view.observations:
        view.observations[name].update(
            q0=BackendObservation(completed_fills=1), q1=BackendObservation(completed_fills=1)
        )
    findings = detect_faults(view)
    assert (
        findings[-1].is_faulty
        and findings[-1].diagnosis == Diagnosis.PARENTS_FAIL
        and not findings[-2].is_faulty
    )
    assert not any(findings[zone].is_faulty for zone in (0, 1, 2))


def test_no_fault_is_found_where_most_gateways_are_not_heard():
    heard = [f"f{zone}-{index}" for zone in (0, 2) for index in range(3)] + ["f1-0"]
    findings = detect_faults(make_view(failing_caches_of(1), heard=heard))
    assert findings[1].diagnosis == Diagnosis.GATEWAYS_NOT_HEARD and not findings[1].is_faulty
    assert str(findings[1]) == Diagnosis.GATEWAYS_NOT_HEARD


def test_gateways_that_observe_only_failures_elsewhere_do_not_vote():
    def observe(zone, name, backend):
        if name in ("f1-0", "f1-1"):
            return FAILING
        return UNOBSERVED if name == "f1-2" and backend[0] == "c" else WORKING

    # two of three gateways of a location, and the third has no observations
    findings = detect_faults(make_view(observe))
    assert findings[1].diagnosis == Diagnosis.TOO_FEW_OBSERVATIONS and not findings[1].is_faulty
    findings_with_parents = detect_faults(
        make_view(lambda zone, name, backend: WORKING if backend[0] == "p" else observe(zone, name, backend))
    )
    # they reach the parents, so the location is at fault
    assert findings_with_parents[1].is_faulty and findings_with_parents[1].failing_at == ("f1-0", "f1-1")


def test_hub_is_not_faulty_if_few_gateways_observe_failures():
    def observe(zone, name, backend):
        if backend[0] != "p":
            return WORKING
        return (
            BackendObservation(missing_fills=3)
            if backend == "p0" and name in ("f0-0", "f1-0")
            else UNOBSERVED
        )

    view = make_view(observe, gateways=4, parents=1)
    view.locations[-2] = Location(("q0",), (), True)
    assert not detect_faults(view)[-1].is_faulty


def test_finding_is_readable():
    assert str(detect_faults(make_view(failing_caches_of(1)))[1]) == (
        "its caches fail: 4 of 4 that were looked at fail, as 3 of 3 forwarders see it"
    )


def reference_findings(view):
    """A direct implementation of the rules of `fault_detection` for caches, over pairs of gateway and
    backend."""
    faulty = []
    for zone, location in view.locations.items():
        if location.is_hub:
            continue
        voters = [name for name in location.gateways if name in view.heard]
        if len(voters) * 2 < len(location.gateways):
            continue
        voters = [
            name
            for name in voters
            if not (
                outside := [
                    observation.is_failing()
                    for backend, observation in view.observations[name].items()
                    if backend not in location.backends and observation.is_failing() is not None
                ]
            )
            or not all(outside)
        ]
        pairs = {
            (name, backend): view.observations[name][backend].is_failing()
            for name in voters
            for backend in location.backends
            if backend in view.observations[name]
            and view.observations[name][backend].is_failing() is not None
        }
        observers = {name for name, _ in pairs}
        agreeing = {
            name
            for name in observers
            if sum(fails for (other, _), fails in pairs.items() if other == name)
            >= 0.75 * sum(other == name for other, _ in pairs)
        }
        backends = {backend for _, backend in pairs}
        failing = {
            backend
            for backend in backends
            if sum(fails for (_, other), fails in pairs.items() if other == backend)
            > sum(not fails for (_, other), fails in pairs.items() if other == backend)
        }
        if (
            len(agreeing) >= max(min(2, len(location.gateways)), len(voters) / 4)
            and agreeing
            and len(agreeing) >= 0.75 * len(observers)
            and (2 * len(backends) >= len(location.backends) or len(backends) >= 8)
            and len(backends) >= min(2, len(location.backends))
            and backends
            and len(failing) >= 0.75 * len(backends)
        ):
            faulty.append(zone)
    return (
        faulty if 2 * len(faulty) <= sum(not location.is_hub for location in view.locations.values()) else []
    )


@pytest.mark.parametrize("seed", range(150))
def test_findings_agree_with_the_reference_rules(seed):
    rng = random.Random(seed)
    zones, caches, gateways = rng.randint(2, 5), rng.randint(1, 24), rng.randint(1, 6)
    failing = {zone for zone in range(zones) if rng.random() < 0.35}
    error_rate = 0.3 * rng.random()

    def observe(zone, name, backend):
        if rng.random() < 0.3:
            return None
        fails = (zone in failing) != (rng.random() < error_rate)
        return rng.choice([FAILING if fails else WORKING, FAILING if fails else WORKING, UNOBSERVED])

    heard = [f"f{zone}-{index}" for zone in range(zones) for index in range(gateways) if rng.random() < 0.85]
    view = make_view(observe, zones, caches, gateways, heard=heard)
    assert [zone for zone, finding in detect_faults(view).items() if finding.is_faulty] == reference_findings(
        view
    )


@pytest.mark.parametrize("seed", range(100))
def test_gateways_with_bad_paths_cause_no_failover(seed):
    """Less than a quarter of a location's gateways observe only failures, at all locations."""
    rng = random.Random(seed)
    gateways = rng.randint(5, 12)
    bad_path = {
        f"f{zone}-{index}" for zone in range(3) for index in rng.sample(range(gateways), gateways // 5)
    }

    def observe(zone, name, backend):
        return None if rng.random() < 0.2 else FAILING if name in bad_path else WORKING

    assert not any(
        finding.is_faulty
        for finding in detect_faults(make_view(observe, caches=8, gateways=gateways)).values()
    )


# --- recovery ramp ---


def test_number_of_returned_slices_is_bounded_by_backend_capacity():
    slow_start = SlowStartProfile(0.2, 15 * SECOND, 2.0)
    warm = LocationCapacity(40_000.0, 4000.0, (ReadyBackend(8.0, 1 << 40),) * 6)
    assert max_returned_slices(warm, slow_start) == SLICE_COUNT
    # serves 48 * 0.2 * 0.8 transfers of the 25 requested
    cold = LocationCapacity(100_000.0, 4000.0, (ReadyBackend(8.0, 0),) * 6)
    assert max_returned_slices(cold, slow_start) == int(SLICE_COUNT * 48 * 0.2 * 0.8 / 25)
    assert max_returned_slices(LocationCapacity(100_000.0, 4000.0, ()), slow_start) == 0
    assert (
        max_returned_slices(LocationCapacity(0.0, 4000.0, (ReadyBackend(8.0, 0),)), slow_start) == SLICE_COUNT
    )
    # at least one slice, for the canaries
    assert max_returned_slices(LocationCapacity(1e9, 4000.0, (ReadyBackend(8.0, 0),)), slow_start) == 1
    # unknown capacities
    assert (
        max_returned_slices(LocationCapacity(10.0, 4000.0, (ReadyBackend(float("inf"), 0),)), slow_start)
        == SLICE_COUNT
    )
    half = LocationCapacity(
        100_000.0, 4000.0, (ReadyBackend(8.0, 0),) * 3 + (ReadyBackend(8.0, 1 << 40),) * 3
    )
    assert max_returned_slices(cold, slow_start) < max_returned_slices(half, slow_start)


def test_next_step_is_bounded_by_spare_fill_rate_and_by_growth():
    capacity = LocationCapacity(
        64_000.0, 4000.0, (ReadyBackend(8.0, 0),) * 6, spare_fill_rate=10_000.0, fill_rate=2_000.0
    )
    assert max_next_step(capacity, 0.0, 9) == 6  # (0.8 * 10,000 - 2,000) KB/s at 1,000 KB/s per slice
    assert max_next_step(capacity, 0.0, 1) == 4
    assert max_next_step(LocationCapacity(64_000.0, 4000.0, (), 10_000.0, 8_000.0), 0.0, 4) == 0
    # at most four times the last step
    assert max_next_step(capacity, 0.9, 4) == 16 and max_next_step(capacity, 0.0, 2) == 6
    assert max_next_step(LocationCapacity(0.0, 4000.0, ()), 0.0, 3) == 12


# --- failover controller ---


class SimulatedLocation:
    """A location and its controller: requests of the returned slices are answered while the location works,
    and the outcomes reported to the controller."""

    def __init__(self, is_working, capacity, rate=60.0, hit_ratio=lambda now: 0.9, zones=4, tick=2_500):
        self.is_working, self.capacity, self.rate, self.hit_ratio, self.tick, self.now = (
            is_working,
            capacity,
            rate,
            hit_ratio,
            tick,
            0,
        )
        self.controller = FailoverController(-SECOND * 9)
        self.total, self.fraction, self.path = OutcomeCounts(), 0.0, []
        self.zones = zones

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += self.tick
            state = self.controller.states.get(0)
            returned = state.returned_slices if state else SLICE_COUNT
            self.fraction += self.rate * self.tick / SECOND * returned / SLICE_COUNT
            requests = int(self.fraction)
            self.fraction -= requests
            if returned == 0:
                requests = 1  # a canary
            is_working = self.is_working(self.now)
            hits = round(requests * self.hit_ratio(self.now)) if is_working else 0
            self.total = self.total.plus(
                OutcomeCounts(requests if is_working else 0, 0, 0 if is_working else requests, hits)
            )
            self.controller.record_counts("f0", 1, 0, self.total)
            is_faulty = not is_working and requests > 0 and returned > 0
            findings = {zone: FAULT if zone == 0 and is_faulty else NO_FAULT for zone in range(self.zones)}
            self.controller.update(
                findings, dict.fromkeys(range(self.zones), self.rate), {0: self.capacity(self.now)}, self.now
            )
            self.path.append(
                (self.now, self.controller.states[0].phase, self.controller.states[0].returned_slices)
            )

    def changes(self):
        states = [state for _, state, _ in self.path]
        return [after for before, after in zip(states, states[1:], strict=False) if before != after]


def min_recovery_steps(location, profile, tick, remaining_misses):
    """The minimum number of steps in which all slices can return, with full knowledge: each step returns as
    many as both bounds allow, and a slice misses `remaining_misses` of what it missed one step before."""
    returned, fill_rate, now, last_step = 0, 0.0, 0, 1
    while returned < SLICE_COUNT:
        current = LocationCapacity(
            location.demand,
            location.transfer_rate,
            tuple(ReadyBackend(backend_capacity, age + now) for backend_capacity, age in location.backends),
            location.spare_fill_rate,
            fill_rate,
        )
        step = max_next_step(current, 0.0, last_step) if returned else 1
        now += tick
        step = max(0, min(step, max_returned_slices(current, profile) - returned))
        last_step = step or last_step
        returned += step
        fill_rate = fill_rate * remaining_misses + step / SLICE_COUNT * location.demand
        if now > 1_000_000 * tick:
            return -1
    return now // tick


WARM_CAPACITY = LocationCapacity(40_000.0, 4000.0, (ReadyBackend(8.0, 1 << 40),) * 6)


def test_failing_location_fails_over_and_returns_after_its_canaries_succeed():
    simulated = SimulatedLocation(lambda now: not 5 * SECOND <= now < 10 * SECOND, lambda now: WARM_CAPACITY)
    simulated.run(40 * SECOND)
    failed_over_at = next(at for at, state, _ in simulated.path if state == FailoverPhase.FAILED_OVER)
    returning_at = next(at for at, state, _ in simulated.path if state == FailoverPhase.RETURNING)
    in_use_at = next(
        at for at, state, _ in simulated.path if state == FailoverPhase.IN_USE and at > returning_at
    )
    assert 5 * SECOND <= failed_over_at <= 5 * SECOND + 3 * simulated.tick
    assert 10 * SECOND + MIN_CANARY_SPAN <= returning_at <= 10 * SECOND + MIN_CANARY_SPAN + 4 * simulated.tick
    # the caches have their copies: no step waits for fills
    assert in_use_at - returning_at <= 5 * MIN_STEP_INTERVAL
    assert simulated.changes() == [FailoverPhase.FAILED_OVER, FailoverPhase.RETURNING, FailoverPhase.IN_USE]
    assert "all of its slices are back" in "\n".join(simulated.controller.explain(0, simulated.now))


def test_location_flapping_for_ten_minutes_changes_phase_at_most_four_times():
    for offset in range(0, 60_000, 7_000):
        simulated = SimulatedLocation(
            lambda now, offset=offset: (now + offset) // (3 * SECOND) % 2 == 0, lambda now: WARM_CAPACITY
        )
        simulated.run(600 * SECOND)
        assert 1 <= len(simulated.changes()) <= 4, (offset, simulated.changes())


@pytest.mark.parametrize(
    "demand, spare_fill_rate", [(100_000.0, 40_000.0), (100_000.0, 12_000.0), (30_000.0, 40_000.0)]
)
def test_cold_return_keeps_its_bounds_and_is_nearly_as_fast_as_possible(demand, spare_fill_rate):
    """All requests of a returned slice miss at first; the misses fall by a fifth every quarter of a
    second."""
    slow_start, backends = SlowStartProfile(), (ReadyBackend(8.0, 0),) * 6
    misses, started_at = [0.0], 10 * SECOND

    def capacity(now):
        current_backends = tuple(
            ReadyBackend(backend_capacity, max(0, now - started_at)) for backend_capacity, _ in backends
        )
        return LocationCapacity(demand, 4000.0, current_backends, spare_fill_rate, misses[0])

    simulated = SimulatedLocation(
        lambda now: not 5 * SECOND <= now < started_at, capacity, hit_ratio=lambda now: 0.1
    )
    before, returning_since = SLICE_COUNT, None
    while returning_since is None or before < SLICE_COUNT:
        simulated.run(simulated.tick)
        returned = simulated.controller.states[0].returned_slices
        misses[0] *= 0.8
        if simulated.now > started_at and returned > before:
            misses[0] += (returned - before) / SLICE_COUNT * demand
            assert misses[0] <= spare_fill_rate and returned <= max(
                1, max_returned_slices(capacity(simulated.now), slow_start)
            )
            returning_since = returning_since or simulated.now
        before = returned
        assert simulated.now < 100 * SECOND
    start = tuple(
        ReadyBackend(backend_capacity, returning_since - started_at) for backend_capacity, _ in backends
    )
    min_steps = min_recovery_steps(
        LocationCapacity(demand, 4000.0, start, spare_fill_rate, 0.0), slow_start, simulated.tick, 0.8
    )
    assert simulated.now - returning_since <= 1.5 * min_steps * simulated.tick + 4 * MIN_STEP_INTERVAL


@pytest.mark.parametrize("seed", range(120))
def test_random_failovers_keep_all_rules(seed):
    """Locations fail and recover at random; all rules are checked from outside of the controller."""
    rng = random.Random(seed)
    zones = rng.randint(2, 6)
    traffic = {zone: rng.choice((1.0, 5.0, 20.0)) for zone in range(zones)}
    controller, now, totals = FailoverController(-9 * SECOND), 0, dict.fromkeys(range(zones), OutcomeCounts())
    failed_over_at, answered_canaries, first_canary_at, last_canary_at, last_step_at = (
        {},
        dict.fromkeys(range(zones), 0),
        {},
        {},
        {},
    )
    before = {}
    for _ in range(400):
        now += rng.choice((1_000, 2_500, 2_500, 6_000))
        findings, capacities = {}, {}
        for zone in range(zones):
            is_failing = rng.random() < (0.3 if zone % 2 else 0.05)
            findings[zone] = FAULT if is_failing else NO_FAULT
            capacities[zone] = LocationCapacity(
                rng.choice((0.0, 40_000.0)),
                4000.0,
                (ReadyBackend(8.0, rng.randrange(200_000)),) * rng.randint(0, 6),
                rng.choice((1e9, 20_000.0)),
                0.0,
            )
            if rng.random() < 0.6:
                counts = OutcomeCounts(
                    rng.randrange(6),
                    rng.randrange(3) if is_failing else 0,
                    rng.randrange(3) if is_failing else 0,
                    rng.randrange(3),
                )
                totals[zone] = totals[zone].plus(counts)
                controller.record_counts("f", 1, zone, totals[zone])
                if before.get(zone, (FailoverPhase.IN_USE,))[0] == FailoverPhase.FAILED_OVER:
                    if counts.failed or counts.late > counts.on_time:
                        answered_canaries[zone] = 0
                    elif counts.on_time:
                        first_canary_at[zone] = first_canary_at[zone] if answered_canaries[zone] else now
                        answered_canaries[zone] += counts.on_time + counts.late
                        last_canary_at[zone] = now
        controller.update(findings, traffic, capacities, now)
        newly_failed_over = 0.0
        for zone, state in controller.states.items():
            phase, returned, failed_returns = before.get(zone, (FailoverPhase.IN_USE, SLICE_COUNT, 0))
            if phase == FailoverPhase.IN_USE and state.phase == FailoverPhase.FAILED_OVER:
                newly_failed_over += traffic[zone]
            if state.phase == FailoverPhase.FAILED_OVER and phase != FailoverPhase.FAILED_OVER:
                assert findings[zone].is_faulty or phase == FailoverPhase.RETURNING
                is_failed_return = phase == FailoverPhase.RETURNING or (
                    zone in failed_over_at and now - state.stable_since < failover_control.STABLE_SPAN
                )
                failed_over_at[zone], answered_canaries[zone] = now, 0
                assert state.returned_slices == 0 and state.failed_returns == min(
                    failover_state.MAX_FAILED_RETURNS, failed_returns + is_failed_return
                )
            if phase == FailoverPhase.FAILED_OVER and state.phase == FailoverPhase.RETURNING:
                assert now - failed_over_at[zone] >= MIN_OUTAGE << failed_returns
                assert (
                    answered_canaries[zone] >= MIN_CANARIES
                    and last_canary_at[zone] - first_canary_at[zone] >= MIN_CANARY_SPAN * 3**failed_returns
                )
                assert state.returned_slices == 1 and capacities[zone].backends
                last_step_at[zone] = now
            elif phase == FailoverPhase.RETURNING and state.returned_slices > returned:
                assert now - last_step_at[
                    zone
                ] >= MIN_STEP_INTERVAL and state.returned_slices <= max_returned_slices(
                    capacities[zone], SlowStartProfile()
                )
                last_step_at[zone] = now
            elif phase == FailoverPhase.RETURNING and state.returned_slices < returned:
                last_step_at[zone] = now
            assert (state.phase == FailoverPhase.IN_USE) == (
                state.returned_slices == SLICE_COUNT
            ) and 0 <= state.returned_slices <= SLICE_COUNT
            before[zone] = state.phase, state.returned_slices, state.failed_returns
        if newly_failed_over:
            failed_over = sum(
                rate
                for zone, rate in traffic.items()
                if controller.states[zone].phase == FailoverPhase.FAILED_OVER
            )
            assert (
                newly_failed_over <= MAX_FAILED_OVER_TRAFFIC * sum(traffic.values()) + 1e-6
                or failed_over == newly_failed_over
            )


def test_at_most_half_of_the_traffic_fails_over():
    controller, traffic = FailoverController(-9 * SECOND), dict.fromkeys(range(4), 10.0)
    for now in range(0, 5 * SECOND, 2_500):
        controller.update({zone: FAULT if zone < 3 else NO_FAULT for zone in range(4)}, traffic, {}, now)
    states = [controller.states[zone].phase for zone in range(4)]
    assert states.count(FailoverPhase.FAILED_OVER) == 2 and "half" not in states
    assert "50% of the traffic" in controller.states[2].waiting_for


def test_second_failing_location_waits_until_enough_of_the_first_has_returned():
    controller, traffic = FailoverController(-9 * SECOND), {0: 10.0, 1: 10.0, 2: 5.0}
    for now in (1, 2, 3):
        controller.update({0: FAULT, 1: NO_FAULT, 2: NO_FAULT}, traffic, {}, now)
    for now in (4, 5, 6):
        controller.update({0: NO_FAULT, 1: FAULT, 2: NO_FAULT}, traffic, {}, now)
    assert [controller.states[zone].phase for zone in range(3)] == [
        FailoverPhase.FAILED_OVER,
        FailoverPhase.IN_USE,
        FailoverPhase.IN_USE,
    ]
    controller.states[0].returned_slices, controller.states[0].phase = (
        SLICE_COUNT - 16,
        FailoverPhase.RETURNING,
    )  # three quarters have returned
    controller.update({0: NO_FAULT, 1: FAULT, 2: NO_FAULT}, traffic, {0: WARM_CAPACITY}, 7)
    assert controller.states[1].phase == FailoverPhase.FAILED_OVER


def test_new_controller_adopts_the_states_reported_by_gateways():
    controller = FailoverController(0)
    controller.adopt({0: FailoverStatus(0, 2), 1: FailoverStatus(20, 0)}, 100)
    assert [(controller.states[zone].phase, controller.states[zone].returned_slices) for zone in (0, 1)] == [
        (FailoverPhase.FAILED_OVER, 0),
        (FailoverPhase.RETURNING, 20),
    ]
    assert controller.is_listening(100) and not controller.is_listening(2 * SECOND)
    directives = controller.directives({0: ("f0", "f1")}, 100)
    assert (
        directives[0].failed_returns == 2
        and directives[0].canary_gateway in ("f0", "f1")
        and directives[1].returned_slices == 20
        and not directives[1].canary_gateway
    )
    controller.adopt({0: FailoverStatus(0, 2)}, 200)
    assert controller.states[1].phase == FailoverPhase.IN_USE


def test_counts_of_earlier_processes_and_before_the_first_report_are_ignored():
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


def test_gateways_take_turns_to_send_canaries():
    controller = FailoverController(0)
    controller.adopt({0: FailoverStatus(0, 0)}, 0)
    gateways = {0: ("a", "b", "c")}
    assert [controller.directives(gateways, turn * CANARY_TURN)[0].canary_gateway for turn in range(4)] == [
        "a",
        "b",
        "c",
        "a",
    ]


# --- local failover ---


def test_gateway_follows_a_failover_at_once_and_a_return_at_its_rate():
    gateway = LocalFailover("f0", 4, 150_000)
    failover = gateway.update({0: FailoverDirective(0, slices_per_second=8.0)}, 0)[0]
    assert failover.returned_slices == 0 and failover.canaries_only
    gateway.update({0: FailoverDirective(64, slices_per_second=8.0)}, 2_500)
    assert failover.returned_slices == 2
    gateway.update({}, 5_000)  # from another planner, without a directive for the location
    assert failover.returned_slices == 4 and gateway.limited_returns
    gateway.update({0: FailoverDirective(1, slices_per_second=8.0)}, 7_500)
    assert failover.returned_slices == 1
    # no jump after a long idle period either
    assert gateway.update({}, 7_500 + 100 * SECOND)[0].returned_slices <= 1 + 4


@pytest.mark.parametrize("seed", range(150))
def test_no_sequence_of_plans_returns_slices_faster_than_the_highest_rate(seed):
    rng = random.Random(seed)
    gateway, now, path = LocalFailover("f0", rng.randint(1, 9), 150_000), 0, []
    max_rate = 64 * SECOND / 150_000
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
            max_rate = max(max_rate, plan[0].slices_per_second)
        for _ in range(rng.randrange(3)):
            gateway.attempt_ended(0, rng.choice(("well", "well", "late", "failed")), True, now, now)
        failovers = gateway.update(plan, now)
        path.append((now, failovers[0].returned_slices if 0 in failovers else SLICE_COUNT))
    increases = [
        (after[0], after[1] - before[1], after[0] - before[0])
        for before, after in zip(path, path[1:], strict=False)
    ]
    assert all(
        increase <= max_rate * span / SECOND + max(1.0, max_rate / 2) for _, increase, span in increases
    )
    for begin in range(0, len(path), 20):  # over longer spans as well
        span, increase = path[-1][0] - path[begin][0], sum(max(0, before[1]) for before in increases[begin:])
        assert increase <= max_rate * span / SECOND + max(1.0, max_rate / 2) + 1


def test_gateways_without_a_plan_return_slices_no_faster_than_the_slow_start():
    """Twenty gateways without a plan and with different clocks never return more slices than the backends can
    serve at their age."""
    gateways = [LocalFailover(f"f{number}", 20, 150_000) for number in range(20)]
    offsets = [777 * number for number in range(20)]
    for gateway, offset in zip(gateways, offsets, strict=True):
        gateway.update({0: FailoverDirective(0)}, offset)
    history, now, all_returned_at = [], 0, None
    while now < 120 * SECOND:
        now += 2_500
        returned = []
        for gateway, offset in zip(gateways, offsets, strict=True):
            failover = gateway.update(None, offset + now).get(0)
            slices = failover.returned_slices if failover else SLICE_COUNT
            returned.append(slices)
            if failover is None or slices or not failover.is_failed_over("k 0", True, offset + now):
                gateway.attempt_ended(0, "well", True, offset + now, offset + now)
        history.append((now, max(returned)))
        if min(returned) == SLICE_COUNT and all_returned_at is None:
            all_returned_at = now
    assert all(slices <= 1 + SLICE_COUNT * at / 150_000 for at, slices in history)
    assert all_returned_at is not None and all_returned_at < 90 * SECOND


def test_gateway_without_a_plan_reverts_a_failed_return_and_waits_three_times_as_long():
    gateway = LocalFailover("f0", 1, 150_000)
    for now in (0, 5_000, 10_000, 15_000):
        assert gateway.update({0: FailoverDirective(9)}, now)[0].returned_slices == now // 2_500
    gateway.update(None, 17_500)
    for _ in range(4):
        gateway.attempt_ended(0, "failed", False, 18_000, 18_000)
    failover = gateway.update(None, 20_000)[0]
    assert failover.returned_slices == 0 and gateway.statuses() == {0: (0, 1)}
    for now in range(21_000, 21_000 + 3 * MIN_CANARY_SPAN, 500):
        gateway.attempt_ended(0, "well", True, now, now)
        assert gateway.update(None, now)[0].returned_slices == 0
    gateway.attempt_ended(0, "well", True, 21_000 + 3 * MIN_CANARY_SPAN, 0)
    assert gateway.update(None, 21_000 + 3 * MIN_CANARY_SPAN + 500)[0].returned_slices == 1


def test_canaries_are_sent_one_at_a_time_and_only_if_safe_to_repeat():
    failover = SliceFailover(0, 0, True)
    assert failover.is_failed_over("a 0", False, 10)
    assert not failover.is_failed_over("a 0", True, 10) and failover.is_failed_over("b 0", True, 11)
    assert not failover.is_failed_over("b 0", True, 10 + CANARY_TURN)
    gateway = LocalFailover("f0", 1, 150_000)
    own_turn = gateway.update({0: FailoverDirective(0, canary_gateway="f0")}, 0)[0]
    assert not own_turn.is_failed_over("a 0", True, 0) and own_turn.is_failed_over("a 0", True, 500)
    gateway.attempt_ended(0, "well", True, 600, 600)
    assert own_turn.is_failed_over("a 0", True, 600) and not own_turn.is_failed_over(
        "a 0", True, 600 + MIN_CANARY_INTERVAL
    )


def test_objects_of_returned_slices_use_their_own_location():
    failover = SliceFailover(3, 20)
    returned = [
        placement_key
        for placement_key in (f"o{number} 0" for number in range(1000))
        if not failover.is_failed_over(placement_key, True, 0)
    ]
    assert 230 < len(returned) < 400 and all(
        return_positions(3)[slice_index(placement_key)] < 20 for placement_key in returned
    )


def test_substitutes_are_weighted_by_spare_capacity_and_changes_move_few_objects():
    even = substitutes.distribute_demand({0: 50.0, 2: 50.0}, 40.0)
    assert even == ((0, 0.5), (2, 0.5))
    insufficient = substitutes.distribute_demand({0: 10.0, 2: 0.0}, 40.0)
    assert (
        insufficient == ((0, 0.2), (BYPASS_ZONE, 0.8)) and substitutes.distribute_demand({0: 0.0}, 40.0) == ()
    )
    placement_keys = [f"o{number} 0" for number in range(4000)]
    before = {
        placement_key: substitutes.substitute_zone(placement_key, ((0, 0.5), (2, 0.5)))
        for placement_key in placement_keys
    }
    after = {
        placement_key: substitutes.substitute_zone(placement_key, ((0, 0.5), (2, 0.5), (3, 0.25)))
        for placement_key in placement_keys
    }
    assert 1800 < sum(zone == 0 for zone in before.values()) < 2200
    moved = [
        placement_key for placement_key in placement_keys if before[placement_key] != after[placement_key]
    ]
    assert all(after[placement_key] == 3 for placement_key in moved) and 700 < len(moved) < 900
