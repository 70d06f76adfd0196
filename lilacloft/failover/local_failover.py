"""One gateway's side of failover: it follows the plan, and decides on its own without one.

While a plan is in force, slices are taken out of use at once as it directs, and return no faster than at its
rate. So a plan with more returned slices (from another planner, outdated, late or duplicate) never moves all
traffic back at once.

Without a plan, a location that has failed over stays so until this gateway has observed that it answers. The
gateway sends canaries in its own turns (one of N for N gateways, so about one gateway at a time sends them),
and returns slice by slice, in the order common to all gateways, at a rate at which all slices take at least
the duration of a backend's slow start. As no gateway is faster, all together send a location of age a no more
than one slice and the share a / duration of its demand. Its backends can serve that, if they can serve their
demand when warm. After a failure all slices are taken out of use again, and canaries must be answered for
three times as long.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from lilacloft.failover import hash_slices
from lilacloft.failover.failover_state import (
    CANARY_TURN,
    HALT_LATE_SHARE,
    MAX_FAILED_RETURNS,
    MAX_FAILED_SHARE,
    MIN_ANSWERS,
    CanaryRecord,
    FailoverDirective,
    FailoverStatus,
    min_outage,
)
from lilacloft.failover.hash_slices import SLICE_COUNT
from lilacloft.failover.outcome_counts import AnswerQuality, OutcomeCounts
from lilacloft.failover.substitutes import BYPASS_ZONE, ZoneWeight, substitute_zone
from lilacloft.routing.units import TICKS_PER_SECOND, Ticks

MIN_CANARY_INTERVAL: Ticks = 1_000  # from the end of a canary to the next one
MIN_RATE = 0.01  # slices per second


@dataclass
class SliceFailover:
    """The failover of one location, as queried by the router (`fleet_plan.LocationFailover`)."""

    zone: int
    returned_slices: int = 0
    sends_canaries: bool = False  # whether it is this gateway's turn
    next_canary_at: Ticks = 0  # in the router's time
    substitutes: tuple[ZoneWeight, ...] = ()

    def is_failed_over(self, placement_key: str, is_safe: bool, now: Ticks) -> bool:
        """Return whether the location is not used for an object part. Of the requests that would not use it,
        those that are safe to repeat (`is_safe`) may be sent there as canaries, one at a time."""
        if not hash_slices.is_failed_over(placement_key, self.zone, self.returned_slices):
            return False
        if self.sends_canaries and is_safe and now >= self.next_canary_at:
            self.next_canary_at = now + CANARY_TURN
            return False
        return True

    def substitute(self, placement_key: str) -> int:
        """Return the location that serves an object part instead; `BYPASS_ZONE` if it bypasses the caches."""
        return substitute_zone(placement_key, self.substitutes) if self.substitutes else BYPASS_ZONE

    @property
    def canaries_only(self) -> bool:
        """Whether the location gets only canaries."""
        return self.returned_slices == 0


@dataclass
class LocationState:
    """The state of one location at this gateway."""

    failover: SliceFailover
    slices_per_second: float = 4.0
    failed_returns: int = 0
    raised_at: Ticks = 0  # when slices last returned, or could have returned
    credit: float = 0.0  # slices that may return according to the rate
    canaries: CanaryRecord = field(default_factory=CanaryRecord)  # without a plan
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)  # since the last step without a plan
    without_plan: bool = False

    def fail_return(self, now: Ticks) -> None:
        """Take all slices out of use again."""
        self.failover.returned_slices = 0
        self.canaries.reset()
        self.outcomes, self.raised_at = OutcomeCounts(), now
        self.failed_returns = min(MAX_FAILED_RETURNS, self.failed_returns + 1)

    def return_fails(self) -> bool:
        """Return whether requests of the returned slices fail."""
        failed, total = self.outcomes.failed, self.outcomes.total
        is_conclusive = total >= MIN_ANSWERS or total == failed
        return self.failover.returned_slices > 0 and is_conclusive and failed > MAX_FAILED_SHARE * total

    def may_begin_return(self, now: Ticks) -> bool:
        """Return whether the first slice may return."""
        return self.canaries.suffices(self.failed_returns) and now - self.raised_at >= min_outage(
            self.failed_returns
        )


class LocalFailover:
    """Follows or decides the failovers of all locations, in one gateway."""

    def __init__(self, name: str, gateways: int, slow_start: Ticks) -> None:
        """`gateways`: the number of gateways in its location; `slow_start`: the warm-up time of a backend."""
        self.name = name
        self.gateways = max(1, gateways)
        self.slices_per_second = SLICE_COUNT * TICKS_PER_SECOND / max(1, slow_start)
        self.canary_slot = zlib.crc32(name.encode()) % self.gateways
        self.states: dict[int, LocationState] = {}
        self.counts: dict[int, OutcomeCounts] = {}  # by location, since the process started
        self.limited_returns = 0  # how often the rate delayed slices that a plan returned

    # --- observations ---

    def attempt_ended(
        self, zone: int, quality: AnswerQuality, is_hit: bool, now: Ticks, routing_now: Ticks
    ) -> None:
        """Count a completed attempt at a location's backend. `routing_now`: the current time of the router's
        clock."""
        outcome = OutcomeCounts.of(quality, is_hit)
        self.counts[zone] = self.counts.get(zone, OutcomeCounts()).plus(outcome)
        state = self.states.get(zone)
        if state is None:
            return
        state.outcomes = state.outcomes.plus(outcome)
        state.failover.next_canary_at = min(state.failover.next_canary_at, routing_now + MIN_CANARY_INTERVAL)
        if quality == "failed":
            state.canaries.reset()
        else:
            state.canaries.add(1, now)

    def statuses(self) -> dict[int, FailoverStatus]:
        """Return the states of locations at this gateway, to be adopted by the planner that decides next."""
        return {
            zone: FailoverStatus(state.failover.returned_slices, state.failed_returns)
            for zone, state in sorted(self.states.items())
        }

    # --- decisions ---

    def update(
        self, directives: Mapping[int, FailoverDirective] | None, now: Ticks
    ) -> dict[int, SliceFailover]:
        """Return the failovers in force now, by location. `directives`: from the plan; None without a
        plan."""
        for zone, directive in sorted((directives or {}).items()):
            if zone not in self.states and directive.returned_slices < SLICE_COUNT:
                self.states[zone] = LocationState(SliceFailover(zone), raised_at=now)
        for zone, state in sorted(self.states.items()):
            if directives is None:
                self._decide(state, now)
            else:
                state.without_plan = False
                self._follow(state, directives.get(zone), now)
        self._drop_finished()
        return {
            zone: state.failover
            for zone, state in self.states.items()
            if state.failover.returned_slices < SLICE_COUNT
        }

    def _drop_finished(self) -> None:
        for zone in [
            zone
            for zone, state in self.states.items()
            if state.failover.returned_slices >= SLICE_COUNT and not state.failed_returns
        ]:
            del self.states[zone]

    def _follow(self, state: LocationState, directive: FailoverDirective | None, now: Ticks) -> None:
        """Follow a plan. `directive` is None if the plan has no directive for the location, which is then in
        use."""
        failover = state.failover
        if directive is None:
            target, failover.sends_canaries = SLICE_COUNT, False
        else:
            target, state.failed_returns = directive.returned_slices, directive.failed_returns
            state.slices_per_second = max(MIN_RATE, directive.slices_per_second)
            failover.sends_canaries = directive.canary_gateway == self.name
            failover.substitutes = directive.substitutes
        if target > failover.returned_slices:
            self._return_at_rate(state, target, now)
            return
        failover.returned_slices, state.credit, state.raised_at = target, 0.0, now
        if directive is None:
            state.failed_returns = 0

    def _return_at_rate(self, state: LocationState, target: int, now: Ticks) -> None:
        """Return slices towards a target, at once at most as many as the rate allows in half a second, so
        that a gateway that was idle for long does not return many at once."""
        rate = state.slices_per_second
        earned = rate * max(0, now - state.raised_at) / TICKS_PER_SECOND
        state.credit = min(state.credit + earned, max(1.0, rate / 2))
        state.raised_at = now
        missing = target - state.failover.returned_slices
        step = min(int(state.credit), missing)
        self.limited_returns += step < missing
        state.failover.returned_slices += step
        state.credit -= step

    def _decide(self, state: LocationState, now: Ticks) -> None:
        """Decide on a location without a plan."""
        failover = state.failover
        if not state.without_plan:
            state.without_plan, state.outcomes, state.raised_at = True, OutcomeCounts(), now
            state.canaries.reset()
            failover.substitutes = ()  # their spare capacity is no longer known
        if failover.returned_slices >= SLICE_COUNT:
            state.failed_returns = 0
            return
        if state.return_fails():
            state.fail_return(now)
            return
        is_failed_over = failover.returned_slices == 0
        failover.sends_canaries = is_failed_over and (now // CANARY_TURN) % self.gateways == self.canary_slot
        if is_failed_over:
            if not state.may_begin_return(now):
                return
        elif now - state.raised_at < TICKS_PER_SECOND / self.slices_per_second:
            return
        elif state.outcomes.late > HALT_LATE_SHARE * state.outcomes.total:
            state.outcomes, state.raised_at = OutcomeCounts(), now
            return
        failover.returned_slices += 1
        state.raised_at, state.outcomes = now, OutcomeCounts()
