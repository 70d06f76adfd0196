"""A gateway's side of the control plane: makes load reports, and applies the plan with the highest id.

A valid plan determines which backends are ejected and when this gateway may send them canary requests, its
share of common limits, and its turn at revalidations. Once the plan has expired none of that applies, and the
gateway decides on its own. Shares of slow-start budgets that it has lent stay lent until the leases expire,
with or without a plan. The change log has precedence over plans: a plan that was made from an older list does
not apply to backends that have changed since.

The module does no I/O. Times are `Ticks` of the gateway's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from lilacloft.control.backend_stats import BackendState, BackendStats
from lilacloft.control.leader_lease import PlanId, PlanLease
from lilacloft.control.messages import LoadReport, Plan, PlanReply, QuotaLease, apply_delta
from lilacloft.control.quota import MAX_LEASE
from lilacloft.control.quota_client import QuotaClient
from lilacloft.failover.local_failover import LocalFailover, SliceFailover
from lilacloft.routing.catch_up import MAX_KNOWN_DELAY_ABSENT
from lilacloft.routing.units import Ticks

REPORT_INTERVAL: Ticks = 2_500
PLANNER_TIMEOUT: Ticks = 20_000  # without a reply, after which quota is requested from another planner
MAX_REPLY_TIME: Ticks = 40_000  # replies to older reports are ignored
# By the protocol a change of the list counts as known everywhere after this time; and a planner's tick.
MAX_LIST_DELAY: Ticks = MAX_KNOWN_DELAY_ABSENT + REPORT_INTERVAL


@dataclass(frozen=True)
class FollowerSettings:
    """The settings of a gateway's side of the control plane."""

    name: str
    incarnation: int
    zone: int
    planners: Collection[str]
    quota_window: Ticks
    own_share: float  # of each cold backend's start budget, without planners


@dataclass
class LoadRates:
    """The gateway's smoothed load; rates in KB/s, except for `request_rate`."""

    request_rate: float = 0.0
    fill_rates: dict[str, float] = field(default_factory=dict)  # by virtual host
    values_per_kb: dict[str, float] = field(default_factory=dict)  # by virtual host
    requested_rate: float = 0.0
    uncached_rate: float = 0.0  # of fills that bypass the caches


@dataclass(frozen=True)
class BackendChange:
    """A change of a backend in this gateway's list, and the plan that was in use then."""

    at: Ticks
    plan_id: PlanId
    list_version: int  # of that plan; counts the planner's events, not this gateway's


@dataclass(frozen=True)
class PlanEffect:
    """What the control plane sets for the gateway's routing decisions now."""

    plan_id: PlanId = PlanId()
    ejections: Mapping[str, Ticks] = field(default_factory=dict)  # end time; 0: canary requests allowed
    concurrency_limits: Mapping[str, float] = field(default_factory=dict)  # this gateway's share, by backend
    fill_limit: float = 0.0  # of likely fills in flight; 0: no limit
    budget_factors: Mapping[str, float] = field(default_factory=dict)  # usable / own share of start budgets
    revalidation_turn: tuple[int, int] = (0, 1)  # index of this gateway, number of gateways
    failovers: Mapping[int, SliceFailover] = field(default_factory=dict)  # of locations not completely in use


class Follower:
    """One gateway's side of the control plane."""

    def __init__(
        self,
        settings: FollowerSettings,
        now: Ticks,
        restarted: bool = False,
        local_failover: LocalFailover | None = None,
    ) -> None:
        """`restarted`: a previous process under this name may have lent shares, which are usable only once
        they have certainly returned. `local_failover`: handles location failover, if that is enabled."""
        self.settings, self.now, self.local_failover = settings, now, local_failover
        self.planners = sorted(settings.planners)
        usable_from = now + MAX_LEASE + 2 * settings.quota_window if restarted else now
        self.quota = QuotaClient(settings.own_share, settings.quota_window, usable_from)
        self.stats = BackendStats(now)
        self.load = LoadRates()
        self.lease, self.plan = PlanLease(), Plan(PlanId())
        self.list_version = 0
        self._confirmed_at: Ticks = now  # when the last report was sent whose reply confirmed the plan
        self._last_changes: dict[str, BackendChange] = {}  # by backend
        self._report_numbers = dict.fromkeys(self.planners, 0)
        self._reports_sent: dict[str, dict[int, Ticks]] = {planner: {} for planner in self.planners}
        self._incarnations: dict[str, int] = {}  # of planners
        self._last_replies: dict[str, Ticks] = {}  # of planners
        self._quota_leases: dict[str, list[QuotaLease]] = {planner: [] for planner in self.planners}
        self.plans = 0  # number of plans accepted

    # --- input ---

    def record_attempt(self, backend: str, result: str) -> None:
        """Count a completed attempt. `result`: IN_TIME, LATE or FAILED of `backend_stats`."""
        self.stats.record_attempt(backend, result, self.now)

    def update_state(self, backend: str, state: BackendState) -> None:
        """Update the state of a backend."""
        self.stats.update(backend, state, self.now)

    def update_list(
        self, changed: Iterable[str], list_version: int, cold: Collection[str], now: Ticks
    ) -> None:
        """Record the backends that have changed, as of a change log number, and update those that are
        cold."""
        self.list_version = max(self.list_version, list_version)
        change = BackendChange(now, self.plan.plan_id, self.plan.list_version)
        for backend in changed:
            self._last_changes[backend] = change
        self.quota.update_cold(cold, now)

    # --- reports and replies ---

    def make_report(self, planner: str, now: Ticks) -> LoadReport:
        """Return the next report to a planner."""
        self._report_numbers[planner] += 1
        number = self._report_numbers[planner]
        sent = self._reports_sent[planner]
        sent[number] = now
        for expired in [expired for expired, sent_at in sent.items() if now - sent_at > MAX_REPLY_TIME]:
            del sent[expired]
        observations = self.stats.observations(now)
        leases, self._quota_leases[planner] = tuple(self._quota_leases[planner]), []
        cold_shares = self.quota.cold_shares(now)
        self.quota.remove_timed_out(now)
        may_request = planner == self.preferred_planner(now)
        return LoadReport(
            name=self.settings.name,
            incarnation=self.settings.incarnation,
            number=number,
            zone=self.settings.zone,
            list_version=self.list_version,
            request_rate=self.load.request_rate,
            fill_rates=dict(self.load.fill_rates),
            values_per_kb=dict(self.load.values_per_kb),
            observations=observations,
            cold_shares=cold_shares,
            quota_requests=tuple(self.quota.new_requests(now)) if may_request else (),
            quota_leases=leases,
            plan_id=self.lease.plan_id if self.lease.is_valid(now) else PlanId(),
            requested_rate=self.load.requested_rate,
            uncached_rate=self.load.uncached_rate,
            tallies=dict(self.local_failover.counts) if self.local_failover else {},
            location_states=self.local_failover.statuses() if self.local_failover else {},
        )

    def preferred_planner(self, now: Ticks) -> str:
        """Return the planner from which quota is requested: the issuer of the current plan if it replies,
        else the first planner that does."""
        replying = [
            name
            for name in self.planners
            if now - self._last_replies.get(name, -PLANNER_TIMEOUT) < PLANNER_TIMEOUT
        ]
        if self.lease.plan_id.planner in replying:
            return self.lease.plan_id.planner
        if replying:
            return replying[0]
        return self.planners[0] if self.planners else ""

    def receive_reply(self, reply: PlanReply, now: Ticks) -> bool:
        """Process a planner's reply; return whether the plan has changed. A reply to an unknown report, or
        from an earlier process of the planner, is ignored."""
        requested_at = self._reports_sent.get(reply.planner, {}).get(reply.number)
        if requested_at is None or reply.incarnation < self._incarnations.get(reply.planner, 0):
            return False
        self._incarnations[reply.planner] = reply.incarnation
        self._last_replies[reply.planner] = now
        leases = self._quota_leases[reply.planner]
        leases += [self.quota.lend(request, now) for request in reply.quota_requests]
        for lease in reply.quota_leases:
            self.quota.record_lease(lease, requested_at, now)
        return self._accept_plan(reply, requested_at, now)

    def _accept_plan(self, reply: PlanReply, requested_at: Ticks, now: Ticks) -> bool:
        plan, delta = reply.plan, reply.delta
        if plan is None and delta is not None:
            if delta.plan_id == self.lease.plan_id == delta.base:
                self.lease.accept(delta.plan_id, requested_at, reply.duration, now)
                self._confirmed_at = max(self._confirmed_at, requested_at)
                return False
            plan = apply_delta(self.plan, delta)
        if plan is None or not self.lease.accept(plan.plan_id, requested_at, reply.duration, now):
            return False
        self.plan, self._confirmed_at = plan, requested_at
        self.plans += 1
        return True

    # --- effect ---

    def effect(self, now: Ticks) -> PlanEffect:
        """Return the effect of the control plane now."""
        budget_factors = self.quota.budget_factors(now)
        is_valid = self.lease.is_valid(now)
        locations = self.plan.locations if is_valid else None
        failovers = self.local_failover.update(locations, now) if self.local_failover else {}
        if not is_valid:
            return PlanEffect(budget_factors=budget_factors, failovers=failovers)
        share = self.plan.gateway_shares.get(self.settings.name, 0.0)
        return PlanEffect(
            plan_id=self.plan.plan_id,
            ejections=self._ejections(),
            concurrency_limits=self._concurrency_limits(share),
            fill_limit=self._fill_limit(share),
            budget_factors=budget_factors,
            revalidation_turn=self._revalidation_turn(),
            failovers=failovers,
        )

    def _is_outdated(self, backend: str) -> bool:
        """Return whether the plan may have been made before a backend has changed. The planner's events have
        numbers of their own, so it is known to be newer where its issuer has applied a further event since,
        or where every planner must have heard of the change."""
        change = self._last_changes.get(backend)
        if change is None or self._confirmed_at >= change.at + MAX_LIST_DELAY:
            return False
        plan = self.plan
        issuer, issuer_then = ((plan_id.planner, plan_id.epoch) for plan_id in (plan.plan_id, change.plan_id))
        return issuer != issuer_then or plan.list_version <= change.list_version

    def _ejections(self) -> dict[str, Ticks]:
        plan, name = self.plan, self.settings.name
        return {
            backend: 0 if plan.canary_gateways.get(backend) == name else self.lease.expires_at
            for backend in plan.ejections
            if not self._is_outdated(backend)
        }

    def _concurrency_limits(self, share: float) -> dict[str, float]:
        if not share:
            return {}
        return {
            backend: max(1.0, limit * share)
            for backend, limit in self.plan.concurrency_limits.items()
            if not self._is_outdated(backend)
        }

    def _fill_limit(self, share: float) -> float:
        limit = self.plan.fill_limits.get(self.settings.zone)
        return max(1.0, limit * share) if limit and share else 0.0

    def _revalidation_turn(self) -> tuple[int, int]:
        names = self.plan.revalidation_order.get(self.settings.zone, ())
        name = self.settings.name
        return (names.index(name), len(names)) if name in names else (0, 1)
