"""Decides for all gateways which locations are failed over, and how each returns slice by slice.

Failover: a location fails over when it is found faulty (`fault_detection`) `MIN_FAULTS` times in a row, and
no more than `MAX_FAILED_OVER_TRAFFIC` of the traffic would then be failed over. All its slices are taken out
of use at once, as their requests already fail.

Canaries: gateways take turns to send canary requests: requests that are safe to repeat, of any slice.

Return: a location gets its first slice back once it was out of use for `min_outage`, and its canaries were
answered without a failure for `min_canary_span`. Both grow with each failed return, so a flapping location
is tried less and less often, and no longer returns once canaries are required for longer than it works. One
failed return is forgiven after `STABLE_SPAN` in use.

Ramp: after each step the answers of the returned slices are evaluated. Failures above `MAX_FAILED_SHARE` end
the return; late answers above `HALT_LATE_SHARE` halt it, and above `REVERT_LATE_SHARE` revert half of the
last step. Otherwise the next step follows, within the bounds of `recovery_ramp`.

A controller that starts does not know earlier decisions: it adopts the states that gateways report, the most
conservative one for each location, and issues no directive for a location before it has a report on it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from lilacloft.failover import recovery_ramp
from lilacloft.failover.failover_state import (
    CANARY_TURN,
    HALT_LATE_SHARE,
    MAX_FAILED_SHARE,
    MIN_ANSWERS,
    MIN_CANARIES,
    FailoverDirective,
    FailoverPhase,
    FailoverState,
    FailoverStatus,
    min_canary_span,
    min_outage,
)
from lilacloft.failover.fault_detection import Finding
from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.outcome_counts import OutcomeCounts
from lilacloft.failover.recovery_ramp import LocationCapacity, SlowStartProfile
from lilacloft.failover.substitutes import ZoneWeight
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

MIN_FAULTS = 2  # consecutive faulty findings
MAX_FAILED_OVER_TRAFFIC = 0.5  # of the fleet's traffic, that may be failed over at once
MIN_STEP_INTERVAL: Ticks = 5_000  # so that the answers show the effect of a step
REVERT_LATE_SHARE = 0.5  # of the answers
STABLE_SPAN: Ticks = 600_000  # of use, after which one failed return is forgiven
ANNOUNCE_SPAN: Ticks = 50_000  # for which a returned location stays in plans: all gateways learn its rate
LISTEN_SPAN: Ticks = 10_000  # for which a new controller collects reports before it decides
ROUNDING = 1e-9


class CountsKey(NamedTuple):
    """Identifies counts: the reporting process and the location."""

    gateway: str
    incarnation: int
    zone: int


class FailoverController:
    """Decides the failovers of all locations, in one planner."""

    def __init__(self, now: Ticks) -> None:
        self.started_at = now
        self.slow_starts: Mapping[int, SlowStartProfile] = {}  # by location, if configured
        self.states: dict[int, FailoverState] = {}
        self.reported_counts: dict[CountsKey, OutcomeCounts] = {}

    # --- reports ---

    def record_counts(self, gateway: str, incarnation: int, zone: int, counts: OutcomeCounts) -> None:
        """Add what a gateway has counted for a location since its last report. The first report of a process
        is only the baseline for later ones, as its counts may be old."""
        key = CountsKey(gateway, incarnation, zone)
        earlier = self.reported_counts.get(key)
        self.reported_counts[key] = counts
        if earlier is None:
            for outdated in self._keys_before(key):
                del self.reported_counts[outdated]
            return
        state = self.states.setdefault(zone, FailoverState())
        state.outcomes = state.outcomes.plus(counts.since(earlier))

    def _keys_before(self, key: CountsKey) -> list[CountsKey]:
        """Return the keys of earlier processes of a gateway."""
        return [
            other
            for other in self.reported_counts
            if other.gateway == key.gateway and other.incarnation < key.incarnation
        ]

    def forget_gateway(self, gateway: str) -> None:
        """Drop the counts of a gateway that has stopped."""
        for key in [key for key in self.reported_counts if key.gateway == gateway]:
            del self.reported_counts[key]

    def adopt(self, statuses: Mapping[int, FailoverStatus], now: Ticks) -> None:
        """Adopt the states that gateways report, while another planner decides or during `LISTEN_SPAN`.
        `statuses`: the most conservative report on each location."""
        for zone, status in sorted(statuses.items()):
            self.states.setdefault(zone, FailoverState()).adopt(status, now)
        for zone, state in self.states.items():
            if zone not in statuses and state.phase != FailoverPhase.IN_USE:
                state.finish_return(now, "forwarders have it in use")

    def is_listening(self, now: Ticks) -> bool:
        """Return whether this process has started so recently that some gateways may not have reported."""
        return now - self.started_at < LISTEN_SPAN

    # --- decisions ---

    def update(
        self,
        findings: Mapping[int, Finding],
        traffic: Mapping[int, float],
        capacities: Mapping[int, LocationCapacity],
        now: Ticks,
    ) -> None:
        """Decide on all locations. `traffic`: requests per second of each location's own gateways; a hub has
        none."""
        for zone in [zone for zone in self.states if zone not in findings]:
            del self.states[zone]
        for zone, finding in sorted(findings.items()):
            state = self.states.setdefault(zone, FailoverState())
            state.faults_in_a_row = state.faults_in_a_row + 1 if finding.is_faulty else 0
            capacity = capacities.get(zone) or LocationCapacity(0.0, 1.0)
            if state.phase == FailoverPhase.IN_USE:
                self._check_in_use(state, zone, finding, traffic, now)
            elif state.phase == FailoverPhase.FAILED_OVER:
                self._check_failed_over(state, zone, capacity, now)
            else:
                self._check_returning(state, zone, finding, capacity, now)

    def _check_in_use(
        self, state: FailoverState, zone: int, finding: Finding, traffic: Mapping[int, float], now: Ticks
    ) -> None:
        if state.failed_returns and now - state.stable_since >= STABLE_SPAN:
            state.failed_returns -= 1
            state.stable_since = now
        state.outcomes = OutcomeCounts()
        if state.faults_in_a_row < MIN_FAULTS:
            return
        total = sum(traffic.values()) or 1.0
        if (
            self._failed_over_traffic(traffic) + traffic.get(zone, 0.0)
            > MAX_FAILED_OVER_TRAFFIC * total + ROUNDING
        ):
            state.waiting_for = (
                f"other locations: at most {MAX_FAILED_OVER_TRAFFIC:.0%} of the traffic may be failed over"
            )
            return
        if state.history and now - state.stable_since < STABLE_SPAN:
            state.count_failed_return()
        state.fail_over(now, str(finding))

    def _failed_over_traffic(self, traffic: Mapping[int, float]) -> float:
        return sum(
            rate * (1 - self.states[zone].returned_slices / SLICE_COUNT)
            for zone, rate in traffic.items()
            if zone in self.states
        )

    def _check_failed_over(
        self, state: FailoverState, zone: int, capacity: LocationCapacity, now: Ticks
    ) -> None:
        outcomes, state.outcomes = state.outcomes, OutcomeCounts()
        if outcomes.failed or outcomes.late > outcomes.on_time:
            state.canaries.reset()
        elif outcomes.on_time:
            state.canaries.add(outcomes.answered, now)
        outage, span = min_outage(state.failed_returns), min_canary_span(state.failed_returns)
        if now - state.phase_since < outage:
            state.waiting_for = f"the minimum outage of {outage / TICKS_PER_SECOND:g} s"
        elif not state.canaries.suffices(state.failed_returns):
            state.waiting_for = (
                f"answered canaries for {span / TICKS_PER_SECOND:g} s, at least {MIN_CANARIES} of them, "
                f"{state.canaries.answered} so far"
            )
        elif not recovery_ramp.max_returned_slices(capacity, self._slow_start(zone)):
            state.waiting_for = "a ready backend"
        else:
            state.begin_return(now)

    def _check_returning(
        self, state: FailoverState, zone: int, finding: Finding, capacity: LocationCapacity, now: Ticks
    ) -> None:
        failure = _return_failure(state, finding)
        if failure:
            state.count_failed_return()
            state.fail_over(now, f"its return failed: {failure}")
            return
        allowed = recovery_ramp.max_returned_slices(capacity, self._slow_start(zone))
        if state.returned_slices > max(1, allowed):  # some of its backends are no longer ready
            state.set_returned(max(1, allowed), 1, now)
            state.record(now, "its bes bear no more")
        elif now - state.last_step_at < MIN_STEP_INTERVAL:
            state.waiting_for = "the effect of the last step"
        elif not _slow_down(state, now):
            _advance(state, capacity, allowed, now)

    def _slow_start(self, zone: int) -> SlowStartProfile:
        return self.slow_starts.get(zone) or SlowStartProfile()

    # --- what plans say ---

    def directives(
        self,
        gateways: Mapping[int, tuple[str, ...]],
        now: Ticks,
        substitutes: Mapping[int, tuple[ZoneWeight, ...]] | None = None,
    ) -> dict[int, FailoverDirective]:
        """Return the directives of a plan, by location. `gateways`: those that may send canaries to a
        location, in the same order at all planners; `substitutes`: the locations that serve its other
        slices."""
        directives = {}
        for zone, state in sorted(self.states.items()):
            if not self._is_announced(state, now):
                continue
            serving = (substitutes or {}).get(zone, ())
            directives[zone] = FailoverDirective(
                state.returned_slices,
                state.failed_returns,
                self._return_rate(zone, state),
                _canary_gateway(state, gateways.get(zone, ()), now),
                state.reason,
                serving if state.returned_slices < SLICE_COUNT else (),
            )
        return directives

    @staticmethod
    def _is_announced(state: FailoverState, now: Ticks) -> bool:
        if state.phase != FailoverPhase.IN_USE or state.failed_returns:
            return True
        return bool(state.history) and now - state.phase_since < ANNOUNCE_SPAN

    def _return_rate(self, zone: int, state: FailoverState) -> float:
        """Return the slices per second at which gateways follow. They complete a step within half of the
        interval before the next one; without a plan a gateway continues at the rate of the slow start."""
        by_slow_start = SLICE_COUNT * TICKS_PER_SECOND / max(1, self._slow_start(zone).duration)
        by_step = 2 * state.last_step * TICKS_PER_SECOND / MIN_STEP_INTERVAL
        return float(f"{max(by_slow_start, by_step):.3g}")

    def explain(self, zone: int, now: Ticks) -> list[str]:
        """Return lines for operators on the state and history of a location."""
        state = self.states.get(zone)
        if state is None:
            return [f"location {zone} is unknown"]
        lines = [
            f"location {zone}: {state.phase}, {state.returned_slices} of {SLICE_COUNT} slices in use"
            + (f"; {state.failed_returns} returns failed" if state.failed_returns else "")
        ]
        if state.waiting_for and state.phase != FailoverPhase.IN_USE:
            lines.append(f"waiting for: {state.waiting_for}")
        return lines + [
            f"{(now - entry.at) / TICKS_PER_SECOND:.1f} s ago: {entry.text}" for entry in state.history
        ]


def _return_failure(state: FailoverState, finding: Finding) -> str:
    """Return why a return has failed; empty if it has not."""
    if state.faults_in_a_row >= MIN_FAULTS:
        return str(finding)
    failed, total = state.outcomes.failed, state.outcomes.total
    if total >= MIN_ANSWERS and failed > MAX_FAILED_SHARE * total:
        return f"{failed} of {total} answers at home failed"
    return ""


def _slow_down(state: FailoverState, now: Ticks) -> bool:
    """Revert half of the last step, or halt, if answers are late; return whether they are."""
    late, total = state.outcomes.late, state.outcomes.total
    if total >= MIN_ANSWERS and late > REVERT_LATE_SHARE * total and state.returned_slices > 1:
        reverted = max(1, state.last_step // 2)
        state.set_returned(max(1, state.returned_slices - reverted), 1, now)
        state.record(now, f"{late} of {total} answers at home came late")
        return True
    if total and late > HALT_LATE_SHARE * total:
        state.waiting_for, state.outcomes = "fewer late answers from it", OutcomeCounts()
        state.last_step_at = now
        return True
    return False


def _advance(state: FailoverState, capacity: LocationCapacity, allowed: int, now: Ticks) -> None:
    """Return as many further slices as the bounds allow."""
    hit_ratio = state.outcomes.cache_hits / max(1, state.outcomes.answered)
    by_fills = recovery_ramp.max_next_step(capacity, hit_ratio, state.last_step)
    step = min(by_fills, allowed - state.returned_slices)
    if step <= 0:
        state.waiting_for = (
            "more capacity of its backends" if allowed < SLICE_COUNT else "spare capacity of its sources"
        )
        state.outcomes = OutcomeCounts()
        return
    state.set_returned(state.returned_slices + step, step, now)
    if state.returned_slices >= SLICE_COUNT:
        state.finish_return(now, "all of its slices are back")


def _canary_gateway(state: FailoverState, gateways: tuple[str, ...], now: Ticks) -> str:
    """Return the gateway whose turn it is to send canaries; empty if there is none."""
    if not gateways or state.phase != FailoverPhase.FAILED_OVER:
        return ""
    return gateways[(now // CANARY_TURN) % len(gateways)]
